/// Building a routing table: nodes and services that did not change are
/// taken over from the table before.

#include <stdlib.h>
#include <string.h>

#include "rendezvous.h"
#include "routing_internal.h"

enum {
    DEFAULT_WEIGHT_FLOWS = 2000,
};

struct build {
    const struct SlConfig *config;
    const struct SlRouting *previous;
    uint64_t now_us;
    struct SlRouting *routing;
    /// Places in the previous table, which is in order of name too.
    uint32_t node_cursor;
    uint32_t service_cursor;
};

/// What a member may be given.
enum standing {
    STANDING_SHUT,
    STANDING_UNREACHABLE,
    STANDING_OPEN,
};

static void
copy_text(char *to, const char *from, size_t room)
{
    size_t length = strnlen(from, room - 1);

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
    node->zone_out = SlConfig_IsZoneOut(config, spec->zone);
    node->draining = spec->leaving || object->holds.count > 0;
    node->unreachable = spec->unreachable;
}

static bool
same_node(const struct SlRouteNode *a, const struct SlRouteNode *b)
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
previous_node(struct build *build, const char *name)
{
    const struct SlRouting *previous = build->previous;

    while (previous != NULL && build->node_cursor < previous->node_count) {
        struct route_node *node = previous->nodes[build->node_cursor];
        int order = strcmp(node->node.name, name);

        if (order >= 0) {
            return order == 0 ? node : NULL;
        }
        build->node_cursor++;
    }
    return NULL;
}

/// A node with a reference for the caller; NULL without memory.
static struct route_node *
make_node(struct build *build, const struct SlObject *object)
{
    struct route_node *before = previous_node(build, object->name);
    struct route_node *node = calloc(1, sizeof(*node));

    if (node == NULL) {
        return NULL;
    }
    fill_node(build->config, object, &node->node);
    if (before != NULL && same_node(&node->node, &before->node)) {
        free(node);
        atomic_fetch_add(&before->refs, 1);
        return before;
    }
    atomic_init(&node->refs, 1);
    return node;
}

static enum SlStatus
build_nodes(struct build *build)
{
    struct SlRouting *routing = build->routing;
    uint32_t count = SlConfig_ObjectCount(build->config, SL_KIND_NODE);

    routing->nodes = calloc(count + 1, sizeof(struct route_node *));
    if (routing->nodes == NULL) {
        return SL_NO_MEMORY;
    }
    for (uint32_t i = 0; i < count; i++) {
        struct route_node *node = make_node(
            build, SlConfig_ObjectAt(build->config, SL_KIND_NODE, i));

        if (node == NULL) {
            return SL_NO_MEMORY;
        }
        routing->nodes[routing->node_count++] = node;
    }
    return routing_index_nodes(routing);
}

static const struct route_service *
previous_service(struct build *build, const char *name)
{
    const struct SlRouting *previous = build->previous;

    while (previous != NULL &&
           build->service_cursor < previous->service_count) {
        const struct route_service *service =
            previous->services[build->service_cursor];
        int order = strcmp(service->service.name, name);

        if (order >= 0) {
            return order == 0 ? service : NULL;
        }
        build->service_cursor++;
    }
    return NULL;
}

/// Fills all but the buckets; takes references on the members.
static enum SlStatus
fill_service(const struct build *build, const struct SlObject *object,
             struct SlRouteService *service)
{
    const struct SlObject *nodes[SL_MEMBERS_MAX];
    uint32_t count;

    service->service_id = SlService_Id(object->name);
    copy_text(service->name, object->name, sizeof(service->name));
    service->address = object->service.address;
    service->protocol = object->service.protocol;
    service->silence_ms = object->service.silence_ms;
    service->idle_ms = object->service.idle_ms;
    if (SlConfig_SelectNodes(build->config, object, nodes, SL_MEMBERS_MAX,
                             &service->selected_count) != SL_OK) {
        return SL_NO_MEMORY;
    }
    count = service->selected_count;
    count = count < SL_MEMBERS_MAX ? count : SL_MEMBERS_MAX;
    for (uint32_t i = 0; i < count; i++) {
        const struct SlRouteNode *node =
            SlRouting_FindNode(build->routing, nodes[i]->node.node_id);

        atomic_fetch_add(&((struct route_node *)node)->refs, 1);
        service->members[service->member_count++] = node;
    }
    return SL_OK;
}

static bool
same_members(const struct SlRouteService *a, const struct SlRouteService *b)
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

/// True when both services are alike in everything but the buckets.
static bool
same_service(const struct SlRouteService *a, const struct SlRouteService *b)
{
    return a->service_id == b->service_id &&
           SlAddress_Equal(&a->address, &b->address) &&
           a->protocol == b->protocol && a->silence_ms == b->silence_ms &&
           a->idle_ms == b->idle_ms &&
           a->selected_count == b->selected_count && same_members(a, b);
}

static enum standing
standing_of(const struct SlRouteNode *node)
{
    if (node->zone_out || node->draining) {
        return STANDING_SHUT;
    }
    return node->unreachable ? STANDING_UNREACHABLE : STANDING_OPEN;
}

static uint32_t
weight_of(const struct SlRouteNode *node)
{
    return node->capacity_flows ? node->capacity_flows : DEFAULT_WEIGHT_FLOWS;
}

/// True when both give every bucket the same choices.
static bool
same_choices(const struct SlRouteService *a, const struct SlRouteService *b)
{
    if (a->member_count != b->member_count) {
        return false;
    }
    for (uint32_t i = 0; i < a->member_count; i++) {
        const struct SlRouteNode *left = a->members[i];
        const struct SlRouteNode *right = b->members[i];

        if (left->node_id != right->node_id ||
            standing_of(left) != standing_of(right) ||
            weight_of(left) != weight_of(right)) {
            return false;
        }
    }
    return true;
}

/// The members that take new flows; the unreachable ones when there is no
/// other.
static uint32_t
list_candidates(const struct SlRouteService *service,
                struct rendezvous_member *members)
{
    enum standing best = STANDING_SHUT;
    uint32_t count = 0;

    for (uint32_t i = 0; i < service->member_count; i++) {
        enum standing standing = standing_of(service->members[i]);

        best = standing > best ? standing : best;
    }
    for (uint32_t i = 0; i < service->member_count; i++) {
        const struct SlRouteNode *node = service->members[i];

        if (best != STANDING_SHUT && standing_of(node) == best) {
            members[count++] =
                (struct rendezvous_member){.node_id = node->node_id,
                                           .index = (uint16_t)i,
                                           .weight = weight_of(node)};
        }
    }
    return count;
}

/// The place that a member of the service before has now.
static uint16_t
translate(const struct SlRouteService *service,
          const struct SlRouteService *before, uint16_t index)
{
    if (index == SL_NO_MEMBER) {
        return SL_NO_MEMBER;
    }
    return SlRouteService_MemberIndex(service,
                                      before->members[index]->node_id);
}

/// Notes when and from where the bucket's home moved.
static bool
note_move(const struct SlRouteService *service,
          const struct SlRouteService *before, uint32_t index, uint64_t now_us)
{
    const struct SlRouteBucket *was = &before->buckets[index];
    struct SlRouteBucket *bucket =
        (struct SlRouteBucket *)&service->buckets[index];
    uint16_t home = translate(service, before, was->choices[0]);

    bucket->previous_home = translate(service, before, was->previous_home);
    bucket->moved_us = was->moved_us;
    if (home == bucket->choices[0] &&
        (home != SL_NO_MEMBER || was->choices[0] == SL_NO_MEMBER)) {
        return false;
    }
    if (was->choices[0] != SL_NO_MEMBER) {
        bucket->previous_home = home;
    }
    bucket->moved_us = now_us ? now_us : 1;
    return true;
}

static void
fill_buckets(const struct build *build, const struct SlRouteService *before,
             struct SlRouteService *service)
{
    struct rendezvous_member members[SL_MEMBERS_MAX];
    uint32_t count = list_candidates(service, members);

    if (before != NULL && same_choices(service, before)) {
        memcpy(service->buckets, before->buckets, sizeof(service->buckets));
        return;
    }
    for (uint32_t i = 0; i < SL_BUCKETS; i++) {
        struct SlRouteBucket *bucket = &service->buckets[i];

        bucket->previous_home = SL_NO_MEMBER;
        rendezvous_rank(service->service_id, i, members, count,
                        bucket->choices);
        if (before != NULL && note_move(service, before, i, build->now_us)) {
            build->routing->moved_buckets++;
        }
    }
}

/// A service with a reference for the caller; NULL without memory.
static struct route_service *
make_service(struct build *build, const struct SlObject *object)
{
    struct route_service *before =
        (struct route_service *)previous_service(build, object->name);
    struct route_service *service = calloc(1, sizeof(*service));

    if (service == NULL) {
        return NULL;
    }
    atomic_init(&service->refs, 1);
    if (fill_service(build, object, &service->service) != SL_OK) {
        route_service_unref(service);
        return NULL;
    }
    if (before != NULL && same_service(&service->service, &before->service)) {
        route_service_unref(service);
        atomic_fetch_add(&before->refs, 1);
        return before;
    }
    fill_buckets(build, before ? &before->service : NULL, &service->service);
    return service;
}

static enum SlStatus
build_services(struct build *build)
{
    struct SlRouting *routing = build->routing;
    uint32_t count = SlConfig_ObjectCount(build->config, SL_KIND_SERVICE);

    routing->services = calloc(count + 1, sizeof(struct route_service *));
    if (routing->services == NULL) {
        return SL_NO_MEMORY;
    }
    for (uint32_t i = 0; i < count; i++) {
        struct route_service *service = make_service(
            build, SlConfig_ObjectAt(build->config, SL_KIND_SERVICE, i));

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
    struct build build = {
        .config = config, .previous = previous, .now_us = now_us};

    build.routing = calloc(1, sizeof(*build.routing));
    if (build.routing == NULL) {
        return NULL;
    }
    atomic_init(&build.routing->refs, 1);
    build.routing->version = SlConfig_Version(config);
    if (build_nodes(&build) != SL_OK || build_services(&build) != SL_OK) {
        SlRouting_Unref(build.routing);
        return NULL;
    }
    return build.routing;
}
