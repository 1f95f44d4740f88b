#ifndef SAVORYLEDGE_EXAMPLE_STANDIN_H
#define SAVORYLEDGE_EXAMPLE_STANDIN_H

/// What the stand-in programs of the demonstration share: the clock,
/// sockets, a seeded generator, and the text of requests and answers.

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "savoryledge/common/address.h"
#include "savoryledge/common/packet.h"

enum {
    STANDIN_DATAGRAM_BYTES = 2048,
    STANDIN_TEXT_BYTES = 192,
    STANDIN_NAME_BYTES = 48,
    STANDIN_BUFFER_BYTES = 4 << 20,
};

/// One request, as its text says: "Q service id hold_ms". The answer is
/// "A service id upstream zone".
struct standin_request {
    char service[STANDIN_NAME_BYTES];
    unsigned id;
    unsigned hold_ms;
};

struct standin_answer {
    char service[STANDIN_NAME_BYTES];
    unsigned id;
    char upstream[STANDIN_NAME_BYTES];
    char zone[STANDIN_NAME_BYTES];
};

/// Wall-clock time, so that the programs' figures can be compared.
static inline uint64_t
standin_now_us(void)
{
    struct timespec time;

    clock_gettime(CLOCK_REALTIME, &time);
    return (uint64_t)time.tv_sec * 1000000U + (uint64_t)time.tv_nsec / 1000U;
}

/// A small seeded generator (xorshift64*); state must not be 0. 0 below 0.
static inline uint32_t
standin_random(uint64_t *state, uint32_t below)
{
    *state ^= *state >> 12;
    *state ^= *state << 25;
    *state ^= *state >> 27;
    if (below == 0) {
        return 0;
    }
    return (uint32_t)((*state * 0x2545f4914f6cdd1dULL) >> 33) % below;
}

/// Ends the program: the stand-ins have nobody to report to.
static inline void
standin_fail(const char *what, const char *about)
{
    fprintf(stderr, "standin: %s %s: %s\n", what, about, strerror(errno));
    exit(2);
}

static inline struct SlAddress
standin_address(const char *text)
{
    struct SlAddress address;

    errno = EINVAL;
    if (SlAddress_Parse(text, &address) != SL_OK) {
        standin_fail("address", text);
    }
    return address;
}

/// A non-blocking UDP socket, bound and connected where not NULL.
static inline int
standin_socket(const struct SlAddress *bound, const struct SlAddress *peer)
{
    const int buffer_bytes = STANDIN_BUFFER_BYTES;
    struct sockaddr_storage sock;
    char text[SL_ADDRESS_TEXT_BYTES];
    socklen_t length;
    int fd;

    fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        standin_fail("socket", "");
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    if (bound != NULL) {
        length = SlAddress_ToSockaddr(bound, &sock);
        if (bind(fd, (struct sockaddr *)&sock, length) != 0) {
            standin_fail("bind", SlAddress_Format(bound, text));
        }
    }
    if (peer != NULL) {
        length = SlAddress_ToSockaddr(peer, &sock);
        if (connect(fd, (struct sockaddr *)&sock, length) != 0) {
            standin_fail("connect", SlAddress_Format(peer, text));
        }
    }
    return fd;
}

static inline void
standin_send(int fd, const struct SlAddress *to, const void *bytes,
             size_t length_bytes)
{
    struct sockaddr_storage sock;
    socklen_t length = SlAddress_ToSockaddr(to, &sock);

    (void)sendto(fd, bytes, length_bytes, 0, (struct sockaddr *)&sock, length);
}

/// Length, or -1 when nothing waits.
static inline ssize_t
standin_receive(int fd, struct SlAddress *from, void *bytes, size_t room)
{
    struct sockaddr_storage sock;
    socklen_t length = sizeof(sock);
    ssize_t count;

    count = recvfrom(fd, bytes, room, 0, (struct sockaddr *)&sock, &length);
    if (count >= 0) {
        (void)SlAddress_FromSockaddr((struct sockaddr *)&sock, from);
    }
    return count;
}

static inline int
standin_write_request(char text[STANDIN_TEXT_BYTES], const char *service,
                      unsigned id, unsigned hold_ms)
{
    return snprintf(text, STANDIN_TEXT_BYTES, "Q %s %u %u", service, id,
                    hold_ms);
}

static inline bool
standin_read_request(const uint8_t *bytes, size_t length_bytes,
                     struct standin_request *request)
{
    char text[STANDIN_TEXT_BYTES];

    if (length_bytes >= sizeof(text)) {
        return false;
    }
    memcpy(text, bytes, length_bytes);
    text[length_bytes] = '\0';
    return sscanf(text, "Q %47s %u %u", request->service, &request->id,
                  &request->hold_ms) == 3;
}

static inline bool
standin_read_answer(const uint8_t *bytes, size_t length_bytes,
                    struct standin_answer *answer)
{
    char text[STANDIN_TEXT_BYTES];

    if (length_bytes >= sizeof(text)) {
        return false;
    }
    memcpy(text, bytes, length_bytes);
    text[length_bytes] = '\0';
    return sscanf(text, "A %47s %u %47s %47s", answer->service, &answer->id,
                  answer->upstream, answer->zone) == 4;
}

#endif
