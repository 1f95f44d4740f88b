#include "relay_evidence.h"

enum {
    /// Used until a plan provides the idle timeout of flows.
    DEFAULT_IDLE_US = 60 * 1000 * 1000,
    /// Largest number of a status that may be a run's first.
    FIRST_STATUS_SEQ_MAX = 1,
    /// Minimum time from the first upstream status that an agent process
    /// receives to the start of the next agent process.
    PROCESS_RESTART_MIN_MS = 100,
    /// Difference of two intervals by the wall clock and the steady clock
    /// above which the wall clock has jumped, and by which a start time may be
    /// late.
    CLOCK_DIFFERENCE_MAX_MS = 50,
    /// Maximum time that a status takes to arrive at its agent, which may be
    /// short of processor time.
    STATUS_DELAY_MAX_MS = 250,
    US_PER_MS = 1000,
    /// By how much a run that began under a process may seem to have begun
    /// before it.
    START_MARGIN_US =
        (PROCESS_RESTART_MIN_MS + CLOCK_DIFFERENCE_MAX_MS) * US_PER_MS,
};

void
SlFlowLife_SetIdle(struct SlFlowLife *life, uint64_t idle_us)
{
    life->idle_us = idle_us;
    if (idle_us > life->longest_idle_us) {
        life->longest_idle_us = idle_us;
    }
}

uint64_t
SlFlowLife_KeepUs(const struct SlFlowLife *life)
{
    return (life->idle_us != 0 ? life->idle_us : DEFAULT_IDLE_US) +
           SL_EVIDENCE_CONFIG_US;
}

uint64_t
SlFlowLife_UnseenUs(const struct SlFlowLife *life)
{
    return (life->longest_idle_us != 0 ? life->longest_idle_us
                                       : DEFAULT_IDLE_US) +
           SL_EVIDENCE_CONFIG_US;
}

bool
SlTableEvidence_IsComplete(const struct SlTableEvidence *table,
                           const struct SlFlowLife *life, uint64_t now_us)
{
    return table->saw_start ||
           now_us >= table->since_us + SlFlowLife_UnseenUs(life);
}

bool
SlPeerEvidence_IsOutOfTouch(const struct SlPeerEvidence *peer,
                            const struct SlFlowLife *life, uint64_t now_us)
{
    return peer->unreachable_since_us != 0 &&
           now_us - peer->unreachable_since_us >= SlFlowLife_UnseenUs(life);
}

bool
SlPeerEvidence_IsSilent(const struct SlPeerEvidence *peer,
                        const struct SlFlowLife *life, uint64_t now_us)
{
    return SlPeerEvidence_IsOutOfTouch(peer, life, now_us) &&
           peer->unanswered_us != 0 &&
           now_us - peer->unanswered_us < SL_EVIDENCE_SILENCE_US;
}

enum SlRefusal
SlRefusalEvidence_Judge(const struct SlRefusalEvidence *refusal,
                        uint64_t now_us)
{
    if (!refusal->may_drain) {
        return SL_REFUSAL_ENDED;
    }
    if (refusal->heard_us > refusal->refused_us) {
        return SL_REFUSAL_RUNS;
    }
    return now_us - refusal->heard_us < SL_EVIDENCE_STATUS_US
               ? SL_REFUSAL_UNKNOWN
               : SL_REFUSAL_ENDED;
}

/// Returns the earliest time at which the run can have started, by a wall
/// clock that has kept pace with the steady clock since a moment; 0 when it
/// has not, or does not tell.
static uint64_t
start_by_clock_us(const struct SlRunStartEvidence *run, uint64_t since_us,
                  uint64_t since_wall_ms)
{
    uint64_t steady_ms = (run->received_us - since_us) / US_PER_MS;
    uint64_t wall_ms = run->received_wall_ms - since_wall_ms;
    uint64_t age_us = (run->received_wall_ms - run->started_wall_ms +
                       CLOCK_DIFFERENCE_MAX_MS) *
                      US_PER_MS;

    if (since_wall_ms == 0 || run->received_wall_ms == 0 ||
        run->started_wall_ms == 0 ||
        run->received_wall_ms < run->started_wall_ms ||
        run->received_wall_ms < since_wall_ms ||
        wall_ms > steady_ms + CLOCK_DIFFERENCE_MAX_MS ||
        steady_ms > wall_ms + CLOCK_DIFFERENCE_MAX_MS) {
        return 0;
    }
    return run->received_us > age_us ? run->received_us - age_us : 0;
}

uint64_t
SlRunStartEvidence_StartUs(const struct SlRunStartEvidence *run)
{
    return start_by_clock_us(run, run->previous_us, run->previous_wall_ms);
}

/// True when the run began while the process was running, by a wall clock that
/// has not jumped since.
static bool
started_under_process(const struct SlRunStartEvidence *run)
{
    uint64_t in_process_us = start_by_clock_us(run, run->process_started_us,
                                               run->process_started_wall_ms);
    uint64_t after_previous_us = SlRunStartEvidence_StartUs(run);

    return (in_process_us != 0 &&
            in_process_us + START_MARGIN_US >= run->process_started_us) ||
           (after_previous_us != 0 && after_previous_us >= run->previous_us);
}

/// True when the cold phase began when the run did, by the wall clock.
static bool
is_cold_since_start(const struct SlRunStartEvidence *run, uint32_t cold_age_ms)
{
    uint64_t age_ms = run->received_wall_ms - run->started_wall_ms;

    return age_ms + CLOCK_DIFFERENCE_MAX_MS >= cold_age_ms &&
           age_ms <= cold_age_ms + STATUS_DELAY_MAX_MS;
}

bool
SlRunStartEvidence_IsProven(const struct SlRunStartEvidence *run,
                            uint32_t cold_ms)
{
    uint64_t process_ms =
        (run->received_us - run->process_started_us) / US_PER_MS;
    bool cold_age_known =
        run->cold_remaining_ms > 0 && run->cold_remaining_ms <= cold_ms;
    uint32_t cold_age_ms =
        cold_age_known ? cold_ms - run->cold_remaining_ms : 0;

    if (cold_age_ms > process_ms + PROCESS_RESTART_MIN_MS) {
        return false;
    }
    if (run->succeeded) {
        return true;
    }
    return started_under_process(run) &&
           (run->seq <= FIRST_STATUS_SEQ_MAX ||
            (cold_age_known && is_cold_since_start(run, cold_age_ms)));
}
