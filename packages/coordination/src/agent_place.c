/// Placement of new flows. A flow is claimed first if another agent may have
/// received a copy of its first packet; then it is admitted, passed on to
/// another agent, or refused.

#include "agent_place.h"
#include "agent_core.h"
#include "agent_flow.h"
#include "agent_forward.h"
#include "agent_locate.h"
#include "agent_refuse.h"

#include <netinet/in.h>

bool
agent_is_home_settled(const struct agent_call *call,
                      const struct agent_packet *p, uint64_t bound_us)
{
    const struct SlRouteService *service = p->service;
    const struct SlRouteBucket *bucket;
    struct SlVersion local_version = SlRouting_Version(call->routing);
    int order = SlVersion_Compare(p->tunnel->version, local_version);
    uint16_t home;

    bucket =
        &service->buckets[SlRouting_BucketOf(service->service_id, &p->key)];
    home = bucket->choices[0];
    if (home == SL_NO_MEMBER ||
        service->members[home]->node_id != call->agent->node_id) {
        return false;
    }
    if (p->tunnel->flags & (SL_TUNNEL_SKIPPED | SL_TUNNEL_CUT_OFF)) {
        return false;
    }
    if (atomic_load(&call->agent->routing_outdated) ||
        (order != 0 && p->tunnel->previous_home != 0)) {
        return false;
    }
    if (agent_started_within(call, bound_us)) {
        return false;
    }
    return bucket->moved_us == 0 ||
           agent_elapsed_us(call->now_us, bucket->moved_us) >= bound_us;
}

static bool
needs_claim(const struct agent_call *call, const struct agent_packet *p)
{
    if (p->tunnel->flags & SL_TUNNEL_LOCATED_FLOW) {
        return false;
    }
    return agent_has_payload(&p->packet) ||
           !agent_is_home_settled(call, p, AGENT_SETTLE_US);
}

void
agent_place_new_flow(const struct agent_call *call, struct SlFlowShard *shard,
                     struct agent_packet *p)
{
    if (agent_has_packet_visited(p->tunnel, call->agent->node_id)) {
        agent_admit_or_refuse(call, shard, p);
        return;
    }
    if (needs_claim(call, p)) {
        agent_start_search(call, shard, p, true);
        return;
    }
    agent_place_or_pass_on(call, shard, p);
}

/// Returns false for a SYN whose sequence number is not past the end of an
/// earlier flow with the same key: the SYN may be a late copy and not the
/// first packet of a new flow.
static bool
is_past_predecessor(const struct agent_packet *p)
{
    return p->packet.kind != SL_PACKET_TCP || !p->has_last_seq ||
           (int32_t)(p->packet.tcp_seq - p->last_seq) > 0;
}

static bool
pass_flow_on(const struct agent_call *call, struct SlFlowShard *shard,
             const struct agent_packet *p, uint64_t node_id,
             const char *reason)
{
    struct SlEvent event = {.number = SL_EVENT_PASS_ON,
                            .flow = &p->key,
                            .service = p->service->name,
                            .node = agent_node_name(call, node_id),
                            .peer = agent_node_name(call, p->tunnel->sender),
                            .reason = reason,
                            .value = call->agent->admission.open_flows};

    struct SlFlow *mark;

    if (node_id == 0) {
        return false;
    }
    mark = agent_mark_holder(call, shard, p, node_id);
    if (mark == NULL) {
        return false;
    }
    if (agent_has_packet_visited(p->tunnel, node_id)) {
        mark->flags |= SL_FLOW_RETURNED;
    }
    if (!agent_forward_packet(call, p, node_id, SL_TUNNEL_LOCATED_FLOW)) {
        return false;
    }
    agent_increment_counter(call->agent, COUNT_PASSED_ON);
    agent_log_event(call, &event);
    return true;
}

static const char *
refusal_reason(const struct agent_call *call)
{
    struct SlAgent *agent = call->agent;

    if (atomic_load(&agent->zone_out)) {
        return "zone_out";
    }
    if (atomic_load(&agent->stopping)) {
        return "stopping";
    }
    return atomic_load(&agent->draining) ? "draining" : "full";
}

/// Ends the placement of a flow that no agent has room for within its limits.
static void
use_free_slot_or_refuse(const struct agent_call *call,
                        struct SlFlowShard *shard, struct agent_packet *p)
{
    if (agent_accepts_new_flows(call) &&
        agent_open_last_flow(call, shard, p)) {
        return;
    }
    agent_refuse_flow(call, shard, p, true, refusal_reason(call));
}

void
agent_admit_or_refuse(const struct agent_call *call, struct SlFlowShard *shard,
                      struct agent_packet *p)
{
    if (!is_past_predecessor(p)) {
        agent_report_drop(call, &p->key, "old_sequence");
        return;
    }
    if (agent_accepts_new_flows(call) && agent_open_flow(call, shard, p)) {
        return;
    }
    use_free_slot_or_refuse(call, shard, p);
}

void
agent_place_or_pass_on(const struct agent_call *call,
                       struct SlFlowShard *shard, struct agent_packet *p)
{
    bool is_first_hop = p->tunnel->passed_on_count == 0;
    uint64_t other;

    if (!is_past_predecessor(p)) {
        agent_report_drop(call, &p->key, "old_sequence");
        return;
    }
    if (agent_accepts_new_flows(call)) {
        other = is_first_hop ? agent_peers_choose_peer(call, p, true) : 0;
        if (pass_flow_on(call, shard, p, other, "balance")) {
            return;
        }
        if (agent_open_flow(call, shard, p)) {
            return;
        }
    }
    other = agent_peers_choose_peer(call, p, false);
    if (pass_flow_on(call, shard, p, other, refusal_reason(call))) {
        return;
    }
    use_free_slot_or_refuse(call, shard, p);
}
