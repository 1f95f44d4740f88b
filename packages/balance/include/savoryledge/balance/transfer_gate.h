#ifndef SAVORYLEDGE_BALANCE_TRANSFER_GATE_H
#define SAVORYLEDGE_BALANCE_TRANSFER_GATE_H

/// Decides which bulk transfers may use a link now, which wait and which are
/// refused.
///
/// Load pattern: a crest of uploads meets short urgent packets on one slow
/// link. A sender keeps a fixed number of bytes in flight, its window. Once
/// one window fills the link, further transfers only lengthen the queue, until
/// the senders of all packets in the queue retransmit and the load feeds
/// itself. Transfers therefore share the link only as long as their windows
/// together pass within the tolerated delay. When even a single window takes
/// longer than that, transfers run one at a time with pauses between them, so
/// that short packets find the link free for the rest of the time.
///
/// A new transfer that is not expected to get its turn in time is refused when
/// it arrives, not after it has waited.

#include <stdbool.h>
#include <stdint.h>

enum {
    /// Shares of the link's time are given in units of 1/1000.
    SL_TRANSFER_SHARE_FULL = 1000,
};

/// The transfers of one link. Set window_bytes and delay_us, and
/// zero-initialise the other fields.
struct SlTransferGate {
    /// Bytes that one sender keeps in flight at most; not 0.
    uint32_t window_bytes;
    /// Tolerated queueing delay.
    uint64_t delay_us;
    /// Transfers that occupy the link now.
    uint32_t active;
    /// Smoothed time and size of a transfer; 0 before the first one ended.
    uint64_t mean_us;
    uint64_t mean_bytes;
    /// When the last transfer ended, and for how long it occupied the link;
    /// the pause after it follows from the present rate.
    uint64_t ended_us;
    uint64_t ended_after_us;
};

enum SlTransferDecision {
    SL_TRANSFER_START,
    SL_TRANSFER_WAIT,
    SL_TRANSFER_REFUSE,
};

/// Returns how many transfers may occupy a link of this rate at a time; at
/// least 1.
uint32_t
SlTransferGate_Limit(const struct SlTransferGate *gate,
                     uint64_t rate_bytes_per_s);
/// Returns the share of time, in units of 1/SL_TRANSFER_SHARE_FULL, in which
/// transfers may occupy a link of this rate.
uint32_t
SlTransferGate_Share(const struct SlTransferGate *gate,
                     uint64_t rate_bytes_per_s);
/// Returns the expected time for which a transfer occupies the link, at least
/// the time that its bytes take alone.
uint64_t
SlTransferGate_ExpectedTimeUs(const struct SlTransferGate *gate,
                              uint64_t rate_bytes_per_s);
/// Returns the expected time until a transfer starts that has `ahead` others
/// waiting before it; 0 when it may start at once.
uint64_t
SlTransferGate_ExpectedWaitUs(const struct SlTransferGate *gate,
                              uint64_t now_us, uint64_t rate_bytes_per_s,
                              uint32_t ahead);
/// True when one more transfer may start now.
bool
SlTransferGate_HasRoom(const struct SlTransferGate *gate, uint64_t now_us,
                       uint64_t rate_bytes_per_s);
/// Decides about a transfer. ahead: transfers that wait before it.
/// patience_us: time within which it has to start to be of use to its sender.
enum SlTransferDecision
SlTransferGate_Decide(const struct SlTransferGate *gate, uint64_t now_us,
                      uint64_t rate_bytes_per_s, uint32_t ahead,
                      uint64_t patience_us);
/// Records the end of a transfer that occupied the link for took_us.
/// bytes: its size; 0 when it is not known, and the means stay.
void
SlTransferGate_RecordEnd(struct SlTransferGate *gate, uint64_t now_us,
                         uint64_t bytes, uint64_t took_us);

#endif
