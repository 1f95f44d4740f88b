#ifndef SAVORYLEDGE_COORDINATION_RELAY_ENTRY_H
#define SAVORYLEDGE_COORDINATION_RELAY_ENTRY_H

/// The entry of the relay. See relay.h.
///
/// The entry remembers which agent holds a flow. Segments of a flow with no
/// known holder are kept while the entry searches for it: it first queries the
/// agents on which the flow was most likely placed (its homes,
/// balance/homes.h), then all others with a broadcast query for many flows at
/// once. A flow is reset only after every agent of its services has answered
/// for certain that it does not hold the flow.

#include "savoryledge/coordination/relay.h"
#include "savoryledge/protocol/message.h"

struct SlRelayEntry;

struct SlRelayEntryCounters {
    /// Segments received from callers.
    uint64_t segments;
    /// Segments and frames that could not be parsed.
    uint64_t inputs_malformed;
    /// Segments to an address that has no route.
    uint64_t no_route;
    /// Offers of flows sent to agents, repeated offers included.
    uint64_t offers_sent;
    /// Flows offered to a further agent after an agent declined or did not
    /// answer.
    uint64_t flows_offered_again;
    /// Offers placed by the expected wait and by the demand of the flow, where
    /// requests differ in their work.
    uint64_t placed_by_wait;
    uint64_t placed_by_demand;
    /// New flows reset because no agent accepted them.
    uint64_t flows_refused;
    /// Segments forwarded to the holder of their flow.
    uint64_t segments_forwarded;
    /// Searches started for the holder of a flow.
    uint64_t searches;
    /// Searches that found the holder.
    uint64_t searches_found_holder;
    /// Searches that showed for certain that no agent holds the flow.
    uint64_t searches_found_no_holder;
    /// Searches that ended without a certain answer.
    uint64_t searches_given_up;
    /// Segments that were dropped.
    uint64_t segments_dropped;
    /// Frames sent to agents, and how many of them are queries for the holder
    /// of a flow.
    uint64_t frames;
    uint64_t queries;
    /// Copies of segments with which agents were probed.
    uint64_t probes;
    /// Claims of agents that are too unlikely holders to be probed.
    uint64_t claims_not_probed;
    /// Broadcast queries, each for many flows.
    uint64_t broadcasts;
    /// Number of times that an agent was marked as suspect.
    uint64_t suspects;
    /// Current answer timeout for agents in microseconds, and the maximum
    /// number of queries per tick.
    uint64_t answer_timeout_us;
    uint64_t query_limit;
    /// Flows in the table now.
    uint64_t flows;
    /// Uploads that started here, or were already in transfer when their first
    /// segment arrived here; those that ended, and how many of them before the
    /// end of their body.
    uint64_t transfers_started;
    uint64_t transfers_taken_over;
    uint64_t transfers_ended;
    uint64_t transfers_cut_short;
    /// Transfers that left the link to others because nothing passed.
    uint64_t transfers_paused;
    /// Uploads whose opening segment waited, and whose caller left meanwhile.
    uint64_t transfers_held;
    uint64_t transfers_left;
    /// Uploads refused on arrival because the link is full, and later because
    /// their turn would come too late.
    uint64_t transfers_refused_full;
    uint64_t transfers_refused_late;
    /// Uploads that are in transfer, that wait, and that may be in transfer at
    /// a time; average time and size of a transfer.
    uint64_t transfers_active;
    uint64_t transfers_waiting;
    uint64_t transfer_limit;
    uint64_t transfer_mean_us;
    uint64_t transfer_mean_bytes;
    /// Estimated rate of the process's link, its use in the busier direction,
    /// and the queueing delay of packets; 0 when the rate is not set.
    uint64_t link_rate_bytes_per_s;
    uint64_t link_used_bytes_per_s;
    uint64_t link_delay_us;
};

/// Creates an entry. Returns NULL when out of memory.
struct SlRelayEntry *
SlRelayEntry_Create(const struct SlRelayOptions *options);
/// Destroys an entry, which may be NULL.
void
SlRelayEntry_Destroy(struct SlRelayEntry *entry);

/// Applies a new configuration. plan may be NULL while the configuration has
/// no document; the entry takes its own reference. Errors: SL_NO_MEMORY (the
/// previous configuration stays in force).
enum SlStatus
SlRelayEntry_SetConfig(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                       uint64_t now_us, const struct SlConfig *config,
                       struct SlPlan *plan);
/// Sets whether the process is cut off from control. While it is, segments to
/// addresses without a known route and flows without a known holder are not
/// reset.
void
SlRelayEntry_SetCutOff(struct SlRelayEntry *entry, bool cut_off);

/// Handles a segment from a caller.
void
SlRelayEntry_HandleCallerSegment(struct SlRelayEntry *entry,
                                 struct SlRelaySink *sink, uint64_t now_us,
                                 const uint8_t *bytes, uint32_t length_bytes);
/// Handles a frame from an agent.
void
SlRelayEntry_HandleFrame(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                         uint64_t now_us, const struct SlRelayFrame *frame);
/// Runs the timers of the entry; must be called at least every
/// SL_RELAY_TICK_US.
void
SlRelayEntry_Tick(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                  uint64_t now_us);

/// Explains where a new flow would be offered now, without offering it and
/// without a change of the entry. Appends lines "key=value" to text: the
/// route, then the candidates in the order of their scores without the random
/// term. Errors: SL_NOT_FOUND (no plan or no route; text has the cause),
/// SL_NO_MEMORY.
enum SlStatus
SlRelayEntry_ExplainPlacement(const struct SlRelayEntry *entry,
                              uint64_t now_us, const struct SlFlowKey *flow,
                              struct SlBuffer *text);

/// True when there is a plan and at least one agent that can be offered flows.
bool
SlRelayEntry_IsReady(const struct SlRelayEntry *entry);
/// True when offers or searches are in progress, or uploads wait, which need
/// further ticks.
bool
SlRelayEntry_HasPendingFlows(const struct SlRelayEntry *entry);
/// Copies the present values of the entry's counters.
void
SlRelayEntry_Counters(const struct SlRelayEntry *entry,
                      struct SlRelayEntryCounters *counters);

enum {
    /// Maximum time between two ticks of an entry or agent.
    SL_RELAY_TICK_US = 20 * 1000,
};

#endif
