#ifndef SAVORYLEDGE_COORDINATION_RELAY_MEMBERS_H
#define SAVORYLEDGE_COORDINATION_RELAY_MEMBERS_H

/// The agents as an entry knows them: who serves which service, by the
/// configuration, and how each one answers.

#include "savoryledge/balance/homes.h"
#include "savoryledge/balance/outlier.h"
#include "savoryledge/coordination/relay.h"

struct SlRelayMember {
    char name[SL_NAME_BYTES];
    struct SlAddress address;
    uint64_t boot;
    /// Index of its service in the plan.
    uint32_t service;
    /// When the oldest offer was sent that has no answer yet; 0 none.
    uint64_t unanswered_us;
    /// When it was last heard; 0 never.
    uint64_t heard_us;
    /// A suspect is tried again then.
    uint64_t retry_us;
    /// Slow by the last judgement, whether that was told, and when a flow next
    /// shows whether it still is. While that flow is awaited the candidate is
    /// not called slow.
    bool judged_slow;
    bool told_slow;
    bool awaits_trial;
    uint64_t trial_us;
    /// The usual answer at that judgement.
    uint32_t answer_us;
    /// Since when the configuration calls it unreachable and nothing was heard
    /// of it here; 0 when it does not.
    uint64_t lost_us;
};

/// In order of service, so that those of one stand together; candidates and
/// members have the same indices.
struct SlRelayMembers {
    uint32_t count;
    struct SlCandidate *candidates;
    struct SlRelayMember *members;
    /// For each service of the plan: where its members begin; one more at the
    /// end.
    uint32_t service_count;
    uint32_t *first;
    /// For each service: every member is a home of every flow, since no zone
    /// has more of them than a flow has homes there.
    bool *all_home;
    /// Sorted by node_id, for lookups.
    struct SlRelayMemberPlace {
        uint64_t node_id;
        uint32_t at;
    } * places;
};

enum {
    SL_RELAY_NO_MEMBER = 0xffffffffu,
};

/// Reads the agents out of a configuration; what was learnt of those that are
/// in former, and have not started again since, is kept.
/// Errors: SL_NO_MEMORY; members is empty then.
enum SlStatus
SlRelayMembers_Build(struct SlRelayMembers *members, uint64_t now_us,
                     const struct SlRelayMembers *former,
                     const struct SlConfig *config, const struct SlPlan *plan,
                     const char *zone);
void
SlRelayMembers_Release(struct SlRelayMembers *members);

/// SL_RELAY_NO_MEMBER when there is none.
uint32_t
SlRelayMembers_Find(const struct SlRelayMembers *members, uint64_t node_id);

/// An offer was sent, and the answer to one came.
void
SlRelayMembers_Offered(struct SlRelayMembers *members, uint32_t at,
                       uint64_t now_us);
/// answers: offers that this frame answers. Returns true when the member was
/// suspect until now.
bool
SlRelayMembers_Heard(struct SlRelayMembers *members, uint32_t at,
                     uint64_t now_us, const struct SlRelayLoad *load,
                     uint32_t answers);
/// True when of the members that were offered something more stay silent for
/// longer than silent_us than were heard lately: the entry hears badly itself.
/// Two silent ones are too few to tell.
bool
SlRelayMembers_AreMostSilent(const struct SlRelayMembers *members,
                             uint64_t now_us, uint64_t silent_us);
/// The entry hears again: offers of before are no member's silence.
void
SlRelayMembers_ForgetOffers(struct SlRelayMembers *members);
/// Looks for members that answered nothing for silent_us. Returns the next one
/// that turned suspect, from index at on; SL_RELAY_NO_MEMBER when there is
/// none left.
uint32_t
SlRelayMembers_NextSilent(struct SlRelayMembers *members, uint32_t at,
                          uint64_t now_us, uint64_t silent_us);

/// Judges the members of each service by their answers, and lets one flow try
/// each slow one now and then.
void
SlRelayMembers_JudgeSlow(struct SlRelayMembers *members, uint64_t now_us);
/// The next member from index at on whose judgement changed and was not told;
/// it then counts as told. SL_RELAY_NO_MEMBER when there is none left.
uint32_t
SlRelayMembers_NextJudged(struct SlRelayMembers *members, uint32_t at);

/// By which a flow's homes are found: the same at every process.
uint64_t
SlRelayMembers_FlowHash(const struct SlFlowKey *flow);
/// Marks the homes of a flow in the service at index service of the plan.
void
SlRelayMembers_MarkHomes(struct SlRelayMembers *members, uint32_t service,
                         const struct SlFlowKey *flow);

/// False for one that has been lost so long that no flow can still go on
/// there.
bool
SlRelayMembers_MayHold(const struct SlRelayMembers *members, uint32_t at,
                       uint64_t now_us);

/// True when the agent's upstream may be offered new flows, by the
/// configuration alone.
bool
SlRelayMember_IsOpen(const struct SlConfig *config,
                     const struct SlObject *node);

#endif
