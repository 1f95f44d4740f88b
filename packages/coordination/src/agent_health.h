#ifndef SAVORYLEDGE_COORDINATION_AGENT_HEALTH_H
#define SAVORYLEDGE_COORDINATION_AGENT_HEALTH_H

/// An entry's view of the agents' health, derived from ordinary traffic:
/// whether new flows that it sends to an agent get any answer. No probes are
/// sent.
///
/// An agent becomes suspect when a new flow has been unanswered for
/// AGENT_SILENCE_US and nothing was received from the agent since. New flows
/// then skip the agent, except for one every AGENT_SUSPECT_RETRY_US, until it
/// sends something.

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/state/routing.h"

enum {
    AGENT_SILENCE_US = 500 * 1000,
    AGENT_SUSPECT_RETRY_US = 5 * 1000 * 1000,
};

struct agent_health {
    uint64_t node_id;
    uint64_t boot;
    /// Time at which the oldest unanswered new flow was sent to the agent; 0
    /// when there is none.
    _Atomic uint64_t unanswered_us;
    /// Time when the agent became suspect, or of the last flow that was sent
    /// to it as a retry; 0: not suspect.
    _Atomic uint64_t suspect_us;
};

/// Hash table of the agents of one routing table.
struct agent_health_table {
    uint32_t mask;
    struct agent_health slots[];
};

/// Creates the table. previous: the state to keep for agents that stay and
/// were not restarted; may be NULL. Returns NULL when out of memory.
struct agent_health_table *
agent_health_table_create(const struct SlRouting *routing,
                          const struct agent_health_table *previous);

/// Returns NULL when the node is not an agent of the routing table.
struct agent_health *
agent_health_table_find(struct agent_health_table *health_table,
                        uint64_t node_id);

enum agent_health_state {
    AGENT_HEALTHY,
    AGENT_SUSPECT,
    /// The agent has just become suspect.
    AGENT_NEWLY_SUSPECT,
};

/// Decides whether a new flow may be sent to the agent. silent_us: set with
/// AGENT_NEWLY_SUSPECT to the time that the oldest flow has been unanswered.
enum agent_health_state
agent_health_check(struct agent_health *health, uint64_t now_us,
                   uint64_t *silent_us);

/// Records that a new flow was sent to the agent.
void
agent_health_record_flow(struct agent_health *health, uint64_t now_us);

/// Records that a datagram was received from the agent. Returns true when the
/// agent was suspect.
bool
agent_health_record_answer(struct agent_health *health);

#endif
