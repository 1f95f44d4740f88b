/// Questions to all agents, which an agent puts on the entry's behalf
/// (relay_broadcast.h): for flows whose homes do not hold them. Few are under
/// way at a time, so what they cost does not grow with the number of such
/// flows.

#include "relay_entry_core.h"

enum {
    /// An agent has asked all others within so long, also when it has to ask
    /// some of them again.
    ANSWER_LEAST_US = 400 * 1000,
    /// Agents that are tried when one does not answer, or cannot ask: it knows
    /// an older configuration, or has too many questions under way.
    ATTEMPTS_MAX = 3,
};

static bool
waits_for_round(const struct SlEntryFlow *flow)
{
    return flow->search != NULL && flow->search->stage == SL_SEARCH_ALL &&
           flow->search->round == 0;
}

/// Puts searches that wait for it into the question that begins. Returns their
/// number.
static uint32_t
gather(struct SlRelayEntry *entry, struct SlRelayQueryList *questions,
       uint32_t number)
{
    questions->count = 0;
    for (struct SlRelayItem *item = entry->flows.waiting; item != NULL;
         item = item->waiting_next) {
        struct SlEntryFlow *flow = (struct SlEntryFlow *)item;

        if (questions->count == SL_RELAY_QUERY_ITEMS_MAX) {
            break;
        }
        if (waits_for_round(flow)) {
            flow->search->round = number;
            questions->items[questions->count++] = (struct SlRelayQueryItem){
                .flow = item->key, .ack = flow->search->ack};
        }
    }
    return questions->count;
}

/// An agent that is likely to answer, other than the former one: by chance
/// among those that are not suspect, of this zone if there are any.
static uint32_t
choose_agent(struct SlRelayEntry *entry, uint64_t former)
{
    const struct SlRelayMembers *members = &entry->members;
    uint64_t random = SlRelayEntry_Random(entry);
    uint32_t best = SL_RELAY_NO_MEMBER;
    uint64_t most = 0;

    for (uint32_t i = 0; i < members->count; i++) {
        const struct SlCandidate *candidate = &members->candidates[i];
        /* Preferences stand above the draw. */
        uint64_t draw = SlPlacement_MixBits(random ^ candidate->node_id) >> 2;

        draw |= candidate->in_local_zone ? UINT64_C(1) << 62 : 0;
        draw |= candidate->suspect ? 0 : UINT64_C(1) << 63;
        if (candidate->node_id != former && draw > most) {
            most = draw;
            best = i;
        }
    }
    return best;
}

/// Hands the question to an agent; false when there is none.
static bool
delegate(struct SlRelayEntry *entry, struct SlRelaySink *sink, uint64_t now_us,
         struct SlRelayDelegation *delegation)
{
    uint32_t at = choose_agent(entry, delegation->agent);
    uint8_t encoded[SL_SEGMENT_MAX_BYTES];
    struct SlRelayFrame frame = {.kind = SL_RELAY_BROADCAST_QUERY,
                                 .sender = entry->node_id,
                                 .segment = encoded};

    if (at == SL_RELAY_NO_MEMBER) {
        return false;
    }
    delegation->questions.query_id = delegation->number;
    delegation->questions.version = entry->version;
    delegation->agent = entry->members.candidates[at].node_id;
    delegation->asked_us = now_us;
    delegation->attempts++;
    frame.segment_bytes =
        SlRelayQueryList_Encode(&delegation->questions, encoded);
    entry->counters.queries++;
    SlRelayEntry_Send(entry, sink, at, &frame);
    SlRelayEntry_Event(
        entry, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_BROADCAST,
                         .node = entry->members.members[at].name,
                         .reason = "homes_do_not_hold",
                         .value = delegation->questions.count,
                         .limit = entry->members.count});
    return true;
}

/// Goes on with the searches of the question that is over. unheard: agents
/// that did not answer.
static void
end_delegation(struct SlRelayEntry *entry, struct SlRelaySink *sink,
               uint64_t now_us, struct SlRelayDelegation *delegation,
               uint32_t unheard)
{
    uint32_t number = delegation->number;

    delegation->number = 0;
    for (uint32_t i = 0; i < delegation->questions.count; i++) {
        struct SlEntryFlow *flow = (struct SlEntryFlow *)SlRelayIndex_Find(
            &entry->flows, &delegation->questions.items[i].flow);

        if (flow == NULL || flow->search == NULL ||
            flow->search->round != number) {
            continue;
        }
        flow->search->silent += unheard;
        flow->search->uncertain = flow->search->uncertain || unheard > 0;
        SlRelayEntry_GoOn(entry, sink, now_us, flow);
    }
}

/// Gives a question to another agent, or gives it up.
static void
ask_another(struct SlRelayEntry *entry, struct SlRelaySink *sink,
            uint64_t now_us, struct SlRelayDelegation *delegation)
{
    if (delegation->attempts == ATTEMPTS_MAX ||
        !delegate(entry, sink, now_us, delegation)) {
        end_delegation(entry, sink, now_us, delegation, entry->members.count);
    }
}

/// Begins a question for the searches that wait for one.
static void
begin_delegation(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                 uint64_t now_us, struct SlRelayDelegation *delegation)
{
    uint32_t number = entry->last_delegation + 1;

    if (gather(entry, &delegation->questions, number) == 0) {
        return;
    }
    entry->last_delegation = number;
    entry->counters.broadcasts++;
    delegation->number = number;
    delegation->attempts = 0;
    delegation->agent = 0;
    if (!delegate(entry, sink, now_us, delegation)) {
        end_delegation(entry, sink, now_us, delegation, entry->members.count);
    }
}

void
SlRelayEntry_DelegateTick(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                          uint64_t now_us)
{
    uint64_t patience_us =
        SlAnswerTimeout_Us(&entry->delegation_patience, ANSWER_LEAST_US);

    for (uint32_t i = 0; i < SL_ENTRY_DELEGATIONS_MAX; i++) {
        struct SlRelayDelegation *delegation = &entry->delegations[i];

        if (delegation->number == 0) {
            if (entry->plan != NULL) {
                begin_delegation(entry, sink, now_us, delegation);
            }
        }
        else if (now_us - delegation->asked_us > patience_us) {
            ask_another(entry, sink, now_us, delegation);
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

void
SlRelayEntry_AllAnswered(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                         uint64_t now_us, const struct SlRelayFrame *frame)
{
    struct SlRelayDelegation *delegation;
    struct SlRelayQueryList claims;

    if (SlRelayQueryList_Decode(frame->segment, frame->segment_bytes,
                                &claims) != SL_OK) {
        entry->counters.malformed++;
        return;
    }
    delegation =
        claims.query_id != 0 ? find_delegation(entry, claims.query_id) : NULL;
    if (delegation == NULL) {
        return;
    }
    if (claims.unanswered == SL_RELAY_NOT_QUERIED) {
        if (frame->sender == delegation->agent) {
            ask_another(entry, sink, now_us, delegation);
        }
        return;
    }
    if (frame->sender == delegation->agent) {
        SlAnswerTimeout_AddSample(&entry->delegation_patience,
                                  now_us - delegation->asked_us);
    }
    for (uint32_t i = 0; i < claims.count; i++) {
        struct SlEntryFlow *flow = (struct SlEntryFlow *)SlRelayIndex_Find(
            &entry->flows, &claims.items[i].flow);

        if (flow != NULL && flow->search != NULL &&
            flow->search->round == delegation->number) {
            SlRelayEntry_Claimed(entry, sink, now_us, flow,
                                 claims.items[i].holder,
                                 claims.items[i].certain);
        }
    }
    end_delegation(entry, sink, now_us, delegation, claims.unanswered);
}
