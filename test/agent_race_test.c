/* Copies of a first packet, through entries and agents of differing
   versions: one upstream gets the flow, and its payload. */

#include "agent_fixture.h"

enum {
    FIRST_PORT = 3000,
    FLOWS = 1500,
    SEEDS = 10,
};

static void
hold_agent(struct fixture *fx, const char *name, enum SlVerb verb)
{
    site_change_hold(&fx->site, verb, SL_KIND_NODE, name);
}

static uint32_t
connections_of(const struct fixture *fx, uint16_t port)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < fx->agent_count; i++) {
        count += fx->agents[i].connections[port].open;
    }
    return count;
}

/// Sends the SYN of a port as an entry with the given table.
static void
syn_by(struct fixture *fx, uint32_t entry, const struct SlRouting *routing,
       uint16_t port)
{
    struct SlRouting *present = fx->site.routing;

    fx->site.routing = (struct SlRouting *)routing;
    fx_syn(fx, entry, port);
    fx->site.routing = present;
}

struct totals {
    /// Connections, and payload, at two upstreams.
    uint32_t twice;
    uint32_t twice_paid;
    uint32_t broken;
    uint32_t unanswered;
};

/// Opens flows with each SYN sent twice, by the old table and the new one,
/// while an agent is put out and back.
static struct totals
run_copies(struct fixture *fx, bool one_behind)
{
    struct totals totals = {.twice = 0};

    for (uint32_t i = 0; i < FLOWS; i++) {
        uint16_t port = (uint16_t)(FIRST_PORT + i);
        bool old_first = fx_random(fx) % 2;

        if (i % 50 == 0) {
            hold_agent(fx, "workroom-2",
                       i % 100 == 0 ? SL_VERB_HOLD : SL_VERB_RELEASE);
            fx_publish(fx, one_behind ? &fx->agents[fx_random(fx) % 7] : NULL);
        }
        fx->callers[port].asks = true;
        syn_by(fx, 0, old_first ? fx->old : fx->site.routing, port);
        fx_run(fx, fx_random(fx) % 4000);
        if (!fx->callers[port].open) {
            syn_by(fx, 1, old_first ? fx->site.routing : fx->old, port);
        }
        fx_run(fx, 10000);
    }
    fx_run(fx, 400000);
    for (uint32_t i = 0; i < FLOWS; i++) {
        uint16_t port = (uint16_t)(FIRST_PORT + i);
        uint32_t first = 0;

        totals.twice +=
            fx_receivers(fx, port, &first) > 1 || connections_of(fx, port) > 1;
        totals.broken += fx->callers[port].reset;
        totals.unanswered += fx->callers[port].answers != 1;
    }
    printf("%u flows: %u (payload: %u) at two upstreams, %u broken, "
           "%u unanswered\n",
           FLOWS, totals.twice, totals.twice_paid, totals.broken,
           totals.unanswered);
    return totals;
}

static void
test_syn_copies_by_two_versions(void)
{
    struct totals totals;
    struct fixture fx;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        fx_open(&fx, "workroom");
        fx.random = seed;
        totals = run_copies(&fx, false);
        CU_ASSERT_EQUAL(totals.twice, 0);
        CU_ASSERT_EQUAL(totals.broken, 0);
        CU_ASSERT_EQUAL(totals.unanswered, 0);
        fx_close(&fx);
    }
}

/* Besides, one agent at a time does not learn the new table. */
static void
test_syn_copies_with_stale_agents(void)
{
    struct totals totals;
    struct fixture fx;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        fx_open(&fx, "workroom");
        fx.random = seed;
        fx_run(&fx, 40 * FX_SECOND_US);
        totals = run_copies(&fx, true);
        CU_ASSERT_EQUAL(totals.twice, 0);
        CU_ASSERT_EQUAL(totals.broken, 0);
        CU_ASSERT_EQUAL(totals.unanswered, 0);
        fx_close(&fx);
    }
}

/* Besides, datagrams get lost; nobody sends again. */
static void
test_syn_copies_with_loss(void)
{
    struct totals totals;
    struct fixture fx;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        fx_open(&fx, "workroom");
        fx.random = seed;
        fx.loss_percent = 5;
        fx_run(&fx, 40 * FX_SECOND_US);
        totals = run_copies(&fx, true);
        CU_ASSERT_EQUAL(totals.twice_paid, 0);
        fx_close(&fx);
    }
}

/* Datagrams of a lossy network: payload still reaches one upstream only. */
static void
test_udp_copies_with_loss(void)
{
    struct fixture fx;
    uint32_t twice = 0;
    uint32_t answered = 0;

    fx_open(&fx, "catalogue");
    fx.random = 3;
    fx.loss_percent = 10;
    for (uint32_t i = 0; i < FLOWS; i++) {
        uint16_t port = (uint16_t)(FIRST_PORT + i);

        if (i % 50 == 0) {
            hold_agent(&fx, "catalogue-1",
                       i % 100 == 0 ? SL_VERB_HOLD : SL_VERB_RELEASE);
            fx_publish(&fx, &fx.agents[7 + fx_random(&fx) % 4]);
        }
        fx_udp(&fx, 0, fx.old, 0, port);
        fx_run(&fx, fx_random(&fx) % 4000);
        fx_udp(&fx, 1, fx.site.routing, 0, port);
        fx_run(&fx, 10000);
    }
    fx_run(&fx, 1000000);
    for (uint32_t i = 0; i < FLOWS; i++) {
        uint32_t first = 0;

        twice += fx_receivers(&fx, (uint16_t)(FIRST_PORT + i), &first) > 1;
        answered += fx.callers[FIRST_PORT + i].answers > 0;
    }
    printf("udp, 10 %% lost: %u of %u at two upstreams, %u answered\n", twice,
           FLOWS, answered);
    CU_ASSERT_EQUAL(twice, 0);
    fx_close(&fx);
}

/* The old home cannot be asked, and a copy may be there: the outcome of a
   datagram is unknown, and it goes nowhere else. */
static void
test_unreachable_home_means_unknown(void)
{
    struct fixture fx;
    struct fx_agent *lost;
    uint32_t unknown = 0;
    uint32_t twice = 0;
    uint32_t first = 0;

    fx_open(&fx, "catalogue");
    fx_run(&fx, 40 * FX_SECOND_US);
    lost = fx_agent(&fx, "catalogue-1");
    hold_agent(&fx, "catalogue-1", SL_VERB_HOLD);
    fx_publish(&fx, lost);
    lost->down = true;
    for (uint16_t port = FIRST_PORT; port < FIRST_PORT + 200; port++) {
        fx_udp(&fx, 1, fx.site.routing, 0, port);
        fx_run(&fx, 20000);
    }
    fx_run(&fx, 1000000);
    for (uint16_t port = FIRST_PORT; port < FIRST_PORT + 200; port++) {
        bool moved = fx.callers[port].icmp != 0;

        unknown += moved;
        twice += moved && fx_receivers(&fx, port, &first) != 0;
    }
    CU_ASSERT(unknown > 0);
    CU_ASSERT_EQUAL(unknown, FX_TOTAL(&fx, refused_unknown));
    CU_ASSERT_EQUAL(twice, 0);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, refused_not_run), 0);
    fx_close(&fx);
}

/* SYNs that carry an order: however they are copied, delayed and lost, one
   upstream gets it, and no caller of a delivered one is told "refused". */
static void
test_early_data_runs_once(void)
{
    struct fixture fx;
    uint32_t twice = 0;
    uint32_t lied = 0;
    uint32_t ran = 0;
    uint32_t first = 0;

    fx_open(&fx, "workroom");
    fx.random = 5;
    fx.loss_percent = 5;
    fx_publish(&fx, NULL);
    for (uint32_t i = 0; i < FLOWS; i++) {
        uint16_t port = (uint16_t)(FIRST_PORT + i);
        struct SlRouting *present = fx.site.routing;

        if (i % 50 == 0) {
            hold_agent(&fx, "workroom-2",
                       i % 100 == 0 ? SL_VERB_HOLD : SL_VERB_RELEASE);
            fx_publish(&fx, &fx.agents[fx_random(&fx) % 7]);
            present = fx.site.routing;
        }
        fx.callers[port].isn = 1000 + port;
        for (uint32_t copy = 0; copy < 3; copy++) {
            fx.site.routing = copy % 2 ? fx.old : present;
            fx_tcp(&fx, copy, port, SL_TCP_SYN, 50);
            fx.site.routing = present;
            fx_run(&fx, fx_random(&fx) % 4000);
        }
        fx_run(&fx, 10000);
    }
    fx_run(&fx, FX_SECOND_US);
    for (uint32_t i = 0; i < FLOWS; i++) {
        uint16_t port = (uint16_t)(FIRST_PORT + i);
        uint32_t receivers = fx_receivers(&fx, port, &first);

        ran += receivers != 0;
        twice += receivers > 1;
        lied += receivers != 0 && fx.callers[port].refused;
    }
    printf("SYNs with payload: %u of %u ran, %u twice, %u told otherwise\n",
           ran, FLOWS, twice, lied);
    CU_ASSERT(ran > FLOWS / 2);
    CU_ASSERT_EQUAL(twice, 0);
    CU_ASSERT_EQUAL(lied, 0);
    fx_close(&fx);
}

/* UDP flows in use stay on their upstream through changes and loss. */
static void
test_udp_flows_stay(void)
{
    struct fixture fx;
    uint32_t moved = 0;
    uint32_t first = 0;

    fx_open(&fx, "catalogue");
    fx.random = 4;
    fx.loss_percent = 5;
    fx_publish(&fx, NULL);
    for (uint32_t i = 0; i < 40000; i++) {
        bool old = fx_random(&fx) % 2;

        if (i % 1500 == 0) {
            hold_agent(&fx, i % 6000 < 3000 ? "catalogue-1" : "catalogue-2",
                       i % 3000 == 0 ? SL_VERB_HOLD : SL_VERB_RELEASE);
            fx_publish(&fx, &fx.agents[7 + fx_random(&fx) % 4]);
        }
        fx_udp(&fx, i % FX_ENTRIES, old ? fx.old : fx.site.routing, 0,
               (uint16_t)(FIRST_PORT + fx_random(&fx) % 300));
        fx_run(&fx, 10000);
    }
    for (uint16_t port = FIRST_PORT; port < FIRST_PORT + 300; port++) {
        moved += fx_receivers(&fx, port, &first) > 1;
    }
    printf("udp flows through 27 changes, 5 %% lost: %u of 300 at two "
           "upstreams\n",
           moved);
    CU_ASSERT_EQUAL(moved, 0);
    fx_close(&fx);
}

/* The bucket moved long ago, the flow lives at the old home, whose answer is
   lost: the new home must not take the flow over. */
static void
test_lost_answer_moves_no_flow(void)
{
    struct fixture fx;
    struct fx_agent *holder;
    uint32_t first = 0;

    fx_open(&fx, "catalogue");
    fx_udp(&fx, 0, fx.site.routing, 0, FIRST_PORT);
    fx_run(&fx, FX_SECOND_US);
    CU_ASSERT_EQUAL_FATAL(fx_receivers(&fx, FIRST_PORT, &first), 1);
    holder = &fx.agents[first];
    hold_agent(&fx, holder->name, SL_VERB_HOLD);
    fx_publish(&fx, NULL);
    for (uint32_t i = 0; i < 70; i++) {
        fx_udp(&fx, 0, fx.site.routing, holder->node_id, FIRST_PORT);
        fx_run(&fx, FX_SECOND_US);
    }
    fx.loss_percent = 100;
    fx_udp(&fx, 1, fx.site.routing, 0, FIRST_PORT);
    fx_run(&fx, FX_SECOND_US);
    CU_ASSERT_EQUAL(fx_receivers(&fx, FIRST_PORT, &first), 1);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, refused_unknown), 1);
    fx_close(&fx);
}

/* A dead agent holds up nobody's first datagram once its buckets have moved
   and settled. */
static void
test_dead_agent_delays_nobody(void)
{
    struct fixture fx;
    uint32_t answered = 0;

    fx_open(&fx, "catalogue");
    fx_run(&fx, 40 * FX_SECOND_US);
    hold_agent(&fx, "catalogue-1", SL_VERB_HOLD);
    fx_publish(&fx, NULL);
    fx_agent(&fx, "catalogue-1")->down = true;
    fx_run(&fx, 15 * FX_SECOND_US);
    for (uint16_t port = FIRST_PORT; port < FIRST_PORT + 200; port++) {
        fx_udp(&fx, 1, fx.site.routing, 0, port);
        fx_run(&fx, 20000);
        answered += fx.callers[port].answers;
    }
    CU_ASSERT_EQUAL(answered, 200);
    CU_ASSERT_EQUAL(FX_TOTAL(&fx, refused_unknown), 0);
    fx_close(&fx);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"SYN copies by two versions", test_syn_copies_by_two_versions},
        {"SYN copies with stale agents", test_syn_copies_with_stale_agents},
        {"SYN copies with loss", test_syn_copies_with_loss},
        {"UDP copies with loss", test_udp_copies_with_loss},
        {"unreachable home means unknown",
         test_unreachable_home_means_unknown},
        {"early data runs once", test_early_data_runs_once},
        {"UDP flows stay", test_udp_flows_stay},
        {"lost answer moves no flow", test_lost_answer_moves_no_flow},
        {"dead agent delays nobody", test_dead_agent_delays_nobody},
    };

    return RUN_SUITE("agent race", CASES);
}
