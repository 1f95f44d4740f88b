/// Connects the records of kept flows to links and to the disk: those that the
/// agent of this process sends, and those that its control instance keeps.

#include <stdlib.h>

#include "savoryledge/coordination/flow_keeper.h"
#include "shell_internal.h"

enum {
    /// Interval at which records are written and synced.
    FLUSH_INTERVAL_US = 200 * 1000,
    /// Minimum time between two log lines about records that are not written.
    LOG_INTERVAL_US = 5 * 1000 * 1000,
};

struct shell_flow_records {
    struct SlFlowKeeperSink sink;
    struct SlShell *shell;
    struct SlFlowKeeper *keeper;
    struct SlFlowJournalFile *file;
    bool loaded;
    uint64_t flush_due_us;
    uint64_t logged_us;
    uint64_t logged_dropped_bytes;
};

static bool
keeps_records(const struct SlShell *shell, const struct peer *peer)
{
    return peer->hello_received && peer->knows_flow_records &&
           (peer->hello.roles & SL_ROLE_CONTROL) &&
           peer->hello.node_id != SlNode_Id(shell->settings.node.name);
}

static void
send_records(struct SlFlowKeeperSink *sink, uint64_t node_id,
             const struct SlMessage *message)
{
    struct SlShell *shell = ((struct shell_flow_records *)sink)->shell;

    for (struct peer *peer = shell->peers; peer != NULL; peer = peer->next) {
        if (peer->hello_received && peer->knows_flow_records &&
            peer->hello.node_id == node_id) {
            shell->control_sink.sink.type->send_message(
                &shell->control_sink.sink, peer->link, message);
            return;
        }
    }
}

static void
send_to_controls(struct SlFlowKeeperSink *sink,
                 const struct SlMessage *message)
{
    struct SlShell *shell = ((struct shell_flow_records *)sink)->shell;

    for (struct peer *peer = shell->peers; peer != NULL; peer = peer->next) {
        if (keeps_records(shell, peer)) {
            shell->control_sink.sink.type->send_message(
                &shell->control_sink.sink, peer->link, message);
        }
    }
}

/// The instance with the next higher node id, or else the lowest one.
static uint64_t
find_copy_holder(struct SlFlowKeeperSink *sink)
{
    struct SlShell *shell = ((struct shell_flow_records *)sink)->shell;
    uint64_t self = SlNode_Id(shell->settings.node.name);
    uint64_t lowest = 0;
    uint64_t next = 0;

    for (struct peer *peer = shell->peers; peer != NULL; peer = peer->next) {
        uint64_t node_id = peer->hello.node_id;

        if (!keeps_records(shell, peer)) {
            continue;
        }
        if (lowest == 0 || node_id < lowest) {
            lowest = node_id;
        }
        if (node_id > self && (next == 0 || node_id < next)) {
            next = node_id;
        }
    }
    return next != 0 ? next : lowest;
}

static void
persist(struct SlFlowKeeperSink *sink, const struct SlFlowBundle *bundle)
{
    struct shell_flow_records *records = (struct shell_flow_records *)sink;
    uint8_t encoded[SL_FLOW_BUNDLE_BYTES];

    SlFlowJournalFile_Append(records->file, encoded,
                             SlFlowBundle_Encode(bundle, encoded));
}

static void
log_records_event(struct SlFlowKeeperSink *sink, const struct SlEvent *event)
{
    log_event(((struct shell_flow_records *)sink)->shell, *event);
}

static const struct SlFlowKeeperSinkType SINK_TYPE = {
    .send = send_records,
    .send_to_controls = send_to_controls,
    .copy_holder = find_copy_holder,
    .persist = persist,
    .log_event = log_records_event,
};

enum SlStatus
shell_flow_records_open(struct SlShell *shell, struct SlFiles *files,
                        struct SlError *error)
{
    struct shell_flow_records *records = calloc(1, sizeof(*records));

    shell->flow_records = records;
    if (records != NULL) {
        records->sink.type = &SINK_TYPE;
        records->shell = shell;
        records->keeper = SlFlowKeeper_Create();
        records->file =
            SlFlowJournalFile_Open(files != NULL ? files : SlFiles_System(),
                                   shell->settings.control.data_folder);
    }
    return records != NULL && records->keeper != NULL && records->file != NULL
               ? SL_OK
               : SlError_Set(error, SL_NO_MEMORY, SL_STEP_OPEN, NULL,
                             "no memory for the records of flows");
}

void
shell_flow_records_close(struct SlShell *shell)
{
    struct shell_flow_records *records = shell->flow_records;

    if (records == NULL) {
        return;
    }
    SlFlowJournalFile_Close(records->file);
    SlFlowKeeper_Destroy(records->keeper);
    free(records);
    shell->flow_records = NULL;
}

void
shell_flow_records_handle(struct SlShell *shell, uint64_t now_us,
                          const struct peer *peer,
                          const struct SlFlowRecords *message)
{
    struct shell_flow_records *records = shell->flow_records;

    shell->has_inputs = true;
    if (records != NULL) {
        SlFlowKeeper_HandleRecords(
            records->keeper, &records->sink, now_us, peer->hello.node_id,
            (peer->hello.roles & SL_ROLE_CONTROL) != 0, message);
    }
    else if (shell->relay != NULL && (peer->hello.roles & SL_ROLE_CONTROL)) {
        shell_relay_handle_flow_records(shell->relay, now_us, message);
    }
}

/// Sends the records of this process's agent to the control instance that it
/// is linked to.
static void
send_agent_records(struct SlShell *shell, uint64_t now_us)
{
    struct SlMessage message = {.kind = SL_MESSAGE_FLOW_RECORDS};
    uint64_t link = 0;

    for (struct peer *peer = shell->peers; peer != NULL; peer = peer->next) {
        if (keeps_records(shell, peer)) {
            link = peer->link;
        }
    }
    if (shell_relay_next_flow_records(shell->relay, now_us, link,
                                      &message.flow_records)) {
        shell->control_sink.sink.type->send_message(&shell->control_sink.sink,
                                                    link, &message);
    }
}

static void
load_contents(struct shell_flow_records *records, uint64_t now_us)
{
    uint8_t *bytes;
    size_t length_bytes;

    if (SlFlowJournalFile_TakeContents(records->file, &bytes, &length_bytes)) {
        records->loaded = true;
        SlFlowKeeper_Load(records->keeper, &records->sink, now_us, bytes,
                          length_bytes);
        free(bytes);
    }
}

static void
log_unwritten(struct shell_flow_records *records, uint64_t now_us)
{
    struct SlFlowJournalFileCounters counters;

    SlFlowJournalFile_Counters(records->file, &counters);
    if (counters.dropped_bytes == records->logged_dropped_bytes ||
        now_us - records->logged_us < LOG_INTERVAL_US) {
        return;
    }
    log_event(records->shell,
              (struct SlEvent){.number = SL_EVENT_FLOW_RECORDS_UNWRITTEN,
                               .now_us = now_us,
                               .reason = "disk",
                               .value = (int64_t)counters.dropped_bytes,
                               .limit = (int64_t)counters.failures});
    records->logged_us = now_us;
    records->logged_dropped_bytes = counters.dropped_bytes;
}

static void
flush(struct shell_flow_records *records, uint64_t now_us)
{
    uint8_t *bytes;
    size_t length_bytes;

    records->flush_due_us = now_us + FLUSH_INTERVAL_US;
    if (SlFlowJournalFile_NeedsReplacement(records->file, now_us)) {
        bytes = SlFlowKeeper_Encode(records->keeper, &length_bytes);
        if (bytes != NULL) {
            SlFlowJournalFile_Replace(records->file, now_us, bytes,
                                      length_bytes);
        }
    }
    SlFlowJournalFile_Flush(records->file);
    log_unwritten(records, now_us);
}

void
shell_flow_records_tick(struct SlShell *shell, uint64_t now_us)
{
    struct shell_flow_records *records = shell->flow_records;

    if (shell->relay != NULL) {
        send_agent_records(shell, now_us);
    }
    if (records == NULL) {
        return;
    }
    if (!records->loaded) {
        load_contents(records, now_us);
    }
    else if (now_us >= records->flush_due_us) {
        flush(records, now_us);
    }
}

void
shell_flow_records_append_metrics(
    const struct SlShell *shell, struct SlBuffer *out,
    void (*append)(struct SlBuffer *out, const char *name, uint64_t value))
{
    struct SlFlowKeeperCounters kept;
    struct SlFlowJournalFileCounters written;

    if (shell->flow_records == NULL) {
        return;
    }
    SlFlowKeeper_Counters(shell->flow_records->keeper, &kept);
    SlFlowJournalFile_Counters(shell->flow_records->file, &written);
    append(out, "flow_records", kept.records);
    append(out, "flow_records_changes", kept.changes);
    append(out, "flow_records_dropped", kept.changes_dropped);
    append(out, "flow_records_queries", kept.queries);
    append(out, "flow_records_sent", kept.records_sent);
    append(out, "flow_records_written_bytes", written.written_bytes);
    append(out, "flow_records_syncs", written.syncs);
    append(out, "flow_records_failures", written.failures);
    append(out, "flow_records_dropped_bytes", written.dropped_bytes);
}
