#ifndef SAVORYLEDGE_DAEMON_ADAPTER_H
#define SAVORYLEDGE_DAEMON_ADAPTER_H

/// What a platform's adapter supplies: formats, and the names of calls. It
/// decides nothing; front.h is what it calls.

#include "savoryledge/common/segment.h"
#include "savoryledge/coordination/order_handler.h"
#include "savoryledge/state/plan.h"
#include "savoryledge/transport/http.h"

struct SlFront;

/// Which interface a call came in on.
enum SlFrontInterface {
    SL_FRONT_READINESS = 0,
    SL_FRONT_CONTROL,
    SL_FRONT_METRICS,
};

struct SlAdapter {
    const char *name;
    const struct SlSegmentFormat *segment_format;
    const struct SlPlanFormat *plan_format;
    /// One call: answers it, or hands it on with its exchange.
    void (*handle_request)(struct SlFront *front, enum SlFrontInterface side,
                           const struct SlHttpRequest *request);
    /// An order has ended. path: of its call; leader: for SL_ORDER_NOT_LEADER,
    /// the address of that instance's interface.
    void (*handle_order_end)(struct SlFront *front, uint64_t exchange,
                             const char *path, enum SlOrderOutcome outcome,
                             const struct SlAddress *leader);
};

/// All adapters, ended by NULL.
extern const struct SlAdapter *const SL_ADAPTERS[];

#endif
