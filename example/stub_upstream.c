/// Simulates an upstream: an ordinary UDP server with a fixed number of slots
/// and a cold start, and a TCP endpoint that exchanges encap packets.
///
/// It answers each request with its name and zone and sends nothing unasked.
/// On SIGUSR1, SIGTERM and when its time is over it prints its counters:
/// requests, requests for another service, segments of unknown flows, requests
/// dropped, the maximum number of unfinished requests, and the time of the
/// last packet.

#include <argtable2.h>
#include <poll.h>

#include "stub.h"

enum {
    JOBS_MAX = 4096,
    FLOWS_MAX = 1 << 16,
    COLD_FACTOR = 3,
    BATCH = 64,
    WINDOW_BYTES = 65535,
};

/// A request that occupies a slot or waits for one.
struct job {
    bool is_tcp;
    struct SlAddress from;
    struct stub_request request;
    /// TCP: the header fields of the answer.
    struct SlTcpSegment segment;
    uint64_t done_us;
    bool running;
};

/// A TCP flow. Its index is the low 16 bits of the caller's IPv4 address.
struct tcp_flow {
    uint16_t port;
    bool is_open;
    uint32_t answered_seq;
};

struct upstream {
    const char *name;
    const char *zone;
    const char *service;
    uint32_t slots;
    uint64_t cold_end_us;
    int udp;
    int encap;
    struct SlAddress agent;
    struct tcp_flow flows[FLOWS_MAX];
    uint32_t job_count;
    struct job jobs[JOBS_MAX];
    uint32_t running;
    uint64_t requests;
    /// Requests for another service.
    uint64_t foreign;
    /// Segments of flows that are not known here.
    uint64_t unknown;
    uint64_t dropped;
    /// Maximum number of unfinished requests.
    uint32_t most_waiting;
    uint64_t last_us;
};

static volatile sig_atomic_t print_requested;
static volatile sig_atomic_t stop_requested;

static void
on_signal(int number)
{
    print_requested = print_requested || number == SIGUSR1;
    stop_requested = stop_requested || number == SIGTERM;
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
send_answer(struct upstream *upstream, const struct job *job)
{
    char text[STUB_TEXT_BYTES];
    uint8_t packet[STUB_DATAGRAM_BYTES];
    struct SlTcpSegment segment = job->segment;
    int length =
        snprintf(text, sizeof(text), "A %s %u %s %s", job->request.service,
                 job->request.id, upstream->name, upstream->zone);

    if (!job->is_tcp) {
        stub_send(upstream->udp, &job->from, text, (size_t)length);
        return;
    }
    segment.payload = (const uint8_t *)text;
    segment.payload_bytes = (uint32_t)length;
    stub_send(upstream->encap, &job->from, packet,
              SlPacket_BuildTcp(&segment, packet, sizeof(packet)));
}

static void
start_jobs(struct upstream *upstream, uint64_t now_us)
{
    for (uint32_t i = 0;
         i < upstream->job_count && upstream->running < upstream->slots; i++) {
        struct job *job = &upstream->jobs[i];
        uint64_t duration_us = (uint64_t)job->request.hold_ms * 1000U;

        if (job->running) {
            continue;
        }
        duration_us *= now_us < upstream->cold_end_us ? COLD_FACTOR : 1;
        job->done_us = now_us + duration_us;
        job->running = true;
        upstream->running++;
    }
}

static void
finish_jobs(struct upstream *upstream, uint64_t now_us)
{
    uint32_t kept_count = 0;

    for (uint32_t i = 0; i < upstream->job_count; i++) {
        struct job *job = &upstream->jobs[i];

        if (job->running && job->done_us <= now_us) {
            send_answer(upstream, job);
            upstream->running--;
        }
        else {
            upstream->jobs[kept_count++] = *job;
        }
    }
    upstream->job_count = kept_count;
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
    uint8_t bytes[STUB_DATAGRAM_BYTES];

    for (int i = 0; i < BATCH; i++) {
        struct job job = {.is_tcp = false};
        ssize_t count =
            stub_receive(upstream->udp, &job.from, bytes, sizeof(bytes));

        if (count < 0) {
            return;
        }
        upstream->last_us = now_us;
        if (stub_parse_request(bytes, (size_t)count, &job.request)) {
            add_job(upstream, &job);
        }
    }
}

static void
send_segment(struct upstream *upstream, const struct SlPacket *packet,
             uint8_t flags, uint32_t seq, uint32_t ack)
{
    uint8_t bytes[STUB_DATAGRAM_BYTES];
    const struct SlTcpSegment segment = {
        .source = packet->destination,
        .destination = packet->source,
        .flags = flags,
        .seq = seq,
        .ack = ack,
        .window = WINDOW_BYTES,
    };

    stub_send(upstream->encap, &upstream->agent, bytes,
              SlPacket_BuildTcp(&segment, bytes, sizeof(bytes)));
}

static void
handle_payload(struct upstream *upstream, const struct SlPacket *packet,
               struct tcp_flow *flow)
{
    struct job job = {
        .is_tcp = true,
        .from = upstream->agent,
        .segment = {.source = packet->destination,
                    .destination = packet->source,
                    .flags = SL_TCP_ACK | SL_TCP_PSH,
                    .seq = packet->tcp_ack,
                    .ack = packet->tcp_seq + packet->payload_bytes,
                    .window = WINDOW_BYTES},
    };

    bool is_repeated = flow->answered_seq == packet->tcp_seq;

    send_segment(upstream, packet, SL_TCP_ACK, packet->tcp_ack,
                 packet->tcp_seq + packet->payload_bytes);
    flow->answered_seq = packet->tcp_seq;
    if (!stub_parse_request(packet->bytes + packet->payload_offset,
                            packet->payload_bytes, &job.request)) {
        return;
    }
    if (is_repeated) {
        send_answer(upstream, &job);
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
    bool is_known_flow = flow->is_open && flow->port == packet->source.port;

    if (packet->tcp_flags & SL_TCP_RST) {
        flow->is_open = flow->is_open && !is_known_flow;
    }
    else if (packet->tcp_flags & SL_TCP_SYN) {
        flow->is_open = true;
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
        flow->is_open = false;
        send_segment(upstream, packet, SL_TCP_FIN | SL_TCP_ACK,
                     packet->tcp_ack, packet->tcp_seq + 1);
    }
    else if (is_known_flow && packet->payload_bytes > 0) {
        handle_payload(upstream, packet, flow);
    }
    else if (packet->tcp_flags == SL_TCP_ACK &&
             (int32_t)(packet->tcp_seq - flow->answered_seq) < 0) {
        /* A segment before the window: like a kernel, acknowledge again the
           sequence number that is expected. */
        send_segment(upstream, packet, SL_TCP_ACK, packet->tcp_ack,
                     flow->answered_seq);
    }
}

static void
read_encap(struct upstream *upstream, uint64_t now_us)
{
    uint8_t bytes[STUB_DATAGRAM_BYTES];
    struct SlPacket packet;

    for (int i = 0; i < BATCH; i++) {
        ssize_t count = stub_receive(upstream->encap, &upstream->agent, bytes,
                                     sizeof(bytes));

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
run_upstream(struct upstream *upstream, uint64_t end_us)
{
    struct pollfd polls[2] = {
        {.fd = upstream->udp, .events = POLLIN},
        {.fd = upstream->encap, .events = POLLIN},
    };
    uint64_t now_us = stub_now_us();

    while (now_us < end_us && !stop_requested) {
        (void)poll(polls, 2, upstream->job_count > 0 ? 1 : 10);
        now_us = stub_now_us();
        if (print_requested) {
            print_requested = 0;
            print_counts(upstream);
        }
        read_udp(upstream, now_us);
        read_encap(upstream, now_us);
        finish_jobs(upstream, now_us);
        start_jobs(upstream, now_us);
    }
}

int
main(int argc, char **argv)
{
    static struct upstream upstream;
    struct arg_int *seconds = arg_int1(NULL, "seconds", "N", "run time");
    struct arg_str *name = arg_str1(NULL, "name", "NAME", "upstream name");
    struct arg_str *zone = arg_str1(NULL, "zone", "NAME", "zone name");
    struct arg_str *service =
        arg_str1(NULL, "service", "NAME", "service name");
    struct arg_str *udp =
        arg_str1(NULL, "udp", "ADDRESS", "address of the UDP server");
    struct arg_str *encap =
        arg_str1(NULL, "encap", "ADDRESS", "address for TCP in encap");
    struct arg_int *slots = arg_int1(NULL, "slots", "N", "number of slots");
    struct arg_int *cold =
        arg_int0(NULL, "cold-ms", "N", "duration of the cold start");
    struct arg_end *end = arg_end(8);
    void *table[] = {seconds, name,  zone, service, udp,
                     encap,   slots, cold, end};
    struct SlAddress address;
    uint64_t now_us = stub_now_us();

    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "stub_upstream");
        return 2;
    }
    signal(SIGUSR1, on_signal);
    signal(SIGTERM, on_signal);
    setvbuf(stdout, NULL, _IOLBF, 0);
    upstream.name = name->sval[0];
    upstream.zone = zone->sval[0];
    upstream.service = service->sval[0];
    upstream.slots = (uint32_t)slots->ival[0];
    upstream.cold_end_us = now_us;
    if (cold->count > 0) {
        upstream.cold_end_us += (uint64_t)cold->ival[0] * 1000U;
    }
    address = stub_parse_address(udp->sval[0]);
    upstream.udp = stub_open_socket(&address, NULL);
    address = stub_parse_address(encap->sval[0]);
    upstream.encap = stub_open_socket(&address, NULL);
    run_upstream(&upstream,
                 now_us + (uint64_t)seconds->ival[0] * 1000U * 1000U);
    print_counts(&upstream);
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return 0;
}
