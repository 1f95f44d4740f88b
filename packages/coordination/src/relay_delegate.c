/// Broadcast queries for flows that are not held by their homes, which an
/// agent runs on the entry's behalf (relay_broadcast.h). Only few are in
/// progress at a time, so that their cost does not grow with the number of
/// such flows.

#include "relay_entry_core.h"

enum {
    /// Time within which an agent has queried all others, including retries to
    /// some of them.
    ANSWER_TIMEOUT_MIN_US = 400 * 1000,
    /// Agents that are asked to run one query. Another agent is asked when one
    /// does not answer, has an older configuration, or already runs too many
    /// queries.
    ATTEMPTS_MAX = 3,
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
/// random agent that is not suspect, preferably in the entry's zone.
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
        uint64_t draw = SlPlacement_MixBits(random ^ candidate->node_id) >> 2;

        draw |= candidate->in_local_zone ? UINT64_C(1) << 62 : 0;
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
                                 .segment = encoded};

    if (index == SL_RELAY_NO_MEMBER) {
        return false;
    }
    delegation->queries.query_id = delegation->number;
    delegation->queries.version = entry->version;
    delegation->agent = entry->members.candidates[index].node_id;
    delegation->sent_us = now_us;
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
    for (uint32_t i = 0; i < delegation->queries.count; i++) {
        struct SlEntryFlow *flow = (struct SlEntryFlow *)SlRelayIndex_Find(
            &entry->flows, &delegation->queries.items[i].flow);

        if (flow == NULL || flow->search == NULL ||
            flow->search->broadcast != number) {
            continue;
        }
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
        else if (now_us - delegation->sent_us > timeout_us) {
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
find_claimant(struct SlRelayEntry *entry, const struct SlRelayQueryItem *claim)
{
    struct SlRelayMembers *members = &entry->members;
    const struct SlPlanRoute *route =
        entry->plan != NULL
            ? SlPlan_FindRoute(entry->plan, &claim->flow.service)
            : NULL;
    uint32_t index = SlRelayMembers_Find(members, claim->holder);
    uint32_t service;

    if (claim->certain) {
        return CLAIMANT_BY_ROUTE;
    }
    if (route == NULL || index == SL_RELAY_NO_MEMBER) {
        return CLAIMANT_UNLIKELY;
    }
    service = members->members[index].service;
    if (SlPlan_RouteAllowsService(route, service)) {
        return CLAIMANT_BY_ROUTE;
    }
    SlRelayMembers_MarkHomes(members, service, &claim->flow);
    return members->candidates[index].is_home ? CLAIMANT_EARLIER
                                              : CLAIMANT_UNLIKELY;
}

/// Handles the claims of one kind. Likely holders are probed; an unlikely one
/// makes the search uncertain, since its upstream must not be sent the
/// segments of flows that it most likely does not hold. Returns the number of
/// claims.
static uint32_t
handle_claims(struct SlRelayEntry *entry, struct SlRelaySink *sink,
              uint64_t now_us, const struct SlRelayDelegation *delegation,
              const struct SlRelayQueryList *claims, enum claimant claimant)
{
    uint32_t handled = 0;

    for (uint32_t i = 0; i < claims->count; i++) {
        const struct SlRelayQueryItem *claim = &claims->items[i];
        struct SlEntryFlow *flow = (struct SlEntryFlow *)SlRelayIndex_Find(
            &entry->flows, &claim->flow);

        if (flow == NULL || flow->search == NULL ||
            flow->search->broadcast != delegation->number ||
            find_claimant(entry, claim) != claimant) {
            continue;
        }
        handled++;
        if (claimant == CLAIMANT_UNLIKELY) {
            flow->search->claim_not_probed = true;
            flow->search->uncertain = true;
        }
        else {
            SlRelayEntry_HandleHolderClaim(entry, sink, now_us, flow,
                                           claim->holder, claim->certain);
        }
    }
    return handled;
}

/// Handles the claims of likely holders, the most likely ones first, and then
/// the others.
static void
handle_all_claims(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                  uint64_t now_us, const struct SlRelayDelegation *delegation,
                  const struct SlRelayQueryList *claims)
{
    uint32_t unlikely;

    (void)handle_claims(entry, sink, now_us, delegation, claims,
                        CLAIMANT_BY_ROUTE);
    (void)handle_claims(entry, sink, now_us, delegation, claims,
                        CLAIMANT_EARLIER);
    unlikely = handle_claims(entry, sink, now_us, delegation, claims,
                             CLAIMANT_UNLIKELY);
    if (unlikely > 0) {
        entry->counters.claims_not_probed += unlikely;
        SlRelayEntry_LogEvent(
            entry, sink, now_us,
            (struct SlEvent){.number = SL_EVENT_RELAY_CLAIMS_NOT_PROBED,
                             .reason = "no_home_of_the_flow",
                             .value = unlikely,
                             .limit = claims->count});
    }
}

void
SlRelayEntry_HandleDelegationAnswer(struct SlRelayEntry *entry,
                                    struct SlRelaySink *sink, uint64_t now_us,
                                    const struct SlRelayFrame *frame)
{
    struct SlRelayDelegation *delegation;
    struct SlRelayQueryList claims;

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
            retry_delegation(entry, sink, now_us, delegation);
        }
        return;
    }
    if (frame->sender == delegation->agent) {
        SlAnswerTimeout_AddSample(&entry->delegation_timeout,
                                  now_us - delegation->sent_us);
    }
    handle_all_claims(entry, sink, now_us, delegation, &claims);
    end_delegation(entry, sink, now_us, delegation, claims.unanswered);
}
