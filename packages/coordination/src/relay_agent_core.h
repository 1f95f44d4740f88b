#ifndef SAVORYLEDGE_COORDINATION_RELAY_AGENT_CORE_H
#define SAVORYLEDGE_COORDINATION_RELAY_AGENT_CORE_H

/// Internals of the relay's agent. relay_agent.c keeps the configuration and
/// the upstream status, relay_admit.c answers offers, relay_flow.c tracks the
/// flows that the upstream holds, relay_deferred.c defers requests on open
/// flows in favour of more urgent flows, relay_report.c reports the load to
/// entries, relay_broadcast.c runs broadcast queries on behalf of entries,
/// relay_handover.c hands flows over to the next process,
/// relay_lost_flows.c resets flows that the upstream has lost,
/// relay_flow_records.c records kept flows at control, relay_transfer.c
/// accounts for uploads in transfer, relay_work.c learns the work of requests.

#include "savoryledge/balance/admission_queue.h"
#include "savoryledge/balance/answer_timeout.h"
#include "savoryledge/coordination/relay_agent.h"

#include "relay_broadcast.h"
#include "relay_evidence.h"
#include "relay_flow_records.h"
#include "relay_handover.h"
#include "relay_index.h"
#include "relay_lost_flows.h"
#include "relay_runs.h"
#include "relay_transfer.h"
#include "relay_work.h"

enum {
    /// Broadcast queries that one agent runs at a time.
    SL_AGENT_BROADCASTS_MAX = 8,
};

enum SlAgentFlowState {
    /// Admitted; the caller has not chosen this upstream yet.
    SL_AGENT_OPENING = 0,
    /// Waits for a slot; the upstream has not seen the flow yet.
    SL_AGENT_WAITING,
    SL_AGENT_OPEN,
    /// The flow is unknown to this process. Its segment was passed to the
    /// upstream, which may return the segment.
    SL_AGENT_TENTATIVE,
    /// The flow was closed by both ends or reset by one of them. Late segments
    /// still go to the upstream.
    SL_AGENT_ENDED,
};

/// A segment that is kept to be delivered later.
struct SlDeferredSegment {
    struct SlDeferredSegment *next;
    uint32_t seq;
    uint32_t length_bytes;
    uint8_t bytes[];
};

struct SlAgentFlow {
    struct SlRelayItem item;
    uint64_t began_us;
    enum SlAgentFlowState state;
    /// Sequence numbers of the opening segments of both ends.
    uint32_t caller_initial_seq;
    uint32_t upstream_initial_seq;
    /// Sequence number at which the caller's data ends so far.
    uint32_t caller_end_seq;
    /// Sequence number of the caller's first byte of data; only set when the
    /// opening segment was answered.
    uint32_t caller_first_seq;
    /// The entry through which the flow's last segment came.
    struct SlAddress entry;
    bool opening_answered;
    bool caller_end_known;
    /// Whether the flow is counted as opening, as a transfer, as a flow, and
    /// as having a request in progress.
    bool counted_opening;
    bool counted_transfer;
    bool counted_flow;
    bool request_in_progress;
    bool caller_closed;
    bool upstream_closed;
    bool caller_ack_known;
    /// The upstream is known to have held the flow.
    bool held;
    /// A former process handed the flow over, since its upstream held it.
    bool inherited;
    /// Control has a record of the flow, if the generation is the recorder's,
    /// with this acknowledgement.
    bool recorded;
    uint32_t recorded_generation;
    uint32_t recorded_ack;
    /// The number that the caller acknowledged last.
    uint32_t caller_ack;
    /// Number of requests so far.
    uint32_t request_count;
    uint32_t opening_bytes;
    /// Copy of the opening segment while the flow waits for a slot.
    uint8_t *opening;
    uint64_t request_began_us;
    struct SlAgentRequest request;
    /// Body of the present request on a flow of uploads; NULL while there is
    /// none.
    struct SlAgentTransfer *transfer;
    /// Segments of a request that is deferred in favour of more urgent flows,
    /// in order of arrival; NULL when no request is deferred.
    struct SlDeferredSegment *deferred;
    uint64_t deferred_us;
};

/// An entry in the configuration. The agent keeps them sorted by node_id.
struct SlAgentEntry {
    uint64_t node_id;
    uint64_t boot;
    struct SlAddress address;
    /// When the last frame arrived from the entry; 0 when none has arrived.
    uint64_t last_frame_us;
    /// The entry reads all fields of a load.
    bool reads_cost;
    /// The entry places flows by the work of requests.
    bool uses_cost;
    /// The load that was last reported to the entry.
    struct SlRelayLoad last_reported;
};

struct SlRelayAgent {
    struct SlRelayOptions options;
    uint64_t node_id;
    uint64_t created_us;
    struct SlPlan *plan;
    struct SlVersion version;
    /// Index of the upstream's service in the plan; SL_PLAN_NO_SERVICE when
    /// the plan does not contain the service.
    uint32_t service;
    /// Slots that the previous agent process announced; 0 when it admitted no
    /// new flows.
    uint32_t announced_slots;
    bool zone_out;
    bool held_by_operator;
    bool stopping;
    /// upstream contains the status of an upstream that has not gone.
    bool upstream_known;
    /// The upstream has ended: it announced its end or refuses connections,
    /// and was not heard for as long as it would have been.
    bool upstream_gone;
    /// It announced its end. The announcement may be a late one of a former
    /// run with the same name.
    bool end_announced;
    /// The upstream is assumed to be cold until its next status.
    bool cold_assumed;
    /// Whether the table of flows was complete on the last tick.
    bool table_was_complete;
    /// Since when the upstream has refused connections, while it may still
    /// work on requests; otherwise 0.
    uint64_t refuses_since_us;
    uint64_t announced_until_us;
    struct SlUpstreamStatus upstream;
    struct SlUpstreamRuns runs;
    /// How the present run began; valid if received_us is not 0.
    struct SlRunStartEvidence run_start;
    uint64_t last_status_us;
    /// When the last segment or status arrived from the upstream.
    uint64_t upstream_last_seen_us;
    /// The upstream left an opening segment unanswered; all offers are
    /// declined until this time.
    uint64_t upstream_silent_until_us;
    /// Whether the table has all flows that the upstream holds.
    struct SlTableEvidence table;
    struct SlFlowLife flow_life;
    struct SlAdmission admission;
    /// The end of the cold phase as far as it is known, if cold_assumed.
    uint64_t known_cold_until_us;
    struct SlAdmissionQueue admission_queue;
    struct SlRelayIndex flows;
    /// The bodies that are in transfer or not yet answered, and the largest
    /// amount of data in a segment of an upload.
    struct SlAgentTransfer *transfers;
    uint32_t full_segment_bytes;
    /// The requests in progress, and what was learned of their work.
    struct SlAgentRequests requests;
    struct SlWork work;
    uint32_t entry_count;
    struct SlAgentEntry *entries;
    /// The other agents in the configuration that have an upstream, of all
    /// services, sorted by node_id.
    uint32_t peer_count;
    struct SlBroadcastPeer *peers;
    /// Broadcast queries to all peers; unused elements have number 0.
    struct SlRelayBroadcast broadcasts[SL_AGENT_BROADCASTS_MAX];
    /// Number of the last one; the first of a process is random.
    uint32_t last_broadcast;
    /// Adaptive answer timeout for peers, and the number of queries that it
    /// allows per tick.
    struct SlAnswerTimeout answer_timeout;
    struct SlQueryBudget query_budget;
    uint64_t report_due_us;
    struct SlLostFlows lost_flows;
    struct SlFlowRecorder flow_recorder;
    struct SlHandover handover;
    struct SlRelayAgentCounters counters;
};

/* relay_agent.c */
void
SlRelayAgent_LogEvent(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                      uint64_t now_us, struct SlEvent event);
/// True when the upstream may hold a flow that is not in the table.
bool
SlRelayAgent_MayHoldUnknown(const struct SlRelayAgent *agent, uint64_t now_us);

/* relay_flow.c */
struct SlAgentFlow *
SlAgentFlow_Find(const struct SlRelayAgent *agent,
                 const struct SlFlowKey *key);
/// Returns NULL when out of memory.
struct SlAgentFlow *
SlAgentFlow_Add(struct SlRelayAgent *agent, uint64_t now_us,
                const struct SlFlowKey *key, enum SlAgentFlowState state,
                const struct SlAddress *entry);
/// Removes the flow from all counts and from the table, and frees it.
void
SlAgentFlow_Remove(struct SlRelayAgent *agent, uint64_t now_us,
                   struct SlAgentFlow *flow);
void
SlAgentFlow_RemoveAll(struct SlRelayAgent *agent, uint64_t now_us);
/// Removes all flows except those that wait for a slot, which the upstream has
/// never seen. Of flows that the upstream opened since from_us it is no longer
/// known whether the upstream holds them; if from_us is 0, of all that it may
/// have opened.
void
SlAgentFlow_RemoveHeld(struct SlRelayAgent *agent, uint64_t now_us,
                       uint64_t from_us);
/// Passes a caller's segment of a known flow to the upstream.
void
SlAgentFlow_DeliverSegment(struct SlRelayAgent *agent,
                           struct SlRelaySink *sink, uint64_t now_us,
                           struct SlAgentFlow *flow,
                           const struct SlSegment *segment);
/// Handles a segment from an entry that is not the opening segment of a flow.
void
SlAgentFlow_HandleCarriedSegment(struct SlRelayAgent *agent,
                                 struct SlRelaySink *sink, uint64_t now_us,
                                 const struct SlAddress *from,
                                 const struct SlSegment *segment);
/// Handles a segment that the upstream sent.
void
SlAgentFlow_HandleUpstreamSegment(struct SlRelayAgent *agent,
                                  struct SlRelaySink *sink, uint64_t now_us,
                                  const struct SlSegment *segment);
/// Handles a segment that the upstream returned. The segment's returned flag
/// must be cleared.
void
SlAgentFlow_HandleReturnedSegment(struct SlRelayAgent *agent,
                                  struct SlRelaySink *sink, uint64_t now_us,
                                  const struct SlSegment *segment);
/// Answers the query of an entry whether this agent holds a flow.
void
SlAgentFlow_HandleQuery(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                        uint64_t now_us, const struct SlAddress *from,
                        const struct SlRelayFrame *query);
/// Answers the query of another agent which of many flows this agent holds.
void
SlAgentFlow_HandleBulkQuery(struct SlRelayAgent *agent,
                            struct SlRelaySink *sink, uint64_t now_us,
                            const struct SlAddress *from,
                            const struct SlRelayFrame *query);
/// Returns whether the upstream holds or may hold a flow. When true, certain
/// is set to whether it holds the flow for certain; false is always certain.
bool
SlAgentFlow_MayHold(const struct SlRelayAgent *agent, uint64_t now_us,
                    const struct SlFlowKey *key, uint32_t ack, bool *certain);
/// Runs the timers of flows, serves the admission queue and removes idle
/// flows.
void
SlAgentFlow_Tick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                 uint64_t now_us);

/* relay_admit.c */
/// Admits or declines an offered flow.
void
SlRelayAgent_HandleOffer(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                         uint64_t now_us, const struct SlAddress *from,
                         const struct SlSegment *segment,
                         const struct SlRelayFrame *offer);
/// Declines waiting flows, and delivers deferred requests, that cannot be
/// answered in time if they wait longer. Then admits further flows and
/// delivers further requests while slots are free.
void
SlRelayAgent_ServeQueue(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                        uint64_t now_us);
/// Answers an offer of a flow with DECLINE. to: address of the entry.
void
SlRelayAgent_DeclineFlow(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                         uint64_t now_us, const struct SlAddress *to,
                         const struct SlFlowKey *key,
                         enum SlRelayReason reason);
/// Returns the maximum time in microseconds that a flow of the route waits for
/// a slot.
uint64_t
SlRelayAgent_MaxWaitUs(const struct SlPlanRoute *route);
/// Returns the reason for which all offers are declined; SL_RELAY_REASON_NONE
/// when offers can be accepted.
enum SlRelayReason
SlRelayAgent_DeclineReason(const struct SlRelayAgent *agent, uint64_t now_us);

/* relay_deferred.c */
/// Keeps a caller's segment when it belongs to a request that is deferred.
/// Returns false when the segment is to be delivered now. A deferred request
/// is discarded when its caller ends the flow.
bool
SlDeferredRequest_AddSegment(struct SlRelayAgent *agent,
                             struct SlRelaySink *sink, uint64_t now_us,
                             struct SlAgentFlow *flow,
                             const struct SlSegment *segment);
/// Delivers the kept segments of a deferred request to the upstream.
void
SlDeferredRequest_Deliver(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                          uint64_t now_us, struct SlAgentFlow *flow);
/// Discards the kept segments of a deferred request and removes it from the
/// admission queue.
void
SlDeferredRequest_Discard(struct SlRelayAgent *agent,
                          struct SlAgentFlow *flow);

/* relay_report.c */
/// Returns the load of the upstream for a report to entries.
struct SlRelayLoad
SlRelayAgent_CurrentLoad(const struct SlRelayAgent *agent, uint64_t now_us);
/// Reads the entries and the other agents from a configuration. Errors:
/// SL_NO_MEMORY.
enum SlStatus
SlRelayAgent_ReadNodes(struct SlRelayAgent *agent, uint64_t now_us,
                       const struct SlConfig *config);
/// Records that a frame arrived from an entry. Other senders are ignored.
void
SlRelayAgent_RecordEntryFrame(struct SlRelayAgent *agent, uint64_t now_us,
                              const struct SlRelayFrame *frame);
/// Records that a frame arrived from another agent.
void
SlRelayAgent_RecordPeerFrame(struct SlRelayAgent *agent, uint64_t node_id);
/// Records that another agent has left a query unanswered.
void
SlRelayAgent_RecordPeerSilence(struct SlRelayAgent *agent, uint64_t now_us,
                               uint64_t node_id);
/// Sends the answer to an offer with the current load, of which only changes
/// are reported to the entry afterwards. frame: its load is set.
void
SlRelayAgent_SendAnswer(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                        uint64_t now_us, const struct SlAddress *to,
                        struct SlRelayFrame *frame);
/// Reports the load, when it has changed, to the entries that send frames to
/// this agent.
void
SlRelayAgent_ReportLoad(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                        uint64_t now_us);

/* relay_broadcast.c */
/// Starts a broadcast query that an entry requested with a frame of kind
/// BROADCAST_QUERY.
void
SlRelayAgent_BeginBroadcast(struct SlRelayAgent *agent,
                            struct SlRelaySink *sink, uint64_t now_us,
                            const struct SlAddress *from,
                            const struct SlRelayFrame *frame);
/// Handles the answer of another agent to a frame of kind QUERY_MANY.
void
SlRelayAgent_HandleBroadcastAnswer(struct SlRelayAgent *agent,
                                   struct SlRelaySink *sink, uint64_t now_us,
                                   const struct SlRelayFrame *frame);
void
SlRelayAgent_BroadcastsTick(struct SlRelayAgent *agent,
                            struct SlRelaySink *sink, uint64_t now_us);

#endif
