#ifndef SAVORYLEDGE_COORDINATION_RELAY_ENTRY_H
#define SAVORYLEDGE_COORDINATION_RELAY_ENTRY_H

/// The entry of the relay. See relay.h.
///
/// It remembers which agent holds a flow. A segment of a flow that it does
/// not know waits while agents are asked: those where the flow was placed in
/// all likelihood (balance/homes.h), then all others, for many flows at once.
/// A flow is reset only when every agent of its services said for certain that
/// it does not hold it.

#include "savoryledge/coordination/relay.h"

struct SlRelayEntry;

struct SlRelayEntryCounters {
    uint64_t segments;
    uint64_t malformed;
    uint64_t no_route;
    uint64_t offered;
    uint64_t offered_again;
    uint64_t refused;
    uint64_t carried;
    uint64_t searches;
    uint64_t found;
    uint64_t not_found;
    uint64_t searches_given_up;
    uint64_t dropped;
    /// Frames sent to agents, and those of them that ask for holders.
    uint64_t frames;
    uint64_t queries;
    /// Questions that all agents get, for many flows at once.
    uint64_t broadcasts;
    /// Agents that turned suspect.
    uint64_t suspects;
    /// How long it waits for an agent's answer at present, and how many
    /// questions it may send in a tick.
    uint64_t answer_timeout_us;
    uint64_t query_limit;
    uint64_t flows;
};

/// NULL without memory.
struct SlRelayEntry *
SlRelayEntry_Create(const struct SlRelayOptions *options);
/// NULL is allowed.
void
SlRelayEntry_Destroy(struct SlRelayEntry *entry);

/// Takes a new configuration into use. plan: NULL while there is none; the
/// entry takes its own reference. Errors: SL_NO_MEMORY (the former stays).
enum SlStatus
SlRelayEntry_SetConfig(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                       uint64_t now_us, const struct SlConfig *config,
                       struct SlPlan *plan);
/// Tells whether the process hears control. While it does not, nothing that
/// it does not know is refused.
void
SlRelayEntry_SetCutOff(struct SlRelayEntry *entry, bool cut_off);

/// A segment from a caller.
void
SlRelayEntry_HandleCallerSegment(struct SlRelayEntry *entry,
                                 struct SlRelaySink *sink, uint64_t now_us,
                                 const uint8_t *bytes, uint32_t length_bytes);
/// A frame from an agent.
void
SlRelayEntry_HandleFrame(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                         uint64_t now_us, const struct SlRelayFrame *frame);
/// Given at least every SL_RELAY_TICK_US.
void
SlRelayEntry_Tick(struct SlRelayEntry *entry, struct SlRelaySink *sink,
                  uint64_t now_us);

/// True once it has a plan and somebody to offer flows to.
bool
SlRelayEntry_IsReady(const struct SlRelayEntry *entry);
/// True when work waits for a tick: offers or searches are open.
bool
SlRelayEntry_Busy(const struct SlRelayEntry *entry);
void
SlRelayEntry_Counters(const struct SlRelayEntry *entry,
                      struct SlRelayEntryCounters *counters);

enum {
    SL_RELAY_TICK_US = 20 * 1000,
};

#endif
