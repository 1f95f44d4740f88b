#ifndef SAVORYLEDGE_COORDINATION_AGENT_HEALTH_H
#define SAVORYLEDGE_COORDINATION_AGENT_HEALTH_H

/// What an entry sees of agents from ordinary traffic: whether new flows sent
/// to one stay without any answer. Nothing is sent to find out.
///
/// An agent is suspect when a new flow has waited for AGENT_SILENCE_US and
/// nothing was heard from the agent since. New flows then skip it, but for one
/// every AGENT_RETRY_US, until it is heard again.

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/state/routing.h"

enum {
    AGENT_SILENCE_US = 500 * 1000,
    AGENT_RETRY_US = 5 * 1000 * 1000,
};

struct agent_health {
    uint64_t node_id;
    uint64_t boot;
    /// Time of the first new flow that is unanswered; 0 none.
    _Atomic uint64_t waiting_us;
    /// Time since which the agent is suspect, or of the last flow that tried
    /// it; 0 not suspect.
    _Atomic uint64_t suspect_us;
};

/// The agents of one routing table.
struct agent_healths {
    uint32_t mask;
    struct agent_health places[];
};

/// previous: what is known of the agents that stay; may be NULL.
/// NULL without memory.
struct agent_healths *
agent_healths_create(const struct SlRouting *routing,
                     const struct agent_healths *previous);

/// NULL when the node is not known as an agent.
struct agent_health *
agent_healths_find(struct agent_healths *healths, uint64_t node_id);

enum agent_verdict {
    AGENT_GOOD,
    AGENT_SUSPECT,
    /// Suspect from now on.
    AGENT_TURNED_SUSPECT,
};

/// Whether a new flow may be sent there; silent_us is set when it turned
/// suspect.
enum agent_verdict
agent_health_ask(struct agent_health *health, uint64_t now_us,
                 uint64_t *silent_us);

/// A new flow was sent there.
void
agent_health_sent(struct agent_health *health, uint64_t now_us);

/// The agent was heard. Returns true when it was suspect.
bool
agent_health_heard(struct agent_health *health);

#endif
