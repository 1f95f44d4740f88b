#ifndef SAVORYLEDGE_TRANSPORT_CHANNEL_H
#define SAVORYLEDGE_TRANSPORT_CHANNEL_H

/// An authenticated, encrypted channel over frames, without I/O.
///
/// Each side sends an ephemeral key with a tag made with the site's key; the
/// listener's tag covers the dialler's message. Both derive a key for each
/// direction from the exchange, the site's key and both messages, and then
/// speak through libsodium's secretstream. The channel is open when the
/// peer's first sealed frame was read.

#include <stdbool.h>

#include "savoryledge/protocol/message.h"
#include "savoryledge/transport/key.h"

enum {
    /// Largest body of a frame before the channel is open, and after.
    SL_CHANNEL_GREETING_MAX_BYTES = 128,
    SL_CHANNEL_BODY_MAX_BYTES = SL_FRAME_MAX_BYTES + 64,
};

struct SlChannel;

/// keyring is copied. A dialler's greeting is appended to out.
/// NULL without memory.
struct SlChannel *
SlChannel_Create(const struct SlKeyring *keyring, bool dialler,
                 struct SlBuffer *out);
/// NULL is allowed.
void
SlChannel_Destroy(struct SlChannel *channel);

/// Handles the body of one received frame; answers are appended to out.
/// plain: the message in it, or NULL for a frame of the handshake. Borrowed
/// until the next call.
/// Errors: SL_MALFORMED, SL_FORBIDDEN, SL_NO_MEMORY; the channel is then
/// of no further use.
enum SlStatus
SlChannel_Receive(struct SlChannel *channel, const uint8_t *body,
                  uint32_t body_bytes, struct SlBuffer *out,
                  const uint8_t **plain, uint32_t *plain_bytes);

/// Appends one sealed frame to out. The channel must be open.
/// Errors: SL_TOO_LONG, SL_NO_MEMORY.
enum SlStatus
SlChannel_Seal(struct SlChannel *channel, const uint8_t *plain,
               uint32_t plain_bytes, struct SlBuffer *out);

bool
SlChannel_IsOpen(const struct SlChannel *channel);
/// Largest body that may come next.
uint32_t
SlChannel_MaxBodyBytes(const struct SlChannel *channel);
/// The site key in use; 0 before it is known.
uint64_t
SlChannel_KeyId(const struct SlChannel *channel);

#endif
