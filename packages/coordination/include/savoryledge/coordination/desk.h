#ifndef SAVORYLEDGE_COORDINATION_DESK_H
#define SAVORYLEDGE_COORDINATION_DESK_H

/// Takes operators' orders in a process with a control instance, for an
/// interface other than the links: whole documents, and availability zones
/// taken out and in.
///
/// An order ends with one outcome. SL_DESK_DONE means that it is accepted for
/// good. After SL_DESK_UNKNOWN it may be in force or not; the same order may
/// be given again, here or elsewhere.

#include "savoryledge/coordination/core.h"
#include "savoryledge/state/config.h"

enum SlDeskOutcome {
    SL_DESK_DONE = 0,
    /// Another instance leads, at the address given with the outcome.
    SL_DESK_ELSEWHERE,
    /// Nobody is known to lead; it has not run.
    SL_DESK_NO_LEADER,
    SL_DESK_UNKNOWN,
    SL_DESK_INVALID,
};

/// What the desk needs of the control instance and of who gave the order.
struct SlDeskHostType {
    /// Gives a change to the control instance.
    void (*give)(void *host, uint64_t now_us, const struct SlChange *change);
    /// The order named ticket has ended. leader: for SL_DESK_ELSEWHERE.
    void (*ended)(void *host, uint64_t ticket, enum SlDeskOutcome outcome,
                  const struct SlAddress *leader);
};

/// How the control instance stands, for a decision.
struct SlDeskView {
    bool leads;
    /// NULL when unknown.
    const struct SlAddress *leader;
    struct SlVersion applied;
    const struct SlConfig *config;
};

enum {
    /// Orders under way at most.
    SL_DESK_ORDERS_MAX = 64,
};

struct SlDeskOrder {
    uint64_t ticket;
    /// The change whose result ends the order.
    uint64_t request;
    uint64_t began_us;
    bool release;
};

struct SlDesk {
    const struct SlDeskHostType *host_type;
    void *host;
    /// Names this process's orders in the log.
    uint64_t client;
    uint64_t next_request;
    uint32_t count;
    struct SlDeskOrder orders[SL_DESK_ORDERS_MAX];
};

/// client: random, never 0.
void
SlDesk_Init(struct SlDesk *desk, const struct SlDeskHostType *host_type,
            void *host, uint64_t client);
/// Puts a document in force if its version is higher than the present one.
void
SlDesk_PutDocument(struct SlDesk *desk, uint64_t now_us,
                   const struct SlDeskView *view, uint64_t ticket,
                   const struct SlDocumentText *document);
/// Takes a zone out, or back in; repeated orders are one.
void
SlDesk_HoldZone(struct SlDesk *desk, uint64_t now_us,
                const struct SlDeskView *view, uint64_t ticket,
                const char *zone, bool out);
/// The control instance answered a change of this desk.
void
SlDesk_Result(struct SlDesk *desk, uint64_t request,
              const struct SlResult *result);
/// Ends orders that wait for too long.
void
SlDesk_Tick(struct SlDesk *desk, uint64_t now_us);

#endif
