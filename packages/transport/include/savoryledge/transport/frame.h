#ifndef SAVORYLEDGE_TRANSPORT_FRAME_H
#define SAVORYLEDGE_TRANSPORT_FRAME_H

/// Frames on a byte stream: four bytes of length, big-endian, then the body.

#include <stddef.h>
#include <stdint.h>

#include "savoryledge/protocol/message.h"

enum {
    SL_FRAME_HEADER_BYTES = 4,
};

/// Gathers bytes and cuts them into frames. Zero-initialise it.
struct SlFrameReader {
    struct SlBuffer buffer;
    size_t consumed_bytes;
};

void
SlFrame_WriteHeader(uint8_t header[SL_FRAME_HEADER_BYTES],
                    uint32_t body_bytes);

/// Errors: SL_NO_MEMORY.
enum SlStatus
SlFrameReader_Feed(struct SlFrameReader *reader, const uint8_t *bytes,
                   size_t length_bytes);
/// The next whole body, borrowed until the next call on reader; it may be
/// changed in place.
/// Errors: SL_AGAIN (not all there yet), SL_TOO_LONG (over max_bytes).
enum SlStatus
SlFrameReader_Next(struct SlFrameReader *reader, uint32_t max_bytes,
                   uint8_t **body, uint32_t *body_bytes);
void
SlFrameReader_Release(struct SlFrameReader *reader);

#endif
