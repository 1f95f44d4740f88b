#include "agent_health.h"

#include <stdlib.h>

enum {
    PLACES_PER_AGENT = 2,
};

static struct agent_health *
place_of(struct agent_healths *healths, uint64_t node_id)
{
    for (uint64_t at = node_id;; at++) {
        struct agent_health *health = &healths->places[at & healths->mask];

        if (health->node_id == 0 || health->node_id == node_id) {
            return health;
        }
    }
}

struct agent_health *
agent_healths_find(struct agent_healths *healths, uint64_t node_id)
{
    struct agent_health *health = place_of(healths, node_id);

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
add(struct agent_healths *healths, const struct SlRouteNode *node,
    const struct agent_healths *previous)
{
    struct agent_health *health = place_of(healths, node->node_id);
    struct agent_health *before = NULL;

    health->node_id = node->node_id;
    health->boot = node->boot;
    if (previous != NULL) {
        /* Only read: the search itself changes nothing. */
        before = agent_healths_find((struct agent_healths *)previous,
                                    node->node_id);
    }
    if (before != NULL && before->boot == node->boot) {
        atomic_init(&health->waiting_us, atomic_load(&before->waiting_us));
        atomic_init(&health->suspect_us, atomic_load(&before->suspect_us));
    }
}

struct agent_healths *
agent_healths_create(const struct SlRouting *routing,
                     const struct agent_healths *previous)
{
    uint32_t places = PLACES_PER_AGENT;
    struct agent_healths *healths;

    while (places < (count_agents(routing) + 1) * PLACES_PER_AGENT) {
        places *= 2;
    }
    healths =
        calloc(1, sizeof(*healths) + places * sizeof(healths->places[0]));
    if (healths == NULL) {
        return NULL;
    }
    healths->mask = places - 1;
    for (uint32_t i = 0; i < SlRouting_NodeCount(routing); i++) {
        const struct SlRouteNode *node = SlRouting_NodeAt(routing, i);

        if (node->roles & SL_ROLE_AGENT) {
            add(healths, node, previous);
        }
    }
    return healths;
}

/// 0 stands for "never", so time starts at 1.
static uint64_t
at_least_one(uint64_t now_us)
{
    return now_us ? now_us : 1;
}

enum agent_verdict
agent_health_ask(struct agent_health *health, uint64_t now_us,
                 uint64_t *silent_us)
{
    uint64_t suspect_us = atomic_load(&health->suspect_us);
    uint64_t waiting_us = atomic_load(&health->waiting_us);
    uint64_t never = 0;

    if (suspect_us != 0) {
        if (now_us < suspect_us + AGENT_RETRY_US) {
            return AGENT_SUSPECT;
        }
        /* One flow of all threads tries it. */
        return atomic_compare_exchange_strong(&health->suspect_us, &suspect_us,
                                              at_least_one(now_us))
                   ? AGENT_GOOD
                   : AGENT_SUSPECT;
    }
    if (waiting_us == 0 || now_us < waiting_us + AGENT_SILENCE_US) {
        return AGENT_GOOD;
    }
    *silent_us = now_us - waiting_us;
    return atomic_compare_exchange_strong(&health->suspect_us, &never,
                                          at_least_one(now_us))
               ? AGENT_TURNED_SUSPECT
               : AGENT_SUSPECT;
}

void
agent_health_sent(struct agent_health *health, uint64_t now_us)
{
    uint64_t never = 0;

    if (atomic_load(&health->waiting_us) == 0) {
        atomic_compare_exchange_strong(&health->waiting_us, &never,
                                       at_least_one(now_us));
    }
}

bool
agent_health_heard(struct agent_health *health)
{
    if (atomic_load(&health->waiting_us) != 0) {
        atomic_store(&health->waiting_us, 0);
    }
    if (atomic_load(&health->suspect_us) == 0) {
        return false;
    }
    return atomic_exchange(&health->suspect_us, 0) != 0;
}
