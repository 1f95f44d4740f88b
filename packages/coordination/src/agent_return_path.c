/// Return path: the entries through which the upstream's answers are sent to
/// callers. Two entries are selected, ranked by zone and then by rendezvous
/// hashing, and probed with pings. An entry that stops answering is skipped.

#include "agent_return_path.h"
#include "agent_core.h"
#include "agent_forward.h"

#include <string.h>

enum {
    /// The current entry counts as alive for a shorter time after its last
    /// pong than the standby entry, because it is pinged more often.
    CURRENT_ALIVE_US = 1000 * 1000,
    STANDBY_ALIVE_US = 3000 * 1000,
    STANDBY_PING_US = 1000 * 1000,
    RANKED_MAX = 64,
};

struct ranked_entry {
    uint64_t node_id;
    bool same_zone;
    uint64_t weight;
};

bool
agent_paths_init(struct agent_paths *paths)
{
    return pthread_mutex_init(&paths->lock, NULL) == 0;
}

static uint64_t
rendezvous_weight(uint64_t self, uint64_t entry)
{
    struct SlFlowKey pair = {.protocol = 0};

    memcpy(pair.caller.ip, &self, sizeof(self));
    memcpy(pair.service.ip, &entry, sizeof(entry));
    return SlFlowKey_Hash(&pair, 0);
}

static bool
is_ranked_before(const struct ranked_entry *a, const struct ranked_entry *b)
{
    if (a->same_zone != b->same_zone) {
        return a->same_zone;
    }
    return a->weight > b->weight;
}

/// Fills in the best RANKED_MAX entries, best first. Returns their number.
static uint32_t
rank_entries(const struct agent_call *call, struct ranked_entry *entries)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < SlRouting_NodeCount(call->routing); i++) {
        const struct SlRouteNode *node = SlRouting_NodeAt(call->routing, i);
        struct ranked_entry candidate = {
            .node_id = node->node_id,
            .same_zone =
                strcmp(node->zone, call->agent->options.core.zone) == 0,
            .weight = rendezvous_weight(call->agent->node_id, node->node_id)};
        uint32_t index = count;

        if (!(node->roles & SL_ROLE_ENTRY) || node->zone_out ||
            node->unreachable) {
            continue;
        }
        while (index > 0 &&
               is_ranked_before(&candidate, &entries[index - 1])) {
            index--;
        }
        if (index == RANKED_MAX) {
            continue;
        }
        count = count < RANKED_MAX ? count + 1 : RANKED_MAX;
        memmove(&entries[index + 1], &entries[index],
                (count - 1 - index) * sizeof(candidate));
        entries[index] = candidate;
    }
    return count;
}

static bool
is_standby_entry(const struct agent_paths *paths, uint32_t i)
{
    return paths->current != 0 && paths->nodes[i] != paths->current;
}

static bool
is_entry_alive(const struct agent_paths *paths, uint32_t i, uint64_t now_us)
{
    uint64_t bound_us =
        is_standby_entry(paths, i) ? STANDBY_ALIVE_US : CURRENT_ALIVE_US;

    return paths->pong_us[i] != 0 &&
           agent_elapsed_us(now_us, paths->pong_us[i]) < bound_us;
}

static bool
is_any_entry_alive(const struct agent_paths *paths, uint64_t now_us)
{
    for (uint32_t i = 0; i < paths->count; i++) {
        if (is_entry_alive(paths, i, now_us)) {
            return true;
        }
    }
    return false;
}

/// Selects the entries at the current offset in the ranking, and keeps the
/// ping state of those that were selected before.
static void
select_entries(struct agent_paths *paths, const struct ranked_entry *entries,
               uint32_t count)
{
    struct agent_paths old = *paths;

    paths->count = count < AGENT_PATHS ? count : AGENT_PATHS;
    for (uint32_t i = 0; i < paths->count; i++) {
        paths->nodes[i] = entries[(paths->rank_offset + i) % count].node_id;
        paths->pong_us[i] = 0;
        paths->pinged_us[i] = 0;
        for (uint32_t j = 0; j < old.count; j++) {
            if (old.nodes[j] == paths->nodes[i]) {
                paths->pong_us[i] = old.pong_us[j];
                paths->pinged_us[i] = old.pinged_us[j];
            }
        }
    }
}

static void
refresh_entries(const struct agent_call *call)
{
    struct agent_paths *paths = &call->agent->paths;
    struct ranked_entry entries[RANKED_MAX];
    uint32_t count = rank_entries(call, entries);

    pthread_mutex_lock(&paths->lock);
    if (is_any_entry_alive(paths, call->now_us)) {
        paths->chosen_us = call->now_us;
    }
    else if (call->now_us - paths->chosen_us >= CURRENT_ALIVE_US &&
             count > 0) {
        paths->rank_offset = (paths->rank_offset + AGENT_PATHS) % count;
        paths->chosen_us = call->now_us;
    }
    select_entries(paths, entries, count);
    pthread_mutex_unlock(&paths->lock);
}

static bool
is_ping_due(const struct agent_paths *paths, uint32_t i, uint64_t now_us)
{
    return !is_standby_entry(paths, i) || paths->pinged_us[i] == 0 ||
           now_us - paths->pinged_us[i] >= STANDBY_PING_US;
}

/// Lists the entries whose ping is due, and records the ping. Returns their
/// number.
static uint32_t
collect_due_pings(struct agent_paths *paths, uint64_t now_us,
                  uint64_t due[AGENT_PATHS])
{
    uint32_t count = 0;

    pthread_mutex_lock(&paths->lock);
    for (uint32_t i = 0; i < paths->count; i++) {
        if (is_ping_due(paths, i, now_us)) {
            paths->pinged_us[i] = now_us;
            due[count++] = paths->nodes[i];
        }
    }
    pthread_mutex_unlock(&paths->lock);
    return count;
}

void
agent_paths_tick(const struct agent_call *call)
{
    struct agent_paths *paths = &call->agent->paths;
    uint64_t due[AGENT_PATHS];
    uint32_t count;

    if (call->routing == NULL ||
        call->now_us - paths->ping_us < AGENT_PING_US) {
        return;
    }
    paths->ping_us = call->now_us;
    refresh_entries(call);
    count = collect_due_pings(paths, call->now_us, due);
    for (uint32_t i = 0; i < count; i++) {
        struct SlTunnel ping = {.kind = SL_TUNNEL_PING,
                                .ping_us = call->now_us};

        agent_send_datagram(call, due[i], &ping);
    }
}

void
agent_paths_handle_pong(const struct agent_call *call,
                        const struct SlTunnel *tunnel)
{
    struct agent_paths *paths = &call->agent->paths;

    pthread_mutex_lock(&paths->lock);
    for (uint32_t i = 0; i < paths->count; i++) {
        if (paths->nodes[i] == tunnel->sender) {
            paths->pong_us[i] = call->now_us;
        }
    }
    pthread_mutex_unlock(&paths->lock);
}

/// Chooses the first selected entry that is alive; if no selected entry is
/// alive, the entry that the flow used last; if that entry has left, the
/// best-ranked entry.
static uint64_t
choose_entry(const struct agent_call *call, uint64_t last_entry, bool *changed)
{
    struct agent_paths *paths = &call->agent->paths;
    const struct SlRouteNode *last =
        SlRouting_FindNode(call->routing, last_entry);
    uint64_t node_id = 0;

    pthread_mutex_lock(&paths->lock);
    for (uint32_t i = 0; i < paths->count && node_id == 0; i++) {
        node_id = is_entry_alive(paths, i, call->now_us) ? paths->nodes[i] : 0;
    }
    *changed = node_id != 0 && node_id != paths->current;
    paths->current = node_id != 0 ? node_id : paths->current;
    if (node_id == 0 && last != NULL) {
        node_id = last_entry;
    }
    if (node_id == 0 && paths->count > 0) {
        node_id = paths->nodes[0];
    }
    pthread_mutex_unlock(&paths->lock);
    return node_id;
}

void
agent_return_packet(const struct agent_call *call, uint64_t service_id,
                    uint64_t last_entry, const uint8_t *bytes,
                    uint32_t length_bytes)
{
    struct SlTunnel tunnel = {.kind = SL_TUNNEL_RETURN,
                              .service_id = service_id,
                              .packet = bytes,
                              .packet_bytes = length_bytes};
    struct SlEvent event = {.number = SL_EVENT_RETURN_PATH,
                            .reason = "answers"};
    bool changed;
    uint64_t node_id = choose_entry(call, last_entry, &changed);

    if (changed) {
        event.node = agent_node_name(call, node_id);
        agent_log_event(call, &event);
    }
    if (!agent_send_datagram(call, node_id, &tunnel)) {
        agent_report_drop(call, NULL, "no_entry");
    }
}
