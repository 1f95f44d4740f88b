#include "savoryledge/transport/http.h"

#include <errno.h>
#include <fcntl.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "savoryledge/protocol/message.h"

enum {
    DEFAULT_MAX_BODY_BYTES = 1 << 20,
    DEFAULT_MAX_CONNECTIONS = 256,
    DEFAULT_MAX_BUFFER_BYTES = 8 << 20,
    DEFAULT_IDLE_TIMEOUT_US = 30 * 1000 * 1000,
    READ_BUFFER_BYTES = 16 * 1024,
    /// Buffers up to this size are kept for the connection's next request and
    /// do not count against max_buffer_bytes.
    SMALL_BUFFER_BYTES = 16 * 1024,
    /// Max length of a response's status line and headers, without the value
    /// of the Location header.
    HEAD_BYTES = 512,
    /// Max number of connections that may wait for accept(2).
    BACKLOG = 128,
    /// TCP_USER_TIMEOUT: a connection is closed when sent data stays
    /// unacknowledged for this time.
    USER_TIMEOUT_MS = 10 * 1000,
};

struct connection {
    struct SlWatch watch;
    struct SlHttp *http;
    struct connection *next_connection;
    struct http_parser parser;
    char path[SL_HTTP_PATH_BYTES];
    size_t path_bytes;
    bool path_too_long;
    bool body_too_long;
    struct SlBuffer body;
    /// Output to the client, of which the first sent_bytes are already
    /// written.
    struct SlBuffer out;
    size_t sent_bytes;
    /// Exchange number of the request that waits for its response; 0 when no
    /// request waits.
    uint64_t exchange;
    /// True once the parser has reached the end of a request.
    bool request_complete;
    bool keep_alive;
    /// True when the connection is to be closed once the output is written.
    bool close_after_flush;
    /// When the socket was last ready for reading or writing.
    uint64_t last_active_us;
};

struct SlHttp {
    struct SlWatch watch;
    struct SlHttpOptions options;
    struct connection *connections;
    uint32_t connection_count;
    /// The connection whose input is being handled; it must not be closed.
    struct connection *active;
    uint64_t next_exchange;
    struct SlHttpCounters counters;
};

static struct connection *
connection_of(struct http_parser *parser)
{
    return parser->data;
}

static void
destroy_connection(struct connection *connection)
{
    struct SlHttp *http = connection->http;
    struct connection **position = &http->connections;

    while (*position != connection) {
        position = &(*position)->next_connection;
    }
    *position = connection->next_connection;
    http->connection_count--;
    SlLoop_Unwatch(http->options.loop, &connection->watch);
    close(connection->watch.descriptor);
    SlBuffer_Release(&connection->body);
    SlBuffer_Release(&connection->out);
    free(connection);
}

/// Size of a connection's buffers that are not small.
static size_t
large_buffer_bytes(const struct connection *connection)
{
    size_t body_bytes = connection->body.capacity_bytes;
    size_t out_bytes = connection->out.capacity_bytes;

    return (body_bytes > SMALL_BUFFER_BYTES ? body_bytes : 0) +
           (out_bytes > SMALL_BUFFER_BYTES ? out_bytes : 0);
}

/// Returns the connection with a large buffer that is idle for longest, other
/// than connection and the active one. total_bytes: receives the size of all
/// large buffers.
static struct connection *
find_buffer_to_close(const struct connection *connection, size_t *total_bytes)
{
    const struct SlHttp *http = connection->http;
    struct connection *longest_idle = NULL;

    *total_bytes = 0;
    for (struct connection *other = http->connections; other != NULL;
         other = other->next_connection) {
        size_t bytes = large_buffer_bytes(other);

        *total_bytes += bytes;
        if (bytes > 0 && other != connection && other != http->active &&
            (longest_idle == NULL ||
             other->last_active_us < longest_idle->last_active_us)) {
            longest_idle = other;
        }
    }
    return longest_idle;
}

/// Appends to a buffer of a connection. When the large buffers reach their
/// maximum, closes the connections that are idle for longest.
static enum SlStatus
append_to_buffer(struct connection *connection, struct SlBuffer *buffer,
                 const void *bytes, size_t length)
{
    size_t needed_bytes = buffer->length_bytes + length;
    struct connection *longest_idle;
    size_t total_bytes;

    if (needed_bytes > SMALL_BUFFER_BYTES &&
        needed_bytes > buffer->capacity_bytes) {
        while ((longest_idle =
                    find_buffer_to_close(connection, &total_bytes)) != NULL &&
               total_bytes + needed_bytes >
                   connection->http->options.max_buffer_bytes) {
            connection->http->counters.closed_for_buffers++;
            destroy_connection(longest_idle);
        }
    }
    return SlBuffer_Append(buffer, bytes, length);
}

static void
release_large_buffer(struct SlBuffer *buffer)
{
    if (buffer->capacity_bytes > SMALL_BUFFER_BYTES) {
        SlBuffer_Release(buffer);
    }
}

static int
on_message_begin(struct http_parser *parser)
{
    struct connection *connection = connection_of(parser);

    connection->path_bytes = 0;
    connection->path_too_long = false;
    connection->body_too_long = false;
    SlBuffer_Clear(&connection->body);
    return 0;
}

static int
on_url(struct http_parser *parser, const char *bytes, size_t length)
{
    struct connection *connection = connection_of(parser);

    if (connection->path_bytes + length >= sizeof(connection->path)) {
        connection->path_too_long = true;
        return 0;
    }
    memcpy(connection->path + connection->path_bytes, bytes, length);
    connection->path_bytes += length;
    return 0;
}

static int
on_body(struct http_parser *parser, const char *bytes, size_t length)
{
    struct connection *connection = connection_of(parser);

    if (connection->body.length_bytes + length >
        connection->http->options.max_body_bytes) {
        connection->body_too_long = true;
        return 0;
    }
    return append_to_buffer(connection, &connection->body, bytes, length) ==
                   SL_OK
               ? 0
               : -1;
}

static int
on_message_complete(struct http_parser *parser)
{
    struct connection *connection = connection_of(parser);

    connection->request_complete = true;
    connection->keep_alive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

static const struct http_parser_settings PARSER_SETTINGS = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static enum SlHttpMethod
map_method(const struct http_parser *parser)
{
    switch (parser->method) {
    case HTTP_GET:
        return SL_HTTP_GET;
    case HTTP_PUT:
        return SL_HTTP_PUT;
    case HTTP_POST:
        return SL_HTTP_POST;
    case HTTP_DELETE:
        return SL_HTTP_DELETE;
    default:
        return SL_HTTP_OTHER;
    }
}

static const char *
reason_phrase(uint32_t status)
{
    return http_status_str((enum http_status)status);
}

/// Appends a response to the output of a connection. When that fails, discards
/// the output and lets the connection close.
static void
append_response(struct connection *connection,
                const struct SlHttpResponse *response)
{
    char head[HEAD_BYTES + SL_HTTP_LOCATION_BYTES];
    int length =
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %u %s\r\nContent-Length: %zu\r\n%s%s%s%s%s%s%s\r\n",
                 response->status, reason_phrase(response->status),
                 response->body_bytes,
                 response->content_type != NULL ? "Content-Type: " : "",
                 response->content_type != NULL ? response->content_type : "",
                 response->content_type != NULL ? "\r\n" : "",
                 response->location != NULL ? "Location: " : "",
                 response->location != NULL ? response->location : "",
                 response->location != NULL ? "\r\n" : "",
                 connection->keep_alive ? "" : "Connection: close\r\n");

    if (length < 0 || (size_t)length >= sizeof(head) ||
        SlBuffer_Append(&connection->out, head, (size_t)length) != SL_OK ||
        (response->body_bytes > 0 &&
         append_to_buffer(connection, &connection->out, response->body,
                          response->body_bytes) != SL_OK)) {
        connection->close_after_flush = true;
        SlBuffer_Clear(&connection->out);
    }
}

/// Writes output until the socket accepts no more, and then watches for write
/// readiness. Returns false when the connection is to be closed.
static bool
flush_output(struct connection *connection)
{
    while (connection->sent_bytes < connection->out.length_bytes) {
        ssize_t written_bytes =
            send(connection->watch.descriptor,
                 connection->out.bytes + connection->sent_bytes,
                 connection->out.length_bytes - connection->sent_bytes,
                 MSG_NOSIGNAL | MSG_DONTWAIT);

        if (written_bytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            (void)SlLoop_SetEvents(connection->http->options.loop,
                                   &connection->watch,
                                   SL_LOOP_READ | SL_LOOP_WRITE);
            return true;
        }
        if (written_bytes < 0 && errno != EINTR) {
            return false;
        }
        connection->sent_bytes +=
            written_bytes > 0 ? (size_t)written_bytes : 0;
    }
    if (connection->out.length_bytes > 0) {
        (void)SlLoop_SetEvents(connection->http->options.loop,
                               &connection->watch, SL_LOOP_READ);
    }
    SlBuffer_Clear(&connection->out);
    release_large_buffer(&connection->out);
    connection->sent_bytes = 0;
    return !connection->close_after_flush;
}

/// Responds to a request with an error status, after which the connection is
/// closed.
static void
reject_request(struct connection *connection, uint32_t status)
{
    struct SlHttpResponse response = {.status = status};

    connection->keep_alive = false;
    connection->close_after_flush = true;
    append_response(connection, &response);
}

/// Passes a complete request to the handler, or rejects one that is too long.
static void
dispatch_request(struct connection *connection)
{
    struct SlHttp *http = connection->http;
    struct SlHttpRequest request = {
        .exchange = ++http->next_exchange,
        .method = map_method(&connection->parser),
        .path = connection->path,
        .body = connection->body.bytes,
        .body_bytes = connection->body.length_bytes,
    };

    connection->request_complete = false;
    if (connection->path_too_long || connection->body_too_long) {
        http->counters.too_long++;
        reject_request(connection, connection->path_too_long ? 414 : 413);
        return;
    }
    connection->path[connection->path_bytes] = '\0';
    connection->path[strcspn(connection->path, "?#")] = '\0';
    http->counters.requests++;
    connection->exchange = request.exchange;
    http->options.handler->type->request(http->options.handler, &request);
    release_large_buffer(&connection->body);
}

/// Parses received bytes, one request after the other. A second request before
/// the response to the first is rejected: no client of these interfaces uses
/// pipelining.
static void
parse_requests(struct connection *connection, const char *bytes, size_t length)
{
    while (length > 0 && !connection->close_after_flush) {
        size_t parsed_bytes = http_parser_execute(
            &connection->parser, &PARSER_SETTINGS, bytes, length);

        if (connection->request_complete) {
            http_parser_pause(&connection->parser, 0);
            bytes += parsed_bytes;
            length -= parsed_bytes;
            if (connection->exchange != 0) {
                connection->http->counters.malformed++;
                reject_request(connection, 400);
                return;
            }
            dispatch_request(connection);
            continue;
        }
        if (HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK) {
            connection->http->counters.malformed++;
            reject_request(connection, 400);
        }
        return;
    }
}

static void
on_connection_ready(struct SlWatch *watch, uint32_t events)
{
    struct connection *connection = (struct connection *)watch;
    char bytes[READ_BUFFER_BYTES];
    ssize_t received_bytes = 1;

    connection->last_active_us = SlClock_Monotonic();
    if ((events & SL_LOOP_WRITE) && !flush_output(connection)) {
        destroy_connection(connection);
        return;
    }
    if (!(events & SL_LOOP_READ)) {
        return;
    }
    received_bytes =
        recv(watch->descriptor, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (received_bytes > 0) {
        connection->http->active = connection;
        parse_requests(connection, bytes, (size_t)received_bytes);
        connection->http->active = NULL;
    }
    if (received_bytes == 0 ||
        (received_bytes < 0 && errno != EAGAIN && errno != EINTR) ||
        !flush_output(connection)) {
        destroy_connection(connection);
    }
}

/// Closes the connection that is idle for longest.
static void
close_longest_idle(struct SlHttp *http)
{
    struct connection *longest_idle = http->connections;

    for (struct connection *connection = http->connections; connection != NULL;
         connection = connection->next_connection) {
        if (connection->last_active_us < longest_idle->last_active_us) {
            longest_idle = connection;
        }
    }
    destroy_connection(longest_idle);
}

static void
accept_connection(struct SlHttp *http, int descriptor)
{
    struct connection *connection;
    unsigned user_timeout_ms = USER_TIMEOUT_MS;
    int enabled = 1;

    if (http->connection_count >= http->options.max_connections) {
        close_longest_idle(http);
    }
    connection = calloc(1, sizeof(*connection));
    if (connection == NULL) {
        close(descriptor);
        return;
    }
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled,
               sizeof(enabled));
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
               sizeof(user_timeout_ms));
    connection->watch.descriptor = descriptor;
    connection->watch.on_ready = on_connection_ready;
    connection->http = http;
    connection->last_active_us = SlClock_Monotonic();
    http_parser_init(&connection->parser, HTTP_REQUEST);
    connection->parser.data = connection;
    if (SlLoop_Watch(http->options.loop, &connection->watch, SL_LOOP_READ) !=
        SL_OK) {
        close(descriptor);
        free(connection);
        return;
    }
    connection->next_connection = http->connections;
    http->connections = connection;
    http->connection_count++;
}

static void
on_listener_ready(struct SlWatch *watch, uint32_t events)
{
    struct SlHttp *http = (struct SlHttp *)watch;
    int descriptor;

    (void)events;
    while ((descriptor = accept4(watch->descriptor, NULL, NULL,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        accept_connection(http, descriptor);
    }
}

static int
open_listener(const struct SlAddress *address)
{
    struct sockaddr_storage endpoint;
    socklen_t length = SlAddress_ToSockaddr(address, &endpoint);
    int descriptor = socket(endpoint.ss_family,
                            SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int enabled = 1;

    if (descriptor < 0) {
        return -1;
    }
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled,
               sizeof(enabled));
    if (bind(descriptor, (struct sockaddr *)&endpoint, length) != 0 ||
        listen(descriptor, BACKLOG) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

enum SlStatus
SlHttp_Open(const struct SlHttpOptions *options, struct SlHttp **out,
            struct SlError *error)
{
    struct SlHttp *http = calloc(1, sizeof(*http));
    char text[SL_ADDRESS_TEXT_BYTES];

    *out = NULL;
    if (http == NULL) {
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                           "out of memory for an HTTP server");
    }
    http->options = *options;
    if (http->options.max_body_bytes == 0) {
        http->options.max_body_bytes = DEFAULT_MAX_BODY_BYTES;
    }
    if (http->options.max_connections == 0) {
        http->options.max_connections = DEFAULT_MAX_CONNECTIONS;
    }
    if (http->options.max_buffer_bytes == 0) {
        http->options.max_buffer_bytes = DEFAULT_MAX_BUFFER_BYTES;
    }
    if (http->options.idle_timeout_us == 0) {
        http->options.idle_timeout_us = DEFAULT_IDLE_TIMEOUT_US;
    }
    http->watch.on_ready = on_listener_ready;
    http->watch.descriptor = open_listener(&options->listen);
    if (http->watch.descriptor < 0 ||
        SlLoop_Watch(options->loop, &http->watch, SL_LOOP_READ) != SL_OK) {
        SlError_Set(error, SL_IO, SL_STEP_OPEN, NULL,
                    "cannot listen for HTTP connections at %s: %s",
                    SlAddress_Format(&options->listen, text), strerror(errno));
        SlHttp_Close(http);
        return SL_IO;
    }
    *out = http;
    return SL_OK;
}

void
SlHttp_Close(struct SlHttp *http)
{
    if (http == NULL) {
        return;
    }
    while (http->connections != NULL) {
        destroy_connection(http->connections);
    }
    if (http->watch.descriptor >= 0) {
        SlLoop_Unwatch(http->options.loop, &http->watch);
        close(http->watch.descriptor);
    }
    free(http);
}

void
SlHttp_Respond(struct SlHttp *http, uint64_t exchange,
               const struct SlHttpResponse *response)
{
    struct connection *connection = http->connections;

    while (connection != NULL && connection->exchange != exchange) {
        connection = connection->next_connection;
    }
    if (connection == NULL) {
        return;
    }
    connection->exchange = 0;
    append_response(connection, response);
    if (!connection->keep_alive) {
        connection->close_after_flush = true;
    }
    /* Remaining output is written when the loop reports the socket writable.
       A connection that is to be closed is only shut down for writing here;
       the loop then reports its end and on_connection_ready closes it. */
    if (!flush_output(connection)) {
        (void)shutdown(connection->watch.descriptor, SHUT_WR);
    }
}

void
SlHttp_CloseIdle(struct SlHttp *http, uint64_t now_us)
{
    struct connection *next_connection;

    for (struct connection *connection = http->connections; connection != NULL;
         connection = next_connection) {
        next_connection = connection->next_connection;
        if (now_us - connection->last_active_us >
            http->options.idle_timeout_us) {
            destroy_connection(connection);
        }
    }
}

void
SlHttp_Counters(const struct SlHttp *http, struct SlHttpCounters *counters)
{
    *counters = http->counters;
    counters->connections = http->connection_count;
}
