#ifndef SAVORYLEDGE_TRANSPORT_LINK_INTERNAL_H
#define SAVORYLEDGE_TRANSPORT_LINK_INTERNAL_H

/// What link.c (the set of links, dialling, deadlines) and link_io.c (one
/// connection) share.

#include "savoryledge/transport/channel.h"
#include "savoryledge/transport/frame.h"
#include "savoryledge/transport/link.h"

enum link_state {
    LINK_CONNECTING,
    LINK_GREETING,
    LINK_UP,
};

struct dial {
    uint64_t id;
    struct SlAddress address;
    /// NULL while no connection is tried.
    struct link *link;
    uint64_t due_us;
    uint64_t pause_us;
    struct dial *next;
};

struct link {
    struct SlWatch watch;
    struct SlLinks *links;
    uint64_t id;
    enum link_state state;
    /// NULL for accepted links and after SlLinks_StopDialling.
    struct dial *dial;
    struct SlAddress remote;
    struct SlChannel *channel;
    struct SlFrameReader reader;
    struct SlBuffer out;
    size_t sent_bytes;
    bool wants_write;
    /// Other than SL_OK: to be ended with the next flush.
    enum SlStatus failure;
    bool is_dirty;
    struct link *next_dirty;
    uint64_t opened_us;
    uint64_t received_us;
    uint64_t progress_us;
    /// When a frame was last queued.
    uint64_t queued_us;
};

struct SlLinks {
    struct SlLinksOptions options;
    struct listener {
        struct SlWatch watch;
        struct SlLinks *links;
        bool paused;
    } listener;
    struct link **slots;
    uint32_t used;
    uint32_t greeting;
    uint32_t first_free_hint;
    uint64_t serial;
    /// Time of the last tick.
    uint64_t now_us;
    struct dial *dials;
    uint32_t dial_count;
    struct link *dirty;
    struct SlLinksCounters counters;
};

/// Takes over descriptor. NULL when the set is full or without memory; the
/// descriptor is then closed.
struct link *
link_open(struct SlLinks *links, int descriptor,
          const struct SlAddress *remote, struct dial *dial);
/// Ends the connection and frees the link; tells the owner.
void
link_end(struct link *link);
/// Notes the link for the next flush; failure SL_OK only writes.
void
link_mark(struct link *link, enum SlStatus failure);
/// Writes what waits.
void
link_write(struct link *link);

#endif
