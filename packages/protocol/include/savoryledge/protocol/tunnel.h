#ifndef SAVORYLEDGE_PROTOCOL_TUNNEL_H
#define SAVORYLEDGE_PROTOCOL_TUNNEL_H

/// Datagrams of the data path, between entries and agents and between the
/// agents of one service. A msgpack array of header fields, then the packet.
///
/// Authentication, sequence numbers and replay are the transport's work: a
/// core sees only datagrams whose sender holds the site's key.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/address.h"
#include "savoryledge/common/status.h"
#include "savoryledge/common/version.h"

enum {
    SL_TUNNEL_PASSED_ON_MAX = 12,
    /// Largest encoded header, without the packet.
    SL_TUNNEL_HEADER_MAX_BYTES = 512,
};

enum SlTunnelKind {
    SL_TUNNEL_NONE = 0,
    /// Entry or agent to agent: deliver, admit or pass on this packet.
    SL_TUNNEL_FORWARD,
    /// Agent to entry: send this packet to the caller.
    SL_TUNNEL_RETURN,
    /// Agent to entry: holder has the flow (node 0: nobody has it now).
    SL_TUNNEL_HINT,
    /// Agent to agents of the service: who has the flow?
    SL_TUNNEL_LOCATE,
    /// The answer to SL_TUNNEL_LOCATE.
    SL_TUNNEL_LOCATED,
    /// Between the agents of a service: present load.
    SL_TUNNEL_LOAD,
    /// Agent to the entries on its return path, and the echo.
    SL_TUNNEL_PING,
    SL_TUNNEL_PONG,
    /// Entry to entry: a fragment, for the entry that gathers its datagram.
    SL_TUNNEL_FRAGMENT,
    SL_TUNNEL_KIND_COUNT
};

enum SlTunnelFlag {
    /// The entry's cache named the receiver as holder of the flow.
    SL_TUNNEL_CACHED = 1,
    /// The sender knows that the receiver holds the flow (after a locate).
    SL_TUNNEL_LOCATED_FLOW = 2,
    /// The entry left out a silent first choice: it stands in skipped.
    SL_TUNNEL_SKIPPED = 4,
    /// LOCATE: the asker will admit the flow unless somebody has it; the
    /// receiver must not admit it for a while.
    SL_TUNNEL_CLAIM = 8,
    /// LOCATED: the answering process started too recently to know.
    SL_TUNNEL_RECENT_BOOT = 16,
    /// FORWARD: the holder of the flow's last use is in last_seq.
    SL_TUNNEL_HAS_LAST_SEQ = 32,
    /// The sender's lease is over: its version may be old.
    SL_TUNNEL_CUT_OFF = 64,
};

enum SlLocateAnswer {
    SL_LOCATE_NO = 0,
    SL_LOCATE_YES = 1,
    /// Not here, but this process passed it to holder.
    SL_LOCATE_PASSED_ON = 2,
    /// This process is about to admit the flow itself.
    SL_LOCATE_CLAIMED = 3,
};

/// One datagram. Fields that a kind does not use are zero.
struct SlTunnel {
    enum SlTunnelKind kind;
    /// SlNode_Id of the sending process.
    uint64_t sender;
    /// Configuration version at the sender, so that a receiver behind it
    /// learns that it is.
    struct SlVersion version;
    uint32_t flags;
    uint64_t service_id;
    /// HINT, LOCATE, LOCATED; in FORWARD the packet tells.
    struct SlFlowKey flow;
    /// FORWARD: the entry that took the packet from the fabric.
    uint64_t origin_entry;
    /// FORWARD: agents that passed the new flow on, oldest first.
    uint32_t passed_on_count;
    uint64_t passed_on_by[SL_TUNNEL_PASSED_ON_MAX];
    /// FORWARD: the home before the bucket's last move (0: none), and a
    /// first choice left out because it was silent (0: none).
    uint64_t previous_home;
    uint64_t skipped_choice;
    /// FORWARD with SL_TUNNEL_HAS_LAST_SEQ: highest sequence number of an
    /// ended flow with the same key.
    uint32_t last_seq;
    /// HINT, LOCATED: who has the flow.
    uint64_t holder;
    enum SlLocateAnswer answer;
    /// LOAD and every datagram between agents: the sender's present load.
    uint32_t load_flows;
    uint32_t load_capacity;
    uint32_t load_exchanges;
    uint32_t load_free_capacity;
    /// PING, PONG: the pinger's time, echoed.
    uint64_t ping_us;
    /// FORWARD, RETURN, FRAGMENT: the IP packet, borrowed.
    const uint8_t *packet;
    uint32_t packet_bytes;
};

/// Encodes header and packet. length_bytes: room in, length out.
/// Errors: SL_TOO_LONG.
enum SlStatus
SlTunnel_Encode(const struct SlTunnel *tunnel, uint8_t *out,
                uint32_t *length_bytes);

/// Decodes; tunnel->packet points into bytes.
/// Errors: SL_MALFORMED (any deviation; tunnel is then unspecified).
enum SlStatus
SlTunnel_Decode(const uint8_t *bytes, uint32_t length_bytes,
                struct SlTunnel *tunnel);

const char *
SlTunnelKind_Name(enum SlTunnelKind kind);

#endif
