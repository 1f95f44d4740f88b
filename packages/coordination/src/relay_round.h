#ifndef SAVORYLEDGE_COORDINATION_RELAY_ROUND_H
#define SAVORYLEDGE_COORDINATION_RELAY_ROUND_H

/// One question to every agent about many flows at once, for flows whose homes
/// do not hold them. A round costs as many frames as there are agents, however
/// many flows it asks for, and one is under way at a time; so what an entry
/// spends on them does not grow with the number of flows that nobody holds.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/protocol/relay.h"

#include "relay_members.h"

/// An agent in a round.
struct SlRoundMember {
    uint64_t node_id;
    bool answered;
};

/// Zero-initialise.
struct SlRelayRound {
    /// Grows with each round; 0 while none is under way.
    uint32_t number;
    uint32_t last_number;
    struct SlRelayQuestions questions;
    /// The agents that are asked, sorted by node_id; the first next of them
    /// have been.
    uint32_t member_count;
    uint32_t member_room;
    struct SlRoundMember *members;
    uint32_t next;
    uint32_t answered;
    /// When the last question was sent.
    uint64_t asked_us;
};

/// Begins a round with the agents that may hold a flow, and no question.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlRelayRound_Begin(struct SlRelayRound *round, uint64_t now_us,
                   const struct SlRelayMembers *members);
/// Notes an agent's answer; false when it was not asked, or has answered.
bool
SlRelayRound_Answered(struct SlRelayRound *round, uint64_t node_id);
/// True when an agent that may hold a flow is not in the round: the
/// configuration changed since it began.
bool
SlRelayRound_IsIncomplete(const struct SlRelayRound *round, uint64_t now_us,
                          const struct SlRelayMembers *members);
void
SlRelayRound_Release(struct SlRelayRound *round);

#endif
