#ifndef SAVORYLEDGE_COORDINATION_AGENT_PRIVATE_H
#define SAVORYLEDGE_COORDINATION_AGENT_PRIVATE_H

/// Shared by the files of the agent.
///
/// Locks: a thread holds at most one shard of the flow table; under it, at
/// most one of the locks of admission, peers, searches and return path at a
/// time. Sinks are called under a shard's lock and must not call back.

#include <pthread.h>
#include <stdatomic.h>

#include "savoryledge/common/packet.h"
#include "savoryledge/coordination/agent.h"
#include "savoryledge/state/flow_table.h"

enum {
    AGENT_SECOND_US = 1000 * 1000,
    /// After a move of a bucket, or the agent's start, new flows are claimed
    /// before they are admitted.
    AGENT_SETTLE_US = 30 * AGENT_SECOND_US,
    /// Within this time a copy of a first packet may still be under way to
    /// another agent.
    AGENT_COPY_US = 10 * AGENT_SECOND_US,
    /// A peer that was not heard for this long gets no new flows.
    AGENT_PEER_SILENT_US = 2 * AGENT_SECOND_US,
    /// A peer that fell silent may be restarting for this long.
    AGENT_PEER_RESTART_US = 5 * AGENT_SECOND_US,
    AGENT_DEFAULT_ADOPT_S = 24 * 3600,
    /// Load is told this often while it moves, else at the longer interval.
    AGENT_GOSSIP_US = 500 * 1000,
    AGENT_GOSSIP_MAX_US = 1000 * 1000,
    AGENT_PING_US = 250 * 1000,
    AGENT_LOCATE_ROUND_MS = 100,
    AGENT_LOCATE_ROUNDS = 2,
    AGENT_HANDSHAKE_MS = 5000,
    AGENT_SOFT_MS = 60 * 1000,
    AGENT_REFUSED_MS = 200,
    /// How long a probed upstream has to answer, how long its silence is
    /// remembered, and how often those who probed are asked again.
    AGENT_PROBE_MS = 20,
    AGENT_PROBED_MS = 1000,
    AGENT_LOOKS_MAX = 5,
    /// A caller that asks nothing for this long after its handshake is not
    /// expected to ask at once.
    AGENT_EXPECT_MS = 250,
    AGENT_STALL_MS = 1000,
    AGENT_DEFAULT_SILENCE_MS = 15 * 1000,
    AGENT_DEFAULT_UDP_IDLE_MS = 60 * 1000,
    AGENT_TCP_IDLE_MS = 7 * 24 * 3600 * 1000,
    AGENT_HALF_CLOSED_MS = 3600 * 1000,
    /// How far sequence numbers may lie from those seen.
    AGENT_WINDOW_BYTES = 1 << 26,
    AGENT_SEARCHES_MAX = 1024,
    /// Searches of each kind, with a claim and without, in a window.
    AGENT_SEARCHES_PER_WINDOW = 200,
    AGENT_SEARCH_WINDOW_US = 100 * 1000,
    AGENT_SEARCH_PACKETS = 4,
    AGENT_SEARCH_BYTES_MAX = 4 * 1024 * 1024,
    AGENT_SEARCH_ASKED_MAX = 80,
    AGENT_PEERS_MAX = 512,
    AGENT_HOLDERS_MAX = 64,
    AGENT_SERVICES_MAX = 64,
    AGENT_FRAGMENTS = 64,
    AGENT_DUE_PER_TICK = 4096,
    /// Zone out: the flows are ended over this many ticks.
    AGENT_LEAVE_TICKS = 50,
    /// After a zone went out its agents are told of flows that came back
    /// elsewhere.
    AGENT_LEFT_US = 3 * AGENT_SECOND_US,
};

enum agent_counter {
    COUNT_DELIVERED,
    COUNT_RETURNED,
    COUNT_ADMITTED,
    COUNT_PASSED_ON,
    COUNT_REFUSED_NOT_RUN,
    COUNT_REFUSED_UNKNOWN,
    COUNT_LOCATED,
    COUNT_LOCATE_FAILED,
    COUNT_ADOPTED,
    COUNT_RESET,
    COUNT_SILENT,
    COUNT_FOREIGN,
    COUNT_DROPPED,
    COUNTERS,
};

/// Open flows of one service.
struct agent_held {
    uint64_t service_id;
    uint32_t flows;
};

/// What the upstream may carry now; see agent_admission.c.
struct agent_admission {
    pthread_mutex_t lock;
    uint32_t slots;
    uint32_t capacity_flows;
    /// These two are read without the lock for events.
    _Atomic uint32_t open_flows;
    _Atomic uint32_t limit_flows;
    uint32_t handshakes;
    uint32_t exchanges;
    /// Flows whose caller waits for an answer, however long already.
    uint32_t asked;
    /// TCP flows with payload that the other side has not acknowledged.
    _Atomic uint32_t moving;
    uint32_t limit_exchanges;
    /// Answers in usual time since the last growth.
    uint32_t good_answers;
    /// Answers that took too long, or failed, in a row.
    uint32_t bad_answers;
    uint32_t late_permille;
    uint32_t usual_samples;
    uint64_t usual_us;
    uint64_t spread_us;
    uint64_t grown_us;
    uint64_t cut_us;
    uint64_t answered_us;
    /// Connections that the upstream gave up in the present window.
    uint64_t lost_us;
    uint32_t lost;
    uint32_t held_count;
    struct agent_held held[AGENT_SERVICES_MAX];
};

/// Another agent of a service, and its last word on its load.
struct agent_peer {
    uint64_t node_id;
    /// One of the services that it shares with this agent.
    uint64_t service_id;
    uint32_t flows;
    uint32_t capacity;
    uint32_t room;
    /// 0: never.
    uint64_t heard_us;
};

/// An agent that holds flows of a service whose upstream it no longer is.
struct agent_holder {
    uint64_t service_id;
    uint64_t node_id;
    uint64_t heard_us;
};

struct agent_peers {
    pthread_mutex_t lock;
    uint32_t count;
    struct agent_peer items[AGENT_PEERS_MAX];
    uint32_t holder_count;
    struct agent_holder holders[AGENT_HOLDERS_MAX];
    uint64_t gossip_us;
    /// The last word to the peers on this agent's load.
    uint64_t told_us;
    uint32_t told_flows;
    uint32_t told_room;
    /// Flows passed to agents that told to be full, in the present window.
    uint64_t tries_us;
    uint32_t tries;
};

/// A packet that waits for the end of a search.
struct agent_waiting {
    struct SlTunnel tunnel;
    uint8_t *bytes;
};

/// One search for a flow's holder.
struct agent_search {
    bool claim;
    /// This agent's own upstream was asked.
    bool probed;
    bool denied;
    /// Sequence number of the first packet that waits.
    uint32_t seq;
    uint64_t service_id;
    uint64_t started_us;
    uint32_t round;
    /// Waits for the answers of probed upstreams, for the looks-th time.
    bool looking;
    uint32_t looks;
    uint32_t asked_count;
    uint64_t asked[AGENT_SEARCH_ASKED_MAX];
    bool answered[AGENT_SEARCH_ASKED_MAX];
    /// Asked, but silent for so long that nobody waits for its answer.
    bool dead[AGENT_SEARCH_ASKED_MAX];
    /// Answered that its upstream was asked just now.
    bool recent[AGENT_SEARCH_ASKED_MAX];
    /// Where an agent passed the flow on to, by its word; 0 if none.
    uint64_t passed;
    bool has_last_seq;
    uint32_t last_seq;
    uint32_t waiting_count;
    struct agent_waiting waiting[AGENT_SEARCH_PACKETS];
};

/// The searches: a flow of kind PENDING names its slot in holder. A search
/// is worked on under its flow's shard; the lock guards the free slots.
struct agent_searches {
    pthread_mutex_t lock;
    uint32_t waiting_bytes;
    /// Searches begun in the present window: without and with a claim.
    uint64_t window_us;
    uint32_t started[2];
    uint32_t free_count;
    uint16_t free[AGENT_SEARCHES_MAX];
    struct agent_search *slots[AGENT_SEARCHES_MAX];
};

enum {
    AGENT_PATHS = 2,
};

/// The entries through which answers leave.
struct agent_paths {
    pthread_mutex_t lock;
    uint32_t count;
    uint64_t nodes[AGENT_PATHS];
    uint64_t pong_us[AGENT_PATHS];
    uint64_t pinged_us[AGENT_PATHS];
    uint64_t chosen_us;
    uint64_t ping_us;
    uint64_t current;
    /// Ranks passed over because they were silent.
    uint32_t offset;
};

/// A datagram of the upstream whose first fragment was returned.
struct agent_fragmented {
    struct SlFlowKey flow;
    uint32_t id;
    uint64_t service_id;
    /// The entry that forwarded last for the flow.
    uint64_t entry;
    /// 0: a free place.
    uint64_t seen_us;
};

/// The latest of them.
struct agent_fragments {
    pthread_mutex_t lock;
    uint32_t next;
    struct agent_fragmented items[AGENT_FRAGMENTS];
};

struct SlAgent {
    struct SlAgentOptions options;
    uint64_t node_id;
    uint64_t started_us;
    /// Read inside RCU sections.
    struct SlRouting *routing;
    struct SlFlowTable *table;
    uint32_t soft_per_shard;
    uint32_t handshakes_per_shard;
    struct agent_admission admission;
    struct agent_peers peers;
    struct agent_searches searches;
    struct agent_paths paths;
    struct agent_fragments fragments;
    atomic_bool stopping;
    /// From the routing table: this node's zone is out, it drains.
    atomic_bool zone_out;
    atomic_bool draining;
    /// From the routing table: members whose zone is out, and when the last
    /// of them was added. 0: never.
    uint32_t nodes_out;
    atomic_uint_fast64_t left_us;
    /// A peer's datagram named a newer version than the routing table's.
    atomic_bool behind;
    /// Zone out: place of the next flow to end. Tick only.
    uint32_t leave_shard;
    uint32_t leave_place;
    uint32_t leave_flows;
    atomic_uint_fast64_t counters[COUNTERS];
};

/// One input being handled.
struct agent_call {
    struct SlAgent *agent;
    struct SlSink *sink;
    uint64_t now_us;
    uint32_t now_ms;
    /// NULL before the first table.
    const struct SlRouting *routing;
};

/// One caller packet being handled.
struct agent_packet {
    struct SlPacket packet;
    struct SlFlowKey key;
    /// Who serves the packet's destination now; NULL if nobody.
    const struct SlRouteService *service;
    const struct SlTunnel *tunnel;
    bool has_last_seq;
    uint32_t last_seq;
};

/// Time from then_us to now_us; 0 when another thread's input, a moment
/// later, was noted first.
static inline uint64_t
agent_elapsed_us(uint64_t now_us, uint64_t then_us)
{
    return now_us > then_us ? now_us - then_us : 0;
}

/// The same for times cut to 32 bits.
static inline uint32_t
agent_elapsed_ms(uint32_t now_ms, uint32_t then_ms)
{
    int32_t elapsed_ms = (int32_t)(now_ms - then_ms);

    return elapsed_ms > 0 ? (uint32_t)elapsed_ms : 0;
}

/* agent.c */
void
agent_count(struct SlAgent *agent, enum agent_counter counter);
/// Logs a decision; version and time are filled in.
void
agent_event(const struct agent_call *call, struct SlEvent *event);
const char *
agent_node_name(const struct agent_call *call, uint64_t node_id);
/// Fills sender, version and, between agents, load; sends if the node is
/// known. False when it is not.
bool
agent_send(const struct agent_call *call, uint64_t node_id,
           struct SlTunnel *tunnel);
/// True when the agent runs for less than bound_us.
bool
agent_started_within(const struct agent_call *call, uint64_t bound_us);
/// True when the service's upstreams include this agent's.
bool
agent_serves(const struct agent_call *call,
             const struct SlRouteService *service);
/// True when this agent may take new flows at all.
bool
agent_takes_new(const struct agent_call *call);
/// True for the first packet of a flow: a SYN or a UDP datagram.
bool
agent_is_opening(const struct SlPacket *packet);
/// True when delivering a copy could run something.
bool
agent_has_payload(const struct SlPacket *packet);
bool
agent_visited(const struct SlTunnel *tunnel, uint64_t node_id);

/* agent_forward.c */
void
agent_handle_forward(const struct agent_call *call,
                     const struct SlTunnel *tunnel);
/// Decides about one packet by what the table knows of its flow.
void
agent_route(const struct agent_call *call, struct SlFlowShard *shard,
            struct agent_packet *p);
/// Reads a caller's packet; false and counted when it is of no use.
bool
agent_read(const struct agent_call *call, const struct SlTunnel *tunnel,
           struct agent_packet *p);
/// Sends the packet on to another agent.
bool
agent_send_on(const struct agent_call *call, const struct agent_packet *p,
              uint64_t node_id, uint32_t flags);
/// Notes that node_id has the flow, in place of what was known.
struct SlFlow *
agent_mark(const struct agent_call *call, struct SlFlowShard *shard,
           const struct agent_packet *p, uint64_t node_id);
void
agent_drop(const struct agent_call *call, const struct SlFlowKey *key,
           const char *reason);

/* agent_place.c */
/// A new flow that nobody is known to have.
void
agent_place_new(const struct agent_call *call, struct SlFlowShard *shard,
                struct agent_packet *p);
/// Admits, passes on or refuses: every claim is settled.
void
agent_decide(const struct agent_call *call, struct SlFlowShard *shard,
             struct agent_packet *p);
/// Admits the flow or refuses it; never passes it on.
void
agent_decide_here(const struct agent_call *call, struct SlFlowShard *shard,
                  struct agent_packet *p);
/// True when no other agent can have got a copy of the opening packet
/// within the last bound_us.
bool
agent_settled(const struct agent_call *call, const struct agent_packet *p,
              uint64_t bound_us);

/* agent_flow.c */
/// Tells the entry that took the packet who has its flow, 0 for nobody.
void
agent_hint(const struct agent_call *call, const struct agent_packet *p,
           uint64_t holder);
/// Opens a flow for the upstream and delivers its first packet.
bool
agent_open_flow(const struct agent_call *call, struct SlFlowShard *shard,
                struct agent_packet *p);
/// Takes over a flow whose beginning this process did not see.
struct SlFlow *
agent_adopt(const struct agent_call *call, struct SlFlowShard *shard,
            const struct SlFlowKey *key, const struct SlRouteService *service,
            uint64_t origin);
/// A packet of a flow that the upstream has: checks, notes and delivers it.
void
agent_deliver(const struct agent_call *call, struct SlFlowShard *shard,
              struct SlFlow *flow, struct agent_packet *p);
/// Ends a flow without sending anything.
void
agent_end_flow(const struct agent_call *call, struct SlFlowShard *shard,
               struct SlFlow *flow, const char *reason);
/// Ends a flow with resets towards both sides.
void
agent_reset_flow(const struct agent_call *call, struct SlFlowShard *shard,
                 struct SlFlow *flow, const char *reason);
/// Adds an entry of another kind than OPEN; the oldest such makes room.
struct SlFlow *
agent_insert_soft(const struct agent_call *call, struct SlFlowShard *shard,
                  const struct SlFlowKey *key, enum SlFlowKind kind);

/* agent_track.c */
/// True when the packet's numbers fit the flow.
bool
agent_plausible(const struct SlFlow *flow, const struct SlPacket *packet);
/// Notes a caller's packet; true when it carries new payload.
bool
agent_track_caller(struct SlFlow *flow, const struct SlPacket *packet,
                   uint32_t now_ms);
void
agent_track_upstream(struct SlFlow *flow, const struct SlPacket *packet,
                     uint32_t now_ms);
/// True when payload of a TCP flow is not yet acknowledged.
bool
agent_is_moving(const struct SlFlow *flow);
/// Keeps count of the flows that move. before: as it was.
void
agent_count_moving(struct SlAgent *agent, const struct SlFlow *flow,
                   bool before);
/// True when both sides have closed and know it.
bool
agent_is_closed(const struct SlFlow *flow);

/* agent_upstream.c */
void
agent_handle_upstream(const struct agent_call *call, const uint8_t *bytes,
                      uint32_t length_bytes);

/* agent_admission.c */
bool
agent_admission_init(struct agent_admission *admission,
                     const struct SlAgentOptions *options, uint64_t now_us);
/// Counts a new flow in if the limits allow it. adopted: always.
bool
agent_admission_open(const struct agent_call *call, uint64_t service_id,
                     bool handshake, bool adopted);
void
agent_admission_close(const struct agent_call *call,
                      const struct SlFlow *flow);
void
agent_admission_handshake_done(const struct agent_call *call);
/// Begins an exchange; returns how many were in progress.
uint32_t
agent_admission_begin(const struct agent_call *call);
/// Notes that a caller waits for an answer, or no longer does.
void
agent_admission_asked(const struct agent_call *call, bool waits);
/// Ends an exchange that nothing was learnt from.
void
agent_admission_cancel(const struct agent_call *call);
/// Ends an exchange with the upstream's first answer.
void
agent_admission_answered(const struct agent_call *call,
                         const struct SlFlow *flow);
/// An exchange is in progress for longer than answers usually take. True
/// when it no longer counts as one.
bool
agent_admission_late(const struct agent_call *call, const struct SlFlow *flow);
/// When an exchange will be late, after its begin.
uint32_t
agent_admission_late_ms(const struct agent_call *call);
/// The upstream failed an exchange or a handshake.
void
agent_admission_failed(const struct agent_call *call, const char *reason);
/// The upstream closed or reset a connection that was idle or had a request
/// in progress. Many at once mean that it started anew.
void
agent_admission_lost(const struct agent_call *call);
/// Raises the limits when it is time.
void
agent_admission_tick(const struct agent_call *call);
/// The upstream returns after its zone was out or it drained.
void
agent_admission_restart(const struct agent_call *call);
void
agent_admission_load(struct SlAgent *agent, struct SlTunnel *tunnel);

/* agent_peers.c */
bool
agent_peers_init(struct agent_peers *peers);
void
agent_peers_routing(struct SlAgent *agent, const struct SlRouting *before,
                    const struct SlRouting *routing, uint64_t now_us);
/// Notes the load in a datagram from another agent.
void
agent_peers_heard(const struct agent_call *call,
                  const struct SlTunnel *tunnel);
/// Microseconds since the peer was heard; UINT64_MAX when it never was.
uint64_t
agent_peer_silent_us(const struct agent_call *call, uint64_t node_id);
/// The best agent to pass a new flow on to, 0 if none. balance: only one
/// whose load is clearly lower and that has room.
uint64_t
agent_peers_pick(const struct agent_call *call, const struct agent_packet *p,
                 bool balance);
/// Agents that hold flows of the service without being its members.
uint32_t
agent_peers_holders(const struct agent_call *call, uint64_t service_id,
                    uint64_t *nodes, uint32_t room);
void
agent_peers_tick(const struct agent_call *call);

/* agent_search.c */
bool
agent_searches_init(struct agent_searches *searches);
void
agent_searches_release(struct agent_searches *searches);
/// NULL when there are too many, or without memory.
struct agent_search *
agent_search_start(struct agent_searches *searches, bool claim,
                   uint64_t now_us, uint64_t *slot);
struct agent_search *
agent_search_of(struct agent_searches *searches, const struct SlFlow *flow);
/// Takes a search out of its slot; the caller releases it.
struct agent_search *
agent_search_take(struct agent_searches *searches, const struct SlFlow *flow);
/// Frees a search and what waits. NULL is allowed.
void
agent_search_release(struct agent_search *search);
/// Counts bytes in that wait, within the bound for all searches.
bool
agent_search_reserve(struct agent_searches *searches, uint32_t length_bytes);
void
agent_search_give_back(struct agent_searches *searches, uint32_t length_bytes);

/* agent_locate.c */
/// Starts a search for the flow's holder; the packet waits.
void
agent_locate(const struct agent_call *call, struct SlFlowShard *shard,
             struct agent_packet *p, bool claim);
/// Lets a packet of a flow that is being searched for wait.
void
agent_locate_wait(const struct agent_call *call, struct SlFlow *flow,
                  const struct agent_packet *p);
void
agent_locate_due(const struct agent_call *call, struct SlFlowShard *shard,
                 struct SlFlow *flow);
/// The upstream turned out to have the flow: adopts it and delivers what
/// waits.
void
agent_locate_own(const struct agent_call *call, struct SlFlowShard *shard,
                 struct SlFlow *flow, const struct SlRouteService *service);
/// The upstream told that it does not have the flow.
void
agent_locate_denied(const struct agent_call *call, const struct SlFlow *flow);
/// A claim by a lower node: this agent's own search ends in its favour.
void
agent_locate_yield(const struct agent_call *call, struct SlFlowShard *shard,
                   struct SlFlow *flow, uint64_t node_id);
/// Asks the upstream itself, by an old acknowledgement without payload: where
/// the connection lives it is answered (RFC 9293, 3.10.7.4), and the answer
/// makes this agent adopt the flow. Only an agent whose table may have been
/// lost asks. True when it did.
bool
agent_probe(const struct agent_call *call, const struct SlFlowKey *key,
            uint32_t seq);
/// Another agent answers a search.
void
agent_handle_located(const struct agent_call *call,
                     const struct SlTunnel *tunnel);

/* agent_answer.c */
/// Another agent searches.
void
agent_handle_locate(const struct agent_call *call,
                    const struct SlTunnel *tunnel);
/* agent_fragment.c */
bool
agent_fragments_init(struct agent_fragments *fragments);
/// Turns the first fragment of a UDP datagram into a view with ports, as far
/// as it goes; false for any other fragment.
bool
agent_fragment_opens(struct SlPacket *packet);
/// Notes a first fragment that is being returned for an open flow.
void
agent_fragments_note(const struct agent_call *call,
                     const struct SlPacket *packet, const struct SlFlow *flow);
/// Returns a later fragment after its first.
void
agent_fragments_return(const struct agent_call *call,
                       const struct SlPacket *fragment);
/* agent_refuse.c */
/// Refuses a new flow. not_run: nothing was delivered anywhere.
void
agent_refuse(const struct agent_call *call, struct SlFlowShard *shard,
             const struct agent_packet *p, bool not_run, const char *reason);
/// Answers a packet of a flow that nobody has.
void
agent_answer_reset(const struct agent_call *call, const struct agent_packet *p,
                   const char *reason);
/// Sends resets for a flow by its numbers.
void
agent_send_resets(const struct agent_call *call, const struct SlFlow *flow);
/// Answers a packet of the upstream with a reset.
void
agent_reset_upstream(const struct agent_call *call,
                     const struct SlPacket *packet);

/* agent_path.c */
bool
agent_paths_init(struct agent_paths *paths);
/// Sends a packet to the caller through an entry. last_entry: a hint, 0 for
/// none.
void
agent_return(const struct agent_call *call, uint64_t service_id,
             uint64_t last_entry, const uint8_t *bytes, uint32_t length_bytes);
void
agent_paths_pong(const struct agent_call *call, const struct SlTunnel *tunnel);
void
agent_paths_tick(const struct agent_call *call);

/* agent_timer.c */
void
agent_timers_tick(const struct agent_call *call);
/// Puts an open flow into the queue where its next deadline is looked at.
void
agent_schedule(const struct agent_call *call, struct SlFlowShard *shard,
               struct SlFlow *flow);

#endif
