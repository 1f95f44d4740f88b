/// Bytes on a connection: frames and the handshake as a listener reads them,
/// and frames of a stranger on a channel that is open.

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

/// Gives bytes to a channel, in parts of the size that the stream brings.
static enum SlStatus
give(struct SlChannel *channel, const uint8_t *bytes, size_t length_bytes,
     size_t part_bytes, struct SlBuffer *out)
{
    struct SlFrameReader reader = {.consumed_bytes = 0};
    enum SlStatus status = SL_OK;
    const uint8_t *plain;
    uint32_t plain_bytes;
    uint32_t body_bytes;
    uint8_t *body;

    while (length_bytes > 0 && status == SL_OK) {
        size_t part = length_bytes < part_bytes ? length_bytes : part_bytes;

        must(SlFrameReader_Feed(&reader, bytes, part) == SL_OK);
        bytes += part;
        length_bytes -= part;
        while (status == SL_OK) {
            status = SlFrameReader_Next(
                &reader, SlChannel_MaxBodyBytes(channel), &body, &body_bytes);
            if (status == SL_OK) {
                must(body_bytes <= SlChannel_MaxBodyBytes(channel));
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
    bool open;

    if (length_bytes < 2) {
        return 0;
    }
    open = bytes[0] & 1;
    dialler = SlChannel_Create(&keyring, true, &to_listener);
    listener = SlChannel_Create(&keyring, false, &to_dialler);
    must(dialler != NULL && listener != NULL);
    if (open) {
        must(give(listener, to_listener.bytes, to_listener.length_bytes,
                  SIZE_MAX, &to_dialler) == SL_OK);
        SlBuffer_Clear(&to_listener);
        must(give(dialler, to_dialler.bytes, to_dialler.length_bytes, SIZE_MAX,
                  &to_listener) == SL_OK);
        must(give(listener, to_listener.bytes, to_listener.length_bytes,
                  SIZE_MAX, &to_dialler) == SL_OK);
        must(SlChannel_IsOpen(listener) && SlChannel_IsOpen(dialler));
    }
    (void)give(listener, bytes + 2, length_bytes - 2, 1 + bytes[1],
               &to_dialler);
    must(SlChannel_IsOpen(listener) == open || !SlChannel_IsOpen(listener));
    SlChannel_Destroy(dialler);
    SlChannel_Destroy(listener);
    SlBuffer_Release(&to_listener);
    SlBuffer_Release(&to_dialler);
    return 0;
}
