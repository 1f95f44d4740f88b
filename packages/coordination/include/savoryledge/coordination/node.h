#ifndef SAVORYLEDGE_COORDINATION_NODE_H
#define SAVORYLEDGE_COORDINATION_NODE_H

/// All cores (core.h) of one process: replica, entry, agent and control.
/// Except for the replica, each exists only if the process has its role. The
/// daemon, the replayer and embedding programs use this object.

#include "savoryledge/coordination/agent.h"
#include "savoryledge/coordination/control.h"
#include "savoryledge/coordination/entry.h"
#include "savoryledge/coordination/replica.h"

struct SlNode;

/// Options of all cores. The options of a core whose role is not in core.roles
/// are ignored. The member core in the options of each core is filled in from
/// the member core of this struct.
struct SlNodeOptions {
    struct SlCoreOptions core;
    struct SlEntryOptions entry;
    struct SlAgentOptions agent;
    struct SlControlOptions control;
    struct SlReplicaOptions replica;
    /// The process uses the relay as its data path (relay.h), which its owner
    /// drives. Entry and agent are not created then.
    bool uses_relay;
};

/// Creates the cores of a process. Errors: SL_NO_MEMORY, and those of
/// SlControl_Create.
enum SlStatus
SlNode_Create(const struct SlNodeOptions *options, uint64_t now_us,
              struct SlNode **node, struct SlError *error);
/// Destroys the cores of a process. node may be NULL.
void
SlNode_Destroy(struct SlNode *node);

/// Passes an input to the cores that it concerns. CALLER_PACKET,
/// UPSTREAM_PACKET and TUNNEL may be passed by any number of threads that are
/// registered with liburcu; all other kinds only by the control thread.
///
/// Configuration versions that datagrams name are passed to the replica on the
/// next TICK.
void
SlNode_HandleInput(struct SlNode *node, struct SlSink *sink,
                   const struct SlInput *input);

/// Changes the object that the process announces. Control thread only.
void
SlNode_SetAnnouncement(struct SlNode *node, struct SlSink *sink,
                       uint64_t now_us, const struct SlObject *announce);

/// Returns true when a planned stop may end; see SlAgent_IsIdle.
bool
SlNode_IsIdle(const struct SlNode *node);

/// Returns the current routing table, NULL before the first configuration. The
/// table is borrowed: valid inside an RCU read section or on the control
/// thread.
const struct SlRouting *
SlNode_Routing(const struct SlNode *node);

/// Return a core; NULL when the process does not have its role. Control thread
/// only.
struct SlEntry *
SlNode_Entry(struct SlNode *node);
struct SlAgent *
SlNode_Agent(struct SlNode *node);
struct SlControl *
SlNode_Control(struct SlNode *node);
struct SlReplica *
SlNode_Replica(struct SlNode *node);

#endif
