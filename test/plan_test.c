/* Plans and the documents that they are decoded from: weights, invalid input,
   concurrent operators, restarts, snapshots and distribution. */

#include "control_fixture.h"
#include "savoryledge/state/plan.h"

static struct SlPlanService
make_service(const char *name)
{
    struct SlPlanService service = {.capacity_flows = 2000};

    snprintf(service.name, sizeof(service.name), "%s", name);
    return service;
}

static struct SlPlanRoute
make_route(const char *address)
{
    struct SlPlanRoute route = {.name = "route",
                                .timeout_ms = 1000,
                                .share_count = 1,
                                .shares = {{.service_index = 0, .weight = 1}}};

    CU_ASSERT_EQUAL_FATAL(SlAddress_Parse(address, &route.address), SL_OK);
    return route;
}

static struct SlPlan *
create_plan_with_two_services(void)
{
    struct SlPlan *plan = SlPlan_Create(1);
    struct SlPlanService orders = make_service("orders");
    struct SlPlanService photos = make_service("photos");
    struct SlError error;

    CU_ASSERT_EQUAL_FATAL(SlPlan_AddService(plan, &orders, &error), SL_OK);
    CU_ASSERT_EQUAL_FATAL(SlPlan_AddService(plan, &photos, &error), SL_OK);
    return plan;
}

static struct SlFlowKey
make_flow(uint32_t flow_number)
{
    struct SlFlowKey flow = {.protocol = 6};
    char text[SL_ADDRESS_TEXT_BYTES];

    snprintf(text, sizeof(text), "100.64.%u.%u:%u", flow_number / 4000 % 200,
             flow_number / 200 % 20 + 1, 1024 + flow_number % 50000);
    CU_ASSERT_EQUAL_FATAL(SlAddress_Parse(text, &flow.caller), SL_OK);
    CU_ASSERT_EQUAL_FATAL(SlAddress_Parse("198.18.0.1:443", &flow.service),
                          SL_OK);
    return flow;
}

/// Weights of 90 and 10 over 10,000 flows. A copy of the route must give the
/// same choices, otherwise processes would send a flow to different services.
static void
test_weights(void)
{
    struct SlPlanRoute route = make_route("198.18.0.1:443");
    struct SlPlanRoute route_copy;
    uint32_t second_service_flows = 0;

    route.share_count = 2;
    route.shares[0] = (struct SlPlanShare){.service_index = 0, .weight = 90};
    route.shares[1] = (struct SlPlanShare){.service_index = 1, .weight = 10};
    route_copy = route;
    for (uint32_t i = 0; i < 10000; i++) {
        struct SlFlowKey flow = make_flow(i);

        second_service_flows += SlPlan_ChooseService(&route, &flow);
        CU_ASSERT_EQUAL(SlPlan_ChooseService(&route, &flow),
                        SlPlan_ChooseService(&route_copy, &flow));
    }
    CU_ASSERT(second_service_flows >= 800);
    CU_ASSERT(second_service_flows <= 1200);
    CU_ASSERT(SlPlan_RouteAllowsService(&route, 1));
    route.shares[1].weight = 0;
    CU_ASSERT_FALSE(SlPlan_RouteAllowsService(&route, 1));
    for (uint32_t i = 0; i < 1000; i++) {
        struct SlFlowKey flow = make_flow(i);

        CU_ASSERT_EQUAL(SlPlan_ChooseService(&route, &flow), 0);
    }
}

static void
test_invalid_plans(void)
{
    struct SlPlan *plan = create_plan_with_two_services();
    struct SlPlanService duplicate = make_service("orders");
    struct SlPlanRoute route = make_route("198.18.0.1:443");
    struct SlError error;

    CU_ASSERT_EQUAL(SlPlan_AddService(plan, &duplicate, &error), SL_INVALID);
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
    struct SlPlan *plan = create_plan_with_two_services();
    struct SlError error;
    struct SlAddress address;
    char text[SL_ADDRESS_TEXT_BYTES];

    for (uint32_t i = 0; i < 2000; i++) {
        struct SlPlanRoute route;

        snprintf(text, sizeof(text), "198.18.%u.%u:443", i / 250,
                 (i * 7) % 250 + 1);
        route = make_route(text);
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
make_document_change(uint64_t client, uint64_t request, uint64_t version,
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
holds_document(const struct control_fixture *fixture, uint32_t instance,
               uint64_t version, const char *text)
{
    const struct SlDocument *document =
        SlConfig_Document(config_at_node(fixture, instance));

    return document != NULL && document->version == version &&
           document->length_bytes == strlen(text) &&
           memcmp(document->bytes, text, strlen(text)) == 0;
}

/// A document with a lower or equal version is accepted without an effect,
/// also when it is a retry.
static void
test_only_higher_versions(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 31);
    struct SlChange fifth = make_document_change(1, 1, 5, "five");
    struct SlChange lower = make_document_change(1, 2, 4, "four");
    struct SlChange equal = make_document_change(2, 1, 5, "other five");
    struct SlChange higher = make_document_change(2, 2, 9, "nine");

    CU_ASSERT_EQUAL(request_change(fixture, &fifth)->status, SL_OK);
    CU_ASSERT_EQUAL(request_change(fixture, &lower)->status, SL_OK);
    CU_ASSERT_EQUAL(request_change(fixture, &equal)->status, SL_OK);
    fixture_run(fixture, 20);
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT(holds_document(fixture, i, 5, "five"));
    }
    CU_ASSERT_EQUAL(request_change(fixture, &higher)->status, SL_OK);
    CU_ASSERT_EQUAL(request_change(fixture, &fifth)->status, SL_OK);
    fixture_run(fixture, 20);
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT(holds_document(fixture, i, 9, "nine"));
    }
    destroy_control_fixture(fixture);
}

/// Two operators send documents concurrently. Answers are lost at random, and
/// the operators retry with any instance. No instance may go back to a lower
/// version, and all must end with the highest accepted one.
static void
test_concurrent_operators(void)
{
    for (uint64_t seed = 1; seed <= 30; seed++) {
        struct control_fixture *fixture = create_control_fixture(3, seed);
        uint64_t highest = 0;
        uint64_t seen_versions[3] = {0};

        for (uint64_t i = 1; i <= 20; i++) {
            uint64_t client = 1 + i % 2;
            uint64_t version = i + simulation_random(&fixture->simulation, 4);
            char text[32];
            struct SlChange change;

            snprintf(text, sizeof(text), "version %llu of %llu",
                     (unsigned long long)version, (unsigned long long)client);
            change = make_document_change(client, i, version, text);
            if (simulation_random(&fixture->simulation, 3) == 0) {
                send_change(
                    fixture,
                    (uint32_t)simulation_random(&fixture->simulation, 3),
                    &change);
                fixture_run(fixture, (uint32_t)simulation_random(
                                         &fixture->simulation, 6));
            }
            CU_ASSERT_EQUAL(request_change(fixture, &change)->status, SL_OK);
            highest = version > highest ? version : highest;
            for (uint32_t instance = 0; instance < 3; instance++) {
                const struct SlDocument *document =
                    SlConfig_Document(config_at_node(fixture, instance));

                if (document != NULL) {
                    CU_ASSERT(document->version >= seen_versions[instance]);
                    seen_versions[instance] = document->version;
                }
            }
        }
        fixture_run(fixture, 20);
        for (uint32_t instance = 0; instance < 3; instance++) {
            CU_ASSERT_EQUAL(
                SlConfig_Document(config_at_node(fixture, instance))->version,
                highest);
        }
        destroy_control_fixture(fixture);
    }
}

/// The document survives snapshots and a crash of all instances, and reaches
/// an instance that restarts with an empty folder.
static void
test_document_survives(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 33);
    struct control_simulation *simulation = &fixture->simulation;

    for (uint64_t i = 1; i <= 100; i++) {
        char text[32];
        struct SlChange change;

        snprintf(text, sizeof(text), "number %llu", (unsigned long long)i);
        change = make_document_change(1, i, i, text);
        CU_ASSERT_EQUAL(request_change(fixture, &change)->status, SL_OK);
    }
    for (uint32_t i = 0; i < 3; i++) {
        simulation_crash_node(simulation, i);
    }
    for (uint32_t i = 0; i < 3; i++) {
        fixture_start_node(fixture, i);
    }
    fixture_run(fixture, 60);
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT(holds_document(fixture, i, 100, "number 100"));
    }
    simulation_crash_node(simulation, 1);
    simulation_wipe_node(simulation, 1);
    simulation->nodes[1].bootstrap = false;
    fixture_start_node(fixture, 1);
    fixture_run(fixture, 100);
    CU_ASSERT(holds_document(fixture, 1, 100, "number 100"));
    destroy_control_fixture(fixture);
}

/// A subscriber gets each document exactly once, with the complete
/// configuration or with an incremental update.
static void
test_document_is_distributed(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 34);
    struct SlMessage subscribe = {.kind = SL_MESSAGE_SUBSCRIBE};
    struct SlChange change = make_document_change(1, 1, 3, "three");
    uint32_t leader = find_leader(fixture);
    uint64_t link;

    CU_ASSERT_EQUAL(request_change(fixture, &change)->status, SL_OK);
    link = simulation_connect(&fixture->simulation, leader, "entry-1",
                              SL_ROLE_ENTRY);
    simulation_send_message(&fixture->simulation, leader, link, &subscribe);
    fixture_run(fixture, 20);
    CU_ASSERT(fixture->document_version == 3);
    CU_ASSERT_EQUAL(fixture->documents, 1);
    change = make_document_change(1, 2, 4, "four");
    CU_ASSERT_EQUAL(request_change(fixture, &change)->status, SL_OK);
    fixture_run(fixture, 20);
    CU_ASSERT(fixture->document_version == 4);
    CU_ASSERT_EQUAL(fixture->documents, 2);
    change = make_change(1, 3, SL_VERB_CREATE, "ulaan-a");
    CU_ASSERT_EQUAL(request_change(fixture, &change)->status, SL_OK);
    fixture_run(fixture, 20);
    CU_ASSERT_EQUAL(fixture->documents, 2);
    destroy_control_fixture(fixture);
}

static void
test_invalid_documents(void)
{
    struct control_fixture *fixture = create_control_fixture(1, 35);
    struct SlChange empty = make_document_change(1, 1, 3, "");
    struct SlChange no_version = make_document_change(1, 2, 0, "text");

    CU_ASSERT_EQUAL(request_change(fixture, &empty)->status, SL_INVALID);
    CU_ASSERT_EQUAL(request_change(fixture, &no_version)->status, SL_INVALID);
    CU_ASSERT_PTR_NULL(SlConfig_Document(config_at_node(fixture, 0)));
    destroy_control_fixture(fixture);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"weights", test_weights},
        {"invalid plans", test_invalid_plans},
        {"many routes", test_many_routes},
        {"only higher versions", test_only_higher_versions},
        {"concurrent operators with lost answers", test_concurrent_operators},
        {"a document survives", test_document_survives},
        {"a document is distributed", test_document_is_distributed},
        {"invalid documents", test_invalid_documents},
    };

    return RUN_SUITE("plans and documents", CASES);
}
