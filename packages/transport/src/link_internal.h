#ifndef SAVORYLEDGE_TRANSPORT_LINK_INTERNAL_H
#define SAVORYLEDGE_TRANSPORT_LINK_INTERNAL_H

/// Declarations shared by link.c, which handles the set of links, dialling and
/// deadlines, and link_io.c, which handles the I/O of a single connection.

#include "savoryledge/transport/channel.h"
#include "savoryledge/transport/frame.h"
#include "savoryledge/transport/link.h"

enum link_state {
    /// The TCP connection is not established yet.
    LINK_CONNECTING,
    /// The TCP connection is established; the channel is not open yet.
    LINK_HANDSHAKE,
    /// The channel is open.
    LINK_UP,
};

/// An address to which SlLinks_Dial keeps a link.
struct dial_target {
    /// The number passed to SlLinks_Dial.
    uint64_t id;
    struct SlAddress address;
    /// The link to the address; NULL while there is no connection and no
    /// attempt to connect.
    struct link *link;
    /// When to connect to the address; 0 until the next SlLinks_Tick schedules
    /// an attempt.
    uint64_t due_us;
    /// Mean delay before the address is dialled again.
    uint64_t redial_delay_us;
    struct dial_target *next;
};

struct link {
    struct SlWatch watch;
    struct SlLinks *links;
    uint64_t id;
    enum link_state state;
    /// The address that the link was dialled for; NULL for accepted links and
    /// after SlLinks_StopDialling.
    struct dial_target *target;
    struct SlAddress remote;
    struct SlChannel *channel;
    struct SlFrameReader reader;
    /// Output of the link, of which the first sent_bytes are already written.
    struct SlBuffer out;
    size_t sent_bytes;
    /// True while the loop watches the socket for SL_LOOP_WRITE.
    bool watches_write;
    /// Why the link ends with the next SlLinks_Flush; SL_OK when it does not
    /// end.
    enum SlStatus failure;
    /// True while the link is in the list of links that the next SlLinks_Flush
    /// handles.
    bool needs_flush;
    struct link *next_to_flush;
    /// When the link was opened, or its connection was established.
    uint64_t state_since_us;
    /// When bytes were last received on the link.
    uint64_t received_us;
    /// When output was last written, or was queued while no output was
    /// waiting.
    uint64_t progress_us;
    /// When a message was last queued for sending.
    uint64_t queued_us;
};

struct SlLinks {
    struct SlLinksOptions options;
    struct listener {
        struct SlWatch watch;
        struct SlLinks *links;
        /// True while no connections are accepted because the process is out
        /// of file descriptors; the next SlLinks_Tick accepts again.
        bool is_accept_paused;
    } listener;
    /// Array of max_links links, indexed by link id modulo max_links; a free
    /// slot is NULL.
    struct link **slots;
    uint32_t link_count;
    /// Number of links that are connecting or in their handshake.
    uint32_t handshake_count;
    /// Index of the slot at which the search for a free slot starts.
    uint32_t next_slot;
    /// Number of links opened so far, from which unique link ids are made.
    uint64_t opened_count;
    /// Time of the last SlLinks_Tick.
    uint64_t now_us;
    struct dial_target *targets;
    uint32_t target_count;
    /// True when a target was added that the next SlLinks_Flush connects to.
    bool has_new_target;
    /// List of the links that the next SlLinks_Flush handles.
    struct link *links_to_flush;
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
/// Schedules the link for the next SlLinks_Flush, which writes the link's
/// output if failure is SL_OK and ends the link otherwise. The first failure
/// of a link is kept.
void
link_schedule_flush(struct link *link, enum SlStatus failure);
/// Writes the queued output of a link until its socket accepts no more.
void
link_write(struct link *link);

#endif
