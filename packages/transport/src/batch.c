#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "savoryledge/transport/port.h"

enum {
    /// Size requested from the system for the send and the receive buffer of
    /// each socket.
    SOCKET_BUFFER_BYTES = 4 * 1024 * 1024,
};

struct SlBatch *
SlBatch_Create(void)
{
    struct SlBatch *batch = calloc(1, sizeof(*batch));

    if (batch == NULL) {
        return NULL;
    }
    batch->memory = malloc((size_t)SL_BATCH_ITEMS * SL_BATCH_ITEM_BYTES);
    if (batch->memory == NULL) {
        free(batch);
        return NULL;
    }
    for (uint32_t i = 0; i < SL_BATCH_ITEMS; i++) {
        batch->items[i].bytes =
            batch->memory + (size_t)i * SL_BATCH_ITEM_BYTES;
    }
    return batch;
}

void
SlBatch_Destroy(struct SlBatch *batch)
{
    if (batch == NULL) {
        return;
    }
    free(batch->memory);
    free(batch);
}

static int
set_socket_options_and_bind(int descriptor, const struct SlAddress *address,
                            bool reuse_port)
{
    struct sockaddr_storage endpoint;
    socklen_t length = SlAddress_ToSockaddr(address, &endpoint);
    int buffer_bytes = SOCKET_BUFFER_BYTES;
    int enabled = 1;

    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
               sizeof(buffer_bytes));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &buffer_bytes,
               sizeof(buffer_bytes));
    if (reuse_port && setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT,
                                 &enabled, sizeof(enabled)) != 0) {
        return -1;
    }
    return bind(descriptor, (struct sockaddr *)&endpoint, length);
}

enum SlStatus
SlUdpSocket_Open(const struct SlAddress *address, bool reuse_port,
                 int *descriptor, struct SlError *error)
{
    char text[SL_ADDRESS_TEXT_BYTES];
    int family = SlAddress_IsIpv4(address) ? AF_INET : AF_INET6;
    int socket_descriptor =
        socket(family, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

    if (socket_descriptor >= 0 &&
        set_socket_options_and_bind(socket_descriptor, address, reuse_port) ==
            0) {
        *descriptor = socket_descriptor;
        return SL_OK;
    }
    SlError_Set(error, SL_IO, SL_STEP_OPEN, NULL,
                "cannot open a UDP socket at %s: %s",
                SlAddress_Format(address, text), strerror(errno));
    if (socket_descriptor >= 0) {
        close(socket_descriptor);
    }
    return SL_IO;
}

enum SlStatus
SlUdpSocket_BoundAddress(int descriptor, struct SlAddress *address)
{
    struct sockaddr_storage endpoint;
    socklen_t length = sizeof(endpoint);

    if (getsockname(descriptor, (struct sockaddr *)&endpoint, &length) != 0) {
        return SL_IO;
    }
    return SlAddress_FromSockaddr((struct sockaddr *)&endpoint, address);
}

void
SlUdpSocket_Receive(int descriptor, struct SlBatch *batch)
{
    struct sockaddr_storage endpoints[SL_BATCH_ITEMS];
    struct mmsghdr messages[SL_BATCH_ITEMS];
    struct iovec vectors[SL_BATCH_ITEMS];
    int count;

    for (uint32_t i = 0; i < SL_BATCH_ITEMS; i++) {
        vectors[i] = (struct iovec){.iov_base = batch->items[i].bytes,
                                    .iov_len = SL_BATCH_ITEM_BYTES};
        messages[i] =
            (struct mmsghdr){.msg_hdr = {.msg_name = &endpoints[i],
                                         .msg_namelen = sizeof(endpoints[i]),
                                         .msg_iov = &vectors[i],
                                         .msg_iovlen = 1}};
    }
    count = recvmmsg(descriptor, messages, SL_BATCH_ITEMS, MSG_DONTWAIT, NULL);
    batch->count = count > 0 ? (uint32_t)count : 0;
    for (uint32_t i = 0; i < batch->count; i++) {
        struct SlBatchItem *item = &batch->items[i];
        bool is_truncated = messages[i].msg_hdr.msg_flags & MSG_TRUNC;

        item->length_bytes = is_truncated ? 0 : messages[i].msg_len;
        SlAddress_FromSockaddr((struct sockaddr *)&endpoints[i], &item->peer);
    }
}

/// Sends messages with one system call. Returns the number of messages at the
/// start of the array that need no further attempt: those that were sent, or 1
/// when the system refused the first message. Returns 0 when the call was
/// interrupted.
static uint32_t
send_messages(int descriptor, struct mmsghdr *messages, uint32_t count,
              uint32_t *refused)
{
    int sent = sendmmsg(descriptor, messages, count, MSG_DONTWAIT);

    if (sent > 0) {
        return (uint32_t)sent;
    }
    if (errno == EINTR) {
        return 0;
    }
    (*refused)++;
    return 1;
}

uint32_t
SlUdpSocket_Send(int descriptor, struct SlBatch *batch)
{
    struct sockaddr_storage endpoints[SL_BATCH_ITEMS];
    struct mmsghdr messages[SL_BATCH_ITEMS];
    struct iovec vectors[SL_BATCH_ITEMS];
    uint32_t refused = 0;

    for (uint32_t i = 0; i < batch->count; i++) {
        struct SlBatchItem *item = &batch->items[i];

        vectors[i] = (struct iovec){.iov_base = item->bytes,
                                    .iov_len = item->length_bytes};
        messages[i] =
            (struct mmsghdr){.msg_hdr = {.msg_name = &endpoints[i],
                                         .msg_namelen = SlAddress_ToSockaddr(
                                             &item->peer, &endpoints[i]),
                                         .msg_iov = &vectors[i],
                                         .msg_iovlen = 1}};
    }
    for (uint32_t done = 0; done < batch->count;) {
        done += send_messages(descriptor, messages + done, batch->count - done,
                              &refused);
    }
    batch->count = 0;
    return refused;
}
