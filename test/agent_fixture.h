#ifndef SAVORYLEDGE_TEST_AGENT_FIXTURE_H
#define SAVORYLEDGE_TEST_AGENT_FIXTURE_H

/// Fixture with the agents of a site and stubs around them: entries that
/// forward by any routing table, upstreams with slots, and callers with one
/// address that differ by port.

#include "agent_stubs.h"

/* Simulation of time. */

static inline void
fx_dispatch(struct fixture *fx, struct fx_message *message)
{
    struct fx_agent *agent = &fx->agents[message->agent];
    struct SlInput input = {.now_us = fx->now_us};

    switch (message->kind) {
    case FX_TUNNEL:
        input.kind = SL_INPUT_TUNNEL;
        input.tunnel = &message->tunnel;
        fx_handle(agent, &input);
        break;
    case FX_FROM_UPSTREAM:
        input.kind = SL_INPUT_UPSTREAM_PACKET;
        input.packet.bytes = message->bytes;
        input.packet.length_bytes = message->length_bytes;
        fx_handle(agent, &input);
        break;
    case FX_TO_UPSTREAM:
        fx_upstream_receive(agent, message);
        break;
    case FX_ANSWER:
        fx_upstream_answer(agent, message);
        break;
    case FX_TO_CALLER:
        fx_caller_receive(fx, message);
        break;
    }
    free(message->bytes);
    free(message);
}

static inline void
fx_run_for(struct fixture *fx, uint64_t for_us)
{
    uint64_t end_us = fx->now_us + for_us;
    struct SlInput tick = {.kind = SL_INPUT_TICK};

    for (;;) {
        bool message = fx->queued > 0 && fx->queue[0]->due_us <= fx->tick_us;
        uint64_t next_us = message ? fx->queue[0]->due_us : fx->tick_us;

        if (next_us > end_us) {
            break;
        }
        fx->now_us = next_us;
        if (message) {
            fx_dispatch(fx, fx_pop_message(fx));
            continue;
        }
        tick.now_us = fx->now_us;
        for (uint32_t i = 0; i < fx->agent_count; i++) {
            fx_handle(&fx->agents[i], &tick);
        }
        fx->tick_us += SL_TICK_US;
    }
    fx->now_us = end_us;
}

static inline void
fx_start_agent(struct fixture *fx, struct fx_agent *agent)
{
    agent->agent = SlAgent_Create(&agent->options, fx->now_us);
    CU_ASSERT_PTR_NOT_NULL_FATAL(agent->agent);
    SlAgent_SetRouting(agent->agent, &agent->sink, fx->now_us,
                       fx->site.routing);
}

/// Restarts the agent's process with an empty flow table.
static inline void
fx_restart_agent(struct fixture *fx, struct fx_agent *agent)
{
    SlAgent_Destroy(agent->agent);
    agent->options.core.boot++;
    fx_start_agent(fx, agent);
}

/// Builds the next routing table, keeps the previous one in fx->old, and sets
/// the new one at every agent but skipped_agent.
static inline void
fx_publish_routing(struct fixture *fx, const struct fx_agent *skipped_agent)
{
    SlRouting_Unref(fx->old);
    fx->old = SlRouting_Ref(fx->site.routing);
    /* site_build_routing advances the time by one second. */
    fx->site.now_us = fx->now_us - FX_SECOND_US;
    site_build_routing(&fx->site);
    for (uint32_t i = 0; i < fx->agent_count; i++) {
        if (&fx->agents[i] != skipped_agent) {
            SlAgent_SetRouting(fx->agents[i].agent, &fx->agents[i].sink,
                               fx->now_us, fx->site.routing);
        }
    }
}

static inline void
fx_add_agent(struct fixture *fx, const char *service, uint32_t index,
             uint32_t slots)
{
    struct fx_agent *agent = &fx->agents[fx->agent_count++];

    *agent = (struct fx_agent){
        .sink = {.type = &FX_SINK}, .fx = fx, .service_us = 2000};
    snprintf(agent->name, sizeof(agent->name), "%s-%u", service, index);
    agent->node_id = SlNode_Id(agent->name);
    agent->connections = calloc(FX_PORTS, sizeof(struct fx_connection));
    agent->options = (struct SlAgentOptions){
        .core = {.roles = SL_ROLE_AGENT, .boot = 1, .hash_seed = 7 + index},
        .slots = slots,
        .capacity_flows = 2000};
    memcpy(agent->options.core.name, agent->name, SL_NAME_BYTES);
    snprintf(agent->options.core.zone, SL_NAME_BYTES, "%c",
             "abcd"[(fx->agent_count - 1) % 4]);
    fx_start_agent(fx, agent);
}

/// Creates all agents of the site, and the entries. Callers use the named
/// service.
static inline void
fx_open(struct fixture *fx, const char *service)
{
    char name[SL_NAME_BYTES];
    const struct SlRouteService *route;

    *fx = (struct fixture){.now_us = 1000000, .tick_us = 1000000};
    rcu_register_thread();
    site_create(&fx->site);
    for (uint32_t i = 0; i < FX_ENTRIES; i++) {
        struct SlChange change;

        snprintf(name, sizeof(name), "entry-%u", i);
        change = site_make_announcement(name, "a", "entry", 0);
        change.object.node.roles = SL_ROLE_ENTRY;
        site_apply_change(&fx->site, &change);
        fx->entries[i] = SlNode_Id(name);
    }
    site_build_routing(&fx->site);
    fx->callers = calloc(FX_PORTS, sizeof(struct fx_caller));
    SlAddress_Parse("192.0.2.10", &fx->caller);
    for (uint32_t i = 0; i < FX_AGENTS; i++) {
        fx_add_agent(fx, i < 7 ? "workroom" : "catalogue", i < 7 ? i : i - 7,
                     3);
    }
    route = site_find_service(&fx->site, service);
    fx->service = route->address;
    fx->protocol = route->protocol;
    if (!SlAddress_IsIpv4(&fx->service)) {
        SlAddress_Parse("[2001:db8::10]", &fx->caller);
    }
}

static inline void
fx_close(struct fixture *fx)
{
    while (fx->queued > 0) {
        struct fx_message *message = fx_pop_message(fx);

        free(message->bytes);
        free(message);
    }
    for (uint32_t i = 0; i < fx->agent_count; i++) {
        SlAgent_Destroy(fx->agents[i].agent);
        free(fx->agents[i].connections);
    }
    SlRouting_Unref(fx->old);
    free(fx->queue);
    free(fx->callers);
    site_destroy(&fx->site);
    rcu_unregister_thread();
}

/// Sum of one counter over all agents. member: the field of SlAgentCounters.
#define FX_TOTAL(fx, member)                                                  \
    fx_total(fx, offsetof(struct SlAgentCounters, member))

static inline uint64_t
fx_total(const struct fixture *fx, size_t offset)
{
    uint64_t total = 0;

    for (uint32_t i = 0; i < fx->agent_count; i++) {
        struct SlAgentCounters counters;

        SlAgent_Counters(fx->agents[i].agent, &counters);
        total += *(const uint64_t *)((const char *)&counters + offset);
    }
    return total;
}

/// Returns the number of upstreams that received payload of the port's flow;
/// first: set to the lowest index of them.
static inline uint32_t
fx_count_receivers(const struct fixture *fx, uint16_t port, uint32_t *first)
{
    uint32_t count = 0;

    for (uint32_t i = fx->agent_count; i > 0; i--) {
        if (fx->agents[i - 1].connections[port].payloads != 0) {
            count++;
            *first = i - 1;
        }
    }
    return count;
}

/// Returns the agent whose upstream has an open connection of the port; NULL
/// if there is none.
static inline struct fx_agent *
fx_find_holder(struct fixture *fx, uint16_t port)
{
    for (uint32_t i = 0; i < fx->agent_count; i++) {
        if (fx->agents[i].connections[port].open) {
            return &fx->agents[i];
        }
    }
    return NULL;
}

/// Opens flows from port first on, per_s per second. Each caller sends one
/// request.
static inline void
fx_open_flows(struct fixture *fx, uint16_t first, uint32_t count,
              uint32_t per_s)
{
    for (uint32_t i = 0; i < count; i++) {
        fx->callers[first + i].sends_request = true;
        fx_send_syn(fx, i % FX_ENTRIES, (uint16_t)(first + i));
        fx_run_for(fx, 1000000 / per_s);
    }
    fx_run_for(fx, 500000);
}

/// Raises the agents' limits by opening and closing flows.
static inline void
fx_raise_limits(struct fixture *fx, uint16_t first)
{
    for (uint32_t i = 0; i < 4000; i++) {
        uint16_t port = (uint16_t)(first + i);

        fx->callers[port].sends_request = true;
        fx_send_syn(fx, i % FX_ENTRIES, port);
        fx_run_for(fx, 5000);
        if (i >= 20) {
            fx_send_tcp(fx, 0, (uint16_t)(port - 20), SL_TCP_FIN | SL_TCP_ACK,
                        0);
        }
    }
    fx_run_for(fx, 500000);
}

#endif
