#ifndef SAVORYLEDGE_COORDINATION_RELAY_BROADCAST_H
#define SAVORYLEDGE_COORDINATION_RELAY_BROADCAST_H

/// A question to every agent about many flows at once, which an agent puts on
/// behalf of an entry. It costs the entry two frames, however many agents and
/// flows there are: links and processors of agents carry what those of a thin
/// entry do not.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/protocol/relay.h"

/// Another agent as the configuration tells. Sorted by node_id.
struct SlRoundPeer {
    uint64_t node_id;
    struct SlAddress address;
    /// Since when the configuration calls it unreachable and nothing was heard
    /// of it here; 0 when it does not.
    uint64_t lost_us;
};

/// A peer in a round.
struct SlRoundMember {
    uint64_t node_id;
    struct SlAddress address;
    /// When it was last asked; 0 never.
    uint64_t asked_us;
    bool answered;
};

/// Zero-initialise.
struct SlRelayRound {
    /// 0 while it is free.
    uint32_t number;
    /// The entry that it is for.
    struct SlAddress entry;
    /// What is asked, under this agent's number.
    struct SlRelayQueryList questions;
    /// What was said so far, as the entry will be told, under its number.
    struct SlRelayQueryList claims;
    /// The peers that are asked, sorted by node_id; the first next of them
    /// have been, all of them repeats times before.
    uint32_t member_count;
    uint32_t member_room;
    struct SlRoundMember *members;
    uint32_t next;
    uint32_t repeats;
    uint32_t answered;
    /// When the last question was sent.
    uint64_t asked_us;
};

/// Begins a round with the peers that may hold a flow.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlRelayRound_Begin(struct SlRelayRound *round, uint64_t now_us,
                   uint32_t number, const struct SlRoundPeer *peers,
                   uint32_t peer_count);
/// Notes a peer's answer; false when it was not asked, or has answered.
/// took_us: how long after its last question.
bool
SlRelayRound_Answered(struct SlRelayRound *round, uint64_t now_us,
                      uint64_t node_id, uint64_t *took_us);
/// Notes that an agent holds a flow, or may hold it. A certain holder takes
/// the place of all who may be.
void
SlRelayRound_Claim(struct SlRelayRound *round, uint64_t node_id,
                   const struct SlRelayQueryItem *claim);
void
SlRelayRound_Release(struct SlRelayRound *round);

#endif
