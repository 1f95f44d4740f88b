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
        SlLog_Event(context, &event);
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
    SlLog_Event(log, &info);
    SlLog_SetLevel(log, SL_LEVEL_INFO);
    SlLog_Event(log, &info);
    SlLog_Destroy(log);
    close(ends[1]);
    reading.descriptor = ends[0];
    read_lines(&reading);
    CU_ASSERT_EQUAL(reading.lines, 1);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"a stuck reader never stops a writer",
         test_stuck_reader_never_stops_a_writer},
        {"the level holds back and may change",
         test_level_holds_back_and_may_change},
    };

    return RUN_SUITE("log", CASES);
}
