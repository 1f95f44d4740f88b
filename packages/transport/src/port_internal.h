#ifndef SAVORYLEDGE_TRANSPORT_PORT_INTERNAL_H
#define SAVORYLEDGE_TRANSPORT_PORT_INTERNAL_H

/// The kinds of ports, and the counters that they share.

#include <stdatomic.h>

#include "savoryledge/transport/port.h"

extern const struct SlPortType PORT_ENCAP;
/// Towards callers: a socket at each service's address.
extern const struct SlPortType PORT_UDP_CALLERS;
/// Towards an upstream: a connected socket for each flow.
extern const struct SlPortType PORT_UDP_UPSTREAM;
extern const struct SlPortType PORT_TUN;

struct port_counts {
    _Atomic uint64_t received;
    _Atomic uint64_t sent;
    _Atomic uint64_t refused;
    _Atomic uint64_t send_failed;
    _Atomic uint64_t flows;
    _Atomic uint64_t flows_refused;
};

static inline void
port_count(_Atomic uint64_t *counter, uint64_t by)
{
    atomic_fetch_add_explicit(counter, by, memory_order_relaxed);
}

void
port_read_counts(const struct port_counts *counts,
                 struct SlPortCounters *counters);

#endif
