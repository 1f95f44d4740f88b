#ifndef SAVORYLEDGE_COORDINATION_CONTROL_LIST_H
#define SAVORYLEDGE_COORDINATION_CONTROL_LIST_H

/// The control instances that a replica goes through: first those in the
/// settings, then the others in the configuration.

#include "savoryledge/coordination/replica.h"

/// Removes this process from the control instances in the settings, which may
/// name it although it has no control instance.
void
SlControlList_RemoveSelf(struct SlReplicaOptions *options);
/// Finds the control instance at an index of the list. Returns false past the
/// end.
bool
SlControlList_Find(const struct SlReplicaOptions *options,
                   const struct SlConfig *config, uint32_t index,
                   uint64_t *node_id, struct SlAddress *link);
/// Finds the address for links of a process, in the configuration or else in
/// the settings. Returns false if neither contains it.
bool
SlControlList_FindAddress(const struct SlReplicaOptions *options,
                          const struct SlConfig *config, uint64_t node_id,
                          struct SlAddress *link);

#endif
