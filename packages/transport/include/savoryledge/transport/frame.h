#ifndef SAVORYLEDGE_TRANSPORT_FRAME_H
#define SAVORYLEDGE_TRANSPORT_FRAME_H

/// Length-prefixed frames on a byte stream: the length of the body in four
/// bytes, big-endian, then the body.

#include <stddef.h>
#include <stdint.h>

#include "savoryledge/protocol/message.h"

enum {
    SL_FRAME_HEADER_BYTES = 4,
};

/// Splits received bytes into frames. Initialise the reader with zeros.
struct SlFrameReader {
    struct SlBuffer buffer;
    /// Bytes at the start of buffer that belong to frames already returned.
    size_t consumed_bytes;
};

/// Writes the header of a frame whose body has body_bytes bytes.
void
SlFrame_WriteHeader(uint8_t header[SL_FRAME_HEADER_BYTES],
                    uint32_t body_bytes);

/// Appends a copy of received bytes to the reader's buffer. Errors:
/// SL_NO_MEMORY.
enum SlStatus
SlFrameReader_Feed(struct SlFrameReader *reader, const uint8_t *bytes,
                   size_t length_bytes);
/// Returns the body of the next complete frame. body points into the reader's
/// buffer and is valid until the next call on reader; the caller may modify
/// it. Errors: SL_AGAIN (the frame is incomplete so far), SL_TOO_LONG (the
/// body is longer than max_bytes).
enum SlStatus
SlFrameReader_Next(struct SlFrameReader *reader, uint32_t max_bytes,
                   uint8_t **body, uint32_t *body_bytes);
/// Frees the reader's buffer. The reader is then empty and may be used again.
void
SlFrameReader_Release(struct SlFrameReader *reader);

#endif
