/// The idle time-out grows shortly after a planned restart of the node beside
/// an endpoint. A flow that was never idle for longer than the time-out in
/// force must stay.

#include <stdio.h>

#include "site.h"

enum {
    ROUTE_PORT = 8443,
    SHORT_IDLE_MS = 5000,
    LONG_IDLE_MS = 15000,
};

static void
put_config(int version, int idle_ms)
{
    char body[BODY_BYTES];

    snprintf(body, sizeof(body),
             "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":\"%s\","
             "\"path_prefix\":\"/%d/\",\"type\":\"non_idempotent\","
             "\"timeout_ms\":2500,\"slo_ms\":150,\"priority\":1,"
             "\"service\":\"blue\",\"max_attempts\":2}],\"services\":["
             "{\"name\":\"blue\",\"health_path\":\"/health\","
             "\"max_conns\":2000,\"cold_start_s\":2.0,\"cold_per_s\":0.0}],"
             "\"limits\":{\"idle_timeout_ms\":%d}}",
             version, site_ip(3, 1), ROUTE_PORT, idle_ms);
    if (operator_call("PUT", "/api/config", body) != 200) {
        site_fail("the configuration was not acknowledged");
    }
}

static void
start_upstream(int number, const char *id)
{
    struct endpoint_options options = {.number = number,
                                       .service = "blue",
                                       .id = id,
                                       .born_ms = wall_ms(),
                                       .concurrency = 5};

    machine_start(ROLE_AGENT, number, "zone-a", "blue");
    sleep_ms(200);
    endpoint_start(&options);
}

int
main(void)
{
    struct flow flow;
    enum flow_result result;

    site_open();
    site_start_core();
    start_upstream(6, "i-blue-6");
    start_upstream(7, "i-blue-7");
    put_config(1, SHORT_IDLE_MS);
    site_wait_ready();
    sleep_ms(4000);
    if (flow_open(&flow, ROUTE_PORT, 4) != FLOW_ANSWERED) {
        site_fail("the flow did not open");
    }
    if (site_has_trouble()) {
        machine_restart(flow.endpoint);
    }
    sleep_ms(1000);
    put_config(2, LONG_IDLE_MS);
    sleep_ms(SHORT_IDLE_MS + 2000);
    result = flow_request(&flow);
    site_close(result == FLOW_RESET_BY_SYSTEM);
}
