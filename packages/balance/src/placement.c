#include "savoryledge/balance/placement.h"

#include <stddef.h>

enum {
    /// Scores are work per slot, in thousandths.
    SCORE_PER_SLOT = 1000,
    /// A flow goes to another zone when that saves so much work per slot:
    /// a third of a slot outweighs the longer way of a short answer.
    FAR_SCORE = 350,
    /// For long answers: the near upstreams are full first.
    FAR_SCORE_DOWNLOAD = 3000,
    /// An upstream that is none of the flow's homes is taken when the homes
    /// have their slots taken.
    AWAY_SCORE = 1000,
    /// Entries that got the same reports differ by up to so much.
    CHANCE_SCORE = 200,
    /// A slow one is taken when the others have their slots taken and as much
    /// again queued: three requests a slot.
    SLOW_SCORE = 3000,
    /// A suspect is taken when everything else is hopeless.
    SUSPECT_SCORE = 20000,
    CLOSED_SCORE = 40000,
};

static bool
is_tried(uint64_t node_id, const uint64_t *tried, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        if (tried[i] == node_id) {
            return true;
        }
    }
    return false;
}

static uint32_t
slots_of(const struct SlCandidate *candidate)
{
    uint32_t slots =
        candidate->load.slots != 0 ? candidate->load.slots : candidate->slots;

    return slots != 0 ? slots : 1;
}

static uint32_t
work_of(const struct SlCandidate *candidate)
{
    return candidate->load.in_progress + candidate->offered_flows;
}

uint64_t
SlPlacement_MixBits(uint64_t value)
{
    value += 0x9e3779b97f4a7c15u;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
    return value ^ (value >> 31);
}

static uint64_t
score_of(const struct SlCandidate *candidate, enum SlTrafficKind kind,
         uint64_t random)
{
    uint64_t score =
        (uint64_t)work_of(candidate) * SCORE_PER_SLOT / slots_of(candidate);

    if (!candidate->in_local_zone) {
        score += kind == SL_TRAFFIC_DOWNLOAD ? FAR_SCORE_DOWNLOAD : FAR_SCORE;
    }
    if (!candidate->is_home) {
        score += AWAY_SCORE;
    }
    if (candidate->slow) {
        score += SLOW_SCORE;
    }
    if (candidate->suspect) {
        score += SUSPECT_SCORE;
    }
    if (candidate->load.declines_flows) {
        score += CLOSED_SCORE;
    }
    return score +
           SlPlacement_MixBits(random ^ candidate->node_id) % CHANCE_SCORE;
}

int32_t
SlPlacement_Choose(const struct SlCandidate *candidates, uint32_t count,
                   const uint64_t *tried, uint32_t tried_count,
                   enum SlTrafficKind kind, uint64_t random)
{
    int32_t best = SL_PLACEMENT_NONE;
    uint64_t least = UINT64_MAX;

    for (uint32_t i = 0; i < count; i++) {
        uint64_t score;

        if (!candidates[i].accepts_flows ||
            is_tried(candidates[i].node_id, tried, tried_count)) {
            continue;
        }
        score = score_of(&candidates[i], kind, random);
        if (score < least) {
            least = score;
            best = (int32_t)i;
        }
    }
    return best;
}

bool
SlPlacement_HasFreeSlot(const struct SlCandidate *candidates, uint32_t count,
                        const uint64_t *tried, uint32_t tried_count,
                        int32_t chosen)
{
    for (uint32_t i = 0; i < count; i++) {
        const struct SlCandidate *candidate = &candidates[i];

        if ((int32_t)i != chosen && candidate->accepts_flows &&
            !candidate->suspect && !candidate->load.declines_flows &&
            work_of(candidate) < slots_of(candidate) &&
            !is_tried(candidate->node_id, tried, tried_count)) {
            return true;
        }
    }
    return false;
}
