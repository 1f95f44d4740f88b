#ifndef SAVORYLEDGE_COORDINATION_RELAY_FLOW_RECORDS_H
#define SAVORYLEDGE_COORDINATION_RELAY_FLOW_RECORDS_H

/// Records an agent's kept flows at control, and asks for the records of the
/// previous run when its upstream has started anew.
///
/// Recorded are flows of routes whose requests must not run twice and that
/// stay open after their first answer, once one of them has carried more than
/// one request.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/state/flow_journal.h"

enum {
    /// Changes in one message, and the ends of flows that wait to be sent.
    SL_FLOW_CHANGES_MAX = 8,
    SL_FLOW_ENDS_MAX = 64,
};

/// Zero-initialise.
struct SlFlowRecorder {
    /// The link to the control instance that keeps the records; 0 when there
    /// is none.
    uint64_t link;
    /// A flow is recorded when it has this number. It changes with the link
    /// and with the run of the upstream.
    uint32_t generation;
    uint64_t due_us;
    uint32_t end_count;
    struct SlFlowKey ends[SL_FLOW_ENDS_MAX];
    /// Control is asked for the records of the previous run until ask_until_us
    /// (0 before the first query).
    bool asking;
    uint64_t ask_due_us;
    uint64_t ask_until_us;
    /// Control has records of an earlier run.
    bool has_former_records;
    struct SlFlowRecord changes[SL_FLOW_CHANGES_MAX];
};

struct SlAgentFlow;
struct SlRelayAgent;

/// Begins anew after the upstream did.
///
/// ask: asks control for the records of earlier runs. Only if no earlier
/// process of this agent can have admitted a flow to the present run is it
/// certain that the upstream does not hold these flows.
void
SlFlowRecorder_BeginRun(struct SlRelayAgent *agent, bool ask);
/// Records that a flow has ended.
void
SlFlowRecorder_FlowEnded(struct SlRelayAgent *agent,
                         const struct SlAgentFlow *flow);

#endif
