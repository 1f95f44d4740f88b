/// The other agents of this agent's services: their last word on their load,
/// and the choice among them when a new flow is passed on.

#include "agent_peers.h"
#include "agent_core.h"

#include <stdlib.h>
#include <string.h>

enum {
    /// A change of the load by a step of the capacity is told at once.
    LOAD_STEPS = 256,
    /// A peer must be this much emptier before a flow is passed on for
    /// balance alone.
    MARGIN_PERCENT = 2,
    MARGIN_FLOWS = 2,
    /// Flows that may be passed to agents without room in one window: their
    /// word may be old, but under overload the flow is refused sooner.
    TRIES_MAX = 50,
    TRIES_WINDOW_US = 100 * 1000,
};

bool
agent_peers_init(struct agent_peers *peers)
{
    return pthread_mutex_init(&peers->lock, NULL) == 0;
}

static struct agent_peer *
find_peer(struct agent_peers *peers, uint64_t node_id)
{
    uint32_t low = 0;
    uint32_t high = peers->count;

    while (low < high) {
        uint32_t middle = (low + high) / 2;

        if (peers->items[middle].node_id == node_id) {
            return &peers->items[middle];
        }
        if (peers->items[middle].node_id < node_id) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

static int
compare_peers(const void *a, const void *b)
{
    const struct agent_peer *one = a;
    const struct agent_peer *other = b;

    if (one->node_id == other->node_id) {
        return 0;
    }
    return one->node_id < other->node_id ? -1 : 1;
}

/// Adds the members of a service that are not there yet.
static uint32_t
add_members(struct agent_peer *items, uint32_t count, uint64_t self,
            const struct SlRouteService *service)
{
    for (uint32_t m = 0; m < service->member_count; m++) {
        uint64_t node_id = service->members[m]->node_id;
        uint32_t i = 0;

        while (i < count && items[i].node_id != node_id) {
            i++;
        }
        if (node_id != self && i == count && count < AGENT_PEERS_MAX) {
            items[count++] = (struct agent_peer){
                .node_id = node_id, .service_id = service->service_id};
        }
    }
    return count;
}

/// Notes that a node holds flows of a service without being its member; the
/// one that was heard longest ago gives way.
static void
note_holder(struct agent_peers *peers, uint64_t service_id, uint64_t node_id,
            uint64_t now_us)
{
    struct agent_holder *holder = NULL;

    for (uint32_t i = 0; i < peers->holder_count; i++) {
        struct agent_holder *other = &peers->holders[i];

        if (other->service_id == service_id && other->node_id == node_id) {
            other->heard_us = now_us;
            return;
        }
        if (holder == NULL || other->heard_us < holder->heard_us) {
            holder = other;
        }
    }
    if (peers->holder_count < AGENT_HOLDERS_MAX) {
        holder = &peers->holders[peers->holder_count++];
    }
    *holder = (struct agent_holder){
        .service_id = service_id, .node_id = node_id, .heard_us = now_us};
}

/// Members that a service has just lost are likely to hold flows of it; their
/// own word comes later.
static void
note_departed(struct agent_peers *peers, const struct SlRouting *before,
              const struct SlRouteService *service, uint64_t now_us)
{
    const struct SlRouteService *old =
        SlRouting_FindServiceById(before, service->service_id);

    for (uint32_t i = 0; old != NULL && i < old->member_count; i++) {
        uint64_t node_id = old->members[i]->node_id;

        if (SlRouteService_MemberIndex(service, node_id) == SL_NO_MEMBER) {
            note_holder(peers, service->service_id, node_id, now_us);
        }
    }
}

void
agent_peers_routing(struct SlAgent *agent, const struct SlRouting *before,
                    const struct SlRouting *routing, uint64_t now_us)
{
    struct agent_peers *peers = &agent->peers;
    struct agent_peer *items = calloc(AGENT_PEERS_MAX, sizeof(*items));
    uint32_t count = 0;

    if (items == NULL) {
        return;
    }
    for (uint32_t i = 0; i < SlRouting_ServiceCount(routing); i++) {
        const struct SlRouteService *service = SlRouting_ServiceAt(routing, i);

        if (SlRouteService_MemberIndex(service, agent->node_id) !=
            SL_NO_MEMBER) {
            count = add_members(items, count, agent->node_id, service);
        }
    }
    qsort(items, count, sizeof(*items), compare_peers);
    pthread_mutex_lock(&peers->lock);
    for (uint32_t i = 0; i < count; i++) {
        struct agent_peer *old = find_peer(peers, items[i].node_id);

        if (old != NULL) {
            uint64_t service_id = items[i].service_id;

            items[i] = *old;
            items[i].service_id = service_id;
        }
    }
    memcpy(peers->items, items, count * sizeof(*items));
    peers->count = count;
    for (uint32_t i = 0; before != NULL && i < SlRouting_ServiceCount(routing);
         i++) {
        note_departed(peers, before, SlRouting_ServiceAt(routing, i), now_us);
    }
    pthread_mutex_unlock(&peers->lock);
    free(items);
}

/// True when the sender's datagram tells that it holds flows of a service
/// that is this agent's but no longer the sender's.
static bool
tells_holder(const struct agent_call *call, const struct SlTunnel *tunnel)
{
    const struct SlRouteService *service;

    if (tunnel->kind != SL_TUNNEL_LOAD) {
        return false;
    }
    service = SlRouting_FindServiceById(call->routing, tunnel->service_id);
    return agent_serves(call, service) &&
           SlRouteService_MemberIndex(service, tunnel->sender) == SL_NO_MEMBER;
}

void
agent_peers_heard(const struct agent_call *call, const struct SlTunnel *tunnel)
{
    struct agent_peers *peers = &call->agent->peers;
    bool holds = tells_holder(call, tunnel);
    struct agent_peer *peer;

    if (tunnel->load_capacity == 0 && !holds) {
        return;
    }
    pthread_mutex_lock(&peers->lock);
    peer = find_peer(peers, tunnel->sender);
    if (peer != NULL && tunnel->load_capacity != 0) {
        peer->flows = tunnel->load_flows;
        peer->capacity = tunnel->load_capacity;
        peer->room = tunnel->load_free_capacity;
        peer->heard_us = call->now_us;
    }
    if (holds) {
        note_holder(peers, tunnel->service_id, tunnel->sender, call->now_us);
    }
    pthread_mutex_unlock(&peers->lock);
}

uint64_t
agent_peer_silent_us(const struct agent_call *call, uint64_t node_id)
{
    struct agent_peers *peers = &call->agent->peers;
    struct agent_peer *peer;
    uint64_t silent_us = UINT64_MAX;

    pthread_mutex_lock(&peers->lock);
    peer = find_peer(peers, node_id);
    if (peer != NULL && peer->heard_us != 0) {
        silent_us = agent_elapsed_us(call->now_us, peer->heard_us);
    }
    pthread_mutex_unlock(&peers->lock);
    return silent_us;
}

uint32_t
agent_peers_holders(const struct agent_call *call, uint64_t service_id,
                    uint64_t *nodes, uint32_t room)
{
    struct agent_peers *peers = &call->agent->peers;
    uint32_t count = 0;

    pthread_mutex_lock(&peers->lock);
    for (uint32_t i = 0; i < peers->holder_count && count < room; i++) {
        const struct agent_holder *holder = &peers->holders[i];

        if (holder->service_id == service_id &&
            agent_elapsed_us(call->now_us, holder->heard_us) <
                AGENT_PEER_RESTART_US) {
            nodes[count++] = holder->node_id;
        }
    }
    pthread_mutex_unlock(&peers->lock);
    return count;
}

/// How good a peer is for a new flow; the greatest wins.
enum rank {
    RANK_NONE,
    /// Told that it has no room; its word may be old.
    RANK_FULL,
    RANK_UNHEARD,
    RANK_ROOM,
};

struct choice {
    enum rank rank;
    uint64_t flows;
    uint64_t capacity;
    struct agent_peer *peer;
    uint64_t node_id;
};

static struct choice
rate(struct agent_peers *peers, const struct SlRouteNode *node,
     uint64_t now_us)
{
    struct choice choice = {.rank = RANK_NONE, .node_id = node->node_id};
    bool heard;

    if (node->zone_out || node->draining) {
        return choice;
    }
    choice.peer = find_peer(peers, node->node_id);
    heard = choice.peer != NULL && choice.peer->heard_us != 0;
    if (!heard) {
        choice.rank = node->unreachable ? RANK_NONE : RANK_UNHEARD;
        choice.capacity = 1;
        return choice;
    }
    if (agent_elapsed_us(now_us, choice.peer->heard_us) >=
        AGENT_PEER_SILENT_US) {
        return choice;
    }
    choice.rank = choice.peer->room > 0 ? RANK_ROOM : RANK_FULL;
    choice.flows = choice.peer->flows;
    choice.capacity = choice.peer->capacity;
    return choice;
}

static bool
is_better(const struct choice *a, const struct choice *b)
{
    if (a->rank != b->rank) {
        return a->rank > b->rank;
    }
    return a->rank != RANK_NONE &&
           a->flows * b->capacity < b->flows * a->capacity;
}

/// True when the other is clearly emptier than this agent's upstream.
static bool
is_clearly_emptier(const struct SlAgent *agent, const struct choice *other)
{
    uint64_t own = agent->admission.open_flows;
    uint64_t capacity = agent->admission.capacity_flows;

    return own * other->capacity * 100 >
           other->flows * capacity * (100 + MARGIN_PERCENT) +
               (uint64_t)MARGIN_FLOWS * 100 * other->capacity;
}

/// Best of the members, beginning at the bucket's home. visited: look only
/// at those that had the flow already, else only at the others.
static struct choice
best_member(const struct agent_call *call, const struct agent_packet *p,
            bool visited)
{
    const struct SlRouteService *service = p->service;
    uint32_t bucket = SlRouting_BucketOf(service->service_id, &p->key);
    uint32_t first = service->buckets[bucket].choices[0];
    struct choice best = {.rank = RANK_NONE};

    first = first == SL_NO_MEMBER ? 0 : first;
    for (uint32_t i = 0; i < service->member_count; i++) {
        const struct SlRouteNode *node =
            service->members[(first + i) % service->member_count];
        struct choice choice;

        if (node->node_id == call->agent->node_id ||
            agent_visited(p->tunnel, node->node_id) != visited) {
            continue;
        }
        choice = rate(&call->agent->peers, node, call->now_us);
        if (is_better(&choice, &best)) {
            best = choice;
        }
    }
    return best;
}

/// Counts a passed flow in until the peer's next word. Every other agent of
/// the service may be passing flows to the same peer meanwhile.
static void
count_in(const struct agent_packet *p, struct choice *choice)
{
    uint32_t sharing = p->service->member_count;

    if (choice->peer == NULL) {
        return;
    }
    choice->peer->flows += sharing > 2 ? sharing - 1 : 1;
    choice->peer->room -= choice->peer->room > 0 ? 1 : 0;
}

/// True while agents that told to be full may still be tried.
static bool
may_try_full(struct agent_peers *peers, uint64_t now_us)
{
    if (agent_elapsed_us(now_us, peers->tries_us) >= TRIES_WINDOW_US) {
        peers->tries_us = now_us;
        peers->tries = 0;
    }
    return peers->tries++ < TRIES_MAX;
}

uint64_t
agent_peers_pick(const struct agent_call *call, const struct agent_packet *p,
                 bool balance)
{
    struct agent_peers *peers = &call->agent->peers;
    struct choice best;

    if (p->tunnel->passed_on_count == SL_TUNNEL_PASSED_ON_MAX) {
        return 0;
    }
    pthread_mutex_lock(&peers->lock);
    best = best_member(call, p, false);
    if (balance &&
        (best.rank != RANK_ROOM || !is_clearly_emptier(call->agent, &best))) {
        best = (struct choice){.rank = RANK_NONE};
    }
    if (!balance && best.rank != RANK_ROOM && agent_serves(call, p->service)) {
        struct choice back = best_member(call, p, true);

        best = back.rank == RANK_ROOM ? back : best;
    }
    if (best.rank == RANK_FULL && !may_try_full(peers, call->now_us)) {
        best = (struct choice){.rank = RANK_NONE};
    }
    if (best.rank != RANK_NONE) {
        count_in(p, &best);
    }
    pthread_mutex_unlock(&peers->lock);
    return best.rank == RANK_NONE ? 0 : best.node_id;
}

/// Tells the members of services whose flows this agent still holds.
static void
tell_members(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;
    struct agent_held held[AGENT_SERVICES_MAX];
    uint32_t count;

    pthread_mutex_lock(&admission->lock);
    count = admission->held_count;
    memcpy(held, admission->held, count * sizeof(*held));
    pthread_mutex_unlock(&admission->lock);
    for (uint32_t i = 0; i < count; i++) {
        const struct SlRouteService *service =
            SlRouting_FindServiceById(call->routing, held[i].service_id);

        if (service == NULL || agent_serves(call, service)) {
            continue;
        }
        for (uint32_t m = 0; m < service->member_count; m++) {
            struct SlTunnel load = {.kind = SL_TUNNEL_LOAD,
                                    .service_id = service->service_id};

            agent_send(call, service->members[m]->node_id, &load);
        }
    }
}

/// True when the peers' last word on this agent's load misleads them, or is
/// old.
static bool
is_word_due(const struct agent_call *call)
{
    struct agent_peers *peers = &call->agent->peers;
    struct SlTunnel load = {.kind = SL_TUNNEL_LOAD};
    uint32_t moved;

    agent_admission_load(call->agent, &load);
    moved = load.load_flows > peers->told_flows
                ? load.load_flows - peers->told_flows
                : peers->told_flows - load.load_flows;
    if (moved <= load.load_capacity / LOAD_STEPS &&
        (load.load_free_capacity == 0) == (peers->told_room == 0) &&
        call->now_us - peers->told_us < AGENT_GOSSIP_MAX_US) {
        return false;
    }
    peers->told_flows = load.load_flows;
    peers->told_room = load.load_free_capacity;
    peers->told_us = call->now_us;
    return true;
}

void
agent_peers_tick(const struct agent_call *call)
{
    struct agent_peers *peers = &call->agent->peers;

    if (call->routing == NULL ||
        call->now_us - peers->gossip_us < AGENT_GOSSIP_US) {
        return;
    }
    peers->gossip_us = call->now_us;
    if (!is_word_due(call)) {
        return;
    }
    for (uint32_t i = 0; i < peers->count; i++) {
        struct SlTunnel load = {.kind = SL_TUNNEL_LOAD,
                                .service_id = peers->items[i].service_id};

        agent_send(call, peers->items[i].node_id, &load);
    }
    tell_members(call);
}
