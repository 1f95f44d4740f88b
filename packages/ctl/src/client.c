#include "client.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "savoryledge/transport/link.h"

enum {
    DIAL_ID = 1,
    /// Longest wait for events in one run of the loop.
    POLL_TIMEOUT_US = 50 * 1000,
};

struct queued_message {
    struct SlMessage message;
    struct queued_message *next;
};

struct SlClient {
    struct SlLinksHandler owner;
    struct SlLoop *loop;
    struct SlLinks *links;
    struct SlBuffer encoded;
    char name[SL_NAME_BYTES];
    char peer[SL_NAME_BYTES];
    /// Identifier of the link; 0 while no link is up.
    uint64_t link_id;
    /// The HELLO of the other process has arrived on the link.
    bool hello_received;
    /// Reason for which the last link ended; SL_OK while a link is opened or
    /// up.
    enum SlStatus end_reason;
    /// Queue of received messages, and the pointer to which the next message
    /// is linked.
    struct queued_message *queue_first;
    struct queued_message **queue_end;
};

static void
on_link_up(struct SlLinksHandler *owner, uint64_t link_id, uint64_t dialled,
           const struct SlAddress *remote)
{
    struct SlClient *client = (struct SlClient *)owner;
    struct SlMessage hello = {.kind = SL_MESSAGE_HELLO};

    (void)dialled;
    (void)remote;
    client->link_id = link_id;
    memcpy(hello.hello.name, client->name, SL_NAME_BYTES);
    SlClient_Send(client, &hello);
}

static void
enqueue_message(struct SlClient *client, struct SlMessage *message)
{
    struct queued_message *queued = calloc(1, sizeof(*queued));

    if (queued == NULL) {
        SlMessage_Release(message);
        return;
    }
    queued->message = *message;
    *client->queue_end = queued;
    client->queue_end = &queued->next;
}

static void
on_link_message(struct SlLinksHandler *owner, uint64_t link_id,
                const uint8_t *bytes, uint32_t length_bytes)
{
    struct SlClient *client = (struct SlClient *)owner;
    struct SlMessage message = {.kind = SL_MESSAGE_NONE};

    (void)link_id;
    if (SlMessage_Decode(bytes, length_bytes, &message) != SL_OK) {
        SlMessage_Release(&message);
        return;
    }
    switch (message.kind) {
    case SL_MESSAGE_HELLO:
        client->hello_received = true;
        memcpy(client->peer, message.hello.name, SL_NAME_BYTES);
        SlMessage_Release(&message);
        break;
    case SL_MESSAGE_RESULT:
    case SL_MESSAGE_OBJECT:
    case SL_MESSAGE_TEXT:
        enqueue_message(client, &message);
        break;
    default:
        SlMessage_Release(&message);
        break;
    }
}

static void
on_link_down(struct SlLinksHandler *owner, uint64_t link_id,
             enum SlStatus reason)
{
    struct SlClient *client = (struct SlClient *)owner;

    if (client->link_id == link_id) {
        client->link_id = 0;
        client->end_reason = reason;
    }
}

static void
on_link_refused(struct SlLinksHandler *owner, const struct SlAddress *remote,
                enum SlStatus reason)
{
    (void)remote;
    ((struct SlClient *)owner)->end_reason = reason;
}

static const struct SlLinksHandlerType LINKS_OWNER_TYPE = {
    .on_link_up = on_link_up,
    .on_message = on_link_message,
    .on_link_down = on_link_down,
    .on_refused = on_link_refused,
};

struct SlClient *
SlClient_Create(const struct SlKeyring *keyring)
{
    struct SlClient *client = calloc(1, sizeof(*client));
    struct SlLinksOptions options = {.keyring = *keyring, .max_links = 16};

    if (client == NULL) {
        return NULL;
    }
    client->owner.type = &LINKS_OWNER_TYPE;
    client->queue_end = &client->queue_first;
    client->loop = SlLoop_Create();
    options.loop = client->loop;
    options.handler = &client->owner;
    client->links = SlLinks_Create(&options);
    if (client->loop == NULL || client->links == NULL) {
        SlClient_Destroy(client);
        return NULL;
    }
    snprintf(client->name, sizeof(client->name), "ctl-%08" PRIx32,
             randombytes_random());
    return client;
}

static void
discard_queued_messages(struct SlClient *client)
{
    while (client->queue_first != NULL) {
        struct queued_message *queued = client->queue_first;

        client->queue_first = queued->next;
        SlMessage_Release(&queued->message);
        free(queued);
    }
    client->queue_end = &client->queue_first;
}

void
SlClient_Destroy(struct SlClient *client)
{
    if (client == NULL) {
        return;
    }
    SlLinks_Destroy(client->links);
    SlLoop_Destroy(client->loop);
    discard_queued_messages(client);
    SlBuffer_Release(&client->encoded);
    free(client);
}

static void
run_loop_once(struct SlClient *client)
{
    SlLoop_RunOnce(client->loop, POLL_TIMEOUT_US);
    SlLinks_Tick(client->links, SlClock_Monotonic());
}

enum SlStatus
SlClient_Connect(struct SlClient *client, const struct SlAddress *address,
                 uint64_t deadline_us)
{
    enum SlStatus status = SL_TIMEOUT;

    SlLinks_StopDialling(client->links, DIAL_ID);
    SlLinks_Flush(client->links);
    discard_queued_messages(client);
    client->link_id = 0;
    client->hello_received = false;
    client->end_reason = SL_OK;
    SlLinks_Dial(client->links, DIAL_ID, address);
    SlLinks_Tick(client->links, SlClock_Monotonic());
    while (SlClock_Monotonic() < deadline_us) {
        run_loop_once(client);
        if (client->hello_received) {
            return SL_OK;
        }
        if (client->end_reason != SL_OK) {
            status = client->end_reason;
            break;
        }
    }
    SlLinks_StopDialling(client->links, DIAL_ID);
    SlLinks_Flush(client->links);
    return status;
}

const char *
SlClient_PeerName(const struct SlClient *client)
{
    return client->peer;
}

enum SlStatus
SlClient_Send(struct SlClient *client, const struct SlMessage *message)
{
    enum SlStatus status;

    SlBuffer_Clear(&client->encoded);
    status = SlMessage_Encode(message, &client->encoded);
    if (status == SL_OK) {
        status =
            SlLinks_Send(client->links, client->link_id, client->encoded.bytes,
                         (uint32_t)client->encoded.length_bytes);
    }
    SlLinks_Flush(client->links);
    return status;
}

enum SlStatus
SlClient_Receive(struct SlClient *client, uint64_t deadline_us,
                 struct SlMessage *message)
{
    struct queued_message *queued;

    while (client->queue_first == NULL) {
        if (client->link_id == 0) {
            return SL_CLOSED;
        }
        if (SlClock_Monotonic() >= deadline_us) {
            return SL_TIMEOUT;
        }
        run_loop_once(client);
    }
    queued = client->queue_first;
    client->queue_first = queued->next;
    if (client->queue_first == NULL) {
        client->queue_end = &client->queue_first;
    }
    *message = queued->message;
    free(queued);
    return SL_OK;
}
