#ifndef SAVORYLEDGE_TRANSPORT_PORT_INTERNAL_H
#define SAVORYLEDGE_TRANSPORT_PORT_INTERNAL_H

/// The operations of each kind of port (port.h), and the counters that all
/// kinds use.

#include <stdatomic.h>

#include "savoryledge/transport/port.h"

/// Ports that exchange IP packets encapsulated in UDP datagrams.
extern const struct SlPortType PORT_ENCAP;
/// UDP ports towards callers, with a socket at the address of each service.
extern const struct SlPortType PORT_UDP_CALLERS;
/// UDP ports towards an upstream, with a connected socket for each flow.
extern const struct SlPortType PORT_UDP_UPSTREAM;
/// Ports on a TUN device.
extern const struct SlPortType PORT_TUN;

/// Counters of one port that any thread may increment; the fields are those of
/// SlPortCounters.
struct port_counts {
    _Atomic uint64_t received;
    _Atomic uint64_t sent;
    _Atomic uint64_t refused;
    _Atomic uint64_t send_failed;
    _Atomic uint64_t flows;
    _Atomic uint64_t flows_refused;
};

static inline void
port_add_count(_Atomic uint64_t *counter, uint64_t increment)
{
    atomic_fetch_add_explicit(counter, increment, memory_order_relaxed);
}

/// Copies the present values of a port's counters (counts) to counters.
void
port_copy_counters(const struct port_counts *counts,
                   struct SlPortCounters *counters);

#endif
