/// Fuzzes the inputs from the platform. The first byte selects a packet, a
/// configuration, a stored document or the status of an upstream.

#include <string.h>

#include "fuzz.h"
#include "platform.h"

enum {
    INPUT_MAX_BYTES = 8192,
    INPUT_KINDS = 4,
};

static void
check_packet(const uint8_t *bytes, uint32_t length_bytes)
{
    uint8_t reset[SL_SEGMENT_RESET_BYTES];
    struct SlSegment segment;
    struct SlSegment parsed;
    struct SlFlowKey key;
    uint32_t reset_bytes;

    if (PLATFORM_SEGMENT_FORMAT.parse(bytes, length_bytes, &segment) !=
        SL_OK) {
        return;
    }
    fuzz_require(segment.payload_bytes < length_bytes);
    key = SlSegment_FlowKeyFromCaller(&segment);
    reset_bytes =
        PLATFORM_SEGMENT_FORMAT.build_reset(&key, segment.ack, reset);
    fuzz_require(reset_bytes <= sizeof(reset));
    fuzz_require(PLATFORM_SEGMENT_FORMAT.parse(reset, reset_bytes, &parsed) ==
                 SL_OK);
    fuzz_require(parsed.flags == SL_SEGMENT_RESET &&
                 parsed.seq == segment.ack);
    fuzz_require(SlAddress_Equal(&parsed.destination, &segment.source));
}

/// Checks that an accepted plan finds each of its routes, and a service for
/// each. Releases the plan.
static void
check_plan(struct SlPlan *plan)
{
    struct SlFlowKey flow = {.protocol = 6};

    for (uint32_t i = 0; i < SlPlan_RouteCount(plan); i++) {
        const struct SlPlanRoute *route = SlPlan_RouteAt(plan, i);
        uint32_t service = SlPlan_ChooseService(route, &flow);

        fuzz_require(SlPlan_FindRoute(plan, &route->address) == route);
        fuzz_require(service < SlPlan_ServiceCount(plan));
        fuzz_require(SlPlan_RouteAllowsService(route, service));
    }
    SlPlan_Unref(plan);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    struct SlUpstreamStatus status;
    struct SlPlan *plan;
    struct SlError error;
    uint64_t version;

    if (length_bytes == 0 || length_bytes > INPUT_MAX_BYTES) {
        return 0;
    }
    length_bytes--;
    switch (*bytes++ % INPUT_KINDS) {
    case 0:
        check_packet(bytes, (uint32_t)length_bytes);
        break;
    case 1:
        if (platform_parse_config(bytes, length_bytes, &plan, &version,
                                  &error) == SL_OK) {
            check_plan(plan);
        }
        break;
    case 2:
        if (PLATFORM_PLAN_FORMAT.decode(bytes, length_bytes, &plan, &error) ==
            SL_OK) {
            check_plan(plan);
        }
        break;
    default:
        if (platform_parse_upstream_status("i-1", bytes, length_bytes,
                                           &status) == SL_OK) {
            fuzz_require(status.slots > 0 && status.service[0] != '\0');
        }
        break;
    }
    return 0;
}
