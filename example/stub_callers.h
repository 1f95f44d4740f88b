#ifndef SAVORYLEDGE_EXAMPLE_STUB_CALLERS_H
#define SAVORYLEDGE_EXAMPLE_STUB_CALLERS_H

/// State of the stub that simulates callers: flows, services and counters.

#include "stub.h"

enum {
    FLOWS_MAX = 4096,
    UPSTREAMS_MAX = 64,
    SERVICES_MAX = 8,
    RESEND_US = 400 * 1000,
    RESENDS_MAX = 8,
    BACKOFF_US = 500 * 1000,
    WINDOWS_MAX = 1200,
    WINDOW_US = 100 * 1000,
};

enum flow_state {
    FLOW_IDLE = 0,
    /// TCP: a SYN was sent and is not answered yet.
    FLOW_OPENING,
    /// A request was sent and is not answered yet.
    FLOW_REQUESTING,
    /// Pause between an answer and the next request.
    FLOW_PAUSED,
    /// TCP: a FIN was sent and is not answered yet.
    FLOW_CLOSING,
};

/// A service to which callers open flows.
struct service {
    char name[STUB_NAME_BYTES];
    struct SlAddress address;
    bool is_tcp;
};

struct flow {
    enum flow_state state;
    const struct service *service;
    /// A status feed, which sends requests without end.
    bool is_endless;
    /// The caller's address. For TCP it is synthetic and occurs only in encap
    /// packets.
    struct SlAddress address;
    int fd;
    /// Next TCP sequence and acknowledgement numbers.
    uint32_t seq;
    uint32_t ack;
    /// Index in callers.upstreams of the upstream that answered first; -1
    /// before the first answer.
    int upstream;
    unsigned request;
    unsigned requests_left;
    uint64_t request_us;
    uint64_t due_us;
    unsigned resends;
};

/// An upstream as known from its answers.
struct known_upstream {
    char name[STUB_NAME_BYTES];
    char zone[STUB_NAME_BYTES];
    char service[STUB_NAME_BYTES];
};

/// Events within a window of 100 ms.
struct window {
    uint32_t served;
    uint32_t refused;
    uint32_t reset;
};

/// Totals of the run, printed under these names.
struct counts {
    uint64_t flows;
    uint64_t broken;
    uint64_t given_up;
    uint64_t refused;
    uint64_t silent;
    uint64_t moved;
    uint64_t answers;
    uint64_t resends;
    uint64_t foreign;
};

struct callers {
    uint64_t random;
    uint64_t start_us;
    int encap_fd;
    int poll_fd;
    struct SlAddress fabric;
    /// The zone that the operator evacuates during the run.
    const char *evacuated_zone;
    uint32_t service_count;
    struct service services[SERVICES_MAX];
    uint32_t flow_count;
    struct flow flows[FLOWS_MAX];
    int upstream_count;
    struct known_upstream upstreams[UPSTREAMS_MAX];
    struct counts counts;
    struct window windows[WINDOWS_MAX];
};

#endif
