#ifndef SAVORYLEDGE_COORDINATION_CONFIG_PARTS_H
#define SAVORYLEDGE_COORDINATION_CONFIG_PARTS_H

/// A configuration on its way between processes: cut into messages by the
/// sender, gathered and put in force by the receiver.

#include "savoryledge/coordination/core.h"
#include "savoryledge/state/config.h"

/// Sends the whole configuration on a link, in parts.
/// fresh: the sender holds a fresh lease.
void
SlConfigParts_SendWhole(const struct SlConfig *config, bool fresh,
                        struct SlSink *sink, uint64_t link);

/// Parts gathered so far on one link. Zero-initialise it.
struct SlConfigAssembly {
    struct SlConfig *config;
    struct SlVersion target_version;
    uint32_t object_count;
    uint32_t removed_count;
};

/// Takes one part. Returns SL_OK when the last part is in: gather->config
/// is then the new configuration, which the caller takes over (sets NULL).
///
/// present: what the receiver holds; a delta must start at its version.
/// Errors: SL_AGAIN (more parts to come), SL_STALE (not newer than present),
/// SL_INVALID (out of order, or a delta from another version), SL_NO_MEMORY.
/// After any error but SL_AGAIN the gather is empty.
enum SlStatus
SlConfigAssembly_AddPart(struct SlConfigAssembly *assembly,
                         const struct SlConfig *present,
                         const struct SlConfigPart *part);

void
SlConfigAssembly_Release(struct SlConfigAssembly *assembly);

#endif
