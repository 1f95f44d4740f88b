/// Ends the run with losses: right after a change was accepted, all processes
/// are killed, or that and some control instances lose their disks. What was
/// accepted must then be read back, and requests must be served again.

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

enum {
    /// Until the processes are back.
    RESTART_US = 1000 * 1000,
    /// From the end of the recovery to the next loss.
    READ_BACK_US = 8 * 1000 * 1000,
    REPLACE_INTERVAL_US = 15 * 1000 * 1000,
    /// Time after which an unaccepted change ends the run.
    GIVE_UP_US = 30 * 1000 * 1000,
};

static uint64_t random_state;
static uint32_t lost;
/// The change after whose acceptance all processes are killed; 0 for none.
static uint64_t awaited_version;
static uint64_t change_us;
static uint64_t next_us;

void
losses_replace_control(struct soak *soak, uint64_t now_us,
                       bool (*may_disturb)(const struct soak_node *node))
{
    static uint64_t next_replace_us;
    struct soak_node *node =
        &soak->nodes[soak_draw_control(soak, &random_state)->number - 1];
    struct soak_node *successor = &soak->nodes[soak->node_count];

    if (soak->replacements == 0 || now_us < next_replace_us ||
        !node->has_disk || !may_disturb(node)) {
        return;
    }
    soak->replacements--;
    next_replace_us = now_us + REPLACE_INTERVAL_US;
    node->is_removed = true;
    soak_signal_node(soak, node, SIGKILL);
    soak_add_node(soak, SOAK_CONTROL, true, node->zone);
    successor->is_successor = true;
    successor->is_first_start = false;
    successor->was_started = true;
    soak_log_fault(soak, "replace %u by %u", node->number, successor->number);
    if (proxy_add(successor->number) == SL_OK) {
        soak_start_node(soak, successor);
    }
}

/// Reports the new control instances that belong to no control group, by the
/// last line about membership in their logs.
static void
check_successors(struct soak *soak)
{
    for (uint32_t i = 0; i < soak->node_count; i++) {
        const struct soak_node *node = &soak->nodes[i];
        char path[SOAK_PATH_BYTES + 32];
        char line[512];
        bool is_member = false;
        FILE *log;

        if (!node->is_successor || node->is_removed) {
            continue;
        }
        snprintf(path, sizeof(path), "%s/node-%u.log", soak->folder,
                 node->number);
        log = fopen(path, "re");
        while (log != NULL && fgets(line, sizeof(line), log) != NULL) {
            if (strstr(line, " member ") != NULL) {
                is_member = strstr(line, " members=0 ") == NULL;
            }
        }
        if (log != NULL) {
            fclose(log);
        }
        if (!is_member) {
            soak_report_violation(
                soak, "new control instance %u has not joined any group",
                node->number);
        }
    }
}

/// Deletes the data of two control instances, or of one if there are fewer
/// than five.
static void
delete_disks(struct soak *soak)
{
    const struct soak_node *first = NULL;
    uint32_t disks = 0;

    for (uint32_t i = 0; i < soak->node_count; i++) {
        disks += soak->nodes[i].has_disk && !soak->nodes[i].is_removed;
    }
    for (uint32_t deleted = 0; deleted < (disks < 5 ? 1 : 2);) {
        const struct soak_node *node = soak_draw_control(soak, &random_state);

        if (node->has_disk && node != first) {
            first = node;
            soak_delete_node_data(soak, node);
            soak_log_fault(soak, "wipe %u", node->number);
            deleted++;
        }
    }
}

void
losses_kill_all(struct soak *soak, uint64_t now_us)
{
    soak_log_fault(soak, "kill all processes");
    for (uint32_t i = 0; i < soak->node_count; i++) {
        if (!soak->nodes[i].is_paused) {
            soak_signal_node(soak, &soak->nodes[i], SIGKILL);
        }
    }
    soak->agents_lost_us = now_us;
    soak->all_lost_us = now_us;
    soak->disturbed_until_us = now_us + RESTART_US + SOAK_CONTACT_US;
}

/// Kills all processes right after a change was accepted. In every second
/// round disks are lost as well.
static void
lose_all(struct soak *soak, uint64_t now_us)
{
    losses_kill_all(soak, now_us);
    if ((lost + soak->seed) % 2 == 0) {
        delete_disks(soak);
    }
    lost++;
    awaited_version = 0;
    soak->recovered_us = now_us + RESTART_US + SOAK_RECOVERY_US;
    next_us = soak->recovered_us + READ_BACK_US;
    /* After a loss at the end bounds hold later. */
    soak->disturbed_until_us += SOAK_CONTACT_US;
}

bool
losses_tick(struct soak *soak, uint64_t now_us)
{
    if (now_us < soak->end_us || now_us < next_us) {
        return false;
    }
    if (awaited_version != 0) {
        if (operator_version_accepted(now_us, NULL) >= awaited_version) {
            lose_all(soak, now_us);
        }
        return now_us - change_us > GIVE_UP_US;
    }
    if (lost == soak->losses) {
        return true;
    }
    change_us = now_us;
    awaited_version = operator_change_config(now_us);
    if (awaited_version != 0) {
        check_successors(soak);
    }
    return false;
}
