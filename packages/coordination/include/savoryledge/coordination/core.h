#ifndef SAVORYLEDGE_COORDINATION_CORE_H
#define SAVORYLEDGE_COORDINATION_CORE_H

/// What goes into the cores and what comes out.
///
/// A core reads no clock, opens nothing and draws no random numbers: time
/// and messages come in as inputs, a seed comes with its options, and all
/// that it wants done goes to a sink. The same inputs give the same outputs.

#include "savoryledge/common/event.h"
#include "savoryledge/protocol/message.h"
#include "savoryledge/protocol/tunnel.h"

enum SlInputKind {
    SL_INPUT_NONE = 0,
    /// Time went on. Given at least every SL_TICK_US.
    SL_INPUT_TICK,
    /// An IP packet from the fabric (entry) or from the upstream (agent).
    SL_INPUT_CALLER_PACKET,
    SL_INPUT_UPSTREAM_PACKET,
    /// An authentic datagram from another process.
    SL_INPUT_TUNNEL,
    /// A link to another process came up (its HELLO was read) or ended.
    SL_INPUT_LINK_UP,
    SL_INPUT_LINK_DOWN,
    /// A message on a link.
    SL_INPUT_MESSAGE,
    /// All inputs that were waiting have been given: write and send what was
    /// gathered up. Control syncs its log here.
    SL_INPUT_BATCH_END,
    /// A planned stop begins.
    SL_INPUT_STOP,
    SL_INPUT_KIND_COUNT
};

enum {
    SL_TICK_US = 20 * 1000,
};

/// The process at the other end of a link, from its HELLO.
struct SlPeer {
    uint64_t node_id;
    char name[SL_NAME_BYTES];
    uint32_t roles;
    uint64_t boot;
};

/// One input. All pointers are borrowed for the length of the call.
struct SlInput {
    enum SlInputKind kind;
    /// Monotonic time, microseconds; never goes back.
    uint64_t now_us;
    /// Wall-clock time, microseconds; may jump. Only noted, never compared.
    uint64_t wall_us;
    /// LINK_UP, LINK_DOWN, MESSAGE: number of the link, never reused.
    uint64_t link;
    union {
        struct {
            const uint8_t *bytes;
            uint32_t length_bytes;
        } packet;
        const struct SlTunnel *tunnel;
        const struct SlPeer *peer;
        const struct SlMessage *message;
    };
};

struct SlSink;

/// What a core may ask for. Every member is set; calls return at once.
struct SlSinkType {
    /// Sends an IP packet to a caller, through the fabric.
    void (*send_to_caller)(struct SlSink *sink, const uint8_t *bytes,
                           uint32_t length_bytes);
    /// Hands an IP packet to the upstream beside this agent.
    void (*send_to_upstream)(struct SlSink *sink, const uint8_t *bytes,
                             uint32_t length_bytes);
    /// Sends a datagram to a process. The sink fills nothing in.
    void (*send_tunnel)(struct SlSink *sink, uint64_t node_id,
                        const struct SlAddress *to,
                        const struct SlTunnel *tunnel);
    /// Sends a message on a link; dropped when the link is gone.
    void (*send_message)(struct SlSink *sink, uint64_t link,
                         const struct SlMessage *message);
    /// Wants a link to a process, kept until drop; repeated calls are one.
    void (*dial_node)(struct SlSink *sink, uint64_t node_id,
                      const struct SlAddress *to);
    void (*drop_node)(struct SlSink *sink, uint64_t node_id);
    /// Logs a decision.
    void (*log_event)(struct SlSink *sink, const struct SlEvent *event);
};

struct SlSink {
    const struct SlSinkType *type;
};

/// Members of a sink that does nothing with what it is asked; for owners
/// that want only some of it.
void
SlSink_IgnorePacket(struct SlSink *sink, const uint8_t *bytes,
                    uint32_t length_bytes);
void
SlSink_IgnoreTunnel(struct SlSink *sink, uint64_t node_id,
                    const struct SlAddress *to, const struct SlTunnel *tunnel);
void
SlSink_IgnoreMessage(struct SlSink *sink, uint64_t link,
                     const struct SlMessage *message);
void
SlSink_IgnoreDialNode(struct SlSink *sink, uint64_t node_id,
                      const struct SlAddress *to);
void
SlSink_IgnoreDropNode(struct SlSink *sink, uint64_t node_id);
void
SlSink_IgnoreLogEvent(struct SlSink *sink, const struct SlEvent *event);

/// What every core of a process is told when it is created.
struct SlCoreOptions {
    /// Names the process among all; also its node id (SlNode_Id).
    char name[SL_NAME_BYTES];
    char zone[SL_NAME_BYTES];
    uint32_t roles;
    uint64_t boot;
    /// Seeds every choice that must differ between processes.
    uint64_t seed;
    /// Seeds the hash of flow tables; secret, so that callers cannot aim.
    uint64_t hash_seed;
};

#endif
