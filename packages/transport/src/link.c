#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "link_internal.h"
#include "tcp.h"

enum {
    DEFAULT_MAX_LINKS = 8192,
    DEFAULT_HANDSHAKE_TIMEOUT_US = 2 * 1000 * 1000,
    DEFAULT_SILENCE_TIMEOUT_US = 4 * 1000 * 1000,
    DEFAULT_MAX_QUEUED_BYTES = 8 * 1024 * 1024,
    DEFAULT_REDIAL_MIN_US = 100 * 1000,
    DEFAULT_REDIAL_MAX_US = 2 * 1000 * 1000,
    MAX_DIAL_TARGETS = 1024,
    ACCEPTS_PER_EVENT = 64,
    /// Accepted connections are refused while more than max_links divided by
    /// this are connecting or in their handshake.
    MAX_HANDSHAKES_DIVISOR = 4,
    /// An empty frame is sent after silence_timeout_us / KEEP_ALIVE_DIVISOR
    /// without other output.
    KEEP_ALIVE_DIVISOR = 4,
    /// Due time of a target to which no connection was attempted yet.
    NEW_TARGET_DUE_US = 1,
};

/// Sets an option that is 0 to its default value.
#define SET_DEFAULT(value, default_value)                                     \
    do {                                                                      \
        if ((value) == 0) {                                                   \
            (value) = (default_value);                                        \
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
    SET_DEFAULT(links->options.max_links, DEFAULT_MAX_LINKS);
    SET_DEFAULT(links->options.handshake_timeout_us,
                DEFAULT_HANDSHAKE_TIMEOUT_US);
    SET_DEFAULT(links->options.silence_timeout_us, DEFAULT_SILENCE_TIMEOUT_US);
    SET_DEFAULT(links->options.max_queued_bytes, DEFAULT_MAX_QUEUED_BYTES);
    SET_DEFAULT(links->options.redial_min_us, DEFAULT_REDIAL_MIN_US);
    SET_DEFAULT(links->options.redial_max_us, DEFAULT_REDIAL_MAX_US);
    links->slots = calloc(links->options.max_links, sizeof(struct link *));
    if (links->slots == NULL) {
        free(links);
        return NULL;
    }
    return links;
}

static void
ignore_down(struct SlLinksHandler *handler, uint64_t link,
            enum SlStatus reason)
{
    (void)handler;
    (void)link;
    (void)reason;
}

static void
ignore_refused(struct SlLinksHandler *handler, const struct SlAddress *remote,
               enum SlStatus reason)
{
    (void)handler;
    (void)remote;
    (void)reason;
}

/// Ignores the callbacks of links that end while their set is destroyed.
static const struct SlLinksHandlerType IGNORING_HANDLER_TYPE = {
    .on_link_down = ignore_down,
    .on_refused = ignore_refused,
};

void
SlLinks_Destroy(struct SlLinks *links)
{
    struct SlLinksHandler ignoring_handler = {.type = &IGNORING_HANDLER_TYPE};

    if (links == NULL) {
        return;
    }
    links->options.handler = &ignoring_handler;
    for (uint32_t i = 0; i < links->options.max_links; i++) {
        if (links->slots[i] != NULL) {
            link_end(links->slots[i]);
        }
    }
    while (links->targets != NULL) {
        struct dial_target *target = links->targets;

        links->targets = target->next;
        free(target);
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
accept_connection(struct SlLinks *links, int descriptor,
                  const struct SlAddress *remote)
{
    uint32_t max_handshakes =
        links->options.max_links / MAX_HANDSHAKES_DIVISOR + 1;

    if (links->handshake_count >= max_handshakes) {
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
on_listener_ready(struct SlWatch *watch, uint32_t events)
{
    struct listener *listener = (struct listener *)watch;

    (void)events;
    for (int i = 0; i < ACCEPTS_PER_EVENT; i++) {
        struct SlAddress remote;
        int descriptor = tcp_accept(watch->descriptor, &remote);

        if (descriptor < 0) {
            if (errno == EMFILE || errno == ENFILE) {
                SlLoop_SetEvents(listener->links->options.loop, watch, 0);
                listener->is_accept_paused = true;
            }
            return;
        }
        accept_connection(listener->links, descriptor, &remote);
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
                           "cannot listen for connections at %s: %s",
                           SlAddress_Format(address, text), strerror(errno));
    }
    listener->watch.descriptor = descriptor;
    listener->watch.on_ready = on_listener_ready;
    return SlLoop_Watch(links->options.loop, &listener->watch, SL_LOOP_READ);
}

static struct dial_target *
find_target(struct SlLinks *links, uint64_t id)
{
    struct dial_target *target = links->targets;

    while (target != NULL && target->id != id) {
        target = target->next;
    }
    return target;
}

enum SlStatus
SlLinks_Dial(struct SlLinks *links, uint64_t id,
             const struct SlAddress *address)
{
    struct dial_target *target = find_target(links, id);

    if (target != NULL) {
        if (!SlAddress_Equal(&target->address, address)) {
            target->address = *address;
            if (target->link != NULL) {
                link_schedule_flush(target->link, SL_CLOSED);
            }
        }
        return SL_OK;
    }
    if (links->target_count >= MAX_DIAL_TARGETS) {
        return SL_FULL;
    }
    target = calloc(1, sizeof(*target));
    if (target == NULL) {
        return SL_FULL;
    }
    target->id = id;
    target->address = *address;
    target->redial_delay_us = links->options.redial_min_us;
    target->due_us = NEW_TARGET_DUE_US;
    target->next = links->targets;
    links->targets = target;
    links->target_count++;
    links->has_new_target = true;
    return SL_OK;
}

void
SlLinks_StopDialling(struct SlLinks *links, uint64_t id)
{
    struct dial_target **position = &links->targets;
    struct dial_target *target;

    while (*position != NULL && (*position)->id != id) {
        position = &(*position)->next;
    }
    target = *position;
    if (target == NULL) {
        return;
    }
    *position = target->next;
    links->target_count--;
    if (target->link != NULL) {
        target->link->target = NULL;
        link_schedule_flush(target->link, SL_CLOSED);
    }
    free(target);
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
        links->options.max_queued_bytes) {
        link_schedule_flush(link, SL_FULL);
        return SL_FULL;
    }
    if (link->out.length_bytes == link->sent_bytes) {
        link->progress_us = links->now_us;
    }
    link->queued_us = links->now_us;
    status = SlChannel_Seal(link->channel, bytes, length_bytes, &link->out);
    link_schedule_flush(link, status == SL_TOO_LONG ? SL_OK : status);
    return status;
}

void
SlLinks_Close(struct SlLinks *links, uint64_t id, enum SlStatus reason)
{
    struct link *link = find_link(links, id);

    if (link != NULL) {
        link_schedule_flush(link, reason);
    }
}

/// Connects to a dialled address when an attempt is due. On the first tick
/// after a failed attempt or an ended link it schedules the next attempt
/// instead: at 0.5 to 1.5 times the delay, random so that the processes of a
/// site do not redial at the same time. It also doubles the delay, up to
/// redial_max_us.
static void
dial_or_schedule(struct SlLinks *links, struct dial_target *target,
                 uint64_t now_us)
{
    uint64_t redial_delay_us = target->redial_delay_us;
    int descriptor;

    if (target->due_us == 0) {
        target->due_us = now_us + redial_delay_us / 2 +
                         randombytes_uniform((uint32_t)redial_delay_us + 1);
        target->redial_delay_us =
            redial_delay_us * 2 < links->options.redial_max_us
                ? redial_delay_us * 2
                : links->options.redial_max_us;
        return;
    }
    if (target->due_us > now_us) {
        return;
    }
    target->due_us = 0;
    links->counters.dialled++;
    descriptor = tcp_connect(&target->address);
    if (descriptor < 0) {
        return;
    }
    target->link = link_open(links, descriptor, &target->address, target);
}

static void
dial_due_targets(struct SlLinks *links, uint64_t now_us)
{
    for (struct dial_target *target = links->targets; target != NULL;
         target = target->next) {
        if (target->link == NULL) {
            dial_or_schedule(links, target, now_us);
        }
    }
}

static void
write_links(struct SlLinks *links)
{
    while (links->links_to_flush != NULL) {
        struct link *link = links->links_to_flush;

        links->links_to_flush = link->next_to_flush;
        link->needs_flush = false;
        if (link->failure == SL_OK) {
            link_write(link);
        }
        if (link->failure != SL_OK && !link->needs_flush) {
            link_end(link);
        }
    }
}

void
SlLinks_EndFailed(struct SlLinks *links)
{
    struct link *waiting = NULL;

    while (links->links_to_flush != NULL) {
        struct link *link = links->links_to_flush;

        links->links_to_flush = link->next_to_flush;
        if (link->failure == SL_OK) {
            link->next_to_flush = waiting;
            waiting = link;
        }
        else {
            link->needs_flush = false;
            link_end(link);
        }
    }
    links->links_to_flush = waiting;
}

/// Connects to the targets that were added since the previous flush, without
/// waiting for the next tick.
static void
dial_new_targets(struct SlLinks *links)
{
    links->has_new_target = false;
    for (struct dial_target *target = links->targets; target != NULL;
         target = target->next) {
        if (target->due_us == NEW_TARGET_DUE_US) {
            dial_or_schedule(links, target, links->now_us);
        }
    }
}

void
SlLinks_Flush(struct SlLinks *links)
{
    write_links(links);
    if (links->has_new_target) {
        dial_new_targets(links);
        write_links(links);
    }
}

/// Returns SL_TIMEOUT when the link exceeded its time for the handshake, for
/// silence of the peer or for output without progress.
static enum SlStatus
check_deadlines(const struct SlLinks *links, const struct link *link,
                uint64_t now_us)
{
    const struct SlLinksOptions *options = &links->options;

    if (link->state != LINK_UP) {
        uint64_t progress_us = link->received_us > link->state_since_us
                                   ? link->received_us
                                   : link->state_since_us;

        return now_us > progress_us + options->handshake_timeout_us ||
                       now_us >
                           link->state_since_us + options->silence_timeout_us
                   ? SL_TIMEOUT
                   : SL_OK;
    }
    if (now_us > link->received_us + options->silence_timeout_us) {
        return SL_TIMEOUT;
    }
    if (link->out.length_bytes > link->sent_bytes &&
        now_us > link->progress_us + options->silence_timeout_us) {
        return SL_TIMEOUT;
    }
    return SL_OK;
}

/// Sends an empty frame on a link that has had no output for a while. The two
/// processes may use another link between them; without the frame the peer
/// would close this one as silent.
static void
send_keep_alive(struct SlLinks *links, struct link *link, uint64_t now_us)
{
    if (link->state == LINK_UP && link->failure == SL_OK &&
        now_us > link->queued_us +
                     links->options.silence_timeout_us / KEEP_ALIVE_DIVISOR) {
        SlLinks_Send(links, link->id, NULL, 0);
    }
}

void
SlLinks_Tick(struct SlLinks *links, uint64_t now_us)
{
    uint32_t remaining = links->link_count;

    if (now_us > links->now_us) {
        links->now_us = now_us;
    }

    for (uint32_t i = 0; remaining > 0 && i < links->options.max_links; i++) {
        struct link *link = links->slots[i];

        if (link == NULL) {
            continue;
        }
        remaining--;
        if (check_deadlines(links, link, now_us) != SL_OK) {
            link_schedule_flush(link, SL_TIMEOUT);
        }
        send_keep_alive(links, link, now_us);
    }
    if (links->listener.is_accept_paused) {
        links->listener.is_accept_paused = false;
        SlLoop_SetEvents(links->options.loop, &links->listener.watch,
                         SL_LOOP_READ);
    }
    SlLinks_Flush(links);
    dial_due_targets(links, now_us);
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
            link_schedule_flush(link, SL_FORBIDDEN);
        }
    }
}

void
SlLinks_Counters(const struct SlLinks *links, struct SlLinksCounters *counters)
{
    *counters = links->counters;
    counters->links = links->link_count;
}
