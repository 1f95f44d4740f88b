/* Flows that upstreams hold while entries and agents restart again and again,
   and frames are late or lost: none is reset. */

#include "relay_simulation.h"

enum {
    ENTRIES = 3,
    AGENTS = 12,
    SLOTS = 4,
    SEEDS = 100,
    FLOWS = 24,
    STEPS = 6000,
    /// Every so many steps on average: a late frame, a restart of an entry and
    /// of an agent, a request, and a new flow.
    LATE_FRAME_STEPS = 2,
    ENTRY_RESTART_STEPS = 400,
    AGENT_RESTART_STEPS = 1500,
    REQUEST_STEPS = 20,
    LATE_US = 600 * 1000,
    LOSS_PERMILLE = 30,
    /// An upstream that has run for a while.
    LATER_SEQ = 30,
};

static bool
happens(struct relay_simulation *sim, uint32_t steps)
{
    return relay_random(sim) % steps == 0;
}

/// Delays a frame that was sent in the last step.
static void
delay_a_frame(struct relay_simulation *sim)
{
    for (struct relay_message *message = sim->queue_head; message != NULL;
         message = message->next) {
        if (!message->for_upstream && happens(sim, 4)) {
            message->due_us += relay_random(sim) % LATE_US;
            return;
        }
    }
}

static void
restart_agent(struct relay_simulation *sim, uint32_t agent)
{
    if (sim->upstreams[agent].status.seq < LATER_SEQ) {
        sim->upstreams[agent].status.seq = LATER_SEQ;
    }
    relay_restart_node(sim, ENTRIES + agent);
}

/// The caller sends its request again, or the next one, through any entry.
static void
send_request(struct relay_simulation *sim, uint32_t flow)
{
    struct relay_caller *caller = &sim->callers[flow];

    if (caller->state != CALLER_WAITING && caller->state != CALLER_ANSWERED) {
        return;
    }
    relay_send_request(sim, (uint32_t)(relay_random(sim) % ENTRIES), flow);
}

/// Returns the number of resets of flows that their upstreams hold open. Those
/// of refused openings are left out: a caller whose flow is open ignores them.
static uint32_t
run_seed(uint64_t seed)
{
    struct relay_simulation *sim =
        relay_simulation_create(ENTRIES, AGENTS, SLOTS, seed);
    uint32_t resets = 0;

    sim->loss_permille = LOSS_PERMILLE;
    for (uint32_t step = 0; step < STEPS; step++) {
        if (sim->caller_count < FLOWS && happens(sim, REQUEST_STEPS)) {
            (void)relay_open_flow(sim,
                                  (uint32_t)(relay_random(sim) % ENTRIES));
        }
        if (sim->caller_count > 0 && happens(sim, REQUEST_STEPS)) {
            send_request(sim,
                         (uint32_t)(relay_random(sim) % sim->caller_count));
        }
        if (happens(sim, LATE_FRAME_STEPS)) {
            delay_a_frame(sim);
        }
        if (happens(sim, ENTRY_RESTART_STEPS)) {
            relay_restart_node(sim, (uint32_t)(relay_random(sim) % ENTRIES));
        }
        if (happens(sim, AGENT_RESTART_STEPS)) {
            restart_agent(sim, (uint32_t)(relay_random(sim) % AGENTS));
        }
        relay_simulation_step(sim);
    }
    for (uint32_t i = 0; i < sim->caller_count; i++) {
        if (relay_find_holder(sim, i) < AGENTS) {
            resets += sim->callers[i].resets - sim->callers[i].ignored_resets;
        }
    }
    relay_simulation_destroy(sim);
    return resets;
}

static void
test_restarts_reset_no_held_flow(void)
{
    uint32_t broken = 0;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        broken += run_seed(seed) > 0;
    }
    CU_ASSERT_EQUAL(broken, 0);
    printf("%u of %u seeds reset a held flow\n", (unsigned)broken,
           (unsigned)SEEDS);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"late frames and restarts reset no held flow",
         test_restarts_reset_no_held_flow},
    };

    return RUN_SUITE("relay restart", CASES);
}
