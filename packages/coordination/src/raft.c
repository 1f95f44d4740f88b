#include "raft.h"

#include <string.h>

/// Applies what the log says is committed, so that the state before the
/// restart can be shown, as one that may be out of date.
static void
apply_recorded(struct SlRaft *raft)
{
    uint64_t last = SlRaft_LastIndex(raft);
    uint64_t commit =
        raft->recorded_commit < last ? raft->recorded_commit : last;

    if (commit > raft->commit) {
        raft->commit = commit;
        SlRaft_ApplyCommitted(raft);
    }
}

/// Takes up the snapshot and the log that storage holds.
static enum SlStatus
load(struct SlRaft *raft)
{
    struct SlStorage *storage = raft->options.storage;
    struct SlVersion last;
    const uint8_t *bytes;
    size_t length_bytes;
    enum SlStatus status = SL_OK;

    storage->type->hard_state(storage, &raft->hard);
    storage->type->snapshot(storage, &last, &bytes, &length_bytes);
    raft->synced = SlRaft_LastIndex(raft);
    if (bytes != NULL) {
        status = SlRaft_LoadSnapshot(raft, last, bytes, length_bytes);
    }
    if (status == SL_OK && raft->options.bootstrap && raft->hard.term == 0 &&
        raft->synced <= 1) {
        status = SlRaft_Bootstrap(raft);
    }
    if (status == SL_OK) {
        status = SlRaft_RebuildMembers(raft);
    }
    if (status == SL_OK && raft->options.self_forming) {
        apply_recorded(raft);
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
    raft->random = options->seed ^ options->node_id;
    raft->state = SL_CONTROL_LEARNER;
    /* A lease granted before a restart may still run. */
    raft->leader_heard_us = now_us;
    status = load(raft);
    if (status == SL_DAMAGED) {
        return SlError_Set(error, status, SL_STEP_RECOVER, NULL,
                           "snapshot or log cannot be decoded, though its "
                           "checksums hold");
    }
    if (status != SL_OK) {
        return SlError_Set(error, status, SL_STEP_RECOVER, NULL,
                           "durable state cannot be used: %s",
                           storage->type->last_error(storage)->message);
    }
    raft->state =
        SlRaft_MayLead(raft) ? SL_CONTROL_FOLLOWER : SL_CONTROL_LEARNER;
    SlRaft_ResetElection(raft);
    options->host_type->event(
        options->host, SL_EVENT_RECOVERED, NULL,
        SlRaft_MayLead(raft) ? "voter" : "learner",
        (int64_t)raft->snapshot_last.index,
        (int64_t)(raft->synced - raft->snapshot_last.index));
    return SL_OK;
}

void
SlRaft_Close(struct SlRaft *raft)
{
    SlBuffer_Release(&raft->incoming);
    SlBuffer_Release(&raft->scratch);
}

void
SlRaft_Tick(struct SlRaft *raft, uint64_t now_us)
{
    raft->now_us = now_us;
    if (raft->broken) {
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
SlRaft_Receive(struct SlRaft *raft, uint64_t now_us, uint64_t from,
               const struct SlMessage *message)
{
    raft->now_us = now_us;
    if (raft->broken) {
        return;
    }
    switch (message->kind) {
    case SL_MESSAGE_VOTE:
        SlRaft_OnVote(raft, from, &message->vote);
        break;
    case SL_MESSAGE_VOTED:
        SlRaft_OnVoted(raft, from, &message->voted);
        break;
    case SL_MESSAGE_APPEND:
        SlRaft_OnAppend(raft, from, &message->append);
        break;
    case SL_MESSAGE_APPENDED:
        SlRaft_OnAppended(raft, from, &message->appended);
        break;
    case SL_MESSAGE_INSTALL:
        SlRaft_OnInstall(raft, from, &message->install);
        break;
    case SL_MESSAGE_INSTALLED:
        SlRaft_OnInstalled(raft, from, &message->installed);
        break;
    default:
        break;
    }
}

void
SlRaft_Flush(struct SlRaft *raft, uint64_t now_us)
{
    raft->now_us = now_us;
    if (raft->broken) {
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
    struct SlRaftProgress *progress = SlRaft_Progress(raft, node_id);

    raft->now_us = now_us;
    if (progress != NULL && raft->state == SL_CONTROL_LEADER) {
        progress->next = progress->match + 1;
        progress->install_sent_us = 0;
        progress->send_due = true;
    }
}

bool
SlRaft_Ready(const struct SlRaft *raft)
{
    return raft->state == SL_CONTROL_LEADER &&
           raft->commit >= raft->term_start;
}

uint64_t
SlRaft_LeaseLeft(const struct SlRaft *raft, uint64_t now_us)
{
    uint64_t lease_us = raft->options.election_us / 4 * 3;
    uint64_t until_us = raft->fresh_until_us;

    if (raft->broken) {
        return 0;
    }
    if (raft->state == SL_CONTROL_LEADER) {
        uint64_t acked_us = SlRaft_QuorumAckedAt(raft);

        if (!SlRaft_Ready(raft) || acked_us == 0) {
            return 0;
        }
        until_us = acked_us + lease_us;
    }
    return until_us > now_us ? until_us - now_us : 0;
}

bool
SlRaft_Fresh(const struct SlRaft *raft, uint64_t now_us)
{
    return SlRaft_LeaseLeft(raft, now_us) > 0;
}
