#include "savoryledge/state/reassembly.h"

#include <assert.h>
#include <netinet/ip6.h>
#include <stdlib.h>
#include <string.h>

enum {
    DEFAULT_DATAGRAMS = 256,
    DEFAULT_DATAGRAMS_PER_SOURCE = 16,
    DEFAULT_TIMEOUT_US = 2 * 1000 * 1000,
    /// Unit of fragment offsets in IPv4 and IPv6, in bytes.
    UNIT_BYTES = 8,
    UNITS_MAX = (SL_PACKET_MTU_BYTES + UNIT_BYTES - 1) / UNIT_BYTES,
    BITMAP_WORD_BITS = 64,
    BITMAP_WORDS = (UNITS_MAX + BITMAP_WORD_BITS - 1) / BITMAP_WORD_BITS,
    HEADER_MAX_BYTES = 256,
};

/// A slot for an incomplete datagram; unit_count is 0 in a free slot.
struct datagram {
    struct SlAddress source;
    struct SlAddress destination;
    uint32_t id;
    uint8_t protocol;
    bool is_ipv4;
    uint64_t started_us;
    /// The IP headers of the first fragment; header_bytes is 0 until the first
    /// fragment has arrived.
    uint32_t header_bytes;
    uint8_t header[HEADER_MAX_BYTES];
    /// Payload length of the complete datagram; 0 until the last fragment has
    /// arrived.
    uint32_t total_bytes;
    /// Number of payload units that have arrived, and a bit set of these
    /// units.
    uint32_t unit_count;
    uint64_t unit_bitmap[BITMAP_WORDS];
    uint8_t payload[UNITS_MAX * UNIT_BYTES];
};

struct SlReassembly {
    struct SlReassemblyOptions options;
    uint32_t incomplete_count;
    struct datagram *datagrams;
};

struct SlReassembly *
SlReassembly_Create(const struct SlReassemblyOptions *options)
{
    struct SlReassembly *reassembly = calloc(1, sizeof(*reassembly));

    if (reassembly == NULL) {
        return NULL;
    }
    reassembly->options = *options;
    if (reassembly->options.max_datagrams == 0) {
        reassembly->options.max_datagrams = DEFAULT_DATAGRAMS;
    }
    if (reassembly->options.max_datagrams_per_source == 0) {
        reassembly->options.max_datagrams_per_source =
            DEFAULT_DATAGRAMS_PER_SOURCE;
    }
    if (reassembly->options.timeout_us == 0) {
        reassembly->options.timeout_us = DEFAULT_TIMEOUT_US;
    }
    reassembly->datagrams = calloc(reassembly->options.max_datagrams,
                                   sizeof(*reassembly->datagrams));
    if (reassembly->datagrams == NULL) {
        SlReassembly_Destroy(reassembly);
        return NULL;
    }
    return reassembly;
}

void
SlReassembly_Destroy(struct SlReassembly *reassembly)
{
    if (reassembly != NULL) {
        free(reassembly->datagrams);
        free(reassembly);
    }
}

uint32_t
SlReassembly_DatagramCount(const struct SlReassembly *reassembly)
{
    return reassembly->incomplete_count;
}

static void
release_datagram(struct SlReassembly *reassembly, struct datagram *datagram)
{
    datagram->unit_count = 0;
    datagram->total_bytes = 0;
    datagram->header_bytes = 0;
    memset(datagram->unit_bitmap, 0, sizeof(datagram->unit_bitmap));
    reassembly->incomplete_count--;
}

uint32_t
SlReassembly_Expire(struct SlReassembly *reassembly, uint64_t now_us)
{
    uint32_t previous_count = reassembly->incomplete_count;

    for (uint32_t i = 0; i < reassembly->options.max_datagrams; i++) {
        struct datagram *datagram = &reassembly->datagrams[i];

        if (datagram->unit_count != 0 &&
            now_us - datagram->started_us >= reassembly->options.timeout_us) {
            release_datagram(reassembly, datagram);
        }
    }
    return previous_count - reassembly->incomplete_count;
}

/// Returns true when the fragment belongs to the datagram. For IPv6 the
/// protocol is not compared, because only the first fragment has it for
/// certain.
static bool
is_fragment_of(const struct datagram *datagram,
               const struct SlPacket *fragment)
{
    return datagram->unit_count != 0 &&
           datagram->id == fragment->fragment_id &&
           SlAddress_Equal(&datagram->source, &fragment->source) &&
           SlAddress_Equal(&datagram->destination, &fragment->destination) &&
           (!datagram->is_ipv4 || datagram->protocol == fragment->protocol);
}

static struct datagram *
find_datagram(struct SlReassembly *reassembly, const struct SlPacket *fragment)
{
    for (uint32_t i = 0; i < reassembly->options.max_datagrams; i++) {
        if (is_fragment_of(&reassembly->datagrams[i], fragment)) {
            return &reassembly->datagrams[i];
        }
    }
    return NULL;
}

/// Returns a free slot, or the slot of the oldest datagram when none is free.
/// Returns NULL when the source address has used all its slots.
static struct datagram *
choose_slot(struct SlReassembly *reassembly, const struct SlPacket *fragment)
{
    struct datagram *slot = NULL;
    uint32_t source_datagrams = 0;

    for (uint32_t i = 0; i < reassembly->options.max_datagrams; i++) {
        struct datagram *datagram = &reassembly->datagrams[i];

        if (datagram->unit_count != 0 &&
            SlAddress_Equal(&datagram->source, &fragment->source)) {
            source_datagrams++;
        }
        if (slot == NULL || (slot->unit_count != 0 &&
                             (datagram->unit_count == 0 ||
                              datagram->started_us < slot->started_us))) {
            slot = datagram;
        }
    }
    return source_datagrams < reassembly->options.max_datagrams_per_source
               ? slot
               : NULL;
}

static struct datagram *
start_datagram(struct SlReassembly *reassembly, uint64_t now_us,
               const struct SlPacket *fragment)
{
    struct datagram *datagram = choose_slot(reassembly, fragment);

    if (datagram == NULL) {
        return NULL;
    }
    if (datagram->unit_count != 0) {
        release_datagram(reassembly, datagram);
    }
    datagram->source = fragment->source;
    datagram->destination = fragment->destination;
    datagram->id = fragment->fragment_id;
    datagram->protocol = fragment->protocol;
    datagram->is_ipv4 = SlAddress_IsIpv4(&fragment->source);
    datagram->started_us = now_us;
    reassembly->incomplete_count++;
    return datagram;
}

static bool
is_unit_present(const struct datagram *datagram, uint32_t unit)
{
    return datagram->unit_bitmap[unit / BITMAP_WORD_BITS] >>
               unit % BITMAP_WORD_BITS &
           1;
}

static void
mark_unit_present(struct datagram *datagram, uint32_t unit)
{
    datagram->unit_bitmap[unit / BITMAP_WORD_BITS] |=
        UINT64_C(1) << unit % BITMAP_WORD_BITS;
    datagram->unit_count++;
}

static uint32_t
units_for_bytes(uint32_t bytes)
{
    return (bytes + UNIT_BYTES - 1) / UNIT_BYTES;
}

/// Returns true when the end of the fragment is consistent with the
/// datagram's length, or with the payload that has arrived.
static bool
is_length_consistent(const struct datagram *datagram,
                     const struct SlPacket *fragment)
{
    uint32_t end = fragment->fragment_offset + fragment->payload_bytes;

    if (datagram->total_bytes != 0) {
        return fragment->fragment_more ? end < datagram->total_bytes
                                       : end == datagram->total_bytes;
    }
    if (fragment->fragment_more) {
        return true;
    }
    for (uint32_t unit = units_for_bytes(end); unit < UNITS_MAX; unit++) {
        if (is_unit_present(datagram, unit)) {
            return false;
        }
    }
    return true;
}

/// Copies the fragment's payload into the datagram. Returns false when the
/// payload overlaps with earlier payload and is not a duplicate of it.
static bool
store_payload(struct datagram *datagram, const struct SlPacket *fragment)
{
    const uint8_t *payload = fragment->bytes + fragment->payload_offset;
    uint8_t *target = datagram->payload + fragment->fragment_offset;
    uint32_t first = fragment->fragment_offset / UNIT_BYTES;
    uint32_t count = units_for_bytes(fragment->payload_bytes);
    uint32_t present_count = 0;

    for (uint32_t i = 0; i < count; i++) {
        present_count += is_unit_present(datagram, first + i);
    }
    if (present_count != 0) {
        return present_count == count &&
               memcmp(target, payload, fragment->payload_bytes) == 0;
    }
    memcpy(target, payload, fragment->payload_bytes);
    for (uint32_t i = 0; i < count; i++) {
        mark_unit_present(datagram, first + i);
    }
    return true;
}

/// Copies the IP headers of the first fragment to the datagram, without the
/// fragment header. Returns false when the headers are longer than
/// HEADER_MAX_BYTES.
static bool
store_header(struct datagram *datagram, const struct SlPacket *fragment)
{
    uint32_t length = fragment->payload_offset;

    if (!datagram->is_ipv4) {
        length -= sizeof(struct ip6_frag);
    }
    if (length > sizeof(datagram->header)) {
        return false;
    }
    memcpy(datagram->header, fragment->bytes, length);
    datagram->header_bytes = length;
    datagram->protocol = fragment->protocol;
    return true;
}

static enum SlStatus
finish_datagram(struct SlReassembly *reassembly, struct datagram *datagram,
                uint8_t *packet, uint32_t *length_bytes)
{
    uint32_t length = datagram->header_bytes + datagram->total_bytes;

    if (length > SL_PACKET_MTU_BYTES) {
        release_datagram(reassembly, datagram);
        return SL_TOO_LONG;
    }
    memcpy(packet, datagram->header, datagram->header_bytes);
    memcpy(packet + datagram->header_bytes, datagram->payload,
           datagram->total_bytes);
    SlPacket_RewriteReassembledHeaders(packet, datagram->header_bytes, length,
                                       datagram->protocol);
    *length_bytes = length;
    release_datagram(reassembly, datagram);
    return SL_OK;
}

/// Validates a fragment without regard to other fragments.
/// Errors: SL_MALFORMED, SL_TOO_LONG.
static enum SlStatus
check_fragment(const struct SlPacket *fragment)
{
    uint32_t end = fragment->fragment_offset + fragment->payload_bytes;

    if (fragment->payload_bytes == 0 ||
        (fragment->fragment_more &&
         fragment->payload_bytes % UNIT_BYTES != 0)) {
        return SL_MALFORMED;
    }
    return end > SL_PACKET_MTU_BYTES ? SL_TOO_LONG : SL_OK;
}

/// Adds a fragment to its datagram. Returns false when the fragment overlaps
/// or contradicts earlier ones, or its headers are too long.
static bool
merge_fragment(struct datagram *datagram, const struct SlPacket *fragment)
{
    if (!is_length_consistent(datagram, fragment) ||
        !store_payload(datagram, fragment)) {
        return false;
    }
    if (!fragment->fragment_more) {
        datagram->total_bytes =
            fragment->fragment_offset + fragment->payload_bytes;
    }
    return fragment->fragment_offset != 0 || datagram->header_bytes != 0 ||
           store_header(datagram, fragment);
}

enum SlStatus
SlReassembly_Add(struct SlReassembly *reassembly, uint64_t now_us,
                 const struct SlPacket *fragment, uint8_t *packet,
                 uint32_t *length_bytes)
{
    enum SlStatus status = check_fragment(fragment);
    struct datagram *datagram;

    assert(fragment->kind == SL_PACKET_FRAGMENT);
    if (status != SL_OK) {
        return status;
    }
    datagram = find_datagram(reassembly, fragment);
    if (datagram != NULL &&
        now_us - datagram->started_us >= reassembly->options.timeout_us) {
        /* The fragments so far belong to an expired datagram with the same
           identification. */
        release_datagram(reassembly, datagram);
        datagram = NULL;
    }
    if (datagram == NULL) {
        datagram = start_datagram(reassembly, now_us, fragment);
    }
    if (datagram == NULL) {
        return SL_FULL;
    }
    if (!merge_fragment(datagram, fragment)) {
        release_datagram(reassembly, datagram);
        return SL_MALFORMED;
    }
    if (datagram->header_bytes == 0 || datagram->total_bytes == 0 ||
        datagram->unit_count != units_for_bytes(datagram->total_bytes)) {
        return SL_AGAIN;
    }
    return finish_datagram(reassembly, datagram, packet, length_bytes);
}
