#include "replica_core.h"

#include <stdlib.h>
#include <string.h>

#include "control_list.h"
#include "replica_times.h"

struct SlReplica *
SlReplica_Create(const struct SlReplicaOptions *options, uint64_t now_us)
{
    struct SlReplica *replica = calloc(1, sizeof(*replica));

    if (replica == NULL) {
        return NULL;
    }
    replica->options = *options;
    SlControlList_RemoveSelf(&replica->options);
    if (replica->options.lease_us == 0) {
        replica->options.lease_us = DEFAULT_LEASE_US;
    }
    replica->config = SlConfig_Create();
    if (replica->config == NULL) {
        SlReplica_Destroy(replica);
        return NULL;
    }
    if (replica->options.control_count != 0) {
        replica->control_index = (uint32_t)(SlNode_Id(options->core.name) %
                                            replica->options.control_count);
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
    SlConfigAssembly_Release(&replica->control.assembly);
    SlConfigAssembly_Release(&replica->peer.assembly);
    SlConfig_Destroy(replica->config);
    free(replica);
}

const struct SlConfig *
SlReplica_Config(const struct SlReplica *replica)
{
    return replica->config;
}

uint64_t
SlReplica_ChangeCount(const struct SlReplica *replica)
{
    return replica->generation;
}

uint64_t
SlReplica_InvitationsTaken(const struct SlReplica *replica)
{
    return replica->invitations_taken;
}

void
SlReplica_Counters(const struct SlReplica *replica,
                   struct SlReplicaCounters *counters)
{
    *counters = replica->counters;
}

/// A confirmation takes a round trip to arrive.
static uint64_t
cut_off_limit_us(const struct SlReplica *replica)
{
    return replica->options.lease_us + replica->trip.smoothed_us;
}

bool
SlReplica_IsCutOff(const struct SlReplica *replica, uint64_t now_us)
{
    return now_us - replica->last_fresh_us > cut_off_limit_us(replica);
}

bool
SlReplica_FindCurrentControl(const struct SlReplica *replica, uint64_t now_us,
                             uint64_t *node_id, struct SlAddress *link)
{
    const struct config_source *control = &replica->control;

    if (control->link == 0 || replica->last_fresh_us < control->since_us ||
        SlReplica_IsCutOff(replica, now_us) ||
        !SlControlList_FindAddress(&replica->options, replica->config,
                                   control->node_id, link)) {
        return false;
    }
    *node_id = control->node_id;
    return true;
}

static void
emit_event(const struct SlReplica *replica, struct SlSink *sink,
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

uint64_t
SlReplica_AwaitedControl(const struct SlReplica *replica)
{
    return replica->control.link == 0 ? replica->control.node_id : 0;
}

void
SlReplica_SetControls(struct SlReplica *replica, struct SlSink *sink,
                      uint64_t now_us, const struct SlReplicaOptions *options,
                      uint64_t waited_us)
{
    struct SlReplicaOptions *present = &replica->options;

    SlDialAttempts_EndOthers(&replica->attempts, sink, 0);
    SlConfigAssembly_Release(&replica->control.assembly);
    replica->control = (struct config_source){.node_id = 0};
    replica->spare = (struct config_source){.node_id = 0};
    replica->is_control_empty = false;
    replica->is_control_outdated = false;
    present->control_count = options->control_count;
    memcpy(present->control_ids, options->control_ids,
           sizeof(present->control_ids));
    memcpy(present->control, options->control, sizeof(present->control));
    present->discover_controls = options->discover_controls;
    SlControlList_RemoveSelf(present);
    replica->control_index = 0;
    replica->counters.control_list_changes++;
    emit_event(replica, sink,
               (struct SlEvent){.number = SL_EVENT_CONTROLS_CHANGED,
                                .now_us = now_us,
                                .reason = present->discover_controls
                                              ? "own_without_leader"
                                              : "own_current",
                                .value = (int64_t)waited_us});
}

/// Counts and logs that the control instance in use is left, with the time
/// for which it was not reached or did not confirm that the configuration is
/// current. limit_us: the longest such time.
static void
report_control_left(struct SlReplica *replica, struct SlSink *sink,
                    uint64_t now_us, uint64_t limit_us)
{
    const struct config_source *control = &replica->control;
    uint64_t since_us = control->since_us > replica->last_fresh_us
                            ? control->since_us
                            : replica->last_fresh_us;
    const char *reason = "silent";
    uint64_t *counter = &replica->counters.controls_silent;

    if (control->link == 0 && control->name[0] == '\0') {
        reason = "not_reached";
        counter = &replica->counters.controls_not_reached;
    }
    else if (control->link == 0) {
        /* The process has logged the end of the link. */
        replica->counters.controls_link_lost++;
        return;
    }
    else if (control->lacks_log) {
        reason = "no_log";
        counter = &replica->counters.controls_no_log;
    }
    else if (replica->is_control_empty) {
        reason = "empty";
        counter = &replica->counters.controls_empty;
    }
    else if (replica->is_control_outdated) {
        reason = "not_current";
        counter = &replica->counters.controls_not_current;
    }
    ++*counter;
    emit_event(
        replica, sink,
        (struct SlEvent){.number = SL_EVENT_CONTROL_LEFT,
                         .now_us = now_us,
                         .peer = control->name[0] != '\0'
                                     ? control->name
                                     : node_name(replica, control->node_id),
                         .reason = reason,
                         .value = (int64_t)(now_us - since_us),
                         .limit = (int64_t)limit_us});
}

/// Dials the next control instance of the list. The one in use is dropped,
/// except for an attempt that may still succeed before the next one does.
static void
dial_next_control(struct SlReplica *replica, struct SlSink *sink,
                  uint64_t now_us)
{
    uint64_t node_id;
    struct SlAddress link;

    if (replica->control.node_id != 0) {
        if (replica->control.link != 0 ||
            !replica->options.discover_controls) {
            SlDialAttempts_EndOthers(&replica->attempts, sink, 0);
        }
        replica->control_index++;
        replica->unreached_control_streak += replica->control.link == 0;
    }
    if (!SlControlList_FindNext(&replica->options, replica->config,
                                &replica->control_index, &node_id, &link)) {
        return;
    }
    SlReplica_SetAnswerTimeout(replica);
    SlConfigAssembly_Release(&replica->control.assembly);
    replica->control =
        (struct config_source){.node_id = node_id, .since_us = now_us};
    replica->is_control_empty = false;
    replica->is_control_outdated = false;
    SlDialAttempts_Begin(&replica->attempts, sink, now_us, node_id, &link);
}

static void
update_cut_off(struct SlReplica *replica, struct SlSink *sink, uint64_t now_us)
{
    bool cut_off = SlReplica_IsCutOff(replica, now_us);

    if (cut_off == replica->cut_off) {
        return;
    }
    replica->cut_off = cut_off;
    emit_event(replica, sink,
               (struct SlEvent){
                   .number = cut_off ? SL_EVENT_CUT_OFF : SL_EVENT_JOINED,
                   .now_us = now_us,
                   .reason = cut_off ? "control_silent" : "control_fresh",
                   .value = (int64_t)(now_us - replica->last_fresh_us),
                   .limit = (int64_t)cut_off_limit_us(replica)});
}

static void
drop_peer(struct SlReplica *replica, struct SlSink *sink)
{
    if (replica->peer.node_id != 0) {
        sink->type->drop_node(sink, replica->peer.node_id);
    }
    SlConfigAssembly_Release(&replica->peer.assembly);
    replica->peer = (struct config_source){.node_id = 0};
}

/// Dials the peer that holds a newer version when control has not delivered
/// that version within PULL_DELAY_US. Gives up on a peer that does not answer.
static void
pull_from_peer(struct SlReplica *replica, struct SlSink *sink, uint64_t now_us)
{
    struct config_source *peer = &replica->peer;
    const struct SlObject *node;

    if (peer->node_id == 0) {
        return;
    }
    if (SlVersion_Compare(replica->peer_version,
                          SlConfig_Version(replica->config)) <= 0 ||
        now_us - peer->since_us > PULL_DELAY_US + PULL_TIMEOUT_US) {
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

/// Begins to use the control instance, whose link is up.
static void
begin_control_link(struct SlReplica *replica, struct SlSink *sink,
                   uint64_t now_us, const struct config_source *linked)
{
    replica->control.link = linked->link;
    replica->control.lacks_log = linked->lacks_log;
    memcpy(replica->control.name, linked->name, SL_NAME_BYTES);
    replica->control.since_us = now_us;
    if (SlReplica_NeedsAnyControl(replica)) {
        replica->unreached_control_streak = 0;
    }
    SlDialAttempts_EndOthers(&replica->attempts, sink,
                             replica->control.node_id);
    send_announce(replica, sink, now_us);
    send_subscribe(replica, sink, linked->link);
    send_heartbeat(replica, sink, now_us);
}

/// Uses a control instance that the process dialled earlier, or that dialled
/// it.
static void
use_linked_control(struct SlReplica *replica, struct SlSink *sink,
                   uint64_t now_us, const struct config_source *source)
{
    uint64_t waited_us = now_us - replica->last_fresh_us;

    if (replica->answer_timeout_us == 0) {
        SlReplica_SetAnswerTimeout(replica);
    }
    SlConfigAssembly_Release(&replica->control.assembly);
    replica->control = (struct config_source){.node_id = source->node_id};
    replica->is_control_empty = false;
    replica->is_control_outdated = false;
    replica->invitations_taken++;
    emit_event(replica, sink,
               (struct SlEvent){.number = SL_EVENT_INVITATION_TAKEN,
                                .now_us = now_us,
                                .reason = "no_configuration",
                                .value = (int64_t)waited_us});
    begin_control_link(replica, sink, now_us, source);
}

/// Uses a control instance that was dialled before the present one, and whose
/// link is up first.
static void
use_earlier_attempt(struct SlReplica *replica, struct SlSink *sink,
                    uint64_t now_us, const struct config_source *source)
{
    SlConfigAssembly_Release(&replica->control.assembly);
    replica->control = (struct config_source){.node_id = source->node_id};
    replica->is_control_empty = false;
    replica->is_control_outdated = false;
    begin_control_link(replica, sink, now_us, source);
}

static void
leave_empty_control(struct SlReplica *replica, struct SlSink *sink,
                    uint64_t now_us)
{
    struct config_source spare = replica->spare;

    replica->spare = (struct config_source){.node_id = 0};
    if (spare.node_id == 0) {
        dial_next_control(replica, sink, now_us);
    }
    else {
        use_linked_control(replica, sink, now_us, &spare);
    }
}

static void
handle_tick(struct SlReplica *replica, struct SlSink *sink, uint64_t now_us)
{
    uint64_t limit_us;

    update_cut_off(replica, sink, now_us);
    if (SlReplica_ShouldLeaveEmptyControl(replica, now_us, &limit_us)) {
        report_control_left(replica, sink, now_us, limit_us);
        replica->empty_control_streak++;
        leave_empty_control(replica, sink, now_us);
    }
    else if (SlReplica_ShouldLeaveOutdatedControl(replica, now_us,
                                                  &limit_us)) {
        report_control_left(replica, sink, now_us, limit_us);
        replica->outdated_control_streak++;
        dial_next_control(replica, sink, now_us);
    }
    else if (SlReplica_HasControlTimedOut(replica, now_us, &limit_us)) {
        if (replica->control.node_id != 0) {
            report_control_left(replica, sink, now_us, limit_us);
        }
        dial_next_control(replica, sink, now_us);
    }
    if (replica->control.link != 0) {
        if (now_us - replica->last_heartbeat_us >= HEARTBEAT_INTERVAL_US) {
            send_heartbeat(replica, sink, now_us);
        }
        if (now_us - replica->last_announce_us >= ANNOUNCE_INTERVAL_US) {
            send_announce(replica, sink, now_us);
        }
    }
    pull_from_peer(replica, sink, now_us);
}

static void
handle_link_up(struct SlReplica *replica, struct SlSink *sink,
               const struct SlInput *input)
{
    struct config_source linked = {
        .node_id = input->peer->node_id,
        .link = input->link,
        .lacks_log = (input->peer->roles & SL_ROLE_CONTROL) == 0};

    memcpy(linked.name, input->peer->name, SL_NAME_BYTES);
    if (linked.node_id == replica->control.node_id &&
        replica->control.link == 0) {
        begin_control_link(replica, sink, input->now_us, &linked);
    }
    else if (SlReplica_NeedsAnyControl(replica) &&
             linked.node_id != replica->control.node_id &&
             (input->peer->roles & SL_ROLE_CONTROL)) {
        if (replica->control.link == 0 || replica->is_control_empty ||
            replica->control.lacks_log) {
            use_linked_control(replica, sink, input->now_us, &linked);
        }
        else {
            replica->spare = linked;
        }
    }
    else if (replica->control.link == 0 && !linked.lacks_log &&
             SlDialAttempts_Includes(&replica->attempts, linked.node_id)) {
        use_earlier_attempt(replica, sink, input->now_us, &linked);
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
    struct config_source *sources[] = {&replica->control, &replica->peer};

    if (replica->spare.link == input->link) {
        replica->spare = (struct config_source){.node_id = 0};
    }
    for (size_t i = 0; i < sizeof(sources) / sizeof(sources[0]); i++) {
        if (sources[i]->link == input->link) {
            sources[i]->link = 0;
            SlConfigAssembly_Release(&sources[i]->assembly);
        }
    }
}

/// Puts the assembled configuration in force.
static void
install_config(struct SlReplica *replica, struct SlSink *sink,
               const struct SlInput *input, struct config_source *source)
{
    if (!source->lacks_log || SlConfig_Version(replica->config).index == 0) {
        replica->empty_control_streak = 0;
    }
    SlConfig_Destroy(replica->config);
    replica->config = source->assembly.config;
    source->assembly.config = NULL;
    replica->generation++;
    emit_event(replica, sink,
               (struct SlEvent){.number = SL_EVENT_VERSION,
                                .now_us = input->now_us,
                                .peer = node_name(replica, source->node_id),
                                .reason = source == &replica->control
                                              ? "from_control"
                                              : "from_peer",
                                .value = source->assembly.object_count,
                                .limit = source->assembly.removed_count});
    source->assembly.object_count = 0;
    source->assembly.removed_count = 0;
}

static void
handle_config(struct SlReplica *replica, struct SlSink *sink,
              const struct SlInput *input, struct config_source *source)
{
    const struct SlConfigPart *part = &input->message->config;
    enum SlStatus status =
        SlConfigAssembly_AddPart(&source->assembly, replica->config, part);

    if (source == &replica->control && part->fresh && status != SL_INVALID &&
        !replica->options.discover_controls) {
        replica->last_fresh_us = input->now_us;
    }
    if (status == SL_OK) {
        install_config(replica, sink, input, source);
    }
    else if (status == SL_INVALID) {
        send_subscribe(replica, sink, source->link);
    }
    else if (status == SL_STALE &&
             SlVersion_Compare(part->to, SlConfig_Version(replica->config)) <
                 0) {
        emit_event(
            replica, sink,
            (struct SlEvent){.number = SL_EVENT_STALE_OFFER,
                             .now_us = input->now_us,
                             .peer = node_name(replica, source->node_id),
                             .reason = "older_than_present"});
    }
}

/// Updates the time at which the configuration was known to be current. With
/// discover_controls this is the echoed send time of this process's own
/// heartbeat: if the process was stalled, the message may have been queued for
/// long, and it is only certain that it was sent after that heartbeat.
static void
record_fresh_time(struct SlReplica *replica, uint64_t now_us, uint64_t echo_us)
{
    uint64_t fresh_us = replica->options.discover_controls ? echo_us : now_us;

    if (fresh_us <= replica->last_fresh_us || fresh_us > now_us) {
        return;
    }
    replica->last_fresh_us = fresh_us;
    if (fresh_us < replica->control.since_us) {
        return;
    }
    replica->empty_control_streak = 0;
    replica->outdated_control_streak = 0;
    replica->unreached_control_streak = 0;
    if (replica->options.discover_controls &&
        now_us - fresh_us <= PROMPT_CONFIRMATION_US) {
        replica->answer_timeout_doublings = 0;
        replica->answer_timeout_us = SlReplica_BaseAnswerTimeoutUs(replica);
    }
}

/// Records the round trip that the answer to a heartbeat took.
static void
record_trip(struct SlReplica *replica, uint64_t now_us,
            const struct SlHeartbeat *heartbeat)
{
    uint64_t answered_us = heartbeat->echo_us + heartbeat->kept_us;

    if (heartbeat->echo_us != 0 && answered_us <= now_us) {
        SlAnswerTimeout_AddSample(&replica->trip, now_us - answered_us);
    }
}

/// Handles a heartbeat of the control instance in use. The heartbeat confirms
/// that the configuration of this replica is current only when the reported
/// version is not newer than the version in force here; for a newer version
/// the replica subscribes.
static void
handle_heartbeat(struct SlReplica *replica, struct SlSink *sink,
                 const struct SlInput *input)
{
    const struct SlHeartbeat *heartbeat = &input->message->heartbeat;
    int comparison = SlVersion_Compare(heartbeat->version,
                                       SlConfig_Version(replica->config));

    replica->echo_us = heartbeat->sent_us;
    replica->is_control_outdated = !heartbeat->fresh;
    record_trip(replica, input->now_us, heartbeat);
    if (!heartbeat->fresh) {
        replica->is_control_empty = heartbeat->version.index == 0;
        return;
    }
    if (comparison <= 0) {
        record_fresh_time(replica, input->now_us, heartbeat->echo_us);
        return;
    }
    if (replica->control.assembly.config == NULL) {
        send_subscribe(replica, sink, input->link);
    }
}

/// Sends the configuration to a process that subscribes with an older version.
static void
handle_subscribe(const struct SlReplica *replica, struct SlSink *sink,
                 const struct SlInput *input)
{
    if (SlVersion_Compare(input->message->subscribe.version,
                          SlConfig_Version(replica->config)) < 0) {
        SlConfigParts_SendWhole(replica->config, false, sink, input->link);
    }
}

/// Passes on the request of a new control instance that knows no other one, to
/// the control instance in use.
static void
pass_join(struct SlReplica *replica, struct SlSink *sink,
          const struct SlInput *input)
{
    const struct config_source *control = &replica->control;

    if (control->link == 0 || control->lacks_log ||
        control->link == input->link) {
        return;
    }
    replica->counters.joins_passed++;
    sink->type->send_message(sink, control->link, input->message);
    if (input->now_us >= replica->join_log_due_us) {
        replica->join_log_due_us = input->now_us + JOIN_LOG_INTERVAL_US;
        emit_event(replica, sink,
                   (struct SlEvent){.number = SL_EVENT_JOIN_PASSED,
                                    .now_us = input->now_us,
                                    .node = input->message->join.name,
                                    .peer = control->name});
    }
}

static void
handle_message(struct SlReplica *replica, struct SlSink *sink,
               const struct SlInput *input)
{
    struct config_source *source = NULL;

    if (input->link == replica->control.link) {
        source = &replica->control;
    }
    else if (input->link == replica->peer.link) {
        source = &replica->peer;
    }
    if (input->message->kind == SL_MESSAGE_SUBSCRIBE) {
        handle_subscribe(replica, sink, input);
    }
    else if (input->message->kind == SL_MESSAGE_JOIN) {
        pass_join(replica, sink, input);
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
SlReplica_HandleInput(struct SlReplica *replica, struct SlSink *sink,
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
SlReplica_SetAnnouncement(struct SlReplica *replica, struct SlSink *sink,
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
    replica->peer =
        (struct config_source){.node_id = node_id, .since_us = now_us};
    replica->peer_version = version;
    emit_event(replica, sink,
               (struct SlEvent){.number = SL_EVENT_BEHIND,
                                .now_us = now_us,
                                .peer = node_name(replica, node_id),
                                .reason = "peer_is_newer"});
}
