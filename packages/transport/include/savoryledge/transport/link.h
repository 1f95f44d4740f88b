#ifndef SAVORYLEDGE_TRANSPORT_LINK_H
#define SAVORYLEDGE_TRANSPORT_LINK_H

/// The links of a process to other processes. A link is a TCP connection with
/// an encrypted channel (channel.h) on it. Dialling means opening a connection
/// to another process. A link is up once its channel is open.
///
/// A link is closed when its peer sends nothing, or accepts none of the
/// waiting output, within the silence timeout; idle links send empty frames to
/// stay open. A link that was opened with SlLinks_Dial is dialled again after
/// it ended, with growing delays and jitter, until SlLinks_StopDialling. All
/// functions are called in the loop's thread; callbacks are called only by the
/// loop, SlLinks_Tick and SlLinks_Flush.

#include "savoryledge/common/address.h"
#include "savoryledge/transport/key.h"
#include "savoryledge/transport/loop.h"

struct SlLinks;
struct SlLinksHandler;

/// Function table of a handler: the callbacks of a set of links.
struct SlLinksHandlerType {
    /// Called when a link is up, which is when its channel is open. link: the
    /// id of the link, never reused. dialled: the id given to SlLinks_Dial, or
    /// 0 for accepted links.
    void (*on_link_up)(struct SlLinksHandler *handler, uint64_t link,
                       uint64_t dialled, const struct SlAddress *remote);
    /// Called when a message was received; bytes are valid only during the
    /// call.
    void (*on_message)(struct SlLinksHandler *handler, uint64_t link,
                       const uint8_t *bytes, uint32_t length_bytes);
    /// Called when a link that was up has ended.
    void (*on_link_down)(struct SlLinksHandler *handler, uint64_t link,
                         enum SlStatus reason);
    /// Called when a connection ended before its channel was open.
    void (*on_refused)(struct SlLinksHandler *handler,
                       const struct SlAddress *remote, enum SlStatus reason);
};

/// Receives the callbacks. Embed it as the first member of a struct.
struct SlLinksHandler {
    const struct SlLinksHandlerType *type;
};

struct SlLinksOptions {
    /// Event loop that runs the links, and receiver of the callbacks. Both are
    /// borrowed and must outlive the links.
    struct SlLoop *loop;
    struct SlLinksHandler *handler;
    struct SlKeyring keyring;
    /// Max number of links; further connections are refused. 0 selects 8192.
    uint32_t max_links;
    /// Max time for connecting, and for each message of the channel's
    /// handshake; 0 selects 2 s. The whole handshake may take
    /// silence_timeout_us.
    uint64_t handshake_timeout_us;
    /// Max time in which nothing is received, and max time in which none of
    /// the waiting output is written; 0 selects 4 s.
    uint64_t silence_timeout_us;
    /// Max output that may wait on one link; 0 selects 8 MiB.
    size_t max_queued_bytes;
    /// Min and max mean delay before an address is dialled again; the delay
    /// doubles with each failed attempt. 0 selects 100 ms and 2 s.
    uint64_t redial_min_us;
    uint64_t redial_max_us;
};

/// Counters of a set of links. All but the field links are totals since the
/// set was created.
struct SlLinksCounters {
    /// Number of links at present, including those that are not yet up.
    uint64_t links;
    /// Number of connections accepted from other processes.
    uint64_t accepted;
    /// Number of attempts to connect to another process.
    uint64_t dialled;
    /// Number of connections that were not accepted, or ended before their
    /// link was up.
    uint64_t refused;
    /// How many of the refused connections had an unknown key or failed the
    /// verification.
    uint64_t refused_forbidden;
    /// How many of the refused connections sent a malformed or oversized
    /// frame.
    uint64_t refused_malformed;
    /// Number of links closed because the handshake or the silence timeout had
    /// passed.
    uint64_t silent;
    /// Number of links closed because too much output was waiting to be sent.
    uint64_t overflowed;
    uint64_t received_bytes;
    uint64_t sent_bytes;
};

/// Creates a set of links, without any link. options are copied. Returns NULL
/// when out of memory or when libsodium
/// cannot be initialised.
struct SlLinks *
SlLinks_Create(const struct SlLinksOptions *options);
/// Closes all links without calling callbacks, and frees the set. links may be
/// NULL.
void
SlLinks_Destroy(struct SlLinks *links);

/// Listens for connections at an address. bound: receives the address with the
/// port in use; may be NULL. Errors: SL_IO.
enum SlStatus
SlLinks_Listen(struct SlLinks *links, const struct SlAddress *address,
               struct SlAddress *bound, struct SlError *error);

/// Keeps a link to an address until SlLinks_StopDialling; the next
/// SlLinks_Flush or SlLinks_Tick connects. id: a number of the caller's
/// choice; not 0, which stands for accepted links. A second call with the same
/// id changes the address, and ends the link if the new address differs.
/// Errors: SL_FULL (1024 addresses already, or out of memory).
enum SlStatus
SlLinks_Dial(struct SlLinks *links, uint64_t id,
             const struct SlAddress *address);
/// Stops dialling the address with this id and ends the link to it. The call
/// has no effect for an unknown id.
void
SlLinks_StopDialling(struct SlLinks *links, uint64_t id);

/// Queues one message, which SlLinks_Flush sends. A link whose output would
/// exceed max_queued_bytes is closed instead. Errors: SL_NOT_FOUND (no such
/// link, or it is not up), SL_FULL, SL_TOO_LONG, SL_NO_MEMORY.
enum SlStatus
SlLinks_Send(struct SlLinks *links, uint64_t link, const uint8_t *bytes,
             uint32_t length_bytes);
/// Ends a link with the next SlLinks_Flush. A link that was opened with
/// SlLinks_Dial is dialled again.
void
SlLinks_Close(struct SlLinks *links, uint64_t link, enum SlStatus reason);

/// Ends the links that failed since the last SlLinks_Flush, and writes
/// nothing. The loop reports the socket of a failed link again and again until
/// then.
void
SlLinks_EndFailed(struct SlLinks *links);
/// Writes the queued output of all links, ends the links that failed, and
/// connects to addresses dialled since the previous call.
void
SlLinks_Flush(struct SlLinks *links);
/// Closes links that exceeded a timeout, sends empty frames on idle ones,
/// dials addresses that are due, and flushes. Call it at least every 100 ms:
/// the links take their time only from now_us of these calls.
void
SlLinks_Tick(struct SlLinks *links, uint64_t now_us);

/// Replaces the keyring by a copy of keyring, and closes links whose key it
/// does not hold any more.
void
SlLinks_SetKeyring(struct SlLinks *links, const struct SlKeyring *keyring);

void
SlLinks_Counters(const struct SlLinks *links,
                 struct SlLinksCounters *counters);

#endif
