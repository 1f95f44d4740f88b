/// Injects faults into the file access and wall clock of a process, by writing
/// the file from which soak_daemon reads its faults.

#include <stdio.h>

#include "soak.h"

enum {
    FAULT_INTERVAL_MAX_US = 3 * 1000 * 1000,
    /// Delay before the next attempt when the process drawn may not get a
    /// fault now.
    RETRY_US = 200 * 1000,
    FAULT_DURATION_MAX_US = 4 * 1000 * 1000,
    /// Offset of the wall clock, ahead or back: half an hour exceeds every
    /// time window of the product.
    CLOCK_OFFSET_MS = 30 * 60 * 1000,
    FILE_FAULTS = 3,
};

static const char *const FILE_FAULT_NAMES[] = {"slow", "stall", "full"};

/// The current fault of each process by its number, and the time at which it
/// ends; 0 for none.
static struct {
    const char *file_fault;
    int64_t clock_offset_ms;
    uint64_t end_us;
} process_faults[SOAK_NODES_MAX + 1];
static uint64_t random_state;
static uint64_t next_fault_us;
static bool next_is_file_fault = true;

static void
write_faults_file(const struct soak *soak, uint32_t number)
{
    char path[SOAK_PATH_BYTES + 48];
    char temporary_path[sizeof(path) + 8];
    const char *file_fault = process_faults[number].file_fault;
    FILE *file;

    snprintf(path, sizeof(path), "%s/node-%u.ini.faults", soak->folder,
             number);
    snprintf(temporary_path, sizeof(temporary_path), "%s.next", path);
    file = fopen(temporary_path, "we");
    if (file == NULL) {
        return;
    }
    fprintf(file, "files=%s clock_ms=%lld\n",
            file_fault != NULL ? file_fault : "none",
            (long long)process_faults[number].clock_offset_ms);
    fclose(file);
    rename(temporary_path, path);
}

static void
end_fault(struct soak *soak, struct soak_node *node)
{
    process_faults[node->number].file_fault = NULL;
    process_faults[node->number].clock_offset_ms = 0;
    process_faults[node->number].end_us = 0;
    write_faults_file(soak, node->number);
    node->last_fault_us = SlClock_Monotonic();
}

static void
begin_fault(struct soak *soak, struct soak_node *node, bool is_file_fault,
            uint64_t now_us)
{
    if (is_file_fault) {
        process_faults[node->number].file_fault =
            FILE_FAULT_NAMES[soak_draw(soak, &random_state, FILE_FAULTS)];
        soak_log_fault(soak, "files of %u: %s", node->number,
                       process_faults[node->number].file_fault);
    }
    else {
        process_faults[node->number].clock_offset_ms =
            soak_draw(soak, &random_state, 2) == 0 ? CLOCK_OFFSET_MS
                                                   : -(int64_t)CLOCK_OFFSET_MS;
        soak_log_fault(
            soak, "clock of %u is %lld ms off", node->number,
            (long long)process_faults[node->number].clock_offset_ms);
    }
    process_faults[node->number].end_us =
        now_us + 1 + soak_draw(soak, &random_state, FAULT_DURATION_MAX_US);
    node->last_fault_us = now_us;
    soak->faults++;
    write_faults_file(soak, node->number);
}

/// Starts a file or clock fault with equal chance. File faults go to control
/// instances only, because other processes keep no files.
static void
begin_random_fault(struct soak *soak, uint64_t now_us,
                   bool (*may_disturb)(const struct soak_node *node))
{
    bool is_file_fault = next_is_file_fault;
    struct soak_node *node =
        &soak->nodes[soak_draw(soak, &random_state, soak->node_count)];

    while (is_file_fault && !node->has_disk) {
        node = &soak->nodes[soak_draw(soak, &random_state, soak->node_count)];
    }
    if (may_disturb(node)) {
        begin_fault(soak, node, is_file_fault, now_us);
        next_is_file_fault = soak_draw(soak, &random_state, 2) == 0;
        next_fault_us =
            now_us + soak_draw(soak, &random_state, FAULT_INTERVAL_MAX_US);
    }
    else {
        next_fault_us = now_us + RETRY_US;
    }
}

bool
process_faults_is_active(const struct soak_node *node)
{
    return process_faults[node->number].end_us != 0;
}

void
process_faults_tick(struct soak *soak, uint64_t now_us,
                    bool (*may_disturb)(const struct soak_node *node))
{
    for (uint32_t i = 0; i < soak->node_count; i++) {
        struct soak_node *node = &soak->nodes[i];

        if (process_faults[node->number].end_us != 0 &&
            now_us >= process_faults[node->number].end_us) {
            end_fault(soak, node);
        }
    }
    if (now_us < next_fault_us || may_disturb == NULL) {
        return;
    }
    begin_random_fault(soak, now_us, may_disturb);
}

void
process_faults_end_all(struct soak *soak)
{
    for (uint32_t i = 0; i < soak->node_count; i++) {
        if (process_faults[soak->nodes[i].number].end_us != 0) {
            end_fault(soak, &soak->nodes[i]);
        }
    }
}
