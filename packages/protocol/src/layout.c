#include "layout.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "savoryledge/common/address.h"

enum {
    IP_BYTES = 16,
    IPV4_OFFSET = 12,
    IPV4_BYTES = 4,
};

static uint32_t
load_u32(const uint8_t *source)
{
    uint32_t value;

    memcpy(&value, source, sizeof(value));
    return value;
}

static void *
load_pointer(const uint8_t *source)
{
    void *value;

    memcpy(&value, source, sizeof(value));
    return value;
}

static void
store_pointer(uint8_t *target, void *value)
{
    memcpy(target, &value, sizeof(value));
}

static void
pack_bytes(msgpack_packer *packer, const void *bytes, size_t length_bytes)
{
    msgpack_pack_bin(packer, length_bytes);
    msgpack_pack_bin_body(packer, bytes, length_bytes);
}

static void
pack_ip(msgpack_packer *packer, const uint8_t *ip)
{
    struct SlAddress address = {.port = 0};

    memcpy(address.ip, ip, IP_BYTES);
    if (SlAddress_IsIpv4(&address)) {
        pack_bytes(packer, ip + IPV4_OFFSET, IPV4_BYTES);
    }
    else {
        pack_bytes(packer, ip, IP_BYTES);
    }
}

static void
pack_items(const struct SlLayout *layout, const uint8_t *items, uint32_t count,
           msgpack_packer *packer)
{
    msgpack_pack_array(packer, count);
    for (uint32_t i = 0; i < count; i++) {
        SlLayout_Pack(layout, items + (size_t)i * layout->size_bytes, packer);
    }
}

static void
pack_field(const struct SlField *field, const uint8_t *base,
           msgpack_packer *packer)
{
    const uint8_t *source = base + field->offset;
    uint64_t number;
    uint16_t number16;

    switch (field->type) {
    case SL_FIELD_U8:
        msgpack_pack_uint8(packer, *source);
        break;
    case SL_FIELD_U16:
        memcpy(&number16, source, sizeof(number16));
        msgpack_pack_uint16(packer, number16);
        break;
    case SL_FIELD_U32:
    case SL_FIELD_ENUM:
        msgpack_pack_uint32(packer, load_u32(source));
        break;
    case SL_FIELD_U64:
        memcpy(&number, source, sizeof(number));
        msgpack_pack_uint64(packer, number);
        break;
    case SL_FIELD_BOOL:
        if (*source) {
            msgpack_pack_true(packer);
        }
        else {
            msgpack_pack_false(packer);
        }
        break;
    case SL_FIELD_TEXT:
        msgpack_pack_str(packer,
                         strnlen((const char *)source, field->limit - 1));
        msgpack_pack_str_body(packer, source,
                              strnlen((const char *)source, field->limit - 1));
        break;
    case SL_FIELD_IP:
        pack_ip(packer, source);
        break;
    case SL_FIELD_STRUCT:
        SlLayout_Pack(field->layout, source, packer);
        break;
    case SL_FIELD_LIST:
        pack_items(field->layout, base + field->items_offset, load_u32(source),
                   packer);
        break;
    case SL_FIELD_ARRAY:
        pack_items(field->layout, load_pointer(source),
                   load_u32(base + field->count_offset), packer);
        break;
    case SL_FIELD_BLOB:
        pack_bytes(packer, load_pointer(source),
                   load_u32(base + field->count_offset));
        break;
    }
}

/// Returns the size of an optional field, which is a number or a struct.
static size_t
optional_size_bytes(const struct SlField *field)
{
    switch (field->type) {
    case SL_FIELD_U8:
        return sizeof(uint8_t);
    case SL_FIELD_BOOL:
        return sizeof(bool);
    case SL_FIELD_U16:
        return sizeof(uint16_t);
    case SL_FIELD_U32:
        return sizeof(uint32_t);
    case SL_FIELD_U64:
        return sizeof(uint64_t);
    default:
        return field->layout->size_bytes;
    }
}

static bool
is_all_zero(const struct SlField *field, const uint8_t *base)
{
    const uint8_t *source = base + field->offset;
    size_t size_bytes = optional_size_bytes(field);

    for (size_t i = 0; i < size_bytes; i++) {
        if (source[i] != 0) {
            return false;
        }
    }
    return true;
}

/// Returns the number of fields to encode: all but the trailing optional ones
/// that are zero.
static uint32_t
count_present_fields(const struct SlLayout *layout, const uint8_t *base)
{
    uint32_t required_count = layout->field_count - layout->optional_count;
    uint32_t count = layout->field_count;

    while (count > required_count &&
           is_all_zero(&layout->fields[count - 1], base)) {
        count--;
    }
    return count;
}

void
SlLayout_Pack(const struct SlLayout *layout, const void *base,
              msgpack_packer *packer)
{
    uint32_t count = count_present_fields(layout, base);

    msgpack_pack_array(packer, count);
    for (uint32_t i = 0; i < count; i++) {
        pack_field(&layout->fields[i], base, packer);
    }
}

static enum SlStatus
read_number(const msgpack_object *value, uint64_t limit, uint64_t *number)
{
    if (value->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        value->via.u64 > limit) {
        return SL_MALFORMED;
    }
    *number = value->via.u64;
    return SL_OK;
}

static enum SlStatus
read_integer(const struct SlField *field, const msgpack_object *value,
             uint8_t *target)
{
    uint64_t number = 0;
    uint32_t number32;
    uint16_t number16;
    uint64_t limit = field->type == SL_FIELD_U8    ? UINT8_MAX
                     : field->type == SL_FIELD_U16 ? UINT16_MAX
                     : field->type == SL_FIELD_U64 ? UINT64_MAX
                                                   : UINT32_MAX;

    if (field->type == SL_FIELD_ENUM) {
        limit = field->limit - 1;
    }
    if (read_number(value, limit, &number) != SL_OK) {
        return SL_MALFORMED;
    }
    number32 = (uint32_t)number;
    number16 = (uint16_t)number;
    if (field->type == SL_FIELD_U8) {
        *target = (uint8_t)number;
    }
    else if (field->type == SL_FIELD_U16) {
        memcpy(target, &number16, sizeof(number16));
    }
    else if (field->type == SL_FIELD_U64) {
        memcpy(target, &number, sizeof(number));
    }
    else {
        memcpy(target, &number32, sizeof(number32));
    }
    return SL_OK;
}

static enum SlStatus
read_text(const struct SlField *field, const msgpack_object *value,
          uint8_t *target)
{
    if (value->type != MSGPACK_OBJECT_STR ||
        value->via.str.size >= field->limit) {
        return SL_MALFORMED;
    }
    if (value->via.str.size == 0) {
        /* msgpack may give an empty text a NULL pointer. */
        return SL_OK;
    }
    if (memchr(value->via.str.ptr, '\0', value->via.str.size) != NULL) {
        return SL_MALFORMED;
    }
    memcpy(target, value->via.str.ptr, value->via.str.size);
    return SL_OK;
}

static enum SlStatus
read_ip(const msgpack_object *value, uint8_t *target)
{
    if (value->type != MSGPACK_OBJECT_BIN) {
        return SL_MALFORMED;
    }
    if (value->via.bin.size == IP_BYTES) {
        memcpy(target, value->via.bin.ptr, IP_BYTES);
        return SL_OK;
    }
    if (value->via.bin.size != IPV4_BYTES) {
        return SL_MALFORMED;
    }
    target[10] = UINT8_MAX;
    target[11] = UINT8_MAX;
    memcpy(target + IPV4_OFFSET, value->via.bin.ptr, IPV4_BYTES);
    return SL_OK;
}

static enum SlStatus
read_items(const struct SlLayout *layout, const msgpack_object *value,
           uint8_t *items)
{
    for (uint32_t i = 0; i < value->via.array.size; i++) {
        enum SlStatus status =
            SlLayout_Read(layout, &value->via.array.ptr[i],
                          items + (size_t)i * layout->size_bytes);

        if (status != SL_OK) {
            return status;
        }
    }
    return SL_OK;
}

static enum SlStatus
read_array(const struct SlField *field, const msgpack_object *value,
           uint8_t *base)
{
    uint32_t count;
    void *items;

    if (value->type != MSGPACK_OBJECT_ARRAY ||
        value->via.array.size > field->limit) {
        return SL_MALFORMED;
    }
    count = value->via.array.size;
    if (count == 0) {
        return SL_OK;
    }
    items = calloc(count, field->layout->size_bytes);
    if (items == NULL) {
        return SL_NO_MEMORY;
    }
    store_pointer(base + field->offset, items);
    memcpy(base + field->count_offset, &count, sizeof(count));
    return read_items(field->layout, value, items);
}

static enum SlStatus
read_blob(const struct SlField *field, const msgpack_object *value,
          uint8_t *base)
{
    uint32_t length;
    void *bytes;

    if (value->type != MSGPACK_OBJECT_BIN ||
        value->via.bin.size > field->limit) {
        return SL_MALFORMED;
    }
    length = value->via.bin.size;
    if (length == 0) {
        return SL_OK;
    }
    bytes = malloc(length);
    if (bytes == NULL) {
        return SL_NO_MEMORY;
    }
    memcpy(bytes, value->via.bin.ptr, length);
    store_pointer(base + field->offset, bytes);
    memcpy(base + field->count_offset, &length, sizeof(length));
    return SL_OK;
}

static enum SlStatus
read_list(const struct SlField *field, const msgpack_object *value,
          uint8_t *base)
{
    if (value->type != MSGPACK_OBJECT_ARRAY ||
        value->via.array.size > field->limit) {
        return SL_MALFORMED;
    }
    memcpy(base + field->offset, &value->via.array.size, sizeof(uint32_t));
    return read_items(field->layout, value, base + field->items_offset);
}

static enum SlStatus
read_field(const struct SlField *field, const msgpack_object *value,
           uint8_t *base)
{
    uint8_t *target = base + field->offset;

    switch (field->type) {
    case SL_FIELD_U8:
    case SL_FIELD_U16:
    case SL_FIELD_U32:
    case SL_FIELD_U64:
    case SL_FIELD_ENUM:
        return read_integer(field, value, target);
    case SL_FIELD_BOOL:
        if (value->type != MSGPACK_OBJECT_BOOLEAN) {
            return SL_MALFORMED;
        }
        *target = value->via.boolean;
        return SL_OK;
    case SL_FIELD_TEXT:
        return read_text(field, value, target);
    case SL_FIELD_IP:
        return read_ip(value, target);
    case SL_FIELD_STRUCT:
        return SlLayout_Read(field->layout, value, target);
    case SL_FIELD_LIST:
        return read_list(field, value, base);
    case SL_FIELD_ARRAY:
        return read_array(field, value, base);
    case SL_FIELD_BLOB:
        return read_blob(field, value, base);
    }
    return SL_MALFORMED;
}

enum SlStatus
SlLayout_Read(const struct SlLayout *layout, const msgpack_object *value,
              void *base)
{
    memset(base, 0, layout->size_bytes);
    if (value->type != MSGPACK_OBJECT_ARRAY ||
        value->via.array.size > layout->field_count ||
        value->via.array.size < layout->field_count - layout->optional_count) {
        return SL_MALFORMED;
    }
    for (uint32_t i = 0; i < value->via.array.size; i++) {
        enum SlStatus status =
            read_field(&layout->fields[i], &value->via.array.ptr[i], base);

        if (status != SL_OK) {
            return status;
        }
    }
    return SL_OK;
}

void
SlLayout_Release(const struct SlLayout *layout, void *base)
{
    uint8_t *bytes = base;

    for (uint32_t i = 0; i < layout->field_count; i++) {
        const struct SlField *field = &layout->fields[i];
        uint8_t *member = bytes + field->offset;

        if (field->type == SL_FIELD_STRUCT) {
            SlLayout_Release(field->layout, member);
        }
        if (field->type == SL_FIELD_ARRAY) {
            uint8_t *items = load_pointer(member);
            uint32_t count = load_u32(bytes + field->count_offset);

            for (uint32_t j = 0; items != NULL && j < count; j++) {
                SlLayout_Release(field->layout,
                                 items +
                                     (size_t)j * field->layout->size_bytes);
            }
        }
        if (field->type == SL_FIELD_ARRAY || field->type == SL_FIELD_BLOB) {
            free(load_pointer(member));
            store_pointer(member, NULL);
        }
    }
}
