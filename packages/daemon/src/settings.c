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
    /// Max length of a line; the INI parser would truncate a longer line.
    LINE_MAX_BYTES = INI_MAX_LINE - 2,
    /// 0.1 to 400,000 Mbit/s.
    LINK_KBIT_PER_S_MIN = 100,
    LINK_KBIT_PER_S_MAX = 400 * 1000 * 1000,
    NUMBER_MAX = 2000000000,
};

/// Describes one key of the settings file and the values it accepts.
struct key {
    const char *section;
    const char *name;
    /// Offset of the value in struct SlSettings, in bytes.
    size_t offset;
    enum SlValueType type;
    /// Range of the value if its type is SL_VALUE_NUMBER or SL_VALUE_RATE.
    uint32_t min;
    uint32_t max;
    /// Bit set of the roles that require the key. ANY_ROLE: every process
    /// requires the key. 0: the key is optional.
    uint32_t required_roles;
};

enum {
    ANY_ROLE = SL_ROLE_ENTRY | SL_ROLE_AGENT | SL_ROLE_CONTROL,
};

#define FIELD_OFFSET(member) offsetof(struct SlSettings, member)
#define KEY(part, key, kind, roles)                                           \
    {                                                                         \
        .section = #part, .name = #key, .type = (kind),                       \
        .offset = FIELD_OFFSET(part.key), .required_roles = (roles)           \
    }
#define PORT_KEY(part, key, member, kind, roles)                              \
    {                                                                         \
        .section = #part, .name = (key), .type = (kind),                      \
        .offset = FIELD_OFFSET(part.port.member), .required_roles = (roles)   \
    }
#define NUMBER(part, key, min_value, max_value, roles)                        \
    {                                                                         \
        .section = #part, .name = #key, .type = SL_VALUE_NUMBER,              \
        .offset = FIELD_OFFSET(part.key), .min = (min_value),                 \
        .max = (max_value), .required_roles = (roles)                         \
    }

#define RATE(part, key, member, min_value, max_value)                         \
    {                                                                         \
        .section = #part, .name = (key), .type = SL_VALUE_RATE,               \
        .offset = FIELD_OFFSET(part.member), .min = (min_value),              \
        .max = (max_value)                                                    \
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
    RATE(relay, "link_mbps", link_kbit_per_s, LINK_KBIT_PER_S_MIN,
         LINK_KBIT_PER_S_MAX),
    KEY(record, file, SL_VALUE_PATH, 0),
    NUMBER(record, max_bytes, 65536, NUMBER_MAX, 0),
};

enum {
    KEY_COUNT = sizeof(KEYS) / sizeof(KEYS[0]),
};

_Static_assert((int)KEY_COUNT <= (int)SETTINGS_KEYS_MAX,
               "key_lines has an item for every key");

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
               size_t size_bytes)
{
    char line_text[16] = "";

    if (fault->line != 0) {
        snprintf(line_text, sizeof(line_text), ":%u", fault->line);
    }
    snprintf(text, size_bytes, "%s%s: %s: found %s; allowed: %s", path,
             line_text, fault->key, fault->found, fault->allowed);
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

/// Writes the names of a section's keys to text as a list separated by commas.
/// If section is NULL, writes the names of all sections instead.
static void
format_names(const char *section, char *text, size_t size_bytes)
{
    const char *previous_name = "";
    size_t used = 0;

    text[0] = '\0';
    for (size_t i = 0; i < KEY_COUNT && used < size_bytes; i++) {
        const char *name = section ? KEYS[i].name : KEYS[i].section;

        if ((section != NULL && strcmp(KEYS[i].section, section) != 0) ||
            strcmp(name, previous_name) == 0) {
            continue;
        }
        used += (size_t)snprintf(text + used, size_bytes - used, "%s%s",
                                 used ? ", " : "", name);
        previous_name = name;
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
add_unknown_key_fault(struct parser *parser, const char *section,
                      const char *name)
{
    char allowed[SETTINGS_TEXT_BYTES];
    char key[SETTINGS_TEXT_BYTES];

    snprintf(key, sizeof(key), "%s.%s", section, name);
    if (is_section(section)) {
        format_names(section, allowed, sizeof(allowed));
        SlFaults_Add(parser->faults, parser->line, key, allowed,
                     "an unknown key");
        return;
    }
    format_names(NULL, allowed, sizeof(allowed));
    SlFaults_Add(parser->faults, parser->line, key, allowed,
                 "an unknown section \"%s\"", section);
}

static void
store_value(struct parser *parser, const struct key *key, const char *value)
{
    char allowed[SETTINGS_TEXT_BYTES];
    char name[SETTINGS_TEXT_BYTES];
    uint32_t *key_line = &parser->key_lines[key - KEYS];
    void *target = (uint8_t *)parser->settings + key->offset;

    snprintf(name, sizeof(name), "%s.%s", key->section, key->name);
    if (*key_line != 0 && !SlValue_IsList(key->type)) {
        SlFaults_Add(parser->faults, parser->line, name,
                     "one value for each key",
                     "a second value, the first is on line %u", *key_line);
        return;
    }
    *key_line = parser->line;
    if (!SlValue_Parse(key->type, key->min, key->max, value, target)) {
        SlValue_FormatAllowed(key->type, key->min, key->max, allowed,
                              sizeof(allowed));
        SlFaults_Add(parser->faults, parser->line, name, allowed, "\"%s\"",
                     value);
    }
}

static int
handle_key_and_value(void *user, const char *section, const char *name,
                     const char *value)
{
    struct parser *parser = user;
    const struct key *key = find_key(section, name);

    if (key == NULL) {
        add_unknown_key_fault(parser, section, name);
    }
    else {
        store_value(parser, key, value);
    }
    return 1;
}

static int
ignore_key_and_value(void *user, const char *section, const char *name,
                     const char *value)
{
    (void)user;
    (void)section;
    (void)name;
    (void)value;
    return 1;
}

/// Copies the next line for the INI parser and counts it. Returns NULL at the
/// end of the text.
static char *
read_line(char *line, int size_bytes, void *stream)
{
    struct parser *parser = stream;
    const char *end = strchr(parser->text, '\n');
    size_t length =
        end ? (size_t)(end - parser->text) + 1 : strlen(parser->text);

    if (length == 0) {
        return NULL;
    }
    parser->line++;
    if (length >= (size_t)size_bytes) {
        length = (size_t)size_bytes - 1;
    }
    memcpy(line, parser->text, length);
    line[length] = '\0';
    parser->text = end ? end + 1 : parser->text + strlen(parser->text);
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
    for (char *byte = line_start(text, line); *byte && *byte != '\n'; byte++) {
        *byte = ' ';
    }
}

/// Adds a fault for each line that is not valid INI and blanks the line, as
/// the INI parser reports only the first such line of a text.
static void
blank_invalid_lines(char *text, struct SlFaults *faults)
{
    for (;;) {
        struct parser parser = {.text = text};
        int line =
            ini_parse_stream(read_line, &parser, ignore_key_and_value, NULL);
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

/// Adds a fault for each line that is too long for the INI parser, and blanks
/// the line.
static void
blank_long_lines(char *text, struct SlFaults *faults)
{
    uint32_t line = 1;

    for (char *start = text; *start != '\0'; line++) {
        size_t length = strcspn(start, "\n");
        char *next = start[length] ? start + length + 1 : start + length;

        if (length > LINE_MAX_BYTES) {
            SlFaults_Add(faults, line, "syntax",
                         "at most 198 bytes in a line; a list may continue "
                         "on an indented line",
                         "a line of %zu bytes", length);
            memset(start, ' ', length);
        }
        start = next;
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
                     "a folder, a larger file or a file with NUL bytes");
        free(text);
        text = NULL;
    }
    fclose(file);
    return text;
}

static void
add_missing_key_faults(const struct parser *parser)
{
    uint32_t roles = parser->settings->node.roles;

    for (size_t i = 0; i < KEY_COUNT; i++) {
        const struct key *key = &KEYS[i];

        if (key->required_roles == ANY_ROLE ||
            (key->required_roles & roles) != 0) {
            settings_require_key(parser, key->section, key->name);
        }
    }
}

void
settings_require_key(const struct parser *parser, const char *section,
                     const char *name)
{
    const struct key *key = find_key(section, name);
    char allowed[SETTINGS_TEXT_BYTES];
    char full_name[SETTINGS_TEXT_BYTES];

    if (parser->key_lines[key - KEYS] == 0) {
        snprintf(full_name, sizeof(full_name), "%s.%s", section, name);
        SlValue_FormatAllowed(key->type, key->min, key->max, allowed,
                              sizeof(allowed));
        SlFaults_Add(parser->faults, 0, full_name, allowed, "nothing");
    }
}

uint32_t
settings_key_line(const struct parser *parser, const char *section,
                  const char *name)
{
    const struct key *key = find_key(section, name);

    return parser->key_lines[key - KEYS];
}

static void
set_default_settings(struct SlSettings *settings)
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
    struct parser parser = {.settings = settings, .faults = faults};
    char *text;

    *faults = (struct SlFaults){.count = 0};
    set_default_settings(settings);
    text = read_file(path, faults);
    if (text == NULL) {
        return;
    }
    blank_long_lines(text, faults);
    blank_invalid_lines(text, faults);
    parser.text = text;
    ini_parse_stream(read_line, &parser, handle_key_and_value, &parser);
    add_missing_key_faults(&parser);
    settings_validate(&parser);
    free(text);
}
