#include <string.h>

#include "raft.h"

static struct SlRaftMember *
find_member(struct SlRaftMembers *members, uint64_t node_id)
{
    for (uint32_t i = 0; i < members->count; i++) {
        if (members->items[i].node_id == node_id) {
            return &members->items[i];
        }
    }
    return NULL;
}

const struct SlRaftMember *
SlRaft_FindMember(const struct SlRaft *raft, uint64_t node_id)
{
    for (uint32_t i = 0; i < raft->members.count; i++) {
        if (raft->members.items[i].node_id == node_id) {
            return &raft->members.items[i];
        }
    }
    return NULL;
}

struct SlRaftProgress *
SlRaft_FindProgress(struct SlRaft *raft, uint64_t node_id)
{
    for (uint32_t i = 0; i < raft->members.count; i++) {
        if (raft->members.items[i].node_id == node_id) {
            return &raft->progress[i];
        }
    }
    return NULL;
}

uint32_t
SlRaft_VoterCount(const struct SlRaft *raft)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < raft->members.count; i++) {
        count += raft->members.items[i].is_voter;
    }
    return count;
}

bool
SlRaft_IncarnationMatches(const struct SlRaftMember *member,
                          uint64_t incarnation)
{
    return member->incarnation == 0 || member->incarnation == incarnation;
}

bool
SlRaft_IsElectable(const struct SlRaft *raft)
{
    const struct SlRaftMember *self =
        SlRaft_FindMember(raft, raft->options.node_id);

    return !raft->storage_failed && raft->hard_state.caught_up &&
           self != NULL && self->is_voter &&
           SlRaft_IncarnationMatches(self, raft->hard_state.incarnation);
}

bool
SlRaft_AllIncarnationsLogged(const struct SlRaft *raft)
{
    for (uint32_t i = 0; i < raft->members.count; i++) {
        if (raft->members.items[i].is_voter &&
            raft->members.items[i].incarnation == 0) {
            return false;
        }
    }
    return true;
}

/// Adds a learner, or makes a present member a learner again. Returns false
/// when the table is full.
static bool
add_member(struct SlRaftMembers *members, const struct SlObject *object)
{
    struct SlRaftMember *member = find_member(members, object->node.node_id);

    if (member == NULL) {
        if (members->count == SL_MEMBERS_CONTROL_MAX) {
            return false;
        }
        member = &members->items[members->count++];
    }
    *member = (struct SlRaftMember){.node_id = object->node.node_id,
                                    .link_address = object->node.link};
    memcpy(member->name, object->name, sizeof(member->name));
    return true;
}

static bool
remove_member(struct SlRaftMembers *members, uint64_t node_id)
{
    struct SlRaftMember *member = find_member(members, node_id);

    if (member == NULL) {
        return false;
    }
    members->count--;
    memmove(member, member + 1,
            (size_t)((uint8_t *)&members->items[members->count] -
                     (uint8_t *)member));
    return true;
}

bool
SlRaftMembers_Apply(struct SlRaftMembers *members,
                    const struct SlChange *change)
{
    const struct SlNodeSpec *node = &change->object.node;
    struct SlRaftMember *member;

    switch (change->verb) {
    case SL_VERB_MEMBER_ADD:
        return add_member(members, &change->object);
    case SL_VERB_MEMBER_PROMOTE:
        member = find_member(members, node->node_id);
        if (member == NULL) {
            return false;
        }
        member->is_voter = true;
        member->incarnation = node->boot;
        return true;
    case SL_VERB_MEMBER_REMOVE:
        return remove_member(members, node->node_id);
    default:
        return false;
    }
}

/// Replication state of a new member, which starts at the end of the log.
static struct SlRaftProgress
new_progress(const struct SlRaft *raft, uint64_t node_id)
{
    return (struct SlRaftProgress){.node_id = node_id,
                                   .next_index = SlRaft_LastIndex(raft) + 1,
                                   .last_received_us = raft->now_us,
                                   .append_due = true};
}

void
SlRaft_OnMembersChanged(struct SlRaft *raft)
{
    struct SlRaftProgress slots[SL_MEMBERS_CONTROL_MAX] = {{.node_id = 0}};

    for (uint32_t i = 0; i < raft->members.count; i++) {
        uint64_t node_id = raft->members.items[i].node_id;

        slots[i] = new_progress(raft, node_id);
        for (uint32_t j = 0; j < SL_MEMBERS_CONTROL_MAX; j++) {
            if (raft->progress[j].node_id == node_id) {
                slots[i] = raft->progress[j];
            }
        }
    }
    memcpy(raft->progress, slots, sizeof(slots));
    raft->options.host_type->emit_event(
        raft->options.host, SL_EVENT_MEMBER, NULL, "membership",
        raft->members.count, SlRaft_VoterCount(raft));
}

/// Applies the membership changes of the records after the snapshot, and
/// collects the latest record time and logged commit index.
static enum SlStatus
replay_members(struct SlRaft *raft)
{
    struct SlStorage *storage = raft->options.storage;
    uint64_t last_index = SlRaft_LastIndex(raft);
    struct SlLogRecord record;
    struct SlChange change;

    for (uint64_t i = raft->snapshot_last.index + 1; i <= last_index; i++) {
        if (storage->type->read_record(storage, i, &record) != SL_OK ||
            SlChange_Decode(record.data, record.data_bytes, &change) !=
                SL_OK) {
            return SL_DAMAGED;
        }
        if (change.time_us > raft->last_time_us) {
            raft->last_time_us = change.time_us;
        }
        if (change.client == 0 &&
            change.base.index > raft->logged_commit_index) {
            raft->logged_commit_index = change.base.index;
        }
        if (SlRaftMembers_Apply(&raft->members, &change)) {
            raft->members_index = i;
        }
        SlChange_Release(&change);
    }
    return SL_OK;
}

enum SlStatus
SlRaft_RebuildMembers(struct SlRaft *raft)
{
    enum SlStatus status;

    raft->members = raft->base_members;
    raft->members_index = 0;
    status = replay_members(raft);
    SlRaft_OnMembersChanged(raft);
    return status;
}

void
SlRaft_ProposeMember(struct SlRaft *raft, enum SlVerb verb,
                     const struct SlRaftMember *member, uint64_t incarnation)
{
    struct SlChange change = {
        .verb = verb,
        .object = {.kind = SL_KIND_NODE,
                   .node = {.node_id = member->node_id,
                            .link = member->link_address,
                            .boot = incarnation}},
    };
    uint64_t index;

    memcpy(change.object.name, member->name, sizeof(change.object.name));
    SlRaft_ProposeChange(raft, &change, 0, &index);
}

/// Returns the number of voters, except the excluded one, that acknowledged
/// within the election timeout. This instance always counts.
static uint32_t
count_live_voters(const struct SlRaft *raft, uint64_t now_us,
                  uint64_t excluded_id)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < raft->members.count; i++) {
        const struct SlRaftMember *member = &raft->members.items[i];
        bool self = member->node_id == raft->options.node_id;
        bool is_live =
            now_us - raft->progress[i].acked_us <= SlRaft_ElectionUs(raft) &&
            raft->progress[i].acked_us != 0;

        if (member->is_voter && member->node_id != excluded_id &&
            (self || is_live)) {
            count++;
        }
    }
    return count;
}

bool
SlRaft_WouldKeepMajority(const struct SlRaft *raft, uint64_t now_us,
                         const struct SlRaftMember *member)
{
    uint32_t voters = SlRaft_VoterCount(raft) - member->is_voter;

    return voters > 0 &&
           count_live_voters(raft, now_us, member->node_id) >= voters / 2 + 1;
}

bool
SlRaft_IsCaughtUp(const struct SlRaft *raft, uint32_t index)
{
    const struct SlRaftProgress *progress = &raft->progress[index];

    return !raft->members.items[index].is_voter && !progress->is_installing &&
           progress->incarnation != 0 && progress->acked_us != 0 &&
           raft->now_us - progress->acked_us <= SlRaft_ElectionUs(raft) &&
           progress->match_index >= raft->commit_index;
}

/// Proposes the membership change that one member needs: logging its
/// incarnation, demotion after the loss of its data folder, or promotion.
/// Returns true when a change was proposed.
static bool
repair_member(struct SlRaft *raft, uint32_t index)
{
    const struct SlRaftMember member = raft->members.items[index];
    const struct SlRaftProgress *progress = &raft->progress[index];
    bool self = member.node_id == raft->options.node_id;
    uint64_t incarnation =
        self ? raft->hard_state.incarnation : progress->incarnation;

    if (incarnation == 0) {
        return false;
    }
    if (member.is_voter && member.incarnation == 0) {
        SlRaft_ProposeMember(raft, SL_VERB_MEMBER_PROMOTE, &member,
                             incarnation);
        return true;
    }
    if (member.is_voter && member.incarnation != incarnation &&
        SlRaft_WouldKeepMajority(raft, raft->now_us, &member)) {
        SlRaft_ProposeMember(raft, SL_VERB_MEMBER_ADD, &member, 0);
        return true;
    }
    if (!raft->options.self_forming && SlRaft_IsCaughtUp(raft, index)) {
        SlRaft_ProposeMember(raft, SL_VERB_MEMBER_PROMOTE, &member,
                             incarnation);
        return true;
    }
    return false;
}

void
SlRaft_RepairMembers(struct SlRaft *raft)
{
    if (raft->members_index > raft->commit_index || !SlRaft_IsReady(raft) ||
        raft->now_us < raft->repair_due_us) {
        return;
    }
    for (uint32_t i = 0; i < raft->members.count; i++) {
        if (repair_member(raft, i)) {
            raft->repair_due_us = raft->now_us + raft->options.heartbeat_us;
            return;
        }
    }
    if (raft->options.self_forming && SlRaft_AdjustVoters(raft)) {
        raft->repair_due_us = raft->now_us + raft->options.heartbeat_us;
    }
}

enum SlStatus
SlRaft_CheckMemberChange(const struct SlRaft *raft, uint64_t now_us,
                         const struct SlChange *change, const char **reason)
{
    const struct SlRaftMember *member =
        SlRaft_FindMember(raft, change->object.node.node_id);

    *reason = "an earlier membership change is not committed yet";
    if (raft->members_index > raft->commit_index || !SlRaft_IsReady(raft)) {
        return SL_NO_QUORUM;
    }
    if (change->object.node.node_id != SlNode_Id(change->object.name)) {
        *reason = "the node id does not match the name";
        return SL_INVALID;
    }
    if (change->verb == SL_VERB_MEMBER_ADD) {
        *reason = member ? "the instance is already a member"
                         : "the maximum number of members is reached";
        return member || raft->members.count == SL_MEMBERS_CONTROL_MAX
                   ? SL_INVALID
                   : SL_OK;
    }
    if (change->verb == SL_VERB_MEMBER_PROMOTE) {
        *reason =
            "learners are promoted automatically once they have caught up";
        return SL_INVALID;
    }
    *reason = "the instance is not a member";
    if (member == NULL) {
        return SL_NOT_FOUND;
    }
    *reason = "too few of the remaining members are available";
    return SlRaft_WouldKeepMajority(raft, now_us, member) ? SL_OK
                                                          : SL_NO_QUORUM;
}
