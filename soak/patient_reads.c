/// Reads of the configuration as an operator makes them who knows all control
/// processes, but not which of them have a disk: each attempt goes to one of
/// them at random, and after a failure there is a pause, longer each time. A
/// read that begins while nothing is disturbed must succeed in time, also one
/// that happens to ask processes without a disk only, as every fourth one
/// does.

#include <stdio.h>

#include "soak.h"

enum {
    READ_INTERVAL_US = 2 * 1000 * 1000,
    READS_MAX = 8,
    HTTP_OK = 200,
    OUTCOMES = 3,
};

enum outcome {
    ANSWERED = 0,
    REFUSED,
    SILENT,
};

struct patient_read {
    bool used;
    bool is_in_flight;
    /// It happens to ask processes without a disk only.
    bool avoids_disks;
    uint32_t attempts;
    uint64_t start_us;
    uint64_t next_us;
    /// The process asked, and the lowest version that it may return.
    const struct soak_node *asked;
    uint64_t min_version;
    /// Number of attempts by their outcome.
    uint32_t outcomes[OUTCOMES];
};

static struct patient_read reads[READS_MAX];
static struct soak *site;
static uint64_t random_state;
static uint64_t next_read_us;
/// Number of reads, of those that began in a calm time, of those of them that
/// failed without and with avoids_disks, and of their attempts by the kind of
/// process asked.
static uint32_t read_count;
static uint32_t calm_count;
static uint32_t failed_count[2];
static uint32_t totals[2][OUTCOMES];
static uint64_t slowest_us;

static bool
was_calm(const struct patient_read *read)
{
    return soak_calm_since_us(site) <= read->start_us;
}

static void
on_read_answered(void *context, uint32_t status, const char *body,
                 size_t body_bytes)
{
    struct patient_read *read = context;
    uint64_t now_us = SlClock_Monotonic();
    enum outcome outcome = status == HTTP_OK ? ANSWERED
                           : status == 0     ? SILENT
                                             : REFUSED;

    read->is_in_flight = false;
    read->outcomes[outcome]++;
    totals[read->asked->has_disk][outcome] += was_calm(read);
    if (!read->used) {
        return;
    }
    if (outcome != ANSWERED) {
        read->next_us = now_us + operator_pause_us(read->attempts - 1);
        return;
    }
    read->used = false;
    if (was_calm(read) && now_us - read->start_us > slowest_us) {
        slowest_us = now_us - read->start_us;
    }
    if (operator_parse_version(body, body_bytes) < read->min_version) {
        soak_report_violation(
            site, "process %u returned a version before %llu",
            read->asked->number, (unsigned long long)read->min_version);
    }
}

static void
try_read(struct patient_read *read, uint64_t now_us)
{
    struct http_call call = {.method = "GET",
                             .path = "/api/config",
                             .answer_timeout_us = US_PER_S,
                             .context = read,
                             .done = on_read_answered};

    do {
        read->asked = soak_draw_control(site, &random_state);
    } while (read->avoids_disks && read->asked->has_disk);
    read->min_version =
        operator_version_accepted(now_us - SOAK_APPLY_US, NULL);
    read->attempts++;
    read->is_in_flight = true;
    call.to = soak_address(site, 0, read->asked->number, SOAK_CONTROL_PORT);
    http_client_call(site->loop, &call);
}

/// Ends a read that has not succeeded for SOAK_CONTACT_US.
static void
give_up(struct patient_read *read)
{
    read->used = false;
    if (!was_calm(read)) {
        return;
    }
    failed_count[read->avoids_disks]++;
    soak_report_violation(
        site,
        "the configuration could not be read for 6 s although nothing was "
        "disturbed (%u attempts%s: %u refused, %u without an answer)",
        read->attempts,
        read->avoids_disks ? " at processes without a disk" : "",
        read->outcomes[REFUSED], read->outcomes[SILENT]);
}

static void
begin_read(uint64_t now_us)
{
    for (uint32_t i = 0; i < READS_MAX; i++) {
        if (!reads[i].used && !reads[i].is_in_flight) {
            reads[i] =
                (struct patient_read){.used = true,
                                      .avoids_disks = read_count % 4 == 3,
                                      .start_us = now_us,
                                      .next_us = now_us};
            read_count++;
            calm_count += was_calm(&reads[i]);
            return;
        }
    }
}

void
patient_reads_tick(struct soak *soak, uint64_t now_us)
{
    site = soak;
    if (!operator_has_config()) {
        return;
    }
    if (now_us >= next_read_us) {
        next_read_us = now_us + READ_INTERVAL_US;
        begin_read(now_us);
    }
    for (uint32_t i = 0; i < READS_MAX; i++) {
        struct patient_read *read = &reads[i];

        if (read->used && now_us - read->start_us > SOAK_CONTACT_US) {
            give_up(read);
        }
        if (read->used && !read->is_in_flight && now_us >= read->next_us) {
            try_read(read, now_us);
        }
    }
}

void
patient_reads_print(void)
{
    printf("patient reads: %u, %u of them in calm times, %u and %u failed, "
           "slowest "
           "%llu ms; their attempts answered, refused, silent: with a disk "
           "%u, %u, "
           "%u, without %u, %u, %u\n",
           read_count, calm_count, failed_count[0], failed_count[1],
           (unsigned long long)(slowest_us / US_PER_MS), totals[1][ANSWERED],
           totals[1][REFUSED], totals[1][SILENT], totals[0][ANSWERED],
           totals[0][REFUSED], totals[0][SILENT]);
}
