/// The processes of a case and their settings, which are those of the files
/// in deploy/ with the values of a small deployment.

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <arpa/inet.h>

#include "site.h"

enum {
    FIRST_NET = 90,
    LAST_NET = 200,
    GRACE_MS = 6000,
    READY_MS = 20000,
    MS_PER_S = 1000,
    NS_PER_MS = 1000 * 1000,
};

static const char PROGRAM[] = "target/savoryledged";

static struct {
    int net;
    int reserved_fd;
    FILE *record;
    uint64_t start_ms;
    char folder[PATH_BYTES];
    struct machine machines[MACHINES_MAX];
    bool was_started[MACHINES_MAX];
} site;

static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static uint64_t
read_clock_ms(clockid_t clock)
{
    struct timespec now;

    clock_gettime(clock, &now);
    return (uint64_t)now.tv_sec * MS_PER_S + (uint64_t)now.tv_nsec / NS_PER_MS;
}

uint64_t
now_ms(void)
{
    return read_clock_ms(CLOCK_MONOTONIC);
}

uint64_t
wall_ms(void)
{
    return read_clock_ms(CLOCK_REALTIME);
}

void
sleep_ms(uint64_t ms)
{
    struct timespec pause = {.tv_sec = (time_t)(ms / MS_PER_S),
                             .tv_nsec = (long)(ms % MS_PER_S) * NS_PER_MS};

    while (nanosleep(&pause, &pause) != 0 && errno == EINTR) {
    }
}

bool
site_has_trouble(void)
{
    const char *trouble = getenv("TROUBLE");

    return trouble == NULL || strcmp(trouble, "0") != 0;
}

void
site_record(const char *format, ...)
{
    uint64_t at_ms = now_ms() - site.start_ms;
    va_list arguments;

    pthread_mutex_lock(&record_lock);
    fprintf(site.record, "%3u.%03u ", (unsigned)(at_ms / MS_PER_S),
            (unsigned)(at_ms % MS_PER_S));
    va_start(arguments, format);
    vfprintf(site.record, format, arguments);
    va_end(arguments);
    fputc('\n', site.record);
    fflush(site.record);
    pthread_mutex_unlock(&record_lock);
}

const char *
site_ip(int group, int number)
{
    static _Thread_local char text[INET_ADDRSTRLEN];

    snprintf(text, sizeof(text), "127.%d.%d.%d", site.net, group, number);
    return text;
}

struct sockaddr_in
site_address(int group, int number, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};

    inet_pton(AF_INET, site_ip(group, number), &address.sin_addr);
    return address;
}

/// Reserves a net by a socket that no other case binds.
static bool
reserve_net(int net)
{
    struct sockaddr_in address;

    site.net = net;
    address = site_address(1, 1, INTERNAL_PORT);
    site.reserved_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind(site.reserved_fd, (struct sockaddr *)&address, sizeof(address)) ==
        0) {
        return true;
    }
    close(site.reserved_fd);
    return false;
}

static void
kill_machines(void)
{
    for (int i = 0; i < MACHINES_MAX; i++) {
        if (site.machines[i].pid > 0) {
            kill(site.machines[i].pid, SIGKILL);
            waitpid(site.machines[i].pid, NULL, 0);
            site.machines[i].pid = 0;
        }
    }
}

static void
remove_folder(void)
{
    static const char *const FILES[] = {"state", "log", "snapshot", "lock",
                                        "flows"};
    char path[2 * PATH_BYTES];

    if (getenv("KEEP") != NULL) {
        return;
    }
    for (int i = 0; i < MACHINES_MAX; i++) {
        snprintf(path, sizeof(path), "%s/%d.ini", site.folder, i);
        unlink(path);
        snprintf(path, sizeof(path), "%s/%d.log", site.folder, i);
        unlink(path);
        for (size_t j = 0; j < sizeof(FILES) / sizeof(FILES[0]); j++) {
            snprintf(path, sizeof(path), "%s/data-%d/%s", site.folder, i,
                     FILES[j]);
            unlink(path);
        }
        snprintf(path, sizeof(path), "%s/data-%d", site.folder, i);
        rmdir(path);
    }
    rmdir(site.folder);
}

static void
finish(int status)
{
    kill_machines();
    remove_folder();
    fclose(site.record);
    _exit(status);
}

void
site_fail(const char *why)
{
    site_record("could not run: %s", why);
    finish(2);
}

void
site_close(bool broken)
{
    site_record("%s", broken ? "the rule was broken" : "the rule held");
    finish(broken ? 1 : 0);
}

void
site_open(void)
{
    const char *parent = getenv("TMPDIR");
    const char *record = getenv("RECORD");

    signal(SIGPIPE, SIG_IGN);
    site.start_ms = now_ms();
    site.record = fopen(record != NULL ? record : "record.txt", "we");
    snprintf(site.folder, sizeof(site.folder), "%s/review-XXXXXX",
             parent != NULL ? parent : "/tmp");
    if (site.record == NULL || mkdtemp(site.folder) == NULL) {
        _exit(2);
    }
    for (int net = FIRST_NET; net <= LAST_NET; net++) {
        if (reserve_net(net)) {
            return;
        }
    }
    site_fail("no free addresses");
}

/// Writes the settings as the templates in deploy/ give them.
static void
write_settings(const struct machine *machine, const char *path)
{
    static const char *const NAMES[] = {"", "control", "entry", "agent"};
    const char *name = NAMES[machine->role];
    int number = machine->number;
    FILE *file = fopen(path, "we");

    if (file == NULL) {
        site_fail("no settings");
        return;
    }
    fprintf(file, "[node]\nname = %s-%s\n", name, site_ip(0, number));
    fprintf(file, "zone = %s\nroles = %s\n", machine->zone, name);
    fprintf(file, "tunnel = %s:%d\n", site_ip(0, number), INTERNAL_PORT);
    fprintf(file, "link = %s:%d\n", site_ip(0, number), INTERNAL_PORT);
    fprintf(file, "log_to_stdout = yes\nlog_lines_per_s = 150\n"
                  "stop_timeout_ms = 5000\n[security]\nopen = yes\n"
                  "[control]\n");
    if (machine->role == ROLE_CONTROL) {
        fprintf(file, "data_folder = %s/data-%d\nbootstrap = %s\n",
                site.folder, number, site.was_started[number] ? "no" : "yes");
    }
    fprintf(file, "seeds = %s:%d", site_ip(0, 1), CONTROL_PORT);
    fprintf(file, ",%s:%d", site_ip(0, 2), CONTROL_PORT);
    fprintf(file, ",%s:%d\n", site_ip(0, 3), CONTROL_PORT);
    fprintf(file, "seed_port = %d\nself_forming = yes\n", INTERNAL_PORT);
    if (machine->role == ROLE_CONTROL) {
        fprintf(file, "heartbeat_ms = 60\nelection_ms = 450\n");
    }
    fprintf(file, "[relay]\nadapter = platform\n");
    if (machine->role != ROLE_CONTROL) {
        fprintf(file, "callers = %s:%d\n", site_ip(0, number), DATAGRAM_PORT);
        fprintf(file, "ready = %s:%d\n", site_ip(0, number), READY_PORT);
    }
    if (machine->role != ROLE_ENTRY) {
        fprintf(file, "control = %s:%d\n", site_ip(0, number), CONTROL_PORT);
    }
    if (machine->role == ROLE_AGENT) {
        fprintf(file, "upstream = %s:%d\n", site_ip(0, number), APP_PORT);
        fprintf(file, "upstream_sends = %s:%d\n", site_ip(0, number),
                OUTBOUND_PORT);
        fprintf(file, "service = %s\n", machine->service);
    }
    fclose(file);
}

static void
run_program(const char *settings, const char *log)
{
    int output = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    /* The processes of a case end with it, also when it is killed. */
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    execl(PROGRAM, PROGRAM, settings, (char *)NULL);
    _exit(127);
}

static void
start_process(struct machine *machine)
{
    char settings[PATH_BYTES + 32];
    char path[PATH_BYTES + 32];

    snprintf(path, sizeof(path), "%s/data-%d", site.folder, machine->number);
    mkdir(path, 0755);
    snprintf(settings, sizeof(settings), "%s/%d.ini", site.folder,
             machine->number);
    snprintf(path, sizeof(path), "%s/%d.log", site.folder, machine->number);
    write_settings(machine, settings);
    site.was_started[machine->number] = true;
    machine->pid = fork();
    if (machine->pid == 0) {
        run_program(settings, path);
    }
}

void
machine_start(enum machine_role role, int number, const char *zone,
              const char *service)
{
    struct machine *machine = &site.machines[number];

    *machine = (struct machine){
        .role = role, .number = number, .zone = zone, .service = service};
    start_process(machine);
}

void
machine_restart(int number)
{
    struct machine *machine = &site.machines[number];
    uint64_t since_ms = now_ms();

    site_record("machine %d gets SIGTERM", number);
    kill(machine->pid, SIGTERM);
    while (waitpid(machine->pid, NULL, WNOHANG) == 0) {
        if (now_ms() - since_ms > GRACE_MS) {
            kill(machine->pid, SIGKILL);
        }
        sleep_ms(5);
    }
    site_record("machine %d has ended and starts again", number);
    start_process(machine);
}

void
machine_kill(int number)
{
    struct machine *machine = &site.machines[number];

    site_record("the process on machine %d is killed", number);
    kill(machine->pid, SIGKILL);
    waitpid(machine->pid, NULL, 0);
    machine->pid = 0;
}

void
machine_start_again(int number)
{
    site_record("the process on machine %d starts again", number);
    start_process(&site.machines[number]);
}

void
site_start_core(void)
{
    static const char *const ZONES[] = {"zone-a", "zone-b", "zone-c"};

    for (int i = 0; i < 3; i++) {
        machine_start(ROLE_CONTROL, i + 1, ZONES[i], "");
    }
    machine_start(ROLE_ENTRY, 4, ZONES[0], "");
    machine_start(ROLE_ENTRY, 5, ZONES[1], "");
}

static bool
is_ready(int number)
{
    struct sockaddr_in address = site_address(0, number, READY_PORT);

    return http_call(&address, "GET", "/api/readiness", NULL, NULL, NULL) ==
           200;
}

void
site_wait_ready(void)
{
    uint64_t since_ms = now_ms();

    while (!is_ready(4) || !is_ready(5)) {
        if (now_ms() - since_ms > READY_MS) {
            site_fail("the entries are not ready");
        }
        sleep_ms(100);
    }
    site_record("both entries are ready");
}

pid_t
machine_pid(int number)
{
    return site.machines[number].pid;
}
