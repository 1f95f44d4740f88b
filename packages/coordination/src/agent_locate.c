/// Searches: who holds a flow? Asked of all agents of the service before a
/// flow that may be known elsewhere is admitted, adopted or given up.
///
/// A search with a claim also keeps the others from admitting the flow. Of
/// two claims at once that of the lower node id wins.

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
    /// How far behind the caller's packet a probe lies.
    PROBE_BEHIND_BYTES = 1 << 20,
};

static bool
is_dead(const struct agent_call *call, uint64_t node_id)
{
    uint64_t silent_us = agent_peer_silent_us(call, node_id);

    return silent_us != UINT64_MAX && silent_us >= AGENT_PEER_RESTART_US;
}

static void
ask(struct agent_search *search, uint64_t node_id, bool dead)
{
    for (uint32_t i = 0; i < search->asked_count; i++) {
        if (search->asked[i] == node_id) {
            return;
        }
    }
    if (search->asked_count < AGENT_SEARCH_ASKED_MAX) {
        search->dead[search->asked_count] = dead;
        search->asked[search->asked_count++] = node_id;
    }
}

/// Everybody who may have the flow: members whose zone is in, and former
/// members that still hold flows.
static void
list_asked(const struct agent_call *call, struct agent_search *search,
           const struct SlRouteService *service)
{
    uint64_t holders[AGENT_HOLDERS_MAX];
    uint32_t count = agent_peers_holders(call, service->service_id, holders,
                                         AGENT_HOLDERS_MAX);

    for (uint32_t i = 0; i < service->member_count; i++) {
        const struct SlRouteNode *node = service->members[i];

        if (node->node_id != call->agent->node_id && !node->zone_out) {
            ask(search, node->node_id, is_dead(call, node->node_id));
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        const struct SlRouteNode *node =
            SlRouting_FindNode(call->routing, holders[i]);

        if (node != NULL && !node->zone_out) {
            ask(search, holders[i], false);
        }
    }
}

bool
agent_probe(const struct agent_call *call, const struct SlFlowKey *key,
            uint32_t seq)
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
send_round(const struct agent_call *call, const struct SlFlowKey *key,
           const struct agent_search *search)
{
    for (uint32_t i = 0; i < search->asked_count; i++) {
        struct SlTunnel locate = {.kind = SL_TUNNEL_LOCATE,
                                  .service_id = search->service_id,
                                  .flow = *key,
                                  .last_seq = search->seq};

        locate.flags = search->claim ? SL_TUNNEL_CLAIM : 0;
        if (!search->answered[i]) {
            agent_send(call, search->asked[i], &locate);
        }
    }
}

/// Tells agents whose zone went out a moment ago that the flow came back
/// here, so that they end it without a word to its caller. Nobody waits for
/// their answers.
static void
tell_left_zones(const struct agent_call *call, const struct SlFlowKey *key,
                const struct SlRouteService *service)
{
    uint64_t left_us = atomic_load(&call->agent->left_us);

    if (left_us == 0 ||
        agent_elapsed_us(call->now_us, left_us) > AGENT_LEFT_US) {
        return;
    }
    for (uint32_t i = 0; i < service->member_count; i++) {
        struct SlTunnel locate = {.kind = SL_TUNNEL_LOCATE,
                                  .flags = SL_TUNNEL_CLAIM,
                                  .service_id = service->service_id,
                                  .flow = *key};

        if (service->members[i]->zone_out) {
            agent_send(call, service->members[i]->node_id, &locate);
        }
    }
}

void
agent_locate_wait(const struct agent_call *call, struct SlFlow *flow,
                  const struct agent_packet *p)
{
    struct agent_search *search =
        agent_search_of(&call->agent->searches, flow);
    struct agent_waiting *waiting;
    uint8_t *bytes;

    if (search->waiting_count == AGENT_SEARCH_PACKETS) {
        agent_drop(call, &p->key, "search_full");
        return;
    }
    if (!agent_search_reserve(&call->agent->searches,
                              p->packet.length_bytes)) {
        agent_drop(call, &p->key, "searches_full");
        return;
    }
    bytes = malloc(p->packet.length_bytes);
    if (bytes == NULL) {
        agent_search_give_back(&call->agent->searches, p->packet.length_bytes);
        agent_drop(call, &p->key, "no_memory");
        return;
    }
    memcpy(bytes, p->packet.bytes, p->packet.length_bytes);
    waiting = &search->waiting[search->waiting_count++];
    waiting->tunnel = *p->tunnel;
    waiting->tunnel.packet = bytes;
    waiting->tunnel.packet_bytes = p->packet.length_bytes;
    waiting->bytes = bytes;
}

static bool
is_complete(const struct agent_search *search)
{
    for (uint32_t i = 0; i < search->asked_count; i++) {
        if (!search->answered[i]) {
            return false;
        }
    }
    return true;
}

/// True when nobody's answer is waited for any more.
static bool
is_over(const struct agent_search *search)
{
    for (uint32_t i = 0; i < search->asked_count; i++) {
        if (!search->answered[i] && !search->dead[i]) {
            return false;
        }
    }
    return true;
}

/// Lets probed upstreams answer. False when there is nothing to wait for.
static bool
look_later(const struct agent_call *call, struct SlFlowShard *shard,
           struct SlFlow *flow, struct agent_search *search)
{
    bool probed = search->probed && search->looks == 0;

    for (uint32_t i = 0; i < search->asked_count; i++) {
        probed |= search->recent[i];
    }
    if (!probed || search->looks >= AGENT_LOOKS_MAX) {
        return false;
    }
    search->looks++;
    search->looking = true;
    SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_TIMER_WHEEL,
                         call->now_ms + AGENT_PROBE_MS);
    return true;
}

/// How a search ended.
struct outcome {
    /// 0: nobody is known to have the flow.
    uint64_t holder;
    /// The holder does not have the flow yet but is about to decide.
    bool claims;
};

static void
finish(const struct agent_call *call, struct SlFlowShard *shard,
       struct SlFlow *flow, struct outcome outcome);

/// Fills a new search and lets the packet wait in it.
static void
fill_search(const struct agent_call *call, struct SlFlow *flow,
            struct agent_search *search, const struct agent_packet *p)
{
    search->service_id = p->service->service_id;
    search->has_last_seq = p->has_last_seq;
    search->last_seq = p->last_seq;
    search->seq = p->packet.tcp_seq;
    list_asked(call, search, p->service);
    agent_locate_wait(call, flow, p);
}

/// Puts a search in place of what was not known of the flow; NULL and the
/// packet dropped when a bound is reached.
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
        agent_drop(call, &p->key, "searches_full");
        return NULL;
    }
    flow = agent_insert_soft(call, shard, &p->key, SL_FLOW_PENDING);
    if (flow == NULL) {
        struct SlFlow none = {.holder = slot};

        agent_search_release(agent_search_take(searches, &none));
        agent_drop(call, &p->key, "table_full");
        return NULL;
    }
    flow->holder = slot;
    flow->service_id = p->service->service_id;
    fill_search(call, flow, search, p);
    return flow;
}

void
agent_locate(const struct agent_call *call, struct SlFlowShard *shard,
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
    search = agent_search_of(&call->agent->searches, flow);
    event.value = search->asked_count;
    agent_event(call, &event);
    if (claim) {
        tell_left_zones(call, &p->key, p->service);
    }
    else {
        search->probed = agent_probe(call, &p->key, p->packet.tcp_seq);
    }
    send_round(call, &p->key, search);
    if (is_over(search)) {
        if (claim || !look_later(call, shard, flow, search)) {
            finish(call, shard, flow, (struct outcome){.holder = 0});
        }
        return;
    }
    SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_TIMER_WHEEL,
                         call->now_ms + AGENT_LOCATE_ROUND_MS);
}

/// An agent that did not answer was heard lately: it may be restarting, and
/// hold the flow.
static bool
may_return(const struct agent_call *call, const struct agent_search *search)
{
    for (uint32_t i = 0; i < search->asked_count; i++) {
        uint64_t silent_us = agent_peer_silent_us(call, search->asked[i]);

        if (!search->answered[i] && silent_us < AGENT_PEER_RESTART_US) {
            return true;
        }
    }
    return false;
}

/// The upstream was asked and is silent, but an entry's cache says that the
/// flow is its own, and it has room.
static bool
is_likely_own(const struct agent_call *call, const struct agent_search *search,
              const struct agent_packet *p)
{
    struct agent_admission *admission = &call->agent->admission;

    return search->probed && !search->denied &&
           p->packet.kind == SL_PACKET_TCP &&
           (p->tunnel->flags & SL_TUNNEL_CACHED) &&
           admission->open_flows < admission->capacity_flows;
}

/// Nobody has the flow, and the packet is not its first.
static void
nobody_has_old(const struct agent_call *call, struct SlFlowShard *shard,
               const struct agent_search *search, struct agent_packet *p)
{
    if (SlFlowShard_Find(shard, &p->key) != NULL) {
        agent_route(call, shard, p);
        return;
    }
    if (is_likely_own(call, search, p) &&
        agent_adopt(call, shard, &p->key, p->service,
                    p->tunnel->origin_entry) != NULL) {
        agent_route(call, shard, p);
        return;
    }
    if (!is_complete(search) && may_return(call, search)) {
        agent_drop(call, &p->key, "holder_may_return");
        return;
    }
    agent_answer_reset(call, p, "unknown_flow");
}

/// After a restart an entry's cache is the only word on a UDP flow: it was
/// accepted here, and no other agent has it.
static bool
is_own_udp(const struct agent_call *call, const struct agent_packet *p)
{
    return p->packet.kind == SL_PACKET_UDP &&
           (p->tunnel->flags & SL_TUNNEL_CACHED) &&
           !atomic_load(&call->agent->zone_out) &&
           agent_started_within(call, AGENT_SETTLE_US);
}

/// True when a packet that carries payload may not be placed: an agent that
/// lives did not answer, and may hold the flow; or one that seems dead may
/// have got a copy.
static bool
must_not_place(const struct agent_call *call,
               const struct agent_search *search, const struct agent_packet *p)
{
    if (!agent_has_payload(&p->packet) || is_complete(search)) {
        return false;
    }
    return !is_over(search) || !agent_settled(call, p, AGENT_COPY_US);
}

/// Nobody has the new flow.
static void
nobody_has_new(const struct agent_call *call, struct SlFlowShard *shard,
               const struct agent_search *search, struct agent_packet *p)
{
    if (SlFlowShard_Find(shard, &p->key) != NULL) {
        agent_route(call, shard, p);
        return;
    }
    if (is_own_udp(call, p) && agent_adopt(call, shard, &p->key, p->service,
                                           p->tunnel->origin_entry) != NULL) {
        agent_route(call, shard, p);
        return;
    }
    if (must_not_place(call, search, p)) {
        agent_refuse(call, shard, p, false, "unanswered");
        return;
    }
    agent_decide(call, shard, p);
}

static void
send_to_holder(const struct agent_call *call, struct SlFlowShard *shard,
               const struct agent_packet *p, struct outcome outcome)
{
    uint32_t flags = outcome.claims ? 0 : SL_TUNNEL_LOCATED_FLOW;
    struct SlFlow *flow = agent_mark(call, shard, p, outcome.holder);

    if (flow != NULL && outcome.claims) {
        flow->kind = SL_FLOW_CLAIMED;
    }
    if (!agent_send_on(call, p, outcome.holder, flags)) {
        agent_drop(call, &p->key, "too_many_hops");
    }
}

static void
finish_packet(const struct agent_call *call, struct SlFlowShard *shard,
              const struct agent_search *search, struct outcome outcome,
              const struct SlTunnel *tunnel)
{
    struct agent_packet p;

    if (!agent_read(call, tunnel, &p)) {
        return;
    }
    if (search->has_last_seq) {
        p.has_last_seq = true;
        p.last_seq = search->last_seq;
    }
    if (!agent_serves(call, p.service)) {
        agent_route(call, shard, &p);
        return;
    }
    if (outcome.holder != 0) {
        send_to_holder(call, shard, &p, outcome);
        return;
    }
    if (agent_is_opening(&p.packet) && !search->claim) {
        agent_route(call, shard, &p);
        return;
    }
    if (agent_is_opening(&p.packet)) {
        nobody_has_new(call, shard, search, &p);
        return;
    }
    nobody_has_old(call, shard, search, &p);
}

/// The agent that a flow was passed on to, unless it has answered itself that
/// it does not have it; 0 if none.
static uint64_t
passed_holder(const struct agent_search *search)
{
    for (uint32_t i = 0; i < search->asked_count; i++) {
        if (search->asked[i] == search->passed && search->answered[i]) {
            return 0;
        }
    }
    return search->passed;
}

/// Ends a search; holder 0: nobody has said that it has the flow.
static void
finish(const struct agent_call *call, struct SlFlowShard *shard,
       struct SlFlow *flow, struct outcome outcome)
{
    struct agent_search *search =
        agent_search_take(&call->agent->searches, flow);
    struct SlFlowKey key = flow->key;
    const struct SlRouteService *service =
        SlRouting_FindServiceById(call->routing, search->service_id);
    struct SlEvent event = {
        .number = SL_EVENT_LOCATED,
        .flow = &key,
        .service = service != NULL ? service->name : NULL,
        .reason = is_complete(search) ? "nobody" : "unanswered",
        .value = (int64_t)agent_elapsed_us(call->now_us, search->started_us)};

    if (outcome.holder == 0) {
        outcome.holder = passed_holder(search);
    }
    if (outcome.holder != 0) {
        event.node = agent_node_name(call, outcome.holder);
        event.reason = "found";
    }
    agent_count(call->agent,
                outcome.holder != 0 ? COUNT_LOCATED : COUNT_LOCATE_FAILED);
    agent_event(call, &event);
    SlFlowShard_Remove(shard, flow);
    for (uint32_t i = 0; i < search->waiting_count; i++) {
        finish_packet(call, shard, search, outcome,
                      &search->waiting[i].tunnel);
    }
    agent_search_release(search);
}

/// Those who probed their upstreams are asked once more.
static void
ask_probed_again(struct agent_search *search)
{
    for (uint32_t i = 0; i < search->asked_count; i++) {
        search->answered[i] = search->answered[i] && !search->recent[i];
        search->recent[i] = false;
    }
    search->looking = false;
}

/// A claim may keep payload from its caller, so it is asked once more.
static uint32_t
rounds_of(const struct agent_search *search)
{
    return AGENT_LOCATE_ROUNDS + (search->claim ? 1 : 0);
}

void
agent_locate_due(const struct agent_call *call, struct SlFlowShard *shard,
                 struct SlFlow *flow)
{
    struct agent_search *search =
        agent_search_of(&call->agent->searches, flow);

    if (search->looking) {
        ask_probed_again(search);
    }
    else {
        search->round++;
    }
    if (search->round >= rounds_of(search) || is_over(search)) {
        finish(call, shard, flow, (struct outcome){.holder = 0});
        return;
    }
    SlFlowShard_Schedule(shard, flow, SL_FLOW_QUEUE_TIMER_WHEEL,
                         call->now_ms + AGENT_LOCATE_ROUND_MS);
    send_round(call, &flow->key, search);
}

void
agent_locate_yield(const struct agent_call *call, struct SlFlowShard *shard,
                   struct SlFlow *flow, uint64_t node_id)
{
    finish(call, shard, flow,
           (struct outcome){.holder = node_id, .claims = true});
}

void
agent_locate_denied(const struct agent_call *call, const struct SlFlow *flow)
{
    agent_search_of(&call->agent->searches, flow)->denied = true;
}

void
agent_locate_own(const struct agent_call *call, struct SlFlowShard *shard,
                 struct SlFlow *flow, const struct SlRouteService *service)
{
    struct agent_search *search =
        agent_search_take(&call->agent->searches, flow);
    struct SlFlowKey key = flow->key;
    struct agent_packet p;

    SlFlowShard_Remove(shard, flow);
    agent_adopt(call, shard, &key, service,
                search->waiting[0].tunnel.origin_entry);
    for (uint32_t i = 0; i < search->waiting_count; i++) {
        if (agent_read(call, &search->waiting[i].tunnel, &p)) {
            agent_route(call, shard, &p);
        }
    }
    agent_search_release(search);
}

/// The place of the sender among those asked; asked_count if it is not.
static uint32_t
place_of(const struct agent_search *search, uint64_t node_id)
{
    uint32_t i = 0;

    while (i < search->asked_count && search->asked[i] != node_id) {
        i++;
    }
    return i;
}

static void
note_last_seq(struct agent_search *search, const struct SlTunnel *tunnel)
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

/// Who has the flow by this answer, 0 if nobody.
static uint64_t
answered_holder(const struct agent_call *call, const struct SlTunnel *tunnel)
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
note_answer(const struct agent_call *call, struct SlFlowShard *shard,
            struct SlFlow *flow, const struct SlTunnel *tunnel)
{
    struct agent_search *search =
        agent_search_of(&call->agent->searches, flow);
    uint32_t place = place_of(search, tunnel->sender);
    struct outcome outcome = {.holder = answered_holder(call, tunnel),
                              .claims = tunnel->answer == SL_LOCATE_CLAIMED};

    if (place == search->asked_count ||
        search->service_id != tunnel->service_id) {
        return;
    }
    search->answered[place] = true;
    search->recent[place] = tunnel->flags & SL_TUNNEL_RECENT_BOOT;
    note_last_seq(search, tunnel);
    if (tunnel->answer == SL_LOCATE_PASSED_ON && !search->claim) {
        /* An old mark: the holder's own word goes before it. */
        search->passed = outcome.holder;
        outcome.holder = 0;
    }
    if (outcome.holder != 0) {
        finish(call, shard, flow, outcome);
        return;
    }
    if (!is_over(search)) {
        return;
    }
    if (!search->claim && look_later(call, shard, flow, search)) {
        return;
    }
    finish(call, shard, flow, outcome);
}

void
agent_handle_located(const struct agent_call *call,
                     const struct SlTunnel *tunnel)
{
    struct SlFlowShard *shard =
        SlFlowTable_Lock(call->agent->table, &tunnel->flow);
    struct SlFlow *flow = SlFlowShard_Find(shard, &tunnel->flow);

    if (flow != NULL && flow->kind == SL_FLOW_PENDING) {
        note_answer(call, shard, flow, tunnel);
    }
    SlFlowShard_Unlock(shard);
}
