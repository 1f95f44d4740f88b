#include "records.h"

#include <stdlib.h>
#include <string.h>

enum {
    RECORDS_INITIAL_CAPACITY = 64,
};

static bool
reserve_record(struct SlRecords *records)
{
    uint32_t capacity = records->capacity == 0 ? RECORDS_INITIAL_CAPACITY
                                               : records->capacity * 2;
    struct SlLogRecord *items;

    if (records->record_count < records->capacity) {
        return true;
    }
    items = realloc(records->items, capacity * sizeof(*items));
    if (items == NULL) {
        return false;
    }
    records->items = items;
    records->capacity = capacity;
    return true;
}

enum SlStatus
SlRecords_Append(struct SlRecords *records, const struct SlLogRecord *record)
{
    uint8_t *data;

    if (records->record_count == 0 &&
        (records->first_index == 0 || record->index < records->first_index)) {
        records->first_index = record->index;
    }
    if (record->index != records->first_index + records->record_count) {
        return SL_INVALID;
    }
    data = malloc(record->data_bytes + 1);
    if (data == NULL || !reserve_record(records)) {
        free(data);
        return SL_NO_MEMORY;
    }
    if (record->data_bytes > 0) {
        memcpy(data, record->data, record->data_bytes);
    }
    records->items[records->record_count] = *record;
    records->items[records->record_count].data = data;
    records->record_count++;
    return SL_OK;
}

uint64_t
SlRecords_LastIndex(const struct SlRecords *records)
{
    return records->first_index + records->record_count - 1;
}

const struct SlLogRecord *
SlRecords_Find(const struct SlRecords *records, uint64_t index)
{
    if (index < records->first_index ||
        index - records->first_index >= records->record_count) {
        return NULL;
    }
    return &records->items[index - records->first_index];
}

void
SlRecords_DropFrom(struct SlRecords *records, uint64_t index)
{
    while (records->record_count > 0 &&
           SlRecords_LastIndex(records) >= index) {
        records->record_count--;
        free((void *)records->items[records->record_count].data);
    }
}

static void
drop_records_before(struct SlRecords *records, uint64_t index)
{
    uint32_t dropped = 0;

    while (dropped < records->record_count &&
           records->items[dropped].index < index) {
        free((void *)records->items[dropped].data);
        dropped++;
    }
    if (dropped > 0) {
        records->record_count -= dropped;
        memmove(records->items, records->items + dropped,
                records->record_count * sizeof(*records->items));
        records->first_index += dropped;
    }
}

void
SlRecords_Compact(struct SlRecords *records, struct SlVersion snapshot_version,
                  uint64_t keep_from)
{
    const struct SlLogRecord *record =
        SlRecords_Find(records, snapshot_version.index);

    if (record == NULL || record->term != snapshot_version.term) {
        bool is_adjacent = records->record_count > 0 &&
                           records->first_index == snapshot_version.index + 1;

        if (!is_adjacent) {
            SlRecords_DropFrom(records, 0);
            records->first_index = snapshot_version.index + 1;
        }
        return;
    }
    drop_records_before(records, keep_from);
}

void
SlRecords_Release(struct SlRecords *records)
{
    SlRecords_DropFrom(records, 0);
    free(records->items);
    *records = (struct SlRecords){.first_index = 0};
}
