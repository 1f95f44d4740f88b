#include <string.h>

#include "raft.h"

enum {
    /// A leader treats its lease as expired a quarter of the election timeout
    /// early. A follower adds half of that quarter to the lease, because its
    /// own measurement involves no unknown message delay. The other half
    /// allows for clock drift.
    LEASE_EXTENSION_DIVISOR = 8,
};

static void
send_current_term(struct SlRaft *raft, uint64_t recipient_id)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_APPENDED,
        .appended = {.term = raft->hard_state.term,
                     .index = raft->synced_index,
                     .incarnation = raft->hard_state.incarnation}};

    raft->options.host_type->send_message(raft->options.host, recipient_id,
                                          &message);
}

bool
SlRaft_AcceptLeader(struct SlRaft *raft, uint64_t sender_id, uint64_t term)
{
    if (term < raft->hard_state.term) {
        send_current_term(raft, sender_id);
        return false;
    }
    if (raft->storage_failed ||
        (raft->state == SL_CONTROL_LEADER && term == raft->hard_state.term)) {
        return false;
    }
    if (term > raft->hard_state.term || raft->leader_id != sender_id ||
        raft->state == SL_CONTROL_CANDIDATE) {
        SlRaft_BecomeFollower(raft, term, sender_id, "newer_leader");
    }
    raft->last_leader_message_us = raft->now_us;
    SlRaft_ResetElection(raft);
    return true;
}

/// True when this log matches the leader's up to previous. Otherwise *hint is
/// the index from which the leader should retry.
static bool
matches_log(const struct SlRaft *raft, struct SlVersion previous,
            uint64_t *hint)
{
    uint64_t last_index = SlRaft_LastIndex(raft);

    if (previous.index <= raft->commit_index) {
        return true;
    }
    if (previous.index > last_index) {
        *hint = last_index;
        return false;
    }
    *hint = raft->commit_index;
    return SlRaft_TermAt(raft, previous.index) == previous.term;
}

/// Removes the records from index on. They come from a former leader, which
/// never committed them. After a failure they are still in the log, and the
/// leader sends the record that replaces them again.
static enum SlStatus
truncate_log(struct SlRaft *raft, uint64_t index)
{
    struct SlStorage *storage = raft->options.storage;
    enum SlStatus status;

    if (raft->now_us < raft->rewrite_due_us) {
        return SL_DISK_FULL;
    }
    status = storage->type->truncate(storage, index);
    if (status != SL_OK) {
        SlRaft_StorageFailed(raft, status);
        return status;
    }
    if (raft->synced_index >= index) {
        raft->synced_index = index - 1;
    }
    if (raft->members_index >= index) {
        SlRaft_RebuildMembers(raft);
    }
    SlRaft_StorageWorks(raft);
    return SL_OK;
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

    if (entry->index <= raft->commit_index) {
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
        status = SlRaft_AppendRecord(raft, &record, &change);
        SlChange_Release(&change);
    }
    return status;
}

/// Appends the entries in order. Returns the last index that matches the
/// leader's log.
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
        if (status == SL_DISK_FULL) {
            break;
        }
        if (status != SL_OK) {
            raft->options.host_type->emit_event(
                raft->options.host, SL_EVENT_FAILED, NULL,
                SlStatus_Name(status), (int64_t)entry->index, 0);
            break;
        }
        matched = entry->index;
    }
    return matched;
}

/// The leader stops and gives up its lease: starts an election within one
/// heartbeat interval.
static void
handle_resignation(struct SlRaft *raft)
{
    raft->resigned_id = raft->leader_id;
    raft->leader_id = 0;
    raft->last_leader_message_us = 0;
    raft->votes_refused_until_us = 0;
    raft->fresh_until_us = 0;
    raft->offered_fresh_until_us = 0;
    raft->recent_until_us = 0;
    raft->offered_recent_until_us = 0;
    raft->election_due_us =
        raft->now_us + SlRaft_NextRandom(raft) % raft->options.heartbeat_us;
}

void
SlRaft_OnAppend(struct SlRaft *raft, uint64_t sender_id,
                const struct SlAppend *append)
{
    uint64_t hint = 0;
    uint64_t commit;

    if (!SlRaft_AcceptLeader(raft, sender_id, append->term)) {
        return;
    }
    if (append->resigns) {
        handle_resignation(raft);
        return;
    }
    raft->announced_election_us = append->election_us != 0
                                      ? append->election_us
                                      : raft->options.election_us;
    raft->pending_ack.election_us =
        SlRaft_PromiseElectionUs(raft, raft->announced_election_us);
    SlRaft_RefuseVotesFor(raft, raft->pending_ack.election_us);
    SlRaft_ResetElection(raft);
    raft->ack_due = true;
    raft->pending_ack.term = append->term;
    raft->pending_ack.round = append->round;
    raft->pending_ack.incarnation = raft->hard_state.incarnation;
    raft->pending_ack.success = matches_log(raft, append->previous, &hint);
    raft->pending_ack.index = hint;
    if (!raft->pending_ack.success) {
        return;
    }
    raft->pending_ack.index = append_entries(raft, append);
    commit = append->commit < raft->pending_ack.index
                 ? append->commit
                 : raft->pending_ack.index;
    if (commit > raft->received_commit_index) {
        raft->received_commit_index = commit;
    }
    raft->leader_commit_index = append->commit;
    /* The message may have been queued while this process was stalled and
       another leader was elected. The only certain bound on its send time is
       the echoed send time of a reply of this instance, plus the time for
       which the leader kept it. */
    if (append->lease_us > 0 && append->echo.us != 0) {
        uint64_t sent_us = append->echo.us + append->echo.kept_us;
        uint64_t lease_us = SlRaft_LeaseUs(raft->options.election_us);

        /* The leader may commit without this instance for as long as a lease
           lasts that it grants here, so only the shortest one is used. */
        lease_us = append->lease_us < lease_us ? append->lease_us : lease_us;
        raft->fresh_commit_index = append->commit;
        raft->offered_fresh_until_us =
            sent_us + lease_us +
            raft->options.election_us / LEASE_EXTENSION_DIVISOR;
        raft->offered_recent_until_us =
            sent_us + (append->lease_us < SL_RAFT_RECENT_MAX_US
                           ? append->lease_us
                           : SL_RAFT_RECENT_MAX_US);
    }
}

static void
apply_received_commit(struct SlRaft *raft)
{
    uint64_t commit = raft->received_commit_index < raft->synced_index
                          ? raft->received_commit_index
                          : raft->synced_index;

    if (commit > raft->commit_index) {
        raft->commit_index = commit;
    }
    SlRaft_ApplyCommitted(raft);
    if (raft->applied.index >= raft->fresh_commit_index) {
        raft->fresh_until_us = raft->offered_fresh_until_us;
        raft->recent_until_us = raft->offered_recent_until_us;
    }
}

/// Marks the data folder as caught up once it contains all records that the
/// leader had committed. Records past the acknowledged one may be a former
/// leader's, which a full disk kept from being removed.
static void
mark_caught_up(struct SlRaft *raft)
{
    if (!raft->hard_state.caught_up && raft->pending_ack.success &&
        raft->pending_ack.index >= raft->leader_commit_index &&
        raft->leader_commit_index > 0) {
        raft->hard_state.caught_up = true;
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
    if (raft->pending_ack.term != raft->hard_state.term ||
        raft->storage_failed) {
        return;
    }
    SlRaft_SyncLog(raft);
    if (raft->storage_failed || raft->hard_state_unsaved) {
        return;
    }
    if (raft->pending_ack.success &&
        raft->pending_ack.index > raft->synced_index &&
        raft->pending_ack.index > raft->commit_index) {
        raft->pending_ack.index = raft->synced_index > raft->commit_index
                                      ? raft->synced_index
                                      : raft->commit_index;
    }
    mark_caught_up(raft);
    message.appended = raft->pending_ack;
    message.appended.sent.us = raft->now_us;
    raft->options.host_type->send_message(raft->options.host, raft->leader_id,
                                          &message);
    apply_received_commit(raft);
}
