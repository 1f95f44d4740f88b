#include "relay_search.h"

#include <stdlib.h>
#include <string.h>

enum {
    INITIAL_CANDIDATES = 16,
    /// Agents of the first wave; each further one has twice as many.
    FIRST_WAVE = 2,
};

struct SlRelaySearch *
SlRelaySearch_Create(uint64_t now_us, uint32_t ack)
{
    struct SlRelaySearch *search = calloc(1, sizeof(*search));

    if (search != NULL) {
        search->began_us = now_us;
        search->ack = ack;
        search->wave_size = FIRST_WAVE;
    }
    return search;
}

void
SlRelaySearch_Destroy(struct SlRelaySearch *search)
{
    if (search == NULL) {
        return;
    }
    for (uint32_t i = 0; i < search->segment_count; i++) {
        free(search->segments[i].bytes);
    }
    free(search->candidates);
    SlNodeSet_Release(&search->probed);
    free(search);
}

bool
SlRelaySearch_KeepSegment(struct SlRelaySearch *search, const uint8_t *bytes,
                          uint32_t length_bytes)
{
    uint8_t *copy;

    if (search->segment_count == SL_SEARCH_SEGMENTS_MAX) {
        return false;
    }
    copy = malloc(length_bytes);
    if (copy == NULL) {
        return false;
    }
    memcpy(copy, bytes, length_bytes);
    search->segments[search->segment_count].bytes = copy;
    search->segments[search->segment_count].length_bytes = length_bytes;
    search->segment_count++;
    return true;
}

static bool
reserve_candidate(struct SlRelaySearch *search)
{
    uint32_t capacity = search->candidate_capacity == 0
                            ? INITIAL_CANDIDATES
                            : search->candidate_capacity * 2;
    struct SlSearchCandidate *candidates;

    if (search->candidate_count < search->candidate_capacity) {
        return true;
    }
    candidates = realloc(search->candidates, capacity * sizeof(*candidates));
    if (candidates == NULL) {
        return false;
    }
    search->candidates = candidates;
    search->candidate_capacity = capacity;
    return true;
}

static bool
is_nearer(const struct SlRelaySearch *search, uint32_t a, uint32_t b)
{
    return search->candidates[a].distance < search->candidates[b].distance;
}

static void
swap_candidates(struct SlRelaySearch *search, uint32_t a, uint32_t b)
{
    struct SlSearchCandidate candidate = search->candidates[a];

    search->candidates[a] = search->candidates[b];
    search->candidates[b] = candidate;
}

static void
move_up(struct SlRelaySearch *search, uint32_t index)
{
    while (index > 0 && is_nearer(search, index, (index - 1) / 2)) {
        swap_candidates(search, index, (index - 1) / 2);
        index = (index - 1) / 2;
    }
}

static void
move_down(struct SlRelaySearch *search, uint32_t index)
{
    for (;;) {
        uint32_t nearest = index;

        for (uint32_t child = 2 * index + 1;
             child <= 2 * index + 2 && child < search->candidate_count;
             child++) {
            nearest = is_nearer(search, child, nearest) ? child : nearest;
        }
        if (nearest == index) {
            return;
        }
        swap_candidates(search, index, nearest);
        index = nearest;
    }
}

static bool
was_probed(const struct SlRelaySearch *search,
           const struct SlNodeSet *returned, uint64_t node_id)
{
    return SlNodeSet_Contains(returned, node_id) ||
           SlNodeSet_Contains(&search->probed, node_id);
}

void
SlRelaySearch_AddCandidate(struct SlRelaySearch *search,
                           const struct SlNodeSet *returned,
                           const struct SlSearchCandidate *candidate)
{
    if (was_probed(search, returned, candidate->node_id)) {
        return;
    }
    if (!reserve_candidate(search)) {
        search->uncertain = true;
        return;
    }
    search->candidates[search->candidate_count] = *candidate;
    move_up(search, search->candidate_count++);
}

uint64_t
SlRelaySearch_TakeCandidate(struct SlRelaySearch *search,
                            const struct SlNodeSet *returned)
{
    while (search->candidate_count > 0) {
        uint64_t node_id = search->candidates[0].node_id;

        search->candidates[0] = search->candidates[--search->candidate_count];
        move_down(search, 0);
        /* The same agent may have been added twice. */
        if (!was_probed(search, returned, node_id)) {
            if (!SlNodeSet_Add(&search->probed, node_id)) {
                search->uncertain = true;
            }
            search->awaited++;
            return node_id;
        }
    }
    return 0;
}

bool
SlRelaySearch_RecordReturn(struct SlRelaySearch *search, uint64_t node_id)
{
    if (!SlNodeSet_Remove(&search->probed, node_id) || search->awaited == 0) {
        return false;
    }
    return --search->awaited == 0;
}
