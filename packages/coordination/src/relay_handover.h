#ifndef SAVORYLEDGE_COORDINATION_RELAY_HANDOVER_H
#define SAVORYLEDGE_COORDINATION_RELAY_HANDOVER_H

/// Hands the flows of an agent that stops to the next process beside the same
/// upstream, by way of other agents, which keep them meanwhile.
///
/// Load pattern: many agents of a large service are stopped and started in
/// turn, several at a time, while their upstreams run and callers use flows
/// after long pauses. Each new process would have to be probed for each flow
/// that an entry does not know, and so would all others that have restarted.
///
/// What is handed over is a hint for searches and no more. A flow that is
/// listed is tried at its upstream before others, and is searched for anew
/// when the upstream returns the segment; a list that is late, old, cut short,
/// or of another run costs one such try. A flow that is not listed is as
/// unknown as it would be without a list.

#include "savoryledge/coordination/relay.h"

#include "relay_index.h"

enum {
    /// Agents to which the flows are sent. Some of them may be stopped soon
    /// after.
    SL_HANDOVER_KEEPERS = 3,
    /// Agents that a new process asks when flows were most likely handed over:
    /// the keepers may have been others, as some did not answer or agents were
    /// added since.
    SL_HANDOVER_ASKED = 8,
};

struct SlRelayAgent;

/// An agent to which the flows are sent.
struct SlHandoverKeeper {
    uint64_t node_id;
    struct SlAddress address;
    /// Bit set of the parts that it has acknowledged.
    uint64_t acknowledged;
    /// The next part to send; times that all were sent, and when they were
    /// last.
    uint32_t next_part;
    uint32_t attempts;
    uint64_t sent_us;
};

/// Zero-initialise, and set the seed of kept, before use.
struct SlHandover {
    /// Flows that this agent keeps for others.
    struct SlRelayIndex kept;
    /// The flows that this process hands over, in parts of
    /// SL_RELAY_TABLE_FLOWS_MAX, until all keepers have acknowledged them or
    /// until_us.
    struct SlFlowKey *flows;
    uint64_t until_us;
    struct SlHandoverKeeper keepers[SL_HANDOVER_KEEPERS];
    uint32_t flow_count;
    uint32_t keeper_count;
    /// Agents that are or were keepers, in the order of their ranks.
    uint32_t ranks_used;
    /// Queries for the flows of the former process, and when the next is due.
    uint32_t queries;
    uint64_t query_due_us;
    /// The first keeper that answers, and the parts that arrived from it.
    uint64_t answering;
    uint64_t received;
    /// The run of the upstream that holds the flows of the former process.
    uint64_t inherited_started_ms;
    uint32_t inherited_count;
    bool is_sending;
    /// The configuration says that the former process was leaving, so it most
    /// likely handed its flows over.
    bool is_expected;
    bool has_received_all;
};

/// Begins to hand over the flows of a process that stops.
void
SlHandover_Begin(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                 uint64_t now_us);
/// True when the process need not wait for acknowledgements any more.
bool
SlHandover_IsDone(const struct SlRelayAgent *agent);
/// Removes the flows of the former process if they belong to another run of
/// the upstream.
void
SlHandover_CheckRun(struct SlRelayAgent *agent, uint64_t now_us,
                    uint64_t started_ms);
/// Returns the agent whose upstream held a flow when it stopped; 0 when this
/// agent keeps no such flow.
uint64_t
SlHandover_FindOwner(const struct SlRelayAgent *agent,
                     const struct SlFlowKey *flow);
/// Handles frames of the kinds TABLE, TABLE_KEPT and TABLE_QUERY.
void
SlHandover_HandleFrame(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                       uint64_t now_us, const struct SlAddress *from,
                       const struct SlRelayFrame *frame);
void
SlHandover_Tick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                uint64_t now_us);
void
SlHandover_Release(struct SlHandover *handover);

#endif
