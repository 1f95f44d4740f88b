/// Flows that end by time alone: those that are silent or idle, and those in a
/// zone that is out.

#include "agent_timer.h"
#include "agent_core.h"
#include "agent_flow.h"
#include "agent_locate.h"

#include <netinet/in.h>

enum {
    SILENT_REPEATS_MIN = 2,
    SILENT_DATAGRAMS_MIN = 3,
    /// The sender counts as still sending when its last packet arrived after
    /// the first 1/SENDING_DIVISOR of the silence time.
    SENDING_DIVISOR = 4,
    RECHECK_MS = 1000,
};

/// Returns the silence time of the service, or the default.
static uint32_t
service_silence_ms(const struct agent_call *call, uint64_t service_id)
{
    const struct SlRouteService *service =
        SlRouting_FindServiceById(call->routing, service_id);

    if (service == NULL || service->silence_ms == 0) {
        return AGENT_DEFAULT_SILENCE_MS;
    }
    return service->silence_ms;
}

static uint32_t
flow_idle_ms(const struct agent_call *call, const struct SlFlow *flow)
{
    const struct SlRouteService *service;

    if (flow->key.protocol == IPPROTO_TCP) {
        return flow->flags & (SL_FLOW_CALLER_FIN | SL_FLOW_UPSTREAM_FIN)
                   ? AGENT_HALF_CLOSED_MS
                   : AGENT_TCP_IDLE_MS;
    }
    service = SlRouting_FindServiceById(call->routing, flow->service_id);
    if (service == NULL || service->idle_ms == 0) {
        return AGENT_DEFAULT_UDP_IDLE_MS;
    }
    return service->idle_ms;
}

/// Returns the earlier of two deadlines. A deadline b_ms that has passed is
/// replaced by the time RECHECK_MS from now.
static uint32_t
earlier_deadline(const struct agent_call *call, uint32_t a_ms, uint32_t b_ms)
{
    if ((int32_t)(b_ms - call->now_ms) <= 0) {
        b_ms = call->now_ms + RECHECK_MS;
    }
    return (int32_t)(b_ms - a_ms) < 0 ? b_ms : a_ms;
}

/// Returns the time from the start of the exchange in progress until the next
/// check of the exchange.
static uint32_t
exchange_check_ms(const struct agent_call *call, const struct SlFlow *flow)
{
    if (!(flow->flags & SL_FLOW_REQUEST_DELIVERED)) {
        return AGENT_FIRST_REQUEST_MS;
    }
    return flow->flags & SL_FLOW_EXCHANGE_LATE
               ? AGENT_STALLED_EXCHANGE_MS
               : agent_admission_late_after_ms(call);
}

void
agent_schedule_flow(const struct agent_call *call, struct SlFlowShard *shard,
                    struct SlFlow *flow)
{
    uint32_t due = flow->last_packet_ms + flow_idle_ms(call, flow);
    uint32_t silence = service_silence_ms(call, flow->service_id);

    if (flow->caller_wait_start_ms != 0) {
        due =
            earlier_deadline(call, due, flow->caller_wait_start_ms + silence);
    }
    if (flow->upstream_wait_start_ms != 0) {
        due = earlier_deadline(call, due,
                               flow->upstream_wait_start_ms + silence);
    }
    if (flow->flags & SL_FLOW_IN_EXCHANGE) {
        due = earlier_deadline(call, due,
                               flow->exchange_start_ms +
                                   exchange_check_ms(call, flow));
    }
    if (flow->queue == SL_FLOW_QUEUE_TIMER_WHEEL &&
        (int32_t)(flow->due_ms - due) <= 0) {
        return;
    }
    SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_TIMER_WHEEL, due);
}

static bool
has_waited_for(const struct agent_call *call, uint32_t since_ms,
               uint32_t bound_ms)
{
    return since_ms != 0 &&
           agent_elapsed_ms(call->now_ms, since_ms) >= bound_ms;
}

/// Returns true when data in one direction has waited for an acknowledgement
/// for the whole silence time, and the sender of the data did not stop sending
/// early in that time: TCP retransmits as long as it waits for an
/// acknowledgement.
static bool
is_direction_silent(const struct agent_call *call, const struct SlFlow *flow,
                    uint32_t since_ms, uint32_t silence_ms)
{
    return has_waited_for(call, since_ms, silence_ms) &&
           agent_elapsed_ms(flow->last_packet_ms, since_ms) >=
               silence_ms / SENDING_DIVISOR;
}

static bool
is_flow_silent(const struct agent_call *call, const struct SlFlow *flow,
               uint32_t silence_ms)
{
    bool caller = is_direction_silent(call, flow, flow->caller_wait_start_ms,
                                      silence_ms);
    bool upstream = is_direction_silent(
        call, flow, flow->upstream_wait_start_ms, silence_ms);

    if (flow->key.protocol != IPPROTO_TCP) {
        return (flow->flags & SL_FLOW_ANSWERED) && caller &&
               flow->caller_repeats >= SILENT_DATAGRAMS_MIN;
    }
    return (caller && flow->caller_repeats >= SILENT_REPEATS_MIN) ||
           (upstream && flow->upstream_repeats >= SILENT_REPEATS_MIN);
}

static void
end_silent_flow(const struct agent_call *call, struct SlFlowShard *shard,
                struct SlFlow *flow, uint32_t silence_ms)
{
    struct SlFlowKey key = flow->key;
    bool caller = has_waited_for(call, flow->caller_wait_start_ms, silence_ms);
    uint32_t since =
        caller ? flow->caller_wait_start_ms : flow->upstream_wait_start_ms;
    struct SlEvent event = {
        .number = SL_EVENT_SILENT,
        .flow = &key,
        .node = call->agent->options.core.name,
        .reason = caller ? "upstream" : "caller",
        .value = (int64_t)agent_elapsed_ms(call->now_ms, since) * 1000,
        .limit = (int64_t)silence_ms * 1000};

    agent_increment_counter(call->agent, COUNT_SILENT);
    agent_log_event(call, &event);
    agent_reset_flow(call, shard, flow, "silent");
}

/// Checks whether the exchange in progress is late or stalled.
static void
check_exchange(const struct agent_call *call, struct SlFlow *flow)
{
    uint32_t took_ms = agent_elapsed_ms(call->now_ms, flow->exchange_start_ms);

    if (!(flow->flags & SL_FLOW_IN_EXCHANGE)) {
        return;
    }
    if (!(flow->flags & SL_FLOW_REQUEST_DELIVERED)) {
        if (took_ms >= AGENT_FIRST_REQUEST_MS) {
            agent_admission_end_exchange(call, flow);
            flow->flags &= (uint16_t)~SL_FLOW_IN_EXCHANGE;
        }
        return;
    }
    if (!(flow->flags & SL_FLOW_EXCHANGE_LATE) &&
        took_ms >= agent_admission_late_after_ms(call)) {
        flow->flags |= SL_FLOW_EXCHANGE_LATE;
        if (agent_admission_record_late_exchange(call, flow)) {
            flow->flags &= (uint16_t)~SL_FLOW_IN_EXCHANGE;
            return;
        }
    }
    if ((flow->flags & SL_FLOW_EXCHANGE_LATE) &&
        took_ms >= AGENT_STALLED_EXCHANGE_MS) {
        agent_admission_cancel_exchange(call);
        flow->flags &= (uint16_t)~SL_FLOW_IN_EXCHANGE;
    }
}

static void
check_open_flow(const struct agent_call *call, struct SlFlowShard *shard,
                struct SlFlow *flow)
{
    uint32_t silence = service_silence_ms(call, flow->service_id);

    if (is_flow_silent(call, flow, silence)) {
        end_silent_flow(call, shard, flow, silence);
        return;
    }
    if (agent_elapsed_ms(call->now_ms, flow->last_packet_ms) >=
        flow_idle_ms(call, flow)) {
        if (flow->key.protocol == IPPROTO_TCP) {
            agent_reset_flow(call, shard, flow, "idle");
        }
        else {
            agent_end_flow(call, shard, flow, "idle");
        }
        return;
    }
    check_exchange(call, flow);
    agent_schedule_flow(call, shard, flow);
}

/// Handles a handshake that was not completed in time.
static void
check_handshake(const struct agent_call *call, struct SlFlowShard *shard,
                struct SlFlow *flow)
{
    if (flow->key.protocol == IPPROTO_TCP) {
        if (!(flow->flags & SL_FLOW_SYN_ACKED)) {
            agent_admission_record_failure(call, "no_handshake");
        }
        agent_reset_flow(call, shard, flow, "handshake");
        return;
    }
    flow->flags &= (uint16_t)~SL_FLOW_HANDSHAKE;
    agent_schedule_flow(call, shard, flow);
}

static void
check_flow(const struct agent_call *call, struct SlFlowShard *shard,
           struct SlFlow *flow)
{
    switch ((enum SlFlowKind)flow->kind) {
    case SL_FLOW_OPEN:
        if (flow->flags & SL_FLOW_HANDSHAKE) {
            check_handshake(call, shard, flow);
            break;
        }
        check_open_flow(call, shard, flow);
        break;
    case SL_FLOW_PENDING:
        agent_locate_handle_deadline(call, shard, flow);
        break;
    default:
        SlFlowShard_Remove(shard, flow);
        break;
    }
}

/// Ends part of the flows per tick, so that their callers do not all reconnect
/// to other agents at the same time.
static void
end_zone_flows(const struct agent_call *call)
{
    struct SlAgent *agent = call->agent;
    uint32_t shards = SlFlowTable_ShardCount(agent->table);
    uint32_t budget = agent->leave_flows_per_tick;

    while (agent->leave_shard < shards && budget > 0) {
        struct SlFlowShard *shard =
            SlFlowTable_LockAt(agent->table, agent->leave_shard);

        while (agent->leave_index < SlFlowShard_EntryCount(shard) &&
               budget > 0) {
            struct SlFlow *flow =
                SlFlowShard_EntryAt(shard, agent->leave_index++);

            if (flow != NULL && flow->kind == SL_FLOW_OPEN) {
                agent_reset_flow(call, shard, flow, "zone_out");
                budget--;
            }
        }
        if (agent->leave_index >= SlFlowShard_EntryCount(shard)) {
            agent->leave_shard++;
            agent->leave_index = 0;
        }
        SlFlowShard_Unlock(shard);
    }
}

void
agent_timers_tick(const struct agent_call *call)
{
    struct SlAgent *agent = call->agent;

    if (call->routing == NULL) {
        return;
    }
    for (uint32_t i = 0; i < SlFlowTable_ShardCount(agent->table); i++) {
        struct SlFlowShard *shard = SlFlowTable_LockAt(agent->table, i);

        for (uint32_t done = 0; done < AGENT_DEADLINES_PER_TICK; done++) {
            struct SlFlow *flow = SlFlowShard_NextDue(shard, call->now_ms);

            if (flow == NULL) {
                break;
            }
            check_flow(call, shard, flow);
        }
        SlFlowShard_Unlock(shard);
    }
    if (atomic_load(&agent->zone_out)) {
        end_zone_flows(call);
    }
}
