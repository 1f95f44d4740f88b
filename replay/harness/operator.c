/// The operator: sends changes one after the other, tries the control
/// instances in turn until one accepts, and resends a change whose answer was
/// lost.

#include <assert.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "simulation.h"

enum {
    CHANGES_MAX = 4096,
    ANSWER_TIMEOUT_US = 1000 * 1000,
    POLL_INTERVAL_US = 5 * 1000,
    OPERATOR_CLIENT_ID = 77,
};

static struct SlSimNode *
find_control(struct SlSim *sim, uint32_t number)
{
    for (uint32_t i = 0; i < sim->node_count; i++) {
        if (sim->nodes[i].roles & SL_ROLE_CONTROL && number-- == 0) {
            return &sim->nodes[i];
        }
    }
    return &sim->nodes[0];
}

void
SlSimOperator_QueueChange(struct SlSim *sim, const struct SlChange *change)
{
    if (sim->changes == NULL) {
        sim->changes =
            (struct SlChange *)calloc(CHANGES_MAX, sizeof(*sim->changes));
        assert(sim->changes != NULL);
    }
    assert(sim->change_count < CHANGES_MAX);
    sim->changes[sim->change_count] = *change;
    sim->changes[sim->change_count].client = OPERATOR_CLIENT_ID;
    sim->changes[sim->change_count].request = sim->change_count + 1;
    sim->change_count++;
}

static void
queue_create(struct SlSim *sim, enum SlKind kind, const char *name,
             const char *selector, const struct SlServiceSpec *service)
{
    struct SlChange change = {.verb = SL_VERB_CREATE};

    change.object.kind = kind;
    snprintf(change.object.name, sizeof(change.object.name), "%s", name);
    snprintf(change.object.selector, sizeof(change.object.selector), "%s",
             selector);
    if (service != NULL) {
        change.object.service = *service;
    }
    SlSimOperator_QueueChange(sim, &change);
}

void
SlSimOperator_QueueInitialChanges(struct SlSim *sim)
{
    for (uint32_t i = 0; i < sim->zone_count; i++) {
        queue_create(sim, SL_KIND_ZONE, sim->zones[i], "", NULL);
    }
    for (uint32_t i = 0; i < sim->service_count; i++) {
        const struct SlSimService *service = &sim->services[i];
        const struct SlServiceSpec spec = {
            .address = service->address,
            .protocol = service->protocol,
            .silence_ms = service->silence_ms,
            .idle_ms = service->idle_ms,
        };
        char selector[SL_SELECTOR_BYTES];

        snprintf(selector, sizeof(selector), "service=%s", service->name);
        queue_create(sim, SL_KIND_GROUP, service->name, selector, NULL);
        snprintf(selector, sizeof(selector), "name=%s", service->name);
        queue_create(sim, SL_KIND_SERVICE, service->name, selector, &spec);
    }
}

/// Sends the current change to the selected control instance, or selects the
/// next control instance when that instance is down.
static void
send_change(struct SlSim *sim)
{
    struct SlSimNode *control = find_control(sim, sim->change_control_index);
    struct SlPeer peer = {.node_id = 1, .name = "operator"};
    struct SlInput up = {.kind = SL_INPUT_LINK_UP, .peer = &peer};
    struct SlMessage message = {.kind = SL_MESSAGE_CHANGE};
    struct SlInput input = {.kind = SL_INPUT_MESSAGE, .message = &message};

    sim->change_sent_us = sim->now_us;
    if (control->node == NULL || control->frozen) {
        sim->change_control_index =
            (sim->change_control_index + 1) % sim->settings.controls;
        return;
    }
    sim->change_link = ++sim->link_count;
    sim->links[sim->change_link].ends[0] = control->index;
    sim->links[sim->change_link].ends[1] = control->index;
    up.link = sim->change_link;
    input.link = sim->change_link;
    message.change = sim->changes[sim->next_change];
    message.change.time_us = sim->now_us;
    SlSimNode_HandleInput(control, &up);
    SlSimNode_HandleInput(control, &input);
}

/// Records that a label moved an upstream to another service.
static void
record_service_move(struct SlSim *sim, const struct SlChange *change)
{
    const char *name = SlLabels_Get(&change->object.labels, "service");
    uint32_t node = SlSim_FindNode(sim, change->object.name);
    uint32_t service;

    if (name == NULL || node == SIM_NODES_MAX) {
        return;
    }
    service = SlSim_FindService(sim, name);
    if (service != SIM_SERVICES_MAX) {
        struct SlSimUpstream *upstream = &sim->nodes[node].upstream;

        upstream->former_service = upstream->service;
        upstream->service = service;
        upstream->moved_us = sim->now_us;
    }
}

/// Records the effect of an accepted change for the counts.
static void
record_accepted_change(struct SlSim *sim, const struct SlChange *change)
{
    bool hold = change->verb == SL_VERB_HOLD;

    if (change->verb == SL_VERB_LABEL && change->object.kind == SL_KIND_NODE) {
        record_service_move(sim, change);
        return;
    }
    if (change->verb != SL_VERB_HOLD && change->verb != SL_VERB_RELEASE) {
        return;
    }
    if (change->object.kind == SL_KIND_ZONE) {
        uint32_t zone = SlSim_FindZone(sim, change->object.name);

        sim->zone_out_us[zone] = hold ? sim->now_us : 0;
        sim->zone_back_us[zone] = hold ? 0 : sim->now_us;
    }
    else {
        uint32_t node = SlSim_FindNode(sim, change->object.name);

        sim->drain_us[node] = hold ? sim->now_us : 0;
    }
    SlSim_UpdateBaselines(sim);
}

void
SlSimOperator_ReceiveResult(struct SlSim *sim, const struct SlMessage *message)
{
    const struct SlChange *change = &sim->changes[sim->next_change];
    enum SlStatus status;

    if (message->kind != SL_MESSAGE_RESULT ||
        sim->next_change == sim->change_count ||
        message->result.request != change->request) {
        return;
    }
    status = message->result.result.status;
    if (status == SL_NOT_LEADER || status == SL_NO_QUORUM ||
        status == SL_STALE || status == SL_TIMEOUT) {
        sim->change_control_index =
            (sim->change_control_index + 1) % sim->settings.controls;
        return;
    }
    if (status == SL_OK) {
        sim->counts.changes++;
        sim->change_accepted_us = sim->now_us;
        sim->change_version = message->result.result.version;
        record_accepted_change(sim, change);
    }
    else {
        sim->counts.changes_refused++;
        fprintf(stderr, "change %s %s: %s %s\n", SlVerb_Name(change->verb),
                change->object.name, SlStatus_Name(status),
                message->result.result.message);
    }
    sim->next_change++;
    sim->change_sent_us = 0;
}

static bool
do_all_nodes_hold(const struct SlSim *sim, struct SlVersion version)
{
    for (uint32_t i = 0; i < sim->node_count; i++) {
        const struct SlSimNode *node = &sim->nodes[i];

        if (node->node != NULL && !node->frozen &&
            SlVersion_Compare(
                SlConfig_Version(SlReplica_Config(SlNode_Replica(node->node))),
                version) < 0) {
            return false;
        }
    }
    return true;
}

bool
SlSimOperator_InForce(const struct SlSim *sim)
{
    return sim->next_change == sim->change_count &&
           do_all_nodes_hold(sim, sim->change_version);
}

void
SlSimOperator_Poll(struct SlSim *sim)
{
    uint64_t took_us = sim->now_us - sim->change_accepted_us;

    if (sim->change_accepted_us != 0 &&
        do_all_nodes_hold(sim, sim->change_version)) {
        if (took_us > sim->counts.in_force_us) {
            sim->counts.in_force_us = took_us;
        }
        sim->change_accepted_us = 0;
    }
    if (sim->next_change < sim->change_count &&
        (sim->change_sent_us == 0 ||
         sim->now_us - sim->change_sent_us > ANSWER_TIMEOUT_US)) {
        if (sim->change_sent_us != 0) {
            sim->change_control_index =
                (sim->change_control_index + 1) % sim->settings.controls;
        }
        send_change(sim);
    }
    SlSimQueue_Push(&sim->queue, (struct SlSimEvent){
                                     .time_us = sim->now_us + POLL_INTERVAL_US,
                                     .kind = SIM_OPERATOR_POLL,
                                 });
}
