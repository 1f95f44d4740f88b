#include "savoryledge/common/segment.h"

#include <netinet/in.h>

struct SlFlowKey
SlSegment_FlowKeyFromCaller(const struct SlSegment *segment)
{
    return (struct SlFlowKey){.caller = segment->source,
                              .service = segment->destination,
                              .protocol = IPPROTO_TCP};
}

struct SlFlowKey
SlSegment_FlowKeyFromUpstream(const struct SlSegment *segment)
{
    return (struct SlFlowKey){.caller = segment->destination,
                              .service = segment->source,
                              .protocol = IPPROTO_TCP};
}
