/* Agents that are stopped: what callers of their flows are told. */

#include "relay_simulation.h"

enum {
    /// How long a planned stop may take, and the shortest time that callers of
    /// the users' sites wait for an answer on a grown site.
    STOP_MS = 5000,
    DEADLINE_MS = 2000,
};

/// What the daemon does in a planned stop: it looks whether the upstream still
/// listens, one that is gone is not announced any more, and the process ends.
static void
end_agent(struct relay_simulation *world, uint32_t at, bool listens)
{
    struct relay_node *node = &world->nodes[at];

    SlRelayAgent_BeginStop(node->agent, &node->sink, world->now_us);
    if (SlRelayAgent_HasListeningUpstream(node->agent) && !listens) {
        SlRelayAgent_HandleUpstreamStopped(node->agent, &node->sink,
                                           world->now_us);
    }
    for (uint32_t i = 0; i < STOP_MS && !SlRelayAgent_IsIdle(node->agent);
         i++) {
        relay_simulation_step(world);
    }
    if (SlRelayAgent_IsUpstreamGone(node->agent)) {
        struct SlObject object =
            *SlConfig_FindObject(world->config, SL_KIND_NODE, node->name);

        SlLabels_Unset(&object.node.announced, "service");
        CU_ASSERT_EQUAL(SlConfig_PutObject(world->config, &object), SL_OK);
        relay_configure_all(world);
    }
    node->dark = true;
}

/// Everything loses power while an upstream leaves. It does not speak again,
/// what it gets is given back, and its agent, which has restarted, is stopped.
/// Returns the resets that the caller of another lost flow got in its time.
static uint32_t
resets_after_a_stop(bool listens)
{
    struct relay_simulation *world = relay_simulation_create(2, 4, 2, 40);
    uint32_t flow = relay_exchange(world, 0);
    uint32_t holder = relay_holder(world, flow);
    uint32_t leaving = (holder + 1) % 4;
    uint32_t resets;

    for (uint32_t i = 0; i < 4; i++) {
        world->upstreams[i].held_count = 0;
        world->upstreams[i].status.started_ms = 5000;
        world->upstreams[i].status.seq = 0;
        world->upstreams[i].mute = i == leaving;
        relay_restart(world, 2 + i);
        if (i != leaving) {
            CU_ASSERT(relay_report_status(world, i));
        }
    }
    relay_simulation_run(world, 600);
    end_agent(world, 2 + leaving, listens);
    relay_send_request(world, 1, flow);
    relay_simulation_run(world, DEADLINE_MS);
    resets = world->callers[flow].resets;
    relay_simulation_destroy(world);
    return resets;
}

/// The upstream has ended, and so has every flow that it had: callers of lost
/// flows learn of it. One that may live may hold them: nobody is reset.
static void
test_stop_after_a_restart(void)
{
    CU_ASSERT_EQUAL(resets_after_a_stop(false), 1);
    CU_ASSERT_EQUAL(resets_after_a_stop(true), 0);
}

/// An agent whose upstream has ended holds nothing, until another one speaks.
static void
test_ended_upstream(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 2, 2, 41);
    struct relay_node *node = &world->nodes[1];
    struct SlUpstreamStatus *notice = &world->upstreams[0].status;
    struct SlUpstreamStatus known;

    CU_ASSERT(SlRelayAgent_HasListeningUpstream(node->agent));
    SlRelayAgent_HandleUpstreamStopped(node->agent, &node->sink,
                                       world->now_us);
    CU_ASSERT(SlRelayAgent_IsUpstreamGone(node->agent));
    CU_ASSERT_FALSE(SlRelayAgent_GetUpstreamStatus(node->agent, &known));
    notice->started_ms = 9000;
    notice->seq = 0;
    CU_ASSERT(relay_report_status(world, 0));
    CU_ASSERT_FALSE(SlRelayAgent_IsUpstreamGone(node->agent));
    relay_simulation_destroy(world);
}

/// The upstream went with a word, and the agent restarts: what the process
/// before announced stands, until another upstream speaks.
static void
test_restart_after_gone(void)
{
    struct relay_simulation *world = relay_simulation_create(1, 2, 2, 42);
    struct relay_node *node = &world->nodes[1];
    struct SlObject object =
        *SlConfig_FindObject(world->config, SL_KIND_NODE, node->name);

    SlLabels_Unset(&object.node.announced, "service");
    CU_ASSERT_EQUAL(SlConfig_PutObject(world->config, &object), SL_OK);
    relay_restart(world, 1);
    CU_ASSERT(SlRelayAgent_IsUpstreamGone(node->agent));
    world->upstreams[0].status.started_ms = 9000;
    world->upstreams[0].status.seq = 0;
    CU_ASSERT(relay_report_status(world, 0));
    CU_ASSERT_FALSE(SlRelayAgent_IsUpstreamGone(node->agent));
    relay_configure(world, 1);
    CU_ASSERT_FALSE(SlRelayAgent_IsUpstreamGone(node->agent));
    relay_simulation_destroy(world);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"a stop after a restart", test_stop_after_a_restart},
        {"an upstream that ended", test_ended_upstream},
        {"a restart after it has gone", test_restart_after_gone},
    };

    return RUN_SUITE("relay stop", CASES);
}
