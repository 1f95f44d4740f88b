/// Ends the run with losses: right after a change was accepted, all processes
/// are killed, or that and two control instances lose their disks. What was
/// accepted must then be read back, and requests must be served again.

#include <signal.h>

#include "soak.h"

enum {
    LOST_DISKS = 2,
    /// Until the processes are back.
    RESTART_US = 1000 * 1000,
    /// From the end of the recovery to the next loss.
    READ_BACK_US = 8 * 1000 * 1000,
};

static uint64_t random_state;
static uint32_t lost;
/// The change after whose acceptance all processes are killed; 0 for none.
static uint64_t awaited_version;
static uint64_t next_us;

static void
delete_disks(struct soak *soak)
{
    const struct soak_node *first = NULL;

    for (uint32_t deleted = 0; deleted < LOST_DISKS;) {
        const struct soak_node *node = soak_draw_control(soak, &random_state);

        if (node->has_disk && node != first) {
            first = node;
            soak_delete_node_data(soak, node);
            soak_log_fault(soak, "wipe %u", node->number);
            deleted++;
        }
    }
}

static void
lose_all(struct soak *soak, uint64_t now_us)
{
    bool lose_disks = (lost + soak->seed) % 2 == 0;

    soak_log_fault(soak, "kill all, after version %llu was accepted",
                   (unsigned long long)awaited_version);
    for (uint32_t i = 0; i < soak->node_count; i++) {
        soak_signal_node(soak, &soak->nodes[i], SIGKILL);
    }
    if (lose_disks) {
        delete_disks(soak);
    }
    lost++;
    awaited_version = 0;
    soak->recovered_us = now_us + RESTART_US + SOAK_RECOVERY_US;
    next_us = soak->recovered_us + READ_BACK_US;
    /* The loss of most control instances takes twice as long. */
    soak->disturbed_until_us = now_us + RESTART_US + 2ull * SOAK_CONTACT_US;
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
        return false;
    }
    if (lost == soak->losses) {
        return true;
    }
    awaited_version = operator_change_config(now_us);
    return false;
}
