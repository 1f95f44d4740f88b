#ifndef SAVORYLEDGE_COMMON_STATUS_H
#define SAVORYLEDGE_COMMON_STATUS_H

/// Status codes and errors, shared by all packages.
///
/// A function that can fail for external reasons returns an SlStatus. A
/// violation of a function's contract is caught by an assertion. An object
/// that outlives a call stores its last failure in an SlError, with the step
/// and the peer.

#include <stdint.h>

enum SlStatus {
    SL_OK = 0,
    /// Memory is exhausted.
    SL_NO_MEMORY,
    /// A table of fixed size is full.
    SL_FULL,
    /// Input is truncated, too long, or not permitted by its format.
    SL_MALFORMED,
    SL_TOO_LONG,
    SL_INVALID,
    SL_NOT_FOUND,
    /// A service, upstream or route does not exist.
    SL_NO_SERVICE,
    SL_NO_UPSTREAM,
    /// An object's version differs from the one that the writer expected.
    SL_CONFLICT,
    /// The request number is older than the oldest recorded one.
    SL_TOO_OLD,
    /// This control instance is not the leader or holds no fresh lease.
    SL_NOT_LEADER,
    SL_NO_QUORUM,
    SL_STALE,
    /// Durable state: the disk is full or a file is damaged.
    SL_DISK_FULL,
    SL_DAMAGED,
    /// Failures of the operating system or a peer.
    SL_IO,
    SL_TIMEOUT,
    SL_CLOSED,
    SL_AGAIN,
    /// The key, authentication tag or sequence number of a message is invalid.
    SL_FORBIDDEN,
    SL_REPLAYED,
    SL_STATUS_COUNT
};

/// The step of processing in which an error occurred.
enum SlStep {
    SL_STEP_NONE = 0,
    SL_STEP_SETTINGS,
    SL_STEP_OPEN,
    SL_STEP_PARSE,
    SL_STEP_ROUTE,
    SL_STEP_ADMIT,
    SL_STEP_LOCATE,
    SL_STEP_DELIVER,
    SL_STEP_CONNECT,
    SL_STEP_HANDSHAKE,
    SL_STEP_SEND,
    SL_STEP_RECEIVE,
    SL_STEP_DECODE,
    SL_STEP_PROPOSE,
    SL_STEP_APPEND,
    SL_STEP_SYNC,
    SL_STEP_RECOVER,
    SL_STEP_SNAPSHOT,
    SL_STEP_VOTE,
    SL_STEP_APPLY,
    SL_STEP_DISTRIBUTE,
    SL_STEP_RECORD,
    SL_STEP_REPLAY,
    SL_STEP_COUNT
};

enum {
    SL_ERROR_MESSAGE_BYTES = 192,
    SL_ERROR_PEER_BYTES = 64,
};

/// The latest failure of an object. The struct contains no pointers and may be
/// copied.
struct SlError {
    enum SlStatus status;
    enum SlStep step;
    /// Node name or address of the peer, empty when no peer was involved.
    char peer[SL_ERROR_PEER_BYTES];
    char message[SL_ERROR_MESSAGE_BYTES];
};

/// Returns a short lower-case name, for instance "not_leader". Never NULL.
const char *
SlStatus_Name(enum SlStatus status);

/// Returns a short lower-case name of the step. Never NULL.
const char *
SlStep_Name(enum SlStep step);

/// Fills error and returns status, so that a function can end with
/// `return SlError_Set(...)`.
///
/// error: may be NULL; then only the status is returned.
/// peer: may be NULL. Text that does not fit is truncated.
enum SlStatus
SlError_Set(struct SlError *error, enum SlStatus status, enum SlStep step,
            const char *peer, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

#endif
