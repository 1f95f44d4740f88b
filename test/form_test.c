/* Self-forming control membership, without an operator: founding from seeds,
   joining, replacement, lost data folders, a network split, and a crash of all
   instances at once. */

#include "control_lab.h"

enum {
    SEEDS = 3,
    FORMATION_STEPS = 200,
};

/// Creates instances that find each other through seeds: the first three.
static struct lab *
create_site(uint32_t nodes, uint64_t seed)
{
    struct lab *fixture = calloc(1, sizeof(*fixture));

    world_create(&fixture->world, nodes, seed);
    fixture->world.on_outside_message = handle_outside_message;
    fixture->world.context = fixture;
    fixture->world.unreachable_us = UNREACHABLE_US;
    fixture->world.self_forming = true;
    fixture->world.seeds = SEEDS;
    for (uint32_t i = SEEDS; i < nodes; i++) {
        fixture->world.nodes[i].bootstrap = false;
    }
    return fixture;
}

struct membership {
    uint32_t voters;
    uint32_t members;
    bool is_voter[SIMULATION_NODES_MAX];
};

static struct membership
membership_of(struct lab *fixture)
{
    struct SlControlMember items[SL_MEMBERS_CONTROL_MAX];
    struct membership membership = {.voters = 0};

    membership.members =
        SlControl_Members(fixture->world.nodes[leader_of(fixture)].control,
                          items, SL_MEMBERS_CONTROL_MAX);
    for (uint32_t i = 0; i < membership.members; i++) {
        membership.voters += items[i].voter;
        for (uint32_t j = 0; j < fixture->world.count; j++) {
            if (items[i].node_id == fixture->world.nodes[j].node_id) {
                membership.is_voter[j] = items[i].voter;
            }
        }
    }
    return membership;
}

/// Creates a zone, so that a later check can detect its loss.
static void
create_zone(struct lab *fixture, uint64_t request, const char *name)
{
    struct SlChange change = change_of(1, request, SL_VERB_CREATE, name);

    change.base = SlConfig_Version(config_of(fixture, leader_of(fixture)));
    CU_ASSERT_EQUAL(ask(fixture, &change)->status, SL_OK);
}

static bool
has_zone(struct lab *fixture, const char *name)
{
    return SlConfig_Find(config_of(fixture, leader_of(fixture)), SL_KIND_ZONE,
                         name) != NULL;
}

/// In various orders of start, with each of the seeds late once, a site of
/// four instances is founded once, with three voters and one standby.
static void
test_every_order_of_start(void)
{
    static const uint32_t ORDERS[][4] = {
        {0, 1, 2, 3}, {0, 2, 1, 3}, {1, 0, 2, 3}, {1, 2, 0, 3}, {2, 0, 1, 3},
        {2, 1, 0, 3}, {3, 0, 1, 2}, {3, 2, 1, 0}, {0, 3, 1, 2}, {1, 3, 2, 0},
    };

    for (uint32_t order = 0; order < 10; order++) {
        struct lab *fixture = create_site(4, 40 + order);
        struct membership membership;

        for (uint32_t i = 0; i < 4; i++) {
            start_node(fixture, ORDERS[order][i]);
            lab_run(fixture, i == 2 ? 60 : 2);
        }
        lab_run(fixture, FORMATION_STEPS);
        membership = membership_of(fixture);
        CU_ASSERT_EQUAL(membership.members, 4);
        CU_ASSERT_EQUAL(membership.voters, 3);
        create_zone(fixture, 1, "ulaan-a");
        destroy_lab(fixture);
    }
}

static struct lab *
create_formed_site(uint32_t nodes, uint64_t seed)
{
    struct lab *fixture = create_site(nodes, seed);

    for (uint32_t i = 0; i < nodes; i++) {
        start_node(fixture, i);
    }
    lab_run(fixture, FORMATION_STEPS);
    return fixture;
}

/// The number of voters is odd for every number of instances.
static void
test_odd_voters(void)
{
    static const uint32_t EXPECTED[] = {0, 0, 0, 3, 3, 5, 5, 7};

    for (uint32_t nodes = 3; nodes <= SIMULATION_NODES_MAX; nodes++) {
        struct lab *fixture = create_formed_site(nodes, 60 + nodes);
        struct membership membership = membership_of(fixture);

        CU_ASSERT_EQUAL(membership.members, nodes);
        CU_ASSERT_EQUAL(membership.voters, EXPECTED[nodes]);
        destroy_lab(fixture);
    }
}

/// A standby replaces a voter that crashed permanently; the site then
/// tolerates the crash of another voter.
static void
test_replacement(void)
{
    for (uint64_t seed = 70; seed < 80; seed++) {
        struct lab *fixture = create_formed_site(4, seed);
        struct membership membership;
        uint32_t crashed;

        create_zone(fixture, 1, "ulaan-a");
        membership = membership_of(fixture);
        crashed = membership.is_voter[0] ? 0 : 1;
        world_crash(&fixture->world, crashed);
        lab_run(fixture, 200);
        membership = membership_of(fixture);
        CU_ASSERT_EQUAL(membership.voters, 3);
        CU_ASSERT_FALSE(membership.is_voter[crashed]);
        create_zone(fixture, 2, "ulaan-b");
        for (uint32_t i = 0; i < 4; i++) {
            if (i != crashed && i != leader_of(fixture)) {
                world_crash(&fixture->world, i);
                break;
            }
        }
        create_zone(fixture, 3, "ulaan-c");
        CU_ASSERT(has_zone(fixture, "ulaan-a"));
        CU_ASSERT(has_zone(fixture, "ulaan-b"));
        destroy_lab(fixture);
    }
}

/// An instance that was replaced while it was down rejoins as a standby.
static void
test_replaced_instance_rejoins(void)
{
    struct lab *fixture = create_formed_site(4, 81);
    struct membership membership = membership_of(fixture);
    uint32_t crashed = membership.is_voter[0] ? 0 : 1;

    world_crash(&fixture->world, crashed);
    lab_run(fixture, 200);
    create_zone(fixture, 1, "ulaan-a");
    start_node(fixture, crashed);
    lab_run(fixture, 200);
    membership = membership_of(fixture);
    CU_ASSERT_EQUAL(membership.members, 4);
    CU_ASSERT_EQUAL(membership.voters, 3);
    CU_ASSERT_PTR_NOT_NULL(
        SlConfig_Find(config_of(fixture, crashed), SL_KIND_ZONE, "ulaan-a"));
    destroy_lab(fixture);
}

/// A voter restarts with an empty data folder, and the leader crashes once the
/// site has recovered from that. No accepted change is lost.
static void
test_wiped_voter(void)
{
    for (uint64_t seed = 90; seed < 100; seed++) {
        struct lab *fixture = create_formed_site(4, seed);
        uint32_t wiped = (leader_of(fixture) + 1) % 3;

        create_zone(fixture, 1, "ulaan-a");
        world_crash(&fixture->world, wiped);
        world_wipe(&fixture->world, wiped);
        fixture->world.nodes[wiped].bootstrap = false;
        start_node(fixture, wiped);
        lab_run(fixture, 200);
        world_crash(&fixture->world, leader_of(fixture));
        create_zone(fixture, 2, "ulaan-b");
        CU_ASSERT(has_zone(fixture, "ulaan-a"));
        destroy_lab(fixture);
    }
}

/// Instances with empty data folders elect no leader without bootstrap, so a
/// site is never founded a second time.
static void
test_site_is_not_founded_twice(void)
{
    struct lab *fixture = create_site(3, 101);

    for (uint32_t i = 0; i < 3; i++) {
        fixture->world.nodes[i].bootstrap = false;
        start_node(fixture, i);
    }
    for (uint32_t i = 0; i < 300; i++) {
        fixture_step(fixture);
        CU_ASSERT_EQUAL(world_leader(&fixture->world), fixture->world.count);
    }
    destroy_lab(fixture);
}

/// All instances crash at once, and one of them does not restart.
static void
test_restart_of_all(void)
{
    for (uint64_t seed = 110; seed < 120; seed++) {
        struct lab *fixture = create_formed_site(5, seed);

        create_zone(fixture, 1, "ulaan-a");
        for (uint32_t i = 0; i < 5; i++) {
            world_crash(&fixture->world, i);
        }
        for (uint32_t i = 0; i < 5; i++) {
            if (i != seed % 5) {
                start_node(fixture, i);
            }
        }
        lab_run(fixture, 100);
        CU_ASSERT(has_zone(fixture, "ulaan-a"));
        create_zone(fixture, 2, "ulaan-b");
        destroy_lab(fixture);
    }
}

/// Before a leader is elected, a restarted instance serves the configuration
/// that it recovered, marked as not current.
static void
test_recovered_state_is_served(void)
{
    struct lab *fixture = create_formed_site(3, 121);
    struct SlMessage subscribe = {.kind = SL_MESSAGE_SUBSCRIBE};
    uint64_t link;

    create_zone(fixture, 1, "ulaan-a");
    connect_agents(fixture, 2);
    lab_run(fixture, 60);
    for (uint32_t i = 0; i < 3; i++) {
        world_crash(&fixture->world, i);
    }
    start_node(fixture, 0);
    fixture->config_objects = 0;
    link = world_connect(&fixture->world, 0, "entry-1", SL_ROLE_ENTRY);
    world_give(&fixture->world, 0, link, &subscribe);
    world_step(&fixture->world);
    CU_ASSERT(fixture->config_objects > 0);
    CU_ASSERT_FALSE(SlControl_Fresh(fixture->world.nodes[0].control,
                                    fixture->world.now_us));
    destroy_lab(fixture);
}

/// During a network split into halves at most one leader holds a lease. After
/// the split all instances hold the same state.
static void
test_network_split(void)
{
    for (uint64_t seed = 130; seed < 140; seed++) {
        struct lab *fixture = create_formed_site(4, seed);
        uint32_t leaders;

        create_zone(fixture, 1, "ulaan-a");
        fixture->world.nodes[0].is_partitioned = true;
        fixture->world.nodes[3].is_partitioned = true;
        for (uint32_t i = 0; i < 150; i++) {
            fixture_step(fixture);
            leaders = 0;
            for (uint32_t j = 0; j < 4; j++) {
                leaders += SlControl_State(fixture->world.nodes[j].control) ==
                               SL_CONTROL_LEADER &&
                           SlControl_Fresh(fixture->world.nodes[j].control,
                                           fixture->world.now_us);
            }
            CU_ASSERT(leaders <= 1);
        }
        fixture->world.nodes[0].is_partitioned = false;
        fixture->world.nodes[3].is_partitioned = false;
        lab_run(fixture, 200);
        create_zone(fixture, 2, "ulaan-b");
        lab_run(fixture, 60);
        for (uint32_t i = 0; i < 4; i++) {
            CU_ASSERT_PTR_NOT_NULL(
                SlConfig_Find(config_of(fixture, i), SL_KIND_ZONE, "ulaan-b"));
        }
        destroy_lab(fixture);
    }
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"orders of start", test_every_order_of_start},
        {"odd number of voters", test_odd_voters},
        {"replacement of a crashed voter", test_replacement},
        {"a replaced instance rejoins", test_replaced_instance_rejoins},
        {"a voter with a wiped data folder", test_wiped_voter},
        {"no site is founded twice", test_site_is_not_founded_twice},
        {"restart after a crash of all", test_restart_of_all},
        {"recovered state is served", test_recovered_state_is_served},
        {"network split", test_network_split},
    };

    return RUN_SUITE("formation", CASES);
}
