#include "savoryledge/protocol/encoding.h"

/// The decoded header of a msgpack value.
struct value_header {
    /// Length of the header in bytes.
    uint32_t header_bytes;
    /// Length in bytes of the payload that follows the header.
    uint64_t payload_bytes;
    /// Number of values that follow as elements of a container.
    uint64_t elements;
};

enum {
    FIXMAP = 0x80,
    FIXARRAY = 0x90,
    FIXSTR = 0xa0,
    NIL = 0xc0,
    NEVER_USED = 0xc1,
    BIN8 = 0xc4,
    EXT8 = 0xc7,
    FLOAT32 = 0xca,
    FLOAT64 = 0xcb,
    UINT8 = 0xcc,
    INT8 = 0xd0,
    FIXEXT1 = 0xd4,
    STR8 = 0xd9,
    ARRAY16 = 0xdc,
    MAP16 = 0xde,
    NEGATIVE_FIXINT = 0xe0,
};

/// Reads a big-endian number of 1, 2 or 4 bytes.
static uint64_t
read_big_endian(const uint8_t *bytes, uint32_t size_bytes)
{
    uint64_t number = 0;

    for (uint32_t i = 0; i < size_bytes; i++) {
        number = number << 8 | bytes[i];
    }
    return number;
}

/// Returns the size in bytes of the length or count that follows the type
/// byte; 0 when the type has none.
static uint32_t
length_field_bytes(uint8_t type)
{
    if (type >= BIN8 && type < EXT8) {
        return 1U << (type - BIN8);
    }
    if (type >= EXT8 && type < FLOAT32) {
        return 1U << (type - EXT8);
    }
    if (type >= STR8 && type < ARRAY16) {
        return 1U << (type - STR8);
    }
    if (type >= ARRAY16 && type < MAP16) {
        return 2U << (type - ARRAY16);
    }
    if (type >= MAP16 && type < NEGATIVE_FIXINT) {
        return 2U << (type - MAP16);
    }
    return 0;
}

/// The header of a type whose length is given by the type byte alone.
static struct value_header
fixed_size_header(uint8_t type)
{
    struct value_header header = {.header_bytes = 1};

    if (type >= FIXMAP && type < FIXARRAY) {
        header.elements = UINT64_C(2) * (type & 0x0fU);
    }
    else if (type >= FIXARRAY && type < FIXSTR) {
        header.elements = type & 0x0fU;
    }
    else if (type >= FIXSTR && type < NIL) {
        header.payload_bytes = type & 0x1fU;
    }
    else if (type == FLOAT32 || type == FLOAT64) {
        header.payload_bytes = 4U << (type - FLOAT32);
    }
    else if (type >= UINT8 && type < INT8) {
        header.payload_bytes = 1U << (type - UINT8);
    }
    else if (type >= INT8 && type < FIXEXT1) {
        header.payload_bytes = 1U << (type - INT8);
    }
    else if (type >= FIXEXT1 && type < STR8) {
        header.payload_bytes = 1 + (1U << (type - FIXEXT1));
    }
    return header;
}

static bool
read_header(const uint8_t *bytes, size_t length_bytes,
            struct value_header *header)
{
    uint8_t type = bytes[0];
    uint32_t size_bytes = length_field_bytes(type);
    uint64_t length;

    *header = fixed_size_header(type);
    if (size_bytes == 0) {
        return type != NEVER_USED;
    }
    if (length_bytes < 1 + size_bytes) {
        return false;
    }
    length = read_big_endian(bytes + 1, size_bytes);
    header->header_bytes = 1 + size_bytes;
    if (type >= MAP16) {
        header->elements = 2 * length;
    }
    else if (type >= ARRAY16) {
        header->elements = length;
    }
    else if (type >= EXT8 && type < FLOAT32) {
        header->payload_bytes = length + 1;
    }
    else {
        header->payload_bytes = length;
    }
    return true;
}

bool
SlEncoding_IsWellFormed(const uint8_t *bytes, size_t length_bytes,
                        uint32_t max_values)
{
    uint64_t pending_values = 1;
    uint32_t values = 0;
    size_t offset = 0;

    while (pending_values > 0) {
        struct value_header header;

        if (offset == length_bytes || ++values > max_values ||
            !read_header(bytes + offset, length_bytes - offset, &header)) {
            return false;
        }
        offset += header.header_bytes;
        if (header.payload_bytes > length_bytes - offset) {
            return false;
        }
        offset += header.payload_bytes;
        pending_values += header.elements - 1;
        if (pending_values > length_bytes - offset) {
            return false;
        }
    }
    return true;
}
