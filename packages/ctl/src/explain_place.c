/// The command explain place: asks an entry where it would offer a flow.

#include <string.h>

#include "ctl.h"

enum {
    COLUMN_WIDTH = 10,
};

struct place_answer {
    bool json;
    enum SlStatus status;
    /// The number of the candidate whose line is being printed.
    char rank[8];
};

struct entry_search {
    bool found;
    struct SlAddress link;
};

static void
split_key(const char *key, char rank[8], const char **field)
{
    static const char PREFIX[] = "candidate.";
    size_t length;

    rank[0] = '\0';
    *field = key;
    if (strncmp(key, PREFIX, sizeof(PREFIX) - 1) == 0) {
        key += sizeof(PREFIX) - 1;
        length = strcspn(key, ".");
        snprintf(rank, 8, "%.*s", (int)length, key);
        *field = key + length + (key[length] == '.');
    }
}

/// Prints the column titles, from the keys of the first candidate.
static void
print_title(void *context, const char *key, const char *value)
{
    char rank[8];
    const char *field;

    (void)context;
    (void)value;
    split_key(key, rank, &field);
    if (strcmp(rank, "1") == 0) {
        printf("%-*s ",
               (int)strlen(field) > COLUMN_WIDTH ? (int)strlen(field)
                                                 : COLUMN_WIDTH,
               field);
    }
}

/// Prints a line for each candidate.
static void
print_cell(void *context, const char *key, const char *value)
{
    struct place_answer *answer = context;
    char rank[8];
    const char *field;

    split_key(key, rank, &field);
    if (rank[0] == '\0') {
        return;
    }
    if (strcmp(rank, answer->rank) != 0) {
        putchar('\n');
        memcpy(answer->rank, rank, sizeof(rank));
    }
    printf("%-*s ",
           (int)strlen(field) > COLUMN_WIDTH ? (int)strlen(field)
                                             : COLUMN_WIDTH,
           value);
}

static void
print_general(void *context, const char *key, const char *value)
{
    char rank[8];
    const char *field;

    (void)context;
    split_key(key, rank, &field);
    if (rank[0] == '\0') {
        printf("%s=%s\n", key, value);
    }
}

static enum SlStatus
on_explanation(void *context, const struct SlMessage *message, bool *done)
{
    struct place_answer *answer = context;
    const struct SlText *text;

    if (message == NULL || message->kind != SL_MESSAGE_TEXT) {
        return SL_OK;
    }
    text = &message->text;
    *done = true;
    answer->status = text->status;
    if (text->status != SL_OK) {
        fprintf(stderr, "savoryledgectl: %s: %.*s\n",
                SlStatus_Name(text->status), (int)text->length_bytes,
                text->text ? text->text : "");
        return SL_OK;
    }
    if (answer->json) {
        SlPrint_Lines(true, text->text, text->length_bytes);
        return SL_OK;
    }
    SlCtl_ForEachLine(text, print_general, answer);
    SlCtl_ForEachLine(text, print_title, answer);
    SlCtl_ForEachLine(text, print_cell, answer);
    putchar('\n');
    return SL_OK;
}

static enum SlStatus
on_entry(void *context, const struct SlMessage *answer, bool *done)
{
    struct entry_search *search = context;

    if (answer == NULL) {
        search->found = false;
        return SL_OK;
    }
    if (answer->kind != SL_MESSAGE_OBJECT) {
        *done = true;
        return SL_AGAIN;
    }
    *done = answer->object.end;
    if (!answer->object.end) {
        search->found = true;
        search->link = answer->object.object.node.link;
    }
    return SL_OK;
}

/// Finds the link address of an entry, which is given by that address or by
/// its name. Returns a value of enum SlCtlExit.
static int
find_entry(struct SlCtl *ctl, const char *entry, struct SlAddress *link)
{
    struct entry_search search = {.found = false};
    struct SlMessage message = {
        .kind = SL_MESSAGE_QUERY,
        .query = {.query = SL_QUERY_OBJECTS, .kind = SL_KIND_NODE}};
    enum SlStatus status;

    if (SlAddress_Parse(entry, link) == SL_OK && link->port != 0) {
        return SL_EXIT_SUCCESS;
    }
    if (entry[0] == '\0' || strlen(entry) >= sizeof(message.query.name)) {
        return SlCtl_ReportUsageError(entry, "is not the name of a process");
    }
    if (ctl->options.control_count == 0) {
        return SlCtl_ReportUsageError(
            "--control", "this option is required to find an entry by name");
    }
    snprintf(message.query.name, sizeof(message.query.name), "%s", entry);
    status = SlCtl_SendRequest(ctl, &message, on_entry, &search);
    if (status != SL_OK) {
        return SlCtl_ReportUnreachable(status);
    }
    if (!search.found) {
        fprintf(stderr, "savoryledgectl: there is no process \"%s\"\n", entry);
        return SL_EXIT_NOT_FOUND;
    }
    *link = search.link;
    return SL_EXIT_SUCCESS;
}

static int
read_flow(const struct SlCtlOptions *options, char name[SL_NAME_BYTES])
{
    struct SlFlowKey flow = {.protocol = 6};
    char text[SL_FLOW_TEXT_BYTES];

    if (SlAddress_Parse(options->arguments[0], &flow.caller) != SL_OK) {
        return SlCtl_ReportUsageError(options->arguments[0],
                                      "is not the address of a caller");
    }
    if (SlAddress_Parse(options->arguments[1], &flow.service) != SL_OK ||
        flow.service.port == 0) {
        return SlCtl_ReportUsageError(options->arguments[1],
                                      "is not ADDRESS:PORT");
    }
    SlFlowKey_Format(&flow, text);
    if (strlen(text) >= SL_NAME_BYTES) {
        return SlCtl_ReportUsageError(
            text, "a flow key has at most %d characters here",
            SL_NAME_BYTES - 1);
    }
    snprintf(name, SL_NAME_BYTES, "%s", text);
    return SL_EXIT_SUCCESS;
}

int
SlCtl_ExplainPlace(struct SlCtl *ctl)
{
    struct place_answer answer = {.json = ctl->options.json};
    struct SlMessage message = {.kind = SL_MESSAGE_QUERY,
                                .query = {.query = SL_QUERY_PLACE}};
    struct SlAddress link;
    enum SlStatus status;
    int code = read_flow(&ctl->options, message.query.name);

    if (code == SL_EXIT_SUCCESS && ctl->options.key_file == NULL) {
        code = SlCtl_ReportUsageError("--key-file", "this option is required");
    }
    if (code == SL_EXIT_SUCCESS) {
        code = find_entry(ctl, ctl->options.arguments[2], &link);
    }
    if (code != SL_EXIT_SUCCESS) {
        return code;
    }
    status =
        SlCtl_SendRequestTo(ctl, &link, &message, on_explanation, &answer);
    if (status != SL_OK) {
        fprintf(stderr,
                "savoryledgectl: the entry did not answer (%s); a process "
                "that does not know the question closes the link\n",
                SlStatus_Name(status));
        return SL_EXIT_UNREACHABLE;
    }
    if (answer.status == SL_NOT_FOUND) {
        return SL_EXIT_NOT_FOUND;
    }
    return answer.status == SL_OK ? SL_EXIT_SUCCESS : SL_EXIT_FAILED;
}
