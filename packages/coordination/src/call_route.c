#include "savoryledge/coordination/call_route.h"

static bool
is_listed_target(const struct SlCallView *view, const struct SlNodeSpec *node)
{
    return (node->roles & SL_ROLE_CONTROL) && !node->unreachable &&
           !node->leaving && node->node_id != view->node_id;
}

/// Finds a control instance of the configuration: the one at this process's
/// turn, so that neither all processes nor all calls go to the same.
static bool
find_listed_target(const struct SlCallView *view, struct SlCallTarget *target)
{
    uint32_t nodes = SlConfig_ObjectCount(view->config, SL_KIND_NODE);
    uint32_t count = 0;
    uint64_t skipped;

    for (uint32_t i = 0; i < nodes; i++) {
        count += is_listed_target(
            view, &SlConfig_ObjectAt(view->config, SL_KIND_NODE, i)->node);
    }
    if (count == 0) {
        return false;
    }
    skipped = (view->node_id % count + view->turn) % count;
    for (uint32_t i = 0; i < nodes; i++) {
        const struct SlNodeSpec *node =
            &SlConfig_ObjectAt(view->config, SL_KIND_NODE, i)->node;

        if (is_listed_target(view, node) && skipped-- == 0) {
            target->node_id = node->node_id;
            target->link = node->link;
            return true;
        }
    }
    return false;
}

static bool
is_other_process(const struct SlCallView *view,
                 const struct SlCallTarget *target)
{
    return target->node_id != 0 && target->node_id != view->node_id;
}

/// Finds who may handle a call that this process cannot. A member that hears
/// no leader sends operators only to one that was current a lease ago, so no
/// circle lasts longer: the other members may hear none either, and
/// would send the operator back. An instance outside the group sends even to
/// one that may stand outside too: the next call goes to another.
static enum SlCallRoute
find_target(const struct SlCallView *view, struct SlCallTarget *target)
{
    if (view->has_control && is_other_process(view, &view->leader)) {
        *target = view->leader;
        return SL_CALL_TO_LEADER;
    }
    if (view->has_control && !view->is_leader &&
        is_other_process(view, &view->confirmed)) {
        *target = view->confirmed;
        return SL_CALL_TO_LINKED;
    }
    if (view->has_control && (view->is_leader || view->is_member)) {
        return SL_CALL_REFUSED;
    }
    if (is_other_process(view, &view->linked)) {
        *target = view->linked;
        return SL_CALL_TO_LINKED;
    }
    return find_listed_target(view, target) ? SL_CALL_TO_LISTED
                                            : SL_CALL_REFUSED;
}

enum SlCallRoute
SlCallRoute_ForRead(const struct SlCallView *view, struct SlCallTarget *target)
{
    return view->has_control && view->is_current ? SL_CALL_HERE
                                                 : find_target(view, target);
}

enum SlCallRoute
SlCallRoute_ForOrder(const struct SlCallView *view,
                     struct SlCallTarget *target)
{
    return view->has_control && view->is_leader ? SL_CALL_HERE
                                                : find_target(view, target);
}
