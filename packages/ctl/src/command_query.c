#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/// Commands that query a process or switch its recording, and the command that
/// creates a key.

/// State of printing the objects of an answer.
struct object_answer {
    bool json;
    bool as_list;
    uint32_t count;
    enum SlStatus refusal;
    FILE *out;
};

static enum SlStatus
on_object(void *context, const struct SlMessage *answer, bool *done)
{
    struct object_answer *received = context;

    if (answer == NULL) {
        received->count = 0;
        rewind(received->out);
        return SL_OK;
    }
    if (answer->kind == SL_MESSAGE_TEXT) {
        *done = true;
        return SL_AGAIN;
    }
    if (answer->kind != SL_MESSAGE_OBJECT) {
        return SL_OK;
    }
    if (answer->object.end) {
        *done = true;
        return SL_OK;
    }
    if (received->json && received->as_list && received->count > 0) {
        fputs(",\n", received->out);
    }
    received->count++;
    SlPrint_Object(received->out, received->json, &answer->object.object);
    return SL_OK;
}

/// Queries objects and prints them. The text is collected in memory first,
/// because an answer may end early and start again from another process.
static enum SlStatus
query_objects(struct SlCtl *ctl, const struct SlQuery *query,
              struct object_answer *answer)
{
    struct SlMessage message = {.kind = SL_MESSAGE_QUERY, .query = *query};
    char *text = NULL;
    size_t length = 0;
    enum SlStatus status;

    answer->out = open_memstream(&text, &length);
    if (answer->out == NULL) {
        return SL_NO_MEMORY;
    }
    status = SlCtl_SendRequest(ctl, &message, on_object, answer);
    fclose(answer->out);
    if (status == SL_OK && answer->json && answer->as_list) {
        printf("[%.*s]\n", (int)length, text);
    }
    else if (status == SL_OK) {
        fwrite(text, 1, length, stdout);
    }
    free(text);
    return status;
}

static bool
read_query(const struct SlCtl *ctl, struct SlQuery *query)
{
    const char *kind = ctl->options.arguments[0];

    query->query = SL_QUERY_OBJECTS;
    query->kind = SlKind_FromName(kind);
    if (query->kind == SL_KIND_NONE) {
        SlCtl_ReportUsageError(kind,
                               "not a kind; allowed: service, zone, group, "
                               "upstream, entry, node");
        return false;
    }
    if (ctl->options.argument_count > 1) {
        const char *name = ctl->options.arguments[1];

        if (strlen(name) >= SL_NAME_BYTES) {
            SlCtl_ReportUsageError(name, "a name has at most %d characters",
                                   SL_NAME_BYTES - 1);
            return false;
        }
        snprintf(query->name, sizeof(query->name), "%s", name);
    }
    return true;
}

int
SlCtl_Show(struct SlCtl *ctl)
{
    struct object_answer answer = {.json = ctl->options.json};
    struct SlQuery query = {.query = SL_QUERY_NONE};
    enum SlStatus status;

    if (!read_query(ctl, &query)) {
        return SL_EXIT_USAGE;
    }
    status = query_objects(ctl, &query, &answer);
    if (status != SL_OK) {
        return SlCtl_ReportUnreachable(status);
    }
    if (answer.count == 0) {
        fprintf(stderr, "savoryledgectl: there is no %s \"%s\"\n",
                ctl->options.arguments[0], ctl->options.arguments[1]);
        return SL_EXIT_NOT_FOUND;
    }
    if (ctl->options.json) {
        putchar('\n');
    }
    return SL_EXIT_SUCCESS;
}

int
SlCtl_List(struct SlCtl *ctl)
{
    struct object_answer answer = {.json = ctl->options.json, .as_list = true};
    struct SlQuery query = {.query = SL_QUERY_NONE};
    enum SlStatus status;

    if (!read_query(ctl, &query)) {
        return SL_EXIT_USAGE;
    }
    status = query_objects(ctl, &query, &answer);
    return status == SL_OK ? SL_EXIT_SUCCESS : SlCtl_ReportUnreachable(status);
}

struct text_answer {
    bool json;
    enum SlStatus status;
};

static enum SlStatus
on_text(void *context, const struct SlMessage *answer, bool *done)
{
    struct text_answer *received = context;

    if (answer == NULL) {
        return SL_OK;
    }
    if (answer->kind != SL_MESSAGE_TEXT) {
        return SL_OK;
    }
    *done = true;
    received->status = answer->text.status;
    if (received->status == SL_OK) {
        SlPrint_Lines(received->json, answer->text.text,
                      answer->text.length_bytes);
    }
    else {
        fprintf(stderr, "savoryledgectl: %s: %.*s\n",
                SlStatus_Name(received->status),
                (int)answer->text.length_bytes,
                answer->text.text ? answer->text.text : "");
    }
    return SL_OK;
}

static int
query_text(struct SlCtl *ctl, const struct SlQuery *query)
{
    struct SlMessage message = {.kind = SL_MESSAGE_QUERY, .query = *query};
    struct text_answer answer = {.json = ctl->options.json};
    enum SlStatus status = SlCtl_SendRequest(ctl, &message, on_text, &answer);

    if (status != SL_OK) {
        return SlCtl_ReportUnreachable(status);
    }
    return answer.status == SL_OK ? SL_EXIT_SUCCESS : SL_EXIT_FAILED;
}

int
SlCtl_Status(struct SlCtl *ctl)
{
    struct SlQuery query = {.query = SL_QUERY_STATUS};

    return query_text(ctl, &query);
}

int
SlCtl_Metrics(struct SlCtl *ctl)
{
    struct SlQuery query = {.query = SL_QUERY_METRICS};

    return query_text(ctl, &query);
}

int
SlCtl_RecordOn(struct SlCtl *ctl)
{
    struct SlQuery query = {.query = SL_QUERY_RECORD};
    const char *file = ctl->options.arguments[0];

    if (strlen(file) >= sizeof(query.name)) {
        return SlCtl_ReportUsageError(file,
                                      "a file name has at most %zu characters",
                                      sizeof(query.name) - 1);
    }
    snprintf(query.name, sizeof(query.name), "%s", file);
    return query_text(ctl, &query);
}

int
SlCtl_RecordOff(struct SlCtl *ctl)
{
    struct SlQuery query = {.query = SL_QUERY_RECORD};

    return query_text(ctl, &query);
}

int
SlCtl_KeyNew(struct SlCtl *ctl)
{
    struct SlError error;

    if (SlKey_CreateFile(ctl->options.arguments[0], &error) != SL_OK) {
        return SlCtl_ReportUsageError(ctl->options.arguments[0], "%s",
                                      error.message);
    }
    return SL_EXIT_SUCCESS;
}
