/* Whether somebody listens at an address. */

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "listen_probe.h"
#include "test.h"

enum {
    LOOKS = 1000,
    LOOK_MS = 2,
};

/// Binds a free port of 127.0.0.1; returns the descriptor.
static int
bind_port(struct SlAddress *address)
{
    struct sockaddr_in any = {.sin_family = AF_INET,
                              .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(any);
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);

    CU_ASSERT_FATAL(descriptor >= 0);
    CU_ASSERT_EQUAL_FATAL(
        bind(descriptor, (struct sockaddr *)&any, sizeof(any)), 0);
    CU_ASSERT_EQUAL_FATAL(
        getsockname(descriptor, (struct sockaddr *)&any, &length), 0);
    CU_ASSERT_EQUAL_FATAL(
        SlAddress_FromSockaddr((struct sockaddr *)&any, address), SL_OK);
    return descriptor;
}

static enum SlListenState
look(const struct SlAddress *address)
{
    struct SlListenProbe probe = {.descriptor = -1};
    enum SlListenState state = SL_LISTEN_UNKNOWN;

    SlListenProbe_Begin(&probe, address);
    for (int i = 0; i < LOOKS && state == SL_LISTEN_UNKNOWN; i++) {
        state = SlListenProbe_Poll(&probe);
        poll(NULL, 0, LOOK_MS);
    }
    SlListenProbe_Close(&probe);
    CU_ASSERT_EQUAL(probe.descriptor, -1);
    return state;
}

static void
test_probe(void)
{
    struct SlAddress address;
    int descriptor = bind_port(&address);

    CU_ASSERT_EQUAL(look(&address), SL_LISTEN_REFUSED);
    CU_ASSERT_EQUAL(listen(descriptor, 4), 0);
    CU_ASSERT_EQUAL(look(&address), SL_LISTEN_POSSIBLE);
    close(descriptor);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"whether somebody listens", test_probe},
    };

    return RUN_SUITE("listen probe", CASES);
}
