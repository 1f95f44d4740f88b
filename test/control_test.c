/* The control instances as seen by operators and other processes: concurrent
 * changes, repeated requests, announcements, reachability, and distribution of
 * the configuration. */

#include "control_fixture.h"

enum {
    RACES = 1000,
    /// Delay with which a follower's lease is over before it arrives.
    SLOW_DELAY_US = 200 * 1000,
};

static void
test_commit(uint32_t nodes)
{
    struct control_fixture *fixture = create_control_fixture(nodes, 3);
    struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
    const struct SlResult *result = request_change(fixture, &change);

    CU_ASSERT_EQUAL(result->status, SL_OK);
    fixture_run(fixture, 10);
    for (uint32_t i = 0; i < nodes; i++) {
        CU_ASSERT_PTR_NOT_NULL(SlConfig_FindObject(config_at_node(fixture, i),
                                                   SL_KIND_ZONE, "ulaan-a"));
        CU_ASSERT(SlControl_IsFresh(fixture->simulation.nodes[i].control,
                                    fixture->simulation.now_us));
    }
    destroy_control_fixture(fixture);
}

static void
test_one_member(void)
{
    test_commit(1);
}

static void
test_seven_members(void)
{
    test_commit(7);
}

/// An instance that is not the leader refuses a change and names the leader.
static void
test_not_leader_names_leader(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 4);
    uint32_t leader = find_leader(fixture);
    struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");

    send_change(fixture, (leader + 1) % 3, &change);
    CU_ASSERT_EQUAL(fixture->results[1].status, SL_NOT_LEADER);
    CU_ASSERT_STRING_EQUAL(fixture->results[1].message,
                           fixture->simulation.nodes[leader].name);
    destroy_control_fixture(fixture);
}

/// Operators may not use the verbs that are reserved for control instances.
static void
test_reserved_verbs_are_refused(void)
{
    static const enum SlVerb VERBS[] = {SL_VERB_ANNOUNCE,
                                        SL_VERB_SET_REACHABILITY, SL_VERB_NOOP,
                                        SL_VERB_MEMBER_PROMOTE};
    struct control_fixture *fixture = create_control_fixture(1, 4);

    for (uint64_t i = 0; i < 4; i++) {
        struct SlChange change = make_change(1, i + 1, VERBS[i], "control-1");

        CU_ASSERT_EQUAL(request_change(fixture, &change)->status, SL_INVALID);
    }
    destroy_control_fixture(fixture);
}

static struct SlChange
race_change(uint64_t client, uint64_t number, struct SlVersion version)
{
    struct SlChange change =
        make_change(client, number, SL_VERB_LABEL, "ulaan-a");
    struct SlLabel *label = &change.object.labels.items[0];

    change.expected = version;
    change.base = version;
    change.object.labels.count = 1;
    snprintf(label->key, sizeof(label->key), "winner");
    snprintf(label->value, sizeof(label->value), "client-%u",
             (unsigned)client);
    return change;
}

/// Three operators request a change of the same version in one batch, in
/// varying order. In every tenth race the leader crashes before it answers,
/// and all operators repeat their requests. Returns the number of accepted
/// changes.
static uint32_t
run_race(struct control_fixture *fixture, uint64_t number,
         struct SlVersion version)
{
    uint32_t leader = find_leader(fixture);
    uint32_t winners = 0;

    for (uint64_t i = 0; i < 3; i++) {
        struct SlChange change =
            race_change(1 + (number + i) % 3, number, version);

        send_change(fixture, leader, &change);
    }
    simulation_flush(&fixture->simulation, leader);
    if (number % 10 == 0) {
        fixture_step(fixture);
        simulation_crash_node(&fixture->simulation, leader);
        fixture_start_node(fixture, leader);
    }
    for (uint64_t client = 1; client <= 3; client++) {
        struct SlChange change = race_change(client, number, version);

        if (request_change(fixture, &change)->status == SL_OK) {
            winners++;
            continue;
        }
        CU_ASSERT_EQUAL(fixture->results[client].status, SL_CONFLICT);
        CU_ASSERT(fixture->results[client].has_object);
        CU_ASSERT(SlVersion_Compare(fixture->results[client].object.modified,
                                    version) > 0);
    }
    return winners;
}

static void
test_races(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 5);
    struct SlChange create = make_change(4, 1, SL_VERB_CREATE, "ulaan-a");
    uint32_t winners = 0;

    CU_ASSERT_EQUAL(request_change(fixture, &create)->status, SL_OK);
    for (uint64_t i = 1; i <= RACES; i++) {
        const struct SlObject *zone;
        uint32_t race_winners;

        zone =
            SlConfig_FindObject(config_at_node(fixture, find_leader(fixture)),
                                SL_KIND_ZONE, "ulaan-a");
        race_winners = run_race(fixture, i, zone->modified);
        CU_ASSERT_EQUAL(race_winners, 1);
        winners += race_winners;
    }
    printf("races of equal versions: %u, winners: %u\n", RACES, winners);
    destroy_control_fixture(fixture);
}

static void
restart_all(struct control_fixture *fixture)
{
    for (uint32_t i = 0; i < fixture->simulation.count; i++) {
        simulation_crash_node(&fixture->simulation, i);
    }
    for (uint32_t i = 0; i < fixture->simulation.count; i++) {
        fixture_start_node(fixture, i);
    }
    find_leader(fixture);
}

/// A repeated request returns the result of the first one: at a new leader
/// after the first result was lost, and after snapshots and a restart of all
/// instances, although the object has been deleted by then.
static void
test_resend_gets_first_answer(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 6);
    struct SlChange create = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
    struct SlChange remove = make_change(2, 1, SL_VERB_DELETE, "ulaan-a");
    struct SlVersion first;
    uint32_t leader = find_leader(fixture);

    send_change(fixture, leader, &create);
    fixture_run(fixture, 10);
    first = fixture->results[1].version;
    simulation_crash_node(&fixture->simulation, leader);
    CU_ASSERT_EQUAL(request_change(fixture, &create)->status, SL_OK);
    CU_ASSERT_EQUAL(SlVersion_Compare(fixture->results[1].version, first), 0);
    fixture_start_node(fixture, leader);
    CU_ASSERT_EQUAL(request_change(fixture, &remove)->status, SL_OK);
    for (uint64_t i = 1; i <= 100; i++) {
        struct SlChange other = make_change(3, i, SL_VERB_CREATE, "ulaan-b");

        request_change(fixture, &other);
    }
    CU_ASSERT(fixture->simulation.events[SL_EVENT_SNAPSHOT] > 6);
    restart_all(fixture);
    CU_ASSERT_EQUAL(request_change(fixture, &create)->status, SL_OK);
    CU_ASSERT_EQUAL(SlVersion_Compare(fixture->results[1].version, first), 0);
    CU_ASSERT_PTR_NULL(
        SlConfig_FindObject(config_at_node(fixture, find_leader(fixture)),
                            SL_KIND_ZONE, "ulaan-a"));
    destroy_control_fixture(fixture);
}

/// A request whose stored result was discarded is refused instead of being run
/// again, also after the state was restored from a snapshot.
static void
test_discarded_request_is_refused(void)
{
    struct control_fixture *fixture = create_control_fixture(1, 7);
    struct SlChange create = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
    struct SlChange remove = make_change(2, 1, SL_VERB_DELETE, "ulaan-a");

    CU_ASSERT_EQUAL(request_change(fixture, &create)->status, SL_OK);
    CU_ASSERT_EQUAL(request_change(fixture, &remove)->status, SL_OK);
    for (uint64_t i = 1; i <= SL_REMEMBERED_RESULTS_MAX + 10; i++) {
        struct SlChange other = make_change(3, i, SL_VERB_CREATE, "ulaan-b");

        other.base =
            SlControl_AppliedVersion(fixture->simulation.nodes[0].control);
        send_change(fixture, 0, &other);
        fixture_step(fixture);
    }
    CU_ASSERT_EQUAL(request_change(fixture, &create)->status, SL_TOO_OLD);
    restart_all(fixture);
    CU_ASSERT_EQUAL(request_change(fixture, &create)->status, SL_TOO_OLD);
    CU_ASSERT_PTR_NULL(SlConfig_FindObject(config_at_node(fixture, 0),
                                           SL_KIND_ZONE, "ulaan-a"));
    destroy_control_fixture(fixture);
}

/// During leader changes, restarts and a partition of the control instances,
/// no process that is still linked to one of them is missing from the
/// configuration or unreachable.
static void
test_announcements_never_shrink(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 8);

    connect_agents(fixture, 12);
    CU_ASSERT_EQUAL(count_reachable(fixture), 12);
    for (uint32_t round = 0; round < 6; round++) {
        uint32_t leader = find_leader(fixture);

        if (round % 2 == 0) {
            fixture->simulation.nodes[leader].is_partitioned = true;
        }
        else {
            simulation_crash_node(&fixture->simulation, leader);
        }
        /* The agents of the former leader connect to another instance. */
        for (uint32_t i = 0; i < fixture->agent_count; i++) {
            if (fixture->agents[i].control_index == leader) {
                fixture->agents[i].control_index = (leader + 1) % 3;
                connect_agent(fixture, i);
            }
        }
        for (uint32_t i = 0; i < REACHABILITY_STEPS; i++) {
            fixture_step(fixture);
            if (simulation_leader(&fixture->simulation) !=
                fixture->simulation.count) {
                CU_ASSERT_EQUAL(count_reachable(fixture), 12);
            }
        }
        fixture->simulation.nodes[leader].is_partitioned = false;
        if (fixture->simulation.nodes[leader].control == NULL) {
            fixture_start_node(fixture, leader);
        }
        fixture_run(fixture, 40);
    }
    CU_ASSERT_EQUAL(fixture->simulation.events[SL_EVENT_UNREACHABLE], 0);
    destroy_control_fixture(fixture);
}

/// A process that falls silent is declared unreachable, and reachable again
/// when it returns, whichever instance it is linked to.
static void
test_silent_process(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 9);

    connect_agents(fixture, 12);
    fixture_run(fixture, REACHABILITY_STEPS);
    for (uint32_t i = 0; i < 3; i++) {
        fixture->agents[i].is_silent = true;
        fixture_run(fixture, REACHABILITY_STEPS);
        CU_ASSERT_EQUAL(count_reachable(fixture), 11);
        fixture->agents[i].is_silent = false;
        fixture_run(fixture, REACHABILITY_STEPS);
        CU_ASSERT_EQUAL(count_reachable(fixture), 12);
        /* Wait until the loss no longer counts towards a mass loss (60 s). */
        fixture_run(fixture, 61 * 1000 * 1000 / SIMULATION_STEP_US);
    }
    CU_ASSERT_EQUAL(fixture->simulation.events[SL_EVENT_LOSS_HELD], 0);
    destroy_control_fixture(fixture);
}

/// When a control instance fails, the processes linked only to it have time to
/// connect to another instance before they are declared unreachable.
static void
test_processes_survive_control_failure(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 22);
    uint32_t leader = find_leader(fixture);
    uint32_t failing = (leader + 1) % 3;

    fixture->agent_count = 20;
    for (uint32_t i = 0; i < 20; i++) {
        snprintf(fixture->agents[i].name, SL_NAME_BYTES, "workroom-%u", i);
        fixture->agents[i].control_index = i < 4 ? failing : leader;
        connect_agent(fixture, i);
    }
    fixture_run(fixture, REACHABILITY_STEPS);
    simulation_crash_node(&fixture->simulation, failing);
    fixture_run(fixture, 3 * UNREACHABLE_US / 2 / SIMULATION_STEP_US);
    CU_ASSERT_EQUAL(count_reachable(fixture), 20);
    for (uint32_t i = 0; i < 4; i++) {
        fixture->agents[i].control_index = leader;
        connect_agent(fixture, i);
    }
    fixture_run(fixture, REACHABILITY_STEPS);
    CU_ASSERT_EQUAL(count_reachable(fixture), 20);
    CU_ASSERT_EQUAL(fixture->simulation.events[SL_EVENT_UNREACHABLE], 0);
    destroy_control_fixture(fixture);
}

/// Many processes that fall silent at once are not declared unreachable, not
/// even by a new leader that never received a message from them.
static void
test_mass_loss_is_withheld(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 10);

    connect_agents(fixture, 12);
    fixture_run(fixture, REACHABILITY_STEPS);
    for (uint32_t i = 0; i < 6; i++) {
        fixture->agents[i].is_silent = true;
    }
    fixture_run(fixture, 3 * REACHABILITY_STEPS);
    CU_ASSERT_EQUAL(count_reachable(fixture), 12);
    CU_ASSERT_EQUAL(fixture->simulation.events[SL_EVENT_LOSS_HELD], 1);
    restart_all(fixture);
    for (uint32_t i = 6; i < 12; i++) {
        connect_agent(fixture, i);
    }
    fixture_run(fixture, 3 * REACHABILITY_STEPS);
    CU_ASSERT_EQUAL(count_reachable(fixture), 12);
    CU_ASSERT_EQUAL(fixture->simulation.events[SL_EVENT_UNREACHABLE], 0);
    destroy_control_fixture(fixture);
}

static uint64_t
subscribe(struct control_fixture *fixture, uint32_t index,
          struct SlVersion version)
{
    struct SlMessage message = {.kind = SL_MESSAGE_SUBSCRIBE,
                                .subscribe = {.version = version}};
    uint64_t link = simulation_connect(&fixture->simulation, index, "entry-1",
                                       SL_ROLE_ENTRY);

    simulation_send_message(&fixture->simulation, index, link, &message);
    return link;
}

/// A subscriber first receives the whole configuration and then deltas. A
/// subscriber whose version is older than the recorded modifications receives
/// the whole configuration again.
static void
test_deltas(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 11);
    struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
    struct SlVersion old;
    uint32_t index = (find_leader(fixture) + 1) % 3;

    connect_agents(fixture, 12);
    old = SlControl_AppliedVersion(fixture->simulation.nodes[index].control);
    subscribe(fixture, index, (struct SlVersion){.term = 0});
    fixture_run(fixture, 10);
    CU_ASSERT_EQUAL(fixture->whole_parts, 1);
    CU_ASSERT_EQUAL(fixture->config_objects, 12);
    request_change(fixture, &change);
    fixture_run(fixture, 10);
    CU_ASSERT_EQUAL(fixture->whole_parts, 1);
    CU_ASSERT_EQUAL(fixture->config_objects, 13);
    change = make_change(1, 2, SL_VERB_DELETE, "ulaan-a");
    request_change(fixture, &change);
    fixture_run(fixture, 10);
    CU_ASSERT_EQUAL(fixture->config_objects, 13);
    CU_ASSERT_EQUAL(fixture->removed_objects, 1);
    CU_ASSERT_FALSE(fixture->version_decreased);
    restart_all(fixture);
    fixture_run(fixture, 20);
    fixture->whole_parts = 0;
    fixture->config_parts = 0;
    fixture->config_version = (struct SlVersion){.term = 0};
    subscribe(fixture, index, old);
    fixture_run(fixture, 10);
    /* The instances still know the modifications since then. */
    CU_ASSERT_EQUAL(fixture->config_parts, 1);
    CU_ASSERT_EQUAL(fixture->whole_parts, 0);
    CU_ASSERT_EQUAL(
        SlVersion_Compare(fixture->config_version,
                          SlControl_AppliedVersion(
                              fixture->simulation.nodes[index].control)),
        0);
    destroy_control_fixture(fixture);
}

/// A leader that lost all other instances without notice reports that it is
/// not current, serves no configuration and no objects, and accepts no change.
static void
test_isolated_leader_serves_nothing(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 12);
    uint32_t leader = find_leader(fixture);
    struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
    struct SlMessage query = {.kind = SL_MESSAGE_QUERY,
                              .query = {.query = SL_QUERY_OBJECTS}};
    uint64_t link;

    request_change(fixture, &change);
    for (uint32_t i = 0; i < 3; i++) {
        if (i != leader) {
            simulation_crash_node(&fixture->simulation, i);
        }
    }
    fixture_run(fixture, 2 * SIMULATION_ELECTION_US / SIMULATION_STEP_US);
    link = subscribe(fixture, leader, (struct SlVersion){.term = 0});
    fixture->fresh_heartbeats = 0;
    fixture->config_parts = 0;
    change = make_change(2, 1, SL_VERB_CREATE, "ulaan-b");
    send_change(fixture, leader, &change);
    simulation_send_message(&fixture->simulation, leader, link, &query);
    fixture_run(fixture, 100);
    CU_ASSERT_EQUAL(fixture->fresh_heartbeats, 0);
    CU_ASSERT(fixture->stale_heartbeats > 0);
    CU_ASSERT_EQUAL(fixture->config_parts, 0);
    CU_ASSERT_EQUAL(fixture->objects, 0);
    CU_ASSERT_EQUAL(fixture->text_status, SL_STALE);
    CU_ASSERT_EQUAL(fixture->results[2].status, SL_NOT_LEADER);
    destroy_control_fixture(fixture);
}

/// Each instance tells what is left of its lease, and for how long it has
/// been over.
static void
test_lease_is_told(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 12);
    struct control_simulation *simulation = &fixture->simulation;
    uint32_t leader = find_leader(fixture);
    const struct SlControl *follower =
        simulation->nodes[(leader + 1) % 3].control;
    uint64_t losses;
    uint64_t cut_us;
    int64_t lease_us;

    for (uint32_t i = 0;
         i < 100 && !SlControl_IsFresh(follower, simulation->now_us); i++) {
        fixture_step(fixture);
    }
    losses = SlControl_LeaseLossCount(follower);
    cut_us = simulation->now_us;
    CU_ASSERT(SlControl_LeaseUs(follower, cut_us) > 0);
    CU_ASSERT_STRING_EQUAL(SlControl_LeaderName(follower),
                           simulation->nodes[leader].name);
    simulation_crash_node(simulation, leader);
    simulation_crash_node(simulation, (leader + 2) % 3);
    fixture_run(fixture, 3 * SIMULATION_ELECTION_US / SIMULATION_STEP_US);
    lease_us = SlControl_LeaseUs(follower, simulation->now_us);
    CU_ASSERT(lease_us < 0);
    CU_ASSERT_EQUAL(SlControl_LeaseLossCount(follower), losses + 1);
    CU_ASSERT(SlControl_LeaderSilentUs(follower, simulation->now_us) >=
              simulation->now_us - cut_us);
    lease_us += (int64_t)(simulation->now_us - cut_us);
    CU_ASSERT(lease_us >= 0 && lease_us < SIMULATION_ELECTION_US);
    destroy_control_fixture(fixture);
}

/// A follower whose lease is over still names the leader that it hears, and no
/// instance names a leader that has long been silent, or itself.
static void
test_leader_is_named_without_lease(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 12);
    struct control_simulation *simulation = &fixture->simulation;
    uint32_t leader = find_leader(fixture);
    const struct SlControl *follower =
        simulation->nodes[(leader + 1) % 3].control;
    struct SlControlMember named;
    uint32_t steps_without_lease = 0;

    fixture_slow_down(fixture, SLOW_DELAY_US);
    for (uint32_t i = 0; i < 300; i++) {
        fixture_step(fixture);
        steps_without_lease +=
            !SlControl_IsFresh(follower, simulation->now_us);
        CU_ASSERT_FATAL(
            SlControl_FindLeader(follower, simulation->now_us, &named));
        CU_ASSERT_EQUAL(named.node_id, simulation->nodes[leader].node_id);
    }
    CU_ASSERT(steps_without_lease > 0);
    CU_ASSERT_FALSE(SlControl_FindLeader(simulation->nodes[leader].control,
                                         simulation->now_us, &named));
    CU_ASSERT(SlControl_IsMember(follower));
    CU_ASSERT(SlControl_FindLinkedInstance(follower, 0, &named));
    CU_ASSERT_NOT_EQUAL(named.node_id,
                        simulation->nodes[(leader + 1) % 3].node_id);
    simulation_crash_node(simulation, leader);
    simulation_crash_node(simulation, (leader + 2) % 3);
    fixture_run(fixture, 3 * SIMULATION_ELECTION_US / SIMULATION_STEP_US);
    CU_ASSERT_FALSE(
        SlControl_FindLeader(follower, simulation->now_us, &named));
    CU_ASSERT_FALSE(SlControl_FindLinkedInstance(follower, 0, &named));
    destroy_control_fixture(fixture);
}

/// With a full disk at the leader a change is refused and stored at no
/// instance, while queries still work. Once there is space, the same request
/// is accepted.
static void
test_full_disk_at_leader(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 13);
    uint32_t leader = find_leader(fixture);
    struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
    struct SlMessage query = {.kind = SL_MESSAGE_QUERY,
                              .query = {.query = SL_QUERY_OBJECTS}};

    fixture->simulation.nodes[leader].storage->disk_full = true;
    CU_ASSERT_EQUAL(request_change(fixture, &change)->status, SL_DISK_FULL);
    simulation_send_message(&fixture->simulation, leader,
                            fixture->operator_link[leader], &query);
    CU_ASSERT_EQUAL(fixture->text_status, SL_OK);
    fixture_run(fixture, 20);
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT_PTR_NULL(SlConfig_FindObject(config_at_node(fixture, i),
                                               SL_KIND_ZONE, "ulaan-a"));
    }
    fixture->simulation.nodes[leader].storage->disk_full = false;
    CU_ASSERT_EQUAL(request_change(fixture, &change)->status, SL_OK);
    destroy_control_fixture(fixture);
}

/// Runs until a leader is elected, and then for ms.
static void
run_with_new_leader(struct control_fixture *fixture, uint32_t ms)
{
    CU_ASSERT_NOT_EQUAL_FATAL(
        simulation_await_leader(&fixture->simulation, 2000),
        fixture->simulation.count);
    fixture_run(fixture, ms * 1000 / SIMULATION_STEP_US);
}

/// The leader is lost while a process is declared unreachable. The next leader
/// takes that back at once when it hears the process, whichever instance it is
/// linked to, and leaves the mark while the process is silent.
static void
test_new_leader_hears_process(void)
{
    for (uint32_t i = 0; i < 2; i++) {
        struct control_fixture *fixture = create_control_fixture(3, 23 + i);
        uint32_t leader = find_leader(fixture);

        fixture->agent_count = 12;
        for (uint32_t agent = 0; agent < 12; agent++) {
            snprintf(fixture->agents[agent].name, SL_NAME_BYTES, "workroom-%u",
                     agent);
            fixture->agents[agent].control_index =
                (leader + 1 + (agent + i) % 2) % 3;
            connect_agent(fixture, agent);
        }
        fixture_run(fixture, REACHABILITY_STEPS);
        fixture->agents[0].is_silent = true;
        fixture->agents[1].is_silent = true;
        fixture_run(fixture, REACHABILITY_STEPS);
        CU_ASSERT_EQUAL(count_reachable(fixture), 10);
        simulation_crash_node(&fixture->simulation, leader);
        fixture->agents[0].is_silent = false;
        run_with_new_leader(fixture, 1000);
        CU_ASSERT_EQUAL(count_reachable(fixture), 11);
        destroy_control_fixture(fixture);
    }
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"a single control instance", test_one_member},
        {"seven control instances", test_seven_members},
        {"a follower names the leader", test_not_leader_names_leader},
        {"reserved verbs are refused", test_reserved_verbs_are_refused},
        {"of concurrent changes to one version one is accepted", test_races},
        {"a repeated request gets the first result",
         test_resend_gets_first_answer},
        {"a request with a discarded result is refused",
         test_discarded_request_is_refused},
        {"announced processes stay reachable",
         test_announcements_never_shrink},
        {"a silent process is declared unreachable", test_silent_process},
        {"processes survive the failure of a control instance",
         test_processes_survive_control_failure},
        {"mass loss is withheld", test_mass_loss_is_withheld},
        {"subscribers receive deltas", test_deltas},
        {"an isolated leader serves nothing",
         test_isolated_leader_serves_nothing},
        {"the lease of each instance is told", test_lease_is_told},
        {"a leader is named without a lease",
         test_leader_is_named_without_lease},
        {"a full disk at the leader refuses changes",
         test_full_disk_at_leader},
        {"a new leader hears a process that was unreachable",
         test_new_leader_hears_process},
    };

    return RUN_SUITE("control", CASES);
}
