#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ctl.h"
#include "savoryledge/transport/loop.h"

/// Waits until a version is in force at every process that control takes
/// for reachable. Each control instance knows the versions that its own
/// subscribers hold, so all members are asked.

enum {
    NODES_MAX = 8192,
    /// One silent member must not hold up the rest.
    MEMBER_TRY_US = 500 * 1000,
    ROUND_PAUSE_NS = 100 * 1000 * 1000,
};

struct known_node {
    char name[SL_NAME_BYTES];
    /// The newest version that a control instance heard it holds.
    struct SlVersion holds;
};

struct survey {
    uint32_t member_count;
    struct SlAddress members[SL_CTL_ADDRESSES_MAX];
    struct SlVersion latest;
    uint32_t node_count;
    struct known_node *nodes;
};

static void
note_member(struct survey *survey, const char *value)
{
    const char *address = strchr(value, '@');
    char text[SL_ADDRESS_TEXT_BYTES];
    size_t length;

    if (address == NULL || survey->member_count == SL_CTL_ADDRESSES_MAX) {
        return;
    }
    length = strcspn(address + 1, " ");
    snprintf(text, sizeof(text), "%.*s", (int)length, address + 1);
    if (SlAddress_Parse(text, &survey->members[survey->member_count]) ==
        SL_OK) {
        survey->member_count++;
    }
}

static void
note_status(void *context, const char *key, const char *value)
{
    struct survey *survey = context;
    struct SlVersion version;

    if (strcmp(key, "control_member") == 0) {
        note_member(survey, value);
    }
    if (strcmp(key, "control_applied") == 0 &&
        SlCtl_ParseVersion(value, &version) &&
        SlVersion_Compare(version, survey->latest) > 0) {
        survey->latest = version;
    }
}

static enum SlStatus
take_status(void *context, const struct SlMessage *answer, bool *done)
{
    struct survey *survey = context;

    if (answer == NULL) {
        survey->member_count = 0;
    }
    else if (answer->kind == SL_MESSAGE_TEXT) {
        *done = true;
        SlCtl_EachLine(&answer->text, note_status, survey);
        return survey->member_count > 0 ? SL_OK : SL_AGAIN;
    }
    return SL_OK;
}

static enum SlStatus
take_node(void *context, const struct SlMessage *answer, bool *done)
{
    struct survey *survey = context;
    const struct SlObject *object;

    if (answer == NULL) {
        survey->node_count = 0;
        return SL_OK;
    }
    if (answer->kind != SL_MESSAGE_OBJECT) {
        *done = true;
        return SL_AGAIN;
    }
    if (answer->object.end) {
        *done = true;
        return SL_OK;
    }
    object = &answer->object.object;
    if (!object->node.unreachable && survey->node_count < NODES_MAX) {
        struct known_node *node = &survey->nodes[survey->node_count++];

        *node = (struct known_node){.holds = {.term = 0}};
        memcpy(node->name, object->name, SL_NAME_BYTES);
    }
    return SL_OK;
}

static void
note_holds(void *context, const char *key, const char *value)
{
    static const char PREFIX[] = "holds.";
    struct survey *survey = context;
    struct SlVersion version;

    if (strncmp(key, PREFIX, sizeof(PREFIX) - 1) != 0 ||
        !SlCtl_ParseVersion(value, &version)) {
        return;
    }
    key += sizeof(PREFIX) - 1;
    for (uint32_t i = 0; i < survey->node_count; i++) {
        struct known_node *node = &survey->nodes[i];

        if (strcmp(node->name, key) == 0 &&
            SlVersion_Compare(version, node->holds) > 0) {
            node->holds = version;
        }
    }
}

static enum SlStatus
take_holds(void *context, const struct SlMessage *answer, bool *done)
{
    if (answer != NULL && answer->kind == SL_MESSAGE_TEXT) {
        *done = true;
        SlCtl_EachLine(&answer->text, note_holds, context);
    }
    return SL_OK;
}

static enum SlStatus
survey_once(struct SlCtl *ctl, struct survey *survey)
{
    struct SlMessage status = {.kind = SL_MESSAGE_QUERY,
                               .query = {.query = SL_QUERY_STATUS}};
    struct SlMessage nodes = {
        .kind = SL_MESSAGE_QUERY,
        .query = {.query = SL_QUERY_OBJECTS, .kind = SL_KIND_NODE}};
    struct SlMessage in_force = {.kind = SL_MESSAGE_QUERY,
                                 .query = {.query = SL_QUERY_IN_FORCE}};
    enum SlStatus outcome;

    outcome = SlCtl_Ask(ctl, &nodes, take_node, survey);
    if (outcome == SL_OK) {
        outcome = SlCtl_Ask(ctl, &status, take_status, survey);
    }
    if (outcome != SL_OK) {
        return outcome;
    }
    for (uint32_t i = 0; i < survey->member_count; i++) {
        SlCtl_AskAt(ctl, &survey->members[i], &in_force, take_holds, survey);
    }
    return SL_OK;
}

/// The first process that does not hold the version; NULL when all do.
static const struct known_node *
find_behind(const struct survey *survey, struct SlVersion wanted)
{
    for (uint32_t i = 0; i < survey->node_count; i++) {
        if (SlVersion_Compare(survey->nodes[i].holds, wanted) < 0) {
            return &survey->nodes[i];
        }
    }
    return NULL;
}

static void
print_outcome(const struct SlCtl *ctl, const struct survey *survey,
              struct SlVersion wanted, const struct known_node *behind)
{
    const char *format =
        ctl->options.json
            ? "{\"version\":\"%llu.%llu\",\"nodes\":%u,\"in_force\":%s,"
              "\"behind\":\"%s\"}\n"
            : "version=%llu.%llu nodes=%u in_force=%s behind=%s\n";

    printf(format, (unsigned long long)wanted.term,
           (unsigned long long)wanted.index, survey->node_count,
           behind == NULL ? "true" : "false", behind ? behind->name : "");
}

static void
pause_round(void)
{
    struct timespec pause = {.tv_nsec = ROUND_PAUSE_NS};

    nanosleep(&pause, NULL);
}

static int
wait_for(struct SlCtl *ctl, struct survey *survey, struct SlVersion wanted)
{
    uint64_t deadline_us = SlClock_Monotonic() + ctl->options.timeout_us;
    const struct known_node *behind = NULL;
    enum SlStatus status;

    for (;;) {
        status = survey_once(ctl, survey);
        if (wanted.index == 0) {
            wanted = survey->latest;
        }
        behind = find_behind(survey, wanted);
        if (status == SL_OK && survey->node_count > 0 && behind == NULL) {
            print_outcome(ctl, survey, wanted, NULL);
            return SL_EXIT_GOOD;
        }
        if (SlClock_Monotonic() >= deadline_us) {
            break;
        }
        pause_round();
    }
    if (status != SL_OK) {
        return SlCtl_Unreachable(status);
    }
    print_outcome(ctl, survey, wanted, behind);
    return SL_EXIT_FAILED;
}

int
SlCtl_Wait(struct SlCtl *ctl)
{
    const char *word =
        ctl->options.word_count > 0 ? ctl->options.words[0] : "latest";
    struct survey survey = {.node_count = 0};
    struct SlVersion wanted = {.term = 0};
    int code;

    if (strcmp(word, "latest") != 0 && !SlCtl_ParseVersion(word, &wanted)) {
        return SlCtl_Usage(word, "neither TERM.INDEX nor latest");
    }
    ctl->try_us = MEMBER_TRY_US;
    survey.nodes = calloc(NODES_MAX, sizeof(*survey.nodes));
    if (survey.nodes == NULL) {
        return SL_EXIT_FAILED;
    }
    code = wait_for(ctl, &survey, wanted);
    free(survey.nodes);
    return code;
}
