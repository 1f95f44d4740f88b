/// Fuzzes the HTTP server over a loopback connection. The first byte selects
/// the length of the parts in which the bytes are sent. A request is answered
/// with its path, or not at all if the path begins with "/later"; after each
/// input, the server still answers a valid request.

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fuzz.h"
#include "savoryledge/transport/http.h"

enum {
    FIRST_PORT = 22000,
    LAST_PORT = 22999,
    BODY_MAX_BYTES = 64,
    ANSWER_BYTES = 4096,
};

struct server {
    struct SlHttpHandler handler;
    struct SlLoop *loop;
    struct SlHttp *http;
    struct sockaddr_in address;
};

static struct server server;

static void
handle_request(struct SlHttpHandler *handler,
               const struct SlHttpRequest *request)
{
    struct SlHttpResponse response = {.status = 200,
                                      .body = (const uint8_t *)request->path,
                                      .body_bytes = strlen(request->path)};

    (void)handler;
    fuzz_require(request->body_bytes <= BODY_MAX_BYTES);
    if (strncmp(request->path, "/later", 6) != 0) {
        SlHttp_Respond(server.http, request->exchange, &response);
    }
}

static const struct SlHttpHandlerType HANDLER_TYPE = {.request =
                                                          handle_request};

static void
open_server(void)
{
    struct SlHttpOptions options = {.handler = &server.handler,
                                    .max_body_bytes = BODY_MAX_BYTES,
                                    .max_connections = 8};
    struct SlError error;
    enum SlStatus status = SL_IO;

    server.handler.type = &HANDLER_TYPE;
    server.loop = SlLoop_Create();
    options.loop = server.loop;
    fuzz_require(SlAddress_Parse("127.0.72.1", &options.listen) == SL_OK);
    for (uint16_t port = FIRST_PORT; port <= LAST_PORT && status != SL_OK;
         port++) {
        options.listen.port = port;
        status = SlHttp_Open(&options, &server.http, &error);
    }
    fuzz_require(status == SL_OK);
    server.address.sin_family = AF_INET;
    server.address.sin_port = htons(options.listen.port);
    inet_pton(AF_INET, "127.0.72.1", &server.address.sin_addr);
}

static int
connect_client(void)
{
    int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    /* Reset instead of closed, so that no port waits after the connection. */
    struct linger linger = {.l_onoff = 1};

    setsockopt(client, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    fuzz_require(connect(client, (struct sockaddr *)&server.address,
                         sizeof(server.address)) == 0);
    SlLoop_RunOnce(server.loop, 0);
    return client;
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    static const char VALID[] = "GET /x HTTP/1.1\r\n\r\n";
    char answer[ANSWER_BYTES];
    size_t part_bytes;
    int client;

    if (length_bytes == 0) {
        return 0;
    }
    if (server.http == NULL) {
        open_server();
    }
    part_bytes = 1 + (size_t)*bytes++ * 4;
    length_bytes--;
    client = connect_client();
    while (length_bytes > 0) {
        size_t part = length_bytes < part_bytes ? length_bytes : part_bytes;

        if (send(client, bytes, part, MSG_NOSIGNAL) < 0) {
            break;
        }
        bytes += part;
        length_bytes -= part;
        SlLoop_RunOnce(server.loop, 0);
    }
    close(client);
    SlLoop_RunOnce(server.loop, 0);
    client = connect_client();
    fuzz_require(send(client, VALID, sizeof(VALID) - 1, MSG_NOSIGNAL) ==
                 sizeof(VALID) - 1);
    SlLoop_RunOnce(server.loop, 0);
    fuzz_require(recv(client, answer, sizeof(answer), MSG_DONTWAIT) > 12 &&
                 memcmp(answer, "HTTP/1.1 200", 12) == 0);
    close(client);
    SlLoop_RunOnce(server.loop, 0);
    return 0;
}
