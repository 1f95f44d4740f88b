#ifndef SAVORYLEDGE_REPLAY_SIMULATION_H
#define SAVORYLEDGE_REPLAY_SIMULATION_H

/// A simulation of a small site in memory. The nodes are real; a queue with
/// seeded delays carries their datagrams and messages. Callers and upstreams
/// are fakes at the packet interfaces. The simulation counts the figures for
/// which traces state bounds.

#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/node.h"

enum {
    SIM_NODES_MAX = 64,
    SIM_ZONES_MAX = 8,
    SIM_SERVICES_MAX = 4,
    SIM_LINKS_MAX = 1 << 16,
    SIM_FLOWS_MAX = 1 << 18,
    SIM_DIAL_TARGETS_MAX = 32,
    SIM_STEPS_MAX = 512,
    SIM_WINDOWS_MAX = 4096,
    SIM_WINDOW_US = 100 * 1000,
    SIM_PACKET_BYTES = 512,
    SIM_JOBS_MAX = 1 << 14,
    SIM_START_US = 1000 * 1000,
};

enum SlSimEventKind {
    SIM_TICK = 1,
    SIM_TUNNEL_DATAGRAM,
    SIM_LINK_CONNECT,
    SIM_LINK_MESSAGE,
    SIM_PACKET_TO_ENTRY,
    SIM_PACKET_TO_AGENT,
    SIM_PACKET_TO_UPSTREAM,
    SIM_PACKET_TO_CALLER,
    SIM_FLOW_TIMER,
    SIM_JOB_DONE,
    SIM_TRACE_STEP,
    SIM_OPERATOR_POLL,
};

/// An event of the simulation with the time at which it is due. The event owns
/// its bytes.
struct SlSimEvent {
    uint64_t time_us;
    /// Number of events that were queued before this event.
    uint64_t order;
    enum SlSimEventKind kind;
    uint32_t target;
    /// Start count of the target node for which the event is meant.
    uint32_t epoch;
    /// Depending on kind, the id of the node to dial, of the link, of the
    /// sender, of the timer or of the job.
    uint64_t number;
    uint32_t length_bytes;
    uint8_t *bytes;
};

struct SlSimQueue {
    struct SlSimEvent *events;
    size_t count;
    size_t capacity;
    uint64_t order;
};

/// A node to which the owning node keeps a link. link is the number of that
/// link, or 0 while no link to the node is up.
struct SlSimDialTarget {
    uint64_t node_id;
    struct SlAddress to;
    uint64_t link;
};

struct SlSimLink {
    uint32_t ends[2];
    bool up;
    /// Time at which the message that was last sent to each end arrives.
    uint64_t last_arrival_us[2];
};

/// The upstream of an agent.
struct SlSimUpstream {
    uint32_t service;
    /// Index of the service to which the upstream belonged before an
    /// operator's label moved it; valid when moved_us is not 0.
    uint32_t former_service;
    uint64_t moved_us;
    uint32_t slots;
    uint32_t capacity_flows;
    uint64_t started_us;
    bool alive;
    uint32_t open_flows;
    uint32_t running_jobs;
    uint32_t first_job;
    uint32_t job_count;
    /// Ring of waiting requests: the generation of the flow in the upper 32
    /// bits, the index of the flow in the lower 32 bits.
    uint64_t *jobs;
    uint64_t last_packet_us;
};

struct SlSimNode {
    /// Must be the first member: a pointer to the sink is cast to the node.
    struct SlSink sink;
    struct SlSim *sim;
    uint32_t index;
    char name[SL_NAME_BYTES];
    uint32_t zone;
    uint32_t roles;
    struct SlNodeOptions options;
    struct SlStorage *storage;
    struct SlNode *node;
    uint32_t epoch;
    bool frozen;
    /// Side of a network partition. Nodes on different sides do not receive
    /// each other's packets.
    uint32_t partition;
    /// The node can exchange nothing with control instances over links.
    bool cut_off_from_control;
    /// Delay that is added to each link message sent to the node.
    uint64_t receive_delay_us;
    /// Time at which the node died or froze. The fabric stops routing packets
    /// to it one second later.
    uint64_t down_us;
    uint32_t dial_target_count;
    struct SlSimDialTarget dial_targets[SIM_DIAL_TARGETS_MAX];
    struct SlSimUpstream upstream;
};

struct SlSimService {
    char name[SL_NAME_BYTES];
    uint8_t protocol;
    struct SlAddress address;
    uint32_t silence_ms;
    uint32_t idle_ms;
};

enum SlSimFlowState {
    FLOW_IDLE = 0,
    FLOW_OPENING,
    FLOW_AWAITING_ANSWER,
    FLOW_THINKING,
    FLOW_CLOSING,
    /// The flow never starts again.
    FLOW_GONE,
};

/// A flow of a caller, with the state that its upstream has of it.
struct SlSimFlow {
    uint8_t state;
    uint8_t service;
    uint8_t resends;
    bool forever;
    /// All further packets from the upstream of the flow are lost.
    bool muted;
    /// The flow failed and its caller tries again. The new attempt is already
    /// counted in the window's requests.
    bool is_retry;
    /// The caller sends no further request after it received an answer.
    bool idle;
    bool established;
    bool upstream_open;
    /// The upstream that held the flow died.
    bool upstream_lost;
    uint16_t generation;
    /// Index of the node whose upstream accepted this generation;
    /// SIM_NODES_MAX when no upstream has accepted it.
    uint16_t holder;
    uint16_t requests;
    uint16_t requests_left;
    uint32_t think_ms;
    uint32_t hold_ms;
    uint32_t caller_seq;
    uint32_t caller_ack;
    uint32_t upstream_seq;
    uint32_t upstream_ack;
    uint32_t request;
    /// Number of the last request of the flow that an upstream began to
    /// process.
    uint32_t last_executed_request;
    uint32_t last_answered_request;
    uint32_t caller_isn;
    uint64_t due_us;
    uint64_t timer_id;
    /// Indexes of the nodes to which hashing without a flow table would have
    /// sent the flow, by modulo and by rendezvous hashing.
    uint16_t modulo_node;
    uint16_t rendezvous_node;
};

struct SlSimWindow {
    /// Number of new requests that callers sent, after their think time or
    /// because a flow failed.
    uint32_t requested;
    uint32_t served;
    uint32_t refused;
    uint32_t reset;
};

/// Counts since the start of the run or since the last "clear" step of the
/// trace. Traces state bounds for most of these counts, under the same names.
struct SlSimCounts {
    uint64_t flows;
    /// Established flows that ended although their upstream was alive and
    /// their zone was not taken out.
    uint64_t broken;
    uint64_t broken_reset;
    uint64_t broken_silent;
    /// Flows that ended because their zone was taken out.
    uint64_t given_up;
    /// Flows that ended because their upstream died.
    uint64_t lost_upstream;
    /// Flows that were refused, and flows that timed out, before they were
    /// established.
    uint64_t refused;
    uint64_t timed_out;
    uint64_t answers;
    uint64_t resends;
    /// Packets that reached an upstream of another service.
    uint64_t cross;
    /// Flows that began at a second upstream.
    uint64_t double_start;
    /// Requests that an upstream began to process a second time.
    uint64_t double_run;
    /// Payloads that reached an upstream that does not hold the flow.
    uint64_t stray;
    /// Payloads of an earlier flow that would have entered its successor.
    uint64_t successor;
    /// Number of times that an upstream was found over its capacity.
    uint64_t over_capacity;
    /// Packets that reached upstreams of a zone later than allowed after the
    /// zone was taken out.
    uint64_t zone_late;
    /// Longest time from taking a zone out until the last packet reached one
    /// of its upstreams.
    uint64_t zone_silent_us;
    /// Flows that began at an upstream later than allowed after its drain.
    uint64_t drain_late;
    /// Flood and random packets that reached an upstream.
    uint64_t flood_delivered;
    uint64_t changes;
    uint64_t changes_refused;
    /// Flows that hashing without a flow table would have broken.
    uint64_t modulo_broken;
    uint64_t rendezvous_broken;
    /// Longest time from accepting a change until it was in force everywhere.
    uint64_t in_force_us;
    /// Silent flows that nodes detected, and muted flows that were reset.
    uint64_t silent_found;
    uint64_t silent_reset;
};

/// A timed statement of a trace, split into words.
struct SlSimStep {
    uint64_t time_us;
    uint32_t word_count;
    char words[8][SL_NAME_BYTES];
};

struct SlSimSettings {
    uint64_t seed;
    uint32_t entries;
    uint32_t controls;
    uint32_t client_delay_us;
    uint32_t zone_delay_us;
    uint32_t jitter_us;
    uint32_t service_time_us;
    uint32_t cold_ms;
    uint32_t cold_factor;
    uint64_t end_us;
};

struct SlSim {
    struct SlSimSettings settings;
    uint64_t now_us;
    uint64_t random_state;
    struct SlSimQueue queue;
    uint32_t zone_count;
    char zones[SIM_ZONES_MAX][SL_NAME_BYTES];
    /// Times at which control accepted the change that takes the zone out; 0
    /// while the zone receives flows.
    uint64_t zone_out_us[SIM_ZONES_MAX];
    uint64_t zone_back_us[SIM_ZONES_MAX];
    uint32_t service_count;
    struct SlSimService services[SIM_SERVICES_MAX];
    uint32_t node_count;
    struct SlSimNode nodes[SIM_NODES_MAX];
    /// Times at which a drain of the node was accepted; 0 while the node
    /// accepts new flows.
    uint64_t drain_us[SIM_NODES_MAX];
    uint64_t link_count;
    struct SlSimLink *links;
    uint32_t flow_count;
    struct SlSimFlow *flows;
    uint32_t step_count;
    struct SlSimStep steps[SIM_STEPS_MAX];
    /// Callers use the same port again for their next flow.
    bool reuse_ports;
    /// Number of steps that failed because the trace is wrong.
    uint32_t failed_steps;
    /// Faults of the fabric, in packets per 10,000: duplicated, lost, and
    /// delivered again late.
    uint32_t duplicate_per_10000;
    uint32_t loss_per_10000;
    uint32_t late_per_10000;
    /// Number of the operator's pending request.
    uint64_t request;
    struct SlChange *changes;
    uint32_t change_count;
    uint32_t next_change;
    uint32_t change_control_index;
    uint64_t change_link;
    /// Time of the most recent attempt to send the pending change, which is
    /// changes[next_change]; 0 when no attempt has been made.
    uint64_t change_sent_us;
    /// Time at which the most recent change was accepted; 0 when that change
    /// is in force.
    uint64_t change_accepted_us;
    struct SlVersion change_version;
    struct SlSimCounts counts;
    struct SlSimWindow windows[SIM_WINDOWS_MAX];
    double worst_imbalance[SIM_SERVICES_MAX];
    /// FILE to which each event of the nodes is written; NULL when events are
    /// not written.
    void *log;
};

/* queue.c */
void
SlSimQueue_Push(struct SlSimQueue *queue, struct SlSimEvent event);
bool
SlSimQueue_Pop(struct SlSimQueue *queue, struct SlSimEvent *event);
void
SlSimQueue_Release(struct SlSimQueue *queue);
/// Returns a copy of the bytes, to be owned by an event.
uint8_t *
SlSimQueue_CopyBytes(const void *bytes, uint32_t length_bytes);

/* trace.c */
/// A bound that a trace states for a figure: its name, the comparison and the
/// value.
struct SlSimBound {
    char name[SL_NAME_BYTES];
    char comparison[4];
    double value;
};

enum {
    SIM_BOUNDS_MAX = 32,
};

struct SlTrace {
    struct SlSim *sim;
    uint32_t bound_count;
    struct SlSimBound bounds[SIM_BOUNDS_MAX];
};

/// Reads a trace and builds its site. Returns false when the trace cannot be
/// read, and prints the line and the invalid word to standard error.
bool
SlTrace_Read(const char *path, struct SlTrace *trace);
bool
SlSimBound_Holds(const struct SlSimBound *bound, double value);

/* simulation.c */
struct SlSim *
SlSim_Create(void);
void
SlSim_Destroy(struct SlSim *sim);
/// Runs the simulation until the end time of its settings.
void
SlSim_Run(struct SlSim *sim);
/// Schedules a step to run after delay_us.
void
SlSim_ScheduleStep(struct SlSim *sim, uint64_t delay_us,
                   const struct SlSimStep *step);
uint32_t
SlSim_Random(struct SlSim *sim, uint32_t below);
uint64_t
SlSim_Jitter(struct SlSim *sim);
/// Returns the index of the node with the name, or SIM_NODES_MAX when no node
/// has it.
uint32_t
SlSim_FindNode(const struct SlSim *sim, const char *name);
uint32_t
SlSim_FindZone(const struct SlSim *sim, const char *name);
uint32_t
SlSim_FindService(const struct SlSim *sim, const char *name);
struct SlSimWindow *
SlSim_CurrentWindow(struct SlSim *sim);

/* nodes.c */
uint32_t
SlSimNode_Add(struct SlSim *sim, const char *name, uint32_t zone,
              uint32_t roles);
/// Starts the node with empty tables and a new boot number.
void
SlSimNode_Start(struct SlSimNode *node);
/// Ends the node's process at once, as kill -9 does.
void
SlSimNode_Kill(struct SlSimNode *node);
void
SlSimNode_HandleInput(struct SlSimNode *node, struct SlInput *input);
void
SlSimNode_ReceiveTunnel(struct SlSimNode *node,
                        const struct SlSimEvent *event);
bool
SlSim_CanReach(const struct SlSim *sim, uint32_t from, uint32_t to);
/// Like SlSim_CanReach, for links: a node may be cut off from control
/// instances alone.
bool
SlSim_CanReachByLink(const struct SlSim *sim, uint32_t from, uint32_t to);

/* links.c */
void
SlSimLinks_Dial(struct SlSimNode *node, uint64_t node_id,
                const struct SlAddress *to);
void
SlSimLinks_Drop(struct SlSimNode *node, uint64_t node_id);
void
SlSimLinks_Send(struct SlSimNode *node, uint64_t link,
                const struct SlMessage *message);
void
SlSimLinks_Connect(struct SlSim *sim, const struct SlSimEvent *event);
void
SlSimLinks_Receive(struct SlSim *sim, const struct SlSimEvent *event);
/// DropNode closes all links of the node. DropPartitioned closes each link
/// whose two nodes cannot reach each other any more.
void
SlSimLinks_DropNode(struct SlSimNode *node);
void
SlSimLinks_DropPartitioned(struct SlSim *sim);

/* operator.c */
/// Queues a change. The operator sends it until a control instance has
/// accepted or refused it.
void
SlSimOperator_QueueChange(struct SlSim *sim, const struct SlChange *change);
void
SlSimOperator_Poll(struct SlSim *sim);
/// Handles the answer of a control instance on the operator's link.
void
SlSimOperator_ReceiveResult(struct SlSim *sim,
                            const struct SlMessage *message);
/// Returns true when all changes are accepted and in force on every live node.
bool
SlSimOperator_InForce(const struct SlSim *sim);
void
SlSimOperator_QueueInitialChanges(struct SlSim *sim);

/* steps.c */
/// Runs a step of a trace. Returns false when the step is unknown or cannot be
/// run.
bool
SlSimStep_Run(struct SlSim *sim, const struct SlSimStep *step);

/* callers.c */
void
SlSimFlows_Add(struct SlSim *sim, uint32_t service, uint32_t count,
               bool forever, uint32_t requests, uint32_t think_ms,
               uint64_t spread_us);
void
SlSimFlow_HandleTimer(struct SlSim *sim, uint32_t index, uint64_t timer_id);
void
SlSimFlow_Receive(struct SlSim *sim, const uint8_t *bytes,
                  uint32_t length_bytes);
/// Sends a caller's packet through the fabric to a random entry.
void
SlSim_SprayPacket(struct SlSim *sim, const uint8_t *bytes,
                  uint32_t length_bytes);
/// Returns the index of the flow with the caller's address; an index of
/// flow_count or more when no flow has that address.
uint32_t
SlSimFlow_Find(const struct SlSim *sim, const struct SlAddress *caller);
void
SlSimFlow_CallerAddress(uint32_t index, uint16_t generation,
                        struct SlAddress *address);

/* upstreams.c */
void
SlSimUpstream_Start(struct SlSimNode *node);
void
SlSimUpstream_Crash(struct SlSimNode *node);
void
SlSimUpstream_Receive(struct SlSimNode *node, const uint8_t *bytes,
                      uint32_t length_bytes);
void
SlSimUpstream_FinishJob(struct SlSimNode *node, uint64_t job);

/* measure.c */
void
SlSim_MeasureImbalance(struct SlSim *sim);
/// Counts the flows that hashing without a flow table would break at the
/// present change of the configuration.
void
SlSim_UpdateBaselines(struct SlSim *sim);
/// Finds the figure that has the name in traces. Returns false when no figure
/// has that name.
bool
SlSim_FindFigure(const struct SlSim *sim, const char *name, double *value);

#endif
