/// Runs one seed: starts a site, plays callers and upstreams, injects faults,
/// and ends with a line that counts what was broken.

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
    TURN_US = 2 * 1000,
    /// Before faults begin, and after they end.
    LEAD_US = 4 * 1000 * 1000,
    CALM_US = 14 * 1000 * 1000,
    FAULT_PAUSE_US = 900 * 1000,
    FAULT_LENGTH_US = 4 * 1000 * 1000,
    ANSWERED_PERCENT = 95,
    MEMORY_KB = 64 * 1024,
    DESCRIPTORS_MORE = 64,
    /// Nets of 127.0.0.0/8 that no other program of the project uses.
    FIRST_NET = 80,
    NETS = 100,
    CLAIM_PORT = 7999,
    FAILED = 1,
    USAGE = 2,
};

/// A fault that ends by itself.
struct lasting {
    struct soak_node *node;
    uint64_t until_us;
    bool paused;
};

static struct soak soak;
static struct lasting lasting[SOAK_NODES];
static uint32_t lasting_count;

uint64_t
soak_random(struct soak *self, uint64_t below)
{
    /* Knuth, TAOCP 3.3.4. */
    self->random = self->random * 6364136223846793005u + 1442695040888963407u;
    return below != 0 ? (self->random >> 16) % below : 0;
}

static void
say(const char *word, const char *format, va_list arguments)
{
    uint64_t at_ms = (SlClock_Monotonic() - soak.start_us) / US_PER_MS;

    printf("%llu.%03llu %s ", (unsigned long long)(at_ms / 1000),
           (unsigned long long)(at_ms % 1000), word);
    vprintf(format, arguments);
    printf("\n");
}

void
soak_broken(struct soak *self, const char *format, ...)
{
    va_list arguments;

    self->violations++;
    va_start(arguments, format);
    say("BROKEN", format, arguments);
    va_end(arguments);
}

void
soak_say(struct soak *self, const char *format, ...)
{
    va_list arguments;

    (void)self;
    va_start(arguments, format);
    say("fault", format, arguments);
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
build_site(uint32_t controls, uint32_t entries, uint32_t agents)
{
    for (uint32_t i = 0; i < controls; i++) {
        soak_add_node(&soak, SOAK_CONTROL, i % SOAK_ZONES);
    }
    for (uint32_t i = 0; i < entries; i++) {
        soak_add_node(&soak, SOAK_ENTRY, i % SOAK_ZONES);
    }
    for (uint32_t i = 0; i < agents; i++) {
        soak_add_node(&soak, SOAK_AGENT, i % SOAK_ZONES);
    }
}

static void
end_lasting(struct lasting *item)
{
    item->node->disturbed_us = SlClock_Monotonic();
    if (item->paused) {
        soak_signal(&soak, item->node, SIGCONT);
    }
    else {
        proxy_set(item->node->number, PROXY_PASS);
    }
}

static void
end_due(uint64_t now_us)
{
    for (uint32_t i = 0; i < lasting_count;) {
        if (now_us >= lasting[i].until_us) {
            end_lasting(&lasting[i]);
            lasting[i] = lasting[--lasting_count];
        }
        else {
            i++;
        }
    }
}

static bool
is_disturbed(const struct soak_node *node)
{
    for (uint32_t i = 0; i < lasting_count; i++) {
        if (lasting[i].node == node) {
            return true;
        }
    }
    return node->pid == 0 || node->ending || inside_is_disturbed(node);
}

/// Of the control instances, at most one is disturbed at a time; others may be
/// in any number.
static bool
may_disturb(const struct soak_node *node)
{
    uint64_t now_us = SlClock_Monotonic();

    if (is_disturbed(node)) {
        return false;
    }
    for (uint32_t i = 0; i < soak.node_count; i++) {
        const struct soak_node *other = &soak.nodes[i];

        if (node->role == SOAK_CONTROL && other->role == SOAK_CONTROL &&
            (is_disturbed(other) ||
             now_us - other->disturbed_us < 6ull * US_PER_S)) {
            return false;
        }
    }
    return true;
}

static void
last(struct soak_node *node, uint64_t now_us, bool paused)
{
    node->disturbed_us = now_us;
    lasting[lasting_count++] =
        (struct lasting){.node = node,
                         .paused = paused,
                         .until_us = now_us + US_PER_S / 2 +
                                     soak_random(&soak, FAULT_LENGTH_US)};
}

static void
cut(struct soak_node *node, uint64_t now_us)
{
    static const char *const NAMES[] = {"pass", "cut in", "cut out", "cut",
                                        "lossy"};
    enum soak_fault fault =
        1 + (enum soak_fault)soak_random(&soak, PROXY_FAULTS - 1);

    soak_say(&soak, "%s %u", NAMES[fault], node->number);
    proxy_set(node->number, fault);
    last(node, now_us, false);
    soak.faults++;
}

static void
wipe(struct soak_node *node)
{
    if (node->role != SOAK_CONTROL) {
        soak_signal(&soak, node, SIGKILL);
        return;
    }
    soak_say(&soak, "wipe %u", node->number);
    soak_signal(&soak, node, SIGKILL);
    soak_wipe_node(&soak, node);
}

static void
disturb(struct soak_node *node, uint64_t now_us)
{
    switch (soak_random(&soak, 9)) {
    case 0:
    case 1:
        soak_say(&soak, "kill %u", node->number);
        soak_signal(&soak, node, SIGKILL);
        break;
    case 2:
    case 3:
        soak_say(&soak, "stop %u", node->number);
        soak_signal(&soak, node, SIGTERM);
        break;
    case 4:
        soak_say(&soak, "pause %u", node->number);
        soak_signal(&soak, node, SIGSTOP);
        last(node, now_us, true);
        break;
    case 5:
        soak_say(&soak, "reset %u", node->number);
        proxy_reset(node->number);
        node->disturbed_us = now_us;
        soak.faults++;
        break;
    case 6:
        soak_signal(&soak, node, SIGHUP);
        break;
    case 7:
        wipe(node);
        break;
    default:
        cut(node, now_us);
        break;
    }
}

/// All processes of a role are killed at the same moment.
static void
kill_role(enum soak_role role)
{
    soak_say(&soak, "kill all of role %u", role);
    for (uint32_t i = 0; i < soak.node_count; i++) {
        if (soak.nodes[i].role == role && !soak.nodes[i].paused) {
            soak_signal(&soak, &soak.nodes[i], SIGKILL);
        }
    }
}

static void
inject(uint64_t now_us)
{
    struct soak_node *node = &soak.nodes[soak_random(&soak, soak.node_count)];
    uint64_t kind = soak_random(&soak, 20);

    if (kind == 0) {
        kill_role((enum soak_role)soak_random(&soak, 3));
    }
    else if (kind < 5 && node->role == SOAK_AGENT) {
        soak_say(&soak, "upstream %u crashes", node->number);
        upstream_crash(&soak, node->number, now_us);
    }
    else if (kind < 9 && node->role == SOAK_AGENT) {
        soak_say(&soak, "upstream %u leaves", node->number);
        upstream_drain(&soak, node->number, now_us);
    }
    else if (may_disturb(node)) {
        disturb(node, now_us);
    }
}

static void
tick(void)
{
    static uint64_t fault_us;
    uint64_t now_us = SlClock_Monotonic();

    soak_watch_nodes(&soak, now_us);
    end_due(now_us);
    if (now_us > soak.start_us + LEAD_US && now_us < soak.faults_until_us) {
        if (now_us >= fault_us) {
            fault_us = now_us + soak_random(&soak, FAULT_PAUSE_US);
            inject(now_us);
        }
        inside_tick(&soak, now_us, may_disturb);
    }
    else {
        inside_tick(&soak, now_us, NULL);
    }
    proxy_tick(now_us);
    upstreams_tick(&soak, now_us);
    operator_tick(&soak, now_us);
    callers_tick(&soak, now_us);
    http_client_tick(now_us);
}

/// Faults are over: everything passes and runs again.
static void
heal(void)
{
    while (lasting_count > 0) {
        end_lasting(&lasting[--lasting_count]);
    }
    inside_heal(&soak);
}

static void
check_usage(void)
{
    for (uint32_t i = 0; i < soak.node_count; i++) {
        const struct soak_node *node = &soak.nodes[i];
        struct soak_usage usage;

        if (node->pid == 0) {
            soak_broken(&soak, "process %u does not run at the end",
                        node->number);
            continue;
        }
        usage = soak_usage_of(node);
        if (usage.memory_kb > MEMORY_KB ||
            usage.threads != node->first_usage.threads ||
            usage.descriptors >
                node->first_usage.descriptors + DESCRIPTORS_MORE) {
            soak_broken(&soak,
                        "process %u uses %u kB, %u threads, %u descriptors "
                        "(at first %u, %u, %u)",
                        node->number, usage.memory_kb, usage.threads,
                        usage.descriptors, node->first_usage.memory_kb,
                        node->first_usage.threads,
                        node->first_usage.descriptors);
        }
    }
}

static void
check_end(void)
{
    check_usage();
    if (!operator_read_back(&soak)) {
        soak_broken(&soak, "the newest configuration is not read back");
    }
    if (soak.asked_calm < 100 ||
        soak.answered_calm * 100 < soak.asked_calm * ANSWERED_PERCENT) {
        soak_broken(&soak, "after the faults %llu of %llu were answered",
                    (unsigned long long)soak.answered_calm,
                    (unsigned long long)soak.asked_calm);
    }
}

static enum SlStatus
open_all(void)
{
    enum SlStatus status = proxy_open(&soak);

    status = status == SL_OK ? upstreams_open(&soak) : status;
    status = status == SL_OK ? callers_open(&soak) : status;
    return status == SL_OK ? operator_open(&soak) : status;
}

static void
run_until(uint64_t until_us)
{
    while (SlClock_Monotonic() < until_us) {
        SlLoop_RunOnce(soak.loop, TURN_US);
        tick();
    }
}

static void
run(void)
{
    for (uint32_t i = 0; i < soak.node_count; i++) {
        soak_start_node(&soak, &soak.nodes[i]);
    }
    /* Before the first fault. */
    run_until(soak.start_us + LEAD_US - US_PER_S / 10);
    for (uint32_t i = 0; i < soak.node_count; i++) {
        soak.nodes[i].first_usage = soak_usage_of(&soak.nodes[i]);
    }
    run_until(soak.faults_until_us);
    heal();
    run_until(soak.end_us);
    run_until(soak.end_us + 2ull * US_PER_S);
    check_end();
}

static void
close_all(void)
{
    soak_end_nodes(&soak);
    http_client_close();
    callers_close();
    upstreams_close();
    operator_close();
    proxy_close();
    SlLoop_Destroy(soak.loop);
}

/// Takes the first free net from soak.net on, and holds it as long as the
/// descriptor is open: soaks beside each other do not share addresses.
/// Returns the descriptor, -1 when all are taken.
static int
claim_net(void)
{
    uint32_t wanted = soak.net;

    for (uint32_t i = 0; i < NETS; i++) {
        struct sockaddr_in address = {.sin_family = AF_INET,
                                      .sin_port = htons(CLAIM_PORT)};
        int claim = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

        soak.net = FIRST_NET + (wanted - FIRST_NET + i) % NETS;
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

int
main(int argc, char **argv)
{
    struct arg_int *seed =
        arg_int1("s", "seed", "N", "the schedule of faults");
    struct arg_int *seconds = arg_int1("t", "seconds", "N", "of faults");
    struct arg_int *net = arg_int1(
        "n", "net", "N",
        "second byte of addresses, 80 to 179; the next free one is taken");
    struct arg_int *size = arg_int0("z", "size", "N", "agents; 9 by default");
    struct arg_file *program = arg_file1(NULL, NULL, "PROGRAM", "to soak");
    struct arg_file *folder = arg_file1(NULL, NULL, "FOLDER", "for its files");
    struct arg_end *end = arg_end(4);
    void *table[] = {seed, seconds, net, size, program, folder, end};
    uint32_t agents;
    int claim;

    if (arg_nullcheck(table) != 0 || arg_parse(argc, argv, table) != 0) {
        fprintf(stderr, "usage: soak_main");
        arg_print_syntax(stderr, table, "\n");
        return USAGE;
    }
    agents = size->count > 0 ? (uint32_t)size->ival[0] : 9;
    soak.seed = (uint64_t)seed->ival[0];
    soak.random = soak.seed * 2654435761u + 1;
    soak.net = (uint32_t)net->ival[0];
    soak.program = program->filename[0];
    snprintf(soak.folder, sizeof(soak.folder), "%s", folder->filename[0]);
    mkdir(soak.folder, 0755);
    setvbuf(stdout, NULL, _IOLBF, 0);
    soak.loop = SlLoop_Create();
    soak.start_us = SlClock_Monotonic();
    soak.faults_until_us =
        soak.start_us + LEAD_US + (uint64_t)seconds->ival[0] * US_PER_S;
    soak.end_us = soak.faults_until_us + CALM_US;
    claim = claim_net();
    if (claim < 0) {
        fprintf(stderr, "soak_main: no free net\n");
        return USAGE;
    }
    build_site(4, agents / 3 > 3 ? agents / 3 : 3, agents);
    if (open_all() != SL_OK) {
        fprintf(stderr, "soak_main: cannot open its addresses\n");
        return USAGE;
    }
    run();
    close_all();
    close(claim);
    printf("seed %llu: %u faults, %llu asked, %llu answered, %llu reset, "
           "%llu expired, %u broken\n",
           (unsigned long long)soak.seed, soak.faults,
           (unsigned long long)soak.asked, (unsigned long long)soak.answered,
           (unsigned long long)soak.reset, (unsigned long long)soak.expired,
           soak.violations);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return soak.violations == 0 ? 0 : FAILED;
}
