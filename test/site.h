#ifndef SAVORYLEDGE_TEST_SITE_H
#define SAVORYLEDGE_TEST_SITE_H

/// A small site for tests: a configuration with services, groups, zones and
/// agents, changed through the state machine as operators would.

#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

#include "savoryledge/state/config.h"
#include "savoryledge/state/routing.h"
#include "test.h"

struct site {
    struct SlConfig *config;
    struct SlRouting *routing;
    uint64_t index;
    uint64_t now_us;
};

static inline void
site_apply_change(struct site *site, const struct SlChange *change)
{
    struct SlVersion version = {.term = 1, .index = ++site->index};
    struct SlResult result;

    SlConfig_Apply(site->config, version, change, &result);
    CU_ASSERT_EQUAL_FATAL(result.status, SL_OK);
}

static inline struct SlChange
site_make_change(enum SlVerb verb, enum SlKind kind, const char *name)
{
    struct SlChange change = {.verb = verb, .object = {.kind = kind}};

    snprintf(change.object.name, SL_NAME_BYTES, "%s", name);
    return change;
}

/// A service with a group of its own that picks app=NAME.
static inline void
site_add_service(struct site *site, const char *name, const char *address,
                 uint8_t protocol)
{
    struct SlChange group =
        site_make_change(SL_VERB_CREATE, SL_KIND_GROUP, name);
    struct SlChange service =
        site_make_change(SL_VERB_CREATE, SL_KIND_SERVICE, name);

    snprintf(group.object.selector, SL_SELECTOR_BYTES, "app=%s", name);
    site_apply_change(site, &group);
    snprintf(service.object.selector, SL_SELECTOR_BYTES, "name=%s", name);
    SlAddress_Parse(address, &service.object.service.address);
    service.object.service.protocol = protocol;
    site_apply_change(site, &service);
}

static inline struct SlChange
site_make_announcement(const char *name, const char *zone, const char *app,
                       uint32_t capacity_flows)
{
    struct SlChange change =
        site_make_change(SL_VERB_ANNOUNCE, SL_KIND_NODE, name);
    struct SlNodeSpec *node = &change.object.node;

    node->node_id = SlNode_Id(name);
    node->roles = SL_ROLE_AGENT;
    node->slots = 3;
    node->capacity_flows = capacity_flows;
    node->boot = 1;
    snprintf(node->zone, SL_NAME_BYTES, "%s", zone);
    SlAddress_Parse("127.0.0.1:7000", &node->tunnel);
    SlLabels_Set(&node->announced, "app", app);
    return change;
}

static inline void
site_announce_agent(struct site *site, const char *name, const char *zone,
                    const char *app, uint32_t capacity_flows)
{
    struct SlChange change =
        site_make_announcement(name, zone, app, capacity_flows);

    site_apply_change(site, &change);
}

static inline void
site_change_hold(struct site *site, enum SlVerb verb, enum SlKind kind,
                 const char *name)
{
    struct SlChange change = site_make_change(verb, kind, name);

    snprintf(change.hold.key, SL_HOLD_KEY_BYTES, "test");
    site_apply_change(site, &change);
}

/// Builds the next table; the one before is let go.
static inline struct SlRouting *
site_build_routing(struct site *site)
{
    struct SlRouting *next;

    site->now_us += 1000000;
    next = SlRouting_Build(site->config, site->routing, site->now_us);
    CU_ASSERT_PTR_NOT_NULL_FATAL(next);
    SlRouting_Unref(site->routing);
    site->routing = next;
    return next;
}

/// workroom (TCP, 7 agents) and catalogue (UDP, 4) over the zones a to d.
static inline void
site_create(struct site *site)
{
    static const char *const ZONES[] = {"a", "b", "c", "d"};
    char name[SL_NAME_BYTES];

    *site = (struct site){.config = SlConfig_Create()};
    CU_ASSERT_PTR_NOT_NULL_FATAL(site->config);
    site_add_service(site, "workroom", "198.51.100.1:80", IPPROTO_TCP);
    site_add_service(site, "catalogue", "[2001:db8::2]:53", IPPROTO_UDP);
    for (uint32_t i = 0; i < 4; i++) {
        struct SlChange zone =
            site_make_change(SL_VERB_CREATE, SL_KIND_ZONE, ZONES[i]);

        site_apply_change(site, &zone);
    }
    for (uint32_t i = 0; i < 11; i++) {
        const char *app = i < 7 ? "workroom" : "catalogue";

        snprintf(name, sizeof(name), "%s-%u", app, i < 7 ? i : i - 7);
        site_announce_agent(site, name, ZONES[i % 4], app, 2000);
    }
    site_build_routing(site);
}

static inline void
site_destroy(struct site *site)
{
    SlRouting_Unref(site->routing);
    SlConfig_Destroy(site->config);
}

static inline const struct SlRouteService *
site_find_service(const struct site *site, const char *name)
{
    const struct SlRouteService *service =
        SlRouting_FindServiceById(site->routing, SlService_Id(name));

    CU_ASSERT_PTR_NOT_NULL_FATAL(service);
    return service;
}

#endif
