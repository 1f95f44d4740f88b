#include "savoryledge/common/event.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

static const struct SlEventRow ROWS[] = {
    {SL_EVENT_ROUTE, SL_LEVEL_INFO, "route", "bucket", NULL,
     "An entry chose an agent for the first packet of a flow, or for a packet "
     "of a flow that is not in its cache."},
    {SL_EVENT_ROUTE_FAILED, SL_LEVEL_WARNING, "route_failed", NULL, NULL,
     "An entry has no upstream for a packet, or cannot parse the packet."},
    {SL_EVENT_CACHE_DROPPED, SL_LEVEL_INFO, "cache_dropped", NULL, NULL,
     "An entry removed the holder of a flow from its cache."},
    {SL_EVENT_UPSTREAM_SUSPECT, SL_LEVEL_WARNING, "upstream_suspect",
     "silent_us", "limit_us",
     "An agent does not answer the new flows sent to it; the entry uses the "
     "second choice for new flows until the agent answers again."},
    {SL_EVENT_UPSTREAM_CLEARED, SL_LEVEL_NOTICE, "upstream_cleared", NULL,
     NULL, "A suspect agent answered again."},
    {SL_EVENT_TOO_BIG, SL_LEVEL_INFO, "too_big", "length_bytes", "limit_bytes",
     "A packet exceeds the maximum size of the tunnel; its sender was "
     "notified of that size."},
    {SL_EVENT_ROUTING_CHANGED, SL_LEVEL_NOTICE, "routing_changed",
     "moved_buckets", "services",
     "An entry or agent applied a new routing table."},
    {SL_EVENT_FRAGMENT, SL_LEVEL_INFO, "fragment", "held", "limit",
     "A fragmented packet was reassembled or given up."},
    {SL_EVENT_RELAY_OFFER, SL_LEVEL_INFO, "offer", "in_progress", "slots",
     "An entry offered a new flow to an agent, which it chose by the latest "
     "load reports."},
    {SL_EVENT_RELAY_DECLINED, SL_LEVEL_INFO, "declined", "in_progress",
     "slots",
     "An agent declined an offer; the entry offers the flow to the next "
     "agent."},
    {SL_EVENT_RELAY_REFUSED, SL_LEVEL_NOTICE, "flow_refused", "declined_by",
     "spent_us",
     "An entry reset a new flow that no agent accepted; its request has not "
     "run."},
    {SL_EVENT_RELAY_SEARCH, SL_LEVEL_INFO, "search", "asked", NULL,
     "An entry queries agents for the holder of a flow."},
    {SL_EVENT_RELAY_SEARCH_ENDED, SL_LEVEL_INFO, "search_ended", "took_us",
     "unanswered", "An entry's search for the holder of a flow ended."},
    {SL_EVENT_RELAY_CONFIG, SL_LEVEL_NOTICE, "plan", "plan_version",
     "upstreams", "An entry or agent of the relay applied a new plan."},
    {SL_EVENT_UPSTREAM_SLOW, SL_LEVEL_NOTICE, "upstream_slow", "answer_us",
     "in_progress",
     "An entry marked an upstream as slow, or as recovered, by its answer "
     "times."},
    {SL_EVENT_RELAY_BROADCAST, SL_LEVEL_INFO, "search_all", "flows", "asked",
     "An entry requested a broadcast query for the holders of flows that "
     "their homes do not hold, or an agent sent such a query to all agents."},
    {SL_EVENT_RELAY_ANSWERS_LATE, SL_LEVEL_WARNING, "entry_late",
     "patience_us", NULL,
     "Most agents do not answer an entry; it assumes a fault on its own side, "
     "extends its answer timeout and marks no agent as suspect."},
    {SL_EVENT_RELAY_BROADCAST_ENDED, SL_LEVEL_INFO, "search_all_ended",
     "claims", "unheard",
     "An agent sent an entry the combined answers of all agents to a "
     "broadcast query."},
    {SL_EVENT_RELAY_OUT_OF_TOUCH, SL_LEVEL_INFO, "out_of_touch", "agents",
     "life_us",
     "Agents that have been unreachable for as long as an unused flow may "
     "live "
     "left a query unanswered; for a while their answers are not awaited."},
    {SL_EVENT_RELAY_CLAIMS_NOT_PROBED, SL_LEVEL_INFO, "claims_not_probed",
     "not_probed", "claims",
     "Agents that have restarted said that they may hold flows whose route "
     "does not lead to them; they are no homes of those flows, so they were "
     "not sent segments, and the searches end without a reset."},
    {SL_EVENT_TRANSFER_HELD, SL_LEVEL_INFO, "transfer_held", "ahead",
     "expected_us",
     "The opening segment of an upload waits in an entry, because as many "
     "uploads are in transfer as the link can carry."},
    {SL_EVENT_TRANSFER_REFUSED, SL_LEVEL_NOTICE, "transfer_refused",
     "expected_us", "left_us",
     "An entry reset a new flow for an upload that is not expected to start "
     "in time; its request has not run."},
    {SL_EVENT_TRANSFER_ENDED, SL_LEVEL_INFO, "transfer_ended", "bytes",
     "took_us", "The transfer of an upload through an entry ended."},
    {SL_EVENT_LINK_RATE, SL_LEVEL_NOTICE, "link_rate", "bytes_per_s",
     "delay_us",
     "An entry changed the estimated rate of its link, because packets queue "
     "for longer or shorter than before."},
    {SL_EVENT_LINK_FULL, SL_LEVEL_NOTICE, "link_full", "used_bytes_per_s",
     "delay_us",
     "Uploads began to wait for an entry's link, or none waits any more."},
    {SL_EVENT_RELAY_COST, SL_LEVEL_NOTICE, "cost", "work_us",
     "variation_percent",
     "An entry began or ceased to place the flows of a service by expected "
     "work."},
    {SL_EVENT_ADMIT, SL_LEVEL_INFO, "admit", "open_flows", "limit_flows",
     "An agent accepted a new flow for its upstream."},
    {SL_EVENT_PASS_ON, SL_LEVEL_INFO, "pass_on", "open_flows",
     "other_open_flows",
     "An agent passed a new flow on to another agent of the service."},
    {SL_EVENT_REFUSE, SL_LEVEL_NOTICE, "refuse", "open_flows", "limit_flows",
     "An agent refused a flow; the reason ends in not_run when its request "
     "has not run, and in unknown when it may have run."},
    {SL_EVENT_LOCATE, SL_LEVEL_INFO, "locate", "asked", NULL,
     "An agent queries the agents of the service for the holder of a flow."},
    {SL_EVENT_LOCATED, SL_LEVEL_INFO, "located", "took_us", NULL,
     "An agent's search for the holder of a flow ended."},
    {SL_EVENT_ADOPT, SL_LEVEL_NOTICE, "adopt", NULL, NULL,
     "An agent that restarted adopted an open flow of its upstream."},
    {SL_EVENT_RESET, SL_LEVEL_NOTICE, "reset", NULL, NULL,
     "A flow was reset towards its caller, its upstream or both."},
    {SL_EVENT_FLOW_END, SL_LEVEL_INFO, "flow_end", "lasted_us", "open_flows",
     "A flow at the upstream of an agent ended."},
    {SL_EVENT_SILENT, SL_LEVEL_WARNING, "silent", "silent_us", "limit_us",
     "Data sent in one direction of a flow was not answered within the "
     "limit."},
    {SL_EVENT_LIMIT, SL_LEVEL_INFO, "limit", "limit_flows", "limit_exchanges",
     "The admission limit of an upstream changed."},
    {SL_EVENT_COLD, SL_LEVEL_WARNING, "cold", "first_answer_us", "usual_us",
     "An agent treats its upstream as cold."},
    {SL_EVENT_FOREIGN, SL_LEVEL_WARNING, "foreign", NULL, NULL,
     "A packet reached an agent whose upstream does not belong to the "
     "packet's service."},
    {SL_EVENT_ZONE_LEFT, SL_LEVEL_NOTICE, "zone_left", "open_flows", NULL,
     "The availability zone of this agent is out of service; the agent ends "
     "its flows."},
    {SL_EVENT_DRAINED, SL_LEVEL_NOTICE, "drained", "open_flows", NULL,
     "An upstream began to drain, finished draining, or returned to service."},
    {SL_EVENT_DROP, SL_LEVEL_INFO, "drop", NULL, NULL,
     "A packet was dropped for the stated reason."},
    {SL_EVENT_RETURN_PATH, SL_LEVEL_NOTICE, "return_path", NULL, NULL,
     "An agent chose the entry through which it sends answers to callers."},
    {SL_EVENT_RELAY_ADMIT, SL_LEVEL_INFO, "relay_admit", "in_progress",
     "slots", "An agent of the relay admitted a new flow."},
    {SL_EVENT_RELAY_DECLINE, SL_LEVEL_INFO, "relay_decline", "in_progress",
     "slots",
     "An agent of the relay declined a new flow; its request has not run."},
    {SL_EVENT_RELAY_ABSENT, SL_LEVEL_INFO, "relay_absent", NULL, NULL,
     "A segment reached an agent whose upstream does not hold its flow."},
    {SL_EVENT_UPSTREAM_STATUS, SL_LEVEL_NOTICE, "upstream_notice", "seq",
     "cold_ms", "The status that an upstream reports of itself changed."},
    {SL_EVENT_RELAY_UNANSWERED, SL_LEVEL_INFO, "unanswered", "waited_us",
     "usual_us", "A caller ended its flow before its request was answered."},
    {SL_EVENT_RELAY_DEFERRED_REQUEST, SL_LEVEL_INFO, "request_turn",
     "waited_us", "in_progress",
     "A request on an open flow was deferred, delivered or dropped."},
    {SL_EVENT_RELAY_TABLE, SL_LEVEL_INFO, "table", "since_us", "life_us",
     "An agent that has restarted again knows all flows of its upstream, or a "
     "longer idle timeout has made that uncertain."},
    {SL_EVENT_UPSTREAM_REFUSES, SL_LEVEL_NOTICE, "upstream_refuses",
     "silent_us", "limit_us",
     "An upstream refused a connection while its agent stops; the reason says "
     "whether it has ended, may be draining, or was heard since."},
    {SL_EVENT_RELAY_RETURNS, SL_LEVEL_NOTICE, "returns", "status_age_us",
     "limit_flows",
     "An upstream whose zone or node was out of service returns; it is "
     "treated "
     "as cold until its next status."},
    {SL_EVENT_RELAY_TRANSFER, SL_LEVEL_INFO, "transfer", "took_us",
     "transfers", "The body of an upload ended, stalled or went on."},
    {SL_EVENT_RELAY_WORK, SL_LEVEL_INFO, "work", "work_us",
     "variation_percent",
     "An agent found that the work of its upstream's requests is alike, is "
     "unlike, or has changed."},
    {SL_EVENT_RELAY_EXPECTED_WAIT, SL_LEVEL_INFO, "expected_wait", "wait_us",
     "limit_us",
     "An agent whose upstream has no free slot decided on a flow by the time "
     "that it would wait for one."},
    {SL_EVENT_HANDOVER, SL_LEVEL_NOTICE, "handover", "flows", "count",
     "An agent that stops sent its flows to other agents, count of which keep "
     "them for the next process beside its upstream, or that process got them "
     "after count queries."},
    {SL_EVENT_FLOWS_LOST, SL_LEVEL_NOTICE, "flows_lost", "resets", "flows",
     "An upstream has lost its flows; the agent resets the callers of those "
     "that it is known to have held."},
    {SL_EVENT_LOST_FLOW_RESET, SL_LEVEL_INFO, "lost_flow_reset", "class",
     "left",
     "An agent reset the caller of a flow that its upstream has lost."},
    {SL_EVENT_ELECTED, SL_LEVEL_NOTICE, "elected", "term", "votes",
     "A control instance became leader."},
    {SL_EVENT_STEPPED_DOWN, SL_LEVEL_NOTICE, "stepped_down", "term", NULL,
     "A control instance stopped leading."},
    {SL_EVENT_VOTE, SL_LEVEL_INFO, "vote", "term", "granted",
     "A control instance answered a request for its vote."},
    {SL_EVENT_COMMITTED, SL_LEVEL_NOTICE, "committed", "client", "request",
     "A change of the configuration was accepted: it is synced on a majority "
     "of "
     "the control instances and applied."},
    {SL_EVENT_REJECTED, SL_LEVEL_NOTICE, "rejected", "client", "request",
     "A change of the configuration was rejected; the reason names the status "
     "code."},
    {SL_EVENT_ANNOUNCED, SL_LEVEL_NOTICE, "announced", "boot", NULL,
     "A process announced itself or changed what it announces."},
    {SL_EVENT_UNREACHABLE, SL_LEVEL_WARNING, "unreachable", "silent_us",
     "limit_us",
     "Control marked a process as unreachable, because it received no message "
     "from it within the limit."},
    {SL_EVENT_REACHABLE, SL_LEVEL_NOTICE, "reachable", NULL, NULL,
     "Control received a message from a process that it had marked as "
     "unreachable."},
    {SL_EVENT_LOSS_HELD, SL_LEVEL_WARNING, "loss_held", "silent_nodes",
     "known_nodes",
     "Many processes stopped sending messages at the same time; control keeps "
     "them in service until their loss is confirmed."},
    {SL_EVENT_SNAPSHOT, SL_LEVEL_NOTICE, "snapshot", "index", "bytes",
     "A control instance wrote a snapshot of its state, or installed one that "
     "the leader sent."},
    {SL_EVENT_RECOVERED, SL_LEVEL_NOTICE, "recovered", "index", "entries",
     "A process read its durable state at startup."},
    {SL_EVENT_MEMBER, SL_LEVEL_NOTICE, "member", "members", "voters",
     "The control membership changed."},
    {SL_EVENT_LEASE_LOST, SL_LEVEL_WARNING, "lease_lost", "silent_us",
     "limit_us", "A control instance holds no fresh lease."},
    {SL_EVENT_DISK, SL_LEVEL_ERROR, "disk", NULL, NULL,
     "A process could not write or sync its durable state to disk."},
    {SL_EVENT_PUBLISHED_WITHOUT_LEASE, SL_LEVEL_INFO,
     "published_without_lease", "processes", "lease_us",
     "A control instance that is not current sent processes changes that are "
     "committed; node is the last leader."},
    {SL_EVENT_DISK_WORKS, SL_LEVEL_NOTICE, "disk_works", "failing_us",
     "failures",
     "A process wrote its durable state to disk again after failures."},
    {SL_EVENT_FLOW_RECORDS_READ, SL_LEVEL_NOTICE, "flow_records_read",
     "records", "unread_bytes",
     "A control instance has read its records of kept flows."},
    {SL_EVENT_FLOW_RECORDS_RETURNED, SL_LEVEL_INFO, "flow_records_returned",
     "records", "started_ms",
     "A control instance returned an agent's records of kept flows."},
    {SL_EVENT_FLOW_RECORDS_UNWRITTEN, SL_LEVEL_WARNING,
     "flow_records_unwritten", "dropped_bytes", "failures",
     "A control instance could not write records of kept flows to its disk."},
    {SL_EVENT_INVITED, SL_LEVEL_INFO, "invited", "processes", "share",
     "A restarted control instance without a leader dialled entries and "
     "agents to give them the configuration that it recovered."},
    {SL_EVENT_VERSION, SL_LEVEL_NOTICE, "version", "objects", "removed",
     "A process applied a newer configuration."},
    {SL_EVENT_BEHIND, SL_LEVEL_NOTICE, "behind", NULL, NULL,
     "A message from a peer showed that this process holds an old "
     "configuration."},
    {SL_EVENT_CUT_OFF, SL_LEVEL_WARNING, "cut_off", "silent_us", "limit_us",
     "No fresh message from control arrived within the limit; the process "
     "continues with its last configuration."},
    {SL_EVENT_JOINED, SL_LEVEL_NOTICE, "joined", NULL, NULL,
     "A process that was cut off receives fresh messages from control again."},
    {SL_EVENT_STALE_OFFER, SL_LEVEL_WARNING, "stale_offer", NULL, NULL,
     "A process was offered a configuration older than its present one and "
     "refused it."},
    {SL_EVENT_INVITATION_TAKEN, SL_LEVEL_INFO, "invitation_taken", "waited_us",
     NULL,
     "A process without a configuration uses a control instance other than "
     "the one that it dialled last."},
    {SL_EVENT_CONTROL_LEFT, SL_LEVEL_NOTICE, "control_left", "waited_us",
     "limit_us",
     "A process left a control instance that it did not reach, or that did "
     "not confirm in time that the configuration is current."},
    {SL_EVENT_JOIN_PASSED, SL_LEVEL_INFO, "join_passed", NULL, NULL,
     "A process without a log passed the request of a new control instance on "
     "to the control instance that it uses."},
    {SL_EVENT_CONTROLS_CHANGED, SL_LEVEL_NOTICE, "controls_changed",
     "leader_silent_us", NULL,
     "A process whose own control instance hears no leader uses other ones, "
     "or uses its own again."},
    {SL_EVENT_LINK_UP, SL_LEVEL_INFO, "link_up", NULL, NULL,
     "A link to another process was established."},
    {SL_EVENT_LINK_DOWN, SL_LEVEL_NOTICE, "link_down", NULL, NULL,
     "A link to another process ended."},
    {SL_EVENT_LINK_REFUSED, SL_LEVEL_WARNING, "link_refused", NULL, NULL,
     "A connection was refused because of a wrong key or invalid framing."},
    {SL_EVENT_DATAGRAM_REFUSED, SL_LEVEL_WARNING, "datagram_refused",
     "refused", NULL,
     "Datagrams were refused since the previous event of this kind."},
    {SL_EVENT_STARTED, SL_LEVEL_NOTICE, "started", "boot", NULL,
     "The process has started and serves requests."},
    {SL_EVENT_STOPPING, SL_LEVEL_NOTICE, "stopping", "limit_us", NULL,
     "A planned stop began."},
    {SL_EVENT_STOPPED, SL_LEVEL_NOTICE, "stopped", NULL, NULL,
     "The process has stopped."},
    {SL_EVENT_RELOADED, SL_LEVEL_NOTICE, "reloaded", NULL, NULL,
     "The process reloaded its settings."},
    {SL_EVENT_LOG_LOST, SL_LEVEL_WARNING, "log_lost", "lines", NULL,
     "Log lines were dropped, because writing them would have blocked."},
    {SL_EVENT_RECORDING, SL_LEVEL_NOTICE, "recording", "bytes", "lost",
     "The recording was started, stopped, or continued in a new file."},
    {SL_EVENT_FAILED, SL_LEVEL_ERROR, "failed", NULL, NULL,
     "A step of the process failed; the reason names the status code of the "
     "failure."},
    {SL_EVENT_CALL_REFUSED, SL_LEVEL_WARNING, "call_refused", NULL, NULL,
     "A request to an HTTP interface was refused for the stated reason."},
    {SL_EVENT_READ_REFUSED, SL_LEVEL_WARNING, "read_refused", "lease_us",
     "leader_silent_us",
     "A read of the configuration was refused; lease_us is negative by the "
     "time for which the lease has been over, and node is the last leader."},
    {SL_EVENT_CALL_REDIRECTED, SL_LEVEL_INFO, "call_redirected", "lease_us",
     "leader_silent_us",
     "An operator's call was redirected to a control instance that is the "
     "leader, is linked to this process, or is listed in the configuration."},
};

const struct SlEventRow *
SlEvent_Rows(size_t *count)
{
    *count = sizeof(ROWS) / sizeof(ROWS[0]);
    return ROWS;
}

const struct SlEventRow *
SlEvent_Row(enum SlEventNumber number)
{
    size_t low = 0;
    size_t high = sizeof(ROWS) / sizeof(ROWS[0]);

    while (low < high) {
        size_t middle = (low + high) / 2;

        if (ROWS[middle].number == number) {
            return &ROWS[middle];
        }
        if (ROWS[middle].number < number) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

/// A log line that is being formatted. Text beyond SL_EVENT_TEXT_BYTES is
/// truncated.
struct log_line {
    char *text;
    size_t used_bytes;
};

static void
append_formatted(struct log_line *line, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
append_formatted(struct log_line *line, const char *format, ...)
{
    size_t available_bytes = SL_EVENT_TEXT_BYTES - line->used_bytes;
    va_list arguments;
    int written;

    va_start(arguments, format);
    written = vsnprintf(line->text + line->used_bytes, available_bytes, format,
                        arguments);
    va_end(arguments);
    if (written > 0) {
        line->used_bytes += (size_t)written < available_bytes
                                ? (size_t)written
                                : available_bytes - 1;
    }
}

/// Appends a text, which may be from outside: its control characters are
/// replaced, so that a line of the log stays one line.
static void
append_text_field(struct log_line *line, const char *key, const char *value)
{
    size_t start = line->used_bytes;

    if (value == NULL || *value == '\0') {
        return;
    }
    append_formatted(line, " %s=%s", key, value);
    for (size_t i = start; i < line->used_bytes; i++) {
        if (iscntrl((unsigned char)line->text[i])) {
            line->text[i] = '?';
        }
    }
}

static void
append_number_field(struct log_line *line, const char *key, int64_t value)
{
    if (key != NULL) {
        append_formatted(line, " %s=%" PRId64, key, value);
    }
}

const char *
SlEvent_Format(const struct SlEvent *event, char text[SL_EVENT_TEXT_BYTES])
{
    const struct SlEventRow *row = SlEvent_Row(event->number);
    struct log_line line = {.text = text};
    char flow[SL_FLOW_TEXT_BYTES];

    append_formatted(&line, "<%d>SL%d %s t=%" PRIu64 ".%06" PRIu64,
                     row ? row->level : SL_LEVEL_ERROR, event->number,
                     row ? row->name : "unknown", event->now_us / 1000000,
                     event->now_us % 1000000);
    if (event->flow != NULL) {
        append_text_field(&line, "flow", SlFlowKey_Format(event->flow, flow));
    }
    append_text_field(&line, "service", event->service);
    append_text_field(&line, "node", event->node);
    append_text_field(&line, "peer", event->peer);
    append_text_field(&line, "reason", event->reason);
    if (row != NULL) {
        append_number_field(&line, row->value_name, event->value);
        append_number_field(&line, row->limit_name, event->limit);
    }
    append_formatted(&line, " version=%" PRIu64 ".%" PRIu64,
                     event->version.term, event->version.index);
    return text;
}
