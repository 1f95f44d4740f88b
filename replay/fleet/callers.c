#include <stdlib.h>
#include <string.h>

#include "fleet_internal.h"
#include "segment_stub.h"

enum {
    /// Delays of the first and the second copy of an opening segment, and time
    /// after which an attempt that has not opened ends.
    FIRST_COPY_US = 200 * 1000,
    SECOND_COPY_US = 400 * 1000,
    OPEN_LIMIT_US = 1400 * 1000,
    OPEN_COPIES = 2,
    /// A request is resent after 200 ms, then each time after twice the delay,
    /// up to three doublings.
    RESEND_US = 200 * 1000,
    RESEND_DOUBLINGS_MAX = 3,
    RETRIES_MAX = 2,
    REQUEST_BYTES = 100,
    INITIAL_FLOW_CAPACITY = 4096,
    PERCENT = 100,
    BYTE_BITS = 8,
    /// Maximum number of callers, as a multiple of the number in the settings.
    CALLERS_MAX_FACTOR = 8,
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

/// Creates a flow of the caller and returns its number; UINT32_MAX when out of
/// memory.
static uint32_t
create_flow(struct fleet *fleet, uint32_t caller)
{
    if (fleet->flow_count == fleet->flow_capacity) {
        uint32_t capacity = fleet->flow_capacity == 0
                                ? INITIAL_FLOW_CAPACITY
                                : fleet->flow_capacity * 2;
        struct fleet_flow *flows =
            realloc(fleet->flows, capacity * sizeof(*flows));

        if (flows == NULL) {
            fleet->out_of_memory = true;
            return UINT32_MAX;
        }
        fleet->flows = flows;
        fleet->flow_capacity = capacity;
    }
    fleet->flows[fleet->flow_count] =
        (struct fleet_flow){.caller = caller, .hold_count = 0};
    return fleet->flow_count++;
}

/// Returns the index of the entry in the caller's zone to which the router
/// sends the caller's flow.
static uint32_t
entry_for_flow(const struct fleet *fleet, const struct fleet_caller *caller)
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
    struct stub_segment segment;
    struct fleet_datagram *datagram;

    memset(&segment, 0, sizeof(segment));
    segment.source = key.caller;
    segment.destination = key.service;
    segment.seq = caller->seq;
    segment.ack = caller->ack;
    segment.flags = flags;
    segment.payload_bytes = payload_bytes;
    datagram = fleet_create_datagram(fleet, 0, &segment, sizeof(segment));
    if (datagram != NULL) {
        fleet_schedule(fleet, FLEET_ONE_WAY_DELAY_US, FLEET_TASK_LINK_ARRIVAL,
                       entry_for_flow(fleet, caller), 0, datagram);
    }
}

static void
set_timer(struct fleet *fleet, struct fleet_caller *caller, uint64_t after_us)
{
    caller->generation++;
    fleet_schedule(fleet, after_us, FLEET_TASK_CALLER_TIMER,
                   (uint32_t)(caller - fleet->callers), caller->generation,
                   NULL);
}

static void
open_flow(struct fleet *fleet, struct fleet_caller *caller)
{
    caller->flow = create_flow(fleet, (uint32_t)(caller - fleet->callers));
    if (caller->flow == UINT32_MAX) {
        return;
    }
    caller->phase = FLEET_CALLER_OPENING;
    caller->opened = false;
    caller->seq = (uint32_t)fleet_random(fleet);
    caller->ack = 0;
    caller->attempt_us = fleet->now_us;
    caller->copies_sent = 0;
    send_segment(fleet, caller, SL_SEGMENT_OPEN, 0);
    set_timer(fleet, caller, FIRST_COPY_US);
}

static void
send_request(struct fleet *fleet, struct fleet_caller *caller)
{
    caller->phase = FLEET_CALLER_AWAITING_ANSWER;
    caller->copies_sent = 0;
    caller->seq += REQUEST_BYTES;
    send_segment(fleet, caller, SL_SEGMENT_ACK, REQUEST_BYTES);
    set_timer(fleet, caller, RESEND_US);
}

static struct FleetWindow *
request_window(struct fleet *fleet, const struct fleet_caller *caller)
{
    return &fleet->result->windows[caller->first_sent_us / US_PER_S];
}

static void
start_request(struct fleet *fleet, struct fleet_caller *caller)
{
    caller->first_sent_us = fleet->now_us;
    caller->retries = 0;
    request_window(fleet, caller)->requested++;
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
become_idle(struct fleet *fleet, struct fleet_caller *caller, bool keeps_flow)
{
    if (!keeps_flow || caller->is_short) {
        caller->flow = UINT32_MAX;
    }
    caller->phase = FLEET_CALLER_IDLE;
    caller->generation++;
    fleet->idle_callers[fleet->idle_caller_count++] =
        (uint32_t)(caller - fleet->callers);
}

/// Ends a failed attempt: the caller retries at once, or gives up.
static void
fail_attempt(struct fleet *fleet, struct fleet_caller *caller)
{
    uint64_t spent_us = fleet->now_us - caller->first_sent_us;

    if (caller->retries < RETRIES_MAX &&
        spent_us < (uint64_t)fleet->settings->deadline_ms * US_PER_MS) {
        caller->retries++;
        open_flow(fleet, caller);
        return;
    }
    request_window(fleet, caller)->failed++;
    become_idle(fleet, caller, false);
}

static void
resend_opening(struct fleet *fleet, struct fleet_caller *caller)
{
    if (fleet->now_us - caller->attempt_us >= OPEN_LIMIT_US) {
        fail_attempt(fleet, caller);
        return;
    }
    if (caller->copies_sent < OPEN_COPIES) {
        caller->copies_sent++;
        send_segment(fleet, caller, SL_SEGMENT_OPEN, 0);
    }
    set_timer(fleet, caller,
              caller->copies_sent == 1
                  ? SECOND_COPY_US
                  : caller->attempt_us + OPEN_LIMIT_US - fleet->now_us);
}

static void
resend_request(struct fleet *fleet, struct fleet_caller *caller)
{
    if (fleet->now_us - caller->first_sent_us >=
        (uint64_t)fleet->settings->deadline_ms * US_PER_MS) {
        fail_attempt(fleet, caller);
        return;
    }
    caller->copies_sent++;
    send_segment(fleet, caller, SL_SEGMENT_ACK, REQUEST_BYTES);
    set_timer(fleet, caller,
              (uint64_t)RESEND_US
                  << (caller->copies_sent < RESEND_DOUBLINGS_MAX
                          ? caller->copies_sent
                          : RESEND_DOUBLINGS_MAX));
}

void
fleet_caller_handle_timer(struct fleet *fleet, struct fleet_caller *caller)
{
    switch (caller->phase) {
    case FLEET_CALLER_IDLE:
        break;
    case FLEET_CALLER_OPENING:
        resend_opening(fleet, caller);
        break;
    case FLEET_CALLER_AWAITING_ANSWER:
        resend_request(fleet, caller);
        break;
    }
}

static void
receive_answer(struct fleet *fleet, struct fleet_caller *caller)
{
    uint64_t took_us = fleet->now_us - caller->first_sent_us;

    if (took_us <= (uint64_t)fleet->settings->objective_ms * US_PER_MS) {
        request_window(fleet, caller)->in_time++;
    }
    else {
        request_window(fleet, caller)->late++;
    }
    become_idle(fleet, caller, true);
}

void
fleet_caller_receive(struct fleet *fleet,
                     const struct fleet_datagram *datagram)
{
    struct stub_segment segment;
    struct fleet_caller *caller;
    uint32_t flow;

    memcpy(&segment, datagram->bytes, sizeof(segment));
    flow = fleet_flow_number(fleet, &segment.destination);
    if (flow == UINT32_MAX) {
        return;
    }
    caller = &fleet->callers[fleet->flows[flow].caller];
    if (caller->flow != flow || caller->phase == FLEET_CALLER_IDLE) {
        return;
    }
    if (segment.flags & SL_SEGMENT_RESET) {
        fail_attempt(fleet, caller);
    }
    else if ((segment.flags & SL_SEGMENT_OPEN) &&
             caller->phase == FLEET_CALLER_OPENING) {
        caller->ack = segment.seq + 1;
        caller->opened = true;
        send_request(fleet, caller);
    }
    else if (segment.payload_bytes > 0 &&
             caller->phase == FLEET_CALLER_AWAITING_ANSWER) {
        receive_answer(fleet, caller);
    }
}

/// Returns the index of a random idle caller, of a new caller when none is
/// idle, or UINT32_MAX when the maximum is reached.
static uint32_t
pick_caller(struct fleet *fleet)
{
    uint32_t idle_index;
    uint32_t caller;

    if (fleet->idle_caller_count == 0) {
        return fleet->caller_count <
                       fleet->settings->callers * CALLERS_MAX_FACTOR
                   ? fleet->caller_count++
                   : UINT32_MAX;
    }
    idle_index = (uint32_t)(fleet_random(fleet) % fleet->idle_caller_count);
    caller = fleet->idle_callers[idle_index];
    fleet->idle_callers[idle_index] =
        fleet->idle_callers[--fleet->idle_caller_count];
    return caller;
}

void
fleet_start_next_request(struct fleet *fleet)
{
    uint64_t mean_us = US_PER_S / fleet->settings->requests_per_s;
    uint32_t caller_index = pick_caller(fleet);

    if (caller_index != UINT32_MAX) {
        start_request(fleet, &fleet->callers[caller_index]);
    }
    else {
        struct FleetWindow *window =
            &fleet->result->windows[fleet->now_us / US_PER_S];

        window->requested++;
        window->failed++;
    }
    fleet_schedule(fleet, mean_us / 2 + fleet_random(fleet) % mean_us,
                   FLEET_TASK_REQUEST_ARRIVAL, 0, 0, NULL);
}

enum SlStatus
fleet_create_callers(struct fleet *fleet)
{
    uint32_t capacity = fleet->settings->callers * CALLERS_MAX_FACTOR;

    fleet->callers = calloc(capacity, sizeof(*fleet->callers));
    fleet->idle_callers = calloc(capacity, sizeof(*fleet->idle_callers));
    if (fleet->callers == NULL || fleet->idle_callers == NULL) {
        return SL_NO_MEMORY;
    }
    for (uint32_t i = 0; i < capacity; i++) {
        fleet->callers[i].zone = i % fleet->settings->zones;
        fleet->callers[i].flow = UINT32_MAX;
    }
    fleet->caller_count = fleet->settings->callers;
    for (uint32_t i = 0; i < fleet->caller_count; i++) {
        fleet->idle_callers[fleet->idle_caller_count++] = i;
    }
    fleet_schedule(fleet, 0, FLEET_TASK_REQUEST_ARRIVAL, 0, 0, NULL);
    return SL_OK;
}
