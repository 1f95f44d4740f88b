#include "dial_attempts.h"

#include <string.h>

static void
end_attempt(struct SlDialAttempts *attempts, struct SlSink *sink,
            uint32_t index)
{
    sink->type->drop_node(sink, attempts->node_ids[index]);
    attempts->count--;
    memmove(&attempts->node_ids[index], &attempts->node_ids[index + 1],
            (attempts->count - index) * sizeof(attempts->node_ids[0]));
}

void
SlDialAttempts_Begin(struct SlDialAttempts *attempts, struct SlSink *sink,
                     uint64_t node_id, const struct SlAddress *link)
{
    for (uint32_t i = attempts->count; i > 0; i--) {
        if (attempts->node_ids[i - 1] == node_id) {
            end_attempt(attempts, sink, i - 1);
        }
    }
    if (attempts->count == SL_DIAL_ATTEMPTS_MAX) {
        end_attempt(attempts, sink, 0);
    }
    attempts->node_ids[attempts->count++] = node_id;
    sink->type->dial_node(sink, node_id, link);
}

void
SlDialAttempts_EndOthers(struct SlDialAttempts *attempts, struct SlSink *sink,
                         uint64_t node_id)
{
    for (uint32_t i = attempts->count; i > 0; i--) {
        if (attempts->node_ids[i - 1] != node_id) {
            end_attempt(attempts, sink, i - 1);
        }
    }
}
