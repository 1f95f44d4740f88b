#ifndef SAVORYLEDGE_COORDINATION_RELAY_ENTRY_CORE_H
#define SAVORYLEDGE_COORDINATION_RELAY_ENTRY_CORE_H

/// The parts of the relay's entry: flows and offers in relay_entry.c, the
/// search for a flow's holder in relay_locate.c, questions to all agents in
/// relay_delegate.c.

#include "savoryledge/balance/answer_timeout.h"
#include "savoryledge/coordination/relay_entry.h"

#include "relay_index.h"
#include "relay_members.h"
#include "relay_search.h"

enum {
    /// Opening segments up to this length can be offered again.
    SL_ENTRY_OPENING_BYTES = 96,
    /// Questions to all agents that are under way at a time: one that is lost
    /// does not hold up the others.
    SL_ENTRY_DELEGATIONS_MAX = 4,
};

struct SlEntryFlow {
    struct SlRelayItem item;
    /// The agent that holds it or was offered it last; 0 none.
    uint64_t holder;
    /// The holder has said so.
    bool held;
    /// Searches that ended without a certain answer.
    uint8_t fruitless;
    uint64_t began_us;
    uint64_t offered_us;
    uint32_t offers;
    uint32_t tried_count;
    uint64_t tried[SL_RELAY_DECLINED_MAX];
    uint32_t opening_bytes;
    uint8_t opening[SL_ENTRY_OPENING_BYTES];
    /// NULL while no search is under way.
    struct SlRelaySearch *search;
    /// Until when no other search begins after a fruitless one: what the
    /// caller sends meanwhile is dropped.
    uint64_t quiet_until_us;
};

/// A question to all agents.
struct SlRelayDelegation {
    /// 0 while it is free.
    uint32_t number;
    struct SlRelayQueryList questions;
    /// The agent that puts it, since when, and how many have been tried.
    uint64_t agent;
    uint64_t asked_us;
    uint32_t attempts;
};

struct SlRelayEntry {
    struct SlRelayOptions options;
    uint64_t node_id;
    uint64_t random;
    struct SlPlan *plan;
    struct SlVersion version;
    struct SlRelayMembers members;
    struct SlRelayIndex flows;
    bool cut_off;
    /// When upstreams are next judged by their answers.
    uint64_t judge_due_us;
    /// How long agents take to answer, and how many questions that allows.
    struct SlAnswerTimeout patience;
    struct SlQueryBudget budget;
    /// Most agents were silent, and none has been heard since.
    bool blames_itself;
    /// Questions to all agents, and how long an agent takes for one.
    struct SlRelayDelegation delegations[SL_ENTRY_DELEGATIONS_MAX];
    uint32_t last_delegation;
    struct SlAnswerTimeout delegation_patience;
    struct SlRelayEntryCounters counters;
};

/* relay_entry.c */
void
SlEntryFlow_Remove(struct SlRelayEntry *entry, struct SlEntryFlow *flow);
/// The next draw; no secret depends on it.
uint64_t
SlRelayEntry_Random(struct SlRelayEntry *entry);
void
SlRelayEntry_Event(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                   uint64_t now_us, struct SlEvent event);
/// Sends a segment to the flow's holder; false when that is no member.
bool
SlRelayEntry_Carry(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                   const struct SlEntryFlow *flow, const uint8_t *bytes,
                   uint32_t length_bytes);
/// Sends a frame to an agent.
void
SlRelayEntry_Send(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                  uint32_t at, const struct SlRelayFrame *frame);
void
SlRelayEntry_Reset(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                   const struct SlFlowKey *key, uint32_t seq);

/* relay_locate.c */
/// Goes on with a search when those who were asked have answered, or are not
/// waited for any longer. The flow may be gone after.
void
SlRelayEntry_GoOn(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                  uint64_t now_us, struct SlEntryFlow *flow);
/// Begins a search, or goes on with the one under way, for a segment whose
/// flow has no known holder.
void
SlRelayEntry_Locate(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                    uint64_t now_us, struct SlEntryFlow *flow,
                    const struct SlSegment *segment);
/// A segment came back from the agent sender, which does not hold its flow.
void
SlRelayEntry_NotThere(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                      uint64_t now_us, struct SlEntryFlow *flow,
                      const struct SlSegment *segment, uint64_t sender);
/// An agent answered ASK: HOLDS, or ABSENT without a segment.
void
SlRelayEntry_Located(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                     uint64_t now_us, struct SlEntryFlow *flow,
                     const struct SlRelayFrame *frame);
/// Time for a search to go on or to be given up. The flow may be gone after.
void
SlRelayEntry_LocateTick(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                        uint64_t now_us, struct SlEntryFlow *flow);

/// An agent says that it holds the flow that is searched for, or may hold it.
void
SlRelayEntry_Claimed(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                     uint64_t now_us, struct SlEntryFlow *flow,
                     uint64_t sender, bool certain);

/* relay_delegate.c */
/// Begins a question to all agents when searches wait for one, and gives it to
/// another agent when the first does not answer.
void
SlRelayEntry_DelegateTick(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                          uint64_t now_us);
/// An agent answered ASK_ALL.
void
SlRelayEntry_AllAnswered(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                         uint64_t now_us, const struct SlRelayFrame *frame);

#endif
