#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

enum {
    DEFAULT_TIMEOUT_MS = 10 * 1000,
    MAX_TIMEOUT_MS = 3600 * 1000,
    MAX_SILENCE_MS = 3600 * 1000,
    MAX_IDLE_MS = 24 * 3600 * 1000,
    US_PER_MS = 1000,
    ATTEMPT_TIMEOUT_US = 2 * 1000 * 1000,
    MAX_LABEL_OPTIONS = 8,
    /// Parse errors beyond this number are not reported.
    MAX_ERRORS = 8,
};

struct parsed_options {
    struct arg_str *control;
    struct arg_file *key_file;
    struct arg_lit *json;
    struct arg_int *timeout;
    struct arg_str *expect;
    struct arg_str *client;
    struct arg_str *request;
    struct arg_str *base;
    struct arg_str *hold;
    struct arg_str *reason;
    struct arg_str *selector;
    struct arg_str *address;
    struct arg_str *protocol;
    struct arg_int *silence;
    struct arg_int *idle;
    struct arg_str *label;
    struct arg_lit *help;
    struct arg_lit *version;
    struct arg_str *positional;
    struct arg_end *end;
};

static void
create_option_parsers(struct parsed_options *parsed)
{
    *parsed = (struct parsed_options){
        .control = arg_str0("C", "control", "ADDR[,ADDR...]",
                            "processes to contact, in this order"),
        .key_file = arg_file0("k", "key-file", "FILE", "the site's key"),
        .json = arg_lit0("j", "json", "answer in JSON"),
        .timeout = arg_int0("t", "timeout-ms", "N",
                            "time limit of the whole command (10000)"),
        .expect = arg_str0(NULL, "expect", "VERSION",
                           "change the object only if it has this version"),
        .client = arg_str0(NULL, "client", "N",
                           "to resend a change: its client number"),
        .request = arg_str0(NULL, "request", "N",
                            "to resend a change: its request number"),
        .base = arg_str0(NULL, "base", "VERSION",
                         "to resend a change: its base version"),
        .hold = arg_str0(NULL, "hold", "KEY", "key of the hold ($USER)"),
        .reason = arg_str0(NULL, "reason", "TEXT", "reason of the hold"),
        .selector = arg_str0(NULL, "selector", "TERMS",
                             "k=v, k!=v, k in (a,b), k not in (a,b), k, !k"),
        .address =
            arg_str0(NULL, "address", "IP:PORT", "address of the service"),
        .protocol = arg_str0(NULL, "protocol", "udp|tcp",
                             "protocol of the service (udp)"),
        .silence = arg_int0(NULL, "silence-ms", "N",
                            "a flow of the service ends when data is "
                            "unanswered for this long"),
        .idle = arg_int0(NULL, "idle-ms", "N",
                         "a UDP flow of the service ends after this "
                         "time without data"),
        .label = arg_strn(NULL, "label", "KEY=VALUE", 0, MAX_LABEL_OPTIONS,
                          "labels of the new object"),
        .help = arg_lit0("h", "help", "print this text"),
        .version = arg_lit0(NULL, "version", "print the version"),
        .positional =
            arg_strn(NULL, NULL, "COMMAND", 0, SL_CTL_ARGUMENTS_MAX, NULL),
        .end = arg_end(MAX_ERRORS),
    };
}

static void
print_help(void **argument_table)
{
    printf("Usage: savoryledgectl [OPTION]... COMMAND\n\nCommands:\n");
    for (const struct SlCommand *command = SL_COMMANDS; command->name != NULL;
         command++) {
        printf("  %-50s %s\n", command->usage, command->description);
    }
    printf("\nKIND is service, zone, group, or node (also: upstream, "
           "entry).\n\nOptions:\n");
    arg_print_glossary(stdout, argument_table, "  %-30s %s\n");
    printf("\nExit codes: 0 done; 1 refused or failed; 2 wrong arguments, "
           "nothing changed;\n"
           "  3 conflict: the present object is shown; 4 no answer: the "
           "outcome of a\n"
           "  change is unknown, and the message shows how to resend it; "
           "5 not found.\n");
}

static const struct SlCommand *
find_command(const struct arg_str *positional)
{
    for (const struct SlCommand *command = SL_COMMANDS; command->name != NULL;
         command++) {
        if (strcmp(positional->sval[0], command->name) != 0) {
            continue;
        }
        if (command->subcommand == NULL ||
            (positional->count > 1 &&
             strcmp(positional->sval[1], command->subcommand) == 0)) {
            return command;
        }
    }
    return NULL;
}

static int
report_unknown_command(const struct arg_str *positional)
{
    for (const struct SlCommand *command = SL_COMMANDS; command->name != NULL;
         command++) {
        if (strcmp(positional->sval[0], command->name) == 0) {
            return SlCtl_ReportUsageError(
                positional->count > 1 ? positional->sval[1]
                                      : positional->sval[0],
                "not a command; allowed: %s", command->usage);
        }
    }
    return SlCtl_ReportUsageError(positional->sval[0],
                                  "not a command; --help lists them all");
}

static int
read_positional(const struct SlCommand *command,
                const struct arg_str *positional, struct SlCtlOptions *options)
{
    uint32_t name_words = command->subcommand == NULL ? 1 : 2;

    options->argument_count = (uint32_t)positional->count - name_words;
    for (uint32_t i = 0; i < options->argument_count; i++) {
        options->arguments[i] = positional->sval[name_words + i];
    }
    if (options->argument_count < command->min_arguments) {
        return SlCtl_ReportUsageError(
            positional->sval[positional->count - 1],
            "an argument is missing after it; usage: %s", command->usage);
    }
    if (options->argument_count > command->max_arguments) {
        return SlCtl_ReportUsageError(
            options->arguments[command->max_arguments],
            "one argument too many; usage: %s", command->usage);
    }
    return SL_EXIT_SUCCESS;
}

/// Reports options that the command does not accept as an error; they are
/// never ignored.
static int
check_accepted_options(const struct SlCommand *command,
                       const struct parsed_options *parsed)
{
    const struct {
        int count;
        uint32_t bit;
        const char *name;
    } given[] = {
        {parsed->expect->count, SL_OPTION_EXPECTED_VERSION, "--expect"},
        {parsed->client->count, SL_OPTION_REQUEST, "--client"},
        {parsed->request->count, SL_OPTION_REQUEST, "--request"},
        {parsed->base->count, SL_OPTION_REQUEST, "--base"},
        {parsed->hold->count, SL_OPTION_HOLD, "--hold"},
        {parsed->reason->count, SL_OPTION_HOLD, "--reason"},
        {parsed->selector->count, SL_OPTION_SELECTOR, "--selector"},
        {parsed->address->count, SL_OPTION_SERVICE, "--address"},
        {parsed->protocol->count, SL_OPTION_SERVICE, "--protocol"},
        {parsed->silence->count, SL_OPTION_SERVICE, "--silence-ms"},
        {parsed->idle->count, SL_OPTION_SERVICE, "--idle-ms"},
        {parsed->label->count, SL_OPTION_LABELS, "--label"},
    };

    for (size_t i = 0; i < sizeof(given) / sizeof(given[0]); i++) {
        if (given[i].count > 0 &&
            !(command->accepted_options & given[i].bit)) {
            return SlCtl_ReportUsageError(
                given[i].name, "not an option of \"%s\"", command->usage);
        }
    }
    return SL_EXIT_SUCCESS;
}

static const char *
string_value(const struct arg_str *argument)
{
    return argument->count > 0 ? argument->sval[0] : NULL;
}

static int
read_addresses(const char *text, struct SlCtlOptions *options)
{
    char *copy = strdup(text);
    char *remaining = copy;
    char *item;
    int code = SL_EXIT_SUCCESS;

    while (code == SL_EXIT_SUCCESS &&
           (item = strsep(&remaining, ",")) != NULL) {
        struct SlAddress *address = &options->control[options->control_count];

        if (options->control_count == SL_CTL_ADDRESSES_MAX ||
            SlAddress_Parse(item, address) != SL_OK || address->port == 0) {
            code = SlCtl_ReportUsageError(
                item,
                "not IPV4:PORT or [IPV6]:PORT, or more than "
                "%d addresses",
                SL_CTL_ADDRESSES_MAX);
        }
        options->control_count++;
    }
    free(copy);
    return code;
}

static int
read_number(const char *name, const struct arg_str *argument, uint64_t *number)
{
    const char *text = string_value(argument);
    char *end;

    if (text == NULL) {
        return SL_EXIT_SUCCESS;
    }
    *number = strtoull(text, &end, 10);
    if (text[0] < '0' || text[0] > '9' || *end != '\0' || *number == 0) {
        return SlCtl_ReportUsageError(
            text, "not a whole number of at least 1, for %s", name);
    }
    return SL_EXIT_SUCCESS;
}

static int
read_version(const char *name, const struct arg_str *argument,
             struct SlVersion *version)
{
    const char *text = string_value(argument);

    if (text != NULL && !SlCtl_ParseVersion(text, version)) {
        return SlCtl_ReportUsageError(text, "not a version TERM.INDEX, for %s",
                                      name);
    }
    return SL_EXIT_SUCCESS;
}

static int
read_milliseconds(const char *name, const struct arg_int *argument, int max,
                  uint32_t *milliseconds)
{
    if (argument->count == 0) {
        return SL_EXIT_SUCCESS;
    }
    if (argument->ival[0] < 1 || argument->ival[0] > max) {
        return SlCtl_ReportUsageError(name,
                                      "%d is out of range; allowed: 1 to %d",
                                      argument->ival[0], max);
    }
    *milliseconds = (uint32_t)argument->ival[0];
    return SL_EXIT_SUCCESS;
}

static int
read_labels(const struct arg_str *argument, struct SlLabels *labels)
{
    for (int i = 0; i < argument->count; i++) {
        const char *text = argument->sval[i];
        const char *equals = strchr(text, '=');
        char key[SL_LABEL_KEY_BYTES];

        if (equals == NULL || equals - text >= SL_LABEL_KEY_BYTES) {
            return SlCtl_ReportUsageError(
                text, "not KEY=VALUE, or its key is too long");
        }
        snprintf(key, sizeof(key), "%.*s", (int)(equals - text), text);
        if (SlLabels_Set(labels, key, equals + 1) != SL_OK) {
            return SlCtl_ReportUsageError(
                text, "not a valid label; allowed: letters, digits, "
                      "\"-\", \"_\", \".\" and \"/\"");
        }
    }
    return SL_EXIT_SUCCESS;
}

static int
read_options(const struct parsed_options *parsed, struct SlCtlOptions *options)
{
    uint32_t timeout_ms = DEFAULT_TIMEOUT_MS;
    int code = SL_EXIT_SUCCESS;

    options->json = parsed->json->count > 0;
    options->hold = string_value(parsed->hold);
    options->reason = string_value(parsed->reason);
    options->selector = string_value(parsed->selector);
    options->address = string_value(parsed->address);
    options->protocol = string_value(parsed->protocol);
    options->has_base = parsed->base->count > 0;
    options->key_file =
        parsed->key_file->count > 0 ? parsed->key_file->filename[0] : NULL;
    code |= read_number("--client", parsed->client, &options->client);
    code |= read_number("--request", parsed->request, &options->request);
    code |= read_version("--expect", parsed->expect, &options->expect);
    code |= read_version("--base", parsed->base, &options->base);
    code |= read_milliseconds("--timeout-ms", parsed->timeout, MAX_TIMEOUT_MS,
                              &timeout_ms);
    code |= read_milliseconds("--silence-ms", parsed->silence, MAX_SILENCE_MS,
                              &options->silence_ms);
    code |= read_milliseconds("--idle-ms", parsed->idle, MAX_IDLE_MS,
                              &options->idle_ms);
    code |= read_labels(parsed->label, &options->labels);
    options->timeout_us = (uint64_t)timeout_ms * US_PER_MS;
    if (parsed->control->count > 0) {
        code |= read_addresses(parsed->control->sval[0], options);
    }
    return code;
}

/// Returns true for commands that contact no process and need neither
/// addresses nor a key, and for explain place, which checks them itself.
static bool
contacts_no_process(const struct SlCommand *command)
{
    return strcmp(command->name, "key") == 0 ||
           strcmp(command->name, "explain") == 0;
}

static int
run_command(const struct parsed_options *parsed)
{
    struct SlCtl ctl = {.attempt_timeout_us = ATTEMPT_TIMEOUT_US};
    const struct SlCommand *command;
    int code;

    if (parsed->positional->count == 0) {
        return SlCtl_ReportUsageError(NULL,
                                      "no command; --help lists them all");
    }
    command = find_command(parsed->positional);
    if (command == NULL) {
        return report_unknown_command(parsed->positional);
    }
    code = read_positional(command, parsed->positional, &ctl.options);
    if (code == SL_EXIT_SUCCESS) {
        code = check_accepted_options(command, parsed);
    }
    if (code == SL_EXIT_SUCCESS) {
        code = read_options(parsed, &ctl.options);
    }
    if (code == SL_EXIT_SUCCESS && !contacts_no_process(command) &&
        (ctl.options.control_count == 0 || ctl.options.key_file == NULL)) {
        code = SlCtl_ReportUsageError(
            ctl.options.control_count == 0 ? "--control" : "--key-file",
            "this option is required");
    }
    if (code == SL_EXIT_SUCCESS) {
        code = command->run(&ctl);
    }
    SlClient_Destroy(ctl.connection);
    return code;
}

int
main(int argc, char **argv)
{
    struct parsed_options parsed;
    int error_count;
    int code = SL_EXIT_SUCCESS;

    create_option_parsers(&parsed);
    void *argument_table[] = {
        parsed.control,  parsed.key_file, parsed.json,       parsed.timeout,
        parsed.expect,   parsed.client,   parsed.request,    parsed.base,
        parsed.hold,     parsed.reason,   parsed.selector,   parsed.address,
        parsed.protocol, parsed.silence,  parsed.idle,       parsed.label,
        parsed.help,     parsed.version,  parsed.positional, parsed.end};

    if (arg_nullcheck(argument_table) != 0) {
        fputs("savoryledgectl: out of memory\n", stderr);
        return SL_EXIT_FAILED;
    }
    error_count = arg_parse(argc, argv, argument_table);
    if (parsed.help->count > 0) {
        print_help(argument_table);
    }
    else if (parsed.version->count > 0) {
        printf("savoryledgectl %s\n", SAVORYLEDGE_VERSION);
    }
    else if (error_count > 0) {
        arg_print_errors(stderr, parsed.end, "savoryledgectl");
        code = SL_EXIT_USAGE;
    }
    else {
        code = run_command(&parsed);
    }
    arg_freetable(argument_table,
                  sizeof(argument_table) / sizeof(argument_table[0]));
    return code;
}
