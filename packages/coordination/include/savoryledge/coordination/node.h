#ifndef SAVORYLEDGE_COORDINATION_NODE_H
#define SAVORYLEDGE_COORDINATION_NODE_H

/// All cores of one process, put together: replica, entry, agent and
/// control, each only if the process has the role. Daemon, replayer and
/// embedders drive this one object.

#include "savoryledge/coordination/agent.h"
#include "savoryledge/coordination/control.h"
#include "savoryledge/coordination/entry.h"
#include "savoryledge/coordination/replica.h"

struct SlNode;

/// Which members count depends on core.roles; the core members inside the
/// parts are filled from core.
struct SlNodeOptions {
    struct SlCoreOptions core;
    struct SlEntryOptions entry;
    struct SlAgentOptions agent;
    struct SlControlOptions control;
    struct SlReplicaOptions replica;
    /// The process has the relay for its data path (relay.h), which its owner
    /// drives: entry and agent are not created here.
    bool uses_relay;
};

/// Errors: SL_NO_MEMORY, and those of SlControl_Create.
enum SlStatus
SlNode_Create(const struct SlNodeOptions *options, uint64_t now_us,
              struct SlNode **node, struct SlError *error);
/// NULL is allowed.
void
SlNode_Destroy(struct SlNode *node);

/// Gives one input to the roles that it concerns. CALLER_PACKET,
/// UPSTREAM_PACKET and TUNNEL: any number of threads registered with
/// liburcu. All other kinds: one thread, the control thread.
///
/// Versions seen in datagrams reach the replica on the next TICK.
void
SlNode_Handle(struct SlNode *node, struct SlSink *sink,
              const struct SlInput *input);

/// Changes what the process announces. Control thread.
void
SlNode_Announce(struct SlNode *node, struct SlSink *sink, uint64_t now_us,
                const struct SlObject *announce);

/// True when a planned stop may end.
bool
SlNode_IsIdle(const struct SlNode *node);

/// The routing table in use, NULL when none; borrowed inside an RCU read
/// section or on the control thread.
const struct SlRouting *
SlNode_Routing(const struct SlNode *node);

/// Parts, NULL when the process does not have the role. Control thread.
struct SlEntry *
SlNode_Entry(struct SlNode *node);
struct SlAgent *
SlNode_Agent(struct SlNode *node);
struct SlControl *
SlNode_Control(struct SlNode *node);
struct SlReplica *
SlNode_Replica(struct SlNode *node);

#endif
