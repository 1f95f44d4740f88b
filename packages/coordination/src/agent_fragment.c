/// Fragments from the upstream. All fragments of a datagram pass this agent,
/// so they need no reassembly: the first one carries the ports and so
/// identifies the flow, and the others are returned to the same caller
/// unchanged.

#include "agent_fragment.h"
#include "agent_core.h"
#include "agent_forward.h"

#include <netinet/in.h>
#include <netinet/udp.h>
#include <string.h>

enum {
    /// Max time between a first fragment and the later ones.
    LATER_FRAGMENT_US = 2 * AGENT_SECOND_US,
};

bool
agent_fragments_init(struct agent_fragments *fragments)
{
    return pthread_mutex_init(&fragments->lock, NULL) == 0;
}

bool
agent_fragment_parse_first(struct SlPacket *packet)
{
    struct udphdr header;

    if (packet->fragment_offset != 0 || packet->protocol != IPPROTO_UDP ||
        packet->payload_bytes < sizeof(header)) {
        return false;
    }
    memcpy(&header, packet->bytes + packet->payload_offset, sizeof(header));
    packet->kind = SL_PACKET_UDP;
    packet->source.port = ntohs(header.uh_sport);
    packet->destination.port = ntohs(header.uh_dport);
    packet->payload_offset += sizeof(header);
    packet->payload_bytes -= sizeof(header);
    return true;
}

void
agent_fragments_record_first(const struct agent_call *call,
                             const struct SlPacket *packet,
                             const struct SlFlow *flow)
{
    struct agent_fragments *fragments = &call->agent->fragments;

    if (!packet->fragment_more) {
        return;
    }
    pthread_mutex_lock(&fragments->lock);
    fragments->items[fragments->next++ % AGENT_FRAGMENTED_MAX] =
        (struct agent_returned_datagram){.flow = flow->key,
                                         .id = packet->fragment_id,
                                         .service_id = flow->service_id,
                                         .entry = flow->holder,
                                         .seen_us = call->now_us};
    pthread_mutex_unlock(&fragments->lock);
}

/// Returns true when the fragment belongs to the datagram. It is matched by
/// addresses and identification, because a later fragment has no ports.
static bool
is_later_fragment(const struct agent_returned_datagram *first,
                  const struct SlPacket *fragment, uint64_t now_us)
{
    return first->seen_us != 0 && first->id == fragment->fragment_id &&
           agent_elapsed_us(now_us, first->seen_us) < LATER_FRAGMENT_US &&
           memcmp(first->flow.caller.ip, fragment->destination.ip, 16) == 0 &&
           memcmp(first->flow.service.ip, fragment->source.ip, 16) == 0;
}

void
agent_fragments_return_later(const struct agent_call *call,
                             const struct SlPacket *fragment)
{
    struct agent_fragments *fragments = &call->agent->fragments;
    struct agent_returned_datagram found = {.seen_us = 0};

    pthread_mutex_lock(&fragments->lock);
    for (uint32_t i = 0; i < AGENT_FRAGMENTED_MAX; i++) {
        if (is_later_fragment(&fragments->items[i], fragment, call->now_us)) {
            found = fragments->items[i];
        }
    }
    pthread_mutex_unlock(&fragments->lock);
    if (found.seen_us == 0) {
        agent_report_drop(call, NULL, "fragment");
        return;
    }
    agent_increment_counter(call->agent, COUNT_RETURNED);
    agent_return_packet(call, found.service_id, found.entry, fragment->bytes,
                        fragment->length_bytes);
}
