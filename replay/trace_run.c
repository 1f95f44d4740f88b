/// Runs traces and holds what is seen against what they state: one line for
/// each, and exit 1 when one differs.

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "harness/world.h"

enum {
    TRACES_MAX = 512,
    OUTCOME_BYTES = 1024,
};

static void
add_outcome(char *text, const char *name, const char *sign, double value)
{
    size_t used = strlen(text);

    snprintf(text + used, OUTCOME_BYTES - used, "%s%s%s%.6g",
             used > 0 ? " " : "", name, sign, value);
}

static const char *
base_name(const char *path)
{
    const char *slash = strrchr(path, '/');

    return slash == NULL ? path : slash + 1;
}

/// Compares and prints; true when every bound holds.
static bool
judge(const struct SlTrace *trace, const char *path)
{
    char stated[OUTCOME_BYTES] = "";
    char seen[OUTCOME_BYTES] = "";
    bool holds = trace->world->bad_steps == 0 && trace->bound_count > 0;

    for (uint32_t i = 0; i < trace->bound_count; i++) {
        const struct SlWorldBound *bound = &trace->bounds[i];
        double value = 0.0;

        (void)SlWorld_Figure(trace->world, bound->name, &value);
        add_outcome(stated, bound->name, bound->sign, bound->value);
        add_outcome(seen, bound->name, "=", value);
        holds = holds && SlWorldBound_Holds(bound, value);
    }
    printf("%s %s: stated %s; seen %s\n", holds ? "ok     " : "DIFFERS",
           base_name(path), stated, seen);
    return holds;
}

static void
write_windows(const struct SlWorld *world, const char *path)
{
    FILE *file = fopen(path, "w");
    uint64_t last = world->settings.end_us / WORLD_WINDOW_US;

    if (file == NULL) {
        perror(path);
        return;
    }
    for (uint64_t i = 0; i < last && i < WORLD_WINDOWS_MAX; i++) {
        fprintf(file, "%.1f %u %u %u %u\n", (double)i / 10.0,
                world->windows[i].served, world->windows[i].refused,
                world->windows[i].reset, world->windows[i].asked);
    }
    fclose(file);
}

static void
write_figures(const struct SlWorld *world)
{
    static const char *const NAMES[] = {
        "flows",
        "answers",
        "broken",
        "given_up",
        "lost_upstream",
        "refused",
        "timed_out",
        "cross",
        "double_start",
        "double_run",
        "stray",
        "successor",
        "over_capacity",
        "zone_silent_s",
        "zone_late",
        "drain_late",
        "changes",
        "changes_refused",
        "modulo_broken",
        "rendezvous_broken",
        "in_force_s",
        "silent_found",
        "silent_reset",
        "imbalance",
        "worst_window",
        "back_to_normal_s",
        "open",
        "established",
        "flood_delivered",
        "table_bytes",
    };

    for (size_t i = 0; i < sizeof(NAMES) / sizeof(NAMES[0]); i++) {
        double value = 0.0;

        (void)SlWorld_Figure(world, NAMES[i], &value);
        printf("    %s %.6g\n", NAMES[i], value);
    }
}

int
main(int argc, char **argv)
{
    struct arg_file *log =
        arg_file0("l", "log", "FILE", "events of all nodes");
    struct arg_file *windows =
        arg_file0("w", "windows", "FILE", "service for each 100 ms");
    struct arg_lit *figures = arg_lit0("f", "figures", "print every figure");
    struct arg_file *traces =
        arg_filen(NULL, NULL, "TRACE", 1, TRACES_MAX, "traces to run");
    struct arg_end *end = arg_end(8);
    void *table[] = {log, windows, figures, traces, end};
    bool all = true;

    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "trace_run");
        return 2;
    }
    setvbuf(stdout, NULL, _IOLBF, 0);
    rcu_register_thread();
    for (int i = 0; i < traces->count; i++) {
        struct SlTrace trace = {0};

        if (!SlTrace_Read(traces->filename[i], &trace)) {
            return 2;
        }
        trace.world->log =
            log->count > 0 ? fopen(log->filename[0], "w") : NULL;
        SlWorld_Run(trace.world);
        all = judge(&trace, traces->filename[i]) && all;
        if (figures->count > 0) {
            write_figures(trace.world);
        }
        if (windows->count > 0) {
            write_windows(trace.world, windows->filename[0]);
        }
        if (trace.world->log != NULL) {
            fclose((FILE *)trace.world->log);
        }
        SlWorld_Destroy(trace.world);
    }
    rcu_barrier();
    rcu_unregister_thread();
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return all ? 0 : 1;
}
