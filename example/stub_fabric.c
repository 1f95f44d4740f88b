/// Simulates the network fabric: listens on the services' addresses with
/// ordinary UDP sockets and sends each packet to a randomly chosen entry.
///
/// A caller's datagram to a service becomes an IP packet in a UDP datagram to
/// an entry's encap port; a packet from an entry is sent to the caller from
/// the service's address. TCP packets of the simulated callers are forwarded
/// unchanged. ICMP errors go to the callers' encap port, because an ordinary
/// socket cannot send them. An entry whose port refuses datagrams is not used
/// for 1 s, as a fabric would treat an entry with a lost link.

#include <argtable2.h>
#include <poll.h>

#include "stub.h"

enum {
    ENTRIES_MAX = 16,
    SERVICES_MAX = 16,
    REFUSED_BACKOFF_US = 1000 * 1000,
    POLL_MS = 20,
    BATCH = 64,
};

/// A socket towards an entry, or on the address of a service.
struct endpoint {
    struct SlAddress address;
    int fd;
    uint64_t backoff_end_us;
    uint64_t packets;
};

struct fabric {
    uint64_t random;
    struct SlAddress callers;
    int encap;
    uint32_t entry_count;
    struct endpoint entries[ENTRIES_MAX];
    uint32_t service_count;
    struct endpoint services[SERVICES_MAX];
    uint64_t sent;
    uint64_t returned;
    uint64_t errors;
    uint64_t lost;
};

/// Sends a packet to a random entry that does not refuse datagrams.
static void
send_to_random_entry(struct fabric *fabric, uint64_t now_us,
                     const uint8_t *bytes, size_t length_bytes)
{
    uint32_t start = stub_random(&fabric->random, fabric->entry_count);

    for (uint32_t i = 0; i < fabric->entry_count; i++) {
        struct endpoint *entry;

        entry = &fabric->entries[(start + i) % fabric->entry_count];
        if (now_us < entry->backoff_end_us) {
            continue;
        }
        if (send(entry->fd, bytes, length_bytes, 0) >= 0) {
            entry->packets++;
            fabric->sent++;
            return;
        }
        if (errno == ECONNREFUSED) {
            entry->backoff_end_us = now_us + REFUSED_BACKOFF_US;
        }
    }
    fabric->lost++;
}

/// Forwards the datagrams that callers sent to a service.
static void
forward_from_caller(struct fabric *fabric, struct endpoint *service,
                    uint64_t now_us)
{
    uint8_t payload[STUB_DATAGRAM_BYTES];
    uint8_t packet[STUB_DATAGRAM_BYTES + 64];
    struct SlAddress caller;

    for (int i = 0; i < BATCH; i++) {
        ssize_t count;
        uint32_t length_bytes;

        count = stub_receive(service->fd, &caller, payload, sizeof(payload));
        if (count < 0) {
            return;
        }
        length_bytes =
            SlPacket_BuildUdp(&caller, &service->address, payload,
                              (uint32_t)count, packet, sizeof(packet));
        send_to_random_entry(fabric, now_us, packet, length_bytes);
    }
}

/// Forwards a packet from an entry to its caller.
static void
forward_from_entry(struct fabric *fabric, const uint8_t *bytes,
                   uint32_t length_bytes)
{
    struct SlPacket packet;

    fabric->returned++;
    if (SlPacket_Parse(bytes, length_bytes, &packet) != SL_OK) {
        fabric->errors++;
        return;
    }
    if (packet.kind != SL_PACKET_UDP) {
        stub_send(fabric->encap, &fabric->callers, bytes, length_bytes);
        return;
    }
    for (uint32_t i = 0; i < fabric->service_count; i++) {
        struct endpoint *service = &fabric->services[i];

        if (SlAddress_Equal(&service->address, &packet.source)) {
            stub_send(service->fd, &packet.destination,
                      bytes + packet.payload_offset, packet.payload_bytes);
            return;
        }
    }
    fabric->errors++;
}

static void
read_encap(struct fabric *fabric, int fd, uint64_t now_us)
{
    uint8_t bytes[STUB_DATAGRAM_BYTES];
    struct SlAddress from;

    for (int i = 0; i < BATCH; i++) {
        ssize_t count = stub_receive(fd, &from, bytes, sizeof(bytes));

        if (count < 0) {
            return;
        }
        if (SlAddress_Equal(&from, &fabric->callers)) {
            send_to_random_entry(fabric, now_us, bytes, (size_t)count);
        }
        else {
            forward_from_entry(fabric, bytes, (uint32_t)count);
        }
    }
}

static void
read_entry(struct fabric *fabric, struct endpoint *entry, uint64_t now_us)
{
    errno = 0;
    read_encap(fabric, entry->fd, now_us);
    if (errno == ECONNREFUSED) {
        entry->backoff_end_us = now_us + REFUSED_BACKOFF_US;
    }
}

static void
run_fabric(struct fabric *fabric, uint64_t end_us)
{
    struct pollfd polls[1 + ENTRIES_MAX + SERVICES_MAX];
    uint32_t total = 1 + fabric->entry_count + fabric->service_count;
    uint64_t now_us;

    memset(polls, 0, sizeof(polls));
    polls[0].fd = fabric->encap;
    for (uint32_t i = 0; i < fabric->entry_count; i++) {
        polls[1 + i].fd = fabric->entries[i].fd;
    }
    for (uint32_t i = 0; i < fabric->service_count; i++) {
        polls[1 + fabric->entry_count + i].fd = fabric->services[i].fd;
    }
    for (uint32_t i = 0; i < total; i++) {
        polls[i].events = POLLIN;
    }
    while ((now_us = stub_now_us()) < end_us) {
        (void)poll(polls, total, POLL_MS);
        if (polls[0].revents != 0) {
            read_encap(fabric, fabric->encap, now_us);
        }
        for (uint32_t i = 0; i < fabric->entry_count; i++) {
            if (polls[1 + i].revents != 0) {
                read_entry(fabric, &fabric->entries[i], now_us);
            }
        }
        for (uint32_t i = 0; i < fabric->service_count; i++) {
            if (polls[1 + fabric->entry_count + i].revents != 0) {
                forward_from_caller(fabric, &fabric->services[i], now_us);
            }
        }
    }
}

static void
print_counts(const struct fabric *fabric)
{
    char text[SL_ADDRESS_TEXT_BYTES];

    printf("fabric sent=%" PRIu64 " returned=%" PRIu64 " lost=%" PRIu64
           " errors=%" PRIu64 "\n",
           fabric->sent, fabric->returned, fabric->lost, fabric->errors);
    for (uint32_t i = 0; i < fabric->entry_count; i++) {
        printf("fabric entry=%s packets=%" PRIu64 "\n",
               SlAddress_Format(&fabric->entries[i].address, text),
               fabric->entries[i].packets);
    }
}

int
main(int argc, char **argv)
{
    static struct fabric fabric;
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed");
    struct arg_int *seconds = arg_int1(NULL, "seconds", "N", "run time");
    struct arg_str *encap =
        arg_str1(NULL, "encap", "ADDRESS", "local address");
    struct arg_str *callers =
        arg_str1(NULL, "callers", "ADDRESS", "encap address of the callers");
    struct arg_str *entry = arg_strn(NULL, "entry", "ADDRESS", 1, ENTRIES_MAX,
                                     "encap address of an entry");
    struct arg_str *service = arg_strn(NULL, "service", "ADDRESS", 0,
                                       SERVICES_MAX, "address of a service");
    struct arg_end *end = arg_end(8);
    void *table[] = {seed, seconds, encap, callers, entry, service, end};
    struct SlAddress local;
    struct SlAddress from;

    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "stub_fabric");
        return 2;
    }
    fabric.random = seed->count > 0 ? (uint64_t)seed->ival[0] : 1;
    local = stub_parse_address(encap->sval[0]);
    from = local;
    from.port = 0;
    fabric.encap = stub_open_socket(&local, NULL);
    fabric.callers = stub_parse_address(callers->sval[0]);
    for (int i = 0; i < entry->count; i++) {
        struct endpoint *endpoint = &fabric.entries[fabric.entry_count++];

        endpoint->address = stub_parse_address(entry->sval[i]);
        endpoint->fd = stub_open_socket(&from, &endpoint->address);
    }
    for (int i = 0; i < service->count; i++) {
        struct endpoint *endpoint = &fabric.services[fabric.service_count++];

        endpoint->address = stub_parse_address(service->sval[i]);
        endpoint->fd = stub_open_socket(&endpoint->address, NULL);
    }
    run_fabric(&fabric,
               stub_now_us() + (uint64_t)seconds->ival[0] * 1000U * 1000U);
    print_counts(&fabric);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return 0;
}
