/// Keeps the durable state of a control instance in memory, for tests and
/// replay.

#include <stdlib.h>
#include <string.h>

#include "records.h"
#include "savoryledge/state/storage.h"

struct storage_memory {
    struct SlStorage storage;
    struct SlHardState hard_state;
    struct SlRecords records;
    struct SlVersion snapshot_version;
    uint8_t *snapshot;
    size_t snapshot_bytes;
    struct SlError error;
};

static enum SlStatus
storage_save_hard_state_memory(struct SlStorage *storage,
                               const struct SlHardState *state)
{
    struct storage_memory *self = (struct storage_memory *)storage;

    self->hard_state = *state;
    return SL_OK;
}

static enum SlStatus
storage_append_memory(struct SlStorage *storage,
                      const struct SlLogRecord *records, uint32_t count)
{
    struct storage_memory *self = (struct storage_memory *)storage;

    for (uint32_t i = 0; i < count; i++) {
        enum SlStatus status = SlRecords_Append(&self->records, &records[i]);

        if (status != SL_OK) {
            return SlError_Set(&self->error, status, SL_STEP_APPEND, NULL,
                               "cannot append log record %llu",
                               (unsigned long long)records[i].index);
        }
    }
    return SL_OK;
}

static enum SlStatus
storage_sync_memory(struct SlStorage *storage)
{
    (void)storage;
    return SL_OK;
}

static enum SlStatus
storage_truncate_memory(struct SlStorage *storage, uint64_t index)
{
    struct storage_memory *self = (struct storage_memory *)storage;

    SlRecords_DropFrom(&self->records, index);
    return SL_OK;
}

static enum SlStatus
storage_save_snapshot_memory(struct SlStorage *storage,
                             struct SlVersion last_version,
                             const uint8_t *bytes, size_t length_bytes,
                             uint64_t keep_from)
{
    struct storage_memory *self = (struct storage_memory *)storage;
    uint8_t *copy = malloc(length_bytes + 1);

    if (copy == NULL) {
        return SlError_Set(&self->error, SL_NO_MEMORY, SL_STEP_SNAPSHOT, NULL,
                           "no memory to copy the snapshot");
    }
    memcpy(copy, bytes, length_bytes);
    free(self->snapshot);
    self->snapshot = copy;
    self->snapshot_bytes = length_bytes;
    self->snapshot_version = last_version;
    SlRecords_Compact(&self->records, last_version, keep_from);
    return SL_OK;
}

static enum SlStatus
storage_recover_memory(struct SlStorage *storage)
{
    (void)storage;
    return SL_OK;
}

static void
storage_hard_state_memory(const struct SlStorage *storage,
                          struct SlHardState *state)
{
    *state = ((const struct storage_memory *)storage)->hard_state;
}

static void
storage_snapshot_memory(const struct SlStorage *storage,
                        struct SlVersion *last_version, const uint8_t **bytes,
                        size_t *length_bytes)
{
    const struct storage_memory *self = (const struct storage_memory *)storage;

    *last_version = self->snapshot_version;
    *bytes = self->snapshot;
    *length_bytes = self->snapshot_bytes;
}

static void
storage_index_range_memory(const struct SlStorage *storage,
                           uint64_t *first_index, uint64_t *last_index)
{
    const struct storage_memory *self = (const struct storage_memory *)storage;

    *first_index = self->records.first_index;
    *last_index = SlRecords_LastIndex(&self->records);
}

static enum SlStatus
storage_read_record_memory(struct SlStorage *storage, uint64_t index,
                           struct SlLogRecord *record)
{
    struct storage_memory *self = (struct storage_memory *)storage;
    const struct SlLogRecord *found = SlRecords_Find(&self->records, index);

    if (found == NULL) {
        return SL_NOT_FOUND;
    }
    *record = *found;
    return SL_OK;
}

static const struct SlError *
storage_last_error_memory(const struct SlStorage *storage)
{
    return &((const struct storage_memory *)storage)->error;
}

static void
storage_destroy_memory(struct SlStorage *storage)
{
    struct storage_memory *self = (struct storage_memory *)storage;

    SlRecords_Release(&self->records);
    free(self->snapshot);
    free(self);
}

static const struct SlStorageType STORAGE_MEMORY = {
    .save_hard_state = storage_save_hard_state_memory,
    .append = storage_append_memory,
    .sync = storage_sync_memory,
    .truncate = storage_truncate_memory,
    .save_snapshot = storage_save_snapshot_memory,
    .recover = storage_recover_memory,
    .copy_hard_state = storage_hard_state_memory,
    .get_snapshot = storage_snapshot_memory,
    .index_range = storage_index_range_memory,
    .read_record = storage_read_record_memory,
    .last_error = storage_last_error_memory,
    .destroy = storage_destroy_memory,
};

struct SlStorage *
SlStorage_CreateMemory(uint64_t node_id, uint64_t incarnation)
{
    struct storage_memory *self = calloc(1, sizeof(*self));

    if (self == NULL) {
        return NULL;
    }
    self->storage.type = &STORAGE_MEMORY;
    self->hard_state.node_id = node_id;
    self->hard_state.incarnation = incarnation;
    self->records.first_index = 1;
    return &self->storage;
}
