/// Fragments: handed to the entry that gathers their datagram, and put
/// together there.
///
/// The gatherer follows from source, destination and identification alone, so
/// entries that know the same entries agree on it without a word. No state is
/// shared; a disagreement during a change of the set costs the datagram, which
/// its sender repeats.

#include <string.h>
#include <xxhash.h>

#include "entry_internal.h"

enum {
    FRAGMENT_KEY_BYTES = 37,
};

static uint64_t
fragment_hash(const struct SlPacket *fragment)
{
    uint8_t bytes[FRAGMENT_KEY_BYTES];
    bool ipv4 = SlAddress_IsIpv4(&fragment->source);

    memcpy(bytes, fragment->source.ip, 16);
    memcpy(bytes + 16, fragment->destination.ip, 16);
    memcpy(bytes + 32, &fragment->fragment_id, 4);
    /* Of IPv6 only the first fragment tells the protocol for sure. */
    bytes[36] = ipv4 ? fragment->protocol : 0;
    return XXH3_64bits(bytes, sizeof(bytes));
}

/// NULL when this entry is the gatherer.
static const struct SlRouteNode *
choose_gatherer(const struct entry_call *call, const struct SlPacket *fragment)
{
    uint64_t seed = fragment_hash(fragment);
    const struct SlRouteNode *best = NULL;
    uint64_t best_draw = 0;

    for (uint32_t i = 0; i < call->view->gatherer_count; i++) {
        const struct SlRouteNode *node = call->view->gatherers[i];
        uint64_t draw =
            XXH3_64bits_withSeed(&node->node_id, sizeof(node->node_id), seed);

        if (best == NULL || draw > best_draw) {
            best = node;
            best_draw = draw;
        }
    }
    if (best == NULL || best->node_id == call->entry->node_id) {
        return NULL;
    }
    return best;
}

static void
report(const struct entry_call *call, const struct SlPacket *fragment,
       const char *reason, uint32_t held)
{
    struct SlFlowKey flow;

    SlPacket_CallerKey(fragment, &flow);
    entry_event(call, (struct SlEvent){.number = SL_EVENT_FRAGMENT,
                                       .flow = &flow,
                                       .reason = reason,
                                       .value = held,
                                       .limit = ENTRY_DATAGRAMS});
}

static void
gather(const struct entry_call *call, const struct SlPacket *fragment)
{
    struct SlEntry *entry = call->entry;
    uint8_t whole[SL_PACKET_MTU_BYTES];
    struct SlPacket packet;
    uint32_t length = 0;
    uint32_t held;
    enum SlStatus status;

    pthread_mutex_lock(&entry->reassembly_lock);
    status = SlReassembly_Add(entry->reassembly, call->now_us, fragment, whole,
                              &length);
    held = SlReassembly_DatagramCount(entry->reassembly);
    pthread_mutex_unlock(&entry->reassembly_lock);
    if (status == SL_AGAIN) {
        return;
    }
    report(call, fragment, status == SL_OK ? "whole" : SlStatus_Name(status),
           held);
    if (status == SL_OK && SlPacket_Parse(whole, length, &packet) == SL_OK) {
        entry_route(call, &packet, true);
    }
}

void
entry_handle_fragment(const struct entry_call *call,
                      const struct SlPacket *fragment, bool from_entry)
{
    const struct SlRouteNode *gatherer = NULL;
    struct SlTunnel tunnel = entry_tunnel(call, SL_TUNNEL_FRAGMENT);

    entry_count(call, COUNT_FRAGMENTS);
    if (!from_entry) {
        gatherer = choose_gatherer(call, fragment);
    }
    if (gatherer == NULL) {
        gather(call, fragment);
        return;
    }
    tunnel.packet = fragment->bytes;
    tunnel.packet_bytes = fragment->length_bytes;
    call->sink->type->send_tunnel(call->sink, gatherer->node_id,
                                  &gatherer->tunnel, &tunnel);
}

void
entry_expire_fragments(const struct entry_call *call)
{
    struct SlEntry *entry = call->entry;
    uint32_t given_up;
    uint32_t held;

    pthread_mutex_lock(&entry->reassembly_lock);
    given_up = SlReassembly_Expire(entry->reassembly, call->now_us);
    held = SlReassembly_DatagramCount(entry->reassembly);
    pthread_mutex_unlock(&entry->reassembly_lock);
    if (given_up > 0) {
        entry_event(call, (struct SlEvent){.number = SL_EVENT_FRAGMENT,
                                           .reason = "timeout",
                                           .value = held,
                                           .limit = ENTRY_DATAGRAMS});
    }
}
