/// Stand-in for an upstream: an ordinary UDP server with a fixed number of
/// slots and a cold start, and a TCP end whose packets come over encap.
///
/// It answers requests with its own name and zone, pushes nothing of its own,
/// and at its end, on SIGTERM and on SIGUSR1 prints what it saw: requests, the
/// most it had in progress, requests of a foreign service, orders that ran
/// twice, the last packet.

#include <argtable2.h>
#include <poll.h>

#include "standin.h"

enum {
    JOBS_MAX = 4096,
    FLOWS_MAX = 1 << 16,
    COLD_FACTOR = 3,
    BATCH = 64,
    WINDOW = 65535,
};

/// A request in a slot or waiting for one.
struct job {
    bool tcp;
    struct SlAddress from;
    struct standin_request request;
    /// TCP: what the answer's segment carries.
    struct SlTcpSegment segment;
    uint64_t done_us;
    bool running;
};

/// A TCP flow, found by the lower half of the caller's IPv4 address.
struct tcp_flow {
    uint16_t port;
    bool open;
    uint32_t answered_seq;
};

struct upstream {
    const char *name;
    const char *zone;
    const char *service;
    uint32_t slots;
    uint64_t warm_us;
    int udp;
    int encap;
    struct SlAddress agent;
    struct tcp_flow flows[FLOWS_MAX];
    uint32_t job_count;
    struct job jobs[JOBS_MAX];
    uint32_t running;
    uint64_t requests;
    uint64_t foreign;
    uint64_t unknown;
    uint64_t dropped;
    uint32_t most_waiting;
    uint64_t last_us;
};

static volatile sig_atomic_t print_asked;
static volatile sig_atomic_t end_asked;

static void
on_signal(int number)
{
    print_asked = print_asked || number == SIGUSR1;
    end_asked = end_asked || number == SIGTERM;
}

static void
print_counts(const struct upstream *upstream)
{
    printf("upstream name=%s zone=%s requests=%" PRIu64 " foreign=%" PRIu64
           " unknown=%" PRIu64 " dropped=%" PRIu64
           " most_waiting=%u last_us=%" PRIu64 "\n",
           upstream->name, upstream->zone, upstream->requests,
           upstream->foreign, upstream->unknown, upstream->dropped,
           upstream->most_waiting, upstream->last_us);
}

static void
answer(struct upstream *upstream, const struct job *job)
{
    char text[STANDIN_TEXT_BYTES];
    uint8_t packet[STANDIN_DATAGRAM_BYTES];
    struct SlTcpSegment segment = job->segment;
    int length =
        snprintf(text, sizeof(text), "A %s %u %s %s", job->request.service,
                 job->request.id, upstream->name, upstream->zone);

    if (!job->tcp) {
        standin_send(upstream->udp, &job->from, text, (size_t)length);
        return;
    }
    segment.payload = (const uint8_t *)text;
    segment.payload_bytes = (uint32_t)length;
    standin_send(upstream->encap, &job->from, packet,
                 SlPacket_BuildTcp(&segment, packet, sizeof(packet)));
}

static void
start_jobs(struct upstream *upstream, uint64_t now_us)
{
    for (uint32_t i = 0;
         i < upstream->job_count && upstream->running < upstream->slots; i++) {
        struct job *job = &upstream->jobs[i];
        uint64_t took_us = (uint64_t)job->request.hold_ms * 1000U;

        if (job->running) {
            continue;
        }
        took_us *= now_us < upstream->warm_us ? COLD_FACTOR : 1;
        job->done_us = now_us + took_us;
        job->running = true;
        upstream->running++;
    }
}

static void
end_jobs(struct upstream *upstream, uint64_t now_us)
{
    uint32_t kept = 0;

    for (uint32_t i = 0; i < upstream->job_count; i++) {
        struct job *job = &upstream->jobs[i];

        if (job->running && job->done_us <= now_us) {
            answer(upstream, job);
            upstream->running--;
        }
        else {
            upstream->jobs[kept++] = *job;
        }
    }
    upstream->job_count = kept;
}

static void
add_job(struct upstream *upstream, const struct job *job)
{
    upstream->requests++;
    if (strcmp(job->request.service, upstream->service) != 0) {
        upstream->foreign++;
    }
    if (upstream->job_count == JOBS_MAX) {
        upstream->dropped++;
        return;
    }
    upstream->jobs[upstream->job_count++] = *job;
    if (upstream->job_count > upstream->most_waiting) {
        upstream->most_waiting = upstream->job_count;
    }
}

static void
read_udp(struct upstream *upstream, uint64_t now_us)
{
    uint8_t bytes[STANDIN_DATAGRAM_BYTES];

    for (int i = 0; i < BATCH; i++) {
        struct job job = {.tcp = false};
        ssize_t count =
            standin_receive(upstream->udp, &job.from, bytes, sizeof(bytes));

        if (count < 0) {
            return;
        }
        upstream->last_us = now_us;
        if (standin_read_request(bytes, (size_t)count, &job.request)) {
            add_job(upstream, &job);
        }
    }
}

static void
send_segment(struct upstream *upstream, const struct SlPacket *packet,
             uint8_t flags, uint32_t seq, uint32_t ack)
{
    uint8_t bytes[STANDIN_DATAGRAM_BYTES];
    const struct SlTcpSegment segment = {
        .source = packet->destination,
        .destination = packet->source,
        .flags = flags,
        .seq = seq,
        .ack = ack,
        .window = WINDOW,
    };

    standin_send(upstream->encap, &upstream->agent, bytes,
                 SlPacket_BuildTcp(&segment, bytes, sizeof(bytes)));
}

static void
read_payload(struct upstream *upstream, const struct SlPacket *packet,
             struct tcp_flow *flow)
{
    struct job job = {
        .tcp = true,
        .from = upstream->agent,
        .segment = {.source = packet->destination,
                    .destination = packet->source,
                    .flags = SL_TCP_ACK | SL_TCP_PSH,
                    .seq = packet->tcp_ack,
                    .ack = packet->tcp_seq + packet->payload_bytes,
                    .window = WINDOW},
    };

    bool again = flow->answered_seq == packet->tcp_seq;

    send_segment(upstream, packet, SL_TCP_ACK, packet->tcp_ack,
                 packet->tcp_seq + packet->payload_bytes);
    flow->answered_seq = packet->tcp_seq;
    if (!standin_read_request(packet->bytes + packet->payload_offset,
                              packet->payload_bytes, &job.request)) {
        return;
    }
    if (again) {
        answer(upstream, &job);
    }
    else {
        add_job(upstream, &job);
    }
}

static void
handle_segment(struct upstream *upstream, const struct SlPacket *packet)
{
    const uint8_t *ip = packet->source.ip;
    struct tcp_flow *flow = &upstream->flows[(ip[14] << 8) | ip[15]];
    bool known = flow->open && flow->port == packet->source.port;

    if (packet->tcp_flags & SL_TCP_RST) {
        flow->open = flow->open && !known;
    }
    else if (packet->tcp_flags & SL_TCP_SYN) {
        flow->open = true;
        flow->port = packet->source.port;
        flow->answered_seq = packet->tcp_seq;
        send_segment(upstream, packet, SL_TCP_SYN | SL_TCP_ACK,
                     packet->tcp_seq ^ 0x5a5a5a5aU, packet->tcp_seq + 1);
    }
    else if (flow->port != packet->source.port) {
        upstream->unknown++;
        send_segment(upstream, packet, SL_TCP_RST, packet->tcp_ack, 0);
    }
    else if (packet->tcp_flags & SL_TCP_FIN) {
        flow->open = false;
        send_segment(upstream, packet, SL_TCP_FIN | SL_TCP_ACK,
                     packet->tcp_ack, packet->tcp_seq + 1);
    }
    else if (known && packet->payload_bytes > 0) {
        read_payload(upstream, packet, flow);
    }
    else if (packet->tcp_flags == SL_TCP_ACK &&
             (int32_t)(packet->tcp_seq - flow->answered_seq) < 0) {
        /* Out of the window: a kernel says again what it awaits. */
        send_segment(upstream, packet, SL_TCP_ACK, packet->tcp_ack,
                     flow->answered_seq);
    }
}

static void
read_encap(struct upstream *upstream, uint64_t now_us)
{
    uint8_t bytes[STANDIN_DATAGRAM_BYTES];
    struct SlPacket packet;

    for (int i = 0; i < BATCH; i++) {
        ssize_t count = standin_receive(upstream->encap, &upstream->agent,
                                        bytes, sizeof(bytes));

        if (count < 0) {
            return;
        }
        upstream->last_us = now_us;
        if (SlPacket_Parse(bytes, (uint32_t)count, &packet) == SL_OK &&
            packet.kind == SL_PACKET_TCP) {
            handle_segment(upstream, &packet);
        }
    }
}

static void
run(struct upstream *upstream, uint64_t end_us)
{
    struct pollfd polls[2] = {
        {.fd = upstream->udp, .events = POLLIN},
        {.fd = upstream->encap, .events = POLLIN},
    };
    uint64_t now_us = standin_now_us();

    while (now_us < end_us && !end_asked) {
        (void)poll(polls, 2, upstream->job_count > 0 ? 1 : 10);
        now_us = standin_now_us();
        if (print_asked) {
            print_asked = 0;
            print_counts(upstream);
        }
        read_udp(upstream, now_us);
        read_encap(upstream, now_us);
        end_jobs(upstream, now_us);
        start_jobs(upstream, now_us);
    }
}

int
main(int argc, char **argv)
{
    static struct upstream upstream;
    struct arg_int *seconds = arg_int1(NULL, "seconds", "N", "run time");
    struct arg_str *name = arg_str1(NULL, "name", "NAME", "its name");
    struct arg_str *zone = arg_str1(NULL, "zone", "NAME", "its zone");
    struct arg_str *service = arg_str1(NULL, "service", "NAME", "service");
    struct arg_str *udp = arg_str1(NULL, "udp", "ADDRESS", "UDP server");
    struct arg_str *encap = arg_str1(NULL, "encap", "ADDRESS", "TCP end");
    struct arg_int *slots = arg_int1(NULL, "slots", "N", "slots");
    struct arg_int *cold = arg_int0(NULL, "cold-ms", "N", "cold start");
    struct arg_end *end = arg_end(8);
    void *table[] = {seconds, name,  zone, service, udp,
                     encap,   slots, cold, end};
    struct SlAddress address;
    uint64_t now_us = standin_now_us();

    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "standin_upstream");
        return 2;
    }
    signal(SIGUSR1, on_signal);
    signal(SIGTERM, on_signal);
    setvbuf(stdout, NULL, _IOLBF, 0);
    upstream.name = name->sval[0];
    upstream.zone = zone->sval[0];
    upstream.service = service->sval[0];
    upstream.slots = (uint32_t)slots->ival[0];
    upstream.warm_us = now_us;
    if (cold->count > 0) {
        upstream.warm_us += (uint64_t)cold->ival[0] * 1000U;
    }
    address = standin_address(udp->sval[0]);
    upstream.udp = standin_socket(&address, NULL);
    address = standin_address(encap->sval[0]);
    upstream.encap = standin_socket(&address, NULL);
    run(&upstream, now_us + (uint64_t)seconds->ival[0] * 1000U * 1000U);
    print_counts(&upstream);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return 0;
}
