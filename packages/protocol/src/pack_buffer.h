#ifndef SAVORYLEDGE_PROTOCOL_PACK_BUFFER_H
#define SAVORYLEDGE_PROTOCOL_PACK_BUFFER_H

/// msgpack's packing functions for a buffer of fixed size, generated from the
/// library's template: buffer_pack_uint64 and so on. The compiler can inline
/// them, which the callback of msgpack_packer prevents.

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <msgpack.h>

/// A buffer of fixed size. A write that does not fit sets full; all later
/// writes then fail.
struct SlPackBuffer {
    uint8_t *bytes;
    uint32_t used_bytes;
    uint32_t size_bytes;
    bool full;
};

static inline int
SlPackBuffer_Write(struct SlPackBuffer *buffer, const void *bytes,
                   size_t length_bytes)
{
    if (buffer->full ||
        buffer->size_bytes - buffer->used_bytes < length_bytes) {
        buffer->full = true;
        return -1;
    }
    memcpy(buffer->bytes + buffer->used_bytes, bytes, length_bytes);
    buffer->used_bytes += (uint32_t)length_bytes;
    return 0;
}

#define msgpack_pack_inline_func(name) static inline int buffer_pack##name
#define msgpack_pack_inline_func_cint(name) static inline int buffer_pack##name
#define msgpack_pack_inline_func_fixint(name)                                 \
    static inline int buffer_pack_fix##name
#define msgpack_pack_user struct SlPackBuffer *
#define msgpack_pack_append_buffer(user, buf, len)                            \
    return SlPackBuffer_Write((user), (buf), (len))

#include <msgpack/pack_template.h>

#endif
