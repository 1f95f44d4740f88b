#include "agent_core.h"
#include "agent_forward.h"
#include "agent_locate.h"
#include "agent_timer.h"
#include "agent_upstream.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

enum {
    SOFT_ENTRIES_MIN = 8192,
    HANDSHAKES_MIN = 128,
    TABLE_SLACK = 4096,
};

void
agent_increment_counter(struct SlAgent *agent, enum agent_counter counter)
{
    atomic_fetch_add_explicit(&agent->counters[counter], 1,
                              memory_order_relaxed);
}

void
agent_log_event(const struct agent_call *call, struct SlEvent *event)
{
    event->now_us = call->now_us;
    if (call->routing != NULL) {
        event->version = SlRouting_Version(call->routing);
    }
    call->sink->type->log_event(call->sink, event);
}

const char *
agent_node_name(const struct agent_call *call, uint64_t node_id)
{
    const struct SlRouteNode *node = NULL;

    if (node_id != 0 && call->routing != NULL) {
        node = SlRouting_FindNode(call->routing, node_id);
    }
    return node != NULL ? node->name : NULL;
}

static bool
carries_load(enum SlTunnelKind kind)
{
    return kind == SL_TUNNEL_FORWARD || kind == SL_TUNNEL_LOCATE ||
           kind == SL_TUNNEL_LOCATED || kind == SL_TUNNEL_LOAD;
}

bool
agent_send_datagram(const struct agent_call *call, uint64_t node_id,
                    struct SlTunnel *tunnel)
{
    const struct SlRouteNode *node;

    if (call->routing == NULL || node_id == 0) {
        return false;
    }
    node = SlRouting_FindNode(call->routing, node_id);
    if (node == NULL) {
        return false;
    }
    tunnel->sender = call->agent->node_id;
    tunnel->version = SlRouting_Version(call->routing);
    if (carries_load(tunnel->kind)) {
        agent_admission_fill_load(call->agent, tunnel);
    }
    call->sink->type->send_tunnel(call->sink, node_id, &node->tunnel, tunnel);
    return true;
}

bool
agent_started_within(const struct agent_call *call, uint64_t bound_us)
{
    return agent_elapsed_us(call->now_us, call->agent->started_us) < bound_us;
}

bool
agent_serves_service(const struct agent_call *call,
                     const struct SlRouteService *service)
{
    return service != NULL &&
           SlRouteService_MemberIndex(service, call->agent->node_id) !=
               SL_NO_MEMBER;
}

bool
agent_accepts_new_flows(const struct agent_call *call)
{
    struct SlAgent *agent = call->agent;

    return !atomic_load(&agent->stopping) && !atomic_load(&agent->zone_out) &&
           !atomic_load(&agent->draining);
}

bool
agent_is_opening_packet(const struct SlPacket *packet)
{
    const uint8_t mask = SL_TCP_SYN | SL_TCP_ACK | SL_TCP_RST | SL_TCP_FIN;

    if (packet->kind == SL_PACKET_UDP) {
        return true;
    }
    return packet->kind == SL_PACKET_TCP &&
           (packet->tcp_flags & mask) == SL_TCP_SYN;
}

bool
agent_has_payload(const struct SlPacket *packet)
{
    return packet->kind == SL_PACKET_UDP || packet->payload_bytes != 0;
}

bool
agent_has_packet_visited(const struct SlTunnel *tunnel, uint64_t node_id)
{
    for (uint32_t i = 0; i < tunnel->passed_on_count; i++) {
        if (tunnel->passed_on_by[i] == node_id) {
            return true;
        }
    }
    return false;
}

static bool
init_table(struct SlAgent *agent, uint64_t now_us)
{
    uint32_t capacity = agent->options.capacity_flows;
    uint32_t soft =
        capacity * 2 < SOFT_ENTRIES_MIN ? SOFT_ENTRIES_MIN : capacity * 2;
    uint32_t handshakes =
        capacity / 4 < HANDSHAKES_MIN ? HANDSHAKES_MIN : capacity / 4;
    struct SlFlowTableOptions table = {
        .shard_count = agent->options.shards,
        .max_entries = capacity * 2 + soft * 2 + TABLE_SLACK,
        .hash_seed = agent->options.core.hash_seed,
    };
    uint32_t shards;

    agent->table = SlFlowTable_Create(&table, now_us);
    if (agent->table == NULL) {
        return false;
    }
    shards = SlFlowTable_ShardCount(agent->table);
    agent->soft_per_shard = (soft + shards - 1) / shards;
    agent->handshakes_per_shard = (handshakes + shards - 1) / shards;
    return true;
}

struct SlAgent *
SlAgent_Create(const struct SlAgentOptions *options, uint64_t now_us)
{
    struct SlAgent *agent = calloc(1, sizeof(*agent));

    if (agent == NULL) {
        return NULL;
    }
    agent->options = *options;
    if (agent->options.probe_window_us == 0) {
        agent->options.probe_window_us =
            (uint64_t)AGENT_DEFAULT_ADOPT_S * AGENT_SECOND_US;
    }
    agent->node_id = SlNode_Id(options->core.name);
    agent->started_us = now_us;
    if (!agent_admission_init(&agent->admission, options, now_us) ||
        !agent_peers_init(&agent->peers) ||
        !agent_searches_init(&agent->searches) ||
        !agent_paths_init(&agent->paths) ||
        !agent_fragments_init(&agent->fragments) ||
        !init_table(agent, now_us)) {
        SlAgent_Destroy(agent);
        return NULL;
    }
    return agent;
}

void
SlAgent_Destroy(struct SlAgent *agent)
{
    if (agent == NULL) {
        return;
    }
    agent_searches_release(&agent->searches);
    SlFlowTable_Destroy(agent->table);
    SlRouting_Unref(agent->routing);
    pthread_mutex_destroy(&agent->admission.lock);
    pthread_mutex_destroy(&agent->peers.lock);
    pthread_mutex_destroy(&agent->searches.lock);
    pthread_mutex_destroy(&agent->paths.lock);
    pthread_mutex_destroy(&agent->fragments.lock);
    free(agent);
}

static struct agent_call
make_call(struct SlAgent *agent, struct SlSink *sink, uint64_t now_us,
          const struct SlRouting *routing)
{
    return (struct agent_call){
        .agent = agent,
        .sink = sink,
        .now_us = now_us,
        .now_ms = (uint32_t)(now_us / 1000),
        .routing = routing,
    };
}

/// Applies this node's state in a new routing table: whether its zone is out
/// and whether it drains.
static void
update_local_state(const struct agent_call *call)
{
    struct SlAgent *agent = call->agent;
    const struct SlRouteNode *self =
        SlRouting_FindNode(call->routing, agent->node_id);
    bool is_zone_out = self != NULL && self->zone_out;
    bool is_draining = self != NULL && self->draining;
    bool returned = false;
    struct SlEvent event = {.node = agent->options.core.name, .service = NULL};

    event.value = agent->admission.open_flows;
    if (is_zone_out != atomic_load(&agent->zone_out)) {
        event.number = SL_EVENT_ZONE_LEFT;
        event.reason = is_zone_out ? "out" : "in";
        agent->leave_shard = 0;
        agent->leave_index = 0;
        agent->leave_flows_per_tick =
            agent->admission.open_flows / AGENT_LEAVE_TICKS + 1;
        atomic_store(&agent->zone_out, is_zone_out);
        agent_log_event(call, &event);
        returned = !is_zone_out;
    }
    if (is_draining != atomic_load(&agent->draining)) {
        event.number = SL_EVENT_DRAINED;
        event.reason = is_draining ? "began" : "returned";
        atomic_store(&agent->draining, is_draining);
        agent_log_event(call, &event);
        returned |= !is_draining;
    }
    if (returned) {
        agent_admission_reset_limits(call);
    }
}

/// Records when the number of nodes whose zone is out rises.
static void
update_zone_left(struct SlAgent *agent, const struct SlRouting *routing,
                 uint64_t now_us)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < SlRouting_NodeCount(routing); i++) {
        count += SlRouting_NodeAt(routing, i)->zone_out;
    }
    if (count > agent->nodes_out) {
        atomic_store(&agent->zone_left_us, now_us);
    }
    agent->nodes_out = count;
}

void
SlAgent_SetRouting(struct SlAgent *agent, struct SlSink *sink, uint64_t now_us,
                   struct SlRouting *routing)
{
    struct agent_call call = make_call(agent, sink, now_us, routing);
    struct SlRouting *old = agent->routing;

    SlRouting_Ref(routing);
    rcu_xchg_pointer(&agent->routing, routing);
    atomic_store(&agent->routing_outdated, false);
    agent_peers_update_members(agent, old, routing, now_us);
    update_zone_left(agent, routing, now_us);
    update_local_state(&call);
    if (old != NULL) {
        synchronize_rcu();
        SlRouting_Unref(old);
    }
}

/// Records that this agent's routing table may be outdated if the datagram
/// names a newer version.
static void
check_peer_version(const struct agent_call *call,
                   const struct SlTunnel *tunnel)
{
    if (call->routing != NULL &&
        SlVersion_Compare(tunnel->version, SlRouting_Version(call->routing)) >
            0) {
        atomic_store(&call->agent->routing_outdated, true);
    }
}

static void
handle_tunnel(const struct agent_call *call, const struct SlTunnel *tunnel)
{
    if (call->routing == NULL) {
        agent_report_drop(call, NULL, "no_configuration");
        return;
    }
    check_peer_version(call, tunnel);
    if (carries_load(tunnel->kind)) {
        agent_peers_record_load(call, tunnel);
    }
    switch (tunnel->kind) {
    case SL_TUNNEL_FORWARD:
        agent_handle_forward(call, tunnel);
        break;
    case SL_TUNNEL_LOCATE:
        agent_handle_locate(call, tunnel);
        break;
    case SL_TUNNEL_LOCATED:
        agent_handle_located(call, tunnel);
        break;
    case SL_TUNNEL_PONG:
        agent_paths_handle_pong(call, tunnel);
        break;
    default:
        break;
    }
}

static void
handle_stop(const struct agent_call *call)
{
    struct SlAgent *agent = call->agent;
    struct SlEvent event = {.number = SL_EVENT_DRAINED,
                            .node = agent->options.core.name,
                            .reason = "stopping",
                            .value = agent->admission.open_flows};

    if (!atomic_exchange(&agent->stopping, true)) {
        agent_log_event(call, &event);
    }
}

void
SlAgent_HandleInput(struct SlAgent *agent, struct SlSink *sink,
                    const struct SlInput *input)
{
    struct agent_call call;

    rcu_read_lock();
    call =
        make_call(agent, sink, input->now_us, rcu_dereference(agent->routing));
    switch (input->kind) {
    case SL_INPUT_UPSTREAM_PACKET:
        agent_handle_upstream(&call, input->packet.bytes,
                              input->packet.length_bytes);
        break;
    case SL_INPUT_TUNNEL:
        handle_tunnel(&call, input->tunnel);
        break;
    case SL_INPUT_TICK:
        agent_timers_tick(&call);
        agent_admission_tick(&call);
        agent_peers_tick(&call);
        agent_paths_tick(&call);
        break;
    case SL_INPUT_STOP:
        handle_stop(&call);
        break;
    default:
        break;
    }
    rcu_read_unlock();
}

bool
SlAgent_IsIdle(const struct SlAgent *agent)
{
    struct agent_admission *admission =
        (struct agent_admission *)&agent->admission;
    bool idle;

    pthread_mutex_lock(&admission->lock);
    idle = admission->open_flows == 0 ||
           (admission->awaiting_answer == 0 && admission->handshakes == 0 &&
            admission->unacked_flows == 0);
    pthread_mutex_unlock(&admission->lock);
    return idle;
}

static uint64_t
read_counter(const struct SlAgent *agent, enum agent_counter counter)
{
    return atomic_load_explicit(&agent->counters[counter],
                                memory_order_relaxed);
}

void
SlAgent_Counters(const struct SlAgent *agent, struct SlAgentCounters *counters)
{
    struct agent_admission *admission =
        (struct agent_admission *)&agent->admission;

    *counters = (struct SlAgentCounters){
        .packets_delivered = read_counter(agent, COUNT_DELIVERED),
        .packets_returned = read_counter(agent, COUNT_RETURNED),
        .flows_admitted = read_counter(agent, COUNT_ADMITTED),
        .flows_passed_on = read_counter(agent, COUNT_PASSED_ON),
        .flows_refused_not_run = read_counter(agent, COUNT_REFUSED_NOT_RUN),
        .flows_refused_unknown = read_counter(agent, COUNT_REFUSED_UNKNOWN),
        .flows_located = read_counter(agent, COUNT_LOCATED),
        .flows_not_located = read_counter(agent, COUNT_LOCATE_FAILED),
        .flows_adopted = read_counter(agent, COUNT_ADOPTED),
        .flows_reset = read_counter(agent, COUNT_RESET),
        .flows_silent = read_counter(agent, COUNT_SILENT),
        .packets_foreign = read_counter(agent, COUNT_FOREIGN),
        .packets_dropped = read_counter(agent, COUNT_DROPPED),
        .table_bytes = SlFlowTable_AllocatedBytes(agent->table),
    };
    pthread_mutex_lock(&admission->lock);
    counters->open_flows = admission->open_flows;
    counters->exchanges = admission->exchanges;
    counters->limit_flows = admission->limit_flows;
    counters->limit_exchanges = admission->limit_exchanges;
    pthread_mutex_unlock(&admission->lock);
}
