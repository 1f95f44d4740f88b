#ifndef SAVORYLEDGE_DAEMON_ADAPTER_H
#define SAVORYLEDGE_DAEMON_ADAPTER_H

/// What a platform's adapter supplies: formats, and the names of calls. It
/// decides nothing; front.h is what it calls.

#include "savoryledge/common/segment.h"
#include "savoryledge/coordination/desk.h"
#include "savoryledge/state/plan.h"
#include "savoryledge/transport/http.h"

struct SlFront;

/// Which interface a call came in on.
enum SlFrontSide {
    SL_FRONT_READY = 0,
    SL_FRONT_CONTROL,
    SL_FRONT_METRICS,
};

struct SlAdapter {
    const char *name;
    const struct SlSegmentFormat *segments;
    const struct SlPlanFormat *plans;
    /// One call: answers it, or hands it on with its exchange.
    void (*request)(struct SlFront *front, enum SlFrontSide side,
                    const struct SlHttpRequest *request);
    /// An order has ended. path: of its call; leader: for SL_DESK_ELSEWHERE,
    /// the address of that instance's interface.
    void (*ended)(struct SlFront *front, uint64_t exchange, const char *path,
                  enum SlDeskOutcome outcome, const struct SlAddress *leader);
};

/// All adapters, ended by NULL.
extern const struct SlAdapter *const SL_ADAPTERS[];

#endif
