#include "savoryledge/balance/outlier.h"

enum {
    /// Fewer than this say nothing about which of them is usual.
    PEERS_MIN = 3,
    /// Slow from so many times the median on, in tenths: answers of one route
    /// differ by less between upstreams that are well, as an average.
    SLOW_TENTHS = 30,
    /// Well again below so many times the median, so that one at the bound
    /// does not change with each report.
    WELL_TENTHS = 20,
    TENTHS = 10,
    /// One in so many is passed by, at most.
    SLOW_SHARE = 3,
    /// Upstreams looked at; those beyond are never slow.
    PEERS_MAX = 256,
};

static bool
is_judged(const struct SlCandidate *candidate)
{
    return candidate->accepts_flows && candidate->load.answer_us != 0;
}

/// Index of the slowest judged candidate that is not in taken; count when none
/// is left.
static uint32_t
slowest(const struct SlCandidate *candidates, uint32_t count,
        const bool *taken)
{
    uint32_t found = count;

    for (uint32_t i = 0; i < count; i++) {
        if (is_judged(&candidates[i]) && !taken[i] &&
            (found == count || candidates[i].load.answer_us >
                                   candidates[found].load.answer_us)) {
            found = i;
        }
    }
    return found;
}

void
SlOutlier_MarkSlow(struct SlCandidate *candidates, uint32_t count)
{
    bool taken[PEERS_MAX] = {false};
    uint32_t order[PEERS_MAX];
    uint32_t judged = 0;
    uint64_t median_us;

    count = count < PEERS_MAX ? count : PEERS_MAX;
    for (uint32_t i = 0; i < count; i++) {
        judged += is_judged(&candidates[i]);
    }
    /* From the slowest down to the median: no more are needed. */
    for (uint32_t i = 0; judged > 0 && i <= judged / 2; i++) {
        order[i] = slowest(candidates, count, taken);
        taken[order[i]] = true;
    }
    median_us =
        judged >= PEERS_MIN ? candidates[order[judged / 2]].load.answer_us : 0;
    for (uint32_t i = 0; i < count; i++) {
        struct SlCandidate *candidate = &candidates[i];
        uint64_t bound = candidate->slow ? WELL_TENTHS : SLOW_TENTHS;

        candidate->slow =
            median_us != 0 && is_judged(candidate) &&
            (uint64_t)candidate->load.answer_us * TENTHS > median_us * bound;
    }
    for (uint32_t i = judged / SLOW_SHARE;
         judged >= PEERS_MIN && i <= judged / 2; i++) {
        candidates[order[i]].slow = false;
    }
}
