#include <string.h>

#include "raft.h"

enum {
    /// Appends sent to one member before it answers any.
    PIPELINE_APPENDS = 8,
};

static void
emit(struct SlRaft *raft, enum SlEventNumber number, const char *peer,
     const char *reason, int64_t value, int64_t limit)
{
    raft->options.host_type->event(raft->options.host, number, peer, reason,
                                   value, limit);
}

void
SlRaft_BecomeLeader(struct SlRaft *raft, uint32_t votes)
{
    struct SlChange noop = {.verb = SL_VERB_NOOP};
    uint64_t next = SlRaft_LastIndex(raft) + 1;
    uint64_t index;

    raft->state = SL_CONTROL_LEADER;
    raft->leader = raft->options.node_id;
    raft->leading_since_us = raft->now_us;
    raft->heartbeat_due_us = raft->now_us;
    raft->lease_lost = false;
    raft->ack_due = false;
    raft->term_start = next;
    for (uint32_t i = 0; i < raft->members.count; i++) {
        struct SlRaftProgress *progress = &raft->progress[i];

        *progress = (struct SlRaftProgress){
            .node_id = progress->node_id,
            .incarnation = progress->granted ? progress->incarnation : 0,
            .next = next,
            .heard_us = raft->now_us,
            .send_due = true,
        };
    }
    emit(raft, SL_EVENT_ELECTED, NULL, "majority", (int64_t)raft->hard.term,
         votes);
    SlRaft_Propose(raft, &noop, 0, &index);
}

enum SlStatus
SlRaft_Propose(struct SlRaft *raft, struct SlChange *change, uint64_t wall_us,
               uint64_t *index)
{
    struct SlLogRecord record;
    enum SlStatus status;

    if (raft->state != SL_CONTROL_LEADER || raft->broken) {
        return SL_NOT_LEADER;
    }
    *index = SlRaft_LastIndex(raft) + 1;
    if (*index - raft->commit > SL_RAFT_WINDOW_RECORDS) {
        return SL_FULL;
    }
    /* A record of the leader's own tells how far the log is committed: a
       restarted instance knows that much before anybody leads. */
    if (raft->options.self_forming && change->client == 0) {
        change->base = raft->applied;
    }
    change->time_us =
        wall_us > raft->last_time_us ? wall_us : raft->last_time_us + 1;
    SlBuffer_Clear(&raft->scratch);
    status = SlChange_Encode(change, &raft->scratch);
    if (status != SL_OK) {
        return status;
    }
    record = (struct SlLogRecord){
        .term = raft->hard.term,
        .index = *index,
        .data = raft->scratch.bytes,
        .data_bytes = (uint32_t)raft->scratch.length_bytes,
    };
    return SlRaft_Append(raft, &record, change);
}

static bool
counts(const struct SlRaft *raft, uint32_t at)
{
    const struct SlRaftMember *member = &raft->members.items[at];
    uint64_t seen = member->node_id == raft->options.node_id
                        ? raft->hard.incarnation
                        : raft->progress[at].incarnation;

    return member->voter && SlRaft_IncarnationCounts(member, seen);
}

/// The largest value that a majority of voters has reached.
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

uint64_t
SlRaft_QuorumAckedAt(const struct SlRaft *raft)
{
    uint64_t acked_us[SL_MEMBERS_CONTROL_MAX] = {0};
    uint32_t voters = 0;

    for (uint32_t i = 0; i < raft->members.count; i++) {
        if (raft->members.items[i].voter) {
            bool self =
                raft->members.items[i].node_id == raft->options.node_id;

            acked_us[voters] =
                self ? raft->now_us : raft->progress[i].acked_us;
            acked_us[voters] = counts(raft, i) ? acked_us[voters] : 0;
            voters++;
        }
    }
    return majority_value(acked_us, voters);
}

static void
advance_commit(struct SlRaft *raft)
{
    uint64_t match[SL_MEMBERS_CONTROL_MAX] = {0};
    uint32_t voters = 0;
    uint64_t reached;

    for (uint32_t i = 0; i < raft->members.count; i++) {
        if (raft->members.items[i].voter) {
            bool self =
                raft->members.items[i].node_id == raft->options.node_id;

            match[voters] = self ? raft->synced : raft->progress[i].match;
            match[voters] = counts(raft, i) ? match[voters] : 0;
            voters++;
        }
    }
    reached = majority_value(match, voters);
    /* Only a record of the own term commits those before it (Raft, 5.4.2). */
    if (reached > raft->commit &&
        SlRaft_TermAt(raft, reached) == raft->hard.term) {
        raft->commit = reached;
        for (uint32_t i = 0; i < raft->members.count; i++) {
            raft->progress[i].send_due = true;
        }
    }
}

static bool
needs_snapshot(const struct SlRaft *raft,
               const struct SlRaftProgress *progress)
{
    uint64_t previous = progress->next - 1;

    return previous < raft->snapshot_last.index &&
           (previous == 0 || SlRaft_TermAt(raft, previous) == 0);
}

/// Gathers the records from next on; returns how many.
static uint32_t
gather(struct SlRaft *raft, uint64_t next, struct SlLogEntry *entries)
{
    struct SlStorage *storage = raft->options.storage;
    uint32_t count = 0;
    uint32_t bytes = 0;
    struct SlLogRecord record;

    while (count < SL_RAFT_APPEND_RECORDS && bytes < SL_RAFT_APPEND_BYTES &&
           next + count <= raft->synced &&
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
    struct SlLogEntry entries[SL_RAFT_APPEND_RECORDS];
    struct SlMessage message = {
        .kind = SL_MESSAGE_APPEND,
        .append = {.term = raft->hard.term,
                   .commit = raft->commit,
                   .round = raft->round,
                   .lease_us = SlRaft_LeaseLeft(raft, raft->now_us),
                   .echo = {.us = progress->echo_us,
                            .kept_us = raft->now_us - progress->echo_at_us},
                   .entries = entries}};
    struct SlAppend *append = &message.append;

    if (!progress->installing) {
        append->previous.index = progress->next - 1;
        append->previous.term = SlRaft_TermAt(raft, append->previous.index);
        append->entry_count = gather(raft, progress->next, entries);
        progress->next += append->entry_count;
    }
    progress->send_due = false;
    raft->options.host_type->send(raft->options.host, progress->node_id,
                                  &message);
}

void
SlRaft_Resign(struct SlRaft *raft, uint64_t now_us)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_APPEND,
        .append = {.term = raft->hard.term, .resigns = true}};

    raft->now_us = now_us;
    raft->stopping = true;
    if (raft->state != SL_CONTROL_LEADER) {
        return;
    }
    SlRaft_Flush(raft, now_us);
    for (uint32_t i = 0; i < raft->members.count; i++) {
        uint64_t node_id = raft->members.items[i].node_id;

        if (node_id != raft->options.node_id) {
            raft->options.host_type->send(raft->options.host, node_id,
                                          &message);
        }
    }
    SlRaft_BecomeFollower(raft, raft->hard.term, 0, "stopping");
}

static void
send_to(struct SlRaft *raft, struct SlRaftProgress *progress)
{
    if (!progress->installing && needs_snapshot(raft, progress)) {
        SlRaft_StartInstall(raft, progress);
    }
    if (progress->installing) {
        if (progress->send_due) {
            send_append(raft, progress);
        }
        SlRaft_InstallTick(raft, progress);
        return;
    }
    for (uint32_t i = 0; i < PIPELINE_APPENDS; i++) {
        bool more = progress->next <= raft->synced &&
                    progress->next - progress->match <=
                        (uint64_t)PIPELINE_APPENDS * SL_RAFT_APPEND_RECORDS;

        if (!more && !progress->send_due) {
            break;
        }
        send_append(raft, progress);
    }
}

/// Steps down when a majority has been silent for an election timeout.
static bool
check_quorum(struct SlRaft *raft)
{
    uint64_t since_us = SlRaft_QuorumAckedAt(raft);
    uint64_t limit_us = raft->options.election_us;

    if (since_us < raft->leading_since_us) {
        since_us = raft->leading_since_us;
    }
    if (raft->now_us - since_us <= limit_us) {
        return true;
    }
    emit(raft, SL_EVENT_LEASE_LOST, NULL, "majority_silent",
         (int64_t)(raft->now_us - since_us), (int64_t)limit_us);
    SlRaft_BecomeFollower(raft, raft->hard.term, 0, "majority_silent");
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
        raft->round++;
        raft->round_sent_us[raft->round % SL_RAFT_ROUNDS] = raft->now_us;
        for (uint32_t i = 0; i < raft->members.count; i++) {
            raft->progress[i].send_due = true;
        }
    }
    SlRaft_RepairMembers(raft);
}

/// A leader that its own committed change removed stops leading.
static void
leave_if_removed(struct SlRaft *raft)
{
    const struct SlRaftMember *self =
        SlRaft_Member(raft, raft->options.node_id);

    if ((self == NULL || !self->voter) &&
        raft->members_index <= raft->commit) {
        SlRaft_BecomeFollower(raft, raft->hard.term, 0, "removed");
    }
}

void
SlRaft_LeaderFlush(struct SlRaft *raft)
{
    uint64_t before = raft->synced;
    enum SlStatus status = SlRaft_Sync(raft);

    if (status != SL_OK) {
        raft->options.host_type->refused(raft->options.host, before + 1,
                                         status);
    }
    if (raft->state != SL_CONTROL_LEADER) {
        return;
    }
    advance_commit(raft);
    for (uint32_t i = 0; i < raft->members.count; i++) {
        if (raft->members.items[i].node_id != raft->options.node_id) {
            send_to(raft, &raft->progress[i]);
        }
    }
    SlRaft_ApplyCommitted(raft);
    if (raft->state == SL_CONTROL_LEADER) {
        leave_if_removed(raft);
    }
}

/// A message of another incarnation: what the former one had is gone.
static void
note_incarnation(struct SlRaft *raft, struct SlRaftProgress *progress,
                 uint64_t incarnation)
{
    if (progress->incarnation == incarnation) {
        return;
    }
    if (progress->incarnation != 0) {
        emit(raft, SL_EVENT_MEMBER,
             SlRaft_Member(raft, progress->node_id)->name, "new_incarnation",
             raft->members.count, SlRaft_VoterCount(raft));
        progress->match = 0;
        progress->next = SlRaft_LastIndex(raft) + 1;
        progress->acked_us = 0;
        progress->installing = false;
    }
    progress->incarnation = incarnation;
}

static void
note_round(struct SlRaft *raft, struct SlRaftProgress *progress,
           uint64_t round)
{
    uint64_t sent_us = raft->round_sent_us[round % SL_RAFT_ROUNDS];

    if (round == 0 || round > raft->round ||
        raft->round - round >= SL_RAFT_ROUNDS) {
        return;
    }
    if (sent_us > progress->acked_us) {
        progress->acked_us = sent_us;
    }
}

void
SlRaft_OnAppended(struct SlRaft *raft, uint64_t from,
                  const struct SlAppended *appended)
{
    struct SlRaftProgress *progress = SlRaft_Progress(raft, from);

    if (appended->term > raft->hard.term) {
        SlRaft_BecomeFollower(raft, appended->term, 0, "newer_term");
        return;
    }
    if (raft->state != SL_CONTROL_LEADER || progress == NULL ||
        appended->term != raft->hard.term) {
        return;
    }
    note_incarnation(raft, progress, appended->incarnation);
    progress->heard_us = raft->now_us;
    progress->echo_us = appended->sent.us;
    progress->echo_at_us = raft->now_us;
    note_round(raft, progress, appended->round);
    if (progress->installing) {
        return;
    }
    if (!appended->success) {
        uint64_t known =
            appended->index < raft->synced ? appended->index : raft->synced;

        progress->next = known + 1;
        progress->match = progress->match < known ? progress->match : known;
        progress->send_due = true;
    }
    else if (appended->index <= raft->synced &&
             appended->index > progress->match) {
        progress->match = appended->index;
        if (progress->next <= progress->match) {
            progress->next = progress->match + 1;
        }
    }
}
