#include "savoryledge/balance/patience.h"

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
SlPatience_Answered(struct SlPatience *patience, uint64_t took_us)
{
    uint64_t apart_us;

    patience->doublings = 0;
    if (patience->smoothed_us == 0) {
        patience->smoothed_us = took_us + 1;
        patience->deviation_us = took_us / 2;
        patience->least_us = took_us;
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
    if (took_us < patience->least_us) {
        patience->least_us = took_us;
    }
    else {
        patience->least_us += (took_us - patience->least_us) / LEAST_SHARE;
    }
}

void
SlPatience_Double(struct SlPatience *patience)
{
    if (patience->doublings < DOUBLINGS_MAX) {
        patience->doublings++;
    }
}

uint64_t
SlPatience_Us(const struct SlPatience *patience, uint64_t least_us)
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
SlPatience_IsQueueing(const struct SlPatience *patience)
{
    return patience->smoothed_us > patience->least_us + QUEUEING_US;
}

void
SlQuestionBudget_Lost(struct SlQuestionBudget *budget, uint64_t now_us,
                      const struct SlPatience *patience)
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
SlQuestionBudget_Tick(struct SlQuestionBudget *budget, uint64_t now_us,
                      const struct SlPatience *patience)
{
    if (budget->limit == 0) {
        budget->limit = FIRST_QUESTIONS;
    }
    if (SlPatience_IsQueueing(patience)) {
        SlQuestionBudget_Lost(budget, now_us, patience);
    }
    else if (budget->spent >= budget->limit &&
             budget->limit < MOST_QUESTIONS) {
        budget->limit += QUESTIONS_STEP;
    }
    budget->spent = 0;
}

bool
SlQuestionBudget_Take(struct SlQuestionBudget *budget, uint32_t count)
{
    if (budget->spent != 0 && budget->spent + count > budget->limit) {
        return false;
    }
    budget->spent += count;
    return true;
}
