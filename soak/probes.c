/// Opening packets sent to each entry directly, to routes that were just added
/// or just removed. An entry that is not disturbed offers a flow of an added
/// route to an upstream and refuses a flow of a removed one, SOAK_APPLY_US
/// after the change was accepted.

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform.h"
#include "soak.h"

enum {
    /// Interval between two probes of an entry, about.
    INTERVAL_US = 2 * 1000 * 1000,
    PROBES_MAX = 512,
    FIRST_SOURCE_PORT = 20000,
    SOURCE_PORTS = 30000,
    SOURCE = 200,
    /// Length of the end of a log that is searched.
    LOG_END_BYTES = 256 * 1024,
    RESEND_US = 200 * 1000,
    TIMEOUT_US = 1400 * 1000,
    /// Ages of changes, in seconds, by which outcomes are counted; the last
    /// one has all that are older.
    AGES = 7,
};

enum outcome {
    OPENED = 0,
    /// Refused for want of a route.
    REFUSED,
    /// Not answered, or reset because no upstream took the flow.
    UNDECIDED,
    OUTCOMES,
};

struct probe {
    bool used;
    /// The route was removed; otherwise it was added.
    bool is_removed;
    const struct soak_node *entry;
    uint64_t version;
    uint64_t start_us;
    /// Time from the acceptance of the change to the start of the probe.
    uint64_t age_us;
    uint32_t resends;
    bool was_reset;
    struct SlAddress source;
};

static struct soak *site;
static struct SlWatch socket_watch;
static struct probe probes[PROBES_MAX];
static uint32_t next_port;
static uint64_t next_probe_us;
static uint32_t next_entry;
static uint64_t random_state;
static uint32_t totals[2][AGES][OUTCOMES];

static void
send_opening(const struct probe *probe)
{
    uint8_t bytes[SOAK_PACKET_BYTES];
    struct packet packet = {.source = probe->source,
                            .destination = soak_address(
                                site, 3, PROBE_HOST,
                                (uint16_t)(PROBE_FIRST_PORT + probe->version)),
                            .seq = probe->source.port,
                            .ack = probe->resends,
                            .flags = PACKET_SYN};
    struct SlAddress to =
        soak_address(site, 0, probe->entry->number, SOAK_CALLERS_PORT);
    struct sockaddr_storage name;
    socklen_t name_bytes = SlAddress_ToSockaddr(&to, &name);

    (void)sendto(socket_watch.descriptor, bytes, packet_write(&packet, bytes),
                 MSG_DONTWAIT, (struct sockaddr *)&name, name_bytes);
}

/// True if neither the entry nor any control process nor all agents were
/// disturbed for SOAK_CONTACT_US before the probe began.
static bool
was_calm(const struct probe *probe)
{
    return soak_calm_since_us(site) <= probe->start_us &&
           !soak_node_has_fault(probe->entry) &&
           probe->entry->last_fault_us + SOAK_CONTACT_US <= probe->start_us &&
           site->agents_lost_us + SOAK_CONTACT_US <= probe->start_us;
}

/// True if the entry logged that it has no route for the flow.
static bool
has_logged_no_route(const struct probe *probe)
{
    char path[SOAK_PATH_BYTES + 32];
    char line[512];
    char port[32];
    bool is_logged = false;
    FILE *log;

    snprintf(port, sizeof(port), ":%u>", probe->source.port);
    snprintf(path, sizeof(path), "%s/node-%u.log", site->folder,
             probe->entry->number);
    log = fopen(path, "re");
    if (log == NULL) {
        return false;
    }
    if (fseek(log, -LOG_END_BYTES, SEEK_END) != 0) {
        rewind(log);
    }
    while (fgets(line, sizeof(line), log) != NULL) {
        is_logged = is_logged || (strstr(line, "reason=no_route") != NULL &&
                                  strstr(line, port) != NULL);
    }
    fclose(log);
    return is_logged;
}

static void
end_probe(struct probe *probe, enum outcome outcome)
{
    uint64_t age_s = probe->age_us / US_PER_S;

    probe->used = false;
    if (!was_calm(probe)) {
        return;
    }
    totals[probe->is_removed][age_s < AGES ? age_s : AGES - 1][outcome]++;
    if (probe->age_us > SOAK_APPLY_US &&
        outcome == (probe->is_removed ? OPENED : REFUSED)) {
        soak_report_violation(
            site, "entry %u %s a flow of a route that was %s %llu ms before",
            probe->entry->number, probe->is_removed ? "opened" : "refused",
            probe->is_removed ? "removed" : "added",
            (unsigned long long)(probe->age_us / US_PER_MS));
    }
}

static void
handle_packet(const uint8_t *bytes, uint32_t length)
{
    struct SlSegment segment;
    uint16_t port;

    if (PLATFORM_SEGMENT_FORMAT.parse(bytes, length, &segment) != SL_OK) {
        return;
    }
    port = segment.destination.port;
    for (uint32_t i = 0; i < PROBES_MAX; i++) {
        if (probes[i].used && probes[i].source.port == port) {
            if (!(segment.flags & SL_SEGMENT_RESET)) {
                end_probe(&probes[i], OPENED);
            }
            else if (probes[i].is_removed) {
                end_probe(&probes[i], REFUSED);
            }
            else {
                probes[i].was_reset = true;
            }
        }
    }
}

static void
on_readable(struct SlWatch *watch, uint32_t events)
{
    uint8_t bytes[2048];
    ssize_t length;

    (void)events;
    while ((length = recv(watch->descriptor, bytes, sizeof(bytes),
                          MSG_DONTWAIT)) >= 0) {
        handle_packet(bytes, (uint32_t)length);
    }
}

/// Chooses the change to probe: mostly the newest one that has to be in force,
/// otherwise the newest one. Returns false if its route no longer differs.
static bool
choose_change(struct probe *probe)
{
    uint64_t limit_us = probe->start_us;
    uint64_t accepted_us = 0;
    uint64_t version;

    if (soak_draw(site, &random_state, 4) != 0) {
        limit_us -= SOAK_APPLY_US + 1;
    }
    version = operator_version_accepted(limit_us, &accepted_us);
    probe->age_us = probe->start_us - accepted_us;
    probe->is_removed = soak_draw(site, &random_state, 2) == 0;
    if (version <= PROBE_ROUTES) {
        probe->is_removed = false;
    }
    probe->version = probe->is_removed ? version - PROBE_ROUTES : version;
    return version != 0 && (probe->is_removed ||
                            operator_last_version() < version + PROBE_ROUTES);
}

static void
begin_probe(const struct soak_node *entry, uint64_t now_us)
{
    struct probe *probe = NULL;

    for (uint32_t i = 0; i < PROBES_MAX && probe == NULL; i++) {
        probe = probes[i].used ? NULL : &probes[i];
    }
    if (probe == NULL) {
        return;
    }
    *probe = (struct probe){.entry = entry, .start_us = now_us};
    next_port = (next_port + 1) % SOURCE_PORTS;
    probe->source = soak_address(site, 2, SOURCE,
                                 (uint16_t)(FIRST_SOURCE_PORT + next_port));
    probe->used = choose_change(probe);
    if (probe->used) {
        send_opening(probe);
    }
}

/// Probes the next entry.
static void
probe_next_entry(uint64_t now_us)
{
    uint32_t entry_count = 0;

    for (uint32_t i = 0; i < site->node_count; i++) {
        entry_count += site->nodes[i].role == SOAK_ENTRY;
    }
    next_probe_us = now_us + INTERVAL_US / entry_count;
    do {
        next_entry = (next_entry + 1) % site->node_count;
    } while (site->nodes[next_entry].role != SOAK_ENTRY);
    begin_probe(&site->nodes[next_entry], now_us);
}

void
probes_tick(uint64_t now_us)
{
    for (uint32_t i = 0; i < PROBES_MAX; i++) {
        struct probe *probe = &probes[i];

        if (!probe->used) {
            continue;
        }
        if (now_us - probe->start_us > TIMEOUT_US) {
            end_probe(probe, probe->was_reset && has_logged_no_route(probe)
                                 ? REFUSED
                                 : UNDECIDED);
        }
        else if (!probe->was_reset && probe->resends < 2 &&
                 now_us - probe->start_us >
                     RESEND_US * (probe->resends == 0 ? 1 : 3)) {
            probe->resends++;
            send_opening(probe);
        }
    }
    if (now_us >= next_probe_us) {
        probe_next_entry(now_us);
    }
}

enum SlStatus
probes_open(struct soak *soak)
{
    struct SlAddress address =
        soak_address(soak, 2, SOURCE, SOAK_CALLERS_PORT);
    struct sockaddr_storage name;
    socklen_t name_bytes = SlAddress_ToSockaddr(&address, &name);

    site = soak;
    socket_watch.on_ready = on_readable;
    socket_watch.descriptor =
        socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (bind(socket_watch.descriptor, (struct sockaddr *)&name, name_bytes) !=
        0) {
        return SL_IO;
    }
    return SlLoop_Watch(soak->loop, &socket_watch, SL_LOOP_READ);
}

void
probes_close(void)
{
    close(socket_watch.descriptor);
}

void
probes_print(void)
{
    for (uint32_t removed = 0; removed < 2; removed++) {
        printf("probes of routes %s, by age in s, opened/refused/undecided:",
               removed ? "removed" : "added");
        for (uint32_t i = 0; i < AGES; i++) {
            printf(" %u/%u/%u", totals[removed][i][OPENED],
                   totals[removed][i][REFUSED], totals[removed][i][UNDECIDED]);
        }
        printf("\n");
    }
}
