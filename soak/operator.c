/// Simulates the operator of the soak: changes the configuration, evacuates
/// zones and returns them. Each change is resent until the control plane
/// accepts or refuses it. The configuration is read back periodically.

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

enum {
    CHANGE_INTERVAL_MEAN_US = 900 * 1000,
    READ_INTERVAL_US = 250 * 1000,
    ANSWER_TIMEOUT_US = 1000 * 1000,
    /// This long after a version was accepted, no control instance may return
    /// an older one.
    APPLY_LIMIT_US = 3 * 1000 * 1000,
    UNUSED_ROUTES = 20,
    BODY_BYTES = 32 * 1024,
    REQUESTS_MAX = 8,
    /// Pauses after failed attempts: the first one, and how often it doubles.
    FIRST_PAUSE_US = 100 * 1000,
    PAUSE_DOUBLINGS_MAX = 4,
    ACCEPTED_MAX = 64,
};

/// A change of the configuration, or of the state of a zone, that has not been
/// accepted yet.
struct request {
    bool used;
    bool is_zone;
    bool is_evacuation;
    uint32_t zone;
    uint64_t version;
    uint64_t start_us;
    uint64_t next_us;
    uint32_t attempts;
    bool is_in_flight;
    /// It was not accepted in time.
    bool is_late;
};

/// A read of the configuration that has not been answered yet.
struct version_read {
    bool used;
    /// Lowest version that the control instance may return.
    uint64_t min_version;
    /// Last byte of the control instance's address.
    uint32_t instance;
};

static struct soak *site;
static struct request requests[REQUESTS_MAX];
static struct version_read version_reads[REQUESTS_MAX];
static uint64_t last_version;
static uint64_t accepted_version;
/// The last versions that were accepted while they were the newest, and when.
static struct {
    uint64_t version;
    uint64_t at_us;
} accepted[ACCEPTED_MAX];
static uint32_t accepted_count;
static uint64_t next_change_us;
static uint64_t next_read_us;
static bool zone_has_request[SOAK_ZONES];
static bool newest_was_read;

bool
operator_has_config(void)
{
    return accepted_version > 0;
}

uint64_t
operator_last_version(void)
{
    return last_version;
}

uint64_t
operator_version_accepted(uint64_t at_us, uint64_t *accepted_us)
{
    for (uint32_t i = 0; i < ACCEPTED_MAX && i < accepted_count; i++) {
        uint32_t slot = (accepted_count - 1 - i) % ACCEPTED_MAX;

        if (accepted[slot].at_us <= at_us) {
            if (accepted_us != NULL) {
                *accepted_us = accepted[slot].at_us;
            }
            return accepted[slot].version;
        }
    }
    return 0;
}

uint64_t
operator_pause_us(uint32_t attempts)
{
    uint32_t doublings =
        attempts < PAUSE_DOUBLINGS_MAX ? attempts : PAUSE_DOUBLINGS_MAX;

    return (uint64_t)FIRST_PAUSE_US << doublings;
}

uint32_t
operator_service_for_port(uint16_t port)
{
    return port == 8443;
}

/// Adds the routes of the last PROBE_ROUTES versions, one for each number.
static size_t
write_probe_routes(uint64_t number, char *out, size_t size_bytes)
{
    uint64_t first = number > PROBE_ROUTES ? number - PROBE_ROUTES + 1 : 1;
    size_t used = 0;

    for (uint64_t i = first; i <= number; i++) {
        used += (size_t)snprintf(
            out + used, size_bytes - used,
            ",{\"name\":\"probe-%llu\",\"host\":\"127.%u.3.%u\","
            "\"path_prefix\":\"/%llu/\",\"type\":\"idempotent\","
            "\"timeout_ms\":2000,\"slo_ms\":200,\"priority\":1,"
            "\"service\":\"service-0\"}",
            (unsigned long long)i, site->net, PROBE_HOST,
            (unsigned long long)(PROBE_FIRST_PORT + i));
    }
    return used;
}

static void
write_config(uint64_t number, char *body, size_t size_bytes)
{
    size_t used = (size_t)snprintf(
        body, size_bytes,
        "{\"version\":%llu,\"services\":[{\"name\":\"service-0\","
        "\"max_conns\":2000,\"cold_start_s\":2.0,\"cold_per_s\":10.0},"
        "{\"name\":\"service-1\",\"max_conns\":2000,\"cold_start_s\":2.0,"
        "\"cold_per_s\":10.0}],\"limits\":{\"idle_timeout_ms\":15000},"
        "\"routes\":[",
        (unsigned long long)number);

    for (uint32_t i = 0; i < 2 + UNUSED_ROUTES; i++) {
        used += (size_t)snprintf(
            body + used, size_bytes - used,
            "%s{\"name\":\"route-%u\",\"host\":\"127.%u.3.%u\","
            "\"path_prefix\":\"/%u/\",\"type\":\"idempotent\","
            "\"timeout_ms\":%llu,\"slo_ms\":200,\"priority\":1,"
            "\"service\":\"service-%u\"}",
            i == 0 ? "" : ",", i, site->net, i < 2 ? 1 : i + 1,
            i == 1 ? 8443 : 8080, (unsigned long long)(2000 + number), i == 1);
    }
    if (site->diskless > 0) {
        used += write_probe_routes(number, body + used, size_bytes - used);
    }
    (void)snprintf(body + used, size_bytes - used, "]}");
}

static struct SlAddress
pick_control_address(void)
{
    uint32_t numbers[SOAK_NODES_MAX];
    uint32_t count = 0;

    for (uint32_t i = 0; i < site->node_count; i++) {
        if (site->nodes[i].role == SOAK_CONTROL &&
            !site->nodes[i].is_removed) {
            numbers[count++] = site->nodes[i].number;
        }
    }
    return soak_address(site, 0, numbers[soak_random(site, count)],
                        SOAK_CONTROL_PORT);
}

static void
record_accepted(struct request *request, uint64_t now_us)
{
    request->used = false;
    if (request->is_zone) {
        zone_has_request[request->zone] = false;
        site->zone_evacuated_us[request->zone] =
            request->is_evacuation ? now_us : 0;
        return;
    }
    if (request->version > accepted_version) {
        accepted_version = request->version;
        accepted[accepted_count % ACCEPTED_MAX].version = accepted_version;
        accepted[accepted_count % ACCEPTED_MAX].at_us = now_us;
        accepted_count++;
    }
}

static void
on_request_done(void *context, uint32_t status, const char *body,
                size_t body_bytes)
{
    struct request *request = context;
    uint64_t now_us = SlClock_Monotonic();

    (void)body;
    (void)body_bytes;
    request->is_in_flight = false;
    request->next_us = now_us + operator_pause_us(request->attempts - 1);
    if (status == 200) {
        record_accepted(request, now_us);
    }
    else if (status >= 400 && status < 500) {
        soak_report_violation(
            site, "a valid change was refused with HTTP status %u", status);
        request->used = false;
    }
}

static void
send_request(struct request *request)
{
    static char body[BODY_BYTES];
    char path[64];
    struct http_call call = {.to = pick_control_address(),
                             .answer_timeout_us = ANSWER_TIMEOUT_US,
                             .path = path,
                             .context = request,
                             .done = on_request_done};

    request->is_in_flight = true;
    request->attempts++;
    if (request->is_zone) {
        call.method = request->is_evacuation ? "POST" : "DELETE";
        snprintf(path, sizeof(path), "/api/evacuations/zone-%u",
                 request->zone);
    }
    else {
        call.method = "PUT";
        call.body = body;
        snprintf(path, sizeof(path), "/api/config");
        write_config(request->version, body, sizeof(body));
    }
    http_client_call(site->loop, &call);
}

static struct request *
find_free_request(void)
{
    for (uint32_t i = 0; i < REQUESTS_MAX; i++) {
        if (!requests[i].used) {
            return &requests[i];
        }
    }
    return NULL;
}

uint64_t
operator_change_config(uint64_t now_us)
{
    struct request *request = find_free_request();

    if (request == NULL) {
        return 0;
    }
    last_version += 1 + soak_random(site, 3);
    *request = (struct request){.used = true,
                                .version = last_version,
                                .start_us = now_us,
                                .next_us = now_us};
    return last_version;
}

/// Reports a change that was not accepted in SOAK_ACCEPT_US of calm time.
static void
check_late(struct request *request, uint64_t now_us)
{
    uint64_t calm_since_us = soak_calm_since_us(site);
    uint64_t from_us =
        calm_since_us > request->start_us ? calm_since_us : request->start_us;

    if (request->is_late || from_us > now_us ||
        now_us - from_us <= SOAK_ACCEPT_US) {
        return;
    }
    request->is_late = true;
    soak_report_violation(
        site,
        "a change was not accepted for 8 s although nothing was "
        "disturbed (%u attempts)",
        request->attempts);
}

static void
start_request(uint64_t now_us)
{
    struct request *request = find_free_request();
    uint32_t zone = (uint32_t)soak_random(site, SOAK_ZONES);
    bool other_zones_in_service = true;

    if (request == NULL) {
        return;
    }
    for (uint32_t i = 0; i < SOAK_ZONES; i++) {
        other_zones_in_service =
            other_zones_in_service && !zone_has_request[i] &&
            (site->zone_evacuated_us[i] == 0 || i == zone);
    }
    if (accepted_version > 0 && other_zones_in_service &&
        soak_random(site, 3) == 0) {
        *request = (struct request){.used = true,
                                    .is_zone = true,
                                    .zone = zone,
                                    .start_us = now_us,
                                    .next_us = now_us};
        request->is_evacuation =
            site->zone_evacuated_us[zone] == 0 && now_us < site->faults_end_us;
        zone_has_request[zone] = true;
        if (!request->is_evacuation) {
            site->zone_evacuated_us[zone] = 0;
        }
        return;
    }
    (void)operator_change_config(now_us);
}

uint64_t
operator_parse_version(const char *body, size_t body_bytes)
{
    json_t *root = json_loadb(body, body_bytes, 0, NULL);
    uint64_t number =
        (uint64_t)json_integer_value(json_object_get(root, "version"));

    json_decref(root);
    return number;
}

static void
on_version_read(void *context, uint32_t status, const char *body,
                size_t body_bytes)
{
    struct version_read *version_read = context;
    uint64_t number;

    version_read->used = false;
    if (status != 200) {
        return;
    }
    number = operator_parse_version(body, body_bytes);
    if (number < version_read->min_version) {
        soak_report_violation(
            site,
            "control instance %u returned version %llu after %llu "
            "was accepted",
            version_read->instance, (unsigned long long)number,
            (unsigned long long)version_read->min_version);
    }
    newest_was_read = newest_was_read || number >= accepted_version;
}

static void
start_version_read(void)
{
    for (uint32_t i = 0; i < REQUESTS_MAX; i++) {
        struct version_read *version_read = &version_reads[i];
        struct http_call call = {.to = pick_control_address(),
                                 .method = "GET",
                                 .path = "/api/config",
                                 .answer_timeout_us = 8ull * US_PER_S,
                                 .context = version_read,
                                 .done = on_version_read};

        if (!version_read->used) {
            *version_read = (struct version_read){
                .used = true,
                .min_version = operator_version_accepted(
                    SlClock_Monotonic() - APPLY_LIMIT_US, NULL),
                .instance = call.to.ip[15]};
            http_client_call(site->loop, &call);
            return;
        }
    }
}

void
operator_tick(struct soak *soak, uint64_t now_us)
{
    if (now_us >= next_change_us && now_us < soak->end_us) {
        next_change_us =
            now_us + soak_random(soak, 2ull * CHANGE_INTERVAL_MEAN_US);
        start_request(now_us);
    }
    if (now_us >= next_read_us) {
        next_read_us = now_us + READ_INTERVAL_US;
        start_version_read();
    }
    for (uint32_t i = 0; i < REQUESTS_MAX; i++) {
        if (requests[i].used) {
            check_late(&requests[i], now_us);
        }
        if (requests[i].used && !requests[i].is_in_flight &&
            now_us >= requests[i].next_us) {
            send_request(&requests[i]);
        }
    }
}

bool
operator_config_was_read(struct soak *soak)
{
    (void)soak;
    return newest_was_read && accepted_version > 0;
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
    newest_was_read = false;
}
