#ifndef SAVORYLEDGE_CTL_EXPLAIN_H
#define SAVORYLEDGE_CTL_EXPLAIN_H

/// Timelines of events for the explain commands: events of several processes
/// are read from log files and recordings, sorted by time, and printed as
/// sentences.

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>

#include "savoryledge/common/event.h"
#include "savoryledge/state/object.h"

enum {
    SL_TIMELINE_FIELDS_MAX = 16,
    SL_TIMELINE_VALUE_BYTES = 128,
};

struct SlTimelineField {
    char key[24];
    char value[SL_TIMELINE_VALUE_BYTES];
};

/// One event line of a log file or recording.
struct SlTimelineEvent {
    uint32_t event_number;
    /// Time of the event in microseconds: wall-clock time if the file contains
    /// the start of its process, otherwise time on the monotonic clock of the
    /// process.
    uint64_t time_us;
    char process[SL_NAME_BYTES];
    uint32_t field_count;
    struct SlTimelineField fields[SL_TIMELINE_FIELDS_MAX];
};

struct SlTimeline {
    size_t event_count;
    size_t event_capacity;
    struct SlTimelineEvent *events;
    /// Forwarded packets that agents received, from their recordings.
    struct SlTimelineArrival {
        /// The agent that received the packet, and its zone.
        char process[SL_NAME_BYTES];
        char zone[SL_NAME_BYTES];
        uint64_t sender_node_id;
        uint64_t time_us;
    } * arrivals;
    size_t arrival_count;
    size_t arrival_capacity;
};

/// Reads a log file or a recording and appends its events and packet arrivals
/// to the timeline.
/// Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
SlTimeline_ReadFile(struct SlTimeline *timeline, const char *path);
/// Sorts all events by time.
void
SlTimeline_Sort(struct SlTimeline *timeline);
void
SlTimeline_Release(struct SlTimeline *timeline);

/// Returns the value of a field, or NULL when the event does not have it.
const char *
SlTimelineEvent_FindField(const struct SlTimelineEvent *event,
                          const char *key);
/// Prints the event as one sentence, with its time, process and version.
void
SlTimelineEvent_Print(FILE *out, const struct SlTimelineEvent *event);

#endif
