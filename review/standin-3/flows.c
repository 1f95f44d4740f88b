/// Bursts of users while the entries are restarted in turn. Checks FLOW (a):
/// no client gets a reset of the system's own on a flow that is open at its
/// endpoint.
///
///     flows PROGRAM RECORD SECONDS TROUBLE
///
/// Exit code: 0 if the rule held, 1 if it was broken, 2 if it could not run.

#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "site.h"

enum {
    CONTROLS = 3,
    ZONES = 2,
    ENTRIES_PER_ZONE = 3,
    ENTRIES = ZONES * ENTRIES_PER_ZONE,
    ENDPOINTS = 4,
    SLOTS = 3,
    QUEUE = 12,
    FLOWS_PER_ENDPOINT = 2000,
    FLOW_TABLE = 1 << 16,
    CLIENT_ADDRESSES = 8,
    HEARTBEAT_MS = 1200,
    STATUS_PORT = 8443,
    ORDER_PORT = 8080,
    STATUS_WORK_US = 22 * 1000,
    ORDER_WORK_US = 29 * 1000,
    /// Pause of a user between two requests on a long flow.
    PAUSE_US = 500 * 1000,
    STATUS_USERS = 153,
    ORDERS_PER_S = 92,
    /// A burst multiplies users and orders by 1.7 for 3 s.
    BURST_PERCENT = 170,
    BURST_US = 3 * 1000 * 1000,
    CALM_US = 3 * 1000 * 1000,
    USERS_MAX = STATUS_USERS * BURST_PERCENT / 100,
    ROLL_GAP_US = 1100 * 1000,
    RESTART_US = 500 * 1000,
    OPEN_TIMEOUT_US = 1400 * 1000,
    RESEND_US = 200 * 1000,
    RESEND_MAX_US = 1600 * 1000,
    RESENDS_MAX = 8,
    IDLE_US = 15 * 1000 * 1000,
    RETRIES = 2,
    RESET_WINDOW = 76800,
    REQUEST_BYTES = 200,
    ANSWER_BYTES = 600,
    STATUS_DEADLINE_US = 1200 * 1000,
    ORDER_DEADLINE_US = 1500 * 1000,
    START_TIMEOUT_US = 20 * 1000 * 1000,
};

/// A flow as one endpoint knows it.
struct held_flow {
    uint32_t ip;
    uint16_t port;
    uint16_t service_port;
    uint32_t seq;
    uint32_t next;
    bool open;
    bool client_closed;
    bool closing;
    uint32_t resends;
    uint64_t resend_due_us;
    uint64_t opened_us;
    uint64_t used_us;
    /// The request that waits or runs; 0 when there is none.
    uint64_t request;
    uint64_t done_us;
    uint64_t answered;
};

struct endpoint {
    struct node *node;
    int socket;
    uint64_t busy_until_us[SLOTS];
    uint32_t flow_count;
    struct held_flow flows[FLOWS_PER_ENDPOINT];
};

enum client_state {
    CLIENT_IDLE = 0,
    CLIENT_OPENING,
    CLIENT_OPEN,
    CLIENT_ASKING,
};

struct client {
    enum client_state state;
    bool is_order;
    bool is_extra;
    uint32_t zone;
    uint32_t address;
    uint16_t port;
    uint32_t seq;
    uint32_t ack;
    /// Copies of the opening packet after the first, and the entries to which
    /// the routers sent each.
    uint32_t copies;
    uint32_t opening_entries[3];
    uint32_t tries_left;
    uint64_t request;
    uint64_t first_us;
    uint64_t began_us;
    uint64_t next_us;
    uint64_t resend_us;
    uint64_t interval_us;
};

struct router_entry {
    struct node *node;
    uint32_t zone;
    volatile bool in_rotation;
};

enum {
    ORDER_CLIENTS = 600,
    CLIENTS = USERS_MAX + ORDER_CLIENTS,
};

static struct site site;
static struct endpoint endpoints[ENDPOINTS];
static struct router_entry entries[ENTRIES];
static struct client clients[CLIENTS];
static int client_sockets[CLIENT_ADDRESSES];
/// Client by address and port.
static struct client *by_port[CLIENT_ADDRESSES][65536];
static uint16_t next_port[CLIENT_ADDRESSES];
static volatile bool stopping;
static uint64_t next_request = 1;
static uint32_t opened;
static uint32_t answered;
static uint32_t resets;
static uint32_t resets_of_open;
static uint32_t resets_in_window;
static uint32_t late;

/* ---- endpoints ---- */

static struct held_flow *
find_held(struct endpoint *endpoint, uint32_t ip, uint16_t port)
{
    for (uint32_t i = 0; i < endpoint->flow_count; i++) {
        if (endpoint->flows[i].ip == ip && endpoint->flows[i].port == port) {
            return &endpoint->flows[i];
        }
    }
    return NULL;
}

static void
remove_held(struct endpoint *endpoint, struct held_flow *flow)
{
    *flow = endpoint->flows[--endpoint->flow_count];
}

static void
endpoint_send(struct endpoint *endpoint, const struct held_flow *flow,
              uint8_t flags, uint32_t seq, const uint8_t *data,
              uint32_t data_bytes)
{
    uint8_t bytes[PACKET_BYTES];
    struct packet packet = {.source_ip = site_ip(&site, 3, 1),
                            .source_port = flow->service_port,
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
endpoint_bounce(struct endpoint *endpoint, const uint8_t *bytes,
                uint32_t length_bytes)
{
    uint8_t copy[PACKET_BYTES];

    memcpy(copy, bytes, length_bytes);
    copy[28] |= FLAG_BOUNCED;
    memset(copy + 29, 0, 5);
    udp_send(endpoint->socket, site_ip(&site, 0, endpoint->node->number),
             OUTBOUND_PORT, copy, length_bytes);
}

static uint32_t
requests_at(const struct endpoint *endpoint)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < endpoint->flow_count; i++) {
        count += endpoint->flows[i].request != 0;
    }
    return count;
}

static void
endpoint_take_request(struct endpoint *endpoint, struct held_flow *flow,
                      const struct packet *packet, uint64_t now)
{
    uint64_t request;
    uint32_t work_us =
        flow->service_port == ORDER_PORT ? ORDER_WORK_US : STATUS_WORK_US;
    uint32_t first = 0;

    memcpy(&request, packet->data, sizeof(request));
    if (packet->seq != flow->next || flow->request != 0 ||
        request == flow->answered) {
        return;
    }
    for (uint32_t i = 1; i < SLOTS; i++) {
        if (endpoint->busy_until_us[i] < endpoint->busy_until_us[first]) {
            first = i;
        }
    }
    if (endpoint->busy_until_us[first] < now) {
        endpoint->busy_until_us[first] = now;
    }
    endpoint->busy_until_us[first] += work_us / 2 + random_below(work_us);
    flow->request = request;
    flow->done_us = endpoint->busy_until_us[first];
    flow->next = packet->seq + packet->data_bytes;
}

static void
endpoint_handle(struct endpoint *endpoint, const uint8_t *bytes,
                uint32_t length_bytes, uint64_t now)
{
    struct packet packet;
    struct held_flow *flow;

    if (!packet_read(bytes, length_bytes, &packet) ||
        !packet_sum_is_valid(bytes, length_bytes)) {
        note(&site, "UNASKED: endpoint %u got a changed packet",
             endpoint->node->number);
        return;
    }
    flow = find_held(endpoint, packet.source_ip, packet.source_port);
    if (packet.flags == FLAG_SYN) {
        if (flow == NULL) {
            if (endpoint->flow_count == FLOWS_PER_ENDPOINT ||
                requests_at(endpoint) >= SLOTS + QUEUE) {
                endpoint_bounce(endpoint, bytes, length_bytes);
                return;
            }
            flow = &endpoint->flows[endpoint->flow_count++];
            *flow = (struct held_flow){.ip = packet.source_ip,
                                       .port = packet.source_port,
                                       .service_port = packet.destination_port,
                                       .seq = random_below(1u << 30) + 1,
                                       .next = packet.seq + 1,
                                       .resend_due_us = now + RESEND_US};
        }
        if (!flow->open) {
            endpoint_send(endpoint, flow, FLAG_SYN | FLAG_ACK, flow->seq, NULL,
                          0);
        }
        flow->used_us = now;
        return;
    }
    if (flow == NULL || (!flow->open && packet.ack != flow->seq + 1)) {
        endpoint_bounce(endpoint, bytes, length_bytes);
        return;
    }
    if (!flow->open) {
        flow->open = true;
        flow->opened_us = now;
        opened++;
    }
    flow->used_us = now;
    flow->resend_due_us = 0;
    if (packet.flags & FLAG_RST) {
        remove_held(endpoint, flow);
        return;
    }
    if (packet.data_bytes >= sizeof(uint64_t)) {
        endpoint_take_request(endpoint, flow, &packet, now);
    }
    if ((packet.flags & FLAG_FIN) && flow->request == 0) {
        flow->next = packet.seq + 1;
        endpoint_send(endpoint, flow, FLAG_FIN | FLAG_ACK, flow->seq + 1, NULL,
                      0);
        remove_held(endpoint, flow);
    }
}

static void
endpoint_tick(struct endpoint *endpoint, uint64_t now)
{
    for (uint32_t i = 0; i < endpoint->flow_count;) {
        struct held_flow *flow = &endpoint->flows[i];

        if (flow->request != 0 && now >= flow->done_us) {
            uint8_t data[ANSWER_BYTES] = {0};

            memcpy(data, &flow->request, sizeof(flow->request));
            flow->answered = flow->request;
            flow->request = 0;
            endpoint_send(endpoint, flow, FLAG_ACK, flow->seq + 1, data,
                          sizeof(data));
        }
        if (!flow->open && flow->resend_due_us != 0 &&
            now >= flow->resend_due_us) {
            if (flow->resends == RESENDS_MAX) {
                remove_held(endpoint, flow);
                continue;
            }
            flow->resends++;
            flow->resend_due_us =
                now + (flow->resends < 3 ? RESEND_US << flow->resends
                                         : RESEND_MAX_US);
            endpoint_send(endpoint, flow, FLAG_SYN | FLAG_ACK, flow->seq, NULL,
                          0);
        }
        if (now - flow->used_us > IDLE_US) {
            remove_held(endpoint, flow);
            continue;
        }
        i++;
    }
}

static struct held_flow *
find_open(uint32_t ip, uint16_t port, uint32_t *number)
{
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        struct held_flow *flow = find_held(&endpoints[i], ip, port);

        if (flow != NULL && flow->open) {
            *number = endpoints[i].node->number;
            return flow;
        }
    }
    return NULL;
}

/// Heartbeats, and the health interface, of one endpoint.
static void *
run_heartbeats(void *argument)
{
    struct endpoint *endpoint = argument;
    char path[64];
    char body[512];
    uint64_t born_ms = (uint64_t)time(NULL) * 1000;
    uint32_t seq = 0;

    snprintf(path, sizeof(path), "/api/instances/i-%08x",
             endpoint->node->number * 2654435761u);
    while (!stopping) {
        snprintf(body, sizeof(body),
                 "{\"service\":\"%s\",\"address\":\"127.%u.0.%u:%u\","
                 "\"zone\":\"%s\",\"version\":\"v1\",\"concurrency\":%u,"
                 "\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":%u,"
                 "\"born\":%llu}",
                 endpoint->node->service, site.net, endpoint->node->number,
                 APP_PORT, endpoint->node->zone, SLOTS, ++seq,
                 (unsigned long long)born_ms);
        (void)http_call(site_ip(&site, 0, endpoint->node->number),
                        CONTROL_PORT, "PUT", path, body, 1000, NULL, 0);
        usleep(HEARTBEAT_MS * 1000);
    }
    return NULL;
}

/* ---- routers ---- */

/// Asks an entry twice a second whether it is ready; after two misses it is
/// out of rotation.
static void *
run_readiness(void *argument)
{
    struct router_entry *entry = argument;
    uint32_t misses = 2;

    while (!stopping) {
        uint64_t began_us = now_us();
        int status =
            http_call(site_ip(&site, 0, entry->node->number), READY_PORT,
                      "GET", "/api/readiness", NULL, 450, NULL, 0);
        bool ready;
        uint64_t took_us;

        misses = status == 200 ? 0 : misses + 1;
        ready = misses < 2;
        if (ready != entry->in_rotation) {
            note(&site, "entry %u is %s rotation", entry->node->number,
                 ready ? "in" : "out of");
            entry->in_rotation = ready;
        }
        took_us = now_us() - began_us;
        if (took_us < 500 * US_PER_MS) {
            usleep((useconds_t)(500 * US_PER_MS - took_us));
        }
    }
    return NULL;
}

/// The entry that gets the packets of a client's port now: by a hash modulo
/// the number of those in rotation, or of all if those are fewer than half.
static const struct router_entry *
route(uint32_t zone, uint32_t address, uint16_t port)
{
    const struct router_entry *in[ENTRIES];
    const struct router_entry *all[ENTRIES];
    uint32_t in_count = 0;
    uint32_t all_count = 0;
    uint32_t hash = (address * 65536u + port) * 2654435761u >> 8;

    for (uint32_t i = 0; i < ENTRIES; i++) {
        if (entries[i].zone != zone) {
            continue;
        }
        all[all_count++] = &entries[i];
        if (entries[i].in_rotation) {
            in[in_count++] = &entries[i];
        }
    }
    return in_count * 2 < all_count ? all[hash % all_count]
                                    : in[hash % in_count];
}

/* ---- clients ---- */

static void
client_send(struct client *client, uint8_t flags, uint32_t data_bytes)
{
    uint8_t data[REQUEST_BYTES] = {0};
    uint8_t bytes[PACKET_BYTES];
    struct packet packet = {
        .source_ip = site_ip(&site, 2, client->address + 1),
        .source_port = client->port,
        .destination_ip = site_ip(&site, 3, 1),
        .destination_port = client->is_order ? ORDER_PORT : STATUS_PORT,
        .seq = client->seq,
        .ack = flags == FLAG_SYN ? client->copies : client->ack,
        .flags = flags,
        .data = data,
        .data_bytes = data_bytes};
    const struct router_entry *entry =
        route(client->zone, client->address, client->port);

    if (flags == FLAG_SYN) {
        client->opening_entries[client->copies] = entry->node->number;
    }
    memcpy(data, &client->request, sizeof(client->request));
    udp_send(client_sockets[client->address],
             site_ip(&site, 0, entry->node->number), DATAGRAM_PORT, bytes,
             packet_write(&packet, bytes));
}

static void
client_leave_port(struct client *client)
{
    if (client->port != 0) {
        by_port[client->address][client->port] = NULL;
        client->port = 0;
    }
}

static void
client_open(struct client *client, uint64_t now)
{
    client_leave_port(client);
    client->address = random_below(CLIENT_ADDRESSES);
    client->zone = client->address % ZONES;
    do {
        client->port = next_port[client->address]++;
    } while (client->port < 1024 ||
             by_port[client->address][client->port] != NULL);
    by_port[client->address][client->port] = client;
    client->state = CLIENT_OPENING;
    client->seq = random_below(1u << 30);
    client->ack = 0;
    client->copies = 0;
    client->began_us = now;
    client->resend_us = now + RESEND_US;
    client_send(client, FLAG_SYN, 0);
}

static void
client_begin(struct client *client, uint64_t now)
{
    client->tries_left = RETRIES;
    client->first_us = now;
    client->request = next_request++;
    client_open(client, now);
}

/// The try has failed; the next one follows on a new flow, if the request may
/// be sent again.
static void
client_fail(struct client *client, uint64_t now, bool has_opened)
{
    uint64_t deadline_us =
        client->is_order ? ORDER_DEADLINE_US : STATUS_DEADLINE_US;

    client_leave_port(client);
    client->state = CLIENT_IDLE;
    client->next_us = now + PAUSE_US / 2 + random_below(PAUSE_US);
    if (client->tries_left > 0 && (!has_opened || !client->is_order) &&
        now - client->first_us < deadline_us) {
        client->tries_left--;
        client->request = next_request++;
        client_open(client, now);
        return;
    }
    late++;
}

static void
client_ask(struct client *client, uint64_t now)
{
    client->state = CLIENT_ASKING;
    client->interval_us = RESEND_US;
    client->resend_us = now + RESEND_US;
    client_send(client, FLAG_ACK, REQUEST_BYTES);
}

static void
client_handle_reset(struct client *client, const struct packet *packet,
                    bool by_system, uint64_t now)
{
    bool has_opened = client->state != CLIENT_OPENING;
    bool in_window =
        packet->seq - client->ack + RESET_WINDOW <= 2 * RESET_WINDOW;
    uint32_t number = 0;
    struct held_flow *flow =
        find_open(packet->destination_ip, packet->destination_port, &number);

    resets++;
    if (by_system && flow != NULL) {
        resets_of_open++;
        resets_in_window += in_window;
        note(&site,
             "FLOW: client %u:%u (port %u) got a reset of the system, seq %u, "
             "last ack %u (%s 76800), while its flow was open at endpoint %u "
             "since %llu ms; client saw it as %s; opening packets to entries "
             "%u, %u, %u",
             client->address + 1, packet->destination_port,
             packet->source_port, packet->seq, client->ack,
             in_window ? "within" : "beyond", number,
             (unsigned long long)((now - flow->opened_us) / US_PER_MS),
             has_opened ? "open" : "opening", client->opening_entries[0],
             client->copies > 0 ? client->opening_entries[1] : 0,
             client->copies > 1 ? client->opening_entries[2] : 0);
    }
    if (!has_opened || in_window || !by_system) {
        client_fail(client, now, has_opened);
    }
}

static void
client_handle(uint32_t address, const uint8_t *bytes, uint32_t length_bytes,
              uint64_t now)
{
    struct packet packet;
    struct client *client;
    bool by_system = packet_is_system_reset(bytes, length_bytes);
    uint64_t request;

    if (!packet_read(bytes, length_bytes, &packet) ||
        (!by_system && !packet_sum_is_valid(bytes, length_bytes))) {
        note(&site, "MIXED: client %u got a changed packet", address + 1);
        return;
    }
    client = by_port[address][packet.destination_port];
    if (client == NULL) {
        return;
    }
    if (packet.flags & FLAG_RST) {
        client_handle_reset(client, &packet, by_system, now);
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
        if (request != client->request) {
            return;
        }
        answered++;
        client->seq += REQUEST_BYTES;
        client->state = CLIENT_OPEN;
        client->next_us = now + PAUSE_US / 2 + random_below(PAUSE_US);
        if (client->is_order) {
            client_send(client, FLAG_FIN | FLAG_ACK, 0);
            client_leave_port(client);
            client->state = CLIENT_IDLE;
            client->next_us = UINT64_MAX;
        }
    }
}

static void
client_tick(struct client *client, uint64_t now, bool may_begin)
{
    uint64_t deadline_us =
        client->is_order ? ORDER_DEADLINE_US : STATUS_DEADLINE_US;

    switch (client->state) {
    case CLIENT_IDLE:
        if (!client->is_order && may_begin && now >= client->next_us) {
            client_begin(client, now);
        }
        break;
    case CLIENT_OPENING:
        if (now - client->began_us > OPEN_TIMEOUT_US ||
            now - client->first_us > deadline_us) {
            client_fail(client, now, false);
        }
        else if (client->copies < 2 && now >= client->resend_us) {
            client->copies++;
            client->resend_us = client->began_us + 3 * RESEND_US;
            client_send(client, FLAG_SYN, 0);
        }
        break;
    case CLIENT_OPEN:
        if (client->is_extra && !may_begin) {
            client_send(client, FLAG_FIN | FLAG_ACK, 0);
            client_leave_port(client);
            client->state = CLIENT_IDLE;
        }
        else if (now >= client->next_us) {
            client->first_us = now;
            client->tries_left = RETRIES;
            client->request = next_request++;
            client_ask(client, now);
        }
        break;
    case CLIENT_ASKING:
        if (now - client->first_us > deadline_us) {
            client->tries_left = 0;
            client_send(client, FLAG_FIN | FLAG_ACK, 0);
            client_fail(client, now, true);
        }
        else if (now >= client->resend_us) {
            client->interval_us = client->interval_us * 2 < RESEND_MAX_US
                                      ? client->interval_us * 2
                                      : RESEND_MAX_US;
            client->resend_us = now + client->interval_us;
            client_send(client, FLAG_ACK, REQUEST_BYTES);
        }
        break;
    }
}

static void
begin_orders(uint64_t now, uint32_t per_s)
{
    static uint64_t due_us;

    if (due_us == 0) {
        due_us = now;
    }
    for (uint32_t i = USERS_MAX; i < CLIENTS && due_us <= now; i++) {
        if (clients[i].state == CLIENT_IDLE) {
            client_begin(&clients[i], now);
            due_us += US_PER_S / per_s;
        }
    }
}

/* ---- the site ---- */

static bool
put_config(void)
{
    char body[2048];

    snprintf(body, sizeof(body),
             "{\"version\":7,\"routes\":[{\"name\":\"r-status\",\"host\":"
             "\"127.%u.3.1\",\"path_prefix\":\"/%u/\",\"type\":\"idempotent\","
             "\"timeout_ms\":1200,\"slo_ms\":120,\"priority\":2,\"service\":"
             "\"workroom\",\"max_attempts\":2},{\"name\":\"r-order\",\"host\":"
             "\"127.%u.3.1\",\"path_prefix\":\"/%u/\",\"type\":"
             "\"non_idempotent\",\"timeout_ms\":1500,\"slo_ms\":150,"
             "\"priority\":1,\"service\":\"workroom\",\"max_attempts\":2}],"
             "\"services\":[{\"name\":\"workroom\",\"health_path\":\"\","
             "\"max_conns\":2000,\"protocol\":\"h1\",\"tls\":false,"
             "\"cold_start_s\":2.0,\"cold_per_s\":0.0}],\"limits\":{"
             "\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
             "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
             site.net, STATUS_PORT, site.net, ORDER_PORT);
    for (uint32_t i = 0; i < 40; i++) {
        uint32_t number = i % CONTROLS + 1;

        if (http_call(site_ip(&site, 0, number), CONTROL_PORT, "PUT",
                      "/api/config", body, 1000, NULL, 0) == 200) {
            note(&site, "configuration 7 acknowledged by control %u", number);
            return true;
        }
        usleep(300 * 1000);
    }
    return false;
}

/// Stops one entry after the other and starts it again.
static void
roll_entries(uint64_t now)
{
    static uint64_t next_us;
    static uint32_t next;
    static uint64_t restart_us[ENTRIES];

    for (uint32_t i = 0; i < ENTRIES; i++) {
        if (restart_us[i] == 0 && site_reap(entries[i].node)) {
            restart_us[i] = now + RESTART_US;
        }
        if (restart_us[i] != 0 && now >= restart_us[i]) {
            restart_us[i] = 0;
            site_start(&site, entries[i].node);
        }
    }
    if (now >= next_us && entries[next].node->pid != 0) {
        next_us = now + ROLL_GAP_US;
        site_signal(&site, entries[next].node, SIGTERM);
        next = (next + 1) % ENTRIES;
    }
}

static void
receive_all(void)
{
    struct pollfd watches[ENDPOINTS + CLIENT_ADDRESSES];
    uint8_t bytes[2048];
    ssize_t length;

    for (uint32_t i = 0; i < ENDPOINTS + CLIENT_ADDRESSES; i++) {
        watches[i] = (struct pollfd){.fd = i < ENDPOINTS
                                               ? endpoints[i].socket
                                               : client_sockets[i - ENDPOINTS],
                                     .events = POLLIN};
    }
    (void)poll(watches, ENDPOINTS + CLIENT_ADDRESSES, 1);
    for (uint32_t i = 0; i < ENDPOINTS + CLIENT_ADDRESSES; i++) {
        while ((length = recv(watches[i].fd, bytes, sizeof(bytes),
                              MSG_DONTWAIT)) > 0) {
            if (i < ENDPOINTS) {
                endpoint_handle(&endpoints[i], bytes, (uint32_t)length,
                                now_us());
            }
            else {
                client_handle(i - ENDPOINTS, bytes, (uint32_t)length,
                              now_us());
            }
        }
    }
}

static bool
open_site(const char *program, const char *record)
{
    static const char *const ZONE_NAMES[] = {"a", "b"};
    pthread_t thread;

    if (!site_open(&site, program, record)) {
        return false;
    }
    for (uint32_t i = 0; i < CONTROLS; i++) {
        (void)site_add(&site, ROLE_CONTROL, ZONE_NAMES[i % ZONES], "");
    }
    for (uint32_t i = 0; i < ENTRIES; i++) {
        entries[i].zone = i % ZONES;
        entries[i].node =
            site_add(&site, ROLE_ENTRY, ZONE_NAMES[i % ZONES], "");
    }
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        endpoints[i].node =
            site_add(&site, ROLE_AGENT, ZONE_NAMES[i % ZONES], "workroom");
        endpoints[i].socket =
            udp_open(site_ip(&site, 0, endpoints[i].node->number), APP_PORT);
        if (endpoints[i].socket < 0) {
            return false;
        }
    }
    for (uint32_t i = 0; i < CLIENT_ADDRESSES; i++) {
        next_port[i] = 1024;
        client_sockets[i] = udp_open(site_ip(&site, 2, i + 1), DATAGRAM_PORT);
        if (client_sockets[i] < 0) {
            return false;
        }
    }
    for (uint32_t i = 0; i < site.node_count; i++) {
        site_start(&site, &site.nodes[i]);
    }
    for (uint32_t i = 0; i < ENDPOINTS; i++) {
        pthread_create(&thread, NULL, run_heartbeats, &endpoints[i]);
    }
    for (uint32_t i = 0; i < ENTRIES; i++) {
        pthread_create(&thread, NULL, run_readiness, &entries[i]);
    }
    return true;
}

static bool
await_ready(void)
{
    uint64_t until_us = now_us() + START_TIMEOUT_US;
    uint32_t ready = 0;

    while (ready < ENTRIES && now_us() < until_us) {
        ready = 0;
        for (uint32_t i = 0; i < ENTRIES; i++) {
            ready += entries[i].in_rotation;
        }
        usleep(100 * 1000);
    }
    return ready == ENTRIES;
}

static void
play(uint64_t seconds, bool trouble)
{
    uint64_t began_us = now_us();
    uint64_t until_us = began_us + seconds * US_PER_S;
    bool was_burst = false;

    for (uint32_t i = 0; i < CLIENTS; i++) {
        clients[i].is_order = i >= USERS_MAX;
        clients[i].is_extra = !clients[i].is_order && i >= STATUS_USERS;
        clients[i].next_us = began_us + random_below(US_PER_S);
    }
    for (uint64_t now = began_us; now < until_us; now = now_us()) {
        bool burst =
            trouble && (now - began_us) % (CALM_US + BURST_US) >= CALM_US;

        if (burst != was_burst) {
            was_burst = burst;
            note(&site, "burst %s; %u answered, %u failed, %u resets",
                 burst ? "begins" : "ends", answered, late, resets);
            for (uint32_t i = STATUS_USERS; burst && i < USERS_MAX; i++) {
                clients[i].next_us = now + random_below(US_PER_S / 2);
            }
        }
        receive_all();
        now = now_us();
        for (uint32_t i = 0; i < ENDPOINTS; i++) {
            endpoint_tick(&endpoints[i], now);
        }
        begin_orders(now, burst ? ORDERS_PER_S * BURST_PERCENT / 100
                                : ORDERS_PER_S);
        for (uint32_t i = 0; i < CLIENTS; i++) {
            client_tick(&clients[i], now, !clients[i].is_extra || burst);
        }
        if (trouble) {
            roll_entries(now);
        }
    }
}

int
main(int argc, char **argv)
{
    bool ok;

    if (argc != 5) {
        return 2;
    }
    ok = open_site(argv[1], argv[2]) && put_config() && await_ready();
    if (ok) {
        usleep(1000 * 1000);
        play(strtoul(argv[3], NULL, 10), atoi(argv[4]) != 0);
    }
    stopping = true;
    note(&site,
         "%u flows opened, %u requests answered, %u failed, %u resets, %u of "
         "them on an open flow, %u of these within 76800 of the last ack",
         opened, answered, late, resets, resets_of_open, resets_in_window);
    site_close(&site);
    return !ok || answered == 0 ? 2 : resets_of_open > 0;
}
