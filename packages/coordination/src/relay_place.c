/// Chooses the agents to which new flows are offered.

#include "relay_entry_core.h"

/// Chooses by the number of requests.
static void
choose_by_load(const struct SlCandidate *candidates, uint32_t count,
               const struct SlEntryFlow *flow,
               const struct SlPlacementRequest *request,
               struct SlEntryChoice *choice)
{
    choice->reason = "least_work";
    choice->chosen = SlPlacement_Choose(candidates, count, flow->excluded,
                                        flow->excluded_count, request->kind,
                                        request->random);
    choice->no_alternative = !SlPlacement_HasFreeSlot(
        candidates, count, flow->excluded, flow->excluded_count,
        choice->chosen, request->kind);
}

bool
SlRelayEntry_DescribeRequest(const struct SlRelayEntry *entry, uint64_t now_us,
                             const struct SlPlanRoute *route, uint32_t service,
                             struct SlPlacementRequest *request)
{
    const struct SlServiceCost *cost = &entry->members.costs[service];

    *request = (struct SlPlacementRequest){.kind = route->kind,
                                           .now_us = now_us,
                                           .work_us = cost->work_us,
                                           .slot_demand_permille =
                                               cost->slot_demand_permille};
    if (!cost->in_use || route->kind == SL_TRAFFIC_UPLOAD) {
        return false;
    }
    request->flow_demand_permille =
        SlRouteDemands_Permille(&entry->demands, &route->address);
    return true;
}

void
SlRelayEntry_Choose(struct SlRelayEntry *entry, uint64_t now_us,
                    const struct SlEntryFlow *flow,
                    const struct SlPlanRoute *route, uint32_t service,
                    struct SlEntryChoice *choice)
{
    const struct SlRelayMembers *members = &entry->members;
    uint32_t first = members->first_index[service];
    uint32_t count = members->first_index[service + 1] - first;
    const struct SlCandidate *candidates = &members->candidates[first];
    struct SlPlacementRequest request;
    bool by_cost =
        SlRelayEntry_DescribeRequest(entry, now_us, route, service, &request);

    request.random = SlRelayEntry_NextRandom(entry);
    if (!by_cost) {
        choose_by_load(candidates, count, flow, &request, choice);
        return;
    }
    choice->reason =
        request.flow_demand_permille != 0 ? "least_demand" : "least_wait";
    entry->counters.placed_by_demand += request.flow_demand_permille != 0;
    entry->counters.placed_by_wait += request.flow_demand_permille == 0;
    choice->chosen = SlPlacement_ChooseByCost(
        candidates, count, flow->excluded, flow->excluded_count, &request);
    choice->no_alternative = !SlPlacement_HasShortWait(
        candidates, count, flow->excluded, flow->excluded_count,
        choice->chosen, &request);
}

void
SlRelayEntry_CheckCosts(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                        uint64_t now_us)
{
    uint32_t service;

    SlRelayMembers_UpdateCosts(&entry->members);
    service = SlRelayMembers_NextCostChange(&entry->members, 0);
    while (service != SL_RELAY_NO_MEMBER) {
        const struct SlServiceCost *cost = &entry->members.costs[service];

        SlRelayEntry_LogEvent(
            entry, sink, now_us,
            (struct SlEvent){.number = SL_EVENT_RELAY_COST,
                             .service =
                                 SlPlan_ServiceAt(entry->plan, service)->name,
                             .reason = cost->in_use ? "unlike" : "alike",
                             .value = cost->work_us,
                             .limit = cost->variation_percent});
        service = SlRelayMembers_NextCostChange(&entry->members, service + 1);
    }
}
