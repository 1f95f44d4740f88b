/// The operator: sends changes, one after the other, to whichever control
/// instance accepts them, and resends after a lost answer.

#include <assert.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "world.h"

enum {
    CHANGES_MAX = 4096,
    PATIENCE_US = 1000 * 1000,
    POLL_US = 5 * 1000,
    OPERATOR_CLIENT = 77,
};

static struct SlWorldNode *
control_at(struct SlWorld *world, uint32_t number)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        if (world->nodes[i].roles & SL_ROLE_CONTROL && number-- == 0) {
            return &world->nodes[i];
        }
    }
    return &world->nodes[0];
}

void
SlWorldOperator_Add(struct SlWorld *world, const struct SlChange *change)
{
    if (world->changes == NULL) {
        world->changes =
            (struct SlChange *)calloc(CHANGES_MAX, sizeof(*world->changes));
        assert(world->changes != NULL);
    }
    assert(world->change_count < CHANGES_MAX);
    world->changes[world->change_count] = *change;
    world->changes[world->change_count].client = OPERATOR_CLIENT;
    world->changes[world->change_count].request = world->change_count + 1;
    world->change_count++;
}

static void
add_object(struct SlWorld *world, enum SlKind kind, const char *name,
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
    SlWorldOperator_Add(world, &change);
}

void
SlWorldOperator_SetUp(struct SlWorld *world)
{
    for (uint32_t i = 0; i < world->zone_count; i++) {
        add_object(world, SL_KIND_ZONE, world->zones[i], "", NULL);
    }
    for (uint32_t i = 0; i < world->service_count; i++) {
        const struct SlWorldService *service = &world->services[i];
        const struct SlServiceSpec spec = {
            .address = service->address,
            .protocol = service->protocol,
            .silence_ms = service->silence_ms,
            .idle_ms = service->idle_ms,
        };
        char selector[SL_SELECTOR_BYTES];

        snprintf(selector, sizeof(selector), "service=%s", service->name);
        add_object(world, SL_KIND_GROUP, service->name, selector, NULL);
        snprintf(selector, sizeof(selector), "name=%s", service->name);
        add_object(world, SL_KIND_SERVICE, service->name, selector, &spec);
    }
}

/// Goes to the next control instance, or sends again.
static void
send_change(struct SlWorld *world)
{
    struct SlWorldNode *control = control_at(world, world->change_control);
    struct SlPeer peer = {.node_id = 1, .name = "operator"};
    struct SlInput up = {.kind = SL_INPUT_LINK_UP, .peer = &peer};
    struct SlMessage message = {.kind = SL_MESSAGE_CHANGE};
    struct SlInput input = {.kind = SL_INPUT_MESSAGE, .message = &message};

    world->change_sent_us = world->now_us;
    if (control->node == NULL || control->stopped) {
        world->change_control =
            (world->change_control + 1) % world->settings.controls;
        return;
    }
    world->change_link = ++world->link_count;
    world->links[world->change_link].ends[0] = control->index;
    world->links[world->change_link].ends[1] = control->index;
    up.link = world->change_link;
    input.link = world->change_link;
    message.change = world->changes[world->change_next];
    message.change.time_us = world->now_us;
    SlWorldNode_Give(control, &up);
    SlWorldNode_Give(control, &input);
}

/// A label may move an upstream to another service.
static void
note_moved(struct SlWorld *world, const struct SlChange *change)
{
    const char *name = SlLabels_Get(&change->object.labels, "service");
    uint32_t node = SlWorld_FindNode(world, change->object.name);
    uint32_t service;

    if (name == NULL || node == WORLD_NODES_MAX) {
        return;
    }
    service = SlWorld_FindService(world, name);
    if (service != WORLD_SERVICES_MAX) {
        struct SlWorldUpstream *upstream = &world->nodes[node].upstream;

        upstream->former_service = upstream->service;
        upstream->service = service;
        upstream->moved_us = world->now_us;
    }
}

/// What an accepted change means for the counts.
static void
note_accepted(struct SlWorld *world, const struct SlChange *change)
{
    bool hold = change->verb == SL_VERB_HOLD;

    if (change->verb == SL_VERB_LABEL && change->object.kind == SL_KIND_NODE) {
        note_moved(world, change);
        return;
    }
    if (change->verb != SL_VERB_HOLD && change->verb != SL_VERB_RELEASE) {
        return;
    }
    if (change->object.kind == SL_KIND_ZONE) {
        uint32_t zone = SlWorld_FindZone(world, change->object.name);

        world->zone_out_us[zone] = hold ? world->now_us : 0;
        world->zone_back_us[zone] = hold ? 0 : world->now_us;
    }
    else {
        uint32_t node = SlWorld_FindNode(world, change->object.name);

        world->drain_us[node] = hold ? world->now_us : 0;
    }
    SlWorld_MoveBaselines(world);
}

void
SlWorldOperator_Take(struct SlWorld *world, const struct SlMessage *message)
{
    const struct SlChange *change = &world->changes[world->change_next];
    enum SlStatus status;

    if (message->kind != SL_MESSAGE_RESULT ||
        world->change_next == world->change_count ||
        message->result.request != change->request) {
        return;
    }
    status = message->result.result.status;
    if (status == SL_NOT_LEADER || status == SL_NO_QUORUM ||
        status == SL_STALE || status == SL_TIMEOUT) {
        world->change_control =
            (world->change_control + 1) % world->settings.controls;
        return;
    }
    if (status == SL_OK) {
        world->counts.changes++;
        world->change_accepted_us = world->now_us;
        world->change_version = message->result.result.version;
        note_accepted(world, change);
    }
    else {
        world->counts.changes_refused++;
        fprintf(stderr, "change %s %s: %s %s\n", SlVerb_Name(change->verb),
                change->object.name, SlStatus_Name(status),
                message->result.result.message);
    }
    world->change_next++;
    world->change_sent_us = 0;
}

static bool
all_hold(const struct SlWorld *world, struct SlVersion version)
{
    for (uint32_t i = 0; i < world->node_count; i++) {
        const struct SlWorldNode *node = &world->nodes[i];

        if (node->node != NULL && !node->stopped &&
            SlVersion_Compare(
                SlConfig_Version(SlReplica_Config(SlNode_Replica(node->node))),
                version) < 0) {
            return false;
        }
    }
    return true;
}

bool
SlWorldOperator_InForce(const struct SlWorld *world)
{
    return world->change_next == world->change_count &&
           all_hold(world, world->change_version);
}

void
SlWorldOperator_Run(struct SlWorld *world)
{
    uint64_t took_us = world->now_us - world->change_accepted_us;

    if (world->change_accepted_us != 0 &&
        all_hold(world, world->change_version)) {
        if (took_us > world->counts.in_force_us) {
            world->counts.in_force_us = took_us;
        }
        world->change_accepted_us = 0;
    }
    if (world->change_next < world->change_count &&
        (world->change_sent_us == 0 ||
         world->now_us - world->change_sent_us > PATIENCE_US)) {
        if (world->change_sent_us != 0) {
            world->change_control =
                (world->change_control + 1) % world->settings.controls;
        }
        send_change(world);
    }
    SlWorldQueue_Push(&world->queue, (struct SlWorldEvent){
                                         .time_us = world->now_us + POLL_US,
                                         .kind = WORLD_OPERATOR,
                                     });
}
