#ifndef SAVORYLEDGE_COORDINATION_DIAL_ATTEMPTS_H
#define SAVORYLEDGE_COORDINATION_DIAL_ATTEMPTS_H

/// The control instances that a replica is dialling at the same time.

#include "savoryledge/coordination/core.h"

enum {
    SL_DIAL_ATTEMPTS_MAX = 4,
};

struct SlDialAttempts {
    uint32_t count;
    uint64_t node_ids[SL_DIAL_ATTEMPTS_MAX];
};

/// Dials a process. An earlier attempt to the same process starts anew, since
/// its opening packet may be lost; with too many attempts the oldest ends.
void
SlDialAttempts_Begin(struct SlDialAttempts *attempts, struct SlSink *sink,
                     uint64_t node_id, const struct SlAddress *link);
/// Ends the attempts to connect to all processes but one, which may be 0.
void
SlDialAttempts_EndOthers(struct SlDialAttempts *attempts, struct SlSink *sink,
                         uint64_t node_id);

#endif
