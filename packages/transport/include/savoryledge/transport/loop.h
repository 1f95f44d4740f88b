#ifndef SAVORYLEDGE_TRANSPORT_LOOP_H
#define SAVORYLEDGE_TRANSPORT_LOOP_H

/// An event loop over epoll, with file descriptors, timers and wake-ups from
/// other threads; signals as file descriptors; and the clocks of a process.
/// One thread runs a loop; only SlLoop_Wake may be called from others.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/status.h"

/// Events for which a descriptor is watched; combined as bits.
enum SlLoopEvent {
    SL_LOOP_READ = 1,
    SL_LOOP_WRITE = 2,
};

/// A watched file descriptor. Embed it as the first member of a struct.
struct SlWatch {
    /// Called when the descriptor is ready. events: SlLoopEvent bits; an error
    /// or hang-up is reported as SL_LOOP_READ.
    void (*on_ready)(struct SlWatch *watch, uint32_t events);
    /// The watched descriptor.
    int descriptor;
};

/// A timer that fires once; start it again to repeat it. Embed it as the first
/// member of a struct, set on_due and initialise the other fields with zeros.
struct SlTimer {
    /// Called when the timer is due. The timer is already stopped when the
    /// call is made.
    void (*on_due)(struct SlTimer *timer, uint64_t now_us);
    /// When the timer is due, on the clock of SlClock_Monotonic.
    uint64_t due_us;
    bool is_started;
    /// The next timer of the loop in order of due time.
    struct SlTimer *next;
};

struct SlLoop;

/// Returns microseconds on a monotonic clock that also counts the time in
/// which the system is suspended.
uint64_t
SlClock_Monotonic(void);
/// Returns the wall-clock time in microseconds since 1970.
uint64_t
SlClock_Wall(void);
/// Sets the offset in microseconds that SlClock_Wall adds to the system's wall
/// clock, as if that clock had been stepped. Used by tests; may be called from
/// any thread.
void
SlClock_SetWallOffset(int64_t offset_us);

/// Creates an event loop. Returns NULL when out of memory or of file
/// descriptors.
struct SlLoop *
SlLoop_Create(void);
/// Frees the event loop; watched descriptors stay open. loop may be NULL.
void
SlLoop_Destroy(struct SlLoop *loop);

/// Starts to watch a descriptor for events (SlLoopEvent bits). watch is
/// borrowed until SlLoop_Unwatch. Errors: SL_IO.
enum SlStatus
SlLoop_Watch(struct SlLoop *loop, struct SlWatch *watch, uint32_t events);
/// Changes the events for which a descriptor is watched. Errors: SL_IO.
enum SlStatus
SlLoop_SetEvents(struct SlLoop *loop, struct SlWatch *watch, uint32_t events);
/// Stops watching a descriptor. May be called in any callback of the loop; the
/// watch receives no event after this call.
void
SlLoop_Unwatch(struct SlLoop *loop, struct SlWatch *watch);

/// Starts a timer, or changes the due time of a started one. timer is borrowed
/// until it fires or is stopped.
void
SlLoop_StartTimer(struct SlLoop *loop, struct SlTimer *timer, uint64_t due_us);
/// Stops a timer. The call has no effect when the timer is not started.
void
SlLoop_StopTimer(struct SlLoop *loop, struct SlTimer *timer);

/// Runs the loop once: waits until an event arrives, a timer is due or
/// max_wait_us have passed, then calls the watches of ready descriptors and
/// the timers that are due.
void
SlLoop_RunOnce(struct SlLoop *loop, uint64_t max_wait_us);

/// Returns a descriptor that is readable when a watched descriptor is ready;
/// with it one loop can watch another. Due timers do not make it readable.
int
SlLoop_Descriptor(const struct SlLoop *loop);

/// Ends the wait of the SlLoop_RunOnce call in progress or, if there is none,
/// of the next one. May be called from any thread.
void
SlLoop_Wake(struct SlLoop *loop);

/// Blocks the signals in the calling thread and in threads that it starts
/// later. Call it before the first thread is started: a signal that one thread
/// does not block may be delivered there and end the process. Errors: SL_IO.
enum SlStatus
SlSignals_Block(const int *signals, uint32_t count);
/// Opens a non-blocking descriptor that becomes readable when one of the
/// signals, which must be blocked, arrives. Errors: SL_IO.
enum SlStatus
SlSignals_Open(const int *signals, uint32_t count, int *descriptor);
/// Reads one pending signal from the descriptor. Returns the number of the
/// signal, or 0 when no signal is pending.
int
SlSignals_Next(int descriptor);

#endif
