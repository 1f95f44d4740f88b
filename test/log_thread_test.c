#include <fcntl.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "log.h"
#include "test.h"

/// Tests the log with a pipe as its descriptor. When the pipe's reader is
/// stuck, threads that log must not block, and the log must count and report
/// the lines that are lost.

enum {
    THREADS = 4,
    EVENTS_PER_THREAD = 20000,
    PART_BYTES = 64 * 1024,
};

static void *
write_events(void *context)
{
    struct SlEvent event = {.number = SL_EVENT_FAILED, .reason = "test"};

    for (int i = 0; i < EVENTS_PER_THREAD; i++) {
        event.value = i;
        SlLog_WriteEvent(context, &event);
    }
    return NULL;
}

/// The lines that the test read from the pipe.
struct line_counts {
    /// Descriptor of the pipe's reading end.
    int descriptor;
    uint64_t event_lines;
    uint64_t lost_lines;
};

/// Counts the event lines until the pipe is closed, and adds up the lines that
/// the log reports as lost.
static void *
read_lines(void *context)
{
    struct line_counts *line_counts = context;
    FILE *file = fdopen(line_counts->descriptor, "r");
    char line[SL_EVENT_TEXT_BYTES + 2];

    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        const char *lost = strstr(line, "lines=");

        if (lost != NULL) {
            line_counts->lost_lines += strtoull(lost + 6, NULL, 10);
        }
        else {
            line_counts->event_lines++;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return NULL;
}

static void
test_stuck_reader_never_stops_a_writer(void)
{
    pthread_t threads[THREADS];
    struct line_counts line_counts = {.event_lines = 0};
    pthread_t reader;
    struct SlLog *log;
    uint64_t lost;
    int pipe_ends[2];

    CU_ASSERT_EQUAL_FATAL(pipe(pipe_ends), 0);
    log = SlLog_Create(pipe_ends[1], SL_LEVEL_INFO);
    CU_ASSERT_PTR_NOT_NULL_FATAL(log);
    for (int i = 0; i < THREADS; i++) {
        pthread_create(&threads[i], NULL, write_events, log);
    }
    for (int i = 0; i < THREADS; i++) {
        pthread_join(threads[i], NULL);
    }
    lost = SlLog_LostLines(log);
    CU_ASSERT_TRUE(lost > 0);
    line_counts.descriptor = pipe_ends[0];
    pthread_create(&reader, NULL, read_lines, &line_counts);
    SlLog_Destroy(log);
    close(pipe_ends[1]);
    pthread_join(reader, NULL);
    CU_ASSERT_EQUAL(line_counts.lost_lines, lost);
    CU_ASSERT_EQUAL(line_counts.event_lines + lost,
                    THREADS * EVENTS_PER_THREAD);
}

static void
test_level_suppresses_events_and_may_change(void)
{
    struct SlEvent info = {.number = SL_EVENT_ROUTE, .reason = "test"};
    struct line_counts line_counts = {.event_lines = 0};
    struct SlLog *log;
    int pipe_ends[2];

    CU_ASSERT_EQUAL_FATAL(pipe(pipe_ends), 0);
    log = SlLog_Create(pipe_ends[1], SL_LEVEL_WARNING);
    SlLog_WriteEvent(log, &info);
    SlLog_SetLevel(log, SL_LEVEL_INFO);
    SlLog_WriteEvent(log, &info);
    SlLog_Destroy(log);
    close(pipe_ends[1]);
    line_counts.descriptor = pipe_ends[0];
    read_lines(&line_counts);
    CU_ASSERT_EQUAL(line_counts.event_lines, 1);
}

/// Returns the maximum number of lines whose times lie within one second, for
/// any start of that second.
static uint64_t
max_lines_in_a_second(const char *text)
{
    uint64_t times_us[8192];
    uint64_t max_lines = 0;
    uint32_t count = 0;

    for (const char *line_time = text;
         (line_time = strstr(line_time, " t=")) != NULL; line_time++) {
        char *fraction;
        uint64_t seconds = strtoull(line_time + 3, &fraction, 10);

        times_us[count++] =
            seconds * 1000 * 1000 + strtoull(fraction + 1, NULL, 10);
    }
    for (uint32_t i = 0; i < count; i++) {
        uint64_t in_second = 0;

        for (uint32_t j = i;
             j < count && times_us[j] - times_us[i] < 1000 * 1000; j++) {
            in_second++;
        }
        max_lines = in_second > max_lines ? in_second : max_lines;
    }
    return max_lines;
}

/// The rate limit holds for every period of one second, wherever it begins. It
/// includes warnings about flows, for which a part is reserved. Warnings that
/// do not concern a flow (two in a second here) and reports of suppressed
/// lines (four) are written in addition to it.
static void
test_rate_limit_holds_in_any_second(void)
{
    static char text[512 * 1024];
    struct SlFlowKey flow = {.protocol = 6};
    struct SlLog *log;
    size_t used = 0;
    ssize_t read_bytes;
    int pipe_ends[2];

    CU_ASSERT_EQUAL_FATAL(pipe(pipe_ends), 0);
    CU_ASSERT(fcntl(pipe_ends[1], F_SETPIPE_SZ, 512 * 1024) > 0);
    log = SlLog_Create(pipe_ends[1], SL_LEVEL_INFO);
    CU_ASSERT_PTR_NOT_NULL_FATAL(log);
    SlLog_SetRateLimit(log, 40);
    for (uint64_t ms = 700; ms < 2700; ms++) {
        struct SlEvent offer = {.number = SL_EVENT_RELAY_OFFER,
                                .flow = &flow,
                                .now_us = ms * 1000};
        struct SlEvent refused = {.number = SL_EVENT_RELAY_REFUSED,
                                  .flow = &flow,
                                  .now_us = ms * 1000};
        struct SlEvent failed = {
            .number = SL_EVENT_FAILED, .reason = "test", .now_us = ms * 1000};

        SlLog_WriteEvent(log, &offer);
        if (ms % 2 == 0) {
            SlLog_WriteEvent(log, &refused);
        }
        if (ms % 500 == 0) {
            SlLog_WriteEvent(log, &failed);
        }
    }
    SlLog_Destroy(log);
    close(pipe_ends[1]);
    while ((read_bytes = read(pipe_ends[0], text + used,
                              sizeof(text) - 1 - used)) > 0) {
        used += (size_t)read_bytes;
    }
    close(pipe_ends[0]);
    CU_ASSERT(max_lines_in_a_second(text) <= 40 + 6);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "SL1110"));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "SL1108"));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "t=2.500000 reason=test"));
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "SL1604"));
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"a stuck reader never stops a writer",
         test_stuck_reader_never_stops_a_writer},
        {"the rate limit holds in any second",
         test_rate_limit_holds_in_any_second},
        {"the level suppresses events and may change",
         test_level_suppresses_events_and_may_change},
    };

    return RUN_SUITE("log", CASES);
}
