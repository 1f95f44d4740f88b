/* A self-forming group of six instances through losses of power in series: of
   all instances at the same moment, while up to two of them lose their data
   folders, also while one of them is being replaced. What was accepted is
   read back, and changes are accepted again. */

#include "control_fixture.h"

enum {
    INSTANCES = 6,
    SEEDS = 3,
    FORMATION_STEPS = 200,
    /// Calm between two losses: time to catch up, six seconds.
    CALM_STEPS = 6 * 1000 * 1000 / SIMULATION_STEP_US,
    /// Time to recover: fifteen seconds.
    RECOVERY_STEPS = 15 * 1000 * 1000 / SIMULATION_STEP_US,
    ROUNDS = 6,
    SITES = 20,
};

static struct control_fixture *
create_group(uint64_t seed)
{
    struct control_fixture *fixture = calloc(1, sizeof(*fixture));

    simulation_create(&fixture->simulation, INSTANCES, seed);
    fixture->simulation.on_outside_message = handle_outside_message;
    fixture->simulation.context = fixture;
    fixture->simulation.unreachable_us = UNREACHABLE_US;
    fixture->simulation.self_forming = true;
    fixture->simulation.seeds = SEEDS;
    fixture->simulation.election_us = 450 * 1000;
    for (uint32_t i = 0; i < INSTANCES; i++) {
        fixture->simulation.nodes[i].bootstrap = i < SEEDS;
        fixture_start_node(fixture, i);
    }
    fixture_run(fixture, FORMATION_STEPS);
    for (uint32_t i = 0; i < SEEDS; i++) {
        fixture->simulation.nodes[i].bootstrap = false;
    }
    return fixture;
}

/// Sends a change to the leader until it is accepted. Returns false when that
/// takes longer than the time to recover.
static bool
accept_zone(struct control_fixture *fixture, uint64_t request,
            const char *name)
{
    struct SlChange change = make_change(1, request, SL_VERB_CREATE, name);
    uint32_t before = fixture->result_count[1];

    for (uint32_t step = 0; step < RECOVERY_STEPS; step++) {
        uint32_t leader = simulation_leader(&fixture->simulation);

        if (leader < INSTANCES && step % 8 == 0) {
            change.base = SlConfig_Version(config_at_node(fixture, leader));
            send_change(fixture, leader, &change);
        }
        fixture_step(fixture);
        if (is_answered(fixture, &change, before) &&
            fixture->results[1].status == SL_OK) {
            return true;
        }
        before = fixture->result_count[1];
    }
    return false;
}

static bool
has_zone(struct control_fixture *fixture, const char *name)
{
    uint32_t leader = simulation_leader(&fixture->simulation);

    return leader < INSTANCES &&
           SlConfig_FindObject(config_at_node(fixture, leader), SL_KIND_ZONE,
                               name) != NULL;
}

/// Cuts the power of all instances and restarts them, the wiped ones with
/// empty data folders.
static void
lose_power(struct control_fixture *fixture, const bool *is_wiped)
{
    for (uint32_t i = 0; i < INSTANCES; i++) {
        simulation_crash_node(&fixture->simulation, i);
        if (is_wiped[i]) {
            simulation_wipe_node(&fixture->simulation, i);
        }
    }
    fixture_run(fixture, 20);
    for (uint32_t i = 0; i < INSTANCES; i++) {
        fixture_start_node(fixture, i);
        if (simulation_random(&fixture->simulation, 3) == 0) {
            fixture_step(fixture);
        }
    }
}

static void
test_two_folders_lost_at_a_power_loss(void)
{
    for (uint64_t seed = 1; seed <= SITES; seed++) {
        struct control_fixture *fixture = create_group(seed);

        for (uint32_t round = 1; round <= ROUNDS; round++) {
            bool is_wiped[INSTANCES] = {false};
            char name[SL_NAME_BYTES];
            bool accepted;

            snprintf(name, sizeof(name), "zone-%u", round);
            accepted = accept_zone(fixture, round, name);
            CU_ASSERT(accepted);
            if (!accepted) {
                break;
            }
            for (uint32_t i = 0; i < 2; i++) {
                is_wiped[simulation_random(&fixture->simulation, INSTANCES)] =
                    true;
            }
            lose_power(fixture, is_wiped);
            accepted = accept_zone(fixture, 100 + round, "after");
            CU_ASSERT(has_zone(fixture, name));
            fixture_run(fixture, CALM_STEPS);
        }
        destroy_control_fixture(fixture);
    }
}

/// One instance is down for good for a while (its successor takes its time),
/// another one loses its folder at the loss of power.
static void
test_folder_lost_while_another_instance_is_replaced(void)
{
    for (uint64_t seed = 1; seed <= SITES; seed++) {
        struct control_fixture *fixture = create_group(seed);

        for (uint32_t round = 1; round <= ROUNDS; round++) {
            struct control_simulation *simulation = &fixture->simulation;
            bool is_wiped[INSTANCES] = {false};
            uint32_t replaced =
                (uint32_t)simulation_random(simulation, INSTANCES);
            char name[SL_NAME_BYTES];
            bool accepted;

            simulation_crash_node(simulation, replaced);
            fixture_run(fixture,
                        (uint32_t)simulation_random(simulation, CALM_STEPS));
            snprintf(name, sizeof(name), "zone-%u", round);
            accepted = accept_zone(fixture, round, name);
            CU_ASSERT(accepted);
            if (!accepted) {
                break;
            }
            is_wiped[replaced] = true;
            is_wiped[simulation_random(simulation, INSTANCES)] = true;
            lose_power(fixture, is_wiped);
            (void)accept_zone(fixture, 100 + round, "after");
            CU_ASSERT(has_zone(fixture, name));
            fixture_run(fixture, CALM_STEPS);
        }
        destroy_control_fixture(fixture);
    }
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"two data folders lost at a loss of power",
         test_two_folders_lost_at_a_power_loss},
        {"a data folder lost while another instance is replaced",
         test_folder_lost_while_another_instance_is_replaced},
    };

    return RUN_SUITE("control losses", CASES);
}
