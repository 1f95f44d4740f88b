#ifndef SAVORYLEDGE_DAEMON_LOG_H
#define SAVORYLEDGE_DAEMON_LOG_H

/// Event lines on standard error. Writing an event never waits: lines go
/// into a bounded ring that a thread of its own empties; what finds no room
/// is counted, and the loss is logged once there is room again.

#include "savoryledge/common/event.h"

struct SlLog;

/// descriptor: where lines go; the log does not close it. NULL without
/// memory or thread.
struct SlLog *
SlLog_Create(int descriptor, enum SlLevel level);
/// Writes what waits, as far as the descriptor takes it. NULL is allowed.
void
SlLog_Destroy(struct SlLog *log);

/// Any thread. Events below the level are dropped.
void
SlLog_WriteEvent(struct SlLog *log, const struct SlEvent *event);

/// At most so many lines in any second that are about a flow or of level info
/// and debug; 0 sets no limit, as at the start. A quarter is kept for warnings
/// and notices about flows. Lines left out are counted and said.
void
SlLog_SetRateLimit(struct SlLog *log, uint32_t lines_per_s);
void
SlLog_SetLevel(struct SlLog *log, enum SlLevel level);

/// Lines lost since the start.
uint64_t
SlLog_Lost(const struct SlLog *log);

#endif
