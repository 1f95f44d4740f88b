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
    GRACE_FACTOR = 3,
    /// Losses within this time count as one.
    LOSS_WINDOW_US = 60 * 1000 * 1000,
    /// After a refused proposal.
    REFUSED_PAUSE_US = 1000 * 1000,
    /// More losses at once than both of these are held.
    LOSS_HELD_NODES = 2,
    LOSS_HELD_PERCENT = 30,
};

/// Silence after which a process may be lost: a follower reports it then,
/// and the leader counts it when it judges how many fell silent at once.
static uint64_t
suspect_us(const struct SlControl *control)
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
    bool same =
        SlObject_Encode(&objects[0], &bytes[0]) == SL_OK &&
        SlObject_Encode(&objects[1], &bytes[1]) == SL_OK &&
        bytes[0].length_bytes == bytes[1].length_bytes &&
        memcmp(bytes[0].bytes, bytes[1].bytes, bytes[0].length_bytes) == 0;

    SlBuffer_Release(&bytes[0]);
    SlBuffer_Release(&bytes[1]);
    return same;
}

/// True when the log already holds what the process says of itself.
static bool
is_in_force(const struct SlControl *control, const char *name,
            const struct SlNodeSpec *announced)
{
    const struct SlObject *present =
        SlConfig_FindObject(control->config, SL_KIND_NODE, name);
    struct SlNodeSpec spec = *announced;

    if (present == NULL) {
        return false;
    }
    spec.unreachable = present->node.unreachable;
    return is_same_spec(&spec, &present->node);
}

/// Notes at the leader that an instance hears a process.
static void
note_heard(struct SlControl *control, uint64_t node_id, const char *name,
           const struct SlNodeSpec *announced, uint64_t via)
{
    struct SlSeen *seen = SlSeenTable_Add(&control->seen, node_id);

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
note_lost(struct SlControl *control, uint64_t node_id, uint64_t via)
{
    struct SlSeen *seen = SlSeenTable_Find(&control->seen, node_id);

    if (seen != NULL && seen->heard && seen->via == via) {
        seen->heard = false;
        seen->at_us = control->now_us;
    }
}

/// Tells the leader that a process linked here is heard or lost.
static void
report(struct SlControl *control, struct SlControlLink *link, bool lost)
{
    struct SlControlLink *leader =
        SlControl_MemberLink(control, control->raft.leader);
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
keep_announced(struct SlControlLink *link, const struct SlNodeSpec *announced)
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
on_own_word(struct SlControl *control, struct SlControlLink *link,
            const struct SlObject *object)
{
    bool news = link->announced == NULL ||
                !is_in_force(control, object->name, &object->node);

    if (!keep_announced(link, &object->node)) {
        return;
    }
    if (is_leader(control)) {
        note_heard(control, link->peer.node_id, link->peer.name,
                   link->announced, 0);
    }
    else if (news) {
        report(control, link, false);
    }
}

/// A new leader starts with the processes linked to itself, before it takes
/// the first report of another instance.
static void
start_leading(struct SlControl *control)
{
    if (control->seen_term == control->raft.hard.term) {
        return;
    }
    SlSeenTable_Release(&control->seen);
    control->seen_term = control->raft.hard.term;
    control->loss_held = false;
    for (uint32_t i = 0; i < control->link_count; i++) {
        const struct SlControlLink *link = &control->links[i];

        if (link->announced != NULL) {
            note_heard(control, link->peer.node_id, link->peer.name,
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
        start_leading(control);
    }
    if (object->node.node_id == link->peer.node_id) {
        on_own_word(control, link, object);
        return;
    }
    if (!(link->peer.roles & SL_ROLE_CONTROL) || !is_leader(control)) {
        return;
    }
    if (object->node.unreachable) {
        note_lost(control, object->node.node_id, link->peer.node_id);
    }
    else {
        note_heard(control, object->node.node_id, object->name, &object->node,
                   link->peer.node_id);
    }
}

void
SlControl_Heard(struct SlControl *control, const struct SlControlLink *link)
{
    struct SlSeen *seen;

    if (!is_leader(control) || link->announced == NULL) {
        return;
    }
    seen = SlSeenTable_Find(&control->seen, link->peer.node_id);
    if (seen != NULL && seen->heard && seen->via == 0) {
        seen->at_us = control->now_us;
    }
}

void
SlControl_ReachRefused(struct SlControl *control, uint64_t from_index)
{
    control->reach_due_us = control->now_us + REFUSED_PAUSE_US;
    for (uint32_t i = 0; i < control->seen.count; i++) {
        struct SlSeen *seen = control->seen.items[i];

        if (seen->proposed_index != 0 && seen->proposed_index >= from_index) {
            seen->proposed_index = 0;
            seen->announce_due = seen->heard;
        }
    }
}

void
SlControl_LinkLost(struct SlControl *control, const struct SlControlLink *link)
{
    struct SlControlLink gone = *link;

    if (link->announced == NULL) {
        return;
    }
    if (is_leader(control)) {
        note_lost(control, link->peer.node_id, 0);
    }
    else if (control->raft.leader != 0) {
        report(control, &gone, true);
    }
}

static void
report_changes(struct SlControl *control)
{
    for (uint32_t i = 0; i < control->link_count; i++) {
        struct SlControlLink *link = &control->links[i];
        bool lost = control->now_us - link->heard_us > suspect_us(control);

        if (link->announced != NULL &&
            (link->reported_term != control->raft.hard.term ||
             link->reported_lost != lost)) {
            report(control, link, lost);
        }
    }
}

/// How long nobody has heard from the process. One that another instance
/// heard, and that instance fell silent, has the time of one more bound to
/// find a third.
static uint64_t
silent_us(struct SlControl *control, const struct SlSeen *seen)
{
    uint64_t at_us = seen->at_us;
    const struct SlRaftProgress *via;

    if (seen->heard && seen->via != 0) {
        via = SlRaft_Progress(&control->raft, seen->via);
        at_us = via != NULL ? via->heard_us : seen->at_us;
        at_us += control->options.unreachable_us;
    }
    return at_us < control->now_us ? control->now_us - at_us : 0;
}

static void
propose_node(struct SlControl *control, struct SlSeen *seen,
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
propose_reach(struct SlControl *control, struct SlSeen *seen, bool lost,
              uint64_t silent)
{
    struct SlChange change = {.verb = SL_VERB_SET_REACHABILITY};
    struct SlEvent event = {
        .number = lost ? SL_EVENT_UNREACHABLE : SL_EVENT_REACHABLE,
        .node = seen->name,
        .reason = lost ? "silent" : "heard",
        .value = (int64_t)silent,
        .limit = (int64_t)control->options.unreachable_us,
    };

    change.object.node.unreachable = lost;
    seen->marked_us = lost ? control->now_us : 0;
    SlControl_Event(control, &event);
    propose_node(control, seen, &change);
}

static void
propose_announcement(struct SlControl *control, struct SlSeen *seen)
{
    struct SlChange change = {.verb = SL_VERB_ANNOUNCE};
    struct SlEvent event = {.number = SL_EVENT_ANNOUNCED,
                            .node = seen->name,
                            .reason = "changed",
                            .value = (int64_t)seen->announced.boot};

    seen->announce_due = false;
    if (is_in_force(control, seen->name, &seen->announced)) {
        return;
    }
    change.object.node = seen->announced;
    SlControl_Event(control, &event);
    propose_node(control, seen, &change);
}

static void
propose_announcements(struct SlControl *control)
{
    for (uint32_t i = 0; i < control->seen.count; i++) {
        struct SlSeen *seen = control->seen.items[i];

        if (seen->announce_due &&
            seen->proposed_index <= control->raft.applied.index) {
            propose_announcement(control, seen);
        }
    }
}

/// What one look at all processes found.
struct reach_count {
    uint32_t known;
    uint32_t suspect;
    uint32_t silent;
    uint32_t marked_lately;
};

static bool
is_silent(struct SlControl *control, const struct SlObject *node,
          const struct SlSeen *seen)
{
    return !node->node.unreachable &&
           silent_us(control, seen) > control->options.unreachable_us;
}

/// True for what may be lost: counted before it is judged, so that a loss of
/// many is seen as one though their silence is noticed one by one.
static bool
is_suspect(struct SlControl *control, const struct SlObject *node,
           const struct SlSeen *seen)
{
    return !node->node.unreachable &&
           (!seen->heard || silent_us(control, seen) > suspect_us(control));
}

/// The entry of a process of the configuration; one that this leader has not
/// heard of counts as silent since it began to lead.
static struct SlSeen *
seen_of(struct SlControl *control, const struct SlObject *node)
{
    struct SlSeen *seen = SlSeenTable_Find(&control->seen, node->node.node_id);

    if (seen == NULL) {
        seen = SlSeenTable_Add(&control->seen, node->node.node_id);
        if (seen != NULL) {
            memcpy(seen->name, node->name, sizeof(seen->name));
            seen->at_us = control->raft.leading_since_us;
        }
    }
    return seen;
}

static struct reach_count
count_silent(struct SlControl *control)
{
    struct reach_count count = {.known = 0};
    uint32_t nodes = SlConfig_ObjectCount(control->config, SL_KIND_NODE);

    for (uint32_t i = 0; i < nodes; i++) {
        const struct SlObject *node =
            SlConfig_ObjectAt(control->config, SL_KIND_NODE, i);
        const struct SlSeen *seen = seen_of(control, node);
        bool lately;

        if (seen == NULL || node->node.leaving) {
            continue;
        }
        lately = node->node.unreachable && seen->marked_us != 0 &&
                 control->now_us - seen->marked_us < LOSS_WINDOW_US;
        count.known += !node->node.unreachable || lately;
        count.suspect += is_suspect(control, node, seen);
        count.silent += is_silent(control, node, seen);
        count.marked_lately += lately;
    }
    return count;
}

/// True when so many fell silent that the loss may be this instance's own.
static bool
hold_loss(struct SlControl *control, const struct reach_count *count)
{
    uint32_t lost = count->suspect + count->marked_lately;
    bool held = count->silent > 0 && lost > LOSS_HELD_NODES &&
                lost * 100 > count->known * LOSS_HELD_PERCENT;
    struct SlEvent event = {.number = SL_EVENT_LOSS_HELD,
                            .reason = "many_at_once",
                            .value = lost,
                            .limit = count->known};

    if (held && !control->loss_held) {
        SlControl_Event(control, &event);
    }
    control->loss_held = held;
    return held;
}

static void
judge_node(struct SlControl *control, const struct SlObject *node, bool held)
{
    struct SlSeen *seen = seen_of(control, node);
    uint64_t silent;

    if (seen == NULL || seen->proposed_index > control->raft.applied.index) {
        return;
    }
    silent = silent_us(control, seen);
    if (node->node.unreachable && seen->heard &&
        silent <= control->options.unreachable_us) {
        propose_reach(control, seen, false, silent);
    }
    else if (is_silent(control, node, seen) && (!held || node->node.leaving)) {
        propose_reach(control, seen, true, silent);
    }
}

static void
judge_nodes(struct SlControl *control)
{
    uint64_t grace_us = control->options.unreachable_us * GRACE_FACTOR;
    uint32_t nodes = SlConfig_ObjectCount(control->config, SL_KIND_NODE);
    struct reach_count count;
    bool held;

    if (control->now_us - control->raft.leading_since_us < grace_us) {
        return;
    }
    count = count_silent(control);
    held = hold_loss(control, &count);
    for (uint32_t i = 0; i < nodes; i++) {
        judge_node(control,
                   SlConfig_ObjectAt(control->config, SL_KIND_NODE, i), held);
    }
}

void
SlControl_ReachTick(struct SlControl *control)
{
    if (control->now_us < control->reach_due_us) {
        return;
    }
    control->reach_due_us = control->now_us + SL_CONTROL_REACH_US;
    if (!is_leader(control)) {
        if (control->raft.leader != 0) {
            report_changes(control);
        }
        return;
    }
    start_leading(control);
    if (!SlRaft_Fresh(&control->raft, control->now_us)) {
        return;
    }
    propose_announcements(control);
    judge_nodes(control);
}
