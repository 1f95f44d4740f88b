/// Stand-in for the network fabric: owns the services' addresses as ordinary
/// UDP sockets, and hands every single packet to a randomly chosen entry.
///
/// What a caller sends to a service becomes an IP packet inside a UDP
/// datagram to an entry's encap port; what comes back is sent to the caller
/// from the service's address. Raw packets of the callers' TCP stand-ins pass
/// unchanged, and ICMP errors go to the callers' own encap port, since an
/// ordinary socket cannot send them. An entry whose port refuses is left out
/// for a second, as a fabric does that lost the link to it.

#include <argtable2.h>
#include <poll.h>

#include "standin.h"

enum {
    ENTRIES_MAX = 16,
    SERVICES_MAX = 16,
    REFUSED_US = 1000 * 1000,
    POLL_MS = 20,
    BATCH = 64,
};

struct port {
    struct SlAddress address;
    int fd;
    uint64_t out_until_us;
    uint64_t packets;
};

struct fabric {
    uint64_t random;
    struct SlAddress callers;
    int encap;
    uint32_t entry_count;
    struct port entries[ENTRIES_MAX];
    uint32_t service_count;
    struct port services[SERVICES_MAX];
    uint64_t sent;
    uint64_t returned;
    uint64_t errors;
    uint64_t lost;
};

static void
spray(struct fabric *fabric, uint64_t now_us, const uint8_t *bytes,
      size_t length_bytes)
{
    uint32_t start = standin_random(&fabric->random, fabric->entry_count);

    for (uint32_t i = 0; i < fabric->entry_count; i++) {
        struct port *entry;

        entry = &fabric->entries[(start + i) % fabric->entry_count];
        if (now_us < entry->out_until_us) {
            continue;
        }
        if (send(entry->fd, bytes, length_bytes, 0) >= 0) {
            entry->packets++;
            fabric->sent++;
            return;
        }
        if (errno == ECONNREFUSED) {
            entry->out_until_us = now_us + REFUSED_US;
        }
    }
    fabric->lost++;
}

/// A caller's datagram to a service.
static void
from_caller(struct fabric *fabric, struct port *service, uint64_t now_us)
{
    uint8_t payload[STANDIN_DATAGRAM_BYTES];
    uint8_t packet[STANDIN_DATAGRAM_BYTES + 64];
    struct SlAddress caller;

    for (int i = 0; i < BATCH; i++) {
        ssize_t count;
        uint32_t length_bytes;

        count =
            standin_receive(service->fd, &caller, payload, sizeof(payload));
        if (count < 0) {
            return;
        }
        length_bytes =
            SlPacket_BuildUdp(&caller, &service->address, payload,
                              (uint32_t)count, packet, sizeof(packet));
        spray(fabric, now_us, packet, length_bytes);
    }
}

/// A packet that an entry sends towards a caller.
static void
from_entry(struct fabric *fabric, const uint8_t *bytes, uint32_t length_bytes)
{
    struct SlPacket packet;

    fabric->returned++;
    if (SlPacket_Parse(bytes, length_bytes, &packet) != SL_OK) {
        fabric->errors++;
        return;
    }
    if (packet.kind != SL_PACKET_UDP) {
        standin_send(fabric->encap, &fabric->callers, bytes, length_bytes);
        return;
    }
    for (uint32_t i = 0; i < fabric->service_count; i++) {
        struct port *service = &fabric->services[i];

        if (SlAddress_Equal(&service->address, &packet.source)) {
            standin_send(service->fd, &packet.destination,
                         bytes + packet.payload_offset, packet.payload_bytes);
            return;
        }
    }
    fabric->errors++;
}

static void
read_encap(struct fabric *fabric, int fd, uint64_t now_us)
{
    uint8_t bytes[STANDIN_DATAGRAM_BYTES];
    struct SlAddress from;

    for (int i = 0; i < BATCH; i++) {
        ssize_t count = standin_receive(fd, &from, bytes, sizeof(bytes));

        if (count < 0) {
            return;
        }
        if (SlAddress_Equal(&from, &fabric->callers)) {
            spray(fabric, now_us, bytes, (size_t)count);
        }
        else {
            from_entry(fabric, bytes, (uint32_t)count);
        }
    }
}

static void
read_entry(struct fabric *fabric, struct port *entry, uint64_t now_us)
{
    errno = 0;
    read_encap(fabric, entry->fd, now_us);
    if (errno == ECONNREFUSED) {
        entry->out_until_us = now_us + REFUSED_US;
    }
}

static void
run(struct fabric *fabric, uint64_t end_us)
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
    while ((now_us = standin_now_us()) < end_us) {
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
                from_caller(fabric, &fabric->services[i], now_us);
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
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed");
    struct arg_int *seconds = arg_int1(NULL, "seconds", "N", "run time");
    struct arg_str *encap = arg_str1(NULL, "encap", "ADDRESS", "own port");
    struct arg_str *callers = arg_str1(NULL, "callers", "ADDRESS", "callers");
    struct arg_str *entry =
        arg_strn(NULL, "entry", "ADDRESS", 1, ENTRIES_MAX, "an entry");
    struct arg_str *service =
        arg_strn(NULL, "service", "ADDRESS", 0, SERVICES_MAX, "a service");
    struct arg_end *end = arg_end(8);
    void *table[] = {seed, seconds, encap, callers, entry, service, end};
    struct SlAddress own;
    struct SlAddress from;

    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "standin_fabric");
        return 2;
    }
    fabric.random = seed->count > 0 ? (uint64_t)seed->ival[0] : 1;
    own = standin_address(encap->sval[0]);
    from = own;
    from.port = 0;
    fabric.encap = standin_socket(&own, NULL);
    fabric.callers = standin_address(callers->sval[0]);
    for (int i = 0; i < entry->count; i++) {
        struct port *port = &fabric.entries[fabric.entry_count++];

        port->address = standin_address(entry->sval[i]);
        port->fd = standin_socket(&from, &port->address);
    }
    for (int i = 0; i < service->count; i++) {
        struct port *port = &fabric.services[fabric.service_count++];

        port->address = standin_address(service->sval[i]);
        port->fd = standin_socket(&port->address, NULL);
    }
    run(&fabric,
        standin_now_us() + (uint64_t)seconds->ival[0] * 1000U * 1000U);
    print_counts(&fabric);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return 0;
}
