/// The place where inputs of the cores pass, and may be recorded.

#include "shell_internal.h"

enum SlStatus
record_switch(struct SlShell *shell, const char *path, struct SlError *error)
{
    struct SlRecorder *recorder = NULL;
    struct SlRecorder *old;
    enum SlStatus status = SL_OK;

    if (path[0] != '\0') {
        status = SlRecorder_Create(path, shell->settings.record.max_bytes,
                                   &recorder, error);
        if (status != SL_OK) {
            return status;
        }
    }
    pthread_rwlock_wrlock(&shell->recording.lock);
    old = shell->recording.recorder;
    shell->recording.recorder = recorder;
    atomic_store(&shell->recording.on, recorder != NULL);
    pthread_rwlock_unlock(&shell->recording.lock);
    if (old != NULL || recorder != NULL) {
        log_event(
            shell,
            (struct SlEvent){
                .number = SL_EVENT_RECORDING,
                .reason = recorder != NULL ? "on" : "off",
                .limit = old ? (int64_t)SlRecorder_LostRecords(old) : 0});
    }
    SlRecorder_Destroy(old);
    return SL_OK;
}

/// The control thread alone switches, and never during an input, so it takes
/// no lock against itself.
static void
give_recorded(struct SlShell *shell, struct outlet *outlet,
              const struct SlInput *input)
{
    struct SlRecorder *recorder;

    pthread_rwlock_rdlock(&shell->recording.lock);
    recorder = shell->recording.recorder;
    if (recorder != NULL) {
        SlRecorder_BeginInput(recorder, input);
        outlet->recorder = recorder;
    }
    SlNode_Handle(shell->node, &outlet->sink, input);
    if (recorder != NULL) {
        outlet->recorder = NULL;
        SlRecorder_EndInput(recorder);
    }
    pthread_rwlock_unlock(&shell->recording.lock);
}

void
give_input(struct SlShell *shell, struct outlet *outlet,
           const struct SlInput *input)
{
    if (atomic_load(&shell->recording.on)) {
        give_recorded(shell, outlet, input);
        return;
    }
    SlNode_Handle(shell->node, &outlet->sink, input);
}
