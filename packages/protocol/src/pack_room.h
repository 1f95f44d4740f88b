#ifndef SAVORYLEDGE_PROTOCOL_PACK_ROOM_H
#define SAVORYLEDGE_PROTOCOL_PACK_ROOM_H

/// msgpack's packing functions over a fixed room, made from the library's
/// template: room_pack_uint64 and so on. The compiler sees through them, which
/// it cannot with the callback of msgpack_packer.

#include <stdbool.h>
#include <stdint.h>
#include <string.h>

#include <msgpack.h>

/// Room being filled; a write that does not fit marks it full.
struct SlRoom {
    uint8_t *bytes;
    uint32_t used_bytes;
    uint32_t size_bytes;
    bool full;
};

static inline int
SlRoom_Write(struct SlRoom *room, const void *bytes, size_t length_bytes)
{
    if (room->full || room->size_bytes - room->used_bytes < length_bytes) {
        room->full = true;
        return -1;
    }
    memcpy(room->bytes + room->used_bytes, bytes, length_bytes);
    room->used_bytes += (uint32_t)length_bytes;
    return 0;
}

#define msgpack_pack_inline_func(name) static inline int room_pack##name
#define msgpack_pack_inline_func_cint(name) static inline int room_pack##name
#define msgpack_pack_inline_func_fixint(name)                                 \
    static inline int room_pack_fix##name
#define msgpack_pack_user struct SlRoom *
#define msgpack_pack_append_buffer(user, buf, len)                            \
    return SlRoom_Write((user), (buf), (len))

#include <msgpack/pack_template.h>

#endif
