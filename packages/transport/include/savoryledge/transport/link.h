#ifndef SAVORYLEDGE_TRANSPORT_LINK_H
#define SAVORYLEDGE_TRANSPORT_LINK_H

/// All links of a process: TCP connections under a channel (channel.h).
///
/// A link that brings nothing, or takes nothing, within its deadline is
/// closed; an idle link carries an empty frame now and then. A dialled link is
/// dialled again, with growing pauses and jitter, until it is dropped. All
/// calls belong to the loop's thread; callbacks come only from the loop,
/// SlLinks_Tick and SlLinks_Flush.

#include "savoryledge/common/address.h"
#include "savoryledge/transport/key.h"
#include "savoryledge/transport/loop.h"

struct SlLinks;
struct SlLinksHandler;

struct SlLinksHandlerType {
    /// The channel is open. dialled: the number given to SlLinks_Dial, 0
    /// for accepted links.
    void (*on_up)(struct SlLinksHandler *owner, uint64_t link,
                  uint64_t dialled, const struct SlAddress *remote);
    /// One message; borrowed for the length of the call.
    void (*on_message)(struct SlLinksHandler *owner, uint64_t link,
                       const uint8_t *bytes, uint32_t length_bytes);
    /// Only for links that were up.
    void (*on_down)(struct SlLinksHandler *owner, uint64_t link,
                    enum SlStatus reason);
    /// A connection ended before it was up.
    void (*on_refused)(struct SlLinksHandler *owner,
                       const struct SlAddress *remote, enum SlStatus reason);
};

struct SlLinksHandler {
    const struct SlLinksHandlerType *type;
};

struct SlLinksOptions {
    /// Borrowed; must outlive the links.
    struct SlLoop *loop;
    struct SlLinksHandler *handler;
    struct SlKeyring keyring;
    /// Links at most, further ones are refused; 0 takes 8192.
    uint32_t max_links;
    /// Time for connection and handshake; 0 takes 2 s.
    uint64_t handshake_us;
    /// Longest silence received, and longest time without progress while
    /// output waits; 0 takes 4 s.
    uint64_t silence_us;
    /// Output that may wait on one link; 0 takes 8 MiB.
    size_t queue_bytes;
    /// Shortest and longest pause before dialling again; 0 takes 100 ms and
    /// 2 s.
    uint64_t redial_min_us;
    uint64_t redial_max_us;
};

struct SlLinksCounters {
    uint64_t links;
    uint64_t accepted;
    uint64_t dialled;
    uint64_t refused;
    uint64_t refused_forbidden;
    uint64_t refused_malformed;
    uint64_t silent;
    uint64_t overflowed;
    uint64_t received_bytes;
    uint64_t sent_bytes;
};

/// NULL without memory.
struct SlLinks *
SlLinks_Create(const struct SlLinksOptions *options);
/// NULL is allowed. No callbacks come from it.
void
SlLinks_Destroy(struct SlLinks *links);

/// Accepts links at an address. bound: the address with the port in use;
/// may be NULL. Errors: SL_IO.
enum SlStatus
SlLinks_Listen(struct SlLinks *links, const struct SlAddress *address,
               struct SlAddress *bound, struct SlError *error);

/// Keeps a link to an address until it is dropped. id: the caller's number
/// for it; a second call with the same id only notes a changed address.
/// Errors: SL_FULL.
enum SlStatus
SlLinks_Dial(struct SlLinks *links, uint64_t id,
             const struct SlAddress *address);
/// Ends the dialled link with this id, if there is one.
void
SlLinks_StopDialling(struct SlLinks *links, uint64_t id);

/// Queues one message; it leaves with SlLinks_Flush. A link that takes no
/// more is closed. Errors: SL_NOT_FOUND, SL_FULL, SL_TOO_LONG.
enum SlStatus
SlLinks_Send(struct SlLinks *links, uint64_t link, const uint8_t *bytes,
             uint32_t length_bytes);
/// Ends one link soon; a dialled one is dialled again.
void
SlLinks_Close(struct SlLinks *links, uint64_t link, enum SlStatus reason);

/// Writes what is queued and ends links that failed.
void
SlLinks_Flush(struct SlLinks *links);
/// Deadlines, empty frames and redials; call it at least every 100 ms. Time
/// goes on for the links with these calls only.
void
SlLinks_Tick(struct SlLinks *links, uint64_t now_us);

/// Takes a new keyring; links under a key that is gone are closed.
void
SlLinks_SetKeyring(struct SlLinks *links, const struct SlKeyring *keyring);

void
SlLinks_Counters(const struct SlLinks *links,
                 struct SlLinksCounters *counters);

#endif
