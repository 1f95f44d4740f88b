/// Membership changes of self-forming sites, which need no operator.
///
/// The number of voters is kept odd: an even number tolerates no more failures
/// than the odd number below it. Further learners remain as standbys. To
/// replace a silent voter, the leader first removes it and then promotes a
/// standby. Each step changes one member, so that quorums overlap, and the
/// number of silent voters never grows through a change.

#include <string.h>

#include "raft.h"

enum {
    /// Seven voters tolerate three failures, one more than is required of the
    /// largest site.
    VOTERS_MAX = 7,
    /// Silence after which a member is replaced. It is longer than an
    /// election, so that a new leader has received messages from all running
    /// members.
    MEMBER_SILENT_US = 2000 * 1000,
};

/// Returns the send time of the last heartbeat round that the member
/// acknowledged; not earlier than the election of this leader.
static uint64_t
last_answer_us(const struct SlRaft *raft, uint32_t index)
{
    uint64_t acked_us = raft->progress[index].acked_us;

    return acked_us > raft->leading_since_us ? acked_us
                                             : raft->leading_since_us;
}

static bool
is_silent(const struct SlRaft *raft, uint32_t index)
{
    return raft->members.items[index].node_id != raft->options.node_id &&
           raft->now_us - last_answer_us(raft, index) >
               MEMBER_SILENT_US + SlRaft_ElectionUs(raft) -
                   raft->options.election_us;
}

struct member_counts {
    uint32_t voters;
    uint32_t standby_count;
    /// Index of a caught-up learner, and of a silent voter; the number of
    /// members when there is no such member.
    uint32_t learner_index;
    uint32_t silent_voter_index;
};

static struct member_counts
count_members(const struct SlRaft *raft)
{
    uint32_t count = raft->members.count;
    struct member_counts counts = {.learner_index = count,
                                   .silent_voter_index = count};

    for (uint32_t i = 0; i < count; i++) {
        if (raft->members.items[i].is_voter) {
            counts.voters++;
            if (is_silent(raft, i)) {
                counts.silent_voter_index = i;
            }
        }
        else if (SlRaft_IsCaughtUp(raft, i)) {
            counts.standby_count++;
            counts.learner_index = i;
        }
    }
    return counts;
}

static bool
promote_learner(struct SlRaft *raft, uint32_t index)
{
    const struct SlRaftMember member = raft->members.items[index];

    SlRaft_ProposeMember(raft, SL_VERB_MEMBER_PROMOTE, &member,
                         raft->progress[index].incarnation);
    return true;
}

static bool
propose_removal(struct SlRaft *raft, uint32_t index)
{
    const struct SlRaftMember member = raft->members.items[index];

    if (!SlRaft_WouldKeepMajority(raft, raft->now_us, &member)) {
        return false;
    }
    SlRaft_ProposeMember(raft, SL_VERB_MEMBER_REMOVE, &member, 0);
    return true;
}

bool
SlRaft_AdjustVoters(struct SlRaft *raft)
{
    struct member_counts counts = count_members(raft);
    bool is_even = counts.voters % 2 == 0;

    if (!SlRaft_AllIncarnationsLogged(raft) || counts.standby_count == 0) {
        return false;
    }
    if (is_even && counts.voters < VOTERS_MAX) {
        return promote_learner(raft, counts.learner_index);
    }
    if (counts.silent_voter_index < raft->members.count) {
        return propose_removal(raft, counts.silent_voter_index);
    }
    return counts.standby_count >= 2 && counts.voters + 2 <= VOTERS_MAX &&
           promote_learner(raft, counts.learner_index);
}

/// Proposes to remove a silent learner, to free an entry in the table of
/// members.
static bool
remove_silent_learner(struct SlRaft *raft)
{
    for (uint32_t i = 0; i < raft->members.count; i++) {
        if (!raft->members.items[i].is_voter && is_silent(raft, i)) {
            return propose_removal(raft, i);
        }
    }
    return false;
}

void
SlRaft_AddLearner(struct SlRaft *raft, const struct SlJoin *join)
{
    struct SlRaftMember member = {.node_id = SlNode_Id(join->name),
                                  .link_address = join->link};

    if (!raft->options.self_forming || !SlRaft_IsReady(raft) ||
        !SlRaft_AllIncarnationsLogged(raft) ||
        raft->members_index > raft->commit_index ||
        SlRaft_FindMember(raft, member.node_id) != NULL) {
        return;
    }
    memcpy(member.name, join->name, sizeof(member.name));
    if (raft->members.count == SL_MEMBERS_CONTROL_MAX) {
        (void)remove_silent_learner(raft);
        return;
    }
    SlRaft_ProposeMember(raft, SL_VERB_MEMBER_ADD, &member, 0);
}
