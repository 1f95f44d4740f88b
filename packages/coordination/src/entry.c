#include "savoryledge/coordination/entry.h"

#include <stdlib.h>
#include <string.h>

#include "entry_internal.h"
#include "rcu_guard.h"

enum {
    DEFAULT_CACHE_FLOWS = 1 << 20,
    DEFAULT_TUNNEL_MTU_BYTES = 1400,
    FAILURES_PER_SECOND = 50,
    SECOND_US = 1000 * 1000,
    /// Low bits of a sink's address that are ignored when it selects a counter
    /// shard.
    SINK_SHIFT_BITS = 4,
};

struct SlEntry *
SlEntry_Create(const struct SlEntryOptions *options)
{
    static const struct SlReassemblyOptions REASSEMBLY = {
        .max_datagrams = ENTRY_DATAGRAMS_MAX};
    struct SlEntry *entry = aligned_alloc(64, sizeof(*entry));

    if (entry == NULL) {
        return NULL;
    }
    memset(entry, 0, sizeof(*entry));
    entry->options = *options;
    if (entry->options.cache_flows == 0) {
        entry->options.cache_flows = DEFAULT_CACHE_FLOWS;
    }
    if (entry->options.tunnel_mtu_bytes == 0) {
        entry->options.tunnel_mtu_bytes = DEFAULT_TUNNEL_MTU_BYTES;
    }
    entry->node_id = SlNode_Id(options->core.name);
    pthread_mutex_init(&entry->reassembly_lock, NULL);
    entry->cache = flow_cache_create(entry->options.cache_flows);
    entry->reassembly = SlReassembly_Create(&REASSEMBLY);
    if (entry->cache == NULL || entry->reassembly == NULL) {
        SlEntry_Destroy(entry);
        return NULL;
    }
    return entry;
}

static void
destroy_view(struct entry_view *view)
{
    if (view == NULL) {
        return;
    }
    SlRouting_Unref(view->routing);
    free(view->health_table);
    free(view->reassemblers);
    free(view);
}

void
SlEntry_Destroy(struct SlEntry *entry)
{
    if (entry == NULL) {
        return;
    }
    destroy_view(atomic_load(&entry->view));
    SlReassembly_Destroy(entry->reassembly);
    flow_cache_destroy(entry->cache);
    pthread_mutex_destroy(&entry->reassembly_lock);
    free(entry);
}

void
entry_log_event(const struct entry_call *call, struct SlEvent event)
{
    event.now_us = call->now_us;
    if (call->view != NULL) {
        event.version = SlRouting_Version(call->view->routing);
    }
    call->sink->type->log_event(call->sink, &event);
}

void
entry_report_failure(const struct entry_call *call, struct SlEvent event)
{
    struct SlEntry *entry = call->entry;
    uint64_t now_s = call->now_us / SECOND_US;

    if (atomic_exchange(&entry->failure_window_s, now_s) != now_s) {
        atomic_store(&entry->window_failures, 0);
    }
    if (atomic_fetch_add(&entry->window_failures, 1) < FAILURES_PER_SECOND) {
        entry_log_event(call, event);
    }
}

void
SlEntry_SetCutOff(struct SlEntry *entry, bool cut_off)
{
    atomic_store(&entry->cut_off, cut_off);
}

struct SlTunnel
entry_make_tunnel(const struct entry_call *call, enum SlTunnelKind kind)
{
    uint32_t flags =
        atomic_load_explicit(&call->entry->cut_off, memory_order_relaxed)
            ? SL_TUNNEL_CUT_OFF
            : 0;

    return (struct SlTunnel){.kind = kind,
                             .sender = call->entry->node_id,
                             .flags = flags,
                             .version =
                                 SlRouting_Version(call->view->routing)};
}

static struct entry_call
make_call(struct SlEntry *entry, struct SlSink *sink, uint64_t now_us,
          struct entry_view *view)
{
    /* Each thread has its own sink, so the address of the sink identifies the
       thread. */
    uintptr_t shard = (uintptr_t)sink >> SINK_SHIFT_BITS;

    return (struct entry_call){
        .entry = entry,
        .sink = sink,
        .view = view,
        .now_us = now_us,
        .counters = &entry->counters[shard % ENTRY_COUNTER_SHARDS]};
}

static bool
may_reassemble(const struct SlRouteNode *node)
{
    return (node->roles & SL_ROLE_ENTRY) && !node->unreachable &&
           !node->draining && !node->zone_out;
}

static enum SlStatus
list_reassemblers(struct entry_view *view)
{
    uint32_t count = SlRouting_NodeCount(view->routing);

    view->reassemblers = calloc(count + 1, sizeof(const struct SlRouteNode *));
    if (view->reassemblers == NULL) {
        return SL_NO_MEMORY;
    }
    for (uint32_t i = 0; i < count; i++) {
        const struct SlRouteNode *node = SlRouting_NodeAt(view->routing, i);

        if (may_reassemble(node)) {
            view->reassemblers[view->reassembler_count++] = node;
        }
    }
    return SL_OK;
}

static struct entry_view *
create_view(struct SlRouting *routing, const struct entry_view *previous)
{
    struct entry_view *view = calloc(1, sizeof(*view));

    if (view == NULL) {
        return NULL;
    }
    view->routing = SlRouting_Ref(routing);
    view->health_table = agent_health_table_create(
        routing, previous ? previous->health_table : NULL);
    if (view->health_table == NULL || list_reassemblers(view) != SL_OK) {
        destroy_view(view);
        return NULL;
    }
    return view;
}

void
SlEntry_SetRouting(struct SlEntry *entry, struct SlSink *sink, uint64_t now_us,
                   struct SlRouting *routing)
{
    struct entry_view *old = atomic_load(&entry->view);
    struct entry_view *view = create_view(routing, old);
    struct entry_call call = make_call(entry, sink, now_us, view);

    if (view == NULL) {
        call.view = old;
        entry_log_event(
            &call, (struct SlEvent){.number = SL_EVENT_FAILED,
                                    .reason = SlStatus_Name(SL_NO_MEMORY)});
        return;
    }
    atomic_store(&entry->view, view);
    entry_log_event(
        &call, (struct SlEvent){.number = SL_EVENT_ROUTING_CHANGED,
                                .value = SlRouting_MovedBucketCount(routing),
                                .limit = SlRouting_ServiceCount(routing)});
    if (old != NULL) {
        rcu_guard_wait(&entry->rcu_sync);
        destroy_view(old);
    }
}

static void
handle_caller_packet(const struct entry_call *call, const uint8_t *bytes,
                     uint32_t length_bytes)
{
    struct SlPacket packet;
    enum SlStatus status = SlPacket_Parse(bytes, length_bytes, &packet);

    entry_increment_counter(call, COUNT_PACKETS);
    if (status != SL_OK) {
        entry_increment_counter(call, COUNT_MALFORMED);
        entry_report_failure(
            call, (struct SlEvent){.number = SL_EVENT_ROUTE_FAILED,
                                   .reason = SlStatus_Name(status)});
        return;
    }
    if (call->view == NULL) {
        entry_increment_counter(call, COUNT_NO_SERVICE);
        entry_report_failure(call,
                             (struct SlEvent){.number = SL_EVENT_ROUTE_FAILED,
                                              .reason = "no_configuration"});
        return;
    }
    if (packet.kind == SL_PACKET_FRAGMENT) {
        entry_handle_fragment(call, &packet, false);
        return;
    }
    entry_route_packet(call, &packet, false);
}

static void
record_agent_answer(const struct entry_call *call, uint64_t node_id)
{
    struct agent_health *health =
        agent_health_table_find(call->view->health_table, node_id);
    const struct SlRouteNode *node;

    if (health != NULL && agent_health_record_answer(health)) {
        node = SlRouting_FindNode(call->view->routing, node_id);
        entry_log_event(call,
                        (struct SlEvent){.number = SL_EVENT_UPSTREAM_CLEARED,
                                         .node = node ? node->name : NULL,
                                         .reason = "heard"});
    }
}

/// Records that the home of the flow's bucket has answered, unless the home is
/// suspect. An agent other than the home sends a hint because the home passed
/// the flow on to it, so the hint also shows that the home works.
static void
record_bucket_home_answer(const struct entry_call *call,
                          const struct SlTunnel *tunnel)
{
    const struct SlRouteService *service =
        SlRouting_FindServiceById(call->view->routing, tunnel->service_id);
    struct agent_health *health;
    uint16_t home;

    if (service == NULL) {
        return;
    }
    home =
        service->buckets[SlRouting_BucketOf(tunnel->service_id, &tunnel->flow)]
            .choices[0];
    if (home == SL_NO_MEMBER) {
        return;
    }
    health = agent_health_table_find(call->view->health_table,
                                     service->members[home]->node_id);
    if (health != NULL && atomic_load(&health->suspect_us) == 0) {
        agent_health_record_answer(health);
    }
}

static void
handle_hint(const struct entry_call *call, const struct SlTunnel *tunnel)
{
    struct SlEntry *entry = call->entry;
    uint64_t hash = entry_cache_hash(entry, tunnel->service_id, &tunnel->flow);

    record_bucket_home_answer(call, tunnel);
    if (tunnel->holder != 0) {
        flow_cache_put_holder(entry->cache, hash, call->now_us,
                              tunnel->holder);
        return;
    }
    if (flow_cache_remove_holder(entry->cache, hash, tunnel->sender)) {
        entry_log_event(call,
                        (struct SlEvent){.number = SL_EVENT_CACHE_DROPPED,
                                         .flow = &tunnel->flow,
                                         .reason = "ended"});
    }
}

static void
handle_return(const struct entry_call *call, const struct SlTunnel *tunnel)
{
    uint8_t copy[SL_PACKET_MTU_BYTES];
    const uint8_t *bytes = entry_clamp_mss(call->entry, tunnel->packet,
                                           tunnel->packet_bytes, copy);

    entry_increment_counter(call, COUNT_RETURNED);
    call->sink->type->send_to_caller(call->sink, bytes, tunnel->packet_bytes);
}

static void
handle_ping(const struct entry_call *call, const struct SlTunnel *tunnel)
{
    const struct SlRouteNode *node =
        SlRouting_FindNode(call->view->routing, tunnel->sender);
    struct SlTunnel answer = entry_make_tunnel(call, SL_TUNNEL_PONG);

    if (node == NULL) {
        return;
    }
    answer.ping_us = tunnel->ping_us;
    call->sink->type->send_tunnel(call->sink, node->node_id, &node->tunnel,
                                  &answer);
}

static void
handle_tunnel(const struct entry_call *call, const struct SlTunnel *tunnel)
{
    struct SlPacket packet;

    if (tunnel->kind == SL_TUNNEL_RETURN) {
        handle_return(call, tunnel);
    }
    if (call->view == NULL) {
        return;
    }
    record_agent_answer(call, tunnel->sender);
    switch (tunnel->kind) {
    case SL_TUNNEL_HINT:
        handle_hint(call, tunnel);
        break;
    case SL_TUNNEL_PING:
        handle_ping(call, tunnel);
        break;
    case SL_TUNNEL_FRAGMENT:
        if (SlPacket_Parse(tunnel->packet, tunnel->packet_bytes, &packet) ==
                SL_OK &&
            packet.kind == SL_PACKET_FRAGMENT) {
            entry_handle_fragment(call, &packet, true);
        }
        break;
    default:
        break;
    }
}

void
SlEntry_HandleInput(struct SlEntry *entry, struct SlSink *sink,
                    const struct SlInput *input)
{
    struct entry_call call;

    rcu_guard_enter();
    call = make_call(entry, sink, input->now_us, atomic_load(&entry->view));
    switch (input->kind) {
    case SL_INPUT_CALLER_PACKET:
        handle_caller_packet(&call, input->packet.bytes,
                             input->packet.length_bytes);
        break;
    case SL_INPUT_TUNNEL:
        handle_tunnel(&call, input->tunnel);
        break;
    case SL_INPUT_TICK:
        entry_expire_fragments(&call);
        break;
    default:
        break;
    }
    rcu_guard_leave(&entry->rcu_sync);
}

static uint64_t
sum_counter(const struct SlEntry *entry, enum entry_counter counter)
{
    uint64_t total = 0;

    for (uint32_t i = 0; i < ENTRY_COUNTER_SHARDS; i++) {
        total += atomic_load_explicit(&entry->counters[i].values[counter],
                                      memory_order_relaxed);
    }
    return total;
}

void
SlEntry_Counters(const struct SlEntry *entry, struct SlEntryCounters *counters)
{
    *counters = (struct SlEntryCounters){
        .packets = sum_counter(entry, COUNT_PACKETS),
        .packets_forwarded = sum_counter(entry, COUNT_FORWARDED) +
                             sum_counter(entry, COUNT_CACHE_HITS),
        .packets_returned = sum_counter(entry, COUNT_RETURNED),
        .cache_hits = sum_counter(entry, COUNT_CACHE_HITS),
        .no_service = sum_counter(entry, COUNT_NO_SERVICE),
        .no_upstream = sum_counter(entry, COUNT_NO_UPSTREAM),
        .packets_malformed = sum_counter(entry, COUNT_MALFORMED),
        .packets_too_big = sum_counter(entry, COUNT_TOO_BIG),
        .first_choices_skipped = sum_counter(entry, COUNT_SKIPPED),
        .fragments = sum_counter(entry, COUNT_FRAGMENTS),
        .cache_bytes = flow_cache_bytes(entry->cache)};
}
