/* Tests of the fleet simulation: its task queue, the reading of experiment
 * files, and that runs with equal seeds are equal. */

#include <string.h>
#include <unistd.h>

#include "fleet/fleet.h"
#include "fleet/queue.h"
#include "test.h"

enum {
    TASKS = 2000,
};

/// Tasks are removed by time, and in order of insertion where times are equal.
static void
test_queue_is_ordered(void)
{
    struct fleet_queue queue = {.count = 0};
    struct fleet_task task;
    uint64_t last_us = 0;
    uint64_t last_order = 0;
    uint32_t taken = 0;
    uint64_t random = 9;

    for (uint32_t i = 0; i < TASKS; i++) {
        random = random * 6364136223846793005u + 1442695040888963407u;
        CU_ASSERT(fleet_queue_push(
            &queue, (struct fleet_task){.due_us = (random >> 40) % 100}));
    }
    while (fleet_queue_pop(&queue, &task)) {
        CU_ASSERT(task.due_us >= last_us);
        CU_ASSERT(task.due_us > last_us || taken == 0 ||
                  task.order > last_order);
        last_us = task.due_us;
        last_order = task.order;
        taken++;
    }
    CU_ASSERT_EQUAL(taken, TASKS);
    fleet_queue_release(&queue);
}

static const char EXPERIMENT[] =
    "[run]\nseed = 3\nseconds = 12\n"
    "[fleet]\nzones = 2\nentries = 4\nagents = 10\nstart_ms = 100\n"
    "config_ms = 100\nloss_permille = 5\nframe_cost_us = 20\n"
    "tick_cost_us = 20\n"
    "[load]\ncallers = 40\nrequests_per_s = 100\nshort_percent = 30\n"
    "objective_ms = 500\ndeadline_ms = 3000\n"
    "[upstream]\nslots = 2\nwork_us = 20000\n"
    "[entry]\nshare_permille = 100\nlink_bytes_per_s = 500000\n"
    "link_queue_ms = 250\nsocket_datagrams = 256\n"
    "[agent]\nshare_permille = 150\nlink_bytes_per_s = 5000000\n"
    "link_queue_ms = 250\nsocket_datagrams = 256\n"
    "[events]\nfirst = kill_all 4000 200\n"
    "[expect]\nafter_ms = 2000\npermille = 950\n"
    "frames_per_100_segments = 900\n";

/// Reads the experiment after replacing one text by another.
static enum SlStatus
read_changed(const char *from, const char *to, struct FleetSettings *settings,
             char message[256])
{
    char path[] = "/tmp/fleet-test-XXXXXX";
    int descriptor = mkstemp(path);
    const char *place = strstr(EXPERIMENT, from);
    FILE *file = fdopen(descriptor, "w");
    enum SlStatus status;

    CU_ASSERT_PTR_NOT_NULL_FATAL(place);
    CU_ASSERT_PTR_NOT_NULL_FATAL(file);
    fprintf(file, "%.*s%s%s", (int)(place - EXPERIMENT), EXPERIMENT, to,
            place + strlen(from));
    fclose(file);
    status = FleetSettings_Read(path, settings, message, 256);
    unlink(path);
    return status;
}

static void
test_settings_are_checked(void)
{
    struct FleetSettings settings;
    char message[256];

    CU_ASSERT_EQUAL(read_changed("zones = 2", "zones = 2", &settings, message),
                    SL_OK);
    CU_ASSERT_EQUAL(settings.agents, 10);
    CU_ASSERT_EQUAL(settings.event_count, 1);
    CU_ASSERT_EQUAL(settings.events[0].time_ms, 4000);
    CU_ASSERT_EQUAL(
        read_changed("zones = 2", "zones = 99", &settings, message),
        SL_INVALID);
    CU_ASSERT_PTR_NOT_NULL(strstr(message, "zones"));
    CU_ASSERT_EQUAL(
        read_changed("zones = 2", "zones = -1", &settings, message),
        SL_INVALID);
    CU_ASSERT_EQUAL(read_changed("zones = 2\n", "", &settings, message),
                    SL_INVALID);
    CU_ASSERT_PTR_NOT_NULL(strstr(message, "missing"));
    CU_ASSERT_EQUAL(
        read_changed("zones = 2", "colour = 2", &settings, message),
        SL_INVALID);
    CU_ASSERT_EQUAL(
        read_changed("kill_all 4000", "flood 4000", &settings, message),
        SL_INVALID);
    CU_ASSERT_EQUAL(
        FleetSettings_Read("/nowhere.ini", &settings, message, 256), SL_IO);
}

/// Equal seeds give equal runs and different seeds give different runs. The
/// small fleet serves as expected soon after all of its processes were killed.
static void
test_runs_repeat(void)
{
    struct FleetSettings settings;
    static struct FleetResult first;
    static struct FleetResult second;
    char message[256];

    CU_ASSERT_EQUAL_FATAL(
        read_changed("seed = 3", "seed = 3", &settings, message), SL_OK);
    CU_ASSERT_EQUAL(Fleet_Run(&settings, &first), SL_OK);
    CU_ASSERT_EQUAL(Fleet_Run(&settings, &second), SL_OK);
    CU_ASSERT_EQUAL(memcmp(&first, &second, sizeof(first)), 0);
    CU_ASSERT(first.windows[2].requested > 50);
    CU_ASSERT_EQUAL(first.windows[2].failed, 0);
    CU_ASSERT(first.windows[4].in_time < first.windows[4].requested);
    CU_ASSERT(FleetResult_IsExpected(&settings, &first));
    settings.seed = 4;
    CU_ASSERT_EQUAL(Fleet_Run(&settings, &second), SL_OK);
    CU_ASSERT_NOT_EQUAL(memcmp(&first, &second, sizeof(first)), 0);
}

/// The time of recovery and the expectations are computed from the windows
/// alone.
static void
test_recovery_is_measured(void)
{
    struct FleetSettings settings = {.seconds = 20,
                                     .deadline_ms = 3000,
                                     .event_count = 1,
                                     .events = {{.time_ms = 5000}},
                                     .expect_after_ms = 2000,
                                     .expect_permille = 900,
                                     .expect_frames_percent = 200};
    static struct FleetResult result = {.seconds = 20};

    for (uint32_t i = 0; i < 20; i++) {
        result.windows[i].requested = 100;
        result.windows[i].in_time = i == 5 || i == 6 ? 10 : 95;
    }
    CU_ASSERT_EQUAL(FleetResult_RecoveryMs(&settings, &result, 0), 2000);
    CU_ASSERT(FleetResult_IsExpected(&settings, &result));
    result.windows[8].segments = 200;
    result.windows[8].frames = 401;
    CU_ASSERT_EQUAL(FleetResult_FramesPercent(&result), 200);
    CU_ASSERT(FleetResult_IsExpected(&settings, &result));
    result.windows[8].frames = 402;
    CU_ASSERT_FALSE(FleetResult_IsExpected(&settings, &result));
    result.windows[8].frames = 0;
    result.windows[9].in_time = 89;
    CU_ASSERT_EQUAL(FleetResult_RecoveryMs(&settings, &result, 0), 5000);
    CU_ASSERT_FALSE(FleetResult_IsExpected(&settings, &result));
    result.windows[15].in_time = 0;
    CU_ASSERT_EQUAL(FleetResult_RecoveryMs(&settings, &result, 0), UINT32_MAX);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"tasks are ordered by time", test_queue_is_ordered},
        {"settings are checked", test_settings_are_checked},
        {"equal seeds give equal runs", test_runs_repeat},
        {"recovery is measured from windows", test_recovery_is_measured},
    };

    return RUN_SUITE("fleet", CASES);
}
