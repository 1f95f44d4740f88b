#include "relay_round.h"

#include <stdlib.h>

#include "relay_entry_core.h"

enum {
    /// As in a search: a slowed agent answers within a tenth of a second.
    ANSWER_LEAST_US = 150 * 1000,
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
                   const struct SlRelayMembers *members)
{
    if (make_room(round, members->count + 1) != SL_OK) {
        return SL_NO_MEMORY;
    }
    round->last_number++;
    round->number = round->last_number;
    round->questions.count = 0;
    round->member_count = 0;
    round->next = 0;
    round->answered = 0;
    round->asked_us = now_us;
    for (uint32_t i = 0; i < members->count; i++) {
        const struct SlRelayMemberPlace *place = &members->places[i];

        if (SlRelayMembers_MayHold(members, place->at, now_us)) {
            round->members[round->member_count++] =
                (struct SlRoundMember){.node_id = place->node_id};
        }
    }
    return SL_OK;
}

static struct SlRoundMember *
find_member(const struct SlRelayRound *round, uint64_t node_id)
{
    uint32_t low = 0;
    uint32_t high = round->member_count;

    while (low < high) {
        uint32_t middle = low + (high - low) / 2;

        if (round->members[middle].node_id == node_id) {
            return &round->members[middle];
        }
        if (round->members[middle].node_id < node_id) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

bool
SlRelayRound_Answered(struct SlRelayRound *round, uint64_t node_id)
{
    struct SlRoundMember *member = find_member(round, node_id);

    if (member == NULL || member->answered) {
        return false;
    }
    member->answered = true;
    round->answered++;
    return true;
}

bool
SlRelayRound_IsIncomplete(const struct SlRelayRound *round, uint64_t now_us,
                          const struct SlRelayMembers *members)
{
    for (uint32_t i = 0; i < members->count; i++) {
        if (SlRelayMembers_MayHold(members, members->places[i].at, now_us) &&
            find_member(round, members->places[i].node_id) == NULL) {
            return true;
        }
    }
    return false;
}

void
SlRelayRound_Release(struct SlRelayRound *round)
{
    free(round->members);
    *round = (struct SlRelayRound){.number = 0};
}

/// Puts searches that wait for a round into the one that begins.
static void
gather(struct SlRelayEntry *entry)
{
    struct SlRelayRound *round = &entry->round;

    for (struct SlRelayItem *item = entry->flows.waiting; item != NULL;
         item = item->waiting_next) {
        struct SlEntryFlow *flow = (struct SlEntryFlow *)item;

        if (round->questions.count == SL_RELAY_QUESTIONS_MAX) {
            return;
        }
        if (flow->search != NULL && flow->search->stage == SL_SEARCH_ALL &&
            flow->search->round == 0) {
            flow->search->round = round->number;
            round->questions.items[round->questions.count++] =
                (struct SlRelayQuestion){.flow = item->key,
                                         .ack = flow->search->ack};
        }
    }
}

static bool
is_awaited(const struct SlRelayEntry *entry)
{
    for (const struct SlRelayItem *item = entry->flows.waiting; item != NULL;
         item = item->waiting_next) {
        const struct SlEntryFlow *flow = (const struct SlEntryFlow *)item;

        if (flow->search != NULL && flow->search->stage == SL_SEARCH_ALL &&
            flow->search->round == 0) {
            return true;
        }
    }
    return false;
}

/// Asks the agents that have not been asked, as far as the budget goes.
static void
ask_on(struct SlRelayEntry *entry, struct SlRelaySink *sink, uint64_t now_us)
{
    struct SlRelayRound *round = &entry->round;
    uint8_t encoded[SL_SEGMENT_MAX_BYTES];
    struct SlRelayFrame frame = {.kind = SL_RELAY_ASK_MANY,
                                 .sender = entry->node_id,
                                 .plan_version = SlPlan_Version(entry->plan),
                                 .round = round->number,
                                 .segment = encoded};

    frame.segment_bytes = SlRelayQuestions_Encode(&round->questions, encoded);
    while (round->next < round->member_count &&
           SlQuestionBudget_Take(&entry->budget, 1)) {
        uint32_t at = SlRelayMembers_Find(&entry->members,
                                          round->members[round->next].node_id);

        if (at != SL_RELAY_NO_MEMBER) {
            entry->counters.questions++;
            SlRelayEntry_Send(entry, sink, at, &frame);
        }
        round->next++;
        round->asked_us = now_us;
    }
}

/// Goes on with the searches of a round that is over.
static void
end_round(struct SlRelayEntry *entry, struct SlRelaySink *sink,
          uint64_t now_us)
{
    struct SlRelayRound *round = &entry->round;
    uint32_t number = round->number;
    uint32_t silent = round->member_count - round->answered;
    bool uncertain = silent > 0 ||
                     SlRelayRound_IsIncomplete(round, now_us, &entry->members);

    round->number = 0;
    for (uint32_t i = 0; i < round->questions.count; i++) {
        struct SlEntryFlow *flow = (struct SlEntryFlow *)SlRelayIndex_Find(
            &entry->flows, &round->questions.items[i].flow);

        if (flow == NULL || flow->search == NULL ||
            flow->search->round != number) {
            continue;
        }
        flow->search->silent += silent;
        flow->search->uncertain = flow->search->uncertain || uncertain;
        SlRelayEntry_GoOn(entry, sink, now_us, flow);
    }
}

void
SlRelayEntry_RoundTick(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                       uint64_t now_us)
{
    struct SlRelayRound *round = &entry->round;
    uint64_t patience_us = SlPatience_Us(&entry->patience, ANSWER_LEAST_US);

    if (round->number != 0 && round->next == round->member_count &&
        (round->answered == round->member_count ||
         now_us - round->asked_us > patience_us)) {
        end_round(entry, sink, now_us);
    }
    if (round->number == 0 && entry->plan != NULL && is_awaited(entry) &&
        SlRelayRound_Begin(round, now_us, &entry->members) == SL_OK) {
        gather(entry);
        entry->counters.rounds++;
        SlRelayEntry_Event(entry, sink, now_us,
                           (struct SlEvent){.number = SL_EVENT_RELAY_ROUND,
                                            .reason = "homes_do_not_hold",
                                            .value = round->questions.count,
                                            .limit = round->member_count});
    }
    if (round->number != 0) {
        ask_on(entry, sink, now_us);
    }
}

void
SlRelayEntry_RoundAnswered(struct SlRelayEntry *entry,
                           struct SlRelaySink *sink, uint64_t now_us,
                           const struct SlRelayFrame *frame)
{
    struct SlRelayRound *round = &entry->round;
    struct SlRelayQuestions held;

    if (round->number == 0 || frame->round != round->number) {
        return;
    }
    if (SlRelayQuestions_Decode(frame->segment, frame->segment_bytes, &held) !=
        SL_OK) {
        entry->counters.malformed++;
        return;
    }
    if (!SlRelayRound_Answered(round, frame->sender)) {
        return;
    }
    for (uint32_t i = 0; i < held.count; i++) {
        struct SlEntryFlow *flow = (struct SlEntryFlow *)SlRelayIndex_Find(
            &entry->flows, &held.items[i].flow);

        if (flow != NULL && flow->search != NULL &&
            flow->search->round == round->number) {
            SlRelayEntry_Claimed(entry, sink, now_us, flow, frame->sender,
                                 held.items[i].certain);
        }
    }
}
