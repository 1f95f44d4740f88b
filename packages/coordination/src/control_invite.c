/// Invitations after the loss of a whole site.
///
/// Entries and agents hold no state: after a restart they know only the
/// control instances in their settings, which may be the last to start. An
/// instance that recovered a configuration knows all of them, so while it
/// hears no leader it dials them, and those without a configuration take it
/// from there. The instances share the work: each begins with its own share of
/// the processes and adds the shares of two others, which may not have started
/// yet.

#include "control_core.h"

enum {
    /// Number of instances that invite the same process. Each invitation costs
    /// both sides a handshake.
    SHARES_MAX = 3,
    /// Time between two shares; several round trips and handshakes.
    SHARE_INTERVAL_US = 50 * 1000,
    /// Time between checks of links that invited processes still use.
    CHECK_INTERVAL_US = 1000 * 1000,
    /// Processes that start later than this find an instance by themselves.
    INVITE_DURATION_US = 3000 * 1000,
    /// Time for an invited process to subscribe. Processes that have a
    /// configuration do not.
    SUBSCRIBE_TIMEOUT_US = 500 * 1000,
};

void
SlControl_InitInvitations(struct SlControl *control)
{
    struct SlInvitations *invitations = &control->invitations;

    if (!control->options.self_forming ||
        SlConfig_Version(control->config).index == 0) {
        return;
    }
    invitations->until_us = control->now_us + INVITE_DURATION_US;
    invitations->due_us = control->now_us;
}

/// Number of steps after which this instance invites a process: the distance
/// from its place among the members to the place that the process belongs to.
static uint32_t
share_of_process(const struct SlControl *control, uint64_t node_id)
{
    const struct SlRaftMembers *members = &control->raft.members;
    uint32_t own = 0;

    for (uint32_t i = 0; i < members->count; i++) {
        if (members->items[i].node_id == control->node_id) {
            own = i;
        }
    }
    return (uint32_t)((node_id % members->count + members->count - own) %
                      members->count);
}

static const struct SlControlLink *
find_process_link(const struct SlControl *control, uint64_t node_id)
{
    for (uint32_t i = control->link_count; i > 0; i--) {
        if (control->links[i - 1].peer.node_id == node_id) {
            return &control->links[i - 1];
        }
    }
    return NULL;
}

static bool
should_invite(const struct SlControl *control, const struct SlNodeSpec *node,
              uint32_t share)
{
    return !(node->roles & SL_ROLE_CONTROL) &&
           (node->roles & (SL_ROLE_ENTRY | SL_ROLE_AGENT)) &&
           !node->unreachable &&
           share_of_process(control, node->node_id) == share &&
           find_process_link(control, node->node_id) == NULL;
}

static void
invite_share(struct SlControl *control, uint32_t share)
{
    struct SlInvitations *invitations = &control->invitations;
    uint32_t nodes = SlConfig_ObjectCount(control->config, SL_KIND_NODE);
    uint32_t first = invitations->count;

    for (uint32_t i = 0;
         i < nodes && invitations->count < SL_CONTROL_INVITATIONS_MAX; i++) {
        const struct SlNodeSpec *node =
            &SlConfig_ObjectAt(control->config, SL_KIND_NODE, i)->node;

        if (should_invite(control, node, share)) {
            invitations->items[invitations->count++] =
                (struct SlInvitation){.node_id = node->node_id};
            control->sink->type->dial_node(control->sink, node->node_id,
                                           &node->link);
        }
    }
    invitations->sent += invitations->count - first;
    SlControl_EmitEvent(control,
                        &(struct SlEvent){.number = SL_EVENT_INVITED,
                                          .reason = "no_leader",
                                          .value = invitations->count - first,
                                          .limit = share});
}

/// True when the process takes its configuration over a link to this instance.
/// Both may have dialled each other, so that there are two links.
static bool
is_subscribed(const struct SlControl *control, uint64_t node_id)
{
    for (uint32_t i = 0; i < control->link_count; i++) {
        if (control->links[i].subscribed &&
            control->links[i].peer.node_id == node_id) {
            return true;
        }
    }
    return false;
}

/// True while the link of an invited process is to be kept or awaited.
static bool
is_invitation_open(const struct SlControl *control,
                   struct SlInvitation *invitation)
{
    const struct SlControlLink *link =
        find_process_link(control, invitation->node_id);

    if (link == NULL) {
        return invitation->linked_us == 0 &&
               control->now_us < control->invitations.until_us;
    }
    if (invitation->linked_us == 0) {
        invitation->linked_us = control->now_us;
    }
    return is_subscribed(control, invitation->node_id) ||
           control->now_us - invitation->linked_us < SUBSCRIBE_TIMEOUT_US;
}

/// Drops the links that invited processes do not use or no longer have.
static void
drop_closed_invitations(struct SlControl *control)
{
    struct SlInvitations *invitations = &control->invitations;

    for (uint32_t i = invitations->count; i > 0; i--) {
        struct SlInvitation *invitation = &invitations->items[i - 1];

        if (!is_invitation_open(control, invitation)) {
            control->sink->type->drop_node(control->sink, invitation->node_id);
            *invitation = invitations->items[--invitations->count];
        }
    }
}

void
SlControl_InviteProcesses(struct SlControl *control)
{
    struct SlInvitations *invitations = &control->invitations;
    uint32_t shares = control->raft.members.count < SHARES_MAX
                          ? control->raft.members.count
                          : SHARES_MAX;

    if (invitations->until_us == 0 || control->now_us < invitations->due_us) {
        return;
    }
    invitations->due_us =
        control->now_us + (control->now_us < invitations->until_us
                               ? SHARE_INTERVAL_US
                               : CHECK_INTERVAL_US);
    if (SlControl_HasLeaderContact(control)) {
        invitations->next_share = shares;
    }
    if (invitations->next_share < shares) {
        invite_share(control, invitations->next_share++);
    }
    drop_closed_invitations(control);
    if (control->now_us >= invitations->until_us && invitations->count == 0) {
        invitations->until_us = 0;
    }
}
