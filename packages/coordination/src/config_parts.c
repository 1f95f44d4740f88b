#include "config_parts.h"

#include <string.h>

/// The part of a configuration that is being filled, and the link that the
/// part is sent on.
struct part_writer {
    struct SlSink *sink;
    uint64_t link;
    struct SlMessage message;
    struct SlObject objects[SL_CONFIG_OBJECTS_MAX];
};

static void
send_part(struct part_writer *writer, bool last)
{
    writer->message.config.last = last;
    writer->sink->type->send_message(writer->sink, writer->link,
                                     &writer->message);
    writer->message.config.first = false;
    writer->message.config.object_count = 0;
    writer->message.config.document = (struct SlDocumentText){.version = 0};
}

static void
add_object(struct part_writer *writer, const struct SlObject *object)
{
    struct SlConfigPart *part = &writer->message.config;

    if (part->object_count == SL_CONFIG_OBJECTS_MAX) {
        send_part(writer, false);
    }
    writer->objects[part->object_count++] = *object;
}

void
SlConfigParts_SendWhole(const struct SlConfig *config, bool fresh,
                        struct SlSink *sink, uint64_t link)
{
    struct part_writer writer = {
        .sink = sink,
        .link = link,
        .message = {.kind = SL_MESSAGE_CONFIG,
                    .config = {.to = SlConfig_Version(config),
                               .full = true,
                               .first = true,
                               .fresh = fresh}}};

    writer.message.config.objects = writer.objects;
    if (SlConfig_Document(config) != NULL) {
        writer.message.config.document =
            SlDocument_Text(SlConfig_Document(config));
    }
    for (uint32_t kind = SL_KIND_ZONE; kind < SL_KIND_COUNT; kind++) {
        for (uint32_t i = 0; i < SlConfig_ObjectCount(config, kind); i++) {
            add_object(&writer, SlConfig_ObjectAt(config, kind, i));
        }
    }
    send_part(&writer, true);
}

void
SlConfigAssembly_Release(struct SlConfigAssembly *assembly)
{
    SlConfig_Destroy(assembly->config);
    *assembly = (struct SlConfigAssembly){.config = NULL};
}

/// Starts with an empty configuration or, for a delta, with a copy of the
/// present one.
static enum SlStatus
begin_assembly(struct SlConfigAssembly *assembly,
               const struct SlConfig *present, const struct SlConfigPart *part)
{
    SlConfigAssembly_Release(assembly);
    if (!part->full &&
        SlVersion_Compare(part->from, SlConfig_Version(present)) != 0) {
        return SL_INVALID;
    }
    assembly->config =
        part->full ? SlConfig_Create() : SlConfig_Clone(present);
    assembly->target_version = part->to;
    return assembly->config ? SL_OK : SL_NO_MEMORY;
}

static enum SlStatus
put_part_content(struct SlConfigAssembly *assembly,
                 const struct SlConfigPart *part)
{
    for (uint32_t i = 0; i < part->object_count; i++) {
        if (part->objects[i].kind == SL_KIND_NONE) {
            return SL_INVALID;
        }
        if (SlConfig_PutObject(assembly->config, &part->objects[i]) != SL_OK) {
            return SL_NO_MEMORY;
        }
    }
    for (uint32_t i = 0; i < part->removed_count; i++) {
        SlConfig_RemoveObject(assembly->config, part->removed[i].kind,
                              part->removed[i].name);
    }
    if (part->document.version != 0 &&
        SlConfig_PutDocument(assembly->config, part->to, &part->document) !=
            SL_OK) {
        return SL_NO_MEMORY;
    }
    assembly->object_count += part->object_count;
    assembly->removed_count += part->removed_count;
    return SL_OK;
}

static enum SlStatus
add_part(struct SlConfigAssembly *assembly, const struct SlConfig *present,
         const struct SlConfigPart *part)
{
    enum SlStatus status = SL_OK;

    if (SlVersion_Compare(part->to, SlConfig_Version(present)) <= 0) {
        return SL_STALE;
    }
    if (part->first) {
        status = begin_assembly(assembly, present, part);
    }
    else if (assembly->config == NULL ||
             SlVersion_Compare(assembly->target_version, part->to) != 0) {
        status = SL_INVALID;
    }
    if (status == SL_OK) {
        status = put_part_content(assembly, part);
    }
    if (status == SL_OK && !part->last) {
        return SL_AGAIN;
    }
    if (status == SL_OK) {
        SlConfig_SetVersion(assembly->config, part->to);
    }
    return status;
}

enum SlStatus
SlConfigAssembly_AddPart(struct SlConfigAssembly *assembly,
                         const struct SlConfig *present,
                         const struct SlConfigPart *part)
{
    enum SlStatus status = add_part(assembly, present, part);

    if (status != SL_OK && status != SL_AGAIN) {
        SlConfigAssembly_Release(assembly);
    }
    return status;
}
