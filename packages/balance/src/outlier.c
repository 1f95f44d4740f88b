#include "savoryledge/balance/outlier.h"

enum {
    /// Minimum number of measured upstreams: with fewer there is no usual
    /// answer time to compare with.
    MEASURED_MIN = 3,
    /// An upstream is slow when its average answer time exceeds this multiple
    /// of the median, in tenths. Between healthy upstreams the averages of one
    /// route differ by less.
    SLOW_TENTHS = 30,
    /// A slow upstream has recovered when its average falls to this multiple
    /// of the median. The gap keeps an upstream near the limit from changing
    /// with each report.
    RECOVERED_TENTHS = 20,
    TENTHS = 10,
    /// At most one in this many upstreams is ejected.
    EJECTED_SHARE = 3,
    /// Maximum number of upstreams that are compared. Further upstreams are
    /// never marked as slow.
    CANDIDATES_MAX = 256,
};

static bool
is_measured(const struct SlCandidate *candidate)
{
    return candidate->accepts_flows && candidate->load.answer_us != 0;
}

/// Returns the index of the slowest measured candidate that is not yet in
/// sorted, or count when none is left.
static uint32_t
find_slowest(const struct SlCandidate *candidates, uint32_t count,
             const bool *sorted)
{
    uint32_t found = count;

    for (uint32_t i = 0; i < count; i++) {
        if (is_measured(&candidates[i]) && !sorted[i] &&
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
    bool sorted[CANDIDATES_MAX] = {false};
    uint32_t slowest_first[CANDIDATES_MAX];
    uint32_t measured_count = 0;
    uint64_t median_us;

    count = count < CANDIDATES_MAX ? count : CANDIDATES_MAX;
    for (uint32_t i = 0; i < count; i++) {
        measured_count += is_measured(&candidates[i]);
    }
    /* Only the slower half is needed, down to the median. */
    for (uint32_t i = 0; measured_count > 0 && i <= measured_count / 2; i++) {
        slowest_first[i] = find_slowest(candidates, count, sorted);
        sorted[slowest_first[i]] = true;
    }
    median_us =
        measured_count >= MEASURED_MIN
            ? candidates[slowest_first[measured_count / 2]].load.answer_us
            : 0;
    for (uint32_t i = 0; i < count; i++) {
        struct SlCandidate *candidate = &candidates[i];
        uint64_t limit_tenths =
            candidate->slow ? RECOVERED_TENTHS : SLOW_TENTHS;

        candidate->slow = median_us != 0 && is_measured(candidate) &&
                          (uint64_t)candidate->load.answer_us * TENTHS >
                              median_us * limit_tenths;
    }
    for (uint32_t i = measured_count / EJECTED_SHARE;
         measured_count >= MEASURED_MIN && i <= measured_count / 2; i++) {
        candidates[slowest_first[i]].slow = false;
    }
}
