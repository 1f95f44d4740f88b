#include "rendezvous.h"

#include <xxhash.h>

enum {
    LOG2_FRACTION_BITS = 20,
    /// Left shift of -log2(hash) before its division by the member's weight,
    /// so that the quotient keeps fractional bits.
    RANK_COST_SHIFT_BITS = 32,
};

/// A member with its rank in one bucket. The lowest rank_cost ranks first;
/// members with equal rank_cost are ranked by hash, highest hash first.
struct candidate {
    uint64_t rank_cost;
    uint64_t hash;
    uint16_t index;
};

/// Returns -log2(hash / 2^64) as a fixed-point number with
/// LOG2_FRACTION_BITS fractional bits.
static uint64_t
negative_log2(uint64_t hash)
{
    uint32_t zeros;
    uint64_t mantissa;
    uint64_t log;

    if (hash == 0) {
        return UINT64_C(64) << LOG2_FRACTION_BITS;
    }
    zeros = (uint32_t)__builtin_clzll(hash);
    mantissa = (hash << zeros) >> 32;
    log = 63 - zeros;
    for (uint32_t bit = 0; bit < LOG2_FRACTION_BITS; bit++) {
        mantissa = mantissa * mantissa >> 31;
        log <<= 1;
        if (mantissa >> 32 != 0) {
            mantissa >>= 1;
            log |= 1;
        }
    }
    return (UINT64_C(64) << LOG2_FRACTION_BITS) - log;
}

static uint64_t
hash_node(uint64_t bucket_seed, uint64_t node_id)
{
    return XXH3_64bits_withSeed(&node_id, sizeof(node_id), bucket_seed);
}

static bool
ranks_before(const struct candidate *a, const struct candidate *b)
{
    if (a->rank_cost != b->rank_cost) {
        return a->rank_cost < b->rank_cost;
    }
    if (a->hash != b->hash) {
        return a->hash > b->hash;
    }
    return a->index < b->index;
}

static void
insert_candidate(struct candidate best[SL_BUCKET_CHOICES],
                 struct candidate candidate)
{
    for (uint32_t i = 0; i < SL_BUCKET_CHOICES; i++) {
        if (best[i].index == SL_NO_MEMBER ||
            ranks_before(&candidate, &best[i])) {
            struct candidate displaced = best[i];

            best[i] = candidate;
            candidate = displaced;
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
                uint16_t choice[SL_BUCKET_CHOICES])
{
    uint64_t seed = XXH3_64bits_withSeed(&bucket, sizeof(bucket), service_id);
    /* With equal weights the rank costs give the same order as the hashes
       alone, so they need not be computed. */
    bool equal_weights = weights_equal(members, count);
    struct candidate best[SL_BUCKET_CHOICES];

    for (uint32_t i = 0; i < SL_BUCKET_CHOICES; i++) {
        best[i] = (struct candidate){.index = SL_NO_MEMBER};
    }
    for (uint32_t i = 0; i < count; i++) {
        struct candidate candidate = {.hash =
                                          hash_node(seed, members[i].node_id),
                                      .index = members[i].index};

        if (!equal_weights) {
            candidate.rank_cost =
                (negative_log2(candidate.hash) << RANK_COST_SHIFT_BITS) /
                members[i].weight;
        }
        insert_candidate(best, candidate);
    }
    for (uint32_t i = 0; i < SL_BUCKET_CHOICES; i++) {
        choice[i] = best[i].index;
    }
}
