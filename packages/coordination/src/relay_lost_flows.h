#ifndef SAVORYLEDGE_COORDINATION_RELAY_LOST_FLOWS_H
#define SAVORYLEDGE_COORDINATION_RELAY_LOST_FLOWS_H

/// Resets of flows that an upstream has lost.
///
/// The load pattern: callers keep flows open and send requests that must not
/// run twice. After the upstream has started anew, each of them would learn
/// from its next request that the flow is gone, and that request is lost. A
/// caller that is reset while its flow is idle opens a new flow instead.
///
/// Only the agent beside the upstream resets a flow, and only a flow that the
/// previous run of the upstream is known to have held. Resets are sent at a
/// bounded rate, first to callers that lose most by waiting.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/address.h"

enum {
    /// An upstream repeats a status that was not acknowledged within this
    /// time, so a status may be this old when it arrives.
    SL_LOST_FLOWS_STATUS_AGE_US = 1000 * 1000,
};

/// Who is reset first. A caller without a request in progress loses its next
/// request by waiting; one whose request may be repeated loses time; one whose
/// request must not run twice has lost it already.
enum SlLostFlowClass {
    SL_LOST_FLOW_IDLE_UNREPEATABLE = 0,
    SL_LOST_FLOW_REQUEST_REPEATABLE,
    SL_LOST_FLOW_IDLE_REPEATABLE,
    SL_LOST_FLOW_REQUEST_UNREPEATABLE,
};

struct SlLostFlow {
    struct SlFlowKey key;
    /// The number that the caller acknowledged last.
    uint32_t ack;
    enum SlLostFlowClass class;
    /// Priority of the route; 0 is the highest.
    uint32_t priority;
};

/// Flows to be reset, in the order in which they are reset. Zero-initialise.
struct SlLostFlows {
    uint32_t count;
    uint32_t capacity;
    /// Index of the next flow to be reset.
    uint32_t next;
    struct SlLostFlow *items;
    /// Flows that were reset are remembered until then, so that a repeated
    /// record does not reset them again.
    uint64_t keep_until_us;
    /// A flow of a route whose requests must not run twice has carried more
    /// than one request. Flows are reset only then.
    bool keeps_flows;
};

void
SlLostFlows_Release(struct SlLostFlows *lost);

struct SlAgentFlow;
struct SlFlowRecords;
struct SlRelayAgent;
struct SlRelaySink;
struct SlSegment;

/// Records what a segment that is delivered to the upstream shows about its
/// flow: the caller's acknowledgement, and whether the upstream holds it.
void
SlLostFlows_RecordCallerSegment(struct SlAgentFlow *flow,
                                const struct SlSegment *segment);
/// Records an opening segment that is not a copy of the flow's first one: the
/// caller uses the address and port again, and a later run of the upstream may
/// hold the new flow.
void
SlLostFlows_RecordReopening(struct SlAgentFlow *flow, uint64_t now_us,
                            const struct SlSegment *segment);
/// Records that the upstream sent a segment of a flow.
void
SlLostFlows_RecordUpstreamSegment(struct SlAgentFlow *flow,
                                  const struct SlSegment *segment);
/// Records that a request of a flow begins.
void
SlLostFlows_RecordRequest(struct SlRelayAgent *agent,
                          struct SlAgentFlow *flow);
/// Queues the resets of all flows that the upstream held and has lost. Must be
/// called before these flows are removed.
///
/// before_us: a flow that began later may belong to the present run of the
/// upstream and is not reset.
void
SlLostFlows_Collect(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                    uint64_t now_us, uint64_t before_us, const char *reason);
/// Queues the resets of recorded flows of an earlier run of the upstream.
void
SlLostFlows_AddRecords(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                       uint64_t now_us, const struct SlFlowRecords *records);
/// Sends the next resets. Flows that the agent knows again by then are not
/// reset.
void
SlLostFlows_Tick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                 uint64_t now_us);

#endif
