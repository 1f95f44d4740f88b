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
        log_event(shell,
                  (struct SlEvent){.number = SL_EVENT_RECORDING,
                                   .reason = recorder != NULL ? "on" : "off",
                                   .limit = old ? (int64_t)SlRecorder_Lost(old)
                                                : 0});
    }
    SlRecorder_Destroy(old);
    return SL_OK;
}

/// Records inputs, hands them to the cores, and records what came out. The
/// control thread alone switches the recording, and never during an input, so
/// it takes no lock against itself.
///
/// inputs: one of any kind, or a row of packets from callers.
static void
give_recorded(struct SlShell *shell, struct outlet *outlet,
              const struct SlInput *inputs, uint32_t count)
{
    struct SlRecorder *recorder;
    bool from_callers = inputs->kind == SL_INPUT_CALLER_PACKET;

    pthread_rwlock_rdlock(&shell->recording.lock);
    recorder = shell->recording.recorder;
    if (recorder != NULL) {
        SlRecorder_BeginInputs(recorder, inputs, count);
        outlet->recorder = recorder;
    }
    if (from_callers) {
        SlNode_HandlePackets(shell->node, &outlet->sink, inputs, count);
    }
    else {
        SlNode_Handle(shell->node, &outlet->sink, inputs);
    }
    if (recorder != NULL) {
        outlet->recorder = NULL;
        SlRecorder_EndInputs(recorder);
    }
    pthread_rwlock_unlock(&shell->recording.lock);
}

void
give_packets(struct SlShell *shell, struct outlet *outlet,
             const struct SlInput *inputs, uint32_t count)
{
    if (!atomic_load(&shell->recording.on)) {
        SlNode_HandlePackets(shell->node, &outlet->sink, inputs, count);
        return;
    }
    if (count > 0) {
        give_recorded(shell, outlet, inputs, count);
    }
}

void
give_input(struct SlShell *shell, struct outlet *outlet,
           const struct SlInput *input)
{
    if (atomic_load(&shell->recording.on)) {
        give_recorded(shell, outlet, input, 1);
        return;
    }
    SlNode_Handle(shell->node, &outlet->sink, input);
}
