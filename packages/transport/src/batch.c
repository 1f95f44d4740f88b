#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "savoryledge/transport/port.h"

enum {
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
bind_socket(int descriptor, const struct SlAddress *address, bool shared)
{
    struct sockaddr_storage name;
    socklen_t length = SlAddress_ToSockaddr(address, &name);
    int size_bytes = SOCKET_BUFFER_BYTES;
    int one = 1;

    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size_bytes,
               sizeof(size_bytes));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &size_bytes,
               sizeof(size_bytes));
    if (shared && setsockopt(descriptor, SOL_SOCKET, SO_REUSEPORT, &one,
                             sizeof(one)) != 0) {
        return -1;
    }
    return bind(descriptor, (struct sockaddr *)&name, length);
}

enum SlStatus
SlUdpSocket_Open(const struct SlAddress *address, bool shared, int *descriptor,
                 struct SlError *error)
{
    char text[SL_ADDRESS_TEXT_BYTES];
    int family = SlAddress_IsIpv4(address) ? AF_INET : AF_INET6;
    int opened = socket(family, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

    if (opened >= 0 && bind_socket(opened, address, shared) == 0) {
        *descriptor = opened;
        return SL_OK;
    }
    SlError_Set(error, SL_IO, SL_STEP_OPEN, NULL,
                "cannot open a UDP socket at %s: %s",
                SlAddress_Format(address, text), strerror(errno));
    if (opened >= 0) {
        close(opened);
    }
    return SL_IO;
}

enum SlStatus
SlUdpSocket_BoundAddress(int descriptor, struct SlAddress *address)
{
    struct sockaddr_storage name;
    socklen_t length = sizeof(name);

    if (getsockname(descriptor, (struct sockaddr *)&name, &length) != 0) {
        return SL_IO;
    }
    return SlAddress_FromSockaddr((struct sockaddr *)&name, address);
}

void
SlUdpSocket_Receive(int descriptor, struct SlBatch *batch)
{
    struct sockaddr_storage names[SL_BATCH_ITEMS];
    struct mmsghdr messages[SL_BATCH_ITEMS];
    struct iovec parts[SL_BATCH_ITEMS];
    int count;

    for (uint32_t i = 0; i < SL_BATCH_ITEMS; i++) {
        parts[i] = (struct iovec){.iov_base = batch->items[i].bytes,
                                  .iov_len = SL_BATCH_ITEM_BYTES};
        messages[i] =
            (struct mmsghdr){.msg_hdr = {.msg_name = &names[i],
                                         .msg_namelen = sizeof(names[i]),
                                         .msg_iov = &parts[i],
                                         .msg_iovlen = 1}};
    }
    count = recvmmsg(descriptor, messages, SL_BATCH_ITEMS, MSG_DONTWAIT, NULL);
    batch->count = count > 0 ? (uint32_t)count : 0;
    for (uint32_t i = 0; i < batch->count; i++) {
        struct SlBatchItem *item = &batch->items[i];
        bool cut = messages[i].msg_hdr.msg_flags & MSG_TRUNC;

        item->length_bytes = cut ? 0 : messages[i].msg_len;
        SlAddress_FromSockaddr((struct sockaddr *)&names[i], &item->peer);
    }
}

/// Returns how many of the messages were sent or refused; at least 1.
static uint32_t
send_some(int descriptor, struct mmsghdr *messages, uint32_t count,
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
    struct sockaddr_storage names[SL_BATCH_ITEMS];
    struct mmsghdr messages[SL_BATCH_ITEMS];
    struct iovec parts[SL_BATCH_ITEMS];
    uint32_t refused = 0;

    for (uint32_t i = 0; i < batch->count; i++) {
        struct SlBatchItem *item = &batch->items[i];

        parts[i] = (struct iovec){.iov_base = item->bytes,
                                  .iov_len = item->length_bytes};
        messages[i] =
            (struct mmsghdr){.msg_hdr = {.msg_name = &names[i],
                                         .msg_namelen = SlAddress_ToSockaddr(
                                             &item->peer, &names[i]),
                                         .msg_iov = &parts[i],
                                         .msg_iovlen = 1}};
    }
    for (uint32_t done = 0; done < batch->count;) {
        done += send_some(descriptor, messages + done, batch->count - done,
                          &refused);
    }
    batch->count = 0;
    return refused;
}
