/// Announcements and reachability of processes.
///
/// Every control instance monitors the processes linked to it. A follower
/// reports only changes to the leader: a process sent a message again, or it
/// was lost. Only the leader proposes configuration changes, and it declares
/// processes unreachable only after a grace period of leadership. A process
/// that it hears is reachable at once. If many processes fall silent at once,
/// the leader assumes that it is itself partitioned and declares none of them
/// unreachable.

#include <stdlib.h>
#include <string.h>

#include "control_core.h"

enum {
    /// A new leader waits this many times options.unreachable_us before it
    /// declares a process unreachable.
    LEADER_GRACE_FACTOR = 3,
    /// Processes declared unreachable within this time count towards the same
    /// mass loss.
    LOSS_WINDOW_US = 60 * 1000 * 1000,
    /// Delay before a refused proposal is repeated.
    PROPOSAL_RETRY_DELAY_US = 1000 * 1000,
    /// A mass loss exceeds both of these limits: a number of processes, and a
    /// percentage of all known processes.
    MASS_LOSS_NODES = 2,
    MASS_LOSS_PERCENT = 30,
};

/// Silence after which a process is suspected: a follower reports it as lost,
/// and the leader includes it in the check for a mass loss.
static uint64_t
suspect_after_us(const struct SlControl *control)
{
    return control->options.unreachable_us / 2;
}

static bool
is_leader(const struct SlControl *control)
{
    return control->raft.state == SL_CONTROL_LEADER;
}

/// True when both specs have the same encoding.
static bool
is_same_spec(const struct SlNodeSpec *a, const struct SlNodeSpec *b)
{
    struct SlObject objects[2] = {{.kind = SL_KIND_NODE, .node = *a},
                                  {.kind = SL_KIND_NODE, .node = *b}};
    struct SlBuffer bytes[2] = {{.bytes = NULL}, {.bytes = NULL}};
    bool is_same =
        SlObject_Encode(&objects[0], &bytes[0]) == SL_OK &&
        SlObject_Encode(&objects[1], &bytes[1]) == SL_OK &&
        bytes[0].length_bytes == bytes[1].length_bytes &&
        memcmp(bytes[0].bytes, bytes[1].bytes, bytes[0].length_bytes) == 0;

    SlBuffer_Release(&bytes[0]);
    SlBuffer_Release(&bytes[1]);
    return is_same;
}

/// True when the configuration already contains what the process announced
/// about itself. The unreachable flag is not compared: only control sets it.
static bool
is_spec_in_force(const struct SlControl *control, const char *name,
                 const struct SlNodeSpec *announced)
{
    const struct SlObject *known_node =
        SlConfig_FindObject(control->config, SL_KIND_NODE, name);
    struct SlNodeSpec spec = *announced;

    if (known_node == NULL) {
        return false;
    }
    spec.unreachable = known_node->node.unreachable;
    return is_same_spec(&spec, &known_node->node);
}

/// Records at the leader that a control instance receives messages from a
/// process. An observer_id of 0 stands for this instance.
static void
record_observed_process(struct SlControl *control, uint64_t node_id,
                        const char *name, const struct SlNodeSpec *announced,
                        uint64_t observer_id)
{
    struct SlNodeObservation *observation =
        SlObservationTable_Add(&control->observations, node_id);

    if (observation == NULL) {
        return;
    }
    memcpy(observation->name, name, sizeof(observation->name));
    observation->observer_id = observer_id;
    observation->is_observed = true;
    observation->updated_us = control->now_us;
    observation->announced_spec = *announced;
    observation->announced_spec.unreachable = false;
    observation->announcement_due = true;
}

static void
record_lost_process(struct SlControl *control, uint64_t node_id,
                    uint64_t observer_id)
{
    struct SlNodeObservation *observation =
        SlObservationTable_Find(&control->observations, node_id);

    if (observation != NULL && observation->is_observed &&
        observation->observer_id == observer_id) {
        observation->is_observed = false;
        observation->updated_us = control->now_us;
    }
}

/// Reports to the leader that a process linked to this instance was observed
/// or lost.
static void
report_to_leader(struct SlControl *control, struct SlControlLink *link,
                 bool is_lost)
{
    struct SlControlLink *leader =
        SlControl_FindMemberLink(control, control->raft.leader_id);
    struct SlMessage message = {.kind = SL_MESSAGE_ANNOUNCE,
                                .announce = {.kind = SL_KIND_NODE}};

    if (leader == NULL || link->announced_spec == NULL) {
        return;
    }
    memcpy(message.announce.name, link->peer.name,
           sizeof(message.announce.name));
    message.announce.node = *link->announced_spec;
    message.announce.node.unreachable = is_lost;
    link->reported_term = control->raft.hard_state.term;
    link->reported_lost = is_lost;
    control->sink->type->send_message(control->sink, leader->link, &message);
}

/// Stores the spec that a process announced about itself in its link. Returns
/// false when out of memory.
static bool
store_announced_spec(struct SlControlLink *link,
                     const struct SlNodeSpec *announced)
{
    if (link->announced_spec == NULL) {
        link->announced_spec = malloc(sizeof(*link->announced_spec));
    }
    if (link->announced_spec == NULL) {
        return false;
    }
    *link->announced_spec = *announced;
    return true;
}

static void
handle_own_announcement(struct SlControl *control, struct SlControlLink *link,
                        const struct SlObject *object)
{
    bool is_changed = link->announced_spec == NULL ||
                      !is_spec_in_force(control, object->name, &object->node);

    if (!store_announced_spec(link, &object->node)) {
        return;
    }
    if (is_leader(control)) {
        record_observed_process(control, link->peer.node_id, link->peer.name,
                                link->announced_spec, 0);
    }
    else if (is_changed) {
        report_to_leader(control, link, false);
    }
}

/// Once per term: replaces the observations by those of the processes linked
/// to this instance. Must run before a new leader handles the first report of
/// another instance.
static void
init_observations(struct SlControl *control)
{
    if (control->observations_term == control->raft.hard_state.term) {
        return;
    }
    SlObservationTable_Release(&control->observations);
    control->observations_term = control->raft.hard_state.term;
    control->mass_loss_withheld = false;
    for (uint32_t i = 0; i < control->link_count; i++) {
        const struct SlControlLink *link = &control->links[i];
        struct SlNodeObservation *observation;

        if (link->announced_spec == NULL) {
            continue;
        }
        record_observed_process(control, link->peer.node_id, link->peer.name,
                                link->announced_spec, 0);
        observation = SlObservationTable_Find(&control->observations,
                                              link->peer.node_id);
        if (observation != NULL) {
            /* The link of a process that stands still stays open. */
            observation->updated_us = link->last_received_us;
        }
    }
}

void
SlControl_OnAnnounce(struct SlControl *control, uint64_t number,
                     const struct SlObject *object)
{
    struct SlControlLink *link = SlControl_FindLink(control, number);

    if (link == NULL || object->kind != SL_KIND_NODE) {
        return;
    }
    if (is_leader(control)) {
        init_observations(control);
    }
    if (object->node.node_id == link->peer.node_id) {
        handle_own_announcement(control, link, object);
        return;
    }
    if (!(link->peer.roles & SL_ROLE_CONTROL) || !is_leader(control)) {
        return;
    }
    if (object->node.unreachable) {
        record_lost_process(control, object->node.node_id, link->peer.node_id);
    }
    else {
        record_observed_process(control, object->node.node_id, object->name,
                                &object->node, link->peer.node_id);
    }
}

void
SlControl_ObserveMessage(struct SlControl *control,
                         const struct SlControlLink *link)
{
    struct SlNodeObservation *observation;

    if (!is_leader(control) || link->announced_spec == NULL) {
        return;
    }
    observation =
        SlObservationTable_Find(&control->observations, link->peer.node_id);
    if (observation != NULL && observation->is_observed &&
        observation->observer_id == 0) {
        observation->updated_us = control->now_us;
    }
}

void
SlControl_RetryRefusedProposals(struct SlControl *control, uint64_t from_index)
{
    control->reachability_check_due_us =
        control->now_us + PROPOSAL_RETRY_DELAY_US;
    for (uint32_t i = 0; i < control->observations.count; i++) {
        struct SlNodeObservation *observation = control->observations.items[i];

        if (observation->proposed_index != 0 &&
            observation->proposed_index >= from_index) {
            observation->proposed_index = 0;
            observation->announcement_due = observation->is_observed;
        }
    }
}

void
SlControl_ObserveLinkLoss(struct SlControl *control,
                          const struct SlControlLink *link)
{
    struct SlControlLink closed_link = *link;

    if (link->announced_spec == NULL) {
        return;
    }
    if (is_leader(control)) {
        record_lost_process(control, link->peer.node_id, 0);
    }
    else if (control->raft.leader_id != 0) {
        report_to_leader(control, &closed_link, true);
    }
}

static void
report_changes_to_leader(struct SlControl *control)
{
    for (uint32_t i = 0; i < control->link_count; i++) {
        struct SlControlLink *link = &control->links[i];
        bool is_lost = control->now_us - link->last_received_us >
                       suspect_after_us(control);

        if (link->announced_spec != NULL &&
            (link->reported_term != control->raft.hard_state.term ||
             link->reported_lost != is_lost)) {
            report_to_leader(control, link, is_lost);
        }
    }
}

/// Returns the time since the process was last known to be running. While
/// another instance observes the process, this is the time since the last
/// message of that instance, less an additional unreachable_us: if that
/// instance fails, the process needs the time to connect to a third one.
static uint64_t
silence_duration_us(struct SlControl *control,
                    const struct SlNodeObservation *observation)
{
    uint64_t last_message_us = observation->updated_us;
    const struct SlRaftProgress *observer;

    if (observation->is_observed && observation->observer_id != 0) {
        observer =
            SlRaft_FindProgress(&control->raft, observation->observer_id);
        last_message_us = observer != NULL ? observer->last_received_us
                                           : observation->updated_us;
        last_message_us += control->options.unreachable_us;
    }
    return last_message_us < control->now_us
               ? control->now_us - last_message_us
               : 0;
}

static void
propose_node(struct SlControl *control, struct SlNodeObservation *observation,
             struct SlChange *change)
{
    uint64_t index;

    memcpy(change->object.name, observation->name,
           sizeof(change->object.name));
    change->object.kind = SL_KIND_NODE;
    if (SlRaft_ProposeChange(&control->raft, change, control->wall_us,
                             &index) == SL_OK) {
        observation->proposed_index = index;
    }
}

static void
propose_reachability(struct SlControl *control,
                     struct SlNodeObservation *observation, bool is_lost,
                     uint64_t silence_us)
{
    struct SlChange change = {.verb = SL_VERB_SET_REACHABILITY};
    struct SlEvent event = {
        .number = is_lost ? SL_EVENT_UNREACHABLE : SL_EVENT_REACHABLE,
        .node = observation->name,
        .reason = is_lost ? "silent" : "heard",
        .value = (int64_t)silence_us,
        .limit = (int64_t)control->options.unreachable_us,
    };

    change.object.node.unreachable = is_lost;
    observation->marked_unreachable_us = is_lost ? control->now_us : 0;
    SlControl_EmitEvent(control, &event);
    propose_node(control, observation, &change);
}

static void
propose_announcement(struct SlControl *control,
                     struct SlNodeObservation *observation)
{
    struct SlChange change = {.verb = SL_VERB_ANNOUNCE};
    struct SlEvent event = {.number = SL_EVENT_ANNOUNCED,
                            .node = observation->name,
                            .reason = "changed",
                            .value =
                                (int64_t)observation->announced_spec.boot};

    observation->announcement_due = false;
    if (is_spec_in_force(control, observation->name,
                         &observation->announced_spec)) {
        return;
    }
    change.object.node = observation->announced_spec;
    SlControl_EmitEvent(control, &event);
    propose_node(control, observation, &change);
}

static void
propose_announcements(struct SlControl *control)
{
    for (uint32_t i = 0; i < control->observations.count; i++) {
        struct SlNodeObservation *observation = control->observations.items[i];

        if (observation->announcement_due &&
            observation->proposed_index <= control->raft.applied.index) {
            propose_announcement(control, observation);
        }
    }
}

/// Number of processes in each state, counted in one pass.
struct reachability_counts {
    uint32_t known;
    uint32_t suspect;
    uint32_t silent;
    uint32_t recently_marked;
};

static bool
is_silent(struct SlControl *control, const struct SlObject *node,
          const struct SlNodeObservation *observation)
{
    return !node->node.unreachable &&
           silence_duration_us(control, observation) >
               control->options.unreachable_us;
}

/// True when the process may be lost. Suspects are counted before they reach
/// the unreachable limit, so that a simultaneous loss of many processes is
/// recognised although their timeouts expire one after the other.
static bool
is_suspect(struct SlControl *control, const struct SlObject *node,
           const struct SlNodeObservation *observation)
{
    return !node->node.unreachable &&
           (!observation->is_observed ||
            silence_duration_us(control, observation) >
                suspect_after_us(control));
}

/// Returns the observation of a process in the configuration. A process from
/// which this leader received nothing counts as silent since the leader was
/// elected. Returns NULL when out of memory.
static struct SlNodeObservation *
find_or_add_observation(struct SlControl *control, const struct SlObject *node)
{
    struct SlNodeObservation *observation =
        SlObservationTable_Find(&control->observations, node->node.node_id);

    if (observation == NULL) {
        observation =
            SlObservationTable_Add(&control->observations, node->node.node_id);
        if (observation != NULL) {
            memcpy(observation->name, node->name, sizeof(observation->name));
            observation->updated_us = control->raft.leading_since_us;
        }
    }
    return observation;
}

static struct reachability_counts
count_reachability(struct SlControl *control)
{
    struct reachability_counts counts = {.known = 0};
    uint32_t node_count = SlConfig_ObjectCount(control->config, SL_KIND_NODE);

    for (uint32_t i = 0; i < node_count; i++) {
        const struct SlObject *node =
            SlConfig_ObjectAt(control->config, SL_KIND_NODE, i);
        const struct SlNodeObservation *observation =
            find_or_add_observation(control, node);
        bool is_recent;

        if (observation == NULL || node->node.leaving) {
            continue;
        }
        is_recent = node->node.unreachable &&
                    observation->marked_unreachable_us != 0 &&
                    control->now_us - observation->marked_unreachable_us <
                        LOSS_WINDOW_US;
        counts.known += !node->node.unreachable || is_recent;
        counts.suspect += is_suspect(control, node, observation);
        counts.silent += is_silent(control, node, observation);
        counts.recently_marked += is_recent;
    }
    return counts;
}

/// True when so many processes fell silent that this instance itself may be
/// partitioned; they are then not declared unreachable. Emits an event when
/// this state begins.
static bool
detect_mass_loss(struct SlControl *control,
                 const struct reachability_counts *counts)
{
    uint32_t lost = counts->suspect + counts->recently_marked;
    bool loss_withheld = counts->silent > 0 && lost > MASS_LOSS_NODES &&
                         lost * 100 > counts->known * MASS_LOSS_PERCENT;
    struct SlEvent event = {.number = SL_EVENT_LOSS_HELD,
                            .reason = "many_at_once",
                            .value = lost,
                            .limit = counts->known};

    if (loss_withheld && !control->mass_loss_withheld) {
        SlControl_EmitEvent(control, &event);
    }
    control->mass_loss_withheld = loss_withheld;
    return loss_withheld;
}

/// in_grace: nothing but that a process is heard may be concluded yet.
static void
update_node_reachability(struct SlControl *control,
                         const struct SlObject *node, bool in_grace,
                         bool loss_withheld)
{
    struct SlNodeObservation *observation =
        find_or_add_observation(control, node);
    uint64_t silence_us;

    if (observation == NULL ||
        observation->proposed_index > control->raft.applied.index) {
        return;
    }
    silence_us = silence_duration_us(control, observation);
    if (node->node.unreachable && observation->is_observed &&
        silence_us <= control->options.unreachable_us) {
        propose_reachability(control, observation, false, silence_us);
    }
    else if (!in_grace && is_silent(control, node, observation) &&
             (!loss_withheld || node->node.leaving)) {
        propose_reachability(control, observation, true, silence_us);
    }
}

static void
update_reachability(struct SlControl *control)
{
    uint64_t grace_us = control->options.unreachable_us * LEADER_GRACE_FACTOR;
    uint32_t node_count = SlConfig_ObjectCount(control->config, SL_KIND_NODE);
    bool in_grace =
        control->now_us - control->raft.leading_since_us < grace_us;
    struct reachability_counts counts;
    bool loss_withheld = false;

    if (!in_grace) {
        counts = count_reachability(control);
        loss_withheld = detect_mass_loss(control, &counts);
    }
    for (uint32_t i = 0; i < node_count; i++) {
        update_node_reachability(
            control, SlConfig_ObjectAt(control->config, SL_KIND_NODE, i),
            in_grace, loss_withheld);
    }
}

void
SlControl_CheckReachability(struct SlControl *control)
{
    if (control->now_us < control->reachability_check_due_us) {
        return;
    }
    control->reachability_check_due_us =
        control->now_us + SL_CONTROL_REACHABILITY_CHECK_US;
    if (!is_leader(control)) {
        if (control->raft.leader_id != 0) {
            report_changes_to_leader(control);
        }
        return;
    }
    init_observations(control);
    if (!SlRaft_IsFresh(&control->raft, control->now_us)) {
        return;
    }
    propose_announcements(control);
    update_reachability(control);
}
