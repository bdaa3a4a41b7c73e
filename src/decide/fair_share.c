/* Fair share: limit of accounts while room is lacking. See fair_share.h. */
#include "fair_share.h"

#include "../clock.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>

static int compare(const void *a, const void *b);
static bool is_lacking(const FairShareLoad *load);

double
FairShare_Divide(double *asked, uint32_t count, double capacity)
{
    double left = capacity;

    qsort(asked, count, sizeof(*asked), compare);
    for (uint32_t i = 0; i < count; i++) {
        double equal = left / (count - i);
        if (asked[i] >= equal) {
            return equal;
        }
        left -= asked[i];
    }
    return count > 0 ? asked[count - 1] : 0;
}

void
FairShare_Update(FairShare *share, const FairShareLoad *load, double *asked,
                 uint32_t count, int64_t now_us)
{
    double passed_s = (double)(now_us - share->updated_us) / CLK_US_PER_S;
    double most = 0;
    double sum = 0;

    for (uint32_t i = 0; i < count; i++) {
        most = fmax(most, asked[i]);
        sum += asked[i];
    }
    if (is_lacking(load)) {
        double room = load->served * FAIR_SHARE_ROOM;
        double fair = FairShare_Divide(asked, count, room);
        share->limit = fair;
        share->least = sum > 0 ? FAIR_SHARE_LEAST * fmin(1, room / sum) : 1;
    }
    else if (share->limit > 0) {
        share->limit *= pow(FAIR_SHARE_GROWTH, fmin(passed_s, 1));
    }
    if (share->limit >= most) {
        share->limit = 0;
    }
    share->updated_us = now_us;
}

double
FairShare_GetProbability(const FairShare *share, double asked)
{
    return share->limit <= 0 || asked <= share->limit
               ? 1
               : fmax(share->limit / asked, share->least);
}

static int
compare(const void *a, const void *b)
{
    double one = *(const double *)a;
    double two = *(const double *)b;

    return (one > two) - (one < two);
}

/* Whether there is not enough room. */
static bool
is_lacking(const FairShareLoad *load)
{
    return load->lacking > FAIR_SHARE_LACK_MIN * load->looked &&
           load->lacking > FAIR_SHARE_LACKING_MIN * load->stream_size &&
           load->served > 0;
}
