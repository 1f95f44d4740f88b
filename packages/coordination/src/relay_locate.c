/// Searches for the holder of a flow. The search first queries the flow's
/// homes in the entry's zone (balance/homes.h), which most likely hold it. If
/// they do not, an agent queries all others for many flows at once
/// (relay_delegate.c): the flow may have come from another zone, may have
/// found no free slot at its homes, or a newer configuration may have moved
/// the route.
///
/// An agent that has restarted cannot know whether its upstream holds the
/// flow. It is probed with the segment itself, which its upstream returns when
/// it does not hold the flow: several agents at once, as only the holder takes
/// the segment, and in waves that grow until all that may hold the flow have
/// been probed. Only the first segment is used for that.

#include "relay_entry_core.h"

enum {
    /// Agents answer within a few milliseconds, on an overloaded instance
    /// within 100 ms.
    ANSWER_TIMEOUT_MIN_US = 150 * 1000,
    /// Timeout of a search, including retries of broadcast queries; and of one
    /// that still has agents to probe.
    SEARCH_TIMEOUT_US = 1500 * 1000,
    SEARCH_PROBES_TIMEOUT_US = 6000 * 1000,
    /// Minimum time for which a wave of probes is awaited before the next one.
    WAVE_MIN_US = 60 * 1000,
    WAVE_SIZE_MAX = 1024,
    /// After a search without a certain answer, segments of the flow are
    /// dropped for this time. It doubles with each further such search that
    /// leaves nobody to be probed. These are the intervals of the callers'
    /// retransmissions.
    SEARCH_BACKOFF_US = 200 * 1000,
    SEARCH_BACKOFF_DOUBLINGS = 3,
    /// Agents that returned a segment are remembered for the next search that
    /// begins within this time, if what the caller acknowledges has grown by
    /// less than the limit. Otherwise it may be another flow, whose caller
    /// uses the same address and port.
    RETURNED_US = 4000 * 1000,
    RETURNED_ACK_GROWTH_MAX = 1 << 24,
    RETURNED_ACK_REORDERING_MAX = 1 << 16,
};

/// Queries the flow's homes in the entry's zone.
static void
query_homes(struct SlRelayEntry *entry, struct SlRelaySink *sink,
            uint64_t now_us, struct SlEntryFlow *flow)
{
    struct SlRelaySearch *search = flow->search;
    struct SlRelayMembers *members = &entry->members;
    const struct SlPlanRoute *route =
        SlPlan_FindRoute(entry->plan, &flow->item.key.service);
    struct SlRelayFrame frame = {.kind = SL_RELAY_QUERY,
                                 .sender = entry->node_id,
                                 .plan_version = SlPlan_Version(entry->plan),
                                 .flow = flow->item.key,
                                 .ack = search->ack};
    uint32_t service;

    search->queried_us = now_us;
    if (route == NULL) {
        return;
    }
    service = SlPlan_ChooseService(route, &flow->item.key);
    SlRelayMembers_MarkHomes(members, service, &flow->item.key);
    for (uint32_t index = members->first_index[service];
         index < members->first_index[service + 1]; index++) {
        const struct SlCandidate *candidate = &members->candidates[index];

        if (candidate->is_home && candidate->in_local_zone &&
            SlRelayMembers_IsAskedAtHome(members, index, now_us)) {
            SlRelayEntry_SendFrame(entry, sink, index, &frame);
            entry->counters.queries++;
            search->unanswered++;
        }
    }
}

/// True when the query budget of this tick allows one more search to start its
/// queries.
static bool
take_query_budget(struct SlRelayEntry *entry)
{
    return SlQueryBudget_SpendQueries(&entry->query_budget, SL_HOMES_PER_ZONE);
}

static void
start_queries(struct SlRelayEntry *entry, struct SlRelaySink *sink,
              uint64_t now_us, struct SlEntryFlow *flow)
{
    query_homes(entry, sink, now_us, flow);
    SlRelayEntry_LogEvent(entry, sink, now_us,
                          (struct SlEvent){.number = SL_EVENT_RELAY_SEARCH,
                                           .flow = &flow->item.key,
                                           .reason = "holder_unknown",
                                           .value = flow->search->unanswered});
    if (flow->search->unanswered == 0) {
        SlRelayEntry_ContinueSearch(entry, sink, now_us, flow);
    }
}

static void
free_search(struct SlEntryFlow *flow)
{
    SlRelaySearch_Destroy(flow->search);
    flow->search = NULL;
}

/// Ends a search without a certain answer. The flow is kept in the table, so
/// that a retransmission does not start the same search again at once.
static void
give_up_search(struct SlRelayEntry *entry, struct SlRelaySink *sink,
               uint64_t now_us, struct SlEntryFlow *flow)
{
    const struct SlRelaySearch *search = flow->search;
    bool has_candidates =
        search->candidate_count > 0 || search->probed.count > 0;

    entry->counters.searches_given_up++;
    SlRelayEntry_LogEvent(
        entry, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_SEARCH_ENDED,
                         .flow = &flow->item.key,
                         .reason = "no_certain_answer",
                         .value = (int64_t)(now_us - search->began_us),
                         .limit = search->silent_count});
    free_search(flow);
    SlRelayIndex_RemovePending(&entry->flows, &flow->item);
    flow->holder = 0;
    flow->holder_confirmed = false;
    flow->search_ended_us = now_us;
    if (has_candidates) {
        flow->search_backoff_until_us = now_us + SEARCH_BACKOFF_US;
        return;
    }
    flow->search_backoff_until_us =
        now_us + ((uint64_t)SEARCH_BACKOFF_US << flow->failed_searches);
    if (flow->failed_searches < SEARCH_BACKOFF_DOUBLINGS) {
        flow->failed_searches++;
    }
}

/// Ends a search after which no agent holds the flow. The caller is reset at
/// once, unless the answers are uncertain.
static void
end_unheld_search(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                  uint64_t now_us, struct SlEntryFlow *flow)
{
    if (flow->search->uncertain || entry->cut_off ||
        entry->members.count == 0) {
        give_up_search(entry, sink, now_us, flow);
        return;
    }
    entry->counters.searches_found_no_holder++;
    SlRelayEntry_LogEvent(
        entry, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_SEARCH_ENDED,
                         .flow = &flow->item.key,
                         .reason = "held_by_nobody",
                         .value = (int64_t)(now_us - flow->search->began_us)});
    SlRelayEntry_SendReset(entry, sink, &flow->item.key, flow->search->ack);
    SlEntryFlow_Remove(entry, flow);
}

/// Forwards the kept segments to the flow's holder. first: index of the first
/// segment that the holder has not received yet.
static void
send_kept_segments(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                   const struct SlEntryFlow *flow, uint32_t first)
{
    const struct SlRelaySearch *search = flow->search;

    for (uint32_t i = first; i < search->segment_count; i++) {
        (void)SlRelayEntry_ForwardSegment(entry, sink, flow->holder,
                                          search->segments[i].bytes,
                                          search->segments[i].length_bytes);
    }
}

/// True when the agents that may hold the flow are not probed yet, because one
/// that leaves may hold it as well, and a keeper of its flows would say so.
static bool
awaits_first_result(const struct SlRelayEntry *entry,
                    const struct SlRelaySearch *search)
{
    return entry->members.leaving_count > 0 && !search->broadcast_answered;
}

/// Sends the first kept segment to the next agents that may hold the flow, as
/// far as the query budget allows. Returns true when a wave was sent, or waits
/// for budget.
static bool
send_wave(struct SlRelayEntry *entry, struct SlRelaySink *sink,
          uint64_t now_us, struct SlEntryFlow *flow)
{
    struct SlRelaySearch *search = flow->search;
    uint32_t sent = 0;

    search->awaits_budget = false;
    if (awaits_first_result(entry, search)) {
        return false;
    }
    while (search->candidate_count > 0 && sent < search->wave_size) {
        uint64_t node_id;

        if (!SlQueryBudget_SpendQueries(&entry->query_budget, 1)) {
            search->awaits_budget = sent == 0 && search->awaited == 0;
            break;
        }
        node_id = SlRelaySearch_TakeCandidate(search, &flow->returned);
        if (node_id == 0) {
            break;
        }
        if (search->segment_count == 0 ||
            !SlRelayEntry_ForwardSegment(entry, sink, node_id,
                                         search->segments[0].bytes,
                                         search->segments[0].length_bytes)) {
            (void)SlRelaySearch_RecordReturn(search, node_id);
            search->uncertain = true;
            continue;
        }
        sent++;
    }
    if (sent > 0) {
        search->probed_us = now_us;
        entry->counters.probes += sent;
        if (search->wave_size < WAVE_SIZE_MAX) {
            search->wave_size *= 2;
        }
    }
    return sent > 0 || search->awaits_budget;
}

void
SlRelayEntry_ContinueSearch(struct SlRelayEntry *entry,
                            struct SlRelaySink *sink, uint64_t now_us,
                            struct SlEntryFlow *flow)
{
    struct SlRelaySearch *search = flow->search;

    if (entry->plan == NULL) {
        give_up_search(entry, sink, now_us, flow);
        return;
    }
    if (send_wave(entry, sink, now_us, flow) || search->awaited > 0 ||
        search->unanswered > 0) {
        return;
    }
    if (search->stage == SL_SEARCH_NEAR) {
        search->stage = SL_SEARCH_ALL;
    }
    else if (search->broadcast_ended) {
        end_unheld_search(entry, sink, now_us, flow);
    }
}

/// Records that an agent has returned a segment: its upstream does not hold
/// the flow.
static void
record_return(struct SlEntryFlow *flow, uint64_t sender)
{
    /* Without memory, the agent is merely probed again. */
    (void)SlNodeSet_Add(&flow->returned, sender);
}

void
SlRelayEntry_HandleReturnedSegment(struct SlRelayEntry *entry,
                                   struct SlRelaySink *sink, uint64_t now_us,
                                   struct SlEntryFlow *flow,
                                   const struct SlSegment *segment,
                                   uint64_t sender)
{
    if (flow->search == NULL && flow->holder == sender) {
        SlRelayEntry_SearchHolder(entry, sink, now_us, flow, segment);
        record_return(flow, sender);
        return;
    }
    record_return(flow, sender);
    if (flow->search != NULL &&
        SlRelaySearch_RecordReturn(flow->search, sender)) {
        SlRelayEntry_ContinueSearch(entry, sink, now_us, flow);
    }
}

/// Forgets which agents have returned segments when a segment may belong to
/// another flow.
static void
check_returned(struct SlEntryFlow *flow, uint64_t now_us, uint32_t ack)
{
    uint32_t growth = ack - flow->returned_ack + RETURNED_ACK_REORDERING_MAX;

    if (now_us - flow->search_ended_us > RETURNED_US ||
        growth > RETURNED_ACK_GROWTH_MAX) {
        SlNodeSet_Release(&flow->returned);
    }
    flow->returned_ack = ack;
}

void
SlRelayEntry_SearchHolder(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                          uint64_t now_us, struct SlEntryFlow *flow,
                          const struct SlSegment *segment)
{
    if (flow->search != NULL) {
        (void)SlRelaySearch_KeepSegment(flow->search, segment->bytes,
                                        segment->length_bytes);
        return;
    }
    check_returned(flow, now_us, segment->ack);
    flow->holder = 0;
    flow->holder_confirmed = false;
    flow->late_returns = 0;
    flow->search = SlRelaySearch_Create(now_us, segment->ack);
    if (flow->search == NULL) {
        entry->counters.segments_dropped++;
        return;
    }
    (void)SlRelaySearch_KeepSegment(flow->search, segment->bytes,
                                    segment->length_bytes);
    entry->counters.searches++;
    SlRelayIndex_AddPending(&entry->flows, &flow->item);
    if (take_query_budget(entry)) {
        start_queries(entry, sink, now_us, flow);
    }
}

static void
end_found_search(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                 uint64_t now_us, struct SlEntryFlow *flow, uint64_t holder)
{
    uint32_t index = SlRelayMembers_Find(&entry->members, holder);
    bool probed = SlNodeSet_Contains(&flow->search->probed, holder);

    flow->holder = holder;
    flow->holder_confirmed = true;
    flow->failed_searches = 0;
    flow->search_ended_us = now_us;
    flow->late_returns = flow->search->probed.count - probed;
    entry->counters.searches_found_holder++;
    SlRelayEntry_LogEvent(
        entry, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_SEARCH_ENDED,
                         .flow = &flow->item.key,
                         .node = index != SL_RELAY_NO_MEMBER
                                     ? entry->members.members[index].name
                                     : NULL,
                         .reason = "found",
                         .value = (int64_t)(now_us - flow->search->began_us)});
    send_kept_segments(entry, sink, flow, probed ? 1 : 0);
    free_search(flow);
    SlRelayIndex_RemovePending(&entry->flows, &flow->item);
}

void
SlRelayEntry_AddCandidate(struct SlRelayEntry *entry, struct SlEntryFlow *flow,
                          uint32_t index, bool by_route)
{
    struct SlRelayMembers *members = &entry->members;
    struct SlSearchCandidate candidate = {
        .node_id = members->candidates[index].node_id,
        .distance =
            SlRelayMembers_Distance(members, index,
                                    SlRelayMembers_FlowHash(&flow->item.key)) +
            (by_route ? 0 : SL_RELAY_DISTANCE_MAX)};

    SlRelaySearch_AddCandidate(flow->search, &flow->returned, &candidate);
}

void
SlRelayEntry_HandleHolderClaim(struct SlRelayEntry *entry,
                               struct SlRelaySink *sink, uint64_t now_us,
                               struct SlEntryFlow *flow, uint64_t sender,
                               bool certain)
{
    uint32_t index = SlRelayMembers_Find(&entry->members, sender);
    const struct SlPlanRoute *route =
        SlPlan_FindRoute(entry->plan, &flow->item.key.service);

    if (certain) {
        end_found_search(entry, sink, now_us, flow, sender);
    }
    else if (index == SL_RELAY_NO_MEMBER) {
        flow->search->uncertain = true;
    }
    else {
        SlRelayEntry_AddCandidate(
            entry, flow, index,
            route != NULL &&
                SlPlan_RouteAllowsService(
                    route, entry->members.members[index].service));
    }
}

void
SlRelayEntry_HandleQueryAnswer(struct SlRelayEntry *entry,
                               struct SlRelaySink *sink, uint64_t now_us,
                               struct SlEntryFlow *flow,
                               const struct SlRelayFrame *frame)
{
    struct SlRelaySearch *search = flow->search;

    if (search->unanswered > 0 && search->silent_count == 0) {
        SlAnswerTimeout_AddSample(&entry->answer_timeout,
                                  now_us - search->queried_us);
    }
    if (frame->kind == SL_RELAY_HOLDS) {
        SlRelayEntry_HandleHolderClaim(entry, sink, now_us, flow,
                                       frame->sender, frame->certain);
        if (frame->certain) {
            return;
        }
    }
    if (search->unanswered > 0 && --search->unanswered == 0) {
        SlRelayEntry_ContinueSearch(entry, sink, now_us, flow);
    }
}

/// Stops waiting for the homes that were queried. The broadcast query to all
/// agents will include them.
static void
stop_awaiting_homes(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                    uint64_t now_us, struct SlEntryFlow *flow)
{
    struct SlRelaySearch *search = flow->search;

    search->silent_count += search->unanswered;
    search->unanswered = 0;
    SlRelayEntry_ContinueSearch(entry, sink, now_us, flow);
}

/// Goes on without the agents that were probed and neither returned the
/// segment nor claimed the flow.
static void
stop_awaiting_probes(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                     uint64_t now_us, struct SlEntryFlow *flow)
{
    struct SlRelaySearch *search = flow->search;

    search->silent_count += search->awaited;
    search->awaited = 0;
    search->uncertain = true;
    SlRelayEntry_ContinueSearch(entry, sink, now_us, flow);
}

void
SlRelayEntry_SearchTick(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                        uint64_t now_us, struct SlEntryFlow *flow)
{
    struct SlRelaySearch *search = flow->search;
    uint64_t timeout_us =
        SlAnswerTimeout_Us(&entry->answer_timeout, ANSWER_TIMEOUT_MIN_US);
    uint64_t wave_us = SlAnswerTimeout_Us(&entry->answer_timeout, WAVE_MIN_US);
    bool has_candidates = search->candidate_count > 0;

    if (now_us - search->began_us >
        (has_candidates ? SEARCH_PROBES_TIMEOUT_US : SEARCH_TIMEOUT_US)) {
        give_up_search(entry, sink, now_us, flow);
    }
    else if (search->queried_us == 0) {
        if (take_query_budget(entry)) {
            start_queries(entry, sink, now_us, flow);
        }
    }
    else if (search->awaits_budget) {
        SlRelayEntry_ContinueSearch(entry, sink, now_us, flow);
    }
    else if (search->unanswered > 0) {
        if (now_us - search->queried_us > timeout_us) {
            stop_awaiting_homes(entry, sink, now_us, flow);
        }
    }
    else if (has_candidates) {
        if (now_us - search->probed_us > wave_us) {
            (void)send_wave(entry, sink, now_us, flow);
        }
    }
    else if (search->awaited > 0 && now_us - search->probed_us > timeout_us) {
        stop_awaiting_probes(entry, sink, now_us, flow);
    }
    else if (search->awaited > 0 && now_us - search->probed_us > wave_us) {
        search->stage = SL_SEARCH_ALL;
    }
}
