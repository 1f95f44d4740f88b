#ifndef SAVORYLEDGE_COORDINATION_AGENT_RETURN_PATH_H
#define SAVORYLEDGE_COORDINATION_AGENT_RETURN_PATH_H

/// The entries through which answers leave.

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/coordination/agent.h"

enum {
    AGENT_PING_US = 250 * 1000,
};

enum {
    AGENT_PATHS = 2,
};

/// The entries through which answers leave.
struct agent_paths {
    pthread_mutex_t lock;
    uint32_t count;
    uint64_t nodes[AGENT_PATHS];
    uint64_t pong_us[AGENT_PATHS];
    uint64_t pinged_us[AGENT_PATHS];
    uint64_t chosen_us;
    uint64_t ping_us;
    uint64_t current;
    /// Ranks passed over because they were silent.
    uint32_t offset;
};

struct agent_call;

bool
agent_paths_init(struct agent_paths *paths);
/// Sends a packet to the caller through an entry. last_entry: a hint, 0 for
/// none.
void
agent_return(const struct agent_call *call, uint64_t service_id,
             uint64_t last_entry, const uint8_t *bytes, uint32_t length_bytes);
void
agent_paths_pong(const struct agent_call *call, const struct SlTunnel *tunnel);
void
agent_paths_tick(const struct agent_call *call);

#endif
