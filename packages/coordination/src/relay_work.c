/// Learns the work of requests at the upstream, and estimates what is left.

#include "relay_work.h"

#include "relay_agent_core.h"

enum {
    /// Slots of an upstream that are followed one by one. The work at one with
    /// more slots is taken to be spread evenly over this number.
    SLOTS_MAX = 16,
};

static uint64_t
route_id(const struct SlFlowKey *key)
{
    struct SlFlowKey route = {.service = key->service,
                              .protocol = key->protocol};
    uint64_t hash = SlFlowKey_Hash(&route, 0);

    return hash != 0 ? hash : 1;
}

static uint32_t
slot_count(const struct SlRelayAgent *agent)
{
    return agent->admission.slots != 0 ? agent->admission.slots : 1;
}

/// Gives slots to the requests that wait longest. Requests with a slot precede
/// those without one in the list, except after an answer out of order.
static void
assign_slots(struct SlRelayAgent *agent, uint64_t now_us)
{
    uint32_t occupied = 0;

    for (struct SlAgentFlow *flow = agent->requests.first;
         flow != NULL && occupied < slot_count(agent);
         flow = flow->request.next) {
        if (flow->request.work_began_us == 0) {
            flow->request.work_began_us = now_us;
        }
        occupied++;
    }
}

void
SlAgentWork_FlowAdmitted(struct SlRelayAgent *agent, uint64_t now_us,
                         struct SlAgentFlow *flow)
{
    if (!flow->request.flow_counted) {
        flow->request.route =
            SlWork_RouteIndex(&agent->work, route_id(&flow->item.key));
        flow->request.flow_counted = true;
        SlWork_FlowOpened(&agent->work, now_us, flow->request.route);
    }
}

void
SlAgentWork_RequestBegan(struct SlRelayAgent *agent, uint64_t now_us,
                         struct SlAgentFlow *flow)
{
    struct SlAgentRequest *request = &flow->request;

    SlAgentWork_FlowAdmitted(agent, now_us, flow);
    request->is_repeated = request->had_request;
    request->had_request = true;
    request->work_began_us = 0;
    request->next = NULL;
    request->previous = agent->requests.last;
    if (request->previous != NULL) {
        request->previous->request.next = flow;
    }
    else {
        agent->requests.first = flow;
    }
    agent->requests.last = flow;
    assign_slots(agent, now_us);
}

/// Takes the flow's request out of the list.
static void
unlink_request(struct SlRelayAgent *agent, struct SlAgentFlow *flow)
{
    struct SlAgentRequest *request = &flow->request;

    if (request->previous != NULL) {
        request->previous->request.next = request->next;
    }
    else {
        agent->requests.first = request->next;
    }
    if (request->next != NULL) {
        request->next->request.previous = request->previous;
    }
    else {
        agent->requests.last = request->previous;
    }
    request->next = NULL;
    request->previous = NULL;
}

static void
log_work(struct SlRelayAgent *agent, struct SlRelaySink *sink, uint64_t now_us,
         const char *reason)
{
    SlRelayAgent_LogEvent(
        agent, sink, now_us,
        (struct SlEvent){.number = SL_EVENT_RELAY_WORK,
                         .reason = reason,
                         .value = agent->work.mean_us,
                         .limit = agent->work.variation_percent});
}

/// Records the work of an answered request. That of a cold upstream is not
/// typical of it.
static void
learn_work(struct SlRelayAgent *agent, struct SlRelaySink *sink,
           uint64_t now_us, const struct SlAgentRequest *request)
{
    bool was_unlike = SlWork_IsUnlike(&agent->work);
    uint32_t forgotten = agent->work.forgotten;

    if (request->work_began_us == 0 ||
        SlAdmission_IsUpstreamCold(&agent->admission, now_us)) {
        return;
    }
    SlWork_AddSample(&agent->work, now_us, request->route,
                     now_us - request->work_began_us, request->is_repeated);
    if (forgotten != agent->work.forgotten) {
        log_work(agent, sink, now_us, "speed_changed");
    }
    if (was_unlike != SlWork_IsUnlike(&agent->work)) {
        log_work(agent, sink, now_us, was_unlike ? "alike" : "unlike");
    }
}

void
SlAgentWork_RequestEnded(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                         uint64_t now_us, struct SlAgentFlow *flow,
                         bool answered)
{
    unlink_request(agent, flow);
    if (answered) {
        learn_work(agent, sink, now_us, &flow->request);
    }
    assign_slots(agent, now_us);
}

void
SlAgentWork_FlowUnused(struct SlRelayAgent *agent, uint64_t now_us,
                       struct SlAgentFlow *flow)
{
    if (flow->request.flow_counted && !flow->request.had_request) {
        flow->request.flow_counted = false;
        SlWork_FlowClosed(&agent->work, now_us, flow->request.route);
    }
}

void
SlAgentWork_FlowEnded(struct SlRelayAgent *agent, uint64_t now_us,
                      struct SlAgentFlow *flow)
{
    if (flow->request_in_progress) {
        unlink_request(agent, flow);
        assign_slots(agent, now_us);
    }
    if (flow->request.flow_counted) {
        flow->request.flow_counted = false;
        SlWork_FlowClosed(&agent->work, now_us, flow->request.route);
    }
}

void
SlAgentWork_Forget(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                   uint64_t now_us)
{
    SlWork_Forget(&agent->work);
    log_work(agent, sink, now_us, "new_run");
}

/// Returns the expected further work of a request in progress.
static uint64_t
remaining_us(const struct SlRelayAgent *agent, uint64_t now_us,
             const struct SlAgentRequest *request)
{
    if (request->work_began_us == 0) {
        return SlWork_ExpectedUs(&agent->work, request->route);
    }
    return SlWork_RemainingUs(&agent->work, request->route,
                              now_us - request->work_began_us);
}

/// Returns the number of flows that will send a request, or whose request is
/// kept here.
static uint32_t
announced_requests(const struct SlRelayAgent *agent)
{
    return agent->admission.opening + agent->admission_queue.count;
}

void
SlAgentWork_FillLoad(const struct SlRelayAgent *agent, uint64_t now_us,
                     struct SlRelayLoad *load)
{
    uint64_t sum_us =
        (uint64_t)announced_requests(agent) * agent->work.mean_us;

    if (agent->work.mean_us == 0) {
        return;
    }
    for (const struct SlAgentFlow *flow = agent->requests.first; flow != NULL;
         flow = flow->request.next) {
        sum_us += remaining_us(agent, now_us, &flow->request);
    }
    load->work_us = agent->work.mean_us;
    load->variation_percent = agent->work.variation_percent;
    load->remaining_us = sum_us < UINT32_MAX ? (uint32_t)sum_us : UINT32_MAX;
    load->demand_permille = SlWork_DemandPermille(&agent->work, now_us);
}

uint32_t
SlAgentWork_FlowDemandPermille(const struct SlRelayAgent *agent,
                               uint64_t now_us, const struct SlFlowKey *flow)
{
    uint64_t id = route_id(flow);

    for (uint32_t i = 1; i < SL_WORK_ROUTES_MAX; i++) {
        if (agent->work.routes[i].id == id) {
            return SlWork_FlowDemandPermille(&agent->work, now_us, i);
        }
    }
    return 0;
}

static uint32_t
earliest_slot(const uint64_t *free_after_us, uint32_t slots)
{
    uint32_t earliest = 0;

    for (uint32_t i = 1; i < slots; i++) {
        if (free_after_us[i] < free_after_us[earliest]) {
            earliest = i;
        }
    }
    return earliest;
}

uint64_t
SlAgentWork_ExpectedWaitUs(const struct SlRelayAgent *agent, uint64_t now_us)
{
    uint64_t free_after_us[SLOTS_MAX] = {0};
    uint32_t slots =
        slot_count(agent) < SLOTS_MAX ? slot_count(agent) : SLOTS_MAX;
    uint64_t mean_us = agent->work.mean_us;

    for (const struct SlAgentFlow *flow = agent->requests.first; flow != NULL;
         flow = flow->request.next) {
        free_after_us[earliest_slot(free_after_us, slots)] +=
            remaining_us(agent, now_us, &flow->request);
    }
    for (uint32_t i = 0; i < announced_requests(agent); i++) {
        free_after_us[earliest_slot(free_after_us, slots)] += mean_us;
    }
    return free_after_us[earliest_slot(free_after_us, slots)];
}
