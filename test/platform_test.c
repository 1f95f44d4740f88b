/* Tests of the platform adapter: packets, configuration documents and upstream
 * statuses. */

#include <stdio.h>
#include <string.h>

#include "platform.h"
#include "test.h"

static struct SlAddress
parse_address(const char *text)
{
    struct SlAddress address;

    CU_ASSERT_EQUAL_FATAL(SlAddress_Parse(text, &address), SL_OK);
    return address;
}

/// Parses an opening segment and builds a reset, compared byte by byte.
static void
test_packets(void)
{
    static const uint8_t OPENING[] = {
        0xa1, 0xb2, 0xc3, 0xd5, 0,    0,    0,    0,    0x9c, 0x41, 0xc6, 0x12,
        0x00, 0x01, 0x64, 0x40, 0x00, 0x07, 0x01, 0xbb, 0x11, 0x22, 0x33, 0x44,
        0,    0,    0,    0,    0x08, 0,    0,    0,    0,    0,    0,    0};
    static const uint8_t RESET[] = {
        0,    0,    0,    0,    0,    0,    0,    0,    0x01, 0xbb, 0x64, 0x40,
        0x00, 0x07, 0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41, 0,    0,    0,    0,
        0,    0,    0,    0,    0x02, 0,    0,    0,    0,    0,    0,    0};
    struct SlAddress caller = parse_address("100.64.0.7:40001");
    struct SlAddress service = parse_address("198.18.0.1:443");
    uint8_t reset[SL_SEGMENT_RESET_BYTES];
    struct SlSegment segment;
    struct SlFlowKey key;

    CU_ASSERT_EQUAL(
        PLATFORM_SEGMENT_FORMAT.parse(OPENING, sizeof(OPENING), &segment),
        SL_OK);
    CU_ASSERT_EQUAL(segment.flags, SL_SEGMENT_OPEN);
    CU_ASSERT_EQUAL(segment.seq, 0x11223344);
    CU_ASSERT(SlAddress_Equal(&segment.source, &caller));
    CU_ASSERT(SlAddress_Equal(&segment.destination, &service));
    key = SlSegment_FlowKeyFromCaller(&segment);
    CU_ASSERT_EQUAL(PLATFORM_SEGMENT_FORMAT.build_reset(&key, 0, reset),
                    sizeof(RESET));
    CU_ASSERT_EQUAL(memcmp(reset, RESET, sizeof(RESET)), 0);
    (void)PLATFORM_SEGMENT_FORMAT.build_reset(&key, 0x01020304, reset);
    CU_ASSERT_EQUAL(memcmp(reset + 20, "\1\2\3\4", 4), 0);
}

/// The ack field of a copy of an opening segment gives the age of the first
/// copy; segments with the ACK flag have no age.
static void
test_opening_age(void)
{
    static const uint32_t AGES_MS[] = {0, 200, 600, 600};
    uint8_t bytes[36] = {0};
    struct SlSegment segment;

    for (uint32_t i = 0; i < 4; i++) {
        bytes[27] = (uint8_t)i;
        bytes[28] = 8;
        CU_ASSERT_EQUAL(PLATFORM_SEGMENT_FORMAT.parse(bytes, 36, &segment),
                        SL_OK);
        CU_ASSERT_EQUAL(segment.age_ms, AGES_MS[i]);
        bytes[28] = 128;
        CU_ASSERT_EQUAL(PLATFORM_SEGMENT_FORMAT.parse(bytes, 36, &segment),
                        SL_OK);
        CU_ASSERT_EQUAL(segment.age_ms, 0);
    }
}

static void
test_packet_faults(void)
{
    uint8_t bytes[36 + 1201] = {0};
    struct SlSegment segment;

    CU_ASSERT_EQUAL(PLATFORM_SEGMENT_FORMAT.parse(bytes, 35, &segment),
                    SL_MALFORMED);
    CU_ASSERT_EQUAL(PLATFORM_SEGMENT_FORMAT.parse(bytes, 36, &segment), SL_OK);
    CU_ASSERT_EQUAL(PLATFORM_SEGMENT_FORMAT.parse(bytes, 37, &segment),
                    SL_MALFORMED);
    bytes[34] = 1201 >> 8;
    bytes[35] = 1201 & 0xff;
    CU_ASSERT_EQUAL(
        PLATFORM_SEGMENT_FORMAT.parse(bytes, sizeof(bytes), &segment),
        SL_MALFORMED);
    memset(bytes, 0xff, sizeof(bytes));
    bytes[34] = 0;
    bytes[35] = 0;
    CU_ASSERT_EQUAL(PLATFORM_SEGMENT_FORMAT.parse(bytes, 36, &segment), SL_OK);
    CU_ASSERT(segment.flags & SL_SEGMENT_RETURNED);
    PLATFORM_SEGMENT_FORMAT.clear_returned(bytes);
    CU_ASSERT_EQUAL(bytes[28], 0xff & ~16);
}

static const char CONFIG[] =
    "{\"version\":7,\"routes\":["
    "{\"name\":\"orders\",\"host\":\"198.18.0.1\","
    "\"path_prefix\":\"/8080/\",\"type\":\"non_idempotent\","
    "\"timeout_ms\":1500,\"slo_ms\":150,\"priority\":1,"
    "\"service\":\"workroom\",\"max_attempts\":2},"
    "{\"name\":\"pages\",\"host\":\"198.18.0.1\","
    "\"path_prefix\":\"/8443/\",\"type\":\"download\","
    "\"timeout_ms\":5000,\"slo_ms\":500,\"priority\":2,"
    "\"backends\":[{\"service\":\"workroom\",\"weight\":90},"
    "{\"service\":\"catalogue\",\"weight\":10}]},"
    "{\"name\":\"photos\",\"host\":\"198.18.0.2\","
    "\"path_prefix\":\"/443/\",\"type\":\"upload\","
    "\"timeout_ms\":9000,\"slo_ms\":800,\"priority\":2,"
    "\"service\":\"catalogue\",\"max_attempts\":2}],"
    "\"services\":[{\"name\":\"workroom\",\"health_path\":\"/health\","
    "\"max_conns\":2000,\"cold_start_s\":2.5,\"cold_per_s\":12.0},"
    "{\"name\":\"catalogue\",\"health_path\":\"/health\","
    "\"max_conns\":1000,\"cold_start_s\":2.0,\"cold_per_s\":0.0}],"
    "\"limits\":{\"idle_timeout_ms\":15000},\"later\":[1,2]}";

static enum SlStatus
parse_config_text(const char *text, struct SlPlan **plan)
{
    struct SlError error;
    uint64_t version;

    return platform_parse_config((const uint8_t *)text, strlen(text), plan,
                                 &version, &error);
}

static void
test_config(void)
{
    struct SlPlan *plan = NULL;
    struct SlAddress address = parse_address("198.18.0.1:8443");
    const struct SlPlanRoute *route;
    const struct SlPlanService *service;

    CU_ASSERT_EQUAL_FATAL(parse_config_text(CONFIG, &plan), SL_OK);
    CU_ASSERT_EQUAL(SlPlan_Version(plan), 7);
    CU_ASSERT_EQUAL(SlPlan_IdleMs(plan), 15000);
    CU_ASSERT_EQUAL(SlPlan_RouteCount(plan), 3);
    route = SlPlan_FindRoute(plan, &address);
    CU_ASSERT_PTR_NOT_NULL_FATAL(route);
    CU_ASSERT_EQUAL(route->kind, SL_TRAFFIC_DOWNLOAD);
    CU_ASSERT_EQUAL(route->timeout_ms, 5000);
    CU_ASSERT_EQUAL(route->objective_ms, 500);
    CU_ASSERT_EQUAL(route->share_count, 2);
    CU_ASSERT_EQUAL(route->shares[1].weight, 10);
    address = parse_address("198.18.0.2:443");
    route = SlPlan_FindRoute(plan, &address);
    CU_ASSERT_PTR_NOT_NULL_FATAL(route);
    CU_ASSERT_EQUAL(route->kind, SL_TRAFFIC_UPLOAD);
    service = SlPlan_ServiceAt(plan, SlPlan_FindService(plan, "workroom"));
    CU_ASSERT_EQUAL(service->cold_ms, 2500);
    CU_ASSERT_EQUAL(service->slow_start_flows_per_s, 12);
    CU_ASSERT_EQUAL(service->capacity_flows, 2000);
    SlPlan_Unref(plan);
}

/// Returns text, filled with CONFIG in which the first occurrence of from is
/// replaced by to.
static const char *
replace_in_config(const char *from, const char *to, char *text,
                  size_t capacity_bytes)
{
    const char *found = strstr(CONFIG, from);

    CU_ASSERT_PTR_NOT_NULL_FATAL(found);
    snprintf(text, capacity_bytes, "%.*s%s%s", (int)(found - CONFIG), CONFIG,
             to, found + strlen(from));
    return text;
}

static void
test_config_faults(void)
{
    static const char *const REPLACEMENTS[][2] = {
        {"\"version\":7", "\"version\":0"},
        {"\"version\":7", "\"version\":\"7\""},
        {"\"version\":7,", ""},
        {"\"version\":7,", "\"version\":7,\"version\":8,"},
        {"\"timeout_ms\":1500", "\"timeout_ms\":1500,\"timeout_ms\":9"},
        {"\"timeout_ms\":1500", "\"timeout_ms\":0"},
        {"\"timeout_ms\":1500,", ""},
        {"\"timeout_ms\":1500", "\"timeout_ms\":-1"},
        {"\"service\":\"workroom\",\"max", "\"service\":\"nobody\",\"max"},
        {"\"service\":\"workroom\",\"max", "\"max"},
        {"\"backends\":[", "\"service\":\"nobody\",\"backends\":["},
        {"\"backends\":[", "\"service\":7,\"backends\":["},
        {"\"service\":\"workroom\",\"max",
         "\"service\":\"workroom\",\"backends\":7,\"max"},
        {"/8443/", "/8080/"},
        {"/8443/", "/"},
        {"/8443/", "/70000/"},
        {"/8443/", "/84x3/"},
        {"\"host\":\"198.18.0.1\"", "\"host\":\"somewhere\""},
        {"\"weight\":90", "\"weight\":0.5"},
        {",\"weight\":10", ""},
        {"\"weight\":90},{\"service\":\"catalogue\",\"weight\":10}",
         "\"weight\":0},{\"service\":\"catalogue\",\"weight\":0}"},
        {"\"name\":\"catalogue\"", "\"name\":\"workroom\""},
        {"\"routes\":[", "\"roads\":["},
        {"\"max_conns\":1000", "\"max_conns\":\"many\""},
        {"\"health_path\":\"/health\"", "\"health_path\":7"},
        {"\"health_path\":\"/health\"", "\"health_path\":{}"},
        {"\"limits\":{\"idle_timeout_ms\":15000}",
         "\"limits\":{\"idle_timeout_ms\":true}"},
        {"\"limits\":{\"idle_timeout_ms\":15000}", "\"limits\":7"},
        {"\"limits\":{\"idle_timeout_ms\":15000}", "\"limits\":[]"},
    };
    char text[sizeof(CONFIG) + 100];

    for (size_t i = 0; i < sizeof(REPLACEMENTS) / sizeof(REPLACEMENTS[0]);
         i++) {
        CU_ASSERT_NOT_EQUAL(
            parse_config_text(replace_in_config(REPLACEMENTS[i][0],
                                                REPLACEMENTS[i][1], text,
                                                sizeof(text)),
                              NULL),
            SL_OK);
    }
    for (size_t length = 0; length + 1 < sizeof(CONFIG) - 1; length += 7) {
        snprintf(text, sizeof(text), "%.*s", (int)length, CONFIG);
        CU_ASSERT_EQUAL(parse_config_text(text, NULL), SL_MALFORMED);
    }
    CU_ASSERT_EQUAL(parse_config_text("[]", NULL), SL_INVALID);
}

/// A slow-start rate that is not a whole number is rounded up: 0 would mean
/// that a cold upstream gets flows without a limit.
static void
test_slow_start_rates(void)
{
    static const struct {
        const char *cold_per_s;
        uint32_t flows_per_s;
    } RATES[] = {
        {"0", 0},        {"0.0", 0},  {"1e-9", 1}, {"0.5", 1},
        {"0.99999", 1},  {"1", 1},    {"7.25", 8}, {"12.0", 12},
        {"1e5", 100000}, {"-0.0", 0}, {"null", 0},
    };
    char text[sizeof(CONFIG) + 100];
    char rate[40];
    struct SlPlan *plan;

    for (size_t i = 0; i < sizeof(RATES) / sizeof(RATES[0]); i++) {
        plan = NULL;
        snprintf(rate, sizeof(rate), "\"cold_per_s\":%s", RATES[i].cold_per_s);
        CU_ASSERT_EQUAL_FATAL(
            parse_config_text(replace_in_config("\"cold_per_s\":12.0", rate,
                                                text, sizeof(text)),
                              &plan),
            SL_OK);
        CU_ASSERT_EQUAL(SlPlan_ServiceAt(plan, 0)->slow_start_flows_per_s,
                        RATES[i].flows_per_s);
        SlPlan_Unref(plan);
    }
}

/// Fields that are null, unknown or say the same twice leave a configuration
/// valid.
static void
test_config_variants(void)
{
    static const char *const REPLACEMENTS[][2] = {
        {"\"backends\":[", "\"service\":\"catalogue\",\"backends\":["},
        {"\"backends\":[", "\"service\":null,\"backends\":["},
        {"\"backends\":[", "\"service\":\"\",\"backends\":["},
        {"\"service\":\"workroom\",\"max",
         "\"service\":\"workroom\",\"backends\":null,\"max"},
        {"\"max_attempts\":2", "\"max_attempts\":[]"},
        {"\"health_path\":\"/health\"", "\"health_path\":null"},
        {"\"health_path\":\"/health\"", "\"health_path\":\"\""},
        {"\"health_path\":\"/health\",", ""},
        {"\"health_path\":\"/health\"",
         "\"health_path\":\"/0123456789/0123456789/0123456789/0123456789"
         "/0123456789/0123456789/0123456789/0123456789/0123456789\""},
        {"\"limits\":{\"idle_timeout_ms\":15000}", "\"limits\":null"},
        {"\"limits\":{\"idle_timeout_ms\":15000}", "\"limits\":{}"},
        {"\"limits\":{\"idle_timeout_ms\":15000},", ""},
        {"\"version\":7", "\"version\":7,\"more\":{\"version\":\"\"}"},
    };
    char text[sizeof(CONFIG) + 200];

    for (size_t i = 0; i < sizeof(REPLACEMENTS) / sizeof(REPLACEMENTS[0]);
         i++) {
        CU_ASSERT_EQUAL(
            parse_config_text(replace_in_config(REPLACEMENTS[i][0],
                                                REPLACEMENTS[i][1], text,
                                                sizeof(text)),
                              NULL),
            SL_OK);
    }
}

static void
test_document_compression(void)
{
    struct SlBuffer compressed = {.bytes = NULL};
    struct SlBuffer json = {.bytes = NULL};
    struct SlPlan *plan = NULL;
    struct SlError error;

    CU_ASSERT_EQUAL(platform_compress_document((const uint8_t *)CONFIG,
                                               sizeof(CONFIG) - 1,
                                               &compressed),
                    SL_OK);
    CU_ASSERT(compressed.length_bytes < sizeof(CONFIG) / 2);
    CU_ASSERT_EQUAL(platform_decompress_document(
                        compressed.bytes, compressed.length_bytes, &json),
                    SL_OK);
    CU_ASSERT_EQUAL(json.length_bytes, sizeof(CONFIG) - 1);
    CU_ASSERT_EQUAL(memcmp(json.bytes, CONFIG, sizeof(CONFIG) - 1), 0);
    CU_ASSERT_EQUAL(PLATFORM_PLAN_FORMAT.decode(compressed.bytes,
                                                compressed.length_bytes, &plan,
                                                &error),
                    SL_OK);
    SlPlan_Unref(plan);
    for (size_t i = 0; i < compressed.length_bytes; i += 3) {
        CU_ASSERT_NOT_EQUAL(
            PLATFORM_PLAN_FORMAT.decode(compressed.bytes, i, &plan, &error),
            SL_OK);
    }
    SlBuffer_Release(&compressed);
    SlBuffer_Release(&json);
}

static const char UPSTREAM_STATUS[] =
    "{\"service\":\"workroom\",\"address\":\"10.1.0.9:8080\","
    "\"zone\":\"ub-a\",\"version\":\"v1\",\"concurrency\":3,"
    "\"state\":\"ready\",\"cold_left_ms\":1900,\"seq\":4,\"born\":17000}";

static void
test_upstream_status(void)
{
    struct SlUpstreamStatus upstream_status;

    CU_ASSERT_EQUAL(platform_parse_upstream_status(
                        "i-1", (const uint8_t *)UPSTREAM_STATUS,
                        sizeof(UPSTREAM_STATUS) - 1, &upstream_status),
                    SL_OK);
    CU_ASSERT_STRING_EQUAL(upstream_status.id, "i-1");
    CU_ASSERT_STRING_EQUAL(upstream_status.service, "workroom");
    CU_ASSERT_EQUAL(upstream_status.slots, 3);
    CU_ASSERT_EQUAL(upstream_status.cold_remaining_ms, 1900);
    CU_ASSERT_EQUAL(upstream_status.seq, 4);
    CU_ASSERT_EQUAL(upstream_status.started_ms, 17000);
    CU_ASSERT_FALSE(upstream_status.draining);
}

/// A status with a missing or wrong field is malformed. A program other than
/// an upstream may send one.
static void
test_malformed_upstream_status(void)
{
    static const char *const REPLACEMENTS[][2] = {
        {"\"service\":\"workroom\",", ""},
        {"\"workroom\"", "7"},
        {"\"ready\"", "\"resting\""},
        {"\"ready\"", "null"},
        {"\"concurrency\":3", "\"concurrency\":0"},
        {"\"concurrency\":3", "\"concurrency\":\"3\""},
        {"\"cold_left_ms\":1900", "\"cold_left_ms\":-1"},
        {"\"seq\":4", "\"seq\":4.5"},
        {"\"seq\":4,", ""},
        {"\"born\":17000", "\"born\":\"now\""},
        {"\"zone\":\"ub-a\",", ""},
        {"\"seq\":4", "\"seq\":4,\"seq\":5"},
    };
    struct SlUpstreamStatus upstream_status;
    char text[sizeof(UPSTREAM_STATUS) + 40];

    for (size_t i = 0; i < sizeof(REPLACEMENTS) / sizeof(REPLACEMENTS[0]);
         i++) {
        const char *found = strstr(UPSTREAM_STATUS, REPLACEMENTS[i][0]);

        snprintf(text, sizeof(text), "%.*s%s%s",
                 (int)(found - UPSTREAM_STATUS), UPSTREAM_STATUS,
                 REPLACEMENTS[i][1], found + strlen(REPLACEMENTS[i][0]));
        CU_ASSERT_EQUAL(
            platform_parse_upstream_status("i-1", (const uint8_t *)text,
                                           strlen(text), &upstream_status),
            SL_MALFORMED);
    }
    CU_ASSERT_EQUAL(platform_parse_upstream_status(
                        "i-1", (const uint8_t *)UPSTREAM_STATUS,
                        sizeof(UPSTREAM_STATUS) - 2, &upstream_status),
                    SL_MALFORMED);
    CU_ASSERT_EQUAL(platform_parse_upstream_status(
                        "", (const uint8_t *)UPSTREAM_STATUS,
                        sizeof(UPSTREAM_STATUS) - 1, &upstream_status),
                    SL_MALFORMED);
}

int
main(void)
{
    static const struct test_case CASES[] = {
        {"packets", test_packets},
        {"age of copies", test_opening_age},
        {"packet faults", test_packet_faults},
        {"configuration", test_config},
        {"configuration faults", test_config_faults},
        {"variants of a configuration", test_config_variants},
        {"slow-start rates", test_slow_start_rates},
        {"document", test_document_compression},
        {"upstream status", test_upstream_status},
        {"malformed upstream statuses", test_malformed_upstream_status},
    };

    return RUN_SUITE("platform", CASES);
}
