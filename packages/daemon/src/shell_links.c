#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "shell_internal.h"

enum {
    /// Length of a window in which at most REFUSALS_PER_WINDOW refused links
    /// are logged.
    REFUSALS_WINDOW_US = 1000 * 1000,
    REFUSALS_PER_WINDOW = 8,
};

static struct SlShell *
shell_from_links_handler(struct SlLinksHandler *handler)
{
    return (struct SlShell *)handler;
}

static struct peer *
find_peer_by_link(struct SlShell *shell, uint64_t link)
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
        .hello = {.roles = shell->settings.node.roles | SL_HELLO_FLOW_RECORDS,
                  .boot = shell->boot}};

    memcpy(message.hello.name, shell->settings.node.name, SL_NAME_BYTES);
    shell->control_sink.sink.type->send_message(&shell->control_sink.sink,
                                                link, &message);
}

static void
handle_link_up(struct SlLinksHandler *handler, uint64_t link, uint64_t dialled,
               const struct SlAddress *remote)
{
    struct SlShell *shell = shell_from_links_handler(handler);
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

/// Passes an input about a link to the cores: the message if it is not NULL,
/// otherwise the peer whose link is up or down.
static void
handle_link_input(struct SlShell *shell, enum SlInputKind kind,
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
    shell->control_sink.now_us = input.now_us;
    handle_input(shell, &shell->control_sink, &input);
    shell->has_inputs = true;
}

/// Logs a link between processes that opens or closes. Operators' tools, which
/// have no role, connect often and are not logged.
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
handle_hello(struct SlShell *shell, struct peer *peer,
             const struct SlMessage *message)
{
    const struct SlHello *hello = &message->hello;

    if (message->kind != SL_MESSAGE_HELLO || hello->name[0] == '\0') {
        atomic_fetch_add(&shell->counts.messages_malformed, 1);
        SlLinks_Close(shell->links, peer->link, SL_MALFORMED);
        return;
    }
    peer->hello.node_id = SlNode_Id(hello->name);
    peer->hello.roles = hello->roles & ~(uint32_t)SL_HELLO_FLOW_RECORDS;
    peer->knows_flow_records = (hello->roles & SL_HELLO_FLOW_RECORDS) != 0;
    peer->hello.boot = hello->boot;
    memcpy(peer->hello.name, hello->name, SL_NAME_BYTES);
    peer->hello_received = true;
    log_link(shell, SL_EVENT_LINK_UP, peer, SL_OK);
    handle_link_input(shell, SL_INPUT_LINK_UP, peer, NULL);
}

static void
send_text(struct SlShell *shell, uint64_t link, enum SlStatus status,
          const struct SlBuffer *text)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_TEXT,
        .text = {.status = status,
                 .length_bytes = (uint32_t)text->length_bytes,
                 .text = (const char *)text->bytes}};

    shell->control_sink.sink.type->send_message(&shell->control_sink.sink,
                                                link, &message);
}

/// Makes the path of a recording that is requested over a link. It is in the
/// folder of record.file, or in the working folder if that is not set, and its
/// name ends in ".rec": a client that holds the key may name a recording, but
/// must not overwrite any other file of the process.
/// Errors: SL_INVALID, SL_TOO_LONG.
static enum SlStatus
make_recording_path(const struct SlShell *shell, const char *name,
                    char path[SETTINGS_PATH_BYTES], struct SlError *error)
{
    const char *configured_path = shell->settings.record.file;
    const char *slash = strrchr(configured_path, '/');
    int folder_bytes = slash != NULL ? (int)(slash - configured_path) + 1 : 0;
    int length;

    if (strchr(name, '/') != NULL || name[0] == '.' ||
        strcmp(name + strcspn(name, "."), ".rec") != 0) {
        return SlError_Set(
            error, SL_INVALID, SL_STEP_RECORD, NULL,
            "\"%s\" is not a file name NAME.rec without a folder", name);
    }
    length = snprintf(path, SETTINGS_PATH_BYTES, "%.*s%s", folder_bytes,
                      configured_path, name);
    return length < SETTINGS_PATH_BYTES
               ? SL_OK
               : SlError_Set(error, SL_TOO_LONG, SL_STEP_RECORD, NULL,
                             "the path of recording \"%s\" is too long", name);
}

/// Starts the recording named name, or ends the present one if name is empty.
/// On failure appends the error message to text.
static enum SlStatus
handle_record_query(struct SlShell *shell, const char *name,
                    struct SlBuffer *text)
{
    struct SlError error = {.status = SL_OK};
    char path[SETTINGS_PATH_BYTES] = "";
    enum SlStatus status = SL_OK;

    if (name[0] != '\0') {
        status = make_recording_path(shell, name, path, &error);
    }
    if (status == SL_OK) {
        status = set_recording_file(shell, path, &error);
    }
    if (status != SL_OK) {
        (void)SlBuffer_Append(text, error.message, strlen(error.message));
    }
    return status;
}

/// Explains where the flow with this key would be placed. On failure appends
/// the cause to text.
static enum SlStatus
explain_place(const struct SlShell *shell, const char *flow_text,
              struct SlBuffer *text)
{
    static const char NO_ENTRY[] = "the process is not an entry of the relay";
    static const char NO_FLOW[] = "the flow key cannot be read";
    const struct SlRelayEntry *entry =
        shell->relay != NULL ? shell_relay_entry(shell->relay) : NULL;
    struct SlFlowKey flow;

    if (entry == NULL) {
        (void)SlBuffer_Append(text, NO_ENTRY, sizeof(NO_ENTRY) - 1);
        return SL_INVALID;
    }
    if (SlFlowKey_Parse(flow_text, &flow) != SL_OK) {
        (void)SlBuffer_Append(text, NO_FLOW, sizeof(NO_FLOW) - 1);
        return SL_MALFORMED;
    }
    return SlRelayEntry_ExplainPlacement(entry, SlClock_Monotonic(), &flow,
                                         text);
}

/// Answers queries about the process itself. Returns false for queries that
/// the cores answer.
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
        status = handle_record_query(shell, query->name, &text);
        break;
    case SL_QUERY_PLACE:
        status = explain_place(shell, query->name, &text);
        break;
    default:
        return false;
    }
    send_text(shell, link, status, &text);
    SlBuffer_Release(&text);
    return true;
}

static void
handle_message(struct SlShell *shell, struct peer *peer,
               const struct SlMessage *message)
{
    if (!peer->hello_received) {
        handle_hello(shell, peer, message);
        return;
    }
    if (message->kind == SL_MESSAGE_QUERY &&
        answer_query(shell, peer->link, &message->query)) {
        return;
    }
    if (message->kind == SL_MESSAGE_FLOW_RECORDS) {
        shell_flow_records_handle(shell, SlClock_Monotonic(), peer,
                                  &message->flow_records);
        return;
    }
    handle_link_input(shell, SL_INPUT_MESSAGE, peer, message);
}

static void
handle_link_message(struct SlLinksHandler *handler, uint64_t link,
                    const uint8_t *bytes, uint32_t length_bytes)
{
    struct SlShell *shell = shell_from_links_handler(handler);
    struct peer *peer = find_peer_by_link(shell, link);
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
    handle_message(shell, peer, &message);
    SlMessage_Release(&message);
}

static void
handle_link_down(struct SlLinksHandler *handler, uint64_t link,
                 enum SlStatus reason)
{
    struct SlShell *shell = shell_from_links_handler(handler);
    struct peer **peer_pointer = &shell->peers;
    struct peer *peer;

    while (*peer_pointer != NULL && (*peer_pointer)->link != link) {
        peer_pointer = &(*peer_pointer)->next;
    }
    peer = *peer_pointer;
    if (peer == NULL) {
        return;
    }
    *peer_pointer = peer->next;
    if (peer->hello_received) {
        log_link(shell, SL_EVENT_LINK_DOWN, peer, reason);
        handle_link_input(shell, SL_INPUT_LINK_DOWN, peer, NULL);
    }
    free(peer);
}

/// Limits the log lines about refused links, because a client may try to
/// connect again and again. The counter links_refused includes all of them.
static bool
may_log_refusal(struct SlShell *shell, uint64_t now_us)
{
    if (now_us >= shell->refused_links_window_start_us + REFUSALS_WINDOW_US) {
        shell->refused_links_window_start_us = now_us;
        shell->refused_link_count = 0;
    }
    return ++shell->refused_link_count <= REFUSALS_PER_WINDOW;
}

static void
handle_link_refused(struct SlLinksHandler *handler,
                    const struct SlAddress *remote, enum SlStatus reason)
{
    struct SlShell *shell = shell_from_links_handler(handler);
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

const struct SlLinksHandlerType SHELL_LINKS_HANDLER_TYPE = {
    .on_link_up = handle_link_up,
    .on_message = handle_link_message,
    .on_link_down = handle_link_down,
    .on_refused = handle_link_refused,
};

void
free_peers(struct SlShell *shell)
{
    while (shell->peers != NULL) {
        struct peer *peer = shell->peers;

        shell->peers = peer->next;
        free(peer);
    }
}
