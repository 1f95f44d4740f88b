#include <stdlib.h>
#include <string.h>

#include "world.h"

enum {
    PERMILLE = 1000,
    PERCENT = 100,
};

uint64_t
fleet_random(struct fleet *fleet)
{
    /* Marsaglia, 2003: xorshift. */
    fleet->random ^= fleet->random << 13;
    fleet->random ^= fleet->random >> 7;
    fleet->random ^= fleet->random << 17;
    return fleet->random >> 11;
}

void
fleet_add(struct fleet *fleet, uint64_t after_us, enum fleet_kind kind,
          uint32_t target, uint64_t generation,
          struct fleet_datagram *datagram)
{
    struct fleet_task task = {.due_us = fleet->now_us + after_us,
                              .kind = kind,
                              .target = target,
                              .generation = generation,
                              .datagram = datagram};

    if (!fleet_queue_add(&fleet->queue, task)) {
        fleet->out_of_memory = true;
    }
}

struct fleet_datagram *
fleet_datagram(struct fleet *fleet, uint32_t from, const void *bytes,
               uint32_t length_bytes)
{
    struct fleet_datagram *datagram = malloc(sizeof(*datagram) + length_bytes);

    if (datagram == NULL) {
        fleet->out_of_memory = true;
        return NULL;
    }
    *datagram =
        (struct fleet_datagram){.from = from, .length_bytes = length_bytes};
    memcpy(datagram->bytes, bytes, length_bytes);
    return datagram;
}

/// All processes end, and start again one after the other.
static void
strike(struct fleet *fleet, const struct FleetEvent *event)
{
    const struct FleetSettings *settings = fleet->settings;

    for (uint32_t i = 0; i < fleet->host_count; i++) {
        struct fleet_host *host = &fleet->hosts[i];

        fleet_host_stop(host);
        if (!host->is_entry && event->kind == FLEET_POWER_OFF) {
            host->upstream.born = 0;
        }
        fleet_add(fleet,
                  (uint64_t)event->down_ms * US_PER_MS +
                      fleet_random(fleet) %
                          ((uint64_t)settings->start_ms * US_PER_MS + 1),
                  FLEET_START, i, host->generation, NULL);
    }
}

static void
start(struct fleet *fleet, struct fleet_host *host)
{
    fleet_host_start(host);
    if (fleet->out_of_memory) {
        return;
    }
    if (!host->is_entry && host->upstream.born == 0) {
        fleet_upstream_restart(host);
    }
    fleet_add(fleet, (uint64_t)fleet->settings->config_ms * US_PER_MS,
              FLEET_CONFIGURE, host->number, host->generation, NULL);
}

/// Tasks of hosts. False when the task is none of them.
static bool
do_host_task(struct fleet *fleet, struct fleet_task *task)
{
    struct fleet_host *host =
        task->target < fleet->host_count ? &fleet->hosts[task->target] : NULL;
    bool is_present = host != NULL && task->generation == host->generation;

    switch (task->kind) {
    case FLEET_AT_LINK:
        fleet_host_at_link(host, task->datagram);
        task->datagram = NULL;
        return true;
    case FLEET_AT_SOCKET:
        fleet_host_at_socket(host, task->datagram);
        task->datagram = NULL;
        return true;
    case FLEET_RUN:
        if (is_present) {
            fleet_host_run(host);
        }
        return true;
    case FLEET_TICK:
        if (is_present) {
            fleet_host_tick(host);
        }
        return true;
    case FLEET_START:
        if (is_present) {
            start(fleet, host);
        }
        return true;
    case FLEET_CONFIGURE:
        if (is_present) {
            fleet_host_configure(host);
        }
        return true;
    default:
        return false;
    }
}

static void
do_task(struct fleet *fleet, struct fleet_task *task)
{
    struct fleet_host *host;

    if (do_host_task(fleet, task)) {
        return;
    }
    switch (task->kind) {
    case FLEET_NOTICE:
    case FLEET_TO_UPSTREAM:
        host = &fleet->hosts[task->target];
        if (task->generation != host->upstream.born) {
            return;
        }
        if (task->kind == FLEET_NOTICE) {
            fleet_upstream_notice(host);
        }
        else {
            fleet_upstream_take(host, task->datagram);
        }
        return;
    case FLEET_ANSWER:
        fleet_upstream_answer(&fleet->hosts[task->target], task->generation);
        return;
    case FLEET_TO_CALLER:
        fleet_caller_take(fleet, task->datagram);
        return;
    case FLEET_ARRIVAL:
        fleet_caller_arrival(fleet);
        return;
    case FLEET_CALLER:
        if (task->generation == fleet->callers[task->target].generation) {
            fleet_caller_timer(fleet, &fleet->callers[task->target]);
        }
        return;
    default:
        strike(fleet, &fleet->settings->events[task->target]);
        return;
    }
}

static enum SlStatus
begin(struct fleet *fleet)
{
    enum SlStatus status = fleet_create_hosts(fleet);

    if (status == SL_OK) {
        status = fleet_create_callers(fleet);
    }
    for (uint32_t i = 0; status == SL_OK && i < fleet->host_count; i++) {
        start(fleet, &fleet->hosts[i]);
        fleet_host_configure(&fleet->hosts[i]);
        fleet->hosts[i].upstream.cold_until_us = 0;
    }
    for (uint32_t i = 0; i < fleet->settings->event_count; i++) {
        fleet_add(fleet,
                  (uint64_t)fleet->settings->events[i].at_ms * US_PER_MS,
                  FLEET_TROUBLE, i, 0, NULL);
    }
    return status;
}

enum SlStatus
Fleet_Run(const struct FleetSettings *settings, struct FleetResult *result)
{
    struct fleet fleet = {.settings = settings,
                          .result = result,
                          .random = settings->seed * UINT64_C(2654435761) +
                                    UINT64_C(88172645463325252)};
    uint64_t end_us = (uint64_t)settings->seconds * US_PER_S;
    struct fleet_task task;
    enum SlStatus status;

    *result = (struct FleetResult){.seconds = settings->seconds};
    status = begin(&fleet);
    while (status == SL_OK && !fleet.out_of_memory &&
           fleet_queue_take(&fleet.queue, &task)) {
        fleet.now_us = task.due_us;
        if (fleet.now_us >= end_us) {
            free(task.datagram);
            break;
        }
        do_task(&fleet, &task);
        free(task.datagram);
    }
    fleet_queue_release(&fleet.queue);
    fleet_destroy_hosts(&fleet);
    free(fleet.callers);
    free(fleet.idle);
    free(fleet.flows);
    return fleet.out_of_memory ? SL_NO_MEMORY : status;
}

static bool
is_served(const struct FleetSettings *settings,
          const struct FleetWindow *window)
{
    return (uint64_t)window->in_time * PERMILLE >=
           (uint64_t)window->asked * settings->expect_permille;
}

/// The last whole second whose requests have all ended when the run ends.
static uint32_t
last_second(const struct FleetSettings *settings)
{
    return settings->seconds - settings->deadline_ms / US_PER_MS - 1;
}

uint32_t
FleetResult_BackAfterMs(const struct FleetSettings *settings,
                        const struct FleetResult *result, uint32_t at)
{
    const struct FleetEvent *event = &settings->events[at];
    uint32_t struck_s = event->at_ms / US_PER_MS;
    uint32_t end_s = at + 1 < settings->event_count
                         ? settings->events[at + 1].at_ms / US_PER_MS
                         : last_second(settings);
    uint32_t back_s = end_s;

    while (back_s > struck_s &&
           is_served(settings, &result->windows[back_s - 1])) {
        back_s--;
    }
    if (back_s == end_s) {
        return UINT32_MAX;
    }
    return back_s * US_PER_MS > event->at_ms + event->down_ms
               ? back_s * US_PER_MS - event->at_ms - event->down_ms
               : 0;
}

uint32_t
FleetResult_FramesPercent(const struct FleetResult *result)
{
    uint32_t most = 0;

    for (uint32_t i = 0; i < result->seconds; i++) {
        const struct FleetWindow *window = &result->windows[i];

        if (window->segments >= PERCENT &&
            window->frames * PERCENT / window->segments > most) {
            most = (uint32_t)(window->frames * PERCENT / window->segments);
        }
    }
    return most;
}

bool
FleetResult_IsExpected(const struct FleetSettings *settings,
                       const struct FleetResult *result)
{
    for (uint32_t i = 0; i < settings->event_count; i++) {
        if (FleetResult_BackAfterMs(settings, result, i) >
            settings->expect_after_ms) {
            return false;
        }
    }
    return FleetResult_FramesPercent(result) <=
           settings->expect_frames_percent;
}
