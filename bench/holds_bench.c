/* Compares keyed holds with a plain flag for zones that several operators take
 * out for independent reasons. Both run the same schedules on the same state
 * machine. Prints NAME VALUE UNIT. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "savoryledge/state/config.h"

enum {
    SCHEDULES = 10000,
    OPERATORS = 3,
    NEEDS_PER_OPERATOR = 2,
    /// Length of a schedule, in ticks.
    SCHEDULE_TICKS = 200,
    /// Bound of the random part of the time for which an operator needs the
    /// zone out, in ticks.
    NEED_TICKS = 60,
    /// Bound of the delay of a request to control, in ticks.
    DELAY_TICKS = 4,
    /// Percentage of answers that are lost, after which the request is resent.
    LOST_ANSWERS_PERCENT = 10,
};

enum policy {
    /// Each operator holds and releases the zone under its own key.
    POLICY_HOLDS,
    /// The operators set and clear a flag without a condition.
    POLICY_FLAG,
    /// The flag is cleared by compare-and-set, and after a conflict again with
    /// the new version.
    POLICY_FLAG_RETRY,
    /// The flag is cleared by compare-and-set, and after a conflict it is left
    /// set.
    POLICY_FLAG_GIVE_UP,
    POLICY_COUNT
};

static const char *const POLICY_NAMES[POLICY_COUNT] = {
    [POLICY_HOLDS] = "holds",
    [POLICY_FLAG] = "flag",
    [POLICY_FLAG_RETRY] = "flag_cas_retry",
    [POLICY_FLAG_GIVE_UP] = "flag_cas_give_up",
};

/// A period for which an operator needs the zone out.
struct need {
    uint32_t operator_index;
    uint32_t from_tick;
    uint32_t to_tick;
    /// Ticks at which the requests arrive at control.
    uint32_t out_tick;
    uint32_t in_tick;
    /// Ticks at which the resent requests arrive; 0 for none.
    uint32_t out_resent_tick;
    uint32_t in_resent_tick;
    /// Version that the operator received with its accepted request.
    struct SlVersion accepted_version;
    bool accepted;
};

struct schedule {
    enum policy policy;
    struct SlConfig *config;
    struct SlVersion version;
    struct need needs[OPERATORS * NEEDS_PER_OPERATOR];
    uint64_t wrong_returns;
    uint64_t in_while_needed_ticks;
    uint64_t out_without_need_ticks;
    uint64_t left_out;
};

static uint32_t
draw_below(uint64_t *state, uint32_t below)
{
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    return (uint32_t)((*state >> 16) % below);
}

/// Draws the needs of a schedule from the seed alone, so that they are the
/// same for each policy.
static void
draw_needs(struct schedule *schedule, uint64_t seed)
{
    uint64_t state = seed * 0x9e3779b97f4a7c15u + 1;

    for (uint32_t i = 0; i < OPERATORS * NEEDS_PER_OPERATOR; i++) {
        struct need *need = &schedule->needs[i];
        uint32_t half = SCHEDULE_TICKS / NEEDS_PER_OPERATOR;
        uint32_t begin = i / OPERATORS * half;

        need->operator_index = i % OPERATORS;
        need->from_tick =
            1 + begin + draw_below(&state, half - NEED_TICKS - 16);
        need->to_tick = need->from_tick + 8 + draw_below(&state, NEED_TICKS);
        need->out_tick = need->from_tick + draw_below(&state, DELAY_TICKS);
        need->in_tick = need->to_tick + draw_below(&state, DELAY_TICKS);
        if (draw_below(&state, 100) < LOST_ANSWERS_PERCENT) {
            need->out_resent_tick =
                need->out_tick + 1 + draw_below(&state, DELAY_TICKS);
        }
        if (draw_below(&state, 100) < LOST_ANSWERS_PERCENT) {
            need->in_resent_tick =
                need->in_tick + 1 + draw_below(&state, DELAY_TICKS);
        }
    }
}

static void
apply_change(struct schedule *schedule, const struct SlChange *change,
             struct SlResult *result)
{
    schedule->version.term = 1;
    schedule->version.index++;
    SlConfig_Apply(schedule->config, schedule->version, change, result);
}

static bool
zone_is_out(const struct schedule *schedule)
{
    const struct SlObject *zone =
        SlConfig_FindObject(schedule->config, SL_KIND_ZONE, "ulaan-a");
    const char *flag = SlLabels_Get(&zone->labels, "out");

    return zone->holds.count > 0 || (flag != NULL && strcmp(flag, "yes") == 0);
}

/// Returns true when an operator whose request was accepted still needs the
/// zone out.
static bool
is_needed_out(const struct schedule *schedule, uint32_t tick)
{
    for (uint32_t i = 0; i < OPERATORS * NEEDS_PER_OPERATOR; i++) {
        const struct need *need = &schedule->needs[i];

        if (need->accepted && tick < need->to_tick) {
            return true;
        }
    }
    return false;
}

/// Returns the request that takes the zone out or in for a need, in the form
/// of the policy. A resent request has the same number.
static struct SlChange
create_request(const struct schedule *schedule, const struct need *need,
               bool out)
{
    uint64_t number = (uint64_t)(need - schedule->needs) * 2 + 1 + !out;
    struct SlChange change = {
        .client = 1 + need->operator_index,
        .request = number,
        .object = {.kind = SL_KIND_ZONE, .name = "ulaan-a"}};
    struct SlLabel *flag = &change.object.labels.items[0];

    if (schedule->policy == POLICY_HOLDS) {
        change.verb = out ? SL_VERB_HOLD : SL_VERB_RELEASE;
        snprintf(change.hold.key, sizeof(change.hold.key), "operator-%u",
                 need->operator_index);
        return change;
    }
    change.verb = SL_VERB_LABEL;
    change.object.labels.count = 1;
    snprintf(flag->key, sizeof(flag->key), "out");
    snprintf(flag->value, sizeof(flag->value), out ? "yes" : "no");
    if (!out && schedule->policy != POLICY_FLAG) {
        change.expected = need->accepted_version;
    }
    return change;
}

static void
request_zone_out(struct schedule *schedule, struct need *need)
{
    struct SlChange change = create_request(schedule, need, true);
    struct SlResult result;

    apply_change(schedule, &change, &result);
    if (result.status == SL_OK) {
        need->accepted = true;
        need->accepted_version = result.version;
    }
}

static void
request_zone_in(struct schedule *schedule, struct need *need, uint32_t tick)
{
    struct SlChange change = create_request(schedule, need, false);
    struct SlResult result;
    bool was_out = zone_is_out(schedule);

    apply_change(schedule, &change, &result);
    if (result.status == SL_CONFLICT &&
        schedule->policy == POLICY_FLAG_RETRY) {
        change.request += 1000;
        change.expected = result.object.modified;
        apply_change(schedule, &change, &result);
    }
    if (was_out && !zone_is_out(schedule) && is_needed_out(schedule, tick)) {
        schedule->wrong_returns++;
    }
}

static void
run_tick(struct schedule *schedule, uint32_t tick)
{
    for (uint32_t i = 0; i < OPERATORS * NEEDS_PER_OPERATOR; i++) {
        struct need *need = &schedule->needs[i];

        if (tick == need->out_tick || tick == need->out_resent_tick) {
            request_zone_out(schedule, need);
        }
        if (tick == need->in_tick || tick == need->in_resent_tick) {
            request_zone_in(schedule, need, tick);
        }
    }
    if (is_needed_out(schedule, tick)) {
        schedule->in_while_needed_ticks += !zone_is_out(schedule);
    }
    else {
        schedule->out_without_need_ticks += zone_is_out(schedule);
    }
}

static void
run_schedule(struct schedule *schedule, uint64_t seed)
{
    struct SlChange create = {
        .verb = SL_VERB_CREATE,
        .object = {.kind = SL_KIND_ZONE, .name = "ulaan-a"}};
    struct SlResult result;

    memset(schedule->needs, 0, sizeof(schedule->needs));
    schedule->config = SlConfig_Create();
    schedule->version = (struct SlVersion){.term = 1};
    draw_needs(schedule, seed);
    apply_change(schedule, &create, &result);
    for (uint32_t tick = 1; tick < SCHEDULE_TICKS + 2 * DELAY_TICKS; tick++) {
        run_tick(schedule, tick);
    }
    schedule->left_out += zone_is_out(schedule);
    SlConfig_Destroy(schedule->config);
}

int
main(void)
{
    for (uint32_t policy = 0; policy < POLICY_COUNT; policy++) {
        struct schedule schedule = {.policy = policy};
        const char *name = POLICY_NAMES[policy];

        for (uint64_t seed = 1; seed <= SCHEDULES; seed++) {
            run_schedule(&schedule, seed);
        }
        printf("%s_wrong_returns %" PRIu64 " returns\n", name,
               schedule.wrong_returns);
        printf("%s_in_while_needed_out %.3f ticks/schedule\n", name,
               (double)schedule.in_while_needed_ticks / SCHEDULES);
        printf("%s_out_without_need %.3f ticks/schedule\n", name,
               (double)schedule.out_without_need_ticks / SCHEDULES);
        printf("%s_left_out_at_end %" PRIu64 " schedules\n", name,
               schedule.left_out);
    }
    return 0;
}
