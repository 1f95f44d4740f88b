/// The callers of the soak: each opens a flow, sends some requests, and comes
/// again. Segments go to an entry picked by a hash over those in rotation, so
/// most flows move whenever an entry leaves or joins.

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform.h"
#include "soak.h"

enum {
    SOURCES = 8,
    FIRST_PORT = 10000,
    /// How long routers take to notice that an entry is gone.
    ROUTER_LAG_US = 1000 * 1000,
    DEADLINE_US = 4 * 1000 * 1000,
    OPEN_US = 1400 * 1000,
    REPEAT_US = 200 * 1000,
    REPEAT_MAX_US = 1600 * 1000,
    REQUEST_BYTES = 200,
    REQUESTS_MAX = 8,
    /// A reset counts when its number is so near to what was acknowledged.
    RESET_WINDOW = 76800,
};

enum state {
    IDLE = 0,
    OPENING,
    OPEN,
    ASKING,
};

struct caller {
    enum state state;
    uint32_t source;
    struct SlFlowKey key;
    uint32_t seq;
    uint32_t ack;
    uint32_t copies;
    uint32_t left;
    uint64_t request;
    uint64_t began_us;
    uint64_t repeat_us;
    uint64_t repeat_after_us;
    uint64_t next_us;
};

static struct soak *site;
static struct SlWatch sources[SOURCES];
static struct caller callers[SOAK_CALLERS];
static uint32_t caller_count;
static uint32_t next_port;
static uint64_t next_request;

/// The entry that the routers pick for a flow now.
static uint32_t
route(const struct SlFlowKey *key, uint64_t now_us)
{
    uint32_t entries[SOAK_NODES];
    uint32_t count = 0;

    for (uint32_t i = 0; i < site->node_count; i++) {
        const struct soak_node *node = &site->nodes[i];

        if (node->role == SOAK_ENTRY &&
            now_us - node->routed_us < ROUTER_LAG_US) {
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
                            .ack = flags == PACKET_SYN ? caller->copies
                                                       : caller->ack,
                            .flags = flags,
                            .data = data,
                            .data_bytes = data_bytes};
    uint32_t entry = route(&caller->key, now_us);
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

static bool
is_calm(uint64_t now_us)
{
    return now_us > site->faults_until_us + 8ull * US_PER_S;
}

static void
begin_request(struct caller *caller, uint64_t now_us)
{
    caller->state = ASKING;
    caller->request = ++next_request;
    caller->began_us = now_us;
    caller->repeat_after_us = REPEAT_US;
    caller->repeat_us = now_us + REPEAT_US;
    site->asked++;
    site->asked_calm += is_calm(now_us);
    send_packet(caller, now_us, PACKET_ACK, REQUEST_BYTES);
}

static void
open_flow(struct caller *caller, uint64_t now_us)
{
    next_port = (next_port + 1) % 50000;
    caller->source = (uint32_t)soak_random(site, SOURCES);
    caller->key = (struct SlFlowKey){
        .caller = soak_address(site, 2, caller->source + 1,
                               (uint16_t)(FIRST_PORT + next_port)),
        .service =
            soak_address(site, 3, 1, soak_random(site, 4) == 0 ? 8443 : 8080),
        .protocol = 6};
    caller->seq = (uint32_t)soak_random(site, UINT32_MAX);
    caller->copies = 0;
    caller->left = soak_random(site, 3) == 0
                       ? 1 + (uint32_t)soak_random(site, REQUESTS_MAX)
                       : 1;
    caller->state = OPENING;
    caller->began_us = now_us;
    caller->repeat_us = now_us + REPEAT_US;
    send_packet(caller, now_us, PACKET_SYN, 0);
}

static void
end_flow(struct caller *caller, uint64_t now_us, uint64_t pause_us)
{
    caller->state = IDLE;
    caller->next_us = now_us + soak_random(site, pause_us);
}

/// The system says that the flow is over.
static void
take_reset(struct caller *caller, const struct SlSegment *segment,
           uint64_t now_us)
{
    uint32_t holder = upstream_holder(&caller->key);

    if (caller->state != OPENING &&
        segment->seq - caller->ack + RESET_WINDOW > 2 * RESET_WINDOW) {
        return;
    }
    site->reset++;
    if (caller->state != OPENING && holder != 0) {
        soak_broken(site, "a flow was reset that upstream %u holds", holder);
    }
    end_flow(caller, now_us, 100 * US_PER_MS);
}

static void
take_answer(struct caller *caller, const uint8_t *bytes, uint64_t now_us)
{
    uint64_t request;

    memcpy(&request, bytes + 36, sizeof(request));
    if (caller->state != ASKING || request != caller->request) {
        if (request > next_request) {
            soak_broken(site, "an answer to a request that nobody sent");
        }
        return;
    }
    site->answered++;
    site->answered_calm += is_calm(caller->began_us);
    caller->seq += REQUEST_BYTES;
    caller->state = OPEN;
    if (--caller->left == 0) {
        send_packet(caller, now_us, PACKET_FIN | PACKET_ACK, 0);
        end_flow(caller, now_us, 100 * US_PER_MS);
        return;
    }
    caller->next_us = now_us + soak_random(site, US_PER_S);
}

static struct caller *
caller_of(const struct SlFlowKey *key)
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
take_packet(const uint8_t *bytes, uint32_t length, uint64_t now_us)
{
    struct SlSegment segment;
    struct SlFlowKey key;
    struct caller *caller;

    if (PLATFORM_SEGMENTS.parse(bytes, length, &segment) != SL_OK ||
        (!packet_is_whole(bytes, length) &&
         !packet_is_system_reset(bytes, length))) {
        soak_broken(site, "a caller got a packet that nobody sent so");
        return;
    }
    key = SlSegment_UpstreamKey(&segment);
    caller = caller_of(&key);
    if (caller == NULL) {
        return;
    }
    if (segment.flags & SL_SEGMENT_RESET) {
        take_reset(caller, &segment, now_us);
    }
    else if (segment.flags == (SL_SEGMENT_OPEN | SL_SEGMENT_ACK)) {
        if (caller->state == OPENING) {
            caller->ack = segment.seq + 1;
            caller->seq++;
            begin_request(caller, now_us);
        }
    }
    else if (segment.payload_bytes >= sizeof(uint64_t)) {
        take_answer(caller, bytes, now_us);
    }
}

static void
ready(struct SlWatch *watch, uint32_t events)
{
    uint8_t bytes[2048];
    ssize_t length;

    (void)events;
    while ((length = recv(watch->descriptor, bytes, sizeof(bytes),
                          MSG_DONTWAIT)) >= 0) {
        take_packet(bytes, (uint32_t)length, SlClock_Monotonic());
    }
}

static void
tick_opening(struct caller *caller, uint64_t now_us)
{
    if (now_us - caller->began_us > OPEN_US) {
        site->expired++;
        end_flow(caller, now_us, 100 * US_PER_MS);
    }
    else if (now_us >= caller->repeat_us && caller->copies < 2) {
        caller->copies++;
        caller->repeat_us = caller->began_us + 3 * REPEAT_US;
        send_packet(caller, now_us, PACKET_SYN, 0);
    }
}

static void
tick_asking(struct caller *caller, uint64_t now_us)
{
    if (now_us - caller->began_us > DEADLINE_US) {
        site->expired++;
        end_flow(caller, now_us, 100 * US_PER_MS);
    }
    else if (now_us >= caller->repeat_us) {
        caller->repeat_after_us *= 2;
        if (caller->repeat_after_us > REPEAT_MAX_US) {
            caller->repeat_after_us = REPEAT_MAX_US;
        }
        caller->repeat_us = now_us + caller->repeat_after_us;
        send_packet(caller, now_us, PACKET_ACK, REQUEST_BYTES);
    }
}

void
callers_tick(struct soak *soak, uint64_t now_us)
{
    for (uint32_t i = 0; operator_ready() && i < caller_count; i++) {
        struct caller *caller = &callers[i];

        switch (caller->state) {
        case IDLE:
            if (now_us >= caller->next_us && now_us < soak->end_us) {
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
        case ASKING:
            tick_asking(caller, now_us);
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
    caller_count = agents * 4 < SOAK_CALLERS ? agents * 4 : SOAK_CALLERS;
    for (uint32_t i = 0; i < SOURCES; i++) {
        struct SlAddress address =
            soak_address(soak, 2, i + 1, SOAK_CALLERS_PORT);
        struct sockaddr_storage name;
        socklen_t name_bytes = SlAddress_ToSockaddr(&address, &name);

        sources[i].on_ready = ready;
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
    for (uint32_t i = 0; i < SOURCES; i++) {
        close(sources[i].descriptor);
    }
}
