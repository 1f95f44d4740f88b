/// Endpoints: each holds flows behind its agent, answers requests at once,
/// returns packets of flows that it does not hold, answers health checks and
/// sends heartbeats.

#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>

#include "packet.h"
#include "site.h"

enum {
    FLOWS_MAX = 4096,
    OPENINGS_MAX = 8192,
    POLL_MS = 5,
    DRAIN_MS = 3000,
    WINDOW_MS = 1000,
};

struct held_flow {
    uint32_t client;
    uint16_t client_port;
    uint16_t route_port;
    uint32_t client_next;
    uint32_t next;
    bool is_open;
    bool is_closed;
};

struct endpoint {
    struct endpoint_options options;
    pthread_mutex_t lock;
    pthread_t packets_thread;
    pthread_t beats_thread;
    bool ended;
    bool draining;
    uint64_t seq;
    uint64_t cold_until_ms;
    int udp_fd;
    int tcp_fd;
    struct sockaddr_in outbound;
    struct sockaddr_in control;
    int flow_count;
    struct held_flow flows[FLOWS_MAX];
    int opening_count;
    uint64_t openings_ms[OPENINGS_MAX];
};

static bool
has_ended(struct endpoint *endpoint)
{
    bool ended;

    pthread_mutex_lock(&endpoint->lock);
    ended = endpoint->ended;
    pthread_mutex_unlock(&endpoint->lock);
    return ended;
}

/// Sends one heartbeat. Returns the status of its response.
static int
send_heartbeat(struct endpoint *endpoint)
{
    const struct endpoint_options *options = &endpoint->options;
    uint64_t at_ms = now_ms();
    char path[PATH_BYTES];
    char body[2 * PATH_BYTES];
    bool draining;
    uint64_t seq;
    uint64_t cold_ms;
    int status;

    pthread_mutex_lock(&endpoint->lock);
    seq = ++endpoint->seq;
    draining = endpoint->draining;
    cold_ms =
        endpoint->cold_until_ms > at_ms ? endpoint->cold_until_ms - at_ms : 0;
    pthread_mutex_unlock(&endpoint->lock);
    snprintf(path, sizeof(path), "/api/instances/%s", options->id);
    snprintf(body, sizeof(body),
             "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-a\","
             "\"version\":\"v1\",\"concurrency\":%d,\"state\":\"%s\","
             "\"cold_left_ms\":%llu,\"seq\":%llu,\"born\":%llu}",
             options->service, site_ip(0, options->number), APP_PORT,
             options->concurrency, draining ? "draining" : "ready",
             (unsigned long long)cold_ms, (unsigned long long)seq,
             (unsigned long long)options->born_ms);
    status = http_call(&endpoint->control, "PUT", path, body, NULL, NULL);
    site_record("endpoint %s on %d: heartbeat %llu %s cold_left_ms %llu -> %d",
                options->id, options->number, (unsigned long long)seq,
                draining ? "draining" : "ready", (unsigned long long)cold_ms,
                status);
    return status;
}

static void *
run_beats(void *context)
{
    struct endpoint *endpoint = context;

    while (!has_ended(endpoint)) {
        uint64_t due_ms = now_ms() + HEARTBEAT_MS;

        send_heartbeat(endpoint);
        while (!has_ended(endpoint) && now_ms() < due_ms) {
            sleep_ms(POLL_MS);
        }
    }
    return NULL;
}

static struct held_flow *
find_flow(struct endpoint *endpoint, const struct packet *packet)
{
    for (int i = endpoint->flow_count - 1; i >= 0; i--) {
        struct held_flow *flow = &endpoint->flows[i];

        if (flow->client == packet->src &&
            flow->client_port == packet->sport &&
            flow->route_port == packet->dport) {
            return flow;
        }
    }
    return NULL;
}

static void
send_packet(struct endpoint *endpoint, const uint8_t *bytes, int length)
{
    sendto(endpoint->udp_fd, bytes, (size_t)length, 0,
           (struct sockaddr *)&endpoint->outbound, sizeof(endpoint->outbound));
}

static void
bounce(struct endpoint *endpoint, uint8_t *bytes, int length)
{
    bytes[28] |= FLAG_BOUNCED;
    memset(bytes + 29, 0, 5);
    send_packet(endpoint, bytes, length);
}

static void
reply(struct endpoint *endpoint, const struct packet *to,
      const struct held_flow *flow, uint32_t seq, uint8_t flags,
      const char *data)
{
    uint8_t bytes[PACKET_BYTES];
    struct packet packet = {.src = to->dst,
                            .dst = to->src,
                            .sport = to->dport,
                            .dport = to->sport,
                            .seq = seq,
                            .ack = flow->client_next,
                            .flags = flags,
                            .data_bytes =
                                data != NULL ? (uint16_t)strlen(data) : 0,
                            .data = (const uint8_t *)data};

    send_packet(endpoint, bytes, packet_write(&packet, bytes));
}

static void
handle_opening(struct endpoint *endpoint, const struct packet *packet,
               uint8_t *bytes, int length)
{
    struct held_flow *flow = find_flow(endpoint, packet);

    if (flow == NULL) {
        if (endpoint->flow_count == FLOWS_MAX ||
            endpoint->opening_count == OPENINGS_MAX) {
            bounce(endpoint, bytes, length);
            return;
        }
        flow = &endpoint->flows[endpoint->flow_count++];
        *flow = (struct held_flow){.client = packet->src,
                                   .client_port = packet->sport,
                                   .route_port = packet->dport,
                                   .client_next = packet->seq + 1,
                                   .next = (uint32_t)rand() | 1};
        pthread_mutex_lock(&endpoint->lock);
        endpoint->openings_ms[endpoint->opening_count++] = now_ms();
        pthread_mutex_unlock(&endpoint->lock);
    }
    if (!flow->is_open) {
        reply(endpoint, packet, flow, flow->next - 1, FLAG_SYN | FLAG_ACK,
              NULL);
    }
}

static void
answer_request(struct endpoint *endpoint, const struct packet *packet,
               struct held_flow *flow)
{
    char text[PATH_BYTES];
    uint32_t seq = flow->next;

    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nX-Savoryledge-Server-Stamp: %d\r\n"
             "Content-Length: 2\r\n\r\nok",
             endpoint->options.number);
    flow->client_next += packet->data_bytes;
    flow->next += (uint32_t)strlen(text);
    reply(endpoint, packet, flow, seq, FLAG_ACK, text);
}

static void
handle_packet(struct endpoint *endpoint, uint8_t *bytes, int length)
{
    struct packet packet;
    struct held_flow *flow;

    if (!packet_read(bytes, length, &packet)) {
        return;
    }
    if (!packet_is_genuine(bytes, length)) {
        site_record("endpoint on %d: UNASKED, a packet that its sender did "
                    "not write so",
                    endpoint->options.number);
        return;
    }
    if (packet.flags & FLAG_SYN) {
        handle_opening(endpoint, &packet, bytes, length);
        return;
    }
    flow = find_flow(endpoint, &packet);
    if (flow == NULL || (!flow->is_open && packet.ack != flow->next)) {
        bounce(endpoint, bytes, length);
        return;
    }
    flow->is_open = true;
    if (packet.flags & FLAG_RST) {
        flow->is_closed = true;
    }
    else if (packet.data_bytes > 0 && packet.seq == flow->client_next) {
        answer_request(endpoint, &packet, flow);
    }
    else if (packet.flags & FLAG_FIN) {
        reply(endpoint, &packet, flow, flow->next, FLAG_ACK, NULL);
        flow->is_closed = true;
    }
}

static void
answer_health_check(struct endpoint *endpoint)
{
    static const char OK[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                             "Connection: close\r\n\r\n";
    int fd = accept(endpoint->tcp_fd, NULL, NULL);

    if (fd >= 0) {
        (void)!write(fd, OK, sizeof(OK) - 1);
        close(fd);
    }
}

/// Closes the TCP port of an endpoint that does so when it drains.
static void
check_listener(struct endpoint *endpoint)
{
    bool draining;

    pthread_mutex_lock(&endpoint->lock);
    draining = endpoint->draining;
    pthread_mutex_unlock(&endpoint->lock);
    if (draining && endpoint->options.stops_listening &&
        endpoint->tcp_fd >= 0) {
        close(endpoint->tcp_fd);
        endpoint->tcp_fd = -1;
        site_record("endpoint %s on %d listens no more", endpoint->options.id,
                    endpoint->options.number);
    }
}

static void *
run_packets(void *context)
{
    struct endpoint *endpoint = context;
    uint8_t bytes[PACKET_BYTES + 1];

    while (!has_ended(endpoint)) {
        struct pollfd polled[] = {
            {.fd = endpoint->udp_fd, .events = POLLIN},
            {.fd = endpoint->tcp_fd, .events = POLLIN},
        };
        ssize_t length;

        check_listener(endpoint);
        polled[1].fd = endpoint->tcp_fd;
        poll(polled, 2, POLL_MS);
        if (polled[1].revents & POLLIN) {
            answer_health_check(endpoint);
        }
        while ((length = recv(endpoint->udp_fd, bytes, sizeof(bytes),
                              MSG_DONTWAIT)) > 0) {
            handle_packet(endpoint, bytes, (int)length);
        }
    }
    close(endpoint->udp_fd);
    if (endpoint->tcp_fd >= 0) {
        close(endpoint->tcp_fd);
    }
    return NULL;
}

struct endpoint *
endpoint_start(const struct endpoint_options *options)
{
    struct endpoint *endpoint = calloc(1, sizeof(*endpoint));
    struct sockaddr_in app = site_address(0, options->number, APP_PORT);
    int enabled = 1;

    if (endpoint == NULL) {
        site_fail("no memory");
        return NULL;
    }
    endpoint->options = *options;
    endpoint->outbound = site_address(0, options->number, OUTBOUND_PORT);
    endpoint->control = site_address(0, options->number, CONTROL_PORT);
    endpoint->cold_until_ms = now_ms() + options->cold_ms;
    pthread_mutex_init(&endpoint->lock, NULL);
    endpoint->udp_fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    endpoint->tcp_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(endpoint->tcp_fd, SOL_SOCKET, SO_REUSEADDR, &enabled,
               sizeof(enabled));
    if (bind(endpoint->udp_fd, (struct sockaddr *)&app, sizeof(app)) != 0 ||
        bind(endpoint->tcp_fd, (struct sockaddr *)&app, sizeof(app)) != 0 ||
        listen(endpoint->tcp_fd, 16) != 0) {
        site_fail("an endpoint's address is in use");
    }
    site_record("endpoint %s starts on %d for %s, born %llu", options->id,
                options->number, options->service,
                (unsigned long long)options->born_ms);
    pthread_create(&endpoint->packets_thread, NULL, run_packets, endpoint);
    pthread_create(&endpoint->beats_thread, NULL, run_beats, endpoint);
    return endpoint;
}

void
endpoint_crash(struct endpoint *endpoint)
{
    pthread_mutex_lock(&endpoint->lock);
    endpoint->ended = true;
    pthread_mutex_unlock(&endpoint->lock);
    pthread_join(endpoint->packets_thread, NULL);
    pthread_join(endpoint->beats_thread, NULL);
    site_record("endpoint %s on %d has crashed", endpoint->options.id,
                endpoint->options.number);
}

bool
endpoint_drain(struct endpoint *endpoint)
{
    uint64_t since_ms = now_ms();

    pthread_mutex_lock(&endpoint->lock);
    endpoint->draining = true;
    pthread_mutex_unlock(&endpoint->lock);
    while (now_ms() - since_ms < DRAIN_MS) {
        int status = send_heartbeat(endpoint);

        if (status >= 200 && status < 300) {
            return true;
        }
        sleep_ms(100);
    }
    return false;
}

void
endpoint_turn_cold(struct endpoint *endpoint, uint32_t cold_ms)
{
    pthread_mutex_lock(&endpoint->lock);
    endpoint->cold_until_ms = now_ms() + cold_ms;
    pthread_mutex_unlock(&endpoint->lock);
}

void
endpoint_wait_heartbeat(struct endpoint *endpoint)
{
    uint64_t seq = 0;
    uint64_t first = 0;

    while (seq == first) {
        sleep_ms(POLL_MS);
        pthread_mutex_lock(&endpoint->lock);
        seq = endpoint->seq;
        pthread_mutex_unlock(&endpoint->lock);
        first = first == 0 ? seq : first;
    }
    sleep_ms(POLL_MS);
}

int
endpoint_openings(struct endpoint *endpoint, uint64_t from_ms,
                  uint64_t until_ms)
{
    int count = 0;

    pthread_mutex_lock(&endpoint->lock);
    for (int i = 0; i < endpoint->opening_count; i++) {
        count += endpoint->openings_ms[i] >= from_ms &&
                 endpoint->openings_ms[i] < until_ms;
    }
    pthread_mutex_unlock(&endpoint->lock);
    return count;
}

int
endpoint_openings_per_s(struct endpoint *endpoint)
{
    int most = 0;

    for (int i = 0; i < endpoint->opening_count; i++) {
        uint64_t from_ms = endpoint->openings_ms[i];
        int count = endpoint_openings(endpoint, from_ms, from_ms + WINDOW_MS);

        most = count > most ? count : most;
    }
    return most;
}
