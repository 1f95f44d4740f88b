/* The replicated log under scripted faults: fixed seeds, and what must hold
 * is checked after each step. */

#include "control_simulation.h"
#include "test.h"

enum {
    SCHEDULES = 1000,
    LYING_SCHEDULES = 400,
    FAULT_STEPS = 300,
    HEAL_STEPS = 200,
    REQUESTS_MAX = 400,
    TERMS_MAX = 1000,
    RECORDS_MAX = 2000,
    CLIENT = 7,
    /// Asks for membership changes.
    MEMBER_CLIENT = 9,
    /// Steps after which no instance may pass an older state off as current:
    /// the leader's lease, and the longest way of a message.
    FRESH_STEPS =
        (WORLD_ELECTION_US * 3 / 4 + WORLD_DELAY_US) / SIMULATION_STEP_US + 2,
};

/// A change that an operator asked for.
struct request {
    struct SlChange change;
    bool answered;
    struct SlVersion version;
    uint32_t asked_at;
};

/// One schedule with all that the checker remembers.
struct schedule {
    struct control_simulation world;
    uint64_t operator_link[WORLD_NODES_MAX];
    uint32_t request_count;
    struct request requests[REQUESTS_MAX];
    uint64_t leader_of[TERMS_MAX];
    uint64_t term_of[RECORDS_MAX];
    struct SlVersion applied[WORLD_NODES_MAX];
    struct SlVersion newest_accepted;
    /// What was accepted by the end of each of the last steps.
    uint32_t steps;
    struct SlVersion accepted_at[FRESH_STEPS];
    /// The last node whose folder was wiped, and where the log had promoted
    /// it before.
    uint32_t wiped;
    struct SlVersion wiped_at;
    uint64_t wipes;
    /// Membership changes take the place of wiped folders.
    bool changes_members;
    uint64_t member_requests;
    const char *violation;
};

static void
violate(struct schedule *schedule, const char *what)
{
    if (schedule->violation == NULL) {
        schedule->violation = what;
    }
}

static void
on_result(struct schedule *schedule, uint64_t number,
          const struct SlResult *result)
{
    struct request *request = &schedule->requests[number - 1];

    if (result->version.index == 0) {
        return;
    }
    if (request->answered &&
        SlVersion_Compare(request->version, result->version) != 0) {
        violate(schedule, "a request ran twice");
    }
    request->answered = true;
    request->version = result->version;
    if (SlVersion_Compare(result->version, schedule->newest_accepted) > 0) {
        schedule->newest_accepted = result->version;
    }
}

static void
on_outside(struct control_simulation *world, uint32_t from, uint64_t link,
           const struct SlMessage *message)
{
    struct schedule *schedule = world->context;

    (void)from;
    (void)link;
    if (message->kind == SL_MESSAGE_RESULT &&
        message->result.client == CLIENT) {
        on_result(schedule, message->result.request, &message->result.result);
    }
}

static void
check_node(struct schedule *schedule, uint32_t at)
{
    struct control_simulation *world = &schedule->world;
    const struct SlControl *control = world->nodes[at].control;
    struct SlVersion applied = SlControl_Applied(control);
    uint64_t term = SlControl_Term(control);
    bool leads = SlControl_State(control) == SL_CONTROL_LEADER;

    if (SlVersion_Compare(applied, schedule->applied[at]) < 0) {
        violate(schedule, "a version went back");
    }
    schedule->applied[at] = applied;
    if (applied.index < RECORDS_MAX && applied.index > 0) {
        if (schedule->term_of[applied.index] == 0) {
            schedule->term_of[applied.index] = applied.term;
        }
        if (schedule->term_of[applied.index] != applied.term) {
            violate(schedule, "two records at one index");
        }
    }
    if (leads && term < TERMS_MAX) {
        if (schedule->leader_of[term] == 0) {
            schedule->leader_of[term] = at + 1;
        }
        if (schedule->leader_of[term] != at + 1) {
            violate(schedule, "two leaders in one term");
        }
    }
    if (leads && SlControl_IsFresh(control, world->now_us) &&
        SlVersion_Compare(applied, schedule->newest_accepted) < 0) {
        violate(schedule, "a leader lacks an accepted change");
    }
    if (SlControl_IsFresh(control, world->now_us) &&
        SlVersion_Compare(
            applied, schedule->accepted_at[schedule->steps % FRESH_STEPS]) <
            0) {
        violate(schedule, "an old state is given out as current");
    }
}

static void
check(struct schedule *schedule)
{
    struct control_simulation *world = &schedule->world;
    uint32_t fresh_leaders = 0;

    for (uint32_t i = 0; i < world->count; i++) {
        const struct world_node *node = &world->nodes[i];

        if (!world_alive(node)) {
            schedule->applied[i] = (struct SlVersion){.term = 0};
            continue;
        }
        check_node(schedule, i);
        fresh_leaders += SlControl_State(node->control) == SL_CONTROL_LEADER &&
                         SlControl_IsFresh(node->control, world->now_us);
    }
    if (fresh_leaders > 1) {
        violate(schedule, "two leaders with a lease");
    }
    schedule->accepted_at[schedule->steps % FRESH_STEPS] =
        schedule->newest_accepted;
    schedule->steps++;
}

static void
fixture_start_node(struct schedule *schedule, uint32_t at)
{
    schedule->applied[at] = (struct SlVersion){.term = 0};
    if (simulation_start_node(&schedule->world, at) != SL_OK) {
        violate(schedule, "a node does not start");
        return;
    }
    schedule->operator_link[at] =
        simulation_connect(&schedule->world, at, "operator", 0);
}

static void
ask(struct schedule *schedule, uint32_t request, uint32_t at)
{
    struct SlMessage message = {.kind = SL_MESSAGE_CHANGE,
                                .change = schedule->requests[request].change};

    simulation_send_message(&schedule->world, at, schedule->operator_link[at],
                            &message);
}

static void
ask_new(struct schedule *schedule)
{
    struct control_simulation *world = &schedule->world;
    uint32_t leader = simulation_leader(world);
    struct request *request;

    if (schedule->request_count == REQUESTS_MAX) {
        return;
    }
    request = &schedule->requests[schedule->request_count++];
    request->change = (struct SlChange){.client = CLIENT,
                                        .request = schedule->request_count,
                                        .base = schedule->newest_accepted,
                                        .verb = SL_VERB_CREATE,
                                        .object = {.kind = SL_KIND_ZONE}};
    snprintf(request->change.object.name, SL_NAME_BYTES, "zone-%u",
             schedule->request_count);
    if (leader == world->count || simulation_random(world, 8) == 0) {
        leader = (uint32_t)simulation_random(world, world->count);
    }
    ask(schedule, schedule->request_count - 1, leader);
}

/// Sends an old request again, to any node.
static void
ask_again(struct schedule *schedule)
{
    struct control_simulation *world = &schedule->world;

    if (schedule->request_count > 0) {
        ask(schedule,
            (uint32_t)simulation_random(world, schedule->request_count),
            (uint32_t)simulation_random(world, world->count));
    }
}

/// True when the log has promoted the wiped node again since.
static bool
is_repaired(const struct schedule *schedule)
{
    const struct control_simulation *world = &schedule->world;

    return SlVersion_Compare(world->promoted[schedule->wiped],
                             schedule->wiped_at) > 0;
}

static void
wipe(struct schedule *schedule, uint32_t at)
{
    struct control_simulation *world = &schedule->world;

    if (world->count < 3 || schedule->newest_accepted.index == 0 ||
        (schedule->wipes > 0 && !is_repaired(schedule))) {
        return;
    }
    simulation_crash_node(world, at);
    simulation_wipe_node(world, at);
    world->nodes[at].bootstrap = simulation_random(world, 2) == 0;
    schedule->wiped = at;
    schedule->wiped_at = world->promoted[at];
    schedule->wipes++;
    fixture_start_node(schedule, at);
}

static bool
is_member(const struct control_simulation *world, uint32_t leader, uint32_t at,
          uint32_t *count)
{
    struct SlControlMember members[SL_MEMBERS_CONTROL_MAX];

    *count = SlControl_Members(world->nodes[leader].control, members,
                               SL_MEMBERS_CONTROL_MAX);
    for (uint32_t i = 0; i < *count; i++) {
        if (members[i].node_id == world->nodes[at].node_id) {
            return true;
        }
    }
    return false;
}

static void
ask_member(struct schedule *schedule, uint32_t leader, enum SlVerb verb,
           uint32_t at)
{
    struct control_simulation *world = &schedule->world;
    struct SlMessage message = {
        .kind = SL_MESSAGE_CHANGE,
        .change = {.client = MEMBER_CLIENT,
                   .request = ++schedule->member_requests,
                   .base = schedule->newest_accepted,
                   .verb = verb,
                   .object = {.kind = SL_KIND_NODE}}};

    memcpy(message.change.object.name, world->nodes[at].name,
           sizeof(message.change.object.name));
    simulation_send_message(world, leader, schedule->operator_link[leader],
                            &message);
}

/// Removes a member, or adds one that was removed. Two members stay.
static void
change_members(struct schedule *schedule, uint32_t at)
{
    struct control_simulation *world = &schedule->world;
    uint32_t leader = simulation_leader(world);
    uint32_t count;

    if (leader == world->count) {
        return;
    }
    if (!is_member(world, leader, at, &count)) {
        ask_member(schedule, leader, SL_VERB_MEMBER_ADD, at);
    }
    else if (count > 2) {
        ask_member(schedule, leader, SL_VERB_MEMBER_REMOVE, at);
    }
}

/// Adds what was removed; true when all are voters.
static bool
restore_members(struct schedule *schedule)
{
    struct control_simulation *world = &schedule->world;
    uint32_t leader = simulation_leader(world);
    struct SlControlMember members[SL_MEMBERS_CONTROL_MAX];
    uint32_t voters = 0;
    uint32_t count;

    if (leader == world->count) {
        return false;
    }
    for (uint32_t i = 0; i < world->count; i++) {
        if (!is_member(world, leader, i, &count)) {
            ask_member(schedule, leader, SL_VERB_MEMBER_ADD, i);
        }
    }
    count = SlControl_Members(world->nodes[leader].control, members,
                              SL_MEMBERS_CONTROL_MAX);
    for (uint32_t i = 0; i < count; i++) {
        voters += members[i].voter;
    }
    return voters == world->count;
}

/// One random fault, or none.
static void
disturb(struct schedule *schedule)
{
    struct control_simulation *world = &schedule->world;
    uint32_t at = (uint32_t)simulation_random(world, world->count);
    struct world_node *node = &world->nodes[at];

    switch (simulation_random(world, 80)) {
    case 0:
        simulation_crash_node(world, at);
        break;
    case 1:
        node->storage->writes_until_crash =
            1 + (uint32_t)simulation_random(world, 6);
        node->storage->crash_write_seed =
            (uint32_t)simulation_random(world, 100);
        break;
    case 2:
        node->cut = true;
        break;
    case 3:
    case 4:
        node->cut = false;
        break;
    case 5:
        node->storage->disk_full = !node->storage->disk_full;
        break;
    case 6:
        simulation_unlink(world, at, (at + 1) % world->count);
        break;
    case 7:
        node->wall_offset_us = simulation_random(world, 1u << 30);
        break;
    case 8:
        if (schedule->changes_members) {
            change_members(schedule, at);
        }
        else {
            wipe(schedule, at);
        }
        break;
    case 12:
        world_input(world, at, (struct SlInput){.kind = SL_INPUT_STOP});
        simulation_run(world, 2);
        simulation_crash_node(world, at);
        break;
    case 9:
    case 10:
    case 11:
        if (node->control == NULL) {
            fixture_start_node(schedule, at);
        }
        break;
    default:
        break;
    }
}

static bool
is_settled(struct schedule *schedule)
{
    struct control_simulation *world = &schedule->world;
    struct SlVersion version;

    if (simulation_leader(world) == world->count ||
        (schedule->wipes > 0 && !is_repaired(schedule)) ||
        !restore_members(schedule)) {
        return false;
    }
    version =
        SlControl_Applied(world->nodes[simulation_leader(world)].control);
    for (uint32_t i = 0; i < world->count; i++) {
        if (!world_alive(&world->nodes[i]) ||
            SlVersion_Compare(SlControl_Applied(world->nodes[i].control),
                              version) != 0) {
            return false;
        }
    }
    return true;
}

static void
heal(struct schedule *schedule)
{
    struct control_simulation *world = &schedule->world;

    for (uint32_t i = 0; i < world->count; i++) {
        struct world_node *node = &world->nodes[i];

        /* A full disk may have stopped storage; a restart mends that. */
        simulation_crash_node(world, i);
        node->cut = false;
        node->storage->disk_full = false;
        node->storage->writes_until_crash = 0;
        node->storage->loss = FAULT_LOSS_NONE;
        fixture_start_node(schedule, i);
    }
    for (uint32_t i = 0; i < HEAL_STEPS && !is_settled(schedule); i++) {
        simulation_step(world);
        check(schedule);
    }
    if (!is_settled(schedule)) {
        violate(schedule, "no recovery after the faults ended");
    }
}

/// Every accepted change is there, at every node.
static void
check_accepted(struct schedule *schedule)
{
    for (uint32_t r = 0; r < schedule->request_count; r++) {
        const struct request *request = &schedule->requests[r];

        for (uint32_t i = 0; i < schedule->world.count; i++) {
            const struct SlConfig *config =
                SlControl_Config(schedule->world.nodes[i].control);
            const struct SlObject *object = SlConfig_FindObject(
                config, SL_KIND_ZONE, request->change.object.name);

            if (request->answered &&
                (object == NULL ||
                 SlVersion_Compare(object->modified, request->version) != 0)) {
                violate(schedule, "an accepted change is lost");
            }
        }
    }
}

static struct schedule *
run_schedule(uint64_t seed, enum fault_loss lie)
{
    static const uint32_t SIZES[] = {3, 7, 5, 1};
    struct schedule *schedule = calloc(1, sizeof(*schedule));
    struct control_simulation *world = &schedule->world;

    simulation_create(world, SIZES[seed % 4], seed);
    world->outside = on_outside;
    world->context = schedule;
    schedule->changes_members = seed / 4 % 2 == 1;
    for (uint32_t i = 0; i < world->count; i++) {
        world->nodes[i].storage->loss = lie;
        fixture_start_node(schedule, i);
    }
    simulation_await_leader(world, 60);
    for (uint32_t i = 0; i < FAULT_STEPS && schedule->violation == NULL; i++) {
        disturb(schedule);
        if (simulation_random(world, 2) == 0) {
            ask_new(schedule);
        }
        if (simulation_random(world, 4) == 0) {
            ask_again(schedule);
        }
        simulation_step(world);
        check(schedule);
    }
    if (schedule->violation == NULL) {
        heal(schedule);
    }
    if (schedule->violation == NULL) {
        check_accepted(schedule);
    }
    return schedule;
}

static uint32_t
count_accepted(const struct schedule *schedule)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < schedule->request_count; i++) {
        count += schedule->requests[i].answered;
    }
    return count;
}

static void
free_schedule(struct schedule *schedule)
{
    simulation_destroy(&schedule->world);
    free(schedule);
}

static void
test_schedules(void)
{
    const char *only = getenv("SEED");
    uint64_t first = only ? strtoull(only, NULL, 10) : 1;
    uint64_t last = only ? first : SCHEDULES;
    uint64_t accepted = 0;
    uint64_t wipes = 0;
    uint64_t elections = 0;
    uint64_t snapshots = 0;
    uint64_t member_requests = 0;

    for (uint64_t seed = first; seed <= last; seed++) {
        struct schedule *schedule = run_schedule(seed, FAULT_LOSS_NONE);

        if (schedule->violation != NULL) {
            printf("seed %llu: %s\n", (unsigned long long)seed,
                   schedule->violation);
        }
        CU_ASSERT_PTR_NULL(schedule->violation);
        accepted += count_accepted(schedule);
        wipes += schedule->wipes;
        elections += schedule->world.events[SL_EVENT_ELECTED];
        snapshots += schedule->world.events[SL_EVENT_SNAPSHOT];
        member_requests += schedule->member_requests;
        free_schedule(schedule);
    }
    printf("schedules: %llu accepted, %llu wiped folders, %llu elections, "
           "%llu snapshots, %llu membership requests\n",
           (unsigned long long)accepted, (unsigned long long)wipes,
           (unsigned long long)elections, (unsigned long long)snapshots,
           (unsigned long long)member_requests);
    CU_ASSERT(only != NULL || accepted > 20u * SCHEDULES);
    CU_ASSERT(only != NULL || wipes > SCHEDULES / 10);
}

/// Schedules of the first seeds in which the checker saw a lying disk.
static uint32_t
count_caught(enum fault_loss lie, const char *violation)
{
    uint32_t caught = 0;

    if (getenv("SEED") != NULL) {
        return 1;
    }
    for (uint64_t seed = 1; seed <= LYING_SCHEDULES; seed++) {
        struct schedule *schedule = run_schedule(seed, lie);

        caught += schedule->violation != NULL &&
                  strcmp(schedule->violation, violation) == 0;
        free_schedule(schedule);
    }
    return caught;
}

static void
test_lying_vote_is_caught(void)
{
    uint32_t caught = count_caught(FAULT_LOSS_VOTE, "two leaders in one term");

    printf("votes without sync: caught in %u of %u schedules\n", caught,
           LYING_SCHEDULES);
    CU_ASSERT(caught > 0);
}

static void
test_lying_sync_is_caught(void)
{
    uint32_t caught =
        count_caught(FAULT_LOSS_SYNC, "an accepted change is lost");

    printf("records without sync: caught in %u of %u schedules\n", caught,
           LYING_SCHEDULES);
    CU_ASSERT(caught > 0);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"fault schedules", test_schedules},
        {"votes without sync are caught", test_lying_vote_is_caught},
        {"records without sync are caught", test_lying_sync_is_caught},
    };

    return RUN_SUITE("raft", CASES);
}
