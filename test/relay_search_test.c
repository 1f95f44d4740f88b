/* Searches for the holders of flows at a large service: what they cost when
   every process has restarted, when nobody holds the flows any more, and when
   the entry itself hears badly. */

#include "relay_simulation.h"
#include "savoryledge/balance/homes.h"

enum {
    AGENTS = 120,
    FLOWS = 160,
};

/// Opens flows through entry 0 and lets each make a request.
static void
open_flows(struct relay_simulation *world, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        (void)relay_open_flow(world, 0);
        relay_simulation_run(world, 4);
        relay_send_request(world, 0, i);
        relay_simulation_run(world, 16);
    }
    relay_simulation_run(world, 100);
    for (uint32_t i = 0; i < count; i++) {
        CU_ASSERT_EQUAL(world->callers[i].answers, 1);
    }
}

static uint32_t
questions(const struct relay_simulation *world)
{
    return world->frames[SL_RELAY_QUERY] + world->frames[SL_RELAY_QUERY_MANY];
}

static uint32_t
all_frames(const struct relay_simulation *world)
{
    uint32_t sum = 0;

    for (uint32_t i = 0; i < SL_RELAY_KIND_COUNT; i++) {
        sum += world->frames[i];
    }
    return sum;
}

/// Flows that move to another entry of the zone are found with one question to
/// each of their homes there, though 120 agents may be the holder.
static void
test_moved_flows(void)
{
    struct relay_simulation *world = relay_simulation_create(4, AGENTS, 2, 40);
    uint32_t dear = 0;

    open_flows(world, FLOWS);
    for (uint32_t i = 0; i < FLOWS; i++) {
        uint32_t asked = questions(world);

        relay_send_request(world, 2, i);
        relay_simulation_run(world, 50);
        dear += questions(world) - asked > SL_HOMES_PER_ZONE;
        CU_ASSERT_EQUAL(world->callers[i].answers, 2);
    }
    /* A flow whose near homes had a request each went to another zone. */
    CU_ASSERT(dear <= FLOWS / 10);
    printf("moved flows: %u of %u asked more than their near homes\n", dear,
           FLOWS);
    relay_simulation_destroy(world);
}

/// Every process restarts at once while the upstreams keep their flows, and
/// all callers go on: any of 120 agents may hold any flow. Each flow is found
/// within a few tens of milliseconds, and no segment is tried at many agents.
static void
test_all_restart(void)
{
    struct relay_simulation *world = relay_simulation_create(2, AGENTS, 2, 41);
    struct SlRelayEntryCounters counters;
    uint32_t frames;

    open_flows(world, FLOWS);
    for (uint32_t i = 0; i < AGENTS; i++) {
        world->upstreams[i].status.seq = 30;
        relay_restart(world, 2 + i);
        CU_ASSERT(relay_report_status(world, i));
    }
    relay_restart(world, 0);
    frames = all_frames(world);
    for (uint32_t i = 0; i < FLOWS; i++) {
        relay_send_request(world, 0, i);
        relay_simulation_run(world, 1);
    }
    relay_simulation_run(world, 300);
    for (uint32_t i = 0; i < FLOWS; i++) {
        CU_ASSERT_EQUAL(world->callers[i].answers, 2);
        CU_ASSERT_EQUAL(world->callers[i].resets, 0);
    }
    SlRelayEntry_Counters(world->nodes[0].entry, &counters);
    CU_ASSERT_EQUAL(counters.found, FLOWS);
    CU_ASSERT_EQUAL(counters.searches_given_up, 0);
    /* Four questions with their answers, four tries with what comes back, and
       reports of load beside them. */
    CU_ASSERT(all_frames(world) - frames <= FLOWS * 20);
    relay_simulation_destroy(world);
}

/// All upstreams start anew and hold nothing.
static void
restart_upstreams(struct relay_simulation *world)
{
    for (uint32_t i = 0; i < world->agent_count; i++) {
        world->upstreams[i].held_count = 0;
        world->upstreams[i].status.started_ms = 5000;
        world->upstreams[i].status.seq = 0;
        CU_ASSERT(relay_report_status(world, i));
    }
}

/// All upstreams start anew, and all callers go on with their flows: each is
/// told within a tenth of a second that its flow is over. An agent asks all
/// others for many flows together; the entry asks the flows' homes, and one
/// agent for each 32 flows.
static void
test_nobody_holds(void)
{
    struct relay_simulation *world = relay_simulation_create(2, AGENTS, 2, 42);
    struct SlRelayEntryCounters counters;

    open_flows(world, FLOWS);
    restart_upstreams(world);
    for (uint32_t i = 0; i < FLOWS; i++) {
        relay_send_request(world, 1, i);
        relay_simulation_run(world, 1);
    }
    relay_simulation_run(world, 100);
    for (uint32_t i = 0; i < FLOWS; i++) {
        CU_ASSERT_EQUAL(world->callers[i].resets, 1);
    }
    SlRelayEntry_Counters(world->nodes[1].entry, &counters);
    CU_ASSERT(counters.broadcasts <= FLOWS / 8);
    CU_ASSERT(counters.queries <=
              FLOWS * SL_HOMES_PER_ZONE + counters.broadcasts);
    relay_simulation_destroy(world);
}

/// Three frames of a hundred are lost, so hardly any question to 120 agents is
/// answered by all of them at first: they are asked again, and every caller
/// learns all the same that its flow is over.
static void
test_nobody_holds_with_loss(void)
{
    struct relay_simulation *world = relay_simulation_create(2, AGENTS, 2, 45);
    uint32_t told = 0;

    open_flows(world, FLOWS);
    restart_upstreams(world);
    world->loss_permille = 30;
    for (uint32_t i = 0; i < FLOWS; i++) {
        relay_send_request(world, 1, i);
    }
    relay_simulation_run(world, 1500);
    for (uint32_t i = 0; i < FLOWS; i++) {
        told += world->callers[i].resets > 0;
    }
    /* A caller whose question was lost three times sends again itself. */
    CU_ASSERT(told >= FLOWS * 95 / 100);
    for (uint32_t i = 0; i < FLOWS; i++) {
        if (world->callers[i].resets == 0) {
            relay_send(world, 1, &world->callers[i], SL_SEGMENT_ACK, 100);
        }
    }
    relay_simulation_run(world, 1500);
    for (uint32_t i = 0; i < FLOWS; i++) {
        CU_ASSERT(world->callers[i].resets > 0);
    }
    relay_simulation_destroy(world);
}

/// Agents that know an older configuration than the entry do not know all who
/// may hold a flow: by their word nothing is reset.
static void
test_agents_behind(void)
{
    struct relay_simulation *world = relay_simulation_create(2, 12, 2, 46);

    open_flows(world, 1);
    restart_upstreams(world);
    SlConfig_SetVersion(world->config,
                        (struct SlVersion){.term = 1, .index = 2});
    relay_configure(world, 1);
    relay_send_request(world, 1, 0);
    relay_simulation_run(world, 2000);
    CU_ASSERT_EQUAL(world->callers[0].resets, 0);
    relay_configure_all(world);
    relay_send_request(world, 1, 0);
    relay_simulation_run(world, 200);
    CU_ASSERT_EQUAL(world->callers[0].resets, 1);
    relay_simulation_destroy(world);
}

/// The agent that was to ask the others is dark, but has no upstream any more:
/// another one is asked to.
static void
test_dark_delegate(void)
{
    struct relay_simulation *world = relay_simulation_create(2, 12, 2, 47);

    open_flows(world, 40);
    restart_upstreams(world);
    for (uint32_t i = 0; i < 4; i++) {
        struct SlObject gone = *SlConfig_FindObject(
            world->config, SL_KIND_NODE, world->nodes[2 + i].name);

        gone.node.unreachable = true;
        CU_ASSERT_EQUAL(SlConfig_PutObject(world->config, &gone), SL_OK);
        world->nodes[2 + i].dark = true;
    }
    relay_configure_all(world);
    relay_simulation_run(world, 10500);
    for (uint32_t i = 0; i < 40; i++) {
        relay_send_request(world, 1, i);
        relay_simulation_run(world, 60);
    }
    relay_simulation_run(world, 1000);
    for (uint32_t i = 0; i < 40; i++) {
        CU_ASSERT_EQUAL(world->callers[i].resets, 1);
    }
    relay_simulation_destroy(world);
}

/// An agent is silent, so nothing is certain, and the caller sends the same
/// segment again and again: that does not begin a search each time.
static void
test_fruitless_search_is_remembered(void)
{
    struct relay_simulation *world = relay_simulation_create(2, AGENTS, 2, 43);
    struct SlRelayEntryCounters counters;
    uint32_t holder;

    open_flows(world, 1);
    holder = relay_holder(world, 0);
    world->nodes[2 + holder].dark = true;
    for (uint32_t i = 0; i < 30; i++) {
        relay_send(world, 1, &world->callers[0], SL_SEGMENT_ACK, 100);
        relay_simulation_run(world, 100);
    }
    SlRelayEntry_Counters(world->nodes[1].entry, &counters);
    CU_ASSERT_EQUAL(world->callers[0].resets, 0);
    CU_ASSERT(counters.searches >= 2);
    CU_ASSERT(counters.searches <= 4);
    world->nodes[2 + holder].dark = false;
    relay_simulation_run(world, 1600);
    relay_send_request(world, 1, 0);
    relay_simulation_run(world, 300);
    CU_ASSERT_EQUAL(world->callers[0].answers, 2);
    relay_simulation_destroy(world);
}

/// Nothing reaches the entry for a while, though agents answer: it suspects
/// no more of them than may be as many accidents, and goes on at once when it
/// hears again.
static void
test_deaf_entry_blames_itself(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 24, 2, 44);
    struct SlRelayEntryCounters counters;
    uint32_t refused;

    open_flows(world, 40);
    for (uint32_t i = 0; i < 24; i++) {
        world->nodes[1 + i].dark = true;
    }
    for (uint32_t i = 0; i < 30; i++) {
        (void)relay_open_flow(world, 0);
        relay_simulation_run(world, 20);
    }
    for (uint32_t i = 0; i < 24; i++) {
        world->nodes[1 + i].dark = false;
    }
    relay_simulation_run(world, 1000);
    SlRelayEntry_Counters(world->nodes[0].entry, &counters);
    refused = (uint32_t)counters.refused;
    CU_ASSERT(counters.suspects <= 2);
    for (uint32_t i = 0; i < 40; i++) {
        uint32_t at = relay_open_flow(world, 0);

        relay_simulation_run(world, 10);
        CU_ASSERT_EQUAL(world->callers[at].state, CALLER_WAITING);
    }
    SlRelayEntry_Counters(world->nodes[0].entry, &counters);
    CU_ASSERT_EQUAL(counters.refused, refused);
    relay_simulation_destroy(world);
}

static uint32_t
opened_elsewhere(const struct relay_simulation *world, uint32_t holder)
{
    uint32_t opened = 0;

    for (uint32_t i = 0; i < world->agent_count; i++) {
        opened += i != holder ? world->upstreams[i].opened : 0;
    }
    return opened;
}

/// The machine of a flow's holder is silent for silent_ms in the middle of a
/// request, and the caller sends again through both entries meanwhile. The
/// flow is neither given up nor started anywhere else, and goes on afterwards.
static void
try_silence(uint32_t silent_ms, uint64_t seed)
{
    struct relay_simulation *world = relay_simulation_create(4, 12, 2, seed);
    uint32_t at = relay_exchange(world, 0);
    uint32_t holder = relay_holder(world, at);
    uint32_t elsewhere = opened_elsewhere(world, holder);
    struct relay_caller *caller = &world->callers[at];

    relay_send_request(world, 0, at);
    relay_simulation_run(world, 5);
    world->nodes[4 + holder].dark = true;
    for (uint32_t spent_ms = 0; spent_ms < silent_ms; spent_ms += 100) {
        relay_simulation_run(world, 100);
        relay_send(world, spent_ms % 200 == 0 ? 2 : 0, caller, SL_SEGMENT_ACK,
                   100);
    }
    world->nodes[4 + holder].dark = false;
    relay_simulation_run(world, 1700);
    relay_send_request(world, 2, at);
    relay_simulation_run(world, 500);
    CU_ASSERT_EQUAL(caller->state, CALLER_ANSWERED);
    CU_ASSERT(caller->answers >= 2);
    CU_ASSERT_EQUAL(caller->resets, 0);
    CU_ASSERT_EQUAL(relay_holder(world, at), holder);
    CU_ASSERT_EQUAL(opened_elsewhere(world, holder), elsewhere);
    relay_simulation_destroy(world);
}

static void
test_silent_machine_keeps_its_work(void)
{
    try_silence(200, 60);
    try_silence(1000, 61);
    try_silence(5000, 62);
    try_silence(9000, 63);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"flows that move are found at their homes", test_moved_flows},
        {"every process restarts", test_all_restart},
        {"nobody holds the flows any more", test_nobody_holds},
        {"nobody holds them, and frames are lost",
         test_nobody_holds_with_loss},
        {"agents that are behind", test_agents_behind},
        {"agents that are dark", test_dark_delegate},
        {"a fruitless search is remembered",
         test_fruitless_search_is_remembered},
        {"a silent machine keeps its work",
         test_silent_machine_keeps_its_work},
        {"an entry that hears nothing blames itself",
         test_deaf_entry_blames_itself},
    };

    return RUN_SUITE("relay search", CASES);
}
