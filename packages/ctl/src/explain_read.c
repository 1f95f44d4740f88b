/// Reading of log files and recordings.

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "explain.h"
#include "savoryledge/coordination/recording.h"

enum {
    CHUNK_BYTES = 1 << 20,
    FIRST_ROOM = 256,
    US_PER_S = 1000 * 1000,
    /// A time, a process's name and the beginning of the line.
    COLLECTED_HEAD_BYTES = 128,
};

/// What is known of the file being read.
struct source {
    struct SlTale *tale;
    char process[SL_NAME_BYTES];
    char zone[SL_NAME_BYTES];
    /// Added to the process's clock to get the wall clock.
    uint64_t offset_us;
    size_t first_line;
};

static void *
grow(void *items, size_t count, size_t *room, size_t item_bytes)
{
    size_t larger = *room == 0 ? FIRST_ROOM : *room * 2;
    void *moved;

    if (count < *room) {
        return items;
    }
    moved = realloc(items, larger * item_bytes);
    if (moved != NULL) {
        *room = larger;
    }
    return moved;
}

static void
read_field(struct SlTaleLine *line, const char *word, size_t length)
{
    const char *equals = memchr(word, '=', length);
    struct SlTaleField *field = &line->fields[line->field_count];

    if (equals == NULL || line->field_count == SL_TALE_FIELDS_MAX) {
        return;
    }
    snprintf(field->key, sizeof(field->key), "%.*s", (int)(equals - word),
             word);
    snprintf(field->value, sizeof(field->value), "%.*s",
             (int)(length - (size_t)(equals - word) - 1), equals + 1);
    line->field_count++;
}

/// "12.000345" to microseconds; with fewer digits too.
static uint64_t
read_time(const char *text)
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

/// A collector's line: seconds, the process and then the line itself. Takes
/// both out of it and returns the line; NULL when it is another text.
static const char *
skip_collected(const char *text, size_t length, uint64_t *time_us,
               char process[SL_NAME_BYTES])
{
    char head[COLLECTED_HEAD_BYTES];
    const char *time = head;
    const char *name;
    const char *line;

    snprintf(head, sizeof(head), "%.*s", (int)length, text);
    time += strspn(time, " ");
    name = time + strcspn(time, " ");
    name += strspn(name, " ");
    line = name + strcspn(name, " ");
    if (line == name || line[0] != ' ' || line[1] != '<') {
        return NULL;
    }
    /* What is from before the collector's start is put at its start. */
    *time_us = time[0] == '-' ? 0 : read_time(time);
    snprintf(process, SL_NAME_BYTES, "%.*s", (int)(line - name), name);
    return text + (line + 1 - head);
}

/// "<6>SL1200 admit t=... key=value ...", of the file's own process or of a
/// collector. Other lines are passed over.
static enum SlStatus
add_line(struct source *source, const char *text, size_t length)
{
    struct SlTale *tale = source->tale;
    const char *end = text + length;
    struct SlTaleLine line = {.number = 0};
    bool collected = text[0] != '<';
    const char *mark;
    const char *time;

    memcpy(line.process, source->process, sizeof(line.process));
    if (collected) {
        text = skip_collected(text, length, &line.time_us, line.process);
    }
    mark = text != NULL ? memchr(text, '>', (size_t)(end - text)) : NULL;
    if (mark == NULL || end - mark < 8 || memcmp(mark, ">SL", 3) != 0) {
        return SL_OK;
    }
    line.number = (uint32_t)strtoul(mark + 3, NULL, 10);
    for (const char *at = mark; at < end;) {
        size_t word = 0;

        while (at + word < end && at[word] != ' ') {
            word++;
        }
        read_field(&line, at, word);
        at += word + 1;
    }
    time = SlTaleLine_Get(&line, "t");
    if (!collected) {
        line.time_us = time != NULL ? read_time(time) : 0;
    }
    if (!collected && line.number == SL_EVENT_STARTED &&
        SlTaleLine_Get(&line, "boot") != NULL) {
        source->offset_us =
            strtoull(SlTaleLine_Get(&line, "boot"), NULL, 10) - line.time_us;
    }
    tale->lines = grow(tale->lines, tale->count, &tale->room, sizeof(line));
    if (tale->lines == NULL) {
        return SL_NO_MEMORY;
    }
    tale->lines[tale->count++] = line;
    return SL_OK;
}

static enum SlStatus
add_arrival(struct source *source, const struct SlInput *input)
{
    struct SlTale *tale = source->tale;
    struct SlTaleArrival *arrival;

    if (input->kind != SL_INPUT_TUNNEL ||
        input->tunnel->kind != SL_TUNNEL_FORWARD) {
        return SL_OK;
    }
    tale->arrivals = grow(tale->arrivals, tale->arrival_count,
                          &tale->arrival_room, sizeof(*tale->arrivals));
    if (tale->arrivals == NULL) {
        return SL_NO_MEMORY;
    }
    arrival = &tale->arrivals[tale->arrival_count++];
    memcpy(arrival->process, source->process, sizeof(arrival->process));
    memcpy(arrival->zone, source->zone, sizeof(arrival->zone));
    arrival->sender = input->tunnel->sender;
    arrival->time_us = input->wall_us;
    return SL_OK;
}

static enum SlStatus
take_record(struct source *source, const struct SlRecord *record)
{
    const struct SlCoreOptions *core;

    switch (record->kind) {
    case SL_RECORD_NODE:
        core = &record->node.options->core;
        memcpy(source->process, core->name, sizeof(source->process));
        memcpy(source->zone, core->zone, sizeof(source->zone));
        source->offset_us = core->boot - record->node.now_us;
        return SL_OK;
    case SL_RECORD_EVENT:
        return add_line(source, record->event, strlen(record->event));
    case SL_RECORD_INPUT:
        source->offset_us = record->input.wall_us - record->input.now_us;
        return add_arrival(source, &record->input);
    default:
        return SL_OK;
    }
}

static enum SlStatus
read_records(struct source *source, struct SlRecordReader *reader)
{
    struct SlRecord record;
    enum SlStatus status;

    while ((status = SlRecordReader_Next(reader, &record)) == SL_OK) {
        status = take_record(source, &record);
        if (status != SL_OK) {
            return status;
        }
    }
    return status == SL_CLOSED ? SL_OK : status;
}

static enum SlStatus
read_lines(struct source *source, const char *text, size_t length)
{
    enum SlStatus status = SL_OK;

    while (length > 0 && status == SL_OK) {
        const char *end = memchr(text, '\n', length);
        size_t line = end != NULL ? (size_t)(end - text) : length;

        status = line > 0 ? add_line(source, text, line) : SL_OK;
        text += line + (end != NULL);
        length -= line + (end != NULL);
    }
    return status;
}

static enum SlStatus
read_bytes(const char *path, struct SlBuffer *bytes)
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

/// A log file does not name its process: the file's name does.
static void
name_from_path(struct source *source, const char *path)
{
    const char *slash = strrchr(path, '/');
    const char *base = slash != NULL ? slash + 1 : path;

    snprintf(source->process, sizeof(source->process), "%.*s",
             (int)strcspn(base, "."), base);
}

/// A recording begins with a whole record, a log with "<".
static bool
is_recording(const struct SlBuffer *bytes)
{
    struct SlRecordReader *reader =
        SlRecordReader_Create(bytes->bytes, bytes->length_bytes);
    struct SlRecord record;
    bool is;

    is = reader != NULL && SlRecordReader_Next(reader, &record) == SL_OK;
    SlRecordReader_Destroy(reader);
    return is;
}

enum SlStatus
SlTale_Read(struct SlTale *tale, const char *path)
{
    struct source source = {.tale = tale, .first_line = tale->count};
    struct SlBuffer bytes = {.bytes = NULL};
    struct SlRecordReader *reader;
    enum SlStatus status = read_bytes(path, &bytes);

    name_from_path(&source, path);
    if (status == SL_OK && is_recording(&bytes)) {
        reader = SlRecordReader_Create(bytes.bytes, bytes.length_bytes);
        status = reader != NULL ? read_records(&source, reader) : SL_NO_MEMORY;
        SlRecordReader_Destroy(reader);
    }
    else if (status == SL_OK) {
        status =
            read_lines(&source, (const char *)bytes.bytes, bytes.length_bytes);
    }
    for (size_t i = source.first_line; i < tale->count; i++) {
        tale->lines[i].time_us += source.offset_us;
    }
    SlBuffer_Release(&bytes);
    return status;
}

static int
compare_lines(const void *a, const void *b)
{
    const struct SlTaleLine *x = a;
    const struct SlTaleLine *y = b;

    return (x->time_us > y->time_us) - (x->time_us < y->time_us);
}

void
SlTale_Sort(struct SlTale *tale)
{
    if (tale->count > 0) {
        qsort(tale->lines, tale->count, sizeof(*tale->lines), compare_lines);
    }
}

void
SlTale_Release(struct SlTale *tale)
{
    free(tale->lines);
    free(tale->arrivals);
    *tale = (struct SlTale){.count = 0};
}

const char *
SlTaleLine_Get(const struct SlTaleLine *line, const char *key)
{
    for (uint32_t i = 0; i < line->field_count; i++) {
        if (strcmp(line->fields[i].key, key) == 0) {
            return line->fields[i].value;
        }
    }
    return NULL;
}
