#ifndef SAVORYLEDGE_STATE_CONFIG_H
#define SAVORYLEDGE_STATE_CONFIG_H

/// The replicated configuration: all objects at one log version, and the
/// state machine that applies committed changes to them.
///
/// An object is a service, an upstream group, a node or an availability zone
/// (object.h). A hold is a named request to take a zone or a node out of
/// service; a zone is out of service ("zone out") while it has a hold, and
/// comes back in when its last hold is released.
///
/// The configuration remembers the results of the latest requests, so that a
/// client that repeats a request gets the result of the first attempt.
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
/// Copies a configuration, with its remembered request results. The copy
/// shares unchanged objects with the original. Returns NULL when memory runs
/// out.
struct SlConfig *
SlConfig_Clone(const struct SlConfig *config);
/// Frees the configuration; config may be NULL.
void
SlConfig_Destroy(struct SlConfig *config);

/// Returns the version of the last change that was applied to the
/// configuration.
struct SlVersion
SlConfig_Version(const struct SlConfig *config);

/// Applies one committed change. The function is deterministic, so that every
/// replica gets the same result. A retry with the same client and request
/// number returns the result of the first attempt and changes nothing; a
/// request older than all remembered request results fails with SL_TOO_OLD.
///
/// version: term and index of the change in the log.
/// result: receives the outcome of the change, also when the change fails.
void
SlConfig_Apply(struct SlConfig *config, struct SlVersion version,
               const struct SlChange *change, struct SlResult *result);

/// Returns the remembered result of a request, or NULL when there is none.
/// The result is borrowed until the next change.
const struct SlResult *
SlConfig_FindResult(const struct SlConfig *config, uint64_t client,
                    uint64_t request);

/// Returns the object with this kind and name, or NULL when there is none.
/// The object is borrowed until the next change.
const struct SlObject *
SlConfig_FindObject(const struct SlConfig *config, enum SlKind kind,
                    const char *name);
/// Returns the node with this identifier, or NULL when there is none. The
/// node is borrowed until the next change.
const struct SlObject *
SlConfig_FindNode(const struct SlConfig *config, uint64_t node_id);

/// Returns the number of objects of one kind.
uint32_t
SlConfig_ObjectCount(const struct SlConfig *config, enum SlKind kind);
/// Returns one object of a kind. The object is borrowed until the next
/// change.
///
/// index: position of the object among those of its kind sorted by name, 0 to
/// SlConfig_ObjectCount - 1.
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
/// Sets the version of the configuration without applying a change.
void
SlConfig_SetVersion(struct SlConfig *config, struct SlVersion version);

/// Returns the current configuration document, or NULL when there is none.
/// The document is borrowed until the next change; take a reference to keep
/// it.
struct SlDocument *
SlConfig_Document(const struct SlConfig *config);
/// Returns the version of the change that stored the current configuration
/// document.
struct SlVersion
SlConfig_DocumentModifiedVersion(const struct SlConfig *config);
/// Replaces the configuration document without applying a change, with a copy
/// of a document from a control instance or a snapshot.
///
/// modified: version of the change that stored the document at its source.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlConfig_PutDocument(struct SlConfig *config, struct SlVersion modified,
                     const struct SlDocumentText *text);

/// The remembered result of one client's request.
struct SlRequestRecord {
    uint64_t client;
    uint64_t request;
    struct SlResult result;
};
enum {
    /// Maximum number of remembered request results; a further result
    /// replaces the oldest one.
    SL_REMEMBERED_RESULTS_MAX = 2048,
};
/// Returns the number of requests whose results are remembered, at most
/// SL_REMEMBERED_RESULTS_MAX.
uint32_t
SlConfig_ResultCount(const struct SlConfig *config);
/// Returns a remembered request result for a snapshot. Results are in the
/// order in which their changes were applied, which is the same on every
/// replica.
///
/// index: 0 to SlConfig_ResultCount - 1, oldest result first.
const struct SlRequestRecord *
SlConfig_ResultAt(const struct SlConfig *config, uint32_t index);
/// Adds a request result from a snapshot or another configuration as the
/// newest remembered result.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlConfig_PutResult(struct SlConfig *config,
                   const struct SlRequestRecord *record);

/// Returns the version of the newest request result that is no longer
/// remembered, or {0, 0} when all results are remembered.
struct SlVersion
SlConfig_ForgottenVersion(const struct SlConfig *config);
/// Sets the version that SlConfig_ForgottenVersion returns to the one that a
/// snapshot contains.
void
SlConfig_SetForgottenVersion(struct SlConfig *config,
                             struct SlVersion version);

/// Returns true when the service's selector matches an upstream group whose
/// selector matches the node. Holds (requests to take the node or its
/// zone out of service) and reachability are not considered.
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

/// Returns true when at least one hold takes the availability zone out of
/// service. A zone without an object in the configuration is in service.
///
/// zone: name of the availability zone.
bool
SlConfig_IsZoneOutOfService(const struct SlConfig *config, const char *zone);

#endif
