/* The replicated log under random faults from fixed seeds. The invariants of
 * the log are checked after every step. */

#include "control_simulation.h"
#include "test.h"

enum {
    SCHEDULES = 1000,
    UNSYNCED_DISK_SCHEDULES = 400,
    FAULT_STEPS = 300,
    HEAL_STEPS = 200,
    REQUESTS_MAX = 400,
    TERMS_MAX = 1000,
    RECORDS_MAX = 2000,
    CLIENT = 7,
    /// Records of a learner's log, and a time after which it tries again to
    /// write to a disk that was full.
    LEARNER_RECORDS = 3,
    DISK_RETRY_US = 1000 * 1000,
    /// Client id of requests for membership changes.
    MEMBER_CLIENT = 9,
    /// Number of steps after an accepted change, after which no instance may
    /// report the state before the change as current: the leader's lease plus
    /// the maximum message delay.
    FRESHNESS_LIMIT_STEPS =
        (SIMULATION_ELECTION_US * 3 / 4 + SIMULATION_MAX_DELAY_US) /
            SIMULATION_STEP_US +
        2,
    /// The same for a state that is passed on as recent: at most 1.5 s old.
    RECENT_LIMIT_STEPS =
        (1500 * 1000 + SIMULATION_MAX_DELAY_US) / SIMULATION_STEP_US + 2,
};

/// A change that an operator requested.
struct request {
    struct SlChange change;
    bool answered;
    struct SlVersion version;
    uint32_t asked_at;
};

/// One run with random faults, and the state that the invariant checks need.
struct schedule {
    struct control_simulation simulation;
    uint64_t operator_link[SIMULATION_NODES_MAX];
    uint32_t request_count;
    struct request requests[REQUESTS_MAX];
    /// Per term: index of its leader plus 1; 0 when there was none.
    uint64_t leader_of[TERMS_MAX];
    /// Per log index: term of the applied record; 0 when none was applied.
    uint64_t term_of[RECORDS_MAX];
    struct SlVersion applied[SIMULATION_NODES_MAX];
    struct SlVersion newest_accepted;
    /// The newest accepted version at the end of each of the last steps.
    uint32_t steps;
    struct SlVersion accepted_by_step[RECENT_LIMIT_STEPS];
    /// The last node whose data folder was wiped, and the version at which the
    /// log had promoted it before that.
    uint32_t wiped_node;
    struct SlVersion wiped_promotion;
    uint64_t wipes;
    /// The schedule changes the membership instead of wiping data folders.
    bool changes_members;
    /// Disks also fail with I/O errors for a while.
    bool fails_io;
    /// All nodes are restarted when the faults end. Otherwise only those that
    /// are down are started.
    bool restarts_all;
    uint64_t member_requests;
    const char *violation;
};

static void
report_violation(struct schedule *schedule, const char *description)
{
    if (schedule->violation == NULL) {
        schedule->violation = description;
    }
}

static void
handle_result(struct schedule *schedule, uint64_t number,
              const struct SlResult *result)
{
    struct request *request = &schedule->requests[number - 1];

    if (result->version.index == 0) {
        return;
    }
    if (request->answered &&
        SlVersion_Compare(request->version, result->version) != 0) {
        report_violation(schedule, "a request ran twice");
    }
    request->answered = true;
    request->version = result->version;
    if (SlVersion_Compare(result->version, schedule->newest_accepted) > 0) {
        schedule->newest_accepted = result->version;
    }
}

static void
handle_outside_message(struct control_simulation *simulation, uint32_t from,
                       uint64_t link, const struct SlMessage *message)
{
    struct schedule *schedule = simulation->context;

    (void)from;
    (void)link;
    if (message->kind == SL_MESSAGE_RESULT &&
        message->result.client == CLIENT) {
        handle_result(schedule, message->result.request,
                      &message->result.result);
    }
}

/// The newest version that had been accepted so many steps ago.
static struct SlVersion
accepted_before(const struct schedule *schedule, uint32_t steps)
{
    uint32_t index = schedule->steps + RECENT_LIMIT_STEPS - steps;

    return schedule->accepted_by_step[index % RECENT_LIMIT_STEPS];
}

static void
check_node(struct schedule *schedule, uint32_t index)
{
    struct control_simulation *simulation = &schedule->simulation;
    const struct SlControl *control = simulation->nodes[index].control;
    struct SlVersion applied = SlControl_AppliedVersion(control);
    uint64_t term = SlControl_CurrentTerm(control);
    bool is_leader = SlControl_State(control) == SL_CONTROL_LEADER;

    if (SlVersion_Compare(applied, schedule->applied[index]) < 0) {
        report_violation(schedule, "an applied version decreased");
    }
    schedule->applied[index] = applied;
    if (applied.index < RECORDS_MAX && applied.index > 0) {
        if (schedule->term_of[applied.index] == 0) {
            schedule->term_of[applied.index] = applied.term;
        }
        if (schedule->term_of[applied.index] != applied.term) {
            report_violation(schedule, "two different records at one index");
        }
    }
    if (is_leader && term < TERMS_MAX) {
        if (schedule->leader_of[term] == 0) {
            schedule->leader_of[term] = index + 1;
        }
        if (schedule->leader_of[term] != index + 1) {
            report_violation(schedule, "two leaders in one term");
        }
    }
    if (is_leader && SlControl_IsFresh(control, simulation->now_us) &&
        SlVersion_Compare(applied, schedule->newest_accepted) < 0) {
        report_violation(schedule, "a leader lacks an accepted change");
    }
    if (SlControl_IsFresh(control, simulation->now_us) &&
        SlVersion_Compare(
            applied, accepted_before(schedule, FRESHNESS_LIMIT_STEPS)) < 0) {
        report_violation(schedule, "an outdated state is reported as current");
    }
    if (SlControl_IsRecent(control, simulation->now_us) &&
        SlVersion_Compare(applied,
                          accepted_before(schedule, RECENT_LIMIT_STEPS)) < 0) {
        report_violation(schedule, "an old state is reported as recent");
    }
}

static void
check_invariants(struct schedule *schedule)
{
    struct control_simulation *simulation = &schedule->simulation;
    uint32_t fresh_leaders = 0;

    for (uint32_t i = 0; i < simulation->count; i++) {
        const struct simulated_node *node = &simulation->nodes[i];

        if (!simulation_is_alive(node)) {
            schedule->applied[i] = (struct SlVersion){.term = 0};
            continue;
        }
        check_node(schedule, i);
        fresh_leaders += SlControl_State(node->control) == SL_CONTROL_LEADER &&
                         SlControl_IsFresh(node->control, simulation->now_us);
    }
    if (fresh_leaders > 1) {
        report_violation(schedule, "two leaders with a lease");
    }
    schedule->accepted_by_step[schedule->steps % RECENT_LIMIT_STEPS] =
        schedule->newest_accepted;
    schedule->steps++;
}

static void
start_schedule_node(struct schedule *schedule, uint32_t index)
{
    schedule->applied[index] = (struct SlVersion){.term = 0};
    if (simulation_start_node(&schedule->simulation, index) != SL_OK) {
        report_violation(schedule, "a node failed to start");
        return;
    }
    schedule->operator_link[index] =
        simulation_connect(&schedule->simulation, index, "operator", 0);
}

static void
send_request(struct schedule *schedule, uint32_t request, uint32_t index)
{
    struct SlMessage message = {.kind = SL_MESSAGE_CHANGE,
                                .change = schedule->requests[request].change};

    simulation_send_message(&schedule->simulation, index,
                            schedule->operator_link[index], &message);
}

static void
send_new_request(struct schedule *schedule)
{
    struct control_simulation *simulation = &schedule->simulation;
    uint32_t leader = simulation_leader(simulation);
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
    if (leader == simulation->count || simulation_random(simulation, 8) == 0) {
        leader = (uint32_t)simulation_random(simulation, simulation->count);
    }
    send_request(schedule, schedule->request_count - 1, leader);
}

/// Sends an earlier request again, to a random node.
static void
resend_old_request(struct schedule *schedule)
{
    struct control_simulation *simulation = &schedule->simulation;

    if (schedule->request_count > 0) {
        send_request(
            schedule,
            (uint32_t)simulation_random(simulation, schedule->request_count),
            (uint32_t)simulation_random(simulation, simulation->count));
    }
}

/// True when the log has promoted the wiped node again after the wipe.
static bool
is_repaired(const struct schedule *schedule)
{
    const struct control_simulation *simulation = &schedule->simulation;

    return SlVersion_Compare(
               simulation->promotion_version[schedule->wiped_node],
               schedule->wiped_promotion) > 0;
}

static void
wipe_node(struct schedule *schedule, uint32_t index)
{
    struct control_simulation *simulation = &schedule->simulation;

    if (simulation->count < 3 || schedule->newest_accepted.index == 0 ||
        (schedule->wipes > 0 && !is_repaired(schedule))) {
        return;
    }
    simulation_crash_node(simulation, index);
    simulation_wipe_node(simulation, index);
    simulation->nodes[index].bootstrap = simulation_random(simulation, 2) == 0;
    schedule->wiped_node = index;
    schedule->wiped_promotion = simulation->promotion_version[index];
    schedule->wipes++;
    start_schedule_node(schedule, index);
}

static bool
is_member(const struct control_simulation *simulation, uint32_t leader,
          uint32_t index, uint32_t *count)
{
    struct SlControlMember members[SL_MEMBERS_CONTROL_MAX];

    *count = SlControl_Members(simulation->nodes[leader].control, members,
                               SL_MEMBERS_CONTROL_MAX);
    for (uint32_t i = 0; i < *count; i++) {
        if (members[i].node_id == simulation->nodes[index].node_id) {
            return true;
        }
    }
    return false;
}

static void
request_member_change(struct schedule *schedule, uint32_t leader,
                      enum SlVerb verb, uint32_t index)
{
    struct control_simulation *simulation = &schedule->simulation;
    struct SlMessage message = {
        .kind = SL_MESSAGE_CHANGE,
        .change = {.client = MEMBER_CLIENT,
                   .request = ++schedule->member_requests,
                   .base = schedule->newest_accepted,
                   .verb = verb,
                   .object = {.kind = SL_KIND_NODE}}};

    memcpy(message.change.object.name, simulation->nodes[index].name,
           sizeof(message.change.object.name));
    simulation_send_message(simulation, leader,
                            schedule->operator_link[leader], &message);
}

/// Requests to remove a member, or to add one that was removed. At least two
/// members remain.
static void
change_members(struct schedule *schedule, uint32_t index)
{
    struct control_simulation *simulation = &schedule->simulation;
    uint32_t leader = simulation_leader(simulation);
    uint32_t count;

    if (leader == simulation->count) {
        return;
    }
    if (!is_member(simulation, leader, index, &count)) {
        request_member_change(schedule, leader, SL_VERB_MEMBER_ADD, index);
    }
    else if (count > 2) {
        request_member_change(schedule, leader, SL_VERB_MEMBER_REMOVE, index);
    }
}

/// Requests to add removed members again. Returns true when all nodes are
/// voters.
static bool
restore_members(struct schedule *schedule)
{
    struct control_simulation *simulation = &schedule->simulation;
    uint32_t leader = simulation_leader(simulation);
    struct SlControlMember members[SL_MEMBERS_CONTROL_MAX];
    uint32_t voters = 0;
    uint32_t count;

    if (leader == simulation->count) {
        return false;
    }
    for (uint32_t i = 0; i < simulation->count; i++) {
        if (!is_member(simulation, leader, i, &count)) {
            request_member_change(schedule, leader, SL_VERB_MEMBER_ADD, i);
        }
    }
    count = SlControl_Members(simulation->nodes[leader].control, members,
                              SL_MEMBERS_CONTROL_MAX);
    for (uint32_t i = 0; i < count; i++) {
        voters += members[i].is_voter;
    }
    return voters == simulation->count;
}

/// Injects one random fault, or none.
static void
inject_random_fault(struct schedule *schedule)
{
    struct control_simulation *simulation = &schedule->simulation;
    uint32_t index =
        (uint32_t)simulation_random(simulation, simulation->count);
    struct simulated_node *node = &simulation->nodes[index];

    switch (simulation_random(simulation, 80)) {
    case 0:
        simulation_crash_node(simulation, index);
        break;
    case 1:
        node->storage->writes_until_crash =
            1 + (uint32_t)simulation_random(simulation, 6);
        node->storage->crash_write_seed =
            (uint32_t)simulation_random(simulation, 100);
        break;
    case 2:
        node->is_partitioned = true;
        break;
    case 3:
    case 4:
        node->is_partitioned = false;
        break;
    case 5:
        node->storage->disk_full = !node->storage->disk_full;
        break;
    case 13:
        node->storage->io_fails = schedule->fails_io;
        break;
    case 14:
    case 15:
    case 16:
    case 17:
    case 18:
    case 19:
    case 20:
    case 21:
        node->storage->io_fails = false;
        break;
    case 6:
        simulation_unlink(simulation, index, (index + 1) % simulation->count);
        break;
    case 7:
        node->wall_offset_us = simulation_random(simulation, 1u << 30);
        break;
    case 8:
        if (schedule->changes_members) {
            change_members(schedule, index);
        }
        else {
            wipe_node(schedule, index);
        }
        break;
    case 12:
        simulation_handle_input(simulation, index,
                                (struct SlInput){.kind = SL_INPUT_STOP});
        simulation_run(simulation, 2);
        simulation_crash_node(simulation, index);
        break;
    case 9:
    case 10:
    case 11:
        if (node->control == NULL) {
            start_schedule_node(schedule, index);
        }
        break;
    default:
        break;
    }
}

static bool
is_settled(struct schedule *schedule)
{
    struct control_simulation *simulation = &schedule->simulation;
    struct SlVersion version;

    if (simulation_leader(simulation) == simulation->count ||
        (schedule->wipes > 0 && !is_repaired(schedule)) ||
        !restore_members(schedule)) {
        return false;
    }
    version = SlControl_AppliedVersion(
        simulation->nodes[simulation_leader(simulation)].control);
    for (uint32_t i = 0; i < simulation->count; i++) {
        if (!simulation_is_alive(&simulation->nodes[i]) ||
            SlVersion_Compare(
                SlControl_AppliedVersion(simulation->nodes[i].control),
                version) != 0) {
            return false;
        }
    }
    return true;
}

static void
end_faults(struct schedule *schedule)
{
    struct control_simulation *simulation = &schedule->simulation;

    for (uint32_t i = 0; i < simulation->count; i++) {
        struct simulated_node *node = &simulation->nodes[i];

        if (schedule->restarts_all) {
            simulation_crash_node(simulation, i);
        }
        node->is_partitioned = false;
        node->storage->disk_full = false;
        node->storage->io_fails = false;
        node->storage->writes_until_crash = 0;
        node->storage->loss = FAULT_LOSS_NONE;
        if (node->control == NULL) {
            start_schedule_node(schedule, i);
        }
    }
    for (uint32_t i = 0; i < HEAL_STEPS && !is_settled(schedule); i++) {
        simulation_step(simulation);
        check_invariants(schedule);
    }
    if (!is_settled(schedule)) {
        report_violation(schedule, "no recovery after the faults ended");
    }
}

/// Checks that every node holds every accepted change.
static void
check_accepted(struct schedule *schedule)
{
    for (uint32_t r = 0; r < schedule->request_count; r++) {
        const struct request *request = &schedule->requests[r];

        for (uint32_t i = 0; i < schedule->simulation.count; i++) {
            const struct SlConfig *config =
                SlControl_Config(schedule->simulation.nodes[i].control);
            const struct SlObject *object = SlConfig_FindObject(
                config, SL_KIND_ZONE, request->change.object.name);

            if (request->answered &&
                (object == NULL ||
                 SlVersion_Compare(object->modified, request->version) != 0)) {
                report_violation(schedule, "an accepted change is lost");
            }
        }
    }
}

static struct schedule *
run_schedule(uint64_t seed, enum fault_loss lie)
{
    static const uint32_t SIZES[] = {3, 7, 5, 1};
    struct schedule *schedule = calloc(1, sizeof(*schedule));
    struct control_simulation *simulation = &schedule->simulation;

    simulation_create(simulation, SIZES[seed % 4], seed);
    simulation->on_outside_message = handle_outside_message;
    simulation->context = schedule;
    schedule->changes_members = seed / 4 % 2 == 1;
    schedule->fails_io = seed / 16 % 2 == 1;
    schedule->restarts_all = seed / 8 % 2 == 1 || lie != FAULT_LOSS_NONE;
    for (uint32_t i = 0; i < simulation->count; i++) {
        simulation->nodes[i].storage->loss = lie;
        start_schedule_node(schedule, i);
    }
    simulation_await_leader(simulation, 60);
    for (uint32_t i = 0; i < FAULT_STEPS && schedule->violation == NULL; i++) {
        inject_random_fault(schedule);
        if (simulation_random(simulation, 2) == 0) {
            send_new_request(schedule);
        }
        if (simulation_random(simulation, 4) == 0) {
            resend_old_request(schedule);
        }
        simulation_step(simulation);
        check_invariants(schedule);
    }
    if (schedule->violation == NULL) {
        end_faults(schedule);
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
    simulation_destroy(&schedule->simulation);
    free(schedule);
}

static void
test_schedules(void)
{
    const char *only_seed = getenv("SEED");
    uint64_t first = only_seed ? strtoull(only_seed, NULL, 10) : 1;
    uint64_t last = only_seed ? first : SCHEDULES;
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
        elections += schedule->simulation.events[SL_EVENT_ELECTED];
        snapshots += schedule->simulation.events[SL_EVENT_SNAPSHOT];
        member_requests += schedule->member_requests;
        free_schedule(schedule);
    }
    printf("schedules: %llu accepted, %llu wiped folders, %llu elections, "
           "%llu snapshots, %llu membership requests\n",
           (unsigned long long)accepted, (unsigned long long)wipes,
           (unsigned long long)elections, (unsigned long long)snapshots,
           (unsigned long long)member_requests);
    CU_ASSERT(only_seed != NULL || accepted > 20u * SCHEDULES);
    CU_ASSERT(only_seed != NULL || wipes > SCHEDULES / 10);
}

/// Number of schedules, out of the first UNSYNCED_DISK_SCHEDULES seeds, in
/// which the checks detect a disk that reports writes as durable when they are
/// not.
static uint32_t
count_detected(enum fault_loss lie, const char *violation)
{
    uint32_t detected = 0;

    if (getenv("SEED") != NULL) {
        return 1;
    }
    for (uint64_t seed = 1; seed <= UNSYNCED_DISK_SCHEDULES; seed++) {
        struct schedule *schedule = run_schedule(seed, lie);

        detected += schedule->violation != NULL &&
                    strcmp(schedule->violation, violation) == 0;
        free_schedule(schedule);
    }
    return detected;
}

static void
test_unsynced_votes_are_detected(void)
{
    uint32_t detected =
        count_detected(FAULT_LOSS_VOTE, "two leaders in one term");

    printf("votes without sync: detected in %u of %u schedules\n", detected,
           UNSYNCED_DISK_SCHEDULES);
    CU_ASSERT(detected > 0);
}

static void
test_unsynced_records_are_detected(void)
{
    uint32_t detected =
        count_detected(FAULT_LOSS_SYNC, "an accepted change is lost");

    printf("records without sync: detected in %u of %u schedules\n", detected,
           UNSYNCED_DISK_SCHEDULES);
    CU_ASSERT(detected > 0);
}

/// Passes node 0 records that do nothing, after previous, as node 1 that
/// leads.
static void
send_records(struct control_simulation *simulation, uint64_t link,
             uint64_t term, struct SlVersion previous, uint32_t count,
             uint64_t commit)
{
    struct SlChange noop = {.verb = SL_VERB_NOOP};
    struct SlLogEntry entries[LEARNER_RECORDS];
    struct SlBuffer data = {.bytes = NULL};
    struct SlMessage message = {.kind = SL_MESSAGE_APPEND,
                                .append = {.term = term,
                                           .previous = previous,
                                           .commit = commit,
                                           .entry_count = count,
                                           .entries = entries}};

    CU_ASSERT_EQUAL_FATAL(SlChange_Encode(&noop, &data), SL_OK);
    for (uint32_t i = 0; i < count; i++) {
        entries[i] =
            (struct SlLogEntry){.term = term,
                                .index = previous.index + 1 + i,
                                .data = data.bytes,
                                .data_bytes = (uint32_t)data.length_bytes};
    }
    simulation_send_message(simulation, 0, link, &message);
    simulation_flush(simulation, 0);
    SlBuffer_Release(&data);
}

/// A learner whose full disk keeps a former leader's records is not caught up
/// by them, but by the leader's own.
static void
test_stale_records_do_not_catch_up(void)
{
    struct control_simulation *simulation = calloc(1, sizeof(*simulation));
    struct SlVersion none = {.index = 0};
    struct SlVersion first = {.term = 1, .index = 1};
    struct fault_storage *storage;
    uint64_t link;

    simulation_create(simulation, 2, 1);
    simulation->nodes[0].bootstrap = false;
    storage = simulation->nodes[0].storage;
    CU_ASSERT_EQUAL_FATAL(simulation_start_node(simulation, 0), SL_OK);
    link = simulation_connect(simulation, 0, simulation->nodes[1].name,
                              SL_ROLE_CONTROL);
    send_records(simulation, link, 1, none, LEARNER_RECORDS, 0);
    CU_ASSERT_EQUAL(storage->synced_index, LEARNER_RECORDS);
    send_records(simulation, link, 2, none, 0, 0);
    CU_ASSERT_EQUAL(storage->durable_state.term, 2);
    storage->disk_full = true;
    send_records(simulation, link, 2, first, LEARNER_RECORDS - 1,
                 LEARNER_RECORDS);
    CU_ASSERT_EQUAL(storage->synced_index, LEARNER_RECORDS);
    storage->disk_full = false;
    simulation->now_us += DISK_RETRY_US;
    simulation_handle_input(simulation, 0,
                            (struct SlInput){.kind = SL_INPUT_TICK});
    CU_ASSERT_FALSE(storage->durable_state.caught_up);
    send_records(simulation, link, 2, first, LEARNER_RECORDS - 1,
                 LEARNER_RECORDS);
    CU_ASSERT(storage->durable_state.caught_up);
    simulation_destroy(simulation);
    free(simulation);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"invariants hold under random faults", test_schedules},
        {"votes without sync are detected", test_unsynced_votes_are_detected},
        {"records without sync are detected",
         test_unsynced_records_are_detected},
        {"stale records do not catch up a learner",
         test_stale_records_do_not_catch_up},
    };

    return RUN_SUITE("raft", CASES);
}
