#include "savoryledge/balance/placement.h"

#include <stddef.h>

#include "savoryledge/balance/admission.h"

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
    /// The same for a flow that is placed by its demand, which changes far
    /// more slowly than the number of requests.
    RANDOM_DEMAND_RANGE = 40,
    /// Added for a slow upstream, so that it is chosen only when each of the
    /// other upstreams has three requests per slot more than it: all slots in
    /// use and further requests queued.
    SLOW_SCORE = 3000,
    /// Added for a suspect upstream, so that it is chosen only when every
    /// other upstream is heavily overloaded or declines new flows.
    SUSPECT_SCORE = 20000,
    /// Added for an upstream whose agent declines every new flow.
    CLOSED_SCORE = 40000,
    /// A report older than this says nothing about the requests in progress,
    /// nor about the speed of the upstream, which may have recovered without
    /// work since.
    REPORT_AGE_MAX_US = 2 * 1000 * 1000,
    PERCENT = 100,
    PERMILLE = 1000,
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

/// Returns the number of transfers that an upstream can have in addition to
/// its requests.
static uint32_t
transfer_limit(const struct SlCandidate *candidate)
{
    return slot_count(candidate) + SL_UPSTREAM_QUEUE_MAX;
}

/// Returns the score of the work at a candidate. For an upload, the requests
/// that it meets when its body has arrived count, and the transfers with which
/// it shares the upstream's queue.
static uint64_t
work_score(const struct SlCandidate *candidate, enum SlTrafficKind kind)
{
    uint64_t transfers =
        (uint64_t)candidate->load.transfers + candidate->offered_flows;

    if (kind == SL_TRAFFIC_UPLOAD) {
        return (uint64_t)candidate->load.in_progress * SCORE_PER_SLOT /
                   slot_count(candidate) +
               transfers * SCORE_PER_SLOT / transfer_limit(candidate);
    }
    return (uint64_t)request_count(candidate) * SCORE_PER_SLOT /
           slot_count(candidate);
}

static bool
has_room(const struct SlCandidate *candidate, enum SlTrafficKind kind)
{
    if (kind == SL_TRAFFIC_UPLOAD) {
        return candidate->load.in_progress < slot_count(candidate) &&
               request_count(candidate) + candidate->load.transfers <
                   transfer_limit(candidate);
    }
    return request_count(candidate) < slot_count(candidate);
}

uint64_t
SlPlacement_MixBits(uint64_t value)
{
    value += 0x9e3779b97f4a7c15u;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9u;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebu;
    return value ^ (value >> 31);
}

/// Returns the work in progress that is expected at a candidate now. What was
/// left at the time of its report gives way to what its demand leaves there on
/// average.
static uint64_t
outstanding_work_us(const struct SlCandidate *candidate, uint64_t age_us,
                    uint64_t work_us, uint64_t demand_permille)
{
    const struct SlRelayLoad *load = &candidate->load;
    /* Average remaining work of a request that is found in a slot. */
    uint64_t residual_us = work_us * (PERCENT + load->variation_percent) /
                           ((uint64_t)2 * PERCENT);
    uint64_t average_us = residual_us * demand_permille / PERMILLE;
    uint64_t left_us = load->remaining_us;
    uint64_t weight;

    if (residual_us == 0 || age_us > REPORT_AGE_MAX_US) {
        return average_us;
    }
    /* exp(-age / residual) in thousandths, by its series. */
    weight = (uint64_t)PERMILLE * 2 * residual_us * residual_us /
             (2 * residual_us * residual_us + 2 * residual_us * age_us +
              age_us * age_us);
    return (left_us * weight + average_us * (PERMILLE - weight)) / PERMILLE;
}

void
SlPlacement_ComputeTerms(const struct SlCandidate *candidate,
                         const struct SlPlacementRequest *request,
                         struct SlPlacementTerms *terms)
{
    uint64_t age_us = request->now_us > candidate->reported_us
                          ? request->now_us - candidate->reported_us
                          : 0;
    bool is_known = candidate->load.work_us != 0 && !candidate->is_probe &&
                    age_us <= REPORT_AGE_MAX_US;
    uint64_t demand_permille =
        is_known
            ? candidate->load.demand_permille
            : (uint64_t)request->slot_demand_permille * slot_count(candidate);

    terms->work_us = is_known ? candidate->load.work_us : request->work_us;
    terms->wait_us = (outstanding_work_us(candidate, age_us, terms->work_us,
                                          demand_permille) +
                      candidate->offered_flows * terms->work_us) /
                     slot_count(candidate);
    terms->demand_permille =
        demand_permille +
        (uint64_t)candidate->offered_flows * request->flow_demand_permille;
}

/// Returns the score of the expected answer at a candidate, on the scale of
/// work_score.
static uint64_t
cost_score(const struct SlCandidate *candidate,
           const struct SlPlacementRequest *request)
{
    struct SlPlacementTerms terms;

    SlPlacement_ComputeTerms(candidate, request, &terms);
    if (request->flow_demand_permille != 0) {
        return terms.demand_permille * SCORE_PER_SLOT /
               ((uint64_t)PERMILLE * slot_count(candidate));
    }
    return (terms.wait_us + terms.work_us) * SCORE_PER_SLOT / request->work_us;
}

/// Returns the part of a score that does not depend on the load.
static uint64_t
place_score(const struct SlCandidate *candidate, enum SlTrafficKind kind)
{
    uint64_t score = 0;

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
    return score;
}

static uint64_t
compute_score(const struct SlCandidate *candidate, enum SlTrafficKind kind,
              uint64_t random)
{
    return work_score(candidate, kind) + place_score(candidate, kind) +
           SlPlacement_MixBits(random ^ candidate->node_id) %
               RANDOM_SCORE_RANGE;
}

static uint64_t
compute_score_by_cost(const struct SlCandidate *candidate,
                      const struct SlPlacementRequest *request)
{
    return cost_score(candidate, request) +
           place_score(candidate, request->kind) +
           SlPlacement_MixBits(request->random ^ candidate->node_id) %
               (request->flow_demand_permille != 0 ? RANDOM_DEMAND_RANGE
                                                   : RANDOM_SCORE_RANGE);
}

void
SlPlacement_ComputeScore(const struct SlCandidate *candidate,
                         const struct SlPlacementRequest *request,
                         bool by_cost, struct SlPlacementScore *score)
{
    struct SlPlacementTerms terms;

    *score = (struct SlPlacementScore){
        .load = work_score(candidate, request->kind),
        .place = place_score(candidate, request->kind),
        .random_range = RANDOM_SCORE_RANGE,
        .has_room = has_room(candidate, request->kind)};
    if (by_cost) {
        SlPlacement_ComputeTerms(candidate, request, &terms);
        score->load = cost_score(candidate, request);
        score->has_room = terms.wait_us < request->work_us;
        if (request->flow_demand_permille != 0) {
            score->random_range = RANDOM_DEMAND_RANGE;
        }
    }
    score->has_room = score->has_room && candidate->accepts_flows &&
                      !candidate->load.declines_flows;
}

int32_t
SlPlacement_ChooseByCost(const struct SlCandidate *candidates, uint32_t count,
                         const uint64_t *excluded_ids, uint32_t excluded_count,
                         const struct SlPlacementRequest *request)
{
    int32_t best = SL_PLACEMENT_NONE;
    uint64_t lowest_score = UINT64_MAX;

    if (request->kind == SL_TRAFFIC_UPLOAD) {
        return SlPlacement_Choose(candidates, count, excluded_ids,
                                  excluded_count, request->kind,
                                  request->random);
    }
    for (uint32_t i = 0; i < count; i++) {
        uint64_t score;

        if (!candidates[i].accepts_flows ||
            is_excluded(candidates[i].node_id, excluded_ids, excluded_count)) {
            continue;
        }
        score = compute_score_by_cost(&candidates[i], request);
        if (score < lowest_score) {
            lowest_score = score;
            best = (int32_t)i;
        }
    }
    return best;
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
                        int32_t chosen, enum SlTrafficKind kind)
{
    for (uint32_t i = 0; i < count; i++) {
        const struct SlCandidate *candidate = &candidates[i];

        if ((int32_t)i != chosen && candidate->accepts_flows &&
            !candidate->suspect && !candidate->load.declines_flows &&
            has_room(candidate, kind) &&
            !is_excluded(candidate->node_id, excluded_ids, excluded_count)) {
            return true;
        }
    }
    return false;
}

bool
SlPlacement_HasShortWait(const struct SlCandidate *candidates, uint32_t count,
                         const uint64_t *excluded_ids, uint32_t excluded_count,
                         int32_t chosen,
                         const struct SlPlacementRequest *request)
{
    for (uint32_t i = 0; i < count; i++) {
        const struct SlCandidate *candidate = &candidates[i];
        struct SlPlacementTerms terms;

        if ((int32_t)i == chosen || !candidate->accepts_flows ||
            candidate->suspect || candidate->load.declines_flows ||
            is_excluded(candidate->node_id, excluded_ids, excluded_count)) {
            continue;
        }
        SlPlacement_ComputeTerms(candidate, request, &terms);
        if (terms.wait_us < request->work_us) {
            return true;
        }
    }
    return false;
}
