/// Blocking HTTP calls and the operator.

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <arpa/inet.h>

#include "site.h"

enum {
    CALL_TIMEOUT_S = 1,
    ORDER_MS = 10000,
    RETRY_MS = 100,
    REDIRECTS_MAX = 2,
};

static bool
send_all(int fd, const char *bytes, size_t length)
{
    while (length > 0) {
        ssize_t sent = send(fd, bytes, length, MSG_NOSIGNAL);

        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        length -= (size_t)sent;
    }
    return true;
}

static void
copy_location(const char *head, char location[PATH_BYTES])
{
    const char *value = strstr(head, "\r\nLocation: ");

    location[0] = '\0';
    if (value != NULL) {
        sscanf(value + 12, "%255[^\r]", location);
    }
}

/// Reads until the response is whole or the peer closes.
static int
read_response(int fd, char answer[BODY_BYTES], char location[PATH_BYTES])
{
    static _Thread_local char text[1 << 18];
    size_t length = 0;
    const char *body = NULL;
    const char *field;
    int status = 0;

    while (length + 1 < sizeof(text)) {
        ssize_t got = recv(fd, text + length, sizeof(text) - 1 - length, 0);

        if (got <= 0) {
            break;
        }
        length += (size_t)got;
        text[length] = '\0';
        body = strstr(text, "\r\n\r\n");
        field = strstr(text, "Content-Length: ");
        if (body != NULL && field != NULL &&
            length >=
                (size_t)(body + 4 - text) + strtoul(field + 16, NULL, 10)) {
            break;
        }
    }
    if (body == NULL || sscanf(text, "HTTP/1.1 %d", &status) != 1) {
        return 0;
    }
    if (answer != NULL) {
        snprintf(answer, BODY_BYTES, "%s", body + 4);
    }
    if (location != NULL) {
        copy_location(text, location);
    }
    return status;
}

int
http_call(const struct sockaddr_in *to, const char *method, const char *path,
          const char *body, char answer[BODY_BYTES], char location[PATH_BYTES])
{
    struct timeval timeout = {.tv_sec = CALL_TIMEOUT_S};
    char host[INET_ADDRSTRLEN];
    char head[2 * PATH_BYTES];
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int status = 0;

    inet_ntop(AF_INET, &to->sin_addr, host, sizeof(host));
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    snprintf(head, sizeof(head),
             "%s %s HTTP/1.1\r\nHost: %s:%d\r\n"
             "Content-Type: application/json\r\nContent-Length: %zu\r\n"
             "Connection: close\r\n\r\n",
             method, path, host, ntohs(to->sin_port),
             body != NULL ? strlen(body) : 0);
    if (connect(fd, (const struct sockaddr *)to, sizeof(*to)) == 0 &&
        send_all(fd, head, strlen(head)) &&
        (body == NULL || send_all(fd, body, strlen(body)))) {
        status = read_response(fd, answer, location);
    }
    close(fd);
    return status;
}

/// Makes a call and follows redirects.
static int
call_control(int number, const char *method, const char *path,
             const char *body)
{
    struct sockaddr_in to = site_address(0, number, CONTROL_PORT);
    char location[PATH_BYTES];
    char ip[PATH_BYTES];
    int port;
    int status = http_call(&to, method, path, body, NULL, location);

    for (int i = 0; status == 307 && i < REDIRECTS_MAX; i++) {
        if (sscanf(location, "http://%255[0-9.]:%d", ip, &port) != 2) {
            return 0;
        }
        inet_pton(AF_INET, ip, &to.sin_addr);
        to.sin_port = htons((uint16_t)port);
        status = http_call(&to, method, path, body, NULL, location);
    }
    return status;
}

static bool
is_clear(int status)
{
    return (status >= 200 && status < 300) ||
           (status >= 400 && status < 500 && status != 408 && status != 429);
}

int
operator_call(const char *method, const char *path, const char *body)
{
    uint64_t since_ms = now_ms();

    for (int i = 0; now_ms() - since_ms < ORDER_MS; i++) {
        int status = call_control(i % 3 + 1, method, path, body);

        if (is_clear(status)) {
            site_record("operator: %s %s -> %d%s%s", method, path, status,
                        body != NULL ? " " : "", body != NULL ? body : "");
            return status;
        }
        sleep_ms(RETRY_MS);
    }
    site_record("operator: %s %s -> no clear answer", method, path);
    return 0;
}

int
operator_find_leader(void)
{
    static const char PATH[] = "/api/evacuations/zone-none";
    uint64_t since_ms = now_ms();

    for (int i = 0; now_ms() - since_ms < ORDER_MS; i++) {
        int number = i % 3 + 1;
        struct sockaddr_in to = site_address(0, number, CONTROL_PORT);
        int status = http_call(&to, "DELETE", PATH, NULL, NULL, NULL);

        if (status == 200) {
            site_record("control instance %d leads", number);
            return number;
        }
    }
    return 0;
}
