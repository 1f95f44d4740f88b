/* The control instances as seen by operators and other processes: concurrent
 * changes, repeated requests, announcements, reachability, and distribution of
 * the configuration. */

#include "control_lab.h"

enum {
    RACES = 1000,
};

static void
test_commit(uint32_t nodes)
{
    struct lab *fixture = create_lab(nodes, 3);
    struct SlChange change = change_of(1, 1, SL_VERB_CREATE, "ulaan-a");
    const struct SlResult *result = ask(fixture, &change);

    CU_ASSERT_EQUAL(result->status, SL_OK);
    lab_run(fixture, 10);
    for (uint32_t i = 0; i < nodes; i++) {
        CU_ASSERT_PTR_NOT_NULL(
            SlConfig_Find(config_of(fixture, i), SL_KIND_ZONE, "ulaan-a"));
        CU_ASSERT(SlControl_Fresh(fixture->world.nodes[i].control,
                                  fixture->world.now_us));
    }
    destroy_lab(fixture);
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
    struct lab *fixture = create_lab(3, 4);
    uint32_t leader = leader_of(fixture);
    struct SlChange change = change_of(1, 1, SL_VERB_CREATE, "ulaan-a");

    send_change(fixture, (leader + 1) % 3, &change);
    CU_ASSERT_EQUAL(fixture->results[1].status, SL_NOT_LEADER);
    CU_ASSERT_STRING_EQUAL(fixture->results[1].message,
                           fixture->world.nodes[leader].name);
    destroy_lab(fixture);
}

/// Operators may not use the verbs that are reserved for control instances.
static void
test_reserved_verbs_are_refused(void)
{
    static const enum SlVerb VERBS[] = {SL_VERB_ANNOUNCE, SL_VERB_REACH,
                                        SL_VERB_NOOP, SL_VERB_MEMBER_PROMOTE};
    struct lab *fixture = create_lab(1, 4);

    for (uint64_t i = 0; i < 4; i++) {
        struct SlChange change = change_of(1, i + 1, VERBS[i], "control-1");

        CU_ASSERT_EQUAL(ask(fixture, &change)->status, SL_INVALID);
    }
    destroy_lab(fixture);
}

static struct SlChange
race_change(uint64_t client, uint64_t number, struct SlVersion version)
{
    struct SlChange change =
        change_of(client, number, SL_VERB_LABEL, "ulaan-a");
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
run_race(struct lab *fixture, uint64_t number, struct SlVersion version)
{
    uint32_t leader = leader_of(fixture);
    uint32_t winners = 0;

    for (uint64_t i = 0; i < 3; i++) {
        struct SlChange change =
            race_change(1 + (number + i) % 3, number, version);

        send_change(fixture, leader, &change);
    }
    world_flush(&fixture->world, leader);
    if (number % 10 == 0) {
        fixture_step(fixture);
        world_crash(&fixture->world, leader);
        start_node(fixture, leader);
    }
    for (uint64_t client = 1; client <= 3; client++) {
        struct SlChange change = race_change(client, number, version);

        if (ask(fixture, &change)->status == SL_OK) {
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
    struct lab *fixture = create_lab(3, 5);
    struct SlChange create = change_of(4, 1, SL_VERB_CREATE, "ulaan-a");
    uint32_t winners = 0;

    CU_ASSERT_EQUAL(ask(fixture, &create)->status, SL_OK);
    for (uint64_t i = 1; i <= RACES; i++) {
        const struct SlObject *zone;
        uint32_t race_winners;

        zone = SlConfig_Find(config_of(fixture, leader_of(fixture)),
                             SL_KIND_ZONE, "ulaan-a");
        race_winners = run_race(fixture, i, zone->modified);
        CU_ASSERT_EQUAL(race_winners, 1);
        winners += race_winners;
    }
    printf("races of equal versions: %u, winners: %u\n", RACES, winners);
    destroy_lab(fixture);
}

static void
restart_all(struct lab *fixture)
{
    for (uint32_t i = 0; i < fixture->world.count; i++) {
        world_crash(&fixture->world, i);
    }
    for (uint32_t i = 0; i < fixture->world.count; i++) {
        start_node(fixture, i);
    }
    leader_of(fixture);
}

/// A repeated request returns the result of the first one: at a new leader
/// after the first result was lost, and after snapshots and a restart of all
/// instances, although the object has been deleted by then.
static void
test_resend_gets_first_answer(void)
{
    struct lab *fixture = create_lab(3, 6);
    struct SlChange create = change_of(1, 1, SL_VERB_CREATE, "ulaan-a");
    struct SlChange remove = change_of(2, 1, SL_VERB_DELETE, "ulaan-a");
    struct SlVersion first;
    uint32_t leader = leader_of(fixture);

    send_change(fixture, leader, &create);
    lab_run(fixture, 10);
    first = fixture->results[1].version;
    world_crash(&fixture->world, leader);
    CU_ASSERT_EQUAL(ask(fixture, &create)->status, SL_OK);
    CU_ASSERT_EQUAL(SlVersion_Compare(fixture->results[1].version, first), 0);
    start_node(fixture, leader);
    CU_ASSERT_EQUAL(ask(fixture, &remove)->status, SL_OK);
    for (uint64_t i = 1; i <= 100; i++) {
        struct SlChange other = change_of(3, i, SL_VERB_CREATE, "ulaan-b");

        ask(fixture, &other);
    }
    CU_ASSERT(fixture->world.events[SL_EVENT_SNAPSHOT] > 6);
    restart_all(fixture);
    CU_ASSERT_EQUAL(ask(fixture, &create)->status, SL_OK);
    CU_ASSERT_EQUAL(SlVersion_Compare(fixture->results[1].version, first), 0);
    CU_ASSERT_PTR_NULL(SlConfig_Find(config_of(fixture, leader_of(fixture)),
                                     SL_KIND_ZONE, "ulaan-a"));
    destroy_lab(fixture);
}

/// A request whose stored result was discarded is refused instead of being run
/// again, also after the state was restored from a snapshot.
static void
test_discarded_request_is_refused(void)
{
    struct lab *fixture = create_lab(1, 7);
    struct SlChange create = change_of(1, 1, SL_VERB_CREATE, "ulaan-a");
    struct SlChange remove = change_of(2, 1, SL_VERB_DELETE, "ulaan-a");

    CU_ASSERT_EQUAL(ask(fixture, &create)->status, SL_OK);
    CU_ASSERT_EQUAL(ask(fixture, &remove)->status, SL_OK);
    for (uint64_t i = 1; i <= SL_REQUESTS_MAX + 10; i++) {
        struct SlChange other = change_of(3, i, SL_VERB_CREATE, "ulaan-b");

        other.base = SlControl_Applied(fixture->world.nodes[0].control);
        send_change(fixture, 0, &other);
        fixture_step(fixture);
    }
    CU_ASSERT_EQUAL(ask(fixture, &create)->status, SL_TOO_OLD);
    restart_all(fixture);
    CU_ASSERT_EQUAL(ask(fixture, &create)->status, SL_TOO_OLD);
    CU_ASSERT_PTR_NULL(
        SlConfig_Find(config_of(fixture, 0), SL_KIND_ZONE, "ulaan-a"));
    destroy_lab(fixture);
}

/// During leader changes, restarts and a partition of the control instances,
/// no process that is still linked to one of them is missing from the
/// configuration or unreachable.
static void
test_announcements_never_shrink(void)
{
    struct lab *fixture = create_lab(3, 8);

    connect_agents(fixture, 12);
    CU_ASSERT_EQUAL(count_reachable(fixture), 12);
    for (uint32_t round = 0; round < 6; round++) {
        uint32_t leader = leader_of(fixture);

        if (round % 2 == 0) {
            fixture->world.nodes[leader].is_partitioned = true;
        }
        else {
            world_crash(&fixture->world, leader);
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
            if (world_leader(&fixture->world) != fixture->world.count) {
                CU_ASSERT_EQUAL(count_reachable(fixture), 12);
            }
        }
        fixture->world.nodes[leader].is_partitioned = false;
        if (fixture->world.nodes[leader].control == NULL) {
            start_node(fixture, leader);
        }
        lab_run(fixture, 40);
    }
    CU_ASSERT_EQUAL(fixture->world.events[SL_EVENT_UNREACHABLE], 0);
    destroy_lab(fixture);
}

/// A process that falls silent is declared unreachable, and reachable again
/// when it returns, whichever instance it is linked to.
static void
test_silent_process(void)
{
    struct lab *fixture = create_lab(3, 9);

    connect_agents(fixture, 12);
    lab_run(fixture, REACHABILITY_STEPS);
    for (uint32_t i = 0; i < 3; i++) {
        fixture->agents[i].is_silent = true;
        lab_run(fixture, REACHABILITY_STEPS);
        CU_ASSERT_EQUAL(count_reachable(fixture), 11);
        fixture->agents[i].is_silent = false;
        lab_run(fixture, REACHABILITY_STEPS);
        CU_ASSERT_EQUAL(count_reachable(fixture), 12);
        /* Wait until the loss no longer counts towards a mass loss (60 s). */
        lab_run(fixture, 61 * 1000 * 1000 / WORLD_STEP_US);
    }
    CU_ASSERT_EQUAL(fixture->world.events[SL_EVENT_LOSS_HELD], 0);
    destroy_lab(fixture);
}

/// When a control instance fails, the processes linked only to it have time to
/// connect to another instance before they are declared unreachable.
static void
test_processes_survive_control_failure(void)
{
    struct lab *fixture = create_lab(3, 22);
    uint32_t leader = leader_of(fixture);
    uint32_t failing = (leader + 1) % 3;

    fixture->agent_count = 20;
    for (uint32_t i = 0; i < 20; i++) {
        snprintf(fixture->agents[i].name, SL_NAME_BYTES, "workroom-%u", i);
        fixture->agents[i].control_index = i < 4 ? failing : leader;
        connect_agent(fixture, i);
    }
    lab_run(fixture, REACHABILITY_STEPS);
    world_crash(&fixture->world, failing);
    lab_run(fixture, 3 * UNREACHABLE_US / 2 / WORLD_STEP_US);
    CU_ASSERT_EQUAL(count_reachable(fixture), 20);
    for (uint32_t i = 0; i < 4; i++) {
        fixture->agents[i].control_index = leader;
        connect_agent(fixture, i);
    }
    lab_run(fixture, REACHABILITY_STEPS);
    CU_ASSERT_EQUAL(count_reachable(fixture), 20);
    CU_ASSERT_EQUAL(fixture->world.events[SL_EVENT_UNREACHABLE], 0);
    destroy_lab(fixture);
}

/// Many processes that fall silent at once are not declared unreachable, not
/// even by a new leader that never received a message from them.
static void
test_mass_loss_is_withheld(void)
{
    struct lab *fixture = create_lab(3, 10);

    connect_agents(fixture, 12);
    lab_run(fixture, REACHABILITY_STEPS);
    for (uint32_t i = 0; i < 6; i++) {
        fixture->agents[i].is_silent = true;
    }
    lab_run(fixture, 3 * REACHABILITY_STEPS);
    CU_ASSERT_EQUAL(count_reachable(fixture), 12);
    CU_ASSERT_EQUAL(fixture->world.events[SL_EVENT_LOSS_HELD], 1);
    restart_all(fixture);
    for (uint32_t i = 6; i < 12; i++) {
        connect_agent(fixture, i);
    }
    lab_run(fixture, 3 * REACHABILITY_STEPS);
    CU_ASSERT_EQUAL(count_reachable(fixture), 12);
    CU_ASSERT_EQUAL(fixture->world.events[SL_EVENT_UNREACHABLE], 0);
    destroy_lab(fixture);
}

static uint64_t
subscribe(struct lab *fixture, uint32_t index, struct SlVersion version)
{
    struct SlMessage message = {.kind = SL_MESSAGE_SUBSCRIBE,
                                .subscribe = {.version = version}};
    uint64_t link =
        world_connect(&fixture->world, index, "entry-1", SL_ROLE_ENTRY);

    world_give(&fixture->world, index, link, &message);
    return link;
}

/// A subscriber first receives the whole configuration and then deltas. One
/// that is further behind than the recorded modifications receives the whole
/// configuration again.
static void
test_deltas(void)
{
    struct lab *fixture = create_lab(3, 11);
    struct SlChange change = change_of(1, 1, SL_VERB_CREATE, "ulaan-a");
    struct SlVersion old;
    uint32_t index = (leader_of(fixture) + 1) % 3;

    connect_agents(fixture, 12);
    old = SlControl_Applied(fixture->world.nodes[index].control);
    subscribe(fixture, index, (struct SlVersion){.term = 0});
    lab_run(fixture, 10);
    CU_ASSERT_EQUAL(fixture->whole_parts, 1);
    CU_ASSERT_EQUAL(fixture->config_objects, 12);
    ask(fixture, &change);
    lab_run(fixture, 10);
    CU_ASSERT_EQUAL(fixture->whole_parts, 1);
    CU_ASSERT_EQUAL(fixture->config_objects, 13);
    change = change_of(1, 2, SL_VERB_DELETE, "ulaan-a");
    ask(fixture, &change);
    lab_run(fixture, 10);
    CU_ASSERT_EQUAL(fixture->config_objects, 13);
    CU_ASSERT_EQUAL(fixture->removed_objects, 1);
    CU_ASSERT_FALSE(fixture->version_decreased);
    restart_all(fixture);
    lab_run(fixture, 20);
    fixture->whole_parts = 0;
    subscribe(fixture, index, old);
    lab_run(fixture, 10);
    CU_ASSERT(fixture->whole_parts <= 1);
    destroy_lab(fixture);
}

/// A leader that lost all other instances without notice reports that it is
/// not current, serves no configuration and no objects, and accepts no change.
static void
test_isolated_leader_serves_nothing(void)
{
    struct lab *fixture = create_lab(3, 12);
    uint32_t leader = leader_of(fixture);
    struct SlChange change = change_of(1, 1, SL_VERB_CREATE, "ulaan-a");
    struct SlMessage query = {.kind = SL_MESSAGE_QUERY,
                              .query = {.query = SL_QUERY_OBJECTS}};
    uint64_t link;

    ask(fixture, &change);
    for (uint32_t i = 0; i < 3; i++) {
        if (i != leader) {
            world_crash(&fixture->world, i);
        }
    }
    lab_run(fixture, 2 * SIMULATION_ELECTION_US / WORLD_STEP_US);
    link = subscribe(fixture, leader, (struct SlVersion){.term = 0});
    fixture->fresh_heartbeats = 0;
    fixture->config_parts = 0;
    change = change_of(2, 1, SL_VERB_CREATE, "ulaan-b");
    send_change(fixture, leader, &change);
    world_give(&fixture->world, leader, link, &query);
    lab_run(fixture, 100);
    CU_ASSERT_EQUAL(fixture->fresh_heartbeats, 0);
    CU_ASSERT(fixture->stale_heartbeats > 0);
    CU_ASSERT_EQUAL(fixture->config_parts, 0);
    CU_ASSERT_EQUAL(fixture->objects, 0);
    CU_ASSERT_EQUAL(fixture->text_status, SL_STALE);
    CU_ASSERT_EQUAL(fixture->results[2].status, SL_NOT_LEADER);
    destroy_lab(fixture);
}

/// With a full disk at the leader a change is refused and stored at no
/// instance, while queries still work. Once there is space, the same request
/// is accepted.
static void
test_full_disk_at_leader(void)
{
    struct lab *fixture = create_lab(3, 13);
    uint32_t leader = leader_of(fixture);
    struct SlChange change = change_of(1, 1, SL_VERB_CREATE, "ulaan-a");
    struct SlMessage query = {.kind = SL_MESSAGE_QUERY,
                              .query = {.query = SL_QUERY_OBJECTS}};

    fixture->world.nodes[leader].storage->full = true;
    CU_ASSERT_EQUAL(ask(fixture, &change)->status, SL_DISK_FULL);
    world_give(&fixture->world, leader, fixture->operator_link[leader],
               &query);
    CU_ASSERT_EQUAL(fixture->text_status, SL_OK);
    lab_run(fixture, 20);
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT_PTR_NULL(
            SlConfig_Find(config_of(fixture, i), SL_KIND_ZONE, "ulaan-a"));
    }
    fixture->world.nodes[leader].storage->full = false;
    CU_ASSERT_EQUAL(ask(fixture, &change)->status, SL_OK);
    destroy_lab(fixture);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"one member", test_one_member},
        {"seven members", test_seven_members},
        {"a follower names the leader", test_not_leader_names_leader},
        {"reserved verbs", test_reserved_verbs_are_refused},
        {"races of equal versions", test_races},
        {"a repeated request gets the first result",
         test_resend_gets_first_answer},
        {"a request with a discarded result",
         test_discarded_request_is_refused},
        {"announced processes stay reachable",
         test_announcements_never_shrink},
        {"a silent process", test_silent_process},
        {"processes survive the failure of a control instance",
         test_processes_survive_control_failure},
        {"mass loss is withheld", test_mass_loss_is_withheld},
        {"deltas", test_deltas},
        {"isolated leader", test_isolated_leader_serves_nothing},
        {"full disk at the leader", test_full_disk_at_leader},
    };

    return RUN_SUITE("control", CASES);
}
