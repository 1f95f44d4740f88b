#ifndef SAVORYLEDGE_STATE_ROUTING_INTERNAL_H
#define SAVORYLEDGE_STATE_ROUTING_INTERNAL_H

/// Internals of the routing table, shared by the files that build and query
/// it.

#include <stdatomic.h>

#include "savoryledge/state/routing.h"

/// A reference-counted node. Successive tables share unchanged nodes.
struct route_node {
    struct SlRouteNode node;
    atomic_uint reference_count;
};

/// A reference-counted service. Successive tables share unchanged services. A
/// service holds a reference to each of its members.
struct route_service {
    struct SlRouteService service;
    atomic_uint reference_count;
};

struct SlRouting {
    atomic_uint reference_count;
    struct SlVersion version;
    /// Number of buckets of all services whose home (the upstream that gets
    /// their new flows) differs from their home in the previous table.
    uint32_t moved_bucket_count;
    /// The nodes and the services of the table, each sorted by name.
    uint32_t node_count;
    struct route_node **nodes;
    uint32_t service_count;
    struct route_service **services;
    /// Hash table of nodes by identifier, with open addressing. The number of
    /// slots is a power of two; the mask is one less.
    uint32_t node_mask;
    const struct SlRouteNode **node_slots;
    /// The services of the table, sorted by identifier.
    const struct SlRouteService **services_by_id;
    /// Hash table of services by address, port and protocol, with open
    /// addressing. The number of slots is a power of two; the mask is one
    /// less.
    uint32_t service_slot_mask;
    const struct SlRouteService **service_slots;
};

/// Drops a reference to the node and frees the node with its last reference.
/// node may be NULL.
void
route_node_unref(struct route_node *node);
/// Drops a reference to the service. With its last reference, frees the
/// service and drops its references to its members. service may be NULL.
void
route_service_unref(struct route_service *service);

/// Builds the hash table of nodes; nodes must be complete.
/// Errors: SL_NO_MEMORY.
enum SlStatus
routing_index_nodes(struct SlRouting *routing);
/// Builds the indexes of services; services must be complete.
/// Errors: SL_NO_MEMORY.
enum SlStatus
routing_index_services(struct SlRouting *routing);

#endif
