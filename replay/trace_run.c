/// Runs traces and compares the figures that result with the bounds that the
/// traces state. Prints one line for each trace and exits with 1 when one
/// differs.

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "harness/simulation.h"

enum {
    TRACES_MAX = 512,
    OUTCOME_BYTES = 1024,
};

static void
append_outcome(char *text, const char *name, const char *comparison,
               double value)
{
    size_t used = strlen(text);

    snprintf(text + used, OUTCOME_BYTES - used, "%s%s%s%.6g",
             used > 0 ? " " : "", name, comparison, value);
}

static const char *
base_name(const char *path)
{
    const char *slash = strrchr(path, '/');

    return slash == NULL ? path : slash + 1;
}

/// Compares the figures with the trace's bounds and prints both. Returns true
/// when every bound holds.
static bool
check_trace(const struct SlTrace *trace, const char *path)
{
    char stated[OUTCOME_BYTES] = "";
    char measured[OUTCOME_BYTES] = "";
    bool all_hold = trace->sim->failed_steps == 0 && trace->bound_count > 0;

    for (uint32_t i = 0; i < trace->bound_count; i++) {
        const struct SlSimBound *bound = &trace->bounds[i];
        double value = 0.0;

        (void)SlSim_FindFigure(trace->sim, bound->name, &value);
        append_outcome(stated, bound->name, bound->comparison, bound->value);
        append_outcome(measured, bound->name, "=", value);
        all_hold = all_hold && SlSimBound_Holds(bound, value);
    }
    printf("%s %s: stated %s; seen %s\n", all_hold ? "ok     " : "DIFFERS",
           base_name(path), stated, measured);
    return all_hold;
}

static void
write_windows(const struct SlSim *sim, const char *path)
{
    FILE *file = fopen(path, "w");
    uint64_t window_count = sim->settings.end_us / SIM_WINDOW_US;

    if (file == NULL) {
        perror(path);
        return;
    }
    for (uint64_t i = 0; i < window_count && i < SIM_WINDOWS_MAX; i++) {
        fprintf(file, "%.1f %u %u %u %u\n", (double)i / 10.0,
                sim->windows[i].served, sim->windows[i].refused,
                sim->windows[i].reset, sim->windows[i].requested);
    }
    fclose(file);
}

static void
write_figures(const struct SlSim *sim)
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

        (void)SlSim_FindFigure(sim, NAMES[i], &value);
        printf("    %s %.6g\n", NAMES[i], value);
    }
}

int
main(int argc, char **argv)
{
    struct arg_file *log =
        arg_file0("l", "log", "FILE", "write the events of all nodes");
    struct arg_file *windows =
        arg_file0("w", "windows", "FILE",
                  "served, refused, reset and new requests for each 100 ms");
    struct arg_lit *figures =
        arg_lit0("f", "figures", "print every figure of each trace");
    struct arg_file *traces =
        arg_filen(NULL, NULL, "TRACE", 1, TRACES_MAX, "traces to run");
    struct arg_end *end = arg_end(8);
    void *table[] = {log, windows, figures, traces, end};
    bool all_traces_hold = true;

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
        trace.sim->log = log->count > 0 ? fopen(log->filename[0], "w") : NULL;
        SlSim_Run(trace.sim);
        all_traces_hold =
            check_trace(&trace, traces->filename[i]) && all_traces_hold;
        if (figures->count > 0) {
            write_figures(trace.sim);
        }
        if (windows->count > 0) {
            write_windows(trace.sim, windows->filename[0]);
        }
        if (trace.sim->log != NULL) {
            fclose((FILE *)trace.sim->log);
        }
        SlSim_Destroy(trace.sim);
    }
    rcu_barrier();
    rcu_unregister_thread();
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return all_traces_hold ? 0 : 1;
}
