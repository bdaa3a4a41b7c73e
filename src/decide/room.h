/* Room: decides at which workers new streams are held back, so that streams
   that were begun find room at the workers of their software version.

   When VMs are lost, or many workers crash, the callers of all streams there
   resume them within a second or two. Each can go on only at the version that
   began it. New streams can begin at any version, arrive all the while, and
   outnumber the resumed ones: whenever a stream at a full worker ends, one of
   them takes its room, until the resumed ones give up. So begun streams that
   wait for room at a version hold new ones back at some of its workers, at all
   VMs. One worker for each of them, and some more for a few, keep their waits
   short, as rooms become free there all the time; the rest of a large fleet is
   left to new streams. A stream may also wait in vain, for more memory than
   becomes free: so new streams are held back at all workers for a limited
   time, and afterwards at half of them, which take turns.

   In a rolling release the workers of a version that leaves become fewer while
   its streams still run. New streams that begin at the last two would need
   workers that are about to leave, and nothing would be left for begun ones:
   new streams go to the versions that stay. A version that fewer workers have
   only because these crashed does not leave, nor does the first worker of a
   new version. */
#ifndef LS_ROOM_H
#define LS_ROOM_H

#include <stdbool.h>
#include <stdint.h>

/* Software versions of a service that are told apart; further ones count as
   having no begun stream that waits. */
#define ROOM_VERSIONS_MAX 8
/* Workers at which new streams are held back: as many as there are begun
   streams that wait, and at least this number. */
#define ROOM_HELD_MIN 8
/* Longest time for which they may be held back at all workers of a version;
   the waits of the callers of one loss of VMs are over then. */
#define ROOM_WHOLE_MAX_US 5000000
/* Share of the workers at which they may be held back beyond that time. */
#define ROOM_LASTING_SHARE 0.5
/* Time after which the other half takes its turn. */
#define ROOM_TURN_US 1000000
/* Time without a begun stream that waits after which they may be held back
   anew for so long. */
#define ROOM_REST_US 2000000
/* Workers of a leaving version that are kept for begun streams. */
#define ROOM_KEPT_WORKERS 2
/* Time after which a version that became smaller counts as staying. */
#define ROOM_LEAVING_US 20000000

/* A version's state as it is now. */
typedef struct RoomVersion {
    uint32_t version;       /* As in FleetWorker; not 0. */
    uint32_t workers;       /* Usable ones that run streams. */
    double waiting_streams; /* Begun streams without room, of all VMs. */
} RoomVersion;

typedef struct RoomInput {
    RoomVersion versions[ROOM_VERSIONS_MAX];
    uint32_t count;
    int64_t now_us;
} RoomInput;

/* What is known of a version. */
typedef struct RoomRow {
    uint32_t version; /* 0: the row is free. */
    uint32_t workers;
    int64_t shrank_us;  /* When its workers became fewer; 0: not lately. */
    int64_t grew_us;    /* When they became more, or the first was seen. */
    int64_t began_us;   /* When begun streams began to wait; 0: none do. */
    int64_t waiting_us; /* When one last waited. */
    double held; /* Share of its workers at which new streams are held back. */
    bool is_other_turn; /* They are those with the upper hashes. */
} RoomRow;

/* A service's state. All zero at the start. */
typedef struct Room {
    RoomRow rows[ROOM_VERSIONS_MAX];
} Room;

/* Decides anew, from the state of all versions of the service. */
void Room_Update(Room *room, const RoomInput *input);
/* Whether new streams are held back at the worker with this hash. All VMs
   choose the same workers. */
bool Room_IsHeld(const Room *room, uint32_t version, uint64_t worker);

#endif
