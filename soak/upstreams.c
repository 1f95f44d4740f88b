/// Simulates the upstreams of the soak, one beside each agent. An upstream has
/// a number of slots and a queue, restarts independently of its agent, and
/// checks the segments that reach it.

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
    QUEUE_LENGTH = 9,
    FLOWS_MAX = 512,
    SERVICE_TIME_MEAN_US = 15 * 1000,
    STATUS_INTERVAL_US = 700 * 1000,
    COLD_US = 2 * 1000 * 1000,
    /// Slow-start rate in the configuration, and the rate at which the
    /// platform counts a violation: half as much again and 5 flows more.
    COLD_PER_S = 10,
    COLD_MAX_PER_S = COLD_PER_S * 3 / 2 + 5,
    COLD_HISTORY = 64,
    RESTART_DELAY_US = 500 * 1000,
    /// Time after which no new flow may reach an upstream whose draining was
    /// acknowledged, or one of an evacuated zone.
    DRAIN_LIMIT_US = 3 * 1000 * 1000,
    ZONE_LIMIT_US = 5 * 1000 * 1000,
    UNDISTURBED_US = 5 * 1000 * 1000,
    IDLE_TIMEOUT_US = 20 * 1000 * 1000,
    RESPONSE_BYTES = 600,
    NAME_BYTES = 64,
};

struct flow {
    struct SlFlowKey key;
    uint32_t initial_seq;
    uint32_t caller_next_seq;
    bool open;
    uint64_t last_used_us;
    uint64_t answer_due_us;
    uint64_t request;
    /// The last request answered; its answer is sent again when the request is
    /// repeated.
    uint64_t last_answered;
};

struct upstream {
    struct SlWatch socket_in;
    struct SlWatch socket_out;
    struct soak_node *node;
    uint32_t start_count;
    uint64_t start_wall_ms;
    uint64_t start_us;
    uint64_t seq;
    bool is_running;
    bool is_draining;
    /// Time at which the agent acknowledged the draining status; 0 before
    /// that.
    uint64_t drain_acknowledged_us;
    /// Time of the removal or, if not running, of the next start; 0 when
    /// neither is due.
    uint64_t transition_us;
    uint64_t next_status_us;
    uint64_t cold_until_us;
    uint64_t cold_flow_times_us[COLD_HISTORY];
    uint32_t cold_flow_count;
    uint64_t busy_until_us[SLOTS];
    uint32_t flow_count;
    struct flow flows[FLOWS_MAX];
};

static struct soak *site;
static struct upstream *upstreams[SOAK_NODES_MAX + 1];

static struct flow *
find_flow(struct upstream *upstream, const struct SlFlowKey *key)
{
    for (uint32_t i = 0; i < upstream->flow_count; i++) {
        if (SlFlowKey_Equal(&upstream->flows[i].key, key)) {
            return &upstream->flows[i];
        }
    }
    return NULL;
}

bool
upstream_has_flow(uint32_t number, const struct SlFlowKey *key)
{
    return upstreams[number] != NULL &&
           find_flow(upstreams[number], key) != NULL;
}

uint32_t
upstream_find_holder(const struct SlFlowKey *key)
{
    for (uint32_t i = 1; i <= site->node_count; i++) {
        struct flow *flow =
            upstreams[i] != NULL ? find_flow(upstreams[i], key) : NULL;

        if (flow != NULL && flow->open) {
            return i;
        }
    }
    return 0;
}

static void
send_to_relay(struct upstream *upstream, const uint8_t *bytes, uint32_t length)
{
    struct SlAddress to = soak_address(site, 0, upstream->node->number,
                                       SOAK_UPSTREAM_SENDS_PORT);
    struct sockaddr_storage name;
    socklen_t name_bytes = SlAddress_ToSockaddr(&to, &name);

    (void)sendto(upstream->socket_out.descriptor, bytes, length, MSG_DONTWAIT,
                 (struct sockaddr *)&name, name_bytes);
}

/// Returns a segment that the upstream does not accept to the relay.
static void
return_segment(struct upstream *upstream, const uint8_t *bytes,
               uint32_t length)
{
    uint8_t copy[SOAK_PACKET_BYTES];

    memcpy(copy, bytes, length);
    copy[28] |= PACKET_RETURNED;
    send_to_relay(upstream, copy, length);
}

static void
send_packet(struct upstream *upstream, const struct flow *flow, uint8_t flags,
            uint32_t seq, const uint8_t *data, uint32_t data_bytes)
{
    struct packet packet = {.source = flow->key.service,
                            .destination = flow->key.caller,
                            .seq = seq,
                            .ack = flow->caller_next_seq,
                            .flags = flags,
                            .data = data,
                            .data_bytes = data_bytes};
    uint8_t bytes[SOAK_PACKET_BYTES];

    send_to_relay(upstream, bytes, packet_write(&packet, bytes));
}

static uint32_t
count_pending_requests(const struct upstream *upstream)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < upstream->flow_count; i++) {
        count += upstream->flows[i].answer_due_us != 0;
    }
    return count;
}

/// Checks a new flow against the platform's rules: right service, upstream not
/// draining, zone not evacuated, slow-start rate kept. Draining and zones are
/// not checked within 5 s of a fault of the agent.
static void
check_new_flow(struct upstream *upstream, const struct SlSegment *segment,
               uint64_t now_us)
{
    const struct soak_node *node = upstream->node;
    uint64_t evacuated_us = site->zone_evacuated_us[node->zone];
    bool is_undisturbed = now_us - node->last_fault_us > UNDISTURBED_US;
    uint32_t flows_last_second = 0;

    if (operator_service_for_port(segment->destination.port) !=
        node->number % 3 / 2) {
        soak_report_violation(site,
                              "a flow of another service reached upstream %u",
                              node->number);
    }
    if (upstream->drain_acknowledged_us != 0 && is_undisturbed &&
        now_us - upstream->drain_acknowledged_us > DRAIN_LIMIT_US) {
        soak_report_violation(
            site, "a new flow reached upstream %u, which is draining",
            node->number);
    }
    if (evacuated_us != 0 && is_undisturbed &&
        now_us - evacuated_us > ZONE_LIMIT_US) {
        soak_report_violation(
            site, "a new flow reached upstream %u of evacuated zone %u",
            node->number, node->zone);
    }
    if (now_us < upstream->cold_until_us) {
        upstream
            ->cold_flow_times_us[upstream->cold_flow_count++ % COLD_HISTORY] =
            now_us;
        for (uint32_t i = 0; i < COLD_HISTORY; i++) {
            flows_last_second +=
                upstream->cold_flow_times_us[i] != 0 &&
                now_us - upstream->cold_flow_times_us[i] < US_PER_S;
        }
        if (flows_last_second > COLD_MAX_PER_S) {
            soak_report_violation(
                site, "cold upstream %u received %u new flows within 1 s",
                node->number, flows_last_second);
        }
    }
}

static void
accept_flow(struct upstream *upstream, const struct SlSegment *segment,
            const struct SlFlowKey *key, uint64_t now_us)
{
    struct flow *flow = find_flow(upstream, key);

    if (flow == NULL) {
        if (count_pending_requests(upstream) >= SLOTS + QUEUE_LENGTH ||
            upstream->flow_count == FLOWS_MAX) {
            return_segment(upstream, segment->bytes, segment->length_bytes);
            return;
        }
        check_new_flow(upstream, segment, now_us);
        flow = &upstream->flows[upstream->flow_count++];
        *flow = (struct flow){.key = *key,
                              .initial_seq =
                                  (uint32_t)soak_random(site, UINT32_MAX),
                              .caller_next_seq = segment->seq + 1};
    }
    flow->last_used_us = now_us;
    send_packet(upstream, flow, PACKET_SYN | PACKET_ACK, flow->initial_seq,
                NULL, 0);
}

static void
send_answer(struct upstream *upstream, struct flow *flow)
{
    uint8_t data[RESPONSE_BYTES] = {0};

    memcpy(data, &flow->last_answered, sizeof(flow->last_answered));
    send_packet(upstream, flow, PACKET_ACK, flow->initial_seq + 1, data,
                sizeof(data));
}

static void
queue_request(struct upstream *upstream, struct flow *flow,
              const struct SlSegment *segment, uint64_t now_us)
{
    uint32_t earliest = 0;
    uint64_t request;

    memcpy(&request, segment->bytes + 36, sizeof(request));
    if (request == flow->last_answered) {
        send_answer(upstream, flow);
        return;
    }
    if (flow->answer_due_us != 0) {
        return;
    }
    for (uint32_t i = 1; i < SLOTS; i++) {
        if (upstream->busy_until_us[i] < upstream->busy_until_us[earliest]) {
            earliest = i;
        }
    }
    if (upstream->busy_until_us[earliest] < now_us) {
        upstream->busy_until_us[earliest] = now_us;
    }
    upstream->busy_until_us[earliest] +=
        SERVICE_TIME_MEAN_US / 2 + soak_random(site, SERVICE_TIME_MEAN_US);
    flow->answer_due_us = upstream->busy_until_us[earliest];
    flow->request = request;
    flow->caller_next_seq = segment->seq + segment->payload_bytes;
}

static void
handle_packet(struct upstream *upstream, const uint8_t *bytes, uint32_t length,
              uint64_t now_us)
{
    struct SlSegment segment;
    struct SlFlowKey key;
    struct flow *flow;

    if (PLATFORM_SEGMENT_FORMAT.parse(bytes, length, &segment) != SL_OK ||
        !packet_checksum_is_valid(bytes, length) ||
        (segment.flags & SL_SEGMENT_RETURNED)) {
        soak_report_violation(site,
                              "upstream %u received a corrupted or returned "
                              "packet",
                              upstream->node->number);
        return;
    }
    if (!upstream->is_running) {
        return;
    }
    key = SlSegment_FlowKeyFromCaller(&segment);
    if (segment.flags == SL_SEGMENT_OPEN) {
        accept_flow(upstream, &segment, &key, now_us);
        return;
    }
    flow = find_flow(upstream, &key);
    if (flow == NULL ||
        (!flow->open && segment.ack != flow->initial_seq + 1)) {
        return_segment(upstream, bytes, length);
        return;
    }
    flow->open = true;
    flow->last_used_us = now_us;
    if (segment.payload_bytes >= sizeof(uint64_t)) {
        queue_request(upstream, flow, &segment, now_us);
    }
    if (segment.flags & (SL_SEGMENT_CLOSE | SL_SEGMENT_RESET)) {
        send_packet(upstream, flow, PACKET_FIN | PACKET_ACK,
                    flow->initial_seq + 1, NULL, 0);
        *flow = upstream->flows[--upstream->flow_count];
    }
}

static void
on_readable(struct SlWatch *watch, uint32_t events)
{
    struct upstream *upstream = (struct upstream *)watch;
    uint8_t bytes[2048];
    ssize_t length;

    (void)events;
    while ((length = recv(watch->descriptor, bytes, sizeof(bytes),
                          MSG_DONTWAIT)) >= 0) {
        handle_packet(upstream, bytes, (uint32_t)length, SlClock_Monotonic());
    }
}

static uint64_t
wall_clock_ms(void)
{
    return SlClock_Wall() / US_PER_MS;
}

/// Starts a new instance of the upstream. A cold upstream gets new flows at
/// the slow-start rate for the first COLD_US.
static void
start_upstream(struct upstream *upstream, uint64_t now_us, bool is_cold)
{
    upstream->start_count++;
    upstream->is_running = true;
    upstream->is_draining = false;
    upstream->drain_acknowledged_us = 0;
    upstream->start_wall_ms = wall_clock_ms();
    upstream->start_us = now_us;
    upstream->seq = 0;
    upstream->flow_count = 0;
    upstream->transition_us = 0;
    upstream->next_status_us = now_us;
    upstream->cold_until_us = is_cold ? now_us + COLD_US : 0;
    memset(upstream->busy_until_us, 0, sizeof(upstream->busy_until_us));
    memset(upstream->cold_flow_times_us, 0,
           sizeof(upstream->cold_flow_times_us));
}

static void
on_status_answered(void *context, uint32_t status, const char *body,
                   size_t body_bytes)
{
    struct upstream *upstream = context;

    (void)body;
    (void)body_bytes;
    if (status == 200 && upstream->is_draining &&
        upstream->drain_acknowledged_us == 0) {
        upstream->drain_acknowledged_us = SlClock_Monotonic();
        upstream->transition_us =
            upstream->drain_acknowledged_us + DRAIN_LIMIT_US + US_PER_S;
    }
}

static void
report_status(struct upstream *upstream, uint64_t now_us)
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
        .answer_timeout_us = STATUS_INTERVAL_US,
        .context = upstream,
        .done = on_status_answered};

    snprintf(path, sizeof(path), "/api/instances/up-%u-%u",
             upstream->node->number, upstream->start_count);
    snprintf(body, sizeof(body),
             "{\"service\":\"service-%u\",\"address\":\"127.%u.0.%u:%u\","
             "\"zone\":\"zone-%u\",\"version\":\"v1\",\"concurrency\":%u,"
             "\"state\":\"%s\",\"cold_left_ms\":%u,\"seq\":%u,\"born\":%llu}",
             upstream->node->number % 3 / 2, site->net, upstream->node->number,
             SOAK_UPSTREAM_PORT, upstream->node->zone, SLOTS,
             upstream->is_draining ? "draining" : "ready",
             (unsigned)(cold_us / US_PER_MS), (unsigned)++upstream->seq,
             (unsigned long long)upstream->start_wall_ms);
    upstream->next_status_us = now_us + STATUS_INTERVAL_US;
    http_client_call(site->loop, &call);
}

static void
on_removal_answered(void *context, uint32_t status, const char *body,
                    size_t body_bytes)
{
    (void)context;
    (void)status;
    (void)body;
    (void)body_bytes;
}

static void
remove_upstream(struct upstream *upstream, uint64_t now_us)
{
    char path[NAME_BYTES];
    struct http_call call = {
        .to = soak_address(site, 0, upstream->node->number, SOAK_CONTROL_PORT),
        .method = "DELETE",
        .path = path,
        .answer_timeout_us = US_PER_S,
        .done = on_removal_answered};

    snprintf(path, sizeof(path), "/api/instances/up-%u-%u",
             upstream->node->number, upstream->start_count);
    http_client_call(site->loop, &call);
    upstream->is_running = false;
    upstream->flow_count = 0;
    upstream->transition_us = now_us + RESTART_DELAY_US;
}

void
upstream_crash(struct soak *soak, uint32_t number, uint64_t now_us)
{
    struct upstream *upstream = upstreams[number];

    if (upstream != NULL && upstream->is_running) {
        upstream->is_running = false;
        upstream->flow_count = 0;
        upstream->transition_us = now_us + RESTART_DELAY_US;
        soak->faults++;
    }
}

void
upstream_drain(struct soak *soak, uint32_t number, uint64_t now_us)
{
    struct upstream *upstream = upstreams[number];

    if (upstream != NULL && upstream->is_running && !upstream->is_draining) {
        upstream->is_draining = true;
        upstream->next_status_us = now_us;
        soak->faults++;
    }
}

static void
tick_flows(struct upstream *upstream, uint64_t now_us)
{
    for (uint32_t i = 0; i < upstream->flow_count;) {
        struct flow *flow = &upstream->flows[i];

        if (flow->answer_due_us != 0 && flow->answer_due_us <= now_us) {
            flow->answer_due_us = 0;
            flow->last_answered = flow->request;
            send_answer(upstream, flow);
        }
        if (now_us - flow->last_used_us > IDLE_TIMEOUT_US) {
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
        if (upstream->transition_us != 0 &&
            now_us >= upstream->transition_us) {
            if (upstream->is_running) {
                remove_upstream(upstream, now_us);
            }
            else {
                start_upstream(upstream, now_us, true);
            }
        }
        if (upstream->is_running && now_us >= upstream->next_status_us) {
            report_status(upstream, now_us);
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
        upstream->socket_in.on_ready = on_readable;
        upstream->socket_in.descriptor = open_socket(&address);
        upstream->socket_out.descriptor = upstream->socket_in.descriptor;
        if (upstream->socket_in.descriptor < 0) {
            return SL_IO;
        }
        (void)SlLoop_Watch(soak->loop, &upstream->socket_in, SL_LOOP_READ);
        start_upstream(upstream, SlClock_Monotonic(), false);
    }
    return SL_OK;
}

void
upstreams_close(void)
{
    for (uint32_t i = 0; i <= SOAK_NODES_MAX; i++) {
        if (upstreams[i] != NULL) {
            close(upstreams[i]->socket_in.descriptor);
            free(upstreams[i]);
            upstreams[i] = NULL;
        }
    }
}
