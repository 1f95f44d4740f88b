/// Broadcast queries for flows that are not held by their homes, which an
/// agent runs on the entry's behalf (relay_broadcast.h). Only few are in
/// progress at a time, so that their cost does not grow with the number of
/// such flows.

#include "relay_entry_core.h"

enum {
    /// Time within which an agent has queried all others once, and sends what
    /// it knows.
    ANSWER_TIMEOUT_MIN_US = 250 * 1000,
    /// Agents that are asked to run one query. Another agent is asked when one
    /// does not answer.
    ATTEMPTS_MAX = 3,
    /// The same for agents that answer at once that they cannot: they have an
    /// older configuration, as after a start, or already run too many queries.
    REFUSALS_MAX = 8,
    /// An agent that has sent what it knows asks the others twice more.
    ANSWERED_FACTOR = 3,
};

static bool
needs_broadcast(const struct SlEntryFlow *flow)
{
    return flow->search != NULL && flow->search->stage == SL_SEARCH_ALL &&
           flow->search->broadcast == 0;
}

/// Adds the searches that need a broadcast query to a new broadcast query.
/// Returns their number.
static uint32_t
gather_searches(struct SlRelayEntry *entry, struct SlRelayQueryList *queries,
                uint32_t number)
{
    queries->count = 0;
    for (struct SlRelayItem *item = entry->flows.pending; item != NULL;
         item = item->pending_next) {
        struct SlEntryFlow *flow = (struct SlEntryFlow *)item;

        if (queries->count == SL_RELAY_QUERY_ITEMS_MAX) {
            break;
        }
        if (needs_broadcast(flow)) {
            flow->search->broadcast = number;
            queries->items[queries->count++] = (struct SlRelayQueryItem){
                .flow = item->key, .ack = flow->search->ack};
        }
    }
    return queries->count;
}

/// Chooses an agent that is likely to answer, other than the previous one: a
/// random agent that is not suspect, and preferably does not leave and is in
/// the entry's zone.
static uint32_t
choose_agent(struct SlRelayEntry *entry, uint64_t previous)
{
    const struct SlRelayMembers *members = &entry->members;
    uint64_t random = SlRelayEntry_NextRandom(entry);
    uint32_t best = SL_RELAY_NO_MEMBER;
    uint64_t best_draw = 0;

    for (uint32_t i = 0; i < members->count; i++) {
        const struct SlCandidate *candidate = &members->candidates[i];
        /* The top bits hold the preferences, so they outweigh the random part.
         */
        uint64_t draw = SlPlacement_MixBits(random ^ candidate->node_id) >> 3;

        draw |= candidate->in_local_zone ? UINT64_C(1) << 61 : 0;
        draw |= candidate->accepts_flows ? UINT64_C(1) << 62 : 0;
        draw |= candidate->suspect ? 0 : UINT64_C(1) << 63;
        if (candidate->node_id != previous && draw > best_draw) {
            best_draw = draw;
            best = i;
        }
    }
    return best;
}

/// Sends the broadcast query to an agent. Returns false when there is no agent
/// to send it to.
static bool
send_to_delegate(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                 uint64_t now_us, struct SlRelayDelegation *delegation)
{
    uint32_t index = choose_agent(entry, delegation->agent);
    uint8_t encoded[SL_SEGMENT_MAX_BYTES];
    struct SlRelayFrame frame = {.kind = SL_RELAY_BROADCAST_QUERY,
                                 .sender = entry->node_id,
                                 .reads_unsure = true,
                                 .segment = encoded};

    if (index == SL_RELAY_NO_MEMBER) {
        return false;
    }
    SlNodeSet_Release(&delegation->unsure);
    delegation->queries.query_id = delegation->number;
    delegation->queries.version = entry->version;
    delegation->agent = entry->members.candidates[index].node_id;
    delegation->sent_us = now_us;
    delegation->answered = false;
    delegation->attempts++;
    frame.segment_bytes =
        SlRelayQueryList_Encode(&delegation->queries, encoded);
    entry->counters.queries++;
    SlRelayEntry_SendFrame(entry, sink, index, &frame);
    SlRelayEntry_LogEvent(
        entry, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_BROADCAST,
                         .node = entry->members.members[index].name,
                         .reason = "homes_do_not_hold",
                         .value = delegation->queries.count,
                         .limit = entry->members.count});
    return true;
}

/// Ends a query and continues its searches. unanswered: number of agents that
/// did not answer.
static void
end_delegation(struct SlRelayEntry *entry, struct SlRelaySink *sink,
               uint64_t now_us, struct SlRelayDelegation *delegation,
               uint32_t unanswered)
{
    uint32_t number = delegation->number;

    delegation->number = 0;
    SlNodeSet_Release(&delegation->unsure);
    for (uint32_t i = 0; i < delegation->queries.count; i++) {
        struct SlEntryFlow *flow = (struct SlEntryFlow *)SlRelayIndex_Find(
            &entry->flows, &delegation->queries.items[i].flow);

        if (flow == NULL || flow->search == NULL ||
            flow->search->broadcast != number) {
            continue;
        }
        flow->search->broadcast_answered = true;
        flow->search->broadcast_ended = true;
        flow->search->silent_count += unanswered;
        flow->search->uncertain = flow->search->uncertain || unanswered > 0;
        SlRelayEntry_ContinueSearch(entry, sink, now_us, flow);
    }
}

/// Has another agent run a broadcast query, or ends the query after the last
/// attempt.
static void
retry_delegation(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                 uint64_t now_us, struct SlRelayDelegation *delegation)
{
    if (delegation->attempts == ATTEMPTS_MAX ||
        !send_to_delegate(entry, sink, now_us, delegation)) {
        end_delegation(entry, sink, now_us, delegation, entry->members.count);
    }
}

/// Starts a broadcast query when searches need one.
static void
begin_delegation(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                 uint64_t now_us, struct SlRelayDelegation *delegation)
{
    uint32_t number = entry->last_delegation + 1;

    if (gather_searches(entry, &delegation->queries, number) == 0) {
        return;
    }
    entry->last_delegation = number;
    entry->counters.broadcasts++;
    delegation->number = number;
    delegation->attempts = 0;
    delegation->refusals = 0;
    delegation->agent = 0;
    if (!send_to_delegate(entry, sink, now_us, delegation)) {
        end_delegation(entry, sink, now_us, delegation, entry->members.count);
    }
}

void
SlRelayEntry_DelegationsTick(struct SlRelayEntry *entry,
                             struct SlRelaySink *sink, uint64_t now_us)
{
    uint64_t timeout_us =
        SlAnswerTimeout_Us(&entry->delegation_timeout, ANSWER_TIMEOUT_MIN_US);

    for (uint32_t i = 0; i < SL_ENTRY_DELEGATIONS_MAX; i++) {
        struct SlRelayDelegation *delegation = &entry->delegations[i];

        if (delegation->number == 0) {
            if (entry->plan != NULL) {
                begin_delegation(entry, sink, now_us, delegation);
            }
        }
        else if (now_us - delegation->sent_us >
                 timeout_us * (delegation->answered ? ANSWERED_FACTOR : 1)) {
            retry_delegation(entry, sink, now_us, delegation);
        }
    }
}

static struct SlRelayDelegation *
find_delegation(struct SlRelayEntry *entry, uint32_t number)
{
    for (uint32_t i = 0; i < SL_ENTRY_DELEGATIONS_MAX; i++) {
        if (entry->delegations[i].number == number) {
            return &entry->delegations[i];
        }
    }
    return NULL;
}

/// Who claims a flow.
enum claimant {
    /// An agent whose service the flow's route leads to, or any agent that
    /// knows for certain.
    CLAIMANT_BY_ROUTE = 0,
    /// A home of the flow in another service: it may hold the flow since an
    /// earlier plan.
    CLAIMANT_EARLIER,
    /// Any other agent. It holds the flow only when the homes had no free slot
    /// and the route has moved since.
    CLAIMANT_UNLIKELY,
};

static enum claimant
find_claimant(struct SlRelayEntry *entry, const struct SlFlowKey *flow,
              uint32_t index)
{
    struct SlRelayMembers *members = &entry->members;
    const struct SlPlanRoute *route =
        SlPlan_FindRoute(entry->plan, &flow->service);
    uint32_t service;

    if (route == NULL || index == SL_RELAY_NO_MEMBER) {
        return CLAIMANT_UNLIKELY;
    }
    service = members->members[index].service;
    if (SlPlan_RouteAllowsService(route, service)) {
        return CLAIMANT_BY_ROUTE;
    }
    SlRelayMembers_MarkHomes(members, service, flow);
    return members->candidates[index].is_home ? CLAIMANT_EARLIER
                                              : CLAIMANT_UNLIKELY;
}

/// Handles an agent that may hold a flow. Likely holders are probed; an
/// unlikely one makes the search uncertain, since its upstream must not be
/// sent the segments of flows that it most likely does not hold. Returns
/// whether it is unlikely.
static bool
handle_possible_holder(struct SlRelayEntry *entry, struct SlEntryFlow *flow,
                       uint32_t index)
{
    enum claimant claimant = find_claimant(entry, &flow->item.key, index);

    if (claimant != CLAIMANT_UNLIKELY) {
        SlRelayEntry_AddCandidate(entry, flow, index,
                                  claimant == CLAIMANT_BY_ROUTE);
        return false;
    }
    flow->search->uncertain = true;
    return true;
}

/// Returns the flow of a query if the query's result concerns its search;
/// otherwise NULL.
static struct SlEntryFlow *
find_searched_flow(const struct SlRelayEntry *entry,
                   const struct SlRelayDelegation *delegation,
                   const struct SlFlowKey *key)
{
    struct SlEntryFlow *flow =
        (struct SlEntryFlow *)SlRelayIndex_Find(&entry->flows, key);

    return flow != NULL && flow->search != NULL &&
                   flow->search->broadcast == delegation->number
               ? flow
               : NULL;
}

/// True when an agent that is said to hold the flow is gone, or has returned a
/// segment of it since.
static bool
is_refuted(const struct SlRelayEntry *entry, const struct SlEntryFlow *flow,
           uint64_t holder)
{
    return SlNodeSet_Contains(&flow->returned, holder) ||
           SlRelayMembers_Find(&entry->members, holder) == SL_RELAY_NO_MEMBER;
}

/// Handles the claims of agents that know a flow. Returns the number of
/// unlikely holders.
static uint32_t
handle_claims(struct SlRelayEntry *entry, struct SlRelaySink *sink,
              uint64_t now_us, const struct SlRelayDelegation *delegation,
              const struct SlRelayQueryList *claims)
{
    uint32_t unlikely = 0;

    for (uint32_t i = 0; i < claims->count; i++) {
        const struct SlRelayQueryItem *claim = &claims->items[i];
        struct SlEntryFlow *flow =
            find_searched_flow(entry, delegation, &claim->flow);

        if (flow == NULL) {
            continue;
        }
        if (claim->ack != 0 && is_refuted(entry, flow, claim->holder)) {
            continue;
        }
        if (claim->certain) {
            SlRelayEntry_HandleHolderClaim(entry, sink, now_us, flow,
                                           claim->holder, true);
        }
        else {
            unlikely += handle_possible_holder(
                entry, flow,
                SlRelayMembers_Find(&entry->members, claim->holder));
        }
    }
    return unlikely;
}

/// Adds the agents of one service that may hold any flow to a search. Returns
/// how many of them there are; unlikely: counts those that are not probed.
static uint32_t
add_unsure_members(struct SlRelayEntry *entry, struct SlEntryFlow *flow,
                   const struct SlNodeSet *unsure, uint32_t service,
                   uint32_t *unlikely)
{
    struct SlRelayMembers *members = &entry->members;
    const struct SlPlanRoute *route =
        SlPlan_FindRoute(entry->plan, &flow->item.key.service);
    bool by_route = route != NULL && SlPlan_RouteAllowsService(route, service);
    uint32_t count = 0;

    if (!by_route) {
        SlRelayMembers_MarkHomes(members, service, &flow->item.key);
    }
    for (uint32_t index = members->first_index[service];
         index < members->first_index[service + 1]; index++) {
        const struct SlCandidate *candidate = &members->candidates[index];

        if (!SlNodeSet_Contains(unsure, candidate->node_id)) {
            continue;
        }
        count++;
        if (by_route || (route != NULL && candidate->is_home)) {
            SlRelayEntry_AddCandidate(entry, flow, index, by_route);
        }
        else {
            (*unlikely)++;
            flow->search->uncertain = true;
        }
    }
    return count;
}

/// Handles the agents that may hold any flow of the query. Returns the number
/// of unlikely holders.
static uint32_t
handle_unsure_agents(struct SlRelayEntry *entry,
                     const struct SlRelayDelegation *delegation)
{
    uint32_t unlikely = 0;

    if (delegation->unsure.count == 0) {
        return 0;
    }
    for (uint32_t i = 0; i < delegation->queries.count; i++) {
        struct SlEntryFlow *flow = find_searched_flow(
            entry, delegation, &delegation->queries.items[i].flow);
        uint32_t known = 0;

        for (uint32_t service = 0;
             flow != NULL && service < entry->members.service_count;
             service++) {
            known += add_unsure_members(entry, flow, &delegation->unsure,
                                        service, &unlikely);
        }
        /* An agent that is not a member yet cannot be probed. */
        if (flow != NULL && known < delegation->unsure.count) {
            flow->search->uncertain = true;
        }
    }
    return unlikely;
}

/// Handles all claims, first those of agents that know a flow for certain.
static void
handle_all_claims(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                  uint64_t now_us, const struct SlRelayDelegation *delegation,
                  const struct SlRelayQueryList *claims)
{
    uint32_t unlikely = 0;

    if (entry->plan == NULL) {
        return;
    }
    unlikely = handle_claims(entry, sink, now_us, delegation, claims) +
               handle_unsure_agents(entry, delegation);
    if (unlikely > 0) {
        entry->counters.claims_not_probed += unlikely;
        SlRelayEntry_LogEvent(
            entry, sink, now_us,
            (struct SlEvent){.number = SL_EVENT_RELAY_CLAIMS_NOT_PROBED,
                             .reason = "no_home_of_the_flow",
                             .value = unlikely,
                             .limit =
                                 claims->count + delegation->unsure.count});
    }
}

/// Lets the searches of a query go on with what is known so far.
static void
continue_searches(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                  uint64_t now_us, const struct SlRelayDelegation *delegation)
{
    for (uint32_t i = 0; i < delegation->queries.count; i++) {
        struct SlEntryFlow *flow = find_searched_flow(
            entry, delegation, &delegation->queries.items[i].flow);

        if (flow != NULL) {
            flow->search->broadcast_answered = true;
            SlRelayEntry_ContinueSearch(entry, sink, now_us, flow);
        }
    }
}

void
SlRelayEntry_HandleUnsureAgents(struct SlRelayEntry *entry,
                                const struct SlRelayFrame *frame)
{
    struct SlRelayDelegation *delegation;
    struct SlRelayUnsureList unsure;

    if (SlRelayUnsureList_Decode(frame->segment, frame->segment_bytes,
                                 &unsure) != SL_OK) {
        entry->counters.inputs_malformed++;
        return;
    }
    delegation =
        unsure.query_id != 0 ? find_delegation(entry, unsure.query_id) : NULL;
    if (delegation == NULL || frame->sender != delegation->agent) {
        return;
    }
    for (uint32_t i = 0; i < unsure.count; i++) {
        /* Without memory, the result does not match the list. */
        (void)SlNodeSet_Add(&delegation->unsure, unsure.node_ids[i]);
    }
}

void
SlRelayEntry_HandleDelegationAnswer(struct SlRelayEntry *entry,
                                    struct SlRelaySink *sink, uint64_t now_us,
                                    const struct SlRelayFrame *frame)
{
    struct SlRelayDelegation *delegation;
    struct SlRelayQueryList claims;
    uint32_t unheard;

    if (SlRelayQueryList_Decode(frame->segment, frame->segment_bytes,
                                &claims) != SL_OK) {
        entry->counters.inputs_malformed++;
        return;
    }
    delegation =
        claims.query_id != 0 ? find_delegation(entry, claims.query_id) : NULL;
    if (delegation == NULL) {
        return;
    }
    if (claims.unanswered == SL_RELAY_NOT_QUERIED) {
        if (frame->sender == delegation->agent) {
            if (delegation->refusals++ < REFUSALS_MAX) {
                delegation->attempts--;
            }
            retry_delegation(entry, sink, now_us, delegation);
        }
        return;
    }
    if (frame->sender != delegation->agent &&
        (frame->unsure_count > 0 || frame->more_follows)) {
        /* The present agent has its own list of unsure agents. */
        return;
    }
    if (frame->sender == delegation->agent && !delegation->answered) {
        SlAnswerTimeout_AddSample(&entry->delegation_timeout,
                                  now_us - delegation->sent_us);
    }
    handle_all_claims(entry, sink, now_us, delegation, &claims);
    if (frame->more_follows) {
        delegation->answered = true;
        delegation->sent_us = now_us;
        continue_searches(entry, sink, now_us, delegation);
        return;
    }
    unheard = claims.unanswered;
    if (frame->unsure_count > delegation->unsure.count) {
        unheard += frame->unsure_count - delegation->unsure.count;
    }
    end_delegation(entry, sink, now_us, delegation, unheard);
}
