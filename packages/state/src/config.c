#include "savoryledge/state/config.h"

#include <stdlib.h>
#include <string.h>

#include "object_set.h"
#include "request_ring.h"

struct SlConfig {
    struct SlVersion version;
    struct SlObjectSet sets[SL_KIND_COUNT];
    struct SlRequestRing requests;
    struct SlDocument *document;
    struct SlVersion document_modified;
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
    SlRequestRing_Release(&config->requests);
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
    for (uint32_t i = 0; i < config->requests.count; i++) {
        if (SlConfig_PutResult(clone, SlConfig_ResultAt(config, i)) != SL_OK) {
            SlConfig_Destroy(clone);
            return NULL;
        }
    }
    clone->requests.forgotten = config->requests.forgotten;
    clone->document = SlDocument_Ref(config->document);
    clone->document_modified = config->document_modified;
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
    return config->document_modified;
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
    config->document_modified = modified;
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

    for (uint32_t i = 0; i < nodes->count; i++) {
        if (nodes->items[i]->object.node.node_id == node_id) {
            return &nodes->items[i]->object;
        }
    }
    return NULL;
}

uint32_t
SlConfig_ObjectCount(const struct SlConfig *config, enum SlKind kind)
{
    return config->sets[kind].count;
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
    return config->requests.count;
}

const struct SlRequestRecord *
SlConfig_ResultAt(const struct SlConfig *config, uint32_t index)
{
    return SlRequestRing_At(&config->requests, index);
}

struct SlVersion
SlConfig_ForgottenVersion(const struct SlConfig *config)
{
    return config->requests.forgotten;
}

void
SlConfig_SetForgottenVersion(struct SlConfig *config, struct SlVersion version)
{
    config->requests.forgotten = version;
}

const struct SlResult *
SlConfig_FindResult(const struct SlConfig *config, uint64_t client,
                    uint64_t request)
{
    const struct SlRequestRecord *record =
        SlRequestRing_Find(&config->requests, client, request);

    return record ? &record->result : NULL;
}

enum SlStatus
SlConfig_PutResult(struct SlConfig *config,
                   const struct SlRequestRecord *record)
{
    return SlRequestRing_Put(&config->requests, record);
}

/// Context of a selector over a node: its zone's labels count too.
struct node_context {
    const struct SlConfig *config;
    const struct SlObject *node;
};

static const char *
lookup_node(const void *context, const char *key)
{
    const struct node_context *of = context;
    const struct SlObject *zone;

    if (strncmp(key, "zone.", 5) != 0) {
        return SlObject_Label(of->node, key);
    }
    zone = SlConfig_FindObject(of->config, SL_KIND_ZONE, of->node->node.zone);
    return zone ? SlLabels_Get(&zone->labels, key + 5) : NULL;
}

static const char *
lookup_object(const void *context, const char *key)
{
    return SlObject_Label(context, key);
}

static bool
group_picks(const struct SlConfig *config, const struct SlObject *group,
            const struct SlObject *node)
{
    struct node_context context = {.config = config, .node = node};

    return (node->node.roles & SL_ROLE_AGENT) &&
           SlSelector_Matches(group->selector, lookup_node, &context);
}

bool
SlConfig_Selects(const struct SlConfig *config, const struct SlObject *service,
                 const struct SlObject *node)
{
    for (uint32_t i = 0; i < SlConfig_ObjectCount(config, SL_KIND_GROUP);
         i++) {
        const struct SlObject *group =
            SlConfig_ObjectAt(config, SL_KIND_GROUP, i);

        if (SlSelector_Matches(service->selector, lookup_object, group) &&
            group_picks(config, group, node)) {
            return true;
        }
    }
    return false;
}

/// Groups that the service picks; returns the count, at most room.
static uint32_t
groups_of(const struct SlConfig *config, const struct SlObject *service,
          const struct SlObject **groups, uint32_t room)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < SlConfig_ObjectCount(config, SL_KIND_GROUP);
         i++) {
        const struct SlObject *group =
            SlConfig_ObjectAt(config, SL_KIND_GROUP, i);

        if (count < room &&
            SlSelector_Matches(service->selector, lookup_object, group)) {
            groups[count++] = group;
        }
    }
    return count;
}

static bool
any_picks(const struct SlConfig *config, const struct SlObject *const *groups,
          uint32_t group_count, const struct SlObject *node)
{
    for (uint32_t i = 0; i < group_count; i++) {
        if (group_picks(config, groups[i], node)) {
            return true;
        }
    }
    return false;
}

enum SlStatus
SlConfig_SelectNodes(const struct SlConfig *config,
                     const struct SlObject *service,
                     const struct SlObject **nodes, uint32_t room,
                     uint32_t *count)
{
    uint32_t group_room = SlConfig_ObjectCount(config, SL_KIND_GROUP);
    const struct SlObject **groups;
    uint32_t group_count;

    *count = 0;
    if (group_room == 0) {
        return SL_OK;
    }
    groups = calloc(group_room, sizeof(const struct SlObject *));
    if (groups == NULL) {
        return SL_NO_MEMORY;
    }
    group_count = groups_of(config, service, groups, group_room);
    for (uint32_t i = 0; i < SlConfig_ObjectCount(config, SL_KIND_NODE); i++) {
        const struct SlObject *node =
            SlConfig_ObjectAt(config, SL_KIND_NODE, i);

        if (!any_picks(config, groups, group_count, node)) {
            continue;
        }
        if (*count < room) {
            nodes[*count] = node;
        }
        (*count)++;
    }
    free(groups);
    return SL_OK;
}

bool
SlConfig_IsZoneOut(const struct SlConfig *config, const char *zone)
{
    const struct SlObject *object =
        SlConfig_FindObject(config, SL_KIND_ZONE, zone);

    return object != NULL && object->holds.count != 0;
}
