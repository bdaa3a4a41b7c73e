/* Fair share: which accounts' streams are rejected first while there is not
   enough room for all.

   An account that sends ten times its usual load takes most of the room that
   becomes free, as it has most of the requests that look for it, and the
   others are rejected with it. So while streams lack room, an account counts
   as served up to its fair share only, and its streams beyond that are
   rejected before they look for room. The fair share is the same for all
   accounts that send requests; what some of them don't use is shared among
   the others (max-min).

   The room for all follows from what found room lately. With enough room the
   limit rises until it limits nobody, so that a limit which was too low is
   found out within some seconds. */
#ifndef LS_FAIR_SHARE_H
#define LS_FAIR_SHARE_H

#include <stdint.h>

/* Share of the streams without room from which on there is not enough. */
#define FAIR_SHARE_LACK_MIN 0.1
/* Streams a second without room, at all VMs, below which there is enough: a
   few at a time find no room while workers change. */
#define FAIR_SHARE_LACKING_MIN 2.0
/* Growth of the limit in a second with enough room. */
#define FAIR_SHARE_GROWTH 1.5
/* What accounts may take together, as a multiple of what found room lately:
   room must not stay empty. With 1.0, accounts with the same load lose 5% of
   their streams while room lacks (test_decide_fair_share). */
#define FAIR_SHARE_ROOM 1.05
/* An account's streams are let through at least this share as often as all are
   served. Some of them find no room, and no account must be served less than a
   quarter as often as all. */
#define FAIR_SHARE_LEAST 0.3

/* What all VMs were asked for lately. Rates are units a second. */
typedef struct FairShareLoad {
    double looked;      /* Streams that looked for room. */
    double lacking;     /* Those of them that found none at first. */
    double served;      /* Streams that found room, at first or later. */
    double stream_size; /* Units of a stream, mean. */
} FairShareLoad;

/* All zero at first. */
typedef struct FairShare {
    double limit; /* Fair share of an account; 0: none is limited. */
    double least; /* Least probability. */
    int64_t updated_us;
} FairShare;

/* Returns the rate up to which each account is served, if all together have
   `capacity`. `asked`: their rates, which get sorted. */
double FairShare_Divide(double *asked, uint32_t count, double capacity);
/* Follows the load; `asked` as above. To be called several times a second. */
void FairShare_Update(FairShare *share, const FairShareLoad *load,
                      double *asked, uint32_t count, int64_t now_us);
/* Returns the part of the streams that are let through of an account that asks
   for this rate. */
double FairShare_GetProbability(const FairShare *share, double asked);

#endif
