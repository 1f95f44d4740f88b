#include <string.h>

#include "raft.h"

static void
send_to_voters(struct SlRaft *raft, const struct SlMessage *message)
{
    for (uint32_t i = 0; i < raft->members.count; i++) {
        const struct SlRaftMember *member = &raft->members.items[i];

        if (member->voter && member->node_id != raft->options.node_id) {
            raft->options.host_type->send(raft->options.host, member->node_id,
                                          message);
        }
    }
}

/// A step of a 64-bit linear congruential generator (Knuth, TAOCP 3.3.4).
uint64_t
SlRaft_Random(struct SlRaft *raft)
{
    raft->random = raft->random * 6364136223846793005u + 1442695040888963407u;
    return raft->random >> 33;
}

void
SlRaft_ResetElection(struct SlRaft *raft)
{
    uint64_t election_us = raft->options.election_us;
    /* Where all must agree, two candidates at once always fail. */
    uint64_t spread_us = !SlRaft_AllBound(raft)
                             ? election_us * raft->members.count
                             : election_us;

    raft->election_due_us =
        raft->now_us + election_us + SlRaft_Random(raft) % spread_us;
}

void
SlRaft_BecomeFollower(struct SlRaft *raft, uint64_t term, uint64_t leader,
                      const char *reason)
{
    bool led = raft->state == SL_CONTROL_LEADER;
    bool new_term = term > raft->hard.term;

    raft->state =
        SlRaft_MayLead(raft) ? SL_CONTROL_FOLLOWER : SL_CONTROL_LEARNER;
    raft->pre_voting = false;
    raft->leader = leader;
    if (new_term) {
        raft->hard.term = term;
        raft->hard.voted_for = 0;
        raft->fresh_until_us = 0;
        raft->fresh_offer_us = 0;
        SlRaft_SaveHardState(raft);
    }
    if (led) {
        raft->ack_due = false;
        raft->options.host_type->event(raft->options.host,
                                       SL_EVENT_STEPPED_DOWN, NULL, reason,
                                       (int64_t)raft->hard.term, 0);
        raft->options.host_type->refused(raft->options.host, 0, SL_NOT_LEADER);
        SlRaft_ResetElection(raft);
    }
}

static void
clear_grants(struct SlRaft *raft)
{
    for (uint32_t i = 0; i < SL_MEMBERS_CONTROL_MAX; i++) {
        raft->progress[i].granted = false;
    }
}

/// What the candidate has: votes, and those of members that certainly still
/// hold what they acknowledged.
struct tally {
    uint32_t voters;
    uint32_t votes;
    uint32_t sure;
};

static struct tally
count_votes(const struct SlRaft *raft)
{
    struct tally tally = {.voters = 0};

    for (uint32_t i = 0; i < raft->members.count; i++) {
        const struct SlRaftMember *member = &raft->members.items[i];
        bool self = member->node_id == raft->options.node_id;

        if (!member->voter) {
            continue;
        }
        tally.voters++;
        if (self || raft->progress[i].granted) {
            tally.votes++;
            tally.sure += member->incarnation != 0;
        }
    }
    return tally;
}

/// A first member whose incarnation is not logged yet may have lost its
/// folder unnoticed: it counts only when all vote alike.
static bool
wins(const struct tally *tally)
{
    return tally->sure >= tally->voters / 2 + 1 ||
           tally->votes == tally->voters;
}

static void
ask_for_votes(struct SlRaft *raft)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_VOTE,
        .vote = {.term = raft->hard.term + raft->pre_voting,
                 .pre_vote = raft->pre_voting,
                 .last = SlRaft_Last(raft)},
    };

    send_to_voters(raft, &message);
}

static void
start_election(struct SlRaft *raft)
{
    struct tally tally;

    raft->pre_voting = false;
    raft->hard.term++;
    raft->hard.voted_for = raft->options.node_id;
    clear_grants(raft);
    if (SlRaft_SaveHardState(raft) != SL_OK) {
        SlRaft_BecomeFollower(raft, raft->hard.term, 0, "storage_failed");
        return;
    }
    tally = count_votes(raft);
    if (wins(&tally)) {
        SlRaft_BecomeLeader(raft, tally.votes);
        return;
    }
    ask_for_votes(raft);
}

static void
start_pre_vote(struct SlRaft *raft)
{
    struct tally tally;

    raft->state = SL_CONTROL_CANDIDATE;
    raft->pre_voting = true;
    raft->leader = 0;
    clear_grants(raft);
    SlRaft_ResetElection(raft);
    tally = count_votes(raft);
    if (wins(&tally)) {
        start_election(raft);
        return;
    }
    ask_for_votes(raft);
}

void
SlRaft_ElectionTick(struct SlRaft *raft)
{
    bool alone = raft->members.count == 1;

    if (!SlRaft_MayLead(raft)) {
        raft->state = SL_CONTROL_LEARNER;
        return;
    }
    if (raft->state == SL_CONTROL_LEARNER) {
        raft->state = SL_CONTROL_FOLLOWER;
    }
    if (!raft->stopping && (raft->now_us >= raft->election_due_us || alone)) {
        start_pre_vote(raft);
    }
}

static bool
is_up_to_date(const struct SlRaft *raft, struct SlVersion last)
{
    return SlVersion_Compare(last, SlRaft_Last(raft)) >= 0;
}

/// True while a leader may hold a lease that this instance granted.
static bool
leader_is_near(const struct SlRaft *raft)
{
    if (raft->state == SL_CONTROL_LEADER) {
        return true;
    }
    return raft->now_us - raft->leader_heard_us < raft->options.election_us;
}

static bool
may_grant(const struct SlRaft *raft, uint64_t from, const struct SlVote *vote)
{
    /* The members in this log may be old: who asks is not judged by them. */
    if (raft->broken || !raft->hard.caught_up || leader_is_near(raft) ||
        !is_up_to_date(raft, vote->last)) {
        return false;
    }
    if (vote->pre_vote) {
        return vote->term > raft->hard.term;
    }
    return vote->term == raft->hard.term &&
           (raft->hard.voted_for == 0 || raft->hard.voted_for == from);
}

/// Makes the vote durable before it is given.
static bool
cast_vote(struct SlRaft *raft, uint64_t from)
{
    uint64_t before = raft->hard.voted_for;

    if (before == from) {
        return true;
    }
    raft->hard.voted_for = from;
    if (SlRaft_SaveHardState(raft) != SL_OK) {
        raft->hard.voted_for = before;
        return false;
    }
    SlRaft_ResetElection(raft);
    return true;
}

void
SlRaft_OnVote(struct SlRaft *raft, uint64_t from, const struct SlVote *vote)
{
    struct SlMessage answer = {
        .kind = SL_MESSAGE_VOTED,
        .voted = {.pre_vote = vote->pre_vote,
                  .incarnation = raft->hard.incarnation}};
    bool granted;

    /* A request that the lease refuses does not raise the term either. */
    if (!vote->pre_vote && vote->term > raft->hard.term &&
        !leader_is_near(raft)) {
        SlRaft_BecomeFollower(raft, vote->term, 0, "newer_term");
    }
    granted = may_grant(raft, from, vote);
    if (granted && !vote->pre_vote) {
        granted = cast_vote(raft, from);
    }
    answer.voted.granted = granted;
    answer.voted.term = granted ? vote->term : raft->hard.term;
    if (!vote->pre_vote) {
        raft->options.host_type->event(
            raft->options.host, SL_EVENT_VOTE,
            SlRaft_Member(raft, from) ? SlRaft_Member(raft, from)->name : NULL,
            granted ? "granted" : "refused", (int64_t)vote->term, granted);
    }
    raft->options.host_type->send(raft->options.host, from, &answer);
}

void
SlRaft_OnVoted(struct SlRaft *raft, uint64_t from, const struct SlVoted *voted)
{
    const struct SlRaftMember *member = SlRaft_Member(raft, from);
    struct SlRaftProgress *progress = SlRaft_Progress(raft, from);
    uint64_t asked = raft->hard.term + raft->pre_voting;
    struct tally tally;

    if (voted->term > raft->hard.term && !voted->granted) {
        SlRaft_BecomeFollower(raft, voted->term, 0, "newer_term");
        return;
    }
    if (raft->state != SL_CONTROL_CANDIDATE || member == NULL ||
        !voted->granted || voted->pre_vote != raft->pre_voting ||
        voted->term != asked ||
        !SlRaft_IncarnationCounts(member, voted->incarnation)) {
        return;
    }
    progress->granted = true;
    progress->incarnation = voted->incarnation;
    tally = count_votes(raft);
    if (!wins(&tally)) {
        return;
    }
    if (raft->pre_voting) {
        start_election(raft);
    }
    else {
        SlRaft_BecomeLeader(raft, tally.votes);
    }
}
