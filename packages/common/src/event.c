#include "savoryledge/common/event.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

static const struct SlEventRow ROWS[] = {
    {SL_EVENT_ROUTE, SL_LEVEL_INFO, "route", "bucket", NULL,
     "An entry chose the upstream's agent for the first packet of a flow, or "
     "for a flow that it did not know."},
    {SL_EVENT_ROUTE_FAILED, SL_LEVEL_WARNING, "route_failed", NULL, NULL,
     "An entry has no upstream for a packet, or cannot read it."},
    {SL_EVENT_CACHE_DROPPED, SL_LEVEL_INFO, "cache_dropped", NULL, NULL,
     "An entry forgot which upstream holds a flow."},
    {SL_EVENT_UPSTREAM_SUSPECT, SL_LEVEL_WARNING, "upstream_suspect",
     "silent_us", "limit_us",
     "New flows sent to an agent stay without any answer; the entry starts "
     "at the second choice for now."},
    {SL_EVENT_UPSTREAM_CLEARED, SL_LEVEL_NOTICE, "upstream_cleared", NULL,
     NULL, "A suspect agent answered again."},
    {SL_EVENT_TOO_BIG, SL_LEVEL_INFO, "too_big", "length_bytes", "limit_bytes",
     "A packet does not fit the tunnel; its sender was told the size that "
     "does."},
    {SL_EVENT_ROUTING_CHANGED, SL_LEVEL_NOTICE, "routing_changed",
     "moved_buckets", "services",
     "An entry or agent took a new routing table into use."},
    {SL_EVENT_FRAGMENT, SL_LEVEL_INFO, "fragment", "held", "limit",
     "A fragmented packet was put together, or given up."},
    {SL_EVENT_RELAY_OFFER, SL_LEVEL_INFO, "offer", "in_progress", "slots",
     "An entry offered a new flow to an agent, by the load that it last "
     "reported."},
    {SL_EVENT_RELAY_DECLINED, SL_LEVEL_INFO, "declined", "in_progress",
     "slots",
     "An agent declined an offer; the entry offers the flow to the "
     "next one."},
    {SL_EVENT_RELAY_REFUSED, SL_LEVEL_NOTICE, "flow_refused", "declined_by",
     "spent_us",
     "An entry reset a new flow that no agent took: it has not "
     "run."},
    {SL_EVENT_RELAY_SEARCH, SL_LEVEL_INFO, "search", "asked", NULL,
     "An entry asks agents who holds a flow."},
    {SL_EVENT_RELAY_SEARCH_ENDED, SL_LEVEL_INFO, "search_ended", "took_us",
     "unanswered", "The search for a flow's holder ended."},
    {SL_EVENT_RELAY_CONFIG, SL_LEVEL_NOTICE, "plan", "plan_version",
     "upstreams",
     "An entry or agent of the relay took a configuration into "
     "use."},
    {SL_EVENT_UPSTREAM_SLOW, SL_LEVEL_NOTICE, "upstream_slow", "answer_us",
     "in_progress", "An entry judged an upstream by its answers anew."},
    {SL_EVENT_RELAY_BROADCAST, SL_LEVEL_INFO, "search_all", "flows", "asked",
     "An entry has all agents asked who holds flows that their homes do not "
     "hold; an agent asks them for it."},
    {SL_EVENT_RELAY_ANSWERS_LATE, SL_LEVEL_WARNING, "entry_late",
     "patience_us", NULL,
     "Most agents are silent to an entry: it takes the fault for its own, "
     "waits for longer, and suspects none."},
    {SL_EVENT_RELAY_BROADCAST_ENDED, SL_LEVEL_INFO, "search_all_ended",
     "claims", "unheard", "An agent told an entry what all agents said."},
    {SL_EVENT_ADMIT, SL_LEVEL_INFO, "admit", "open_flows", "limit_flows",
     "An agent accepted a new flow for its upstream."},
    {SL_EVENT_PASS_ON, SL_LEVEL_INFO, "pass_on", "open_flows",
     "other_open_flows",
     "An agent sent a new flow on to another agent of the service."},
    {SL_EVENT_REFUSE, SL_LEVEL_NOTICE, "refuse", "open_flows", "limit_flows",
     "A flow was refused; the reason ends in not_run or unknown."},
    {SL_EVENT_LOCATE, SL_LEVEL_INFO, "locate", "asked", NULL,
     "An agent asks the service's agents who holds a flow."},
    {SL_EVENT_LOCATED, SL_LEVEL_INFO, "located", "took_us", NULL,
     "The search for a flow's holder ended."},
    {SL_EVENT_ADOPT, SL_LEVEL_NOTICE, "adopt", NULL, NULL,
     "An agent that restarted took a flow back for its upstream."},
    {SL_EVENT_RESET, SL_LEVEL_NOTICE, "reset", NULL, NULL,
     "A flow was reset towards its caller, its upstream or both."},
    {SL_EVENT_FLOW_END, SL_LEVEL_INFO, "flow_end", "lasted_us", "open_flows",
     "A flow ended."},
    {SL_EVENT_SILENT, SL_LEVEL_WARNING, "silent", "silent_us", "limit_us",
     "Data of a flow stays without an answer in one direction."},
    {SL_EVENT_LIMIT, SL_LEVEL_INFO, "limit", "limit_flows", "limit_exchanges",
     "The admission limit of an upstream changed."},
    {SL_EVENT_COLD, SL_LEVEL_WARNING, "cold", "first_answer_us", "usual_us",
     "An upstream is taken for cold."},
    {SL_EVENT_FOREIGN, SL_LEVEL_WARNING, "foreign", NULL, NULL,
     "A packet reached an agent whose upstream does not serve its service."},
    {SL_EVENT_ZONE_LEFT, SL_LEVEL_NOTICE, "zone_left", "open_flows", NULL,
     "The availability zone of this agent is out; its flows end."},
    {SL_EVENT_DRAINED, SL_LEVEL_NOTICE, "drained", "open_flows", NULL,
     "An upstream began to drain, ended draining, or returned."},
    {SL_EVENT_DROP, SL_LEVEL_INFO, "drop", NULL, NULL,
     "A packet was dropped, with the reason."},
    {SL_EVENT_RETURN_PATH, SL_LEVEL_NOTICE, "return_path", NULL, NULL,
     "An agent chose the entry through which its answers leave."},
    {SL_EVENT_RELAY_ADMIT, SL_LEVEL_INFO, "relay_admit", "in_progress",
     "slots", "An agent of the relay let a new flow in."},
    {SL_EVENT_RELAY_DECLINE, SL_LEVEL_INFO, "relay_decline", "in_progress",
     "slots", "An agent of the relay declined a new flow: it has not run."},
    {SL_EVENT_RELAY_ABSENT, SL_LEVEL_INFO, "relay_absent", NULL, NULL,
     "A segment reached an agent whose upstream does not hold its flow."},
    {SL_EVENT_UPSTREAM_STATUS, SL_LEVEL_NOTICE, "upstream_notice", "seq",
     "cold_ms", "What an upstream says of itself changed."},
    {SL_EVENT_RELAY_UNANSWERED, SL_LEVEL_INFO, "unanswered", "waited_us",
     "usual_us", "A caller left before its request was answered."},
    {SL_EVENT_RELAY_DEFERRED_REQUEST, SL_LEVEL_INFO, "request_turn",
     "waited_us", "in_progress",
     "A request on an open flow waits, goes on, or is dropped."},
    {SL_EVENT_ELECTED, SL_LEVEL_NOTICE, "elected", "term", "votes",
     "A control instance became leader."},
    {SL_EVENT_STEPPED_DOWN, SL_LEVEL_NOTICE, "stepped_down", "term", NULL,
     "A control instance stopped leading."},
    {SL_EVENT_VOTE, SL_LEVEL_INFO, "vote", "term", "granted",
     "A control instance answered a request for its vote."},
    {SL_EVENT_COMMITTED, SL_LEVEL_NOTICE, "committed", "client", "request",
     "A change was accepted: it is synced on a majority and applied."},
    {SL_EVENT_REJECTED, SL_LEVEL_NOTICE, "rejected", "client", "request",
     "A change was not accepted, with the status as reason."},
    {SL_EVENT_ANNOUNCED, SL_LEVEL_NOTICE, "announced", "boot", NULL,
     "A process announced itself or changed what it announces."},
    {SL_EVENT_UNREACHABLE, SL_LEVEL_WARNING, "unreachable", "silent_us",
     "limit_us", "Control takes a process for unreachable."},
    {SL_EVENT_REACHABLE, SL_LEVEL_NOTICE, "reachable", NULL, NULL,
     "Control hears from a process again."},
    {SL_EVENT_LOSS_HELD, SL_LEVEL_WARNING, "loss_held", "silent_nodes",
     "known_nodes",
     "Many processes fell silent at once; control keeps them in service "
     "until the loss is proven."},
    {SL_EVENT_SNAPSHOT, SL_LEVEL_NOTICE, "snapshot", "index", "bytes",
     "A snapshot was written or installed."},
    {SL_EVENT_RECOVERED, SL_LEVEL_NOTICE, "recovered", "index", "entries",
     "Durable state was read at the start."},
    {SL_EVENT_MEMBER, SL_LEVEL_NOTICE, "member", "members", "voters",
     "The control membership changed."},
    {SL_EVENT_LEASE_LOST, SL_LEVEL_WARNING, "lease_lost", "silent_us",
     "limit_us", "A control instance holds no fresh lease."},
    {SL_EVENT_DISK, SL_LEVEL_ERROR, "disk", NULL, NULL,
     "A write or sync of durable state failed."},
    {SL_EVENT_VERSION, SL_LEVEL_NOTICE, "version", "objects", "removed",
     "A process took a newer configuration."},
    {SL_EVENT_BEHIND, SL_LEVEL_NOTICE, "behind", NULL, NULL,
     "A process learned from a peer that it holds an old configuration."},
    {SL_EVENT_CUT_OFF, SL_LEVEL_WARNING, "cut_off", "silent_us", "limit_us",
     "No fresh word of control within the bound; the last configuration "
     "stays in use."},
    {SL_EVENT_JOINED, SL_LEVEL_NOTICE, "joined", NULL, NULL,
     "A process is in touch with control again."},
    {SL_EVENT_STALE_OFFER, SL_LEVEL_WARNING, "stale_offer", NULL, NULL,
     "A configuration older than the present one was offered and refused."},
    {SL_EVENT_LINK_UP, SL_LEVEL_INFO, "link_up", NULL, NULL,
     "A link to another process is up."},
    {SL_EVENT_LINK_DOWN, SL_LEVEL_NOTICE, "link_down", NULL, NULL,
     "A link to another process ended."},
    {SL_EVENT_LINK_REFUSED, SL_LEVEL_WARNING, "link_refused", NULL, NULL,
     "A connection was refused: wrong key, or not our framing."},
    {SL_EVENT_DATAGRAM_REFUSED, SL_LEVEL_WARNING, "datagram_refused",
     "refused", NULL, "Datagrams were refused since the last such line."},
    {SL_EVENT_STARTED, SL_LEVEL_NOTICE, "started", "boot", NULL,
     "The process serves."},
    {SL_EVENT_STOPPING, SL_LEVEL_NOTICE, "stopping", "limit_us", NULL,
     "A planned stop began."},
    {SL_EVENT_STOPPED, SL_LEVEL_NOTICE, "stopped", NULL, NULL,
     "The process ends."},
    {SL_EVENT_RELOADED, SL_LEVEL_NOTICE, "reloaded", NULL, NULL,
     "Settings were read again."},
    {SL_EVENT_LOG_LOST, SL_LEVEL_WARNING, "log_lost", "lines", NULL,
     "Log lines were dropped, because writing them would have blocked."},
    {SL_EVENT_RECORDING, SL_LEVEL_NOTICE, "recording", "bytes", "lost",
     "The recording was switched on, off, or to a new file."},
    {SL_EVENT_FAILED, SL_LEVEL_ERROR, "failed", NULL, NULL,
     "A step failed; the reason is the status."},
    {SL_EVENT_CALL_REFUSED, SL_LEVEL_WARNING, "call_refused", NULL, NULL,
     "A call on an HTTP interface was refused, with the reason."},
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

/// A line under construction; cut when it is full.
struct line {
    char *text;
    size_t used;
};

static void
add(struct line *line, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
add(struct line *line, const char *format, ...)
{
    size_t room = SL_EVENT_TEXT_BYTES - line->used;
    va_list arguments;
    int written;

    va_start(arguments, format);
    written = vsnprintf(line->text + line->used, room, format, arguments);
    va_end(arguments);
    if (written > 0) {
        line->used += (size_t)written < room ? (size_t)written : room - 1;
    }
}

static void
add_word(struct line *line, const char *key, const char *value)
{
    if (value != NULL && *value != '\0') {
        add(line, " %s=%s", key, value);
    }
}

static void
add_number(struct line *line, const char *key, int64_t value)
{
    if (key != NULL) {
        add(line, " %s=%" PRId64, key, value);
    }
}

const char *
SlEvent_Format(const struct SlEvent *event, char text[SL_EVENT_TEXT_BYTES])
{
    const struct SlEventRow *row = SlEvent_Row(event->number);
    struct line line = {.text = text};
    char flow[SL_FLOW_TEXT_BYTES];

    add(&line, "<%d>SL%d %s t=%" PRIu64 ".%06" PRIu64,
        row ? row->level : SL_LEVEL_ERROR, event->number,
        row ? row->name : "unknown", event->now_us / 1000000,
        event->now_us % 1000000);
    if (event->flow != NULL) {
        add_word(&line, "flow", SlFlowKey_Format(event->flow, flow));
    }
    add_word(&line, "service", event->service);
    add_word(&line, "node", event->node);
    add_word(&line, "peer", event->peer);
    add_word(&line, "reason", event->reason);
    if (row != NULL) {
        add_number(&line, row->value_name, event->value);
        add_number(&line, row->limit_name, event->limit);
    }
    add(&line, " version=%" PRIu64 ".%" PRIu64, event->version.term,
        event->version.index);
    return text;
}
