#ifndef SAVORYLEDGE_TRANSPORT_KEY_H
#define SAVORYLEDGE_TRANSPORT_KEY_H

/// The site's key: who holds it belongs to the site. Two keys are valid
/// while one replaces the other; the first is the one used for sending.

#include <stdint.h>

#include "savoryledge/common/status.h"

enum {
    SL_KEY_BYTES = 32,
    SL_KEY_TAG_BYTES = 16,
    SL_KEYS_MAX = 2,
};

struct SlKey {
    uint8_t secret[SL_KEY_BYTES];
    /// Derived from secret, for the tags of datagrams.
    uint8_t tag_key[SL_KEY_TAG_BYTES];
    /// Names the key on the wire; tells nothing about the secret.
    uint64_t id;
};

struct SlKeyring {
    uint32_t count;
    struct SlKey items[SL_KEYS_MAX];
};

/// Fills a key from 32 secret bytes.
void
SlKey_FromSecret(const uint8_t secret[SL_KEY_BYTES], struct SlKey *key);

/// Reads a key file: 64 hexadecimal digits and a line end.
/// Errors: SL_IO, SL_FORBIDDEN (group or others may read or write it),
/// SL_MALFORMED.
enum SlStatus
SlKey_Load(const char *path, struct SlKey *key, struct SlError *error);

/// Draws a new key and writes it to a new file that only its owner reads.
/// Errors: SL_IO (also when the file exists).
enum SlStatus
SlKey_CreateFile(const char *path, struct SlError *error);

/// NULL when the ring does not hold the key.
const struct SlKey *
SlKeyring_Find(const struct SlKeyring *keyring, uint64_t id);

#endif
