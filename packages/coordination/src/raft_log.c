#include <string.h>

#include "raft.h"

enum {
    /// Minimum time between two reports of failed writes.
    DISK_EVENT_INTERVAL_US = 1000 * 1000,
};

uint64_t
SlRaft_LastIndex(const struct SlRaft *raft)
{
    uint64_t first;
    uint64_t last;

    raft->options.storage->type->index_range(raft->options.storage, &first,
                                             &last);
    return last;
}

uint64_t
SlRaft_FirstIndex(const struct SlRaft *raft)
{
    uint64_t first;
    uint64_t last;

    raft->options.storage->type->index_range(raft->options.storage, &first,
                                             &last);
    return first;
}

uint64_t
SlRaft_TermAt(const struct SlRaft *raft, uint64_t index)
{
    struct SlStorage *storage = raft->options.storage;
    struct SlLogRecord record;

    if (index == raft->snapshot_last.index) {
        return raft->snapshot_last.term;
    }
    if (storage->type->read_record(storage, index, &record) != SL_OK) {
        return 0;
    }
    return record.term;
}

struct SlVersion
SlRaft_LastVersion(const struct SlRaft *raft)
{
    uint64_t last = SlRaft_LastIndex(raft);

    return (struct SlVersion){.term = SlRaft_TermAt(raft, last),
                              .index = last};
}

/// Counts a failure, and reports it unless one was just reported.
static void
note_failure(struct SlRaft *raft, enum SlStatus status)
{
    if (raft->storage_failures == 0) {
        raft->failing_since_us = raft->now_us;
    }
    raft->storage_failures++;
    raft->rewrite_due_us = raft->now_us + SL_RAFT_STORAGE_RETRY_US;
    if (raft->now_us < raft->disk_event_due_us) {
        return;
    }
    raft->failure_reported = true;
    raft->disk_event_due_us = raft->now_us + DISK_EVENT_INTERVAL_US;
    raft->options.host_type->emit_event(raft->options.host, SL_EVENT_DISK,
                                        NULL, SlStatus_Name(status), 0, 0);
}

void
SlRaft_StorageWorks(struct SlRaft *raft)
{
    if (!raft->failure_reported || raft->storage_failed ||
        raft->hard_state_unsaved) {
        return;
    }
    raft->options.host_type->emit_event(
        raft->options.host, SL_EVENT_DISK_WORKS, NULL, "written",
        (int64_t)(raft->now_us - raft->failing_since_us),
        (int64_t)raft->storage_failures);
    raft->storage_failures = 0;
    raft->failure_reported = false;
}

void
SlRaft_StorageFailed(struct SlRaft *raft, enum SlStatus status)
{
    note_failure(raft, status);
    if (status == SL_DISK_FULL || status == SL_NO_MEMORY) {
        return;
    }
    raft->storage_failed = true;
    raft->ack_due = false;
    raft->recover_due_us = status == SL_DAMAGED
                               ? UINT64_MAX
                               : raft->now_us + SL_RAFT_STORAGE_RETRY_US;
    if (raft->state != SL_CONTROL_LEARNER) {
        SlRaft_BecomeFollower(raft, raft->hard_state.term, 0,
                              "storage_failed");
    }
}

enum SlStatus
SlRaft_SaveHardState(struct SlRaft *raft)
{
    struct SlStorage *storage = raft->options.storage;
    enum SlStatus status =
        storage->type->save_hard_state(storage, &raft->hard_state);

    raft->hard_state_unsaved = status != SL_OK;
    if (status != SL_OK) {
        SlRaft_StorageFailed(raft, status);
        return status;
    }
    SlRaft_StorageWorks(raft);
    return SL_OK;
}

/// Attempts to take part again with the log and the hard state in memory,
/// which storage writes anew.
static void
recover_storage(struct SlRaft *raft)
{
    struct SlStorage *storage = raft->options.storage;
    enum SlStatus status = storage->type->recover(storage);

    raft->recover_due_us = raft->now_us + SL_RAFT_STORAGE_RETRY_US;
    if (status != SL_OK) {
        note_failure(raft, status);
        return;
    }
    raft->storage_failed = false;
    raft->synced_index = SlRaft_LastIndex(raft);
    SlRaft_RebuildMembers(raft);
    SlRaft_ResetElection(raft);
    SlRaft_SaveHardState(raft);
}

void
SlRaft_StorageTick(struct SlRaft *raft)
{
    if (raft->storage_failed) {
        if (raft->now_us >= raft->recover_due_us) {
            recover_storage(raft);
        }
        return;
    }
    if (raft->hard_state_unsaved && raft->now_us >= raft->rewrite_due_us) {
        SlRaft_SaveHardState(raft);
    }
}

enum SlStatus
SlRaft_SyncLog(struct SlRaft *raft)
{
    struct SlStorage *storage = raft->options.storage;
    enum SlStatus status;

    if (SlRaft_LastIndex(raft) == raft->synced_index) {
        return SL_OK;
    }
    status = storage->type->sync(storage);
    if (status == SL_OK) {
        raft->synced_index = SlRaft_LastIndex(raft);
        SlRaft_StorageWorks(raft);
        return SL_OK;
    }
    if (raft->members_index > SlRaft_LastIndex(raft)) {
        SlRaft_RebuildMembers(raft);
    }
    SlRaft_StorageFailed(raft, status);
    return status;
}

enum SlStatus
SlRaft_AppendRecord(struct SlRaft *raft, const struct SlLogRecord *record,
                    const struct SlChange *change)
{
    struct SlStorage *storage = raft->options.storage;
    enum SlStatus status = storage->type->append(storage, record, 1);

    if (status != SL_OK) {
        return status;
    }
    if (change->time_us > raft->last_time_us) {
        raft->last_time_us = change->time_us;
    }
    if (SlRaftMembers_Apply(&raft->members, change)) {
        raft->members_index = record->index;
        SlRaft_OnMembersChanged(raft);
    }
    return SL_OK;
}

static enum SlStatus
apply_record(struct SlRaft *raft, uint64_t index)
{
    struct SlStorage *storage = raft->options.storage;
    struct SlLogRecord record;
    struct SlChange change;
    struct SlVersion version;
    enum SlStatus status = storage->type->read_record(storage, index, &record);

    if (status == SL_OK) {
        status = SlChange_Decode(record.data, record.data_bytes, &change);
    }
    if (status != SL_OK) {
        return status;
    }
    version = (struct SlVersion){.term = record.term, .index = index};
    raft->applied = version;
    SlRaftMembers_Apply(&raft->applied_members, &change);
    raft->options.host_type->apply_change(raft->options.host, version,
                                          &change);
    SlChange_Release(&change);
    return SL_OK;
}

void
SlRaft_ApplyCommitted(struct SlRaft *raft)
{
    while (raft->applied.index < raft->commit_index && !raft->storage_failed) {
        enum SlStatus status = apply_record(raft, raft->applied.index + 1);

        if (status != SL_OK) {
            SlRaft_StorageFailed(raft, status == SL_NO_MEMORY ? SL_NO_MEMORY
                                                              : SL_DAMAGED);
            return;
        }
    }
    if (raft->applied.index - raft->snapshot_last.index >=
            raft->options.snapshot_entries &&
        raft->now_us >= raft->rewrite_due_us) {
        SlRaft_TakeSnapshot(raft);
    }
}
