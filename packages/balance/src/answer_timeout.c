#include "savoryledge/balance/answer_timeout.h"

enum {
    /// RFC 6298, 2: alpha 1/8, beta 1/4, K 4.
    SMOOTHED_SHARE = 8,
    DEVIATION_SHARE = 4,
    DEVIATIONS = 4,
    /// Share of a longer answer time that the least one takes on: minutes of
    /// answers, so that a way which has become longer is not taken for a queue
    /// for good.
    LEAST_SHARE = 8192,
    /// Before any answer was seen: well above a calm machine's, and below the
    /// time after which a caller sends its segment for the third time.
    FIRST_US = 300 * 1000,
    MOST_US = 1000 * 1000,
    DOUBLINGS_MAX = 3,
    /// Answers that take so much longer than the quickest wait in a queue:
    /// a tick of this process and one of the other.
    QUEUEING_US = 40 * 1000,
    FIRST_QUESTIONS = 32,
    LEAST_QUESTIONS = 8,
    MOST_QUESTIONS = 1024,
    QUESTIONS_STEP = 4,
};

void
SlAnswerTimeout_AddSample(struct SlAnswerTimeout *patience, uint64_t took_us)
{
    uint64_t apart_us;

    patience->doublings = 0;
    if (patience->smoothed_us == 0) {
        patience->smoothed_us = took_us + 1;
        patience->deviation_us = took_us / 2;
        patience->min_us = took_us;
        return;
    }
    apart_us = took_us > patience->smoothed_us
                   ? took_us - patience->smoothed_us
                   : patience->smoothed_us - took_us;
    patience->deviation_us =
        (patience->deviation_us * (DEVIATION_SHARE - 1) + apart_us) /
        DEVIATION_SHARE;
    patience->smoothed_us =
        (patience->smoothed_us * (SMOOTHED_SHARE - 1) + took_us) /
            SMOOTHED_SHARE +
        1;
    if (took_us < patience->min_us) {
        patience->min_us = took_us;
    }
    else {
        patience->min_us += (took_us - patience->min_us) / LEAST_SHARE;
    }
}

void
SlAnswerTimeout_Double(struct SlAnswerTimeout *patience)
{
    if (patience->doublings < DOUBLINGS_MAX) {
        patience->doublings++;
    }
}

uint64_t
SlAnswerTimeout_Us(const struct SlAnswerTimeout *patience, uint64_t least_us)
{
    uint64_t us = FIRST_US;

    if (patience->smoothed_us != 0) {
        us = patience->smoothed_us + DEVIATIONS * patience->deviation_us;
    }
    us = us > least_us ? us : least_us;
    us <<= patience->doublings;
    return us < MOST_US ? us : MOST_US;
}

bool
SlPatience_IsQueueing(const struct SlAnswerTimeout *patience)
{
    return patience->smoothed_us > patience->min_us + QUEUEING_US;
}

void
SlQueryBudget_ReduceOnLoss(struct SlQueryBudget *budget, uint64_t now_us,
                           const struct SlAnswerTimeout *patience)
{
    /* Once in the time that an answer takes: earlier ones tell of the former
       rate. */
    if (now_us - budget->halved_us <= patience->smoothed_us) {
        return;
    }
    budget->halved_us = now_us;
    budget->limit /= 2;
    if (budget->limit < LEAST_QUESTIONS) {
        budget->limit = LEAST_QUESTIONS;
    }
}

void
SlQueryBudget_StartTick(struct SlQueryBudget *budget, uint64_t now_us,
                        const struct SlAnswerTimeout *patience)
{
    if (budget->limit == 0) {
        budget->limit = FIRST_QUESTIONS;
    }
    if (SlPatience_IsQueueing(patience)) {
        SlQueryBudget_ReduceOnLoss(budget, now_us, patience);
    }
    else if (budget->spent >= budget->limit &&
             budget->limit < MOST_QUESTIONS) {
        budget->limit += QUESTIONS_STEP;
    }
    budget->spent = 0;
}

bool
SlQueryBudget_Spend(struct SlQueryBudget *budget, uint32_t count)
{
    if (budget->spent != 0 && budget->spent + count > budget->limit) {
        return false;
    }
    budget->spent += count;
    return true;
}
