#ifndef SAVORYLEDGE_TRANSPORT_KEY_H
#define SAVORYLEDGE_TRANSPORT_KEY_H

/// The site's secret key, by which the processes of a site authenticate each
/// other. During a key rotation two keys are valid: messages made with either
/// key are accepted, and the first key is used for sending.

#include <stdint.h>

#include "savoryledge/common/status.h"

enum {
    SL_KEY_BYTES = 32,
    SL_KEY_TAG_BYTES = 16,
    SL_KEYS_MAX = 2,
};

struct SlKey {
    uint8_t secret[SL_KEY_BYTES];
    /// Key for the authentication tags of datagrams, derived from secret.
    uint8_t tag_key[SL_KEY_TAG_BYTES];
    /// Identifies the key on the wire. It is derived from secret by a one-way
    /// hash, so that it does not reveal the secret.
    uint64_t id;
};

/// The keys that are valid at present; the first key is used for sending.
struct SlKeyring {
    uint32_t count;
    struct SlKey items[SL_KEYS_MAX];
};

/// Derives the id and the datagram key from a secret of 32 bytes.
void
SlKey_FromSecret(const uint8_t secret[SL_KEY_BYTES], struct SlKey *key);

/// Reads a key file: 64 hexadecimal digits, optionally followed by a line
/// end. Errors: SL_IO (cannot be read, or is not a regular file), SL_FORBIDDEN
/// (the file mode gives rights to the group or to others), SL_MALFORMED.
enum SlStatus
SlKey_Load(const char *path, struct SlKey *key, struct SlError *error);

/// Generates a random key and writes it to a new file with mode 0600.
/// Errors: SL_IO (also when the file exists already).
enum SlStatus
SlKey_CreateFile(const char *path, struct SlError *error);

/// Returns the key with this id, or NULL when the keyring has none.
const struct SlKey *
SlKeyring_Find(const struct SlKeyring *keyring, uint64_t id);

#endif
