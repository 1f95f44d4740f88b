#ifndef SAVORYLEDGE_STATE_ROUTING_INTERNAL_H
#define SAVORYLEDGE_STATE_ROUTING_INTERNAL_H

/// The routing table's inside, shared by the files that build and read it.

#include <stdatomic.h>

#include "savoryledge/state/routing.h"

/// Nodes and services are shared by the tables that hold the same ones.
struct route_node {
    struct SlRouteNode node;
    atomic_uint refs;
};

struct route_service {
    struct SlRouteService service;
    atomic_uint refs;
};

struct SlRouting {
    atomic_uint refs;
    struct SlVersion version;
    uint32_t moved_buckets;
    /// In order of name.
    uint32_t node_count;
    struct route_node **nodes;
    uint32_t service_count;
    struct route_service **services;
    /// Open addressing by node id; a power of two of places.
    uint32_t node_mask;
    const struct SlRouteNode **node_slots;
    /// Services in order of id.
    const struct SlRouteService **services_by_id;
    /// Open addressing by address and protocol; a power of two of places.
    uint32_t slot_mask;
    const struct SlRouteService **slots;
};

void
route_node_unref(struct route_node *node);
/// Also lets go of the service's members.
void
route_service_unref(struct route_service *service);

/// Fills the orders and slots once nodes and services stand.
enum SlStatus
routing_index_nodes(struct SlRouting *routing);
enum SlStatus
routing_index_services(struct SlRouting *routing);

#endif
