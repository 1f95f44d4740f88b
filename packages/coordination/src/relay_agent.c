#include "relay_agent_core.h"

#include <stdlib.h>
#include <string.h>

#include "savoryledge/balance/placement.h"

enum {
    US_PER_MS = 1000,
    /// A status contains the remaining time for which the upstream is cold.
    /// The delay of the status and the difference of clocks are allowed for by
    /// ending the cold time this much later here.
    COLD_MARGIN_US = 200 * 1000,
    /// New flows per second that any upstream can take in addition to the
    /// slow-start rate in the plan.
    COLD_EXTRA_FLOWS = 3,
    DEFAULT_CAPACITY_FLOWS = 2000,
    /// Initial limit of queries per tick. The link of an agent is sized for
    /// the downloads that its upstream serves, so it can carry this many.
    INITIAL_QUERIES_PER_TICK = 256,
    /// How long an upstream that no longer listens may take for the requests
    /// that it has: most of the time that a planned stop of its agent lasts.
    UNANSWERED_TIMEOUT_US = 3000 * 1000,
    /// Broadcast queries are numbered from a random number of 31 bits on, so
    /// that an answer for a former process is not taken for one of this.
    FIRST_NUMBER_SHIFT = 33,
};

void
SlRelayAgent_LogEvent(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                      uint64_t now_us, struct SlEvent event)
{
    event.now_us = now_us;
    event.version = agent->version;
    sink->type->log_event(sink, &event);
}

struct SlRelayAgent *
SlRelayAgent_Create(const struct SlRelayOptions *options, uint64_t now_us)
{
    struct SlRelayAgent *agent = calloc(1, sizeof(*agent));

    if (agent == NULL) {
        return NULL;
    }
    agent->options = *options;
    agent->node_id = SlNode_Id(options->name);
    agent->service = SL_PLAN_NO_SERVICE;
    agent->flows.seed = options->seed;
    agent->handover.kept.seed = options->seed;
    agent->last_broadcast =
        (uint32_t)(SlPlacement_MixBits(options->seed) >> FIRST_NUMBER_SHIFT);
    agent->created_us = now_us;
    agent->table.since_us = now_us;
    agent->query_budget.limit = INITIAL_QUERIES_PER_TICK;
    agent->admission.slots = 1;
    agent->announced_until_us = now_us + SL_EVIDENCE_STATUS_US;
    agent->upstream_last_seen_us = now_us;
    agent->admission.capacity_flows = DEFAULT_CAPACITY_FLOWS;
    agent->admission.cold_limit = COLD_EXTRA_FLOWS;
    SlSlowStart_Exhaust(&agent->admission.slow_start, now_us);
    return agent;
}

void
SlRelayAgent_Destroy(struct SlRelayAgent *agent)
{
    if (agent == NULL) {
        return;
    }
    SlAgentFlow_RemoveAll(agent, agent->work.updated_us);
    SlRelayIndex_Release(&agent->flows);
    SlLostFlows_Release(&agent->lost_flows);
    SlHandover_Release(&agent->handover);
    SlPlan_Unref(agent->plan);
    for (uint32_t i = 0; i < SL_AGENT_BROADCASTS_MAX; i++) {
        SlRelayBroadcast_Release(&agent->broadcasts[i]);
    }
    free(agent->entries);
    free(agent->peers);
    free(agent);
}

bool
SlRelayAgent_MayHoldUnknown(const struct SlRelayAgent *agent, uint64_t now_us)
{
    /* The configuration's word that the upstream has ended may be older than
       its next run, which reports its status soon. */
    bool is_gone = agent->upstream_gone &&
                   !SlRelayAgent_UsesAnnouncedState(agent, now_us);

    return !is_gone && !SlTableEvidence_IsComplete(&agent->table,
                                                   &agent->flow_life, now_us);
}

/// Reads the settings of the upstream's service from the plan.
static void
read_service(struct SlRelayAgent *agent)
{
    const struct SlPlanService *service;
    const char *name = agent->upstream_known ? agent->upstream.service
                                             : agent->options.service;
    uint32_t cold_limit;

    agent->service = SL_PLAN_NO_SERVICE;
    if (agent->plan == NULL) {
        return;
    }
    agent->service = SlPlan_FindService(agent->plan, name);
    if (agent->service == SL_PLAN_NO_SERVICE) {
        return;
    }
    service = SlPlan_ServiceAt(agent->plan, agent->service);
    if (service->capacity_flows != 0) {
        agent->admission.capacity_flows = service->capacity_flows;
    }
    agent->admission.cold_limit = 0;
    if (service->slow_start_flows_per_s != 0) {
        cold_limit = service->slow_start_flows_per_s + COLD_EXTRA_FLOWS;
        agent->admission.cold_limit = cold_limit < SL_SLOW_START_LIMIT_MAX
                                          ? cold_limit
                                          : SL_SLOW_START_LIMIT_MAX;
    }
}

bool
SlRelayAgent_UsesAnnouncedState(const struct SlRelayAgent *agent,
                                uint64_t now_us)
{
    return agent->last_status_us == 0 && now_us < agent->announced_until_us;
}

/// Reads what the previous agent process announced, including that the
/// upstream had gone. It applies until this process has received a status and
/// has announced it. The announcement does not say whether the upstream is
/// cold, so it is treated as cold until then.
static void
read_announced_state(struct SlRelayAgent *agent, const struct SlConfig *config)
{
    const struct SlObject *self =
        SlConfig_FindObject(config, SL_KIND_NODE, agent->options.name);

    agent->announced_slots = 0;
    if (agent->handover.queries == 0 && self != NULL && self->node.leaving) {
        agent->handover.is_expected = true;
    }
    if (agent->last_status_us == 0 && self != NULL &&
        SlLabels_Get(&self->node.announced, "service") == NULL) {
        agent->upstream_gone = true;
    }
    if (agent->last_status_us != 0 || self == NULL || self->node.leaving) {
        return;
    }
    agent->announced_slots = self->node.slots;
    agent->admission.slots = self->node.slots;
    agent->admission.cold_until_us = agent->announced_until_us;
}

/// True when an operator's hold keeps this upstream out of service.
static bool
is_held_by_operator(const struct SlRelayAgent *agent,
                    const struct SlConfig *config)
{
    const struct SlObject *self =
        SlConfig_FindObject(config, SL_KIND_NODE, agent->options.name);

    return self != NULL && self->holds.count > 0;
}

/// Decides whether the present run began under this process: with its first
/// status, again with the first plan, which has the length of the cold phase,
/// and with later statuses until it is proven. If a run began under this
/// process, later ones did too. service: that of the upstream.
static bool
check_run_start(struct SlRelayAgent *agent, const char *service)
{
    struct SlRunStartEvidence *run = &agent->run_start;
    uint32_t index = agent->plan != NULL
                         ? SlPlan_FindService(agent->plan, service)
                         : SL_PLAN_NO_SERVICE;
    uint32_t cold_ms = 0;
    bool is_proven;

    if (run->received_us == 0) {
        return false;
    }
    if (index != SL_PLAN_NO_SERVICE) {
        cold_ms = SlPlan_ServiceAt(agent->plan, index)->cold_ms;
    }
    run->succeeded = SlUpstreamRuns_HasSucceeded(&agent->runs);
    is_proven = SlRunStartEvidence_IsProven(run, cold_ms);
    agent->table.saw_start = agent->table.saw_start || is_proven;
    if (!agent->table.saw_start) {
        agent->flow_recorder.asking = false;
    }
    return is_proven;
}

/// Slows down until the next status, which tells whether the upstream is cold.
static void
assume_cold(struct SlRelayAgent *agent, uint64_t now_us)
{
    uint64_t until_us = now_us + SL_EVIDENCE_STATUS_US;

    if (agent->admission.cold_until_us >= until_us) {
        return;
    }
    if (!agent->cold_assumed) {
        agent->cold_assumed = true;
        agent->known_cold_until_us = agent->admission.cold_until_us;
    }
    agent->admission.cold_until_us = until_us;
}

/// Reads whether the upstream is out of service. It may have become cold
/// shortly before it returns, and since its last status.
static void
read_service_state(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                   uint64_t now_us, const struct SlConfig *config)
{
    bool was_out = agent->zone_out || agent->held_by_operator;

    agent->zone_out = SlConfig_IsZoneOutOfService(config, agent->options.zone);
    agent->held_by_operator = is_held_by_operator(agent, config);
    if (was_out && !agent->zone_out && !agent->held_by_operator) {
        assume_cold(agent, now_us);
        SlRelayAgent_LogEvent(
            agent, sink, now_us,
            (struct SlEvent){.number = SL_EVENT_RELAY_RETURNS,
                             .reason = "cold_until_status",
                             .value =
                                 (int64_t)(now_us - agent->last_status_us),
                             .limit = agent->admission.cold_limit});
    }
}

/// Reads the idle timeout of a plan. Segments of callers are passed to the
/// upstream from the first plan on.
static void
read_idle_timeout(struct SlRelayAgent *agent, uint64_t now_us,
                  const struct SlPlan *plan)
{
    if (plan == NULL) {
        return;
    }
    if (agent->plan == NULL) {
        agent->table.since_us = now_us;
    }
    SlFlowLife_SetIdle(&agent->flow_life,
                       (uint64_t)SlPlan_IdleMs(plan) * US_PER_MS);
}

enum SlStatus
SlRelayAgent_SetConfig(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                       uint64_t now_us, const struct SlConfig *config,
                       struct SlPlan *plan)
{
    enum SlStatus status = SlRelayAgent_ReadNodes(agent, now_us, config);
    bool is_first_plan = agent->plan == NULL && plan != NULL;

    if (status != SL_OK) {
        return status;
    }
    read_idle_timeout(agent, now_us, plan);
    plan = SlPlan_Ref(plan);
    SlPlan_Unref(agent->plan);
    agent->plan = plan;
    agent->version = SlConfig_Version(config);
    read_service_state(agent, sink, now_us, config);
    read_announced_state(agent, config);
    read_service(agent);
    if (is_first_plan) {
        agent->table.saw_start = false;
        (void)check_run_start(agent, agent->upstream.service);
    }
    SlRelayAgent_LogEvent(
        agent, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_CONFIG,
                         .reason = agent->zone_out ? "zone_out" : "taken",
                         .value =
                             plan != NULL ? (int64_t)SlPlan_Version(plan) : 0,
                         .limit = agent->entry_count});
    return SL_OK;
}

static bool
is_same_start(const struct SlUpstreamStatus *a,
              const struct SlUpstreamStatus *b)
{
    return a->started_ms == b->started_ms && strcmp(a->id, b->id) == 0;
}

/// Records the first status of a run that is taken, before it is.
static void
record_run_start(struct SlRelayAgent *agent, uint64_t now_us,
                 const struct SlUpstreamStatus *status)
{
    agent->run_start = (struct SlRunStartEvidence){
        .process_started_us = agent->created_us,
        .process_started_wall_ms = agent->options.start_wall_ms,
        .previous_us = agent->last_status_us,
        .previous_wall_ms = agent->upstream.received_ms,
        .received_us = now_us,
        .received_wall_ms = status->received_ms,
        .seq = status->seq,
        .started_wall_ms = status->started_ms,
        .cold_remaining_ms = status->cold_remaining_ms};
}

/// Returns the time before which a flow that began was the previous run's.
static uint64_t
run_end_us(const struct SlRelayAgent *agent)
{
    return agent->last_status_us > SL_LOST_FLOWS_STATUS_AGE_US
               ? agent->last_status_us - SL_LOST_FLOWS_STATUS_AGE_US
               : 0;
}

/// Resets the callers of flows that the previous run of the upstream held. The
/// order of two runs is known by their start times only. A flow that began
/// before the previous run sent its last status was that run's.
static void
collect_lost_flows(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                   uint64_t now_us, const struct SlUpstreamStatus *status)
{
    if (agent->upstream.started_ms != 0 &&
        status->started_ms > agent->upstream.started_ms &&
        run_end_us(agent) != 0) {
        SlLostFlows_Collect(agent, sink, now_us, run_end_us(agent),
                            "upstream_started_anew");
    }
}

/// Returns the time from which on the new run may have opened flows.
static uint64_t
next_run_from_us(const struct SlRelayAgent *agent)
{
    uint64_t started_us = SlRunStartEvidence_StartUs(&agent->run_start);
    uint64_t end_us = run_end_us(agent);

    return started_us > end_us ? started_us : end_us;
}

/// Resets the state for a new run of the upstream. If the run is known to have
/// begun under this process, it holds no flow of the previous run, but it may
/// have opened flows before its first status that is taken: of these it is
/// unknown which run holds them, and they are tried. Otherwise the status may
/// be a late one, or the one before was, and that is unknown of all flows. The
/// first status after the start of this process does not mean that the
/// upstream restarted, so flows learned until then are kept.
static void
reset_for_new_upstream(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                       uint64_t now_us, const struct SlUpstreamStatus *status)
{
    bool is_first = agent->last_status_us == 0;
    bool is_proven;

    SlFlowRecorder_BeginRun(agent, is_first);
    SlHandover_CheckRun(agent, now_us, status->started_ms);
    record_run_start(agent, now_us, status);
    is_proven = check_run_start(agent, status->service);
    if (!is_first && is_proven) {
        collect_lost_flows(agent, sink, now_us, status);
        SlAgentFlow_RemoveHeld(agent, now_us, next_run_from_us(agent));
    }
    else if (!is_first) {
        SlAgentFlow_RemoveHeld(agent, now_us, 0);
    }
    agent->admission.full_until_us = 0;
    agent->admission.answer_us = 0;
    agent->upstream_silent_until_us = 0;
}

static void
log_upstream_status(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                    uint64_t now_us, const struct SlUpstreamStatus *status,
                    const char *reason)
{
    SlRelayAgent_LogEvent(
        agent, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_UPSTREAM_STATUS,
                         .service = status->service,
                         .node = status->id,
                         .reason = reason,
                         .value = (int64_t)status->seq,
                         .limit = status->cold_remaining_ms});
}

bool
SlRelayAgent_UpdateStatus(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                          uint64_t now_us,
                          const struct SlUpstreamStatus *status)
{
    struct SlUpstreamStatus previous = agent->upstream;
    bool was_known = agent->upstream_known;
    uint64_t previous_us = agent->last_status_us;
    uint64_t cold_us = now_us +
                       (uint64_t)status->cold_remaining_ms * US_PER_MS +
                       COLD_MARGIN_US;
    enum SlRunVerdict verdict =
        SlUpstreamRuns_Judge(&agent->runs, now_us, status);

    switch (verdict) {
    case SL_RUN_LATE:
        log_upstream_status(agent, sink, now_us, status, "late");
        return false;
    case SL_RUN_UNDECIDED:
        log_upstream_status(agent, sink, now_us, status, "undecided");
        agent->upstream_last_seen_us = now_us;
        if (status->cold_remaining_ms > 0) {
            assume_cold(agent, now_us);
        }
        return false;
    case SL_RUN_PRESENT:
    case SL_RUN_NEXT:
    case SL_RUN_REPLACES:
        break;
    }
    if (agent->last_status_us != 0 && !is_same_start(&previous, status)) {
        SlAgentWork_Forget(agent, sink, now_us);
    }
    if (agent->last_status_us == 0 || !is_same_start(&previous, status)) {
        reset_for_new_upstream(agent, sink, now_us, status);
    }
    else if (!agent->table.saw_start) {
        (void)check_run_start(agent, status->service);
    }
    agent->upstream = *status;
    agent->upstream_known = true;
    agent->upstream_gone = false;
    agent->end_announced = false;
    agent->refuses_since_us = 0;
    agent->last_status_us = now_us;
    agent->upstream_last_seen_us = now_us;
    agent->admission.slots = status->slots;
    if (agent->cold_assumed) {
        agent->cold_assumed = false;
        agent->admission.cold_until_us = agent->known_cold_until_us;
    }
    if (status->cold_remaining_ms > 0) {
        agent->admission.cold_until_us = cold_us;
    }
    else if (previous_us == 0) {
        agent->admission.cold_until_us = 0;
    }
    read_service(agent);
    if (!was_known || !is_same_start(&previous, status) ||
        previous.draining != status->draining) {
        log_upstream_status(agent, sink, now_us, status,
                            status->draining ? "draining" : "ready");
    }
    return true;
}

bool
SlRelayAgent_HandleUpstreamGone(struct SlRelayAgent *agent,
                                struct SlRelaySink *sink, uint64_t now_us,
                                const char *id)
{
    if (!agent->upstream_known || strcmp(agent->upstream.id, id) != 0) {
        return false;
    }
    agent->upstream_known = false;
    agent->end_announced = true;
    SlUpstreamRuns_End(&agent->runs);
    log_upstream_status(agent, sink, now_us, &agent->upstream, "gone");
    return true;
}

/// Takes an upstream that announced its end for gone once it would have been
/// heard if it ran.
static void
check_announced_end(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                    uint64_t now_us)
{
    if (!agent->end_announced ||
        now_us - agent->upstream_last_seen_us < SL_EVIDENCE_STATUS_US) {
        return;
    }
    agent->end_announced = false;
    agent->upstream_gone = true;
    log_upstream_status(agent, sink, now_us, &agent->upstream, "ended");
}

bool
SlRelayAgent_HasListeningUpstream(const struct SlRelayAgent *agent)
{
    return agent->plan != NULL && agent->service != SL_PLAN_NO_SERVICE &&
           SlPlan_ServiceAt(agent->plan, agent->service)->health_path[0] !=
               '\0';
}

/// True while the upstream may still work on a request that it has received.
static bool
has_unanswered_request(const struct SlRelayAgent *agent)
{
    for (const struct SlRelayItem *item =
             SlRelayIndex_OldestItem(&agent->flows);
         item != NULL; item = item->newer) {
        const struct SlAgentFlow *flow = (const struct SlAgentFlow *)item;

        if (flow->state == SL_AGENT_OPEN &&
            (flow->request_in_progress || flow->transfer != NULL)) {
            return true;
        }
    }
    return false;
}

static enum SlRefusal
judge_refusal(const struct SlRelayAgent *agent, uint64_t now_us)
{
    struct SlRefusalEvidence refusal = {
        .refused_us = agent->refuses_since_us,
        .heard_us = agent->upstream_last_seen_us,
        .may_drain = agent->last_status_us == 0 || agent->upstream.draining};

    return SlRefusalEvidence_Judge(&refusal, now_us);
}

static void
log_refusal(struct SlRelayAgent *agent, struct SlRelaySink *sink,
            uint64_t now_us, const char *reason)
{
    SlRelayAgent_LogEvent(
        agent, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_UPSTREAM_REFUSES,
                         .reason = reason,
                         .value =
                             (int64_t)(now_us - agent->upstream_last_seen_us),
                         .limit = SL_EVIDENCE_STATUS_US});
}

/// Takes an upstream that no longer listens, and does not merely drain, for
/// gone once it has answered all requests.
static void
check_refusing_upstream(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                        uint64_t now_us)
{
    enum SlRefusal refusal;

    if (agent->refuses_since_us == 0) {
        return;
    }
    refusal = judge_refusal(agent, now_us);
    if (refusal == SL_REFUSAL_RUNS) {
        agent->refuses_since_us = 0;
        log_refusal(agent, sink, now_us, "heard_since");
        return;
    }
    if (refusal == SL_REFUSAL_UNKNOWN ||
        (now_us - agent->refuses_since_us < UNANSWERED_TIMEOUT_US &&
         has_unanswered_request(agent))) {
        return;
    }
    agent->refuses_since_us = 0;
    agent->upstream_known = false;
    agent->upstream_gone = true;
    SlUpstreamRuns_End(&agent->runs);
    SlAgentFlow_RemoveHeld(agent, now_us, UINT64_MAX);
    log_upstream_status(agent, sink, now_us, &agent->upstream, "ended");
}

void
SlRelayAgent_HandleUpstreamStopped(struct SlRelayAgent *agent,
                                   struct SlRelaySink *sink, uint64_t now_us)
{
    if (agent->upstream_gone || agent->refuses_since_us != 0) {
        return;
    }
    agent->refuses_since_us = now_us;
    log_refusal(agent, sink, now_us,
                judge_refusal(agent, now_us) == SL_REFUSAL_UNKNOWN
                    ? "may_drain"
                    : "ended");
    check_refusing_upstream(agent, sink, now_us);
}

bool
SlRelayAgent_IsUpstreamGone(const struct SlRelayAgent *agent)
{
    return agent->upstream_gone;
}

bool
SlRelayAgent_GetUpstreamStatus(const struct SlRelayAgent *agent,
                               struct SlUpstreamStatus *status)
{
    *status = agent->upstream;
    return agent->upstream_known;
}

void
SlRelayAgent_HandleUpstreamSegment(struct SlRelayAgent *agent,
                                   struct SlRelaySink *sink, uint64_t now_us,
                                   uint8_t *bytes, uint32_t length_bytes)
{
    struct SlSegment segment;

    if (agent->options.format->parse(bytes, length_bytes, &segment) != SL_OK) {
        agent->counters.inputs_malformed++;
        SlRelayAgent_LogEvent(
            agent, sink, now_us,
            (struct SlEvent){.number = SL_EVENT_DROP, .reason = "malformed"});
        return;
    }
    agent->upstream_last_seen_us = now_us;
    if (segment.flags & SL_SEGMENT_RETURNED) {
        agent->options.format->clear_returned(bytes);
        segment.flags &= (uint8_t)~SL_SEGMENT_RETURNED;
        SlAgentFlow_HandleReturnedSegment(agent, sink, now_us, &segment);
        return;
    }
    agent->upstream_silent_until_us = 0;
    SlAgentFlow_HandleUpstreamSegment(agent, sink, now_us, &segment);
}

/// Handles queries about flows and the answers to them. Returns false for
/// other frames.
static bool
handle_query(struct SlRelayAgent *agent, struct SlRelaySink *sink,
             uint64_t now_us, const struct SlAddress *from,
             const struct SlRelayFrame *frame)
{
    switch (frame->kind) {
    case SL_RELAY_QUERY:
        SlAgentFlow_HandleQuery(agent, sink, now_us, from, frame);
        return true;
    case SL_RELAY_QUERY_MANY:
        SlRelayAgent_RecordPeerFrame(agent, frame->sender);
        SlAgentFlow_HandleBulkQuery(agent, sink, now_us, from, frame);
        return true;
    case SL_RELAY_HOLDS_MANY:
        SlRelayAgent_HandleBroadcastAnswer(agent, sink, now_us, frame);
        return true;
    case SL_RELAY_BROADCAST_QUERY:
        SlRelayAgent_BeginBroadcast(agent, sink, now_us, from, frame);
        return true;
    case SL_RELAY_TABLE:
    case SL_RELAY_TABLE_KEPT:
    case SL_RELAY_TABLE_QUERY:
        SlHandover_HandleFrame(agent, sink, now_us, from, frame);
        return true;
    default:
        return false;
    }
}

void
SlRelayAgent_HandleFrame(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                         uint64_t now_us, const struct SlAddress *from,
                         const struct SlRelayFrame *frame)
{
    struct SlSegment segment;
    bool opens;

    SlRelayAgent_RecordEntryFrame(agent, now_us, frame);
    if (handle_query(agent, sink, now_us, from, frame)) {
        return;
    }
    if ((frame->kind != SL_RELAY_OFFER && frame->kind != SL_RELAY_CARRY) ||
        agent->options.format->parse(frame->segment, frame->segment_bytes,
                                     &segment) != SL_OK) {
        agent->counters.inputs_malformed++;
        return;
    }
    opens = (segment.flags & SL_SEGMENT_OPEN) != 0 &&
            (segment.flags & SL_SEGMENT_ACK) == 0;
    if (opens) {
        SlRelayAgent_HandleOffer(agent, sink, now_us, from, &segment, frame);
    }
    else {
        SlAgentFlow_HandleCarriedSegment(agent, sink, now_us, from, &segment);
    }
}

/// Logs when the table becomes complete, or incomplete again.
static void
check_table(struct SlRelayAgent *agent, struct SlRelaySink *sink,
            uint64_t now_us)
{
    bool is_complete =
        SlTableEvidence_IsComplete(&agent->table, &agent->flow_life, now_us);

    if (is_complete == agent->table_was_complete) {
        return;
    }
    agent->table_was_complete = is_complete;
    SlRelayAgent_LogEvent(
        agent, sink, now_us,
        (struct SlEvent){
            .number = SL_EVENT_RELAY_TABLE,
            .reason = !is_complete             ? "timeout_grew"
                      : agent->table.saw_start ? "upstream_started"
                                               : "flows_seen",
            .value = (int64_t)(now_us - agent->table.since_us),
            .limit = (int64_t)SlFlowLife_UnseenUs(&agent->flow_life)});
}

void
SlRelayAgent_Tick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                  uint64_t now_us)
{
    SlAgentFlow_Tick(agent, sink, now_us);
    check_refusing_upstream(agent, sink, now_us);
    check_announced_end(agent, sink, now_us);
    check_table(agent, sink, now_us);
    SlLostFlows_Tick(agent, sink, now_us);
    SlRelayAgent_BroadcastsTick(agent, sink, now_us);
    SlHandover_Tick(agent, sink, now_us);
    SlRelayAgent_ReportLoad(agent, sink, now_us);
}

void
SlRelayAgent_BeginStop(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                       uint64_t now_us)
{
    agent->stopping = true;
    agent->report_due_us = now_us;
    SlRelayAgent_ReportLoad(agent, sink, now_us);
    SlHandover_Begin(agent, sink, now_us);
}

bool
SlRelayAgent_IsIdle(const struct SlRelayAgent *agent)
{
    return agent->refuses_since_us == 0 && SlHandover_IsDone(agent) &&
           agent->admission.in_progress == 0 &&
           agent->admission.opening == 0 && agent->admission.transfers == 0;
}

void
SlRelayAgent_Counters(const struct SlRelayAgent *agent,
                      struct SlRelayAgentCounters *counters)
{
    *counters = agent->counters;
    counters->flows = agent->admission.flows;
    counters->in_progress =
        agent->admission.in_progress + agent->admission.opening;
    counters->transfers = agent->admission.transfers;
    counters->answer_us = agent->admission.answer_us;
    counters->work_us = agent->work.mean_us;
    counters->work_variation_percent = agent->work.variation_percent;
    counters->work_forgotten = agent->work.forgotten;
}
