#include "relay_handover.h"

#include <stdlib.h>
#include <string.h>

#include "relay_agent_core.h"
#include "savoryledge/balance/homes.h"

enum {
    /// Parts of a table: bits of SlHandoverKeeper.acknowledged.
    PARTS_MAX = 64,
    FLOWS_MAX = PARTS_MAX * SL_RELAY_TABLE_FLOWS_MAX,
    /// Flows of others that one agent keeps, with about 150 bytes each.
    KEPT_MAX = 16384,
    /// Parts sent to one agent per tick.
    PARTS_PER_TICK = 8,
    /// A part is sent again when it was not acknowledged within this time, and
    /// another agent is chosen after some attempts.
    RESEND_US = 60 * 1000,
    ATTEMPTS_MAX = 2,
    /// How long a process that stops waits for acknowledgements.
    SEND_US = 400 * 1000,
    /// Queries of a new process whose former one was leaving, and their
    /// interval, which grows by itself. Others send one.
    QUERIES_MAX = 6,
    QUERY_INTERVAL_US = 60 * 1000,
    RANKS_MAX = SL_HANDOVER_ASKED,
};

/// A flow that is kept for another agent.
struct kept_flow {
    struct SlRelayItem item;
    uint64_t owner;
    uint64_t started_ms;
};

/// Fills ranks with the agents that keep the flows of an agent, as any process
/// with the same configuration ranks them. Returns their number.
static uint32_t
rank_peers(const struct SlRelayAgent *agent,
           const struct SlBroadcastPeer *ranks[RANKS_MAX])
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < agent->peer_count; i++) {
        const struct SlBroadcastPeer *peer = &agent->peers[i];
        uint64_t weight = SlHomes_Weight(peer->node_id, agent->node_id);
        uint32_t position = count < RANKS_MAX ? count++ : RANKS_MAX;

        while (position > 0 && SlHomes_Weight(ranks[position - 1]->node_id,
                                              agent->node_id) < weight) {
            position--;
            if (position + 1 < RANKS_MAX) {
                ranks[position + 1] = ranks[position];
            }
        }
        if (position < RANKS_MAX) {
            ranks[position] = peer;
        }
    }
    return count;
}

static uint32_t
part_count(uint32_t flow_count)
{
    return (flow_count + SL_RELAY_TABLE_FLOWS_MAX - 1) /
           SL_RELAY_TABLE_FLOWS_MAX;
}

static uint64_t
all_parts(uint32_t parts)
{
    return parts == PARTS_MAX ? UINT64_MAX : (UINT64_C(1) << parts) - 1;
}

static void
send_part(const struct SlRelayAgent *agent, struct SlRelaySink *sink,
          const struct SlAddress *to, const struct SlRelayTable *table)
{
    uint8_t encoded[SL_SEGMENT_MAX_BYTES];
    struct SlRelayFrame frame = {.kind = SL_RELAY_TABLE,
                                 .sender = agent->node_id,
                                 .segment = encoded,
                                 .segment_bytes =
                                     SlRelayTable_Encode(table, encoded)};

    sink->type->send_frame(sink, to, &frame);
}

/// Sends a part of a list of flows.
static void
send_part_of(const struct SlRelayAgent *agent, struct SlRelaySink *sink,
             const struct SlAddress *to, struct SlRelayTable *table,
             const struct SlFlowKey *flows, uint32_t flow_count, uint32_t part)
{
    uint32_t first = part * SL_RELAY_TABLE_FLOWS_MAX;

    table->part = part;
    table->part_count = part_count(flow_count);
    table->count = 0;
    while (table->count < SL_RELAY_TABLE_FLOWS_MAX &&
           first + table->count < flow_count) {
        table->flows[table->count] = flows[first + table->count];
        table->count++;
    }
    send_part(agent, sink, to, table);
}

/// True when the flow is worth handing over: the upstream is known to hold it,
/// or was by a former process.
static bool
is_handed_over(const struct SlAgentFlow *flow)
{
    return flow->state == SL_AGENT_OPEN ||
           (flow->state == SL_AGENT_TENTATIVE && flow->inherited);
}

/// Copies the keys of the flows that were used last.
static void
collect_flows(struct SlRelayAgent *agent)
{
    struct SlHandover *handover = &agent->handover;
    uint32_t limit =
        agent->flows.count < FLOWS_MAX ? agent->flows.count : FLOWS_MAX;

    handover->flows = calloc(limit + 1, sizeof(*handover->flows));
    for (const struct SlRelayItem *item = agent->flows.newest;
         handover->flows != NULL && item != NULL &&
         handover->flow_count < limit;
         item = item->older) {
        if (is_handed_over((const struct SlAgentFlow *)item)) {
            handover->flows[handover->flow_count++] = item->key;
        }
    }
}

/// Sets the next agent by rank that control does not call unreachable. Returns
/// false when there is none.
static bool
set_next_keeper(struct SlRelayAgent *agent, struct SlHandoverKeeper *keeper)
{
    struct SlHandover *handover = &agent->handover;
    const struct SlBroadcastPeer *ranks[RANKS_MAX];
    uint32_t count = rank_peers(agent, ranks);

    while (handover->ranks_used < count) {
        const struct SlBroadcastPeer *peer = ranks[handover->ranks_used++];

        if (peer->evidence.unreachable_since_us == 0) {
            *keeper = (struct SlHandoverKeeper){.node_id = peer->node_id,
                                                .address = peer->address};
            return true;
        }
    }
    return false;
}

/// Sends the parts that a keeper has not acknowledged. Returns false when it
/// does not answer, and no other agent is left.
static bool
send_to_keeper(struct SlRelayAgent *agent, struct SlRelaySink *sink,
               uint64_t now_us, struct SlHandoverKeeper *keeper)
{
    struct SlHandover *handover = &agent->handover;
    uint32_t parts = part_count(handover->flow_count);
    struct SlRelayTable table = {.owner = agent->node_id,
                                 .started_ms = agent->upstream.started_ms};

    if (keeper->next_part == parts) {
        if (now_us - keeper->sent_us < RESEND_US) {
            return true;
        }
        if (++keeper->attempts == ATTEMPTS_MAX &&
            !set_next_keeper(agent, keeper)) {
            return false;
        }
        keeper->next_part = 0;
    }
    for (uint32_t sent = 0; sent < PARTS_PER_TICK && keeper->next_part < parts;
         keeper->next_part++) {
        if (keeper->acknowledged >> keeper->next_part & 1) {
            continue;
        }
        send_part_of(agent, sink, &keeper->address, &table, handover->flows,
                     handover->flow_count, keeper->next_part);
        sent++;
    }
    keeper->sent_us = now_us;
    return true;
}

static void
log_handover(struct SlRelayAgent *agent, struct SlRelaySink *sink,
             uint64_t now_us, const char *reason, uint32_t flows,
             uint32_t limit)
{
    SlRelayAgent_LogEvent(agent, sink, now_us,
                          (struct SlEvent){.number = SL_EVENT_HANDOVER,
                                           .reason = reason,
                                           .value = flows,
                                           .limit = limit});
}

/// Sends what has not been acknowledged, and ends when all has been.
static void
send_flows(struct SlRelayAgent *agent, struct SlRelaySink *sink,
           uint64_t now_us)
{
    struct SlHandover *handover = &agent->handover;
    uint64_t all = all_parts(part_count(handover->flow_count));
    uint32_t complete = 0;
    uint32_t failed = 0;

    for (uint32_t i = 0; i < handover->keeper_count; i++) {
        struct SlHandoverKeeper *keeper = &handover->keepers[i];

        if (keeper->acknowledged == all) {
            complete++;
        }
        else if (!send_to_keeper(agent, sink, now_us, keeper)) {
            failed++;
        }
    }
    if (complete + failed == handover->keeper_count ||
        now_us >= handover->until_us) {
        handover->is_sending = false;
        log_handover(agent, sink, now_us,
                     complete > 0 ? "handed_over" : "not_acknowledged",
                     handover->flow_count, complete);
    }
}

void
SlHandover_Begin(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                 uint64_t now_us)
{
    struct SlHandover *handover = &agent->handover;

    if (handover->flows != NULL || agent->upstream_gone) {
        return;
    }
    collect_flows(agent);
    if (handover->flow_count == 0) {
        return;
    }
    while (
        handover->keeper_count < SL_HANDOVER_KEEPERS &&
        set_next_keeper(agent, &handover->keepers[handover->keeper_count])) {
        handover->keeper_count++;
    }
    handover->is_sending = handover->keeper_count > 0;
    handover->until_us = now_us + SEND_US;
    SlHandover_Tick(agent, sink, now_us);
}

bool
SlHandover_IsDone(const struct SlRelayAgent *agent)
{
    return !agent->handover.is_sending;
}

void
SlHandover_CheckRun(struct SlRelayAgent *agent, uint64_t now_us,
                    uint64_t started_ms)
{
    struct SlRelayItem *item = SlRelayIndex_OldestItem(&agent->flows);

    if (agent->handover.inherited_started_ms == started_ms) {
        return;
    }
    while (item != NULL) {
        struct SlAgentFlow *flow = (struct SlAgentFlow *)item;

        item = item->newer;
        if (flow->inherited && flow->state == SL_AGENT_TENTATIVE) {
            SlAgentFlow_Remove(agent, now_us, flow);
        }
    }
}

uint64_t
SlHandover_FindOwner(const struct SlRelayAgent *agent,
                     const struct SlFlowKey *flow)
{
    const struct kept_flow *kept = (const struct kept_flow *)SlRelayIndex_Find(
        &agent->handover.kept, flow);

    return kept != NULL ? kept->owner : 0;
}

static void
remove_kept(struct SlHandover *handover, struct SlRelayItem *item)
{
    SlRelayIndex_Remove(&handover->kept, item);
    free(item);
}

/// Keeps a flow for its owner. Returns false when there is no room for it.
static bool
keep_flow(struct SlHandover *handover, uint64_t now_us,
          const struct SlRelayTable *table, const struct SlFlowKey *key)
{
    struct kept_flow *kept =
        (struct kept_flow *)SlRelayIndex_Find(&handover->kept, key);

    if (kept == NULL) {
        if (handover->kept.count == KEPT_MAX) {
            return false;
        }
        kept = calloc(1, sizeof(*kept));
        if (kept == NULL) {
            return false;
        }
        kept->item.key = *key;
        if (SlRelayIndex_Add(&handover->kept, now_us, &kept->item) != SL_OK) {
            free(kept);
            return false;
        }
    }
    SlRelayIndex_MarkUsed(&handover->kept, now_us, &kept->item);
    kept->owner = table->owner;
    kept->started_ms = table->started_ms;
    return true;
}

/// Keeps a part of another agent's flows, and acknowledges it if all fit. An
/// agent that stops itself leaves it to others.
static void
keep_part(struct SlRelayAgent *agent, struct SlRelaySink *sink,
          uint64_t now_us, const struct SlAddress *from,
          const struct SlRelayTable *table)
{
    struct SlRelayFrame frame = {.kind = SL_RELAY_TABLE_KEPT,
                                 .sender = agent->node_id,
                                 .ack = table->part};

    if (agent->stopping) {
        return;
    }
    for (uint32_t i = 0; i < table->count; i++) {
        if (!keep_flow(&agent->handover, now_us, table, &table->flows[i])) {
            return;
        }
    }
    sink->type->send_frame(sink, from, &frame);
}

/// Takes a part of the flows of the former process of this agent.
static void
inherit_part(struct SlRelayAgent *agent, struct SlRelaySink *sink,
             uint64_t now_us, uint64_t sender,
             const struct SlRelayTable *table)
{
    struct SlHandover *handover = &agent->handover;
    static const struct SlAddress NO_ENTRY;

    if (agent->stopping || (agent->last_status_us != 0 &&
                            agent->upstream.started_ms != table->started_ms)) {
        return;
    }
    handover->inherited_started_ms = table->started_ms;
    for (uint32_t i = 0; i < table->count; i++) {
        struct SlAgentFlow *flow = SlAgentFlow_Find(agent, &table->flows[i]);

        if (flow == NULL) {
            flow = SlAgentFlow_Add(agent, now_us, &table->flows[i],
                                   SL_AGENT_TENTATIVE, &NO_ENTRY);
            if (flow == NULL) {
                return;
            }
            flow->inherited = true;
            handover->inherited_count++;
        }
    }
    if (handover->answering == 0) {
        handover->answering = sender;
    }
    if (handover->answering != sender) {
        return;
    }
    handover->received |= UINT64_C(1) << table->part;
    if (!handover->has_received_all &&
        handover->received == all_parts(table->part_count)) {
        handover->has_received_all = true;
        log_handover(agent, sink, now_us, "inherited",
                     handover->inherited_count, handover->queries);
    }
}

/// Sends the new process of an agent the flows that are kept for it.
static void
send_kept_flows(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                const struct SlAddress *to, uint64_t owner)
{
    struct SlHandover *handover = &agent->handover;
    struct SlFlowKey *flows = calloc(FLOWS_MAX, sizeof(*flows));
    struct SlRelayTable table = {.owner = owner};
    uint32_t count = 0;

    for (const struct SlRelayItem *item = handover->kept.newest;
         flows != NULL && item != NULL && count < FLOWS_MAX;
         item = item->older) {
        const struct kept_flow *kept = (const struct kept_flow *)item;

        if (kept->owner == owner &&
            (count == 0 || kept->started_ms == table.started_ms)) {
            table.started_ms = kept->started_ms;
            flows[count++] = item->key;
        }
    }
    for (uint32_t part = 0; part < part_count(count); part++) {
        send_part_of(agent, sink, to, &table, flows, count, part);
    }
    free(flows);
}

static void
handle_table(struct SlRelayAgent *agent, struct SlRelaySink *sink,
             uint64_t now_us, const struct SlAddress *from,
             const struct SlRelayFrame *frame)
{
    struct SlRelayTable table;

    if (SlRelayTable_Decode(frame->segment, frame->segment_bytes, &table) !=
            SL_OK ||
        table.part >= PARTS_MAX || table.part_count > PARTS_MAX) {
        agent->counters.inputs_malformed++;
        return;
    }
    if (table.owner == agent->node_id) {
        inherit_part(agent, sink, now_us, frame->sender, &table);
    }
    else if (table.owner == frame->sender) {
        keep_part(agent, sink, now_us, from, &table);
    }
}

/// Handles the acknowledgement of a part.
static void
handle_kept(struct SlRelayAgent *agent, const struct SlRelayFrame *frame)
{
    struct SlHandover *handover = &agent->handover;

    for (uint32_t i = 0; i < handover->keeper_count; i++) {
        if (handover->keepers[i].node_id == frame->sender &&
            frame->ack < PARTS_MAX) {
            handover->keepers[i].acknowledged |= UINT64_C(1) << frame->ack;
        }
    }
}

void
SlHandover_HandleFrame(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                       uint64_t now_us, const struct SlAddress *from,
                       const struct SlRelayFrame *frame)
{
    SlRelayAgent_RecordPeerFrame(agent, frame->sender);
    switch (frame->kind) {
    case SL_RELAY_TABLE:
        handle_table(agent, sink, now_us, from, frame);
        break;
    case SL_RELAY_TABLE_KEPT:
        handle_kept(agent, frame);
        break;
    case SL_RELAY_TABLE_QUERY:
        send_kept_flows(agent, sink, from, frame->sender);
        break;
    default:
        break;
    }
}

/// Asks for the flows of the former process.
static void
query_flows(struct SlRelayAgent *agent, struct SlRelaySink *sink,
            uint64_t now_us)
{
    struct SlHandover *handover = &agent->handover;
    const struct SlBroadcastPeer *ranks[RANKS_MAX];
    uint32_t count = rank_peers(agent, ranks);
    struct SlRelayFrame frame = {.kind = SL_RELAY_TABLE_QUERY,
                                 .sender = agent->node_id};

    if (!handover->is_expected && count > SL_HANDOVER_KEEPERS) {
        count = SL_HANDOVER_KEEPERS;
    }
    for (uint32_t i = 0; i < count; i++) {
        sink->type->send_frame(sink, &ranks[i]->address, &frame);
    }
    handover->queries++;
    handover->query_due_us =
        now_us + (uint64_t)handover->queries * QUERY_INTERVAL_US;
}

void
SlHandover_Tick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                uint64_t now_us)
{
    struct SlHandover *handover = &agent->handover;
    struct SlRelayItem *oldest = SlRelayIndex_OldestItem(&handover->kept);

    if (handover->is_sending) {
        send_flows(agent, sink, now_us);
    }
    else if (agent->plan != NULL && !agent->stopping &&
             !handover->has_received_all &&
             handover->queries < (handover->is_expected ? QUERIES_MAX : 1) &&
             now_us >= handover->query_due_us) {
        query_flows(agent, sink, now_us);
    }
    while (oldest != NULL &&
           now_us - oldest->used_us > SlFlowLife_KeepUs(&agent->flow_life)) {
        remove_kept(handover, oldest);
        oldest = SlRelayIndex_OldestItem(&handover->kept);
    }
}

void
SlHandover_Release(struct SlHandover *handover)
{
    while (handover->kept.count > 0) {
        remove_kept(handover, SlRelayIndex_OldestItem(&handover->kept));
    }
    SlRelayIndex_Release(&handover->kept);
    free(handover->flows);
}
