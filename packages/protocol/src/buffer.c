#include <stdlib.h>
#include <string.h>

#include "savoryledge/protocol/message.h"

enum {
    FIRST_ROOM_BYTES = 256,
};

static enum SlStatus
grow(struct SlBuffer *buffer, size_t needed_bytes)
{
    size_t room =
        buffer->capacity_bytes ? buffer->capacity_bytes : FIRST_ROOM_BYTES;
    uint8_t *bytes;

    while (room < needed_bytes) {
        room *= 2;
    }
    bytes = realloc(buffer->bytes, room);
    if (bytes == NULL) {
        return SL_NO_MEMORY;
    }
    buffer->bytes = bytes;
    buffer->capacity_bytes = room;
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
    if (needed > buffer->capacity_bytes && grow(buffer, needed) != SL_OK) {
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
