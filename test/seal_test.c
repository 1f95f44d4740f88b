#include <sodium.h>
#include <string.h>

#include "savoryledge/transport/seal.h"
#include "test.h"

/// Tests of sealed datagrams: a receiver must reject altered, forged, repeated
/// and very late datagrams, and accept a sender again after a restart or a key
/// rotation.

enum {
    PAYLOAD_BYTES = 40,
    DATAGRAM_BYTES = PAYLOAD_BYTES + SL_SEAL_OVERHEAD_BYTES,
    SENDER = 77,
    NOW_US = 1000,
};

static struct SlKeyring
make_keyring(uint8_t first_byte, uint8_t second_byte)
{
    struct SlKeyring keyring = {.count = second_byte ? 2 : 1};
    uint8_t secret[SL_KEY_BYTES];

    memset(secret, first_byte, sizeof(secret));
    SlKey_FromSecret(secret, &keyring.items[0]);
    memset(secret, second_byte, sizeof(secret));
    SlKey_FromSecret(secret, &keyring.items[1]);
    return keyring;
}

static struct SlSealer *
create_sealer(uint8_t first, uint8_t second, uint64_t start_wall_us)
{
    struct SlSealerOptions options = {.keyring = make_keyring(first, second),
                                      .sender = SENDER,
                                      .start_wall_us = start_wall_us};

    return SlSealer_Create(&options);
}

static void
seal_datagram(struct SlSealer *sealer, uint8_t *bytes)
{
    memset(bytes, 0x5a, DATAGRAM_BYTES);
    CU_ASSERT_EQUAL(SlSealer_Seal(sealer, bytes, PAYLOAD_BYTES),
                    DATAGRAM_BYTES);
}

static enum SlStatus
open_datagram(struct SlSealer *sealer, const uint8_t *bytes, uint32_t length)
{
    const uint8_t *payload;
    uint32_t payload_bytes;
    uint64_t sender;
    enum SlStatus status = SlSealer_Open(sealer, NOW_US, bytes, length,
                                         &sender, &payload, &payload_bytes);

    if (status == SL_OK) {
        CU_ASSERT_EQUAL(sender, SENDER);
        CU_ASSERT_EQUAL(payload_bytes, PAYLOAD_BYTES);
        CU_ASSERT_EQUAL(payload[0], 0x5a);
    }
    return status;
}

static void
test_altered_or_truncated_datagram_is_refused(void)
{
    struct SlSealer *sealer = create_sealer(1, 0, 1);
    struct SlSealer *receiver = create_sealer(1, 0, 1);
    uint8_t bytes[DATAGRAM_BYTES];

    seal_datagram(sealer, bytes);
    for (uint32_t i = 0; i < DATAGRAM_BYTES; i++) {
        bytes[i] ^= 1;
        CU_ASSERT_NOT_EQUAL(open_datagram(receiver, bytes, DATAGRAM_BYTES),
                            SL_OK);
        bytes[i] ^= 1;
        CU_ASSERT_NOT_EQUAL(open_datagram(receiver, bytes, i), SL_OK);
    }
    CU_ASSERT_EQUAL(open_datagram(receiver, bytes, DATAGRAM_BYTES), SL_OK);
    SlSealer_Destroy(sealer);
    SlSealer_Destroy(receiver);
}

static void
test_random_bytes_are_refused_and_counted(void)
{
    static const uint8_t SEED[randombytes_SEEDBYTES] = {7};
    struct SlSealer *receiver = create_sealer(1, 0, 1);
    struct SlSealerCounters counters;
    uint8_t bytes[256 * 64];

    randombytes_buf_deterministic(bytes, sizeof(bytes), SEED);
    for (uint32_t i = 0; i < 256; i++) {
        CU_ASSERT_NOT_EQUAL(open_datagram(receiver, bytes + i * 64, i % 65),
                            SL_OK);
    }
    SlSealer_Counters(receiver, &counters);
    CU_ASSERT_EQUAL(
        counters.malformed + counters.unknown_key + counters.bad_tag, 256);
    CU_ASSERT_EQUAL(counters.opened, 0);
    SlSealer_Destroy(receiver);
}

static void
test_datagram_is_accepted_once_in_any_order(void)
{
    enum {
        COUNT = 300
    };
    struct SlSealer *sealer = create_sealer(1, 0, 1);
    struct SlSealer *receiver = create_sealer(1, 0, 1);
    static uint8_t bytes[COUNT][DATAGRAM_BYTES];

    for (uint32_t i = 0; i < COUNT; i++) {
        seal_datagram(sealer, bytes[i]);
    }
    for (uint32_t i = 0; i < COUNT; i++) {
        uint32_t index = (i * 7) % COUNT;

        CU_ASSERT_EQUAL(open_datagram(receiver, bytes[index], DATAGRAM_BYTES),
                        SL_OK);
        CU_ASSERT_EQUAL(open_datagram(receiver, bytes[index], DATAGRAM_BYTES),
                        SL_REPLAYED);
    }
    SlSealer_Destroy(sealer);
    SlSealer_Destroy(receiver);
}

static void
test_datagram_behind_the_window_is_refused(void)
{
    struct SlSealer *sealer = create_sealer(1, 0, 1);
    struct SlSealer *receiver = create_sealer(1, 0, 1);
    uint8_t oldest[DATAGRAM_BYTES];
    uint8_t edge[DATAGRAM_BYTES];
    uint8_t bytes[DATAGRAM_BYTES];

    seal_datagram(sealer, oldest);
    seal_datagram(sealer, edge);
    for (uint32_t i = 0; i < SL_SEAL_WINDOW_DATAGRAMS - 1; i++) {
        seal_datagram(sealer, bytes);
    }
    CU_ASSERT_EQUAL(open_datagram(receiver, bytes, DATAGRAM_BYTES), SL_OK);
    CU_ASSERT_EQUAL(open_datagram(receiver, oldest, DATAGRAM_BYTES),
                    SL_REPLAYED);
    CU_ASSERT_EQUAL(open_datagram(receiver, edge, DATAGRAM_BYTES), SL_OK);
    SlSealer_Destroy(sealer);
    SlSealer_Destroy(receiver);
}

static void
test_restarted_sender_continues_above_its_old_numbers(void)
{
    struct SlSealer *first = create_sealer(1, 0, 1000000);
    struct SlSealer *second = create_sealer(1, 0, 2000000);
    struct SlSealer *receiver = create_sealer(1, 0, 1);
    uint8_t old[DATAGRAM_BYTES];
    uint8_t bytes[DATAGRAM_BYTES];

    for (uint32_t i = 0; i < 5000; i++) {
        seal_datagram(first, old);
        CU_ASSERT_EQUAL(open_datagram(receiver, old, DATAGRAM_BYTES), SL_OK);
    }
    seal_datagram(second, bytes);
    CU_ASSERT_EQUAL(open_datagram(receiver, bytes, DATAGRAM_BYTES), SL_OK);
    CU_ASSERT_EQUAL(open_datagram(receiver, old, DATAGRAM_BYTES), SL_REPLAYED);
    SlSealer_Destroy(first);
    SlSealer_Destroy(second);
    SlSealer_Destroy(receiver);
}

static void
test_two_keys_are_valid_during_a_rotation(void)
{
    struct SlSealer *old_only = create_sealer(1, 0, 1);
    struct SlSealer *rotating = create_sealer(2, 1, 5000000);
    struct SlKeyring new_only = make_keyring(2, 0);
    uint8_t bytes[DATAGRAM_BYTES];

    seal_datagram(old_only, bytes);
    CU_ASSERT_EQUAL(open_datagram(rotating, bytes, DATAGRAM_BYTES), SL_OK);
    seal_datagram(rotating, bytes);
    CU_ASSERT_EQUAL(open_datagram(old_only, bytes, DATAGRAM_BYTES),
                    SL_FORBIDDEN);
    SlSealer_SetKeyring(rotating, &new_only);
    seal_datagram(old_only, bytes);
    CU_ASSERT_EQUAL(open_datagram(rotating, bytes, DATAGRAM_BYTES),
                    SL_FORBIDDEN);
    SlSealer_Destroy(old_only);
    SlSealer_Destroy(rotating);
}

static void
test_new_sender_replaces_another_in_a_full_table(void)
{
    struct SlSealerOptions options = {
        .keyring = make_keyring(1, 0), .start_wall_us = 1, .max_senders = 8};
    struct SlSealer *receiver = SlSealer_Create(&options);
    const uint8_t *payload;
    uint32_t payload_bytes;
    uint64_t sender;
    uint8_t bytes[DATAGRAM_BYTES];

    for (uint64_t i = 1; i <= 100; i++) {
        struct SlSealer *sealer;

        options.sender = i;
        sealer = SlSealer_Create(&options);
        seal_datagram(sealer, bytes);
        CU_ASSERT_EQUAL(SlSealer_Open(receiver, i, bytes, DATAGRAM_BYTES,
                                      &sender, &payload, &payload_bytes),
                        SL_OK);
        CU_ASSERT_EQUAL(sender, i);
        SlSealer_Destroy(sealer);
    }
    CU_ASSERT_EQUAL(SlSealer_Open(receiver, 101, bytes, DATAGRAM_BYTES,
                                  &sender, &payload, &payload_bytes),
                    SL_REPLAYED);
    SlSealer_Destroy(receiver);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"an altered or truncated datagram is refused",
         test_altered_or_truncated_datagram_is_refused},
        {"random bytes are refused and counted",
         test_random_bytes_are_refused_and_counted},
        {"a datagram is accepted once, in any order",
         test_datagram_is_accepted_once_in_any_order},
        {"a datagram behind the replay window is refused",
         test_datagram_behind_the_window_is_refused},
        {"a restarted sender continues above its old sequence numbers",
         test_restarted_sender_continues_above_its_old_numbers},
        {"two keys are valid during a key rotation",
         test_two_keys_are_valid_during_a_rotation},
        {"a new sender replaces another one in a full table",
         test_new_sender_replaces_another_in_a_full_table},
    };

    return RUN_SUITE("seal", CASES);
}
