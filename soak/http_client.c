/// Non-blocking HTTP client of the soak, with one connection per request. It
/// follows redirects to other control instances.

#include <errno.h>
#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "savoryledge/protocol/message.h"
#include "soak.h"

enum {
    REDIRECTS_MAX = 2,
    HTTP_TEMPORARY_REDIRECT = 307,
    LOCATION_BYTES = 128,
};

/// A request and the response received so far.
struct exchange {
    struct SlWatch watch;
    struct exchange *next;
    struct SlLoop *loop;
    struct http_call call;
    struct http_parser parser;
    struct SlBuffer request;
    size_t sent_bytes;
    struct SlBuffer body;
    uint64_t deadline_us;
    uint32_t redirects;
    bool is_location;
    char location[LOCATION_BYTES];
    bool is_complete;
    bool is_finished;
};

static struct exchange *exchanges;

static int
on_header_name(struct http_parser *parser, const char *bytes, size_t length)
{
    struct exchange *exchange = parser->data;

    exchange->is_location = length == strlen("Location") &&
                            strncasecmp(bytes, "Location", length) == 0;
    return 0;
}

static int
on_header_value(struct http_parser *parser, const char *bytes, size_t length)
{
    struct exchange *exchange = parser->data;

    if (exchange->is_location) {
        snprintf(exchange->location, sizeof(exchange->location), "%.*s",
                 (int)length, bytes);
    }
    return 0;
}

static int
on_body(struct http_parser *parser, const char *bytes, size_t length)
{
    struct exchange *exchange = parser->data;

    return SlBuffer_Append(&exchange->body, bytes, length) == SL_OK ? 0 : -1;
}

static int
on_complete(struct http_parser *parser)
{
    ((struct exchange *)parser->data)->is_complete = true;
    return 0;
}

static const struct http_parser_settings SETTINGS = {
    .on_header_field = on_header_name,
    .on_header_value = on_header_value,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

/// Closes the connection and reports the status to the caller; the next tick
/// frees the exchange.
static void
finish_exchange(struct exchange *exchange, uint32_t status)
{
    if (exchange->is_finished) {
        return;
    }
    exchange->is_finished = true;
    SlLoop_Unwatch(exchange->loop, &exchange->watch);
    close(exchange->watch.descriptor);
    exchange->call.done(exchange->call.context, status,
                        (const char *)exchange->body.bytes,
                        exchange->body.length_bytes);
}

/// Connects to the address in order to send the request from its beginning.
static void
connect_exchange(struct exchange *exchange, const struct SlAddress *to)
{
    struct sockaddr_storage name;
    socklen_t length = SlAddress_ToSockaddr(to, &name);

    exchange->watch.descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    exchange->deadline_us =
        SlClock_Monotonic() + exchange->call.answer_timeout_us;
    exchange->sent_bytes = 0;
    exchange->is_complete = false;
    http_parser_init(&exchange->parser, HTTP_RESPONSE);
    exchange->parser.data = exchange;
    (void)connect(exchange->watch.descriptor, (struct sockaddr *)&name,
                  length);
    (void)SlLoop_Watch(exchange->loop, &exchange->watch,
                       SL_LOOP_READ | SL_LOOP_WRITE);
}

/// Sends the request to the address of a redirect, which the process
/// advertises (127.NET.1.n) and on which it listens as 127.NET.0.n. Returns
/// false if the response is no redirect or if it is one too many.
static bool
follow_redirect(struct exchange *exchange)
{
    struct SlAddress to = exchange->call.to;
    unsigned int ip[4];
    unsigned int port;

    if (exchange->parser.status_code != HTTP_TEMPORARY_REDIRECT ||
        exchange->redirects == REDIRECTS_MAX ||
        sscanf(exchange->location, "http://%u.%u.%u.%u:%u/", &ip[0], &ip[1],
               &ip[2], &ip[3], &port) != 5) {
        return false;
    }
    exchange->redirects++;
    SlLoop_Unwatch(exchange->loop, &exchange->watch);
    close(exchange->watch.descriptor);
    to.ip[15] = (uint8_t)ip[3];
    to.port = (uint16_t)port;
    exchange->body.length_bytes = 0;
    connect_exchange(exchange, &to);
    return true;
}

static void
send_request_bytes(struct exchange *exchange)
{
    ssize_t count = send(exchange->watch.descriptor,
                         exchange->request.bytes + exchange->sent_bytes,
                         exchange->request.length_bytes - exchange->sent_bytes,
                         MSG_NOSIGNAL);

    if (count < 0 && errno != EAGAIN) {
        finish_exchange(exchange, 0);
        return;
    }
    exchange->sent_bytes += count > 0 ? (size_t)count : 0;
    if (exchange->sent_bytes == exchange->request.length_bytes) {
        (void)SlLoop_SetEvents(exchange->loop, &exchange->watch, SL_LOOP_READ);
    }
}

static void
on_ready(struct SlWatch *watch, uint32_t events)
{
    struct exchange *exchange = (struct exchange *)watch;
    char bytes[16 * 1024];
    ssize_t count;

    if (events & SL_LOOP_WRITE) {
        send_request_bytes(exchange);
    }
    if (exchange->is_finished || !(events & SL_LOOP_READ)) {
        return;
    }
    count = recv(watch->descriptor, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (count < 0 && errno == EAGAIN) {
        return;
    }
    if (count <= 0 || http_parser_execute(&exchange->parser, &SETTINGS, bytes,
                                          (size_t)count) != (size_t)count) {
        finish_exchange(exchange, 0);
    }
    else if (exchange->is_complete && !follow_redirect(exchange)) {
        finish_exchange(exchange, exchange->parser.status_code);
    }
}

void
http_client_call(struct SlLoop *loop, const struct http_call *call)
{
    struct exchange *exchange = calloc(1, sizeof(*exchange));
    char head[512];
    int head_bytes = snprintf(
        head, sizeof(head),
        "%s %s HTTP/1.1\r\nHost: soak\r\nContent-Length: %zu\r\n\r\n",
        call->method, call->path, call->body ? strlen(call->body) : 0);

    exchange->loop = loop;
    exchange->call = *call;
    exchange->watch.on_ready = on_ready;
    (void)SlBuffer_Append(&exchange->request, head, (size_t)head_bytes);
    if (call->body != NULL) {
        (void)SlBuffer_Append(&exchange->request, call->body,
                              strlen(call->body));
    }
    exchange->next = exchanges;
    exchanges = exchange;
    connect_exchange(exchange, &call->to);
}

void
http_client_tick(uint64_t now_us)
{
    struct exchange **link = &exchanges;

    for (struct exchange *exchange = exchanges; exchange != NULL;
         exchange = exchange->next) {
        if (!exchange->is_finished && now_us >= exchange->deadline_us) {
            finish_exchange(exchange, 0);
        }
    }
    while (*link != NULL) {
        struct exchange *exchange = *link;

        if (!exchange->is_finished) {
            link = &exchange->next;
            continue;
        }
        *link = exchange->next;
        SlBuffer_Release(&exchange->request);
        SlBuffer_Release(&exchange->body);
        free(exchange);
    }
}

void
http_client_close(void)
{
    for (struct exchange *exchange = exchanges; exchange != NULL;
         exchange = exchange->next) {
        finish_exchange(exchange, 0);
    }
    http_client_tick(0);
}
