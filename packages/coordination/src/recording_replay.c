/// Replay of a recording: passes the recorded inputs to a new node.

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "savoryledge/coordination/recording.h"

enum {
    QUEUE_INITIAL_CAPACITY = 64,
};

/// A replay in progress.
struct replay {
    struct SlSink sink;
    void (*on_event)(void *context, const char *text);
    void *context;
    struct SlReplayReport *report;
    struct SlNode *node;
    struct SlStorage *storage;
    struct SlNodeOptions options;
    uint64_t created_us;
    /// Events of the replay that have not been compared with the recording
    /// yet, from queue_begin to queue_end.
    char (*event_queue)[SL_EVENT_TEXT_BYTES];
    size_t queue_begin;
    size_t queue_end;
    size_t queue_capacity;
    bool no_memory;
};

/// Makes space for an event: moves the queue to the front of its buffer, or
/// doubles the buffer. Returns false when out of memory.
static bool
grow_queue(struct replay *replay)
{
    size_t capacity = replay->queue_capacity == 0 ? QUEUE_INITIAL_CAPACITY
                                                  : replay->queue_capacity * 2;
    char(*queue)[SL_EVENT_TEXT_BYTES];

    if (replay->queue_begin > 0 &&
        replay->queue_begin >= replay->queue_capacity / 2) {
        memmove(replay->event_queue, replay->event_queue + replay->queue_begin,
                (replay->queue_end - replay->queue_begin) *
                    sizeof(*replay->event_queue));
        replay->queue_end -= replay->queue_begin;
        replay->queue_begin = 0;
        return true;
    }
    queue = (char(*)[SL_EVENT_TEXT_BYTES])realloc(replay->event_queue,
                                                  capacity * sizeof(*queue));
    if (queue == NULL) {
        replay->no_memory = true;
        return false;
    }
    replay->event_queue = queue;
    replay->queue_capacity = capacity;
    return true;
}

static void
replay_event(struct SlSink *sink, const struct SlEvent *event)
{
    struct replay *replay = (struct replay *)sink;

    if (replay->queue_end == replay->queue_capacity && !grow_queue(replay)) {
        return;
    }
    SlEvent_Format(event, replay->event_queue[replay->queue_end]);
    if (replay->on_event != NULL) {
        replay->on_event(replay->context,
                         replay->event_queue[replay->queue_end]);
    }
    replay->queue_end++;
}

static const struct SlSinkType REPLAY_SINK = {
    .send_to_caller = SlSink_IgnorePacket,
    .send_to_upstream = SlSink_IgnorePacket,
    .send_tunnel = SlSink_IgnoreTunnel,
    .send_message = SlSink_IgnoreMessage,
    .dial_node = SlSink_IgnoreDialNode,
    .drop_node = SlSink_IgnoreDropNode,
    .log_event = replay_event,
};

static void
record_difference(struct replay *replay, const char *expected,
                  const char *actual)
{
    struct SlReplayReport *report = replay->report;

    if (!report->is_identical) {
        return;
    }
    report->is_identical = false;
    report->first_difference = report->event_count;
    snprintf(report->expected, sizeof(report->expected), "%s", expected);
    snprintf(report->actual, sizeof(report->actual), "%s", actual);
}

static void
compare_event(struct replay *replay, const char *expected)
{
    const char *actual = "(no event)";

    if (replay->queue_begin < replay->queue_end) {
        actual = replay->event_queue[replay->queue_begin++];
    }
    if (strcmp(expected, actual) != 0) {
        record_difference(replay, expected, actual);
    }
    replay->report->event_count++;
}

/// Reports a difference if the replay emitted more events than the recording
/// contains before the next input.
static void
report_extra_events(struct replay *replay)
{
    if (replay->queue_begin < replay->queue_end) {
        record_difference(replay, "(no event)",
                          replay->event_queue[replay->queue_begin]);
    }
    replay->queue_begin = 0;
    replay->queue_end = 0;
}

static enum SlStatus
create_node(struct replay *replay, struct SlError *error)
{
    const struct SlCoreOptions *core = &replay->options.core;

    if (replay->node != NULL) {
        return SL_OK;
    }
    if (core->name[0] == '\0') {
        return SlError_Set(error, SL_INVALID, SL_STEP_REPLAY, NULL,
                           "the recording does not begin with the start of "
                           "its process, so it cannot be replayed");
    }
    replay->options.control.storage = replay->storage;
    return SlNode_Create(&replay->options, replay->created_us, &replay->node,
                         error);
}

static enum SlStatus
load_node(struct replay *replay, const struct SlRecord *record)
{
    replay->options = *record->node.options;
    replay->created_us = record->node.now_us;
    return SL_OK;
}

static enum SlStatus
load_hard_state(struct replay *replay, const struct SlHardState *state)
{
    replay->storage =
        SlStorage_CreateMemory(state->node_id, state->incarnation);
    if (replay->storage == NULL) {
        return SL_NO_MEMORY;
    }
    return replay->storage->type->save_hard_state(replay->storage, state);
}

static enum SlStatus
replay_record(struct replay *replay, const struct SlRecord *record,
              struct SlError *error)
{
    struct SlStorage *storage = replay->storage;
    enum SlStatus status = SL_OK;

    switch (record->kind) {
    case SL_RECORD_NODE:
        return load_node(replay, record);
    case SL_RECORD_HARD_STATE:
        return load_hard_state(replay, &record->hard_state);
    case SL_RECORD_SNAPSHOT:
        return storage == NULL
                   ? SL_MALFORMED
                   : storage->type->save_snapshot(
                         storage, record->snapshot.last,
                         record->snapshot.bytes, record->snapshot.length_bytes,
                         record->snapshot.last.index + 1);
    case SL_RECORD_LOG:
        return storage == NULL
                   ? SL_MALFORMED
                   : storage->type->append(storage, &record->log, 1);
    case SL_RECORD_INPUT:
        status = create_node(replay, error);
        if (status == SL_OK) {
            report_extra_events(replay);
            SlNode_HandleInput(replay->node, &replay->sink, &record->input);
            replay->report->input_count++;
        }
        return status;
    case SL_RECORD_EVENT:
        status = create_node(replay, error);
        if (status == SL_OK) {
            compare_event(replay, record->event);
        }
        return status;
    default:
        replay->report->lost_count += record->lost;
        return SL_OK;
    }
}

enum SlStatus
SlReplay_Run(const uint8_t *bytes, size_t length_bytes,
             void (*on_event)(void *context, const char *text), void *context,
             struct SlReplayReport *report, struct SlError *error)
{
    struct replay replay = {
        .sink = {.type = &REPLAY_SINK},
        .on_event = on_event,
        .context = context,
        .report = report,
    };
    struct SlRecordReader *reader = SlRecordReader_Create(bytes, length_bytes);
    struct SlRecord record;
    enum SlStatus status = reader == NULL ? SL_NO_MEMORY : SL_OK;

    *report = (struct SlReplayReport){.is_identical = true};
    while (status == SL_OK && report->lost_count == 0 && !replay.no_memory) {
        status = SlRecordReader_NextRecord(reader, &record);
        if (status == SL_OK) {
            status = replay_record(&replay, &record, error);
        }
    }
    if (status != SL_OK && status != SL_CLOSED && status != SL_INVALID) {
        SlError_Set(error, status, SL_STEP_REPLAY, NULL,
                    "cannot read the record at byte offset %zu: %s",
                    reader != NULL ? SlRecordReader_Offset(reader) : 0,
                    SlStatus_Name(status));
    }
    SlNode_Destroy(replay.node);
    SlStorage_Destroy(replay.storage);
    SlRecordReader_Destroy(reader);
    free(replay.event_queue);
    if (replay.no_memory) {
        return SL_NO_MEMORY;
    }
    return status == SL_CLOSED ? SL_OK : status;
}
