#ifndef SAVORYLEDGE_STATE_ROUTING_H
#define SAVORYLEDGE_STATE_ROUTING_H

/// The routing table: the part of a configuration that entries and agents
/// need, indexed for lookups. It is immutable and shared by reference count.
///
/// The flows of a service are divided by their hash into SL_SERVICE_BUCKETS
/// buckets. Each bucket ranks the service's upstreams by weighted rendezvous
/// hashing (Thaler and Ravishankar, 1998). The home of a bucket is the
/// upstream that gets the new flows of the bucket: the first one in its
/// ranking that accepts new flows. The members of a service are the upstreams
/// that its selectors match.
///
/// A zone is out of service ("zone out") while an operator's hold on it is in
/// force (object.h).

#include "savoryledge/state/config.h"

enum {
    /// Number of buckets that the flows of each service are divided into.
    SL_SERVICE_BUCKETS = 1024,
    /// Maximum number of upstreams of one service that get flows.
    SL_SERVICE_MEMBERS_MAX = 64,
    /// Number of best-ranked upstreams that are stored for each bucket.
    SL_BUCKET_CHOICES = 2,
};

enum {
    /// Index that stands for "no member of the service".
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
    /// True when the node's zone is out of service: no packet may be sent to
    /// the node.
    bool zone_out;
    /// True when a hold takes the node out of service or the node is stopping:
    /// it must not get new flows.
    bool draining;
    /// True when control has received no heartbeat of the node in time.
    bool unreachable;
};

/// The upstreams that get the new flows of one bucket.
struct SlRouteBucket {
    /// Indices of the best-ranked members of the service, best first;
    /// SL_NO_MEMBER where there is no further member. The first index is that
    /// of the home of the bucket.
    uint16_t choices[SL_BUCKET_CHOICES];
    /// Index of the upstream that was the home before the bucket last moved to
    /// another home; SL_NO_MEMBER when the home never changed or that upstream
    /// is no longer a member.
    uint16_t previous_home;
    /// When the bucket last moved to another home, on the clock of the process
    /// that built the table; 0 when the home never changed.
    uint64_t moved_us;
};

/// A service in the routing table. The fields without a comment are those of
/// SlObject and SlServiceSpec (object.h).
struct SlRouteService {
    /// SlService_Id of the service's name.
    uint64_t service_id;
    char name[SL_NAME_BYTES];
    struct SlAddress address;
    uint8_t protocol;
    uint32_t silence_ms;
    uint32_t idle_ms;
    /// Number of upstreams that the selectors match, including those that are
    /// draining or out of service.
    uint32_t selected_count;
    /// The first SL_SERVICE_MEMBERS_MAX of the selected upstreams, sorted by
    /// name.
    uint32_t member_count;
    const struct SlRouteNode *members[SL_SERVICE_MEMBERS_MAX];
    struct SlRouteBucket buckets[SL_SERVICE_BUCKETS];
};

struct SlRouting;

/// Builds the routing table of a configuration. Members that are draining or
/// in a zone out of service never become a choice of a bucket. Unreachable
/// members become choices only when no other member is left.
///
/// previous: the table that the new table replaces, or NULL. Buckets that
/// moved to another home are found by comparison with it, and unchanged nodes
/// and services are shared with it.
/// now_us: the time to store in buckets that moved to another home.
/// Returns NULL when memory runs out. The caller owns one reference.
struct SlRouting *
SlRouting_Build(const struct SlConfig *config,
                const struct SlRouting *previous, uint64_t now_us);
/// Takes a reference to the routing table and returns the table. routing must
/// not be NULL.
struct SlRouting *
SlRouting_Ref(struct SlRouting *routing);
/// Drops a reference to the routing table and frees the table with its last
/// reference. routing may be NULL.
void
SlRouting_Unref(struct SlRouting *routing);

/// Returns the version of the configuration that the table was built from.
struct SlVersion
SlRouting_Version(const struct SlRouting *routing);

/// Returns the number of buckets of all services whose home differs from their
/// home in the previous table.
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

/// Returns the bucket of a flow, 0 to SL_SERVICE_BUCKETS - 1. The bucket
/// depends only on the arguments, so that every process computes the same
/// bucket.
uint32_t
SlRouting_BucketOf(uint64_t service_id, const struct SlFlowKey *flow);

/// Returns the index of a node in the service's members, or SL_NO_MEMBER when
/// the node is not a member.
uint16_t
SlRouteService_MemberIndex(const struct SlRouteService *service,
                           uint64_t node_id);

#endif
