/* Room: where new streams are held back. See room.h. */
#include "room.h"

#include <stddef.h>
#include <string.h>

static RoomRow *find_row(Room *room, uint32_t version);
static void drop_missing(Room *room, const RoomInput *input);
static void note_workers(RoomRow *row, uint32_t workers, int64_t now_us);
static double get_waiting_share(RoomRow *row, double waiting_streams,
                                int64_t now_us);
static bool is_leaving(const Room *room, const RoomRow *row, int64_t now_us);

void
Room_Update(Room *room, const RoomInput *input)
{
    drop_missing(room, input);
    for (uint32_t i = 0; i < input->count; i++) {
        const RoomVersion *from = &input->versions[i];
        RoomRow *row = find_row(room, from->version);
        if (row == NULL) {
            continue;
        }
        note_workers(row, from->workers, input->now_us);
        row->held =
            get_waiting_share(row, from->waiting_streams, input->now_us);
    }
    for (uint32_t i = 0; i < ROOM_VERSIONS_MAX; i++) {
        RoomRow *row = &room->rows[i];
        if (row->version != 0 && row->workers <= ROOM_KEPT_WORKERS &&
            is_leaving(room, row, input->now_us)) {
            row->held = 1;
        }
    }
}

bool
Room_IsHeld(const Room *room, uint32_t version, uint64_t worker)
{
    for (uint32_t i = 0; i < ROOM_VERSIONS_MAX; i++) {
        const RoomRow *row = &room->rows[i];
        if (row->version == version && row->held > 0) {
            /* The upper half of a hash is a random number of 32 bits. */
            uint32_t place = (uint32_t)(worker >> 32);
            place = row->is_other_turn ? ~place : place;
            return (double)place < row->held * 4294967296.0;
        }
    }
    return false;
}

/* Returns the version's row, or else a free one or that of a version without
   workers, or NULL. */
static RoomRow *
find_row(Room *room, uint32_t version)
{
    RoomRow *unused = NULL;

    for (uint32_t i = 0; i < ROOM_VERSIONS_MAX; i++) {
        if (room->rows[i].version == version) {
            return &room->rows[i];
        }
        if (room->rows[i].version == 0 ||
            (unused == NULL && room->rows[i].workers == 0)) {
            unused = &room->rows[i];
        }
    }
    if (unused != NULL) {
        memset(unused, 0, sizeof(*unused));
        unused->version = version;
    }
    return unused;
}

/* Drops versions that have no workers any more. All may be silent for a
   moment: the limits of a version whose streams waited lately go on. */
static void
drop_missing(Room *room, const RoomInput *input)
{
    for (uint32_t i = 0; i < ROOM_VERSIONS_MAX; i++) {
        RoomRow *row = &room->rows[i];
        bool is_there = false;
        for (uint32_t k = 0; k < input->count; k++) {
            is_there |= input->versions[k].version == row->version;
        }
        if (is_there) {
            continue;
        }
        if (row->waiting_us != 0 &&
            input->now_us - row->waiting_us < ROOM_REST_US) {
            note_workers(row, 0, input->now_us);
            row->held = 0;
        }
        else {
            memset(row, 0, sizeof(*row));
        }
    }
}

static void
note_workers(RoomRow *row, uint32_t workers, int64_t now_us)
{
    if (workers < row->workers) {
        row->shrank_us = now_us;
    }
    else if (workers > row->workers) {
        row->grew_us = now_us;
    }
    row->workers = workers;
}

/* Returns the share of the version's workers that begun streams need which
   wait there. */
static double
get_waiting_share(RoomRow *row, double waiting_streams, int64_t now_us)
{
    double held;
    double share;

    if (waiting_streams <= 0 || row->workers == 0) {
        if (now_us - row->waiting_us >= ROOM_REST_US) {
            row->began_us = 0;
        }
        return 0;
    }
    if (row->began_us == 0) {
        row->began_us = now_us;
    }
    row->waiting_us = now_us;
    row->is_other_turn = now_us - row->began_us >= ROOM_WHOLE_MAX_US &&
                         (now_us - row->began_us) / ROOM_TURN_US % 2 != 0;
    held = waiting_streams > ROOM_HELD_MIN ? waiting_streams : ROOM_HELD_MIN;
    share = held < row->workers ? held / row->workers : 1;
    return now_us - row->began_us < ROOM_WHOLE_MAX_US ||
                   share < ROOM_LASTING_SHARE
               ? share
               : ROOM_LASTING_SHARE;
}

/* Whether the version's workers became fewer lately while those of another one
   became more. */
static bool
is_leaving(const Room *room, const RoomRow *row, int64_t now_us)
{
    if (row->shrank_us == 0 || row->shrank_us <= row->grew_us ||
        now_us - row->shrank_us >= ROOM_LEAVING_US) {
        return false;
    }
    for (uint32_t i = 0; i < ROOM_VERSIONS_MAX; i++) {
        const RoomRow *other = &room->rows[i];
        if (other != row && other->workers > ROOM_KEPT_WORKERS &&
            other->grew_us > other->shrank_us &&
            now_us - other->grew_us < ROOM_LEAVING_US) {
            return true;
        }
    }
    return false;
}
