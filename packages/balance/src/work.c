#include "savoryledge/balance/work.h"

enum {
    /// Lower bound of bin 1; all shorter requests are in bin 0.
    BIN_FIRST_US = 256,
    /// Longest work that is recorded.
    WORK_MAX_US = 16 * 1000 * 1000,
    /// Requests after which the weight of those before is halved.
    COUNT_MAX = 256,
    /// Requests of a route from which its own histogram is used.
    COUNT_MIN = 4,
    /// Expected work before anything was learned.
    INITIAL_WORK_US = 30 * 1000,
    /// Requests in a row, far below or far above the average of at least
    /// CHANGE_COUNT_MIN others, after which the upstream has changed its
    /// speed. Requests of one speed hardly ever come in such rows, even if
    /// they are distributed exponentially.
    CHANGE_FACTOR = 3,
    CHANGE_COUNT_MIN = 16,
    LOW_ROW = 8,
    HIGH_ROW = 4,
    /// Samples after which the average over all routes is computed again.
    UPDATE_COUNT = 8,
    /// Samples from which the variation is known, and that at which requests
    /// are unlike. Requests whose work is spread by half around one mean have
    /// about 25 to 30 percent, exponentially distributed ones 100.
    UNLIKE_COUNT_MIN = 64,
    UNLIKE_PERCENT = 60,
    PERCENT = 100,
    /// Times over which the demand of first and of further requests is
    /// averaged.
    FIRST_DEMAND_US = 4 * 1000 * 1000,
    FURTHER_DEMAND_US = 8 * 1000 * 1000,
    PPM = 1000 * 1000,
    PPM_PER_PERMILLE = 1000,
    PERMILLE = 1000,
    /// Observation of open flows that is kept, and that from which the rate of
    /// their requests is known.
    OPEN_MAX_US = 400 * 1000 * 1000,
    OPEN_MIN_US = 4 * 1000 * 1000,
};

/// Returns the bin of an amount of work. Bounds alternate by 3/2 and 4/3.
static uint32_t
bin_of(uint64_t work_us)
{
    uint64_t bound_us = BIN_FIRST_US;
    uint32_t bin = 0;

    while (bin + 1 < SL_WORK_BINS && work_us >= bound_us) {
        bin++;
        bound_us = bin % 2 == 1 ? bound_us * 3 / 2 : bound_us * 4 / 3;
    }
    return bin;
}

static uint64_t
decayed_ppm(uint64_t ppm, uint64_t passed_us, uint64_t average_us)
{
    return passed_us >= average_us ? 0 : ppm - ppm * passed_us / average_us;
}

static uint64_t
passed_since_update(const struct SlWork *work, uint64_t now_us)
{
    return now_us > work->updated_us ? now_us - work->updated_us : 0;
}

static void
update_demand(struct SlWork *work, uint64_t now_us)
{
    uint64_t passed_us = passed_since_update(work, now_us);

    work->first_demand_ppm =
        decayed_ppm(work->first_demand_ppm, passed_us, FIRST_DEMAND_US);
    work->further_demand_ppm =
        decayed_ppm(work->further_demand_ppm, passed_us, FURTHER_DEMAND_US);
    work->updated_us += passed_us;
}

static void
update_open_time(struct SlWorkRoute *route, uint64_t now_us)
{
    if (now_us > route->open_since_us) {
        route->open_us += (now_us - route->open_since_us) * route->open_flows;
        route->open_since_us = now_us;
    }
    if (route->open_us > OPEN_MAX_US) {
        route->open_us /= 2;
        route->repeat_count /= 2;
    }
}

uint32_t
SlWork_RouteIndex(struct SlWork *work, uint64_t id)
{
    uint32_t oldest = 0;

    for (uint32_t i = 1; i < SL_WORK_ROUTES_MAX; i++) {
        const struct SlWorkRoute *route = &work->routes[i];

        if (route->id == id) {
            return i;
        }
        if (route->open_flows == 0 &&
            (oldest == 0 ||
             route->open_since_us < work->routes[oldest].open_since_us)) {
            oldest = i;
        }
    }
    if (oldest != 0) {
        work->routes[oldest] = (struct SlWorkRoute){.id = id};
    }
    return oldest;
}

void
SlWork_FlowOpened(struct SlWork *work, uint64_t now_us, uint32_t route)
{
    uint64_t demand = SlWork_FlowDemandPermille(work, now_us, route);

    update_open_time(&work->routes[route], now_us);
    work->routes[route].open_flows++;
    update_demand(work, now_us);
    /* What the flow usually brings gives way to what it brings at the same
       rate at which that is averaged. */
    work->further_demand_ppm += demand * PPM_PER_PERMILLE;
}

void
SlWork_FlowClosed(struct SlWork *work, uint64_t now_us, uint32_t route)
{
    uint64_t demand_ppm =
        (uint64_t)SlWork_FlowDemandPermille(work, now_us, route) *
        PPM_PER_PERMILLE;

    update_open_time(&work->routes[route], now_us);
    if (work->routes[route].open_flows > 0) {
        work->routes[route].open_flows--;
    }
    update_demand(work, now_us);
    work->further_demand_ppm -= demand_ppm < work->further_demand_ppm
                                    ? demand_ppm
                                    : work->further_demand_ppm;
}

static void
clear_histogram(struct SlWorkRoute *route)
{
    for (uint32_t i = 0; i < SL_WORK_BINS; i++) {
        route->bins[i] = (struct SlWorkBin){.count = 0};
    }
    route->count = 0;
    route->sum_us = 0;
}

static void
halve_histogram(struct SlWorkRoute *route)
{
    route->rounding = 1 - route->rounding;
    route->count = 0;
    route->sum_us = 0;
    for (uint32_t i = 0; i < SL_WORK_BINS; i++) {
        struct SlWorkBin *bin = &route->bins[i];
        uint32_t count = (bin->count + route->rounding) / 2;

        /* The average of the bin is kept. Odd counts are rounded up every
           other time, so that rare requests neither vanish nor stay. */
        bin->sum_us = bin->count != 0 ? bin->sum_us * count / bin->count : 0;
        bin->count = count;
        route->count += bin->count;
        route->sum_us += bin->sum_us;
    }
}

/// Counts a request in a row of similar ones, or ends the row.
static void
follow_row(struct SlWorkBin *row, bool belongs, uint64_t work_us)
{
    if (!belongs) {
        *row = (struct SlWorkBin){.count = 0};
        return;
    }
    row->count++;
    row->sum_us += work_us;
}

static void
restart_histogram(struct SlWorkRoute *route, const struct SlWorkBin *row)
{
    uint64_t count = row->count;
    uint64_t sum_us = row->sum_us;

    clear_histogram(route);
    route->count = (uint32_t)count;
    route->sum_us = sum_us;
    route->bins[bin_of(sum_us / count)] = *row;
    route->low = (struct SlWorkBin){.count = 0};
    route->high = (struct SlWorkBin){.count = 0};
}

/// Forgets the earlier requests of a route when the latest ones in a row
/// differ clearly from them. Returns true then.
static bool
check_change(struct SlWorkRoute *route, uint64_t work_us)
{
    uint64_t usual_us = route->count != 0 ? route->sum_us / route->count : 0;
    bool is_known = route->count >= CHANGE_COUNT_MIN;

    follow_row(&route->low, is_known && work_us * CHANGE_FACTOR < usual_us,
               work_us);
    follow_row(&route->high, is_known && work_us > usual_us * CHANGE_FACTOR,
               work_us);
    if (route->low.count >= LOW_ROW) {
        restart_histogram(route, &route->low);
        return true;
    }
    if (route->high.count >= HIGH_ROW) {
        restart_histogram(route, &route->high);
        return true;
    }
    return false;
}

/// Computes the average and the variation over all routes. Within a bin all
/// requests are taken to have its average.
static void
update_variation(struct SlWork *work)
{
    uint64_t count = 0;
    uint64_t sum_us = 0;
    uint64_t squares = 0;
    uint64_t square_of_mean;

    for (uint32_t i = 0; i < SL_WORK_ROUTES_MAX; i++) {
        count += work->routes[i].count;
        sum_us += work->routes[i].sum_us;
        for (uint32_t j = 0; j < SL_WORK_BINS; j++) {
            const struct SlWorkBin *bin = &work->routes[i].bins[j];
            uint64_t mean_us = bin->count != 0 ? bin->sum_us / bin->count : 0;

            squares += mean_us * mean_us * bin->count;
        }
    }
    work->samples = (uint32_t)count;
    work->mean_us = count >= COUNT_MIN ? (uint32_t)(sum_us / count) : 0;
    square_of_mean = (uint64_t)work->mean_us * work->mean_us;
    work->variation_percent = 0;
    if (count >= UNLIKE_COUNT_MIN && square_of_mean != 0 &&
        squares / count > square_of_mean) {
        work->variation_percent =
            (uint32_t)((squares / count - square_of_mean) * PERCENT /
                       square_of_mean);
    }
}

void
SlWork_AddSample(struct SlWork *work, uint64_t now_us, uint32_t route_index,
                 uint64_t work_us, bool repeated)
{
    struct SlWorkRoute *route = &work->routes[route_index];
    bool changed;
    uint32_t bin;

    work_us = work_us < WORK_MAX_US ? work_us : WORK_MAX_US;
    bin = bin_of(work_us);
    update_demand(work, now_us);
    if (repeated) {
        work->further_demand_ppm += work_us * PPM / FURTHER_DEMAND_US;
    }
    else {
        work->first_demand_ppm += work_us * PPM / FIRST_DEMAND_US;
    }
    update_open_time(route, now_us);
    route->repeat_count += repeated;
    changed = check_change(route, work_us);
    if (changed) {
        work->forgotten++;
    }
    else {
        route->bins[bin].count++;
        route->bins[bin].sum_us += work_us;
        route->count++;
        route->sum_us += work_us;
    }
    if (route->count >= COUNT_MAX) {
        halve_histogram(route);
    }
    if (changed || work->samples < UNLIKE_COUNT_MIN ||
        ++work->since_update >= UPDATE_COUNT) {
        work->since_update = 0;
        update_variation(work);
    }
}

void
SlWork_Forget(struct SlWork *work)
{
    for (uint32_t i = 0; i < SL_WORK_ROUTES_MAX; i++) {
        struct SlWorkRoute *route = &work->routes[i];

        clear_histogram(route);
        route->low = (struct SlWorkBin){.count = 0};
        route->high = (struct SlWorkBin){.count = 0};
    }
    work->mean_us = 0;
    work->variation_percent = 0;
    work->samples = 0;
    work->first_demand_ppm = 0;
    work->further_demand_ppm = 0;
    work->forgotten++;
}

uint64_t
SlWork_ExpectedUs(const struct SlWork *work, uint32_t route_index)
{
    const struct SlWorkRoute *route = &work->routes[route_index];

    if (route->count >= COUNT_MIN) {
        return route->sum_us / route->count;
    }
    return work->mean_us != 0 ? work->mean_us : INITIAL_WORK_US;
}

uint64_t
SlWork_RemainingUs(const struct SlWork *work, uint32_t route_index,
                   uint64_t age_us)
{
    const struct SlWorkRoute *route = &work->routes[route_index];
    uint64_t count = 0;
    uint64_t sum_us = 0;
    uint64_t expected_us = SlWork_ExpectedUs(work, route_index);

    if (age_us == 0) {
        return expected_us;
    }
    for (uint32_t i = bin_of(age_us);
         route->count >= COUNT_MIN && i < SL_WORK_BINS; i++) {
        const struct SlWorkBin *bin = &route->bins[i];

        if (bin->count != 0 && bin->sum_us / bin->count > age_us) {
            count += bin->count;
            sum_us += bin->sum_us - (uint64_t)bin->count * age_us;
        }
    }
    if (count != 0) {
        return sum_us / count;
    }
    /* Longer than any that is remembered: as much as half of what it has taken
       is expected to remain. */
    return age_us < expected_us ? expected_us - age_us : age_us / 2;
}

uint32_t
SlWork_DemandPermille(const struct SlWork *work, uint64_t now_us)
{
    uint64_t passed_us = passed_since_update(work, now_us);
    uint64_t further_ppm =
        decayed_ppm(work->further_demand_ppm, passed_us, FURTHER_DEMAND_US);
    uint64_t first_ppm =
        decayed_ppm(work->first_demand_ppm, passed_us, FIRST_DEMAND_US);

    return (uint32_t)((further_ppm + first_ppm) / PPM_PER_PERMILLE);
}

uint32_t
SlWork_FlowDemandPermille(const struct SlWork *work, uint64_t now_us,
                          uint32_t route_index)
{
    const struct SlWorkRoute *route = &work->routes[route_index];
    uint64_t open_us = route->open_us;

    if (now_us > route->open_since_us) {
        open_us += (now_us - route->open_since_us) * route->open_flows;
    }
    if (open_us < OPEN_MIN_US) {
        return 0;
    }
    return (uint32_t)(route->repeat_count *
                      SlWork_ExpectedUs(work, route_index) * PERMILLE /
                      open_us);
}

bool
SlWork_IsUnlike(const struct SlWork *work)
{
    return work->variation_percent >= UNLIKE_PERCENT;
}
