#include <stdlib.h>
#include <string.h>

#include "control_core.h"

enum {
    LINKS_FIRST_ROOM = 16,
};

/// Index of the first link whose number is at least that.
static uint32_t
lower_bound(const struct SlControl *control, uint64_t number)
{
    uint32_t low = 0;
    uint32_t high = control->link_count;

    while (low < high) {
        uint32_t middle = (low + high) / 2;

        if (control->links[middle].link < number) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

struct SlControlLink *
SlControl_FindLink(struct SlControl *control, uint64_t number)
{
    uint32_t at = lower_bound(control, number);

    if (at == control->link_count || control->links[at].link != number) {
        return NULL;
    }
    return &control->links[at];
}

struct SlControlLink *
SlControl_MemberLink(struct SlControl *control, uint64_t node_id)
{
    for (uint32_t i = control->link_count; i > 0; i--) {
        struct SlControlLink *link = &control->links[i - 1];

        if (link->peer.node_id == node_id &&
            (link->peer.roles & SL_ROLE_CONTROL)) {
            return link;
        }
    }
    return NULL;
}

static bool
reserve_link(struct SlControl *control)
{
    uint32_t room =
        control->link_room ? control->link_room * 2 : LINKS_FIRST_ROOM;
    struct SlControlLink *links;

    if (control->link_count < control->link_room) {
        return true;
    }
    links = realloc(control->links, room * sizeof(*links));
    if (links == NULL) {
        return false;
    }
    control->links = links;
    control->link_room = room;
    return true;
}

/// What was reported on an earlier link between two instances may be lost,
/// and the leader may have taken the end of that link for a loss.
static void
report_all_again(struct SlControl *control)
{
    for (uint32_t i = 0; i < control->link_count; i++) {
        control->links[i].reported_term = 0;
    }
}

void
SlControl_LinkUp(struct SlControl *control, const struct SlInput *input)
{
    struct SlControlLink *link;

    if (!reserve_link(control)) {
        return;
    }
    link = &control->links[lower_bound(control, input->link)];
    memmove(link + 1, link,
            (size_t)((uint8_t *)&control->links[control->link_count] -
                     (uint8_t *)link));
    control->link_count++;
    *link = (struct SlControlLink){
        .link = input->link, .peer = *input->peer, .heard_us = input->now_us};
    if ((link->peer.roles & SL_ROLE_CONTROL) &&
        link->peer.node_id != control->node_id) {
        SlRaft_LinkUp(&control->raft, input->now_us, link->peer.node_id);
        report_all_again(control);
    }
}

void
SlControl_LinkDown(struct SlControl *control, uint64_t number)
{
    struct SlControlLink *link = SlControl_FindLink(control, number);
    struct SlControlLink gone;

    if (link == NULL) {
        return;
    }
    gone = *link;
    control->link_count--;
    memmove(link, link + 1,
            (size_t)((uint8_t *)&control->links[control->link_count] -
                     (uint8_t *)link));
    SlControl_LinkLost(control, &gone);
    free(gone.announced);
}

/// Drops links to instances that are members no more.
static void
drop_former(struct SlControl *control, const struct SlRaftMembers *members)
{
    for (uint32_t i = 0; i < control->dialled.count; i++) {
        uint64_t node_id = control->dialled.items[i].node_id;
        bool kept = false;

        for (uint32_t j = 0; j < members->count; j++) {
            kept = kept || members->items[j].node_id == node_id;
        }
        if (!kept) {
            control->sink->type->drop_node(control->sink, node_id);
        }
    }
    control->dialled = *members;
}

/// True while this instance hears a leader, or leads. A learner keeps the name
/// of its last leader, so the time counts too.
static bool
hears_leader(const struct SlControl *control)
{
    const struct SlRaft *raft = &control->raft;

    return raft->state == SL_CONTROL_LEADER ||
           (raft->leader != 0 && control->now_us - raft->leader_heard_us <
                                     2 * raft->options.election_us);
}

/// One link serves two instances: the one with the lower id dials, and the
/// other only now and then, in case the first cannot. Without a leader it may
/// be that the others do not know this instance.
static bool
is_ours_to_dial(const struct SlControl *control, uint64_t node_id)
{
    if (node_id == control->node_id) {
        return false;
    }
    return control->node_id < node_id ||
           (control->options.self_forming && !hears_leader(control)) ||
           control->dial_rounds % SL_CONTROL_DIAL_BACK_ROUNDS == 0;
}

/// Whom to keep links to: the members, and those of the settings while there
/// are no members, or none of them leads.
static void
wanted_links(const struct SlControl *control, struct SlRaftMembers *wanted)
{
    const struct SlRaftMembers *first = &control->raft.options.first_members;
    bool lost = control->options.self_forming && !hears_leader(control);

    *wanted = control->raft.members;
    if (wanted->count > 0 && !lost) {
        return;
    }
    for (uint32_t i = 0;
         i < first->count && wanted->count < SL_MEMBERS_CONTROL_MAX; i++) {
        if (SlRaft_Member(&control->raft, first->items[i].node_id) == NULL) {
            wanted->items[wanted->count++] = first->items[i];
        }
    }
}

void
SlControl_DialMembers(struct SlControl *control)
{
    struct SlRaftMembers wanted;

    if (control->now_us < control->dial_due_us) {
        return;
    }
    control->dial_due_us = control->now_us + SL_CONTROL_DIAL_US;
    wanted_links(control, &wanted);
    control->dial_rounds++;
    for (uint32_t i = 0; i < wanted.count; i++) {
        const struct SlRaftMember *member = &wanted.items[i];

        if (is_ours_to_dial(control, member->node_id) &&
            SlControl_MemberLink(control, member->node_id) == NULL) {
            control->sink->type->dial_node(control->sink, member->node_id,
                                           &member->link);
        }
    }
    drop_former(control, &wanted);
}

void
SlControl_AskToJoin(struct SlControl *control)
{
    struct SlMessage message = {.kind = SL_MESSAGE_JOIN,
                                .join = {.link = control->options.link}};

    if (!control->options.self_forming || hears_leader(control) ||
        control->now_us < control->join_due_us) {
        return;
    }
    control->join_due_us = control->now_us + SL_CONTROL_JOIN_US;
    memcpy(message.join.name, control->options.core.name, SL_NAME_BYTES);
    for (uint32_t i = 0; i < control->link_count; i++) {
        const struct SlControlLink *link = &control->links[i];

        if ((link->peer.roles & SL_ROLE_CONTROL) &&
            link->peer.node_id != control->node_id) {
            control->sink->type->send_message(control->sink, link->link,
                                              &message);
        }
    }
}

void
SlControl_OnJoin(struct SlControl *control, const struct SlJoin *join)
{
    struct SlMessage message = {.kind = SL_MESSAGE_JOIN, .join = *join};
    struct SlControlLink *leader =
        SlControl_MemberLink(control, control->raft.leader);

    if (control->raft.state == SL_CONTROL_LEADER) {
        SlRaft_TakeIn(&control->raft, join);
    }
    else if (leader != NULL) {
        control->sink->type->send_message(control->sink, leader->link,
                                          &message);
    }
}

void
SlControl_ReleaseLinks(struct SlControl *control)
{
    for (uint32_t i = 0; i < control->link_count; i++) {
        free(control->links[i].announced);
    }
    free(control->links);
}
