#ifndef SAVORYLEDGE_PROTOCOL_LAYOUT_H
#define SAVORYLEDGE_PROTOCOL_LAYOUT_H

/// Encoding of plain structs by a description of their fields: one table
/// serves the encoder, the decoder and the release of decoded memory.
///
/// A struct becomes a msgpack array with one element for each field. The
/// decoder accepts exactly that.

#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>

#include "savoryledge/common/status.h"

enum SlFieldType {
    SL_FIELD_U8,
    SL_FIELD_U16,
    SL_FIELD_U32,
    SL_FIELD_U64,
    SL_FIELD_BOOL,
    /// An int-sized enum in 0..limit-1.
    SL_FIELD_ENUM,
    /// A NUL-terminated array of limit bytes.
    SL_FIELD_TEXT,
    /// The 16 bytes of SlAddress.ip; IPv4 takes 4 on the wire.
    SL_FIELD_IP,
    /// A struct in place.
    SL_FIELD_STRUCT,
    /// {uint32_t count; item items[limit]} in place; items stand at
    /// items_offset.
    SL_FIELD_LIST,
    /// A pointer to items; the uint32_t count stands at count_offset.
    SL_FIELD_ARRAY,
    /// A pointer to bytes; the uint32_t length stands at count_offset.
    SL_FIELD_BLOB,
};

struct SlLayout;

struct SlField {
    enum SlFieldType type;
    uint32_t offset;
    uint32_t limit;
    uint32_t count_offset;
    uint32_t items_offset;
    const struct SlLayout *of;
};

struct SlLayout {
    size_t bytes;
    uint32_t field_count;
    /// Structs at the end that are left out while they are all zero; older
    /// encodings lack them.
    uint32_t optional_count;
    const struct SlField *fields;
};

#define SL_FIELD_PLAIN(kind, owner, member)                                   \
    {                                                                         \
        .type = (kind), .offset = offsetof(struct owner, member)              \
    }
#define SL_FIELD_CHARS(owner, member)                                         \
    {                                                                         \
        .type = SL_FIELD_TEXT, .offset = offsetof(struct owner, member),      \
        .limit = sizeof(((struct owner *)0)->member)                          \
    }
#define SL_FIELD_CHOICE(owner, member, count)                                 \
    {                                                                         \
        .type = SL_FIELD_ENUM, .offset = offsetof(struct owner, member),      \
        .limit = (count)                                                      \
    }
#define SL_FIELD_PART(owner, member, layout)                                  \
    {                                                                         \
        .type = SL_FIELD_STRUCT, .offset = offsetof(struct owner, member),    \
        .of = &(layout)                                                       \
    }
#define SL_FIELD_ITEMS(owner, member, max, layout)                            \
    {                                                                         \
        .type = SL_FIELD_LIST, .offset = offsetof(struct owner, member),      \
        .limit = (max), .of = &(layout),                                      \
        .items_offset = offsetof(struct owner, member.items)                  \
    }
#define SL_FIELD_POINTER(owner, member, counter, max, layout)                 \
    {                                                                         \
        .type = SL_FIELD_ARRAY, .offset = offsetof(struct owner, member),     \
        .limit = (max), .count_offset = offsetof(struct owner, counter),      \
        .of = &(layout)                                                       \
    }
#define SL_FIELD_BYTES(owner, member, counter, max)                           \
    {                                                                         \
        .type = SL_FIELD_BLOB, .offset = offsetof(struct owner, member),      \
        .limit = (max), .count_offset = offsetof(struct owner, counter)       \
    }
#define SL_LAYOUT(owner, table)                                               \
    {                                                                         \
        .bytes = sizeof(struct owner), .fields = (table),                     \
        .field_count = sizeof(table) / sizeof((table)[0])                     \
    }

#define SL_LAYOUT_OPTIONAL(owner, table, optional)                            \
    {                                                                         \
        .bytes = sizeof(struct owner), .fields = (table),                     \
        .field_count = sizeof(table) / sizeof((table)[0]),                    \
        .optional_count = (optional)                                          \
    }

/// Packs the struct at base.
void
SlLayout_Pack(const struct SlLayout *layout, const void *base,
              msgpack_packer *packer);

/// Reads the struct at base, which is zeroed first.
/// Errors: SL_MALFORMED, SL_NO_MEMORY; release base in either case.
enum SlStatus
SlLayout_Read(const struct SlLayout *layout, const msgpack_object *value,
              void *base);

/// Frees arrays and blobs that SlLayout_Read allocated below base.
void
SlLayout_Release(const struct SlLayout *layout, void *base);

#endif
