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

/// A process with a control instance that hears no leader, and one other
/// instance that is current.
struct lone_process {
    struct counting_sink sink;
    struct SlStorage *storage;
    struct SlNode *node;
    uint64_t now_us;
    uint64_t sent_us;
    struct SlPeer other;
};

enum {
    OTHER_LINK = 7,
    PAIR_MESSAGES_MAX = 256,
};

static void
send_to_lone(struct lone_process *lone, struct SlInput input)
{
    input.now_us = lone->now_us;
    input.link = OTHER_LINK;
    SlNode_HandleInput(lone->node, &lone->sink.sink, &input);
}

/// Runs the process; the other instance confirms twice a second on its link
/// that the configuration is current, as an answer to what it heard then.
static void
run_lone(struct lone_process *lone, uint64_t duration_us, bool is_linked)
{
    struct SlMessage message = {.kind = SL_MESSAGE_HEARTBEAT,
                                .heartbeat = {.fresh = true}};

    for (uint64_t end_us = lone->now_us + duration_us; lone->now_us < end_us;
         lone->now_us += SL_TICK_US) {
        send_to_lone(lone, (struct SlInput){.kind = SL_INPUT_TICK});
        if (is_linked && lone->now_us - lone->sent_us >= SECONDS_US / 2) {
            lone->sent_us = lone->now_us;
            message.heartbeat.sent_us = lone->now_us;
            message.heartbeat.echo_us = lone->now_us;
            send_to_lone(lone, (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                                .message = &message});
        }
        send_to_lone(lone, (struct SlInput){.kind = SL_INPUT_BATCH_END});
    }
}

/// Starts one of the two founding members control-1 and control-2.
static void
start_lone(struct lone_process *lone, uint32_t number, uint64_t now_us)
{
    struct SlNodeOptions options = {
        .core = {.zone = "a", .roles = SL_ROLE_CONTROL, .seed = number},
        .control = {.self_forming = true,
                    .bootstrap = true,
                    .member_count = 2,
                    .members = {{.name = "control-1", .is_voter = true},
                                {.name = "control-2", .is_voter = true}}},
        .replica = {.control_count = 2,
                    .discover_controls = true,
                    .announce = {.kind = SL_KIND_NODE}},
    };
    char name[SL_NAME_BYTES];

    snprintf(name, sizeof(name), "control-%u", number);
    *lone = (struct lone_process){.sink = {.sink = {.type = &COUNTING}},
                                  .now_us = now_us,
                                  .other = {.roles = SL_ROLE_CONTROL}};
    for (uint32_t i = 0; i < 2; i++) {
        struct SlControlMember *member = &options.control.members[i];

        member->node_id = SlNode_Id(member->name);
        options.replica.control_ids[i] = member->node_id;
    }
    snprintf(options.core.name, SL_NAME_BYTES, "%s", name);
    snprintf(options.replica.announce.name, SL_NAME_BYTES, "%s", name);
    options.replica.announce.node = (struct SlNodeSpec){
        .node_id = SlNode_Id(name), .roles = SL_ROLE_CONTROL, .zone = "a"};
    snprintf(lone->other.name, SL_NAME_BYTES, "control-%u", 3 - number);
    lone->other.node_id = SlNode_Id(lone->other.name);
    lone->storage = SlStorage_CreateMemory(SlNode_Id(name), number);
    options.control.storage = lone->storage;
    CU_ASSERT_EQUAL_FATAL(SlNode_Create(&options, now_us, &lone->node, NULL),
                          SL_OK);
}

static void
stop_lone(struct lone_process *lone)
{
    SlNode_Destroy(lone->node);
    SlStorage_Destroy(lone->storage);
}

/// Returns the node id of the instance that confirmed lately that the
/// configuration is current; 0 for none.
static uint64_t
confirmed_control(const struct lone_process *lone)
{
    struct SlAddress link;
    uint64_t node_id = 0;

    (void)SlReplica_FindCurrentControl(SlNode_Replica(lone->node),
                                       lone->now_us, &node_id, &link);
    return node_id;
}

/// The process uses another instance once its own has heard no leader for 3 s,
/// also over a link that control had before.
static void
test_process_without_leader_uses_other_control(void)
{
    for (int is_early = 0; is_early < 2; is_early++) {
        struct lone_process lone;

        start_lone(&lone, 1, SECONDS_US);
        if (is_early) {
            send_to_lone(&lone, (struct SlInput){.kind = SL_INPUT_LINK_UP,
                                                 .peer = &lone.other});
        }
        run_lone(&lone, 2 * SECONDS_US, is_early);
        CU_ASSERT_EQUAL(confirmed_control(&lone), 0);
        run_lone(&lone, 3 * SECONDS_US / 2, is_early);
        if (!is_early) {
            send_to_lone(&lone, (struct SlInput){.kind = SL_INPUT_LINK_UP,
                                                 .peer = &lone.other});
        }
        run_lone(&lone, SECONDS_US, true);
        CU_ASSERT_EQUAL(confirmed_control(&lone), lone.other.node_id);
        CU_ASSERT_FALSE(
            SlReplica_IsCutOff(SlNode_Replica(lone.node), lone.now_us));
        CU_ASSERT_EQUAL(lone.sink.drops, 0);
        stop_lone(&lone);
    }
}

/// Sink that keeps the messages for the other process of a pair.
struct pair_sink {
    struct counting_sink counting;
    uint32_t count;
    struct SlBuffer sent[PAIR_MESSAGES_MAX];
};

static void
send_in_pair(struct SlSink *sink, uint64_t link,
             const struct SlMessage *message)
{
    struct pair_sink *from = (struct pair_sink *)sink;

    (void)link;
    CU_ASSERT_FATAL(from->count < PAIR_MESSAGES_MAX);
    CU_ASSERT_EQUAL(SlMessage_Encode(message, &from->sent[from->count++]),
                    SL_OK);
}

static const struct SlSinkType PAIR_SINK = {
    .send_message = send_in_pair,
    .dial_node = dial_counting,
    .drop_node = drop_counting,
    .log_event = SlSink_IgnoreLogEvent,
};

/// Delivers what the other process sent.
static void
receive_in_pair(struct SlNode *node, struct pair_sink *sink,
                struct pair_sink *other, uint64_t now_us)
{
    for (uint32_t i = 0; i < other->count; i++) {
        struct SlMessage message;
        struct SlInput input = {.kind = SL_INPUT_MESSAGE,
                                .now_us = now_us,
                                .link = OTHER_LINK,
                                .message = &message};

        CU_ASSERT_EQUAL_FATAL(SlMessage_Decode(other->sent[i].bytes,
                                               other->sent[i].length_bytes,
                                               &message),
                              SL_OK);
        SlNode_HandleInput(node, &sink->counting.sink, &input);
        SlMessage_Release(&message);
        SlBuffer_Release(&other->sent[i]);
    }
    other->count = 0;
}

static uint64_t
control_list_changes(const struct lone_process *process)
{
    struct SlReplicaCounters counters;

    SlReplica_Counters(SlNode_Replica(process->node), &counters);
    return counters.control_list_changes;
}

/// The first of two founding members waits for the second for longer than 3 s.
/// It goes back to its own instance once that is current.
static void
test_process_goes_back_to_its_own_control(void)
{
    static struct pair_sink sinks[2];
    struct lone_process pair[2];

    start_lone(&pair[0], 1, SECONDS_US);
    run_lone(&pair[0], 7 * SECONDS_US / 2, false);
    CU_ASSERT_EQUAL(control_list_changes(&pair[0]), 1);
    start_lone(&pair[1], 2, pair[0].now_us);
    for (uint32_t i = 0; i < 2; i++) {
        sinks[i].counting.sink.type = &PAIR_SINK;
        SlNode_HandleInput(pair[i].node, &sinks[i].counting.sink,
                           &(struct SlInput){.kind = SL_INPUT_LINK_UP,
                                             .now_us = pair[i].now_us,
                                             .link = OTHER_LINK,
                                             .peer = &pair[i].other});
    }
    for (uint32_t step = 0; step < 10 * SECONDS_US / SL_TICK_US; step++) {
        for (uint32_t i = 0; i < 2; i++) {
            struct SlInput input = {.kind = SL_INPUT_TICK,
                                    .now_us = pair[i].now_us};

            SlNode_HandleInput(pair[i].node, &sinks[i].counting.sink, &input);
            receive_in_pair(pair[i].node, &sinks[i], &sinks[1 - i],
                            pair[i].now_us);
            input.kind = SL_INPUT_BATCH_END;
            SlNode_HandleInput(pair[i].node, &sinks[i].counting.sink, &input);
            pair[i].now_us += SL_TICK_US;
        }
    }
    CU_ASSERT_EQUAL(control_list_changes(&pair[0]), 2);
    CU_ASSERT_EQUAL(control_list_changes(&pair[1]), 0);
    for (uint32_t i = 0; i < 2; i++) {
        CU_ASSERT_EQUAL(confirmed_control(&pair[i]),
                        pair[1 - i].other.node_id);
        stop_lone(&pair[i]);
        for (uint32_t j = 0; j < sinks[i].count; j++) {
            SlBuffer_Release(&sinks[i].sent[j]);
        }
    }
}

/// Where nobody is reached, dials stay few.
static void
test_lone_process_dials_seldom(void)
{
    struct lone_process lone;

    start_lone(&lone, 1, SECONDS_US);
    run_lone(&lone, 20 * SECONDS_US, false);
    CU_ASSERT(lone.sink.dials > 0 && lone.sink.dials < 20 * 10);
    CU_ASSERT_EQUAL(confirmed_control(&lone), 0);
    stop_lone(&lone);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"the search for control keeps the log's links",
         test_search_for_control_keeps_the_logs_links},
        {"a process subscribes to its own control instance",
         test_process_uses_its_own_control},
        {"a process without a leader uses another control instance",
         test_process_without_leader_uses_other_control},
        {"a process goes back to its own control instance",
         test_process_goes_back_to_its_own_control},
        {"a process that reaches nobody dials seldom",
         test_lone_process_dials_seldom},
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
