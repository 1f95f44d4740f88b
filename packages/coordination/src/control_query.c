/// Operators' questions.

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "control_core.h"

enum {
    LINE_BYTES = 256,
};

static const char *const STATE_NAMES[] = {
    [SL_CONTROL_LEARNER] = "learner",
    [SL_CONTROL_FOLLOWER] = "follower",
    [SL_CONTROL_CANDIDATE] = "candidate",
    [SL_CONTROL_LEADER] = "leader",
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
        for (uint32_t i = 0; i < SlConfig_Count(config, kind); i++) {
            const struct SlObject *object = SlConfig_At(config, kind, i);

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
add_members(struct SlControl *control, struct SlBuffer *buffer)
{
    const struct SlRaft *raft = &control->raft;

    for (uint32_t i = 0; i < raft->members.count; i++) {
        const struct SlRaftMember *member = &raft->members.items[i];
        const struct SlRaftProgress *progress = &raft->progress[i];

        add_line(buffer,
                 "member.%s=%s incarnation=%016" PRIx64 " match=%" PRIu64
                 " silent_ms=%" PRIu64 "\n",
                 member->name, member->voter ? "voter" : "learner",
                 member->incarnation, progress->match,
                 (control->now_us - progress->heard_us) / 1000);
    }
}

static uint32_t
count_unreachable(const struct SlConfig *config)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < SlConfig_Count(config, SL_KIND_NODE); i++) {
        count += SlConfig_At(config, SL_KIND_NODE, i)->node.unreachable;
    }
    return count;
}

static void
answer_status(struct SlControl *control, uint64_t link)
{
    const struct SlRaft *raft = &control->raft;
    const struct SlRaftMember *leader = SlRaft_Member(raft, raft->leader);
    struct SlVersion version = SlConfig_Version(control->config);
    struct SlBuffer buffer = {.bytes = NULL};

    add_line(&buffer, "control=%s\nterm=%" PRIu64 "\nleader=%s\n",
             STATE_NAMES[raft->state], raft->hard.term,
             leader ? leader->name : "");
    add_line(&buffer, "version=%" PRIu64 ".%" PRIu64 "\ncommit=%" PRIu64 "\n",
             version.term, version.index, raft->commit);
    add_line(&buffer, "fresh=%d\nstorage_failed=%d\n",
             SlRaft_Fresh(raft, control->now_us), raft->broken);
    add_line(&buffer, "nodes=%u\nunreachable=%u\nloss_held=%d\n",
             SlConfig_Count(control->config, SL_KIND_NODE),
             count_unreachable(control->config), control->loss_held);
    add_members(control, &buffer);
    send_text(control, link, SL_OK, (const char *)buffer.bytes,
              buffer.length_bytes);
    SlBuffer_Release(&buffer);
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
        if (SlVersion_Compare(subscriber->holds, version) >= 0) {
            in_force++;
        }
        else {
            add_line(&buffer, "behind.%s=%" PRIu64 ".%" PRIu64 "\n",
                     subscriber->peer.name, subscriber->holds.term,
                     subscriber->holds.index);
        }
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
    case SL_QUERY_STATUS:
        answer_status(control, link);
        break;
    case SL_QUERY_IN_FORCE:
        answer_in_force(control, link, query->version);
        break;
    default:
        break;
    }
}
