/// Simulates callers: UDP flows over ordinary sockets, and TCP flows whose
/// segments this program builds itself and sends as encap packets.
///
/// Half of the flows are status feeds that never end; the others send a few
/// requests and are replaced by a new flow. After its first answer a flow
/// counts as broken if it is reset, gets no answer any more, or is answered by
/// another upstream. Flows to upstreams of the evacuated zone count as given
/// up instead. SIGUSR1 tells that the zone named by --zone is evacuated, and
/// SIGUSR2 that it is back in service.

#include <argtable2.h>
#include <netinet/in.h>
#include <sys/epoll.h>

#include "stub_callers.h"

enum {
    FIRST_PORT = 20000,
    BATCH = 64,
    PAUSE_MEAN_MS = 600,
    /// Time for which the upstream works on a request.
    REQUEST_WORK_MS = 4,
    SHORT_FLOW_REQUESTS = 5,
    WINDOW_BYTES = 65535,
};

static volatile sig_atomic_t zone_is_evacuated;

static void
on_signal(int number)
{
    zone_is_evacuated = number == SIGUSR1;
}

static struct window *
find_window(struct callers *callers, uint64_t now_us)
{
    uint64_t index = (now_us - callers->start_us) / WINDOW_US;

    return &callers->windows[index < WINDOWS_MAX ? index : WINDOWS_MAX - 1];
}

static int
find_or_add_upstream(struct callers *callers, const struct stub_answer *answer)
{
    struct known_upstream *known;

    for (int i = 0; i < callers->upstream_count; i++) {
        if (strcmp(callers->upstreams[i].name, answer->upstream) == 0) {
            return i;
        }
    }
    if (callers->upstream_count == UPSTREAMS_MAX) {
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
    uint8_t bytes[STUB_DATAGRAM_BYTES];
    const struct SlTcpSegment segment = {
        .source = flow->address,
        .destination = flow->service->address,
        .flags = flags,
        .seq = flow->seq,
        .ack = flags & SL_TCP_ACK ? flow->ack : 0,
        .window = WINDOW_BYTES,
        .mss_bytes = flags & SL_TCP_SYN ? 1460 : 0,
        .payload = (const uint8_t *)payload,
        .payload_bytes = payload != NULL ? (uint32_t)strlen(payload) : 0,
    };

    stub_send(callers->encap_fd, &callers->fabric, bytes,
              SlPacket_BuildTcp(&segment, bytes, sizeof(bytes)));
}

/// Sends, or sends again, the packet that the flow's state requires.
static void
send_current(struct callers *callers, struct flow *flow, uint64_t now_us)
{
    char text[STUB_TEXT_BYTES];

    stub_format_request(text, flow->service->name, flow->request,
                        REQUEST_WORK_MS);
    flow->due_us = now_us + RESEND_US;
    if (flow->state == FLOW_OPENING) {
        send_segment(callers, flow, SL_TCP_SYN, NULL);
    }
    else if (flow->state == FLOW_CLOSING) {
        send_segment(callers, flow, SL_TCP_FIN | SL_TCP_ACK, NULL);
    }
    else if (flow->service->is_tcp) {
        send_segment(callers, flow, SL_TCP_PSH | SL_TCP_ACK, text);
    }
    else {
        (void)send(flow->fd, text, strlen(text), 0);
    }
}

static void
enter_state(struct callers *callers, struct flow *flow, enum flow_state state,
            uint64_t now_us)
{
    flow->state = state;
    flow->resends = 0;
    flow->request_us = now_us;
    send_current(callers, flow, now_us);
}

static void
start_flow(struct callers *callers, struct flow *flow, uint64_t now_us)
{
    struct epoll_event event = {.events = EPOLLIN, .data = {.ptr = flow}};

    callers->counts.flows++;
    flow->upstream = -1;
    flow->request++;
    flow->requests_left =
        1 + stub_random(&callers->random, 2 * SHORT_FLOW_REQUESTS);
    if (flow->service->is_tcp) {
        flow->address.port++;
        flow->seq = stub_random(&callers->random, 1U << 30);
        enter_state(callers, flow, FLOW_OPENING, now_us);
        return;
    }
    flow->fd = stub_open_socket(NULL, &flow->service->address);
    epoll_ctl(callers->poll_fd, EPOLL_CTL_ADD, flow->fd, &event);
    enter_state(callers, flow, FLOW_REQUESTING, now_us);
}

/// Ends a flow; a new flow replaces it after wait_us.
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
is_in_evacuated_zone(const struct callers *callers, const struct flow *flow)
{
    return zone_is_evacuated && flow->upstream >= 0 &&
           strcmp(callers->upstreams[flow->upstream].zone,
                  callers->evacuated_zone) == 0;
}

/// Ends a flow that cannot continue and counts it as refused, given up or
/// broken. reason is a static string, printed for a broken flow.
static void
fail_flow(struct callers *callers, struct flow *flow, uint64_t now_us,
          const char *reason)
{
    struct counts *counts = &callers->counts;
    char text[SL_ADDRESS_TEXT_BYTES];

    if (flow->upstream < 0) {
        counts->refused++;
        find_window(callers, now_us)->refused++;
    }
    else if (is_in_evacuated_zone(callers, flow)) {
        counts->given_up++;
        find_window(callers, now_us)->reset++;
    }
    else {
        counts->broken++;
        find_window(callers, now_us)->reset++;
        printf("callers broken reason=%s t_us=%" PRIu64
               " service=%s upstream=%s own=%s request=%u\n",
               reason, now_us, flow->service->name,
               callers->upstreams[flow->upstream].name,
               SlAddress_Format(&flow->address, text), flow->request);
    }
    end_flow(flow, now_us, BACKOFF_US);
}

static void
handle_answer(struct callers *callers, struct flow *flow,
              const struct stub_answer *answer, uint64_t now_us)
{
    int upstream = find_or_add_upstream(callers, answer);

    if (strcmp(answer->service, flow->service->name) != 0) {
        callers->counts.foreign++;
    }
    if (flow->upstream >= 0 && flow->upstream != upstream) {
        callers->counts.moved++;
        fail_flow(callers, flow, now_us, "moved");
        return;
    }
    flow->upstream = upstream;
    if (answer->id != flow->request || flow->state != FLOW_REQUESTING) {
        return;
    }
    callers->counts.answers++;
    find_window(callers, now_us)->served++;
    flow->state = FLOW_PAUSED;
    flow->due_us =
        now_us + 1000ULL * (PAUSE_MEAN_MS / 2 +
                            stub_random(&callers->random, PAUSE_MEAN_MS));
}

static void
read_datagrams(struct callers *callers, struct flow *flow, uint64_t now_us)
{
    uint8_t bytes[STUB_DATAGRAM_BYTES];
    struct stub_answer answer;

    while (flow->fd >= 0) {
        ssize_t count = recv(flow->fd, bytes, sizeof(bytes), 0);

        if (count < 0) {
            return;
        }
        if (stub_parse_answer(bytes, (size_t)count, &answer)) {
            handle_answer(callers, flow, &answer, now_us);
        }
    }
}

/// Finds the flow of a packet, or of a packet quoted in an ICMP error. Returns
/// NULL if the flow has ended.
static struct flow *
find_flow(struct callers *callers, const struct SlAddress *address,
          const struct SlAddress *service)
{
    for (uint32_t i = 0; i < callers->flow_count; i++) {
        struct flow *flow = &callers->flows[i];
        struct sockaddr_storage sock;
        socklen_t length = sizeof(sock);

        if (!flow->service->is_tcp && flow->fd >= 0 &&
            getsockname(flow->fd, (struct sockaddr *)&sock, &length) == 0) {
            SlAddress_FromSockaddr((struct sockaddr *)&sock, &flow->address);
        }
        if (flow->state != FLOW_IDLE &&
            SlAddress_Equal(&flow->address, address) &&
            SlAddress_Equal(&flow->service->address, service)) {
            return flow;
        }
    }
    return NULL;
}

static void
handle_segment(struct callers *callers, struct flow *flow,
               const struct SlPacket *packet, uint64_t now_us)
{
    struct stub_answer answer;

    if (packet->tcp_flags & SL_TCP_RST && flow->state == FLOW_CLOSING) {
        end_flow(flow, now_us, BACKOFF_US);
    }
    else if (packet->tcp_flags & SL_TCP_RST) {
        fail_flow(callers, flow, now_us, "reset");
    }
    else if (flow->state == FLOW_OPENING) {
        if (packet->tcp_flags & SL_TCP_SYN) {
            flow->seq++;
            flow->ack = packet->tcp_seq + 1;
            enter_state(callers, flow, FLOW_REQUESTING, now_us);
        }
    }
    else if (flow->state == FLOW_CLOSING) {
        if (packet->tcp_flags & SL_TCP_FIN) {
            flow->seq++;
            flow->ack++;
            send_segment(callers, flow, SL_TCP_ACK, NULL);
            end_flow(flow, now_us, BACKOFF_US);
        }
    }
    else if (packet->payload_bytes > 0 && packet->tcp_seq == flow->ack) {
        char text[STUB_TEXT_BYTES];

        flow->ack += packet->payload_bytes;
        flow->seq += (uint32_t)stub_format_request(
            text, flow->service->name, flow->request, REQUEST_WORK_MS);
        send_segment(callers, flow, SL_TCP_ACK, NULL);
        if (stub_parse_answer(packet->bytes + packet->payload_offset,
                              packet->payload_bytes, &answer)) {
            handle_answer(callers, flow, &answer, now_us);
        }
    }
}

static void
read_encap(struct callers *callers, uint64_t now_us)
{
    uint8_t bytes[STUB_DATAGRAM_BYTES];
    struct SlPacket packet;
    struct SlAddress from;
    struct flow *flow;

    for (int i = 0; i < BATCH; i++) {
        ssize_t count =
            stub_receive(callers->encap_fd, &from, bytes, sizeof(bytes));

        if (count < 0) {
            return;
        }
        if (SlPacket_Parse(bytes, (uint32_t)count, &packet) != SL_OK) {
            continue;
        }
        if (packet.kind == SL_PACKET_TCP) {
            flow = find_flow(callers, &packet.destination, &packet.source);
            if (flow != NULL && flow->service->is_tcp) {
                handle_segment(callers, flow, &packet, now_us);
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
resend_or_fail(struct callers *callers, struct flow *flow, uint64_t now_us)
{
    if (flow->resends == RESENDS_MAX) {
        callers->counts.silent++;
        if (flow->state == FLOW_CLOSING) {
            end_flow(flow, now_us, BACKOFF_US);
        }
        else {
            fail_flow(callers, flow, now_us, "silent");
        }
        return;
    }
    flow->resends++;
    callers->counts.resends++;
    send_current(callers, flow, now_us);
}

static void
advance_flow(struct callers *callers, struct flow *flow, uint64_t now_us)
{
    if (now_us < flow->due_us) {
        return;
    }
    if (flow->state == FLOW_IDLE) {
        start_flow(callers, flow, now_us);
    }
    else if (flow->state != FLOW_PAUSED) {
        resend_or_fail(callers, flow, now_us);
    }
    else if (flow->is_endless || --flow->requests_left > 0) {
        flow->request++;
        enter_state(callers, flow, FLOW_REQUESTING, now_us);
    }
    else if (flow->service->is_tcp) {
        enter_state(callers, flow, FLOW_CLOSING, now_us);
    }
    else {
        end_flow(flow, now_us, BACKOFF_US);
    }
}

static void
print_open_flows(const struct callers *callers, const char *when)
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
run_callers(struct callers *callers, uint64_t end_us)
{
    struct epoll_event events[BATCH];
    bool was_evacuated = false;
    uint64_t now_us;

    while ((now_us = stub_now_us()) < end_us) {
        int count = epoll_wait(callers->poll_fd, events, BATCH, 2);

        if (zone_is_evacuated && !was_evacuated) {
            print_open_flows(callers, "before");
        }
        was_evacuated = zone_is_evacuated;
        for (int i = 0; i < count; i++) {
            if (events[i].data.ptr == NULL) {
                read_encap(callers, now_us);
            }
            else {
                read_datagrams(callers, (struct flow *)events[i].data.ptr,
                               now_us);
            }
        }
        for (uint32_t i = 0; i < callers->flow_count; i++) {
            advance_flow(callers, &callers->flows[i], now_us);
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
        flow->address = stub_parse_address(text);
        flow->fd = -1;
        flow->service = service;
        flow->is_endless = i % 2 == 0;
        flow->due_us = now_us + 1000ULL * stub_random(&callers->random, 4000);
    }
}

static void
print_counts(const struct callers *callers, FILE *windows, uint64_t now_us)
{
    const struct counts *counts = &callers->counts;
    uint64_t window_count = (now_us - callers->start_us) / WINDOW_US;

    print_open_flows(callers, "end");
    printf("callers flows=%" PRIu64 " broken=%" PRIu64 " given_up=%" PRIu64
           " refused=%" PRIu64 " moved=%" PRIu64 " silent=%" PRIu64
           " foreign=%" PRIu64 " answers=%" PRIu64 " resends=%" PRIu64 "\n",
           counts->flows, counts->broken, counts->given_up, counts->refused,
           counts->moved, counts->silent, counts->foreign, counts->answers,
           counts->resends);
    for (uint64_t i = 0;
         windows != NULL && i < window_count && i < WINDOWS_MAX; i++) {
        const struct window *window = &callers->windows[i];

        fprintf(windows, "%" PRIu64 " %u %u %u\n",
                callers->start_us + i * WINDOW_US, window->served,
                window->refused, window->reset);
    }
}

/// Adds the service and the flows that "NAME=ADDRESS=FLOWS" describes.
static void
add_service(struct callers *callers, const char *text, bool is_tcp,
            uint64_t now_us)
{
    struct service *service = &callers->services[callers->service_count++];
    char address[SL_ADDRESS_TEXT_BYTES];
    unsigned flows;

    errno = EINVAL;
    if (sscanf(text, "%47[^=]=%55[^=]=%u", service->name, address, &flows) !=
        3) {
        stub_fail("service", text);
    }
    service->address = stub_parse_address(address);
    service->is_tcp = is_tcp;
    add_flows(callers, service, flows, now_us);
}

int
main(int argc, char **argv)
{
    static struct callers callers;
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed");
    struct arg_int *seconds = arg_int1(NULL, "seconds", "N", "run time");
    struct arg_str *encap =
        arg_str1(NULL, "encap", "ADDRESS", "local address");
    struct arg_str *fabric =
        arg_str1(NULL, "fabric", "ADDRESS", "fabric address");
    struct arg_str *zone = arg_str0(NULL, "zone", "NAME", "evacuated zone");
    struct arg_file *log =
        arg_file0(NULL, "windows", "FILE", "counts per 100 ms");
    struct arg_str *udp =
        arg_strn(NULL, "udp", "NAME=ADDRESS=FLOWS", 0, SERVICES_MAX / 2, "");
    struct arg_str *tcp =
        arg_strn(NULL, "tcp", "NAME=ADDRESS=FLOWS", 0, SERVICES_MAX / 2, "");
    struct arg_end *end = arg_end(8);
    void *table[] = {seed, seconds, encap, fabric, zone, log, udp, tcp, end};
    struct epoll_event event = {.events = EPOLLIN, .data = {.ptr = NULL}};
    struct SlAddress address;
    FILE *windows = NULL;

    if (arg_parse(argc, argv, table) > 0) {
        arg_print_errors(stderr, end, "stub_callers");
        return 2;
    }
    signal(SIGUSR1, on_signal);
    signal(SIGUSR2, on_signal);
    setvbuf(stdout, NULL, _IOLBF, 0);
    callers.random = seed->count > 0 ? (uint64_t)seed->ival[0] : 1;
    callers.start_us = stub_now_us();
    callers.evacuated_zone = zone->count > 0 ? zone->sval[0] : "";
    callers.poll_fd = epoll_create1(EPOLL_CLOEXEC);
    address = stub_parse_address(encap->sval[0]);
    callers.encap_fd = stub_open_socket(&address, NULL);
    callers.fabric = stub_parse_address(fabric->sval[0]);
    epoll_ctl(callers.poll_fd, EPOLL_CTL_ADD, callers.encap_fd, &event);
    for (int i = 0; i < udp->count; i++) {
        add_service(&callers, udp->sval[i], false, callers.start_us);
    }
    for (int i = 0; i < tcp->count; i++) {
        add_service(&callers, tcp->sval[i], true, callers.start_us);
    }
    if (log->count > 0) {
        windows = fopen(log->filename[0], "w");
    }
    run_callers(&callers,
                callers.start_us + (uint64_t)seconds->ival[0] * 1000000U);
    print_counts(&callers, windows, stub_now_us());
    if (windows != NULL) {
        fclose(windows);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return 0;
}
