/// Runs experiments with a simulated fleet of the relay's cores
/// (replay/fleet). Prints for each how long after each event the fleet served
/// as expected again.
///
///     fleet_run [--table] [--svg FILE] [--seed N] EXPERIMENT...
///
/// Exits with 1 when an experiment does not meet the expectations in its file.

#include <string.h>

#include <argtable2.h>

#include "fleet/fleet.h"

enum {
    EXPERIMENTS_MAX = 64,
    SVG_BAR = 16,
    SVG_HEIGHT = 200,
    PERMILLE = 1000,
};

static double
share_of(uint32_t part, uint32_t whole)
{
    return whole == 0 ? 1.0 : (double)part / whole;
}

static void
print_table(const struct FleetResult *result)
{
    printf(
        "second   asked  in time    late  failed   share  frames/segment\n");
    for (uint32_t i = 0; i < result->seconds; i++) {
        const struct FleetWindow *window = &result->windows[i];

        printf("%6u  %6u   %6u  %6u  %6u   %5.3f  %14.2f\n", i,
               window->requested, window->in_time, window->late,
               window->failed, share_of(window->in_time, window->requested),
               window->segments == 0
                   ? 0.0
                   : (double)window->frames / (double)window->segments);
    }
}

/// Writes a bar for each second: the share of requests served in time, and
/// above it the share served late.
static bool
write_svg(const char *path, const char *title,
          const struct FleetResult *result)
{
    FILE *file = fopen(path, "w");

    if (file == NULL) {
        return false;
    }
    fprintf(file,
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%u\" "
            "height=\"%u\" font-family=\"sans-serif\" font-size=\"12\">\n"
            "<text x=\"40\" y=\"16\">%s: in time (green) and late (orange) "
            "by second</text>\n",
            result->seconds * SVG_BAR + 60, SVG_HEIGHT + 60, title);
    for (uint32_t i = 0; i < result->seconds; i++) {
        const struct FleetWindow *window = &result->windows[i];
        double in_time_height =
            share_of(window->in_time, window->requested) * SVG_HEIGHT;
        double late =
            window->requested == 0
                ? 0
                : (double)window->late / window->requested * SVG_HEIGHT;

        fprintf(file,
                "<rect x=\"%u\" y=\"%.1f\" width=\"%d\" height=\"%.1f\" "
                "fill=\"#3a8f5c\"/>\n"
                "<rect x=\"%u\" y=\"%.1f\" width=\"%d\" height=\"%.1f\" "
                "fill=\"#e08a1e\"/>\n",
                40 + i * SVG_BAR, 30 + SVG_HEIGHT - in_time_height,
                SVG_BAR - 2, in_time_height, 40 + i * SVG_BAR,
                30 + SVG_HEIGHT - in_time_height - late, SVG_BAR - 2, late);
    }
    fprintf(file, "</svg>\n");
    return fclose(file) == 0;
}

static void
print_recovery(const struct FleetSettings *settings,
               const struct FleetResult *result)
{
    for (uint32_t i = 0; i < settings->event_count; i++) {
        uint32_t recovery_ms = FleetResult_RecoveryMs(settings, result, i);

        if (recovery_ms == UINT32_MAX) {
            printf(" event at %u ms: not recovered;",
                   settings->events[i].time_ms);
        }
        else {
            printf(" event at %u ms: recovered after %u ms;",
                   settings->events[i].time_ms, recovery_ms);
        }
    }
}

/// Runs an experiment and prints its result. Returns true when it meets its
/// expectations.
static bool
run_experiment(const char *path, int seed, bool table, const char *svg)
{
    struct FleetSettings settings;
    struct FleetResult result;
    char message[256];
    bool as_expected;

    if (FleetSettings_Read(path, &settings, message, sizeof(message)) !=
        SL_OK) {
        fprintf(stderr, "fleet_run: %s\n", message);
        return false;
    }
    settings.seed = seed > 0 ? (uint32_t)seed : settings.seed;
    if (Fleet_Run(&settings, &result) != SL_OK) {
        fprintf(stderr, "fleet_run: %s: out of memory\n", path);
        return false;
    }
    if (table) {
        print_table(&result);
    }
    if (svg != NULL && !write_svg(svg, path, &result)) {
        fprintf(stderr, "fleet_run: cannot write %s\n", svg);
    }
    as_expected = FleetResult_IsExpected(&settings, &result);
    printf("%s %s seed %u:", as_expected ? "ok    " : "FAILED", path,
           settings.seed);
    print_recovery(&settings, &result);
    printf(
        " %u searches, %u queries, %u datagrams lost, at most %u frames for "
        "100 segments; expected: %u ms after each event %.3f in time, at "
        "most %u frames\n",
        (uint32_t)result.searches, (uint32_t)result.queries,
        (uint32_t)result.lost, FleetResult_FramesPercent(&result),
        settings.expect_after_ms, (double)settings.expect_permille / PERMILLE,
        settings.expect_frames_percent);
    return as_expected;
}

int
main(int argc, char **argv)
{
    struct arg_lit *table =
        arg_lit0(NULL, "table", "print the counts of every second");
    struct arg_file *svg =
        arg_file0(NULL, "svg", "FILE", "write a plot to FILE");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "use this seed");
    struct arg_file *files = arg_filen(NULL, NULL, "EXPERIMENT", 1,
                                       EXPERIMENTS_MAX, "experiments to run");
    struct arg_end *end = arg_end(8);
    void *arguments[] = {table, svg, seed, files, end};
    int failed = 0;

    if (arg_parse(argc, argv, arguments) > 0) {
        arg_print_errors(stderr, end, "fleet_run");
        arg_print_glossary(stderr, arguments, "  %-24s %s\n");
        arg_freetable(arguments, sizeof(arguments) / sizeof(arguments[0]));
        return 2;
    }
    for (int i = 0; i < files->count; i++) {
        failed += !run_experiment(
            files->filename[i], seed->count > 0 ? seed->ival[0] : 0,
            table->count > 0, svg->count > 0 ? svg->filename[0] : NULL);
    }
    arg_freetable(arguments, sizeof(arguments) / sizeof(arguments[0]));
    return failed > 0;
}
