#include "control_list.h"

#include <string.h>

void
SlControlList_RemoveSelf(struct SlReplicaOptions *options)
{
    uint64_t own_id = SlNode_Id(options->core.name);
    uint32_t count = 0;

    for (uint32_t i = 0; i < options->control_count; i++) {
        if (options->discover_controls && options->control_ids[i] == own_id) {
            continue;
        }
        options->control_ids[count] = options->control_ids[i];
        options->control[count++] = options->control[i];
    }
    options->control_count = count;
}

static bool
is_unlisted_control(const struct SlReplicaOptions *options,
                    const struct SlObject *node)
{
    if (!(node->node.roles & SL_ROLE_CONTROL) || node->node.leaving ||
        node->node.unreachable ||
        strcmp(node->name, options->core.name) == 0) {
        return false;
    }
    for (uint32_t i = 0; i < options->control_count; i++) {
        if (options->control_ids[i] == node->node.node_id) {
            return false;
        }
    }
    return true;
}

/// Finds the control instance at an index of the list. Returns false past the
/// end.
static bool
find_at(const struct SlReplicaOptions *options, const struct SlConfig *config,
        uint32_t index, uint64_t *node_id, struct SlAddress *link)
{
    uint32_t nodes = options->discover_controls
                         ? SlConfig_ObjectCount(config, SL_KIND_NODE)
                         : 0;

    if (index < options->control_count) {
        *node_id = options->control_ids[index];
        *link = options->control[index];
        return true;
    }
    index -= options->control_count;
    for (uint32_t i = 0; i < nodes; i++) {
        const struct SlObject *node =
            SlConfig_ObjectAt(config, SL_KIND_NODE, i);

        if (is_unlisted_control(options, node) && index-- == 0) {
            *node_id = node->node.node_id;
            *link = node->node.link;
            return true;
        }
    }
    return false;
}

bool
SlControlList_FindNext(const struct SlReplicaOptions *options,
                       const struct SlConfig *config, uint32_t *index,
                       uint64_t *node_id, struct SlAddress *link)
{
    if (find_at(options, config, *index, node_id, link)) {
        return true;
    }
    *index = 0;
    return find_at(options, config, 0, node_id, link);
}

bool
SlControlList_FindAddress(const struct SlReplicaOptions *options,
                          const struct SlConfig *config, uint64_t node_id,
                          struct SlAddress *link)
{
    const struct SlObject *node = SlConfig_FindNode(config, node_id);

    if (node != NULL) {
        *link = node->node.link;
        return true;
    }
    for (uint32_t i = 0; i < options->control_count; i++) {
        if (options->control_ids[i] == node_id) {
            *link = options->control[i];
            return true;
        }
    }
    return false;
}
