#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "ctl.h"
#include "savoryledge/transport/loop.h"

enum {
    LINE_BYTES = 512,
    ROUND_PAUSE_NS = 200 * 1000 * 1000,
};

int
SlCtl_Usage(const char *word, const char *format, ...)
{
    va_list arguments;

    fputs("savoryledgectl: ", stderr);
    if (word != NULL) {
        fprintf(stderr, "\"%s\": ", word);
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
open_conversation(struct SlCtl *ctl)
{
    struct SlKeyring keyring = {.count = 1};
    struct SlError error;

    if (ctl->conversation != NULL) {
        return SL_OK;
    }
    if (SlKey_Load(ctl->options.key_file, &keyring.items[0], &error) !=
        SL_OK) {
        SlCtl_Usage("--key-file", "%s", error.message);
        exit(SL_EXIT_USAGE);
    }
    ctl->conversation = SlClient_Create(&keyring);
    return ctl->conversation != NULL ? SL_OK : SL_NO_MEMORY;
}

enum SlStatus
SlCtl_AskAt(struct SlCtl *ctl, const struct SlAddress *address,
            const struct SlMessage *message,
            enum SlStatus (*take)(void *context,
                                  const struct SlMessage *answer, bool *done),
            void *context)
{
    uint64_t deadline_us = SlClock_Monotonic() + ctl->try_us;
    enum SlStatus status = open_conversation(ctl);
    bool done = false;

    take(context, NULL, &done);
    if (status == SL_OK) {
        status = SlClient_Connect(ctl->conversation, address, deadline_us);
    }
    if (status == SL_OK) {
        status = SlClient_Send(ctl->conversation, message);
    }
    while (status == SL_OK && !done) {
        struct SlMessage answer;

        status = SlClient_Receive(ctl->conversation, deadline_us, &answer);
        if (status == SL_OK) {
            status = take(context, &answer, &done);
            SlMessage_Release(&answer);
        }
    }
    return status;
}

static void
pause_round(void)
{
    struct timespec pause = {.tv_nsec = ROUND_PAUSE_NS};

    nanosleep(&pause, NULL);
}

enum SlStatus
SlCtl_Ask(struct SlCtl *ctl, const struct SlMessage *message,
          enum SlStatus (*take)(void *context, const struct SlMessage *answer,
                                bool *done),
          void *context)
{
    uint64_t deadline_us = SlClock_Monotonic() + ctl->options.timeout_us;
    uint32_t count = ctl->options.control_count;
    enum SlStatus status = SL_TIMEOUT;

    for (uint32_t tries = 1;; tries++) {
        const struct SlAddress *address =
            &ctl->options.control[ctl->next_control % count];

        status = SlCtl_AskAt(ctl, address, message, take, context);
        if (status == SL_OK || SlClock_Monotonic() >= deadline_us) {
            return status;
        }
        ctl->next_control++;
        if (tries % count == 0) {
            pause_round();
        }
    }
}

int
SlCtl_Unreachable(enum SlStatus status)
{
    fprintf(stderr,
            "savoryledgectl: no control instance gave an answer in time "
            "(last: %s%s)\n",
            SlStatus_Name(status),
            status == SL_CLOSED ? "; a link is closed at once when the key "
                                  "is not the site's"
                                : "");
    return SL_EXIT_UNREACHABLE;
}

void
SlCtl_EachLine(const struct SlText *text,
               void (*take)(void *context, const char *key, const char *value),
               void *context)
{
    const char *at = text->text;
    const char *end = text->text + text->length_bytes;

    while (at < end) {
        const char *stop = memchr(at, '\n', (size_t)(end - at));
        size_t length = (size_t)((stop ? stop : end) - at);
        char line[LINE_BYTES];
        char *value;

        snprintf(line, sizeof(line), "%.*s", (int)length, at);
        value = strchr(line, '=');
        if (value != NULL) {
            *value++ = '\0';
            take(context, line, value);
        }
        at += length + 1;
    }
}
