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
    DEFAULT_BODY_BYTES = 1 << 20,
    DEFAULT_CONNECTIONS = 256,
    DEFAULT_IDLE_US = 30 * 1000 * 1000,
    READ_BYTES = 16 * 1024,
    HEAD_BYTES = 512,
    BACKLOG = 128,
    /// A peer that takes no bytes for so long is gone. Milliseconds.
    USER_TIMEOUT_MS = 10 * 1000,
};

struct connection {
    struct SlWatch watch;
    struct SlHttp *http;
    struct connection *next;
    struct http_parser parser;
    char path[SL_HTTP_PATH_BYTES];
    size_t path_bytes;
    bool path_too_long;
    bool body_too_long;
    struct SlBuffer body;
    struct SlBuffer out;
    size_t sent_bytes;
    /// 0 while no request waits for its answer.
    uint64_t exchange;
    bool complete;
    bool keep_alive;
    bool ending;
    uint64_t used_us;
};

struct SlHttp {
    struct SlWatch watch;
    struct SlHttpOptions options;
    struct connection *connections;
    uint32_t count;
    uint64_t next_exchange;
    struct SlHttpCounters counters;
};

static struct connection *
connection_of(struct http_parser *parser)
{
    return parser->data;
}

static int
on_begin(struct http_parser *parser)
{
    struct connection *connection = connection_of(parser);

    connection->path_bytes = 0;
    connection->path_too_long = false;
    connection->body_too_long = false;
    SlBuffer_Clear(&connection->body);
    return 0;
}

static int
on_url(struct http_parser *parser, const char *at, size_t length)
{
    struct connection *connection = connection_of(parser);

    if (connection->path_bytes + length >= sizeof(connection->path)) {
        connection->path_too_long = true;
        return 0;
    }
    memcpy(connection->path + connection->path_bytes, at, length);
    connection->path_bytes += length;
    return 0;
}

static int
on_body(struct http_parser *parser, const char *at, size_t length)
{
    struct connection *connection = connection_of(parser);

    if (connection->body.length_bytes + length >
        connection->http->options.body_bytes) {
        connection->body_too_long = true;
        return 0;
    }
    return SlBuffer_Append(&connection->body, at, length) == SL_OK ? 0 : -1;
}

static int
on_complete(struct http_parser *parser)
{
    struct connection *connection = connection_of(parser);

    connection->complete = true;
    connection->keep_alive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
}

static const struct http_parser_settings PARSER_SETTINGS = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

static void
destroy_connection(struct connection *connection)
{
    struct SlHttp *http = connection->http;
    struct connection **place = &http->connections;

    while (*place != connection) {
        place = &(*place)->next;
    }
    *place = connection->next;
    http->count--;
    SlLoop_Unwatch(http->options.loop, &connection->watch);
    close(connection->watch.descriptor);
    SlBuffer_Release(&connection->body);
    SlBuffer_Release(&connection->out);
    free(connection);
}

static enum SlHttpMethod
method_of(const struct http_parser *parser)
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

static void
append_answer(struct connection *connection,
              const struct SlHttpResponse *answer)
{
    char head[HEAD_BYTES + SL_HTTP_LOCATION_BYTES];
    int length = snprintf(
        head, sizeof(head),
        "HTTP/1.1 %u %s\r\nContent-Length: %zu\r\n%s%s%s%s%s%s%s\r\n",
        answer->status, reason_phrase(answer->status), answer->body_bytes,
        answer->content_type != NULL ? "Content-Type: " : "",
        answer->content_type != NULL ? answer->content_type : "",
        answer->content_type != NULL ? "\r\n" : "",
        answer->location != NULL ? "Location: " : "",
        answer->location != NULL ? answer->location : "",
        answer->location != NULL ? "\r\n" : "",
        connection->keep_alive ? "" : "Connection: close\r\n");

    if (length < 0 || (size_t)length >= sizeof(head) ||
        SlBuffer_Append(&connection->out, head, (size_t)length) != SL_OK ||
        (answer->body_bytes > 0 &&
         SlBuffer_Append(&connection->out, answer->body, answer->body_bytes) !=
             SL_OK)) {
        connection->ending = true;
        SlBuffer_Clear(&connection->out);
    }
}

/// Writes what waits. Returns false when the connection is over.
static bool
flush(struct connection *connection)
{
    while (connection->sent_bytes < connection->out.length_bytes) {
        ssize_t count =
            send(connection->watch.descriptor,
                 connection->out.bytes + connection->sent_bytes,
                 connection->out.length_bytes - connection->sent_bytes,
                 MSG_NOSIGNAL | MSG_DONTWAIT);

        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            (void)SlLoop_SetEvents(connection->http->options.loop,
                                   &connection->watch,
                                   SL_LOOP_READ | SL_LOOP_WRITE);
            return true;
        }
        if (count < 0 && errno != EINTR) {
            return false;
        }
        connection->sent_bytes += count > 0 ? (size_t)count : 0;
    }
    if (connection->out.length_bytes > 0) {
        (void)SlLoop_SetEvents(connection->http->options.loop,
                               &connection->watch, SL_LOOP_READ);
    }
    SlBuffer_Clear(&connection->out);
    connection->sent_bytes = 0;
    return !connection->ending;
}

static void
refuse(struct connection *connection, uint32_t status)
{
    struct SlHttpResponse answer = {.status = status};

    connection->keep_alive = false;
    connection->ending = true;
    append_answer(connection, &answer);
}

/// Gives a whole request to the owner.
static void
dispatch(struct connection *connection)
{
    struct SlHttp *http = connection->http;
    struct SlHttpRequest request = {
        .exchange = ++http->next_exchange,
        .method = method_of(&connection->parser),
        .path = connection->path,
        .body = connection->body.bytes,
        .body_bytes = connection->body.length_bytes,
    };

    connection->complete = false;
    if (connection->path_too_long || connection->body_too_long) {
        http->counters.too_long++;
        refuse(connection, connection->path_too_long ? 414 : 413);
        return;
    }
    connection->path[connection->path_bytes] = '\0';
    connection->path[strcspn(connection->path, "?#")] = '\0';
    http->counters.requests++;
    connection->exchange = request.exchange;
    http->options.handler->type->request(http->options.handler, &request);
}

/// Parses bytes, one request after the other. A second request before the
/// answer to the first is refused: no caller of these interfaces pipelines.
static void
take_bytes(struct connection *connection, const char *bytes, size_t length)
{
    while (length > 0 && !connection->ending) {
        size_t used = http_parser_execute(&connection->parser,
                                          &PARSER_SETTINGS, bytes, length);

        if (connection->complete) {
            http_parser_pause(&connection->parser, 0);
            bytes += used;
            length -= used;
            if (connection->exchange != 0) {
                connection->http->counters.malformed++;
                refuse(connection, 400);
                return;
            }
            dispatch(connection);
            continue;
        }
        if (HTTP_PARSER_ERRNO(&connection->parser) != HPE_OK) {
            connection->http->counters.malformed++;
            refuse(connection, 400);
        }
        return;
    }
}

static void
ready_connection(struct SlWatch *watch, uint32_t events)
{
    struct connection *connection = (struct connection *)watch;
    char bytes[READ_BYTES];
    ssize_t count = 1;

    connection->used_us = SlClock_Monotonic();
    if ((events & SL_LOOP_WRITE) && !flush(connection)) {
        destroy_connection(connection);
        return;
    }
    if (!(events & SL_LOOP_READ)) {
        return;
    }
    count = recv(watch->descriptor, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (count > 0) {
        take_bytes(connection, bytes, (size_t)count);
    }
    if (count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR) ||
        !flush(connection)) {
        destroy_connection(connection);
    }
}

static void
make_room(struct SlHttp *http)
{
    struct connection *oldest = http->connections;

    for (struct connection *connection = http->connections; connection != NULL;
         connection = connection->next) {
        if (connection->used_us < oldest->used_us) {
            oldest = connection;
        }
    }
    destroy_connection(oldest);
}

static void
accept_one(struct SlHttp *http, int descriptor)
{
    struct connection *connection;
    unsigned timeout_ms = USER_TIMEOUT_MS;
    int one = 1;

    if (http->count >= http->options.max_connections) {
        make_room(http);
    }
    connection = calloc(1, sizeof(*connection));
    if (connection == NULL) {
        close(descriptor);
        return;
    }
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
    connection->watch.descriptor = descriptor;
    connection->watch.on_ready = ready_connection;
    connection->http = http;
    connection->used_us = SlClock_Monotonic();
    http_parser_init(&connection->parser, HTTP_REQUEST);
    connection->parser.data = connection;
    if (SlLoop_Watch(http->options.loop, &connection->watch, SL_LOOP_READ) !=
        SL_OK) {
        close(descriptor);
        free(connection);
        return;
    }
    connection->next = http->connections;
    http->connections = connection;
    http->count++;
}

static void
ready_listener(struct SlWatch *watch, uint32_t events)
{
    struct SlHttp *http = (struct SlHttp *)watch;
    int descriptor;

    (void)events;
    while ((descriptor = accept4(watch->descriptor, NULL, NULL,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        accept_one(http, descriptor);
    }
}

static int
open_listener(const struct SlAddress *address)
{
    struct sockaddr_storage name;
    socklen_t length = SlAddress_ToSockaddr(address, &name);
    int descriptor =
        socket(name.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;

    if (descriptor < 0) {
        return -1;
    }
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(descriptor, (struct sockaddr *)&name, length) != 0 ||
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
                           "no memory for an HTTP server");
    }
    http->options = *options;
    if (http->options.body_bytes == 0) {
        http->options.body_bytes = DEFAULT_BODY_BYTES;
    }
    if (http->options.max_connections == 0) {
        http->options.max_connections = DEFAULT_CONNECTIONS;
    }
    if (http->options.idle_us == 0) {
        http->options.idle_us = DEFAULT_IDLE_US;
    }
    http->watch.on_ready = ready_listener;
    http->watch.descriptor = open_listener(&options->listen);
    if (http->watch.descriptor < 0 ||
        SlLoop_Watch(options->loop, &http->watch, SL_LOOP_READ) != SL_OK) {
        SlError_Set(error, SL_IO, SL_STEP_OPEN, NULL,
                    "cannot listen at %s: %s",
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
               const struct SlHttpResponse *answer)
{
    struct connection *connection = http->connections;

    while (connection != NULL && connection->exchange != exchange) {
        connection = connection->next;
    }
    if (connection == NULL) {
        return;
    }
    connection->exchange = 0;
    append_answer(connection, answer);
    if (!connection->keep_alive) {
        connection->ending = true;
    }
    /* What cannot be written now goes out when the loop says so; an end of
       the connection shows there too. */
    if (!flush(connection)) {
        (void)shutdown(connection->watch.descriptor, SHUT_WR);
    }
}

void
SlHttp_CloseIdle(struct SlHttp *http, uint64_t now_us)
{
    struct connection *next;

    for (struct connection *connection = http->connections; connection != NULL;
         connection = next) {
        next = connection->next;
        if (now_us - connection->used_us > http->options.idle_us) {
            destroy_connection(connection);
        }
    }
}

void
SlHttp_Counters(const struct SlHttp *http, struct SlHttpCounters *counters)
{
    *counters = http->counters;
    counters->connections = http->count;
}
