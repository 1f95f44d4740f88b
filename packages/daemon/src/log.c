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
    /// The writer thread waits this long after the first line, to write the
    /// lines that follow it with the same call.
    BATCH_DELAY_US = 50 * 1000,
    US_PER_SECOND = 1000 * 1000,
    /// Lines that the rate limit applies to are counted in windows of half a
    /// second. Any period of one second
    /// overlaps at most three windows, so each may use a third of the limit.
    WINDOW_US = US_PER_SECOND / 2,
    WINDOWS_PER_SECOND_MAX = 3,
    /// Lines of level info and debug may use three quarters of a window's
    /// lines; the rest is reserved for warnings and refusals.
    INFO_SHARE_QUARTERS = 3,
    QUARTERS = 4,
    NS_PER_US = 1000,
    NS_PER_SECOND = 1000 * 1000 * 1000,
    CHUNK_BYTES = 64 * 1024,
    /// A pipe that polls as writable accepts this many bytes without blocking.
    WRITE_MAX_BYTES = 4096,
    /// During shutdown the writer gives up when the descriptor has not become
    /// writable for this long, because its reader is stuck.
    SHUTDOWN_WRITE_TIMEOUT_MS = 500,
};

/// One line of the ring buffer, with its line end.
struct line {
    uint32_t length_bytes;
    char text[SL_EVENT_TEXT_BYTES + 1];
};

struct SlLog {
    int descriptor;
    _Atomic int level;
    _Atomic uint64_t lost_lines;
    /// Number of lost lines that the log has already reported.
    uint64_t reported_lost_lines;
    /// The rate limit in lines per second; 0 for no limit.
    uint32_t max_lines_per_s;
    /// Number of the current window since the clock's start, and the numbers
    /// of lines under the rate limit that were written and suppressed in it.
    uint64_t window_index;
    uint32_t written_lines;
    uint32_t suppressed_lines;
    pthread_t writer;
    /// Guards the ring and the rate limit; never held while writing to the
    /// descriptor.
    pthread_mutex_t lock;
    pthread_cond_t lines_available;
    /// Sequence numbers of the oldest line in the ring and of the next new
    /// line. Modulo RING_LINES they are indexes into the ring.
    uint64_t first_line;
    uint64_t next_line;
    _Atomic bool is_stopping;
    struct line *ring;
    /// Lines that the writer thread is writing.
    char chunk[CHUNK_BYTES];
};

/// Moves lines from the ring to the chunk, as many as fit. Returns the length
/// of the chunk in bytes.
static size_t
fill_chunk(struct SlLog *log)
{
    size_t used = 0;

    while (log->first_line < log->next_line) {
        const struct line *line = &log->ring[log->first_line % RING_LINES];

        if (used + line->length_bytes > CHUNK_BYTES) {
            break;
        }
        memcpy(log->chunk + used, line->text, line->length_bytes);
        used += line->length_bytes;
        log->first_line++;
    }
    return used;
}

/// Waits until a write of WRITE_MAX_BYTES cannot block. Returns false if the
/// log is being destroyed and the descriptor's reader is stuck.
static bool
wait_writable(struct SlLog *log)
{
    struct pollfd poll_entry = {.fd = log->descriptor, .events = POLLOUT};

    while (poll(&poll_entry, 1, SHUTDOWN_WRITE_TIMEOUT_MS) <= 0) {
        if (atomic_load(&log->is_stopping)) {
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
                              part < WRITE_MAX_BYTES ? part : WRITE_MAX_BYTES);

        if (count < 0 && errno != EINTR && errno != EAGAIN) {
            return;
        }
        written += count > 0 ? (size_t)count : 0;
    }
}

static void
report_lost_lines(struct SlLog *log)
{
    uint64_t lost = atomic_load(&log->lost_lines);
    struct SlEvent event = {.number = SL_EVENT_LOG_LOST,
                            .now_us = SlClock_Monotonic(),
                            .reason = "ring_full",
                            .value =
                                (int64_t)(lost - log->reported_lost_lines),
                            .limit = RING_LINES};
    size_t length;

    if (lost == log->reported_lost_lines) {
        return;
    }
    log->reported_lost_lines = lost;
    SlEvent_Format(&event, log->chunk);
    length = strlen(log->chunk);
    log->chunk[length] = '\n';
    write_chunk(log, length + 1);
}

/// Waits until the ring holds a line, then for BATCH_DELAY_US or until the
/// ring is half full, so that one write carries many lines.
static void
wait_for_lines(struct SlLog *log)
{
    struct timespec deadline;

    while (log->first_line == log->next_line && !log->is_stopping) {
        pthread_cond_wait(&log->lines_available, &log->lock);
    }
    clock_gettime(CLOCK_MONOTONIC, &deadline);
    deadline.tv_nsec += (long)BATCH_DELAY_US * NS_PER_US;
    if (deadline.tv_nsec >= NS_PER_SECOND) {
        deadline.tv_nsec -= NS_PER_SECOND;
        deadline.tv_sec++;
    }
    while (log->next_line - log->first_line < RING_LINES / 2 &&
           !log->is_stopping &&
           pthread_cond_timedwait(&log->lines_available, &log->lock,
                                  &deadline) == 0) {
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
        length = fill_chunk(log);
        ended = length == 0 && log->is_stopping;
        pthread_mutex_unlock(&log->lock);
        write_chunk(log, length);
        report_lost_lines(log);
    }
    return NULL;
}

/// Initialises a condition variable that uses the monotonic clock, so that a
/// step of the wall clock cannot delay lines.
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
    init_condition(&log->lines_available);
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
    log->is_stopping = true;
    pthread_cond_signal(&log->lines_available);
    pthread_mutex_unlock(&log->lock);
    pthread_join(log->writer, NULL);
    pthread_cond_destroy(&log->lines_available);
    pthread_mutex_destroy(&log->lock);
    free(log->ring);
    free(log);
}

static bool
append_line(struct SlLog *log, const char *text, size_t length)
{
    struct line *line;
    bool has_space;

    pthread_mutex_lock(&log->lock);
    has_space = log->next_line - log->first_line < RING_LINES;
    if (has_space) {
        line = &log->ring[log->next_line++ % RING_LINES];
        memcpy(line->text, text, length);
        line->text[length] = '\n';
        line->length_bytes = (uint32_t)length + 1;
        if (log->next_line - log->first_line == 1 ||
            log->next_line - log->first_line == RING_LINES / 2) {
            pthread_cond_signal(&log->lines_available);
        }
    }
    pthread_mutex_unlock(&log->lock);
    return has_space;
}

static void
write_event(struct SlLog *log, const struct SlEvent *event)
{
    char text[SL_EVENT_TEXT_BYTES];

    SlEvent_Format(event, text);
    if (!append_line(log, text, strlen(text))) {
        atomic_fetch_add(&log->lost_lines, 1);
    }
}

/// Returns true for lines that the rate limit applies to: those about a flow,
/// which any packet may cause, and those of level info and debug.
static bool
is_limited(const struct SlEvent *event, const struct SlEventRow *event_row)
{
    return event->flow != NULL || event_row->level >= SL_LEVEL_INFO;
}

/// Counts a line that the rate limit applies to. Returns false if it must be
/// suppressed. lines_suppressed: set to the number of lines suppressed in the
/// previous window when this line begins a new window, otherwise to 0.
static bool
count_limited_line(struct SlLog *log, uint64_t now_us, enum SlLevel level,
                   uint32_t *lines_suppressed)
{
    uint64_t window_index = now_us / WINDOW_US;
    uint32_t window_limit;
    bool allowed;

    *lines_suppressed = 0;
    pthread_mutex_lock(&log->lock);
    if (window_index != log->window_index) {
        *lines_suppressed = log->suppressed_lines;
        log->window_index = window_index;
        log->written_lines = 0;
        log->suppressed_lines = 0;
    }
    window_limit = log->max_lines_per_s / WINDOWS_PER_SECOND_MAX;
    if (level >= SL_LEVEL_INFO) {
        window_limit = window_limit * INFO_SHARE_QUARTERS / QUARTERS;
    }
    allowed = log->max_lines_per_s == 0 || log->written_lines < window_limit;
    if (allowed) {
        log->written_lines++;
    }
    else {
        log->suppressed_lines++;
    }
    pthread_mutex_unlock(&log->lock);
    return allowed;
}

void
SlLog_WriteEvent(struct SlLog *log, const struct SlEvent *event)
{
    const struct SlEventRow *event_row = SlEvent_Row(event->number);
    struct SlEvent suppressed_event = {.number = SL_EVENT_LOG_LOST,
                                       .now_us = event->now_us,
                                       .reason = "limit_per_second"};
    uint32_t lines_suppressed;
    bool allowed;

    if (event_row != NULL &&
        (int)event_row->level > atomic_load(&log->level)) {
        return;
    }
    if (event_row != NULL && is_limited(event, event_row)) {
        allowed = count_limited_line(log, event->now_us, event_row->level,
                                     &lines_suppressed);
        if (lines_suppressed > 0) {
            suppressed_event.value = lines_suppressed;
            write_event(log, &suppressed_event);
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
    log->max_lines_per_s = lines_per_s;
    pthread_mutex_unlock(&log->lock);
}

void
SlLog_SetLevel(struct SlLog *log, enum SlLevel level)
{
    atomic_store(&log->level, (int)level);
}

uint64_t
SlLog_LostLines(const struct SlLog *log)
{
    return atomic_load(&log->lost_lines);
}
