#ifndef SAVORYLEDGE_BALANCE_OUTLIER_H
#define SAVORYLEDGE_BALANCE_OUTLIER_H

/// Outlier detection: finds the upstreams of a service that answer much more
/// slowly than its other upstreams.
///
/// Load pattern: one upstream is many times slower than the others, yet
/// answers every request and reports itself healthy. At low load this upstream
/// has no more requests in progress than the others, so every flow placed on
/// it is late although another upstream has a free slot. Such an upstream is
/// ejected while others have free slots (placement.h), and gets an occasional
/// flow whose answer time shows whether it has recovered. Upstreams that are
/// all slow together, as under a surge, are not outliers. At most a third of a
/// service's upstreams are ejected, so that false detections cannot overload
/// the remaining ones.

#include "savoryledge/balance/placement.h"

/// Updates the member slow of each candidate of one service from the answer
/// times in their latest load reports.
void
SlOutlier_MarkSlow(struct SlCandidate *candidates, uint32_t count);

#endif
