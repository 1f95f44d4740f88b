#ifndef SAVORYLEDGE_COORDINATION_AGENT_RETURN_PATH_H
#define SAVORYLEDGE_COORDINATION_AGENT_RETURN_PATH_H

/// Return path: the entries through which the upstream's answers are sent to
/// callers.

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

/// The entries selected for the return path, and the state of their probes
/// (pings).
struct agent_paths {
    pthread_mutex_t lock;
    /// Number of selected entries.
    uint32_t count;
    /// Node ids of the selected entries.
    uint64_t nodes[AGENT_PATHS];
    /// Times of the latest answer to a ping, and of the latest ping, of each
    /// entry.
    uint64_t pong_us[AGENT_PATHS];
    uint64_t pinged_us[AGENT_PATHS];
    /// Time at which the entries were selected.
    uint64_t chosen_us;
    uint64_t ping_us;
    /// Node id of the entry that answers are sent through now.
    uint64_t current;
    /// Number of ranked entries skipped because they did not answer.
    uint32_t rank_offset;
};

struct agent_call;

bool
agent_paths_init(struct agent_paths *paths);
/// Sends a packet to the caller through an entry. last_entry: node id of the
/// entry to use when no probed entry answers; 0 when no such entry is known.
void
agent_return_packet(const struct agent_call *call, uint64_t service_id,
                    uint64_t last_entry, const uint8_t *bytes,
                    uint32_t length_bytes);
void
agent_paths_handle_pong(const struct agent_call *call,
                        const struct SlTunnel *tunnel);
void
agent_paths_tick(const struct agent_call *call);

#endif
