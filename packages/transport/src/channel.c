#include <assert.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "savoryledge/transport/channel.h"
#include "savoryledge/transport/frame.h"

enum {
    CHANNEL_VERSION = 1,
    ID_BYTES = sizeof(uint64_t),
    PUBLIC_BYTES = crypto_kx_PUBLICKEYBYTES,
    TAG_BYTES = crypto_generichash_BYTES,
    /// Version, key id and ephemeral public key: what the tag covers.
    SIGNED_BYTES = 1 + ID_BYTES + PUBLIC_BYTES,
    GREETING_BYTES = SIGNED_BYTES + TAG_BYTES,
    STREAM_HEADER_BYTES = crypto_secretstream_xchacha20poly1305_HEADERBYTES,
    STREAM_EXTRA_BYTES = crypto_secretstream_xchacha20poly1305_ABYTES,
    START_BYTES = STREAM_HEADER_BYTES + STREAM_EXTRA_BYTES,
};

enum channel_state {
    CHANNEL_WAITS_GREETING,
    CHANNEL_WAITS_START,
    CHANNEL_OPEN,
    CHANNEL_FAILED,
};

struct SlChannel {
    enum channel_state state;
    bool dialler;
    struct SlKeyring keyring;
    struct SlKey key;
    uint8_t public_key[PUBLIC_BYTES];
    uint8_t secret_key[crypto_kx_SECRETKEYBYTES];
    uint8_t dialler_greeting[GREETING_BYTES];
    uint8_t listener_greeting[GREETING_BYTES];
    crypto_secretstream_xchacha20poly1305_state send;
    crypto_secretstream_xchacha20poly1305_state receive;
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

/// The listener's tag also covers the dialler's greeting, so that a
/// recorded answer is worth nothing.
static void
greeting_tag(const struct SlChannel *channel, bool by_dialler,
             const uint8_t *greeting, uint8_t tag[TAG_BYTES])
{
    crypto_generichash_state state;

    crypto_generichash_init(&state, channel->key.secret, SL_KEY_BYTES,
                            TAG_BYTES);
    crypto_generichash_update(&state,
                              (const uint8_t *)(by_dialler ? "d" : "l"), 1);
    if (!by_dialler) {
        crypto_generichash_update(&state, channel->dialler_greeting,
                                  GREETING_BYTES);
    }
    crypto_generichash_update(&state, greeting, SIGNED_BYTES);
    crypto_generichash_final(&state, tag, TAG_BYTES);
}

static enum SlStatus
send_greeting(struct SlChannel *channel, struct SlBuffer *out)
{
    uint8_t *greeting = channel->dialler ? channel->dialler_greeting
                                         : channel->listener_greeting;

    crypto_kx_keypair(channel->public_key, channel->secret_key);
    greeting[0] = CHANNEL_VERSION;
    memcpy(greeting + 1, &channel->key.id, ID_BYTES);
    memcpy(greeting + 1 + ID_BYTES, channel->public_key, PUBLIC_BYTES);
    greeting_tag(channel, channel->dialler, greeting, greeting + SIGNED_BYTES);
    return append_frame(out, greeting, GREETING_BYTES);
}

struct SlChannel *
SlChannel_Create(const struct SlKeyring *keyring, bool dialler,
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
    channel->dialler = dialler;
    channel->keyring = *keyring;
    if (dialler) {
        channel->key = keyring->items[0];
        if (send_greeting(channel, out) != SL_OK) {
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

/// Binds a direction's key to the site's key and to both greetings.
static void
bind_key(const struct SlChannel *channel, uint8_t *session_key)
{
    crypto_generichash_state state;

    crypto_generichash_init(&state, channel->key.secret, SL_KEY_BYTES,
                            crypto_kx_SESSIONKEYBYTES);
    crypto_generichash_update(&state, session_key, crypto_kx_SESSIONKEYBYTES);
    crypto_generichash_update(&state, channel->dialler_greeting,
                              GREETING_BYTES);
    crypto_generichash_update(&state, channel->listener_greeting,
                              GREETING_BYTES);
    crypto_generichash_final(&state, session_key, crypto_kx_SESSIONKEYBYTES);
}

/// receive_key is kept in place of the secret key until the peer's stream
/// header comes.
static enum SlStatus
send_start(struct SlChannel *channel, const uint8_t *peer_public,
           struct SlBuffer *out)
{
    uint8_t receive_key[crypto_kx_SESSIONKEYBYTES];
    uint8_t send_key[crypto_kx_SESSIONKEYBYTES];
    uint8_t start[START_BYTES];
    int failed;

    failed =
        channel->dialler
            ? crypto_kx_client_session_keys(receive_key, send_key,
                                            channel->public_key,
                                            channel->secret_key, peer_public)
            : crypto_kx_server_session_keys(receive_key, send_key,
                                            channel->public_key,
                                            channel->secret_key, peer_public);
    if (failed) {
        return SL_FORBIDDEN;
    }
    bind_key(channel, receive_key);
    bind_key(channel, send_key);
    crypto_secretstream_xchacha20poly1305_init_push(&channel->send, start,
                                                    send_key);
    crypto_secretstream_xchacha20poly1305_push(&channel->send,
                                               start + STREAM_HEADER_BYTES,
                                               NULL, NULL, 0, NULL, 0, 0);
    memcpy(channel->secret_key, receive_key, sizeof(receive_key));
    sodium_memzero(receive_key, sizeof(receive_key));
    sodium_memzero(send_key, sizeof(send_key));
    channel->state = CHANNEL_WAITS_START;
    return append_frame(out, start, START_BYTES);
}

static enum SlStatus
receive_greeting(struct SlChannel *channel, const uint8_t *body,
                 uint32_t body_bytes, struct SlBuffer *out)
{
    uint8_t *kept = channel->dialler ? channel->listener_greeting
                                     : channel->dialler_greeting;
    uint8_t tag[TAG_BYTES];
    const struct SlKey *key;
    uint64_t id;

    if (body_bytes != GREETING_BYTES || body[0] != CHANNEL_VERSION) {
        return SL_MALFORMED;
    }
    memcpy(&id, body + 1, ID_BYTES);
    key = SlKeyring_Find(&channel->keyring, id);
    if (key == NULL || (channel->dialler && id != channel->key.id)) {
        return SL_FORBIDDEN;
    }
    channel->key = *key;
    greeting_tag(channel, !channel->dialler, body, tag);
    if (sodium_memcmp(tag, body + SIGNED_BYTES, TAG_BYTES) != 0) {
        return SL_FORBIDDEN;
    }
    memcpy(kept, body, GREETING_BYTES);
    if (!channel->dialler && send_greeting(channel, out) != SL_OK) {
        return SL_NO_MEMORY;
    }
    return send_start(channel, body + 1 + ID_BYTES, out);
}

static enum SlStatus
receive_start(struct SlChannel *channel, const uint8_t *body,
              uint32_t body_bytes)
{
    uint8_t plain[1];

    if (body_bytes != START_BYTES) {
        return SL_MALFORMED;
    }
    if (crypto_secretstream_xchacha20poly1305_init_pull(
            &channel->receive, body, channel->secret_key) != 0 ||
        crypto_secretstream_xchacha20poly1305_pull(
            &channel->receive, plain, NULL, NULL, body + STREAM_HEADER_BYTES,
            STREAM_EXTRA_BYTES, NULL, 0) != 0) {
        return SL_FORBIDDEN;
    }
    sodium_memzero(channel->secret_key, sizeof(channel->secret_key));
    channel->state = CHANNEL_OPEN;
    return SL_OK;
}

static enum SlStatus
reserve(struct SlBuffer *buffer, size_t room_bytes)
{
    uint8_t *bytes;

    if (buffer->capacity_bytes >= room_bytes) {
        return SL_OK;
    }
    bytes = realloc(buffer->bytes, room_bytes);
    if (bytes == NULL) {
        return SL_NO_MEMORY;
    }
    buffer->bytes = bytes;
    buffer->capacity_bytes = room_bytes;
    return SL_OK;
}

static enum SlStatus
receive_sealed(struct SlChannel *channel, const uint8_t *body,
               uint32_t body_bytes, const uint8_t **plain,
               uint32_t *plain_bytes)
{
    unsigned long long length = 0;

    if (body_bytes < STREAM_EXTRA_BYTES) {
        return SL_MALFORMED;
    }
    if (reserve(&channel->plain, body_bytes) != SL_OK) {
        return SL_NO_MEMORY;
    }
    if (crypto_secretstream_xchacha20poly1305_pull(
            &channel->receive, channel->plain.bytes, &length, NULL, body,
            body_bytes, NULL, 0) != 0) {
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
    case CHANNEL_WAITS_GREETING:
        status = receive_greeting(channel, body, body_bytes, out);
        break;
    case CHANNEL_WAITS_START:
        status = receive_start(channel, body, body_bytes);
        break;
    case CHANNEL_OPEN:
        status = receive_sealed(channel, body, body_bytes, plain, plain_bytes);
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
    size_t needed = out->length_bytes + sizeof(header) + body_bytes;

    assert(channel->state == CHANNEL_OPEN);
    if (plain_bytes > SL_FRAME_MAX_BYTES) {
        return SL_TOO_LONG;
    }
    /* Grows by doubling, as SlBuffer_Append does. */
    if (needed > out->capacity_bytes && reserve(out, needed * 2) != SL_OK) {
        return SL_NO_MEMORY;
    }
    SlFrame_WriteHeader(header, body_bytes);
    memcpy(out->bytes + out->length_bytes, header, sizeof(header));
    crypto_secretstream_xchacha20poly1305_push(
        &channel->send, out->bytes + out->length_bytes + sizeof(header), NULL,
        plain, plain_bytes, NULL, 0, 0);
    out->length_bytes = needed;
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
                                     : SL_CHANNEL_GREETING_MAX_BYTES;
}

uint64_t
SlChannel_KeyId(const struct SlChannel *channel)
{
    return channel->key.id;
}
