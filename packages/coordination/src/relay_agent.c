#include "relay_agent_core.h"

#include <stdlib.h>
#include <string.h>

enum {
    US_PER_MS = 1000,
    /// A notice tells how long an upstream stays cold; ends later here by the
    /// way of the notice and the difference of clocks.
    COLD_MARGIN_US = 200 * 1000,
    /// Flows that any upstream bears in a second, beside the rate that the
    /// plan names for a cold one.
    COLD_FLOWS = 3,
    /// Until a plan tells how long flows may be idle.
    DEFAULT_IDLE_US = 60 * 1000 * 1000,
    /// A first notice with such a number is from a start that began while
    /// this process ran.
    FIRST_NOTICES = 1,
    DEFAULT_CAPACITY_FLOWS = 2000,
    /// Upstreams speak about each second; one that is there has spoken by
    /// then.
    ASSUME_US = 1500 * 1000,
    /// Questions in a tick to begin with: an agent's link is that of a machine
    /// which answers downloads.
    FIRST_QUESTIONS = 256,
    /// A process takes longer than this from its first notice to its end and
    /// the start of the next.
    RESTART_MS = 100,
};

void
SlRelayAgent_Event(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                   uint64_t now_us, struct SlEvent event)
{
    event.now_us = now_us;
    event.version = agent->version;
    sink->type->event(sink, &event);
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
    agent->complete_at_us = now_us + DEFAULT_IDLE_US;
    agent->budget.limit = FIRST_QUESTIONS;
    agent->admission.slots = 1;
    agent->assume_until_us = now_us + ASSUME_US;
    agent->upstream_heard_us = now_us;
    agent->admission.capacity_flows = DEFAULT_CAPACITY_FLOWS;
    agent->admission.cold_limit = COLD_FLOWS;
    SlSlowStart_Exhaust(&agent->admission.slow_start, now_us);
    return agent;
}

void
SlRelayAgent_Destroy(struct SlRelayAgent *agent)
{
    if (agent == NULL) {
        return;
    }
    SlAgentFlow_RemoveAll(agent);
    SlRelayIndex_Release(&agent->flows);
    SlPlan_Unref(agent->plan);
    for (uint32_t i = 0; i < SL_AGENT_ROUNDS_MAX; i++) {
        SlRelayRound_Release(&agent->rounds[i]);
    }
    free(agent->entries);
    free(agent->peers);
    free(agent);
}

bool
SlRelayAgent_MayHold(const struct SlRelayAgent *agent, uint64_t now_us)
{
    return !agent->gone && now_us < agent->complete_at_us;
}

/// Takes what the plan says of the upstream's service.
static void
read_service(struct SlRelayAgent *agent)
{
    const struct SlPlanService *service;
    const char *name =
        agent->known ? agent->upstream.service : agent->options.service;
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
        cold_limit = service->slow_start_flows_per_s + COLD_FLOWS;
        agent->admission.cold_limit = cold_limit < SL_SLOW_START_LIMIT_MAX
                                          ? cold_limit
                                          : SL_SLOW_START_LIMIT_MAX;
    }
}

bool
SlRelayAgent_UsesAnnouncedState(const struct SlRelayAgent *agent,
                                uint64_t now_us)
{
    return agent->noticed_us == 0 && now_us < agent->assume_until_us;
}

/// What the process before announced, also that the upstream had gone: it is
/// in force until this one has heard from the upstream and announces itself.
/// Whether the upstream is cold is not told there, so it is taken for cold
/// meanwhile.
static void
read_former(struct SlRelayAgent *agent, const struct SlConfig *config)
{
    const struct SlObject *self =
        SlConfig_FindObject(config, SL_KIND_NODE, agent->options.name);

    agent->assumed_slots = 0;
    if (agent->noticed_us == 0 && self != NULL &&
        SlLabels_Get(&self->node.announced, "service") == NULL) {
        agent->gone = true;
    }
    if (agent->noticed_us != 0 || self == NULL || self->node.leaving) {
        return;
    }
    agent->assumed_slots = self->node.slots;
    agent->admission.slots = self->node.slots;
    agent->admission.cold_until_us = agent->assume_until_us;
}

/// An operator's hold on this one upstream.
static bool
is_held_out(const struct SlRelayAgent *agent, const struct SlConfig *config)
{
    const struct SlObject *self =
        SlConfig_FindObject(config, SL_KIND_NODE, agent->options.name);

    return self != NULL && self->holds.count > 0;
}

enum SlStatus
SlRelayAgent_SetConfig(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                       uint64_t now_us, const struct SlConfig *config,
                       struct SlPlan *plan)
{
    enum SlStatus status = SlRelayAgent_ReadProcesses(agent, now_us, config);
    uint64_t known_us;

    if (status != SL_OK) {
        return status;
    }
    if (agent->plan == NULL && plan != NULL) {
        known_us = now_us + (uint64_t)SlPlan_IdleMs(plan) * US_PER_MS;
        if (known_us < agent->complete_at_us) {
            agent->complete_at_us = known_us;
        }
    }
    plan = SlPlan_Ref(plan);
    SlPlan_Unref(agent->plan);
    agent->plan = plan;
    agent->version = SlConfig_Version(config);
    agent->zone_out = SlConfig_IsZoneOut(config, agent->options.zone);
    agent->held_out = is_held_out(agent, config);
    read_former(agent, config);
    read_service(agent);
    SlRelayAgent_Event(
        agent, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_CONFIG,
                         .reason = agent->zone_out ? "zone_out" : "taken",
                         .value =
                             plan != NULL ? (int64_t)SlPlan_Version(plan) : 0,
                         .limit = agent->entry_count});
    return SL_OK;
}

/// True when the notice is of an earlier start of the upstream, or older than
/// the last one of this start.
static bool
is_late(const struct SlRelayAgent *agent,
        const struct SlUpstreamStatus *notice)
{
    const struct SlUpstreamStatus *present = &agent->upstream;

    if (!agent->known) {
        return agent->noticed_us != 0 && notice->started_ms != 0 &&
               notice->started_ms <= present->started_ms &&
               notice->seq <= present->seq;
    }
    if (notice->started_ms != present->started_ms) {
        return notice->started_ms < present->started_ms;
    }
    return strcmp(notice->id, present->id) == 0 && notice->seq <= present->seq;
}

static bool
is_same_start(const struct SlUpstreamStatus *a,
              const struct SlUpstreamStatus *b)
{
    return a->started_ms == b->started_ms && strcmp(a->id, b->id) == 0;
}

/// True when no earlier process of this agent can have let a flow in to this
/// start of the upstream.
static bool
is_first_process(const struct SlRelayAgent *agent,
                 const struct SlUpstreamStatus *notice)
{
    return notice->seq <= FIRST_NOTICES ||
           (notice->started_ms != 0 && agent->options.start_wall_ms != 0 &&
            notice->started_ms + RESTART_MS >= agent->options.start_wall_ms);
}

/// Another start of the upstream holds nothing of what the former held. The
/// first word after this process's own start tells of no such thing: what was
/// learned meanwhile stands.
static void
begin_upstream(struct SlRelayAgent *agent, uint64_t now_us,
               const struct SlUpstreamStatus *notice)
{
    if (agent->noticed_us != 0) {
        SlAgentFlow_RemoveHeld(agent);
    }
    agent->admission.full_until_us = 0;
    agent->admission.answer_us = 0;
    agent->silent_until_us = 0;
    if (agent->noticed_us != 0 || is_first_process(agent, notice)) {
        agent->complete_at_us = now_us;
    }
}

static void
log_notice(struct SlRelayAgent *agent, struct SlRelaySink *sink,
           uint64_t now_us, const struct SlUpstreamStatus *notice,
           const char *reason)
{
    SlRelayAgent_Event(agent, sink, now_us,
                       (struct SlEvent){.number = SL_EVENT_UPSTREAM_STATUS,
                                        .service = notice->service,
                                        .node = notice->id,
                                        .reason = reason,
                                        .value = (int64_t)notice->seq,
                                        .limit = notice->cold_remaining_ms});
}

bool
SlRelayAgent_UpdateStatus(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                          uint64_t now_us,
                          const struct SlUpstreamStatus *notice)
{
    struct SlUpstreamStatus former = agent->upstream;
    bool was_known = agent->known;
    uint64_t former_us = agent->noticed_us;
    uint64_t cold_us = now_us +
                       (uint64_t)notice->cold_remaining_ms * US_PER_MS +
                       COLD_MARGIN_US;

    if (is_late(agent, notice)) {
        log_notice(agent, sink, now_us, notice, "late");
        return false;
    }
    if (agent->noticed_us == 0 || !is_same_start(&former, notice)) {
        begin_upstream(agent, now_us, notice);
    }
    agent->upstream = *notice;
    agent->known = true;
    agent->gone = false;
    agent->noticed_us = now_us;
    agent->upstream_heard_us = now_us;
    agent->admission.slots = notice->slots;
    agent->admission.cold_until_us = notice->cold_remaining_ms > 0
                                         ? cold_us
                                         : agent->admission.cold_until_us;
    if (former_us == 0 && notice->cold_remaining_ms == 0) {
        agent->admission.cold_until_us = 0;
    }
    read_service(agent);
    if (!was_known || !is_same_start(&former, notice) ||
        former.draining != notice->draining) {
        log_notice(agent, sink, now_us, notice,
                   notice->draining ? "draining" : "ready");
    }
    return true;
}

bool
SlRelayAgent_HandleUpstreamGone(struct SlRelayAgent *agent,
                                struct SlRelaySink *sink, uint64_t now_us,
                                const char *id)
{
    if (!agent->known || strcmp(agent->upstream.id, id) != 0) {
        return false;
    }
    agent->known = false;
    agent->gone = true;
    log_notice(agent, sink, now_us, &agent->upstream, "gone");
    return true;
}

bool
SlRelayAgent_HasListeningUpstream(const struct SlRelayAgent *agent)
{
    return agent->plan != NULL && agent->service != SL_PLAN_NO_SERVICE &&
           SlPlan_ServiceAt(agent->plan, agent->service)->health_path[0] !=
               '\0';
}

void
SlRelayAgent_HandleUpstreamStopped(struct SlRelayAgent *agent,
                                   struct SlRelaySink *sink, uint64_t now_us)
{
    if (agent->gone) {
        return;
    }
    agent->known = false;
    agent->gone = true;
    SlAgentFlow_RemoveHeld(agent);
    log_notice(agent, sink, now_us, &agent->upstream, "ended");
}

bool
SlRelayAgent_IsUpstreamGone(const struct SlRelayAgent *agent)
{
    return agent->gone;
}

bool
SlRelayAgent_GetUpstreamStatus(const struct SlRelayAgent *agent,
                               struct SlUpstreamStatus *notice)
{
    *notice = agent->upstream;
    return agent->known;
}

void
SlRelayAgent_HandleUpstreamSegment(struct SlRelayAgent *agent,
                                   struct SlRelaySink *sink, uint64_t now_us,
                                   uint8_t *bytes, uint32_t length_bytes)
{
    struct SlSegment segment;

    if (agent->options.format->parse(bytes, length_bytes, &segment) != SL_OK) {
        agent->counters.malformed++;
        SlRelayAgent_Event(
            agent, sink, now_us,
            (struct SlEvent){.number = SL_EVENT_DROP, .reason = "malformed"});
        return;
    }
    agent->upstream_heard_us = now_us;
    if (segment.flags & SL_SEGMENT_RETURNED) {
        agent->options.format->clear_returned(bytes);
        segment.flags &= (uint8_t)~SL_SEGMENT_RETURNED;
        SlAgentFlow_Returned(agent, sink, now_us, &segment);
        return;
    }
    agent->silent_until_us = 0;
    SlAgentFlow_Answered(agent, sink, now_us, &segment);
}

/// Questions about flows, and answers to them. False for other frames.
static bool
take_question(struct SlRelayAgent *agent, struct SlRelaySink *sink,
              uint64_t now_us, const struct SlAddress *from,
              const struct SlRelayFrame *frame)
{
    switch (frame->kind) {
    case SL_RELAY_QUERY:
        SlAgentFlow_Asked(agent, sink, now_us, from, frame);
        return true;
    case SL_RELAY_QUERY_MANY:
        SlRelayAgent_HeardPeer(agent, frame->sender);
        SlAgentFlow_AskedMany(agent, sink, now_us, from, frame);
        return true;
    case SL_RELAY_HOLDS_MANY:
        SlRelayAgent_HeardMany(agent, sink, now_us, frame);
        return true;
    case SL_RELAY_BROADCAST_QUERY:
        SlRelayAgent_AskAll(agent, sink, now_us, from, frame);
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

    SlRelayAgent_HeardEntry(agent, now_us, frame->sender);
    if (take_question(agent, sink, now_us, from, frame)) {
        return;
    }
    if ((frame->kind != SL_RELAY_OFFER && frame->kind != SL_RELAY_CARRY) ||
        agent->options.format->parse(frame->segment, frame->segment_bytes,
                                     &segment) != SL_OK) {
        agent->counters.malformed++;
        return;
    }
    opens = (segment.flags & SL_SEGMENT_OPEN) != 0 &&
            (segment.flags & SL_SEGMENT_ACK) == 0;
    if (opens) {
        SlRelayAgent_Offered(agent, sink, now_us, from, &segment, frame);
    }
    else {
        SlAgentFlow_Carried(agent, sink, now_us, from, &segment);
    }
}

void
SlRelayAgent_Tick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                  uint64_t now_us)
{
    SlAgentFlow_Tick(agent, sink, now_us);
    SlRelayAgent_RoundsTick(agent, sink, now_us);
    SlRelayAgent_Report(agent, sink, now_us);
}

void
SlRelayAgent_BeginStop(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                       uint64_t now_us)
{
    agent->stopping = true;
    agent->report_due_us = now_us;
    SlRelayAgent_Report(agent, sink, now_us);
}

bool
SlRelayAgent_IsIdle(const struct SlRelayAgent *agent)
{
    return agent->admission.in_progress == 0 && agent->admission.opening == 0;
}

void
SlRelayAgent_Counters(const struct SlRelayAgent *agent,
                      struct SlRelayAgentCounters *counters)
{
    *counters = agent->counters;
    counters->flows = agent->admission.flows;
    counters->in_progress =
        agent->admission.in_progress + agent->admission.opening;
    counters->answer_us = agent->admission.answer_us;
}
