#include "agent_health.h"

#include <stdlib.h>

enum {
    SLOTS_PER_AGENT = 2,
};

static struct agent_health *
find_slot(struct agent_health_table *health_table, uint64_t node_id)
{
    for (uint64_t index = node_id;; index++) {
        struct agent_health *health =
            &health_table->slots[index & health_table->mask];

        if (health->node_id == 0 || health->node_id == node_id) {
            return health;
        }
    }
}

struct agent_health *
agent_health_table_find(struct agent_health_table *health_table,
                        uint64_t node_id)
{
    struct agent_health *health = find_slot(health_table, node_id);

    return health->node_id == node_id ? health : NULL;
}

static uint32_t
count_agents(const struct SlRouting *routing)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < SlRouting_NodeCount(routing); i++) {
        count += (SlRouting_NodeAt(routing, i)->roles & SL_ROLE_AGENT) != 0;
    }
    return count;
}

static void
add_agent(struct agent_health_table *health_table,
          const struct SlRouteNode *node,
          const struct agent_health_table *previous)
{
    struct agent_health *health = find_slot(health_table, node->node_id);
    struct agent_health *before = NULL;

    health->node_id = node->node_id;
    health->boot = node->boot;
    if (previous != NULL) {
        /* The lookup does not modify the table. */
        before = agent_health_table_find((struct agent_health_table *)previous,
                                         node->node_id);
    }
    if (before != NULL && before->boot == node->boot) {
        atomic_init(&health->unanswered_us,
                    atomic_load(&before->unanswered_us));
        atomic_init(&health->suspect_us, atomic_load(&before->suspect_us));
    }
}

struct agent_health_table *
agent_health_table_create(const struct SlRouting *routing,
                          const struct agent_health_table *previous)
{
    uint32_t slots = SLOTS_PER_AGENT;
    struct agent_health_table *health_table;

    while (slots < (count_agents(routing) + 1) * SLOTS_PER_AGENT) {
        slots *= 2;
    }
    health_table = calloc(1, sizeof(*health_table) +
                                 slots * sizeof(health_table->slots[0]));
    if (health_table == NULL) {
        return NULL;
    }
    health_table->mask = slots - 1;
    for (uint32_t i = 0; i < SlRouting_NodeCount(routing); i++) {
        const struct SlRouteNode *node = SlRouting_NodeAt(routing, i);

        if (node->roles & SL_ROLE_AGENT) {
            add_agent(health_table, node, previous);
        }
    }
    return health_table;
}

/// Returns the time, or 1 for 0, because 0 stands for "never".
static uint64_t
nonzero_time(uint64_t now_us)
{
    return now_us ? now_us : 1;
}

enum agent_health_state
agent_health_check(struct agent_health *health, uint64_t now_us,
                   uint64_t *silent_us)
{
    uint64_t suspect_us = atomic_load(&health->suspect_us);
    uint64_t unanswered_us = atomic_load(&health->unanswered_us);
    uint64_t never = 0;

    if (suspect_us != 0) {
        if (now_us < suspect_us + AGENT_SUSPECT_RETRY_US) {
            return AGENT_SUSPECT;
        }
        /* Of all threads, one sends a flow as a retry. */
        return atomic_compare_exchange_strong(&health->suspect_us, &suspect_us,
                                              nonzero_time(now_us))
                   ? AGENT_HEALTHY
                   : AGENT_SUSPECT;
    }
    if (unanswered_us == 0 || now_us < unanswered_us + AGENT_SILENCE_US) {
        return AGENT_HEALTHY;
    }
    *silent_us = now_us - unanswered_us;
    return atomic_compare_exchange_strong(&health->suspect_us, &never,
                                          nonzero_time(now_us))
               ? AGENT_NEWLY_SUSPECT
               : AGENT_SUSPECT;
}

void
agent_health_record_flow(struct agent_health *health, uint64_t now_us)
{
    uint64_t never = 0;

    if (atomic_load(&health->unanswered_us) == 0) {
        atomic_compare_exchange_strong(&health->unanswered_us, &never,
                                       nonzero_time(now_us));
    }
}

bool
agent_health_record_answer(struct agent_health *health)
{
    if (atomic_load(&health->unanswered_us) != 0) {
        atomic_store(&health->unanswered_us, 0);
    }
    if (atomic_load(&health->suspect_us) == 0) {
        return false;
    }
    return atomic_exchange(&health->suspect_us, 0) != 0;
}
