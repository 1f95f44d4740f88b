#ifndef SAVORYLEDGE_PROTOCOL_LAYOUT_H
#define SAVORYLEDGE_PROTOCOL_LAYOUT_H

/// Table-driven encoding of plain structs. One table that describes the fields
/// of a struct drives the encoder, the decoder and the release of decoded
/// memory.
///
/// A struct is encoded as a msgpack array with one element for each field. The
/// decoder accepts exactly that form.

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
    /// An enum of the size of an int, with values 0..limit-1.
    SL_FIELD_ENUM,
    /// A NUL-terminated text in an array of limit bytes.
    SL_FIELD_TEXT,
    /// The 16 bytes of SlAddress.ip. An IPv4 address is encoded in 4 bytes.
    SL_FIELD_IP,
    /// An embedded struct, described by layout.
    SL_FIELD_STRUCT,
    /// An embedded {uint32_t count; item items[limit]} with its items at
    /// items_offset.
    SL_FIELD_LIST,
    /// A pointer to at most limit items, with their uint32_t count at
    /// count_offset.
    SL_FIELD_ARRAY,
    /// A pointer to at most limit bytes, with their uint32_t length at
    /// count_offset.
    SL_FIELD_BLOB,
};

struct SlLayout;

/// One field of a struct. All offsets are in bytes from the start of the
/// struct.
struct SlField {
    enum SlFieldType type;
    uint32_t offset;
    uint32_t limit;
    uint32_t count_offset;
    uint32_t items_offset;
    /// Layout of the embedded struct, or of one item.
    const struct SlLayout *layout;
};

struct SlLayout {
    /// Size of the struct.
    size_t size_bytes;
    uint32_t field_count;
    /// Number of fields at the end, numbers or structs, that are left out of
    /// the encoding while they are all zero. Older encodings lack them.
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
#define SL_FIELD_PART(owner, member, layout_)                                 \
    {                                                                         \
        .type = SL_FIELD_STRUCT, .offset = offsetof(struct owner, member),    \
        .layout = &(layout_)                                                  \
    }
#define SL_FIELD_ITEMS(owner, member, max, layout_)                           \
    {                                                                         \
        .type = SL_FIELD_LIST, .offset = offsetof(struct owner, member),      \
        .limit = (max), .layout = &(layout_),                                 \
        .items_offset = offsetof(struct owner, member.items)                  \
    }
#define SL_FIELD_POINTER(owner, member, counter, max, layout_)                \
    {                                                                         \
        .type = SL_FIELD_ARRAY, .offset = offsetof(struct owner, member),     \
        .limit = (max), .count_offset = offsetof(struct owner, counter),      \
        .layout = &(layout_)                                                  \
    }
#define SL_FIELD_BYTES(owner, member, counter, max)                           \
    {                                                                         \
        .type = SL_FIELD_BLOB, .offset = offsetof(struct owner, member),      \
        .limit = (max), .count_offset = offsetof(struct owner, counter)       \
    }
#define SL_LAYOUT(owner, table)                                               \
    {                                                                         \
        .size_bytes = sizeof(struct owner), .fields = (table),                \
        .field_count = sizeof(table) / sizeof((table)[0])                     \
    }

#define SL_LAYOUT_OPTIONAL(owner, table, optional)                            \
    {                                                                         \
        .size_bytes = sizeof(struct owner), .fields = (table),                \
        .field_count = sizeof(table) / sizeof((table)[0]),                    \
        .optional_count = (optional)                                          \
    }

/// Packs the struct at base as one msgpack value.
void
SlLayout_Pack(const struct SlLayout *layout, const void *base,
              msgpack_packer *packer);

/// Reads the struct at base from a msgpack value; the struct is zeroed first.
/// Errors: SL_MALFORMED, SL_NO_MEMORY. The caller releases base with
/// SlLayout_Release after an error as well.
enum SlStatus
SlLayout_Read(const struct SlLayout *layout, const msgpack_object *value,
              void *base);

/// Frees the arrays and blobs that SlLayout_Read allocated for the struct at
/// base.
void
SlLayout_Release(const struct SlLayout *layout, void *base);

#endif
