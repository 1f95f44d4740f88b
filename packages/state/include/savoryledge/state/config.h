#ifndef SAVORYLEDGE_STATE_CONFIG_H
#define SAVORYLEDGE_STATE_CONFIG_H

/// The replicated configuration: all objects at one log version, and the
/// state machine that applies committed changes to them.
///
/// A configuration is not thread-safe: only one thread at a time may use it.
/// Other threads read a clone (SlConfig_Clone) or the routing table that is
/// built from the configuration (routing.h).

#include "savoryledge/state/document.h"
#include "savoryledge/state/object.h"

struct SlConfig;

/// Creates an empty configuration at version {0, 0}. Returns NULL when memory
/// runs out. The caller owns the configuration.
struct SlConfig *
SlConfig_Create(void);
/// Copies a configuration, with its remembered results. The copy shares
/// unchanged objects with the original. Returns NULL when memory runs out.
struct SlConfig *
SlConfig_Clone(const struct SlConfig *config);
/// Frees the configuration; config may be NULL.
void
SlConfig_Destroy(struct SlConfig *config);

/// Returns the version of the last change that was applied.
struct SlVersion
SlConfig_Version(const struct SlConfig *config);

/// Applies one committed change. It is deterministic, so every replica gets
/// the same result. A retry with the same client and request number returns
/// the result of the first attempt and changes nothing; a request older than
/// the remembered results fails with SL_TOO_OLD.
///
/// version: term and index of the change in the log.
/// result: always filled.
void
SlConfig_Apply(struct SlConfig *config, struct SlVersion version,
               const struct SlChange *change, struct SlResult *result);

/// Returns the remembered result of a request, or NULL when there is none.
/// Borrowed until the next change.
const struct SlResult *
SlConfig_FindResult(const struct SlConfig *config, uint64_t client,
                    uint64_t request);

/// Returns the object with this kind and name, or NULL when there is none.
/// Borrowed until the next change.
const struct SlObject *
SlConfig_FindObject(const struct SlConfig *config, enum SlKind kind,
                    const char *name);
/// Returns the node with this identifier, or NULL when there is none.
/// Borrowed until the next change.
const struct SlObject *
SlConfig_FindNode(const struct SlConfig *config, uint64_t node_id);

/// Returns the number of objects of one kind.
uint32_t
SlConfig_ObjectCount(const struct SlConfig *config, enum SlKind kind);
/// Returns one object of a kind; objects are sorted by name. Borrowed until
/// the next change.
///
/// index: 0 to SlConfig_ObjectCount - 1.
const struct SlObject *
SlConfig_ObjectAt(const struct SlConfig *config, enum SlKind kind,
                  uint32_t index);

/// Stores a copy of an object without applying a change. Replicas without a
/// log store the objects that they receive from a control instance this way.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlConfig_PutObject(struct SlConfig *config, const struct SlObject *object);
/// Removes an object, if present, without applying a change.
void
SlConfig_RemoveObject(struct SlConfig *config, enum SlKind kind,
                      const char *name);
/// Sets the version without applying a change.
void
SlConfig_SetVersion(struct SlConfig *config, struct SlVersion version);

/// Returns the current document, or NULL when there is none. Borrowed until
/// the next change; take a reference to keep it.
struct SlDocument *
SlConfig_Document(const struct SlConfig *config);
/// Returns the version of the change that stored the current document.
struct SlVersion
SlConfig_DocumentModifiedVersion(const struct SlConfig *config);
/// Replaces the document without applying a change, with a copy of one from a
/// control instance or a snapshot.
///
/// modified: version of the change that stored the document at its source.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlConfig_PutDocument(struct SlConfig *config, struct SlVersion modified,
                     const struct SlDocumentText *text);

/// The remembered result of one request.
struct SlRequestRecord {
    uint64_t client;
    uint64_t request;
    struct SlResult result;
};
enum {
    /// Number of remembered results; a new one then replaces the oldest.
    SL_REMEMBERED_RESULTS_MAX = 2048,
};
/// Returns the number of remembered results.
uint32_t
SlConfig_ResultCount(const struct SlConfig *config);
/// Returns a remembered result for a snapshot. Results are in the order of
/// their application, which is the same on every replica.
///
/// index: 0 to SlConfig_ResultCount - 1.
const struct SlRequestRecord *
SlConfig_ResultAt(const struct SlConfig *config, uint32_t index);
/// Adds a result from a snapshot or another configuration as the newest.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlConfig_PutResult(struct SlConfig *config,
                   const struct SlRequestRecord *record);

/// Returns the version of the newest result that is no longer remembered;
/// {0, 0} when every result is.
struct SlVersion
SlConfig_ForgottenVersion(const struct SlConfig *config);
/// Sets the version that SlConfig_ForgottenVersion returns, from a snapshot.
void
SlConfig_SetForgottenVersion(struct SlConfig *config,
                             struct SlVersion version);

/// Returns true when the service's selector matches an upstream group whose
/// selector matches the node. Holds and reachability are not considered.
bool
SlConfig_ServiceSelectsNode(const struct SlConfig *config,
                            const struct SlObject *service,
                            const struct SlObject *node);

/// Lists the nodes that the service selects (SlConfig_ServiceSelectsNode),
/// sorted by name. Evaluates the service's selector once for each group
/// instead of once for each group and node.
///
/// nodes: array for up to capacity nodes.
/// count: receives the number of selected nodes, which may exceed capacity.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlConfig_SelectNodes(const struct SlConfig *config,
                     const struct SlObject *service,
                     const struct SlObject **nodes, uint32_t capacity,
                     uint32_t *count);

/// Returns true when at least one hold takes the zone out of service. A zone
/// without an object in the configuration is in service.
bool
SlConfig_IsZoneOut(const struct SlConfig *config, const char *zone);

#endif
