#ifndef SAVORYLEDGE_TRANSPORT_LOOP_H
#define SAVORYLEDGE_TRANSPORT_LOOP_H

/// An event loop over epoll: descriptors, timers, signals and wake-ups from
/// other threads. One thread owns a loop; only SlLoop_Wake may be called
/// from others. Also the clocks of the processes.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/status.h"

enum SlLoopEvent {
    SL_LOOP_READ = 1,
    SL_LOOP_WRITE = 2,
};

/// A watched descriptor; embed it as the first member.
struct SlWatch {
    /// events: a set of SlLoopEvent bits. Errors show as SL_LOOP_READ.
    void (*on_ready)(struct SlWatch *watch, uint32_t events);
    int descriptor;
};

/// A timer that fires once; start it again to repeat. Embed it as the first
/// member and zero-initialise the rest.
struct SlTimer {
    void (*on_due)(struct SlTimer *timer, uint64_t now_us);
    uint64_t due_us;
    bool is_started;
    struct SlTimer *next;
};

struct SlLoop;

/// Microseconds on a monotonic clock, and since 1970.
uint64_t
SlClock_Monotonic(void);
uint64_t
SlClock_Wall(void);
/// Sets the wall clock of this process off by so many microseconds, as if the
/// machine's had been stepped. For tests; any thread.
void
SlClock_SetWallOffset(int64_t off_us);

/// NULL when the system refuses.
struct SlLoop *
SlLoop_Create(void);
/// NULL is allowed. Watched descriptors stay open.
void
SlLoop_Destroy(struct SlLoop *loop);

/// Begins to watch; watch is borrowed until SlLoop_Unwatch.
/// Errors: SL_IO.
enum SlStatus
SlLoop_Watch(struct SlLoop *loop, struct SlWatch *watch, uint32_t events);
enum SlStatus
SlLoop_SetEvents(struct SlLoop *loop, struct SlWatch *watch, uint32_t events);
/// Safe inside any callback; no event of the watch is delivered after it.
void
SlLoop_Unwatch(struct SlLoop *loop, struct SlWatch *watch);

/// Starts or moves a timer; borrowed until it fires or is stopped.
void
SlLoop_StartTimer(struct SlLoop *loop, struct SlTimer *timer, uint64_t due_us);
void
SlLoop_StopTimer(struct SlLoop *loop, struct SlTimer *timer);

/// Waits for events at most until the next timer or max_wait_us, then runs
/// what is due.
void
SlLoop_RunOnce(struct SlLoop *loop, uint64_t max_wait_us);

/// Readable when SlLoop_RunOnce has work, for a loop inside another.
int
SlLoop_Descriptor(const struct SlLoop *loop);

/// Ends a present or the next wait. Any thread.
void
SlLoop_Wake(struct SlLoop *loop);

/// Blocks the signals in the calling thread and threads that it starts from
/// then on: call it before the first thread is started, as a thread that does
/// not block a signal may end the process. Errors: SL_IO.
enum SlStatus
SlSignals_Block(const int *signals, uint32_t count);
/// Opens a descriptor that tells of blocked signals. Errors: SL_IO.
enum SlStatus
SlSignals_Open(const int *signals, uint32_t count, int *descriptor);
/// The next signal that waits at the descriptor; 0 when none.
int
SlSignals_Next(int descriptor);

#endif
