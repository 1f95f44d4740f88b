#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "log.h"
#include "savoryledge/transport/loop.h"

enum {
    RING_LINES = 8192,
    /// Lines that come within this time are written together.
    WRITE_PAUSE_US = 50 * 1000,
    US_PER_SECOND = 1000 * 1000,
    /// Lines are counted in windows of half a second; any second touches three
    /// of them at most, so each gets a third of the limit.
    WINDOW_US = US_PER_SECOND / 2,
    WINDOWS_TOUCHED = 3,
    /// Of a window's lines, how many in four may be of level info or debug:
    /// the rest is kept for warnings and refusals.
    INFO_SHARE = 3,
    ALL_SHARES = 4,
    NS_PER_US = 1000,
    NS_PER_SECOND = 1000 * 1000 * 1000,
    CHUNK_BYTES = 64 * 1024,
    /// What a pipe that polls as writable takes without waiting.
    WRITE_BYTES = 4096,
    /// After the log was told to end, a stuck reader gets this long.
    END_WAIT_MS = 500,
};

struct line {
    uint32_t length_bytes;
    char text[SL_EVENT_TEXT_BYTES + 1];
};

struct SlLog {
    int descriptor;
    _Atomic int level;
    _Atomic uint64_t lost;
    uint64_t lost_said;
    /// Limited lines of the present window, and those left out in it.
    uint32_t limit_per_s;
    uint64_t window;
    uint32_t in_window;
    uint32_t suppressed;
    pthread_t writer;
    /// Guards the ring; never held while writing to the descriptor.
    pthread_mutex_t lock;
    pthread_cond_t filled;
    uint64_t first;
    uint64_t next;
    _Atomic bool ending;
    struct line *ring;
    char chunk[CHUNK_BYTES];
};

/// Gathers waiting lines into the chunk; returns its length in bytes.
static size_t
take_lines(struct SlLog *log)
{
    size_t used = 0;

    while (log->first < log->next) {
        const struct line *line = &log->ring[log->first % RING_LINES];

        if (used + line->length_bytes > CHUNK_BYTES) {
            break;
        }
        memcpy(log->chunk + used, line->text, line->length_bytes);
        used += line->length_bytes;
        log->first++;
    }
    return used;
}

/// Waits until a write of WRITE_BYTES cannot block. False when the log ends
/// and its reader is stuck.
static bool
wait_writable(struct SlLog *log)
{
    struct pollfd waited = {.fd = log->descriptor, .events = POLLOUT};

    while (poll(&waited, 1, END_WAIT_MS) <= 0) {
        if (atomic_load(&log->ending)) {
            return false;
        }
    }
    return true;
}

static void
write_chunk(struct SlLog *log, size_t length)
{
    size_t written = 0;

    while (written < length && wait_writable(log)) {
        size_t part = length - written;
        ssize_t count = write(log->descriptor, log->chunk + written,
                              part < WRITE_BYTES ? part : WRITE_BYTES);

        if (count < 0 && errno != EINTR && errno != EAGAIN) {
            return;
        }
        written += count > 0 ? (size_t)count : 0;
    }
}

static void
say_lost(struct SlLog *log)
{
    uint64_t lost = atomic_load(&log->lost);
    struct SlEvent event = {.number = SL_EVENT_LOG_LOST,
                            .now_us = SlClock_Monotonic(),
                            .reason = "ring_full",
                            .value = (int64_t)(lost - log->lost_said),
                            .limit = RING_LINES};
    size_t length;

    if (lost == log->lost_said) {
        return;
    }
    log->lost_said = lost;
    SlEvent_Format(&event, log->chunk);
    length = strlen(log->chunk);
    log->chunk[length] = '\n';
    write_chunk(log, length + 1);
}

/// Sleeps until there is a line, then a little longer, so that many lines
/// leave with one write.
static void
wait_for_lines(struct SlLog *log)
{
    struct timespec until;

    while (log->first == log->next && !log->ending) {
        pthread_cond_wait(&log->filled, &log->lock);
    }
    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_nsec += (long)WRITE_PAUSE_US * NS_PER_US;
    if (until.tv_nsec >= NS_PER_SECOND) {
        until.tv_nsec -= NS_PER_SECOND;
        until.tv_sec++;
    }
    while (log->next - log->first < RING_LINES / 2 && !log->ending &&
           pthread_cond_timedwait(&log->filled, &log->lock, &until) == 0) {
    }
}

static void *
run_writer(void *context)
{
    struct SlLog *log = context;
    bool ended = false;

    while (!ended) {
        size_t length;

        pthread_mutex_lock(&log->lock);
        wait_for_lines(log);
        length = take_lines(log);
        ended = length == 0 && log->ending;
        pthread_mutex_unlock(&log->lock);
        write_chunk(log, length);
        say_lost(log);
    }
    return NULL;
}

/// Waits go by the monotonic clock: a jump of the wall clock must not hold
/// lines back.
static void
init_condition(pthread_cond_t *condition)
{
    pthread_condattr_t attributes;

    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(condition, &attributes);
    pthread_condattr_destroy(&attributes);
}

struct SlLog *
SlLog_Create(int descriptor, enum SlLevel level)
{
    struct SlLog *log = calloc(1, sizeof(*log));

    if (log == NULL) {
        return NULL;
    }
    log->descriptor = descriptor;
    atomic_init(&log->level, (int)level);
    log->ring = calloc(RING_LINES, sizeof(*log->ring));
    pthread_mutex_init(&log->lock, NULL);
    init_condition(&log->filled);
    if (log->ring == NULL ||
        pthread_create(&log->writer, NULL, run_writer, log) != 0) {
        free(log->ring);
        free(log);
        return NULL;
    }
    return log;
}

void
SlLog_Destroy(struct SlLog *log)
{
    if (log == NULL) {
        return;
    }
    pthread_mutex_lock(&log->lock);
    log->ending = true;
    pthread_cond_signal(&log->filled);
    pthread_mutex_unlock(&log->lock);
    pthread_join(log->writer, NULL);
    pthread_cond_destroy(&log->filled);
    pthread_mutex_destroy(&log->lock);
    free(log->ring);
    free(log);
}

static bool
put_line(struct SlLog *log, const char *text, size_t length)
{
    struct line *line;
    bool has_room;

    pthread_mutex_lock(&log->lock);
    has_room = log->next - log->first < RING_LINES;
    if (has_room) {
        line = &log->ring[log->next++ % RING_LINES];
        memcpy(line->text, text, length);
        line->text[length] = '\n';
        line->length_bytes = (uint32_t)length + 1;
        if (log->next - log->first == 1 ||
            log->next - log->first == RING_LINES / 2) {
            pthread_cond_signal(&log->filled);
        }
    }
    pthread_mutex_unlock(&log->lock);
    return has_room;
}

static void
write_event(struct SlLog *log, const struct SlEvent *event)
{
    char text[SL_EVENT_TEXT_BYTES];

    SlEvent_Format(event, text);
    if (!put_line(log, text, strlen(text))) {
        atomic_fetch_add(&log->lost, 1);
    }
}

/// What can come with every packet, or is of level info.
static bool
is_limited(const struct SlEvent *event, const struct SlEventRow *row)
{
    return event->flow != NULL || row->level >= SL_LEVEL_INFO;
}

/// Counts a limited line; false when its window has had its share.
/// suppressed: lines left out in the window that ended, 0 none.
static bool
has_share(struct SlLog *log, uint64_t now_us, enum SlLevel level,
          uint32_t *suppressed)
{
    uint64_t window = now_us / WINDOW_US;
    uint32_t share;
    bool allowed;

    *suppressed = 0;
    pthread_mutex_lock(&log->lock);
    if (window != log->window) {
        *suppressed = log->suppressed;
        log->window = window;
        log->in_window = 0;
        log->suppressed = 0;
    }
    share = log->limit_per_s / WINDOWS_TOUCHED;
    if (level >= SL_LEVEL_INFO) {
        share = share * INFO_SHARE / ALL_SHARES;
    }
    allowed = log->limit_per_s == 0 || log->in_window < share;
    if (allowed) {
        log->in_window++;
    }
    else {
        log->suppressed++;
    }
    pthread_mutex_unlock(&log->lock);
    return allowed;
}

void
SlLog_WriteEvent(struct SlLog *log, const struct SlEvent *event)
{
    const struct SlEventRow *row = SlEvent_Row(event->number);
    struct SlEvent said = {.number = SL_EVENT_LOG_LOST,
                           .now_us = event->now_us,
                           .reason = "limit_per_second"};
    uint32_t suppressed;
    bool allowed;

    if (row != NULL && (int)row->level > atomic_load(&log->level)) {
        return;
    }
    if (row != NULL && is_limited(event, row)) {
        allowed = has_share(log, event->now_us, row->level, &suppressed);
        if (suppressed > 0) {
            said.value = suppressed;
            write_event(log, &said);
        }
        if (!allowed) {
            return;
        }
    }
    write_event(log, event);
}

void
SlLog_SetRateLimit(struct SlLog *log, uint32_t lines_per_s)
{
    pthread_mutex_lock(&log->lock);
    log->limit_per_s = lines_per_s;
    pthread_mutex_unlock(&log->lock);
}

void
SlLog_SetLevel(struct SlLog *log, enum SlLevel level)
{
    atomic_store(&log->level, (int)level);
}

uint64_t
SlLog_Lost(const struct SlLog *log)
{
    return atomic_load(&log->lost);
}
