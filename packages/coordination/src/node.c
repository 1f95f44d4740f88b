#include "savoryledge/coordination/node.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "local_link.h"

enum {
    /// Rounds of messages over the local link within one input.
    LOCAL_ROUNDS_MAX = 1000,
    /// While versions follow each other quickly, one table serves for those
    /// of this much time.
    ROUTING_BUILD_US = 100 * 1000,
};

/// The newest version that a datagram showed, until the next tick.
struct sighting {
    pthread_mutex_t lock;
    uint64_t node_id;
    struct SlVersion version;
};

struct SlNode {
    struct SlCoreOptions core;
    struct SlReplica *replica;
    struct SlEntry *entry;
    struct SlAgent *agent;
    struct SlControl *control;
    struct SlRouting *routing;
    uint64_t routing_generation;
    uint64_t routing_built_us;
    struct sighting sighting;
    struct SlLocalLink local;
};

/// A process with a control instance takes the configuration from that one:
/// it is told of every change first, and its links to the others are the
/// log's.
static void
use_own_control(struct SlNodeOptions *options)
{
    struct SlReplicaOptions *replica = &options->replica;
    uint64_t own = SlNode_Id(options->core.name);

    if (options->control.self_forming) {
        replica->control_ids[0] = own;
        replica->control[0] = options->control.link;
        replica->control_count = 1;
        replica->discover_controls = false;
        return;
    }
    for (uint32_t i = 0; i < replica->control_count; i++) {
        if (replica->control_ids[i] == own) {
            replica->control_ids[0] = own;
            replica->control[0] = replica->control[i];
            replica->control_count = 1;
        }
    }
}

static enum SlStatus
create_parts(struct SlNode *node, const struct SlNodeOptions *options,
             uint64_t now_us, struct SlError *error)
{
    struct SlNodeOptions filled = *options;
    enum SlStatus status;

    if (options->core.roles & SL_ROLE_CONTROL) {
        use_own_control(&filled);
    }
    filled.replica.core = options->core;
    filled.entry.core = options->core;
    filled.agent.core = options->core;
    filled.control.core = options->core;
    node->replica = SlReplica_Create(&filled.replica, now_us);
    if (node->replica == NULL) {
        return SL_NO_MEMORY;
    }
    if (options->uses_relay) {
        filled.core.roles &= SL_ROLE_CONTROL;
    }
    if (filled.core.roles & SL_ROLE_ENTRY) {
        node->entry = SlEntry_Create(&filled.entry);
        if (node->entry == NULL) {
            return SL_NO_MEMORY;
        }
    }
    if (filled.core.roles & SL_ROLE_AGENT) {
        node->agent = SlAgent_Create(&filled.agent, now_us);
        if (node->agent == NULL) {
            return SL_NO_MEMORY;
        }
    }
    if (options->core.roles & SL_ROLE_CONTROL) {
        status =
            SlControl_Create(&filled.control, now_us, &node->control, error);
        if (status != SL_OK) {
            return status;
        }
    }
    return SL_OK;
}

enum SlStatus
SlNode_Create(const struct SlNodeOptions *options, uint64_t now_us,
              struct SlNode **node, struct SlError *error)
{
    struct SlNode *made = calloc(1, sizeof(*made));
    enum SlStatus status;

    *node = NULL;
    if (made == NULL) {
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                           "no memory for the process's cores");
    }
    made->core = options->core;
    pthread_mutex_init(&made->sighting.lock, NULL);
    SlLocalLink_Init(&made->local, SlNode_Id(options->core.name));
    status = create_parts(made, options, now_us, error);
    if (status != SL_OK) {
        if (status == SL_NO_MEMORY) {
            SlError_Set(error, status, SL_STEP_OPEN, NULL,
                        "no memory for the process's cores");
        }
        SlNode_Destroy(made);
        return status;
    }
    *node = made;
    return SL_OK;
}

void
SlNode_Destroy(struct SlNode *node)
{
    if (node == NULL) {
        return;
    }
    SlControl_Destroy(node->control);
    SlAgent_Destroy(node->agent);
    SlEntry_Destroy(node->entry);
    SlReplica_Destroy(node->replica);
    SlRouting_Unref(node->routing);
    SlLocalLink_Release(&node->local);
    pthread_mutex_destroy(&node->sighting.lock);
    free(node);
}

/// Notes a version that is newer than the one in use here.
static void
note_version(struct SlNode *node, const struct SlTunnel *tunnel)
{
    const struct SlRouting *routing;
    struct SlVersion present = {.term = 0};
    struct sighting *sighting = &node->sighting;

    rcu_read_lock();
    routing = rcu_dereference(node->routing);
    if (routing != NULL) {
        present = SlRouting_Version(routing);
    }
    rcu_read_unlock();
    if (SlVersion_Compare(tunnel->version, present) <= 0) {
        return;
    }
    pthread_mutex_lock(&sighting->lock);
    if (SlVersion_Compare(tunnel->version, sighting->version) > 0) {
        sighting->version = tunnel->version;
        sighting->node_id = tunnel->sender;
    }
    pthread_mutex_unlock(&sighting->lock);
}

static void
handle_tunnel(struct SlNode *node, struct SlSink *sink,
              const struct SlInput *input)
{
    note_version(node, input->tunnel);
    switch (input->tunnel->kind) {
    case SL_TUNNEL_RETURN:
    case SL_TUNNEL_HINT:
    case SL_TUNNEL_PING:
    case SL_TUNNEL_FRAGMENT:
        if (node->entry != NULL) {
            SlEntry_Handle(node->entry, sink, input);
        }
        break;
    default:
        if (node->agent != NULL) {
            SlAgent_Handle(node->agent, sink, input);
        }
        break;
    }
}

static void
give_replica(struct SlNode *node, struct SlSink *sink,
             const struct SlInput *input)
{
    SlReplica_Handle(node->replica,
                     SlLocalLink_Sink(&node->local, SL_LOCAL_REPLICA, sink),
                     input);
}

static void
give_control(struct SlNode *node, struct SlSink *sink,
             const struct SlInput *input)
{
    if (node->control != NULL) {
        SlControl_Handle(
            node->control,
            SlLocalLink_Sink(&node->local, SL_LOCAL_CONTROL, sink), input);
    }
}

static void
change_local_link(struct SlNode *node, struct SlSink *sink,
                  const struct SlInput *input, bool up)
{
    struct SlPeer peer = {.node_id = node->local.node_id,
                          .roles = node->core.roles,
                          .boot = node->core.boot};
    struct SlInput change = {.kind =
                                 up ? SL_INPUT_LINK_UP : SL_INPUT_LINK_DOWN,
                             .now_us = input->now_us,
                             .wall_us = input->wall_us,
                             .link = SL_LOCAL_LINK,
                             .peer = &peer};

    node->local.up = up;
    memcpy(peer.name, node->core.name, sizeof(peer.name));
    give_control(node, sink, &change);
    give_replica(node, sink, &change);
}

/// Brings the local link up or down, as the replica dialled or dropped it.
static void
settle_local_link(struct SlNode *node, struct SlSink *sink,
                  const struct SlInput *input)
{
    bool dropped = node->local.dropped;

    if (node->control == NULL) {
        return;
    }
    node->local.dropped = false;
    if (node->local.up && (dropped || !node->local.dialled)) {
        change_local_link(node, sink, input, false);
    }
    if (!node->local.up && node->local.dialled) {
        change_local_link(node, sink, input, true);
    }
}

/// Hands on what replica and control of this process said to each other.
static void
run_local_link(struct SlNode *node, struct SlSink *sink,
               const struct SlInput *input)
{
    struct SlMessage message;
    enum SlLocalEnd to;
    struct SlInput change = {.kind = SL_INPUT_MESSAGE,
                             .now_us = input->now_us,
                             .wall_us = input->wall_us,
                             .link = SL_LOCAL_LINK,
                             .message = &message};

    settle_local_link(node, sink, input);
    for (uint32_t round = 0; round < LOCAL_ROUNDS_MAX; round++) {
        if (!SlLocalLink_Next(&node->local, &to, &message)) {
            break;
        }
        if (to == SL_LOCAL_CONTROL) {
            give_control(node, sink, &change);
        }
        else {
            give_replica(node, sink, &change);
        }
        SlMessage_Release(&message);
        settle_local_link(node, sink, input);
    }
}

/// Builds the routing table of a newer configuration and puts it in use; a
/// tick comes back to what was put off.
static void
refresh_routing(struct SlNode *node, struct SlSink *sink, uint64_t now_us)
{
    uint64_t generation = SlReplica_Generation(node->replica);
    struct SlRouting *old = node->routing;
    struct SlRouting *routing;

    if (generation == node->routing_generation ||
        (node->entry == NULL && node->agent == NULL)) {
        return;
    }
    if (old != NULL && now_us - node->routing_built_us < ROUTING_BUILD_US) {
        return;
    }
    routing = SlRouting_Build(SlReplica_Config(node->replica), old, now_us);
    if (routing == NULL) {
        return;
    }
    node->routing_generation = generation;
    node->routing_built_us = now_us;
    if (node->entry != NULL) {
        SlEntry_SetRouting(node->entry, sink, now_us, routing);
    }
    if (node->agent != NULL) {
        SlAgent_SetRouting(node->agent, sink, now_us, routing);
    }
    rcu_xchg_pointer(&node->routing, routing);
    synchronize_rcu();
    SlRouting_Unref(old);
}

static void
report_sighting(struct SlNode *node, struct SlSink *sink, uint64_t now_us)
{
    struct sighting *sighting = &node->sighting;
    struct SlVersion version;
    uint64_t node_id;

    pthread_mutex_lock(&sighting->lock);
    version = sighting->version;
    node_id = sighting->node_id;
    sighting->version = (struct SlVersion){.term = 0};
    sighting->node_id = 0;
    pthread_mutex_unlock(&sighting->lock);
    if (node_id != 0) {
        SlReplica_OnPeerVersion(
            node->replica,
            SlLocalLink_Sink(&node->local, SL_LOCAL_REPLICA, sink), now_us,
            node_id, version);
    }
}

/// True when the message asks for a configuration, which control answers
/// where the process has it, and the replica elsewhere.
static bool
is_for_control_alone(const struct SlNode *node, const struct SlInput *input)
{
    return node->control != NULL && input->kind == SL_INPUT_MESSAGE &&
           input->message->kind == SL_MESSAGE_SUBSCRIBE;
}

static void
handle_other(struct SlNode *node, struct SlSink *sink,
             const struct SlInput *input)
{
    give_control(node, sink, input);
    if (!is_for_control_alone(node, input)) {
        give_replica(node, sink, input);
    }
    if (input->kind == SL_INPUT_TICK) {
        report_sighting(node, sink, input->now_us);
    }
    run_local_link(node, sink, input);
    refresh_routing(node, sink, input->now_us);
    if (input->kind == SL_INPUT_TICK && node->entry != NULL) {
        SlEntry_SetCutOff(node->entry,
                          SlReplica_IsCutOff(node->replica, input->now_us));
        SlEntry_Handle(node->entry, sink, input);
    }
    if (node->agent != NULL &&
        (input->kind == SL_INPUT_TICK || input->kind == SL_INPUT_STOP)) {
        SlAgent_Handle(node->agent, sink, input);
    }
}

void
SlNode_Handle(struct SlNode *node, struct SlSink *sink,
              const struct SlInput *input)
{
    switch (input->kind) {
    case SL_INPUT_CALLER_PACKET:
        if (node->entry != NULL) {
            SlEntry_Handle(node->entry, sink, input);
        }
        break;
    case SL_INPUT_UPSTREAM_PACKET:
        if (node->agent != NULL) {
            SlAgent_Handle(node->agent, sink, input);
        }
        break;
    case SL_INPUT_TUNNEL:
        handle_tunnel(node, sink, input);
        break;
    default:
        handle_other(node, sink, input);
        break;
    }
}

void
SlNode_Announce(struct SlNode *node, struct SlSink *sink, uint64_t now_us,
                const struct SlObject *announce)
{
    SlReplica_Announce(node->replica,
                       SlLocalLink_Sink(&node->local, SL_LOCAL_REPLICA, sink),
                       now_us, announce);
}

bool
SlNode_IsIdle(const struct SlNode *node)
{
    return node->agent == NULL || SlAgent_IsIdle(node->agent);
}

const struct SlRouting *
SlNode_Routing(const struct SlNode *node)
{
    return rcu_dereference(node->routing);
}

struct SlEntry *
SlNode_Entry(struct SlNode *node)
{
    return node->entry;
}

struct SlAgent *
SlNode_Agent(struct SlNode *node)
{
    return node->agent;
}

struct SlControl *
SlNode_Control(struct SlNode *node)
{
    return node->control;
}

struct SlReplica *
SlNode_Replica(struct SlNode *node)
{
    return node->replica;
}
