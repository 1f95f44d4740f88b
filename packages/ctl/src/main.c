#include <argtable2.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

enum {
    DEFAULT_TIMEOUT_MS = 10 * 1000,
    MAX_TIMEOUT_MS = 3600 * 1000,
    US_PER_MS = 1000,
    TRY_US = 2 * 1000 * 1000,
    MAX_LABEL_OPTIONS = 8,
    /// Options that point into argv are numbered by this table.
    MAX_ERRORS = 8,
};

struct arguments {
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
    struct arg_str *words;
    struct arg_end *end;
};

static void
make_table(struct arguments *made)
{
    *made = (struct arguments){
        .control = arg_str0("C", "control", "ADDR[,ADDR...]",
                            "processes to ask, one after the other"),
        .key_file = arg_file0("k", "key-file", "FILE", "the site's key"),
        .json = arg_lit0("j", "json", "answer in JSON"),
        .timeout = arg_int0("t", "timeout-ms", "N",
                            "time for the whole command (10000)"),
        .expect = arg_str0(NULL, "expect", "VERSION",
                           "change only this version of the object"),
        .client = arg_str0(NULL, "client", "N", "for a resend: its client"),
        .request = arg_str0(NULL, "request", "N", "its request number"),
        .base = arg_str0(NULL, "base", "VERSION", "its base version"),
        .hold = arg_str0(NULL, "hold", "KEY", "who keeps it out ($USER)"),
        .reason = arg_str0(NULL, "reason", "TEXT", "why"),
        .selector = arg_str0(NULL, "selector", "TERMS",
                             "k=v, k!=v, k in (a,b), k not in (a,b), k, !k"),
        .address = arg_str0(NULL, "address", "IP:PORT", "of a service"),
        .protocol = arg_str0(NULL, "protocol", "udp|tcp", "of a service"),
        .silence = arg_int0(NULL, "silence-ms", "N",
                            "of a service: data unanswered this long ends "
                            "the flow"),
        .idle = arg_int0(NULL, "idle-ms", "N",
                         "of a service: a silent UDP flow ends"),
        .label = arg_strn(NULL, "label", "KEY=VALUE", 0, MAX_LABEL_OPTIONS,
                          "labels of the new object"),
        .help = arg_lit0("h", "help", "print this text"),
        .version = arg_lit0(NULL, "version", "print the version"),
        .words = arg_strn(NULL, NULL, "COMMAND", 0, SL_CTL_WORDS_MAX, NULL),
        .end = arg_end(MAX_ERRORS),
    };
}

static void
print_help(void **table)
{
    printf("Usage: savoryledgectl [OPTION]... COMMAND\n\nCommands:\n");
    for (const struct SlCommand *at = SL_COMMANDS; at->first != NULL; at++) {
        printf("  %-50s %s\n", at->usage, at->meaning);
    }
    printf("\nKIND is service, zone, group, or node (also: upstream, "
           "entry).\n\nOptions:\n");
    arg_print_glossary(stdout, table, "  %-30s %s\n");
    printf("\nExit codes: 0 done; 1 refused or failed; 2 a wrong word, "
           "nothing changed;\n"
           "  3 conflict: the present object is shown; 4 no answer: the "
           "outcome of a\n"
           "  change is unknown, and the text tells how to send it again; "
           "5 not found.\n");
}

static const struct SlCommand *
find_command(const struct arg_str *words)
{
    for (const struct SlCommand *at = SL_COMMANDS; at->first != NULL; at++) {
        if (strcmp(words->sval[0], at->first) != 0) {
            continue;
        }
        if (at->second == NULL ||
            (words->count > 1 && strcmp(words->sval[1], at->second) == 0)) {
            return at;
        }
    }
    return NULL;
}

static int
refuse_command(const struct arg_str *words)
{
    for (const struct SlCommand *at = SL_COMMANDS; at->first != NULL; at++) {
        if (strcmp(words->sval[0], at->first) == 0) {
            return SlCtl_Usage(words->count > 1 ? words->sval[1]
                                                : words->sval[0],
                               "not a command; allowed: %s", at->usage);
        }
    }
    return SlCtl_Usage(words->sval[0], "not a command; --help lists them all");
}

static int
read_words(const struct SlCommand *command, const struct arg_str *words,
           struct SlCtlOptions *options)
{
    uint32_t own = command->second == NULL ? 1 : 2;

    options->word_count = (uint32_t)words->count - own;
    for (uint32_t i = 0; i < options->word_count; i++) {
        options->words[i] = words->sval[own + i];
    }
    if (options->word_count < command->min_words) {
        return SlCtl_Usage(words->sval[words->count - 1],
                           "something is missing after it; usage: %s",
                           command->usage);
    }
    if (options->word_count > command->max_words) {
        return SlCtl_Usage(options->words[command->max_words],
                           "one word too many; usage: %s", command->usage);
    }
    return SL_EXIT_GOOD;
}

/// Options that the command does not take are an error, never ignored.
static int
check_taken(const struct SlCommand *command, const struct arguments *arguments)
{
    const struct {
        int count;
        uint32_t bit;
        const char *name;
    } given[] = {
        {arguments->expect->count, SL_TAKES_EXPECT, "--expect"},
        {arguments->client->count, SL_TAKES_REQUEST, "--client"},
        {arguments->request->count, SL_TAKES_REQUEST, "--request"},
        {arguments->base->count, SL_TAKES_REQUEST, "--base"},
        {arguments->hold->count, SL_TAKES_HOLD, "--hold"},
        {arguments->reason->count, SL_TAKES_HOLD, "--reason"},
        {arguments->selector->count, SL_TAKES_SELECTOR, "--selector"},
        {arguments->address->count, SL_TAKES_SERVICE, "--address"},
        {arguments->protocol->count, SL_TAKES_SERVICE, "--protocol"},
        {arguments->silence->count, SL_TAKES_SERVICE, "--silence-ms"},
        {arguments->idle->count, SL_TAKES_SERVICE, "--idle-ms"},
        {arguments->label->count, SL_TAKES_LABELS, "--label"},
    };

    for (size_t i = 0; i < sizeof(given) / sizeof(given[0]); i++) {
        if (given[i].count > 0 && !(command->takes & given[i].bit)) {
            return SlCtl_Usage(given[i].name, "not an option of \"%s\"",
                               command->usage);
        }
    }
    return SL_EXIT_GOOD;
}

static const char *
text_of(const struct arg_str *argument)
{
    return argument->count > 0 ? argument->sval[0] : NULL;
}

static int
read_addresses(const char *text, struct SlCtlOptions *options)
{
    char *copy = strdup(text);
    char *rest = copy;
    char *part;
    int code = SL_EXIT_GOOD;

    while (code == SL_EXIT_GOOD && (part = strsep(&rest, ",")) != NULL) {
        struct SlAddress *address = &options->control[options->control_count];

        if (options->control_count == SL_CTL_ADDRESSES_MAX ||
            SlAddress_Parse(part, address) != SL_OK || address->port == 0) {
            code = SlCtl_Usage(part,
                               "not one of at most %d addresses "
                               "IPV4:PORT or [IPV6]:PORT",
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
    const char *text = text_of(argument);
    char *end;

    if (text == NULL) {
        return SL_EXIT_GOOD;
    }
    *number = strtoull(text, &end, 10);
    if (text[0] < '0' || text[0] > '9' || *end != '\0' || *number == 0) {
        return SlCtl_Usage(text, "not a number from 1 on, for %s", name);
    }
    return SL_EXIT_GOOD;
}

static int
read_version(const char *name, const struct arg_str *argument,
             struct SlVersion *version)
{
    const char *text = text_of(argument);

    if (text != NULL && !SlCtl_ParseVersion(text, version)) {
        return SlCtl_Usage(text, "not TERM.INDEX, for %s", name);
    }
    return SL_EXIT_GOOD;
}

static int
read_millis(const char *name, const struct arg_int *argument, int max,
            uint32_t *millis)
{
    if (argument->count == 0) {
        return SL_EXIT_GOOD;
    }
    if (argument->ival[0] < 1 || argument->ival[0] > max) {
        return SlCtl_Usage(name, "%d is not from 1 to %d", argument->ival[0],
                           max);
    }
    *millis = (uint32_t)argument->ival[0];
    return SL_EXIT_GOOD;
}

static int
read_labels(const struct arg_str *argument, struct SlLabels *labels)
{
    for (int i = 0; i < argument->count; i++) {
        const char *text = argument->sval[i];
        const char *equals = strchr(text, '=');
        char key[SL_LABEL_KEY_BYTES];

        if (equals == NULL || equals - text >= SL_LABEL_KEY_BYTES) {
            return SlCtl_Usage(text, "not KEY=VALUE");
        }
        snprintf(key, sizeof(key), "%.*s", (int)(equals - text), text);
        if (SlLabels_Set(labels, key, equals + 1) != SL_OK) {
            return SlCtl_Usage(text, "not a label: letters, digits, \"-\", "
                                     "\"_\", \".\" and \"/\"");
        }
    }
    return SL_EXIT_GOOD;
}

static int
read_options(const struct arguments *arguments, struct SlCtlOptions *options)
{
    uint32_t timeout_ms = DEFAULT_TIMEOUT_MS;
    int code = SL_EXIT_GOOD;

    options->json = arguments->json->count > 0;
    options->hold = text_of(arguments->hold);
    options->reason = text_of(arguments->reason);
    options->selector = text_of(arguments->selector);
    options->address = text_of(arguments->address);
    options->protocol = text_of(arguments->protocol);
    options->has_base = arguments->base->count > 0;
    options->key_file = arguments->key_file->count > 0
                            ? arguments->key_file->filename[0]
                            : NULL;
    code |= read_number("--client", arguments->client, &options->client);
    code |= read_number("--request", arguments->request, &options->request);
    code |= read_version("--expect", arguments->expect, &options->expect);
    code |= read_version("--base", arguments->base, &options->base);
    code |= read_millis("--timeout-ms", arguments->timeout, MAX_TIMEOUT_MS,
                        &timeout_ms);
    code |= read_millis("--silence-ms", arguments->silence, 3600000,
                        &options->silence_ms);
    code |=
        read_millis("--idle-ms", arguments->idle, 86400000, &options->idle_ms);
    code |= read_labels(arguments->label, &options->labels);
    options->timeout_us = (uint64_t)timeout_ms * US_PER_MS;
    if (arguments->control->count > 0) {
        code |= read_addresses(arguments->control->sval[0], options);
    }
    return code;
}

/// Commands that speak with no process need neither address nor key.
static bool
is_local(const struct SlCommand *command)
{
    return strcmp(command->first, "key") == 0 ||
           strcmp(command->first, "explain") == 0;
}

static int
run(const struct arguments *arguments)
{
    struct SlCtl ctl = {.try_us = TRY_US};
    const struct SlCommand *command;
    int code;

    if (arguments->words->count == 0) {
        return SlCtl_Usage(NULL, "no command; --help lists them all");
    }
    command = find_command(arguments->words);
    if (command == NULL) {
        return refuse_command(arguments->words);
    }
    code = read_words(command, arguments->words, &ctl.options);
    if (code == SL_EXIT_GOOD) {
        code = check_taken(command, arguments);
    }
    if (code == SL_EXIT_GOOD) {
        code = read_options(arguments, &ctl.options);
    }
    if (code == SL_EXIT_GOOD && !is_local(command) &&
        (ctl.options.control_count == 0 || ctl.options.key_file == NULL)) {
        code = SlCtl_Usage(ctl.options.control_count == 0 ? "--control"
                                                          : "--key-file",
                           "is missing");
    }
    if (code == SL_EXIT_GOOD) {
        code = command->run(&ctl);
    }
    SlClient_Destroy(ctl.conversation);
    return code;
}

int
main(int argc, char **argv)
{
    struct arguments made;
    int faults;
    int code = SL_EXIT_GOOD;

    make_table(&made);
    void *table[] = {made.control,  made.key_file, made.json,     made.timeout,
                     made.expect,   made.client,   made.request,  made.base,
                     made.hold,     made.reason,   made.selector, made.address,
                     made.protocol, made.silence,  made.idle,     made.label,
                     made.help,     made.version,  made.words,    made.end};

    if (arg_nullcheck(table) != 0) {
        fputs("savoryledgectl: no memory\n", stderr);
        return SL_EXIT_FAILED;
    }
    faults = arg_parse(argc, argv, table);
    if (made.help->count > 0) {
        print_help(table);
    }
    else if (made.version->count > 0) {
        printf("savoryledgectl %s\n", SAVORYLEDGE_VERSION);
    }
    else if (faults > 0) {
        arg_print_errors(stderr, made.end, "savoryledgectl");
        code = SL_EXIT_USAGE;
    }
    else {
        code = run(&made);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return code;
}
