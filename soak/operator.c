/// The operator of the soak: configurations and zones, sent again while no
/// clear answer comes, and read back all the time.

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

enum {
    CHANGE_US = 900 * 1000,
    READ_US = 250 * 1000,
    PATIENCE_US = 1000 * 1000,
    /// After an acknowledgement no instance may show an older version.
    APPLY_US = 3 * 1000 * 1000,
    SPARE_ROUTES = 20,
    BODY_BYTES = 16 * 1024,
    ROUTE_BYTES = 256,
    ORDERS = 8,
};

/// A configuration or an order about a zone, under way.
struct order {
    bool used;
    bool is_zone;
    bool out;
    uint32_t zone;
    uint64_t version;
    uint64_t sent_us;
    uint64_t next_us;
    bool waiting;
};

struct reading {
    bool used;
    uint64_t least;
    uint32_t from;
};

static struct soak *site;
static struct order orders[ORDERS];
static struct reading readings[ORDERS];
static uint64_t version;
static uint64_t accepted;
static uint64_t accepted_us;
/// What was accepted longer than APPLY_US ago.
static uint64_t settled;
static uint64_t change_us;
static uint64_t read_us;
static bool zone_busy[SOAK_ZONES];
static bool read_back;

bool
operator_ready(void)
{
    return accepted > 0;
}

uint32_t
operator_service_of(uint16_t port)
{
    return port == 8443;
}

static void
write_config(uint64_t number, char *body, size_t room_bytes)
{
    size_t used = (size_t)snprintf(
        body, room_bytes,
        "{\"version\":%llu,\"services\":[{\"name\":\"service-0\","
        "\"max_conns\":2000,\"cold_start_s\":2.0,\"cold_per_s\":10.0},"
        "{\"name\":\"service-1\",\"max_conns\":2000,\"cold_start_s\":2.0,"
        "\"cold_per_s\":10.0}],\"limits\":{\"idle_timeout_ms\":15000},"
        "\"routes\":[",
        (unsigned long long)number);

    for (uint32_t i = 0; i < 2 + SPARE_ROUTES; i++) {
        used += (size_t)snprintf(
            body + used, room_bytes - used,
            "%s{\"name\":\"route-%u\",\"host\":\"127.%u.3.%u\","
            "\"path_prefix\":\"/%u/\",\"type\":\"idempotent\","
            "\"timeout_ms\":%llu,\"slo_ms\":200,\"priority\":1,"
            "\"service\":\"service-%u\"}",
            i == 0 ? "" : ",", i, site->net, i < 2 ? 1 : i + 1,
            i == 1 ? 8443 : 8080, (unsigned long long)(2000 + number), i == 1);
    }
    (void)snprintf(body + used, room_bytes - used, "]}");
}

static struct SlAddress
any_control(void)
{
    uint32_t numbers[SOAK_NODES];
    uint32_t count = 0;

    for (uint32_t i = 0; i < site->node_count; i++) {
        if (site->nodes[i].role == SOAK_CONTROL) {
            numbers[count++] = site->nodes[i].number;
        }
    }
    return soak_address(site, 0, numbers[soak_random(site, count)],
                        SOAK_CONTROL_PORT);
}

static void
accept_order(struct order *order, uint64_t now_us)
{
    order->used = false;
    if (order->is_zone) {
        zone_busy[order->zone] = false;
        site->zone_out_us[order->zone] = order->out ? now_us : 0;
        return;
    }
    if (order->version > accepted) {
        accepted = order->version;
        accepted_us = now_us;
    }
}

static void
order_done(void *context, uint32_t status, const char *body, size_t body_bytes)
{
    struct order *order = context;
    uint64_t now_us = SlClock_Monotonic();

    (void)body;
    (void)body_bytes;
    order->waiting = false;
    order->next_us = now_us + 100ull * US_PER_MS;
    if (status == 200) {
        accept_order(order, now_us);
    }
    else if (status >= 400 && status < 500) {
        soak_broken(site, "a proper order was refused with %u", status);
        order->used = false;
    }
}

static void
send_order(struct order *order)
{
    static char body[BODY_BYTES];
    char path[64];
    struct http_call call = {.to = any_control(),
                             .patience_us = PATIENCE_US,
                             .path = path,
                             .context = order,
                             .done = order_done};

    order->waiting = true;
    if (order->is_zone) {
        call.method = order->out ? "POST" : "DELETE";
        snprintf(path, sizeof(path), "/api/evacuations/zone-%u", order->zone);
    }
    else {
        call.method = "PUT";
        call.body = body;
        snprintf(path, sizeof(path), "/api/config");
        write_config(order->version, body, sizeof(body));
    }
    http_client_call(site->loop, &call);
}

static struct order *
free_order(void)
{
    for (uint32_t i = 0; i < ORDERS; i++) {
        if (!orders[i].used) {
            return &orders[i];
        }
    }
    return NULL;
}

static void
new_order(uint64_t now_us)
{
    struct order *order = free_order();
    uint32_t zone = (uint32_t)soak_random(site, SOAK_ZONES);
    bool zones_quiet = true;

    if (order == NULL) {
        return;
    }
    for (uint32_t i = 0; i < SOAK_ZONES; i++) {
        zones_quiet = zones_quiet && !zone_busy[i] &&
                      (site->zone_out_us[i] == 0 || i == zone);
    }
    *order = (struct order){.used = true, .next_us = now_us};
    if (accepted > 0 && zones_quiet && soak_random(site, 3) == 0) {
        order->is_zone = true;
        order->zone = zone;
        order->out =
            site->zone_out_us[zone] == 0 && now_us < site->faults_until_us;
        zone_busy[zone] = true;
        if (!order->out) {
            site->zone_out_us[zone] = 0;
        }
        return;
    }
    version += 1 + soak_random(site, 3);
    order->version = version;
}

static uint64_t
version_of(const char *body, size_t body_bytes)
{
    json_t *root = json_loadb(body, body_bytes, 0, NULL);
    uint64_t number =
        (uint64_t)json_integer_value(json_object_get(root, "version"));

    json_decref(root);
    return number;
}

static void
reading_done(void *context, uint32_t status, const char *body,
             size_t body_bytes)
{
    struct reading *reading = context;
    uint64_t number;

    reading->used = false;
    if (status != 200) {
        return;
    }
    number = version_of(body, body_bytes);
    if (number < reading->least) {
        soak_broken(site, "instance %u shows version %llu, %llu was accepted",
                    reading->from, (unsigned long long)number,
                    (unsigned long long)reading->least);
    }
    read_back = read_back || number >= accepted;
}

static void
read_one(void)
{
    for (uint32_t i = 0; i < ORDERS; i++) {
        struct reading *reading = &readings[i];
        struct http_call call = {.to = any_control(),
                                 .method = "GET",
                                 .path = "/api/config",
                                 .patience_us = 8ull * US_PER_S,
                                 .context = reading,
                                 .done = reading_done};

        if (!reading->used) {
            *reading = (struct reading){
                .used = true, .least = settled, .from = call.to.ip[15]};
            http_client_call(site->loop, &call);
            return;
        }
    }
}

void
operator_tick(struct soak *soak, uint64_t now_us)
{
    if (accepted_us != 0 && now_us - accepted_us > APPLY_US) {
        settled = accepted;
    }
    if (now_us >= change_us && now_us < soak->end_us) {
        change_us = now_us + soak_random(soak, 2ull * CHANGE_US);
        new_order(now_us);
    }
    if (now_us >= read_us) {
        read_us = now_us + READ_US;
        read_one();
    }
    for (uint32_t i = 0; i < ORDERS; i++) {
        if (orders[i].used && !orders[i].waiting &&
            now_us >= orders[i].next_us) {
            send_order(&orders[i]);
        }
    }
}

bool
operator_read_back(struct soak *soak)
{
    (void)soak;
    return read_back && accepted > 0;
}

enum SlStatus
operator_open(struct soak *soak)
{
    site = soak;
    return SL_OK;
}

void
operator_close(void)
{
    read_back = false;
}
