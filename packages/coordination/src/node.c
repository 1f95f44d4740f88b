#include "savoryledge/coordination/node.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "local_link.h"

enum {
    /// Max messages that are passed over the local link per input.
    LOCAL_MESSAGES_MAX = 1000,
    /// Min time between two builds of the routing table. Versions that arrive
    /// sooner share the next build.
    ROUTING_BUILD_US = 100 * 1000,
    /// Time without a message of a leader after which the process uses other
    /// control instances than its own: longer than elections take.
    OWN_CONTROL_SILENCE_US = 3 * 1000 * 1000,
};

/// The newest configuration version that a datagram named, and its sender.
/// Kept until the next tick.
struct newer_version {
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
    struct newer_version newer_version;
    struct SlLocalLink local;
    /// The control instances of the settings, and this process's own alone;
    /// for self-forming sites.
    struct SlReplicaOptions listed_controls;
    struct SlReplicaOptions own_control;
    bool may_use_others;
    bool uses_others;
};

/// Makes a process with a control instance subscribe to that instance alone.
/// It receives every change first, and its links to the other instances are
/// used for the log. choose_controls makes exceptions.
static void
use_local_control(struct SlNodeOptions *options)
{
    struct SlReplicaOptions *replica = &options->replica;
    uint64_t local_id = SlNode_Id(options->core.name);

    if (options->control.self_forming) {
        replica->control_ids[0] = local_id;
        replica->control[0] = options->control.link;
        replica->control_count = 1;
        replica->discover_controls = false;
        return;
    }
    for (uint32_t i = 0; i < replica->control_count; i++) {
        if (replica->control_ids[i] == local_id) {
            replica->control_ids[0] = local_id;
            replica->control[0] = replica->control[i];
            replica->control_count = 1;
        }
    }
}

static enum SlStatus
create_role_objects(struct SlNode *node, const struct SlNodeOptions *options,
                    uint64_t now_us, struct SlError *error)
{
    struct SlNodeOptions node_options = *options;
    enum SlStatus status;

    if (options->core.roles & SL_ROLE_CONTROL) {
        use_local_control(&node_options);
        node->may_use_others = options->control.self_forming;
        node->listed_controls = options->replica;
        node->listed_controls.discover_controls = true;
        node->own_control = node_options.replica;
    }
    node_options.replica.core = options->core;
    node_options.entry.core = options->core;
    node_options.agent.core = options->core;
    node_options.control.core = options->core;
    node->replica = SlReplica_Create(&node_options.replica, now_us);
    if (node->replica == NULL) {
        return SL_NO_MEMORY;
    }
    if (options->uses_relay) {
        node_options.core.roles &= SL_ROLE_CONTROL;
    }
    if (node_options.core.roles & SL_ROLE_ENTRY) {
        node->entry = SlEntry_Create(&node_options.entry);
        if (node->entry == NULL) {
            return SL_NO_MEMORY;
        }
    }
    if (node_options.core.roles & SL_ROLE_AGENT) {
        node->agent = SlAgent_Create(&node_options.agent, now_us);
        if (node->agent == NULL) {
            return SL_NO_MEMORY;
        }
    }
    if (options->core.roles & SL_ROLE_CONTROL) {
        status = SlControl_Create(&node_options.control, now_us,
                                  &node->control, error);
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
    struct SlNode *created = calloc(1, sizeof(*created));
    enum SlStatus status;

    *node = NULL;
    if (created == NULL) {
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                           "out of memory while creating the process's roles");
    }
    created->core = options->core;
    pthread_mutex_init(&created->newer_version.lock, NULL);
    SlLocalLink_Init(&created->local, SlNode_Id(options->core.name));
    status = create_role_objects(created, options, now_us, error);
    if (status != SL_OK) {
        if (status == SL_NO_MEMORY) {
            SlError_Set(error, status, SL_STEP_OPEN, NULL,
                        "out of memory while creating the process's roles");
        }
        SlNode_Destroy(created);
        return status;
    }
    *node = created;
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
    pthread_mutex_destroy(&node->newer_version.lock);
    free(node);
}

/// Records the datagram's version if it is newer than that of the current
/// routing table.
static void
record_peer_version(struct SlNode *node, const struct SlTunnel *tunnel)
{
    const struct SlRouting *routing;
    struct SlVersion current = {.term = 0};
    struct newer_version *newer_version = &node->newer_version;

    rcu_read_lock();
    routing = rcu_dereference(node->routing);
    if (routing != NULL) {
        current = SlRouting_Version(routing);
    }
    rcu_read_unlock();
    if (SlVersion_Compare(tunnel->version, current) <= 0) {
        return;
    }
    pthread_mutex_lock(&newer_version->lock);
    if (SlVersion_Compare(tunnel->version, newer_version->version) > 0) {
        newer_version->version = tunnel->version;
        newer_version->node_id = tunnel->sender;
    }
    pthread_mutex_unlock(&newer_version->lock);
}

static void
handle_tunnel(struct SlNode *node, struct SlSink *sink,
              const struct SlInput *input)
{
    record_peer_version(node, input->tunnel);
    switch (input->tunnel->kind) {
    case SL_TUNNEL_RETURN:
    case SL_TUNNEL_HINT:
    case SL_TUNNEL_PING:
    case SL_TUNNEL_FRAGMENT:
        if (node->entry != NULL) {
            SlEntry_HandleInput(node->entry, sink, input);
        }
        break;
    default:
        if (node->agent != NULL) {
            SlAgent_HandleInput(node->agent, sink, input);
        }
        break;
    }
}

static void
pass_to_replica(struct SlNode *node, struct SlSink *sink,
                const struct SlInput *input)
{
    SlReplica_HandleInput(
        node->replica, SlLocalLink_Sink(&node->local, SL_LOCAL_REPLICA, sink),
        input);
}

static void
pass_to_control(struct SlNode *node, struct SlSink *sink,
                const struct SlInput *input)
{
    if (node->control != NULL) {
        SlControl_HandleInput(
            node->control,
            SlLocalLink_Sink(&node->local, SL_LOCAL_CONTROL, sink), input);
    }
}

static bool
has_link(const struct SlControl *control, uint64_t node_id)
{
    uint64_t link;

    return SlControl_FindPeer(control, node_id, &link) != NULL;
}

/// Selects the control instances that the replica uses. The own one may be
/// outside the group, or removed from it while it was down, and hears no
/// leader then though the site has one.
static void
choose_controls(struct SlNode *node, struct SlSink *sink, uint64_t now_us)
{
    uint64_t silent_us;

    if (!node->may_use_others) {
        return;
    }
    silent_us = SlControl_LeaderSilentUs(node->control, now_us);
    if (node->uses_others ? !SlControl_IsRecent(node->control, now_us)
                          : silent_us < OWN_CONTROL_SILENCE_US) {
        return;
    }
    node->uses_others = !node->uses_others;
    node->local.control = node->control;
    node->local.has_link = has_link;
    SlReplica_SetControls(
        node->replica, SlLocalLink_Sink(&node->local, SL_LOCAL_REPLICA, sink),
        now_us,
        node->uses_others ? &node->listed_controls : &node->own_control,
        silent_us);
}

/// Gives the replica the link that control has to the instance that the
/// replica dials: no further link comes up then.
static void
share_link(struct SlNode *node, struct SlSink *sink,
           const struct SlInput *input)
{
    uint64_t awaited = SlReplica_AwaitedControl(node->replica);
    struct SlInput up = {.kind = SL_INPUT_LINK_UP,
                         .now_us = input->now_us,
                         .wall_us = input->wall_us};

    if (!node->uses_others || awaited == 0) {
        return;
    }
    up.peer = SlControl_FindPeer(node->control, awaited, &up.link);
    if (up.peer != NULL && up.link != SL_LOCAL_LINK) {
        pass_to_replica(node, sink, &up);
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
    pass_to_control(node, sink, &change);
    pass_to_replica(node, sink, &change);
}

/// Brings the local link up or down after the replica dialled or dropped it.
static void
update_local_link(struct SlNode *node, struct SlSink *sink,
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

/// Passes the messages that the replica and control of this process sent each
/// other.
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

    update_local_link(node, sink, input);
    for (uint32_t round = 0; round < LOCAL_MESSAGES_MAX; round++) {
        if (!SlLocalLink_NextMessage(&node->local, &to, &message)) {
            break;
        }
        if (to == SL_LOCAL_CONTROL) {
            pass_to_control(node, sink, &change);
        }
        else {
            pass_to_replica(node, sink, &change);
        }
        SlMessage_Release(&message);
        update_local_link(node, sink, input);
    }
}

/// Builds a routing table from a newer configuration and sets it. A build that
/// is delayed takes place on a later tick.
static void
refresh_routing(struct SlNode *node, struct SlSink *sink, uint64_t now_us)
{
    uint64_t generation = SlReplica_ChangeCount(node->replica);
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
report_newer_version(struct SlNode *node, struct SlSink *sink, uint64_t now_us)
{
    struct newer_version *newer_version = &node->newer_version;
    struct SlVersion version;
    uint64_t node_id;

    pthread_mutex_lock(&newer_version->lock);
    version = newer_version->version;
    node_id = newer_version->node_id;
    newer_version->version = (struct SlVersion){.term = 0};
    newer_version->node_id = 0;
    pthread_mutex_unlock(&newer_version->lock);
    if (node_id != 0) {
        SlReplica_OnPeerVersion(
            node->replica,
            SlLocalLink_Sink(&node->local, SL_LOCAL_REPLICA, sink), now_us,
            node_id, version);
    }
}

/// Returns true for a message that requests a configuration or to be taken in
/// as a control instance. Where the process has control, only control handles
/// it; elsewhere the replica does.
static bool
is_for_control_only(const struct SlNode *node, const struct SlInput *input)
{
    return node->control != NULL && input->kind == SL_INPUT_MESSAGE &&
           (input->message->kind == SL_MESSAGE_SUBSCRIBE ||
            input->message->kind == SL_MESSAGE_JOIN);
}

static void
handle_control_input(struct SlNode *node, struct SlSink *sink,
                     const struct SlInput *input)
{
    pass_to_control(node, sink, input);
    if (input->kind == SL_INPUT_TICK) {
        choose_controls(node, sink, input->now_us);
    }
    if (!is_for_control_only(node, input)) {
        pass_to_replica(node, sink, input);
    }
    if (input->kind == SL_INPUT_TICK) {
        share_link(node, sink, input);
        report_newer_version(node, sink, input->now_us);
    }
    run_local_link(node, sink, input);
    refresh_routing(node, sink, input->now_us);
    if (input->kind == SL_INPUT_TICK && node->entry != NULL) {
        SlEntry_SetCutOff(node->entry,
                          SlReplica_IsCutOff(node->replica, input->now_us));
        SlEntry_HandleInput(node->entry, sink, input);
    }
    if (node->agent != NULL &&
        (input->kind == SL_INPUT_TICK || input->kind == SL_INPUT_STOP)) {
        SlAgent_HandleInput(node->agent, sink, input);
    }
}

void
SlNode_HandleInput(struct SlNode *node, struct SlSink *sink,
                   const struct SlInput *input)
{
    switch (input->kind) {
    case SL_INPUT_CALLER_PACKET:
        if (node->entry != NULL) {
            SlEntry_HandleInput(node->entry, sink, input);
        }
        break;
    case SL_INPUT_UPSTREAM_PACKET:
        if (node->agent != NULL) {
            SlAgent_HandleInput(node->agent, sink, input);
        }
        break;
    case SL_INPUT_TUNNEL:
        handle_tunnel(node, sink, input);
        break;
    default:
        handle_control_input(node, sink, input);
        break;
    }
}

void
SlNode_SetAnnouncement(struct SlNode *node, struct SlSink *sink,
                       uint64_t now_us, const struct SlObject *announce)
{
    SlReplica_SetAnnouncement(
        node->replica, SlLocalLink_Sink(&node->local, SL_LOCAL_REPLICA, sink),
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
