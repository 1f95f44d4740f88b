#include <stdlib.h>
#include <string.h>

#include "fleet_internal.h"

enum {
    PERMILLE = 1000,
    PERCENT = 100,
};

uint64_t
fleet_random(struct fleet *fleet)
{
    /* Xorshift generator (Marsaglia, 2003). */
    fleet->random_state ^= fleet->random_state << 13;
    fleet->random_state ^= fleet->random_state >> 7;
    fleet->random_state ^= fleet->random_state << 17;
    return fleet->random_state >> 11;
}

uint64_t
fleet_wall_ms(const struct fleet *fleet)
{
    return FLEET_WALL_MS + fleet->now_us / US_PER_MS;
}

void
fleet_schedule(struct fleet *fleet, uint64_t after_us,
               enum fleet_task_kind kind, uint32_t target, uint64_t generation,
               struct fleet_datagram *datagram)
{
    struct fleet_task task = {.due_us = fleet->now_us + after_us,
                              .kind = kind,
                              .target = target,
                              .generation = generation,
                              .datagram = datagram};

    if (!fleet_queue_push(&fleet->queue, task)) {
        fleet->out_of_memory = true;
    }
}

struct fleet_datagram *
fleet_create_datagram(struct fleet *fleet, uint32_t from, const void *bytes,
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

/// Applies an event: stops all processes, and schedules their starts at random
/// times.
static void
apply_event(struct fleet *fleet, const struct FleetEvent *event)
{
    const struct FleetSettings *settings = fleet->settings;

    for (uint32_t i = 0; i < fleet->host_count; i++) {
        struct fleet_host *host = &fleet->hosts[i];

        fleet_host_stop(host);
        if (!host->is_entry && event->kind == FLEET_POWER_OFF) {
            host->upstream.incarnation = 0;
        }
        fleet_schedule(fleet,
                       (uint64_t)event->down_ms * US_PER_MS +
                           fleet_random(fleet) %
                               ((uint64_t)settings->start_ms * US_PER_MS + 1),
                       FLEET_TASK_HOST_START, i, host->generation, NULL);
    }
}

static void
start_host(struct fleet *fleet, struct fleet_host *host)
{
    fleet_host_start(host);
    if (fleet->out_of_memory) {
        return;
    }
    if (!host->is_entry && host->upstream.incarnation == 0) {
        fleet_upstream_restart(host);
    }
    fleet_schedule(fleet, (uint64_t)fleet->settings->config_ms * US_PER_MS,
                   FLEET_TASK_HOST_CONFIGURE, host->number, host->generation,
                   NULL);
}

/// Runs a task of a host. Returns false when the task is of another kind.
static bool
run_host_task(struct fleet *fleet, struct fleet_task *task)
{
    struct fleet_host *host =
        task->target < fleet->host_count ? &fleet->hosts[task->target] : NULL;
    bool is_current = host != NULL && task->generation == host->generation;

    switch (task->kind) {
    case FLEET_TASK_LINK_ARRIVAL:
        fleet_host_receive_at_link(host, task->datagram);
        task->datagram = NULL;
        return true;
    case FLEET_TASK_SOCKET_ARRIVAL:
        fleet_host_receive_at_socket(host, task->datagram);
        task->datagram = NULL;
        return true;
    case FLEET_TASK_HOST_RUN:
        if (is_current) {
            fleet_host_run_step(host);
        }
        return true;
    case FLEET_TASK_HOST_TICK:
        if (is_current) {
            fleet_host_tick(host);
        }
        return true;
    case FLEET_TASK_HOST_START:
        if (is_current) {
            start_host(fleet, host);
        }
        return true;
    case FLEET_TASK_HOST_CONFIGURE:
        if (is_current) {
            fleet_host_configure(host);
        }
        return true;
    default:
        return false;
    }
}

static void
run_task(struct fleet *fleet, struct fleet_task *task)
{
    struct fleet_host *host;

    if (run_host_task(fleet, task)) {
        return;
    }
    switch (task->kind) {
    case FLEET_TASK_UPSTREAM_STATUS:
    case FLEET_TASK_SEGMENT_TO_UPSTREAM:
        host = &fleet->hosts[task->target];
        if (task->generation != host->upstream.incarnation) {
            return;
        }
        if (task->kind == FLEET_TASK_UPSTREAM_STATUS) {
            fleet_upstream_report_status(host);
        }
        else {
            fleet_upstream_receive(host, task->datagram);
        }
        return;
    case FLEET_TASK_UPSTREAM_ANSWER:
        fleet_upstream_send_answer(&fleet->hosts[task->target],
                                   task->generation);
        return;
    case FLEET_TASK_SEGMENT_TO_CALLER:
        fleet_caller_receive(fleet, task->datagram);
        return;
    case FLEET_TASK_REQUEST_ARRIVAL:
        fleet_start_next_request(fleet);
        return;
    case FLEET_TASK_CALLER_TIMER:
        if (task->generation == fleet->callers[task->target].generation) {
            fleet_caller_handle_timer(fleet, &fleet->callers[task->target]);
        }
        return;
    default:
        apply_event(fleet, &fleet->settings->events[task->target]);
        return;
    }
}

static enum SlStatus
start_fleet(struct fleet *fleet)
{
    enum SlStatus status = fleet_create_hosts(fleet);

    if (status == SL_OK) {
        status = fleet_create_callers(fleet);
    }
    for (uint32_t i = 0; status == SL_OK && i < fleet->host_count; i++) {
        start_host(fleet, &fleet->hosts[i]);
        fleet_host_configure(&fleet->hosts[i]);
        fleet->hosts[i].upstream.cold_until_us = 0;
    }
    for (uint32_t i = 0; i < fleet->settings->event_count; i++) {
        fleet_schedule(
            fleet, (uint64_t)fleet->settings->events[i].time_ms * US_PER_MS,
            FLEET_TASK_FLEET_EVENT, i, 0, NULL);
    }
    return status;
}

enum SlStatus
Fleet_Run(const struct FleetSettings *settings, struct FleetResult *result)
{
    struct fleet fleet = {.settings = settings,
                          .result = result,
                          .random_state =
                              settings->seed * UINT64_C(2654435761) +
                              UINT64_C(88172645463325252)};
    uint64_t end_us = (uint64_t)settings->seconds * US_PER_S;
    struct fleet_task task;
    enum SlStatus status;

    *result = (struct FleetResult){.seconds = settings->seconds};
    status = start_fleet(&fleet);
    while (status == SL_OK && !fleet.out_of_memory &&
           fleet_queue_pop(&fleet.queue, &task)) {
        fleet.now_us = task.due_us;
        if (fleet.now_us >= end_us) {
            free(task.datagram);
            break;
        }
        run_task(&fleet, &task);
        free(task.datagram);
    }
    fleet_queue_release(&fleet.queue);
    fleet_destroy_hosts(&fleet);
    free(fleet.callers);
    free(fleet.idle_callers);
    free(fleet.flows);
    return fleet.out_of_memory ? SL_NO_MEMORY : status;
}

static bool
serves_expected_share(const struct FleetSettings *settings,
                      const struct FleetWindow *window)
{
    return (uint64_t)window->in_time * PERMILLE >=
           (uint64_t)window->requested * settings->expect_permille;
}

/// Returns the end of the seconds whose requests have all ended before the run
/// ends.
static uint32_t
end_of_finished_seconds(const struct FleetSettings *settings)
{
    return settings->seconds - settings->deadline_ms / US_PER_MS - 1;
}

uint32_t
FleetResult_RecoveryMs(const struct FleetSettings *settings,
                       const struct FleetResult *result, uint32_t event_index)
{
    const struct FleetEvent *event = &settings->events[event_index];
    uint32_t event_s = event->time_ms / US_PER_MS;
    uint32_t end_s =
        event_index + 1 < settings->event_count
            ? settings->events[event_index + 1].time_ms / US_PER_MS
            : end_of_finished_seconds(settings);
    uint32_t recovered_s = end_s;

    while (
        recovered_s > event_s &&
        serves_expected_share(settings, &result->windows[recovered_s - 1])) {
        recovered_s--;
    }
    if (recovered_s == end_s) {
        return UINT32_MAX;
    }
    return recovered_s * US_PER_MS > event->time_ms + event->down_ms
               ? recovered_s * US_PER_MS - event->time_ms - event->down_ms
               : 0;
}

uint32_t
FleetResult_FramesPercent(const struct FleetResult *result)
{
    uint32_t max = 0;

    for (uint32_t i = 0; i < result->seconds; i++) {
        const struct FleetWindow *window = &result->windows[i];

        if (window->segments >= PERCENT &&
            window->frames * PERCENT / window->segments > max) {
            max = (uint32_t)(window->frames * PERCENT / window->segments);
        }
    }
    return max;
}

bool
FleetResult_IsExpected(const struct FleetSettings *settings,
                       const struct FleetResult *result)
{
    for (uint32_t i = 0; i < settings->event_count; i++) {
        if (FleetResult_RecoveryMs(settings, result, i) >
            settings->expect_after_ms) {
            return false;
        }
    }
    return FleetResult_FramesPercent(result) <=
           settings->expect_frames_percent;
}
