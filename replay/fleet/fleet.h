#ifndef SAVORYLEDGE_REPLAY_FLEET_H
#define SAVORYLEDGE_REPLAY_FLEET_H

/// A fleet of entries and agents with their upstreams and callers, in one
/// process and on one simulated clock. The relay's cores are the real ones;
/// what stands around them is modelled:
///
/// - A machine's link carries so many bytes a second each way. What does not
///   fit waits, and is dropped when it would wait for too long.
/// - A process has a share of a processor. Each frame, segment and tick costs
///   processor time, and what arrives meanwhile waits in its socket, which
///   holds so many and drops the rest.
/// - Callers keep a flow open for many requests, or open one for each. They
///   send again and come again as callers of the platform do.
///
/// One seed gives the same run each time.

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "savoryledge/coordination/relay_agent.h"
#include "savoryledge/coordination/relay_entry.h"

enum {
    FLEET_ZONES_MAX = 8,
    FLEET_EVENTS_MAX = 8,
    FLEET_SECONDS_MAX = 120,
    /// Upstreams that may hold one flow: copies of its first segment.
    FLEET_HOLDERS_MAX = 4,
};

/// What a machine has.
struct FleetMachine {
    /// Part of a core, in thousandths.
    uint32_t share_permille;
    uint32_t link_bytes_per_s;
    /// What waits longer than this for the link is dropped.
    uint32_t link_queue_ms;
    /// Datagrams that a socket holds.
    uint32_t socket_datagrams;
};

enum FleetEventKind {
    /// Every process ends and starts again with an empty memory; upstreams
    /// keep their flows.
    FLEET_KILL_ALL = 0,
    /// Upstreams end as well, and start cold.
    FLEET_POWER_OFF,
    FLEET_EVENT_KINDS
};

struct FleetEvent {
    enum FleetEventKind kind;
    uint32_t at_ms;
    uint32_t down_ms;
};

struct FleetSettings {
    uint32_t seed;
    uint32_t seconds;
    uint32_t zones;
    uint32_t entries;
    uint32_t agents;
    uint32_t callers;
    /// Of a hundred requests, those that open a flow of their own.
    uint32_t short_percent;
    uint32_t requests_per_s;
    uint32_t slots;
    uint32_t work_us;
    uint32_t objective_ms;
    uint32_t deadline_ms;
    uint32_t loss_permille;
    /// Processor time of one frame, segment or tick on a whole core.
    uint32_t frame_cost_us;
    uint32_t tick_cost_us;
    /// After its start a process takes up to so long until it runs, and then
    /// so long until it has its configuration.
    uint32_t start_ms;
    uint32_t config_ms;
    struct FleetMachine entry;
    struct FleetMachine agent;
    uint32_t event_count;
    struct FleetEvent events[FLEET_EVENTS_MAX];
    /// Expected: from so long after each event on, this share of the requests
    /// of every second is served in time, in thousandths.
    uint32_t expect_after_ms;
    uint32_t expect_permille;
    /// Frames that entries send for a hundred segments in any second, at most.
    uint32_t expect_frames_percent;
};

/// Requests by the second in which they were first sent.
struct FleetWindow {
    uint32_t asked;
    uint32_t in_time;
    uint32_t late;
    uint32_t failed;
    /// Frames that entries sent, and segments that they took.
    uint64_t frames;
    uint64_t segments;
};

struct FleetResult {
    uint32_t seconds;
    struct FleetWindow windows[FLEET_SECONDS_MAX];
    uint64_t searches;
    /// Frames that ask one agent for one flow, and datagrams lost in links and
    /// sockets.
    uint64_t questions;
    uint64_t lost;
};

/// Reads an experiment. Errors: SL_INVALID, SL_IO; message says what is wrong.
enum SlStatus
FleetSettings_Read(const char *path, struct FleetSettings *settings,
                   char *message, size_t message_bytes);

/// Plays the experiment. Errors: SL_NO_MEMORY.
enum SlStatus
Fleet_Run(const struct FleetSettings *settings, struct FleetResult *result);

/// How long after the event at index at, and after its machines are back,
/// every further second up to the next event serves the expected share,
/// milliseconds; UINT32_MAX when none does.
uint32_t
FleetResult_BackAfterMs(const struct FleetSettings *settings,
                        const struct FleetResult *result, uint32_t at);
/// The most frames that entries sent for a hundred segments in any second with
/// a hundred segments or more.
uint32_t
FleetResult_FramesPercent(const struct FleetResult *result);
/// True when the run is as the experiment expects.
bool
FleetResult_IsExpected(const struct FleetSettings *settings,
                       const struct FleetResult *result);

#endif
