#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ctl.h"
#include "savoryledge/transport/loop.h"

enum {
    LINE_BYTES = 512,
    /// Pause after all addresses have been tried once.
    RETRY_PAUSE_NS = 200 * 1000 * 1000,
};

int
SlCtl_ReportUsageError(const char *argument, const char *format, ...)
{
    va_list arguments;

    fputs("savoryledgectl: ", stderr);
    if (argument != NULL) {
        fprintf(stderr, "\"%s\": ", argument);
    }
    va_start(arguments, format);
    vfprintf(stderr, format, arguments);
    va_end(arguments);
    fputc('\n', stderr);
    return SL_EXIT_USAGE;
}

bool
SlCtl_ParseVersion(const char *text, struct SlVersion *version)
{
    char *end;

    if (text[0] < '0' || text[0] > '9') {
        return false;
    }
    version->term = strtoull(text, &end, 10);
    if (*end != '.' || end[1] < '0' || end[1] > '9') {
        return false;
    }
    version->index = strtoull(end + 1, &end, 10);
    return *end == '\0';
}

static enum SlStatus
create_client(struct SlCtl *ctl)
{
    struct SlKeyring keyring = {.count = 1};
    struct SlError error;

    if (ctl->connection != NULL) {
        return SL_OK;
    }
    if (SlKey_Load(ctl->options.key_file, &keyring.items[0], &error) !=
        SL_OK) {
        SlCtl_ReportUsageError("--key-file", "%s", error.message);
        exit(SL_EXIT_USAGE);
    }
    ctl->connection = SlClient_Create(&keyring);
    return ctl->connection != NULL ? SL_OK : SL_NO_MEMORY;
}

enum SlStatus
SlCtl_SendRequestTo(struct SlCtl *ctl, const struct SlAddress *address,
                    const struct SlMessage *message,
                    enum SlStatus (*on_answer)(void *context,
                                               const struct SlMessage *answer,
                                               bool *done),
                    void *context)
{
    uint64_t deadline_us = SlClock_Monotonic() + ctl->attempt_timeout_us;
    enum SlStatus status = create_client(ctl);
    bool done = false;

    on_answer(context, NULL, &done);
    if (status == SL_OK) {
        status = SlClient_Connect(ctl->connection, address, deadline_us);
    }
    if (status == SL_OK) {
        status = SlClient_Send(ctl->connection, message);
    }
    while (status == SL_OK && !done) {
        struct SlMessage answer;

        status = SlClient_Receive(ctl->connection, deadline_us, &answer);
        if (status == SL_OK) {
            status = on_answer(context, &answer, &done);
            SlMessage_Release(&answer);
        }
    }
    return status;
}

static void
pause_before_retry(void)
{
    struct timespec pause = {.tv_nsec = RETRY_PAUSE_NS};

    nanosleep(&pause, NULL);
}

enum SlStatus
SlCtl_SendRequest(struct SlCtl *ctl, const struct SlMessage *message,
                  enum SlStatus (*on_answer)(void *context,
                                             const struct SlMessage *answer,
                                             bool *done),
                  void *context)
{
    uint64_t deadline_us = SlClock_Monotonic() + ctl->options.timeout_us;
    uint32_t count = ctl->options.control_count;
    enum SlStatus status = SL_TIMEOUT;

    for (uint32_t attempts = 1;; attempts++) {
        const struct SlAddress *address =
            &ctl->options.control[ctl->next_control_index % count];

        status =
            SlCtl_SendRequestTo(ctl, address, message, on_answer, context);
        if (status == SL_OK || SlClock_Monotonic() >= deadline_us) {
            return status;
        }
        ctl->next_control_index++;
        if (attempts % count == 0) {
            pause_before_retry();
        }
    }
}

int
SlCtl_ReportUnreachable(enum SlStatus status)
{
    fprintf(stderr,
            "savoryledgectl: no control instance answered in time "
            "(last status: %s%s)\n",
            SlStatus_Name(status),
            status == SL_CLOSED ? "; a process closes a link at once if "
                                  "the key is not the site's"
                                : "");
    return SL_EXIT_UNREACHABLE;
}

void
SlCtl_ForEachLine(const struct SlText *text,
                  void (*on_line)(void *context, const char *key,
                                  const char *value),
                  void *context)
{
    const char *line_start = text->text;
    const char *end = text->text + text->length_bytes;

    while (line_start < end) {
        const char *line_end =
            memchr(line_start, '\n', (size_t)(end - line_start));
        size_t length = (size_t)((line_end ? line_end : end) - line_start);
        char line[LINE_BYTES];
        char *value;

        snprintf(line, sizeof(line), "%.*s", (int)length, line_start);
        value = strchr(line, '=');
        if (value != NULL) {
            *value++ = '\0';
            on_line(context, line, value);
        }
        line_start += length + 1;
    }
}
