#include <argtable2.h>
#include <stdio.h>

#include "serve.h"

enum exit_code {
    EXIT_OK = 0,
    EXIT_FAILED = 1,
    /// Exit code for an invalid command line or settings file, with which the
    /// process did not start.
    EXIT_USAGE = 2,
};

struct arguments {
    struct arg_file *settings;
    struct arg_file *check;
    struct arg_file *record;
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_file *file;
    struct arg_end *end;
};

static void
print_help(void **option_table)
{
    printf("Usage: savoryledged");
    arg_print_syntax(stdout, option_table, "\n");
    printf("Runs a process of savoryledge with the roles entry, agent or\n"
           "control from its settings. SIGHUP reloads the log level and the\n"
           "keys; SIGTERM begins a planned stop.\n\n");
    arg_print_glossary(stdout, option_table, "  %-20s %s\n");
    printf(
        "\nExit codes: 0 planned stop, or settings without faults;\n"
        "  1 failed to start or to serve; 2 invalid arguments or settings.\n");
}

/// Returns the path of the settings file on the command line, or NULL if no
/// file was given.
static const char *
selected_settings_path(const struct arguments *arguments)
{
    if (arguments->settings->count > 0) {
        return arguments->settings->filename[0];
    }
    return arguments->file->count > 0 ? arguments->file->filename[0] : NULL;
}

static int
run_command(const struct arguments *arguments)
{
    const char *path = selected_settings_path(arguments);
    struct SlSettings settings;

    if (arguments->check->count > 0) {
        path = arguments->check->filename[0];
        if (!SlDaemon_LoadSettings(path, &settings)) {
            return EXIT_USAGE;
        }
        printf("%s: no faults\n", path);
        return EXIT_OK;
    }
    if (path == NULL) {
        fprintf(stderr,
                "savoryledged: no settings file; use --settings FILE\n");
        return EXIT_USAGE;
    }
    if (!SlDaemon_LoadSettings(path, &settings)) {
        return EXIT_USAGE;
    }
    if (arguments->record->count > 0) {
        snprintf(settings.record.file, sizeof(settings.record.file), "%s",
                 arguments->record->filename[0]);
    }
    return SlDaemon_Serve(path, &settings, NULL);
}

int
main(int argc, char **argv)
{
    struct arguments arguments = {
        .settings = arg_file0("s", "settings", "FILE",
                              "serve with the settings in this file"),
        .check = arg_file0("c", "check", "FILE",
                           "check this file, report all faults and exit"),
        .record = arg_file0("r", "record", "FILE",
                            "record inputs and decisions to this file"),
        .help = arg_lit0("h", "help", "print this text"),
        .version = arg_lit0(NULL, "version", "print the version"),
        .file = arg_file0(NULL, NULL, "FILE", "the same as --settings FILE"),
        .end = arg_end(8),
    };
    void *option_table[] = {
        arguments.settings, arguments.check, arguments.record, arguments.help,
        arguments.version,  arguments.file,  arguments.end};
    int code = EXIT_OK;
    int error_count;

    if (arg_nullcheck(option_table) != 0) {
        fprintf(stderr, "savoryledged: out of memory\n");
        return EXIT_FAILED;
    }
    error_count = arg_parse(argc, argv, option_table);
    if (arguments.help->count > 0) {
        print_help(option_table);
    }
    else if (arguments.version->count > 0) {
        printf("savoryledged %s\n", SAVORYLEDGE_VERSION);
    }
    else if (error_count > 0) {
        arg_print_errors(stderr, arguments.end, "savoryledged");
        fprintf(stderr, "run savoryledged --help for the usage\n");
        code = EXIT_USAGE;
    }
    else {
        code = run_command(&arguments);
    }
    arg_freetable(option_table,
                  sizeof(option_table) / sizeof(option_table[0]));
    return code;
}
