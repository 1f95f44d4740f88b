#include "savoryledge/balance/homes.h"

/// The highest ranked candidates of one zone, in descending order of weight.
struct ranking {
    uint32_t count;
    uint32_t indexes[SL_HOMES_PER_ZONE];
    uint64_t weight[SL_HOMES_PER_ZONE];
};

static void
insert_ranked(struct ranking *ranking, uint32_t index, uint64_t weight)
{
    uint32_t position = ranking->count;

    if (position == SL_HOMES_PER_ZONE) {
        if (weight <= ranking->weight[position - 1]) {
            return;
        }
        position--;
    }
    else {
        ranking->count++;
    }
    while (position > 0 && ranking->weight[position - 1] < weight) {
        ranking->indexes[position] = ranking->indexes[position - 1];
        ranking->weight[position] = ranking->weight[position - 1];
        position--;
    }
    ranking->indexes[position] = index;
    ranking->weight[position] = weight;
}

uint64_t
SlHomes_Weight(uint64_t node_id, uint64_t flow_hash)
{
    return SlPlacement_MixBits(flow_hash ^ node_id);
}

void
SlHomes_Mark(struct SlCandidate *candidates, uint32_t count,
             uint64_t flow_hash)
{
    struct ranking rankings[SL_HOMES_ZONES];

    for (uint32_t zone = 0; zone < SL_HOMES_ZONES; zone++) {
        rankings[zone].count = 0;
    }
    for (uint32_t i = 0; i < count; i++) {
        candidates[i].is_home = false;
        insert_ranked(&rankings[candidates[i].zone % SL_HOMES_ZONES], i,
                      SlHomes_Weight(candidates[i].node_id, flow_hash));
    }
    for (uint32_t zone = 0; zone < SL_HOMES_ZONES; zone++) {
        for (uint32_t i = 0; i < rankings[zone].count; i++) {
            candidates[rankings[zone].indexes[i]].is_home = true;
        }
    }
}
