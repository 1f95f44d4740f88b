/// Endpoints and clients: they speak the packets of the platform.

#define _GNU_SOURCE

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "site.h"

enum {
    FLAG_RST = 2,
    FLAG_FIN = 4,
    FLAG_SYN = 8,
    FLAG_BOUNCED = 16,
    FLAG_ACK = 128,
    RESET_WINDOW = 76800,
    RESEND_MS = 200,
    RESEND_MAX_MS = 1600,
    RESENDS_MAX = 8,
    OPENING_MS = 1400,
    COPY_1_MS = 200,
    COPY_2_MS = 600,
    CLIENT_PORT_FIRST = 40001,
    POLLED_MAX = 2 * ENDPOINTS_MAX + 1,
    CALL_TIMEOUT_MS = 1000,
    ASTRAY_MIN = 3,
};

struct packet {
    uint32_t sum;
    uint16_t source_port;
    uint32_t destination_ip;
    uint32_t source_ip;
    uint16_t destination_port;
    uint32_t seq;
    uint32_t ack;
    uint8_t flags;
    const uint8_t *data;
    uint32_t data_bytes;
};

static void
put16(uint8_t *out, uint32_t value)
{
    out[0] = (uint8_t)(value >> 8);
    out[1] = (uint8_t)value;
}

static void
put32(uint8_t *out, uint32_t value)
{
    put16(out, value >> 16);
    put16(out + 2, value & 0xffff);
}

static uint32_t
get16(const uint8_t *in)
{
    return (uint32_t)in[0] << 8 | in[1];
}

static uint32_t
get32(const uint8_t *in)
{
    return get16(in) << 16 | get16(in + 2);
}

/// A keyed sum over all fields but sum, echo, pad and BOUNCED.
static uint32_t
sum_of(const uint8_t *bytes, uint32_t length)
{
    uint32_t sum = 0x9e3779b9u;

    for (uint32_t i = 8; i < length; i++) {
        uint8_t byte = bytes[i];

        if (i >= 29 && i < 34) {
            continue;
        }
        byte = i == 28 ? byte & (uint8_t)~FLAG_BOUNCED : byte;
        sum = (sum ^ byte) * 16777619u + 0x5bd1e995u;
    }
    return sum == 0 ? 1 : sum;
}

static uint32_t
build(const struct packet *packet, uint8_t *out)
{
    memset(out, 0, HEAD_BYTES);
    put16(out + 8, packet->source_port);
    put32(out + 10, packet->destination_ip);
    put32(out + 14, packet->source_ip);
    put16(out + 18, packet->destination_port);
    put32(out + 20, packet->seq);
    put32(out + 24, packet->ack);
    out[28] = packet->flags;
    put16(out + 34, packet->data_bytes);
    if (packet->data_bytes > 0) {
        memcpy(out + HEAD_BYTES, packet->data, packet->data_bytes);
    }
    put32(out, sum_of(out, HEAD_BYTES + packet->data_bytes));
    return HEAD_BYTES + packet->data_bytes;
}

static bool
parse(const uint8_t *bytes, uint32_t length, struct packet *packet)
{
    if (length < HEAD_BYTES || get16(bytes + 34) != length - HEAD_BYTES) {
        return false;
    }
    *packet = (struct packet){.sum = get32(bytes),
                              .source_port = (uint16_t)get16(bytes + 8),
                              .destination_ip = get32(bytes + 10),
                              .source_ip = get32(bytes + 14),
                              .destination_port = (uint16_t)get16(bytes + 18),
                              .seq = get32(bytes + 20),
                              .ack = get32(bytes + 24),
                              .flags = bytes[28],
                              .data = bytes + HEAD_BYTES,
                              .data_bytes = length - HEAD_BYTES};
    return true;
}

static void
send_bytes(int descriptor, uint32_t ip, uint32_t port, const uint8_t *bytes,
           uint32_t length)
{
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port),
                             .sin_addr.s_addr = htonl(ip)};

    (void)sendto(descriptor, bytes, length, MSG_DONTWAIT,
                 (struct sockaddr *)&to, sizeof(to));
}

static uint32_t
ip_of(const char *text)
{
    struct in_addr address = {.s_addr = 0};

    inet_pton(AF_INET, text, &address);
    return ntohl(address.s_addr);
}

static int
bind_socket(int type, uint32_t ip, uint32_t port)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port),
                             .sin_addr.s_addr = htonl(ip)};
    int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    int enabled = 1;

    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled,
               sizeof(enabled));
    if (bind(descriptor, (struct sockaddr *)&at, sizeof(at)) != 0 ||
        (type == SOCK_STREAM && listen(descriptor, 16) != 0)) {
        fprintf(stderr, "cannot bind port %u: %s\n", port, strerror(errno));
        exit(2);
    }
    return descriptor;
}

/* Endpoints. */

void
start_endpoint(struct site *site, struct endpoint *endpoint, const char *id,
               struct machine *machine)
{
    uint32_t ip = ip_of(machine->ip);

    *endpoint =
        (struct endpoint){.running = true,
                          .machine = machine,
                          .born_ms = wall_ms(),
                          .udp = bind_socket(SOCK_DGRAM, ip, PORT_APP),
                          .tcp = bind_socket(SOCK_STREAM, ip, PORT_APP)};
    snprintf(endpoint->id, sizeof(endpoint->id), "%s", id);
    note(site, "endpoint %s: starts at %s", id, machine->ip);
}

void
stop_endpoint(struct site *site, struct endpoint *endpoint)
{
    close(endpoint->udp);
    close(endpoint->tcp);
    endpoint->running = false;
    note(site, "endpoint %s: has ended", endpoint->id);
}

/// Calls the endpoint's node with its status. Returns the status of the
/// answer.
static int
report_status(const struct endpoint *endpoint, uint64_t cold_ms)
{
    char path[TEXT_BYTES];
    char body[512];
    char answer[1024];

    snprintf(path, sizeof(path), "/api/instances/%s", endpoint->id);
    snprintf(body, sizeof(body),
             "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
             "\"version\":\"v1\",\"concurrency\":3,\"state\":\"%s\","
             "\"cold_left_ms\":%llu,\"seq\":%llu,\"born\":%llu}",
             endpoint->machine->service, endpoint->machine->ip, PORT_APP,
             endpoint->machine->zone,
             endpoint->draining ? "draining" : "ready",
             (unsigned long long)cold_ms, (unsigned long long)endpoint->seq,
             (unsigned long long)endpoint->born_ms);
    return http_call(endpoint->machine->ip, PORT_CONTROL, "PUT", path, body,
                     CALL_TIMEOUT_MS, answer, sizeof(answer));
}

int
send_heartbeat(struct site *site, struct endpoint *endpoint)
{
    uint64_t now = now_ms();
    uint64_t cold_ms =
        endpoint->cold_until_ms > now ? endpoint->cold_until_ms - now : 0;
    int status;

    endpoint->seq++;
    status = report_status(endpoint, cold_ms);
    endpoint->heartbeat_due_ms = now_ms() + HEARTBEAT_MS;
    note(site, "endpoint %s: heartbeat seq=%llu cold_left_ms=%llu -> %d",
         endpoint->id, (unsigned long long)endpoint->seq,
         (unsigned long long)cold_ms, status);
    return status;
}

int
deliver_late_heartbeat(struct site *site, const struct endpoint *endpoint,
                       uint64_t sent_ms)
{
    int status = report_status(endpoint, 0);

    note(site, "endpoint %s: heartbeat seq=%llu, held up for %llu ms -> %d",
         endpoint->id, (unsigned long long)endpoint->seq,
         (unsigned long long)(now_ms() - sent_ms), status);
    return status;
}

int
send_leave(struct site *site, struct endpoint *endpoint)
{
    char path[TEXT_BYTES];
    char answer[1024];
    int status;

    snprintf(path, sizeof(path), "/api/instances/%s", endpoint->id);
    status = http_call(endpoint->machine->ip, PORT_CONTROL, "DELETE", path, "",
                       CALL_TIMEOUT_MS, answer, sizeof(answer));
    note(site, "endpoint %s: DELETE -> %d", endpoint->id, status);
    return status;
}

static void
endpoint_send(struct endpoint *endpoint, struct endpoint_flow *flow,
              uint8_t flags, const uint8_t *data, uint32_t data_bytes)
{
    struct packet packet = {.source_port = flow->service_port,
                            .destination_ip = flow->client_ip,
                            .source_ip = flow->service_ip,
                            .destination_port = flow->client_port,
                            .seq = flow->send_next,
                            .ack = flow->receive_next,
                            .flags = flags,
                            .data = data,
                            .data_bytes = data_bytes};
    uint8_t bytes[PACKET_BYTES];
    uint32_t length;

    if (flags & FLAG_SYN) {
        packet.seq = flow->own_seq;
    }
    length = build(&packet, bytes);
    send_bytes(endpoint->udp, ip_of(endpoint->machine->ip), PORT_OUTBOUND,
               bytes, length);
    if (data_bytes > 0) {
        memcpy(flow->last, bytes, length);
        flow->last_bytes = length;
        flow->send_next += data_bytes;
        flow->resend_ms = now_ms() + RESEND_MS;
        flow->resends = 0;
    }
}

static struct endpoint_flow *
find_endpoint_flow(struct endpoint *endpoint, const struct packet *packet)
{
    for (uint32_t i = 0; i < ENDPOINT_FLOWS_MAX; i++) {
        struct endpoint_flow *flow = &endpoint->flows[i];

        if (flow->used && flow->client_ip == packet->source_ip &&
            flow->client_port == packet->source_port &&
            flow->service_ip == packet->destination_ip &&
            flow->service_port == packet->destination_port) {
            return flow;
        }
    }
    return NULL;
}

static void
handle_opening(struct endpoint *endpoint, struct endpoint_flow *flow,
               const struct packet *packet)
{
    for (uint32_t i = 0; flow == NULL && i < ENDPOINT_FLOWS_MAX; i++) {
        if (!endpoint->flows[i].used) {
            flow = &endpoint->flows[i];
            *flow = (struct endpoint_flow){
                .used = true,
                .client_ip = packet->source_ip,
                .client_port = packet->source_port,
                .service_ip = packet->destination_ip,
                .service_port = packet->destination_port,
                .client_seq = packet->seq,
                .own_seq = (uint32_t)random(),
                .receive_next = packet->seq + 1};
            flow->send_next = flow->own_seq + 1;
            flow->acked = flow->send_next;
        }
    }
    if (flow != NULL) {
        endpoint_send(endpoint, flow, FLAG_SYN | FLAG_ACK, NULL, 0);
    }
}

static void
answer_request(struct endpoint *endpoint, struct endpoint_flow *flow)
{
    char answer[512];
    int length = snprintf(answer, sizeof(answer),
                          "HTTP/1.1 200 OK\r\nX-Savoryledge-Server-Stamp: "
                          "%s-%u\r\nContent-Length: 2\r\n\r\nok",
                          endpoint->id, endpoint->runs);

    flow->answer_due_ms = 0;
    endpoint_send(endpoint, flow, FLAG_ACK, (const uint8_t *)answer,
                  (uint32_t)length);
}

/// Runs the request in the packet, and answers it.
static void
run_request(struct site *site, struct endpoint *endpoint,
            struct endpoint_flow *flow, const struct packet *packet)
{
    char request[PACKET_BYTES + 1];
    char id[48] = "?";
    const char *field;

    memcpy(request, packet->data, packet->data_bytes);
    request[packet->data_bytes] = '\0';
    field = strstr(request, "X-Savoryledge-Request-Id: ");
    if (field != NULL) {
        sscanf(field + 26, "%47s", id);
    }
    endpoint->runs++;
    note(site, "endpoint %s: runs %s", endpoint->id, id);
    if (endpoint->work_ms > 0) {
        flow->answer_due_ms = now_ms() + endpoint->work_ms;
        endpoint_send(endpoint, flow, FLAG_ACK, NULL, 0);
    }
    else {
        answer_request(endpoint, flow);
    }
}

/// Records whether a packet of an open flow reached the flow's own endpoint.
static void
watch_packet(struct site *site, const struct packet *packet, bool own)
{
    uint32_t index = (uint32_t)packet->source_port - CLIENT_PORT_FIRST;
    struct client_flow *flow;
    uint64_t now = now_ms();

    if (!site->watches_packets || index >= site->flow_count) {
        return;
    }
    flow = &site->flows[index];
    if (flow->astray_sends >= ASTRAY_MIN &&
        now - flow->astray_since_ms > flow->astray_longest_ms) {
        flow->astray_longest_ms = now - flow->astray_since_ms;
    }
    if (own) {
        flow->astray_sends = 0;
        return;
    }
    if (flow->astray_sends == 0) {
        flow->astray_since_ms = now;
    }
    /* A send that is tried at several endpoints counts once. */
    if (flow->astray_sends == 0 || flow->astray_last != flow->resends) {
        flow->astray_sends++;
        flow->astray_last = flow->resends;
        note(site, "flow %u: send %u of %s reaches another endpoint",
             flow->port, flow->resends, flow->id);
    }
}

static void
handle_endpoint_packet(struct site *site, struct endpoint *endpoint,
                       uint8_t *bytes, uint32_t length)
{
    struct packet packet;
    struct endpoint_flow *flow;

    if (!parse(bytes, length, &packet) ||
        packet.sum != sum_of(bytes, length)) {
        endpoint->forged++;
        note(site, "endpoint %s: a forged packet", endpoint->id);
        return;
    }
    flow = find_endpoint_flow(endpoint, &packet);
    if ((packet.flags & (FLAG_SYN | FLAG_ACK)) == FLAG_SYN) {
        handle_opening(endpoint, flow, &packet);
        return;
    }
    watch_packet(site, &packet, flow != NULL);
    if (flow == NULL) {
        bytes[28] |= FLAG_BOUNCED;
        memset(bytes + 29, 0, 5);
        send_bytes(endpoint->udp, ip_of(endpoint->machine->ip), PORT_OUTBOUND,
                   bytes, length);
        return;
    }
    if (packet.flags & FLAG_RST) {
        flow->used = false;
        return;
    }
    if ((packet.flags & FLAG_ACK) &&
        (int32_t)(packet.ack - flow->own_seq) > 0) {
        flow->open = true;
        if ((int32_t)(packet.ack - flow->acked) > 0) {
            flow->acked = packet.ack;
        }
    }
    if (packet.data_bytes > 0 && flow->open) {
        if (packet.seq == flow->receive_next) {
            flow->receive_next += packet.data_bytes;
            run_request(site, endpoint, flow, &packet);
        }
        else {
            endpoint_send(endpoint, flow, FLAG_ACK, NULL, 0);
        }
    }
}

static void
endpoint_timers(struct site *site, struct endpoint *endpoint)
{
    uint64_t now = now_ms();

    for (uint32_t i = 0; i < ENDPOINT_FLOWS_MAX; i++) {
        struct endpoint_flow *flow = &endpoint->flows[i];

        if (flow->used && flow->answer_due_ms != 0 &&
            now >= flow->answer_due_ms) {
            answer_request(endpoint, flow);
        }
        if (flow->used && flow->resend_ms != 0 && now >= flow->resend_ms) {
            uint32_t wait_ms = RESEND_MS << ++flow->resends;

            if (flow->acked == flow->send_next ||
                flow->resends > RESENDS_MAX) {
                flow->resend_ms = 0;
                continue;
            }
            flow->resend_ms =
                now + (wait_ms < RESEND_MAX_MS ? wait_ms : RESEND_MAX_MS);
            send_bytes(endpoint->udp, ip_of(endpoint->machine->ip),
                       PORT_OUTBOUND, flow->last, flow->last_bytes);
        }
    }
    if (now >= endpoint->heartbeat_due_ms) {
        (void)send_heartbeat(site, endpoint);
    }
}

/* Clients. */

void
open_clients(struct site *site)
{
    char ip[32];

    snprintf(ip, sizeof(ip), "127.%u.200.1", site->block);
    site->client_ip = ip_of(ip);
    snprintf(ip, sizeof(ip), "127.%u.201.1", site->block);
    site->service_ip = ip_of(ip);
    site->client_udp = bind_socket(SOCK_DGRAM, site->client_ip, PORT_PACKETS);
}

static void
client_send(struct site *site, struct client_flow *flow, uint8_t flags,
            uint32_t seq, uint32_t ack, const uint8_t *data,
            uint32_t data_bytes)
{
    struct packet packet = {.source_port = flow->port,
                            .destination_ip = site->service_ip,
                            .source_ip = site->client_ip,
                            .destination_port = ROUTE_PORT,
                            .seq = seq,
                            .ack = ack,
                            .flags = flags,
                            .data = data,
                            .data_bytes = data_bytes};
    uint8_t bytes[PACKET_BYTES];
    uint32_t length = build(&packet, bytes);

    send_bytes(site->client_udp, flow->entry_ip, PORT_PACKETS, bytes, length);
}

struct client_flow *
open_flow(struct site *site, const struct machine *entry)
{
    struct client_flow *flow = &site->flows[site->flow_count];

    *flow = (struct client_flow){
        .state = FLOW_OPENING,
        .port = (uint16_t)(CLIENT_PORT_FIRST + site->flow_count++),
        .entry_ip = ip_of(entry->ip),
        .own_seq = (uint32_t)random(),
        .began_ms = now_ms()};
    flow->send_next = flow->own_seq + 1;
    flow->due_ms = flow->began_ms + COPY_1_MS;
    client_send(site, flow, FLAG_SYN, flow->own_seq, 0, NULL, 0);
    return flow;
}

void
send_request(struct site *site, struct client_flow *flow)
{
    snprintf(flow->id, sizeof(flow->id), "q-%u-%u", flow->port,
             ++flow->requests);
    flow->request_bytes =
        (uint32_t)snprintf((char *)flow->request, sizeof(flow->request),
                           "POST /redeem HTTP/1.1\r\nHost: site\r\n"
                           "X-Savoryledge-Request-Id: %s\r\n\r\n",
                           flow->id);
    flow->waiting = true;
    flow->resends = 0;
    flow->request_ms = now_ms();
    flow->due_ms = now_ms() + RESEND_MS;
    note(site, "client: sends %s", flow->id);
    client_send(site, flow, FLAG_ACK, flow->send_next, flow->receive_next,
                flow->request, flow->request_bytes);
}

static void
handle_answer(struct site *site, struct client_flow *flow,
              const struct packet *packet)
{
    char answer[PACKET_BYTES + 1];
    const char *field;

    if (packet->seq != flow->receive_next) {
        client_send(site, flow, FLAG_ACK, flow->send_next, flow->receive_next,
                    NULL, 0);
        return;
    }
    memcpy(answer, packet->data, packet->data_bytes);
    answer[packet->data_bytes] = '\0';
    field = strstr(answer, "X-Savoryledge-Server-Stamp: ");
    if (field != NULL) {
        sscanf(field + 28, "%63[^\r\n]", flow->stamp);
    }
    flow->receive_next += packet->data_bytes;
    if (flow->waiting) {
        flow->waiting = false;
        flow->send_next += flow->request_bytes;
        flow->answers++;
        flow->answered_ms = now_ms();
        note(site, "client: %s is answered by %s after %llu ms", flow->id,
             flow->stamp,
             (unsigned long long)(flow->answered_ms - flow->request_ms));
    }
    client_send(site, flow, FLAG_ACK, flow->send_next, flow->receive_next,
                NULL, 0);
}

static void
handle_reset(struct site *site, struct client_flow *flow,
             const struct packet *packet)
{
    int32_t distance = (int32_t)(packet->seq - flow->receive_next);

    if (flow->state == FLOW_OPEN &&
        (distance > RESET_WINDOW || distance < -RESET_WINDOW)) {
        return;
    }
    note(site, "client: flow %u is reset%s%s, sum %08x", flow->port,
         flow->state == FLOW_OPEN ? " while open" : " while opening",
         flow->waiting ? ", a request is not answered" : "", packet->sum);
    flow->state = flow->state == FLOW_OPEN ? FLOW_RESET : FLOW_FAILED;
    flow->reset_ms = now_ms();
}

static void
handle_client_packet(struct site *site, const uint8_t *bytes, uint32_t length)
{
    struct packet packet;
    struct client_flow *flow;
    uint32_t index;

    if (!parse(bytes, length, &packet)) {
        site->foreign_packets++;
        return;
    }
    index = (uint32_t)packet.destination_port - CLIENT_PORT_FIRST;
    if (index >= site->flow_count ||
        (packet.sum != sum_of(bytes, length) &&
         !(packet.sum == 0 && packet.flags == FLAG_RST))) {
        site->foreign_packets++;
        note(site, "client: a foreign packet");
        return;
    }
    flow = &site->flows[index];
    if (flow->state != FLOW_OPENING && flow->state != FLOW_OPEN) {
        return;
    }
    if (packet.flags & FLAG_RST) {
        handle_reset(site, flow, &packet);
        return;
    }
    if ((packet.flags & (FLAG_SYN | FLAG_ACK)) == (FLAG_SYN | FLAG_ACK)) {
        if (flow->state == FLOW_OPENING) {
            flow->state = FLOW_OPEN;
            flow->peer_seq = packet.seq;
            flow->receive_next = packet.seq + 1;
            client_send(site, flow, FLAG_ACK, flow->send_next,
                        flow->receive_next, NULL, 0);
        }
        return;
    }
    if (packet.data_bytes > 0 && flow->state == FLOW_OPEN) {
        handle_answer(site, flow, &packet);
    }
}

static void
client_timers(struct site *site, struct client_flow *flow)
{
    uint64_t now = now_ms();
    uint32_t wait_ms;

    if (flow->state == FLOW_OPENING) {
        if (now - flow->began_ms >= OPENING_MS) {
            flow->state = FLOW_FAILED;
            note(site, "client: flow %u does not open", flow->port);
        }
        else if (flow->copies < 2 &&
                 now - flow->began_ms >=
                     (flow->copies == 0 ? COPY_1_MS : COPY_2_MS)) {
            client_send(site, flow, FLAG_SYN, flow->own_seq, ++flow->copies,
                        NULL, 0);
        }
    }
    if (flow->state == FLOW_OPEN && flow->waiting && now >= flow->due_ms) {
        wait_ms = RESEND_MS << ++flow->resends;
        flow->due_ms =
            now + (wait_ms < RESEND_MAX_MS ? wait_ms : RESEND_MAX_MS);
        client_send(site, flow, FLAG_ACK, flow->send_next, flow->receive_next,
                    flow->request, flow->request_bytes);
    }
}

/* The stand-ins' loop. */

/// Answers a health check.
static void
handle_check(struct endpoint *endpoint)
{
    static const char ANSWER[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    struct timeval limit = {.tv_usec = 20 * 1000};
    char call[512];
    int descriptor = accept4(endpoint->tcp, NULL, NULL, SOCK_CLOEXEC);

    if (descriptor < 0) {
        return;
    }
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    if (recv(descriptor, call, sizeof(call), 0) > 0) {
        (void)send(descriptor, ANSWER, sizeof(ANSWER) - 1, MSG_NOSIGNAL);
    }
    close(descriptor);
}

static void
read_packets(struct site *site, int descriptor, struct endpoint *endpoint)
{
    uint8_t bytes[2048];
    ssize_t length;

    while ((length = recv(descriptor, bytes, sizeof(bytes), MSG_DONTWAIT)) >=
           0) {
        if (endpoint != NULL) {
            handle_endpoint_packet(site, endpoint, bytes, (uint32_t)length);
        }
        else {
            handle_client_packet(site, bytes, (uint32_t)length);
        }
    }
}

static void
poll_once(struct site *site, int wait_ms)
{
    struct pollfd polled[POLLED_MAX];
    struct endpoint *owners[POLLED_MAX];
    nfds_t count = 0;

    if (site->client_udp >= 0) {
        owners[count] = NULL;
        polled[count++] =
            (struct pollfd){.fd = site->client_udp, .events = POLLIN};
    }
    for (uint32_t i = 0; i < ENDPOINTS_MAX; i++) {
        struct endpoint *endpoint = &site->endpoints[i];

        if (endpoint->running) {
            owners[count] = endpoint;
            polled[count++] =
                (struct pollfd){.fd = endpoint->udp, .events = POLLIN};
            owners[count] = endpoint;
            polled[count++] =
                (struct pollfd){.fd = endpoint->tcp, .events = POLLIN};
        }
    }
    if (poll(polled, count, wait_ms) <= 0) {
        return;
    }
    for (nfds_t i = 0; i < count; i++) {
        if (!(polled[i].revents & POLLIN)) {
            continue;
        }
        if (owners[i] != NULL && polled[i].fd == owners[i]->tcp) {
            handle_check(owners[i]);
        }
        else {
            read_packets(site, polled[i].fd, owners[i]);
        }
    }
}

void
pump(struct site *site, uint32_t duration_ms)
{
    uint64_t end_ms = now_ms() + duration_ms;

    do {
        poll_once(site, 2);
        for (uint32_t i = 0; i < ENDPOINTS_MAX; i++) {
            if (site->endpoints[i].running) {
                endpoint_timers(site, &site->endpoints[i]);
            }
        }
        for (uint32_t i = 0; i < site->flow_count; i++) {
            client_timers(site, &site->flows[i]);
        }
    } while (now_ms() < end_ms);
}
