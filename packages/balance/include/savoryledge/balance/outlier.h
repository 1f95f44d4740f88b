#ifndef SAVORYLEDGE_BALANCE_OUTLIER_H
#define SAVORYLEDGE_BALANCE_OUTLIER_H

/// Which upstreams of a service are slow, judged by their answers against
/// those of their peers.
///
/// Load pattern: one upstream works many times slower than the others, yet
/// answers everything and calls itself healthy. While the load is low it has
/// no more in progress than they have, so every flow that it gets is late
/// though another upstream has a free slot. It is passed by as long as others
/// have room (placement.h), and gets a flow now and then that shows whether it
/// has recovered. Peers that are slow together, as under a surge, are not
/// outliers, and at most a third of a service's upstreams are passed by, so
/// that a wrong judgement cannot overload the rest.

#include "savoryledge/balance/placement.h"

/// Sets slow of each candidate, by the answers last reported; candidates are
/// those of one service.
void
SlOutlier_MarkSlow(struct SlCandidate *candidates, uint32_t count);

#endif
