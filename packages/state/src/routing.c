#include "savoryledge/state/routing.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "routing_internal.h"

enum {
    SLOTS_PER_SERVICE = 4,
    SLOTS_PER_NODE = 2,
    ADDRESS_KEY_BYTES = 19,
};

void
route_node_unref(struct route_node *node)
{
    if (node != NULL && atomic_fetch_sub(&node->refs, 1) == 1) {
        free(node);
    }
}

void
route_service_unref(struct route_service *service)
{
    if (service == NULL || atomic_fetch_sub(&service->refs, 1) != 1) {
        return;
    }
    for (uint32_t i = 0; i < service->service.member_count; i++) {
        /* The public node is the first member of the private one. */
        route_node_unref((struct route_node *)service->service.members[i]);
    }
    free(service);
}

struct SlRouting *
SlRouting_Ref(struct SlRouting *routing)
{
    atomic_fetch_add(&routing->refs, 1);
    return routing;
}

void
SlRouting_Unref(struct SlRouting *routing)
{
    if (routing == NULL || atomic_fetch_sub(&routing->refs, 1) != 1) {
        return;
    }
    for (uint32_t i = 0; i < routing->service_count; i++) {
        route_service_unref(routing->services[i]);
    }
    for (uint32_t i = 0; i < routing->node_count; i++) {
        route_node_unref(routing->nodes[i]);
    }
    free(routing->services);
    free(routing->nodes);
    free(routing->node_slots);
    free(routing->services_by_id);
    free(routing->slots);
    free(routing);
}

struct SlVersion
SlRouting_Version(const struct SlRouting *routing)
{
    return routing->version;
}

uint32_t
SlRouting_MovedBucketCount(const struct SlRouting *routing)
{
    return routing->moved_buckets;
}

static int
compare_ids(uint64_t a, uint64_t b)
{
    return (a > b) - (a < b);
}

static int
compare_services(const void *a, const void *b)
{
    const struct SlRouteService *const *left = a;
    const struct SlRouteService *const *right = b;

    return compare_ids((*left)->service_id, (*right)->service_id);
}

/// Node ids are hashes already.
static const struct SlRouteNode **
node_slot(const struct SlRouting *routing, uint64_t node_id)
{
    for (uint64_t at = node_id;; at++) {
        const struct SlRouteNode **slot =
            &routing->node_slots[at & routing->node_mask];

        if (*slot == NULL || (*slot)->node_id == node_id) {
            return slot;
        }
    }
}

enum SlStatus
routing_index_nodes(struct SlRouting *routing)
{
    uint32_t slots = SLOTS_PER_NODE;

    while (slots < routing->node_count * SLOTS_PER_NODE) {
        slots *= 2;
    }
    routing->node_mask = slots - 1;
    routing->node_slots = calloc(slots, sizeof(const struct SlRouteNode *));
    if (routing->node_slots == NULL) {
        return SL_NO_MEMORY;
    }
    for (uint32_t i = 0; i < routing->node_count; i++) {
        const struct SlRouteNode *node = &routing->nodes[i]->node;

        *node_slot(routing, node->node_id) = node;
    }
    return SL_OK;
}

static uint32_t
address_hash(const struct SlAddress *address, uint8_t protocol)
{
    uint8_t bytes[ADDRESS_KEY_BYTES];

    memcpy(bytes, address->ip, 16);
    memcpy(bytes + 16, &address->port, 2);
    bytes[18] = protocol;
    return (uint32_t)XXH3_64bits(bytes, sizeof(bytes));
}

static bool
has_address(const struct SlRouteService *service,
            const struct SlAddress *address, uint8_t protocol)
{
    return service->protocol == protocol &&
           SlAddress_Equal(&service->address, address);
}

static void
add_slot(struct SlRouting *routing, const struct SlRouteService *service)
{
    uint32_t at = address_hash(&service->address, service->protocol);

    for (;; at++) {
        const struct SlRouteService **slot =
            &routing->slots[at & routing->slot_mask];

        if (*slot == NULL) {
            *slot = service;
            return;
        }
        if (has_address(*slot, &service->address, service->protocol)) {
            return;
        }
    }
}

enum SlStatus
routing_index_services(struct SlRouting *routing)
{
    uint32_t slots = SLOTS_PER_SERVICE;

    while (slots < routing->service_count * SLOTS_PER_SERVICE) {
        slots *= 2;
    }
    routing->slot_mask = slots - 1;
    routing->slots = calloc(slots, sizeof(const struct SlRouteService *));
    routing->services_by_id = calloc(routing->service_count + 1,
                                     sizeof(const struct SlRouteService *));
    if (routing->slots == NULL || routing->services_by_id == NULL) {
        return SL_NO_MEMORY;
    }
    for (uint32_t i = 0; i < routing->service_count; i++) {
        routing->services_by_id[i] = &routing->services[i]->service;
        add_slot(routing, &routing->services[i]->service);
    }
    qsort(routing->services_by_id, routing->service_count,
          sizeof(const struct SlRouteService *), compare_services);
    return SL_OK;
}

const struct SlRouteService *
SlRouting_FindService(const struct SlRouting *routing,
                      const struct SlAddress *address, uint8_t protocol)
{
    uint32_t at = address_hash(address, protocol);

    for (;; at++) {
        const struct SlRouteService *service =
            routing->slots[at & routing->slot_mask];

        if (service == NULL || has_address(service, address, protocol)) {
            return service;
        }
    }
}

const struct SlRouteService *
SlRouting_FindServiceById(const struct SlRouting *routing, uint64_t service_id)
{
    uint32_t low = 0;
    uint32_t high = routing->service_count;

    while (low < high) {
        uint32_t middle = (low + high) / 2;
        const struct SlRouteService *service = routing->services_by_id[middle];

        if (service->service_id == service_id) {
            return service;
        }
        if (service->service_id < service_id) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

const struct SlRouteNode *
SlRouting_FindNode(const struct SlRouting *routing, uint64_t node_id)
{
    return *node_slot(routing, node_id);
}

uint32_t
SlRouting_ServiceCount(const struct SlRouting *routing)
{
    return routing->service_count;
}

const struct SlRouteService *
SlRouting_ServiceAt(const struct SlRouting *routing, uint32_t index)
{
    return &routing->services[index]->service;
}

uint32_t
SlRouting_NodeCount(const struct SlRouting *routing)
{
    return routing->node_count;
}

const struct SlRouteNode *
SlRouting_NodeAt(const struct SlRouting *routing, uint32_t index)
{
    return &routing->nodes[index]->node;
}

uint32_t
SlRouting_BucketOf(uint64_t service_id, const struct SlFlowKey *flow)
{
    return (uint32_t)(SlFlowKey_Hash(flow, service_id) % SL_BUCKETS);
}

uint16_t
SlRouteService_MemberIndex(const struct SlRouteService *service,
                           uint64_t node_id)
{
    for (uint32_t i = 0; i < service->member_count; i++) {
        if (service->members[i]->node_id == node_id) {
            return (uint16_t)i;
        }
    }
    return SL_NO_MEMBER;
}
