/* Joining through a process without a log: the only addresses that a new
   control instance knows may be those of such processes. */

#include <stddef.h>

#include "control_fixture.h"
#include "savoryledge/coordination/replica.h"

enum {
    INSTANCES = 3,
    JOINING = 3,
    US_PER_MS = 1000,
};

/// A site of control instances, a process without a log that uses one of them,
/// and an instance that knows nobody but that process.
struct join_site {
    struct control_fixture fixture;
    struct SlSink replica_sink;
    struct SlReplica *replica;
    /// The instance that the process uses, and the links of the process.
    uint32_t used;
    uint64_t used_link;
    uint64_t joining_link;
};

static struct join_site *
site_from_sink(struct SlSink *sink)
{
    return (struct join_site *)((uint8_t *)sink -
                                offsetof(struct join_site, replica_sink));
}

static void
send_from_process(struct SlSink *sink, uint64_t link,
                  const struct SlMessage *message)
{
    struct join_site *site = site_from_sink(sink);

    if (link == site->used_link) {
        simulation_send_message(&site->fixture.simulation, site->used, link,
                                message);
    }
}

static const struct SlSinkType PROCESS_SINK = {
    .send_to_caller = SlSink_IgnorePacket,
    .send_to_upstream = SlSink_IgnorePacket,
    .send_tunnel = SlSink_IgnoreTunnel,
    .send_message = send_from_process,
    .dial_node = SlSink_IgnoreDialNode,
    .drop_node = SlSink_IgnoreDropNode,
    .log_event = SlSink_IgnoreLogEvent,
};

static void
handle_replica_input(struct join_site *site, struct SlInput input)
{
    input.now_us = site->fixture.simulation.now_us;
    SlReplica_HandleInput(site->replica, &site->replica_sink, &input);
}

/// Delivers what the instances send the process.
static void
handle_process_message(struct control_simulation *simulation, uint32_t from,
                       uint64_t link, const struct SlMessage *message)
{
    struct join_site *site = (struct join_site *)simulation->context;

    handle_outside_message(simulation, from, link, message);
    if (site->replica != NULL &&
        (link == site->used_link || link == site->joining_link)) {
        handle_replica_input(site, (struct SlInput){.kind = SL_INPUT_MESSAGE,
                                                    .link = link,
                                                    .message = message});
    }
}

static struct join_site *
create_join_site(uint64_t seed)
{
    struct join_site *site = calloc(1, sizeof(*site));
    struct control_fixture *fixture = &site->fixture;

    simulation_create(&fixture->simulation, INSTANCES + 1, seed);
    fixture->simulation.on_outside_message = handle_process_message;
    fixture->simulation.context = fixture;
    fixture->simulation.self_forming = true;
    fixture->simulation.seeds = INSTANCES;
    for (uint32_t i = 0; i < INSTANCES; i++) {
        fixture_start_node(fixture, i);
    }
    find_leader(fixture);
    fixture_run(fixture, 60);
    return site;
}

/// Starts the process, linked to an instance.
static void
start_process(struct join_site *site, uint32_t used)
{
    struct control_simulation *simulation = &site->fixture.simulation;
    struct simulated_node *node = &simulation->nodes[used];
    struct SlReplicaOptions options = {
        .core = {.name = "control-p", .roles = 0, .seed = 1},
        .control_count = 1,
        .control_ids = {node->node_id},
        .discover_controls = true,
        .delay_announcement = true};
    struct SlPeer peer = {.node_id = node->node_id, .roles = SL_ROLE_CONTROL};

    memcpy(peer.name, node->name, sizeof(peer.name));
    site->replica_sink.type = &PROCESS_SINK;
    site->replica = SlReplica_Create(&options, simulation->now_us);
    CU_ASSERT_PTR_NOT_NULL_FATAL(site->replica);
    site->used = used;
    handle_replica_input(site, (struct SlInput){.kind = SL_INPUT_TICK});
    site->used_link = simulation_connect(simulation, used, "control-p", 0);
    handle_replica_input(site, (struct SlInput){.kind = SL_INPUT_LINK_UP,
                                                .link = site->used_link,
                                                .peer = &peer});
}

/// Sets the links between the joining instance and the others: 0 lets the
/// simulation open them, any other number keeps them from being opened.
static void
set_joining_links(struct join_site *site, uint64_t link)
{
    for (uint32_t i = 0; i < INSTANCES; i++) {
        site->fixture.simulation.links[JOINING][i] = link;
        site->fixture.simulation.links[i][JOINING] = link;
    }
}

/// Starts an instance with an empty disk whose seed is the process alone.
static void
start_joining_instance(struct join_site *site)
{
    struct control_simulation *simulation = &site->fixture.simulation;
    struct simulated_node *node = &simulation->nodes[JOINING];
    struct SlControlOptions options = {
        .core = {.roles = SL_ROLE_CONTROL, .seed = 9},
        .member_count = 1,
        .members = {{.node_id = SlNode_Id("control-p"),
                     .name = "control-p",
                     .is_voter = true}},
        .storage = &node->storage->storage,
        .heartbeat_us = simulation->heartbeat_us,
        .election_us = simulation->election_us,
        .self_forming = true};
    struct SlError error;

    memcpy(options.core.name, node->name, sizeof(node->name));
    CU_ASSERT_EQUAL_FATAL(
        SlControl_Create(&options, simulation->now_us, &node->control, &error),
        SL_OK);
    set_joining_links(site, UINT64_MAX);
    site->joining_link =
        simulation_connect(simulation, JOINING, "control-p", 0);
}

static bool
is_joining_instance_member(struct join_site *site)
{
    struct control_simulation *simulation = &site->fixture.simulation;
    struct SlControlMember members[SL_MEMBERS_CONTROL_MAX];
    uint32_t count = SlControl_Members(
        simulation->nodes[find_leader(&site->fixture)].control, members,
        SL_MEMBERS_CONTROL_MAX);

    for (uint32_t i = 0; i < count; i++) {
        if (members[i].node_id == simulation->nodes[JOINING].node_id) {
            return true;
        }
    }
    return false;
}

static void
run_site(struct join_site *site, uint32_t steps)
{
    for (uint32_t i = 0; i < steps; i++) {
        fixture_step(&site->fixture);
        handle_replica_input(site, (struct SlInput){.kind = SL_INPUT_TICK});
    }
}

/// The process passes the request on to the instance that it uses, which
/// passes it on to the leader. The leader takes the instance in and dials it.
static void
test_instance_joins_through_process_without_log(void)
{
    for (uint32_t offset = 0; offset < INSTANCES; offset++) {
        struct join_site *site = create_join_site(40 + offset);
        struct control_simulation *simulation = &site->fixture.simulation;
        struct SlReplicaCounters counters;

        start_process(site,
                      (find_leader(&site->fixture) + offset) % INSTANCES);
        run_site(site, 20);
        start_joining_instance(site);
        run_site(site, 2000 * US_PER_MS / SIMULATION_STEP_US);
        CU_ASSERT(is_joining_instance_member(site));
        SlReplica_Counters(site->replica, &counters);
        CU_ASSERT(counters.joins_passed > 0);
        set_joining_links(site, 0);
        run_site(site, 2000 * US_PER_MS / SIMULATION_STEP_US);
        CU_ASSERT(SlControl_IsMember(simulation->nodes[JOINING].control));
        CU_ASSERT_EQUAL(
            SlVersion_Compare(
                SlControl_AppliedVersion(simulation->nodes[JOINING].control),
                SlControl_AppliedVersion(
                    simulation->nodes[find_leader(&site->fixture)].control)),
            0);
        SlReplica_Destroy(site->replica);
        simulation_destroy(simulation);
        free(site);
    }
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"an instance joins through a process without a log",
         test_instance_joins_through_process_without_log},
    };

    return RUN_SUITE("control join", CASES);
}
