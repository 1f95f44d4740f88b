#ifndef SAVORYLEDGE_REPLAY_FLEET_H
#define SAVORYLEDGE_REPLAY_FLEET_H

/// A simulation of a fleet of entries and agents with their upstreams and
/// callers, in one process and on one simulated clock. The relay's cores are
/// those of the product; links, processors and callers are modelled:
///
/// - The link of a machine carries a limited number of bytes a second in each
///   direction. Datagrams above that rate wait, and are dropped when they
///   would wait for too long.
/// - A process has a share of a processor. Each frame, segment and tick costs
///   processor time. Datagrams that arrive meanwhile wait in the socket, which
///   drops the datagrams above its capacity.
/// - Callers keep a flow open for many requests, or open a flow for each
///   request. They resend segments and retry requests as callers of the
///   platform do.
///
/// Equal seeds give equal runs.

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "savoryledge/coordination/relay_agent.h"
#include "savoryledge/coordination/relay_entry.h"

enum {
    FLEET_ZONES_MAX = 8,
    FLEET_EVENTS_MAX = 8,
    FLEET_SECONDS_MAX = 120,
    /// Maximum number of upstreams that hold the same flow: copies of its
    /// first segment can reach several upstreams.
    FLEET_HOLDERS_MAX = 4,
};

/// The resources of a machine.
struct FleetMachine {
    /// Share of a processor core, in thousandths.
    uint32_t share_permille;
    uint32_t link_bytes_per_s;
    /// Datagrams that would wait longer than this for the link are dropped.
    uint32_t link_queue_ms;
    /// Number of datagrams that a socket can hold.
    uint32_t socket_datagrams;
};

enum FleetEventKind {
    /// Every process ends and starts again with empty memory. Upstreams keep
    /// their flows.
    FLEET_KILL_ALL = 0,
    /// As FLEET_KILL_ALL, but upstreams end as well and start cold.
    FLEET_POWER_OFF,
    FLEET_EVENT_KINDS
};

struct FleetEvent {
    enum FleetEventKind kind;
    uint32_t time_ms;
    uint32_t down_ms;
};

struct FleetSettings {
    uint32_t seed;
    uint32_t seconds;
    uint32_t zones;
    uint32_t entries;
    uint32_t agents;
    uint32_t callers;
    /// Percentage of requests that open a flow of their own.
    uint32_t short_percent;
    uint32_t requests_per_s;
    uint32_t slots;
    uint32_t work_us;
    uint32_t objective_ms;
    uint32_t deadline_ms;
    uint32_t loss_permille;
    /// Processor time of one frame or segment, and of one tick, on a whole
    /// core.
    uint32_t frame_cost_us;
    uint32_t tick_cost_us;
    /// Longest time from the start of a process until it runs, and time from
    /// then until it has its configuration.
    uint32_t start_ms;
    uint32_t config_ms;
    struct FleetMachine entry;
    struct FleetMachine agent;
    uint32_t event_count;
    struct FleetEvent events[FLEET_EVENTS_MAX];
    /// Expectation: from expect_after_ms after each event on, at least
    /// expect_permille thousandths of the requests of every second are served
    /// in time.
    uint32_t expect_after_ms;
    uint32_t expect_permille;
    /// Expectation: maximum number of frames that entries send for a hundred
    /// segments in any second.
    uint32_t expect_frames_percent;
};

/// Counts of the requests that were first sent within one second of the run.
struct FleetWindow {
    uint32_t requested;
    uint32_t in_time;
    uint32_t late;
    uint32_t failed;
    /// Number of frames that entries sent, and of segments that they received.
    uint64_t frames;
    uint64_t segments;
};

struct FleetResult {
    uint32_t seconds;
    struct FleetWindow windows[FLEET_SECONDS_MAX];
    uint64_t searches;
    /// Query frames, each to one agent about one flow, and datagrams lost in
    /// links and sockets.
    uint64_t queries;
    uint64_t lost;
};

/// Reads the settings of an experiment from a file. Errors: SL_INVALID, SL_IO,
/// with a description of the fault in message.
enum SlStatus
FleetSettings_Read(const char *path, struct FleetSettings *settings,
                   char *message, size_t message_bytes);

/// Runs the experiment. Errors: SL_NO_MEMORY.
enum SlStatus
Fleet_Run(const struct FleetSettings *settings, struct FleetResult *result);

/// Returns the time from the restart of the machines after an event until
/// every further second up to the next event serves the expected share, in
/// milliseconds. Returns UINT32_MAX when the last of these seconds serves
/// less than that share.
uint32_t
FleetResult_RecoveryMs(const struct FleetSettings *settings,
                       const struct FleetResult *result, uint32_t event_index);
/// Returns the maximum number of frames that entries sent for a hundred
/// segments, over all seconds with a hundred segments or more.
uint32_t
FleetResult_FramesPercent(const struct FleetResult *result);
/// Returns true when the run meets the expectations of the experiment.
bool
FleetResult_IsExpected(const struct FleetSettings *settings,
                       const struct FleetResult *result);

#endif
