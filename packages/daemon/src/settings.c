#include <errno.h>
#include <ini.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings_check.h"
#include "settings_value.h"

enum {
    FILE_MAX_BYTES = 64 * 1024,
    /// The INI reader cuts longer lines.
    LINE_MAX_BYTES = INI_MAX_LINE - 2,
    NUMBER_MAX = 2000000000,
};

/// One key: where it stands and what it may hold.
struct key {
    const char *section;
    const char *name;
    size_t offset;
    enum SlValueType type;
    uint32_t min;
    uint32_t max;
    /// Roles for which it must be given; any: always.
    uint32_t needed_by;
};

enum {
    ANY_ROLE = SL_ROLE_ENTRY | SL_ROLE_AGENT | SL_ROLE_CONTROL,
};

#define AT(member) offsetof(struct SlSettings, member)
#define KEY(part, key, kind, needed)                                          \
    {                                                                         \
        .section = #part, .name = #key, .type = (kind),                       \
        .offset = AT(part.key), .needed_by = (needed)                         \
    }
#define PORT_KEY(part, key, member, kind, needed)                             \
    {                                                                         \
        .section = #part, .name = (key), .type = (kind),                      \
        .offset = AT(part.port.member), .needed_by = (needed)                 \
    }
#define NUMBER(part, key, least, most, needed)                                \
    {                                                                         \
        .section = #part, .name = #key, .type = SL_VALUE_NUMBER,              \
        .offset = AT(part.key), .min = (least), .max = (most),                \
        .needed_by = (needed)                                                 \
    }

static const struct key KEYS[] = {
    KEY(node, name, SL_VALUE_NAME, ANY_ROLE),
    KEY(node, zone, SL_VALUE_NAME, ANY_ROLE),
    KEY(node, roles, SL_VALUE_ROLES, ANY_ROLE),
    KEY(node, tunnel, SL_VALUE_ADDRESS, ANY_ROLE),
    KEY(node, link, SL_VALUE_ADDRESS, ANY_ROLE),
    KEY(node, advertise, SL_VALUE_HOST, 0),
    NUMBER(node, threads, 1, SETTINGS_THREADS_MAX, 0),
    KEY(node, log_level, SL_VALUE_LEVEL, 0),
    NUMBER(node, log_lines_per_s, 0, 1000000, 0),
    KEY(node, log_to_stdout, SL_VALUE_BOOL, 0),
    NUMBER(node, stop_timeout_ms, 100, 3600000, 0),
    KEY(security, key_file, SL_VALUE_PATH, 0),
    KEY(security, second_key_file, SL_VALUE_PATH, 0),
    KEY(security, open, SL_VALUE_BOOL, 0),
    KEY(control, data_folder, SL_VALUE_PATH, 0),
    KEY(control, bootstrap, SL_VALUE_BOOL, 0),
    KEY(control, members, SL_VALUE_MEMBERS, 0),
    KEY(control, seeds, SL_VALUE_SEEDS, 0),
    NUMBER(control, seed_port, 1, 65535, 0),
    KEY(control, self_forming, SL_VALUE_BOOL, 0),
    NUMBER(control, heartbeat_ms, 10, 10000, 0),
    NUMBER(control, election_ms, 50, 60000, 0),
    PORT_KEY(entry, "port", kind, SL_VALUE_PORT_KIND, 0),
    PORT_KEY(entry, "port_listen", listen, SL_VALUE_ADDRESS, 0),
    PORT_KEY(entry, "port_peer", peer, SL_VALUE_ADDRESS, 0),
    PORT_KEY(entry, "tun_device", device, SL_VALUE_DEVICE, 0),
    NUMBER(entry, cache_flows, 1024, 16777216, 0),
    NUMBER(entry, tunnel_mtu_bytes, 1280, 9000, 0),
    PORT_KEY(agent, "port", kind, SL_VALUE_PORT_KIND, 0),
    PORT_KEY(agent, "port_listen", listen, SL_VALUE_ADDRESS, 0),
    PORT_KEY(agent, "port_peer", peer, SL_VALUE_ADDRESS, 0),
    PORT_KEY(agent, "upstream", upstream, SL_VALUE_HOST, 0),
    PORT_KEY(agent, "tun_device", device, SL_VALUE_DEVICE, 0),
    NUMBER(agent, slots, 1, 4096, 0),
    NUMBER(agent, capacity_flows, 1, 1000000, 0),
    KEY(agent, labels, SL_VALUE_LABELS, 0),
    KEY(relay, adapter, SL_VALUE_NAME, 0),
    KEY(relay, callers, SL_VALUE_ADDRESS, 0),
    KEY(relay, upstream, SL_VALUE_ADDRESS, 0),
    KEY(relay, upstream_sends, SL_VALUE_ADDRESS, 0),
    KEY(relay, service, SL_VALUE_NAME, 0),
    KEY(relay, ready, SL_VALUE_ADDRESS, 0),
    KEY(relay, control, SL_VALUE_ADDRESS, 0),
    KEY(relay, metrics, SL_VALUE_ADDRESS, 0),
    KEY(record, file, SL_VALUE_PATH, 0),
    NUMBER(record, max_bytes, 65536, NUMBER_MAX, 0),
};

enum {
    KEY_COUNT = sizeof(KEYS) / sizeof(KEYS[0]),
};

_Static_assert((int)KEY_COUNT <= (int)SETTINGS_KEYS_MAX,
               "every key has a place for its line");

void
SlFaults_Add(struct SlFaults *faults, uint32_t line, const char *key,
             const char *allowed, const char *found, ...)
{
    struct SlFault *fault = &faults->items[faults->count];
    va_list arguments;

    if (faults->count == SETTINGS_FAULTS_MAX) {
        return;
    }
    faults->count++;
    *fault = (struct SlFault){.line = line};
    snprintf(fault->key, sizeof(fault->key), "%s", key);
    snprintf(fault->allowed, sizeof(fault->allowed), "%s", allowed);
    va_start(arguments, found);
    vsnprintf(fault->found, sizeof(fault->found), found, arguments);
    va_end(arguments);
}

const char *
SlFault_Format(const char *path, const struct SlFault *fault, char *text,
               size_t room_bytes)
{
    char place[16] = "";

    if (fault->line != 0) {
        snprintf(place, sizeof(place), ":%u", fault->line);
    }
    snprintf(text, room_bytes, "%s%s: %s: found %s; allowed: %s", path, place,
             fault->key, fault->found, fault->allowed);
    return text;
}

static const struct key *
find_key(const char *section, const char *name)
{
    for (size_t i = 0; i < KEY_COUNT; i++) {
        if (strcmp(KEYS[i].section, section) == 0 &&
            strcmp(KEYS[i].name, name) == 0) {
            return &KEYS[i];
        }
    }
    return NULL;
}

/// Names of all sections, or of a section's keys when it is given.
static void
list_names(const char *section, char *text, size_t room_bytes)
{
    const char *last = "";
    size_t used = 0;

    text[0] = '\0';
    for (size_t i = 0; i < KEY_COUNT && used < room_bytes; i++) {
        const char *name = section ? KEYS[i].name : KEYS[i].section;

        if ((section != NULL && strcmp(KEYS[i].section, section) != 0) ||
            strcmp(name, last) == 0) {
            continue;
        }
        used += (size_t)snprintf(text + used, room_bytes - used, "%s%s",
                                 used ? ", " : "", name);
        last = name;
    }
}

static bool
is_section(const char *section)
{
    for (size_t i = 0; i < KEY_COUNT; i++) {
        if (strcmp(KEYS[i].section, section) == 0) {
            return true;
        }
    }
    return false;
}

static void
refuse_unknown(struct reading *reading, const char *section, const char *name)
{
    char allowed[SETTINGS_TEXT_BYTES];
    char key[SETTINGS_TEXT_BYTES];

    snprintf(key, sizeof(key), "%s.%s", section, name);
    if (is_section(section)) {
        list_names(section, allowed, sizeof(allowed));
        SlFaults_Add(reading->faults, reading->line, key, allowed,
                     "an unknown key");
        return;
    }
    list_names(NULL, allowed, sizeof(allowed));
    SlFaults_Add(reading->faults, reading->line, key, allowed,
                 "an unknown section \"%s\"", section);
}

static void
take_value(struct reading *reading, const struct key *key, const char *value)
{
    char allowed[SETTINGS_TEXT_BYTES];
    char name[SETTINGS_TEXT_BYTES];
    uint32_t *given = &reading->given[key - KEYS];
    void *target = (uint8_t *)reading->settings + key->offset;

    snprintf(name, sizeof(name), "%s.%s", key->section, key->name);
    if (*given != 0 && !SlValue_IsList(key->type)) {
        SlFaults_Add(reading->faults, reading->line, name,
                     "one line for each key", "a second value, after line %u",
                     *given);
        return;
    }
    *given = reading->line;
    if (!SlValue_Read(key->type, key->min, key->max, value, target)) {
        SlValue_Allowed(key->type, key->min, key->max, allowed,
                        sizeof(allowed));
        SlFaults_Add(reading->faults, reading->line, name, allowed, "\"%s\"",
                     value);
    }
}

static int
handle_pair(void *user, const char *section, const char *name,
            const char *value)
{
    struct reading *reading = user;
    const struct key *key = find_key(section, name);

    if (key == NULL) {
        refuse_unknown(reading, section, name);
    }
    else {
        take_value(reading, key, value);
    }
    return 1;
}

static int
ignore_pair(void *user, const char *section, const char *name,
            const char *value)
{
    (void)user;
    (void)section;
    (void)name;
    (void)value;
    return 1;
}

/// Gives the INI reader one line, and counts it.
static char *
next_line(char *line, int room_bytes, void *stream)
{
    struct reading *reading = stream;
    const char *end = strchr(reading->text, '\n');
    size_t length =
        end ? (size_t)(end - reading->text) + 1 : strlen(reading->text);

    if (length == 0) {
        return NULL;
    }
    reading->line++;
    if (length >= (size_t)room_bytes) {
        length = (size_t)room_bytes - 1;
    }
    memcpy(line, reading->text, length);
    line[length] = '\0';
    reading->text = end ? end + 1 : reading->text + strlen(reading->text);
    return line;
}

static char *
line_start(char *text, uint32_t line)
{
    while (line > 1) {
        text = strchr(text, '\n') + 1;
        line--;
    }
    return text;
}

static void
blank_line(char *text, uint32_t line)
{
    for (char *at = line_start(text, line); *at && *at != '\n'; at++) {
        *at = ' ';
    }
}

/// Finds lines that are not INI, and blanks them, until none is left.
static void
find_broken_lines(char *text, struct SlFaults *faults)
{
    for (;;) {
        struct reading reading = {.text = text};
        int line = ini_parse_stream(next_line, &reading, ignore_pair, NULL);
        const char *start;

        if (line <= 0) {
            return;
        }
        start = line_start(text, (uint32_t)line);
        SlFaults_Add(faults, (uint32_t)line, "syntax",
                     "[section], key = value, ; comment", "\"%.*s\"",
                     (int)strcspn(start, "\n"), start);
        blank_line(text, (uint32_t)line);
    }
}

static void
find_long_lines(char *text, struct SlFaults *faults)
{
    uint32_t line = 1;

    for (char *at = text; *at != '\0'; line++) {
        size_t length = strcspn(at, "\n");
        char *next = at[length] ? at + length + 1 : at + length;

        if (length > LINE_MAX_BYTES) {
            SlFaults_Add(faults, line, "syntax",
                         "198 bytes in a line; lists may go on in an "
                         "indented line",
                         "a line of %zu bytes", length);
            memset(at, ' ', length);
        }
        at = next;
    }
}

static char *
read_file(const char *path, struct SlFaults *faults)
{
    FILE *file = fopen(path, "re");
    char *text = calloc(1, FILE_MAX_BYTES + 2);
    size_t length;

    if (file == NULL || text == NULL) {
        SlFaults_Add(faults, 0, "file", "a readable settings file", "%s",
                     strerror(errno));
        free(text);
        if (file != NULL) {
            fclose(file);
        }
        return NULL;
    }
    length = fread(text, 1, FILE_MAX_BYTES + 1, file);
    if (ferror(file) || length > FILE_MAX_BYTES || strlen(text) != length) {
        SlFaults_Add(faults, 0, "file", "a text file of at most 64 KiB",
                     "a folder, a longer file or one with NUL bytes");
        free(text);
        text = NULL;
    }
    fclose(file);
    return text;
}

static void
find_missing(const struct reading *reading)
{
    uint32_t roles = reading->settings->node.roles;

    for (size_t i = 0; i < KEY_COUNT; i++) {
        const struct key *key = &KEYS[i];

        if (key->needed_by == ANY_ROLE || (key->needed_by & roles) != 0) {
            settings_need(reading, key->section, key->name);
        }
    }
}

void
settings_need(const struct reading *reading, const char *section,
              const char *name)
{
    const struct key *key = find_key(section, name);
    char allowed[SETTINGS_TEXT_BYTES];
    char full[SETTINGS_TEXT_BYTES];

    if (reading->given[key - KEYS] == 0) {
        snprintf(full, sizeof(full), "%s.%s", section, name);
        SlValue_Allowed(key->type, key->min, key->max, allowed,
                        sizeof(allowed));
        SlFaults_Add(reading->faults, 0, full, allowed, "nothing");
    }
}

uint32_t
settings_line(const struct reading *reading, const char *section,
              const char *name)
{
    const struct key *key = find_key(section, name);

    return reading->given[key - KEYS];
}

static void
set_defaults(struct SlSettings *settings)
{
    *settings = (struct SlSettings){
        .node = {.threads = 1,
                 .log_level = SL_LEVEL_INFO,
                 .stop_timeout_ms = 30 * 1000},
        .record = {.max_bytes = 256 * 1024 * 1024},
    };
}

void
SlSettings_Load(const char *path, struct SlSettings *settings,
                struct SlFaults *faults)
{
    struct reading reading = {.settings = settings, .faults = faults};
    char *text;

    *faults = (struct SlFaults){.count = 0};
    set_defaults(settings);
    text = read_file(path, faults);
    if (text == NULL) {
        return;
    }
    find_long_lines(text, faults);
    find_broken_lines(text, faults);
    reading.text = text;
    ini_parse_stream(next_line, &reading, handle_pair, &reading);
    find_missing(&reading);
    settings_check(&reading);
    free(text);
}
