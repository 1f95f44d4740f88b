#ifndef SAVORYLEDGE_COORDINATION_LOCAL_LINK_H
#define SAVORYLEDGE_COORDINATION_LOCAL_LINK_H

/// The link between the replica and the control core of one process. To both
/// cores it looks like a link to another process. Messages pass through the
/// codec, so neither core has access to the other's memory.

#include "savoryledge/coordination/core.h"

enum {
    /// Maximum number of entries and agents that the control end dials.
    SL_LOCAL_INVITATIONS_MAX = 256,
    SL_LOCAL_DIALS_MAX = 2 * SL_MEMBERS_CONTROL_MAX + SL_LOCAL_INVITATIONS_MAX,
};

enum SlLocalEnd {
    SL_LOCAL_REPLICA = 0,
    SL_LOCAL_CONTROL = 1,
    SL_LOCAL_ENDS
};

/// Link number of the local link. The numbers of transports' links are lower.
#define SL_LOCAL_LINK (UINT64_C(1) << 63)

struct SlControl;
struct SlLocalMessage;

/// Sink for one end of the link: messages for the local link are queued, and
/// everything else goes to the outer sink.
struct SlLocalSink {
    struct SlSink sink;
    struct SlLocalLink *local;
    enum SlLocalEnd end;
    /// Other processes that this end dialled. A link that both ends dialled is
    /// closed only when both have dropped it.
    uint32_t dial_count;
    uint64_t dialled_nodes[SL_LOCAL_DIALS_MAX];
};

struct SlLocalLink {
    uint64_t node_id;
    /// True when control has a link to the process. The replica's dial opens
    /// no second one then, and its drop closes none that the log uses.
    bool (*has_link)(const struct SlControl *control, uint64_t node_id);
    const struct SlControl *control;
    /// The sink of the process; valid only while an input is being handled.
    struct SlSink *outer;
    struct SlLocalSink ends[SL_LOCAL_ENDS];
    struct SlLocalMessage *first;
    struct SlLocalMessage *last;
    bool dialled;
    /// The link was dropped since it was established; it may have been dialled
    /// again since then.
    bool dropped;
    bool up;
};

void
SlLocalLink_Init(struct SlLocalLink *local, uint64_t node_id);
void
SlLocalLink_Release(struct SlLocalLink *local);

/// Returns the sink to pass to a core; outer: the sink that it forwards to.
struct SlSink *
SlLocalLink_Sink(struct SlLocalLink *local, enum SlLocalEnd end,
                 struct SlSink *outer);

/// Removes the next message from the queue and decodes it. to: set to the core
/// that receives it. Returns false when the queue is empty or the message
/// cannot be decoded. The caller releases the message.
bool
SlLocalLink_NextMessage(struct SlLocalLink *local, enum SlLocalEnd *to,
                        struct SlMessage *message);

#endif
