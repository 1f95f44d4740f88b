#include "relay_agent_core.h"

enum {
    /// With SL_FLOW_CHANGES_MAX changes of about 30 bytes each an agent sends
    /// no more than 1 KB/s.
    INTERVAL_US = 250 * 1000,
    /// After a loss of power the control instances become reachable one after
    /// the other, so the query is repeated. An instance does not repeat its
    /// answer.
    ASK_INTERVAL_US = 250 * 1000,
    ASK_FOR_US = 4 * 1000 * 1000,
    /// A reset is accepted when its sequence number is within 76,800 of the
    /// number that the caller acknowledged last. Up to 19,200 may be under
    /// way when everything loses power.
    ACK_REFRESH = 38400,
    US_PER_MS = 1000,
};

void
SlFlowRecorder_BeginRun(struct SlRelayAgent *agent, bool ask)
{
    struct SlFlowRecorder *recorder = &agent->flow_recorder;

    recorder->generation++;
    recorder->end_count = 0;
    recorder->asking = ask;
}

void
SlFlowRecorder_FlowEnded(struct SlRelayAgent *agent,
                         const struct SlAgentFlow *flow)
{
    struct SlFlowRecorder *recorder = &agent->flow_recorder;

    if (!flow->recorded || flow->recorded_generation != recorder->generation) {
        return;
    }
    if (recorder->end_count == SL_FLOW_ENDS_MAX) {
        agent->counters.flow_ends_unrecorded++;
        return;
    }
    recorder->ends[recorder->end_count++] = flow->item.key;
}

void
SlRelayAgent_SetRecordsLink(struct SlRelayAgent *agent, uint64_t link)
{
    struct SlFlowRecorder *recorder = &agent->flow_recorder;

    if (recorder->link == link) {
        return;
    }
    recorder->link = link;
    recorder->generation++;
    recorder->end_count = 0;
}

static bool
is_recorded(const struct SlRelayAgent *agent, const struct SlAgentFlow *flow)
{
    return flow->recorded &&
           flow->recorded_generation == agent->flow_recorder.generation &&
           (int32_t)(flow->caller_ack - flow->recorded_ack) < ACK_REFRESH;
}

/// True when the flow is worth a record that control does not have yet. A flow
/// is worth one once its caller has kept it open after an answer.
static bool
needs_record(const struct SlRelayAgent *agent, const struct SlAgentFlow *flow)
{
    const struct SlPlanRoute *route;

    if (is_recorded(agent, flow) || flow->state != SL_AGENT_OPEN ||
        !flow->held || !flow->caller_ack_known || flow->request_count == 0 ||
        flow->request_in_progress || flow->caller_closed ||
        flow->upstream_closed) {
        return false;
    }
    route = SlPlan_FindRoute(agent->plan, &flow->item.key.service);
    return route != NULL && (route->kind == SL_TRAFFIC_NON_IDEMPOTENT ||
                             route->kind == SL_TRAFFIC_UPLOAD);
}

/// Moves ends of flows into the message. They precede the records, since the
/// address and port of a flow may be in use again.
static uint32_t
take_ends(struct SlFlowRecorder *recorder)
{
    uint32_t count = 0;

    while (count < SL_FLOW_CHANGES_MAX / 2 && recorder->end_count > 0) {
        recorder->changes[count++] = (struct SlFlowRecord){
            .key = recorder->ends[--recorder->end_count], .ended = true};
    }
    return count;
}

/// Adds records of flows, those used last first. When the message is full, the
/// rest follows in the next one.
static uint32_t
take_records(struct SlRelayAgent *agent, uint32_t count)
{
    struct SlFlowRecorder *recorder = &agent->flow_recorder;

    for (struct SlRelayItem *item = agent->flows.newest;
         item != NULL && count < SL_FLOW_CHANGES_MAX; item = item->older) {
        struct SlAgentFlow *flow = (struct SlAgentFlow *)item;

        if (!needs_record(agent, flow)) {
            continue;
        }
        recorder->changes[count++] =
            (struct SlFlowRecord){.key = item->key, .ack = flow->caller_ack};
        flow->recorded = true;
        flow->recorded_generation = recorder->generation;
        flow->recorded_ack = flow->caller_ack;
    }
    return count;
}

/// Asks for the records of the previous run. Returns whether to send.
static bool
ask(struct SlRelayAgent *agent, uint64_t now_us, struct SlFlowRecords *records)
{
    struct SlFlowRecorder *recorder = &agent->flow_recorder;

    if (recorder->ask_until_us == 0) {
        recorder->ask_until_us = now_us + ASK_FOR_US;
    }
    if (now_us >= recorder->ask_until_us) {
        recorder->asking = false;
        return false;
    }
    if (now_us < recorder->ask_due_us) {
        return false;
    }
    recorder->ask_due_us = now_us + ASK_INTERVAL_US;
    records->action = SL_FLOW_RECORDS_QUERY;
    return true;
}

bool
SlRelayAgent_NextFlowRecords(struct SlRelayAgent *agent, uint64_t now_us,
                             struct SlFlowRecords *records)
{
    struct SlFlowRecorder *recorder = &agent->flow_recorder;

    if (recorder->link == 0 || now_us < recorder->due_us ||
        !agent->upstream_known || agent->upstream.started_ms == 0) {
        return false;
    }
    *records = (struct SlFlowRecords){.action = SL_FLOW_RECORDS_CHANGE,
                                      .agent_id = agent->node_id,
                                      .started_ms = agent->upstream.started_ms,
                                      .records = recorder->changes};
    if (recorder->asking) {
        return ask(agent, now_us, records);
    }
    recorder->due_us = now_us + INTERVAL_US;
    if (agent->plan == NULL ||
        (!agent->lost_flows.keeps_flows && !recorder->has_former_records)) {
        return false;
    }
    records->count = take_records(agent, take_ends(recorder));
    agent->counters.flow_changes_sent += records->count;
    if (recorder->has_former_records) {
        /* Any change of the present run removes them. */
        recorder->has_former_records = false;
        return true;
    }
    return records->count > 0;
}

void
SlRelayAgent_HandleFlowRecords(struct SlRelayAgent *agent,
                               struct SlRelaySink *sink, uint64_t now_us,
                               const struct SlFlowRecords *records)
{
    struct SlFlowRecorder *recorder = &agent->flow_recorder;

    if (records->action != SL_FLOW_RECORDS_ANSWER ||
        records->agent_id != agent->node_id || records->count == 0) {
        return;
    }
    if (!recorder->asking || !agent->upstream_known ||
        !agent->table.saw_start || records->started_ms == 0 ||
        records->started_ms >= agent->upstream.started_ms) {
        /* The upstream may hold the flows. */
        agent->counters.flow_records_unused += records->count;
        return;
    }
    recorder->has_former_records = true;
    SlLostFlows_AddRecords(agent, sink, now_us, records);
}
