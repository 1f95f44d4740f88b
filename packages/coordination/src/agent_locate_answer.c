/// Answers to other agents' searches, and the promises that a claim asks for:
/// an agent that answers a claim promises not to admit the flow itself.

#include "agent_core.h"
#include "agent_flow.h"
#include "agent_locate.h"

/// What this agent knows of a flow that another agent searches for.
struct locate_result {
    enum SlLocateAnswer answer;
    uint64_t holder;
    bool has_last_seq;
    uint32_t last_seq;
    /// The upstream was probed, and its answer may still arrive.
    bool probing;
};

static void
fill_result_from_ended_flow(const struct SlFlow *flow, bool claim,
                            uint64_t self, struct locate_result *result)
{
    result->has_last_seq = flow->flags & SL_FLOW_CALLER_SEEN;
    result->last_seq = flow->caller_next;
    if (!claim && !(flow->flags & SL_FLOW_WAS_RESET)) {
        result->answer = SL_LOCATE_YES;
        result->holder = self;
    }
}

static void
fill_result_from_mark(const struct agent_call *call, const struct SlFlow *flow,
                      const struct SlTunnel *tunnel,
                      struct locate_result *result)
{
    const struct SlRouteNode *node =
        SlRouting_FindNode(call->routing, flow->holder);

    if (flow->holder != tunnel->sender && node != NULL && !node->zone_out) {
        result->answer = SL_LOCATE_PASSED_ON;
        result->holder = flow->holder;
    }
}

static void
find_result(const struct agent_call *call, const struct SlFlow *flow,
            const struct SlTunnel *tunnel, struct locate_result *result)
{
    uint64_t self = call->agent->node_id;
    bool claim = tunnel->flags & SL_TUNNEL_CLAIM;

    *result = (struct locate_result){.answer = SL_LOCATE_NO};
    if (flow == NULL || flow->service_id != tunnel->service_id) {
        return;
    }
    switch ((enum SlFlowKind)flow->kind) {
    case SL_FLOW_OPEN:
    case SL_FLOW_REFUSED:
        result->answer = SL_LOCATE_YES;
        result->holder = self;
        break;
    case SL_FLOW_ENDED:
        fill_result_from_ended_flow(flow, claim, self, result);
        break;
    case SL_FLOW_PASSED_ON:
        fill_result_from_mark(call, flow, tunnel, result);
        break;
    case SL_FLOW_PENDING:
        if (claim && agent_search_find(&call->agent->searches, flow)->claim) {
            result->answer = SL_LOCATE_CLAIMED;
            result->holder = self;
        }
        break;
    case SL_FLOW_CLAIMED:
        result->has_last_seq = flow->flags & SL_FLOW_HAS_LAST_SEQ;
        result->last_seq = flow->caller_next;
        break;
    case SL_FLOW_PROBED:
    case SL_FLOW_NONE:
        break;
    }
}

static void
send_answer(const struct agent_call *call, const struct SlTunnel *query,
            const struct locate_result *result)
{
    struct SlTunnel tunnel = {.kind = SL_TUNNEL_LOCATED,
                              .service_id = query->service_id,
                              .flow = query->flow,
                              .answer = result->answer,
                              .holder = result->holder};

    tunnel.flags = result->probing ? SL_TUNNEL_RECENT_BOOT : 0;
    if (result->has_last_seq) {
        tunnel.flags |= SL_TUNNEL_HAS_LAST_SEQ;
        tunnel.last_seq = result->last_seq;
    }
    agent_send_datagram(call, query->sender, &tunnel);
}

/// Promises that the querying agent may admit the flow and this agent will
/// not. Where an earlier promise exists, the lower node id keeps it.
static void
record_promise(const struct agent_call *call, struct SlFlowShard *shard,
               struct SlFlow *flow, const struct SlTunnel *tunnel,
               const struct locate_result *result)
{
    if (flow != NULL && flow->kind == SL_FLOW_CLAIMED &&
        flow->holder < tunnel->sender) {
        return;
    }
    if (flow != NULL) {
        SlFlowShard_Remove(shard, flow);
    }
    flow =
        agent_insert_soft_entry(call, shard, &tunnel->flow, SL_FLOW_CLAIMED);
    if (flow == NULL) {
        return;
    }
    flow->holder = tunnel->sender;
    flow->service_id = tunnel->service_id;
    if (result->has_last_seq) {
        flow->flags |= SL_FLOW_HAS_LAST_SEQ;
        flow->caller_next = result->last_seq;
    }
}

static bool
can_promise(const struct SlFlow *flow)
{
    return flow == NULL || flow->kind == SL_FLOW_CLAIMED ||
           flow->kind == SL_FLOW_ENDED || flow->kind == SL_FLOW_PASSED_ON ||
           flow->kind == SL_FLOW_PROBED;
}

/// Returns true when the flow's address belongs to the query's service also by
/// this agent's routing table, and this upstream serves it.
static bool
serves_flow(const struct agent_call *call, const struct SlTunnel *tunnel)
{
    const struct SlRouteService *service = SlRouting_FindService(
        call->routing, &tunnel->flow.service, tunnel->flow.protocol);

    return agent_serves_service(call, service) &&
           service->service_id == tunnel->service_id;
}

/// Probes the upstream for a flow that is not in the table, once per
/// AGENT_PROBED_ENTRY_MS. Returns true while the upstream's answer may still
/// arrive.
static bool
probe_unknown_flow(const struct agent_call *call, struct SlFlowShard *shard,
                   const struct SlFlow *flow, const struct SlTunnel *tunnel)
{
    struct SlFlow *probed;

    if (flow != NULL && flow->kind == SL_FLOW_PROBED) {
        return agent_elapsed_ms(call->now_ms, flow->last_packet_ms) <
               AGENT_PROBE_TIMEOUT_MS;
    }
    if (flow != NULL || !serves_flow(call, tunnel) ||
        !agent_probe_upstream(call, &tunnel->flow, tunnel->last_seq)) {
        return false;
    }
    probed =
        agent_insert_soft_entry(call, shard, &tunnel->flow, SL_FLOW_PROBED);
    if (probed != NULL) {
        probed->service_id = tunnel->service_id;
    }
    return probed != NULL;
}

/// Returns true when a flow of this agent, whose zone is out, starts again at
/// another agent. A reset from here would hit the new flow.
static bool
has_returned_elsewhere(const struct agent_call *call,
                       const struct SlFlow *flow,
                       const struct SlTunnel *tunnel)
{
    return flow->kind == SL_FLOW_OPEN &&
           flow->service_id == tunnel->service_id &&
           atomic_load(&call->agent->zone_out);
}

void
agent_handle_locate(const struct agent_call *call,
                    const struct SlTunnel *tunnel)
{
    struct SlFlowShard *shard =
        SlFlowTable_Lock(call->agent->table, &tunnel->flow);
    struct SlFlow *flow = SlFlowShard_Find(shard, &tunnel->flow);
    bool claim = tunnel->flags & SL_TUNNEL_CLAIM;
    struct locate_result result;

    if (claim && flow != NULL && has_returned_elsewhere(call, flow, tunnel)) {
        agent_end_flow(call, shard, flow, "came_back");
        flow = SlFlowShard_Find(shard, &tunnel->flow);
    }
    find_result(call, flow, tunnel, &result);
    if (!claim) {
        result.probing = probe_unknown_flow(call, shard, flow, tunnel);
    }
    send_answer(call, tunnel, &result);
    if (claim && result.answer == SL_LOCATE_NO && can_promise(flow)) {
        record_promise(call, shard, flow, tunnel, &result);
    }
    if (claim && result.answer == SL_LOCATE_CLAIMED &&
        tunnel->sender < call->agent->node_id) {
        agent_locate_yield_search(call, shard, flow, tunnel->sender);
    }
    SlFlowShard_Unlock(shard);
}
