#ifndef SAVORYLEDGE_BALANCE_WORK_H
#define SAVORYLEDGE_BALANCE_WORK_H

/// What an agent learns of the work of requests at its upstream.
///
/// Load pattern: requests that look alike cost an upstream very different
/// amounts of work. Some routes cost more than others, a few requests of a
/// route take many times the usual work, upstreams differ in speed, and open
/// flows bring further requests at rates that differ by route.
///
/// Work is the time that a request occupies a slot: from the end of its body,
/// or from when a slot was free for it if that is later, to its answer. For
/// each route a histogram of the work of its latest requests is kept; older
/// ones lose weight. It tells the expected work of a request, and what is left
/// of one that is in progress: a request that is older than usual is one of
/// the heavy ones and takes longer still. When several requests in a row
/// differ clearly from those before, the upstream has changed its speed, and
/// the older ones are forgotten.
///
/// The demand of an upstream is the number of slots that its requests occupy
/// on average. A new flow raises it at once by what a flow of its route
/// usually brings, which then gives way to what it does bring; a flow that
/// ends takes as much away. So neither a flow that was just placed nor one
/// that asks more than others is missing.

#include <stdbool.h>
#include <stdint.h>

enum {
    /// Routes that are learned separately. Further ones share element 0.
    SL_WORK_ROUTES_MAX = 16,
    /// Bins of a histogram; each is half an octave wide.
    SL_WORK_BINS = 32,
};

struct SlWorkBin {
    uint32_t count;
    uint64_t sum_us;
};

/// The requests of one route.
struct SlWorkRoute {
    /// Hash of the route's address; 0 while unused.
    uint64_t id;
    /// Flows that are open now.
    uint32_t open_flows;
    /// Requests in bins, and the sum of their work.
    uint32_t count;
    uint64_t sum_us;
    struct SlWorkBin bins[SL_WORK_BINS];
    /// Added to counts when they are halved next: 0 or 1.
    uint32_t rounding;
    /// The latest requests in a row whose work was far below the average, and
    /// those whose work was far above it.
    struct SlWorkBin low;
    struct SlWorkBin high;
    /// Time for which flows were open, summed over the flows, and the requests
    /// that were not the first of their flow.
    uint64_t open_us;
    uint64_t repeat_count;
    /// When open_us was last brought up to date.
    uint64_t open_since_us;
};

/// Zero-initialise before use.
struct SlWork {
    struct SlWorkRoute routes[SL_WORK_ROUTES_MAX];
    /// Average work of a request and its squared coefficient of variation in
    /// percent, over all routes; 0 while too few requests are known.
    uint32_t mean_us;
    uint32_t variation_percent;
    /// Slots that first requests of flows, and further ones, occupy on
    /// average, in millionths, at updated_us.
    uint64_t first_demand_ppm;
    uint64_t further_demand_ppm;
    uint64_t updated_us;
    uint32_t samples;
    uint32_t since_update;
    /// How often older requests were forgotten since the process started.
    uint32_t forgotten;
};

/// Returns the element of a route, which is kept while a flow of the route is
/// open. A new route takes the place of the one that has been without flows
/// for longest, or shares element 0 when there is none. id: hash of its
/// address, not 0.
uint32_t
SlWork_RouteIndex(struct SlWork *work, uint64_t id);
/// Counts a flow that was admitted, and one that ended later.
void
SlWork_FlowOpened(struct SlWork *work, uint64_t now_us, uint32_t route);
void
SlWork_FlowClosed(struct SlWork *work, uint64_t now_us, uint32_t route);
/// Records the work of an answered request. repeated: it was not the first of
/// its flow.
void
SlWork_AddSample(struct SlWork *work, uint64_t now_us, uint32_t route,
                 uint64_t work_us, bool repeated);
/// Forgets what was learned of the work, but not which flows are open.
void
SlWork_Forget(struct SlWork *work);

/// Returns the expected work of a request of the route, microseconds.
uint64_t
SlWork_ExpectedUs(const struct SlWork *work, uint32_t route);
/// Returns the expected further work of a request that has been worked on for
/// age_us, microseconds.
uint64_t
SlWork_RemainingUs(const struct SlWork *work, uint32_t route, uint64_t age_us);
/// Returns the demand of all requests, in thousandths of a slot.
uint32_t
SlWork_DemandPermille(const struct SlWork *work, uint64_t now_us);
/// Returns the demand that one more flow of the route brings after its first
/// request, in thousandths of a slot.
uint32_t
SlWork_FlowDemandPermille(const struct SlWork *work, uint64_t now_us,
                          uint32_t route);
/// True when requests differ measurably in their work: much more than they
/// would if each took a random time around the same mean.
bool
SlWork_IsUnlike(const struct SlWork *work);

#endif
