/* Durable state: what was acknowledged is found again after a crash at any
 * file call; damage is refused and left as it is. */

#include <pthread.h>
#include <time.h>

#include "fault_files.h"
#include "savoryledge/state/storage.h"
#include "test.h"

enum {
    NODE = 5,
    INCARNATION = 77,
    FILE_ROOM_BYTES = 64 * 1024,
    LOG_HEADER_BYTES = 16,
};

static char path[64];

static enum SlStatus
open_with(struct SlFiles *files, struct SlStorage **storage,
          struct SlError *error)
{
    return SlStorage_OpenFolderWithFiles(files, path, NODE, INCARNATION,
                                         storage, error);
}

static struct SlStorage *
open_storage(void)
{
    struct SlStorage *storage = NULL;
    struct SlError error = {.status = SL_OK};
    enum SlStatus status = open_with(SlFiles_System(), &storage, &error);

    if (status != SL_OK) {
        printf("%s\n", error.message);
    }
    CU_ASSERT_EQUAL_FATAL(status, SL_OK);
    return storage;
}

/// The data of a record follows from its index.
static enum SlStatus
append(struct SlStorage *storage, uint64_t index)
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
last_of(const struct SlStorage *storage)
{
    uint64_t first;
    uint64_t last;

    storage->type->index_range(storage, &first, &last);
    return last;
}

/// Batches of one, two and three records: indices 1, 2-3 and 4-6.
static void
write_three_batches(void)
{
    struct SlStorage *storage;
    uint64_t index = 1;

    folder_empty(path);
    storage = open_storage();
    for (uint64_t batch = 1; batch <= 3; batch++) {
        for (uint64_t i = 0; i < batch; i++) {
            append(storage, index++);
        }
        CU_ASSERT_EQUAL(storage->type->sync(storage), SL_OK);
    }
    SlStorage_Destroy(storage);
}

static void
test_reopen(void)
{
    struct SlHardState state = {.term = 9,
                                .voted_for = 3,
                                .incarnation = INCARNATION,
                                .node_id = NODE,
                                .caught_up = true};
    struct SlHardState found;
    struct SlVersion last;
    const uint8_t *bytes;
    size_t length;
    struct SlStorage *storage;

    write_three_batches();
    storage = open_storage();
    storage->type->save_hard_state(storage, &state);
    storage->type->save_snapshot(storage, (struct SlVersion){1, 5},
                                 (const uint8_t *)"state", 5, 4);
    append(storage, 7);
    CU_ASSERT_EQUAL(storage->type->sync(storage), SL_OK);
    SlStorage_Destroy(storage);

    storage = open_storage();
    storage->type->hard_state(storage, &found);
    CU_ASSERT_EQUAL(found.term, 9);
    CU_ASSERT_EQUAL(found.voted_for, 3);
    CU_ASSERT(found.caught_up);
    storage->type->snapshot(storage, &last, &bytes, &length);
    CU_ASSERT_EQUAL(last.index, 5);
    CU_ASSERT_EQUAL_FATAL(length, 5);
    CU_ASSERT_EQUAL(memcmp(bytes, "state", 5), 0);
    for (uint64_t i = 4; i <= 7; i++) {
        check_record(storage, i);
    }
    CU_ASSERT_EQUAL(last_of(storage), 7);
    CU_ASSERT_EQUAL(storage->type->truncate(storage, 6), SL_OK);
    SlStorage_Destroy(storage);
    storage = open_storage();
    CU_ASSERT_EQUAL(last_of(storage), 5);
    SlStorage_Destroy(storage);
}

/// Cuts the log at every length within the last batch.
static void
test_torn_tail_is_cut(void)
{
    static uint8_t whole[FILE_ROOM_BYTES];
    long two_batches;
    long length;
    struct SlStorage *storage;

    write_three_batches();
    length = folder_load(path, "log", whole, sizeof(whole));
    two_batches = LOG_HEADER_BYTES + 3 * 56 + 41 + 42 + 43;
    for (long cut = two_batches; cut < length; cut++) {
        folder_store(path, "log", whole, (size_t)cut);
        storage = open_storage();
        CU_ASSERT(last_of(storage) >= 3 && last_of(storage) < 6);
        for (uint64_t i = 1; i <= last_of(storage); i++) {
            check_record(storage, i);
        }
        append(storage, last_of(storage) + 1);
        CU_ASSERT_EQUAL(storage->type->sync(storage), SL_OK);
        SlStorage_Destroy(storage);
        storage = open_storage();
        check_record(storage, last_of(storage));
        SlStorage_Destroy(storage);
    }
}

/// A sector of the last batch never reached the disk and reads as zeros,
/// though a later part of that batch did.
static void
test_unwritten_sector_is_torn(void)
{
    static uint8_t whole[FILE_ROOM_BYTES];
    uint8_t data[1200];
    struct SlLogRecord record = {
        .term = 1, .index = 7, .data = data, .data_bytes = sizeof(data)};
    struct SlStorage *storage;
    long length;

    memset(data, 9, sizeof(data));
    write_three_batches();
    storage = open_storage();
    storage->type->append(storage, &record, 1);
    append(storage, 8);
    storage->type->sync(storage);
    SlStorage_Destroy(storage);
    length = folder_load(path, "log", whole, sizeof(whole));
    memset(whole + 1024, 0, 512);
    folder_store(path, "log", whole, (size_t)length);
    storage = open_storage();
    CU_ASSERT_EQUAL(last_of(storage), 6);
    SlStorage_Destroy(storage);
}

/// The folder is refused, the message names file and offset, and the file
/// is as it was.
static void
check_refused(const char *name, const uint8_t *bytes, long length)
{
    static uint8_t after[FILE_ROOM_BYTES];
    struct SlStorage *storage = NULL;
    struct SlError error = {.status = SL_OK};
    char place[32];

    folder_store(path, name, bytes, (size_t)length);
    CU_ASSERT_EQUAL(open_with(SlFiles_System(), &storage, &error), SL_DAMAGED);
    CU_ASSERT_PTR_NULL(storage);
    snprintf(place, sizeof(place), "/%s: damaged at offset", name);
    CU_ASSERT_PTR_NOT_NULL(strstr(error.message, place));
    CU_ASSERT_EQUAL(folder_load(path, name, after, sizeof(after)), length);
    CU_ASSERT_EQUAL(memcmp(after, bytes, (size_t)length), 0);
    SlStorage_Destroy(storage);
}

/// One wrong bit anywhere in a synced file is found.
static void
check_every_flip(const char *name)
{
    static uint8_t whole[FILE_ROOM_BYTES];
    long length = folder_load(path, name, whole, sizeof(whole));

    for (long i = 0; i < length; i++) {
        whole[i] ^= 0x10;
        check_refused(name, whole, length);
        whole[i] ^= 0x10;
    }
    folder_store(path, name, whole, (size_t)length);
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
    check_every_flip("log");
    check_every_flip("snapshot");
    check_every_flip("state");
    storage = open_storage();
    CU_ASSERT_EQUAL(last_of(storage), 6);
    SlStorage_Destroy(storage);
}

static void
test_missing_file_is_refused(void)
{
    static const char *const NAMES[] = {"log", "state"};
    static uint8_t whole[FILE_ROOM_BYTES];
    char file[128];

    for (size_t i = 0; i < 2; i++) {
        struct SlStorage *storage = NULL;
        struct SlError error;

        write_three_batches();
        folder_load(path, NAMES[i], whole, sizeof(whole));
        snprintf(file, sizeof(file), "%s/%s", path, NAMES[i]);
        unlink(file);
        CU_ASSERT_EQUAL(open_with(SlFiles_System(), &storage, &error),
                        SL_DAMAGED);
        CU_ASSERT_PTR_NOT_NULL(strstr(error.message, NAMES[i]));
        SlStorage_Destroy(storage);
    }
}

static void
test_foreign_and_busy_folder(void)
{
    struct SlStorage *storage;
    struct SlStorage *other = NULL;
    struct fault_files files;
    struct SlError error;

    write_three_batches();
    storage = open_storage();
    fault_files_init(&files, 0, 0);
    CU_ASSERT_EQUAL(open_with(&files.files, &other, &error), SL_IO);
    SlStorage_Destroy(storage);
    CU_ASSERT_EQUAL(SlStorage_OpenFolder(path, NODE + 1, 1, &other, &error),
                    SL_INVALID);
}

static void *
close_later(void *storage)
{
    struct timespec pause = {.tv_nsec = 100 * 1000 * 1000};

    nanosleep(&pause, NULL);
    SlStorage_Destroy(storage);
    return NULL;
}

/// A process that is killed and started again at once finds its folder busy
/// for a moment; the start waits for it.
static void
test_folder_busy_for_a_moment(void)
{
    struct SlStorage *storage;
    pthread_t thread;

    write_three_batches();
    CU_ASSERT_EQUAL_FATAL(
        pthread_create(&thread, NULL, close_later, open_storage()), 0);
    storage = open_storage();
    pthread_join(thread, NULL);
    CU_ASSERT_EQUAL(last_of(storage), 6);
    SlStorage_Destroy(storage);
}

/// What a run of the script was told to be durable.
struct promise {
    uint64_t synced;
    uint64_t term;
    uint64_t tried_term;
    uint64_t snapshot;
    /// A truncation was tried: records from there on may be gone.
    uint64_t truncated;
};

static void
save_term(struct SlStorage *storage, uint64_t term, struct promise *promise)
{
    struct SlHardState state = {
        .term = term, .incarnation = INCARNATION, .node_id = NODE};

    promise->tried_term = term;
    if (storage->type->save_hard_state(storage, &state) == SL_OK) {
        promise->term = term;
    }
}

static void
sync_through(struct SlStorage *storage, struct promise *promise)
{
    uint64_t last = last_of(storage);

    if (storage->type->sync(storage) == SL_OK) {
        promise->synced = last;
    }
}

/// Every kind of write, noting what was acknowledged.
static void
run_script(struct SlStorage *storage, struct promise *promise)
{
    save_term(storage, 1, promise);
    append(storage, 1);
    sync_through(storage, promise);
    append(storage, last_of(storage) + 1);
    append(storage, last_of(storage) + 1);
    sync_through(storage, promise);
    save_term(storage, 2, promise);
    promise->truncated = 3;
    if (last_of(storage) >= 3 &&
        storage->type->truncate(storage, 3) == SL_OK) {
        promise->synced = 2;
        promise->truncated = UINT64_MAX;
    }
    append(storage, last_of(storage) + 1);
    sync_through(storage, promise);
    if (last_of(storage) == 3 &&
        storage->type->save_snapshot(storage, (struct SlVersion){1, 2},
                                     (const uint8_t *)"state", 5,
                                     3) == SL_OK) {
        promise->snapshot = 2;
    }
    append(storage, last_of(storage) + 1);
    sync_through(storage, promise);
    save_term(storage, 3, promise);
}

static void
check_promise(const struct promise *promise)
{
    struct SlStorage *storage = open_storage();
    struct SlHardState state;
    struct SlVersion last;
    const uint8_t *bytes;
    size_t length;
    uint64_t synced = promise->synced < promise->truncated
                          ? promise->synced
                          : promise->truncated - 1;

    storage->type->hard_state(storage, &state);
    CU_ASSERT(state.term >= promise->term &&
              state.term <= promise->tried_term);
    storage->type->snapshot(storage, &last, &bytes, &length);
    CU_ASSERT(last.index >= promise->snapshot);
    CU_ASSERT(last_of(storage) >= synced);
    for (uint64_t i = last.index + 1; i <= last_of(storage); i++) {
        check_record(storage, i);
    }
    SlStorage_Destroy(storage);
}

/// Runs the script with the call number at failing; true when there was
/// such a call.
static bool
run_with_fault(uint32_t at, int error, struct promise *promise)
{
    struct fault_files files;
    struct SlStorage *storage = NULL;

    folder_empty(path);
    SlStorage_Destroy(open_storage());
    fault_files_init(&files, at, error);
    CU_ASSERT_EQUAL_FATAL(open_with(&files.files, &storage, NULL), SL_OK);
    *promise = (struct promise){.truncated = UINT64_MAX};
    run_script(storage, promise);
    SlStorage_Destroy(storage);
    return files.calls >= at;
}

static void
test_crash_at_any_call(void)
{
    struct promise promise;
    uint32_t at = 1;

    while (run_with_fault(at, EIO, &promise)) {
        check_promise(&promise);
        at++;
    }
    CU_ASSERT(at > 20);
    CU_ASSERT_EQUAL(promise.synced, 4);
}

/// Interrupted by a crash, the making of a folder is finished later.
static void
test_crash_at_first_start(void)
{
    for (uint32_t at = 1; at <= 9; at++) {
        struct fault_files files;
        struct SlStorage *storage = NULL;

        folder_empty(path);
        fault_files_init(&files, at, EIO);
        if (open_with(&files.files, &storage, NULL) != SL_OK) {
            storage = open_storage();
        }
        CU_ASSERT_EQUAL(last_of(storage), 0);
        SlStorage_Destroy(storage);
    }
}

/// With a full disk writes are refused, reading goes on, and after space was
/// made writing does too, without a restart.
static void
test_full_disk(void)
{
    for (uint32_t at = 1; at < 30; at++) {
        struct fault_files files;
        struct SlStorage *storage = NULL;
        uint64_t last;

        write_three_batches();
        fault_files_init(&files, at, ENOSPC);
        CU_ASSERT_EQUAL_FATAL(open_with(&files.files, &storage, NULL), SL_OK);
        last = last_of(storage);
        while (!files.failing) {
            append(storage, last + 1);
            last += storage->type->sync(storage) == SL_OK;
        }
        append(storage, last_of(storage) + 1);
        CU_ASSERT_EQUAL(storage->type->sync(storage), SL_DISK_FULL);
        CU_ASSERT_EQUAL(storage->type->last_error(storage)->status,
                        SL_DISK_FULL);
        last = last_of(storage);
        check_record(storage, last);
        files.error = 0;
        append(storage, last + 1);
        CU_ASSERT_EQUAL(storage->type->sync(storage), SL_OK);
        SlStorage_Destroy(storage);
        storage = open_storage();
        CU_ASSERT_EQUAL(last_of(storage), last + 1);
        check_record(storage, last + 1);
        SlStorage_Destroy(storage);
    }
}

/// After a failed sync nothing can be said about the file: every later write
/// is refused until the folder is opened again.
static void
test_failed_sync_stops_writing(void)
{
    struct fault_files files;
    struct SlStorage *storage = NULL;
    struct SlHardState state = {.term = 4, .node_id = NODE};

    write_three_batches();
    fault_files_init(&files, 2, EIO);
    CU_ASSERT_EQUAL_FATAL(open_with(&files.files, &storage, NULL), SL_OK);
    append(storage, 7);
    CU_ASSERT_EQUAL(storage->type->sync(storage), SL_IO);
    files.error = 0;
    CU_ASSERT_EQUAL(last_of(storage), 6);
    CU_ASSERT_EQUAL(append(storage, 7), SL_IO);
    CU_ASSERT_EQUAL(storage->type->save_hard_state(storage, &state), SL_IO);
    SlStorage_Destroy(storage);
    storage = open_storage();
    CU_ASSERT(last_of(storage) >= 6);
    SlStorage_Destroy(storage);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"reopen", test_reopen},
        {"a torn tail is cut", test_torn_tail_is_cut},
        {"an unwritten sector is torn", test_unwritten_sector_is_torn},
        {"damage is refused", test_damage_is_refused},
        {"a missing file is refused", test_missing_file_is_refused},
        {"a foreign or busy folder is refused", test_foreign_and_busy_folder},
        {"a folder busy for a moment", test_folder_busy_for_a_moment},
        {"crash at any call", test_crash_at_any_call},
        {"crash at the first start", test_crash_at_first_start},
        {"full disk", test_full_disk},
        {"a failed sync stops writing", test_failed_sync_stops_writing},
    };
    int failed;

    folder_create_temporary(path);
    failed = RUN_SUITE("storage", CASES);
    folder_remove(path);
    return failed;
}
