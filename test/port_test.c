#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "savoryledge/transport/port.h"
#include "test.h"

/// Tests the encap and UDP ports over loopback addresses, and the TUN port
/// over a socket pair in place of a device.

enum {
    /// Max number of attempts to receive a packet, with RETRY_DELAY_US between
    /// two attempts.
    MAX_ATTEMPTS = 2000,
    RETRY_DELAY_US = 500,
    PAYLOAD_BYTES = 9,
};

static const uint8_t *const PAYLOAD = (const uint8_t *)"an order!";

static struct SlAddress
parse_address(const char *text)
{
    struct SlAddress address;

    CU_ASSERT_EQUAL_FATAL(SlAddress_Parse(text, &address), SL_OK);
    return address;
}

/// Opens a UDP socket and returns its descriptor. address: receives the
/// address with the port in use.
static int
open_udp_socket(const char *text, struct SlAddress *address)
{
    int descriptor;

    *address = parse_address(text);
    CU_ASSERT_EQUAL_FATAL(SlUdpSocket_Open(address, false, &descriptor, NULL),
                          SL_OK);
    SlUdpSocket_BoundAddress(descriptor, address);
    return descriptor;
}

/// Returns an address with a port number that no socket uses at present.
static struct SlAddress
find_free_address(const char *text)
{
    struct SlAddress address;

    close(open_udp_socket(text, &address));
    return address;
}

static void
send_to(int descriptor, const struct SlAddress *to, const void *bytes,
        size_t length_bytes)
{
    struct sockaddr_storage endpoint;
    socklen_t length = SlAddress_ToSockaddr(to, &endpoint);

    CU_ASSERT_EQUAL(sendto(descriptor, bytes, length_bytes, 0,
                           (struct sockaddr *)&endpoint, length),
                    (ssize_t)length_bytes);
}

/// Receives from a port until a packet arrives. Returns the number of packets,
/// or 0 when no packet arrived in time.
static uint32_t
receive_packets(struct SlPort *port, struct SlBatch *batch)
{
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
        port->type->receive(port, 1, batch);
        if (batch->count > 0) {
            return batch->count;
        }
        usleep(RETRY_DELAY_US);
    }
    return 0;
}

/// Receives a datagram from an ordinary socket. Returns the length of the
/// datagram, or -1 when no datagram arrived in time.
static ssize_t
receive_datagram(int descriptor, struct SlAddress *from, uint8_t *bytes,
                 size_t capacity_bytes)
{
    struct sockaddr_storage endpoint;

    for (int i = 0; i < MAX_ATTEMPTS; i++) {
        socklen_t length = sizeof(endpoint);
        ssize_t received_bytes =
            recvfrom(descriptor, bytes, capacity_bytes, MSG_DONTWAIT,
                     (struct sockaddr *)&endpoint, &length);

        if (received_bytes >= 0) {
            SlAddress_FromSockaddr((struct sockaddr *)&endpoint, from);
            return received_bytes;
        }
        usleep(RETRY_DELAY_US);
    }
    return -1;
}

static struct SlPort *
open_port(const struct SlPortOptions *options)
{
    struct SlPort *port = NULL;
    struct SlError error;

    CU_ASSERT_EQUAL_FATAL(SlPort_Open(options, &port, &error), SL_OK);
    return port;
}

static void
append_udp_packet(struct SlBatch *batch, const struct SlAddress *source,
                  const struct SlAddress *destination)
{
    struct SlBatchItem *item = &batch->items[batch->count++];

    item->length_bytes =
        SlPacket_BuildUdp(source, destination, PAYLOAD, PAYLOAD_BYTES,
                          item->bytes, SL_BATCH_ITEM_BYTES);
    CU_ASSERT_NOT_EQUAL_FATAL(item->length_bytes, 0);
}

static void
test_encap_carries_packets_from_its_peer_only(void)
{
    struct SlBatch *batch = SlBatch_Create();
    struct SlPortOptions options = {.kind = SL_PORT_ENCAP};
    struct SlPortCounters counters;
    struct SlAddress other_address;
    struct SlAddress from;
    uint8_t bytes[64];
    struct SlPort *second;
    struct SlPort *port;
    int peer = open_udp_socket("127.0.0.1:0", &options.peer);
    int other_sender = open_udp_socket("127.0.0.9:0", &other_address);

    options.listen = find_free_address("127.0.0.1:0");
    port = open_port(&options);
    CU_ASSERT_EQUAL(SlPort_Open(&options, &second, NULL), SL_IO);
    send_to(other_sender, &options.listen, "forged", 6);
    send_to(peer, &options.listen, "a packet", 8);
    CU_ASSERT_EQUAL(receive_packets(port, batch), 1);
    CU_ASSERT_EQUAL(batch->items[0].length_bytes, 8);
    CU_ASSERT_EQUAL(memcmp(batch->items[0].bytes, "a packet", 8), 0);
    port->type->send(port, 1, batch);
    CU_ASSERT_EQUAL(receive_datagram(peer, &from, bytes, sizeof(bytes)), 8);
    CU_ASSERT_TRUE(SlAddress_Equal(&from, &options.listen));
    port->type->read_counters(port, &counters);
    CU_ASSERT_EQUAL(counters.refused, 1);
    SlPort_Close(port);
    SlBatch_Destroy(batch);
    close(peer);
    close(other_sender);
}

/// Checks that a datagram to the service arrives as a packet from the caller,
/// and that the caller receives the reply from the address of the service.
static void
check_reply_source(const char *service_text, const char *caller_text)
{
    struct SlBatch *batch = SlBatch_Create();
    struct SlPortOptions options = {.kind = SL_PORT_UDP};
    struct SlPortAddress service = {.protocol = IPPROTO_UDP};
    struct SlPort *port = open_port(&options);
    struct SlAddress caller_address;
    struct SlPacket packet;
    struct SlAddress from;
    uint8_t bytes[64];
    int caller = open_udp_socket(caller_text, &caller_address);

    service.address = find_free_address(service_text);
    port->type->set_addresses(port, &service, 1);
    send_to(caller, &service.address, PAYLOAD, PAYLOAD_BYTES);
    CU_ASSERT_EQUAL_FATAL(receive_packets(port, batch), 1);
    CU_ASSERT_EQUAL_FATAL(SlPacket_Parse(batch->items[0].bytes,
                                         batch->items[0].length_bytes,
                                         &packet),
                          SL_OK);
    CU_ASSERT_TRUE(SlPacket_ChecksumOk(&packet));
    CU_ASSERT_TRUE(SlAddress_Equal(&packet.source, &caller_address));
    CU_ASSERT_TRUE(SlAddress_Equal(&packet.destination, &service.address));
    batch->count = 0;
    append_udp_packet(batch, &service.address, &caller_address);
    port->type->send(port, 1, batch);
    CU_ASSERT_EQUAL(receive_datagram(caller, &from, bytes, sizeof(bytes)),
                    PAYLOAD_BYTES);
    CU_ASSERT_TRUE(SlAddress_Equal(&from, &service.address));
    SlPort_Close(port);
    SlBatch_Destroy(batch);
    close(caller);
}

static void
test_replies_leave_from_the_services_address(void)
{
    check_reply_source("127.0.0.3:0", "127.0.0.1:0");
    check_reply_source("[::1]:0", "[::1]:0");
}

/// Sends an ICMP error for a datagram of the caller. The caller's socket must
/// report it as an error. Where the process may not open raw sockets, the port
/// must count it as refused instead.
static void
check_refusal_reaches_caller(const char *service_text, const char *caller_text)
{
    struct SlBatch *batch = SlBatch_Create();
    struct SlPortOptions options = {.kind = SL_PORT_UDP};
    struct SlPort *port = open_port(&options);
    struct SlAddress service = find_free_address(service_text);
    struct SlPortCounters counters;
    struct sockaddr_storage endpoint;
    struct SlAddress caller_address;
    struct SlPacket packet;
    uint8_t quoted[SL_PACKET_ANSWER_BYTES];
    uint8_t bytes[64];
    int error = 0;
    int caller = open_udp_socket(caller_text, &caller_address);
    socklen_t length = SlAddress_ToSockaddr(&service, &endpoint);

    CU_ASSERT_EQUAL(connect(caller, (struct sockaddr *)&endpoint, length), 0);
    length = SlPacket_BuildUdp(&caller_address, &service, PAYLOAD,
                               PAYLOAD_BYTES, quoted, sizeof(quoted));
    CU_ASSERT_EQUAL(SlPacket_Parse(quoted, length, &packet), SL_OK);
    batch->items[0].length_bytes =
        SlPacket_BuildIcmp(&packet, SL_ICMP_PROHIBITED, 0,
                           batch->items[0].bytes, SL_BATCH_ITEM_BYTES);
    batch->count = 1;
    port->type->send(port, 1, batch);
    port->type->read_counters(port, &counters);
    CU_ASSERT_EQUAL(counters.sent + counters.refused, 1);
    for (int i = 0; i < MAX_ATTEMPTS && counters.sent == 1 && error == 0;
         i++) {
        if (recv(caller, bytes, sizeof(bytes), MSG_DONTWAIT) < 0 &&
            errno != EAGAIN) {
            error = errno;
        }
        usleep(RETRY_DELAY_US);
    }
    CU_ASSERT_TRUE(counters.refused == 1 || error == EHOSTUNREACH ||
                   error == EACCES);
    SlPort_Close(port);
    SlBatch_Destroy(batch);
    close(caller);
}

static void
test_icmp_errors_reach_ordinary_sockets(void)
{
    check_refusal_reaches_caller("127.0.0.3:0", "127.0.0.1:0");
    check_refusal_reaches_caller("[::1]:0", "[::1]:0");
}

static void
test_sockets_of_deleted_services_are_closed(void)
{
    struct SlBatch *batch = SlBatch_Create();
    struct SlPortOptions options = {.kind = SL_PORT_UDP};
    struct SlPort *port = open_port(&options);
    struct SlPortAddress services[3] = {{.protocol = IPPROTO_UDP},
                                        {.protocol = IPPROTO_UDP},
                                        {.protocol = IPPROTO_TCP}};
    struct SlPortCounters counters;

    services[0].address = find_free_address("127.0.0.3:0");
    services[1].address = find_free_address("127.0.0.4:0");
    services[2].address = find_free_address("127.0.0.5:0");
    port->type->set_addresses(port, services, 3);
    port->type->read_counters(port, &counters);
    CU_ASSERT_EQUAL(counters.flows, 2);
    port->type->set_addresses(port, services + 1, 2);
    port->type->read_counters(port, &counters);
    CU_ASSERT_EQUAL(counters.flows, 1);
    append_udp_packet(batch, &services[0].address, &services[1].address);
    port->type->send(port, 1, batch);
    port->type->read_counters(port, &counters);
    CU_ASSERT_EQUAL(counters.refused, 1);
    SlPort_Close(port);
    SlBatch_Destroy(batch);
}

/// A UDP port towards an upstream; the upstream is an ordinary socket.
struct upstream_fixture {
    struct SlBatch *batch;
    struct SlPort *port;
    struct SlAddress address;
    int upstream;
    struct SlAddress service;
};

static void
open_upstream_fixture(struct upstream_fixture *fixture, uint32_t max_flows)
{
    struct SlPortOptions options = {.kind = SL_PORT_UDP,
                                    .side = SL_PORT_UPSTREAM,
                                    .max_flows = max_flows,
                                    .idle_timeout_us = 1000};

    fixture->batch = SlBatch_Create();
    fixture->upstream = open_udp_socket("127.0.0.1:0", &fixture->address);
    fixture->service = parse_address("192.0.2.1:80");
    options.upstream = fixture->address;
    fixture->port = open_port(&options);
}

static void
close_upstream_fixture(struct upstream_fixture *fixture)
{
    SlPort_Close(fixture->port);
    SlBatch_Destroy(fixture->batch);
    if (fixture->upstream >= 0) {
        close(fixture->upstream);
    }
}

static void
test_each_flow_has_its_own_socket(void)
{
    struct SlAddress callers[2] = {parse_address("198.51.100.1:1000"),
                                   parse_address("198.51.100.1:1001")};
    struct upstream_fixture fixture;
    struct SlAddress from[3];
    struct SlPacket packet;
    uint8_t bytes[64];

    open_upstream_fixture(&fixture, 8);
    for (int i = 0; i < 3; i++) {
        append_udp_packet(fixture.batch, &callers[i % 2], &fixture.service);
        fixture.port->type->send(fixture.port, 1, fixture.batch);
        CU_ASSERT_EQUAL(
            receive_datagram(fixture.upstream, &from[i], bytes, sizeof(bytes)),
            PAYLOAD_BYTES);
    }
    CU_ASSERT_FALSE(SlAddress_Equal(&from[0], &from[1]));
    CU_ASSERT_TRUE(SlAddress_Equal(&from[0], &from[2]));
    send_to(fixture.upstream, &from[1], PAYLOAD, PAYLOAD_BYTES);
    CU_ASSERT_EQUAL_FATAL(receive_packets(fixture.port, fixture.batch), 1);
    CU_ASSERT_EQUAL(SlPacket_Parse(fixture.batch->items[0].bytes,
                                   fixture.batch->items[0].length_bytes,
                                   &packet),
                    SL_OK);
    CU_ASSERT_TRUE(SlAddress_Equal(&packet.source, &fixture.service));
    CU_ASSERT_TRUE(SlAddress_Equal(&packet.destination, &callers[1]));
    close_upstream_fixture(&fixture);
}

static void
test_flows_beyond_the_limit_are_refused_until_idle_ones_close(void)
{
    struct SlPortCounters counters;
    struct upstream_fixture fixture;
    struct SlAddress caller = parse_address("198.51.100.1:1000");

    open_upstream_fixture(&fixture, 4);
    for (uint16_t i = 0; i < 6; i++) {
        caller.port = (uint16_t)(1000 + i);
        append_udp_packet(fixture.batch, &caller, &fixture.service);
    }
    fixture.port->type->send(fixture.port, 1, fixture.batch);
    fixture.port->type->read_counters(fixture.port, &counters);
    CU_ASSERT_EQUAL(counters.flows, 4);
    CU_ASSERT_EQUAL(counters.flows_refused, 2);
    fixture.port->type->send(fixture.port, 5000, fixture.batch);
    append_udp_packet(fixture.batch, &caller, &fixture.service);
    fixture.port->type->send(fixture.port, 5000, fixture.batch);
    fixture.port->type->read_counters(fixture.port, &counters);
    CU_ASSERT_EQUAL(counters.flows, 1);
    CU_ASSERT_EQUAL(counters.flows_refused, 2);
    close_upstream_fixture(&fixture);
}

static void
test_closed_upstream_is_reported_as_unreachable(void)
{
    struct SlAddress caller = parse_address("198.51.100.1:1000");
    struct upstream_fixture fixture;
    struct SlPacket packet;
    struct SlFlowKey key;

    open_upstream_fixture(&fixture, 4);
    close(fixture.upstream);
    fixture.upstream = -1;
    append_udp_packet(fixture.batch, &caller, &fixture.service);
    fixture.port->type->send(fixture.port, 1, fixture.batch);
    CU_ASSERT_EQUAL_FATAL(receive_packets(fixture.port, fixture.batch), 1);
    CU_ASSERT_EQUAL(SlPacket_Parse(fixture.batch->items[0].bytes,
                                   fixture.batch->items[0].length_bytes,
                                   &packet),
                    SL_OK);
    CU_ASSERT_EQUAL(packet.kind, SL_PACKET_ICMP_ERROR);
    SlPacket_FlowKeyFromUpstream(&packet, &key);
    CU_ASSERT_TRUE(SlAddress_Equal(&key.caller, &caller));
    CU_ASSERT_TRUE(SlAddress_Equal(&key.service, &fixture.service));
    close_upstream_fixture(&fixture);
}

static void
test_tun_transfers_one_packet_per_call(void)
{
    struct SlBatch *batch = SlBatch_Create();
    struct SlPortOptions options = {.kind = SL_PORT_TUN,
                                    .has_descriptor = true};
    uint8_t bytes[64];
    struct SlPort *port;
    int socket_pair[2];

    CU_ASSERT_EQUAL_FATAL(
        socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK, 0, socket_pair),
        0);
    options.descriptor = socket_pair[0];
    port = open_port(&options);
    CU_ASSERT_EQUAL(write(socket_pair[1], "one", 3), 3);
    CU_ASSERT_EQUAL(write(socket_pair[1], "three", 5), 5);
    CU_ASSERT_EQUAL_FATAL(receive_packets(port, batch), 2);
    CU_ASSERT_EQUAL(batch->items[0].length_bytes, 3);
    CU_ASSERT_EQUAL(memcmp(batch->items[1].bytes, "three", 5), 0);
    port->type->send(port, 1, batch);
    CU_ASSERT_EQUAL(read(socket_pair[1], bytes, sizeof(bytes)), 3);
    CU_ASSERT_EQUAL(read(socket_pair[1], bytes, sizeof(bytes)), 5);
    SlPort_Close(port);
    SlBatch_Destroy(batch);
    close(socket_pair[1]);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"encap carries whole packets, from its peer only",
         test_encap_carries_packets_from_its_peer_only},
        {"replies leave from the service's address",
         test_replies_leave_from_the_services_address},
        {"ICMP errors reach ordinary sockets of callers",
         test_icmp_errors_reach_ordinary_sockets},
        {"sockets of deleted services are closed",
         test_sockets_of_deleted_services_are_closed},
        {"each flow has its own socket", test_each_flow_has_its_own_socket},
        {"flows beyond the limit are refused until idle ones are closed",
         test_flows_beyond_the_limit_are_refused_until_idle_ones_close},
        {"a closed upstream is reported as port unreachable",
         test_closed_upstream_is_reported_as_unreachable},
        {"TUN transfers one packet per read and write",
         test_tun_transfers_one_packet_per_call},
    };

    return RUN_SUITE("port", CASES);
}
