#include "raft.h"

#include <string.h>

/// Applies the records that the log itself marks as committed, so that the
/// state before the restart can be served, marked as possibly out of date.
static void
apply_logged_commit(struct SlRaft *raft)
{
    uint64_t last = SlRaft_LastIndex(raft);
    uint64_t commit =
        raft->logged_commit_index < last ? raft->logged_commit_index : last;

    if (commit > raft->commit_index) {
        raft->commit_index = commit;
        SlRaft_ApplyCommitted(raft);
    }
}

/// Loads the hard state, the snapshot and the log from storage.
static enum SlStatus
load_durable_state(struct SlRaft *raft)
{
    struct SlStorage *storage = raft->options.storage;
    struct SlVersion last;
    const uint8_t *bytes;
    size_t length_bytes;
    enum SlStatus status = SL_OK;

    storage->type->copy_hard_state(storage, &raft->hard_state);
    storage->type->get_snapshot(storage, &last, &bytes, &length_bytes);
    raft->synced_index = SlRaft_LastIndex(raft);
    if (bytes != NULL) {
        status = SlRaft_LoadSnapshot(raft, last, bytes, length_bytes);
    }
    if (status == SL_OK && raft->options.bootstrap &&
        raft->hard_state.term == 0 && raft->synced_index <= 1) {
        status = SlRaft_Bootstrap(raft);
    }
    if (status == SL_OK) {
        status = SlRaft_RebuildMembers(raft);
    }
    if (status == SL_OK && raft->options.self_forming) {
        apply_logged_commit(raft);
    }
    return status;
}

enum SlStatus
SlRaft_Open(struct SlRaft *raft, const struct SlRaftOptions *options,
            uint64_t now_us, struct SlError *error)
{
    struct SlStorage *storage = options->storage;
    enum SlStatus status;

    raft->options = *options;
    raft->now_us = now_us;
    raft->random_state = options->seed ^ options->node_id;
    raft->state = SL_CONTROL_LEARNER;
    raft->last_leader_message_us = now_us;
    status = load_durable_state(raft);
    /* A lease granted before the restart may still be valid. */
    SlRaft_RefuseVotesAfterStart(raft);
    if (status == SL_DAMAGED) {
        return SlError_Set(error, status, SL_STEP_RECOVER, NULL,
                           "snapshot or log cannot be decoded although the "
                           "checksums match");
    }
    if (status != SL_OK) {
        return SlError_Set(error, status, SL_STEP_RECOVER, NULL,
                           "cannot use the stored state: %s",
                           storage->type->last_error(storage)->message);
    }
    raft->state =
        SlRaft_IsElectable(raft) ? SL_CONTROL_FOLLOWER : SL_CONTROL_LEARNER;
    SlRaft_ResetElection(raft);
    /* Storage that could not make durable what it read refuses this. */
    status = storage->type->sync(storage);
    if (status != SL_OK) {
        SlRaft_StorageFailed(raft, status);
    }
    options->host_type->emit_event(
        options->host, SL_EVENT_RECOVERED, NULL,
        SlRaft_IsElectable(raft) ? "voter" : "learner",
        (int64_t)raft->snapshot_last.index,
        (int64_t)(raft->synced_index - raft->snapshot_last.index));
    return SL_OK;
}

void
SlRaft_Close(struct SlRaft *raft)
{
    SlBuffer_Release(&raft->incoming_snapshot);
    SlBuffer_Release(&raft->encode_buffer);
}

void
SlRaft_Tick(struct SlRaft *raft, uint64_t now_us)
{
    raft->now_us = now_us;
    SlRaft_StorageTick(raft);
    if (raft->storage_failed) {
        return;
    }
    if (raft->state == SL_CONTROL_LEADER) {
        SlRaft_LeaderTick(raft);
    }
    else {
        SlRaft_ElectionTick(raft);
    }
}

void
SlRaft_HandleMessage(struct SlRaft *raft, uint64_t now_us, uint64_t sender_id,
                     const struct SlMessage *message)
{
    raft->now_us = now_us;
    if (raft->storage_failed) {
        return;
    }
    switch (message->kind) {
    case SL_MESSAGE_VOTE:
        SlRaft_OnVote(raft, sender_id, &message->vote);
        break;
    case SL_MESSAGE_VOTED:
        SlRaft_OnVoted(raft, sender_id, &message->voted);
        break;
    case SL_MESSAGE_APPEND:
        SlRaft_OnAppend(raft, sender_id, &message->append);
        break;
    case SL_MESSAGE_APPENDED:
        SlRaft_OnAppended(raft, sender_id, &message->appended);
        break;
    case SL_MESSAGE_INSTALL:
        SlRaft_OnInstall(raft, sender_id, &message->install);
        break;
    case SL_MESSAGE_INSTALLED:
        SlRaft_OnInstalled(raft, sender_id, &message->installed);
        break;
    default:
        break;
    }
}

void
SlRaft_Flush(struct SlRaft *raft, uint64_t now_us)
{
    raft->now_us = now_us;
    if (raft->storage_failed) {
        return;
    }
    if (raft->state == SL_CONTROL_LEADER) {
        SlRaft_LeaderFlush(raft);
    }
    else {
        SlRaft_FollowerFlush(raft);
    }
}

void
SlRaft_LinkUp(struct SlRaft *raft, uint64_t now_us, uint64_t node_id)
{
    struct SlRaftProgress *progress = SlRaft_FindProgress(raft, node_id);

    raft->now_us = now_us;
    if (progress != NULL && raft->state == SL_CONTROL_LEADER) {
        progress->next_index = progress->match_index + 1;
        progress->install_sent_us = 0;
        progress->append_due = true;
    }
}

bool
SlRaft_IsReady(const struct SlRaft *raft)
{
    return raft->state == SL_CONTROL_LEADER &&
           raft->commit_index >= raft->term_start_index;
}

uint64_t
SlRaft_LeaseRemainingUs(const struct SlRaft *raft, uint64_t now_us)
{
    uint64_t until_us = raft->fresh_until_us;

    if (raft->storage_failed) {
        return 0;
    }
    if (raft->state == SL_CONTROL_LEADER) {
        until_us = SlRaft_IsReady(raft) ? SlRaft_QuorumLeaseUntilUs(raft) : 0;
    }
    return until_us > now_us ? until_us - now_us : 0;
}

bool
SlRaft_IsFresh(const struct SlRaft *raft, uint64_t now_us)
{
    return SlRaft_LeaseRemainingUs(raft, now_us) > 0;
}

bool
SlRaft_IsRecent(const struct SlRaft *raft, uint64_t now_us)
{
    return SlRaft_IsFresh(raft, now_us) ||
           (raft->state != SL_CONTROL_LEADER && !raft->storage_failed &&
            now_us < raft->recent_until_us);
}
