#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <urcu.h>

#include "shell_internal.h"

enum {
    TEXT_LINE_BYTES = 256,
};

__attribute__((format(printf, 2, 3))) static void
put_line(struct SlBuffer *out, const char *format, ...)
{
    char line[TEXT_LINE_BYTES];
    va_list arguments;
    int length;

    va_start(arguments, format);
    length = vsnprintf(line, sizeof(line) - 1, format, arguments);
    va_end(arguments);
    if (length < 0) {
        return;
    }
    if (length > (int)sizeof(line) - 2) {
        length = (int)sizeof(line) - 2;
    }
    line[length++] = '\n';
    SlBuffer_Append(out, line, (size_t)length);
}

static void
put_count(struct SlBuffer *out, const char *name, uint64_t value)
{
    put_line(out, "%s=%" PRIu64, name, value);
}

static const char *
state_name(enum SlControlState state)
{
    switch (state) {
    case SL_CONTROL_LEARNER:
        return "learner";
    case SL_CONTROL_FOLLOWER:
        return "follower";
    case SL_CONTROL_CANDIDATE:
        return "candidate";
    case SL_CONTROL_LEADER:
        return "leader";
    }
    return "unknown";
}

static void
put_control(struct SlShell *shell, uint64_t now_us, struct SlBuffer *out)
{
    struct SlControl *control = SlNode_Control(shell->node);
    struct SlControlMember members[SL_MEMBERS_CONTROL_MAX];
    uint64_t leader = SlControl_Leader(control);
    struct SlVersion applied = SlControl_Applied(control);
    uint32_t count;

    count = SlControl_Members(control, members, SL_MEMBERS_CONTROL_MAX);
    put_line(out, "control_state=%s", state_name(SlControl_State(control)));
    put_count(out, "control_term", SlControl_Term(control));
    put_line(out, "control_applied=%" PRIu64 ".%" PRIu64, applied.term,
             applied.index);
    put_line(out, "control_fresh=%s",
             SlControl_IsFresh(control, now_us) ? "yes" : "no");
    for (uint32_t i = 0; i < count; i++) {
        char text[SL_ADDRESS_TEXT_BYTES];

        put_line(out, "control_member=%s@%s %s%s", members[i].name,
                 SlAddress_Format(&members[i].link, text),
                 members[i].voter ? "voter" : "learner",
                 members[i].node_id == leader ? " leader" : "");
    }
}

static void
put_roles(uint32_t roles, struct SlBuffer *out)
{
    put_line(out, "roles=%s%s%s", roles & SL_ROLE_ENTRY ? "entry " : "",
             roles & SL_ROLE_AGENT ? "agent " : "",
             roles & SL_ROLE_CONTROL ? "control " : "");
}

static void
put_agent(struct SlShell *shell, struct SlBuffer *out)
{
    struct SlAgentCounters counters;

    SlAgent_Counters(SlNode_Agent(shell->node), &counters);
    put_count(out, "open_flows", counters.open_flows);
    put_count(out, "limit_flows", counters.limit_flows);
    put_count(out, "exchanges", counters.exchanges);
    put_count(out, "limit_exchanges", counters.limit_exchanges);
}

/// What the configuration says of the whole site.
static void
put_site(const struct SlConfig *config, struct SlBuffer *out)
{
    uint32_t count = SlConfig_ObjectCount(config, SL_KIND_NODE);
    uint64_t unreachable = 0;
    uint64_t leaving = 0;

    for (uint32_t i = 0; i < count; i++) {
        const struct SlObject *node =
            SlConfig_ObjectAt(config, SL_KIND_NODE, i);

        unreachable += node->node.unreachable;
        leaving += node->node.leaving;
    }
    put_count(out, "nodes", count);
    put_count(out, "nodes_unreachable", unreachable);
    put_count(out, "nodes_leaving", leaving);
    put_count(out, "services", SlConfig_ObjectCount(config, SL_KIND_SERVICE));
    put_count(out, "zones", SlConfig_ObjectCount(config, SL_KIND_ZONE));
}

enum SlStatus
write_status(struct SlShell *shell, uint64_t now_us, struct SlBuffer *out)
{
    const struct SlReplica *replica = SlNode_Replica(shell->node);
    struct SlVersion version = SlConfig_Version(SlReplica_Config(replica));
    struct SlLinksCounters links;

    SlLinks_Counters(shell->links, &links);
    put_line(out, "name=%s", shell->settings.node.name);
    put_line(out, "zone=%s", shell->settings.node.zone);
    put_roles(shell->settings.node.roles, out);
    put_count(out, "boot", shell->boot);
    put_count(out, "uptime_ms", (now_us - shell->started_us) / 1000);
    put_line(out, "version=%" PRIu64 ".%" PRIu64, version.term, version.index);
    put_line(out, "cut_off=%s",
             SlReplica_IsCutOff(replica, now_us) ? "yes" : "no");
    put_line(out, "stopping=%s", shell->stopping ? "yes" : "no");
    put_count(out, "links", links.links);
    put_site(SlReplica_Config(replica), out);
    if (SlNode_Control(shell->node) != NULL) {
        put_control(shell, now_us, out);
    }
    if (SlNode_Agent(shell->node) != NULL) {
        put_agent(shell, out);
    }
    return SL_OK;
}

static void
put_entry_counters(struct SlShell *shell, struct SlBuffer *out)
{
    struct SlEntryCounters counters;

    SlEntry_Counters(SlNode_Entry(shell->node), &counters);
    put_count(out, "entry_packets", counters.packets);
    put_count(out, "entry_forwarded", counters.forwarded);
    put_count(out, "entry_returned", counters.returned);
    put_count(out, "entry_cache_hits", counters.cache_hits);
    put_count(out, "entry_no_service", counters.no_service);
    put_count(out, "entry_no_upstream", counters.no_upstream);
    put_count(out, "entry_malformed", counters.malformed);
    put_count(out, "entry_too_big", counters.too_big);
    put_count(out, "entry_skipped", counters.skipped);
    put_count(out, "entry_fragments", counters.fragments);
    put_count(out, "entry_cache_bytes", counters.cache_bytes);
}

static void
put_agent_counters(struct SlShell *shell, struct SlBuffer *out)
{
    struct SlAgentCounters counters;

    SlAgent_Counters(SlNode_Agent(shell->node), &counters);
    put_count(out, "agent_delivered", counters.delivered);
    put_count(out, "agent_returned", counters.returned);
    put_count(out, "agent_admitted", counters.admitted);
    put_count(out, "agent_passed_on", counters.passed_on);
    put_count(out, "agent_refused_not_run", counters.refused_not_run);
    put_count(out, "agent_refused_unknown", counters.refused_unknown);
    put_count(out, "agent_located", counters.located);
    put_count(out, "agent_locate_failed", counters.locate_failed);
    put_count(out, "agent_adopted", counters.adopted);
    put_count(out, "agent_reset", counters.reset);
    put_count(out, "agent_silent", counters.silent);
    put_count(out, "agent_foreign", counters.foreign);
    put_count(out, "agent_dropped", counters.dropped);
    put_count(out, "agent_open_flows", counters.open_flows);
    put_count(out, "agent_exchanges", counters.exchanges);
    put_count(out, "agent_limit_flows", counters.limit_flows);
    put_count(out, "agent_limit_exchanges", counters.limit_exchanges);
    put_count(out, "agent_table_bytes", counters.table_bytes);
}

static void
put_relay_entry(const struct SlRelayEntry *entry, struct SlBuffer *out)
{
    struct SlRelayEntryCounters counters;

    SlRelayEntry_Counters(entry, &counters);
    put_count(out, "relay_entry_segments", counters.segments);
    put_count(out, "relay_entry_malformed", counters.malformed);
    put_count(out, "relay_entry_no_route", counters.no_route);
    put_count(out, "relay_entry_offered", counters.offered);
    put_count(out, "relay_entry_offered_again", counters.offered_again);
    put_count(out, "relay_entry_refused", counters.refused);
    put_count(out, "relay_entry_carried", counters.carried);
    put_count(out, "relay_entry_searches", counters.searches);
    put_count(out, "relay_entry_found", counters.found);
    put_count(out, "relay_entry_not_found", counters.not_found);
    put_count(out, "relay_entry_searches_given_up",
              counters.searches_given_up);
    put_count(out, "relay_entry_dropped", counters.dropped);
    put_count(out, "relay_entry_frames", counters.frames);
    put_count(out, "relay_entry_questions", counters.queries);
    put_count(out, "relay_entry_rounds", counters.broadcasts);
    put_count(out, "relay_entry_suspects", counters.suspects);
    put_count(out, "relay_entry_patience_us", counters.answer_timeout_us);
    put_count(out, "relay_entry_question_limit", counters.query_limit);
    put_count(out, "relay_entry_flows", counters.flows);
}

/// A cumulative histogram: how many answers took less than so many ms.
static void
put_histogram(const uint64_t *bins, size_t count, struct SlBuffer *out)
{
    uint64_t total = 0;

    for (size_t i = 0; i < count; i++) {
        total += bins[i];
        put_line(out, "relay_agent_answers_under_%llu_ms=%" PRIu64,
                 1ULL << (i + 1), total);
    }
}

static void
put_relay_agent(const struct SlRelayAgent *agent, struct SlBuffer *out)
{
    struct SlRelayAgentCounters counters;

    SlRelayAgent_Counters(agent, &counters);
    put_count(out, "relay_agent_delivered", counters.delivered);
    put_count(out, "relay_agent_answered", counters.answered);
    put_count(out, "relay_agent_admitted", counters.admitted);
    put_count(out, "relay_agent_declined", counters.declined);
    put_count(out, "relay_agent_returned", counters.returned);
    put_count(out, "relay_agent_absent", counters.absent);
    put_count(out, "relay_agent_requests_kept", counters.requests_deferred);
    put_count(out, "relay_agent_unanswered", counters.abandoned_requests);
    put_count(out, "relay_agent_adopted", counters.adopted);
    put_count(out, "relay_agent_malformed", counters.malformed);
    put_count(out, "relay_agent_dropped", counters.dropped);
    put_count(out, "relay_agent_rounds", counters.broadcasts);
    put_count(out, "relay_agent_questions", counters.queries);
    put_count(out, "relay_agent_flows", counters.flows);
    put_count(out, "relay_agent_in_progress", counters.in_progress);
    put_count(out, "relay_agent_answer_us", counters.answer_us);
    put_histogram(counters.answer_histogram,
                  sizeof(counters.answer_histogram) /
                      sizeof(counters.answer_histogram[0]),
                  out);
}

static void
put_relay(const struct SlShell *shell, struct SlBuffer *out)
{
    if (shell->relay == NULL) {
        return;
    }
    if (shell_relay_entry(shell->relay) != NULL) {
        put_relay_entry(shell_relay_entry(shell->relay), out);
    }
    if (shell_relay_agent(shell->relay) != NULL) {
        put_relay_agent(shell_relay_agent(shell->relay), out);
    }
}

static void
put_link_counters(struct SlShell *shell, struct SlBuffer *out)
{
    struct SlLinksCounters links;

    SlLinks_Counters(shell->links, &links);
    put_count(out, "links", links.links);
    put_count(out, "links_accepted", links.accepted);
    put_count(out, "links_dialled", links.dialled);
    put_count(out, "links_refused", links.refused);
    put_count(out, "links_refused_forbidden", links.refused_forbidden);
    put_count(out, "links_refused_malformed", links.refused_malformed);
    put_count(out, "links_silent", links.silent);
    put_count(out, "links_overflowed", links.overflowed);
    put_count(out, "links_received_bytes", links.received_bytes);
    put_count(out, "links_sent_bytes", links.sent_bytes);
    put_count(out, "messages_malformed",
              atomic_load(&shell->counts.messages_malformed));
    put_count(out, "messages_dropped",
              atomic_load(&shell->counts.messages_dropped));
}

static void
put_datagram_counters(struct SlShell *shell, struct SlBuffer *out)
{
    struct SlSealerCounters seal;

    SlSealer_Counters(shell->sealer, &seal);
    put_count(out, "datagrams_sealed", seal.sealed);
    put_count(out, "datagrams_opened", seal.opened);
    put_count(out, "datagrams_malformed",
              seal.malformed +
                  atomic_load(&shell->counts.datagrams_malformed));
    put_count(out, "datagrams_unknown_key", seal.unknown_key);
    put_count(out, "datagrams_bad_tag", seal.bad_tag);
    put_count(out, "datagrams_replayed", seal.replayed);
    put_count(out, "datagrams_too_late", seal.too_late);
    put_count(out, "datagrams_wrong_sender",
              atomic_load(&shell->counts.datagrams_wrong_sender));
    put_count(out, "tunnel_send_failed",
              atomic_load(&shell->counts.tunnel_send_failed));
}

static void
put_port_counters(const char *name, struct SlPort *port, struct SlBuffer *out)
{
    struct SlPortCounters counters;

    port->type->read_counters(port, &counters);
    put_line(out, "port_%s_received=%" PRIu64, name, counters.received);
    put_line(out, "port_%s_sent=%" PRIu64, name, counters.sent);
    put_line(out, "port_%s_refused=%" PRIu64, name, counters.refused);
    put_line(out, "port_%s_send_failed=%" PRIu64, name, counters.send_failed);
    put_line(out, "port_%s_flows=%" PRIu64, name, counters.flows);
    put_line(out, "port_%s_flows_refused=%" PRIu64, name,
             counters.flows_refused);
}

enum SlStatus
write_metrics(struct SlShell *shell, struct SlBuffer *out)
{
    if (SlNode_Entry(shell->node) != NULL) {
        put_entry_counters(shell, out);
    }
    if (SlNode_Agent(shell->node) != NULL) {
        put_agent_counters(shell, out);
    }
    put_relay(shell, out);
    put_link_counters(shell, out);
    put_datagram_counters(shell, out);
    if (shell->control.callers != NULL) {
        put_port_counters("callers", shell->control.callers, out);
    }
    if (shell->control.upstream != NULL) {
        put_port_counters("upstream", shell->control.upstream, out);
    }
    put_count(out, "log_lost", SlLog_Lost(shell->log));
    put_count(out, "recording_on", atomic_load(&shell->recording.on));
    return SL_OK;
}
