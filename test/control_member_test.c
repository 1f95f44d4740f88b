/* Membership and recovery of control instances: joining, removal, planned
 * stops, lost data folders and undecodable state. */

#include "control_fixture.h"

static uint32_t
count_voters(struct control_fixture *fixture, uint32_t *members)
{
    struct SlControlMember items[SL_MEMBERS_CONTROL_MAX];
    uint32_t voters = 0;

    *members = SlControl_Members(
        fixture->simulation.nodes[find_leader(fixture)].control, items,
        SL_MEMBERS_CONTROL_MAX);
    for (uint32_t i = 0; i < *members; i++) {
        voters += items[i].is_voter;
    }
    return voters;
}

/// A fourth instance joins as a learner and becomes a voter once it has caught
/// up. It then replaces a removed leader.
static void
test_membership(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 14);
    struct control_simulation *simulation = &fixture->simulation;
    struct SlChange add = make_change(1, 1, SL_VERB_MEMBER_ADD, "control-4");
    struct SlChange remove = make_change(1, 2, SL_VERB_MEMBER_REMOVE, "");
    uint32_t members;
    uint32_t leader;

    add.object.kind = SL_KIND_NODE;
    simulation->nodes[3] = simulation->nodes[2];
    simulation->nodes[3].index = 3;
    simulation->nodes[3].bootstrap = false;
    snprintf(simulation->nodes[3].name, SL_NAME_BYTES, "control-4");
    simulation->nodes[3].node_id = SlNode_Id("control-4");
    simulation->nodes[3].storage =
        fault_storage_create(simulation->nodes[3].node_id, 4444);
    simulation->count = 4;
    fixture_start_node(fixture, 3);
    fixture_run(fixture, 20);
    CU_ASSERT_EQUAL(SlControl_State(simulation->nodes[3].control),
                    SL_CONTROL_LEARNER);
    CU_ASSERT_EQUAL(request_change(fixture, &add)->status, SL_OK);
    fixture_run(fixture, 40);
    CU_ASSERT_EQUAL(count_voters(fixture, &members), 4);
    CU_ASSERT_EQUAL(SlControl_State(simulation->nodes[3].control),
                    SL_CONTROL_FOLLOWER);
    leader = find_leader(fixture);
    remove.object.kind = SL_KIND_NODE;
    snprintf(remove.object.name, SL_NAME_BYTES, "%s",
             simulation->nodes[leader].name);
    CU_ASSERT_EQUAL(request_change(fixture, &remove)->status, SL_OK);
    fixture_run(fixture, 60);
    CU_ASSERT_EQUAL(count_voters(fixture, &members), 3);
    CU_ASSERT_NOT_EQUAL(find_leader(fixture), leader);
    destroy_control_fixture(fixture);
}

/// With one of three instances down, removing a running one is refused.
static void
test_removal_that_loses_majority(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 15);
    uint32_t leader = find_leader(fixture);
    struct SlChange remove = make_change(1, 1, SL_VERB_MEMBER_REMOVE, "");

    simulation_crash_node(&fixture->simulation, (leader + 1) % 3);
    fixture_run(fixture, 20);
    remove.object.kind = SL_KIND_NODE;
    snprintf(remove.object.name, SL_NAME_BYTES, "%s",
             fixture->simulation.nodes[(leader + 2) % 3].name);
    CU_ASSERT_EQUAL(request_change(fixture, &remove)->status, SL_NO_QUORUM);
    remove.request = 2;
    snprintf(remove.object.name, SL_NAME_BYTES, "%s",
             fixture->simulation.nodes[(leader + 1) % 3].name);
    CU_ASSERT_EQUAL(request_change(fixture, &remove)->status, SL_OK);
    destroy_control_fixture(fixture);
}

/// Instances lose their data folders one after the other, each as soon as the
/// previous one has been promoted again. No accepted change is lost.
static void
test_second_loss_after_repair(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 16);
    struct control_simulation *simulation = &fixture->simulation;

    for (uint64_t round = 1; round <= 9; round++) {
        struct SlVersion before = simulation->promotion_version[round % 3];
        char name[SL_NAME_BYTES];
        struct SlChange change;

        snprintf(name, sizeof(name), "ulaan-%u", (unsigned)round);
        change = make_change(1, round, SL_VERB_CREATE, name);
        CU_ASSERT_EQUAL(request_change(fixture, &change)->status, SL_OK);
        simulation_crash_node(simulation, round % 3);
        simulation_wipe_node(simulation, round % 3);
        fixture_start_node(fixture, round % 3);
        for (uint32_t i = 0;
             i < 300 &&
             SlVersion_Compare(simulation->promotion_version[round % 3],
                               before) <= 0;
             i++) {
            fixture_step(fixture);
        }
        CU_ASSERT(SlVersion_Compare(simulation->promotion_version[round % 3],
                                    before) > 0);
    }
    CU_ASSERT_EQUAL(
        SlConfig_ObjectCount(config_at_node(fixture, find_leader(fixture)),
                             SL_KIND_ZONE),
        9);
    destroy_control_fixture(fixture);
}

/// After a planned stop of the leader a new one is elected in less than the
/// election timeout, which an unannounced stop would take.
static void
test_planned_stop(void)
{
    struct control_fixture *fixture = calloc(1, sizeof(*fixture));
    uint64_t stopped_us;
    uint32_t leader;

    simulation_create(&fixture->simulation, 3, 17);
    fixture->simulation.heartbeat_us = 150 * 1000;
    fixture->simulation.election_us = 900 * 1000;
    fixture->simulation.on_outside_message = handle_outside_message;
    fixture->simulation.context = fixture;
    for (uint32_t i = 0; i < 3; i++) {
        fixture_start_node(fixture, i);
    }
    leader = find_leader(fixture);
    fixture_run(fixture, 40);
    stopped_us = fixture->simulation.now_us;
    simulation_handle_input(&fixture->simulation, leader,
                            (struct SlInput){.kind = SL_INPUT_STOP});
    CU_ASSERT_EQUAL(SlControl_State(fixture->simulation.nodes[leader].control),
                    SL_CONTROL_FOLLOWER);
    CU_ASSERT_NOT_EQUAL(find_leader(fixture), leader);
    CU_ASSERT(fixture->simulation.now_us - stopped_us <
              fixture->simulation.election_us);
    fixture_run(fixture, 200);
    CU_ASSERT_NOT_EQUAL(find_leader(fixture), leader);
    destroy_control_fixture(fixture);
}

/// A new site elects its first leader only when all founding members are
/// running; after that a majority is sufficient.
static void
test_first_election(void)
{
    struct control_fixture *fixture = calloc(1, sizeof(*fixture));
    struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");

    simulation_create(&fixture->simulation, 3, 18);
    fixture->simulation.on_outside_message = handle_outside_message;
    fixture->simulation.context = fixture;
    fixture_start_node(fixture, 0);
    fixture_start_node(fixture, 1);
    CU_ASSERT_EQUAL(simulation_await_leader(&fixture->simulation, 200), 3);
    fixture_start_node(fixture, 2);
    find_leader(fixture);
    fixture_run(fixture, 40);
    simulation_crash_node(&fixture->simulation, 2);
    CU_ASSERT_EQUAL(request_change(fixture, &change)->status, SL_OK);
    destroy_control_fixture(fixture);
}

/// Creates zones with long labels, so that a snapshot takes several chunks.
static void
fill_zones(struct control_fixture *fixture, uint64_t count)
{
    for (uint64_t i = 1; i <= count; i++) {
        char name[SL_NAME_BYTES];
        struct SlChange change;

        snprintf(name, sizeof(name), "ulaan-%u", (unsigned)i);
        change = make_change(1, i, SL_VERB_CREATE, name);
        change.object.labels.count = SL_LABELS_MAX;
        for (uint32_t j = 0; j < SL_LABELS_MAX; j++) {
            struct SlLabel *label = &change.object.labels.items[j];

            snprintf(label->key, sizeof(label->key), "key-%u", j);
            memset(label->value, 'v', sizeof(label->value) - 1);
        }
        send_change(fixture, find_leader(fixture), &change);
        if (i % 20 == 0) {
            fixture_step(fixture);
        }
    }
    fixture_run(fixture, 20);
}

/// An instance with an empty data folder receives a snapshot in chunks
/// although its link to the leader breaks repeatedly.
static void
test_snapshot_in_chunks(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 19);
    struct control_simulation *simulation = &fixture->simulation;
    uint32_t leader = find_leader(fixture);
    uint32_t wiped = (leader + 1) % 3;
    uint64_t before;

    fill_zones(fixture, 800);
    simulation_crash_node(simulation, wiped);
    simulation_wipe_node(simulation, wiped);
    fixture_start_node(fixture, wiped);
    before = simulation->sent_bytes;
    for (uint32_t i = 0; i < 12; i++) {
        fixture_run(fixture, 3);
        simulation_unlink(simulation, leader, wiped);
    }
    fixture_run(fixture, 100);
    CU_ASSERT(simulation->sent_bytes - before > 2 * SL_BLOB_CHUNK_BYTES);
    CU_ASSERT_EQUAL(
        SlConfig_ObjectCount(config_at_node(fixture, wiped), SL_KIND_ZONE),
        800);
    CU_ASSERT_EQUAL(
        SlVersion_Compare(
            SlControl_AppliedVersion(simulation->nodes[wiped].control),
            SlControl_AppliedVersion(simulation->nodes[leader].control)),
        0);
    destroy_control_fixture(fixture);
}

/// An instance does not start with a log record or a snapshot that cannot be
/// decoded, even if its checksum is correct.
static void
test_undecodable_state(void)
{
    static const uint8_t UNDECODABLE_BYTES[64] = {1, 2, 3};

    for (uint32_t i = 0; i < 2; i++) {
        struct SlStorage *storage =
            SlStorage_CreateMemory(SlNode_Id("control-1"), 5);
        struct SlLogRecord record = {.term = 1,
                                     .index = 1,
                                     .data = UNDECODABLE_BYTES,
                                     .data_bytes = sizeof(UNDECODABLE_BYTES)};
        struct SlControlOptions options = {.core = {.name = "control-1"},
                                           .storage = storage};
        struct SlControl *control = NULL;
        struct SlError error = {.status = SL_OK};

        if (i == 0) {
            storage->type->append(storage, &record, 1);
        }
        else {
            storage->type->save_snapshot(storage, (struct SlVersion){1, 4},
                                         UNDECODABLE_BYTES,
                                         sizeof(UNDECODABLE_BYTES), 5);
        }
        CU_ASSERT_EQUAL(SlControl_Create(&options, 1, &control, &error),
                        SL_DAMAGED);
        CU_ASSERT_EQUAL(error.step, SL_STEP_RECOVER);
        CU_ASSERT_PTR_NULL(control);
        SlStorage_Destroy(storage);
    }
}

/// A follower rejects log records and snapshots from a leader that it cannot
/// decode, and keeps running.
static void
test_undecodable_messages_from_leader(void)
{
    static const uint8_t UNDECODABLE_BYTES[64] = {1, 2, 3};
    struct control_fixture *fixture = create_control_fixture(3, 23);
    struct control_simulation *simulation = &fixture->simulation;
    uint32_t index = (find_leader(fixture) + 1) % 3;
    struct SlVersion applied =
        SlControl_AppliedVersion(simulation->nodes[index].control);
    struct SlLogEntry entry = {.term = 90,
                               .index = applied.index + 1,
                               .data = UNDECODABLE_BYTES,
                               .data_bytes = sizeof(UNDECODABLE_BYTES)};
    struct SlMessage append = {.kind = SL_MESSAGE_APPEND,
                               .append = {.term = 90,
                                          .previous = applied,
                                          .commit = applied.index + 1,
                                          .entry_count = 1,
                                          .entries = &entry}};
    struct SlMessage install = {
        .kind = SL_MESSAGE_INSTALL,
        .install = {.term = 90,
                    .last = {.term = 90, .index = applied.index + 50},
                    .done = true,
                    .data = UNDECODABLE_BYTES,
                    .data_bytes = sizeof(UNDECODABLE_BYTES)}};
    uint64_t link =
        simulation_connect(simulation, index, "control-9", SL_ROLE_CONTROL);

    simulation_send_message(simulation, index, link, &append);
    simulation_send_message(simulation, index, link, &install);
    simulation_flush(simulation, index);
    CU_ASSERT_EQUAL(simulation->events[SL_EVENT_FAILED], 2);
    CU_ASSERT_EQUAL(SlVersion_Compare(SlControl_AppliedVersion(
                                          simulation->nodes[index].control),
                                      applied),
                    0);
    simulation_crash_node(simulation, index);
    fixture_start_node(fixture, index);
    fixture_run(fixture, 100);
    CU_ASSERT_EQUAL(
        SlVersion_Compare(
            SlControl_AppliedVersion(simulation->nodes[index].control),
            SlControl_AppliedVersion(
                simulation->nodes[find_leader(fixture)].control)),
        0);
    destroy_control_fixture(fixture);
}

/// Wall clocks that go backwards, at one leader or between leaders, never give
/// a later hold an earlier time.
static void
test_clock_jumps(void)
{
    struct control_fixture *fixture = create_control_fixture(3, 20);
    struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
    uint64_t since_us = 0;

    request_change(fixture, &change);
    for (uint64_t i = 2; i <= SL_HOLDS_MAX; i++) {
        uint32_t leader = find_leader(fixture);
        const struct SlResult *result;

        fixture->simulation.nodes[leader].wall_offset_us =
            (20 - i) * 3600 * 1000000;
        change = make_change(1, i, SL_VERB_HOLD, "ulaan-a");
        snprintf(change.hold.key, sizeof(change.hold.key), "oyuna-%u",
                 (unsigned)i);
        result = request_change(fixture, &change);
        CU_ASSERT_EQUAL_FATAL(result->object.holds.count, i - 1);
        CU_ASSERT(result->object.holds.items[i - 2].since_us > since_us);
        since_us = result->object.holds.items[i - 2].since_us;
        if (i % 3 == 0) {
            simulation_crash_node(&fixture->simulation, leader);
            fixture_start_node(fixture, leader);
        }
    }
    destroy_control_fixture(fixture);
}

/// An announcement that the leader could not log because its disk was full is
/// logged once there is space, without a new message from the process.
static void
test_announcement_after_full_disk(void)
{
    struct control_fixture *fixture = create_control_fixture(1, 21);

    fixture->simulation.nodes[0].storage->disk_full = true;
    connect_agents(fixture, 1);
    CU_ASSERT_EQUAL(
        SlConfig_ObjectCount(config_at_node(fixture, 0), SL_KIND_NODE), 0);
    fixture->simulation.nodes[0].storage->disk_full = false;
    fixture_run(fixture, 60);
    CU_ASSERT_EQUAL(
        SlConfig_ObjectCount(config_at_node(fixture, 0), SL_KIND_NODE), 1);
    destroy_control_fixture(fixture);
}

/// Runs until the instance considers its state current, for at most 40 steps.
/// Returns false if it does not.
static bool
await_fresh(struct control_fixture *fixture, uint32_t index)
{
    for (uint32_t i = 0; i < 40; i++) {
        if (SlControl_IsFresh(fixture->simulation.nodes[index].control,
                              fixture->simulation.now_us)) {
            return true;
        }
        fixture_step(fixture);
    }
    return false;
}

/// A stalled instance finds queued messages of its leader when it resumes.
/// These old messages must not make it consider its outdated state current.
static void
test_stale_messages_after_stall(void)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        struct control_fixture *fixture = create_control_fixture(3, seed);
        struct control_simulation *simulation = &fixture->simulation;
        struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
        uint32_t stalled = (find_leader(fixture) + 1) % 3;
        struct SlVersion accepted;

        CU_ASSERT(await_fresh(fixture, stalled));
        simulation->nodes[stalled].is_stalled = true;
        fixture_run(fixture, 40);
        CU_ASSERT_EQUAL(request_change(fixture, &change)->status, SL_OK);
        accepted = fixture->results[change.client].version;
        simulation->nodes[stalled].is_stalled = false;
        simulation->now_us += SIMULATION_STEP_US;
        simulation_deliver_due(simulation);
        simulation_flush(simulation, stalled);
        CU_ASSERT(!SlControl_IsFresh(simulation->nodes[stalled].control,
                                     simulation->now_us) ||
                  SlVersion_Compare(SlControl_AppliedVersion(
                                        simulation->nodes[stalled].control),
                                    accepted) >= 0);
        CU_ASSERT(await_fresh(fixture, stalled));
        destroy_control_fixture(fixture);
    }
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"an instance joins and replaces a removed leader", test_membership},
        {"a removal that loses the majority is refused",
         test_removal_that_loses_majority},
        {"loss of a second data folder after a repair",
         test_second_loss_after_repair},
        {"a new leader is elected soon after a planned stop",
         test_planned_stop},
        {"first election of a new site", test_first_election},
        {"a snapshot is transferred in chunks", test_snapshot_in_chunks},
        {"undecodable state is refused", test_undecodable_state},
        {"undecodable messages from a leader are rejected",
         test_undecodable_messages_from_leader},
        {"clock jumps never give a later hold an earlier time",
         test_clock_jumps},
        {"an announcement is logged after a full disk",
         test_announcement_after_full_disk},
        {"stale messages after a stall confirm nothing",
         test_stale_messages_after_stall},
    };

    return RUN_SUITE("control members", CASES);
}
