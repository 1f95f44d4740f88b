/// The world's clock: takes one event after the other.

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "world.h"

enum {
    FABRIC_NOTICE_US = 1000 * 1000,
    FROZEN_US = 20 * 1000,
    LATE_US = 2 * 1000 * 1000,
    PER = 10000,
};

struct SlWorld *
SlWorld_Create(void)
{
    struct SlWorld *world = (struct SlWorld *)calloc(1, sizeof(*world));

    assert(world != NULL);
    world->links =
        (struct SlWorldLink *)calloc(WORLD_LINKS_MAX, sizeof(*world->links));
    world->flows =
        (struct SlWorldFlow *)calloc(WORLD_FLOWS_MAX, sizeof(*world->flows));
    assert(world->links != NULL && world->flows != NULL);
    world->now_us = WORLD_START_US;
    world->settings = (struct SlWorldSettings){
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
    return world;
}

void
SlWorld_Destroy(struct SlWorld *world)
{
    if (world == NULL) {
        return;
    }
    for (uint32_t i = 0; i < world->node_count; i++) {
        SlNode_Destroy(world->nodes[i].node);
        SlStorage_Destroy(world->nodes[i].storage);
        free(world->nodes[i].upstream.jobs);
    }
    SlWorldQueue_Release(&world->queue);
    free(world->links);
    free(world->flows);
    free(world->changes);
    free(world);
}

uint32_t
SlWorld_Random(struct SlWorld *world, uint32_t below)
{
    uint64_t *state = &world->random;

    *state ^= *state >> 12;
    *state ^= *state << 25;
    *state ^= *state >> 27;
    return below == 0
               ? 0
               : (uint32_t)((*state * 0x2545f4914f6cdd1dULL) >> 33) % below;
}

uint64_t
SlWorld_Jitter(struct SlWorld *world)
{
    return SlWorld_Random(world, world->settings.jitter_us);
}

uint32_t
SlWorld_FindNode(const struct SlWorld *world, const char *name)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        if (strcmp(world->nodes[i].name, name) == 0) {
            return i;
        }
    }
    return WORLD_NODES_MAX;
}

uint32_t
SlWorld_FindZone(const struct SlWorld *world, const char *name)
{
    for (uint32_t i = 0; i < world->zone_count; i++) {
        if (strcmp(world->zones[i], name) == 0) {
            return i;
        }
    }
    return WORLD_ZONES_MAX;
}

uint32_t
SlWorld_FindService(const struct SlWorld *world, const char *name)
{
    for (uint32_t i = 0; i < world->service_count; i++) {
        if (strcmp(world->services[i].name, name) == 0) {
            return i;
        }
    }
    return WORLD_SERVICES_MAX;
}

struct SlWorldWindow *
SlWorld_Window(struct SlWorld *world)
{
    uint64_t window = world->now_us / WORLD_WINDOW_US;

    return &world->windows[window < WORLD_WINDOWS_MAX ? window
                                                      : WORLD_WINDOWS_MAX - 1];
}

void
SlWorld_Later(struct SlWorld *world, uint64_t delay_us,
              const struct SlWorldStep *step)
{
    SlWorldQueue_Push(&world->queue,
                      (struct SlWorldEvent){
                          .time_us = world->now_us + delay_us,
                          .kind = WORLD_STEP,
                          .length_bytes = sizeof(*step),
                          .bytes = SlWorldQueue_Copy(step, sizeof(*step)),
                      });
}

/// True when the fabric still sends packets to the entry.
static bool
takes_packets(const struct SlWorld *world, const struct SlWorldNode *node)
{
    bool dead = node->node == NULL || node->stopped;

    return node->roles & SL_ROLE_ENTRY &&
           (!dead || world->now_us - node->down_us < FABRIC_NOTICE_US);
}

static void
spray_one(struct SlWorld *world, uint64_t delay_us, const uint8_t *bytes,
          uint32_t length_bytes)
{
    uint32_t usable[WORLD_NODES_MAX];
    uint32_t count = 0;
    uint32_t target;

    for (uint32_t i = 0; i < world->node_count; i++) {
        if (takes_packets(world, &world->nodes[i])) {
            usable[count++] = i;
        }
    }
    if (count == 0) {
        return;
    }
    target = usable[SlWorld_Random(world, count)];
    SlWorldQueue_Push(&world->queue,
                      (struct SlWorldEvent){
                          .time_us = world->now_us + delay_us,
                          .kind = WORLD_TO_ENTRY,
                          .target = target,
                          .length_bytes = length_bytes,
                          .bytes = SlWorldQueue_Copy(bytes, length_bytes),
                      });
}

void
SlWorld_Spray(struct SlWorld *world, const uint8_t *bytes,
              uint32_t length_bytes)
{
    uint64_t delay_us = world->settings.client_delay_us;

    if (SlWorld_Random(world, PER) >= world->loss) {
        spray_one(world, delay_us + SlWorld_Jitter(world), bytes,
                  length_bytes);
    }
    if (SlWorld_Random(world, PER) < world->duplicate) {
        spray_one(world, delay_us + 10 * SlWorld_Jitter(world), bytes,
                  length_bytes);
    }
    if (SlWorld_Random(world, PER) < world->late) {
        spray_one(world, delay_us + SlWorld_Random(world, LATE_US), bytes,
                  length_bytes);
    }
}

static void
tick(struct SlWorldNode *node)
{
    struct SlInput input = {.kind = SL_INPUT_TICK};

    SlWorldNode_Give(node, &input);
    SlWorldQueue_Push(&node->world->queue,
                      (struct SlWorldEvent){
                          .time_us = node->world->now_us + SL_TICK_US,
                          .kind = WORLD_TICK,
                          .target = node->index,
                          .epoch = node->epoch,
                      });
}

static void
give_packet(struct SlWorldNode *node, enum SlInputKind kind,
            const struct SlWorldEvent *event)
{
    struct SlInput input = {
        .kind = kind,
        .packet = {.bytes = event->bytes, .length_bytes = event->length_bytes},
    };

    SlWorldNode_Give(node, &input);
}

/// True when the event is for a process that is no more.
static bool
is_stale(const struct SlWorld *world, const struct SlWorldEvent *event)
{
    switch (event->kind) {
    case WORLD_TICK:
    case WORLD_TUNNEL:
    case WORLD_CONNECT:
    case WORLD_MESSAGE:
        return world->nodes[event->target].epoch != event->epoch ||
               world->nodes[event->target].node == NULL;
    default:
        return false;
    }
}

/// True when the event waits because its process is frozen.
static bool
is_frozen(const struct SlWorld *world, const struct SlWorldEvent *event)
{
    switch (event->kind) {
    case WORLD_TICK:
    case WORLD_TUNNEL:
    case WORLD_CONNECT:
    case WORLD_MESSAGE:
    case WORLD_TO_ENTRY:
    case WORLD_TO_AGENT:
        return world->nodes[event->target].stopped;
    default:
        return false;
    }
}

static void
take(struct SlWorld *world, const struct SlWorldEvent *event)
{
    struct SlWorldNode *node = &world->nodes[event->target % WORLD_NODES_MAX];

    switch (event->kind) {
    case WORLD_TICK:
        tick(node);
        break;
    case WORLD_TUNNEL:
        SlWorldNode_TakeTunnel(node, event);
        break;
    case WORLD_CONNECT:
        SlWorldLinks_Connect(world, event);
        break;
    case WORLD_MESSAGE:
        SlWorldLinks_Take(world, event);
        break;
    case WORLD_TO_ENTRY:
        give_packet(node, SL_INPUT_CALLER_PACKET, event);
        break;
    case WORLD_TO_AGENT:
        give_packet(node, SL_INPUT_UPSTREAM_PACKET, event);
        break;
    case WORLD_TO_UPSTREAM:
        SlWorldUpstream_Take(node, event->bytes, event->length_bytes);
        break;
    case WORLD_TO_CALLER:
        SlWorldFlow_Take(world, event->bytes, event->length_bytes);
        break;
    case WORLD_FLOW:
        SlWorldFlow_Timer(world, event->target, event->number);
        break;
    case WORLD_JOB_DONE:
        SlWorldUpstream_JobDone(node, event->number);
        break;
    case WORLD_STEP:
        (void)SlWorldStep_Run(world, (struct SlWorldStep *)event->bytes);
        break;
    case WORLD_OPERATOR:
        SlWorldOperator_Run(world);
        break;
    }
}

static void
start(struct SlWorld *world)
{
    world->random = world->settings.seed * 0x9e3779b97f4a7c15ULL + 1;
    for (uint32_t i = 0; i < world->node_count; i++) {
        SlWorldNode_Start(&world->nodes[i]);
        if (world->nodes[i].roles & SL_ROLE_AGENT) {
            SlWorldUpstream_Start(&world->nodes[i]);
        }
    }
    SlWorldOperator_SetUp(world);
    SlWorldQueue_Push(&world->queue, (struct SlWorldEvent){
                                         .time_us = world->now_us + 1,
                                         .kind = WORLD_OPERATOR,
                                     });
    for (uint32_t i = 0; i < world->step_count; i++) {
        SlWorld_Later(world, world->steps[i].time_us - world->now_us,
                      &world->steps[i]);
    }
}

void
SlWorld_Run(struct SlWorld *world)
{
    struct SlWorldEvent event;

    start(world);
    while (SlWorldQueue_Pop(&world->queue, &event)) {
        world->now_us = event.time_us;
        if (world->now_us >= world->settings.end_us) {
            free(event.bytes);
            break;
        }
        if (is_stale(world, &event)) {
            free(event.bytes);
            continue;
        }
        if (is_frozen(world, &event)) {
            event.time_us += FROZEN_US;
            SlWorldQueue_Push(&world->queue, event);
            continue;
        }
        take(world, &event);
        free(event.bytes);
    }
    SlWorld_MeasureImbalance(world);
}
