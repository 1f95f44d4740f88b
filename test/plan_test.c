/* Plans, and the documents that they are read out of: weights, faults, races
   of operators, and what a restart or a snapshot leaves of a document. */

#include "control_fixture.h"
#include "savoryledge/state/plan.h"

static struct SlPlanService
service_of(const char *name)
{
    struct SlPlanService service = {.capacity_flows = 2000};

    snprintf(service.name, sizeof(service.name), "%s", name);
    return service;
}

static struct SlPlanRoute
route_of(const char *address)
{
    struct SlPlanRoute route = {.name = "route",
                                .timeout_ms = 1000,
                                .share_count = 1,
                                .shares = {{.service_index = 0, .weight = 1}}};

    CU_ASSERT_EQUAL_FATAL(SlAddress_Parse(address, &route.address), SL_OK);
    return route;
}

static struct SlPlan *
two_services(void)
{
    struct SlPlan *plan = SlPlan_Create(1);
    struct SlPlanService orders = service_of("orders");
    struct SlPlanService photos = service_of("photos");
    struct SlError error;

    CU_ASSERT_EQUAL_FATAL(SlPlan_AddService(plan, &orders, &error), SL_OK);
    CU_ASSERT_EQUAL_FATAL(SlPlan_AddService(plan, &photos, &error), SL_OK);
    return plan;
}

static struct SlFlowKey
flow_of(uint32_t number)
{
    struct SlFlowKey flow = {.protocol = 6};
    char text[SL_ADDRESS_TEXT_BYTES];

    snprintf(text, sizeof(text), "100.64.%u.%u:%u", number / 4000 % 200,
             number / 200 % 20 + 1, 1024 + number % 50000);
    CU_ASSERT_EQUAL_FATAL(SlAddress_Parse(text, &flow.caller), SL_OK);
    CU_ASSERT_EQUAL_FATAL(SlAddress_Parse("198.18.0.1:443", &flow.service),
                          SL_OK);
    return flow;
}

/// 90 to 10, over 10,000 flows, and the same wherever it is worked out.
static void
test_weights(void)
{
    struct SlPlanRoute route = route_of("198.18.0.1:443");
    struct SlPlanRoute elsewhere;
    uint32_t second = 0;

    route.share_count = 2;
    route.shares[0] = (struct SlPlanShare){.service_index = 0, .weight = 90};
    route.shares[1] = (struct SlPlanShare){.service_index = 1, .weight = 10};
    elsewhere = route;
    for (uint32_t i = 0; i < 10000; i++) {
        struct SlFlowKey flow = flow_of(i);

        second += SlPlan_ChooseService(&route, &flow);
        CU_ASSERT_EQUAL(SlPlan_ChooseService(&route, &flow),
                        SlPlan_ChooseService(&elsewhere, &flow));
    }
    CU_ASSERT(second >= 800);
    CU_ASSERT(second <= 1200);
    CU_ASSERT(SlPlan_RouteAllowsService(&route, 1));
    route.shares[1].weight = 0;
    CU_ASSERT_FALSE(SlPlan_RouteAllowsService(&route, 1));
    for (uint32_t i = 0; i < 1000; i++) {
        struct SlFlowKey flow = flow_of(i);

        CU_ASSERT_EQUAL(SlPlan_ChooseService(&route, &flow), 0);
    }
}

static void
test_faults(void)
{
    struct SlPlan *plan = two_services();
    struct SlPlanService twice = service_of("orders");
    struct SlPlanRoute route = route_of("198.18.0.1:443");
    struct SlError error;

    CU_ASSERT_EQUAL(SlPlan_AddService(plan, &twice, &error), SL_INVALID);
    route.shares[0].service_index = 2;
    CU_ASSERT_EQUAL(SlPlan_AddRoute(plan, &route, &error), SL_INVALID);
    route.shares[0] = (struct SlPlanShare){.service_index = 0, .weight = 0};
    CU_ASSERT_EQUAL(SlPlan_AddRoute(plan, &route, &error), SL_INVALID);
    route.shares[0].weight = 1;
    route.timeout_ms = 0;
    CU_ASSERT_EQUAL(SlPlan_AddRoute(plan, &route, &error), SL_INVALID);
    route.timeout_ms = 1000;
    route.share_count = 0;
    CU_ASSERT_EQUAL(SlPlan_AddRoute(plan, &route, &error), SL_INVALID);
    route.share_count = 1;
    CU_ASSERT_EQUAL(SlPlan_AddRoute(plan, &route, &error), SL_OK);
    CU_ASSERT_EQUAL(SlPlan_AddRoute(plan, &route, &error), SL_OK);
    CU_ASSERT_EQUAL(SlPlan_Finish(plan, &error), SL_INVALID);
    CU_ASSERT(strlen(error.message) > 0);
    SlPlan_Unref(plan);
}

static void
test_many_routes(void)
{
    struct SlPlan *plan = two_services();
    struct SlError error;
    struct SlAddress address;
    char text[SL_ADDRESS_TEXT_BYTES];

    for (uint32_t i = 0; i < 2000; i++) {
        struct SlPlanRoute route;

        snprintf(text, sizeof(text), "198.18.%u.%u:443", i / 250,
                 (i * 7) % 250 + 1);
        route = route_of(text);
        snprintf(route.name, sizeof(route.name), "route-%u", i);
        CU_ASSERT_EQUAL(SlPlan_AddRoute(plan, &route, &error), SL_OK);
    }
    CU_ASSERT_EQUAL(SlPlan_Finish(plan, &error), SL_OK);
    for (uint32_t i = 0; i < SlPlan_RouteCount(plan); i++) {
        const struct SlPlanRoute *route = SlPlan_RouteAt(plan, i);

        CU_ASSERT_PTR_EQUAL(SlPlan_FindRoute(plan, &route->address), route);
    }
    CU_ASSERT_EQUAL(SlAddress_Parse("198.18.200.1:443", &address), SL_OK);
    CU_ASSERT_PTR_NULL(SlPlan_FindRoute(plan, &address));
    SlPlan_Unref(plan);
}

static struct SlChange
document_change(uint64_t client, uint64_t request, uint64_t version,
                const char *text)
{
    return (struct SlChange){
        .client = client,
        .request = request,
        .base = {.term = 1, .index = 1},
        .verb = SL_VERB_DOCUMENT,
        .document = {.version = version,
                     .length_bytes = (uint32_t)strlen(text),
                     .bytes = (const uint8_t *)text},
    };
}

static bool
holds_document(const struct control_fixture *lab, uint32_t at,
               uint64_t version, const char *text)
{
    const struct SlDocument *document =
        SlConfig_Document(config_at_node(lab, at));

    return document != NULL && document->version == version &&
           document->length_bytes == strlen(text) &&
           memcmp(document->bytes, text, strlen(text)) == 0;
}

/// Lower and equal versions are accepted and change nothing.
static void
test_only_higher_versions(void)
{
    struct control_fixture *lab = create_control_fixture(3, 31);
    struct SlChange fifth = document_change(1, 1, 5, "five");
    struct SlChange lower = document_change(1, 2, 4, "four");
    struct SlChange equal = document_change(2, 1, 5, "other five");
    struct SlChange higher = document_change(2, 2, 9, "nine");

    CU_ASSERT_EQUAL(request_change(lab, &fifth)->status, SL_OK);
    CU_ASSERT_EQUAL(request_change(lab, &lower)->status, SL_OK);
    CU_ASSERT_EQUAL(request_change(lab, &equal)->status, SL_OK);
    fixture_run(lab, 20);
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT(holds_document(lab, i, 5, "five"));
    }
    CU_ASSERT_EQUAL(request_change(lab, &higher)->status, SL_OK);
    CU_ASSERT_EQUAL(request_change(lab, &fifth)->status, SL_OK);
    fixture_run(lab, 20);
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT(holds_document(lab, i, 9, "nine"));
    }
    destroy_control_fixture(lab);
}

/// Two operators race; their answers are lost at random and they send again,
/// to any instance. All instances end with the highest accepted version, and
/// none ever goes back.
static void
test_race_with_lost_answers(void)
{
    for (uint64_t seed = 1; seed <= 30; seed++) {
        struct control_fixture *lab = create_control_fixture(3, seed);
        uint64_t highest = 0;
        uint64_t seen[3] = {0};

        for (uint64_t i = 1; i <= 20; i++) {
            uint64_t client = 1 + i % 2;
            uint64_t version = i + simulation_random(&lab->simulation, 4);
            char text[32];
            struct SlChange change;

            snprintf(text, sizeof(text), "version %llu of %llu",
                     (unsigned long long)version, (unsigned long long)client);
            change = document_change(client, i, version, text);
            if (simulation_random(&lab->simulation, 3) == 0) {
                send_change(lab,
                            (uint32_t)simulation_random(&lab->simulation, 3),
                            &change);
                fixture_run(lab,
                            (uint32_t)simulation_random(&lab->simulation, 6));
            }
            CU_ASSERT_EQUAL(request_change(lab, &change)->status, SL_OK);
            highest = version > highest ? version : highest;
            for (uint32_t at = 0; at < 3; at++) {
                const struct SlDocument *document =
                    SlConfig_Document(config_at_node(lab, at));

                if (document != NULL) {
                    CU_ASSERT(document->version >= seen[at]);
                    seen[at] = document->version;
                }
            }
        }
        fixture_run(lab, 20);
        for (uint32_t at = 0; at < 3; at++) {
            CU_ASSERT_EQUAL(
                SlConfig_Document(config_at_node(lab, at))->version, highest);
        }
        destroy_control_fixture(lab);
    }
}

/// Through snapshots, crashes of all instances, and an empty folder.
static void
test_document_survives(void)
{
    struct control_fixture *lab = create_control_fixture(3, 33);
    struct control_simulation *world = &lab->simulation;

    for (uint64_t i = 1; i <= 100; i++) {
        char text[32];
        struct SlChange change;

        snprintf(text, sizeof(text), "number %llu", (unsigned long long)i);
        change = document_change(1, i, i, text);
        CU_ASSERT_EQUAL(request_change(lab, &change)->status, SL_OK);
    }
    for (uint32_t i = 0; i < 3; i++) {
        simulation_crash_node(world, i);
    }
    for (uint32_t i = 0; i < 3; i++) {
        fixture_start_node(lab, i);
    }
    fixture_run(lab, 60);
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT(holds_document(lab, i, 100, "number 100"));
    }
    simulation_crash_node(world, 1);
    simulation_wipe_node(world, 1);
    world->nodes[1].bootstrap = false;
    fixture_start_node(lab, 1);
    fixture_run(lab, 100);
    CU_ASSERT(holds_document(lab, 1, 100, "number 100"));
    destroy_control_fixture(lab);
}

/// A subscriber gets the document once, with a delta or with the whole.
static void
test_document_is_distributed(void)
{
    struct control_fixture *lab = create_control_fixture(3, 34);
    struct SlMessage subscribe = {.kind = SL_MESSAGE_SUBSCRIBE};
    struct SlChange change = document_change(1, 1, 3, "three");
    uint32_t leader = find_leader(lab);
    uint64_t link;

    CU_ASSERT_EQUAL(request_change(lab, &change)->status, SL_OK);
    link =
        simulation_connect(&lab->simulation, leader, "entry-1", SL_ROLE_ENTRY);
    simulation_send_message(&lab->simulation, leader, link, &subscribe);
    fixture_run(lab, 20);
    CU_ASSERT(lab->document_version == 3);
    CU_ASSERT_EQUAL(lab->documents, 1);
    change = document_change(1, 2, 4, "four");
    CU_ASSERT_EQUAL(request_change(lab, &change)->status, SL_OK);
    fixture_run(lab, 20);
    CU_ASSERT(lab->document_version == 4);
    CU_ASSERT_EQUAL(lab->documents, 2);
    change = make_change(1, 3, SL_VERB_CREATE, "ulaan-a");
    CU_ASSERT_EQUAL(request_change(lab, &change)->status, SL_OK);
    fixture_run(lab, 20);
    CU_ASSERT_EQUAL(lab->documents, 2);
    destroy_control_fixture(lab);
}

static void
test_bad_documents(void)
{
    struct control_fixture *lab = create_control_fixture(1, 35);
    struct SlChange nothing = document_change(1, 1, 3, "");
    struct SlChange no_version = document_change(1, 2, 0, "text");

    CU_ASSERT_EQUAL(request_change(lab, &nothing)->status, SL_INVALID);
    CU_ASSERT_EQUAL(request_change(lab, &no_version)->status, SL_INVALID);
    CU_ASSERT_PTR_NULL(SlConfig_Document(config_at_node(lab, 0)));
    destroy_control_fixture(lab);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"weights", test_weights},
        {"faults", test_faults},
        {"many routes", test_many_routes},
        {"only higher versions", test_only_higher_versions},
        {"a race with lost answers", test_race_with_lost_answers},
        {"a document survives", test_document_survives},
        {"a document is distributed", test_document_is_distributed},
        {"bad documents", test_bad_documents},
    };

    return RUN_SUITE("plans and documents", CASES);
}
