#ifndef SAVORYLEDGE_SOAK_SOAK_H
#define SAVORYLEDGE_SOAK_SOAK_H

/// Randomized soak test. The real programs run as separate processes on
/// loopback addresses, while this program simulates callers and upstreams and
/// injects faults. A seed determines the schedule of faults; the timing of the
/// processes still differs from run to run.
///
///     127.NET.0.n  address on which process n listens
///     127.NET.1.n  address that process n advertises; served by proxy.c
///     127.NET.2.n  source addresses of the callers
///     127.NET.3.n  virtual addresses of the services

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "savoryledge/common/segment.h"
#include "savoryledge/transport/loop.h"

enum {
    SOAK_NODES_MAX = 250,
    SOAK_CALLERS_MAX = 400,
    SOAK_FLOWS = 600,
    SOAK_ZONES = 3,
    SOAK_LINK_PORT = 7720,
    SOAK_CALLERS_PORT = 8172,
    SOAK_CONTROL_PORT = 8166,
    SOAK_READY_PORT = 8167,
    SOAK_UPSTREAM_PORT = 8080,
    SOAK_UPSTREAM_SENDS_PORT = 8162,
    SOAK_PACKET_BYTES = 1236,
    SOAK_PATH_BYTES = 256,
    US_PER_MS = 1000,
    US_PER_S = 1000 * 1000,
    /// Time without a fault after which bounds hold again; a read of the
    /// configuration that begins then succeeds within the same time.
    SOAK_CONTACT_US = 6 * US_PER_S,
    /// Time within which a change is accepted, and within which an accepted
    /// change is in force.
    SOAK_ACCEPT_US = 8 * US_PER_S,
    SOAK_APPLY_US = 5 * US_PER_S,
    /// Time after which requests are served again after the loss of all
    /// processes.
    SOAK_RECOVERY_US = 15 * US_PER_S,
};

enum soak_role {
    SOAK_CONTROL = 0,
    SOAK_ENTRY,
    SOAK_AGENT,
};

/// Resources in use by a process at one moment.
struct soak_usage {
    uint32_t memory_kb;
    uint32_t threads;
    uint32_t descriptors;
};

struct soak_node {
    enum soak_role role;
    /// A control process with a data folder, which is a control instance.
    bool has_disk;
    bool was_started;
    uint32_t number;
    uint32_t zone;
    /// Process id; 0 while the process is not running.
    pid_t pid;
    bool is_paused;
    /// The soak sent SIGTERM or SIGKILL. An exit without this flag is a
    /// violation.
    bool is_stopping;
    /// It is replaced by another process and does not start again.
    bool is_removed;
    /// Its share of the current tenth of a second is used up.
    bool is_throttled;
    /// It replaces another one.
    bool is_successor;

    /// A control instance that has not been restarted yet; only such an
    /// instance may bootstrap the control group.
    bool is_first_start;
    uint64_t restart_us;
    /// Time of the last start, signal, network fault or fault in the process.
    uint64_t last_fault_us;
    /// Time at which the process was last seen running; routers stop using an
    /// entry some time after that.
    uint64_t last_running_us;
    struct soak_usage initial_usage;
};

struct soak {
    uint64_t seed;
    /// State of the random generator.
    uint64_t random;
    /// Second byte of all addresses.
    uint32_t net;
    uint64_t start_us;
    uint64_t faults_end_us;
    /// Number of control processes without a disk. If there are any, the
    /// soak also chooses seeds, reads and probes as an operator does who knows
    /// only control processes.
    uint32_t diskless;
    /// Faults are kills and stops only.
    bool restarts_only;
    /// One-way delay of connections to control instances.
    uint64_t control_delay_us;
    /// Share of each tenth of a second in which control instances run, in
    /// percent; 0 for all of it.
    uint32_t control_quota;
    /// The same for entries and control processes, with or without a disk.
    uint32_t thin_quota;
    /// Control instances that are still to be replaced by new ones at other
    /// addresses.
    uint32_t replacements;
    /// Rounds of losing all processes after the faults.
    uint32_t losses;
    /// Callers; 0 for a number that follows from the number of agents.
    uint32_t callers;
    /// Time until which control processes, or the host, were disturbed apart
    /// from the faults of processes.
    uint64_t disturbed_until_us;
    /// Time at which all agents, and all processes, were killed last.
    uint64_t agents_lost_us;
    uint64_t all_lost_us;
    /// Time after which the operator makes no changes of its own, and after
    /// which callers open no new flows.
    uint64_t end_us;
    uint64_t callers_end_us;
    /// Folder for settings, data and logs.
    char folder[SOAK_PATH_BYTES];
    /// Path of the daemon to test.
    const char *program;
    struct SlLoop *loop;
    uint32_t node_count;
    struct soak_node nodes[SOAK_NODES_MAX];
    uint32_t violations;
    uint32_t faults;
    /// Time at which the evacuation of each zone was accepted; 0 while the
    /// zone is in service.
    uint64_t zone_evacuated_us[SOAK_ZONES];
    /// Numbers of requests sent, of requests answered, of flows reset, and of
    /// flows or requests that timed out.
    uint64_t asked;
    uint64_t answered;
    uint64_t reset;
    uint64_t expired;
    /// Numbers of requests sent, and answered, more than 8 s after the last
    /// fault.
    uint64_t asked_calm;
    uint64_t answered_calm;
    /// The same for requests sent more than SOAK_RECOVERY_US after the loss of
    /// all processes.
    uint64_t recovered_us;
    uint64_t asked_recovered;
    uint64_t answered_recovered;
};

/// Returns a random number less than below, or 0 if below is 0.
uint64_t
soak_random(struct soak *soak, uint64_t below);
/// Prints a violated guarantee with the time since the start and counts it.
void
soak_report_violation(struct soak *soak, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/// Prints an injected fault with the time since the start.
void
soak_log_fault(struct soak *soak, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/// Returns the address 127.NET.group.number:port.
struct SlAddress
soak_address(const struct soak *soak, uint32_t group, uint32_t number,
             uint16_t port);
/// Returns true while a fault of the process is active.
bool
soak_node_has_fault(const struct soak_node *node);
/// Returns the time since which bounds hold: SOAK_CONTACT_US after the last
/// fault of any control process and of the host. UINT64_MAX while such a fault
/// is active.
uint64_t
soak_calm_since_us(const struct soak *soak);
/// Draws from a stream of random numbers of its own, so that the schedules for
/// which seeds are kept do not change. state: 0 before the first draw.
uint64_t
soak_draw(const struct soak *soak, uint64_t *state, uint64_t below);
/// Returns a random control process, with or without a disk, drawn from the
/// stream `state`.
const struct soak_node *
soak_draw_control(const struct soak *soak, uint64_t *state);

/* processes.c */
void
soak_add_node(struct soak *soak, enum soak_role role, bool has_disk,
              uint32_t zone);
void
soak_start_node(struct soak *soak, struct soak_node *node);
/// Sends the signal `number` to the process if it is running, and counts a
/// fault.
void
soak_signal_node(struct soak *soak, struct soak_node *node, int number);
/// Detects processes that exited, and restarts the processes whose restart
/// delay has passed.
void
soak_update_nodes(struct soak *soak, uint64_t now_us);
/// Stops and continues control instances as soak->control_quota demands.
void
soak_throttle_nodes(struct soak *soak, uint64_t now_us);
/// Deletes the files in the data folder of a control instance that has been
/// killed.
void
soak_delete_node_data(struct soak *soak, const struct soak_node *node);
/// Kills all processes and waits until they have exited.
void
soak_kill_nodes(struct soak *soak);
/// Reads the resource usage of a running process from /proc.
struct soak_usage
soak_read_usage(const struct soak_node *node);

/* proxy.c */
enum proxy_fault {
    PROXY_PASS = 0,
    /// Traffic to the process is blocked.
    PROXY_CUT_IN,
    /// Traffic from the process is blocked.
    PROXY_CUT_OUT,
    /// Traffic in both directions is blocked.
    PROXY_CUT,
    /// Some datagrams are dropped and the others are delayed.
    PROXY_LOSSY,
    PROXY_FAULTS
};
enum SlStatus
proxy_open(struct soak *soak);
/// Opens the sockets for a process that was added.
enum SlStatus
proxy_add(uint32_t number);
void
proxy_close(void);
/// Sets the network fault of a process; PROXY_PASS ends it.
void
proxy_set_fault(uint32_t number, enum proxy_fault fault);
/// Resets all connections to the process.
void
proxy_reset_connections(uint32_t number);
/// Sends delayed datagrams that are due and forwards buffered bytes.
void
proxy_tick(uint64_t now_us);

/* process_faults.c: faults of the files and clocks of processes */
/// Starts and ends faults of the files and clock of processes. may_disturb
/// tells whether a fault may start in a process now; NULL starts no new fault.
void
process_faults_tick(struct soak *soak, uint64_t now_us,
                    bool (*may_disturb)(const struct soak_node *node));
/// Returns true while a fault of the files or of the clock of the process is
/// active.
bool
process_faults_is_active(const struct soak_node *node);
/// Ends all faults of files and clocks.
void
process_faults_end_all(struct soak *soak);

/* upstreams.c */
enum SlStatus
upstreams_open(struct soak *soak);
void
upstreams_close(void);
void
upstreams_tick(struct soak *soak, uint64_t now_us);
/// Crashes the upstream of the agent `number`; a new instance starts later.
void
upstream_crash(struct soak *soak, uint32_t number, uint64_t now_us);
/// Drains the upstream of the agent `number`: it reports that it is draining,
/// is removed, and a new instance starts later.
void
upstream_drain(struct soak *soak, uint32_t number, uint64_t now_us);
/// Returns true if the upstream of the agent `number` has state for the flow.
bool
upstream_has_flow(uint32_t number, const struct SlFlowKey *key);
/// Returns the number of the agent whose upstream has the flow open, or 0 if
/// no upstream has it open.
uint32_t
upstream_find_holder(const struct SlFlowKey *key);

/* callers.c */
enum SlStatus
callers_open(struct soak *soak);
void
callers_close(void);
void
callers_tick(struct soak *soak, uint64_t now_us);

/* operator.c */
enum SlStatus
operator_open(struct soak *soak);
void
operator_close(void);
void
operator_tick(struct soak *soak, uint64_t now_us);
/// Returns true once a control instance has accepted a configuration.
bool
operator_has_config(void);
/// Returns the number of the service, 0 or 1, to which the route of a port
/// leads.
uint32_t
operator_service_for_port(uint16_t port);
/// Returns true if a read returned the newest accepted configuration.
bool
operator_config_was_read(struct soak *soak);
/// Returns the newest version that was sent.
uint64_t
operator_last_version(void);
/// Returns the newest version that was accepted at this time or before, and
/// the time at which it was accepted; 0 if there is none.
uint64_t
operator_version_accepted(uint64_t at_us, uint64_t *accepted_us);
/// Sends a new configuration now. Returns its version, or 0 if too many
/// changes are under way.
uint64_t
operator_change_config(uint64_t now_us);
/// Returns the version of the configuration in a response.
uint64_t
operator_parse_version(const char *body, size_t body_bytes);
/// Pause of an operator after this number of failed attempts and one more.
uint64_t
operator_pause_us(uint32_t attempts);

/* patient_reads.c: reads of the configuration that have to succeed in time */
void
patient_reads_tick(struct soak *soak, uint64_t now_us);
void
patient_reads_print(void);

/* probes.c: opening packets to routes that come and go */
enum {
    /// Service port of the route that the configuration with version 0 adds.
    PROBE_FIRST_PORT = 20000,
    /// A configuration has the routes that the last so many versions added.
    PROBE_ROUTES = 30,
    PROBE_HOST = 200,
};
enum SlStatus
probes_open(struct soak *soak);
void
probes_close(void);
void
probes_tick(uint64_t now_us);
void
probes_print(void);

/* losses.c: loss of control instances, and of all processes right after a
   change was accepted */
/// Replaces a control instance for good, if one is to be replaced.
void
losses_replace_control(struct soak *soak, uint64_t now_us,
                       bool (*may_disturb)(const struct soak_node *node));
/// Kills all processes.
void
losses_kill_all(struct soak *soak, uint64_t now_us);
/// Begins a loss if one is due. Returns true once all losses are over.
bool
losses_tick(struct soak *soak, uint64_t now_us);

/* http_client.c */
/// An HTTP request. done is called exactly once, with status 0 if no complete
/// response arrived within answer_timeout_us. The body passed to done is valid
/// only during that call.
struct http_call {
    struct SlAddress to;
    const char *method;
    const char *path;
    const char *body;
    uint64_t answer_timeout_us;
    void *context;
    void (*done)(void *context, uint32_t status, const char *body,
                 size_t body_bytes);
};
void
http_client_call(struct SlLoop *loop, const struct http_call *call);
void
http_client_tick(uint64_t now_us);
void
http_client_close(void);

/* packet.c */
/// A packet between a caller and an upstream.
struct packet {
    struct SlAddress source;
    struct SlAddress destination;
    uint32_t seq;
    uint32_t ack;
    uint8_t flags;
    const uint8_t *data;
    uint32_t data_bytes;
};
/// Encodes the packet with the platform's header and a checksum over the
/// fields that the relay must not change. Returns the length in bytes.
uint32_t
packet_write(const struct packet *packet, uint8_t out[SOAK_PACKET_BYTES]);
/// Returns true if the checksum of the packet matches its contents.
bool
packet_checksum_is_valid(const uint8_t *bytes, uint32_t length_bytes);
/// Returns true for a reset that a relay generated, which has no checksum.
bool
packet_is_relay_reset(const uint8_t *bytes, uint32_t length_bytes);
enum {
    PACKET_RST = 2,
    PACKET_FIN = 4,
    PACKET_SYN = 8,
    PACKET_RETURNED = 16,
    PACKET_ACK = 128,
};

#endif
