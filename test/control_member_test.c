/* Membership and recovery of control instances: joining, removal, planned
 * stops, lost data folders and undecodable state. */

#include "control_lab.h"

static uint32_t
count_voters(struct lab *fixture, uint32_t *members)
{
    struct SlControlMember items[SL_MEMBERS_CONTROL_MAX];
    uint32_t voters = 0;

    *members =
        SlControl_Members(fixture->world.nodes[leader_of(fixture)].control,
                          items, SL_MEMBERS_CONTROL_MAX);
    for (uint32_t i = 0; i < *members; i++) {
        voters += items[i].voter;
    }
    return voters;
}

/// A fourth instance joins as a learner and becomes a voter once it has caught
/// up. It then replaces a removed leader.
static void
test_membership(void)
{
    struct lab *fixture = create_lab(3, 14);
    struct world *simulation = &fixture->world;
    struct SlChange add = change_of(1, 1, SL_VERB_MEMBER_ADD, "control-4");
    struct SlChange remove = change_of(1, 2, SL_VERB_MEMBER_REMOVE, "");
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
    start_node(fixture, 3);
    lab_run(fixture, 20);
    CU_ASSERT_EQUAL(SlControl_State(simulation->nodes[3].control),
                    SL_CONTROL_LEARNER);
    CU_ASSERT_EQUAL(ask(fixture, &add)->status, SL_OK);
    lab_run(fixture, 40);
    CU_ASSERT_EQUAL(count_voters(fixture, &members), 4);
    CU_ASSERT_EQUAL(SlControl_State(simulation->nodes[3].control),
                    SL_CONTROL_FOLLOWER);
    leader = leader_of(fixture);
    remove.object.kind = SL_KIND_NODE;
    snprintf(remove.object.name, SL_NAME_BYTES, "%s",
             simulation->nodes[leader].name);
    CU_ASSERT_EQUAL(ask(fixture, &remove)->status, SL_OK);
    lab_run(fixture, 60);
    CU_ASSERT_EQUAL(count_voters(fixture, &members), 3);
    CU_ASSERT_NOT_EQUAL(leader_of(fixture), leader);
    destroy_lab(fixture);
}

/// With one of three instances down, removing a running one is refused.
static void
test_removal_that_loses_majority(void)
{
    struct lab *fixture = create_lab(3, 15);
    uint32_t leader = leader_of(fixture);
    struct SlChange remove = change_of(1, 1, SL_VERB_MEMBER_REMOVE, "");

    world_crash(&fixture->world, (leader + 1) % 3);
    lab_run(fixture, 20);
    remove.object.kind = SL_KIND_NODE;
    snprintf(remove.object.name, SL_NAME_BYTES, "%s",
             fixture->world.nodes[(leader + 2) % 3].name);
    CU_ASSERT_EQUAL(ask(fixture, &remove)->status, SL_NO_QUORUM);
    remove.request = 2;
    snprintf(remove.object.name, SL_NAME_BYTES, "%s",
             fixture->world.nodes[(leader + 1) % 3].name);
    CU_ASSERT_EQUAL(ask(fixture, &remove)->status, SL_OK);
    destroy_lab(fixture);
}

/// Instances lose their data folders one after the other, each as soon as the
/// previous one has been promoted again. No accepted change is lost.
static void
test_second_loss_after_repair(void)
{
    struct lab *fixture = create_lab(3, 16);
    struct world *simulation = &fixture->world;

    for (uint64_t round = 1; round <= 9; round++) {
        struct SlVersion before = simulation->promotion_version[round % 3];
        char name[SL_NAME_BYTES];
        struct SlChange change;

        snprintf(name, sizeof(name), "ulaan-%u", (unsigned)round);
        change = change_of(1, round, SL_VERB_CREATE, name);
        CU_ASSERT_EQUAL(ask(fixture, &change)->status, SL_OK);
        world_crash(simulation, round % 3);
        world_wipe(simulation, round % 3);
        start_node(fixture, round % 3);
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
        SlConfig_Count(config_of(fixture, leader_of(fixture)), SL_KIND_ZONE),
        9);
    destroy_lab(fixture);
}

/// After a planned stop of the leader a new one is elected in less than the
/// election timeout, which an unannounced stop would take.
static void
test_planned_stop(void)
{
    struct lab *fixture = calloc(1, sizeof(*fixture));
    uint64_t stopped_us;
    uint32_t leader;

    world_create(&fixture->world, 3, 17);
    fixture->world.heartbeat_us = 150 * 1000;
    fixture->world.election_us = 900 * 1000;
    fixture->world.on_outside_message = handle_outside_message;
    fixture->world.context = fixture;
    for (uint32_t i = 0; i < 3; i++) {
        start_node(fixture, i);
    }
    leader = leader_of(fixture);
    lab_run(fixture, 40);
    stopped_us = fixture->world.now_us;
    simulation_handle_input(&fixture->world, leader,
                            (struct SlInput){.kind = SL_INPUT_STOP});
    CU_ASSERT_EQUAL(SlControl_State(fixture->world.nodes[leader].control),
                    SL_CONTROL_FOLLOWER);
    CU_ASSERT_NOT_EQUAL(leader_of(fixture), leader);
    CU_ASSERT(fixture->world.now_us - stopped_us < fixture->world.election_us);
    lab_run(fixture, 200);
    CU_ASSERT_NOT_EQUAL(leader_of(fixture), leader);
    destroy_lab(fixture);
}

/// A new site elects its first leader only when all founding members are
/// running; after that a majority is sufficient.
static void
test_first_election(void)
{
    struct lab *fixture = calloc(1, sizeof(*fixture));
    struct SlChange change = change_of(1, 1, SL_VERB_CREATE, "ulaan-a");

    world_create(&fixture->world, 3, 18);
    fixture->world.on_outside_message = handle_outside_message;
    fixture->world.context = fixture;
    start_node(fixture, 0);
    start_node(fixture, 1);
    CU_ASSERT_EQUAL(world_await_leader(&fixture->world, 200), 3);
    start_node(fixture, 2);
    leader_of(fixture);
    lab_run(fixture, 40);
    world_crash(&fixture->world, 2);
    CU_ASSERT_EQUAL(ask(fixture, &change)->status, SL_OK);
    destroy_lab(fixture);
}

/// Creates zones with long labels, so that a snapshot takes several chunks.
static void
fill_zones(struct lab *fixture, uint64_t count)
{
    for (uint64_t i = 1; i <= count; i++) {
        char name[SL_NAME_BYTES];
        struct SlChange change;

        snprintf(name, sizeof(name), "ulaan-%u", (unsigned)i);
        change = change_of(1, i, SL_VERB_CREATE, name);
        change.object.labels.count = SL_LABELS_MAX;
        for (uint32_t j = 0; j < SL_LABELS_MAX; j++) {
            struct SlLabel *label = &change.object.labels.items[j];

            snprintf(label->key, sizeof(label->key), "key-%u", j);
            memset(label->value, 'v', sizeof(label->value) - 1);
        }
        send_change(fixture, leader_of(fixture), &change);
        if (i % 20 == 0) {
            fixture_step(fixture);
        }
    }
    lab_run(fixture, 20);
}

/// An instance with an empty data folder receives a snapshot in chunks
/// although its link to the leader breaks repeatedly.
static void
test_snapshot_in_chunks(void)
{
    struct lab *fixture = create_lab(3, 19);
    struct world *simulation = &fixture->world;
    uint32_t leader = leader_of(fixture);
    uint32_t wiped = (leader + 1) % 3;
    uint64_t before;

    fill_zones(fixture, 800);
    world_crash(simulation, wiped);
    world_wipe(simulation, wiped);
    start_node(fixture, wiped);
    before = simulation->sent_bytes;
    for (uint32_t i = 0; i < 12; i++) {
        lab_run(fixture, 3);
        world_unlink(simulation, leader, wiped);
    }
    lab_run(fixture, 100);
    CU_ASSERT(simulation->sent_bytes - before > 2 * SL_BLOB_CHUNK_BYTES);
    CU_ASSERT_EQUAL(SlConfig_Count(config_of(fixture, wiped), SL_KIND_ZONE),
                    800);
    CU_ASSERT_EQUAL(SlVersion_Compare(
                        SlControl_Applied(simulation->nodes[wiped].control),
                        SlControl_Applied(simulation->nodes[leader].control)),
                    0);
    destroy_lab(fixture);
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
    struct lab *fixture = create_lab(3, 23);
    struct world *simulation = &fixture->world;
    uint32_t index = (leader_of(fixture) + 1) % 3;
    struct SlVersion applied =
        SlControl_Applied(simulation->nodes[index].control);
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
        world_connect(simulation, index, "control-9", SL_ROLE_CONTROL);

    world_give(simulation, index, link, &append);
    world_give(simulation, index, link, &install);
    world_flush(simulation, index);
    CU_ASSERT_EQUAL(simulation->events[SL_EVENT_FAILED], 2);
    CU_ASSERT_EQUAL(
        SlVersion_Compare(SlControl_Applied(simulation->nodes[index].control),
                          applied),
        0);
    world_crash(simulation, index);
    start_node(fixture, index);
    lab_run(fixture, 100);
    CU_ASSERT_EQUAL(
        SlVersion_Compare(
            SlControl_Applied(simulation->nodes[index].control),
            SlControl_Applied(simulation->nodes[leader_of(fixture)].control)),
        0);
    destroy_lab(fixture);
}

/// Wall clocks that go backwards, at one leader or between leaders, never give
/// a later hold an earlier time.
static void
test_clock_jumps(void)
{
    struct lab *fixture = create_lab(3, 20);
    struct SlChange change = change_of(1, 1, SL_VERB_CREATE, "ulaan-a");
    uint64_t since_us = 0;

    ask(fixture, &change);
    for (uint64_t i = 2; i <= SL_HOLDS_MAX; i++) {
        uint32_t leader = leader_of(fixture);
        const struct SlResult *result;

        fixture->world.nodes[leader].wall_offset_us =
            (20 - i) * 3600 * 1000000;
        change = change_of(1, i, SL_VERB_HOLD, "ulaan-a");
        snprintf(change.hold.key, sizeof(change.hold.key), "oyuna-%u",
                 (unsigned)i);
        result = ask(fixture, &change);
        CU_ASSERT_EQUAL_FATAL(result->object.holds.count, i - 1);
        CU_ASSERT(result->object.holds.items[i - 2].since_us > since_us);
        since_us = result->object.holds.items[i - 2].since_us;
        if (i % 3 == 0) {
            world_crash(&fixture->world, leader);
            start_node(fixture, leader);
        }
    }
    destroy_lab(fixture);
}

/// An announcement that the leader could not log because its disk was full is
/// logged once there is space, without a new message from the process.
static void
test_announcement_after_full_disk(void)
{
    struct lab *fixture = create_lab(1, 21);

    fixture->world.nodes[0].storage->full = true;
    connect_agents(fixture, 1);
    CU_ASSERT_EQUAL(SlConfig_Count(config_of(fixture, 0), SL_KIND_NODE), 0);
    fixture->world.nodes[0].storage->full = false;
    lab_run(fixture, 60);
    CU_ASSERT_EQUAL(SlConfig_Count(config_of(fixture, 0), SL_KIND_NODE), 1);
    destroy_lab(fixture);
}

/// Runs until the instance considers its state current, for at most 40 steps.
/// Returns false if it does not.
static bool
await_fresh(struct lab *fixture, uint32_t index)
{
    for (uint32_t i = 0; i < 40; i++) {
        if (SlControl_Fresh(fixture->world.nodes[index].control,
                            fixture->world.now_us)) {
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
        struct lab *fixture = create_lab(3, seed);
        struct world *simulation = &fixture->world;
        struct SlChange change = change_of(1, 1, SL_VERB_CREATE, "ulaan-a");
        uint32_t stalled = (leader_of(fixture) + 1) % 3;
        struct SlVersion accepted;

        CU_ASSERT(await_fresh(fixture, stalled));
        simulation->nodes[stalled].is_stalled = true;
        lab_run(fixture, 40);
        CU_ASSERT_EQUAL(ask(fixture, &change)->status, SL_OK);
        accepted = fixture->results[change.client].version;
        simulation->nodes[stalled].is_stalled = false;
        simulation->now_us += WORLD_STEP_US;
        simulation_deliver_due(simulation);
        world_flush(simulation, stalled);
        CU_ASSERT(!SlControl_Fresh(simulation->nodes[stalled].control,
                                   simulation->now_us) ||
                  SlVersion_Compare(
                      SlControl_Applied(simulation->nodes[stalled].control),
                      accepted) >= 0);
        CU_ASSERT(await_fresh(fixture, stalled));
        destroy_lab(fixture);
    }
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"membership", test_membership},
        {"removal that loses the majority", test_removal_that_loses_majority},
        {"loss of a second data folder after a repair",
         test_second_loss_after_repair},
        {"planned stop", test_planned_stop},
        {"first election of a new site", test_first_election},
        {"snapshot in chunks", test_snapshot_in_chunks},
        {"undecodable state", test_undecodable_state},
        {"undecodable messages from a leader",
         test_undecodable_messages_from_leader},
        {"clock jumps", test_clock_jumps},
        {"announcement after a full disk", test_announcement_after_full_disk},
        {"stale messages after a stall", test_stale_messages_after_stall},
    };

    return RUN_SUITE("control members", CASES);
}
