#include "savoryledge/coordination/replica.h"

#include <stdlib.h>
#include <string.h>

#include "config_parts.h"

enum {
    DEFAULT_LEASE_US = 1500 * 1000,
    HEARTBEAT_US = 500 * 1000,
    ANNOUNCE_US = 5 * 1000 * 1000,
    /// Time for a control instance to answer before the next is tried.
    CONTROL_PATIENCE_US = 1000 * 1000,
    /// Each instance that was reached in vain doubles the time for the next,
    /// so that a slow network only delays the configuration.
    PATIENCE_DOUBLINGS_MAX = 3,
    /// Where control instances come and go: time for a link to be up. It
    /// doubles with each in a row that is not: after a loss of power of the
    /// whole site the first ones dialled may not run yet, and where links are
    /// slow the first patience is too short for any.
    CONNECT_PATIENCE_US = 150 * 1000,
    CONNECT_DOUBLINGS_MAX = 2,
    /// Time on a link before one that holds nothing is left for the next: a
    /// few ways there and back. It doubles with each in a row, since at the
    /// first start of a site nobody holds anything until one leads.
    EMPTY_PATIENCE_US = 30 * 1000,
    EMPTY_DOUBLINGS_MAX = 5,
    /// Part of the patience that differs between processes.
    JITTER_US = 500 * 1000,
    /// Time for control to bring a version that a peer already holds.
    PULL_DELAY_US = 200 * 1000,
    PULL_PATIENCE_US = 3000 * 1000,
};

/// A link on which a configuration may come.
struct source {
    uint64_t node_id;
    /// 0 while the link is not up.
    uint64_t link;
    uint64_t since_us;
    struct SlConfigGather gather;
};

struct SlReplica {
    struct SlReplicaOptions options;
    struct SlConfig *config;
    uint64_t generation;
    /// The control instance in use, and which of the list it is.
    struct source control;
    uint32_t control_index;
    /// It holds nothing, as far as it says, and how many in a row did.
    bool control_empty;
    uint32_t empty_controls;
    /// How many in a row were not reached in time.
    uint32_t unreached_controls;
    uint64_t patience_us;
    uint32_t patience_doublings;
    /// A peer that holds a newer version; node_id 0 when none is asked.
    struct source peer;
    struct SlVersion peer_version;
    uint64_t last_fresh_us;
    uint64_t last_heartbeat_us;
    uint64_t last_announce_us;
    uint64_t echo_us;
    bool cut_off;
    bool leaving;
};

/// A step of a 64-bit linear congruential generator (Knuth, TAOCP 3.3.4):
/// spreads retries; no secret depends on it.
static uint64_t
next_random(uint64_t *state)
{
    *state = *state * 6364136223846793005u + 1442695040888963407u;
    return *state >> 33;
}

struct SlReplica *
SlReplica_Create(const struct SlReplicaOptions *options, uint64_t now_us)
{
    struct SlReplica *replica = calloc(1, sizeof(*replica));

    if (replica == NULL) {
        return NULL;
    }
    replica->options = *options;
    if (replica->options.lease_us == 0) {
        replica->options.lease_us = DEFAULT_LEASE_US;
    }
    replica->config = SlConfig_Create();
    if (replica->config == NULL) {
        SlReplica_Destroy(replica);
        return NULL;
    }
    if (options->control_count != 0) {
        replica->control_index =
            (uint32_t)(SlNode_Id(options->core.name) % options->control_count);
    }
    replica->last_fresh_us = now_us;
    return replica;
}

void
SlReplica_Destroy(struct SlReplica *replica)
{
    if (replica == NULL) {
        return;
    }
    SlConfigGather_Release(&replica->control.gather);
    SlConfigGather_Release(&replica->peer.gather);
    SlConfig_Destroy(replica->config);
    free(replica);
}

const struct SlConfig *
SlReplica_Config(const struct SlReplica *replica)
{
    return replica->config;
}

uint64_t
SlReplica_Generation(const struct SlReplica *replica)
{
    return replica->generation;
}

bool
SlReplica_IsCutOff(const struct SlReplica *replica, uint64_t now_us)
{
    return now_us - replica->last_fresh_us > replica->options.lease_us;
}

static void
log_event(const struct SlReplica *replica, struct SlSink *sink,
          struct SlEvent event)
{
    event.version = SlConfig_Version(replica->config);
    sink->type->log_event(sink, &event);
}

static const char *
node_name(const struct SlReplica *replica, uint64_t node_id)
{
    const struct SlObject *node = SlConfig_FindNode(replica->config, node_id);

    return node ? node->name : NULL;
}

static void
send_subscribe(const struct SlReplica *replica, struct SlSink *sink,
               uint64_t link)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_SUBSCRIBE,
        .subscribe = {.version = SlConfig_Version(replica->config)}};

    sink->type->send_message(sink, link, &message);
}

static void
send_announce(struct SlReplica *replica, struct SlSink *sink, uint64_t now_us)
{
    struct SlMessage message = {.kind = SL_MESSAGE_ANNOUNCE,
                                .announce = replica->options.announce};

    if (replica->options.delay_announcement) {
        return;
    }
    message.announce.node.leaving =
        replica->leaving || replica->options.announce.node.leaving;
    replica->last_announce_us = now_us;
    sink->type->send_message(sink, replica->control.link, &message);
}

static void
send_heartbeat(struct SlReplica *replica, struct SlSink *sink, uint64_t now_us)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_HEARTBEAT,
        .heartbeat = {.version = SlConfig_Version(replica->config),
                      .sent_us = now_us,
                      .echo_us = replica->echo_us}};

    replica->last_heartbeat_us = now_us;
    sink->type->send_message(sink, replica->control.link, &message);
}

/// Time for the next control instance, by how the last one did.
static void
set_patience(struct SlReplica *replica)
{
    const struct source *last = &replica->control;

    if (replica->last_fresh_us >= last->since_us) {
        replica->patience_doublings = 0;
    }
    else if (last->link != 0 && !replica->control_empty &&
             replica->patience_doublings < PATIENCE_DOUBLINGS_MAX) {
        replica->patience_doublings++;
    }
    replica->patience_us =
        ((uint64_t)CONTROL_PATIENCE_US << replica->patience_doublings) +
        next_random(&replica->options.core.seed) % JITTER_US;
}

static bool
is_other_control(const struct SlReplica *replica, const struct SlObject *node)
{
    const struct SlReplicaOptions *options = &replica->options;

    if (!(node->node.roles & SL_ROLE_CONTROL) || node->node.leaving ||
        node->node.unreachable) {
        return false;
    }
    for (uint32_t i = 0; i < options->control_count; i++) {
        if (options->control_ids[i] == node->node.node_id) {
            return false;
        }
    }
    return true;
}

/// The control instance at a place in the list: those of the settings, then
/// those that the configuration names beside them. False past the end.
static bool
control_at(const struct SlReplica *replica, uint32_t index, uint64_t *node_id,
           struct SlAddress *link)
{
    const struct SlReplicaOptions *options = &replica->options;
    uint32_t nodes = options->discover_controls
                         ? SlConfig_ObjectCount(replica->config, SL_KIND_NODE)
                         : 0;

    if (index < options->control_count) {
        *node_id = options->control_ids[index];
        *link = options->control[index];
        return true;
    }
    index -= options->control_count;
    for (uint32_t i = 0; i < nodes; i++) {
        const struct SlObject *node =
            SlConfig_ObjectAt(replica->config, SL_KIND_NODE, i);

        if (is_other_control(replica, node) && index-- == 0) {
            *node_id = node->node.node_id;
            *link = node->node.link;
            return true;
        }
    }
    return false;
}

/// Goes on to the next control instance of the list.
static void
dial_control(struct SlReplica *replica, struct SlSink *sink, uint64_t now_us)
{
    uint64_t node_id;
    struct SlAddress link;

    if (replica->control.node_id != 0) {
        sink->type->drop_node(sink, replica->control.node_id);
        replica->control_index++;
        replica->unreached_controls += replica->control.link == 0;
    }
    if (!control_at(replica, replica->control_index, &node_id, &link)) {
        replica->control_index = 0;
        if (!control_at(replica, 0, &node_id, &link)) {
            return;
        }
    }
    set_patience(replica);
    SlConfigGather_Release(&replica->control.gather);
    replica->control = (struct source){.node_id = node_id, .since_us = now_us};
    replica->control_empty = false;
    sink->type->dial_node(sink, node_id, &link);
}

/// True when the control instance in use can only wait for a configuration,
/// as this process does.
static bool
control_is_empty(const struct SlReplica *replica, uint64_t now_us)
{
    uint32_t doublings = replica->empty_controls < EMPTY_DOUBLINGS_MAX
                             ? replica->empty_controls
                             : EMPTY_DOUBLINGS_MAX;

    return replica->control_empty && replica->options.discover_controls &&
           SlConfig_Version(replica->config).index == 0 &&
           now_us - replica->control.since_us >= (uint64_t)EMPTY_PATIENCE_US
                                                     << doublings;
}

static uint64_t
connect_patience_us(const struct SlReplica *replica)
{
    uint32_t doublings = replica->unreached_controls < CONNECT_DOUBLINGS_MAX
                             ? replica->unreached_controls
                             : CONNECT_DOUBLINGS_MAX;

    return (uint64_t)CONNECT_PATIENCE_US << doublings;
}

/// True when the control instance in use has had its time: its link is not
/// up, or it has not been fresh.
static bool
control_is_silent(const struct SlReplica *replica, uint64_t now_us)
{
    const struct source *control = &replica->control;

    if (control->node_id == 0) {
        return true;
    }
    if (replica->options.discover_controls && control->link == 0 &&
        now_us - control->since_us > connect_patience_us(replica)) {
        return true;
    }
    return now_us - control->since_us > replica->patience_us &&
           (control->link == 0 ||
            now_us - replica->last_fresh_us > replica->patience_us);
}

static void
note_cut_off(struct SlReplica *replica, struct SlSink *sink, uint64_t now_us)
{
    bool cut_off = SlReplica_IsCutOff(replica, now_us);

    if (cut_off == replica->cut_off) {
        return;
    }
    replica->cut_off = cut_off;
    log_event(replica, sink,
              (struct SlEvent){
                  .number = cut_off ? SL_EVENT_CUT_OFF : SL_EVENT_JOINED,
                  .now_us = now_us,
                  .reason = cut_off ? "control_silent" : "control_fresh",
                  .value = (int64_t)(now_us - replica->last_fresh_us),
                  .limit = (int64_t)replica->options.lease_us});
}

static void
drop_peer(struct SlReplica *replica, struct SlSink *sink)
{
    if (replica->peer.node_id != 0) {
        sink->type->drop_node(sink, replica->peer.node_id);
    }
    SlConfigGather_Release(&replica->peer.gather);
    replica->peer = (struct source){.node_id = 0};
}

/// Asks the peer that showed a newer version, when control has not brought
/// it within the delay; gives up on one that does not answer.
static void
pull_from_peer(struct SlReplica *replica, struct SlSink *sink, uint64_t now_us)
{
    struct source *peer = &replica->peer;
    const struct SlObject *node;

    if (peer->node_id == 0) {
        return;
    }
    if (SlVersion_Compare(replica->peer_version,
                          SlConfig_Version(replica->config)) <= 0 ||
        now_us - peer->since_us > PULL_DELAY_US + PULL_PATIENCE_US) {
        drop_peer(replica, sink);
        return;
    }
    if (peer->link != 0 || now_us - peer->since_us < PULL_DELAY_US) {
        return;
    }
    node = SlConfig_FindNode(replica->config, peer->node_id);
    if (node != NULL) {
        sink->type->dial_node(sink, peer->node_id, &node->node.link);
    }
}

static void
handle_tick(struct SlReplica *replica, struct SlSink *sink, uint64_t now_us)
{
    note_cut_off(replica, sink, now_us);
    if (control_is_empty(replica, now_us)) {
        replica->empty_controls++;
        dial_control(replica, sink, now_us);
    }
    else if (control_is_silent(replica, now_us)) {
        dial_control(replica, sink, now_us);
    }
    if (replica->control.link != 0) {
        if (now_us - replica->last_heartbeat_us >= HEARTBEAT_US) {
            send_heartbeat(replica, sink, now_us);
        }
        if (now_us - replica->last_announce_us >= ANNOUNCE_US) {
            send_announce(replica, sink, now_us);
        }
    }
    pull_from_peer(replica, sink, now_us);
}

static void
handle_link_up(struct SlReplica *replica, struct SlSink *sink,
               const struct SlInput *input)
{
    if (input->peer->node_id == replica->control.node_id &&
        replica->control.link == 0) {
        replica->control.link = input->link;
        replica->control.since_us = input->now_us;
        replica->unreached_controls = 0;
        send_announce(replica, sink, input->now_us);
        send_subscribe(replica, sink, input->link);
        send_heartbeat(replica, sink, input->now_us);
    }
    else if (input->peer->node_id == replica->peer.node_id &&
             replica->peer.link == 0) {
        replica->peer.link = input->link;
        send_subscribe(replica, sink, input->link);
    }
}

static void
handle_link_down(struct SlReplica *replica, const struct SlInput *input)
{
    struct source *sources[] = {&replica->control, &replica->peer};

    for (size_t i = 0; i < sizeof(sources) / sizeof(sources[0]); i++) {
        if (sources[i]->link == input->link) {
            sources[i]->link = 0;
            SlConfigGather_Release(&sources[i]->gather);
        }
    }
}

/// Puts the gathered configuration in force.
static void
take_config(struct SlReplica *replica, struct SlSink *sink,
            const struct SlInput *input, struct source *source)
{
    SlConfig_Destroy(replica->config);
    replica->config = source->gather.config;
    source->gather.config = NULL;
    replica->generation++;
    replica->empty_controls = 0;
    log_event(replica, sink,
              (struct SlEvent){.number = SL_EVENT_VERSION,
                               .now_us = input->now_us,
                               .peer = node_name(replica, source->node_id),
                               .reason = source == &replica->control
                                             ? "from_control"
                                             : "from_peer",
                               .value = source->gather.objects,
                               .limit = source->gather.removed});
    source->gather.objects = 0;
    source->gather.removed = 0;
}

static void
handle_config(struct SlReplica *replica, struct SlSink *sink,
              const struct SlInput *input, struct source *source)
{
    const struct SlConfigPart *part = &input->message->config;
    enum SlStatus status =
        SlConfigGather_Take(&source->gather, replica->config, part);

    if (source == &replica->control && part->fresh && status != SL_INVALID &&
        !replica->options.discover_controls) {
        replica->last_fresh_us = input->now_us;
    }
    if (status == SL_OK) {
        take_config(replica, sink, input, source);
    }
    else if (status == SL_INVALID) {
        send_subscribe(replica, sink, source->link);
    }
    else if (status == SL_STALE &&
             SlVersion_Compare(part->to, SlConfig_Version(replica->config)) <
                 0) {
        log_event(replica, sink,
                  (struct SlEvent){.number = SL_EVENT_STALE_OFFER,
                                   .now_us = input->now_us,
                                   .peer = node_name(replica, source->node_id),
                                   .reason = "older_than_present"});
    }
}

/// A word that waited for this process, which stood still, says nothing of the
/// present: it was sent after the heartbeat whose time it returns.
static void
note_fresh(struct SlReplica *replica, uint64_t now_us, uint64_t echo_us)
{
    uint64_t fresh_us = replica->options.discover_controls ? echo_us : now_us;

    if (fresh_us > replica->last_fresh_us && fresh_us <= now_us) {
        replica->last_fresh_us = fresh_us;
    }
}

/// A control instance's word that its version is current counts only once
/// that version is in force here.
static void
handle_heartbeat(struct SlReplica *replica, struct SlSink *sink,
                 const struct SlInput *input)
{
    const struct SlHeartbeat *heartbeat = &input->message->heartbeat;
    int order = SlVersion_Compare(heartbeat->version,
                                  SlConfig_Version(replica->config));

    replica->echo_us = heartbeat->sent_us;
    if (!heartbeat->fresh) {
        replica->control_empty = heartbeat->version.index == 0;
        return;
    }
    if (order <= 0) {
        note_fresh(replica, input->now_us, heartbeat->echo_us);
        return;
    }
    if (replica->control.gather.config == NULL) {
        send_subscribe(replica, sink, input->link);
    }
}

/// Answers another process that asks for what is newer than its version.
static void
handle_subscribe(const struct SlReplica *replica, struct SlSink *sink,
                 const struct SlInput *input)
{
    if (SlVersion_Compare(input->message->subscribe.version,
                          SlConfig_Version(replica->config)) < 0) {
        SlConfigParts_SendWhole(replica->config, false, sink, input->link);
    }
}

static void
handle_message(struct SlReplica *replica, struct SlSink *sink,
               const struct SlInput *input)
{
    struct source *source = NULL;

    if (input->link == replica->control.link) {
        source = &replica->control;
    }
    else if (input->link == replica->peer.link) {
        source = &replica->peer;
    }
    if (input->message->kind == SL_MESSAGE_SUBSCRIBE) {
        handle_subscribe(replica, sink, input);
    }
    else if (input->message->kind == SL_MESSAGE_CONFIG && source != NULL) {
        handle_config(replica, sink, input, source);
    }
    else if (input->message->kind == SL_MESSAGE_HEARTBEAT &&
             source == &replica->control) {
        handle_heartbeat(replica, sink, input);
    }
}

void
SlReplica_Handle(struct SlReplica *replica, struct SlSink *sink,
                 const struct SlInput *input)
{
    switch (input->kind) {
    case SL_INPUT_TICK:
        handle_tick(replica, sink, input->now_us);
        break;
    case SL_INPUT_LINK_UP:
        handle_link_up(replica, sink, input);
        break;
    case SL_INPUT_LINK_DOWN:
        handle_link_down(replica, input);
        break;
    case SL_INPUT_MESSAGE:
        handle_message(replica, sink, input);
        break;
    case SL_INPUT_STOP:
        replica->leaving = true;
        if (replica->control.link != 0) {
            send_announce(replica, sink, input->now_us);
        }
        break;
    default:
        break;
    }
}

void
SlReplica_Announce(struct SlReplica *replica, struct SlSink *sink,
                   uint64_t now_us, const struct SlObject *announce)
{
    replica->options.announce = *announce;
    replica->options.delay_announcement = false;
    if (replica->control.link != 0) {
        send_announce(replica, sink, now_us);
    }
}

void
SlReplica_OnPeerVersion(struct SlReplica *replica, struct SlSink *sink,
                        uint64_t now_us, uint64_t node_id,
                        struct SlVersion version)
{
    if (SlVersion_Compare(version, SlConfig_Version(replica->config)) <= 0 ||
        replica->peer.node_id != 0 || node_id == replica->control.node_id) {
        return;
    }
    replica->peer = (struct source){.node_id = node_id, .since_us = now_us};
    replica->peer_version = version;
    log_event(replica, sink,
              (struct SlEvent){.number = SL_EVENT_BEHIND,
                               .now_us = now_us,
                               .peer = node_name(replica, node_id),
                               .reason = "peer_is_newer"});
}
