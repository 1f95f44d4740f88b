#ifndef SAVORYLEDGE_DAEMON_ADAPTER_H
#define SAVORYLEDGE_DAEMON_ADAPTER_H

/// An adapter translates between a platform and the product: it supplies the
/// formats of segments and configuration documents, and maps HTTP calls to the
/// functions of front.h. It contains no decisions of its own.

#include "savoryledge/common/segment.h"
#include "savoryledge/coordination/desk.h"
#include "savoryledge/state/plan.h"
#include "savoryledge/transport/http.h"

struct SlFront;

/// The HTTP interface that received a call.
enum SlFrontSide {
    SL_FRONT_READY = 0,
    SL_FRONT_CONTROL,
    SL_FRONT_METRICS,
};

struct SlAdapter {
    /// The value of the setting relay.adapter that selects this adapter.
    const char *name;
    const struct SlSegmentFormat *segments;
    const struct SlPlanFormat *plans;
    /// Handles an HTTP call: answers it with SlFront_Answer, or begins an
    /// operator order whose end answers the exchange.
    void (*request)(struct SlFront *front, enum SlFrontSide interface,
                    const struct SlHttpRequest *request);
    /// Answers the call of an order that has ended. path: the path of the
    /// call. leader: for SL_DESK_ELSEWHERE the address of the leader's
    /// interface for operators.
    void (*ended)(struct SlFront *front, uint64_t exchange, const char *path,
                  enum SlDeskOutcome outcome, const struct SlAddress *leader);
};

/// All adapters; NULL marks the end.
extern const struct SlAdapter *const SL_ADAPTERS[];

#endif
