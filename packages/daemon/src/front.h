#ifndef SAVORYLEDGE_DAEMON_FRONT_H
#define SAVORYLEDGE_DAEMON_FRONT_H

/// The HTTP interfaces of a process of the relay, as the product sees them.
/// An adapter turns the platform's calls into these.

#include "adapter.h"
#include "savoryledge/coordination/relay_agent.h"

struct SlShell;

/// Opens the interfaces that the settings name. Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
SlFront_Open(struct SlShell *shell, const struct SlAdapter *adapter,
             struct SlFront **front, struct SlError *error);
/// NULL is allowed.
void
SlFront_Close(struct SlFront *front);
void
SlFront_Tick(struct SlFront *front, uint64_t now_us);
/// The control instance answered a change of this process's desk.
void
SlFront_Result(struct SlFront *front, uint64_t request,
               const struct SlResult *result);

/* For adapters. */

void
SlFront_SendAnswer(struct SlFront *front, enum SlFrontInterface side,
                   uint64_t exchange, const struct SlHttpResponse *answer);
/// A call cannot be read or names nothing: logged, bounded.
void
SlFront_LogRefusedCall(struct SlFront *front, const char *reason);

/// True while new work may be sent to this process.
bool
SlFront_IsReady(const struct SlFront *front);
/// True when the process has a control instance.
bool
SlFront_HasControl(const struct SlFront *front);
/// The document in force, if this process is sure that it is the newest;
/// status tells SL_NOT_FOUND (there is none) or SL_STALE (it is not sure).
enum SlStatus
SlFront_FindDocument(const struct SlFront *front,
                     const struct SlDocument **document);
/// Orders: SlAdapter.ended tells how they end.
void
SlFront_PutDocument(struct SlFront *front, uint64_t exchange, const char *path,
                    const struct SlDocumentText *document);
void
SlFront_SetZoneHold(struct SlFront *front, uint64_t exchange, const char *path,
                    const char *zone, bool out);
/// The upstream beside this agent speaks of itself. False: the process has no
/// such agent, or the notice is not for it.
bool
SlFront_ReportUpstreamStatus(struct SlFront *front,
                             const struct SlUpstreamStatus *notice);
bool
SlFront_ReportUpstreamEnd(struct SlFront *front, const char *id);
/// Status and counters as key=value lines. Errors: SL_NO_MEMORY.
enum SlStatus
SlFront_WriteMetrics(struct SlFront *front, struct SlBuffer *out);

#endif
