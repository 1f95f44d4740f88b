/// Builds routing tables. Nodes and services that did not change are shared
/// with the previous table.

#include <stdlib.h>
#include <string.h>

#include "rendezvous.h"
#include "routing_internal.h"

enum {
    DEFAULT_WEIGHT_FLOWS = 2000,
};

struct builder {
    const struct SlConfig *config;
    const struct SlRouting *previous;
    uint64_t now_us;
    struct SlRouting *routing;
    /// Positions in the nodes and services of the previous table. Both tables
    /// are sorted by name, so that one pass over the previous table finds all
    /// nodes and services that both tables contain.
    uint32_t node_cursor;
    uint32_t service_cursor;
};

/// Whether a member of a service may become a choice of a bucket, that is get
/// its flows.
enum eligibility {
    /// The member is draining or its zone is out of service.
    ELIGIBILITY_NONE,
    /// The member is unreachable: eligible only when no other member is.
    ELIGIBILITY_LAST_RESORT,
    ELIGIBILITY_FULL,
};

static void
copy_text(char *to, const char *from, size_t size_bytes)
{
    size_t length = strnlen(from, size_bytes - 1);

    memcpy(to, from, length);
}

static void
fill_node(const struct SlConfig *config, const struct SlObject *object,
          struct SlRouteNode *node)
{
    const struct SlNodeSpec *spec = &object->node;

    node->node_id = spec->node_id;
    copy_text(node->name, object->name, sizeof(node->name));
    copy_text(node->zone, spec->zone, sizeof(node->zone));
    node->tunnel = spec->tunnel;
    node->link = spec->link;
    node->roles = spec->roles;
    node->boot = spec->boot;
    node->slots = spec->slots;
    node->capacity_flows = spec->capacity_flows;
    node->zone_out = SlConfig_IsZoneOutOfService(config, spec->zone);
    node->draining = spec->leaving || object->holds.count > 0;
    node->unreachable = spec->unreachable;
}

static bool
is_same_node(const struct SlRouteNode *a, const struct SlRouteNode *b)
{
    return a->node_id == b->node_id && strcmp(a->name, b->name) == 0 &&
           strcmp(a->zone, b->zone) == 0 &&
           SlAddress_Equal(&a->tunnel, &b->tunnel) &&
           SlAddress_Equal(&a->link, &b->link) && a->roles == b->roles &&
           a->boot == b->boot && a->slots == b->slots &&
           a->capacity_flows == b->capacity_flows &&
           a->zone_out == b->zone_out && a->draining == b->draining &&
           a->unreachable == b->unreachable;
}

static struct route_node *
find_previous_node(struct builder *builder, const char *name)
{
    const struct SlRouting *previous = builder->previous;

    while (previous != NULL && builder->node_cursor < previous->node_count) {
        struct route_node *node = previous->nodes[builder->node_cursor];
        int order = strcmp(node->node.name, name);

        if (order >= 0) {
            return order == 0 ? node : NULL;
        }
        builder->node_cursor++;
    }
    return NULL;
}

/// Returns the node of the previous table if it is unchanged, otherwise a new
/// node. The caller owns one reference. Returns NULL when memory runs out.
static struct route_node *
share_or_create_node(struct builder *builder, const struct SlObject *object)
{
    struct route_node *previous = find_previous_node(builder, object->name);
    struct route_node *node = calloc(1, sizeof(*node));

    if (node == NULL) {
        return NULL;
    }
    fill_node(builder->config, object, &node->node);
    if (previous != NULL && is_same_node(&node->node, &previous->node)) {
        free(node);
        atomic_fetch_add(&previous->reference_count, 1);
        return previous;
    }
    atomic_init(&node->reference_count, 1);
    return node;
}

static enum SlStatus
build_nodes(struct builder *builder)
{
    struct SlRouting *routing = builder->routing;
    uint32_t count = SlConfig_ObjectCount(builder->config, SL_KIND_NODE);

    routing->nodes = calloc(count + 1, sizeof(struct route_node *));
    if (routing->nodes == NULL) {
        return SL_NO_MEMORY;
    }
    for (uint32_t i = 0; i < count; i++) {
        struct route_node *node = share_or_create_node(
            builder, SlConfig_ObjectAt(builder->config, SL_KIND_NODE, i));

        if (node == NULL) {
            return SL_NO_MEMORY;
        }
        routing->nodes[routing->node_count++] = node;
    }
    return routing_index_nodes(routing);
}

static const struct route_service *
find_previous_service(struct builder *builder, const char *name)
{
    const struct SlRouting *previous = builder->previous;

    while (previous != NULL &&
           builder->service_cursor < previous->service_count) {
        const struct route_service *service =
            previous->services[builder->service_cursor];
        int order = strcmp(service->service.name, name);

        if (order >= 0) {
            return order == 0 ? service : NULL;
        }
        builder->service_cursor++;
    }
    return NULL;
}

/// Fills all fields of a service except its buckets, and takes references to
/// its members.
/// Errors: SL_NO_MEMORY.
static enum SlStatus
fill_service(const struct builder *builder, const struct SlObject *object,
             struct SlRouteService *service)
{
    const struct SlObject *nodes[SL_SERVICE_MEMBERS_MAX];
    uint32_t count;

    service->service_id = SlService_Id(object->name);
    copy_text(service->name, object->name, sizeof(service->name));
    service->address = object->service.address;
    service->protocol = object->service.protocol;
    service->silence_ms = object->service.silence_ms;
    service->idle_ms = object->service.idle_ms;
    if (SlConfig_SelectNodes(builder->config, object, nodes,
                             SL_SERVICE_MEMBERS_MAX,
                             &service->selected_count) != SL_OK) {
        return SL_NO_MEMORY;
    }
    count = service->selected_count;
    count = count < SL_SERVICE_MEMBERS_MAX ? count : SL_SERVICE_MEMBERS_MAX;
    for (uint32_t i = 0; i < count; i++) {
        const struct SlRouteNode *node =
            SlRouting_FindNode(builder->routing, nodes[i]->node.node_id);

        atomic_fetch_add(&((struct route_node *)node)->reference_count, 1);
        service->members[service->member_count++] = node;
    }
    return SL_OK;
}

static bool
has_same_members(const struct SlRouteService *a,
                 const struct SlRouteService *b)
{
    if (a->member_count != b->member_count) {
        return false;
    }
    for (uint32_t i = 0; i < a->member_count; i++) {
        if (a->members[i] != b->members[i]) {
            return false;
        }
    }
    return true;
}

/// Returns true when both services are equal except for their buckets.
static bool
has_same_service_fields(const struct SlRouteService *a,
                        const struct SlRouteService *b)
{
    return a->service_id == b->service_id &&
           SlAddress_Equal(&a->address, &b->address) &&
           a->protocol == b->protocol && a->silence_ms == b->silence_ms &&
           a->idle_ms == b->idle_ms &&
           a->selected_count == b->selected_count && has_same_members(a, b);
}

static enum eligibility
eligibility_of(const struct SlRouteNode *node)
{
    if (node->zone_out || node->draining) {
        return ELIGIBILITY_NONE;
    }
    return node->unreachable ? ELIGIBILITY_LAST_RESORT : ELIGIBILITY_FULL;
}

static uint32_t
weight_of(const struct SlRouteNode *node)
{
    return node->capacity_flows ? node->capacity_flows : DEFAULT_WEIGHT_FLOWS;
}

/// Returns true when the members of both services rank equally, so that every
/// bucket has the same choices in both.
static bool
ranks_members_equally(const struct SlRouteService *a,
                      const struct SlRouteService *b)
{
    if (a->member_count != b->member_count) {
        return false;
    }
    for (uint32_t i = 0; i < a->member_count; i++) {
        const struct SlRouteNode *left = a->members[i];
        const struct SlRouteNode *right = b->members[i];

        if (left->node_id != right->node_id ||
            eligibility_of(left) != eligibility_of(right) ||
            weight_of(left) != weight_of(right)) {
            return false;
        }
    }
    return true;
}

/// Fills members with the members of the service that may become choices of a
/// bucket: the fully eligible members, or the unreachable members when there
/// is no fully eligible one. Returns the number of these members.
static uint32_t
list_candidates(const struct SlRouteService *service,
                struct rendezvous_member *members)
{
    enum eligibility best = ELIGIBILITY_NONE;
    uint32_t count = 0;

    for (uint32_t i = 0; i < service->member_count; i++) {
        enum eligibility eligibility = eligibility_of(service->members[i]);

        best = eligibility > best ? eligibility : best;
    }
    for (uint32_t i = 0; i < service->member_count; i++) {
        const struct SlRouteNode *node = service->members[i];

        if (best != ELIGIBILITY_NONE && eligibility_of(node) == best) {
            members[count++] =
                (struct rendezvous_member){.node_id = node->node_id,
                                           .index = (uint16_t)i,
                                           .weight = weight_of(node)};
        }
    }
    return count;
}

/// Converts the index of a member in the previous service to its index in the
/// new one; SL_NO_MEMBER when it is no longer a member.
static uint16_t
translate_member_index(const struct SlRouteService *service,
                       const struct SlRouteService *previous, uint16_t index)
{
    if (index == SL_NO_MEMBER) {
        return SL_NO_MEMBER;
    }
    return SlRouteService_MemberIndex(service,
                                      previous->members[index]->node_id);
}

/// Sets the bucket's previous home and the time at which its home last
/// changed. Returns true when the home changed with this build of the table.
static bool
record_bucket_move(const struct SlRouteService *service,
                   const struct SlRouteService *previous, uint32_t index,
                   uint64_t now_us)
{
    const struct SlRouteBucket *old_bucket = &previous->buckets[index];
    struct SlRouteBucket *bucket =
        (struct SlRouteBucket *)&service->buckets[index];
    uint16_t old_home =
        translate_member_index(service, previous, old_bucket->choices[0]);

    bucket->previous_home =
        translate_member_index(service, previous, old_bucket->previous_home);
    bucket->moved_us = old_bucket->moved_us;
    if (old_home == bucket->choices[0] &&
        (old_home != SL_NO_MEMBER || old_bucket->choices[0] == SL_NO_MEMBER)) {
        return false;
    }
    if (old_bucket->choices[0] != SL_NO_MEMBER) {
        bucket->previous_home = old_home;
    }
    bucket->moved_us = now_us ? now_us : 1;
    return true;
}

static void
fill_buckets(const struct builder *builder,
             const struct SlRouteService *previous,
             struct SlRouteService *service)
{
    struct rendezvous_member members[SL_SERVICE_MEMBERS_MAX];
    uint32_t count = list_candidates(service, members);

    if (previous != NULL && ranks_members_equally(service, previous)) {
        memcpy(service->buckets, previous->buckets, sizeof(service->buckets));
        return;
    }
    for (uint32_t i = 0; i < SL_SERVICE_BUCKETS; i++) {
        struct SlRouteBucket *bucket = &service->buckets[i];

        bucket->previous_home = SL_NO_MEMBER;
        rendezvous_rank(service->service_id, i, members, count,
                        bucket->choices);
        if (previous != NULL &&
            record_bucket_move(service, previous, i, builder->now_us)) {
            builder->routing->moved_bucket_count++;
        }
    }
}

/// Returns the service of the previous table if it is unchanged, otherwise a
/// new service. The caller owns one reference. Returns NULL when memory runs
/// out.
static struct route_service *
share_or_create_service(struct builder *builder, const struct SlObject *object)
{
    struct route_service *previous =
        (struct route_service *)find_previous_service(builder, object->name);
    struct route_service *service = calloc(1, sizeof(*service));

    if (service == NULL) {
        return NULL;
    }
    atomic_init(&service->reference_count, 1);
    if (fill_service(builder, object, &service->service) != SL_OK) {
        route_service_unref(service);
        return NULL;
    }
    if (previous != NULL &&
        has_same_service_fields(&service->service, &previous->service)) {
        route_service_unref(service);
        atomic_fetch_add(&previous->reference_count, 1);
        return previous;
    }
    fill_buckets(builder, previous ? &previous->service : NULL,
                 &service->service);
    return service;
}

static enum SlStatus
build_services(struct builder *builder)
{
    struct SlRouting *routing = builder->routing;
    uint32_t count = SlConfig_ObjectCount(builder->config, SL_KIND_SERVICE);

    routing->services = calloc(count + 1, sizeof(struct route_service *));
    if (routing->services == NULL) {
        return SL_NO_MEMORY;
    }
    for (uint32_t i = 0; i < count; i++) {
        struct route_service *service = share_or_create_service(
            builder, SlConfig_ObjectAt(builder->config, SL_KIND_SERVICE, i));

        if (service == NULL) {
            return SL_NO_MEMORY;
        }
        routing->services[routing->service_count++] = service;
    }
    return routing_index_services(routing);
}

struct SlRouting *
SlRouting_Build(const struct SlConfig *config,
                const struct SlRouting *previous, uint64_t now_us)
{
    struct builder builder = {
        .config = config, .previous = previous, .now_us = now_us};

    builder.routing = calloc(1, sizeof(*builder.routing));
    if (builder.routing == NULL) {
        return NULL;
    }
    atomic_init(&builder.routing->reference_count, 1);
    builder.routing->version = SlConfig_Version(config);
    if (build_nodes(&builder) != SL_OK || build_services(&builder) != SL_OK) {
        SlRouting_Unref(builder.routing);
        return NULL;
    }
    return builder.routing;
}
