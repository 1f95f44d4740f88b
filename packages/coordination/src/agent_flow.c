/// Life cycle of a flow at this agent's upstream: it is opened or adopted,
/// gets packets, and ends.

#include "agent_flow.h"
#include "agent_core.h"
#include "agent_forward.h"
#include "agent_refuse.h"
#include "agent_timer.h"
#include "agent_track.h"

#include <netinet/in.h>

/// Removes the oldest entry of a kind other than OPEN when the limit of such
/// entries is reached.
static void
evict_oldest_soft_entry(const struct agent_call *call,
                        struct SlFlowShard *shard)
{
    struct SlFlow *oldest;

    if (SlFlowShard_QueueLength(shard, SL_FLOW_QUEUE_SOFT_STATE) <
        call->agent->soft_per_shard) {
        return;
    }
    oldest = SlFlowShard_Oldest(shard, SL_FLOW_QUEUE_SOFT_STATE);
    SlFlowShard_Remove(shard, oldest);
}

/// Inserts an entry. If the table is full, the oldest entry of a kind other
/// than OPEN is removed first.
static struct SlFlow *
insert_entry(struct SlFlowShard *shard, const struct SlFlowKey *key)
{
    struct SlFlow *flow = SlFlowShard_Insert(shard, key);
    struct SlFlow *oldest;

    if (flow != NULL) {
        return flow;
    }
    oldest = SlFlowShard_Oldest(shard, SL_FLOW_QUEUE_SOFT_STATE);
    if (oldest == NULL) {
        return NULL;
    }
    SlFlowShard_Remove(shard, oldest);
    return SlFlowShard_Insert(shard, key);
}

struct SlFlow *
agent_insert_soft_entry(const struct agent_call *call,
                        struct SlFlowShard *shard, const struct SlFlowKey *key,
                        enum SlFlowKind kind)
{
    struct SlFlow *flow;

    evict_oldest_soft_entry(call, shard);
    flow = insert_entry(shard, key);
    if (flow == NULL) {
        return NULL;
    }
    flow->kind = kind;
    flow->last_packet_ms = call->now_ms;
    if (kind == SL_FLOW_REFUSED || kind == SL_FLOW_PROBED) {
        SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_TIMER_WHEEL,
                             call->now_ms + (kind == SL_FLOW_REFUSED
                                                 ? AGENT_REFUSED_ENTRY_MS
                                                 : AGENT_PROBED_ENTRY_MS));
    }
    else if (kind != SL_FLOW_PENDING) {
        SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_SOFT_STATE,
                             call->now_ms + AGENT_SOFT_ENTRY_MS);
    }
    return flow;
}

/// Resets the oldest flow without a complete handshake when their limit is
/// reached.
static void
evict_oldest_handshake(const struct agent_call *call,
                       struct SlFlowShard *shard)
{
    struct SlFlow *oldest;

    if (SlFlowShard_QueueLength(shard, SL_FLOW_QUEUE_HANDSHAKE) <
        call->agent->handshakes_per_shard) {
        return;
    }
    oldest = SlFlowShard_Oldest(shard, SL_FLOW_QUEUE_HANDSHAKE);
    agent_reset_flow(call, shard, oldest, "handshakes");
}

static struct SlFlow *
insert_open_flow(const struct agent_call *call, struct SlFlowShard *shard,
                 const struct SlFlowKey *key,
                 const struct SlRouteService *service, uint64_t origin)
{
    struct SlFlow *flow = insert_entry(shard, key);

    if (flow == NULL) {
        return NULL;
    }
    flow->kind = SL_FLOW_OPEN;
    flow->service_id = service->service_id;
    flow->holder = origin;
    flow->opened_s = (uint32_t)(call->now_us / AGENT_SECOND_US);
    flow->last_packet_ms = call->now_ms;
    return flow;
}

/// Opens a flow that was added to the counts of the admission control, and
/// delivers its first packet. reason: why the flow was admitted, for the log.
static bool
begin_flow(const struct agent_call *call, struct SlFlowShard *shard,
           struct agent_packet *p, const char *reason)
{
    struct SlEvent event = {.number = SL_EVENT_ADMIT,
                            .flow = &p->key,
                            .service = p->service->name,
                            .node = call->agent->options.core.name,
                            .peer = agent_node_name(call, p->tunnel->sender),
                            .reason = reason};
    struct SlFlow *flow = insert_open_flow(call, shard, &p->key, p->service,
                                           p->tunnel->origin_entry);

    if (flow == NULL) {
        struct SlFlow none = {.key = p->key,
                              .service_id = p->service->service_id,
                              .flags = SL_FLOW_HANDSHAKE};

        agent_admission_remove_flow(call, &none);
        return false;
    }
    flow->flags = SL_FLOW_HANDSHAKE;
    if (p->packet.kind == SL_PACKET_TCP && agent_has_payload(&p->packet)) {
        flow->flags |= SL_FLOW_EARLY_DATA;
    }
    SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_HANDSHAKE,
                         call->now_ms + AGENT_HANDSHAKE_TIMEOUT_MS);
    agent_increment_counter(call->agent, COUNT_ADMITTED);
    event.value = call->agent->admission.open_flows;
    event.limit = call->agent->admission.limit_flows;
    agent_log_event(call, &event);
    agent_deliver_packet(call, shard, flow, p);
    return true;
}

bool
agent_open_flow(const struct agent_call *call, struct SlFlowShard *shard,
                struct agent_packet *p)
{
    if (!agent_serves_service(call, p->service)) {
        return false;
    }
    evict_oldest_handshake(call, shard);
    return agent_admission_add_flow(call, p->service->service_id,
                                    p->packet.kind == SL_PACKET_TCP, false) &&
           begin_flow(call, shard, p, "room");
}

bool
agent_open_last_flow(const struct agent_call *call, struct SlFlowShard *shard,
                     struct agent_packet *p)
{
    return agent_serves_service(call, p->service) &&
           agent_admission_add_last_flow(call, p->service->service_id,
                                         p->packet.kind == SL_PACKET_TCP) &&
           begin_flow(call, shard, p, "free_slot");
}

struct SlFlow *
agent_adopt_flow(const struct agent_call *call, struct SlFlowShard *shard,
                 const struct SlFlowKey *key,
                 const struct SlRouteService *service, uint64_t origin)
{
    struct SlEvent event = {.number = SL_EVENT_ADOPT,
                            .flow = key,
                            .service = service->name,
                            .node = call->agent->options.core.name,
                            .reason = "restarted"};
    struct SlFlow *flow = insert_open_flow(call, shard, key, service, origin);

    if (flow == NULL) {
        return NULL;
    }
    agent_admission_add_flow(call, service->service_id, false, true);
    flow->flags = SL_FLOW_ADOPTED;
    agent_schedule_flow(call, shard, flow);
    agent_increment_counter(call->agent, COUNT_ADOPTED);
    agent_log_event(call, &event);
    return flow;
}

void
agent_send_hint(const struct agent_call *call, const struct agent_packet *p,
                uint64_t holder)
{
    struct SlTunnel hint = {
        .kind = SL_TUNNEL_HINT, .flow = p->key, .holder = holder};

    if (p->service != NULL) {
        hint.service_id = p->service->service_id;
    }
    agent_send_datagram(call, p->tunnel->origin_entry, &hint);
}

/// Begins an exchange when the caller's payload is delivered to the upstream.
static void
begin_request_exchange(const struct agent_call *call, struct SlFlow *flow)
{
    uint32_t queued;

    if (flow->flags & SL_FLOW_REQUEST_DELIVERED) {
        return;
    }
    if (!(flow->flags & SL_FLOW_IN_EXCHANGE)) {
        queued = agent_admission_begin_exchange(call);
        flow->exchanges_at_start =
            (uint8_t)(queued < UINT8_MAX ? queued : UINT8_MAX);
    }
    flow->flags &= (uint16_t)~SL_FLOW_EXCHANGE_LATE;
    flow->flags |= SL_FLOW_IN_EXCHANGE | SL_FLOW_REQUEST_DELIVERED;
    flow->exchange_start_ms = call->now_ms;
    agent_admission_count_awaiting_answer(call, true);
}

/// Records that the caller completed the handshake. Its first request is
/// expected at once, so an exchange begins.
static void
complete_handshake(const struct agent_call *call, struct SlFlow *flow,
                   const struct SlPacket *packet)
{
    uint32_t queued;

    if (!(flow->flags & SL_FLOW_HANDSHAKE) ||
        !(flow->flags & SL_FLOW_SYN_ACKED) ||
        !(packet->tcp_flags & SL_TCP_ACK)) {
        return;
    }
    flow->flags &= (uint16_t)~SL_FLOW_HANDSHAKE;
    agent_admission_end_handshake(call);
    if (!(flow->flags & SL_FLOW_IN_EXCHANGE)) {
        queued = agent_admission_begin_exchange(call);
        flow->exchanges_at_start =
            (uint8_t)(queued < UINT8_MAX ? queued : UINT8_MAX);
        flow->flags |= SL_FLOW_IN_EXCHANGE;
        flow->exchange_start_ms = call->now_ms;
    }
}

/// Returns true when the caller's reset ends the flow. It does so only where
/// the upstream must accept it (RFC 5961, 3.2); otherwise the upstream answers
/// with a challenge ACK.
static bool
is_valid_caller_reset(const struct SlFlow *flow, const struct SlPacket *packet)
{
    return packet->kind == SL_PACKET_TCP && (packet->tcp_flags & SL_TCP_RST) &&
           ((flow->flags & SL_FLOW_HANDSHAKE) ||
            packet->tcp_seq == flow->caller_acked);
}

static void
deliver_bytes(const struct agent_call *call, const struct agent_packet *p)
{
    agent_increment_counter(call->agent, COUNT_DELIVERED);
    call->sink->type->send_to_upstream(call->sink, p->packet.bytes,
                                       p->packet.length_bytes);
}

static void
deliver_to_open_flow(const struct agent_call *call, struct SlFlowShard *shard,
                     struct SlFlow *flow, struct agent_packet *p)
{
    bool is_reset = is_valid_caller_reset(flow, &p->packet);
    bool in_handshake = flow->flags & SL_FLOW_HANDSHAKE;
    bool had_unacked = agent_has_unacked_payload(flow);

    flow->holder = p->tunnel->origin_entry;
    if (agent_track_caller_packet(flow, &p->packet, call->now_ms)) {
        begin_request_exchange(call, flow);
    }
    agent_count_unacked(call->agent, flow, had_unacked);
    if (p->packet.kind == SL_PACKET_TCP) {
        complete_handshake(call, flow, &p->packet);
    }
    deliver_bytes(call, p);
    if (!(p->tunnel->flags & SL_TUNNEL_CACHED)) {
        agent_send_hint(call, p, call->agent->node_id);
    }
    if (is_reset) {
        agent_end_flow(call, shard, flow, "caller_reset");
        return;
    }
    if (agent_is_flow_closed(flow)) {
        agent_end_flow(call, shard, flow, "closed");
        return;
    }
    if (in_handshake != ((flow->flags & SL_FLOW_HANDSHAKE) != 0) ||
        !in_handshake) {
        agent_schedule_flow(call, shard, flow);
    }
}

void
agent_deliver_packet(const struct agent_call *call, struct SlFlowShard *shard,
                     struct SlFlow *flow, struct agent_packet *p)
{
    if (p->packet.kind == SL_PACKET_ICMP_ERROR) {
        deliver_bytes(call, p);
        return;
    }
    if (!agent_is_plausible_packet(flow, &p->packet)) {
        if (p->tunnel->flags & SL_TUNNEL_CACHED) {
            agent_send_hint(call, p, 0);
        }
        agent_report_drop(call, &p->key, "implausible");
        return;
    }
    if (flow->kind == SL_FLOW_ENDED) {
        deliver_bytes(call, p);
        return;
    }
    deliver_to_open_flow(call, shard, flow, p);
}

void
agent_end_flow(const struct agent_call *call, struct SlFlowShard *shard,
               struct SlFlow *flow, const char *reason)
{
    struct SlFlowKey key = flow->key;
    const struct SlRouteService *service =
        SlRouting_FindServiceById(call->routing, flow->service_id);
    uint32_t now_s = (uint32_t)(call->now_us / AGENT_SECOND_US);
    struct SlEvent event = {.number = SL_EVENT_FLOW_END,
                            .flow = &key,
                            .service = service != NULL ? service->name : NULL,
                            .node = call->agent->options.core.name,
                            .reason = reason,
                            .value = (int64_t)(now_s - flow->opened_s) *
                                     AGENT_SECOND_US};

    bool remembered =
        key.protocol == IPPROTO_TCP && (!(flow->flags & SL_FLOW_HANDSHAKE) ||
                                        (flow->flags & SL_FLOW_EARLY_DATA));

    agent_admission_remove_flow(call, flow);
    if (agent_has_unacked_payload(flow)) {
        atomic_fetch_sub(&call->agent->admission.unacked_flows, 1);
    }
    event.limit = call->agent->admission.open_flows;
    flow->flags &= (uint16_t) ~(SL_FLOW_IN_EXCHANGE |
                                SL_FLOW_REQUEST_DELIVERED | SL_FLOW_HANDSHAKE);
    if (remembered) {
        evict_oldest_soft_entry(call, shard);
        flow->kind = SL_FLOW_ENDED;
        SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_SOFT_STATE,
                             call->now_ms + AGENT_SOFT_ENTRY_MS);
    }
    else {
        SlFlowShard_Remove(shard, flow);
    }
    agent_log_event(call, &event);
}

void
agent_reset_flow(const struct agent_call *call, struct SlFlowShard *shard,
                 struct SlFlow *flow, const char *reason)
{
    struct SlFlowKey key = flow->key;
    const struct SlRouteService *service =
        SlRouting_FindServiceById(call->routing, flow->service_id);
    struct SlEvent event = {.number = SL_EVENT_RESET,
                            .flow = &key,
                            .service = service != NULL ? service->name : NULL,
                            .node = call->agent->options.core.name,
                            .reason = reason};

    agent_send_resets(call, flow);
    agent_increment_counter(call->agent, COUNT_RESET);
    flow->flags |= SL_FLOW_WAS_RESET;
    agent_log_event(call, &event);
    agent_end_flow(call, shard, flow, reason);
}
