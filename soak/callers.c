/// Simulates the callers of the soak: each opens a flow, sends some requests,
/// closes the flow and opens another. Segments go to the entry that a hash of
/// the flow picks among the entries in rotation, so most flows move to another
/// entry whenever an entry leaves or joins.

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform.h"
#include "soak.h"

enum {
    SOURCE_SOCKETS = 8,
    FIRST_PORT = 10000,
    /// Time until routers detect that an entry is gone.
    ROUTER_LAG_US = 1000 * 1000,
    REQUEST_TIMEOUT_US = 4 * 1000 * 1000,
    OPEN_TIMEOUT_US = 1400 * 1000,
    RESEND_US = 200 * 1000,
    RESEND_MAX_US = 1600 * 1000,
    REQUEST_BYTES = 200,
    REQUESTS_MAX = 8,
    /// A reset is accepted if its sequence number is within this distance of
    /// the acknowledged one, in either direction.
    RESET_WINDOW = 76800,
};

/// State of a caller's flow.
enum state {
    IDLE = 0,
    OPENING,
    OPEN,
    REQUESTING,
};

struct caller {
    enum state state;
    uint32_t source;
    struct SlFlowKey key;
    uint32_t seq;
    uint32_t ack;
    /// Repetitions of the opening segment so far.
    uint32_t resends;
    uint32_t requests_left;
    uint64_t request;
    uint64_t start_us;
    uint64_t next_resend_us;
    uint64_t resend_interval_us;
    uint64_t next_us;
};

static struct soak *site;
static struct SlWatch sources[SOURCE_SOCKETS];
static struct caller callers[SOAK_CALLERS_MAX];
static uint32_t caller_count;
static uint32_t next_port;
static uint64_t next_request;

/// Returns the number of the entry to which routers send the flow now; 0 if no
/// entry is in rotation.
static uint32_t
pick_entry(const struct SlFlowKey *key, uint64_t now_us)
{
    uint32_t entries[SOAK_NODES_MAX];
    uint32_t count = 0;

    for (uint32_t i = 0; i < site->node_count; i++) {
        const struct soak_node *node = &site->nodes[i];

        if (node->role == SOAK_ENTRY &&
            now_us - node->last_running_us < ROUTER_LAG_US) {
            entries[count++] = node->number;
        }
    }
    return count == 0 ? 0 : entries[SlFlowKey_Hash(key, 1) % count];
}

static void
send_packet(struct caller *caller, uint64_t now_us, uint8_t flags,
            uint32_t data_bytes)
{
    uint8_t data[REQUEST_BYTES] = {0};
    uint8_t bytes[SOAK_PACKET_BYTES];
    struct packet packet = {.source = caller->key.caller,
                            .destination = caller->key.service,
                            .seq = caller->seq,
                            .ack = flags == PACKET_SYN ? caller->resends
                                                       : caller->ack,
                            .flags = flags,
                            .data = data,
                            .data_bytes = data_bytes};
    uint32_t entry = pick_entry(&caller->key, now_us);
    struct SlAddress to = soak_address(site, 0, entry, SOAK_CALLERS_PORT);
    struct sockaddr_storage name;
    socklen_t name_bytes = SlAddress_ToSockaddr(&to, &name);
    uint32_t length;

    memcpy(data, &caller->request, sizeof(caller->request));
    length = packet_write(&packet, bytes);
    if (entry != 0) {
        (void)sendto(sources[caller->source].descriptor, bytes, length,
                     MSG_DONTWAIT, (struct sockaddr *)&name, name_bytes);
    }
}

/// True if the last fault ended more than 8 s ago, and no loss began.
static bool
is_after_faults(uint64_t now_us)
{
    return now_us > site->faults_end_us + 8ull * US_PER_S &&
           now_us < site->end_us;
}

static bool
is_after_loss(uint64_t now_us)
{
    return site->recovered_us != 0 && now_us > site->recovered_us;
}

static void
begin_request(struct caller *caller, uint64_t now_us)
{
    caller->state = REQUESTING;
    caller->request = ++next_request;
    caller->start_us = now_us;
    caller->resend_interval_us = RESEND_US;
    caller->next_resend_us = now_us + RESEND_US;
    site->asked++;
    site->asked_calm += is_after_faults(now_us);
    site->asked_recovered += is_after_loss(now_us);
    send_packet(caller, now_us, PACKET_ACK, REQUEST_BYTES);
}

static void
open_flow(struct caller *caller, uint64_t now_us)
{
    next_port = (next_port + 1) % 50000;
    caller->source = (uint32_t)soak_random(site, SOURCE_SOCKETS);
    caller->key = (struct SlFlowKey){
        .caller = soak_address(site, 2, caller->source + 1,
                               (uint16_t)(FIRST_PORT + next_port)),
        .service =
            soak_address(site, 3, 1, soak_random(site, 4) == 0 ? 8443 : 8080),
        .protocol = 6};
    caller->seq = (uint32_t)soak_random(site, UINT32_MAX);
    caller->resends = 0;
    caller->requests_left = soak_random(site, 3) == 0
                                ? 1 + (uint32_t)soak_random(site, REQUESTS_MAX)
                                : 1;
    caller->state = OPENING;
    caller->start_us = now_us;
    caller->next_resend_us = now_us + RESEND_US;
    send_packet(caller, now_us, PACKET_SYN, 0);
}

static void
end_flow(struct caller *caller, uint64_t now_us, uint64_t pause_max_us)
{
    caller->state = IDLE;
    caller->next_us = now_us + soak_random(site, pause_max_us);
}

/// Ends the flow on a reset within the window. Resetting a flow that an
/// upstream still holds is a violation, except while all processes recover
/// from a loss.
static void
handle_reset(struct caller *caller, const struct SlSegment *segment,
             uint64_t now_us)
{
    uint32_t holder = upstream_find_holder(&caller->key);

    if (caller->state != OPENING &&
        segment->seq - caller->ack + RESET_WINDOW > 2 * RESET_WINDOW) {
        return;
    }
    site->reset++;
    if (caller->state != OPENING && holder != 0 &&
        (site->all_lost_us == 0 ||
         now_us - site->all_lost_us > SOAK_RECOVERY_US)) {
        soak_report_violation(site, "a flow that upstream %u holds was reset",
                              holder);
    }
    end_flow(caller, now_us, 100 * US_PER_MS);
}

static void
handle_answer(struct caller *caller, const uint8_t *bytes, uint64_t now_us)
{
    uint64_t request;

    memcpy(&request, bytes + 36, sizeof(request));
    if (caller->state != REQUESTING || request != caller->request) {
        if (request > next_request) {
            soak_report_violation(
                site, "a caller received an answer to a request never sent");
        }
        return;
    }
    site->answered++;
    site->answered_calm += is_after_faults(caller->start_us);
    site->answered_recovered += is_after_loss(caller->start_us);
    caller->seq += REQUEST_BYTES;
    caller->state = OPEN;
    if (--caller->requests_left == 0) {
        send_packet(caller, now_us, PACKET_FIN | PACKET_ACK, 0);
        end_flow(caller, now_us, 100 * US_PER_MS);
        return;
    }
    caller->next_us = now_us + soak_random(site, US_PER_S);
}

static struct caller *
find_caller(const struct SlFlowKey *key)
{
    for (uint32_t i = 0; i < caller_count; i++) {
        if (callers[i].state != IDLE &&
            SlFlowKey_Equal(&callers[i].key, key)) {
            return &callers[i];
        }
    }
    return NULL;
}

static void
handle_packet(const uint8_t *bytes, uint32_t length, uint64_t now_us)
{
    struct SlSegment segment;
    struct SlFlowKey key;
    struct caller *caller;

    if (PLATFORM_SEGMENT_FORMAT.parse(bytes, length, &segment) != SL_OK ||
        (!packet_checksum_is_valid(bytes, length) &&
         !packet_is_relay_reset(bytes, length))) {
        soak_report_violation(site, "a caller received a corrupted packet");
        return;
    }
    key = SlSegment_FlowKeyFromUpstream(&segment);
    caller = find_caller(&key);
    if (caller == NULL) {
        return;
    }
    if (segment.flags & SL_SEGMENT_RESET) {
        handle_reset(caller, &segment, now_us);
    }
    else if (segment.flags == (SL_SEGMENT_OPEN | SL_SEGMENT_ACK)) {
        if (caller->state == OPENING) {
            caller->ack = segment.seq + 1;
            caller->seq++;
            begin_request(caller, now_us);
        }
    }
    else if (segment.payload_bytes >= sizeof(uint64_t)) {
        handle_answer(caller, bytes, now_us);
    }
}

static void
on_readable(struct SlWatch *watch, uint32_t events)
{
    uint8_t bytes[2048];
    ssize_t length;

    (void)events;
    while ((length = recv(watch->descriptor, bytes, sizeof(bytes),
                          MSG_DONTWAIT)) >= 0) {
        handle_packet(bytes, (uint32_t)length, SlClock_Monotonic());
    }
}

static void
tick_opening(struct caller *caller, uint64_t now_us)
{
    if (now_us - caller->start_us > OPEN_TIMEOUT_US) {
        site->expired++;
        end_flow(caller, now_us, 100 * US_PER_MS);
    }
    else if (now_us >= caller->next_resend_us && caller->resends < 2) {
        caller->resends++;
        caller->next_resend_us = caller->start_us + 3 * RESEND_US;
        send_packet(caller, now_us, PACKET_SYN, 0);
    }
}

static void
tick_requesting(struct caller *caller, uint64_t now_us)
{
    if (now_us - caller->start_us > REQUEST_TIMEOUT_US) {
        site->expired++;
        end_flow(caller, now_us, 100 * US_PER_MS);
    }
    else if (now_us >= caller->next_resend_us) {
        caller->resend_interval_us *= 2;
        if (caller->resend_interval_us > RESEND_MAX_US) {
            caller->resend_interval_us = RESEND_MAX_US;
        }
        caller->next_resend_us = now_us + caller->resend_interval_us;
        send_packet(caller, now_us, PACKET_ACK, REQUEST_BYTES);
    }
}

void
callers_tick(struct soak *soak, uint64_t now_us)
{
    for (uint32_t i = 0; operator_has_config() && i < caller_count; i++) {
        struct caller *caller = &callers[i];

        switch (caller->state) {
        case IDLE:
            if (now_us >= caller->next_us && now_us < soak->callers_end_us) {
                open_flow(caller, now_us);
            }
            break;
        case OPENING:
            tick_opening(caller, now_us);
            break;
        case OPEN:
            if (now_us >= caller->next_us) {
                begin_request(caller, now_us);
            }
            break;
        case REQUESTING:
            tick_requesting(caller, now_us);
            break;
        }
    }
}

enum SlStatus
callers_open(struct soak *soak)
{
    uint32_t agents = 0;

    site = soak;
    for (uint32_t i = 0; i < soak->node_count; i++) {
        agents += soak->nodes[i].role == SOAK_AGENT;
    }
    caller_count =
        agents * 4 < SOAK_CALLERS_MAX ? agents * 4 : SOAK_CALLERS_MAX;
    if (soak->callers > 0 && soak->callers < caller_count) {
        caller_count = soak->callers;
    }
    for (uint32_t i = 0; i < SOURCE_SOCKETS; i++) {
        struct SlAddress address =
            soak_address(soak, 2, i + 1, SOAK_CALLERS_PORT);
        struct sockaddr_storage name;
        socklen_t name_bytes = SlAddress_ToSockaddr(&address, &name);

        sources[i].on_ready = on_readable;
        sources[i].descriptor =
            socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (bind(sources[i].descriptor, (struct sockaddr *)&name,
                 name_bytes) != 0) {
            return SL_IO;
        }
        (void)SlLoop_Watch(soak->loop, &sources[i], SL_LOOP_READ);
    }
    return SL_OK;
}

void
callers_close(void)
{
    for (uint32_t i = 0; i < SOURCE_SOCKETS; i++) {
        close(sources[i].descriptor);
    }
}
