/* Planned change and faults: established flows live on, unless their zone
   is out; new ones go where there is room. */

#include "agent_fixture.h"

enum {
    FIRST_PORT = 3000,
    FLOWS = 2000,
};

struct outcome {
    uint32_t answered;
    uint32_t reset;
    uint32_t silent;
};

/// Asks once more on every flow that is open at its caller.
static struct outcome
ask_all(struct fixture *fx, uint32_t count)
{
    struct outcome outcome = {.answered = 0};
    uint32_t before[FLOWS];

    for (uint32_t i = 0; i < count; i++) {
        uint16_t port = (uint16_t)(FIRST_PORT + i);

        before[i] = fx->callers[port].answers;
        if (fx->callers[port].open) {
            fx_ask(fx, fx_random(fx) % FX_ENTRIES, port);
            fx_run(fx, 500);
        }
    }
    fx_run(fx, 1000000);
    for (uint32_t i = 0; i < count; i++) {
        const struct fx_caller *caller = &fx->callers[FIRST_PORT + i];

        outcome.answered += caller->answers == before[i] + 1;
        outcome.reset += caller->reset;
        outcome.silent += caller->open && caller->answers == before[i];
    }
    return outcome;
}

/* 200 changes of what takes new flows, and packets by the table before the
   last one as well: no flow breaks. */
static void
test_flows_survive_changes(void)
{
    static const char *const NAMES[] = {"workroom-1", "workroom-2",
                                        "workroom-4", "workroom-6"};
    struct fixture fx;
    struct outcome outcome;
    char name[SL_NAME_BYTES];

    fx_open(&fx, "workroom");
    fx.random = 11;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    for (uint32_t i = 0; i < 200; i++) {
        snprintf(name, sizeof(name), "%s", NAMES[i % 4]);
        site_change_hold(&fx.site, i % 8 < 4 ? SL_VERB_HOLD : SL_VERB_RELEASE,
                         SL_KIND_NODE, name);
        fx_publish(&fx, &fx.agents[fx_random(&fx) % 7]);
        for (uint32_t k = 0; k < 20; k++) {
            uint16_t port = (uint16_t)(FIRST_PORT + fx_random(&fx) % FLOWS);
            struct SlRouting *present = fx.site.routing;

            fx.site.routing = k % 2 ? fx.old : present;
            fx_ask(&fx, k % FX_ENTRIES, port);
            fx.site.routing = present;
            fx_run(&fx, 20000);
        }
    }
    outcome = ask_all(&fx, FLOWS);
    printf("200 changes, %u flows: %u answered, %u reset\n", FLOWS,
           outcome.answered, outcome.reset);
    CU_ASSERT_EQUAL(outcome.answered, FLOWS);
    CU_ASSERT_EQUAL(outcome.reset, 0);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, reset), 0);
    fx_close(&fx);
}

/* An agent restarts while its upstream keeps the connections. */
static void
test_restart_keeps_flows(void)
{
    struct fixture fx;
    struct outcome outcome;

    fx_open(&fx, "workroom");
    fx.random = 12;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    fx_run(&fx, 90 * FX_SECOND_US);
    fx_restart(&fx, fx_agent(&fx, "workroom-3"));
    outcome = ask_all(&fx, FLOWS);
    printf("restart, %u flows: %u answered, %u reset, %lu adopted\n", FLOWS,
           outcome.answered, outcome.reset,
           (unsigned long)FX_TOTAL(&fx, adopted));
    CU_ASSERT_EQUAL(outcome.answered, FLOWS);
    CU_ASSERT_EQUAL(outcome.reset, 0);
    CU_ASSERT(FX_TOTAL(&fx, adopted) > 0);
    fx_close(&fx);
}

/* A rack: three agents restart at once. */
static void
test_rack_restart_keeps_flows(void)
{
    struct fixture fx;
    struct outcome outcome;

    fx_open(&fx, "workroom");
    fx.random = 17;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    fx_run(&fx, 90 * FX_SECOND_US);
    fx_restart(&fx, fx_agent(&fx, "workroom-1"));
    fx_restart(&fx, fx_agent(&fx, "workroom-3"));
    fx_restart(&fx, fx_agent(&fx, "workroom-6"));
    fx_run(&fx, 300 * FX_SECOND_US);
    outcome = ask_all(&fx, FLOWS);
    printf("rack restart, %u flows: %u answered, %u reset, %lu adopted\n",
           FLOWS, outcome.answered, outcome.reset,
           (unsigned long)FX_TOTAL(&fx, adopted));
    CU_ASSERT_EQUAL(outcome.answered, FLOWS);
    CU_ASSERT_EQUAL(outcome.reset, 0);
    fx_close(&fx);
}

/* An agent and its upstream restart: the callers of lost flows are reset at
   once, and nobody else. */
static void
test_lost_upstream_resets_its_flows_only(void)
{
    struct fixture fx;
    struct fx_agent *lost;
    struct SlAgentCounters counters;
    struct outcome outcome;
    uint64_t open;

    fx_open(&fx, "workroom");
    fx.random = 13;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    fx_run(&fx, 90 * FX_SECOND_US);
    lost = fx_agent(&fx, "workroom-3");
    SlAgent_Counters(lost->agent, &counters);
    open = counters.open_flows;
    memset(lost->connections, 0, FX_PORTS * sizeof(struct fx_connection));
    fx_restart(&fx, lost);
    outcome = ask_all(&fx, FLOWS);
    CU_ASSERT_EQUAL(outcome.reset, open);
    CU_ASSERT_EQUAL(outcome.answered, FLOWS - open);
    CU_ASSERT_EQUAL(outcome.silent, 0);
    fx_close(&fx);
}

/* A zone goes out: its flows are reset within the bound, a share at a time,
   nothing more is delivered there, and the rest lives on. */
static void
test_zone_out_ends_its_flows(void)
{
    struct fixture fx;
    struct SlAgentCounters counters;
    struct outcome outcome;
    uint64_t open;
    uint64_t after;
    uint32_t half = 0;
    uint32_t all = 0;

    fx_open(&fx, "workroom");
    fx.random = 14;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    SlAgent_Counters(fx_agent(&fx, "workroom-3")->agent, &counters);
    open = counters.open_flows;
    site_change_hold(&fx.site, SL_VERB_HOLD, SL_KIND_ZONE, "d");
    fx_publish(&fx, NULL);
    fx_run(&fx, 500000);
    for (uint32_t i = 0; i < FLOWS; i++) {
        half += fx.callers[FIRST_PORT + i].reset;
    }
    fx_run(&fx, 1000000);
    for (uint32_t i = 0; i < FLOWS; i++) {
        all += fx.callers[FIRST_PORT + i].reset;
    }
    printf("zone out: %lu flows, %u reset after 0.5 s, %u after 1.5 s\n",
           (unsigned long)open, half, all);
    CU_ASSERT(half > open / 3);
    CU_ASSERT(half < open * 2 / 3);
    CU_ASSERT_EQUAL(all, open);
    after = fx_agent(&fx, "workroom-3")->delivered;
    outcome = ask_all(&fx, FLOWS);
    CU_ASSERT_EQUAL(outcome.answered, FLOWS - open);
    CU_ASSERT_EQUAL(fx_agent(&fx, "workroom-3")->delivered, after);
    fx_close(&fx);
}

/* Agents and upstreams of a zone die unannounced: after the time in which they
   might come back, callers that ask are reset at once; nobody else is. */
static void
test_zone_dies_unannounced(void)
{
    struct fixture fx;
    struct outcome outcome;
    uint32_t lost = 0;

    fx_open(&fx, "workroom");
    fx.random = 18;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    fx_agent(&fx, "workroom-2")->down = true;
    fx_agent(&fx, "workroom-6")->down = true;
    for (uint16_t port = FIRST_PORT; port < FIRST_PORT + FLOWS; port++) {
        struct fx_agent *holder = fx_holder(&fx, port);

        lost += holder != NULL && holder->down;
    }
    fx_run(&fx, 6 * FX_SECOND_US);
    site_change_hold(&fx.site, SL_VERB_HOLD, SL_KIND_NODE, "workroom-2");
    site_change_hold(&fx.site, SL_VERB_HOLD, SL_KIND_NODE, "workroom-6");
    fx_publish(&fx, NULL);
    outcome = ask_all(&fx, FLOWS);
    printf("zone died: %u flows lost, %u reset, %u answered\n", lost,
           outcome.reset, outcome.answered);
    CU_ASSERT(lost > FLOWS / 5);
    CU_ASSERT_EQUAL(outcome.reset, lost);
    CU_ASSERT_EQUAL(outcome.answered, FLOWS - lost);
    fx_close(&fx);
}

/* New flows by a table that still has the zone in are served elsewhere. */
static void
test_stale_entry_is_served_elsewhere(void)
{
    struct fixture fx;
    struct SlRouting *present;
    uint64_t delivered;
    uint32_t answered = 0;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, FIRST_PORT, 400, 400);
    site_change_hold(&fx.site, SL_VERB_HOLD, SL_KIND_ZONE, "d");
    fx_publish(&fx, NULL);
    fx_run(&fx, 1500000);
    delivered = fx_agent(&fx, "workroom-3")->delivered;
    present = fx.site.routing;
    fx.site.routing = fx.old;
    fx_open_flows(&fx, 20000, 500, 400);
    fx.site.routing = present;
    for (uint16_t port = 20000; port < 20500; port++) {
        answered += fx.callers[port].answers == 1;
    }
    CU_ASSERT_EQUAL(answered, 500);
    CU_ASSERT_EQUAL(fx_agent(&fx, "workroom-3")->delivered, delivered);
    fx_close(&fx);
}

/* A draining agent, and one that stops, take nothing new and keep what they
   have to its end. */
static void
test_drain_and_stop(void)
{
    struct fixture fx;
    struct fx_agent *leaving;
    struct SlAgentCounters before;
    struct SlAgentCounters after;
    struct SlInput stop = {.kind = SL_INPUT_STOP};
    struct outcome outcome;

    fx_open(&fx, "workroom");
    fx.random = 15;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    leaving = fx_agent(&fx, "workroom-3");
    stop.now_us = fx.now_us;
    fx_handle(leaving, &stop);
    SlAgent_Counters(leaving->agent, &before);
    fx_open_flows(&fx, 20000, 500, 400);
    SlAgent_Counters(leaving->agent, &after);
    CU_ASSERT_EQUAL(after.admitted, before.admitted);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, refused_not_run), 0);
    leaving->service_us = 300000;
    for (uint16_t port = FIRST_PORT; port < FIRST_PORT + FLOWS; port++) {
        if (leaving->connections[port].open) {
            fx_ask(&fx, 0, port);
        }
    }
    fx_run(&fx, 100000);
    CU_ASSERT_FALSE(SlAgent_IsIdle(leaving->agent));
    fx_run(&fx, 1000000);
    CU_ASSERT(SlAgent_IsIdle(leaving->agent));
    outcome = ask_all(&fx, FLOWS);
    CU_ASSERT_EQUAL(outcome.answered, FLOWS);
    fx_close(&fx);
}

/* A request that takes long, and an answer that is not yet acknowledged, hold
   a planned stop up. */
static void
test_stop_waits_for_requests(void)
{
    struct fixture fx;
    struct fx_agent *holder;
    struct SlInput stop = {.kind = SL_INPUT_STOP};

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, FIRST_PORT, 1, 10);
    holder = fx_holder(&fx, FIRST_PORT);
    CU_ASSERT_PTR_NOT_NULL_FATAL(holder);
    stop.now_us = fx.now_us;
    fx_handle(holder, &stop);
    CU_ASSERT(SlAgent_IsIdle(holder->agent));
    holder->service_us = 20 * 1000 * 1000;
    fx_ask(&fx, 0, FIRST_PORT);
    fx_run(&fx, 19 * FX_SECOND_US);
    CU_ASSERT_FALSE(SlAgent_IsIdle(holder->agent));
    fx_run(&fx, 2 * FX_SECOND_US);
    CU_ASSERT(SlAgent_IsIdle(holder->agent));
    CU_ASSERT_EQUAL(fx.callers[FIRST_PORT].answers, 2);
    holder->service_us = 1000;
    fx.callers[FIRST_PORT].deaf = true;
    fx_ask(&fx, 0, FIRST_PORT);
    fx_run(&fx, FX_SECOND_US);
    CU_ASSERT_FALSE(SlAgent_IsIdle(holder->agent));
    fx_close(&fx);
}

/* A selector gives the agent to another service: it keeps its flows, which
   are found there, and gets no new ones. */
static void
test_reassigned_agent_keeps_flows(void)
{
    struct fixture fx;
    struct SlChange change =
        site_make_change(SL_VERB_LABEL, SL_KIND_NODE, "workroom-3");
    struct SlAgentCounters before;
    struct SlAgentCounters after;
    struct outcome outcome;

    fx_open(&fx, "workroom");
    fx.random = 16;
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 400);
    SlLabels_Set(&change.object.labels, "app", "catalogue");
    site_apply_change(&fx.site, &change);
    fx_publish(&fx, NULL);
    fx_run(&fx, 90 * FX_SECOND_US);
    SlAgent_Counters(fx_agent(&fx, "workroom-3")->agent, &before);
    fx_open_flows(&fx, 20000, 500, 400);
    SlAgent_Counters(fx_agent(&fx, "workroom-3")->agent, &after);
    CU_ASSERT_EQUAL(after.admitted, before.admitted);
    outcome = ask_all(&fx, FLOWS);
    printf("reassigned, %u flows: %u answered, %u reset\n", FLOWS,
           outcome.answered, outcome.reset);
    CU_ASSERT_EQUAL(outcome.answered, FLOWS);
    fx_close(&fx);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"flows survive changes", test_flows_survive_changes},
        {"restart keeps flows", test_restart_keeps_flows},
        {"rack restart keeps flows", test_rack_restart_keeps_flows},
        {"lost upstream resets its flows only",
         test_lost_upstream_resets_its_flows_only},
        {"zone out ends its flows", test_zone_out_ends_its_flows},
        {"zone dies unannounced", test_zone_dies_unannounced},
        {"stale entry is served elsewhere",
         test_stale_entry_is_served_elsewhere},
        {"drain and stop", test_drain_and_stop},
        {"stop waits for requests", test_stop_waits_for_requests},
        {"reassigned agent keeps flows", test_reassigned_agent_keeps_flows},
    };

    return RUN_SUITE("agent change", CASES);
}
