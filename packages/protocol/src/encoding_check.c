#include "encoding_check.h"

/// What the head of a value says: bytes of head, bytes of payload behind it,
/// elements behind that.
struct head {
    uint32_t head_bytes;
    uint64_t payload_bytes;
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
read_size(const uint8_t *bytes, uint32_t size_bytes)
{
    uint64_t size = 0;

    for (uint32_t i = 0; i < size_bytes; i++) {
        size = size << 8 | bytes[i];
    }
    return size;
}

/// Bytes of the number behind the first byte that gives a length or count.
static uint32_t
size_bytes_of(uint8_t first)
{
    if (first >= BIN8 && first < EXT8) {
        return 1U << (first - BIN8);
    }
    if (first >= EXT8 && first < FLOAT32) {
        return 1U << (first - EXT8);
    }
    if (first >= STR8 && first < ARRAY16) {
        return 1U << (first - STR8);
    }
    if (first >= ARRAY16 && first < MAP16) {
        return 2U << (first - ARRAY16);
    }
    if (first >= MAP16 && first < NEGATIVE_FIXINT) {
        return 2U << (first - MAP16);
    }
    return 0;
}

/// Heads whose length stands in the first byte itself.
static struct head
fixed_head(uint8_t first)
{
    struct head head = {.head_bytes = 1};

    if (first >= FIXMAP && first < FIXARRAY) {
        head.elements = UINT64_C(2) * (first & 0x0fU);
    }
    else if (first >= FIXARRAY && first < FIXSTR) {
        head.elements = first & 0x0fU;
    }
    else if (first >= FIXSTR && first < NIL) {
        head.payload_bytes = first & 0x1fU;
    }
    else if (first == FLOAT32 || first == FLOAT64) {
        head.payload_bytes = 4U << (first - FLOAT32);
    }
    else if (first >= UINT8 && first < INT8) {
        head.payload_bytes = 1U << (first - UINT8);
    }
    else if (first >= INT8 && first < FIXEXT1) {
        head.payload_bytes = 1U << (first - INT8);
    }
    else if (first >= FIXEXT1 && first < STR8) {
        head.payload_bytes = 1 + (1U << (first - FIXEXT1));
    }
    return head;
}

static bool
read_head(const uint8_t *bytes, size_t length_bytes, struct head *head)
{
    uint8_t first = bytes[0];
    uint32_t size_bytes = size_bytes_of(first);
    uint64_t size;

    *head = fixed_head(first);
    if (size_bytes == 0) {
        return first != NEVER_USED;
    }
    if (length_bytes < 1 + size_bytes) {
        return false;
    }
    size = read_size(bytes + 1, size_bytes);
    head->head_bytes = 1 + size_bytes;
    if (first >= MAP16) {
        head->elements = 2 * size;
    }
    else if (first >= ARRAY16) {
        head->elements = size;
    }
    else if (first >= EXT8 && first < FLOAT32) {
        head->payload_bytes = size + 1;
    }
    else {
        head->payload_bytes = size;
    }
    return true;
}

bool
shape_is_sound(const uint8_t *bytes, size_t length_bytes)
{
    uint64_t owed = 1;
    size_t at = 0;

    while (owed > 0) {
        struct head head;

        if (at == length_bytes ||
            !read_head(bytes + at, length_bytes - at, &head)) {
            return false;
        }
        at += head.head_bytes;
        if (head.payload_bytes > length_bytes - at) {
            return false;
        }
        at += head.payload_bytes;
        owed += head.elements - 1;
        if (owed > length_bytes - at) {
            return false;
        }
    }
    return true;
}
