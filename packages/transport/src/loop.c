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
    EVENTS_PER_TURN = 64,
    US_PER_SECOND = 1000 * 1000,
    NS_PER_US = 1000,
    US_PER_MS = 1000,
};

struct SlLoop {
    int epoll;
    int wake;
    struct SlTimer *timers;
    /// Events of the present turn that are not delivered yet.
    struct epoll_event events[EVENTS_PER_TURN];
    int event_count;
};

static _Atomic int64_t wall_off_us;

static uint64_t
read_clock(clockid_t clock)
{
    struct timespec at;

    clock_gettime(clock, &at);
    return (uint64_t)at.tv_sec * US_PER_SECOND +
           (uint64_t)at.tv_nsec / NS_PER_US;
}

uint64_t
SlClock_Monotonic(void)
{
    /* A lease must not outlive the time that the machine was suspended. */
    return read_clock(CLOCK_BOOTTIME);
}

uint64_t
SlClock_Wall(void)
{
    return read_clock(CLOCK_REALTIME) + (uint64_t)atomic_load(&wall_off_us);
}

void
SlClock_SetWallOffset(int64_t off_us)
{
    atomic_store(&wall_off_us, off_us);
}

static enum SlStatus
watch_wake(struct SlLoop *loop)
{
    struct epoll_event event = {.events = EPOLLIN, .data = {.ptr = NULL}};

    return epoll_ctl(loop->epoll, EPOLL_CTL_ADD, loop->wake, &event) == 0
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
    loop->epoll = epoll_create1(EPOLL_CLOEXEC);
    loop->wake = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    if (loop->epoll < 0 || loop->wake < 0 || watch_wake(loop) != SL_OK) {
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
    if (loop->epoll >= 0) {
        close(loop->epoll);
    }
    if (loop->wake >= 0) {
        close(loop->wake);
    }
    free(loop);
}

static enum SlStatus
control(struct SlLoop *loop, int operation, struct SlWatch *watch,
        uint32_t events)
{
    struct epoll_event event = {.data = {.ptr = watch}};

    if (events & SL_LOOP_READ) {
        event.events |= EPOLLIN;
    }
    if (events & SL_LOOP_WRITE) {
        event.events |= EPOLLOUT;
    }
    return epoll_ctl(loop->epoll, operation, watch->descriptor, &event) == 0
               ? SL_OK
               : SL_IO;
}

enum SlStatus
SlLoop_Watch(struct SlLoop *loop, struct SlWatch *watch, uint32_t events)
{
    return control(loop, EPOLL_CTL_ADD, watch, events);
}

enum SlStatus
SlLoop_SetEvents(struct SlLoop *loop, struct SlWatch *watch, uint32_t events)
{
    return control(loop, EPOLL_CTL_MOD, watch, events);
}

void
SlLoop_Unwatch(struct SlLoop *loop, struct SlWatch *watch)
{
    epoll_ctl(loop->epoll, EPOLL_CTL_DEL, watch->descriptor, NULL);
    for (int i = 0; i < loop->event_count; i++) {
        if (loop->events[i].data.ptr == watch) {
            loop->events[i].data.ptr = NULL;
        }
    }
}

void
SlLoop_StartTimer(struct SlLoop *loop, struct SlTimer *timer, uint64_t due_us)
{
    struct SlTimer **place = &loop->timers;

    SlLoop_StopTimer(loop, timer);
    while (*place != NULL && (*place)->due_us <= due_us) {
        place = &(*place)->next;
    }
    timer->due_us = due_us;
    timer->is_started = true;
    timer->next = *place;
    *place = timer;
}

void
SlLoop_StopTimer(struct SlLoop *loop, struct SlTimer *timer)
{
    if (!timer->is_started) {
        return;
    }
    for (struct SlTimer **at = &loop->timers; *at != NULL; at = &(*at)->next) {
        if (*at == timer) {
            *at = timer->next;
            break;
        }
    }
    timer->is_started = false;
    timer->next = NULL;
}

static int
wait_ms(const struct SlLoop *loop, uint64_t max_wait_us)
{
    uint64_t wait_us = max_wait_us;

    if (loop->timers != NULL) {
        uint64_t now_us = SlClock_Monotonic();
        uint64_t due_us = loop->timers->due_us;
        uint64_t left_us = due_us > now_us ? due_us - now_us : 0;

        if (left_us < wait_us) {
            wait_us = left_us;
        }
    }
    return (int)((wait_us + US_PER_MS - 1) / US_PER_MS);
}

static void
run_timers(struct SlLoop *loop)
{
    uint64_t now_us = SlClock_Monotonic();

    while (loop->timers != NULL && loop->timers->due_us <= now_us) {
        struct SlTimer *timer = loop->timers;

        SlLoop_StopTimer(loop, timer);
        timer->on_due(timer, now_us);
    }
}

static void
clear_wake(struct SlLoop *loop)
{
    uint64_t count;

    while (read(loop->wake, &count, sizeof(count)) > 0) {
    }
}

static void
deliver(struct SlLoop *loop, const struct epoll_event *event)
{
    struct SlWatch *watch = event->data.ptr;
    uint32_t ready = 0;

    if (watch == NULL) {
        clear_wake(loop);
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
    int count = epoll_wait(loop->epoll, loop->events, EVENTS_PER_TURN,
                           wait_ms(loop, max_wait_us));

    loop->event_count = count > 0 ? count : 0;
    for (int i = 0; i < loop->event_count; i++) {
        deliver(loop, &loop->events[i]);
    }
    loop->event_count = 0;
    run_timers(loop);
}

int
SlLoop_Descriptor(const struct SlLoop *loop)
{
    return loop->epoll;
}

void
SlLoop_Wake(struct SlLoop *loop)
{
    uint64_t one = 1;
    ssize_t written = write(loop->wake, &one, sizeof(one));

    (void)written;
}

static sigset_t
signal_set(const int *signals, uint32_t count)
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
    sigset_t set = signal_set(signals, count);

    return pthread_sigmask(SIG_BLOCK, &set, NULL) == 0 ? SL_OK : SL_IO;
}

enum SlStatus
SlSignals_Open(const int *signals, uint32_t count, int *descriptor)
{
    sigset_t set = signal_set(signals, count);

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
