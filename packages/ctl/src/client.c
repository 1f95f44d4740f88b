#include "client.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "savoryledge/transport/link.h"

enum {
    DIAL_ID = 1,
    TURN_US = 50 * 1000,
};

struct waiting {
    struct SlMessage message;
    struct waiting *next;
};

struct SlClient {
    struct SlLinksHandler owner;
    struct SlLoop *loop;
    struct SlLinks *links;
    struct SlBuffer encoded;
    char name[SL_NAME_BYTES];
    char peer[SL_NAME_BYTES];
    /// 0 while no link is up.
    uint64_t link;
    bool greeted;
    /// Why the last link ended.
    enum SlStatus ended;
    struct waiting *first;
    struct waiting **last;
};

static void
client_up(struct SlLinksHandler *owner, uint64_t link, uint64_t dialled,
          const struct SlAddress *remote)
{
    struct SlClient *client = (struct SlClient *)owner;
    struct SlMessage hello = {.kind = SL_MESSAGE_HELLO};

    (void)dialled;
    (void)remote;
    client->link = link;
    memcpy(hello.hello.name, client->name, SL_NAME_BYTES);
    SlClient_Send(client, &hello);
}

static void
keep_message(struct SlClient *client, struct SlMessage *message)
{
    struct waiting *waiting = calloc(1, sizeof(*waiting));

    if (waiting == NULL) {
        SlMessage_Release(message);
        return;
    }
    waiting->message = *message;
    *client->last = waiting;
    client->last = &waiting->next;
}

static void
client_message(struct SlLinksHandler *owner, uint64_t link,
               const uint8_t *bytes, uint32_t length_bytes)
{
    struct SlClient *client = (struct SlClient *)owner;
    struct SlMessage message = {.kind = SL_MESSAGE_NONE};

    (void)link;
    if (SlMessage_Decode(bytes, length_bytes, &message) != SL_OK) {
        SlMessage_Release(&message);
        return;
    }
    switch (message.kind) {
    case SL_MESSAGE_HELLO:
        client->greeted = true;
        memcpy(client->peer, message.hello.name, SL_NAME_BYTES);
        SlMessage_Release(&message);
        break;
    case SL_MESSAGE_RESULT:
    case SL_MESSAGE_OBJECT:
    case SL_MESSAGE_TEXT:
        keep_message(client, &message);
        break;
    default:
        SlMessage_Release(&message);
        break;
    }
}

static void
client_down(struct SlLinksHandler *owner, uint64_t link, enum SlStatus reason)
{
    struct SlClient *client = (struct SlClient *)owner;

    if (client->link == link) {
        client->link = 0;
        client->ended = reason;
    }
}

static void
client_refused(struct SlLinksHandler *owner, const struct SlAddress *remote,
               enum SlStatus reason)
{
    (void)remote;
    ((struct SlClient *)owner)->ended = reason;
}

static const struct SlLinksHandlerType CLIENT_LINKS = {
    .on_up = client_up,
    .on_message = client_message,
    .on_down = client_down,
    .on_refused = client_refused,
};

struct SlClient *
SlClient_Create(const struct SlKeyring *keyring)
{
    struct SlClient *client = calloc(1, sizeof(*client));
    struct SlLinksOptions options = {.keyring = *keyring, .max_links = 16};

    if (client == NULL) {
        return NULL;
    }
    client->owner.type = &CLIENT_LINKS;
    client->last = &client->first;
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
forget_waiting(struct SlClient *client)
{
    while (client->first != NULL) {
        struct waiting *waiting = client->first;

        client->first = waiting->next;
        SlMessage_Release(&waiting->message);
        free(waiting);
    }
    client->last = &client->first;
}

void
SlClient_Destroy(struct SlClient *client)
{
    if (client == NULL) {
        return;
    }
    SlLinks_Destroy(client->links);
    SlLoop_Destroy(client->loop);
    forget_waiting(client);
    SlBuffer_Release(&client->encoded);
    free(client);
}

static void
turn(struct SlClient *client)
{
    SlLoop_RunOnce(client->loop, TURN_US);
    SlLinks_Tick(client->links, SlClock_Monotonic());
}

enum SlStatus
SlClient_Connect(struct SlClient *client, const struct SlAddress *address,
                 uint64_t deadline_us)
{
    enum SlStatus status = SL_TIMEOUT;

    SlLinks_StopDialling(client->links, DIAL_ID);
    SlLinks_Flush(client->links);
    forget_waiting(client);
    client->link = 0;
    client->greeted = false;
    client->ended = SL_OK;
    SlLinks_Dial(client->links, DIAL_ID, address);
    SlLinks_Tick(client->links, SlClock_Monotonic());
    while (SlClock_Monotonic() < deadline_us) {
        turn(client);
        if (client->greeted) {
            return SL_OK;
        }
        if (client->ended != SL_OK) {
            status = client->ended;
            break;
        }
    }
    SlLinks_StopDialling(client->links, DIAL_ID);
    SlLinks_Flush(client->links);
    return status;
}

const char *
SlClient_Peer(const struct SlClient *client)
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
            SlLinks_Send(client->links, client->link, client->encoded.bytes,
                         (uint32_t)client->encoded.length_bytes);
    }
    SlLinks_Flush(client->links);
    return status;
}

enum SlStatus
SlClient_Receive(struct SlClient *client, uint64_t deadline_us,
                 struct SlMessage *message)
{
    struct waiting *waiting;

    while (client->first == NULL) {
        if (client->link == 0) {
            return SL_CLOSED;
        }
        if (SlClock_Monotonic() >= deadline_us) {
            return SL_TIMEOUT;
        }
        turn(client);
    }
    waiting = client->first;
    client->first = waiting->next;
    if (client->first == NULL) {
        client->last = &client->first;
    }
    *message = waiting->message;
    free(waiting);
    return SL_OK;
}
