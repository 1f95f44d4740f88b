#include <inttypes.h>
#include <netinet/in.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "ctl.h"

/// Commands that change the configuration.

struct change_answer {
    uint64_t client;
    uint64_t request;
    bool has_result;
    struct SlResult result;
};

static enum SlStatus
take_result(void *context, const struct SlMessage *answer, bool *done)
{
    struct change_answer *taken = context;

    if (answer == NULL) {
        return SL_OK;
    }
    if (answer->kind != SL_MESSAGE_RESULT ||
        answer->result.client != taken->client ||
        answer->result.request != taken->request) {
        return SL_OK;
    }
    taken->result = answer->result.result;
    taken->has_result = true;
    *done = true;
    switch (taken->result.status) {
    case SL_NOT_LEADER:
    case SL_NO_QUORUM:
    case SL_STALE:
        return SL_AGAIN;
    default:
        return SL_OK;
    }
}

static void
note_version(void *context, const char *key, const char *value)
{
    if (strcmp(key, "version") == 0) {
        SlCtl_ParseVersion(value, context);
    }
}

static enum SlStatus
take_base(void *context, const struct SlMessage *answer, bool *done)
{
    if (answer != NULL && answer->kind == SL_MESSAGE_TEXT) {
        *done = true;
        SlCtl_EachLine(&answer->text, note_version, context);
    }
    return SL_OK;
}

/// Every request tells a version that was known before it was first sent.
static enum SlStatus
fill_request(struct SlCtl *ctl, struct SlChange *change)
{
    struct SlMessage message = {.kind = SL_MESSAGE_QUERY};

    message.query.query = SL_QUERY_STATUS;
    change->client = ctl->options.client;
    change->request = ctl->options.request ? ctl->options.request : 1;
    change->expected = ctl->options.expect;
    while (change->client == 0) {
        randombytes_buf(&change->client, sizeof(change->client));
        /* Events show it as a signed number. */
        change->client >>= 1;
    }
    if (ctl->options.has_base) {
        change->base = ctl->options.base;
        return SL_OK;
    }
    return SlCtl_Ask(ctl, &message, take_base, &change->base);
}

static int
exit_code(enum SlStatus status)
{
    switch (status) {
    case SL_OK:
        return SL_EXIT_GOOD;
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
        return SlCtl_Usage(NULL, "%s", error.message);
    }
    status = fill_request(ctl, change);
    if (status != SL_OK) {
        fputs("nothing was sent\n", stderr);
        return SlCtl_Unreachable(status);
    }
    message.change = *change;
    answer.client = change->client;
    answer.request = change->request;
    status = SlCtl_Ask(ctl, &message, take_result, &answer);
    if (status != SL_OK) {
        fprintf(stderr,
                "the outcome is unknown; the same request again: "
                "--client %" PRIu64 " --request %" PRIu64 " --base %" PRIu64
                ".%" PRIu64 "\n",
                change->client, change->request, change->base.term,
                change->base.index);
        return SlCtl_Unreachable(answer.has_result ? answer.result.status
                                                   : status);
    }
    SlPrint_Result(ctl->options.json, &answer.result);
    return exit_code(answer.result.status);
}

/// Reads KIND and NAME from the first words. Returns false when the kind is
/// not known, after saying so.
static bool
read_target(const struct SlCtl *ctl, struct SlChange *change)
{
    const char *kind = ctl->options.words[0];
    const char *name = ctl->options.words[1];

    change->object.kind = SlKind_FromName(kind);
    if (change->object.kind == SL_KIND_NONE) {
        SlCtl_Usage(kind, "not a kind; allowed: service, zone, group, "
                          "upstream, entry, node");
        return false;
    }
    if (strlen(name) >= SL_NAME_BYTES) {
        SlCtl_Usage(name, "a name has at most %d characters",
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
        SlCtl_Usage(text, "a selector has at most %d characters",
                    SL_SELECTOR_BYTES - 1);
        return false;
    }
    if (SlSelector_Check(text, &error) != SL_OK) {
        SlCtl_Usage(text, "%s", error.message);
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
        SlCtl_Usage("--address", "is missing; a service has an address");
        return false;
    }
    if (SlAddress_Parse(options->address, &service->address) != SL_OK ||
        service->address.port == 0) {
        SlCtl_Usage(options->address, "not IPV4:PORT or [IPV6]:PORT");
        return false;
    }
    if (strcmp(protocol, "udp") != 0 && strcmp(protocol, "tcp") != 0) {
        SlCtl_Usage(protocol, "not a protocol; allowed: udp, tcp");
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
        return SlCtl_Usage(options->words[0],
                           "only a service takes --address, --protocol, "
                           "--silence-ms and --idle-ms");
    }
    change.object.labels = options->labels;
    return SlCtl_RunChange(ctl, &change);
}

/// KEY=VALUE sets, KEY- removes.
static bool
read_label_word(const char *word, struct SlChange *change)
{
    char copy[SL_LABEL_KEY_BYTES + SL_LABEL_VALUE_BYTES + 2];
    size_t length = strlen(word);
    char *value;

    if (length >= sizeof(copy)) {
        SlCtl_Usage(word, "too long for a label");
        return false;
    }
    memcpy(copy, word, length + 1);
    value = strchr(copy, '=');
    if (value != NULL) {
        *value++ = '\0';
        if (SlLabels_Set(&change->object.labels, copy, value) != SL_OK) {
            SlCtl_Usage(word, "not a label, or more than %d of them",
                        SL_LABELS_MAX);
            return false;
        }
        return true;
    }
    if (length < 2 || copy[length - 1] != '-' ||
        change->unset.count == SL_LABELS_MAX || length > SL_LABEL_KEY_BYTES) {
        SlCtl_Usage(word, "neither KEY=VALUE nor KEY-");
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
    for (uint32_t i = 2; i < ctl->options.word_count; i++) {
        if (!read_label_word(ctl->options.words[i], &change)) {
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
        !read_selector(ctl->options.words[2], &change)) {
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

/// Each operator has a hold of their own, so that one does not release
/// another's by accident.
static const char *
default_hold(void)
{
    const char *user = getenv("USER");

    return user != NULL && user[0] != '\0' ? user : "operator";
}

static int
run_hold(struct SlCtl *ctl, enum SlVerb verb, enum SlKind kind)
{
    const struct SlCtlOptions *options = &ctl->options;
    struct SlChange change = {.verb = verb, .object = {.kind = kind}};
    const char *name = options->words[0];
    const char *reason = options->reason ? options->reason : "unstated";
    const char *hold = options->hold ? options->hold : default_hold();

    if (strlen(name) >= SL_NAME_BYTES) {
        return SlCtl_Usage(name, "a name has at most %d characters",
                           SL_NAME_BYTES - 1);
    }
    if (strlen(hold) >= SL_HOLD_KEY_BYTES) {
        return SlCtl_Usage(hold, "a hold has at most %d characters",
                           SL_HOLD_KEY_BYTES - 1);
    }
    if (strlen(reason) >= SL_HOLD_REASON_BYTES) {
        return SlCtl_Usage(reason, "a reason has at most %d characters",
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
    return run_hold(ctl, SL_VERB_HOLD, SL_KIND_ZONE);
}

int
SlCtl_ZoneIn(struct SlCtl *ctl)
{
    return run_hold(ctl, SL_VERB_RELEASE, SL_KIND_ZONE);
}

int
SlCtl_UpstreamDrain(struct SlCtl *ctl)
{
    return run_hold(ctl, SL_VERB_HOLD, SL_KIND_NODE);
}

int
SlCtl_UpstreamReturn(struct SlCtl *ctl)
{
    return run_hold(ctl, SL_VERB_RELEASE, SL_KIND_NODE);
}

static int
run_member(struct SlCtl *ctl, enum SlVerb verb)
{
    struct SlChange change = {.verb = verb, .object = {.kind = SL_KIND_NODE}};
    const char *name = ctl->options.words[0];
    struct SlNodeSpec *node = &change.object.node;

    if (strlen(name) >= SL_NAME_BYTES) {
        return SlCtl_Usage(name, "a name has at most %d characters",
                           SL_NAME_BYTES - 1);
    }
    snprintf(change.object.name, SL_NAME_BYTES, "%s", name);
    node->node_id = SlNode_Id(name);
    node->roles = SL_ROLE_CONTROL;
    if (verb == SL_VERB_MEMBER_ADD &&
        (SlAddress_Parse(ctl->options.words[1], &node->link) != SL_OK ||
         node->link.port == 0)) {
        return SlCtl_Usage(ctl->options.words[1],
                           "not IPV4:PORT or [IPV6]:PORT");
    }
    return SlCtl_RunChange(ctl, &change);
}

int
SlCtl_MemberAdd(struct SlCtl *ctl)
{
    return run_member(ctl, SL_VERB_MEMBER_ADD);
}

int
SlCtl_MemberRemove(struct SlCtl *ctl)
{
    return run_member(ctl, SL_VERB_MEMBER_REMOVE);
}
