#ifndef SAVORYLEDGE_COORDINATION_RELAY_COST_H
#define SAVORYLEDGE_COORDINATION_RELAY_COST_H

/// What an entry knows of the cost of requests: for each service, whether its
/// requests differ in their work by as much as to place flows by it, and for
/// each route the demand that its flows bring.

#include "savoryledge/balance/placement.h"
#include "savoryledge/coordination/relay.h"

enum {
    SL_ROUTE_DEMANDS_MAX = 64,
};

/// The cost of the requests of one service.
struct SlServiceCost {
    /// Flows are placed by expected work, and whether that was reported.
    bool in_use;
    bool reported;
    /// Medians over the service's upstreams: the work of a request in
    /// microseconds, 0 while unknown, its squared coefficient of variation in
    /// percent, and the demand for each slot in thousandths.
    uint32_t work_us;
    uint32_t variation_percent;
    uint32_t slot_demand_permille;
};

/// The average demand of a flow by route, indexed by the hash of the route's
/// address. A route replaces another one with the same index. Zero-initialise
/// before use.
struct SlRouteDemands {
    struct SlRouteDemand {
        struct SlAddress address;
        uint32_t demand_ppm;
    } routes[SL_ROUTE_DEMANDS_MAX];
};

/// Compares the work at the candidates of one service and sets cost. Flows are
/// placed by expected work when the requests at an upstream typically vary
/// much in their work, or when one upstream takes far more work for a request
/// than the others.
void
SlServiceCost_Update(struct SlServiceCost *cost,
                     const struct SlCandidate *candidates, uint32_t count);

/// Records the demand of a flow in the answer to its offer.
void
SlRouteDemands_Record(struct SlRouteDemands *demands,
                      const struct SlAddress *address,
                      const struct SlRelayLoad *load);
/// Returns the demand that a flow of the route brings after its first request,
/// in thousandths of a slot; 0 when it is unknown or too small to matter.
uint32_t
SlRouteDemands_Permille(const struct SlRouteDemands *demands,
                        const struct SlAddress *address);

#endif
