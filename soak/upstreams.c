/// The upstreams of the soak: each beside an agent, with slots, a queue, and
/// starts of its own. They check what reaches them.

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "platform.h"
#include "soak.h"

enum {
    SLOTS = 3,
    QUEUE = 9,
    HELD_MAX = 512,
    WORK_US = 15 * 1000,
    SPEAK_US = 700 * 1000,
    COLD_US = 2 * 1000 * 1000,
    /// What the configuration says, and what the platform allows on top.
    COLD_PER_S = 10,
    COLD_BOUND = COLD_PER_S * 3 / 2 + 5,
    COLD_HISTORY = 64,
    DOWN_US = 500 * 1000,
    /// After an acknowledged notice or order, the bound for new flows.
    DRAIN_BOUND_US = 3 * 1000 * 1000,
    ZONE_BOUND_US = 5 * 1000 * 1000,
    CALM_US = 5 * 1000 * 1000,
    IDLE_US = 20 * 1000 * 1000,
    RESPONSE_BYTES = 600,
    NAME_BYTES = 64,
};

struct flow {
    struct SlFlowKey key;
    uint32_t first;
    uint32_t caller_end;
    bool open;
    uint64_t used_us;
    uint64_t answer_us;
    uint64_t request;
    /// Answered, and what was answered, for a repeated segment.
    uint64_t answered;
};

struct upstream {
    struct SlWatch in;
    struct SlWatch out;
    struct soak_node *node;
    uint32_t start;
    uint64_t born_ms;
    uint64_t born_us;
    uint64_t seq;
    bool running;
    bool draining;
    /// When the agent acknowledged that it leaves; 0 not yet.
    uint64_t left_us;
    uint64_t next_us;
    uint64_t speak_us;
    uint64_t cold_until_us;
    uint64_t cold_starts[COLD_HISTORY];
    uint32_t cold_next;
    uint64_t busy_until_us[SLOTS];
    uint32_t flow_count;
    struct flow flows[HELD_MAX];
};

static struct soak *site;
static struct upstream *upstreams[SOAK_NODES + 1];

static struct flow *
find(struct upstream *upstream, const struct SlFlowKey *key)
{
    for (uint32_t i = 0; i < upstream->flow_count; i++) {
        if (SlFlowKey_Equal(&upstream->flows[i].key, key)) {
            return &upstream->flows[i];
        }
    }
    return NULL;
}

bool
upstream_holds(uint32_t number, const struct SlFlowKey *key)
{
    return upstreams[number] != NULL && find(upstreams[number], key) != NULL;
}

uint32_t
upstream_holder(const struct SlFlowKey *key)
{
    for (uint32_t i = 1; i <= site->node_count; i++) {
        struct flow *flow =
            upstreams[i] != NULL ? find(upstreams[i], key) : NULL;

        if (flow != NULL && flow->open) {
            return i;
        }
    }
    return 0;
}

static void
send_out(struct upstream *upstream, const uint8_t *bytes, uint32_t length)
{
    struct SlAddress to = soak_address(site, 0, upstream->node->number,
                                       SOAK_UPSTREAM_SENDS_PORT);
    struct sockaddr_storage name;
    socklen_t name_bytes = SlAddress_ToSockaddr(&to, &name);

    (void)sendto(upstream->out.descriptor, bytes, length, MSG_DONTWAIT,
                 (struct sockaddr *)&name, name_bytes);
}

static void
give_back(struct upstream *upstream, const uint8_t *bytes, uint32_t length)
{
    uint8_t copy[SOAK_PACKET_BYTES];

    memcpy(copy, bytes, length);
    copy[28] |= PACKET_BOUNCED;
    send_out(upstream, copy, length);
}

static void
send_packet(struct upstream *upstream, const struct flow *flow, uint8_t flags,
            uint32_t seq, const uint8_t *data, uint32_t data_bytes)
{
    struct packet packet = {.source = flow->key.service,
                            .destination = flow->key.caller,
                            .seq = seq,
                            .ack = flow->caller_end,
                            .flags = flags,
                            .data = data,
                            .data_bytes = data_bytes};
    uint8_t bytes[SOAK_PACKET_BYTES];

    send_out(upstream, bytes, packet_write(&packet, bytes));
}

static uint32_t
working(const struct upstream *upstream)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < upstream->flow_count; i++) {
        count += upstream->flows[i].answer_us != 0;
    }
    return count;
}

/// The rules about new flows, as the platform judges them.
static void
check_opening(struct upstream *upstream, const struct SlSegment *segment,
              uint64_t now_us)
{
    const struct soak_node *node = upstream->node;
    uint64_t out_us = site->zone_out_us[node->zone];
    bool calm = now_us - node->disturbed_us > CALM_US;
    uint32_t recent = 0;

    if (operator_service_of(segment->destination.port) !=
        node->number % 3 / 2) {
        soak_broken(site, "a flow of another service reached upstream %u",
                    node->number);
    }
    if (upstream->left_us != 0 && calm &&
        now_us - upstream->left_us > DRAIN_BOUND_US) {
        soak_broken(site, "a new flow reached upstream %u after it left",
                    node->number);
    }
    if (out_us != 0 && calm && now_us - out_us > ZONE_BOUND_US) {
        soak_broken(site, "a new flow reached upstream %u of zone %u, out",
                    node->number, node->zone);
    }
    if (now_us < upstream->cold_until_us) {
        upstream->cold_starts[upstream->cold_next++ % COLD_HISTORY] = now_us;
        for (uint32_t i = 0; i < COLD_HISTORY; i++) {
            recent += upstream->cold_starts[i] != 0 &&
                      now_us - upstream->cold_starts[i] < US_PER_S;
        }
        if (recent > COLD_BOUND) {
            soak_broken(site, "cold upstream %u got %u flows in a second",
                        node->number, recent);
        }
    }
}

static void
open_flow(struct upstream *upstream, const struct SlSegment *segment,
          const struct SlFlowKey *key, uint64_t now_us)
{
    struct flow *flow = find(upstream, key);

    if (flow == NULL) {
        if (working(upstream) >= SLOTS + QUEUE ||
            upstream->flow_count == HELD_MAX) {
            give_back(upstream, segment->bytes, segment->length_bytes);
            return;
        }
        check_opening(upstream, segment, now_us);
        flow = &upstream->flows[upstream->flow_count++];
        *flow = (struct flow){.key = *key,
                              .first = (uint32_t)soak_random(site, UINT32_MAX),
                              .caller_end = segment->seq + 1};
    }
    flow->used_us = now_us;
    send_packet(upstream, flow, PACKET_SYN | PACKET_ACK, flow->first, NULL, 0);
}

static void
answer(struct upstream *upstream, struct flow *flow)
{
    uint8_t data[RESPONSE_BYTES] = {0};

    memcpy(data, &flow->answered, sizeof(flow->answered));
    send_packet(upstream, flow, PACKET_ACK, flow->first + 1, data,
                sizeof(data));
}

static void
take_request(struct upstream *upstream, struct flow *flow,
             const struct SlSegment *segment, uint64_t now_us)
{
    uint32_t soonest = 0;
    uint64_t request;

    memcpy(&request, segment->bytes + 36, sizeof(request));
    if (request == flow->answered) {
        answer(upstream, flow);
        return;
    }
    if (flow->answer_us != 0) {
        return;
    }
    for (uint32_t i = 1; i < SLOTS; i++) {
        if (upstream->busy_until_us[i] < upstream->busy_until_us[soonest]) {
            soonest = i;
        }
    }
    if (upstream->busy_until_us[soonest] < now_us) {
        upstream->busy_until_us[soonest] = now_us;
    }
    upstream->busy_until_us[soonest] +=
        WORK_US / 2 + soak_random(site, WORK_US);
    flow->answer_us = upstream->busy_until_us[soonest];
    flow->request = request;
    flow->caller_end = segment->seq + segment->payload_bytes;
}

static void
take_packet(struct upstream *upstream, const uint8_t *bytes, uint32_t length,
            uint64_t now_us)
{
    struct SlSegment segment;
    struct SlFlowKey key;
    struct flow *flow;

    if (PLATFORM_SEGMENTS.parse(bytes, length, &segment) != SL_OK ||
        !packet_is_whole(bytes, length) ||
        (segment.flags & SL_SEGMENT_RETURNED)) {
        soak_broken(site, "upstream %u got a packet that nobody sent so",
                    upstream->node->number);
        return;
    }
    if (!upstream->running) {
        return;
    }
    key = SlSegment_CallerKey(&segment);
    if (segment.flags == SL_SEGMENT_OPEN) {
        open_flow(upstream, &segment, &key, now_us);
        return;
    }
    flow = find(upstream, &key);
    if (flow == NULL || (!flow->open && segment.ack != flow->first + 1)) {
        give_back(upstream, bytes, length);
        return;
    }
    flow->open = true;
    flow->used_us = now_us;
    if (segment.payload_bytes >= sizeof(uint64_t)) {
        take_request(upstream, flow, &segment, now_us);
    }
    if (segment.flags & (SL_SEGMENT_CLOSE | SL_SEGMENT_RESET)) {
        send_packet(upstream, flow, PACKET_FIN | PACKET_ACK, flow->first + 1,
                    NULL, 0);
        *flow = upstream->flows[--upstream->flow_count];
    }
}

static void
ready(struct SlWatch *watch, uint32_t events)
{
    struct upstream *upstream = (struct upstream *)watch;
    uint8_t bytes[2048];
    ssize_t length;

    (void)events;
    while ((length = recv(watch->descriptor, bytes, sizeof(bytes),
                          MSG_DONTWAIT)) >= 0) {
        take_packet(upstream, bytes, (uint32_t)length, SlClock_Monotonic());
    }
}

static uint64_t
wall_ms(void)
{
    return SlClock_Wall() / US_PER_MS;
}

/// begins during traffic: cold.
static void
begin(struct upstream *upstream, uint64_t now_us, bool cold)
{
    upstream->start++;
    upstream->running = true;
    upstream->draining = false;
    upstream->left_us = 0;
    upstream->born_ms = wall_ms();
    upstream->born_us = now_us;
    upstream->seq = 0;
    upstream->flow_count = 0;
    upstream->next_us = 0;
    upstream->speak_us = now_us;
    upstream->cold_until_us = cold ? now_us + COLD_US : 0;
    memset(upstream->busy_until_us, 0, sizeof(upstream->busy_until_us));
    memset(upstream->cold_starts, 0, sizeof(upstream->cold_starts));
}

static void
spoke(void *context, uint32_t status, const char *body, size_t body_bytes)
{
    struct upstream *upstream = context;

    (void)body;
    (void)body_bytes;
    if (status == 200 && upstream->draining && upstream->left_us == 0) {
        upstream->left_us = SlClock_Monotonic();
        upstream->next_us = upstream->left_us + DRAIN_BOUND_US + US_PER_S;
    }
}

static void
speak(struct upstream *upstream, uint64_t now_us)
{
    char path[NAME_BYTES];
    char body[512];
    uint64_t cold_us = upstream->cold_until_us > now_us
                           ? upstream->cold_until_us - now_us
                           : 0;
    struct http_call call = {
        .to = soak_address(site, 0, upstream->node->number, SOAK_CONTROL_PORT),
        .method = "PUT",
        .path = path,
        .body = body,
        .patience_us = SPEAK_US,
        .context = upstream,
        .done = spoke};

    snprintf(path, sizeof(path), "/api/instances/up-%u-%u",
             upstream->node->number, upstream->start);
    snprintf(body, sizeof(body),
             "{\"service\":\"service-%u\",\"address\":\"127.%u.0.%u:%u\","
             "\"zone\":\"zone-%u\",\"version\":\"v1\",\"concurrency\":%u,"
             "\"state\":\"%s\",\"cold_left_ms\":%u,\"seq\":%u,\"born\":%llu}",
             upstream->node->number % 3 / 2, site->net, upstream->node->number,
             SOAK_UPSTREAM_PORT, upstream->node->zone, SLOTS,
             upstream->draining ? "draining" : "ready",
             (unsigned)(cold_us / US_PER_MS), (unsigned)++upstream->seq,
             (unsigned long long)upstream->born_ms);
    upstream->speak_us = now_us + SPEAK_US;
    http_client_call(site->loop, &call);
}

static void
leave_heard(void *context, uint32_t status, const char *body,
            size_t body_bytes)
{
    (void)context;
    (void)status;
    (void)body;
    (void)body_bytes;
}

static void
leave(struct upstream *upstream, uint64_t now_us)
{
    char path[NAME_BYTES];
    struct http_call call = {
        .to = soak_address(site, 0, upstream->node->number, SOAK_CONTROL_PORT),
        .method = "DELETE",
        .path = path,
        .patience_us = US_PER_S,
        .done = leave_heard};

    snprintf(path, sizeof(path), "/api/instances/up-%u-%u",
             upstream->node->number, upstream->start);
    http_client_call(site->loop, &call);
    upstream->running = false;
    upstream->flow_count = 0;
    upstream->next_us = now_us + DOWN_US;
}

void
upstream_crash(struct soak *soak, uint32_t number, uint64_t now_us)
{
    struct upstream *upstream = upstreams[number];

    if (upstream != NULL && upstream->running) {
        upstream->running = false;
        upstream->flow_count = 0;
        upstream->next_us = now_us + DOWN_US;
        soak->faults++;
    }
}

void
upstream_drain(struct soak *soak, uint32_t number, uint64_t now_us)
{
    struct upstream *upstream = upstreams[number];

    if (upstream != NULL && upstream->running && !upstream->draining) {
        upstream->draining = true;
        upstream->speak_us = now_us;
        soak->faults++;
    }
}

static void
tick_flows(struct upstream *upstream, uint64_t now_us)
{
    for (uint32_t i = 0; i < upstream->flow_count;) {
        struct flow *flow = &upstream->flows[i];

        if (flow->answer_us != 0 && flow->answer_us <= now_us) {
            flow->answer_us = 0;
            flow->answered = flow->request;
            answer(upstream, flow);
        }
        if (now_us - flow->used_us > IDLE_US) {
            *flow = upstream->flows[--upstream->flow_count];
            continue;
        }
        i++;
    }
}

void
upstreams_tick(struct soak *soak, uint64_t now_us)
{
    for (uint32_t i = 1; i <= soak->node_count; i++) {
        struct upstream *upstream = upstreams[i];

        if (upstream == NULL) {
            continue;
        }
        tick_flows(upstream, now_us);
        if (upstream->next_us != 0 && now_us >= upstream->next_us) {
            if (upstream->running) {
                leave(upstream, now_us);
            }
            else {
                begin(upstream, now_us, true);
            }
        }
        if (upstream->running && now_us >= upstream->speak_us) {
            speak(upstream, now_us);
        }
    }
}

static int
open_socket(const struct SlAddress *address)
{
    struct sockaddr_storage name;
    socklen_t name_bytes = SlAddress_ToSockaddr(address, &name);
    int descriptor =
        socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    return bind(descriptor, (struct sockaddr *)&name, name_bytes) == 0
               ? descriptor
               : -1;
}

enum SlStatus
upstreams_open(struct soak *soak)
{
    site = soak;
    for (uint32_t i = 0; i < soak->node_count; i++) {
        struct soak_node *node = &soak->nodes[i];
        struct SlAddress address =
            soak_address(soak, 0, node->number, SOAK_UPSTREAM_PORT);
        struct upstream *upstream;

        if (node->role != SOAK_AGENT) {
            continue;
        }
        upstream = calloc(1, sizeof(*upstream));
        upstreams[node->number] = upstream;
        upstream->node = node;
        upstream->in.on_ready = ready;
        upstream->in.descriptor = open_socket(&address);
        upstream->out.descriptor = upstream->in.descriptor;
        if (upstream->in.descriptor < 0) {
            return SL_IO;
        }
        (void)SlLoop_Watch(soak->loop, &upstream->in, SL_LOOP_READ);
        begin(upstream, SlClock_Monotonic(), false);
    }
    return SL_OK;
}

void
upstreams_close(void)
{
    for (uint32_t i = 0; i <= SOAK_NODES; i++) {
        if (upstreams[i] != NULL) {
            close(upstreams[i]->in.descriptor);
            free(upstreams[i]);
            upstreams[i] = NULL;
        }
    }
}
