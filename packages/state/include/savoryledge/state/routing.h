#ifndef SAVORYLEDGE_STATE_ROUTING_H
#define SAVORYLEDGE_STATE_ROUTING_H

/// The routing table: the part of a configuration that entries and agents
/// need, indexed for lookups. It is immutable and shared by reference count.
///
/// Each service has SL_SERVICE_BUCKETS buckets. A bucket ranks the service's
/// upstreams by weighted rendezvous hashing (Thaler and Ravishankar, 1998);
/// its home is the first of them that accepts new flows.

#include "savoryledge/state/config.h"

enum {
    SL_SERVICE_BUCKETS = 1024,
    SL_SERVICE_MEMBERS_MAX = 64,
    SL_BUCKET_CHOICES = 2,
};

enum {
    /// Member index that stands for "none".
    SL_NO_MEMBER = 0xffff,
};

/// A node in the routing table. The fields without a comment are those of
/// SlObject and SlNodeSpec (object.h).
struct SlRouteNode {
    uint64_t node_id;
    char name[SL_NAME_BYTES];
    char zone[SL_NAME_BYTES];
    struct SlAddress tunnel;
    struct SlAddress link;
    uint32_t roles;
    uint64_t boot;
    uint32_t slots;
    uint32_t capacity_flows;
    /// The node's zone is out of service: no packet may be sent to the node.
    bool zone_out;
    /// The node has a hold or is stopping: it must not get new flows.
    bool draining;
    bool unreachable;
};

/// The upstreams that get the new flows of one bucket.
struct SlRouteBucket {
    /// Indices of the best-ranked members of the service, best first;
    /// SL_NO_MEMBER for a missing one. The first is the home of the bucket.
    uint16_t choices[SL_BUCKET_CHOICES];
    /// Index of the home before the last move; SL_NO_MEMBER when the home
    /// never moved or that upstream is no longer a member.
    uint16_t previous_home;
    /// Time of the last move of the home on the builder's clock; 0 when it
    /// never moved.
    uint64_t moved_us;
};

/// A service in the routing table. The fields without a comment are those of
/// SlObject and SlServiceSpec (object.h).
struct SlRouteService {
    /// SlService_Id of the name.
    uint64_t service_id;
    char name[SL_NAME_BYTES];
    struct SlAddress address;
    uint8_t protocol;
    uint32_t silence_ms;
    uint32_t idle_ms;
    /// Number of upstreams that the selectors match, including those that are
    /// draining or out of service.
    uint32_t selected_count;
    /// The first SL_SERVICE_MEMBERS_MAX of them, sorted by name.
    uint32_t member_count;
    const struct SlRouteNode *members[SL_SERVICE_MEMBERS_MAX];
    struct SlRouteBucket buckets[SL_SERVICE_BUCKETS];
};

struct SlRouting;

/// Builds the routing table of a configuration. Members that are draining or
/// in a zone out of service never become a choice of a bucket. Unreachable
/// members become choices only when no other member is left.
///
/// previous: the table that the new one replaces, or NULL. Moved buckets are
/// found by comparison with it, and unchanged nodes and services are shared.
/// now_us: the time to store in moved buckets.
/// Returns NULL when memory runs out. The caller owns one reference.
struct SlRouting *
SlRouting_Build(const struct SlConfig *config,
                const struct SlRouting *previous, uint64_t now_us);
/// Takes a reference and returns routing, which must not be NULL.
struct SlRouting *
SlRouting_Ref(struct SlRouting *routing);
/// Drops a reference and frees the table with the last one; routing may be
/// NULL.
void
SlRouting_Unref(struct SlRouting *routing);

/// Returns the version of the configuration that the table was built from.
struct SlVersion
SlRouting_Version(const struct SlRouting *routing);

/// Returns the number of buckets whose home differs from that in the previous
/// table.
uint32_t
SlRouting_MovedBucketCount(const struct SlRouting *routing);

/// Returns the service with this address, port and protocol, or NULL when
/// there is none. When several services have the same address, the first by
/// name is returned.
const struct SlRouteService *
SlRouting_FindService(const struct SlRouting *routing,
                      const struct SlAddress *address, uint8_t protocol);
/// Returns the service with this identifier, or NULL when there is none.
const struct SlRouteService *
SlRouting_FindServiceById(const struct SlRouting *routing,
                          uint64_t service_id);
/// Returns the node with this identifier, or NULL when there is none.
const struct SlRouteNode *
SlRouting_FindNode(const struct SlRouting *routing, uint64_t node_id);
uint32_t
SlRouting_ServiceCount(const struct SlRouting *routing);
/// Returns the service at index, 0 to SlRouting_ServiceCount - 1, sorted by
/// name.
const struct SlRouteService *
SlRouting_ServiceAt(const struct SlRouting *routing, uint32_t index);
uint32_t
SlRouting_NodeCount(const struct SlRouting *routing);
/// Returns the node at index, 0 to SlRouting_NodeCount - 1, sorted by name.
const struct SlRouteNode *
SlRouting_NodeAt(const struct SlRouting *routing, uint32_t index);

/// Returns the bucket of a flow, 0 to SL_SERVICE_BUCKETS - 1. It depends only
/// on the arguments, so that every process computes the same bucket.
uint32_t
SlRouting_BucketOf(uint64_t service_id, const struct SlFlowKey *flow);

/// Returns the index of a node in the service's members, or SL_NO_MEMBER when
/// the node is not a member.
uint16_t
SlRouteService_MemberIndex(const struct SlRouteService *service,
                           uint64_t node_id);

#endif
