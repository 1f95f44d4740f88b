/* Zones taken out by several operators for reasons of their own: keyed holds
 * against a plain flag, over the same schedules and the same state machine.
 * Prints NAME VALUE UNIT. */

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "savoryledge/state/config.h"

enum {
    SCHEDULES = 10000,
    OPERATORS = 3,
    NEEDS_PER_OPERATOR = 2,
    /// Length of a schedule, of one need and of a way to control; ticks.
    SCHEDULE_TICKS = 200,
    NEED_TICKS = 60,
    DELAY_TICKS = 4,
    /// Of 100 answers so many are lost, and the request is sent again.
    LOST_PERCENT = 10,
};

enum policy {
    /// Each operator holds and releases under its own key.
    POLICY_HOLDS,
    /// A flag, set and cleared without looking.
    POLICY_FLAG,
    /// Cleared by compare-and-set; after a conflict with the new version.
    POLICY_FLAG_RETRY,
    /// Cleared by compare-and-set; after a conflict not at all.
    POLICY_FLAG_GIVE_UP,
    POLICY_COUNT
};

static const char *const POLICY_NAMES[POLICY_COUNT] = {
    [POLICY_HOLDS] = "holds",
    [POLICY_FLAG] = "flag",
    [POLICY_FLAG_RETRY] = "flag_cas_retry",
    [POLICY_FLAG_GIVE_UP] = "flag_cas_give_up",
};

/// One span of time for which an operator needs the zone out.
struct need {
    uint32_t who;
    uint32_t from;
    uint32_t to;
    /// When the requests reach control.
    uint32_t out_at;
    uint32_t in_at;
    /// When the resends do; 0 none.
    uint32_t out_again_at;
    uint32_t in_again_at;
    /// Version that the operator saw with its own success.
    struct SlVersion seen;
    bool accepted;
};

struct schedule {
    enum policy policy;
    struct SlConfig *config;
    struct SlVersion version;
    struct need needs[OPERATORS * NEEDS_PER_OPERATOR];
    uint64_t wrong_returns;
    uint64_t wrong_ticks;
    uint64_t idle_out_ticks;
    uint64_t stuck;
};

static uint32_t
draw(uint64_t *state, uint32_t below)
{
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    return (uint32_t)((*state >> 16) % below);
}

/// The same for each policy: drawn from the seed alone.
static void
draw_needs(struct schedule *schedule, uint64_t seed)
{
    uint64_t state = seed * 0x9e3779b97f4a7c15u + 1;

    for (uint32_t i = 0; i < OPERATORS * NEEDS_PER_OPERATOR; i++) {
        struct need *need = &schedule->needs[i];
        uint32_t half = SCHEDULE_TICKS / NEEDS_PER_OPERATOR;
        uint32_t begin = i / OPERATORS * half;

        need->who = i % OPERATORS;
        need->from = 1 + begin + draw(&state, half - NEED_TICKS - 16);
        need->to = need->from + 8 + draw(&state, NEED_TICKS);
        need->out_at = need->from + draw(&state, DELAY_TICKS);
        need->in_at = need->to + draw(&state, DELAY_TICKS);
        if (draw(&state, 100) < LOST_PERCENT) {
            need->out_again_at = need->out_at + 1 + draw(&state, DELAY_TICKS);
        }
        if (draw(&state, 100) < LOST_PERCENT) {
            need->in_again_at = need->in_at + 1 + draw(&state, DELAY_TICKS);
        }
    }
}

static void
apply(struct schedule *schedule, const struct SlChange *change,
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

/// True when an operator whose request was accepted still needs the zone
/// out.
static bool
is_needed_out(const struct schedule *schedule, uint32_t tick)
{
    for (uint32_t i = 0; i < OPERATORS * NEEDS_PER_OPERATOR; i++) {
        const struct need *need = &schedule->needs[i];

        if (need->accepted && tick < need->to) {
            return true;
        }
    }
    return false;
}

/// The request of a need, out or in, as the policy words it. Its number is
/// the same when it is sent again.
static struct SlChange
request_of(const struct schedule *schedule, const struct need *need, bool out)
{
    uint64_t number = (uint64_t)(need - schedule->needs) * 2 + 1 + !out;
    struct SlChange change = {
        .client = 1 + need->who,
        .request = number,
        .object = {.kind = SL_KIND_ZONE, .name = "ulaan-a"}};
    struct SlLabel *flag = &change.object.labels.items[0];

    if (schedule->policy == POLICY_HOLDS) {
        change.verb = out ? SL_VERB_HOLD : SL_VERB_RELEASE;
        snprintf(change.hold.key, sizeof(change.hold.key), "operator-%u",
                 need->who);
        return change;
    }
    change.verb = SL_VERB_LABEL;
    change.object.labels.count = 1;
    snprintf(flag->key, sizeof(flag->key), "out");
    snprintf(flag->value, sizeof(flag->value), out ? "yes" : "no");
    if (!out && schedule->policy != POLICY_FLAG) {
        change.expected = need->seen;
    }
    return change;
}

static void
take_out(struct schedule *schedule, struct need *need)
{
    struct SlChange change = request_of(schedule, need, true);
    struct SlResult result;

    apply(schedule, &change, &result);
    if (result.status == SL_OK) {
        need->accepted = true;
        need->seen = result.version;
    }
}

static void
bring_in(struct schedule *schedule, struct need *need, uint32_t tick)
{
    struct SlChange change = request_of(schedule, need, false);
    struct SlResult result;
    bool was_out = zone_is_out(schedule);

    apply(schedule, &change, &result);
    if (result.status == SL_CONFLICT &&
        schedule->policy == POLICY_FLAG_RETRY) {
        change.request += 1000;
        change.expected = result.object.modified;
        apply(schedule, &change, &result);
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

        if (tick == need->out_at || tick == need->out_again_at) {
            take_out(schedule, need);
        }
        if (tick == need->in_at || tick == need->in_again_at) {
            bring_in(schedule, need, tick);
        }
    }
    if (is_needed_out(schedule, tick)) {
        schedule->wrong_ticks += !zone_is_out(schedule);
    }
    else {
        schedule->idle_out_ticks += zone_is_out(schedule);
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
    apply(schedule, &create, &result);
    for (uint32_t tick = 1; tick < SCHEDULE_TICKS + 2 * DELAY_TICKS; tick++) {
        run_tick(schedule, tick);
    }
    schedule->stuck += zone_is_out(schedule);
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
               (double)schedule.wrong_ticks / SCHEDULES);
        printf("%s_out_without_need %.3f ticks/schedule\n", name,
               (double)schedule.idle_out_ticks / SCHEDULES);
        printf("%s_left_out_at_end %" PRIu64 " schedules\n", name,
               schedule.stuck);
    }
    return 0;
}
