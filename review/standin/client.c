/// The client: flows with one request at a time, with the retransmissions of
/// the protocol page.

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <arpa/inet.h>

#include "packet.h"
#include "site.h"

enum {
    FIRST_PORT = 40000,
    OPENING_MS = 1400,
    DEADLINE_MS = 3000,
    RETRANSMIT_MS = 200,
    RETRANSMIT_MAX_MS = 1600,
};

static const uint64_t OPENING_COPIES_MS[] = {0, 200, 600};

static int client_fd = -1;
static uint16_t next_port = FIRST_PORT;
static unsigned next_request = 1;

/// Packets for the client come to its address, at the port of datagram_addr.
static void
open_socket(void)
{
    struct sockaddr_in address = site_address(2, 1, DATAGRAM_PORT);

    if (client_fd >= 0) {
        return;
    }
    client_fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (bind(client_fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        site_fail("the client's address is in use");
    }
}

static void
send_packet(const struct flow *flow, uint32_t seq, uint32_t ack, uint8_t flags,
            const char *data)
{
    struct sockaddr_in from = site_address(2, 1, 0);
    struct sockaddr_in to = site_address(3, 1, 0);
    struct sockaddr_in entry = site_address(0, flow->entry, DATAGRAM_PORT);
    uint8_t bytes[PACKET_BYTES];
    struct packet packet = {.src = ntohl(from.sin_addr.s_addr),
                            .dst = ntohl(to.sin_addr.s_addr),
                            .sport = flow->client_port,
                            .dport = flow->route_port,
                            .seq = seq,
                            .ack = ack,
                            .flags = flags,
                            .data_bytes =
                                data != NULL ? (uint16_t)strlen(data) : 0,
                            .data = (const uint8_t *)data};

    sendto(client_fd, bytes, (size_t)packet_write(&packet, bytes), 0,
           (struct sockaddr *)&entry, sizeof(entry));
}

/// Waits for a packet of the flow. Returns 1 and the packet, 2 for a reset of
/// the system, 3 for one of the endpoint, and 0 when the time is up.
static int
receive(const struct flow *flow, uint64_t until_ms,
        uint8_t bytes[PACKET_BYTES + 1], struct packet *packet)
{
    while (now_ms() < until_ms) {
        struct pollfd polled = {.fd = client_fd, .events = POLLIN};
        ssize_t length;

        poll(&polled, 1, (int)(until_ms - now_ms()));
        length = recv(client_fd, bytes, PACKET_BYTES + 1, MSG_DONTWAIT);
        if (length <= 0 || !packet_read(bytes, (int)length, packet) ||
            packet->dport != flow->client_port) {
            continue;
        }
        if (packet_is_system_reset(bytes, (int)length)) {
            return 2;
        }
        if (!packet_is_genuine(bytes, (int)length)) {
            site_record("client: MIXED, a packet that its sender did not "
                        "write so");
            continue;
        }
        return packet->flags & FLAG_RST ? 3 : 1;
    }
    return 0;
}

static enum flow_result
result_of(int kind)
{
    static const enum flow_result RESULTS[] = {FLOW_SILENT, FLOW_ANSWERED,
                                               FLOW_RESET_BY_SYSTEM,
                                               FLOW_RESET_BY_ENDPOINT};

    return RESULTS[kind];
}

const char *
flow_result_name(enum flow_result result)
{
    static const char *const NAMES[] = {"answered", "reset by the system",
                                        "reset by the endpoint", "no answer"};

    return NAMES[result];
}

enum flow_result
flow_request(struct flow *flow)
{
    uint8_t bytes[PACKET_BYTES + 1];
    char text[PATH_BYTES];
    struct packet packet;
    unsigned request = next_request++;
    uint64_t since_ms = now_ms();
    uint64_t interval_ms = RETRANSMIT_MS;
    const char *stamp;
    int kind = 0;

    snprintf(text, sizeof(text),
             "POST /orders HTTP/1.1\r\nX-Savoryledge-Request-Id: r%u\r\n"
             "Content-Length: 5\r\n\r\norder",
             request);
    while (kind == 0 && now_ms() - since_ms < DEADLINE_MS) {
        send_packet(flow, flow->seq, flow->ack, FLAG_ACK, text);
        do {
            kind = receive(flow, now_ms() + interval_ms, bytes, &packet);
        } while (kind == 1 &&
                 (packet.data_bytes == 0 || packet.seq != flow->ack));
        interval_ms = interval_ms * 2 < RETRANSMIT_MAX_MS ? interval_ms * 2
                                                          : RETRANSMIT_MAX_MS;
    }
    if (kind == 1) {
        bytes[HEAD_BYTES + packet.data_bytes] = '\0';
        stamp = strstr((const char *)packet.data, "Server-Stamp: ");
        flow->endpoint = stamp != NULL ? (int)strtol(stamp + 14, NULL, 10) : 0;
        flow->seq += (uint32_t)strlen(text);
        flow->ack += packet.data_bytes;
        send_packet(flow, flow->seq, flow->ack, FLAG_ACK, NULL);
    }
    site_record("client: request r%u on flow %u to port %u by entry %d -> %s"
                " (endpoint on %d)",
                request, flow->client_port, flow->route_port, flow->entry,
                flow_result_name(result_of(kind)), flow->endpoint);
    return result_of(kind);
}

enum flow_result
flow_open(struct flow *flow, uint16_t route_port, int entry)
{
    uint8_t bytes[PACKET_BYTES + 1];
    struct packet packet;
    uint64_t since_ms;
    uint32_t first = (uint32_t)rand();
    int kind = 0;

    open_socket();
    *flow = (struct flow){
        .client_port = next_port++, .route_port = route_port, .entry = entry};
    since_ms = now_ms();
    for (uint32_t copy = 0; kind == 0 && copy < 3; copy++) {
        uint64_t next_ms = copy < 2 ? OPENING_COPIES_MS[copy + 1] : OPENING_MS;

        send_packet(flow, first, copy, FLAG_SYN, NULL);
        kind = receive(flow, since_ms + next_ms, bytes, &packet);
    }
    if (kind != 1) {
        site_record("client: flow %u to port %u by entry %d does not open: %s",
                    flow->client_port, route_port, entry,
                    flow_result_name(result_of(kind)));
        return result_of(kind);
    }
    flow->seq = first + 1;
    flow->ack = packet.seq + 1;
    send_packet(flow, flow->seq, flow->ack, FLAG_ACK, NULL);
    return flow_request(flow);
}

void
flow_burst(uint16_t route_port, int count, int per_s)
{
    uint64_t since_ms = now_ms();
    uint8_t bytes[PACKET_BYTES + 1];
    static const char TEXT[] = "GET /q HTTP/1.1\r\n"
                               "X-Savoryledge-Request-Id: b\r\n\r\n";
    int sent = 0;

    open_socket();
    while (sent < count) {
        struct pollfd polled = {.fd = client_fd, .events = POLLIN};
        struct packet packet;
        ssize_t length;

        while (sent < count && now_ms() >= since_ms + (uint64_t)sent * 1000 /
                                                          (uint64_t)per_s) {
            struct flow flow = {.client_port = next_port,
                                .route_port = route_port,
                                .entry = 4 + next_port % 2};

            next_port++;

            send_packet(&flow, flow.client_port, 0, FLAG_SYN, NULL);
            sent++;
        }
        poll(&polled, 1, 1);
        while ((length = recv(client_fd, bytes, PACKET_BYTES, MSG_DONTWAIT)) >
               0) {
            struct flow flow;

            if (!packet_read(bytes, (int)length, &packet)) {
                continue;
            }
            flow = (struct flow){.client_port = packet.dport,
                                 .route_port = packet.sport,
                                 .entry = 4 + packet.dport % 2};
            if (packet.flags == (FLAG_SYN | FLAG_ACK)) {
                send_packet(&flow, packet.ack, packet.seq + 1, FLAG_ACK, TEXT);
            }
            else if (packet.data_bytes > 0) {
                send_packet(&flow, packet.ack, packet.seq + packet.data_bytes,
                            FLAG_ACK | FLAG_RST, NULL);
            }
        }
    }
}
