#include "savoryledge/balance/homes.h"

/// The best ranked candidates of a zone so far, the best first.
struct ranking {
    uint32_t count;
    uint32_t at[SL_HOMES_PER_ZONE];
    uint64_t weight[SL_HOMES_PER_ZONE];
};

static void
insert(struct ranking *ranking, uint32_t at, uint64_t weight)
{
    uint32_t place = ranking->count;

    if (place == SL_HOMES_PER_ZONE) {
        if (weight <= ranking->weight[place - 1]) {
            return;
        }
        place--;
    }
    else {
        ranking->count++;
    }
    while (place > 0 && ranking->weight[place - 1] < weight) {
        ranking->at[place] = ranking->at[place - 1];
        ranking->weight[place] = ranking->weight[place - 1];
        place--;
    }
    ranking->at[place] = at;
    ranking->weight[place] = weight;
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
        insert(&rankings[candidates[i].zone % SL_HOMES_ZONES], i,
               SlPlacement_MixBits(flow_hash ^ candidates[i].node_id));
    }
    for (uint32_t zone = 0; zone < SL_HOMES_ZONES; zone++) {
        for (uint32_t i = 0; i < rankings[zone].count; i++) {
            candidates[rankings[zone].at[i]].is_home = true;
        }
    }
}
