#include <string.h>

#include "raft.h"

enum {
    /// A leader counts its lease as over a quarter of the election timeout
    /// early. A follower uses half of that, as it knows no way of messages in
    /// its time; the rest is for clocks that drift.
    DRIFT_DIVISOR = 8,
};

static void
send_current_term(struct SlRaft *raft, uint64_t to)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_APPENDED,
        .appended = {.term = raft->hard.term,
                     .index = raft->synced,
                     .incarnation = raft->hard.incarnation}};

    raft->options.host_type->send(raft->options.host, to, &message);
}

bool
SlRaft_AcceptLeader(struct SlRaft *raft, uint64_t from, uint64_t term)
{
    if (term < raft->hard.term) {
        send_current_term(raft, from);
        return false;
    }
    if (raft->broken ||
        (raft->state == SL_CONTROL_LEADER && term == raft->hard.term)) {
        return false;
    }
    if (term > raft->hard.term || raft->leader != from ||
        raft->state == SL_CONTROL_CANDIDATE) {
        SlRaft_BecomeFollower(raft, term, from, "newer_leader");
    }
    raft->leader_heard_us = raft->now_us;
    SlRaft_ResetElection(raft);
    return true;
}

/// True when this log agrees with the leader's up to previous; else hint
/// tells where to go back to.
static bool
matches_log(const struct SlRaft *raft, struct SlVersion previous,
            uint64_t *hint)
{
    uint64_t last = SlRaft_LastIndex(raft);

    if (previous.index <= raft->commit) {
        return true;
    }
    if (previous.index > last) {
        *hint = last;
        return false;
    }
    *hint = raft->commit;
    return SlRaft_TermAt(raft, previous.index) == previous.term;
}

/// Drops records that another leader never committed.
static enum SlStatus
truncate_log(struct SlRaft *raft, uint64_t index)
{
    struct SlStorage *storage = raft->options.storage;
    enum SlStatus status = storage->type->truncate(storage, index);

    if (raft->synced >= index) {
        raft->synced = index - 1;
    }
    if (raft->members_index >= index) {
        SlRaft_RebuildMembers(raft);
    }
    if (status != SL_OK) {
        /* Whether the old records are gone for good is not known. */
        SlRaft_StorageFailed(raft, SL_IO);
    }
    return status;
}

static enum SlStatus
append_entry(struct SlRaft *raft, const struct SlLogEntry *entry)
{
    struct SlLogRecord record = {.term = entry->term,
                                 .index = entry->index,
                                 .data = entry->data,
                                 .data_bytes = entry->data_bytes};
    struct SlChange change;
    enum SlStatus status;

    if (entry->index <= raft->commit) {
        return SL_OK;
    }
    if (entry->index <= SlRaft_LastIndex(raft)) {
        if (SlRaft_TermAt(raft, entry->index) == entry->term) {
            return SL_OK;
        }
        status = truncate_log(raft, entry->index);
        if (status != SL_OK) {
            return status;
        }
    }
    status = SlChange_Decode(entry->data, entry->data_bytes, &change);
    if (status == SL_OK) {
        status = SlRaft_Append(raft, &record, &change);
        SlChange_Release(&change);
    }
    return status;
}

/// Takes entries in order; returns the last index that now matches.
static uint64_t
append_entries(struct SlRaft *raft, const struct SlAppend *append)
{
    uint64_t matched = append->previous.index;

    for (uint32_t i = 0; i < append->entry_count; i++) {
        const struct SlLogEntry *entry = &append->entries[i];
        enum SlStatus status = SL_MALFORMED;

        if (entry->index == matched + 1 && entry->term <= append->term) {
            status = append_entry(raft, entry);
        }
        if (status != SL_OK) {
            raft->options.host_type->event(raft->options.host, SL_EVENT_FAILED,
                                           NULL, SlStatus_Name(status),
                                           (int64_t)entry->index, 0);
            break;
        }
        matched = entry->index;
    }
    return matched;
}

/// The leader stops: its lease binds nobody any more.
static void
handle_resignation(struct SlRaft *raft)
{
    raft->leader = 0;
    raft->leader_heard_us = 0;
    raft->fresh_until_us = 0;
    raft->offered_fresh_until_us = 0;
    raft->election_due_us =
        raft->now_us + SlRaft_NextRandom(raft) % raft->options.heartbeat_us;
}

void
SlRaft_OnAppend(struct SlRaft *raft, uint64_t from,
                const struct SlAppend *append)
{
    uint64_t hint = 0;
    uint64_t commit;

    if (!SlRaft_AcceptLeader(raft, from, append->term)) {
        return;
    }
    if (append->resigns) {
        handle_resignation(raft);
        return;
    }
    raft->ack_due = true;
    raft->ack.term = append->term;
    raft->ack.round = append->round;
    raft->ack.incarnation = raft->hard.incarnation;
    raft->ack.success = matches_log(raft, append->previous, &hint);
    raft->ack.index = hint;
    if (!raft->ack.success) {
        return;
    }
    raft->ack.index = append_entries(raft, append);
    commit =
        append->commit < raft->ack.index ? append->commit : raft->ack.index;
    if (commit > raft->received_commit_index) {
        raft->received_commit_index = commit;
    }
    raft->leader_commit_index = append->commit;
    /* The message may have waited for this process, while another led: it was
       sent after the answer whose stamp it returns had arrived and been kept,
       and no more is certain. */
    if (append->lease_us > 0 && append->echo.us != 0) {
        raft->fresh_commit_index = append->commit;
        raft->offered_fresh_until_us =
            append->echo.us + append->echo.kept_us + append->lease_us +
            raft->options.election_us / DRIFT_DIVISOR;
    }
}

static void
apply_received_commit(struct SlRaft *raft)
{
    uint64_t commit = raft->received_commit_index < raft->synced
                          ? raft->received_commit_index
                          : raft->synced;

    if (commit > raft->commit) {
        raft->commit = commit;
    }
    SlRaft_ApplyCommitted(raft);
    if (raft->applied.index >= raft->fresh_commit_index) {
        raft->fresh_until_us = raft->offered_fresh_until_us;
    }
}

/// Notes once that all that the leader had committed is in this folder.
static void
mark_caught_up(struct SlRaft *raft)
{
    if (!raft->hard.caught_up && raft->ack.success &&
        raft->synced >= raft->leader_commit_index &&
        raft->leader_commit_index > 0) {
        raft->hard.caught_up = true;
        SlRaft_SaveHardState(raft);
    }
}

void
SlRaft_FollowerFlush(struct SlRaft *raft)
{
    struct SlMessage message = {.kind = SL_MESSAGE_APPENDED};

    if (!raft->ack_due) {
        return;
    }
    raft->ack_due = false;
    if (raft->hard_state_unsaved && SlRaft_SaveHardState(raft) != SL_OK) {
        return;
    }
    if (raft->ack.term != raft->hard.term || raft->broken) {
        return;
    }
    SlRaft_Sync(raft);
    if (raft->broken || raft->hard_state_unsaved) {
        return;
    }
    if (raft->ack.success && raft->ack.index > raft->synced &&
        raft->ack.index > raft->commit) {
        raft->ack.index =
            raft->synced > raft->commit ? raft->synced : raft->commit;
    }
    mark_caught_up(raft);
    message.appended = raft->ack;
    message.appended.sent.us = raft->now_us;
    raft->options.host_type->send(raft->options.host, raft->leader, &message);
    apply_received_commit(raft);
}
