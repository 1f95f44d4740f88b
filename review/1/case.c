/// A route moves to another service; later the node beside an endpoint that
/// still holds a flow of the route is restarted as planned. The flow must
/// stay.

#include <stdio.h>

#include "site.h"

enum {
    ROUTE_PORT = 8443,
    /// contact_ms, and a second more.
    TOUCH_MS = 5000,
    /// Machines of the endpoints of the service blue.
    BLUE_FIRST = 6,
    BLUE_LAST = 7,
    FLOWS_MAX = 30,
};

static void
put_config(int version, int blue_weight, int green_weight)
{
    char body[BODY_BYTES];

    snprintf(body, sizeof(body),
             "{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":\"%s\","
             "\"path_prefix\":\"/%d/\",\"type\":\"non_idempotent\","
             "\"timeout_ms\":2500,\"slo_ms\":150,\"priority\":1,"
             "\"backends\":[{\"service\":\"blue\",\"weight\":%d},"
             "{\"service\":\"green\",\"weight\":%d}],"
             "\"max_attempts\":2}],\"services\":["
             "{\"name\":\"blue\",\"health_path\":\"/health\","
             "\"max_conns\":2000,\"cold_start_s\":2.0,\"cold_per_s\":0.0},"
             "{\"name\":\"green\",\"health_path\":\"/health\","
             "\"max_conns\":2000,\"cold_start_s\":2.0,\"cold_per_s\":0.0}],"
             "\"limits\":{\"idle_timeout_ms\":15000}}",
             version, site_ip(3, 1), ROUTE_PORT, blue_weight, green_weight);
    if (operator_call("PUT", "/api/config", body) != 200) {
        site_fail("the configuration was not acknowledged");
    }
}

static void
start_upstream(int number, const char *service, const char *id)
{
    struct endpoint_options options = {.number = number,
                                       .service = service,
                                       .id = id,
                                       .born_ms = wall_ms(),
                                       .concurrency = 5};

    machine_start(ROLE_AGENT, number, "zone-a", service);
    sleep_ms(200);
    endpoint_start(&options);
}

static bool
is_at_blue(const struct flow *flow)
{
    return flow->endpoint == BLUE_FIRST || flow->endpoint == BLUE_LAST;
}

int
main(void)
{
    struct flow flow = {.endpoint = 0};
    enum flow_result result;

    site_open();
    site_start_core();
    start_upstream(BLUE_FIRST, "blue", "i-blue-6");
    start_upstream(BLUE_LAST, "blue", "i-blue-7");
    start_upstream(8, "green", "i-green-8");
    start_upstream(9, "green", "i-green-9");
    put_config(1, 90, 10);
    site_wait_ready();
    sleep_ms(2000);
    for (int i = 0; i < FLOWS_MAX && !is_at_blue(&flow); i++) {
        (void)flow_open(&flow, ROUTE_PORT, 4);
    }
    if (!is_at_blue(&flow)) {
        site_fail("no flow at an endpoint of the first service");
    }
    put_config(2, 0, 100);
    sleep_ms(TOUCH_MS);
    if (flow_request(&flow) != FLOW_ANSWERED) {
        site_fail("the flow did not outlast the configuration");
    }
    if (site_has_trouble()) {
        machine_restart(flow.endpoint);
    }
    sleep_ms(TOUCH_MS);
    result = flow_request(&flow);
    site_close(result == FLOW_RESET_BY_SYSTEM);
}
