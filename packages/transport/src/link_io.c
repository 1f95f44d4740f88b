#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "link_internal.h"
#include "tcp.h"

enum {
    READ_BUFFER_BYTES = 64 * 1024,
    READS_PER_EVENT = 4,
};

void
link_schedule_flush(struct link *link, enum SlStatus failure)
{
    if (link->failure == SL_OK) {
        link->failure = failure;
    }
    if (!link->needs_flush) {
        link->needs_flush = true;
        link->next_to_flush = link->links->links_to_flush;
        link->links->links_to_flush = link;
    }
}

static void
notify_up(struct link *link)
{
    struct SlLinks *links = link->links;
    struct SlLinksHandler *handler = links->options.handler;

    link->state = LINK_UP;
    links->handshake_count--;
    if (link->target != NULL) {
        link->target->redial_delay_us = links->options.redial_min_us;
    }
    handler->type->on_link_up(
        handler, link->id, link->target ? link->target->id : 0, &link->remote);
}

static void
handle_frame(struct link *link, const uint8_t *body, uint32_t body_bytes)
{
    struct SlLinksHandler *handler = link->links->options.handler;
    const uint8_t *plain;
    uint32_t plain_bytes;
    enum SlStatus status;

    status = SlChannel_Receive(link->channel, body, body_bytes, &link->out,
                               &plain, &plain_bytes);
    if (link->out.length_bytes > link->sent_bytes) {
        link_schedule_flush(link, SL_OK);
    }
    if (status != SL_OK) {
        link_schedule_flush(link, status);
    }
    else if (plain != NULL && plain_bytes == 0) {
        return;
    }
    else if (plain != NULL) {
        handler->type->on_message(handler, link->id, plain, plain_bytes);
    }
    else if (SlChannel_IsOpen(link->channel)) {
        notify_up(link);
    }
}

static void
handle_frames(struct link *link)
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
        handle_frame(link, body, body_bytes);
    }
    if (status != SL_OK && status != SL_AGAIN) {
        link_schedule_flush(link, status);
    }
}

/// Reads and handles the data waiting at the socket, up to READ_BUFFER_BYTES.
/// Returns true when more data may be waiting.
static bool
read_available(struct link *link)
{
    static _Thread_local uint8_t bytes[READ_BUFFER_BYTES];
    ssize_t length = recv(link->watch.descriptor, bytes, sizeof(bytes), 0);

    if (length < 0 && (errno == EAGAIN || errno == EINTR)) {
        return false;
    }
    if (length <= 0) {
        link_schedule_flush(link, length == 0 ? SL_CLOSED : SL_IO);
        return false;
    }
    link->received_us = link->links->now_us;
    link->links->counters.received_bytes += (uint64_t)length;
    if (SlFrameReader_Feed(&link->reader, bytes, (size_t)length) != SL_OK) {
        link_schedule_flush(link, SL_NO_MEMORY);
        return false;
    }
    handle_frames(link);
    return length == READ_BUFFER_BYTES && link->failure == SL_OK;
}

static void
finish_connect(struct link *link)
{
    if (tcp_get_connect_result(link->watch.descriptor) != SL_OK) {
        link_schedule_flush(link, SL_IO);
        return;
    }
    link->state = LINK_HANDSHAKE;
    link->state_since_us = link->links->now_us;
    link->watches_write = false;
    SlLoop_SetEvents(link->links->options.loop, &link->watch, SL_LOOP_READ);
    link_schedule_flush(link, SL_OK);
}

static void
on_link_ready(struct SlWatch *watch, uint32_t events)
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
        link_schedule_flush(link, SL_OK);
    }
    if (events & SL_LOOP_READ) {
        for (int i = 0; i < READS_PER_EVENT && read_available(link); i++) {
        }
    }
}

static uint32_t
find_free_slot(struct SlLinks *links)
{
    uint32_t slot = links->next_slot;

    while (links->slots[slot] != NULL) {
        slot = (slot + 1) % links->options.max_links;
    }
    links->next_slot = (slot + 1) % links->options.max_links;
    return slot;
}

static struct link *
create_link(struct SlLinks *links, int descriptor,
            const struct SlAddress *remote, struct dial_target *target)
{
    struct link *link = calloc(1, sizeof(*link));

    if (link == NULL) {
        return NULL;
    }
    link->watch.on_ready = on_link_ready;
    link->watch.descriptor = descriptor;
    link->links = links;
    link->target = target;
    link->remote = *remote;
    link->state = target != NULL ? LINK_CONNECTING : LINK_HANDSHAKE;
    link->state_since_us = links->now_us;
    link->received_us = links->now_us;
    link->progress_us = links->now_us;
    link->queued_us = links->now_us;
    link->channel =
        SlChannel_Create(&links->options.keyring, target != NULL, &link->out);
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
          const struct SlAddress *remote, struct dial_target *target)
{
    struct link *link = NULL;
    uint32_t slot;

    if (links->link_count < links->options.max_links) {
        link = create_link(links, descriptor, remote, target);
    }
    if (link == NULL) {
        close(descriptor);
        return NULL;
    }
    link->watches_write = link->state == LINK_CONNECTING;
    if (SlLoop_Watch(links->options.loop, &link->watch,
                     link->watches_write ? SL_LOOP_WRITE : SL_LOOP_READ) !=
        SL_OK) {
        free_link(link);
        return NULL;
    }
    slot = find_free_slot(links);
    link->id = ++links->opened_count * links->options.max_links + slot;
    links->slots[slot] = link;
    links->link_count++;
    links->handshake_count++;
    return link;
}

/// Detaches an ended link from the address that it was dialled for. The next
/// SlLinks_Tick schedules another attempt to connect to that address.
static void
request_redial(struct link *link)
{
    struct dial_target *target = link->target;

    if (target != NULL) {
        target->link = NULL;
        target->due_us = 0;
    }
}

static void
count_ended_link(struct SlLinks *links, const struct link *link)
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
    struct SlLinksHandler *handler = links->options.handler;
    uint64_t id = link->id;
    struct SlAddress remote = link->remote;
    enum SlStatus failure = link->failure;
    bool was_up = link->state == LINK_UP;

    count_ended_link(links, link);
    request_redial(link);
    SlLoop_Unwatch(links->options.loop, &link->watch);
    links->slots[id % links->options.max_links] = NULL;
    links->link_count--;
    links->handshake_count -= was_up ? 0 : 1;
    free_link(link);
    if (was_up) {
        handler->type->on_link_down(handler, id, failure);
    }
    else {
        handler->type->on_refused(handler, &remote, failure);
    }
}

static void
clear_sent_output(struct link *link)
{
    if (link->sent_bytes == link->out.length_bytes) {
        SlBuffer_Clear(&link->out);
        link->sent_bytes = 0;
    }
}

static void
watch_for_write(struct link *link, bool enable)
{
    if (link->watches_write != enable) {
        link->watches_write = enable;
        SlLoop_SetEvents(link->links->options.loop, &link->watch,
                         enable ? SL_LOOP_READ | SL_LOOP_WRITE : SL_LOOP_READ);
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
            link_schedule_flush(link, SL_IO);
            return;
        }
        if (length <= 0) {
            break;
        }
        link->sent_bytes += (size_t)length;
        link->progress_us = link->links->now_us;
        link->links->counters.sent_bytes += (uint64_t)length;
    }
    clear_sent_output(link);
    watch_for_write(link, link->sent_bytes < link->out.length_bytes);
}
