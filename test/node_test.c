#include <string.h>
#include <urcu.h>

#include "control_simulation.h"
#include "savoryledge/coordination/node.h"
#include "test.h"

/// The cores of one process together, and reports between control instances.

enum {
    SECONDS_US = 1000 * 1000,
    SEEDS = 30,
};

/// Counts what a node asks of its links.
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

/// A control process, one of as many members.
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
        member->voter = true;
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

        SlNode_Handle(node, &sink->sink, &input);
        input.kind = SL_INPUT_BATCH_END;
        SlNode_Handle(node, &sink->sink, &input);
    }
}

static void
test_search_for_control_leaves_the_logs_links_alone(void)
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
test_process_takes_the_configuration_of_its_own_control(void)
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
announce(struct control_simulation *world, uint32_t at, const char *name)
{
    uint64_t link = simulation_connect(world, at, name, SL_ROLE_ENTRY);
    struct SlMessage message = {.kind = SL_MESSAGE_ANNOUNCE,
                                .announce = {.kind = SL_KIND_NODE}};

    snprintf(message.announce.name, SL_NAME_BYTES, "%s", name);
    message.announce.node = (struct SlNodeSpec){
        .node_id = SlNode_Id(name), .roles = SL_ROLE_ENTRY, .zone = "a"};
    simulation_send_message(world, at, link, &message);
    simulation_flush(world, at);
    return link;
}

/// A follower tells the leader of its processes as soon as it knows of the
/// leader, which may be before the leader's first look at the processes.
static void
test_reports_to_a_leader_just_elected_count(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        static struct control_simulation world;
        const struct SlConfig *config;

        simulation_create(&world, 3, seed);
        world.unreachable_us = 600 * SECONDS_US;
        for (uint32_t i = 0; i < world.count; i++) {
            simulation_start_node(&world, i);
            simulation_run(&world, 1 + (uint32_t)seed % 6);
        }
        announce(&world, 0, "entry-1");
        announce(&world, 1, "entry-2");
        announce(&world, 2, "entry-3");
        simulation_run(&world, 100);
        config = SlControl_Config(world.nodes[0].control);
        CU_ASSERT_PTR_NOT_NULL(
            SlConfig_FindObject(config, SL_KIND_NODE, "entry-1"));
        CU_ASSERT_PTR_NOT_NULL(
            SlConfig_FindObject(config, SL_KIND_NODE, "entry-2"));
        CU_ASSERT_PTR_NOT_NULL(
            SlConfig_FindObject(config, SL_KIND_NODE, "entry-3"));
        simulation_destroy(&world);
    }
}

/// Runs while every process sends its heartbeats.
static void
run_with_heartbeats(struct control_simulation *world, const uint64_t *links,
                    uint32_t steps)
{
    struct SlMessage heartbeat = {.kind = SL_MESSAGE_HEARTBEAT};

    for (uint32_t i = 0; i < steps; i++) {
        for (uint32_t at = 0; at < world->count; at++) {
            simulation_send_message(world, at, links[at], &heartbeat);
        }
        simulation_step(world);
    }
}

/// A control process announces itself through its own control instance; the
/// leader must hear of it again after a link between the two was renewed.
static void
test_renewed_link_to_the_leader_loses_nobody(void)
{
    static struct control_simulation world;
    uint64_t links[3];
    uint32_t leader;

    simulation_create(&world, 3, 5);
    world.unreachable_us = 2 * SECONDS_US;
    simulation_start_all(&world);
    for (uint32_t i = 0; i < world.count; i++) {
        links[i] = announce(&world, i, world.nodes[i].name);
    }
    run_with_heartbeats(&world, links, 400);
    CU_ASSERT_EQUAL(world.events[SL_EVENT_UNREACHABLE], 0);
    leader = simulation_leader(&world);
    CU_ASSERT_TRUE_FATAL(leader < world.count);
    simulation_unlink(&world, leader, (leader + 1) % 3);
    run_with_heartbeats(&world, links, 400);
    CU_ASSERT_EQUAL(world.events[SL_EVENT_UNREACHABLE], 0);
    simulation_destroy(&world);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"the search for control leaves the log's links alone",
         test_search_for_control_leaves_the_logs_links_alone},
        {"a process takes the configuration of its own control",
         test_process_takes_the_configuration_of_its_own_control},
        {"reports to a leader just elected count",
         test_reports_to_a_leader_just_elected_count},
        {"a renewed link to the leader loses nobody",
         test_renewed_link_to_the_leader_loses_nobody},
    };
    int code;

    rcu_register_thread();
    code = RUN_SUITE("node", CASES);
    rcu_unregister_thread();
    return code;
}
