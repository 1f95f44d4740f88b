#include "dial_attempts.h"

#include <string.h>

enum {
    /// Time after which an attempt starts anew, if its process is to be
    /// dialled again. It doubles with each restart, up to twice the time that
    /// a link may take.
    RESTART_US = 500 * 1000,
    RESTART_DOUBLINGS_MAX = 4,
};

static void
remove_attempt(struct SlDialAttempts *attempts, uint32_t index)
{
    attempts->count--;
    memmove(&attempts->items[index], &attempts->items[index + 1],
            (attempts->count - index) * sizeof(attempts->items[0]));
}

static void
end_attempt(struct SlDialAttempts *attempts, struct SlSink *sink,
            uint32_t index)
{
    sink->type->drop_node(sink, attempts->items[index].node_id);
    remove_attempt(attempts, index);
}

static bool
should_restart(const struct SlDialAttempt *attempt, uint64_t now_us)
{
    uint32_t doublings = attempt->restarts < RESTART_DOUBLINGS_MAX
                             ? attempt->restarts
                             : RESTART_DOUBLINGS_MAX;

    return now_us - attempt->since_us >= (uint64_t)RESTART_US << doublings;
}

void
SlDialAttempts_Begin(struct SlDialAttempts *attempts, struct SlSink *sink,
                     uint64_t now_us, uint64_t node_id,
                     const struct SlAddress *link)
{
    struct SlDialAttempt attempt = {.node_id = node_id, .since_us = now_us};

    for (uint32_t i = 0; i < attempts->count; i++) {
        const struct SlDialAttempt *earlier = &attempts->items[i];

        if (earlier->node_id != node_id) {
            continue;
        }
        if (!should_restart(earlier, now_us)) {
            return;
        }
        attempt.restarts = earlier->restarts + 1;
        end_attempt(attempts, sink, i);
        break;
    }
    if (attempts->count == SL_DIAL_ATTEMPTS_MAX) {
        end_attempt(attempts, sink, 0);
    }
    attempts->items[attempts->count++] = attempt;
    sink->type->dial_node(sink, node_id, link);
}

bool
SlDialAttempts_Includes(const struct SlDialAttempts *attempts,
                        uint64_t node_id)
{
    for (uint32_t i = 0; i < attempts->count; i++) {
        if (attempts->items[i].node_id == node_id) {
            return true;
        }
    }
    return false;
}

void
SlDialAttempts_EndOthers(struct SlDialAttempts *attempts, struct SlSink *sink,
                         uint64_t node_id)
{
    for (uint32_t i = attempts->count; i > 0; i--) {
        if (attempts->items[i - 1].node_id != node_id) {
            end_attempt(attempts, sink, i - 1);
        }
    }
}
