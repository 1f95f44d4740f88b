#ifndef SAVORYLEDGE_REPLAY_FLEET_INTERNAL_H
#define SAVORYLEDGE_REPLAY_FLEET_INTERNAL_H

/// The parts of a fleet: hosts.c simulates links and processors and drives the
/// relay's cores, upstreams.c simulates the upstreams of agents, callers.c the
/// callers, and run.c runs the tasks and events.

#include "fleet.h"
#include "queue.h"

enum {
    FLEET_PORT = 443,
    US_PER_MS = 1000,
    US_PER_S = 1000 * 1000,
    /// One-way delay between machines, and between callers and machines.
    FLEET_ONE_WAY_DELAY_US = 900,
    /// Bytes of the UDP and IPv4 headers.
    FLEET_HEADER_BYTES = 28,
    /// The wall clock at the time 0 of the simulation.
    FLEET_WALL_MS = 1000 * 1000,
};

struct fleet;

/// The state of a flow at one upstream.
struct fleet_hold {
    uint32_t agent;
    /// Incarnation of the upstream that holds the flow.
    uint64_t incarnation;
    /// Initial sequence number of the upstream.
    uint32_t initial_seq;
    bool open;
    bool in_progress;
};

/// A flow. Its number is part of the caller's address.
struct fleet_flow {
    uint32_t caller;
    uint32_t hold_count;
    struct fleet_hold holds[FLEET_HOLDERS_MAX];
};

struct fleet_upstream {
    /// Start time by the wall clock, milliseconds; 0 while the upstream is
    /// down.
    uint64_t incarnation;
    uint64_t seq;
    uint64_t cold_until_us;
    /// Times from which each slot of the upstream is free.
    uint64_t *slots_free_us;
    /// Number of requests that wait or are being processed.
    uint32_t in_progress;
};

/// A machine with one process: an entry, or an agent beside its upstream.
struct fleet_host {
    struct SlRelaySink sink;
    struct fleet *fleet;
    uint32_t number;
    bool is_entry;
    uint32_t zone;
    char name[SL_NAME_BYTES];
    struct SlAddress address;
    const struct FleetMachine *machine;
    struct SlRelayEntry *entry;
    struct SlRelayAgent *agent;
    struct fleet_upstream upstream;
    /// Grows when the process stops, so that tasks for the former process are
    /// dropped.
    uint64_t generation;
    bool is_running;
    /// Times until which the outgoing link, the incoming link and the
    /// processor are busy.
    uint64_t link_out_busy_until_us;
    uint64_t link_in_busy_until_us;
    uint64_t busy_until_us;
    /// Number of datagrams that wait in the socket, and the list of them.
    uint32_t socket_count;
    struct fleet_datagram *socket_head;
    struct fleet_datagram **socket_tail;
    bool tick_due;
    bool run_scheduled;
    /// Datagrams and segments that the core sent in the current step; each
    /// costs processor time.
    uint32_t sent_count;
};

enum fleet_caller_phase {
    FLEET_CALLER_IDLE = 0,
    FLEET_CALLER_OPENING,
    FLEET_CALLER_AWAITING_ANSWER,
};

struct fleet_caller {
    uint32_t zone;
    bool is_short;
    enum fleet_caller_phase phase;
    /// Number of the flow that the caller uses; UINT32_MAX when it uses none.
    uint32_t flow;
    bool opened;
    uint32_t seq;
    uint32_t ack;
    /// Times at which the request was first sent and the current attempt
    /// began.
    uint64_t first_sent_us;
    uint64_t attempt_us;
    uint32_t copies_sent;
    uint32_t retries;
    uint64_t generation;
};

struct fleet {
    const struct FleetSettings *settings;
    struct FleetResult *result;
    uint64_t now_us;
    uint64_t random_state;
    struct fleet_queue queue;
    bool out_of_memory;
    struct SlConfig *config;
    struct SlPlan *plan;
    uint32_t host_count;
    struct fleet_host *hosts;
    uint32_t flow_count;
    uint32_t flow_capacity;
    struct fleet_flow *flows;
    /// All callers. The settings give the number at the start; more callers
    /// are added when all are busy. idle_callers has the indexes of the
    /// callers without a pending request.
    struct fleet_caller *callers;
    uint32_t caller_count;
    uint32_t *idle_callers;
    uint32_t idle_caller_count;
};

uint64_t
fleet_random(struct fleet *fleet);
/// Returns the time of the wall clock, which all machines share, milliseconds.
uint64_t
fleet_wall_ms(const struct fleet *fleet);
void
fleet_schedule(struct fleet *fleet, uint64_t after_us,
               enum fleet_task_kind kind, uint32_t target, uint64_t generation,
               struct fleet_datagram *datagram);
/// Returns a copy of the bytes as a datagram that the caller owns; NULL when
/// out of memory, which ends the run.
struct fleet_datagram *
fleet_create_datagram(struct fleet *fleet, uint32_t from, const void *bytes,
                      uint32_t length_bytes);

/* hosts.c */
enum SlStatus
fleet_create_hosts(struct fleet *fleet);
void
fleet_destroy_hosts(struct fleet *fleet);
void
fleet_host_stop(struct fleet_host *host);
void
fleet_host_start(struct fleet_host *host);
void
fleet_host_configure(struct fleet_host *host);
/// These functions handle a datagram that arrives at the host's link, or at
/// its socket, and take ownership of it.
void
fleet_host_receive_at_link(struct fleet_host *host,
                           struct fleet_datagram *datagram);
void
fleet_host_receive_at_socket(struct fleet_host *host,
                             struct fleet_datagram *datagram);
void
fleet_host_run_step(struct fleet_host *host);
void
fleet_host_tick(struct fleet_host *host);

/* upstreams.c */
void
fleet_upstream_report_status(struct fleet_host *host);
void
fleet_upstream_restart(struct fleet_host *host);
void
fleet_upstream_receive(struct fleet_host *host,
                       const struct fleet_datagram *datagram);
/// Sends the answer of the flow with this number, which is ready.
void
fleet_upstream_send_answer(struct fleet_host *host, uint64_t flow);

/* callers.c */
enum SlStatus
fleet_create_callers(struct fleet *fleet);
/// Starts the next request, whether earlier requests have been answered or
/// not.
void
fleet_start_next_request(struct fleet *fleet);
void
fleet_caller_handle_timer(struct fleet *fleet, struct fleet_caller *caller);
void
fleet_caller_receive(struct fleet *fleet,
                     const struct fleet_datagram *datagram);
struct SlFlowKey
fleet_flow_key(uint32_t flow);
/// Returns the number of the flow with the caller's address; UINT32_MAX when
/// there is no such flow.
uint32_t
fleet_flow_number(const struct fleet *fleet, const struct SlAddress *caller);

#endif
