/// Answers to other agents' searches, and the promises that claims ask for.

#include "agent_core.h"
#include "agent_flow.h"
#include "agent_locate.h"

/// What this agent knows of a flow that another asks for.
struct knowledge {
    enum SlLocateAnswer answer;
    uint64_t holder;
    bool has_last_seq;
    uint32_t last_seq;
    /// The upstream was asked a moment ago.
    bool probing;
};

static void
answer_ended(const struct SlFlow *flow, bool claim, uint64_t self,
             struct knowledge *known)
{
    known->has_last_seq = flow->flags & SL_FLOW_CALLER_SEEN;
    known->last_seq = flow->caller_next;
    if (!claim && !(flow->flags & SL_FLOW_WAS_RESET)) {
        known->answer = SL_LOCATE_YES;
        known->holder = self;
    }
}

static void
answer_mark(const struct agent_call *call, const struct SlFlow *flow,
            const struct SlTunnel *tunnel, struct knowledge *known)
{
    const struct SlRouteNode *node =
        SlRouting_FindNode(call->routing, flow->holder);

    if (flow->holder != tunnel->sender && node != NULL && !node->zone_out) {
        known->answer = SL_LOCATE_PASSED_ON;
        known->holder = flow->holder;
    }
}

static void
look_up(const struct agent_call *call, const struct SlFlow *flow,
        const struct SlTunnel *tunnel, struct knowledge *known)
{
    uint64_t self = call->agent->node_id;
    bool claim = tunnel->flags & SL_TUNNEL_CLAIM;

    *known = (struct knowledge){.answer = SL_LOCATE_NO};
    if (flow == NULL || flow->service_id != tunnel->service_id) {
        return;
    }
    switch ((enum SlFlowKind)flow->kind) {
    case SL_FLOW_OPEN:
    case SL_FLOW_REFUSED:
        known->answer = SL_LOCATE_YES;
        known->holder = self;
        break;
    case SL_FLOW_ENDED:
        answer_ended(flow, claim, self, known);
        break;
    case SL_FLOW_PASSED_ON:
        answer_mark(call, flow, tunnel, known);
        break;
    case SL_FLOW_PENDING:
        if (claim && agent_search_of(&call->agent->searches, flow)->claim) {
            known->answer = SL_LOCATE_CLAIMED;
            known->holder = self;
        }
        break;
    case SL_FLOW_CLAIMED:
        known->has_last_seq = flow->flags & SL_FLOW_HAS_LAST_SEQ;
        known->last_seq = flow->caller_next;
        break;
    case SL_FLOW_PROBED:
    case SL_FLOW_NONE:
        break;
    }
}

static void
send_answer(const struct agent_call *call, const struct SlTunnel *asked,
            const struct knowledge *known)
{
    struct SlTunnel tunnel = {.kind = SL_TUNNEL_LOCATED,
                              .service_id = asked->service_id,
                              .flow = asked->flow,
                              .answer = known->answer,
                              .holder = known->holder};

    tunnel.flags = known->probing ? SL_TUNNEL_RECENT_BOOT : 0;
    if (known->has_last_seq) {
        tunnel.flags |= SL_TUNNEL_HAS_LAST_SEQ;
        tunnel.last_seq = known->last_seq;
    }
    agent_send(call, asked->sender, &tunnel);
}

/// Notes that the asker may admit the flow, and this agent may not. Where
/// an earlier promise stands, the lower node keeps it.
static void
promise(const struct agent_call *call, struct SlFlowShard *shard,
        struct SlFlow *flow, const struct SlTunnel *tunnel,
        const struct knowledge *known)
{
    if (flow != NULL && flow->kind == SL_FLOW_CLAIMED &&
        flow->holder < tunnel->sender) {
        return;
    }
    if (flow != NULL) {
        SlFlowShard_Remove(shard, flow);
    }
    flow = agent_insert_soft(call, shard, &tunnel->flow, SL_FLOW_CLAIMED);
    if (flow == NULL) {
        return;
    }
    flow->holder = tunnel->sender;
    flow->service_id = tunnel->service_id;
    if (known->has_last_seq) {
        flow->flags |= SL_FLOW_HAS_LAST_SEQ;
        flow->caller_next = known->last_seq;
    }
}

static bool
may_promise(const struct SlFlow *flow)
{
    return flow == NULL || flow->kind == SL_FLOW_CLAIMED ||
           flow->kind == SL_FLOW_ENDED || flow->kind == SL_FLOW_PASSED_ON ||
           flow->kind == SL_FLOW_PROBED;
}

/// True when the flow's address belongs, also by this agent's table, to the
/// service that the asker means, and this upstream serves it.
static bool
serves_flow(const struct agent_call *call, const struct SlTunnel *tunnel)
{
    const struct SlRouteService *service = SlRouting_FindService(
        call->routing, &tunnel->flow.service, tunnel->flow.protocol);

    return agent_serves(call, service) &&
           service->service_id == tunnel->service_id;
}

/// Asks the upstream about a flow of which nothing is known, once in a while.
/// True while its answer is not yet due.
static bool
ask_upstream(const struct agent_call *call, struct SlFlowShard *shard,
             const struct SlFlow *flow, const struct SlTunnel *tunnel)
{
    struct SlFlow *probed;

    if (flow != NULL && flow->kind == SL_FLOW_PROBED) {
        return agent_elapsed_ms(call->now_ms, flow->last_packet_ms) <
               AGENT_PROBE_MS;
    }
    if (flow != NULL || !serves_flow(call, tunnel) ||
        !agent_probe(call, &tunnel->flow, tunnel->last_seq)) {
        return false;
    }
    probed = agent_insert_soft(call, shard, &tunnel->flow, SL_FLOW_PROBED);
    if (probed != NULL) {
        probed->service_id = tunnel->service_id;
    }
    return probed != NULL;
}

/// A flow of a zone that is out starts anew at another agent: a reset from
/// here would hit its successor.
static bool
came_back_elsewhere(const struct agent_call *call, const struct SlFlow *flow,
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
    struct knowledge known;

    if (claim && flow != NULL && came_back_elsewhere(call, flow, tunnel)) {
        agent_end_flow(call, shard, flow, "came_back");
        flow = SlFlowShard_Find(shard, &tunnel->flow);
    }
    look_up(call, flow, tunnel, &known);
    if (!claim) {
        known.probing = ask_upstream(call, shard, flow, tunnel);
    }
    send_answer(call, tunnel, &known);
    if (claim && known.answer == SL_LOCATE_NO && may_promise(flow)) {
        promise(call, shard, flow, tunnel, &known);
    }
    if (claim && known.answer == SL_LOCATE_CLAIMED &&
        tunnel->sender < call->agent->node_id) {
        agent_locate_yield(call, shard, flow, tunnel->sender);
    }
    SlFlowShard_Unlock(shard);
}
