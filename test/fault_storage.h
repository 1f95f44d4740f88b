#ifndef SAVORYLEDGE_TEST_FAULT_STORAGE_H
#define SAVORYLEDGE_TEST_FAULT_STORAGE_H

/// Storage in memory for tests: loses unsynced data when power is lost,
/// crashes at a given write, reports a full disk, or loses writes that it
/// acknowledged.

#include <stdlib.h>

#include "savoryledge/state/storage.h"

/// Which acknowledged writes are lost in a crash.
enum fault_loss {
    /// None.
    FAULT_LOSS_NONE = 0,
    /// Term and vote, although they were reported as saved.
    FAULT_LOSS_VOTE,
    /// Log records, although they were reported as synced.
    FAULT_LOSS_SYNC,
};

struct fault_storage {
    struct SlStorage storage;
    struct SlStorage *memory;
    /// Hard state that survives a loss of power.
    struct SlHardState durable_state;
    /// Index of the last record that survives a loss of power.
    uint64_t synced_index;
    enum fault_loss loss;
    /// The disk is full.
    bool disk_full;
    /// Number of writes until the crash; 0 for no crash.
    uint32_t writes_until_crash;
    /// The crash has happened; from then on every operation that writes fails.
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

static inline enum SlStatus
fault_set_error(struct fault_storage *fault, enum SlStatus status)
{
    return SlError_Set(&fault->error, status, SL_STEP_SYNC, NULL,
                       "injected fault");
}

static inline uint64_t
fault_last_index(const struct fault_storage *fault)
{
    uint64_t first;
    uint64_t last;

    fault->memory->type->index_range(fault->memory, &first, &last);
    return last;
}

static enum SlStatus
save_hard_state_fault(struct SlStorage *storage,
                      const struct SlHardState *state)
{
    struct fault_storage *fault = (struct fault_storage *)storage;
    bool alive = fault_count_write(fault);

    if (!alive && fault->crash_write_seed % 2 == 0) {
        return fault_set_error(fault, SL_IO);
    }
    if (fault->disk_full) {
        return fault_set_error(fault, SL_DISK_FULL);
    }
    if (fault->loss != FAULT_LOSS_VOTE ||
        fault->durable_state.caught_up != state->caught_up) {
        fault->durable_state = *state;
    }
    fault->memory->type->save_hard_state(fault->memory, state);
    return alive ? SL_OK : fault_set_error(fault, SL_IO);
}

static enum SlStatus
append_fault(struct SlStorage *storage, const struct SlLogRecord *records,
             uint32_t count)
{
    struct fault_storage *fault = (struct fault_storage *)storage;

    if (fault->has_crashed) {
        return fault_set_error(fault, SL_IO);
    }
    return fault->memory->type->append(fault->memory, records, count);
}

static enum SlStatus
sync_fault(struct SlStorage *storage)
{
    struct fault_storage *fault = (struct fault_storage *)storage;
    uint64_t last = fault_last_index(fault);

    if (fault->has_crashed) {
        return fault_set_error(fault, SL_IO);
    }
    if (last <= fault->synced_index) {
        return SL_OK;
    }
    if (fault->disk_full) {
        fault->memory->type->truncate(fault->memory, fault->synced_index + 1);
        return fault_set_error(fault, SL_DISK_FULL);
    }
    if (!fault_count_write(fault)) {
        fault->synced_index +=
            fault->crash_write_seed % (last - fault->synced_index + 1);
        return fault_set_error(fault, SL_IO);
    }
    if (fault->loss != FAULT_LOSS_SYNC) {
        fault->synced_index = last;
    }
    return SL_OK;
}

static enum SlStatus
truncate_fault(struct SlStorage *storage, uint64_t index)
{
    struct fault_storage *fault = (struct fault_storage *)storage;
    bool alive = fault_count_write(fault);

    if (!alive && fault->crash_write_seed % 2 == 0) {
        return fault_set_error(fault, SL_IO);
    }
    fault->memory->type->truncate(fault->memory, index);
    if (fault->synced_index >= index) {
        fault->synced_index = index - 1;
    }
    return alive ? SL_OK : fault_set_error(fault, SL_IO);
}

static enum SlStatus
save_snapshot_fault(struct SlStorage *storage, struct SlVersion last,
                    const uint8_t *bytes, size_t length_bytes,
                    uint64_t keep_from)
{
    struct fault_storage *fault = (struct fault_storage *)storage;
    bool alive = fault_count_write(fault);

    if (!alive && fault->crash_write_seed % 2 == 0) {
        return fault_set_error(fault, SL_IO);
    }
    if (fault->disk_full) {
        return fault_set_error(fault, SL_DISK_FULL);
    }
    fault->memory->type->save_snapshot(fault->memory, last, bytes,
                                       length_bytes, keep_from);
    if (fault->loss != FAULT_LOSS_SYNC || fault->synced_index < last.index) {
        fault->synced_index = fault_last_index(fault);
    }
    return alive ? SL_OK : fault_set_error(fault, SL_IO);
}

static void
hard_state_fault(const struct SlStorage *storage, struct SlHardState *state)
{
    const struct fault_storage *fault = (const struct fault_storage *)storage;

    fault->memory->type->hard_state(fault->memory, state);
}

static void
snapshot_fault(const struct SlStorage *storage, struct SlVersion *last,
               const uint8_t **bytes, size_t *length_bytes)
{
    const struct fault_storage *fault = (const struct fault_storage *)storage;

    fault->memory->type->snapshot(fault->memory, last, bytes, length_bytes);
}

static void
range_fault(const struct SlStorage *storage, uint64_t *first, uint64_t *last)
{
    const struct fault_storage *fault = (const struct fault_storage *)storage;

    fault->memory->type->index_range(fault->memory, first, last);
}

static enum SlStatus
read_fault(struct SlStorage *storage, uint64_t index,
           struct SlLogRecord *record)
{
    struct fault_storage *fault = (struct fault_storage *)storage;

    return fault->memory->type->read_record(fault->memory, index, record);
}

static const struct SlError *
error_fault(const struct SlStorage *storage)
{
    return &((const struct fault_storage *)storage)->error;
}

static void
destroy_fault(struct SlStorage *storage)
{
    struct fault_storage *fault = (struct fault_storage *)storage;

    SlStorage_Destroy(fault->memory);
    free(fault);
}

static inline struct fault_storage *
fault_storage_create(uint64_t node_id, uint64_t incarnation)
{
    static const struct SlStorageType TYPE = {
        .save_hard_state = save_hard_state_fault,
        .append = append_fault,
        .sync = sync_fault,
        .truncate = truncate_fault,
        .save_snapshot = save_snapshot_fault,
        .hard_state = hard_state_fault,
        .snapshot = snapshot_fault,
        .index_range = range_fault,
        .read_record = read_fault,
        .last_error = error_fault,
        .destroy = destroy_fault,
    };
    struct fault_storage *fault = calloc(1, sizeof(*fault));

    fault->storage.type = &TYPE;
    fault->memory = SlStorage_CreateMemory(node_id, incarnation);
    fault->memory->type->hard_state(fault->memory, &fault->durable_state);
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
    fault->writes_until_crash = 0;
}

#endif
