#include "relay_cost.h"

#include <stdlib.h>

enum {
    /// Minimum number of upstreams whose work is known.
    MEASURED_MIN = 3,
    /// Maximum number of upstreams that are compared.
    CANDIDATES_MAX = 256,
    /// Median variation from which requests differ in their work, and that
    /// below which they no longer do.
    UNLIKE_PERCENT = 60,
    ALIKE_PERCENT = 40,
    /// Largest work at an upstream in tenths of the median, from which and
    /// below which the same holds.
    UNLIKE_TENTHS = 20,
    ALIKE_TENTHS = 16,
    TENTHS = 10,
    PERCENT = 100,
    /// Smaller differences do not matter to callers, and delays of the
    /// processes cause as much.
    DIFFERENCE_MIN_US = 10 * 1000,
    /// A flow that brings less is placed as one with a single request.
    DEMAND_MIN_PERMILLE = 2,
    /// Weights of the previous value and of all values in the moving average
    /// of a route's demand.
    AVERAGE_OLD_WEIGHT = 7,
    AVERAGE_TOTAL_WEIGHT = 8,
    PPM_PER_PERMILLE = 1000,
    ADDRESS_HASH_SEED = 0,
};

static int
compare_u32(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a;
    uint32_t y = *(const uint32_t *)b;

    return (x > y) - (x < y);
}

/// True when the work of the requests at an upstream typically varies by
/// enough.
static bool
varies(const struct SlServiceCost *cost)
{
    uint64_t variance = (uint64_t)cost->work_us * cost->work_us *
                        cost->variation_percent / PERCENT;

    return cost->variation_percent >=
               (cost->in_use ? ALIKE_PERCENT : UNLIKE_PERCENT) &&
           variance >= (uint64_t)DIFFERENCE_MIN_US * DIFFERENCE_MIN_US;
}

/// True when the work at the upstream with the most exceeds the median by
/// enough.
static bool
is_uneven(const struct SlServiceCost *cost, uint32_t max_work_us)
{
    return (uint64_t)max_work_us * TENTHS >=
               (uint64_t)cost->work_us *
                   (cost->in_use ? ALIKE_TENTHS : UNLIKE_TENTHS) &&
           max_work_us - cost->work_us >= DIFFERENCE_MIN_US;
}

void
SlServiceCost_Update(struct SlServiceCost *cost,
                     const struct SlCandidate *candidates, uint32_t count)
{
    uint32_t work_us[CANDIDATES_MAX];
    uint32_t variation[CANDIDATES_MAX];
    uint32_t demand[CANDIDATES_MAX];
    uint32_t measured = 0;
    uint32_t max_work_us;

    for (uint32_t i = 0; i < count && measured < CANDIDATES_MAX; i++) {
        if (candidates[i].accepts_flows && !candidates[i].is_probe &&
            candidates[i].load.work_us != 0) {
            work_us[measured] = candidates[i].load.work_us;
            variation[measured] = candidates[i].load.variation_percent;
            demand[measured++] =
                candidates[i].load.demand_permille /
                (candidates[i].load.slots != 0 ? candidates[i].load.slots : 1);
        }
    }
    if (measured < MEASURED_MIN) {
        cost->in_use = false;
        return;
    }
    qsort(work_us, measured, sizeof(*work_us), compare_u32);
    qsort(variation, measured, sizeof(*variation), compare_u32);
    qsort(demand, measured, sizeof(*demand), compare_u32);
    max_work_us = work_us[measured - 1];
    cost->work_us = work_us[measured / 2];
    cost->variation_percent = variation[measured / 2];
    cost->slot_demand_permille = demand[measured / 2];
    cost->in_use = varies(cost) || is_uneven(cost, max_work_us);
}

static uint32_t
route_index(const struct SlAddress *address)
{
    struct SlFlowKey route = {.service = *address};

    return (uint32_t)(SlFlowKey_Hash(&route, ADDRESS_HASH_SEED) %
                      SL_ROUTE_DEMANDS_MAX);
}

void
SlRouteDemands_Record(struct SlRouteDemands *demands,
                      const struct SlAddress *address,
                      const struct SlRelayLoad *load)
{
    struct SlRouteDemand *route = &demands->routes[route_index(address)];
    uint32_t demand_ppm = load->flow_demand_permille * PPM_PER_PERMILLE;

    if (load->work_us == 0) {
        return;
    }
    if (!SlAddress_Equal(&route->address, address)) {
        *route = (struct SlRouteDemand){.address = *address,
                                        .demand_ppm = demand_ppm};
        return;
    }
    route->demand_ppm = (route->demand_ppm * AVERAGE_OLD_WEIGHT + demand_ppm) /
                        AVERAGE_TOTAL_WEIGHT;
}

uint32_t
SlRouteDemands_Permille(const struct SlRouteDemands *demands,
                        const struct SlAddress *address)
{
    const struct SlRouteDemand *route = &demands->routes[route_index(address)];

    uint32_t demand_permille =
        (route->demand_ppm + PPM_PER_PERMILLE / 2) / PPM_PER_PERMILLE;

    return SlAddress_Equal(&route->address, address) &&
                   demand_permille >= DEMAND_MIN_PERMILLE
               ? demand_permille
               : 0;
}
