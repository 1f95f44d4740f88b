/// Routing of callers' packets that arrive through the tunnel. The flow
/// table's entry for the packet's flow decides whether it is delivered,
/// forwarded, placed or refused.

#include "agent_forward.h"
#include "agent_core.h"
#include "agent_flow.h"
#include "agent_locate.h"
#include "agent_place.h"
#include "agent_refuse.h"

#include <netinet/in.h>

void
agent_report_drop(const struct agent_call *call, const struct SlFlowKey *key,
                  const char *reason)
{
    struct SlEvent event = {.number = SL_EVENT_DROP,
                            .flow = key,
                            .node = call->agent->options.core.name,
                            .reason = reason};

    agent_increment_counter(call->agent, COUNT_DROPPED);
    agent_log_event(call, &event);
}

bool
agent_parse_packet(const struct agent_call *call,
                   const struct SlTunnel *tunnel, struct agent_packet *p)
{
    *p = (struct agent_packet){.tunnel = tunnel};
    if (SlPacket_Parse(tunnel->packet, tunnel->packet_bytes, &p->packet) !=
        SL_OK) {
        agent_report_drop(call, NULL, "malformed");
        return false;
    }
    if (p->packet.kind == SL_PACKET_FRAGMENT) {
        agent_report_drop(call, NULL, "fragment");
        return false;
    }
    SlPacket_FlowKeyFromCaller(&p->packet, &p->key);
    p->service =
        SlRouting_FindService(call->routing, &p->key.service, p->key.protocol);
    p->has_last_seq = tunnel->flags & SL_TUNNEL_HAS_LAST_SEQ;
    p->last_seq = tunnel->last_seq;
    return true;
}

bool
agent_forward_packet(const struct agent_call *call,
                     const struct agent_packet *p, uint64_t node_id,
                     uint32_t flags)
{
    const uint32_t cleared = SL_TUNNEL_CACHED | SL_TUNNEL_LOCATED_FLOW |
                             SL_TUNNEL_SKIPPED | SL_TUNNEL_HAS_LAST_SEQ;
    struct SlTunnel tunnel = *p->tunnel;

    if (tunnel.passed_on_count == SL_TUNNEL_PASSED_ON_MAX) {
        return false;
    }
    tunnel.flags = (tunnel.flags & ~cleared) | flags;
    tunnel.passed_on_by[tunnel.passed_on_count++] = call->agent->node_id;
    tunnel.service_id = p->service != NULL ? p->service->service_id : 0;
    if (p->has_last_seq) {
        tunnel.flags |= SL_TUNNEL_HAS_LAST_SEQ;
        tunnel.last_seq = p->last_seq;
    }
    return agent_send_datagram(call, node_id, &tunnel);
}

struct SlFlow *
agent_mark_holder(const struct agent_call *call, struct SlFlowShard *shard,
                  const struct agent_packet *p, uint64_t node_id)
{
    struct SlFlow *flow = SlFlowShard_Find(shard, &p->key);

    if (flow == NULL) {
        flow =
            agent_insert_soft_entry(call, shard, &p->key, SL_FLOW_PASSED_ON);
    }
    if (flow == NULL) {
        return NULL;
    }
    flow->kind = SL_FLOW_PASSED_ON;
    flow->holder = node_id;
    flow->service_id = p->service != NULL ? p->service->service_id : 0;
    SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_SOFT_STATE,
                         call->now_ms + AGENT_SOFT_ENTRY_MS);
    return flow;
}

/// Returns true when the holder of a marked flow can receive packets: its zone
/// is in, and it has reported its load recently or, without any report, is not
/// marked as unreachable.
static bool
is_holder_usable(const struct agent_call *call, uint64_t node_id)
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
route_unknown_flow(const struct agent_call *call, struct SlFlowShard *shard,
                   struct agent_packet *p);

/// Routes a packet of a flow whose entry in the table marks an agent as the
/// holder that cannot be reached.
static void
route_unreachable_mark(const struct agent_call *call,
                       struct SlFlowShard *shard, struct SlFlow *flow,
                       struct agent_packet *p)
{
    const struct SlRouteNode *node =
        SlRouting_FindNode(call->routing, flow->holder);
    bool holder_gone = node == NULL || node->zone_out;
    bool must_refuse = agent_is_opening_packet(&p->packet) &&
                       agent_has_payload(&p->packet) && !holder_gone;

    if (must_refuse) {
        agent_refuse_flow(call, shard, p, false, "holder_silent");
        return;
    }
    SlFlowShard_Remove(shard, flow);
    if (agent_is_opening_packet(&p->packet)) {
        agent_place_new_flow(call, shard, p);
        return;
    }
    route_unknown_flow(call, shard, p);
}

/// Returns true when another agent may leave the decision about a new flow to
/// this one, although the flow is marked as passed on. Where two agents passed
/// copies to each other, the lower node id decides and the other agent drops
/// its copy.
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

/// Routes a packet of a flow that was passed on to another agent, or promised
/// to the agent that claimed it.
static void
route_marked_flow(const struct agent_call *call, struct SlFlowShard *shard,
                  struct SlFlow *flow, struct agent_packet *p)
{
    bool opening = agent_is_opening_packet(&p->packet);
    /* A mark may be old, so only for a new flow does it make the receiver skip
       its search. */
    uint32_t flags = flow->kind == SL_FLOW_PASSED_ON && opening
                         ? SL_TUNNEL_LOCATED_FLOW
                         : 0;

    if (flow->flags & SL_FLOW_HAS_LAST_SEQ) {
        p->has_last_seq = true;
        p->last_seq = flow->caller_next;
    }
    if (opening && agent_has_packet_visited(p->tunnel, call->agent->node_id)) {
        SlFlowShard_Remove(shard, flow);
        agent_admit_or_refuse(call, shard, p);
        return;
    }
    if (opening && may_take_over(call, flow, p->tunnel)) {
        SlFlowShard_Remove(shard, flow);
        agent_place_or_pass_on(call, shard, p);
        return;
    }
    if (agent_has_packet_visited(p->tunnel, flow->holder)) {
        if (opening) {
            agent_report_drop(call, &p->key, "copy");
            return;
        }
        SlFlowShard_Remove(shard, flow);
        route_unknown_flow(call, shard, p);
        return;
    }
    if (!is_holder_usable(call, flow->holder)) {
        route_unreachable_mark(call, shard, flow, p);
        return;
    }
    SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_SOFT_STATE,
                         call->now_ms + AGENT_SOFT_ENTRY_MS);
    if (!agent_forward_packet(call, p, flow->holder, flags)) {
        agent_report_drop(call, &p->key, "too_many_hops");
    }
}

/// Routes a packet whose service is not one of this agent's upstream: the
/// packet is never delivered, but forwarded to an agent of the service or
/// refused.
static void
route_foreign_packet(const struct agent_call *call, struct SlFlowShard *shard,
                     struct agent_packet *p)
{
    struct SlEvent event = {.number = SL_EVENT_FOREIGN,
                            .flow = &p->key,
                            .service = p->service->name,
                            .peer = agent_node_name(call, p->tunnel->sender),
                            .reason = "passed_on"};
    uint64_t target = agent_peers_choose_peer(call, p, false);

    agent_increment_counter(call->agent, COUNT_FOREIGN);
    event.node = agent_node_name(call, target);
    if (target != 0 && agent_forward_packet(call, p, target, 0)) {
        if (agent_is_opening_packet(&p->packet)) {
            agent_mark_holder(call, shard, p, target);
        }
        agent_log_event(call, &event);
        return;
    }
    event.reason = "refused";
    agent_log_event(call, &event);
    if (agent_is_opening_packet(&p->packet)) {
        agent_refuse_flow(call, shard, p, !agent_has_payload(&p->packet),
                          "foreign");
        return;
    }
    agent_answer_with_reset(call, p, "foreign");
}

/// Refuses a packet whose destination belongs to no service in this agent's
/// routing table.
static void
route_packet_without_service(const struct agent_call *call,
                             struct SlFlowShard *shard, struct agent_packet *p)
{
    agent_increment_counter(call->agent, COUNT_FOREIGN);
    if (agent_is_opening_packet(&p->packet)) {
        agent_refuse_flow(call, shard, p, !agent_has_payload(&p->packet),
                          "no_service");
        return;
    }
    agent_answer_with_reset(call, p, "no_service");
}

/// Routes a packet of an established flow that the table does not have.
static void
route_established_packet(const struct agent_call *call,
                         struct SlFlowShard *shard, struct agent_packet *p)
{
    if (p->packet.kind == SL_PACKET_TCP &&
        (p->packet.tcp_flags & SL_TCP_RST)) {
        agent_report_drop(call, &p->key, "unknown_flow");
        return;
    }
    agent_start_search(call, shard, p, false);
}

static void
route_unknown_flow(const struct agent_call *call, struct SlFlowShard *shard,
                   struct agent_packet *p)
{
    if (p->service == NULL) {
        route_packet_without_service(call, shard, p);
        return;
    }
    if (!agent_serves_service(call, p->service)) {
        route_foreign_packet(call, shard, p);
        return;
    }
    if (agent_is_opening_packet(&p->packet)) {
        agent_place_new_flow(call, shard, p);
        return;
    }
    route_established_packet(call, shard, p);
}

/// Returns true when the flow belongs to a service that no longer has the
/// packet's destination address.
static bool
is_of_other_service(const struct SlFlow *flow, const struct agent_packet *p)
{
    return p->service == NULL || p->service->service_id != flow->service_id;
}

/// Routes a SYN whose key is that of a flow that ended here. It is either the
/// first packet of a new flow or a late copy.
static void
route_successor_packet(const struct agent_call *call,
                       struct SlFlowShard *shard, struct SlFlow *flow,
                       struct agent_packet *p)
{
    uint32_t last_seq = flow->caller_next;

    if ((flow->flags & SL_FLOW_CALLER_SEEN) &&
        (int32_t)(p->packet.tcp_seq - last_seq) <= 0) {
        if (flow->flags & SL_FLOW_EARLY_DATA ||
            agent_has_payload(&p->packet)) {
            agent_report_drop(call, &p->key, "copy");
            return;
        }
        agent_refuse_flow(call, shard, p, true, "old_sequence");
        return;
    }
    p->has_last_seq = true;
    p->last_seq = last_seq;
    SlFlowShard_Remove(shard, flow);
    route_unknown_flow(call, shard, p);
}

/// Routes a packet whose destination address moved from the flow's service to
/// another one: the old flow is reset, and the packet is routed as one of an
/// unknown flow.
static void
route_reassigned_flow(const struct agent_call *call, struct SlFlowShard *shard,
                      struct SlFlow *flow, struct agent_packet *p)
{
    if (flow->kind == SL_FLOW_OPEN) {
        agent_reset_flow(call, shard, flow, "service_changed");
        flow = SlFlowShard_Find(shard, &p->key);
    }
    if (flow != NULL) {
        SlFlowShard_Remove(shard, flow);
    }
    route_unknown_flow(call, shard, p);
}

static void
route_local_flow(const struct agent_call *call, struct SlFlowShard *shard,
                 struct SlFlow *flow, struct agent_packet *p)
{
    bool ended = flow->kind == SL_FLOW_ENDED;

    if (ended && agent_is_opening_packet(&p->packet)) {
        route_successor_packet(call, shard, flow, p);
        return;
    }
    if (atomic_load(&call->agent->zone_out)) {
        if (!ended) {
            agent_reset_flow(call, shard, flow, "zone_out");
        }
        agent_answer_with_reset(call, p, "zone_out");
        return;
    }
    if (ended && (flow->flags & SL_FLOW_WAS_RESET)) {
        agent_answer_with_reset(call, p, "ended");
        return;
    }
    agent_deliver_packet(call, shard, flow, p);
}

void
agent_route_packet(const struct agent_call *call, struct SlFlowShard *shard,
                   struct agent_packet *p)
{
    struct SlFlow *flow = SlFlowShard_Find(shard, &p->key);

    if (flow == NULL) {
        route_unknown_flow(call, shard, p);
        return;
    }
    if (flow->kind == SL_FLOW_PENDING) {
        agent_locate_queue_packet(call, flow, p);
        return;
    }
    if (flow->kind == SL_FLOW_PROBED) {
        SlFlowShard_Remove(shard, flow);
        route_unknown_flow(call, shard, p);
        return;
    }
    if (is_of_other_service(flow, p)) {
        route_reassigned_flow(call, shard, flow, p);
        return;
    }
    switch ((enum SlFlowKind)flow->kind) {
    case SL_FLOW_OPEN:
    case SL_FLOW_ENDED:
        route_local_flow(call, shard, flow, p);
        break;
    case SL_FLOW_PASSED_ON:
    case SL_FLOW_CLAIMED:
        route_marked_flow(call, shard, flow, p);
        break;
    case SL_FLOW_REFUSED:
        agent_refuse_flow(call, shard, p, true, "copy");
        break;
    case SL_FLOW_PENDING:
    case SL_FLOW_PROBED:
    case SL_FLOW_NONE:
        break;
    }
}

/// Returns true when the sender has a newer routing table that maps the
/// address to another service than this agent's table does. This agent cannot
/// decide about the packet then.
static bool
is_routing_table_outdated(const struct agent_call *call,
                          const struct agent_packet *p)
{
    uint64_t local_service_id =
        p->service != NULL ? p->service->service_id : 0;

    return p->tunnel->service_id != 0 &&
           p->tunnel->service_id != local_service_id &&
           SlVersion_Compare(p->tunnel->version,
                             SlRouting_Version(call->routing)) > 0;
}

void
agent_handle_forward(const struct agent_call *call,
                     const struct SlTunnel *tunnel)
{
    struct SlFlowShard *shard;
    struct agent_packet p;

    if (!agent_parse_packet(call, tunnel, &p)) {
        return;
    }
    if (is_routing_table_outdated(call, &p)) {
        agent_increment_counter(call->agent, COUNT_FOREIGN);
        agent_report_drop(call, &p.key, "behind");
        return;
    }
    shard = SlFlowTable_Lock(call->agent->table, &p.key);
    agent_route_packet(call, shard, &p);
    SlFlowShard_Unlock(shard);
}
