#ifndef SAVORYLEDGE_DAEMON_FRONT_H
#define SAVORYLEDGE_DAEMON_FRONT_H

/// The HTTP interfaces of a relay process. An adapter (adapter.h) translates
/// the platform's HTTP calls to these functions.
///
/// An order is a change of the configuration that an operator requests with an
/// HTTP call. The call is answered when the outcome of the order is known.

#include "adapter.h"
#include "savoryledge/coordination/call_route.h"
#include "savoryledge/coordination/relay_agent.h"

struct SlShell;

/// Reads of the configuration and orders at the interface for operators, by
/// their outcome.
struct SlFrontCounters {
    uint64_t reads_answered;
    uint64_t reads_redirected;
    /// The process holds no copy of the log.
    uint64_t reads_refused_no_log;
    /// The control instance is not current.
    uint64_t reads_refused_no_lease;
    /// There is no document yet.
    uint64_t reads_refused_no_document;
    /// The document cannot be decoded.
    uint64_t reads_refused_unreadable;
    uint64_t orders_done;
    uint64_t orders_redirected;
    /// No leader is known, or too many orders are pending.
    uint64_t orders_refused_no_leader;
    uint64_t orders_refused_invalid;
    uint64_t orders_unknown_outcome;
};

/// Opens the HTTP interfaces that have an address in the settings.
/// Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
SlFront_Open(struct SlShell *shell, const struct SlAdapter *adapter,
             struct SlFront **front, struct SlError *error);
/// Closes the HTTP interfaces. front may be NULL.
void
SlFront_Close(struct SlFront *front);
/// Ends orders and HTTP connections that have reached their time-out. now_us:
/// monotonic time.
void
SlFront_Tick(struct SlFront *front, uint64_t now_us);
/// Handles the result of a change that an operator's order submitted to this
/// process's control instance. request: the request number of the change.
void
SlFront_HandleResult(struct SlFront *front, uint64_t request,
                     const struct SlResult *result);

/* The following functions are called by adapters. */

/// Answers an HTTP call. interface: the interface that received the call.
/// exchange: the number of the call.
void
SlFront_SendAnswer(struct SlFront *front, enum SlFrontInterface interface,
                   uint64_t exchange, const struct SlHttpResponse *response);
/// Logs an HTTP call that is malformed or names an unknown object, at a
/// limited rate.
void
SlFront_LogRefusedCall(struct SlFront *front, const char *reason);

/// Returns true while the process is ready to receive new flows.
bool
SlFront_IsReady(const struct SlFront *front);
/// Returns true if the process has the control role.
bool
SlFront_HasControl(const struct SlFront *front);
/// Finds the configuration document in force, which the control instance owns,
/// for an operator's read. Counts the read, and logs it at a limited rate if
/// there is none. Errors: SL_NOT_FOUND if there is no document; SL_NOT_LEADER
/// if another process can answer, whose address for operators is then copied
/// to other; SL_STALE if the process has no control instance, or one that
/// cannot confirm that its document is the newest, and knows no other.
enum SlStatus
SlFront_FindDocument(struct SlFront *front, const struct SlDocument **document,
                     struct SlAddress *other);
/// Counts and logs that the document found for a read cannot be decoded.
void
SlFront_ReportUnreadableDocument(struct SlFront *front);
/// Copies the counters.
void
SlFront_Counters(const struct SlFront *front,
                 struct SlFrontCounters *counters);
/// Starts an operator's order that replaces the configuration document. The
/// adapter's handle_order_end receives the outcome. path: the path of the HTTP
/// call.
void
SlFront_PutDocument(struct SlFront *front, uint64_t exchange, const char *path,
                    const struct SlDocumentText *document);
/// Starts an operator's order that takes an availability zone out of service
/// by a hold (out is true), or releases that hold (out is false). The
/// adapter's handle_order_end receives the outcome. path: the path of the HTTP
/// call.
void
SlFront_SetZoneHold(struct SlFront *front, uint64_t exchange, const char *path,
                    const char *zone, bool out);
/// Handles a status report of this agent's upstream. Returns
/// false if the process is not an agent or the status names another service.
bool
SlFront_ReportUpstreamStatus(struct SlFront *front,
                             const struct SlUpstreamStatus *upstream_status);
/// Handles the upstream's report that its run with this id has ended. Returns
/// false if the process is not an agent or the upstream's current run has
/// another id.
bool
SlFront_ReportUpstreamEnd(struct SlFront *front, const char *id);
/// Appends the status and the counters of the process as key=value lines.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlFront_WriteMetrics(struct SlFront *front, struct SlBuffer *out);

#endif
