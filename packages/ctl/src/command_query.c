#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/// Commands that only ask, and those that need no process.

struct object_answer {
    bool json;
    bool as_list;
    uint32_t count;
    enum SlStatus refusal;
    FILE *out;
};

static enum SlStatus
take_object(void *context, const struct SlMessage *answer, bool *done)
{
    struct object_answer *taken = context;

    if (answer == NULL) {
        taken->count = 0;
        rewind(taken->out);
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
    if (taken->json && taken->as_list && taken->count > 0) {
        fputs(",\n", taken->out);
    }
    taken->count++;
    SlPrint_Object(taken->out, taken->json, &answer->object.object);
    return SL_OK;
}

/// Prints into memory first: an answer may break off and come again from
/// another process.
static enum SlStatus
ask_objects(struct SlCtl *ctl, const struct SlQuery *query,
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
    status = SlCtl_Ask(ctl, &message, take_object, answer);
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
    const char *kind = ctl->options.words[0];

    query->query = SL_QUERY_OBJECTS;
    query->kind = SlKind_FromName(kind);
    if (query->kind == SL_KIND_NONE) {
        SlCtl_Usage(kind, "not a kind; allowed: service, zone, group, "
                          "upstream, entry, node");
        return false;
    }
    if (ctl->options.word_count > 1) {
        const char *name = ctl->options.words[1];

        if (strlen(name) >= SL_NAME_BYTES) {
            SlCtl_Usage(name, "a name has at most %d characters",
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
    status = ask_objects(ctl, &query, &answer);
    if (status != SL_OK) {
        return SlCtl_Unreachable(status);
    }
    if (answer.count == 0) {
        fprintf(stderr, "savoryledgectl: there is no %s \"%s\"\n",
                ctl->options.words[0], ctl->options.words[1]);
        return SL_EXIT_NOT_FOUND;
    }
    if (ctl->options.json) {
        putchar('\n');
    }
    return SL_EXIT_GOOD;
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
    status = ask_objects(ctl, &query, &answer);
    return status == SL_OK ? SL_EXIT_GOOD : SlCtl_Unreachable(status);
}

struct text_answer {
    bool json;
    enum SlStatus status;
};

static enum SlStatus
take_text(void *context, const struct SlMessage *answer, bool *done)
{
    struct text_answer *taken = context;

    if (answer == NULL) {
        return SL_OK;
    }
    if (answer->kind != SL_MESSAGE_TEXT) {
        return SL_OK;
    }
    *done = true;
    taken->status = answer->text.status;
    if (taken->status == SL_OK) {
        SlPrint_Lines(taken->json, answer->text.text,
                      answer->text.length_bytes);
    }
    else {
        fprintf(stderr, "savoryledgectl: %s: %.*s\n",
                SlStatus_Name(taken->status), (int)answer->text.length_bytes,
                answer->text.text ? answer->text.text : "");
    }
    return SL_OK;
}

static int
run_text(struct SlCtl *ctl, const struct SlQuery *query)
{
    struct SlMessage message = {.kind = SL_MESSAGE_QUERY, .query = *query};
    struct text_answer answer = {.json = ctl->options.json};
    enum SlStatus status = SlCtl_Ask(ctl, &message, take_text, &answer);

    if (status != SL_OK) {
        return SlCtl_Unreachable(status);
    }
    return answer.status == SL_OK ? SL_EXIT_GOOD : SL_EXIT_FAILED;
}

int
SlCtl_Status(struct SlCtl *ctl)
{
    struct SlQuery query = {.query = SL_QUERY_STATUS};

    return run_text(ctl, &query);
}

int
SlCtl_Metrics(struct SlCtl *ctl)
{
    struct SlQuery query = {.query = SL_QUERY_METRICS};

    return run_text(ctl, &query);
}

int
SlCtl_RecordOn(struct SlCtl *ctl)
{
    struct SlQuery query = {.query = SL_QUERY_RECORD};
    const char *file = ctl->options.words[0];

    if (strlen(file) >= sizeof(query.name)) {
        return SlCtl_Usage(file, "a file name has at most %zu characters",
                           sizeof(query.name) - 1);
    }
    snprintf(query.name, sizeof(query.name), "%s", file);
    return run_text(ctl, &query);
}

int
SlCtl_RecordOff(struct SlCtl *ctl)
{
    struct SlQuery query = {.query = SL_QUERY_RECORD};

    return run_text(ctl, &query);
}

int
SlCtl_KeyNew(struct SlCtl *ctl)
{
    struct SlError error;

    if (SlKey_CreateFile(ctl->options.words[0], &error) != SL_OK) {
        return SlCtl_Usage(ctl->options.words[0], "%s", error.message);
    }
    return SL_EXIT_GOOD;
}
