#ifndef SAVORYLEDGE_COORDINATION_REPLICA_CORE_H
#define SAVORYLEDGE_COORDINATION_REPLICA_CORE_H

/// The state of a replica, shared by replica.c and replica_wait.c.

#include "savoryledge/balance/answer_timeout.h"
#include "savoryledge/coordination/replica.h"

#include "config_parts.h"
#include "dial_attempts.h"

/// A process that this replica receives the configuration from.
struct config_source {
    uint64_t node_id;
    /// Link number; 0 while no link is established.
    uint64_t link;
    /// When the process was selected or, for control, when its link came up.
    uint64_t since_us;
    /// Name of the process; empty before its link came up.
    char name[SL_NAME_BYTES];
    /// The process announced on the link that it has no control instance.
    bool lacks_log;
    struct SlConfigAssembly assembly;
};

struct SlReplica {
    struct SlReplicaOptions options;
    struct SlConfig *config;
    uint64_t generation;
    /// The control instance in use, and its index in the list that
    /// SlControlList_FindNext goes through.
    struct config_source control;
    uint32_t control_index;
    /// The control instances being dialled; the last one is control.node_id
    /// while that is not linked. With discover_controls the earlier attempts
    /// continue, and the first link that is established is used.
    struct SlDialAttempts attempts;
    /// A control instance that was linked while another one was in use, for
    /// the case that the one in use has no configuration; node_id is 0 when
    /// there is none.
    struct config_source spare;
    /// The control instance reported that it has no configuration.
    bool is_control_empty;
    /// The control instance reported, since its link came up or since it last
    /// confirmed that the configuration is current, that it is not current.
    bool is_control_outdated;
    /// Number of consecutive control instances that were left because they had
    /// no configuration, or were none.
    uint32_t empty_control_streak;
    /// Number of consecutive control instances that were left because they
    /// were not current.
    uint32_t outdated_control_streak;
    /// Number of control instances that were not connected in time since one
    /// confirmed that the configuration is current. Over a slow network, a
    /// link to an instance that does not confirm it must not make the time for
    /// the next ones short again.
    uint32_t unreached_control_streak;
    uint64_t answer_timeout_us;
    uint32_t answer_timeout_doublings;
    uint64_t answer_jitter_us;
    /// Round trips of heartbeats to control instances.
    struct SlAnswerTimeout trip;
    /// A peer that holds a newer version than this replica; node_id is 0 when
    /// no such peer is known.
    struct config_source peer;
    struct SlVersion peer_version;
    /// Latest time at which the configuration was known to be current.
    uint64_t last_fresh_us;
    uint64_t last_heartbeat_us;
    uint64_t last_announce_us;
    /// Send time of control's last heartbeat, by control's clock; returned in
    /// the next heartbeat.
    uint64_t echo_us;
    bool cut_off;
    bool leaving;
    /// Number of control instances used that were not dialled last.
    uint64_t invitations_taken;
    uint64_t join_log_due_us;
    struct SlReplicaCounters counters;
};

/// True while any control instance with a configuration will do.
bool
SlReplica_NeedsAnyControl(const struct SlReplica *replica);
/// Returns the answer timeout over a fast network.
uint64_t
SlReplica_BaseAnswerTimeoutUs(const struct SlReplica *replica);
/// Sets the answer timeout for the next control instance. The timeout grows
/// when the previous instance was connected but did not answer, and is reset
/// when the previous instance confirmed that the configuration is current. An
/// answer that does not confirm it is no sign of a slow network.
void
SlReplica_SetAnswerTimeout(struct SlReplica *replica);
/// True when the control instance in use is none, or has no configuration like
/// this process itself, and the time to wait for one on this link has passed.
/// limit_us: set to that time.
bool
SlReplica_ShouldLeaveEmptyControl(const struct SlReplica *replica,
                                  uint64_t now_us, uint64_t *limit_us);
/// True when the control instance in use reported on this link that it is not
/// current, never that it is, and has had its time. limit_us: set to that
/// time.
bool
SlReplica_ShouldLeaveOutdatedControl(const struct SlReplica *replica,
                                     uint64_t now_us, uint64_t *limit_us);
/// True when the control instance in use timed out: its link was not
/// established, or it did not confirm in time that the configuration is
/// current. limit_us: set to the time that it had.
bool
SlReplica_HasControlTimedOut(const struct SlReplica *replica, uint64_t now_us,
                             uint64_t *limit_us);

#endif
