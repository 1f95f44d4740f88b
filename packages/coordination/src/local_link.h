#ifndef SAVORYLEDGE_COORDINATION_LOCAL_LINK_H
#define SAVORYLEDGE_COORDINATION_LOCAL_LINK_H

/// The link between the replica and the control core of one process. It
/// looks to both like a link to another process; messages pass through the
/// codec, so that neither core sees the other's memory.

#include "savoryledge/coordination/core.h"

enum {
    SL_LOCAL_DIALS_MAX = 2 * SL_MEMBERS_CONTROL_MAX,
};

enum SlLocalEnd {
    SL_LOCAL_REPLICA = 0,
    SL_LOCAL_CONTROL = 1,
    SL_LOCAL_ENDS
};

/// The number of the local link; transports start below it.
#define SL_LOCAL_LINK (UINT64_C(1) << 63)

struct SlLocalMessage;

/// A sink for one end: what is meant for the local link is queued, all else
/// goes to the outer sink.
struct SlLocalSink {
    struct SlSink sink;
    struct SlLocalLink *local;
    enum SlLocalEnd end;
    /// Other processes that this end dialled: a link that both want stays
    /// until both have dropped it.
    uint32_t dial_count;
    uint64_t dials[SL_LOCAL_DIALS_MAX];
};

struct SlLocalLink {
    uint64_t node_id;
    /// Valid while an input is being handled.
    struct SlSink *outer;
    struct SlLocalSink ends[SL_LOCAL_ENDS];
    struct SlLocalMessage *first;
    struct SlLocalMessage *last;
    bool dialled;
    /// Dropped since it was up, perhaps to be dialled again at once.
    bool dropped;
    bool up;
};

void
SlLocalLink_Init(struct SlLocalLink *local, uint64_t node_id);
void
SlLocalLink_Release(struct SlLocalLink *local);

/// The sink to hand to a core; outer is what it passes on to.
struct SlSink *
SlLocalLink_Sink(struct SlLocalLink *local, enum SlLocalEnd end,
                 struct SlSink *outer);

/// Takes the next queued message; to tells which core gets it. False when
/// there is none. Release the message.
bool
SlLocalLink_Next(struct SlLocalLink *local, enum SlLocalEnd *to,
                 struct SlMessage *message);

#endif
