#ifndef SAVORYLEDGE_COORDINATION_RELAY_EVIDENCE_H
#define SAVORYLEDGE_COORDINATION_RELAY_EVIDENCE_H

/// What makes it certain that an upstream does not hold a flow. Only on such
/// evidence may a caller be reset; every other answer means "unknown".
///
/// Load pattern: agents restart one after the other, or all at once, while
/// their upstreams keep their flows, and routes and idle timeouts change
/// meanwhile. A flow stays where it is when its route moves, so what the
/// present plan says of the route is no evidence. Machines stand still and go
/// on while control calls them unreachable, for as long as it has no leader
/// that hears them: an agent that was not asked has not said no. Machines that
/// are gone for good must not make every answer uncertain. An upstream that
/// drains may refuse connections long before its last flow ends.

#include <stdbool.h>
#include <stdint.h>

enum {
    /// Upstreams report their status about every second; one that runs has
    /// reported it by then.
    SL_EVIDENCE_STATUS_US = 1500 * 1000,
    /// How long it counts that an agent has left a query unanswered. One that
    /// was not in touch then may be in touch again.
    SL_EVIDENCE_SILENCE_US = 4 * 1000 * 1000,
    /// Time within which a change of the idle timeout reaches every process. A
    /// flow that is idle for longer than the timeout known here may live by a
    /// newer one until then.
    SL_EVIDENCE_CONFIG_US = 3 * 1000 * 1000,
};

/// What a process knows of the life of flows. Zero-initialise before use.
struct SlFlowLife {
    /// The present idle timeout, and the longest one since the process
    /// started, microseconds; 0 before the first plan.
    uint64_t idle_us;
    uint64_t longest_idle_us;
};

/// Records the idle timeout of a plan.
void
SlFlowLife_SetIdle(struct SlFlowLife *life, uint64_t idle_us);
/// Returns how long a flow that is not used must be kept in a table.
uint64_t
SlFlowLife_KeepUs(const struct SlFlowLife *life);
/// Returns how long a flow may live that nobody has used since this process
/// started.
uint64_t
SlFlowLife_UnseenUs(const struct SlFlowLife *life);

/// How an agent's table of flows came about.
struct SlTableEvidence {
    /// Since when the process passes segments to the upstream.
    uint64_t since_us;
    /// The present run of the upstream started while the process was running,
    /// so it passed all opening segments (SlRunStartEvidence_IsProven).
    bool saw_start;
};

/// True when the upstream holds no flow that is not in the table.
bool
SlTableEvidence_IsComplete(const struct SlTableEvidence *table,
                           const struct SlFlowLife *life, uint64_t now_us);

/// What is known of an agent that may have been lost with its upstream.
struct SlPeerEvidence {
    /// Since when the configuration has marked the agent as unreachable and no
    /// frame has arrived from it here; otherwise 0.
    uint64_t unreachable_since_us;
    /// When the agent last left a query unanswered; 0 when it has answered
    /// since.
    uint64_t unanswered_us;
};

/// True when the agent has been out of touch for as long as an unused flow may
/// live. It is asked, but no answer within a short time means "no".
bool
SlPeerEvidence_IsOutOfTouch(const struct SlPeerEvidence *peer,
                            const struct SlFlowLife *life, uint64_t now_us);
/// True when, besides, it has just left a query unanswered. It is asked, but
/// its answer is not awaited.
bool
SlPeerEvidence_IsSilent(const struct SlPeerEvidence *peer,
                        const struct SlFlowLife *life, uint64_t now_us);

/// An upstream that refuses connections while its agent stops.
struct SlRefusalEvidence {
    uint64_t refused_us;
    /// When the last segment or status arrived from the upstream, or the agent
    /// started.
    uint64_t heard_us;
    /// The upstream has said that it drains, or has not reported to the agent
    /// yet. It may then refuse connections for as long as its flows last.
    bool may_drain;
};

enum SlRefusal {
    /// The upstream no longer runs.
    SL_REFUSAL_ENDED = 0,
    /// It may run; the next status will tell.
    SL_REFUSAL_UNKNOWN,
    /// It was heard since.
    SL_REFUSAL_RUNS,
};

/// Returns what a refused connection means.
enum SlRefusal
SlRefusalEvidence_Judge(const struct SlRefusalEvidence *refusal,
                        uint64_t now_us);

/// What a process knows of the start of its upstream's present run. Wall-clock
/// times are milliseconds since 1970, 0 when unknown.
struct SlRunStartEvidence {
    uint64_t process_started_us;
    uint64_t process_started_wall_ms;
    /// The last status of another run that the process took for the present
    /// one; 0 when there is none.
    uint64_t previous_us;
    uint64_t previous_wall_ms;
    /// The first status of the present run that was taken.
    uint64_t received_us;
    uint64_t received_wall_ms;
    uint64_t seq;
    uint64_t started_wall_ms;
    uint32_t cold_remaining_ms;
    /// The run before reported to this process for a while, and this one has
    /// done so since, while the run before was silent.
    bool succeeded;
};

/// Returns the earliest time at which the run can have started; 0 when the
/// wall clock does not tell, or has jumped since the run before.
uint64_t
SlRunStartEvidence_StartUs(const struct SlRunStartEvidence *run);

/// True when it is certain that the run began while the process was running,
/// so that no earlier process of the agent can have admitted a flow to it.
/// Nothing else makes a table of flows complete before the flows of others
/// have expired, and nothing else shows that earlier flows are lost.
///
/// A run that has succeeded one which reported to this process began here. The
/// first status of a run may be a late one, of a run that ended long ago, so
/// it does not tell when the next run began. Where only a first status is
/// known, two signs are needed: a start time within the life of the process,
/// by a wall clock that has not jumped since, and a status among the run's
/// first two, as the first number may be 0 or 1, or a cold phase that began at
/// that time. A cold phase proves nothing alone, since an upstream may become
/// cold while it runs, but one that began before the process shows that the
/// run did.
///
/// cold_ms: the length of the cold phase; 0 when there is none.
bool
SlRunStartEvidence_IsProven(const struct SlRunStartEvidence *run,
                            uint32_t cold_ms);

#endif
