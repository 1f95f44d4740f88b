#include "savoryledge/state/config.h"

#include <stdlib.h>
#include <string.h>

#include "object_set.h"
#include "request_ring.h"

struct SlConfig {
    struct SlVersion version;
    struct SlObjectSet sets[SL_KIND_COUNT];
    struct SlRequestRing request_results;
    struct SlDocument *document;
    struct SlVersion document_modified_version;
};

struct SlConfig *
SlConfig_Create(void)
{
    return calloc(1, sizeof(struct SlConfig));
}

void
SlConfig_Destroy(struct SlConfig *config)
{
    if (config == NULL) {
        return;
    }
    for (uint32_t kind = 0; kind < SL_KIND_COUNT; kind++) {
        SlObjectSet_Release(&config->sets[kind]);
    }
    SlRequestRing_Release(&config->request_results);
    SlDocument_Unref(config->document);
    free(config);
}

struct SlConfig *
SlConfig_Clone(const struct SlConfig *config)
{
    struct SlConfig *clone = SlConfig_Create();

    if (clone == NULL) {
        return NULL;
    }
    clone->version = config->version;
    for (uint32_t kind = 0; kind < SL_KIND_COUNT; kind++) {
        if (SlObjectSet_Share(&clone->sets[kind], &config->sets[kind]) !=
            SL_OK) {
            SlConfig_Destroy(clone);
            return NULL;
        }
    }
    for (uint32_t i = 0; i < config->request_results.record_count; i++) {
        if (SlConfig_PutResult(clone, SlConfig_ResultAt(config, i)) != SL_OK) {
            SlConfig_Destroy(clone);
            return NULL;
        }
    }
    clone->request_results.forgotten_version =
        config->request_results.forgotten_version;
    clone->document = SlDocument_Ref(config->document);
    clone->document_modified_version = config->document_modified_version;
    return clone;
}

struct SlDocument *
SlConfig_Document(const struct SlConfig *config)
{
    return config->document;
}

struct SlVersion
SlConfig_DocumentModifiedVersion(const struct SlConfig *config)
{
    return config->document_modified_version;
}

enum SlStatus
SlConfig_PutDocument(struct SlConfig *config, struct SlVersion modified,
                     const struct SlDocumentText *text)
{
    struct SlDocument *document = SlDocument_Create(text);

    if (document == NULL) {
        return SL_NO_MEMORY;
    }
    SlDocument_Unref(config->document);
    config->document = document;
    config->document_modified_version = modified;
    return SL_OK;
}

struct SlVersion
SlConfig_Version(const struct SlConfig *config)
{
    return config->version;
}

void
SlConfig_SetVersion(struct SlConfig *config, struct SlVersion version)
{
    config->version = version;
}

const struct SlObject *
SlConfig_FindObject(const struct SlConfig *config, enum SlKind kind,
                    const char *name)
{
    return SlObjectSet_Find(&config->sets[kind], name);
}

const struct SlObject *
SlConfig_FindNode(const struct SlConfig *config, uint64_t node_id)
{
    const struct SlObjectSet *nodes = &config->sets[SL_KIND_NODE];

    for (uint32_t i = 0; i < nodes->object_count; i++) {
        if (nodes->items[i]->object.node.node_id == node_id) {
            return &nodes->items[i]->object;
        }
    }
    return NULL;
}

uint32_t
SlConfig_ObjectCount(const struct SlConfig *config, enum SlKind kind)
{
    return config->sets[kind].object_count;
}

const struct SlObject *
SlConfig_ObjectAt(const struct SlConfig *config, enum SlKind kind,
                  uint32_t index)
{
    return &config->sets[kind].items[index]->object;
}

enum SlStatus
SlConfig_PutObject(struct SlConfig *config, const struct SlObject *object)
{
    return SlObjectSet_Put(&config->sets[object->kind], object);
}

void
SlConfig_RemoveObject(struct SlConfig *config, enum SlKind kind,
                      const char *name)
{
    SlObjectSet_Remove(&config->sets[kind], name);
}

uint32_t
SlConfig_ResultCount(const struct SlConfig *config)
{
    return config->request_results.record_count;
}

const struct SlRequestRecord *
SlConfig_ResultAt(const struct SlConfig *config, uint32_t index)
{
    return SlRequestRing_At(&config->request_results, index);
}

struct SlVersion
SlConfig_ForgottenVersion(const struct SlConfig *config)
{
    return config->request_results.forgotten_version;
}

void
SlConfig_SetForgottenVersion(struct SlConfig *config, struct SlVersion version)
{
    config->request_results.forgotten_version = version;
}

const struct SlResult *
SlConfig_FindResult(const struct SlConfig *config, uint64_t client,
                    uint64_t request)
{
    const struct SlRequestRecord *record =
        SlRequestRing_Find(&config->request_results, client, request);

    return record ? &record->result : NULL;
}

enum SlStatus
SlConfig_PutResult(struct SlConfig *config,
                   const struct SlRequestRecord *record)
{
    return SlRequestRing_Put(&config->request_results, record);
}

/// Context of lookup_node_label, which returns the labels of a node for the
/// evaluation of a selector. A node also has the labels of its availability
/// zone, under keys that begin with "zone.".
struct node_context {
    const struct SlConfig *config;
    const struct SlObject *node;
};

static const char *
lookup_node_label(const void *context, const char *key)
{
    const struct node_context *lookup_context = context;
    const struct SlObject *zone;

    if (strncmp(key, "zone.", 5) != 0) {
        return SlObject_Label(lookup_context->node, key);
    }
    zone = SlConfig_FindObject(lookup_context->config, SL_KIND_ZONE,
                               lookup_context->node->node.zone);
    return zone ? SlLabels_Get(&zone->labels, key + 5) : NULL;
}

static const char *
lookup_object_label(const void *context, const char *key)
{
    return SlObject_Label(context, key);
}

static bool
group_selects_node(const struct SlConfig *config, const struct SlObject *group,
                   const struct SlObject *node)
{
    struct node_context context = {.config = config, .node = node};

    return (node->node.roles & SL_ROLE_AGENT) &&
           SlSelector_Matches(group->selector, lookup_node_label, &context);
}

bool
SlConfig_ServiceSelectsNode(const struct SlConfig *config,
                            const struct SlObject *service,
                            const struct SlObject *node)
{
    for (uint32_t i = 0; i < SlConfig_ObjectCount(config, SL_KIND_GROUP);
         i++) {
        const struct SlObject *group =
            SlConfig_ObjectAt(config, SL_KIND_GROUP, i);

        if (SlSelector_Matches(service->selector, lookup_object_label,
                               group) &&
            group_selects_node(config, group, node)) {
            return true;
        }
    }
    return false;
}

/// Fills groups with the upstream groups that the service selects. Returns the
/// number of groups, at most capacity.
static uint32_t
collect_service_groups(const struct SlConfig *config,
                       const struct SlObject *service,
                       const struct SlObject **groups, uint32_t capacity)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < SlConfig_ObjectCount(config, SL_KIND_GROUP);
         i++) {
        const struct SlObject *group =
            SlConfig_ObjectAt(config, SL_KIND_GROUP, i);

        if (count < capacity &&
            SlSelector_Matches(service->selector, lookup_object_label,
                               group)) {
            groups[count++] = group;
        }
    }
    return count;
}

static bool
any_group_selects_node(const struct SlConfig *config,
                       const struct SlObject *const *groups,
                       uint32_t group_count, const struct SlObject *node)
{
    for (uint32_t i = 0; i < group_count; i++) {
        if (group_selects_node(config, groups[i], node)) {
            return true;
        }
    }
    return false;
}

enum SlStatus
SlConfig_SelectNodes(const struct SlConfig *config,
                     const struct SlObject *service,
                     const struct SlObject **nodes, uint32_t capacity,
                     uint32_t *count)
{
    uint32_t total_group_count = SlConfig_ObjectCount(config, SL_KIND_GROUP);
    const struct SlObject **groups;
    uint32_t group_count;

    *count = 0;
    if (total_group_count == 0) {
        return SL_OK;
    }
    groups = calloc(total_group_count, sizeof(const struct SlObject *));
    if (groups == NULL) {
        return SL_NO_MEMORY;
    }
    group_count =
        collect_service_groups(config, service, groups, total_group_count);
    for (uint32_t i = 0; i < SlConfig_ObjectCount(config, SL_KIND_NODE); i++) {
        const struct SlObject *node =
            SlConfig_ObjectAt(config, SL_KIND_NODE, i);

        if (!any_group_selects_node(config, groups, group_count, node)) {
            continue;
        }
        if (*count < capacity) {
            nodes[*count] = node;
        }
        (*count)++;
    }
    free(groups);
    return SL_OK;
}

bool
SlConfig_IsZoneOutOfService(const struct SlConfig *config, const char *zone)
{
    const struct SlObject *object =
        SlConfig_FindObject(config, SL_KIND_ZONE, zone);

    return object != NULL && object->holds.count != 0;
}
