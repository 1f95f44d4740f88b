#ifndef SAVORYLEDGE_COORDINATION_RELAY_AGENT_H
#define SAVORYLEDGE_COORDINATION_RELAY_AGENT_H

/// The agent of the relay, which runs beside one upstream. See relay.h.
///
/// Every segment to the upstream passes through the agent, so it enforces the
/// rules that must hold: the upstream gets only flows of its own service, no
/// new flow after it announced that it leaves or its zone was taken out, and
/// no more new flows than it can take while it is cold. An upstream is cold
/// for some time after its start, during which it serves fewer requests.
///
/// Until a restarted agent has received the first upstream status, it uses
/// what the previous agent process announced in the configuration, for at most
/// as long as an upstream takes to report its status.
///
/// After a restart the agent does not know the flows that its upstream holds.
/// Until it has run for as long as an unused flow may live, it passes segments
/// of unknown flows to the upstream, which returns those of flows it does not
/// hold.

#include "savoryledge/balance/admission.h"
#include "savoryledge/coordination/relay.h"
#include "savoryledge/protocol/message.h"

struct SlRelayAgent;

/// Status that an upstream reports about itself.
struct SlUpstreamStatus {
    /// Name of this run of the upstream, and the time by the upstream's clock
    /// at which the run started, in milliseconds since 1970; 0 when the
    /// upstream does not report the time.
    char id[SL_NAME_BYTES];
    uint64_t started_ms;
    /// When the status arrived, by the clock of this machine, which is the
    /// upstream's too; milliseconds since 1970, 0 when unknown.
    uint64_t received_ms;
    /// Sequence number of the status; increases with each status of one run.
    uint64_t seq;
    /// Name of the service that the upstream belongs to.
    char service[SL_NAME_BYTES];
    /// Requests that the upstream processes concurrently.
    uint32_t slots;
    /// The upstream is leaving: it keeps its open flows and takes no new ones.
    bool draining;
    /// Time for which the upstream stays cold, in milliseconds.
    uint32_t cold_remaining_ms;
};

struct SlRelayAgentCounters {
    /// Segments of callers delivered to the upstream.
    uint64_t segments_delivered;
    /// Requests that the upstream answered.
    uint64_t requests_answered;
    /// Offered flows that the agent admitted.
    uint64_t flows_admitted;
    /// Offered flows that the agent declined.
    uint64_t flows_declined;
    /// Segments that the upstream returned to the agent.
    uint64_t segments_returned;
    /// Segments sent back to an entry because the upstream does not hold their
    /// flow.
    uint64_t segments_without_flow;
    /// Requests on open flows that were deferred in favour of more urgent
    /// flows.
    uint64_t requests_deferred;
    /// Requests whose callers left before the answer.
    uint64_t abandoned_requests;
    /// Flows that this process did not admit and learned of from the
    /// upstream's answers.
    uint64_t flows_adopted;
    /// Frames and segments that could not be parsed.
    uint64_t inputs_malformed;
    /// Segments that were dropped.
    uint64_t segments_dropped;
    /// Broadcast queries run for entries, and query frames sent for them.
    uint64_t broadcasts;
    uint64_t queries;
    /// Flows that the upstream lost and whose callers were reset, and flows
    /// that were not reset because the agent knew them again by then.
    uint64_t lost_flows_reset;
    uint64_t lost_flows_known_again;
    /// Changes of records of kept flows that were sent to control, ends of
    /// flows that were not sent, records of lost flows that control returned,
    /// and those of them that were not used because the upstream lives.
    uint64_t flow_changes_sent;
    uint64_t flow_ends_unrecorded;
    uint64_t flow_records_returned;
    uint64_t flow_records_unused;
    /// Flows that are open at the upstream now.
    uint64_t flows;
    /// Requests in progress, and flows that are opening, at the upstream now.
    uint64_t in_progress;
    /// Uploads whose body is in transfer now, those that began, and those
    /// whose caller stopped before the end of the body.
    uint64_t transfers;
    uint64_t transfers_begun;
    uint64_t transfers_broken_off;
    /// Moving average of the time that a slot takes for a request,
    /// microseconds.
    uint64_t answer_us;
    /// Average work of a request, microseconds, its squared coefficient of
    /// variation in percent, and how often older requests were forgotten.
    uint64_t work_us;
    uint64_t work_variation_percent;
    uint64_t work_forgotten;
    /// Flows that were admitted to wait for a slot, because the wait was known
    /// to be short.
    uint64_t flows_admitted_to_wait;
    /// Time from request to answer; bin i counts answers below 2^(i+1) ms, the
    /// last bin all longer ones.
    uint64_t answer_histogram[16];
};

/// Creates an agent. Returns NULL when out of memory.
struct SlRelayAgent *
SlRelayAgent_Create(const struct SlRelayOptions *options, uint64_t now_us);
/// Destroys an agent, which may be NULL.
void
SlRelayAgent_Destroy(struct SlRelayAgent *agent);

/// Applies a new configuration. plan may be NULL while the configuration has
/// no document; the agent takes its own reference. Errors: SL_NO_MEMORY (the
/// previous configuration stays in force).
enum SlStatus
SlRelayAgent_SetConfig(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                       uint64_t now_us, const struct SlConfig *config,
                       struct SlPlan *plan);

/// Handles a status reported by the upstream. Returns false when the status is
/// not taken, so that it must not be acknowledged: it is older than the
/// current one, or it is not known yet whether its run is the present one.
bool
SlRelayAgent_UpdateStatus(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                          uint64_t now_us,
                          const struct SlUpstreamStatus *status);
/// True after the upstream announced that it is gone, or was found to have
/// stopped, or the previous agent process announced one of these. The upstream
/// then holds no flow. False again after the next status of an upstream.
bool
SlRelayAgent_IsUpstreamGone(const struct SlRelayAgent *agent);
/// Handles the announcement of an upstream that it is gone. id: name of the
/// run that ended. Returns false, and changes nothing, when the agent's latest
/// status is from another run or the agent has no status.
bool
SlRelayAgent_HandleUpstreamGone(struct SlRelayAgent *agent,
                                struct SlRelaySink *sink, uint64_t now_us,
                                const char *id);
/// True when the upstream accepts connections while it runs, because its
/// service has a health path. A refused connection then shows that the
/// upstream has stopped or drains.
bool
SlRelayAgent_HasListeningUpstream(const struct SlRelayAgent *agent);
/// Handles the observation that nothing listens at the upstream's address any
/// more. The upstream counts as gone once it has answered the requests that it
/// has, or after 3 s; one that drains, or has not reported its status yet,
/// only if it is not heard for 1.5 s.
void
SlRelayAgent_HandleUpstreamStopped(struct SlRelayAgent *agent,
                                   struct SlRelaySink *sink, uint64_t now_us);
/// True while the agent uses what the previous agent process announced.
bool
SlRelayAgent_UsesAnnouncedState(const struct SlRelayAgent *agent,
                                uint64_t now_us);
/// Copies the latest status of the upstream. Returns false when the upstream
/// is gone or has not reported a status.
bool
SlRelayAgent_GetUpstreamStatus(const struct SlRelayAgent *agent,
                               struct SlUpstreamStatus *status);

/// Sets the link over which records of kept flows are exchanged with a control
/// instance; 0 when there is none. All flows are recorded again after a
/// change.
void
SlRelayAgent_SetRecordsLink(struct SlRelayAgent *agent, uint64_t link);
/// Fills in the next message to that control instance. Its records are
/// borrowed until the next call. Returns false when nothing is due. To be
/// called on every tick.
bool
SlRelayAgent_NextFlowRecords(struct SlRelayAgent *agent, uint64_t now_us,
                             struct SlFlowRecords *records);
/// Handles an answer of control. The flows of an earlier run of the upstream
/// are lost, and their callers are reset.
void
SlRelayAgent_HandleFlowRecords(struct SlRelayAgent *agent,
                               struct SlRelaySink *sink, uint64_t now_us,
                               const struct SlFlowRecords *records);

/// Handles a segment that the upstream sent or returned.
void
SlRelayAgent_HandleUpstreamSegment(struct SlRelayAgent *agent,
                                   struct SlRelaySink *sink, uint64_t now_us,
                                   uint8_t *bytes, uint32_t length_bytes);
/// Handles a frame from the entry or agent at the address from.
void
SlRelayAgent_HandleFrame(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                         uint64_t now_us, const struct SlAddress *from,
                         const struct SlRelayFrame *frame);
/// Runs the timers of the agent; must be called at least every
/// SL_RELAY_TICK_US.
void
SlRelayAgent_Tick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                  uint64_t now_us);
/// Begins a planned stop: no new flows are admitted.
void
SlRelayAgent_BeginStop(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                       uint64_t now_us);
/// True when the upstream has no request in progress, no flow is opening, and
/// no upload is in transfer.
bool
SlRelayAgent_IsIdle(const struct SlRelayAgent *agent);
/// Copies the present values of the agent's counters.
void
SlRelayAgent_Counters(const struct SlRelayAgent *agent,
                      struct SlRelayAgentCounters *counters);

#endif
