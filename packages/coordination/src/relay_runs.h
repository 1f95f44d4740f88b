#ifndef SAVORYLEDGE_COORDINATION_RELAY_RUNS_H
#define SAVORYLEDGE_COORDINATION_RELAY_RUNS_H

/// Which run of the upstream is the present one.
///
/// Load pattern: an upstream crashes and starts again at the same address,
/// under a new name or the same, while the time of day jumps forward and back
/// by seconds; statuses of the former run may arrive late. So start times
/// order runs only until a run is found to send on while the one that is
/// taken for the present has fallen silent. A single late status never makes a
/// run the present one.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/coordination/relay_agent.h"

enum {
    /// Former runs that are remembered. Their statuses are late, whatever
    /// their start times.
    SL_RUNS_FORMER_MAX = 8,
};

struct SlUpstreamRun {
    char id[SL_NAME_BYTES];
    uint64_t started_ms;
};

/// Zero-initialise before use.
struct SlUpstreamRuns {
    /// The present run; valid if heard_us is not 0.
    struct SlUpstreamRun present;
    uint64_t seq;
    /// When its first status arrived that shows it for the present one, and
    /// when its last one did.
    uint64_t since_us;
    uint64_t heard_us;
    /// It has announced its end.
    bool ended;
    /// A run that may be the next one; valid if candidate_since_us is not 0:
    /// when the first of its statuses arrived after which the present run was
    /// not heard.
    struct SlUpstreamRun candidate;
    uint64_t candidate_seq;
    uint64_t candidate_since_us;
    /// Ring of former runs, and the number of them so far.
    struct SlUpstreamRun former[SL_RUNS_FORMER_MAX];
    uint32_t former_count;
    /// When the last status of the run before arrived, and whether it was
    /// heard for so long that it ran then.
    uint64_t former_heard_us;
    bool former_ran;
};

enum SlRunVerdict {
    /// The status is of the present run, and newer than the one before.
    SL_RUN_PRESENT = 0,
    /// The status is the first one of a new present run that arrives.
    SL_RUN_NEXT,
    /// The run is the present one, and statuses of it arrived before.
    SL_RUN_REPLACES,
    /// The status is older than the last one of the present run.
    SL_RUN_LATE,
    /// The status is of a former run or of the next one; a later one tells.
    SL_RUN_UNDECIDED,
};

/// Judges a status that has arrived, and records it.
enum SlRunVerdict
SlUpstreamRuns_Judge(struct SlUpstreamRuns *runs, uint64_t now_us,
                     const struct SlUpstreamStatus *status);
/// True when the run before ran beside this process, and the present one has
/// sent on while it was silent.
bool
SlUpstreamRuns_HasSucceeded(const struct SlUpstreamRuns *runs);
/// Records that the present run has announced its end.
void
SlUpstreamRuns_End(struct SlUpstreamRuns *runs);

#endif
