#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tcp.h"

enum {
    BACKLOG = 512,
};

static int
open_socket(const struct SlAddress *address)
{
    int family = SlAddress_IsIpv4(address) ? AF_INET : AF_INET6;

    return socket(family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
}

static void
set_no_delay(int descriptor)
{
    int one = 1;

    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

int
tcp_listen(const struct SlAddress *address, struct SlAddress *bound)
{
    struct sockaddr_storage name;
    socklen_t length = SlAddress_ToSockaddr(address, &name);
    int descriptor = open_socket(address);
    int one = 1;

    if (descriptor < 0) {
        return -1;
    }
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(descriptor, (struct sockaddr *)&name, length) != 0 ||
        listen(descriptor, BACKLOG) != 0) {
        int cause = errno;

        close(descriptor);
        errno = cause;
        return -1;
    }
    length = sizeof(name);
    if (bound != NULL &&
        getsockname(descriptor, (struct sockaddr *)&name, &length) == 0) {
        SlAddress_FromSockaddr((struct sockaddr *)&name, bound);
    }
    return descriptor;
}

int
tcp_accept(int listener, struct SlAddress *remote)
{
    struct sockaddr_storage name;
    socklen_t length = sizeof(name);
    int descriptor = accept4(listener, (struct sockaddr *)&name, &length,
                             SOCK_CLOEXEC | SOCK_NONBLOCK);

    if (descriptor >= 0) {
        SlAddress_FromSockaddr((struct sockaddr *)&name, remote);
        set_no_delay(descriptor);
    }
    return descriptor;
}

int
tcp_connect(const struct SlAddress *address)
{
    struct sockaddr_storage name;
    socklen_t length = SlAddress_ToSockaddr(address, &name);
    int descriptor = open_socket(address);

    if (descriptor < 0) {
        return -1;
    }
    set_no_delay(descriptor);
    if (connect(descriptor, (struct sockaddr *)&name, length) != 0 &&
        errno != EINPROGRESS) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

enum SlStatus
tcp_connected(int descriptor)
{
    int cause = 0;
    socklen_t length = sizeof(cause);

    if (getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &cause, &length) != 0 ||
        cause != 0) {
        return SL_IO;
    }
    return SL_OK;
}
