#include <stdlib.h>
#include <string.h>

#include "segment_stub.h"
#include "world.h"

enum {
    /// Copies of an opening segment, and when an attempt that does not open
    /// ends.
    FIRST_COPY_US = 200 * 1000,
    SECOND_COPY_US = 400 * 1000,
    OPEN_LIMIT_US = 1400 * 1000,
    OPEN_COPIES = 2,
    /// A request is sent again after 200 ms, then after twice as long each
    /// time.
    REPEAT_US = 200 * 1000,
    REPEAT_DOUBLINGS = 3,
    RETRIES_MAX = 2,
    REQUEST_BYTES = 100,
    FLOWS_FIRST = 4096,
    PERCENT = 100,
    BYTE_BITS = 8,
    /// Callers at most, for each that the settings name.
    CALLERS_FACTOR = 8,
    PORT_FIRST = 1024,
};

struct SlFlowKey
fleet_flow_key(uint32_t flow)
{
    struct SlFlowKey key = {.protocol = 6};

    key.caller.ip[10] = UINT8_MAX;
    key.caller.ip[11] = UINT8_MAX;
    key.caller.ip[12] = (uint8_t)(100 + (flow >> (3 * BYTE_BITS)));
    key.caller.ip[13] = (uint8_t)(flow >> (2 * BYTE_BITS));
    key.caller.ip[14] = (uint8_t)(flow >> BYTE_BITS);
    key.caller.ip[15] = (uint8_t)flow;
    key.caller.port = PORT_FIRST;
    key.service.ip[10] = UINT8_MAX;
    key.service.ip[11] = UINT8_MAX;
    key.service.ip[12] = 198;
    key.service.ip[13] = 18;
    key.service.ip[15] = 1;
    key.service.port = FLEET_PORT;
    return key;
}

uint32_t
fleet_flow_number(const struct fleet *fleet, const struct SlAddress *caller)
{
    uint32_t number = (uint32_t)(caller->ip[12] - 100) << (3 * BYTE_BITS) |
                      (uint32_t)caller->ip[13] << (2 * BYTE_BITS) |
                      (uint32_t)caller->ip[14] << BYTE_BITS | caller->ip[15];

    return number < fleet->flow_count ? number : UINT32_MAX;
}

/// A new flow of the caller; UINT32_MAX without memory.
static uint32_t
new_flow(struct fleet *fleet, uint32_t caller)
{
    if (fleet->flow_count == fleet->flow_room) {
        uint32_t room =
            fleet->flow_room == 0 ? FLOWS_FIRST : fleet->flow_room * 2;
        struct fleet_flow *flows =
            realloc(fleet->flows, room * sizeof(*flows));

        if (flows == NULL) {
            fleet->out_of_memory = true;
            return UINT32_MAX;
        }
        fleet->flows = flows;
        fleet->flow_room = room;
    }
    fleet->flows[fleet->flow_count] =
        (struct fleet_flow){.caller = caller, .hold_count = 0};
    return fleet->flow_count++;
}

/// The entry of the caller's zone that its router hands a flow to.
static uint32_t
entry_of(const struct fleet *fleet, const struct fleet_caller *caller)
{
    const struct FleetSettings *settings = fleet->settings;
    struct SlFlowKey key = fleet_flow_key(caller->flow);
    uint32_t in_zone =
        (settings->entries - caller->zone + settings->zones - 1) /
        settings->zones;

    return caller->zone +
           (uint32_t)(SlFlowKey_Hash(&key, 7) % in_zone) * settings->zones;
}

static void
send_segment(struct fleet *fleet, const struct fleet_caller *caller,
             uint8_t flags, uint32_t payload_bytes)
{
    struct SlFlowKey key = fleet_flow_key(caller->flow);
    struct stub_segment wire;
    struct fleet_datagram *datagram;

    memset(&wire, 0, sizeof(wire));
    wire.source = key.caller;
    wire.destination = key.service;
    wire.seq = caller->seq;
    wire.ack = caller->ack;
    wire.flags = flags;
    wire.payload_bytes = payload_bytes;
    datagram = fleet_datagram(fleet, 0, &wire, sizeof(wire));
    if (datagram != NULL) {
        fleet_add(fleet, FLEET_WAY_US, FLEET_AT_LINK, entry_of(fleet, caller),
                  0, datagram);
    }
}

static void
plan_timer(struct fleet *fleet, struct fleet_caller *caller, uint64_t after_us)
{
    caller->generation++;
    fleet_add(fleet, after_us, FLEET_CALLER,
              (uint32_t)(caller - fleet->callers), caller->generation, NULL);
}

static void
open_flow(struct fleet *fleet, struct fleet_caller *caller)
{
    caller->flow = new_flow(fleet, (uint32_t)(caller - fleet->callers));
    if (caller->flow == UINT32_MAX) {
        return;
    }
    caller->phase = FLEET_OPENING;
    caller->opened = false;
    caller->seq = (uint32_t)fleet_random(fleet);
    caller->ack = 0;
    caller->attempt_us = fleet->now_us;
    caller->copies = 0;
    send_segment(fleet, caller, SL_SEGMENT_OPEN, 0);
    plan_timer(fleet, caller, FIRST_COPY_US);
}

static void
send_request(struct fleet *fleet, struct fleet_caller *caller)
{
    caller->phase = FLEET_ASKING;
    caller->copies = 0;
    caller->seq += REQUEST_BYTES;
    send_segment(fleet, caller, SL_SEGMENT_ACK, REQUEST_BYTES);
    plan_timer(fleet, caller, REPEAT_US);
}

static struct FleetWindow *
window_of(struct fleet *fleet, const struct fleet_caller *caller)
{
    return &fleet->result->windows[caller->asked_us / US_PER_S];
}

static void
begin_request(struct fleet *fleet, struct fleet_caller *caller)
{
    caller->asked_us = fleet->now_us;
    caller->retries = 0;
    window_of(fleet, caller)->asked++;
    caller->is_short =
        fleet_random(fleet) % PERCENT < fleet->settings->short_percent;
    if (caller->is_short || caller->flow == UINT32_MAX) {
        open_flow(fleet, caller);
    }
    else {
        send_request(fleet, caller);
    }
}

static void
rest(struct fleet *fleet, struct fleet_caller *caller, bool keeps_flow)
{
    if (!keeps_flow || caller->is_short) {
        caller->flow = UINT32_MAX;
    }
    caller->phase = FLEET_IDLE;
    caller->generation++;
    fleet->idle[fleet->idle_count++] = (uint32_t)(caller - fleet->callers);
}

/// The attempt has failed: the caller comes again at once, or gives up.
static void
fail_attempt(struct fleet *fleet, struct fleet_caller *caller)
{
    uint64_t spent_us = fleet->now_us - caller->asked_us;

    if (caller->retries < RETRIES_MAX &&
        spent_us < (uint64_t)fleet->settings->deadline_ms * US_PER_MS) {
        caller->retries++;
        open_flow(fleet, caller);
        return;
    }
    window_of(fleet, caller)->failed++;
    rest(fleet, caller, false);
}

static void
repeat_opening(struct fleet *fleet, struct fleet_caller *caller)
{
    if (fleet->now_us - caller->attempt_us >= OPEN_LIMIT_US) {
        fail_attempt(fleet, caller);
        return;
    }
    if (caller->copies < OPEN_COPIES) {
        caller->copies++;
        send_segment(fleet, caller, SL_SEGMENT_OPEN, 0);
    }
    plan_timer(fleet, caller,
               caller->copies == 1
                   ? SECOND_COPY_US
                   : caller->attempt_us + OPEN_LIMIT_US - fleet->now_us);
}

static void
repeat_request(struct fleet *fleet, struct fleet_caller *caller)
{
    if (fleet->now_us - caller->asked_us >=
        (uint64_t)fleet->settings->deadline_ms * US_PER_MS) {
        fail_attempt(fleet, caller);
        return;
    }
    caller->copies++;
    send_segment(fleet, caller, SL_SEGMENT_ACK, REQUEST_BYTES);
    plan_timer(fleet, caller,
               (uint64_t)REPEAT_US
                   << (caller->copies < REPEAT_DOUBLINGS ? caller->copies
                                                         : REPEAT_DOUBLINGS));
}

void
fleet_caller_timer(struct fleet *fleet, struct fleet_caller *caller)
{
    switch (caller->phase) {
    case FLEET_IDLE:
        break;
    case FLEET_OPENING:
        repeat_opening(fleet, caller);
        break;
    case FLEET_ASKING:
        repeat_request(fleet, caller);
        break;
    }
}

static void
take_answer(struct fleet *fleet, struct fleet_caller *caller)
{
    uint64_t took_us = fleet->now_us - caller->asked_us;

    if (took_us <= (uint64_t)fleet->settings->objective_ms * US_PER_MS) {
        window_of(fleet, caller)->in_time++;
    }
    else {
        window_of(fleet, caller)->late++;
    }
    rest(fleet, caller, true);
}

void
fleet_caller_take(struct fleet *fleet, const struct fleet_datagram *datagram)
{
    struct stub_segment wire;
    struct fleet_caller *caller;
    uint32_t flow;

    memcpy(&wire, datagram->bytes, sizeof(wire));
    flow = fleet_flow_number(fleet, &wire.destination);
    if (flow == UINT32_MAX) {
        return;
    }
    caller = &fleet->callers[fleet->flows[flow].caller];
    if (caller->flow != flow || caller->phase == FLEET_IDLE) {
        return;
    }
    if (wire.flags & SL_SEGMENT_RESET) {
        fail_attempt(fleet, caller);
    }
    else if ((wire.flags & SL_SEGMENT_OPEN) &&
             caller->phase == FLEET_OPENING) {
        caller->ack = wire.seq + 1;
        caller->opened = true;
        send_request(fleet, caller);
    }
    else if (wire.payload_bytes > 0 && caller->phase == FLEET_ASKING) {
        take_answer(fleet, caller);
    }
}

/// An idle caller by chance; a new one when there is none; UINT32_MAX when
/// there is no room for more.
static uint32_t
take_idle(struct fleet *fleet)
{
    uint32_t at;
    uint32_t caller;

    if (fleet->idle_count == 0) {
        return fleet->caller_count < fleet->settings->callers * CALLERS_FACTOR
                   ? fleet->caller_count++
                   : UINT32_MAX;
    }
    at = (uint32_t)(fleet_random(fleet) % fleet->idle_count);
    caller = fleet->idle[at];
    fleet->idle[at] = fleet->idle[--fleet->idle_count];
    return caller;
}

void
fleet_caller_arrival(struct fleet *fleet)
{
    uint64_t mean_us = US_PER_S / fleet->settings->requests_per_s;
    uint32_t at = take_idle(fleet);

    if (at != UINT32_MAX) {
        begin_request(fleet, &fleet->callers[at]);
    }
    else {
        struct FleetWindow *window =
            &fleet->result->windows[fleet->now_us / US_PER_S];

        window->asked++;
        window->failed++;
    }
    fleet_add(fleet, mean_us / 2 + fleet_random(fleet) % mean_us,
              FLEET_ARRIVAL, 0, 0, NULL);
}

enum SlStatus
fleet_create_callers(struct fleet *fleet)
{
    uint32_t room = fleet->settings->callers * CALLERS_FACTOR;

    fleet->callers = calloc(room, sizeof(*fleet->callers));
    fleet->idle = calloc(room, sizeof(*fleet->idle));
    if (fleet->callers == NULL || fleet->idle == NULL) {
        return SL_NO_MEMORY;
    }
    for (uint32_t i = 0; i < room; i++) {
        fleet->callers[i].zone = i % fleet->settings->zones;
        fleet->callers[i].flow = UINT32_MAX;
    }
    fleet->caller_count = fleet->settings->callers;
    for (uint32_t i = 0; i < fleet->caller_count; i++) {
        fleet->idle[fleet->idle_count++] = i;
    }
    fleet_add(fleet, 0, FLEET_ARRIVAL, 0, 0, NULL);
    return SL_OK;
}
