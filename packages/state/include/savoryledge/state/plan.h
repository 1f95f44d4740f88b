#ifndef SAVORYLEDGE_STATE_PLAN_H
#define SAVORYLEDGE_STATE_PLAN_H

/// A plan: the routes and services of a configuration document, indexed for
/// lookups. A route maps an address to one service, or to several services by
/// weight. An upstream belongs to the service that its agent announces in the
/// label "service".
///
/// Add services and routes with SlPlan_AddService and SlPlan_AddRoute, then
/// call SlPlan_Finish once. A finished plan is immutable and shared by
/// reference count.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "savoryledge/common/address.h"
#include "savoryledge/state/object.h"

enum {
    SL_PLAN_ROUTE_SHARES_MAX = 8,
    SL_PLAN_SERVICES_MAX = 1024,
    SL_PLAN_ROUTES_MAX = 16384,
    SL_PLAN_WEIGHT_MAX = 1000000,
    SL_PLAN_PATH_BYTES = 96,
};

/// Whether the requests of a route may be repeated, and whether the requests
/// or the answers are long.
enum SlTrafficKind {
    /// A request may be executed any number of times.
    SL_TRAFFIC_IDEMPOTENT = 0,
    /// A request may be executed at most once.
    SL_TRAFFIC_NON_IDEMPOTENT,
    /// Requests are idempotent and have long answers.
    SL_TRAFFIC_DOWNLOAD,
    /// Requests may be executed at most once and have long bodies.
    SL_TRAFFIC_UPLOAD,
};

struct SlPlanService {
    char name[SL_NAME_BYTES];
    /// HTTP path of the endpoint at which the service's upstreams answer
    /// health checks.
    char health_path[SL_PLAN_PATH_BYTES];
    /// Maximum number of open flows of one upstream.
    uint32_t capacity_flows;
    /// How long an upstream counts as cold after its start, and the number of
    /// new flows per second that a cold upstream gets (slow-start rate).
    uint32_t cold_ms;
    uint32_t slow_start_flows_per_s;
};

/// The share of a route's flows that one service gets.
struct SlPlanShare {
    /// Index of the service in the plan.
    uint32_t service_index;
    /// Weight of the service relative to the other shares of the route.
    uint32_t weight;
};

struct SlPlanRoute {
    char name[SL_NAME_BYTES];
    struct SlAddress address;
    enum SlTrafficKind kind;
    /// Time after which a request without an answer fails; not 0.
    uint32_t timeout_ms;
    /// Time within which requests should be answered (service level
    /// objective).
    uint32_t objective_ms;
    /// Priority of the route's requests; 0 is the highest.
    uint32_t priority;
    uint32_t share_count;
    struct SlPlanShare shares[SL_PLAN_ROUTE_SHARES_MAX];
};

struct SlPlan;

/// Decoder for one site-specific format of configuration documents.
struct SlPlanFormat {
    const char *name;
    /// Decodes and validates a document. The caller owns one reference to
    /// the plan.
    /// Errors: SL_MALFORMED, SL_INVALID (error has the cause), SL_NO_MEMORY.
    enum SlStatus (*decode)(const uint8_t *bytes, size_t length_bytes,
                            struct SlPlan **plan, struct SlError *error);
};

/// Creates an empty plan with the version of its configuration document.
/// Returns NULL when memory runs out. The caller owns one reference.
struct SlPlan *
SlPlan_Create(uint64_t version);
/// Takes a reference to the plan and returns the plan. plan may be NULL.
struct SlPlan *
SlPlan_Ref(struct SlPlan *plan);
/// Drops a reference to the plan and frees the plan with its last reference.
/// plan may be NULL.
void
SlPlan_Unref(struct SlPlan *plan);

/// Adds a copy of a service to the plan.
/// Errors: SL_INVALID (empty or repeated name), SL_FULL
/// (SL_PLAN_SERVICES_MAX services), SL_NO_MEMORY.
enum SlStatus
SlPlan_AddService(struct SlPlan *plan, const struct SlPlanService *service,
                  struct SlError *error);
/// Adds a copy of a route to the plan. The services of the route must have
/// been added before. Errors: SL_INVALID (no address, no timeout, no share, a
/// share of an unknown service, or a total weight of 0), SL_FULL
/// (SL_PLAN_ROUTES_MAX routes), SL_NO_MEMORY.
enum SlStatus
SlPlan_AddRoute(struct SlPlan *plan, const struct SlPlanRoute *route,
                struct SlError *error);
/// Sets the idle time after which a flow may be removed from flow tables.
///
/// idle_ms: the idle time; 0 leaves the current value. The default is 60 s.
void
SlPlan_SetIdleMs(struct SlPlan *plan, uint32_t idle_ms);
/// Sorts the routes for lookups. No service or route may be added afterwards.
/// Errors: SL_INVALID (two routes have the same address and port).
enum SlStatus
SlPlan_Finish(struct SlPlan *plan, struct SlError *error);

/// Returns the version of the document that the plan was decoded from.
uint64_t
SlPlan_Version(const struct SlPlan *plan);
uint32_t
SlPlan_IdleMs(const struct SlPlan *plan);
uint32_t
SlPlan_ServiceCount(const struct SlPlan *plan);
/// Returns the service at index, 0 to SlPlan_ServiceCount - 1, in the order
/// in which services were added. Borrowed from the plan.
const struct SlPlanService *
SlPlan_ServiceAt(const struct SlPlan *plan, uint32_t index);
/// Returns the index of the service with this name, or SL_PLAN_NO_SERVICE when
/// there is none.
uint32_t
SlPlan_FindService(const struct SlPlan *plan, const char *name);
uint32_t
SlPlan_RouteCount(const struct SlPlan *plan);
/// Returns the route at index, 0 to SlPlan_RouteCount - 1, sorted by address
/// once the plan is finished. Borrowed from the plan.
const struct SlPlanRoute *
SlPlan_RouteAt(const struct SlPlan *plan, uint32_t index);
/// Returns the route of an address and port, or NULL when there is none.
const struct SlPlanRoute *
SlPlan_FindRoute(const struct SlPlan *plan, const struct SlAddress *address);
/// Chooses the service for a flow by the weights of the route. The choice
/// depends only on the route and the flow's key, so that every process makes
/// the same one. Returns the index of the service.
uint32_t
SlPlan_ChooseService(const struct SlPlanRoute *route,
                     const struct SlFlowKey *flow);
/// Returns true when the route sends flows to the service: it has a share
/// with a weight above 0.
///
/// service: index of the service in the plan.
bool
SlPlan_RouteAllowsService(const struct SlPlanRoute *route, uint32_t service);

enum {
    /// Index that SlPlan_FindService returns for an unknown service name.
    SL_PLAN_NO_SERVICE = 0xffffffffu,
};

#endif
