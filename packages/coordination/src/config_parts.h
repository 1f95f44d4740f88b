#ifndef SAVORYLEDGE_COORDINATION_CONFIG_PARTS_H
#define SAVORYLEDGE_COORDINATION_CONFIG_PARTS_H

/// Transfer of a configuration between processes: the sender splits it into
/// messages, and the receiver assembles them and puts the result in force.

#include "savoryledge/coordination/core.h"
#include "savoryledge/state/config.h"

/// Sends the whole configuration on a link as a sequence of parts.
/// fresh: the sender holds a fresh lease, so the configuration is current.
void
SlConfigParts_SendWhole(const struct SlConfig *config, bool fresh,
                        struct SlSink *sink, uint64_t link);

/// A configuration that is being assembled from the parts received on one
/// link. Must be zero-initialised.
struct SlConfigAssembly {
    struct SlConfig *config;
    struct SlVersion target_version;
    uint32_t object_count;
    uint32_t removed_count;
};

/// Adds one part. Returns SL_OK after the last part: assembly->config is then
/// the complete new configuration. The caller takes ownership and sets the
/// field to NULL.
///
/// present: the configuration that the receiver holds; a delta must start at
/// its version.
/// Errors: SL_AGAIN (more parts are expected), SL_STALE (not newer than
/// present), SL_INVALID (parts out of order, or a delta from another version),
/// SL_NO_MEMORY. After every error except SL_AGAIN the assembly is empty.
enum SlStatus
SlConfigAssembly_AddPart(struct SlConfigAssembly *assembly,
                         const struct SlConfig *present,
                         const struct SlConfigPart *part);

void
SlConfigAssembly_Release(struct SlConfigAssembly *assembly);

#endif
