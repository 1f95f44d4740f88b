/// Figures that traces state bounds for, and the baselines beside them.

#include <string.h>

#include "world.h"

static uint64_t
mix(uint64_t a, uint64_t b)
{
    uint64_t hash = (a + 1) * 0x9e3779b97f4a7c15ULL ^ (b + 1);

    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31);
}

/// True when a balancer that follows the configuration sends flows there.
static bool
takes_flows(const struct SlWorld *world, uint32_t node, uint32_t service)
{
    const struct SlWorldNode *agent = &world->nodes[node];

    return agent->roles & SL_ROLE_AGENT &&
           agent->upstream.service == service && agent->upstream.alive &&
           world->zone_out_us[agent->zone] == 0 && world->drain_us[node] == 0;
}

void
SlWorld_MeasureImbalance(struct SlWorld *world)
{
    for (uint32_t s = 0; s < world->service_count; s++) {
        uint32_t most = 0;
        uint32_t count = 0;
        uint64_t sum = 0;

        for (uint32_t i = 0; i < world->node_count; i++) {
            uint32_t open = world->nodes[i].upstream.open_flows;

            if (takes_flows(world, i, s)) {
                most = open > most ? open : most;
                sum += open;
                count++;
            }
        }
        if (sum > 0) {
            double imbalance = (double)most * count / (double)sum;

            if (imbalance > world->worst_imbalance[s]) {
                world->worst_imbalance[s] = imbalance;
            }
        }
    }
}

static uint16_t
pick_modulo(const uint16_t *usable, uint32_t count, uint32_t flow)
{
    return count == 0 ? WORLD_NODES_MAX : usable[mix(flow, 0) % count];
}

static uint16_t
pick_rendezvous(const uint16_t *usable, uint32_t count, uint32_t flow)
{
    uint16_t best = WORLD_NODES_MAX;
    uint64_t most = 0;

    for (uint32_t i = 0; i < count; i++) {
        uint64_t score = mix(flow, usable[i] + 1U);

        if (best == WORLD_NODES_MAX || score > most) {
            best = usable[i];
            most = score;
        }
    }
    return best;
}

/// A flow whose old place is in a zone that is out is given up, not broken.
static void
move(struct SlWorld *world, uint16_t *place, uint16_t now, uint64_t *broken)
{
    if (*place != WORLD_NODES_MAX && *place != now &&
        world->zone_out_us[world->nodes[*place].zone] == 0) {
        (*broken)++;
    }
    *place = now;
}

void
SlWorld_MoveBaselines(struct SlWorld *world)
{
    for (uint32_t s = 0; s < world->service_count; s++) {
        uint16_t usable[WORLD_NODES_MAX];
        uint32_t count = 0;

        for (uint32_t i = 0; i < world->node_count; i++) {
            if (takes_flows(world, i, s)) {
                usable[count++] = (uint16_t)i;
            }
        }
        for (uint32_t i = 0; i < world->flow_count; i++) {
            struct SlWorldFlow *flow = &world->flows[i];

            if (flow->service == s && flow->forever) {
                move(world, &flow->modulo, pick_modulo(usable, count, i),
                     &world->counts.modulo_broken);
                move(world, &flow->rendezvous,
                     pick_rendezvous(usable, count, i),
                     &world->counts.rendezvous_broken);
            }
        }
    }
}

/// Mean answers in a window before the first operation's time.
static double
usual_served(const struct SlWorld *world, uint32_t from, uint32_t to)
{
    uint64_t sum = 0;

    for (uint32_t i = from; i < to; i++) {
        sum += world->windows[i].served;
    }
    return to > from ? (double)sum / (to - from) : 0.0;
}

enum {
    /// Windows before the first step that count as usual, and windows in a
    /// row that count as normal again.
    USUAL_WINDOWS = 30,
    NORMAL_WINDOWS = 5,
};

static const double NORMAL_PART = 0.95;

/// True for steps other than new callers and the reset of the counts.
static bool
is_disturbance(const char *step)
{
    return strcmp(step, "flows") != 0 && strcmp(step, "clear") != 0;
}

static uint32_t
first_step_window(const struct SlWorld *world)
{
    uint32_t window = WORLD_WINDOWS_MAX;

    for (uint32_t i = 0; i < world->step_count; i++) {
        uint32_t at = (uint32_t)(world->steps[i].time_us / WORLD_WINDOW_US);

        if (is_disturbance(world->steps[i].words[0]) && at < window) {
            window = at;
        }
    }
    return window;
}

static uint32_t
last_window(const struct SlWorld *world)
{
    uint64_t last = world->settings.end_us / WORLD_WINDOW_US;

    return last < WORLD_WINDOWS_MAX ? (uint32_t)last : WORLD_WINDOWS_MAX - 1;
}

/// The least served window after the first step, as a part of the usual.
static double
worst_window(const struct SlWorld *world)
{
    uint32_t first = first_step_window(world);
    double usual;
    double worst = 1.0;

    if (first < USUAL_WINDOWS || first >= last_window(world)) {
        return 1.0;
    }
    usual = usual_served(world, first - USUAL_WINDOWS, first);
    for (uint32_t i = first; i + 1 < last_window(world); i++) {
        double part = usual > 0 ? world->windows[i].served / usual : 1.0;

        worst = part < worst ? part : worst;
    }
    return worst;
}

/// Requests wanted in a row of windows, on average.
static double
asked_in(const struct SlWorld *world, uint32_t from, uint32_t to)
{
    uint64_t sum = 0;

    for (uint32_t i = from; i < to; i++) {
        sum += world->windows[i].asked;
    }
    return to > from ? (double)sum / (to - from) : 0.0;
}

/// True when the windows served nearly all that was asked in them or, where
/// more than usual was asked, nearly the usual.
static bool
is_normal(const struct SlWorld *world, uint32_t from, uint32_t to,
          double usual)
{
    double asked = asked_in(world, from, to);
    double due = asked < usual ? asked : usual;

    return usual_served(world, from, to) >= NORMAL_PART * due;
}

/// Seconds from the first step to the last half second that was not normal.
static double
back_to_normal_s(const struct SlWorld *world)
{
    uint32_t first = first_step_window(world);
    double usual;
    double back_s = 0.0;

    if (first < USUAL_WINDOWS || first >= last_window(world)) {
        return 0.0;
    }
    usual = usual_served(world, first - USUAL_WINDOWS, first);
    for (uint32_t i = first; i + NORMAL_WINDOWS < last_window(world); i++) {
        if (!is_normal(world, i, i + NORMAL_WINDOWS, usual)) {
            back_s = (i + NORMAL_WINDOWS - first) / 10.0;
        }
    }
    return back_s;
}

static uint64_t
open_flows(const struct SlWorld *world)
{
    uint64_t open = 0;

    for (uint32_t i = 0; i < world->node_count; i++) {
        open += world->nodes[i].upstream.open_flows;
    }
    return open;
}

static uint64_t
established_flows(const struct SlWorld *world)
{
    uint64_t count = 0;

    for (uint32_t i = 0; i < world->flow_count; i++) {
        count +=
            world->flows[i].established && world->flows[i].state != FLOW_IDLE;
    }
    return count;
}

static uint64_t
table_bytes(const struct SlWorld *world)
{
    uint64_t most = 0;

    for (uint32_t i = 0; i < world->node_count; i++) {
        struct SlAgentCounters counters = {0};

        if (world->nodes[i].node != NULL &&
            world->nodes[i].roles & SL_ROLE_AGENT) {
            SlAgent_Counters(SlNode_Agent(world->nodes[i].node), &counters);
        }
        most = counters.table_bytes > most ? counters.table_bytes : most;
    }
    return most;
}

static double
worst_of(const struct SlWorld *world)
{
    double worst = 0.0;

    for (uint32_t s = 0; s < world->service_count; s++) {
        worst = world->worst_imbalance[s] > worst ? world->worst_imbalance[s]
                                                  : worst;
    }
    return worst;
}

/// The imbalance that rendezvous hashing alone gives for the same flows.
static double
rendezvous_imbalance(const struct SlWorld *world)
{
    double worst = 0.0;

    for (uint32_t s = 0; s < world->service_count; s++) {
        uint32_t flows[WORLD_NODES_MAX + 1] = {0};
        uint32_t most = 0;
        uint32_t used = 0;
        uint64_t sum = 0;

        for (uint32_t i = 0; i < world->flow_count; i++) {
            if (world->flows[i].service == s) {
                flows[world->flows[i].rendezvous]++;
            }
        }
        for (uint32_t i = 0; i < WORLD_NODES_MAX; i++) {
            most = flows[i] > most ? flows[i] : most;
            sum += flows[i];
            used += flows[i] > 0;
        }
        if (sum > 0 && (double)most * used / (double)sum > worst) {
            worst = (double)most * used / (double)sum;
        }
    }
    return worst;
}

struct figure {
    const char *name;
    double value;
};

bool
SlWorld_Figure(const struct SlWorld *world, const char *name, double *value)
{
    const struct SlWorldCounts *counts = &world->counts;
    const struct figure figures[] = {
        {"flows", (double)counts->flows},
        {"answers", (double)counts->answers},
        {"broken", (double)counts->broken},
        {"given_up", (double)counts->given_up},
        {"lost_upstream", (double)counts->lost_upstream},
        {"refused", (double)counts->refused},
        {"timed_out", (double)counts->timed_out},
        {"resends", (double)counts->resends},
        {"cross", (double)counts->cross},
        {"double_start", (double)counts->double_start},
        {"double_run", (double)counts->double_run},
        {"stray", (double)counts->stray},
        {"successor", (double)counts->successor},
        {"over_capacity", (double)counts->over_capacity},
        {"zone_late", (double)counts->zone_late},
        {"zone_silent_s", (double)counts->zone_silent_us / 1e6},
        {"drain_late", (double)counts->drain_late},
        {"flood_delivered", (double)counts->flood_delivered},
        {"changes", (double)counts->changes},
        {"changes_refused", (double)counts->changes_refused},
        {"modulo_broken", (double)counts->modulo_broken},
        {"rendezvous_broken", (double)counts->rendezvous_broken},
        {"in_force_s", (double)counts->in_force_us / 1e6},
        {"silent_found", (double)counts->silent_found},
        {"silent_reset", (double)counts->silent_reset},
        {"imbalance", worst_of(world)},
        {"rendezvous_imbalance", rendezvous_imbalance(world)},
        {"worst_window", worst_window(world)},
        {"back_to_normal_s", back_to_normal_s(world)},
        {"open", (double)open_flows(world)},
        {"established", (double)established_flows(world)},
        {"table_bytes", (double)table_bytes(world)},
    };

    for (size_t i = 0; i < sizeof(figures) / sizeof(figures[0]); i++) {
        if (strcmp(figures[i].name, name) == 0) {
            *value = figures[i].value;
            return true;
        }
    }
    return false;
}
