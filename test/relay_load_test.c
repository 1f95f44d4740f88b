/* The relay under load: requests that wait for more urgent ones, and the cost
   of searches and reports. */

#include "relay_simulation.h"
#include "savoryledge/balance/homes.h"

/// An upstream whose slots are taken, and an urgent flow that waits for one.
static void
fill_upstream(struct relay_simulation *world)
{
    world->upstreams[0].service_time_us = 400 * 1000;
    for (uint32_t i = 0; i < 12; i++) {
        uint32_t at = relay_open_flow_to_port(world, 0, RELAY_STATUS_PORT);

        relay_simulation_run(world, 5);
        relay_send_request(world, 0, at);
    }
    relay_simulation_run(world, 5);
    (void)relay_open_flow(world, 0);
    relay_simulation_run(world, 5);
}

/// A request on an open flow waits while an urgent flow does. Its segments
/// reach the upstream once each and in order, though the caller sends them
/// again; what is no request passes meanwhile.
static void
test_request_waits(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 1, 2, 30);
    struct relay_upstream *upstream = &world->upstreams[0];
    uint32_t at = relay_open_flow_to_port(world, 0, RELAY_STATUS_PORT);
    struct relay_caller *caller = &world->callers[at];
    struct SlRelayAgentCounters counters;
    uint32_t requests;

    relay_simulation_run(world, 5);
    relay_send_request(world, 0, at);
    relay_simulation_run(world, 200);
    CU_ASSERT_EQUAL(caller->answers, 1);
    fill_upstream(world);
    requests = upstream->requests;
    relay_send_request(world, 0, at);
    relay_simulation_run(world, 10);
    relay_send(world, 0, caller, SL_SEGMENT_ACK, 100);
    relay_send(world, 0, caller, SL_SEGMENT_ACK, 0);
    relay_simulation_run(world, 10);
    CU_ASSERT_EQUAL(upstream->requests, requests);
    SlRelayAgent_Counters(world->nodes[1].agent, &counters);
    CU_ASSERT_EQUAL(counters.requests_deferred, 1);
    relay_simulation_run(world, 4000);
    CU_ASSERT_EQUAL(caller->answers, 2);
    CU_ASSERT_EQUAL(caller->resets, 0);
    relay_simulation_destroy(world);
}

/// A caller that leaves takes a request along that still waits: it does not
/// run.
static void
test_request_that_waits_is_dropped(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 1, 2, 31);
    uint32_t at = relay_open_flow_to_port(world, 0, RELAY_STATUS_PORT);
    struct relay_caller *caller = &world->callers[at];
    struct held_flow *held;

    relay_simulation_run(world, 5);
    relay_send_request(world, 0, at);
    relay_simulation_run(world, 200);
    fill_upstream(world);
    relay_send_request(world, 0, at);
    relay_simulation_run(world, 10);
    relay_send(world, 0, caller, SL_SEGMENT_RESET, 0);
    relay_simulation_run(world, 3000);
    held = upstream_find(&world->upstreams[0], &caller->key);
    CU_ASSERT_PTR_NOT_NULL_FATAL(held);
    CU_ASSERT_EQUAL(held->answer_us, 0);
    CU_ASSERT_EQUAL(caller->answers, 1);
    relay_simulation_destroy(world);
}

/// A young flow moves to another entry of its zone, where its holder is: only
/// its homes there are asked. One that is held in another zone is found when
/// an agent has asked all others.
static void
test_search_begins_near(void)
{
    struct relay_simulation *world = relay_simulation_create(4, 12, 2, 32);
    uint32_t at = relay_exchange(world, 0);
    uint32_t asked = world->frames[SL_RELAY_QUERY];

    CU_ASSERT_EQUAL(relay_holder(world, at) % 2, 0);
    relay_send_request(world, 2, at);
    relay_simulation_run(world, 60);
    CU_ASSERT_EQUAL(world->callers[at].answers, 2);
    CU_ASSERT_EQUAL(world->frames[SL_RELAY_QUERY] - asked, SL_HOMES_PER_ZONE);
    relay_send_request(world, 1, at);
    relay_simulation_run(world, 60);
    CU_ASSERT_EQUAL(world->callers[at].answers, 3);
    CU_ASSERT_EQUAL(world->frames[SL_RELAY_QUERY] - asked,
                    2 * SL_HOMES_PER_ZONE);
    CU_ASSERT_EQUAL(world->frames[SL_RELAY_BROADCAST_QUERY], 1);
    relay_simulation_destroy(world);
}

/// An entry learns from an answer to its offer that an upstream has a request
/// in progress; it hears without another offer when that is over.
static void
test_entry_hears_of_the_end(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 3, 2, 33);
    uint32_t reports;

    for (uint32_t i = 0; i < 3; i++) {
        world->upstreams[i].service_time_us = 2 * 1000;
    }
    for (uint32_t i = 0; i < 12; i++) {
        (void)relay_exchange(world, 0);
    }
    relay_simulation_run(world, 1001);
    reports = world->frames[SL_RELAY_REPORT];
    (void)relay_exchange(world, 0);
    relay_simulation_run(world, 1000);
    CU_ASSERT_EQUAL(world->frames[SL_RELAY_REPORT], reports + 1);
    relay_simulation_destroy(world);
}

/// However many entries listen, an agent spends no more on reports than the
/// 7,000 bytes/s that a node may take for control, less 92 with control
/// instances, at 28 bytes of headers a frame.
static void
test_reports_are_bounded(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 1, 2, 21);
    struct relay_node *node = &world->nodes[1];
    uint32_t bytes = 0;

    for (uint32_t i = 0; i < 100; i++) {
        struct SlObject entry = {.kind = SL_KIND_NODE,
                                 .node = {.roles = SL_ROLE_ENTRY, .boot = 1}};

        snprintf(entry.name, sizeof(entry.name), "many-%u", i);
        entry.node.node_id = SlNode_Id(entry.name);
        entry.node.tunnel = relay_address("10.9.0", 1, (uint16_t)(1 + i));
        CU_ASSERT_EQUAL(SlConfig_PutObject(world->config, &entry), SL_OK);
    }
    relay_configure_all(world);
    world->frames[SL_RELAY_REPORT] = 0;
    for (uint32_t step = 0; step < 3000; step += 20) {
        for (uint32_t i = 0; i < 100; i++) {
            struct SlRelayFrame ask = {.kind = SL_RELAY_QUERY};
            char name[SL_NAME_BYTES];

            snprintf(name, sizeof(name), "many-%u", i);
            ask.sender = SlNode_Id(name);
            SlRelayAgent_HandleFrame(node->agent, &node->sink, world->now_us,
                                     &node->address, &ask);
        }
        world->upstreams[0].status.slots = 1 + step / 20 % 3;
        CU_ASSERT(relay_report_status(world, 0));
        relay_simulation_run(world, 20);
    }
    {
        struct SlRelayFrame report = {.kind = SL_RELAY_REPORT,
                                      .sender = UINT64_MAX,
                                      .load = {.in_progress = 100,
                                               .slots = 100,
                                               .flows = 2000,
                                               .answer_us = 100000}};
        uint8_t wire[SL_RELAY_MAX_BYTES];

        bytes = SlRelayFrame_Encode(&report, wire) + 28;
    }
    printf("reports: %u in 3 s, %u bytes each\n",
           world->frames[SL_RELAY_REPORT], bytes);
    CU_ASSERT(world->frames[SL_RELAY_REPORT] > 100);
    CU_ASSERT(world->frames[SL_RELAY_REPORT] * bytes <=
              3 * 6908 + 100 * bytes);
    relay_simulation_destroy(world);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"a request waits for an urgent flow", test_request_waits},
        {"a request that waits is dropped",
         test_request_that_waits_is_dropped},
        {"a search begins near", test_search_begins_near},
        {"an entry hears that a request is over", test_entry_hears_of_the_end},
        {"reports are bounded", test_reports_are_bounded},
    };

    return RUN_SUITE("relay load", CASES);
}
