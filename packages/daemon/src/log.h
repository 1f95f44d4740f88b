#ifndef SAVORYLEDGE_DAEMON_LOG_H
#define SAVORYLEDGE_DAEMON_LOG_H

/// Writes events as lines of text to a descriptor. Writing an event never
/// waits for the descriptor: lines go into a ring buffer of fixed size that a
/// writer thread empties. A line that finds the ring full is lost; the writer
/// thread counts the lost lines and logs their number after its next write.

#include "savoryledge/common/event.h"

struct SlLog;

/// Creates a log and starts its writer thread. descriptor: receives the lines;
/// the log does not close it. Returns NULL if there is no memory or
/// the thread cannot be started.
struct SlLog *
SlLog_Create(int descriptor, enum SlLevel level);
/// Writes the lines in the ring buffer, unless the descriptor's reader is
/// stuck, and frees the log. log may be NULL.
void
SlLog_Destroy(struct SlLog *log);

/// Queues an event for writing, from any thread. Drops events that are less
/// severe than the log's level.
void
SlLog_WriteEvent(struct SlLog *log, const struct SlEvent *event);

/// Limits the number of lines in any second that are about a flow or have
/// level info or debug; 0, the default, sets no limit. Lines of level info and
/// debug may use at most three quarters of the limit; the rest is reserved for
/// more severe lines about flows. The log reports the number of suppressed
/// lines.
void
SlLog_SetRateLimit(struct SlLog *log, uint32_t lines_per_s);
void
SlLog_SetLevel(struct SlLog *log, enum SlLevel level);

/// Returns the number of lines lost since the log was created because the ring
/// buffer was full. The number does not include suppressed lines.
uint64_t
SlLog_LostLines(const struct SlLog *log);

#endif
