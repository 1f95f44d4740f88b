/// What time alone decides: flows that went silent, idled out, or lie in a
/// zone that is out.

#include "agent_timer.h"
#include "agent_core.h"
#include "agent_flow.h"
#include "agent_locate.h"

#include <netinet/in.h>

enum {
    REPEATS_MIN = 2,
    DATAGRAMS_MIN = 3,
    /// The last packet must come after this share of the bound.
    SENDING_SHARE = 4,
    RECHECK_MS = 1000,
};

/// The service's bound, or the default.
static uint32_t
silence_ms_of(const struct agent_call *call, uint64_t service_id)
{
    const struct SlRouteService *service =
        SlRouting_FindServiceById(call->routing, service_id);

    if (service == NULL || service->silence_ms == 0) {
        return AGENT_DEFAULT_SILENCE_MS;
    }
    return service->silence_ms;
}

static uint32_t
idle_ms(const struct agent_call *call, const struct SlFlow *flow)
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

/// The earlier of two deadlines; one that has passed counts as soon.
static uint32_t
sooner(const struct agent_call *call, uint32_t a_ms, uint32_t b_ms)
{
    if ((int32_t)(b_ms - call->now_ms) <= 0) {
        b_ms = call->now_ms + RECHECK_MS;
    }
    return (int32_t)(b_ms - a_ms) < 0 ? b_ms : a_ms;
}

/// When the exchange in progress is looked at next, after its begin.
static uint32_t
exchange_ms(const struct agent_call *call, const struct SlFlow *flow)
{
    if (!(flow->flags & SL_FLOW_REQUEST_DELIVERED)) {
        return AGENT_EXPECT_MS;
    }
    return flow->flags & SL_FLOW_EXCHANGE_LATE ? AGENT_STALL_MS
                                               : agent_admission_late_ms(call);
}

void
agent_schedule(const struct agent_call *call, struct SlFlowShard *shard,
               struct SlFlow *flow)
{
    uint32_t due = flow->last_packet_ms + idle_ms(call, flow);
    uint32_t silence = silence_ms_of(call, flow->service_id);

    if (flow->caller_wait_start_ms != 0) {
        due = sooner(call, due, flow->caller_wait_start_ms + silence);
    }
    if (flow->upstream_wait_start_ms != 0) {
        due = sooner(call, due, flow->upstream_wait_start_ms + silence);
    }
    if (flow->flags & SL_FLOW_IN_EXCHANGE) {
        due = sooner(call, due,
                     flow->exchange_start_ms + exchange_ms(call, flow));
    }
    if (flow->queue == SL_FLOW_QUEUE_TIMER_WHEEL &&
        (int32_t)(flow->due_ms - due) <= 0) {
        return;
    }
    SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_TIMER_WHEEL, due);
}

static bool
waited(const struct agent_call *call, uint32_t since_ms, uint32_t bound_ms)
{
    return since_ms != 0 &&
           agent_elapsed_ms(call->now_ms, since_ms) >= bound_ms;
}

/// One direction waited for the whole bound, and its sender did not give up
/// early on: TCP goes on sending as long as it waits.
static bool
is_stuck(const struct agent_call *call, const struct SlFlow *flow,
         uint32_t since_ms, uint32_t silence_ms)
{
    return waited(call, since_ms, silence_ms) &&
           agent_elapsed_ms(flow->last_packet_ms, since_ms) >=
               silence_ms / SENDING_SHARE;
}

static bool
is_silent(const struct agent_call *call, const struct SlFlow *flow,
          uint32_t silence_ms)
{
    bool caller = is_stuck(call, flow, flow->caller_wait_start_ms, silence_ms);
    bool upstream =
        is_stuck(call, flow, flow->upstream_wait_start_ms, silence_ms);

    if (flow->key.protocol != IPPROTO_TCP) {
        return (flow->flags & SL_FLOW_ANSWERED) && caller &&
               flow->caller_repeats >= DATAGRAMS_MIN;
    }
    return (caller && flow->caller_repeats >= REPEATS_MIN) ||
           (upstream && flow->upstream_repeats >= REPEATS_MIN);
}

static void
end_silent(const struct agent_call *call, struct SlFlowShard *shard,
           struct SlFlow *flow, uint32_t silence_ms)
{
    struct SlFlowKey key = flow->key;
    bool caller = waited(call, flow->caller_wait_start_ms, silence_ms);
    uint32_t since =
        caller ? flow->caller_wait_start_ms : flow->upstream_wait_start_ms;
    struct SlEvent event = {
        .number = SL_EVENT_SILENT,
        .flow = &key,
        .node = call->agent->options.core.name,
        .reason = caller ? "upstream" : "caller",
        .value = (int64_t)agent_elapsed_ms(call->now_ms, since) * 1000,
        .limit = (int64_t)silence_ms * 1000};

    agent_count(call->agent, COUNT_SILENT);
    agent_event(call, &event);
    agent_reset_flow(call, shard, flow, "silent");
}

/// Looks at an exchange that takes long.
static void
check_exchange(const struct agent_call *call, struct SlFlow *flow)
{
    uint32_t took_ms = agent_elapsed_ms(call->now_ms, flow->exchange_start_ms);

    if (!(flow->flags & SL_FLOW_IN_EXCHANGE)) {
        return;
    }
    if (!(flow->flags & SL_FLOW_REQUEST_DELIVERED)) {
        if (took_ms >= AGENT_EXPECT_MS) {
            agent_admission_answered(call, flow);
            flow->flags &= (uint16_t)~SL_FLOW_IN_EXCHANGE;
        }
        return;
    }
    if (!(flow->flags & SL_FLOW_EXCHANGE_LATE) &&
        took_ms >= agent_admission_late_ms(call)) {
        flow->flags |= SL_FLOW_EXCHANGE_LATE;
        if (agent_admission_late(call, flow)) {
            flow->flags &= (uint16_t)~SL_FLOW_IN_EXCHANGE;
            return;
        }
    }
    if ((flow->flags & SL_FLOW_EXCHANGE_LATE) && took_ms >= AGENT_STALL_MS) {
        agent_admission_cancel(call);
        flow->flags &= (uint16_t)~SL_FLOW_IN_EXCHANGE;
    }
}

static void
open_due(const struct agent_call *call, struct SlFlowShard *shard,
         struct SlFlow *flow)
{
    uint32_t silence = silence_ms_of(call, flow->service_id);

    if (is_silent(call, flow, silence)) {
        end_silent(call, shard, flow, silence);
        return;
    }
    if (agent_elapsed_ms(call->now_ms, flow->last_packet_ms) >=
        idle_ms(call, flow)) {
        if (flow->key.protocol == IPPROTO_TCP) {
            agent_reset_flow(call, shard, flow, "idle");
        }
        else {
            agent_end_flow(call, shard, flow, "idle");
        }
        return;
    }
    check_exchange(call, flow);
    agent_schedule(call, shard, flow);
}

/// The handshake was not completed in time.
static void
handshake_due(const struct agent_call *call, struct SlFlowShard *shard,
              struct SlFlow *flow)
{
    if (flow->key.protocol == IPPROTO_TCP) {
        if (!(flow->flags & SL_FLOW_SYN_ACKED)) {
            agent_admission_failed(call, "no_handshake");
        }
        agent_reset_flow(call, shard, flow, "handshake");
        return;
    }
    flow->flags &= (uint16_t)~SL_FLOW_HANDSHAKE;
    agent_schedule(call, shard, flow);
}

static void
flow_due(const struct agent_call *call, struct SlFlowShard *shard,
         struct SlFlow *flow)
{
    switch ((enum SlFlowKind)flow->kind) {
    case SL_FLOW_OPEN:
        if (flow->flags & SL_FLOW_HANDSHAKE) {
            handshake_due(call, shard, flow);
            break;
        }
        open_due(call, shard, flow);
        break;
    case SL_FLOW_PENDING:
        agent_locate_due(call, shard, flow);
        break;
    default:
        SlFlowShard_Remove(shard, flow);
        break;
    }
}

/// Ends a share of the flows, so that their callers do not all come back
/// elsewhere at once.
static void
leave_zone(const struct agent_call *call)
{
    struct SlAgent *agent = call->agent;
    uint32_t shards = SlFlowTable_ShardCount(agent->table);
    uint32_t budget = agent->leave_flows;

    while (agent->leave_shard < shards && budget > 0) {
        struct SlFlowShard *shard =
            SlFlowTable_LockAt(agent->table, agent->leave_shard);

        while (agent->leave_place < SlFlowShard_EntryCount(shard) &&
               budget > 0) {
            struct SlFlow *flow =
                SlFlowShard_EntryAt(shard, agent->leave_place++);

            if (flow != NULL && flow->kind == SL_FLOW_OPEN) {
                agent_reset_flow(call, shard, flow, "zone_out");
                budget--;
            }
        }
        if (agent->leave_place >= SlFlowShard_EntryCount(shard)) {
            agent->leave_shard++;
            agent->leave_place = 0;
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

        for (uint32_t done = 0; done < AGENT_DUE_PER_TICK; done++) {
            struct SlFlow *flow = SlFlowShard_NextDue(shard, call->now_ms);

            if (flow == NULL) {
                break;
            }
            flow_due(call, shard, flow);
        }
        SlFlowShard_Unlock(shard);
    }
    if (atomic_load(&agent->zone_out)) {
        leave_zone(call);
    }
}
