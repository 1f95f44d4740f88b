#include <assert.h>

#include "port_internal.h"

const char *
SlPortKind_Name(enum SlPortKind kind)
{
    switch (kind) {
    case SL_PORT_ENCAP:
        return "encap";
    case SL_PORT_UDP:
        return "udp";
    case SL_PORT_TUN:
        return "tun";
    case SL_PORT_KIND_COUNT:
        break;
    }
    return "unknown";
}

const struct SlPortType *
SlPort_Type(enum SlPortKind kind, enum SlPortSide side)
{
    switch (kind) {
    case SL_PORT_UDP:
        return side == SL_PORT_CALLERS ? &PORT_UDP_CALLERS
                                       : &PORT_UDP_UPSTREAM;
    case SL_PORT_TUN:
        return &PORT_TUN;
    case SL_PORT_ENCAP:
    case SL_PORT_KIND_COUNT:
        break;
    }
    return &PORT_ENCAP;
}

enum SlStatus
SlPort_Open(const struct SlPortOptions *options, struct SlPort **port,
            struct SlError *error)
{
    const struct SlPortType *type = SlPort_Type(options->kind, options->side);

    *port = NULL;
    return type->open(options, port, error);
}

void
SlPort_Close(struct SlPort *port)
{
    if (port != NULL) {
        port->type->close(port);
    }
}

void
port_copy_counters(const struct port_counts *counts,
                   struct SlPortCounters *counters)
{
    *counters = (struct SlPortCounters){
        .received =
            atomic_load_explicit(&counts->received, memory_order_relaxed),
        .sent = atomic_load_explicit(&counts->sent, memory_order_relaxed),
        .refused =
            atomic_load_explicit(&counts->refused, memory_order_relaxed),
        .send_failed =
            atomic_load_explicit(&counts->send_failed, memory_order_relaxed),
        .flows = atomic_load_explicit(&counts->flows, memory_order_relaxed),
        .flows_refused =
            atomic_load_explicit(&counts->flows_refused, memory_order_relaxed),
    };
}
