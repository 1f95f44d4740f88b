#ifndef SAVORYLEDGE_COORDINATION_AGENT_UPSTREAM_H
#define SAVORYLEDGE_COORDINATION_AGENT_UPSTREAM_H

/// Handles packets from the upstream.

#include <stdint.h>

struct agent_call;

void
agent_handle_upstream(const struct agent_call *call, const uint8_t *bytes,
                      uint32_t length_bytes);

#endif
