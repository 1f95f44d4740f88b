/// Manages the processes of the soak: writes their settings, starts, signals
/// and restarts them, and measures their resource usage.

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

enum {
    SEED_NODES = 3,
    RESTART_DELAY_US = 400 * 1000,
    QUOTA_PERIOD_US = 100 * 1000,
};

static const char *const ROLE_NAMES[] = {"control", "entry", "agent"};

void
soak_add_node(struct soak *soak, enum soak_role role, bool has_disk,
              uint32_t zone)
{
    struct soak_node *node = &soak->nodes[soak->node_count++];

    node->role = role;
    node->has_disk = has_disk;
    node->number = soak->node_count;
    node->zone = zone;
    node->is_first_start = has_disk;
}

static void
write_common_settings(const struct soak *soak, const struct soak_node *node,
                      FILE *file)
{
    fprintf(file,
            "[node]\nname = %s-127.%u.1.%u\nzone = zone-%u\nroles = %s\n"
            "tunnel = 127.%u.0.%u:%u\nlink = 127.%u.0.%u:%u\n"
            "advertise = 127.%u.1.%u\nlog_to_stdout = yes\n"
            "log_lines_per_s = 300\nstop_timeout_ms = 4000\n"
            "[security]\nopen = yes\n[control]\nself_forming = yes\n"
            "heartbeat_ms = 60\nelection_ms = 450\nseed_port = %u\n",
            ROLE_NAMES[node->role], soak->net, node->number, node->zone,
            ROLE_NAMES[node->role], soak->net, node->number, SOAK_LINK_PORT,
            soak->net, node->number, SOAK_LINK_PORT, soak->net, node->number,
            SOAK_LINK_PORT);
}

/// At the first start all processes have the same seeds, with a disk each.
/// Later ones are drawn from all control processes if some have no disk.
static void
write_seeds(const struct soak *soak, const struct soak_node *node, FILE *file)
{
    static uint64_t random_state;
    uint32_t seeds[SEED_NODES] = {1, 2, 3};

    while (soak->diskless > 0 && node->was_started) {
        for (uint32_t i = 0; i < SEED_NODES; i++) {
            seeds[i] = soak_draw_control(soak, &random_state)->number;
        }
        if (seeds[0] != seeds[1] && seeds[0] != seeds[2] &&
            seeds[1] != seeds[2]) {
            break;
        }
    }
    fprintf(file, "seeds = 127.%u.1.%u,127.%u.1.%u,127.%u.1.%u\n", soak->net,
            seeds[0], soak->net, seeds[1], soak->net, seeds[2]);
}

static void
write_settings(const struct soak *soak, const struct soak_node *node,
               const char *path)
{
    FILE *file = fopen(path, "we");

    if (file == NULL) {
        return;
    }
    write_common_settings(soak, node, file);
    write_seeds(soak, node, file);
    if (node->has_disk) {
        fprintf(file, "bootstrap = %s\ndata_folder = %s/data-%u\n",
                node->is_first_start && node->number <= SEED_NODES ? "yes"
                                                                   : "no",
                soak->folder, node->number);
    }
    fprintf(file, "[relay]\nadapter = platform\nready = 127.%u.0.%u:%u\n",
            soak->net, node->number, SOAK_READY_PORT);
    if (node->role != SOAK_ENTRY) {
        fprintf(file, "control = 127.%u.0.%u:%u\n", soak->net, node->number,
                SOAK_CONTROL_PORT);
    }
    if (node->role != SOAK_CONTROL) {
        fprintf(file, "callers = 127.%u.0.%u:%u\n", soak->net, node->number,
                SOAK_CALLERS_PORT);
    }
    if (node->role == SOAK_AGENT) {
        fprintf(file,
                "upstream = 127.%u.0.%u:%u\nupstream_sends = 127.%u.0.%u:%u\n"
                "service = service-%u\n",
                soak->net, node->number, SOAK_UPSTREAM_PORT, soak->net,
                node->number, SOAK_UPSTREAM_SENDS_PORT, node->number % 3 / 2);
    }
    fclose(file);
}

static void
exec_program(const struct soak *soak, const char *settings, const char *log)
{
    int output = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl(soak->program, soak->program, settings, (char *)NULL);
    _exit(127);
}

void
soak_start_node(struct soak *soak, struct soak_node *node)
{
    char settings[SOAK_PATH_BYTES + 32];
    char path[SOAK_PATH_BYTES + 32];
    uint64_t now_us = SlClock_Monotonic();

    snprintf(settings, sizeof(settings), "%s/node-%u.ini", soak->folder,
             node->number);
    snprintf(path, sizeof(path), "%s/data-%u", soak->folder, node->number);
    mkdir(path, 0755);
    write_settings(soak, node, settings);
    snprintf(path, sizeof(path), "%s/node-%u.log", soak->folder, node->number);
    node->was_started = true;
    node->pid = fork();
    if (node->pid == 0) {
        exec_program(soak, settings, path);
    }
    node->is_paused = false;
    node->is_throttled = false;
    node->is_stopping = false;
    node->restart_us = 0;
    node->last_fault_us = now_us;
}

void
soak_signal_node(struct soak *soak, struct soak_node *node, int number)
{
    if (node->pid == 0) {
        return;
    }
    kill(node->pid, number);
    node->last_fault_us = SlClock_Monotonic();
    if (number == SIGSTOP) {
        node->is_paused = true;
    }
    else if (number == SIGCONT) {
        node->is_paused = false;
    }
    else if (number == SIGKILL || number == SIGTERM) {
        node->is_stopping = true;
    }
    soak->faults++;
}

static void
handle_exit(struct soak *soak, struct soak_node *node, int status,
            uint64_t now_us)
{
    if (!node->is_stopping) {
        soak_report_violation(
            soak, "process %u (%s) exited unexpectedly, wait status %d",
            node->number, ROLE_NAMES[node->role], status);
    }
    node->pid = 0;
    node->is_paused = false;
    node->last_fault_us = now_us;
    node->restart_us = node->is_removed ? 0 : now_us + RESTART_DELAY_US;
}

void
soak_update_nodes(struct soak *soak, uint64_t now_us)
{
    for (uint32_t i = 0; i < soak->node_count; i++) {
        struct soak_node *node = &soak->nodes[i];
        int status;

        if (node->pid != 0 && waitpid(node->pid, &status, WNOHANG) > 0) {
            handle_exit(soak, node, status, now_us);
        }
        if (node->pid == 0 && node->restart_us != 0 &&
            now_us >= node->restart_us) {
            node->is_first_start = false;
            soak_start_node(soak, node);
        }
        if (node->pid != 0 && !node->is_paused && !node->is_stopping) {
            node->last_running_us = now_us;
        }
    }
}

/// Returns the share of each tenth of a second in which the process runs, in
/// percent; 0 for all of it.
static uint32_t
quota_percent(const struct soak *soak, const struct soak_node *node)
{
    if (soak->thin_quota > 0 && node->role != SOAK_AGENT) {
        return soak->thin_quota;
    }
    return node->has_disk ? soak->control_quota : 0;
}

void
soak_throttle_nodes(struct soak *soak, uint64_t now_us)
{
    for (uint32_t i = 0; i < soak->node_count; i++) {
        struct soak_node *node = &soak->nodes[i];
        uint64_t quota_us = quota_percent(soak, node) * QUOTA_PERIOD_US / 100;
        uint64_t phase_us =
            (now_us + i * QUOTA_PERIOD_US / 7) % QUOTA_PERIOD_US;
        bool is_throttled = phase_us >= quota_us;

        if (quota_us == 0 || node->pid == 0 || node->is_paused ||
            node->is_throttled == is_throttled) {
            continue;
        }
        node->is_throttled = is_throttled;
        kill(node->pid, is_throttled ? SIGSTOP : SIGCONT);
    }
}

void
soak_delete_node_data(struct soak *soak, const struct soak_node *node)
{
    char folder[SOAK_PATH_BYTES + 32];
    char path[2 * SOAK_PATH_BYTES + 64];
    struct dirent *entry;
    DIR *directory;

    snprintf(folder, sizeof(folder), "%s/data-%u", soak->folder, node->number);
    directory = opendir(folder);
    while (directory != NULL && (entry = readdir(directory)) != NULL) {
        if (entry->d_name[0] != '.') {
            snprintf(path, sizeof(path), "%s/%s", folder, entry->d_name);
            unlink(path);
        }
    }
    if (directory != NULL) {
        closedir(directory);
    }
}

void
soak_kill_nodes(struct soak *soak)
{
    for (uint32_t i = 0; i < soak->node_count; i++) {
        if (soak->nodes[i].pid != 0) {
            kill(soak->nodes[i].pid, SIGKILL);
        }
    }
    for (uint32_t i = 0; i < soak->node_count; i++) {
        if (soak->nodes[i].pid != 0) {
            (void)waitpid(soak->nodes[i].pid, NULL, 0);
            soak->nodes[i].pid = 0;
        }
    }
}

static uint32_t
count_folder_entries(const char *path)
{
    DIR *folder = opendir(path);
    uint32_t count = 0;

    while (folder != NULL && readdir(folder) != NULL) {
        count++;
    }
    if (folder != NULL) {
        closedir(folder);
    }
    return count;
}

struct soak_usage
soak_read_usage(const struct soak_node *node)
{
    struct soak_usage usage = {.memory_kb = 0};
    char path[64];
    char line[256];
    FILE *file;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)node->pid);
    file = fopen(path, "re");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (strncmp(line, "VmRSS:", 6) == 0) {
            usage.memory_kb = (uint32_t)strtoul(line + 6, NULL, 10);
        }
        if (strncmp(line, "Threads:", 8) == 0) {
            usage.threads = (uint32_t)strtoul(line + 8, NULL, 10);
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    snprintf(path, sizeof(path), "/proc/%d/fd", (int)node->pid);
    usage.descriptors = count_folder_entries(path);
    return usage;
}
