#ifndef SAVORYLEDGE_TRANSPORT_SEAL_H
#define SAVORYLEDGE_TRANSPORT_SEAL_H

/// Authenticated datagrams. Sealing a datagram puts a header with key id,
/// sender id and sequence number before the payload, and a keyed SipHash-2-4
/// tag of 128 bits after it; the payload is not encrypted. Opening a datagram
/// verifies the tag. The
/// receiver keeps a replay window for each sender, which rejects repeated and
/// very late datagrams.
///
/// The first sequence number of a process is derived from the wall-clock time
/// at its start, so that a restarted sender continues above the numbers that
/// it used before. All functions except SlSealer_Create and SlSealer_Destroy
/// may be called from any thread.

#include "savoryledge/transport/key.h"

enum {
    SL_SEAL_HEADER_BYTES = 24,
    SL_SEAL_TAG_BYTES = 16,
    /// Bytes that sealing adds to a payload.
    SL_SEAL_OVERHEAD_BYTES = SL_SEAL_HEADER_BYTES + SL_SEAL_TAG_BYTES,
    /// Size of the replay window: a datagram whose sequence number is this far
    /// or further behind the newest one of its sender is rejected.
    SL_SEAL_WINDOW_DATAGRAMS = 1024,
};

struct SlSealer;

struct SlSealerOptions {
    struct SlKeyring keyring;
    /// SlNode_Id of this process, sent with each datagram as the sender id.
    uint64_t sender;
    /// Wall-clock time at which the process started, in microseconds since
    /// 1970.
    uint64_t start_wall_us;
    /// Max number of senders with a replay window, rounded up to a multiple
    /// of 8. A new sender replaces that one of the eight senders in its part
    /// of the table that has been silent for longest. 0 selects 8192.
    uint32_t max_senders;
};

/// Numbers of datagrams since the sealer was created. All but the field sealed
/// count received datagrams.
struct SlSealerCounters {
    uint64_t sealed;
    /// Datagrams that passed all checks.
    uint64_t opened;
    /// Datagrams that were too short, or had a wrong version or header.
    uint64_t malformed;
    /// Datagrams that name a key that is not in the keyring.
    uint64_t unknown_key;
    /// Datagrams whose authentication tag was wrong.
    uint64_t bad_tag;
    /// Datagrams whose sequence number was received before.
    uint64_t replayed;
    /// Datagrams whose sequence number was behind the replay window.
    uint64_t too_late;
};

/// Creates a sealer with a copy of the keyring. Returns NULL when out of
/// memory or when libsodium cannot be initialised.
struct SlSealer *
SlSealer_Create(const struct SlSealerOptions *options);
/// Frees the sealer, which no other thread may use any more. sealer may be
/// NULL.
void
SlSealer_Destroy(struct SlSealer *sealer);

/// Writes header and tag around a payload in place. The payload begins at
/// bytes + SL_SEAL_HEADER_BYTES and must be followed by SL_SEAL_TAG_BYTES
/// free bytes. Returns the length of the sealed datagram in bytes.
uint32_t
SlSealer_Seal(struct SlSealer *sealer, uint8_t *bytes, uint32_t payload_bytes);

/// Verifies a received datagram and returns its sender and payload. payload
/// points into bytes. now_us: the present time.
/// Errors: SL_MALFORMED, SL_FORBIDDEN (unknown key or wrong tag),
/// SL_REPLAYED (the datagram was received before, or its sequence number is
/// behind the replay window).
enum SlStatus
SlSealer_Open(struct SlSealer *sealer, uint64_t now_us, const uint8_t *bytes,
              uint32_t length_bytes, uint64_t *sender, const uint8_t **payload,
              uint32_t *payload_bytes);

/// Replaces the keyring by a copy of keyring. When out of memory, the former
/// keyring stays in use.
void
SlSealer_SetKeyring(struct SlSealer *sealer, const struct SlKeyring *keyring);

void
SlSealer_Counters(const struct SlSealer *sealer,
                  struct SlSealerCounters *counters);

#endif
