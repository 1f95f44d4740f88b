/* Odd entries from other writers: heartbeats and configurations with contents
 * that no endpoint and no operator sends. None may be taken for a valid one,
 * and none may need more memory or processor time than a small machine has. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform.h"
#include "resources.h"
#include "savoryledge/state/storage.h"
#include "test.h"

enum {
    /// The smallest machine gives a process 64 MB and 0.038 of a core.
    HEARTBEAT_MAX_KB = 2 * 1024,
    HEARTBEAT_MAX_US = 5 * 1000,
    CONFIG_MAX_KB = 20 * 1024,
    CONFIG_MAX_US = 100 * 1000,
    ROUTE_MAX_BYTES = 1000,
    LOG_TAIL_BYTES = 8 << 20,
    LOG_MAX_US = 100 * 1000,
    /// The memory of the smallest machine, less what a process needs besides.
    PROCESS_MAX_KB = 40 * 1024,
};

/// A text of start, then element again and again up to the largest size, or
/// count times if that is not 0, then end.
struct large_text {
    const char *name;
    const char *start;
    const char *element;
    const char *end;
    uint32_t count;
};

static const struct large_text LARGE_TEXTS[] = {
    {"empty objects", "{\"later\":[", "{},", "0]}", 0},
    {"objects", "{\"later\":[", "{\"\":0},", "0]}", 0},
    {"empty arrays", "{\"later\":[", "[],", "0]}", 0},
    {"whole numbers", "{\"later\":[", "0,", "0]}", 0},
    {"fractions", "{\"later\":[", "0.5e-9,", "0]}", 0},
    {"strings", "{\"later\":[", "\"\",", "0]}", 0},
    {"nested arrays", "{\"later\":", "[", "", 0},
    {"nested objects", "{\"later\":", "{\"\":", "", 0},
    {"repeated fields", "{", "\"x\":0,", "\"x\":0}", 0},
    {"one string", "{\"later\":\"", "x", "\"}", 0},
    {"escapes", "{\"later\":\"", "\\n", "\"}", 0},
    {"spaces", "{", " ", "}", 0},
    {"zero bytes", "{\"later\":\"", "\\u0000", "\"}", 0},
    {"many objects", "{\"later\":[", "{\"\":0},", "0]}", 49000},
    {"many numbers", "{\"later\":[", "1234567890,", "0]}", 92000},
    {"many fields", "{\"later\":[0", ",{\"a\":0,\"b\":0}", "]}", 40000},
    {"many levels", "{\"later\":", "[", "0", 2000},
    {"one number", "{\"later\":", "9", "}", 1000000},
};

/// Fills text, which has PLATFORM_JSON_MAX_BYTES + 1 bytes. Returns its
/// length.
static size_t
fill_large_text(const struct large_text *large, char *text)
{
    size_t element_bytes = strlen(large->element);
    size_t end_bytes = strlen(large->end);
    size_t length = strlen(large->start);
    uint32_t count = large->count != 0 ? large->count : UINT32_MAX;

    memcpy(text, large->start, length);
    while (count-- > 0 &&
           length + element_bytes + end_bytes <= PLATFORM_JSON_MAX_BYTES) {
        memcpy(text + length, large->element, element_bytes);
        length += element_bytes;
    }
    memcpy(text + length, large->end, end_bytes + 1);
    return length + end_bytes;
}

static void
test_large_texts(void)
{
    char *text = malloc(PLATFORM_JSON_MAX_BYTES + 1);
    struct SlUpstreamStatus upstream_status;
    struct SlError error;
    struct cost cost;
    uint64_t version;

    for (size_t i = 0; i < sizeof(LARGE_TEXTS) / sizeof(LARGE_TEXTS[0]); i++) {
        size_t length = fill_large_text(&LARGE_TEXTS[i], text);

        start_cost(&cost);
        CU_ASSERT_NOT_EQUAL(
            platform_parse_upstream_status("i-1", (const uint8_t *)text,
                                           length, &upstream_status),
            SL_OK);
        end_cost(&cost, LARGE_TEXTS[i].name, HEARTBEAT_MAX_KB,
                 HEARTBEAT_MAX_US);
        start_cost(&cost);
        CU_ASSERT_NOT_EQUAL(platform_parse_config((const uint8_t *)text,
                                                  length, NULL, &version,
                                                  &error),
                            SL_OK);
        end_cost(&cost, LARGE_TEXTS[i].name, CONFIG_MAX_KB, CONFIG_MAX_US);
    }
    free(text);
}

/// Fills text with a valid configuration of the largest size: services whose
/// names end in a number, and routes with eight shares each.
static size_t
fill_largest_config(const char *service_name, uint32_t services, char *text)
{
    size_t length = (size_t)sprintf(text, "{\"version\":7,\"services\":[");
    uint32_t routes = 0;

    for (uint32_t i = 0; i < services; i++) {
        length += (size_t)sprintf(text + length, "%s{\"name\":\"%s%u\"}",
                                  i > 0 ? "," : "", service_name, i);
    }
    length += (size_t)sprintf(text + length, "],\"routes\":[");
    while (length < PLATFORM_JSON_MAX_BYTES - ROUTE_MAX_BYTES) {
        length += (size_t)sprintf(
            text + length,
            "%s{\"name\":\"%u\",\"host\":\"10.0.%u.%u\",\"path_prefix\":"
            "\"/1/\",\"type\":\"x\",\"timeout_ms\":1,\"backends\":[",
            routes > 0 ? "," : "", routes, routes / 250, routes % 250);
        for (uint32_t i = 0; i < SL_PLAN_ROUTE_SHARES_MAX; i++) {
            length += (size_t)sprintf(
                text + length, "%s{\"service\":\"%s%u\",\"weight\":1}",
                i > 0 ? "," : "", service_name, services - 1 - i % services);
        }
        length += (size_t)sprintf(text + length, "]}");
        routes++;
    }
    return length + (size_t)sprintf(text + length, "]}");
}

/// The checks of odd texts must refuse no valid configuration.
static void
test_largest_config(void)
{
    static const struct {
        const char *service_name;
        uint32_t services;
    } CONFIGS[] = {{"service-1", SL_PLAN_SERVICES_MAX}, {"", 1}};
    char *text = malloc(PLATFORM_JSON_MAX_BYTES + 1);
    struct SlError error;
    struct cost cost;
    uint64_t version;

    for (size_t i = 0; i < sizeof(CONFIGS) / sizeof(CONFIGS[0]); i++) {
        size_t length = fill_largest_config(CONFIGS[i].service_name,
                                            CONFIGS[i].services, text);
        struct SlPlan *plan = NULL;

        start_cost(&cost);
        CU_ASSERT_EQUAL(platform_parse_config((const uint8_t *)text, length,
                                              &plan, &version, &error),
                        SL_OK);
        end_cost(&cost, "largest configuration", CONFIG_MAX_KB, CONFIG_MAX_US);
        SlPlan_Unref(plan);
    }
    free(text);
}

/// Fields of a heartbeat with their valid values.
static const char *const HEARTBEAT_FIELDS[][2] = {
    {"service", "\"workroom\""}, {"address", "\"10.1.0.9:8080\""},
    {"zone", "\"ub-a\""},        {"version", "\"v1\""},
    {"concurrency", "3"},        {"state", "\"ready\""},
    {"cold_left_ms", "1900"},    {"seq", "4"},
    {"born", "17000"},
};

enum {
    FIELD_COUNT = sizeof(HEARTBEAT_FIELDS) / sizeof(HEARTBEAT_FIELDS[0]),
    TEXT_BYTES = 1024,
};

/// Parses a heartbeat in which one field has another value; a value of NULL
/// leaves the field out. more: further fields, or "".
static enum SlStatus
parse_heartbeat(uint32_t odd_field, const char *odd_value, const char *more)
{
    struct SlUpstreamStatus upstream_status;
    char text[TEXT_BYTES] = "{";

    for (uint32_t i = 0; i < FIELD_COUNT; i++) {
        const char *value =
            i == odd_field ? odd_value : HEARTBEAT_FIELDS[i][1];
        size_t length = strlen(text);

        if (value != NULL) {
            snprintf(text + length, sizeof(text) - length, "%s\"%s\":%s",
                     length > 1 ? "," : "", HEARTBEAT_FIELDS[i][0], value);
        }
    }
    snprintf(text + strlen(text), sizeof(text) - strlen(text), "%s}", more);
    return platform_parse_upstream_status("i-1", (const uint8_t *)text,
                                          strlen(text), &upstream_status);
}

/// An odd value, and the only fields of which it is a valid value.
struct odd_value {
    const char *value;
    const char *valid_fields;
};

static const struct odd_value ODD_VALUES[] = {
    {NULL, "born"},
    {"null", ""},
    {"true", ""},
    {"[]", ""},
    {"{}", ""},
    {"[[[[[[[[[[0]]]]]]]]]]", ""},
    {"0", "cold_left_ms seq born"},
    {"-1", ""},
    {"1.5", ""},
    {"1e999", ""},
    {"NaN", ""},
    {"65536", "cold_left_ms seq born"},
    {"9007199254740992", ""},
    {"9223372036854775807", ""},
    {"9223372036854775808", ""},
    {"99999999999999999999999999", ""},
    {"\"\"", "version"},
    {"\"x\"", "service zone version"},
    {"\"\\u0000\"", ""},
    {"\"v1\\u0000\"", ""},
    {"\"\\ud800\"", ""},
    {"\"\xc3\"", ""},
    {"\"\xff\"", ""},
    {"\"10.1.0.9\"", "service zone version"},
    {"\"10.1.0.9:0\"", "service zone version"},
    {"\"10.1.0.9:65536\"", "service zone version"},
    {"\"10.1.0.9:-1\"", "service zone version"},
    {"\"10.1.0.9:18446744073709559696\"", "service zone version"},
    {"\"10.1.0.999:80\"", "service zone version"},
};

static void
test_odd_heartbeats(void)
{
    CU_ASSERT_EQUAL(parse_heartbeat(FIELD_COUNT, NULL, ""), SL_OK);
    CU_ASSERT_EQUAL(parse_heartbeat(FIELD_COUNT, NULL, ",\"later\":[1.5]"),
                    SL_OK);
    CU_ASSERT_EQUAL(parse_heartbeat(FIELD_COUNT, NULL, ",\"later\":1e999"),
                    SL_MALFORMED);
    for (uint32_t field = 0; field < FIELD_COUNT; field++) {
        for (size_t i = 0; i < sizeof(ODD_VALUES) / sizeof(ODD_VALUES[0]);
             i++) {
            const char *name = HEARTBEAT_FIELDS[field][0];
            const char *value = ODD_VALUES[i].value;
            bool is_valid = strstr(ODD_VALUES[i].valid_fields, name) != NULL;
            bool is_taken = parse_heartbeat(field, value, "") == SL_OK;

            if (is_taken != is_valid) {
                printf("    %s is %s with %s\n", name,
                       is_taken ? "taken" : "refused",
                       value != NULL ? value : "no value");
            }
            CU_ASSERT_EQUAL(is_taken, is_valid);
        }
    }
}

/// Fields of a configuration with their valid values, in the order of
/// CONFIG_TEMPLATE.
static const char *const CONFIG_FIELDS[][2] = {
    {"version", "7"},         {"max_conns", "2000"},
    {"cold_start_s", "2.0"},  {"cold_per_s", "0.5"},
    {"host", "\"10.0.0.1\""}, {"path_prefix", "\"/80/\""},
    {"timeout_ms", "1500"},   {"slo_ms", "150"},
    {"priority", "1"},        {"weight", "1"},
    {"idle_ms", "1"},
};

static const char CONFIG_TEMPLATE[] =
    "{\"version\":%s,\"services\":[{\"name\":\"a\",\"max_conns\":%s,"
    "\"cold_start_s\":%s,\"cold_per_s\":%s}],\"routes\":[{\"name\":\"r\","
    "\"host\":%s,\"path_prefix\":%s,\"type\":\"x\",\"timeout_ms\":%s,"
    "\"slo_ms\":%s,\"priority\":%s,\"backends\":[{\"service\":\"a\","
    "\"weight\":%s}]}],\"limits\":{\"idle_timeout_ms\":%s}}";

enum {
    CONFIG_FIELD_COUNT = sizeof(CONFIG_FIELDS) / sizeof(CONFIG_FIELDS[0]),
};

static enum SlStatus
parse_config(uint32_t odd_field, const char *odd_value)
{
    const char *values[CONFIG_FIELD_COUNT];
    struct SlError error;
    char text[TEXT_BYTES];
    uint64_t version;

    for (uint32_t i = 0; i < CONFIG_FIELD_COUNT; i++) {
        values[i] = i == odd_field ? odd_value : CONFIG_FIELDS[i][1];
    }
    snprintf(text, sizeof(text), CONFIG_TEMPLATE, values[0], values[1],
             values[2], values[3], values[4], values[5], values[6], values[7],
             values[8], values[9], values[10]);
    return platform_parse_config((const uint8_t *)text, strlen(text), NULL,
                                 &version, &error);
}

static const struct odd_value ODD_CONFIG_VALUES[] = {
    {"null", "max_conns cold_start_s cold_per_s slo_ms priority idle_ms"},
    {"true", ""},
    {"[]", ""},
    {"{}", ""},
    {"[[[[[[[[[[0]]]]]]]]]]", ""},
    {"0", "max_conns cold_start_s cold_per_s slo_ms priority idle_ms"},
    {"-1", ""},
    {"1.5", "cold_start_s cold_per_s"},
    {"1e999", ""},
    {"Infinity", ""},
    {"4294967295", "version max_conns timeout_ms slo_ms priority idle_ms"},
    {"4294967296", "version"},
    {"9223372036854775807", "version"},
    {"9223372036854775808", ""},
    {"\"\"", ""},
    {"\"10.0.0.1\"", "host"},
    {"\"10.0.0.1\\u0000\"", ""},
    {"\"10.0.0.1:80\"", ""},
    {"\"10.0.0.256\"", ""},
    {"\"::1\"", ""},
    {"\"/0/\"", ""},
    {"\"/65535/\"", "path_prefix"},
    {"\"/65536/\"", ""},
    {"\"/-1/\"", ""},
    {"\"/18446744073709551696/\"", ""},
    {"\"/80\"", ""},
    {"\"/80/\xc3\"", ""},
    {"\"\xff\"", ""},
};

static void
test_odd_configs(void)
{
    CU_ASSERT_EQUAL(parse_config(CONFIG_FIELD_COUNT, NULL), SL_OK);
    for (uint32_t field = 0; field < CONFIG_FIELD_COUNT; field++) {
        for (size_t i = 0;
             i < sizeof(ODD_CONFIG_VALUES) / sizeof(ODD_CONFIG_VALUES[0]);
             i++) {
            const struct odd_value *odd = &ODD_CONFIG_VALUES[i];
            const char *name = CONFIG_FIELDS[field][0];
            bool is_valid = strstr(odd->valid_fields, name) != NULL;
            bool is_taken = parse_config(field, odd->value) == SL_OK;

            if (is_taken != is_valid) {
                printf("    %s is %s with %s\n", name,
                       is_taken ? "taken" : "refused", odd->value);
            }
            CU_ASSERT_EQUAL(is_taken, is_valid);
        }
    }
}

/// A log with a long tail that is no record is refused in short time, at each
/// start of the process.
static void
test_damaged_log(void)
{
    char folder[] = "/tmp/odd-entry-XXXXXX";
    char path[sizeof(folder) + 8];
    char *tail = malloc(LOG_TAIL_BYTES);
    struct SlStorage *storage;
    struct SlError error;
    struct cost cost;
    FILE *file;

    CU_ASSERT_PTR_NOT_NULL_FATAL(mkdtemp(folder));
    CU_ASSERT_EQUAL_FATAL(SlStorage_OpenFolder(folder, 1, 2, &storage, &error),
                          SL_OK);
    SlStorage_Destroy(storage);
    snprintf(path, sizeof(path), "%s/log", folder);
    memset(tail, 'x', LOG_TAIL_BYTES);
    file = fopen(path, "a");
    CU_ASSERT_EQUAL(fwrite(tail, 1, LOG_TAIL_BYTES, file), LOG_TAIL_BYTES);
    fclose(file);
    free(tail);
    start_cost(&cost);
    CU_ASSERT_EQUAL(SlStorage_OpenFolder(folder, 1, 2, &storage, &error),
                    SL_DAMAGED);
    end_cost(&cost, "damaged log", PROCESS_MAX_KB, LOG_MAX_US);
    snprintf(path, sizeof(path), "rm -r %s", folder);
    CU_ASSERT_EQUAL(system(path), 0);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"texts of the largest size", test_large_texts},
        {"valid configuration of the largest size", test_largest_config},
        {"odd heartbeats", test_odd_heartbeats},
        {"odd configurations", test_odd_configs},
        {"a damaged log", test_damaged_log},
    };

    return RUN_SUITE("odd entries", CASES);
}
