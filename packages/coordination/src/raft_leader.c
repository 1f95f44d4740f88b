#include <string.h>

#include "raft.h"

enum {
    /// Maximum number of append messages that are sent to a member before the
    /// member acknowledges one of them.
    PIPELINE_APPENDS = 8,
};

static void
emit_event(struct SlRaft *raft, enum SlEventNumber number, const char *peer,
           const char *reason, int64_t value, int64_t limit)
{
    raft->options.host_type->emit_event(raft->options.host, number, peer,
                                        reason, value, limit);
}

/// Appends the first record of the leader's term if the log does not have it:
/// at the election, and again if it could not be synced. Without it nothing of
/// earlier terms is known to be committed.
static void
propose_first_record(struct SlRaft *raft)
{
    struct SlChange noop = {.verb = SL_VERB_NOOP};
    uint64_t index;

    if (SlRaft_LastIndex(raft) < raft->term_start_index) {
        SlRaft_ProposeChange(raft, &noop, 0, &index);
    }
}

/// Sets the election timeout of the next round, which this instance itself
/// promises first.
static void
begin_round(struct SlRaft *raft)
{
    raft->announced_election_us =
        SlRaft_PromiseElectionUs(raft, SlRaft_MeasuredElectionUs(raft));
}

void
SlRaft_BecomeLeader(struct SlRaft *raft, uint32_t votes)
{
    uint64_t next = SlRaft_LastIndex(raft) + 1;

    raft->state = SL_CONTROL_LEADER;
    raft->leader_id = raft->options.node_id;
    raft->leading_since_us = raft->now_us;
    raft->heartbeat_due_us = raft->now_us;
    raft->lease_lost = false;
    raft->ack_due = false;
    raft->term_start_index = next;
    raft->majority_acked_us = 0;
    raft->former_lease_until_us = raft->lease_granted_until_us;
    begin_round(raft);
    for (uint32_t i = 0; i < raft->members.count; i++) {
        struct SlRaftProgress *progress = &raft->progress[i];

        if (progress->vote_granted &&
            progress->former_lease_until_us > raft->former_lease_until_us) {
            raft->former_lease_until_us = progress->former_lease_until_us;
        }
        *progress = (struct SlRaftProgress){
            .node_id = progress->node_id,
            .incarnation = progress->vote_granted ? progress->incarnation : 0,
            .next_index = next,
            .last_received_us = raft->now_us,
            .append_due = true,
        };
    }
    emit_event(raft, SL_EVENT_ELECTED, NULL, "majority",
               (int64_t)raft->hard_state.term, votes);
    propose_first_record(raft);
}

enum SlStatus
SlRaft_ProposeChange(struct SlRaft *raft, struct SlChange *change,
                     uint64_t wall_us, uint64_t *index)
{
    struct SlLogRecord record;
    enum SlStatus status;

    if (raft->state != SL_CONTROL_LEADER || raft->storage_failed) {
        return SL_NOT_LEADER;
    }
    *index = SlRaft_LastIndex(raft) + 1;
    if (*index - raft->commit_index > SL_RAFT_UNCOMMITTED_MAX_RECORDS) {
        return SL_FULL;
    }
    /* The leader's own records store how far the log has been applied: a
       restarted instance can apply the log up to there without a leader. */
    if (raft->options.self_forming && change->client == 0) {
        change->base = raft->applied;
    }
    change->time_us =
        wall_us > raft->last_time_us ? wall_us : raft->last_time_us + 1;
    SlBuffer_Clear(&raft->encode_buffer);
    status = SlChange_Encode(change, &raft->encode_buffer);
    if (status != SL_OK) {
        return status;
    }
    record = (struct SlLogRecord){
        .term = raft->hard_state.term,
        .index = *index,
        .data = raft->encode_buffer.bytes,
        .data_bytes = (uint32_t)raft->encode_buffer.length_bytes,
    };
    return SlRaft_AppendRecord(raft, &record, change);
}

static bool
is_counted_voter(const struct SlRaft *raft, uint32_t index)
{
    const struct SlRaftMember *member = &raft->members.items[index];
    uint64_t incarnation = member->node_id == raft->options.node_id
                               ? raft->hard_state.incarnation
                               : raft->progress[index].incarnation;

    return member->is_voter && SlRaft_IncarnationMatches(member, incarnation);
}

/// The largest value that a majority of voters has reached. Sorts values.
static uint64_t
majority_value(uint64_t *values, uint32_t voters)
{
    for (uint32_t i = 1; i < voters; i++) {
        for (uint32_t j = i; j > 0 && values[j - 1] < values[j]; j--) {
            uint64_t larger = values[j];

            values[j] = values[j - 1];
            values[j - 1] = larger;
        }
    }
    return voters == 0 ? 0 : values[voters / 2];
}

/// Returns the largest value that a majority of the voters has reached. own:
/// the value of this instance.
static uint64_t
majority_of_voters(const struct SlRaft *raft, uint64_t own,
                   uint64_t (*value_of)(const struct SlRaftProgress *progress))
{
    uint64_t values[SL_MEMBERS_CONTROL_MAX] = {0};
    uint32_t voters = 0;

    for (uint32_t i = 0; i < raft->members.count; i++) {
        const struct SlRaftMember *member = &raft->members.items[i];
        bool self = member->node_id == raft->options.node_id;

        if (!member->is_voter) {
            continue;
        }
        if (is_counted_voter(raft, i)) {
            values[voters] = self ? own : value_of(&raft->progress[i]);
        }
        voters++;
    }
    return majority_value(values, voters);
}

static uint64_t
acked_us_of(const struct SlRaftProgress *progress)
{
    return progress->acked_us;
}

static uint64_t
lease_until_us_of(const struct SlRaftProgress *progress)
{
    return progress->lease_until_us;
}

static uint64_t
match_index_of(const struct SlRaftProgress *progress)
{
    return progress->match_index;
}

uint64_t
SlRaft_QuorumAckedUs(const struct SlRaft *raft)
{
    return majority_of_voters(raft, raft->now_us, acked_us_of);
}

uint64_t
SlRaft_QuorumLeaseUntilUs(const struct SlRaft *raft)
{
    uint64_t own_us =
        raft->now_us + SlRaft_LeaseUs(raft->announced_election_us);

    return majority_of_voters(raft, own_us, lease_until_us_of);
}

/// True while a follower of the former leader, which resigned, may hold a
/// lease: it would not see what is committed now.
static bool
may_former_lease_last(const struct SlRaft *raft)
{
    if (raft->now_us >= raft->former_lease_until_us) {
        return false;
    }
    for (uint32_t i = 0; i < raft->members.count; i++) {
        uint64_t node_id = raft->members.items[i].node_id;

        if (node_id != raft->options.node_id && node_id != raft->resigned_id &&
            raft->progress[i].acked_us == 0) {
            return true;
        }
    }
    return false;
}

static void
advance_commit(struct SlRaft *raft)
{
    uint64_t quorum_index;

    if (may_former_lease_last(raft)) {
        return;
    }
    quorum_index =
        majority_of_voters(raft, raft->synced_index, match_index_of);
    /* Only the commit of a record of the present term commits the records
       before it (Raft, 5.4.2). */
    if (quorum_index > raft->commit_index &&
        SlRaft_TermAt(raft, quorum_index) == raft->hard_state.term) {
        raft->commit_index = quorum_index;
        for (uint32_t i = 0; i < raft->members.count; i++) {
            raft->progress[i].append_due = true;
        }
    }
}

static bool
needs_snapshot(const struct SlRaft *raft,
               const struct SlRaftProgress *progress)
{
    uint64_t previous = progress->next_index - 1;

    return previous < raft->snapshot_last.index &&
           (previous == 0 || SlRaft_TermAt(raft, previous) == 0);
}

/// Reads the durable records from next on into entries, up to the limits of
/// one append message. Returns their number.
static uint32_t
collect_entries(struct SlRaft *raft, uint64_t next, struct SlLogEntry *entries)
{
    struct SlStorage *storage = raft->options.storage;
    uint32_t count = 0;
    uint32_t bytes = 0;
    struct SlLogRecord record;

    while (count < SL_RAFT_APPEND_MAX_RECORDS &&
           bytes < SL_RAFT_APPEND_MAX_BYTES &&
           next + count <= raft->synced_index &&
           storage->type->read_record(storage, next + count, &record) ==
               SL_OK) {
        entries[count] = (struct SlLogEntry){.term = record.term,
                                             .index = record.index,
                                             .data = record.data,
                                             .data_bytes = record.data_bytes};
        bytes += record.data_bytes;
        count++;
    }
    return count;
}

static void
send_append(struct SlRaft *raft, struct SlRaftProgress *progress)
{
    struct SlLogEntry entries[SL_RAFT_APPEND_MAX_RECORDS];
    struct SlMessage message = {
        .kind = SL_MESSAGE_APPEND,
        .append = {
            .term = raft->hard_state.term,
            .commit = raft->commit_index,
            .round = raft->heartbeat_round,
            .lease_us = SlRaft_LeaseRemainingUs(raft, raft->now_us),
            .echo = {.us = progress->echo_us,
                     .kept_us = raft->now_us - progress->echo_received_us},
            .election_us = raft->announced_election_us,
            .entries = entries}};
    struct SlAppend *append = &message.append;

    if (!progress->is_installing) {
        append->previous.index = progress->next_index - 1;
        append->previous.term = SlRaft_TermAt(raft, append->previous.index);
        append->entry_count =
            collect_entries(raft, progress->next_index, entries);
        progress->next_index += append->entry_count;
    }
    progress->append_due = false;
    raft->options.host_type->send_message(raft->options.host,
                                          progress->node_id, &message);
}

/// Gives up the lease and the leadership, and notifies the members.
static void
hand_over(struct SlRaft *raft, const char *reason)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_APPEND,
        .append = {.term = raft->hard_state.term, .resigns = true}};

    raft->lease_granted_until_us = SlRaft_QuorumLeaseUntilUs(raft);
    for (uint32_t i = 0; i < raft->members.count; i++) {
        uint64_t node_id = raft->members.items[i].node_id;

        if (node_id != raft->options.node_id) {
            raft->options.host_type->send_message(raft->options.host, node_id,
                                                  &message);
        }
    }
    SlRaft_BecomeFollower(raft, raft->hard_state.term, 0, reason);
}

void
SlRaft_Resign(struct SlRaft *raft, uint64_t now_us)
{
    raft->now_us = now_us;
    raft->is_stopping = true;
    if (raft->state != SL_CONTROL_LEADER) {
        return;
    }
    SlRaft_Flush(raft, now_us);
    hand_over(raft, "stopping");
}

/// True when the other voters can elect a leader by themselves that has all
/// records of this one.
static bool
can_others_lead(const struct SlRaft *raft)
{
    uint32_t ready = 0;

    for (uint32_t i = 0; i < raft->members.count; i++) {
        const struct SlRaftProgress *progress = &raft->progress[i];

        ready +=
            raft->members.items[i].node_id != raft->options.node_id &&
            is_counted_voter(raft, i) && progress->acked_us != 0 &&
            raft->now_us - progress->acked_us <= raft->options.election_us &&
            progress->match_index >= raft->synced_index;
    }
    return ready > SlRaft_VoterCount(raft) / 2;
}

/// Hands over when the disk stays full: the other instances may have room, and
/// heartbeats, which need none, would keep this one in office.
static void
hand_over_if_full(struct SlRaft *raft, enum SlStatus status)
{
    if (status == SL_DISK_FULL && raft->state == SL_CONTROL_LEADER &&
        raft->now_us - raft->failing_since_us >= SL_RAFT_STORAGE_RETRY_US &&
        can_others_lead(raft)) {
        hand_over(raft, "disk_full");
    }
}

static void
replicate_to_member(struct SlRaft *raft, struct SlRaftProgress *progress)
{
    if (!progress->is_installing && needs_snapshot(raft, progress)) {
        SlRaft_StartInstall(raft, progress);
    }
    if (progress->is_installing) {
        if (progress->append_due) {
            send_append(raft, progress);
        }
        SlRaft_InstallTick(raft, progress);
        return;
    }
    for (uint32_t i = 0; i < PIPELINE_APPENDS; i++) {
        bool can_send_records =
            progress->next_index <= raft->synced_index &&
            progress->next_index - progress->match_index <=
                (uint64_t)PIPELINE_APPENDS * SL_RAFT_APPEND_MAX_RECORDS;

        if (!can_send_records && !progress->append_due) {
            break;
        }
        send_append(raft, progress);
    }
}

/// Steps down when no majority has acknowledged a round within the election
/// timeout. Returns false when it stepped down.
static bool
check_quorum(struct SlRaft *raft)
{
    uint64_t since_us = SlRaft_QuorumAckedUs(raft);
    uint64_t limit_us = SlRaft_ElectionUs(raft);

    if (since_us < raft->leading_since_us) {
        since_us = raft->leading_since_us;
    }
    if (raft->now_us - since_us <= limit_us) {
        return true;
    }
    emit_event(raft, SL_EVENT_LEASE_LOST, NULL, "majority_silent",
               (int64_t)(raft->now_us - since_us), (int64_t)limit_us);
    SlRaft_BecomeFollower(raft, raft->hard_state.term, 0, "majority_silent");
    return false;
}

void
SlRaft_LeaderTick(struct SlRaft *raft)
{
    if (!check_quorum(raft)) {
        return;
    }
    if (raft->now_us >= raft->heartbeat_due_us) {
        raft->heartbeat_due_us = raft->now_us + raft->options.heartbeat_us;
        raft->heartbeat_round++;
        begin_round(raft);
        raft->round_sent_us[raft->heartbeat_round % SL_RAFT_TRACKED_ROUNDS] =
            raft->now_us;
        for (uint32_t i = 0; i < raft->members.count; i++) {
            raft->progress[i].append_due = true;
        }
        propose_first_record(raft);
    }
    SlRaft_RepairMembers(raft);
}

/// Steps down when a committed change has removed this leader as a voter.
static void
step_down_if_removed(struct SlRaft *raft)
{
    const struct SlRaftMember *self =
        SlRaft_FindMember(raft, raft->options.node_id);

    if ((self == NULL || !self->is_voter) &&
        raft->members_index <= raft->commit_index) {
        SlRaft_BecomeFollower(raft, raft->hard_state.term, 0, "removed");
    }
}

void
SlRaft_LeaderFlush(struct SlRaft *raft)
{
    uint64_t previous_synced_index = raft->synced_index;
    enum SlStatus status = SlRaft_SyncLog(raft);

    if (status != SL_OK) {
        raft->options.host_type->records_refused(
            raft->options.host, previous_synced_index + 1, status);
        hand_over_if_full(raft, status);
    }
    if (raft->state != SL_CONTROL_LEADER) {
        return;
    }
    advance_commit(raft);
    for (uint32_t i = 0; i < raft->members.count; i++) {
        if (raft->members.items[i].node_id != raft->options.node_id) {
            replicate_to_member(raft, &raft->progress[i]);
        }
    }
    SlRaft_ApplyCommitted(raft);
    if (raft->state == SL_CONTROL_LEADER) {
        step_down_if_removed(raft);
    }
}

/// Resets the replication state of a member whose message carries a new
/// incarnation: the records in its former data folder are lost.
static void
update_incarnation(struct SlRaft *raft, struct SlRaftProgress *progress,
                   uint64_t incarnation)
{
    if (progress->incarnation == incarnation) {
        return;
    }
    if (progress->incarnation != 0) {
        emit_event(raft, SL_EVENT_MEMBER,
                   SlRaft_FindMember(raft, progress->node_id)->name,
                   "new_incarnation", raft->members.count,
                   SlRaft_VoterCount(raft));
        progress->match_index = 0;
        progress->next_index = SlRaft_LastIndex(raft) + 1;
        progress->acked_us = 0;
        progress->lease_until_us = 0;
        progress->is_installing = false;
    }
    progress->incarnation = incarnation;
}

/// Records the answer to a round, with which the member grants no vote for
/// election_us.
static void
record_round_ack(struct SlRaft *raft, struct SlRaftProgress *progress,
                 uint64_t round, uint64_t election_us)
{
    uint64_t sent_us = raft->round_sent_us[round % SL_RAFT_TRACKED_ROUNDS];
    uint64_t lease_until_us = sent_us + SlRaft_LeaseUs(election_us);
    uint64_t majority_us;

    if (round == 0 || round > raft->heartbeat_round ||
        raft->heartbeat_round - round >= SL_RAFT_TRACKED_ROUNDS) {
        return;
    }
    if (lease_until_us > progress->lease_until_us) {
        progress->lease_until_us = lease_until_us;
    }
    if (sent_us <= progress->acked_us) {
        return;
    }
    progress->acked_us = sent_us;
    majority_us = SlRaft_QuorumAckedUs(raft);
    if (majority_us > raft->majority_acked_us) {
        raft->majority_acked_us = majority_us;
        SlRaft_RecordTrip(raft, raft->now_us - majority_us);
    }
}

void
SlRaft_OnAppended(struct SlRaft *raft, uint64_t sender_id,
                  const struct SlAppended *appended)
{
    struct SlRaftProgress *progress = SlRaft_FindProgress(raft, sender_id);

    if (appended->term > raft->hard_state.term) {
        SlRaft_BecomeFollower(raft, appended->term, 0, "newer_term");
        return;
    }
    if (raft->state != SL_CONTROL_LEADER || progress == NULL ||
        appended->term != raft->hard_state.term) {
        return;
    }
    update_incarnation(raft, progress, appended->incarnation);
    progress->last_received_us = raft->now_us;
    progress->echo_us = appended->sent.us;
    progress->echo_received_us = raft->now_us;
    record_round_ack(raft, progress, appended->round,
                     appended->election_us != 0 ? appended->election_us
                                                : raft->options.election_us);
    if (progress->is_installing) {
        return;
    }
    if (!appended->success) {
        uint64_t known = appended->index < raft->synced_index
                             ? appended->index
                             : raft->synced_index;

        progress->next_index = known + 1;
        progress->match_index =
            progress->match_index < known ? progress->match_index : known;
        progress->append_due = true;
    }
    else if (appended->index <= raft->synced_index &&
             appended->index > progress->match_index) {
        progress->match_index = appended->index;
        if (progress->next_index <= progress->match_index) {
            progress->next_index = progress->match_index + 1;
        }
    }
}
