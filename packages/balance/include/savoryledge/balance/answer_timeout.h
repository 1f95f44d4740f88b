#ifndef SAVORYLEDGE_BALANCE_ANSWER_TIMEOUT_H
#define SAVORYLEDGE_BALANCE_ANSWER_TIMEOUT_H

/// Adaptive answer timeout, and a budget for the queries sent per tick.
///
/// Load pattern: answers are queued on this process's own link or wait for its
/// own processor. Treating them as lost would repeat the queries and lengthen
/// the queue that delays them. The timeout therefore follows the measured
/// answer times (RFC 6298), and the query rate is reduced as soon as answers
/// take longer than on an idle path (RFC 6817), before any answer is lost.

#include <stdbool.h>
#include <stdint.h>

/// Answer-time statistics of one network path. Zero-initialise before use.
struct SlAnswerTimeout {
    /// Smoothed answer time (RFC 6298); 0 before the first answer.
    uint64_t smoothed_us;
    /// Smoothed deviation of the answer times.
    uint64_t deviation_us;
    /// Minimum answer time of the last minutes, which estimates the answer
    /// time of an idle path.
    uint64_t min_us;
    /// Number of times the timeout is doubled, as backoff after a period in
    /// which no answer arrived.
    uint32_t doublings;
};

/// Adds the answer time of one query and ends the backoff.
void
SlAnswerTimeout_AddSample(struct SlAnswerTimeout *timeout, uint64_t took_us);
/// Doubles the timeout. Called when most queries stay unanswered, which
/// indicates a fault of this process or its link.
void
SlAnswerTimeout_Double(struct SlAnswerTimeout *timeout);
/// Returns the present answer timeout, microseconds. It is at least
/// min_timeout_us and at most one second.
uint64_t
SlAnswerTimeout_Us(const struct SlAnswerTimeout *timeout,
                   uint64_t min_timeout_us);
/// True when answers take more than 40 ms longer than on an idle path.
bool
SlAnswerTimeout_AreAnswersQueued(const struct SlAnswerTimeout *timeout);

/// Limit on the queries sent in one tick. The limit rises while answers arrive
/// without queueing and is halved when answers queue. Zero-initialise before
/// use.
struct SlQueryBudget {
    /// Maximum number of queries in one tick.
    uint32_t limit;
    /// Queries sent in the present tick.
    uint32_t spent;
    /// Time at which the limit was last halved.
    uint64_t halved_us;
};

/// Starts a new tick: adjusts the limit and discards the part of the budget
/// that the previous tick did not spend.
void
SlQueryBudget_StartTick(struct SlQueryBudget *budget, uint64_t now_us,
                        const struct SlAnswerTimeout *timeout);
/// Halves the limit because queries stay unanswered, by the same rule as when
/// answers queue.
void
SlQueryBudget_ReduceOnLoss(struct SlQueryBudget *budget, uint64_t now_us,
                           const struct SlAnswerTimeout *timeout);
/// Spends count queries of the tick's budget; false when fewer are left. The
/// first call in a tick always succeeds.
bool
SlQueryBudget_SpendQueries(struct SlQueryBudget *budget, uint32_t count);

#endif
