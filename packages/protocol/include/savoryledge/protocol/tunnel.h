#ifndef SAVORYLEDGE_PROTOCOL_TUNNEL_H
#define SAVORYLEDGE_PROTOCOL_TUNNEL_H

/// Datagrams of the data path, between entries and agents and between the
/// agents of one service. A datagram is a msgpack array of header fields
/// followed by an IP packet.
///
/// An agent holds a flow when its upstream carries the flow. The home of a
/// bucket is the agent that decides about the bucket's new flows
/// (state/routing.h). With a claim, an agent requests that no other agent
/// admits a flow that it is about to admit.
///
/// The transport checks authentication, sequence numbers and replay, so a core
/// receives only datagrams whose sender holds the site's key.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/address.h"
#include "savoryledge/common/status.h"
#include "savoryledge/common/version.h"

enum {
    /// Maximum number of agents that pass on one new flow.
    SL_TUNNEL_PASSED_ON_MAX = 12,
    /// Largest encoded header, without the packet.
    SL_TUNNEL_HEADER_MAX_BYTES = 512,
};

enum SlTunnelKind {
    SL_TUNNEL_NONE = 0,
    /// Entry or agent to agent: a packet to deliver, admit or pass on.
    SL_TUNNEL_FORWARD,
    /// Agent to entry: a packet to send to the caller.
    SL_TUNNEL_RETURN,
    /// Agent to entry: the node that holds the flow (0: no node holds it).
    SL_TUNNEL_HINT,
    /// Agent to the agents of the service: queries which agent holds a flow.
    SL_TUNNEL_LOCATE,
    /// The answer to SL_TUNNEL_LOCATE.
    SL_TUNNEL_LOCATED,
    /// Between the agents of a service: the sender's present load.
    SL_TUNNEL_LOAD,
    /// Agent to an entry on its return path: a probe.
    SL_TUNNEL_PING,
    /// The answer to SL_TUNNEL_PING.
    SL_TUNNEL_PONG,
    /// Entry to entry: a fragment, sent to the entry that reassembles its
    /// datagram.
    SL_TUNNEL_FRAGMENT,
    SL_TUNNEL_KIND_COUNT
};

enum SlTunnelFlag {
    /// The entry's cache named the receiver as the holder of the flow.
    SL_TUNNEL_CACHED = 1,
    /// A LOCATE has shown the sender that the receiver holds the flow.
    SL_TUNNEL_LOCATED_FLOW = 2,
    /// The entry left out the bucket's first choice because that agent was
    /// silent. The datagram contains its node id.
    SL_TUNNEL_SKIPPED = 4,
    /// LOCATE: the sender will admit the flow unless an agent holds it; the
    /// receiver must not admit it for a while.
    SL_TUNNEL_CLAIM = 8,
    /// LOCATED: the sender started too recently to know which flows its
    /// upstream holds.
    SL_TUNNEL_RECENT_BOOT = 16,
    /// FORWARD: last_seq is set.
    SL_TUNNEL_HAS_LAST_SEQ = 32,
    /// The sender has lost its connection to control, so its configuration may
    /// be out of date.
    SL_TUNNEL_CUT_OFF = 64,
};

enum SlLocateAnswer {
    SL_LOCATE_NO = 0,
    SL_LOCATE_YES = 1,
    /// The sender does not hold the flow; it passed the flow on to holder.
    SL_LOCATE_PASSED_ON = 2,
    /// The sender is about to admit the flow itself.
    SL_LOCATE_CLAIMED = 3,
};

/// One datagram. Fields that a kind does not use are zero.
struct SlTunnel {
    enum SlTunnelKind kind;
    /// SlNode_Id of the sending process.
    uint64_t sender;
    /// Configuration version of the sender. A receiver with an older version
    /// detects by it that its own configuration is out of date.
    struct SlVersion version;
    uint32_t flags;
    uint64_t service_id;
    /// Set in HINT, LOCATE and LOCATED; in FORWARD the packet identifies the
    /// flow.
    struct SlFlowKey flow;
    /// FORWARD: node id of the entry that received the packet from the
    /// network.
    uint64_t origin_entry;
    /// FORWARD: node ids of the agents that passed the new flow on, oldest
    /// first.
    uint32_t passed_on_count;
    uint64_t passed_on_by[SL_TUNNEL_PASSED_ON_MAX];
    /// FORWARD: node id of the bucket's home before the bucket last moved; 0
    /// when there was none.
    uint64_t previous_home;
    /// FORWARD: node id of the bucket's first choice when the entry left that
    /// agent out because it was silent; 0 otherwise.
    uint64_t skipped_choice;
    /// FORWARD with SL_TUNNEL_HAS_LAST_SEQ: highest sequence number of an
    /// earlier, ended flow with the same key.
    uint32_t last_seq;
    /// HINT, LOCATED: node id of the flow's holder.
    uint64_t holder;
    enum SlLocateAnswer answer;
    /// LOAD and every datagram between agents: the sender's open flows, its
    /// capacity in flows, its exchanges in progress, and its free capacity.
    uint32_t load_flows;
    uint32_t load_capacity;
    uint32_t load_exchanges;
    uint32_t load_free_capacity;
    /// PING: time of sending by the sender's clock, microseconds. PONG: the
    /// value from the PING.
    uint64_t ping_us;
    /// FORWARD, RETURN, FRAGMENT: the IP packet or fragment, borrowed.
    const uint8_t *packet;
    uint32_t packet_bytes;
};

/// Encodes the header and the packet. length_bytes: on entry the capacity of
/// out, on return the encoded length.
/// Errors: SL_TOO_LONG.
enum SlStatus
SlTunnel_Encode(const struct SlTunnel *tunnel, uint8_t *out,
                uint32_t *length_bytes);

/// Decodes a datagram; tunnel->packet points into bytes.
/// Errors: SL_MALFORMED (any deviation from the format; tunnel is then
/// unspecified).
enum SlStatus
SlTunnel_Decode(const uint8_t *bytes, uint32_t length_bytes,
                struct SlTunnel *tunnel);

/// Returns the lower-case name of a kind, or "unknown".
const char *
SlTunnelKind_Name(enum SlTunnelKind kind);

#endif
