#include <pthread.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "savoryledge/transport/seal.h"

/// Layout of a sealed datagram, sizes in bytes: version (1), zeros (3), key id
/// (4), sender id (8), sequence number (8), payload, authentication tag (16).
/// Integers are in the byte order of the sender's CPU, as all instances of a
/// site are little-endian.

enum {
    SEAL_VERSION = 1,
    KEY_ID_OFFSET = 4,
    SENDER_OFFSET = 8,
    SEQUENCE_OFFSET = 16,
    /// Replay windows in each set of the set-associative sender table.
    WINDOWS_PER_SET = 8,
    DEFAULT_MAX_SENDERS = 8192,
    WORD_BITS = 64,
    WINDOW_WORDS = SL_SEAL_WINDOW_DATAGRAMS / WORD_BITS,
    /// The first sequence number of a process is its start time in
    /// microseconds multiplied by this. A restarted sender continues above its
    /// earlier numbers only if it sent on average no more than this many
    /// datagrams per microsecond.
    SEQUENCES_PER_US = 8,
};

/// Replay window of one sender: which of the last SL_SEAL_WINDOW_DATAGRAMS
/// sequence numbers were received.
struct replay_window {
    uint64_t sender;
    uint64_t newest_sequence;
    /// When a datagram of the sender last had a valid authentication tag.
    uint64_t last_seen_us;
    /// Bit number sequence % SL_SEAL_WINDOW_DATAGRAMS is set once the sequence
    /// number was received.
    uint64_t received_bits[WINDOW_WORDS];
};

/// Replay windows under one lock; the sender id modulo the number of sets
/// selects the set.
struct window_set {
    pthread_mutex_t lock;
    struct replay_window windows[WINDOWS_PER_SET];
};

/// A current or replaced keyring. Replaced keyrings are freed only with the
/// sealer, as other threads may still read them.
struct keyring_version {
    struct SlKeyring keyring;
    struct keyring_version *older;
};

struct SlSealer {
    uint64_t sender;
    _Atomic uint64_t sequence;
    struct keyring_version *_Atomic keyring;
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
               "SL_KEY_TAG_BYTES must equal the key size of SipHash-2-4");
_Static_assert((int)SL_SEAL_TAG_BYTES ==
                   (int)crypto_shorthash_siphashx24_BYTES,
               "SL_SEAL_TAG_BYTES must equal the tag size of SipHash-2-4");

static void
increment_counter(_Atomic uint64_t *counter)
{
    atomic_fetch_add_explicit(counter, 1, memory_order_relaxed);
}

static bool
create_window_sets(struct SlSealer *sealer, uint32_t max_senders)
{
    uint32_t capacity = max_senders ? max_senders : DEFAULT_MAX_SENDERS;

    sealer->set_count = (capacity + WINDOWS_PER_SET - 1) / WINDOWS_PER_SET;
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
    sealer->first_sequence = options->start_wall_us * SEQUENCES_PER_US + 1;
    atomic_init(&sealer->sequence, sealer->first_sequence);
    SlSealer_SetKeyring(sealer, &options->keyring);
    if (atomic_load(&sealer->keyring) == NULL ||
        !create_window_sets(sealer, options->max_senders)) {
        SlSealer_Destroy(sealer);
        return NULL;
    }
    return sealer;
}

void
SlSealer_Destroy(struct SlSealer *sealer)
{
    struct keyring_version *version;

    if (sealer == NULL) {
        return;
    }
    version = atomic_load(&sealer->keyring);
    while (version != NULL) {
        struct keyring_version *older = version->older;

        sodium_memzero(version, sizeof(*version));
        free(version);
        version = older;
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
    struct keyring_version *version = malloc(sizeof(*version));

    if (version == NULL) {
        return;
    }
    version->keyring = *keyring;
    version->older = atomic_load(&sealer->keyring);
    atomic_store(&sealer->keyring, version);
}

uint32_t
SlSealer_Seal(struct SlSealer *sealer, uint8_t *bytes, uint32_t payload_bytes)
{
    const struct keyring_version *version = atomic_load(&sealer->keyring);
    const struct SlKey *key = &version->keyring.items[0];
    uint32_t key_id = (uint32_t)key->id;
    uint64_t sequence =
        atomic_fetch_add_explicit(&sealer->sequence, 1, memory_order_relaxed);
    uint32_t authenticated_bytes = SL_SEAL_HEADER_BYTES + payload_bytes;

    memset(bytes, 0, KEY_ID_OFFSET);
    bytes[0] = SEAL_VERSION;
    memcpy(bytes + KEY_ID_OFFSET, &key_id, sizeof(key_id));
    memcpy(bytes + SENDER_OFFSET, &sealer->sender, sizeof(sealer->sender));
    memcpy(bytes + SEQUENCE_OFFSET, &sequence, sizeof(sequence));
    crypto_shorthash_siphashx24(bytes + authenticated_bytes, bytes,
                                authenticated_bytes, key->tag_key);
    return authenticated_bytes + SL_SEAL_TAG_BYTES;
}

static const struct SlKey *
find_key(struct SlSealer *sealer, uint32_t key_id)
{
    const struct keyring_version *version = atomic_load(&sealer->keyring);

    for (uint32_t i = 0; i < version->keyring.count; i++) {
        if ((uint32_t)version->keyring.items[i].id == key_id) {
            return &version->keyring.items[i];
        }
    }
    return NULL;
}

static enum SlStatus
check_tag(struct SlSealer *sealer, const uint8_t *bytes, uint32_t length_bytes)
{
    uint32_t authenticated_bytes = length_bytes - SL_SEAL_TAG_BYTES;
    uint8_t tag[SL_SEAL_TAG_BYTES];
    const struct SlKey *key;
    uint32_t key_id;

    memcpy(&key_id, bytes + KEY_ID_OFFSET, sizeof(key_id));
    key = find_key(sealer, key_id);
    if (key == NULL) {
        increment_counter(&sealer->unknown_key);
        return SL_FORBIDDEN;
    }
    crypto_shorthash_siphashx24(tag, bytes, authenticated_bytes, key->tag_key);
    if (sodium_memcmp(tag, bytes + authenticated_bytes, SL_SEAL_TAG_BYTES) !=
        0) {
        increment_counter(&sealer->bad_tag);
        return SL_FORBIDDEN;
    }
    return SL_OK;
}

/// Finds the replay window of a sender in its set. The window of a new sender
/// replaces that of the sender in the set that has been silent for longest.
static struct replay_window *
find_or_replace_window(struct window_set *set, uint64_t sender)
{
    struct replay_window *longest_silent = &set->windows[0];

    for (int i = 0; i < WINDOWS_PER_SET; i++) {
        if (set->windows[i].sender == sender) {
            return &set->windows[i];
        }
        if (set->windows[i].last_seen_us < longest_silent->last_seen_us) {
            longest_silent = &set->windows[i];
        }
    }
    *longest_silent = (struct replay_window){.sender = sender};
    return longest_silent;
}

/// Makes sequence the newest sequence number of the window and clears the bits
/// of the numbers after the former newest number.
static void
advance_window(struct replay_window *window, uint64_t sequence)
{
    uint64_t steps = sequence - window->newest_sequence;

    if (steps >= SL_SEAL_WINDOW_DATAGRAMS) {
        memset(window->received_bits, 0, sizeof(window->received_bits));
    }
    else {
        for (uint64_t cleared = window->newest_sequence + 1;
             cleared <= sequence; cleared++) {
            window->received_bits[cleared / WORD_BITS % WINDOW_WORDS] &=
                ~(UINT64_C(1) << cleared % WORD_BITS);
        }
    }
    window->newest_sequence = sequence;
}

/// Records a sequence number as received. Errors: SL_REPLAYED (the number was
/// received before, or is too far behind the newest number).
static enum SlStatus
record_sequence(struct SlSealer *sealer, struct replay_window *window,
                uint64_t sequence)
{
    uint64_t *word =
        &window->received_bits[sequence / WORD_BITS % WINDOW_WORDS];
    uint64_t bit = UINT64_C(1) << sequence % WORD_BITS;

    if (sequence > window->newest_sequence) {
        advance_window(window, sequence);
    }
    else if (window->newest_sequence - sequence >= SL_SEAL_WINDOW_DATAGRAMS) {
        increment_counter(&sealer->too_late);
        return SL_REPLAYED;
    }
    else if (*word & bit) {
        increment_counter(&sealer->replayed);
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
    struct replay_window *window;
    enum SlStatus status;

    pthread_mutex_lock(&set->lock);
    window = find_or_replace_window(set, sender);
    window->last_seen_us = now_us;
    status = record_sequence(sealer, window, sequence);
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
        increment_counter(&sealer->malformed);
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
    increment_counter(&sealer->opened);
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
