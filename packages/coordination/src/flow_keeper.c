#include "savoryledge/coordination/flow_keeper.h"

#include <stdlib.h>

enum {
    /// About 7 MB of memory and 3 MB of disk.
    RECORDS_MAX = 65536,
    RECORDS_PER_AGENT_MAX = 1024,
    /// Answers that are remembered, so that a repeated query is not answered
    /// again within this time.
    ANSWERS_MAX = 256,
    REPEAT_ANSWER_US = 3 * 1000 * 1000,
};

/// An answer about an agent whose upstream's present run is started_ms.
struct flow_answer {
    uint64_t to;
    uint64_t agent_id;
    uint64_t started_ms;
    uint64_t sent_us;
};

struct SlFlowKeeper {
    struct SlFlowJournal *journal;
    bool loaded;
    /// Ring of the latest answers.
    uint32_t next_answer;
    struct flow_answer answers[ANSWERS_MAX];
    struct SlFlowKeeperCounters counters;
};

struct SlFlowKeeper *
SlFlowKeeper_Create(void)
{
    struct SlFlowKeeper *keeper = calloc(1, sizeof(*keeper));

    if (keeper == NULL) {
        return NULL;
    }
    keeper->journal = SlFlowJournal_Create(RECORDS_MAX, RECORDS_PER_AGENT_MAX);
    if (keeper->journal == NULL) {
        free(keeper);
        return NULL;
    }
    return keeper;
}

void
SlFlowKeeper_Destroy(struct SlFlowKeeper *keeper)
{
    if (keeper != NULL) {
        SlFlowJournal_Destroy(keeper->journal);
        free(keeper);
    }
}

void
SlFlowKeeper_Load(struct SlFlowKeeper *keeper, struct SlFlowKeeperSink *sink,
                  uint64_t now_us, const uint8_t *bytes, size_t length_bytes)
{
    size_t used_bytes =
        bytes != NULL
            ? SlFlowJournal_Decode(keeper->journal, bytes, length_bytes)
            : 0;

    keeper->loaded = true;
    if (length_bytes > 0) {
        sink->type->log_event(
            sink, &(struct SlEvent){
                      .number = SL_EVENT_FLOW_RECORDS_READ,
                      .now_us = now_us,
                      .reason = used_bytes == length_bytes ? "whole" : "torn",
                      .value = SlFlowJournal_Count(keeper->journal),
                      .limit = (int64_t)(length_bytes - used_bytes)});
    }
}

static void
apply_changes(struct SlFlowKeeper *keeper, struct SlFlowKeeperSink *sink,
              const struct SlFlowRecords *records, bool from_control)
{
    struct SlMessage message = {.kind = SL_MESSAGE_FLOW_RECORDS,
                                .flow_records = *records};
    struct SlFlowBundle bundle = {.agent_id = records->agent_id,
                                  .started_ms = records->started_ms,
                                  .count = records->count,
                                  .records = records->records};
    uint64_t copy_holder = sink->type->copy_holder(sink);

    if (records->started_ms == 0) {
        return;
    }
    keeper->counters.changes += records->count;
    keeper->counters.changes_dropped +=
        SlFlowJournal_Apply(keeper->journal, &bundle);
    sink->type->persist(sink, &bundle);
    if (!from_control && !records->passed_on && copy_holder != 0) {
        message.flow_records.passed_on = true;
        sink->type->send(sink, copy_holder, &message);
    }
}

static void
send_answer(struct SlFlowKeeper *keeper, struct SlFlowKeeperSink *sink,
            uint64_t to, const struct SlFlowBundle *bundle)
{
    uint32_t sent = 0;

    while (sent < bundle->count) {
        uint32_t left = bundle->count - sent;
        struct SlMessage message = {
            .kind = SL_MESSAGE_FLOW_RECORDS,
            .flow_records = {
                .action = SL_FLOW_RECORDS_ANSWER,
                .agent_id = bundle->agent_id,
                .started_ms = bundle->started_ms,
                .count = left < SL_FLOW_BUNDLE_MAX ? left : SL_FLOW_BUNDLE_MAX,
                .records = (struct SlFlowRecord *)bundle->records + sent}};

        sink->type->send(sink, to, &message);
        sent += message.flow_records.count;
    }
    keeper->counters.records_sent += sent;
}

/// Returns whether the same query was answered a short time ago; if not,
/// remembers that it is answered now.
static bool
was_answered(struct SlFlowKeeper *keeper, uint64_t now_us, uint64_t to,
             const struct SlFlowRecords *query)
{
    for (uint32_t i = 0; i < ANSWERS_MAX; i++) {
        const struct flow_answer *answer = &keeper->answers[i];

        if (answer->to == to && answer->agent_id == query->agent_id &&
            answer->started_ms == query->started_ms &&
            now_us - answer->sent_us < REPEAT_ANSWER_US) {
            return true;
        }
    }
    keeper->answers[keeper->next_answer] =
        (struct flow_answer){.to = to,
                             .agent_id = query->agent_id,
                             .started_ms = query->started_ms,
                             .sent_us = now_us};
    keeper->next_answer = (keeper->next_answer + 1) % ANSWERS_MAX;
    return false;
}

/// Answers with what this instance holds, and lets the others answer too: the
/// agent may have been linked to another one before.
static void
handle_query(struct SlFlowKeeper *keeper, struct SlFlowKeeperSink *sink,
             uint64_t now_us, uint64_t from, const struct SlFlowRecords *query)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_FLOW_RECORDS,
        .flow_records = {.action = SL_FLOW_RECORDS_QUERY,
                         .agent_id = query->agent_id,
                         .started_ms = query->started_ms,
                         .passed_on = true}};
    struct SlFlowBundle bundle;

    if (!query->passed_on) {
        keeper->counters.queries++;
        sink->type->send_to_controls(sink, &message);
    }
    /* While the file is being read the agent repeats its query. */
    if (!keeper->loaded ||
        !SlFlowJournal_Find(keeper->journal, query->agent_id, &bundle) ||
        was_answered(keeper, now_us, from, query)) {
        return;
    }
    send_answer(keeper, sink, from, &bundle);
    sink->type->log_event(
        sink,
        &(struct SlEvent){.number = SL_EVENT_FLOW_RECORDS_RETURNED,
                          .now_us = now_us,
                          .reason = query->passed_on ? "passed_on" : "agent",
                          .value = bundle.count,
                          .limit = (int64_t)bundle.started_ms});
}

void
SlFlowKeeper_HandleRecords(struct SlFlowKeeper *keeper,
                           struct SlFlowKeeperSink *sink, uint64_t now_us,
                           uint64_t from, bool from_control,
                           const struct SlFlowRecords *records)
{
    struct SlMessage message = {.kind = SL_MESSAGE_FLOW_RECORDS,
                                .flow_records = *records};

    if (!from_control && records->agent_id != from) {
        return;
    }
    switch (records->action) {
    case SL_FLOW_RECORDS_CHANGE:
        apply_changes(keeper, sink, records, from_control);
        break;
    case SL_FLOW_RECORDS_QUERY:
        handle_query(keeper, sink, now_us, from, records);
        break;
    default:
        /* Another control instance answers an agent of this one. */
        if (from_control && records->count > 0) {
            sink->type->send(sink, records->agent_id, &message);
        }
        break;
    }
}

uint8_t *
SlFlowKeeper_Encode(const struct SlFlowKeeper *keeper, size_t *length_bytes)
{
    return SlFlowJournal_Encode(keeper->journal, length_bytes);
}

void
SlFlowKeeper_Counters(const struct SlFlowKeeper *keeper,
                      struct SlFlowKeeperCounters *counters)
{
    *counters = keeper->counters;
    counters->records = SlFlowJournal_Count(keeper->journal);
}
