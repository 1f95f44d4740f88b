#ifndef SAVORYLEDGE_COORDINATION_RECORDING_FORMAT_H
#define SAVORYLEDGE_COORDINATION_RECORDING_FORMAT_H

/// The layout that the writer and the reader of recordings share.

#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/recording.h"

enum {
    /// Raised when old recordings can no longer be replayed.
    SL_RECORD_FORMAT = 1,
    /// Length (4 bytes) and XXH3 of the body (8 bytes), little endian.
    SL_RECORD_HEAD_BYTES = 12,
    SL_RECORD_MAX_BYTES = 64 << 20,
    SL_RECORD_NODE_FIELDS = 24,
    SL_RECORD_INPUT_FIELDS = 5,
    SL_RECORD_MEMBER_FIELDS = 4,
    /// Kept of a packet that is neither whole TCP nor UDP.
    SL_RECORD_OPAQUE_BYTES = 128,
};

#endif
