/// Operators' questions that control answers: objects, and the versions that
/// its subscribers hold.

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "control_core.h"

enum {
    LINE_BYTES = 256,
};

static void
send_text(struct SlControl *control, uint64_t link, enum SlStatus status,
          const char *text, size_t length_bytes)
{
    struct SlMessage message = {
        .kind = SL_MESSAGE_TEXT,
        .text = {.status = status,
                 .length_bytes = (uint32_t)length_bytes,
                 .text = text}};

    control->sink->type->send_message(control->sink, link, &message);
}

static void
send_object(struct SlControl *control, uint64_t link,
            const struct SlObject *object)
{
    struct SlMessage message = {.kind = SL_MESSAGE_OBJECT};

    if (object == NULL) {
        message.object.end = true;
    }
    else {
        message.object.object = *object;
    }
    control->sink->type->send_message(control->sink, link, &message);
}

static void
answer_objects(struct SlControl *control, uint64_t link,
               const struct SlQuery *query)
{
    static const char STALE[] = "this control instance holds no fresh lease";
    const struct SlConfig *config = control->config;

    if (!SlRaft_Fresh(&control->raft, control->now_us)) {
        send_text(control, link, SL_STALE, STALE, sizeof(STALE) - 1);
        return;
    }
    for (uint32_t kind = SL_KIND_ZONE; kind < SL_KIND_COUNT; kind++) {
        if (query->kind != SL_KIND_NONE && query->kind != kind) {
            continue;
        }
        for (uint32_t i = 0; i < SlConfig_ObjectCount(config, kind); i++) {
            const struct SlObject *object = SlConfig_ObjectAt(config, kind, i);

            if (query->name[0] == '\0' ||
                strcmp(query->name, object->name) == 0) {
                send_object(control, link, object);
            }
        }
    }
    send_object(control, link, NULL);
}

static void
add_line(struct SlBuffer *buffer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_line(struct SlBuffer *buffer, const char *format, ...)
{
    char line[LINE_BYTES];
    va_list arguments;
    int length;

    va_start(arguments, format);
    length = vsnprintf(line, sizeof(line), format, arguments);
    va_end(arguments);
    if (length > 0) {
        size_t used =
            (size_t)length < sizeof(line) ? (size_t)length : sizeof(line) - 1;

        SlBuffer_Append(buffer, line, used);
    }
}

static void
answer_in_force(struct SlControl *control, uint64_t link,
                struct SlVersion version)
{
    struct SlBuffer buffer = {.bytes = NULL};
    uint32_t subscribers = 0;
    uint32_t in_force = 0;

    for (uint32_t i = 0; i < control->link_count; i++) {
        const struct SlControlLink *subscriber = &control->links[i];

        if (!subscriber->subscribed) {
            continue;
        }
        subscribers++;
        in_force += SlVersion_Compare(subscriber->holds, version) >= 0;
        add_line(&buffer, "holds.%s=%" PRIu64 ".%" PRIu64 "\n",
                 subscriber->peer.name, subscriber->holds.term,
                 subscriber->holds.index);
    }
    add_line(&buffer, "subscribers=%u\nin_force=%u\n", subscribers, in_force);
    send_text(control, link, SL_OK, (const char *)buffer.bytes,
              buffer.length_bytes);
    SlBuffer_Release(&buffer);
}

void
SlControl_OnQuery(struct SlControl *control, uint64_t link,
                  const struct SlQuery *query)
{
    switch (query->query) {
    case SL_QUERY_OBJECTS:
        answer_objects(control, link, query);
        break;
    case SL_QUERY_IN_FORCE:
        answer_in_force(control, link, query->version);
        break;
    default:
        break;
    }
}
