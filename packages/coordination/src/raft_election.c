#include <string.h>

#include "raft.h"

enum {
    /// A candidate lets another one begin for this many vote timeouts, in
    /// which that one is elected or begins anew.
    YIELD_TIMEOUTS = 2,
};

static void
send_to_voters(struct SlRaft *raft, const struct SlMessage *message)
{
    for (uint32_t i = 0; i < raft->members.count; i++) {
        const struct SlRaftMember *member = &raft->members.items[i];

        if (member->is_voter && member->node_id != raft->options.node_id) {
            raft->options.host_type->send_message(raft->options.host,
                                                  member->node_id, message);
        }
    }
}

/// A step of a 64-bit linear congruential generator (Knuth, TAOCP 3.3.4).
uint64_t
SlRaft_NextRandom(struct SlRaft *raft)
{
    raft->random_state =
        raft->random_state * 6364136223846793005u + 1442695040888963407u;
    return raft->random_state >> 33;
}

void
SlRaft_ResetElection(struct SlRaft *raft)
{
    uint64_t election_us = SlRaft_ElectionUs(raft);
    /* A candidate waits for answers, and not until a lease has ended. */
    uint64_t wait_us = raft->state == SL_CONTROL_CANDIDATE
                           ? SlRaft_VoteTimeoutUs(raft)
                           : election_us;
    uint64_t spread_us = raft->options.election_us;

    /* If the vote must be unanimous, two simultaneous candidates always fail:
       a longer random delay makes that less likely. */
    if (!SlRaft_AllIncarnationsLogged(raft)) {
        spread_us *= raft->members.count;
    }
    spread_us = spread_us > election_us ? spread_us : election_us;
    raft->election_due_us =
        raft->now_us + wait_us + SlRaft_NextRandom(raft) % spread_us;
}

void
SlRaft_BecomeFollower(struct SlRaft *raft, uint64_t term, uint64_t leader,
                      const char *reason)
{
    bool was_leader = raft->state == SL_CONTROL_LEADER;
    bool new_term = term > raft->hard_state.term;

    raft->state =
        SlRaft_IsElectable(raft) ? SL_CONTROL_FOLLOWER : SL_CONTROL_LEARNER;
    raft->pre_voting = false;
    raft->leader_id = leader;
    if (new_term) {
        raft->hard_state.term = term;
        raft->hard_state.voted_for = 0;
        raft->fresh_until_us = 0;
        raft->offered_fresh_until_us = 0;
        raft->recent_until_us = 0;
        raft->offered_recent_until_us = 0;
        SlRaft_SaveHardState(raft);
    }
    if (was_leader) {
        raft->ack_due = false;
        raft->options.host_type->emit_event(
            raft->options.host, SL_EVENT_STEPPED_DOWN, NULL, reason,
            (int64_t)raft->hard_state.term, 0);
        raft->options.host_type->records_refused(raft->options.host, 0,
                                                 SL_NOT_LEADER);
        SlRaft_ResetElection(raft);
    }
}

static void
clear_grants(struct SlRaft *raft)
{
    for (uint32_t i = 0; i < SL_MEMBERS_CONTROL_MAX; i++) {
        raft->progress[i].vote_granted = false;
    }
}

/// Votes that a candidate has received.
struct vote_count {
    uint32_t voters;
    uint32_t votes;
    /// Votes of members whose incarnation is logged: these certainly still
    /// hold all records that they acknowledged.
    uint32_t confirmed_votes;
};

static struct vote_count
count_votes(const struct SlRaft *raft)
{
    struct vote_count vote_count = {.voters = 0};

    for (uint32_t i = 0; i < raft->members.count; i++) {
        const struct SlRaftMember *member = &raft->members.items[i];
        bool self = member->node_id == raft->options.node_id;

        if (!member->is_voter) {
            continue;
        }
        vote_count.voters++;
        if (self || raft->progress[i].vote_granted) {
            vote_count.votes++;
            vote_count.confirmed_votes += member->incarnation != 0;
        }
    }
    return vote_count;
}

/// A founding member whose incarnation is not logged yet may have lost its
/// data folder unnoticed, so its vote counts only in a unanimous vote.
static bool
has_quorum(const struct vote_count *vote_count)
{
    return vote_count->confirmed_votes >= vote_count->voters / 2 + 1 ||
           vote_count->votes == vote_count->voters;
}

static void
request_votes(struct SlRaft *raft)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_VOTE,
        .vote = {.term = raft->hard_state.term + raft->pre_voting,
                 .pre_vote = raft->pre_voting,
                 .last = SlRaft_LastVersion(raft),
                 .sent_us = raft->now_us},
    };

    send_to_voters(raft, &message);
}

static void
start_election(struct SlRaft *raft)
{
    struct SlHardState previous = raft->hard_state;
    struct vote_count vote_count;

    raft->pre_voting = false;
    raft->hard_state.term++;
    raft->hard_state.voted_for = raft->options.node_id;
    clear_grants(raft);
    SlRaft_ResetElection(raft);
    if (SlRaft_SaveHardState(raft) != SL_OK) {
        /* Nobody has heard of the new term, which would only make the next
           leader step down. */
        raft->hard_state = previous;
        SlRaft_BecomeFollower(raft, previous.term, 0, "storage_failed");
        return;
    }
    vote_count = count_votes(raft);
    if (has_quorum(&vote_count)) {
        SlRaft_BecomeLeader(raft, vote_count.votes);
        return;
    }
    request_votes(raft);
}

static void
start_pre_vote(struct SlRaft *raft)
{
    struct vote_count vote_count;

    raft->state = SL_CONTROL_CANDIDATE;
    raft->pre_voting = true;
    raft->leader_id = 0;
    clear_grants(raft);
    SlRaft_ResetElection(raft);
    vote_count = count_votes(raft);
    if (has_quorum(&vote_count)) {
        start_election(raft);
        return;
    }
    request_votes(raft);
}

void
SlRaft_ElectionTick(struct SlRaft *raft)
{
    bool is_sole_member = raft->members.count == 1;

    if (!SlRaft_IsElectable(raft)) {
        raft->state = SL_CONTROL_LEARNER;
        return;
    }
    if (raft->state == SL_CONTROL_LEARNER) {
        raft->state = SL_CONTROL_FOLLOWER;
    }
    if (!raft->is_stopping &&
        (raft->now_us >= raft->election_due_us || is_sole_member)) {
        start_pre_vote(raft);
    }
}

static bool
is_candidate_up_to_date(const struct SlRaft *raft, struct SlVersion last)
{
    return SlVersion_Compare(last, SlRaft_LastVersion(raft)) >= 0;
}

/// True while a leader may hold a lease that relies on an acknowledgement of
/// this instance.
static bool
leader_may_hold_lease(const struct SlRaft *raft)
{
    if (raft->state == SL_CONTROL_LEADER) {
        return true;
    }
    return raft->now_us < raft->votes_refused_until_us;
}

static bool
can_grant_vote(const struct SlRaft *raft, uint64_t sender_id,
               const struct SlVote *vote)
{
    /* This log may be outdated, so the candidate need not be one of its
       members. */
    if (raft->storage_failed || !raft->hard_state.caught_up ||
        leader_may_hold_lease(raft) ||
        !is_candidate_up_to_date(raft, vote->last)) {
        return false;
    }
    if (vote->pre_vote) {
        return vote->term > raft->hard_state.term;
    }
    return vote->term == raft->hard_state.term &&
           (raft->hard_state.voted_for == 0 ||
            raft->hard_state.voted_for == sender_id);
}

/// Saves the vote; it must be durable before it is sent. Returns false when it
/// could not be saved.
static bool
save_vote(struct SlRaft *raft, uint64_t sender_id)
{
    uint64_t previous_vote = raft->hard_state.voted_for;

    if (previous_vote == sender_id) {
        return true;
    }
    raft->hard_state.voted_for = sender_id;
    if (SlRaft_SaveHardState(raft) != SL_OK) {
        raft->hard_state.voted_for = previous_vote;
        return false;
    }
    SlRaft_ResetElection(raft);
    return true;
}

/// Lets another candidate of the same term begin the next election: the one
/// with the lower node id. Over slow links candidates would meet again and
/// again.
static void
let_other_begin(struct SlRaft *raft, uint64_t sender_id,
                const struct SlVote *vote)
{
    if (raft->state == SL_CONTROL_CANDIDATE &&
        vote->term == raft->hard_state.term &&
        sender_id < raft->options.node_id) {
        raft->election_due_us += YIELD_TIMEOUTS * SlRaft_VoteTimeoutUs(raft);
    }
}

void
SlRaft_OnVote(struct SlRaft *raft, uint64_t sender_id,
              const struct SlVote *vote)
{
    struct SlMessage answer = {
        .kind = SL_MESSAGE_VOTED,
        .voted = {.pre_vote = vote->pre_vote,
                  .incarnation = raft->hard_state.incarnation,
                  .sent_us = vote->sent_us,
                  .lease_left_us = SlRaft_GrantedLeaseLeftUs(raft)}};
    bool granted;

    /* A request refused because of a lease must not raise the term either. */
    if (!vote->pre_vote && vote->term > raft->hard_state.term &&
        !leader_may_hold_lease(raft)) {
        SlRaft_BecomeFollower(raft, vote->term, 0, "newer_term");
    }
    granted = can_grant_vote(raft, sender_id, vote);
    if (!granted && !vote->pre_vote) {
        let_other_begin(raft, sender_id, vote);
    }
    if (granted && !vote->pre_vote) {
        granted = save_vote(raft, sender_id);
    }
    answer.voted.granted = granted;
    answer.voted.term = granted ? vote->term : raft->hard_state.term;
    if (!vote->pre_vote) {
        raft->options.host_type->emit_event(
            raft->options.host, SL_EVENT_VOTE,
            SlRaft_FindMember(raft, sender_id)
                ? SlRaft_FindMember(raft, sender_id)->name
                : NULL,
            granted ? "granted" : "refused", (int64_t)vote->term, granted);
    }
    raft->options.host_type->send_message(raft->options.host, sender_id,
                                          &answer);
}

void
SlRaft_OnVoted(struct SlRaft *raft, uint64_t sender_id,
               const struct SlVoted *voted)
{
    const struct SlRaftMember *member = SlRaft_FindMember(raft, sender_id);
    struct SlRaftProgress *progress = SlRaft_FindProgress(raft, sender_id);
    uint64_t requested_term = raft->hard_state.term + raft->pre_voting;
    struct vote_count vote_count;

    if (raft->state == SL_CONTROL_CANDIDATE && voted->sent_us != 0 &&
        voted->sent_us <= raft->now_us) {
        SlRaft_RecordTrip(raft, raft->now_us - voted->sent_us);
    }
    if (voted->term > raft->hard_state.term && !voted->granted) {
        SlRaft_BecomeFollower(raft, voted->term, 0, "newer_term");
        return;
    }
    if (raft->state != SL_CONTROL_CANDIDATE || member == NULL ||
        !voted->granted || voted->pre_vote != raft->pre_voting ||
        voted->term != requested_term ||
        !SlRaft_IncarnationMatches(member, voted->incarnation)) {
        return;
    }
    progress->vote_granted = true;
    progress->incarnation = voted->incarnation;
    progress->former_lease_until_us = raft->now_us + voted->lease_left_us;
    vote_count = count_votes(raft);
    if (!has_quorum(&vote_count)) {
        return;
    }
    if (raft->pre_voting) {
        start_election(raft);
    }
    else {
        SlRaft_BecomeLeader(raft, vote_count.votes);
    }
}
