/* Random faults with fixed seeds: entries with any of the last routing tables,
   agents that receive tables late, restarts, drains, datagram loss, and
   callers that retransmit. No payload may reach two upstreams, and no flow may
   break. */

#include "agent_fixture.h"

enum {
    FIRST_PORT = 3000,
    FLOWS = 1500,
    STEPS = 6000,
    SEEDS = 5,
    TABLES = 4,
    REQUEST_BYTES = 50,
    DRAINING_MAX = 3,
};

struct chaos {
    struct fixture fx;
    /// The latest routing tables, the newest first.
    struct SlRouting *tables[TABLES];
    uint32_t opened_count;
    /// Whether each agent drains, and the number of agents that do.
    bool draining[7];
    uint32_t draining_count;
    uint32_t last_changed;
    /// Number of requests that each caller has sent.
    uint32_t requests[FLOWS];
};

/// Makes entries route the following packets by one of the latest routing
/// tables. Returns the current table, which the caller restores.
static struct SlRouting *
use_random_table(struct chaos *chaos)
{
    struct SlRouting *current = chaos->fx.site.routing;

    chaos->fx.site.routing = chaos->tables[fx_random(&chaos->fx) % TABLES];
    return current;
}

static void
change_random_hold(struct chaos *chaos)
{
    struct fixture *fx = &chaos->fx;
    uint32_t index = chaos->draining_count < DRAINING_MAX
                         ? fx_random(fx) % 7
                         : chaos->last_changed;

    chaos->draining[index] = !chaos->draining[index];
    chaos->draining_count += chaos->draining[index] ? 1 : (uint32_t)-1;
    chaos->last_changed = index;
    site_change_hold(&fx->site,
                     chaos->draining[index] ? SL_VERB_HOLD : SL_VERB_RELEASE,
                     SL_KIND_NODE, fx->agents[index].name);
    fx_publish_routing(fx, &fx->agents[fx_random(fx) % 7]);
    SlRouting_Unref(chaos->tables[TABLES - 1]);
    memmove(&chaos->tables[1], &chaos->tables[0],
            (TABLES - 1) * sizeof(chaos->tables[0]));
    chaos->tables[0] = SlRouting_Ref(fx->site.routing);
}

static void
open_next_flow(struct chaos *chaos)
{
    struct fixture *fx = &chaos->fx;
    struct SlRouting *current = use_random_table(chaos);
    uint16_t port = (uint16_t)(FIRST_PORT + chaos->opened_count);

    fx->callers[port].sends_request = true;
    chaos->requests[chaos->opened_count++] = 1;
    fx_send_syn(fx, fx_random(fx) % FX_ENTRIES, port);
    fx->site.routing = current;
}

static bool
is_answered(const struct chaos *chaos, uint32_t i)
{
    return chaos->fx.callers[FIRST_PORT + i].answers == chaos->requests[i];
}

/// Retransmits the caller's SYN or request that was not answered.
static void
resend_unanswered(struct chaos *chaos, uint32_t i)
{
    struct fixture *fx = &chaos->fx;
    uint16_t port = (uint16_t)(FIRST_PORT + i);
    struct fx_caller *caller = &fx->callers[port];
    struct SlRouting *current = use_random_table(chaos);

    if (!caller->open && !caller->refused && !caller->reset) {
        fx_send_syn(fx, fx_random(fx) % FX_ENTRIES, port);
    }
    else if (caller->open && !is_answered(chaos, i)) {
        caller->sent -= REQUEST_BYTES;
        fx_send_request(fx, fx_random(fx) % FX_ENTRIES, port);
    }
    fx->site.routing = current;
}

static void
resend_all_unanswered(struct chaos *chaos)
{
    for (uint32_t i = 0; i < chaos->opened_count; i++) {
        if (!is_answered(chaos, i)) {
            resend_unanswered(chaos, i);
        }
    }
}

static void
send_one_request(struct chaos *chaos)
{
    struct fixture *fx = &chaos->fx;
    uint32_t i = fx_random(fx) % chaos->opened_count;
    struct SlRouting *current;

    if (!fx->callers[FIRST_PORT + i].open || !is_answered(chaos, i)) {
        resend_unanswered(chaos, i);
        return;
    }
    current = use_random_table(chaos);
    chaos->requests[i]++;
    fx_send_request(fx, fx_random(fx) % FX_ENTRIES,
                    (uint16_t)(FIRST_PORT + i));
    fx->site.routing = current;
}

static void
run_chaos(struct chaos *chaos)
{
    struct fixture *fx = &chaos->fx;

    for (uint32_t i = 0; i < STEPS; i++) {
        if (i % 150 == 0) {
            change_random_hold(chaos);
        }
        if (i % 700 == 699) {
            fx_restart_agent(fx, &fx->agents[fx_random(fx) % 7]);
        }
        if (chaos->opened_count < FLOWS && i % 3 == 0) {
            open_next_flow(chaos);
        }
        if (i % 30 == 0) {
            resend_all_unanswered(chaos);
        }
        send_one_request(chaos);
        fx_run_for(fx, 10000);
    }
    fx->loss_percent = 0;
    for (uint32_t round = 0; round < 8; round++) {
        resend_all_unanswered(chaos);
        fx_run_for(fx, FX_SECOND_US);
    }
}

struct chaos_result {
    uint32_t at_two_upstreams;
    uint32_t broken;
    uint32_t refused;
    uint32_t unanswered;
};

static struct chaos_result
count_results(const struct chaos *chaos)
{
    struct chaos_result result = {.at_two_upstreams = 0};
    uint32_t first = 0;

    for (uint32_t i = 0; i < chaos->opened_count; i++) {
        const struct fx_caller *caller = &chaos->fx.callers[FIRST_PORT + i];

        result.at_two_upstreams +=
            fx_count_receivers(&chaos->fx, (uint16_t)(FIRST_PORT + i),
                               &first) > 1;
        result.broken += caller->reset;
        result.refused += caller->refused;
        result.unanswered += caller->open && !is_answered(chaos, i);
    }
    return result;
}

/// Checks that no exchange counts as in progress after all requests were
/// answered. The callers first repeat their last acknowledgement, as TCP would
/// if it was lost.
static void
check_counts(struct chaos *chaos)
{
    struct fixture *fx = &chaos->fx;

    for (uint32_t i = 0; i < chaos->opened_count; i++) {
        fx_send_tcp(fx, 0, (uint16_t)(FIRST_PORT + i), SL_TCP_ACK, 0);
        fx_run_for(fx, 500);
    }
    fx_run_for(fx, FX_SECOND_US);
    CU_ASSERT_EQUAL(FX_TOTAL(fx, exchanges), 0);
    for (uint32_t i = 0; i < fx->agent_count; i++) {
        CU_ASSERT(SlAgent_IsIdle(fx->agents[i].agent));
    }
}

static void
run_seed(uint64_t seed, uint32_t loss_percent)
{
    static struct chaos chaos;
    struct chaos_result result;

    chaos = (struct chaos){.opened_count = 0};
    fx_open(&chaos.fx, "workroom");
    chaos.fx.random = seed;
    chaos.fx.loss_percent = loss_percent;
    for (uint32_t i = 0; i < TABLES; i++) {
        chaos.tables[i] = SlRouting_Ref(chaos.fx.site.routing);
    }
    run_chaos(&chaos);
    result = count_results(&chaos);
    printf("seed %lu, %u %% lost: %u flows, payload of %u at two upstreams, "
           "%u broken, %u refused, %u unanswered; %lu adopted\n",
           (unsigned long)seed, loss_percent, chaos.opened_count,
           result.at_two_upstreams, result.broken, result.refused,
           result.unanswered,
           (unsigned long)FX_TOTAL(&chaos.fx, flows_adopted));
    CU_ASSERT_EQUAL(result.at_two_upstreams, 0);
    CU_ASSERT_EQUAL(result.broken, 0);
    CU_ASSERT_EQUAL(result.refused, 0);
    CU_ASSERT_EQUAL(result.unanswered, 0);
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
        {"random faults without datagram loss", test_without_loss},
        {"random faults with datagram loss", test_with_loss},
    };

    return RUN_SUITE("agent chaos", CASES);
}
