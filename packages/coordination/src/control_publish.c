/// Distribution of the configuration: subscribers receive the objects
/// modified since their version, or the whole configuration when those
/// modifications are no longer recorded.

#include <stdlib.h>
#include <string.h>

#include "config_parts.h"
#include "control_core.h"

enum {
    /// Minimum time between two log lines about changes sent without a lease.
    PUBLICATION_LOG_INTERVAL_US = 1000 * 1000,
};

enum SlStatus
SlControl_CreatePublisher(struct SlControl *control)
{
    control->modifications =
        calloc(SL_CONTROL_MODIFICATIONS_MAX, sizeof(*control->modifications));
    control->part_objects =
        calloc(SL_CONFIG_OBJECTS_MAX, sizeof(*control->part_objects));
    control->part_removed =
        calloc(SL_CONFIG_OBJECTS_MAX, sizeof(*control->part_removed));
    return control->modifications && control->part_objects &&
                   control->part_removed
               ? SL_OK
               : SL_NO_MEMORY;
}

void
SlControl_ReleasePublisher(struct SlControl *control)
{
    free(control->modifications);
    free(control->part_objects);
    free(control->part_removed);
}

void
SlControl_RecordModification(struct SlControl *control,
                             struct SlVersion version,
                             const struct SlChange *change)
{
    struct SlModification *modification;
    uint32_t index;

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
    if (control->modification_count == SL_CONTROL_MODIFICATIONS_MAX) {
        control->modifications_since =
            control->modifications[control->first_modification].version;
        control->first_modification =
            (control->first_modification + 1) % SL_CONTROL_MODIFICATIONS_MAX;
        control->modification_count--;
    }
    index = (control->first_modification + control->modification_count++) %
            SL_CONTROL_MODIFICATIONS_MAX;
    modification = &control->modifications[index];
    modification->version = version;
    modification->kind = change->object.kind;
    memcpy(modification->name, change->object.name,
           sizeof(modification->name));
}

void
SlControl_ClearModifications(struct SlControl *control)
{
    control->first_modification = 0;
    control->modification_count = 0;
    control->modifications_since = SlConfig_Version(control->config);
}

static const struct SlModification *
modification_at(const struct SlControl *control, uint32_t index)
{
    return &control->modifications[(control->first_modification + index) %
                                   SL_CONTROL_MODIFICATIONS_MAX];
}

/// Returns the index of the first modification after version.
static uint32_t
first_modification_after(const struct SlControl *control,
                         struct SlVersion version)
{
    uint32_t low = 0;
    uint32_t high = control->modification_count;

    while (low < high) {
        uint32_t middle = (low + high) / 2;

        if (SlVersion_Compare(modification_at(control, middle)->version,
                              version) <= 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

static void
send_config_part(struct SlControl *control, uint64_t link,
                 struct SlConfigPart *part, bool last)
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

/// Appends the present state of a modified object, or its removal. For an
/// object modified several times only the last modification appends it.
static void
append_modified_object(struct SlControl *control, struct SlConfigPart *part,
                       const struct SlModification *modification)
{
    const struct SlObject *object = SlConfig_FindObject(
        control->config, modification->kind, modification->name);
    struct SlObject *removed;

    if (object == NULL) {
        removed = &part->removed[part->removed_count++];
        *removed = (struct SlObject){.kind = modification->kind};
        memcpy(removed->name, modification->name, sizeof(removed->name));
        return;
    }
    if (SlVersion_Compare(object->modified, modification->version) == 0) {
        part->objects[part->object_count++] = *object;
    }
}

static void
send_delta(struct SlControl *control, const struct SlControlLink *link,
           bool fresh)
{
    struct SlConfigPart part = {.from = link->sent_version,
                                .to = SlConfig_Version(control->config),
                                .first = true,
                                .fresh = fresh,
                                .objects = control->part_objects,
                                .removed = control->part_removed};

    if (SlVersion_Compare(SlConfig_DocumentModifiedVersion(control->config),
                          link->sent_version) > 0) {
        part.document = SlDocument_Text(SlConfig_Document(control->config));
    }
    for (uint32_t i = first_modification_after(control, link->sent_version);
         i < control->modification_count; i++) {
        if (part.object_count == SL_CONFIG_OBJECTS_MAX ||
            part.removed_count == SL_CONFIG_OBJECTS_MAX) {
            send_config_part(control, link->link, &part, false);
        }
        append_modified_object(control, &part, modification_at(control, i));
    }
    send_config_part(control, link->link, &part, true);
}

/// True when all modifications since version are still recorded.
static bool
can_send_delta(const struct SlControl *control, struct SlVersion version)
{
    return version.index != 0 &&
           SlVersion_Compare(version, control->modifications_since) >= 0;
}

/// Sends a subscriber what it lacks. Returns false if it lacks nothing.
static bool
publish_to_link(struct SlControl *control, struct SlControlLink *link,
                bool fresh)
{
    struct SlVersion version = SlConfig_Version(control->config);

    if (!link->subscribed ||
        SlVersion_Compare(link->sent_version, version) >= 0) {
        return false;
    }
    if (can_send_delta(control, link->sent_version)) {
        send_delta(control, link, fresh);
    }
    else {
        SlConfigParts_SendWhole(control->config, fresh, control->sink,
                                link->link);
    }
    link->sent_version = version;
    return true;
}

/// Counts and logs, at a limited rate, that changes were sent without a lease.
static void
report_outdated_publication(struct SlControl *control, uint32_t links)
{
    control->outdated_publications += links;
    if (control->now_us < control->outdated_publication_log_due_us) {
        return;
    }
    control->outdated_publication_log_due_us =
        control->now_us + PUBLICATION_LOG_INTERVAL_US;
    SlControl_EmitEvent(
        control, &(struct SlEvent){
                     .number = SL_EVENT_PUBLISHED_WITHOUT_LEASE,
                     .node = SlControl_LeaderName(control),
                     .value = links,
                     .limit = SlControl_LeaseUs(control, control->now_us)});
}

void
SlControl_PublishChanges(struct SlControl *control)
{
    bool fresh = SlRaft_IsRecent(&control->raft, control->now_us);
    uint32_t published = 0;

    if (!fresh && !control->options.self_forming) {
        return;
    }
    for (uint32_t i = 0; i < control->link_count; i++) {
        published += publish_to_link(control, &control->links[i], fresh);
    }
    if (!fresh && published > 0) {
        report_outdated_publication(control, published);
    }
}

uint64_t
SlControl_OutdatedPublicationCount(const struct SlControl *control)
{
    return control->outdated_publications;
}

void
SlControl_OnSubscribe(struct SlControl *control, uint64_t number,
                      const struct SlSubscribe *subscribe)
{
    struct SlControlLink *link = SlControl_FindLink(control, number);

    if (link != NULL) {
        link->subscribed = true;
        link->sent_version = subscribe->version;
        link->held_version = subscribe->version;
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
        link->echo_received_us = control->now_us;
        link->held_version = heartbeat->version;
    }
}

void
SlControl_SendHeartbeats(struct SlControl *control)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_HEARTBEAT,
        .heartbeat = {.version = SlConfig_Version(control->config),
                      .fresh =
                          SlRaft_IsRecent(&control->raft, control->now_us),
                      .sent_us = control->now_us}};

    for (uint32_t i = 0; i < control->link_count; i++) {
        struct SlControlLink *link = &control->links[i];

        if (link->subscribed && control->now_us >= link->heartbeat_due_us) {
            link->heartbeat_due_us =
                control->now_us + SL_CONTROL_HEARTBEAT_INTERVAL_US;
            message.heartbeat.echo_us = link->echo_us;
            message.heartbeat.kept_us =
                control->now_us - link->echo_received_us;
            control->sink->type->send_message(control->sink, link->link,
                                              &message);
        }
    }
}
