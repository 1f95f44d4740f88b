#ifndef SAVORYLEDGE_COORDINATION_ORDER_HANDLER_H
#define SAVORYLEDGE_COORDINATION_ORDER_HANDLER_H

/// Takes operators' orders in a process with a control instance, for an
/// interface other than the links: whole documents, and availability zones
/// taken out and in.
///
/// An order ends with one outcome. SL_ORDER_DONE means that it is accepted for
/// good. After SL_ORDER_UNKNOWN_OUTCOME it may be in force or not; the same
/// order may be given again, here or elsewhere.

#include "savoryledge/coordination/core.h"
#include "savoryledge/state/config.h"

enum SlOrderOutcome {
    SL_ORDER_DONE = 0,
    /// Another instance leads, at the address given with the outcome.
    SL_ORDER_NOT_LEADER,
    /// Nobody is known to lead; it has not run.
    SL_ORDER_NO_LEADER,
    SL_ORDER_UNKNOWN_OUTCOME,
    SL_ORDER_INVALID,
};

/// What the desk needs of the control instance and of who gave the order.
struct SlOrderHostType {
    /// Gives a change to the control instance.
    void (*submit_change)(void *host, uint64_t now_us,
                          const struct SlChange *change);
    /// The order named ticket has ended. leader: for SL_ORDER_NOT_LEADER.
    void (*order_ended)(void *host, uint64_t ticket,
                        enum SlOrderOutcome outcome,
                        const struct SlAddress *leader);
};

/// How the control instance stands, for a decision.
struct SlControlView {
    bool leads;
    /// NULL when unknown.
    const struct SlAddress *leader;
    struct SlVersion applied;
    const struct SlConfig *config;
};

enum {
    /// Orders under way at most.
    SL_ORDERS_MAX = 64,
};

struct SlPendingOrder {
    uint64_t ticket;
    /// The change whose result ends the order.
    uint64_t request;
    uint64_t started_us;
    bool release;
};

struct SlOrderHandler {
    const struct SlOrderHostType *host_type;
    void *host;
    /// Names this process's orders in the log.
    uint64_t client;
    uint64_t next_request;
    uint32_t count;
    struct SlPendingOrder orders[SL_ORDERS_MAX];
};

/// client: random, never 0.
void
SlOrderHandler_Init(struct SlOrderHandler *desk,
                    const struct SlOrderHostType *host_type, void *host,
                    uint64_t client);
/// Puts a document in force if its version is higher than the present one.
void
SlOrderHandler_PutDocument(struct SlOrderHandler *desk, uint64_t now_us,
                           const struct SlControlView *view, uint64_t ticket,
                           const struct SlDocumentText *document);
/// Takes a zone out, or back in; repeated orders are one.
void
SlOrderHandler_HoldZone(struct SlOrderHandler *desk, uint64_t now_us,
                        const struct SlControlView *view, uint64_t ticket,
                        const char *zone, bool out);
/// The control instance answered a change of this desk.
void
SlOrderHandler_OnResult(struct SlOrderHandler *desk, uint64_t request,
                        const struct SlResult *result);
/// Ends orders that wait for too long.
void
SlOrderHandler_Tick(struct SlOrderHandler *desk, uint64_t now_us);

#endif
