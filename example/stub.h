#ifndef SAVORYLEDGE_EXAMPLE_STUB_H
#define SAVORYLEDGE_EXAMPLE_STUB_H

/// Shared by the demonstration's stub programs, which simulate callers,
/// upstreams and the network fabric: clock, sockets, a seeded random
/// generator, and the text format of requests and answers.

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
    STUB_DATAGRAM_BYTES = 2048,
    STUB_TEXT_BYTES = 192,
    STUB_NAME_BYTES = 48,
    STUB_BUFFER_BYTES = 4 << 20,
};

/// A request, with the text "Q service id hold_ms". The upstream works on it
/// for hold_ms.
struct stub_request {
    char service[STUB_NAME_BYTES];
    unsigned id;
    unsigned hold_ms;
};

/// An answer, with the text "A service id upstream zone".
struct stub_answer {
    char service[STUB_NAME_BYTES];
    unsigned id;
    char upstream[STUB_NAME_BYTES];
    char zone[STUB_NAME_BYTES];
};

/// Wall-clock time in microseconds, so that times printed by different
/// programs can be compared.
static inline uint64_t
stub_now_us(void)
{
    struct timespec time;

    clock_gettime(CLOCK_REALTIME, &time);
    return (uint64_t)time.tv_sec * 1000000U + (uint64_t)time.tv_nsec / 1000U;
}

/// Returns a random number less than below, or 0 if below is 0. The generator
/// is xorshift64*; its state must not be 0.
static inline uint32_t
stub_random(uint64_t *state, uint32_t below)
{
    *state ^= *state >> 12;
    *state ^= *state << 25;
    *state ^= *state >> 27;
    if (below == 0) {
        return 0;
    }
    return (uint32_t)((*state * 0x2545f4914f6cdd1dULL) >> 33) % below;
}

/// Prints an error with the text of errno and exits with code 2.
static inline void
stub_fail(const char *action, const char *subject)
{
    fprintf(stderr, "stub: %s %s: %s\n", action, subject, strerror(errno));
    exit(2);
}

/// Parses an address; exits if it is malformed.
static inline struct SlAddress
stub_parse_address(const char *text)
{
    struct SlAddress address;

    errno = EINVAL;
    if (SlAddress_Parse(text, &address) != SL_OK) {
        stub_fail("address", text);
    }
    return address;
}

/// Opens a non-blocking IPv4 UDP socket. Binds it to bound and connects it to
/// peer, unless they are NULL. Exits on failure.
static inline int
stub_open_socket(const struct SlAddress *bound, const struct SlAddress *peer)
{
    const int buffer_bytes = STUB_BUFFER_BYTES;
    struct sockaddr_storage sock;
    char text[SL_ADDRESS_TEXT_BYTES];
    socklen_t length;
    int fd;

    fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        stub_fail("socket", "");
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    if (bound != NULL) {
        length = SlAddress_ToSockaddr(bound, &sock);
        if (bind(fd, (struct sockaddr *)&sock, length) != 0) {
            stub_fail("bind", SlAddress_Format(bound, text));
        }
    }
    if (peer != NULL) {
        length = SlAddress_ToSockaddr(peer, &sock);
        if (connect(fd, (struct sockaddr *)&sock, length) != 0) {
            stub_fail("connect", SlAddress_Format(peer, text));
        }
    }
    return fd;
}

static inline void
stub_send(int fd, const struct SlAddress *to, const void *bytes,
          size_t length_bytes)
{
    struct sockaddr_storage sock;
    socklen_t length = SlAddress_ToSockaddr(to, &sock);

    (void)sendto(fd, bytes, length_bytes, 0, (struct sockaddr *)&sock, length);
}

/// Receives a datagram. Returns its length in bytes, or -1 if none is queued
/// or on an error, with errno set.
static inline ssize_t
stub_receive(int fd, struct SlAddress *from, void *bytes, size_t size_bytes)
{
    struct sockaddr_storage sock;
    socklen_t length = sizeof(sock);
    ssize_t count;

    count =
        recvfrom(fd, bytes, size_bytes, 0, (struct sockaddr *)&sock, &length);
    if (count >= 0) {
        (void)SlAddress_FromSockaddr((struct sockaddr *)&sock, from);
    }
    return count;
}

/// Writes the text of a request. Returns its length in bytes.
static inline int
stub_format_request(char text[STUB_TEXT_BYTES], const char *service,
                    unsigned id, unsigned hold_ms)
{
    return snprintf(text, STUB_TEXT_BYTES, "Q %s %u %u", service, id, hold_ms);
}

/// Parses the text of a request; false if it is malformed.
static inline bool
stub_parse_request(const uint8_t *bytes, size_t length_bytes,
                   struct stub_request *request)
{
    char text[STUB_TEXT_BYTES];

    if (length_bytes >= sizeof(text)) {
        return false;
    }
    memcpy(text, bytes, length_bytes);
    text[length_bytes] = '\0';
    return sscanf(text, "Q %47s %u %u", request->service, &request->id,
                  &request->hold_ms) == 3;
}

/// Parses the text of an answer; false if it is malformed.
static inline bool
stub_parse_answer(const uint8_t *bytes, size_t length_bytes,
                  struct stub_answer *answer)
{
    char text[STUB_TEXT_BYTES];

    if (length_bytes >= sizeof(text)) {
        return false;
    }
    memcpy(text, bytes, length_bytes);
    text[length_bytes] = '\0';
    return sscanf(text, "A %47s %u %47s %47s", answer->service, &answer->id,
                  answer->upstream, answer->zone) == 4;
}

#endif
