#ifndef SAVORYLEDGE_COORDINATION_REPLICA_H
#define SAVORYLEDGE_COORDINATION_REPLICA_H

/// The configuration as an entry or agent holds it: taken from control, or,
/// when control is out of reach, from peers that hold a newer version.
/// Versions only grow.

#include "savoryledge/coordination/core.h"
#include "savoryledge/state/config.h"

struct SlReplica;

struct SlReplicaOptions {
    struct SlCoreOptions core;
    /// Control instances to ask, from the settings.
    uint32_t control_count;
    uint64_t control_ids[SL_MEMBERS_CONTROL_MAX];
    struct SlAddress control[SL_MEMBERS_CONTROL_MAX];
    /// Also ask control instances that the configuration names: for sites
    /// whose instances come and go.
    bool discover_controls;
    /// What this process announces of itself (kind SL_KIND_NODE).
    struct SlObject announce;
    /// Announce nothing before SlReplica_Announce was called: what a process
    /// before this one announced stays in force until then.
    bool delay_announcement;
    /// Without fresh word of control for this long the process is cut off;
    /// 0 takes 1.5 s.
    uint64_t lease_us;
};

/// NULL without memory.
struct SlReplica *
SlReplica_Create(const struct SlReplicaOptions *options, uint64_t now_us);
/// NULL is allowed.
void
SlReplica_Destroy(struct SlReplica *replica);

/// Handles TICK, LINK_UP, LINK_DOWN, MESSAGE, STOP and BATCH_END. One
/// thread. Answers a peer's SUBSCRIBE from the configuration it holds.
void
SlReplica_Handle(struct SlReplica *replica, struct SlSink *sink,
                 const struct SlInput *input);

/// A datagram or message showed that a peer holds version: if it is newer,
/// the replica asks that peer for it.
void
SlReplica_OnPeerVersion(struct SlReplica *replica, struct SlSink *sink,
                        uint64_t now_us, uint64_t node_id,
                        struct SlVersion version);

/// Changes what this process announces, and tells control at once.
void
SlReplica_Announce(struct SlReplica *replica, struct SlSink *sink,
                   uint64_t now_us, const struct SlObject *announce);

/// The configuration in force here. Borrowed until the next call.
const struct SlConfig *
SlReplica_Config(const struct SlReplica *replica);

/// Grows by one with each change of the configuration.
uint64_t
SlReplica_Generation(const struct SlReplica *replica);

/// True when the last fresh word of control is older than the lease.
bool
SlReplica_IsCutOff(const struct SlReplica *replica, uint64_t now_us);

#endif
