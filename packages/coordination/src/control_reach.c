/// Announcements and reachability.
///
/// Every instance watches the processes linked to it. A follower tells the
/// leader only what changes: a process is heard, a process is lost. The
/// leader alone proposes, after it has led for a grace time; when many fall
/// silent at once it takes that for its own partition and holds.

#include <stdlib.h>
#include <string.h>

#include "control_core.h"

enum {
    /// The leader waits this many times the unreachable bound first.
    LEADER_GRACE_FACTOR = 3,
    /// Losses within this time count as one.
    LOSS_WINDOW_US = 60 * 1000 * 1000,
    /// After a refused proposal.
    PROPOSAL_RETRY_DELAY_US = 1000 * 1000,
    /// More losses at once than both of these are held.
    MASS_LOSS_NODES = 2,
    MASS_LOSS_PERCENT = 30,
};

/// Silence after which a process may be lost: a follower reports it then,
/// and the leader counts it when it judges how many fell silent at once.
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

/// True when both specs read alike on the wire.
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

/// True when the log already holds what the process says of itself.
static bool
is_spec_in_force(const struct SlControl *control, const char *name,
                 const struct SlNodeSpec *announced)
{
    const struct SlObject *known_node =
        SlConfig_Find(control->config, SL_KIND_NODE, name);
    struct SlNodeSpec spec = *announced;

    if (known_node == NULL) {
        return false;
    }
    spec.unreachable = known_node->node.unreachable;
    return is_same_spec(&spec, &known_node->node);
}

/// Notes at the leader that an instance hears a process.
static void
record_observed(struct SlControl *control, uint64_t node_id, const char *name,
                const struct SlNodeSpec *announced, uint64_t via)
{
    struct SlNodeObservation *seen =
        SlObservationTable_Add(&control->seen, node_id);

    if (seen == NULL) {
        return;
    }
    memcpy(seen->name, name, sizeof(seen->name));
    seen->via = via;
    seen->heard = true;
    seen->at_us = control->now_us;
    seen->announced = *announced;
    seen->announced.unreachable = false;
    seen->announce_due = true;
}

static void
record_lost(struct SlControl *control, uint64_t node_id, uint64_t via)
{
    struct SlNodeObservation *seen =
        SlObservationTable_Find(&control->seen, node_id);

    if (seen != NULL && seen->heard && seen->via == via) {
        seen->heard = false;
        seen->at_us = control->now_us;
    }
}

/// Tells the leader that a process linked here is heard or lost.
static void
report_to_leader(struct SlControl *control, struct SlControlLink *link,
                 bool lost)
{
    struct SlControlLink *leader =
        SlControl_FindMemberLink(control, control->raft.leader);
    struct SlMessage message = {.kind = SL_MESSAGE_ANNOUNCE,
                                .announce = {.kind = SL_KIND_NODE}};

    if (leader == NULL || link->announced == NULL) {
        return;
    }
    memcpy(message.announce.name, link->peer.name,
           sizeof(message.announce.name));
    message.announce.node = *link->announced;
    message.announce.node.unreachable = lost;
    link->reported_term = control->raft.hard.term;
    link->reported_lost = lost;
    control->sink->type->send_message(control->sink, leader->link, &message);
}

/// Keeps a process's word about itself with its link.
static bool
store_announced_spec(struct SlControlLink *link,
                     const struct SlNodeSpec *announced)
{
    if (link->announced == NULL) {
        link->announced = malloc(sizeof(*link->announced));
    }
    if (link->announced == NULL) {
        return false;
    }
    *link->announced = *announced;
    return true;
}

static void
handle_own_announcement(struct SlControl *control, struct SlControlLink *link,
                        const struct SlObject *object)
{
    bool is_changed = link->announced == NULL ||
                      !is_spec_in_force(control, object->name, &object->node);

    if (!store_announced_spec(link, &object->node)) {
        return;
    }
    if (is_leader(control)) {
        record_observed(control, link->peer.node_id, link->peer.name,
                        link->announced, 0);
    }
    else if (is_changed) {
        report_to_leader(control, link, false);
    }
}

/// A new leader starts with the processes linked to itself, before it takes
/// the first report of another instance.
static void
init_observations(struct SlControl *control)
{
    if (control->observations_term == control->raft.hard.term) {
        return;
    }
    SlObservationTable_Release(&control->seen);
    control->observations_term = control->raft.hard.term;
    control->loss_held = false;
    for (uint32_t i = 0; i < control->link_count; i++) {
        const struct SlControlLink *link = &control->links[i];

        if (link->announced != NULL) {
            record_observed(control, link->peer.node_id, link->peer.name,
                            link->announced, 0);
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
        record_lost(control, object->node.node_id, link->peer.node_id);
    }
    else {
        record_observed(control, object->node.node_id, object->name,
                        &object->node, link->peer.node_id);
    }
}

void
SlControl_ObserveMessage(struct SlControl *control,
                         const struct SlControlLink *link)
{
    struct SlNodeObservation *seen;

    if (!is_leader(control) || link->announced == NULL) {
        return;
    }
    seen = SlObservationTable_Find(&control->seen, link->peer.node_id);
    if (seen != NULL && seen->heard && seen->via == 0) {
        seen->at_us = control->now_us;
    }
}

void
SlControl_RetryRefusedProposals(struct SlControl *control, uint64_t from_index)
{
    control->reachability_check_due_us =
        control->now_us + PROPOSAL_RETRY_DELAY_US;
    for (uint32_t i = 0; i < control->seen.count; i++) {
        struct SlNodeObservation *seen = control->seen.items[i];

        if (seen->proposed_index != 0 && seen->proposed_index >= from_index) {
            seen->proposed_index = 0;
            seen->announce_due = seen->heard;
        }
    }
}

void
SlControl_ObserveLinkLoss(struct SlControl *control,
                          const struct SlControlLink *link)
{
    struct SlControlLink closed_link = *link;

    if (link->announced == NULL) {
        return;
    }
    if (is_leader(control)) {
        record_lost(control, link->peer.node_id, 0);
    }
    else if (control->raft.leader != 0) {
        report_to_leader(control, &closed_link, true);
    }
}

static void
report_changes_to_leader(struct SlControl *control)
{
    for (uint32_t i = 0; i < control->link_count; i++) {
        struct SlControlLink *link = &control->links[i];
        bool lost =
            control->now_us - link->heard_us > suspect_after_us(control);

        if (link->announced != NULL &&
            (link->reported_term != control->raft.hard.term ||
             link->reported_lost != lost)) {
            report_to_leader(control, link, lost);
        }
    }
}

/// How long nobody has heard from the process. One that another instance
/// heard, and that instance fell silent, has the time of one more bound to
/// find a third.
static uint64_t
silent_us(struct SlControl *control, const struct SlNodeObservation *seen)
{
    uint64_t at_us = seen->at_us;
    const struct SlRaftProgress *via;

    if (seen->heard && seen->via != 0) {
        via = SlRaft_FindProgress(&control->raft, seen->via);
        at_us = via != NULL ? via->heard_us : seen->at_us;
        at_us += control->options.unreachable_us;
    }
    return at_us < control->now_us ? control->now_us - at_us : 0;
}

static void
propose_node(struct SlControl *control, struct SlNodeObservation *seen,
             struct SlChange *change)
{
    uint64_t index;

    memcpy(change->object.name, seen->name, sizeof(change->object.name));
    change->object.kind = SL_KIND_NODE;
    if (SlRaft_Propose(&control->raft, change, control->wall_us, &index) ==
        SL_OK) {
        seen->proposed_index = index;
    }
}

static void
propose_reachability(struct SlControl *control, struct SlNodeObservation *seen,
                     bool lost, uint64_t silent)
{
    struct SlChange change = {.verb = SL_VERB_REACH};
    struct SlEvent event = {
        .number = lost ? SL_EVENT_UNREACHABLE : SL_EVENT_REACHABLE,
        .node = seen->name,
        .reason = lost ? "silent" : "heard",
        .value = (int64_t)silent,
        .limit = (int64_t)control->options.unreachable_us,
    };

    change.object.node.unreachable = lost;
    seen->marked_us = lost ? control->now_us : 0;
    SlControl_EmitEvent(control, &event);
    propose_node(control, seen, &change);
}

static void
propose_announcement(struct SlControl *control, struct SlNodeObservation *seen)
{
    struct SlChange change = {.verb = SL_VERB_ANNOUNCE};
    struct SlEvent event = {.number = SL_EVENT_ANNOUNCED,
                            .node = seen->name,
                            .reason = "changed",
                            .value = (int64_t)seen->announced.boot};

    seen->announce_due = false;
    if (is_spec_in_force(control, seen->name, &seen->announced)) {
        return;
    }
    change.object.node = seen->announced;
    SlControl_EmitEvent(control, &event);
    propose_node(control, seen, &change);
}

static void
propose_announcements(struct SlControl *control)
{
    for (uint32_t i = 0; i < control->seen.count; i++) {
        struct SlNodeObservation *seen = control->seen.items[i];

        if (seen->announce_due &&
            seen->proposed_index <= control->raft.applied.index) {
            propose_announcement(control, seen);
        }
    }
}

/// What one look at all processes found.
struct reachability_counts {
    uint32_t known;
    uint32_t suspect;
    uint32_t silent;
    uint32_t recently_marked;
};

static bool
is_silent(struct SlControl *control, const struct SlObject *node,
          const struct SlNodeObservation *seen)
{
    return !node->node.unreachable &&
           silent_us(control, seen) > control->options.unreachable_us;
}

/// True for what may be lost: counted before it is judged, so that a loss of
/// many is seen as one though their silence is noticed one by one.
static bool
is_suspect(struct SlControl *control, const struct SlObject *node,
           const struct SlNodeObservation *seen)
{
    return !node->node.unreachable &&
           (!seen->heard ||
            silent_us(control, seen) > suspect_after_us(control));
}

/// The entry of a process of the configuration; one that this leader has not
/// heard of counts as silent since it began to lead.
static struct SlNodeObservation *
find_or_add_observation(struct SlControl *control, const struct SlObject *node)
{
    struct SlNodeObservation *seen =
        SlObservationTable_Find(&control->seen, node->node.node_id);

    if (seen == NULL) {
        seen = SlObservationTable_Add(&control->seen, node->node.node_id);
        if (seen != NULL) {
            memcpy(seen->name, node->name, sizeof(seen->name));
            seen->at_us = control->raft.leading_since_us;
        }
    }
    return seen;
}

static struct reachability_counts
count_silent_nodes(struct SlControl *control)
{
    struct reachability_counts count = {.known = 0};
    uint32_t nodes = SlConfig_Count(control->config, SL_KIND_NODE);

    for (uint32_t i = 0; i < nodes; i++) {
        const struct SlObject *node =
            SlConfig_At(control->config, SL_KIND_NODE, i);
        const struct SlNodeObservation *seen =
            find_or_add_observation(control, node);
        bool is_recent;

        if (seen == NULL || node->node.leaving) {
            continue;
        }
        is_recent = node->node.unreachable && seen->marked_us != 0 &&
                    control->now_us - seen->marked_us < LOSS_WINDOW_US;
        count.known += !node->node.unreachable || is_recent;
        count.suspect += is_suspect(control, node, seen);
        count.silent += is_silent(control, node, seen);
        count.recently_marked += is_recent;
    }
    return count;
}

/// True when so many fell silent that the loss may be this instance's own.
static bool
should_withhold_loss(struct SlControl *control,
                     const struct reachability_counts *count)
{
    uint32_t lost = count->suspect + count->recently_marked;
    bool is_withheld = count->silent > 0 && lost > MASS_LOSS_NODES &&
                       lost * 100 > count->known * MASS_LOSS_PERCENT;
    struct SlEvent event = {.number = SL_EVENT_LOSS_HELD,
                            .reason = "many_at_once",
                            .value = lost,
                            .limit = count->known};

    if (is_withheld && !control->loss_held) {
        SlControl_EmitEvent(control, &event);
    }
    control->loss_held = is_withheld;
    return is_withheld;
}

static void
update_node_reachability(struct SlControl *control,
                         const struct SlObject *node, bool is_withheld)
{
    struct SlNodeObservation *seen = find_or_add_observation(control, node);
    uint64_t silent;

    if (seen == NULL || seen->proposed_index > control->raft.applied.index) {
        return;
    }
    silent = silent_us(control, seen);
    if (node->node.unreachable && seen->heard &&
        silent <= control->options.unreachable_us) {
        propose_reachability(control, seen, false, silent);
    }
    else if (is_silent(control, node, seen) &&
             (!is_withheld || node->node.leaving)) {
        propose_reachability(control, seen, true, silent);
    }
}

static void
update_reachability(struct SlControl *control)
{
    uint64_t grace_us = control->options.unreachable_us * LEADER_GRACE_FACTOR;
    uint32_t nodes = SlConfig_Count(control->config, SL_KIND_NODE);
    struct reachability_counts count;
    bool is_withheld;

    if (control->now_us - control->raft.leading_since_us < grace_us) {
        return;
    }
    count = count_silent_nodes(control);
    is_withheld = should_withhold_loss(control, &count);
    for (uint32_t i = 0; i < nodes; i++) {
        update_node_reachability(control,
                                 SlConfig_At(control->config, SL_KIND_NODE, i),
                                 is_withheld);
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
        if (control->raft.leader != 0) {
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
