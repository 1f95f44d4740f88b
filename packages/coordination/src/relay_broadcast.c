#include "relay_broadcast.h"

#include <stdlib.h>
#include <string.h>

#include "relay_agent_core.h"

enum {
    /// An agent that is short of processor time answers within 100 ms.
    ANSWER_TIMEOUT_MIN_US = 150 * 1000,
    /// The same for an agent that is out of touch, and most likely lost.
    OUT_OF_TOUCH_TIMEOUT_US = 60 * 1000,
    /// Retries to agents that do not answer: a datagram may be lost, and
    /// without a single answer nothing is certain for any flow of the query.
    RETRIES_MAX = 2,
};

static enum SlStatus
reserve_targets(struct SlRelayBroadcast *broadcast, uint32_t count)
{
    struct SlBroadcastTarget *targets;

    if (count <= broadcast->target_capacity) {
        return SL_OK;
    }
    targets = realloc(broadcast->targets, count * sizeof(*targets));
    if (targets == NULL) {
        return SL_NO_MEMORY;
    }
    broadcast->targets = targets;
    broadcast->target_capacity = count;
    return SL_OK;
}

enum SlStatus
SlRelayBroadcast_Begin(struct SlRelayBroadcast *broadcast, uint64_t now_us,
                       uint32_t number, const struct SlFlowLife *life,
                       const struct SlBroadcastPeer *peers,
                       uint32_t peer_count)
{
    if (reserve_targets(broadcast, peer_count) != SL_OK) {
        return SL_NO_MEMORY;
    }
    broadcast->number = number;
    broadcast->claims = (struct SlRelayQueryList){.count = 0};
    broadcast->certain = 0;
    broadcast->unsure.count = 0;
    broadcast->target_count = peer_count;
    broadcast->next_target = 0;
    broadcast->retries = 0;
    broadcast->missing = 0;
    broadcast->missing_out_of_touch = 0;
    broadcast->sent_us = now_us;
    for (uint32_t i = 0; i < peer_count; i++) {
        const struct SlPeerEvidence *evidence = &peers[i].evidence;
        struct SlBroadcastTarget target = {
            .node_id = peers[i].node_id,
            .address = peers[i].address,
            .out_of_touch =
                SlPeerEvidence_IsOutOfTouch(evidence, life, now_us),
            .silent = SlPeerEvidence_IsSilent(evidence, life, now_us)};

        broadcast->targets[i] = target;
        broadcast->missing += !target.out_of_touch;
        broadcast->missing_out_of_touch +=
            target.out_of_touch && !target.silent;
    }
    return SL_OK;
}

static int
compare_targets(const void *a, const void *b)
{
    const struct SlBroadcastTarget *x = a;
    const struct SlBroadcastTarget *y = b;

    return (x->node_id > y->node_id) - (x->node_id < y->node_id);
}

bool
SlRelayBroadcast_RecordAnswer(struct SlRelayBroadcast *broadcast,
                              uint64_t now_us, uint64_t node_id,
                              uint64_t *took_us)
{
    struct SlBroadcastTarget wanted = {.node_id = node_id};
    struct SlBroadcastTarget *target =
        broadcast->target_count == 0
            ? NULL
            : bsearch(&wanted, broadcast->targets, broadcast->target_count,
                      sizeof(wanted), compare_targets);

    if (target == NULL || target->answered || target->sent_us == 0) {
        return false;
    }
    *took_us = now_us - target->sent_us;
    target->answered = true;
    broadcast->missing -= !target->out_of_touch;
    broadcast->missing_out_of_touch -= target->out_of_touch && !target->silent;
    return true;
}

/// How much a claim is worth: that of a holder itself more than that of an
/// agent that keeps flows for it, and both more than an uncertain one.
static uint32_t
claim_rank(const struct SlRelayQueryItem *claim, bool is_kept)
{
    return !claim->certain ? 0 : is_kept ? 1 : 2;
}

/// Removes claims for a flow that are worth less. Returns true when there is
/// already a certain one that is worth as much.
static bool
drop_lesser_claims(struct SlRelayQueryList *claims,
                   const struct SlFlowKey *flow, uint32_t rank)
{
    uint32_t remaining = 0;

    for (uint32_t i = 0; i < claims->count; i++) {
        const struct SlRelayQueryItem *claim = &claims->items[i];

        if (!SlFlowKey_Equal(&claim->flow, flow)) {
            claims->items[remaining++] = *claim;
        }
        else if (claim_rank(claim, claim->ack != 0) >= rank) {
            return true;
        }
    }
    claims->count = remaining;
    return false;
}

/// Removes one uncertain claim. Returns false when there is none.
static bool
drop_any_uncertain_claim(struct SlRelayQueryList *claims)
{
    for (uint32_t i = 0; i < claims->count; i++) {
        if (!claims->items[i].certain) {
            claims->items[i] = claims->items[--claims->count];
            return true;
        }
    }
    return false;
}

void
SlRelayBroadcast_RecordClaim(struct SlRelayBroadcast *broadcast,
                             uint64_t node_id,
                             const struct SlRelayQueryItem *claim)
{
    struct SlRelayQueryList *claims = &broadcast->claims;

    bool is_kept = claim->holder != 0;

    /* A certain claim must not get lost among those of agents that have
       restarted, which claim every flow. */
    if (claim->certain &&
        drop_lesser_claims(claims, &claim->flow, claim_rank(claim, is_kept))) {
        return;
    }
    if (claims->count == SL_RELAY_QUERY_ITEMS_MAX) {
        claims->unanswered++;
        if (!claim->certain || !drop_any_uncertain_claim(claims)) {
            return;
        }
    }
    claims->items[claims->count] = *claim;
    claims->items[claims->count].ack = is_kept;
    claims->items[claims->count].holder = is_kept ? claim->holder : node_id;
    claims->count++;
    broadcast->certain += claim->certain && !is_kept;
}

void
SlRelayBroadcast_RecordUnsure(struct SlRelayBroadcast *broadcast,
                              uint64_t node_id)
{
    if (broadcast->reads_unsure) {
        if (!SlNodeSet_Add(&broadcast->unsure, node_id)) {
            broadcast->claims.unanswered++;
        }
        return;
    }
    for (uint32_t i = 0; i < broadcast->queries.count; i++) {
        SlRelayBroadcast_RecordClaim(
            broadcast, node_id,
            &(struct SlRelayQueryItem){.flow =
                                           broadcast->queries.items[i].flow});
    }
}

void
SlRelayBroadcast_Release(struct SlRelayBroadcast *broadcast)
{
    SlNodeSet_Release(&broadcast->unsure);
    free(broadcast->targets);
    *broadcast = (struct SlRelayBroadcast){.number = 0};
}

/// Sends the list of agents that may hold any flow.
static void
send_unsure(struct SlRelayAgent *agent, struct SlRelaySink *sink,
            const struct SlRelayBroadcast *broadcast)
{
    const struct SlNodeSet *unsure = &broadcast->unsure;
    uint8_t encoded[SL_SEGMENT_MAX_BYTES];
    struct SlRelayFrame frame = {.kind = SL_RELAY_BROADCAST_UNSURE,
                                 .sender = agent->node_id,
                                 .segment = encoded};

    for (uint32_t sent = 0; sent < unsure->count;) {
        struct SlRelayUnsureList list = {.query_id =
                                             broadcast->claims.query_id};

        while (sent < unsure->count && list.count < SL_RELAY_UNSURE_MAX) {
            list.node_ids[list.count++] = unsure->ids[sent++];
        }
        frame.segment_bytes = SlRelayUnsureList_Encode(&list, encoded);
        sink->type->send_frame(sink, &broadcast->entry, &frame);
    }
}

static void
send_claims(struct SlRelayAgent *agent, struct SlRelaySink *sink,
            const struct SlAddress *entry,
            const struct SlRelayQueryList *claims, uint32_t unsure_count,
            bool more_follows)
{
    uint8_t encoded[SL_SEGMENT_MAX_BYTES];
    struct SlRelayFrame frame = {.kind = SL_RELAY_BROADCAST_RESULT,
                                 .sender = agent->node_id,
                                 .unsure_count = unsure_count,
                                 .more_follows = more_follows,
                                 .segment = encoded,
                                 .segment_bytes =
                                     SlRelayQueryList_Encode(claims, encoded)};

    sink->type->send_frame(sink, entry, &frame);
}

static void
send_result(struct SlRelayAgent *agent, struct SlRelaySink *sink,
            const struct SlRelayBroadcast *broadcast, bool more_follows)
{
    send_unsure(agent, sink, broadcast);
    send_claims(agent, sink, &broadcast->entry, &broadcast->claims,
                broadcast->unsure.count, more_follows);
}

/// Records which agents have left the query unanswered. Those that are out of
/// touch then count as agents whose upstreams hold nothing.
static void
record_silent_peers(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                    uint64_t now_us, const struct SlRelayBroadcast *broadcast)
{
    if (broadcast->missing_out_of_touch == 0) {
        return;
    }
    for (uint32_t i = 0; i < broadcast->target_count; i++) {
        const struct SlBroadcastTarget *target = &broadcast->targets[i];

        if (target->out_of_touch && !target->silent && !target->answered &&
            target->sent_us != 0) {
            SlRelayAgent_RecordPeerSilence(agent, now_us, target->node_id);
        }
    }
    SlRelayAgent_LogEvent(
        agent, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_OUT_OF_TOUCH,
                         .reason = "unanswered",
                         .value = broadcast->missing_out_of_touch,
                         .limit =
                             (int64_t)SlFlowLife_UnseenUs(&agent->flow_life)});
}

/// Sends the collected claims to the entry and frees the query for reuse.
static void
end_broadcast(struct SlRelayAgent *agent, struct SlRelaySink *sink,
              uint64_t now_us, struct SlRelayBroadcast *broadcast)
{
    record_silent_peers(agent, sink, now_us, broadcast);
    broadcast->claims.unanswered += broadcast->missing;
    send_result(agent, sink, broadcast, false);
    SlRelayAgent_LogEvent(
        agent, sink, now_us,
        (struct SlEvent){
            .number = SL_EVENT_RELAY_BROADCAST_ENDED,
            .reason =
                broadcast->claims.unanswered == 0 ? "complete" : "incomplete",
            .value = broadcast->claims.count + broadcast->unsure.count,
            .limit = broadcast->claims.unanswered});
    broadcast->number = 0;
}

/// Queries the agents that have not been queried in this pass and have not
/// answered, as far as the query budget allows.
static void
send_queries(struct SlRelayAgent *agent, struct SlRelaySink *sink,
             uint64_t now_us, struct SlRelayBroadcast *broadcast)
{
    uint8_t encoded[SL_SEGMENT_MAX_BYTES];
    struct SlRelayFrame frame = {.kind = SL_RELAY_QUERY_MANY,
                                 .sender = agent->node_id,
                                 .reads_unsure = true,
                                 .segment = encoded};

    if (broadcast->next_target == broadcast->target_count) {
        return;
    }
    frame.segment_bytes =
        SlRelayQueryList_Encode(&broadcast->queries, encoded);
    for (; broadcast->next_target < broadcast->target_count;
         broadcast->next_target++) {
        struct SlBroadcastTarget *target =
            &broadcast->targets[broadcast->next_target];

        if (target->answered) {
            continue;
        }
        if (!SlQueryBudget_SpendQueries(&agent->query_budget, 1)) {
            return;
        }
        target->sent_us = now_us;
        broadcast->sent_us = now_us;
        agent->counters.queries++;
        sink->type->send_frame(sink, &target->address, &frame);
    }
}

/// True when no further answer can matter: all have arrived, or the holder of
/// each flow is known.
static bool
has_all_answers(const struct SlRelayBroadcast *broadcast)
{
    return (broadcast->missing == 0 && broadcast->missing_out_of_touch == 0) ||
           broadcast->certain >= broadcast->queries.count;
}

/// Ends the query when all agents have answered whose answer is awaited, and
/// queries those again that have not answered in time.
static void
continue_broadcast(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                   uint64_t now_us, struct SlRelayBroadcast *broadcast)
{
    uint64_t timeout_us =
        SlAnswerTimeout_Us(&agent->answer_timeout,
                           broadcast->missing > 0 ? ANSWER_TIMEOUT_MIN_US
                                                  : OUT_OF_TOUCH_TIMEOUT_US);

    if (has_all_answers(broadcast)) {
        end_broadcast(agent, sink, now_us, broadcast);
        return;
    }
    if (broadcast->next_target == broadcast->target_count &&
        now_us - broadcast->sent_us > timeout_us) {
        if (broadcast->missing > 0) {
            SlQueryBudget_ReduceOnLoss(&agent->query_budget, now_us,
                                       &agent->answer_timeout);
        }
        if (broadcast->missing == 0 || broadcast->retries == RETRIES_MAX) {
            end_broadcast(agent, sink, now_us, broadcast);
            return;
        }
        if (broadcast->retries == 0 && broadcast->reads_unsure) {
            send_result(agent, sink, broadcast, true);
        }
        broadcast->retries++;
        broadcast->next_target = 0;
    }
    send_queries(agent, sink, now_us, broadcast);
}

static struct SlRelayBroadcast *
find_broadcast(struct SlRelayAgent *agent, uint32_t number)
{
    for (uint32_t i = 0; i < SL_AGENT_BROADCASTS_MAX; i++) {
        if (agent->broadcasts[i].number == number) {
            return &agent->broadcasts[i];
        }
    }
    return NULL;
}

/// Adds claims for the flows that this agent itself holds or may hold.
static void
claim_local_flows(struct SlRelayAgent *agent, uint64_t now_us,
                  struct SlRelayBroadcast *broadcast)
{
    if (SlRelayAgent_MayHoldUnknown(agent, now_us)) {
        SlRelayBroadcast_RecordUnsure(broadcast, agent->node_id);
    }
    for (uint32_t i = 0; i < broadcast->queries.count; i++) {
        struct SlRelayQueryItem claim = broadcast->queries.items[i];

        claim.holder = SlHandover_FindOwner(agent, &claim.flow);
        if (claim.holder != 0 && broadcast->reads_unsure &&
            SlAgentFlow_Find(agent, &claim.flow) == NULL) {
            claim.certain = true;
            SlRelayBroadcast_RecordClaim(broadcast, agent->node_id, &claim);
            continue;
        }
        claim.holder = 0;
        if (SlAgentFlow_Find(agent, &claim.flow) != NULL &&
            SlAgentFlow_MayHold(agent, now_us, &claim.flow, claim.ack,
                                &claim.certain)) {
            SlRelayBroadcast_RecordClaim(broadcast, agent->node_id, &claim);
        }
    }
}

void
SlRelayAgent_BeginBroadcast(struct SlRelayAgent *agent,
                            struct SlRelaySink *sink, uint64_t now_us,
                            const struct SlAddress *from,
                            const struct SlRelayFrame *frame)
{
    struct SlRelayBroadcast *broadcast = find_broadcast(agent, 0);
    struct SlRelayQueryList queries;

    if (SlRelayQueryList_Decode(frame->segment, frame->segment_bytes,
                                &queries) != SL_OK) {
        agent->counters.inputs_malformed++;
        return;
    }
    /* An agent with an older configuration than the entry, or with too many
       queries in progress, declines so that the entry asks another one. */
    if (broadcast == NULL ||
        SlVersion_Compare(agent->version, queries.version) < 0 ||
        SlRelayBroadcast_Begin(broadcast, now_us, agent->last_broadcast + 1,
                               &agent->flow_life, agent->peers,
                               agent->peer_count) != SL_OK) {
        queries.count = 0;
        queries.unanswered = SL_RELAY_NOT_QUERIED;
        send_claims(agent, sink, from, &queries, 0, false);
        return;
    }
    agent->last_broadcast++;
    agent->counters.broadcasts++;
    broadcast->entry = *from;
    broadcast->reads_unsure = frame->reads_unsure;
    broadcast->claims.query_id = queries.query_id;
    broadcast->queries = queries;
    broadcast->queries.query_id = broadcast->number;
    claim_local_flows(agent, now_us, broadcast);
    SlRelayAgent_LogEvent(agent, sink, now_us,
                          (struct SlEvent){.number = SL_EVENT_RELAY_BROADCAST,
                                           .reason = "for_an_entry",
                                           .value = queries.count,
                                           .limit = broadcast->target_count});
    continue_broadcast(agent, sink, now_us, broadcast);
}

void
SlRelayAgent_HandleBroadcastAnswer(struct SlRelayAgent *agent,
                                   struct SlRelaySink *sink, uint64_t now_us,
                                   const struct SlRelayFrame *frame)
{
    struct SlRelayBroadcast *broadcast;
    struct SlRelayQueryList answer;
    uint64_t took_us;

    SlRelayAgent_RecordPeerFrame(agent, frame->sender);
    if (SlRelayQueryList_Decode(frame->segment, frame->segment_bytes,
                                &answer) != SL_OK) {
        agent->counters.inputs_malformed++;
        return;
    }
    broadcast =
        answer.query_id != 0 ? find_broadcast(agent, answer.query_id) : NULL;
    if (broadcast == NULL) {
        return;
    }
    if (!SlRelayBroadcast_RecordAnswer(broadcast, now_us, frame->sender,
                                       &took_us)) {
        return;
    }
    if (broadcast->retries == 0) {
        SlAnswerTimeout_AddSample(&agent->answer_timeout, took_us);
    }
    for (uint32_t i = 0; i < answer.count; i++) {
        /* An entry of an earlier version takes it for the holder's own. */
        if (answer.items[i].holder != 0 && !broadcast->reads_unsure) {
            continue;
        }
        SlRelayBroadcast_RecordClaim(broadcast, frame->sender,
                                     &answer.items[i]);
    }
    if (frame->is_unsure) {
        SlRelayBroadcast_RecordUnsure(broadcast, frame->sender);
    }
    if (has_all_answers(broadcast)) {
        end_broadcast(agent, sink, now_us, broadcast);
    }
}

void
SlRelayAgent_BroadcastsTick(struct SlRelayAgent *agent,
                            struct SlRelaySink *sink, uint64_t now_us)
{
    SlQueryBudget_StartTick(&agent->query_budget, now_us,
                            &agent->answer_timeout);
    for (uint32_t i = 0; i < SL_AGENT_BROADCASTS_MAX; i++) {
        if (agent->broadcasts[i].number != 0) {
            continue_broadcast(agent, sink, now_us, &agent->broadcasts[i]);
        }
    }
}
