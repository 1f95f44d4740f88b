/// Replay of a recording: the same inputs into a new node.

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "savoryledge/coordination/recording.h"

enum {
    QUEUE_START = 64,
};

/// Events of the replay that the recording has not shown yet.
struct replay {
    struct SlSink sink;
    void (*on_event)(void *context, const char *text);
    void *context;
    struct SlReplayReport *report;
    struct SlNode *node;
    struct SlStorage *storage;
    struct SlNodeOptions options;
    uint64_t created_us;
    char (*queue)[SL_EVENT_TEXT_BYTES];
    size_t first;
    size_t last;
    size_t room;
    bool no_memory;
};

static bool
grow_queue(struct replay *replay)
{
    size_t room = replay->room == 0 ? QUEUE_START : replay->room * 2;
    char(*queue)[SL_EVENT_TEXT_BYTES];

    if (replay->first > 0 && replay->first >= replay->room / 2) {
        memmove(replay->queue, replay->queue + replay->first,
                (replay->last - replay->first) * sizeof(*replay->queue));
        replay->last -= replay->first;
        replay->first = 0;
        return true;
    }
    queue = (char(*)[SL_EVENT_TEXT_BYTES])realloc(replay->queue,
                                                  room * sizeof(*queue));
    if (queue == NULL) {
        replay->no_memory = true;
        return false;
    }
    replay->queue = queue;
    replay->room = room;
    return true;
}

static void
replay_event(struct SlSink *sink, const struct SlEvent *event)
{
    struct replay *replay = (struct replay *)sink;

    if (replay->last == replay->room && !grow_queue(replay)) {
        return;
    }
    SlEvent_Format(event, replay->queue[replay->last]);
    if (replay->on_event != NULL) {
        replay->on_event(replay->context, replay->queue[replay->last]);
    }
    replay->last++;
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
differ(struct replay *replay, const char *expected, const char *seen)
{
    struct SlReplayReport *report = replay->report;

    if (!report->is_identical) {
        return;
    }
    report->is_identical = false;
    report->first_difference = report->event_count;
    snprintf(report->expected, sizeof(report->expected), "%s", expected);
    snprintf(report->actual, sizeof(report->actual), "%s", seen);
}

static void
compare_event(struct replay *replay, const char *expected)
{
    const char *seen = "(no event)";

    if (replay->first < replay->last) {
        seen = replay->queue[replay->first++];
    }
    if (strcmp(expected, seen) != 0) {
        differ(replay, expected, seen);
    }
    replay->report->event_count++;
}

/// Events that the replay has more than the recording, before an input.
static void
compare_rest(struct replay *replay)
{
    if (replay->first < replay->last) {
        differ(replay, "(no event)", replay->queue[replay->first]);
    }
    replay->first = 0;
    replay->last = 0;
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
take_node(struct replay *replay, const struct SlRecord *record)
{
    replay->options = *record->node.options;
    replay->created_us = record->node.now_us;
    return SL_OK;
}

static enum SlStatus
take_hard_state(struct replay *replay, const struct SlHardState *state)
{
    replay->storage =
        SlStorage_CreateMemory(state->node_id, state->incarnation);
    if (replay->storage == NULL) {
        return SL_NO_MEMORY;
    }
    return replay->storage->type->save_hard_state(replay->storage, state);
}

static enum SlStatus
take_record(struct replay *replay, const struct SlRecord *record,
            struct SlError *error)
{
    struct SlStorage *storage = replay->storage;
    enum SlStatus status = SL_OK;

    switch (record->kind) {
    case SL_RECORD_NODE:
        return take_node(replay, record);
    case SL_RECORD_HARD_STATE:
        return take_hard_state(replay, &record->hard_state);
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
            compare_rest(replay);
            SlNode_Handle(replay->node, &replay->sink, &record->input);
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
        status = SlRecordReader_Next(reader, &record);
        if (status == SL_OK) {
            status = take_record(&replay, &record, error);
        }
    }
    if (status != SL_OK && status != SL_CLOSED && status != SL_INVALID) {
        SlError_Set(error, status, SL_STEP_REPLAY, NULL,
                    "record at byte %zu: %s",
                    reader != NULL ? SlRecordReader_Offset(reader) : 0,
                    SlStatus_Name(status));
    }
    SlNode_Destroy(replay.node);
    SlStorage_Destroy(replay.storage);
    SlRecordReader_Destroy(reader);
    free(replay.queue);
    if (replay.no_memory) {
        return SL_NO_MEMORY;
    }
    return status == SL_CLOSED ? SL_OK : status;
}
