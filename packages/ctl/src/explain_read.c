/// Reads the events of log files and recordings into a timeline.

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "explain.h"
#include "savoryledge/coordination/recording.h"

enum {
    CHUNK_BYTES = 1 << 20,
    INITIAL_CAPACITY = 256,
    US_PER_S = 1000 * 1000,
    /// Fits the time, the process name and the start of an event line that a
    /// log collector wrote.
    COLLECTOR_PREFIX_BYTES = 128,
};

/// The file that is read, and what its content has shown so far.
struct source {
    struct SlTimeline *timeline;
    char process[SL_NAME_BYTES];
    char zone[SL_NAME_BYTES];
    /// Added to the monotonic clock of the process to get wall-clock time.
    uint64_t wall_offset_us;
    /// Index in the timeline of the first event of this file.
    size_t first_event;
};

/// Returns items, reallocated to twice the capacity when it is used up, or
/// NULL without memory.
static void *
reserve_item(void *items, size_t count, size_t *capacity, size_t item_bytes)
{
    size_t new_capacity = *capacity == 0 ? INITIAL_CAPACITY : *capacity * 2;
    void *moved;

    if (count < *capacity) {
        return items;
    }
    moved = realloc(items, new_capacity * item_bytes);
    if (moved != NULL) {
        *capacity = new_capacity;
    }
    return moved;
}

static void
append_field(struct SlTimelineEvent *event, const char *word, size_t length)
{
    const char *equals = memchr(word, '=', length);
    struct SlTimelineField *field = &event->fields[event->field_count];

    if (equals == NULL || event->field_count == SL_TIMELINE_FIELDS_MAX) {
        return;
    }
    snprintf(field->key, sizeof(field->key), "%.*s", (int)(equals - word),
             word);
    snprintf(field->value, sizeof(field->value), "%.*s",
             (int)(length - (size_t)(equals - word) - 1), equals + 1);
    event->field_count++;
}

/// Converts seconds such as "12.000345" to microseconds; the fraction may have
/// fewer than six digits or be absent.
static uint64_t
parse_seconds(const char *text)
{
    char *rest = NULL;
    uint64_t time_us = strtoull(text, &rest, 10) * US_PER_S;
    uint64_t unit_us = US_PER_S / 10;

    if (*rest != '.') {
        return time_us;
    }
    for (rest++; *rest >= '0' && *rest <= '9'; rest++) {
        time_us += (uint64_t)(*rest - '0') * unit_us;
        unit_us /= 10;
    }
    return time_us;
}

/// Reads the time and the process name that a log collector put before an
/// event line. Returns the start of the event line, or NULL when the text does
/// not have this form.
static const char *
parse_collector_prefix(const char *text, size_t length, uint64_t *time_us,
                       char process[SL_NAME_BYTES])
{
    char prefix[COLLECTOR_PREFIX_BYTES];
    const char *time = prefix;
    const char *name;
    const char *line;

    snprintf(prefix, sizeof(prefix), "%.*s", (int)length, text);
    time += strspn(time, " ");
    name = time + strcspn(time, " ");
    name += strspn(name, " ");
    line = name + strcspn(name, " ");
    if (line == name || line[0] != ' ' || line[1] != '<') {
        return NULL;
    }
    /* Events from before the collector's start get the time of its start. */
    *time_us = time[0] == '-' ? 0 : parse_seconds(time);
    snprintf(process, SL_NAME_BYTES, "%.*s", (int)(line - name), name);
    return text + (line + 1 - prefix);
}

/// Appends the event of a line "<6>SL1200 admit t=... key=value ...", with or
/// without the prefix of a log collector. Skips other lines.
static enum SlStatus
append_event(struct source *source, const char *text, size_t length)
{
    struct SlTimeline *timeline = source->timeline;
    const char *end = text + length;
    struct SlTimelineEvent event = {.event_number = 0};
    bool has_collector_prefix = text[0] != '<';
    const char *number_mark;
    const char *time;

    memcpy(event.process, source->process, sizeof(event.process));
    if (has_collector_prefix) {
        text = parse_collector_prefix(text, length, &event.time_us,
                                      event.process);
    }
    number_mark =
        text != NULL ? memchr(text, '>', (size_t)(end - text)) : NULL;
    if (number_mark == NULL || end - number_mark < 8 ||
        memcmp(number_mark, ">SL", 3) != 0) {
        return SL_OK;
    }
    event.event_number = (uint32_t)strtoul(number_mark + 3, NULL, 10);
    for (const char *word = number_mark; word < end;) {
        size_t word_length = 0;

        while (word + word_length < end && word[word_length] != ' ') {
            word_length++;
        }
        append_field(&event, word, word_length);
        word += word_length + 1;
    }
    time = SlTimelineEvent_FindField(&event, "t");
    if (!has_collector_prefix) {
        event.time_us = time != NULL ? parse_seconds(time) : 0;
    }
    if (!has_collector_prefix && event.event_number == SL_EVENT_STARTED &&
        SlTimelineEvent_FindField(&event, "boot") != NULL) {
        source->wall_offset_us =
            strtoull(SlTimelineEvent_FindField(&event, "boot"), NULL, 10) -
            event.time_us;
    }
    timeline->events = reserve_item(timeline->events, timeline->event_count,
                                    &timeline->event_capacity, sizeof(event));
    if (timeline->events == NULL) {
        return SL_NO_MEMORY;
    }
    timeline->events[timeline->event_count++] = event;
    return SL_OK;
}

static enum SlStatus
append_arrival(struct source *source, const struct SlInput *input)
{
    struct SlTimeline *timeline = source->timeline;
    struct SlTimelineArrival *arrival;

    if (input->kind != SL_INPUT_TUNNEL ||
        input->tunnel->kind != SL_TUNNEL_FORWARD) {
        return SL_OK;
    }
    timeline->arrivals =
        reserve_item(timeline->arrivals, timeline->arrival_count,
                     &timeline->arrival_capacity, sizeof(*timeline->arrivals));
    if (timeline->arrivals == NULL) {
        return SL_NO_MEMORY;
    }
    arrival = &timeline->arrivals[timeline->arrival_count++];
    memcpy(arrival->process, source->process, sizeof(arrival->process));
    memcpy(arrival->zone, source->zone, sizeof(arrival->zone));
    arrival->sender_node_id = input->tunnel->sender;
    arrival->time_us = input->wall_us;
    return SL_OK;
}

static enum SlStatus
process_record(struct source *source, const struct SlRecord *record)
{
    const struct SlCoreOptions *core;

    switch (record->kind) {
    case SL_RECORD_NODE:
        core = &record->node.options->core;
        memcpy(source->process, core->name, sizeof(source->process));
        memcpy(source->zone, core->zone, sizeof(source->zone));
        source->wall_offset_us = core->boot - record->node.now_us;
        return SL_OK;
    case SL_RECORD_EVENT:
        return append_event(source, record->event, strlen(record->event));
    case SL_RECORD_INPUT:
        source->wall_offset_us = record->input.wall_us - record->input.now_us;
        return append_arrival(source, &record->input);
    default:
        return SL_OK;
    }
}

static enum SlStatus
read_records(struct source *source, struct SlRecordReader *reader)
{
    struct SlRecord record;
    enum SlStatus status;

    while ((status = SlRecordReader_NextRecord(reader, &record)) == SL_OK) {
        status = process_record(source, &record);
        if (status != SL_OK) {
            return status;
        }
    }
    return status == SL_CLOSED ? SL_OK : status;
}

static enum SlStatus
read_log_lines(struct source *source, const char *text, size_t length)
{
    enum SlStatus status = SL_OK;

    while (length > 0 && status == SL_OK) {
        const char *end = memchr(text, '\n', length);
        size_t line_length = end != NULL ? (size_t)(end - text) : length;

        status =
            line_length > 0 ? append_event(source, text, line_length) : SL_OK;
        text += line_length + (end != NULL);
        length -= line_length + (end != NULL);
    }
    return status;
}

static enum SlStatus
read_file(const char *path, struct SlBuffer *bytes)
{
    FILE *file = fopen(path, "rbe");
    uint8_t *chunk = malloc(CHUNK_BYTES);
    enum SlStatus status = SL_OK;
    size_t length;

    if (file == NULL || chunk == NULL) {
        free(chunk);
        if (file != NULL) {
            fclose(file);
        }
        return file == NULL ? SL_IO : SL_NO_MEMORY;
    }
    while (status == SL_OK &&
           (length = fread(chunk, 1, CHUNK_BYTES, file)) > 0) {
        status = SlBuffer_Append(bytes, chunk, length);
    }
    fclose(file);
    free(chunk);
    return status;
}

/// Takes the process name from the file name up to its first ".": the lines of
/// a log file do not contain it.
static void
set_process_from_path(struct source *source, const char *path)
{
    const char *slash = strrchr(path, '/');
    const char *base = slash != NULL ? slash + 1 : path;

    snprintf(source->process, sizeof(source->process), "%.*s",
             (int)strcspn(base, "."), base);
}

/// Returns true if the file begins with a complete record. A log file begins
/// with "<" or with the prefix of a log collector.
static bool
is_recording(const struct SlBuffer *bytes)
{
    struct SlRecordReader *reader =
        SlRecordReader_Create(bytes->bytes, bytes->length_bytes);
    struct SlRecord record;
    bool has_record;

    has_record =
        reader != NULL && SlRecordReader_NextRecord(reader, &record) == SL_OK;
    SlRecordReader_Destroy(reader);
    return has_record;
}

enum SlStatus
SlTimeline_ReadFile(struct SlTimeline *timeline, const char *path)
{
    struct source source = {.timeline = timeline,
                            .first_event = timeline->event_count};
    struct SlBuffer bytes = {.bytes = NULL};
    struct SlRecordReader *reader;
    enum SlStatus status = read_file(path, &bytes);

    set_process_from_path(&source, path);
    if (status == SL_OK && is_recording(&bytes)) {
        reader = SlRecordReader_Create(bytes.bytes, bytes.length_bytes);
        status = reader != NULL ? read_records(&source, reader) : SL_NO_MEMORY;
        SlRecordReader_Destroy(reader);
    }
    else if (status == SL_OK) {
        status = read_log_lines(&source, (const char *)bytes.bytes,
                                bytes.length_bytes);
    }
    for (size_t i = source.first_event; i < timeline->event_count; i++) {
        timeline->events[i].time_us += source.wall_offset_us;
    }
    SlBuffer_Release(&bytes);
    return status;
}

static int
compare_event_times(const void *a, const void *b)
{
    const struct SlTimelineEvent *first = a;
    const struct SlTimelineEvent *second = b;

    return (first->time_us > second->time_us) -
           (first->time_us < second->time_us);
}

void
SlTimeline_Sort(struct SlTimeline *timeline)
{
    if (timeline->event_count > 0) {
        qsort(timeline->events, timeline->event_count,
              sizeof(*timeline->events), compare_event_times);
    }
}

void
SlTimeline_Release(struct SlTimeline *timeline)
{
    free(timeline->events);
    free(timeline->arrivals);
    *timeline = (struct SlTimeline){.event_count = 0};
}

const char *
SlTimelineEvent_FindField(const struct SlTimelineEvent *event, const char *key)
{
    for (uint32_t i = 0; i < event->field_count; i++) {
        if (strcmp(event->fields[i].key, key) == 0) {
            return event->fields[i].value;
        }
    }
    return NULL;
}
