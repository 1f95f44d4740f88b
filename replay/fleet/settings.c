#include <errno.h>
#include <ini.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

enum {
    MESSAGE_BYTES = 160,
};

/// A number in the file, with its valid range and its place in the settings.
struct number_setting {
    const char *section;
    const char *name;
    size_t offset;
    uint32_t min;
    uint32_t max;
};

#define NUMBER(part, key, member, low, high)                                  \
    {                                                                         \
        .section = (part), .name = (key),                                     \
        .offset = offsetof(struct FleetSettings, member), .min = (low),       \
        .max = (high)                                                         \
    }

static const struct number_setting NUMBERS[] = {
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

struct ini_reading {
    struct FleetSettings *settings;
    bool is_set[NUMBER_COUNT];
    char message[MESSAGE_BYTES];
};

static bool
read_number(const char *text, uint32_t min, uint32_t max, uint32_t *number)
{
    char *end;
    unsigned long value;

    errno = 0;
    value = strtoul(text, &end, 10);
    if (errno != 0 || end == text || *end != '\0' || text[0] == '-' ||
        value < min || value > max) {
        return false;
    }
    *number = (uint32_t)value;
    return true;
}

/// Reads an event such as "kill_all 6000" or "power_off 6000 1200": its kind,
/// its time and how long the machines are down, both in milliseconds.
static bool
read_event(struct FleetSettings *settings, const char *text)
{
    static const char *const KINDS[FLEET_EVENT_KINDS] = {
        [FLEET_KILL_ALL] = "kill_all", [FLEET_POWER_OFF] = "power_off"};
    struct FleetEvent event = {.down_ms = 0};
    char kind[16] = "";

    if (settings->event_count == FLEET_EVENTS_MAX ||
        sscanf(text, "%15s %" SCNu32 " %" SCNu32, kind, &event.time_ms,
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
handle_ini_value(void *user, const char *section, const char *name,
                 const char *value)
{
    struct ini_reading *ini_reading = user;

    if (strcmp(section, "events") == 0) {
        if (read_event(ini_reading->settings, value)) {
            return 1;
        }
        snprintf(ini_reading->message, MESSAGE_BYTES,
                 "[events] %s: \"%s\" is not an event", name, value);
        return 0;
    }
    for (uint32_t i = 0; i < NUMBER_COUNT; i++) {
        const struct number_setting *number = &NUMBERS[i];

        if (strcmp(number->section, section) != 0 ||
            strcmp(number->name, name) != 0) {
            continue;
        }
        ini_reading->is_set[i] = true;
        if (read_number(value, number->min, number->max,
                        (uint32_t *)((uint8_t *)ini_reading->settings +
                                     number->offset))) {
            return 1;
        }
        snprintf(ini_reading->message, MESSAGE_BYTES,
                 "[%s] %s: \"%s\" is not a number from %u to %u", section,
                 name, value, number->min, number->max);
        return 0;
    }
    snprintf(ini_reading->message, MESSAGE_BYTES, "[%s] %s: unknown setting",
             section, name);
    return 0;
}

enum SlStatus
FleetSettings_Read(const char *path, struct FleetSettings *settings,
                   char *message, size_t message_bytes)
{
    struct ini_reading ini_reading = {.settings = settings};
    int line;

    *settings = (struct FleetSettings){.seed = 0};
    line = ini_parse(path, handle_ini_value, &ini_reading);
    if (line < 0) {
        snprintf(message, message_bytes, "%s: cannot read the file", path);
        return SL_IO;
    }
    if (line > 0) {
        snprintf(message, message_bytes, "%s:%d: %s", path, line,
                 ini_reading.message);
        return SL_INVALID;
    }
    for (uint32_t i = 0; i < NUMBER_COUNT; i++) {
        if (!ini_reading.is_set[i]) {
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
