#ifndef SAVORYLEDGE_DAEMON_LISTEN_PROBE_H
#define SAVORYLEDGE_DAEMON_LISTEN_PROBE_H

/// Does a process listen at an address? One TCP connection without a request.

#include "savoryledge/common/address.h"

enum SlListenState {
    SL_LISTEN_UNKNOWN = 0,
    /// The connection was refused: nothing listens.
    SL_LISTEN_REFUSED,
    /// It was accepted, failed otherwise, or could not be tried.
    SL_LISTEN_POSSIBLE,
};

struct SlListenProbe {
    /// -1 while no connection is under way.
    int descriptor;
    enum SlListenState state;
};

/// Begins a connection, without waiting.
void
SlListenProbe_Begin(struct SlListenProbe *probe, const struct SlAddress *to);
/// What is known by now, without waiting.
enum SlListenState
SlListenProbe_Poll(struct SlListenProbe *probe);
/// Closes what is open.
void
SlListenProbe_Close(struct SlListenProbe *probe);

#endif
