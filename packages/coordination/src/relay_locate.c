/// Who holds a flow? Its homes in the entry's zone are asked
/// (balance/homes.h), which hold it in all likelihood. What they do not hold
/// is asked of all agents, for many flows together (relay_delegate.c): a flow
/// may have come from another zone or found no slot free at its homes, and a
/// newer configuration may have moved the route. An agent that restarted
/// cannot know; it is tried with the segment itself, which its upstream gives
/// back when it does not hold the flow. Where near homes have restarted, those
/// in other zones are asked too before all agents are.

#include "relay_entry_core.h"

enum {
    /// Agents answer within a few milliseconds, those of a slowed machine
    /// within a tenth of a second.
    ANSWER_LEAST_US = 150 * 1000,
    /// A whole search, with agents tried one by one and questions to all of
    /// them repeated.
    GIVE_UP_US = 1500 * 1000,
    /// After a search without a certain answer a caller's segments are dropped
    /// for so long, twice as long after each further one: the pauses after
    /// which a caller sends again.
    QUIET_US = 200 * 1000,
    QUIET_DOUBLINGS = 3,
};

static bool
is_asked(const struct SlRelayEntry *entry, const struct SlPlanRoute *route,
         uint32_t own_service, enum SlRelaySearchStage stage, uint32_t at)
{
    const struct SlCandidate *candidate = &entry->members.candidates[at];
    uint32_t service = entry->members.members[at].service;
    bool near = candidate->in_local_zone && service == own_service;

    return candidate->is_home && SlPlan_RouteAllowsService(route, service) &&
           near == (stage == SL_SEARCH_NEAR);
}

/// Asks the flow's homes of this stage of the search.
static void
ask(struct SlRelayEntry *entry, struct SlRelaySink *sink, uint64_t now_us,
    struct SlEntryFlow *flow)
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
    uint32_t own;

    search->asked_us = now_us;
    if (route == NULL) {
        return;
    }
    own = SlPlan_ChooseService(route, &flow->item.key);
    for (uint32_t service = 0; service < members->service_count; service++) {
        if (!SlPlan_RouteAllowsService(route, service)) {
            continue;
        }
        SlRelayMembers_MarkHomes(members, service, &flow->item.key);
        for (uint32_t at = members->first[service];
             at < members->first[service + 1]; at++) {
            if (is_asked(entry, route, own, search->stage, at) &&
                SlRelayMembers_MayHold(members, at, now_us)) {
                SlRelayEntry_Send(entry, sink, at, &frame);
                entry->counters.queries++;
                search->open++;
            }
        }
    }
}

/// May one more search begin to ask in this tick?
static bool
has_turn(struct SlRelayEntry *entry)
{
    return SlQueryBudget_Spend(&entry->budget, SL_HOMES_PER_ZONE);
}

static void
begin_asking(struct SlRelayEntry *entry, struct SlRelaySink *sink,
             uint64_t now_us, struct SlEntryFlow *flow)
{
    ask(entry, sink, now_us, flow);
    SlRelayEntry_Event(entry, sink, now_us,
                       (struct SlEvent){.number = SL_EVENT_RELAY_SEARCH,
                                        .flow = &flow->item.key,
                                        .reason = "holder_unknown",
                                        .value = flow->search->open});
    if (flow->search->open == 0) {
        SlRelayEntry_GoOn(entry, sink, now_us, flow);
    }
}

static void
end_search(struct SlEntryFlow *flow)
{
    SlRelaySearch_Destroy(flow->search);
    flow->search = NULL;
}

/// Nothing certain was heard. The flow is remembered, so that what its caller
/// sends again does not begin the same search at once.
static void
give_up(struct SlRelayEntry *entry, struct SlRelaySink *sink, uint64_t now_us,
        struct SlEntryFlow *flow)
{
    entry->counters.searches_given_up++;
    SlRelayEntry_Event(
        entry, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_SEARCH_ENDED,
                         .flow = &flow->item.key,
                         .reason = "no_certain_answer",
                         .value = (int64_t)(now_us - flow->search->began_us),
                         .limit = flow->search->silent});
    end_search(flow);
    SlRelayIndex_StopWaiting(&entry->flows, &flow->item);
    flow->holder = 0;
    flow->held = false;
    flow->quiet_until_us = now_us + ((uint64_t)QUIET_US << flow->fruitless);
    if (flow->fruitless < QUIET_DOUBLINGS) {
        flow->fruitless++;
    }
}

/// Nobody holds it: the caller learns at once that the flow is over.
static void
end_unheld(struct SlRelayEntry *entry, struct SlRelaySink *sink,
           uint64_t now_us, struct SlEntryFlow *flow)
{
    if (flow->search->uncertain || entry->cut_off ||
        entry->members.count == 0) {
        give_up(entry, sink, now_us, flow);
        return;
    }
    entry->counters.not_found++;
    SlRelayEntry_Event(
        entry, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_SEARCH_ENDED,
                         .flow = &flow->item.key,
                         .reason = "held_by_nobody",
                         .value = (int64_t)(now_us - flow->search->began_us)});
    SlRelayEntry_Reset(entry, sink, &flow->item.key, flow->search->ack);
    SlEntryFlow_Remove(entry, flow);
}

/// first: the segments before it have gone to the holder already.
static void
send_kept(struct SlRelayEntry *entry, struct SlRelaySink *sink,
          const struct SlEntryFlow *flow, uint32_t first)
{
    const struct SlRelaySearch *search = flow->search;

    for (uint32_t i = first; i < search->segment_count; i++) {
        (void)SlRelayEntry_Carry(entry, sink, flow, search->segments[i].bytes,
                                 search->segments[i].length_bytes);
    }
}

/// Hands the first waiting segment to an agent that may hold the flow. The
/// search stays open: a segment that comes back goes on with it.
static void
try_holder(struct SlRelayEntry *entry, struct SlRelaySink *sink,
           uint64_t now_us, struct SlEntryFlow *flow, uint64_t node_id)
{
    struct SlRelaySearch *search = flow->search;

    flow->holder = node_id;
    flow->held = false;
    search->tried_us = now_us;
    if (search->segment_count > 0) {
        (void)SlRelayEntry_Carry(entry, sink, flow, search->segments[0].bytes,
                                 search->segments[0].length_bytes);
    }
}

void
SlRelayEntry_GoOn(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                  uint64_t now_us, struct SlEntryFlow *flow)
{
    struct SlRelaySearch *search = flow->search;
    uint64_t next = SlRelaySearch_NextMaybe(search);

    if (next != 0) {
        try_holder(entry, sink, now_us, flow, next);
        return;
    }
    if (search->stage == SL_SEARCH_NEAR && search->maybe_count > 0) {
        search->stage = SL_SEARCH_FAR;
        ask(entry, sink, now_us, flow);
        if (search->open > 0) {
            return;
        }
    }
    if (search->stage != SL_SEARCH_ALL) {
        search->stage = SL_SEARCH_ALL;
        return;
    }
    end_unheld(entry, sink, now_us, flow);
}

/// A further segment of a flow that is searched for.
static void
add_segment(struct SlRelayEntry *entry, struct SlRelaySink *sink,
            struct SlEntryFlow *flow, const struct SlSegment *segment)
{
    /* The agent that is being tried gets it too: it may be the holder. */
    if (flow->holder == 0 ||
        !SlRelayEntry_Carry(entry, sink, flow, segment->bytes,
                            segment->length_bytes)) {
        (void)SlRelaySearch_Keep(flow->search, segment->bytes,
                                 segment->length_bytes);
    }
}

void
SlRelayEntry_NotThere(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                      uint64_t now_us, struct SlEntryFlow *flow,
                      const struct SlSegment *segment, uint64_t sender)
{
    if (flow->search == NULL) {
        SlRelayEntry_Locate(entry, sink, now_us, flow, segment);
        return;
    }
    if (flow->holder == sender) {
        flow->holder = 0;
        SlRelayEntry_GoOn(entry, sink, now_us, flow);
    }
}

void
SlRelayEntry_Locate(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                    uint64_t now_us, struct SlEntryFlow *flow,
                    const struct SlSegment *segment)
{
    if (flow->search != NULL) {
        add_segment(entry, sink, flow, segment);
        return;
    }
    flow->holder = 0;
    flow->held = false;
    flow->search = SlRelaySearch_Create(now_us, segment->ack);
    if (flow->search == NULL) {
        entry->counters.dropped++;
        return;
    }
    (void)SlRelaySearch_Keep(flow->search, segment->bytes,
                             segment->length_bytes);
    entry->counters.searches++;
    SlRelayIndex_Wait(&entry->flows, &flow->item);
    if (has_turn(entry)) {
        begin_asking(entry, sink, now_us, flow);
    }
}

static void
found(struct SlRelayEntry *entry, struct SlRelaySink *sink, uint64_t now_us,
      struct SlEntryFlow *flow, uint64_t holder)
{
    uint32_t at = SlRelayMembers_Find(&entry->members, holder);
    bool tried = flow->holder == holder;

    flow->holder = holder;
    flow->held = true;
    entry->counters.found++;
    SlRelayEntry_Event(
        entry, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_SEARCH_ENDED,
                         .flow = &flow->item.key,
                         .node = at != SL_RELAY_NO_MEMBER
                                     ? entry->members.members[at].name
                                     : NULL,
                         .reason = "found",
                         .value = (int64_t)(now_us - flow->search->began_us)});
    send_kept(entry, sink, flow, tried ? 1 : 0);
    end_search(flow);
    SlRelayIndex_StopWaiting(&entry->flows, &flow->item);
}

void
SlRelayEntry_Claimed(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                     uint64_t now_us, struct SlEntryFlow *flow,
                     uint64_t sender, bool certain)
{
    if (certain) {
        found(entry, sink, now_us, flow, sender);
    }
    else {
        SlRelaySearch_Maybe(flow->search, sender);
    }
}

void
SlRelayEntry_Located(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                     uint64_t now_us, struct SlEntryFlow *flow,
                     const struct SlRelayFrame *frame)
{
    struct SlRelaySearch *search = flow->search;

    if (search->open > 0 && search->silent == 0) {
        SlAnswerTimeout_AddSample(&entry->patience, now_us - search->asked_us);
    }
    if (frame->kind == SL_RELAY_HOLDS) {
        SlRelayEntry_Claimed(entry, sink, now_us, flow, frame->sender,
                             frame->certain);
        if (frame->certain) {
            return;
        }
    }
    if (search->open > 0 && --search->open == 0) {
        SlRelayEntry_GoOn(entry, sink, now_us, flow);
    }
}

/// The homes that were asked are not waited for any longer. All agents will be
/// asked, these among them.
static void
stop_waiting(struct SlRelayEntry *entry, struct SlRelaySink *sink,
             uint64_t now_us, struct SlEntryFlow *flow)
{
    struct SlRelaySearch *search = flow->search;

    search->silent += search->open;
    search->open = 0;
    SlRelayEntry_GoOn(entry, sink, now_us, flow);
}

void
SlRelayEntry_LocateTick(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                        uint64_t now_us, struct SlEntryFlow *flow)
{
    struct SlRelaySearch *search = flow->search;
    uint64_t patience_us =
        SlAnswerTimeout_Us(&entry->patience, ANSWER_LEAST_US);

    if (now_us - search->began_us > GIVE_UP_US) {
        give_up(entry, sink, now_us, flow);
    }
    else if (search->asked_us == 0) {
        if (has_turn(entry)) {
            begin_asking(entry, sink, now_us, flow);
        }
    }
    else if (search->open > 0) {
        if (now_us - search->asked_us > patience_us) {
            stop_waiting(entry, sink, now_us, flow);
        }
    }
    else if (flow->holder != 0 && now_us - search->tried_us > patience_us) {
        /* Neither did it give the segment back nor say that it holds it. */
        flow->holder = 0;
        search->silent++;
        search->uncertain = true;
        SlRelayEntry_GoOn(entry, sink, now_us, flow);
    }
}
