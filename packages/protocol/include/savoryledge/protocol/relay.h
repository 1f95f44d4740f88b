#ifndef SAVORYLEDGE_PROTOCOL_RELAY_H
#define SAVORYLEDGE_PROTOCOL_RELAY_H

/// Datagrams between the entries and agents of the relay
/// (coordination/relay.h). An agent holds a flow when its upstream has the
/// flow. A datagram consists of a 16-bit header length, a msgpack header and,
/// for some kinds, an unchanged segment.

#include <stddef.h>
#include <stdint.h>

#include "savoryledge/common/segment.h"
#include "savoryledge/protocol/message.h"

enum {
    /// Maximum number of agents that a frame lists as having declined a flow.
    SL_RELAY_DECLINED_MAX = 4,
    /// Largest datagram: a segment and the largest header.
    SL_RELAY_MAX_BYTES = SL_SEGMENT_MAX_BYTES + 160,
    /// Maximum number of flows in one query: as many as fit into a datagram.
    SL_RELAY_QUERY_ITEMS_MAX = 32,
    /// Maximum number of flows in one frame of kind SL_RELAY_TABLE.
    SL_RELAY_TABLE_FLOWS_MAX = 24,
    /// Maximum number of agents in one frame of kind
    /// SL_RELAY_BROADCAST_UNSURE.
    SL_RELAY_UNSURE_MAX = 128,
    /// Given as the number of unanswered agents when no agent was queried.
    SL_RELAY_NOT_QUERIED = 0xffffffffu,
};

enum SlRelayKind {
    SL_RELAY_NONE = 0,
    /// Entry to agent: offers a new flow with its opening segment. The agent
    /// answers with ACCEPT or DECLINE.
    SL_RELAY_OFFER,
    /// Entry to agent: any later segment of a flow, sent to its holder.
    SL_RELAY_CARRY,
    /// Agent to entry: the agent accepted the offered flow.
    SL_RELAY_ACCEPT,
    /// Agent to entry: the agent declined the offered flow.
    SL_RELAY_DECLINE,
    /// Agent to entry: the agent does not hold the flow. An answer to
    /// SL_RELAY_CARRY returns the segment; an answer to SL_RELAY_QUERY has no
    /// segment.
    SL_RELAY_ABSENT,
    /// Entry to agent: queries whether the agent holds a flow.
    SL_RELAY_QUERY,
    /// Agent to entry: the agent holds the flow. The frame states whether the
    /// upstream has confirmed that it has the flow.
    SL_RELAY_HOLDS,
    /// Agent to entry: the load of its upstream.
    SL_RELAY_REPORT,
    /// Agent to agent: queries which of several flows the receiver holds.
    SL_RELAY_QUERY_MANY,
    /// The answer to SL_RELAY_QUERY_MANY: the flows that the agent holds or
    /// may hold.
    SL_RELAY_HOLDS_MANY,
    /// Entry to agent: requests a broadcast query for the holders of several
    /// flows. The agent sends SL_RELAY_QUERY_MANY to all agents.
    SL_RELAY_BROADCAST_QUERY,
    /// The answer to SL_RELAY_BROADCAST_QUERY: the combined answers of all
    /// agents.
    SL_RELAY_BROADCAST_RESULT,
    /// Precedes SL_RELAY_BROADCAST_RESULT: agents that may hold any of the
    /// queried flows, since they have restarted. Several frames when they do
    /// not fit into one.
    SL_RELAY_BROADCAST_UNSURE,
    /// Agent to agent: flows of an agent that stops, to be kept for the next
    /// process beside the same upstream; or the same flows, to that process.
    SL_RELAY_TABLE,
    /// The answer to SL_RELAY_TABLE: the flows are kept. Its ack is the number
    /// of the part.
    SL_RELAY_TABLE_KEPT,
    /// Agent to agent: a process that has started asks for the flows of the
    /// former one.
    SL_RELAY_TABLE_QUERY,
    SL_RELAY_KIND_COUNT
};

/// The reason for which an agent declined or refused a flow.
enum SlRelayReason {
    SL_RELAY_REASON_NONE = 0,
    /// All slots are in use; another upstream may have a free one.
    SL_RELAY_BUSY,
    /// The upstream can take no more flows or queued requests.
    SL_RELAY_FULL,
    /// The upstream is cold (it was started recently), and its slow-start rate
    /// permits no more flows in the present second.
    SL_RELAY_COLD,
    /// The agent is leaving or stopping, or its upstream has not announced
    /// itself.
    SL_RELAY_LEAVING,
    /// The agent's availability zone was taken out of service.
    SL_RELAY_ZONE_OUT,
    /// The agent's upstream belongs to another service.
    SL_RELAY_FOREIGN,
    /// The agent's upstream does not answer.
    SL_RELAY_SILENT,
    /// The agent's upstream returned the segment.
    SL_RELAY_RETURNED,
    /// The flow waited for a slot and can no longer be answered in time.
    SL_RELAY_EXPIRED,
    SL_RELAY_REASON_COUNT
};

/// The load of an upstream as its agent reports it.
struct SlRelayLoad {
    /// Requests in progress, flows that are opening or wait for a slot, and
    /// the backlog from the slow-start rate of a cold upstream.
    uint32_t in_progress;
    uint32_t slots;
    uint32_t flows;
    /// Average time from a request to its answer, microseconds; 0 before the
    /// first answer.
    uint32_t answer_us;
    /// All new flows are declined regardless of the load.
    bool declines_flows;
    /// Uploads whose body has not arrived as a whole; they are not in
    /// in_progress. Only for entries that read it (SlRelayFrame.reads_cost).
    uint32_t transfers;
    /// Average work of a request, microseconds, and its squared coefficient of
    /// variation in percent (balance/work.h); 0 while unknown. Only for
    /// entries that read them, like the following ones.
    uint32_t work_us;
    uint32_t variation_percent;
    /// Expected further work of all requests in in_progress, microseconds.
    uint32_t remaining_us;
    /// Slots that the requests of the upstream occupy on average, in
    /// thousandths.
    uint32_t demand_permille;
    /// Answers to offers: the demand that the offered flow is expected to
    /// bring after its first request, in thousandths of a slot.
    uint32_t flow_demand_permille;
};

struct SlRelayFrame {
    enum SlRelayKind kind;
    enum SlRelayReason reason;
    /// Node id of the process that sent the frame.
    uint64_t sender;
    /// Version of the plan that the sender used.
    uint64_t plan_version;
    /// SL_RELAY_OFFER: no other upstream is left to which the flow could be
    /// offered.
    bool no_alternative;
    /// SL_RELAY_HOLDS: the upstream has confirmed that it holds the flow.
    bool certain;
    /// SL_RELAY_QUERY_MANY, SL_RELAY_BROADCAST_QUERY: the sender can be told
    /// once that an agent may hold any flow. To a sender of an earlier version
    /// such an agent claims each flow.
    bool reads_unsure;
    /// SL_RELAY_HOLDS_MANY: the upstream may hold any flow that is not listed.
    bool is_unsure;
    /// SL_RELAY_BROADCAST_RESULT: number of agents in the preceding frames of
    /// kind SL_RELAY_BROADCAST_UNSURE.
    uint32_t unsure_count;
    /// SL_RELAY_BROADCAST_RESULT: some agents have not answered yet, and
    /// another result will follow. Not sent to an entry of an earlier version.
    bool more_follows;
    /// SL_RELAY_OFFER: the entry reads all fields of a load. An entry of an
    /// earlier version gets loads without those from transfers on, since it
    /// rejects frames with them.
    bool reads_cost;
    /// SL_RELAY_OFFER: the entry places flows of the service by the expected
    /// work of requests. The agent then reports it, and admits flows by it.
    bool uses_cost;
    /// SL_RELAY_OFFER, SL_RELAY_DECLINE: node ids of the agents that declined
    /// the flow before.
    uint32_t declined_count;
    uint64_t declined_by[SL_RELAY_DECLINED_MAX];
    /// Set in SL_RELAY_ACCEPT, SL_RELAY_DECLINE, SL_RELAY_QUERY,
    /// SL_RELAY_HOLDS, and in SL_RELAY_ABSENT without a segment.
    struct SlFlowKey flow;
    /// SL_RELAY_QUERY: the sequence number that the caller acknowledges.
    uint32_t ack;
    /// Set in SL_RELAY_ACCEPT, SL_RELAY_DECLINE and SL_RELAY_REPORT.
    struct SlRelayLoad load;
    /// The segment, borrowed. In queries about several flows and their answers
    /// it is an encoded list (SlRelayQueryList).
    const uint8_t *segment;
    uint32_t segment_bytes;
};

/// Encodes a frame into out. Returns its length in bytes, or 0 when it does
/// not fit.
uint32_t
SlRelayFrame_Encode(const struct SlRelayFrame *frame,
                    uint8_t out[SL_RELAY_MAX_BYTES]);

/// Decodes a frame, which borrows its segment from bytes.
/// Errors: SL_MALFORMED.
enum SlStatus
SlRelayFrame_Decode(const uint8_t *bytes, uint32_t length_bytes,
                    struct SlRelayFrame *frame);

/// One flow in a query about several flows, or in its answer.
struct SlRelayQueryItem {
    struct SlFlowKey flow;
    /// Queries: the sequence number that the caller acknowledges.
    /// SL_RELAY_BROADCAST_RESULT: not 0 when the holder has not said so
    /// itself, but another agent that keeps its flows.
    uint32_t ack;
    /// Answers: the upstream has confirmed that it holds the flow.
    bool certain;
    /// SL_RELAY_BROADCAST_RESULT: node id of the agent that holds the flow.
    /// SL_RELAY_HOLDS_MANY: the same if it is not the sender, which keeps the
    /// flow for it; otherwise 0.
    uint64_t holder;
};

/// A query about several flows, or its answer.
struct SlRelayQueryList {
    /// Number that the sender of the query chose for it, not 0; the answer
    /// repeats it.
    uint32_t query_id;
    /// SL_RELAY_BROADCAST_QUERY: version of the configuration from which the
    /// entry knows the agents. An agent with an older configuration cannot
    /// query all of them.
    struct SlVersion version;
    /// SL_RELAY_BROADCAST_RESULT: number of agents that did not answer or
    /// whose answer did not fit; SL_RELAY_NOT_QUERIED when this agent could
    /// not query them. Only with 0 is it certain that no agent holds a flow
    /// that the list omits.
    uint32_t unanswered;
    uint32_t count;
    struct SlRelayQueryItem items[SL_RELAY_QUERY_ITEMS_MAX];
};

/// Encodes a list for use as the segment of a frame. Returns its length in
/// bytes, or 0 when it does not fit.
uint32_t
SlRelayQueryList_Encode(const struct SlRelayQueryList *query_list,
                        uint8_t out[SL_SEGMENT_MAX_BYTES]);
/// Decodes a list that fills bytes. Errors: SL_MALFORMED.
enum SlStatus
SlRelayQueryList_Decode(const uint8_t *bytes, uint32_t length_bytes,
                        struct SlRelayQueryList *query_list);

/// Agents that may hold any of the flows of a broadcast query.
struct SlRelayUnsureList {
    /// Number of the query.
    uint32_t query_id;
    uint32_t count;
    uint64_t node_ids[SL_RELAY_UNSURE_MAX];
};

/// Encodes a list for use as the segment of a frame. Returns its length in
/// bytes, or 0 when it does not fit.
uint32_t
SlRelayUnsureList_Encode(const struct SlRelayUnsureList *unsure_list,
                         uint8_t out[SL_SEGMENT_MAX_BYTES]);
/// Decodes a list that fills bytes. Errors: SL_MALFORMED.
enum SlStatus
SlRelayUnsureList_Decode(const uint8_t *bytes, uint32_t length_bytes,
                         struct SlRelayUnsureList *unsure_list);

/// A part of the flows that an agent's upstream held when the agent stopped.
struct SlRelayTable {
    /// Node id of the agent.
    uint64_t owner;
    /// Start time of the upstream's run, as it reports it.
    uint64_t started_ms;
    uint32_t part;
    uint32_t part_count;
    uint32_t count;
    struct SlFlowKey flows[SL_RELAY_TABLE_FLOWS_MAX];
};

/// Encodes a part for use as the segment of a frame. Returns its length in
/// bytes, or 0 when it does not fit.
uint32_t
SlRelayTable_Encode(const struct SlRelayTable *table,
                    uint8_t out[SL_SEGMENT_MAX_BYTES]);
/// Decodes a part that fills bytes. Errors: SL_MALFORMED.
enum SlStatus
SlRelayTable_Decode(const uint8_t *bytes, uint32_t length_bytes,
                    struct SlRelayTable *table);

/// Returns the lower-case name of a reason as events state it, or "unknown".
const char *
SlRelayReason_Name(enum SlRelayReason reason);

#endif
