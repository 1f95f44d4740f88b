#ifndef SAVORYLEDGE_STATE_PLAN_H
#define SAVORYLEDGE_STATE_PLAN_H

/// A plan: routes and services as a document tells them, laid out for
/// lookups. A route leads from an address to a service, or to several by
/// weight; an upstream belongs to the service that its agent announces with
/// the label "service".
///
/// Fill a plan with SlPlan_AddService and SlPlan_AddRoute, then call
/// SlPlan_Finish once; after that it never changes and is shared by
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

/// What may be repeated, and how much an answer carries.
enum SlTrafficKind {
    /// May run any number of times.
    SL_TRAFFIC_IDEMPOTENT = 0,
    /// May run once at most.
    SL_TRAFFIC_NON_IDEMPOTENT,
    /// Idempotent, with long answers.
    SL_TRAFFIC_DOWNLOAD,
};

struct SlPlanService {
    char name[SL_NAME_BYTES];
    /// Path of the health endpoint of its upstreams.
    char health_path[SL_PLAN_PATH_BYTES];
    /// Flows that one upstream holds at most.
    uint32_t capacity_flows;
    /// How long an upstream stays cold after its start, and the new flows a
    /// second that it bears until then.
    uint32_t cold_ms;
    uint32_t slow_start_flows_per_s;
};

struct SlPlanShare {
    /// Index of the service.
    uint32_t service_index;
    uint32_t weight;
};

struct SlPlanRoute {
    char name[SL_NAME_BYTES];
    struct SlAddress address;
    enum SlTrafficKind kind;
    /// Time that a request has, and the time within which it should be
    /// answered. Milliseconds.
    uint32_t timeout_ms;
    uint32_t objective_ms;
    /// 0 is the highest.
    uint32_t priority;
    uint32_t share_count;
    struct SlPlanShare shares[SL_PLAN_ROUTE_SHARES_MAX];
};

struct SlPlan;

/// Reads the documents of a site. One format for each kind of document.
struct SlPlanFormat {
    const char *name;
    /// Decodes and checks a document. The caller owns one reference.
    /// Errors: SL_MALFORMED, SL_INVALID (the message tells what is wrong),
    /// SL_NO_MEMORY.
    enum SlStatus (*decode)(const uint8_t *bytes, size_t length_bytes,
                            struct SlPlan **plan, struct SlError *error);
};

/// An empty plan under the document's version; NULL without memory.
struct SlPlan *
SlPlan_Create(uint64_t version);
/// NULL is allowed. Returns plan.
struct SlPlan *
SlPlan_Ref(struct SlPlan *plan);
/// NULL is allowed.
void
SlPlan_Unref(struct SlPlan *plan);

/// Errors: SL_INVALID (name empty or twice), SL_FULL, SL_NO_MEMORY.
enum SlStatus
SlPlan_AddService(struct SlPlan *plan, const struct SlPlanService *service,
                  struct SlError *error);
/// Errors: SL_INVALID (no address, no timeout, no share, a share of an
/// unknown service, no weight at all), SL_FULL, SL_NO_MEMORY.
enum SlStatus
SlPlan_AddRoute(struct SlPlan *plan, const struct SlPlanRoute *route,
                struct SlError *error);
/// How long a flow may be idle before it may be forgotten; 0 takes 60 s.
void
SlPlan_SetIdleMs(struct SlPlan *plan, uint32_t idle_ms);
/// Errors: SL_INVALID (two routes have one address).
enum SlStatus
SlPlan_Finish(struct SlPlan *plan, struct SlError *error);

uint64_t
SlPlan_Version(const struct SlPlan *plan);
uint32_t
SlPlan_IdleMs(const struct SlPlan *plan);
uint32_t
SlPlan_ServiceCount(const struct SlPlan *plan);
const struct SlPlanService *
SlPlan_ServiceAt(const struct SlPlan *plan, uint32_t index);
/// SL_PLAN_NO_SERVICE when there is none.
uint32_t
SlPlan_FindService(const struct SlPlan *plan, const char *name);
uint32_t
SlPlan_RouteCount(const struct SlPlan *plan);
const struct SlPlanRoute *
SlPlan_RouteAt(const struct SlPlan *plan, uint32_t index);
/// The route of an address and port, or NULL.
const struct SlPlanRoute *
SlPlan_FindRoute(const struct SlPlan *plan, const struct SlAddress *address);
/// The service that a flow over route goes to: by weight, from the flow's key
/// alone, so that every process chooses alike.
uint32_t
SlPlan_ChooseService(const struct SlPlanRoute *route,
                     const struct SlFlowKey *flow);
/// True when a flow over route may go to the service.
bool
SlPlan_RouteAllowsService(const struct SlPlanRoute *route, uint32_t service);

enum {
    SL_PLAN_NO_SERVICE = 0xffffffffu,
};

#endif
