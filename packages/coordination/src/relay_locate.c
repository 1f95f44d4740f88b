/// Searches for the holder of a flow. The search first queries the flow's
/// homes in the entry's zone (balance/homes.h), which most likely hold it. If
/// they do not, an agent queries all others for many flows at once
/// (relay_delegate.c): the flow may have come from another zone, may have
/// found no free slot at its homes, or a newer configuration may have moved
/// the route.
///
/// An agent that has restarted cannot know whether its upstream holds the
/// flow. It is probed with the segment itself, which its upstream returns when
/// it does not hold the flow. When homes in the entry's zone have restarted,
/// those in other zones are also queried before all agents are.
///
/// A flow stays where it is when its route moves. So when homes have
/// restarted, or the route leads to no agent, the flow's homes in the services
/// that the route does not allow are queried too before all agents are. The
/// claims of all agents would not fit into one answer when all have restarted.

#include "relay_entry_core.h"

enum {
    /// Agents answer within a few milliseconds, on an overloaded instance
    /// within 100 ms.
    ANSWER_TIMEOUT_MIN_US = 150 * 1000,
    /// Timeout of a whole search, including probes of agents one after the
    /// other and retries of broadcast queries.
    SEARCH_TIMEOUT_US = 1500 * 1000,
    /// After a search without a certain answer, segments of the flow are
    /// dropped for this time, which doubles with each further such search.
    /// These are the intervals of the callers' retransmissions.
    SEARCH_BACKOFF_US = 200 * 1000,
    SEARCH_BACKOFF_DOUBLINGS = 3,
    /// Homes in services that the route does not allow that one search
    /// queries: no more can be probed. The next search goes on after them.
    EARLIER_HOMES_MAX = SL_SEARCH_POSSIBLE_MAX,
};

static bool
is_queried(const struct SlRelayEntry *entry, const struct SlPlanRoute *route,
           uint32_t flow_service, enum SlRelaySearchStage stage,
           uint32_t index)
{
    const struct SlCandidate *candidate = &entry->members.candidates[index];
    uint32_t service = entry->members.members[index].service;
    bool near = candidate->in_local_zone && service == flow_service;

    return candidate->is_home && SlPlan_RouteAllowsService(route, service) &&
           near == (stage == SL_SEARCH_NEAR);
}

/// Queries the flow's homes that belong to the current stage of the search.
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
    uint32_t flow_service;

    search->queried_us = now_us;
    if (route == NULL) {
        return;
    }
    flow_service = SlPlan_ChooseService(route, &flow->item.key);
    for (uint32_t service = 0; service < members->service_count; service++) {
        if (!SlPlan_RouteAllowsService(route, service)) {
            continue;
        }
        SlRelayMembers_MarkHomes(members, service, &flow->item.key);
        for (uint32_t index = members->first_index[service];
             index < members->first_index[service + 1]; index++) {
            if (is_queried(entry, route, flow_service, search->stage, index) &&
                SlRelayMembers_IsAskedAtHome(members, index, now_us)) {
                SlRelayEntry_SendFrame(entry, sink, index, &frame);
                entry->counters.queries++;
                search->unanswered++;
                search->home_queried = true;
            }
        }
    }
}

/// Queries the flow's homes in the services that the route does not allow, as
/// far as the query budget allows; later calls go on. Returns true when the
/// search has to wait for answers or for budget.
static bool
query_earlier_homes(struct SlRelayEntry *entry, struct SlRelaySink *sink,
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
    uint32_t marked = SL_PLAN_NO_SERVICE;

    search->awaits_budget = false;
    for (; route != NULL && search->earlier_checked < members->count &&
           search->earlier_queried < EARLIER_HOMES_MAX;
         search->earlier_checked++, flow->earlier_next++) {
        uint32_t index = flow->earlier_next % members->count;
        uint32_t service = members->members[index].service;

        if (SlPlan_RouteAllowsService(route, service)) {
            continue;
        }
        if (service != marked) {
            SlRelayMembers_MarkHomes(members, service, &flow->item.key);
            marked = service;
        }
        if (!members->candidates[index].is_home ||
            !SlRelayMembers_IsAskedAtHome(members, index, now_us)) {
            continue;
        }
        if (!SlQueryBudget_SpendQueries(&entry->query_budget, 1)) {
            search->awaits_budget = search->unanswered == 0;
            break;
        }
        SlRelayEntry_SendFrame(entry, sink, index, &frame);
        entry->counters.queries++;
        entry->counters.queries_earlier++;
        search->queried_us = now_us;
        search->earlier_queried++;
        search->unanswered++;
    }
    if (search->unanswered > 0) {
        SlRelayEntry_LogEvent(
            entry, sink, now_us,
            (struct SlEvent){.number = SL_EVENT_RELAY_SEARCH,
                             .flow = &flow->item.key,
                             .reason = "route_may_have_moved",
                             .value = search->unanswered});
    }
    return search->unanswered > 0 || search->awaits_budget;
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
    entry->counters.searches_given_up++;
    SlRelayEntry_LogEvent(
        entry, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_SEARCH_ENDED,
                         .flow = &flow->item.key,
                         .reason = "no_certain_answer",
                         .value = (int64_t)(now_us - flow->search->began_us),
                         .limit = flow->search->silent_count});
    free_search(flow);
    SlRelayIndex_RemovePending(&entry->flows, &flow->item);
    flow->holder = 0;
    flow->holder_confirmed = false;
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
        (void)SlRelayEntry_ForwardSegment(entry, sink, flow,
                                          search->segments[i].bytes,
                                          search->segments[i].length_bytes);
    }
}

/// Sends the first kept segment to an agent that may hold the flow. The search
/// stays open and continues when the segment is returned.
static void
probe_holder(struct SlRelayEntry *entry, struct SlRelaySink *sink,
             uint64_t now_us, struct SlEntryFlow *flow, uint64_t node_id)
{
    struct SlRelaySearch *search = flow->search;

    flow->holder = node_id;
    flow->holder_confirmed = false;
    search->probed_us = now_us;
    search->awaits_budget = false;
    if (search->segment_count > 0) {
        (void)SlRelayEntry_ForwardSegment(entry, sink, flow,
                                          search->segments[0].bytes,
                                          search->segments[0].length_bytes);
    }
}

void
SlRelayEntry_ContinueSearch(struct SlRelayEntry *entry,
                            struct SlRelaySink *sink, uint64_t now_us,
                            struct SlEntryFlow *flow)
{
    struct SlRelaySearch *search = flow->search;
    uint64_t next = SlRelaySearch_NextPossibleHolder(search);

    if (entry->plan == NULL) {
        give_up_search(entry, sink, now_us, flow);
        return;
    }
    if (next != 0) {
        probe_holder(entry, sink, now_us, flow, next);
        return;
    }
    if (search->stage == SL_SEARCH_NEAR && search->possible_count > 0) {
        search->stage = SL_SEARCH_FAR;
        query_homes(entry, sink, now_us, flow);
        if (search->unanswered > 0) {
            return;
        }
    }
    if (search->stage != SL_SEARCH_ALL) {
        if ((search->possible_count == 0 && search->home_queried) ||
            !query_earlier_homes(entry, sink, now_us, flow)) {
            search->stage = SL_SEARCH_ALL;
        }
        return;
    }
    /* Agents of services that the route does not allow have restarted, and
       more of their claims may not have fitted into the answer. */
    if (search->claim_not_probed &&
        query_earlier_homes(entry, sink, now_us, flow)) {
        return;
    }
    end_unheld_search(entry, sink, now_us, flow);
}

/// Handles a further segment of a flow while a search is in progress.
static void
add_search_segment(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                   struct SlEntryFlow *flow, const struct SlSegment *segment)
{
    /* The probed agent gets the segment too; it may be the holder. */
    if (flow->holder == 0 ||
        !SlRelayEntry_ForwardSegment(entry, sink, flow, segment->bytes,
                                     segment->length_bytes)) {
        (void)SlRelaySearch_KeepSegment(flow->search, segment->bytes,
                                        segment->length_bytes);
    }
}

void
SlRelayEntry_HandleReturnedSegment(struct SlRelayEntry *entry,
                                   struct SlRelaySink *sink, uint64_t now_us,
                                   struct SlEntryFlow *flow,
                                   const struct SlSegment *segment,
                                   uint64_t sender)
{
    if (flow->search == NULL) {
        SlRelayEntry_SearchHolder(entry, sink, now_us, flow, segment);
        return;
    }
    if (flow->holder == sender) {
        flow->holder = 0;
        SlRelayEntry_ContinueSearch(entry, sink, now_us, flow);
    }
}

void
SlRelayEntry_SearchHolder(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                          uint64_t now_us, struct SlEntryFlow *flow,
                          const struct SlSegment *segment)
{
    if (flow->search != NULL) {
        add_search_segment(entry, sink, flow, segment);
        return;
    }
    flow->holder = 0;
    flow->holder_confirmed = false;
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
    bool probed = flow->holder == holder;

    flow->holder = holder;
    flow->holder_confirmed = true;
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
SlRelayEntry_HandleHolderClaim(struct SlRelayEntry *entry,
                               struct SlRelaySink *sink, uint64_t now_us,
                               struct SlEntryFlow *flow, uint64_t sender,
                               bool certain)
{
    if (certain) {
        end_found_search(entry, sink, now_us, flow, sender);
    }
    else {
        SlRelaySearch_AddPossibleHolder(flow->search, sender);
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

void
SlRelayEntry_SearchTick(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                        uint64_t now_us, struct SlEntryFlow *flow)
{
    struct SlRelaySearch *search = flow->search;
    uint64_t timeout_us =
        SlAnswerTimeout_Us(&entry->answer_timeout, ANSWER_TIMEOUT_MIN_US);

    if (now_us - search->began_us > SEARCH_TIMEOUT_US) {
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
    else if (flow->holder != 0 && now_us - search->probed_us > timeout_us) {
        /* The agent neither returned the segment nor claimed the flow. */
        flow->holder = 0;
        search->silent_count++;
        search->uncertain = true;
        SlRelayEntry_ContinueSearch(entry, sink, now_us, flow);
    }
}
