#ifndef SAVORYLEDGE_DAEMON_LISTEN_PROBE_H
#define SAVORYLEDGE_DAEMON_LISTEN_PROBE_H

/// Checks whether a process listens at a TCP address, by opening a connection
/// on which it sends nothing.

#include "savoryledge/common/address.h"

enum SlListenState {
    /// The connection has been neither accepted nor refused yet.
    SL_LISTEN_UNKNOWN = 0,
    /// The connection was refused: no process listens.
    SL_LISTEN_REFUSED,
    /// The connection was accepted, failed with another error, or could not be
    /// attempted: a process may listen.
    SL_LISTEN_POSSIBLE,
};

struct SlListenProbe {
    /// Descriptor of the connection; -1 while no connection is in progress.
    int descriptor;
    enum SlListenState state;
};

/// Begins to open a connection to an address, without blocking.
void
SlListenProbe_Begin(struct SlListenProbe *probe, const struct SlAddress *to);
/// Returns what is known so far about the listening process, without blocking.
enum SlListenState
SlListenProbe_Poll(struct SlListenProbe *probe);
/// Closes the connection of the probe if it is open. May be called repeatedly.
void
SlListenProbe_Close(struct SlListenProbe *probe);

#endif
