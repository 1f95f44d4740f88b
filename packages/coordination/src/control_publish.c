/// Distribution: subscribers get what was touched since their version, or
/// the whole configuration when that is not known any more.

#include <stdlib.h>
#include <string.h>

#include "config_parts.h"
#include "control_core.h"

enum SlStatus
SlControl_CreatePublisher(struct SlControl *control)
{
    control->touched =
        calloc(SL_CONTROL_TOUCHED_MAX, sizeof(*control->touched));
    control->part_objects =
        calloc(SL_CONFIG_OBJECTS_MAX, sizeof(*control->part_objects));
    control->part_removed =
        calloc(SL_CONFIG_OBJECTS_MAX, sizeof(*control->part_removed));
    return control->touched && control->part_objects && control->part_removed
               ? SL_OK
               : SL_NO_MEMORY;
}

void
SlControl_ReleasePublisher(struct SlControl *control)
{
    free(control->touched);
    free(control->part_objects);
    free(control->part_removed);
}

void
SlControl_Touch(struct SlControl *control, struct SlVersion version,
                const struct SlChange *change)
{
    struct SlTouched *touched;
    uint32_t at;

    switch (change->verb) {
    case SL_VERB_NOOP:
    case SL_VERB_DOCUMENT:
    case SL_VERB_MEMBER_ADD:
    case SL_VERB_MEMBER_PROMOTE:
    case SL_VERB_MEMBER_REMOVE:
        return;
    default:
        break;
    }
    if (control->touched_count == SL_CONTROL_TOUCHED_MAX) {
        control->touched_from =
            control->touched[control->touched_first].version;
        control->touched_first =
            (control->touched_first + 1) % SL_CONTROL_TOUCHED_MAX;
        control->touched_count--;
    }
    at = (control->touched_first + control->touched_count++) %
         SL_CONTROL_TOUCHED_MAX;
    touched = &control->touched[at];
    touched->version = version;
    touched->kind = change->object.kind;
    memcpy(touched->name, change->object.name, sizeof(touched->name));
}

void
SlControl_ForgetTouched(struct SlControl *control)
{
    control->touched_first = 0;
    control->touched_count = 0;
    control->touched_from = SlConfig_Version(control->config);
}

static const struct SlTouched *
touched_at(const struct SlControl *control, uint32_t at)
{
    return &control->touched[(control->touched_first + at) %
                             SL_CONTROL_TOUCHED_MAX];
}

/// Position of the first touch after version.
static uint32_t
first_after(const struct SlControl *control, struct SlVersion version)
{
    uint32_t low = 0;
    uint32_t high = control->touched_count;

    while (low < high) {
        uint32_t middle = (low + high) / 2;

        if (SlVersion_Compare(touched_at(control, middle)->version, version) <=
            0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static void
send_part(struct SlControl *control, uint64_t link, struct SlConfigPart *part,
          bool last)
{
    struct SlMessage message = {.kind = SL_MESSAGE_CONFIG};

    part->last = last;
    message.config = *part;
    control->sink->type->send_message(control->sink, link, &message);
    part->first = false;
    part->document = (struct SlDocumentText){.version = 0};
    part->object_count = 0;
    part->removed_count = 0;
}

/// Adds the object as it is now. A touch that is not the object's last one
/// adds nothing: the last follows.
static void
add_touched(struct SlControl *control, struct SlConfigPart *part,
            const struct SlTouched *touched)
{
    const struct SlObject *object =
        SlConfig_FindObject(control->config, touched->kind, touched->name);
    struct SlObject *removed;

    if (object == NULL) {
        removed = &part->removed[part->removed_count++];
        *removed = (struct SlObject){.kind = touched->kind};
        memcpy(removed->name, touched->name, sizeof(removed->name));
        return;
    }
    if (SlVersion_Compare(object->modified, touched->version) == 0) {
        part->objects[part->object_count++] = *object;
    }
}

static void
send_delta(struct SlControl *control, const struct SlControlLink *link)
{
    struct SlConfigPart part = {.from = link->sent,
                                .to = SlConfig_Version(control->config),
                                .first = true,
                                .fresh = true,
                                .objects = control->part_objects,
                                .removed = control->part_removed};

    if (SlVersion_Compare(SlConfig_DocumentModifiedVersion(control->config),
                          link->sent) > 0) {
        part.document = SlDocument_Text(SlConfig_Document(control->config));
    }
    for (uint32_t i = first_after(control, link->sent);
         i < control->touched_count; i++) {
        if (part.object_count == SL_CONFIG_OBJECTS_MAX ||
            part.removed_count == SL_CONFIG_OBJECTS_MAX) {
            send_part(control, link->link, &part, false);
        }
        add_touched(control, &part, touched_at(control, i));
    }
    send_part(control, link->link, &part, true);
}

/// True when everything touched since version is remembered.
static bool
delta_is_known(const struct SlControl *control, struct SlVersion version)
{
    return version.index != 0 &&
           SlVersion_Compare(version, control->touched_from) >= 0;
}

/// Before anybody leads: who holds nothing gets what was in force before, as
/// one that may be out of date, and can serve meanwhile.
static void
publish_recorded(struct SlControl *control, struct SlVersion version)
{
    for (uint32_t i = 0; i < control->link_count; i++) {
        struct SlControlLink *link = &control->links[i];

        if (link->subscribed && link->sent.index == 0 && version.index != 0) {
            SlConfigParts_SendWhole(control->config, false, control->sink,
                                    link->link);
            link->sent = version;
        }
    }
}

void
SlControl_Publish(struct SlControl *control)
{
    struct SlVersion version = SlConfig_Version(control->config);

    if (!SlRaft_Fresh(&control->raft, control->now_us)) {
        if (control->options.self_forming) {
            publish_recorded(control, version);
        }
        return;
    }
    for (uint32_t i = 0; i < control->link_count; i++) {
        struct SlControlLink *link = &control->links[i];

        if (!link->subscribed || SlVersion_Compare(link->sent, version) >= 0) {
            continue;
        }
        if (delta_is_known(control, link->sent)) {
            send_delta(control, link);
        }
        else {
            SlConfigParts_SendWhole(control->config, true, control->sink,
                                    link->link);
        }
        link->sent = version;
    }
}

void
SlControl_OnSubscribe(struct SlControl *control, uint64_t number,
                      const struct SlSubscribe *subscribe)
{
    struct SlControlLink *link = SlControl_FindLink(control, number);

    if (link != NULL) {
        link->subscribed = true;
        link->sent = subscribe->version;
        link->holds = subscribe->version;
        link->heartbeat_due_us = control->now_us;
    }
}

void
SlControl_OnHeartbeat(struct SlControl *control, uint64_t number,
                      const struct SlHeartbeat *heartbeat)
{
    struct SlControlLink *link = SlControl_FindLink(control, number);

    if (link != NULL) {
        link->echo_us = heartbeat->sent_us;
        link->holds = heartbeat->version;
    }
}

void
SlControl_SendHeartbeats(struct SlControl *control)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_HEARTBEAT,
        .heartbeat = {.version = SlConfig_Version(control->config),
                      .fresh = SlRaft_Fresh(&control->raft, control->now_us),
                      .sent_us = control->now_us}};

    for (uint32_t i = 0; i < control->link_count; i++) {
        struct SlControlLink *link = &control->links[i];

        if (link->subscribed && control->now_us >= link->heartbeat_due_us) {
            link->heartbeat_due_us = control->now_us + SL_CONTROL_HEARTBEAT_US;
            message.heartbeat.echo_us = link->echo_us;
            control->sink->type->send_message(control->sink, link->link,
                                              &message);
        }
    }
}
