#ifndef SAVORYLEDGE_COMMON_STATUS_H
#define SAVORYLEDGE_COMMON_STATUS_H

/// Statuses and errors, shared by all packages.
///
/// A function that can fail because of the world returns an SlStatus. A
/// breach of a function's contract is an assertion. Objects that outlive a
/// call keep an SlError that tells the last failure with its step and peer.

#include <stdint.h>

enum SlStatus {
    SL_OK = 0,
    /// Memory or a bounded table is used up.
    SL_NO_MEMORY,
    SL_FULL,
    /// Input is cut short, too long, or not what its format allows.
    SL_MALFORMED,
    SL_TOO_LONG,
    SL_INVALID,
    SL_NOT_FOUND,
    /// A service, upstream or route does not exist.
    SL_NO_SERVICE,
    SL_NO_UPSTREAM,
    /// An object's version differs from the one that the writer expected.
    SL_CONFLICT,
    /// A request number that is older than those still remembered.
    SL_TOO_OLD,
    /// This control instance does not lead, or holds no fresh lease.
    SL_NOT_LEADER,
    SL_NO_QUORUM,
    SL_STALE,
    /// Durable state: the disk is full, or a file is damaged.
    SL_DISK_FULL,
    SL_DAMAGED,
    /// Operating system and peers.
    SL_IO,
    SL_TIMEOUT,
    SL_CLOSED,
    SL_AGAIN,
    /// A message whose key, tag or sequence number does not hold.
    SL_FORBIDDEN,
    SL_REPLAYED,
    SL_STATUS_COUNT
};

/// The step of the work during which an error arose.
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

/// The last failure of an object. Plain data; copy freely.
struct SlError {
    enum SlStatus status;
    enum SlStep step;
    /// Node name or address, empty when no peer took part.
    char peer[SL_ERROR_PEER_BYTES];
    char message[SL_ERROR_MESSAGE_BYTES];
};

/// A short lower-case name, for instance "not_leader". Never NULL.
const char *
SlStatus_Name(enum SlStatus status);

/// A short lower-case name of the step. Never NULL.
const char *
SlStep_Name(enum SlStep step);

/// Fills error and returns status, so that a caller can return the call.
///
/// error: may be NULL, then only the status is returned.
/// peer: may be NULL. Text that does not fit is cut.
enum SlStatus
SlError_Set(struct SlError *error, enum SlStatus status, enum SlStep step,
            const char *peer, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

#endif
