/// Storage of the searches in progress. Their number and the bytes of the
/// packets queued in them are limited.

#include "agent_search.h"
#include "agent_core.h"

#include <stdlib.h>

bool
agent_searches_init(struct agent_searches *searches)
{
    searches->free_count = AGENT_SEARCHES_MAX;
    for (uint32_t i = 0; i < AGENT_SEARCHES_MAX; i++) {
        searches->free_slots[i] = (uint16_t)(AGENT_SEARCHES_MAX - 1 - i);
    }
    return pthread_mutex_init(&searches->lock, NULL) == 0;
}

void
agent_search_release(struct agent_search *search)
{
    if (search == NULL) {
        return;
    }
    for (uint32_t i = 0; i < search->queued_count; i++) {
        free(search->queued_packets[i].bytes);
    }
    free(search);
}

void
agent_searches_release(struct agent_searches *searches)
{
    for (uint32_t i = 0; i < AGENT_SEARCHES_MAX; i++) {
        agent_search_release(searches->slots[i]);
        searches->slots[i] = NULL;
    }
}

/// Counts a search of this kind if the window's budget and the free slots
/// allow it. The lock must be held.
static bool
take_search_budget(struct agent_searches *searches, bool claim,
                   uint64_t now_us)
{
    if (agent_elapsed_us(now_us, searches->window_us) >=
        AGENT_SEARCH_WINDOW_US) {
        searches->window_us = now_us;
        searches->started_in_window[0] = 0;
        searches->started_in_window[1] = 0;
    }
    if (searches->free_count == 0 ||
        searches->started_in_window[claim] == AGENT_SEARCHES_PER_WINDOW) {
        return false;
    }
    searches->started_in_window[claim]++;
    return true;
}

struct agent_search *
agent_search_start(struct agent_searches *searches, bool claim,
                   uint64_t now_us, uint64_t *slot)
{
    struct agent_search *search = calloc(1, sizeof(*search));
    bool within_budget;

    if (search == NULL) {
        return NULL;
    }
    search->claim = claim;
    search->started_us = now_us;
    pthread_mutex_lock(&searches->lock);
    within_budget = take_search_budget(searches, claim, now_us);
    if (within_budget) {
        *slot = searches->free_slots[--searches->free_count];
        searches->slots[*slot] = search;
    }
    pthread_mutex_unlock(&searches->lock);
    if (!within_budget) {
        free(search);
        return NULL;
    }
    return search;
}

struct agent_search *
agent_search_find(struct agent_searches *searches, const struct SlFlow *flow)
{
    struct agent_search *search;

    pthread_mutex_lock(&searches->lock);
    search = searches->slots[flow->holder];
    pthread_mutex_unlock(&searches->lock);
    return search;
}

struct agent_search *
agent_search_detach(struct agent_searches *searches, const struct SlFlow *flow)
{
    struct agent_search *search;

    pthread_mutex_lock(&searches->lock);
    search = searches->slots[flow->holder];
    for (uint32_t i = 0; i < search->queued_count; i++) {
        searches->queued_bytes -=
            search->queued_packets[i].tunnel.packet_bytes;
    }
    searches->slots[flow->holder] = NULL;
    searches->free_slots[searches->free_count++] = (uint16_t)flow->holder;
    pthread_mutex_unlock(&searches->lock);
    return search;
}

bool
agent_search_reserve_bytes(struct agent_searches *searches,
                           uint32_t length_bytes)
{
    bool fits;

    pthread_mutex_lock(&searches->lock);
    fits = searches->queued_bytes + length_bytes <= AGENT_SEARCH_BYTES_MAX;
    searches->queued_bytes += fits ? length_bytes : 0;
    pthread_mutex_unlock(&searches->lock);
    return fits;
}

void
agent_search_unreserve_bytes(struct agent_searches *searches,
                             uint32_t length_bytes)
{
    pthread_mutex_lock(&searches->lock);
    searches->queued_bytes -= length_bytes;
    pthread_mutex_unlock(&searches->lock);
}
