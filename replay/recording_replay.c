/// Replays recordings and compares event for event: one line for each file,
/// and exit 1 when one differs or cannot be replayed.

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "savoryledge/coordination/recording.h"

enum {
    FILES_MAX = 64,
    CHUNK_BYTES = 1 << 20,
};

static bool
read_file(const char *path, struct SlBuffer *buffer)
{
    static uint8_t chunk[CHUNK_BYTES];
    FILE *file = fopen(path, "rb");
    size_t length_bytes;

    if (file == NULL) {
        perror(path);
        return false;
    }
    while ((length_bytes = fread(chunk, 1, sizeof(chunk), file)) > 0) {
        if (SlBuffer_Append(buffer, chunk, length_bytes) != SL_OK) {
            break;
        }
    }
    fclose(file);
    return true;
}

static void
print_event(void *context, const char *text)
{
    (void)context;
    puts(text);
}

static bool
replay(const char *path, bool events)
{
    struct SlReplayReport report = {.is_identical = false};
    struct SlError error = {.status = SL_OK};
    struct SlBuffer bytes = {.bytes = NULL};
    enum SlStatus status = SL_IO;

    if (read_file(path, &bytes)) {
        status =
            SlReplay_Run(bytes.bytes, bytes.length_bytes,
                         events ? print_event : NULL, NULL, &report, &error);
    }
    SlBuffer_Release(&bytes);
    if (status != SL_OK) {
        printf("DIFFERS %s: %s: %s\n", path, SlStatus_Name(status),
               error.message);
        return false;
    }
    printf("%s %s: stated the same events; seen %llu inputs, %llu events%s\n",
           report.is_identical && report.lost_count == 0 ? "ok     "
                                                         : "DIFFERS",
           path, (unsigned long long)report.input_count,
           (unsigned long long)report.event_count,
           report.is_identical ? ", all the same" : "");
    if (report.lost_count > 0) {
        printf("    %llu inputs were lost while recording\n",
               (unsigned long long)report.lost_count);
    }
    if (!report.is_identical) {
        printf("    first difference at event %llu\n    recorded %s\n"
               "    replayed %s\n",
               (unsigned long long)report.first_difference, report.expected,
               report.actual);
    }
    return report.is_identical && report.lost_count == 0;
}

int
main(int argc, char **argv)
{
    struct arg_lit *events = arg_lit0("e", "events", "print each event");
    struct arg_file *files =
        arg_filen(NULL, NULL, "RECORDING", 1, FILES_MAX, "recordings");
    struct arg_end *end = arg_end(8);
    void *table[] = {events, files, end};
    bool all = true;

    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "recording_replay");
        return 2;
    }
    rcu_register_thread();
    for (int i = 0; i < files->count; i++) {
        all = replay(files->filename[i], events->count > 0) && all;
    }
    rcu_barrier();
    rcu_unregister_thread();
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return all ? 0 : 1;
}
