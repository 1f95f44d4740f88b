#include "savoryledge/balance/transfer_gate.h"

enum {
    US_PER_S = 1000 * 1000,
    SMOOTHING_DIVISOR = 8,
    /// Before the first transfer has ended, transfers are assumed to consist
    /// of this number of windows.
    INITIAL_WINDOWS = 2,
    /// Transfers get at least a tenth of the link's time.
    SHARE_MIN = SL_TRANSFER_SHARE_FULL / 10,
};

/// Bytes that a link of this rate passes within the tolerated delay.
static uint64_t
tolerated_bytes(const struct SlTransferGate *gate, uint64_t rate_bytes_per_s)
{
    return rate_bytes_per_s * gate->delay_us / US_PER_S;
}

uint32_t
SlTransferGate_Limit(const struct SlTransferGate *gate,
                     uint64_t rate_bytes_per_s)
{
    uint64_t limit =
        tolerated_bytes(gate, rate_bytes_per_s) / gate->window_bytes;

    if (limit == 0) {
        return 1;
    }
    return limit < UINT32_MAX ? (uint32_t)limit : UINT32_MAX;
}

uint32_t
SlTransferGate_Share(const struct SlTransferGate *gate,
                     uint64_t rate_bytes_per_s)
{
    uint64_t share = tolerated_bytes(gate, rate_bytes_per_s) *
                     SL_TRANSFER_SHARE_FULL / gate->window_bytes;

    if (share < SHARE_MIN) {
        return SHARE_MIN;
    }
    return share < SL_TRANSFER_SHARE_FULL ? (uint32_t)share
                                          : SL_TRANSFER_SHARE_FULL;
}

uint64_t
SlTransferGate_ExpectedTimeUs(const struct SlTransferGate *gate,
                              uint64_t rate_bytes_per_s)
{
    uint64_t bytes = gate->mean_bytes != 0
                         ? gate->mean_bytes
                         : (uint64_t)gate->window_bytes * INITIAL_WINDOWS;
    uint64_t alone_us = bytes * US_PER_S / (rate_bytes_per_s + 1);

    return gate->mean_us > alone_us ? gate->mean_us : alone_us;
}

/// Time until the pause after the last transfer is over.
static uint64_t
pause_left_us(const struct SlTransferGate *gate, uint64_t now_us,
              uint64_t rate_bytes_per_s)
{
    uint32_t share = SlTransferGate_Share(gate, rate_bytes_per_s);
    uint64_t until_us = gate->ended_us + gate->ended_after_us *
                                             (SL_TRANSFER_SHARE_FULL - share) /
                                             share;

    return until_us > now_us ? until_us - now_us : 0;
}

bool
SlTransferGate_HasRoom(const struct SlTransferGate *gate, uint64_t now_us,
                       uint64_t rate_bytes_per_s)
{
    return gate->active < SlTransferGate_Limit(gate, rate_bytes_per_s) &&
           pause_left_us(gate, now_us, rate_bytes_per_s) == 0;
}

uint64_t
SlTransferGate_ExpectedWaitUs(const struct SlTransferGate *gate,
                              uint64_t now_us, uint64_t rate_bytes_per_s,
                              uint32_t ahead)
{
    uint32_t limit = SlTransferGate_Limit(gate, rate_bytes_per_s);
    uint64_t interval_us =
        SlTransferGate_ExpectedTimeUs(gate, rate_bytes_per_s) *
        SL_TRANSFER_SHARE_FULL / SlTransferGate_Share(gate, rate_bytes_per_s) /
        limit;
    uint64_t pause_us = pause_left_us(gate, now_us, rate_bytes_per_s);
    uint64_t before = (uint64_t)gate->active + ahead;

    /* The transfers before it end at equal intervals. */
    return pause_us +
           (before >= limit ? (before - limit + 1) * interval_us : 0);
}

enum SlTransferDecision
SlTransferGate_Decide(const struct SlTransferGate *gate, uint64_t now_us,
                      uint64_t rate_bytes_per_s, uint32_t ahead,
                      uint64_t patience_us)
{
    if (ahead == 0 && SlTransferGate_HasRoom(gate, now_us, rate_bytes_per_s)) {
        return SL_TRANSFER_START;
    }
    return SlTransferGate_ExpectedWaitUs(gate, now_us, rate_bytes_per_s,
                                         ahead) <= patience_us
               ? SL_TRANSFER_WAIT
               : SL_TRANSFER_REFUSE;
}

static uint64_t
smooth(uint64_t mean, uint64_t sample)
{
    if (mean == 0) {
        return sample;
    }
    return (mean * (SMOOTHING_DIVISOR - 1) + sample) / SMOOTHING_DIVISOR;
}

void
SlTransferGate_RecordEnd(struct SlTransferGate *gate, uint64_t now_us,
                         uint64_t bytes, uint64_t took_us)
{
    if (bytes != 0) {
        gate->mean_us = smooth(gate->mean_us, took_us);
        gate->mean_bytes = smooth(gate->mean_bytes, bytes);
    }
    gate->ended_us = now_us;
    gate->ended_after_us = took_us;
}
