/* Whole control instances over real folders, whose disks are full for a while
 * one after another. Once the last has room again the group must accept
 * changes, without a restart of any instance. */

#include "control_fixture.h"
#include "fault_files.h"

enum {
    /// An operator's change must be acknowledged within 5 s once the disks
    /// have room.
    ACK_STEPS = 5 * 1000 * 1000 / SIMULATION_STEP_US,
    /// Time for which each disk is full: 3 s.
    FULL_STEPS = 3 * 1000 * 1000 / SIMULATION_STEP_US,
    /// Steps within which a leader that is cut off still takes changes.
    LEASE_STEPS = 4,
    /// File calls of an instance that saves a term and replaces its log, and
    /// some more.
    CALLS_MAX = 12,
    /// File calls that save a vote.
    VOTE_CALLS = 4,
    ELECTION_STEPS = 60,
    /// Changes after which the leader no longer has the records that an
    /// instance without them needs.
    SNAPSHOT_CHANGES = 640,
    BATCH_CHANGES = 16,
    CLIENT = 3,
};

/// A control fixture whose instances keep their state in folders.
struct full_disks {
    struct control_fixture *fixture;
    struct fault_files files[SIMULATION_NODES_MAX];
    char folders[SIMULATION_NODES_MAX][64];
    uint64_t requests;
};

static struct SlStorage *
open_folder(struct full_disks *disks, uint32_t index)
{
    struct SlStorage *storage = NULL;
    struct SlError error;

    CU_ASSERT_EQUAL_FATAL(SlStorage_OpenFolderWithFiles(
                              &disks->files[index].files,
                              disks->folders[index],
                              disks->fixture->simulation.nodes[index].node_id,
                              100 + index, &storage, &error),
                          SL_OK);
    return storage;
}

static void
create_disks(struct full_disks *disks, uint32_t count, uint64_t seed)
{
    struct control_simulation *simulation;

    *disks =
        (struct full_disks){.fixture = calloc(1, sizeof(*disks->fixture))};
    simulation = &disks->fixture->simulation;
    simulation_create(simulation, count, seed);
    simulation->on_outside_message = handle_outside_message;
    simulation->context = disks->fixture;
    simulation->unreachable_us = UNREACHABLE_US;
    for (uint32_t i = 0; i < count; i++) {
        struct fault_storage *storage = simulation->nodes[i].storage;

        fault_files_init(&disks->files[i], 0, 0);
        folder_create_temporary(disks->folders[i]);
        SlStorage_Destroy(storage->memory);
        storage->memory = open_folder(disks, i);
        fixture_start_node(disks->fixture, i);
    }
    CU_ASSERT_NOT_EQUAL_FATAL(simulation_await_leader(simulation, 200), count);
    simulation_run(simulation, 30);
}

static void
destroy_disks(struct full_disks *disks)
{
    uint32_t count = disks->fixture->simulation.count;

    destroy_control_fixture(disks->fixture);
    for (uint32_t i = 0; i < count; i++) {
        folder_remove(disks->folders[i]);
    }
}

/// Lets a disk become full (ENOSPC) or fail (EIO) at the given call that
/// changes a file, counted from now.
static void
break_disk(struct full_disks *disks, uint32_t index, uint32_t call, int error)
{
    disks->files[index].failing = false;
    disks->files[index].error = error;
    disks->files[index].calls_until_failure = call;
}

static void
mend_disk(struct full_disks *disks, uint32_t index)
{
    disks->files[index].failing = false;
    disks->files[index].error = 0;
    disks->files[index].calls_until_failure = 0;
}

static struct SlChange
next_change(struct full_disks *disks)
{
    char zone[SL_NAME_BYTES];

    disks->requests++;
    snprintf(zone, sizeof(zone), "zone-%u", (unsigned)disks->requests);
    return make_change(CLIENT, disks->requests, SL_VERB_CREATE, zone);
}

/// Sends a change to every instance that leads until it is accepted. Returns
/// the number of steps that this took; ACK_STEPS when it was not accepted.
static uint32_t
accept_change(struct full_disks *disks)
{
    struct control_fixture *fixture = disks->fixture;
    struct control_simulation *simulation = &fixture->simulation;
    struct SlChange change = next_change(disks);

    for (uint32_t step = 0; step < ACK_STEPS; step++) {
        uint32_t leader = simulation_leader(simulation);

        if (leader < simulation->count && step % 10 == 0) {
            send_change(fixture, leader, &change);
        }
        fixture_step(fixture);
        if (fixture->result_request[CLIENT] == change.request &&
            fixture->results[CLIENT].status == SL_OK) {
            return step;
        }
    }
    return ACK_STEPS;
}

/// True when all instances have applied what the leader has, within the bound
/// for a change.
static bool
await_same_version(struct full_disks *disks)
{
    struct control_simulation *simulation = &disks->fixture->simulation;

    for (uint32_t step = 0; step < ACK_STEPS; step++) {
        uint32_t leader = simulation_leader(simulation);
        uint32_t same = 0;

        for (uint32_t i = 0;
             leader < simulation->count && i < simulation->count; i++) {
            same += SlVersion_Compare(
                        SlControl_AppliedVersion(simulation->nodes[i].control),
                        SlControl_AppliedVersion(
                            simulation->nodes[leader].control)) == 0;
        }
        if (same == simulation->count) {
            return true;
        }
        fixture_step(disks->fixture);
    }
    return false;
}

/// Cuts the leader off after it has synced records that no other instance
/// has, lets the others elect one of them, and returns the old leader.
static uint32_t
cut_off_leader(struct full_disks *disks)
{
    struct control_fixture *fixture = disks->fixture;
    struct control_simulation *simulation = &fixture->simulation;
    uint32_t leader = find_leader(fixture);

    simulation->nodes[leader].is_partitioned = true;
    for (uint32_t i = 0; i < LEASE_STEPS; i++) {
        struct SlChange change = next_change(disks);

        send_change(fixture, leader, &change);
        fixture_step(fixture);
    }
    for (uint32_t i = 0;
         i < ACK_STEPS && (i < 20 || simulation_leader(simulation) == leader);
         i++) {
        fixture_step(fixture);
    }
    (void)accept_change(disks);
    return leader;
}

/// Cuts off one leader after the other; the disk of each is full, or fails,
/// from the given file call on after it is back.
static void
check_in_turn(uint32_t count, uint64_t seed, uint32_t call, int error)
{
    struct full_disks disks;
    uint32_t round = 0;
    uint32_t missing = 0;
    bool accepts = true;

    create_disks(&disks, count, seed);
    while (accepts && round <= count) {
        uint32_t old_leader = cut_off_leader(&disks);

        break_disk(&disks, old_leader, call, error);
        disks.fixture->simulation.nodes[old_leader].is_partitioned = false;
        fixture_run(disks.fixture, FULL_STEPS);
        mend_disk(&disks, old_leader);
        accepts = accept_change(&disks) < ACK_STEPS;
        missing += !await_same_version(&disks);
        round++;
    }
    if (!accepts || missing > 0) {
        printf("%u instances, %s from file call %u on: an instance takes no "
               "part after %u of %u disks%s\n",
               count, error == EIO ? "failing" : "full", call, missing, round,
               accepts ? "" : ", and no change is accepted");
    }
    CU_ASSERT(accepts);
    CU_ASSERT_EQUAL(missing, 0);
    destroy_disks(&disks);
}

static void
test_instances_full_in_turn(void)
{
    for (uint32_t call = 1; call <= CALLS_MAX; call++) {
        check_in_turn(3, call, call, ENOSPC);
    }
    check_in_turn(5, 50, 5, ENOSPC);
}

/// The disks fail for a while in turn, which also leaves storage that refuses
/// writes after a failed sync.
static void
test_instances_failing_in_turn(void)
{
    for (uint32_t call = 1; call <= CALLS_MAX; call++) {
        check_in_turn(3, call, call, EIO);
    }
}

/// The disk of an instance is full from the moment when its vote for itself,
/// or for another, is saved: a new leader cannot write the first record of its
/// term, without which nothing counts as current.
static void
test_disk_full_after_election(void)
{
    uint32_t refused = 0;

    for (uint64_t seed = 1; seed <= 10; seed++) {
        struct full_disks disks;
        uint32_t leader;
        uint32_t other;

        create_disks(&disks, 3, seed);
        leader = find_leader(disks.fixture);
        other = (leader + 1 + (uint32_t)seed % 2) % 3;
        break_disk(&disks, other, VOTE_CALLS + 1, ENOSPC);
        disks.fixture->simulation.nodes[leader].is_partitioned = true;
        fixture_run(disks.fixture, ELECTION_STEPS);
        disks.fixture->simulation.nodes[leader].is_partitioned = false;
        fixture_run(disks.fixture, FULL_STEPS);
        mend_disk(&disks, other);
        refused += accept_change(&disks) == ACK_STEPS;
        destroy_disks(&disks);
    }
    if (refused > 0) {
        printf("full after an election: no change accepted in %u of 10 runs\n",
               refused);
    }
    CU_ASSERT_EQUAL(refused, 0);
}

/// An instance that is so far behind that the leader sends a snapshot finds
/// its disk full when it saves the snapshot.
static void
test_disk_full_at_snapshot(void)
{
    uint32_t missing = 0;

    for (uint32_t call = 1; call <= CALLS_MAX; call++) {
        struct full_disks disks;
        uint32_t other;

        create_disks(&disks, 3, call);
        disks.fixture->simulation.snapshot_entries = 40;
        other = (find_leader(disks.fixture) + 1) % 3;
        disks.fixture->simulation.nodes[other].is_partitioned = true;
        for (uint32_t i = 0; i < SNAPSHOT_CHANGES; i++) {
            struct SlChange change = next_change(&disks);

            send_change(disks.fixture, find_leader(disks.fixture), &change);
            if (i % BATCH_CHANGES == 0) {
                fixture_step(disks.fixture);
            }
        }
        CU_ASSERT(accept_change(&disks) < ACK_STEPS);
        break_disk(&disks, other, call, ENOSPC);
        disks.fixture->simulation.nodes[other].is_partitioned = false;
        fixture_run(disks.fixture, FULL_STEPS);
        mend_disk(&disks, other);
        missing += !await_same_version(&disks);
        destroy_disks(&disks);
    }
    if (missing > 0) {
        printf("full at a snapshot: an instance stays behind in %u of %u "
               "runs\n",
               missing, CALLS_MAX);
    }
    CU_ASSERT_EQUAL(missing, 0);
}

/// The leader's disk stays full. The others have room, so that changes are
/// accepted within the bound.
static void
test_leader_disk_stays_full(void)
{
    struct full_disks disks;
    uint32_t leader;

    create_disks(&disks, 3, 45);
    (void)accept_change(&disks);
    leader = find_leader(disks.fixture);
    break_disk(&disks, leader, 1, ENOSPC);
    CU_ASSERT(accept_change(&disks) < ACK_STEPS);
    mend_disk(&disks, leader);
    CU_ASSERT(await_same_version(&disks));
    destroy_disks(&disks);
}

/// An instance whose disk fails while it starts again cannot make durable what
/// it read: it takes no part until the disk works, and then does.
static void
test_disk_failing_at_start(void)
{
    struct full_disks disks;
    struct control_simulation *simulation;
    struct simulated_node *node;
    uint32_t other;
    uint32_t fresh_steps = 0;

    create_disks(&disks, 3, 1);
    simulation = &disks.fixture->simulation;
    other = (find_leader(disks.fixture) + 1) % 3;
    node = &simulation->nodes[other];
    CU_ASSERT(accept_change(&disks) < ACK_STEPS);
    CU_ASSERT(await_same_version(&disks));
    simulation_crash_node(simulation, other);
    SlStorage_Destroy(node->storage->memory);
    break_disk(&disks, other, 1, EIO);
    node->storage->memory = open_folder(&disks, other);
    fixture_start_node(disks.fixture, other);
    for (uint32_t i = 0; i < FULL_STEPS; i++) {
        fixture_step(disks.fixture);
        fresh_steps += SlControl_IsFresh(node->control, simulation->now_us);
    }
    CU_ASSERT_EQUAL(fresh_steps, 0);
    mend_disk(&disks, other);
    CU_ASSERT(accept_change(&disks) < ACK_STEPS);
    CU_ASSERT(await_same_version(&disks));
    CU_ASSERT(SlControl_IsFresh(node->control, simulation->now_us));
    destroy_disks(&disks);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"instances whose disks are full in turn",
         test_instances_full_in_turn},
        {"instances whose disks fail in turn", test_instances_failing_in_turn},
        {"a disk that is full after an election",
         test_disk_full_after_election},
        {"the leader's disk stays full", test_leader_disk_stays_full},
        {"a disk that is full at a snapshot", test_disk_full_at_snapshot},
        {"a disk that fails at a start", test_disk_failing_at_start},
    };

    return RUN_SUITE("full disk", CASES);
}
