#ifndef SAVORYLEDGE_TRANSPORT_TCP_H
#define SAVORYLEDGE_TRANSPORT_TCP_H

/// Non-blocking TCP sockets, as the links need them.

#include "savoryledge/common/address.h"

/// Each returns a descriptor, or -1 with errno set.
int
tcp_listen(const struct SlAddress *address, struct SlAddress *bound);
int
tcp_accept(int listener, struct SlAddress *remote);
int
tcp_connect(const struct SlAddress *address);

/// SL_OK when a connection came about, SL_IO when it failed.
enum SlStatus
tcp_connected(int descriptor);

#endif
