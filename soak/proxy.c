/// A proxy in front of every process. Connections and datagrams between
/// processes pass through it. It can block traffic in either direction, drop
/// or delay datagrams, and reset connections.
///
/// A datagram from process S to process D is sent from the proxy socket of S,
/// so that its source is the address at which D reaches S. For connections the
/// proxy knows only the destination process.

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
    DELAY_MAX_US = 30 * 1000,
    DELAYED_MAX = 2000,
    CHUNKS_MAX = 128,
};

/// The proxy's sockets for one process.
struct endpoint {
    struct SlWatch datagrams;
    struct SlWatch listener;
    uint32_t number;
    enum proxy_fault fault;
};

/// Bytes of a stream that may be forwarded at due_us.
struct chunk {
    uint64_t due_us;
    size_t length_bytes;
};

/// One direction of a connection.
struct stream {
    struct SlWatch watch;
    struct connection *connection;
    uint8_t bytes[BUFFER_BYTES];
    size_t length_bytes;
    /// The bytes that are delayed, in order; the first due_bytes are not.
    struct chunk chunks[CHUNKS_MAX];
    uint32_t chunk_count;
    size_t due_bytes;
    /// The buffer is full and reading is suspended.
    bool is_full;
};

/// A proxied connection to the process `number`.
struct connection {
    struct connection *next;
    uint32_t number;
    bool is_closed;
    /// The connecting side, and the process to which it connects.
    struct stream client;
    struct stream server;
};

/// A datagram that is sent to its destination at due_us.
struct delayed_datagram {
    uint64_t due_us;
    uint32_t from;
    uint32_t to;
    uint32_t length_bytes;
    uint8_t bytes[SOAK_PACKET_BYTES + 200];
};

static struct soak *site;
static struct endpoint endpoints[SOAK_NODES_MAX + 1];
static struct connection *connections;
static struct delayed_datagram *delayed;
static uint32_t delayed_count;

/// True if no fault blocks traffic from one process to the other.
static bool
traffic_passes(uint32_t from, uint32_t to)
{
    enum proxy_fault out = endpoints[from].fault;
    enum proxy_fault in = endpoints[to].fault;

    return out != PROXY_CUT && out != PROXY_CUT_OUT && in != PROXY_CUT &&
           in != PROXY_CUT_IN;
}

static void
send_datagram(uint32_t from, uint32_t to, const uint8_t *bytes,
              uint32_t length)
{
    struct SlAddress address = soak_address(site, 0, to, SOAK_LINK_PORT);
    struct sockaddr_storage name;
    socklen_t name_bytes = SlAddress_ToSockaddr(&address, &name);

    (void)sendto(endpoints[from].datagrams.descriptor, bytes, length,
                 MSG_DONTWAIT, (struct sockaddr *)&name, name_bytes);
}

static void
forward_datagram(uint32_t from, uint32_t to, const uint8_t *bytes,
                 uint32_t length)
{
    struct delayed_datagram *delayed_datagram = &delayed[delayed_count];
    bool is_lossy = endpoints[from].fault == PROXY_LOSSY ||
                    endpoints[to].fault == PROXY_LOSSY;

    if (!traffic_passes(from, to) ||
        (is_lossy && soak_random(site, 100) < LOSS_PERCENT)) {
        return;
    }
    if (!is_lossy || delayed_count == DELAYED_MAX ||
        length > sizeof(delayed_datagram->bytes)) {
        send_datagram(from, to, bytes, length);
        return;
    }
    delayed_datagram->due_us =
        SlClock_Monotonic() + soak_random(site, DELAY_MAX_US);
    delayed_datagram->from = from;
    delayed_datagram->to = to;
    delayed_datagram->length_bytes = length;
    memcpy(delayed_datagram->bytes, bytes, length);
    delayed_count++;
}

static void
on_datagrams(struct SlWatch *watch, uint32_t events)
{
    struct endpoint *endpoint = (struct endpoint *)watch;
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
            forward_datagram(number, endpoint->number, bytes,
                             (uint32_t)length);
        }
        from_bytes = sizeof(from);
    }
}

static void
close_connection(struct connection *connection, bool reset)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};
    struct stream *streams[] = {&connection->client, &connection->server};

    if (connection->is_closed) {
        return;
    }
    connection->is_closed = true;
    for (uint32_t i = 0; i < 2; i++) {
        if (reset) {
            setsockopt(streams[i]->watch.descriptor, SOL_SOCKET, SO_LINGER,
                       &linger, sizeof(linger));
        }
        SlLoop_Unwatch(site->loop, &streams[i]->watch);
        close(streams[i]->watch.descriptor);
    }
}

/// Adds bytes that were read to the stream. Those of connections to control
/// instances may be forwarded only after a delay.
static void
add_chunk(struct stream *stream, size_t length_bytes)
{
    uint32_t number = stream->connection->number;
    uint64_t delay_us =
        site->nodes[number - 1].has_disk ? site->control_delay_us : 0;

    stream->length_bytes += length_bytes;
    if (delay_us == 0) {
        stream->due_bytes += length_bytes;
        return;
    }
    stream->chunks[stream->chunk_count++] =
        (struct chunk){.due_us = SlClock_Monotonic() + delay_us,
                       .length_bytes = length_bytes};
}

static void
release_due_chunks(struct stream *stream)
{
    uint64_t now_us;
    uint32_t due = 0;

    if (stream->chunk_count == 0) {
        return;
    }
    now_us = SlClock_Monotonic();
    while (due < stream->chunk_count && stream->chunks[due].due_us <= now_us) {
        stream->due_bytes += stream->chunks[due++].length_bytes;
    }
    stream->chunk_count -= due;
    memmove(stream->chunks, stream->chunks + due,
            stream->chunk_count * sizeof(*stream->chunks));
}

/// Forwards buffered bytes from one side to the other. They stay in the buffer
/// while a fault blocks that direction.
static void
forward_bytes(struct connection *connection, struct stream *from,
              struct stream *to)
{
    ssize_t sent;

    release_due_chunks(from);
    if (connection->is_closed || from->due_bytes == 0 ||
        endpoints[connection->number].fault == PROXY_CUT ||
        endpoints[connection->number].fault ==
            (from == &connection->client ? PROXY_CUT_IN : PROXY_CUT_OUT)) {
        return;
    }
    sent = send(to->watch.descriptor, from->bytes, from->due_bytes,
                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno != EAGAIN && errno != ENOTCONN) {
        close_connection(connection, false);
        return;
    }
    if (sent > 0) {
        from->length_bytes -= (size_t)sent;
        from->due_bytes -= (size_t)sent;
        memmove(from->bytes, from->bytes + sent, from->length_bytes);
        if (from->is_full) {
            from->is_full = false;
            (void)SlLoop_SetEvents(site->loop, &from->watch, SL_LOOP_READ);
        }
    }
}

static void
on_stream(struct SlWatch *watch, uint32_t events)
{
    struct stream *stream = (struct stream *)watch;
    struct connection *connection = stream->connection;
    struct stream *other = stream == &connection->client ? &connection->server
                                                         : &connection->client;
    ssize_t length;

    (void)events;
    if (connection->is_closed) {
        return;
    }
    if (stream->length_bytes == BUFFER_BYTES ||
        stream->chunk_count == CHUNKS_MAX) {
        stream->is_full = true;
        (void)SlLoop_SetEvents(site->loop, watch, 0);
        return;
    }
    length = recv(watch->descriptor, stream->bytes + stream->length_bytes,
                  BUFFER_BYTES - stream->length_bytes, MSG_DONTWAIT);
    if (length == 0 || (length < 0 && errno != EAGAIN && errno != ENOTCONN)) {
        close_connection(connection, false);
        return;
    }
    if (length > 0) {
        add_chunk(stream, (size_t)length);
    }
    forward_bytes(connection, stream, other);
}

static void
add_connection(uint32_t number, int client)
{
    struct connection *connection = calloc(1, sizeof(*connection));
    struct SlAddress address = soak_address(site, 0, number, SOAK_LINK_PORT);
    struct sockaddr_storage name;
    socklen_t name_bytes = SlAddress_ToSockaddr(&address, &name);
    int one = 1;

    connection->number = number;
    connection->client.connection = connection;
    connection->server.connection = connection;
    connection->client.watch =
        (struct SlWatch){.on_ready = on_stream, .descriptor = client};
    connection->server.watch = (struct SlWatch){
        .on_ready = on_stream,
        .descriptor =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(connection->server.watch.descriptor, IPPROTO_TCP, TCP_NODELAY,
               &one, sizeof(one));
    (void)connect(connection->server.watch.descriptor,
                  (struct sockaddr *)&name, name_bytes);
    (void)SlLoop_Watch(site->loop, &connection->client.watch, SL_LOOP_READ);
    (void)SlLoop_Watch(site->loop, &connection->server.watch, SL_LOOP_READ);
    connection->next = connections;
    connections = connection;
}

static void
on_listener(struct SlWatch *watch, uint32_t events)
{
    struct endpoint *endpoint =
        (struct endpoint *)((uint8_t *)watch -
                            offsetof(struct endpoint, listener));
    int descriptor;

    (void)events;
    while ((descriptor = accept4(watch->descriptor, NULL, NULL,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        add_connection(endpoint->number, descriptor);
    }
}

static enum SlStatus
open_endpoint(struct endpoint *endpoint)
{
    struct SlAddress address =
        soak_address(site, 1, endpoint->number, SOAK_LINK_PORT);
    struct sockaddr_storage name;
    socklen_t name_bytes = SlAddress_ToSockaddr(&address, &name);
    int one = 1;

    endpoint->datagrams.on_ready = on_datagrams;
    endpoint->listener.on_ready = on_listener;
    endpoint->datagrams.descriptor =
        socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    endpoint->listener.descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(endpoint->listener.descriptor, SOL_SOCKET, SO_REUSEADDR, &one,
               sizeof(one));
    if (bind(endpoint->datagrams.descriptor, (struct sockaddr *)&name,
             name_bytes) != 0 ||
        bind(endpoint->listener.descriptor, (struct sockaddr *)&name,
             name_bytes) != 0 ||
        listen(endpoint->listener.descriptor, 128) != 0) {
        return SL_IO;
    }
    (void)SlLoop_Watch(site->loop, &endpoint->datagrams, SL_LOOP_READ);
    return SlLoop_Watch(site->loop, &endpoint->listener, SL_LOOP_READ);
}

enum SlStatus
proxy_add(uint32_t number)
{
    endpoints[number].number = number;
    return open_endpoint(&endpoints[number]);
}

enum SlStatus
proxy_open(struct soak *soak)
{
    site = soak;
    delayed = calloc(DELAYED_MAX + 1, sizeof(*delayed));
    for (uint32_t i = 1; i <= soak->node_count; i++) {
        if (proxy_add(i) != SL_OK) {
            return SL_IO;
        }
    }
    return SL_OK;
}

void
proxy_close(void)
{
    for (struct connection *connection = connections; connection != NULL;
         connection = connection->next) {
        close_connection(connection, true);
    }
    proxy_tick(UINT64_MAX);
    for (uint32_t i = 1; i <= site->node_count; i++) {
        close(endpoints[i].datagrams.descriptor);
        close(endpoints[i].listener.descriptor);
    }
    free(delayed);
}

void
proxy_set_fault(uint32_t number, enum proxy_fault fault)
{
    endpoints[number].fault = fault;
}

void
proxy_reset_connections(uint32_t number)
{
    for (struct connection *connection = connections; connection != NULL;
         connection = connection->next) {
        if (connection->number == number) {
            close_connection(connection, true);
        }
    }
}

void
proxy_tick(uint64_t now_us)
{
    struct connection **link = &connections;

    for (uint32_t i = 0; i < delayed_count;) {
        if (delayed[i].due_us <= now_us) {
            send_datagram(delayed[i].from, delayed[i].to, delayed[i].bytes,
                          delayed[i].length_bytes);
            delayed[i] = delayed[--delayed_count];
        }
        else {
            i++;
        }
    }
    while (*link != NULL) {
        struct connection *connection = *link;

        forward_bytes(connection, &connection->client, &connection->server);
        forward_bytes(connection, &connection->server, &connection->client);
        if (connection->is_closed) {
            *link = connection->next;
            free(connection);
        }
        else {
            link = &connection->next;
        }
    }
}
