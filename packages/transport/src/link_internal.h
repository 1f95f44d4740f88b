#ifndef SAVORYLEDGE_TRANSPORT_LINK_INTERNAL_H
#define SAVORYLEDGE_TRANSPORT_LINK_INTERNAL_H

/// Declarations shared by link.c, which handles the set of links, dialling and
/// deadlines, and link_io.c, which handles the I/O of a single connection.

#include "savoryledge/transport/channel.h"
#include "savoryledge/transport/frame.h"
#include "savoryledge/transport/link.h"

enum link_state {
    /// The TCP connection is not established.
    LINK_CONNECTING,
    /// The channel is not open.
    LINK_HANDSHAKE,
    LINK_UP,
};

/// An address to which SlLinks_Dial keeps a link.
struct dial_target {
    /// The number passed to SlLinks_Dial.
    uint64_t id;
    struct SlAddress address;
    /// NULL while there is no connection and no attempt.
    struct link *link;
    /// When to connect; 0 until the next tick schedules an attempt.
    uint64_t due_us;
    /// Mean delay before the next redial.
    uint64_t redial_delay_us;
    struct dial_target *next;
};

struct link {
    struct SlWatch watch;
    struct SlLinks *links;
    uint64_t id;
    enum link_state state;
    /// NULL for accepted links and after SlLinks_StopDialling.
    struct dial_target *target;
    struct SlAddress remote;
    struct SlChannel *channel;
    struct SlFrameReader reader;
    /// Output, of which the first sent_bytes are written already.
    struct SlBuffer out;
    size_t sent_bytes;
    /// The loop watches the socket for SL_LOOP_WRITE.
    bool wants_write;
    /// Why the link ends with the next flush; SL_OK when it does not.
    enum SlStatus failure;
    /// In the list of links that the next flush handles.
    bool is_dirty;
    struct link *next_dirty;
    uint64_t opened_us;
    /// When bytes were last received.
    uint64_t received_us;
    /// When output was last written, or queued after all was written.
    uint64_t progress_us;
    /// When a message was last queued.
    uint64_t queued_us;
};

struct SlLinks {
    struct SlLinksOptions options;
    struct listener {
        struct SlWatch watch;
        struct SlLinks *links;
        /// Out of file descriptors; the next tick accepts again.
        bool paused;
    } listener;
    /// Of max_links slots, indexed by link id modulo max_links; NULL when
    /// free.
    struct link **slots;
    uint32_t link_count;
    /// Links that are connecting or in their handshake.
    uint32_t handshake_count;
    /// Slot at which the search for a free one starts.
    uint32_t next_slot;
    /// Number of links opened so far; makes link ids unique.
    uint64_t opened_count;
    /// Time of the last tick.
    uint64_t now_us;
    struct dial_target *targets;
    uint32_t target_count;
    /// Links that the next flush handles.
    struct link *dirty;
    struct SlLinksCounters counters;
};

/// Adds a link for a socket and takes ownership of the descriptor. target:
/// NULL for accepted connections. Returns NULL when the set is full or out of
/// memory; the descriptor is then closed.
struct link *
link_open(struct SlLinks *links, int descriptor,
          const struct SlAddress *remote, struct dial_target *target);
/// Closes the connection, frees the link and notifies the handler.
void
link_end(struct link *link);
/// Schedules the link for the next flush, which writes its output if failure
/// is SL_OK and ends the link otherwise. The first failure of a link is kept.
void
link_schedule_flush(struct link *link, enum SlStatus failure);
/// Writes queued output until the socket accepts no more.
void
link_write(struct link *link);

#endif
