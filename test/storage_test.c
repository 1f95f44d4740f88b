/* Durable storage: acknowledged writes survive a crash at any file call, and
 * damaged files are refused and left unchanged. */

#include <pthread.h>
#include <time.h>

#include "fault_files.h"
#include "savoryledge/state/storage.h"
#include "test.h"

enum {
    NODE_ID = 5,
    INCARNATION = 77,
    FILE_MAX_BYTES = 64 * 1024,
    LOG_HEADER_BYTES = 16,
};

static char folder_path[64];

static enum SlStatus
open_with_files(struct SlFiles *files, struct SlStorage **storage,
                struct SlError *error)
{
    return SlStorage_OpenFolderWithFiles(files, folder_path, NODE_ID,
                                         INCARNATION, storage, error);
}

static struct SlStorage *
open_storage(void)
{
    struct SlStorage *storage = NULL;
    struct SlError error = {.status = SL_OK};
    enum SlStatus status = open_with_files(SlFiles_System(), &storage, &error);

    if (status != SL_OK) {
        printf("%s\n", error.message);
    }
    CU_ASSERT_EQUAL_FATAL(status, SL_OK);
    return storage;
}

/// Appends a record whose term and data are derived from its index, so that
/// check_record can verify them.
static enum SlStatus
append_record(struct SlStorage *storage, uint64_t index)
{
    uint8_t data[200];
    struct SlLogRecord record = {.term = 1 + index / 10,
                                 .index = index,
                                 .data = data,
                                 .data_bytes = 40 + (uint32_t)index % 100};

    memset(data, (int)(index % 251), sizeof(data));
    return storage->type->append(storage, &record, 1);
}

static void
check_record(struct SlStorage *storage, uint64_t index)
{
    struct SlLogRecord record;

    CU_ASSERT_EQUAL_FATAL(storage->type->read_record(storage, index, &record),
                          SL_OK);
    CU_ASSERT_EQUAL(record.index, index);
    CU_ASSERT_EQUAL(record.term, 1 + index / 10);
    CU_ASSERT_EQUAL(record.data_bytes, 40 + index % 100);
    CU_ASSERT_EQUAL(record.data[record.data_bytes - 1], index % 251);
}

static uint64_t
last_index_of(const struct SlStorage *storage)
{
    uint64_t first_index;
    uint64_t last_index;

    storage->type->index_range(storage, &first_index, &last_index);
    return last_index;
}

/// Writes three batches of records to the log: index 1, indices 2 and 3, and
/// indices 4 to 6.
static void
write_three_batches(void)
{
    struct SlStorage *storage;
    uint64_t index = 1;

    folder_remove_files(folder_path);
    storage = open_storage();
    for (uint64_t batch = 1; batch <= 3; batch++) {
        for (uint64_t i = 0; i < batch; i++) {
            append_record(storage, index++);
        }
        CU_ASSERT_EQUAL(storage->type->sync(storage), SL_OK);
    }
    SlStorage_Destroy(storage);
}

static void
test_reopened_folder_has_the_written_state(void)
{
    struct SlHardState state = {.term = 9,
                                .voted_for = 3,
                                .incarnation = INCARNATION,
                                .node_id = NODE_ID,
                                .caught_up = true};
    struct SlHardState found;
    struct SlVersion last_version;
    const uint8_t *bytes;
    size_t length_bytes;
    struct SlStorage *storage;

    write_three_batches();
    storage = open_storage();
    storage->type->save_hard_state(storage, &state);
    storage->type->save_snapshot(storage, (struct SlVersion){1, 5},
                                 (const uint8_t *)"state", 5, 4);
    append_record(storage, 7);
    CU_ASSERT_EQUAL(storage->type->sync(storage), SL_OK);
    SlStorage_Destroy(storage);

    storage = open_storage();
    storage->type->copy_hard_state(storage, &found);
    CU_ASSERT_EQUAL(found.term, 9);
    CU_ASSERT_EQUAL(found.voted_for, 3);
    CU_ASSERT(found.caught_up);
    storage->type->get_snapshot(storage, &last_version, &bytes, &length_bytes);
    CU_ASSERT_EQUAL(last_version.index, 5);
    CU_ASSERT_EQUAL_FATAL(length_bytes, 5);
    CU_ASSERT_EQUAL(memcmp(bytes, "state", 5), 0);
    for (uint64_t i = 4; i <= 7; i++) {
        check_record(storage, i);
    }
    CU_ASSERT_EQUAL(last_index_of(storage), 7);
    CU_ASSERT_EQUAL(storage->type->truncate(storage, 6), SL_OK);
    SlStorage_Destroy(storage);
    storage = open_storage();
    CU_ASSERT_EQUAL(last_index_of(storage), 5);
    SlStorage_Destroy(storage);
}

/// A crash while the last batch is written leaves a truncated log file: tries
/// every length within that batch. The earlier batches must be kept, and the
/// log must accept new records.
static void
test_torn_tail_is_removed(void)
{
    static uint8_t contents[FILE_MAX_BYTES];
    long two_batches_bytes;
    long length_bytes;
    struct SlStorage *storage;

    write_three_batches();
    length_bytes =
        folder_read_file(folder_path, "log", contents, sizeof(contents));
    two_batches_bytes = LOG_HEADER_BYTES + 3 * 56 + 41 + 42 + 43;
    for (long cut_bytes = two_batches_bytes; cut_bytes < length_bytes;
         cut_bytes++) {
        folder_write_file(folder_path, "log", contents, (size_t)cut_bytes);
        storage = open_storage();
        CU_ASSERT(last_index_of(storage) >= 3 && last_index_of(storage) < 6);
        for (uint64_t i = 1; i <= last_index_of(storage); i++) {
            check_record(storage, i);
        }
        append_record(storage, last_index_of(storage) + 1);
        CU_ASSERT_EQUAL(storage->type->sync(storage), SL_OK);
        SlStorage_Destroy(storage);
        storage = open_storage();
        check_record(storage, last_index_of(storage));
        SlStorage_Destroy(storage);
    }
}

/// A crash may leave a sector of the last batch unwritten, so that it reads
/// as zeros, although a later part of the batch reached the disk. This is a
/// torn tail, not damage.
static void
test_unwritten_sector_is_torn(void)
{
    static uint8_t contents[FILE_MAX_BYTES];
    uint8_t data[1200];
    struct SlLogRecord record = {
        .term = 1, .index = 7, .data = data, .data_bytes = sizeof(data)};
    struct SlStorage *storage;
    long length_bytes;

    memset(data, 9, sizeof(data));
    write_three_batches();
    storage = open_storage();
    storage->type->append(storage, &record, 1);
    append_record(storage, 8);
    storage->type->sync(storage);
    SlStorage_Destroy(storage);
    length_bytes =
        folder_read_file(folder_path, "log", contents, sizeof(contents));
    memset(contents + 1024, 0, 512);
    folder_write_file(folder_path, "log", contents, (size_t)length_bytes);
    storage = open_storage();
    CU_ASSERT_EQUAL(last_index_of(storage), 6);
    SlStorage_Destroy(storage);
}

/// Checks that a folder with the given file is refused, that the message
/// names the file and an offset, and that the file is left unchanged.
static void
check_damage_is_refused(const char *name, const uint8_t *bytes,
                        long length_bytes)
{
    static uint8_t contents_after[FILE_MAX_BYTES];
    struct SlStorage *storage = NULL;
    struct SlError error = {.status = SL_OK};
    char expected_text[32];

    folder_write_file(folder_path, name, bytes, (size_t)length_bytes);
    CU_ASSERT_EQUAL(open_with_files(SlFiles_System(), &storage, &error),
                    SL_DAMAGED);
    CU_ASSERT_PTR_NULL(storage);
    snprintf(expected_text, sizeof(expected_text), "/%s: damaged at offset",
             name);
    CU_ASSERT_PTR_NOT_NULL(strstr(error.message, expected_text));
    CU_ASSERT_EQUAL(folder_read_file(folder_path, name, contents_after,
                                     sizeof(contents_after)),
                    length_bytes);
    CU_ASSERT_EQUAL(memcmp(contents_after, bytes, (size_t)length_bytes), 0);
    SlStorage_Destroy(storage);
}

/// Checks that a flipped bit is detected in each byte of a synced file.
static void
check_bit_flips_are_refused(const char *name)
{
    static uint8_t contents[FILE_MAX_BYTES];
    long length_bytes =
        folder_read_file(folder_path, name, contents, sizeof(contents));

    for (long i = 0; i < length_bytes; i++) {
        contents[i] ^= 0x10;
        check_damage_is_refused(name, contents, length_bytes);
        contents[i] ^= 0x10;
    }
    folder_write_file(folder_path, name, contents, (size_t)length_bytes);
}

static void
test_damage_is_refused(void)
{
    struct SlStorage *storage;

    write_three_batches();
    storage = open_storage();
    storage->type->save_snapshot(storage, (struct SlVersion){1, 2},
                                 (const uint8_t *)"state", 5, 2);
    SlStorage_Destroy(storage);
    check_bit_flips_are_refused("log");
    check_bit_flips_are_refused("snapshot");
    check_bit_flips_are_refused("state");
    storage = open_storage();
    CU_ASSERT_EQUAL(last_index_of(storage), 6);
    SlStorage_Destroy(storage);
}

static void
test_missing_file_is_refused(void)
{
    static const char *const NAMES[] = {"log", "state"};
    static uint8_t contents[FILE_MAX_BYTES];
    char file_path[128];

    for (size_t i = 0; i < 2; i++) {
        struct SlStorage *storage = NULL;
        struct SlError error;

        write_three_batches();
        folder_read_file(folder_path, NAMES[i], contents, sizeof(contents));
        snprintf(file_path, sizeof(file_path), "%s/%s", folder_path, NAMES[i]);
        unlink(file_path);
        CU_ASSERT_EQUAL(open_with_files(SlFiles_System(), &storage, &error),
                        SL_DAMAGED);
        CU_ASSERT_PTR_NOT_NULL(strstr(error.message, NAMES[i]));
        SlStorage_Destroy(storage);
    }
}

static void
test_foreign_or_locked_folder(void)
{
    struct SlStorage *storage;
    struct SlStorage *other = NULL;
    struct fault_files files;
    struct SlError error;

    write_three_batches();
    storage = open_storage();
    fault_files_init(&files, 0, 0);
    CU_ASSERT_EQUAL(open_with_files(&files.files, &other, &error), SL_IO);
    SlStorage_Destroy(storage);
    CU_ASSERT_EQUAL(
        SlStorage_OpenFolder(folder_path, NODE_ID + 1, 1, &other, &error),
        SL_INVALID);
}

static void *
destroy_storage_later(void *storage)
{
    struct timespec delay = {.tv_nsec = 100 * 1000 * 1000};

    nanosleep(&delay, NULL);
    SlStorage_Destroy(storage);
    return NULL;
}

/// A process that is killed may still hold the lock of its folder when it is
/// started again. Opening the folder must wait for the lock.
static void
test_open_waits_for_lock(void)
{
    struct SlStorage *storage;
    pthread_t thread;

    write_three_batches();
    CU_ASSERT_EQUAL_FATAL(
        pthread_create(&thread, NULL, destroy_storage_later, open_storage()),
        0);
    storage = open_storage();
    pthread_join(thread, NULL);
    CU_ASSERT_EQUAL(last_index_of(storage), 6);
    SlStorage_Destroy(storage);
}

/// Opens the folder, and then makes the calls from call number failing_call on
/// fail, counted from here.
static void
open_with_later_fault(struct fault_files *files, uint32_t failing_call,
                      int error, struct SlStorage **storage)
{
    fault_files_init(files, 0, 0);
    CU_ASSERT_EQUAL_FATAL(open_with_files(&files->files, storage, NULL),
                          SL_OK);
    fault_files_init(files, failing_call, error);
}

/// The writes to the storage that were acknowledged as durable.
struct acknowledged_writes {
    /// Index of the last record that was acknowledged as synced.
    uint64_t synced_index;
    /// The last term whose write was acknowledged, and the last term that was
    /// to be written.
    uint64_t saved_term;
    uint64_t attempted_term;
    /// Index of the last change in the acknowledged snapshot.
    uint64_t snapshot_index;
    /// First index of a truncation that was not acknowledged: records from
    /// this index on may be gone. UINT64_MAX when there is no such truncation.
    uint64_t truncated_from_index;
};

static void
save_term_and_record_outcome(struct SlStorage *storage, uint64_t term,
                             struct acknowledged_writes *acknowledged)
{
    struct SlHardState state = {
        .term = term, .incarnation = INCARNATION, .node_id = NODE_ID};

    acknowledged->attempted_term = term;
    if (storage->type->save_hard_state(storage, &state) == SL_OK) {
        acknowledged->saved_term = term;
    }
}

static void
sync_and_record_outcome(struct SlStorage *storage,
                        struct acknowledged_writes *acknowledged)
{
    uint64_t last_index = last_index_of(storage);

    if (storage->type->sync(storage) == SL_OK) {
        acknowledged->synced_index = last_index;
    }
}

/// Makes every kind of write and records which writes were acknowledged.
static void
run_all_writes(struct SlStorage *storage,
               struct acknowledged_writes *acknowledged)
{
    save_term_and_record_outcome(storage, 1, acknowledged);
    append_record(storage, 1);
    sync_and_record_outcome(storage, acknowledged);
    append_record(storage, last_index_of(storage) + 1);
    append_record(storage, last_index_of(storage) + 1);
    sync_and_record_outcome(storage, acknowledged);
    save_term_and_record_outcome(storage, 2, acknowledged);
    acknowledged->truncated_from_index = 3;
    if (last_index_of(storage) >= 3 &&
        storage->type->truncate(storage, 3) == SL_OK) {
        acknowledged->synced_index = 2;
        acknowledged->truncated_from_index = UINT64_MAX;
    }
    append_record(storage, last_index_of(storage) + 1);
    sync_and_record_outcome(storage, acknowledged);
    if (last_index_of(storage) == 3 &&
        storage->type->save_snapshot(storage, (struct SlVersion){1, 2},
                                     (const uint8_t *)"state", 5,
                                     3) == SL_OK) {
        acknowledged->snapshot_index = 2;
    }
    append_record(storage, last_index_of(storage) + 1);
    sync_and_record_outcome(storage, acknowledged);
    save_term_and_record_outcome(storage, 3, acknowledged);
}

static void
check_acknowledged_state(const struct acknowledged_writes *acknowledged)
{
    struct SlStorage *storage = open_storage();
    struct SlHardState state;
    struct SlVersion last_version;
    const uint8_t *bytes;
    size_t length_bytes;
    uint64_t synced_index =
        acknowledged->synced_index < acknowledged->truncated_from_index
            ? acknowledged->synced_index
            : acknowledged->truncated_from_index - 1;

    storage->type->copy_hard_state(storage, &state);
    CU_ASSERT(state.term >= acknowledged->saved_term &&
              state.term <= acknowledged->attempted_term);
    storage->type->get_snapshot(storage, &last_version, &bytes, &length_bytes);
    CU_ASSERT(last_version.index >= acknowledged->snapshot_index);
    CU_ASSERT(last_index_of(storage) >= synced_index);
    for (uint64_t i = last_version.index + 1; i <= last_index_of(storage);
         i++) {
        check_record(storage, i);
    }
    SlStorage_Destroy(storage);
}

/// Makes all kinds of writes, with the file calls failing from call number
/// failing_call on. Returns true when there were at least that many calls.
static bool
run_with_fault(uint32_t failing_call, int error,
               struct acknowledged_writes *acknowledged)
{
    struct fault_files files;
    struct SlStorage *storage = NULL;

    folder_remove_files(folder_path);
    SlStorage_Destroy(open_storage());
    open_with_later_fault(&files, failing_call, error, &storage);
    *acknowledged =
        (struct acknowledged_writes){.truncated_from_index = UINT64_MAX};
    run_all_writes(storage, acknowledged);
    SlStorage_Destroy(storage);
    return files.calls >= failing_call;
}

static void
test_crash_at_any_file_call(void)
{
    struct acknowledged_writes acknowledged;
    uint32_t failing_call = 1;

    while (run_with_fault(failing_call, EIO, &acknowledged)) {
        check_acknowledged_state(&acknowledged);
        failing_call++;
    }
    CU_ASSERT(failing_call > 20);
    CU_ASSERT_EQUAL(acknowledged.synced_index, 4);
}

/// Storage that could not make durable what it read must refuse writes, and
/// syncs of nothing, until it recovers.
static void
check_refusal_until_recovery(struct SlStorage *storage,
                             struct fault_files *files)
{
    struct SlHardState state;

    storage->type->copy_hard_state(storage, &state);
    CU_ASSERT_EQUAL(storage->type->sync(storage), SL_IO);
    CU_ASSERT_EQUAL(storage->type->save_hard_state(storage, &state), SL_IO);
    CU_ASSERT_EQUAL(storage->type->truncate(storage, 4), SL_IO);
    files->error = 0;
    CU_ASSERT_EQUAL(storage->type->recover(storage), SL_OK);
    CU_ASSERT_EQUAL(storage->type->sync(storage), SL_OK);
    CU_ASSERT_EQUAL(storage->type->save_hard_state(storage, &state), SL_OK);
}

/// A crash at any file call of a start that finds a state leaves that state,
/// and a disk that becomes full at any of them doesn't keep it from starting.
static void
test_crash_at_later_start(void)
{
    static const int ERRORS[] = {EIO, ENOSPC};

    for (size_t i = 0; i < sizeof(ERRORS) / sizeof(ERRORS[0]); i++) {
        uint32_t failing_call = 1;
        bool failed = true;

        while (failed) {
            struct acknowledged_writes acknowledged;
            struct fault_files files;
            struct SlStorage *storage = NULL;

            run_with_fault(0, 0, &acknowledged);
            CU_ASSERT_EQUAL(acknowledged.synced_index, 4);
            fault_files_init(&files, failing_call++, ERRORS[i]);
            CU_ASSERT_EQUAL_FATAL(
                open_with_files(&files.files, &storage, NULL), SL_OK);
            failed = files.failing;
            CU_ASSERT_EQUAL(last_index_of(storage), 4);
            if (failed && ERRORS[i] == EIO) {
                check_refusal_until_recovery(storage, &files);
            }
            SlStorage_Destroy(storage);
            check_acknowledged_state(&acknowledged);
        }
        CU_ASSERT(failing_call > 9);
    }
}

/// A crash while an empty folder is initialised must not leave a folder that
/// is refused: the next start completes the initialisation.
static void
test_crash_at_first_start(void)
{
    for (uint32_t failing_call = 1; failing_call <= 9; failing_call++) {
        struct fault_files files;
        struct SlStorage *storage = NULL;

        folder_remove_files(folder_path);
        fault_files_init(&files, failing_call, EIO);
        if (open_with_files(&files.files, &storage, NULL) != SL_OK) {
            storage = open_storage();
        }
        CU_ASSERT_EQUAL(last_index_of(storage), 0);
        SlStorage_Destroy(storage);
    }
}

/// While the disk is full, writes must fail and reads must work. Writes must
/// work again without a restart once there is space.
static void
test_full_disk(void)
{
    for (uint32_t failing_call = 1; failing_call < 30; failing_call++) {
        struct fault_files files;
        struct SlStorage *storage = NULL;
        uint64_t last_index;

        write_three_batches();
        fault_files_init(&files, failing_call, ENOSPC);
        CU_ASSERT_EQUAL_FATAL(open_with_files(&files.files, &storage, NULL),
                              SL_OK);
        last_index = last_index_of(storage);
        while (!files.failing) {
            append_record(storage, last_index + 1);
            last_index += storage->type->sync(storage) == SL_OK;
        }
        append_record(storage, last_index_of(storage) + 1);
        CU_ASSERT_EQUAL(storage->type->sync(storage), SL_DISK_FULL);
        CU_ASSERT_EQUAL(storage->type->last_error(storage)->status,
                        SL_DISK_FULL);
        CU_ASSERT_FALSE(files.is_unsynced);
        last_index = last_index_of(storage);
        check_record(storage, last_index);
        files.error = 0;
        append_record(storage, last_index + 1);
        CU_ASSERT_EQUAL(storage->type->sync(storage), SL_OK);
        SlStorage_Destroy(storage);
        storage = open_storage();
        CU_ASSERT_EQUAL(last_index_of(storage), last_index + 1);
        check_record(storage, last_index + 1);
        SlStorage_Destroy(storage);
    }
}

/// After a failed sync the contents of the file are unknown, so every later
/// write must be refused until the folder is opened again.
static void
test_failed_sync_disables_writes(void)
{
    struct fault_files files;
    struct SlStorage *storage = NULL;
    struct SlHardState state = {.term = 4, .node_id = NODE_ID};

    write_three_batches();
    open_with_later_fault(&files, 2, EIO, &storage);
    append_record(storage, 7);
    CU_ASSERT_EQUAL(storage->type->sync(storage), SL_IO);
    files.error = 0;
    CU_ASSERT_EQUAL(last_index_of(storage), 6);
    CU_ASSERT_EQUAL(append_record(storage, 7), SL_IO);
    CU_ASSERT_EQUAL(storage->type->save_hard_state(storage, &state), SL_IO);
    SlStorage_Destroy(storage);
    storage = open_storage();
    CU_ASSERT(last_index_of(storage) >= 6);
    SlStorage_Destroy(storage);
}

/// Writes three batches, opens the folder with these file calls, and makes the
/// disk full from the given call on.
static struct SlStorage *
open_full(struct fault_files *files, uint32_t call)
{
    struct SlStorage *storage = NULL;

    write_three_batches();
    open_with_later_fault(files, call, ENOSPC, &storage);
    return storage;
}

/// Opens a copy of the folder as a restart would find it, and returns the last
/// index of its log.
static uint64_t
last_index_after_crash(void)
{
    static const char *const NAMES[] = {"state", "log", "snapshot", "log.new"};
    static uint8_t contents[FILE_MAX_BYTES];
    struct SlStorage *storage = NULL;
    uint64_t last_index = UINT64_MAX;
    char copy_path[64];

    folder_create_temporary(copy_path);
    for (size_t i = 0; i < sizeof(NAMES) / sizeof(NAMES[0]); i++) {
        long length_bytes = folder_read_file(folder_path, NAMES[i], contents,
                                             sizeof(contents));

        if (length_bytes >= 0) {
            folder_write_file(copy_path, NAMES[i], contents,
                              (size_t)length_bytes);
        }
    }
    CU_ASSERT_EQUAL(
        SlStorage_OpenFolder(copy_path, NODE_ID, INCARNATION, &storage, NULL),
        SL_OK);
    if (storage != NULL) {
        last_index = last_index_of(storage);
    }
    CU_ASSERT_EQUAL(
        folder_read_file(copy_path, "log.new", contents, sizeof(contents)),
        -1);
    SlStorage_Destroy(storage);
    folder_remove(copy_path);
    return last_index;
}

/// A truncation of synced records that a full disk refuses changes nothing,
/// neither in memory nor after a crash, and succeeds once there is room.
static void
test_truncation_on_full_disk(void)
{
    struct fault_files files;
    struct SlStorage *storage = open_full(&files, 1);

    CU_ASSERT_EQUAL(storage->type->truncate(storage, 3), SL_DISK_FULL);
    CU_ASSERT_EQUAL(last_index_of(storage), 6);
    check_record(storage, 6);
    CU_ASSERT_EQUAL(last_index_after_crash(), 6);
    files.error = 0;
    append_record(storage, 7);
    CU_ASSERT_EQUAL(storage->type->sync(storage), SL_OK);
    CU_ASSERT_EQUAL(last_index_after_crash(), 7);
    CU_ASSERT_EQUAL(storage->type->truncate(storage, 3), SL_OK);
    CU_ASSERT_EQUAL(last_index_of(storage), 2);
    CU_ASSERT_EQUAL(last_index_after_crash(), 2);
    append_record(storage, 3);
    CU_ASSERT_EQUAL(storage->type->sync(storage), SL_OK);
    CU_ASSERT_EQUAL(last_index_after_crash(), 3);
    SlStorage_Destroy(storage);
}

/// The disk becomes full at any call of a snapshot that replaces the whole log
/// (as one from the leader does) or its first records. Once there is room the
/// log goes on, and a crash at any moment recovers what was acknowledged.
static void
check_snapshot_on_full_disk(struct SlVersion version, uint64_t keep_from,
                            uint32_t call)
{
    struct fault_files files;
    struct SlStorage *storage = open_full(&files, call);
    bool saved = storage->type->save_snapshot(storage, version,
                                              (const uint8_t *)"state", 5,
                                              keep_from) == SL_OK;
    uint64_t last_index = last_index_of(storage);

    CU_ASSERT_EQUAL(last_index,
                    saved && version.index > 6 ? version.index : 6);
    CU_ASSERT_EQUAL(last_index_after_crash(), last_index);
    append_record(storage, last_index + 1);
    if (storage->type->sync(storage) == SL_OK) {
        last_index++;
    }
    CU_ASSERT_EQUAL(last_index_of(storage), last_index);
    CU_ASSERT_EQUAL(last_index_after_crash(), last_index);
    files.failing = false;
    files.error = 0;
    append_record(storage, last_index + 1);
    CU_ASSERT_EQUAL(storage->type->sync(storage), SL_OK);
    CU_ASSERT_EQUAL(last_index_after_crash(), last_index + 1);
    SlStorage_Destroy(storage);
    storage = open_storage();
    check_record(storage, last_index + 1);
    SlStorage_Destroy(storage);
}

static void
test_snapshot_on_full_disk(void)
{
    for (uint32_t call = 1; call <= 10; call++) {
        check_snapshot_on_full_disk((struct SlVersion){2, 20}, 21, call);
        check_snapshot_on_full_disk((struct SlVersion){1, 4}, 3, call);
    }
}

/// A start on a full disk succeeds, although the log file has to be replaced:
/// that waits for the first write that finds room.
static void
test_start_on_full_disk(void)
{
    struct fault_files files;
    struct SlStorage *storage = open_full(&files, 5);

    CU_ASSERT_EQUAL(
        storage->type->save_snapshot(storage, (struct SlVersion){2, 20},
                                     (const uint8_t *)"state", 5, 21),
        SL_OK);
    CU_ASSERT(files.failing);
    SlStorage_Destroy(storage);
    fault_files_init(&files, 1, ENOSPC);
    CU_ASSERT_EQUAL_FATAL(open_with_files(&files.files, &storage, NULL),
                          SL_OK);
    CU_ASSERT_EQUAL(last_index_of(storage), 20);
    append_record(storage, 21);
    CU_ASSERT_EQUAL(storage->type->sync(storage), SL_DISK_FULL);
    files.error = 0;
    append_record(storage, 21);
    CU_ASSERT_EQUAL(storage->type->sync(storage), SL_OK);
    CU_ASSERT_EQUAL(last_index_after_crash(), 21);
    SlStorage_Destroy(storage);
}

/// A failure that is not for want of space, at any file call: storage that
/// refuses writes after it recovers without a restart, and then holds what was
/// acknowledged, in memory and after a crash.
static void
test_recovery_after_io_error(void)
{
    struct acknowledged_writes acknowledged;
    uint32_t failing_call = 1;
    bool failed = true;

    while (failed) {
        struct fault_files files;
        struct SlStorage *storage = NULL;
        uint64_t last_index;

        folder_remove_files(folder_path);
        SlStorage_Destroy(open_storage());
        open_with_later_fault(&files, failing_call++, EIO, &storage);
        acknowledged =
            (struct acknowledged_writes){.truncated_from_index = UINT64_MAX};
        run_all_writes(storage, &acknowledged);
        failed = files.failing;
        if (failed) {
            CU_ASSERT_NOT_EQUAL(storage->type->recover(storage), SL_OK);
        }
        files.error = 0;
        CU_ASSERT_EQUAL(storage->type->recover(storage), SL_OK);
        last_index = last_index_of(storage);
        CU_ASSERT_EQUAL(last_index_after_crash(), last_index);
        append_record(storage, last_index + 1);
        CU_ASSERT_EQUAL(storage->type->sync(storage), SL_OK);
        CU_ASSERT_EQUAL(last_index_after_crash(), last_index + 1);
        save_term_and_record_outcome(storage, 4, &acknowledged);
        CU_ASSERT_EQUAL(acknowledged.saved_term, 4);
        SlStorage_Destroy(storage);
        check_acknowledged_state(&acknowledged);
    }
    CU_ASSERT(failing_call > 20);
}

/// A write that writes nothing is a failure, and is not repeated for ever.
static void
test_empty_write_is_a_failure(void)
{
    struct fault_files files;
    struct SlStorage *storage = NULL;

    write_three_batches();
    fault_files_init(&files, 0, 0);
    CU_ASSERT_EQUAL_FATAL(open_with_files(&files.files, &storage, NULL),
                          SL_OK);
    files.writes_nothing = true;
    append_record(storage, 7);
    CU_ASSERT_EQUAL(storage->type->sync(storage), SL_IO);
    SlStorage_Destroy(storage);
    storage = open_storage();
    CU_ASSERT_EQUAL(last_index_of(storage), 6);
    SlStorage_Destroy(storage);
}

/// A record that could not be synced is still in the page cache when the
/// process starts again. It must be written again before it counts as durable:
/// the kernel may have dropped the pages, or never have written them.
static void
test_unsynced_record_is_written_again_after_restart(void)
{
    struct fault_files files;
    struct SlStorage *storage = NULL;

    write_three_batches();
    fault_files_init(&files, 0, 0);
    CU_ASSERT_EQUAL_FATAL(open_with_files(&files.files, &storage, NULL),
                          SL_OK);
    append_record(storage, 7);
    /* The write succeeds, the sync fails. */
    files.error = EIO;
    files.calls_until_failure = 2;
    CU_ASSERT_EQUAL(storage->type->sync(storage), SL_IO);
    CU_ASSERT_EQUAL(last_index_of(storage), 6);
    SlStorage_Destroy(storage);
    fault_files_init(&files, 0, 0);
    CU_ASSERT_EQUAL_FATAL(open_with_files(&files.files, &storage, NULL),
                          SL_OK);
    CU_ASSERT_EQUAL(storage->type->sync(storage), SL_OK);
    CU_ASSERT(last_index_of(storage) == 6 || files.calls > 0);
    SlStorage_Destroy(storage);
}

/// On a full disk, log and hard state that may not have been synced cannot be
/// written again: the start syncs them and the folder as they are, or refuses
/// writes.
static void
test_start_on_full_disk_syncs_files(void)
{
    struct fault_files files;
    struct SlStorage *storage = NULL;
    uint32_t calls;

    write_three_batches();
    fault_files_init(&files, 1, ENOSPC);
    CU_ASSERT_EQUAL_FATAL(open_with_files(&files.files, &storage, NULL),
                          SL_OK);
    CU_ASSERT_FALSE(files.is_unsynced);
    CU_ASSERT_EQUAL(files.syncs, 3);
    CU_ASSERT_EQUAL(last_index_of(storage), 6);
    SlStorage_Destroy(storage);
    calls = files.calls;
    for (uint32_t call = 1; call <= calls; call++) {
        fault_files_init(&files, 1, ENOSPC);
        files.failing_sync = call;
        CU_ASSERT_EQUAL_FATAL(open_with_files(&files.files, &storage, NULL),
                              SL_OK);
        CU_ASSERT_EQUAL(storage->type->sync(storage),
                        call <= 3 ? SL_IO : SL_OK);
        SlStorage_Destroy(storage);
    }
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"a reopened folder has the written state",
         test_reopened_folder_has_the_written_state},
        {"a torn tail is removed", test_torn_tail_is_removed},
        {"an unwritten sector is a torn tail", test_unwritten_sector_is_torn},
        {"damage is refused", test_damage_is_refused},
        {"a missing file is refused", test_missing_file_is_refused},
        {"a foreign or locked folder is refused",
         test_foreign_or_locked_folder},
        {"opening waits for the lock", test_open_waits_for_lock},
        {"acknowledged writes survive a crash at any file call",
         test_crash_at_any_file_call},
        {"acknowledged writes survive a crash at any call of a start",
         test_crash_at_later_start},
        {"a crash at the first start leaves a usable folder",
         test_crash_at_first_start},
        {"writes work again after the disk was full", test_full_disk},
        {"a failed sync disables writes", test_failed_sync_disables_writes},
        {"a truncation waits for room", test_truncation_on_full_disk},
        {"a snapshot waits for room", test_snapshot_on_full_disk},
        {"a start on a full disk succeeds", test_start_on_full_disk},
        {"a start on a full disk syncs what it read",
         test_start_on_full_disk_syncs_files},
        {"storage recovers after an I/O error", test_recovery_after_io_error},
        {"an empty write is a failure", test_empty_write_is_a_failure},
        {"an unsynced record is written again after a restart",
         test_unsynced_record_is_written_again_after_restart},
    };
    int failed;

    folder_create_temporary(folder_path);
    failed = RUN_SUITE("storage", CASES);
    folder_remove(folder_path);
    return failed;
}
