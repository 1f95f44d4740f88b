/// Fuzzes sealed datagrams. Arbitrary bytes must never open. An authentic
/// datagram must open exactly once, and not at all when it is changed or
/// truncated.

#include <string.h>

#include "fuzz.h"
#include "savoryledge/transport/seal.h"

enum {
    PAYLOAD_MAX_BYTES = 1024,
};

static struct SlSealer *
create_sealer(uint64_t sender)
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

    fuzz_require(status != SL_OK ||
                 payload_bytes + SL_SEAL_OVERHEAD_BYTES == length);
    return status;
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    static uint8_t sealed[PAYLOAD_MAX_BYTES + SL_SEAL_OVERHEAD_BYTES];
    struct SlSealer *sending_sealer;
    struct SlSealer *receiving_sealer;
    uint32_t length;
    uint32_t changed_offset;

    if (length_bytes < 4 || length_bytes > PAYLOAD_MAX_BYTES) {
        return 0;
    }
    sending_sealer = create_sealer(7);
    receiving_sealer = create_sealer(8);
    fuzz_require(sending_sealer != NULL && receiving_sealer != NULL);
    fuzz_require(open_datagram(receiving_sealer, bytes,
                               (uint32_t)length_bytes) != SL_OK);
    memcpy(sealed + SL_SEAL_HEADER_BYTES, bytes, length_bytes);
    length = SlSealer_Seal(sending_sealer, sealed, (uint32_t)length_bytes);
    changed_offset = ((uint32_t)bytes[0] << 8 | bytes[1]) % length;
    sealed[changed_offset] ^= bytes[2] | 1;
    fuzz_require(open_datagram(receiving_sealer, sealed, length) != SL_OK);
    sealed[changed_offset] ^= bytes[2] | 1;
    fuzz_require(open_datagram(receiving_sealer, sealed, bytes[3] % length) !=
                 SL_OK);
    fuzz_require(open_datagram(receiving_sealer, sealed, length) == SL_OK);
    fuzz_require(open_datagram(receiving_sealer, sealed, length) ==
                 SL_REPLAYED);
    SlSealer_Destroy(sending_sealer);
    SlSealer_Destroy(receiving_sealer);
    return 0;
}
