#ifndef SAVORYLEDGE_COORDINATION_CORE_H
#define SAVORYLEDGE_COORDINATION_CORE_H

/// Inputs and outputs of the cores. A core is the part of a process that makes
/// the decisions of one role: the replica of the configuration, the entry, the
/// agent or the control instance.
///
/// A core reads no clock, opens no files or sockets and draws no random
/// numbers: time and messages are passed in as inputs, random seeds in the
/// core's options, and every action is requested from a sink. The same inputs
/// to a core produce the same outputs.

#include "savoryledge/common/event.h"
#include "savoryledge/protocol/message.h"
#include "savoryledge/protocol/tunnel.h"

enum SlInputKind {
    SL_INPUT_NONE = 0,
    /// Time has passed. This input must be passed at least every SL_TICK_US.
    SL_INPUT_TICK,
    /// An IP packet from the network fabric (for the entry) or from the
    /// upstream (for the agent).
    SL_INPUT_CALLER_PACKET,
    SL_INPUT_UPSTREAM_PACKET,
    /// An authenticated datagram from another process.
    SL_INPUT_TUNNEL,
    /// A link to another process was established (the HELLO message of the
    /// process was read) or ended.
    SL_INPUT_LINK_UP,
    SL_INPUT_LINK_DOWN,
    /// A message was received on a link.
    SL_INPUT_MESSAGE,
    /// All inputs that were waiting have been passed to the core. The core now
    /// sends the messages that it has collected; control syncs its log.
    SL_INPUT_BATCH_END,
    /// A planned stop of the process begins.
    SL_INPUT_STOP,
    SL_INPUT_KIND_COUNT
};

enum {
    /// Maximum time between two inputs of the kind TICK.
    SL_TICK_US = 20 * 1000,
};

/// Description of the process at the other end of a link, from its HELLO
/// message.
struct SlPeer {
    uint64_t node_id;
    char name[SL_NAME_BYTES];
    uint32_t roles;
    uint64_t boot;
};

/// One input to a core. All pointers are valid only during the call.
struct SlInput {
    enum SlInputKind kind;
    /// Monotonic time in microseconds; never decreases.
    uint64_t now_us;
    /// Wall-clock time in microseconds; may jump. It is only recorded, never
    /// compared.
    uint64_t wall_us;
    /// LINK_UP, LINK_DOWN, MESSAGE: number of the link. A number is never
    /// reused.
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

/// The actions that a core may request. Every function pointer must be set,
/// and calls must not block.
struct SlSinkType {
    /// Sends an IP packet to a caller through the network fabric.
    void (*send_to_caller)(struct SlSink *sink, const uint8_t *bytes,
                           uint32_t length_bytes);
    /// Sends an IP packet to the upstream beside the agent.
    void (*send_to_upstream)(struct SlSink *sink, const uint8_t *bytes,
                             uint32_t length_bytes);
    /// Sends a datagram to a process. The core has filled in every field.
    void (*send_tunnel)(struct SlSink *sink, uint64_t node_id,
                        const struct SlAddress *to,
                        const struct SlTunnel *tunnel);
    /// Sends a message on a link; drops it if the link has ended.
    void (*send_message)(struct SlSink *sink, uint64_t link,
                         const struct SlMessage *message);
    /// Requests a link to a process. The link is kept until drop_node is
    /// called; repeated calls request one link.
    void (*dial_node)(struct SlSink *sink, uint64_t node_id,
                      const struct SlAddress *to);
    /// Closes the link that dial_node requested.
    void (*drop_node)(struct SlSink *sink, uint64_t node_id);
    /// Logs an event.
    void (*log_event)(struct SlSink *sink, const struct SlEvent *event);
};

struct SlSink {
    const struct SlSinkType *type;
};

/// Functions for a struct SlSinkType that ignore the action; for owners that
/// handle only some of the actions.
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

/// Options that all cores of a process share.
struct SlCoreOptions {
    /// Name of the process, unique among all processes. Its node id is derived
    /// from it (SlNode_Id).
    char name[SL_NAME_BYTES];
    char zone[SL_NAME_BYTES];
    uint32_t roles;
    uint64_t boot;
    /// Seed of random choices that must differ between processes.
    uint64_t seed;
    /// Seed of the flow tables' hash. Secret, so that callers cannot choose
    /// flows that collide.
    uint64_t hash_seed;
};

#endif
