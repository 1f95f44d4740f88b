#include <stdlib.h>
#include <string.h>

#include "savoryledge/protocol/message.h"

enum {
    INITIAL_CAPACITY_BYTES = 256,
};

static enum SlStatus
grow_buffer(struct SlBuffer *buffer, size_t needed_bytes)
{
    size_t capacity_bytes = buffer->capacity_bytes ? buffer->capacity_bytes
                                                   : INITIAL_CAPACITY_BYTES;
    uint8_t *bytes;

    while (capacity_bytes < needed_bytes) {
        capacity_bytes *= 2;
    }
    bytes = realloc(buffer->bytes, capacity_bytes);
    if (bytes == NULL) {
        return SL_NO_MEMORY;
    }
    buffer->bytes = bytes;
    buffer->capacity_bytes = capacity_bytes;
    return SL_OK;
}

enum SlStatus
SlBuffer_Append(struct SlBuffer *buffer, const void *bytes,
                size_t length_bytes)
{
    size_t needed = buffer->length_bytes + length_bytes;

    if (length_bytes == 0) {
        return SL_OK;
    }
    if (needed > buffer->capacity_bytes &&
        grow_buffer(buffer, needed) != SL_OK) {
        return SL_NO_MEMORY;
    }
    memcpy(buffer->bytes + buffer->length_bytes, bytes, length_bytes);
    buffer->length_bytes = needed;
    return SL_OK;
}

void
SlBuffer_Clear(struct SlBuffer *buffer)
{
    buffer->length_bytes = 0;
}

void
SlBuffer_Release(struct SlBuffer *buffer)
{
    free(buffer->bytes);
    *buffer = (struct SlBuffer){.bytes = NULL};
}
