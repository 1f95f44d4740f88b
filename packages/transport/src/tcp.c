#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tcp.h"

enum {
    /// Max number of connections that may wait for accept(2).
    BACKLOG = 512,
};

static int
open_tcp_socket(const struct SlAddress *address)
{
    int family = SlAddress_IsIpv4(address) ? AF_INET : AF_INET6;

    return socket(family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
}

static void
disable_nagle(int descriptor)
{
    int enabled = 1;

    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled,
               sizeof(enabled));
}

int
tcp_listen(const struct SlAddress *address, struct SlAddress *bound)
{
    struct sockaddr_storage endpoint;
    socklen_t length = SlAddress_ToSockaddr(address, &endpoint);
    int descriptor = open_tcp_socket(address);
    int enabled = 1;

    if (descriptor < 0) {
        return -1;
    }
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled,
               sizeof(enabled));
    if (bind(descriptor, (struct sockaddr *)&endpoint, length) != 0 ||
        listen(descriptor, BACKLOG) != 0) {
        int error = errno;

        close(descriptor);
        errno = error;
        return -1;
    }
    length = sizeof(endpoint);
    if (bound != NULL &&
        getsockname(descriptor, (struct sockaddr *)&endpoint, &length) == 0) {
        SlAddress_FromSockaddr((struct sockaddr *)&endpoint, bound);
    }
    return descriptor;
}

int
tcp_accept(int listener, struct SlAddress *remote)
{
    struct sockaddr_storage endpoint;
    socklen_t length = sizeof(endpoint);
    int descriptor = accept4(listener, (struct sockaddr *)&endpoint, &length,
                             SOCK_CLOEXEC | SOCK_NONBLOCK);

    if (descriptor >= 0) {
        SlAddress_FromSockaddr((struct sockaddr *)&endpoint, remote);
        disable_nagle(descriptor);
    }
    return descriptor;
}

int
tcp_connect(const struct SlAddress *address)
{
    struct sockaddr_storage endpoint;
    socklen_t length = SlAddress_ToSockaddr(address, &endpoint);
    int descriptor = open_tcp_socket(address);

    if (descriptor < 0) {
        return -1;
    }
    disable_nagle(descriptor);
    if (connect(descriptor, (struct sockaddr *)&endpoint, length) != 0 &&
        errno != EINPROGRESS) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

enum SlStatus
tcp_get_connect_result(int descriptor)
{
    int error = 0;
    socklen_t length = sizeof(error);

    if (getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0 ||
        error != 0) {
        return SL_IO;
    }
    return SL_OK;
}
