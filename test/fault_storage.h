#ifndef SAVORYLEDGE_TEST_FAULT_STORAGE_H
#define SAVORYLEDGE_TEST_FAULT_STORAGE_H

/// Storage in memory that loses what was not synced, dies at a chosen
/// operation, runs full, or lies about its syncs.

#include <stdlib.h>

#include "savoryledge/state/storage.h"

enum fault_loss {
    FAULT_LOSS_NONE = 0,
    /// Term and vote are reported as saved and lost in a crash.
    FAULT_LOSS_VOTE,
    /// Records are reported as synced and lost in a crash.
    FAULT_LOSS_SYNC,
};

struct fault_storage {
    struct SlStorage storage;
    struct SlStorage *memory;
    struct SlHardState durable_state;
    uint64_t synced_index;
    enum fault_loss loss;
    bool disk_full;
    /// Writes until the crash; 0 none is planned. After it nothing works.
    uint32_t writes_until_crash;
    bool has_crashed;
    /// Decides how much of the crashing write gets through.
    uint32_t crash_write_seed;
    struct SlError error;
};

/// Counts one write; false when the machine died at it.
static inline bool
fault_step(struct fault_storage *fault)
{
    if (!fault->has_crashed && fault->writes_until_crash > 0 &&
        --fault->writes_until_crash == 0) {
        fault->has_crashed = true;
        return false;
    }
    return !fault->has_crashed;
}

static inline enum SlStatus
fault_fail(struct fault_storage *fault, enum SlStatus status)
{
    return SlError_Set(&fault->error, status, SL_STEP_SYNC, NULL, "fault");
}

static inline uint64_t
fault_last(const struct fault_storage *fault)
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
    bool alive = fault_step(fault);

    if (!alive && fault->crash_write_seed % 2 == 0) {
        return fault_fail(fault, SL_IO);
    }
    if (fault->disk_full) {
        return fault_fail(fault, SL_DISK_FULL);
    }
    if (fault->loss != FAULT_LOSS_VOTE ||
        fault->durable_state.caught_up != state->caught_up) {
        fault->durable_state = *state;
    }
    fault->memory->type->save_hard_state(fault->memory, state);
    return alive ? SL_OK : fault_fail(fault, SL_IO);
}

static enum SlStatus
append_fault(struct SlStorage *storage, const struct SlLogRecord *records,
             uint32_t count)
{
    struct fault_storage *fault = (struct fault_storage *)storage;

    if (fault->has_crashed) {
        return fault_fail(fault, SL_IO);
    }
    return fault->memory->type->append(fault->memory, records, count);
}

static enum SlStatus
sync_fault(struct SlStorage *storage)
{
    struct fault_storage *fault = (struct fault_storage *)storage;
    uint64_t last = fault_last(fault);

    if (fault->has_crashed) {
        return fault_fail(fault, SL_IO);
    }
    if (last <= fault->synced_index) {
        return SL_OK;
    }
    if (fault->disk_full) {
        fault->memory->type->truncate(fault->memory, fault->synced_index + 1);
        return fault_fail(fault, SL_DISK_FULL);
    }
    if (!fault_step(fault)) {
        fault->synced_index +=
            fault->crash_write_seed % (last - fault->synced_index + 1);
        return fault_fail(fault, SL_IO);
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
    bool alive = fault_step(fault);

    if (!alive && fault->crash_write_seed % 2 == 0) {
        return fault_fail(fault, SL_IO);
    }
    fault->memory->type->truncate(fault->memory, index);
    if (fault->synced_index >= index) {
        fault->synced_index = index - 1;
    }
    return alive ? SL_OK : fault_fail(fault, SL_IO);
}

static enum SlStatus
save_snapshot_fault(struct SlStorage *storage, struct SlVersion last,
                    const uint8_t *bytes, size_t length_bytes,
                    uint64_t keep_from)
{
    struct fault_storage *fault = (struct fault_storage *)storage;
    bool alive = fault_step(fault);

    if (!alive && fault->crash_write_seed % 2 == 0) {
        return fault_fail(fault, SL_IO);
    }
    if (fault->disk_full) {
        return fault_fail(fault, SL_DISK_FULL);
    }
    fault->memory->type->save_snapshot(fault->memory, last, bytes,
                                       length_bytes, keep_from);
    if (fault->loss != FAULT_LOSS_SYNC || fault->synced_index < last.index) {
        fault->synced_index = fault_last(fault);
    }
    return alive ? SL_OK : fault_fail(fault, SL_IO);
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

/// What is left after a loss of power.
static inline void
fault_storage_lose_power(struct fault_storage *fault)
{
    fault->memory->type->truncate(fault->memory, fault->synced_index + 1);
    fault->memory->type->save_hard_state(fault->memory, &fault->durable_state);
    fault->has_crashed = false;
    fault->writes_until_crash = 0;
}

#endif
