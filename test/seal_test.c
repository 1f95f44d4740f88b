#include <sodium.h>
#include <string.h>

#include "savoryledge/transport/seal.h"
#include "test.h"

enum {
    PAYLOAD_BYTES = 40,
    DATAGRAM_BYTES = PAYLOAD_BYTES + SL_SEAL_OVERHEAD_BYTES,
    SENDER = 77,
    NOW_US = 1000,
};

static struct SlKeyring
keyring_of(uint8_t first, uint8_t second)
{
    struct SlKeyring keyring = {.count = second ? 2 : 1};
    uint8_t secret[SL_KEY_BYTES];

    memset(secret, first, sizeof(secret));
    SlKey_FromSecret(secret, &keyring.items[0]);
    memset(secret, second, sizeof(secret));
    SlKey_FromSecret(secret, &keyring.items[1]);
    return keyring;
}

static struct SlSealer *
sealer_of(uint8_t first, uint8_t second, uint64_t start_wall_us)
{
    struct SlSealerOptions options = {.keyring = keyring_of(first, second),
                                      .sender = SENDER,
                                      .start_wall_us = start_wall_us};

    return SlSealer_Create(&options);
}

static void
seal(struct SlSealer *sealer, uint8_t *bytes)
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
test_any_changed_or_missing_byte_is_refused(void)
{
    struct SlSealer *from = sealer_of(1, 0, 1);
    struct SlSealer *to = sealer_of(1, 0, 1);
    uint8_t bytes[DATAGRAM_BYTES];

    seal(from, bytes);
    for (uint32_t i = 0; i < DATAGRAM_BYTES; i++) {
        bytes[i] ^= 1;
        CU_ASSERT_NOT_EQUAL(open_datagram(to, bytes, DATAGRAM_BYTES), SL_OK);
        bytes[i] ^= 1;
        CU_ASSERT_NOT_EQUAL(open_datagram(to, bytes, i), SL_OK);
    }
    CU_ASSERT_EQUAL(open_datagram(to, bytes, DATAGRAM_BYTES), SL_OK);
    SlSealer_Destroy(from);
    SlSealer_Destroy(to);
}

static void
test_random_bytes_are_counted_and_refused(void)
{
    static const uint8_t SEED[randombytes_SEEDBYTES] = {7};
    struct SlSealer *to = sealer_of(1, 0, 1);
    struct SlSealerCounters counters;
    uint8_t bytes[256 * 64];

    randombytes_buf_deterministic(bytes, sizeof(bytes), SEED);
    for (uint32_t i = 0; i < 256; i++) {
        CU_ASSERT_NOT_EQUAL(open_datagram(to, bytes + i * 64, i % 65), SL_OK);
    }
    SlSealer_Counters(to, &counters);
    CU_ASSERT_EQUAL(
        counters.malformed + counters.unknown_key + counters.bad_tag, 256);
    CU_ASSERT_EQUAL(counters.opened, 0);
    SlSealer_Destroy(to);
}

static void
test_a_datagram_is_taken_once_in_any_order(void)
{
    enum {
        COUNT = 300
    };
    struct SlSealer *from = sealer_of(1, 0, 1);
    struct SlSealer *to = sealer_of(1, 0, 1);
    static uint8_t bytes[COUNT][DATAGRAM_BYTES];

    for (uint32_t i = 0; i < COUNT; i++) {
        seal(from, bytes[i]);
    }
    for (uint32_t i = 0; i < COUNT; i++) {
        uint32_t at = (i * 7) % COUNT;

        CU_ASSERT_EQUAL(open_datagram(to, bytes[at], DATAGRAM_BYTES), SL_OK);
        CU_ASSERT_EQUAL(open_datagram(to, bytes[at], DATAGRAM_BYTES),
                        SL_REPLAYED);
    }
    SlSealer_Destroy(from);
    SlSealer_Destroy(to);
}

static void
test_one_behind_the_window_is_refused(void)
{
    struct SlSealer *from = sealer_of(1, 0, 1);
    struct SlSealer *to = sealer_of(1, 0, 1);
    uint8_t oldest[DATAGRAM_BYTES];
    uint8_t edge[DATAGRAM_BYTES];
    uint8_t bytes[DATAGRAM_BYTES];

    seal(from, oldest);
    seal(from, edge);
    for (uint32_t i = 0; i < SL_SEAL_WINDOW - 1; i++) {
        seal(from, bytes);
    }
    CU_ASSERT_EQUAL(open_datagram(to, bytes, DATAGRAM_BYTES), SL_OK);
    CU_ASSERT_EQUAL(open_datagram(to, oldest, DATAGRAM_BYTES), SL_REPLAYED);
    CU_ASSERT_EQUAL(open_datagram(to, edge, DATAGRAM_BYTES), SL_OK);
    SlSealer_Destroy(from);
    SlSealer_Destroy(to);
}

static void
test_a_restart_goes_on_above_its_old_numbers(void)
{
    struct SlSealer *first = sealer_of(1, 0, 1000000);
    struct SlSealer *second = sealer_of(1, 0, 2000000);
    struct SlSealer *to = sealer_of(1, 0, 1);
    uint8_t old[DATAGRAM_BYTES];
    uint8_t bytes[DATAGRAM_BYTES];

    for (uint32_t i = 0; i < 5000; i++) {
        seal(first, old);
        CU_ASSERT_EQUAL(open_datagram(to, old, DATAGRAM_BYTES), SL_OK);
    }
    seal(second, bytes);
    CU_ASSERT_EQUAL(open_datagram(to, bytes, DATAGRAM_BYTES), SL_OK);
    CU_ASSERT_EQUAL(open_datagram(to, old, DATAGRAM_BYTES), SL_REPLAYED);
    SlSealer_Destroy(first);
    SlSealer_Destroy(second);
    SlSealer_Destroy(to);
}

static void
test_two_keys_hold_while_one_replaces_the_other(void)
{
    struct SlSealer *old_only = sealer_of(1, 0, 1);
    struct SlSealer *changing = sealer_of(2, 1, 5000000);
    struct SlKeyring new_only = keyring_of(2, 0);
    uint8_t bytes[DATAGRAM_BYTES];

    seal(old_only, bytes);
    CU_ASSERT_EQUAL(open_datagram(changing, bytes, DATAGRAM_BYTES), SL_OK);
    seal(changing, bytes);
    CU_ASSERT_EQUAL(open_datagram(old_only, bytes, DATAGRAM_BYTES),
                    SL_FORBIDDEN);
    SlSealer_SetKeyring(changing, &new_only);
    seal(old_only, bytes);
    CU_ASSERT_EQUAL(open_datagram(changing, bytes, DATAGRAM_BYTES),
                    SL_FORBIDDEN);
    SlSealer_Destroy(old_only);
    SlSealer_Destroy(changing);
}

static void
test_senders_beyond_the_table_make_room(void)
{
    struct SlSealerOptions options = {
        .keyring = keyring_of(1, 0), .start_wall_us = 1, .max_senders = 8};
    struct SlSealer *to = SlSealer_Create(&options);
    const uint8_t *payload;
    uint32_t payload_bytes;
    uint64_t sender;
    uint8_t bytes[DATAGRAM_BYTES];

    for (uint64_t i = 1; i <= 100; i++) {
        struct SlSealer *from;

        options.sender = i;
        from = SlSealer_Create(&options);
        seal(from, bytes);
        CU_ASSERT_EQUAL(SlSealer_Open(to, i, bytes, DATAGRAM_BYTES, &sender,
                                      &payload, &payload_bytes),
                        SL_OK);
        CU_ASSERT_EQUAL(sender, i);
        SlSealer_Destroy(from);
    }
    CU_ASSERT_EQUAL(SlSealer_Open(to, 101, bytes, DATAGRAM_BYTES, &sender,
                                  &payload, &payload_bytes),
                    SL_REPLAYED);
    SlSealer_Destroy(to);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"any changed or missing byte is refused",
         test_any_changed_or_missing_byte_is_refused},
        {"random bytes are counted and refused",
         test_random_bytes_are_counted_and_refused},
        {"a datagram is taken once, in any order",
         test_a_datagram_is_taken_once_in_any_order},
        {"one behind the window is refused",
         test_one_behind_the_window_is_refused},
        {"a restart goes on above its old numbers",
         test_a_restart_goes_on_above_its_old_numbers},
        {"two keys hold while one replaces the other",
         test_two_keys_hold_while_one_replaces_the_other},
        {"senders beyond the table make room",
         test_senders_beyond_the_table_make_room},
    };

    return RUN_SUITE("seal", CASES);
}
