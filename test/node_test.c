#include <string.h>
#include <urcu.h>

#include "control_simulation.h"
#include "savoryledge/coordination/node.h"
#include "test.h"

/// All cores of one process in one node, and reports between control
/// instances.

enum {
    SECONDS_US = 1000 * 1000,
    SEEDS = 30,
};

/// Sink that counts the dial and drop calls of a node.
struct counting_sink {
    struct SlSink sink;
    uint32_t dials;
    uint32_t drops;
};

static void
dial_counting(struct SlSink *sink, uint64_t node_id,
              const struct SlAddress *to)
{
    (void)node_id;
    (void)to;
    ((struct counting_sink *)sink)->dials++;
}

static void
drop_counting(struct SlSink *sink, uint64_t node_id)
{
    (void)node_id;
    ((struct counting_sink *)sink)->drops++;
}

static const struct SlSinkType COUNTING = {
    .send_to_caller = SlSink_IgnorePacket,
    .send_to_upstream = SlSink_IgnorePacket,
    .send_tunnel = SlSink_IgnoreTunnel,
    .send_message = SlSink_IgnoreMessage,
    .dial_node = dial_counting,
    .drop_node = drop_counting,
    .log_event = SlSink_IgnoreLogEvent,
};

/// Creates a process with a control instance that is one of the given number
/// of members.
static struct SlNode *
create_node(struct SlStorage *storage, uint32_t members)
{
    struct SlNodeOptions options = {
        .core = {.name = "control-1", .zone = "a", .roles = SL_ROLE_CONTROL},
        .control = {.bootstrap = true,
                    .storage = storage,
                    .member_count = members},
        .replica = {.control_count = members,
                    .announce = {.kind = SL_KIND_NODE, .name = "control-1"}},
    };
    struct SlNode *node = NULL;

    options.replica.announce.node =
        (struct SlNodeSpec){.node_id = SlNode_Id("control-1"),
                            .roles = SL_ROLE_CONTROL,
                            .zone = "a"};
    for (uint32_t i = 0; i < members; i++) {
        struct SlControlMember *member = &options.control.members[i];

        snprintf(member->name, SL_NAME_BYTES, "control-%u", members - i);
        member->node_id = SlNode_Id(member->name);
        member->is_voter = true;
        options.replica.control_ids[i] = member->node_id;
    }
    CU_ASSERT_EQUAL_FATAL(SlNode_Create(&options, SECONDS_US, &node, NULL),
                          SL_OK);
    return node;
}

static void
run_node(struct SlNode *node, struct counting_sink *sink, uint64_t until_us)
{
    for (uint64_t now_us = SECONDS_US; now_us < until_us;
         now_us += SL_TICK_US) {
        struct SlInput input = {.kind = SL_INPUT_TICK, .now_us = now_us};

        SlNode_HandleInput(node, &sink->sink, &input);
        input.kind = SL_INPUT_BATCH_END;
        SlNode_HandleInput(node, &sink->sink, &input);
    }
}

static void
test_search_for_control_keeps_the_logs_links(void)
{
    struct counting_sink sink = {.sink = {.type = &COUNTING}};
    struct SlStorage *storage =
        SlStorage_CreateMemory(SlNode_Id("control-1"), 1);
    struct SlNode *node = create_node(storage, 3);

    run_node(node, &sink, 20 * SECONDS_US);
    CU_ASSERT_TRUE(sink.dials > 0);
    CU_ASSERT_EQUAL(sink.drops, 0);
    CU_ASSERT_TRUE(SlReplica_IsCutOff(SlNode_Replica(node), 20 * SECONDS_US));
    SlNode_Destroy(node);
    SlStorage_Destroy(storage);
}

static void
test_process_uses_its_own_control(void)
{
    struct counting_sink sink = {.sink = {.type = &COUNTING}};
    struct SlStorage *storage =
        SlStorage_CreateMemory(SlNode_Id("control-1"), 1);
    struct SlNode *node = create_node(storage, 1);
    const struct SlConfig *config;

    run_node(node, &sink, 20 * SECONDS_US);
    config = SlReplica_Config(SlNode_Replica(node));
    CU_ASSERT_PTR_NOT_NULL(
        SlConfig_FindObject(config, SL_KIND_NODE, "control-1"));
    CU_ASSERT_FALSE(SlReplica_IsCutOff(SlNode_Replica(node), 20 * SECONDS_US));
    SlNode_Destroy(node);
    SlStorage_Destroy(storage);
}

static uint64_t
announce(struct control_simulation *simulation, uint32_t index,
         const char *name)
{
    uint64_t link = simulation_connect(simulation, index, name, SL_ROLE_ENTRY);
    struct SlMessage message = {.kind = SL_MESSAGE_ANNOUNCE,
                                .announce = {.kind = SL_KIND_NODE}};

    snprintf(message.announce.name, SL_NAME_BYTES, "%s", name);
    message.announce.node = (struct SlNodeSpec){
        .node_id = SlNode_Id(name), .roles = SL_ROLE_ENTRY, .zone = "a"};
    simulation_send_message(simulation, index, link, &message);
    simulation_flush(simulation, index);
    return link;
}

/// A follower reports its processes to the leader as soon as it knows the
/// leader, which may be before the leader's first check of the processes. The
/// leader must keep these reports.
static void
test_reports_to_a_new_leader_are_kept(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        static struct control_simulation simulation;
        const struct SlConfig *config;

        simulation_create(&simulation, 3, seed);
        simulation.unreachable_us = 600 * SECONDS_US;
        for (uint32_t i = 0; i < simulation.count; i++) {
            simulation_start_node(&simulation, i);
            simulation_run(&simulation, 1 + (uint32_t)seed % 6);
        }
        announce(&simulation, 0, "entry-1");
        announce(&simulation, 1, "entry-2");
        announce(&simulation, 2, "entry-3");
        simulation_run(&simulation, 100);
        config = SlControl_Config(simulation.nodes[0].control);
        CU_ASSERT_PTR_NOT_NULL(
            SlConfig_FindObject(config, SL_KIND_NODE, "entry-1"));
        CU_ASSERT_PTR_NOT_NULL(
            SlConfig_FindObject(config, SL_KIND_NODE, "entry-2"));
        CU_ASSERT_PTR_NOT_NULL(
            SlConfig_FindObject(config, SL_KIND_NODE, "entry-3"));
        simulation_destroy(&simulation);
    }
}

/// Runs the simulation while every process sends heartbeats.
static void
run_with_heartbeats(struct control_simulation *simulation,
                    const uint64_t *links, uint32_t steps)
{
    struct SlMessage heartbeat = {.kind = SL_MESSAGE_HEARTBEAT};

    for (uint32_t i = 0; i < steps; i++) {
        for (uint32_t index = 0; index < simulation->count; index++) {
            simulation_send_message(simulation, index, links[index],
                                    &heartbeat);
        }
        simulation_step(simulation);
    }
}

/// A control process announces itself through its own control instance. The
/// leader must receive the announcement again after the link between the two
/// instances was renewed.
static void
test_renewed_link_to_the_leader_keeps_processes(void)
{
    static struct control_simulation simulation;
    uint64_t links[3];
    uint32_t leader;

    simulation_create(&simulation, 3, 5);
    simulation.unreachable_us = 2 * SECONDS_US;
    simulation_start_all(&simulation);
    for (uint32_t i = 0; i < simulation.count; i++) {
        links[i] = announce(&simulation, i, simulation.nodes[i].name);
    }
    run_with_heartbeats(&simulation, links, 400);
    CU_ASSERT_EQUAL(simulation.events[SL_EVENT_UNREACHABLE], 0);
    leader = simulation_leader(&simulation);
    CU_ASSERT_TRUE_FATAL(leader < simulation.count);
    simulation_unlink(&simulation, leader, (leader + 1) % 3);
    run_with_heartbeats(&simulation, links, 400);
    CU_ASSERT_EQUAL(simulation.events[SL_EVENT_UNREACHABLE], 0);
    simulation_destroy(&simulation);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"the search for control keeps the log's links",
         test_search_for_control_keeps_the_logs_links},
        {"a process subscribes to its own control instance",
         test_process_uses_its_own_control},
        {"reports about processes to a new leader are kept",
         test_reports_to_a_new_leader_are_kept},
        {"processes stay reachable after a renewed link to the leader",
         test_renewed_link_to_the_leader_keeps_processes},
    };
    int code;

    rcu_register_thread();
    code = RUN_SUITE("node", CASES);
    rcu_unregister_thread();
    return code;
}
