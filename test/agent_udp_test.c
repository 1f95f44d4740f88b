/* UDP flows have no handshake to tell an old one from a new one: what a zone
   that leaves, and an agent that restarts, do to them. */

#include "agent_fixture.h"

enum {
    FIRST_PORT = 30000,
    FLOWS = 400,
    FLOWS_PER_TICK = 10,
    TICK_SETTLED_US = 5000,
};

/* Every flow sends one datagram; stale takes it to its last known holder. */
static void
send_all(struct fixture *fx)
{
    for (uint16_t i = 0; i < FLOWS; i++) {
        fx_udp(fx, i % FX_ENTRIES, fx->site.routing, 0,
               (uint16_t)(FIRST_PORT + i));
        fx_run(fx, 2500);
    }
    fx_run(fx, 100000);
}

/* The zone's agents end their flows over a second. A flow that came back
   elsewhere before its turn is not told that it ended. */
static void
test_flow_that_came_back_is_left_alone(void)
{
    struct fixture fx;
    struct SlAgentCounters counters;
    uint32_t told = 0;
    uint32_t answered = 0;

    fx_open(&fx, "catalogue");
    send_all(&fx);
    SlAgent_Counters(fx_agent(&fx, "catalogue-0")->agent, &counters);
    CU_ASSERT(counters.open_flows > 10);
    site_change_hold(&fx.site, SL_VERB_HOLD, SL_KIND_ZONE, "d");
    fx_publish(&fx, NULL);
    for (uint16_t i = 0; i < FLOWS; i++) {
        struct fx_caller *caller = &fx.callers[FIRST_PORT + i];

        /* Flows end on ticks: what a tick sent has arrived when the caller
           comes back, and its claim arrives before the next one. */
        if (i % FLOWS_PER_TICK == 0) {
            fx_run(&fx, fx.tick_us + TICK_SETTLED_US - fx.now_us);
        }
        caller->icmp = 0;
        caller->answers = 0;
        fx_udp(&fx, 0, fx.site.routing, 0, (uint16_t)(FIRST_PORT + i));
    }
    fx_run(&fx, 3 * FX_SECOND_US);
    for (uint16_t i = 0; i < FLOWS; i++) {
        told += fx.callers[FIRST_PORT + i].icmp;
        answered += fx.callers[FIRST_PORT + i].answers == 1;
    }
    CU_ASSERT_EQUAL(told, 0);
    CU_ASSERT_EQUAL(answered, FLOWS);
    SlAgent_Counters(fx_agent(&fx, "catalogue-0")->agent, &counters);
    CU_ASSERT_EQUAL(counters.open_flows, 0);
    fx_close(&fx);
}

/* An agent that starts with an empty table takes back what an entry's cache
   shows to be its own, also while it still counts as draining. */
static void
test_restarted_agent_takes_its_flows_back(void)
{
    struct fixture fx;
    struct fx_agent *agent;
    struct SlAgentCounters before;
    struct SlAgentCounters after;
    uint32_t first = 0;
    uint32_t sent = 0;

    fx_open(&fx, "catalogue");
    send_all(&fx);
    agent = fx_agent(&fx, "catalogue-0");
    SlAgent_Counters(agent->agent, &before);
    site_change_hold(&fx.site, SL_VERB_HOLD, SL_KIND_NODE, "catalogue-0");
    fx_publish(&fx, NULL);
    fx_restart(&fx, agent);
    for (uint16_t port = FIRST_PORT; port < FIRST_PORT + FLOWS; port++) {
        if (fx_receivers(&fx, port, &first) == 1 &&
            &fx.agents[first] == agent) {
            fx_udp_cached(&fx, 0, agent->node_id, port);
            sent++;
        }
    }
    fx_run(&fx, FX_SECOND_US);
    SlAgent_Counters(agent->agent, &after);
    CU_ASSERT_EQUAL(sent, before.open_flows);
    CU_ASSERT_EQUAL(after.adopted, sent);
    CU_ASSERT_EQUAL(after.passed_on, 0);
    fx_close(&fx);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"flow that came back is left alone",
         test_flow_that_came_back_is_left_alone},
        {"restarted agent takes its flows back",
         test_restarted_agent_takes_its_flows_back},
    };

    return RUN_SUITE("agent udp", CASES);
}
