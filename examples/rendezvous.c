/* Rendezvous hashing: all processes that know the same members agree on the
   owner of a key, and the loss of a member moves only the keys that the member
   owned. */
#include "lavenderspool.h"

#include <stdio.h>

#define KEY_COUNT 1000

int
main(void)
{
    const char *members[] = {"vm-a", "vm-b", "vm-c", "vm-d"};
    int owned[4] = {0};
    int moved = 0;

    for (int i = 0; i < KEY_COUNT; i++) {
        char key[16];
        int owner;
        snprintf(key, sizeof(key), "cell-%d", i);
        owner = Own_FindOwner(key, members, 4);
        owned[owner]++;
        /* The owner without vm-d, the last member. */
        if (Own_FindOwner(key, members, 3) != owner) {
            moved++;
        }
    }
    for (int i = 0; i < 4; i++) {
        printf("%s owns %d keys\n", members[i], owned[i]);
    }
    printf("keys that move when vm-d is lost: %d\n", moved);
    return moved == owned[3] ? 0 : 1;
}
