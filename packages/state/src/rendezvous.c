#include "rendezvous.h"

#include <xxhash.h>

enum {
    FRACTION_BITS = 20,
    COST_SHIFT_BITS = 32,
};

/// A member with its place in one bucket: least cost first.
struct candidate {
    uint64_t cost;
    uint64_t draw;
    uint16_t index;
};

/// -log2(draw / 2^64) with FRACTION_BITS bits after the point.
static uint64_t
negative_log2(uint64_t draw)
{
    uint32_t zeros;
    uint64_t mantissa;
    uint64_t log;

    if (draw == 0) {
        return UINT64_C(64) << FRACTION_BITS;
    }
    zeros = (uint32_t)__builtin_clzll(draw);
    mantissa = (draw << zeros) >> 32;
    log = 63 - zeros;
    for (uint32_t bit = 0; bit < FRACTION_BITS; bit++) {
        mantissa = mantissa * mantissa >> 31;
        log <<= 1;
        if (mantissa >> 32 != 0) {
            mantissa >>= 1;
            log |= 1;
        }
    }
    return (UINT64_C(64) << FRACTION_BITS) - log;
}

static uint64_t
draw_of(uint64_t bucket_seed, uint64_t node_id)
{
    return XXH3_64bits_withSeed(&node_id, sizeof(node_id), bucket_seed);
}

static bool
comes_before(const struct candidate *a, const struct candidate *b)
{
    if (a->cost != b->cost) {
        return a->cost < b->cost;
    }
    if (a->draw != b->draw) {
        return a->draw > b->draw;
    }
    return a->index < b->index;
}

static void
insert(struct candidate best[SL_CHOICES], struct candidate candidate)
{
    for (uint32_t i = 0; i < SL_CHOICES; i++) {
        if (best[i].index == SL_NO_MEMBER ||
            comes_before(&candidate, &best[i])) {
            struct candidate moved = best[i];

            best[i] = candidate;
            candidate = moved;
        }
    }
}

static bool
weights_equal(const struct rendezvous_member *members, uint32_t count)
{
    for (uint32_t i = 1; i < count; i++) {
        if (members[i].weight != members[0].weight) {
            return false;
        }
    }
    return true;
}

void
rendezvous_rank(uint64_t service_id, uint32_t bucket,
                const struct rendezvous_member *members, uint32_t count,
                uint16_t choice[SL_CHOICES])
{
    uint64_t seed = XXH3_64bits_withSeed(&bucket, sizeof(bucket), service_id);
    /* With equal weights the order of cost is that of the draws. */
    bool plain = weights_equal(members, count);
    struct candidate best[SL_CHOICES];

    for (uint32_t i = 0; i < SL_CHOICES; i++) {
        best[i] = (struct candidate){.index = SL_NO_MEMBER};
    }
    for (uint32_t i = 0; i < count; i++) {
        struct candidate candidate = {.draw =
                                          draw_of(seed, members[i].node_id),
                                      .index = members[i].index};

        if (!plain) {
            candidate.cost =
                (negative_log2(candidate.draw) << COST_SHIFT_BITS) /
                members[i].weight;
        }
        insert(best, candidate);
    }
    for (uint32_t i = 0; i < SL_CHOICES; i++) {
        choice[i] = best[i].index;
    }
}
