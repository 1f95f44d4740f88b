/// Reads traces: one statement on a line, words separated by blanks, "#"
/// begins a comment.

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "simulation.h"

enum {
    LINE_BYTES = 512,
    WORDS_MAX = 12,
    SERVICE_PORT = 443,
};

struct line {
    uint32_t count;
    char *words[WORDS_MAX];
};

static void
split_words(char *text, struct line *line)
{
    char *rest = NULL;
    char *comment = strchr(text, '#');

    if (comment != NULL) {
        *comment = '\0';
    }
    line->count = 0;
    for (char *word = strtok_r(text, " \t\n", &rest);
         word != NULL && line->count < WORDS_MAX;
         word = strtok_r(NULL, " \t\n", &rest)) {
        line->words[line->count++] = word;
    }
}

static uint32_t
word_as_uint(const struct line *line, uint32_t word_index)
{
    return word_index < line->count
               ? (uint32_t)strtoul(line->words[word_index], NULL, 10)
               : 0;
}

static bool
read_zones(struct SlTrace *trace, const struct line *line)
{
    struct SlSim *sim = trace->sim;

    for (uint32_t i = 1; i < line->count && i <= SIM_ZONES_MAX; i++) {
        snprintf(sim->zones[sim->zone_count++], SL_NAME_BYTES, "%s",
                 line->words[i]);
    }
    return sim->zone_count > 0;
}

static bool
read_nodes(struct SlTrace *trace, const struct line *line)
{
    struct SlSim *sim = trace->sim;
    bool entries = strcmp(line->words[0], "entries") == 0;
    uint32_t count = word_as_uint(line, 1);

    if (sim->zone_count == 0 || count == 0) {
        return false;
    }
    for (uint32_t i = 0; i < count; i++) {
        char name[SL_NAME_BYTES];

        snprintf(name, sizeof(name), "%s-%u", entries ? "entry" : "control",
                 (i + 1) % 1000);
        SlSimNode_Add(sim, name, i % sim->zone_count,
                      entries ? SL_ROLE_ENTRY : SL_ROLE_CONTROL);
    }
    *(entries ? &sim->settings.entries : &sim->settings.controls) = count;
    return true;
}

/// Reads a statement: service NAME tcp|udp UPSTREAMS SLOTS CONNECTIONS
/// [SILENCE_MS]
static bool
read_service(struct SlTrace *trace, const struct line *line)
{
    struct SlSim *sim = trace->sim;
    uint32_t index = sim->service_count++;
    struct SlSimService *service = &sim->services[index];
    char text[SL_ADDRESS_TEXT_BYTES];

    if (line->count < 6 || sim->zone_count == 0 || index >= SIM_SERVICES_MAX) {
        return false;
    }
    snprintf(service->name, sizeof(service->name), "%s", line->words[1]);
    service->protocol =
        strcmp(line->words[2], "udp") == 0 ? IPPROTO_UDP : IPPROTO_TCP;
    service->silence_ms = word_as_uint(line, 6);
    snprintf(text, sizeof(text), "10.254.0.%u:%u", index + 1, SERVICE_PORT);
    (void)SlAddress_Parse(text, &service->address);
    for (uint32_t i = 0; i < word_as_uint(line, 3); i++) {
        char name[SL_NAME_BYTES];
        struct SlSimNode *node;

        snprintf(name, sizeof(name), "%.40s-%u", service->name,
                 (i + 1) % 1000);
        node = &sim->nodes[SlSimNode_Add(sim, name, i % sim->zone_count,
                                         SL_ROLE_AGENT)];
        node->upstream.service = index;
        node->upstream.slots = word_as_uint(line, 4);
        node->upstream.capacity_flows = word_as_uint(line, 5);
        SlLabels_Set(&node->options.replica.announce.node.announced, "service",
                     service->name);
    }
    return true;
}

static bool
read_step(struct SlTrace *trace, const struct line *line)
{
    struct SlSim *sim = trace->sim;
    struct SlSimStep *step = &sim->steps[sim->step_count];

    if (line->count < 3 || sim->step_count == SIM_STEPS_MAX) {
        return false;
    }
    sim->step_count++;
    step->time_us = (uint64_t)(strtod(line->words[1], NULL) * 1e6);
    for (uint32_t i = 2; i < line->count && i < 2 + 8; i++) {
        snprintf(step->words[i - 2], SL_NAME_BYTES, "%s", line->words[i]);
        step->word_count++;
    }
    return step->time_us > SIM_START_US;
}

static bool
read_bound(struct SlTrace *trace, const struct line *line)
{
    struct SlSimBound *bound = &trace->bounds[trace->bound_count];
    double value;

    if (line->count != 4 || trace->bound_count == SIM_BOUNDS_MAX ||
        !SlSim_FindFigure(trace->sim, line->words[1], &value)) {
        return false;
    }
    trace->bound_count++;
    snprintf(bound->name, sizeof(bound->name), "%s", line->words[1]);
    snprintf(bound->comparison, sizeof(bound->comparison), "%s",
             line->words[2]);
    bound->value = strtod(line->words[3], NULL);
    return strcmp(bound->comparison, "=") == 0 ||
           strcmp(bound->comparison, "<=") == 0 ||
           strcmp(bound->comparison, ">=") == 0;
}

static bool
read_setting(struct SlTrace *trace, const struct line *line)
{
    struct SlSimSettings *settings = &trace->sim->settings;
    const struct {
        const char *name;
        uint32_t *value;
        uint32_t unit;
    } table[] = {
        {"client-us", &settings->client_delay_us, 1},
        {"zone-us", &settings->zone_delay_us, 1},
        {"jitter-us", &settings->jitter_us, 1},
        {"service-us", &settings->service_time_us, 1},
        {"cold-ms", &settings->cold_ms, 1},
        {"cold-factor", &settings->cold_factor, 1},
    };

    for (size_t i = 0; i < sizeof(table) / sizeof(table[0]); i++) {
        if (strcmp(table[i].name, line->words[0]) == 0) {
            *table[i].value = word_as_uint(line, 1);
            return true;
        }
    }
    if (strcmp(line->words[0], "seed") == 0) {
        settings->seed = word_as_uint(line, 1);
        return true;
    }
    if (strcmp(line->words[0], "end") == 0) {
        settings->end_us = (uint64_t)(strtod(line->words[1], NULL) * 1e6);
        return line->count == 2;
    }
    if (strcmp(line->words[0], "reuse") == 0) {
        trace->sim->reuse_ports = true;
        return true;
    }
    return false;
}

static bool
read_statement(struct SlTrace *trace, const struct line *line)
{
    const char *word = line->words[0];

    if (strcmp(word, "zones") == 0) {
        return read_zones(trace, line);
    }
    if (strcmp(word, "entries") == 0 || strcmp(word, "controls") == 0) {
        return read_nodes(trace, line);
    }
    if (strcmp(word, "service") == 0) {
        return read_service(trace, line);
    }
    if (strcmp(word, "at") == 0) {
        return read_step(trace, line);
    }
    if (strcmp(word, "expect") == 0) {
        return read_bound(trace, line);
    }
    return read_setting(trace, line);
}

static bool
read_file(struct SlTrace *trace, const char *path, FILE *file)
{
    char text[LINE_BYTES];
    uint32_t line_number = 0;

    while (fgets(text, sizeof(text), file) != NULL) {
        struct line line;

        line_number++;
        split_words(text, &line);
        if (line.count > 0 && strcmp(line.words[0], "include") == 0) {
            char included_path[LINE_BYTES];
            const char *slash = strrchr(path, '/');
            int folder_length = slash == NULL ? 0 : (int)(slash - path) + 1;

            snprintf(included_path, sizeof(included_path), "%.*s%s",
                     folder_length, path, line.count > 1 ? line.words[1] : "");
            if (!SlTrace_Read(included_path, trace)) {
                return false;
            }
        }
        else if (line.count > 0 && !read_statement(trace, &line)) {
            fprintf(stderr, "%s:%u: invalid statement \"%s\"\n", path,
                    line_number, line.words[0]);
            return false;
        }
    }
    return true;
}

bool
SlTrace_Read(const char *path, struct SlTrace *trace)
{
    FILE *file = fopen(path, "r");
    bool read;

    if (file == NULL) {
        perror(path);
        return false;
    }
    if (trace->sim == NULL) {
        trace->sim = SlSim_Create();
    }
    read = read_file(trace, path, file);
    fclose(file);
    return read;
}

bool
SlSimBound_Holds(const struct SlSimBound *bound, double value)
{
    if (strcmp(bound->comparison, "<=") == 0) {
        return value <= bound->value;
    }
    if (strcmp(bound->comparison, ">=") == 0) {
        return value >= bound->value;
    }
    return value == bound->value;
}
