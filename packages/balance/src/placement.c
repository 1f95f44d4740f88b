#include "savoryledge/balance/placement.h"

#include <stddef.h>

enum {
    /// A score counts requests per slot, in thousandths; the candidate with
    /// the lowest score is chosen.
    SCORE_PER_SLOT = 1000,
    /// Added for an upstream in another zone: about a third of a request per
    /// slot outweighs the longer path of a short answer.
    OTHER_ZONE_SCORE = 350,
    /// Added for an upstream in another zone when the flow is a download,
    /// because downloads stay in the zone until its upstreams are full.
    OTHER_ZONE_DOWNLOAD_SCORE = 3000,
    /// Added for an upstream that is not a home of the flow, so that it is
    /// chosen only when all slots of the homes are in use.
    NOT_HOME_SCORE = 1000,
    /// Range of the random term, by which entries with the same reports
    /// differ.
    RANDOM_SCORE_RANGE = 200,
    /// Added for a slow upstream, so that it is chosen only when each of the
    /// other upstreams has three requests per slot more than it: all slots in
    /// use and further requests queued.
    SLOW_SCORE = 3000,
    /// Added for a suspect upstream, so that it is chosen only when every
    /// other upstream is heavily overloaded or declines new flows.
    SUSPECT_SCORE = 20000,
    /// Added for an upstream whose agent declines every new flow.
    CLOSED_SCORE = 40000,
};

static bool
is_excluded(uint64_t node_id, const uint64_t *excluded_ids, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        if (excluded_ids[i] == node_id) {
            return true;
        }
    }
    return false;
}

static uint32_t
slot_count(const struct SlCandidate *candidate)
{
    uint32_t slots =
        candidate->load.slots != 0 ? candidate->load.slots : candidate->slots;

    return slots != 0 ? slots : 1;
}

static uint32_t
request_count(const struct SlCandidate *candidate)
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
compute_score(const struct SlCandidate *candidate, enum SlTrafficKind kind,
              uint64_t random)
{
    uint64_t score = (uint64_t)request_count(candidate) * SCORE_PER_SLOT /
                     slot_count(candidate);

    if (!candidate->in_local_zone) {
        score += kind == SL_TRAFFIC_DOWNLOAD ? OTHER_ZONE_DOWNLOAD_SCORE
                                             : OTHER_ZONE_SCORE;
    }
    if (!candidate->is_home) {
        score += NOT_HOME_SCORE;
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
    return score + SlPlacement_MixBits(random ^ candidate->node_id) %
                       RANDOM_SCORE_RANGE;
}

int32_t
SlPlacement_Choose(const struct SlCandidate *candidates, uint32_t count,
                   const uint64_t *excluded_ids, uint32_t excluded_count,
                   enum SlTrafficKind kind, uint64_t random)
{
    int32_t best = SL_PLACEMENT_NONE;
    uint64_t lowest_score = UINT64_MAX;

    for (uint32_t i = 0; i < count; i++) {
        uint64_t score;

        if (!candidates[i].accepts_flows ||
            is_excluded(candidates[i].node_id, excluded_ids, excluded_count)) {
            continue;
        }
        score = compute_score(&candidates[i], kind, random);
        if (score < lowest_score) {
            lowest_score = score;
            best = (int32_t)i;
        }
    }
    return best;
}

bool
SlPlacement_HasFreeSlot(const struct SlCandidate *candidates, uint32_t count,
                        const uint64_t *excluded_ids, uint32_t excluded_count,
                        int32_t chosen)
{
    for (uint32_t i = 0; i < count; i++) {
        const struct SlCandidate *candidate = &candidates[i];

        if ((int32_t)i != chosen && candidate->accepts_flows &&
            !candidate->suspect && !candidate->load.declines_flows &&
            request_count(candidate) < slot_count(candidate) &&
            !is_excluded(candidate->node_id, excluded_ids, excluded_count)) {
            return true;
        }
    }
    return false;
}
