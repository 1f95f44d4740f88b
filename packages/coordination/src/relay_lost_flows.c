#include "relay_lost_flows.h"

#include <stdlib.h>

#include "relay_agent_core.h"

enum {
    /// Resets of idle flows per tick. Their callers come back with their next
    /// requests, spread over time.
    RESETS_PER_TICK = 32,
    INITIAL_CAPACITY = 64,
    /// Maximum number of flows that are reset by records.
    RECORDED_MAX = 2048,
    /// Control instances return records of the same flows within this time.
    REPEATED_RECORDS_US = 5 * 1000 * 1000,
};

void
SlLostFlows_Release(struct SlLostFlows *lost)
{
    free(lost->items);
    *lost = (struct SlLostFlows){.items = NULL};
}

static bool
is_repeatable(const struct SlPlanRoute *route)
{
    return route->kind == SL_TRAFFIC_IDEMPOTENT ||
           route->kind == SL_TRAFFIC_DOWNLOAD;
}

static const struct SlPlanRoute *
find_route(const struct SlRelayAgent *agent, const struct SlFlowKey *key)
{
    return agent->plan != NULL ? SlPlan_FindRoute(agent->plan, &key->service)
                               : NULL;
}

void
SlLostFlows_RecordCallerSegment(struct SlAgentFlow *flow,
                                const struct SlSegment *segment)
{
    if (!(segment->flags & SL_SEGMENT_ACK)) {
        return;
    }
    if (!flow->caller_ack_known ||
        (int32_t)(segment->ack - flow->caller_ack) > 0) {
        flow->caller_ack = segment->ack;
        flow->caller_ack_known = true;
    }
    flow->held =
        flow->held || (flow->state == SL_AGENT_OPEN && flow->opening_answered);
}

void
SlLostFlows_RecordReopening(struct SlAgentFlow *flow, uint64_t now_us,
                            const struct SlSegment *segment)
{
    flow->began_us = now_us;
    flow->caller_initial_seq = segment->seq;
    flow->caller_ack_known = false;
    flow->held = false;
}

void
SlLostFlows_RecordUpstreamSegment(struct SlAgentFlow *flow,
                                  const struct SlSegment *segment)
{
    if (!(segment->flags & (SL_SEGMENT_OPEN | SL_SEGMENT_RESET))) {
        flow->held = true;
    }
}

void
SlLostFlows_RecordRequest(struct SlRelayAgent *agent, struct SlAgentFlow *flow)
{
    const struct SlPlanRoute *route;

    if (flow->request_count < UINT32_MAX) {
        flow->request_count++;
    }
    if (flow->request_count < 2 || agent->lost_flows.keeps_flows) {
        return;
    }
    route = find_route(agent, &flow->item.key);
    agent->lost_flows.keeps_flows = route != NULL && !is_repeatable(route);
}

static bool
append_flow(struct SlLostFlows *lost, const struct SlLostFlow *flow)
{
    if (lost->count == lost->capacity) {
        uint32_t capacity =
            lost->capacity == 0 ? INITIAL_CAPACITY : lost->capacity * 2;
        struct SlLostFlow *items =
            realloc(lost->items, capacity * sizeof(*items));

        if (items == NULL) {
            return false;
        }
        lost->items = items;
        lost->capacity = capacity;
    }
    lost->items[lost->count++] = *flow;
    return true;
}

static enum SlLostFlowClass
classify(bool repeatable, bool request_in_progress)
{
    if (repeatable) {
        return request_in_progress ? SL_LOST_FLOW_REQUEST_REPEATABLE
                                   : SL_LOST_FLOW_IDLE_REPEATABLE;
    }
    return request_in_progress ? SL_LOST_FLOW_REQUEST_UNREPEATABLE
                               : SL_LOST_FLOW_IDLE_UNREPEATABLE;
}

static int
compare_flows(const void *a, const void *b)
{
    const struct SlLostFlow *x = a;
    const struct SlLostFlow *y = b;

    if (x->class != y->class) {
        return x->class < y->class ? -1 : 1;
    }
    return (x->priority > y->priority) - (x->priority < y->priority);
}

static void
sort_flows(struct SlLostFlows *lost)
{
    if (lost->count > lost->next) {
        qsort(lost->items + lost->next, lost->count - lost->next,
              sizeof(*lost->items), compare_flows);
    }
}

/// True when the previous run of the upstream held the flow.
static bool
was_held(const struct SlAgentFlow *flow, uint64_t before_us)
{
    return flow->state == SL_AGENT_OPEN && flow->held &&
           flow->caller_ack_known && flow->began_us <= before_us;
}

void
SlLostFlows_Collect(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                    uint64_t now_us, uint64_t before_us, const char *reason)
{
    struct SlLostFlows *lost = &agent->lost_flows;
    uint32_t queued = 0;

    if (!lost->keeps_flows) {
        return;
    }
    lost->keep_until_us = now_us + REPEATED_RECORDS_US;
    for (struct SlRelayItem *item = SlRelayIndex_OldestItem(&agent->flows);
         item != NULL; item = item->newer) {
        const struct SlAgentFlow *flow = (const struct SlAgentFlow *)item;
        const struct SlPlanRoute *route = find_route(agent, &item->key);

        if (route == NULL || !was_held(flow, before_us)) {
            continue;
        }
        queued += append_flow(
            lost,
            &(struct SlLostFlow){.key = item->key,
                                 .ack = flow->caller_ack,
                                 .class = classify(is_repeatable(route),
                                                   flow->request_in_progress),
                                 .priority = route->priority});
    }
    sort_flows(lost);
    SlRelayAgent_LogEvent(agent, sink, now_us,
                          (struct SlEvent){.number = SL_EVENT_FLOWS_LOST,
                                           .reason = reason,
                                           .value = queued,
                                           .limit = agent->flows.count});
}

static bool
is_queued(const struct SlLostFlows *lost, const struct SlFlowKey *key)
{
    for (uint32_t i = 0; i < lost->count; i++) {
        if (SlFlowKey_Equal(&lost->items[i].key, key)) {
            return true;
        }
    }
    return false;
}

void
SlLostFlows_AddRecords(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                       uint64_t now_us, const struct SlFlowRecords *records)
{
    struct SlLostFlows *lost = &agent->lost_flows;
    uint32_t queued = 0;

    lost->keep_until_us = now_us + REPEATED_RECORDS_US;
    for (uint32_t i = 0; i < records->count; i++) {
        const struct SlFlowRecord *record = &records->records[i];

        if (record->ended || lost->count >= RECORDED_MAX ||
            SlAgentFlow_Find(agent, &record->key) != NULL ||
            is_queued(lost, &record->key)) {
            continue;
        }
        queued += append_flow(
            lost,
            &(struct SlLostFlow){.key = record->key,
                                 .ack = record->ack,
                                 .class = SL_LOST_FLOW_IDLE_UNREPEATABLE});
    }
    agent->counters.flow_records_returned += records->count;
    sort_flows(lost);
    SlRelayAgent_LogEvent(agent, sink, now_us,
                          (struct SlEvent){.number = SL_EVENT_FLOWS_LOST,
                                           .reason = "recorded",
                                           .value = queued,
                                           .limit = records->count});
}

static void
reset_flow(struct SlRelayAgent *agent, struct SlRelaySink *sink,
           uint64_t now_us, const struct SlLostFlow *flow)
{
    uint8_t reset[SL_SEGMENT_RESET_BYTES];
    uint32_t length_bytes =
        agent->options.format->build_reset(&flow->key, flow->ack, reset);

    agent->counters.lost_flows_reset++;
    sink->type->send_to_caller(sink, &flow->key.caller, reset, length_bytes);
    SlRelayAgent_LogEvent(agent, sink, now_us,
                          (struct SlEvent){.number = SL_EVENT_LOST_FLOW_RESET,
                                           .flow = &flow->key,
                                           .reason = "upstream_started_anew",
                                           .value = flow->class,
                                           .limit = agent->lost_flows.count -
                                                    agent->lost_flows.next});
}

/// Callers that were waiting for an answer repeat their requests at once, so
/// no more of them are reset per tick than the upstream has slots.
void
SlLostFlows_Tick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                 uint64_t now_us)
{
    struct SlLostFlows *lost = &agent->lost_flows;
    uint32_t repeated = 0;

    for (uint32_t i = 0; i < RESETS_PER_TICK && lost->next < lost->count;
         i++) {
        const struct SlLostFlow *flow = &lost->items[lost->next];

        if (flow->class == SL_LOST_FLOW_REQUEST_REPEATABLE &&
            ++repeated > agent->admission.slots) {
            break;
        }
        lost->next++;
        if (SlAgentFlow_Find(agent, &flow->key) != NULL) {
            agent->counters.lost_flows_known_again++;
            continue;
        }
        reset_flow(agent, sink, now_us, flow);
    }
    if (lost->next == lost->count && now_us >= lost->keep_until_us) {
        lost->next = 0;
        lost->count = 0;
    }
}
