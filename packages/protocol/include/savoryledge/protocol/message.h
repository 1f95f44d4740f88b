#ifndef SAVORYLEDGE_PROTOCOL_MESSAGE_H
#define SAVORYLEDGE_PROTOCOL_MESSAGE_H

/// Messages on links, which are TCP connections between processes or between
/// savoryledgectl and a process. Each message is one frame that holds a
/// msgpack array.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "savoryledge/state/flow_journal.h"
#include "savoryledge/state/object.h"

enum {
    /// Largest frame on a link.
    SL_FRAME_MAX_BYTES = 1 << 20,
    /// Maximum number of control instances.
    SL_MEMBERS_CONTROL_MAX = 9,
    /// Largest part of a snapshot in one message.
    SL_BLOB_CHUNK_BYTES = 256 * 1024,
};

enum SlMessageKind {
    SL_MESSAGE_NONE = 0,
    /// The first message on every link, in both directions.
    SL_MESSAGE_HELLO,
    /// Sent in both directions at a fixed interval.
    SL_MESSAGE_HEARTBEAT,
    /// Process to control: the sender's present description of itself.
    SL_MESSAGE_ANNOUNCE,
    /// Process to control or peer: requests the configuration changes after
    /// the sender's version.
    SL_MESSAGE_SUBSCRIBE,
    /// To a subscriber: one part of the full configuration or of a delta.
    SL_MESSAGE_CONFIG,
    /// Operator to control: a configuration change.
    SL_MESSAGE_CHANGE,
    /// The answer to SL_MESSAGE_CHANGE.
    SL_MESSAGE_RESULT,
    /// Operator to any process: requests the objects of a kind, the status or
    /// the metrics. Answered by SL_MESSAGE_OBJECT or SL_MESSAGE_TEXT.
    SL_MESSAGE_QUERY,
    SL_MESSAGE_OBJECT,
    SL_MESSAGE_TEXT,
    /// The messages of the replicated log (Ongaro, 2014), between control
    /// instances.
    SL_MESSAGE_VOTE,
    SL_MESSAGE_VOTED,
    SL_MESSAGE_APPEND,
    SL_MESSAGE_APPENDED,
    SL_MESSAGE_INSTALL,
    SL_MESSAGE_INSTALLED,
    /// A control instance that has no leader requests to become a member. A
    /// receiver that is not the leader forwards the request to the leader.
    SL_MESSAGE_JOIN,
    /// Records of kept flows, between an agent and a control instance, or two
    /// control instances. Sent only to a process whose HELLO has
    /// SL_HELLO_FLOW_RECORDS, since others close the link.
    SL_MESSAGE_FLOW_RECORDS,
    SL_MESSAGE_KIND_COUNT
};

enum {
    /// A bit of SlHello.roles, beside the roles: the sender understands
    /// SL_MESSAGE_FLOW_RECORDS.
    SL_HELLO_FLOW_RECORDS = 1 << 16,
};

struct SlHello {
    char name[SL_NAME_BYTES];
    uint32_t roles;
    uint64_t boot;
    struct SlVersion version;
};

struct SlHeartbeat {
    struct SlVersion version;
    /// From control: the sender is a leader with a valid lease, or follows one
    /// closely, so version is current.
    bool fresh;
    /// Time of sending by the sender's monotonic clock, microseconds.
    uint64_t sent_us;
    /// The sent_us of the latest heartbeat that the sender received, and how
    /// long ago it arrived.
    uint64_t echo_us;
    uint64_t kept_us;
};

struct SlSubscribe {
    /// The version that the subscriber holds.
    struct SlVersion version;
};

enum {
    /// Maximum number of objects in one part of a configuration.
    SL_CONFIG_OBJECTS_MAX = 32,
};

/// One part of a delta or of the full configuration. The receiver collects
/// the parts from first to last and then applies all of them together.
struct SlConfigPart {
    /// Version that a delta starts from, and the version that it leads to.
    struct SlVersion from;
    struct SlVersion to;
    /// The parts hold the full configuration; the receiver deletes every
    /// object that they do not contain.
    bool full;
    bool first;
    bool last;
    /// The sender is a leader with a valid lease, or follows one, so the
    /// configuration is current.
    bool fresh;
    uint32_t object_count;
    struct SlObject *objects;
    /// Deleted objects, of which only kind and name are set.
    uint32_t removed_count;
    struct SlObject *removed;
    /// The document of the configuration. Version 0 leaves the receiver's
    /// document unchanged.
    struct SlDocumentText document;
};

enum SlQueryKind {
    SL_QUERY_NONE = 0,
    /// The objects of a kind: the one called name, or all when it is empty.
    SL_QUERY_OBJECTS,
    SL_QUERY_STATUS,
    SL_QUERY_METRICS,
    /// The subscribers that hold at least the given version.
    SL_QUERY_IN_FORCE,
    /// Starts a recording to the file called name, or stops the recording when
    /// name is empty.
    SL_QUERY_RECORD,
    /// Where the relay's entry of the process would offer the flow whose key
    /// is name, now. The answer is a text. A process of before the query
    /// counts it as malformed and closes the link.
    SL_QUERY_PLACE,
    SL_QUERY_KIND_COUNT
};

struct SlQuery {
    enum SlQueryKind query;
    enum SlKind kind;
    char name[SL_NAME_BYTES];
    struct SlVersion version;
};

/// One object of the answer to SL_QUERY_OBJECTS. The last message of the
/// answer has end set and holds no object.
struct SlObjectAnswer {
    bool end;
    struct SlObject object;
};

/// A text answer that consists of key=value lines.
struct SlText {
    enum SlStatus status;
    uint32_t length_bytes;
    const char *text;
};

struct SlVote {
    uint64_t term;
    /// This is a pre-vote (Ongaro, 2014): the candidate queries whether the
    /// receiver would grant its vote, and no state changes.
    bool pre_vote;
    /// Version of the last entry in the candidate's log.
    struct SlVersion last;
    /// When the request was sent, by the candidate's clock; the answer repeats
    /// it.
    uint64_t sent_us;
};

struct SlVoted {
    uint64_t term;
    /// The message answers a pre-vote.
    bool pre_vote;
    /// The sender grants its vote.
    bool granted;
    /// Incarnation of the sender's data folder, which changes when the folder
    /// is lost.
    uint64_t incarnation;
    /// The sending time of the request that is answered.
    uint64_t sent_us;
    /// How long followers of the former leader may still hold leases that the
    /// sender has granted, microseconds. Above 0 only after that leader
    /// resigned.
    uint64_t lease_left_us;
};

/// One entry of the replicated log. data is a borrowed, encoded SlChange.
struct SlLogEntry {
    uint64_t term;
    uint64_t index;
    const uint8_t *data;
    uint32_t data_bytes;
};

/// A time stamp by the clock of one process. Another process stores the time
/// stamp and later returns it to that process, together with the time for
/// which it was stored.
struct SlTimestamp {
    /// Time stamp, in microseconds, by the clock of the process that created
    /// it.
    uint64_t us;
    /// Time for which the other process stored the time stamp before returning
    /// it, microseconds.
    uint64_t kept_us;
};

struct SlAppend {
    uint64_t term;
    /// Version of the record before the first of entries.
    struct SlVersion previous;
    /// Commit index of the leader.
    uint64_t commit;
    /// Number of this heartbeat round, which the answer repeats. The answers
    /// to a round grant the leader's lease.
    uint64_t round;
    /// Time from the sending of this message for which the leader holds its
    /// lease and commit is current, microseconds; 0 when it holds no lease.
    uint64_t lease_us;
    /// The leader is stopping and has given up its lease; a new leader can be
    /// elected at once.
    bool resigns;
    uint32_t entry_count;
    struct SlLogEntry *entries;
    /// The time stamp of the receiver's latest answer that arrived before this
    /// message was sent.
    struct SlTimestamp echo;
    /// Election timeout of the leader's round; a receiver that answers grants
    /// no vote for so long. 0 for the configured one.
    uint64_t election_us;
};

struct SlAppended {
    uint64_t term;
    bool success;
    /// On success the last index up to which the logs match; on failure a hint
    /// at the index from which the leader should send again.
    uint64_t index;
    uint64_t round;
    uint64_t incarnation;
    /// Time of sending, which the leader returns in SlAppend.echo.
    struct SlTimestamp sent;
    /// For how long after the round's arrival the sender grants no vote; at
    /// most SlAppend.election_us. 0 for the configured election timeout.
    uint64_t election_us;
};

/// One part of a snapshot, for an instance whose log is too far behind to
/// catch up from log entries.
struct SlInstall {
    uint64_t term;
    /// Version of the last record that the snapshot covers.
    struct SlVersion last;
    /// Offset of this part within the snapshot.
    uint64_t offset;
    /// This is the last part of the snapshot.
    bool done;
    uint32_t data_bytes;
    const uint8_t *data;
};

struct SlInstalled {
    uint64_t term;
    /// Number of bytes of the snapshot that the sender has received.
    uint64_t offset;
    /// The sender has installed the snapshot.
    bool done;
    uint64_t incarnation;
};

struct SlJoin {
    char name[SL_NAME_BYTES];
    /// Address at which other control instances dial the sender.
    struct SlAddress link;
};

enum SlFlowRecordsAction {
    /// Changes of the records of an agent.
    SL_FLOW_RECORDS_CHANGE = 0,
    /// Requests all records of an agent.
    SL_FLOW_RECORDS_QUERY,
    /// The answer, in one or more messages; none when the sender has no
    /// records.
    SL_FLOW_RECORDS_ANSWER,
    SL_FLOW_RECORDS_ACTION_COUNT
};

/// See state/flow_journal.h.
struct SlFlowRecords {
    enum SlFlowRecordsAction action;
    /// Node id of the agent.
    uint64_t agent_id;
    /// Start of the run of the upstream that holds or held the flows,
    /// milliseconds since 1970.
    uint64_t started_ms;
    /// Passed on by another control instance; it is not passed on again.
    bool passed_on;
    uint32_t count;
    struct SlFlowRecord *records;
};

/// One message. kind selects the member of the union that is in use.
struct SlMessage {
    enum SlMessageKind kind;
    union {
        struct SlHello hello;
        struct SlHeartbeat heartbeat;
        /// ANNOUNCE: an object of kind SL_KIND_NODE.
        struct SlObject announce;
        struct SlSubscribe subscribe;
        struct SlConfigPart config;
        struct SlChange change;
        /// RESULT: the answer to the change that has the same client and
        /// request.
        struct {
            uint64_t client;
            uint64_t request;
            struct SlResult result;
        } result;
        struct SlQuery query;
        struct SlObjectAnswer object;
        struct SlText text;
        struct SlVote vote;
        struct SlVoted voted;
        struct SlAppend append;
        struct SlAppended appended;
        struct SlInstall install;
        struct SlInstalled installed;
        struct SlJoin join;
        struct SlFlowRecords flow_records;
    };
};

/// A byte buffer that grows as needed. Zero-initialise it; its owner releases
/// it with SlBuffer_Release.
struct SlBuffer {
    uint8_t *bytes;
    size_t length_bytes;
    size_t capacity_bytes;
};

/// Appends a copy of the bytes. Errors: SL_NO_MEMORY (the buffer is
/// unchanged).
enum SlStatus
SlBuffer_Append(struct SlBuffer *buffer, const void *bytes,
                size_t length_bytes);
/// Sets the length to 0 and keeps the allocated memory.
void
SlBuffer_Clear(struct SlBuffer *buffer);
/// Frees the memory; the buffer can be used again.
void
SlBuffer_Release(struct SlBuffer *buffer);

/// Appends one encoded message to buffer, which is unchanged on an error.
/// Errors: SL_NO_MEMORY, SL_TOO_LONG (over SL_FRAME_MAX_BYTES).
enum SlStatus
SlMessage_Encode(const struct SlMessage *message, struct SlBuffer *buffer);

/// Decodes one message. The message owns its arrays and data until
/// SlMessage_Release; bytes may be freed after the call.
/// Errors: SL_MALFORMED, SL_NO_MEMORY.
enum SlStatus
SlMessage_Decode(const uint8_t *bytes, size_t length_bytes,
                 struct SlMessage *message);

/// Frees the memory that SlMessage_Decode allocated. For decoded messages
/// only.
void
SlMessage_Release(struct SlMessage *message);

/// Returns the lower-case name of a kind, or "unknown".
const char *
SlMessageKind_Name(enum SlMessageKind kind);

/// The functions below encode single values in the same way, for logs,
/// snapshots and recordings. The decoders accept exactly one value and reject
/// trailing bytes.
enum SlStatus
SlChange_Encode(const struct SlChange *change, struct SlBuffer *buffer);
/// The decoded change owns its document until SlChange_Release.
enum SlStatus
SlChange_Decode(const uint8_t *bytes, size_t length_bytes,
                struct SlChange *change);
/// Frees the document of a decoded change. For decoded changes only.
void
SlChange_Release(struct SlChange *change);
enum SlStatus
SlObject_Encode(const struct SlObject *object, struct SlBuffer *buffer);
enum SlStatus
SlObject_Decode(const uint8_t *bytes, size_t length_bytes,
                struct SlObject *object);
enum SlStatus
SlRequestRecord_Encode(uint64_t client, uint64_t request,
                       const struct SlResult *result, struct SlBuffer *buffer);
enum SlStatus
SlRequestRecord_Decode(const uint8_t *bytes, size_t length_bytes,
                       uint64_t *client, uint64_t *request,
                       struct SlResult *result);

#endif
