/// Searches: all agents of a service are queried for a flow, before a flow
/// that another agent may hold is admitted, adopted or answered with a reset.
///
/// A search with a claim also keeps the other agents from admitting the flow.
/// Of two concurrent claims, the one of the lower node id takes precedence.

#include "agent_locate.h"
#include "agent_core.h"
#include "agent_flow.h"
#include "agent_forward.h"
#include "agent_place.h"
#include "agent_refuse.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

enum {
    /// Distance between the sequence number of a probe and that of the
    /// caller's packet.
    PROBE_BEHIND_BYTES = 1 << 20,
};

static bool
is_presumed_dead(const struct agent_call *call, uint64_t node_id)
{
    uint64_t silent_us = agent_peer_silent_us(call, node_id);

    return silent_us != UINT64_MAX && silent_us >= AGENT_PEER_RESTART_US;
}

static void
add_queried_node(struct agent_search *search, uint64_t node_id,
                 bool presumed_dead)
{
    for (uint32_t i = 0; i < search->queried_count; i++) {
        if (search->queried[i] == node_id) {
            return;
        }
    }
    if (search->queried_count < AGENT_SEARCH_QUERIES_MAX) {
        search->presumed_dead[search->queried_count] = presumed_dead;
        search->queried[search->queried_count++] = node_id;
    }
}

/// Lists the agents that may hold the flow: members whose zone is in, and
/// former members that still hold flows of the service.
static void
list_queried_nodes(const struct agent_call *call, struct agent_search *search,
                   const struct SlRouteService *service)
{
    uint64_t holders[AGENT_HOLDERS_MAX];
    uint32_t count = agent_peers_list_holders(call, service->service_id,
                                              holders, AGENT_HOLDERS_MAX);

    for (uint32_t i = 0; i < service->member_count; i++) {
        const struct SlRouteNode *node = service->members[i];

        if (node->node_id != call->agent->node_id && !node->zone_out) {
            add_queried_node(search, node->node_id,
                             is_presumed_dead(call, node->node_id));
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        const struct SlRouteNode *node =
            SlRouting_FindNode(call->routing, holders[i]);

        if (node != NULL && !node->zone_out) {
            add_queried_node(search, holders[i], false);
        }
    }
}

bool
agent_probe_upstream(const struct agent_call *call,
                     const struct SlFlowKey *key, uint32_t seq)
{
    uint8_t out[SL_PACKET_ANSWER_BYTES];
    struct SlTcpSegment segment = {.source = key->caller,
                                   .destination = key->service,
                                   .flags = SL_TCP_ACK,
                                   .seq = seq - PROBE_BEHIND_BYTES};
    uint32_t length;

    if (key->protocol != IPPROTO_TCP || atomic_load(&call->agent->zone_out) ||
        !agent_started_within(call, call->agent->options.probe_window_us)) {
        return false;
    }
    length = SlPacket_BuildTcp(&segment, out, sizeof(out));
    call->sink->type->send_to_upstream(call->sink, out, length);
    return true;
}

static void
send_queries(const struct agent_call *call, const struct SlFlowKey *key,
             const struct agent_search *search)
{
    for (uint32_t i = 0; i < search->queried_count; i++) {
        struct SlTunnel locate = {.kind = SL_TUNNEL_LOCATE,
                                  .service_id = search->service_id,
                                  .flow = *key,
                                  .last_seq = search->seq};

        locate.flags = search->claim ? SL_TUNNEL_CLAIM : 0;
        if (!search->answered[i]) {
            agent_send_datagram(call, search->queried[i], &locate);
        }
    }
}

/// Notifies agents whose zone went out recently that the flow started again
/// here, so that they end it without sending its caller a reset. The search
/// does not wait for their answers.
static void
notify_left_zones(const struct agent_call *call, const struct SlFlowKey *key,
                  const struct SlRouteService *service)
{
    uint64_t zone_left_us = atomic_load(&call->agent->zone_left_us);

    if (zone_left_us == 0 ||
        agent_elapsed_us(call->now_us, zone_left_us) > AGENT_ZONE_LEFT_US) {
        return;
    }
    for (uint32_t i = 0; i < service->member_count; i++) {
        struct SlTunnel locate = {.kind = SL_TUNNEL_LOCATE,
                                  .flags = SL_TUNNEL_CLAIM,
                                  .service_id = service->service_id,
                                  .flow = *key};

        if (service->members[i]->zone_out) {
            agent_send_datagram(call, service->members[i]->node_id, &locate);
        }
    }
}

void
agent_locate_queue_packet(const struct agent_call *call, struct SlFlow *flow,
                          const struct agent_packet *p)
{
    struct agent_search *search =
        agent_search_find(&call->agent->searches, flow);
    struct agent_queued_packet *queued;
    uint8_t *bytes;

    if (search->queued_count == AGENT_SEARCH_PACKETS) {
        agent_report_drop(call, &p->key, "search_full");
        return;
    }
    if (!agent_search_reserve_bytes(&call->agent->searches,
                                    p->packet.length_bytes)) {
        agent_report_drop(call, &p->key, "searches_full");
        return;
    }
    bytes = malloc(p->packet.length_bytes);
    if (bytes == NULL) {
        agent_search_unreserve_bytes(&call->agent->searches,
                                     p->packet.length_bytes);
        agent_report_drop(call, &p->key, "no_memory");
        return;
    }
    memcpy(bytes, p->packet.bytes, p->packet.length_bytes);
    queued = &search->queued_packets[search->queued_count++];
    queued->tunnel = *p->tunnel;
    queued->tunnel.packet = bytes;
    queued->tunnel.packet_bytes = p->packet.length_bytes;
    queued->bytes = bytes;
}

static bool
have_all_answered(const struct agent_search *search)
{
    for (uint32_t i = 0; i < search->queried_count; i++) {
        if (!search->answered[i]) {
            return false;
        }
    }
    return true;
}

/// Returns true when no answer is outstanding, except from agents that are
/// presumed dead.
static bool
has_no_pending_answer(const struct agent_search *search)
{
    for (uint32_t i = 0; i < search->queried_count; i++) {
        if (!search->answered[i] && !search->presumed_dead[i]) {
            return false;
        }
    }
    return true;
}

/// Gives probed upstreams time to answer. Returns false when no upstream was
/// probed, or too many waits have passed.
static bool
wait_for_probes(const struct agent_call *call, struct SlFlowShard *shard,
                struct SlFlow *flow, struct agent_search *search)
{
    bool has_probe = search->upstream_probed && search->probe_waits == 0;

    for (uint32_t i = 0; i < search->queried_count; i++) {
        has_probe |= search->probing[i];
    }
    if (!has_probe || search->probe_waits >= AGENT_PROBE_WAITS_MAX) {
        return false;
    }
    search->probe_waits++;
    search->awaiting_probes = true;
    SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_TIMER_WHEEL,
                         call->now_ms + AGENT_PROBE_TIMEOUT_MS);
    return true;
}

/// Result of a search.
struct search_outcome {
    /// Node id of the holder; 0 when no agent is known to hold the flow.
    uint64_t holder;
    /// The holder does not hold the flow yet, but has claimed it.
    bool claims;
};

static void
finish_search(const struct agent_call *call, struct SlFlowShard *shard,
              struct SlFlow *flow, struct search_outcome outcome);

/// Returns true for a UDP flow that was probably open here before this agent
/// restarted. An entry's cache is the only record of such a flow: it was
/// accepted here, and no other agent holds it.
static bool
was_udp_flow_open_here(const struct agent_call *call,
                       const struct agent_packet *p)
{
    return p->packet.kind == SL_PACKET_UDP &&
           (p->tunnel->flags & SL_TUNNEL_CACHED) &&
           !atomic_load(&call->agent->zone_out) &&
           agent_started_within(call, AGENT_SETTLE_US);
}

/// Initializes a new search and queues the packet in it.
static void
init_search(const struct agent_call *call, struct SlFlow *flow,
            struct agent_search *search, const struct agent_packet *p)
{
    search->service_id = p->service->service_id;
    search->has_last_seq = p->has_last_seq;
    search->last_seq = p->last_seq;
    search->seq = p->packet.tcp_seq;
    search->was_open_here = was_udp_flow_open_here(call, p);
    list_queried_nodes(call, search, p->service);
    agent_locate_queue_packet(call, flow, p);
}

/// Inserts a search for the flow into the flow table. Returns NULL and drops
/// the packet when a limit is reached.
static struct SlFlow *
begin_search(const struct agent_call *call, struct SlFlowShard *shard,
             const struct agent_packet *p, bool claim)
{
    struct agent_searches *searches = &call->agent->searches;
    struct agent_search *search;
    struct SlFlow *flow;
    uint64_t slot = 0;

    search = agent_search_start(searches, claim, call->now_us, &slot);
    if (search == NULL) {
        agent_report_drop(call, &p->key, "searches_full");
        return NULL;
    }
    flow = agent_insert_soft_entry(call, shard, &p->key, SL_FLOW_PENDING);
    if (flow == NULL) {
        struct SlFlow none = {.holder = slot};

        agent_search_release(agent_search_detach(searches, &none));
        agent_report_drop(call, &p->key, "table_full");
        return NULL;
    }
    flow->holder = slot;
    flow->service_id = p->service->service_id;
    init_search(call, flow, search, p);
    return flow;
}

void
agent_start_search(const struct agent_call *call, struct SlFlowShard *shard,
                   struct agent_packet *p, bool claim)
{
    struct SlEvent event = {.number = SL_EVENT_LOCATE,
                            .flow = &p->key,
                            .service = p->service->name,
                            .peer = agent_node_name(call, p->tunnel->sender),
                            .reason = claim ? "claim" : "unknown_flow"};
    struct SlFlow *flow = begin_search(call, shard, p, claim);
    struct agent_search *search;

    if (flow == NULL) {
        return;
    }
    search = agent_search_find(&call->agent->searches, flow);
    event.value = search->queried_count;
    agent_log_event(call, &event);
    if (claim) {
        notify_left_zones(call, &p->key, p->service);
    }
    else {
        search->upstream_probed =
            agent_probe_upstream(call, &p->key, p->packet.tcp_seq);
    }
    send_queries(call, &p->key, search);
    if (has_no_pending_answer(search)) {
        if (claim || !wait_for_probes(call, shard, flow, search)) {
            finish_search(call, shard, flow,
                          (struct search_outcome){.holder = 0});
        }
        return;
    }
    SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_TIMER_WHEEL,
                         call->now_ms + AGENT_LOCATE_ROUND_MS);
}

/// Returns true when an agent that did not answer was active recently: it may
/// be restarting, and hold the flow.
static bool
may_holder_restart(const struct agent_call *call,
                   const struct agent_search *search)
{
    for (uint32_t i = 0; i < search->queried_count; i++) {
        uint64_t silent_us = agent_peer_silent_us(call, search->queried[i]);

        if (!search->answered[i] && silent_us < AGENT_PEER_RESTART_US) {
            return true;
        }
    }
    return false;
}

/// Returns true when the upstream has not answered its probe, but an entry's
/// cache names this agent as the holder of the flow, and the upstream has
/// capacity.
static bool
is_flow_likely_held_here(const struct agent_call *call,
                         const struct agent_search *search,
                         const struct agent_packet *p)
{
    struct agent_admission *admission = &call->agent->admission;

    return search->upstream_probed && !search->upstream_denied &&
           p->packet.kind == SL_PACKET_TCP &&
           (p->tunnel->flags & SL_TUNNEL_CACHED) &&
           admission->open_flows < admission->capacity_flows;
}

/// Handles a packet that is not the first of its flow when no agent holds the
/// flow.
static void
handle_unheld_packet(const struct agent_call *call, struct SlFlowShard *shard,
                     const struct agent_search *search, struct agent_packet *p)
{
    if (SlFlowShard_Find(shard, &p->key) != NULL) {
        agent_route_packet(call, shard, p);
        return;
    }
    if (is_flow_likely_held_here(call, search, p) &&
        agent_adopt_flow(call, shard, &p->key, p->service,
                         p->tunnel->origin_entry) != NULL) {
        agent_route_packet(call, shard, p);
        return;
    }
    if (!have_all_answered(search) && may_holder_restart(call, search)) {
        agent_report_drop(call, &p->key, "holder_may_return");
        return;
    }
    agent_answer_with_reset(call, p, "unknown_flow");
}

/// Returns true when a packet with payload may not be placed: an agent that is
/// alive did not answer and may hold the flow, or one that is presumed dead
/// may have received a copy.
static bool
is_placement_unsafe(const struct agent_call *call,
                    const struct agent_search *search,
                    const struct agent_packet *p)
{
    if (!agent_has_payload(&p->packet) || have_all_answered(search)) {
        return false;
    }
    return !has_no_pending_answer(search) ||
           !agent_is_home_settled(call, p, AGENT_COPY_LIFETIME_US);
}

/// Handles the first packet of a flow that no agent holds.
static void
handle_unheld_opening(const struct agent_call *call, struct SlFlowShard *shard,
                      const struct agent_search *search,
                      struct agent_packet *p)
{
    if (SlFlowShard_Find(shard, &p->key) != NULL) {
        agent_route_packet(call, shard, p);
        return;
    }
    if (was_udp_flow_open_here(call, p) &&
        agent_adopt_flow(call, shard, &p->key, p->service,
                         p->tunnel->origin_entry) != NULL) {
        agent_route_packet(call, shard, p);
        return;
    }
    if (is_placement_unsafe(call, search, p)) {
        agent_refuse_flow(call, shard, p, false, "unanswered");
        return;
    }
    agent_place_or_pass_on(call, shard, p);
}

static void
send_to_holder(const struct agent_call *call, struct SlFlowShard *shard,
               const struct agent_packet *p, struct search_outcome outcome)
{
    uint32_t flags = outcome.claims ? 0 : SL_TUNNEL_LOCATED_FLOW;
    struct SlFlow *flow = agent_mark_holder(call, shard, p, outcome.holder);

    if (flow != NULL && outcome.claims) {
        flow->kind = SL_FLOW_CLAIMED;
    }
    if (!agent_forward_packet(call, p, outcome.holder, flags)) {
        agent_report_drop(call, &p->key, "too_many_hops");
    }
}

static void
finish_queued_packet(const struct agent_call *call, struct SlFlowShard *shard,
                     const struct agent_search *search,
                     struct search_outcome outcome,
                     const struct SlTunnel *tunnel)
{
    struct agent_packet p;

    if (!agent_parse_packet(call, tunnel, &p)) {
        return;
    }
    if (search->has_last_seq) {
        p.has_last_seq = true;
        p.last_seq = search->last_seq;
    }
    if (!agent_serves_service(call, p.service)) {
        agent_route_packet(call, shard, &p);
        return;
    }
    if (outcome.holder != 0) {
        send_to_holder(call, shard, &p, outcome);
        return;
    }
    if (agent_is_opening_packet(&p.packet) && !search->claim) {
        agent_route_packet(call, shard, &p);
        return;
    }
    if (agent_is_opening_packet(&p.packet)) {
        handle_unheld_opening(call, shard, search, &p);
        return;
    }
    handle_unheld_packet(call, shard, search, &p);
}

/// Returns the agent that the flow was passed on to, unless that agent has
/// answered that it does not hold the flow; 0 if there is none.
static uint64_t
find_passed_on_holder(const struct agent_search *search)
{
    for (uint32_t i = 0; i < search->queried_count; i++) {
        if (search->queried[i] == search->passed_to && search->answered[i]) {
            return 0;
        }
    }
    return search->passed_to;
}

/// Ends a search and routes the packets that the search queued. outcome.holder
/// is 0 when no agent has answered that it holds the flow.
static void
finish_search(const struct agent_call *call, struct SlFlowShard *shard,
              struct SlFlow *flow, struct search_outcome outcome)
{
    struct agent_search *search =
        agent_search_detach(&call->agent->searches, flow);
    struct SlFlowKey key = flow->key;
    const struct SlRouteService *service =
        SlRouting_FindServiceById(call->routing, search->service_id);
    struct SlEvent event = {
        .number = SL_EVENT_LOCATED,
        .flow = &key,
        .service = service != NULL ? service->name : NULL,
        .reason = have_all_answered(search) ? "nobody" : "unanswered",
        .value = (int64_t)agent_elapsed_us(call->now_us, search->started_us)};

    if (outcome.holder == 0) {
        outcome.holder = find_passed_on_holder(search);
    }
    if (outcome.holder != 0) {
        event.node = agent_node_name(call, outcome.holder);
        event.reason = "found";
    }
    agent_increment_counter(call->agent, outcome.holder != 0
                                             ? COUNT_LOCATED
                                             : COUNT_LOCATE_FAILED);
    agent_log_event(call, &event);
    SlFlowShard_Remove(shard, flow);
    for (uint32_t i = 0; i < search->queued_count; i++) {
        finish_queued_packet(call, shard, search, outcome,
                             &search->queued_packets[i].tunnel);
    }
    agent_search_release(search);
}

/// Marks the agents that probed their upstream as not having answered, so that
/// they are queried again.
static void
clear_probing_answers(struct agent_search *search)
{
    for (uint32_t i = 0; i < search->queried_count; i++) {
        search->answered[i] = search->answered[i] && !search->probing[i];
        search->probing[i] = false;
    }
    search->awaiting_probes = false;
}

/// Returns the number of rounds of queries. A search with a claim gets one
/// more round, because after a missing answer it has to refuse a packet with
/// payload.
static uint32_t
max_rounds(const struct agent_search *search)
{
    return AGENT_LOCATE_ROUNDS_MAX + (search->claim ? 1 : 0);
}

void
agent_locate_handle_deadline(const struct agent_call *call,
                             struct SlFlowShard *shard, struct SlFlow *flow)
{
    struct agent_search *search =
        agent_search_find(&call->agent->searches, flow);

    if (search->awaiting_probes) {
        clear_probing_answers(search);
    }
    else {
        search->round++;
    }
    if (search->round >= max_rounds(search) || has_no_pending_answer(search)) {
        finish_search(call, shard, flow, (struct search_outcome){.holder = 0});
        return;
    }
    SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_TIMER_WHEEL,
                         call->now_ms + AGENT_LOCATE_ROUND_MS);
    send_queries(call, &flow->key, search);
}

void
agent_locate_yield_search(const struct agent_call *call,
                          struct SlFlowShard *shard, struct SlFlow *flow,
                          uint64_t node_id)
{
    finish_search(call, shard, flow,
                  (struct search_outcome){.holder = node_id, .claims = true});
}

void
agent_locate_upstream_denied(const struct agent_call *call,
                             const struct SlFlow *flow)
{
    agent_search_find(&call->agent->searches, flow)->upstream_denied = true;
}

void
agent_locate_adopt_flow(const struct agent_call *call,
                        struct SlFlowShard *shard, struct SlFlow *flow,
                        const struct SlRouteService *service)
{
    struct agent_search *search =
        agent_search_detach(&call->agent->searches, flow);
    struct SlFlowKey key = flow->key;
    struct agent_packet p;

    SlFlowShard_Remove(shard, flow);
    agent_adopt_flow(call, shard, &key, service,
                     search->queued_packets[0].tunnel.origin_entry);
    for (uint32_t i = 0; i < search->queued_count; i++) {
        if (agent_parse_packet(call, &search->queued_packets[i].tunnel, &p)) {
            agent_route_packet(call, shard, &p);
        }
    }
    agent_search_release(search);
}

/// Returns the index of the node among the queried agents; queried_count if
/// the node is not among them.
static uint32_t
index_of_queried(const struct agent_search *search, uint64_t node_id)
{
    uint32_t i = 0;

    while (i < search->queried_count && search->queried[i] != node_id) {
        i++;
    }
    return i;
}

static void
record_last_seq(struct agent_search *search, const struct SlTunnel *tunnel)
{
    if (!(tunnel->flags & SL_TUNNEL_HAS_LAST_SEQ)) {
        return;
    }
    if (!search->has_last_seq ||
        (int32_t)(tunnel->last_seq - search->last_seq) > 0) {
        search->last_seq = tunnel->last_seq;
    }
    search->has_last_seq = true;
}

/// Returns the node that holds the flow according to this answer; 0 if no node
/// does.
static uint64_t
find_answered_holder(const struct agent_call *call,
                     const struct SlTunnel *tunnel)
{
    uint64_t self = call->agent->node_id;

    switch (tunnel->answer) {
    case SL_LOCATE_YES:
        return tunnel->sender;
    case SL_LOCATE_PASSED_ON:
        return tunnel->holder != self ? tunnel->holder : 0;
    case SL_LOCATE_CLAIMED:
        return tunnel->sender < self ? tunnel->sender : 0;
    case SL_LOCATE_NO:
        break;
    }
    return 0;
}

static void
record_answer(const struct agent_call *call, struct SlFlowShard *shard,
              struct SlFlow *flow, const struct SlTunnel *tunnel)
{
    struct agent_search *search =
        agent_search_find(&call->agent->searches, flow);
    uint32_t index = index_of_queried(search, tunnel->sender);
    struct search_outcome outcome = {
        .holder = find_answered_holder(call, tunnel),
        .claims = tunnel->answer == SL_LOCATE_CLAIMED};

    if (index == search->queried_count ||
        search->service_id != tunnel->service_id) {
        return;
    }
    search->answered[index] = true;
    search->probing[index] = tunnel->flags & SL_TUNNEL_RECENT_BOOT;
    record_last_seq(search, tunnel);
    if (tunnel->answer == SL_LOCATE_PASSED_ON &&
        (!search->claim || search->was_open_here)) {
        /* The mark may be old, so the holder's answer takes precedence. The
           agent it names may have passed the flow on to this one. */
        search->passed_to = outcome.holder;
        outcome.holder = 0;
    }
    if (outcome.holder != 0) {
        finish_search(call, shard, flow, outcome);
        return;
    }
    if (!has_no_pending_answer(search)) {
        return;
    }
    if (!search->claim && wait_for_probes(call, shard, flow, search)) {
        return;
    }
    finish_search(call, shard, flow, outcome);
}

void
agent_handle_located(const struct agent_call *call,
                     const struct SlTunnel *tunnel)
{
    struct SlFlowShard *shard =
        SlFlowTable_Lock(call->agent->table, &tunnel->flow);
    struct SlFlow *flow = SlFlowShard_Find(shard, &tunnel->flow);

    if (flow != NULL && flow->kind == SL_FLOW_PENDING) {
        record_answer(call, shard, flow, tunnel);
    }
    SlFlowShard_Unlock(shard);
}
