#ifndef SAVORYLEDGE_COORDINATION_ENTRY_H
#define SAVORYLEDGE_COORDINATION_ENTRY_H

/// The entry receives packets of any flow from the network fabric and sends
/// each to the agent that holds the flow, or to one that can decide about it.
///
/// The routing table (state/routing.h) divides the flows of each service into
/// buckets by a hash of their key. The home of a bucket is the agent that
/// decides about the new flows of the bucket.
///
/// An entry has no state that other processes need. Its cache of the flows'
/// holders only avoids the detour through the home of a flow's bucket, and is
/// filled only from hints: messages in which an agent names the holder of a
/// flow.
///
/// Fragments of one datagram may arrive at different entries. Each fragment is
/// sent to one entry, chosen by source, destination and identification, which
/// reassembles the datagram and routes it like any other packet. A datagram is
/// dropped when a fragment is late or lost, when two entries disagree on which
/// one reassembles it (during a change of the set of entries), or when it is
/// larger than SL_PACKET_MTU_BYTES.

#include "savoryledge/coordination/core.h"
#include "savoryledge/state/routing.h"

struct SlEntry;

struct SlEntryOptions {
    struct SlCoreOptions core;
    /// Expected number of flows in the cache, at 16 bytes each; 0 selects 1 <<
    /// 20.
    uint32_t cache_flows;
    /// Size in bytes of the largest packet that fits the tunnel, 1280..9000; 0
    /// selects 1400. The MSS option of each SYN is lowered accordingly. A
    /// larger packet that must not be fragmented is answered with an ICMP
    /// error that gives this size; any other larger packet is forwarded, and
    /// the tunnel's own datagram is fragmented by IP.
    uint16_t tunnel_mtu_bytes;
};

/// Counters of an entry. Each is read separately, so they may not match each
/// other exactly.
struct SlEntryCounters {
    /// Packets received from callers.
    uint64_t packets;
    /// Packets of callers forwarded to agents.
    uint64_t packets_forwarded;
    /// Packets of upstreams sent to callers.
    uint64_t packets_returned;
    /// Packets that were forwarded to the holder found in the cache.
    uint64_t cache_hits;
    /// Packets whose destination belongs to no service.
    uint64_t no_service;
    /// Packets of a service that has no usable upstream.
    uint64_t no_upstream;
    /// Packets that could not be parsed.
    uint64_t packets_malformed;
    /// Packets that were larger than the tunnel permits.
    uint64_t packets_too_big;
    /// Packets that went to the second choice of the bucket because the first
    /// choice was suspect.
    uint64_t first_choices_skipped;
    /// Fragments received from callers and from other entries.
    uint64_t fragments;
    /// Memory allocated for the cache.
    uint64_t cache_bytes;
};

/// Creates an entry. Returns NULL when out of memory.
struct SlEntry *
SlEntry_Create(const struct SlEntryOptions *options);
/// Destroys an entry, which may be NULL. No other thread may be inside
/// SlEntry_HandleInput.
void
SlEntry_Destroy(struct SlEntry *entry);

/// Sets the routing table, which is published by RCU. The entry takes its own
/// reference. now_us: current time. Must be called by only one thread.
void
SlEntry_SetRouting(struct SlEntry *entry, struct SlSink *sink, uint64_t now_us,
                   struct SlRouting *routing);

/// Sets whether the process has lost its connection to control. While it has,
/// its datagrams carry a flag that makes agents query each other before they
/// admit a flow. May be called by any thread.
void
SlEntry_SetCutOff(struct SlEntry *entry, bool cut_off);

/// Handles the inputs CALLER_PACKET, TUNNEL (RETURN, HINT, PING, FRAGMENT) and
/// TICK; ignores all others. May be called by any number of threads, each
/// registered with liburcu and with its own sink.
void
SlEntry_HandleInput(struct SlEntry *entry, struct SlSink *sink,
                    const struct SlInput *input);

/// Copies the present values of the entry's counters.
void
SlEntry_Counters(const struct SlEntry *entry,
                 struct SlEntryCounters *counters);

#endif
