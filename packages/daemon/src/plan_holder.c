#include "plan_holder.h"

enum {
    /// Time between attempts to decode a document for which memory lacked.
    RETRY_US = 500 * 1000,
};

enum SlStatus
SlPlanHolder_Update(struct SlPlanHolder *holder, uint64_t now_us,
                    const struct SlPlanFormat *format,
                    const struct SlDocument *document, struct SlError *error)
{
    struct SlPlan *plan;
    enum SlStatus status;

    if (document == NULL || document->version == holder->version) {
        return SL_OK;
    }
    if (now_us < holder->retry_due_us) {
        return SL_AGAIN;
    }
    status =
        format->decode(document->bytes, document->length_bytes, &plan, error);
    if (status == SL_NO_MEMORY) {
        holder->retry_due_us = now_us + RETRY_US;
        return status;
    }
    holder->version = document->version;
    holder->retry_due_us = 0;
    if (status == SL_OK) {
        SlPlan_Unref(holder->plan);
        holder->plan = plan;
    }
    return status;
}

void
SlPlanHolder_Release(struct SlPlanHolder *holder)
{
    SlPlan_Unref(holder->plan);
    *holder = (struct SlPlanHolder){.plan = NULL};
}
