#ifndef SAVORYLEDGE_COORDINATION_RECORDING_FORMAT_H
#define SAVORYLEDGE_COORDINATION_RECORDING_FORMAT_H

/// Constants of the recording format, shared by the writer and the reader.

#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/recording.h"

enum {
    /// Increased when older recordings can no longer be replayed.
    SL_RECORD_FORMAT_VERSION = 1,
    /// Each record starts with the length of its body (4 bytes) and the XXH3
    /// checksum of the body (8 bytes), both little-endian.
    SL_RECORD_HEADER_BYTES = 12,
    SL_RECORD_MAX_BYTES = 64 << 20,
    SL_RECORD_NODE_FIELD_COUNT = 24,
    SL_RECORD_INPUT_FIELD_COUNT = 5,
    SL_RECORD_MEMBER_FIELD_COUNT = 4,
    /// Leading bytes recorded of a packet that is neither a whole TCP nor a
    /// whole UDP packet.
    SL_RECORD_OPAQUE_PACKET_BYTES = 128,
};

#endif
