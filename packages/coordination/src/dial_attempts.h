#ifndef SAVORYLEDGE_COORDINATION_DIAL_ATTEMPTS_H
#define SAVORYLEDGE_COORDINATION_DIAL_ATTEMPTS_H

/// The control instances that a replica is dialling at the same time. An
/// attempt goes on while the next instances are dialled: over slow links it
/// succeeds later than the next one begins.

#include "savoryledge/coordination/core.h"

enum {
    SL_DIAL_ATTEMPTS_MAX = 6,
};

struct SlDialAttempt {
    uint64_t node_id;
    uint64_t since_us;
    /// How often the attempt has been started anew.
    uint32_t restarts;
};

struct SlDialAttempts {
    uint32_t count;
    /// The oldest first.
    struct SlDialAttempt items[SL_DIAL_ATTEMPTS_MAX];
};

/// Dials a process. An earlier attempt to the same process starts anew, since
/// its opening packet may be lost, but later each time, since its link may be
/// slow. With too many attempts the oldest ends.
void
SlDialAttempts_Begin(struct SlDialAttempts *attempts, struct SlSink *sink,
                     uint64_t now_us, uint64_t node_id,
                     const struct SlAddress *link);
/// True while the process is being dialled.
bool
SlDialAttempts_Includes(const struct SlDialAttempts *attempts,
                        uint64_t node_id);
/// Ends the attempts to connect to all processes but one, which may be 0.
void
SlDialAttempts_EndOthers(struct SlDialAttempts *attempts, struct SlSink *sink,
                         uint64_t node_id);

#endif
