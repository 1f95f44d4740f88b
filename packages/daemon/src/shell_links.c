#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "shell_internal.h"

enum {
    REFUSALS_WINDOW_US = 1000 * 1000,
    REFUSALS_PER_WINDOW = 8,
};

static struct SlShell *
shell_of(struct SlLinksHandler *owner)
{
    return (struct SlShell *)owner;
}

static struct peer *
find_peer(struct SlShell *shell, uint64_t link)
{
    struct peer *peer = shell->peers;

    while (peer != NULL && peer->link != link) {
        peer = peer->next;
    }
    return peer;
}

static void
send_hello(struct SlShell *shell, uint64_t link)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_HELLO,
        .hello = {.roles = shell->settings.node.roles, .boot = shell->boot}};

    memcpy(message.hello.name, shell->settings.node.name, SL_NAME_BYTES);
    shell->control.sink.type->send_message(&shell->control.sink, link,
                                           &message);
}

static void
links_up(struct SlLinksHandler *owner, uint64_t link, uint64_t dialled,
         const struct SlAddress *remote)
{
    struct SlShell *shell = shell_of(owner);
    struct peer *peer = calloc(1, sizeof(*peer));

    (void)dialled;
    if (peer == NULL) {
        SlLinks_Close(shell->links, link, SL_NO_MEMORY);
        return;
    }
    peer->link = link;
    peer->remote = *remote;
    peer->next = shell->peers;
    shell->peers = peer;
    send_hello(shell, link);
}

static void
give_link_input(struct SlShell *shell, enum SlInputKind kind,
                const struct peer *peer, const struct SlMessage *message)
{
    struct SlInput input = {.kind = kind,
                            .now_us = SlClock_Monotonic(),
                            .wall_us = SlClock_Wall(),
                            .link = peer->link};

    if (message != NULL) {
        input.message = message;
    }
    else {
        input.peer = &peer->hello;
    }
    shell->control.now_us = input.now_us;
    give_input(shell, &shell->control, &input);
    shell->has_inputs = true;
}

/// Operators' tools, which have no role, come and go; only links between
/// processes are worth a line.
static void
log_link(struct SlShell *shell, enum SlEventNumber number,
         const struct peer *peer, enum SlStatus reason)
{
    if (peer->hello.roles != 0) {
        log_event(shell, (struct SlEvent){.number = number,
                                          .peer = peer->hello.name,
                                          .reason = SlStatus_Name(reason)});
    }
}

static void
take_hello(struct SlShell *shell, struct peer *peer,
           const struct SlMessage *message)
{
    const struct SlHello *hello = &message->hello;

    if (message->kind != SL_MESSAGE_HELLO || hello->name[0] == '\0') {
        atomic_fetch_add(&shell->counts.messages_malformed, 1);
        SlLinks_Close(shell->links, peer->link, SL_MALFORMED);
        return;
    }
    peer->hello.node_id = SlNode_Id(hello->name);
    peer->hello.roles = hello->roles;
    peer->hello.boot = hello->boot;
    memcpy(peer->hello.name, hello->name, SL_NAME_BYTES);
    peer->greeted = true;
    log_link(shell, SL_EVENT_LINK_UP, peer, SL_OK);
    give_link_input(shell, SL_INPUT_LINK_UP, peer, NULL);
}

static void
answer_text(struct SlShell *shell, uint64_t link, enum SlStatus status,
            const struct SlBuffer *text)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_TEXT,
        .text = {.status = status,
                 .length_bytes = (uint32_t)text->length_bytes,
                 .text = (const char *)text->bytes}};

    shell->control.sink.type->send_message(&shell->control.sink, link,
                                           &message);
}

/// Recordings asked for over a link lie beside the one of the settings, or in
/// the working folder, and end in ".rec": whoever holds the key may name a
/// recording, not any other file of the process.
static enum SlStatus
recording_path(const struct SlShell *shell, const char *name,
               char path[SETTINGS_PATH_BYTES], struct SlError *error)
{
    const char *known = shell->settings.record.file;
    const char *slash = strrchr(known, '/');
    int folder_bytes = slash != NULL ? (int)(slash - known) + 1 : 0;
    int length;

    if (strchr(name, '/') != NULL || name[0] == '.' ||
        strcmp(name + strcspn(name, "."), ".rec") != 0) {
        return SlError_Set(error, SL_INVALID, SL_STEP_RECORD, NULL,
                           "\"%s\" is not NAME.rec without a folder", name);
    }
    length = snprintf(path, SETTINGS_PATH_BYTES, "%.*s%s", folder_bytes, known,
                      name);
    return length < SETTINGS_PATH_BYTES
               ? SL_OK
               : SlError_Set(error, SL_TOO_LONG, SL_STEP_RECORD, NULL,
                             "\"%s\" makes the path too long", name);
}

/// The answer tells what went wrong, in words.
static enum SlStatus
switch_recording(struct SlShell *shell, const char *name,
                 struct SlBuffer *text)
{
    struct SlError error = {.status = SL_OK};
    char path[SETTINGS_PATH_BYTES] = "";
    enum SlStatus status = SL_OK;

    if (name[0] != '\0') {
        status = recording_path(shell, name, path, &error);
    }
    if (status == SL_OK) {
        status = record_switch(shell, path, &error);
    }
    if (status != SL_OK) {
        (void)SlBuffer_Append(text, error.message, strlen(error.message));
    }
    return status;
}

/// Answers what the process itself knows; false for the cores' queries.
static bool
answer_query(struct SlShell *shell, uint64_t link, const struct SlQuery *query)
{
    struct SlBuffer text = {.bytes = NULL};
    enum SlStatus status;

    switch (query->query) {
    case SL_QUERY_STATUS:
        status = write_status(shell, SlClock_Monotonic(), &text);
        break;
    case SL_QUERY_METRICS:
        status = write_metrics(shell, &text);
        break;
    case SL_QUERY_RECORD:
        status = switch_recording(shell, query->name, &text);
        break;
    default:
        return false;
    }
    answer_text(shell, link, status, &text);
    SlBuffer_Release(&text);
    return true;
}

static void
take_message(struct SlShell *shell, struct peer *peer,
             const struct SlMessage *message)
{
    if (!peer->greeted) {
        take_hello(shell, peer, message);
        return;
    }
    if (message->kind == SL_MESSAGE_QUERY &&
        answer_query(shell, peer->link, &message->query)) {
        return;
    }
    give_link_input(shell, SL_INPUT_MESSAGE, peer, message);
}

static void
links_message(struct SlLinksHandler *owner, uint64_t link,
              const uint8_t *bytes, uint32_t length_bytes)
{
    struct SlShell *shell = shell_of(owner);
    struct peer *peer = find_peer(shell, link);
    struct SlMessage message = {.kind = SL_MESSAGE_NONE};
    enum SlStatus status;

    if (peer == NULL) {
        return;
    }
    status = SlMessage_Decode(bytes, length_bytes, &message);
    if (status != SL_OK) {
        atomic_fetch_add(&shell->counts.messages_malformed, 1);
        SlLinks_Close(shell->links, link, status);
        return;
    }
    take_message(shell, peer, &message);
    SlMessage_Release(&message);
}

static void
links_down(struct SlLinksHandler *owner, uint64_t link, enum SlStatus reason)
{
    struct SlShell *shell = shell_of(owner);
    struct peer **place = &shell->peers;
    struct peer *peer;

    while (*place != NULL && (*place)->link != link) {
        place = &(*place)->next;
    }
    peer = *place;
    if (peer == NULL) {
        return;
    }
    *place = peer->next;
    if (peer->greeted) {
        log_link(shell, SL_EVENT_LINK_DOWN, peer, reason);
        give_link_input(shell, SL_INPUT_LINK_DOWN, peer, NULL);
    }
    free(peer);
}

/// A stranger who knocks again and again gets a few lines each second; the
/// counter has them all.
static bool
may_log_refusal(struct SlShell *shell, uint64_t now_us)
{
    if (now_us >= shell->link_refusals_us + REFUSALS_WINDOW_US) {
        shell->link_refusals_us = now_us;
        shell->link_refusals = 0;
    }
    return ++shell->link_refusals <= REFUSALS_PER_WINDOW;
}

static void
links_refused(struct SlLinksHandler *owner, const struct SlAddress *remote,
              enum SlStatus reason)
{
    struct SlShell *shell = shell_of(owner);
    char text[SL_ADDRESS_TEXT_BYTES];

    if (reason != SL_FORBIDDEN && reason != SL_MALFORMED &&
        reason != SL_TOO_LONG) {
        return;
    }
    if (may_log_refusal(shell, SlClock_Monotonic())) {
        log_event(shell,
                  (struct SlEvent){.number = SL_EVENT_LINK_REFUSED,
                                   .peer = SlAddress_Format(remote, text),
                                   .reason = SlStatus_Name(reason)});
    }
}

const struct SlLinksHandlerType SHELL_LINKS = {
    .on_up = links_up,
    .on_message = links_message,
    .on_down = links_down,
    .on_refused = links_refused,
};

void
forget_peers(struct SlShell *shell)
{
    while (shell->peers != NULL) {
        struct peer *peer = shell->peers;

        shell->peers = peer->next;
        free(peer);
    }
}
