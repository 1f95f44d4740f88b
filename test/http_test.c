/* The HTTP server on loopback sockets, and the desk behind it. */

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "savoryledge/coordination/order_handler.h"
#include "savoryledge/transport/http.h"
#include "test.h"

enum {
    TEXT_BYTES = 4096,
    TURNS = 200,
};

/// Answers each request with its path, or keeps it when the path says so.
struct echo {
    struct SlHttpHandler owner;
    struct SlHttp *http;
    struct SlLoop *loop;
    uint16_t port;
    uint32_t requests;
    uint64_t kept;
    size_t body_bytes;
    enum SlHttpMethod method;
};

static void
echo_request(struct SlHttpHandler *owner, const struct SlHttpRequest *request)
{
    struct echo *echo = (struct echo *)owner;
    struct SlHttpResponse answer = {.status = 200,
                                    .content_type = "text/plain",
                                    .body = (const uint8_t *)request->path,
                                    .body_bytes = strlen(request->path)};

    echo->requests++;
    echo->body_bytes = request->body_bytes;
    echo->method = request->method;
    if (strcmp(request->path, "/later") == 0) {
        echo->kept = request->exchange;
        return;
    }
    SlHttp_Respond(echo->http, request->exchange, &answer);
}

static const struct SlHttpHandlerType ECHO = {.request = echo_request};

static void
open_echo(struct echo *echo, uint32_t max_connections)
{
    struct SlHttpOptions options = {.handler = &echo->owner,
                                    .body_bytes = 1000,
                                    .max_connections = max_connections};
    struct SlError error;
    enum SlStatus status = SL_IO;

    *echo = (struct echo){.owner = {.type = &ECHO}};
    echo->loop = SlLoop_Create();
    options.loop = echo->loop;
    for (uint16_t port = 21000; port < 21100 && status != SL_OK; port++) {
        CU_ASSERT_EQUAL(SlAddress_Parse("127.0.71.1", &options.listen), SL_OK);
        options.listen.port = port;
        echo->port = port;
        status = SlHttp_Open(&options, &echo->http, &error);
    }
    CU_ASSERT_EQUAL_FATAL(status, SL_OK);
}

static void
close_echo(struct echo *echo)
{
    SlHttp_Close(echo->http);
    SlLoop_Destroy(echo->loop);
}

static int
connect_to(const struct echo *echo)
{
    struct sockaddr_in name = {.sin_family = AF_INET,
                               .sin_port = htons(echo->port)};
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    inet_pton(AF_INET, "127.0.71.1", &name.sin_addr);
    CU_ASSERT_EQUAL_FATAL(
        connect(descriptor, (struct sockaddr *)&name, sizeof(name)), 0);
    return descriptor;
}

static void
send_text(int descriptor, const char *text)
{
    CU_ASSERT_EQUAL(send(descriptor, text, strlen(text), MSG_NOSIGNAL),
                    (ssize_t)strlen(text));
}

static void
turn(struct echo *echo)
{
    for (uint32_t i = 0; i < 5; i++) {
        SlLoop_RunOnce(echo->loop, 1000);
    }
}

/// What came within a while; the length tells the end.
static ssize_t
receive(struct echo *echo, int descriptor, char *text)
{
    ssize_t length = -1;

    for (uint32_t i = 0; i < TURNS && length < 0; i++) {
        SlLoop_RunOnce(echo->loop, 1000);
        length = recv(descriptor, text, TEXT_BYTES - 1, MSG_DONTWAIT);
    }
    text[length > 0 ? length : 0] = '\0';
    return length;
}

static void
test_answers(void)
{
    struct echo echo;
    char text[TEXT_BYTES];
    int descriptor;

    open_echo(&echo, 0);
    descriptor = connect_to(&echo);
    send_text(descriptor, "GET /one?x=1 HTTP/1.1\r\nHost: a\r\n\r\n");
    CU_ASSERT(receive(&echo, descriptor, text) > 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "HTTP/1.1 200 OK\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "\r\n\r\n/one"));
    CU_ASSERT_EQUAL(echo.method, SL_HTTP_GET);
    send_text(descriptor, "PUT /two HTTP/1.1\r\nContent-Length: 5\r\n\r\nhe");
    turn(&echo);
    CU_ASSERT_EQUAL(echo.requests, 1);
    send_text(descriptor, "llo");
    CU_ASSERT(receive(&echo, descriptor, text) > 0);
    CU_ASSERT_EQUAL(echo.body_bytes, 5);
    CU_ASSERT_EQUAL(echo.method, SL_HTTP_PUT);
    send_text(descriptor, "DELETE /x HTTP/1.1\r\nConnection: close\r\n\r\n");
    CU_ASSERT(receive(&echo, descriptor, text) > 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "Connection: close"));
    CU_ASSERT_EQUAL(receive(&echo, descriptor, text), 0);
    close(descriptor);
    close_echo(&echo);
}

static void
test_answer_later(void)
{
    struct SlHttpResponse answer = {.status = 307,
                                    .location = "http://10.0.0.4:8080/path"};
    struct echo echo;
    char text[TEXT_BYTES];
    int descriptor;

    open_echo(&echo, 0);
    descriptor = connect_to(&echo);
    send_text(descriptor, "GET /later HTTP/1.1\r\n\r\n");
    turn(&echo);
    CU_ASSERT_NOT_EQUAL(echo.kept, 0);
    SlHttp_Respond(echo.http, echo.kept, &answer);
    CU_ASSERT(receive(&echo, descriptor, text) > 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "HTTP/1.1 307 "));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(text, "Location: http://10.0.0.4:8080/path\r\n"));
    send_text(descriptor, "GET /later HTTP/1.1\r\n\r\n");
    turn(&echo);
    close(descriptor);
    turn(&echo);
    SlHttp_Respond(echo.http, echo.kept, &answer);
    close_echo(&echo);
}

static void
test_refuses(void)
{
    static const char *const BAD[] = {
        "nonsense\r\n\r\n",
        "GET /x HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        "PUT /x HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "GET /later HTTP/1.1\r\n\r\nGET /two HTTP/1.1\r\n\r\n",
    };
    struct echo echo;
    char text[TEXT_BYTES];

    open_echo(&echo, 0);
    for (size_t i = 0; i < sizeof(BAD) / sizeof(BAD[0]); i++) {
        int descriptor = connect_to(&echo);

        send_text(descriptor, BAD[i]);
        CU_ASSERT(receive(&echo, descriptor, text) > 0);
        CU_ASSERT_PTR_NOT_NULL(strstr(text, "HTTP/1.1 400 "));
        CU_ASSERT(receive(&echo, descriptor, text) <= 0);
        close(descriptor);
    }
    close_echo(&echo);
}

static void
test_too_long(void)
{
    struct echo echo;
    char text[TEXT_BYTES];
    char path[400];
    int descriptor;

    open_echo(&echo, 0);
    memset(path, 'a', sizeof(path) - 1);
    path[sizeof(path) - 1] = '\0';
    descriptor = connect_to(&echo);
    send_text(descriptor, "GET /");
    send_text(descriptor, path);
    send_text(descriptor, " HTTP/1.1\r\n\r\n");
    CU_ASSERT(receive(&echo, descriptor, text) > 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "HTTP/1.1 414 "));
    close(descriptor);
    descriptor = connect_to(&echo);
    send_text(descriptor, "PUT /x HTTP/1.1\r\nContent-Length: 1197\r\n\r\n");
    send_text(descriptor, path);
    send_text(descriptor, path);
    send_text(descriptor, path);
    CU_ASSERT(receive(&echo, descriptor, text) > 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "HTTP/1.1 413 "));
    CU_ASSERT_EQUAL(echo.requests, 0);
    close(descriptor);
    close_echo(&echo);
}

/// One connection more than fit: the one idle for longest goes.
static void
test_bounded_connections(void)
{
    struct SlHttpCounters counters;
    struct echo echo;
    int descriptors[8];
    char text[TEXT_BYTES];

    open_echo(&echo, 4);
    for (uint32_t i = 0; i < 8; i++) {
        descriptors[i] = connect_to(&echo);
        turn(&echo);
    }
    SlHttp_Counters(echo.http, &counters);
    CU_ASSERT_EQUAL(counters.connections, 4);
    send_text(descriptors[7], "GET /x HTTP/1.1\r\n\r\n");
    CU_ASSERT(receive(&echo, descriptors[7], text) > 0);
    SlHttp_CloseIdle(echo.http, SlClock_Monotonic() + 60 * 1000 * 1000);
    SlHttp_Counters(echo.http, &counters);
    CU_ASSERT_EQUAL(counters.connections, 0);
    for (uint32_t i = 0; i < 8; i++) {
        close(descriptors[i]);
    }
    close_echo(&echo);
}

/// What a desk asked for, and how its orders ended.
struct office {
    uint32_t given;
    struct SlChange last;
    uint32_t ended;
    uint64_t ticket;
    enum SlOrderOutcome outcome;
};

static void
office_give(void *host, uint64_t now_us, const struct SlChange *change)
{
    struct office *office = host;

    (void)now_us;
    office->given++;
    office->last = *change;
}

static void
office_ended(void *host, uint64_t ticket, enum SlOrderOutcome outcome,
             const struct SlAddress *leader)
{
    struct office *office = host;

    (void)leader;
    office->ended++;
    office->ticket = ticket;
    office->outcome = outcome;
}

static const struct SlOrderHostType OFFICE = {
    .submit_change = office_give,
    .order_ended = office_ended,
};

static void
test_desk(void)
{
    struct SlAddress leader = {.port = 1};
    struct SlControlView view = {.config = SlConfig_Create()};
    struct SlDocumentText text = {
        .version = 3, .length_bytes = 1, .bytes = (const uint8_t *)"x"};
    struct SlResult result = {.status = SL_OK};
    struct office office = {.given = 0};
    struct SlOrderHandler desk;

    SlOrderHandler_Init(&desk, &OFFICE, &office, 7);
    SlOrderHandler_PutDocument(&desk, 0, &view, 1, &text);
    CU_ASSERT_EQUAL(office.outcome, SL_ORDER_NO_LEADER);
    view.leader = &leader;
    SlOrderHandler_PutDocument(&desk, 0, &view, 2, &text);
    CU_ASSERT_EQUAL(office.outcome, SL_ORDER_NOT_LEADER);
    CU_ASSERT_EQUAL(office.given, 0);

    view.leads = true;
    SlOrderHandler_PutDocument(&desk, 0, &view, 3, &text);
    CU_ASSERT_EQUAL(office.given, 1);
    CU_ASSERT_EQUAL(office.last.verb, SL_VERB_DOCUMENT);
    CU_ASSERT_EQUAL(office.ended, 2);
    SlOrderHandler_OnResult(&desk, office.last.request + 1, &result);
    CU_ASSERT_EQUAL(office.ended, 2);
    SlOrderHandler_OnResult(&desk, office.last.request, &result);
    CU_ASSERT_EQUAL(office.ended, 3);
    CU_ASSERT_EQUAL(office.ticket, 3);
    CU_ASSERT_EQUAL(office.outcome, SL_ORDER_DONE);

    /* A zone that nobody has created is created first. */
    SlOrderHandler_HoldZone(&desk, 0, &view, 4, "ulaan-a", true);
    CU_ASSERT_EQUAL(office.given, 3);
    CU_ASSERT_EQUAL(office.last.verb, SL_VERB_HOLD);
    result.status = SL_CONFLICT;
    SlOrderHandler_OnResult(&desk, office.last.request - 1, &result);
    CU_ASSERT_EQUAL(office.ended, 3);
    result.status = SL_OK;
    SlOrderHandler_OnResult(&desk, office.last.request, &result);
    CU_ASSERT_EQUAL(office.outcome, SL_ORDER_DONE);

    /* A release that finds no hold has what it wants. */
    SlOrderHandler_HoldZone(&desk, 0, &view, 5, "ulaan-a", false);
    result.status = SL_NOT_FOUND;
    SlOrderHandler_OnResult(&desk, office.last.request, &result);
    CU_ASSERT_EQUAL(office.outcome, SL_ORDER_DONE);
    CU_ASSERT_EQUAL(office.ended, 5);

    /* No result in time, or a leader that lost its place: not known. */
    SlOrderHandler_PutDocument(&desk, 0, &view, 6, &text);
    SlOrderHandler_Tick(&desk, 500 * 1000);
    CU_ASSERT_EQUAL(office.ended, 5);
    SlOrderHandler_Tick(&desk, 1000 * 1000);
    CU_ASSERT_EQUAL(office.ended, 6);
    CU_ASSERT_EQUAL(office.outcome, SL_ORDER_UNKNOWN_OUTCOME);
    SlOrderHandler_PutDocument(&desk, 0, &view, 7, &text);
    result.status = SL_NOT_LEADER;
    SlOrderHandler_OnResult(&desk, office.last.request, &result);
    CU_ASSERT_EQUAL(office.outcome, SL_ORDER_UNKNOWN_OUTCOME);
    for (uint32_t i = 0; i <= SL_ORDERS_MAX; i++) {
        SlOrderHandler_PutDocument(&desk, 0, &view, 100 + i, &text);
    }
    CU_ASSERT_EQUAL(office.outcome, SL_ORDER_NO_LEADER);
    SlConfig_Destroy((struct SlConfig *)view.config);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"answers", test_answers},
        {"answer later", test_answer_later},
        {"refuses", test_refuses},
        {"too long", test_too_long},
        {"bounded connections", test_bounded_connections},
        {"desk", test_desk},
    };

    return RUN_SUITE("http and desk", CASES);
}
