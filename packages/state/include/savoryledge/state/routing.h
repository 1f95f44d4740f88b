#ifndef SAVORYLEDGE_STATE_ROUTING_H
#define SAVORYLEDGE_STATE_ROUTING_H

/// The routing table: what entries and agents need of a configuration, laid
/// out for lookups. Immutable once built; shared by reference count.
///
/// Each service has SL_BUCKETS buckets. A bucket ranks the service's
/// upstreams by weighted rendezvous hashing (Thaler and Ravishankar, 1998);
/// its home is the first of them that takes new flows.

#include "savoryledge/state/config.h"

enum {
    SL_BUCKETS = 1024,
    SL_MEMBERS_MAX = 64,
    SL_CHOICES = 2,
};

enum {
    SL_NO_MEMBER = 0xffff,
};

/// How a node stands in the routing table.
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
    /// Its zone is out: no packet may go there.
    bool zone_out;
    /// A hold or a planned stop: no new flow may go there.
    bool draining;
    bool unreachable;
};

struct SlRouteBucket {
    /// Indices into the service's members, best first; SL_NO_MEMBER if none.
    uint16_t choices[SL_CHOICES];
    /// The home before the last move, SL_NO_MEMBER when it never moved or
    /// that upstream is gone.
    uint16_t previous_home;
    /// Time of the last move on the builder's clock, microseconds; 0 never.
    uint64_t moved_us;
};

struct SlRouteService {
    uint64_t service_id;
    char name[SL_NAME_BYTES];
    struct SlAddress address;
    uint8_t protocol;
    uint32_t silence_ms;
    uint32_t idle_ms;
    /// Every upstream that the selectors pick, also draining and out ones, in
    /// order of name; those beyond SL_MEMBERS_MAX are left out.
    uint32_t selected_count;
    uint32_t member_count;
    const struct SlRouteNode *members[SL_MEMBERS_MAX];
    struct SlRouteBucket buckets[SL_BUCKETS];
};

struct SlRouting;

/// Builds a table. Members that are out, draining or unreachable are never
/// a bucket's choice (an unreachable one is when nothing else is left).
///
/// previous: the table that this one follows, or NULL; moved buckets are
/// found by comparison, and unchanged services are shared.
/// now_us: the time noted for moved buckets.
/// Returns NULL without memory. The caller owns one reference.
struct SlRouting *
SlRouting_Build(const struct SlConfig *config,
                const struct SlRouting *previous, uint64_t now_us);
struct SlRouting *
SlRouting_Ref(struct SlRouting *routing);
/// NULL is allowed.
void
SlRouting_Unref(struct SlRouting *routing);

struct SlVersion
SlRouting_Version(const struct SlRouting *routing);

/// Buckets whose home moved when this table was built.
uint32_t
SlRouting_MovedBucketCount(const struct SlRouting *routing);

/// NULL when no service has the address, port and protocol. Of several with
/// one address, the first in order of name has it.
const struct SlRouteService *
SlRouting_FindService(const struct SlRouting *routing,
                      const struct SlAddress *address, uint8_t protocol);
const struct SlRouteService *
SlRouting_FindServiceById(const struct SlRouting *routing,
                          uint64_t service_id);
const struct SlRouteNode *
SlRouting_FindNode(const struct SlRouting *routing, uint64_t node_id);
uint32_t
SlRouting_ServiceCount(const struct SlRouting *routing);
const struct SlRouteService *
SlRouting_ServiceAt(const struct SlRouting *routing, uint32_t index);
uint32_t
SlRouting_NodeCount(const struct SlRouting *routing);
const struct SlRouteNode *
SlRouting_NodeAt(const struct SlRouting *routing, uint32_t index);

/// The bucket of a flow; every process computes the same.
uint32_t
SlRouting_BucketOf(uint64_t service_id, const struct SlFlowKey *flow);

/// The member's place among the service's members, SL_NO_MEMBER if none.
uint16_t
SlRouteService_MemberIndex(const struct SlRouteService *service,
                           uint64_t node_id);

#endif
