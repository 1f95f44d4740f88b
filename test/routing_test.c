/* Routing tables: fair shares, little movement, and no bucket whose home
   may not take new flows. */

#include "site.h"

/// How many buckets each member is the home of.
static void
count_homes(const struct SlRouteService *service,
            uint32_t homes[SL_MEMBERS_MAX])
{
    memset(homes, 0, SL_MEMBERS_MAX * sizeof(homes[0]));
    for (uint32_t i = 0; i < SL_BUCKETS; i++) {
        CU_ASSERT_FATAL(service->buckets[i].choices[0] <
                        service->member_count);
        homes[service->buckets[i].choices[0]]++;
    }
}

static uint32_t
count_choices(const struct SlRouteService *service, const char *node)
{
    uint16_t index = SlRouteService_MemberIndex(service, SlNode_Id(node));
    uint32_t count = 0;

    CU_ASSERT_NOT_EQUAL_FATAL(index, SL_NO_MEMBER);
    for (uint32_t i = 0; i < SL_BUCKETS; i++) {
        for (uint32_t j = 0; j < SL_CHOICES; j++) {
            count += service->buckets[i].choices[j] == index;
        }
    }
    return count;
}

static void
test_lookups(void)
{
    struct site site;
    struct SlAddress address;
    const struct SlRouteService *service;

    site_create(&site);
    SlAddress_Parse("198.51.100.1:80", &address);
    service = SlRouting_FindService(site.routing, &address, IPPROTO_TCP);
    CU_ASSERT_PTR_EQUAL(service, site_find_service(&site, "workroom"));
    CU_ASSERT_EQUAL(service->member_count, 7);
    CU_ASSERT_PTR_NULL(
        SlRouting_FindService(site.routing, &address, IPPROTO_UDP));
    address.port = 81;
    CU_ASSERT_PTR_NULL(
        SlRouting_FindService(site.routing, &address, IPPROTO_TCP));
    CU_ASSERT_STRING_EQUAL(
        SlRouting_FindNode(site.routing, SlNode_Id("catalogue-3"))->name,
        "catalogue-3");
    CU_ASSERT_PTR_NULL(SlRouting_FindNode(site.routing, 12345));
    CU_ASSERT_PTR_NULL(SlRouting_FindServiceById(site.routing, 12345));
    CU_ASSERT_EQUAL(SlVersion_Compare(SlRouting_Version(site.routing),
                                      SlConfig_Version(site.config)),
                    0);
    site_destroy(&site);
}

static void
test_empty_configuration(void)
{
    struct SlConfig *config = SlConfig_Create();
    struct SlRouting *routing = SlRouting_Build(config, NULL, 1);
    struct SlAddress address;

    SlAddress_Parse("198.51.100.1:80", &address);
    CU_ASSERT_EQUAL(SlRouting_ServiceCount(routing), 0);
    CU_ASSERT_PTR_NULL(SlRouting_FindService(routing, &address, IPPROTO_TCP));
    SlRouting_Unref(routing);
    SlRouting_Unref(NULL);
    SlConfig_Destroy(config);
}

static void
test_equal_weights_share_evenly(void)
{
    struct site site;
    uint32_t homes[SL_MEMBERS_MAX];

    site_create(&site);
    count_homes(site_find_service(&site, "workroom"), homes);
    for (uint32_t i = 0; i < 7; i++) {
        /* 1024 / 7 = 146, standard deviation 11. */
        CU_ASSERT(homes[i] > 146 - 45 && homes[i] < 146 + 45);
    }
    site_destroy(&site);
}

static void
test_weights_follow_capacity(void)
{
    struct site site;
    uint32_t homes[SL_MEMBERS_MAX];
    const struct SlRouteService *service;
    uint16_t big;

    site_create(&site);
    site_announce_agent(&site, "workroom-2", "c", "workroom", 6000);
    site_build_routing(&site);
    service = site_find_service(&site, "workroom");
    count_homes(service, homes);
    big = SlRouteService_MemberIndex(service, SlNode_Id("workroom-2"));
    /* 3 shares of 9: 341, standard deviation 15. */
    CU_ASSERT(homes[big] > 341 - 60 && homes[big] < 341 + 60);
    site_destroy(&site);
}

static void
test_drain_moves_only_its_own(void)
{
    struct site site;
    struct SlRouting *before;
    const struct SlRouteService *was;
    const struct SlRouteService *now;
    uint16_t drained;
    uint32_t moved = 0;

    site_create(&site);
    before = SlRouting_Ref(site.routing);
    was = site_find_service(&site, "workroom");
    drained = SlRouteService_MemberIndex(was, SlNode_Id("workroom-4"));
    site_change_hold(&site, SL_VERB_HOLD, SL_KIND_NODE, "workroom-4");
    site_build_routing(&site);
    now = site_find_service(&site, "workroom");
    CU_ASSERT_EQUAL(now->member_count, 7);
    CU_ASSERT_EQUAL(count_choices(now, "workroom-4"), 0);
    for (uint32_t i = 0; i < SL_BUCKETS; i++) {
        const struct SlRouteBucket *bucket = &now->buckets[i];

        if (was->buckets[i].choices[0] != drained) {
            CU_ASSERT_EQUAL(bucket->choices[0], was->buckets[i].choices[0]);
            CU_ASSERT_EQUAL(bucket->moved_us, 0);
            continue;
        }
        moved++;
        CU_ASSERT_EQUAL(bucket->choices[0], was->buckets[i].choices[1]);
        CU_ASSERT_EQUAL(bucket->previous_home, drained);
        CU_ASSERT_EQUAL(bucket->moved_us, site.now_us);
    }
    CU_ASSERT_EQUAL(SlRouting_MovedBucketCount(site.routing), moved);
    /* The other service is the same object. */
    CU_ASSERT_PTR_EQUAL(
        site_find_service(&site, "catalogue"),
        SlRouting_FindServiceById(before, SlService_Id("catalogue")));
    SlRouting_Unref(before);
    site_destroy(&site);
}

/* A bucket's last move must still be known after later, unrelated changes,
   also when places among the members shift. */
static void
test_moves_outlive_other_changes(void)
{
    struct site site;
    const struct SlRouteService *service;
    uint64_t moved_us;
    uint32_t moved = 0;
    uint16_t held;

    site_create(&site);
    site_change_hold(&site, SL_VERB_HOLD, SL_KIND_NODE, "workroom-4");
    site_build_routing(&site);
    moved_us = site.now_us;
    site_announce_agent(&site, "a-first-by-name", "a", "workroom", 2000);
    site_change_hold(&site, SL_VERB_HOLD, SL_KIND_NODE, "a-first-by-name");
    site_build_routing(&site);
    service = site_find_service(&site, "workroom");
    held = SlRouteService_MemberIndex(service, SlNode_Id("workroom-4"));
    CU_ASSERT_EQUAL(service->member_count, 8);
    for (uint32_t i = 0; i < SL_BUCKETS; i++) {
        const struct SlRouteBucket *bucket = &service->buckets[i];

        if (bucket->moved_us != 0) {
            moved++;
            CU_ASSERT_EQUAL(bucket->moved_us, moved_us);
            CU_ASSERT_EQUAL(bucket->previous_home, held);
        }
    }
    CU_ASSERT(moved > 100);
    CU_ASSERT_EQUAL(SlRouting_MovedBucketCount(site.routing), 0);
    site_destroy(&site);
}

static void
test_zone_out_and_in(void)
{
    struct site site;
    struct SlRouteBucket *was = malloc(SL_BUCKETS * sizeof(*was));
    const struct SlRouteService *service;

    site_create(&site);
    service = site_find_service(&site, "workroom");
    memcpy(was, service->buckets, SL_BUCKETS * sizeof(*was));
    site_change_hold(&site, SL_VERB_HOLD, SL_KIND_ZONE, "b");
    site_build_routing(&site);
    service = site_find_service(&site, "workroom");
    CU_ASSERT_EQUAL(count_choices(service, "workroom-1"), 0);
    CU_ASSERT_EQUAL(count_choices(service, "workroom-5"), 0);
    CU_ASSERT(
        SlRouting_FindNode(site.routing, SlNode_Id("workroom-1"))->zone_out);
    site_change_hold(&site, SL_VERB_RELEASE, SL_KIND_ZONE, "b");
    site_build_routing(&site);
    service = site_find_service(&site, "workroom");
    for (uint32_t i = 0; i < SL_BUCKETS; i++) {
        CU_ASSERT_EQUAL(service->buckets[i].choices[0], was[i].choices[0]);
    }
    free(was);
    site_destroy(&site);
}

static void
test_unreachable_only_when_nothing_else(void)
{
    struct site site;
    char name[SL_NAME_BYTES];
    const struct SlRouteService *service;

    site_create(&site);
    for (uint32_t i = 0; i < 4; i++) {
        struct SlChange reach =
            site_make_change(SL_VERB_SET_REACHABILITY, SL_KIND_NODE, "");

        service = site_find_service(&site, "catalogue");
        CU_ASSERT(count_choices(service, "catalogue-3") > 0);
        snprintf(name, sizeof(name), "catalogue-%u", i);
        snprintf(reach.object.name, SL_NAME_BYTES, "%s", name);
        reach.object.node.unreachable = true;
        site_apply_change(&site, &reach);
        site_build_routing(&site);
        service = site_find_service(&site, "catalogue");
        CU_ASSERT_EQUAL(count_choices(service, name) > 0, i == 3);
    }
    CU_ASSERT(count_choices(service, "catalogue-0") > 0);
    site_destroy(&site);
}

static void
test_nobody_left(void)
{
    struct site site;

    site_create(&site);
    for (uint32_t i = 0; i < 4; i++) {
        const char zone[2] = {(char)('a' + i), '\0'};

        site_change_hold(&site, SL_VERB_HOLD, SL_KIND_ZONE, zone);
    }
    site_build_routing(&site);
    for (uint32_t i = 0; i < SL_BUCKETS; i++) {
        const struct SlRouteBucket *bucket =
            &site_find_service(&site, "workroom")->buckets[i];

        CU_ASSERT_EQUAL(bucket->choices[0], SL_NO_MEMBER);
        CU_ASSERT_NOT_EQUAL(bucket->moved_us, 0);
    }
    site_destroy(&site);
}

/* A selector that takes an upstream to another service. */
static void
test_reassigned_upstream_leaves_its_service(void)
{
    struct site site;
    struct SlChange label =
        site_make_change(SL_VERB_LABEL, SL_KIND_NODE, "workroom-3");

    site_create(&site);
    SlLabels_Set(&label.object.labels, "app", "catalogue");
    site_apply_change(&site, &label);
    site_build_routing(&site);
    CU_ASSERT_EQUAL(
        SlRouteService_MemberIndex(site_find_service(&site, "workroom"),
                                   SlNode_Id("workroom-3")),
        SL_NO_MEMBER);
    CU_ASSERT(count_choices(site_find_service(&site, "catalogue"),
                            "workroom-3") > 0);
    for (uint32_t i = 0; i < SL_BUCKETS; i++) {
        CU_ASSERT_EQUAL(
            site_find_service(&site, "workroom")->buckets[i].previous_home,
            SL_NO_MEMBER);
    }
    site_destroy(&site);
}

static void
test_more_members_than_room(void)
{
    struct site site;
    char name[SL_NAME_BYTES];

    site_create(&site);
    for (uint32_t i = 0; i < SL_MEMBERS_MAX; i++) {
        snprintf(name, sizeof(name), "zz-%u", i);
        site_announce_agent(&site, name, "a", "catalogue", 2000);
    }
    site_build_routing(&site);
    CU_ASSERT_EQUAL(site_find_service(&site, "catalogue")->member_count,
                    SL_MEMBERS_MAX);
    CU_ASSERT_EQUAL(site_find_service(&site, "catalogue")->selected_count,
                    SL_MEMBERS_MAX + 4);
    site_destroy(&site);
}

/* A process that takes one change at a time and one that takes them at once
   must agree, else entries would disagree on homes. */
static void
test_same_table_whatever_the_way(void)
{
    struct site site;
    struct SlRouting *fresh;

    site_create(&site);
    for (uint32_t i = 0; i < 40; i++) {
        char name[SL_NAME_BYTES];

        snprintf(name, sizeof(name), "workroom-%u", i % 7);
        site_change_hold(&site,
                         i / 7 % 2 == 0 ? SL_VERB_HOLD : SL_VERB_RELEASE,
                         SL_KIND_NODE, name);
        site_build_routing(&site);
    }
    fresh = SlRouting_Build(site.config, NULL, 5);
    for (uint32_t i = 0; i < SL_BUCKETS; i++) {
        const struct SlRouteService *service =
            SlRouting_FindServiceById(fresh, SlService_Id("workroom"));

        CU_ASSERT_EQUAL(
            memcmp(service->buckets[i].choices,
                   site_find_service(&site, "workroom")->buckets[i].choices,
                   sizeof(service->buckets[i].choices)),
            0);
    }
    SlRouting_Unref(fresh);
    site_destroy(&site);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"lookups", test_lookups},
        {"empty configuration", test_empty_configuration},
        {"equal weights share evenly", test_equal_weights_share_evenly},
        {"weights follow capacity", test_weights_follow_capacity},
        {"drain moves only its own", test_drain_moves_only_its_own},
        {"moves outlive other changes", test_moves_outlive_other_changes},
        {"zone out and in", test_zone_out_and_in},
        {"unreachable only when nothing else",
         test_unreachable_only_when_nothing_else},
        {"nobody left", test_nobody_left},
        {"reassigned upstream leaves its service",
         test_reassigned_upstream_leaves_its_service},
        {"more members than room", test_more_members_than_room},
        {"same table whatever the way", test_same_table_whatever_the_way},
    };

    return RUN_SUITE("routing", CASES);
}
