#ifndef SAVORYLEDGE_COORDINATION_RELAY_AGENT_H
#define SAVORYLEDGE_COORDINATION_RELAY_AGENT_H

/// The agent of the relay, beside one upstream. See relay.h.
///
/// Every segment to the upstream passes here, so the agent is where a rule
/// that must hold is kept: only flows of its own service, none after the
/// upstream said that it leaves or its zone was taken out, no more than a
/// cold one bears.
///
/// Until its upstream has spoken, a restarted agent goes on by what the
/// configuration holds of the process before, for as long as the upstream
/// takes to speak.
///
/// After a restart the agent does not know the flows that its upstream holds.
/// Until it has run for as long as a flow may be idle it hands segments of
/// unknown flows to the upstream, which gives back what it does not hold.

#include "savoryledge/balance/admission.h"
#include "savoryledge/coordination/relay.h"

struct SlRelayAgent;

/// What the upstream says of itself.
struct SlUpstreamStatus {
    /// Name of this start of the upstream, and when it started by its own
    /// clock, milliseconds since 1970; 0 when it does not tell.
    char id[SL_NAME_BYTES];
    uint64_t started_ms;
    /// Grows with each notice of one start.
    uint64_t seq;
    char service[SL_NAME_BYTES];
    uint32_t slots;
    bool draining;
    /// How much longer it is cold, milliseconds.
    uint32_t cold_remaining_ms;
};

struct SlRelayAgentCounters {
    uint64_t delivered;
    uint64_t answered;
    uint64_t admitted;
    uint64_t declined;
    uint64_t returned;
    uint64_t absent;
    /// Requests on open flows that waited for more urgent work.
    uint64_t requests_deferred;
    /// Requests whose callers left before the answer.
    uint64_t abandoned_requests;
    uint64_t adopted;
    uint64_t malformed;
    uint64_t dropped;
    /// Questions to all agents put for entries, and the frames they took.
    uint64_t broadcasts;
    uint64_t queries;
    uint64_t flows;
    uint64_t in_progress;
    uint64_t answer_us;
    /// Time from request to answer, by powers of two from 1 ms on.
    uint64_t answer_histogram[16];
};

/// NULL without memory.
struct SlRelayAgent *
SlRelayAgent_Create(const struct SlRelayOptions *options, uint64_t now_us);
/// NULL is allowed.
void
SlRelayAgent_Destroy(struct SlRelayAgent *agent);

/// As SlRelayEntry_SetConfig.
enum SlStatus
SlRelayAgent_SetConfig(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                       uint64_t now_us, const struct SlConfig *config,
                       struct SlPlan *plan);

/// A notice of the upstream. Returns false when it changes nothing: it is
/// older than what is known.
bool
SlRelayAgent_UpdateStatus(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                          uint64_t now_us,
                          const struct SlUpstreamStatus *notice);
/// True from the word of the upstream that it is gone, or its end without one,
/// until another one speaks: no flow is held here.
bool
SlRelayAgent_IsUpstreamGone(const struct SlRelayAgent *agent);
/// The start named id of the upstream is over; others are left alone.
bool
SlRelayAgent_HandleUpstreamGone(struct SlRelayAgent *agent,
                                struct SlRelaySink *sink, uint64_t now_us,
                                const char *id);
/// True when the upstream listens for connections while it lives: its service
/// has a health path.
bool
SlRelayAgent_HasListeningUpstream(const struct SlRelayAgent *agent);
/// Nothing listens at the upstream's address: it has ended without a word.
void
SlRelayAgent_HandleUpstreamStopped(struct SlRelayAgent *agent,
                                   struct SlRelaySink *sink, uint64_t now_us);
/// True while it goes on by the word of the process before it.
bool
SlRelayAgent_UsesAnnouncedState(const struct SlRelayAgent *agent,
                                uint64_t now_us);
/// What is known of the upstream; false when nothing is.
bool
SlRelayAgent_GetUpstreamStatus(const struct SlRelayAgent *agent,
                               struct SlUpstreamStatus *notice);

/// A segment that the upstream sent, or gave back.
void
SlRelayAgent_HandleUpstreamSegment(struct SlRelayAgent *agent,
                                   struct SlRelaySink *sink, uint64_t now_us,
                                   uint8_t *bytes, uint32_t length_bytes);
/// A frame from an entry, which has the address from.
void
SlRelayAgent_HandleFrame(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                         uint64_t now_us, const struct SlAddress *from,
                         const struct SlRelayFrame *frame);
/// Given at least every SL_RELAY_TICK_US.
void
SlRelayAgent_Tick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                  uint64_t now_us);
/// A planned stop begins: no new flows.
void
SlRelayAgent_BeginStop(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                       uint64_t now_us);
/// True when no request is in progress.
bool
SlRelayAgent_IsIdle(const struct SlRelayAgent *agent);
void
SlRelayAgent_Counters(const struct SlRelayAgent *agent,
                      struct SlRelayAgentCounters *counters);

#endif
