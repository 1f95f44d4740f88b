#ifndef SAVORYLEDGE_COORDINATION_RELAY_BROADCAST_H
#define SAVORYLEDGE_COORDINATION_RELAY_BROADCAST_H

/// A broadcast query: an agent asks all other agents, on behalf of an entry,
/// which of many flows they hold. It costs the entry two frames however many
/// agents and flows there are, because agents have the link and processor
/// capacity that a small entry lacks.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/protocol/relay.h"

#include "node_set.h"
#include "relay_evidence.h"

/// Another agent in the configuration. Arrays are sorted by node_id.
struct SlBroadcastPeer {
    uint64_t node_id;
    struct SlAddress address;
    struct SlPeerEvidence evidence;
};

/// An agent that is queried in a broadcast query.
struct SlBroadcastTarget {
    uint64_t node_id;
    struct SlAddress address;
    /// When the last query was sent to the agent; 0 before the first query.
    uint64_t sent_us;
    bool answered;
    /// The agent has been out of touch for so long that no answer means "no".
    bool out_of_touch;
    /// The answer is not awaited.
    bool silent;
};

/// Zero-initialise before first use.
struct SlRelayBroadcast {
    /// Number of the query; 0 when this element is unused.
    uint32_t number;
    /// The entry on whose behalf the query runs.
    struct SlAddress entry;
    /// The queried flows, with the number that this agent assigned to the
    /// query.
    struct SlRelayQueryList queries;
    /// The claims received so far, in which agents report that they hold or
    /// may hold a flow, as they will be sent to the entry, with the number
    /// that the entry assigned to the query.
    struct SlRelayQueryList claims;
    /// Flows of which the holder itself has said that it holds them.
    uint32_t certain;
    /// The entry can be told once that an agent may hold any flow.
    bool reads_unsure;
    /// Agents that may hold any flow.
    struct SlNodeSet unsure;
    /// The agents to query, sorted by node_id. Those before next_target have
    /// been queried in the current pass; retries counts the passes completed
    /// before it.
    uint32_t target_count;
    uint32_t target_capacity;
    struct SlBroadcastTarget *targets;
    uint32_t next_target;
    uint32_t retries;
    /// Targets whose answer is missing: of those that are not out of touch,
    /// and of those that are and whose answer is awaited.
    uint32_t missing;
    uint32_t missing_out_of_touch;
    /// When the last query frame was sent.
    uint64_t sent_us;
};

/// Starts a broadcast query to all peers. life: what is known of the life of
/// flows. Errors: SL_NO_MEMORY.
enum SlStatus
SlRelayBroadcast_Begin(struct SlRelayBroadcast *broadcast, uint64_t now_us,
                       uint32_t number, const struct SlFlowLife *life,
                       const struct SlBroadcastPeer *peers,
                       uint32_t peer_count);
/// Records a peer's answer. Returns false when the peer was not queried or has
/// already answered. took_us: time in microseconds since the last query to it.
bool
SlRelayBroadcast_RecordAnswer(struct SlRelayBroadcast *broadcast,
                              uint64_t now_us, uint64_t node_id,
                              uint64_t *took_us);
/// Records the claim of an agent that it holds a flow or may hold it, or that
/// it keeps the flow for another one (claim->holder, otherwise 0). A certain
/// claim replaces all uncertain ones for the flow, and one of the holder
/// itself that of a keeper.
void
SlRelayBroadcast_RecordClaim(struct SlRelayBroadcast *broadcast,
                             uint64_t node_id,
                             const struct SlRelayQueryItem *claim);
/// Records that an agent may hold any flow of which it has not claimed to hold
/// it.
void
SlRelayBroadcast_RecordUnsure(struct SlRelayBroadcast *broadcast,
                              uint64_t node_id);
void
SlRelayBroadcast_Release(struct SlRelayBroadcast *broadcast);

#endif
