#ifndef SAVORYLEDGE_COORDINATION_ENTRY_INTERNAL_H
#define SAVORYLEDGE_COORDINATION_ENTRY_INTERNAL_H

/// The entry's inside, shared by its files.

#include <pthread.h>
#include <stdatomic.h>

#include "agent_health.h"
#include "flow_cache.h"
#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/entry.h"
#include "savoryledge/state/reassembly.h"

enum {
    ENTRY_COUNTER_SHARDS = 16,
    /// Fragmented datagrams held at once.
    ENTRY_DATAGRAMS = 256,
};

enum entry_counter {
    COUNT_PACKETS,
    /// Those that were not cached.
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

/// Counters that one thread mostly has for itself.
struct counter_shard {
    _Alignas(64) _Atomic uint64_t values[ENTRY_COUNTERS];
};

/// A routing table in use with what the entry derives from it. Published by
/// RCU.
struct entry_view {
    struct SlRouting *routing;
    struct agent_healths *healths;
    /// Entries that gather fragments.
    uint32_t gatherer_count;
    const struct SlRouteNode **gatherers;
};

struct SlEntry {
    struct SlEntryOptions options;
    uint64_t node_id;
    struct flow_cache *cache;
    _Atomic(struct entry_view *) view;
    /// Stands for the grace periods of view.
    char grace;
    atomic_bool cut_off;
    pthread_mutex_t reassembly_lock;
    struct SlReassembly *reassembly;
    /// Failures reported in the present second; the rest is only counted.
    _Atomic uint64_t failure_second;
    _Atomic uint32_t failures;
    struct counter_shard counters[ENTRY_COUNTER_SHARDS];
};

/// One input being handled, inside a read section. view is NULL before the
/// first routing table.
struct entry_call {
    struct SlEntry *entry;
    struct SlSink *sink;
    struct entry_view *view;
    uint64_t now_us;
    struct counter_shard *counters;
};

static inline void
entry_count(const struct entry_call *call, enum entry_counter counter)
{
    atomic_fetch_add_explicit(&call->counters->values[counter], 1,
                              memory_order_relaxed);
}

/// Gives an event with time and version filled in.
void
entry_event(const struct entry_call *call, struct SlEvent event);
/// The same for ROUTE_FAILED, with a bound per second.
void
entry_fail(const struct entry_call *call, struct SlEvent event);

/// A datagram with the common fields filled in.
struct SlTunnel
entry_tunnel(const struct entry_call *call, enum SlTunnelKind kind);

/// entry_route.c: sends a whole packet of a caller on its way.
/// gathered: it came as fragments, so its size was the sender's choice.
void
entry_route(const struct entry_call *call, const struct SlPacket *packet,
            bool gathered);
/// The key under which the cache has a flow.
uint64_t
entry_cache_hash(const struct SlEntry *entry, uint64_t service_id,
                 const struct SlFlowKey *flow);

/// entry_fragment.c: a fragment from the fabric, or from another entry.
void
entry_handle_fragment(const struct entry_call *call,
                      const struct SlPacket *fragment, bool from_entry);
void
entry_expire_fragments(const struct entry_call *call);

/// entry_size.c: answers a packet that does not fit the tunnel; false when it
/// fits or may be fragmented.
bool
entry_refuse_too_big(const struct entry_call *call,
                     const struct SlPacket *packet);
/// The packet with its MSS option lowered, if it is a SYN that needs it: then
/// the copy is filled and returned, else bytes.
const uint8_t *
entry_clamp_mss(const struct SlEntry *entry, const uint8_t *bytes,
                uint32_t length_bytes, uint8_t copy[SL_PACKET_MTU_BYTES]);

#endif
