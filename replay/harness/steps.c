/// The steps of traces: traffic, changes by operators, and faults.

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "simulation.h"

enum {
    BURST_INTERVAL_US = 10 * 1000,
    FLOOD_NET_OCTET = 11,
    RANDOM_NET_OCTET = 12,
};

typedef bool
step_run(struct SlSim *sim, const struct SlSimStep *step);

static uint32_t
word_as_uint(const struct SlSimStep *step, uint32_t word_index)
{
    return word_index < step->word_count
               ? (uint32_t)strtoul(step->words[word_index], NULL, 10)
               : 0;
}

static struct SlSimNode *
find_node(struct SlSim *sim, const char *name)
{
    uint32_t index = SlSim_FindNode(sim, name);

    return index == SIM_NODES_MAX ? NULL : &sim->nodes[index];
}

static bool
queue_hold(struct SlSim *sim, enum SlKind kind, const char *name,
           enum SlVerb verb, const char *key)
{
    struct SlChange change = {.verb = verb};

    change.object.kind = kind;
    snprintf(change.object.name, sizeof(change.object.name), "%s", name);
    snprintf(change.hold.key, sizeof(change.hold.key), "%s", key);
    snprintf(change.hold.reason, sizeof(change.hold.reason), "trace");
    SlSimOperator_QueueChange(sim, &change);
    return true;
}

static bool
step_zone_out(struct SlSim *sim, const struct SlSimStep *step)
{
    return queue_hold(sim, SL_KIND_ZONE, step->words[1], SL_VERB_HOLD,
                      "operator");
}

static bool
step_zone_in(struct SlSim *sim, const struct SlSimStep *step)
{
    return queue_hold(sim, SL_KIND_ZONE, step->words[1], SL_VERB_RELEASE,
                      "operator");
}

static bool
step_drain(struct SlSim *sim, const struct SlSimStep *step)
{
    return queue_hold(sim, SL_KIND_NODE, step->words[1], SL_VERB_HOLD,
                      "operator");
}

static bool
step_return(struct SlSim *sim, const struct SlSimStep *step)
{
    return queue_hold(sim, SL_KIND_NODE, step->words[1], SL_VERB_RELEASE,
                      "operator");
}

static bool
step_label(struct SlSim *sim, const struct SlSimStep *step)
{
    struct SlChange change = {.verb = SL_VERB_LABEL};

    change.object.kind = SlKind_FromName(step->words[1]);
    memcpy(change.object.name, step->words[2], sizeof(change.object.name));
    if (SlLabels_Set(&change.object.labels, step->words[3], step->words[4]) !=
        SL_OK) {
        return false;
    }
    SlSimOperator_QueueChange(sim, &change);
    return true;
}

static bool
step_delete(struct SlSim *sim, const struct SlSimStep *step)
{
    struct SlChange change = {.verb = SL_VERB_DELETE};

    change.object.kind = SlKind_FromName(step->words[1]);
    memcpy(change.object.name, step->words[2], sizeof(change.object.name));
    SlSimOperator_QueueChange(sim, &change);
    return true;
}

/// Makes one change of a repeating sequence: an upstream drains, a zone gets a
/// label, the upstream returns, a zone gets a label.
static bool
step_change(struct SlSim *sim, const struct SlSimStep *step)
{
    uint32_t change_index = word_as_uint(step, 1);
    struct SlSimStep label = {
        .word_count = 5,
        .words = {"label", "zone", "", "turn"},
    };
    uint32_t agents[SIM_NODES_MAX];
    uint32_t count = 0;

    for (uint32_t i = 0; i < sim->node_count; i++) {
        if (sim->nodes[i].roles & SL_ROLE_AGENT) {
            agents[count++] = i;
        }
    }
    if (count == 0) {
        return false;
    }
    if (change_index % 2 == 0) {
        const char *name = sim->nodes[agents[change_index / 4 % count]].name;

        return queue_hold(
            sim, SL_KIND_NODE, name,
            change_index % 4 == 0 ? SL_VERB_HOLD : SL_VERB_RELEASE, "roll");
    }
    memcpy(label.words[2], sim->zones[change_index % sim->zone_count],
           SL_NAME_BYTES);
    snprintf(label.words[4], SL_NAME_BYTES, "%u", change_index);
    return step_label(sim, &label);
}

static bool
step_changes(struct SlSim *sim, const struct SlSimStep *step)
{
    uint32_t count = word_as_uint(step, 1);
    uint64_t interval_us = word_as_uint(step, 2) * 1000ULL;

    for (uint32_t i = 0; i < count; i++) {
        struct SlSimStep change = {.word_count = 2, .words = {"change"}};

        snprintf(change.words[1], SL_NAME_BYTES, "%u", i);
        SlSim_ScheduleStep(sim, interval_us * i, &change);
    }
    return count > 0;
}

static bool
step_kill(struct SlSim *sim, const struct SlSimStep *step)
{
    struct SlSimNode *node = find_node(sim, step->words[1]);

    if (node == NULL) {
        return false;
    }
    SlSimNode_Kill(node);
    return true;
}

static bool
step_start(struct SlSim *sim, const struct SlSimStep *step)
{
    struct SlSimNode *node = find_node(sim, step->words[1]);

    if (node == NULL || node->node != NULL) {
        return false;
    }
    SlSimNode_Start(node);
    return true;
}

static bool
step_restart(struct SlSim *sim, const struct SlSimStep *step)
{
    return step_kill(sim, step) && step_start(sim, step);
}

/// The agent dies together with its upstream.
static bool
step_crash(struct SlSim *sim, const struct SlSimStep *step)
{
    struct SlSimNode *node = find_node(sim, step->words[1]);

    if (node == NULL) {
        return false;
    }
    SlSimNode_Kill(node);
    SlSimUpstream_Crash(node);
    return true;
}

static bool
step_boot(struct SlSim *sim, const struct SlSimStep *step)
{
    if (!step_start(sim, step)) {
        return false;
    }
    SlSimUpstream_Start(find_node(sim, step->words[1]));
    return true;
}

/// All entries, agents and upstreams of a zone die without notice.
static bool
step_zone_dies(struct SlSim *sim, const struct SlSimStep *step)
{
    uint32_t zone = SlSim_FindZone(sim, step->words[1]);

    for (uint32_t i = 0; i < sim->node_count; i++) {
        struct SlSimNode *node = &sim->nodes[i];

        if (node->zone == zone && !(node->roles & SL_ROLE_CONTROL)) {
            SlSimNode_Kill(node);
            SlSimUpstream_Crash(node);
        }
    }
    return zone != SIM_ZONES_MAX;
}

/// The upstream becomes cold again and keeps its connections.
static bool
step_cold(struct SlSim *sim, const struct SlSimStep *step)
{
    struct SlSimNode *node = find_node(sim, step->words[1]);

    if (node == NULL) {
        return false;
    }
    node->upstream.started_us = sim->now_us;
    return true;
}

static bool
step_stop(struct SlSim *sim, const struct SlSimStep *step)
{
    struct SlSimNode *node = find_node(sim, step->words[1]);
    struct SlInput input = {.kind = SL_INPUT_STOP};

    if (node == NULL) {
        return false;
    }
    SlSimNode_HandleInput(node, &input);
    return true;
}

static bool
step_freeze(struct SlSim *sim, const struct SlSimStep *step)
{
    struct SlSimNode *node = find_node(sim, step->words[1]);

    if (node == NULL) {
        return false;
    }
    node->frozen = true;
    node->down_us = sim->now_us;
    return true;
}

static bool
step_thaw(struct SlSim *sim, const struct SlSimStep *step)
{
    struct SlSimNode *node = find_node(sim, step->words[1]);

    if (node == NULL) {
        return false;
    }
    node->frozen = false;
    return true;
}

static bool
step_cut(struct SlSim *sim, const struct SlSimStep *step)
{
    for (uint32_t i = 1; i < step->word_count; i++) {
        struct SlSimNode *node = find_node(sim, step->words[i]);

        if (node == NULL) {
            return false;
        }
        node->partition = 1;
    }
    return true;
}

static bool
step_cut_control(struct SlSim *sim, const struct SlSimStep *step)
{
    for (uint32_t i = 1; i < step->word_count; i++) {
        struct SlSimNode *node = find_node(sim, step->words[i]);

        if (node == NULL) {
            return false;
        }
        node->cut_off_from_control = true;
    }
    return true;
}

/// Ends the partition. Links across it have lost bytes, so they are closed.
static bool
step_heal(struct SlSim *sim, const struct SlSimStep *step)
{
    (void)step;
    SlSimLinks_DropPartitioned(sim);
    for (uint32_t i = 0; i < sim->node_count; i++) {
        sim->nodes[i].partition = 0;
        sim->nodes[i].cut_off_from_control = false;
    }
    return true;
}

static bool
step_lag(struct SlSim *sim, const struct SlSimStep *step)
{
    struct SlSimNode *node = find_node(sim, step->words[1]);

    if (node == NULL) {
        return false;
    }
    node->receive_delay_us = word_as_uint(step, 2) * 1000ULL;
    return true;
}

static bool
step_flows(struct SlSim *sim, const struct SlSimStep *step)
{
    uint32_t service = SlSim_FindService(sim, step->words[1]);
    bool forever = strcmp(step->words[3], "forever") == 0;

    if (service == SIM_SERVICES_MAX || step->word_count < 6) {
        return false;
    }
    SlSimFlows_Add(sim, service, word_as_uint(step, 2), forever,
                   word_as_uint(step, 3), word_as_uint(step, 4),
                   word_as_uint(step, 5) * 1000ULL);
    return true;
}

/// Mutes the first established flows of a service, or makes their callers
/// idle.
static bool
step_mark_flows(struct SlSim *sim, const struct SlSimStep *step)
{
    uint32_t service = SlSim_FindService(sim, step->words[1]);
    bool mute = strcmp(step->words[0], "mute") == 0;
    uint32_t remaining = word_as_uint(step, 2);

    for (uint32_t i = 0; i < sim->flow_count && remaining > 0; i++) {
        struct SlSimFlow *flow = &sim->flows[i];

        if (flow->service == service && flow->established) {
            flow->muted = flow->muted || mute;
            flow->idle = flow->idle || !mute;
            remaining--;
        }
    }
    return service != SIM_SERVICES_MAX;
}

static void
send_syn(struct SlSim *sim, uint32_t service)
{
    uint8_t bytes[SIM_PACKET_BYTES];
    struct SlTcpSegment segment = {
        .destination = sim->services[service].address,
        .flags = SL_TCP_SYN,
        .seq = SlSim_Random(sim, 1U << 30),
        .window = 1000,
    };

    SlSimFlow_CallerAddress(SlSim_Random(sim, 1 << 24),
                            (uint16_t)SlSim_Random(sim, 60000),
                            &segment.source);
    segment.source.ip[12] = FLOOD_NET_OCTET;
    SlSim_SprayPacket(sim, bytes,
                      SlPacket_BuildTcp(&segment, bytes, sizeof(bytes)));
}

/// Sends a SYN flood: flood SERVICE PER_SECOND MILLISECONDS
static bool
step_flood(struct SlSim *sim, const struct SlSimStep *step)
{
    uint32_t service = SlSim_FindService(sim, step->words[1]);
    uint32_t remaining_ms = word_as_uint(step, 3);
    struct SlSimStep next = *step;

    if (service == SIM_SERVICES_MAX) {
        return false;
    }
    for (uint32_t i = 0; i < word_as_uint(step, 2) / 100; i++) {
        send_syn(sim, service);
    }
    if (remaining_ms > BURST_INTERVAL_US / 1000) {
        snprintf(next.words[3], SL_NAME_BYTES, "%u",
                 remaining_ms - BURST_INTERVAL_US / 1000);
        SlSim_ScheduleStep(sim, BURST_INTERVAL_US, &next);
    }
    return true;
}

/// Sends a packet to a random service from a random caller; a TCP segment has
/// random flags.
static void
send_random_packet(struct SlSim *sim)
{
    uint8_t bytes[SIM_PACKET_BYTES];
    uint8_t payload[16] = {0};
    uint32_t service = SlSim_Random(sim, sim->service_count);
    struct SlTcpSegment segment = {
        .destination = sim->services[service].address,
        .flags = (uint8_t)SlSim_Random(sim, 32),
        .seq = SlSim_Random(sim, 1U << 30),
        .ack = SlSim_Random(sim, 1U << 30),
        .window = 1000,
        .payload = payload,
        .payload_bytes = SlSim_Random(sim, sizeof(payload)),
    };
    uint32_t length_bytes;

    SlSimFlow_CallerAddress(SlSim_Random(sim, 4096),
                            (uint16_t)SlSim_Random(sim, 16), &segment.source);
    segment.source.ip[12] = RANDOM_NET_OCTET;
    if (sim->services[service].protocol == IPPROTO_TCP) {
        length_bytes = SlPacket_BuildTcp(&segment, bytes, sizeof(bytes));
    }
    else {
        length_bytes =
            SlPacket_BuildUdp(&segment.source, &segment.destination, payload,
                              segment.payload_bytes, bytes, sizeof(bytes));
    }
    SlSim_SprayPacket(sim, bytes, length_bytes);
}

/// Sends random packets: random PER_SECOND MILLISECONDS
static bool
step_random(struct SlSim *sim, const struct SlSimStep *step)
{
    uint32_t remaining_ms = word_as_uint(step, 2);
    struct SlSimStep next = *step;

    for (uint32_t i = 0; i < word_as_uint(step, 1) / 100; i++) {
        send_random_packet(sim);
    }
    if (remaining_ms > BURST_INTERVAL_US / 1000) {
        snprintf(next.words[2], SL_NAME_BYTES, "%u",
                 remaining_ms - BURST_INTERVAL_US / 1000);
        SlSim_ScheduleStep(sim, BURST_INTERVAL_US, &next);
    }
    return true;
}

static bool
step_set_fault_rate(struct SlSim *sim, const struct SlSimStep *step)
{
    uint32_t *fault_rate =
        strcmp(step->words[0], "loss") == 0   ? &sim->loss_per_10000
        : strcmp(step->words[0], "late") == 0 ? &sim->late_per_10000
                                              : &sim->duplicate_per_10000;

    *fault_rate = word_as_uint(step, 1);
    return true;
}

static bool
step_measure(struct SlSim *sim, const struct SlSimStep *step)
{
    (void)step;
    SlSim_MeasureImbalance(sim);
    return true;
}

/// Resets the counts, so that the counts of the warm-up are left out.
static bool
step_clear(struct SlSim *sim, const struct SlSimStep *step)
{
    (void)step;
    memset(&sim->counts, 0, sizeof(sim->counts));
    memset(sim->worst_imbalance, 0, sizeof(sim->worst_imbalance));
    SlSim_UpdateBaselines(sim);
    return true;
}

struct step_kind {
    const char *name;
    step_run *run;
};

static const struct step_kind STEP_KINDS[] = {
    {"zone-out", step_zone_out},
    {"zone-in", step_zone_in},
    {"drain", step_drain},
    {"return", step_return},
    {"label", step_label},
    {"delete", step_delete},
    {"change", step_change},
    {"changes", step_changes},
    {"kill", step_kill},
    {"start", step_start},
    {"restart", step_restart},
    {"crash", step_crash},
    {"boot", step_boot},
    {"zone-dies", step_zone_dies},
    {"cold", step_cold},
    {"stop", step_stop},
    {"freeze", step_freeze},
    {"thaw", step_thaw},
    {"cut", step_cut},
    {"cut-control", step_cut_control},
    {"heal", step_heal},
    {"lag", step_lag},
    {"flows", step_flows},
    {"mute", step_mark_flows},
    {"idle", step_mark_flows},
    {"flood", step_flood},
    {"random", step_random},
    {"loss", step_set_fault_rate},
    {"late", step_set_fault_rate},
    {"duplicate", step_set_fault_rate},
    {"measure", step_measure},
    {"clear", step_clear},
};

bool
SlSimStep_Run(struct SlSim *sim, const struct SlSimStep *step)
{
    bool known = false;
    bool done = false;

    for (size_t i = 0; i < sizeof(STEP_KINDS) / sizeof(STEP_KINDS[0]); i++) {
        if (strcmp(STEP_KINDS[i].name, step->words[0]) == 0) {
            known = true;
            done = STEP_KINDS[i].run(sim, step);
        }
    }
    if (!known || !done) {
        fprintf(stderr, "step at %.3f s: unknown or failed: \"%s %s\"\n",
                (double)step->time_us / 1e6, step->words[0], step->words[1]);
        sim->failed_steps++;
    }
    return known && done;
}
