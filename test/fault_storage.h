#ifndef SAVORYLEDGE_TEST_FAULT_STORAGE_H
#define SAVORYLEDGE_TEST_FAULT_STORAGE_H

/// Storage in memory for tests (a struct SlStorage): loses unsynced data when
/// power is lost, crashes at a given write, reports a full disk, or loses
/// writes that it acknowledged.

#include <stdlib.h>

#include "savoryledge/state/storage.h"

/// Which acknowledged writes are lost in a crash.
enum fault_loss {
    /// No acknowledged write is lost.
    FAULT_LOSS_NONE = 0,
    /// A crash loses the term and the vote, although they were reported as
    /// saved.
    FAULT_LOSS_VOTE,
    /// A crash loses records of the log, although they were reported as
    /// synced.
    FAULT_LOSS_SYNC,
};

struct fault_storage {
    struct SlStorage storage;
    /// The storage that contains the data: in memory, or in a folder when the
    /// test replaces it.
    struct SlStorage *memory;
    /// Hard state that survives a loss of power.
    struct SlHardState durable_state;
    /// Index of the last record that survives a loss of power.
    uint64_t synced_index;
    enum fault_loss loss;
    /// True while the storage reports that the disk is full.
    bool disk_full;
    /// True while every write fails with SL_IO.
    bool io_fails;
    /// A write failed with SL_IO: writes are refused until recover succeeds.
    bool refuses_writes;
    /// Number of writes until the simulated crash; 0 for no crash.
    uint32_t writes_until_crash;
    /// True after the simulated crash, when every operation that writes fails.
    bool has_crashed;
    /// Arbitrary number that determines how much of the write at the crash is
    /// stored.
    uint32_t crash_write_seed;
    struct SlError error;
};

/// Counts a write. Returns false when the instance crashes at this write or
/// has crashed before.
static inline bool
fault_count_write(struct fault_storage *fault)
{
    if (!fault->has_crashed && fault->writes_until_crash > 0 &&
        --fault->writes_until_crash == 0) {
        fault->has_crashed = true;
        return false;
    }
    return !fault->has_crashed;
}

/// True when a write must fail with SL_IO although the instance has not
/// crashed.
static inline bool
fault_is_refused(struct fault_storage *fault)
{
    fault->refuses_writes = fault->refuses_writes || fault->io_fails;
    return fault->refuses_writes;
}

static inline enum SlStatus
fault_set_error(struct fault_storage *fault, enum SlStatus status)
{
    return SlError_Set(&fault->error, status, SL_STEP_SYNC, NULL,
                       "injected fault");
}

static inline uint64_t
fault_last_index(const struct fault_storage *fault)
{
    uint64_t first_index;
    uint64_t last_index;

    fault->memory->type->index_range(fault->memory, &first_index, &last_index);
    return last_index;
}

static enum SlStatus
storage_save_hard_state_fault(struct SlStorage *storage,
                              const struct SlHardState *state)
{
    struct fault_storage *fault = (struct fault_storage *)storage;
    bool alive = fault_count_write(fault);
    enum SlStatus status;

    if ((!alive && fault->crash_write_seed % 2 == 0) ||
        fault_is_refused(fault)) {
        return fault_set_error(fault, SL_IO);
    }
    if (fault->disk_full) {
        return fault_set_error(fault, SL_DISK_FULL);
    }
    if (fault->loss != FAULT_LOSS_VOTE ||
        fault->durable_state.caught_up != state->caught_up) {
        fault->durable_state = *state;
    }
    status = fault->memory->type->save_hard_state(fault->memory, state);
    return alive ? status : fault_set_error(fault, SL_IO);
}

static enum SlStatus
storage_append_fault(struct SlStorage *storage,
                     const struct SlLogRecord *records, uint32_t count)
{
    struct fault_storage *fault = (struct fault_storage *)storage;

    if (fault->has_crashed) {
        return fault_set_error(fault, SL_IO);
    }
    return fault->memory->type->append(fault->memory, records, count);
}

static enum SlStatus
storage_sync_fault(struct SlStorage *storage)
{
    struct fault_storage *fault = (struct fault_storage *)storage;
    uint64_t last_index = fault_last_index(fault);
    enum SlStatus status;

    if (fault->has_crashed) {
        return fault_set_error(fault, SL_IO);
    }
    if (last_index <= fault->synced_index) {
        return fault->memory->type->sync(fault->memory);
    }
    if (fault->disk_full || fault_is_refused(fault)) {
        fault->memory->type->truncate(fault->memory, fault->synced_index + 1);
        return fault_set_error(fault,
                               fault->refuses_writes ? SL_IO : SL_DISK_FULL);
    }
    if (!fault_count_write(fault)) {
        fault->synced_index +=
            fault->crash_write_seed % (last_index - fault->synced_index + 1);
        return fault_set_error(fault, SL_IO);
    }
    status = fault->memory->type->sync(fault->memory);
    if (status == SL_OK && fault->loss != FAULT_LOSS_SYNC) {
        fault->synced_index = last_index;
    }
    return status;
}

static enum SlStatus
storage_truncate_fault(struct SlStorage *storage, uint64_t index)
{
    struct fault_storage *fault = (struct fault_storage *)storage;
    bool alive = fault_count_write(fault);
    enum SlStatus status;

    if ((!alive && fault->crash_write_seed % 2 == 0) ||
        fault_is_refused(fault)) {
        return fault_set_error(fault, SL_IO);
    }
    if (fault->disk_full && index <= fault->synced_index) {
        return fault_set_error(fault, SL_DISK_FULL);
    }
    status = fault->memory->type->truncate(fault->memory, index);
    if (status == SL_OK && fault->synced_index >= index) {
        fault->synced_index = index - 1;
    }
    return alive ? status : fault_set_error(fault, SL_IO);
}

static enum SlStatus
storage_save_snapshot_fault(struct SlStorage *storage,
                            struct SlVersion last_version,
                            const uint8_t *bytes, size_t length_bytes,
                            uint64_t keep_from)
{
    struct fault_storage *fault = (struct fault_storage *)storage;
    bool alive = fault_count_write(fault);
    enum SlStatus status;

    if ((!alive && fault->crash_write_seed % 2 == 0) ||
        fault_is_refused(fault)) {
        return fault_set_error(fault, SL_IO);
    }
    if (fault->disk_full) {
        return fault_set_error(fault, SL_DISK_FULL);
    }
    status = fault->memory->type->save_snapshot(
        fault->memory, last_version, bytes, length_bytes, keep_from);
    if (status == SL_OK && (fault->loss != FAULT_LOSS_SYNC ||
                            fault->synced_index < last_version.index)) {
        fault->synced_index = fault_last_index(fault);
    }
    return alive ? status : fault_set_error(fault, SL_IO);
}

static enum SlStatus
storage_recover_fault(struct SlStorage *storage)
{
    struct fault_storage *fault = (struct fault_storage *)storage;

    enum SlStatus status;

    if (!fault_count_write(fault) || fault->io_fails) {
        return fault_set_error(fault, SL_IO);
    }
    if (fault->disk_full) {
        return fault_set_error(fault, SL_DISK_FULL);
    }
    status = fault->memory->type->recover(fault->memory);
    if (status == SL_OK) {
        fault->refuses_writes = false;
        if (fault->loss == FAULT_LOSS_NONE) {
            fault->synced_index = fault_last_index(fault);
        }
    }
    return status;
}

static void
storage_hard_state_fault(const struct SlStorage *storage,
                         struct SlHardState *state)
{
    const struct fault_storage *fault = (const struct fault_storage *)storage;

    fault->memory->type->copy_hard_state(fault->memory, state);
}

static void
storage_snapshot_fault(const struct SlStorage *storage,
                       struct SlVersion *last_version, const uint8_t **bytes,
                       size_t *length_bytes)
{
    const struct fault_storage *fault = (const struct fault_storage *)storage;

    fault->memory->type->get_snapshot(fault->memory, last_version, bytes,
                                      length_bytes);
}

static void
storage_index_range_fault(const struct SlStorage *storage,
                          uint64_t *first_index, uint64_t *last_index)
{
    const struct fault_storage *fault = (const struct fault_storage *)storage;

    fault->memory->type->index_range(fault->memory, first_index, last_index);
}

static enum SlStatus
storage_read_record_fault(struct SlStorage *storage, uint64_t index,
                          struct SlLogRecord *record)
{
    struct fault_storage *fault = (struct fault_storage *)storage;

    return fault->memory->type->read_record(fault->memory, index, record);
}

static const struct SlError *
storage_last_error_fault(const struct SlStorage *storage)
{
    return &((const struct fault_storage *)storage)->error;
}

static void
storage_destroy_fault(struct SlStorage *storage)
{
    struct fault_storage *fault = (struct fault_storage *)storage;

    SlStorage_Destroy(fault->memory);
    free(fault);
}

static inline struct fault_storage *
fault_storage_create(uint64_t node_id, uint64_t incarnation)
{
    static const struct SlStorageType TYPE = {
        .save_hard_state = storage_save_hard_state_fault,
        .append = storage_append_fault,
        .sync = storage_sync_fault,
        .truncate = storage_truncate_fault,
        .save_snapshot = storage_save_snapshot_fault,
        .recover = storage_recover_fault,
        .copy_hard_state = storage_hard_state_fault,
        .get_snapshot = storage_snapshot_fault,
        .index_range = storage_index_range_fault,
        .read_record = storage_read_record_fault,
        .last_error = storage_last_error_fault,
        .destroy = storage_destroy_fault,
    };
    struct fault_storage *fault = calloc(1, sizeof(*fault));

    fault->storage.type = &TYPE;
    fault->memory = SlStorage_CreateMemory(node_id, incarnation);
    fault->memory->type->copy_hard_state(fault->memory, &fault->durable_state);
    return fault;
}

/// Reduces the storage to its durable state, as after a loss of power, and
/// ends the crash.
static inline void
fault_storage_lose_power(struct fault_storage *fault)
{
    fault->memory->type->truncate(fault->memory, fault->synced_index + 1);
    fault->memory->type->save_hard_state(fault->memory, &fault->durable_state);
    fault->has_crashed = false;
    fault->refuses_writes = false;
    fault->writes_until_crash = 0;
}

#endif
