/// Fuzzes the bytes that a listener reads from a connection: frames and the
/// handshake, and frames of an unauthenticated sender on an open channel.

#include <string.h>

#include "fuzz.h"
#include "savoryledge/transport/channel.h"
#include "savoryledge/transport/frame.h"

static struct SlKeyring
fixed_keyring(void)
{
    struct SlKeyring keyring = {.count = 1};
    const uint8_t secret[SL_KEY_BYTES] = {1, 2, 3};

    SlKey_FromSecret(secret, &keyring.items[0]);
    return keyring;
}

/// Feeds bytes to a channel in parts of part_bytes, as a stream may deliver
/// them.
static enum SlStatus
feed_channel(struct SlChannel *channel, const uint8_t *bytes,
             size_t length_bytes, size_t part_bytes, struct SlBuffer *out)
{
    struct SlFrameReader reader = {.consumed_bytes = 0};
    enum SlStatus status = SL_OK;
    const uint8_t *plain;
    uint32_t plain_bytes;
    uint32_t body_bytes;
    uint8_t *body;

    while (length_bytes > 0 && status == SL_OK) {
        size_t part = length_bytes < part_bytes ? length_bytes : part_bytes;

        fuzz_require(SlFrameReader_Feed(&reader, bytes, part) == SL_OK);
        bytes += part;
        length_bytes -= part;
        while (status == SL_OK) {
            status = SlFrameReader_Next(
                &reader, SlChannel_MaxBodyBytes(channel), &body, &body_bytes);
            if (status == SL_OK) {
                fuzz_require(body_bytes <= SlChannel_MaxBodyBytes(channel));
                status = SlChannel_Receive(channel, body, body_bytes, out,
                                           &plain, &plain_bytes);
            }
        }
        status = status == SL_AGAIN ? SL_OK : status;
    }
    SlFrameReader_Release(&reader);
    return status;
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    struct SlKeyring keyring = fixed_keyring();
    struct SlBuffer to_listener = {.bytes = NULL};
    struct SlBuffer to_dialler = {.bytes = NULL};
    struct SlChannel *dialler;
    struct SlChannel *listener;
    bool is_open;

    if (length_bytes < 2) {
        return 0;
    }
    is_open = bytes[0] & 1;
    dialler = SlChannel_Create(&keyring, true, &to_listener);
    listener = SlChannel_Create(&keyring, false, &to_dialler);
    fuzz_require(dialler != NULL && listener != NULL);
    if (is_open) {
        fuzz_require(feed_channel(listener, to_listener.bytes,
                                  to_listener.length_bytes, SIZE_MAX,
                                  &to_dialler) == SL_OK);
        SlBuffer_Clear(&to_listener);
        fuzz_require(feed_channel(dialler, to_dialler.bytes,
                                  to_dialler.length_bytes, SIZE_MAX,
                                  &to_listener) == SL_OK);
        fuzz_require(feed_channel(listener, to_listener.bytes,
                                  to_listener.length_bytes, SIZE_MAX,
                                  &to_dialler) == SL_OK);
        fuzz_require(SlChannel_IsOpen(listener) && SlChannel_IsOpen(dialler));
    }
    (void)feed_channel(listener, bytes + 2, length_bytes - 2, 1 + bytes[1],
                       &to_dialler);
    fuzz_require(SlChannel_IsOpen(listener) == is_open ||
                 !SlChannel_IsOpen(listener));
    SlChannel_Destroy(dialler);
    SlChannel_Destroy(listener);
    SlBuffer_Release(&to_listener);
    SlBuffer_Release(&to_dialler);
    return 0;
}
