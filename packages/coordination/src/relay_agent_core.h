#ifndef SAVORYLEDGE_COORDINATION_RELAY_AGENT_CORE_H
#define SAVORYLEDGE_COORDINATION_RELAY_AGENT_CORE_H

/// The parts of the relay's agent: relay_agent.c keeps what is known of
/// configuration and upstream, relay_admit.c answers offers, relay_flow.c
/// follows the flows that the upstream carries, relay_deferred.c lets requests
/// on them wait for more urgent ones, relay_report.c tells entries,
/// relay_broadcast.c asks all agents on an entry's behalf.

#include "savoryledge/balance/admission_queue.h"
#include "savoryledge/balance/answer_timeout.h"
#include "savoryledge/coordination/relay_agent.h"

#include "relay_broadcast.h"
#include "relay_index.h"

enum {
    /// Questions to all agents that one agent puts at a time.
    SL_AGENT_ROUNDS_MAX = 8,
};

enum SlAgentFlowState {
    /// Let in; the caller has not chosen this upstream yet.
    SL_AGENT_OPENING = 0,
    /// It waits for a slot, and the upstream knows nothing of it.
    SL_AGENT_WAITING,
    SL_AGENT_OPEN,
    /// Not known here, but handed to the upstream, which may give it back.
    SL_AGENT_TENTATIVE,
    /// Both ends closed it, or one reset it; late segments still go there.
    SL_AGENT_ENDED,
};

/// A segment that the upstream gets later.
struct SlKeptSegment {
    struct SlKeptSegment *next;
    uint32_t seq;
    uint32_t length_bytes;
    uint8_t bytes[];
};

struct SlAgentFlow {
    struct SlRelayItem item;
    enum SlAgentFlowState state;
    uint64_t began_us;
    /// The entry that its last segment came through.
    struct SlAddress entry;
    /// Numbers of the two opening segments.
    uint32_t caller_first;
    uint32_t upstream_first;
    bool answered;
    /// Where the caller's data ends so far.
    uint32_t caller_end;
    bool caller_end_known;
    /// Counted as opening, or as a flow, or with a request in progress.
    bool counted_opening;
    bool counted_flow;
    bool requested;
    uint64_t requested_us;
    bool caller_closed;
    bool upstream_closed;
    /// The opening segment, while the flow waits.
    uint8_t *opening;
    uint32_t opening_bytes;
    /// A request that waits for more urgent work, in the order of its
    /// segments; NULL when none does.
    struct SlKeptSegment *kept;
    uint64_t kept_us;
};

/// An entry as the configuration tells. An agent has them sorted by node_id.
struct SlAgentEntry {
    uint64_t node_id;
    uint64_t boot;
    struct SlAddress address;
    /// When an offer or segment last came from it; 0 never.
    uint64_t heard_us;
    /// The load that it was told last.
    struct SlRelayLoad told;
};

struct SlRelayAgent {
    struct SlRelayOptions options;
    uint64_t node_id;
    struct SlPlan *plan;
    struct SlVersion version;
    /// Index of its service in the plan; SL_PLAN_NO_SERVICE when it has none.
    uint32_t service;
    bool zone_out;
    bool held_out;
    bool stopping;
    bool known;
    /// It has said that it is gone, and no other one has spoken since.
    bool gone;
    /// Slots by the word of the process before; 0 it took no new flows.
    uint32_t assumed_slots;
    uint64_t assume_until_us;
    struct SlUpstreamStatus upstream;
    uint64_t noticed_us;
    /// Last sign of life from the upstream: a segment or a notice.
    uint64_t upstream_heard_us;
    /// It left an opening segment unanswered; until then no offer is taken.
    uint64_t silent_until_us;
    /// From then on a flow that is not in the table is not at the upstream.
    uint64_t complete_at_us;
    struct SlAdmission admission;
    struct SlAdmissionQueue wait_room;
    struct SlRelayIndex flows;
    uint32_t entry_count;
    struct SlAgentEntry *entries;
    /// The other agents that the configuration names and that have an
    /// upstream, of all services, sorted by node_id.
    uint32_t peer_count;
    struct SlRoundPeer *peers;
    /// Questions to all of them; free ones have the number 0.
    struct SlRelayRound rounds[SL_AGENT_ROUNDS_MAX];
    uint32_t last_round;
    /// How long they take to answer, and how many questions that allows.
    struct SlAnswerTimeout patience;
    struct SlQueryBudget budget;
    uint64_t report_due_us;
    struct SlRelayAgentCounters counters;
};

/* relay_agent.c */
void
SlRelayAgent_Event(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                   uint64_t now_us, struct SlEvent event);
/// True when a flow that is not in the table may be at the upstream.
bool
SlRelayAgent_MayHold(const struct SlRelayAgent *agent, uint64_t now_us);

/* relay_flow.c */
struct SlAgentFlow *
SlAgentFlow_Find(const struct SlRelayAgent *agent,
                 const struct SlFlowKey *key);
/// NULL without memory.
struct SlAgentFlow *
SlAgentFlow_Add(struct SlRelayAgent *agent, uint64_t now_us,
                const struct SlFlowKey *key, enum SlAgentFlowState state,
                const struct SlAddress *entry);
/// Takes the flow out of all counts, and out of the table.
void
SlAgentFlow_Remove(struct SlRelayAgent *agent, struct SlAgentFlow *flow);
void
SlAgentFlow_RemoveAll(struct SlRelayAgent *agent);
/// Removes all but those that still wait, which the upstream never had.
void
SlAgentFlow_RemoveHeld(struct SlRelayAgent *agent);
/// Hands a caller's segment of a known flow to the upstream.
void
SlAgentFlow_Deliver(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                    uint64_t now_us, struct SlAgentFlow *flow,
                    const struct SlSegment *segment);
/// A segment from an entry that opens no flow.
void
SlAgentFlow_Carried(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                    uint64_t now_us, const struct SlAddress *from,
                    const struct SlSegment *segment);
/// A segment that the upstream sent.
void
SlAgentFlow_Answered(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                     uint64_t now_us, const struct SlSegment *segment);
/// A segment that the upstream gave back; its mark is taken off.
void
SlAgentFlow_Returned(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                     uint64_t now_us, const struct SlSegment *segment);
/// An entry asks who holds a flow.
void
SlAgentFlow_Asked(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                  uint64_t now_us, const struct SlAddress *from,
                  const struct SlRelayFrame *ask);
/// Another agent asks which of many flows this one holds.
void
SlAgentFlow_AskedMany(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                      uint64_t now_us, const struct SlAddress *from,
                      const struct SlRelayFrame *ask);
/// What this agent knows of a flow. False when its upstream does not hold it,
/// for certain; certain tells whether it does, on true.
bool
SlAgentFlow_MayHold(const struct SlRelayAgent *agent, uint64_t now_us,
                    const struct SlFlowKey *key, uint32_t ack, bool *certain);
/// Flows that wait for their upstream, and flows that are over.
void
SlAgentFlow_Tick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                 uint64_t now_us);

/* relay_admit.c */
/// Decides on the opening segment of a flow.
void
SlRelayAgent_Offered(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                     uint64_t now_us, const struct SlAddress *from,
                     const struct SlSegment *segment,
                     const struct SlRelayFrame *offer);
/// Lets flows in that wait, as far as there is room, and gives up those that
/// cannot be answered in time.
void
SlRelayAgent_ServeWaiting(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                          uint64_t now_us);
void
SlRelayAgent_Decline(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                     uint64_t now_us, const struct SlAddress *to,
                     const struct SlFlowKey *key, enum SlRelayReason reason);
/// Time that a flow of the route waits at most, microseconds.
uint64_t
SlRelayAgent_WaitLimitUs(const struct SlPlanRoute *route);
/// Why no offer at all is taken; SL_RELAY_REASON_NONE when some are.
enum SlRelayReason
SlRelayAgent_ClosedFor(const struct SlRelayAgent *agent, uint64_t now_us);

/* relay_deferred.c */
/// Keeps a caller's segment back that belongs to a request which has to wait.
/// Returns false when the segment is to be delivered now. A request that was
/// kept is dropped when its caller ends the flow.
bool
SlAgentTurn_Keep(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                 uint64_t now_us, struct SlAgentFlow *flow,
                 const struct SlSegment *segment);
/// Hands over what was kept back.
void
SlAgentTurn_Take(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                 uint64_t now_us, struct SlAgentFlow *flow);
/// Drops what was kept back, and its place among those who wait.
void
SlAgentTurn_Forget(struct SlRelayAgent *agent, struct SlAgentFlow *flow);

/* relay_report.c */
struct SlRelayLoad
SlRelayAgent_Load(const struct SlRelayAgent *agent, uint64_t now_us);
/// Reads the entries and the other agents out of a configuration.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlRelayAgent_ReadProcesses(struct SlRelayAgent *agent, uint64_t now_us,
                           const struct SlConfig *config);
/// A frame came from an entry.
void
SlRelayAgent_HeardEntry(struct SlRelayAgent *agent, uint64_t now_us,
                        uint64_t node_id);
/// A frame came from another agent.
void
SlRelayAgent_HeardPeer(struct SlRelayAgent *agent, uint64_t node_id);
/// An entry learned the load from an answer to its offer: from then on another
/// load is news to it.
void
SlRelayAgent_Told(struct SlRelayAgent *agent, const struct SlAddress *address,
                  const struct SlRelayLoad *load);
/// Tells entries that talk to this agent of a changed load.
void
SlRelayAgent_Report(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                    uint64_t now_us);

/* relay_broadcast.c */
/// An entry wants all agents asked.
void
SlRelayAgent_AskAll(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                    uint64_t now_us, const struct SlAddress *from,
                    const struct SlRelayFrame *frame);
/// Another agent answered ASK_MANY.
void
SlRelayAgent_HeardMany(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                       uint64_t now_us, const struct SlRelayFrame *frame);
void
SlRelayAgent_RoundsTick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                        uint64_t now_us);

#endif
