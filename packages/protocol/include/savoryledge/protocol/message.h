#ifndef SAVORYLEDGE_PROTOCOL_MESSAGE_H
#define SAVORYLEDGE_PROTOCOL_MESSAGE_H

/// Messages of the links: TCP connections between processes, and between
/// savoryledgectl and a process. Each is one frame holding a msgpack array.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "savoryledge/state/object.h"

enum {
    /// Largest frame on a link.
    SL_FRAME_MAX_BYTES = 1 << 20,
    SL_MEMBERS_CONTROL_MAX = 9,
    SL_BLOB_CHUNK_BYTES = 256 * 1024,
};

enum SlMessageKind {
    SL_MESSAGE_NONE = 0,
    /// First on every link, both ways.
    SL_MESSAGE_HELLO,
    /// Both ways at a fixed interval.
    SL_MESSAGE_HEARTBEAT,
    /// Process to control: this is what I am now.
    SL_MESSAGE_ANNOUNCE,
    /// Process to control or peer: send me what follows my version.
    SL_MESSAGE_SUBSCRIBE,
    /// To a subscriber: a part of the whole configuration, or of a delta.
    SL_MESSAGE_CONFIG,
    /// Operator to control, and the answer.
    SL_MESSAGE_CHANGE,
    SL_MESSAGE_RESULT,
    /// Operator to any process: objects of a kind, status, metrics.
    SL_MESSAGE_QUERY,
    SL_MESSAGE_OBJECT,
    SL_MESSAGE_TEXT,
    /// Replicated log (Ongaro, 2014), between control instances.
    SL_MESSAGE_VOTE,
    SL_MESSAGE_VOTED,
    SL_MESSAGE_APPEND,
    SL_MESSAGE_APPENDED,
    SL_MESSAGE_INSTALL,
    SL_MESSAGE_INSTALLED,
    /// A control instance without a leader asks to be taken in; one that is
    /// no leader passes it on to the leader.
    SL_MESSAGE_JOIN,
    SL_MESSAGE_KIND_COUNT
};

struct SlHello {
    char name[SL_NAME_BYTES];
    uint32_t roles;
    uint64_t boot;
    struct SlVersion version;
};

struct SlHeartbeat {
    struct SlVersion version;
    /// Control: this instance holds a fresh lease, so version is current.
    bool fresh;
    /// Sender's monotonic time, echoed in echo_us by the other side.
    uint64_t sent_us;
    uint64_t echo_us;
};

struct SlSubscribe {
    struct SlVersion version;
};

enum {
    SL_CONFIG_OBJECTS_MAX = 32,
};

/// A part of a delta or of the whole. The receiver gathers parts from
/// first to last and then applies them at once.
struct SlConfigPart {
    struct SlVersion from;
    struct SlVersion to;
    /// The parts hold the whole configuration: forget what is not in them.
    bool full;
    bool first;
    bool last;
    /// Sent under a fresh lease.
    bool fresh;
    uint32_t object_count;
    struct SlObject *objects;
    /// Deleted objects: kind and name only.
    uint32_t removed_count;
    struct SlObject *removed;
    /// Version 0: the parts leave the document as it is.
    struct SlDocumentText document;
};

enum SlQueryKind {
    SL_QUERY_NONE = 0,
    /// Objects of a kind; name empty for all.
    SL_QUERY_OBJECTS,
    SL_QUERY_STATUS,
    SL_QUERY_METRICS,
    /// Which subscribers hold at least version.
    SL_QUERY_IN_FORCE,
    /// Switches the recording on (name is the file) or off (empty).
    SL_QUERY_RECORD,
    SL_QUERY_KIND_COUNT
};

struct SlQuery {
    enum SlQueryKind query;
    enum SlKind kind;
    char name[SL_NAME_BYTES];
    struct SlVersion version;
};

/// One object of an answer to SL_QUERY_OBJECTS; the last has end set and no
/// object.
struct SlObjectAnswer {
    bool end;
    struct SlObject object;
};

/// A text answer, key=value lines.
struct SlText {
    enum SlStatus status;
    uint32_t length_bytes;
    const char *text;
};

struct SlVote {
    uint64_t term;
    /// Pre-vote: would you vote for me? Changes no state.
    bool pre_vote;
    struct SlVersion last;
};

struct SlVoted {
    uint64_t term;
    bool pre_vote;
    bool granted;
    uint64_t incarnation;
};

/// One entry of the replicated log; data is an encoded SlChange, borrowed.
struct SlLogEntry {
    uint64_t term;
    uint64_t index;
    const uint8_t *data;
    uint32_t data_bytes;
};

/// A time by the clock of one process, for that process alone.
struct SlTimestamp {
    uint64_t us;
    /// How long the other process kept it before it returned it.
    uint64_t kept_us;
};

struct SlAppend {
    uint64_t term;
    struct SlVersion previous;
    uint64_t commit;
    /// Number of this heartbeat round, echoed; grants the leader's lease.
    uint64_t round;
    /// For so long from its sending on the leader holds its lease, and commit
    /// is current; 0 it holds none.
    uint64_t lease_us;
    /// The leader stops: its lease is over, elect another at once.
    bool resigns;
    uint32_t entry_count;
    struct SlLogEntry *entries;
    /// The stamp of the receiver's last answer that came before this was sent.
    struct SlTimestamp echo;
};

struct SlAppended {
    uint64_t term;
    bool success;
    /// On success the last matching index, else a hint where to go back to.
    uint64_t index;
    uint64_t round;
    uint64_t incarnation;
    /// When it was sent; the leader returns it.
    struct SlTimestamp sent;
};

/// A part of a snapshot for an instance that is far behind.
struct SlInstall {
    uint64_t term;
    struct SlVersion last;
    uint64_t offset;
    bool done;
    uint32_t data_bytes;
    const uint8_t *data;
};

struct SlInstalled {
    uint64_t term;
    uint64_t offset;
    bool done;
    uint64_t incarnation;
};

struct SlJoin {
    char name[SL_NAME_BYTES];
    struct SlAddress link;
};

/// One message. kind tells which member is in use.
struct SlMessage {
    enum SlMessageKind kind;
    union {
        struct SlHello hello;
        struct SlHeartbeat heartbeat;
        /// ANNOUNCE: kind SL_KIND_NODE.
        struct SlObject announce;
        struct SlSubscribe subscribe;
        struct SlConfigPart config;
        struct SlChange change;
        /// RESULT: answers the change with the same client and request.
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
    };
};

/// A growing byte buffer, owned by its user. Zero-initialise it.
struct SlBuffer {
    uint8_t *bytes;
    size_t length_bytes;
    size_t capacity_bytes;
};

/// Appends. Errors: SL_NO_MEMORY (the buffer is unchanged).
enum SlStatus
SlBuffer_Append(struct SlBuffer *buffer, const void *bytes,
                size_t length_bytes);
void
SlBuffer_Clear(struct SlBuffer *buffer);
void
SlBuffer_Release(struct SlBuffer *buffer);

/// Encodes one message at the end of buffer.
/// Errors: SL_NO_MEMORY, SL_TOO_LONG (over SL_FRAME_MAX_BYTES).
enum SlStatus
SlMessage_Encode(const struct SlMessage *message, struct SlBuffer *buffer);

/// Decodes one message. It owns arrays and borrowed data until
/// SlMessage_Release; bytes may go at once.
/// Errors: SL_MALFORMED, SL_NO_MEMORY.
enum SlStatus
SlMessage_Decode(const uint8_t *bytes, size_t length_bytes,
                 struct SlMessage *message);

/// Frees what SlMessage_Decode allocated. Only for decoded messages.
void
SlMessage_Release(struct SlMessage *message);

const char *
SlMessageKind_Name(enum SlMessageKind kind);

/// Single values in the same encoding, for logs, snapshots and recordings.
/// The decoders take exactly one value and reject trailing bytes.
enum SlStatus
SlChange_Encode(const struct SlChange *change, struct SlBuffer *buffer);
/// The document of a decoded change is owned until SlChange_Release.
enum SlStatus
SlChange_Decode(const uint8_t *bytes, size_t length_bytes,
                struct SlChange *change);
/// Only for decoded changes.
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
