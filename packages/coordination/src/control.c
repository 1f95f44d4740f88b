#include "savoryledge/coordination/control.h"

#include <stdlib.h>
#include <string.h>

#include "control_core.h"

enum {
    DEFAULT_HEARTBEAT_US = 150 * 1000,
    DEFAULT_ELECTION_US = 900 * 1000,
    DEFAULT_UNREACHABLE_US = 2000 * 1000,
    DEFAULT_SNAPSHOT_ENTRIES = 4096,
};

void
SlControl_EmitEvent(struct SlControl *control, const struct SlEvent *event)
{
    struct SlEvent filled = *event;

    filled.now_us = control->now_us;
    filled.version = SlConfig_Version(control->config);
    if (control->sink != NULL) {
        control->sink->type->log_event(control->sink, &filled);
    }
    else if (control->early_event_count < SL_CONTROL_EARLY_EVENTS_MAX &&
             filled.peer == NULL && filled.node == NULL) {
        control->early_events[control->early_event_count++] = filled;
    }
}

static void
fill_defaults(struct SlControlOptions *options)
{
    if (options->heartbeat_us == 0) {
        options->heartbeat_us = DEFAULT_HEARTBEAT_US;
    }
    if (options->election_us == 0) {
        options->election_us = DEFAULT_ELECTION_US;
    }
    if (options->unreachable_us == 0) {
        options->unreachable_us = DEFAULT_UNREACHABLE_US;
    }
    if (options->snapshot_entries == 0) {
        options->snapshot_entries = DEFAULT_SNAPSHOT_ENTRIES;
    }
}

static void
copy_first_members(const struct SlControlOptions *options,
                   struct SlRaftMembers *members)
{
    members->count = options->member_count;
    for (uint32_t i = 0; i < options->member_count; i++) {
        const struct SlControlMember *source = &options->members[i];
        struct SlRaftMember *target = &members->items[i];

        target->node_id = source->node_id;
        target->link_address = source->link_address;
        target->is_voter = source->is_voter;
        memcpy(target->name, source->name, sizeof(target->name));
    }
}

/// True when this instance belongs to the founding members. Only they may
/// bootstrap a new site; other instances join it.
static bool
is_first_member(const struct SlControl *control)
{
    const struct SlControlOptions *options = &control->options;

    for (uint32_t i = 0; i < options->member_count; i++) {
        if (options->members[i].node_id == control->node_id) {
            return true;
        }
    }
    return false;
}

static enum SlStatus
open_log(struct SlControl *control, uint64_t now_us, struct SlError *error)
{
    const struct SlControlOptions *options = &control->options;
    struct SlRaftOptions raft = {
        .node_id = control->node_id,
        .seed = options->core.seed,
        .heartbeat_us = options->heartbeat_us,
        .election_us = options->election_us,
        .snapshot_entries = options->snapshot_entries,
        .bootstrap = options->bootstrap,
        .self_forming = options->self_forming,
        .storage = options->storage,
        .host_type = &SL_CONTROL_HOST,
        .host = control,
    };

    copy_first_members(options, &raft.first_members);
    if (options->self_forming && !is_first_member(control)) {
        raft.bootstrap = false;
    }
    return SlRaft_Open(&control->raft, &raft, now_us, error);
}

enum SlStatus
SlControl_Create(const struct SlControlOptions *options, uint64_t now_us,
                 struct SlControl **out, struct SlError *error)
{
    struct SlControl *control = calloc(1, sizeof(*control));
    enum SlStatus status;

    *out = NULL;
    if (control == NULL) {
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_RECOVER, NULL,
                           "no memory for the control instance");
    }
    control->options = *options;
    fill_defaults(&control->options);
    control->node_id = SlNode_Id(options->core.name);
    control->now_us = now_us;
    control->created_us = now_us;
    control->current_until_us = now_us;
    control->config = SlConfig_Create();
    status = SlControl_CreatePublisher(control);
    if (status == SL_OK && control->config != NULL) {
        status = open_log(control, now_us, error);
    }
    else {
        status = SlError_Set(error, SL_NO_MEMORY, SL_STEP_RECOVER, NULL,
                             "no memory for the control instance");
    }
    if (status != SL_OK) {
        SlControl_Destroy(control);
        return status;
    }
    SlControl_InitInvitations(control);
    *out = control;
    return SL_OK;
}

void
SlControl_Destroy(struct SlControl *control)
{
    if (control == NULL) {
        return;
    }
    SlRaft_Close(&control->raft);
    SlControl_ReleasePublisher(control);
    SlControl_ReleaseLinks(control);
    SlObservationTable_Release(&control->observations);
    SlConfig_Destroy(control->config);
    free(control->waiters);
    free(control);
}

static void
handle_message(struct SlControl *control, const struct SlInput *input)
{
    const struct SlMessage *message = input->message;
    struct SlControlLink *link = SlControl_FindLink(control, input->link);

    if (link == NULL) {
        return;
    }
    link->last_received_us = input->now_us;
    SlControl_ObserveMessage(control, link);
    switch (message->kind) {
    case SL_MESSAGE_ANNOUNCE:
        SlControl_OnAnnounce(control, input->link, &message->announce);
        break;
    case SL_MESSAGE_SUBSCRIBE:
        SlControl_OnSubscribe(control, input->link, &message->subscribe);
        break;
    case SL_MESSAGE_HEARTBEAT:
        SlControl_OnHeartbeat(control, input->link, &message->heartbeat);
        break;
    case SL_MESSAGE_CHANGE:
        SlControl_OnChange(control, input->link, &message->change);
        break;
    case SL_MESSAGE_QUERY:
        SlControl_OnQuery(control, input->link, &message->query);
        break;
    case SL_MESSAGE_JOIN:
        SlControl_OnJoin(control, &message->join);
        break;
    default:
        if ((link->peer.roles & SL_ROLE_CONTROL) &&
            link->peer.node_id != control->node_id) {
            SlRaft_HandleMessage(&control->raft, input->now_us,
                                 link->peer.node_id, message);
        }
        break;
    }
}

static void
handle_tick(struct SlControl *control)
{
    SlRaft_Tick(&control->raft, control->now_us);
    SlControl_DialMembers(control);
    SlControl_RequestJoin(control);
    SlControl_InviteProcesses(control);
    SlControl_CheckReachability(control);
}

/// Records until when this instance is current, and counts the times that it
/// ceased to be.
static void
observe_lease(struct SlControl *control)
{
    uint64_t remaining_us =
        SlRaft_LeaseRemainingUs(&control->raft, control->now_us);

    if (remaining_us > 0) {
        control->current_until_us = control->now_us + remaining_us;
    }
    else if (control->is_current &&
             control->now_us < control->current_until_us) {
        control->current_until_us = control->now_us;
    }
    control->lease_losses += control->is_current && remaining_us == 0;
    control->is_current = remaining_us > 0;
}

static void
send_early_events(struct SlControl *control)
{
    for (uint32_t i = 0; i < control->early_event_count; i++) {
        control->sink->type->log_event(control->sink,
                                       &control->early_events[i]);
    }
    control->early_event_count = 0;
}

void
SlControl_HandleInput(struct SlControl *control, struct SlSink *sink,
                      const struct SlInput *input)
{
    control->sink = sink;
    control->now_us = input->now_us;
    control->wall_us = input->wall_us;
    observe_lease(control);
    send_early_events(control);
    switch (input->kind) {
    case SL_INPUT_TICK:
        handle_tick(control);
        break;
    case SL_INPUT_LINK_UP:
        SlControl_LinkUp(control, input);
        break;
    case SL_INPUT_LINK_DOWN:
        SlControl_LinkDown(control, input->link);
        break;
    case SL_INPUT_MESSAGE:
        handle_message(control, input);
        break;
    case SL_INPUT_STOP:
        SlRaft_Resign(&control->raft, control->now_us);
        break;
    case SL_INPUT_BATCH_END:
        SlRaft_Flush(&control->raft, control->now_us);
        SlControl_PublishChanges(control);
        SlControl_SendHeartbeats(control);
        break;
    default:
        break;
    }
    observe_lease(control);
    control->sink = NULL;
}

enum SlControlState
SlControl_State(const struct SlControl *control)
{
    return control->raft.state;
}

uint64_t
SlControl_CurrentTerm(const struct SlControl *control)
{
    return control->raft.hard_state.term;
}

uint64_t
SlControl_LeaderId(const struct SlControl *control)
{
    return control->raft.leader_id;
}

struct SlVersion
SlControl_AppliedVersion(const struct SlControl *control)
{
    return control->raft.applied;
}

bool
SlControl_IsFresh(const struct SlControl *control, uint64_t now_us)
{
    return SlRaft_IsFresh(&control->raft, now_us);
}

bool
SlControl_IsRecent(const struct SlControl *control, uint64_t now_us)
{
    return SlRaft_IsRecent(&control->raft, now_us);
}

int64_t
SlControl_LeaseUs(const struct SlControl *control, uint64_t now_us)
{
    uint64_t remaining_us = SlRaft_LeaseRemainingUs(&control->raft, now_us);

    if (remaining_us > 0 || now_us < control->current_until_us) {
        return (int64_t)remaining_us;
    }
    return -(int64_t)(now_us - control->current_until_us);
}

uint64_t
SlControl_ElectionUs(const struct SlControl *control)
{
    return SlRaft_ElectionUs(&control->raft);
}

uint64_t
SlControl_RoundTripUs(const struct SlControl *control)
{
    return control->raft.majority_trip.smoothed_us;
}

uint64_t
SlControl_LeaseLossCount(const struct SlControl *control)
{
    return control->lease_losses;
}

const char *
SlControl_LeaderName(const struct SlControl *control)
{
    const struct SlRaftMember *leader =
        SlRaft_FindMember(&control->raft, control->raft.leader_id);

    return leader != NULL ? leader->name : "";
}

static struct SlControlMember
copy_member(const struct SlRaftMember *source)
{
    struct SlControlMember member = {.node_id = source->node_id,
                                     .link_address = source->link_address,
                                     .is_voter = source->is_voter};

    memcpy(member.name, source->name, sizeof(member.name));
    return member;
}

bool
SlControl_FindLeader(const struct SlControl *control, uint64_t now_us,
                     struct SlControlMember *leader)
{
    const struct SlRaft *raft = &control->raft;
    const struct SlRaftMember *member =
        SlRaft_FindMember(raft, raft->leader_id);

    if (member == NULL || member->node_id == control->node_id ||
        now_us - raft->last_leader_message_us >=
            SL_CONTROL_LEADER_CONTACT_ELECTIONS * raft->options.election_us) {
        return false;
    }
    *leader = copy_member(member);
    return true;
}

bool
SlControl_IsMember(const struct SlControl *control)
{
    return SlRaft_FindMember(&control->raft, control->node_id) != NULL;
}

uint64_t
SlControl_LeaderSilentUs(const struct SlControl *control, uint64_t now_us)
{
    uint64_t since_us = control->raft.last_leader_message_us;

    if (control->raft.state == SL_CONTROL_LEADER) {
        return 0;
    }
    if (since_us < control->created_us) {
        since_us = control->created_us;
    }
    return now_us > since_us ? now_us - since_us : 0;
}

const struct SlConfig *
SlControl_Config(const struct SlControl *control)
{
    return control->config;
}

uint64_t
SlControl_InvitationCount(const struct SlControl *control)
{
    return control->invitations.sent;
}

uint32_t
SlControl_Members(const struct SlControl *control,
                  struct SlControlMember *members, uint32_t capacity)
{
    const struct SlRaftMembers *source = &control->raft.members;

    for (uint32_t i = 0; i < source->count && i < capacity; i++) {
        members[i] = copy_member(&source->items[i]);
    }
    return source->count;
}
