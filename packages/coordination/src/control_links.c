#include <stdlib.h>
#include <string.h>

#include "control_core.h"

enum {
    LINKS_INITIAL_CAPACITY = 16,
};

/// Returns the index of the first link whose number is at least the given
/// number.
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
    uint32_t index = lower_bound(control, number);

    if (index == control->link_count || control->links[index].link != number) {
        return NULL;
    }
    return &control->links[index];
}

struct SlControlLink *
SlControl_FindMemberLink(struct SlControl *control, uint64_t node_id)
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

const struct SlPeer *
SlControl_FindPeer(const struct SlControl *control, uint64_t node_id,
                   uint64_t *link)
{
    for (uint32_t i = control->link_count; i > 0; i--) {
        if (control->links[i - 1].peer.node_id == node_id) {
            *link = control->links[i - 1].link;
            return &control->links[i - 1].peer;
        }
    }
    return NULL;
}

static bool
reserve_link(struct SlControl *control)
{
    uint32_t capacity = control->link_capacity ? control->link_capacity * 2
                                               : LINKS_INITIAL_CAPACITY;
    struct SlControlLink *links;

    if (control->link_count < control->link_capacity) {
        return true;
    }
    links = realloc(control->links, capacity * sizeof(*links));
    if (links == NULL) {
        return false;
    }
    control->links = links;
    control->link_capacity = capacity;
    return true;
}

/// Makes the next check report all linked processes to the leader again, after
/// a new link between two control instances. Reports sent on an earlier link
/// may be lost, and its end may have made the leader consider the processes
/// lost.
static void
reset_link_reports(struct SlControl *control)
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
    *link = (struct SlControlLink){.link = input->link,
                                   .peer = *input->peer,
                                   .last_received_us = input->now_us};
    if ((link->peer.roles & SL_ROLE_CONTROL) &&
        link->peer.node_id != control->node_id) {
        SlRaft_LinkUp(&control->raft, input->now_us, link->peer.node_id);
        reset_link_reports(control);
    }
}

void
SlControl_LinkDown(struct SlControl *control, uint64_t number)
{
    struct SlControlLink *link = SlControl_FindLink(control, number);
    struct SlControlLink closed_link;

    if (link == NULL) {
        return;
    }
    closed_link = *link;
    control->link_count--;
    memmove(link, link + 1,
            (size_t)((uint8_t *)&control->links[control->link_count] -
                     (uint8_t *)link));
    SlControl_ObserveLinkLoss(control, &closed_link);
    free(closed_link.announced_spec);
}

/// Drops links to instances that are no longer dial targets.
static void
drop_former_members(struct SlControl *control,
                    const struct SlRaftMembers *members)
{
    for (uint32_t i = 0; i < control->dialled_members.count; i++) {
        uint64_t node_id = control->dialled_members.items[i].node_id;
        bool is_target = false;

        for (uint32_t j = 0; j < members->count; j++) {
            is_target = is_target || members->items[j].node_id == node_id;
        }
        if (!is_target) {
            control->sink->type->drop_node(control->sink, node_id);
        }
    }
    control->dialled_members = *members;
}

bool
SlControl_HasLeaderContact(const struct SlControl *control)
{
    /* A learner keeps the id of its last leader, so the time of the last
       message is checked too. */
    const struct SlRaft *raft = &control->raft;

    return raft->state == SL_CONTROL_LEADER ||
           (raft->leader_id != 0 &&
            control->now_us - raft->last_leader_message_us <
                SL_CONTROL_LEADER_CONTACT_ELECTIONS *
                    raft->options.election_us);
}

/// Finds the link address of a control instance among the members, or the
/// instances in the settings.
static const struct SlRaftMember *
find_known_instance(const struct SlControl *control, uint64_t node_id)
{
    const struct SlRaftMembers *founding_members =
        &control->raft.options.first_members;
    const struct SlRaftMember *member =
        SlRaft_FindMember(&control->raft, node_id);

    for (uint32_t i = 0; member == NULL && i < founding_members->count; i++) {
        if (founding_members->items[i].node_id == node_id) {
            member = &founding_members->items[i];
        }
    }
    return member;
}

bool
SlControl_FindLinkedInstance(const struct SlControl *control, uint64_t turn,
                             struct SlControlMember *instance)
{
    for (uint64_t i = 0; i < control->link_count; i++) {
        const struct SlPeer *peer =
            &control->links[(i + turn) % control->link_count].peer;
        const struct SlRaftMember *known =
            find_known_instance(control, peer->node_id);

        if ((peer->roles & SL_ROLE_CONTROL) && known != NULL &&
            peer->node_id != control->node_id) {
            *instance = (struct SlControlMember){
                .node_id = peer->node_id, .link_address = known->link_address};
            memcpy(instance->name, peer->name, sizeof(instance->name));
            return true;
        }
    }
    return false;
}

/// True when this instance should dial the other one. Two instances share one
/// link, which the instance with the lower node id dials. The other instance
/// dials only in some rounds, in case the first instance cannot connect, or
/// while it knows no leader, since the others may not know it yet.
static bool
should_dial(const struct SlControl *control, uint64_t node_id)
{
    if (node_id == control->node_id) {
        return false;
    }
    return control->node_id < node_id ||
           (control->options.self_forming &&
            !SlControl_HasLeaderContact(control)) ||
           control->dial_rounds % SL_CONTROL_FALLBACK_DIAL_ROUNDS == 0;
}

/// Selects the instances to keep links to: the members and, while there are no
/// members or no leader, also the instances listed in the settings.
static void
select_dial_targets(const struct SlControl *control,
                    struct SlRaftMembers *targets)
{
    const struct SlRaftMembers *founding_members =
        &control->raft.options.first_members;
    bool is_leaderless =
        control->options.self_forming && !SlControl_HasLeaderContact(control);

    *targets = control->raft.members;
    if (targets->count > 0 && !is_leaderless) {
        return;
    }
    for (uint32_t i = 0; i < founding_members->count &&
                         targets->count < SL_MEMBERS_CONTROL_MAX;
         i++) {
        if (SlRaft_FindMember(&control->raft,
                              founding_members->items[i].node_id) == NULL) {
            targets->items[targets->count++] = founding_members->items[i];
        }
    }
}

void
SlControl_DialMembers(struct SlControl *control)
{
    struct SlRaftMembers targets;

    if (control->now_us < control->dial_due_us) {
        return;
    }
    control->dial_due_us = control->now_us + SL_CONTROL_DIAL_INTERVAL_US;
    select_dial_targets(control, &targets);
    control->dial_rounds++;
    for (uint32_t i = 0; i < targets.count; i++) {
        const struct SlRaftMember *member = &targets.items[i];

        if (should_dial(control, member->node_id) &&
            SlControl_FindMemberLink(control, member->node_id) == NULL) {
            control->sink->type->dial_node(control->sink, member->node_id,
                                           &member->link_address);
        }
    }
    drop_former_members(control, &targets);
}

/// True for another control instance, and for a process in the settings that
/// is none: it passes the request on to the instance that it uses.
static bool
may_pass_join(const struct SlControl *control, const struct SlPeer *peer)
{
    return peer->node_id != control->node_id &&
           ((peer->roles & SL_ROLE_CONTROL) ||
            find_known_instance(control, peer->node_id) != NULL);
}

void
SlControl_RequestJoin(struct SlControl *control)
{
    struct SlMessage message = {.kind = SL_MESSAGE_JOIN,
                                .join = {.link = control->options.link}};

    if (!control->options.self_forming ||
        SlControl_HasLeaderContact(control) ||
        control->now_us < control->join_due_us) {
        return;
    }
    control->join_due_us = control->now_us + SL_CONTROL_JOIN_INTERVAL_US;
    memcpy(message.join.name, control->options.core.name, SL_NAME_BYTES);
    for (uint32_t i = 0; i < control->link_count; i++) {
        const struct SlControlLink *link = &control->links[i];

        if (may_pass_join(control, &link->peer)) {
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
        SlControl_FindMemberLink(control, control->raft.leader_id);

    if (control->raft.state == SL_CONTROL_LEADER) {
        SlRaft_AddLearner(&control->raft, join);
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
        free(control->links[i].announced_spec);
    }
    free(control->links);
}
