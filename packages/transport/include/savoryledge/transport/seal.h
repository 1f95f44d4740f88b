#ifndef SAVORYLEDGE_TRANSPORT_SEAL_H
#define SAVORYLEDGE_TRANSPORT_SEAL_H

/// Authentic datagrams: header with key id, sender and sequence number, the
/// payload, and a keyed SipHash-2-4 tag of 128 bits. A window for each
/// sender refuses repeated and very late datagrams.
///
/// Sequence numbers start at the wall-clock time of the process' start, so
/// that a restarted sender goes on above its old ones. All functions but
/// create and destroy may be called from any thread.

#include "savoryledge/transport/key.h"

enum {
    SL_SEAL_HEADER_BYTES = 24,
    SL_SEAL_TAG_BYTES = 16,
    SL_SEAL_OVERHEAD_BYTES = SL_SEAL_HEADER_BYTES + SL_SEAL_TAG_BYTES,
    /// How far behind the newest a datagram may come.
    SL_SEAL_WINDOW = 1024,
};

struct SlSealer;

struct SlSealerOptions {
    struct SlKeyring keyring;
    /// SlNode_Id of this process.
    uint64_t sender;
    /// Wall-clock time, microseconds.
    uint64_t start_wall_us;
    /// Senders remembered; the longest silent one makes room. 0 takes 8192.
    uint32_t max_senders;
};

struct SlSealerCounters {
    uint64_t sealed;
    uint64_t opened;
    uint64_t malformed;
    uint64_t unknown_key;
    uint64_t bad_tag;
    uint64_t replayed;
    uint64_t too_late;
};

/// NULL without memory.
struct SlSealer *
SlSealer_Create(const struct SlSealerOptions *options);
/// NULL is allowed. No other thread may use it.
void
SlSealer_Destroy(struct SlSealer *sealer);

/// Seals in place: the payload stands at bytes + SL_SEAL_HEADER_BYTES, and
/// SL_SEAL_TAG_BYTES are free behind it. Returns the whole length.
uint32_t
SlSealer_Seal(struct SlSealer *sealer, uint8_t *bytes, uint32_t payload_bytes);

/// Checks a datagram. payload points into bytes.
/// Errors: SL_MALFORMED, SL_FORBIDDEN (unknown key or bad tag),
/// SL_REPLAYED.
enum SlStatus
SlSealer_Open(struct SlSealer *sealer, uint64_t now_us, const uint8_t *bytes,
              uint32_t length_bytes, uint64_t *sender, const uint8_t **payload,
              uint32_t *payload_bytes);

void
SlSealer_SetKeyring(struct SlSealer *sealer, const struct SlKeyring *keyring);

void
SlSealer_Counters(const struct SlSealer *sealer,
                  struct SlSealerCounters *counters);

#endif
