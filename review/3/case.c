/// A node beside an endpoint freezes and goes on; shortly before, the leading
/// control instance is killed, and is back at once. Then the packets of a flow
/// that the endpoint holds come through another entry. Everything has been in
/// touch again for longer than contact_ms, so the flow must stay.

#include <signal.h>
#include <stdio.h>

#include "site.h"

enum {
    ROUTE_PORT = 8443,
    AGENT = 7,
    FREEZE_MS = 6900,
    /// When the leader is killed and started again, after the start of the
    /// freeze.
    KILL_MS = 6850,
    START_MS = 7350,
    /// Time from the next leader's first answer to the request.
    REQUEST_MS = 5930,
    FLOWS_MAX = 30,
};

static void
put_config(void)
{
    char body[BODY_BYTES];

    snprintf(body, sizeof(body),
             "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"%s\","
             "\"path_prefix\":\"/%d/\",\"type\":\"non_idempotent\","
             "\"timeout_ms\":2500,\"slo_ms\":150,\"priority\":1,"
             "\"service\":\"blue\",\"max_attempts\":2}],\"services\":["
             "{\"name\":\"blue\",\"health_path\":\"/health\","
             "\"max_conns\":2000,\"cold_start_s\":2.0,\"cold_per_s\":0.0}],"
             "\"limits\":{\"idle_timeout_ms\":15000}}",
             site_ip(3, 1), ROUTE_PORT);
    if (operator_call("PUT", "/api/config", body) != 200) {
        site_fail("the configuration was not acknowledged");
    }
}

static void
start_upstream(int number, const char *zone, const char *id)
{
    struct endpoint_options options = {.number = number,
                                       .service = "blue",
                                       .id = id,
                                       .born_ms = wall_ms(),
                                       .concurrency = 5};

    machine_start(ROLE_AGENT, number, zone, "blue");
    sleep_ms(200);
    endpoint_start(&options);
}

static void
sleep_until(uint64_t at_ms)
{
    if (at_ms > now_ms()) {
        sleep_ms(at_ms - now_ms());
    }
}

int
main(void)
{
    struct flow flow = {.endpoint = 0};
    enum flow_result result;
    uint64_t frozen_ms;
    uint64_t led_ms;
    int leader;

    site_open();
    site_start_core();
    start_upstream(6, "zone-a", "i-6");
    start_upstream(AGENT, "zone-b", "i-7");
    start_upstream(8, "zone-c", "i-8");
    put_config();
    site_wait_ready();
    /* The first leader reports nobody as unreachable for 6 s. */
    sleep_ms(7000);
    for (int i = 0; i < FLOWS_MAX && flow.endpoint != AGENT; i++) {
        (void)flow_open(&flow, ROUTE_PORT, 5);
    }
    if (flow.endpoint != AGENT) {
        site_fail("no flow at the endpoint");
    }
    frozen_ms = now_ms();
    site_record("machine %d freezes", AGENT);
    kill(machine_pid(AGENT), SIGSTOP);
    leader = operator_find_leader();
    if (leader == 0) {
        site_fail("no control instance leads");
    }
    sleep_until(frozen_ms + KILL_MS);
    if (site_has_trouble()) {
        machine_kill(leader);
    }
    sleep_until(frozen_ms + FREEZE_MS);
    kill(machine_pid(AGENT), SIGCONT);
    site_record("machine %d goes on", AGENT);
    if (operator_find_leader() == 0) {
        site_fail("no control instance leads");
    }
    led_ms = now_ms();
    sleep_until(frozen_ms + START_MS);
    if (site_has_trouble()) {
        machine_start_again(leader);
    }
    sleep_until(led_ms + REQUEST_MS);
    flow.entry = 4;
    result = flow_request(&flow);
    site_close(result == FLOW_RESET_BY_SYSTEM);
}
