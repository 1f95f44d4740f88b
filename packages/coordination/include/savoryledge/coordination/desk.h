#ifndef SAVORYLEDGE_COORDINATION_DESK_H
#define SAVORYLEDGE_COORDINATION_DESK_H

/// Handles operator orders in a process with a control instance, for
/// interfaces other than links. An order puts a whole document in force, takes
/// an availability zone out of service, or puts it back.
///
/// Every order ends with exactly one outcome. SL_DESK_DONE means that the
/// order is committed. After SL_DESK_UNKNOWN it may or may not be in force; it
/// is safe to repeat the order at the same or another instance.

#include "savoryledge/coordination/core.h"
#include "savoryledge/state/config.h"

enum SlDeskOutcome {
    SL_DESK_DONE = 0,
    /// Another instance is the leader. Its address comes with the outcome; the
    /// order was not run.
    SL_DESK_ELSEWHERE,
    /// No leader is known, or too many orders are pending; the order was not
    /// run.
    SL_DESK_NO_LEADER,
    /// No definite result arrived in time.
    SL_DESK_UNKNOWN,
    /// The change was rejected as invalid.
    SL_DESK_INVALID,
};

/// Callbacks to the control instance and to the interface that received the
/// order.
struct SlDeskHostType {
    /// Submits a change to the control instance.
    void (*give)(void *host, uint64_t now_us, const struct SlChange *change);
    /// Reports the outcome of the order identified by ticket. leader: the
    /// leader's address with SL_DESK_ELSEWHERE; NULL otherwise.
    void (*ended)(void *host, uint64_t ticket, enum SlDeskOutcome outcome,
                  const struct SlAddress *leader);
};

/// State of the control instance when an order arrives.
struct SlDeskView {
    bool leads;
    /// Address of the leader; NULL when it is unknown.
    const struct SlAddress *leader;
    struct SlVersion applied;
    const struct SlConfig *config;
};

enum {
    /// Maximum number of pending orders.
    SL_DESK_ORDERS_MAX = 64,
};

/// An order that waits for the result of a change.
struct SlDeskOrder {
    uint64_t ticket;
    /// Request number of the change whose result ends the order.
    uint64_t request;
    uint64_t began_us;
    /// The order releases a hold.
    bool release;
};

/// Pending orders, oldest first.
struct SlDesk {
    const struct SlDeskHostType *host_type;
    void *host;
    /// Client id of this process's changes in the log.
    uint64_t client;
    uint64_t next_request;
    uint32_t count;
    struct SlDeskOrder orders[SL_DESK_ORDERS_MAX];
};

/// client: a random client id; must not be 0.
void
SlDesk_Init(struct SlDesk *desk, const struct SlDeskHostType *host_type,
            void *host, uint64_t client);
/// Orders to put a document in force. It is rejected unless its version is
/// higher than that of the present document.
void
SlDesk_PutDocument(struct SlDesk *desk, uint64_t now_us,
                   const struct SlDeskView *view, uint64_t ticket,
                   const struct SlDocumentText *document);
/// Orders to take a zone out of service, or to put it back. Repeating an order
/// has no further effect.
void
SlDesk_HoldZone(struct SlDesk *desk, uint64_t now_us,
                const struct SlDeskView *view, uint64_t ticket,
                const char *zone, bool out);
/// Handles the control instance's result of a change submitted here.
void
SlDesk_Result(struct SlDesk *desk, uint64_t request,
              const struct SlResult *result);
/// Ends every order whose result did not arrive within 900 ms, with the
/// outcome SL_DESK_UNKNOWN.
void
SlDesk_Tick(struct SlDesk *desk, uint64_t now_us);

#endif
