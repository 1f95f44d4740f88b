#ifndef SAVORYLEDGE_COORDINATION_CONTROL_LIST_H
#define SAVORYLEDGE_COORDINATION_CONTROL_LIST_H

/// The control instances that a replica goes through: first those in the
/// settings, then the others in the configuration.

#include "savoryledge/coordination/replica.h"

/// Finds the control instance at an index of the list. Returns false past the
/// end.
bool
SlControlList_Find(const struct SlReplicaOptions *options,
                   const struct SlConfig *config, uint32_t index,
                   uint64_t *node_id, struct SlAddress *link);

#endif
