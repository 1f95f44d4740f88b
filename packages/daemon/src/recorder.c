#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "recorder.h"

enum {
    PATH_BYTES = 256,
    /// Max number of bytes of buffered records; further records are lost.
    PENDING_MAX_BYTES = 32 << 20,
    /// The writer thread sleeps this long between two writes.
    WRITE_INTERVAL_NS = 20 * 1000 * 1000,
};

#define DEFAULT_MAX_BYTES (UINT64_C(256) << 20)

struct SlRecorder {
    char path[PATH_BYTES];
    uint64_t max_bytes;
    /// Lock that is held while the cores handle an input.
    pthread_mutex_t input_lock;
    /// Guards pending_records and unreported_lost_records; never held while
    /// writing to the file.
    pthread_mutex_t buffer_lock;
    /// Records that the writer thread has not taken yet.
    struct SlBuffer pending_records;
    /// Number of lost records that the recording does not report yet.
    uint64_t unreported_lost_records;
    _Atomic uint64_t lost_records;
    _Atomic bool is_stopping;
    pthread_t writer;
    bool writer_started;
    int descriptor;
    uint64_t file_bytes;
    /// Records that the writer thread is writing.
    struct SlBuffer records_being_written;
};

static int
open_file(const char *path)
{
    return open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                S_IRUSR | S_IWUSR);
}

/// Renames the recording's file FILE to FILE.1 and creates a new FILE. If the
/// renaming fails, the recording continues in the same file.
static void
rotate_file(struct SlRecorder *recorder)
{
    char rotated_path[PATH_BYTES + 2];

    snprintf(rotated_path, sizeof(rotated_path), "%s.1", recorder->path);
    if (rename(recorder->path, rotated_path) != 0) {
        return;
    }
    close(recorder->descriptor);
    recorder->descriptor = open_file(recorder->path);
    recorder->file_bytes = 0;
}

static bool
write_all(int descriptor, const uint8_t *bytes, size_t length_bytes)
{
    while (length_bytes > 0) {
        ssize_t written = write(descriptor, bytes, length_bytes);

        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        bytes += written;
        length_bytes -= (size_t)written;
    }
    return true;
}

/// Writes the buffered records. The buffer holds whole records only, so each
/// file begins with a record.
static void
write_pending(struct SlRecorder *recorder)
{
    struct SlBuffer batch;

    pthread_mutex_lock(&recorder->buffer_lock);
    batch = recorder->pending_records;
    recorder->pending_records = recorder->records_being_written;
    pthread_mutex_unlock(&recorder->buffer_lock);
    recorder->records_being_written = batch;
    if (batch.length_bytes == 0) {
        return;
    }
    if (recorder->file_bytes > 0 &&
        recorder->file_bytes + batch.length_bytes > recorder->max_bytes) {
        rotate_file(recorder);
    }
    if (!write_all(recorder->descriptor, batch.bytes, batch.length_bytes)) {
        atomic_fetch_add(&recorder->lost_records, 1);
    }
    recorder->file_bytes += batch.length_bytes;
    SlBuffer_Clear(&recorder->records_being_written);
}

static void *
run_writer(void *context)
{
    struct SlRecorder *recorder = context;
    const struct timespec interval = {.tv_nsec = WRITE_INTERVAL_NS};

    while (!atomic_load(&recorder->is_stopping)) {
        write_pending(recorder);
        nanosleep(&interval, NULL);
    }
    write_pending(recorder);
    return NULL;
}

enum SlStatus
SlRecorder_Create(const char *path, uint64_t max_bytes,
                  struct SlRecorder **recorder, struct SlError *error)
{
    struct SlRecorder *created = calloc(1, sizeof(*created));

    *recorder = NULL;
    if (created == NULL) {
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_RECORD, NULL,
                           "no memory for the recorder");
    }
    pthread_mutex_init(&created->input_lock, NULL);
    pthread_mutex_init(&created->buffer_lock, NULL);
    snprintf(created->path, sizeof(created->path), "%s", path);
    created->max_bytes = max_bytes != 0 ? max_bytes : DEFAULT_MAX_BYTES;
    created->descriptor = open_file(path);
    if (created->descriptor < 0) {
        SlError_Set(error, SL_IO, SL_STEP_RECORD, NULL, "%s: %s", path,
                    strerror(errno));
        SlRecorder_Destroy(created);
        return SL_IO;
    }
    if (pthread_create(&created->writer, NULL, run_writer, created) != 0) {
        SlRecorder_Destroy(created);
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_RECORD, NULL,
                           "cannot start the recorder's thread");
    }
    created->writer_started = true;
    *recorder = created;
    return SL_OK;
}

void
SlRecorder_Destroy(struct SlRecorder *recorder)
{
    if (recorder == NULL) {
        return;
    }
    atomic_store(&recorder->is_stopping, true);
    if (recorder->writer_started) {
        pthread_join(recorder->writer, NULL);
    }
    if (recorder->descriptor >= 0) {
        close(recorder->descriptor);
    }
    SlBuffer_Release(&recorder->pending_records);
    SlBuffer_Release(&recorder->records_being_written);
    pthread_mutex_destroy(&recorder->input_lock);
    pthread_mutex_destroy(&recorder->buffer_lock);
    free(recorder);
}

/// Takes the buffer lock. If the buffer is full, counts the record as lost,
/// releases the lock and returns false.
static bool
lock_for_record(struct SlRecorder *recorder)
{
    pthread_mutex_lock(&recorder->buffer_lock);
    if (recorder->pending_records.length_bytes >= PENDING_MAX_BYTES) {
        recorder->unreported_lost_records++;
        atomic_fetch_add(&recorder->lost_records, 1);
        pthread_mutex_unlock(&recorder->buffer_lock);
        return false;
    }
    if (recorder->unreported_lost_records > 0) {
        (void)SlRecord_PutLost(recorder->unreported_lost_records,
                               &recorder->pending_records);
        recorder->unreported_lost_records = 0;
    }
    return true;
}

/// Counts a record that could not be buffered and releases the buffer lock.
static void
finish_record(struct SlRecorder *recorder, enum SlStatus status)
{
    if (status != SL_OK) {
        recorder->unreported_lost_records++;
        atomic_fetch_add(&recorder->lost_records, 1);
    }
    pthread_mutex_unlock(&recorder->buffer_lock);
}

void
SlRecorder_BeginInput(struct SlRecorder *recorder, const struct SlInput *input)
{
    pthread_mutex_lock(&recorder->input_lock);
    if (lock_for_record(recorder)) {
        finish_record(recorder, SlRecord_PutInput(input, false,
                                                  &recorder->pending_records));
    }
}

void
SlRecorder_EndInput(struct SlRecorder *recorder)
{
    pthread_mutex_unlock(&recorder->input_lock);
}

void
SlRecorder_RecordEvent(struct SlRecorder *recorder,
                       const struct SlEvent *event)
{
    if (lock_for_record(recorder)) {
        finish_record(recorder,
                      SlRecord_PutEvent(event, &recorder->pending_records));
    }
}

void
SlRecorder_RecordNode(struct SlRecorder *recorder,
                      const struct SlNodeOptions *options, uint64_t now_us)
{
    struct SlStorage *storage = options->control.storage;

    if (!lock_for_record(recorder)) {
        return;
    }
    finish_record(recorder, SlRecord_PutNode(options, now_us,
                                             &recorder->pending_records));
    if (storage != NULL && lock_for_record(recorder)) {
        finish_record(recorder, SlRecord_PutStorage(
                                    storage, &recorder->pending_records));
    }
}

uint64_t
SlRecorder_LostRecords(const struct SlRecorder *recorder)
{
    return atomic_load(&((struct SlRecorder *)recorder)->lost_records);
}
