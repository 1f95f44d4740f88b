/// Reassembly of fragmented datagrams: each fragment is sent to the entry that
/// reassembles its datagram.
///
/// That entry is chosen by source, destination and identification alone, so
/// entries with the same list of entries agree on it without messages. No
/// state is shared; when two entries disagree during a change of the list, the
/// datagram is lost, and its sender sends it again.

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
    /* In IPv6, only the first fragment reliably names the protocol. */
    bytes[36] = ipv4 ? fragment->protocol : 0;
    return XXH3_64bits(bytes, sizeof(bytes));
}

/// Returns the entry that reassembles the datagram; NULL if it is this one.
static const struct SlRouteNode *
choose_reassembler(const struct entry_call *call,
                   const struct SlPacket *fragment)
{
    uint64_t seed = fragment_hash(fragment);
    const struct SlRouteNode *best = NULL;
    uint64_t best_weight = 0;

    for (uint32_t i = 0; i < call->view->reassembler_count; i++) {
        const struct SlRouteNode *node = call->view->reassemblers[i];
        uint64_t weight =
            XXH3_64bits_withSeed(&node->node_id, sizeof(node->node_id), seed);

        if (best == NULL || weight > best_weight) {
            best = node;
            best_weight = weight;
        }
    }
    if (best == NULL || best->node_id == call->entry->node_id) {
        return NULL;
    }
    return best;
}

static void
report_datagram(const struct entry_call *call, const struct SlPacket *fragment,
                const char *reason, uint32_t held)
{
    struct SlFlowKey flow;

    SlPacket_FlowKeyFromCaller(fragment, &flow);
    entry_log_event(call, (struct SlEvent){.number = SL_EVENT_FRAGMENT,
                                           .flow = &flow,
                                           .reason = reason,
                                           .value = held,
                                           .limit = ENTRY_DATAGRAMS_MAX});
}

static void
reassemble_fragment(const struct entry_call *call,
                    const struct SlPacket *fragment)
{
    struct SlEntry *entry = call->entry;
    uint8_t datagram[SL_PACKET_MTU_BYTES];
    struct SlPacket packet;
    uint32_t length = 0;
    uint32_t held;
    enum SlStatus status;

    pthread_mutex_lock(&entry->reassembly_lock);
    status = SlReassembly_Add(entry->reassembly, call->now_us, fragment,
                              datagram, &length);
    held = SlReassembly_DatagramCount(entry->reassembly);
    pthread_mutex_unlock(&entry->reassembly_lock);
    if (status == SL_AGAIN) {
        return;
    }
    report_datagram(call, fragment,
                    status == SL_OK ? "whole" : SlStatus_Name(status), held);
    if (status == SL_OK &&
        SlPacket_Parse(datagram, length, &packet) == SL_OK) {
        entry_route_packet(call, &packet, true);
    }
}

void
entry_handle_fragment(const struct entry_call *call,
                      const struct SlPacket *fragment, bool from_entry)
{
    const struct SlRouteNode *reassembler = NULL;
    struct SlTunnel tunnel = entry_make_tunnel(call, SL_TUNNEL_FRAGMENT);

    entry_increment_counter(call, COUNT_FRAGMENTS);
    if (!from_entry) {
        reassembler = choose_reassembler(call, fragment);
    }
    if (reassembler == NULL) {
        reassemble_fragment(call, fragment);
        return;
    }
    tunnel.packet = fragment->bytes;
    tunnel.packet_bytes = fragment->length_bytes;
    call->sink->type->send_tunnel(call->sink, reassembler->node_id,
                                  &reassembler->tunnel, &tunnel);
}

void
entry_expire_fragments(const struct entry_call *call)
{
    struct SlEntry *entry = call->entry;
    uint32_t expired_count;
    uint32_t held;

    pthread_mutex_lock(&entry->reassembly_lock);
    expired_count = SlReassembly_Expire(entry->reassembly, call->now_us);
    held = SlReassembly_DatagramCount(entry->reassembly);
    pthread_mutex_unlock(&entry->reassembly_lock);
    if (expired_count > 0) {
        entry_log_event(call, (struct SlEvent){.number = SL_EVENT_FRAGMENT,
                                               .reason = "timeout",
                                               .value = held,
                                               .limit = ENTRY_DATAGRAMS_MAX});
    }
}
