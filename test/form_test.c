/* Control membership without an operator: founding from seeds, joining,
   replacing, wiped folders, a core in two halves, all killed at once. */

#include "control_fixture.h"

enum {
    SEEDS = 3,
    FOUNDED_STEPS = 200,
};

/// Instances that find each other by seeds, the first three of them.
static struct control_fixture *
create_site(uint32_t nodes, uint64_t seed)
{
    struct control_fixture *lab = calloc(1, sizeof(*lab));

    simulation_create(&lab->simulation, nodes, seed);
    lab->simulation.outside = on_outside;
    lab->simulation.context = lab;
    lab->simulation.unreachable_us = UNREACHABLE_US;
    lab->simulation.self_forming = true;
    lab->simulation.seeds = SEEDS;
    for (uint32_t i = SEEDS; i < nodes; i++) {
        lab->simulation.nodes[i].bootstrap = false;
    }
    return lab;
}

struct membership {
    uint32_t voters;
    uint32_t members;
    bool is_voter[WORLD_NODES_MAX];
};

static struct membership
membership_of(struct control_fixture *lab)
{
    struct SlControlMember items[SL_MEMBERS_CONTROL_MAX];
    struct membership seen = {.voters = 0};

    seen.members =
        SlControl_Members(lab->simulation.nodes[find_leader(lab)].control,
                          items, SL_MEMBERS_CONTROL_MAX);
    for (uint32_t i = 0; i < seen.members; i++) {
        seen.voters += items[i].voter;
        for (uint32_t j = 0; j < lab->simulation.count; j++) {
            if (items[i].node_id == lab->simulation.nodes[j].node_id) {
                seen.is_voter[j] = items[i].voter;
            }
        }
    }
    return seen;
}

/// Puts a zone in, to see later whether it is still there.
static void
put_zone(struct control_fixture *lab, uint64_t request, const char *name)
{
    struct SlChange change = make_change(1, request, SL_VERB_CREATE, name);

    change.base = SlConfig_Version(config_at_node(lab, find_leader(lab)));
    CU_ASSERT_EQUAL(request_change(lab, &change)->status, SL_OK);
}

static bool
has_zone(struct control_fixture *lab, const char *name)
{
    return SlConfig_FindObject(config_at_node(lab, find_leader(lab)),
                               SL_KIND_ZONE, name) != NULL;
}

/// In every order of start, with each of the seeds late once, a site of four
/// is founded once: three voters, and one that stands by.
static void
test_every_order_of_start(void)
{
    static const uint32_t ORDERS[][4] = {
        {0, 1, 2, 3}, {0, 2, 1, 3}, {1, 0, 2, 3}, {1, 2, 0, 3}, {2, 0, 1, 3},
        {2, 1, 0, 3}, {3, 0, 1, 2}, {3, 2, 1, 0}, {0, 3, 1, 2}, {1, 3, 2, 0},
    };

    for (uint32_t order = 0; order < 10; order++) {
        struct control_fixture *lab = create_site(4, 40 + order);
        struct membership seen;

        for (uint32_t i = 0; i < 4; i++) {
            fixture_start_node(lab, ORDERS[order][i]);
            fixture_run(lab, i == 2 ? 60 : 2);
        }
        fixture_run(lab, FOUNDED_STEPS);
        seen = membership_of(lab);
        CU_ASSERT_EQUAL(seen.members, 4);
        CU_ASSERT_EQUAL(seen.voters, 3);
        put_zone(lab, 1, "ulaan-a");
        destroy_control_fixture(lab);
    }
}

static struct control_fixture *
founded_site(uint32_t nodes, uint64_t seed)
{
    struct control_fixture *lab = create_site(nodes, seed);

    for (uint32_t i = 0; i < nodes; i++) {
        fixture_start_node(lab, i);
    }
    fixture_run(lab, FOUNDED_STEPS);
    return lab;
}

/// Voters are an odd number, however many instances there are.
static void
test_odd_voters(void)
{
    static const uint32_t EXPECTED[] = {0, 0, 0, 3, 3, 5, 5, 7};

    for (uint32_t nodes = 3; nodes <= WORLD_NODES_MAX; nodes++) {
        struct control_fixture *lab = founded_site(nodes, 60 + nodes);
        struct membership seen = membership_of(lab);

        CU_ASSERT_EQUAL(seen.members, nodes);
        CU_ASSERT_EQUAL(seen.voters, EXPECTED[nodes]);
        destroy_control_fixture(lab);
    }
}

/// A voter is gone for good: the one that stands by takes its place, and then
/// a second loss is borne.
static void
test_replacement(void)
{
    for (uint64_t seed = 70; seed < 80; seed++) {
        struct control_fixture *lab = founded_site(4, seed);
        struct membership seen;
        uint32_t gone;

        put_zone(lab, 1, "ulaan-a");
        seen = membership_of(lab);
        gone = seen.is_voter[0] ? 0 : 1;
        simulation_crash_node(&lab->simulation, gone);
        fixture_run(lab, 200);
        seen = membership_of(lab);
        CU_ASSERT_EQUAL(seen.voters, 3);
        CU_ASSERT_FALSE(seen.is_voter[gone]);
        put_zone(lab, 2, "ulaan-b");
        for (uint32_t i = 0; i < 4; i++) {
            if (i != gone && i != find_leader(lab)) {
                simulation_crash_node(&lab->simulation, i);
                break;
            }
        }
        put_zone(lab, 3, "ulaan-c");
        CU_ASSERT(has_zone(lab, "ulaan-a"));
        CU_ASSERT(has_zone(lab, "ulaan-b"));
        destroy_control_fixture(lab);
    }
}

/// One that was replaced comes back: it is taken in again, and stands by.
static void
test_replaced_comes_back(void)
{
    struct control_fixture *lab = founded_site(4, 81);
    struct membership seen = membership_of(lab);
    uint32_t gone = seen.is_voter[0] ? 0 : 1;

    simulation_crash_node(&lab->simulation, gone);
    fixture_run(lab, 200);
    put_zone(lab, 1, "ulaan-a");
    fixture_start_node(lab, gone);
    fixture_run(lab, 200);
    seen = membership_of(lab);
    CU_ASSERT_EQUAL(seen.members, 4);
    CU_ASSERT_EQUAL(seen.voters, 3);
    CU_ASSERT_PTR_NOT_NULL(SlConfig_FindObject(config_at_node(lab, gone),
                                               SL_KIND_ZONE, "ulaan-a"));
    destroy_control_fixture(lab);
}

/// A voter comes back with an empty folder; another is lost once that is
/// mended. Nothing accepted is lost.
static void
test_wiped(void)
{
    for (uint64_t seed = 90; seed < 100; seed++) {
        struct control_fixture *lab = founded_site(4, seed);
        uint32_t wiped = (find_leader(lab) + 1) % 3;

        put_zone(lab, 1, "ulaan-a");
        simulation_crash_node(&lab->simulation, wiped);
        simulation_wipe_node(&lab->simulation, wiped);
        lab->simulation.nodes[wiped].bootstrap = false;
        fixture_start_node(lab, wiped);
        fixture_run(lab, 200);
        simulation_crash_node(&lab->simulation, find_leader(lab));
        put_zone(lab, 2, "ulaan-b");
        CU_ASSERT(has_zone(lab, "ulaan-a"));
        destroy_control_fixture(lab);
    }
}

/// An empty folder founds nothing, whatever the others do.
static void
test_nothing_is_founded_twice(void)
{
    struct control_fixture *lab = create_site(3, 101);

    for (uint32_t i = 0; i < 3; i++) {
        lab->simulation.nodes[i].bootstrap = false;
        fixture_start_node(lab, i);
    }
    for (uint32_t i = 0; i < 300; i++) {
        lab_step(lab);
        CU_ASSERT_EQUAL(simulation_leader(&lab->simulation),
                        lab->simulation.count);
    }
    destroy_control_fixture(lab);
}

/// All are killed at once, and one of them stays away.
static void
test_all_killed(void)
{
    for (uint64_t seed = 110; seed < 120; seed++) {
        struct control_fixture *lab = founded_site(5, seed);

        put_zone(lab, 1, "ulaan-a");
        for (uint32_t i = 0; i < 5; i++) {
            simulation_crash_node(&lab->simulation, i);
        }
        for (uint32_t i = 0; i < 5; i++) {
            if (i != seed % 5) {
                fixture_start_node(lab, i);
            }
        }
        fixture_run(lab, 100);
        CU_ASSERT(has_zone(lab, "ulaan-a"));
        put_zone(lab, 2, "ulaan-b");
        destroy_control_fixture(lab);
    }
}

/// A restarted instance shows what was in force, as not the present, before
/// anybody leads.
static void
test_recorded_state_is_shown(void)
{
    struct control_fixture *lab = founded_site(3, 121);
    struct SlMessage subscribe = {.kind = SL_MESSAGE_SUBSCRIBE};
    uint64_t link;

    put_zone(lab, 1, "ulaan-a");
    connect_agents(lab, 2);
    fixture_run(lab, 60);
    for (uint32_t i = 0; i < 3; i++) {
        simulation_crash_node(&lab->simulation, i);
    }
    fixture_start_node(lab, 0);
    lab->config_objects = 0;
    link = simulation_connect(&lab->simulation, 0, "entry-1", SL_ROLE_ENTRY);
    simulation_send_message(&lab->simulation, 0, link, &subscribe);
    simulation_step(&lab->simulation);
    CU_ASSERT(lab->config_objects > 0);
    CU_ASSERT_FALSE(SlControl_IsFresh(lab->simulation.nodes[0].control,
                                      lab->simulation.now_us));
    destroy_control_fixture(lab);
}

/// The core is cut into halves: at most one of them takes changes, and after
/// the cut all hold the same.
static void
test_halves(void)
{
    for (uint64_t seed = 130; seed < 140; seed++) {
        struct control_fixture *lab = founded_site(4, seed);
        uint32_t leaders;

        put_zone(lab, 1, "ulaan-a");
        lab->simulation.nodes[0].cut = true;
        lab->simulation.nodes[3].cut = true;
        for (uint32_t i = 0; i < 150; i++) {
            lab_step(lab);
            leaders = 0;
            for (uint32_t j = 0; j < 4; j++) {
                leaders += SlControl_State(lab->simulation.nodes[j].control) ==
                               SL_CONTROL_LEADER &&
                           SlControl_IsFresh(lab->simulation.nodes[j].control,
                                             lab->simulation.now_us);
            }
            CU_ASSERT(leaders <= 1);
        }
        lab->simulation.nodes[0].cut = false;
        lab->simulation.nodes[3].cut = false;
        fixture_run(lab, 200);
        put_zone(lab, 2, "ulaan-b");
        fixture_run(lab, 60);
        for (uint32_t i = 0; i < 4; i++) {
            CU_ASSERT_PTR_NOT_NULL(SlConfig_FindObject(
                config_at_node(lab, i), SL_KIND_ZONE, "ulaan-b"));
        }
        destroy_control_fixture(lab);
    }
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"every order of start", test_every_order_of_start},
        {"odd voters", test_odd_voters},
        {"replacement", test_replacement},
        {"one that was replaced comes back", test_replaced_comes_back},
        {"wiped", test_wiped},
        {"nothing is founded twice", test_nothing_is_founded_twice},
        {"all killed", test_all_killed},
        {"recorded state is shown", test_recorded_state_is_shown},
        {"halves", test_halves},
    };

    return RUN_SUITE("formation", CASES);
}
