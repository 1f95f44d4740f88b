#include <assert.h>
#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>

#include "savoryledge/transport/loop.h"

enum {
    MAX_EVENTS_PER_WAIT = 64,
    US_PER_SECOND = 1000 * 1000,
    NS_PER_US = 1000,
    US_PER_MS = 1000,
};

struct SlLoop {
    int epoll_descriptor;
    /// The eventfd that SlLoop_Wake writes to.
    int wake_descriptor;
    /// List of the started timers in the order of their due times.
    struct SlTimer *timers;
    /// Events that the last epoll_wait(2) returned. SlLoop_Unwatch clears the
    /// events of a watch here, so that they are not dispatched any more.
    struct epoll_event events[MAX_EVENTS_PER_WAIT];
    int event_count;
};

static _Atomic int64_t wall_offset_us;

static uint64_t
read_clock(clockid_t clock)
{
    struct timespec now;

    clock_gettime(clock, &now);
    return (uint64_t)now.tv_sec * US_PER_SECOND +
           (uint64_t)now.tv_nsec / NS_PER_US;
}

uint64_t
SlClock_Monotonic(void)
{
    /* Unlike CLOCK_MONOTONIC, this clock counts the time in which the system
       is suspended, so that leases also expire during a suspension. */
    return read_clock(CLOCK_BOOTTIME);
}

uint64_t
SlClock_Wall(void)
{
    return read_clock(CLOCK_REALTIME) + (uint64_t)atomic_load(&wall_offset_us);
}

void
SlClock_SetWallOffset(int64_t offset_us)
{
    atomic_store(&wall_offset_us, offset_us);
}

static enum SlStatus
watch_wake_descriptor(struct SlLoop *loop)
{
    struct epoll_event event = {.events = EPOLLIN, .data = {.ptr = NULL}};

    return epoll_ctl(loop->epoll_descriptor, EPOLL_CTL_ADD,
                     loop->wake_descriptor, &event) == 0
               ? SL_OK
               : SL_IO;
}

struct SlLoop *
SlLoop_Create(void)
{
    struct SlLoop *loop = calloc(1, sizeof(*loop));

    if (loop == NULL) {
        return NULL;
    }
    loop->epoll_descriptor = epoll_create1(EPOLL_CLOEXEC);
    loop->wake_descriptor = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (loop->epoll_descriptor < 0 || loop->wake_descriptor < 0 ||
        watch_wake_descriptor(loop) != SL_OK) {
        SlLoop_Destroy(loop);
        return NULL;
    }
    return loop;
}

void
SlLoop_Destroy(struct SlLoop *loop)
{
    if (loop == NULL) {
        return;
    }
    if (loop->epoll_descriptor >= 0) {
        close(loop->epoll_descriptor);
    }
    if (loop->wake_descriptor >= 0) {
        close(loop->wake_descriptor);
    }
    free(loop);
}

static enum SlStatus
set_epoll_events(struct SlLoop *loop, int operation, struct SlWatch *watch,
                 uint32_t events)
{
    struct epoll_event event = {.data = {.ptr = watch}};

    if (events & SL_LOOP_READ) {
        event.events |= EPOLLIN;
    }
    if (events & SL_LOOP_WRITE) {
        event.events |= EPOLLOUT;
    }
    return epoll_ctl(loop->epoll_descriptor, operation, watch->descriptor,
                     &event) == 0
               ? SL_OK
               : SL_IO;
}

enum SlStatus
SlLoop_Watch(struct SlLoop *loop, struct SlWatch *watch, uint32_t events)
{
    return set_epoll_events(loop, EPOLL_CTL_ADD, watch, events);
}

enum SlStatus
SlLoop_SetEvents(struct SlLoop *loop, struct SlWatch *watch, uint32_t events)
{
    return set_epoll_events(loop, EPOLL_CTL_MOD, watch, events);
}

void
SlLoop_Unwatch(struct SlLoop *loop, struct SlWatch *watch)
{
    epoll_ctl(loop->epoll_descriptor, EPOLL_CTL_DEL, watch->descriptor, NULL);
    for (int i = 0; i < loop->event_count; i++) {
        if (loop->events[i].data.ptr == watch) {
            loop->events[i].data.ptr = NULL;
        }
    }
}

void
SlLoop_StartTimer(struct SlLoop *loop, struct SlTimer *timer, uint64_t due_us)
{
    struct SlTimer **position = &loop->timers;

    SlLoop_StopTimer(loop, timer);
    while (*position != NULL && (*position)->due_us <= due_us) {
        position = &(*position)->next;
    }
    timer->due_us = due_us;
    timer->is_started = true;
    timer->next = *position;
    *position = timer;
}

void
SlLoop_StopTimer(struct SlLoop *loop, struct SlTimer *timer)
{
    if (!timer->is_started) {
        return;
    }
    for (struct SlTimer **position = &loop->timers; *position != NULL;
         position = &(*position)->next) {
        if (*position == timer) {
            *position = timer->next;
            break;
        }
    }
    timer->is_started = false;
    timer->next = NULL;
}

/// Returns the time until the first timer is due, at most max_wait_us, in
/// milliseconds. The time is rounded up, so that the wait does not end before
/// the timer is due.
static int
epoll_timeout_ms(const struct SlLoop *loop, uint64_t max_wait_us)
{
    uint64_t wait_us = max_wait_us;

    if (loop->timers != NULL) {
        uint64_t now_us = SlClock_Monotonic();
        uint64_t due_us = loop->timers->due_us;
        uint64_t remaining_us = due_us > now_us ? due_us - now_us : 0;

        if (remaining_us < wait_us) {
            wait_us = remaining_us;
        }
    }
    return (int)((wait_us + US_PER_MS - 1) / US_PER_MS);
}

static void
run_due_timers(struct SlLoop *loop)
{
    uint64_t now_us = SlClock_Monotonic();

    while (loop->timers != NULL && loop->timers->due_us <= now_us) {
        struct SlTimer *timer = loop->timers;

        SlLoop_StopTimer(loop, timer);
        timer->on_due(timer, now_us);
    }
}

static void
drain_wake_events(struct SlLoop *loop)
{
    uint64_t count;

    while (read(loop->wake_descriptor, &count, sizeof(count)) > 0) {
    }
}

static void
dispatch_event(struct SlLoop *loop, const struct epoll_event *event)
{
    struct SlWatch *watch = event->data.ptr;
    uint32_t ready = 0;

    if (watch == NULL) {
        drain_wake_events(loop);
        return;
    }
    if (event->events & (EPOLLIN | EPOLLERR | EPOLLHUP)) {
        ready |= SL_LOOP_READ;
    }
    if (event->events & EPOLLOUT) {
        ready |= SL_LOOP_WRITE;
    }
    watch->on_ready(watch, ready);
}

void
SlLoop_RunOnce(struct SlLoop *loop, uint64_t max_wait_us)
{
    int count =
        epoll_wait(loop->epoll_descriptor, loop->events, MAX_EVENTS_PER_WAIT,
                   epoll_timeout_ms(loop, max_wait_us));

    loop->event_count = count > 0 ? count : 0;
    for (int i = 0; i < loop->event_count; i++) {
        dispatch_event(loop, &loop->events[i]);
    }
    loop->event_count = 0;
    run_due_timers(loop);
}

int
SlLoop_Descriptor(const struct SlLoop *loop)
{
    return loop->epoll_descriptor;
}

void
SlLoop_Wake(struct SlLoop *loop)
{
    uint64_t one = 1;
    ssize_t written = write(loop->wake_descriptor, &one, sizeof(one));

    (void)written;
}

static sigset_t
make_signal_set(const int *signals, uint32_t count)
{
    sigset_t set;

    sigemptyset(&set);
    for (uint32_t i = 0; i < count; i++) {
        sigaddset(&set, signals[i]);
    }
    return set;
}

enum SlStatus
SlSignals_Block(const int *signals, uint32_t count)
{
    sigset_t set = make_signal_set(signals, count);

    return pthread_sigmask(SIG_BLOCK, &set, NULL) == 0 ? SL_OK : SL_IO;
}

enum SlStatus
SlSignals_Open(const int *signals, uint32_t count, int *descriptor)
{
    sigset_t set = make_signal_set(signals, count);

    *descriptor = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
    return *descriptor >= 0 ? SL_OK : SL_IO;
}

int
SlSignals_Next(int descriptor)
{
    struct signalfd_siginfo info;

    if (read(descriptor, &info, sizeof(info)) != (ssize_t)sizeof(info)) {
        return 0;
    }
    return (int)info.ssi_signo;
}
