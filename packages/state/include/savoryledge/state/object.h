#ifndef SAVORYLEDGE_STATE_OBJECT_H
#define SAVORYLEDGE_STATE_OBJECT_H

/// The objects of a configuration and the changes to them.
///
/// A service has an address. An upstream group selects upstreams by their
/// labels and the built-in labels "zone" and "name". A service selects
/// upstream groups by the groups' labels and the built-in label "name". The
/// labels of an availability zone are inherited by its upstreams under the
/// key "zone.KEY". Node objects are not created by operators: each process
/// announces itself.
///
/// A hold is a named request to take an availability zone or a node out of
/// service. Each hold has a hold key that identifies who keeps the zone or the
/// node out; the object is back in service when all its holds are released.
///
/// All types are plain data and can be copied by assignment. Only
/// SlDocumentText contains a pointer.

#include <stdbool.h>
#include <stdint.h>

#include "savoryledge/common/address.h"
#include "savoryledge/common/status.h"
#include "savoryledge/common/version.h"

enum {
    SL_NAME_BYTES = 48,
    SL_LABEL_KEY_BYTES = 32,
    SL_LABEL_VALUE_BYTES = 48,
    SL_LABELS_MAX = 8,
    SL_SELECTOR_BYTES = 192,
    SL_HOLDS_MAX = 8,
    SL_HOLD_KEY_BYTES = 32,
    SL_HOLD_REASON_BYTES = 64,
    /// A document of this size and its envelope still fit into one log record
    /// and one message frame.
    SL_DOCUMENT_MAX_BYTES = 512 * 1024,
};

/// Kinds of objects in the configuration.
enum SlKind {
    SL_KIND_NONE = 0,
    SL_KIND_ZONE,
    SL_KIND_SERVICE,
    SL_KIND_GROUP,
    SL_KIND_NODE,
    SL_KIND_COUNT
};

struct SlLabel {
    char key[SL_LABEL_KEY_BYTES];
    char value[SL_LABEL_VALUE_BYTES];
};

struct SlLabels {
    uint32_t count;
    struct SlLabel items[SL_LABELS_MAX];
};

/// A named request to take a zone or a node out of service. The zone or node
/// is back in service when its last hold has been released.
struct SlHold {
    /// The hold key: identifies this hold among the holds of the object.
    char key[SL_HOLD_KEY_BYTES];
    /// Why the object was taken out of service, for people.
    char reason[SL_HOLD_REASON_BYTES];
    /// Wall-clock time at which the leading control instance accepted the
    /// hold.
    uint64_t since_us;
};

struct SlHolds {
    uint32_t count;
    struct SlHold items[SL_HOLDS_MAX];
};

/// The fields of a service object.
struct SlServiceSpec {
    struct SlAddress address;
    /// IPPROTO_TCP or IPPROTO_UDP.
    uint8_t protocol;
    /// Time without an answer to payload after which the path is considered
    /// lost: 1000 to 3600000, or 0 for the default.
    uint32_t silence_ms;
    /// Time without a packet in either direction after which a UDP flow ends:
    /// 1000 to 86400000, or 0 for the default.
    uint32_t idle_ms;
};

/// Bits of SlNodeSpec.roles.
enum SlRole {
    SL_ROLE_ENTRY = 1,
    SL_ROLE_AGENT = 2,
    SL_ROLE_CONTROL = 4,
};

/// What a process announces about itself. The node object of an agent also
/// represents the agent's upstream.
struct SlNodeSpec {
    /// SlNode_Id of the object's name.
    uint64_t node_id;
    /// Roles of the process, a bit set of enum SlRole.
    uint32_t roles;
    /// Name of the availability zone that the process runs in.
    char zone[SL_NAME_BYTES];
    /// Labels that the process announces. SlObject.labels, set by operators,
    /// take precedence; an empty value there hides the announced label.
    struct SlLabels announced;
    /// Address at which the process receives tunnel datagrams.
    struct SlAddress tunnel;
    /// Address at which the process accepts links.
    struct SlAddress link;
    /// Identifies the run of the process: each start sets a new value.
    uint64_t boot;
    /// Agents only: number of requests that the upstream processes
    /// concurrently, 1 to 4096.
    uint32_t slots;
    /// Agents only: maximum number of open flows of the upstream, 1 to
    /// 1000000.
    uint32_t capacity_flows;
    /// True while the process carries out a planned stop; the process sets it.
    bool leaving;
    /// True when no heartbeat of the process arrived within the time limit;
    /// control sets it.
    bool unreachable;
};

/// An object of the configuration.
struct SlObject {
    enum SlKind kind;
    char name[SL_NAME_BYTES];
    /// Version of the last change to the object. A change can require that the
    /// object still has this version (SlChange.expected).
    struct SlVersion modified;
    /// Labels of the object that operators have set.
    struct SlLabels labels;
    /// In an upstream group: selects upstreams by their labels. In a service:
    /// selects upstream groups by their labels. Empty in other kinds.
    char selector[SL_SELECTOR_BYTES];
    /// Requests that take the object out of service; zones and nodes only.
    struct SlHolds holds;
    /// The fields of a service; unused in other kinds.
    struct SlServiceSpec service;
    /// The fields of a node; unused in other kinds.
    struct SlNodeSpec node;
};

/// What a change does to the configuration.
enum SlVerb {
    SL_VERB_NONE = 0,
    /// Creates an object; fails with SL_CONFLICT when an object of that kind
    /// and name exists.
    SL_VERB_CREATE,
    /// Sets the labels in object.labels and removes the labels that the field
    /// unset names.
    SL_VERB_LABEL,
    /// Replaces the selector of an upstream group or a service.
    SL_VERB_SELECT,
    /// Deletes an object.
    SL_VERB_DELETE,
    /// Adds a hold, which takes a zone or a node out of service. A hold with
    /// the same hold key only gets the new reason.
    SL_VERB_HOLD,
    /// Releases the hold that has the hold key hold.key.
    SL_VERB_RELEASE,
    /// A node announces itself; labels set by operators are kept.
    SL_VERB_ANNOUNCE,
    /// Marks a node as reachable or unreachable (object.node.unreachable);
    /// proposed by control itself.
    SL_VERB_SET_REACHABILITY,
    /// These three change which control instances are members, one instance at
    /// a time; object.node identifies the instance.
    SL_VERB_MEMBER_ADD,
    SL_VERB_MEMBER_PROMOTE,
    SL_VERB_MEMBER_REMOVE,
    /// Changes nothing; a new leader proposes it in order to commit the log
    /// entries of earlier terms.
    SL_VERB_NOOP,
    /// Replaces the configuration document when the new document has a higher
    /// version; otherwise the change succeeds without an effect.
    SL_VERB_DOCUMENT,
    SL_VERB_COUNT
};

/// Version and bytes of a document (document.h). The bytes are borrowed,
/// except in a decoded message or change, which owns them until it is
/// released.
struct SlDocumentText {
    uint64_t version;
    uint32_t length_bytes;
    const uint8_t *bytes;
};

/// A change of the configuration as it is proposed, logged and applied.
struct SlChange {
    /// Identifier of the client, and the client's sequence number of the
    /// request, which grows by one with each request. A retry has the same two
    /// numbers and gets the result of the first attempt. Client 0 is control
    /// itself.
    uint64_t client;
    uint64_t request;
    /// Version of the configuration that the client knew when it made the
    /// request; a retry has the same value. When results newer than this
    /// version have been forgotten the request is refused with SL_TOO_OLD,
    /// because it may have been applied already.
    struct SlVersion base;
    enum SlVerb verb;
    /// Compare-and-set: the change fails unless the object has this version;
    /// index 0 disables the check.
    struct SlVersion expected;
    /// Wall-clock time at which the leader accepted the change.
    uint64_t time_us;
    /// Kind and name of the object, and the fields that the verb sets.
    struct SlObject object;
    /// The hold to add or to release; SL_VERB_HOLD and SL_VERB_RELEASE only.
    struct SlHold hold;
    /// SL_VERB_LABEL: keys of the labels to remove; the values are ignored.
    struct SlLabels unset;
    /// The new configuration document; SL_VERB_DOCUMENT only.
    struct SlDocumentText document;
};

/// The outcome of a change.
struct SlResult {
    enum SlStatus status;
    /// Term and index of the change in the log, also when the change failed.
    struct SlVersion version;
    /// True when object is filled: the object after the change, the deleted
    /// object, or with SL_CONFLICT the object that is stored.
    bool has_object;
    struct SlObject object;
    /// Cause of a failure in words, for people.
    char message[SL_ERROR_MESSAGE_BYTES];
};

/// Returns "zone", "service", "group" or "node"; never NULL.
const char *
SlKind_Name(enum SlKind kind);
/// Returns the kind with this name, or SL_KIND_NONE for an unknown one. The
/// names "upstream" and "entry" also stand for SL_KIND_NODE.
enum SlKind
SlKind_FromName(const char *name);
/// Returns the name of a change's verb, such as "create"; never NULL.
const char *
SlVerb_Name(enum SlVerb verb);

/// Returns the value of the label with this key, or NULL when it is not set.
const char *
SlLabels_Get(const struct SlLabels *labels, const char *key);
/// Sets a label, replacing its value if it exists.
/// Errors: SL_FULL (SL_LABELS_MAX labels), SL_INVALID (key or value empty,
/// too long or with characters other than letters, digits, "-", "_", "." and
/// "/").
enum SlStatus
SlLabels_Set(struct SlLabels *labels, const char *key, const char *value);
/// Removes the label with this key if it is set.
void
SlLabels_Unset(struct SlLabels *labels, const char *key);

/// Returns the value of a label for selectors, or NULL when it is not set.
/// The built-in "name" comes first, then the labels set by operators, the
/// built-in "zone" of nodes, and the labels announced by nodes.
const char *
SlObject_Label(const struct SlObject *object, const char *key);

/// Validates a change before it is proposed: names, sizes, selector syntax
/// and ranges.
/// Errors: SL_INVALID, SL_MALFORMED, SL_TOO_LONG; the message quotes the
/// invalid value.
enum SlStatus
SlChange_Check(const struct SlChange *change, struct SlError *error);

/// Validates the syntax of a selector: terms separated by ",", each of the
/// form "key=value", "key!=value", "key in (a,b)", "key not in (a,b)", "key"
/// (label is set) or "!key" (label is not set). An empty selector matches
/// everything.
/// Errors: SL_TOO_LONG, SL_MALFORMED (the message quotes the invalid term).
enum SlStatus
SlSelector_Check(const char *selector, struct SlError *error);

/// Returns true when all terms of the selector match the labels that lookup
/// returns.
///
/// selector: must have passed SlSelector_Check.
/// lookup: returns the value of a label, or NULL when it is not set.
/// context: passed to each call of lookup.
bool
SlSelector_Matches(const char *selector,
                   const char *(*lookup)(const void *context, const char *key),
                   const void *context);

#endif
