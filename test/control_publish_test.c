/* Distribution by control instances of a self-forming site whose leases lapse
   while their leader stays. */

#include "control_fixture.h"

enum {
    INSTANCES = 3,
    CHANGES = 40,
    /// Links so slow that what a leader sends is not recent when it arrives.
    SLOW_DELAY_US = 1000 * 1000,
};

/// What a subscriber received, and from whom.
struct subscriber {
    struct control_fixture fixture;
    uint64_t link;
    struct SlVersion version;
    uint32_t outdated_parts;
};

static void
handle_subscriber_message(struct control_simulation *simulation, uint32_t from,
                          uint64_t link, const struct SlMessage *message)
{
    struct subscriber *subscriber = (struct subscriber *)simulation->context;

    handle_outside_message(simulation, from, link, message);
    if (message->kind != SL_MESSAGE_CONFIG || link != subscriber->link) {
        return;
    }
    CU_ASSERT(SlVersion_Compare(message->config.to, subscriber->version) > 0);
    CU_ASSERT(!message->config.fresh ||
              SlControl_IsRecent(simulation->nodes[from].control,
                                 simulation->now_us));
    subscriber->version = message->config.to;
    subscriber->outdated_parts += !message->config.fresh;
}

static struct subscriber *
create_slow_site(uint64_t seed)
{
    struct subscriber *subscriber = calloc(1, sizeof(*subscriber));
    struct control_fixture *fixture = &subscriber->fixture;

    simulation_create(&fixture->simulation, INSTANCES, seed);
    fixture->simulation.on_outside_message = handle_subscriber_message;
    fixture->simulation.context = fixture;
    fixture->simulation.self_forming = true;
    fixture->simulation.seeds = INSTANCES;
    for (uint32_t i = 0; i < INSTANCES; i++) {
        fixture_start_node(fixture, i);
    }
    find_leader(fixture);
    fixture_slow_down(fixture, SLOW_DELAY_US);
    return subscriber;
}

/// Subscribes at an instance with the version that it has applied.
static void
subscribe_at(struct subscriber *subscriber, uint32_t index)
{
    struct control_simulation *simulation = &subscriber->fixture.simulation;
    struct SlMessage message = {
        .kind = SL_MESSAGE_SUBSCRIBE,
        .subscribe = {.version = SlControl_AppliedVersion(
                          simulation->nodes[index].control)}};

    subscriber->version = message.subscribe.version;
    subscriber->link =
        simulation_connect(simulation, index, "entry-1", SL_ROLE_ENTRY);
    simulation_send_message(simulation, index, subscriber->link, &message);
}

/// A follower whose lease is over passes on what its leader committed, marked
/// as not current, as soon as it has applied it.
static void
test_committed_changes_are_passed_on_without_lease(void)
{
    struct subscriber *subscriber = create_slow_site(3);
    struct control_fixture *fixture = &subscriber->fixture;
    struct control_simulation *simulation = &fixture->simulation;
    uint32_t leader = find_leader(fixture);
    uint32_t follower = (leader + 1) % INSTANCES;
    const struct SlControl *control = simulation->nodes[follower].control;
    uint64_t term = SlControl_CurrentTerm(control);
    uint32_t late_steps = 0;

    subscribe_at(subscriber, follower);
    for (uint64_t i = 1; i <= CHANGES; i++) {
        char name[SL_NAME_BYTES];
        struct SlChange change;

        snprintf(name, sizeof(name), "ulaan-%u", (unsigned)i);
        change = make_change(1, i, SL_VERB_CREATE, name);
        change.base = SlControl_AppliedVersion(control);
        send_change(fixture, leader, &change);
        for (uint32_t j = 0; j < 10 || (i == CHANGES && j < 200); j++) {
            fixture_step(fixture);
            late_steps +=
                SlVersion_Compare(subscriber->version,
                                  SlControl_AppliedVersion(control)) != 0;
        }
    }
    CU_ASSERT_EQUAL(SlControl_CurrentTerm(control), term);
    CU_ASSERT(SlControl_LeaseLossCount(control) > 0);
    CU_ASSERT_EQUAL(late_steps, 0);
    CU_ASSERT(subscriber->outdated_parts > 0);
    CU_ASSERT(SlConfig_ObjectCount(SlControl_Config(control), SL_KIND_ZONE) >=
              CHANGES);
    simulation_destroy(simulation);
    free(subscriber);
}

/// A restarted instance that hears no leader gives what it recovered to a
/// process that holds an older version.
static void
test_recovered_config_reaches_older_version(void)
{
    struct subscriber *subscriber = create_slow_site(4);
    struct control_fixture *fixture = &subscriber->fixture;
    struct control_simulation *simulation = &fixture->simulation;
    struct SlVersion held = {.term = 1, .index = 1};
    struct SlVersion recovered;

    for (uint32_t i = 0; i < INSTANCES; i++) {
        simulation_crash_node(simulation, i);
    }
    fixture_start_node(fixture, 0);
    recovered = SlControl_AppliedVersion(simulation->nodes[0].control);
    CU_ASSERT(SlVersion_Compare(recovered, held) > 0);
    subscribe_at(subscriber, 0);
    subscriber->version = held;
    simulation_send_message(
        simulation, 0, subscriber->link,
        &(struct SlMessage){.kind = SL_MESSAGE_SUBSCRIBE,
                            .subscribe = {.version = held}});
    fixture_run(fixture, 30);
    CU_ASSERT_EQUAL(SlVersion_Compare(subscriber->version, recovered), 0);
    CU_ASSERT(subscriber->outdated_parts > 0);
    simulation_destroy(simulation);
    free(subscriber);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"committed changes are passed on without a lease",
         test_committed_changes_are_passed_on_without_lease},
        {"a recovered configuration reaches an older version",
         test_recovered_config_reaches_older_version},
    };

    return RUN_SUITE("control publish", CASES);
}
