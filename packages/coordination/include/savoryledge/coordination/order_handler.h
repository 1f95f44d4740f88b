#ifndef SAVORYLEDGE_COORDINATION_ORDER_HANDLER_H
#define SAVORYLEDGE_COORDINATION_ORDER_HANDLER_H

/// Handles operator orders in a process with a control instance, for
/// interfaces other than links. An order puts a whole document in force, takes
/// an availability zone out of service, or puts the zone back. A zone is out
/// of service while at least one hold is set on it; a hold is a named request
/// to keep the zone out.
///
/// Every order ends with exactly one outcome. SL_ORDER_DONE means that the
/// order is committed. After SL_ORDER_UNKNOWN_OUTCOME the order may or may not
/// be in force; it is safe to repeat the order at the same or another
/// instance.
///
/// Load pattern: a commit takes longer than operators wait for an answer, and
/// they send the order again. The repeated order is done at once when what it
/// asks for is in force; a new change for it would be late again.

#include "savoryledge/coordination/core.h"
#include "savoryledge/state/config.h"

enum SlOrderOutcome {
    SL_ORDER_DONE = 0,
    /// Another instance is, or knows, the leader. Its address comes with the
    /// outcome; the order was not run.
    SL_ORDER_NOT_LEADER,
    /// No leader is known, or too many orders are pending; the order was not
    /// run.
    SL_ORDER_NO_LEADER,
    /// No definite result arrived in time.
    SL_ORDER_UNKNOWN_OUTCOME,
    /// The change was rejected as invalid.
    SL_ORDER_INVALID,
};

/// Callbacks to the control instance and to the interface that received the
/// order.
struct SlOrderHostType {
    /// Submits a change to the control instance.
    void (*submit_change)(void *host, uint64_t now_us,
                          const struct SlChange *change);
    /// Reports the outcome of the order identified by ticket. leader: the
    /// leader's address with SL_ORDER_NOT_LEADER; NULL otherwise.
    void (*order_ended)(void *host, uint64_t ticket,
                        enum SlOrderOutcome outcome,
                        const struct SlAddress *leader);
};

/// State of the control instance when an order arrives.
struct SlControlView {
    /// This instance is the leader.
    bool is_leader;
    /// The instance can be sure that its configuration is the newest.
    bool is_current;
    /// Address of the leader, or of an instance that may know it; NULL when
    /// none is known.
    const struct SlAddress *leader;
    /// Version of the latest log record that the instance has applied.
    struct SlVersion applied_version;
    /// The configuration of the instance.
    const struct SlConfig *config;
};

enum {
    /// Maximum number of pending orders, including overdue ones.
    SL_ORDERS_MAX = 64,
};

/// An order that waits for the result of a change.
struct SlPendingOrder {
    /// Number by which the interface identifies the order.
    uint64_t ticket;
    /// Request number of the change whose result ends the order.
    uint64_t request;
    /// Time at which the order arrived.
    uint64_t started_us;
    /// The order releases the hold on a zone, which puts the zone back.
    bool release;
    /// The order has ended without a result; its change may still be
    /// committed.
    bool is_overdue;
    /// Zone that the order holds or releases; empty for a document.
    char zone[SL_NAME_BYTES];
};

/// Pending orders, oldest first.
struct SlOrderHandler {
    const struct SlOrderHostType *host_type;
    void *host;
    /// Client id of this process's changes in the log.
    uint64_t client;
    /// Request number of the next change.
    uint64_t next_request;
    uint32_t count;
    struct SlPendingOrder orders[SL_ORDERS_MAX];
};

/// Initialises a handler without orders. client: a random client id; must not
/// be 0.
void
SlOrderHandler_Init(struct SlOrderHandler *handler,
                    const struct SlOrderHostType *host_type, void *host,
                    uint64_t client);
/// Begins an order to put a document in force. The order is done at once when
/// the present document has that version or a higher one. ticket: identifies
/// the order in the call of order_ended.
void
SlOrderHandler_PutDocument(struct SlOrderHandler *handler, uint64_t now_us,
                           const struct SlControlView *view, uint64_t ticket,
                           const struct SlDocumentText *document);
/// Begins an order to take a zone out of service (out), or to put the zone
/// back. Repeating an order has no further effect.
void
SlOrderHandler_HoldZone(struct SlOrderHandler *handler, uint64_t now_us,
                        const struct SlControlView *view, uint64_t ticket,
                        const char *zone, bool out);
/// Handles the control instance's result of a change submitted here.
void
SlOrderHandler_OnResult(struct SlOrderHandler *handler, uint64_t request,
                        const struct SlResult *result);
/// Ends every order whose result did not arrive within 900 ms, with the
/// outcome SL_ORDER_UNKNOWN_OUTCOME.
void
SlOrderHandler_Tick(struct SlOrderHandler *handler, uint64_t now_us);

#endif
