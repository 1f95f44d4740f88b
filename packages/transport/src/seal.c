#include <pthread.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "savoryledge/transport/seal.h"

/// Wire layout: version (1), zeros (3), key id (4), sender (8), sequence
/// number (8), payload, tag (16). Integers in the byte order of the sender's
/// machine; all machines of a site are little-endian.

enum {
    SEAL_VERSION = 1,
    KEY_ID_OFFSET = 4,
    SENDER_OFFSET = 8,
    SEQUENCE_OFFSET = 16,
    WAYS = 8,
    DEFAULT_SENDERS = 8192,
    WORD_BITS = 64,
    WINDOW_WORDS = SL_SEAL_WINDOW / WORD_BITS,
    /// Numbers for each microsecond of wall-clock time at the start; the
    /// sender must not send more than that many each microsecond on average.
    NUMBERS_PER_US = 8,
};

struct sender_window {
    uint64_t sender;
    uint64_t newest;
    uint64_t seen_us;
    uint64_t bits[WINDOW_WORDS];
};

/// A set of windows under one lock; the sender's hash picks the set.
struct window_set {
    pthread_mutex_t lock;
    struct sender_window ways[WAYS];
};

/// Keyrings are kept until the sealer goes, as other threads may still read
/// an old one.
struct kept_keyring {
    struct SlKeyring keyring;
    struct kept_keyring *older;
};

struct SlSealer {
    uint64_t sender;
    _Atomic uint64_t sequence;
    struct kept_keyring *_Atomic keyring;
    uint32_t set_count;
    struct window_set *sets;
    _Atomic uint64_t opened;
    _Atomic uint64_t malformed;
    _Atomic uint64_t unknown_key;
    _Atomic uint64_t bad_tag;
    _Atomic uint64_t replayed;
    _Atomic uint64_t too_late;
    uint64_t first_sequence;
};

_Static_assert((int)SL_KEY_TAG_BYTES ==
                   (int)crypto_shorthash_siphashx24_KEYBYTES,
               "tag keys fit the hash");
_Static_assert((int)SL_SEAL_TAG_BYTES ==
                   (int)crypto_shorthash_siphashx24_BYTES,
               "tags fit the hash");

static void
count(_Atomic uint64_t *counter)
{
    atomic_fetch_add_explicit(counter, 1, memory_order_relaxed);
}

static bool
make_sets(struct SlSealer *sealer, uint32_t max_senders)
{
    uint32_t senders = max_senders ? max_senders : DEFAULT_SENDERS;

    sealer->set_count = (senders + WAYS - 1) / WAYS;
    sealer->sets = calloc(sealer->set_count, sizeof(*sealer->sets));
    for (uint32_t i = 0; sealer->sets != NULL && i < sealer->set_count; i++) {
        pthread_mutex_init(&sealer->sets[i].lock, NULL);
    }
    return sealer->sets != NULL;
}

struct SlSealer *
SlSealer_Create(const struct SlSealerOptions *options)
{
    struct SlSealer *sealer;

    if (sodium_init() < 0) {
        return NULL;
    }
    sealer = calloc(1, sizeof(*sealer));
    if (sealer == NULL) {
        return NULL;
    }
    sealer->sender = options->sender;
    sealer->first_sequence = options->start_wall_us * NUMBERS_PER_US + 1;
    atomic_init(&sealer->sequence, sealer->first_sequence);
    SlSealer_SetKeyring(sealer, &options->keyring);
    if (atomic_load(&sealer->keyring) == NULL ||
        !make_sets(sealer, options->max_senders)) {
        SlSealer_Destroy(sealer);
        return NULL;
    }
    return sealer;
}

void
SlSealer_Destroy(struct SlSealer *sealer)
{
    struct kept_keyring *kept;

    if (sealer == NULL) {
        return;
    }
    kept = atomic_load(&sealer->keyring);
    while (kept != NULL) {
        struct kept_keyring *older = kept->older;

        sodium_memzero(kept, sizeof(*kept));
        free(kept);
        kept = older;
    }
    for (uint32_t i = 0; sealer->sets != NULL && i < sealer->set_count; i++) {
        pthread_mutex_destroy(&sealer->sets[i].lock);
    }
    free(sealer->sets);
    free(sealer);
}

void
SlSealer_SetKeyring(struct SlSealer *sealer, const struct SlKeyring *keyring)
{
    struct kept_keyring *kept = malloc(sizeof(*kept));

    if (kept == NULL) {
        return;
    }
    kept->keyring = *keyring;
    kept->older = atomic_load(&sealer->keyring);
    atomic_store(&sealer->keyring, kept);
}

uint32_t
SlSealer_Seal(struct SlSealer *sealer, uint8_t *bytes, uint32_t payload_bytes)
{
    const struct kept_keyring *kept = atomic_load(&sealer->keyring);
    const struct SlKey *key = &kept->keyring.items[0];
    uint32_t key_id = (uint32_t)key->id;
    uint64_t sequence =
        atomic_fetch_add_explicit(&sealer->sequence, 1, memory_order_relaxed);
    uint32_t signed_bytes = SL_SEAL_HEADER_BYTES + payload_bytes;

    memset(bytes, 0, KEY_ID_OFFSET);
    bytes[0] = SEAL_VERSION;
    memcpy(bytes + KEY_ID_OFFSET, &key_id, sizeof(key_id));
    memcpy(bytes + SENDER_OFFSET, &sealer->sender, sizeof(sealer->sender));
    memcpy(bytes + SEQUENCE_OFFSET, &sequence, sizeof(sequence));
    crypto_shorthash_siphashx24(bytes + signed_bytes, bytes, signed_bytes,
                                key->tag_key);
    return signed_bytes + SL_SEAL_TAG_BYTES;
}

static const struct SlKey *
find_key(struct SlSealer *sealer, uint32_t key_id)
{
    const struct kept_keyring *kept = atomic_load(&sealer->keyring);

    for (uint32_t i = 0; i < kept->keyring.count; i++) {
        if ((uint32_t)kept->keyring.items[i].id == key_id) {
            return &kept->keyring.items[i];
        }
    }
    return NULL;
}

static enum SlStatus
check_tag(struct SlSealer *sealer, const uint8_t *bytes, uint32_t length_bytes)
{
    uint32_t signed_bytes = length_bytes - SL_SEAL_TAG_BYTES;
    uint8_t tag[SL_SEAL_TAG_BYTES];
    const struct SlKey *key;
    uint32_t key_id;

    memcpy(&key_id, bytes + KEY_ID_OFFSET, sizeof(key_id));
    key = find_key(sealer, key_id);
    if (key == NULL) {
        count(&sealer->unknown_key);
        return SL_FORBIDDEN;
    }
    crypto_shorthash_siphashx24(tag, bytes, signed_bytes, key->tag_key);
    if (sodium_memcmp(tag, bytes + signed_bytes, SL_SEAL_TAG_BYTES) != 0) {
        count(&sealer->bad_tag);
        return SL_FORBIDDEN;
    }
    return SL_OK;
}

static struct sender_window *
find_window(struct window_set *set, uint64_t sender)
{
    struct sender_window *oldest = &set->ways[0];

    for (int i = 0; i < WAYS; i++) {
        if (set->ways[i].sender == sender) {
            return &set->ways[i];
        }
        if (set->ways[i].seen_us < oldest->seen_us) {
            oldest = &set->ways[i];
        }
    }
    *oldest = (struct sender_window){.sender = sender};
    return oldest;
}

/// Clears the places of numbers between the old and the new newest.
static void
move_window(struct sender_window *window, uint64_t sequence)
{
    uint64_t steps = sequence - window->newest;

    if (steps >= SL_SEAL_WINDOW) {
        memset(window->bits, 0, sizeof(window->bits));
    }
    else {
        for (uint64_t at = window->newest + 1; at <= sequence; at++) {
            window->bits[at / WORD_BITS % WINDOW_WORDS] &=
                ~(UINT64_C(1) << at % WORD_BITS);
        }
    }
    window->newest = sequence;
}

static enum SlStatus
take_sequence(struct SlSealer *sealer, struct sender_window *window,
              uint64_t sequence)
{
    uint64_t *word = &window->bits[sequence / WORD_BITS % WINDOW_WORDS];
    uint64_t bit = UINT64_C(1) << sequence % WORD_BITS;

    if (sequence > window->newest) {
        move_window(window, sequence);
    }
    else if (window->newest - sequence >= SL_SEAL_WINDOW) {
        count(&sealer->too_late);
        return SL_REPLAYED;
    }
    else if (*word & bit) {
        count(&sealer->replayed);
        return SL_REPLAYED;
    }
    *word |= bit;
    return SL_OK;
}

static enum SlStatus
check_replay(struct SlSealer *sealer, uint64_t now_us, uint64_t sender,
             uint64_t sequence)
{
    struct window_set *set = &sealer->sets[sender % sealer->set_count];
    struct sender_window *window;
    enum SlStatus status;

    pthread_mutex_lock(&set->lock);
    window = find_window(set, sender);
    window->seen_us = now_us;
    status = take_sequence(sealer, window, sequence);
    pthread_mutex_unlock(&set->lock);
    return status;
}

enum SlStatus
SlSealer_Open(struct SlSealer *sealer, uint64_t now_us, const uint8_t *bytes,
              uint32_t length_bytes, uint64_t *sender, const uint8_t **payload,
              uint32_t *payload_bytes)
{
    uint64_t sequence;
    enum SlStatus status;

    if (length_bytes < SL_SEAL_OVERHEAD_BYTES || bytes[0] != SEAL_VERSION ||
        bytes[1] || bytes[2] || bytes[3]) {
        count(&sealer->malformed);
        return SL_MALFORMED;
    }
    status = check_tag(sealer, bytes, length_bytes);
    if (status != SL_OK) {
        return status;
    }
    memcpy(sender, bytes + SENDER_OFFSET, sizeof(*sender));
    memcpy(&sequence, bytes + SEQUENCE_OFFSET, sizeof(sequence));
    status = check_replay(sealer, now_us, *sender, sequence);
    if (status != SL_OK) {
        return status;
    }
    count(&sealer->opened);
    *payload = bytes + SL_SEAL_HEADER_BYTES;
    *payload_bytes = length_bytes - SL_SEAL_OVERHEAD_BYTES;
    return SL_OK;
}

static uint64_t
read_counter(const _Atomic uint64_t *counter)
{
    return atomic_load_explicit(counter, memory_order_relaxed);
}

void
SlSealer_Counters(const struct SlSealer *sealer,
                  struct SlSealerCounters *counters)
{
    *counters = (struct SlSealerCounters){
        .sealed = read_counter(&sealer->sequence) - sealer->first_sequence,
        .opened = read_counter(&sealer->opened),
        .malformed = read_counter(&sealer->malformed),
        .unknown_key = read_counter(&sealer->unknown_key),
        .bad_tag = read_counter(&sealer->bad_tag),
        .replayed = read_counter(&sealer->replayed),
        .too_late = read_counter(&sealer->too_late),
    };
}
