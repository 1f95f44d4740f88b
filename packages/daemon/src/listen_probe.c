#include "listen_probe.h"

#include <errno.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

static void
settle(struct SlListenProbe *probe, int error)
{
    probe->state =
        error == ECONNREFUSED ? SL_LISTEN_REFUSED : SL_LISTEN_POSSIBLE;
    SlListenProbe_Close(probe);
}

void
SlListenProbe_Begin(struct SlListenProbe *probe, const struct SlAddress *to)
{
    struct sockaddr_storage address;
    socklen_t length = SlAddress_ToSockaddr(to, &address);

    probe->state = SL_LISTEN_UNKNOWN;
    probe->descriptor = socket(address.ss_family,
                               SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (probe->descriptor < 0) {
        settle(probe, errno);
        return;
    }
    if (connect(probe->descriptor, (struct sockaddr *)&address, length) != 0) {
        if (errno != EINPROGRESS) {
            settle(probe, errno);
        }
        return;
    }
    settle(probe, 0);
}

enum SlListenState
SlListenProbe_Poll(struct SlListenProbe *probe)
{
    struct pollfd ready = {.fd = probe->descriptor, .events = POLLOUT};
    int error = 0;
    socklen_t length = sizeof(error);

    if (probe->descriptor >= 0 && poll(&ready, 1, 0) > 0) {
        if (getsockopt(probe->descriptor, SOL_SOCKET, SO_ERROR, &error,
                       &length) != 0) {
            error = errno;
        }
        settle(probe, error);
    }
    return probe->state;
}

void
SlListenProbe_Close(struct SlListenProbe *probe)
{
    if (probe->descriptor >= 0) {
        close(probe->descriptor);
        probe->descriptor = -1;
    }
}
