#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "link_internal.h"
#include "tcp.h"

enum {
    DEFAULT_MAX_LINKS = 8192,
    DEFAULT_HANDSHAKE_US = 2 * 1000 * 1000,
    DEFAULT_SILENCE_US = 4 * 1000 * 1000,
    DEFAULT_QUEUE_BYTES = 8 * 1024 * 1024,
    DEFAULT_REDIAL_MIN_US = 100 * 1000,
    DEFAULT_REDIAL_MAX_US = 2 * 1000 * 1000,
    MAX_DIALS = 1024,
    ACCEPTS_PER_EVENT = 64,
    /// Of all links, this part may be before the end of its handshake.
    GREETING_PART = 4,
    /// An empty frame is sent when nothing else was for this part of the
    /// longest silence.
    KEEP_ALIVE_PART = 4,
};

#define DEFAULT(value, otherwise)                                             \
    do {                                                                      \
        if ((value) == 0) {                                                   \
            (value) = (otherwise);                                            \
        }                                                                     \
    } while (0)

struct SlLinks *
SlLinks_Create(const struct SlLinksOptions *options)
{
    struct SlLinks *links;

    if (sodium_init() < 0) {
        return NULL;
    }
    links = calloc(1, sizeof(*links));
    if (links == NULL) {
        return NULL;
    }
    links->options = *options;
    links->now_us = SlClock_Monotonic();
    links->listener.watch.descriptor = -1;
    links->listener.links = links;
    DEFAULT(links->options.max_links, DEFAULT_MAX_LINKS);
    DEFAULT(links->options.handshake_us, DEFAULT_HANDSHAKE_US);
    DEFAULT(links->options.silence_us, DEFAULT_SILENCE_US);
    DEFAULT(links->options.queue_bytes, DEFAULT_QUEUE_BYTES);
    DEFAULT(links->options.redial_min_us, DEFAULT_REDIAL_MIN_US);
    DEFAULT(links->options.redial_max_us, DEFAULT_REDIAL_MAX_US);
    links->slots = calloc(links->options.max_links, sizeof(struct link *));
    if (links->slots == NULL) {
        free(links);
        return NULL;
    }
    return links;
}

static void
ignore_down(struct SlLinksHandler *owner, uint64_t link, enum SlStatus reason)
{
    (void)owner;
    (void)link;
    (void)reason;
}

static void
ignore_refused(struct SlLinksHandler *owner, const struct SlAddress *remote,
               enum SlStatus reason)
{
    (void)owner;
    (void)remote;
    (void)reason;
}

static const struct SlLinksHandlerType SILENT_TYPE = {
    .on_down = ignore_down,
    .on_refused = ignore_refused,
};

void
SlLinks_Destroy(struct SlLinks *links)
{
    struct SlLinksHandler silent = {.type = &SILENT_TYPE};

    if (links == NULL) {
        return;
    }
    links->options.handler = &silent;
    for (uint32_t i = 0; i < links->options.max_links; i++) {
        if (links->slots[i] != NULL) {
            link_end(links->slots[i]);
        }
    }
    while (links->dials != NULL) {
        struct dial *dial = links->dials;

        links->dials = dial->next;
        free(dial);
    }
    if (links->listener.watch.descriptor >= 0) {
        SlLoop_Unwatch(links->options.loop, &links->listener.watch);
        close(links->listener.watch.descriptor);
    }
    sodium_memzero(&links->options.keyring, sizeof(links->options.keyring));
    free(links->slots);
    free(links);
}

static void
accept_one(struct SlLinks *links, int descriptor,
           const struct SlAddress *remote)
{
    uint32_t max_greeting = links->options.max_links / GREETING_PART + 1;

    if (links->greeting >= max_greeting) {
        close(descriptor);
        links->counters.refused++;
        return;
    }
    if (link_open(links, descriptor, remote, NULL) == NULL) {
        links->counters.refused++;
        return;
    }
    links->counters.accepted++;
}

static void
ready_listener(struct SlWatch *watch, uint32_t events)
{
    struct listener *listener = (struct listener *)watch;

    (void)events;
    for (int i = 0; i < ACCEPTS_PER_EVENT; i++) {
        struct SlAddress remote;
        int descriptor = tcp_accept(watch->descriptor, &remote);

        if (descriptor < 0) {
            if (errno == EMFILE || errno == ENFILE) {
                SlLoop_SetEvents(listener->links->options.loop, watch, 0);
                listener->paused = true;
            }
            return;
        }
        accept_one(listener->links, descriptor, &remote);
    }
}

enum SlStatus
SlLinks_Listen(struct SlLinks *links, const struct SlAddress *address,
               struct SlAddress *bound, struct SlError *error)
{
    char text[SL_ADDRESS_TEXT_BYTES];
    struct listener *listener = &links->listener;
    int descriptor = tcp_listen(address, bound);

    if (descriptor < 0) {
        return SlError_Set(error, SL_IO, SL_STEP_OPEN, NULL,
                           "cannot listen for links at %s: %s",
                           SlAddress_Format(address, text), strerror(errno));
    }
    listener->watch.descriptor = descriptor;
    listener->watch.on_ready = ready_listener;
    return SlLoop_Watch(links->options.loop, &listener->watch, SL_LOOP_READ);
}

static struct dial *
find_dial(struct SlLinks *links, uint64_t id)
{
    struct dial *dial = links->dials;

    while (dial != NULL && dial->id != id) {
        dial = dial->next;
    }
    return dial;
}

enum SlStatus
SlLinks_Dial(struct SlLinks *links, uint64_t id,
             const struct SlAddress *address)
{
    struct dial *dial = find_dial(links, id);

    if (dial != NULL) {
        if (!SlAddress_Equal(&dial->address, address)) {
            dial->address = *address;
            if (dial->link != NULL) {
                link_mark(dial->link, SL_CLOSED);
            }
        }
        return SL_OK;
    }
    if (links->dial_count >= MAX_DIALS) {
        return SL_FULL;
    }
    dial = calloc(1, sizeof(*dial));
    if (dial == NULL) {
        return SL_FULL;
    }
    dial->id = id;
    dial->address = *address;
    dial->pause_us = links->options.redial_min_us;
    dial->due_us = 1;
    dial->next = links->dials;
    links->dials = dial;
    links->dial_count++;
    return SL_OK;
}

void
SlLinks_StopDialling(struct SlLinks *links, uint64_t id)
{
    struct dial **place = &links->dials;
    struct dial *dial;

    while (*place != NULL && (*place)->id != id) {
        place = &(*place)->next;
    }
    dial = *place;
    if (dial == NULL) {
        return;
    }
    *place = dial->next;
    links->dial_count--;
    if (dial->link != NULL) {
        dial->link->dial = NULL;
        link_mark(dial->link, SL_CLOSED);
    }
    free(dial);
}

static struct link *
find_link(const struct SlLinks *links, uint64_t id)
{
    struct link *link = links->slots[id % links->options.max_links];

    return link != NULL && link->id == id ? link : NULL;
}

enum SlStatus
SlLinks_Send(struct SlLinks *links, uint64_t id, const uint8_t *bytes,
             uint32_t length_bytes)
{
    struct link *link = find_link(links, id);
    enum SlStatus status;

    if (link == NULL || link->state != LINK_UP || link->failure != SL_OK) {
        return SL_NOT_FOUND;
    }
    if (link->out.length_bytes - link->sent_bytes + length_bytes >
        links->options.queue_bytes) {
        link_mark(link, SL_FULL);
        return SL_FULL;
    }
    if (link->out.length_bytes == link->sent_bytes) {
        link->progress_us = links->now_us;
    }
    link->queued_us = links->now_us;
    status = SlChannel_Seal(link->channel, bytes, length_bytes, &link->out);
    link_mark(link, status == SL_TOO_LONG ? SL_OK : status);
    return status;
}

void
SlLinks_Close(struct SlLinks *links, uint64_t id, enum SlStatus reason)
{
    struct link *link = find_link(links, id);

    if (link != NULL) {
        link_mark(link, reason);
    }
}

static void
try_dial(struct SlLinks *links, struct dial *dial, uint64_t now_us)
{
    uint64_t pause_us = dial->pause_us;
    int descriptor;

    if (dial->due_us == 0) {
        dial->due_us = now_us + pause_us / 2 +
                       randombytes_uniform((uint32_t)pause_us + 1);
        dial->pause_us = pause_us * 2 < links->options.redial_max_us
                             ? pause_us * 2
                             : links->options.redial_max_us;
        return;
    }
    if (dial->due_us > now_us) {
        return;
    }
    dial->due_us = 0;
    links->counters.dialled++;
    descriptor = tcp_connect(&dial->address);
    if (descriptor < 0) {
        return;
    }
    dial->link = link_open(links, descriptor, &dial->address, dial);
}

static void
try_dials(struct SlLinks *links, uint64_t now_us)
{
    for (struct dial *dial = links->dials; dial != NULL; dial = dial->next) {
        if (dial->link == NULL) {
            try_dial(links, dial, now_us);
        }
    }
}

void
SlLinks_Flush(struct SlLinks *links)
{
    while (links->dirty != NULL) {
        struct link *link = links->dirty;

        links->dirty = link->next_dirty;
        link->is_dirty = false;
        if (link->failure == SL_OK) {
            link_write(link);
        }
        if (link->failure != SL_OK && !link->is_dirty) {
            link_end(link);
        }
    }
}

static enum SlStatus
judge_deadlines(const struct SlLinks *links, const struct link *link,
                uint64_t now_us)
{
    const struct SlLinksOptions *options = &links->options;

    if (link->state != LINK_UP) {
        return now_us > link->opened_us + options->handshake_us ? SL_TIMEOUT
                                                                : SL_OK;
    }
    if (now_us > link->received_us + options->silence_us) {
        return SL_TIMEOUT;
    }
    if (link->out.length_bytes > link->sent_bytes &&
        now_us > link->progress_us + options->silence_us) {
        return SL_TIMEOUT;
    }
    return SL_OK;
}

/// The process at the other end may use another link between the two; this
/// one must not look silent for that.
static void
keep_alive(struct SlLinks *links, struct link *link, uint64_t now_us)
{
    if (link->state == LINK_UP && link->failure == SL_OK &&
        now_us >
            link->queued_us + links->options.silence_us / KEEP_ALIVE_PART) {
        SlLinks_Send(links, link->id, NULL, 0);
    }
}

void
SlLinks_Tick(struct SlLinks *links, uint64_t now_us)
{
    uint32_t left = links->used;

    if (now_us > links->now_us) {
        links->now_us = now_us;
    }

    for (uint32_t i = 0; left > 0 && i < links->options.max_links; i++) {
        struct link *link = links->slots[i];

        if (link == NULL) {
            continue;
        }
        left--;
        if (judge_deadlines(links, link, now_us) != SL_OK) {
            link_mark(link, SL_TIMEOUT);
        }
        keep_alive(links, link, now_us);
    }
    if (links->listener.paused) {
        links->listener.paused = false;
        SlLoop_SetEvents(links->options.loop, &links->listener.watch,
                         SL_LOOP_READ);
    }
    SlLinks_Flush(links);
    try_dials(links, now_us);
    SlLinks_Flush(links);
}

void
SlLinks_SetKeyring(struct SlLinks *links, const struct SlKeyring *keyring)
{
    links->options.keyring = *keyring;
    for (uint32_t i = 0; i < links->options.max_links; i++) {
        struct link *link = links->slots[i];

        if (link != NULL && link->state == LINK_UP &&
            SlKeyring_Find(keyring, SlChannel_KeyId(link->channel)) == NULL) {
            link_mark(link, SL_FORBIDDEN);
        }
    }
}

void
SlLinks_Counters(const struct SlLinks *links, struct SlLinksCounters *counters)
{
    *counters = links->counters;
    counters->links = links->used;
}
