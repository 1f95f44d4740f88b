#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "link_internal.h"
#include "tcp.h"

enum {
    READ_BYTES = 64 * 1024,
    READS_PER_EVENT = 4,
};

void
link_mark(struct link *link, enum SlStatus failure)
{
    if (link->failure == SL_OK) {
        link->failure = failure;
    }
    if (!link->is_dirty) {
        link->is_dirty = true;
        link->next_dirty = link->links->dirty;
        link->links->dirty = link;
    }
}

static void
tell_up(struct link *link)
{
    struct SlLinks *links = link->links;
    struct SlLinksHandler *owner = links->options.handler;

    link->state = LINK_UP;
    links->greeting--;
    if (link->dial != NULL) {
        link->dial->pause_us = links->options.redial_min_us;
    }
    owner->type->on_up(owner, link->id, link->dial ? link->dial->id : 0,
                       &link->remote);
}

static void
take_frame(struct link *link, const uint8_t *body, uint32_t body_bytes)
{
    struct SlLinksHandler *owner = link->links->options.handler;
    const uint8_t *plain;
    uint32_t plain_bytes;
    enum SlStatus status;

    status = SlChannel_Receive(link->channel, body, body_bytes, &link->out,
                               &plain, &plain_bytes);
    if (link->out.length_bytes > link->sent_bytes) {
        link_mark(link, SL_OK);
    }
    if (status != SL_OK) {
        link_mark(link, status);
    }
    else if (plain != NULL && plain_bytes == 0) {
        return;
    }
    else if (plain != NULL) {
        owner->type->on_message(owner, link->id, plain, plain_bytes);
    }
    else if (SlChannel_IsOpen(link->channel)) {
        tell_up(link);
    }
}

static void
take_frames(struct link *link)
{
    uint8_t *body;
    uint32_t body_bytes;
    enum SlStatus status = SL_OK;

    while (link->failure == SL_OK) {
        status = SlFrameReader_Next(&link->reader,
                                    SlChannel_MaxBodyBytes(link->channel),
                                    &body, &body_bytes);
        if (status != SL_OK) {
            break;
        }
        take_frame(link, body, body_bytes);
    }
    if (status != SL_OK && status != SL_AGAIN) {
        link_mark(link, status);
    }
}

/// True when more may wait.
static bool
read_once(struct link *link)
{
    static _Thread_local uint8_t bytes[READ_BYTES];
    ssize_t length = recv(link->watch.descriptor, bytes, sizeof(bytes), 0);

    if (length < 0 && (errno == EAGAIN || errno == EINTR)) {
        return false;
    }
    if (length <= 0) {
        link_mark(link, length == 0 ? SL_CLOSED : SL_IO);
        return false;
    }
    link->received_us = link->links->now_us;
    link->links->counters.received_bytes += (uint64_t)length;
    if (SlFrameReader_Feed(&link->reader, bytes, (size_t)length) != SL_OK) {
        link_mark(link, SL_NO_MEMORY);
        return false;
    }
    take_frames(link);
    return length == READ_BYTES && link->failure == SL_OK;
}

static void
finish_connect(struct link *link)
{
    if (tcp_connected(link->watch.descriptor) != SL_OK) {
        link_mark(link, SL_IO);
        return;
    }
    link->state = LINK_GREETING;
    link->wants_write = false;
    SlLoop_SetEvents(link->links->options.loop, &link->watch, SL_LOOP_READ);
    link_mark(link, SL_OK);
}

static void
ready_link(struct SlWatch *watch, uint32_t events)
{
    struct link *link = (struct link *)watch;

    if (link->failure != SL_OK) {
        return;
    }
    if (link->state == LINK_CONNECTING) {
        finish_connect(link);
        return;
    }
    if (events & SL_LOOP_WRITE) {
        link_mark(link, SL_OK);
    }
    if (events & SL_LOOP_READ) {
        for (int i = 0; i < READS_PER_EVENT && read_once(link); i++) {
        }
    }
}

static uint32_t
free_slot(struct SlLinks *links)
{
    uint32_t slot = links->first_free_hint;

    while (links->slots[slot] != NULL) {
        slot = (slot + 1) % links->options.max_links;
    }
    links->first_free_hint = (slot + 1) % links->options.max_links;
    return slot;
}

static struct link *
make_link(struct SlLinks *links, int descriptor,
          const struct SlAddress *remote, struct dial *dial)
{
    struct link *link = calloc(1, sizeof(*link));

    if (link == NULL) {
        return NULL;
    }
    link->watch.on_ready = ready_link;
    link->watch.descriptor = descriptor;
    link->links = links;
    link->dial = dial;
    link->remote = *remote;
    link->state = dial != NULL ? LINK_CONNECTING : LINK_GREETING;
    link->opened_us = links->now_us;
    link->received_us = link->opened_us;
    link->progress_us = link->opened_us;
    link->queued_us = link->opened_us;
    link->channel =
        SlChannel_Create(&links->options.keyring, dial != NULL, &link->out);
    if (link->channel == NULL) {
        free(link);
        return NULL;
    }
    return link;
}

static void
free_link(struct link *link)
{
    close(link->watch.descriptor);
    SlChannel_Destroy(link->channel);
    SlFrameReader_Release(&link->reader);
    SlBuffer_Release(&link->out);
    free(link);
}

struct link *
link_open(struct SlLinks *links, int descriptor,
          const struct SlAddress *remote, struct dial *dial)
{
    struct link *link = NULL;
    uint32_t slot;

    if (links->used < links->options.max_links) {
        link = make_link(links, descriptor, remote, dial);
    }
    if (link == NULL) {
        close(descriptor);
        return NULL;
    }
    link->wants_write = link->state == LINK_CONNECTING;
    if (SlLoop_Watch(links->options.loop, &link->watch,
                     link->wants_write ? SL_LOOP_WRITE : SL_LOOP_READ) !=
        SL_OK) {
        free_link(link);
        return NULL;
    }
    slot = free_slot(links);
    link->id = ++links->serial * links->options.max_links + slot;
    links->slots[slot] = link;
    links->used++;
    links->greeting++;
    return link;
}

/// Sets when a dialled link is tried again.
static void
plan_redial(struct link *link)
{
    struct dial *dial = link->dial;

    if (dial != NULL) {
        dial->link = NULL;
        dial->due_us = 0;
    }
}

static void
count_end(struct SlLinks *links, const struct link *link)
{
    if (link->failure == SL_TIMEOUT) {
        links->counters.silent++;
    }
    if (link->failure == SL_FULL) {
        links->counters.overflowed++;
    }
    if (link->state == LINK_UP) {
        return;
    }
    links->counters.refused++;
    if (link->failure == SL_FORBIDDEN) {
        links->counters.refused_forbidden++;
    }
    if (link->failure == SL_MALFORMED || link->failure == SL_TOO_LONG) {
        links->counters.refused_malformed++;
    }
}

void
link_end(struct link *link)
{
    struct SlLinks *links = link->links;
    struct SlLinksHandler *owner = links->options.handler;
    uint64_t id = link->id;
    struct SlAddress remote = link->remote;
    enum SlStatus failure = link->failure;
    bool was_up = link->state == LINK_UP;

    count_end(links, link);
    plan_redial(link);
    SlLoop_Unwatch(links->options.loop, &link->watch);
    links->slots[id % links->options.max_links] = NULL;
    links->used--;
    links->greeting -= was_up ? 0 : 1;
    free_link(link);
    if (was_up) {
        owner->type->on_down(owner, id, failure);
    }
    else {
        owner->type->on_refused(owner, &remote, failure);
    }
}

static void
forget_sent(struct link *link)
{
    if (link->sent_bytes == link->out.length_bytes) {
        SlBuffer_Clear(&link->out);
        link->sent_bytes = 0;
    }
}

static void
want_write(struct link *link, bool wanted)
{
    if (link->wants_write != wanted) {
        link->wants_write = wanted;
        SlLoop_SetEvents(link->links->options.loop, &link->watch,
                         wanted ? SL_LOOP_READ | SL_LOOP_WRITE : SL_LOOP_READ);
    }
}

void
link_write(struct link *link)
{
    if (link->state == LINK_CONNECTING) {
        return;
    }
    while (link->sent_bytes < link->out.length_bytes) {
        ssize_t length =
            send(link->watch.descriptor, link->out.bytes + link->sent_bytes,
                 link->out.length_bytes - link->sent_bytes, MSG_NOSIGNAL);

        if (length < 0 && errno != EAGAIN && errno != EINTR) {
            link_mark(link, SL_IO);
            return;
        }
        if (length <= 0) {
            break;
        }
        link->sent_bytes += (size_t)length;
        link->progress_us = link->links->now_us;
        link->links->counters.sent_bytes += (uint64_t)length;
    }
    forget_sent(link);
    want_write(link, link->sent_bytes < link->out.length_bytes);
}
