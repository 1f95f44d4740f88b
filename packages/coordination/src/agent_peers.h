#ifndef SAVORYLEDGE_COORDINATION_AGENT_PEERS_H
#define SAVORYLEDGE_COORDINATION_AGENT_PEERS_H

/// The other agents of this agent's services, and the load that they report.

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/coordination/agent.h"

enum {
    /// Intervals of the load reports to peers: the first while the load
    /// changes, the second otherwise.
    AGENT_LOAD_REPORT_US = 500 * 1000,
    AGENT_LOAD_REPORT_MAX_US = 1000 * 1000,
    AGENT_PEERS_MAX = 512,
    AGENT_HOLDERS_MAX = 64,
};

/// Another agent of a service, and the load that it last reported.
struct agent_peer {
    uint64_t node_id;
    /// A service that both agents serve.
    uint64_t service_id;
    uint32_t flows;
    uint32_t capacity;
    uint32_t free_flows;
    /// Time of the peer's latest load report; 0 when there was none.
    uint64_t last_received_us;
};

/// An agent that still holds flows of a service that it no longer serves.
struct agent_holder {
    uint64_t service_id;
    uint64_t node_id;
    uint64_t last_received_us;
};

struct agent_peers {
    pthread_mutex_t lock;
    uint32_t count;
    struct agent_peer items[AGENT_PEERS_MAX];
    uint32_t holder_count;
    struct agent_holder holders[AGENT_HOLDERS_MAX];
    uint64_t load_checked_us;
    /// Load that was last reported to the peers, and when.
    uint64_t reported_us;
    uint32_t reported_flows;
    uint32_t reported_free_flows;
    /// Flows passed on in the current window to agents that reported no free
    /// capacity.
    uint64_t full_attempts_us;
    uint32_t full_attempts;
};

struct agent_call;
struct agent_packet;

bool
agent_peers_init(struct agent_peers *peers);
void
agent_peers_update_members(struct SlAgent *agent,
                           const struct SlRouting *before,
                           const struct SlRouting *routing, uint64_t now_us);
/// Records the load that a datagram from another agent carries.
void
agent_peers_record_load(const struct agent_call *call,
                        const struct SlTunnel *tunnel);
/// Returns the microseconds since the peer's last load report; UINT64_MAX when
/// there was none.
uint64_t
agent_peer_silent_us(const struct agent_call *call, uint64_t node_id);
/// Returns the node id of the best agent to pass a new flow on to; 0 if no
/// agent can take the flow. balance: chooses only an agent with free capacity
/// and a clearly lower load.
uint64_t
agent_peers_choose_peer(const struct agent_call *call,
                        const struct agent_packet *p, bool balance);
/// Lists up to max_nodes agents that hold flows of the service without being
/// its members. Returns their number.
uint32_t
agent_peers_list_holders(const struct agent_call *call, uint64_t service_id,
                         uint64_t *nodes, uint32_t max_nodes);
void
agent_peers_tick(const struct agent_call *call);

#endif
