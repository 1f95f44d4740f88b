/// The proxy in front of every process: links and datagrams between processes
/// pass here, and may be cut either way, lost, delayed or reset.
///
/// A datagram for process D that came from process S leaves through S's own
/// socket, so D sees the address at which it reaches S. Connections are known
/// by their destination alone.

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"

enum {
    BUFFER_BYTES = 64 * 1024,
    LOSS_PERCENT = 10,
    LATE_US = 30 * 1000,
    HELD_MAX = 2000,
};

struct gate {
    struct SlWatch datagrams;
    struct SlWatch listener;
    uint32_t number;
    enum soak_fault fault;
};

/// One direction of a connection.
struct stream {
    struct SlWatch watch;
    struct pair *pair;
    uint8_t bytes[BUFFER_BYTES];
    size_t length_bytes;
    /// Full: nothing is read for now.
    bool full;
};

struct pair {
    struct pair *next;
    uint32_t number;
    bool over;
    /// The dialling side, and the process that was dialled.
    struct stream outer;
    struct stream inner;
};

struct held {
    uint64_t due_us;
    uint32_t from;
    uint32_t to;
    uint32_t length_bytes;
    uint8_t bytes[SOAK_PACKET_BYTES + 200];
};

static struct soak *site;
static struct gate gates[SOAK_NODES + 1];
static struct pair *pairs;
static struct held *held_list;
static uint32_t held_count;

static bool
passes(uint32_t from, uint32_t to)
{
    enum soak_fault out = gates[from].fault;
    enum soak_fault in = gates[to].fault;

    return out != PROXY_CUT && out != PROXY_CUT_OUT && in != PROXY_CUT &&
           in != PROXY_CUT_IN;
}

static void
send_on(uint32_t from, uint32_t to, const uint8_t *bytes, uint32_t length)
{
    struct SlAddress address = soak_address(site, 0, to, SOAK_LINK_PORT);
    struct sockaddr_storage name;
    socklen_t name_bytes = SlAddress_ToSockaddr(&address, &name);

    (void)sendto(gates[from].datagrams.descriptor, bytes, length, MSG_DONTWAIT,
                 (struct sockaddr *)&name, name_bytes);
}

static void
take_datagram(uint32_t from, uint32_t to, const uint8_t *bytes,
              uint32_t length)
{
    struct held *held = &held_list[held_count];
    bool lossy =
        gates[from].fault == PROXY_LOSSY || gates[to].fault == PROXY_LOSSY;

    if (!passes(from, to) ||
        (lossy && soak_random(site, 100) < LOSS_PERCENT)) {
        return;
    }
    if (!lossy || held_count == HELD_MAX || length > sizeof(held->bytes)) {
        send_on(from, to, bytes, length);
        return;
    }
    held->due_us = SlClock_Monotonic() + soak_random(site, LATE_US);
    held->from = from;
    held->to = to;
    held->length_bytes = length;
    memcpy(held->bytes, bytes, length);
    held_count++;
}

static void
ready_datagrams(struct SlWatch *watch, uint32_t events)
{
    struct gate *gate = (struct gate *)watch;
    uint8_t bytes[2048];
    struct sockaddr_in from;
    socklen_t from_bytes = sizeof(from);
    ssize_t length;

    (void)events;
    while ((length =
                recvfrom(watch->descriptor, bytes, sizeof(bytes), MSG_DONTWAIT,
                         (struct sockaddr *)&from, &from_bytes)) >= 0) {
        uint32_t number = ntohl(from.sin_addr.s_addr) & 0xff;

        if (number >= 1 && number <= site->node_count) {
            take_datagram(number, gate->number, bytes, (uint32_t)length);
        }
        from_bytes = sizeof(from);
    }
}

static void
end_pair(struct pair *pair, bool reset)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};
    struct stream *streams[] = {&pair->outer, &pair->inner};

    if (pair->over) {
        return;
    }
    pair->over = true;
    for (uint32_t i = 0; i < 2; i++) {
        if (reset) {
            setsockopt(streams[i]->watch.descriptor, SOL_SOCKET, SO_LINGER,
                       &linger, sizeof(linger));
        }
        SlLoop_Unwatch(site->loop, &streams[i]->watch);
        close(streams[i]->watch.descriptor);
    }
}

/// Bytes read from one side wait until they may go to the other.
static void
move_bytes(struct pair *pair, struct stream *from, struct stream *to)
{
    ssize_t sent;

    if (pair->over || from->length_bytes == 0 ||
        gates[pair->number].fault == PROXY_CUT ||
        gates[pair->number].fault ==
            (from == &pair->outer ? PROXY_CUT_IN : PROXY_CUT_OUT)) {
        return;
    }
    sent = send(to->watch.descriptor, from->bytes, from->length_bytes,
                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN && errno != ENOTCONN) {
        end_pair(pair, false);
        return;
    }
    if (sent > 0) {
        from->length_bytes -= (size_t)sent;
        memmove(from->bytes, from->bytes + sent, from->length_bytes);
        if (from->full) {
            from->full = false;
            (void)SlLoop_SetEvents(site->loop, &from->watch, SL_LOOP_READ);
        }
    }
}

static void
ready_stream(struct SlWatch *watch, uint32_t events)
{
    struct stream *stream = (struct stream *)watch;
    struct pair *pair = stream->pair;
    struct stream *other =
        stream == &pair->outer ? &pair->inner : &pair->outer;
    ssize_t length;

    (void)events;
    if (pair->over) {
        return;
    }
    if (stream->length_bytes == BUFFER_BYTES) {
        stream->full = true;
        (void)SlLoop_SetEvents(site->loop, watch, 0);
        return;
    }
    length = recv(watch->descriptor, stream->bytes + stream->length_bytes,
                  BUFFER_BYTES - stream->length_bytes, MSG_DONTWAIT);
    if (length == 0 || (length < 0 && errno != EAGAIN && errno != ENOTCONN)) {
        end_pair(pair, false);
        return;
    }
    stream->length_bytes += length > 0 ? (size_t)length : 0;
    move_bytes(pair, stream, other);
}

static void
add_pair(uint32_t number, int outer)
{
    struct pair *pair = calloc(1, sizeof(*pair));
    struct SlAddress address = soak_address(site, 0, number, SOAK_LINK_PORT);
    struct sockaddr_storage name;
    socklen_t name_bytes = SlAddress_ToSockaddr(&address, &name);
    int one = 1;

    pair->number = number;
    pair->outer.pair = pair;
    pair->inner.pair = pair;
    pair->outer.watch =
        (struct SlWatch){.on_ready = ready_stream, .descriptor = outer};
    pair->inner.watch = (struct SlWatch){
        .on_ready = ready_stream,
        .descriptor =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    setsockopt(outer, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(pair->inner.watch.descriptor, IPPROTO_TCP, TCP_NODELAY, &one,
               sizeof(one));
    (void)connect(pair->inner.watch.descriptor, (struct sockaddr *)&name,
                  name_bytes);
    (void)SlLoop_Watch(site->loop, &pair->outer.watch, SL_LOOP_READ);
    (void)SlLoop_Watch(site->loop, &pair->inner.watch, SL_LOOP_READ);
    pair->next = pairs;
    pairs = pair;
}

static void
ready_listener(struct SlWatch *watch, uint32_t events)
{
    struct gate *gate =
        (struct gate *)((uint8_t *)watch - offsetof(struct gate, listener));
    int descriptor;

    (void)events;
    while ((descriptor = accept4(watch->descriptor, NULL, NULL,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        add_pair(gate->number, descriptor);
    }
}

static enum SlStatus
open_gate(struct gate *gate)
{
    struct SlAddress address =
        soak_address(site, 1, gate->number, SOAK_LINK_PORT);
    struct sockaddr_storage name;
    socklen_t name_bytes = SlAddress_ToSockaddr(&address, &name);
    int one = 1;

    gate->datagrams.on_ready = ready_datagrams;
    gate->listener.on_ready = ready_listener;
    gate->datagrams.descriptor =
        socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    gate->listener.descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(gate->listener.descriptor, SOL_SOCKET, SO_REUSEADDR, &one,
               sizeof(one));
    if (bind(gate->datagrams.descriptor, (struct sockaddr *)&name,
             name_bytes) != 0 ||
        bind(gate->listener.descriptor, (struct sockaddr *)&name,
             name_bytes) != 0 ||
        listen(gate->listener.descriptor, 128) != 0) {
        return SL_IO;
    }
    (void)SlLoop_Watch(site->loop, &gate->datagrams, SL_LOOP_READ);
    return SlLoop_Watch(site->loop, &gate->listener, SL_LOOP_READ);
}

enum SlStatus
proxy_open(struct soak *soak)
{
    site = soak;
    held_list = calloc(HELD_MAX + 1, sizeof(*held_list));
    for (uint32_t i = 1; i <= soak->node_count; i++) {
        gates[i].number = i;
        if (open_gate(&gates[i]) != SL_OK) {
            return SL_IO;
        }
    }
    return SL_OK;
}

void
proxy_close(void)
{
    for (struct pair *pair = pairs; pair != NULL; pair = pair->next) {
        end_pair(pair, true);
    }
    proxy_tick(UINT64_MAX);
    for (uint32_t i = 1; i <= site->node_count; i++) {
        close(gates[i].datagrams.descriptor);
        close(gates[i].listener.descriptor);
    }
    free(held_list);
}

void
proxy_set(uint32_t number, enum soak_fault fault)
{
    gates[number].fault = fault;
}

void
proxy_reset(uint32_t number)
{
    for (struct pair *pair = pairs; pair != NULL; pair = pair->next) {
        if (pair->number == number) {
            end_pair(pair, true);
        }
    }
}

void
proxy_tick(uint64_t now_us)
{
    struct pair **place = &pairs;

    for (uint32_t i = 0; i < held_count;) {
        if (held_list[i].due_us <= now_us) {
            send_on(held_list[i].from, held_list[i].to, held_list[i].bytes,
                    held_list[i].length_bytes);
            held_list[i] = held_list[--held_count];
        }
        else {
            i++;
        }
    }
    while (*place != NULL) {
        struct pair *pair = *place;

        move_bytes(pair, &pair->outer, &pair->inner);
        move_bytes(pair, &pair->inner, &pair->outer);
        if (pair->over) {
            *place = pair->next;
            free(pair);
        }
        else {
            place = &pair->next;
        }
    }
}
