#ifndef SAVORYLEDGE_COORDINATION_RELAY_H
#define SAVORYLEDGE_COORDINATION_RELAY_H

/// What the relay's cores have in common.
///
/// The relay is the data path for upstreams that give back what they cannot
/// take (common/segment.h). The entry offers the opening segment of a flow to
/// an agent and carries the rest to the flow's holder; the agent beside the
/// upstream admits or declines, and sends answers straight to the caller. As
/// in the rest of the system the upstream and its agent are the truth about a
/// flow, and what an entry knows is a guess.
///
/// The cores do no I/O and read no clock. One thread.

#include "savoryledge/common/event.h"
#include "savoryledge/protocol/relay.h"
#include "savoryledge/state/config.h"
#include "savoryledge/state/plan.h"

enum {
    /// No segment reaches an agent that neither control nor this process
    /// hears. After this long, microseconds, which is more than a caller waits
    /// for an answer, its flows are over for their callers whether its
    /// upstream still runs or not.
    SL_RELAY_LOST_US = 10 * 1000 * 1000,
};

struct SlRelaySink;

/// What a core may ask for. Calls return at once, and must not call back into
/// the core.
struct SlRelaySinkType {
    /// Sends a segment straight to a caller.
    void (*send_to_caller)(struct SlRelaySink *sink,
                           const struct SlAddress *caller,
                           const uint8_t *bytes, uint32_t length_bytes);
    /// Hands a segment to the upstream beside this agent.
    void (*send_to_upstream)(struct SlRelaySink *sink, const uint8_t *bytes,
                             uint32_t length_bytes);
    /// Sends a frame to another process of the relay.
    void (*send_frame)(struct SlRelaySink *sink, const struct SlAddress *to,
                       const struct SlRelayFrame *frame);
    void (*event)(struct SlRelaySink *sink, const struct SlEvent *event);
};

struct SlRelaySink {
    const struct SlRelaySinkType *type;
};

/// What every core of the relay is told when it is created.
struct SlRelayOptions {
    char name[SL_NAME_BYTES];
    char zone[SL_NAME_BYTES];
    const struct SlSegmentFormat *format;
    /// Seeds the hash of flow tables and every choice left to chance.
    uint64_t seed;
    /// When the process started, by the wall clock, milliseconds since 1970;
    /// 0 when unknown.
    uint64_t start_wall_ms;
    /// Agents: the service that the upstream belongs to.
    char service[SL_NAME_BYTES];
};

#endif
