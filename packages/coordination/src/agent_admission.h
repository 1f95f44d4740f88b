#ifndef SAVORYLEDGE_COORDINATION_AGENT_ADMISSION_H
#define SAVORYLEDGE_COORDINATION_AGENT_ADMISSION_H

/// Admission control for one upstream: how many flows and exchanges it may
/// have, derived from how it answers. An exchange begins with a request, or
/// with the completed handshake that a request is expected to follow, and ends
/// with the first payload of the answer.

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/coordination/agent.h"
#include "savoryledge/state/flow_table.h"

enum {
    AGENT_SERVICES_MAX = 64,
};

/// Number of open flows of one service.
struct agent_service_flows {
    uint64_t service_id;
    uint32_t flows;
};

/// Admission state of the upstream. The algorithm is described in
/// agent_admission.c.
struct agent_admission {
    pthread_mutex_t lock;
    uint32_t slots;
    uint32_t capacity_flows;
    /// Written under the lock; read without it for log events.
    _Atomic uint32_t open_flows;
    _Atomic uint32_t limit_flows;
    uint32_t handshakes;
    uint32_t exchanges;
    /// Flows with a request that the upstream has not answered yet, including
    /// exchanges that no longer count as in progress because they are late.
    uint32_t awaiting_answer;
    /// TCP flows with payload that the receiving side has not acknowledged.
    _Atomic uint32_t unacked_flows;
    uint32_t limit_exchanges;
    /// Answers that were not late since the limits were last raised.
    uint32_t good_answers;
    /// Consecutive late answers and failures.
    uint32_t bad_answers;
    uint32_t late_permille;
    uint32_t answer_samples;
    uint64_t mean_answer_us;
    uint64_t answer_deviation_us;
    uint64_t raised_us;
    uint64_t reduced_us;
    uint64_t last_answer_us;
    /// Start of the current window, and connections that the upstream closed
    /// or reset in it without its caller's close.
    uint64_t lost_window_us;
    uint32_t lost_connections;
    uint32_t service_count;
    struct agent_service_flows service_flows[AGENT_SERVICES_MAX];
};

struct agent_call;

bool
agent_admission_init(struct agent_admission *admission,
                     const struct SlAgentOptions *options, uint64_t now_us);
/// Adds a new flow if the limits allow it; returns false otherwise. An adopted
/// flow is always added, because the upstream already carries it.
bool
agent_admission_add_flow(const struct agent_call *call, uint64_t service_id,
                         bool handshake, bool adopted);
/// Adds a new flow that no other agent has room for; returns false if there is
/// no room here either. The limit of exchanges keeps work away from a cold
/// upstream while others can do it. When none can, all slots are used.
bool
agent_admission_add_last_flow(const struct agent_call *call,
                              uint64_t service_id, bool handshake);
void
agent_admission_remove_flow(const struct agent_call *call,
                            const struct SlFlow *flow);
void
agent_admission_end_handshake(const struct agent_call *call);
/// Begins an exchange. Returns how many exchanges were already in progress.
uint32_t
agent_admission_begin_exchange(const struct agent_call *call);
/// Counts a flow as waiting for an answer (is_waiting), or as no longer
/// waiting.
void
agent_admission_count_awaiting_answer(const struct agent_call *call,
                                      bool is_waiting);
/// Ends an exchange without using it as a sample.
void
agent_admission_cancel_exchange(const struct agent_call *call);
/// Ends an exchange because the upstream sent its first answer, and updates
/// the limits.
void
agent_admission_end_exchange(const struct agent_call *call,
                             const struct SlFlow *flow);
/// Records that an exchange has been in progress for longer than answers
/// usually take. Returns true when it no longer counts against the limit of
/// exchanges.
bool
agent_admission_record_late_exchange(const struct agent_call *call,
                                     const struct SlFlow *flow);
/// Returns the time from the begin of an exchange until it counts as late, in
/// milliseconds.
uint32_t
agent_admission_late_after_ms(const struct agent_call *call);
/// Records that the upstream failed an exchange or a handshake. reason: for
/// the log event.
void
agent_admission_record_failure(const struct agent_call *call,
                               const char *reason);
/// Records that the upstream closed or reset a connection that was idle or had
/// a request in progress. Many of them within a short time mean that the
/// upstream was restarted.
void
agent_admission_record_lost_connection(const struct agent_call *call);
/// Raises the limits if enough good answers arrived and the step's time has
/// passed.
void
agent_admission_tick(const struct agent_call *call);
/// Resets the limits to those of a cold upstream, after its zone was out or
/// the upstream was drained.
void
agent_admission_reset_limits(const struct agent_call *call);
void
agent_admission_fill_load(struct SlAgent *agent, struct SlTunnel *tunnel);

#endif
