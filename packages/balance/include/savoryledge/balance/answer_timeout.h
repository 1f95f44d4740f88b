#ifndef SAVORYLEDGE_BALANCE_ANSWER_TIMEOUT_H
#define SAVORYLEDGE_BALANCE_ANSWER_TIMEOUT_H

/// How long an answer may take, and how many questions may be under way.
///
/// Load pattern: answers queue on the process's own link or for its own
/// processor. Taking them for missing repeats the questions, and the queue
/// grows by what it delays. So patience follows the answer times that are
/// seen (RFC 6298), and the rate of questions gives way as soon as answers
/// take longer than on an idle way (RFC 6817), before any is lost.

#include <stdbool.h>
#include <stdint.h>

/// Zero-initialise.
struct SlAnswerTimeout {
    uint64_t smoothed_us;
    uint64_t deviation_us;
    /// The least answer time of the last minutes, which is that of an idle
    /// way.
    uint64_t min_us;
    /// Patience is doubled so often, since nothing was heard at all.
    uint32_t doublings;
};

/// An answer came that long after its question.
void
SlAnswerTimeout_AddSample(struct SlAnswerTimeout *patience, uint64_t took_us);
/// Nothing is heard though much was asked: the fault is on this side.
void
SlAnswerTimeout_Double(struct SlAnswerTimeout *patience);
/// How long to wait for an answer, microseconds: at least least_us, one second
/// at most.
uint64_t
SlAnswerTimeout_Us(const struct SlAnswerTimeout *patience, uint64_t least_us);
/// True when answers take clearly longer than on an idle way.
bool
SlPatience_IsQueueing(const struct SlAnswerTimeout *patience);

/// Questions that may be sent from one tick to the next: more while answers
/// come at once, half as many when they queue. Zero-initialise.
struct SlQueryBudget {
    uint32_t limit;
    uint32_t spent;
    uint64_t halved_us;
};

/// A tick: what the last one left is not carried over.
void
SlQueryBudget_StartTick(struct SlQueryBudget *budget, uint64_t now_us,
                        const struct SlAnswerTimeout *patience);
/// Answers are missing: as if they queued.
void
SlQueryBudget_ReduceOnLoss(struct SlQueryBudget *budget, uint64_t now_us,
                           const struct SlAnswerTimeout *patience);
/// Takes count questions from the budget; false when they do not fit. The
/// first of a tick always do.
bool
SlQueryBudget_Spend(struct SlQueryBudget *budget, uint32_t count);

#endif
