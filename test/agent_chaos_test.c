/* Everything at once, with fixed seeds: entries with any of the last tables,
   agents that learn late, restarts, drains, loss, callers that send again.
   No payload reaches two upstreams, and no flow breaks. */

#include "agent_fixture.h"

enum {
    FIRST_PORT = 3000,
    FLOWS = 1500,
    STEPS = 6000,
    SEEDS = 5,
    TABLES = 4,
    ASK_BYTES = 50,
    HELD_MAX = 3,
};

struct chaos {
    struct fixture fx;
    /// The last tables, the newest first.
    struct SlRouting *tables[TABLES];
    uint32_t opened;
    /// Agents that drain.
    bool held[7];
    uint32_t held_count;
    uint32_t last_held;
    /// Requests that each caller has made.
    uint32_t asked[FLOWS];
};

/// Has an entry with one of the last tables send what follows.
static struct SlRouting *
take_table(struct chaos *chaos)
{
    struct SlRouting *present = chaos->fx.site.routing;

    chaos->fx.site.routing = chaos->tables[fx_random(&chaos->fx) % TABLES];
    return present;
}

static void
change_site(struct chaos *chaos)
{
    struct fixture *fx = &chaos->fx;
    uint32_t place =
        chaos->held_count < HELD_MAX ? fx_random(fx) % 7 : chaos->last_held;

    chaos->held[place] = !chaos->held[place];
    chaos->held_count += chaos->held[place] ? 1 : (uint32_t)-1;
    chaos->last_held = place;
    site_change_hold(&fx->site,
                     chaos->held[place] ? SL_VERB_HOLD : SL_VERB_RELEASE,
                     SL_KIND_NODE, fx->agents[place].name);
    fx_publish(fx, &fx->agents[fx_random(fx) % 7]);
    SlRouting_Unref(chaos->tables[TABLES - 1]);
    memmove(&chaos->tables[1], &chaos->tables[0],
            (TABLES - 1) * sizeof(chaos->tables[0]));
    chaos->tables[0] = SlRouting_Ref(fx->site.routing);
}

static void
open_one(struct chaos *chaos)
{
    struct fixture *fx = &chaos->fx;
    struct SlRouting *present = take_table(chaos);
    uint16_t port = (uint16_t)(FIRST_PORT + chaos->opened);

    fx->callers[port].asks = true;
    chaos->asked[chaos->opened++] = 1;
    fx_syn(fx, fx_random(fx) % FX_ENTRIES, port);
    fx->site.routing = present;
}

static bool
is_answered(const struct chaos *chaos, uint32_t i)
{
    return chaos->fx.callers[FIRST_PORT + i].answers == chaos->asked[i];
}

/// The caller sends again what was not answered.
static void
send_again(struct chaos *chaos, uint32_t i)
{
    struct fixture *fx = &chaos->fx;
    uint16_t port = (uint16_t)(FIRST_PORT + i);
    struct fx_caller *caller = &fx->callers[port];
    struct SlRouting *present = take_table(chaos);

    if (!caller->open && !caller->refused && !caller->reset) {
        fx_syn(fx, fx_random(fx) % FX_ENTRIES, port);
    }
    else if (caller->open && !is_answered(chaos, i)) {
        caller->sent -= ASK_BYTES;
        fx_ask(fx, fx_random(fx) % FX_ENTRIES, port);
    }
    fx->site.routing = present;
}

static void
send_all_again(struct chaos *chaos)
{
    for (uint32_t i = 0; i < chaos->opened; i++) {
        if (!is_answered(chaos, i)) {
            send_again(chaos, i);
        }
    }
}

static void
ask_one(struct chaos *chaos)
{
    struct fixture *fx = &chaos->fx;
    uint32_t i = fx_random(fx) % chaos->opened;
    struct SlRouting *present;

    if (!fx->callers[FIRST_PORT + i].open || !is_answered(chaos, i)) {
        send_again(chaos, i);
        return;
    }
    present = take_table(chaos);
    chaos->asked[i]++;
    fx_ask(fx, fx_random(fx) % FX_ENTRIES, (uint16_t)(FIRST_PORT + i));
    fx->site.routing = present;
}

static void
run_chaos(struct chaos *chaos)
{
    struct fixture *fx = &chaos->fx;

    for (uint32_t i = 0; i < STEPS; i++) {
        if (i % 150 == 0) {
            change_site(chaos);
        }
        if (i % 700 == 699) {
            fx_restart(fx, &fx->agents[fx_random(fx) % 7]);
        }
        if (chaos->opened < FLOWS && i % 3 == 0) {
            open_one(chaos);
        }
        if (i % 30 == 0) {
            send_all_again(chaos);
        }
        ask_one(chaos);
        fx_run(fx, 10000);
    }
    fx->loss_percent = 0;
    for (uint32_t round = 0; round < 8; round++) {
        send_all_again(chaos);
        fx_run(fx, FX_SECOND_US);
    }
}

struct verdict {
    uint32_t twice;
    uint32_t broken;
    uint32_t refused;
    uint32_t unanswered;
};

static struct verdict
judge(const struct chaos *chaos)
{
    struct verdict verdict = {.twice = 0};
    uint32_t first = 0;

    for (uint32_t i = 0; i < chaos->opened; i++) {
        const struct fx_caller *caller = &chaos->fx.callers[FIRST_PORT + i];

        verdict.twice +=
            fx_receivers(&chaos->fx, (uint16_t)(FIRST_PORT + i), &first) > 1;
        verdict.broken += caller->reset;
        verdict.refused += caller->refused;
        verdict.unanswered += caller->open && !is_answered(chaos, i);
    }
    return verdict;
}

/// All was answered: nothing may count as in progress any more, once lost
/// acknowledgements were made good as TCP would.
static void
check_counts(struct chaos *chaos)
{
    struct fixture *fx = &chaos->fx;

    for (uint32_t i = 0; i < chaos->opened; i++) {
        fx_tcp(fx, 0, (uint16_t)(FIRST_PORT + i), SL_TCP_ACK, 0);
        fx_run(fx, 500);
    }
    fx_run(fx, FX_SECOND_US);
    CU_ASSERT_EQUAL(FX_TOTAL(fx, exchanges), 0);
    for (uint32_t i = 0; i < fx->agent_count; i++) {
        CU_ASSERT(SlAgent_IsIdle(fx->agents[i].agent));
    }
}

static void
run_seed(uint64_t seed, uint32_t loss_percent)
{
    static struct chaos chaos;
    struct verdict verdict;

    chaos = (struct chaos){.opened = 0};
    fx_open(&chaos.fx, "workroom");
    chaos.fx.random = seed;
    chaos.fx.loss_percent = loss_percent;
    for (uint32_t i = 0; i < TABLES; i++) {
        chaos.tables[i] = SlRouting_Ref(chaos.fx.site.routing);
    }
    run_chaos(&chaos);
    verdict = judge(&chaos);
    printf("seed %lu, %u %% lost: %u flows, payload of %u at two upstreams, "
           "%u broken, %u refused, %u unanswered; %lu adopted\n",
           (unsigned long)seed, loss_percent, chaos.opened, verdict.twice,
           verdict.broken, verdict.refused, verdict.unanswered,
           (unsigned long)FX_TOTAL(&chaos.fx, adopted));
    CU_ASSERT_EQUAL(verdict.twice, 0);
    CU_ASSERT_EQUAL(verdict.broken, 0);
    CU_ASSERT_EQUAL(verdict.refused, 0);
    CU_ASSERT_EQUAL(verdict.unanswered, 0);
    check_counts(&chaos);
    for (uint32_t i = 0; i < TABLES; i++) {
        SlRouting_Unref(chaos.tables[i]);
    }
    fx_close(&chaos.fx);
}

static void
test_without_loss(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        run_seed(seed, 0);
    }
}

static void
test_with_loss(void)
{
    for (uint64_t seed = 101; seed < 101 + SEEDS; seed++) {
        run_seed(seed, 3);
    }
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"without loss", test_without_loss},
        {"with loss", test_with_loss},
    };

    return RUN_SUITE("agent chaos", CASES);
}
