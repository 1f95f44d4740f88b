#ifndef SAVORYLEDGE_REPLAY_PAYLOAD_H
#define SAVORYLEDGE_REPLAY_PAYLOAD_H

/// What requests and answers carry.

#include <stdint.h>

struct SlWorldPayload {
    uint32_t flow;
    uint32_t generation;
    uint32_t request;
    uint32_t service;
};

#endif
