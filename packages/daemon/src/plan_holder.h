#ifndef SAVORYLEDGE_DAEMON_PLAN_HOLDER_H
#define SAVORYLEDGE_DAEMON_PLAN_HOLDER_H

/// The plan that a process follows, decoded from the configuration document.

#include "savoryledge/state/document.h"
#include "savoryledge/state/plan.h"

/// Zero-initialise before use.
struct SlPlanHolder {
    /// NULL until the first document has been decoded. One reference.
    struct SlPlan *plan;
    /// Version of the last document that was decoded or cannot be decoded.
    uint64_t version;
    /// Earliest time of the next attempt after a lack of memory.
    uint64_t retry_due_us;
};

/// Decodes the document if its version is new. When it cannot be decoded, the
/// present plan stays.
///
/// document: may be NULL.
/// Errors, with the cause in error: SL_NO_MEMORY, after which a call made a
/// while later tries again, and SL_AGAIN until then; any other error of the
/// format, which is not tried again.
enum SlStatus
SlPlanHolder_Update(struct SlPlanHolder *holder, uint64_t now_us,
                    const struct SlPlanFormat *format,
                    const struct SlDocument *document, struct SlError *error);
void
SlPlanHolder_Release(struct SlPlanHolder *holder);

#endif
