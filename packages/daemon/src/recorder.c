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
    /// Records that wait to be written; more are lost.
    WAITING_MAX_BYTES = 32 << 20,
    WRITE_PAUSE_NS = 20 * 1000 * 1000,
};

#define DEFAULT_MAX_BYTES (UINT64_C(256) << 20)

struct SlRecorder {
    char path[PATH_BYTES];
    uint64_t max_bytes;
    /// Held while an input is being handled.
    pthread_mutex_t order;
    /// Guards waiting; never held while writing.
    pthread_mutex_t lock;
    struct SlBuffer waiting;
    uint64_t lost_unsaid;
    _Atomic uint64_t lost;
    _Atomic bool ending;
    pthread_t writer;
    bool writer_started;
    int descriptor;
    uint64_t file_bytes;
    struct SlBuffer writing;
};

static int
open_file(const char *path)
{
    return open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                S_IRUSR | S_IWUSR);
}

static void
rotate(struct SlRecorder *recorder)
{
    char older[PATH_BYTES + 2];

    snprintf(older, sizeof(older), "%s.1", recorder->path);
    if (rename(recorder->path, older) != 0) {
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

/// Takes what waits and writes it; whole records only, so that each part
/// begins with one.
static void
write_waiting(struct SlRecorder *recorder)
{
    struct SlBuffer held;

    pthread_mutex_lock(&recorder->lock);
    held = recorder->waiting;
    recorder->waiting = recorder->writing;
    pthread_mutex_unlock(&recorder->lock);
    recorder->writing = held;
    if (held.length_bytes == 0) {
        return;
    }
    if (recorder->file_bytes > 0 &&
        recorder->file_bytes + held.length_bytes > recorder->max_bytes) {
        rotate(recorder);
    }
    if (!write_all(recorder->descriptor, held.bytes, held.length_bytes)) {
        atomic_fetch_add(&recorder->lost, 1);
    }
    recorder->file_bytes += held.length_bytes;
    SlBuffer_Clear(&recorder->writing);
}

static void *
run_writer(void *context)
{
    struct SlRecorder *recorder = context;
    const struct timespec pause = {.tv_nsec = WRITE_PAUSE_NS};

    while (!atomic_load(&recorder->ending)) {
        write_waiting(recorder);
        nanosleep(&pause, NULL);
    }
    write_waiting(recorder);
    return NULL;
}

enum SlStatus
SlRecorder_Create(const char *path, uint64_t max_bytes,
                  struct SlRecorder **recorder, struct SlError *error)
{
    struct SlRecorder *made = calloc(1, sizeof(*made));

    *recorder = NULL;
    if (made == NULL) {
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_RECORD, NULL,
                           "no memory for a recording");
    }
    pthread_mutex_init(&made->order, NULL);
    pthread_mutex_init(&made->lock, NULL);
    snprintf(made->path, sizeof(made->path), "%s", path);
    made->max_bytes = max_bytes != 0 ? max_bytes : DEFAULT_MAX_BYTES;
    made->descriptor = open_file(path);
    if (made->descriptor < 0) {
        SlError_Set(error, SL_IO, SL_STEP_RECORD, NULL, "%s: %s", path,
                    strerror(errno));
        SlRecorder_Destroy(made);
        return SL_IO;
    }
    if (pthread_create(&made->writer, NULL, run_writer, made) != 0) {
        SlRecorder_Destroy(made);
        return SlError_Set(error, SL_NO_MEMORY, SL_STEP_RECORD, NULL,
                           "cannot start the recording's thread");
    }
    made->writer_started = true;
    *recorder = made;
    return SL_OK;
}

void
SlRecorder_Destroy(struct SlRecorder *recorder)
{
    if (recorder == NULL) {
        return;
    }
    atomic_store(&recorder->ending, true);
    if (recorder->writer_started) {
        pthread_join(recorder->writer, NULL);
    }
    if (recorder->descriptor >= 0) {
        close(recorder->descriptor);
    }
    SlBuffer_Release(&recorder->waiting);
    SlBuffer_Release(&recorder->writing);
    pthread_mutex_destroy(&recorder->order);
    pthread_mutex_destroy(&recorder->lock);
    free(recorder);
}

/// True with the lock held when there is room for a record.
static bool
begin_record(struct SlRecorder *recorder)
{
    pthread_mutex_lock(&recorder->lock);
    if (recorder->waiting.length_bytes >= WAITING_MAX_BYTES) {
        recorder->lost_unsaid++;
        atomic_fetch_add(&recorder->lost, 1);
        pthread_mutex_unlock(&recorder->lock);
        return false;
    }
    if (recorder->lost_unsaid > 0) {
        (void)SlRecord_PutLost(recorder->lost_unsaid, &recorder->waiting);
        recorder->lost_unsaid = 0;
    }
    return true;
}

static void
end_record(struct SlRecorder *recorder, enum SlStatus status)
{
    if (status != SL_OK) {
        recorder->lost_unsaid++;
        atomic_fetch_add(&recorder->lost, 1);
    }
    pthread_mutex_unlock(&recorder->lock);
}

void
SlRecorder_BeginInput(struct SlRecorder *recorder, const struct SlInput *input)
{
    pthread_mutex_lock(&recorder->order);
    if (begin_record(recorder)) {
        end_record(recorder,
                   SlRecord_PutInput(input, false, &recorder->waiting));
    }
}

void
SlRecorder_EndInput(struct SlRecorder *recorder)
{
    pthread_mutex_unlock(&recorder->order);
}

void
SlRecorder_Event(struct SlRecorder *recorder, const struct SlEvent *event)
{
    if (begin_record(recorder)) {
        end_record(recorder, SlRecord_PutEvent(event, &recorder->waiting));
    }
}

void
SlRecorder_Node(struct SlRecorder *recorder,
                const struct SlNodeOptions *options, uint64_t now_us)
{
    struct SlStorage *storage = options->control.storage;

    if (!begin_record(recorder)) {
        return;
    }
    end_record(recorder,
               SlRecord_PutNode(options, now_us, &recorder->waiting));
    if (storage != NULL && begin_record(recorder)) {
        end_record(recorder, SlRecord_PutStorage(storage, &recorder->waiting));
    }
}

uint64_t
SlRecorder_Lost(const struct SlRecorder *recorder)
{
    return atomic_load(&((struct SlRecorder *)recorder)->lost);
}
