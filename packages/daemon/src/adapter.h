#ifndef SAVORYLEDGE_DAEMON_ADAPTER_H
#define SAVORYLEDGE_DAEMON_ADAPTER_H

/// An adapter translates between a platform and the product: it supplies the
/// formats of segments and configuration documents, and maps HTTP calls to the
/// functions of front.h. It contains no decisions of its own.
///
/// A call is an HTTP request together with its response. An order is a change
/// that an operator requests with a call; the call is answered once the
/// outcome of the order is known (order_handler.h).

#include "savoryledge/common/segment.h"
#include "savoryledge/coordination/order_handler.h"
#include "savoryledge/state/plan.h"
#include "savoryledge/transport/http.h"

struct SlFront;

/// The HTTP interface that received a call.
enum SlFrontInterface {
    SL_FRONT_READINESS = 0,
    SL_FRONT_CONTROL,
    SL_FRONT_METRICS,
};

struct SlAdapter {
    /// The value of the setting relay.adapter that selects this adapter.
    const char *name;
    const struct SlSegmentFormat *segment_format;
    const struct SlPlanFormat *plan_format;
    /// Handles an HTTP call. The function either answers the call at once with
    /// SlFront_SendAnswer, or starts an operator's order; when the order has
    /// ended, handle_order_end answers the call.
    void (*handle_request)(struct SlFront *front,
                           enum SlFrontInterface interface,
                           const struct SlHttpRequest *request);
    /// Answers the HTTP call that started an order, after the order has ended.
    /// path: the path of the call. leader: for the outcome
    /// SL_ORDER_NOT_LEADER, the address of the HTTP interface for operators of
    /// the leader, or of another control instance.
    void (*handle_order_end)(struct SlFront *front, uint64_t exchange,
                             const char *path, enum SlOrderOutcome outcome,
                             const struct SlAddress *leader);
};

/// Array of all adapters, after which NULL marks the end.
extern const struct SlAdapter *const SL_ADAPTERS[];

#endif
