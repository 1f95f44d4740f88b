#ifndef SAVORYLEDGE_COORDINATION_ENTRY_H
#define SAVORYLEDGE_COORDINATION_ENTRY_H

/// The entry: takes any packet of any flow from the fabric and sends it to
/// the agent that holds the flow, or that should decide about it.
///
/// It keeps no state that others need. Its cache only saves the detour over
/// a bucket's home, and is filled by agents' hints alone.
///
/// Fragments of one datagram may reach different entries: each is handed to
/// one entry, chosen by source, destination and identification, which puts
/// the datagram together and then treats it as any packet. A datagram is
/// given up when a fragment is late or lost, when two entries disagree on who
/// gathers (during a change of the set of entries), or when it is larger than
/// SL_PACKET_MTU_BYTES.

#include "savoryledge/coordination/core.h"
#include "savoryledge/state/routing.h"

struct SlEntry;

struct SlEntryOptions {
    struct SlCoreOptions core;
    /// Flows that the cache is meant for, at 16 bytes each; 0 takes 1 << 20.
    uint32_t cache_flows;
    /// Largest packet that fits the tunnel. The MSS option of each SYN is
    /// lowered to it; a larger packet that must not be fragmented is answered
    /// with the size; others go through, and the tunnel's own datagram is
    /// fragmented below. Bytes, 1280..9000; 0 takes 1400.
    uint16_t tunnel_mtu_bytes;
};

/// Counters; read at any time, each on its own.
struct SlEntryCounters {
    uint64_t packets;
    uint64_t forwarded;
    uint64_t returned;
    uint64_t cache_hits;
    uint64_t no_service;
    uint64_t no_upstream;
    uint64_t malformed;
    uint64_t too_big;
    uint64_t skipped;
    uint64_t fragments;
    uint64_t cache_bytes;
};

/// NULL without memory.
struct SlEntry *
SlEntry_Create(const struct SlEntryOptions *options);
/// NULL is allowed. No other thread may be inside SlEntry_Handle.
void
SlEntry_Destroy(struct SlEntry *entry);

/// Takes a new routing table into use (by RCU; takes its own reference).
/// now_us: present time. Only one thread may call it.
void
SlEntry_SetRouting(struct SlEntry *entry, struct SlSink *sink, uint64_t now_us,
                   struct SlRouting *routing);

/// Tells whether the process is cut off from control: then its datagrams say
/// so, and agents ask each other before they admit what it sends. Any thread.
void
SlEntry_SetCutOff(struct SlEntry *entry, bool cut_off);

/// Handles CALLER_PACKET, TUNNEL (RETURN, HINT, PING, FRAGMENT) and TICK;
/// ignores the rest. Any number of threads, each registered with liburcu, each
/// with its own sink.
void
SlEntry_Handle(struct SlEntry *entry, struct SlSink *sink,
               const struct SlInput *input);

void
SlEntry_Counters(const struct SlEntry *entry,
                 struct SlEntryCounters *counters);

#endif
