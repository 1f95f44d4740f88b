/* Planned changes and faults: established flows survive unless their zone is
   out of service or their upstream is lost, and new flows go to upstreams with
   capacity.

    */

#include "agent_fixture.h"

enum {
    FIRST_PORT = 3000,
    FLOWS = 2000,
};

struct flow_results {
    uint32_t answered;
    uint32_t reset;
    uint32_t silent;
};

/// Sends one more request on every flow that is open at its caller.
static struct flow_results
request_on_all_flows(struct fixture *fx, uint32_t count)
{
    struct flow_results results = {.answered = 0};
    uint32_t before[FLOWS];

    for (uint32_t i = 0; i < count; i++) {
        uint16_t port = (uint16_t)(FIRST_PORT + i);

        before[i] = fx->callers[port].answers;
        if (fx->callers[port].open) {
            fx_send_request(fx, fx_random(fx) % FX_ENTRIES, port);
            fx_run_for(fx, 500);
        }
    }
    fx_run_for(fx, 1000000);
    for (uint32_t i = 0; i < count; i++) {
        const struct fx_caller *caller = &fx->callers[FIRST_PORT + i];

        results.answered += caller->answers == before[i] + 1;
        results.reset += caller->reset;
        results.silent += caller->open && caller->answers == before[i];
    }
    return results;
}

/* 200 changes of the agents that accept new flows, with packets that are also
   routed by the previous table: no flow breaks. */
static void
test_flows_survive_changes(void)
{
    static const char *const NAMES[] = {"workroom-1", "workroom-2",
                                        "workroom-4", "workroom-6"};
    struct fixture fx;
    struct flow_results results;
    char name[SL_NAME_BYTES];

    fx_open(&fx, "workroom");
    fx.random = 11;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    for (uint32_t i = 0; i < 200; i++) {
        snprintf(name, sizeof(name), "%s", NAMES[i % 4]);
        site_change_hold(&fx.site, i % 8 < 4 ? SL_VERB_HOLD : SL_VERB_RELEASE,
                         SL_KIND_NODE, name);
        fx_publish_routing(&fx, &fx.agents[fx_random(&fx) % 7]);
        for (uint32_t k = 0; k < 20; k++) {
            uint16_t port = (uint16_t)(FIRST_PORT + fx_random(&fx) % FLOWS);
            struct SlRouting *current = fx.site.routing;

            fx.site.routing = k % 2 ? fx.old : current;
            fx_send_request(&fx, k % FX_ENTRIES, port);
            fx.site.routing = current;
            fx_run_for(&fx, 20000);
        }
    }
    results = request_on_all_flows(&fx, FLOWS);
    printf("200 changes, %u flows: %u answered, %u reset\n", FLOWS,
           results.answered, results.reset);
    CU_ASSERT_EQUAL(results.answered, FLOWS);
    CU_ASSERT_EQUAL(results.reset, 0);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, flows_reset), 0);
    fx_close(&fx);
}

/* An agent restarts while its upstream keeps the connections: the agent must
   adopt the flows. */
static void
test_restart_keeps_flows(void)
{
    struct fixture fx;
    struct flow_results results;

    fx_open(&fx, "workroom");
    fx.random = 12;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    fx_run_for(&fx, 90 * FX_SECOND_US);
    fx_restart_agent(&fx, fx_get_agent(&fx, "workroom-3"));
    results = request_on_all_flows(&fx, FLOWS);
    printf("restart, %u flows: %u answered, %u reset, %lu adopted\n", FLOWS,
           results.answered, results.reset,
           (unsigned long)FX_TOTAL(&fx, flows_adopted));
    CU_ASSERT_EQUAL(results.answered, FLOWS);
    CU_ASSERT_EQUAL(results.reset, 0);
    CU_ASSERT(FX_TOTAL(&fx, flows_adopted) > 0);
    fx_close(&fx);
}

/* Three agents, like the agents of one rack, restart at the same time. */
static void
test_rack_restart_keeps_flows(void)
{
    struct fixture fx;
    struct flow_results results;

    fx_open(&fx, "workroom");
    fx.random = 17;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    fx_run_for(&fx, 90 * FX_SECOND_US);
    fx_restart_agent(&fx, fx_get_agent(&fx, "workroom-1"));
    fx_restart_agent(&fx, fx_get_agent(&fx, "workroom-3"));
    fx_restart_agent(&fx, fx_get_agent(&fx, "workroom-6"));
    fx_run_for(&fx, 300 * FX_SECOND_US);
    results = request_on_all_flows(&fx, FLOWS);
    printf("rack restart, %u flows: %u answered, %u reset, %lu adopted\n",
           FLOWS, results.answered, results.reset,
           (unsigned long)FX_TOTAL(&fx, flows_adopted));
    CU_ASSERT_EQUAL(results.answered, FLOWS);
    CU_ASSERT_EQUAL(results.reset, 0);
    fx_close(&fx);
}

/* An agent and its upstream restart: the callers of the lost flows are reset
   at once, and no other flow is. */
static void
test_lost_upstream_resets_its_flows_only(void)
{
    struct fixture fx;
    struct fx_agent *restarted_agent;
    struct SlAgentCounters counters;
    struct flow_results results;
    uint64_t open;

    fx_open(&fx, "workroom");
    fx.random = 13;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    fx_run_for(&fx, 90 * FX_SECOND_US);
    restarted_agent = fx_get_agent(&fx, "workroom-3");
    SlAgent_Counters(restarted_agent->agent, &counters);
    open = counters.open_flows;
    memset(restarted_agent->connections, 0,
           FX_PORTS * sizeof(struct fx_connection));
    fx_restart_agent(&fx, restarted_agent);
    results = request_on_all_flows(&fx, FLOWS);
    CU_ASSERT_EQUAL(results.reset, open);
    CU_ASSERT_EQUAL(results.answered, FLOWS - open);
    CU_ASSERT_EQUAL(results.silent, 0);
    fx_close(&fx);
}

/* A zone is taken out of service: its flows are reset within the time limit,
   some on each tick, no further packet is delivered there, and the other flows
   survive. */
static void
test_zone_out_ends_its_flows(void)
{
    struct fixture fx;
    struct SlAgentCounters counters;
    struct flow_results results;
    uint64_t open;
    uint64_t after;
    uint32_t reset_after_half_second = 0;
    uint32_t reset_flows = 0;

    fx_open(&fx, "workroom");
    fx.random = 14;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    SlAgent_Counters(fx_get_agent(&fx, "workroom-3")->agent, &counters);
    open = counters.open_flows;
    site_change_hold(&fx.site, SL_VERB_HOLD, SL_KIND_ZONE, "d");
    fx_publish_routing(&fx, NULL);
    fx_run_for(&fx, 500000);
    for (uint32_t i = 0; i < FLOWS; i++) {
        reset_after_half_second += fx.callers[FIRST_PORT + i].reset;
    }
    fx_run_for(&fx, 1000000);
    for (uint32_t i = 0; i < FLOWS; i++) {
        reset_flows += fx.callers[FIRST_PORT + i].reset;
    }
    printf("zone out: %lu flows, %u reset after 0.5 s, %u after 1.5 s\n",
           (unsigned long)open, reset_after_half_second, reset_flows);
    CU_ASSERT(reset_after_half_second > open / 3);
    CU_ASSERT(reset_after_half_second < open * 2 / 3);
    CU_ASSERT_EQUAL(reset_flows, open);
    after = fx_get_agent(&fx, "workroom-3")->delivered;
    results = request_on_all_flows(&fx, FLOWS);
    CU_ASSERT_EQUAL(results.answered, FLOWS - open);
    CU_ASSERT_EQUAL(fx_get_agent(&fx, "workroom-3")->delivered, after);
    fx_close(&fx);
}

/* The agents and upstreams of a zone die without notice. Once the time in
   which they might return has passed, callers that send a request are reset at
   once, and no other flow is. */
static void
test_zone_dies_unannounced(void)
{
    struct fixture fx;
    struct flow_results results;
    uint32_t lost = 0;

    fx_open(&fx, "workroom");
    fx.random = 18;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    fx_get_agent(&fx, "workroom-2")->down = true;
    fx_get_agent(&fx, "workroom-6")->down = true;
    for (uint16_t port = FIRST_PORT; port < FIRST_PORT + FLOWS; port++) {
        struct fx_agent *holder = fx_find_holder(&fx, port);

        lost += holder != NULL && holder->down;
    }
    fx_run_for(&fx, 6 * FX_SECOND_US);
    site_change_hold(&fx.site, SL_VERB_HOLD, SL_KIND_NODE, "workroom-2");
    site_change_hold(&fx.site, SL_VERB_HOLD, SL_KIND_NODE, "workroom-6");
    fx_publish_routing(&fx, NULL);
    results = request_on_all_flows(&fx, FLOWS);
    printf("zone died: %u flows lost, %u reset, %u answered\n", lost,
           results.reset, results.answered);
    CU_ASSERT(lost > FLOWS / 5);
    CU_ASSERT_EQUAL(results.reset, lost);
    CU_ASSERT_EQUAL(results.answered, FLOWS - lost);
    fx_close(&fx);
}

/* New flows that an entry routes by a table in which the zone is still in
   service are served by agents of other zones. */
static void
test_new_flows_by_old_table_avoid_zone(void)
{
    struct fixture fx;
    struct SlRouting *current;
    uint64_t delivered;
    uint32_t answered = 0;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, FIRST_PORT, 400, 400);
    site_change_hold(&fx.site, SL_VERB_HOLD, SL_KIND_ZONE, "d");
    fx_publish_routing(&fx, NULL);
    fx_run_for(&fx, 1500000);
    delivered = fx_get_agent(&fx, "workroom-3")->delivered;
    current = fx.site.routing;
    fx.site.routing = fx.old;
    fx_open_flows(&fx, 20000, 500, 400);
    fx.site.routing = current;
    for (uint16_t port = 20000; port < 20500; port++) {
        answered += fx.callers[port].answers == 1;
    }
    CU_ASSERT_EQUAL(answered, 500);
    CU_ASSERT_EQUAL(fx_get_agent(&fx, "workroom-3")->delivered, delivered);
    fx_close(&fx);
}

/* A stopping agent accepts no new flows and keeps its flows until they end. */
static void
test_stopping_agent_gets_no_new_flows(void)
{
    struct fixture fx;
    struct fx_agent *leaving;
    struct SlAgentCounters before;
    struct SlAgentCounters after;
    struct SlInput stop = {.kind = SL_INPUT_STOP};
    struct flow_results results;

    fx_open(&fx, "workroom");
    fx.random = 15;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    leaving = fx_get_agent(&fx, "workroom-3");
    stop.now_us = fx.now_us;
    fx_handle(leaving, &stop);
    SlAgent_Counters(leaving->agent, &before);
    fx_open_flows(&fx, 20000, 500, 400);
    SlAgent_Counters(leaving->agent, &after);
    CU_ASSERT_EQUAL(after.flows_admitted, before.flows_admitted);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, flows_refused_not_run), 0);
    leaving->service_us = 300000;
    for (uint16_t port = FIRST_PORT; port < FIRST_PORT + FLOWS; port++) {
        if (leaving->connections[port].open) {
            fx_send_request(&fx, 0, port);
        }
    }
    fx_run_for(&fx, 100000);
    CU_ASSERT_FALSE(SlAgent_IsIdle(leaving->agent));
    fx_run_for(&fx, 1000000);
    CU_ASSERT(SlAgent_IsIdle(leaving->agent));
    results = request_on_all_flows(&fx, FLOWS);
    CU_ASSERT_EQUAL(results.answered, FLOWS);
    fx_close(&fx);
}

/* A long request, and an answer that is not yet acknowledged, delay a planned
   stop. */
static void
test_stop_waits_for_requests(void)
{
    struct fixture fx;
    struct fx_agent *holder;
    struct SlInput stop = {.kind = SL_INPUT_STOP};

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, FIRST_PORT, 1, 10);
    holder = fx_find_holder(&fx, FIRST_PORT);
    CU_ASSERT_PTR_NOT_NULL_FATAL(holder);
    stop.now_us = fx.now_us;
    fx_handle(holder, &stop);
    CU_ASSERT(SlAgent_IsIdle(holder->agent));
    holder->service_us = 20 * 1000 * 1000;
    fx_send_request(&fx, 0, FIRST_PORT);
    fx_run_for(&fx, 19 * FX_SECOND_US);
    CU_ASSERT_FALSE(SlAgent_IsIdle(holder->agent));
    fx_run_for(&fx, 2 * FX_SECOND_US);
    CU_ASSERT(SlAgent_IsIdle(holder->agent));
    CU_ASSERT_EQUAL(fx.callers[FIRST_PORT].answers, 2);
    holder->service_us = 1000;
    fx.callers[FIRST_PORT].ignores_packets = true;
    fx_send_request(&fx, 0, FIRST_PORT);
    fx_run_for(&fx, FX_SECOND_US);
    CU_ASSERT_FALSE(SlAgent_IsIdle(holder->agent));
    fx_close(&fx);
}

/* A changed label assigns the agent to another service: it keeps its flows,
   which are found there, and gets no new flows of the old service. */
static void
test_reassigned_agent_keeps_flows(void)
{
    struct fixture fx;
    struct SlChange change =
        site_make_change(SL_VERB_LABEL, SL_KIND_NODE, "workroom-3");
    struct SlAgentCounters before;
    struct SlAgentCounters after;
    struct flow_results results;

    fx_open(&fx, "workroom");
    fx.random = 16;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    SlLabels_Set(&change.object.labels, "app", "catalogue");
    site_apply_change(&fx.site, &change);
    fx_publish_routing(&fx, NULL);
    fx_run_for(&fx, 90 * FX_SECOND_US);
    SlAgent_Counters(fx_get_agent(&fx, "workroom-3")->agent, &before);
    fx_open_flows(&fx, 20000, 500, 400);
    SlAgent_Counters(fx_get_agent(&fx, "workroom-3")->agent, &after);
    CU_ASSERT_EQUAL(after.flows_admitted, before.flows_admitted);
    results = request_on_all_flows(&fx, FLOWS);
    printf("reassigned, %u flows: %u answered, %u reset\n", FLOWS,
           results.answered, results.reset);
    CU_ASSERT_EQUAL(results.answered, FLOWS);
    fx_close(&fx);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"flows survive changes", test_flows_survive_changes},
        {"restart of an agent keeps its flows", test_restart_keeps_flows},
        {"restart of all agents of a rack keeps their flows",
         test_rack_restart_keeps_flows},
        {"lost upstream resets its flows only",
         test_lost_upstream_resets_its_flows_only},
        {"flows end when their zone is taken out of service",
         test_zone_out_ends_its_flows},
        {"processes of a zone die unannounced", test_zone_dies_unannounced},
        {"new flows routed by an old table avoid a zone out of service",
         test_new_flows_by_old_table_avoid_zone},
        {"stopping agent gets no new flows",
         test_stopping_agent_gets_no_new_flows},
        {"planned stop waits for requests", test_stop_waits_for_requests},
        {"reassigned agent keeps flows", test_reassigned_agent_keeps_flows},
    };

    return RUN_SUITE("agent change", CASES);
}
