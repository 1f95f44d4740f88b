#include <errno.h>
#include <ini.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

enum {
    TEXT_MAX = 160,
};

/// One number of the file, and the range that it may have.
struct number {
    const char *section;
    const char *name;
    size_t offset;
    uint32_t least;
    uint32_t most;
};

#define NUMBER(part, key, member, low, high)                                  \
    {                                                                         \
        .section = (part), .name = (key),                                     \
        .offset = offsetof(struct FleetSettings, member), .least = (low),     \
        .most = (high)                                                        \
    }

static const struct number NUMBERS[] = {
    NUMBER("run", "seed", seed, 1, 1000000),
    NUMBER("run", "seconds", seconds, 8, FLEET_SECONDS_MAX),
    NUMBER("fleet", "zones", zones, 1, FLEET_ZONES_MAX),
    NUMBER("fleet", "entries", entries, 1, 1000),
    NUMBER("fleet", "agents", agents, 1, 3000),
    NUMBER("fleet", "start_ms", start_ms, 0, 10000),
    NUMBER("fleet", "config_ms", config_ms, 0, 10000),
    NUMBER("fleet", "loss_permille", loss_permille, 0, 500),
    NUMBER("fleet", "frame_cost_us", frame_cost_us, 0, 10000),
    NUMBER("fleet", "tick_cost_us", tick_cost_us, 0, 10000),
    NUMBER("load", "callers", callers, 1, 100000),
    NUMBER("load", "requests_per_s", requests_per_s, 1, 100000),
    NUMBER("load", "short_percent", short_percent, 0, 100),
    NUMBER("load", "objective_ms", objective_ms, 1, 60000),
    NUMBER("load", "deadline_ms", deadline_ms, 1, 60000),
    NUMBER("upstream", "slots", slots, 1, 64),
    NUMBER("upstream", "work_us", work_us, 1, 10000000),
    NUMBER("entry", "share_permille", entry.share_permille, 1, 1000),
    NUMBER("entry", "link_bytes_per_s", entry.link_bytes_per_s, 1000,
           2000000000),
    NUMBER("entry", "link_queue_ms", entry.link_queue_ms, 1, 10000),
    NUMBER("entry", "socket_datagrams", entry.socket_datagrams, 1, 100000),
    NUMBER("agent", "share_permille", agent.share_permille, 1, 1000),
    NUMBER("agent", "link_bytes_per_s", agent.link_bytes_per_s, 1000,
           2000000000),
    NUMBER("agent", "link_queue_ms", agent.link_queue_ms, 1, 10000),
    NUMBER("agent", "socket_datagrams", agent.socket_datagrams, 1, 100000),
    NUMBER("expect", "after_ms", expect_after_ms, 0, 60000),
    NUMBER("expect", "permille", expect_permille, 0, 1000),
    NUMBER("expect", "frames_per_100_segments", expect_frames_percent, 1,
           1000000),
};

enum {
    NUMBER_COUNT = sizeof(NUMBERS) / sizeof(NUMBERS[0]),
};

struct reading {
    struct FleetSettings *settings;
    bool given[NUMBER_COUNT];
    char message[TEXT_MAX];
};

static bool
read_number(const char *text, uint32_t least, uint32_t most, uint32_t *number)
{
    char *end;
    unsigned long value;

    errno = 0;
    value = strtoul(text, &end, 10);
    if (errno != 0 || end == text || *end != '\0' || text[0] == '-' ||
        value < least || value > most) {
        return false;
    }
    *number = (uint32_t)value;
    return true;
}

/// "kill_all 6000" or "power_off 6000 1200": at, and how long it lasts.
static bool
read_event(struct FleetSettings *settings, const char *text)
{
    static const char *const KINDS[FLEET_EVENT_KINDS] = {
        [FLEET_KILL_ALL] = "kill_all", [FLEET_POWER_OFF] = "power_off"};
    struct FleetEvent event = {.down_ms = 0};
    char kind[16] = "";

    if (settings->event_count == FLEET_EVENTS_MAX ||
        sscanf(text, "%15s %" SCNu32 " %" SCNu32, kind, &event.at_ms,
               &event.down_ms) < 2) {
        return false;
    }
    for (uint32_t i = 0; i < FLEET_EVENT_KINDS; i++) {
        if (strcmp(kind, KINDS[i]) == 0) {
            event.kind = (enum FleetEventKind)i;
            settings->events[settings->event_count++] = event;
            return true;
        }
    }
    return false;
}

static int
take(void *user, const char *section, const char *name, const char *value)
{
    struct reading *reading = user;

    if (strcmp(section, "events") == 0) {
        if (read_event(reading->settings, value)) {
            return 1;
        }
        snprintf(reading->message, TEXT_MAX, "[events] %s: \"%s\" is no event",
                 name, value);
        return 0;
    }
    for (uint32_t i = 0; i < NUMBER_COUNT; i++) {
        const struct number *number = &NUMBERS[i];

        if (strcmp(number->section, section) != 0 ||
            strcmp(number->name, name) != 0) {
            continue;
        }
        reading->given[i] = true;
        if (read_number(
                value, number->least, number->most,
                (uint32_t *)((uint8_t *)reading->settings + number->offset))) {
            return 1;
        }
        snprintf(reading->message, TEXT_MAX,
                 "[%s] %s: \"%s\" is no number from %u to %u", section, name,
                 value, number->least, number->most);
        return 0;
    }
    snprintf(reading->message, TEXT_MAX, "[%s] %s is not known", section,
             name);
    return 0;
}

enum SlStatus
FleetSettings_Read(const char *path, struct FleetSettings *settings,
                   char *message, size_t message_bytes)
{
    struct reading reading = {.settings = settings};
    int line;

    *settings = (struct FleetSettings){.seed = 0};
    line = ini_parse(path, take, &reading);
    if (line < 0) {
        snprintf(message, message_bytes, "%s: cannot be read", path);
        return SL_IO;
    }
    if (line > 0) {
        snprintf(message, message_bytes, "%s:%d: %s", path, line,
                 reading.message);
        return SL_INVALID;
    }
    for (uint32_t i = 0; i < NUMBER_COUNT; i++) {
        if (!reading.given[i]) {
            snprintf(message, message_bytes, "%s: [%s] %s is missing", path,
                     NUMBERS[i].section, NUMBERS[i].name);
            return SL_INVALID;
        }
    }
    if (settings->entries < settings->zones) {
        snprintf(message, message_bytes, "%s: fewer entries than zones", path);
        return SL_INVALID;
    }
    return SL_OK;
}
