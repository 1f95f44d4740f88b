#ifndef SAVORYLEDGE_COORDINATION_REPLICA_TIMES_H
#define SAVORYLEDGE_COORDINATION_REPLICA_TIMES_H

/// Times and bounds of the replica (replica.c).

enum {
    DEFAULT_LEASE_US = 1500 * 1000,
    HEARTBEAT_INTERVAL_US = 500 * 1000,
    ANNOUNCE_INTERVAL_US = 5 * 1000 * 1000,
    /// Time for a control instance to answer before the next one is dialled.
    CONTROL_ANSWER_TIMEOUT_US = 1000 * 1000,
    /// The answer timeout doubles after every instance that was connected but
    /// did not answer in time, so that a slow network only delays the
    /// configuration.
    ANSWER_TIMEOUT_DOUBLINGS_MAX = 3,
    /// Round trips by which confirmations may be late, in addition: the one
    /// that each takes, and another one for a link that is just up.
    CONFIRMATION_TRIPS = 2,
    /// With discover_controls: time to establish a link before the next
    /// control instance is dialled as well. It doubles with every consecutive
    /// instance that is not reached: after a power loss of the whole site the
    /// first instances dialled may not run yet, and over slow links the
    /// initial timeout is too short for all of them.
    CONNECT_TIMEOUT_US = 80 * 1000,
    CONNECT_DOUBLINGS_MAX = 3,
    /// With discover_controls: time on the link of a control instance without
    /// a configuration, a few round trips, before the next one is dialled. It
    /// doubles with every consecutive such instance, because at the first
    /// start of a site no instance has a configuration until a leader is
    /// elected.
    EMPTY_CONTROL_TIMEOUT_US = 30 * 1000,
    EMPTY_DOUBLINGS_MAX = 5,
    /// Time on the link of a control instance that reports that it is not
    /// current, before the next one is dialled; up to twice as long with the
    /// random addition. It doubles once, after OUTDATED_STREAK_MAX consecutive
    /// such instances, because then the site may have no leader. Three of them
    /// cost less than the 4 s within which a process has to follow changes.
    OUTDATED_TIMEOUT_US = 400 * 1000,
    OUTDATED_JITTER_US = 400 * 1000,
    OUTDATED_STREAK_MAX = 4,
    /// A confirmation that is not older than this came over a fast network.
    PROMPT_CONFIRMATION_US = 500 * 1000,
    /// Maximum random addition, so that processes do not reconnect at once.
    ANSWER_TIMEOUT_JITTER_US = 500 * 1000,
    /// Time for control to deliver a version that a peer already holds.
    PULL_DELAY_US = 200 * 1000,
    PULL_TIMEOUT_US = 3000 * 1000,
    /// Minimum time between two log lines about requests passed on.
    JOIN_LOG_INTERVAL_US = 1000 * 1000,
};

#endif
