#include "savoryledge/state/object.h"

#include <ctype.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

enum {
    SILENCE_MIN_MS = 1000,
    SILENCE_MAX_MS = 3600 * 1000,
    IDLE_MAX_MS = 86400 * 1000,
    SLOTS_MAX = 4096,
    CAPACITY_MAX_FLOWS = 1000 * 1000,
};

static const char *const KIND_NAMES[SL_KIND_COUNT] = {
    [SL_KIND_NONE] = "none",       [SL_KIND_ZONE] = "zone",
    [SL_KIND_SERVICE] = "service", [SL_KIND_GROUP] = "group",
    [SL_KIND_NODE] = "node",
};

static const char *const VERB_NAMES[SL_VERB_COUNT] = {
    [SL_VERB_NONE] = "none",
    [SL_VERB_CREATE] = "create",
    [SL_VERB_LABEL] = "label",
    [SL_VERB_SELECT] = "select",
    [SL_VERB_DELETE] = "delete",
    [SL_VERB_HOLD] = "hold",
    [SL_VERB_RELEASE] = "release",
    [SL_VERB_ANNOUNCE] = "announce",
    [SL_VERB_SET_REACHABILITY] = "reach",
    [SL_VERB_MEMBER_ADD] = "member_add",
    [SL_VERB_MEMBER_PROMOTE] = "member_promote",
    [SL_VERB_MEMBER_REMOVE] = "member_remove",
    [SL_VERB_NOOP] = "noop",
    [SL_VERB_DOCUMENT] = "document",
};

const char *
SlKind_Name(enum SlKind kind)
{
    return (uint32_t)kind < SL_KIND_COUNT ? KIND_NAMES[kind] : "unknown";
}

enum SlKind
SlKind_FromName(const char *name)
{
    if (strcmp(name, "upstream") == 0 || strcmp(name, "entry") == 0) {
        return SL_KIND_NODE;
    }
    for (uint32_t kind = SL_KIND_ZONE; kind < SL_KIND_COUNT; kind++) {
        if (strcmp(name, KIND_NAMES[kind]) == 0) {
            return (enum SlKind)kind;
        }
    }
    return SL_KIND_NONE;
}

const char *
SlVerb_Name(enum SlVerb verb)
{
    return (uint32_t)verb < SL_VERB_COUNT ? VERB_NAMES[verb] : "unknown";
}

/// Letters, digits, "-", "_", "." and "/"; at least one, under room bytes.
static bool
is_word(const char *text, size_t room)
{
    size_t length = strnlen(text, room);

    if (length == 0 || length == room) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (!isalnum((unsigned char)text[i]) &&
            strchr("-_./", text[i]) == NULL) {
            return false;
        }
    }
    return true;
}

static struct SlLabel *
find_label(const struct SlLabels *labels, const char *key)
{
    for (uint32_t i = 0; i < labels->count; i++) {
        if (strcmp(labels->items[i].key, key) == 0) {
            return (struct SlLabel *)&labels->items[i];
        }
    }
    return NULL;
}

const char *
SlLabels_Get(const struct SlLabels *labels, const char *key)
{
    const struct SlLabel *label = find_label(labels, key);

    return label ? label->value : NULL;
}

enum SlStatus
SlLabels_Set(struct SlLabels *labels, const char *key, const char *value)
{
    struct SlLabel *label;

    if (!is_word(key, SL_LABEL_KEY_BYTES) ||
        !is_word(value, SL_LABEL_VALUE_BYTES)) {
        return SL_INVALID;
    }
    label = find_label(labels, key);
    if (label == NULL) {
        if (labels->count == SL_LABELS_MAX) {
            return SL_FULL;
        }
        label = &labels->items[labels->count++];
    }
    *label = (struct SlLabel){.key = ""};
    snprintf(label->key, sizeof(label->key), "%s", key);
    snprintf(label->value, sizeof(label->value), "%s", value);
    return SL_OK;
}

void
SlLabels_Unset(struct SlLabels *labels, const char *key)
{
    struct SlLabel *label = find_label(labels, key);
    struct SlLabel *last;

    if (label == NULL) {
        return;
    }
    last = &labels->items[--labels->count];
    memmove(label, label + 1, (size_t)((uint8_t *)last - (uint8_t *)label));
    *last = (struct SlLabel){.key = ""};
}

const char *
SlObject_Label(const struct SlObject *object, const char *key)
{
    const char *value;

    if (strcmp(key, "name") == 0) {
        return object->name;
    }
    value = SlLabels_Get(&object->labels, key);
    if (value != NULL) {
        return *value ? value : NULL;
    }
    if (object->kind != SL_KIND_NODE) {
        return NULL;
    }
    if (strcmp(key, "zone") == 0) {
        return object->node.zone[0] ? object->node.zone : NULL;
    }
    return SlLabels_Get(&object->node.announced, key);
}

static enum SlStatus
invalid(struct SlError *error, const char *what, const char *found)
{
    return SlError_Set(error, SL_INVALID, SL_STEP_PARSE, NULL, "%s: \"%s\"",
                       what, found);
}

static enum SlStatus
check_labels(const struct SlLabels *labels, struct SlError *error)
{
    if (labels->count > SL_LABELS_MAX) {
        return invalid(error, "too many labels", "");
    }
    for (uint32_t i = 0; i < labels->count; i++) {
        const struct SlLabel *label = &labels->items[i];

        if (!is_word(label->key, SL_LABEL_KEY_BYTES)) {
            return invalid(error, "label key not allowed", label->key);
        }
        if (!is_word(label->value, SL_LABEL_VALUE_BYTES)) {
            return invalid(error, "label value not allowed", label->value);
        }
        if (strcmp(label->key, "name") == 0 ||
            strcmp(label->key, "zone") == 0) {
            return invalid(error, "label key is built in", label->key);
        }
    }
    return SL_OK;
}

static enum SlStatus
check_service(const struct SlServiceSpec *service, struct SlError *error)
{
    char text[SL_ADDRESS_TEXT_BYTES];

    if (service->address.port == 0) {
        return invalid(error, "service address has no port",
                       SlAddress_Format(&service->address, text));
    }
    if (service->protocol != IPPROTO_TCP && service->protocol != IPPROTO_UDP) {
        return invalid(error, "service protocol is neither tcp nor udp", "");
    }
    if (service->silence_ms != 0 && (service->silence_ms < SILENCE_MIN_MS ||
                                     service->silence_ms > SILENCE_MAX_MS)) {
        return invalid(error, "silence_ms is not 0 or 1000..3600000", "");
    }
    if (service->idle_ms != 0 && (service->idle_ms < SILENCE_MIN_MS ||
                                  service->idle_ms > IDLE_MAX_MS)) {
        return invalid(error, "idle_ms is not 0 or 1000..86400000", "");
    }
    return SL_OK;
}

static enum SlStatus
check_node(const struct SlObject *object, struct SlError *error)
{
    const struct SlNodeSpec *node = &object->node;

    if (node->node_id != SlNode_Id(object->name)) {
        return invalid(error, "node id does not follow from the name",
                       object->name);
    }
    if (!is_word(node->zone, SL_NAME_BYTES)) {
        return invalid(error, "availability zone not allowed", node->zone);
    }
    if ((node->roles & SL_ROLE_AGENT) &&
        (node->slots < 1 || node->slots > SLOTS_MAX ||
         node->capacity_flows < 1 ||
         node->capacity_flows > CAPACITY_MAX_FLOWS)) {
        return invalid(error, "slots or capacity out of range", object->name);
    }
    return check_labels(&node->announced, error);
}

static enum SlStatus
check_create(const struct SlObject *object, struct SlError *error)
{
    enum SlStatus status;

    if (object->kind == SL_KIND_NODE) {
        return invalid(error, "nodes announce themselves, not created",
                       object->name);
    }
    if (object->holds.count != 0) {
        return invalid(error, "an object is created without holds",
                       object->name);
    }
    if (object->kind == SL_KIND_ZONE && object->selector[0] != '\0') {
        return invalid(error, "a zone has no selector", object->selector);
    }
    status = SlSelector_Check(object->selector, error);
    if (status == SL_OK && object->kind == SL_KIND_SERVICE) {
        status = check_service(&object->service, error);
    }
    return status == SL_OK ? check_labels(&object->labels, error) : status;
}

static enum SlStatus
check_hold(const struct SlChange *change, struct SlError *error)
{
    if (change->object.kind != SL_KIND_ZONE &&
        change->object.kind != SL_KIND_NODE) {
        return invalid(error, "only zones and upstreams are held",
                       SlKind_Name(change->object.kind));
    }
    if (!is_word(change->hold.key, SL_HOLD_KEY_BYTES)) {
        return invalid(error, "hold key not allowed", change->hold.key);
    }
    return SL_OK;
}

static enum SlStatus
check_select(const struct SlObject *object, struct SlError *error)
{
    if (object->kind != SL_KIND_SERVICE && object->kind != SL_KIND_GROUP) {
        return invalid(error, "only services and groups have a selector",
                       SlKind_Name(object->kind));
    }
    return SlSelector_Check(object->selector, error);
}

static enum SlStatus
check_unset(const struct SlLabels *unset, struct SlError *error)
{
    if (unset->count > SL_LABELS_MAX) {
        return invalid(error, "too many labels", "");
    }
    for (uint32_t i = 0; i < unset->count; i++) {
        if (!is_word(unset->items[i].key, SL_LABEL_KEY_BYTES)) {
            return invalid(error, "label key not allowed",
                           unset->items[i].key);
        }
    }
    return SL_OK;
}

static enum SlStatus
check_document(const struct SlDocumentText *document, struct SlError *error)
{
    if (document->version == 0 || document->length_bytes == 0) {
        return invalid(error, "document has no version or no content", "");
    }
    if (document->length_bytes > SL_DOCUMENT_MAX_BYTES) {
        return invalid(error, "document is too long", "");
    }
    return SL_OK;
}

enum SlStatus
SlChange_Check(const struct SlChange *change, struct SlError *error)
{
    const struct SlObject *object = &change->object;
    enum SlStatus status;

    if (change->verb == SL_VERB_NOOP) {
        return SL_OK;
    }
    if (change->verb == SL_VERB_DOCUMENT) {
        return check_document(&change->document, error);
    }
    if (object->kind <= SL_KIND_NONE || object->kind >= SL_KIND_COUNT) {
        return invalid(error, "unknown kind of object", "");
    }
    if (!is_word(object->name, SL_NAME_BYTES)) {
        return invalid(error, "name not allowed", object->name);
    }
    switch (change->verb) {
    case SL_VERB_CREATE:
        return check_create(object, error);
    case SL_VERB_LABEL:
        status = check_unset(&change->unset, error);
        return status == SL_OK ? check_labels(&object->labels, error) : status;
    case SL_VERB_SELECT:
        return check_select(object, error);
    case SL_VERB_HOLD:
    case SL_VERB_RELEASE:
        return check_hold(change, error);
    case SL_VERB_ANNOUNCE:
        return check_node(object, error);
    case SL_VERB_DELETE:
    case SL_VERB_SET_REACHABILITY:
    case SL_VERB_MEMBER_ADD:
    case SL_VERB_MEMBER_PROMOTE:
    case SL_VERB_MEMBER_REMOVE:
        return SL_OK;
    default:
        return invalid(error, "unknown verb", SlVerb_Name(change->verb));
    }
}
