/// The time of day jumps forward and back on a machine. An endpoint that
/// starts again after the jump back has an earlier start time than the run
/// before it. What it says of itself must still hold: once its state
/// "draining" is acknowledged, no new flows may reach it.

#include <stdio.h>

#include "site.h"

enum {
    ROUTE_PORT = 8443,
    DRAIN_MS = 3000,
    /// How far the time of day is ahead when the first run starts.
    JUMP_MS = 2000,
    FLOWS_PER_S = 100,
    AGENT = 7,
};

static void
put_config(void)
{
    char body[BODY_BYTES];

    snprintf(body, sizeof(body),
             "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"%s\","
             "\"path_prefix\":\"/%d/\",\"type\":\"idempotent\","
             "\"timeout_ms\":2500,\"slo_ms\":150,\"priority\":2,"
             "\"service\":\"blue\",\"max_attempts\":2}],\"services\":["
             "{\"name\":\"blue\",\"health_path\":\"/health\","
             "\"max_conns\":2000,\"cold_start_s\":2.0,\"cold_per_s\":0.0}],"
             "\"limits\":{\"idle_timeout_ms\":15000}}",
             site_ip(3, 1), ROUTE_PORT);
    if (operator_call("PUT", "/api/config", body) != 200) {
        site_fail("the configuration was not acknowledged");
    }
}

static struct endpoint *
start_endpoint(int number, const char *id, uint64_t ahead_ms)
{
    struct endpoint_options options = {.number = number,
                                       .service = "blue",
                                       .id = id,
                                       .born_ms = wall_ms() + ahead_ms,
                                       .concurrency = 5};

    return endpoint_start(&options);
}

int
main(void)
{
    struct endpoint *endpoint;
    uint64_t acked_ms;
    int late;

    site_open();
    site_start_core();
    machine_start(ROLE_AGENT, 6, "zone-a", "blue");
    machine_start(ROLE_AGENT, AGENT, "zone-b", "blue");
    sleep_ms(300);
    start_endpoint(6, "i-6", 0);
    put_config();
    sleep_ms(1500);
    endpoint =
        start_endpoint(AGENT, "i-7-first", site_has_trouble() ? JUMP_MS : 0);
    site_wait_ready();
    flow_burst(ROUTE_PORT, FLOWS_PER_S, FLOWS_PER_S);
    endpoint_crash(endpoint);
    flow_burst(ROUTE_PORT, FLOWS_PER_S / 2, FLOWS_PER_S);
    endpoint = start_endpoint(AGENT, "i-7-second", 0);
    flow_burst(ROUTE_PORT, 6 * FLOWS_PER_S, FLOWS_PER_S);
    site_record("the second run on %d has taken %d flows", AGENT,
                endpoint_openings(endpoint, 0, UINT64_MAX));
    if (!endpoint_drain(endpoint)) {
        site_fail("the state draining was not acknowledged");
    }
    acked_ms = now_ms();
    flow_burst(ROUTE_PORT, 5 * FLOWS_PER_S, FLOWS_PER_S);
    late = endpoint_openings(endpoint, acked_ms + DRAIN_MS, UINT64_MAX);
    site_record("%d flows reached the endpoint on %d later than %d ms after "
                "the acknowledgement",
                late, AGENT, DRAIN_MS);
    site_close(late > 0);
}
