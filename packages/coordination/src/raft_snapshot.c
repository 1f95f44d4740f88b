/// Writing, loading and transferring snapshots. A snapshot contains the latest
/// record time, the members, and the state of the log's owner, in this order.

#include <endian.h>
#include <string.h>

#include "raft.h"

enum {
    /// Time without an acknowledgement after which a chunk is sent again.
    INSTALL_RETRY_US = 1000 * 1000,
};

static const struct SlVersion FIRST_VERSION = {.term = 1, .index = 1};

/// The part of a snapshot that has not been read yet. Borrows the bytes.
struct snapshot_reader {
    const uint8_t *bytes;
    size_t length_bytes;
};

static enum SlStatus
write_u32(struct SlBuffer *buffer, uint32_t value)
{
    uint32_t little_endian = htole32(value);

    return SlBuffer_Append(buffer, &little_endian, sizeof(little_endian));
}

static bool
read_bytes(struct snapshot_reader *reader, void *out, size_t length_bytes)
{
    if (reader->length_bytes < length_bytes) {
        return false;
    }
    memcpy(out, reader->bytes, length_bytes);
    reader->bytes += length_bytes;
    reader->length_bytes -= length_bytes;
    return true;
}

static bool
read_u32(struct snapshot_reader *reader, uint32_t *value)
{
    uint32_t little_endian;

    if (!read_bytes(reader, &little_endian, sizeof(little_endian))) {
        return false;
    }
    *value = le32toh(little_endian);
    return true;
}

static enum SlStatus
write_change(struct SlBuffer *buffer, const struct SlChange *change)
{
    size_t start = buffer->length_bytes;
    enum SlStatus status = write_u32(buffer, 0);
    uint32_t little_endian;

    if (status == SL_OK) {
        status = SlChange_Encode(change, buffer);
    }
    if (status == SL_OK) {
        little_endian = htole32(
            (uint32_t)(buffer->length_bytes - start - sizeof(uint32_t)));
        memcpy(buffer->bytes + start, &little_endian, sizeof(little_endian));
    }
    return status;
}

/// Writes a member as the changes that create it: one that adds a learner, and
/// for a voter one that promotes the learner.
static enum SlStatus
write_member(struct SlBuffer *buffer, const struct SlRaftMember *member)
{
    struct SlChange change = {
        .verb = SL_VERB_MEMBER_ADD,
        .object = {.kind = SL_KIND_NODE,
                   .node = {.node_id = member->node_id,
                            .link = member->link_address,
                            .boot = member->incarnation}},
    };
    enum SlStatus status;

    memcpy(change.object.name, member->name, sizeof(change.object.name));
    status = write_change(buffer, &change);
    if (status == SL_OK && member->is_voter) {
        change.verb = SL_VERB_MEMBER_PROMOTE;
        status = write_change(buffer, &change);
    }
    return status;
}

static enum SlStatus
write_header(const struct SlRaft *raft, const struct SlRaftMembers *members,
             struct SlBuffer *buffer)
{
    uint64_t time_us = htole64(raft->last_time_us);
    uint32_t change_count = 0;
    enum SlStatus status = SlBuffer_Append(buffer, &time_us, sizeof(time_us));

    for (uint32_t i = 0; i < members->count; i++) {
        change_count += members->items[i].is_voter ? 2 : 1;
    }
    if (status == SL_OK) {
        status = write_u32(buffer, change_count);
    }
    for (uint32_t i = 0; status == SL_OK && i < members->count; i++) {
        status = write_member(buffer, &members->items[i]);
    }
    return status;
}

static bool
read_members(struct snapshot_reader *reader, struct SlRaftMembers *members)
{
    uint32_t change_count;
    uint32_t length_bytes;
    struct SlChange change;

    *members = (struct SlRaftMembers){.count = 0};
    if (!read_u32(reader, &change_count)) {
        return false;
    }
    for (uint32_t i = 0; i < change_count; i++) {
        if (!read_u32(reader, &length_bytes) ||
            reader->length_bytes < length_bytes ||
            SlChange_Decode(reader->bytes, length_bytes, &change) != SL_OK) {
            return false;
        }
        SlChange_Release(&change);
        if (!SlRaftMembers_Apply(members, &change)) {
            return false;
        }
        reader->bytes += length_bytes;
        reader->length_bytes -= length_bytes;
    }
    return true;
}

enum SlStatus
SlRaft_LoadSnapshot(struct SlRaft *raft, struct SlVersion last,
                    const uint8_t *bytes, size_t length_bytes)
{
    struct snapshot_reader reader = {.bytes = bytes,
                                     .length_bytes = length_bytes};
    struct SlRaftMembers members;
    uint64_t time_us;
    enum SlStatus status;

    if (!read_bytes(&reader, &time_us, sizeof(time_us)) ||
        !read_members(&reader, &members)) {
        return SL_DAMAGED;
    }
    status = raft->options.host_type->restore_state(
        raft->options.host, last, reader.bytes, reader.length_bytes);
    if (status != SL_OK) {
        return status;
    }
    if (le64toh(time_us) > raft->last_time_us) {
        raft->last_time_us = le64toh(time_us);
    }
    raft->base_members = members;
    raft->applied_members = members;
    raft->snapshot_last = last;
    raft->applied = last;
    if (raft->commit_index < last.index) {
        raft->commit_index = last.index;
    }
    return SL_OK;
}

/// Sets the index of the last durable record after a snapshot was saved: the
/// snapshot may cover more than the log had, or replace all of its records.
static void
clamp_synced_index(struct SlRaft *raft)
{
    if (raft->synced_index < raft->snapshot_last.index ||
        raft->synced_index > SlRaft_LastIndex(raft)) {
        raft->synced_index = raft->snapshot_last.index;
    }
}

/// Saves a snapshot of the state at version with these members. The records of
/// the log from index keep_from on are kept.
static enum SlStatus
save_snapshot(struct SlRaft *raft, struct SlVersion version,
              const struct SlRaftMembers *members, uint64_t keep_from)
{
    struct SlStorage *storage = raft->options.storage;
    struct SlBuffer buffer = {.bytes = NULL};
    enum SlStatus status = write_header(raft, members, &buffer);

    if (status == SL_OK) {
        status =
            raft->options.host_type->save_state(raft->options.host, &buffer);
    }
    if (status == SL_OK) {
        status = storage->type->save_snapshot(storage, version, buffer.bytes,
                                              buffer.length_bytes, keep_from);
    }
    if (status == SL_OK) {
        raft->snapshot_last = version;
        raft->base_members = *members;
        clamp_synced_index(raft);
        SlRaft_StorageWorks(raft);
        raft->options.host_type->emit_event(
            raft->options.host, SL_EVENT_SNAPSHOT, NULL, "written",
            (int64_t)version.index, (int64_t)buffer.length_bytes);
    }
    SlBuffer_Release(&buffer);
    return status;
}

enum SlStatus
SlRaft_Bootstrap(struct SlRaft *raft)
{
    enum SlStatus status;

    raft->applied = FIRST_VERSION;
    raft->applied_members = raft->options.first_members;
    status = save_snapshot(raft, FIRST_VERSION, &raft->options.first_members,
                           FIRST_VERSION.index + 1);
    if (status != SL_OK) {
        return status;
    }
    raft->commit_index = FIRST_VERSION.index;
    raft->hard_state.term = FIRST_VERSION.term;
    raft->hard_state.caught_up = true;
    return SlRaft_SaveHardState(raft);
}

void
SlRaft_TakeSnapshot(struct SlRaft *raft)
{
    uint64_t first = SlRaft_FirstIndex(raft);
    uint64_t keep_from = raft->applied.index + 1;
    struct SlRaftMembers members = raft->applied_members;
    enum SlStatus status;

    keep_from = keep_from > first + SL_RAFT_RETAINED_RECORDS
                    ? keep_from - SL_RAFT_RETAINED_RECORDS
                    : first;
    status = save_snapshot(raft, raft->applied, &members, keep_from);
    if (status != SL_OK) {
        SlRaft_StorageFailed(raft, status);
    }
}

static void
send_snapshot_chunk(struct SlRaft *raft, struct SlRaftProgress *progress)
{
    struct SlStorage *storage = raft->options.storage;
    struct SlMessage message = {.kind = SL_MESSAGE_INSTALL,
                                .install = {.term = raft->hard_state.term}};
    struct SlInstall *install = &message.install;
    const uint8_t *bytes;
    size_t length_bytes;

    storage->type->get_snapshot(storage, &install->last, &bytes,
                                &length_bytes);
    if (SlVersion_Compare(install->last, progress->install_last) != 0 ||
        progress->install_offset > length_bytes) {
        progress->install_last = install->last;
        progress->install_offset = 0;
    }
    install->offset = progress->install_offset;
    install->data = bytes + install->offset;
    length_bytes -= install->offset;
    install->done = length_bytes <= SL_BLOB_CHUNK_BYTES;
    install->data_bytes =
        install->done ? (uint32_t)length_bytes : SL_BLOB_CHUNK_BYTES;
    progress->install_sent_us = raft->now_us;
    raft->options.host_type->send_message(raft->options.host,
                                          progress->node_id, &message);
}

void
SlRaft_StartInstall(struct SlRaft *raft, struct SlRaftProgress *progress)
{
    progress->is_installing = true;
    progress->install_last = (struct SlVersion){.term = 0};
    progress->install_offset = 0;
    send_snapshot_chunk(raft, progress);
}

void
SlRaft_InstallTick(struct SlRaft *raft, struct SlRaftProgress *progress)
{
    if (raft->now_us - progress->install_sent_us >= INSTALL_RETRY_US) {
        send_snapshot_chunk(raft, progress);
    }
}

/// True when the received snapshot can be decoded.
static bool
is_incoming_decodable(struct SlRaft *raft)
{
    struct snapshot_reader reader = {.bytes = raft->incoming_snapshot.bytes,
                                     .length_bytes =
                                         raft->incoming_snapshot.length_bytes};
    struct SlRaftMembers members;
    uint64_t time_us;

    return read_bytes(&reader, &time_us, sizeof(time_us)) &&
           read_members(&reader, &members) &&
           raft->options.host_type->check_state(
               raft->options.host, reader.bytes, reader.length_bytes) == SL_OK;
}

/// Saves the received snapshot in storage and loads it. After a failed write
/// the snapshot is still complete, and is saved when its last chunk comes
/// again.
static enum SlStatus
install_incoming_snapshot(struct SlRaft *raft)
{
    struct SlStorage *storage = raft->options.storage;
    struct SlVersion last = raft->incoming_snapshot_last;
    enum SlStatus status;

    if (!is_incoming_decodable(raft)) {
        raft->options.host_type->emit_event(
            raft->options.host, SL_EVENT_FAILED, NULL,
            SlStatus_Name(SL_MALFORMED), (int64_t)last.index, 0);
        return SL_MALFORMED;
    }
    status = storage->type->save_snapshot(
        storage, last, raft->incoming_snapshot.bytes,
        raft->incoming_snapshot.length_bytes, last.index + 1);
    if (status == SL_OK) {
        status = SlRaft_LoadSnapshot(raft, last, raft->incoming_snapshot.bytes,
                                     raft->incoming_snapshot.length_bytes);
        clamp_synced_index(raft);
    }
    if (status == SL_OK) {
        SlRaft_StorageWorks(raft);
        status = SlRaft_RebuildMembers(raft);
    }
    if (status != SL_OK) {
        SlRaft_StorageFailed(raft, status);
        return status;
    }
    raft->options.host_type->emit_event(
        raft->options.host, SL_EVENT_SNAPSHOT, NULL, "installed",
        (int64_t)last.index, (int64_t)raft->incoming_snapshot.length_bytes);
    return SL_OK;
}

static void
append_snapshot_chunk(struct SlRaft *raft, const struct SlInstall *install)
{
    if (SlVersion_Compare(raft->incoming_snapshot_last, install->last) != 0 ||
        install->offset == 0) {
        SlBuffer_Clear(&raft->incoming_snapshot);
        raft->incoming_snapshot_last = install->last;
    }
    if (install->offset == raft->incoming_snapshot.length_bytes) {
        SlBuffer_Append(&raft->incoming_snapshot, install->data,
                        install->data_bytes);
    }
}

void
SlRaft_OnInstall(struct SlRaft *raft, uint64_t sender_id,
                 const struct SlInstall *install)
{
    struct SlMessage answer = {.kind = SL_MESSAGE_INSTALLED};
    struct SlInstalled *installed = &answer.installed;
    uint64_t end = install->offset + install->data_bytes;

    if (!SlRaft_AcceptLeader(raft, sender_id, install->term)) {
        return;
    }
    SlRaft_RefuseVotesFor(raft, raft->options.election_us);
    installed->incarnation = raft->hard_state.incarnation;
    installed->term = raft->hard_state.term;
    if (install->last.index <= raft->commit_index) {
        installed->done = true;
    }
    else {
        append_snapshot_chunk(raft, install);
        installed->offset = raft->incoming_snapshot.length_bytes;
        if (install->done && installed->offset == end) {
            enum SlStatus status = install_incoming_snapshot(raft);

            installed->done = status == SL_OK;
            if (status == SL_MALFORMED) {
                installed->offset = 0;
            }
            if (status == SL_OK || status == SL_MALFORMED) {
                SlBuffer_Release(&raft->incoming_snapshot);
            }
        }
    }
    raft->options.host_type->send_message(raft->options.host, sender_id,
                                          &answer);
}

void
SlRaft_OnInstalled(struct SlRaft *raft, uint64_t sender_id,
                   const struct SlInstalled *installed)
{
    struct SlRaftProgress *progress = SlRaft_FindProgress(raft, sender_id);

    if (installed->term > raft->hard_state.term) {
        SlRaft_BecomeFollower(raft, installed->term, 0, "newer_term");
        return;
    }
    if (raft->state != SL_CONTROL_LEADER || progress == NULL ||
        !progress->is_installing || installed->term != raft->hard_state.term ||
        installed->incarnation != progress->incarnation) {
        return;
    }
    if (installed->done) {
        progress->is_installing = false;
        progress->next_index = progress->install_last.index + 1;
        progress->append_due = true;
        return;
    }
    if (installed->offset > progress->install_offset) {
        progress->install_offset = installed->offset;
        send_snapshot_chunk(raft, progress);
    }
    else {
        /* The member has lost chunks that it had acknowledged, by a restart
           or for want of memory. SlRaft_InstallTick sends them again. */
        progress->install_offset = installed->offset;
    }
}
