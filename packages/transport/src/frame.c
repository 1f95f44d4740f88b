#include <string.h>

#include "savoryledge/transport/frame.h"

void
SlFrame_WriteHeader(uint8_t header[SL_FRAME_HEADER_BYTES], uint32_t body_bytes)
{
    for (int i = 0; i < SL_FRAME_HEADER_BYTES; i++) {
        header[i] = (uint8_t)(body_bytes >> (8 * (3 - i)));
    }
}

static uint32_t
read_header(const uint8_t *header)
{
    return (uint32_t)header[0] << 24 | (uint32_t)header[1] << 16 |
           (uint32_t)header[2] << 8 | header[3];
}

static void
drop_taken(struct SlFrameReader *reader)
{
    struct SlBuffer *buffer = &reader->buffer;
    size_t left = buffer->length_bytes - reader->consumed_bytes;

    if (reader->consumed_bytes == 0) {
        return;
    }
    memmove(buffer->bytes, buffer->bytes + reader->consumed_bytes, left);
    buffer->length_bytes = left;
    reader->consumed_bytes = 0;
}

enum SlStatus
SlFrameReader_Feed(struct SlFrameReader *reader, const uint8_t *bytes,
                   size_t length_bytes)
{
    drop_taken(reader);
    return SlBuffer_Append(&reader->buffer, bytes, length_bytes);
}

enum SlStatus
SlFrameReader_Next(struct SlFrameReader *reader, uint32_t max_bytes,
                   uint8_t **body, uint32_t *body_bytes)
{
    size_t left = reader->buffer.length_bytes - reader->consumed_bytes;
    uint8_t *at;
    uint32_t length;

    if (left < SL_FRAME_HEADER_BYTES) {
        return SL_AGAIN;
    }
    at = reader->buffer.bytes + reader->consumed_bytes;
    length = read_header(at);
    if (length > max_bytes) {
        return SL_TOO_LONG;
    }
    if (left - SL_FRAME_HEADER_BYTES < length) {
        return SL_AGAIN;
    }
    *body = at + SL_FRAME_HEADER_BYTES;
    *body_bytes = length;
    reader->consumed_bytes += SL_FRAME_HEADER_BYTES + length;
    return SL_OK;
}

void
SlFrameReader_Release(struct SlFrameReader *reader)
{
    SlBuffer_Release(&reader->buffer);
    reader->consumed_bytes = 0;
}
