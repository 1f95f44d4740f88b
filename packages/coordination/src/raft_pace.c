/// Election timeouts and leases that follow the round trips to a majority.
///
/// A fixed election timeout makes a slow round trip count as a lost majority:
/// the lease, which begins when a round is sent, is over before the answers
/// arrive. A longer timeout is announced with each round, and a member that
/// answers promises to grant no vote for so long. What it promises beyond the
/// configured timeout is durable first, since a restart must not shorten it.

#include "raft.h"

enum {
    /// A follower learns of a lease up to two round trips after it began, and
    /// the lease is three quarters of the election timeout: one round trip is
    /// left until the next one.
    ELECTION_TRIPS = 4,
    /// A candidate waits for answers for this many expected round trips.
    VOTE_TRIPS = 2,
    /// Longest election timeout that follows from round trips. Operators wait
    /// for a new leader for 4 s on the sites that wait least.
    ELECTION_MAX_US = 4 * 1000 * 1000,
    /// RFC 6298, section 2: K is 4.
    DEVIATION_FACTOR = 4,
    /// A single round trip counts for this many times the expected ones at
    /// most, so that one stall does not change the timeout for long.
    OUTLIER_FACTOR = 2,
    /// Time after which a durable promise that is no longer needed is lowered.
    PROMISE_LOWER_US = 10 * 1000 * 1000,
};

static uint64_t
expected_trip_us(const struct SlRaft *raft)
{
    const struct SlAnswerTimeout *trip = &raft->majority_trip;
    uint64_t least_us = raft->options.election_us / ELECTION_TRIPS;
    uint64_t trip_us =
        trip->smoothed_us + DEVIATION_FACTOR * trip->deviation_us;

    return trip_us > least_us ? trip_us : least_us;
}

void
SlRaft_RecordTrip(struct SlRaft *raft, uint64_t trip_us)
{
    uint64_t most_us = OUTLIER_FACTOR * expected_trip_us(raft);

    SlAnswerTimeout_AddSample(&raft->majority_trip,
                              trip_us < most_us ? trip_us : most_us);
}

uint64_t
SlRaft_MeasuredElectionUs(const struct SlRaft *raft)
{
    uint64_t least_us = raft->options.election_us;
    uint64_t election_us = ELECTION_TRIPS * expected_trip_us(raft);

    if (election_us > ELECTION_MAX_US) {
        election_us = ELECTION_MAX_US;
    }
    return election_us > least_us ? election_us : least_us;
}

uint64_t
SlRaft_ElectionUs(const struct SlRaft *raft)
{
    uint64_t measured_us = SlRaft_MeasuredElectionUs(raft);

    return raft->announced_election_us > measured_us
               ? raft->announced_election_us
               : measured_us;
}

uint64_t
SlRaft_VoteTimeoutUs(const struct SlRaft *raft)
{
    uint64_t least_us = raft->options.election_us;
    uint64_t timeout_us = VOTE_TRIPS * expected_trip_us(raft);

    return timeout_us > least_us ? timeout_us : least_us;
}

uint64_t
SlRaft_LeaseUs(uint64_t election_us)
{
    return election_us / 4 * 3;
}

/// The election timeout that a restart of this instance respects.
static uint64_t
durable_election_us(const struct SlRaft *raft)
{
    uint64_t promised_us = raft->hard_state.promised_election_us;

    return promised_us > raft->options.election_us ? promised_us
                                                   : raft->options.election_us;
}

/// Saves a promise for election_us, rounded up to a multiple of the configured
/// timeout, so that it is seldom saved. On failure the former one stays.
static void
save_promise(struct SlRaft *raft, uint64_t election_us)
{
    uint64_t former_us = raft->hard_state.promised_election_us;
    uint64_t step_us = raft->options.election_us;
    uint64_t level_us = (election_us + step_us - 1) / step_us * step_us;

    if (raft->storage_failed || raft->hard_state_unsaved ||
        raft->now_us < raft->rewrite_due_us) {
        return;
    }
    raft->hard_state.promised_election_us = level_us;
    if (SlRaft_SaveHardState(raft) != SL_OK) {
        raft->hard_state.promised_election_us = former_us;
        raft->hard_state_unsaved = raft->storage_failed;
    }
}

uint64_t
SlRaft_PromiseElectionUs(struct SlRaft *raft, uint64_t election_us)
{
    uint64_t durable_us = durable_election_us(raft);

    if (election_us > durable_us) {
        save_promise(raft, election_us);
        durable_us = durable_election_us(raft);
    }
    if (election_us > durable_us / 2 ||
        durable_us == raft->options.election_us) {
        raft->promise_needed_us = raft->now_us;
    }
    else if (raft->now_us - raft->promise_needed_us > PROMISE_LOWER_US) {
        raft->promise_needed_us = raft->now_us;
        save_promise(raft, durable_us / 2);
    }
    return election_us < durable_us ? election_us : durable_us;
}

void
SlRaft_RefuseVotesFor(struct SlRaft *raft, uint64_t election_us)
{
    uint64_t until_us = raft->now_us + election_us;

    if (until_us > raft->votes_refused_until_us) {
        raft->votes_refused_until_us = until_us;
    }
    if (until_us > raft->lease_granted_until_us) {
        raft->lease_granted_until_us = until_us;
    }
}

void
SlRaft_RefuseVotesAfterStart(struct SlRaft *raft)
{
    raft->promise_needed_us = raft->now_us;
    raft->announced_election_us = durable_election_us(raft);
    SlRaft_RefuseVotesFor(raft, raft->announced_election_us);
}

uint64_t
SlRaft_GrantedLeaseLeftUs(const struct SlRaft *raft)
{
    return raft->lease_granted_until_us > raft->now_us
               ? raft->lease_granted_until_us - raft->now_us
               : 0;
}
