/// Sealed datagrams: bytes of a stranger never open, and an authentic one
/// opens once, and not at all when any part of it is changed.

#include <string.h>

#include "fuzz.h"
#include "savoryledge/transport/seal.h"

enum {
    PAYLOAD_MAX_BYTES = 1024,
};

static struct SlSealer *
make_sealer(uint64_t sender)
{
    const uint8_t secret[SL_KEY_BYTES] = {4, 5, 6};
    struct SlSealerOptions options = {.keyring = {.count = 1},
                                      .sender = sender,
                                      .start_wall_us = 1,
                                      .max_senders = 16};

    SlKey_FromSecret(secret, &options.keyring.items[0]);
    return SlSealer_Create(&options);
}

static enum SlStatus
open_datagram(struct SlSealer *sealer, const uint8_t *bytes, uint32_t length)
{
    const uint8_t *payload;
    uint32_t payload_bytes;
    uint64_t sender;
    enum SlStatus status = SlSealer_Open(sealer, 1, bytes, length, &sender,
                                         &payload, &payload_bytes);

    must(status != SL_OK || payload_bytes + SL_SEAL_OVERHEAD_BYTES == length);
    return status;
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    static uint8_t sealed[PAYLOAD_MAX_BYTES + SL_SEAL_OVERHEAD_BYTES];
    struct SlSealer *from;
    struct SlSealer *to;
    uint32_t length;
    uint32_t place;

    if (length_bytes < 4 || length_bytes > PAYLOAD_MAX_BYTES) {
        return 0;
    }
    from = make_sealer(7);
    to = make_sealer(8);
    must(from != NULL && to != NULL);
    must(open_datagram(to, bytes, (uint32_t)length_bytes) != SL_OK);
    memcpy(sealed + SL_SEAL_HEADER_BYTES, bytes, length_bytes);
    length = SlSealer_Seal(from, sealed, (uint32_t)length_bytes);
    place = ((uint32_t)bytes[0] << 8 | bytes[1]) % length;
    sealed[place] ^= bytes[2] | 1;
    must(open_datagram(to, sealed, length) != SL_OK);
    sealed[place] ^= bytes[2] | 1;
    must(open_datagram(to, sealed, bytes[3] % length) != SL_OK);
    must(open_datagram(to, sealed, length) == SL_OK);
    must(open_datagram(to, sealed, length) == SL_REPLAYED);
    SlSealer_Destroy(from);
    SlSealer_Destroy(to);
    return 0;
}
