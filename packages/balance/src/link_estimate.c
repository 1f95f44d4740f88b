#include "savoryledge/balance/link_estimate.h"

enum {
    INTERVAL_US = 200 * 1000,
    US_PER_S = 1000 * 1000,
    /// With fewer answers in an interval, its mean delay says little.
    ANSWERS_MIN = 2,
    /// An interval in which less than this part of the rate is in use hardly
    /// shows that the link can carry more; the rate rises by a smaller step.
    USED_DIVISOR = 2,
    IDLE_STEP_DIVISOR = 16,
    /// The rate falls to three quarters, but not below one sixteenth of the
    /// rate in the settings, and rises by one sixteenth of that rate.
    DECREASE_NUMERATOR = 3,
    DECREASE_DIVISOR = 4,
    STEP_DIVISOR = 16,
    /// A longer answer time raises the minimum by the difference divided by
    /// this, so that the minimum follows a path that has become longer.
    MINIMUM_RISE_DIVISOR = 8192,
};

void
SlLinkEstimate_AddBytes(struct SlLinkEstimate *link, uint64_t received_bytes,
                        uint64_t sent_bytes)
{
    link->received_bytes += received_bytes;
    link->sent_bytes += sent_bytes;
}

void
SlLinkEstimate_AddAnswer(struct SlLinkEstimate *link, uint64_t took_us)
{
    if (link->min_answer_us == 0 || took_us < link->min_answer_us) {
        link->min_answer_us = took_us;
    }
    else {
        link->min_answer_us +=
            (took_us - link->min_answer_us) / MINIMUM_RISE_DIVISOR;
    }
    link->answer_sum_us += took_us;
    link->answers++;
}

/// Adjusts the rate to the delay of the interval that ends.
static bool
adjust_rate(struct SlLinkEstimate *link)
{
    uint64_t former = link->rate_bytes_per_s;
    uint64_t step = link->set_bytes_per_s / STEP_DIVISOR + 1;
    uint64_t mean_us;

    if (link->answers < ANSWERS_MIN) {
        return false;
    }
    mean_us = link->answer_sum_us / link->answers;
    link->delay_us =
        mean_us > link->min_answer_us ? mean_us - link->min_answer_us : 0;
    if (link->delay_us > link->delay_limit_us) {
        link->rate_bytes_per_s =
            former * DECREASE_NUMERATOR / DECREASE_DIVISOR;
        if (link->rate_bytes_per_s < step) {
            link->rate_bytes_per_s = step;
        }
    }
    else if (link->delay_us < link->delay_limit_us / 2) {
        if (link->used_bytes_per_s < former / USED_DIVISOR) {
            step /= IDLE_STEP_DIVISOR;
        }
        link->rate_bytes_per_s = former + step;
        if (link->rate_bytes_per_s > link->set_bytes_per_s) {
            link->rate_bytes_per_s = link->set_bytes_per_s;
        }
    }
    return link->rate_bytes_per_s != former;
}

bool
SlLinkEstimate_Tick(struct SlLinkEstimate *link, uint64_t now_us)
{
    uint64_t elapsed_us = now_us - link->began_us;
    uint64_t bytes = link->received_bytes > link->sent_bytes
                         ? link->received_bytes
                         : link->sent_bytes;
    bool changed = false;

    if (link->rate_bytes_per_s == 0) {
        link->rate_bytes_per_s = link->set_bytes_per_s;
    }
    else if (elapsed_us < INTERVAL_US) {
        return false;
    }
    else {
        link->used_bytes_per_s = bytes * US_PER_S / elapsed_us;
        changed = adjust_rate(link);
    }
    link->began_us = now_us;
    link->received_bytes = 0;
    link->sent_bytes = 0;
    if (link->answers >= ANSWERS_MIN) {
        link->answer_sum_us = 0;
        link->answers = 0;
    }
    return changed;
}
