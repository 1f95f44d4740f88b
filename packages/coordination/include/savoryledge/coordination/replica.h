#ifndef SAVORYLEDGE_COORDINATION_REPLICA_H
#define SAVORYLEDGE_COORDINATION_REPLICA_H

/// The copy of the configuration in an entry or agent. It comes from control
/// or, when control is unreachable, from peers that hold a newer version. Its
/// version never decreases.

#include "savoryledge/coordination/core.h"
#include "savoryledge/state/config.h"

struct SlReplica;

struct SlReplicaOptions {
    struct SlCoreOptions core;
    /// Control instances to connect to, from the settings.
    uint32_t control_count;
    uint64_t control_ids[SL_MEMBERS_CONTROL_MAX];
    struct SlAddress control[SL_MEMBERS_CONTROL_MAX];
    /// The replica also connects to the control instances listed in the
    /// configuration. This is for self-forming sites, whose instances change.
    bool discover_controls;
    /// What this process announces about itself (kind SL_KIND_NODE).
    struct SlObject announce;
    /// The process announces nothing before SlReplica_SetAnnouncement is
    /// called. Until then the announcement of the previous process of the same
    /// name remains in force.
    bool delay_announcement;
    /// Time without confirmation from control after which the process is
    /// considered cut off; 0 selects 1.5 s.
    uint64_t lease_us;
};

/// Numbers of control instances that the replica left, by the reason, and of
/// messages that it passed on.
struct SlReplicaCounters {
    /// No link was established in time.
    uint64_t controls_not_reached;
    /// The link ended.
    uint64_t controls_link_lost;
    /// No heartbeat arrived in time, or none that confirmed that the
    /// configuration is current.
    uint64_t controls_silent;
    /// The instance reported that it is not current.
    uint64_t controls_not_current;
    /// Neither the instance nor this process had a configuration.
    uint64_t controls_empty;
    /// The process in the settings has no control instance.
    uint64_t controls_no_log;
    /// Requests of new control instances to be taken in, passed on to the
    /// instance in use.
    uint64_t joins_passed;
    /// Calls of SlReplica_SetControls.
    uint64_t control_list_changes;
};

/// Creates a replica. Returns NULL when out of memory.
struct SlReplica *
SlReplica_Create(const struct SlReplicaOptions *options, uint64_t now_us);
/// Destroys a replica, which may be NULL.
void
SlReplica_Destroy(struct SlReplica *replica);

/// Handles inputs of the kinds TICK, LINK_UP, LINK_DOWN, MESSAGE, STOP and
/// BATCH_END. All calls must come from the same thread. Answers a peer's
/// SUBSCRIBE message with the configuration of this replica.
void
SlReplica_HandleInput(struct SlReplica *replica, struct SlSink *sink,
                      const struct SlInput *input);

/// To be called when a datagram or message shows that a peer holds version. If
/// that version is newer than the version of this replica, and control does
/// not deliver it, the replica requests it from the peer.
void
SlReplica_OnPeerVersion(struct SlReplica *replica, struct SlSink *sink,
                        uint64_t now_us, uint64_t node_id,
                        struct SlVersion version);

/// Replaces the object that this process announces, and sends the object to
/// control immediately.
void
SlReplica_SetAnnouncement(struct SlReplica *replica, struct SlSink *sink,
                          uint64_t now_us, const struct SlObject *announce);

/// Drops the control instance in use and goes on with those of options: its
/// control_count, control_ids, control and discover_controls. waited_us: for
/// the log line, the time for which the process heard no leader.
void
SlReplica_SetControls(struct SlReplica *replica, struct SlSink *sink,
                      uint64_t now_us, const struct SlReplicaOptions *options,
                      uint64_t waited_us);
/// Returns the node id of the control instance that is being dialled; 0 when
/// one is linked or none is known.
uint64_t
SlReplica_AwaitedControl(const struct SlReplica *replica);

/// Returns the configuration in force in this process. Valid until the next
/// call of SlReplica_HandleInput.
const struct SlConfig *
SlReplica_Config(const struct SlReplica *replica);

/// Returns the number of changes of the configuration since the replica was
/// created.
uint64_t
SlReplica_ChangeCount(const struct SlReplica *replica);

/// Returns how often this process, without a configuration, used a control
/// instance other than the one that it dialled last.
uint64_t
SlReplica_InvitationsTaken(const struct SlReplica *replica);
/// Finds the control instance in use, if its link is up and it confirmed
/// within the lease that the configuration is current. link: its address for
/// links.
bool
SlReplica_FindCurrentControl(const struct SlReplica *replica, uint64_t now_us,
                             uint64_t *node_id, struct SlAddress *link);
/// Copies the counters.
void
SlReplica_Counters(const struct SlReplica *replica,
                   struct SlReplicaCounters *counters);
/// True when the last confirmation from control that the configuration is
/// current is older than the lease.
bool
SlReplica_IsCutOff(const struct SlReplica *replica, uint64_t now_us);

#endif
