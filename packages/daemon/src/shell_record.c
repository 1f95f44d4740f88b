/// Passes inputs to the cores and records them if requested.

#include "shell_internal.h"

enum SlStatus
set_recording_file(struct SlShell *shell, const char *path,
                   struct SlError *error)
{
    struct SlRecorder *recorder = NULL;
    struct SlRecorder *previous;
    enum SlStatus status = SL_OK;

    if (path[0] != '\0') {
        status = SlRecorder_Create(path, shell->settings.record.max_bytes,
                                   &recorder, error);
        if (status != SL_OK) {
            return status;
        }
    }
    pthread_rwlock_wrlock(&shell->recording.lock);
    previous = shell->recording.recorder;
    shell->recording.recorder = recorder;
    atomic_store(&shell->recording.is_active, recorder != NULL);
    pthread_rwlock_unlock(&shell->recording.lock);
    if (previous != NULL || recorder != NULL) {
        log_event(shell,
                  (struct SlEvent){
                      .number = SL_EVENT_RECORDING,
                      .reason = recorder != NULL ? "on" : "off",
                      .limit = previous
                                   ? (int64_t)SlRecorder_LostRecords(previous)
                                   : 0});
    }
    SlRecorder_Destroy(previous);
    return SL_OK;
}

/// Handles an input under the lock, so that the recorder is not destroyed
/// meanwhile. Only the control thread starts and ends recordings, and never
/// while it handles an input, so it cannot deadlock with itself.
static void
handle_recorded_input(struct SlShell *shell, struct output_sink *output_sink,
                      const struct SlInput *input)
{
    struct SlRecorder *recorder;

    pthread_rwlock_rdlock(&shell->recording.lock);
    recorder = shell->recording.recorder;
    if (recorder != NULL) {
        SlRecorder_BeginInput(recorder, input);
        output_sink->recorder = recorder;
    }
    SlNode_HandleInput(shell->node, &output_sink->sink, input);
    if (recorder != NULL) {
        output_sink->recorder = NULL;
        SlRecorder_EndInput(recorder);
    }
    pthread_rwlock_unlock(&shell->recording.lock);
}

void
handle_input(struct SlShell *shell, struct output_sink *output_sink,
             const struct SlInput *input)
{
    if (atomic_load(&shell->recording.is_active)) {
        handle_recorded_input(shell, output_sink, input);
        return;
    }
    SlNode_HandleInput(shell->node, &output_sink->sink, input);
}
