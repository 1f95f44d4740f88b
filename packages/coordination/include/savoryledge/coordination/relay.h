#ifndef SAVORYLEDGE_COORDINATION_RELAY_H
#define SAVORYLEDGE_COORDINATION_RELAY_H

/// Types shared by the entry and the agent of the relay.
///
/// The relay is the data path for upstreams that return segments they cannot
/// take (common/segment.h). The holder of a flow is the agent whose upstream
/// has the flow. The plan (state/plan.h) contains the services and the routes
/// that map addresses to them; it is read from the document in the
/// configuration. The entry offers the opening segment of a flow to an agent
/// and forwards the later ones to the flow's holder. The agent beside the
/// upstream admits or declines the flow and sends answers straight to the
/// caller. The upstream and its agent are authoritative about a flow; what an
/// entry knows about it may be out of date.
///
/// Entry and agent do no I/O and read no clock: the caller passes segments,
/// frames and the time. Neither is thread-safe.

#include "savoryledge/common/event.h"
#include "savoryledge/protocol/relay.h"
#include "savoryledge/state/config.h"
#include "savoryledge/state/plan.h"

enum {
    /// Time in microseconds after which an agent that neither control nor this
    /// process receives anything from is no longer asked before all others. It
    /// may still hold flows.
    SL_RELAY_UNREACHABLE_US = 10 * 1000 * 1000,
};

struct SlRelaySink;

/// Output callbacks of an entry or agent. They must return at once and must
/// not call back into the entry or agent.
struct SlRelaySinkType {
    /// Sends a segment directly to a caller.
    void (*send_to_caller)(struct SlRelaySink *sink,
                           const struct SlAddress *caller,
                           const uint8_t *bytes, uint32_t length_bytes);
    /// Passes a segment to the upstream beside this agent.
    void (*send_to_upstream)(struct SlRelaySink *sink, const uint8_t *bytes,
                             uint32_t length_bytes);
    /// Sends a frame to another process of the relay.
    void (*send_frame)(struct SlRelaySink *sink, const struct SlAddress *to,
                       const struct SlRelayFrame *frame);
    /// Logs an event.
    void (*log_event)(struct SlRelaySink *sink, const struct SlEvent *event);
};

struct SlRelaySink {
    const struct SlRelaySinkType *type;
};

/// Settings with which an entry or an agent is created.
struct SlRelayOptions {
    char name[SL_NAME_BYTES];
    char zone[SL_NAME_BYTES];
    const struct SlSegmentFormat *format;
    /// Seeds the hash of the flow table and all random choices.
    uint64_t seed;
    /// Wall-clock time at which the process started, in milliseconds since
    /// 1970; 0 when unknown.
    uint64_t start_wall_ms;
    /// Entries only: rate of the process's network link, bytes per second; 0
    /// when unknown.
    uint64_t link_bytes_per_s;
    /// Agents only: the service that the upstream belongs to.
    char service[SL_NAME_BYTES];
};

#endif
