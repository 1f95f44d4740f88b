#include "relay_runs.h"

#include <string.h>

#include "relay_evidence.h"

enum {
    /// Time between the statuses by which a run becomes the present one. Late
    /// statuses of a former run arrive together.
    CANDIDATE_SPAN_US = 500 * 1000,
};

static bool
is_run(const struct SlUpstreamRun *run, const struct SlUpstreamStatus *status)
{
    return run->started_ms == status->started_ms &&
           strcmp(run->id, status->id) == 0;
}

static void
set_run(struct SlUpstreamRun *run, const struct SlUpstreamStatus *status)
{
    memcpy(run->id, status->id, sizeof(run->id));
    run->started_ms = status->started_ms;
}

static bool
is_former(const struct SlUpstreamRuns *runs,
          const struct SlUpstreamStatus *status)
{
    uint32_t count = runs->former_count < SL_RUNS_FORMER_MAX
                         ? runs->former_count
                         : SL_RUNS_FORMER_MAX;

    for (uint32_t i = 0; i < count; i++) {
        if (is_run(&runs->former[i], status)) {
            return true;
        }
    }
    return false;
}

/// True when the status shows by itself that its run is newer than the present
/// one.
static bool
is_newer_run(const struct SlUpstreamRuns *runs,
             const struct SlUpstreamStatus *status)
{
    return runs->heard_us == 0 ||
           (status->started_ms >= runs->present.started_ms &&
            !is_former(runs, status));
}

/// True when the run has sent on while the present one was silent, or after it
/// announced its end.
static bool
has_replaced_present(struct SlUpstreamRuns *runs, uint64_t now_us,
                     const struct SlUpstreamStatus *status)
{
    bool is_known =
        runs->candidate_since_us != 0 && is_run(&runs->candidate, status);

    if (is_known && status->seq <= runs->candidate_seq) {
        return false;
    }
    runs->candidate_seq = status->seq;
    if (!is_known ||
        (!runs->ended && runs->heard_us >= runs->candidate_since_us)) {
        set_run(&runs->candidate, status);
        runs->candidate_since_us = now_us;
        return false;
    }
    return now_us - runs->candidate_since_us >= CANDIDATE_SPAN_US &&
           (runs->ended || now_us - runs->heard_us >= SL_EVIDENCE_STATUS_US);
}

/// True when statuses of the present run have arrived for so long that they
/// are not late ones, which arrive together.
static bool
has_run(const struct SlUpstreamRuns *runs)
{
    return runs->heard_us - runs->since_us >= CANDIDATE_SPAN_US;
}

/// since_us: when the first status arrived that shows the run for the present
/// one.
static void
begin_run(struct SlUpstreamRuns *runs, uint64_t now_us, uint64_t since_us,
          const struct SlUpstreamStatus *status)
{
    if (runs->heard_us != 0) {
        runs->former_ran = has_run(runs);
        runs->former_heard_us = runs->heard_us;
        runs->former[runs->former_count++ % SL_RUNS_FORMER_MAX] =
            runs->present;
    }
    set_run(&runs->present, status);
    runs->seq = status->seq;
    runs->since_us = since_us;
    runs->heard_us = now_us;
    runs->ended = false;
    runs->candidate_since_us = 0;
}

enum SlRunVerdict
SlUpstreamRuns_Judge(struct SlUpstreamRuns *runs, uint64_t now_us,
                     const struct SlUpstreamStatus *status)
{
    if (runs->heard_us != 0 && is_run(&runs->present, status)) {
        /* Without a start time, a run after the end may have the same name. */
        bool is_restart = runs->ended && status->started_ms == 0;

        if (!is_restart && status->seq <= runs->seq) {
            return SL_RUN_LATE;
        }
        /* The end names the upstream alone: it may be the late one of a former
           run with the same name. */
        if (runs->ended && !is_restart &&
            !has_replaced_present(runs, now_us, status)) {
            return SL_RUN_UNDECIDED;
        }
        runs->seq = status->seq;
        runs->heard_us = now_us;
        runs->ended = false;
        runs->candidate_since_us = 0;
        return SL_RUN_PRESENT;
    }
    if (is_newer_run(runs, status)) {
        begin_run(runs, now_us, now_us, status);
        return SL_RUN_NEXT;
    }
    if (has_replaced_present(runs, now_us, status)) {
        begin_run(runs, now_us, runs->candidate_since_us, status);
        return SL_RUN_REPLACES;
    }
    return SL_RUN_UNDECIDED;
}

bool
SlUpstreamRuns_HasSucceeded(const struct SlUpstreamRuns *runs)
{
    return runs->former_ran && has_run(runs) &&
           runs->heard_us - runs->former_heard_us >= SL_EVIDENCE_STATUS_US;
}

void
SlUpstreamRuns_End(struct SlUpstreamRuns *runs)
{
    runs->ended = true;
}
