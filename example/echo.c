/// An upstream for the tour: answers each datagram with its own name and the
/// datagram's text. Arguments: the address to listen on, and the name. Exits
/// after ten minutes or on a signal.

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "savoryledge/common/address.h"

enum {
    DATAGRAM_BYTES = 1200,
    LIFETIME_S = 600,
};

static int
open_socket(const char *text)
{
    struct SlAddress address;
    struct sockaddr_storage local;
    socklen_t length;
    int descriptor;

    if (SlAddress_Parse(text, &address) != SL_OK) {
        return -1;
    }
    length = SlAddress_ToSockaddr(&address, &local);
    descriptor = socket(local.ss_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (descriptor >= 0 &&
        bind(descriptor, (const struct sockaddr *)&local, length) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

static void
serve(int descriptor, const char *name)
{
    char request[DATAGRAM_BYTES];
    char answer[DATAGRAM_BYTES * 2];
    struct sockaddr_storage caller;

    for (;;) {
        socklen_t length = sizeof(caller);
        ssize_t length_bytes =
            recvfrom(descriptor, request, sizeof(request) - 1, 0,
                     (struct sockaddr *)&caller, &length);

        if (length_bytes < 0) {
            continue;
        }
        request[length_bytes] = '\0';
        snprintf(answer, sizeof(answer), "%s got: %s", name, request);
        (void)sendto(descriptor, answer, strlen(answer), 0,
                     (const struct sockaddr *)&caller, length);
    }
}

int
main(int argc, char **argv)
{
    int descriptor;

    if (argc != 3) {
        fprintf(stderr, "usage: echo ADDRESS NAME\n");
        return 2;
    }
    descriptor = open_socket(argv[1]);
    if (descriptor < 0) {
        fprintf(stderr, "echo: cannot bind to %s\n", argv[1]);
        return 1;
    }
    alarm(LIFETIME_S);
    serve(descriptor, argv[2]);
    return 0;
}
