#ifndef SAVORYLEDGE_COORDINATION_RELAY_MEMBERS_H
#define SAVORYLEDGE_COORDINATION_RELAY_MEMBERS_H

/// The agents that an entry knows: the service of each by the configuration,
/// its last reported load, and whether it answers.

#include "savoryledge/balance/homes.h"
#include "savoryledge/balance/outlier.h"
#include "savoryledge/coordination/relay.h"

#include "relay_cost.h"

struct SlRelayMember {
    char name[SL_NAME_BYTES];
    struct SlAddress address;
    uint64_t boot;
    /// Index of the agent's service in the plan.
    uint32_t service;
    /// When the oldest unanswered offer was sent to the agent; 0 when all
    /// offers were answered.
    uint64_t oldest_unanswered_us;
    /// When the last frame arrived from the agent; 0 before the first frame.
    uint64_t last_frame_us;
    /// When a suspect agent is next given an offer to see whether it answers.
    uint64_t retry_due_us;
    /// Whether the last check found the agent slow, whether that was already
    /// reported, and when one flow may next be offered to probe whether it
    /// still is. While a probe is pending, the candidate is not marked as
    /// slow, so that it can be chosen.
    bool detected_slow;
    bool reported_slow;
    bool probe_pending;
    uint64_t probe_due_us;
    /// The agent's average answer time in microseconds at the last check for
    /// slow agents.
    uint32_t answer_us;
    /// Since when the configuration has marked the agent as unreachable and no
    /// frame has arrived from it here; otherwise 0.
    uint64_t unreachable_since_us;
};

/// All agents, grouped by service. candidates and members are parallel arrays.
struct SlRelayMembers {
    uint32_t count;
    /// How many of them leave: their agents are stopped or about to be, or
    /// their upstreams drain.
    uint32_t leaving_count;
    struct SlCandidate *candidates;
    struct SlRelayMember *members;
    /// For each service of the plan, the index of its first member, with one
    /// more element for the end.
    uint32_t service_count;
    uint32_t *first_index;
    /// For each service, whether every member is a home of every flow: no zone
    /// has more members than a flow has homes in a zone.
    bool *all_home;
    /// For each service, the cost of its requests.
    struct SlServiceCost *costs;
    /// Sorted by node_id, for binary search.
    struct SlRelayMemberLookup {
        uint64_t node_id;
        uint32_t index;
    } * lookup;
};

enum {
    SL_RELAY_NO_MEMBER = 0xffffffffu,
};

#define SL_RELAY_DISTANCE_MAX (UINT64_C(1) << 63)

/// Builds the members from a configuration. Keeps what is known of agents that
/// are in former and have not restarted since. Errors: SL_NO_MEMORY; members
/// is empty then.
enum SlStatus
SlRelayMembers_Build(struct SlRelayMembers *members, uint64_t now_us,
                     const struct SlRelayMembers *former,
                     const struct SlConfig *config, const struct SlPlan *plan,
                     const char *zone);
void
SlRelayMembers_Release(struct SlRelayMembers *members);

/// Returns the index of an agent, or SL_RELAY_NO_MEMBER when it is unknown.
uint32_t
SlRelayMembers_Find(const struct SlRelayMembers *members, uint64_t node_id);

/// Records that a flow was offered to the member at index.
void
SlRelayMembers_RecordOffer(struct SlRelayMembers *members, uint32_t index,
                           uint64_t now_us);
/// Records the load in a frame from the member at index. answers: the number
/// of offers that the frame answers. Returns true when the member was suspect
/// before.
bool
SlRelayMembers_RecordLoad(struct SlRelayMembers *members, uint32_t index,
                          uint64_t now_us, const struct SlRelayLoad *load,
                          uint32_t answers);
/// True when more members have left an offer unanswered for longer than
/// silent_us than have sent a frame in that time. The fault is then assumed to
/// be at the entry. Two silent members are too few to conclude that.
bool
SlRelayMembers_AreMostSilent(const struct SlRelayMembers *members,
                             uint64_t now_us, uint64_t silent_us);
/// Clears all unanswered offers, so that those sent while the entry was
/// isolated do not make members suspect.
void
SlRelayMembers_ClearOffers(struct SlRelayMembers *members);
/// Marks the next member, from index on, that left an offer unanswered for
/// silent_us as suspect and returns its index; SL_RELAY_NO_MEMBER when there
/// is none. Clears the mark of suspect members whose retry is due, so that
/// they are offered a flow.
uint32_t
SlRelayMembers_NextSilentMember(struct SlRelayMembers *members, uint32_t index,
                                uint64_t now_us, uint64_t silent_us);

/// Compares answer times within each service to mark slow members, and lets
/// one flow probe each slow member from time to time.
void
SlRelayMembers_DetectSlow(struct SlRelayMembers *members, uint64_t now_us);
/// Returns the next member, from index on, that became slow or stopped being
/// slow since this was last reported, and marks it as reported;
/// SL_RELAY_NO_MEMBER when there is none.
uint32_t
SlRelayMembers_NextSlowChange(struct SlRelayMembers *members, uint32_t index);

/// Compares the work of requests within each service.
void
SlRelayMembers_UpdateCosts(struct SlRelayMembers *members);
/// Returns the next service, from index on, whose flows began or ceased to be
/// placed by expected work since this was last reported, and marks it as
/// reported; SL_RELAY_NO_MEMBER when there is none.
uint32_t
SlRelayMembers_NextCostChange(struct SlRelayMembers *members, uint32_t index);

/// Returns the hash from which the homes of a flow are derived; the same in
/// all processes.
uint64_t
SlRelayMembers_FlowHash(const struct SlFlowKey *flow);
/// Marks the candidates that are homes of a flow in a service. service: its
/// index in the plan.
void
SlRelayMembers_MarkHomes(struct SlRelayMembers *members, uint32_t service,
                         const struct SlFlowKey *flow);

/// Returns how unlikely the member at index holds a flow, compared with others
/// of its service: by its rank for the flow, which is low for homes, also
/// after some members have joined. Members in the entry's zone are nearer.
/// Less than SL_RELAY_DISTANCE_MAX.
uint64_t
SlRelayMembers_Distance(const struct SlRelayMembers *members, uint32_t index,
                        uint64_t flow_hash);

/// True when the member is asked as a home of a flow. False when it has been
/// unreachable for SL_RELAY_UNREACHABLE_US and would most likely delay the
/// search. It may hold flows all the same; a broadcast query includes it.
bool
SlRelayMembers_IsAskedAtHome(const struct SlRelayMembers *members,
                             uint32_t index, uint64_t now_us);

/// True when the configuration allows new flows to the agent's upstream: the
/// node is not leaving, and no hold keeps the node or its zone out of service.
bool
SlRelayMember_AcceptsFlows(const struct SlConfig *config,
                           const struct SlObject *node);

#endif
