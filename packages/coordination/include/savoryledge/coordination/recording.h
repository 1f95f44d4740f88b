#ifndef SAVORYLEDGE_COORDINATION_RECORDING_H
#define SAVORYLEDGE_COORDINATION_RECORDING_H

/// Recordings of what went into the cores of one process, and of the events
/// that came out. The same inputs given to a new node give the same events.
///
/// A recording is a row of records, each with its length and checksum, so
/// that one cut short is readable to its last whole record. Payloads are left
/// out unless asked for; their lengths are kept, and the reader puts zeros in
/// their place.

#include "savoryledge/coordination/node.h"

enum SlRecordKind {
    SL_RECORD_NONE = 0,
    /// First record: the node's options and the time it was created.
    SL_RECORD_NODE,
    /// Durable state that a control instance found when it started.
    SL_RECORD_HARD_STATE,
    SL_RECORD_SNAPSHOT,
    SL_RECORD_LOG,
    SL_RECORD_INPUT,
    /// An event that the input before it led to, as its log line.
    SL_RECORD_EVENT,
    /// Records were lost here for want of room: a replay ends.
    SL_RECORD_LOST,
    SL_RECORD_KIND_COUNT
};

/// Appends one whole record to buffer. Errors: SL_NO_MEMORY, SL_TOO_LONG.
enum SlStatus
SlRecord_PutNode(const struct SlNodeOptions *options, uint64_t now_us,
                 struct SlBuffer *buffer);
/// Hard state, snapshot and log of storage, as several records.
enum SlStatus
SlRecord_PutStorage(struct SlStorage *storage, struct SlBuffer *buffer);
/// payloads: keep the payloads of packets.
enum SlStatus
SlRecord_PutInput(const struct SlInput *input, bool payloads,
                  struct SlBuffer *buffer);
enum SlStatus
SlRecord_PutEvent(const struct SlEvent *event, struct SlBuffer *buffer);
enum SlStatus
SlRecord_PutLost(uint64_t count, struct SlBuffer *buffer);

/// One record as read. Pointers are borrowed until the next call.
struct SlRecord {
    enum SlRecordKind kind;
    union {
        struct {
            const struct SlNodeOptions *options;
            uint64_t now_us;
        } node;
        struct SlHardState hard_state;
        struct {
            struct SlVersion last;
            const uint8_t *bytes;
            size_t length_bytes;
        } snapshot;
        struct SlLogRecord log;
        struct SlInput input;
        const char *event;
        uint64_t lost;
    };
};

struct SlRecordReader;

/// Reads from bytes, which must outlive the reader. NULL without memory.
struct SlRecordReader *
SlRecordReader_Create(const uint8_t *bytes, size_t length_bytes);
/// NULL is allowed.
void
SlRecordReader_Destroy(struct SlRecordReader *reader);

/// Reads the next record. Errors: SL_CLOSED (the end, or a last record that
/// was cut short), SL_DAMAGED (a checksum does not hold), SL_MALFORMED,
/// SL_NO_MEMORY.
enum SlStatus
SlRecordReader_Next(struct SlRecordReader *reader, struct SlRecord *record);

/// Where the last record read begins.
size_t
SlRecordReader_Offset(const struct SlRecordReader *reader);

/// What a replay found.
struct SlReplayReport {
    uint64_t input_count;
    uint64_t event_count;
    /// Inputs that were lost while recording, if any.
    uint64_t lost_count;
    /// True when all events were the same, one by one.
    bool is_identical;
    /// The first that differed: its place, its text and what came instead.
    uint64_t first_difference;
    char expected[SL_EVENT_TEXT_BYTES];
    char actual[SL_EVENT_TEXT_BYTES];
};

/// Replays a recording in a new node and compares the events.
///
/// on_event: called with each event of the replay; may be NULL.
/// Errors: SL_INVALID (the recording does not begin with the node's start),
/// SL_DAMAGED, SL_MALFORMED, SL_NO_MEMORY. The calling thread must be
/// registered with liburcu.
enum SlStatus
SlReplay_Run(const uint8_t *bytes, size_t length_bytes,
             void (*on_event)(void *context, const char *text), void *context,
             struct SlReplayReport *report, struct SlError *error);

#endif
