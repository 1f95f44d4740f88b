#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <urcu.h>

#include "shell_internal.h"

enum {
    TEXT_LINE_BYTES = 256,
};

/// Appends a formatted line to out, truncated to TEXT_LINE_BYTES.
__attribute__((format(printf, 2, 3))) static void
append_line(struct SlBuffer *out, const char *format, ...)
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
append_count(struct SlBuffer *out, const char *name, uint64_t value)
{
    append_line(out, "%s=%" PRIu64, name, value);
}

static const char *
control_state_name(enum SlControlState state)
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
append_control_status(struct SlShell *shell, uint64_t now_us,
                      struct SlBuffer *out)
{
    struct SlControl *control = SlNode_Control(shell->node);
    struct SlControlMember members[SL_MEMBERS_CONTROL_MAX];
    uint64_t leader = SlControl_LeaderId(control);
    struct SlVersion applied = SlControl_AppliedVersion(control);
    uint32_t count;

    count = SlControl_Members(control, members, SL_MEMBERS_CONTROL_MAX);
    append_line(out, "control_state=%s",
                control_state_name(SlControl_State(control)));
    append_count(out, "control_term", SlControl_CurrentTerm(control));
    append_line(out, "control_applied=%" PRIu64 ".%" PRIu64, applied.term,
                applied.index);
    append_line(out, "control_fresh=%s",
                SlControl_IsFresh(control, now_us) ? "yes" : "no");
    append_count(out, "control_election_ms",
                 SlControl_ElectionUs(control) / 1000);
    append_count(out, "control_round_trip_ms",
                 SlControl_RoundTripUs(control) / 1000);
    append_line(out, "control_lease_ms=%" PRId64,
                SlControl_LeaseUs(control, now_us) / 1000);
    append_count(out, "control_leader_silent_ms",
                 SlControl_LeaderSilentUs(control, now_us) / 1000);
    for (uint32_t i = 0; i < count; i++) {
        char text[SL_ADDRESS_TEXT_BYTES];

        append_line(out, "control_member=%s@%s %s%s", members[i].name,
                    SlAddress_Format(&members[i].link_address, text),
                    members[i].is_voter ? "voter" : "learner",
                    members[i].node_id == leader ? " leader" : "");
    }
}

static void
append_roles(uint32_t roles, struct SlBuffer *out)
{
    append_line(out, "roles=%s%s%s", roles & SL_ROLE_ENTRY ? "entry " : "",
                roles & SL_ROLE_AGENT ? "agent " : "",
                roles & SL_ROLE_CONTROL ? "control " : "");
}

static void
append_agent_status(struct SlShell *shell, struct SlBuffer *out)
{
    struct SlAgentCounters counters;

    SlAgent_Counters(SlNode_Agent(shell->node), &counters);
    append_count(out, "open_flows", counters.open_flows);
    append_count(out, "limit_flows", counters.limit_flows);
    append_count(out, "exchanges", counters.exchanges);
    append_count(out, "limit_exchanges", counters.limit_exchanges);
}

/// Appends the numbers of nodes, services and zones in the configuration.
static void
append_site_counts(const struct SlConfig *config, struct SlBuffer *out)
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
    append_count(out, "nodes", count);
    append_count(out, "nodes_unreachable", unreachable);
    append_count(out, "nodes_leaving", leaving);
    append_count(out, "services",
                 SlConfig_ObjectCount(config, SL_KIND_SERVICE));
    append_count(out, "zones", SlConfig_ObjectCount(config, SL_KIND_ZONE));
}

enum SlStatus
write_status(struct SlShell *shell, uint64_t now_us, struct SlBuffer *out)
{
    const struct SlReplica *replica = SlNode_Replica(shell->node);
    struct SlVersion version = SlConfig_Version(SlReplica_Config(replica));
    struct SlLinksCounters links;

    SlLinks_Counters(shell->links, &links);
    append_line(out, "name=%s", shell->settings.node.name);
    append_line(out, "zone=%s", shell->settings.node.zone);
    append_roles(shell->settings.node.roles, out);
    append_count(out, "boot", shell->boot);
    append_count(out, "uptime_ms", (now_us - shell->started_us) / 1000);
    append_line(out, "version=%" PRIu64 ".%" PRIu64, version.term,
                version.index);
    append_line(out, "cut_off=%s",
                SlReplica_IsCutOff(replica, now_us) ? "yes" : "no");
    append_line(out, "stopping=%s", shell->stopping ? "yes" : "no");
    append_count(out, "links", links.links);
    append_site_counts(SlReplica_Config(replica), out);
    if (SlNode_Control(shell->node) != NULL) {
        append_control_status(shell, now_us, out);
    }
    if (SlNode_Agent(shell->node) != NULL) {
        append_agent_status(shell, out);
    }
    return SL_OK;
}

static void
append_entry_counters(struct SlShell *shell, struct SlBuffer *out)
{
    struct SlEntryCounters counters;

    SlEntry_Counters(SlNode_Entry(shell->node), &counters);
    append_count(out, "entry_packets", counters.packets);
    append_count(out, "entry_forwarded", counters.packets_forwarded);
    append_count(out, "entry_returned", counters.packets_returned);
    append_count(out, "entry_cache_hits", counters.cache_hits);
    append_count(out, "entry_no_service", counters.no_service);
    append_count(out, "entry_no_upstream", counters.no_upstream);
    append_count(out, "entry_malformed", counters.packets_malformed);
    append_count(out, "entry_too_big", counters.packets_too_big);
    append_count(out, "entry_skipped", counters.first_choices_skipped);
    append_count(out, "entry_fragments", counters.fragments);
    append_count(out, "entry_cache_bytes", counters.cache_bytes);
}

static void
append_agent_counters(struct SlShell *shell, struct SlBuffer *out)
{
    struct SlAgentCounters counters;

    SlAgent_Counters(SlNode_Agent(shell->node), &counters);
    append_count(out, "agent_delivered", counters.packets_delivered);
    append_count(out, "agent_returned", counters.packets_returned);
    append_count(out, "agent_admitted", counters.flows_admitted);
    append_count(out, "agent_passed_on", counters.flows_passed_on);
    append_count(out, "agent_refused_not_run", counters.flows_refused_not_run);
    append_count(out, "agent_refused_unknown", counters.flows_refused_unknown);
    append_count(out, "agent_located", counters.flows_located);
    append_count(out, "agent_locate_failed", counters.flows_not_located);
    append_count(out, "agent_adopted", counters.flows_adopted);
    append_count(out, "agent_reset", counters.flows_reset);
    append_count(out, "agent_silent", counters.flows_silent);
    append_count(out, "agent_foreign", counters.packets_foreign);
    append_count(out, "agent_dropped", counters.packets_dropped);
    append_count(out, "agent_open_flows", counters.open_flows);
    append_count(out, "agent_exchanges", counters.exchanges);
    append_count(out, "agent_limit_flows", counters.limit_flows);
    append_count(out, "agent_limit_exchanges", counters.limit_exchanges);
    append_count(out, "agent_table_bytes", counters.table_bytes);
}

static void
append_transfer_counters(const struct SlRelayEntryCounters *counters,
                         struct SlBuffer *out)
{
    append_count(out, "relay_entry_link_rate_bytes_per_s",
                 counters->link_rate_bytes_per_s);
    append_count(out, "relay_entry_link_used_bytes_per_s",
                 counters->link_used_bytes_per_s);
    append_count(out, "relay_entry_link_delay_us", counters->link_delay_us);
    append_count(out, "relay_entry_transfers_active",
                 counters->transfers_active);
    append_count(out, "relay_entry_transfers_waiting",
                 counters->transfers_waiting);
    append_count(out, "relay_entry_transfer_limit", counters->transfer_limit);
    append_count(out, "relay_entry_transfer_us", counters->transfer_mean_us);
    append_count(out, "relay_entry_transfer_bytes",
                 counters->transfer_mean_bytes);
    append_count(out, "relay_entry_transfers_started",
                 counters->transfers_started);
    append_count(out, "relay_entry_transfers_taken_over",
                 counters->transfers_taken_over);
    append_count(out, "relay_entry_transfers_ended",
                 counters->transfers_ended);
    append_count(out, "relay_entry_transfers_cut_short",
                 counters->transfers_cut_short);
    append_count(out, "relay_entry_transfers_paused",
                 counters->transfers_paused);
    append_count(out, "relay_entry_transfers_held", counters->transfers_held);
    append_count(out, "relay_entry_transfers_left", counters->transfers_left);
    append_count(out, "relay_entry_transfers_refused_full",
                 counters->transfers_refused_full);
    append_count(out, "relay_entry_transfers_refused_late",
                 counters->transfers_refused_late);
}

static void
append_relay_entry_counters(const struct SlRelayEntry *entry,
                            struct SlBuffer *out)
{
    struct SlRelayEntryCounters counters;

    SlRelayEntry_Counters(entry, &counters);
    append_count(out, "relay_entry_segments", counters.segments);
    append_count(out, "relay_entry_malformed", counters.inputs_malformed);
    append_count(out, "relay_entry_no_route", counters.no_route);
    append_count(out, "relay_entry_offered", counters.offers_sent);
    append_count(out, "relay_entry_offered_again",
                 counters.flows_offered_again);
    append_count(out, "relay_entry_refused", counters.flows_refused);
    append_count(out, "relay_entry_carried", counters.segments_forwarded);
    append_count(out, "relay_entry_searches", counters.searches);
    append_count(out, "relay_entry_found", counters.searches_found_holder);
    append_count(out, "relay_entry_not_found",
                 counters.searches_found_no_holder);
    append_count(out, "relay_entry_searches_given_up",
                 counters.searches_given_up);
    append_count(out, "relay_entry_probes", counters.probes);
    append_count(out, "relay_entry_claims_not_probed",
                 counters.claims_not_probed);
    append_count(out, "relay_entry_dropped", counters.segments_dropped);
    append_count(out, "relay_entry_frames", counters.frames);
    append_count(out, "relay_entry_questions", counters.queries);
    append_count(out, "relay_entry_rounds", counters.broadcasts);
    append_count(out, "relay_entry_suspects", counters.suspects);
    append_count(out, "relay_entry_patience_us", counters.answer_timeout_us);
    append_count(out, "relay_entry_question_limit", counters.query_limit);
    append_count(out, "relay_entry_placed_by_wait", counters.placed_by_wait);
    append_count(out, "relay_entry_placed_by_demand",
                 counters.placed_by_demand);
    append_count(out, "relay_entry_flows", counters.flows);
    if (counters.link_rate_bytes_per_s != 0) {
        append_transfer_counters(&counters, out);
    }
}

/// Appends a cumulative histogram of answer times: for each power of two from
/// 2 ms, the number of answers that took less time. bins: the number of
/// answers in each range.
static void
append_answer_histogram(const uint64_t *bins, size_t count,
                        struct SlBuffer *out)
{
    uint64_t total = 0;

    for (size_t i = 0; i < count; i++) {
        total += bins[i];
        append_line(out, "relay_agent_answers_under_%llu_ms=%" PRIu64,
                    1ULL << (i + 1), total);
    }
}

static void
append_relay_agent_counters(const struct SlRelayAgent *agent,
                            struct SlBuffer *out)
{
    struct SlRelayAgentCounters counters;

    SlRelayAgent_Counters(agent, &counters);
    append_count(out, "relay_agent_delivered", counters.segments_delivered);
    append_count(out, "relay_agent_answered", counters.requests_answered);
    append_count(out, "relay_agent_admitted", counters.flows_admitted);
    append_count(out, "relay_agent_declined", counters.flows_declined);
    append_count(out, "relay_agent_returned", counters.segments_returned);
    append_count(out, "relay_agent_absent", counters.segments_without_flow);
    append_count(out, "relay_agent_requests_kept", counters.requests_deferred);
    append_count(out, "relay_agent_unanswered", counters.abandoned_requests);
    append_count(out, "relay_agent_adopted", counters.flows_adopted);
    append_count(out, "relay_agent_malformed", counters.inputs_malformed);
    append_count(out, "relay_agent_dropped", counters.segments_dropped);
    append_count(out, "relay_agent_rounds", counters.broadcasts);
    append_count(out, "relay_agent_questions", counters.queries);
    append_count(out, "relay_agent_lost_flows_reset",
                 counters.lost_flows_reset);
    append_count(out, "relay_agent_lost_flows_known_again",
                 counters.lost_flows_known_again);
    append_count(out, "relay_agent_flow_changes_sent",
                 counters.flow_changes_sent);
    append_count(out, "relay_agent_flow_ends_unrecorded",
                 counters.flow_ends_unrecorded);
    append_count(out, "relay_agent_flow_records_returned",
                 counters.flow_records_returned);
    append_count(out, "relay_agent_flow_records_unused",
                 counters.flow_records_unused);
    append_count(out, "relay_agent_flows", counters.flows);
    append_count(out, "relay_agent_in_progress", counters.in_progress);
    append_count(out, "relay_agent_transfers", counters.transfers);
    append_count(out, "relay_agent_transfers_begun", counters.transfers_begun);
    append_count(out, "relay_agent_transfers_broken_off",
                 counters.transfers_broken_off);
    append_count(out, "relay_agent_work_us", counters.work_us);
    append_count(out, "relay_agent_work_variation_percent",
                 counters.work_variation_percent);
    append_count(out, "relay_agent_work_forgotten", counters.work_forgotten);
    append_count(out, "relay_agent_admitted_to_wait",
                 counters.flows_admitted_to_wait);
    append_count(out, "relay_agent_answer_us", counters.answer_us);
    append_answer_histogram(counters.answer_histogram,
                            sizeof(counters.answer_histogram) /
                                sizeof(counters.answer_histogram[0]),
                            out);
}

static void
append_relay_counters(const struct SlShell *shell, struct SlBuffer *out)
{
    if (shell->relay == NULL) {
        return;
    }
    if (shell_relay_entry(shell->relay) != NULL) {
        append_relay_entry_counters(shell_relay_entry(shell->relay), out);
    }
    if (shell_relay_agent(shell->relay) != NULL) {
        append_relay_agent_counters(shell_relay_agent(shell->relay), out);
    }
}

static void
append_link_counters(struct SlShell *shell, struct SlBuffer *out)
{
    struct SlLinksCounters links;

    SlLinks_Counters(shell->links, &links);
    append_count(out, "links", links.links);
    append_count(out, "links_accepted", links.accepted);
    append_count(out, "links_dialled", links.dialled);
    append_count(out, "links_refused", links.refused);
    append_count(out, "links_refused_forbidden", links.refused_forbidden);
    append_count(out, "links_refused_malformed", links.refused_malformed);
    append_count(out, "links_silent", links.silent);
    append_count(out, "links_overflowed", links.overflowed);
    append_count(out, "links_received_bytes", links.received_bytes);
    append_count(out, "links_sent_bytes", links.sent_bytes);
    append_count(out, "messages_malformed",
                 atomic_load(&shell->counts.messages_malformed));
    append_count(out, "messages_dropped",
                 atomic_load(&shell->counts.messages_dropped));
}

static void
append_datagram_counters(struct SlShell *shell, struct SlBuffer *out)
{
    struct SlSealerCounters seal;

    SlSealer_Counters(shell->sealer, &seal);
    append_count(out, "datagrams_sealed", seal.sealed);
    append_count(out, "datagrams_opened", seal.opened);
    append_count(out, "datagrams_malformed",
                 seal.malformed +
                     atomic_load(&shell->counts.datagrams_malformed));
    append_count(out, "datagrams_unknown_key", seal.unknown_key);
    append_count(out, "datagrams_bad_tag", seal.bad_tag);
    append_count(out, "datagrams_replayed", seal.replayed);
    append_count(out, "datagrams_too_late", seal.too_late);
    append_count(out, "datagrams_wrong_sender",
                 atomic_load(&shell->counts.datagrams_wrong_sender));
    append_count(out, "tunnel_send_failed",
                 atomic_load(&shell->counts.tunnel_send_failed));
}

static void
append_port_counters(const char *name, struct SlPort *port,
                     struct SlBuffer *out)
{
    struct SlPortCounters counters;

    port->type->read_counters(port, &counters);
    append_line(out, "port_%s_received=%" PRIu64, name, counters.received);
    append_line(out, "port_%s_sent=%" PRIu64, name, counters.sent);
    append_line(out, "port_%s_refused=%" PRIu64, name, counters.refused);
    append_line(out, "port_%s_send_failed=%" PRIu64, name,
                counters.send_failed);
    append_line(out, "port_%s_flows=%" PRIu64, name, counters.flows);
    append_line(out, "port_%s_flows_refused=%" PRIu64, name,
                counters.flows_refused);
}

static void
append_replica_counters(const struct SlReplica *replica, struct SlBuffer *out)
{
    struct SlReplicaCounters counters;

    SlReplica_Counters(replica, &counters);
    append_count(out, "replica_invitations_taken",
                 SlReplica_InvitationsTaken(replica));
    append_count(out, "replica_controls_not_reached",
                 counters.controls_not_reached);
    append_count(out, "replica_controls_link_lost",
                 counters.controls_link_lost);
    append_count(out, "replica_controls_silent", counters.controls_silent);
    append_count(out, "replica_controls_not_current",
                 counters.controls_not_current);
    append_count(out, "replica_controls_empty", counters.controls_empty);
    append_count(out, "replica_controls_no_log", counters.controls_no_log);
    append_count(out, "replica_joins_passed", counters.joins_passed);
    append_count(out, "replica_control_list_changes",
                 counters.control_list_changes);
}

static void
append_front_counters(const struct SlFront *front, struct SlBuffer *out)
{
    struct SlFrontCounters counters;

    SlFront_Counters(front, &counters);
    append_count(out, "reads_answered", counters.reads_answered);
    append_count(out, "reads_redirected", counters.reads_redirected);
    append_count(out, "reads_refused_no_log", counters.reads_refused_no_log);
    append_count(out, "reads_refused_no_lease",
                 counters.reads_refused_no_lease);
    append_count(out, "reads_refused_no_document",
                 counters.reads_refused_no_document);
    append_count(out, "reads_refused_unreadable",
                 counters.reads_refused_unreadable);
    append_count(out, "orders_done", counters.orders_done);
    append_count(out, "orders_redirected", counters.orders_redirected);
    append_count(out, "orders_refused_no_leader",
                 counters.orders_refused_no_leader);
    append_count(out, "orders_refused_invalid",
                 counters.orders_refused_invalid);
    append_count(out, "orders_unknown_outcome",
                 counters.orders_unknown_outcome);
}

enum SlStatus
write_metrics(struct SlShell *shell, struct SlBuffer *out)
{
    if (SlNode_Entry(shell->node) != NULL) {
        append_entry_counters(shell, out);
    }
    if (SlNode_Agent(shell->node) != NULL) {
        append_agent_counters(shell, out);
    }
    append_relay_counters(shell, out);
    shell_flow_records_append_metrics(shell, out, append_count);
    if (SlNode_Control(shell->node) != NULL) {
        append_count(out, "control_invitations",
                     SlControl_InvitationCount(SlNode_Control(shell->node)));
        append_count(out, "control_lease_losses",
                     SlControl_LeaseLossCount(SlNode_Control(shell->node)));
        append_count(
            out, "control_outdated_publications",
            SlControl_OutdatedPublicationCount(SlNode_Control(shell->node)));
    }
    append_replica_counters(SlNode_Replica(shell->node), out);
    if (shell->front != NULL) {
        append_front_counters(shell->front, out);
    }
    append_link_counters(shell, out);
    append_datagram_counters(shell, out);
    if (shell->control_sink.callers_port != NULL) {
        append_port_counters("callers", shell->control_sink.callers_port, out);
    }
    if (shell->control_sink.upstream_port != NULL) {
        append_port_counters("upstream", shell->control_sink.upstream_port,
                             out);
    }
    append_count(out, "log_lost", SlLog_LostLines(shell->log));
    append_count(out, "recording_on",
                 atomic_load(&shell->recording.is_active));
    return SL_OK;
}
