#ifndef SAVORYLEDGE_EXAMPLE_STANDIN_CALLERS_H
#define SAVORYLEDGE_EXAMPLE_STANDIN_CALLERS_H

/// One caller's flow as the stand-in for callers sees it, and the counts.

#include "standin.h"

enum {
    FLOWS_MAX = 4096,
    NAMES_MAX = 64,
    SERVICES_MAX = 8,
    RESEND_US = 400 * 1000,
    RESENDS_MAX = 8,
    BACK_OFF_US = 500 * 1000,
    WINDOWS_MAX = 1200,
    WINDOW_US = 100 * 1000,
};

enum flow_state {
    FLOW_IDLE = 0,
    /// TCP: the SYN is out.
    FLOW_OPENING,
    FLOW_ASKING,
    FLOW_THINKING,
    /// TCP: the FIN is out.
    FLOW_CLOSING,
};

struct service {
    char name[STANDIN_NAME_BYTES];
    struct SlAddress address;
    bool tcp;
};

struct flow {
    enum flow_state state;
    const struct service *service;
    bool forever;
    /// Own address; TCP: made up, only inside encap.
    struct SlAddress own;
    int fd;
    /// TCP.
    uint32_t seq;
    uint32_t ack;
    /// The upstream that answered first: an index of names, -1 before that.
    int upstream;
    unsigned request;
    unsigned requests_left;
    uint64_t asked_us;
    uint64_t due_us;
    unsigned resends;
};

/// An upstream's name as callers learn it from answers.
struct known_upstream {
    char name[STANDIN_NAME_BYTES];
    char zone[STANDIN_NAME_BYTES];
    char service[STANDIN_NAME_BYTES];
};

/// What happened within 100 ms.
struct window {
    uint32_t served;
    uint32_t refused;
    uint32_t reset;
};

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
    int encap;
    int poll_fd;
    struct SlAddress fabric;
    /// The zone that an operator takes out during the run.
    const char *zone_out;
    uint32_t service_count;
    struct service services[SERVICES_MAX];
    uint32_t flow_count;
    struct flow flows[FLOWS_MAX];
    int upstream_count;
    struct known_upstream upstreams[NAMES_MAX];
    struct counts counts;
    struct window windows[WINDOWS_MAX];
};

#endif
