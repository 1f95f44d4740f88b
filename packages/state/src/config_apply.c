#include <stdio.h>
#include <string.h>

#include "savoryledge/state/config.h"

/// The state machine: what each verb does to an object. Every replica runs
/// it on the same changes in the same order.

static void
set_message(struct SlResult *result, enum SlStatus status, const char *text,
            const char *word)
{
    result->status = status;
    snprintf(result->message, sizeof(result->message), "%s \"%s\"", text,
             word);
}

static void
show(struct SlResult *result, const struct SlObject *object)
{
    result->has_object = true;
    result->object = *object;
}

static void
conflict(struct SlResult *result, const struct SlObject *present)
{
    set_message(result, SL_CONFLICT, "another version is present of",
                present->name);
    show(result, present);
}

/// Puts the changed object in force.
static void
put(struct SlConfig *config, struct SlVersion version, struct SlObject *object,
    struct SlResult *result)
{
    object->modified = version;
    result->status = SlConfig_PutObject(config, object);
    if (result->status == SL_OK) {
        show(result, object);
    }
}

static void
apply_create(struct SlConfig *config, struct SlVersion version,
             const struct SlChange *change, struct SlResult *result)
{
    const struct SlObject *present =
        SlConfig_FindObject(config, change->object.kind, change->object.name);
    struct SlObject object = change->object;

    if (present != NULL) {
        conflict(result, present);
        return;
    }
    put(config, version, &object, result);
}

/// Removes a label; for a node, one that it announces is hidden.
static enum SlStatus
unset_label(struct SlObject *object, const char *key)
{
    struct SlLabel *label;

    SlLabels_Unset(&object->labels, key);
    if (object->kind != SL_KIND_NODE ||
        SlLabels_Get(&object->node.announced, key) == NULL) {
        return SL_OK;
    }
    if (object->labels.count == SL_LABELS_MAX) {
        return SL_FULL;
    }
    label = &object->labels.items[object->labels.count++];
    *label = (struct SlLabel){.key = ""};
    snprintf(label->key, sizeof(label->key), "%s", key);
    return SL_OK;
}

static enum SlStatus
change_labels(const struct SlChange *change, struct SlObject *object)
{
    enum SlStatus status = SL_OK;

    for (uint32_t i = 0; status == SL_OK && i < change->unset.count; i++) {
        status = unset_label(object, change->unset.items[i].key);
    }
    for (uint32_t i = 0; status == SL_OK && i < change->object.labels.count;
         i++) {
        const struct SlLabel *label = &change->object.labels.items[i];

        status = SlLabels_Set(&object->labels, label->key, label->value);
    }
    return status;
}

static struct SlHold *
find_hold(struct SlHolds *holds, const char *key)
{
    for (uint32_t i = 0; i < holds->count; i++) {
        if (strcmp(holds->items[i].key, key) == 0) {
            return &holds->items[i];
        }
    }
    return NULL;
}

static enum SlStatus
add_hold(const struct SlChange *change, struct SlHolds *holds)
{
    struct SlHold *hold = find_hold(holds, change->hold.key);

    if (hold == NULL) {
        if (holds->count == SL_HOLDS_MAX) {
            return SL_FULL;
        }
        hold = &holds->items[holds->count++];
        hold->since_us = change->time_us;
    }
    memcpy(hold->key, change->hold.key, sizeof(hold->key));
    memcpy(hold->reason, change->hold.reason, sizeof(hold->reason));
    return SL_OK;
}

static enum SlStatus
release_hold(const struct SlChange *change, struct SlHolds *holds)
{
    struct SlHold *hold = find_hold(holds, change->hold.key);
    struct SlHold *last;

    if (hold == NULL) {
        return SL_NOT_FOUND;
    }
    last = &holds->items[--holds->count];
    memmove(hold, hold + 1, (size_t)((uint8_t *)last - (uint8_t *)hold));
    *last = (struct SlHold){.key = ""};
    return SL_OK;
}

/// Changes object as the verb says.
static enum SlStatus
change_object(const struct SlChange *change, struct SlObject *object)
{
    switch (change->verb) {
    case SL_VERB_LABEL:
        return change_labels(change, object);
    case SL_VERB_SELECT:
        memcpy(object->selector, change->object.selector,
               sizeof(object->selector));
        return SL_OK;
    case SL_VERB_HOLD:
        return add_hold(change, &object->holds);
    case SL_VERB_RELEASE:
        return release_hold(change, &object->holds);
    case SL_VERB_SET_REACHABILITY:
        object->node.unreachable = change->object.node.unreachable;
        return SL_OK;
    default:
        return SL_INVALID;
    }
}

static void
apply_change(struct SlConfig *config, struct SlVersion version,
             const struct SlChange *change, struct SlResult *result)
{
    const struct SlObject *present =
        SlConfig_FindObject(config, change->object.kind, change->object.name);
    struct SlObject object;
    enum SlStatus status;

    if (present == NULL) {
        set_message(result, SL_NOT_FOUND,
                    "there is no such object:", change->object.name);
        return;
    }
    if (change->expected.index != 0 &&
        SlVersion_Compare(change->expected, present->modified) != 0) {
        conflict(result, present);
        return;
    }
    if (change->verb == SL_VERB_DELETE) {
        show(result, present);
        SlConfig_RemoveObject(config, change->object.kind,
                              change->object.name);
        return;
    }
    object = *present;
    status = change_object(change, &object);
    if (status != SL_OK) {
        set_message(result, status, "not possible for", object.name);
        return;
    }
    put(config, version, &object, result);
}

static void
apply_announce(struct SlConfig *config, struct SlVersion version,
               const struct SlChange *change, struct SlResult *result)
{
    const struct SlObject *present =
        SlConfig_FindObject(config, SL_KIND_NODE, change->object.name);
    struct SlObject object = {.kind = SL_KIND_NODE};

    if (present != NULL) {
        object = *present;
    }
    memcpy(object.name, change->object.name, sizeof(object.name));
    object.node = change->object.node;
    object.node.unreachable = false;
    put(config, version, &object, result);
}

/// A version that is not higher is accepted and changes nothing, so that a
/// change that was overtaken gets the same answer as one that was not.
static void
apply_document(struct SlConfig *config, struct SlVersion version,
               const struct SlChange *change, struct SlResult *result)
{
    const struct SlDocument *present = SlConfig_Document(config);

    if (present == NULL || change->document.version > present->version) {
        result->status =
            SlConfig_PutDocument(config, version, &change->document);
    }
}

static void
apply_verb(struct SlConfig *config, struct SlVersion version,
           const struct SlChange *change, struct SlResult *result)
{
    struct SlError error = {.status = SL_OK};

    result->status = SlChange_Check(change, &error);
    if (result->status != SL_OK) {
        memcpy(result->message, error.message, sizeof(result->message));
        return;
    }
    switch (change->verb) {
    case SL_VERB_CREATE:
        apply_create(config, version, change, result);
        break;
    case SL_VERB_ANNOUNCE:
        apply_announce(config, version, change, result);
        break;
    case SL_VERB_DOCUMENT:
        apply_document(config, version, change, result);
        break;
    case SL_VERB_NOOP:
    case SL_VERB_MEMBER_ADD:
    case SL_VERB_MEMBER_PROMOTE:
    case SL_VERB_MEMBER_REMOVE:
        break;
    default:
        apply_change(config, version, change, result);
        break;
    }
}

/// True when the request may have run and its result is forgotten.
static bool
is_too_old(const struct SlConfig *config, const struct SlChange *change)
{
    struct SlVersion forgotten = SlConfig_ForgottenVersion(config);

    return forgotten.index != 0 && change->base.index < forgotten.index;
}

void
SlConfig_Apply(struct SlConfig *config, struct SlVersion version,
               const struct SlChange *change, struct SlResult *result)
{
    const struct SlResult *first = NULL;
    struct SlRequestRecord record = {.client = change->client,
                                     .request = change->request};

    memset(result, 0, sizeof(*result));
    result->version = version;
    SlConfig_SetVersion(config, version);
    if (change->client == 0) {
        apply_verb(config, version, change, result);
        return;
    }
    first = SlConfig_FindResult(config, change->client, change->request);
    if (first != NULL) {
        *result = *first;
        return;
    }
    if (is_too_old(config, change)) {
        set_message(result, SL_TOO_OLD, "the request is too old, client",
                    "of an earlier version");
        return;
    }
    apply_verb(config, version, change, result);
    record.result = *result;
    SlConfig_PutResult(config, &record);
}
