/// Routing of callers' packets: a packet goes to the flow's cached holder, or
/// else to the home of the flow's bucket.

#include <netinet/in.h>

#include "entry_internal.h"

enum {
    /// Time within which a packet sent before a bucket moved may still be
    /// retransmitted.
    PREVIOUS_HOME_US = 120 * 1000 * 1000,
};

/// A packet and its route as far as it is known.
struct route {
    const struct SlPacket *packet;
    struct SlFlowKey flow;
    const struct SlRouteService *service;
    uint32_t bucket;
    uint64_t hash;
    bool starts_flow;
    bool cached;
    const struct SlRouteNode *node;
    /// The bucket's first choice if it was skipped as suspect.
    const struct SlRouteNode *skipped;
    const char *reason;
};

static uint64_t
flow_hash(const struct SlEntry *entry, const struct SlFlowKey *flow)
{
    return SlFlowKey_Hash(flow, entry->options.core.hash_seed);
}

/// Mixes the service into the hash, because a service that gets the address of
/// another service does not get the flows of that service. The upper half,
/// which selects the flow's set in the cache, stays that of the flow alone.
static uint64_t
add_service_to_hash(uint64_t hash, uint64_t service_id)
{
    return hash ^ (service_id & UINT32_MAX);
}

uint64_t
entry_cache_hash(const struct SlEntry *entry, uint64_t service_id,
                 const struct SlFlowKey *flow)
{
    return add_service_to_hash(flow_hash(entry, flow), service_id);
}

static void
report_route(const struct entry_call *call, const struct route *route)
{
    entry_log_event(call, (struct SlEvent){.number = SL_EVENT_ROUTE,
                                           .flow = &route->flow,
                                           .service = route->service->name,
                                           .node = route->node->name,
                                           .reason = route->reason,
                                           .value = route->bucket});
}

static void
report_failure(const struct entry_call *call, const struct route *route,
               const char *reason)
{
    entry_report_failure(
        call, (struct SlEvent){.number = SL_EVENT_ROUTE_FAILED,
                               .flow = &route->flow,
                               .service = route->service ? route->service->name
                                                         : NULL,
                               .reason = reason});
}

/// Returns the holder from the cache; NULL if there is none, or if it has left
/// or its zone is out.
static const struct SlRouteNode *
find_cached_holder(const struct entry_call *call, const struct route *route)
{
    uint64_t node_id =
        flow_cache_get_holder(call->entry->cache, route->hash, call->now_us);
    const struct SlRouteNode *node;

    if (node_id == 0) {
        return NULL;
    }
    node = SlRouting_FindNode(call->view->routing, node_id);
    if (node != NULL && !node->zone_out) {
        return node;
    }
    flow_cache_remove_holder(call->entry->cache, route->hash, node_id);
    entry_log_event(call,
                    (struct SlEvent){.number = SL_EVENT_CACHE_DROPPED,
                                     .flow = &route->flow,
                                     .service = route->service->name,
                                     .node = node ? node->name : NULL,
                                     .reason = node ? "zone_out" : "gone"});
    return NULL;
}

static const struct SlRouteNode *
member_at(const struct SlRouteService *service, uint16_t index)
{
    return index == SL_NO_MEMBER ? NULL : service->members[index];
}

static enum agent_health_state
check_health(const struct entry_call *call, const struct SlRouteNode *node)
{
    struct agent_health *health =
        agent_health_table_find(call->view->health_table, node->node_id);
    enum agent_health_state state;
    uint64_t silent_us = 0;

    if (health == NULL) {
        return AGENT_HEALTHY;
    }
    state = agent_health_check(health, call->now_us, &silent_us);
    if (state == AGENT_NEWLY_SUSPECT) {
        entry_log_event(call,
                        (struct SlEvent){.number = SL_EVENT_UPSTREAM_SUSPECT,
                                         .node = node->name,
                                         .reason = "unanswered",
                                         .value = (int64_t)silent_us,
                                         .limit = AGENT_SILENCE_US});
    }
    return state;
}

/// Chooses the bucket's first choice, or the second while the first is suspect
/// and the second is not.
static void
choose_home(const struct entry_call *call, struct route *route)
{
    const struct SlRouteBucket *bucket =
        &route->service->buckets[route->bucket];
    const struct SlRouteNode *first =
        member_at(route->service, bucket->choices[0]);
    const struct SlRouteNode *second =
        member_at(route->service, bucket->choices[1]);

    route->node = first;
    route->reason = "first_choice";
    if (first == NULL || second == NULL ||
        check_health(call, first) == AGENT_HEALTHY ||
        check_health(call, second) != AGENT_HEALTHY) {
        return;
    }
    route->node = second;
    route->skipped = first;
    route->reason = "second_choice";
    entry_increment_counter(call, COUNT_SKIPPED);
}

/// Chooses a draining member when no member accepts new flows: the draining
/// member may hold this flow, and can search for the holder.
static void
choose_draining(struct route *route)
{
    const struct SlRouteService *service = route->service;
    const struct SlRouteNode *previous =
        member_at(service, service->buckets[route->bucket].previous_home);

    route->reason = "draining";
    if (previous != NULL && !previous->zone_out) {
        route->node = previous;
        return;
    }
    for (uint32_t i = 0; i < service->member_count; i++) {
        uint32_t index = (route->bucket + i) % service->member_count;

        if (!service->members[index]->zone_out) {
            route->node = service->members[index];
            return;
        }
    }
}

/// Refuses a packet when the service has no usable member. A TCP packet of an
/// established flow gets no answer, because this entry may know too little to
/// end the flow.
static void
refuse_packet(const struct entry_call *call, const struct route *route)
{
    uint8_t answer[SL_PACKET_ANSWER_BYTES];
    uint32_t length = 0;

    entry_increment_counter(call, COUNT_NO_UPSTREAM);
    report_failure(call, route, "no_upstream");
    if (route->packet->kind == SL_PACKET_UDP) {
        length = SlPacket_BuildIcmp(route->packet, SL_ICMP_PORT_UNREACHABLE, 0,
                                    answer, sizeof(answer));
    }
    else if (route->starts_flow) {
        length = SlPacket_BuildReset(route->packet, answer, sizeof(answer));
    }
    if (length > 0) {
        call->sink->type->send_to_caller(call->sink, answer, length);
    }
}

/// Returns the node id of the bucket's home before its last move, while
/// packets sent before the move may still arrive; 0 otherwise.
static uint64_t
find_previous_home(const struct entry_call *call, const struct route *route)
{
    const struct SlRouteBucket *bucket =
        &route->service->buckets[route->bucket];
    const struct SlRouteNode *previous =
        member_at(route->service, bucket->previous_home);

    if (previous == NULL || previous == route->node ||
        call->now_us >= bucket->moved_us + PREVIOUS_HOME_US) {
        return 0;
    }
    return previous->node_id;
}

static void
forward_packet(const struct entry_call *call, const struct route *route)
{
    struct SlTunnel tunnel = entry_make_tunnel(call, SL_TUNNEL_FORWARD);
    uint8_t copy[SL_PACKET_MTU_BYTES];

    tunnel.service_id = route->service->service_id;
    tunnel.origin_entry = call->entry->node_id;
    tunnel.packet = route->packet->bytes;
    tunnel.packet_bytes = route->packet->length_bytes;
    if (route->cached) {
        tunnel.flags |= SL_TUNNEL_CACHED;
    }
    else {
        tunnel.previous_home = find_previous_home(call, route);
    }
    if (route->skipped != NULL) {
        tunnel.flags |= SL_TUNNEL_SKIPPED;
        tunnel.skipped_choice = route->skipped->node_id;
    }
    if (route->packet->kind == SL_PACKET_TCP &&
        (route->packet->tcp_flags & SL_TCP_SYN)) {
        tunnel.packet = entry_clamp_mss(call->entry, tunnel.packet,
                                        tunnel.packet_bytes, copy);
    }
    call->sink->type->send_tunnel(call->sink, route->node->node_id,
                                  &route->node->tunnel, &tunnel);
}

/// Records that an answer of the agent is due if the packet may start a flow:
/// agents answer every such packet.
static void
record_sent_flow(const struct entry_call *call, const struct route *route)
{
    struct agent_health *health;

    if (!route->starts_flow && route->packet->kind != SL_PACKET_UDP) {
        return;
    }
    health = agent_health_table_find(call->view->health_table,
                                     route->node->node_id);
    if (health != NULL) {
        agent_health_record_flow(health, call->now_us);
    }
}

static void
route_uncached_packet(const struct entry_call *call, struct route *route)
{
    route->bucket =
        SlRouting_BucketOf(route->service->service_id, &route->flow);
    choose_home(call, route);
    if (route->node == NULL) {
        choose_draining(route);
    }
    if (route->node == NULL) {
        refuse_packet(call, route);
        return;
    }
    report_route(call, route);
    record_sent_flow(call, route);
    entry_increment_counter(call, COUNT_FORWARDED);
    forward_packet(call, route);
}

static void
route_known_service(const struct entry_call *call, struct route *route)
{
    const struct SlPacket *packet = route->packet;

    route->hash = add_service_to_hash(route->hash, route->service->service_id);
    route->starts_flow =
        packet->kind == SL_PACKET_TCP &&
        (packet->tcp_flags & (SL_TCP_SYN | SL_TCP_ACK | SL_TCP_RST)) ==
            SL_TCP_SYN;
    if (route->starts_flow) {
        flow_cache_remove_holder(call->entry->cache, route->hash, 0);
        route_uncached_packet(call, route);
        return;
    }
    route->node = find_cached_holder(call, route);
    if (route->node == NULL) {
        route_uncached_packet(call, route);
        return;
    }
    route->cached = true;
    entry_increment_counter(call, COUNT_CACHE_HITS);
    forward_packet(call, route);
}

void
entry_route_packet(const struct entry_call *call,
                   const struct SlPacket *packet, bool reassembled)
{
    struct route route = {.packet = packet};

    SlPacket_FlowKeyFromCaller(packet, &route.flow);
    route.hash = flow_hash(call->entry, &route.flow);
    flow_cache_prefetch(call->entry->cache, route.hash);
    route.service = SlRouting_FindService(
        call->view->routing, &route.flow.service, route.flow.protocol);
    if (route.service == NULL) {
        entry_increment_counter(call, COUNT_NO_SERVICE);
        report_failure(call, &route, "no_service");
        return;
    }
    if (!reassembled && entry_refuse_too_big(call, packet)) {
        return;
    }
    if (packet->length_bytes > SL_PACKET_MTU_BYTES) {
        entry_increment_counter(call, COUNT_TOO_BIG);
        report_failure(call, &route, "too_long");
        return;
    }
    route_known_service(call, &route);
}
