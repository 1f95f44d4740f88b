/// The first start of a site, in which one machine of the core is lost for
/// good and replaced. Checks that the operator's first configuration is
/// acknowledged once the core is stable again.
///
///     first_start PROGRAM RECORD TROUBLE
///
/// Exit code: 0 if the rule held, 1 if it was broken, 2 if it could not run.

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include "site.h"

enum {
    CONTROLS = 4,
    /// The machine is lost this long after the start, and replaced 1 s later.
    LOST_AFTER_MS = 300,
    REPLACED_AFTER_MS = 1000,
    /// Bounds of the deployment: contact_ms and ack_ms.
    CONTACT_MS = 4000,
    ACK_MS = 5000,
    /// The operator goes on for so long, far beyond the bounds.
    PLAY_MS = 45 * 1000,
};

static struct site site;

static int
put_config(uint32_t number)
{
    char body[1024];
    int status;

    snprintf(
        body, sizeof(body),
        "{\"version\":7,\"routes\":[{\"name\":\"r-status\",\"host\":"
        "\"127.%u.3.1\",\"path_prefix\":\"/8443/\",\"type\":"
        "\"idempotent\",\"timeout_ms\":1200,\"slo_ms\":120,\"priority\":2,"
        "\"service\":\"workroom\",\"max_attempts\":2}],\"services\":[{"
        "\"name\":\"workroom\",\"health_path\":\"/health\",\"max_conns\":"
        "2000,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":2.0,"
        "\"cold_per_s\":0.0}],\"limits\":{\"max_header_bytes\":16384,"
        "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
        "\"idle_timeout_ms\":15000}}",
        site.net);
    status = http_call(site_ip(&site, 0, number), CONTROL_PORT, "PUT",
                       "/api/config", body, 1000, NULL, 0);
    note(&site, "PUT /api/config at control %u: %d", number, status);
    return status;
}

/// Sends the configuration to one control process after the other until it is
/// acknowledged. Followed redirects lead to the same processes.
static bool
configure(uint64_t until_us)
{
    while (now_us() < until_us) {
        for (uint32_t i = 0; i < site.node_count; i++) {
            const struct node *node = &site.nodes[i];

            if (node->role == ROLE_CONTROL && node->pid != 0 &&
                put_config(node->number) == 200) {
                return true;
            }
        }
        usleep(500 * 1000);
    }
    return false;
}

int
main(int argc, char **argv)
{
    static const char *const ZONES[] = {"a", "b", "c", "d"};
    uint64_t disturbed_us;
    uint64_t bound_us;
    uint64_t acked_us = 0;

    if (argc != 4 || !site_open(&site, argv[1], argv[2])) {
        return 2;
    }
    for (uint32_t i = 0; i < CONTROLS; i++) {
        (void)site_add(&site, ROLE_CONTROL, ZONES[i], "");
    }
    for (uint32_t i = 0; i < CONTROLS; i++) {
        (void)site_add(&site, ROLE_ENTRY, ZONES[i], "");
    }
    (void)site_add(&site, ROLE_AGENT, "a", "workroom");
    for (uint32_t i = 0; i < site.node_count; i++) {
        site_start(&site, &site.nodes[i]);
    }
    disturbed_us = now_us();
    if (atoi(argv[3]) != 0) {
        struct node *replacement;

        usleep(LOST_AFTER_MS * 1000);
        site_signal(&site, &site.nodes[1], SIGKILL);
        site_signal(&site, &site.nodes[CONTROLS + 1], SIGKILL);
        usleep(REPLACED_AFTER_MS * 1000);
        (void)site_reap(&site.nodes[1]);
        (void)site_reap(&site.nodes[CONTROLS + 1]);
        replacement = site_add(&site, ROLE_CONTROL, "b", "");
        replacement->bootstrap = false;
        site_start(&site, replacement);
        site_start(&site, site_add(&site, ROLE_ENTRY, "b", ""));
        disturbed_us = now_us();
    }
    bound_us = disturbed_us + (CONTACT_MS + ACK_MS) * (uint64_t)US_PER_MS;
    if (configure(disturbed_us + PLAY_MS * (uint64_t)US_PER_MS)) {
        acked_us = now_us();
    }
    note(&site, "acknowledged: %s; %llu ms after the last disturbance",
         acked_us != 0 ? "yes" : "never",
         (unsigned long long)((now_us() - disturbed_us) / US_PER_MS));
    site_close(&site);
    return acked_us != 0 && acked_us <= bound_us ? 0 : 1;
}
