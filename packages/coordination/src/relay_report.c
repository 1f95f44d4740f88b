/// Reports the load of the upstream to entries.

#include <stdlib.h>
#include <string.h>

#include "relay_agent_core.h"

enum {
    REPORT_INTERVAL_MIN_US = 100 * 1000,
    /// Reports that an agent may send, and an entry may receive, per second. A
    /// node may use 7 KB/s for control traffic (docs/CAPACITY.md), of which
    /// 0.1 KB/s goes to control instances; a report takes 59 bytes with its
    /// headers.
    REPORTS_PER_S = 116,
    /// The same for reports with the work of requests, which take 72 bytes.
    WORK_REPORTS_PER_S = 95,
    US_PER_S = 1000 * 1000,
    /// An entry that has sent no frame for this time gets no reports.
    ENTRY_ACTIVE_US = 2 * 1000 * 1000,
};

struct SlRelayLoad
SlRelayAgent_CurrentLoad(const struct SlRelayAgent *agent, uint64_t now_us)
{
    const struct SlAdmission *admission = &agent->admission;

    struct SlRelayLoad load = {
        .in_progress = admission->in_progress + admission->opening +
                       agent->admission_queue.count +
                       SlAdmission_SlowStartBacklog(
                           admission, now_us, agent->admission_queue.count),
        .slots = admission->slots,
        .flows = admission->flows,
        .answer_us = admission->answer_us,
        .declines_flows =
            SlRelayAgent_DeclineReason(agent, now_us) != SL_RELAY_REASON_NONE,
        .transfers = admission->transfers,
    };

    SlAgentWork_FillLoad(agent, now_us, &load);
    return load;
}

static int
compare_entries(const void *a, const void *b)
{
    const struct SlAgentEntry *x = a;
    const struct SlAgentEntry *y = b;

    return (x->node_id > y->node_id) - (x->node_id < y->node_id);
}

static struct SlAgentEntry *
find_entry(struct SlAgentEntry *entries, uint32_t count, uint64_t node_id)
{
    struct SlAgentEntry wanted = {.node_id = node_id};

    return count == 0 ? NULL
                      : bsearch(&wanted, entries, count, sizeof(wanted),
                                compare_entries);
}

static int
compare_peers(const void *a, const void *b)
{
    const struct SlBroadcastPeer *x = a;
    const struct SlBroadcastPeer *y = b;

    return (x->node_id > y->node_id) - (x->node_id < y->node_id);
}

static struct SlBroadcastPeer *
find_peer(struct SlBroadcastPeer *peers, uint32_t count, uint64_t node_id)
{
    struct SlBroadcastPeer wanted = {.node_id = node_id};

    return count == 0
               ? NULL
               : bsearch(&wanted, peers, count, sizeof(wanted), compare_peers);
}

static void
read_entry(struct SlRelayAgent *agent, const struct SlObject *node,
           struct SlAgentEntry *entry)
{
    const struct SlAgentEntry *previous =
        find_entry(agent->entries, agent->entry_count, node->node.node_id);

    if (previous != NULL && previous->boot == node->node.boot) {
        *entry = *previous;
    }
    entry->node_id = node->node.node_id;
    entry->boot = node->node.boot;
    entry->address = node->node.tunnel;
}

static void
read_peer(struct SlRelayAgent *agent, uint64_t now_us,
          const struct SlObject *node, struct SlBroadcastPeer *peer)
{
    const struct SlBroadcastPeer *previous =
        find_peer(agent->peers, agent->peer_count, node->node.node_id);

    *peer = (struct SlBroadcastPeer){.node_id = node->node.node_id,
                                     .address = node->node.tunnel};
    if (!node->node.unreachable) {
        return;
    }
    if (previous != NULL) {
        peer->evidence = previous->evidence;
    }
    if (peer->evidence.unreachable_since_us == 0) {
        peer->evidence.unreachable_since_us = now_us;
    }
}

/// True when the node is another agent that has announced a service, so that
/// it has or may have an upstream.
static bool
is_peer_agent(const struct SlRelayAgent *agent, const struct SlObject *node)
{
    return (node->node.roles & SL_ROLE_AGENT) != 0 &&
           node->node.node_id != agent->node_id &&
           SlLabels_Get(&node->node.announced, "service") != NULL;
}

enum SlStatus
SlRelayAgent_ReadNodes(struct SlRelayAgent *agent, uint64_t now_us,
                       const struct SlConfig *config)
{
    uint32_t nodes = SlConfig_ObjectCount(config, SL_KIND_NODE);
    struct SlAgentEntry *entries = calloc(nodes + 1, sizeof(*entries));
    struct SlBroadcastPeer *peers = calloc(nodes + 1, sizeof(*peers));
    uint32_t entry_count = 0;
    uint32_t peer_count = 0;

    if (entries == NULL || peers == NULL) {
        free(entries);
        free(peers);
        return SL_NO_MEMORY;
    }
    for (uint32_t i = 0; i < nodes; i++) {
        const struct SlObject *node =
            SlConfig_ObjectAt(config, SL_KIND_NODE, i);

        if (node->node.roles & SL_ROLE_ENTRY) {
            read_entry(agent, node, &entries[entry_count++]);
        }
        if (is_peer_agent(agent, node)) {
            read_peer(agent, now_us, node, &peers[peer_count++]);
        }
    }
    qsort(entries, entry_count, sizeof(*entries), compare_entries);
    qsort(peers, peer_count, sizeof(*peers), compare_peers);
    free(agent->entries);
    free(agent->peers);
    agent->entries = entries;
    agent->entry_count = entry_count;
    agent->peers = peers;
    agent->peer_count = peer_count;
    return SL_OK;
}

void
SlRelayAgent_RecordPeerFrame(struct SlRelayAgent *agent, uint64_t node_id)
{
    struct SlBroadcastPeer *peer =
        find_peer(agent->peers, agent->peer_count, node_id);

    if (peer != NULL) {
        peer->evidence = (struct SlPeerEvidence){.unanswered_us = 0};
    }
}

void
SlRelayAgent_RecordPeerSilence(struct SlRelayAgent *agent, uint64_t now_us,
                               uint64_t node_id)
{
    struct SlBroadcastPeer *peer =
        find_peer(agent->peers, agent->peer_count, node_id);

    if (peer != NULL) {
        peer->evidence.unanswered_us = now_us;
    }
}

void
SlRelayAgent_RecordEntryFrame(struct SlRelayAgent *agent, uint64_t now_us,
                              const struct SlRelayFrame *frame)
{
    struct SlAgentEntry *entry =
        find_entry(agent->entries, agent->entry_count, frame->sender);

    if (entry == NULL) {
        return;
    }
    entry->last_frame_us = now_us;
    if (frame->kind == SL_RELAY_OFFER) {
        entry->reads_cost = frame->reads_cost;
        entry->uses_cost = frame->uses_cost;
    }
}

static struct SlAgentEntry *
find_entry_by_address(const struct SlRelayAgent *agent,
                      const struct SlAddress *address)
{
    for (uint32_t i = 0; i < agent->entry_count; i++) {
        if (SlAddress_Equal(&agent->entries[i].address, address)) {
            return &agent->entries[i];
        }
    }
    return NULL;
}

/// Returns the part of a load that an entry reads in an answer, or in a
/// report. A report has the work of requests only for an entry that uses it,
/// so that reports stay small elsewhere. entry: NULL when the entry is not in
/// the configuration.
static struct SlRelayLoad
readable_load(const struct SlAgentEntry *entry, const struct SlRelayLoad *load,
              bool is_report)
{
    struct SlRelayLoad readable = {.in_progress = load->in_progress,
                                   .slots = load->slots,
                                   .flows = load->flows,
                                   .answer_us = load->answer_us,
                                   .declines_flows = load->declines_flows};

    if (entry == NULL || !entry->reads_cost) {
        return readable;
    }
    readable.transfers = load->transfers;
    return is_report && !entry->uses_cost ? readable : *load;
}

void
SlRelayAgent_SendAnswer(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                        uint64_t now_us, const struct SlAddress *to,
                        struct SlRelayFrame *frame)
{
    struct SlAgentEntry *entry = find_entry_by_address(agent, to);
    struct SlRelayLoad load = SlRelayAgent_CurrentLoad(agent, now_us);

    load.flow_demand_permille =
        SlAgentWork_FlowDemandPermille(agent, now_us, &frame->flow);
    frame->load = readable_load(entry, &load, false);
    sink->type->send_frame(sink, to, frame);
    if (entry != NULL) {
        entry->last_reported = frame->load;
    }
}

/// Returns the number of reports per second that an agent may send, so that
/// neither it nor the entries that receive them exceed the limit for reports
/// of their size.
static uint64_t
reports_per_s(const struct SlRelayAgent *agent, bool with_work)
{
    uint64_t limit = with_work ? WORK_REPORTS_PER_S : REPORTS_PER_S;
    uint64_t shared = limit * agent->entry_count / (agent->peer_count + 1);

    if (shared > limit) {
        return limit;
    }
    return shared != 0 ? shared : 1;
}

static bool
is_load_changed(const struct SlRelayLoad *load,
                const struct SlRelayLoad *reported)
{
    return load->in_progress != reported->in_progress ||
           load->slots != reported->slots ||
           load->declines_flows != reported->declines_flows ||
           load->transfers != reported->transfers;
}

void
SlRelayAgent_ReportLoad(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                        uint64_t now_us)
{
    struct SlRelayFrame frame = {.kind = SL_RELAY_REPORT,
                                 .sender = agent->node_id};
    struct SlRelayLoad load;
    uint64_t reported = 0;
    bool with_work = false;
    uint64_t pause_us;

    if (now_us < agent->report_due_us) {
        return;
    }
    load = SlRelayAgent_CurrentLoad(agent, now_us);
    for (uint32_t i = 0; i < agent->entry_count; i++) {
        struct SlAgentEntry *entry = &agent->entries[i];

        frame.load = readable_load(entry, &load, true);
        if (entry->last_frame_us != 0 &&
            now_us - entry->last_frame_us < ENTRY_ACTIVE_US &&
            is_load_changed(&frame.load, &entry->last_reported)) {
            entry->last_reported = frame.load;
            sink->type->send_frame(sink, &entry->address, &frame);
            reported++;
            with_work = with_work || frame.load.work_us != 0;
        }
    }
    pause_us = reported * US_PER_S / reports_per_s(agent, with_work);
    agent->report_due_us =
        now_us + (pause_us > REPORT_INTERVAL_MIN_US ? pause_us
                                                    : REPORT_INTERVAL_MIN_US);
}
