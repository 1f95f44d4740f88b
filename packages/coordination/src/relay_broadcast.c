#include "relay_broadcast.h"

#include <stdlib.h>
#include <string.h>

#include "relay_agent_core.h"

enum {
    /// A slowed agent answers within a tenth of a second.
    ANSWER_LEAST_US = 150 * 1000,
    /// Who does not answer is asked again so often: a datagram may be lost,
    /// and without that one answer nothing is certain for any flow of the
    /// round.
    REPEATS_MAX = 2,
};

static enum SlStatus
make_room(struct SlRelayRound *round, uint32_t count)
{
    struct SlRoundMember *members;

    if (count <= round->member_room) {
        return SL_OK;
    }
    members = realloc(round->members, count * sizeof(*members));
    if (members == NULL) {
        return SL_NO_MEMORY;
    }
    round->members = members;
    round->member_room = count;
    return SL_OK;
}

enum SlStatus
SlRelayRound_Begin(struct SlRelayRound *round, uint64_t now_us,
                   uint32_t number, const struct SlRoundPeer *peers,
                   uint32_t peer_count)
{
    if (make_room(round, peer_count) != SL_OK) {
        return SL_NO_MEMORY;
    }
    round->number = number;
    round->claims = (struct SlRelayQueryList){.count = 0};
    round->member_count = 0;
    round->next = 0;
    round->repeats = 0;
    round->answered = 0;
    round->asked_us = now_us;
    for (uint32_t i = 0; i < peer_count; i++) {
        if (peers[i].lost_us == 0 ||
            now_us - peers[i].lost_us < SL_RELAY_LOST_US) {
            round->members[round->member_count++] = (struct SlRoundMember){
                .node_id = peers[i].node_id, .address = peers[i].address};
        }
    }
    return SL_OK;
}

static int
compare_members(const void *a, const void *b)
{
    const struct SlRoundMember *x = a;
    const struct SlRoundMember *y = b;

    return (x->node_id > y->node_id) - (x->node_id < y->node_id);
}

bool
SlRelayRound_Answered(struct SlRelayRound *round, uint64_t now_us,
                      uint64_t node_id, uint64_t *took_us)
{
    struct SlRoundMember wanted = {.node_id = node_id};
    struct SlRoundMember *member =
        round->member_count == 0
            ? NULL
            : bsearch(&wanted, round->members, round->member_count,
                      sizeof(wanted), compare_members);

    if (member == NULL || member->answered || member->asked_us == 0) {
        return false;
    }
    *took_us = now_us - member->asked_us;
    member->answered = true;
    round->answered++;
    return true;
}

/// Takes out what was said of a flow so far. Returns true when it was certain.
static bool
drop_claims(struct SlRelayQueryList *claims, const struct SlFlowKey *flow)
{
    uint32_t kept = 0;

    for (uint32_t i = 0; i < claims->count; i++) {
        if (!SlFlowKey_Equal(&claims->items[i].flow, flow)) {
            claims->items[kept++] = claims->items[i];
        }
        else if (claims->items[i].certain) {
            return true;
        }
    }
    claims->count = kept;
    return false;
}

void
SlRelayRound_Claim(struct SlRelayRound *round, uint64_t node_id,
                   const struct SlRelayQueryItem *claim)
{
    struct SlRelayQueryList *claims = &round->claims;

    if (claim->certain && drop_claims(claims, &claim->flow)) {
        return;
    }
    if (claims->count == SL_RELAY_QUERY_ITEMS_MAX) {
        claims->unanswered++;
        return;
    }
    claims->items[claims->count] = *claim;
    claims->items[claims->count].ack = 0;
    claims->items[claims->count].holder = node_id;
    claims->count++;
}

void
SlRelayRound_Release(struct SlRelayRound *round)
{
    free(round->members);
    *round = (struct SlRelayRound){.number = 0};
}

static void
tell_entry(struct SlRelayAgent *agent, struct SlRelaySink *sink,
           const struct SlAddress *entry,
           const struct SlRelayQueryList *claims)
{
    uint8_t encoded[SL_SEGMENT_MAX_BYTES];
    struct SlRelayFrame frame = {.kind = SL_RELAY_BROADCAST_RESULT,
                                 .sender = agent->node_id,
                                 .segment = encoded,
                                 .segment_bytes =
                                     SlRelayQueryList_Encode(claims, encoded)};

    sink->type->send_frame(sink, entry, &frame);
}

/// Tells the entry what was said, and frees the round.
static void
end_round(struct SlRelayAgent *agent, struct SlRelaySink *sink,
          uint64_t now_us, struct SlRelayRound *round)
{
    round->claims.unanswered += round->member_count - round->answered;
    tell_entry(agent, sink, &round->entry, &round->claims);
    SlRelayAgent_Event(
        agent, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_BROADCAST_ENDED,
                         .reason = round->claims.unanswered == 0
                                       ? "complete"
                                       : "incomplete",
                         .value = round->claims.count,
                         .limit = round->claims.unanswered});
    round->number = 0;
}

/// Asks the peers that have not been asked and have not answered, as far as
/// the budget goes.
static void
ask_on(struct SlRelayAgent *agent, struct SlRelaySink *sink, uint64_t now_us,
       struct SlRelayRound *round)
{
    uint8_t encoded[SL_SEGMENT_MAX_BYTES];
    struct SlRelayFrame frame = {.kind = SL_RELAY_QUERY_MANY,
                                 .sender = agent->node_id,
                                 .segment = encoded};

    if (round->next == round->member_count) {
        return;
    }
    frame.segment_bytes = SlRelayQueryList_Encode(&round->questions, encoded);
    for (; round->next < round->member_count; round->next++) {
        struct SlRoundMember *member = &round->members[round->next];

        if (member->answered) {
            continue;
        }
        if (!SlQueryBudget_Spend(&agent->budget, 1)) {
            return;
        }
        member->asked_us = now_us;
        round->asked_us = now_us;
        agent->counters.queries++;
        sink->type->send_frame(sink, &member->address, &frame);
    }
}

/// Ends the round when all have answered; asks those again who have not in
/// time.
static void
go_on(struct SlRelayAgent *agent, struct SlRelaySink *sink, uint64_t now_us,
      struct SlRelayRound *round)
{
    uint64_t patience_us =
        SlAnswerTimeout_Us(&agent->patience, ANSWER_LEAST_US);

    if (round->answered == round->member_count) {
        end_round(agent, sink, now_us, round);
        return;
    }
    if (round->next == round->member_count &&
        now_us - round->asked_us > patience_us) {
        SlQueryBudget_ReduceOnLoss(&agent->budget, now_us, &agent->patience);
        if (round->repeats == REPEATS_MAX) {
            end_round(agent, sink, now_us, round);
            return;
        }
        round->repeats++;
        round->next = 0;
    }
    ask_on(agent, sink, now_us, round);
}

static struct SlRelayRound *
find_round(struct SlRelayAgent *agent, uint32_t number)
{
    for (uint32_t i = 0; i < SL_AGENT_ROUNDS_MAX; i++) {
        if (agent->rounds[i].number == number) {
            return &agent->rounds[i];
        }
    }
    return NULL;
}

/// What this agent itself knows of the flows.
static void
claim_own(struct SlRelayAgent *agent, uint64_t now_us,
          struct SlRelayRound *round)
{
    for (uint32_t i = 0; i < round->questions.count; i++) {
        struct SlRelayQueryItem claim = round->questions.items[i];

        if (SlAgentFlow_MayHold(agent, now_us, &claim.flow, claim.ack,
                                &claim.certain)) {
            SlRelayRound_Claim(round, agent->node_id, &claim);
        }
    }
}

void
SlRelayAgent_AskAll(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                    uint64_t now_us, const struct SlAddress *from,
                    const struct SlRelayFrame *frame)
{
    struct SlRelayRound *round = find_round(agent, 0);
    struct SlRelayQueryList questions;

    if (SlRelayQueryList_Decode(frame->segment, frame->segment_bytes,
                                &questions) != SL_OK) {
        agent->counters.malformed++;
        return;
    }
    /* Who knows less than the entry, or has too much to do, leaves it to
       another agent. */
    if (round == NULL ||
        SlVersion_Compare(agent->version, questions.version) < 0 ||
        SlRelayRound_Begin(round, now_us, agent->last_round + 1, agent->peers,
                           agent->peer_count) != SL_OK) {
        questions.count = 0;
        questions.unanswered = SL_RELAY_NOT_QUERIED;
        tell_entry(agent, sink, from, &questions);
        return;
    }
    agent->last_round++;
    agent->counters.broadcasts++;
    round->entry = *from;
    round->claims.query_id = questions.query_id;
    round->questions = questions;
    round->questions.query_id = round->number;
    claim_own(agent, now_us, round);
    SlRelayAgent_Event(agent, sink, now_us,
                       (struct SlEvent){.number = SL_EVENT_RELAY_BROADCAST,
                                        .reason = "for_an_entry",
                                        .value = questions.count,
                                        .limit = round->member_count});
    go_on(agent, sink, now_us, round);
}

void
SlRelayAgent_HeardMany(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                       uint64_t now_us, const struct SlRelayFrame *frame)
{
    struct SlRelayRound *round;
    struct SlRelayQueryList held;
    uint64_t took_us;

    SlRelayAgent_HeardPeer(agent, frame->sender);
    if (SlRelayQueryList_Decode(frame->segment, frame->segment_bytes, &held) !=
        SL_OK) {
        agent->counters.malformed++;
        return;
    }
    round = held.query_id != 0 ? find_round(agent, held.query_id) : NULL;
    if (round == NULL) {
        return;
    }
    if (!SlRelayRound_Answered(round, now_us, frame->sender, &took_us)) {
        return;
    }
    if (round->repeats == 0) {
        SlAnswerTimeout_AddSample(&agent->patience, took_us);
    }
    for (uint32_t i = 0; i < held.count; i++) {
        SlRelayRound_Claim(round, frame->sender, &held.items[i]);
    }
    if (round->answered == round->member_count) {
        end_round(agent, sink, now_us, round);
    }
}

void
SlRelayAgent_RoundsTick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                        uint64_t now_us)
{
    SlQueryBudget_StartTick(&agent->budget, now_us, &agent->patience);
    for (uint32_t i = 0; i < SL_AGENT_ROUNDS_MAX; i++) {
        if (agent->rounds[i].number != 0) {
            go_on(agent, sink, now_us, &agent->rounds[i]);
        }
    }
}
