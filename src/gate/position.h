/* Position (Pos_): a place in the history of the source (the store of
   configuration and workers). Revisions grow with each change, but they go
   back and are given out again when the source returns from a copy that is
   some seconds old. Its era then rises, so that positions are ordered by era
   and then by revision. */
#ifndef LS_POSITION_H
#define LS_POSITION_H

#include <stdbool.h>
#include <stdint.h>

typedef struct Pos {
    uint64_t era; /* 0 for a source that names no era. */
    uint64_t revision;
} Pos;

/* Whether `a` comes before `b`. */
static inline bool
Pos_IsBefore(Pos a, Pos b)
{
    return a.era != b.era ? a.era < b.era : a.revision < b.revision;
}

static inline bool
Pos_IsEqual(Pos a, Pos b)
{
    return a.era == b.era && a.revision == b.revision;
}

/* Returns the later of two positions. */
static inline Pos
Pos_Max(Pos a, Pos b)
{
    return Pos_IsBefore(a, b) ? b : a;
}

#endif
