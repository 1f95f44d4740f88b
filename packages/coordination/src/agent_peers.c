/// The other agents of this agent's services: the load that they last
/// reported, and the choice among them when a new flow is passed on.

#include "agent_peers.h"
#include "agent_core.h"

#include <stdlib.h>
#include <string.h>

enum {
    /// A change of the load by more than 1/LOAD_REPORT_STEPS of the capacity
    /// is reported at the next short interval.
    LOAD_REPORT_STEPS = 256,
    /// A flow is passed on only for balance if the peer's load is lower by at
    /// least this margin.
    BALANCE_MARGIN_PERCENT = 2,
    BALANCE_MARGIN_FLOWS = 2,
    /// Flows that may be passed on per window to agents that reported no free
    /// capacity. Their report may be outdated, so some are tried; the limit
    /// makes sure that flows are refused soon under overload.
    FULL_ATTEMPTS_MAX = 50,
    FULL_ATTEMPTS_WINDOW_US = 100 * 1000,
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

/// Adds the members of a service that are not yet in the list.
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

/// Records that a node holds flows of a service without being its member. When
/// the list is full, the node with the oldest report is replaced.
static void
record_holder(struct agent_peers *peers, uint64_t service_id, uint64_t node_id,
              uint64_t now_us)
{
    struct agent_holder *holder = NULL;

    for (uint32_t i = 0; i < peers->holder_count; i++) {
        struct agent_holder *other = &peers->holders[i];

        if (other->service_id == service_id && other->node_id == node_id) {
            other->last_received_us = now_us;
            return;
        }
        if (holder == NULL ||
            other->last_received_us < holder->last_received_us) {
            holder = other;
        }
    }
    if (peers->holder_count < AGENT_HOLDERS_MAX) {
        holder = &peers->holders[peers->holder_count++];
    }
    *holder = (struct agent_holder){.service_id = service_id,
                                    .node_id = node_id,
                                    .last_received_us = now_us};
}

/// Records former members of a service as holders: they are likely to still
/// hold flows of it, and their own report arrives later.
static void
record_departed_members(struct agent_peers *peers,
                        const struct SlRouting *before,
                        const struct SlRouteService *service, uint64_t now_us)
{
    const struct SlRouteService *old =
        SlRouting_FindServiceById(before, service->service_id);

    for (uint32_t i = 0; old != NULL && i < old->member_count; i++) {
        uint64_t node_id = old->members[i]->node_id;

        if (SlRouteService_MemberIndex(service, node_id) == SL_NO_MEMBER) {
            record_holder(peers, service->service_id, node_id, now_us);
        }
    }
}

void
agent_peers_update_members(struct SlAgent *agent,
                           const struct SlRouting *before,
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
        record_departed_members(peers, before, SlRouting_ServiceAt(routing, i),
                                now_us);
    }
    pthread_mutex_unlock(&peers->lock);
    free(items);
}

/// Returns true when the datagram reports that its sender holds flows of a
/// service that this agent serves and the sender no longer does.
static bool
reports_held_flows(const struct agent_call *call,
                   const struct SlTunnel *tunnel)
{
    const struct SlRouteService *service;

    if (tunnel->kind != SL_TUNNEL_LOAD) {
        return false;
    }
    service = SlRouting_FindServiceById(call->routing, tunnel->service_id);
    return agent_serves_service(call, service) &&
           SlRouteService_MemberIndex(service, tunnel->sender) == SL_NO_MEMBER;
}

void
agent_peers_record_load(const struct agent_call *call,
                        const struct SlTunnel *tunnel)
{
    struct agent_peers *peers = &call->agent->peers;
    bool holds_flows = reports_held_flows(call, tunnel);
    struct agent_peer *peer;

    if (tunnel->load_capacity == 0 && !holds_flows) {
        return;
    }
    pthread_mutex_lock(&peers->lock);
    peer = find_peer(peers, tunnel->sender);
    if (peer != NULL && tunnel->load_capacity != 0) {
        peer->flows = tunnel->load_flows;
        peer->capacity = tunnel->load_capacity;
        peer->free_flows = tunnel->load_free_capacity;
        peer->last_received_us = call->now_us;
    }
    if (holds_flows) {
        record_holder(peers, tunnel->service_id, tunnel->sender, call->now_us);
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
    if (peer != NULL && peer->last_received_us != 0) {
        silent_us = agent_elapsed_us(call->now_us, peer->last_received_us);
    }
    pthread_mutex_unlock(&peers->lock);
    return silent_us;
}

uint32_t
agent_peers_list_holders(const struct agent_call *call, uint64_t service_id,
                         uint64_t *nodes, uint32_t max_nodes)
{
    struct agent_peers *peers = &call->agent->peers;
    uint32_t count = 0;

    pthread_mutex_lock(&peers->lock);
    for (uint32_t i = 0; i < peers->holder_count && count < max_nodes; i++) {
        const struct agent_holder *holder = &peers->holders[i];

        if (holder->service_id == service_id &&
            agent_elapsed_us(call->now_us, holder->last_received_us) <
                AGENT_PEER_RESTART_US) {
            nodes[count++] = holder->node_id;
        }
    }
    pthread_mutex_unlock(&peers->lock);
    return count;
}

/// Suitability of a peer for a new flow, in ascending order.
enum rank {
    RANK_NONE,
    /// The peer reported no free capacity, but the report may be outdated.
    RANK_FULL,
    RANK_UNKNOWN,
    RANK_HAS_CAPACITY,
};

struct candidate {
    enum rank rank;
    uint64_t flows;
    uint64_t capacity;
    struct agent_peer *peer;
    uint64_t node_id;
};

static struct candidate
rank_peer(struct agent_peers *peers, const struct SlRouteNode *node,
          uint64_t now_us)
{
    struct candidate candidate = {.rank = RANK_NONE, .node_id = node->node_id};
    bool has_load;

    if (node->zone_out || node->draining) {
        return candidate;
    }
    candidate.peer = find_peer(peers, node->node_id);
    has_load = candidate.peer != NULL && candidate.peer->last_received_us != 0;
    if (!has_load) {
        candidate.rank = node->unreachable ? RANK_NONE : RANK_UNKNOWN;
        candidate.capacity = 1;
        return candidate;
    }
    if (agent_elapsed_us(now_us, candidate.peer->last_received_us) >=
        AGENT_PEER_SILENT_US) {
        return candidate;
    }
    candidate.rank =
        candidate.peer->free_flows > 0 ? RANK_HAS_CAPACITY : RANK_FULL;
    candidate.flows = candidate.peer->flows;
    candidate.capacity = candidate.peer->capacity;
    return candidate;
}

static bool
is_better_candidate(const struct candidate *a, const struct candidate *b)
{
    if (a->rank != b->rank) {
        return a->rank > b->rank;
    }
    return a->rank != RANK_NONE &&
           a->flows * b->capacity < b->flows * a->capacity;
}

/// Returns true when the other agent's relative load is lower than that of
/// this agent's upstream by more than the balance margin.
static bool
is_clearly_less_loaded(const struct SlAgent *agent,
                       const struct candidate *other)
{
    uint64_t local_flows = agent->admission.open_flows;
    uint64_t capacity = agent->admission.capacity_flows;

    return local_flows * other->capacity * 100 >
           other->flows * capacity * (100 + BALANCE_MARGIN_PERCENT) +
               (uint64_t)BALANCE_MARGIN_FLOWS * 100 * other->capacity;
}

/// Finds the best member of the service, beginning at the bucket's home.
/// visited: considers only agents that the packet has visited; otherwise only
/// the others.
static struct candidate
find_best_member(const struct agent_call *call, const struct agent_packet *p,
                 bool visited)
{
    const struct SlRouteService *service = p->service;
    uint32_t bucket = SlRouting_BucketOf(service->service_id, &p->key);
    uint32_t first = service->buckets[bucket].choices[0];
    struct candidate best = {.rank = RANK_NONE};

    first = first == SL_NO_MEMBER ? 0 : first;
    for (uint32_t i = 0; i < service->member_count; i++) {
        const struct SlRouteNode *node =
            service->members[(first + i) % service->member_count];
        struct candidate candidate;

        if (node->node_id == call->agent->node_id ||
            agent_has_packet_visited(p->tunnel, node->node_id) != visited) {
            continue;
        }
        candidate = rank_peer(&call->agent->peers, node, call->now_us);
        if (is_better_candidate(&candidate, &best)) {
            best = candidate;
        }
    }
    return best;
}

/// Adds a passed flow to the peer's load until its next report. Every other
/// agent of the service may pass a flow to the same peer meanwhile, so one
/// flow is added for each of them.
static void
count_passed_flow(const struct agent_packet *p, struct candidate *candidate)
{
    uint32_t senders = p->service->member_count;

    if (candidate->peer == NULL) {
        return;
    }
    candidate->peer->flows += senders > 2 ? senders - 1 : 1;
    candidate->peer->free_flows -= candidate->peer->free_flows > 0 ? 1 : 0;
}

/// Returns true, and counts the attempt, while the window allows another flow
/// to be passed to an agent that reported no free capacity.
static bool
may_try_full_peer(struct agent_peers *peers, uint64_t now_us)
{
    if (agent_elapsed_us(now_us, peers->full_attempts_us) >=
        FULL_ATTEMPTS_WINDOW_US) {
        peers->full_attempts_us = now_us;
        peers->full_attempts = 0;
    }
    return peers->full_attempts++ < FULL_ATTEMPTS_MAX;
}

uint64_t
agent_peers_choose_peer(const struct agent_call *call,
                        const struct agent_packet *p, bool balance)
{
    struct agent_peers *peers = &call->agent->peers;
    struct candidate best;

    if (p->tunnel->passed_on_count == SL_TUNNEL_PASSED_ON_MAX) {
        return 0;
    }
    pthread_mutex_lock(&peers->lock);
    best = find_best_member(call, p, false);
    if (balance && (best.rank != RANK_HAS_CAPACITY ||
                    !is_clearly_less_loaded(call->agent, &best))) {
        best = (struct candidate){.rank = RANK_NONE};
    }
    if (!balance && best.rank != RANK_HAS_CAPACITY &&
        agent_serves_service(call, p->service)) {
        struct candidate visited_best = find_best_member(call, p, true);

        best = visited_best.rank == RANK_HAS_CAPACITY ? visited_best : best;
    }
    if (best.rank == RANK_FULL && !may_try_full_peer(peers, call->now_us)) {
        best = (struct candidate){.rank = RANK_NONE};
    }
    if (best.rank != RANK_NONE) {
        count_passed_flow(p, &best);
    }
    pthread_mutex_unlock(&peers->lock);
    return best.rank == RANK_NONE ? 0 : best.node_id;
}

/// Reports load to the members of services that this agent no longer serves
/// but whose flows it still holds.
static void
report_to_members(const struct agent_call *call)
{
    struct agent_admission *admission = &call->agent->admission;
    struct agent_service_flows service_flows[AGENT_SERVICES_MAX];
    uint32_t count;

    pthread_mutex_lock(&admission->lock);
    count = admission->service_count;
    memcpy(service_flows, admission->service_flows,
           count * sizeof(*service_flows));
    pthread_mutex_unlock(&admission->lock);
    for (uint32_t i = 0; i < count; i++) {
        const struct SlRouteService *service = SlRouting_FindServiceById(
            call->routing, service_flows[i].service_id);

        if (service == NULL || agent_serves_service(call, service)) {
            continue;
        }
        for (uint32_t m = 0; m < service->member_count; m++) {
            struct SlTunnel load = {.kind = SL_TUNNEL_LOAD,
                                    .service_id = service->service_id};

            agent_send_datagram(call, service->members[m]->node_id, &load);
        }
    }
}

/// Returns true when the last reported load differs too much from the present
/// one, or is too old.
static bool
is_load_report_due(const struct agent_call *call)
{
    struct agent_peers *peers = &call->agent->peers;
    struct SlTunnel load = {.kind = SL_TUNNEL_LOAD};
    uint32_t load_change;

    agent_admission_fill_load(call->agent, &load);
    load_change = load.load_flows > peers->reported_flows
                      ? load.load_flows - peers->reported_flows
                      : peers->reported_flows - load.load_flows;
    if (load_change <= load.load_capacity / LOAD_REPORT_STEPS &&
        (load.load_free_capacity == 0) == (peers->reported_free_flows == 0) &&
        call->now_us - peers->reported_us < AGENT_LOAD_REPORT_MAX_US) {
        return false;
    }
    peers->reported_flows = load.load_flows;
    peers->reported_free_flows = load.load_free_capacity;
    peers->reported_us = call->now_us;
    return true;
}

void
agent_peers_tick(const struct agent_call *call)
{
    struct agent_peers *peers = &call->agent->peers;

    if (call->routing == NULL ||
        call->now_us - peers->load_checked_us < AGENT_LOAD_REPORT_US) {
        return;
    }
    peers->load_checked_us = call->now_us;
    if (!is_load_report_due(call)) {
        return;
    }
    for (uint32_t i = 0; i < peers->count; i++) {
        struct SlTunnel load = {.kind = SL_TUNNEL_LOAD,
                                .service_id = peers->items[i].service_id};

        agent_send_datagram(call, peers->items[i].node_id, &load);
    }
    report_to_members(call);
}
