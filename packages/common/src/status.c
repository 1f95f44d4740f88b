#include "savoryledge/common/status.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const STATUS_NAMES[SL_STATUS_COUNT] = {
    [SL_OK] = "ok",
    [SL_NO_MEMORY] = "no_memory",
    [SL_FULL] = "full",
    [SL_MALFORMED] = "malformed",
    [SL_TOO_LONG] = "too_long",
    [SL_INVALID] = "invalid",
    [SL_NOT_FOUND] = "not_found",
    [SL_NO_SERVICE] = "no_service",
    [SL_NO_UPSTREAM] = "no_upstream",
    [SL_CONFLICT] = "conflict",
    [SL_TOO_OLD] = "too_old",
    [SL_NOT_LEADER] = "not_leader",
    [SL_NO_QUORUM] = "no_quorum",
    [SL_STALE] = "stale",
    [SL_DISK_FULL] = "disk_full",
    [SL_DAMAGED] = "damaged",
    [SL_IO] = "io",
    [SL_TIMEOUT] = "timeout",
    [SL_CLOSED] = "closed",
    [SL_AGAIN] = "again",
    [SL_FORBIDDEN] = "forbidden",
    [SL_REPLAYED] = "replayed",
};

static const char *const STEP_NAMES[SL_STEP_COUNT] = {
    [SL_STEP_NONE] = "none",
    [SL_STEP_SETTINGS] = "settings",
    [SL_STEP_OPEN] = "open",
    [SL_STEP_PARSE] = "parse",
    [SL_STEP_ROUTE] = "route",
    [SL_STEP_ADMIT] = "admit",
    [SL_STEP_LOCATE] = "locate",
    [SL_STEP_DELIVER] = "deliver",
    [SL_STEP_CONNECT] = "connect",
    [SL_STEP_HANDSHAKE] = "handshake",
    [SL_STEP_SEND] = "send",
    [SL_STEP_RECEIVE] = "receive",
    [SL_STEP_DECODE] = "decode",
    [SL_STEP_PROPOSE] = "propose",
    [SL_STEP_APPEND] = "append",
    [SL_STEP_SYNC] = "sync",
    [SL_STEP_RECOVER] = "recover",
    [SL_STEP_SNAPSHOT] = "snapshot",
    [SL_STEP_VOTE] = "vote",
    [SL_STEP_APPLY] = "apply",
    [SL_STEP_DISTRIBUTE] = "distribute",
    [SL_STEP_RECORD] = "record",
    [SL_STEP_REPLAY] = "replay",
};

const char *
SlStatus_Name(enum SlStatus status)
{
    if ((uint32_t)status >= SL_STATUS_COUNT) {
        return "unknown";
    }
    return STATUS_NAMES[status];
}

const char *
SlStep_Name(enum SlStep step)
{
    if ((uint32_t)step >= SL_STEP_COUNT) {
        return "unknown";
    }
    return STEP_NAMES[step];
}

enum SlStatus
SlError_Set(struct SlError *error, enum SlStatus status, enum SlStep step,
            const char *peer, const char *format, ...)
{
    va_list arguments;

    if (error == NULL) {
        return status;
    }
    error->status = status;
    error->step = step;
    snprintf(error->peer, sizeof(error->peer), "%s", peer ? peer : "");
    va_start(arguments, format);
    vsnprintf(error->message, sizeof(error->message), format, arguments);
    va_end(arguments);
    return status;
}
