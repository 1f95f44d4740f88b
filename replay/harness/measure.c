/// The figures for which traces state bounds, and the same figures for hashing
/// without a flow table as baselines.

#include <string.h>

#include "simulation.h"

static uint64_t
mix_hash(uint64_t a, uint64_t b)
{
    uint64_t hash = (a + 1) * 0x9e3779b97f4a7c15ULL ^ (b + 1);

    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31);
}

/// Returns true when a balancer that follows the configuration sends new flows
/// of the service to the node.
static bool
accepts_flows(const struct SlSim *sim, uint32_t node, uint32_t service)
{
    const struct SlSimNode *agent = &sim->nodes[node];

    return agent->roles & SL_ROLE_AGENT &&
           agent->upstream.service == service && agent->upstream.alive &&
           sim->zone_out_us[agent->zone] == 0 && sim->drain_us[node] == 0;
}

void
SlSim_MeasureImbalance(struct SlSim *sim)
{
    for (uint32_t s = 0; s < sim->service_count; s++) {
        uint32_t max = 0;
        uint32_t count = 0;
        uint64_t sum = 0;

        for (uint32_t i = 0; i < sim->node_count; i++) {
            uint32_t open = sim->nodes[i].upstream.open_flows;

            if (accepts_flows(sim, i, s)) {
                max = open > max ? open : max;
                sum += open;
                count++;
            }
        }
        if (sum > 0) {
            double imbalance = (double)max * count / (double)sum;

            if (imbalance > sim->worst_imbalance[s]) {
                sim->worst_imbalance[s] = imbalance;
            }
        }
    }
}

static uint16_t
pick_modulo(const uint16_t *usable_nodes, uint32_t count, uint32_t flow)
{
    return count == 0 ? SIM_NODES_MAX
                      : usable_nodes[mix_hash(flow, 0) % count];
}

static uint16_t
pick_rendezvous(const uint16_t *usable_nodes, uint32_t count, uint32_t flow)
{
    uint16_t best = SIM_NODES_MAX;
    uint64_t max = 0;

    for (uint32_t i = 0; i < count; i++) {
        uint64_t score = mix_hash(flow, usable_nodes[i] + 1U);

        if (best == SIM_NODES_MAX || score > max) {
            best = usable_nodes[i];
            max = score;
        }
    }
    return best;
}

/// Moves a flow of a baseline to another node. A flow whose old node is in a
/// zone that is out counts as given up, not as broken.
static void
move_baseline_flow(struct SlSim *sim, uint16_t *current, uint16_t chosen,
                   uint64_t *broken)
{
    if (*current != SIM_NODES_MAX && *current != chosen &&
        sim->zone_out_us[sim->nodes[*current].zone] == 0) {
        (*broken)++;
    }
    *current = chosen;
}

void
SlSim_UpdateBaselines(struct SlSim *sim)
{
    for (uint32_t s = 0; s < sim->service_count; s++) {
        uint16_t usable_nodes[SIM_NODES_MAX];
        uint32_t count = 0;

        for (uint32_t i = 0; i < sim->node_count; i++) {
            if (accepts_flows(sim, i, s)) {
                usable_nodes[count++] = (uint16_t)i;
            }
        }
        for (uint32_t i = 0; i < sim->flow_count; i++) {
            struct SlSimFlow *flow = &sim->flows[i];

            if (flow->service == s && flow->forever) {
                move_baseline_flow(sim, &flow->modulo_node,
                                   pick_modulo(usable_nodes, count, i),
                                   &sim->counts.modulo_broken);
                move_baseline_flow(sim, &flow->rendezvous_node,
                                   pick_rendezvous(usable_nodes, count, i),
                                   &sim->counts.rendezvous_broken);
            }
        }
    }
}

/// Returns the mean number of answers in a window, over the windows from
/// `from` up to but without `to`.
static double
mean_served(const struct SlSim *sim, uint32_t from, uint32_t to)
{
    uint64_t sum = 0;

    for (uint32_t i = from; i < to; i++) {
        sum += sim->windows[i].served;
    }
    return to > from ? (double)sum / (to - from) : 0.0;
}

enum {
    /// Number of windows before the first step that give the reference, and
    /// number of successive windows that are compared with it.
    REFERENCE_WINDOWS = 30,
    NORMAL_WINDOWS = 5,
};

static const double NORMAL_SHARE = 0.95;

/// Returns true for steps other than new callers and the reset of the counts.
static bool
is_disturbance(const char *step)
{
    return strcmp(step, "flows") != 0 && strcmp(step, "clear") != 0;
}

static uint32_t
first_step_window(const struct SlSim *sim)
{
    uint32_t window = SIM_WINDOWS_MAX;

    for (uint32_t i = 0; i < sim->step_count; i++) {
        uint32_t step_window =
            (uint32_t)(sim->steps[i].time_us / SIM_WINDOW_US);

        if (is_disturbance(sim->steps[i].words[0]) && step_window < window) {
            window = step_window;
        }
    }
    return window;
}

static uint32_t
last_window(const struct SlSim *sim)
{
    uint64_t last = sim->settings.end_us / SIM_WINDOW_US;

    return last < SIM_WINDOWS_MAX ? (uint32_t)last : SIM_WINDOWS_MAX - 1;
}

/// The lowest number of answers in a window after the first step, as a share
/// of the reference.
static double
worst_window(const struct SlSim *sim)
{
    uint32_t first = first_step_window(sim);
    double reference;
    double worst = 1.0;

    if (first < REFERENCE_WINDOWS || first >= last_window(sim)) {
        return 1.0;
    }
    reference = mean_served(sim, first - REFERENCE_WINDOWS, first);
    for (uint32_t i = first; i + 1 < last_window(sim); i++) {
        double share =
            reference > 0 ? sim->windows[i].served / reference : 1.0;

        worst = share < worst ? share : worst;
    }
    return worst;
}

/// Returns the mean number of new requests in a window, over the windows from
/// `from` up to but without `to`.
static double
mean_requested(const struct SlSim *sim, uint32_t from, uint32_t to)
{
    uint64_t sum = 0;

    for (uint32_t i = from; i < to; i++) {
        sum += sim->windows[i].requested;
    }
    return to > from ? (double)sum / (to - from) : 0.0;
}

/// Returns true when the windows answered nearly all of their requests or,
/// where there were more requests than the reference, nearly the reference.
static bool
is_normal(const struct SlSim *sim, uint32_t from, uint32_t to,
          double reference)
{
    double requested = mean_requested(sim, from, to);
    double expected = requested < reference ? requested : reference;

    return mean_served(sim, from, to) >= NORMAL_SHARE * expected;
}

/// Seconds from the first step to the end of the last half second that was not
/// normal.
static double
back_to_normal_s(const struct SlSim *sim)
{
    uint32_t first = first_step_window(sim);
    double reference;
    double recovery_s = 0.0;

    if (first < REFERENCE_WINDOWS || first >= last_window(sim)) {
        return 0.0;
    }
    reference = mean_served(sim, first - REFERENCE_WINDOWS, first);
    for (uint32_t i = first; i + NORMAL_WINDOWS < last_window(sim); i++) {
        if (!is_normal(sim, i, i + NORMAL_WINDOWS, reference)) {
            recovery_s = (i + NORMAL_WINDOWS - first) / 10.0;
        }
    }
    return recovery_s;
}

static uint64_t
open_flows(const struct SlSim *sim)
{
    uint64_t open = 0;

    for (uint32_t i = 0; i < sim->node_count; i++) {
        open += sim->nodes[i].upstream.open_flows;
    }
    return open;
}

static uint64_t
established_flows(const struct SlSim *sim)
{
    uint64_t count = 0;

    for (uint32_t i = 0; i < sim->flow_count; i++) {
        count += sim->flows[i].established && sim->flows[i].state != FLOW_IDLE;
    }
    return count;
}

static uint64_t
max_table_bytes(const struct SlSim *sim)
{
    uint64_t max = 0;

    for (uint32_t i = 0; i < sim->node_count; i++) {
        struct SlAgentCounters counters = {0};

        if (sim->nodes[i].node != NULL &&
            sim->nodes[i].roles & SL_ROLE_AGENT) {
            SlAgent_Counters(SlNode_Agent(sim->nodes[i].node), &counters);
        }
        max = counters.table_bytes > max ? counters.table_bytes : max;
    }
    return max;
}

static double
worst_service_imbalance(const struct SlSim *sim)
{
    double worst = 0.0;

    for (uint32_t s = 0; s < sim->service_count; s++) {
        worst =
            sim->worst_imbalance[s] > worst ? sim->worst_imbalance[s] : worst;
    }
    return worst;
}

/// Returns the imbalance that rendezvous hashing alone gives for the same
/// flows.
static double
rendezvous_imbalance(const struct SlSim *sim)
{
    double worst = 0.0;

    for (uint32_t s = 0; s < sim->service_count; s++) {
        uint32_t flows[SIM_NODES_MAX + 1] = {0};
        uint32_t max = 0;
        uint32_t used = 0;
        uint64_t sum = 0;

        for (uint32_t i = 0; i < sim->flow_count; i++) {
            if (sim->flows[i].service == s) {
                flows[sim->flows[i].rendezvous_node]++;
            }
        }
        for (uint32_t i = 0; i < SIM_NODES_MAX; i++) {
            max = flows[i] > max ? flows[i] : max;
            sum += flows[i];
            used += flows[i] > 0;
        }
        if (sum > 0 && (double)max * used / (double)sum > worst) {
            worst = (double)max * used / (double)sum;
        }
    }
    return worst;
}

struct figure {
    const char *name;
    double value;
};

bool
SlSim_FindFigure(const struct SlSim *sim, const char *name, double *value)
{
    const struct SlSimCounts *counts = &sim->counts;
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
        {"imbalance", worst_service_imbalance(sim)},
        {"rendezvous_imbalance", rendezvous_imbalance(sim)},
        {"worst_window", worst_window(sim)},
        {"back_to_normal_s", back_to_normal_s(sim)},
        {"open", (double)open_flows(sim)},
        {"established", (double)established_flows(sim)},
        {"table_bytes", (double)max_table_bytes(sim)},
    };

    for (size_t i = 0; i < sizeof(figures) / sizeof(figures[0]); i++) {
        if (strcmp(figures[i].name, name) == 0) {
            *value = figures[i].value;
            return true;
        }
    }
    return false;
}
