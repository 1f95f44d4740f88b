/* The relay as a whole: flows opened, moved between entries, found again
   after restarts, and never reset while somebody holds them. */

#include "relay_simulation.h"
#include "savoryledge/balance/homes.h"

enum {
    /// A service in which any agent may hold a flow.
    FULL_AGENTS = 24,
};

static void
test_flow_is_served(void)
{
    struct relay_simulation *world = relay_simulation_create(2, 3, 2, 1);
    uint32_t caller = relay_exchange(world, 0);

    CU_ASSERT_EQUAL(world->callers[caller].state, CALLER_ANSWERED);
    CU_ASSERT_EQUAL(world->callers[caller].answers, 1);
    CU_ASSERT_NOT_EQUAL(relay_holder(world, caller), 3);
    relay_simulation_destroy(world);
}

/// A router that spreads flows anew sends them to entries that never saw
/// them: each finds the holder among the flow's homes of its zone. For an
/// entry of another zone an agent asks all others.
static void
test_flow_moves_to_another_entry(void)
{
    struct relay_simulation *world = relay_simulation_create(4, 6, 2, 2);
    uint32_t callers[20];
    uint32_t asked;

    for (uint32_t i = 0; i < 20; i++) {
        callers[i] = relay_exchange(world, 0);
    }
    relay_simulation_run(world, 1100);
    for (uint32_t i = 0; i < 20; i++) {
        relay_send_request(world, 0, callers[i]);
        relay_simulation_run(world, 40);
    }
    asked = world->frames[SL_RELAY_QUERY];
    for (uint32_t i = 0; i < 20; i++) {
        relay_send_request(world, 2, callers[i]);
        relay_simulation_run(world, 60);
        CU_ASSERT_EQUAL(world->callers[callers[i]].answers, 3);
        CU_ASSERT_EQUAL(world->callers[callers[i]].resets, 0);
    }
    CU_ASSERT(world->frames[SL_RELAY_QUERY] - asked <= 20 * SL_HOMES_PER_ZONE);
    CU_ASSERT_EQUAL(world->frames[SL_RELAY_BROADCAST_QUERY], 0);
    for (uint32_t i = 0; i < 20; i++) {
        relay_send_request(world, 1, callers[i]);
        relay_simulation_run(world, 60);
        CU_ASSERT_EQUAL(world->callers[callers[i]].answers, 4);
        CU_ASSERT_EQUAL(world->callers[callers[i]].resets, 0);
    }
    CU_ASSERT(world->frames[SL_RELAY_QUERY] > asked);
    CU_ASSERT(world->frames[SL_RELAY_BROADCAST_QUERY] <= 20);
    relay_simulation_destroy(world);
}

/// All agents restart, and the router spreads flows over entries that do not
/// know them: what a wrong upstream gives back reaches the holder.
static void
test_returned_segment_reaches_holder(void)
{
    struct relay_simulation *world = relay_simulation_create(2, 6, 2, 3);
    uint32_t callers[30];
    uint32_t resets = 0;

    for (uint32_t i = 0; i < 30; i++) {
        callers[i] = relay_exchange(world, 0);
    }
    for (uint32_t i = 0; i < 6; i++) {
        relay_restart(world, 2 + i);
        CU_ASSERT(relay_report_status(world, i));
    }
    for (uint32_t i = 0; i < 30; i++) {
        relay_send_request(world, 1, callers[i]);
        relay_simulation_run(world, 150);
        if (world->callers[callers[i]].state != CALLER_ANSWERED) {
            relay_send(world, 1, &world->callers[callers[i]], SL_SEGMENT_ACK,
                       100);
            relay_simulation_run(world, 150);
        }
        CU_ASSERT_EQUAL(world->callers[callers[i]].state, CALLER_ANSWERED);
        resets += world->callers[callers[i]].resets;
    }
    CU_ASSERT_EQUAL(resets, 0);
    relay_simulation_destroy(world);
}

/// A flow whose upstream is gone is reset at once, so that its caller comes
/// again; one whose holder may only be out of reach is not.
static void
test_reset_only_when_nobody_holds(void)
{
    struct relay_simulation *world = relay_simulation_create(2, 4, 2, 4);
    uint32_t lost = relay_exchange(world, 0);
    uint32_t kept = relay_exchange(world, 0);
    uint32_t holder = relay_holder(world, lost);

    while (relay_holder(world, kept) == holder) {
        kept = relay_exchange(world, 0);
    }
    world->upstreams[holder].held_count = 0;
    world->upstreams[holder].status.started_ms = 5000;
    world->upstreams[holder].status.seq = 0;
    CU_ASSERT(relay_report_status(world, holder));
    relay_send_request(world, 1, lost);
    relay_simulation_run(world, 100);
    CU_ASSERT_EQUAL(world->callers[lost].resets, 1);

    world->nodes[2 + relay_holder(world, kept)].dark = true;
    relay_send_request(world, 1, kept);
    relay_simulation_run(world, 1500);
    CU_ASSERT_EQUAL(world->callers[kept].resets, 0);
    world->nodes[2 + relay_holder(world, kept)].dark = false;
    relay_send_request(world, 1, kept);
    relay_simulation_run(world, 200);
    CU_ASSERT_EQUAL(world->callers[kept].answers, 2);
    CU_ASSERT_EQUAL(world->callers[kept].resets, 0);
    relay_simulation_destroy(world);
}

/// An agent that control has lost may still hold a flow, and forbids the
/// reset; one that has been lost for long does not, and never one whose
/// upstream has said that it is gone.
static void
test_lost_agents(void)
{
    struct relay_simulation *world = relay_simulation_create(2, 4, 2, 18);
    uint32_t flow = relay_exchange(world, 0);
    uint32_t holder = relay_holder(world, flow);
    uint32_t other = (holder + 1) % 4;
    struct SlObject lost = *SlConfig_FindObject(world->config, SL_KIND_NODE,
                                                world->nodes[2 + other].name);

    world->nodes[2 + other].dark = true;
    lost.node.unreachable = true;
    CU_ASSERT_EQUAL(SlConfig_PutObject(world->config, &lost), SL_OK);
    relay_configure_all(world);
    world->upstreams[holder].held_count = 0;
    world->upstreams[holder].status.started_ms = 5000;
    world->upstreams[holder].status.seq = 0;
    CU_ASSERT(relay_report_status(world, holder));
    relay_send_request(world, 1, flow);
    relay_simulation_run(world, 1000);
    CU_ASSERT_EQUAL(world->callers[flow].resets, 0);

    relay_simulation_run(world, 10000);
    relay_configure_all(world);
    relay_send_request(world, 1, flow);
    relay_simulation_run(world, 100);
    CU_ASSERT_EQUAL(world->callers[flow].resets, 1);
    relay_simulation_destroy(world);
}

/// An upstream that has left is no longer one that may hold a flow.
static void
test_gone_upstream(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 2, 2, 19);
    struct SlUpstreamStatus *notice = &world->upstreams[1].status;
    struct relay_node *node = &world->nodes[2];

    CU_ASSERT(!SlRelayAgent_IsUpstreamGone(node->agent));
    CU_ASSERT(!SlRelayAgent_HandleUpstreamGone(node->agent, &node->sink,
                                               world->now_us, "another"));
    CU_ASSERT(!SlRelayAgent_IsUpstreamGone(node->agent));
    CU_ASSERT(SlRelayAgent_HandleUpstreamGone(node->agent, &node->sink,
                                              world->now_us, notice->id));
    CU_ASSERT(SlRelayAgent_IsUpstreamGone(node->agent));
    notice->started_ms = 5000;
    notice->seq = 0;
    CU_ASSERT(relay_report_status(world, 1));
    CU_ASSERT(!SlRelayAgent_IsUpstreamGone(node->agent));
    relay_simulation_destroy(world);
}

/// An agent that answers nothing costs a new flow a few hundredths of a
/// second, and later ones nothing.
static void
test_dark_agent_is_passed_by(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 4, 2, 5);
    uint32_t late = 0;

    world->nodes[1].dark = true;
    for (uint32_t i = 0; i < 60; i++) {
        uint32_t caller = relay_exchange(world, 0);

        CU_ASSERT_EQUAL(world->callers[caller].state, CALLER_ANSWERED);
        late +=
            world->callers[caller].done_us - world->callers[caller].began_us >
            200 * 1000;
    }
    CU_ASSERT_EQUAL(late, 0);
    relay_simulation_destroy(world);
}

/// An upstream that leaves opening segments unanswered: its agent is there
/// and passes them on.
static void
test_silent_upstream_is_passed_by(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 3, 2, 6);

    world->upstreams[0].silent = true;
    for (uint32_t i = 0; i < 30; i++) {
        uint32_t caller = relay_exchange(world, 0);

        CU_ASSERT_EQUAL(world->callers[caller].state, CALLER_ANSWERED);
    }
    CU_ASSERT(world->declined[SL_RELAY_SILENT] > 0);
    relay_simulation_destroy(world);
}

/// From the moment on at which an upstream says that it leaves, it gets no
/// new flow, and keeps those that it has.
static void
test_leaving_upstream(void)
{
    struct relay_simulation *world = relay_simulation_create(2, 3, 2, 7);
    uint32_t flow = relay_exchange(world, 0);
    uint32_t holder = relay_holder(world, flow);
    uint32_t opened;

    world->upstreams[holder].status.draining = true;
    CU_ASSERT(relay_report_status(world, holder));
    opened = world->upstreams[holder].opened;
    for (uint32_t i = 0; i < 30; i++) {
        uint32_t caller = relay_exchange(world, i % 2);

        CU_ASSERT_EQUAL(world->callers[caller].state, CALLER_ANSWERED);
    }
    CU_ASSERT_EQUAL(world->upstreams[holder].opened, opened);
    relay_send_request(world, 1, flow);
    relay_simulation_run(world, 100);
    CU_ASSERT_EQUAL(world->callers[flow].answers, 2);
    relay_simulation_destroy(world);
}

/// The same for a zone that is out; agents keep it even if an entry does not
/// know yet.
static void
test_zone_out(void)
{
    struct relay_simulation *world = relay_simulation_create(2, 4, 2, 8);
    struct SlObject zone = {
        .kind = SL_KIND_ZONE,
        .name = "a",
        .holds = {.count = 1, .items = {{.key = "operator"}}}};
    uint32_t opened;

    CU_ASSERT_EQUAL(SlConfig_PutObject(world->config, &zone), SL_OK);
    for (uint32_t i = 2; i < 6; i++) {
        relay_configure(world, i);
    }
    opened = world->upstreams[0].opened + world->upstreams[2].opened;
    for (uint32_t i = 0; i < 20; i++) {
        uint32_t caller = relay_exchange(world, 0);

        CU_ASSERT_EQUAL(world->callers[caller].state, CALLER_ANSWERED);
    }
    CU_ASSERT_EQUAL(world->upstreams[0].opened + world->upstreams[2].opened,
                    opened);
    CU_ASSERT(world->declined[SL_RELAY_ZONE_OUT] > 0);
    relay_simulation_destroy(world);
}

/// A notice of an earlier start of the upstream comes late, and so does an
/// older one of this start: neither changes anything.
static void
test_late_notices(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 2, 2, 9);
    struct relay_upstream *upstream = &world->upstreams[0];
    struct relay_node *node = &world->nodes[1];
    struct SlUpstreamStatus former = upstream->status;
    struct SlUpstreamStatus known;

    upstream->status.started_ms = 9000;
    upstream->status.seq = 0;
    snprintf(upstream->status.id, SL_NAME_BYTES, "next");
    CU_ASSERT(relay_report_status(world, 0));
    former.seq = 1000;
    former.draining = true;
    CU_ASSERT_FALSE(SlRelayAgent_UpdateStatus(node->agent, &node->sink,
                                              world->now_us, &former));
    CU_ASSERT_FALSE(SlRelayAgent_HandleUpstreamGone(node->agent, &node->sink,
                                                    world->now_us, former.id));
    CU_ASSERT(SlRelayAgent_GetUpstreamStatus(node->agent, &known));
    CU_ASSERT_STRING_EQUAL(known.id, "next");
    CU_ASSERT_FALSE(known.draining);
    known.draining = true;
    CU_ASSERT_FALSE(SlRelayAgent_UpdateStatus(node->agent, &node->sink,
                                              world->now_us, &known));
    CU_ASSERT(SlRelayAgent_HandleUpstreamGone(node->agent, &node->sink,
                                              world->now_us, "next"));
    CU_ASSERT_FALSE(SlRelayAgent_GetUpstreamStatus(node->agent, &known));
    CU_ASSERT_FALSE(SlRelayAgent_UpdateStatus(node->agent, &node->sink,
                                              world->now_us, &known));
    relay_simulation_destroy(world);
}

/// An upstream restarts under its old name: its flows are over, and its agent
/// says so.
static void
test_same_name_restarts(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 2, 2, 10);
    uint32_t flow = relay_exchange(world, 0);
    uint32_t holder = relay_holder(world, flow);
    struct relay_upstream *upstream = &world->upstreams[holder];

    upstream->held_count = 0;
    upstream->status.started_ms += 7000;
    upstream->status.seq = 0;
    CU_ASSERT(relay_report_status(world, holder));
    relay_send_request(world, 0, flow);
    relay_simulation_run(world, 100);
    CU_ASSERT_EQUAL(world->callers[flow].resets, 1);
    relay_simulation_destroy(world);
}

/// A route that was taken away is refused, an unknown one too, and a process
/// that does not hear control refuses neither.
static void
test_unknown_route(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 2, 2, 11);
    struct relay_node *node = &world->nodes[0];
    struct relay_caller caller = {
        .key = {.caller = relay_address("192.0.2", 1, 1000),
                .service = relay_address("198.18.0", 9, RELAY_PORT),
                .protocol = 6}};

    world->caller_count = 1;
    world->callers[0] = caller;
    SlRelayEntry_SetCutOff(node->entry, true);
    relay_send(world, 0, &caller, SL_SEGMENT_OPEN, 0);
    CU_ASSERT_EQUAL(world->callers[0].resets, 0);
    SlRelayEntry_SetCutOff(node->entry, false);
    relay_send(world, 0, &caller, SL_SEGMENT_OPEN, 0);
    CU_ASSERT_EQUAL(world->callers[0].resets, 1);
    relay_send(world, 0, &caller, SL_SEGMENT_ACK, 100);
    CU_ASSERT_EQUAL(world->callers[0].resets, 1);
    relay_simulation_destroy(world);
}

/// Two upstreams answer one opening segment, as the first one's agent was
/// slow: what the caller chose gets the rest.
static void
test_caller_chooses(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 2, 2, 12);
    uint32_t caller = relay_open_flow(world, 0);
    uint32_t second;

    relay_simulation_run(world, 5);
    CU_ASSERT_EQUAL(world->callers[caller].state, CALLER_WAITING);
    second = world->upstreams[0].held_count == 0 ? 0 : 1;
    upstream_open(world, second,
                  (struct stub_segment){
                      .source = world->callers[caller].key.caller,
                      .destination = world->callers[caller].key.service,
                      .seq = world->callers[caller].seq,
                      .flags = SL_SEGMENT_OPEN});
    relay_restart(world, 0);
    relay_send_request(world, 0, caller);
    relay_simulation_run(world, 200);
    CU_ASSERT_EQUAL(world->callers[caller].state, CALLER_ANSWERED);
    CU_ASSERT_EQUAL(world->callers[caller].resets, 0);
    CU_ASSERT_EQUAL(relay_holder(world, caller), 1 - second);
    relay_simulation_destroy(world);
}

/// Nothing but well-formed frames and segments changes anything.
static void
test_malformed(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 1, 2, 13);
    struct relay_node *node = &world->nodes[0];
    struct SlRelayEntryCounters counters;
    struct SlRelayFrame frame;
    uint8_t bytes[SL_RELAY_MAX_BYTES];

    for (uint32_t i = 0; i < 20000; i++) {
        uint32_t length = (uint32_t)(relay_random(world) % sizeof(bytes));

        for (uint32_t j = 0; j < length; j++) {
            bytes[j] = (uint8_t)relay_random(world);
        }
        SlRelayEntry_HandleCallerSegment(node->entry, &node->sink,
                                         world->now_us, bytes, length);
        if (SlRelayFrame_Decode(bytes, length, &frame) == SL_OK) {
            SlRelayEntry_HandleFrame(node->entry, &node->sink, world->now_us,
                                     &frame);
        }
    }
    SlRelayEntry_Counters(node->entry, &counters);
    CU_ASSERT(counters.malformed > 19000);
    CU_ASSERT_EQUAL(counters.offered, 0);
    relay_simulation_destroy(world);
}

/// All agents are killed and back before their upstreams speak again: new
/// flows go on by what was announced before, but not to one that had said
/// that it leaves, and not for long.
static void
test_before_upstreams_speak(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 3, 2, 14);
    struct SlObject leaving =
        *SlConfig_FindObject(world->config, SL_KIND_NODE, "agent-1");
    uint32_t opened = world->upstreams[1].opened;

    leaving.node.leaving = true;
    CU_ASSERT_EQUAL(SlConfig_PutObject(world->config, &leaving), SL_OK);
    for (uint32_t i = 0; i < 3; i++) {
        world->upstreams[i].mute = true;
        relay_restart(world, 1 + i);
    }
    for (uint32_t i = 0; i < 5; i++) {
        uint32_t caller = relay_exchange(world, 0);

        CU_ASSERT_EQUAL(world->callers[caller].state, CALLER_ANSWERED);
    }
    CU_ASSERT_EQUAL(world->upstreams[1].opened, opened);
    relay_simulation_run(world, 1500);
    CU_ASSERT_EQUAL(world->callers[relay_exchange(world, 0)].state,
                    CALLER_RESET);
    relay_simulation_destroy(world);
}

/// The same where upstreams are bounded while they are cold: they may be.
static void
test_cold_before_upstreams_speak(void)
{
    struct relay_simulation *world = relay_simulation_create(2, 1, 2, 15);
    uint32_t opened;

    SlPlan_Unref(world->plan);
    world->plan = relay_create_plan(2, 2);
    world->upstreams[0].mute = true;
    relay_restart(world, 2);
    opened = world->upstreams[0].opened;
    for (uint32_t i = 0; i < 10; i++) {
        (void)relay_open_flow(world, i % 2);
        relay_simulation_run(world, 100);
    }
    CU_ASSERT(world->upstreams[0].opened - opened <= 2 * 3 / 2 + 5);
    relay_simulation_destroy(world);
}

/// An agent that has restarted and has no plan yet cannot say that it does not
/// hold a flow.
static void
test_asked_before_the_plan(void)
{
    struct relay_simulation *world = relay_simulation_create(2, 3, 2, 16);
    uint32_t flow = relay_exchange(world, 0);
    uint32_t at = 2 + relay_holder(world, flow);
    struct SlPlan *plan = world->plan;

    world->plan = NULL;
    relay_restart(world, at);
    relay_send_request(world, 1, flow);
    relay_simulation_run(world, 100);
    CU_ASSERT_EQUAL(world->callers[flow].resets, 0);
    world->plan = plan;
    relay_configure(world, at);
    relay_simulation_run(world, 800);
    relay_send(world, 1, &world->callers[flow], SL_SEGMENT_ACK, 100);
    relay_simulation_run(world, 200);
    CU_ASSERT_EQUAL(world->callers[flow].answers, 2);
    CU_ASSERT_EQUAL(world->callers[flow].resets, 0);
    relay_simulation_destroy(world);
}

/// One of two agents that may hold a flow says nothing: the other's no is not
/// the end of the search, however often the caller sends.
static void
test_tried_agent_says_nothing(void)
{
    struct relay_simulation *world = relay_simulation_create(2, 2, 2, 17);
    uint32_t flow = relay_exchange(world, 0);
    uint32_t holder = relay_holder(world, flow);
    struct SlPlan *plan = world->plan;

    relay_restart(world, 2);
    relay_restart(world, 3);
    world->plan = NULL;
    relay_restart(world, 2 + holder);
    for (uint32_t i = 0; i < 8; i++) {
        relay_send_request(world, 1, flow);
        relay_simulation_run(world, 120);
        CU_ASSERT_EQUAL(world->callers[flow].resets, 0);
    }
    world->plan = plan;
    relay_configure(world, 2 + holder);
    relay_simulation_run(world, 700);
    relay_send(world, 1, &world->callers[flow], SL_SEGMENT_ACK, 100);
    relay_simulation_run(world, 200);
    CU_ASSERT_EQUAL(world->callers[flow].answers, 2);
    relay_simulation_destroy(world);
}

/// A caller that leaves before its answer came is noted, one that has it is
/// not.
static void
test_caller_leaves(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 1, 2, 20);
    uint32_t served = relay_exchange(world, 0);
    uint32_t left;
    struct SlRelayAgentCounters counters;

    relay_send(world, 0, &world->callers[served], SL_SEGMENT_RESET, 0);
    relay_simulation_run(world, 10);
    SlRelayAgent_Counters(world->nodes[1].agent, &counters);
    CU_ASSERT_EQUAL(counters.abandoned_requests, 0);
    world->upstreams[0].service_time_us = 60 * 1000 * 1000;
    left = relay_open_flow(world, 0);
    relay_simulation_run(world, 10);
    relay_send_request(world, 0, left);
    relay_simulation_run(world, 900);
    relay_send(world, 0, &world->callers[left], SL_SEGMENT_RESET, 0);
    relay_simulation_run(world, 10);
    SlRelayAgent_Counters(world->nodes[1].agent, &counters);
    CU_ASSERT_EQUAL(counters.abandoned_requests, 1);
    relay_simulation_destroy(world);
}

/// What an agent learns between its restart and the first word of its
/// upstream is not forgotten with that word: an entry of its zone hears for
/// certain who holds the flow, and tries none. One of another zone tries its
/// own zone's homes first, which may hold it.
static void
test_first_notice_after_restart(void)
{
    struct relay_simulation *world = relay_simulation_create(3, 3, 2, 22);
    uint32_t flow = relay_exchange(world, 0);
    uint32_t holder = relay_holder(world, flow);
    uint32_t young;

    for (uint32_t i = 0; i < 3; i++) {
        world->upstreams[i].mute = true;
        world->upstreams[i].status.seq = 30;
        relay_restart(world, 3 + i);
    }
    relay_send_request(world, 0, flow);
    relay_simulation_run(world, 200);
    CU_ASSERT_EQUAL(world->callers[flow].answers, 2);
    young = relay_exchange(world, 0);
    CU_ASSERT_EQUAL(world->callers[young].state, CALLER_ANSWERED);
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT(relay_report_status(world, i));
        world->upstreams[i].returned = 0;
    }
    relay_send_request(world, 2, flow);
    relay_send_request(world, 2, young);
    relay_simulation_run(world, 200);
    CU_ASSERT_EQUAL(world->callers[flow].answers, 3);
    CU_ASSERT_EQUAL(world->callers[young].answers, 2);
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT_EQUAL(world->upstreams[i].returned, 0);
    }
    relay_send_request(world, 1, flow);
    relay_simulation_run(world, 200);
    CU_ASSERT_EQUAL(world->callers[flow].answers, 4);
    CU_ASSERT_EQUAL(world->callers[flow].resets, 0);
    CU_ASSERT_EQUAL(relay_holder(world, flow), holder);
    relay_simulation_destroy(world);
}

/// All agents of a large service have restarted, and any of them may hold the
/// flow: it is found all the same.
static void
test_many_may_hold(void)
{
    struct relay_simulation *world =
        relay_simulation_create(2, FULL_AGENTS, 2, 23);

    for (uint32_t i = 0; i < 8; i++) {
        uint32_t flow = relay_exchange(world, 0);

        for (uint32_t at = 0; at < FULL_AGENTS; at++) {
            world->upstreams[at].status.seq = 30;
            relay_restart(world, 2 + at);
            CU_ASSERT(relay_report_status(world, at));
        }
        relay_send_request(world, 1, flow);
        relay_simulation_run(world, 300);
        CU_ASSERT_EQUAL(world->callers[flow].answers, 2);
        CU_ASSERT_EQUAL(world->callers[flow].resets, 0);
    }
    relay_simulation_destroy(world);
}

/// Many flows move to an entry that knows none of them, and every agent may
/// be asked for each: the entry asks a bounded number in a tick, and finds
/// all.
static void
test_searches_take_turns(void)
{
    struct relay_simulation *world =
        relay_simulation_create(2, FULL_AGENTS, 2, 25);
    uint32_t most = 0;
    uint32_t before;

    for (uint32_t i = 0; i < 40; i++) {
        (void)relay_open_flow(world, 0);
        relay_simulation_run(world, 2);
    }
    relay_simulation_run(world, 20);
    before = world->frames[SL_RELAY_QUERY];
    for (uint32_t i = 0; i < 40; i++) {
        CU_ASSERT_EQUAL(world->callers[i].state, CALLER_WAITING);
        relay_send_request(world, 1, i);
    }
    for (uint32_t tick = 0; tick < 30; tick++) {
        relay_simulation_run(world, 20);
        most = world->frames[SL_RELAY_QUERY] - before > most
                   ? world->frames[SL_RELAY_QUERY] - before
                   : most;
        before = world->frames[SL_RELAY_QUERY];
    }
    CU_ASSERT(most > 0);
    CU_ASSERT(most <= 2 * 128);
    for (uint32_t i = 0; i < 40; i++) {
        CU_ASSERT_EQUAL(world->callers[i].answers, 1);
        CU_ASSERT_EQUAL(world->callers[i].resets, 0);
    }
    relay_simulation_destroy(world);
}

/// A flow that waits when its upstream starts anew is not lost: it has not
/// been there yet.
static void
test_waits_through_a_start(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 1, 1, 24);
    uint32_t waiting = 0;

    world->upstreams[0].service_time_us = 300 * 1000;
    do {
        waiting = relay_open_flow(world, 0);
        relay_simulation_run(world, 5);
    } while (waiting < 20 && world->callers[waiting].state == CALLER_WAITING);
    CU_ASSERT_EQUAL(world->callers[waiting].state, CALLER_OPENING);
    world->upstreams[0].held_count = 0;
    world->upstreams[0].busy_until_us[0] = 0;
    world->upstreams[0].status.started_ms = 9000;
    world->upstreams[0].status.seq = 0;
    CU_ASSERT(relay_report_status(world, 0));
    relay_simulation_run(world, 100);
    CU_ASSERT_EQUAL(world->callers[waiting].state, CALLER_WAITING);
    relay_simulation_destroy(world);
}

enum {
    MANY_SERVICES = 40,
    MANY_AGENTS = 300,
};

/// Where the last offer went.
struct offers {
    struct SlRelaySink sink;
    struct SlAddress to;
    uint32_t count;
};

static void
note_offer(struct SlRelaySink *sink, const struct SlAddress *to,
           const struct SlRelayFrame *frame)
{
    struct offers *offers = (struct offers *)sink;

    if (frame->kind == SL_RELAY_OFFER) {
        offers->to = *to;
        offers->count++;
    }
}

static void
no_event(struct SlRelaySink *sink, const struct SlEvent *event)
{
    (void)sink;
    (void)event;
}

static const struct SlRelaySinkType OFFERS = {.send_frame = note_offer,
                                              .event = no_event};

/// Agent i serves service i % MANY_SERVICES, at port 1 + i; one in seven
/// names no service of the plan.
static struct SlConfig *
many_agents(void)
{
    struct SlConfig *config = SlConfig_Create();

    for (uint32_t i = 0; i < MANY_AGENTS; i++) {
        struct SlObject agent = {
            .kind = SL_KIND_NODE,
            .node = {.roles = SL_ROLE_AGENT, .boot = 1, .slots = 2}};
        char service[SL_NAME_BYTES];

        snprintf(agent.name, sizeof(agent.name), "agent-%u", i * 7919 % 1000);
        snprintf(service, sizeof(service), "%s-%u",
                 i % 7 == 6 ? "other" : "service", i % MANY_SERVICES);
        agent.node.node_id = SlNode_Id(agent.name);
        agent.node.tunnel = relay_address("10.0.0", 1, (uint16_t)(1 + i));
        CU_ASSERT_EQUAL(
            SlLabels_Set(&agent.node.announced, "service", service), SL_OK);
        CU_ASSERT_EQUAL(SlConfig_PutObject(config, &agent), SL_OK);
    }
    return config;
}

/// Among many services and agents, an offer goes to the route's own service.
static void
test_many_services(void)
{
    struct SlRelayOptions options = {.name = "entry", .format = &STUB_FORMAT};
    struct offers offers = {.sink = {.type = &OFFERS}};
    struct SlRelayEntry *entry = SlRelayEntry_Create(&options);
    struct SlConfig *config = many_agents();
    struct SlPlan *plan = SlPlan_Create(1);
    struct SlError error;

    for (uint32_t i = 0; i < MANY_SERVICES; i++) {
        struct SlPlanService service = {.capacity_flows = 10};
        struct SlPlanRoute route = {
            .timeout_ms = 1000,
            .share_count = 1,
            .shares = {{.service_index = i, .weight = 1}}};

        snprintf(service.name, sizeof(service.name), "service-%u", i);
        snprintf(route.name, sizeof(route.name), "route-%u", i);
        route.address = relay_address("198.18.0", i, RELAY_PORT);
        CU_ASSERT_EQUAL(SlPlan_AddService(plan, &service, &error), SL_OK);
        CU_ASSERT_EQUAL(SlPlan_AddRoute(plan, &route, &error), SL_OK);
    }
    CU_ASSERT_EQUAL(SlPlan_Finish(plan, &error), SL_OK);
    for (uint32_t round = 0; round < 2; round++) {
        CU_ASSERT_EQUAL(
            SlRelayEntry_SetConfig(entry, &offers.sink, 1000, config, plan),
            SL_OK);
        for (uint32_t i = 0; i < MANY_SERVICES * 20; i++) {
            struct stub_segment open;

            memset(&open, 0, sizeof(open));
            open.source = relay_address("192.0.2", round, (uint16_t)(1 + i));
            open.destination =
                relay_address("198.18.0", i % MANY_SERVICES, RELAY_PORT);
            open.flags = SL_SEGMENT_OPEN;
            SlRelayEntry_HandleCallerSegment(entry, &offers.sink, 1000,
                                             (const uint8_t *)&open,
                                             sizeof(open));
            CU_ASSERT_EQUAL(offers.count, round * MANY_SERVICES * 20 + i + 1);
            CU_ASSERT_EQUAL((offers.to.port - 1u) % MANY_SERVICES,
                            i % MANY_SERVICES);
            CU_ASSERT((offers.to.port - 1u) % 7 != 6);
        }
    }
    SlRelayEntry_Destroy(entry);
    SlPlan_Unref(plan);
    SlConfig_Destroy(config);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"a flow is served", test_flow_is_served},
        {"a flow moves to another entry", test_flow_moves_to_another_entry},
        {"a returned segment reaches the holder",
         test_returned_segment_reaches_holder},
        {"a reset only when nobody holds the flow",
         test_reset_only_when_nobody_holds},
        {"lost agents", test_lost_agents},
        {"an upstream that is gone", test_gone_upstream},
        {"a dark agent is passed by", test_dark_agent_is_passed_by},
        {"a silent upstream is passed by", test_silent_upstream_is_passed_by},
        {"a leaving upstream", test_leaving_upstream},
        {"a zone that is out", test_zone_out},
        {"late notices", test_late_notices},
        {"a restart under the same name", test_same_name_restarts},
        {"an unknown route", test_unknown_route},
        {"the caller chooses", test_caller_chooses},
        {"malformed input", test_malformed},
        {"before upstreams speak", test_before_upstreams_speak},
        {"cold before upstreams speak", test_cold_before_upstreams_speak},
        {"asked before the plan", test_asked_before_the_plan},
        {"a tried agent says nothing", test_tried_agent_says_nothing},
        {"a caller leaves", test_caller_leaves},
        {"the first notice after a restart", test_first_notice_after_restart},
        {"many may hold it", test_many_may_hold},
        {"a flow waits through a start", test_waits_through_a_start},
        {"searches take turns", test_searches_take_turns},
        {"many services", test_many_services},
    };

    return RUN_SUITE("relay", CASES);
}
