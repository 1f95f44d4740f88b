#include "savoryledge/state/plan.h"

#include <assert.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

enum {
    INITIAL_CAPACITY = 16,
    DEFAULT_IDLE_MS = 60 * 1000,
    /// Seed of the hash that distributes flows among services by weight. A
    /// seed of its own keeps this hash independent of the hashes of flow
    /// tables and routing tables.
    WEIGHT_SEED = 0x77656967,
    /// Size of the hash table of services, at most half of which is used.
    SERVICE_SLOTS = 2 * SL_PLAN_SERVICES_MAX,
};

struct SlPlan {
    atomic_uint reference_count;
    uint64_t version;
    uint32_t idle_ms;
    uint32_t service_count;
    uint32_t service_capacity;
    struct SlPlanService *services;
    /// Hash table of the services by name. A slot contains the index of a
    /// service plus 1, or 0 when it is empty.
    uint16_t service_slots[SERVICE_SLOTS];
    uint32_t route_count;
    uint32_t route_capacity;
    /// The routes, sorted by address once the plan is finished.
    struct SlPlanRoute *routes;
};

struct SlPlan *
SlPlan_Create(uint64_t version)
{
    struct SlPlan *plan = calloc(1, sizeof(*plan));

    if (plan != NULL) {
        atomic_init(&plan->reference_count, 1);
        plan->version = version;
        plan->idle_ms = DEFAULT_IDLE_MS;
    }
    return plan;
}

struct SlPlan *
SlPlan_Ref(struct SlPlan *plan)
{
    if (plan != NULL) {
        atomic_fetch_add(&plan->reference_count, 1);
    }
    return plan;
}

void
SlPlan_Unref(struct SlPlan *plan)
{
    if (plan != NULL && atomic_fetch_sub(&plan->reference_count, 1) == 1) {
        free(plan->services);
        free(plan->routes);
        free(plan);
    }
}

/// Grows an array so that one more item fits. Returns the grown array, or NULL
/// when memory runs out, in which case the old array is still valid.
static void *
reserve_item(void *items, uint32_t count, uint32_t *capacity,
             size_t item_bytes)
{
    uint32_t new_capacity = *capacity == 0 ? INITIAL_CAPACITY : *capacity * 2;
    void *new_items;

    if (count < *capacity) {
        return items;
    }
    new_items = realloc(items, new_capacity * item_bytes);
    if (new_items != NULL) {
        *capacity = new_capacity;
    }
    return new_items;
}

static enum SlStatus
set_plan_error(struct SlError *error, enum SlStatus status,
               const char *problem, const char *name)
{
    return SlError_Set(error, status, SL_STEP_DECODE, NULL, "%s \"%s\"",
                       problem, name);
}

/// Returns the slot of the service with this name, or the empty slot for it.
static uint32_t
find_service_slot(const struct SlPlan *plan, const char *name)
{
    uint64_t hash = XXH3_64bits(name, strnlen(name, SL_NAME_BYTES));
    uint32_t slot = (uint32_t)(hash % SERVICE_SLOTS);

    while (plan->service_slots[slot] != 0 &&
           strcmp(plan->services[plan->service_slots[slot] - 1].name, name) !=
               0) {
        slot = (slot + 1) % SERVICE_SLOTS;
    }
    return slot;
}

enum SlStatus
SlPlan_AddService(struct SlPlan *plan, const struct SlPlanService *service,
                  struct SlError *error)
{
    struct SlPlanService *services;

    if (service->name[0] == '\0' ||
        SlPlan_FindService(plan, service->name) != SL_PLAN_NO_SERVICE) {
        return set_plan_error(error, SL_INVALID, "empty or repeated service",
                              service->name);
    }
    if (plan->service_count == SL_PLAN_SERVICES_MAX) {
        return set_plan_error(error, SL_FULL, "too many services, from",
                              service->name);
    }
    services = reserve_item(plan->services, plan->service_count,
                            &plan->service_capacity, sizeof(*services));
    if (services == NULL) {
        return set_plan_error(error, SL_NO_MEMORY, "no memory for",
                              service->name);
    }
    plan->services = services;
    services[plan->service_count++] = *service;
    plan->service_slots[find_service_slot(plan, service->name)] =
        (uint16_t)plan->service_count;
    return SL_OK;
}

static enum SlStatus
check_route(const struct SlPlan *plan, const struct SlPlanRoute *route,
            struct SlError *error)
{
    uint64_t weight = 0;

    if (route->address.port == 0) {
        return set_plan_error(error, SL_INVALID, "no address for route",
                              route->name);
    }
    if (route->timeout_ms == 0) {
        return set_plan_error(error, SL_INVALID, "no timeout for route",
                              route->name);
    }
    if (route->share_count == 0 ||
        route->share_count > SL_PLAN_ROUTE_SHARES_MAX) {
        return set_plan_error(error, SL_INVALID, "no service for route",
                              route->name);
    }
    for (uint32_t i = 0; i < route->share_count; i++) {
        if (route->shares[i].service_index >= plan->service_count) {
            return set_plan_error(error, SL_INVALID,
                                  "unknown service of route", route->name);
        }
        weight += route->shares[i].weight;
    }
    return weight == 0 ? set_plan_error(error, SL_INVALID,
                                        "no weight for route", route->name)
                       : SL_OK;
}

enum SlStatus
SlPlan_AddRoute(struct SlPlan *plan, const struct SlPlanRoute *route,
                struct SlError *error)
{
    enum SlStatus status = check_route(plan, route, error);
    struct SlPlanRoute *routes;

    if (status != SL_OK) {
        return status;
    }
    if (plan->route_count == SL_PLAN_ROUTES_MAX) {
        return set_plan_error(error, SL_FULL, "too many routes, from",
                              route->name);
    }
    routes = reserve_item(plan->routes, plan->route_count,
                          &plan->route_capacity, sizeof(*routes));
    if (routes == NULL) {
        return set_plan_error(error, SL_NO_MEMORY, "no memory for",
                              route->name);
    }
    plan->routes = routes;
    routes[plan->route_count++] = *route;
    return SL_OK;
}

void
SlPlan_SetIdleMs(struct SlPlan *plan, uint32_t idle_ms)
{
    if (idle_ms != 0) {
        plan->idle_ms = idle_ms;
    }
}

static int
compare_addresses(const struct SlAddress *a, const struct SlAddress *b)
{
    int order = memcmp(a->ip, b->ip, sizeof(a->ip));

    return order != 0 ? order : (a->port > b->port) - (a->port < b->port);
}

static int
compare_routes(const void *a, const void *b)
{
    const struct SlPlanRoute *first = a;
    const struct SlPlanRoute *second = b;

    return compare_addresses(&first->address, &second->address);
}

enum SlStatus
SlPlan_Finish(struct SlPlan *plan, struct SlError *error)
{
    if (plan->route_count > 0) {
        qsort(plan->routes, plan->route_count, sizeof(plan->routes[0]),
              compare_routes);
    }
    for (uint32_t i = 1; i < plan->route_count; i++) {
        if (SlAddress_Equal(&plan->routes[i - 1].address,
                            &plan->routes[i].address)) {
            return set_plan_error(error, SL_INVALID,
                                  "address used before by route",
                                  plan->routes[i].name);
        }
    }
    return SL_OK;
}

uint64_t
SlPlan_Version(const struct SlPlan *plan)
{
    return plan->version;
}

uint32_t
SlPlan_IdleMs(const struct SlPlan *plan)
{
    return plan->idle_ms;
}

uint32_t
SlPlan_ServiceCount(const struct SlPlan *plan)
{
    return plan->service_count;
}

const struct SlPlanService *
SlPlan_ServiceAt(const struct SlPlan *plan, uint32_t index)
{
    return &plan->services[index];
}

uint32_t
SlPlan_FindService(const struct SlPlan *plan, const char *name)
{
    uint16_t slot = plan->service_slots[find_service_slot(plan, name)];

    return slot != 0 ? slot - 1u : SL_PLAN_NO_SERVICE;
}

uint32_t
SlPlan_RouteCount(const struct SlPlan *plan)
{
    return plan->route_count;
}

const struct SlPlanRoute *
SlPlan_RouteAt(const struct SlPlan *plan, uint32_t index)
{
    return &plan->routes[index];
}

const struct SlPlanRoute *
SlPlan_FindRoute(const struct SlPlan *plan, const struct SlAddress *address)
{
    uint32_t low = 0;
    uint32_t high = plan->route_count;

    while (low < high) {
        uint32_t middle = (low + high) / 2;
        int order = compare_addresses(&plan->routes[middle].address, address);

        if (order == 0) {
            return &plan->routes[middle];
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

uint32_t
SlPlan_ChooseService(const struct SlPlanRoute *route,
                     const struct SlFlowKey *flow)
{
    uint64_t total = 0;
    uint64_t point;

    if (route->share_count == 1) {
        return route->shares[0].service_index;
    }
    for (uint32_t i = 0; i < route->share_count; i++) {
        total += route->shares[i].weight;
    }
    assert(total > 0);
    point = SlFlowKey_Hash(flow, WEIGHT_SEED) % total;
    for (uint32_t i = 0; i < route->share_count; i++) {
        if (point < route->shares[i].weight) {
            return route->shares[i].service_index;
        }
        point -= route->shares[i].weight;
    }
    return route->shares[0].service_index;
}

bool
SlPlan_RouteAllowsService(const struct SlPlanRoute *route, uint32_t service)
{
    for (uint32_t i = 0; i < route->share_count; i++) {
        if (route->shares[i].service_index == service &&
            route->shares[i].weight > 0) {
            return true;
        }
    }
    return false;
}
