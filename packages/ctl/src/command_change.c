#include <inttypes.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/// Commands that change the configuration.

/// The request that an answer must match, and its result.
struct change_answer {
    uint64_t client;
    uint64_t request;
    bool has_result;
    struct SlResult result;
};

static enum SlStatus
on_result(void *context, const struct SlMessage *answer, bool *done)
{
    struct change_answer *expected = context;

    if (answer == NULL) {
        return SL_OK;
    }
    if (answer->kind != SL_MESSAGE_RESULT ||
        answer->result.client != expected->client ||
        answer->result.request != expected->request) {
        return SL_OK;
    }
    expected->result = answer->result.result;
    expected->has_result = true;
    *done = true;
    switch (expected->result.status) {
    case SL_NOT_LEADER:
    case SL_NO_QUORUM:
    case SL_STALE:
        return SL_AGAIN;
    default:
        return SL_OK;
    }
}

static void
read_version_line(void *context, const char *key, const char *value)
{
    if (strcmp(key, "version") == 0) {
        SlCtl_ParseVersion(value, context);
    }
}

static enum SlStatus
on_base_status(void *context, const struct SlMessage *answer, bool *done)
{
    if (answer != NULL && answer->kind == SL_MESSAGE_TEXT) {
        *done = true;
        SlCtl_ForEachLine(&answer->text, read_version_line, context);
    }
    return SL_OK;
}

/// Sets the client, the request number, the expected version and the base
/// version of a change. The base is a version that was known before the change
/// was first sent; without --base the present
/// version is queried.
static enum SlStatus
complete_change(struct SlCtl *ctl, struct SlChange *change)
{
    struct SlMessage message = {.kind = SL_MESSAGE_QUERY};

    message.query.query = SL_QUERY_STATUS;
    change->client = ctl->options.client;
    change->request = ctl->options.request ? ctl->options.request : 1;
    change->expected = ctl->options.expect;
    while (change->client == 0) {
        randombytes_buf(&change->client, sizeof(change->client));
        /* Clears the top bit, because events print the number as signed. */
        change->client >>= 1;
    }
    if (ctl->options.has_base) {
        change->base = ctl->options.base;
        return SL_OK;
    }
    return SlCtl_SendRequest(ctl, &message, on_base_status, &change->base);
}

static int
exit_code(enum SlStatus status)
{
    switch (status) {
    case SL_OK:
        return SL_EXIT_SUCCESS;
    case SL_CONFLICT:
        return SL_EXIT_CONFLICT;
    case SL_NOT_FOUND:
        return SL_EXIT_NOT_FOUND;
    case SL_INVALID:
    case SL_MALFORMED:
        return SL_EXIT_USAGE;
    case SL_NOT_LEADER:
    case SL_NO_QUORUM:
    case SL_STALE:
        return SL_EXIT_UNREACHABLE;
    default:
        return SL_EXIT_FAILED;
    }
}

int
SlCtl_RunChange(struct SlCtl *ctl, struct SlChange *change)
{
    struct SlMessage message = {.kind = SL_MESSAGE_CHANGE};
    struct change_answer answer = {.has_result = false};
    struct SlError error = {.status = SL_OK};
    enum SlStatus status;

    if (SlChange_Check(change, &error) != SL_OK) {
        return SlCtl_ReportUsageError(NULL, "%s", error.message);
    }
    status = complete_change(ctl, change);
    if (status != SL_OK) {
        fputs("the change was not sent\n", stderr);
        return SlCtl_ReportUnreachable(status);
    }
    message.change = *change;
    answer.client = change->client;
    answer.request = change->request;
    status = SlCtl_SendRequest(ctl, &message, on_result, &answer);
    if (status != SL_OK) {
        fprintf(stderr,
                "the outcome is unknown; to resend the same request, add: "
                "--client %" PRIu64 " --request %" PRIu64 " --base %" PRIu64
                ".%" PRIu64 "\n",
                change->client, change->request, change->base.term,
                change->base.index);
        return SlCtl_ReportUnreachable(answer.has_result ? answer.result.status
                                                         : status);
    }
    SlPrint_Result(ctl->options.json, &answer.result);
    return exit_code(answer.result.status);
}

/// Reads KIND and NAME from the first two arguments. Returns false after it
/// reported an unknown kind or a name that is too long.
static bool
read_target(const struct SlCtl *ctl, struct SlChange *change)
{
    const char *kind = ctl->options.arguments[0];
    const char *name = ctl->options.arguments[1];

    change->object.kind = SlKind_FromName(kind);
    if (change->object.kind == SL_KIND_NONE) {
        SlCtl_ReportUsageError(kind,
                               "not a kind; allowed: service, zone, group, "
                               "upstream, entry, node");
        return false;
    }
    if (strlen(name) >= SL_NAME_BYTES) {
        SlCtl_ReportUsageError(name, "a name has at most %d characters",
                               SL_NAME_BYTES - 1);
        return false;
    }
    snprintf(change->object.name, SL_NAME_BYTES, "%s", name);
    return true;
}

static bool
read_selector(const char *text, struct SlChange *change)
{
    struct SlError error = {.status = SL_OK};

    if (text == NULL) {
        return true;
    }
    if (strlen(text) >= SL_SELECTOR_BYTES) {
        SlCtl_ReportUsageError(text, "a selector has at most %d characters",
                               SL_SELECTOR_BYTES - 1);
        return false;
    }
    if (SlSelector_Check(text, &error) != SL_OK) {
        SlCtl_ReportUsageError(text, "%s", error.message);
        return false;
    }
    snprintf(change->object.selector, SL_SELECTOR_BYTES, "%s", text);
    return true;
}

static bool
read_service(const struct SlCtlOptions *options, struct SlChange *change)
{
    struct SlServiceSpec *service = &change->object.service;
    const char *protocol = options->protocol ? options->protocol : "udp";

    if (options->address == NULL) {
        SlCtl_ReportUsageError("--address",
                               "this option is required for a service");
        return false;
    }
    if (SlAddress_Parse(options->address, &service->address) != SL_OK ||
        service->address.port == 0) {
        SlCtl_ReportUsageError(options->address,
                               "not IPV4:PORT or [IPV6]:PORT");
        return false;
    }
    if (strcmp(protocol, "udp") != 0 && strcmp(protocol, "tcp") != 0) {
        SlCtl_ReportUsageError(protocol, "not a protocol; allowed: udp, tcp");
        return false;
    }
    service->protocol =
        strcmp(protocol, "udp") == 0 ? IPPROTO_UDP : IPPROTO_TCP;
    service->silence_ms = options->silence_ms;
    service->idle_ms = options->idle_ms;
    return true;
}

int
SlCtl_Create(struct SlCtl *ctl)
{
    const struct SlCtlOptions *options = &ctl->options;
    struct SlChange change = {.verb = SL_VERB_CREATE};

    if (!read_target(ctl, &change) ||
        !read_selector(options->selector, &change)) {
        return SL_EXIT_USAGE;
    }
    if (change.object.kind == SL_KIND_SERVICE) {
        if (!read_service(options, &change)) {
            return SL_EXIT_USAGE;
        }
    }
    else if (options->address != NULL || options->protocol != NULL ||
             options->silence_ms != 0 || options->idle_ms != 0) {
        return SlCtl_ReportUsageError(
            options->arguments[0],
            "only a service accepts --address, --protocol, "
            "--silence-ms and --idle-ms");
    }
    change.object.labels = options->labels;
    return SlCtl_RunChange(ctl, &change);
}

/// Reads one argument of "label": KEY=VALUE sets a label, KEY- removes it.
static bool
read_label_argument(const char *argument, struct SlChange *change)
{
    char copy[SL_LABEL_KEY_BYTES + SL_LABEL_VALUE_BYTES + 2];
    size_t length = strlen(argument);
    char *value;

    if (length >= sizeof(copy)) {
        SlCtl_ReportUsageError(argument, "too long for a label");
        return false;
    }
    memcpy(copy, argument, length + 1);
    value = strchr(copy, '=');
    if (value != NULL) {
        *value++ = '\0';
        if (SlLabels_Set(&change->object.labels, copy, value) != SL_OK) {
            SlCtl_ReportUsageError(argument,
                                   "not a valid label, or more than %d labels",
                                   SL_LABELS_MAX);
            return false;
        }
        return true;
    }
    if (length < 2 || copy[length - 1] != '-' ||
        change->unset.count == SL_LABELS_MAX || length > SL_LABEL_KEY_BYTES) {
        SlCtl_ReportUsageError(argument, "neither KEY=VALUE nor KEY-");
        return false;
    }
    copy[length - 1] = '\0';
    snprintf(change->unset.items[change->unset.count++].key,
             SL_LABEL_KEY_BYTES, "%.*s", SL_LABEL_KEY_BYTES - 1, copy);
    return true;
}

int
SlCtl_Label(struct SlCtl *ctl)
{
    struct SlChange change = {.verb = SL_VERB_LABEL};

    if (!read_target(ctl, &change)) {
        return SL_EXIT_USAGE;
    }
    for (uint32_t i = 2; i < ctl->options.argument_count; i++) {
        if (!read_label_argument(ctl->options.arguments[i], &change)) {
            return SL_EXIT_USAGE;
        }
    }
    return SlCtl_RunChange(ctl, &change);
}

int
SlCtl_Select(struct SlCtl *ctl)
{
    struct SlChange change = {.verb = SL_VERB_SELECT};

    if (!read_target(ctl, &change) ||
        !read_selector(ctl->options.arguments[2], &change)) {
        return SL_EXIT_USAGE;
    }
    return SlCtl_RunChange(ctl, &change);
}

int
SlCtl_Delete(struct SlCtl *ctl)
{
    struct SlChange change = {.verb = SL_VERB_DELETE};

    if (!read_target(ctl, &change)) {
        return SL_EXIT_USAGE;
    }
    return SlCtl_RunChange(ctl, &change);
}

/// Returns the user name as the key of the hold: with a hold for each
/// operator, an operator does not release the hold of another by accident.
static const char *
default_hold(void)
{
    const char *user = getenv("USER");

    return user != NULL && user[0] != '\0' ? user : "operator";
}

/// Sends a change that adds or releases a hold of a zone or of an upstream.
/// kind: SL_KIND_NODE for an upstream.
static int
run_hold_change(struct SlCtl *ctl, enum SlVerb verb, enum SlKind kind)
{
    const struct SlCtlOptions *options = &ctl->options;
    struct SlChange change = {.verb = verb, .object = {.kind = kind}};
    const char *name = options->arguments[0];
    const char *reason = options->reason ? options->reason : "unstated";
    const char *hold = options->hold ? options->hold : default_hold();

    if (strlen(name) >= SL_NAME_BYTES) {
        return SlCtl_ReportUsageError(name, "a name has at most %d characters",
                                      SL_NAME_BYTES - 1);
    }
    if (strlen(hold) >= SL_HOLD_KEY_BYTES) {
        return SlCtl_ReportUsageError(hold,
                                      "a hold key has at most %d characters",
                                      SL_HOLD_KEY_BYTES - 1);
    }
    if (strlen(reason) >= SL_HOLD_REASON_BYTES) {
        return SlCtl_ReportUsageError(reason,
                                      "a reason has at most %d characters",
                                      SL_HOLD_REASON_BYTES - 1);
    }
    snprintf(change.object.name, SL_NAME_BYTES, "%s", name);
    snprintf(change.hold.key, SL_HOLD_KEY_BYTES, "%s", hold);
    snprintf(change.hold.reason, SL_HOLD_REASON_BYTES, "%s", reason);
    return SlCtl_RunChange(ctl, &change);
}

int
SlCtl_ZoneOut(struct SlCtl *ctl)
{
    return run_hold_change(ctl, SL_VERB_HOLD, SL_KIND_ZONE);
}

int
SlCtl_ZoneIn(struct SlCtl *ctl)
{
    return run_hold_change(ctl, SL_VERB_RELEASE, SL_KIND_ZONE);
}

int
SlCtl_UpstreamDrain(struct SlCtl *ctl)
{
    return run_hold_change(ctl, SL_VERB_HOLD, SL_KIND_NODE);
}

int
SlCtl_UpstreamEndDrain(struct SlCtl *ctl)
{
    return run_hold_change(ctl, SL_VERB_RELEASE, SL_KIND_NODE);
}

static int
change_member(struct SlCtl *ctl, enum SlVerb verb)
{
    struct SlChange change = {.verb = verb, .object = {.kind = SL_KIND_NODE}};
    const char *name = ctl->options.arguments[0];
    struct SlNodeSpec *node = &change.object.node;

    if (strlen(name) >= SL_NAME_BYTES) {
        return SlCtl_ReportUsageError(name, "a name has at most %d characters",
                                      SL_NAME_BYTES - 1);
    }
    snprintf(change.object.name, SL_NAME_BYTES, "%s", name);
    node->node_id = SlNode_Id(name);
    node->roles = SL_ROLE_CONTROL;
    if (verb == SL_VERB_MEMBER_ADD &&
        (SlAddress_Parse(ctl->options.arguments[1], &node->link) != SL_OK ||
         node->link.port == 0)) {
        return SlCtl_ReportUsageError(ctl->options.arguments[1],
                                      "not IPV4:PORT or [IPV6]:PORT");
    }
    return SlCtl_RunChange(ctl, &change);
}

int
SlCtl_MemberAdd(struct SlCtl *ctl)
{
    return change_member(ctl, SL_VERB_MEMBER_ADD);
}

int
SlCtl_MemberRemove(struct SlCtl *ctl)
{
    return change_member(ctl, SL_VERB_MEMBER_REMOVE);
}
