/// What the platform sends: a packet, a configuration, a document and a notice
/// of an upstream, chosen by the first byte.

#include <string.h>

#include "fuzz.h"
#include "platform.h"

enum {
    INPUT_MAX_BYTES = 8192,
    KINDS = 4,
};

static void
check_packet(const uint8_t *bytes, uint32_t length_bytes)
{
    uint8_t reset[SL_SEGMENT_RESET_BYTES];
    struct SlSegment segment;
    struct SlSegment parsed;
    struct SlFlowKey key;
    uint32_t reset_bytes;

    if (PLATFORM_SEGMENTS.parse(bytes, length_bytes, &segment) != SL_OK) {
        return;
    }
    must(segment.payload_bytes < length_bytes);
    key = SlSegment_CallerKey(&segment);
    reset_bytes = PLATFORM_SEGMENTS.build_reset(&key, segment.ack, reset);
    must(reset_bytes <= sizeof(reset));
    must(PLATFORM_SEGMENTS.parse(reset, reset_bytes, &parsed) == SL_OK);
    must(parsed.flags == SL_SEGMENT_RESET && parsed.seq == segment.ack);
    must(SlAddress_Equal(&parsed.destination, &segment.source));
}

/// A plan that was accepted answers for each of its routes.
static void
check_plan(struct SlPlan *plan)
{
    struct SlFlowKey flow = {.protocol = 6};

    for (uint32_t i = 0; i < SlPlan_RouteCount(plan); i++) {
        const struct SlPlanRoute *route = SlPlan_RouteAt(plan, i);
        uint32_t service = SlPlan_ChooseService(route, &flow);

        must(SlPlan_FindRoute(plan, &route->address) == route);
        must(service < SlPlan_ServiceCount(plan));
        must(SlPlan_RouteAllowsService(route, service));
    }
    SlPlan_Unref(plan);
}

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes)
{
    struct SlUpstreamStatus notice;
    struct SlPlan *plan;
    struct SlError error;
    uint64_t version;

    if (length_bytes == 0 || length_bytes > INPUT_MAX_BYTES) {
        return 0;
    }
    length_bytes--;
    switch (*bytes++ % KINDS) {
    case 0:
        check_packet(bytes, (uint32_t)length_bytes);
        break;
    case 1:
        if (platform_read_plan(bytes, length_bytes, &plan, &version, &error) ==
            SL_OK) {
            check_plan(plan);
        }
        break;
    case 2:
        if (PLATFORM_PLANS.decode(bytes, length_bytes, &plan, &error) ==
            SL_OK) {
            check_plan(plan);
        }
        break;
    default:
        if (platform_read_notice("i-1", bytes, length_bytes, &notice) ==
            SL_OK) {
            must(notice.slots > 0 && notice.service[0] != '\0');
        }
        break;
    }
    return 0;
}
