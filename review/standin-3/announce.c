/// The endpoint of a zone ends as planned and comes back cold, while the
/// control process to which its agent is linked stands still. Checks FLOW (a)
/// on the flows of the new incarnation, once all machines are in touch again.
///
///     announce PROGRAM RECORD TROUBLE
///
/// Exit code: 0 if the rule held, 1 if it was broken, 2 if it could not run.

#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "site.h"

enum {
    CONTROLS = 3,
    ZONES = 3,
    ENDPOINTS = ZONES,
    SLOTS = 5,
    FLOWS = 80,
    SERVICE_PORT = 8443,
    HEARTBEAT_MS = 1200,
    DRAIN_MS = 3000,
    COLD_MS = 2000,
    WORK_US = 30 * 1000,
    RESEND_US = 200 * 1000,
    REQUEST_BYTES = 200,
    ANSWER_BYTES = 600,
    RESET_WINDOW = 76800,
    /// Until all agents are linked, and how often the site is started.
    LINKED_MS = 1500,
    TRIES_MAX = 5,
    /// Until every agent has passed all packets for the idle time-out.
    SETTLED_MS = 20 * 1000,
    /// Times from the last heartbeat of the endpoint that ends, until the
    /// control process stands still, and until the endpoint says that it is
    /// gone.
    FREEZE_MS = 1200,
    DELETE_MS = 1300,
    /// Times from the freeze: start of the endpoint, first and last flow, end
    /// of the freeze.
    RESTART_MS = 2550,
    OPEN_MS = 2650,
    OPENED_MS = 2900,
    THAW_MS = 3000,
    /// contact_ms, and the time in which the second requests are sent.
    CONTACT_MS = 4000,
    ASK_MS = 600,
};

struct held_flow {
    bool used;
    uint32_t ip;
    uint16_t port;
    uint32_t seq;
    uint32_t next;
    bool open;
    uint64_t request;
    uint64_t done_us;
};

struct endpoint {
    struct node *node;
    int socket;
    bool running;
    const char *state;
    char id[32];
    uint32_t start_count;
    uint32_t seq;
    uint64_t born_ms;
    uint64_t cold_until_us;
    uint64_t heartbeat_us;
    uint64_t last_heartbeat_us;
    struct held_flow flows[FLOWS];
};

enum client_state {
    CLIENT_NEW = 0,
    CLIENT_OPENING,
    CLIENT_ASKING,
    CLIENT_OPEN,
    CLIENT_ENDED,
};

struct client {
    enum client_state state;
    uint16_t port;
    uint32_t zone;
    uint32_t seq;
    uint32_t ack;
    uint32_t copies;
    uint64_t request;
    uint64_t began_us;
    uint64_t resend_us;
    uint64_t open_us;
    uint64_t ask_us;
    uint32_t answers;
};

static struct site site;
static struct endpoint endpoints[ENDPOINTS];
static struct node *entries[ZONES];
static struct client clients[FLOWS];
static int client_sockets[ZONES];
static uint32_t broken;
static uint32_t resets;
/// From when on all machines are in touch; 0 before.
static uint64_t in_touch_us;

/* ---- endpoints ---- */

static struct held_flow *
find_held(struct endpoint *endpoint, uint32_t ip, uint16_t port)
{
    for (uint32_t i = 0; i < FLOWS; i++) {
        struct held_flow *flow = &endpoint->flows[i];

        if (flow->used && flow->ip == ip && flow->port == port) {
            return flow;
        }
    }
    return NULL;
}

static void
endpoint_send(struct endpoint *endpoint, const struct held_flow *flow,
              uint8_t flags, uint32_t seq, const uint8_t *data,
              uint32_t data_bytes)
{
    uint8_t bytes[PACKET_BYTES];
    struct packet packet = {.source_ip = site_ip(&site, 3, 1),
                            .source_port = SERVICE_PORT,
                            .destination_ip = flow->ip,
                            .destination_port = flow->port,
                            .seq = seq,
                            .ack = flow->next,
                            .flags = flags,
                            .data = data,
                            .data_bytes = data_bytes};

    udp_send(endpoint->socket, site_ip(&site, 0, endpoint->node->number),
             OUTBOUND_PORT, bytes, packet_write(&packet, bytes));
}

static void
endpoint_handle(struct endpoint *endpoint, uint8_t *bytes,
                uint32_t length_bytes, uint64_t now)
{
    struct packet packet;
    struct held_flow *flow;

    if (!endpoint->running || !packet_read(bytes, length_bytes, &packet)) {
        return;
    }
    if (!packet_sum_is_valid(bytes, length_bytes)) {
        note(&site, "UNASKED: endpoint %u got a changed packet",
             endpoint->node->number);
        return;
    }
    flow = find_held(endpoint, packet.source_ip, packet.source_port);
    if (packet.flags == FLAG_SYN) {
        for (uint32_t i = 0; flow == NULL && i < FLOWS; i++) {
            if (!endpoint->flows[i].used) {
                flow = &endpoint->flows[i];
                *flow = (struct held_flow){.used = true,
                                           .ip = packet.source_ip,
                                           .port = packet.source_port,
                                           .seq = random_below(1u << 30) + 1,
                                           .next = packet.seq + 1};
            }
        }
        if (flow != NULL && !flow->open) {
            endpoint_send(endpoint, flow, FLAG_SYN | FLAG_ACK, flow->seq, NULL,
                          0);
        }
        return;
    }
    if (flow == NULL || (!flow->open && packet.ack != flow->seq + 1)) {
        bytes[28] |= FLAG_BOUNCED;
        memset(bytes + 29, 0, 5);
        udp_send(endpoint->socket, site_ip(&site, 0, endpoint->node->number),
                 OUTBOUND_PORT, bytes, length_bytes);
        return;
    }
    flow->open = true;
    if (packet.data_bytes >= sizeof(flow->request) &&
        packet.seq == flow->next && flow->request == 0) {
        memcpy(&flow->request, packet.data, sizeof(flow->request));
        flow->next += packet.data_bytes;
        flow->done_us = now + WORK_US;
    }
}

static void
endpoint_tick(struct endpoint *endpoint, uint64_t now)
{
    for (uint32_t i = 0; i < FLOWS; i++) {
        struct held_flow *flow = &endpoint->flows[i];
        uint8_t data[ANSWER_BYTES] = {0};

        if (flow->used && flow->request != 0 && now >= flow->done_us) {
            memcpy(data, &flow->request, sizeof(flow->request));
            flow->request = 0;
            endpoint_send(endpoint, flow, FLAG_ACK, flow->seq + 1, data,
                          sizeof(data));
        }
    }
}

static int
send_heartbeat(struct endpoint *endpoint)
{
    char path[64];
    char body[512];
    uint64_t now = now_us();
    uint64_t cold_us =
        endpoint->cold_until_us > now ? endpoint->cold_until_us - now : 0;

    snprintf(path, sizeof(path), "/api/instances/%s", endpoint->id);
    snprintf(body, sizeof(body),
             "{\"service\":\"%s\",\"address\":\"127.%u.0.%u:%u\",\"zone\":"
             "\"%s\",\"version\":\"v1\",\"concurrency\":%u,\"state\":\"%s\","
             "\"cold_left_ms\":%u,\"seq\":%u,\"born\":%llu}",
             endpoint->node->service, site.net, endpoint->node->number,
             APP_PORT, endpoint->node->zone, SLOTS, endpoint->state,
             (unsigned)(cold_us / US_PER_MS), ++endpoint->seq,
             (unsigned long long)endpoint->born_ms);
    endpoint->last_heartbeat_us = now;
    endpoint->heartbeat_us =
        endpoint->last_heartbeat_us + HEARTBEAT_MS * (uint64_t)US_PER_MS;
    return http_call(site_ip(&site, 0, endpoint->node->number), CONTROL_PORT,
                     "PUT", path, body, 1000, NULL, 0);
}

static void
start_endpoint(struct endpoint *endpoint)
{
    struct timespec wall;
    int status;

    endpoint->running = true;
    endpoint->state = "ready";
    endpoint->seq = 0;
    /* An endpoint is cold when it starts during traffic. */
    endpoint->cold_until_us = endpoint->start_count > 0
                                  ? now_us() + COLD_MS * (uint64_t)US_PER_MS
                                  : 0;
    clock_gettime(CLOCK_REALTIME, &wall);
    endpoint->born_ms =
        (uint64_t)wall.tv_sec * 1000 + (uint64_t)wall.tv_nsec / 1000000;
    memset(endpoint->flows, 0, sizeof(endpoint->flows));
    snprintf(endpoint->id, sizeof(endpoint->id), "i-%u-%u",
             endpoint->node->number, ++endpoint->start_count);
    status = send_heartbeat(endpoint);
    note(&site, "endpoint %s starts; its heartbeat gets %d", endpoint->id,
         status);
}

static void
delete_endpoint(struct endpoint *endpoint)
{
    char path[64];
    int status;

    snprintf(path, sizeof(path), "/api/instances/%s", endpoint->id);
    status = http_call(site_ip(&site, 0, endpoint->node->number), CONTROL_PORT,
                       "DELETE", path, NULL, 1000, NULL, 0);
    endpoint->running = false;
    note(&site, "endpoint %s ends; its DELETE gets %d", endpoint->id, status);
}

/* ---- clients ---- */

static void
client_send(struct client *client, uint8_t flags, uint32_t data_bytes)
{
    uint8_t data[REQUEST_BYTES] = {0};
    uint8_t bytes[PACKET_BYTES];
    struct packet packet = {.source_ip = site_ip(&site, 2, client->zone + 1),
                            .source_port = client->port,
                            .destination_ip = site_ip(&site, 3, 1),
                            .destination_port = SERVICE_PORT,
                            .seq = client->seq,
                            .ack = flags == FLAG_SYN ? client->copies
                                                     : client->ack,
                            .flags = flags,
                            .data = data,
                            .data_bytes = data_bytes};

    memcpy(data, &client->request, sizeof(client->request));
    udp_send(client_sockets[client->zone],
             site_ip(&site, 0, entries[client->zone]->number), DATAGRAM_PORT,
             bytes, packet_write(&packet, bytes));
}

static void
client_ask(struct client *client, uint64_t now)
{
    static uint64_t next_request = 1;

    client->state = CLIENT_ASKING;
    client->request = next_request++;
    client->resend_us = now + RESEND_US;
    client_send(client, FLAG_ACK, REQUEST_BYTES);
}

static struct endpoint *
find_holder(const struct client *client)
{
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        struct held_flow *flow = find_held(
            &endpoints[i], site_ip(&site, 2, client->zone + 1), client->port);

        if (endpoints[i].running && flow != NULL && flow->open) {
            return &endpoints[i];
        }
    }
    return NULL;
}

static void
client_handle(uint32_t zone, const uint8_t *bytes, uint32_t length_bytes,
              uint64_t now)
{
    struct packet packet;
    struct client *client = NULL;
    bool by_system = packet_is_system_reset(bytes, length_bytes);
    uint64_t request;

    if (!packet_read(bytes, length_bytes, &packet)) {
        return;
    }
    for (uint32_t i = 0; i < FLOWS; i++) {
        if (clients[i].zone == zone &&
            clients[i].port == packet.destination_port) {
            client = &clients[i];
        }
    }
    if (client == NULL || client->state == CLIENT_ENDED) {
        return;
    }
    if (packet.flags & FLAG_RST) {
        bool in_window =
            packet.seq - client->ack + RESET_WINDOW <= 2 * RESET_WINDOW;
        struct endpoint *holder = find_holder(client);
        bool counts = by_system && holder != NULL && in_touch_us != 0 &&
                      now >= in_touch_us;

        resets++;
        broken += counts;
        note(&site,
             "%s: client %u:%u got a reset %s, seq %u, last ack %u (%s "
             "76800); its flow is %s %s",
             counts ? "FLOW" : "reset", zone + 1, client->port,
             by_system ? "of the system" : "of its endpoint", packet.seq,
             client->ack, in_window ? "within" : "beyond",
             holder != NULL ? "open at endpoint" : "not open",
             holder != NULL ? holder->id : "");
        if (in_window || client->state == CLIENT_OPENING) {
            client->state = CLIENT_ENDED;
        }
    }
    else if (packet.flags == (FLAG_SYN | FLAG_ACK)) {
        if (client->state == CLIENT_OPENING) {
            client->ack = packet.seq + 1;
            client->seq++;
            client_ask(client, now);
        }
    }
    else if (packet.data_bytes >= sizeof(request) &&
             client->state == CLIENT_ASKING) {
        memcpy(&request, packet.data, sizeof(request));
        if (request == client->request) {
            client->answers++;
            client->seq += REQUEST_BYTES;
            client->state = CLIENT_OPEN;
        }
    }
}

static void
client_tick(struct client *client, uint64_t now)
{
    switch (client->state) {
    case CLIENT_NEW:
        if (client->open_us != 0 && now >= client->open_us) {
            client->state = CLIENT_OPENING;
            client->seq = random_below(1u << 30);
            client->began_us = now;
            client->resend_us = now + RESEND_US;
            client_send(client, FLAG_SYN, 0);
        }
        break;
    case CLIENT_OPENING:
        if (client->copies < 2 && now >= client->resend_us) {
            client->copies++;
            client->resend_us = client->began_us + 3 * RESEND_US;
            client_send(client, FLAG_SYN, 0);
        }
        break;
    case CLIENT_ASKING:
        if (now >= client->resend_us) {
            client->resend_us = now + 2 * RESEND_US;
            client_send(client, FLAG_ACK, REQUEST_BYTES);
        }
        break;
    case CLIENT_OPEN:
        if (client->ask_us != 0 && now >= client->ask_us) {
            client->ask_us = 0;
            client_ask(client, now);
        }
        break;
    case CLIENT_ENDED:
        break;
    }
}

/* ---- the site ---- */

static void
run_until(uint64_t until_us)
{
    struct pollfd watches[ENDPOINTS + ZONES];
    uint8_t bytes[2048];
    ssize_t length;

    for (uint64_t now = now_us(); now < until_us; now = now_us()) {
        for (uint32_t i = 0; i < ENDPOINTS + ZONES; i++) {
            watches[i] = (struct pollfd){
                .fd = i < ENDPOINTS ? endpoints[i].socket
                                    : client_sockets[i - ENDPOINTS],
                .events = POLLIN};
        }
        (void)poll(watches, ENDPOINTS + ZONES, 1);
        for (uint32_t i = 0; i < ENDPOINTS + ZONES; i++) {
            while ((length = recv(watches[i].fd, bytes, sizeof(bytes),
                                  MSG_DONTWAIT)) > 0) {
                if (i < ENDPOINTS) {
                    endpoint_handle(&endpoints[i], bytes, (uint32_t)length,
                                    now);
                }
                else {
                    client_handle(i - ENDPOINTS, bytes, (uint32_t)length, now);
                }
            }
        }
        for (uint32_t i = 0; i < ENDPOINTS; i++) {
            endpoint_tick(&endpoints[i], now);
            if (endpoints[i].running && now >= endpoints[i].heartbeat_us) {
                (void)send_heartbeat(&endpoints[i]);
            }
        }
        for (uint32_t i = 0; i < FLOWS; i++) {
            client_tick(&clients[i], now);
        }
    }
}

static bool
put_config(void)
{
    char body[1024];

    snprintf(
        body, sizeof(body),
        "{\"version\":7,\"routes\":[{\"name\":\"r-booking\",\"host\":"
        "\"127.%u.3.1\",\"path_prefix\":\"/%u/\",\"type\":"
        "\"non_idempotent\",\"timeout_ms\":3000,\"slo_ms\":200,"
        "\"priority\":1,\"service\":\"coop-desk\",\"max_attempts\":2}],"
        "\"services\":[{\"name\":\"coop-desk\",\"health_path\":"
        "\"/health\",\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false,"
        "\"cold_start_s\":2.0,\"cold_per_s\":0.0}],\"limits\":{"
        "\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
        site.net, SERVICE_PORT);
    for (uint32_t i = 0; i < 40; i++) {
        if (http_call(site_ip(&site, 0, i % CONTROLS + 1), CONTROL_PORT, "PUT",
                      "/api/config", body, 1000, NULL, 0) == 200) {
            note(&site, "configuration 7 acknowledged");
            return true;
        }
        usleep(300 * 1000);
    }
    return false;
}

/// Returns the number of the control process to which an agent is linked, by
/// its log; 0 if there is none.
static uint32_t
linked_control(const struct node *agent)
{
    char path[320];
    char line[1024];
    uint32_t linked = 0;
    FILE *log;

    snprintf(path, sizeof(path), "%s/node-%u.log", site.folder, agent->number);
    log = fopen(path, "r");
    while (log != NULL && fgets(line, sizeof(line), log) != NULL) {
        const char *peer = strstr(line, "peer=control-127.");
        uint32_t number = 0;

        if (peer == NULL ||
            sscanf(peer, "peer=control-127.%*u.1.%u", &number) != 1) {
            continue;
        }
        if (strstr(line, "SL1500 link_up") != NULL) {
            linked = number;
        }
        else if (strstr(line, "SL1501 link_down") != NULL &&
                 linked == number) {
            linked = 0;
        }
    }
    if (log != NULL) {
        fclose(log);
    }
    return linked;
}

/// Returns the number of the control process that was elected last.
static uint32_t
find_leader(void)
{
    double latest = 0;
    uint32_t leader = 0;

    for (uint32_t i = 1; i <= CONTROLS; i++) {
        char path[320];
        char line[1024];
        FILE *log;

        snprintf(path, sizeof(path), "%s/node-%u.log", site.folder, i);
        log = fopen(path, "r");
        while (log != NULL && fgets(line, sizeof(line), log) != NULL) {
            const char *time = strstr(line, "t=");

            if (strstr(line, "SL1300 elected") != NULL && time != NULL &&
                strtod(time + 2, NULL) > latest) {
                latest = strtod(time + 2, NULL);
                leader = i;
            }
        }
        if (log != NULL) {
            fclose(log);
        }
    }
    return leader;
}

static bool
open_site(const char *program, const char *record)
{
    static const char *const ZONE_NAMES[] = {"a", "b", "c"};

    if (!site_open(&site, program, record)) {
        return false;
    }
    site.has_proxies = true;
    for (uint32_t i = 0; i < CONTROLS; i++) {
        if (!site_start_proxy(
                &site, site_add(&site, ROLE_CONTROL, ZONE_NAMES[i], ""))) {
            return false;
        }
    }
    for (uint32_t i = 0; i < ZONES; i++) {
        entries[i] = site_add(&site, ROLE_ENTRY, ZONE_NAMES[i], "");
        client_sockets[i] = udp_open(site_ip(&site, 2, i + 1), DATAGRAM_PORT);
        if (client_sockets[i] < 0) {
            return false;
        }
    }
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        endpoints[i].node =
            site_add(&site, ROLE_AGENT, ZONE_NAMES[i % ZONES], "coop-desk");
        endpoints[i].socket =
            udp_open(site_ip(&site, 0, endpoints[i].node->number), APP_PORT);
        if (endpoints[i].socket < 0) {
            return false;
        }
    }
    for (uint32_t i = 0; i < site.node_count; i++) {
        site_start(&site, &site.nodes[i]);
    }
    usleep(500 * 1000);
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        start_endpoint(&endpoints[i]);
    }
    return true;
}

/// Chooses an endpoint whose agent is linked to a control process that does
/// not lead. Returns that process, or NULL.
static struct node *
choose_endpoint(struct endpoint **chosen)
{
    uint32_t leader = find_leader();

    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        uint32_t control = linked_control(endpoints[i].node);

        if (control != 0 && control != leader) {
            note(&site, "agent %u is linked to control %u; control %u leads",
                 endpoints[i].node->number, control, leader);
            *chosen = &endpoints[i];
            return &site.nodes[control - 1];
        }
    }
    return NULL;
}

static uint64_t
after_ms(uint64_t from_us, uint32_t ms)
{
    return from_us + ms * (uint64_t)US_PER_MS;
}

static void
play(struct endpoint *endpoint, struct node *control, bool trouble)
{
    uint64_t from_us;
    uint64_t ask_us;
    uint32_t on_endpoint = 0;
    uint32_t answered = 0;

    endpoint->state = "draining";
    note(&site, "endpoint %s drains; its heartbeat gets %d", endpoint->id,
         send_heartbeat(endpoint));
    run_until(after_ms(now_us(), DRAIN_MS));
    run_until(endpoint->heartbeat_us);
    note(&site, "last heartbeat of endpoint %s gets %d", endpoint->id,
         send_heartbeat(endpoint));
    endpoint->heartbeat_us = UINT64_MAX;
    from_us = endpoint->last_heartbeat_us;
    run_until(after_ms(from_us, FREEZE_MS));
    if (trouble) {
        site_signal(&site, control, SIGSTOP);
    }
    run_until(after_ms(from_us, DELETE_MS));
    delete_endpoint(endpoint);
    from_us = after_ms(from_us, FREEZE_MS);
    run_until(after_ms(from_us, RESTART_MS));
    start_endpoint(endpoint);
    for (uint32_t i = 0; i < FLOWS; i++) {
        clients[i].open_us =
            after_ms(from_us, OPEN_MS + (OPENED_MS - OPEN_MS) * i / FLOWS);
    }
    run_until(after_ms(from_us, THAW_MS));
    if (trouble) {
        site_signal(&site, control, SIGCONT);
    }
    in_touch_us = after_ms(now_us(), CONTACT_MS);
    ask_us = in_touch_us + 10 * US_PER_MS;
    run_until(in_touch_us - 200 * US_PER_MS);
    for (uint32_t i = 0; i < FLOWS; i++) {
        on_endpoint += find_holder(&clients[i]) == endpoint;
        clients[i].ask_us = ask_us + (uint64_t)i * ASK_MS * US_PER_MS / FLOWS;
    }
    note(&site, "%u flows are open at endpoint %s", on_endpoint, endpoint->id);
    run_until(after_ms(ask_us, ASK_MS + 3000));
    for (uint32_t i = 0; i < FLOWS; i++) {
        answered += clients[i].answers;
    }
    note(&site, "%u of %u requests answered, %u resets, %u break FLOW",
         answered, 2 * FLOWS, resets, broken);
}

/// Starts over, with another choice of links, if all agents are linked to the
/// control process that leads. Does not return then.
static void
start_over(char **argv)
{
    const char *tries = getenv("ANNOUNCE_TRIES");
    char text[16];

    snprintf(text, sizeof(text), "%d", tries != NULL ? atoi(tries) + 1 : 1);
    if (atoi(text) < TRIES_MAX) {
        site_close(&site);
        setenv("ANNOUNCE_TRIES", text, 1);
        execv("/proc/self/exe", argv);
    }
}

int
main(int argc, char **argv)
{
    struct endpoint *endpoint = NULL;
    struct node *control = NULL;
    bool ok;

    if (argc != 4) {
        return 2;
    }
    ok = open_site(argv[1], argv[2]) && put_config();
    for (uint32_t i = 0; i < FLOWS; i++) {
        clients[i].zone = i % ZONES;
        clients[i].port = (uint16_t)(20000 + i);
    }
    if (ok) {
        run_until(after_ms(now_us(), LINKED_MS));
        if (choose_endpoint(&endpoint) == NULL) {
            start_over(argv);
        }
        run_until(after_ms(now_us(), SETTLED_MS));
        control = choose_endpoint(&endpoint);
    }
    if (control != NULL) {
        play(endpoint, control, atoi(argv[3]) != 0);
    }
    site_close(&site);
    return control == NULL ? 2 : broken > 0;
}
