#ifndef SAVORYLEDGE_COORDINATION_CONTROL_CORE_H
#define SAVORYLEDGE_COORDINATION_CONTROL_CORE_H

/// The parts of a control instance: links, operators' requests, publishing,
/// reachability, and the owner's side of the replicated log.

#include "savoryledge/coordination/control.h"

#include "raft.h"

enum {
    SL_CONTROL_HEARTBEAT_US = 500 * 1000,
    SL_CONTROL_REACH_US = 200 * 1000,
    SL_CONTROL_DIAL_US = 500 * 1000,
    SL_CONTROL_DIAL_BACK_ROUNDS = 4,
    SL_CONTROL_JOIN_US = 300 * 1000,
    /// Events of the start, kept until there is a sink.
    SL_CONTROL_EARLY_EVENTS = 8,
    /// Touched objects remembered, for deltas.
    SL_CONTROL_TOUCHED_MAX = 4096,
    /// Operators' changes that may wait for their results.
    SL_CONTROL_WAITERS_MAX = 4096,
};

/// A link that is up.
struct SlControlLink {
    uint64_t link;
    struct SlPeer peer;
    uint64_t heard_us;
    /// Its last announcement of itself; NULL when none came.
    struct SlNodeSpec *announced;
    /// Follower: the term to whose leader it was reported as heard, and
    /// whether it was reported as lost since.
    uint64_t reported_term;
    bool reported_lost;
    bool subscribed;
    /// Version sent last, and the one that the peer says it holds.
    struct SlVersion sent;
    struct SlVersion holds;
    uint64_t heartbeat_due_us;
    uint64_t echo_us;
};

/// An operator that waits for the result of a record.
struct SlControlWaiter {
    uint64_t index;
    uint64_t term;
    uint64_t link;
    uint64_t client;
    uint64_t request;
};

/// An object that the change at version touched.
struct SlTouched {
    struct SlVersion version;
    enum SlKind kind;
    char name[SL_NAME_BYTES];
};

/// What the leader knows of a process, in order of node id.
struct SlSeen {
    uint64_t node_id;
    char name[SL_NAME_BYTES];
    /// The control instance that hears it; 0 is this one.
    uint64_t via;
    bool heard;
    /// Directly heard last, reported by via, or lost since.
    uint64_t at_us;
    /// It wants this announcement in the log.
    bool announce_due;
    struct SlNodeSpec announced;
    /// Record that carries the last proposal about it.
    uint64_t proposed_index;
    /// When control took it for unreachable; 0 it has not.
    uint64_t marked_us;
};

struct SlSeenTable {
    uint32_t count;
    uint32_t room;
    struct SlSeen **items;
};

struct SlControl {
    struct SlControlOptions options;
    uint64_t node_id;
    struct SlRaft raft;
    struct SlConfig *config;

    /// During a call of SlControl_Handle.
    struct SlSink *sink;
    uint64_t now_us;
    uint64_t wall_us;
    uint32_t early_count;
    struct SlEvent early[SL_CONTROL_EARLY_EVENTS];

    /// In order of number: the newest stands last.
    uint32_t link_count;
    uint32_t link_room;
    struct SlControlLink *links;
    uint64_t dial_due_us;
    uint64_t join_due_us;
    uint32_t dial_rounds;
    struct SlRaftMembers dialled;

    uint32_t waiter_count;
    uint32_t waiter_room;
    struct SlControlWaiter *waiters;

    /// A ring; touched_from is the version that it goes on from.
    uint32_t touched_first;
    uint32_t touched_count;
    struct SlTouched *touched;
    struct SlVersion touched_from;
    /// Objects of the message being built.
    struct SlObject *part_objects;
    struct SlObject *part_removed;

    struct SlSeenTable seen;
    uint64_t seen_term;
    uint64_t reach_due_us;
    bool loss_held;
};

/// control.c
void
SlControl_Event(struct SlControl *control, const struct SlEvent *event);

/// control_links.c
struct SlControlLink *
SlControl_FindLink(struct SlControl *control, uint64_t link);
/// The newest link to a control instance; NULL when none is up.
struct SlControlLink *
SlControl_MemberLink(struct SlControl *control, uint64_t node_id);
void
SlControl_LinkUp(struct SlControl *control, const struct SlInput *input);
void
SlControl_LinkDown(struct SlControl *control, uint64_t link);
/// Keeps links to all members.
void
SlControl_DialMembers(struct SlControl *control);
/// Self-forming: an instance without a leader asks to be taken in.
void
SlControl_AskToJoin(struct SlControl *control);
void
SlControl_OnJoin(struct SlControl *control, const struct SlJoin *join);
void
SlControl_ReleaseLinks(struct SlControl *control);

/// control_host.c
extern const struct SlRaftHostType SL_CONTROL_HOST;

/// control_request.c
void
SlControl_OnChange(struct SlControl *control, uint64_t link,
                   const struct SlChange *change);
/// Gives the result of the record at version to who waits for it.
void
SlControl_Answer(struct SlControl *control, struct SlVersion version,
                 const struct SlResult *result);
/// Gives a status to all who wait for records from from_index on.
void
SlControl_Refuse(struct SlControl *control, uint64_t from_index,
                 enum SlStatus status);

/// control_query.c
void
SlControl_OnQuery(struct SlControl *control, uint64_t link,
                  const struct SlQuery *query);

/// control_publish.c
enum SlStatus
SlControl_CreatePublisher(struct SlControl *control);
void
SlControl_ReleasePublisher(struct SlControl *control);
/// Notes that the change at version touched an object.
void
SlControl_Touch(struct SlControl *control, struct SlVersion version,
                const struct SlChange *change);
/// Forgets what was touched: the state was replaced.
void
SlControl_ForgetTouched(struct SlControl *control);
void
SlControl_OnSubscribe(struct SlControl *control, uint64_t link,
                      const struct SlSubscribe *subscribe);
void
SlControl_OnHeartbeat(struct SlControl *control, uint64_t link,
                      const struct SlHeartbeat *heartbeat);
/// Sends subscribers what they lack, if this instance is fresh.
void
SlControl_Publish(struct SlControl *control);
void
SlControl_SendHeartbeats(struct SlControl *control);

/// control_reach.c
void
SlControl_OnAnnounce(struct SlControl *control, uint64_t link,
                     const struct SlObject *object);
/// A message came from the process at the other end of a link.
void
SlControl_Heard(struct SlControl *control, const struct SlControlLink *link);
/// Records from from_index on were refused: what they proposed is due again,
/// after a pause.
void
SlControl_ReachRefused(struct SlControl *control, uint64_t from_index);
/// A process's link ended.
void
SlControl_LinkLost(struct SlControl *control,
                   const struct SlControlLink *link);
/// Follower: reports to the leader. Leader: proposes announcements and
/// reachability.
void
SlControl_ReachTick(struct SlControl *control);

/// control_observations.c
struct SlSeen *
SlSeenTable_Find(const struct SlSeenTable *table, uint64_t node_id);
/// Finds or adds; NULL without memory. New ones are zero but for the id.
struct SlSeen *
SlSeenTable_Add(struct SlSeenTable *table, uint64_t node_id);
void
SlSeenTable_Release(struct SlSeenTable *table);

#endif
