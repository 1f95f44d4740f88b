/// Starts and ends the project's processes.

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "site.h"

enum {
    TEMPLATE_BYTES = 64 * 1024,
    GRACE_MS = 6000,
    BLOCK_FIRST = 100,
    BLOCKS = 100,
};

/// A field of the settings: its name and its value, empty when there is none.
struct field {
    const char *name;
    char value[TEXT_BYTES * 3];
};

uint64_t
now_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_MONOTONIC, &now);
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint64_t
wall_ms(void)
{
    struct timespec now;

    clock_gettime(CLOCK_REALTIME, &now);
    return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void
note(struct site *site, const char *format, ...)
{
    static uint64_t start_ms;
    va_list arguments;

    start_ms = start_ms == 0 ? now_ms() : start_ms;
    fprintf(site->record, "%7.3f ", (double)(now_ms() - start_ms) / 1000);
    va_start(arguments, format);
    vfprintf(site->record, format, arguments);
    va_end(arguments);
    fputc('\n', site->record);
    fflush(site->record);
}

/// True when nobody listens in a block of loopback addresses.
static bool
is_block_free(uint32_t block)
{
    static const uint16_t PORTS[] = {PORT_CONTROL, PORT_FIRST, PORT_PACKETS,
                                     PORT_METRICS};
    bool is_free = true;

    for (size_t i = 0; i < sizeof(PORTS) / sizeof(PORTS[0]); i++) {
        struct sockaddr_in at = {
            .sin_family = AF_INET,
            .sin_port = htons(PORTS[i]),
            .sin_addr.s_addr = htonl(127u << 24 | block << 16 | 1 << 8 | 1)};
        int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int enabled = 1;

        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled,
                   sizeof(enabled));
        is_free = is_free &&
                  bind(descriptor, (struct sockaddr *)&at, sizeof(at)) == 0;
        close(descriptor);
    }
    return is_free;
}

void
site_open(struct site *site, const char *record_path)
{
    const char *base = getenv("TMPDIR");

    memset(site, 0, sizeof(*site));
    site->client_udp = -1;
    site->record = fopen(record_path, "w");
    if (site->record == NULL) {
        exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    snprintf(site->folder, sizeof(site->folder), "%s/site-XXXXXX",
             base != NULL ? base : "/tmp");
    if (mkdtemp(site->folder) == NULL) {
        exit(2);
    }
    /* One block of loopback addresses a run. */
    site->block = BLOCK_FIRST + (uint32_t)getpid() % BLOCKS;
    for (uint32_t i = 0; i < BLOCKS && !is_block_free(site->block); i++) {
        site->block = BLOCK_FIRST + (site->block + 1 - BLOCK_FIRST) % BLOCKS;
    }
    srandom((unsigned)getpid());
}

static pid_t *
process_of(struct machine *machine, const char *role)
{
    if (strcmp(role, "entry") == 0) {
        return &machine->entry;
    }
    return strcmp(role, "control") == 0 ? &machine->control : &machine->agent;
}

void
site_close(struct site *site)
{
    static const char *const ROLES[] = {"entry", "control", "agent"};
    char command[TEXT_BYTES + 16];

    for (uint32_t i = 0; i < site->machine_count; i++) {
        for (size_t j = 0; j < sizeof(ROLES) / sizeof(ROLES[0]); j++) {
            pid_t *process = process_of(&site->machines[i], ROLES[j]);

            if (*process != 0) {
                kill(*process, SIGKILL);
                waitpid(*process, NULL, 0);
                *process = 0;
            }
        }
    }
    if (getenv("KEEP") == NULL) {
        snprintf(command, sizeof(command), "rm -rf '%s'", site->folder);
        if (system(command) != 0) {
            note(site, "the temporary folder stays");
        }
    }
    fclose(site->record);
}

struct machine *
add_machine(struct site *site, uint32_t zone, uint32_t host, bool has_disk,
            const char *service)
{
    struct machine *machine = &site->machines[site->machine_count++];
    char ip[sizeof(machine->ip)];

    snprintf(ip, sizeof(ip), "127.%u.%u.%u", site->block, zone + 1, host);
    snprintf(machine->zone, sizeof(machine->zone), "ub-%c", 'a' + (int)zone);
    snprintf(machine->service, sizeof(machine->service), "%s", service);
    machine->has_disk = has_disk;
    machine->bootstrap = true;
    memcpy(machine->ip, ip, sizeof(ip));
    snprintf(machine->folder, sizeof(machine->folder), "%s/%s", site->folder,
             ip);
    mkdir(machine->folder, 0700);
    return machine;
}

static const char *
find_value(const struct field *fields, const char *name, size_t length)
{
    for (; fields->name != NULL; fields++) {
        if (strlen(fields->name) == length &&
            strncmp(fields->name, name, length) == 0) {
            return fields->value;
        }
    }
    return "";
}

/// Fills in a template of the deploy file: values, and sections that appear
/// once or not at all.
static void
render(const char *text, const struct field *fields, FILE *out)
{
    while (*text != '\0') {
        const char *end = strstr(text, "}}");
        char kind = text[2];
        const char *name = text + 2 + (kind == '#' || kind == '^');
        const char *close;
        char tail[TEXT_BYTES];
        char inner[TEXT_BYTES * 4];
        bool has_value;

        if (strncmp(text, "{{", 2) != 0 || end == NULL) {
            fputc(*text++, out);
            continue;
        }
        if (kind != '#' && kind != '^') {
            fputs(find_value(fields, name, (size_t)(end - name)), out);
            text = end + 2;
            continue;
        }
        has_value = find_value(fields, name, (size_t)(end - name))[0] != '\0';
        snprintf(tail, sizeof(tail), "{{/%.*s}}", (int)(end - name), name);
        close = strstr(end, tail);
        snprintf(inner, sizeof(inner), "%.*s", (int)(close - end - 2),
                 end + 2);
        if (has_value == (kind == '#')) {
            render(inner, fields, out);
        }
        text = close + strlen(tail);
    }
}

static void
write_settings(const struct site *site, const struct machine *machine,
               const char *role, const char *path)
{
    struct field fields[] = {{"ip", ""},
                             {"zone", ""},
                             {"internal_ports.0", ""},
                             {"internal_ports.1", ""},
                             {"seeds", ""},
                             {"data_dir", ""},
                             {"bootstrap", ""},
                             {"service", ""},
                             {"app", ""},
                             {"limits.link_mbps", "1000.0"},
                             {"listen.datagram_addr", ""},
                             {"listen.ready", ""},
                             {"listen.control", ""},
                             {"listen.outbound", ""},
                             {NULL, ""}};
    char name[TEXT_BYTES];
    char text[TEMPLATE_BYTES] = "";
    FILE *in;
    FILE *out;

#define SET(index, ...)                                                       \
    snprintf(fields[index].value, sizeof(fields[index].value), __VA_ARGS__)
    SET(0, "%s", machine->ip);
    SET(1, "%s", machine->zone);
    SET(2, "%u", PORT_FIRST);
    SET(3, "%u", PORT_FIRST + 1);
    SET(4, "%s", site->seeds);
    if (machine->has_disk) {
        SET(5, "%s/data", machine->folder);
    }
    SET(6, "%s", machine->bootstrap ? "true" : "");
    SET(7, "%s", machine->service);
    SET(8, "%s:%u", machine->ip, PORT_APP);
    SET(10, "%s:%u", machine->ip, PORT_PACKETS);
    SET(11, "%s:%u", machine->ip, PORT_READY);
    SET(12, "%s:%u", machine->ip, PORT_CONTROL);
    SET(13, "%s:%u", machine->ip, PORT_OUTBOUND);
#undef SET
    snprintf(name, sizeof(name), "deploy/%s.ini", role);
    in = fopen(name, "r");
    out = fopen(path, "w");
    if (in == NULL || out == NULL) {
        exit(2);
    }
    text[fread(text, 1, sizeof(text) - 1, in)] = '\0';
    render(text, fields, out);
    fclose(in);
    fclose(out);
}

void
start_process(struct site *site, struct machine *machine, const char *role)
{
    char settings[TEXT_BYTES * 3];
    char log[TEXT_BYTES * 3];
    char data[TEXT_BYTES * 3];
    pid_t process;

    snprintf(settings, sizeof(settings), "%s/%s.ini", machine->folder, role);
    snprintf(log, sizeof(log), "%s/%s.log", machine->folder, role);
    snprintf(data, sizeof(data), "%s/data", machine->folder);
    mkdir(data, 0700);
    write_settings(site, machine, role, settings);
    process = fork();
    if (process == 0) {
        int descriptor;

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        descriptor =
            open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

        dup2(descriptor, STDOUT_FILENO);
        dup2(descriptor, STDERR_FILENO);
        setenv("SAVORYLEDGE_BOOT", settings, 1);
        execl("target/savoryledged", "target/savoryledged", settings,
              (char *)NULL);
        _exit(127);
    }
    *process_of(machine, role) = process;
    note(site, "platform: starts %s on %s", role, machine->ip);
}

void
signal_process(struct site *site, const struct machine *machine,
               const char *role, int number)
{
    kill(*process_of((struct machine *)machine, role), number);
    note(site, "platform: sends %s to %s on %s",
         number == SIGSTOP   ? "SIGSTOP"
         : number == SIGCONT ? "SIGCONT"
         : number == SIGTERM ? "SIGTERM"
                             : "SIGKILL",
         role, machine->ip);
}

bool
is_running(struct machine *machine, const char *role)
{
    return *process_of(machine, role) != 0;
}

void
stop_process(struct site *site, struct machine *machine, const char *role)
{
    pid_t *process = process_of(machine, role);
    uint64_t end_ms = now_ms() + GRACE_MS;

    signal_process(site, machine, role, SIGTERM);
    while (waitpid(*process, NULL, WNOHANG) == 0) {
        pump(site, 5);
        if (now_ms() >= end_ms) {
            signal_process(site, machine, role, SIGKILL);
            end_ms += GRACE_MS;
        }
    }
    *process = 0;
    note(site, "platform: %s on %s has ended", role, machine->ip);
}

void
kill_process(struct site *site, struct machine *machine, const char *role)
{
    pid_t *process = process_of(machine, role);

    signal_process(site, machine, role, SIGKILL);
    waitpid(*process, NULL, 0);
    *process = 0;
}
