#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "savoryledge/transport/port.h"
#include "test.h"

/// The ports over 127.0.0.1, and the tun port over a descriptor that is
/// passed in.

enum {
    TRIES = 2000,
    PAUSE_US = 500,
    PAYLOAD_BYTES = 9,
};

static const uint8_t *const PAYLOAD = (const uint8_t *)"an order!";

static struct SlAddress
address_of(const char *text)
{
    struct SlAddress address;

    CU_ASSERT_EQUAL_FATAL(SlAddress_Parse(text, &address), SL_OK);
    return address;
}

/// An ordinary socket, with its address.
static int
open_socket(const char *text, struct SlAddress *address)
{
    int descriptor;

    *address = address_of(text);
    CU_ASSERT_EQUAL_FATAL(SlUdpSocket_Open(address, false, &descriptor, NULL),
                          SL_OK);
    SlUdpSocket_BoundAddress(descriptor, address);
    return descriptor;
}

/// An address that is free now.
static struct SlAddress
free_address(const char *text)
{
    struct SlAddress address;

    close(open_socket(text, &address));
    return address;
}

static void
send_to(int descriptor, const struct SlAddress *to, const void *bytes,
        size_t length_bytes)
{
    struct sockaddr_storage name;
    socklen_t length = SlAddress_ToSockaddr(to, &name);

    CU_ASSERT_EQUAL(sendto(descriptor, bytes, length_bytes, 0,
                           (struct sockaddr *)&name, length),
                    (ssize_t)length_bytes);
}

/// Receives until something comes.
static uint32_t
receive(struct SlPort *port, struct SlBatch *batch)
{
    for (int i = 0; i < TRIES; i++) {
        port->type->receive(port, 1, batch);
        if (batch->count > 0) {
            return batch->count;
        }
        usleep(PAUSE_US);
    }
    return 0;
}

static ssize_t
receive_plain(int descriptor, struct SlAddress *from, uint8_t *bytes,
              size_t room_bytes)
{
    struct sockaddr_storage name;

    for (int i = 0; i < TRIES; i++) {
        socklen_t length = sizeof(name);
        ssize_t got = recvfrom(descriptor, bytes, room_bytes, MSG_DONTWAIT,
                               (struct sockaddr *)&name, &length);

        if (got >= 0) {
            SlAddress_FromSockaddr((struct sockaddr *)&name, from);
            return got;
        }
        usleep(PAUSE_US);
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
put_udp(struct SlBatch *batch, const struct SlAddress *source,
        const struct SlAddress *destination)
{
    struct SlBatchItem *item = &batch->items[batch->count++];

    item->length_bytes =
        SlPacket_BuildUdp(source, destination, PAYLOAD, PAYLOAD_BYTES,
                          item->bytes, SL_BATCH_ITEM_BYTES);
    CU_ASSERT_NOT_EQUAL_FATAL(item->length_bytes, 0);
}

static void
test_encap_carries_whole_packets_of_its_peer_alone(void)
{
    struct SlBatch *batch = SlBatch_Create();
    struct SlPortOptions options = {.kind = SL_PORT_ENCAP};
    struct SlPortCounters counters;
    struct SlAddress stranger_address;
    struct SlAddress from;
    uint8_t bytes[64];
    struct SlPort *second;
    struct SlPort *port;
    int peer = open_socket("127.0.0.1:0", &options.peer);
    int stranger = open_socket("127.0.0.9:0", &stranger_address);

    options.listen = free_address("127.0.0.1:0");
    port = open_port(&options);
    CU_ASSERT_EQUAL(SlPort_Open(&options, &second, NULL), SL_IO);
    send_to(stranger, &options.listen, "forged", 6);
    send_to(peer, &options.listen, "a packet", 8);
    CU_ASSERT_EQUAL(receive(port, batch), 1);
    CU_ASSERT_EQUAL(batch->items[0].length_bytes, 8);
    CU_ASSERT_EQUAL(memcmp(batch->items[0].bytes, "a packet", 8), 0);
    port->type->send(port, 1, batch);
    CU_ASSERT_EQUAL(receive_plain(peer, &from, bytes, sizeof(bytes)), 8);
    CU_ASSERT_TRUE(SlAddress_Equal(&from, &options.listen));
    port->type->read_counters(port, &counters);
    CU_ASSERT_EQUAL(counters.refused, 1);
    SlPort_Close(port);
    SlBatch_Destroy(batch);
    close(peer);
    close(stranger);
}

static void
test_caller_gets_the_reply_from_the_services_address(const char *service_text,
                                                     const char *caller_text)
{
    struct SlBatch *batch = SlBatch_Create();
    struct SlPortOptions options = {.kind = SL_PORT_UDP};
    struct SlPortAddress service = {.protocol = IPPROTO_UDP};
    struct SlPort *port = open_port(&options);
    struct SlAddress caller_address;
    struct SlPacket packet;
    struct SlAddress from;
    uint8_t bytes[64];
    int caller = open_socket(caller_text, &caller_address);

    service.address = free_address(service_text);
    port->type->set_addresses(port, &service, 1);
    send_to(caller, &service.address, PAYLOAD, PAYLOAD_BYTES);
    CU_ASSERT_EQUAL_FATAL(receive(port, batch), 1);
    CU_ASSERT_EQUAL_FATAL(SlPacket_Parse(batch->items[0].bytes,
                                         batch->items[0].length_bytes,
                                         &packet),
                          SL_OK);
    CU_ASSERT_TRUE(SlPacket_ChecksumOk(&packet));
    CU_ASSERT_TRUE(SlAddress_Equal(&packet.source, &caller_address));
    CU_ASSERT_TRUE(SlAddress_Equal(&packet.destination, &service.address));
    batch->count = 0;
    put_udp(batch, &service.address, &caller_address);
    port->type->send(port, 1, batch);
    CU_ASSERT_EQUAL(receive_plain(caller, &from, bytes, sizeof(bytes)),
                    PAYLOAD_BYTES);
    CU_ASSERT_TRUE(SlAddress_Equal(&from, &service.address));
    SlPort_Close(port);
    SlBatch_Destroy(batch);
    close(caller);
}

static void
test_replies_leave_from_the_services_address(void)
{
    test_caller_gets_the_reply_from_the_services_address("127.0.0.3:0",
                                                         "127.0.0.1:0");
    test_caller_gets_the_reply_from_the_services_address("[::1]:0", "[::1]:0");
}

/// Where the process may not open raw sockets, the refusal is counted.
static void
test_caller_learns_of_a_refusal(const char *service_text,
                                const char *caller_text)
{
    struct SlBatch *batch = SlBatch_Create();
    struct SlPortOptions options = {.kind = SL_PORT_UDP};
    struct SlPort *port = open_port(&options);
    struct SlAddress service = free_address(service_text);
    struct SlPortCounters counters;
    struct sockaddr_storage name;
    struct SlAddress caller_address;
    struct SlPacket packet;
    uint8_t quoted[SL_PACKET_ANSWER_BYTES];
    uint8_t bytes[64];
    int error = 0;
    int caller = open_socket(caller_text, &caller_address);
    socklen_t length = SlAddress_ToSockaddr(&service, &name);

    CU_ASSERT_EQUAL(connect(caller, (struct sockaddr *)&name, length), 0);
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
    for (int i = 0; i < TRIES && counters.sent == 1 && error == 0; i++) {
        if (recv(caller, bytes, sizeof(bytes), MSG_DONTWAIT) < 0 &&
            errno != EAGAIN) {
            error = errno;
        }
        usleep(PAUSE_US);
    }
    CU_ASSERT_TRUE(counters.refused == 1 || error == EHOSTUNREACH ||
                   error == EACCES);
    SlPort_Close(port);
    SlBatch_Destroy(batch);
    close(caller);
}

static void
test_refusals_reach_ordinary_sockets(void)
{
    test_caller_learns_of_a_refusal("127.0.0.3:0", "127.0.0.1:0");
    test_caller_learns_of_a_refusal("[::1]:0", "[::1]:0");
}

static void
test_addresses_of_deleted_services_are_let_go(void)
{
    struct SlBatch *batch = SlBatch_Create();
    struct SlPortOptions options = {.kind = SL_PORT_UDP};
    struct SlPort *port = open_port(&options);
    struct SlPortAddress services[3] = {{.protocol = IPPROTO_UDP},
                                        {.protocol = IPPROTO_UDP},
                                        {.protocol = IPPROTO_TCP}};
    struct SlPortCounters counters;

    services[0].address = free_address("127.0.0.3:0");
    services[1].address = free_address("127.0.0.4:0");
    services[2].address = free_address("127.0.0.5:0");
    port->type->set_addresses(port, services, 3);
    port->type->read_counters(port, &counters);
    CU_ASSERT_EQUAL(counters.flows, 2);
    port->type->set_addresses(port, services + 1, 2);
    port->type->read_counters(port, &counters);
    CU_ASSERT_EQUAL(counters.flows, 1);
    put_udp(batch, &services[0].address, &services[1].address);
    port->type->send(port, 1, batch);
    port->type->read_counters(port, &counters);
    CU_ASSERT_EQUAL(counters.refused, 1);
    SlPort_Close(port);
    SlBatch_Destroy(batch);
}

struct upstream_case {
    struct SlBatch *batch;
    struct SlPort *port;
    struct SlAddress address;
    int upstream;
    struct SlAddress service;
};

static void
open_upstream_case(struct upstream_case *made, uint32_t max_flows)
{
    struct SlPortOptions options = {.kind = SL_PORT_UDP,
                                    .side = SL_PORT_UPSTREAM,
                                    .max_flows = max_flows,
                                    .idle_us = 1000};

    made->batch = SlBatch_Create();
    made->upstream = open_socket("127.0.0.1:0", &made->address);
    made->service = address_of("192.0.2.1:80");
    options.upstream = made->address;
    made->port = open_port(&options);
}

static void
close_upstream_case(struct upstream_case *made)
{
    SlPort_Close(made->port);
    SlBatch_Destroy(made->batch);
    if (made->upstream >= 0) {
        close(made->upstream);
    }
}

static void
test_each_flow_has_a_socket_of_its_own(void)
{
    struct SlAddress callers[2] = {address_of("198.51.100.1:1000"),
                                   address_of("198.51.100.1:1001")};
    struct upstream_case made;
    struct SlAddress from[3];
    struct SlPacket packet;
    uint8_t bytes[64];

    open_upstream_case(&made, 8);
    for (int i = 0; i < 3; i++) {
        put_udp(made.batch, &callers[i % 2], &made.service);
        made.port->type->send(made.port, 1, made.batch);
        CU_ASSERT_EQUAL(
            receive_plain(made.upstream, &from[i], bytes, sizeof(bytes)),
            PAYLOAD_BYTES);
    }
    CU_ASSERT_FALSE(SlAddress_Equal(&from[0], &from[1]));
    CU_ASSERT_TRUE(SlAddress_Equal(&from[0], &from[2]));
    send_to(made.upstream, &from[1], PAYLOAD, PAYLOAD_BYTES);
    CU_ASSERT_EQUAL_FATAL(receive(made.port, made.batch), 1);
    CU_ASSERT_EQUAL(SlPacket_Parse(made.batch->items[0].bytes,
                                   made.batch->items[0].length_bytes, &packet),
                    SL_OK);
    CU_ASSERT_TRUE(SlAddress_Equal(&packet.source, &made.service));
    CU_ASSERT_TRUE(SlAddress_Equal(&packet.destination, &callers[1]));
    close_upstream_case(&made);
}

static void
test_flows_beyond_the_bound_are_refused_until_idle_ones_close(void)
{
    struct SlPortCounters counters;
    struct upstream_case made;
    struct SlAddress caller = address_of("198.51.100.1:1000");

    open_upstream_case(&made, 4);
    for (uint16_t i = 0; i < 6; i++) {
        caller.port = (uint16_t)(1000 + i);
        put_udp(made.batch, &caller, &made.service);
    }
    made.port->type->send(made.port, 1, made.batch);
    made.port->type->read_counters(made.port, &counters);
    CU_ASSERT_EQUAL(counters.flows, 4);
    CU_ASSERT_EQUAL(counters.flows_refused, 2);
    made.port->type->send(made.port, 5000, made.batch);
    put_udp(made.batch, &caller, &made.service);
    made.port->type->send(made.port, 5000, made.batch);
    made.port->type->read_counters(made.port, &counters);
    CU_ASSERT_EQUAL(counters.flows, 1);
    CU_ASSERT_EQUAL(counters.flows_refused, 2);
    close_upstream_case(&made);
}

static void
test_upstream_that_is_gone_shows_as_unreachable(void)
{
    struct SlAddress caller = address_of("198.51.100.1:1000");
    struct upstream_case made;
    struct SlPacket packet;
    struct SlFlowKey key;

    open_upstream_case(&made, 4);
    close(made.upstream);
    made.upstream = -1;
    put_udp(made.batch, &caller, &made.service);
    made.port->type->send(made.port, 1, made.batch);
    CU_ASSERT_EQUAL_FATAL(receive(made.port, made.batch), 1);
    CU_ASSERT_EQUAL(SlPacket_Parse(made.batch->items[0].bytes,
                                   made.batch->items[0].length_bytes, &packet),
                    SL_OK);
    CU_ASSERT_EQUAL(packet.kind, SL_PACKET_ICMP_ERROR);
    SlPacket_UpstreamKey(&packet, &key);
    CU_ASSERT_TRUE(SlAddress_Equal(&key.caller, &caller));
    CU_ASSERT_TRUE(SlAddress_Equal(&key.service, &made.service));
    close_upstream_case(&made);
}

static void
test_tun_takes_packets_one_by_one(void)
{
    struct SlBatch *batch = SlBatch_Create();
    struct SlPortOptions options = {.kind = SL_PORT_TUN,
                                    .has_descriptor = true};
    uint8_t bytes[64];
    struct SlPort *port;
    int ends[2];

    CU_ASSERT_EQUAL_FATAL(
        socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK, 0, ends), 0);
    options.descriptor = ends[0];
    port = open_port(&options);
    CU_ASSERT_EQUAL(write(ends[1], "one", 3), 3);
    CU_ASSERT_EQUAL(write(ends[1], "three", 5), 5);
    CU_ASSERT_EQUAL_FATAL(receive(port, batch), 2);
    CU_ASSERT_EQUAL(batch->items[0].length_bytes, 3);
    CU_ASSERT_EQUAL(memcmp(batch->items[1].bytes, "three", 5), 0);
    port->type->send(port, 1, batch);
    CU_ASSERT_EQUAL(read(ends[1], bytes, sizeof(bytes)), 3);
    CU_ASSERT_EQUAL(read(ends[1], bytes, sizeof(bytes)), 5);
    SlPort_Close(port);
    SlBatch_Destroy(batch);
    close(ends[1]);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"encap carries whole packets, of its peer alone",
         test_encap_carries_whole_packets_of_its_peer_alone},
        {"replies leave from the service's address",
         test_replies_leave_from_the_services_address},
        {"refusals reach ordinary sockets",
         test_refusals_reach_ordinary_sockets},
        {"addresses of deleted services are let go",
         test_addresses_of_deleted_services_are_let_go},
        {"each flow has a socket of its own",
         test_each_flow_has_a_socket_of_its_own},
        {"flows beyond the bound are refused until idle ones close",
         test_flows_beyond_the_bound_are_refused_until_idle_ones_close},
        {"an upstream that is gone shows as unreachable",
         test_upstream_that_is_gone_shows_as_unreachable},
        {"tun takes packets one by one", test_tun_takes_packets_one_by_one},
    };

    return RUN_SUITE("port", CASES);
}
