#ifndef SAVORYLEDGE_REPLAY_WORLD_H
#define SAVORYLEDGE_REPLAY_WORLD_H

/// A small site in memory: real nodes joined by a queue of datagrams and
/// messages with seeded delays, callers and upstreams as fakes at the packet
/// interfaces, and the counts that traces state bounds for.

#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/node.h"

enum {
    WORLD_NODES_MAX = 64,
    WORLD_ZONES_MAX = 8,
    WORLD_SERVICES_MAX = 4,
    WORLD_LINKS_MAX = 1 << 16,
    WORLD_FLOWS_MAX = 1 << 18,
    WORLD_WANTS_MAX = 32,
    WORLD_STEPS_MAX = 512,
    WORLD_WINDOWS_MAX = 4096,
    WORLD_WINDOW_US = 100 * 1000,
    WORLD_PACKET_BYTES = 512,
    WORLD_JOBS_MAX = 1 << 14,
    WORLD_START_US = 1000 * 1000,
};

enum SlWorldEventKind {
    WORLD_TICK = 1,
    WORLD_TUNNEL,
    WORLD_CONNECT,
    WORLD_MESSAGE,
    WORLD_TO_ENTRY,
    WORLD_TO_AGENT,
    WORLD_TO_UPSTREAM,
    WORLD_TO_CALLER,
    WORLD_FLOW,
    WORLD_JOB_DONE,
    WORLD_STEP,
    WORLD_OPERATOR,
};

/// Something that happens at a time. bytes are owned by the event.
struct SlWorldEvent {
    uint64_t time_us;
    uint64_t order;
    enum SlWorldEventKind kind;
    uint32_t target;
    /// The target's start that the event is meant for.
    uint32_t epoch;
    uint64_t number;
    uint32_t length_bytes;
    uint8_t *bytes;
};

struct SlWorldQueue {
    struct SlWorldEvent *events;
    size_t count;
    size_t room;
    uint64_t order;
};

/// A link that a node wants; link is 0 while there is none.
struct SlWorldWant {
    uint64_t node_id;
    struct SlAddress to;
    uint64_t link;
};

struct SlWorldLink {
    uint32_t ends[2];
    bool up;
    uint64_t last_us[2];
};

/// The upstream beside an agent.
struct SlWorldUpstream {
    uint32_t service;
    /// The service before an operator's label moved it; 0 never.
    uint32_t former_service;
    uint64_t moved_us;
    uint32_t slots;
    uint32_t capacity_flows;
    uint64_t started_us;
    bool alive;
    uint32_t open_flows;
    uint32_t running;
    uint32_t first_job;
    uint32_t job_count;
    /// Flow and generation of each waiting request.
    uint64_t *jobs;
    uint64_t last_packet_us;
};

struct SlWorldNode {
    /// First, so that a sink is its node.
    struct SlSink sink;
    struct SlWorld *world;
    uint32_t index;
    char name[SL_NAME_BYTES];
    uint32_t zone;
    uint32_t roles;
    struct SlNodeOptions options;
    struct SlStorage *storage;
    struct SlNode *node;
    uint32_t epoch;
    bool stopped;
    /// Sides of a partition; nodes with different sides do not hear each
    /// other.
    uint32_t side;
    /// Hears no control instance on links.
    bool control_cut;
    /// Messages to it take this much longer.
    uint64_t lag_us;
    /// When it died or froze; the fabric leaves it out a second later.
    uint64_t down_us;
    uint32_t want_count;
    struct SlWorldWant wants[WORLD_WANTS_MAX];
    struct SlWorldUpstream upstream;
};

struct SlWorldService {
    char name[SL_NAME_BYTES];
    uint8_t protocol;
    struct SlAddress address;
    uint32_t silence_ms;
    uint32_t idle_ms;
};

enum SlWorldFlowState {
    FLOW_IDLE = 0,
    FLOW_OPENING,
    FLOW_ASKING,
    FLOW_THINKING,
    FLOW_CLOSING,
    /// Never starts again.
    FLOW_GONE,
};

/// A caller's flow, with what the upstream holds of it.
struct SlWorldFlow {
    uint8_t state;
    uint8_t service;
    uint8_t resends;
    bool forever;
    /// Packets of the flow's upstream are lost for good.
    bool muted;
    /// The flow failed: its caller wants it back.
    bool wanted;
    /// The caller never sends anything after its first answer.
    bool idle;
    bool established;
    bool upstream_open;
    /// Its upstream died.
    bool lost;
    uint16_t generation;
    /// The node that started this generation, WORLD_NODES_MAX for none.
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
    /// The last request that an upstream worked on, and where.
    uint32_t executed;
    uint32_t answered;
    uint32_t caller_isn;
    uint64_t due_us;
    uint64_t timer;
    /// Where hashing alone would have put it.
    uint16_t modulo;
    uint16_t rendezvous;
};

struct SlWorldWindow {
    /// Requests that callers began to want: after thinking, or because a
    /// flow failed.
    uint32_t asked;
    uint32_t served;
    uint32_t refused;
    uint32_t reset;
};

struct SlWorldCounts {
    uint64_t flows;
    uint64_t broken;
    uint64_t broken_reset;
    uint64_t broken_silent;
    uint64_t given_up;
    uint64_t lost_upstream;
    uint64_t refused;
    uint64_t timed_out;
    uint64_t answers;
    uint64_t resends;
    uint64_t cross;
    uint64_t double_start;
    uint64_t double_run;
    uint64_t stray;
    uint64_t successor;
    uint64_t over_capacity;
    uint64_t zone_late;
    uint64_t zone_silent_us;
    uint64_t drain_late;
    uint64_t flood_delivered;
    uint64_t changes;
    uint64_t changes_refused;
    uint64_t modulo_broken;
    uint64_t rendezvous_broken;
    uint64_t in_force_us;
    uint64_t silent_found;
    uint64_t silent_reset;
};

/// One line of a trace that happens at a time.
struct SlWorldStep {
    uint64_t time_us;
    uint32_t word_count;
    char words[8][SL_NAME_BYTES];
};

struct SlWorldSettings {
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

struct SlWorld {
    struct SlWorldSettings settings;
    uint64_t now_us;
    uint64_t random;
    struct SlWorldQueue queue;
    uint32_t zone_count;
    char zones[WORLD_ZONES_MAX][SL_NAME_BYTES];
    /// When the zone's departure was accepted; 0 while it is in.
    uint64_t zone_out_us[WORLD_ZONES_MAX];
    uint64_t zone_back_us[WORLD_ZONES_MAX];
    uint32_t service_count;
    struct SlWorldService services[WORLD_SERVICES_MAX];
    uint32_t node_count;
    struct SlWorldNode nodes[WORLD_NODES_MAX];
    /// When a drain of the node was accepted; 0 while it takes flows.
    uint64_t drain_us[WORLD_NODES_MAX];
    uint64_t link_count;
    struct SlWorldLink *links;
    uint32_t flow_count;
    struct SlWorldFlow *flows;
    uint32_t step_count;
    struct SlWorldStep steps[WORLD_STEPS_MAX];
    /// Callers use the same port for their next flow.
    bool reuse;
    /// Steps that could not be done: the trace is wrong.
    uint32_t bad_steps;
    /// Faults of the fabric, per 10,000 packets.
    uint32_t duplicate;
    uint32_t loss;
    uint32_t late;
    /// Operator's request under way.
    uint64_t request;
    struct SlChange *changes;
    uint32_t change_count;
    uint32_t change_next;
    uint32_t change_control;
    uint64_t change_link;
    uint64_t change_sent_us;
    uint64_t change_accepted_us;
    struct SlVersion change_version;
    struct SlWorldCounts counts;
    struct SlWorldWindow windows[WORLD_WINDOWS_MAX];
    double worst_imbalance[WORLD_SERVICES_MAX];
    /// Writes each event of the nodes; NULL for none.
    void *log;
};

/* queue.c */
void
SlWorldQueue_Push(struct SlWorldQueue *queue, struct SlWorldEvent event);
bool
SlWorldQueue_Pop(struct SlWorldQueue *queue, struct SlWorldEvent *event);
void
SlWorldQueue_Release(struct SlWorldQueue *queue);
/// A copy of bytes that the event owns.
uint8_t *
SlWorldQueue_Copy(const void *bytes, uint32_t length_bytes);

/* trace.c */
/// A bound that a trace states for a figure.
struct SlWorldBound {
    char name[SL_NAME_BYTES];
    char sign[4];
    double value;
};

enum {
    WORLD_BOUNDS_MAX = 32,
};

struct SlTrace {
    struct SlWorld *world;
    uint32_t bound_count;
    struct SlWorldBound bounds[WORLD_BOUNDS_MAX];
};

/// Reads a trace and builds its site. False, with the line and the word at
/// fault on standard error, when it cannot be read.
bool
SlTrace_Read(const char *path, struct SlTrace *trace);
bool
SlWorldBound_Holds(const struct SlWorldBound *bound, double value);

/* world.c */
struct SlWorld *
SlWorld_Create(void);
void
SlWorld_Destroy(struct SlWorld *world);
/// Runs to the settings' end.
void
SlWorld_Run(struct SlWorld *world);
/// Does a step after delay_us.
void
SlWorld_Later(struct SlWorld *world, uint64_t delay_us,
              const struct SlWorldStep *step);
uint32_t
SlWorld_Random(struct SlWorld *world, uint32_t below);
uint64_t
SlWorld_Jitter(struct SlWorld *world);
/// The node with the name; WORLD_NODES_MAX when there is none.
uint32_t
SlWorld_FindNode(const struct SlWorld *world, const char *name);
uint32_t
SlWorld_FindZone(const struct SlWorld *world, const char *name);
uint32_t
SlWorld_FindService(const struct SlWorld *world, const char *name);
struct SlWorldWindow *
SlWorld_Window(struct SlWorld *world);

/* nodes.c */
uint32_t
SlWorldNode_Add(struct SlWorld *world, const char *name, uint32_t zone,
                uint32_t roles);
/// Starts it with empty tables and a new boot number.
void
SlWorldNode_Start(struct SlWorldNode *node);
/// Ends it at once, as kill -9 does.
void
SlWorldNode_Kill(struct SlWorldNode *node);
void
SlWorldNode_Give(struct SlWorldNode *node, struct SlInput *input);
void
SlWorldNode_TakeTunnel(struct SlWorldNode *node,
                       const struct SlWorldEvent *event);
bool
SlWorld_Hears(const struct SlWorld *world, uint32_t from, uint32_t to);
/// The same for links, on which a node may miss control alone.
bool
SlWorld_HearsLink(const struct SlWorld *world, uint32_t from, uint32_t to);

/* links.c */
void
SlWorldLinks_Dial(struct SlWorldNode *node, uint64_t node_id,
                  const struct SlAddress *to);
void
SlWorldLinks_Drop(struct SlWorldNode *node, uint64_t node_id);
void
SlWorldLinks_Send(struct SlWorldNode *node, uint64_t link,
                  const struct SlMessage *message);
void
SlWorldLinks_Connect(struct SlWorld *world, const struct SlWorldEvent *event);
void
SlWorldLinks_Take(struct SlWorld *world, const struct SlWorldEvent *event);
/// Ends the links of a node, or of all that no longer hear each other.
void
SlWorldLinks_DropNode(struct SlWorldNode *node);
void
SlWorldLinks_DropCut(struct SlWorld *world);

/* operator.c */
/// Queues a change; it is sent until a control instance has accepted it.
void
SlWorldOperator_Add(struct SlWorld *world, const struct SlChange *change);
void
SlWorldOperator_Run(struct SlWorld *world);
/// A control instance's answer on the operator's link.
void
SlWorldOperator_Take(struct SlWorld *world, const struct SlMessage *message);
/// True when all changes are accepted and in force on every live node.
bool
SlWorldOperator_InForce(const struct SlWorld *world);
void
SlWorldOperator_SetUp(struct SlWorld *world);

/* steps.c */
/// Runs the step of a trace. False when its words are not understood.
bool
SlWorldStep_Run(struct SlWorld *world, const struct SlWorldStep *step);

/* callers.c */
void
SlWorldFlows_Add(struct SlWorld *world, uint32_t service, uint32_t count,
                 bool forever, uint32_t requests, uint32_t think_ms,
                 uint64_t over_us);
void
SlWorldFlow_Timer(struct SlWorld *world, uint32_t index, uint64_t timer);
void
SlWorldFlow_Take(struct SlWorld *world, const uint8_t *bytes,
                 uint32_t length_bytes);
/// Hands a caller's packet to the fabric, which sprays it.
void
SlWorld_Spray(struct SlWorld *world, const uint8_t *bytes,
              uint32_t length_bytes);
/// The flow that a caller's address belongs to; the count when none.
uint32_t
SlWorldFlow_Find(const struct SlWorld *world, const struct SlAddress *caller);
void
SlWorldFlow_Address(uint32_t index, uint16_t generation,
                    struct SlAddress *address);

/* upstreams.c */
void
SlWorldUpstream_Start(struct SlWorldNode *node);
void
SlWorldUpstream_Crash(struct SlWorldNode *node);
void
SlWorldUpstream_Take(struct SlWorldNode *node, const uint8_t *bytes,
                     uint32_t length_bytes);
void
SlWorldUpstream_JobDone(struct SlWorldNode *node, uint64_t job);

/* measure.c */
void
SlWorld_MeasureImbalance(struct SlWorld *world);
/// Counts what hashing without a flow table breaks at this change.
void
SlWorld_MoveBaselines(struct SlWorld *world);
/// The figure with the name used in a trace; false when there is none.
bool
SlWorld_Figure(const struct SlWorld *world, const char *name, double *value);

#endif
