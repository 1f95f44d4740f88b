/* Homes of flows, and the patience and budget of an entry's questions. */

#include <string.h>

#include "savoryledge/balance/answer_timeout.h"
#include "savoryledge/balance/homes.h"
#include "savoryledge/coordination/relay.h"
#include "test.h"

enum {
    ZONES = 6,
    UPSTREAMS = 1000,
    FLOWS = 2000,
    MS = 1000,
};

static void
fill(struct SlCandidate *candidates, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        char name[SL_NAME_BYTES];

        snprintf(name, sizeof(name), "agent-%u", i);
        candidates[i] = (struct SlCandidate){.node_id = SlNode_Id(name),
                                             .zone = i % ZONES,
                                             .in_local_zone = i % ZONES == 0,
                                             .accepts_flows = true,
                                             .slots = 2};
    }
}

static uint32_t
count_homes(const struct SlCandidate *candidates, uint32_t count)
{
    uint32_t homes = 0;

    for (uint32_t i = 0; i < count; i++) {
        homes += candidates[i].is_home;
    }
    return homes;
}

/// A service of any size has as many homes for a flow; a small one is home as
/// a whole.
static void
test_homes_do_not_grow(void)
{
    static struct SlCandidate candidates[UPSTREAMS];
    static const uint32_t SIZES[] = {7, 24, 109, 1000};

    fill(candidates, UPSTREAMS);
    for (uint32_t i = 0; i < 4; i++) {
        uint32_t most = ZONES * SL_HOMES_PER_ZONE;

        SlHomes_Mark(candidates, SIZES[i], 12345);
        CU_ASSERT_EQUAL(count_homes(candidates, SIZES[i]),
                        SIZES[i] < most ? SIZES[i] : most);
    }
}

/// Every upstream is home to about the same number of flows, and processes
/// that list the upstreams in another order name the same homes.
static void
test_homes_are_even(void)
{
    static struct SlCandidate candidates[UPSTREAMS];
    static struct SlCandidate reversed[UPSTREAMS];
    static uint32_t flows[UPSTREAMS];
    uint32_t count = 120;
    uint32_t mean = FLOWS * ZONES * SL_HOMES_PER_ZONE / count;

    fill(candidates, count);
    for (uint32_t i = 0; i < count; i++) {
        reversed[i] = candidates[count - 1 - i];
    }
    for (uint32_t flow = 0; flow < FLOWS; flow++) {
        uint64_t hash = SlPlacement_MixBits(flow);

        SlHomes_Mark(candidates, count, hash);
        SlHomes_Mark(reversed, count, hash);
        for (uint32_t i = 0; i < count; i++) {
            flows[i] += candidates[i].is_home;
            CU_ASSERT_EQUAL(candidates[i].is_home,
                            reversed[count - 1 - i].is_home);
        }
    }
    for (uint32_t i = 0; i < count; i++) {
        /* Six deviations of a binomial draw. */
        CU_ASSERT(flows[i] > mean - 120 && flows[i] < mean + 120);
    }
}

/// An upstream that leaves takes only its own place along.
static void
test_homes_move_little(void)
{
    static struct SlCandidate before[UPSTREAMS];
    static struct SlCandidate after[UPSTREAMS];
    uint32_t count = 120;
    uint32_t lost = 0;

    fill(before, count);
    memcpy(after, before, sizeof(after));
    for (uint32_t flow = 0; flow < FLOWS; flow++) {
        uint64_t hash = SlPlacement_MixBits(flow);

        SlHomes_Mark(before, count, hash);
        SlHomes_Mark(after, count - 1, hash);
        for (uint32_t i = 0; i < count - 1; i++) {
            lost += before[i].is_home && !after[i].is_home;
        }
    }
    CU_ASSERT_EQUAL(lost, 0);
}

/// A flow goes to a home while one has a free slot, and elsewhere when none
/// has.
static void
test_placement_prefers_homes(void)
{
    static struct SlCandidate candidates[UPSTREAMS];
    uint32_t count = 120;
    int32_t chosen;

    fill(candidates, count);
    for (uint32_t i = 0; i < count; i++) {
        candidates[i].in_local_zone = true;
    }
    for (uint32_t flow = 0; flow < FLOWS; flow++) {
        SlHomes_Mark(candidates, count, SlPlacement_MixBits(flow));
        chosen = SlPlacement_Choose(candidates, count, NULL, 0,
                                    SL_TRAFFIC_IDEMPOTENT, flow);
        CU_ASSERT(chosen >= 0 && candidates[chosen].is_home);
    }
    for (uint32_t i = 0; i < count; i++) {
        candidates[i].load.in_progress = candidates[i].is_home ? 3 : 0;
    }
    chosen = SlPlacement_Choose(candidates, count, NULL, 0,
                                SL_TRAFFIC_IDEMPOTENT, 1);
    CU_ASSERT(chosen >= 0 && !candidates[chosen].is_home);
}

/// Patience follows the answers: short on a calm way, long when answers queue,
/// longer when nothing is heard, and never beyond a second.
static void
test_patience_follows_answers(void)
{
    struct SlAnswerTimeout patience = {.smoothed_us = 0};

    CU_ASSERT_EQUAL(SlAnswerTimeout_Us(&patience, 60 * MS), 300 * MS);
    for (uint32_t i = 0; i < 50; i++) {
        SlAnswerTimeout_AddSample(&patience, 3 * MS);
    }
    CU_ASSERT_EQUAL(SlAnswerTimeout_Us(&patience, 60 * MS), 60 * MS);
    CU_ASSERT_FALSE(SlPatience_IsQueueing(&patience));
    for (uint32_t i = 0; i < 50; i++) {
        SlAnswerTimeout_AddSample(&patience, 200 * MS);
    }
    CU_ASSERT(SlAnswerTimeout_Us(&patience, 60 * MS) > 200 * MS);
    CU_ASSERT(SlPatience_IsQueueing(&patience));
    for (uint32_t i = 0; i < 10; i++) {
        SlAnswerTimeout_Double(&patience);
    }
    CU_ASSERT_EQUAL(SlAnswerTimeout_Us(&patience, 60 * MS), 1000 * MS);
    for (uint32_t i = 0; i < 50; i++) {
        SlAnswerTimeout_AddSample(&patience, 3 * MS);
    }
    CU_ASSERT_EQUAL(SlAnswerTimeout_Us(&patience, 60 * MS), 60 * MS);
}

/// A way that has become longer for good looks like a queue for some minutes,
/// and then no more.
static void
test_longer_way_is_learnt(void)
{
    struct SlAnswerTimeout patience = {.smoothed_us = 0};
    uint32_t answers = 0;

    SlAnswerTimeout_AddSample(&patience, 2 * MS);
    while (answers < 100 || SlPatience_IsQueueing(&patience)) {
        SlAnswerTimeout_AddSample(&patience, 82 * MS);
        answers++;
        CU_ASSERT_FATAL(answers < 100000);
    }
    CU_ASSERT(answers > 2000);
    CU_ASSERT(answers < 20000);
}

/// Questions give way to a queue and come back when it has gone. The queue is
/// that of a link which carries 40 questions in a tick: the budget settles
/// near that, and answers do not wait for longer than a few ticks.
static void
test_budget_settles_at_the_link(void)
{
    struct SlAnswerTimeout patience = {.smoothed_us = 0};
    struct SlQueryBudget budget = {.limit = 0};
    uint64_t queued = 0;
    uint64_t asked = 0;
    uint64_t longest_us = 0;

    for (uint32_t tick = 0; tick < 500; tick++) {
        uint64_t now_us = 1000 * MS + (uint64_t)tick * 20 * MS;

        SlQueryBudget_StartTick(&budget, now_us, &patience);
        while (budget.spent < budget.limit &&
               SlQueryBudget_Spend(&budget, 1)) {
            queued++;
            asked++;
        }
        SlAnswerTimeout_AddSample(&patience, 2 * MS + queued * 20 * MS / 40);
        if (tick > 100 && queued * 20 * MS / 40 > longest_us) {
            longest_us = queued * 20 * MS / 40;
        }
        queued = queued > 40 ? queued - 40 : 0;
    }
    CU_ASSERT(asked > 500 * 40 * 7 / 10);
    CU_ASSERT(longest_us < 150 * MS);
}

/// The first of a tick always fit, however small the budget is.
static void
test_budget_lets_the_first_go(void)
{
    struct SlAnswerTimeout patience = {.smoothed_us = 0};
    struct SlQueryBudget budget = {.limit = 0};

    SlQueryBudget_StartTick(&budget, 20 * MS, &patience);
    CU_ASSERT(SlQueryBudget_Spend(&budget, 5000));
    CU_ASSERT_FALSE(SlQueryBudget_Spend(&budget, 1));
    CU_ASSERT(budget.spent >= budget.limit);
    SlQueryBudget_StartTick(&budget, 40 * MS, &patience);
    CU_ASSERT(SlQueryBudget_Spend(&budget, 1));
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"homes do not grow with the service", test_homes_do_not_grow},
        {"homes are even", test_homes_are_even},
        {"homes move little", test_homes_move_little},
        {"placement prefers homes", test_placement_prefers_homes},
        {"patience follows answers", test_patience_follows_answers},
        {"a longer way is learnt", test_longer_way_is_learnt},
        {"the budget settles at the link", test_budget_settles_at_the_link},
        {"the first question fits", test_budget_lets_the_first_go},
    };

    return RUN_SUITE("homes", CASES);
}
