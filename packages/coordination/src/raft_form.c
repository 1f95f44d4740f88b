/// Membership without an operator.
///
/// Voters are an odd number: an even one needs one more of them for the same
/// number of losses. Learners beyond that stand by. A voter that is silent
/// while a learner stands by is removed first and the learner promoted after:
/// each step is one change of one member, so that quorums overlap, and the
/// number of voters never exceeds those that answer by more than before.

#include <string.h>

#include "raft.h"

enum {
    /// Bears three losses, one more than the largest site has to.
    VOTERS_MAX = 7,
    /// Silence after which a voter is replaced: longer than an election, so
    /// that a new leader has heard from everybody who is there.
    SILENT_US = 2000 * 1000,
};

/// When a member last answered, at least since this instance leads.
static uint64_t
answered_at(const struct SlRaft *raft, uint32_t at)
{
    uint64_t acked_us = raft->progress[at].acked_us;

    return acked_us > raft->leading_since_us ? acked_us
                                             : raft->leading_since_us;
}

static bool
is_silent(const struct SlRaft *raft, uint32_t at)
{
    return raft->members.items[at].node_id != raft->options.node_id &&
           raft->now_us - answered_at(raft, at) > SILENT_US;
}

struct formation {
    uint32_t voters;
    uint32_t standing_by;
    /// Any one of them; the count of members when there is none.
    uint32_t learner;
    uint32_t silent_voter;
};

static struct formation
look(const struct SlRaft *raft)
{
    uint32_t count = raft->members.count;
    struct formation seen = {.learner = count, .silent_voter = count};

    for (uint32_t i = 0; i < count; i++) {
        if (raft->members.items[i].voter) {
            seen.voters++;
            if (is_silent(raft, i)) {
                seen.silent_voter = i;
            }
        }
        else if (SlRaft_IsCaughtUp(raft, i)) {
            seen.standing_by++;
            seen.learner = i;
        }
    }
    return seen;
}

static bool
promote(struct SlRaft *raft, uint32_t at)
{
    const struct SlRaftMember member = raft->members.items[at];

    SlRaft_ProposeMember(raft, SL_VERB_MEMBER_PROMOTE, &member,
                         raft->progress[at].incarnation);
    return true;
}

static bool
remove_member(struct SlRaft *raft, uint32_t at)
{
    const struct SlRaftMember member = raft->members.items[at];

    if (!SlRaft_WouldKeepMajority(raft, raft->now_us, &member)) {
        return false;
    }
    SlRaft_ProposeMember(raft, SL_VERB_MEMBER_REMOVE, &member, 0);
    return true;
}

bool
SlRaft_FormMembers(struct SlRaft *raft)
{
    struct formation seen = look(raft);
    bool even = seen.voters % 2 == 0;

    if (!SlRaft_AllBound(raft) || seen.standing_by == 0) {
        return false;
    }
    if (even && seen.voters < VOTERS_MAX) {
        return promote(raft, seen.learner);
    }
    if (seen.silent_voter < raft->members.count) {
        return remove_member(raft, seen.silent_voter);
    }
    return seen.standing_by >= 2 && seen.voters + 2 <= VOTERS_MAX &&
           promote(raft, seen.learner);
}

/// Makes room among the members: a learner that is silent goes.
static bool
drop_silent_learner(struct SlRaft *raft)
{
    for (uint32_t i = 0; i < raft->members.count; i++) {
        if (!raft->members.items[i].voter && is_silent(raft, i)) {
            return remove_member(raft, i);
        }
    }
    return false;
}

void
SlRaft_TakeIn(struct SlRaft *raft, const struct SlJoin *join)
{
    struct SlRaftMember member = {.node_id = SlNode_Id(join->name),
                                  .link = join->link};

    if (!raft->options.self_forming || !SlRaft_Ready(raft) ||
        !SlRaft_AllBound(raft) || raft->members_index > raft->commit ||
        SlRaft_Member(raft, member.node_id) != NULL) {
        return;
    }
    memcpy(member.name, join->name, sizeof(member.name));
    if (raft->members.count == SL_MEMBERS_CONTROL_MAX) {
        (void)drop_silent_learner(raft);
        return;
    }
    SlRaft_ProposeMember(raft, SL_VERB_MEMBER_ADD, &member, 0);
}
