/* The relay under load: requests deferred in favour of more urgent flows, and
   the cost of searches and load reports. */

#include "relay_simulation.h"
#include "savoryledge/balance/homes.h"

/// Occupies all slots of the upstream and lets an urgent flow wait for one.
static void
occupy_upstream_slots(struct relay_simulation *sim)
{
    sim->upstreams[0].service_time_us = 400 * 1000;
    for (uint32_t i = 0; i < 12; i++) {
        uint32_t caller_index =
            relay_open_flow_to_port(sim, 0, RELAY_STATUS_PORT);

        relay_simulation_run(sim, 5);
        relay_send_request(sim, 0, caller_index);
    }
    relay_simulation_run(sim, 5);
    (void)relay_open_flow(sim, 0);
    relay_simulation_run(sim, 5);
}

/// A request on an open flow is deferred while an urgent flow waits. Its
/// segments reach the upstream once and in order although the caller
/// retransmits them. Segments without data are not deferred.
static void
test_request_is_deferred(void)
{
    struct relay_simulation *sim = relay_simulation_create(1, 1, 2, 30);
    struct relay_upstream *upstream = &sim->upstreams[0];
    uint32_t caller_index = relay_open_flow_to_port(sim, 0, RELAY_STATUS_PORT);
    struct relay_caller *caller = &sim->callers[caller_index];
    struct SlRelayAgentCounters counters;
    uint32_t requests_before;

    relay_simulation_run(sim, 5);
    relay_send_request(sim, 0, caller_index);
    relay_simulation_run(sim, 200);
    CU_ASSERT_EQUAL(caller->answers, 1);
    occupy_upstream_slots(sim);
    requests_before = upstream->request_count;
    relay_send_request(sim, 0, caller_index);
    relay_simulation_run(sim, 10);
    relay_send_segment(sim, 0, caller, SL_SEGMENT_ACK, 100);
    relay_send_segment(sim, 0, caller, SL_SEGMENT_ACK, 0);
    relay_simulation_run(sim, 10);
    CU_ASSERT_EQUAL(upstream->request_count, requests_before);
    SlRelayAgent_Counters(sim->nodes[1].agent, &counters);
    CU_ASSERT_EQUAL(counters.requests_deferred, 1);
    relay_simulation_run(sim, 4000);
    CU_ASSERT_EQUAL(caller->answers, 2);
    CU_ASSERT_EQUAL(caller->resets, 0);
    relay_simulation_destroy(sim);
}

/// A deferred request is discarded when its caller leaves, and does not run.
static void
test_deferred_request_is_discarded(void)
{
    struct relay_simulation *sim = relay_simulation_create(1, 1, 2, 31);
    uint32_t caller_index = relay_open_flow_to_port(sim, 0, RELAY_STATUS_PORT);
    struct relay_caller *caller = &sim->callers[caller_index];
    struct upstream_flow *held;

    relay_simulation_run(sim, 5);
    relay_send_request(sim, 0, caller_index);
    relay_simulation_run(sim, 200);
    occupy_upstream_slots(sim);
    relay_send_request(sim, 0, caller_index);
    relay_simulation_run(sim, 10);
    relay_send_segment(sim, 0, caller, SL_SEGMENT_RESET, 0);
    relay_simulation_run(sim, 3000);
    held = upstream_find(&sim->upstreams[0], &caller->key);
    CU_ASSERT_PTR_NOT_NULL_FATAL(held);
    CU_ASSERT_EQUAL(held->answer_us, 0);
    CU_ASSERT_EQUAL(caller->answers, 1);
    relay_simulation_destroy(sim);
}

/// A new flow moves to another entry in the zone of its holder: only its homes
/// in that zone are queried. From an entry in another zone it is found by a
/// broadcast query.
static void
test_search_starts_in_own_zone(void)
{
    struct relay_simulation *sim = relay_simulation_create(4, 12, 2, 32);
    uint32_t caller_index = relay_open_flow_and_request(sim, 0);
    uint32_t queries_before = sim->frames[SL_RELAY_QUERY];

    CU_ASSERT_EQUAL(relay_find_holder(sim, caller_index) % 2, 0);
    relay_send_request(sim, 2, caller_index);
    relay_simulation_run(sim, 60);
    CU_ASSERT_EQUAL(sim->callers[caller_index].answers, 2);
    CU_ASSERT_EQUAL(sim->frames[SL_RELAY_QUERY] - queries_before,
                    SL_HOMES_PER_ZONE);
    relay_send_request(sim, 1, caller_index);
    relay_simulation_run(sim, 60);
    CU_ASSERT_EQUAL(sim->callers[caller_index].answers, 3);
    CU_ASSERT_EQUAL(sim->frames[SL_RELAY_QUERY] - queries_before,
                    2 * SL_HOMES_PER_ZONE);
    CU_ASSERT_EQUAL(sim->frames[SL_RELAY_BROADCAST_QUERY], 1);
    relay_simulation_destroy(sim);
}

/// The answer to an offer shows the entry that the upstream has a request in
/// progress. The end of the request is reported without a further offer.
static void
test_end_of_request_is_reported(void)
{
    struct relay_simulation *sim = relay_simulation_create(1, 3, 2, 33);
    uint32_t reports_before;

    for (uint32_t i = 0; i < 3; i++) {
        sim->upstreams[i].service_time_us = 2 * 1000;
    }
    for (uint32_t i = 0; i < 12; i++) {
        (void)relay_open_flow_and_request(sim, 0);
    }
    relay_simulation_run(sim, 1001);
    reports_before = sim->frames[SL_RELAY_REPORT];
    (void)relay_open_flow_and_request(sim, 0);
    relay_simulation_run(sim, 1000);
    CU_ASSERT_EQUAL(sim->frames[SL_RELAY_REPORT], reports_before + 1);
    relay_simulation_destroy(sim);
}

/// However many entries send frames, the reports of an agent stay within the
/// 7,000 bytes/s that a node may use for control traffic, less 92 bytes/s for
/// control instances. Each frame is counted with 28 bytes of headers.
static void
test_report_rate_is_limited(void)
{
    struct relay_simulation *sim = relay_simulation_create(1, 1, 2, 21);
    struct relay_node *node = &sim->nodes[1];
    uint32_t bytes = 0;

    for (uint32_t i = 0; i < 100; i++) {
        struct SlObject entry = {.kind = SL_KIND_NODE,
                                 .node = {.roles = SL_ROLE_ENTRY, .boot = 1}};

        snprintf(entry.name, sizeof(entry.name), "many-%u", i);
        entry.node.node_id = SlNode_Id(entry.name);
        entry.node.tunnel = relay_address("10.9.0", 1, (uint16_t)(1 + i));
        CU_ASSERT_EQUAL(SlConfig_PutObject(sim->config, &entry), SL_OK);
    }
    relay_configure_all(sim);
    sim->frames[SL_RELAY_REPORT] = 0;
    for (uint32_t step = 0; step < 3000; step += 20) {
        for (uint32_t i = 0; i < 100; i++) {
            struct SlRelayFrame query = {.kind = SL_RELAY_QUERY};
            char name[SL_NAME_BYTES];

            snprintf(name, sizeof(name), "many-%u", i);
            query.sender = SlNode_Id(name);
            SlRelayAgent_HandleFrame(node->agent, &node->sink, sim->now_us,
                                     &node->address, &query);
        }
        sim->upstreams[0].status.slots = 1 + step / 20 % 3;
        CU_ASSERT(relay_report_status(sim, 0));
        relay_simulation_run(sim, 20);
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
    printf("reports: %u in 3 s, %u bytes each\n", sim->frames[SL_RELAY_REPORT],
           bytes);
    CU_ASSERT(sim->frames[SL_RELAY_REPORT] > 100);
    CU_ASSERT(sim->frames[SL_RELAY_REPORT] * bytes <= 3 * 6908 + 100 * bytes);
    relay_simulation_destroy(sim);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"a request is deferred for an urgent flow", test_request_is_deferred},
        {"a deferred request is discarded",
         test_deferred_request_is_discarded},
        {"a search starts in the entry's zone",
         test_search_starts_in_own_zone},
        {"the end of a request is reported", test_end_of_request_is_reported},
        {"the rate of reports is limited", test_report_rate_is_limited},
    };

    return RUN_SUITE("relay load", CASES);
}
