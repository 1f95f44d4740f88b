/// HTTP calls of the soak: non-blocking, one connection a call.

#include <errno.h>
#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "savoryledge/protocol/message.h"
#include "soak.h"

struct exchange {
    struct SlWatch watch;
    struct exchange *next;
    struct SlLoop *loop;
    struct http_call call;
    struct http_parser parser;
    struct SlBuffer out;
    size_t sent_bytes;
    struct SlBuffer body;
    uint64_t due_us;
    bool complete;
    bool over;
};

static struct exchange *exchanges;

static int
on_body(struct http_parser *parser, const char *at, size_t length)
{
    struct exchange *exchange = parser->data;

    return SlBuffer_Append(&exchange->body, at, length) == SL_OK ? 0 : -1;
}

static int
on_complete(struct http_parser *parser)
{
    ((struct exchange *)parser->data)->complete = true;
    return 0;
}

static const struct http_parser_settings SETTINGS = {
    .on_body = on_body,
    .on_message_complete = on_complete,
};

/// Ends a call; it is freed with the next tick.
static void
finish(struct exchange *exchange, uint32_t status)
{
    if (exchange->over) {
        return;
    }
    exchange->over = true;
    SlLoop_Unwatch(exchange->loop, &exchange->watch);
    close(exchange->watch.descriptor);
    exchange->call.done(exchange->call.context, status,
                        (const char *)exchange->body.bytes,
                        exchange->body.length_bytes);
}

static void
write_out(struct exchange *exchange)
{
    ssize_t count = send(
        exchange->watch.descriptor, exchange->out.bytes + exchange->sent_bytes,
        exchange->out.length_bytes - exchange->sent_bytes, MSG_NOSIGNAL);

    if (count < 0 && errno != EAGAIN) {
        finish(exchange, 0);
        return;
    }
    exchange->sent_bytes += count > 0 ? (size_t)count : 0;
    if (exchange->sent_bytes == exchange->out.length_bytes) {
        (void)SlLoop_SetEvents(exchange->loop, &exchange->watch, SL_LOOP_READ);
    }
}

static void
ready(struct SlWatch *watch, uint32_t events)
{
    struct exchange *exchange = (struct exchange *)watch;
    char bytes[16 * 1024];
    ssize_t count;

    if (events & SL_LOOP_WRITE) {
        write_out(exchange);
    }
    if (exchange->over || !(events & SL_LOOP_READ)) {
        return;
    }
    count = recv(watch->descriptor, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (count < 0 && errno == EAGAIN) {
        return;
    }
    if (count <= 0 || http_parser_execute(&exchange->parser, &SETTINGS, bytes,
                                          (size_t)count) != (size_t)count) {
        finish(exchange, 0);
    }
    else if (exchange->complete) {
        finish(exchange, exchange->parser.status_code);
    }
}

void
http_client_call(struct SlLoop *loop, const struct http_call *call)
{
    struct exchange *exchange = calloc(1, sizeof(*exchange));
    struct sockaddr_storage name;
    socklen_t length = SlAddress_ToSockaddr(&call->to, &name);
    char head[512];
    int head_bytes = snprintf(
        head, sizeof(head),
        "%s %s HTTP/1.1\r\nHost: soak\r\nContent-Length: %zu\r\n\r\n",
        call->method, call->path, call->body ? strlen(call->body) : 0);
    int descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    exchange->loop = loop;
    exchange->call = *call;
    exchange->due_us = SlClock_Monotonic() + call->patience_us;
    exchange->watch.descriptor = descriptor;
    exchange->watch.on_ready = ready;
    http_parser_init(&exchange->parser, HTTP_RESPONSE);
    exchange->parser.data = exchange;
    (void)SlBuffer_Append(&exchange->out, head, (size_t)head_bytes);
    if (call->body != NULL) {
        (void)SlBuffer_Append(&exchange->out, call->body, strlen(call->body));
    }
    exchange->next = exchanges;
    exchanges = exchange;
    (void)connect(descriptor, (struct sockaddr *)&name, length);
    (void)SlLoop_Watch(loop, &exchange->watch, SL_LOOP_READ | SL_LOOP_WRITE);
}

void
http_client_tick(uint64_t now_us)
{
    struct exchange **place = &exchanges;

    for (struct exchange *exchange = exchanges; exchange != NULL;
         exchange = exchange->next) {
        if (!exchange->over && now_us >= exchange->due_us) {
            finish(exchange, 0);
        }
    }
    while (*place != NULL) {
        struct exchange *exchange = *place;

        if (!exchange->over) {
            place = &exchange->next;
            continue;
        }
        *place = exchange->next;
        SlBuffer_Release(&exchange->out);
        SlBuffer_Release(&exchange->body);
        free(exchange);
    }
}

void
http_client_close(void)
{
    for (struct exchange *exchange = exchanges; exchange != NULL;
         exchange = exchange->next) {
        finish(exchange, 0);
    }
    http_client_tick(0);
}
