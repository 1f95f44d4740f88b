#include "relay_evidence.h"

enum {
    /// Used until a plan provides the idle timeout of flows.
    DEFAULT_IDLE_US = 60 * 1000 * 1000,
};

void
SlFlowLife_SetIdle(struct SlFlowLife *life, uint64_t idle_us)
{
    life->idle_us = idle_us;
    if (idle_us > life->longest_idle_us) {
        life->longest_idle_us = idle_us;
    }
}

uint64_t
SlFlowLife_KeepUs(const struct SlFlowLife *life)
{
    return (life->idle_us != 0 ? life->idle_us : DEFAULT_IDLE_US) +
           SL_EVIDENCE_CONFIG_US;
}

uint64_t
SlFlowLife_UnseenUs(const struct SlFlowLife *life)
{
    return (life->longest_idle_us != 0 ? life->longest_idle_us
                                       : DEFAULT_IDLE_US) +
           SL_EVIDENCE_CONFIG_US;
}

bool
SlTableEvidence_IsComplete(const struct SlTableEvidence *table,
                           const struct SlFlowLife *life, uint64_t now_us)
{
    return table->saw_start ||
           now_us >= table->since_us + SlFlowLife_UnseenUs(life);
}
