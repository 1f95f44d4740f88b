#ifndef SAVORYLEDGE_TRANSPORT_TCP_H
#define SAVORYLEDGE_TRANSPORT_TCP_H

/// Non-blocking TCP sockets for the connections between processes.

#include "savoryledge/common/address.h"

/// Opens a listening socket. bound: receives the address with the port number
/// in use; may be NULL. Returns a descriptor, or -1 with errno set.
int
tcp_listen(const struct SlAddress *address, struct SlAddress *bound);
/// Accepts a connection. remote: receives the peer's address. Returns a
/// descriptor, or -1 with errno set.
int
tcp_accept(int listener, struct SlAddress *remote);
/// Starts to connect to an address. The descriptor is writable when the
/// attempt has ended. Returns a descriptor, or -1 with errno set.
int
tcp_connect(const struct SlAddress *address);

/// Returns the result of a finished connection attempt: SL_OK when it
/// succeeded, SL_IO when it failed.
enum SlStatus
tcp_get_connect_result(int descriptor);

#endif
