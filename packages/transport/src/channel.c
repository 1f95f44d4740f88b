#include <assert.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "savoryledge/transport/channel.h"
#include "savoryledge/transport/frame.h"

/// Handshake message of both sides, sizes in bytes: version (1), id of the
/// site's key (8), ephemeral public key (32), tag (32).

enum {
    CHANNEL_VERSION = 1,
    KEY_ID_BYTES = sizeof(uint64_t),
    PUBLIC_KEY_BYTES = crypto_kx_PUBLICKEYBYTES,
    TAG_BYTES = crypto_generichash_BYTES,
    /// Size of the part of a handshake message that its tag covers: version,
    /// key id and ephemeral public key.
    AUTHENTICATED_BYTES = 1 + KEY_ID_BYTES + PUBLIC_KEY_BYTES,
    HANDSHAKE_BYTES = AUTHENTICATED_BYTES + TAG_BYTES,
    STREAM_HEADER_BYTES = crypto_secretstream_xchacha20poly1305_HEADERBYTES,
    STREAM_EXTRA_BYTES = crypto_secretstream_xchacha20poly1305_ABYTES,
    /// Size of the frame body that starts a stream: the header of a
    /// secretstream and an empty encrypted message.
    STREAM_START_BYTES = STREAM_HEADER_BYTES + STREAM_EXTRA_BYTES,
};

enum channel_state {
    CHANNEL_AWAITS_HANDSHAKE,
    CHANNEL_AWAITS_STREAM_START,
    CHANNEL_OPEN,
    CHANNEL_FAILED,
};

struct SlChannel {
    enum channel_state state;
    bool is_dialler;
    struct SlKeyring keyring;
    struct SlKey key;
    uint8_t public_key[PUBLIC_KEY_BYTES];
    /// The ephemeral secret key. From the derivation of the session keys until
    /// the peer's stream starts, it contains the key for receiving instead.
    uint8_t secret_key[crypto_kx_SECRETKEYBYTES];
    uint8_t dialler_handshake[HANDSHAKE_BYTES];
    uint8_t listener_handshake[HANDSHAKE_BYTES];
    crypto_secretstream_xchacha20poly1305_state send_stream;
    crypto_secretstream_xchacha20poly1305_state receive_stream;
    /// The message that was decrypted last.
    struct SlBuffer plain;
};

static enum SlStatus
append_frame(struct SlBuffer *out, const uint8_t *body, uint32_t body_bytes)
{
    uint8_t header[SL_FRAME_HEADER_BYTES];

    SlFrame_WriteHeader(header, body_bytes);
    if (SlBuffer_Append(out, header, sizeof(header)) != SL_OK) {
        return SL_NO_MEMORY;
    }
    return SlBuffer_Append(out, body, body_bytes);
}

/// Computes the tag of a handshake message. The listener's tag also covers the
/// dialler's message, so that a recorded reply is not valid for another
/// connection.
static void
compute_handshake_tag(const struct SlChannel *channel, bool is_from_dialler,
                      const uint8_t *message, uint8_t tag[TAG_BYTES])
{
    crypto_generichash_state state;

    crypto_generichash_init(&state, channel->key.secret, SL_KEY_BYTES,
                            TAG_BYTES);
    crypto_generichash_update(
        &state, (const uint8_t *)(is_from_dialler ? "d" : "l"), 1);
    if (!is_from_dialler) {
        crypto_generichash_update(&state, channel->dialler_handshake,
                                  HANDSHAKE_BYTES);
    }
    crypto_generichash_update(&state, message, AUTHENTICATED_BYTES);
    crypto_generichash_final(&state, tag, TAG_BYTES);
}

static enum SlStatus
send_handshake(struct SlChannel *channel, struct SlBuffer *out)
{
    uint8_t *message = channel->is_dialler ? channel->dialler_handshake
                                           : channel->listener_handshake;

    crypto_kx_keypair(channel->public_key, channel->secret_key);
    message[0] = CHANNEL_VERSION;
    memcpy(message + 1, &channel->key.id, KEY_ID_BYTES);
    memcpy(message + 1 + KEY_ID_BYTES, channel->public_key, PUBLIC_KEY_BYTES);
    compute_handshake_tag(channel, channel->is_dialler, message,
                          message + AUTHENTICATED_BYTES);
    return append_frame(out, message, HANDSHAKE_BYTES);
}

struct SlChannel *
SlChannel_Create(const struct SlKeyring *keyring, bool is_dialler,
                 struct SlBuffer *out)
{
    struct SlChannel *channel;

    assert(keyring->count > 0 && keyring->count <= SL_KEYS_MAX);
    if (sodium_init() < 0) {
        return NULL;
    }
    channel = calloc(1, sizeof(*channel));
    if (channel == NULL) {
        return NULL;
    }
    channel->is_dialler = is_dialler;
    channel->keyring = *keyring;
    if (is_dialler) {
        channel->key = keyring->items[0];
        if (send_handshake(channel, out) != SL_OK) {
            SlChannel_Destroy(channel);
            return NULL;
        }
    }
    return channel;
}

void
SlChannel_Destroy(struct SlChannel *channel)
{
    if (channel == NULL) {
        return;
    }
    SlBuffer_Release(&channel->plain);
    sodium_memzero(channel, sizeof(*channel));
    free(channel);
}

/// Replaces the session key of one direction by a hash of it, the site's key
/// and both handshake messages.
static void
mix_session_key(const struct SlChannel *channel, uint8_t *session_key)
{
    crypto_generichash_state state;

    crypto_generichash_init(&state, channel->key.secret, SL_KEY_BYTES,
                            crypto_kx_SESSIONKEYBYTES);
    crypto_generichash_update(&state, session_key, crypto_kx_SESSIONKEYBYTES);
    crypto_generichash_update(&state, channel->dialler_handshake,
                              HANDSHAKE_BYTES);
    crypto_generichash_update(&state, channel->listener_handshake,
                              HANDSHAKE_BYTES);
    crypto_generichash_final(&state, session_key, crypto_kx_SESSIONKEYBYTES);
}

/// Derives the session keys and starts the stream to the peer. The key for
/// receiving is stored in secret_key until the peer's stream header arrives.
static enum SlStatus
start_send_stream(struct SlChannel *channel, const uint8_t *peer_public_key,
                  struct SlBuffer *out)
{
    uint8_t receive_key[crypto_kx_SESSIONKEYBYTES];
    uint8_t send_key[crypto_kx_SESSIONKEYBYTES];
    uint8_t stream_start[STREAM_START_BYTES];
    int failed;

    failed = channel->is_dialler
                 ? crypto_kx_client_session_keys(
                       receive_key, send_key, channel->public_key,
                       channel->secret_key, peer_public_key)
                 : crypto_kx_server_session_keys(
                       receive_key, send_key, channel->public_key,
                       channel->secret_key, peer_public_key);
    if (failed) {
        return SL_FORBIDDEN;
    }
    mix_session_key(channel, receive_key);
    mix_session_key(channel, send_key);
    crypto_secretstream_xchacha20poly1305_init_push(&channel->send_stream,
                                                    stream_start, send_key);
    crypto_secretstream_xchacha20poly1305_push(
        &channel->send_stream, stream_start + STREAM_HEADER_BYTES, NULL, NULL,
        0, NULL, 0, 0);
    memcpy(channel->secret_key, receive_key, sizeof(receive_key));
    sodium_memzero(receive_key, sizeof(receive_key));
    sodium_memzero(send_key, sizeof(send_key));
    channel->state = CHANNEL_AWAITS_STREAM_START;
    return append_frame(out, stream_start, STREAM_START_BYTES);
}

static enum SlStatus
receive_handshake(struct SlChannel *channel, const uint8_t *body,
                  uint32_t body_bytes, struct SlBuffer *out)
{
    uint8_t *peer_handshake = channel->is_dialler ? channel->listener_handshake
                                                  : channel->dialler_handshake;
    uint8_t tag[TAG_BYTES];
    const struct SlKey *key;
    uint64_t id;

    if (body_bytes != HANDSHAKE_BYTES || body[0] != CHANNEL_VERSION) {
        return SL_MALFORMED;
    }
    memcpy(&id, body + 1, KEY_ID_BYTES);
    key = SlKeyring_Find(&channel->keyring, id);
    if (key == NULL || (channel->is_dialler && id != channel->key.id)) {
        return SL_FORBIDDEN;
    }
    channel->key = *key;
    compute_handshake_tag(channel, !channel->is_dialler, body, tag);
    if (sodium_memcmp(tag, body + AUTHENTICATED_BYTES, TAG_BYTES) != 0) {
        return SL_FORBIDDEN;
    }
    memcpy(peer_handshake, body, HANDSHAKE_BYTES);
    if (!channel->is_dialler && send_handshake(channel, out) != SL_OK) {
        return SL_NO_MEMORY;
    }
    return start_send_stream(channel, body + 1 + KEY_ID_BYTES, out);
}

static enum SlStatus
start_receive_stream(struct SlChannel *channel, const uint8_t *body,
                     uint32_t body_bytes)
{
    uint8_t plain[1];

    if (body_bytes != STREAM_START_BYTES) {
        return SL_MALFORMED;
    }
    if (crypto_secretstream_xchacha20poly1305_init_pull(
            &channel->receive_stream, body, channel->secret_key) != 0 ||
        crypto_secretstream_xchacha20poly1305_pull(
            &channel->receive_stream, plain, NULL, NULL,
            body + STREAM_HEADER_BYTES, STREAM_EXTRA_BYTES, NULL, 0) != 0) {
        return SL_FORBIDDEN;
    }
    sodium_memzero(channel->secret_key, sizeof(channel->secret_key));
    channel->state = CHANNEL_OPEN;
    return SL_OK;
}

static enum SlStatus
reserve_buffer(struct SlBuffer *buffer, size_t capacity_bytes)
{
    uint8_t *bytes;

    if (buffer->capacity_bytes >= capacity_bytes) {
        return SL_OK;
    }
    bytes = realloc(buffer->bytes, capacity_bytes);
    if (bytes == NULL) {
        return SL_NO_MEMORY;
    }
    buffer->bytes = bytes;
    buffer->capacity_bytes = capacity_bytes;
    return SL_OK;
}

static enum SlStatus
decrypt_message(struct SlChannel *channel, const uint8_t *body,
                uint32_t body_bytes, const uint8_t **plain,
                uint32_t *plain_bytes)
{
    unsigned long long length = 0;

    if (body_bytes < STREAM_EXTRA_BYTES) {
        return SL_MALFORMED;
    }
    if (reserve_buffer(&channel->plain, body_bytes) != SL_OK) {
        return SL_NO_MEMORY;
    }
    if (crypto_secretstream_xchacha20poly1305_pull(
            &channel->receive_stream, channel->plain.bytes, &length, NULL,
            body, body_bytes, NULL, 0) != 0) {
        return SL_FORBIDDEN;
    }
    *plain = channel->plain.bytes;
    *plain_bytes = (uint32_t)length;
    return SL_OK;
}

enum SlStatus
SlChannel_Receive(struct SlChannel *channel, const uint8_t *body,
                  uint32_t body_bytes, struct SlBuffer *out,
                  const uint8_t **plain, uint32_t *plain_bytes)
{
    enum SlStatus status = SL_FORBIDDEN;

    *plain = NULL;
    *plain_bytes = 0;
    switch (channel->state) {
    case CHANNEL_AWAITS_HANDSHAKE:
        status = receive_handshake(channel, body, body_bytes, out);
        break;
    case CHANNEL_AWAITS_STREAM_START:
        status = start_receive_stream(channel, body, body_bytes);
        break;
    case CHANNEL_OPEN:
        status =
            decrypt_message(channel, body, body_bytes, plain, plain_bytes);
        break;
    case CHANNEL_FAILED:
        break;
    }
    if (status != SL_OK) {
        channel->state = CHANNEL_FAILED;
    }
    return status;
}

enum SlStatus
SlChannel_Seal(struct SlChannel *channel, const uint8_t *plain,
               uint32_t plain_bytes, struct SlBuffer *out)
{
    uint8_t header[SL_FRAME_HEADER_BYTES];
    uint32_t body_bytes = plain_bytes + STREAM_EXTRA_BYTES;
    size_t needed_bytes = out->length_bytes + sizeof(header) + body_bytes;

    assert(channel->state == CHANNEL_OPEN);
    if (plain_bytes > SL_FRAME_MAX_BYTES) {
        return SL_TOO_LONG;
    }
    /* Doubles the capacity when it grows, as SlBuffer_Append does. */
    if (needed_bytes > out->capacity_bytes &&
        reserve_buffer(out, needed_bytes * 2) != SL_OK) {
        return SL_NO_MEMORY;
    }
    SlFrame_WriteHeader(header, body_bytes);
    memcpy(out->bytes + out->length_bytes, header, sizeof(header));
    crypto_secretstream_xchacha20poly1305_push(
        &channel->send_stream, out->bytes + out->length_bytes + sizeof(header),
        NULL, plain, plain_bytes, NULL, 0, 0);
    out->length_bytes = needed_bytes;
    return SL_OK;
}

bool
SlChannel_IsOpen(const struct SlChannel *channel)
{
    return channel->state == CHANNEL_OPEN;
}

uint32_t
SlChannel_MaxBodyBytes(const struct SlChannel *channel)
{
    return SlChannel_IsOpen(channel) ? SL_CHANNEL_BODY_MAX_BYTES
                                     : SL_CHANNEL_HANDSHAKE_MAX_BYTES;
}

uint64_t
SlChannel_KeyId(const struct SlChannel *channel)
{
    return channel->key.id;
}
