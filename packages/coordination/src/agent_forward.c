/// Caller packets that come through the tunnel: what the flow table says of
/// their flow decides where they go.

#include "agent_forward.h"
#include "agent_core.h"
#include "agent_flow.h"
#include "agent_locate.h"
#include "agent_place.h"
#include "agent_refuse.h"

#include <netinet/in.h>

void
agent_drop(const struct agent_call *call, const struct SlFlowKey *key,
           const char *reason)
{
    struct SlEvent event = {.number = SL_EVENT_DROP,
                            .flow = key,
                            .node = call->agent->options.core.name,
                            .reason = reason};

    agent_count(call->agent, COUNT_DROPPED);
    agent_event(call, &event);
}

bool
agent_read(const struct agent_call *call, const struct SlTunnel *tunnel,
           struct agent_packet *p)
{
    *p = (struct agent_packet){.tunnel = tunnel};
    if (SlPacket_Parse(tunnel->packet, tunnel->packet_bytes, &p->packet) !=
        SL_OK) {
        agent_drop(call, NULL, "malformed");
        return false;
    }
    if (p->packet.kind == SL_PACKET_FRAGMENT) {
        agent_drop(call, NULL, "fragment");
        return false;
    }
    SlPacket_CallerKey(&p->packet, &p->key);
    p->service =
        SlRouting_FindService(call->routing, &p->key.service, p->key.protocol);
    p->has_last_seq = tunnel->flags & SL_TUNNEL_HAS_LAST_SEQ;
    p->last_seq = tunnel->last_seq;
    return true;
}

bool
agent_send_on(const struct agent_call *call, const struct agent_packet *p,
              uint64_t node_id, uint32_t flags)
{
    const uint32_t dropped = SL_TUNNEL_CACHED | SL_TUNNEL_LOCATED_FLOW |
                             SL_TUNNEL_SKIPPED | SL_TUNNEL_HAS_LAST_SEQ;
    struct SlTunnel tunnel = *p->tunnel;

    if (tunnel.passed_on_count == SL_TUNNEL_PASSED_ON_MAX) {
        return false;
    }
    tunnel.flags = (tunnel.flags & ~dropped) | flags;
    tunnel.passed_on_by[tunnel.passed_on_count++] = call->agent->node_id;
    tunnel.service_id = p->service != NULL ? p->service->service_id : 0;
    if (p->has_last_seq) {
        tunnel.flags |= SL_TUNNEL_HAS_LAST_SEQ;
        tunnel.last_seq = p->last_seq;
    }
    return agent_send(call, node_id, &tunnel);
}

struct SlFlow *
agent_mark(const struct agent_call *call, struct SlFlowShard *shard,
           const struct agent_packet *p, uint64_t node_id)
{
    struct SlFlow *flow = SlFlowShard_Find(shard, &p->key);

    if (flow == NULL) {
        flow = agent_insert_soft(call, shard, &p->key, SL_FLOW_PASSED_ON);
    }
    if (flow == NULL) {
        return NULL;
    }
    flow->kind = SL_FLOW_PASSED_ON;
    flow->holder = node_id;
    flow->service_id = p->service != NULL ? p->service->service_id : 0;
    SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_SOFT_STATE,
                         call->now_ms + AGENT_SOFT_MS);
    return flow;
}

/// A mark's holder may get packets: its zone is in, and it is not dead.
static bool
holder_usable(const struct agent_call *call, uint64_t node_id)
{
    const struct SlRouteNode *node =
        SlRouting_FindNode(call->routing, node_id);
    uint64_t silent_us = agent_peer_silent_us(call, node_id);

    if (node == NULL || node->zone_out) {
        return false;
    }
    return silent_us == UINT64_MAX ? !node->unreachable
                                   : silent_us < AGENT_PEER_SILENT_US;
}

static void
route_unknown(const struct agent_call *call, struct SlFlowShard *shard,
              struct agent_packet *p);

/// The holder of a marked flow cannot be reached.
static void
route_lost_mark(const struct agent_call *call, struct SlFlowShard *shard,
                struct SlFlow *flow, struct agent_packet *p)
{
    const struct SlRouteNode *node =
        SlRouting_FindNode(call->routing, flow->holder);
    bool out = node == NULL || node->zone_out;
    bool strict =
        agent_is_opening(&p->packet) && agent_has_payload(&p->packet) && !out;

    if (strict) {
        agent_refuse(call, shard, p, false, "holder_silent");
        return;
    }
    SlFlowShard_Remove(shard, flow);
    if (agent_is_opening(&p->packet)) {
        agent_place_new(call, shard, p);
        return;
    }
    route_unknown(call, shard, p);
}

/// True when another agent may leave the decision about a new flow to this
/// one, although it is marked as passed on. Where two agents passed copies to
/// each other, the lower node decides and the other drops its copy.
static bool
may_take_over(const struct agent_call *call, const struct SlFlow *flow,
              const struct SlTunnel *tunnel)
{
    if (!(tunnel->flags & SL_TUNNEL_LOCATED_FLOW)) {
        return false;
    }
    return flow->kind == SL_FLOW_CLAIMED ||
           (flow->holder == tunnel->sender &&
            !(flow->flags & SL_FLOW_RETURNED) &&
            call->agent->node_id < tunnel->sender);
}

/// Follows a mark or a promise.
static void
route_marked(const struct agent_call *call, struct SlFlowShard *shard,
             struct SlFlow *flow, struct agent_packet *p)
{
    bool opening = agent_is_opening(&p->packet);
    /* A mark may be old: only for a new flow does it end the search. */
    uint32_t flags = flow->kind == SL_FLOW_PASSED_ON && opening
                         ? SL_TUNNEL_LOCATED_FLOW
                         : 0;

    if (flow->flags & SL_FLOW_HAS_LAST_SEQ) {
        p->has_last_seq = true;
        p->last_seq = flow->caller_next;
    }
    if (opening && agent_visited(p->tunnel, call->agent->node_id)) {
        SlFlowShard_Remove(shard, flow);
        agent_decide_here(call, shard, p);
        return;
    }
    if (opening && may_take_over(call, flow, p->tunnel)) {
        SlFlowShard_Remove(shard, flow);
        agent_decide(call, shard, p);
        return;
    }
    if (agent_visited(p->tunnel, flow->holder)) {
        if (opening) {
            agent_drop(call, &p->key, "copy");
            return;
        }
        SlFlowShard_Remove(shard, flow);
        route_unknown(call, shard, p);
        return;
    }
    if (!holder_usable(call, flow->holder)) {
        route_lost_mark(call, shard, flow, p);
        return;
    }
    SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_SOFT_STATE,
                         call->now_ms + AGENT_SOFT_MS);
    if (!agent_send_on(call, p, flow->holder, flags)) {
        agent_drop(call, &p->key, "too_many_hops");
    }
}

/// This agent's upstream does not serve the packet's service: never
/// delivered, sent to an agent that should know.
static void
route_foreign(const struct agent_call *call, struct SlFlowShard *shard,
              struct agent_packet *p)
{
    struct SlEvent event = {.number = SL_EVENT_FOREIGN,
                            .flow = &p->key,
                            .service = p->service->name,
                            .peer = agent_node_name(call, p->tunnel->sender),
                            .reason = "passed_on"};
    uint64_t target = agent_peers_pick(call, p, false);

    agent_count(call->agent, COUNT_FOREIGN);
    event.node = agent_node_name(call, target);
    if (target != 0 && agent_send_on(call, p, target, 0)) {
        if (agent_is_opening(&p->packet)) {
            agent_mark(call, shard, p, target);
        }
        agent_event(call, &event);
        return;
    }
    event.reason = "refused";
    agent_event(call, &event);
    if (agent_is_opening(&p->packet)) {
        agent_refuse(call, shard, p, !agent_has_payload(&p->packet),
                     "foreign");
        return;
    }
    agent_answer_reset(call, p, "foreign");
}

/// No service has the packet's destination, as far as is known here.
static void
route_no_service(const struct agent_call *call, struct SlFlowShard *shard,
                 struct agent_packet *p)
{
    agent_count(call->agent, COUNT_FOREIGN);
    if (agent_is_opening(&p->packet)) {
        agent_refuse(call, shard, p, !agent_has_payload(&p->packet),
                     "no_service");
        return;
    }
    agent_answer_reset(call, p, "no_service");
}

/// In the middle of a flow of which nothing is known here.
static void
route_old(const struct agent_call *call, struct SlFlowShard *shard,
          struct agent_packet *p)
{
    if (p->packet.kind == SL_PACKET_TCP &&
        (p->packet.tcp_flags & SL_TCP_RST)) {
        agent_drop(call, &p->key, "unknown_flow");
        return;
    }
    agent_locate(call, shard, p, false);
}

static void
route_unknown(const struct agent_call *call, struct SlFlowShard *shard,
              struct agent_packet *p)
{
    if (p->service == NULL) {
        route_no_service(call, shard, p);
        return;
    }
    if (!agent_serves(call, p->service)) {
        route_foreign(call, shard, p);
        return;
    }
    if (agent_is_opening(&p->packet)) {
        agent_place_new(call, shard, p);
        return;
    }
    route_old(call, shard, p);
}

/// The flow belongs to a service that has lost its address.
static bool
is_of_other_service(const struct SlFlow *flow, const struct agent_packet *p)
{
    return p->service == NULL || p->service->service_id != flow->service_id;
}

/// A SYN for the key of a flow that ended here: a successor, or a late copy.
static void
route_successor(const struct agent_call *call, struct SlFlowShard *shard,
                struct SlFlow *flow, struct agent_packet *p)
{
    uint32_t last_seq = flow->caller_next;

    if ((flow->flags & SL_FLOW_CALLER_SEEN) &&
        (int32_t)(p->packet.tcp_seq - last_seq) <= 0) {
        if (flow->flags & SL_FLOW_EARLY_DATA ||
            agent_has_payload(&p->packet)) {
            agent_drop(call, &p->key, "copy");
            return;
        }
        agent_refuse(call, shard, p, true, "old_sequence");
        return;
    }
    p->has_last_seq = true;
    p->last_seq = last_seq;
    SlFlowShard_Remove(shard, flow);
    route_unknown(call, shard, p);
}

/// The flow's service has lost its address: what was known of the flow does
/// not hold for the packet.
static void
route_reassigned(const struct agent_call *call, struct SlFlowShard *shard,
                 struct SlFlow *flow, struct agent_packet *p)
{
    if (flow->kind == SL_FLOW_OPEN) {
        agent_reset_flow(call, shard, flow, "service_changed");
        flow = SlFlowShard_Find(shard, &p->key);
    }
    if (flow != NULL) {
        SlFlowShard_Remove(shard, flow);
    }
    route_unknown(call, shard, p);
}

static void
route_held(const struct agent_call *call, struct SlFlowShard *shard,
           struct SlFlow *flow, struct agent_packet *p)
{
    bool ended = flow->kind == SL_FLOW_ENDED;

    if (ended && agent_is_opening(&p->packet)) {
        route_successor(call, shard, flow, p);
        return;
    }
    if (atomic_load(&call->agent->zone_out)) {
        if (!ended) {
            agent_reset_flow(call, shard, flow, "zone_out");
        }
        agent_answer_reset(call, p, "zone_out");
        return;
    }
    if (ended && (flow->flags & SL_FLOW_WAS_RESET)) {
        agent_answer_reset(call, p, "ended");
        return;
    }
    agent_deliver(call, shard, flow, p);
}

void
agent_route(const struct agent_call *call, struct SlFlowShard *shard,
            struct agent_packet *p)
{
    struct SlFlow *flow = SlFlowShard_Find(shard, &p->key);

    if (flow == NULL) {
        route_unknown(call, shard, p);
        return;
    }
    if (flow->kind == SL_FLOW_PENDING) {
        agent_locate_wait(call, flow, p);
        return;
    }
    if (flow->kind == SL_FLOW_PROBED) {
        SlFlowShard_Remove(shard, flow);
        route_unknown(call, shard, p);
        return;
    }
    if (is_of_other_service(flow, p)) {
        route_reassigned(call, shard, flow, p);
        return;
    }
    switch ((enum SlFlowKind)flow->kind) {
    case SL_FLOW_OPEN:
    case SL_FLOW_ENDED:
        route_held(call, shard, flow, p);
        break;
    case SL_FLOW_PASSED_ON:
    case SL_FLOW_CLAIMED:
        route_marked(call, shard, flow, p);
        break;
    case SL_FLOW_REFUSED:
        agent_refuse(call, shard, p, true, "copy");
        break;
    case SL_FLOW_PENDING:
    case SL_FLOW_PROBED:
    case SL_FLOW_NONE:
        break;
    }
}

/// True when the sender, by a newer table, means another service than this
/// agent's table gives for the address: nothing here is certain then.
static bool
is_outdated(const struct agent_call *call, const struct agent_packet *p)
{
    uint64_t own = p->service != NULL ? p->service->service_id : 0;

    return p->tunnel->service_id != 0 && p->tunnel->service_id != own &&
           SlVersion_Compare(p->tunnel->version,
                             SlRouting_Version(call->routing)) > 0;
}

void
agent_handle_forward(const struct agent_call *call,
                     const struct SlTunnel *tunnel)
{
    struct SlFlowShard *shard;
    struct agent_packet p;

    if (!agent_read(call, tunnel, &p)) {
        return;
    }
    if (is_outdated(call, &p)) {
        agent_count(call->agent, COUNT_FOREIGN);
        agent_drop(call, &p.key, "behind");
        return;
    }
    shard = SlFlowTable_Lock(call->agent->table, &p.key);
    agent_route(call, shard, &p);
    SlFlowShard_Unlock(shard);
}
