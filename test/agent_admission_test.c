/* New flows: spread evenly, never more than an upstream can carry, refused
   only when nobody has room. */

#include "agent_fixture.h"

enum {
    FLOWS = 14000,
    FIRST_PORT = 2000,
};

static uint32_t
refused(const struct fixture *fx, uint16_t first, uint32_t count)
{
    uint32_t sum = 0;

    for (uint32_t i = 0; i < count; i++) {
        sum += fx->callers[first + i].refused;
    }
    return sum;
}

/// Greatest number of open flows over the mean, of the first seven agents.
static double
imbalance(const struct fixture *fx)
{
    uint64_t sum = 0;
    uint64_t most = 0;

    for (uint32_t i = 0; i < 7; i++) {
        struct SlAgentCounters counters;

        SlAgent_Counters(fx->agents[i].agent, &counters);
        sum += counters.open_flows;
        most = counters.open_flows > most ? counters.open_flows : most;
    }
    return sum == 0 ? 1.0 : (double)most * 7 / (double)sum;
}

static void
test_flows_spread_evenly(void)
{
    struct fixture fx;

    fx_open(&fx, "workroom");
    for (uint32_t k = 0; k < 7; k++) {
        fx_open_flows(&fx, (uint16_t)(FIRST_PORT + k * 2000), 2000, 200);
        printf("%5u flows: imbalance %.3f, passed on %lu, refused %u\n",
               (k + 1) * 2000, imbalance(&fx),
               (unsigned long)FX_TOTAL(&fx, passed_on),
               refused(&fx, FIRST_PORT, (k + 1) * 2000));
        CU_ASSERT(imbalance(&fx) <= 1.05);
    }
    CU_ASSERT_EQUAL(refused(&fx, FIRST_PORT, FLOWS), 0);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, open_flows), FLOWS);
    fx_close(&fx);
}

/* An upstream that was never seen gets one request at a time, then more as
   its answers come; the others carry the rest and nobody is refused. */
static void
test_cold_upstream_ramps_up(void)
{
    struct fixture fx;
    struct fx_agent *cold;
    struct SlAgentCounters counters;
    uint32_t at_500_ms = 0;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, FIRST_PORT, 6000, 400);
    cold = fx_agent(&fx, "workroom-3");
    fx_restart(&fx, cold);
    memset(cold->connections, 0, FX_PORTS * sizeof(struct fx_connection));
    cold->busy_most = 0;
    for (uint32_t i = 0; i < 4000; i++) {
        uint16_t port = (uint16_t)(FIRST_PORT + 6000 + i);

        fx.callers[port].asks = true;
        fx_syn(&fx, i % FX_ENTRIES, port);
        fx_run(&fx, 1000);
        at_500_ms = i == 499 ? cold->busy_most : at_500_ms;
    }
    fx_run(&fx, 500000);
    SlAgent_Counters(cold->agent, &counters);
    printf("cold: busy at most %u in 500 ms, %u in 4.5 s; %lu flows of "
           "%.0f, refused %u\n",
           at_500_ms, cold->busy_most, (unsigned long)counters.open_flows,
           10000.0 / 7, refused(&fx, FIRST_PORT + 6000, 4000));
    CU_ASSERT(at_500_ms <= 1);
    CU_ASSERT(counters.open_flows > 500);
    CU_ASSERT_EQUAL(refused(&fx, FIRST_PORT + 6000, 4000), 0);
    fx_close(&fx);
}

/* An upstream turns cold without a word: its answers take 250 times as long.
   What is in progress there falls at once. */
static void
test_sudden_cold_is_noticed(void)
{
    struct fixture fx;
    struct fx_agent *slow;
    struct SlAgentCounters counters;
    uint64_t passed;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, FIRST_PORT, 6000, 400);
    slow = fx_agent(&fx, "workroom-3");
    SlAgent_Counters(slow->agent, &counters);
    CU_ASSERT(counters.limit_exchanges > 3);
    passed = counters.passed_on;
    slow->service_us = 500000;
    slow->busy_most = 0;
    fx_open_flows(&fx, FIRST_PORT + 6000, 500, 400);
    SlAgent_Counters(slow->agent, &counters);
    printf("suddenly cold: busy at most %u, limit %lu, passed on %lu, "
           "refused %u\n",
           slow->busy_most, (unsigned long)counters.limit_exchanges,
           (unsigned long)(counters.passed_on - passed),
           refused(&fx, FIRST_PORT + 6000, 500));
    CU_ASSERT(slow->events[SL_EVENT_COLD] >= 1);
    CU_ASSERT(counters.limit_exchanges <= 3);
    CU_ASSERT(slow->busy_most <= 6);
    CU_ASSERT_EQUAL(refused(&fx, FIRST_PORT + 6000, 500), 0);
    fx_close(&fx);
}

/* An upstream's process ends, which closes its connections, and is back at
   once: it is cold although nobody said so. */
static void
test_restarted_upstream_is_cold(void)
{
    struct fixture fx;
    struct fx_agent *back;
    uint32_t busy = 0;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, FIRST_PORT, 6000, 400);
    fx_run(&fx, 5 * FX_SECOND_US);
    back = fx_agent(&fx, "workroom-3");
    for (uint32_t port = FIRST_PORT; port < FIRST_PORT + 6000; port++) {
        if (back->connections[port].open) {
            fx_upstream_closes(back, (uint16_t)port);
        }
    }
    fx_run(&fx, 10000);
    CU_ASSERT(back->events[SL_EVENT_COLD] >= 1);
    back->busy_most = 0;
    for (uint32_t i = 0; i < 900; i++) {
        fx.callers[12000 + i].asks = true;
        fx_syn(&fx, i % FX_ENTRIES, (uint16_t)(12000 + i));
        fx_run(&fx, 500);
        busy = back->busy_most;
    }
    fx_run(&fx, 100000);
    printf("restarted: busy at most %u in 450 ms\n", busy);
    CU_ASSERT(busy <= 1);
    CU_ASSERT_EQUAL(refused(&fx, 12000, 900), 0);
    fx_close(&fx);
}

/* All upstreams have all the flows that they can hold: the next one is told
   at once that it was not run. */
static void
test_full_service_refuses_at_once(void)
{
    struct fixture fx;
    uint32_t first = 0;
    uint64_t hints;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 200);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, open_flows), FLOWS);
    hints = fx.hints;
    fx_syn(&fx, 0, 30000);
    fx_run(&fx, 100000);
    /* The entry hears of it too, else it would take the home for dead. */
    CU_ASSERT_EQUAL(fx.hints, hints + 1);
    CU_ASSERT(fx.callers[30000].refused);
    CU_ASSERT_EQUAL(fx_receivers(&fx, 30000, &first), 0);
    CU_ASSERT_PTR_NULL(fx_holder(&fx, 30000));
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, refused_not_run), 1);
    fx_close(&fx);
}

/* Datagrams that no upstream can take: each is told "not run", and it and its
   copies were delivered nowhere. */
static void
test_refused_datagrams_did_not_run(void)
{
    struct fixture fx;
    uint32_t told = 0;
    uint32_t ran = 0;

    fx_open(&fx, "catalogue");
    for (uint32_t i = 7; i < FX_AGENTS; i++) {
        fx.agents[i].upstream_stuck = true;
    }
    for (uint16_t port = FIRST_PORT; port < FIRST_PORT + 300; port++) {
        fx_udp(&fx, 0, fx.site.routing, 0, port);
        fx_udp(&fx, 1, fx.site.routing, fx.agents[7 + port % 4].node_id, port);
        fx_run(&fx, 20000);
    }
    for (uint16_t port = FIRST_PORT; port < FIRST_PORT + 300; port++) {
        uint32_t first = 0;
        bool refused_one = fx.callers[port].icmp != 0;

        told += refused_one;
        ran += refused_one && fx_receivers(&fx, port, &first) != 0;
    }
    printf("datagrams: %u of 300 flows refused, %u of them ran\n", told, ran);
    CU_ASSERT(told > 100);
    CU_ASSERT_EQUAL(ran, 0);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, refused_unknown), 0);
    fx_close(&fx);
}

/* SYNs of callers that never answer fill no table and push nobody out. */
static void
test_syn_flood_is_bounded(void)
{
    struct fixture fx;
    uint64_t bytes;
    uint32_t reset = 0;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, FIRST_PORT, 2000, 400);
    SlAddress_Parse("203.0.113.9", &fx.caller);
    for (uint32_t round = 0; round < 3; round++) {
        for (uint32_t i = 0; i < 20000; i++) {
            uint16_t port = (uint16_t)(10000 + i);

            fx.callers[port].isn = 0;
            fx.callers[port].open = true;
            fx_syn(&fx, i % FX_ENTRIES, port);
            if (i % 20 == 0) {
                fx_run(&fx, 1000);
            }
        }
        bytes = FX_TOTAL(&fx, table_bytes);
        printf("flood: %lu bytes in 11 tables, %lu open flows\n",
               (unsigned long)bytes, (unsigned long)FX_TOTAL(&fx, open_flows));
        CU_ASSERT(bytes < 11 * 4 * 1000 * 1000);
    }
    SlAddress_Parse("192.0.2.10", &fx.caller);
    for (uint32_t i = 0; i < 2000; i++) {
        fx_ask(&fx, i % FX_ENTRIES, (uint16_t)(FIRST_PORT + i));
        fx_run(&fx, 1000);
    }
    fx_run(&fx, 1000000);
    for (uint32_t i = 0; i < 2000; i++) {
        reset += fx.callers[FIRST_PORT + i].answers != 2;
    }
    CU_ASSERT_EQUAL(reset, 0);
    fx_close(&fx);
}

/// Reopens, from new ports, the flows that were reset; returns how many.
static uint32_t
reopen(struct fixture *fx, uint16_t first, uint16_t *next)
{
    uint32_t count = 0;

    for (uint16_t port = first; port < *next; port++) {
        if (fx->callers[port].reset || fx->callers[port].refused) {
            fx->callers[port].reset = false;
            fx->callers[port].refused = false;
            fx->callers[*next].asks = true;
            fx_syn(fx, *next % FX_ENTRIES, *next);
            (*next)++;
            count++;
        }
    }
    return count;
}

/* Zone c (agents 2 and 6) leaves with its flows, and returns cold while other
   flows come and go: nobody is refused, and the load evens out again. */
static void
test_zone_leaves_and_returns(void)
{
    struct fixture fx;
    uint16_t next = FIRST_PORT + 7000;
    uint32_t reopened = 0;
    uint32_t again = 0;
    uint32_t cold_busy = 0;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, FIRST_PORT, 7000, 400);
    site_change_hold(&fx.site, SL_VERB_HOLD, SL_KIND_ZONE, "c");
    fx_publish(&fx, NULL);
    for (uint32_t i = 0; i < 30; i++) {
        fx_run(&fx, 100000);
        again = reopen(&fx, FIRST_PORT, &next);
        reopened += again;
    }
    CU_ASSERT_EQUAL(again, 0);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, open_flows), 7000);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, refused_not_run), 0);
    site_change_hold(&fx.site, SL_VERB_RELEASE, SL_KIND_ZONE, "c");
    fx_publish(&fx, NULL);
    fx.agents[2].busy_most = 0;
    fx.agents[6].busy_most = 0;
    for (uint32_t i = 0; i < 8000; i++) {
        fx.callers[next].asks = true;
        fx_syn(&fx, next % FX_ENTRIES, next);
        fx_tcp(&fx, 0, (uint16_t)(FIRST_PORT + i % 7000),
               SL_TCP_FIN | SL_TCP_ACK, 0);
        next++;
        fx_run(&fx, 2000);
        if (i == 249) {
            cold_busy = fx.agents[2].busy_most > fx.agents[6].busy_most
                            ? fx.agents[2].busy_most
                            : fx.agents[6].busy_most;
        }
    }
    fx_run(&fx, 500000);
    printf("zone out and in: %u flows reopened, refused %lu; returned ones "
           "busy at most %u in 500 ms; imbalance %.3f after 16 s\n",
           reopened, (unsigned long)FX_TOTAL(&fx, refused_not_run), cold_busy,
           imbalance(&fx));
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, refused_not_run), 0);
    CU_ASSERT(cold_busy <= 1);
    CU_ASSERT(imbalance(&fx) <= 1.05);
    fx_close(&fx);
}

/* Twice as many flows as the service can hold: the rest is refused at once,
   with a bounded number of datagrams, and open flows do not notice. */
static void
test_overload_spares_open_flows(void)
{
    struct fixture fx;
    uint64_t datagrams;
    uint32_t answered = 0;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, FIRST_PORT, FLOWS, 200);
    datagrams = fx.datagrams;
    for (uint32_t i = 0; i < 14000; i++) {
        fx_syn(&fx, i % FX_ENTRIES, (uint16_t)(20000 + i));
        if (i % 7 == 0) {
            fx_ask(&fx, 0, (uint16_t)(FIRST_PORT + i));
        }
        fx_run(&fx, 250);
    }
    fx_run(&fx, 2000000);
    for (uint32_t i = 0; i < 14000; i += 7) {
        answered += fx.callers[FIRST_PORT + i].answers == 2;
    }
    printf("overload: %u of 14000 refused, %.1f datagrams each; %u of 2000 "
           "requests on open flows answered\n",
           refused(&fx, 20000, 14000),
           (double)(fx.datagrams - datagrams) / 14000, answered);
    CU_ASSERT_EQUAL(refused(&fx, 20000, 14000), 14000);
    CU_ASSERT_EQUAL(answered, 2000);
    CU_ASSERT(fx.datagrams - datagrams < 14000 * 3);
    fx_close(&fx);
}

/* Acknowledgements of flows that do not exist set off a bounded number of
   questions, and flows that do exist are found meanwhile. */
static void
test_ack_flood_is_bounded(void)
{
    struct fixture fx;
    uint64_t datagrams;
    uint32_t answered = 0;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, FIRST_PORT, 2000, 400);
    datagrams = fx.datagrams;
    for (uint32_t i = 0; i < 20000; i++) {
        uint16_t port = (uint16_t)(10000 + i);

        fx.callers[port].sent = 5000;
        fx_tcp(&fx, i % FX_ENTRIES, port, SL_TCP_ACK, 0);
        if (i % 10 == 0) {
            fx_ask(&fx, 0, (uint16_t)(FIRST_PORT + i / 10));
        }
        fx_run(&fx, 50);
    }
    fx_run(&fx, 2000000);
    for (uint32_t i = 0; i < 2000; i++) {
        answered += fx.callers[FIRST_PORT + i].answers == 2;
    }
    datagrams = fx.datagrams - datagrams;
    printf("ACK flood: %.1f datagrams for each of 20000 in 1 s, %u of 2000 "
           "requests answered\n",
           (double)datagrams / 20000, answered);
    CU_ASSERT_EQUAL(answered, 2000);
    CU_ASSERT(datagrams < 7 * 2200 * 30);
    fx_close(&fx);
}

/* Half of the callers poll: their requests are answered after 30 s, when there
   is news. That is no sign of a cold or busy upstream. */
static void
test_polling_takes_no_room(void)
{
    struct fixture fx;
    uint32_t colds = 0;

    fx_open(&fx, "workroom");
    fx_open_flows(&fx, FIRST_PORT, 2000, 400);
    fx.poll_us = 30 * FX_SECOND_US;
    for (uint32_t k = 0; k < 4; k++) {
        fx_open_flows(&fx, (uint16_t)(FIRST_PORT + 2000 + k * 2000), 2000,
                      100);
        printf("polling: %u refused, imbalance %.3f\n",
               refused(&fx, FIRST_PORT, 4000 + k * 2000), imbalance(&fx));
    }
    for (uint32_t i = 0; i < 7; i++) {
        colds += (uint32_t)fx.agents[i].events[SL_EVENT_COLD];
    }
    printf("polling: taken for cold %u times\n", colds);
    CU_ASSERT_EQUAL(refused(&fx, FIRST_PORT, 10000), 0);
    CU_ASSERT(imbalance(&fx) <= 1.05);
    fx_close(&fx);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"flows spread evenly", test_flows_spread_evenly},
        {"cold upstream ramps up", test_cold_upstream_ramps_up},
        {"sudden cold is noticed", test_sudden_cold_is_noticed},
        {"restarted upstream is cold", test_restarted_upstream_is_cold},
        {"full service refuses at once", test_full_service_refuses_at_once},
        {"zone leaves and returns", test_zone_leaves_and_returns},
        {"overload spares open flows", test_overload_spares_open_flows},
        {"refused datagrams did not run", test_refused_datagrams_did_not_run},
        {"polling takes no room", test_polling_takes_no_room},
        {"ACK flood is bounded", test_ack_flood_is_bounded},
        {"SYN flood is bounded", test_syn_flood_is_bounded},
    };

    return RUN_SUITE("agent admission", CASES);
}
