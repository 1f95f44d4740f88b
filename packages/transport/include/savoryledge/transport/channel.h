#ifndef SAVORYLEDGE_TRANSPORT_CHANNEL_H
#define SAVORYLEDGE_TRANSPORT_CHANNEL_H

/// An authenticated, encrypted channel over length-prefixed frames (frame.h).
/// It does no I/O: the caller passes received frames in and sends those that
/// the channel appends to a buffer.
///
/// Each side sends a handshake message: an ephemeral public key with a tag
/// made with the site's key. The listener's tag also covers the dialler's
/// message. From the key exchange, the site's key and both messages the two
/// sides derive one key for each direction, and then encrypt with libsodium's
/// secretstream. The channel is open once the first encrypted frame of the
/// peer has been verified.

#include <stdbool.h>

#include "savoryledge/protocol/message.h"
#include "savoryledge/transport/key.h"

enum {
    /// Max length of a frame body that is accepted during the handshake.
    SL_CHANNEL_HANDSHAKE_MAX_BYTES = 128,
    /// Max length of a frame body on an open channel: a message, and space for
    /// what the encryption adds to the message.
    SL_CHANNEL_BODY_MAX_BYTES = SL_FRAME_MAX_BYTES + 64,
};

struct SlChannel;

/// Creates one end of a channel. keyring: copied; it must hold at least one
/// key. is_dialler: true on the side that opened the connection, whose
/// handshake message is appended to out. Returns NULL when out of memory or
/// when libsodium cannot be initialised.
struct SlChannel *
SlChannel_Create(const struct SlKeyring *keyring, bool is_dialler,
                 struct SlBuffer *out);
/// Frees the channel and its keys. channel may be NULL.
void
SlChannel_Destroy(struct SlChannel *channel);

/// Handles the body of one received frame. Handshake replies are appended to
/// out. plain: receives the decrypted message, valid until the next call, or
/// NULL for a frame of the handshake.
/// Errors: SL_MALFORMED, SL_FORBIDDEN (unknown key, or a failed
/// verification), SL_NO_MEMORY. After an error the channel accepts no frame.
enum SlStatus
SlChannel_Receive(struct SlChannel *channel, const uint8_t *body,
                  uint32_t body_bytes, struct SlBuffer *out,
                  const uint8_t **plain, uint32_t *plain_bytes);

/// Encrypts a message and appends it to out as one frame. The channel must be
/// open. Errors: SL_TOO_LONG (more than SL_FRAME_MAX_BYTES), SL_NO_MEMORY.
enum SlStatus
SlChannel_Seal(struct SlChannel *channel, const uint8_t *plain,
               uint32_t plain_bytes, struct SlBuffer *out);

/// Returns true once an encrypted frame of the peer has been verified.
bool
SlChannel_IsOpen(const struct SlChannel *channel);
/// Returns the largest frame body, in bytes, that SlChannel_Receive accepts in
/// the present state of the channel.
uint32_t
SlChannel_MaxBodyBytes(const struct SlChannel *channel);
/// Returns the id of the site key in use, or 0 on the listener's side until
/// it has received the dialler's handshake message.
uint64_t
SlChannel_KeyId(const struct SlChannel *channel);

#endif
