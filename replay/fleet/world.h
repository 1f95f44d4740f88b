#ifndef SAVORYLEDGE_REPLAY_FLEET_WORLD_H
#define SAVORYLEDGE_REPLAY_FLEET_WORLD_H

/// The parts of a fleet: hosts.c has links, processors and the cores,
/// upstreams.c what stands beside agents, callers.c who asks, run.c the course
/// of events.

#include "fleet.h"
#include "queue.h"

enum {
    FLEET_PORT = 443,
    US_PER_MS = 1000,
    US_PER_S = 1000 * 1000,
    /// One way between machines, and between callers and machines.
    FLEET_WAY_US = 900,
    /// UDP and IPv4.
    FLEET_HEADER_BYTES = 28,
};

struct fleet;

/// What an upstream holds of a flow.
struct fleet_hold {
    uint32_t agent;
    /// Start of the upstream that holds it.
    uint64_t born;
    uint32_t first;
    bool open;
    bool working;
};

/// A flow; its number is in the caller's address.
struct fleet_flow {
    uint32_t caller;
    uint32_t hold_count;
    struct fleet_hold holds[FLEET_HOLDERS_MAX];
};

struct fleet_upstream {
    uint64_t born;
    uint64_t seq;
    uint64_t cold_until_us;
    uint64_t *free_us;
    uint32_t working;
};

/// A machine with one process: an entry, or an agent with its upstream.
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
    /// Grows with each start of the process.
    uint64_t generation;
    bool runs;
    /// Until when what was sent, received and computed so far takes.
    uint64_t out_us;
    uint64_t in_us;
    uint64_t busy_us;
    /// What waits in the socket.
    uint32_t waiting;
    struct fleet_datagram *first;
    struct fleet_datagram **last;
    bool tick_due;
    bool run_planned;
    /// Calls made by the core in the present step: they cost processor time.
    uint32_t sent;
};

enum fleet_phase {
    FLEET_IDLE = 0,
    FLEET_OPENING,
    FLEET_ASKING,
};

struct fleet_caller {
    uint32_t zone;
    bool is_short;
    enum fleet_phase phase;
    /// The flow in use; UINT32_MAX none.
    uint32_t flow;
    bool opened;
    uint32_t seq;
    uint32_t ack;
    /// When the request was first sent, and when this attempt and its last
    /// segment were.
    uint64_t asked_us;
    uint64_t attempt_us;
    uint32_t copies;
    uint32_t retries;
    uint64_t generation;
};

struct fleet {
    const struct FleetSettings *settings;
    struct FleetResult *result;
    uint64_t now_us;
    uint64_t random;
    struct fleet_queue queue;
    bool out_of_memory;
    struct SlConfig *config;
    struct SlPlan *plan;
    uint32_t host_count;
    struct fleet_host *hosts;
    uint32_t flow_count;
    uint32_t flow_room;
    struct fleet_flow *flows;
    /// Callers, and those of them that have nothing to ask at present. As many
    /// as the settings say have asked before; others join when all are busy.
    struct fleet_caller *callers;
    uint32_t caller_count;
    uint32_t *idle;
    uint32_t idle_count;
};

uint64_t
fleet_random(struct fleet *fleet);
void
fleet_add(struct fleet *fleet, uint64_t after_us, enum fleet_kind kind,
          uint32_t target, uint64_t generation,
          struct fleet_datagram *datagram);
/// NULL without memory, which ends the run.
struct fleet_datagram *
fleet_datagram(struct fleet *fleet, uint32_t from, const void *bytes,
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
/// A datagram reaches the host's link, and its socket; the processor is free.
void
fleet_host_at_link(struct fleet_host *host, struct fleet_datagram *datagram);
void
fleet_host_at_socket(struct fleet_host *host, struct fleet_datagram *datagram);
void
fleet_host_run(struct fleet_host *host);
void
fleet_host_tick(struct fleet_host *host);

/* upstreams.c */
void
fleet_upstream_notice(struct fleet_host *host);
void
fleet_upstream_restart(struct fleet_host *host);
void
fleet_upstream_take(struct fleet_host *host,
                    const struct fleet_datagram *datagram);
/// flow: the number of the flow whose answer is ready.
void
fleet_upstream_answer(struct fleet_host *host, uint64_t flow);

/* callers.c */
enum SlStatus
fleet_create_callers(struct fleet *fleet);
/// The next request comes, whether earlier ones have been answered or not.
void
fleet_caller_arrival(struct fleet *fleet);
void
fleet_caller_timer(struct fleet *fleet, struct fleet_caller *caller);
void
fleet_caller_take(struct fleet *fleet, const struct fleet_datagram *datagram);
struct SlFlowKey
fleet_flow_key(uint32_t flow);
/// Returns the flow's number; UINT32_MAX when there is no such flow.
uint32_t
fleet_flow_number(const struct fleet *fleet, const struct SlAddress *caller);

#endif
