#ifndef SAVORYLEDGE_REPLAY_PAYLOAD_H
#define SAVORYLEDGE_REPLAY_PAYLOAD_H

/// The payload of requests and answers.

#include <stdint.h>

struct SlSimPayload {
    uint32_t flow;
    uint32_t generation;
    uint32_t request;
    uint32_t service;
};

#endif
