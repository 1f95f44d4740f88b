/// Stand-in for callers: flows over ordinary UDP sockets, and TCP ends that
/// build their segments themselves and send them over encap.
///
/// Half of the flows are status feeds that never end, the others do a few
/// requests and start again. A flow is broken when it is reset, falls silent
/// or is answered by another upstream after its first answer; flows of the
/// zone that is out are given up instead. SIGUSR1 says that the zone named by
/// --zone is out, SIGUSR2 that it is back.

#include <argtable2.h>
#include <netinet/in.h>
#include <sys/epoll.h>

#include "standin_callers.h"

enum {
    FIRST_PORT = 20000,
    BATCH = 64,
    THINK_MS = 600,
    HOLD_MS = 4,
    SHORT_REQUESTS = 5,
    WINDOW_BYTES = 65535,
};

static volatile sig_atomic_t zone_is_out;

static void
on_signal(int number)
{
    zone_is_out = number == SIGUSR1;
}

static struct window *
window_at(struct callers *callers, uint64_t now_us)
{
    uint64_t index = (now_us - callers->start_us) / WINDOW_US;

    return &callers->windows[index < WINDOWS_MAX ? index : WINDOWS_MAX - 1];
}

static int
upstream_index(struct callers *callers, const struct standin_answer *answer)
{
    struct known_upstream *known;

    for (int i = 0; i < callers->upstream_count; i++) {
        if (strcmp(callers->upstreams[i].name, answer->upstream) == 0) {
            return i;
        }
    }
    if (callers->upstream_count == NAMES_MAX) {
        return 0;
    }
    known = &callers->upstreams[callers->upstream_count];
    memcpy(known->name, answer->upstream, sizeof(known->name));
    memcpy(known->zone, answer->zone, sizeof(known->zone));
    memcpy(known->service, answer->service, sizeof(known->service));
    return callers->upstream_count++;
}

static void
send_segment(struct callers *callers, const struct flow *flow, uint8_t flags,
             const char *payload)
{
    uint8_t bytes[STANDIN_DATAGRAM_BYTES];
    const struct SlTcpSegment segment = {
        .source = flow->own,
        .destination = flow->service->address,
        .flags = flags,
        .seq = flow->seq,
        .ack = flags & SL_TCP_ACK ? flow->ack : 0,
        .window = WINDOW_BYTES,
        .mss_bytes = flags & SL_TCP_SYN ? 1460 : 0,
        .payload = (const uint8_t *)payload,
        .payload_bytes = payload != NULL ? (uint32_t)strlen(payload) : 0,
    };

    standin_send(callers->encap, &callers->fabric, bytes,
                 SlPacket_BuildTcp(&segment, bytes, sizeof(bytes)));
}

/// Sends what the flow waits for an answer to.
static void
send_present(struct callers *callers, struct flow *flow, uint64_t now_us)
{
    char text[STANDIN_TEXT_BYTES];

    standin_write_request(text, flow->service->name, flow->request, HOLD_MS);
    flow->due_us = now_us + RESEND_US;
    if (flow->state == FLOW_OPENING) {
        send_segment(callers, flow, SL_TCP_SYN, NULL);
    }
    else if (flow->state == FLOW_CLOSING) {
        send_segment(callers, flow, SL_TCP_FIN | SL_TCP_ACK, NULL);
    }
    else if (flow->service->tcp) {
        send_segment(callers, flow, SL_TCP_PSH | SL_TCP_ACK, text);
    }
    else {
        (void)send(flow->fd, text, strlen(text), 0);
    }
}

static void
enter(struct callers *callers, struct flow *flow, enum flow_state state,
      uint64_t now_us)
{
    flow->state = state;
    flow->resends = 0;
    flow->asked_us = now_us;
    send_present(callers, flow, now_us);
}

static void
start_flow(struct callers *callers, struct flow *flow, uint64_t now_us)
{
    struct epoll_event event = {.events = EPOLLIN, .data = {.ptr = flow}};

    callers->counts.flows++;
    flow->upstream = -1;
    flow->request++;
    flow->requests_left =
        1 + standin_random(&callers->random, 2 * SHORT_REQUESTS);
    if (flow->service->tcp) {
        flow->own.port++;
        flow->seq = standin_random(&callers->random, 1U << 30);
        enter(callers, flow, FLOW_OPENING, now_us);
        return;
    }
    flow->fd = standin_socket(NULL, &flow->service->address);
    epoll_ctl(callers->poll_fd, EPOLL_CTL_ADD, flow->fd, &event);
    enter(callers, flow, FLOW_ASKING, now_us);
}

/// The flow is over; a new one takes its place after wait_us.
static void
end_flow(struct flow *flow, uint64_t now_us, uint64_t wait_us)
{
    if (flow->fd >= 0) {
        close(flow->fd);
        flow->fd = -1;
    }
    flow->state = FLOW_IDLE;
    flow->upstream = -1;
    flow->due_us = now_us + wait_us;
}

static bool
in_zone_out(const struct callers *callers, const struct flow *flow)
{
    return zone_is_out && flow->upstream >= 0 &&
           strcmp(callers->upstreams[flow->upstream].zone,
                  callers->zone_out) == 0;
}

/// The flow cannot go on. reason: a static string for the reader.
static void
fail_flow(struct callers *callers, struct flow *flow, uint64_t now_us,
          const char *reason)
{
    struct counts *counts = &callers->counts;
    char text[SL_ADDRESS_TEXT_BYTES];

    if (flow->upstream < 0) {
        counts->refused++;
        window_at(callers, now_us)->refused++;
    }
    else if (in_zone_out(callers, flow)) {
        counts->given_up++;
        window_at(callers, now_us)->reset++;
    }
    else {
        counts->broken++;
        window_at(callers, now_us)->reset++;
        printf("callers broken reason=%s t_us=%" PRIu64
               " service=%s upstream=%s own=%s request=%u\n",
               reason, now_us, flow->service->name,
               callers->upstreams[flow->upstream].name,
               SlAddress_Format(&flow->own, text), flow->request);
    }
    end_flow(flow, now_us, BACK_OFF_US);
}

static void
take_answer(struct callers *callers, struct flow *flow,
            const struct standin_answer *answer, uint64_t now_us)
{
    int upstream = upstream_index(callers, answer);

    if (strcmp(answer->service, flow->service->name) != 0) {
        callers->counts.foreign++;
    }
    if (flow->upstream >= 0 && flow->upstream != upstream) {
        callers->counts.moved++;
        fail_flow(callers, flow, now_us, "moved");
        return;
    }
    flow->upstream = upstream;
    if (answer->id != flow->request || flow->state != FLOW_ASKING) {
        return;
    }
    callers->counts.answers++;
    window_at(callers, now_us)->served++;
    flow->state = FLOW_THINKING;
    flow->due_us =
        now_us +
        1000ULL * (THINK_MS / 2 + standin_random(&callers->random, THINK_MS));
}

static void
read_datagram(struct callers *callers, struct flow *flow, uint64_t now_us)
{
    uint8_t bytes[STANDIN_DATAGRAM_BYTES];
    struct standin_answer answer;

    while (flow->fd >= 0) {
        ssize_t count = recv(flow->fd, bytes, sizeof(bytes), 0);

        if (count < 0) {
            return;
        }
        if (standin_read_answer(bytes, (size_t)count, &answer)) {
            take_answer(callers, flow, &answer, now_us);
        }
    }
}

/// The flow that a packet or a quoted packet belongs to; NULL when it has
/// ended already.
static struct flow *
find_flow(struct callers *callers, const struct SlAddress *own,
          const struct SlAddress *service)
{
    for (uint32_t i = 0; i < callers->flow_count; i++) {
        struct flow *flow = &callers->flows[i];
        struct sockaddr_storage sock;
        socklen_t length = sizeof(sock);

        if (!flow->service->tcp && flow->fd >= 0 &&
            getsockname(flow->fd, (struct sockaddr *)&sock, &length) == 0) {
            SlAddress_FromSockaddr((struct sockaddr *)&sock, &flow->own);
        }
        if (flow->state != FLOW_IDLE && SlAddress_Equal(&flow->own, own) &&
            SlAddress_Equal(&flow->service->address, service)) {
            return flow;
        }
    }
    return NULL;
}

static void
take_segment(struct callers *callers, struct flow *flow,
             const struct SlPacket *packet, uint64_t now_us)
{
    struct standin_answer answer;

    if (packet->tcp_flags & SL_TCP_RST && flow->state == FLOW_CLOSING) {
        end_flow(flow, now_us, BACK_OFF_US);
    }
    else if (packet->tcp_flags & SL_TCP_RST) {
        fail_flow(callers, flow, now_us, "reset");
    }
    else if (flow->state == FLOW_OPENING) {
        if (packet->tcp_flags & SL_TCP_SYN) {
            flow->seq++;
            flow->ack = packet->tcp_seq + 1;
            enter(callers, flow, FLOW_ASKING, now_us);
        }
    }
    else if (flow->state == FLOW_CLOSING) {
        if (packet->tcp_flags & SL_TCP_FIN) {
            flow->seq++;
            flow->ack++;
            send_segment(callers, flow, SL_TCP_ACK, NULL);
            end_flow(flow, now_us, BACK_OFF_US);
        }
    }
    else if (packet->payload_bytes > 0 && packet->tcp_seq == flow->ack) {
        char text[STANDIN_TEXT_BYTES];

        flow->ack += packet->payload_bytes;
        flow->seq += (uint32_t)standin_write_request(text, flow->service->name,
                                                     flow->request, HOLD_MS);
        send_segment(callers, flow, SL_TCP_ACK, NULL);
        if (standin_read_answer(packet->bytes + packet->payload_offset,
                                packet->payload_bytes, &answer)) {
            take_answer(callers, flow, &answer, now_us);
        }
    }
}

static void
read_encap(struct callers *callers, uint64_t now_us)
{
    uint8_t bytes[STANDIN_DATAGRAM_BYTES];
    struct SlPacket packet;
    struct SlAddress from;
    struct flow *flow;

    for (int i = 0; i < BATCH; i++) {
        ssize_t count =
            standin_receive(callers->encap, &from, bytes, sizeof(bytes));

        if (count < 0) {
            return;
        }
        if (SlPacket_Parse(bytes, (uint32_t)count, &packet) != SL_OK) {
            continue;
        }
        if (packet.kind == SL_PACKET_TCP) {
            flow = find_flow(callers, &packet.destination, &packet.source);
            if (flow != NULL && flow->service->tcp) {
                take_segment(callers, flow, &packet, now_us);
            }
        }
        else if (packet.kind == SL_PACKET_ICMP_ERROR) {
            flow = find_flow(callers, &packet.quoted_source,
                             &packet.quoted_destination);
            if (flow != NULL) {
                fail_flow(callers, flow, now_us, "icmp");
            }
        }
    }
}

static void
resend(struct callers *callers, struct flow *flow, uint64_t now_us)
{
    if (flow->resends == RESENDS_MAX) {
        callers->counts.silent++;
        if (flow->state == FLOW_CLOSING) {
            end_flow(flow, now_us, BACK_OFF_US);
        }
        else {
            fail_flow(callers, flow, now_us, "silent");
        }
        return;
    }
    flow->resends++;
    callers->counts.resends++;
    send_present(callers, flow, now_us);
}

static void
advance(struct callers *callers, struct flow *flow, uint64_t now_us)
{
    if (now_us < flow->due_us) {
        return;
    }
    if (flow->state == FLOW_IDLE) {
        start_flow(callers, flow, now_us);
    }
    else if (flow->state != FLOW_THINKING) {
        resend(callers, flow, now_us);
    }
    else if (flow->forever || --flow->requests_left > 0) {
        flow->request++;
        enter(callers, flow, FLOW_ASKING, now_us);
    }
    else if (flow->service->tcp) {
        enter(callers, flow, FLOW_CLOSING, now_us);
    }
    else {
        end_flow(flow, now_us, BACK_OFF_US);
    }
}

static void
print_open(const struct callers *callers, const char *when)
{
    for (int u = 0; u < callers->upstream_count; u++) {
        uint32_t open = 0;

        for (uint32_t i = 0; i < callers->flow_count; i++) {
            open += callers->flows[i].upstream == u;
        }
        printf("callers open service=%s upstream=%s zone=%s flows=%u "
               "when=%s\n",
               callers->upstreams[u].service, callers->upstreams[u].name,
               callers->upstreams[u].zone, open, when);
    }
}

static void
run(struct callers *callers, uint64_t end_us)
{
    struct epoll_event events[BATCH];
    bool was_out = false;
    uint64_t now_us;

    while ((now_us = standin_now_us()) < end_us) {
        int count = epoll_wait(callers->poll_fd, events, BATCH, 2);

        if (zone_is_out && !was_out) {
            print_open(callers, "before");
        }
        was_out = zone_is_out;
        for (int i = 0; i < count; i++) {
            if (events[i].data.ptr == NULL) {
                read_encap(callers, now_us);
            }
            else {
                read_datagram(callers, (struct flow *)events[i].data.ptr,
                              now_us);
            }
        }
        for (uint32_t i = 0; i < callers->flow_count; i++) {
            advance(callers, &callers->flows[i], now_us);
        }
    }
}

static void
add_flows(struct callers *callers, const struct service *service,
          uint32_t count, uint64_t now_us)
{
    for (uint32_t i = 0; i < count && callers->flow_count < FLOWS_MAX; i++) {
        uint32_t number = callers->flow_count++;
        struct flow *flow = &callers->flows[number];
        char text[SL_ADDRESS_TEXT_BYTES];

        snprintf(text, sizeof(text), "10.9.%u.%u:%u", (number >> 8) & 0xff,
                 number & 0xff, (unsigned)FIRST_PORT);
        flow->own = standin_address(text);
        flow->fd = -1;
        flow->service = service;
        flow->forever = i % 2 == 0;
        flow->due_us =
            now_us + 1000ULL * standin_random(&callers->random, 4000);
    }
}

static void
print_counts(const struct callers *callers, FILE *windows, uint64_t now_us)
{
    const struct counts *counts = &callers->counts;
    uint64_t last = (now_us - callers->start_us) / WINDOW_US;

    print_open(callers, "end");
    printf("callers flows=%" PRIu64 " broken=%" PRIu64 " given_up=%" PRIu64
           " refused=%" PRIu64 " moved=%" PRIu64 " silent=%" PRIu64
           " foreign=%" PRIu64 " answers=%" PRIu64 " resends=%" PRIu64 "\n",
           counts->flows, counts->broken, counts->given_up, counts->refused,
           counts->moved, counts->silent, counts->foreign, counts->answers,
           counts->resends);
    for (uint64_t i = 0; windows != NULL && i < last && i < WINDOWS_MAX; i++) {
        const struct window *window = &callers->windows[i];

        fprintf(windows, "%" PRIu64 " %u %u %u\n",
                callers->start_us + i * WINDOW_US, window->served,
                window->refused, window->reset);
    }
}

/// Reads "NAME=ADDRESS=FLOWS" into a service and its flows.
static void
add_service(struct callers *callers, const char *text, bool tcp,
            uint64_t now_us)
{
    struct service *service = &callers->services[callers->service_count++];
    char address[SL_ADDRESS_TEXT_BYTES];
    unsigned flows;

    errno = EINVAL;
    if (sscanf(text, "%47[^=]=%55[^=]=%u", service->name, address, &flows) !=
        3) {
        standin_fail("service", text);
    }
    service->address = standin_address(address);
    service->tcp = tcp;
    add_flows(callers, service, flows, now_us);
}

int
main(int argc, char **argv)
{
    static struct callers callers;
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "seed");
    struct arg_int *seconds = arg_int1(NULL, "seconds", "N", "run time");
    struct arg_str *encap = arg_str1(NULL, "encap", "ADDRESS", "own port");
    struct arg_str *fabric = arg_str1(NULL, "fabric", "ADDRESS", "fabric");
    struct arg_str *zone = arg_str0(NULL, "zone", "NAME", "leaves");
    struct arg_file *log = arg_file0(NULL, "windows", "FILE", "per 100 ms");
    struct arg_str *udp =
        arg_strn(NULL, "udp", "NAME=ADDRESS=FLOWS", 0, SERVICES_MAX / 2, "");
    struct arg_str *tcp =
        arg_strn(NULL, "tcp", "NAME=ADDRESS=FLOWS", 0, SERVICES_MAX / 2, "");
    struct arg_end *end = arg_end(8);
    void *table[] = {seed, seconds, encap, fabric, zone, log, udp, tcp, end};
    struct epoll_event event = {.events = EPOLLIN, .data = {.ptr = NULL}};
    struct SlAddress own;
    FILE *windows = NULL;

    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "standin_callers");
        return 2;
    }
    signal(SIGUSR1, on_signal);
    signal(SIGUSR2, on_signal);
    setvbuf(stdout, NULL, _IOLBF, 0);
    callers.random = seed->count > 0 ? (uint64_t)seed->ival[0] : 1;
    callers.start_us = standin_now_us();
    callers.zone_out = zone->count > 0 ? zone->sval[0] : "";
    callers.poll_fd = epoll_create1(EPOLL_CLOEXEC);
    own = standin_address(encap->sval[0]);
    callers.encap = standin_socket(&own, NULL);
    callers.fabric = standin_address(fabric->sval[0]);
    epoll_ctl(callers.poll_fd, EPOLL_CTL_ADD, callers.encap, &event);
    for (int i = 0; i < udp->count; i++) {
        add_service(&callers, udp->sval[i], false, callers.start_us);
    }
    for (int i = 0; i < tcp->count; i++) {
        add_service(&callers, tcp->sval[i], true, callers.start_us);
    }
    if (log->count > 0) {
        windows = fopen(log->filename[0], "w");
    }
    run(&callers, callers.start_us + (uint64_t)seconds->ival[0] * 1000000U);
    print_counts(&callers, windows, standin_now_us());
    if (windows != NULL) {
        fclose(windows);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return 0;
}
