#ifndef SAVORYLEDGE_COORDINATION_AGENT_FRAGMENT_H
#define SAVORYLEDGE_COORDINATION_AGENT_FRAGMENT_H

/// Fragments of the UDP datagrams that the upstream sends.

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/packet.h"
#include "savoryledge/state/flow_table.h"

enum {
    AGENT_FRAGMENTED_MAX = 64,
};

/// A datagram of the upstream whose first fragment was returned to its caller.
struct agent_returned_datagram {
    struct SlFlowKey flow;
    uint32_t id;
    uint64_t service_id;
    /// Entry that last forwarded a packet of the flow.
    uint64_t entry;
    /// Time of the first fragment; 0: the slot is free.
    uint64_t seen_us;
};

/// The most recent datagrams whose first fragment was returned, in a ring
/// buffer.
struct agent_fragments {
    pthread_mutex_t lock;
    uint32_t next;
    struct agent_returned_datagram items[AGENT_FRAGMENTED_MAX];
};

struct agent_call;

bool
agent_fragments_init(struct agent_fragments *fragments);
/// Changes the parsed first fragment of a UDP datagram into a UDP packet with
/// ports; its payload is the fragment's part only. Returns false for any other
/// fragment.
bool
agent_fragment_parse_first(struct SlPacket *packet);
/// Records a first fragment that is being returned for an open flow; does
/// nothing for an unfragmented packet.
void
agent_fragments_record_first(const struct agent_call *call,
                             const struct SlPacket *packet,
                             const struct SlFlow *flow);
/// Returns a later fragment to the caller of the datagram's first fragment;
/// drops it if the first fragment is not known.
void
agent_fragments_return_later(const struct agent_call *call,
                             const struct SlPacket *fragment);

#endif
