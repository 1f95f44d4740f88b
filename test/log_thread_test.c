#include <fcntl.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "log.h"
#include "test.h"

/// Several threads log to a pipe whose reader is stuck: none of them may
/// wait, and what is lost must be counted and said.

enum {
    THREADS = 4,
    EVENTS_EACH = 20000,
    PART_BYTES = 64 * 1024,
};

static void *
write_events(void *context)
{
    struct SlEvent event = {.number = SL_EVENT_FAILED, .reason = "test"};

    for (int i = 0; i < EVENTS_EACH; i++) {
        event.value = i;
        SlLog_WriteEvent(context, &event);
    }
    return NULL;
}

struct reading {
    int descriptor;
    uint64_t lines;
    uint64_t lost;
};

/// Counts lines until the pipe is closed.
static void *
read_lines(void *context)
{
    struct reading *reading = context;
    FILE *file = fdopen(reading->descriptor, "r");
    char line[SL_EVENT_TEXT_BYTES + 2];

    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        const char *lost = strstr(line, "lines=");

        if (lost != NULL) {
            reading->lost += strtoull(lost + 6, NULL, 10);
        }
        else {
            reading->lines++;
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
    struct reading reading = {.lines = 0};
    pthread_t reader;
    struct SlLog *log;
    uint64_t lost;
    int ends[2];

    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    log = SlLog_Create(ends[1], SL_LEVEL_INFO);
    CU_ASSERT_PTR_NOT_NULL_FATAL(log);
    for (int i = 0; i < THREADS; i++) {
        pthread_create(&threads[i], NULL, write_events, log);
    }
    for (int i = 0; i < THREADS; i++) {
        pthread_join(threads[i], NULL);
    }
    lost = SlLog_Lost(log);
    CU_ASSERT_TRUE(lost > 0);
    reading.descriptor = ends[0];
    pthread_create(&reader, NULL, read_lines, &reading);
    SlLog_Destroy(log);
    close(ends[1]);
    pthread_join(reader, NULL);
    CU_ASSERT_EQUAL(reading.lost, lost);
    CU_ASSERT_EQUAL(reading.lines + lost, THREADS * EVENTS_EACH);
}

static void
test_level_holds_back_and_may_change(void)
{
    struct SlEvent info = {.number = SL_EVENT_ROUTE, .reason = "test"};
    struct reading reading = {.lines = 0};
    struct SlLog *log;
    int ends[2];

    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    log = SlLog_Create(ends[1], SL_LEVEL_WARNING);
    SlLog_WriteEvent(log, &info);
    SlLog_SetLevel(log, SL_LEVEL_INFO);
    SlLog_WriteEvent(log, &info);
    SlLog_Destroy(log);
    close(ends[1]);
    reading.descriptor = ends[0];
    read_lines(&reading);
    CU_ASSERT_EQUAL(reading.lines, 1);
}

/// The most lines that have times within one second, wherever it begins.
static uint64_t
most_in_a_second(const char *text)
{
    uint64_t times_us[8192];
    uint64_t most = 0;
    uint32_t count = 0;

    for (const char *at = text; (at = strstr(at, " t=")) != NULL; at++) {
        char *rest;
        uint64_t seconds = strtoull(at + 3, &rest, 10);

        times_us[count++] =
            seconds * 1000 * 1000 + strtoull(rest + 1, NULL, 10);
    }
    for (uint32_t i = 0; i < count; i++) {
        uint64_t in_second = 0;

        for (uint32_t j = i;
             j < count && times_us[j] - times_us[i] < 1000 * 1000; j++) {
            in_second++;
        }
        most = in_second > most ? in_second : most;
    }
    return most;
}

/// A limit holds for every second, wherever it begins, and for warnings about
/// flows too, which are preferred; what does not concern a flow is written
/// (two lines in a second here), as is what was left out (four).
static void
test_limit(void)
{
    static char text[512 * 1024];
    struct SlFlowKey flow = {.protocol = 6};
    struct SlLog *log;
    size_t used = 0;
    ssize_t got;
    int ends[2];

    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    CU_ASSERT(fcntl(ends[1], F_SETPIPE_SZ, 512 * 1024) > 0);
    log = SlLog_Create(ends[1], SL_LEVEL_INFO);
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
    close(ends[1]);
    while ((got = read(ends[0], text + used, sizeof(text) - 1 - used)) > 0) {
        used += (size_t)got;
    }
    close(ends[0]);
    CU_ASSERT(most_in_a_second(text) <= 40 + 6);
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
        {"a limit of lines", test_limit},
        {"the level holds back and may change",
         test_level_holds_back_and_may_change},
    };

    return RUN_SUITE("log", CASES);
}
