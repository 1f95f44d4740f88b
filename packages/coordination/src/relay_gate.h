#ifndef SAVORYLEDGE_COORDINATION_RELAY_GATE_H
#define SAVORYLEDGE_COORDINATION_RELAY_GATE_H

/// Bulk transfers through an entry: the requests of routes of kind
/// SL_TRAFFIC_UPLOAD. The entry starts only as many at a time as its link can
/// carry without long queues (balance/transfer_gate.h); the opening segments
/// of others wait in the entry, or their flows are refused.
///
/// The functions have no effect unless the rate of the link is set and the
/// plan has a route of that kind.

#include "savoryledge/balance/link_estimate.h"
#include "savoryledge/balance/transfer_gate.h"
#include "savoryledge/common/segment.h"
#include "savoryledge/state/plan.h"

struct SlRelayEntry;
struct SlRelaySink;
struct SlEntryFlow;
struct SlRelayEntryCounters;

enum SlEntryTransferState {
    /// The opening segment waits in the entry.
    SL_ENTRY_TRANSFER_WAITING,
    /// The flow was offered, or its body passes.
    SL_ENTRY_TRANSFER_ACTIVE,
    /// The flow was offered, but nothing passes for the present; the link is
    /// free for others.
    SL_ENTRY_TRANSFER_PAUSED,
    /// The body has passed.
    SL_ENTRY_TRANSFER_DONE,
};

/// The transfer of one flow. Owned by the flow.
struct SlEntryTransfer {
    struct SlEntryFlow *flow;
    struct SlEntryTransfer *next;
    struct SlEntryTransfer *previous;
    enum SlEntryTransferState state;
    /// The entry saw the transfer from its start.
    bool whole;
    /// A segment of the body has passed, and the sequence number after the
    /// last byte that has passed.
    bool has_data;
    uint32_t end_seq;
    uint32_t largest_bytes;
    uint64_t bytes;
    /// Waiting: when the caller sent the first copy of its opening segment.
    /// Otherwise: when the transfer started.
    uint64_t began_us;
    /// Waiting: the first copy of the opening segment came through this entry,
    /// and when the caller sends its next copy.
    bool has_first_copy;
    uint64_t copy_due_us;
    /// When the last segment passed.
    uint64_t last_us;
    /// Since when the transfer occupies the link, and for how long it did
    /// before the last pause.
    uint64_t active_since_us;
    uint64_t occupied_us;
    /// Order of waiting transfers: by priority, then by due_us.
    uint32_t priority;
    uint64_t due_us;
};

struct SlEntryTransferList {
    struct SlEntryTransfer *first;
    struct SlEntryTransfer *last;
    uint32_t count;
};

struct SlEntryTransfers {
    /// The rate of the link is set and the plan has a route for uploads.
    bool enabled;
    struct SlLinkEstimate link;
    struct SlTransferGate gate;
    struct SlEntryTransferList waiting;
    /// Transfers that are active or paused.
    struct SlEntryTransferList running;
    /// Whether the link was last logged as full, and when a transfer last
    /// waited.
    bool logged_full;
    uint64_t last_wait_us;
};

/// Prepares the transfers of an entry whose link has this rate; 0 when the
/// rate is not set.
void
SlEntryTransfers_Init(struct SlEntryTransfers *transfers,
                      uint64_t link_bytes_per_s);
/// Applies a new plan, which may be NULL.
void
SlEntryTransfers_SetPlan(struct SlEntryTransfers *transfers,
                         const struct SlPlan *plan);

/// Count the bytes of a datagram in the use of the link.
void
SlEntryTransfers_CountReceived(struct SlEntryTransfers *transfers,
                               uint32_t segment_bytes);
void
SlEntryTransfers_CountSent(struct SlEntryTransfers *transfers,
                           uint32_t segment_bytes);

/// Adds the time in which an agent answered an offer at once.
void
SlEntryTransfers_AddAnswer(struct SlEntryTransfers *transfers,
                           uint64_t took_us);

/// Decides about a new flow with a kept opening segment. Returns true when the
/// flow may be offered now; otherwise it waits, or it was refused and removed.
bool
SlEntryTransfers_StartFlow(struct SlRelayEntry *entry,
                           struct SlRelaySink *sink, uint64_t now_us,
                           struct SlEntryFlow *flow,
                           const struct SlPlanRoute *route,
                           const struct SlSegment *segment);
/// True when the flow's opening segment waits. A copy of it takes its place.
bool
SlEntryTransfers_KeepCopy(struct SlEntryFlow *flow, uint64_t now_us,
                          const struct SlSegment *segment);
/// Takes a waiting flow off the line, because it was opened through another
/// entry.
void
SlEntryTransfers_LeaveLine(struct SlRelayEntry *entry,
                           struct SlEntryFlow *flow);
/// Records a later segment of a flow before it is forwarded. Returns false
/// when the flow waited and its caller has left; the flow was then removed.
bool
SlEntryTransfers_RecordSegment(struct SlRelayEntry *entry,
                               struct SlRelaySink *sink, uint64_t now_us,
                               struct SlEntryFlow *flow,
                               const struct SlSegment *segment);
/// Ends the transfer of a flow that is being removed.
void
SlEntryTransfers_ReleaseFlow(struct SlRelayEntry *entry,
                             struct SlEntryFlow *flow);
/// Updates the estimate of the link, starts waiting transfers and refuses
/// those that can no longer start in time.
void
SlEntryTransfers_Tick(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                      uint64_t now_us);
/// Copies the present values of the transfers' gauges.
void
SlEntryTransfers_Counters(const struct SlEntryTransfers *transfers,
                          struct SlRelayEntryCounters *counters);

#endif
