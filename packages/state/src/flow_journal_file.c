/// Writes the journal of flows on a thread of its own. The queue in memory is
/// bounded; what does not fit is dropped, and the file is then replaced as a
/// whole.

#include <fcntl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "folder.h"
#include "savoryledge/state/flow_journal.h"

static const char FILE_NAME[] = "flows";

enum {
    QUEUE_BYTES = 256 * 1024,
    /// Minimum time between two replacements after failures.
    RETRY_US = 5 * 1000 * 1000,
    /// The file is replaced when it has this many bytes more than three times
    /// its length after the last replacement.
    GROWTH_MIN_BYTES = 64 * 1024,
    GROWTH_FACTOR = 3,
};

struct SlFlowJournalFile {
    /// Used by the thread only.
    struct SlFolder folder;
    int fd;
    const char *path;
    pthread_t thread;
    /// Guards everything below; never held during I/O.
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool loaded;
    bool stopping;
    /// The thread is to write what is queued; and it does so now.
    bool flushing;
    bool busy;
    uint8_t *contents;
    size_t contents_bytes;
    /// Bytes to be appended, after the replacement if there is one.
    size_t queued_bytes;
    uint8_t queue[QUEUE_BYTES];
    uint8_t *replacement;
    size_t replacement_bytes;
    bool has_replacement;
    /// Nothing can be appended before the file is replaced; and there was
    /// something to append.
    bool needs_replacement;
    bool refused;
    /// Whether a replacement has been attempted, and when.
    bool replaced;
    uint64_t replaced_us;
    size_t file_bytes;
    size_t replaced_bytes;
    struct SlFlowJournalFileCounters counters;
};

/// What the thread writes next. It owns the buffers.
struct write_job {
    bool replaces;
    uint8_t *replacement;
    size_t replacement_bytes;
    uint8_t *appended;
    size_t appended_bytes;
};

/// Opens the folder unless it is open. Returns false when it cannot be opened
/// now.
static bool
open_folder(struct SlFlowJournalFile *file)
{
    struct SlFiles *files = file->folder.files;

    if (file->folder.folder_fd < 0) {
        file->folder.folder_fd = files->type->open(files, AT_FDCWD, file->path,
                                                   O_RDONLY | O_DIRECTORY);
    }
    return file->folder.folder_fd >= 0;
}

static void
load_contents(struct SlFlowJournalFile *file)
{
    struct SlFileBytes contents = {.bytes = NULL};

    if (open_folder(file)) {
        (void)SlFolder_ReadFile(&file->folder, FILE_NAME, &contents);
    }
    pthread_mutex_lock(&file->lock);
    file->contents = contents.bytes;
    file->contents_bytes = contents.length_bytes;
    file->loaded = true;
    pthread_cond_broadcast(&file->changed);
    pthread_mutex_unlock(&file->lock);
}

static void
close_file(struct SlFlowJournalFile *file)
{
    if (file->fd >= 0) {
        (void)file->folder.files->type->close(file->folder.files, file->fd);
        file->fd = -1;
    }
}

static enum SlStatus
append_bytes(struct SlFlowJournalFile *file, const uint8_t *bytes,
             size_t length_bytes)
{
    struct SlFiles *files = file->folder.files;
    enum SlStatus status;

    if (file->fd < 0) {
        file->fd = files->type->open(files, file->folder.folder_fd, FILE_NAME,
                                     O_WRONLY | O_APPEND);
        if (file->fd < 0) {
            return SL_IO;
        }
    }
    status = SlFolder_WriteFile(&file->folder, file->fd, SL_STEP_APPEND,
                                FILE_NAME, bytes, length_bytes);
    if (status == SL_OK && files->type->sync(files, file->fd) != 0) {
        status = SL_IO;
    }
    return status;
}

static enum SlStatus
write_job(struct SlFlowJournalFile *file, const struct write_job *job)
{
    enum SlStatus status = SL_OK;

    if (!open_folder(file)) {
        return SL_IO;
    }
    if (job->replaces) {
        close_file(file);
        /* The journal may be lost, so that a failure of the past does not
           matter. */
        file->folder.writes_disabled = false;
        status =
            SlFolder_ReplaceFile(&file->folder, SL_STEP_APPEND, FILE_NAME,
                                 job->replacement, job->replacement_bytes);
    }
    if (status == SL_OK && job->appended_bytes > 0) {
        status = append_bytes(file, job->appended, job->appended_bytes);
    }
    if (status != SL_OK) {
        close_file(file);
    }
    return status;
}

/// Takes what is queued. Must be called with the lock held.
static bool
take_job(struct SlFlowJournalFile *file, struct write_job *job)
{
    *job = (struct write_job){.replaces = file->has_replacement,
                              .replacement = file->replacement,
                              .replacement_bytes = file->replacement_bytes};
    file->replacement = NULL;
    file->has_replacement = false;
    if (file->queued_bytes > 0) {
        job->appended = malloc(file->queued_bytes);
        if (job->appended == NULL) {
            file->needs_replacement = true;
            file->refused = true;
            file->counters.dropped_bytes += file->queued_bytes;
        }
        else {
            memcpy(job->appended, file->queue, file->queued_bytes);
            job->appended_bytes = file->queued_bytes;
        }
        file->queued_bytes = 0;
    }
    return job->replaces || job->appended_bytes > 0;
}

static void
finish_job(struct SlFlowJournalFile *file, const struct write_job *job,
           enum SlStatus status)
{
    size_t job_bytes = job->replacement_bytes + job->appended_bytes;

    if (status != SL_OK) {
        file->counters.failures++;
        file->counters.dropped_bytes += job_bytes;
        file->needs_replacement = true;
        file->refused = true;
        return;
    }
    file->counters.syncs++;
    file->counters.written_bytes += job_bytes;
    file->file_bytes = (job->replaces ? 0 : file->file_bytes) + job_bytes;
    if (job->replaces) {
        file->replaced_bytes = job->replacement_bytes;
    }
}

static void *
run_thread(void *context)
{
    struct SlFlowJournalFile *file = context;
    struct write_job job;
    enum SlStatus status;

    load_contents(file);
    pthread_mutex_lock(&file->lock);
    for (;;) {
        while (!file->stopping && !file->flushing) {
            pthread_cond_wait(&file->changed, &file->lock);
        }
        file->flushing = false;
        if (file->stopping) {
            break;
        }
        if (!take_job(file, &job)) {
            continue;
        }
        file->busy = true;
        pthread_mutex_unlock(&file->lock);
        status = write_job(file, &job);
        free(job.replacement);
        free(job.appended);
        pthread_mutex_lock(&file->lock);
        finish_job(file, &job, status);
        file->busy = false;
        pthread_cond_broadcast(&file->changed);
    }
    pthread_mutex_unlock(&file->lock);
    return NULL;
}

struct SlFlowJournalFile *
SlFlowJournalFile_Open(struct SlFiles *files, const char *path)
{
    struct SlFlowJournalFile *file = calloc(1, sizeof(*file));

    if (file == NULL) {
        return NULL;
    }
    file->folder.files = files;
    file->folder.folder_fd = -1;
    file->fd = -1;
    file->path = path;
    file->needs_replacement = true;
    pthread_mutex_init(&file->lock, NULL);
    pthread_cond_init(&file->changed, NULL);
    if (pthread_create(&file->thread, NULL, run_thread, file) != 0) {
        pthread_cond_destroy(&file->changed);
        pthread_mutex_destroy(&file->lock);
        free(file);
        return NULL;
    }
    return file;
}

void
SlFlowJournalFile_Close(struct SlFlowJournalFile *file)
{
    if (file == NULL) {
        return;
    }
    pthread_mutex_lock(&file->lock);
    file->stopping = true;
    pthread_cond_broadcast(&file->changed);
    pthread_mutex_unlock(&file->lock);
    pthread_join(file->thread, NULL);
    close_file(file);
    if (file->folder.folder_fd >= 0) {
        (void)file->folder.files->type->close(file->folder.files,
                                              file->folder.folder_fd);
    }
    pthread_cond_destroy(&file->changed);
    pthread_mutex_destroy(&file->lock);
    free(file->contents);
    free(file->replacement);
    free(file);
}

bool
SlFlowJournalFile_TakeContents(struct SlFlowJournalFile *file, uint8_t **bytes,
                               size_t *length_bytes)
{
    bool loaded;

    pthread_mutex_lock(&file->lock);
    loaded = file->loaded;
    *bytes = file->contents;
    *length_bytes = file->contents_bytes;
    if (loaded) {
        file->contents = NULL;
        file->contents_bytes = 0;
    }
    pthread_mutex_unlock(&file->lock);
    return loaded;
}

bool
SlFlowJournalFile_NeedsReplacement(struct SlFlowJournalFile *file,
                                   uint64_t now_us)
{
    bool needed;

    pthread_mutex_lock(&file->lock);
    needed = file->needs_replacement
                 ? file->refused && (!file->replaced ||
                                     now_us - file->replaced_us >= RETRY_US)
                 : file->file_bytes >
                       GROWTH_FACTOR * file->replaced_bytes + GROWTH_MIN_BYTES;
    needed = needed && !file->has_replacement && !file->busy;
    pthread_mutex_unlock(&file->lock);
    return needed;
}

void
SlFlowJournalFile_Append(struct SlFlowJournalFile *file, const uint8_t *bytes,
                         size_t length_bytes)
{
    pthread_mutex_lock(&file->lock);
    if (!file->needs_replacement &&
        length_bytes > QUEUE_BYTES - file->queued_bytes) {
        file->counters.dropped_bytes += length_bytes;
        file->needs_replacement = true;
    }
    if (file->needs_replacement) {
        file->refused = true;
    }
    else {
        memcpy(file->queue + file->queued_bytes, bytes, length_bytes);
        file->queued_bytes += length_bytes;
    }
    pthread_mutex_unlock(&file->lock);
}

void
SlFlowJournalFile_Replace(struct SlFlowJournalFile *file, uint64_t now_us,
                          uint8_t *bytes, size_t length_bytes)
{
    pthread_mutex_lock(&file->lock);
    free(file->replacement);
    file->replacement = bytes;
    file->replacement_bytes = length_bytes;
    file->has_replacement = true;
    file->needs_replacement = false;
    file->refused = false;
    file->replaced = true;
    file->replaced_us = now_us;
    file->queued_bytes = 0;
    pthread_mutex_unlock(&file->lock);
}

void
SlFlowJournalFile_Flush(struct SlFlowJournalFile *file)
{
    pthread_mutex_lock(&file->lock);
    file->flushing = file->has_replacement || file->queued_bytes > 0;
    pthread_cond_broadcast(&file->changed);
    pthread_mutex_unlock(&file->lock);
}

void
SlFlowJournalFile_Drain(struct SlFlowJournalFile *file)
{
    SlFlowJournalFile_Flush(file);
    pthread_mutex_lock(&file->lock);
    while (!file->loaded || file->busy || file->has_replacement ||
           file->queued_bytes > 0) {
        pthread_cond_wait(&file->changed, &file->lock);
    }
    pthread_mutex_unlock(&file->lock);
}

void
SlFlowJournalFile_Counters(struct SlFlowJournalFile *file,
                           struct SlFlowJournalFileCounters *counters)
{
    pthread_mutex_lock(&file->lock);
    *counters = file->counters;
    pthread_mutex_unlock(&file->lock);
}
