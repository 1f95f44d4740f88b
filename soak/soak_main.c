/// Runs the soak for one seed: starts the processes, simulates callers and
/// upstreams and injects faults. The last line printed counts the violations.

#include <argtable2.h>
#include <arpa/inet.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "soak.h"

enum {
    LOOP_WAIT_US = 2 * 1000,
    /// Time before the first fault.
    WARM_UP_US = 4 * 1000 * 1000,
    /// Time after the last fault during which callers still open flows.
    RECOVERY_US = 14 * 1000 * 1000,
    FAULT_INTERVAL_MAX_US = 900 * 1000,
    FAULT_DURATION_RANGE_US = 4 * 1000 * 1000,
    /// Lengths of the alternating spans without and with faults of control
    /// processes, where some of them have no disk.
    CALM_SPAN_US = 25 * 1000 * 1000,
    DISTURBED_SPAN_US = 15 * 1000 * 1000,
    HOST_PAUSE_US = 300 * 1000,
    MIN_ANSWERED_PERCENT = 95,
    MIN_RECOVERED_PERCENT = 50,
    MEMORY_MAX_KB = 64 * 1024,
    DESCRIPTOR_GROWTH_MAX = 64,
    /// Range of the second address byte, 127.NET.0.0/16, that no other program
    /// of the project uses.
    FIRST_NET = 80,
    NET_COUNT = 100,
    CLAIM_PORT = 7999,
    EXIT_VIOLATIONS = 1,
    EXIT_USAGE = 2,
};

/// A paused process or a network fault, and the time at which it ends.
struct timed_fault {
    struct soak_node *node;
    uint64_t end_us;
    bool is_paused;
};

static struct soak soak;
static struct timed_fault timed_faults[SOAK_NODES_MAX];
static uint32_t timed_fault_count;

uint64_t
soak_random(struct soak *self, uint64_t below)
{
    /* Linear congruential generator; multiplier from Knuth, TAOCP 3.3.4. */
    self->random = self->random * 6364136223846793005u + 1442695040888963407u;
    return below != 0 ? (self->random >> 16) % below : 0;
}

static void
print_event(const char *kind, const char *format, va_list arguments)
{
    uint64_t elapsed_ms = (SlClock_Monotonic() - soak.start_us) / US_PER_MS;

    printf("%llu.%03llu %s ", (unsigned long long)(elapsed_ms / 1000),
           (unsigned long long)(elapsed_ms % 1000), kind);
    vprintf(format, arguments);
    printf("\n");
}

void
soak_report_violation(struct soak *self, const char *format, ...)
{
    va_list arguments;

    self->violations++;
    va_start(arguments, format);
    print_event("BROKEN", format, arguments);
    va_end(arguments);
}

void
soak_log_fault(struct soak *self, const char *format, ...)
{
    va_list arguments;

    (void)self;
    va_start(arguments, format);
    print_event("fault", format, arguments);
    va_end(arguments);
}

struct SlAddress
soak_address(const struct soak *self, uint32_t group, uint32_t number,
             uint16_t port)
{
    struct SlAddress address = {.port = port};

    address.ip[10] = 0xff;
    address.ip[11] = 0xff;
    address.ip[12] = 127;
    address.ip[13] = (uint8_t)self->net;
    address.ip[14] = (uint8_t)group;
    address.ip[15] = (uint8_t)number;
    return address;
}

static void
add_nodes(enum soak_role role, bool has_disk, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        soak_add_node(&soak, role, has_disk, i % SOAK_ZONES);
    }
}

uint64_t
soak_draw(const struct soak *self, uint64_t *state, uint64_t below)
{
    struct soak stream = {.random =
                              *state != 0 ? *state : self->seed * 40503u + 7};
    uint64_t drawn = soak_random(&stream, below);

    *state = stream.random;
    return drawn;
}

const struct soak_node *
soak_draw_control(const struct soak *self, uint64_t *state)
{
    const struct soak_node *node;

    do {
        node = &self->nodes[soak_draw(self, state, self->node_count)];
    } while (node->role != SOAK_CONTROL || node->is_removed);
    return node;
}

static void
end_timed_fault(struct timed_fault *fault)
{
    fault->node->last_fault_us = SlClock_Monotonic();
    if (fault->is_paused) {
        soak_signal_node(&soak, fault->node, SIGCONT);
    }
    else {
        proxy_set_fault(fault->node->number, PROXY_PASS);
    }
}

static void
end_due_faults(uint64_t now_us)
{
    for (uint32_t i = 0; i < timed_fault_count;) {
        if (now_us >= timed_faults[i].end_us) {
            end_timed_fault(&timed_faults[i]);
            timed_faults[i] = timed_faults[--timed_fault_count];
        }
        else {
            i++;
        }
    }
}

bool
soak_node_has_fault(const struct soak_node *node)
{
    for (uint32_t i = 0; i < timed_fault_count; i++) {
        if (timed_faults[i].node == node) {
            return true;
        }
    }
    return node->pid == 0 || node->is_stopping ||
           process_faults_is_active(node);
}

uint64_t
soak_calm_since_us(const struct soak *self)
{
    uint64_t last_us = 0;

    for (uint32_t i = 0; i < self->node_count; i++) {
        const struct soak_node *node = &self->nodes[i];

        if (node->role == SOAK_CONTROL && !node->is_removed &&
            soak_node_has_fault(node)) {
            return UINT64_MAX;
        }
        if (node->role == SOAK_CONTROL && node->last_fault_us > last_us) {
            last_us = node->last_fault_us;
        }
    }
    last_us += SOAK_CONTACT_US;
    return last_us > self->disturbed_until_us ? last_us
                                              : self->disturbed_until_us;
}

/// True while control processes may be disturbed. Where some of them have no
/// disk, the bounds of an undisturbed site are checked in between.
static bool
may_disturb_control(uint64_t now_us)
{
    return soak.diskless == 0 ||
           (now_us - soak.start_us) % (CALM_SPAN_US + DISTURBED_SPAN_US) >=
               CALM_SPAN_US;
}

/// True if the process may get a fault now. At most one control instance may
/// have a fault at a time, and another control instance may get a fault only 6
/// s after its end; entries and agents may have faults in any number.
static bool
may_inject_fault(const struct soak_node *node)
{
    uint64_t now_us = SlClock_Monotonic();

    if (soak_node_has_fault(node) ||
        (node->role == SOAK_CONTROL && !may_disturb_control(now_us))) {
        return false;
    }
    for (uint32_t i = 0; i < soak.node_count; i++) {
        const struct soak_node *other = &soak.nodes[i];

        if (node->has_disk && other->has_disk && !other->is_removed &&
            (soak_node_has_fault(other) ||
             now_us - other->last_fault_us < 6ull * US_PER_S)) {
            return false;
        }
    }
    return true;
}

static void
add_timed_fault(struct soak_node *node, uint64_t now_us, bool is_paused)
{
    node->last_fault_us = now_us;
    timed_faults[timed_fault_count++] = (struct timed_fault){
        .node = node,
        .is_paused = is_paused,
        .end_us = now_us + US_PER_S / 2 +
                  soak_random(&soak, FAULT_DURATION_RANGE_US)};
}

static void
inject_network_fault(struct soak_node *node, uint64_t now_us)
{
    static const char *const NAMES[] = {"pass", "cut in", "cut out", "cut",
                                        "lossy"};
    enum proxy_fault fault =
        1 + (enum proxy_fault)soak_random(&soak, PROXY_FAULTS - 1);

    soak_log_fault(&soak, "%s %u", NAMES[fault], node->number);
    proxy_set_fault(node->number, fault);
    add_timed_fault(node, now_us, false);
    soak.faults++;
}

static void
kill_and_wipe(struct soak_node *node)
{
    if (!node->has_disk) {
        soak_signal_node(&soak, node, SIGKILL);
        return;
    }
    soak_log_fault(&soak, "wipe %u", node->number);
    soak_signal_node(&soak, node, SIGKILL);
    soak_delete_node_data(&soak, node);
}

static void
inject_process_fault(struct soak_node *node, uint64_t now_us)
{
    switch (soak_random(&soak, soak.restarts_only ? 4 : 9)) {
    case 0:
    case 1:
        soak_log_fault(&soak, "kill %u", node->number);
        soak_signal_node(&soak, node, SIGKILL);
        break;
    case 2:
    case 3:
        soak_log_fault(&soak, "stop %u", node->number);
        soak_signal_node(&soak, node, SIGTERM);
        break;
    case 4:
        soak_log_fault(&soak, "pause %u", node->number);
        soak_signal_node(&soak, node, SIGSTOP);
        add_timed_fault(node, now_us, true);
        break;
    case 5:
        soak_log_fault(&soak, "reset %u", node->number);
        proxy_reset_connections(node->number);
        node->last_fault_us = now_us;
        soak.faults++;
        break;
    case 6:
        soak_signal_node(&soak, node, SIGHUP);
        break;
    case 7:
        kill_and_wipe(node);
        break;
    default:
        inject_network_fault(node, now_us);
        break;
    }
}

/// Kills all processes of a role at the same time, except paused ones.
static void
kill_role(enum soak_role role)
{
    soak_log_fault(&soak, "kill all of role %u", role);
    if (role == SOAK_AGENT) {
        soak.agents_lost_us = SlClock_Monotonic();
    }
    for (uint32_t i = 0; i < soak.node_count; i++) {
        if (soak.nodes[i].role == role && !soak.nodes[i].is_paused) {
            soak_signal_node(&soak, &soak.nodes[i], SIGKILL);
        }
    }
}

/// Kills all processes at the end of a span in which control processes may be
/// disturbed, so that all have new seeds in the span in which bounds are
/// checked.
static void
end_control_disturbance(uint64_t now_us)
{
    static bool was_disturbed;
    bool is_disturbed = may_disturb_control(now_us);

    if (was_disturbed && !is_disturbed) {
        losses_kill_all(&soak, now_us);
    }
    was_disturbed = is_disturbed;
}

static void
inject_fault(uint64_t now_us)
{
    struct soak_node *node = &soak.nodes[soak_random(&soak, soak.node_count)];
    uint64_t kind = soak_random(&soak, 20);

    if (kind == 0) {
        enum soak_role role = (enum soak_role)soak_random(&soak, 3);

        if (role != SOAK_CONTROL || may_disturb_control(now_us)) {
            kill_role(role);
        }
    }
    else if (kind < 5 && node->role == SOAK_AGENT) {
        soak_log_fault(&soak, "upstream %u crashes", node->number);
        upstream_crash(&soak, node->number, now_us);
    }
    else if (kind < 9 && node->role == SOAK_AGENT) {
        soak_log_fault(&soak, "upstream %u leaves", node->number);
        upstream_drain(&soak, node->number, now_us);
    }
    else if (may_inject_fault(node)) {
        inject_process_fault(node, now_us);
    }
}

/// Takes a pause of this program, in which nothing passes the proxy, for a
/// disturbance of all processes.
static void
notice_host_pause(uint64_t now_us)
{
    static uint64_t last_tick_us;

    if (last_tick_us != 0 && now_us - last_tick_us > HOST_PAUSE_US) {
        soak_log_fault(&soak, "the host paused for %llu ms",
                       (unsigned long long)(now_us - last_tick_us) /
                           US_PER_MS);
        soak.disturbed_until_us = now_us + SOAK_CONTACT_US;
    }
    last_tick_us = now_us;
}

static void
tick_soak(void)
{
    static uint64_t next_fault_us;
    uint64_t now_us = SlClock_Monotonic();

    notice_host_pause(now_us);
    soak_update_nodes(&soak, now_us);
    soak_throttle_nodes(&soak, now_us);
    end_due_faults(now_us);
    if (now_us > soak.start_us + WARM_UP_US && now_us < soak.faults_end_us) {
        end_control_disturbance(now_us);
        if (now_us >= next_fault_us) {
            next_fault_us = now_us + soak_random(&soak, FAULT_INTERVAL_MAX_US);
            inject_fault(now_us);
        }
        losses_replace_control(&soak, now_us, may_inject_fault);
        process_faults_tick(&soak, now_us,
                            soak.restarts_only ? NULL : may_inject_fault);
    }
    else {
        process_faults_tick(&soak, now_us, NULL);
    }
    proxy_tick(now_us);
    upstreams_tick(&soak, now_us);
    operator_tick(&soak, now_us);
    callers_tick(&soak, now_us);
    if (soak.diskless > 0) {
        patient_reads_tick(&soak, now_us);
        probes_tick(now_us);
    }
    http_client_tick(now_us);
}

/// Ends all current faults, so that all processes run and can communicate.
static void
end_all_faults(void)
{
    while (timed_fault_count > 0) {
        end_timed_fault(&timed_faults[--timed_fault_count]);
    }
    process_faults_end_all(&soak);
}

static void
check_usage(void)
{
    /* One control instance may come to hold the links of all processes. */
    uint32_t growth_max = soak.node_count > DESCRIPTOR_GROWTH_MAX
                              ? soak.node_count
                              : DESCRIPTOR_GROWTH_MAX;

    for (uint32_t i = 0; i < soak.node_count; i++) {
        const struct soak_node *node = &soak.nodes[i];
        struct soak_usage usage;

        if (node->is_removed || node->initial_usage.threads == 0) {
            continue;
        }
        if (node->pid == 0) {
            soak_report_violation(
                &soak, "process %u is not running at the end", node->number);
            continue;
        }
        usage = soak_read_usage(node);
        if (usage.memory_kb > MEMORY_MAX_KB ||
            usage.threads != node->initial_usage.threads ||
            usage.descriptors > node->initial_usage.descriptors + growth_max) {
            soak_report_violation(
                &soak,
                "process %u uses %u kB, %u threads, %u descriptors "
                "(before the first fault: %u, %u, %u)",
                node->number, usage.memory_kb, usage.threads,
                usage.descriptors, node->initial_usage.memory_kb,
                node->initial_usage.threads, node->initial_usage.descriptors);
        }
    }
}

static void
check_final_state(void)
{
    check_usage();
    if (!operator_config_was_read(&soak)) {
        soak_report_violation(
            &soak, "no read returned the newest accepted configuration");
    }
    if (soak.asked_calm < (soak.callers > 0 ? soak.callers : 100) ||
        soak.answered_calm * 100 < soak.asked_calm * MIN_ANSWERED_PERCENT) {
        soak_report_violation(
            &soak, "only %llu of %llu requests after the faults were answered",
            (unsigned long long)soak.answered_calm,
            (unsigned long long)soak.asked_calm);
    }
    if (soak.losses > 0 && soak.answered_recovered * 100 <=
                               soak.asked_recovered * MIN_RECOVERED_PERCENT) {
        soak_report_violation(
            &soak, "only %llu of %llu requests after losses were answered",
            (unsigned long long)soak.answered_recovered,
            (unsigned long long)soak.asked_recovered);
    }
    if (soak.diskless > 0) {
        patient_reads_print();
        probes_print();
    }
}

static enum SlStatus
open_simulation(void)
{
    enum SlStatus status = proxy_open(&soak);

    status = status == SL_OK ? upstreams_open(&soak) : status;
    status = status == SL_OK ? callers_open(&soak) : status;
    status = status == SL_OK ? probes_open(&soak) : status;
    return status == SL_OK ? operator_open(&soak) : status;
}

static void
run_until(uint64_t end_us)
{
    while (SlClock_Monotonic() < end_us) {
        SlLoop_RunOnce(soak.loop, LOOP_WAIT_US);
        tick_soak();
    }
}

static void
run_soak(void)
{
    for (uint32_t i = 0; i < soak.node_count; i++) {
        soak_start_node(&soak, &soak.nodes[i]);
    }
    /* Measure the initial usage before the first fault. */
    run_until(soak.start_us + WARM_UP_US - US_PER_S / 10);
    for (uint32_t i = 0; i < soak.node_count; i++) {
        soak.nodes[i].initial_usage = soak_read_usage(&soak.nodes[i]);
    }
    run_until(soak.faults_end_us);
    end_all_faults();
    run_until(soak.end_us);
    while (!losses_tick(&soak, SlClock_Monotonic())) {
        run_until(SlClock_Monotonic() + 1);
    }
    soak.callers_end_us = SlClock_Monotonic();
    run_until(soak.callers_end_us + 2ull * US_PER_S);
    check_final_state();
}

static void
close_simulation(void)
{
    soak_kill_nodes(&soak);
    http_client_close();
    callers_close();
    probes_close();
    upstreams_close();
    operator_close();
    proxy_close();
    SlLoop_Destroy(soak.loop);
}

/// Claims the first free net, starting with soak.net, so that concurrent soaks
/// do not share addresses. The claim is a listening socket and lasts until it
/// is closed. Returns its descriptor, or -1 if all nets are taken.
static int
claim_net(void)
{
    uint32_t first_net = soak.net;

    for (uint32_t i = 0; i < NET_COUNT; i++) {
        struct sockaddr_in address = {.sin_family = AF_INET,
                                      .sin_port = htons(CLAIM_PORT)};
        int claim = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

        soak.net = FIRST_NET + (first_net - FIRST_NET + i) % NET_COUNT;
        address.sin_addr.s_addr = htonl(127u << 24 | soak.net << 16 | 1);
        if (claim >= 0 &&
            bind(claim, (struct sockaddr *)&address, sizeof(address)) == 0 &&
            listen(claim, 1) == 0) {
            return claim;
        }
        close(claim);
    }
    return -1;
}

/// Reads the options and arguments. Returns false after printing the usage if
/// they are wrong.
static bool
parse_arguments(int argc, char **argv)
{
    struct arg_int *seed =
        arg_int1("s", "seed", "N", "seed of the fault schedule");
    struct arg_int *seconds =
        arg_int1("t", "seconds", "N", "duration of the faults in seconds");
    struct arg_int *net =
        arg_int1("n", "net", "N",
                 "second address byte, 80 to 179; the next free one is used");
    struct arg_int *size =
        arg_int0("z", "size", "N", "number of agents; 9 by default");
    struct arg_int *entries =
        arg_int0("e", "entries", "N",
                 "number of entries; a third of the agents by "
                 "default");
    struct arg_int *controls =
        arg_int0("c", "controls", "N",
                 "number of control processes with a disk; 4 by default");
    struct arg_int *diskless = arg_int0(
        "d", "diskless", "N", "number of control processes without a disk");
    struct arg_int *callers =
        arg_int0(NULL, "callers", "N", "maximum number of callers");
    struct arg_int *losses = arg_int0(
        "l", "losses", "N", "losses of all processes after the faults");
    struct arg_int *replacements = arg_int0(
        NULL, "replacements", "N", "control instances replaced for good");
    struct arg_int *delay =
        arg_int0(NULL, "control-delay", "MS",
                 "one-way delay of connections to control instances");
    struct arg_int *quota =
        arg_int0(NULL, "control-quota", "PERCENT",
                 "share of each tenth of a second for control instances");
    struct arg_int *thin_quota =
        arg_int0(NULL, "thin-quota", "PERCENT",
                 "the same for entries and all control processes");
    struct arg_lit *restarts =
        arg_lit0("r", "restarts-only", "no faults but kills and stops");
    struct arg_file *program =
        arg_file1(NULL, NULL, "PROGRAM", "daemon to test");
    struct arg_file *folder =
        arg_file1(NULL, NULL, "FOLDER", "for settings, data and logs");
    struct arg_end *end = arg_end(4);
    void *table[] = {seed,     seconds,  net,        size,     entries,
                     controls, diskless, callers,    losses,   replacements,
                     delay,    quota,    thin_quota, restarts, program,
                     folder,   end};
    uint32_t agents;
    bool is_valid;

    *size->ival = 9;
    *entries->ival = 0;
    *controls->ival = 4;
    *diskless->ival = *callers->ival = *losses->ival = *replacements->ival =
        *delay->ival = *quota->ival = *thin_quota->ival = 0;
    is_valid = arg_parse(argc, argv, table) == 0;
    agents = (uint32_t)*size->ival;
    if (*entries->ival == 0) {
        *entries->ival = (int)(agents / 3 > 3 ? agents / 3 : 3);
    }
    if (!is_valid || *controls->ival < 3 ||
        *controls->ival + *diskless->ival + *entries->ival + *size->ival +
                *replacements->ival >
            SOAK_NODES_MAX) {
        fprintf(stderr, "usage: soak_main");
        arg_print_syntax(stderr, table, "\n");
        arg_print_glossary(stderr, table, "  %-22s %s\n");
        return false;
    }
    soak.seed = (uint64_t)*seed->ival;
    soak.random = soak.seed * 2654435761u + 1;
    soak.net = (uint32_t)*net->ival;
    soak.diskless = (uint32_t)*diskless->ival;
    soak.callers = (uint32_t)*callers->ival;
    soak.losses = (uint32_t)*losses->ival;
    soak.replacements = (uint32_t)*replacements->ival;
    soak.control_delay_us = (uint64_t)*delay->ival * US_PER_MS;
    soak.control_quota = (uint32_t)*quota->ival;
    soak.thin_quota = (uint32_t)*thin_quota->ival;
    soak.restarts_only = restarts->count > 0;
    soak.program = program->filename[0];
    snprintf(soak.folder, sizeof(soak.folder), "%s", folder->filename[0]);
    soak.start_us = SlClock_Monotonic();
    soak.faults_end_us =
        soak.start_us + WARM_UP_US + (uint64_t)*seconds->ival * US_PER_S;
    soak.end_us = soak.faults_end_us + RECOVERY_US;
    soak.callers_end_us = soak.losses > 0 ? UINT64_MAX : soak.end_us;
    add_nodes(SOAK_CONTROL, true, (uint32_t)*controls->ival);
    add_nodes(SOAK_CONTROL, false, soak.diskless);
    add_nodes(SOAK_ENTRY, false, (uint32_t)*entries->ival);
    add_nodes(SOAK_AGENT, false, agents);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return true;
}

int
main(int argc, char **argv)
{
    int claim;

    if (!parse_arguments(argc, argv)) {
        return EXIT_USAGE;
    }
    mkdir(soak.folder, 0755);
    setvbuf(stdout, NULL, _IOLBF, 0);
    soak.loop = SlLoop_Create();
    claim = claim_net();
    if (claim < 0) {
        fprintf(stderr, "soak_main: all nets 127.80 to 127.179 are in use\n");
        return EXIT_USAGE;
    }
    if (open_simulation() != SL_OK) {
        fprintf(
            stderr,
            "soak_main: cannot bind or listen on the loopback addresses\n");
        return EXIT_USAGE;
    }
    run_soak();
    close_simulation();
    close(claim);
    printf("seed %llu: %u faults, %llu asked, %llu answered, %llu reset, "
           "%llu expired, %u broken\n",
           (unsigned long long)soak.seed, soak.faults,
           (unsigned long long)soak.asked, (unsigned long long)soak.answered,
           (unsigned long long)soak.reset, (unsigned long long)soak.expired,
           soak.violations);
    return soak.violations == 0 ? 0 : EXIT_VIOLATIONS;
}
