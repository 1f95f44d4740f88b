/* Control instances come, go, stop, lose their folders and find damage. */

#include "control_fixture.h"

static uint32_t
count_voters(struct control_fixture *lab, uint32_t *members)
{
    struct SlControlMember items[SL_MEMBERS_CONTROL_MAX];
    uint32_t voters = 0;

    *members =
        SlControl_Members(lab->simulation.nodes[find_leader(lab)].control,
                          items, SL_MEMBERS_CONTROL_MAX);
    for (uint32_t i = 0; i < *members; i++) {
        voters += items[i].voter;
    }
    return voters;
}

/// A fourth instance joins as a learner and votes once it has caught up; it
/// then stands in for one that is removed.
static void
test_membership(void)
{
    struct control_fixture *lab = create_control_fixture(3, 14);
    struct control_simulation *world = &lab->simulation;
    struct SlChange add = make_change(1, 1, SL_VERB_MEMBER_ADD, "control-4");
    struct SlChange remove = make_change(1, 2, SL_VERB_MEMBER_REMOVE, "");
    uint32_t members;
    uint32_t leader;

    add.object.kind = SL_KIND_NODE;
    world->nodes[3] = world->nodes[2];
    world->nodes[3].at = 3;
    world->nodes[3].bootstrap = false;
    snprintf(world->nodes[3].name, SL_NAME_BYTES, "control-4");
    world->nodes[3].node_id = SlNode_Id("control-4");
    world->nodes[3].storage =
        fault_storage_create(world->nodes[3].node_id, 4444);
    world->count = 4;
    fixture_start_node(lab, 3);
    fixture_run(lab, 20);
    CU_ASSERT_EQUAL(SlControl_State(world->nodes[3].control),
                    SL_CONTROL_LEARNER);
    CU_ASSERT_EQUAL(request_change(lab, &add)->status, SL_OK);
    fixture_run(lab, 40);
    CU_ASSERT_EQUAL(count_voters(lab, &members), 4);
    CU_ASSERT_EQUAL(SlControl_State(world->nodes[3].control),
                    SL_CONTROL_FOLLOWER);
    leader = find_leader(lab);
    remove.object.kind = SL_KIND_NODE;
    snprintf(remove.object.name, SL_NAME_BYTES, "%s",
             world->nodes[leader].name);
    CU_ASSERT_EQUAL(request_change(lab, &remove)->status, SL_OK);
    fixture_run(lab, 60);
    CU_ASSERT_EQUAL(count_voters(lab, &members), 3);
    CU_ASSERT_NOT_EQUAL(find_leader(lab), leader);
    destroy_control_fixture(lab);
}

/// With one of three down, a live one is not let go.
static void
test_removal_that_loses_majority(void)
{
    struct control_fixture *lab = create_control_fixture(3, 15);
    uint32_t leader = find_leader(lab);
    struct SlChange remove = make_change(1, 1, SL_VERB_MEMBER_REMOVE, "");

    simulation_crash_node(&lab->simulation, (leader + 1) % 3);
    fixture_run(lab, 20);
    remove.object.kind = SL_KIND_NODE;
    snprintf(remove.object.name, SL_NAME_BYTES, "%s",
             lab->simulation.nodes[(leader + 2) % 3].name);
    CU_ASSERT_EQUAL(request_change(lab, &remove)->status, SL_NO_QUORUM);
    remove.request = 2;
    snprintf(remove.object.name, SL_NAME_BYTES, "%s",
             lab->simulation.nodes[(leader + 1) % 3].name);
    CU_ASSERT_EQUAL(request_change(lab, &remove)->status, SL_OK);
    destroy_control_fixture(lab);
}

/// A second instance is lost for good right after a first was repaired.
static void
test_second_loss_after_repair(void)
{
    struct control_fixture *lab = create_control_fixture(3, 16);
    struct control_simulation *world = &lab->simulation;

    for (uint64_t round = 1; round <= 9; round++) {
        struct SlVersion before = world->promoted[round % 3];
        char name[SL_NAME_BYTES];
        struct SlChange change;

        snprintf(name, sizeof(name), "ulaan-%u", (unsigned)round);
        change = make_change(1, round, SL_VERB_CREATE, name);
        CU_ASSERT_EQUAL(request_change(lab, &change)->status, SL_OK);
        simulation_crash_node(world, round % 3);
        simulation_wipe_node(world, round % 3);
        fixture_start_node(lab, round % 3);
        for (uint32_t i = 0;
             i < 300 &&
             SlVersion_Compare(world->promoted[round % 3], before) <= 0;
             i++) {
            lab_step(lab);
        }
        CU_ASSERT(SlVersion_Compare(world->promoted[round % 3], before) > 0);
    }
    CU_ASSERT_EQUAL(SlConfig_ObjectCount(config_at_node(lab, find_leader(lab)),
                                         SL_KIND_ZONE),
                    9);
    destroy_control_fixture(lab);
}

/// A leader that stops hands over before an election could begin without
/// its word.
static void
test_planned_stop(void)
{
    struct control_fixture *lab = calloc(1, sizeof(*lab));
    uint64_t stopped_us;
    uint32_t leader;

    simulation_create(&lab->simulation, 3, 17);
    lab->simulation.heartbeat_us = 150 * 1000;
    lab->simulation.election_us = 900 * 1000;
    lab->simulation.outside = on_outside;
    lab->simulation.context = lab;
    for (uint32_t i = 0; i < 3; i++) {
        fixture_start_node(lab, i);
    }
    leader = find_leader(lab);
    fixture_run(lab, 40);
    stopped_us = lab->simulation.now_us;
    world_input(&lab->simulation, leader,
                (struct SlInput){.kind = SL_INPUT_STOP});
    CU_ASSERT_EQUAL(SlControl_State(lab->simulation.nodes[leader].control),
                    SL_CONTROL_FOLLOWER);
    CU_ASSERT_NOT_EQUAL(find_leader(lab), leader);
    CU_ASSERT(lab->simulation.now_us - stopped_us <
              lab->simulation.election_us);
    fixture_run(lab, 200);
    CU_ASSERT_NOT_EQUAL(find_leader(lab), leader);
    destroy_control_fixture(lab);
}

/// A site does not start before all first members were there once; after
/// that a majority does.
static void
test_first_start(void)
{
    struct control_fixture *lab = calloc(1, sizeof(*lab));
    struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");

    simulation_create(&lab->simulation, 3, 18);
    lab->simulation.outside = on_outside;
    lab->simulation.context = lab;
    fixture_start_node(lab, 0);
    fixture_start_node(lab, 1);
    CU_ASSERT_EQUAL(simulation_await_leader(&lab->simulation, 200), 3);
    fixture_start_node(lab, 2);
    find_leader(lab);
    fixture_run(lab, 40);
    simulation_crash_node(&lab->simulation, 2);
    CU_ASSERT_EQUAL(request_change(lab, &change)->status, SL_OK);
    destroy_control_fixture(lab);
}

/// Zones with long labels, so that a snapshot takes several parts.
static void
fill_zones(struct control_fixture *lab, uint64_t count)
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
        send_change(lab, find_leader(lab), &change);
        if (i % 20 == 0) {
            lab_step(lab);
        }
    }
    fixture_run(lab, 20);
}

/// A wiped instance takes a snapshot in parts, though the link breaks.
static void
test_snapshot_in_parts(void)
{
    struct control_fixture *lab = create_control_fixture(3, 19);
    struct control_simulation *world = &lab->simulation;
    uint32_t leader = find_leader(lab);
    uint32_t wiped = (leader + 1) % 3;
    uint64_t before;

    fill_zones(lab, 800);
    simulation_crash_node(world, wiped);
    simulation_wipe_node(world, wiped);
    fixture_start_node(lab, wiped);
    before = world->sent_bytes;
    for (uint32_t i = 0; i < 12; i++) {
        fixture_run(lab, 3);
        simulation_unlink(world, leader, wiped);
    }
    fixture_run(lab, 100);
    CU_ASSERT(world->sent_bytes - before > 2 * SL_BLOB_CHUNK_BYTES);
    CU_ASSERT_EQUAL(
        SlConfig_ObjectCount(config_at_node(lab, wiped), SL_KIND_ZONE), 800);
    CU_ASSERT_EQUAL(
        SlVersion_Compare(SlControl_Applied(world->nodes[wiped].control),
                          SlControl_Applied(world->nodes[leader].control)),
        0);
    destroy_control_fixture(lab);
}

/// What cannot be decoded is refused at the start, whatever its checksum
/// says.
static void
test_undecodable_state(void)
{
    static const uint8_t NONSENSE[64] = {1, 2, 3};

    for (uint32_t i = 0; i < 2; i++) {
        struct SlStorage *storage =
            SlStorage_CreateMemory(SlNode_Id("control-1"), 5);
        struct SlLogRecord record = {.term = 1,
                                     .index = 1,
                                     .data = NONSENSE,
                                     .data_bytes = sizeof(NONSENSE)};
        struct SlControlOptions options = {.core = {.name = "control-1"},
                                           .storage = storage};
        struct SlControl *control = NULL;
        struct SlError error = {.status = SL_OK};

        if (i == 0) {
            storage->type->append(storage, &record, 1);
        }
        else {
            storage->type->save_snapshot(storage, (struct SlVersion){1, 4},
                                         NONSENSE, sizeof(NONSENSE), 5);
        }
        CU_ASSERT_EQUAL(SlControl_Create(&options, 1, &control, &error),
                        SL_DAMAGED);
        CU_ASSERT_EQUAL(error.step, SL_STEP_RECOVER);
        CU_ASSERT_PTR_NULL(control);
        SlStorage_Destroy(storage);
    }
}

/// A leader that sends nonsense harms nobody: records and snapshots that
/// cannot be read are not taken, and the instance lives on.
static void
test_nonsense_from_a_leader(void)
{
    static const uint8_t NONSENSE[64] = {1, 2, 3};
    struct control_fixture *lab = create_control_fixture(3, 23);
    struct control_simulation *world = &lab->simulation;
    uint32_t at = (find_leader(lab) + 1) % 3;
    struct SlVersion applied = SlControl_Applied(world->nodes[at].control);
    struct SlLogEntry entry = {.term = 90,
                               .index = applied.index + 1,
                               .data = NONSENSE,
                               .data_bytes = sizeof(NONSENSE)};
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
                    .data = NONSENSE,
                    .data_bytes = sizeof(NONSENSE)}};
    uint64_t link =
        simulation_connect(world, at, "control-9", SL_ROLE_CONTROL);

    simulation_send_message(world, at, link, &append);
    simulation_send_message(world, at, link, &install);
    simulation_flush(world, at);
    CU_ASSERT_EQUAL(world->events[SL_EVENT_FAILED], 2);
    CU_ASSERT_EQUAL(SlVersion_Compare(
                        SlControl_Applied(world->nodes[at].control), applied),
                    0);
    simulation_crash_node(world, at);
    fixture_start_node(lab, at);
    fixture_run(lab, 100);
    CU_ASSERT_EQUAL(
        SlVersion_Compare(
            SlControl_Applied(world->nodes[at].control),
            SlControl_Applied(world->nodes[find_leader(lab)].control)),
        0);
    destroy_control_fixture(lab);
}

/// Wall clocks that jump back, at one leader and between leaders, never make
/// a later hold look older.
static void
test_clock_jumps(void)
{
    struct control_fixture *lab = create_control_fixture(3, 20);
    struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
    uint64_t since_us = 0;

    request_change(lab, &change);
    for (uint64_t i = 2; i <= SL_HOLDS_MAX; i++) {
        uint32_t leader = find_leader(lab);
        const struct SlResult *result;

        lab->simulation.nodes[leader].wall_offset_us =
            (20 - i) * 3600 * 1000000;
        change = make_change(1, i, SL_VERB_HOLD, "ulaan-a");
        snprintf(change.hold.key, sizeof(change.hold.key), "oyuna-%u",
                 (unsigned)i);
        result = request_change(lab, &change);
        CU_ASSERT_EQUAL_FATAL(result->object.holds.count, i - 1);
        CU_ASSERT(result->object.holds.items[i - 2].since_us > since_us);
        since_us = result->object.holds.items[i - 2].since_us;
        if (i % 3 == 0) {
            simulation_crash_node(&lab->simulation, leader);
            fixture_start_node(lab, leader);
        }
    }
    destroy_control_fixture(lab);
}

/// What the leader could not log while its disk was full follows when there
/// is room, without a word from outside.
static void
test_announcement_after_full_disk(void)
{
    struct control_fixture *lab = create_control_fixture(1, 21);

    lab->simulation.nodes[0].storage->disk_full = true;
    connect_agents(lab, 1);
    CU_ASSERT_EQUAL(SlConfig_ObjectCount(config_at_node(lab, 0), SL_KIND_NODE),
                    0);
    lab->simulation.nodes[0].storage->disk_full = false;
    fixture_run(lab, 60);
    CU_ASSERT_EQUAL(SlConfig_ObjectCount(config_at_node(lab, 0), SL_KIND_NODE),
                    1);
    destroy_control_fixture(lab);
}

/// Runs until the instance takes its state for the present one.
static bool
await_fresh(struct control_fixture *lab, uint32_t at)
{
    for (uint32_t i = 0; i < 40; i++) {
        if (SlControl_IsFresh(lab->simulation.nodes[at].control,
                              lab->simulation.now_us)) {
            return true;
        }
        lab_step(lab);
    }
    return false;
}

/// An instance that stood still finds old words of its leader waiting: they
/// must not make it take its old state for the present one.
static void
test_old_words_after_standing_still(void)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        struct control_fixture *lab = create_control_fixture(3, seed);
        struct control_simulation *world = &lab->simulation;
        struct SlChange change = make_change(1, 1, SL_VERB_CREATE, "ulaan-a");
        uint32_t still = (find_leader(lab) + 1) % 3;
        struct SlVersion accepted;

        CU_ASSERT(await_fresh(lab, still));
        world->nodes[still].frozen = true;
        fixture_run(lab, 40);
        CU_ASSERT_EQUAL(request_change(lab, &change)->status, SL_OK);
        accepted = lab->results[change.client].version;
        world->nodes[still].frozen = false;
        world->now_us += SIMULATION_STEP_US;
        world_deliver_due(world);
        simulation_flush(world, still);
        CU_ASSERT(
            !SlControl_IsFresh(world->nodes[still].control, world->now_us) ||
            SlVersion_Compare(SlControl_Applied(world->nodes[still].control),
                              accepted) >= 0);
        CU_ASSERT(await_fresh(lab, still));
        destroy_control_fixture(lab);
    }
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"membership", test_membership},
        {"removal that loses the majority", test_removal_that_loses_majority},
        {"second loss after a repair", test_second_loss_after_repair},
        {"planned stop", test_planned_stop},
        {"first start", test_first_start},
        {"a snapshot in parts", test_snapshot_in_parts},
        {"undecodable state", test_undecodable_state},
        {"nonsense from a leader", test_nonsense_from_a_leader},
        {"clock jumps", test_clock_jumps},
        {"announcement after a full disk", test_announcement_after_full_disk},
        {"old words after standing still",
         test_old_words_after_standing_still},
    };

    return RUN_SUITE("control members", CASES);
}
