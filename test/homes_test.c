/* Tests of the homes of flows, and of the answer timeout and the query budget
   of an entry. */

#include <string.h>

#include "savoryledge/balance/answer_timeout.h"
#include "savoryledge/balance/homes.h"
#include "savoryledge/coordination/relay.h"
#include "test.h"

enum {
    ZONES = 6,
    UPSTREAMS = 1000,
    FLOWS = 2000,
    US_PER_MS = 1000,
};

static void
fill_candidates(struct SlCandidate *candidates, uint32_t count)
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

/// A flow has the same number of homes in a service of any size; in a small
/// service every upstream is a home.
static void
test_home_count_is_constant(void)
{
    static struct SlCandidate candidates[UPSTREAMS];
    static const uint32_t SIZES[] = {7, 24, 109, 1000};

    fill_candidates(candidates, UPSTREAMS);
    for (uint32_t i = 0; i < 4; i++) {
        uint32_t max_homes = ZONES * SL_HOMES_PER_ZONE;

        SlHomes_Mark(candidates, SIZES[i], 12345);
        CU_ASSERT_EQUAL(count_homes(candidates, SIZES[i]),
                        SIZES[i] < max_homes ? SIZES[i] : max_homes);
    }
}

/// Every upstream is a home of about the same number of flows, and processes
/// that list the upstreams in another order compute the same homes.
static void
test_homes_are_even(void)
{
    static struct SlCandidate candidates[UPSTREAMS];
    static struct SlCandidate reversed[UPSTREAMS];
    static uint32_t flows[UPSTREAMS];
    uint32_t count = 120;
    uint32_t mean = FLOWS * ZONES * SL_HOMES_PER_ZONE / count;

    fill_candidates(candidates, count);
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
        /* Six standard deviations of the binomial distribution. */
        CU_ASSERT(flows[i] > mean - 120 && flows[i] < mean + 120);
    }
}

/// When an upstream is removed, no other upstream stops being a home.
static void
test_removal_keeps_other_homes(void)
{
    static struct SlCandidate before[UPSTREAMS];
    static struct SlCandidate after[UPSTREAMS];
    uint32_t count = 120;
    uint32_t lost_home_count = 0;

    fill_candidates(before, count);
    memcpy(after, before, sizeof(after));
    for (uint32_t flow = 0; flow < FLOWS; flow++) {
        uint64_t hash = SlPlacement_MixBits(flow);

        SlHomes_Mark(before, count, hash);
        SlHomes_Mark(after, count - 1, hash);
        for (uint32_t i = 0; i < count - 1; i++) {
            lost_home_count += before[i].is_home && !after[i].is_home;
        }
    }
    CU_ASSERT_EQUAL(lost_home_count, 0);
}

/// A flow is placed on a home while one has a free slot, and on another
/// upstream when none has.
static void
test_placement_prefers_homes(void)
{
    static struct SlCandidate candidates[UPSTREAMS];
    uint32_t count = 120;
    int32_t chosen;

    fill_candidates(candidates, count);
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

/// The answer timeout follows the answer times: it is short on an idle path,
/// longer when answers queue, doubled when no answers arrive, and at most one
/// second.
static void
test_timeout_follows_answers(void)
{
    struct SlAnswerTimeout timeout = {.smoothed_us = 0};

    CU_ASSERT_EQUAL(SlAnswerTimeout_Us(&timeout, 60 * US_PER_MS),
                    300 * US_PER_MS);
    for (uint32_t i = 0; i < 50; i++) {
        SlAnswerTimeout_AddSample(&timeout, 3 * US_PER_MS);
    }
    CU_ASSERT_EQUAL(SlAnswerTimeout_Us(&timeout, 60 * US_PER_MS),
                    60 * US_PER_MS);
    CU_ASSERT_FALSE(SlAnswerTimeout_AreAnswersQueued(&timeout));
    for (uint32_t i = 0; i < 50; i++) {
        SlAnswerTimeout_AddSample(&timeout, 200 * US_PER_MS);
    }
    CU_ASSERT(SlAnswerTimeout_Us(&timeout, 60 * US_PER_MS) > 200 * US_PER_MS);
    CU_ASSERT(SlAnswerTimeout_AreAnswersQueued(&timeout));
    for (uint32_t i = 0; i < 10; i++) {
        SlAnswerTimeout_Double(&timeout);
    }
    CU_ASSERT_EQUAL(SlAnswerTimeout_Us(&timeout, 60 * US_PER_MS),
                    1000 * US_PER_MS);
    for (uint32_t i = 0; i < 50; i++) {
        SlAnswerTimeout_AddSample(&timeout, 3 * US_PER_MS);
    }
    CU_ASSERT_EQUAL(SlAnswerTimeout_Us(&timeout, 60 * US_PER_MS),
                    60 * US_PER_MS);
}

/// A path that has become longer permanently is reported as a queue for some
/// minutes only.
static void
test_timeout_adapts_to_longer_path(void)
{
    struct SlAnswerTimeout timeout = {.smoothed_us = 0};
    uint32_t answers = 0;

    SlAnswerTimeout_AddSample(&timeout, 2 * US_PER_MS);
    while (answers < 100 || SlAnswerTimeout_AreAnswersQueued(&timeout)) {
        SlAnswerTimeout_AddSample(&timeout, 82 * US_PER_MS);
        answers++;
        CU_ASSERT_FATAL(answers < 100000);
    }
    CU_ASSERT(answers > 2000);
    CU_ASSERT(answers < 20000);
}

/// The query budget shrinks when answers queue and grows again when the queue
/// has drained. The simulated link carries 40 queries per tick: the budget
/// settles near that rate, and answers are delayed by at most a few ticks.
static void
test_budget_settles_at_link_rate(void)
{
    struct SlAnswerTimeout timeout = {.smoothed_us = 0};
    struct SlQueryBudget budget = {.limit = 0};
    uint64_t queued_queries = 0;
    uint64_t sent_queries = 0;
    uint64_t longest_delay_us = 0;

    for (uint32_t tick = 0; tick < 500; tick++) {
        uint64_t now_us = 1000 * US_PER_MS + (uint64_t)tick * 20 * US_PER_MS;

        SlQueryBudget_StartTick(&budget, now_us, &timeout);
        while (budget.spent < budget.limit &&
               SlQueryBudget_SpendQueries(&budget, 1)) {
            queued_queries++;
            sent_queries++;
        }
        SlAnswerTimeout_AddSample(
            &timeout, 2 * US_PER_MS + queued_queries * 20 * US_PER_MS / 40);
        if (tick > 100 &&
            queued_queries * 20 * US_PER_MS / 40 > longest_delay_us) {
            longest_delay_us = queued_queries * 20 * US_PER_MS / 40;
        }
        queued_queries = queued_queries > 40 ? queued_queries - 40 : 0;
    }
    CU_ASSERT(sent_queries > 500 * 40 * 7 / 10);
    CU_ASSERT(longest_delay_us < 150 * US_PER_MS);
}

/// The first queries of a tick are always permitted, however small the budget
/// is.
static void
test_budget_permits_first_queries(void)
{
    struct SlAnswerTimeout timeout = {.smoothed_us = 0};
    struct SlQueryBudget budget = {.limit = 0};

    SlQueryBudget_StartTick(&budget, 20 * US_PER_MS, &timeout);
    CU_ASSERT(SlQueryBudget_SpendQueries(&budget, 5000));
    CU_ASSERT_FALSE(SlQueryBudget_SpendQueries(&budget, 1));
    CU_ASSERT(budget.spent >= budget.limit);
    SlQueryBudget_StartTick(&budget, 40 * US_PER_MS, &timeout);
    CU_ASSERT(SlQueryBudget_SpendQueries(&budget, 1));
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"number of homes of a flow is constant", test_home_count_is_constant},
        {"homes are distributed evenly", test_homes_are_even},
        {"removal of an upstream keeps the other homes",
         test_removal_keeps_other_homes},
        {"placement prefers homes", test_placement_prefers_homes},
        {"answer timeout follows the answer times",
         test_timeout_follows_answers},
        {"answer timeout adapts to a longer path",
         test_timeout_adapts_to_longer_path},
        {"query budget settles at the rate of the link",
         test_budget_settles_at_link_rate},
        {"first queries of a tick are permitted",
         test_budget_permits_first_queries},
    };

    return RUN_SUITE("homes", CASES);
}
