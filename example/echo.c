/// An upstream for the tour: answers each datagram with its own name and what
/// it got. Arguments: address and name. Ends after ten minutes, or by signal.

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "savoryledge/common/address.h"

enum {
    DATAGRAM_BYTES = 1200,
    LIFE_S = 600,
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
    char question[DATAGRAM_BYTES];
    char answer[DATAGRAM_BYTES * 2];
    struct sockaddr_storage caller;

    for (;;) {
        socklen_t length = sizeof(caller);
        ssize_t got = recvfrom(descriptor, question, sizeof(question) - 1, 0,
                               (struct sockaddr *)&caller, &length);

        if (got < 0) {
            continue;
        }
        question[got] = '\0';
        snprintf(answer, sizeof(answer), "%s got: %s", name, question);
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
        fprintf(stderr, "echo: cannot listen at %s\n", argv[1]);
        return 1;
    }
    alarm(LIFE_S);
    serve(descriptor, argv[2]);
    return 0;
}
