/// HTTP calls of the platform, the endpoints and the operator.

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "site.h"

enum {
    CALL_BYTES = 16 * 1024,
    CALL_TIMEOUT_MS = 1000,
    RETRY_MS = 100,
    REDIRECTS_MAX = 2,
};

static int
connect_to(const char *ip, uint32_t port, uint32_t timeout_ms)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    struct timeval limit = {.tv_sec = timeout_ms / 1000,
                            .tv_usec = (timeout_ms % 1000) * 1000};
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    inet_pton(AF_INET, ip, &to.sin_addr);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    if (connect(descriptor, (struct sockaddr *)&to, sizeof(to)) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

/// Reads until the head and the body that it announces are complete.
static void
read_answer(int descriptor, char *answer, size_t answer_bytes)
{
    size_t length = 0;

    for (;;) {
        ssize_t got =
            recv(descriptor, answer + length, answer_bytes - 1 - length, 0);
        const char *head_end;
        const char *field;

        if (got <= 0) {
            break;
        }
        length += (size_t)got;
        answer[length] = '\0';
        head_end = strstr(answer, "\r\n\r\n");
        field = strstr(answer, "Content-Length: ");
        if (head_end != NULL &&
            (field == NULL || length >= (size_t)(head_end + 4 - answer) +
                                            strtoul(field + 16, NULL, 10))) {
            break;
        }
    }
    answer[length] = '\0';
}

int
http_call(const char *ip, uint32_t port, const char *method, const char *path,
          const char *body, uint32_t timeout_ms, char *answer,
          size_t answer_bytes)
{
    char call[CALL_BYTES];
    int length = snprintf(call, sizeof(call),
                          "%s %s HTTP/1.1\r\nHost: %s:%u\r\n"
                          "Content-Type: application/json\r\n"
                          "Content-Length: %zu\r\n\r\n%s",
                          method, path, ip, port, strlen(body), body);
    int descriptor = connect_to(ip, port, timeout_ms);

    answer[0] = '\0';
    if (descriptor < 0) {
        return 0;
    }
    if (send(descriptor, call, (size_t)length, MSG_NOSIGNAL) == length) {
        read_answer(descriptor, answer, answer_bytes);
    }
    close(descriptor);
    return strncmp(answer, "HTTP/1.1 ", 9) == 0 ? atoi(answer + 9) : 0;
}

/// Calls one control instance, and follows its redirects.
static int
call_and_follow(const char *ip, const char *method, const char *path,
                const char *body)
{
    char answer[CALL_BYTES];
    char target[64];
    int status = 0;

    snprintf(target, sizeof(target), "%s", ip);
    for (int i = 0; i <= REDIRECTS_MAX; i++) {
        const char *location;

        status = http_call(target, PORT_CONTROL, method, path, body,
                           CALL_TIMEOUT_MS, answer, sizeof(answer));
        location = strstr(answer, "Location: http://");
        if (status != 307 || location == NULL ||
            sscanf(location + 17, "%63[0-9.]", target) != 1) {
            break;
        }
    }
    return status;
}

int
operator_call(struct site *site, const char *method, const char *path,
              const char *body, uint32_t limit_ms)
{
    uint64_t end_ms = now_ms() + limit_ms;
    uint32_t tries = 0;
    uint32_t next = 0;
    int status = 0;

    while (now_ms() < end_ms) {
        const struct machine *machine =
            &site->machines[next++ % site->machine_count];

        if (machine->control == 0) {
            continue;
        }
        tries++;
        status = call_and_follow(machine->ip, method, path, body);
        if (status / 100 == 2 || status == 400 || status == 409 ||
            status == 412 || status == 413 || status == 422) {
            break;
        }
        pump(site, RETRY_MS);
    }
    note(site, "operator: %s %s -> %d after %u tries", method, path, status,
         tries);
    return status;
}

int
put_config(struct site *site, uint32_t version, uint32_t limit_ms)
{
    char host[INET_ADDRSTRLEN];
    char body[2048];
    struct in_addr service = {.s_addr = htonl(site->service_ip)};

    inet_ntop(AF_INET, &service, host, sizeof(host));
    snprintf(body, sizeof(body),
             "{\"version\":%u,\"routes\":[{\"name\":\"r-redeem\","
             "\"host\":\"%s\",\"path_prefix\":\"/%u/\","
             "\"type\":\"non_idempotent\",\"timeout_ms\":1200,\"slo_ms\":120,"
             "\"priority\":2,\"service\":\"workroom\",\"max_attempts\":2}],"
             "\"services\":[{\"name\":\"workroom\","
             "\"health_path\":\"/health\",\"max_conns\":2000,"
             "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":%.1f,"
             "\"cold_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,"
             "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
             "\"idle_timeout_ms\":15000}}",
             version, host, ROUTE_PORT, COLD_START_MS / 1000.0);
    return operator_call(site, "PUT", "/api/config", body, limit_ms);
}
