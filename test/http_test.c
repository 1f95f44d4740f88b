/* The HTTP server over loopback sockets, and the order handler
   (SlOrderHandler), which follows changes requested over HTTP (orders) until
   their outcome is known. */

#include <arpa/inet.h>
#include <errno.h>
#include <limits.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "resources.h"
#include "savoryledge/coordination/order_handler.h"
#include "savoryledge/transport/http.h"
#include "test.h"

enum {
    TEXT_BYTES = 4096,
    MAX_LOOP_RUNS = 200,
    SHORT_BODY_MAX_BYTES = 1000,
    LONG_BODY_MAX_BYTES = 1 << 20,
    /// 8 MiB of buffers, the text to send, and what the allocator adds.
    BUFFERS_MAX_KB = 16 * 1024,
    UPLOADS = 100,
};

/// A server that responds to each request with its path. A request for
/// "/later" is left without a response, and its exchange is stored in
/// deferred_exchange.
struct echo_server {
    struct SlHttpHandler handler;
    struct SlHttp *http;
    struct SlLoop *loop;
    uint16_t port;
    uint32_t request_count;
    uint64_t deferred_exchange;
    /// Body length and method of the last request.
    size_t last_body_bytes;
    enum SlHttpMethod last_method;
};

static void
handle_echo_request(struct SlHttpHandler *handler,
                    const struct SlHttpRequest *request)
{
    struct echo_server *server = (struct echo_server *)handler;
    struct SlHttpResponse response = {.status = 200,
                                      .content_type = "text/plain",
                                      .body = (const uint8_t *)request->path,
                                      .body_bytes = strlen(request->path)};

    server->request_count++;
    server->last_body_bytes = request->body_bytes;
    server->last_method = request->method;
    if (strcmp(request->path, "/later") == 0) {
        server->deferred_exchange = request->exchange;
        return;
    }
    SlHttp_Respond(server->http, request->exchange, &response);
}

static const struct SlHttpHandlerType ECHO_HANDLER_TYPE = {
    .request = handle_echo_request};

static void
open_server(struct echo_server *server, uint32_t max_connections,
            size_t max_body_bytes)
{
    struct SlHttpOptions options = {.handler = &server->handler,
                                    .max_body_bytes = max_body_bytes,
                                    .max_connections = max_connections};
    struct SlError error;
    enum SlStatus status = SL_IO;

    *server = (struct echo_server){.handler = {.type = &ECHO_HANDLER_TYPE}};
    server->loop = SlLoop_Create();
    options.loop = server->loop;
    for (uint16_t port = 21000; port < 21100 && status != SL_OK; port++) {
        CU_ASSERT_EQUAL(SlAddress_Parse("127.0.71.1", &options.listen), SL_OK);
        options.listen.port = port;
        server->port = port;
        status = SlHttp_Open(&options, &server->http, &error);
    }
    CU_ASSERT_EQUAL_FATAL(status, SL_OK);
}

static void
close_server(struct echo_server *server)
{
    SlHttp_Close(server->http);
    SlLoop_Destroy(server->loop);
}

static int
connect_client(const struct echo_server *server)
{
    struct sockaddr_in endpoint = {.sin_family = AF_INET,
                                   .sin_port = htons(server->port)};
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    inet_pton(AF_INET, "127.0.71.1", &endpoint.sin_addr);
    CU_ASSERT_EQUAL_FATAL(
        connect(descriptor, (struct sockaddr *)&endpoint, sizeof(endpoint)),
        0);
    return descriptor;
}

static void
send_text(int descriptor, const char *text)
{
    CU_ASSERT_EQUAL(send(descriptor, text, strlen(text), MSG_NOSIGNAL),
                    (ssize_t)strlen(text));
}

/// Runs the event loop a few times, so that the server handles what was sent.
static void
run_loop(struct echo_server *server)
{
    for (uint32_t i = 0; i < 5; i++) {
        SlLoop_RunOnce(server->loop, 1000);
    }
}

/// Runs the event loop until the client's socket has data. Stores the data as
/// text and returns its length: 0 when the server closed the connection, -1
/// when nothing arrived or the connection failed.
static ssize_t
receive_response(struct echo_server *server, int descriptor, char *text)
{
    ssize_t length = -1;

    for (uint32_t i = 0; i < MAX_LOOP_RUNS && length < 0; i++) {
        SlLoop_RunOnce(server->loop, 1000);
        length = recv(descriptor, text, TEXT_BYTES - 1, MSG_DONTWAIT);
    }
    text[length > 0 ? length : 0] = '\0';
    return length;
}

static void
test_responds_to_requests(void)
{
    struct echo_server server;
    char text[TEXT_BYTES];
    int descriptor;

    open_server(&server, 0, SHORT_BODY_MAX_BYTES);
    descriptor = connect_client(&server);
    send_text(descriptor, "GET /one?x=1 HTTP/1.1\r\nHost: a\r\n\r\n");
    CU_ASSERT(receive_response(&server, descriptor, text) > 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "HTTP/1.1 200 OK\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "\r\n\r\n/one"));
    CU_ASSERT_EQUAL(server.last_method, SL_HTTP_GET);
    send_text(descriptor, "PUT /two HTTP/1.1\r\nContent-Length: 5\r\n\r\nhe");
    run_loop(&server);
    CU_ASSERT_EQUAL(server.request_count, 1);
    send_text(descriptor, "llo");
    CU_ASSERT(receive_response(&server, descriptor, text) > 0);
    CU_ASSERT_EQUAL(server.last_body_bytes, 5);
    CU_ASSERT_EQUAL(server.last_method, SL_HTTP_PUT);
    send_text(descriptor, "DELETE /x HTTP/1.1\r\nConnection: close\r\n\r\n");
    CU_ASSERT(receive_response(&server, descriptor, text) > 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "Connection: close"));
    CU_ASSERT_EQUAL(receive_response(&server, descriptor, text), 0);
    close(descriptor);
    close_server(&server);
}

static void
test_responds_later(void)
{
    struct SlHttpResponse response = {.status = 307,
                                      .location = "http://10.0.0.4:8080/path"};
    struct echo_server server;
    char text[TEXT_BYTES];
    int descriptor;

    open_server(&server, 0, SHORT_BODY_MAX_BYTES);
    descriptor = connect_client(&server);
    send_text(descriptor, "GET /later HTTP/1.1\r\n\r\n");
    run_loop(&server);
    CU_ASSERT_NOT_EQUAL(server.deferred_exchange, 0);
    SlHttp_Respond(server.http, server.deferred_exchange, &response);
    CU_ASSERT(receive_response(&server, descriptor, text) > 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "HTTP/1.1 307 "));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(text, "Location: http://10.0.0.4:8080/path\r\n"));
    send_text(descriptor, "GET /later HTTP/1.1\r\n\r\n");
    run_loop(&server);
    close(descriptor);
    run_loop(&server);
    SlHttp_Respond(server.http, server.deferred_exchange, &response);
    close_server(&server);
}

static void
test_rejects_malformed_and_pipelined_requests(void)
{
    static const char *const REJECTED_REQUESTS[] = {
        "nonsense\r\n\r\n",
        "GET /x HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        "PUT /x HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "GET /later HTTP/1.1\r\n\r\nGET /two HTTP/1.1\r\n\r\n",
    };
    struct echo_server server;
    char text[TEXT_BYTES];

    open_server(&server, 0, SHORT_BODY_MAX_BYTES);
    for (size_t i = 0;
         i < sizeof(REJECTED_REQUESTS) / sizeof(REJECTED_REQUESTS[0]); i++) {
        int descriptor = connect_client(&server);

        send_text(descriptor, REJECTED_REQUESTS[i]);
        CU_ASSERT(receive_response(&server, descriptor, text) > 0);
        CU_ASSERT_PTR_NOT_NULL(strstr(text, "HTTP/1.1 400 "));
        CU_ASSERT(receive_response(&server, descriptor, text) <= 0);
        close(descriptor);
    }
    close_server(&server);
}

static void
test_rejects_too_long_path_or_body(void)
{
    struct echo_server server;
    char text[TEXT_BYTES];
    char path[400];
    int descriptor;

    open_server(&server, 0, SHORT_BODY_MAX_BYTES);
    memset(path, 'a', sizeof(path) - 1);
    path[sizeof(path) - 1] = '\0';
    descriptor = connect_client(&server);
    send_text(descriptor, "GET /");
    send_text(descriptor, path);
    send_text(descriptor, " HTTP/1.1\r\n\r\n");
    CU_ASSERT(receive_response(&server, descriptor, text) > 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "HTTP/1.1 414 "));
    close(descriptor);
    descriptor = connect_client(&server);
    send_text(descriptor, "PUT /x HTTP/1.1\r\nContent-Length: 1197\r\n\r\n");
    send_text(descriptor, path);
    send_text(descriptor, path);
    send_text(descriptor, path);
    CU_ASSERT(receive_response(&server, descriptor, text) > 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "HTTP/1.1 413 "));
    CU_ASSERT_EQUAL(server.request_count, 0);
    close(descriptor);
    close_server(&server);
}

/// A connection beyond max_connections replaces the one that is idle for
/// longest; a connection that is idle for longer than the timeout is closed.
static void
test_limits_connections(void)
{
    struct SlHttpCounters counters;
    struct echo_server server;
    int descriptors[8];
    char text[TEXT_BYTES];

    open_server(&server, 4, SHORT_BODY_MAX_BYTES);
    for (uint32_t i = 0; i < 8; i++) {
        descriptors[i] = connect_client(&server);
        run_loop(&server);
    }
    SlHttp_Counters(server.http, &counters);
    CU_ASSERT_EQUAL(counters.connections, 4);
    send_text(descriptors[7], "GET /x HTTP/1.1\r\n\r\n");
    CU_ASSERT(receive_response(&server, descriptors[7], text) > 0);
    SlHttp_CloseIdle(server.http, SlClock_Monotonic() + 60 * 1000 * 1000);
    SlHttp_Counters(server.http, &counters);
    CU_ASSERT_EQUAL(counters.connections, 0);
    for (uint32_t i = 0; i < 8; i++) {
        close(descriptors[i]);
    }
    close_server(&server);
}

/// Sends bytes that the server reads meanwhile. Returns false when the server
/// has closed the connection.
static bool
send_long(struct echo_server *server, int descriptor, const char *bytes,
          size_t length)
{
    while (length > 0) {
        ssize_t sent =
            send(descriptor, bytes, length, MSG_NOSIGNAL | MSG_DONTWAIT);

        if (sent < 0 && errno != EAGAIN) {
            return false;
        }
        bytes += sent > 0 ? sent : 0;
        length -= sent > 0 ? (size_t)sent : 0;
        SlLoop_RunOnce(server->loop, 1000);
    }
    run_loop(server);
    return true;
}

static bool
is_answered(struct echo_server *server, int descriptor, const char *request)
{
    char text[TEXT_BYTES];

    return send_long(server, descriptor, request, strlen(request)) &&
           receive_response(server, descriptor, text) > 0 &&
           strstr(text, "HTTP/1.1 200 ") != NULL;
}

/// Uploads that never end take bounded memory, and the server still answers.
static void
test_limits_buffers(void)
{
    static const char HEAD[] =
        "PUT /x HTTP/1.1\r\nContent-Length: 1048576\r\n\r\n";
    char *body = calloc(1, LONG_BODY_MAX_BYTES);
    struct SlHttpCounters counters;
    struct echo_server server;
    int descriptors[UPLOADS];
    struct cost cost;
    int last;

    open_server(&server, 0, LONG_BODY_MAX_BYTES);
    memset(body, 'x', LONG_BODY_MAX_BYTES);
    start_cost(&cost);
    for (uint32_t i = 0; i < UPLOADS; i++) {
        descriptors[i] = connect_client(&server);
        (void)send_long(&server, descriptors[i], HEAD, strlen(HEAD));
        (void)send_long(&server, descriptors[i], body,
                        LONG_BODY_MAX_BYTES - 1);
    }
    for (uint32_t i = 0; i < MAX_LOOP_RUNS; i++) {
        run_loop(&server);
    }
    last = descriptors[UPLOADS - 1];
    end_cost(&cost, "uploads", BUFFERS_MAX_KB, LONG_MAX);
    SlHttp_Counters(server.http, &counters);
    CU_ASSERT(counters.closed_for_buffers >= UPLOADS - 8);
    CU_ASSERT(is_answered(&server, last, "x"));
    CU_ASSERT_EQUAL(server.last_body_bytes, LONG_BODY_MAX_BYTES);
    CU_ASSERT(is_answered(&server, last, "GET /x HTTP/1.1\r\n\r\n"));
    for (uint32_t i = 0; i < UPLOADS; i++) {
        close(descriptors[i]);
    }
    free(body);
    close_server(&server);
}

/// None of these ends the server or keeps it from answering others.
static void
test_odd_requests(void)
{
    static const char *const ODD_REQUESTS[] = {
        "PUT /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "ffffffffffffffff\r\nx",
        "PUT /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "10000000000000000\r\nx",
        "PUT /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nx",
        "PUT /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "PUT /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
        "Content-Length: 3\r\n\r\n0\r\n\r\n",
        "PUT /x HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "PUT /x HTTP/1.1\r\nContent-Length: 1e3\r\n\r\n",
        "PUT /x HTTP/1.1\r\nContent-Length: 18446744073709551615\r\n\r\n",
        "PUT /x HTTP/1.1\r\nContent-Length: 18446744073709551616\r\n\r\n",
        "PUT /x HTTP/1.1\r\nContent-Length: 9223372036854775808\r\n\r\nx",
        "PUT /x HTTP/1.1\r\n\r\n",
        "PUT /%00%ff HTTP/1.1\r\n\r\n",
        "PUT /\xff\xc3 HTTP/1.1\r\n\r\n",
        "PUT /\x01 HTTP/1.1\r\n\r\n",
        "PUT ?#?# HTTP/1.1\r\n\r\n",
        "PUT * HTTP/1.1\r\n\r\n",
        "OPTIONS * HTTP/1.1\r\n\r\n",
        "CONNECT a:1 HTTP/1.1\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
        "GET /x HTTP/1.1\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\nPRI",
        "GET /later HTTP/1.1\r\n\r\nPUT /x HTTP/1.1\r\n",
        "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
        "GET /x HTTP/99999999999999999999.1\r\n\r\n",
        "GET /x\r\n\r\n",
        "\x16\x03\x01\x02\x00\x01",
        "\r\n\r\n\r\n\r\n",
        "",
    };
    enum {
        COUNT = sizeof(ODD_REQUESTS) / sizeof(ODD_REQUESTS[0])
    };
    struct echo_server server;
    int descriptors[COUNT + 1];
    char *head = calloc(1, LONG_BODY_MAX_BYTES);

    open_server(&server, 0, SHORT_BODY_MAX_BYTES);
    memset(head, 'x', LONG_BODY_MAX_BYTES - 1);
    memcpy(head, "GET /x HTTP/1.1\r\nX: ", 20);
    for (size_t i = 0; i <= COUNT; i++) {
        const char *odd = i < COUNT ? ODD_REQUESTS[i] : head;
        int other = connect_client(&server);

        descriptors[i] = connect_client(&server);
        (void)send_long(&server, descriptors[i], odd, strlen(odd));
        CU_ASSERT(is_answered(&server, other, "GET /x HTTP/1.1\r\n\r\n"));
        close(other);
    }
    for (size_t i = 0; i <= COUNT; i++) {
        close(descriptors[i]);
    }
    free(head);
    close_server(&server);
}

/// Records the changes that an SlOrderHandler submits and the outcomes of
/// orders that it reports.
struct recording_host {
    uint32_t submitted_count;
    struct SlChange last_change;
    uint32_t outcome_count;
    uint64_t last_exchange;
    enum SlOrderOutcome last_outcome;
};

static void
record_change(void *host, uint64_t now_us, const struct SlChange *change)
{
    struct recording_host *recorder = host;

    (void)now_us;
    recorder->submitted_count++;
    recorder->last_change = *change;
}

static void
record_outcome(void *host, uint64_t exchange, enum SlOrderOutcome outcome,
               const struct SlAddress *leader)
{
    struct recording_host *recorder = host;

    (void)leader;
    recorder->outcome_count++;
    recorder->last_exchange = exchange;
    recorder->last_outcome = outcome;
}

static const struct SlOrderHostType RECORDING_HOST_TYPE = {
    .submit_change = record_change,
    .order_ended = record_outcome,
};

static void
test_reports_the_outcome_of_each_change(void)
{
    struct SlAddress leader = {.port = 1};
    struct SlControlView view = {.config = SlConfig_Create()};
    struct SlDocumentText text = {
        .version = 3, .length_bytes = 1, .bytes = (const uint8_t *)"x"};
    struct SlResult result = {.status = SL_OK};
    struct recording_host recorder = {.submitted_count = 0};
    struct SlOrderHandler order_handler;

    SlOrderHandler_Init(&order_handler, &RECORDING_HOST_TYPE, &recorder, 7);
    SlOrderHandler_PutDocument(&order_handler, 0, &view, 1, &text);
    CU_ASSERT_EQUAL(recorder.last_outcome, SL_ORDER_NO_LEADER);
    view.leader = &leader;
    SlOrderHandler_PutDocument(&order_handler, 0, &view, 2, &text);
    CU_ASSERT_EQUAL(recorder.last_outcome, SL_ORDER_NOT_LEADER);
    CU_ASSERT_EQUAL(recorder.submitted_count, 0);

    view.is_leader = true;
    SlOrderHandler_PutDocument(&order_handler, 0, &view, 3, &text);
    CU_ASSERT_EQUAL(recorder.submitted_count, 1);
    CU_ASSERT_EQUAL(recorder.last_change.verb, SL_VERB_DOCUMENT);
    CU_ASSERT_EQUAL(recorder.outcome_count, 2);
    SlOrderHandler_OnResult(&order_handler, recorder.last_change.request + 1,
                            &result);
    CU_ASSERT_EQUAL(recorder.outcome_count, 2);
    SlOrderHandler_OnResult(&order_handler, recorder.last_change.request,
                            &result);
    CU_ASSERT_EQUAL(recorder.outcome_count, 3);
    CU_ASSERT_EQUAL(recorder.last_exchange, 3);
    CU_ASSERT_EQUAL(recorder.last_outcome, SL_ORDER_DONE);

    /* Taking a zone that does not exist out of service creates the zone
       first. */
    SlOrderHandler_HoldZone(&order_handler, 0, &view, 4, "ulaan-a", true);
    CU_ASSERT_EQUAL(recorder.submitted_count, 3);
    CU_ASSERT_EQUAL(recorder.last_change.verb, SL_VERB_HOLD);
    result.status = SL_CONFLICT;
    SlOrderHandler_OnResult(&order_handler, recorder.last_change.request - 1,
                            &result);
    CU_ASSERT_EQUAL(recorder.outcome_count, 3);
    result.status = SL_OK;
    SlOrderHandler_OnResult(&order_handler, recorder.last_change.request,
                            &result);
    CU_ASSERT_EQUAL(recorder.last_outcome, SL_ORDER_DONE);

    /* Releasing the hold of a zone that has none counts as done. */
    SlOrderHandler_HoldZone(&order_handler, 0, &view, 5, "ulaan-a", false);
    result.status = SL_NOT_FOUND;
    SlOrderHandler_OnResult(&order_handler, recorder.last_change.request,
                            &result);
    CU_ASSERT_EQUAL(recorder.last_outcome, SL_ORDER_DONE);
    CU_ASSERT_EQUAL(recorder.outcome_count, 5);

    /* When no result arrives in time, or the instance that got the change is
       no longer the leader, the outcome of the order is unknown. */
    SlOrderHandler_PutDocument(&order_handler, 0, &view, 6, &text);
    SlOrderHandler_Tick(&order_handler, 500 * 1000);
    CU_ASSERT_EQUAL(recorder.outcome_count, 5);
    SlOrderHandler_Tick(&order_handler, 1000 * 1000);
    CU_ASSERT_EQUAL(recorder.outcome_count, 6);
    CU_ASSERT_EQUAL(recorder.last_outcome, SL_ORDER_UNKNOWN_OUTCOME);
    SlOrderHandler_PutDocument(&order_handler, 0, &view, 7, &text);
    result.status = SL_NOT_LEADER;
    SlOrderHandler_OnResult(&order_handler, recorder.last_change.request,
                            &result);
    CU_ASSERT_EQUAL(recorder.last_outcome, SL_ORDER_UNKNOWN_OUTCOME);
    for (uint32_t i = 0; i <= SL_ORDERS_MAX; i++) {
        SlOrderHandler_PutDocument(&order_handler, 0, &view, 100 + i, &text);
    }
    CU_ASSERT_EQUAL(recorder.last_outcome, SL_ORDER_NO_LEADER);
    SlConfig_Destroy((struct SlConfig *)view.config);
}

/// Commits take longer than operators wait. An order that is sent again after
/// its change is committed is done at once, without a further change.
static void
test_repeated_orders_are_done(void)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlControlView view = {.config = config, .is_leader = true};
    struct SlDocumentText text = {
        .version = 3, .length_bytes = 1, .bytes = (const uint8_t *)"x"};
    struct SlObject zone = {.kind = SL_KIND_ZONE,
                            .name = "ulaan-a",
                            .holds = {.count = 1, .items = {{"operator"}}}};
    struct SlResult result = {.status = SL_OK};
    struct recording_host recorder = {.submitted_count = 0};
    struct SlOrderHandler handler;
    uint64_t late;

    SlOrderHandler_Init(&handler, &RECORDING_HOST_TYPE, &recorder, 7);
    SlOrderHandler_PutDocument(&handler, 0, &view, 1, &text);
    SlOrderHandler_HoldZone(&handler, 0, &view, 2, "ulaan-a", true);
    CU_ASSERT_EQUAL(recorder.submitted_count, 3);
    late = recorder.last_change.request;
    SlOrderHandler_Tick(&handler, 1000 * 1000);
    CU_ASSERT_EQUAL(recorder.outcome_count, 2);
    CU_ASSERT_EQUAL(recorder.last_outcome, SL_ORDER_UNKNOWN_OUTCOME);
    SlOrderHandler_Tick(&handler, 1100 * 1000);
    CU_ASSERT_EQUAL(recorder.outcome_count, 2);

    (void)SlConfig_PutDocument(
        config, (struct SlVersion){.term = 1, .index = 1}, &text);
    (void)SlConfig_PutObject(config, &zone);
    SlOrderHandler_PutDocument(&handler, 1200 * 1000, &view, 3, &text);
    CU_ASSERT_EQUAL(recorder.last_exchange, 3);
    CU_ASSERT_EQUAL(recorder.last_outcome, SL_ORDER_DONE);
    text.version = 2;
    SlOrderHandler_PutDocument(&handler, 1200 * 1000, &view, 4, &text);
    CU_ASSERT_EQUAL(recorder.last_exchange, 4);
    CU_ASSERT_EQUAL(recorder.last_outcome, SL_ORDER_DONE);
    CU_ASSERT_EQUAL(recorder.submitted_count, 3);

    /* While the hold's change may be under way, or the leader may have been
       replaced, a repeated order is a change of its own. */
    view.is_current = true;
    SlOrderHandler_HoldZone(&handler, 1200 * 1000, &view, 5, "ulaan-a", true);
    CU_ASSERT_EQUAL(recorder.submitted_count, 4);
    SlOrderHandler_OnResult(&handler, recorder.last_change.request, &result);
    SlOrderHandler_OnResult(&handler, late, &result);
    CU_ASSERT_EQUAL(recorder.outcome_count, 5);
    view.is_current = false;
    SlOrderHandler_HoldZone(&handler, 1300 * 1000, &view, 6, "ulaan-a", true);
    CU_ASSERT_EQUAL(recorder.submitted_count, 5);
    SlOrderHandler_OnResult(&handler, recorder.last_change.request, &result);

    view.is_current = true;
    SlOrderHandler_HoldZone(&handler, 1400 * 1000, &view, 7, "ulaan-a", true);
    SlOrderHandler_HoldZone(&handler, 1400 * 1000, &view, 8, "ulaan-b", false);
    CU_ASSERT_EQUAL(recorder.submitted_count, 5);
    CU_ASSERT_EQUAL(recorder.outcome_count, 8);
    CU_ASSERT_EQUAL(recorder.last_outcome, SL_ORDER_DONE);
    SlOrderHandler_HoldZone(&handler, 1400 * 1000, &view, 9, "ulaan-a", false);
    CU_ASSERT_EQUAL(recorder.submitted_count, 6);
    SlConfig_Destroy(config);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"responds to requests", test_responds_to_requests},
        {"responds later", test_responds_later},
        {"rejects malformed and pipelined requests",
         test_rejects_malformed_and_pipelined_requests},
        {"rejects a path or body that is too long",
         test_rejects_too_long_path_or_body},
        {"limits the number of connections", test_limits_connections},
        {"limits the size of buffers", test_limits_buffers},
        {"odd requests", test_odd_requests},
        {"reports the outcome of each change",
         test_reports_the_outcome_of_each_change},
        {"an order is repeated after its change is committed",
         test_repeated_orders_are_done},
    };

    return RUN_SUITE("http server and change requests", CASES);
}
