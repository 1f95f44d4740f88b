#ifndef SAVORYLEDGE_STATE_OBJECT_H
#define SAVORYLEDGE_STATE_OBJECT_H

/// The objects of a configuration and the changes made to them.
///
/// A service is reached at an address. An upstream group picks upstreams by
/// their labels (plus the built-in labels "zone" and "name"); a service
/// picks upstream groups by the groups' labels (plus "name"). Availability
/// zones carry labels that their upstreams inherit as "zone.KEY". Nodes
/// announce themselves; nobody lists them.
///
/// All types are plain data without pointers: copy them freely.

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
    /// Fits a log record and a frame with what goes around it.
    SL_DOCUMENT_MAX_BYTES = 512 * 1024,
};

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

/// One holder's reason to keep a zone or an upstream out. The object is in
/// again when no hold is left.
struct SlHold {
    char key[SL_HOLD_KEY_BYTES];
    char reason[SL_HOLD_REASON_BYTES];
    /// Wall-clock time at which the leader accepted it, microseconds.
    uint64_t since_us;
};

struct SlHolds {
    uint32_t count;
    struct SlHold items[SL_HOLDS_MAX];
};

struct SlServiceSpec {
    struct SlAddress address;
    /// IPPROTO_TCP or IPPROTO_UDP.
    uint8_t protocol;
    /// Payload without an answer for this long is taken for a lost path;
    /// 0 takes the default. Milliseconds, 0 or 1000..3600000.
    uint32_t silence_ms;
    /// A UDP flow ends after this much silence in both directions; 0 takes
    /// the default. Milliseconds, 0 or 1000..86400000.
    uint32_t idle_ms;
};

enum SlRole {
    SL_ROLE_ENTRY = 1,
    SL_ROLE_AGENT = 2,
    SL_ROLE_CONTROL = 4,
};

/// What a process announces of itself. An agent stands for its upstream.
struct SlNodeSpec {
    /// SlNode_Id of the object's name.
    uint64_t node_id;
    /// A set of SlRole bits.
    uint32_t roles;
    char zone[SL_NAME_BYTES];
    /// Labels the process announces. The object's own labels, set by
    /// operators, go before them; an empty value there hides one.
    struct SlLabels announced;
    /// Where tunnel datagrams and links reach the process.
    struct SlAddress tunnel;
    struct SlAddress link;
    /// Differs at each start of the process.
    uint64_t boot;
    /// Agents: requests the upstream works on at once, and connections it
    /// holds at most.
    uint32_t slots;
    uint32_t capacity_flows;
    /// Set by the process itself: a planned stop is under way.
    bool leaving;
    /// Set by control: no heartbeat within the bound.
    bool unreachable;
};

/// One object. Which of service and node is in use depends on kind.
struct SlObject {
    enum SlKind kind;
    char name[SL_NAME_BYTES];
    /// Version of the last change; compared by compare-and-set.
    struct SlVersion modified;
    struct SlLabels labels;
    /// Groups: picks upstreams. Services: picks groups. Else empty.
    char selector[SL_SELECTOR_BYTES];
    /// Zones and nodes.
    struct SlHolds holds;
    struct SlServiceSpec service;
    struct SlNodeSpec node;
};

enum SlVerb {
    SL_VERB_NONE = 0,
    /// Creates an object; SL_CONFLICT when it exists.
    SL_VERB_CREATE,
    /// Sets labels and removes those named in unset.
    SL_VERB_LABEL,
    /// Replaces the selector.
    SL_VERB_SELECT,
    SL_VERB_DELETE,
    /// Adds or releases the hold named hold.key.
    SL_VERB_HOLD,
    SL_VERB_RELEASE,
    /// A node announces itself; labels set by operators are kept.
    SL_VERB_ANNOUNCE,
    /// Control marks a node reachable or not (object.node.unreachable).
    SL_VERB_SET_REACHABILITY,
    /// Control membership, one instance at a time; object.node names it.
    SL_VERB_MEMBER_ADD,
    SL_VERB_MEMBER_PROMOTE,
    SL_VERB_MEMBER_REMOVE,
    /// Commits the log up to a new leader's term; changes nothing.
    SL_VERB_NOOP,
    /// Replaces the document by one with a higher version; others are
    /// accepted and change nothing.
    SL_VERB_DOCUMENT,
    SL_VERB_COUNT
};

/// A whole configuration in a caller's own format, under the caller's
/// version. bytes are borrowed, but in a decoded message or change, which own
/// them until their release.
struct SlDocumentText {
    uint64_t version;
    uint32_t length_bytes;
    const uint8_t *bytes;
};

/// One change, as it is proposed, logged and applied.
struct SlChange {
    /// Who asks, and that one's number for it, growing by one; a resend has
    /// the same pair and gets the first result. Client 0 is control itself.
    uint64_t client;
    uint64_t request;
    /// Version that the client knew when it made the request, the same in
    /// every resend. A request from before the oldest remembered result is
    /// refused as too old, since it may have run.
    struct SlVersion base;
    enum SlVerb verb;
    /// Compare-and-set: {0, 0} skips the comparison.
    struct SlVersion expected;
    /// Wall-clock time at the leader on acceptance, microseconds.
    uint64_t time_us;
    /// kind, name and what the verb reads.
    struct SlObject object;
    struct SlHold hold;
    /// Keys to remove; values unused.
    struct SlLabels unset;
    /// SL_VERB_DOCUMENT only.
    struct SlDocumentText document;
};

/// The outcome of a change.
struct SlResult {
    enum SlStatus status;
    /// Where the change stands in the log, also when it was turned down.
    struct SlVersion version;
    /// The object after the change, or as it stands with SL_CONFLICT.
    bool has_object;
    struct SlObject object;
    char message[SL_ERROR_MESSAGE_BYTES];
};

/// "zone", "service", "group", "node". Never NULL.
const char *
SlKind_Name(enum SlKind kind);
/// SL_KIND_NONE for an unknown name; "upstream" and "entry" mean node.
enum SlKind
SlKind_FromName(const char *name);
const char *
SlVerb_Name(enum SlVerb verb);

/// NULL when the key is not set.
const char *
SlLabels_Get(const struct SlLabels *labels, const char *key);
/// Errors: SL_FULL, SL_INVALID (key or value empty, too long or with
/// characters other than letters, digits, "-", "_", "." and "/").
enum SlStatus
SlLabels_Set(struct SlLabels *labels, const char *key, const char *value);
void
SlLabels_Unset(struct SlLabels *labels, const char *key);

/// The label of an object as selectors see it: operators' labels, then
/// announced ones, then the built-in "name" and "zone". NULL if none.
const char *
SlObject_Label(const struct SlObject *object, const char *key);

/// Checks a change before it is proposed: names, sizes, selector syntax,
/// ranges. The message names the word at fault.
enum SlStatus
SlChange_Check(const struct SlChange *change, struct SlError *error);

/// Selectors: terms joined by ",": "key=value", "key!=value",
/// "key in (a,b)", "key not in (a,b)", "key", "!key". Empty matches all.
/// Errors: SL_MALFORMED with the term at fault in the message.
enum SlStatus
SlSelector_Check(const char *selector, struct SlError *error);

/// selector must have passed SlSelector_Check.
/// lookup: gives a label's value by its key, NULL when it is not set.
bool
SlSelector_Matches(const char *selector,
                   const char *(*lookup)(const void *context, const char *key),
                   const void *context);

#endif
