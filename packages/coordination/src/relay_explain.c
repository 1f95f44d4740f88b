/// Explains where the relay's entry would offer a new flow.

#include "relay_entry_core.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    LINE_BYTES = 256,
};

struct ranked {
    const struct SlRelayMember *member;
    struct SlCandidate candidate;
    struct SlPlacementTerms terms;
    struct SlPlacementScore score;
};

static enum SlStatus __attribute__((format(printf, 2, 3)))
append(struct SlBuffer *text, const char *format, ...)
{
    char line[LINE_BYTES];
    va_list arguments;
    int length;

    va_start(arguments, format);
    length = vsnprintf(line, sizeof(line), format, arguments);
    va_end(arguments);
    return SlBuffer_Append(
        text, line, length < LINE_BYTES ? (size_t)length : sizeof(line) - 1);
}

/// Candidates that take no new flows come last, as they are never chosen.
static int
compare_ranked(const void *a, const void *b)
{
    const struct ranked *left = a;
    const struct ranked *right = b;
    uint64_t left_sum = left->score.load + left->score.place;
    uint64_t right_sum = right->score.load + right->score.place;

    if (left->candidate.accepts_flows != right->candidate.accepts_flows) {
        return left->candidate.accepts_flows ? -1 : 1;
    }
    if (left_sum != right_sum) {
        return left_sum < right_sum ? -1 : 1;
    }
    return strcmp(left->member->name, right->member->name);
}

static const char *
expected_answer(const struct ranked *ranked)
{
    if (!ranked->candidate.accepts_flows) {
        return "closed";
    }
    if (ranked->candidate.load.declines_flows) {
        return "declines";
    }
    return ranked->score.has_room ? "admits" : "busy";
}

static enum SlStatus
append_candidate(struct SlBuffer *text, uint32_t rank, uint64_t now_us,
                 const struct ranked *ranked)
{
    const struct SlCandidate *candidate = &ranked->candidate;
    const struct SlRelayLoad *load = &candidate->load;
    char age_ms[24] = "-";
    enum SlStatus status;

    if (candidate->reported_us != 0 && now_us >= candidate->reported_us) {
        snprintf(age_ms, sizeof(age_ms), "%" PRIu64,
                 (now_us - candidate->reported_us) / 1000);
    }
    status = append(text,
                    "candidate.%u.node=%s\ncandidate.%u.score=%" PRIu64 "\n"
                    "candidate.%u.load=%" PRIu64
                    "\ncandidate.%u.place=%" PRIu64 "\n",
                    rank, ranked->member->name, rank,
                    ranked->score.load + ranked->score.place, rank,
                    ranked->score.load, rank, ranked->score.place);
    if (status == SL_OK) {
        status = append(text,
                        "candidate.%u.home=%d\ncandidate.%u.zone=%s\n"
                        "candidate.%u.slow=%d\ncandidate.%u.suspect=%d\n"
                        "candidate.%u.admission=%s\n",
                        rank, candidate->is_home, rank,
                        candidate->in_local_zone ? "own" : "other", rank,
                        candidate->slow, rank, candidate->suspect, rank,
                        expected_answer(ranked));
    }
    if (status == SL_OK) {
        status = append(
            text,
            "candidate.%u.requests=%u\ncandidate.%u.offered=%u\n"
            "candidate.%u.slots=%u\ncandidate.%u.age_ms=%s\n",
            rank, load->in_progress, rank, candidate->offered_flows, rank,
            load->slots != 0 ? load->slots : candidate->slots, rank, age_ms);
    }
    if (status == SL_OK) {
        status =
            append(text,
                   "candidate.%u.wait_us=%" PRIu64
                   "\ncandidate.%u.work_us=%" PRIu64 "\n"
                   "candidate.%u.demand_permille=%" PRIu64 "\n",
                   rank, ranked->terms.wait_us, rank, ranked->terms.work_us,
                   rank, ranked->terms.demand_permille);
    }
    return status;
}

/// Copies the candidates of a service with the homes of the flow marked.
/// Returns NULL when out of memory.
static struct ranked *
rank_candidates(const struct SlRelayMembers *members, uint32_t service,
                const struct SlFlowKey *flow,
                const struct SlPlacementRequest *request, bool by_cost)
{
    uint32_t first = members->first_index[service];
    uint32_t count = members->first_index[service + 1] - first;
    struct SlCandidate *copies = calloc(count + 1, sizeof(*copies));
    struct ranked *ranked = calloc(count + 1, sizeof(*ranked));

    if (copies == NULL || ranked == NULL) {
        free(copies);
        free(ranked);
        return NULL;
    }
    for (uint32_t i = 0; i < count; i++) {
        copies[i] = members->candidates[first + i];
    }
    if (!members->all_home[service]) {
        SlHomes_Mark(copies, count, SlRelayMembers_FlowHash(flow));
    }
    for (uint32_t i = 0; i < count; i++) {
        ranked[i].member = &members->members[first + i];
        ranked[i].candidate = copies[i];
        SlPlacement_ComputeTerms(&copies[i], request, &ranked[i].terms);
        SlPlacement_ComputeScore(&copies[i], request, by_cost,
                                 &ranked[i].score);
    }
    qsort(ranked, count, sizeof(*ranked), compare_ranked);
    free(copies);
    return ranked;
}

enum SlStatus
SlRelayEntry_ExplainPlacement(const struct SlRelayEntry *entry,
                              uint64_t now_us, const struct SlFlowKey *flow,
                              struct SlBuffer *text)
{
    const struct SlRelayMembers *members = &entry->members;
    const struct SlPlanRoute *route;
    struct SlPlacementRequest request;
    struct ranked *ranked;
    enum SlStatus status;
    uint32_t service;
    uint32_t count;
    bool by_cost;

    if (entry->plan == NULL) {
        (void)append(text, "the entry has no plan yet");
        return SL_NOT_FOUND;
    }
    route = SlPlan_FindRoute(entry->plan, &flow->service);
    if (route == NULL) {
        (void)append(text, "the plan has no route for this address and port");
        return SL_NOT_FOUND;
    }
    service = SlPlan_ChooseService(route, flow);
    count = members->first_index[service + 1] - members->first_index[service];
    by_cost =
        SlRelayEntry_DescribeRequest(entry, now_us, route, service, &request);
    ranked = rank_candidates(members, service, flow, &request, by_cost);
    if (ranked == NULL) {
        return SL_NO_MEMORY;
    }
    status =
        append(text, "route=%s\nservice=%s\nplaced_by=%s\nrandom_below=%u\n",
               route->name, SlPlan_ServiceAt(entry->plan, service)->name,
               !by_cost                            ? "requests"
               : request.flow_demand_permille != 0 ? "demand"
                                                   : "wait",
               count > 0 ? ranked[0].score.random_range : 0);
    for (uint32_t i = 0; i < count && status == SL_OK; i++) {
        status = append_candidate(text, i + 1, now_us, &ranked[i]);
    }
    free(ranked);
    return status;
}
