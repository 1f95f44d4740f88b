#include "savoryledge/balance/answer_timeout.h"

enum {
    /// RFC 6298, section 2: alpha is 1/8, beta is 1/4, K is 4.
    SMOOTHING_DIVISOR = 8,
    DEVIATION_DIVISOR = 4,
    DEVIATION_FACTOR = 4,
    /// A longer answer time raises the minimum by the difference divided by
    /// this. The minimum so follows a path that has become longer within some
    /// minutes of answers, and does not report a queue there permanently.
    MINIMUM_RISE_DIVISOR = 8192,
    /// Timeout before the first answer was measured: well above the answer
    /// time of an idle process, and shorter than the time after which a caller
    /// sends its segment for the third time.
    INITIAL_TIMEOUT_US = 300 * 1000,
    TIMEOUT_MAX_US = 1000 * 1000,
    DOUBLINGS_MAX = 3,
    /// Answers that exceed the minimum answer time by more than this are
    /// regarded as queued: one tick of this process and one tick of its peer.
    QUEUEING_DELAY_US = 40 * 1000,
    INITIAL_QUERIES = 32,
    QUERIES_MIN = 8,
    QUERIES_MAX = 1024,
    QUERIES_STEP = 4,
};

void
SlAnswerTimeout_AddSample(struct SlAnswerTimeout *timeout, uint64_t took_us)
{
    uint64_t difference_us;

    timeout->doublings = 0;
    if (timeout->smoothed_us == 0) {
        timeout->smoothed_us = took_us + 1;
        timeout->deviation_us = took_us / 2;
        timeout->min_us = took_us;
        return;
    }
    difference_us = took_us > timeout->smoothed_us
                        ? took_us - timeout->smoothed_us
                        : timeout->smoothed_us - took_us;
    timeout->deviation_us =
        (timeout->deviation_us * (DEVIATION_DIVISOR - 1) + difference_us) /
        DEVIATION_DIVISOR;
    timeout->smoothed_us =
        (timeout->smoothed_us * (SMOOTHING_DIVISOR - 1) + took_us) /
            SMOOTHING_DIVISOR +
        1;
    if (took_us < timeout->min_us) {
        timeout->min_us = took_us;
    }
    else {
        timeout->min_us += (took_us - timeout->min_us) / MINIMUM_RISE_DIVISOR;
    }
}

void
SlAnswerTimeout_Double(struct SlAnswerTimeout *timeout)
{
    if (timeout->doublings < DOUBLINGS_MAX) {
        timeout->doublings++;
    }
}

uint64_t
SlAnswerTimeout_Us(const struct SlAnswerTimeout *timeout,
                   uint64_t min_timeout_us)
{
    uint64_t timeout_us = INITIAL_TIMEOUT_US;

    if (timeout->smoothed_us != 0) {
        timeout_us =
            timeout->smoothed_us + DEVIATION_FACTOR * timeout->deviation_us;
    }
    timeout_us = timeout_us > min_timeout_us ? timeout_us : min_timeout_us;
    timeout_us <<= timeout->doublings;
    return timeout_us < TIMEOUT_MAX_US ? timeout_us : TIMEOUT_MAX_US;
}

bool
SlAnswerTimeout_AreAnswersQueued(const struct SlAnswerTimeout *timeout)
{
    return timeout->smoothed_us > timeout->min_us + QUEUEING_DELAY_US;
}

void
SlQueryBudget_ReduceOnLoss(struct SlQueryBudget *budget, uint64_t now_us,
                           const struct SlAnswerTimeout *timeout)
{
    /* At most one halving per answer time: answers that arrive earlier were
       queried at the former rate. */
    if (now_us - budget->halved_us <= timeout->smoothed_us) {
        return;
    }
    budget->halved_us = now_us;
    budget->limit /= 2;
    if (budget->limit < QUERIES_MIN) {
        budget->limit = QUERIES_MIN;
    }
}

void
SlQueryBudget_StartTick(struct SlQueryBudget *budget, uint64_t now_us,
                        const struct SlAnswerTimeout *timeout)
{
    if (budget->limit == 0) {
        budget->limit = INITIAL_QUERIES;
    }
    if (SlAnswerTimeout_AreAnswersQueued(timeout)) {
        SlQueryBudget_ReduceOnLoss(budget, now_us, timeout);
    }
    else if (budget->spent >= budget->limit && budget->limit < QUERIES_MAX) {
        budget->limit += QUERIES_STEP;
    }
    budget->spent = 0;
}

bool
SlQueryBudget_SpendQueries(struct SlQueryBudget *budget, uint32_t count)
{
    if (budget->spent != 0 && budget->spent + count > budget->limit) {
        return false;
    }
    budget->spent += count;
    return true;
}
