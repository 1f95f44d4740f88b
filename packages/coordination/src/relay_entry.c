#include "relay_entry_core.h"

#include <stdlib.h>
#include <string.h>

enum {
    /// An agent answers an offer within a few milliseconds. The flow is
    /// offered to the next agent after this time, or after the adaptive answer
    /// timeout when that is longer.
    OFFER_TIMEOUT_MIN_US = 60 * 1000,
    /// Minimum time without an answer after which an agent is suspect. An
    /// agent that is only short of processor time answers within 100 ms.
    SILENT_TIMEOUT_MIN_US = 150 * 1000,
    /// Offers of one flow: as many as fit into the caller's first
    /// retransmissions.
    OFFERS_MAX = 4,
    /// The caller of a flow that no agent has confirmed has given up after
    /// this time. An opening segment that arrives later is not a
    /// retransmission but starts a new flow.
    UNCONFIRMED_FLOW_US = 3 * 1000 * 1000,
    US_PER_MS = 1000,
    /// Flows checked for expiry per tick.
    EXPIRY_CHECKS_PER_TICK = 256,
    /// Interval of checks for slow upstreams. They compare answer times, which
    /// are averages over some tenths of a second.
    SLOW_CHECK_INTERVAL_US = 200 * 1000,
    /// Maximum number of flows in the table; the least recently used one is
    /// removed.
    FLOWS_MAX = 200000,
    /// Broadcast queries are numbered from a random number of 31 bits on, so
    /// that a result for a former process is not taken for one of this.
    FIRST_NUMBER_SHIFT = 33,
};

static struct SlEntryFlow *
flow_from_item(struct SlRelayItem *item)
{
    return (struct SlEntryFlow *)item;
}

uint64_t
SlRelayEntry_NextRandom(struct SlRelayEntry *entry)
{
    /* Linear congruential generator: Knuth, TAOCP 3.3.4. */
    entry->random =
        entry->random * 6364136223846793005u + 1442695040888963407u;
    return entry->random >> 16;
}

void
SlRelayEntry_LogEvent(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                      uint64_t now_us, struct SlEvent event)
{
    event.now_us = now_us;
    event.version = entry->version;
    sink->type->log_event(sink, &event);
}

void
SlEntryFlow_Remove(struct SlRelayEntry *entry, struct SlEntryFlow *flow)
{
    SlRelaySearch_Destroy(flow->search);
    SlNodeSet_Release(&flow->returned);
    SlEntryTransfers_ReleaseFlow(entry, flow);
    SlRelayIndex_Remove(&entry->flows, &flow->item);
    free(flow);
}

static struct SlEntryFlow *
find_flow(const struct SlRelayEntry *entry, const struct SlFlowKey *key)
{
    return flow_from_item(SlRelayIndex_Find(&entry->flows, key));
}

static struct SlEntryFlow *
add_flow(struct SlRelayEntry *entry, uint64_t now_us,
         const struct SlFlowKey *key)
{
    struct SlEntryFlow *flow;

    if (entry->flows.count >= FLOWS_MAX) {
        SlEntryFlow_Remove(
            entry, flow_from_item(SlRelayIndex_OldestItem(&entry->flows)));
    }
    flow = calloc(1, sizeof(*flow));
    if (flow == NULL) {
        return NULL;
    }
    flow->item.key = *key;
    flow->began_us = now_us;
    if (SlRelayIndex_Add(&entry->flows, now_us, &flow->item) != SL_OK) {
        free(flow);
        return NULL;
    }
    return flow;
}

struct SlRelayEntry *
SlRelayEntry_Create(const struct SlRelayOptions *options)
{
    struct SlRelayEntry *entry = calloc(1, sizeof(*entry));

    if (entry == NULL) {
        return NULL;
    }
    entry->options = *options;
    entry->node_id = SlNode_Id(options->name);
    entry->random = options->seed ^ entry->node_id;
    entry->flows.seed = options->seed;
    entry->last_delegation =
        (uint32_t)(SlPlacement_MixBits(options->seed) >> FIRST_NUMBER_SHIFT);
    SlEntryTransfers_Init(&entry->transfers, options->link_bytes_per_s);
    return entry;
}

void
SlRelayEntry_Destroy(struct SlRelayEntry *entry)
{
    if (entry == NULL) {
        return;
    }
    while (entry->flows.count > 0) {
        SlEntryFlow_Remove(
            entry, flow_from_item(SlRelayIndex_OldestItem(&entry->flows)));
    }
    SlRelayIndex_Release(&entry->flows);
    SlRelayMembers_Release(&entry->members);
    for (uint32_t i = 0; i < SL_ENTRY_DELEGATIONS_MAX; i++) {
        SlNodeSet_Release(&entry->delegations[i].unsure);
    }
    SlPlan_Unref(entry->plan);
    free(entry);
}

enum SlStatus
SlRelayEntry_SetConfig(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                       uint64_t now_us, const struct SlConfig *config,
                       struct SlPlan *plan)
{
    struct SlRelayMembers members = {.count = 0};
    enum SlStatus status = SL_OK;

    if (plan != NULL) {
        status = SlRelayMembers_Build(&members, now_us, &entry->members,
                                      config, plan, entry->options.zone);
    }
    if (status != SL_OK) {
        return status;
    }
    SlRelayMembers_Release(&entry->members);
    entry->members = members;
    plan = SlPlan_Ref(plan);
    SlPlan_Unref(entry->plan);
    entry->plan = plan;
    SlEntryTransfers_SetPlan(&entry->transfers, plan);
    entry->version = SlConfig_Version(config);
    SlRelayEntry_LogEvent(
        entry, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_CONFIG,
                         .reason = plan != NULL ? "taken" : "no_plan",
                         .value =
                             plan != NULL ? (int64_t)SlPlan_Version(plan) : 0,
                         .limit = members.count});
    return SL_OK;
}

void
SlRelayEntry_SetCutOff(struct SlRelayEntry *entry, bool cut_off)
{
    entry->cut_off = cut_off;
}

void
SlRelayEntry_SendFrame(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                       uint32_t index, const struct SlRelayFrame *frame)
{
    entry->counters.frames++;
    SlEntryTransfers_CountSent(&entry->transfers, frame->segment_bytes);
    sink->type->send_frame(sink, &entry->members.members[index].address,
                           frame);
}

bool
SlRelayEntry_ForwardSegment(struct SlRelayEntry *entry,
                            struct SlRelaySink *sink, uint64_t node_id,
                            const uint8_t *bytes, uint32_t length_bytes)
{
    uint32_t index = SlRelayMembers_Find(&entry->members, node_id);
    struct SlRelayFrame frame = {.kind = SL_RELAY_CARRY,
                                 .sender = entry->node_id,
                                 .segment = bytes,
                                 .segment_bytes = length_bytes};

    if (node_id == 0 || index == SL_RELAY_NO_MEMBER) {
        return false;
    }
    SlRelayEntry_SendFrame(entry, sink, index, &frame);
    entry->counters.segments_forwarded++;
    return true;
}

void
SlRelayEntry_SendReset(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                       const struct SlFlowKey *key, uint32_t seq)
{
    uint8_t reset[SL_SEGMENT_RESET_BYTES];
    uint32_t length_bytes =
        entry->options.format->build_reset(key, seq, reset);

    sink->type->send_to_caller(sink, &key->caller, reset, length_bytes);
}

static void
refuse_flow(struct SlRelayEntry *entry, struct SlRelaySink *sink,
            uint64_t now_us, struct SlEntryFlow *flow, const char *reason)
{
    entry->counters.flows_refused++;
    SlRelayEntry_LogEvent(
        entry, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_REFUSED,
                         .flow = &flow->item.key,
                         .reason = reason,
                         .value = flow->excluded_count,
                         .limit = (int64_t)(now_us - flow->began_us)});
    SlRelayEntry_SendReset(entry, sink, &flow->item.key, 0);
    SlEntryFlow_Remove(entry, flow);
}

/// Offers the flow's opening segment to the best agent that is not excluded.
static void
offer_flow(struct SlRelayEntry *entry, struct SlRelaySink *sink,
           uint64_t now_us, struct SlEntryFlow *flow,
           const struct SlPlanRoute *route, const uint8_t *bytes,
           uint32_t length_bytes)
{
    struct SlRelayMembers *members = &entry->members;
    uint32_t service = SlPlan_ChooseService(route, &flow->item.key);
    uint32_t first = members->first_index[service];
    uint32_t count = members->first_index[service + 1] - first;
    struct SlRelayFrame frame = {.kind = SL_RELAY_OFFER,
                                 .sender = entry->node_id,
                                 .plan_version = SlPlan_Version(entry->plan),
                                 .reads_cost = true,
                                 .uses_cost = members->costs[service].in_use,
                                 .declined_count = flow->excluded_count,
                                 .segment = bytes,
                                 .segment_bytes = length_bytes};
    struct SlEntryChoice choice;
    uint32_t index;

    SlRelayMembers_MarkHomes(members, service, &flow->item.key);
    SlRelayEntry_Choose(entry, now_us, flow, route, service, &choice);
    if (choice.chosen == SL_PLACEMENT_NONE) {
        refuse_flow(entry, sink, now_us, flow,
                    count == 0 ? "no_upstream" : "none_left");
        return;
    }
    index = first + (uint32_t)choice.chosen;
    memcpy(frame.declined_by, flow->excluded, sizeof(frame.declined_by));
    frame.no_alternative = flow->excluded_count + 1 >= SL_RELAY_DECLINED_MAX ||
                           choice.no_alternative;
    flow->holder = members->candidates[index].node_id;
    flow->holder_confirmed = false;
    flow->offered_us = now_us;
    flow->offers++;
    SlRelayMembers_RecordOffer(members, index, now_us);
    SlRelayIndex_AddPending(&entry->flows, &flow->item);
    entry->counters.offers_sent++;
    SlRelayEntry_SendFrame(entry, sink, index, &frame);
    SlRelayEntry_LogEvent(
        entry, sink, now_us,
        (struct SlEvent){
            .number = SL_EVENT_RELAY_OFFER,
            .flow = &flow->item.key,
            .service = SlPlan_ServiceAt(entry->plan, service)->name,
            .node = members->members[index].name,
            .reason = flow->excluded_count > 0 ? "next" : choice.reason,
            .value = members->candidates[index].load.in_progress,
            .limit = members->candidates[index].load.slots});
}

void
SlRelayEntry_OfferKeptSegment(struct SlRelayEntry *entry,
                              struct SlRelaySink *sink, uint64_t now_us,
                              struct SlEntryFlow *flow)
{
    const struct SlPlanRoute *route =
        SlPlan_FindRoute(entry->plan, &flow->item.key.service);

    /* The answer time is measured from the first offer. */
    flow->began_us = now_us;
    if (route == NULL) {
        refuse_flow(entry, sink, now_us, flow, "no_route");
        return;
    }
    offer_flow(entry, sink, now_us, flow, route, flow->opening,
               flow->opening_bytes);
}

static void
exclude_agent(struct SlEntryFlow *flow, uint64_t node_id)
{
    for (uint32_t i = 0; i < flow->excluded_count; i++) {
        if (flow->excluded[i] == node_id) {
            return;
        }
    }
    if (flow->excluded_count < SL_RELAY_DECLINED_MAX) {
        flow->excluded[flow->excluded_count++] = node_id;
    }
}

/// Offers the flow to another agent with the kept opening segment, or refuses
/// the flow when no offer is left.
static void
offer_flow_again(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                 uint64_t now_us, struct SlEntryFlow *flow, const char *reason)
{
    const struct SlPlanRoute *route =
        SlPlan_FindRoute(entry->plan, &flow->item.key.service);

    if (route == NULL || flow->opening_bytes == 0 ||
        flow->offers >= OFFERS_MAX) {
        refuse_flow(entry, sink, now_us, flow, reason);
        return;
    }
    entry->counters.flows_offered_again++;
    offer_flow(entry, sink, now_us, flow, route, flow->opening,
               flow->opening_bytes);
}

static void
drop_unrouted_segment(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                      uint64_t now_us, const struct SlFlowKey *key, bool opens)
{
    entry->counters.no_route++;
    SlRelayEntry_LogEvent(entry, sink, now_us,
                          (struct SlEvent){.number = SL_EVENT_ROUTE_FAILED,
                                           .flow = key,
                                           .reason = "no_route"});
    /* While cut off from control, the process may not know the route yet. */
    if (opens && !entry->cut_off) {
        SlRelayEntry_SendReset(entry, sink, key, 0);
    }
}

static void
handle_opening_segment(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                       uint64_t now_us, const struct SlFlowKey *key,
                       const struct SlSegment *segment)
{
    const struct SlPlanRoute *route =
        SlPlan_FindRoute(entry->plan, &key->service);
    struct SlEntryFlow *flow = find_flow(entry, key);

    if (route == NULL) {
        drop_unrouted_segment(entry, sink, now_us, key, true);
        return;
    }
    if (flow != NULL && SlEntryTransfers_KeepCopy(flow, now_us, segment)) {
        return;
    }
    if (flow != NULL && flow->search == NULL && flow->holder != 0 &&
        now_us - flow->began_us < UNCONFIRMED_FLOW_US) {
        /* A retransmission goes to the agent that has the first copy and may
           be slow to answer. */
        if (SlRelayEntry_ForwardSegment(entry, sink, flow->holder,
                                        segment->bytes,
                                        segment->length_bytes)) {
            return;
        }
    }
    if (flow != NULL) {
        SlEntryFlow_Remove(entry, flow);
    }
    flow = add_flow(entry, now_us, key);
    if (flow == NULL) {
        entry->counters.segments_dropped++;
        return;
    }
    if (segment->length_bytes <= sizeof(flow->opening)) {
        memcpy(flow->opening, segment->bytes, segment->length_bytes);
        flow->opening_bytes = segment->length_bytes;
    }
    if (!SlEntryTransfers_StartFlow(entry, sink, now_us, flow, route,
                                    segment)) {
        return;
    }
    offer_flow(entry, sink, now_us, flow, route, segment->bytes,
               segment->length_bytes);
}

static void
handle_later_segment(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                     uint64_t now_us, const struct SlFlowKey *key,
                     const struct SlSegment *segment)
{
    struct SlEntryFlow *flow = find_flow(entry, key);

    if (flow == NULL) {
        if (SlPlan_FindRoute(entry->plan, &key->service) == NULL) {
            drop_unrouted_segment(entry, sink, now_us, key, false);
            return;
        }
        flow = add_flow(entry, now_us, key);
        if (flow == NULL) {
            entry->counters.segments_dropped++;
            return;
        }
    }
    else {
        SlRelayIndex_MarkUsed(&entry->flows, now_us, &flow->item);
    }
    if (!SlEntryTransfers_RecordSegment(entry, sink, now_us, flow, segment)) {
        return;
    }
    if (flow->search == NULL && now_us < flow->search_backoff_until_us) {
        entry->counters.segments_dropped++;
        return;
    }
    if (flow->search != NULL ||
        !SlRelayEntry_ForwardSegment(entry, sink, flow->holder, segment->bytes,
                                     segment->length_bytes)) {
        SlRelayEntry_SearchHolder(entry, sink, now_us, flow, segment);
    }
}

void
SlRelayEntry_HandleCallerSegment(struct SlRelayEntry *entry,
                                 struct SlRelaySink *sink, uint64_t now_us,
                                 const uint8_t *bytes, uint32_t length_bytes)
{
    struct SlSegment segment;
    struct SlFlowKey key;

    entry->counters.segments++;
    SlEntryTransfers_CountReceived(&entry->transfers, length_bytes);
    if (entry->plan == NULL) {
        entry->counters.segments_dropped++;
        return;
    }
    if (entry->options.format->parse(bytes, length_bytes, &segment) != SL_OK ||
        (segment.flags & SL_SEGMENT_RETURNED)) {
        entry->counters.inputs_malformed++;
        SlRelayEntry_LogEvent(entry, sink, now_us,
                              (struct SlEvent){.number = SL_EVENT_ROUTE_FAILED,
                                               .reason = "malformed",
                                               .value = length_bytes});
        return;
    }
    key = SlSegment_FlowKeyFromCaller(&segment);
    if ((segment.flags & SL_SEGMENT_OPEN) &&
        !(segment.flags & SL_SEGMENT_ACK)) {
        handle_opening_segment(entry, sink, now_us, &key, &segment);
    }
    else {
        handle_later_segment(entry, sink, now_us, &key, &segment);
    }
}

/// Measures how long an agent takes to answer, from the first offer of a flow.
/// Answers that may have waited for the upstream do not show the delay between
/// entry and agent, and are not used.
static void
record_offer_answer_time(struct SlRelayEntry *entry, uint64_t now_us,
                         const struct SlEntryFlow *flow,
                         const struct SlRelayFrame *frame)
{
    uint64_t first =
        flow->excluded_count > 0 ? flow->excluded[0] : flow->holder;
    bool immediate =
        frame->kind == SL_RELAY_ACCEPT || frame->reason == SL_RELAY_BUSY ||
        frame->reason == SL_RELAY_COLD || frame->reason == SL_RELAY_LEAVING;

    if (immediate && !flow->holder_confirmed && flow->offers > 0 &&
        frame->sender == first) {
        SlAnswerTimeout_AddSample(&entry->answer_timeout,
                                  now_us - flow->began_us);
        SlEntryTransfers_AddAnswer(&entry->transfers, now_us - flow->began_us);
    }
}

static void
handle_accept(struct SlRelayEntry *entry, uint64_t now_us,
              struct SlEntryFlow *flow, const struct SlRelayFrame *frame)
{
    if (flow == NULL || flow->search != NULL) {
        return;
    }
    record_offer_answer_time(entry, now_us, flow, frame);
    if (!flow->holder_confirmed || flow->holder == 0) {
        flow->holder = frame->sender;
        flow->holder_confirmed = true;
        SlRelayIndex_RemovePending(&entry->flows, &flow->item);
    }
}

static void
handle_decline(struct SlRelayEntry *entry, struct SlRelaySink *sink,
               uint64_t now_us, struct SlEntryFlow *flow,
               const struct SlRelayFrame *frame)
{
    uint32_t index = SlRelayMembers_Find(&entry->members, frame->sender);

    if (flow == NULL || flow->search != NULL ||
        flow->holder != frame->sender) {
        return;
    }
    record_offer_answer_time(entry, now_us, flow, frame);
    SlRelayEntry_LogEvent(
        entry, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_DECLINED,
                         .flow = &flow->item.key,
                         .node = index != SL_RELAY_NO_MEMBER
                                     ? entry->members.members[index].name
                                     : NULL,
                         .reason = SlRelayReason_Name(frame->reason),
                         .value = frame->load.in_progress,
                         .limit = frame->load.slots});
    exclude_agent(flow, frame->sender);
    if (frame->reason == SL_RELAY_EXPIRED) {
        refuse_flow(entry, sink, now_us, flow,
                    SlRelayReason_Name(frame->reason));
        return;
    }
    offer_flow_again(entry, sink, now_us, flow,
                     SlRelayReason_Name(frame->reason));
}

/// Handles a segment returned by an agent that does not hold its flow.
static void
handle_absent_frame(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                    uint64_t now_us, const struct SlRelayFrame *frame)
{
    struct SlSegment segment;
    struct SlFlowKey key;
    struct SlEntryFlow *flow;

    if (entry->options.format->parse(frame->segment, frame->segment_bytes,
                                     &segment) != SL_OK) {
        entry->counters.inputs_malformed++;
        return;
    }
    key = SlSegment_FlowKeyFromCaller(&segment);
    flow = find_flow(entry, &key);
    if (flow == NULL) {
        entry->counters.segments_dropped++;
        return;
    }
    if (flow->holder != 0 && flow->holder != frame->sender) {
        /* Another holder has been found since the segment was sent. It has got
           the one with which others were probed. */
        if (flow->late_returns > 0) {
            flow->late_returns--;
            return;
        }
        (void)SlRelayEntry_ForwardSegment(entry, sink, flow->holder,
                                          segment.bytes, segment.length_bytes);
        return;
    }
    SlRelayEntry_HandleReturnedSegment(entry, sink, now_us, flow, &segment,
                                       frame->sender);
}

static void
record_load(struct SlRelayEntry *entry, struct SlRelaySink *sink,
            uint64_t now_us, const struct SlRelayFrame *frame)
{
    uint32_t index = SlRelayMembers_Find(&entry->members, frame->sender);
    uint32_t answers =
        frame->kind == SL_RELAY_ACCEPT || frame->kind == SL_RELAY_DECLINE;

    if (index == SL_RELAY_NO_MEMBER) {
        return;
    }
    if (answers > 0) {
        SlRouteDemands_Record(&entry->demands, &frame->flow.service,
                              &frame->load);
    }
    if (SlRelayMembers_RecordLoad(&entry->members, index, now_us, &frame->load,
                                  answers)) {
        SlRelayEntry_LogEvent(
            entry, sink, now_us,
            (struct SlEvent){.number = SL_EVENT_UPSTREAM_CLEARED,
                             .node = entry->members.members[index].name,
                             .reason = "answered"});
    }
}

/// Handles an agent's unsolicited claim that it holds a flow. flow: NULL when
/// the entry does not know it.
static void
handle_unsolicited_holder(struct SlRelayEntry *entry, uint64_t now_us,
                          struct SlEntryFlow *flow,
                          const struct SlRelayFrame *frame)
{
    if (flow == NULL) {
        flow = add_flow(entry, now_us, &frame->flow);
    }
    else {
        SlEntryTransfers_LeaveLine(entry, flow);
    }
    if (flow != NULL && flow->holder == 0) {
        flow->holder = frame->sender;
        flow->holder_confirmed = true;
        flow->search_backoff_until_us = 0;
    }
}

void
SlRelayEntry_HandleFrame(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                         uint64_t now_us, const struct SlRelayFrame *frame)
{
    struct SlEntryFlow *flow;

    if (entry->plan == NULL) {
        return;
    }
    SlEntryTransfers_CountReceived(&entry->transfers, frame->segment_bytes);
    if (entry->is_isolated) {
        entry->is_isolated = false;
        SlRelayMembers_ClearOffers(&entry->members);
    }
    switch (frame->kind) {
    case SL_RELAY_ACCEPT:
        record_load(entry, sink, now_us, frame);
        handle_accept(entry, now_us, find_flow(entry, &frame->flow), frame);
        break;
    case SL_RELAY_DECLINE:
        record_load(entry, sink, now_us, frame);
        handle_decline(entry, sink, now_us, find_flow(entry, &frame->flow),
                       frame);
        break;
    case SL_RELAY_REPORT:
        record_load(entry, sink, now_us, frame);
        break;
    case SL_RELAY_ABSENT:
        if (frame->segment_bytes > 0) {
            handle_absent_frame(entry, sink, now_us, frame);
            break;
        }
        /* fallthrough */
    case SL_RELAY_HOLDS:
        flow = find_flow(entry, &frame->flow);
        if (flow != NULL && flow->search != NULL) {
            SlRelayEntry_HandleQueryAnswer(entry, sink, now_us, flow, frame);
        }
        else if (frame->kind == SL_RELAY_HOLDS && frame->certain) {
            handle_unsolicited_holder(entry, now_us, flow, frame);
        }
        break;
    case SL_RELAY_BROADCAST_UNSURE:
        SlRelayEntry_HandleUnsureAgents(entry, frame);
        break;
    case SL_RELAY_BROADCAST_RESULT:
        SlRelayEntry_HandleDelegationAnswer(entry, sink, now_us, frame);
        break;
    default:
        entry->counters.inputs_malformed++;
        break;
    }
}

static void
tick_pending_flows(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                   uint64_t now_us)
{
    uint64_t timeout_us =
        SlAnswerTimeout_Us(&entry->answer_timeout, OFFER_TIMEOUT_MIN_US);
    struct SlRelayItem *next;

    for (struct SlRelayItem *item = entry->flows.pending; item != NULL;
         item = next) {
        struct SlEntryFlow *flow = flow_from_item(item);

        next = item->pending_next;
        if (flow->search != NULL) {
            SlRelayEntry_SearchTick(entry, sink, now_us, flow);
        }
        else if (now_us - flow->offered_us > timeout_us) {
            exclude_agent(flow, flow->holder);
            offer_flow_again(entry, sink, now_us, flow, "no_answer");
        }
    }
}

/// Marks agents that leave offers unanswered as suspect. When most of them do,
/// the fault is assumed to be at the entry, which is cut off or late: the
/// answer timeout is doubled, and no agent is marked until the next frame
/// arrives.
static void
mark_silent_members(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                    uint64_t now_us)
{
    uint64_t silent_us =
        SlAnswerTimeout_Us(&entry->answer_timeout, SILENT_TIMEOUT_MIN_US);
    uint32_t index = 0;

    if (entry->is_isolated) {
        return;
    }
    if (SlRelayMembers_AreMostSilent(&entry->members, now_us, silent_us)) {
        SlRelayEntry_LogEvent(
            entry, sink, now_us,
            (struct SlEvent){.number = SL_EVENT_RELAY_ANSWERS_LATE,
                             .reason = "most_are_silent",
                             .value = (int64_t)silent_us});
        SlAnswerTimeout_Double(&entry->answer_timeout);
        entry->is_isolated = true;
        return;
    }
    for (;; index++) {
        const struct SlRelayMember *member;

        index = SlRelayMembers_NextSilentMember(&entry->members, index, now_us,
                                                silent_us);
        if (index == SL_RELAY_NO_MEMBER) {
            return;
        }
        member = &entry->members.members[index];
        entry->counters.suspects++;
        SlRelayEntry_LogEvent(
            entry, sink, now_us,
            (struct SlEvent){
                .number = SL_EVENT_UPSTREAM_SUSPECT,
                .node = member->name,
                .reason = "no_answer",
                .value = (int64_t)(now_us - member->oldest_unanswered_us),
                .limit = (int64_t)silent_us});
    }
}

static void
log_slow_change(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                uint64_t now_us, uint32_t index)
{
    const struct SlCandidate *candidate = &entry->members.candidates[index];

    SlRelayEntry_LogEvent(
        entry, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_UPSTREAM_SLOW,
                         .node = entry->members.members[index].name,
                         .reason = entry->members.members[index].detected_slow
                                       ? "slow"
                                       : "well",
                         .value = candidate->load.answer_us,
                         .limit = candidate->load.in_progress});
}

/// Checks for slow upstreams and logs those that became slow or stopped being
/// slow.
static void
check_slow_upstreams(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                     uint64_t now_us)
{
    uint32_t index;

    if (now_us < entry->slow_check_due_us) {
        return;
    }
    entry->slow_check_due_us = now_us + SLOW_CHECK_INTERVAL_US;
    SlRelayMembers_DetectSlow(&entry->members, now_us);
    SlRelayEntry_CheckCosts(entry, sink, now_us);
    index = SlRelayMembers_NextSlowChange(&entry->members, 0);
    while (index != SL_RELAY_NO_MEMBER) {
        log_slow_change(entry, sink, now_us, index);
        index = SlRelayMembers_NextSlowChange(&entry->members, index + 1);
    }
}

/// Removes flows that have been idle for so long that both ends may have
/// discarded them.
static void
expire_flows(struct SlRelayEntry *entry, uint64_t now_us)
{
    uint64_t idle_us = entry->plan != NULL
                           ? (uint64_t)SlPlan_IdleMs(entry->plan) * US_PER_MS
                           : 0;

    for (uint32_t i = 0; i < EXPIRY_CHECKS_PER_TICK; i++) {
        struct SlEntryFlow *flow =
            flow_from_item(SlRelayIndex_OldestItem(&entry->flows));

        if (flow == NULL || now_us - flow->item.used_us <= idle_us) {
            return;
        }
        SlEntryFlow_Remove(entry, flow);
    }
}

void
SlRelayEntry_Tick(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                  uint64_t now_us)
{
    SlQueryBudget_StartTick(&entry->query_budget, now_us,
                            &entry->answer_timeout);
    tick_pending_flows(entry, sink, now_us);
    SlEntryTransfers_Tick(entry, sink, now_us);
    SlRelayEntry_DelegationsTick(entry, sink, now_us);
    mark_silent_members(entry, sink, now_us);
    check_slow_upstreams(entry, sink, now_us);
    expire_flows(entry, now_us);
}

bool
SlRelayEntry_IsReady(const struct SlRelayEntry *entry)
{
    for (uint32_t i = 0; entry->plan != NULL && i < entry->members.count;
         i++) {
        if (entry->members.candidates[i].accepts_flows) {
            return true;
        }
    }
    return false;
}

bool
SlRelayEntry_HasPendingFlows(const struct SlRelayEntry *entry)
{
    return entry->flows.pending != NULL || entry->transfers.waiting.count > 0;
}

void
SlRelayEntry_Counters(const struct SlRelayEntry *entry,
                      struct SlRelayEntryCounters *counters)
{
    *counters = entry->counters;
    counters->flows = entry->flows.count;
    counters->answer_timeout_us =
        SlAnswerTimeout_Us(&entry->answer_timeout, OFFER_TIMEOUT_MIN_US);
    counters->query_limit = entry->query_budget.limit;
    SlEntryTransfers_Counters(&entry->transfers, counters);
}
