#ifndef SAVORYLEDGE_STATE_CONFIG_H
#define SAVORYLEDGE_STATE_CONFIG_H

/// A configuration: all objects at one version, and the state machine that
/// applies changes to it.
///
/// One owner at a time changes a configuration; readers of other threads get
/// their own (SlConfig_Clone) or a table built from it (routing.h).

#include "savoryledge/state/document.h"
#include "savoryledge/state/object.h"

struct SlConfig;

/// An empty configuration at version {0, 0}; NULL without memory.
struct SlConfig *
SlConfig_Create(void);
struct SlConfig *
SlConfig_Clone(const struct SlConfig *config);
/// NULL is allowed.
void
SlConfig_Destroy(struct SlConfig *config);

struct SlVersion
SlConfig_Version(const struct SlConfig *config);

/// Applies one committed change at its place in the log. Deterministic:
/// every replica gets the same result. A resend (client, request) returns
/// the first result again and changes nothing; a request older than those
/// remembered gives SL_TOO_OLD.
///
/// result: always filled.
void
SlConfig_Apply(struct SlConfig *config, struct SlVersion version,
               const struct SlChange *change, struct SlResult *result);

/// The remembered result of a request, or NULL.
const struct SlResult *
SlConfig_FindResult(const struct SlConfig *config, uint64_t client,
                    uint64_t request);

/// NULL when there is none. Borrowed until the next change.
const struct SlObject *
SlConfig_FindObject(const struct SlConfig *config, enum SlKind kind,
                    const char *name);
const struct SlObject *
SlConfig_FindNode(const struct SlConfig *config, uint64_t node_id);

/// Objects of one kind in order of name. index: 0..SlConfig_ObjectCount-1.
uint32_t
SlConfig_ObjectCount(const struct SlConfig *config, enum SlKind kind);
const struct SlObject *
SlConfig_ObjectAt(const struct SlConfig *config, enum SlKind kind,
                  uint32_t index);

/// Distribution: puts an object as it stands at the sender, or removes it.
/// Used by replicas that hold no log.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlConfig_PutObject(struct SlConfig *config, const struct SlObject *object);
void
SlConfig_RemoveObject(struct SlConfig *config, enum SlKind kind,
                      const char *name);
void
SlConfig_SetVersion(struct SlConfig *config, struct SlVersion version);

/// The document in force, NULL when there is none. Borrowed until the next
/// change; take a reference to keep it.
struct SlDocument *
SlConfig_Document(const struct SlConfig *config);
/// Version of the change that put the document in force.
struct SlVersion
SlConfig_DocumentModifiedVersion(const struct SlConfig *config);
/// Distribution and snapshots: puts a document as it stands at the sender.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlConfig_PutDocument(struct SlConfig *config, struct SlVersion modified,
                     const struct SlDocumentText *text);

/// Remembered results, for snapshots. index: 0..SlConfig_ResultCount-1, in
/// an order that every replica shares.
struct SlRequestRecord {
    uint64_t client;
    uint64_t request;
    struct SlResult result;
};
enum {
    /// Results remembered at most; the oldest goes first.
    SL_REMEMBERED_RESULTS_MAX = 2048,
};
uint32_t
SlConfig_ResultCount(const struct SlConfig *config);
const struct SlRequestRecord *
SlConfig_ResultAt(const struct SlConfig *config, uint32_t index);
enum SlStatus
SlConfig_PutResult(struct SlConfig *config,
                   const struct SlRequestRecord *record);

/// The place in the log of the newest result that was forgotten, for
/// snapshots.
struct SlVersion
SlConfig_ForgottenVersion(const struct SlConfig *config);
void
SlConfig_SetForgottenVersion(struct SlConfig *config,
                             struct SlVersion version);

/// True when the service's selector picks a group whose selector picks the
/// node. Holds and reachability do not count here.
bool
SlConfig_Selects(const struct SlConfig *config, const struct SlObject *service,
                 const struct SlObject *node);

/// Fills nodes with those that SlConfig_Selects is true for, in order of
/// name, without testing every group for every node.
///
/// count: how many there are, which may be more than room.
/// Errors: SL_NO_MEMORY.
enum SlStatus
SlConfig_SelectNodes(const struct SlConfig *config,
                     const struct SlObject *service,
                     const struct SlObject **nodes, uint32_t room,
                     uint32_t *count);

/// True when a hold keeps the zone out. A zone nobody has created is in.
bool
SlConfig_IsZoneOut(const struct SlConfig *config, const char *zone);

#endif
