/// Durable state kept in memory, for tests and replay.

#include <stdlib.h>
#include <string.h>

#include "records.h"
#include "savoryledge/state/storage.h"

struct memory {
    struct SlStorage storage;
    struct SlHardState state;
    struct SlRecords records;
    struct SlVersion snapshot_last;
    uint8_t *snapshot;
    size_t snapshot_bytes;
    struct SlError error;
};

static enum SlStatus
save_hard_state_memory(struct SlStorage *storage,
                       const struct SlHardState *state)
{
    struct memory *memory = (struct memory *)storage;

    memory->state = *state;
    return SL_OK;
}

static enum SlStatus
append_memory(struct SlStorage *storage, const struct SlLogRecord *records,
              uint32_t count)
{
    struct memory *memory = (struct memory *)storage;

    for (uint32_t i = 0; i < count; i++) {
        enum SlStatus status = SlRecords_Append(&memory->records, &records[i]);

        if (status != SL_OK) {
            return SlError_Set(&memory->error, status, SL_STEP_APPEND, NULL,
                               "record %llu does not fit",
                               (unsigned long long)records[i].index);
        }
    }
    return SL_OK;
}

static enum SlStatus
sync_memory(struct SlStorage *storage)
{
    (void)storage;
    return SL_OK;
}

static enum SlStatus
truncate_memory(struct SlStorage *storage, uint64_t index)
{
    struct memory *memory = (struct memory *)storage;

    SlRecords_DropFrom(&memory->records, index);
    return SL_OK;
}

static enum SlStatus
save_snapshot_memory(struct SlStorage *storage, struct SlVersion last,
                     const uint8_t *bytes, size_t length_bytes,
                     uint64_t keep_from)
{
    struct memory *memory = (struct memory *)storage;
    uint8_t *copy = malloc(length_bytes + 1);

    if (copy == NULL) {
        return SlError_Set(&memory->error, SL_NO_MEMORY, SL_STEP_SNAPSHOT,
                           NULL, "no memory for a snapshot");
    }
    memcpy(copy, bytes, length_bytes);
    free(memory->snapshot);
    memory->snapshot = copy;
    memory->snapshot_bytes = length_bytes;
    memory->snapshot_last = last;
    SlRecords_Compact(&memory->records, last, keep_from);
    return SL_OK;
}

static void
hard_state_memory(const struct SlStorage *storage, struct SlHardState *state)
{
    *state = ((const struct memory *)storage)->state;
}

static void
snapshot_memory(const struct SlStorage *storage, struct SlVersion *last,
                const uint8_t **bytes, size_t *length_bytes)
{
    const struct memory *memory = (const struct memory *)storage;

    *last = memory->snapshot_last;
    *bytes = memory->snapshot;
    *length_bytes = memory->snapshot_bytes;
}

static void
range_memory(const struct SlStorage *storage, uint64_t *first, uint64_t *last)
{
    const struct memory *memory = (const struct memory *)storage;

    *first = memory->records.first;
    *last = SlRecords_Last(&memory->records);
}

static enum SlStatus
read_memory(struct SlStorage *storage, uint64_t index,
            struct SlLogRecord *record)
{
    struct memory *memory = (struct memory *)storage;
    const struct SlLogRecord *found = SlRecords_Find(&memory->records, index);

    if (found == NULL) {
        return SL_NOT_FOUND;
    }
    *record = *found;
    return SL_OK;
}

static const struct SlError *
error_memory(const struct SlStorage *storage)
{
    return &((const struct memory *)storage)->error;
}

static void
destroy_memory(struct SlStorage *storage)
{
    struct memory *memory = (struct memory *)storage;

    SlRecords_Release(&memory->records);
    free(memory->snapshot);
    free(memory);
}

static const struct SlStorageType STORAGE_MEMORY = {
    .save_hard_state = save_hard_state_memory,
    .append = append_memory,
    .sync = sync_memory,
    .truncate = truncate_memory,
    .save_snapshot = save_snapshot_memory,
    .hard_state = hard_state_memory,
    .snapshot = snapshot_memory,
    .index_range = range_memory,
    .read_record = read_memory,
    .last_error = error_memory,
    .destroy = destroy_memory,
};

struct SlStorage *
SlStorage_CreateMemory(uint64_t node_id, uint64_t incarnation)
{
    struct memory *memory = calloc(1, sizeof(*memory));

    if (memory == NULL) {
        return NULL;
    }
    memory->storage.type = &STORAGE_MEMORY;
    memory->state.node_id = node_id;
    memory->state.incarnation = incarnation;
    memory->records.first = 1;
    return &memory->storage;
}
