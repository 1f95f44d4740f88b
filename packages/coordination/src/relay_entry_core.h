#ifndef SAVORYLEDGE_COORDINATION_RELAY_ENTRY_CORE_H
#define SAVORYLEDGE_COORDINATION_RELAY_ENTRY_CORE_H

/// Internals of the relay's entry. relay_entry.c handles flows and offers,
/// relay_place.c chooses agents for new flows, relay_locate.c searches for the
/// holder of a flow, relay_delegate.c has agents run broadcast queries.

#include "savoryledge/balance/answer_timeout.h"
#include "savoryledge/coordination/relay_entry.h"

#include "relay_gate.h"
#include "relay_index.h"
#include "relay_members.h"
#include "relay_search.h"

enum {
    /// Maximum length of an opening segment that is kept, so that it can be
    /// offered to another agent.
    SL_ENTRY_OPENING_BYTES = 96,
    /// Broadcast queries in progress at a time. There are several, so that a
    /// lost one does not delay the others.
    SL_ENTRY_DELEGATIONS_MAX = 4,
};

/// Whether a flow's route is one for uploads; looked up when first needed.
enum SlEntryTraffic {
    SL_ENTRY_TRAFFIC_UNKNOWN = 0,
    SL_ENTRY_TRAFFIC_UPLOAD,
    SL_ENTRY_TRAFFIC_OTHER,
};

struct SlEntryFlow {
    struct SlRelayItem item;
    /// Node id of the agent that holds the flow, or that the flow was last
    /// offered to; 0 when no such agent is known.
    uint64_t holder;
    /// The holder has confirmed that it holds the flow.
    bool holder_confirmed;
    /// Searches that ended without a certain answer, counted up to the limit
    /// of back-off doublings.
    uint8_t failed_searches;
    /// One of enum SlEntryTraffic.
    uint8_t traffic;
    uint64_t began_us;
    uint64_t offered_us;
    uint32_t offers;
    /// Agents that declined the flow or did not answer the offer.
    uint32_t excluded_count;
    uint64_t excluded[SL_RELAY_DECLINED_MAX];
    uint32_t opening_bytes;
    uint8_t opening[SL_ENTRY_OPENING_BYTES];
    /// NULL while no search is in progress.
    struct SlRelaySearch *search;
    /// When the last search ended. No new search begins before
    /// search_backoff_until_us after a failed one; segments that the caller
    /// sends meanwhile are dropped.
    uint64_t search_ended_us;
    uint64_t search_backoff_until_us;
    /// Agents that have returned a segment of the flow, whose upstreams
    /// therefore do not hold it, and the number that the caller acknowledged
    /// then. Copies of that segment that others will return as well.
    struct SlNodeSet returned;
    uint32_t returned_ack;
    uint32_t late_returns;
    /// The transfer of an upload; NULL for other flows.
    struct SlEntryTransfer *transfer;
};

/// A broadcast query that is delegated to an agent.
struct SlRelayDelegation {
    /// Number of the query; 0 when this element is unused.
    uint32_t number;
    struct SlRelayQueryList queries;
    /// Agents that may hold any of the flows, as far as the agent that runs
    /// the query has sent them.
    struct SlNodeSet unsure;
    /// The agent that runs the query, when it was sent there, and how many
    /// agents have been asked to run it.
    uint64_t agent;
    uint64_t sent_us;
    uint32_t attempts;
    /// Agents that answered that they cannot run it.
    uint32_t refusals;
    /// The agent has sent a first result.
    bool answered;
};

struct SlRelayEntry {
    struct SlRelayOptions options;
    uint64_t node_id;
    uint64_t random;
    struct SlPlan *plan;
    struct SlVersion version;
    struct SlRelayMembers members;
    struct SlRelayIndex flows;
    bool cut_off;
    /// When the next check for slow upstreams, and for services whose requests
    /// differ in their work, is due.
    uint64_t slow_check_due_us;
    struct SlRouteDemands demands;
    /// Adaptive answer timeout for agents, and the number of queries that it
    /// allows per tick.
    struct SlAnswerTimeout answer_timeout;
    struct SlQueryBudget query_budget;
    /// Most agents were silent, and no frame has arrived since: the fault is
    /// assumed to be at the entry, and no agent is marked as suspect.
    bool is_isolated;
    /// Broadcast queries, and the adaptive answer timeout for the agents that
    /// run them.
    struct SlRelayDelegation delegations[SL_ENTRY_DELEGATIONS_MAX];
    /// Number of the last one; the first of a process is random.
    uint32_t last_delegation;
    struct SlAnswerTimeout delegation_timeout;
    struct SlEntryTransfers transfers;
    struct SlRelayEntryCounters counters;
};

/* relay_entry.c */
void
SlEntryFlow_Remove(struct SlRelayEntry *entry, struct SlEntryFlow *flow);
/// Returns the next pseudo-random number; not suitable for secrets.
uint64_t
SlRelayEntry_NextRandom(struct SlRelayEntry *entry);
void
SlRelayEntry_LogEvent(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                      uint64_t now_us, struct SlEvent event);
/// Offers the flow with its kept opening segment for the first time. May
/// remove the flow.
void
SlRelayEntry_OfferKeptSegment(struct SlRelayEntry *entry,
                              struct SlRelaySink *sink, uint64_t now_us,
                              struct SlEntryFlow *flow);
/// Forwards a segment to an agent. Returns false when it is not a known one.
bool
SlRelayEntry_ForwardSegment(struct SlRelayEntry *entry,
                            struct SlRelaySink *sink, uint64_t node_id,
                            const uint8_t *bytes, uint32_t length_bytes);
/// Sends a frame to the agent at index in entry->members.
void
SlRelayEntry_SendFrame(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                       uint32_t index, const struct SlRelayFrame *frame);
void
SlRelayEntry_SendReset(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                       const struct SlFlowKey *key, uint32_t seq);

/* relay_place.c */
/// Where a flow is offered.
struct SlEntryChoice {
    /// Index among the candidates of the service, or SL_PLACEMENT_NONE.
    int32_t chosen;
    /// No other candidate is known to have a free slot, or a short wait.
    bool no_alternative;
    /// The reason of the choice, for the log.
    const char *reason;
};

/// Describes a flow of the route for its placement, except for
/// request->random. Returns true when it is placed by expected work.
bool
SlRelayEntry_DescribeRequest(const struct SlRelayEntry *entry, uint64_t now_us,
                             const struct SlPlanRoute *route, uint32_t service,
                             struct SlPlacementRequest *request);
/// Chooses the candidate of a service to which a flow is offered. service: its
/// index in the plan.
void
SlRelayEntry_Choose(struct SlRelayEntry *entry, uint64_t now_us,
                    const struct SlEntryFlow *flow,
                    const struct SlPlanRoute *route, uint32_t service,
                    struct SlEntryChoice *choice);
/// Checks which services have requests that differ in their work, and logs the
/// changes.
void
SlRelayEntry_CheckCosts(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                        uint64_t now_us);

/* relay_locate.c */
/// Continues a search after all queried agents have answered or their answers
/// have timed out. May remove the flow.
void
SlRelayEntry_ContinueSearch(struct SlRelayEntry *entry,
                            struct SlRelaySink *sink, uint64_t now_us,
                            struct SlEntryFlow *flow);
/// Starts a search for the holder of a segment's flow, or adds the segment to
/// the search in progress.
void
SlRelayEntry_SearchHolder(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                          uint64_t now_us, struct SlEntryFlow *flow,
                          const struct SlSegment *segment);
/// Handles a segment returned by the agent sender, which does not hold its
/// flow, unless another holder has been found.
void
SlRelayEntry_HandleReturnedSegment(struct SlRelayEntry *entry,
                                   struct SlRelaySink *sink, uint64_t now_us,
                                   struct SlEntryFlow *flow,
                                   const struct SlSegment *segment,
                                   uint64_t sender);
/// Handles the answer to a frame of kind QUERY: HOLDS, or ABSENT without a
/// segment.
void
SlRelayEntry_HandleQueryAnswer(struct SlRelayEntry *entry,
                               struct SlRelaySink *sink, uint64_t now_us,
                               struct SlEntryFlow *flow,
                               const struct SlRelayFrame *frame);
/// Runs the timers of a flow's search. May remove the flow.
void
SlRelayEntry_SearchTick(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                        uint64_t now_us, struct SlEntryFlow *flow);

/// Handles the claim of an agent that it holds the flow being searched for
/// (certain), or that it may hold the flow.
void
SlRelayEntry_HandleHolderClaim(struct SlRelayEntry *entry,
                               struct SlRelaySink *sink, uint64_t now_us,
                               struct SlEntryFlow *flow, uint64_t sender,
                               bool certain);

/// Adds the member at index to those that may hold the flow being searched
/// for. by_route: the flow's route allows its service.
void
SlRelayEntry_AddCandidate(struct SlRelayEntry *entry, struct SlEntryFlow *flow,
                          uint32_t index, bool by_route);

/* relay_delegate.c */
/// Starts broadcast queries for searches that need one, and sends a query to
/// another agent when the first one does not answer in time.
void
SlRelayEntry_DelegationsTick(struct SlRelayEntry *entry,
                             struct SlRelaySink *sink, uint64_t now_us);
/// Handles the answer to a frame of kind BROADCAST_QUERY.
void
SlRelayEntry_HandleDelegationAnswer(struct SlRelayEntry *entry,
                                    struct SlRelaySink *sink, uint64_t now_us,
                                    const struct SlRelayFrame *frame);
/// Handles a list of agents that may hold any of the flows of a query.
void
SlRelayEntry_HandleUnsureAgents(struct SlRelayEntry *entry,
                                const struct SlRelayFrame *frame);

#endif
