/// The words of a trace's steps: traffic, operators' changes, faults.

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum {
    BURST_US = 10 * 1000,
    FLOOD_NET = 11,
    RANDOM_NET = 12,
};

typedef bool
step_run(struct SlWorld *world, const struct SlWorldStep *step);

static uint32_t
number(const struct SlWorldStep *step, uint32_t word)
{
    return word < step->word_count
               ? (uint32_t)strtoul(step->words[word], NULL, 10)
               : 0;
}

static struct SlWorldNode *
node_at(struct SlWorld *world, const char *name)
{
    uint32_t index = SlWorld_FindNode(world, name);

    return index == WORLD_NODES_MAX ? NULL : &world->nodes[index];
}

static bool
hold(struct SlWorld *world, enum SlKind kind, const char *name,
     enum SlVerb verb, const char *key)
{
    struct SlChange change = {.verb = verb};

    change.object.kind = kind;
    snprintf(change.object.name, sizeof(change.object.name), "%s", name);
    snprintf(change.hold.key, sizeof(change.hold.key), "%s", key);
    snprintf(change.hold.reason, sizeof(change.hold.reason), "trace");
    SlWorldOperator_Add(world, &change);
    return true;
}

static bool
step_zone_out(struct SlWorld *world, const struct SlWorldStep *step)
{
    return hold(world, SL_KIND_ZONE, step->words[1], SL_VERB_HOLD, "operator");
}

static bool
step_zone_in(struct SlWorld *world, const struct SlWorldStep *step)
{
    return hold(world, SL_KIND_ZONE, step->words[1], SL_VERB_RELEASE,
                "operator");
}

static bool
step_drain(struct SlWorld *world, const struct SlWorldStep *step)
{
    return hold(world, SL_KIND_NODE, step->words[1], SL_VERB_HOLD, "operator");
}

static bool
step_return(struct SlWorld *world, const struct SlWorldStep *step)
{
    return hold(world, SL_KIND_NODE, step->words[1], SL_VERB_RELEASE,
                "operator");
}

static bool
step_label(struct SlWorld *world, const struct SlWorldStep *step)
{
    struct SlChange change = {.verb = SL_VERB_LABEL};

    change.object.kind = SlKind_FromName(step->words[1]);
    memcpy(change.object.name, step->words[2], sizeof(change.object.name));
    if (SlLabels_Set(&change.object.labels, step->words[3], step->words[4]) !=
        SL_OK) {
        return false;
    }
    SlWorldOperator_Add(world, &change);
    return true;
}

static bool
step_delete(struct SlWorld *world, const struct SlWorldStep *step)
{
    struct SlChange change = {.verb = SL_VERB_DELETE};

    change.object.kind = SlKind_FromName(step->words[1]);
    memcpy(change.object.name, step->words[2], sizeof(change.object.name));
    SlWorldOperator_Add(world, &change);
    return true;
}

/// One of a row of changes: an upstream drains, a label, it returns, a label.
static bool
step_change(struct SlWorld *world, const struct SlWorldStep *step)
{
    uint32_t turn = number(step, 1);
    struct SlWorldStep label = {
        .word_count = 5,
        .words = {"label", "zone", "", "turn"},
    };
    uint32_t agents[WORLD_NODES_MAX];
    uint32_t count = 0;

    for (uint32_t i = 0; i < world->node_count; i++) {
        if (world->nodes[i].roles & SL_ROLE_AGENT) {
            agents[count++] = i;
        }
    }
    if (count == 0) {
        return false;
    }
    if (turn % 2 == 0) {
        const char *name = world->nodes[agents[turn / 4 % count]].name;

        return hold(world, SL_KIND_NODE, name,
                    turn % 4 == 0 ? SL_VERB_HOLD : SL_VERB_RELEASE, "roll");
    }
    memcpy(label.words[2], world->zones[turn % world->zone_count],
           SL_NAME_BYTES);
    snprintf(label.words[4], SL_NAME_BYTES, "%u", turn);
    return step_label(world, &label);
}

static bool
step_changes(struct SlWorld *world, const struct SlWorldStep *step)
{
    uint32_t count = number(step, 1);
    uint64_t every_us = number(step, 2) * 1000ULL;

    for (uint32_t i = 0; i < count; i++) {
        struct SlWorldStep change = {.word_count = 2, .words = {"change"}};

        snprintf(change.words[1], SL_NAME_BYTES, "%u", i);
        SlWorld_Later(world, every_us * i, &change);
    }
    return count > 0;
}

static bool
step_kill(struct SlWorld *world, const struct SlWorldStep *step)
{
    struct SlWorldNode *node = node_at(world, step->words[1]);

    if (node == NULL) {
        return false;
    }
    SlWorldNode_Kill(node);
    return true;
}

static bool
step_start(struct SlWorld *world, const struct SlWorldStep *step)
{
    struct SlWorldNode *node = node_at(world, step->words[1]);

    if (node == NULL || node->node != NULL) {
        return false;
    }
    SlWorldNode_Start(node);
    return true;
}

static bool
step_restart(struct SlWorld *world, const struct SlWorldStep *step)
{
    return step_kill(world, step) && step_start(world, step);
}

/// The agent's upstream dies with it.
static bool
step_crash(struct SlWorld *world, const struct SlWorldStep *step)
{
    struct SlWorldNode *node = node_at(world, step->words[1]);

    if (node == NULL) {
        return false;
    }
    SlWorldNode_Kill(node);
    SlWorldUpstream_Crash(node);
    return true;
}

static bool
step_boot(struct SlWorld *world, const struct SlWorldStep *step)
{
    if (!step_start(world, step)) {
        return false;
    }
    SlWorldUpstream_Start(node_at(world, step->words[1]));
    return true;
}

/// Everything of a zone dies without a word.
static bool
step_zone_dies(struct SlWorld *world, const struct SlWorldStep *step)
{
    uint32_t zone = SlWorld_FindZone(world, step->words[1]);

    for (uint32_t i = 0; i < world->node_count; i++) {
        struct SlWorldNode *node = &world->nodes[i];

        if (node->zone == zone && !(node->roles & SL_ROLE_CONTROL)) {
            SlWorldNode_Kill(node);
            SlWorldUpstream_Crash(node);
        }
    }
    return zone != WORLD_ZONES_MAX;
}

/// The upstream turned cold again; its connections stay.
static bool
step_cold(struct SlWorld *world, const struct SlWorldStep *step)
{
    struct SlWorldNode *node = node_at(world, step->words[1]);

    if (node == NULL) {
        return false;
    }
    node->upstream.started_us = world->now_us;
    return true;
}

static bool
step_stop(struct SlWorld *world, const struct SlWorldStep *step)
{
    struct SlWorldNode *node = node_at(world, step->words[1]);
    struct SlInput input = {.kind = SL_INPUT_STOP};

    if (node == NULL) {
        return false;
    }
    SlWorldNode_Give(node, &input);
    return true;
}

static bool
step_freeze(struct SlWorld *world, const struct SlWorldStep *step)
{
    struct SlWorldNode *node = node_at(world, step->words[1]);

    if (node == NULL) {
        return false;
    }
    node->stopped = true;
    node->down_us = world->now_us;
    return true;
}

static bool
step_thaw(struct SlWorld *world, const struct SlWorldStep *step)
{
    struct SlWorldNode *node = node_at(world, step->words[1]);

    if (node == NULL) {
        return false;
    }
    node->stopped = false;
    return true;
}

static bool
step_cut(struct SlWorld *world, const struct SlWorldStep *step)
{
    for (uint32_t i = 1; i < step->word_count; i++) {
        struct SlWorldNode *node = node_at(world, step->words[i]);

        if (node == NULL) {
            return false;
        }
        node->side = 1;
    }
    return true;
}

static bool
step_cut_control(struct SlWorld *world, const struct SlWorldStep *step)
{
    for (uint32_t i = 1; i < step->word_count; i++) {
        struct SlWorldNode *node = node_at(world, step->words[i]);

        if (node == NULL) {
            return false;
        }
        node->control_cut = true;
    }
    return true;
}

/// Links that were cut for a while have lost bytes: they end.
static bool
step_heal(struct SlWorld *world, const struct SlWorldStep *step)
{
    (void)step;
    SlWorldLinks_DropCut(world);
    for (uint32_t i = 0; i < world->node_count; i++) {
        world->nodes[i].side = 0;
        world->nodes[i].control_cut = false;
    }
    return true;
}

static bool
step_lag(struct SlWorld *world, const struct SlWorldStep *step)
{
    struct SlWorldNode *node = node_at(world, step->words[1]);

    if (node == NULL) {
        return false;
    }
    node->lag_us = number(step, 2) * 1000ULL;
    return true;
}

static bool
step_flows(struct SlWorld *world, const struct SlWorldStep *step)
{
    uint32_t service = SlWorld_FindService(world, step->words[1]);
    bool forever = strcmp(step->words[3], "forever") == 0;

    if (service == WORLD_SERVICES_MAX || step->word_count < 6) {
        return false;
    }
    SlWorldFlows_Add(world, service, number(step, 2), forever, number(step, 3),
                     number(step, 4), number(step, 5) * 1000ULL);
    return true;
}

/// Marks flows of a service, from its first on.
static bool
step_mark(struct SlWorld *world, const struct SlWorldStep *step)
{
    uint32_t service = SlWorld_FindService(world, step->words[1]);
    bool mute = strcmp(step->words[0], "mute") == 0;
    uint32_t left = number(step, 2);

    for (uint32_t i = 0; i < world->flow_count && left > 0; i++) {
        struct SlWorldFlow *flow = &world->flows[i];

        if (flow->service == service && flow->established) {
            flow->muted = flow->muted || mute;
            flow->idle = flow->idle || !mute;
            left--;
        }
    }
    return service != WORLD_SERVICES_MAX;
}

static void
send_syn(struct SlWorld *world, uint32_t service)
{
    uint8_t bytes[WORLD_PACKET_BYTES];
    struct SlTcpSegment segment = {
        .destination = world->services[service].address,
        .flags = SL_TCP_SYN,
        .seq = SlWorld_Random(world, 1U << 30),
        .window = 1000,
    };

    SlWorldFlow_Address(SlWorld_Random(world, 1 << 24),
                        (uint16_t)SlWorld_Random(world, 60000),
                        &segment.source);
    segment.source.ip[12] = FLOOD_NET;
    SlWorld_Spray(world, bytes,
                  SlPacket_BuildTcp(&segment, bytes, sizeof(bytes)));
}

/// flood SERVICE PER_SECOND MILLISECONDS
static bool
step_flood(struct SlWorld *world, const struct SlWorldStep *step)
{
    uint32_t service = SlWorld_FindService(world, step->words[1]);
    uint32_t left_ms = number(step, 3);
    struct SlWorldStep next = *step;

    if (service == WORLD_SERVICES_MAX) {
        return false;
    }
    for (uint32_t i = 0; i < number(step, 2) / 100; i++) {
        send_syn(world, service);
    }
    if (left_ms > BURST_US / 1000) {
        snprintf(next.words[3], SL_NAME_BYTES, "%u",
                 left_ms - BURST_US / 1000);
        SlWorld_Later(world, BURST_US, &next);
    }
    return true;
}

/// A packet of random kind, flags and service from a random caller.
static void
send_random(struct SlWorld *world)
{
    uint8_t bytes[WORLD_PACKET_BYTES];
    uint8_t payload[16] = {0};
    uint32_t service = SlWorld_Random(world, world->service_count);
    struct SlTcpSegment segment = {
        .destination = world->services[service].address,
        .flags = (uint8_t)SlWorld_Random(world, 32),
        .seq = SlWorld_Random(world, 1U << 30),
        .ack = SlWorld_Random(world, 1U << 30),
        .window = 1000,
        .payload = payload,
        .payload_bytes = SlWorld_Random(world, sizeof(payload)),
    };
    uint32_t length_bytes;

    SlWorldFlow_Address(SlWorld_Random(world, 4096),
                        (uint16_t)SlWorld_Random(world, 16), &segment.source);
    segment.source.ip[12] = RANDOM_NET;
    if (world->services[service].protocol == IPPROTO_TCP) {
        length_bytes = SlPacket_BuildTcp(&segment, bytes, sizeof(bytes));
    }
    else {
        length_bytes =
            SlPacket_BuildUdp(&segment.source, &segment.destination, payload,
                              segment.payload_bytes, bytes, sizeof(bytes));
    }
    SlWorld_Spray(world, bytes, length_bytes);
}

/// random PER_SECOND MILLISECONDS
static bool
step_random(struct SlWorld *world, const struct SlWorldStep *step)
{
    uint32_t left_ms = number(step, 2);
    struct SlWorldStep next = *step;

    for (uint32_t i = 0; i < number(step, 1) / 100; i++) {
        send_random(world);
    }
    if (left_ms > BURST_US / 1000) {
        snprintf(next.words[2], SL_NAME_BYTES, "%u",
                 left_ms - BURST_US / 1000);
        SlWorld_Later(world, BURST_US, &next);
    }
    return true;
}

static bool
step_faults(struct SlWorld *world, const struct SlWorldStep *step)
{
    uint32_t *fault = strcmp(step->words[0], "loss") == 0 ? &world->loss
                      : strcmp(step->words[0], "late") == 0
                          ? &world->late
                          : &world->duplicate;

    *fault = number(step, 1);
    return true;
}

static bool
step_measure(struct SlWorld *world, const struct SlWorldStep *step)
{
    (void)step;
    SlWorld_MeasureImbalance(world);
    return true;
}

/// Forgets the counts of the warming up.
static bool
step_clear(struct SlWorld *world, const struct SlWorldStep *step)
{
    (void)step;
    memset(&world->counts, 0, sizeof(world->counts));
    memset(world->worst_imbalance, 0, sizeof(world->worst_imbalance));
    SlWorld_MoveBaselines(world);
    return true;
}

struct word {
    const char *name;
    step_run *run;
};

static const struct word WORDS[] = {
    {"zone-out", step_zone_out}, {"zone-in", step_zone_in},
    {"drain", step_drain},       {"return", step_return},
    {"label", step_label},       {"delete", step_delete},
    {"change", step_change},     {"changes", step_changes},
    {"kill", step_kill},         {"start", step_start},
    {"restart", step_restart},   {"crash", step_crash},
    {"boot", step_boot},         {"zone-dies", step_zone_dies},
    {"cold", step_cold},         {"stop", step_stop},
    {"freeze", step_freeze},     {"thaw", step_thaw},
    {"cut", step_cut},           {"cut-control", step_cut_control},
    {"heal", step_heal},         {"lag", step_lag},
    {"flows", step_flows},       {"mute", step_mark},
    {"idle", step_mark},         {"flood", step_flood},
    {"random", step_random},     {"loss", step_faults},
    {"late", step_faults},       {"duplicate", step_faults},
    {"measure", step_measure},   {"clear", step_clear},
};

bool
SlWorldStep_Run(struct SlWorld *world, const struct SlWorldStep *step)
{
    bool known = false;
    bool done = false;

    for (size_t i = 0; i < sizeof(WORDS) / sizeof(WORDS[0]); i++) {
        if (strcmp(WORDS[i].name, step->words[0]) == 0) {
            known = true;
            done = WORDS[i].run(world, step);
        }
    }
    if (!known || !done) {
        fprintf(stderr, "step at %.3f s: cannot do \"%s %s\"\n",
                (double)step->time_us / 1e6, step->words[0], step->words[1]);
        world->bad_steps++;
    }
    return known && done;
}
