/// The simulation's main loop: takes events from the queue in the order of
/// their times.

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "simulation.h"

enum {
    FABRIC_DETECTION_US = 1000 * 1000,
    FROZEN_RETRY_US = 20 * 1000,
    LATE_COPY_MAX_US = 2 * 1000 * 1000,
    FAULT_RATE_SCALE = 10000,
};

struct SlSim *
SlSim_Create(void)
{
    struct SlSim *sim = (struct SlSim *)calloc(1, sizeof(*sim));

    assert(sim != NULL);
    sim->links =
        (struct SlSimLink *)calloc(SIM_LINKS_MAX, sizeof(*sim->links));
    sim->flows =
        (struct SlSimFlow *)calloc(SIM_FLOWS_MAX, sizeof(*sim->flows));
    assert(sim->links != NULL && sim->flows != NULL);
    sim->now_us = SIM_START_US;
    sim->settings = (struct SlSimSettings){
        .seed = 1,
        .entries = 4,
        .controls = 1,
        .client_delay_us = 1000,
        .zone_delay_us = 500,
        .jitter_us = 200,
        .service_time_us = 2000,
        .cold_ms = 5000,
        .cold_factor = 4,
    };
    return sim;
}

void
SlSim_Destroy(struct SlSim *sim)
{
    if (sim == NULL) {
        return;
    }
    for (uint32_t i = 0; i < sim->node_count; i++) {
        SlNode_Destroy(sim->nodes[i].node);
        SlStorage_Destroy(sim->nodes[i].storage);
        free(sim->nodes[i].upstream.jobs);
    }
    SlSimQueue_Release(&sim->queue);
    free(sim->links);
    free(sim->flows);
    free(sim->changes);
    free(sim);
}

uint32_t
SlSim_Random(struct SlSim *sim, uint32_t below)
{
    uint64_t *state = &sim->random_state;

    *state ^= *state >> 12;
    *state ^= *state << 25;
    *state ^= *state >> 27;
    return below == 0
               ? 0
               : (uint32_t)((*state * 0x2545f4914f6cdd1dULL) >> 33) % below;
}

uint64_t
SlSim_Jitter(struct SlSim *sim)
{
    return SlSim_Random(sim, sim->settings.jitter_us);
}

uint32_t
SlSim_FindNode(const struct SlSim *sim, const char *name)
{
    for (uint32_t i = 0; i < sim->node_count; i++) {
        if (strcmp(sim->nodes[i].name, name) == 0) {
            return i;
        }
    }
    return SIM_NODES_MAX;
}

uint32_t
SlSim_FindZone(const struct SlSim *sim, const char *name)
{
    for (uint32_t i = 0; i < sim->zone_count; i++) {
        if (strcmp(sim->zones[i], name) == 0) {
            return i;
        }
    }
    return SIM_ZONES_MAX;
}

uint32_t
SlSim_FindService(const struct SlSim *sim, const char *name)
{
    for (uint32_t i = 0; i < sim->service_count; i++) {
        if (strcmp(sim->services[i].name, name) == 0) {
            return i;
        }
    }
    return SIM_SERVICES_MAX;
}

struct SlSimWindow *
SlSim_CurrentWindow(struct SlSim *sim)
{
    uint64_t window = sim->now_us / SIM_WINDOW_US;

    return &sim->windows[window < SIM_WINDOWS_MAX ? window
                                                  : SIM_WINDOWS_MAX - 1];
}

void
SlSim_ScheduleStep(struct SlSim *sim, uint64_t delay_us,
                   const struct SlSimStep *step)
{
    SlSimQueue_Push(&sim->queue,
                    (struct SlSimEvent){
                        .time_us = sim->now_us + delay_us,
                        .kind = SIM_TRACE_STEP,
                        .length_bytes = sizeof(*step),
                        .bytes = SlSimQueue_CopyBytes(step, sizeof(*step)),
                    });
}

/// Returns true when the fabric still routes packets to the entry.
static bool
is_routable_entry(const struct SlSim *sim, const struct SlSimNode *node)
{
    bool dead = node->node == NULL || node->frozen;

    return node->roles & SL_ROLE_ENTRY &&
           (!dead || sim->now_us - node->down_us < FABRIC_DETECTION_US);
}

static void
send_to_random_entry(struct SlSim *sim, uint64_t delay_us,
                     const uint8_t *bytes, uint32_t length_bytes)
{
    uint32_t usable_nodes[SIM_NODES_MAX];
    uint32_t count = 0;
    uint32_t target;

    for (uint32_t i = 0; i < sim->node_count; i++) {
        if (is_routable_entry(sim, &sim->nodes[i])) {
            usable_nodes[count++] = i;
        }
    }
    if (count == 0) {
        return;
    }
    target = usable_nodes[SlSim_Random(sim, count)];
    SlSimQueue_Push(&sim->queue,
                    (struct SlSimEvent){
                        .time_us = sim->now_us + delay_us,
                        .kind = SIM_PACKET_TO_ENTRY,
                        .target = target,
                        .length_bytes = length_bytes,
                        .bytes = SlSimQueue_CopyBytes(bytes, length_bytes),
                    });
}

void
SlSim_SprayPacket(struct SlSim *sim, const uint8_t *bytes,
                  uint32_t length_bytes)
{
    uint64_t delay_us = sim->settings.client_delay_us;

    if (SlSim_Random(sim, FAULT_RATE_SCALE) >= sim->loss_per_10000) {
        send_to_random_entry(sim, delay_us + SlSim_Jitter(sim), bytes,
                             length_bytes);
    }
    if (SlSim_Random(sim, FAULT_RATE_SCALE) < sim->duplicate_per_10000) {
        send_to_random_entry(sim, delay_us + 10 * SlSim_Jitter(sim), bytes,
                             length_bytes);
    }
    if (SlSim_Random(sim, FAULT_RATE_SCALE) < sim->late_per_10000) {
        send_to_random_entry(sim,
                             delay_us + SlSim_Random(sim, LATE_COPY_MAX_US),
                             bytes, length_bytes);
    }
}

static void
tick_node(struct SlSimNode *node)
{
    struct SlInput input = {.kind = SL_INPUT_TICK};

    SlSimNode_HandleInput(node, &input);
    SlSimQueue_Push(&node->sim->queue,
                    (struct SlSimEvent){
                        .time_us = node->sim->now_us + SL_TICK_US,
                        .kind = SIM_TICK,
                        .target = node->index,
                        .epoch = node->epoch,
                    });
}

static void
handle_packet(struct SlSimNode *node, enum SlInputKind kind,
              const struct SlSimEvent *event)
{
    struct SlInput input = {
        .kind = kind,
        .packet = {.bytes = event->bytes, .length_bytes = event->length_bytes},
    };

    SlSimNode_HandleInput(node, &input);
}

/// Returns true when the event is for a process that has ended.
static bool
is_for_ended_process(const struct SlSim *sim, const struct SlSimEvent *event)
{
    switch (event->kind) {
    case SIM_TICK:
    case SIM_TUNNEL_DATAGRAM:
    case SIM_LINK_CONNECT:
    case SIM_LINK_MESSAGE:
        return sim->nodes[event->target].epoch != event->epoch ||
               sim->nodes[event->target].node == NULL;
    default:
        return false;
    }
}

/// Returns true when the event has to wait because its process is frozen.
static bool
is_target_frozen(const struct SlSim *sim, const struct SlSimEvent *event)
{
    switch (event->kind) {
    case SIM_TICK:
    case SIM_TUNNEL_DATAGRAM:
    case SIM_LINK_CONNECT:
    case SIM_LINK_MESSAGE:
    case SIM_PACKET_TO_ENTRY:
    case SIM_PACKET_TO_AGENT:
        return sim->nodes[event->target].frozen;
    default:
        return false;
    }
}

static void
dispatch_event(struct SlSim *sim, const struct SlSimEvent *event)
{
    struct SlSimNode *node = &sim->nodes[event->target % SIM_NODES_MAX];

    switch (event->kind) {
    case SIM_TICK:
        tick_node(node);
        break;
    case SIM_TUNNEL_DATAGRAM:
        SlSimNode_ReceiveTunnel(node, event);
        break;
    case SIM_LINK_CONNECT:
        SlSimLinks_Connect(sim, event);
        break;
    case SIM_LINK_MESSAGE:
        SlSimLinks_Receive(sim, event);
        break;
    case SIM_PACKET_TO_ENTRY:
        handle_packet(node, SL_INPUT_CALLER_PACKET, event);
        break;
    case SIM_PACKET_TO_AGENT:
        handle_packet(node, SL_INPUT_UPSTREAM_PACKET, event);
        break;
    case SIM_PACKET_TO_UPSTREAM:
        SlSimUpstream_Receive(node, event->bytes, event->length_bytes);
        break;
    case SIM_PACKET_TO_CALLER:
        SlSimFlow_Receive(sim, event->bytes, event->length_bytes);
        break;
    case SIM_FLOW_TIMER:
        SlSimFlow_HandleTimer(sim, event->target, event->number);
        break;
    case SIM_JOB_DONE:
        SlSimUpstream_FinishJob(node, event->number);
        break;
    case SIM_TRACE_STEP:
        (void)SlSimStep_Run(sim, (struct SlSimStep *)event->bytes);
        break;
    case SIM_OPERATOR_POLL:
        SlSimOperator_Poll(sim);
        break;
    }
}

static void
start_simulation(struct SlSim *sim)
{
    sim->random_state = sim->settings.seed * 0x9e3779b97f4a7c15ULL + 1;
    for (uint32_t i = 0; i < sim->node_count; i++) {
        SlSimNode_Start(&sim->nodes[i]);
        if (sim->nodes[i].roles & SL_ROLE_AGENT) {
            SlSimUpstream_Start(&sim->nodes[i]);
        }
    }
    SlSimOperator_QueueInitialChanges(sim);
    SlSimQueue_Push(&sim->queue, (struct SlSimEvent){
                                     .time_us = sim->now_us + 1,
                                     .kind = SIM_OPERATOR_POLL,
                                 });
    for (uint32_t i = 0; i < sim->step_count; i++) {
        SlSim_ScheduleStep(sim, sim->steps[i].time_us - sim->now_us,
                           &sim->steps[i]);
    }
}

void
SlSim_Run(struct SlSim *sim)
{
    struct SlSimEvent event;

    start_simulation(sim);
    while (SlSimQueue_Pop(&sim->queue, &event)) {
        sim->now_us = event.time_us;
        if (sim->now_us >= sim->settings.end_us) {
            free(event.bytes);
            break;
        }
        if (is_for_ended_process(sim, &event)) {
            free(event.bytes);
            continue;
        }
        if (is_target_frozen(sim, &event)) {
            event.time_us += FROZEN_RETRY_US;
            SlSimQueue_Push(&sim->queue, event);
            continue;
        }
        dispatch_event(sim, &event);
        free(event.bytes);
    }
    SlSim_MeasureImbalance(sim);
}
