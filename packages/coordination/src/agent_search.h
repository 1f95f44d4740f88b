#ifndef SAVORYLEDGE_COORDINATION_AGENT_SEARCH_H
#define SAVORYLEDGE_COORDINATION_AGENT_SEARCH_H

/// Storage of the searches in progress and of the packets queued in them. The
/// decisions are made in agent_locate.c.

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/coordination/agent.h"
#include "savoryledge/state/flow_table.h"

enum {
    AGENT_SEARCHES_MAX = 1024,
    /// Maximum number of searches of each kind, with a claim and without, that
    /// are started per window.
    AGENT_SEARCHES_PER_WINDOW = 200,
    AGENT_SEARCH_WINDOW_US = 100 * 1000,
    AGENT_SEARCH_PACKETS = 4,
    AGENT_SEARCH_BYTES_MAX = 4 * 1024 * 1024,
    AGENT_SEARCH_QUERIES_MAX = 80,
};

/// A packet queued until a search ends.
struct agent_queued_packet {
    struct SlTunnel tunnel;
    uint8_t *bytes;
};

/// One search for a flow's holder. A search with a claim also makes the other
/// agents promise not to admit the flow.
struct agent_search {
    /// The search claims the flow.
    bool claim;
    /// The flow was probably open at this agent before the agent restarted.
    bool was_open_here;
    /// This agent's upstream was probed.
    bool upstream_probed;
    /// The probed upstream answered that it does not have the flow.
    bool upstream_denied;
    /// TCP sequence number of the first queued packet.
    uint32_t seq;
    uint64_t service_id;
    uint64_t started_us;
    /// Number of the current round of queries.
    uint32_t round;
    /// The search waits for the answers of probed upstreams; number of such
    /// waits so far.
    bool awaiting_probes;
    uint32_t probe_waits;
    uint32_t queried_count;
    uint64_t queried[AGENT_SEARCH_QUERIES_MAX];
    bool answered[AGENT_SEARCH_QUERIES_MAX];
    /// The node is queried, but has been silent for so long that the search
    /// does not wait for its answer.
    bool presumed_dead[AGENT_SEARCH_QUERIES_MAX];
    /// The node answered that it has just probed its upstream.
    bool probing[AGENT_SEARCH_QUERIES_MAX];
    /// Node id of the agent that the flow was passed on to, according to an
    /// agent's answer; 0 when no answer names one.
    uint64_t passed_to;
    bool has_last_seq;
    uint32_t last_seq;
    uint32_t queued_count;
    struct agent_queued_packet queued_packets[AGENT_SEARCH_PACKETS];
};

/// All searches. A flow table entry of kind PENDING has its search's slot
/// number in its member holder. A search is used with its flow's shard locked;
/// the lock guards the slots and the counts.
struct agent_searches {
    pthread_mutex_t lock;
    uint32_t queued_bytes;
    /// Start of the current window, and searches started in it: [0] without
    /// and [1] with a claim.
    uint64_t window_us;
    uint32_t started_in_window[2];
    uint32_t free_count;
    uint16_t free_slots[AGENT_SEARCHES_MAX];
    struct agent_search *slots[AGENT_SEARCHES_MAX];
};

bool
agent_searches_init(struct agent_searches *searches);
void
agent_searches_release(struct agent_searches *searches);
/// Starts a search. Returns NULL when too many searches are in progress or
/// memory is exhausted.
struct agent_search *
agent_search_start(struct agent_searches *searches, bool claim,
                   uint64_t now_us, uint64_t *slot);
struct agent_search *
agent_search_find(struct agent_searches *searches, const struct SlFlow *flow);
/// Removes a search from its slot. The caller owns it and releases it.
struct agent_search *
agent_search_detach(struct agent_searches *searches,
                    const struct SlFlow *flow);
/// Frees a search, which may be NULL, and its queued packets.
void
agent_search_release(struct agent_search *search);
/// Reserves bytes for a queued packet. Returns false when the limit for all
/// searches is reached.
bool
agent_search_reserve_bytes(struct agent_searches *searches,
                           uint32_t length_bytes);
void
agent_search_unreserve_bytes(struct agent_searches *searches,
                             uint32_t length_bytes);

#endif
