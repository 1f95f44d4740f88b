#include "savoryledge/state/reassembly.h"

#include <assert.h>
#include <netinet/ip6.h>
#include <stdlib.h>
#include <string.h>

enum {
    DEFAULT_DATAGRAMS = 256,
    DEFAULT_DATAGRAMS_PER_SOURCE = 16,
    DEFAULT_TIMEOUT_US = 2 * 1000 * 1000,
    UNIT_BYTES = 8,
    UNITS = (SL_PACKET_MTU_BYTES + UNIT_BYTES - 1) / UNIT_BYTES,
    WORD_BITS = 64,
    WORDS = (UNITS + WORD_BITS - 1) / WORD_BITS,
    HEADER_ROOM_BYTES = 256,
};

/// A datagram in the making; a free place has no units.
struct datagram {
    struct SlAddress source;
    struct SlAddress destination;
    uint32_t id;
    uint8_t protocol;
    bool ipv4;
    uint64_t since_us;
    /// The IP headers of the first fragment; 0 bytes until it came.
    uint32_t header_bytes;
    uint8_t header[HEADER_ROOM_BYTES];
    /// Payload length once the last fragment came, else 0.
    uint32_t total_bytes;
    uint32_t units;
    uint64_t present[WORDS];
    uint8_t payload[UNITS * UNIT_BYTES];
};

struct SlReassembly {
    struct SlReassemblyOptions options;
    uint32_t held;
    struct datagram *datagrams;
};

struct SlReassembly *
SlReassembly_Create(const struct SlReassemblyOptions *options)
{
    struct SlReassembly *made = calloc(1, sizeof(*made));

    if (made == NULL) {
        return NULL;
    }
    made->options = *options;
    if (made->options.max_datagrams == 0) {
        made->options.max_datagrams = DEFAULT_DATAGRAMS;
    }
    if (made->options.datagrams_per_source == 0) {
        made->options.datagrams_per_source = DEFAULT_DATAGRAMS_PER_SOURCE;
    }
    if (made->options.timeout_us == 0) {
        made->options.timeout_us = DEFAULT_TIMEOUT_US;
    }
    made->datagrams =
        calloc(made->options.max_datagrams, sizeof(*made->datagrams));
    if (made->datagrams == NULL) {
        SlReassembly_Destroy(made);
        return NULL;
    }
    return made;
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
    return reassembly->held;
}

static void
release(struct SlReassembly *reassembly, struct datagram *datagram)
{
    datagram->units = 0;
    datagram->total_bytes = 0;
    datagram->header_bytes = 0;
    memset(datagram->present, 0, sizeof(datagram->present));
    reassembly->held--;
}

uint32_t
SlReassembly_Expire(struct SlReassembly *reassembly, uint64_t now_us)
{
    uint32_t before = reassembly->held;

    for (uint32_t i = 0; i < reassembly->options.max_datagrams; i++) {
        struct datagram *datagram = &reassembly->datagrams[i];

        if (datagram->units != 0 &&
            now_us - datagram->since_us >= reassembly->options.timeout_us) {
            release(reassembly, datagram);
        }
    }
    return before - reassembly->held;
}

/// IPv6 fragments are told apart without the protocol, which only the first
/// one gives for sure.
static bool
is_of(const struct datagram *datagram, const struct SlPacket *fragment)
{
    return datagram->units != 0 && datagram->id == fragment->fragment_id &&
           SlAddress_Equal(&datagram->source, &fragment->source) &&
           SlAddress_Equal(&datagram->destination, &fragment->destination) &&
           (!datagram->ipv4 || datagram->protocol == fragment->protocol);
}

static struct datagram *
find(struct SlReassembly *reassembly, const struct SlPacket *fragment)
{
    for (uint32_t i = 0; i < reassembly->options.max_datagrams; i++) {
        if (is_of(&reassembly->datagrams[i], fragment)) {
            return &reassembly->datagrams[i];
        }
    }
    return NULL;
}

/// A free place, or the oldest one; NULL when the source has its share.
static struct datagram *
take_place(struct SlReassembly *reassembly, const struct SlPacket *fragment)
{
    struct datagram *place = NULL;
    uint32_t of_source = 0;

    for (uint32_t i = 0; i < reassembly->options.max_datagrams; i++) {
        struct datagram *datagram = &reassembly->datagrams[i];

        if (datagram->units != 0 &&
            SlAddress_Equal(&datagram->source, &fragment->source)) {
            of_source++;
        }
        if (place == NULL ||
            (place->units != 0 &&
             (datagram->units == 0 || datagram->since_us < place->since_us))) {
            place = datagram;
        }
    }
    return of_source < reassembly->options.datagrams_per_source ? place : NULL;
}

static struct datagram *
start(struct SlReassembly *reassembly, uint64_t now_us,
      const struct SlPacket *fragment)
{
    struct datagram *datagram = take_place(reassembly, fragment);

    if (datagram == NULL) {
        return NULL;
    }
    if (datagram->units != 0) {
        release(reassembly, datagram);
    }
    datagram->source = fragment->source;
    datagram->destination = fragment->destination;
    datagram->id = fragment->fragment_id;
    datagram->protocol = fragment->protocol;
    datagram->ipv4 = SlAddress_IsIpv4(&fragment->source);
    datagram->since_us = now_us;
    reassembly->held++;
    return datagram;
}

static bool
unit_present(const struct datagram *datagram, uint32_t unit)
{
    return datagram->present[unit / WORD_BITS] >> unit % WORD_BITS & 1;
}

static void
mark_unit(struct datagram *datagram, uint32_t unit)
{
    datagram->present[unit / WORD_BITS] |= UINT64_C(1) << unit % WORD_BITS;
    datagram->units++;
}

static uint32_t
units_of(uint32_t bytes)
{
    return (bytes + UNIT_BYTES - 1) / UNIT_BYTES;
}

/// True when the fragment fits what is known of the datagram's length.
static bool
length_agrees(const struct datagram *datagram, const struct SlPacket *fragment)
{
    uint32_t end = fragment->fragment_offset + fragment->payload_bytes;

    if (datagram->total_bytes != 0) {
        return fragment->fragment_more ? end < datagram->total_bytes
                                       : end == datagram->total_bytes;
    }
    if (fragment->fragment_more) {
        return true;
    }
    for (uint32_t unit = units_of(end); unit < UNITS; unit++) {
        if (unit_present(datagram, unit)) {
            return false;
        }
    }
    return true;
}

/// Puts the payload in its place. False when it overlaps with what is there
/// and is not the same fragment again.
static bool
place_payload(struct datagram *datagram, const struct SlPacket *fragment)
{
    const uint8_t *payload = fragment->bytes + fragment->payload_offset;
    uint8_t *to = datagram->payload + fragment->fragment_offset;
    uint32_t first = fragment->fragment_offset / UNIT_BYTES;
    uint32_t count = units_of(fragment->payload_bytes);
    uint32_t present = 0;

    for (uint32_t i = 0; i < count; i++) {
        present += unit_present(datagram, first + i);
    }
    if (present != 0) {
        return present == count &&
               memcmp(to, payload, fragment->payload_bytes) == 0;
    }
    memcpy(to, payload, fragment->payload_bytes);
    for (uint32_t i = 0; i < count; i++) {
        mark_unit(datagram, first + i);
    }
    return true;
}

/// Takes the headers without the fragment header. False when they are too
/// long to be kept.
static bool
keep_header(struct datagram *datagram, const struct SlPacket *fragment)
{
    uint32_t length = fragment->payload_offset;

    if (!datagram->ipv4) {
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
finish(struct SlReassembly *reassembly, struct datagram *datagram,
       uint8_t *whole, uint32_t *length_bytes)
{
    uint32_t length = datagram->header_bytes + datagram->total_bytes;

    if (length > SL_PACKET_MTU_BYTES) {
        release(reassembly, datagram);
        return SL_TOO_LONG;
    }
    memcpy(whole, datagram->header, datagram->header_bytes);
    memcpy(whole + datagram->header_bytes, datagram->payload,
           datagram->total_bytes);
    SlPacket_RewriteReassembledHeaders(whole, datagram->header_bytes, length,
                                       datagram->protocol);
    *length_bytes = length;
    release(reassembly, datagram);
    return SL_OK;
}

/// What is wrong with a fragment by itself.
static enum SlStatus
check(const struct SlPacket *fragment)
{
    uint32_t end = fragment->fragment_offset + fragment->payload_bytes;

    if (fragment->payload_bytes == 0 ||
        (fragment->fragment_more &&
         fragment->payload_bytes % UNIT_BYTES != 0)) {
        return SL_MALFORMED;
    }
    return end > SL_PACKET_MTU_BYTES ? SL_TOO_LONG : SL_OK;
}

/// Adds to a datagram that has a place; false when they do not agree.
static bool
merge(struct datagram *datagram, const struct SlPacket *fragment)
{
    if (!length_agrees(datagram, fragment) ||
        !place_payload(datagram, fragment)) {
        return false;
    }
    if (!fragment->fragment_more) {
        datagram->total_bytes =
            fragment->fragment_offset + fragment->payload_bytes;
    }
    return fragment->fragment_offset != 0 || datagram->header_bytes != 0 ||
           keep_header(datagram, fragment);
}

enum SlStatus
SlReassembly_Add(struct SlReassembly *reassembly, uint64_t now_us,
                 const struct SlPacket *fragment, uint8_t *whole,
                 uint32_t *length_bytes)
{
    enum SlStatus status = check(fragment);
    struct datagram *datagram;

    assert(fragment->kind == SL_PACKET_FRAGMENT);
    if (status != SL_OK) {
        return status;
    }
    datagram = find(reassembly, fragment);
    if (datagram != NULL &&
        now_us - datagram->since_us >= reassembly->options.timeout_us) {
        /* An earlier datagram with the same identification. */
        release(reassembly, datagram);
        datagram = NULL;
    }
    if (datagram == NULL) {
        datagram = start(reassembly, now_us, fragment);
    }
    if (datagram == NULL) {
        return SL_FULL;
    }
    if (!merge(datagram, fragment)) {
        release(reassembly, datagram);
        return SL_MALFORMED;
    }
    if (datagram->header_bytes == 0 || datagram->total_bytes == 0 ||
        datagram->units != units_of(datagram->total_bytes)) {
        return SL_AGAIN;
    }
    return finish(reassembly, datagram, whole, length_bytes);
}
