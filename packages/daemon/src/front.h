#ifndef SAVORYLEDGE_DAEMON_FRONT_H
#define SAVORYLEDGE_DAEMON_FRONT_H

/// The HTTP interfaces of a relay process. An adapter translates the
/// platform's HTTP calls to these functions.

#include "adapter.h"
#include "savoryledge/coordination/relay_agent.h"

struct SlShell;

/// Opens the HTTP interfaces that have an address in the settings.
/// Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
SlFront_Open(struct SlShell *shell, const struct SlAdapter *adapter,
             struct SlFront **front, struct SlError *error);
/// NULL is allowed.
void
SlFront_Close(struct SlFront *front);
/// Handles time-outs of orders and HTTP connections. now_us: monotonic time.
void
SlFront_Tick(struct SlFront *front, uint64_t now_us);
/// Handles the result of a change that an operator's order submitted to this
/// process's control instance. request: the number of the change.
void
SlFront_HandleResult(struct SlFront *front, uint64_t request,
                     const struct SlResult *result);

/* For adapters. */

/// Answers an HTTP call. interface: the one that received it.
void
SlFront_SendAnswer(struct SlFront *front, enum SlFrontInterface interface,
                   uint64_t exchange, const struct SlHttpResponse *answer);
/// Logs a call that is malformed or names an unknown object, at a limited
/// rate.
void
SlFront_LogRefusedCall(struct SlFront *front, const char *reason);

/// Returns true while the process is ready to receive new flows.
bool
SlFront_IsReady(const struct SlFront *front);
/// Returns true if the process has the control role.
bool
SlFront_HasControl(const struct SlFront *front);
/// Finds the configuration document in force, which the control instance owns.
/// Errors: SL_NOT_FOUND if there is none; SL_STALE if the process has no
/// control instance, or one that cannot confirm that its document is the
/// newest.
enum SlStatus
SlFront_FindDocument(const struct SlFront *front,
                     const struct SlDocument **document);
/// Operators' orders: the first replaces the configuration document, the
/// second takes an availability zone out of service (out) or back in.
/// The adapter's handler for ended orders receives the outcome. path: the path
/// of the call.
void
SlFront_PutDocument(struct SlFront *front, uint64_t exchange, const char *path,
                    const struct SlDocumentText *document);
void
SlFront_SetZoneHold(struct SlFront *front, uint64_t exchange, const char *path,
                    const char *zone, bool out);
/// Handles an upstream status that this agent's upstream reports. Returns
/// false if the process is not an agent or the status names another service.
bool
SlFront_ReportUpstreamStatus(struct SlFront *front,
                             const struct SlUpstreamStatus *notice);
/// Handles the report of the upstream's run with this id that it has ended.
/// Returns false if the process is not an agent or the id is not the current
/// one.
bool
SlFront_ReportUpstreamEnd(struct SlFront *front, const char *id);
/// Appends status and counters as key=value lines. Errors: SL_NO_MEMORY.
enum SlStatus
SlFront_WriteMetrics(struct SlFront *front, struct SlBuffer *out);

#endif
