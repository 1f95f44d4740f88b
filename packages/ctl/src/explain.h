#ifndef SAVORYLEDGE_CTL_EXPLAIN_H
#define SAVORYLEDGE_CTL_EXPLAIN_H

/// What happened, from log files and recordings: lines of all processes in
/// one order of time, and the sentences that tell them.

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

#include "savoryledge/common/event.h"
#include "savoryledge/state/object.h"

enum {
    SL_TALE_FIELDS_MAX = 16,
    SL_TALE_VALUE_BYTES = 128,
};

struct SlTaleField {
    char key[24];
    char value[SL_TALE_VALUE_BYTES];
};

/// One event line.
struct SlTaleLine {
    uint32_t number;
    /// Wall-clock time where the file tells the start of its process, else
    /// the process's own clock. Microseconds.
    uint64_t time_us;
    char process[SL_NAME_BYTES];
    uint32_t field_count;
    struct SlTaleField fields[SL_TALE_FIELDS_MAX];
};

struct SlTale {
    size_t count;
    size_t room;
    struct SlTaleLine *lines;
    /// Packets that came to agents of a zone, from recordings.
    struct SlTaleArrival {
        char process[SL_NAME_BYTES];
        char zone[SL_NAME_BYTES];
        uint64_t sender;
        uint64_t time_us;
    } * arrivals;
    size_t arrival_count;
    size_t arrival_room;
};

/// Reads a log file or a recording and adds what it tells.
/// Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
SlTale_Read(struct SlTale *tale, const char *path);
/// Puts all lines in order of time.
void
SlTale_Sort(struct SlTale *tale);
void
SlTale_Release(struct SlTale *tale);

/// NULL when the line does not have the field.
const char *
SlTaleLine_Get(const struct SlTaleLine *line, const char *key);
/// One sentence with its time, process and version.
void
SlTaleLine_Tell(FILE *out, const struct SlTaleLine *line);

#endif
