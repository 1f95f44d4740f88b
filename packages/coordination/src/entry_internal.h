#ifndef SAVORYLEDGE_COORDINATION_ENTRY_INTERNAL_H
#define SAVORYLEDGE_COORDINATION_ENTRY_INTERNAL_H

/// Internal definitions that the entry's source files share.

#include <pthread.h>
#include <stdatomic.h>

#include "agent_health.h"
#include "flow_cache.h"
#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/entry.h"
#include "savoryledge/state/reassembly.h"

enum {
    ENTRY_COUNTER_SHARDS = 16,
    /// Max number of datagrams in reassembly.
    ENTRY_DATAGRAMS_MAX = 256,
};

enum entry_counter {
    COUNT_PACKETS,
    /// Packets forwarded without a cached holder.
    COUNT_FORWARDED,
    COUNT_RETURNED,
    COUNT_CACHE_HITS,
    COUNT_NO_SERVICE,
    COUNT_NO_UPSTREAM,
    COUNT_MALFORMED,
    COUNT_TOO_BIG,
    COUNT_SKIPPED,
    COUNT_FRAGMENTS,
    ENTRY_COUNTERS
};

/// A set of counters that is mostly updated by one thread.
struct counter_shard {
    _Alignas(64) _Atomic uint64_t values[ENTRY_COUNTERS];
};

/// The current routing table and the data that the entry derives from it.
/// Published by RCU.
struct entry_view {
    struct SlRouting *routing;
    struct agent_health_table *health_table;
    /// Entries that reassemble fragmented datagrams.
    uint32_t reassembler_count;
    const struct SlRouteNode **reassemblers;
};

struct SlEntry {
    struct SlEntryOptions options;
    uint64_t node_id;
    struct flow_cache *cache;
    _Atomic(struct entry_view *) view;
    /// Address that represents the RCU grace periods of view; see rcu_guard.h.
    char rcu_sync;
    atomic_bool cut_off;
    pthread_mutex_t reassembly_lock;
    struct SlReassembly *reassembly;
    /// Failures logged in the current second. Those above the limit are only
    /// counted.
    _Atomic uint64_t failure_window_s;
    _Atomic uint32_t window_failures;
    struct counter_shard counters[ENTRY_COUNTER_SHARDS];
};

/// Context of the input that is being handled, inside an RCU read section.
/// view is NULL until the first routing table is set.
struct entry_call {
    struct SlEntry *entry;
    struct SlSink *sink;
    struct entry_view *view;
    uint64_t now_us;
    struct counter_shard *counters;
};

static inline void
entry_increment_counter(const struct entry_call *call,
                        enum entry_counter counter)
{
    atomic_fetch_add_explicit(&call->counters->values[counter], 1,
                              memory_order_relaxed);
}

/// Logs an event. The time and version are filled in here.
void
entry_log_event(const struct entry_call *call, struct SlEvent event);
/// Logs an event of kind ROUTE_FAILED, at most FAILURES_PER_SECOND of them per
/// second.
void
entry_report_failure(const struct entry_call *call, struct SlEvent event);

/// Returns a datagram with the common fields filled in.
struct SlTunnel
entry_make_tunnel(const struct entry_call *call, enum SlTunnelKind kind);

/// entry_route.c: routes a caller's unfragmented packet to an agent.
/// reassembled: the packet arrived as fragments, so its size was its sender's
/// choice and is not checked against the tunnel's.
void
entry_route_packet(const struct entry_call *call,
                   const struct SlPacket *packet, bool reassembled);
/// Returns the hash under which the cache stores a flow of a service.
uint64_t
entry_cache_hash(const struct SlEntry *entry, uint64_t service_id,
                 const struct SlFlowKey *flow);

/// entry_fragment.c: handles a fragment from the fabric, or from another
/// entry.
void
entry_handle_fragment(const struct entry_call *call,
                      const struct SlPacket *fragment, bool from_entry);
void
entry_expire_fragments(const struct entry_call *call);

/// entry_size.c: answers a packet that does not fit the tunnel and must not be
/// fragmented. Returns false for every other packet.
bool
entry_refuse_too_big(const struct entry_call *call,
                     const struct SlPacket *packet);
/// Lowers the MSS option of a SYN to what fits the tunnel. Returns copy,
/// filled with the changed packet, or bytes if the packet is not a SYN.
const uint8_t *
entry_clamp_mss(const struct SlEntry *entry, const uint8_t *bytes,
                uint32_t length_bytes, uint8_t copy[SL_PACKET_MTU_BYTES]);

#endif
