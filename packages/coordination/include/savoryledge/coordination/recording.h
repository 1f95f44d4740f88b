#ifndef SAVORYLEDGE_COORDINATION_RECORDING_H
#define SAVORYLEDGE_COORDINATION_RECORDING_H

/// Recordings of the inputs to the cores of one process, and of the events
/// that the cores emitted. The same inputs to a new node produce the same
/// events.
///
/// A recording is a sequence of records, each with its length and checksum, so
/// that a truncated recording is readable up to its last complete record.
/// Packet payloads are omitted unless requested; their lengths are recorded,
/// and the reader substitutes zeros for the payload.

#include "savoryledge/coordination/node.h"

enum SlRecordKind {
    SL_RECORD_NONE = 0,
    /// First record: the options of the node and when it was created.
    SL_RECORD_NODE,
    /// The durable state that a control instance loaded at its start: hard
    /// state, snapshot and log records.
    SL_RECORD_HARD_STATE,
    SL_RECORD_SNAPSHOT,
    SL_RECORD_LOG,
    SL_RECORD_INPUT,
    /// An event caused by the preceding input, formatted as its log line.
    SL_RECORD_EVENT,
    /// Records were lost at this position because the recorder's buffer was
    /// full; a replay ends here.
    SL_RECORD_LOST,
    SL_RECORD_KIND_COUNT
};

/// These functions append records to buffer. A record that cannot be written
/// completely is removed again. Errors: SL_NO_MEMORY, SL_TOO_LONG.
///
/// Appends the options of a node as the first record.
enum SlStatus
SlRecord_PutNode(const struct SlNodeOptions *options, uint64_t now_us,
                 struct SlBuffer *buffer);
/// Appends the hard state, snapshot and log of storage as several records.
enum SlStatus
SlRecord_PutStorage(struct SlStorage *storage, struct SlBuffer *buffer);
/// Appends an input to a core. payloads: the payloads of packets are recorded
/// too.
enum SlStatus
SlRecord_PutInput(const struct SlInput *input, bool payloads,
                  struct SlBuffer *buffer);
/// Appends an event as its log line.
enum SlStatus
SlRecord_PutEvent(const struct SlEvent *event, struct SlBuffer *buffer);
/// Appends a record that states how many records were lost. count: their
/// number.
enum SlStatus
SlRecord_PutLost(uint64_t count, struct SlBuffer *buffer);

/// A record that was read from a recording. The pointers are valid until the
/// next record is read or the reader is destroyed.
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

/// Creates a reader of the recording in bytes, which must outlive the reader.
/// Returns NULL when out of memory.
struct SlRecordReader *
SlRecordReader_Create(const uint8_t *bytes, size_t length_bytes);
/// Destroys a reader, which may be NULL.
void
SlRecordReader_Destroy(struct SlRecordReader *reader);

/// Reads the next record. Errors: SL_CLOSED (the end, or a truncated last
/// record), SL_DAMAGED (checksum mismatch or impossible length), SL_MALFORMED,
/// SL_NO_MEMORY.
enum SlStatus
SlRecordReader_NextRecord(struct SlRecordReader *reader,
                          struct SlRecord *record);

/// Returns the byte offset, in the recording, of the latest record that was
/// read.
size_t
SlRecordReader_Offset(const struct SlRecordReader *reader);

/// Result of a replay.
struct SlReplayReport {
    /// Number of inputs that were replayed, and of events that were compared.
    uint64_t input_count;
    uint64_t event_count;
    /// Records that were lost during recording.
    uint64_t lost_count;
    /// True when all events were identical and in the same order.
    bool is_identical;
    /// The first difference: the index of the event, its recorded text, and
    /// the text that the replay produced instead.
    uint64_t first_difference;
    char expected[SL_EVENT_TEXT_BYTES];
    char actual[SL_EVENT_TEXT_BYTES];
};

/// Replays a recording in a new node and compares the events. Stops at lost
/// records.
///
/// on_event: called with each event of the replay; may be NULL.
/// Errors: SL_INVALID (the recording does not begin with the start of the
/// node), SL_DAMAGED, SL_MALFORMED, SL_NO_MEMORY. The calling thread must be
/// registered with liburcu.
enum SlStatus
SlReplay_Run(const uint8_t *bytes, size_t length_bytes,
             void (*on_event)(void *context, const char *text), void *context,
             struct SlReplayReport *report, struct SlError *error);

#endif
