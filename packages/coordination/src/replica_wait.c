/// How long a replica waits for a control instance: for its link, for a
/// configuration, and for the word that the configuration is current. Round
/// trips are measured, so that a slow one does not count as silence.

#include "replica_core.h"

#include "replica_times.h"

/// A step of a 64-bit linear congruential generator (Knuth, TAOCP 3.3.4):
/// spreads retries; no secret depends on it.
static uint64_t
next_random(uint64_t *state)
{
    *state = *state * 6364136223846793005u + 1442695040888963407u;
    return *state >> 33;
}

uint64_t
SlReplica_BaseAnswerTimeoutUs(const struct SlReplica *replica)
{
    return CONTROL_ANSWER_TIMEOUT_US + replica->answer_jitter_us;
}

void
SlReplica_SetAnswerTimeout(struct SlReplica *replica)
{
    const struct config_source *last = &replica->control;

    if (replica->last_fresh_us >= last->since_us) {
        replica->answer_timeout_doublings = 0;
    }
    else if (last->link != 0 && !replica->is_control_empty &&
             !replica->is_control_outdated && !last->lacks_log &&
             replica->answer_timeout_doublings <
                 ANSWER_TIMEOUT_DOUBLINGS_MAX) {
        replica->answer_timeout_doublings++;
    }
    replica->answer_jitter_us =
        next_random(&replica->options.core.seed) % ANSWER_TIMEOUT_JITTER_US;
    replica->answer_timeout_us = ((uint64_t)CONTROL_ANSWER_TIMEOUT_US
                                  << replica->answer_timeout_doublings) +
                                 replica->answer_jitter_us;
}

bool
SlReplica_NeedsAnyControl(const struct SlReplica *replica)
{
    return replica->options.discover_controls &&
           SlConfig_Version(replica->config).index == 0;
}

/// Returns a timeout that doubles with each instance of a streak, up to
/// doublings_max times.
static uint64_t
doubled_timeout_us(uint64_t timeout_us, uint32_t streak,
                   uint32_t doublings_max)
{
    return timeout_us << (streak < doublings_max ? streak : doublings_max);
}

static uint64_t
empty_timeout_us(const struct SlReplica *replica)
{
    return doubled_timeout_us(EMPTY_CONTROL_TIMEOUT_US,
                              replica->empty_control_streak,
                              EMPTY_DOUBLINGS_MAX);
}

/// Time on the link of a process without a log: for one that it may send, and
/// without a pause through the list once there is a configuration.
static uint64_t
no_log_timeout_us(const struct SlReplica *replica)
{
    return SlConfig_Version(replica->config).index != 0 &&
                   replica->empty_control_streak <
                       replica->options.control_count
               ? 0
               : empty_timeout_us(replica);
}

bool
SlReplica_ShouldLeaveEmptyControl(const struct SlReplica *replica,
                                  uint64_t now_us, uint64_t *limit_us)
{
    const struct config_source *control = &replica->control;

    if (control->link != 0 && control->lacks_log) {
        *limit_us = no_log_timeout_us(replica);
        return now_us - control->since_us >= *limit_us;
    }
    *limit_us = empty_timeout_us(replica);
    return replica->is_control_empty && replica->options.discover_controls &&
           SlConfig_Version(replica->config).index == 0 &&
           now_us - control->since_us >= *limit_us;
}

bool
SlReplica_ShouldLeaveOutdatedControl(const struct SlReplica *replica,
                                     uint64_t now_us, uint64_t *limit_us)
{
    const struct config_source *control = &replica->control;
    uint32_t doublings =
        replica->outdated_control_streak >= OUTDATED_STREAK_MAX;

    *limit_us = ((uint64_t)OUTDATED_TIMEOUT_US << doublings) +
                replica->answer_jitter_us * OUTDATED_JITTER_US /
                    ANSWER_TIMEOUT_JITTER_US;
    return replica->options.discover_controls && control->link != 0 &&
           replica->is_control_outdated && !replica->is_control_empty &&
           replica->last_fresh_us < control->since_us &&
           now_us - control->since_us >= *limit_us;
}

bool
SlReplica_HasControlTimedOut(const struct SlReplica *replica, uint64_t now_us,
                             uint64_t *limit_us)
{
    const struct config_source *control = &replica->control;
    uint64_t answer_us = replica->answer_timeout_us +
                         CONFIRMATION_TRIPS * replica->trip.smoothed_us;
    uint64_t connect_us = doubled_timeout_us(CONNECT_TIMEOUT_US,
                                             replica->unreached_control_streak,
                                             CONNECT_DOUBLINGS_MAX);

    *limit_us = answer_us;
    if (control->node_id == 0) {
        return true;
    }
    if (replica->options.discover_controls && control->link == 0 &&
        now_us - control->since_us > connect_us) {
        *limit_us = connect_us;
        return true;
    }
    return now_us - control->since_us > answer_us &&
           (control->link == 0 || now_us - replica->last_fresh_us > answer_us);
}
