/* Control as operators and processes see it: races, resends, announcements,
 * reachability, distribution. */

#include "control_fixture.h"

enum {
    RACES = 1000,
};

static void
test_commit(uint32_t nodes)
{
    struct control_fixture *lab = create_control_fixture(nodes, 3);
    struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
    const struct SlResult *result = request_change(lab, &change);

    CU_ASSERT_EQUAL(result->status, SL_OK);
    fixture_run(lab, 10);
    for (uint32_t i = 0; i < nodes; i++) {
        CU_ASSERT_PTR_NOT_NULL(SlConfig_FindObject(config_at_node(lab, i),
                                                   SL_KIND_ZONE, "ulaan-a"));
        CU_ASSERT(SlControl_IsFresh(lab->simulation.nodes[i].control,
                                    lab->simulation.now_us));
    }
    destroy_control_fixture(lab);
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

/// Who does not lead names the one who does.
static void
test_not_leader_names_leader(void)
{
    struct control_fixture *lab = create_control_fixture(3, 4);
    uint32_t leader = find_leader(lab);
    struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");

    send_change(lab, (leader + 1) % 3, &change);
    CU_ASSERT_EQUAL(lab->results[1].status, SL_NOT_LEADER);
    CU_ASSERT_STRING_EQUAL(lab->results[1].message,
                           lab->simulation.nodes[leader].name);
    destroy_control_fixture(lab);
}

/// Control's own verbs are not for operators.
static void
test_foreign_verbs_are_refused(void)
{
    static const enum SlVerb VERBS[] = {SL_VERB_ANNOUNCE,
                                        SL_VERB_SET_REACHABILITY, SL_VERB_NOOP,
                                        SL_VERB_MEMBER_PROMOTE};
    struct control_fixture *lab = create_control_fixture(1, 4);

    for (uint64_t i = 0; i < 4; i++) {
        struct SlChange change = make_change(1, i + 1, VERBS[i], "control-1");

        CU_ASSERT_EQUAL(request_change(lab, &change)->status, SL_INVALID);
    }
    destroy_control_fixture(lab);
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

/// Three operators hold the same version and ask in one batch, in an order
/// that changes; every tenth time the leader dies before it answers, and all
/// ask again.
static uint32_t
race(struct control_fixture *lab, uint64_t number, struct SlVersion version)
{
    uint32_t leader = find_leader(lab);
    uint32_t winners = 0;

    for (uint64_t i = 0; i < 3; i++) {
        struct SlChange change =
            race_change(1 + (number + i) % 3, number, version);

        send_change(lab, leader, &change);
    }
    simulation_flush(&lab->simulation, leader);
    if (number % 10 == 0) {
        lab_step(lab);
        simulation_crash_node(&lab->simulation, leader);
        fixture_start_node(lab, leader);
    }
    for (uint64_t client = 1; client <= 3; client++) {
        struct SlChange change = race_change(client, number, version);

        if (request_change(lab, &change)->status == SL_OK) {
            winners++;
            continue;
        }
        CU_ASSERT_EQUAL(lab->results[client].status, SL_CONFLICT);
        CU_ASSERT(lab->results[client].has_object);
        CU_ASSERT(SlVersion_Compare(lab->results[client].object.modified,
                                    version) > 0);
    }
    return winners;
}

static void
test_races(void)
{
    struct control_fixture *lab = create_control_fixture(3, 5);
    struct SlChange create = make_change(4, 1, SL_VERB_CREATE, "ulaan-a");
    uint32_t winners = 0;

    CU_ASSERT_EQUAL(request_change(lab, &create)->status, SL_OK);
    for (uint64_t i = 1; i <= RACES; i++) {
        const struct SlObject *zone;
        uint32_t won;

        zone = SlConfig_FindObject(config_at_node(lab, find_leader(lab)),
                                   SL_KIND_ZONE, "ulaan-a");
        won = race(lab, i, zone->modified);
        CU_ASSERT_EQUAL(won, 1);
        winners += won;
    }
    printf("races of equal versions: %u, winners: %u\n", RACES, winners);
    destroy_control_fixture(lab);
}

static void
restart_all(struct control_fixture *lab)
{
    for (uint32_t i = 0; i < lab->simulation.count; i++) {
        simulation_crash_node(&lab->simulation, i);
    }
    for (uint32_t i = 0; i < lab->simulation.count; i++) {
        fixture_start_node(lab, i);
    }
    find_leader(lab);
}

/// The answer is lost; the resend gets it, at a new leader, and again after
/// snapshots and a restart of all, though the object is long deleted.
static void
test_resend_gets_first_answer(void)
{
    struct control_fixture *lab = create_control_fixture(3, 6);
    struct SlChange create = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
    struct SlChange remove = make_change(2, 1, SL_VERB_DELETE, "ulaan-a");
    struct SlVersion first;
    uint32_t leader = find_leader(lab);

    send_change(lab, leader, &create);
    fixture_run(lab, 10);
    first = lab->results[1].version;
    simulation_crash_node(&lab->simulation, leader);
    CU_ASSERT_EQUAL(request_change(lab, &create)->status, SL_OK);
    CU_ASSERT_EQUAL(SlVersion_Compare(lab->results[1].version, first), 0);
    fixture_start_node(lab, leader);
    CU_ASSERT_EQUAL(request_change(lab, &remove)->status, SL_OK);
    for (uint64_t i = 1; i <= 100; i++) {
        struct SlChange other = make_change(3, i, SL_VERB_CREATE, "ulaan-b");

        request_change(lab, &other);
    }
    CU_ASSERT(lab->simulation.events[SL_EVENT_SNAPSHOT] > 6);
    restart_all(lab);
    CU_ASSERT_EQUAL(request_change(lab, &create)->status, SL_OK);
    CU_ASSERT_EQUAL(SlVersion_Compare(lab->results[1].version, first), 0);
    CU_ASSERT_PTR_NULL(SlConfig_FindObject(
        config_at_node(lab, find_leader(lab)), SL_KIND_ZONE, "ulaan-a"));
    destroy_control_fixture(lab);
}

/// A request whose result is forgotten is never run again, also after the
/// record was carried through a snapshot.
static void
test_forgotten_request_is_refused(void)
{
    struct control_fixture *lab = create_control_fixture(1, 7);
    struct SlChange create = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
    struct SlChange remove = make_change(2, 1, SL_VERB_DELETE, "ulaan-a");

    CU_ASSERT_EQUAL(request_change(lab, &create)->status, SL_OK);
    CU_ASSERT_EQUAL(request_change(lab, &remove)->status, SL_OK);
    for (uint64_t i = 1; i <= SL_REMEMBERED_RESULTS_MAX + 10; i++) {
        struct SlChange other = make_change(3, i, SL_VERB_CREATE, "ulaan-b");

        other.base = SlControl_Applied(lab->simulation.nodes[0].control);
        send_change(lab, 0, &other);
        lab_step(lab);
    }
    CU_ASSERT_EQUAL(request_change(lab, &create)->status, SL_TOO_OLD);
    restart_all(lab);
    CU_ASSERT_EQUAL(request_change(lab, &create)->status, SL_TOO_OLD);
    CU_ASSERT_PTR_NULL(
        SlConfig_FindObject(config_at_node(lab, 0), SL_KIND_ZONE, "ulaan-a"));
    destroy_control_fixture(lab);
}

/// Leader changes, restarts and a partition of control: no process that is
/// still linked somewhere is ever missing or unreachable.
static void
test_announcements_never_shrink(void)
{
    struct control_fixture *lab = create_control_fixture(3, 8);

    connect_agents(lab, 12);
    CU_ASSERT_EQUAL(count_reachable(lab), 12);
    for (uint32_t round = 0; round < 6; round++) {
        uint32_t leader = find_leader(lab);

        if (round % 2 == 0) {
            lab->simulation.nodes[leader].cut = true;
        }
        else {
            simulation_crash_node(&lab->simulation, leader);
        }
        /* Its agents find another instance. */
        for (uint32_t i = 0; i < lab->agent_count; i++) {
            if (lab->agents[i].at == leader) {
                lab->agents[i].at = (leader + 1) % 3;
                connect_agent(lab, i);
            }
        }
        for (uint32_t i = 0; i < JUDGED_STEPS; i++) {
            lab_step(lab);
            if (simulation_leader(&lab->simulation) != lab->simulation.count) {
                CU_ASSERT_EQUAL(count_reachable(lab), 12);
            }
        }
        lab->simulation.nodes[leader].cut = false;
        if (lab->simulation.nodes[leader].control == NULL) {
            fixture_start_node(lab, leader);
        }
        fixture_run(lab, 40);
    }
    CU_ASSERT_EQUAL(lab->simulation.events[SL_EVENT_UNREACHABLE], 0);
    destroy_control_fixture(lab);
}

/// One process that falls silent is taken out, and back in when it returns,
/// wherever it is linked.
static void
test_silent_process(void)
{
    struct control_fixture *lab = create_control_fixture(3, 9);

    connect_agents(lab, 12);
    fixture_run(lab, JUDGED_STEPS);
    for (uint32_t i = 0; i < 3; i++) {
        lab->agents[i].silent = true;
        fixture_run(lab, JUDGED_STEPS);
        CU_ASSERT_EQUAL(count_reachable(lab), 11);
        lab->agents[i].silent = false;
        fixture_run(lab, JUDGED_STEPS);
        CU_ASSERT_EQUAL(count_reachable(lab), 12);
        /* Later losses are not part of this one. */
        fixture_run(lab, 61 * 1000 * 1000 / SIMULATION_STEP_US);
    }
    CU_ASSERT_EQUAL(lab->simulation.events[SL_EVENT_LOSS_HELD], 0);
    destroy_control_fixture(lab);
}

/// A control instance dies: the few processes that it alone heard have time
/// to find another before they count as lost.
static void
test_control_takes_no_process_along(void)
{
    struct control_fixture *lab = create_control_fixture(3, 22);
    uint32_t leader = find_leader(lab);
    uint32_t dies = (leader + 1) % 3;

    lab->agent_count = 20;
    for (uint32_t i = 0; i < 20; i++) {
        snprintf(lab->agents[i].name, SL_NAME_BYTES, "workroom-%u", i);
        lab->agents[i].at = i < 4 ? dies : leader;
        connect_agent(lab, i);
    }
    fixture_run(lab, JUDGED_STEPS);
    simulation_crash_node(&lab->simulation, dies);
    fixture_run(lab, 3 * UNREACHABLE_US / 2 / SIMULATION_STEP_US);
    CU_ASSERT_EQUAL(count_reachable(lab), 20);
    for (uint32_t i = 0; i < 4; i++) {
        lab->agents[i].at = leader;
        connect_agent(lab, i);
    }
    fixture_run(lab, JUDGED_STEPS);
    CU_ASSERT_EQUAL(count_reachable(lab), 20);
    CU_ASSERT_EQUAL(lab->simulation.events[SL_EVENT_UNREACHABLE], 0);
    destroy_control_fixture(lab);
}

/// Many at once are kept, also when a new leader finds them gone.
static void
test_mass_loss_is_held(void)
{
    struct control_fixture *lab = create_control_fixture(3, 10);

    connect_agents(lab, 12);
    fixture_run(lab, JUDGED_STEPS);
    for (uint32_t i = 0; i < 6; i++) {
        lab->agents[i].silent = true;
    }
    fixture_run(lab, 3 * JUDGED_STEPS);
    CU_ASSERT_EQUAL(count_reachable(lab), 12);
    CU_ASSERT_EQUAL(lab->simulation.events[SL_EVENT_LOSS_HELD], 1);
    restart_all(lab);
    for (uint32_t i = 6; i < 12; i++) {
        connect_agent(lab, i);
    }
    fixture_run(lab, 3 * JUDGED_STEPS);
    CU_ASSERT_EQUAL(count_reachable(lab), 12);
    CU_ASSERT_EQUAL(lab->simulation.events[SL_EVENT_UNREACHABLE], 0);
    destroy_control_fixture(lab);
}

static uint64_t
subscribe(struct control_fixture *lab, uint32_t at, struct SlVersion version)
{
    struct SlMessage message = {.kind = SL_MESSAGE_SUBSCRIBE,
                                .subscribe = {.version = version}};
    uint64_t link =
        simulation_connect(&lab->simulation, at, "entry-1", SL_ROLE_ENTRY);

    simulation_send_message(&lab->simulation, at, link, &message);
    return link;
}

/// First the whole, then what changed; the whole again for one that is
/// further behind than is remembered.
static void
test_deltas(void)
{
    struct control_fixture *lab = create_control_fixture(3, 11);
    struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
    struct SlVersion old;
    uint32_t at = (find_leader(lab) + 1) % 3;

    connect_agents(lab, 12);
    old = SlControl_Applied(lab->simulation.nodes[at].control);
    subscribe(lab, at, (struct SlVersion){.term = 0});
    fixture_run(lab, 10);
    CU_ASSERT_EQUAL(lab->whole_parts, 1);
    CU_ASSERT_EQUAL(lab->config_objects, 12);
    request_change(lab, &change);
    fixture_run(lab, 10);
    CU_ASSERT_EQUAL(lab->whole_parts, 1);
    CU_ASSERT_EQUAL(lab->config_objects, 13);
    change = make_change(1, 2, SL_VERB_DELETE, "ulaan-a");
    request_change(lab, &change);
    fixture_run(lab, 10);
    CU_ASSERT_EQUAL(lab->config_objects, 13);
    CU_ASSERT_EQUAL(lab->removed_objects, 1);
    CU_ASSERT_FALSE(lab->version_went_back);
    restart_all(lab);
    fixture_run(lab, 20);
    lab->whole_parts = 0;
    subscribe(lab, at, old);
    fixture_run(lab, 10);
    CU_ASSERT(lab->whole_parts <= 1);
    destroy_control_fixture(lab);
}

/// A leader cut off in silence: it says that it is not current, gives out no
/// configuration and no objects, and accepts nothing.
static void
test_cut_off_control_gives_nothing_out(void)
{
    struct control_fixture *lab = create_control_fixture(3, 12);
    uint32_t leader = find_leader(lab);
    struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
    struct SlMessage query = {.kind = SL_MESSAGE_QUERY,
                              .query = {.query = SL_QUERY_OBJECTS}};
    uint64_t link;

    request_change(lab, &change);
    for (uint32_t i = 0; i < 3; i++) {
        if (i != leader) {
            simulation_crash_node(&lab->simulation, i);
        }
    }
    fixture_run(lab, 2 * WORLD_ELECTION_US / SIMULATION_STEP_US);
    link = subscribe(lab, leader, (struct SlVersion){.term = 0});
    lab->fresh_beats = 0;
    lab->config_parts = 0;
    change = make_change(2, 1, SL_VERB_CREATE, "ulaan-b");
    send_change(lab, leader, &change);
    simulation_send_message(&lab->simulation, leader, link, &query);
    fixture_run(lab, 100);
    CU_ASSERT_EQUAL(lab->fresh_beats, 0);
    CU_ASSERT(lab->stale_beats > 0);
    CU_ASSERT_EQUAL(lab->config_parts, 0);
    CU_ASSERT_EQUAL(lab->objects, 0);
    CU_ASSERT_EQUAL(lab->text_status, SL_STALE);
    CU_ASSERT_EQUAL(lab->results[2].status, SL_NOT_LEADER);
    destroy_control_fixture(lab);
}

/// The change is refused and left nowhere; reading goes on; with space made
/// the same request is accepted.
static void
test_full_disk_at_leader(void)
{
    struct control_fixture *lab = create_control_fixture(3, 13);
    uint32_t leader = find_leader(lab);
    struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
    struct SlMessage query = {.kind = SL_MESSAGE_QUERY,
                              .query = {.query = SL_QUERY_OBJECTS}};

    lab->simulation.nodes[leader].storage->disk_full = true;
    CU_ASSERT_EQUAL(request_change(lab, &change)->status, SL_DISK_FULL);
    simulation_send_message(&lab->simulation, leader,
                            lab->operator_link[leader], &query);
    CU_ASSERT_EQUAL(lab->text_status, SL_OK);
    fixture_run(lab, 20);
    for (uint32_t i = 0; i < 3; i++) {
        CU_ASSERT_PTR_NULL(SlConfig_FindObject(config_at_node(lab, i),
                                               SL_KIND_ZONE, "ulaan-a"));
    }
    lab->simulation.nodes[leader].storage->disk_full = false;
    CU_ASSERT_EQUAL(request_change(lab, &change)->status, SL_OK);
    destroy_control_fixture(lab);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"one member", test_one_member},
        {"seven members", test_seven_members},
        {"the leader is named", test_not_leader_names_leader},
        {"foreign verbs", test_foreign_verbs_are_refused},
        {"races of equal versions", test_races},
        {"a resend gets the first answer", test_resend_gets_first_answer},
        {"a forgotten request", test_forgotten_request_is_refused},
        {"announcements never shrink", test_announcements_never_shrink},
        {"a silent process", test_silent_process},
        {"control takes no process along",
         test_control_takes_no_process_along},
        {"mass loss is held", test_mass_loss_is_held},
        {"deltas", test_deltas},
        {"cut-off control", test_cut_off_control_gives_nothing_out},
        {"full disk at the leader", test_full_disk_at_leader},
    };

    return RUN_SUITE("control", CASES);
}
