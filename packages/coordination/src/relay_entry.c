#include "relay_entry_core.h"

#include <stdlib.h>
#include <string.h>

enum {
    /// An agent answers an offer within a few milliseconds. Later than this,
    /// or than answers usually take, the next one gets it.
    OFFER_LEAST_US = 60 * 1000,
    /// An agent that answers nothing for so long, at least, is suspect: one
    /// that is only short of processor answers within a tenth of a second.
    SILENT_LEAST_US = 150 * 1000,
    /// Offers of one flow: as many as fit the caller's first repetitions.
    OFFERS_MAX = 4,
    /// A flow that was never held is forgotten when its caller has given up.
    UNHELD_US = 3 * 1000 * 1000,
    US_PER_MS = 1000,
    /// Flows looked at for their age in one tick.
    EXPIRE_PER_TICK = 256,
    /// Time between judgements of upstreams by their answers, which are
    /// averages over some tenths of a second.
    JUDGE_US = 200 * 1000,
    /// Flows remembered at most; the longest unused goes.
    FLOWS_MAX = 200000,
};

static struct SlEntryFlow *
flow_of(struct SlRelayItem *item)
{
    return (struct SlEntryFlow *)item;
}

uint64_t
SlRelayEntry_Random(struct SlRelayEntry *entry)
{
    /* Knuth, TAOCP 3.3.4. */
    entry->random =
        entry->random * 6364136223846793005u + 1442695040888963407u;
    return entry->random >> 16;
}

void
SlRelayEntry_Event(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                   uint64_t now_us, struct SlEvent event)
{
    event.now_us = now_us;
    event.version = entry->version;
    sink->type->event(sink, &event);
}

void
SlEntryFlow_Remove(struct SlRelayEntry *entry, struct SlEntryFlow *flow)
{
    SlRelaySearch_Destroy(flow->search);
    SlRelayIndex_Remove(&entry->flows, &flow->item);
    free(flow);
}

static struct SlEntryFlow *
find_flow(const struct SlRelayEntry *entry, const struct SlFlowKey *key)
{
    return flow_of(SlRelayIndex_Find(&entry->flows, key));
}

static struct SlEntryFlow *
add_flow(struct SlRelayEntry *entry, uint64_t now_us,
         const struct SlFlowKey *key)
{
    struct SlEntryFlow *flow;

    if (entry->flows.count >= FLOWS_MAX) {
        SlEntryFlow_Remove(entry, flow_of(SlRelayIndex_Oldest(&entry->flows)));
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
    return entry;
}

void
SlRelayEntry_Destroy(struct SlRelayEntry *entry)
{
    if (entry == NULL) {
        return;
    }
    while (entry->flows.count > 0) {
        SlEntryFlow_Remove(entry, flow_of(SlRelayIndex_Oldest(&entry->flows)));
    }
    SlRelayIndex_Release(&entry->flows);
    SlRelayMembers_Release(&entry->members);
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
    entry->version = SlConfig_Version(config);
    SlRelayEntry_Event(
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
SlRelayEntry_Send(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                  uint32_t at, const struct SlRelayFrame *frame)
{
    entry->counters.frames++;
    sink->type->send_frame(sink, &entry->members.members[at].address, frame);
}

bool
SlRelayEntry_Carry(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                   const struct SlEntryFlow *flow, const uint8_t *bytes,
                   uint32_t length_bytes)
{
    uint32_t at = SlRelayMembers_Find(&entry->members, flow->holder);
    struct SlRelayFrame frame = {.kind = SL_RELAY_CARRY,
                                 .sender = entry->node_id,
                                 .segment = bytes,
                                 .segment_bytes = length_bytes};

    if (flow->holder == 0 || at == SL_RELAY_NO_MEMBER) {
        return false;
    }
    SlRelayEntry_Send(entry, sink, at, &frame);
    entry->counters.carried++;
    return true;
}

void
SlRelayEntry_Reset(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                   const struct SlFlowKey *key, uint32_t seq)
{
    uint8_t reset[SL_SEGMENT_RESET_BYTES];
    uint32_t length_bytes =
        entry->options.format->build_reset(key, seq, reset);

    sink->type->send_to_caller(sink, &key->caller, reset, length_bytes);
}

static void
refuse(struct SlRelayEntry *entry, struct SlRelaySink *sink, uint64_t now_us,
       struct SlEntryFlow *flow, const char *reason)
{
    entry->counters.refused++;
    SlRelayEntry_Event(
        entry, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_REFUSED,
                         .flow = &flow->item.key,
                         .reason = reason,
                         .value = flow->tried_count,
                         .limit = (int64_t)(now_us - flow->began_us)});
    SlRelayEntry_Reset(entry, sink, &flow->item.key, 0);
    SlEntryFlow_Remove(entry, flow);
}

/// Offers the flow's opening segment to the best agent that has not declined.
static void
offer(struct SlRelayEntry *entry, struct SlRelaySink *sink, uint64_t now_us,
      struct SlEntryFlow *flow, const struct SlPlanRoute *route,
      const uint8_t *bytes, uint32_t length_bytes)
{
    struct SlRelayMembers *members = &entry->members;
    uint32_t service = SlPlan_ChooseService(route, &flow->item.key);
    uint32_t first = members->first[service];
    uint32_t count = members->first[service + 1] - first;
    struct SlCandidate *candidates = &members->candidates[first];
    struct SlRelayFrame frame = {.kind = SL_RELAY_OFFER,
                                 .sender = entry->node_id,
                                 .plan_version = SlPlan_Version(entry->plan),
                                 .declined_count = flow->tried_count,
                                 .segment = bytes,
                                 .segment_bytes = length_bytes};
    int32_t chosen;
    uint32_t at;

    SlRelayMembers_MarkHomes(members, service, &flow->item.key);
    chosen =
        SlPlacement_Choose(candidates, count, flow->tried, flow->tried_count,
                           route->kind, SlRelayEntry_Random(entry));
    if (chosen == SL_PLACEMENT_NONE) {
        refuse(entry, sink, now_us, flow,
               count == 0 ? "no_upstream" : "none_left");
        return;
    }
    at = first + (uint32_t)chosen;
    memcpy(frame.declined_by, flow->tried, sizeof(frame.declined_by));
    frame.no_alternative =
        flow->tried_count + 1 >= SL_RELAY_DECLINED_MAX ||
        !SlPlacement_HasFreeSlot(candidates, count, flow->tried,
                                 flow->tried_count, chosen);
    flow->holder = members->candidates[at].node_id;
    flow->held = false;
    flow->offered_us = now_us;
    flow->offers++;
    SlRelayMembers_Offered(members, at, now_us);
    SlRelayIndex_Wait(&entry->flows, &flow->item);
    entry->counters.offered++;
    SlRelayEntry_Send(entry, sink, at, &frame);
    SlRelayEntry_Event(
        entry, sink, now_us,
        (struct SlEvent){
            .number = SL_EVENT_RELAY_OFFER,
            .flow = &flow->item.key,
            .service = SlPlan_ServiceAt(entry->plan, service)->name,
            .node = members->members[at].name,
            .reason = flow->tried_count > 0 ? "next" : "least_work",
            .value = members->candidates[at].load.in_progress,
            .limit = members->candidates[at].load.slots});
}

static void
add_tried(struct SlEntryFlow *flow, uint64_t node_id)
{
    for (uint32_t i = 0; i < flow->tried_count; i++) {
        if (flow->tried[i] == node_id) {
            return;
        }
    }
    if (flow->tried_count < SL_RELAY_DECLINED_MAX) {
        flow->tried[flow->tried_count++] = node_id;
    }
}

/// Offers again with the segment that is kept, or refuses.
static void
offer_next(struct SlRelayEntry *entry, struct SlRelaySink *sink,
           uint64_t now_us, struct SlEntryFlow *flow, const char *reason)
{
    const struct SlPlanRoute *route =
        SlPlan_FindRoute(entry->plan, &flow->item.key.service);

    if (route == NULL || flow->opening_bytes == 0 ||
        flow->offers >= OFFERS_MAX) {
        refuse(entry, sink, now_us, flow, reason);
        return;
    }
    entry->counters.offered_again++;
    offer(entry, sink, now_us, flow, route, flow->opening,
          flow->opening_bytes);
}

static void
drop_unrouted(struct SlRelayEntry *entry, struct SlRelaySink *sink,
              uint64_t now_us, const struct SlFlowKey *key, bool opens)
{
    entry->counters.no_route++;
    SlRelayEntry_Event(entry, sink, now_us,
                       (struct SlEvent){.number = SL_EVENT_ROUTE_FAILED,
                                        .flow = key,
                                        .reason = "no_route"});
    /* Who does not hear control may only not know the route yet. */
    if (opens && !entry->cut_off) {
        SlRelayEntry_Reset(entry, sink, key, 0);
    }
}

static void
take_opening(struct SlRelayEntry *entry, struct SlRelaySink *sink,
             uint64_t now_us, const struct SlFlowKey *key,
             const struct SlSegment *segment)
{
    const struct SlPlanRoute *route =
        SlPlan_FindRoute(entry->plan, &key->service);
    struct SlEntryFlow *flow = find_flow(entry, key);

    if (route == NULL) {
        drop_unrouted(entry, sink, now_us, key, true);
        return;
    }
    if (flow != NULL && flow->search == NULL && flow->holder != 0 &&
        now_us - flow->began_us < UNHELD_US) {
        /* A copy: to the agent that has the first, which may be slow. */
        if (SlRelayEntry_Carry(entry, sink, flow, segment->bytes,
                               segment->length_bytes)) {
            return;
        }
    }
    if (flow != NULL) {
        SlEntryFlow_Remove(entry, flow);
    }
    flow = add_flow(entry, now_us, key);
    if (flow == NULL) {
        entry->counters.dropped++;
        return;
    }
    if (segment->length_bytes <= sizeof(flow->opening)) {
        memcpy(flow->opening, segment->bytes, segment->length_bytes);
        flow->opening_bytes = segment->length_bytes;
    }
    offer(entry, sink, now_us, flow, route, segment->bytes,
          segment->length_bytes);
}

static void
take_other(struct SlRelayEntry *entry, struct SlRelaySink *sink,
           uint64_t now_us, const struct SlFlowKey *key,
           const struct SlSegment *segment)
{
    struct SlEntryFlow *flow = find_flow(entry, key);

    if (flow == NULL) {
        if (SlPlan_FindRoute(entry->plan, &key->service) == NULL) {
            drop_unrouted(entry, sink, now_us, key, false);
            return;
        }
        flow = add_flow(entry, now_us, key);
        if (flow == NULL) {
            entry->counters.dropped++;
            return;
        }
    }
    else {
        SlRelayIndex_Use(&entry->flows, now_us, &flow->item);
    }
    if (flow->search == NULL && now_us < flow->quiet_until_us) {
        entry->counters.dropped++;
        return;
    }
    if (flow->search != NULL ||
        !SlRelayEntry_Carry(entry, sink, flow, segment->bytes,
                            segment->length_bytes)) {
        SlRelayEntry_Locate(entry, sink, now_us, flow, segment);
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
    if (entry->plan == NULL) {
        entry->counters.dropped++;
        return;
    }
    if (entry->options.format->parse(bytes, length_bytes, &segment) != SL_OK ||
        (segment.flags & SL_SEGMENT_RETURNED)) {
        entry->counters.malformed++;
        SlRelayEntry_Event(entry, sink, now_us,
                           (struct SlEvent){.number = SL_EVENT_ROUTE_FAILED,
                                            .reason = "malformed",
                                            .value = length_bytes});
        return;
    }
    key = SlSegment_CallerKey(&segment);
    if ((segment.flags & SL_SEGMENT_OPEN) &&
        !(segment.flags & SL_SEGMENT_ACK)) {
        take_opening(entry, sink, now_us, &key, &segment);
    }
    else {
        take_other(entry, sink, now_us, &key, &segment);
    }
}

/// Learns from the first offer of a flow how long an agent takes to answer. An
/// answer that waited for the upstream tells nothing of the way.
static void
note_offer_answer(struct SlRelayEntry *entry, uint64_t now_us,
                  const struct SlEntryFlow *flow,
                  const struct SlRelayFrame *frame)
{
    uint64_t first = flow->tried_count > 0 ? flow->tried[0] : flow->holder;
    bool at_once =
        frame->kind == SL_RELAY_ACCEPT || frame->reason == SL_RELAY_BUSY ||
        frame->reason == SL_RELAY_COLD || frame->reason == SL_RELAY_LEAVING;

    if (at_once && !flow->held && flow->offers > 0 && frame->sender == first) {
        SlAnswerTimeout_AddSample(&entry->patience, now_us - flow->began_us);
    }
}

static void
take_accept(struct SlRelayEntry *entry, uint64_t now_us,
            struct SlEntryFlow *flow, const struct SlRelayFrame *frame)
{
    if (flow == NULL || flow->search != NULL) {
        return;
    }
    note_offer_answer(entry, now_us, flow, frame);
    if (!flow->held || flow->holder == 0) {
        flow->holder = frame->sender;
        flow->held = true;
        SlRelayIndex_StopWaiting(&entry->flows, &flow->item);
    }
}

static void
take_decline(struct SlRelayEntry *entry, struct SlRelaySink *sink,
             uint64_t now_us, struct SlEntryFlow *flow,
             const struct SlRelayFrame *frame)
{
    uint32_t at = SlRelayMembers_Find(&entry->members, frame->sender);

    if (flow == NULL || flow->search != NULL ||
        flow->holder != frame->sender) {
        return;
    }
    note_offer_answer(entry, now_us, flow, frame);
    SlRelayEntry_Event(
        entry, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_DECLINED,
                         .flow = &flow->item.key,
                         .node = at != SL_RELAY_NO_MEMBER
                                     ? entry->members.members[at].name
                                     : NULL,
                         .reason = SlRelayReason_Name(frame->reason),
                         .value = frame->load.in_progress,
                         .limit = frame->load.slots});
    add_tried(flow, frame->sender);
    if (frame->reason == SL_RELAY_EXPIRED) {
        refuse(entry, sink, now_us, flow, SlRelayReason_Name(frame->reason));
        return;
    }
    offer_next(entry, sink, now_us, flow, SlRelayReason_Name(frame->reason));
}

/// A segment came back from an agent that does not hold its flow.
static void
take_absent(struct SlRelayEntry *entry, struct SlRelaySink *sink,
            uint64_t now_us, const struct SlRelayFrame *frame)
{
    struct SlSegment segment;
    struct SlFlowKey key;
    struct SlEntryFlow *flow;

    if (entry->options.format->parse(frame->segment, frame->segment_bytes,
                                     &segment) != SL_OK) {
        entry->counters.malformed++;
        return;
    }
    key = SlSegment_CallerKey(&segment);
    flow = find_flow(entry, &key);
    if (flow == NULL) {
        entry->counters.dropped++;
        return;
    }
    if (flow->holder != 0 && flow->holder != frame->sender) {
        /* Another holder was found meanwhile. */
        (void)SlRelayEntry_Carry(entry, sink, flow, segment.bytes,
                                 segment.length_bytes);
        return;
    }
    SlRelayEntry_NotThere(entry, sink, now_us, flow, &segment, frame->sender);
}

static void
note_answer(struct SlRelayEntry *entry, struct SlRelaySink *sink,
            uint64_t now_us, const struct SlRelayFrame *frame)
{
    uint32_t at = SlRelayMembers_Find(&entry->members, frame->sender);
    uint32_t answers =
        frame->kind == SL_RELAY_ACCEPT || frame->kind == SL_RELAY_DECLINE;

    if (at == SL_RELAY_NO_MEMBER) {
        return;
    }
    if (SlRelayMembers_Heard(&entry->members, at, now_us, &frame->load,
                             answers)) {
        SlRelayEntry_Event(
            entry, sink, now_us,
            (struct SlEvent){.number = SL_EVENT_UPSTREAM_CLEARED,
                             .node = entry->members.members[at].name,
                             .reason = "answered"});
    }
}

/// An agent says unasked that it holds a flow. flow: NULL when the entry does
/// not know it.
static void
take_holder(struct SlRelayEntry *entry, uint64_t now_us,
            struct SlEntryFlow *flow, const struct SlRelayFrame *frame)
{
    if (flow == NULL) {
        flow = add_flow(entry, now_us, &frame->flow);
    }
    if (flow != NULL && flow->holder == 0) {
        flow->holder = frame->sender;
        flow->held = true;
        flow->quiet_until_us = 0;
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
    if (entry->blames_itself) {
        entry->blames_itself = false;
        SlRelayMembers_ForgetOffers(&entry->members);
    }
    switch (frame->kind) {
    case SL_RELAY_ACCEPT:
        note_answer(entry, sink, now_us, frame);
        take_accept(entry, now_us, find_flow(entry, &frame->flow), frame);
        break;
    case SL_RELAY_DECLINE:
        note_answer(entry, sink, now_us, frame);
        take_decline(entry, sink, now_us, find_flow(entry, &frame->flow),
                     frame);
        break;
    case SL_RELAY_REPORT:
        note_answer(entry, sink, now_us, frame);
        break;
    case SL_RELAY_ABSENT:
        if (frame->segment_bytes > 0) {
            take_absent(entry, sink, now_us, frame);
            break;
        }
        /* fallthrough */
    case SL_RELAY_HOLDS:
        flow = find_flow(entry, &frame->flow);
        if (flow != NULL && flow->search != NULL) {
            SlRelayEntry_Located(entry, sink, now_us, flow, frame);
        }
        else if (frame->kind == SL_RELAY_HOLDS && frame->certain) {
            take_holder(entry, now_us, flow, frame);
        }
        break;
    case SL_RELAY_BROADCAST_RESULT:
        SlRelayEntry_AllAnswered(entry, sink, now_us, frame);
        break;
    default:
        entry->counters.malformed++;
        break;
    }
}

static void
tick_waiting(struct SlRelayEntry *entry, struct SlRelaySink *sink,
             uint64_t now_us)
{
    uint64_t patience_us =
        SlAnswerTimeout_Us(&entry->patience, OFFER_LEAST_US);
    struct SlRelayItem *next;

    for (struct SlRelayItem *item = entry->flows.waiting; item != NULL;
         item = next) {
        struct SlEntryFlow *flow = flow_of(item);

        next = item->waiting_next;
        if (flow->search != NULL) {
            SlRelayEntry_LocateTick(entry, sink, now_us, flow);
        }
        else if (now_us - flow->offered_us > patience_us) {
            add_tried(flow, flow->holder);
            offer_next(entry, sink, now_us, flow, "no_answer");
        }
    }
}

/// Marks agents that answer nothing as suspect. When hardly any answers, the
/// entry itself is cut off or late: then it waits for longer, and marks none
/// until it hears again.
static void
tick_members(struct SlRelayEntry *entry, struct SlRelaySink *sink,
             uint64_t now_us)
{
    uint64_t silent_us = SlAnswerTimeout_Us(&entry->patience, SILENT_LEAST_US);
    uint32_t at = 0;

    if (entry->blames_itself) {
        return;
    }
    if (SlRelayMembers_AreMostSilent(&entry->members, now_us, silent_us)) {
        SlRelayEntry_Event(
            entry, sink, now_us,
            (struct SlEvent){.number = SL_EVENT_RELAY_ANSWERS_LATE,
                             .reason = "most_are_silent",
                             .value = (int64_t)silent_us});
        SlAnswerTimeout_Double(&entry->patience);
        entry->blames_itself = true;
        return;
    }
    for (;; at++) {
        const struct SlRelayMember *member;

        at = SlRelayMembers_NextSilent(&entry->members, at, now_us, silent_us);
        if (at == SL_RELAY_NO_MEMBER) {
            return;
        }
        member = &entry->members.members[at];
        entry->counters.suspects++;
        SlRelayEntry_Event(
            entry, sink, now_us,
            (struct SlEvent){.number = SL_EVENT_UPSTREAM_SUSPECT,
                             .node = member->name,
                             .reason = "no_answer",
                             .value =
                                 (int64_t)(now_us - member->unanswered_us),
                             .limit = (int64_t)silent_us});
    }
}

static void
tell_slow(struct SlRelayEntry *entry, struct SlRelaySink *sink,
          uint64_t now_us, uint32_t at)
{
    const struct SlCandidate *candidate = &entry->members.candidates[at];

    SlRelayEntry_Event(
        entry, sink, now_us,
        (struct SlEvent){
            .number = SL_EVENT_UPSTREAM_SLOW,
            .node = entry->members.members[at].name,
            .reason = entry->members.members[at].judged_slow ? "slow" : "well",
            .value = candidate->load.answer_us,
            .limit = candidate->load.in_progress});
}

/// Which upstreams are slow: those whose judgement changes are logged.
static void
judge_upstreams(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                uint64_t now_us)
{
    uint32_t at;

    if (now_us < entry->judge_due_us) {
        return;
    }
    entry->judge_due_us = now_us + JUDGE_US;
    SlRelayMembers_JudgeSlow(&entry->members, now_us);
    at = SlRelayMembers_NextJudged(&entry->members, 0);
    while (at != SL_RELAY_NO_MEMBER) {
        tell_slow(entry, sink, now_us, at);
        at = SlRelayMembers_NextJudged(&entry->members, at + 1);
    }
}

/// Forgets flows that their ends may have discarded.
static void
expire(struct SlRelayEntry *entry, uint64_t now_us)
{
    uint64_t idle_us = entry->plan != NULL
                           ? (uint64_t)SlPlan_IdleMs(entry->plan) * US_PER_MS
                           : 0;

    for (uint32_t i = 0; i < EXPIRE_PER_TICK; i++) {
        struct SlEntryFlow *flow = flow_of(SlRelayIndex_Oldest(&entry->flows));

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
    SlQueryBudget_StartTick(&entry->budget, now_us, &entry->patience);
    tick_waiting(entry, sink, now_us);
    SlRelayEntry_DelegateTick(entry, sink, now_us);
    tick_members(entry, sink, now_us);
    judge_upstreams(entry, sink, now_us);
    expire(entry, now_us);
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
SlRelayEntry_Busy(const struct SlRelayEntry *entry)
{
    return entry->flows.waiting != NULL;
}

void
SlRelayEntry_Counters(const struct SlRelayEntry *entry,
                      struct SlRelayEntryCounters *counters)
{
    *counters = entry->counters;
    counters->flows = entry->flows.count;
    counters->answer_timeout_us =
        SlAnswerTimeout_Us(&entry->patience, OFFER_LEAST_US);
    counters->query_limit = entry->budget.limit;
}
