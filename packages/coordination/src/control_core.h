#ifndef SAVORYLEDGE_COORDINATION_CONTROL_CORE_H
#define SAVORYLEDGE_COORDINATION_CONTROL_CORE_H

/// Interfaces between the parts of a control instance: links, operator
/// requests, distribution of the configuration, reachability, and the
/// callbacks of the replicated log.

#include "savoryledge/coordination/control.h"

#include "local_link.h"
#include "raft.h"

enum {
    SL_CONTROL_HEARTBEAT_INTERVAL_US = 500 * 1000,
    SL_CONTROL_REACHABILITY_CHECK_US = 200 * 1000,
    SL_CONTROL_DIAL_INTERVAL_US = 500 * 1000,
    /// The instance with the higher node id dials only in every n-th round.
    SL_CONTROL_FALLBACK_DIAL_ROUNDS = 4,
    SL_CONTROL_JOIN_INTERVAL_US = 300 * 1000,
    /// Number of election timeouts without a message after which a leader
    /// counts as lost.
    SL_CONTROL_LEADER_CONTACT_ELECTIONS = 2,
    /// Maximum number of events buffered during start, until there is a sink.
    SL_CONTROL_EARLY_EVENTS_MAX = 8,
    /// Maximum number of modifications recorded for building deltas.
    SL_CONTROL_MODIFICATIONS_MAX = 4096,
    /// Maximum number of operator changes that wait for their results.
    SL_CONTROL_WAITERS_MAX = 4096,
    /// Maximum number of processes invited and linked at the same time.
    SL_CONTROL_INVITATIONS_MAX = SL_LOCAL_INVITATIONS_MAX,
};

/// An established link to another process.
struct SlControlLink {
    uint64_t link;
    struct SlPeer peer;
    uint64_t last_received_us;
    /// The last spec that the peer announced about itself. Owned; NULL before
    /// the first announcement.
    struct SlNodeSpec *announced_spec;
    /// Follower: the term whose leader received the last report about the
    /// peer, and whether that report said that the peer was lost.
    uint64_t reported_term;
    bool reported_lost;
    bool subscribed;
    /// The version last sent to the peer, and the version that the peer
    /// reported to hold.
    struct SlVersion sent_version;
    struct SlVersion held_version;
    uint64_t heartbeat_due_us;
    /// Send time of the peer's last heartbeat, by the peer's clock; returned
    /// to the peer in the next heartbeat.
    uint64_t echo_us;
    /// When that heartbeat arrived.
    uint64_t echo_received_us;
};

/// An operator request that waits for the result of the log record at index
/// and term.
struct SlControlWaiter {
    uint64_t index;
    uint64_t term;
    uint64_t link;
    uint64_t client;
    uint64_t request;
};

/// Names an object that the change at version created, modified or deleted.
struct SlModification {
    struct SlVersion version;
    enum SlKind kind;
    char name[SL_NAME_BYTES];
};

/// What the leader knows about the reachability of a process.
struct SlNodeObservation {
    uint64_t node_id;
    char name[SL_NAME_BYTES];
    /// Node id of the control instance that receives messages from the
    /// process; 0 stands for this instance.
    uint64_t observer_id;
    /// False once the observer has lost its link to the process.
    bool is_observed;
    /// When the last direct message or report arrived, or when the process
    /// was lost.
    uint64_t updated_us;
    /// The announced spec has not been compared with the configuration yet.
    bool announcement_due;
    struct SlNodeSpec announced_spec;
    /// Log index of the last proposal about the process; 0 when there was none
    /// or it was refused.
    uint64_t proposed_index;
    /// When this leader declared the process unreachable; 0 when it is not.
    uint64_t marked_unreachable_us;
};

/// Observations in ascending order of node id. The table owns them.
struct SlObservationTable {
    uint32_t count;
    uint32_t capacity;
    struct SlNodeObservation **items;
};

/// A process that this instance dialled after a restart.
struct SlInvitation {
    uint64_t node_id;
    /// When its link was first seen; 0 before that.
    uint64_t linked_us;
};

struct SlInvitations {
    /// When unanswered invitations end; 0 when this instance invites nobody.
    uint64_t until_us;
    uint64_t due_us;
    uint32_t next_share;
    uint32_t count;
    /// Number of processes dialled so far.
    uint64_t sent;
    struct SlInvitation items[SL_CONTROL_INVITATIONS_MAX];
};

struct SlControl {
    struct SlControlOptions options;
    uint64_t node_id;
    struct SlRaft raft;
    struct SlConfig *config;

    /// Set only during a call of SlControl_HandleInput; NULL otherwise.
    struct SlSink *sink;
    uint64_t now_us;
    uint64_t wall_us;
    uint64_t created_us;
    /// The end of the latest lease, or the start of this instance; whether
    /// the instance held a lease at its last input, and how often it lost it.
    uint64_t current_until_us;
    bool is_current;
    uint64_t lease_losses;
    /// Number of times that a subscriber was sent changes without a lease, and
    /// when the next of them may be logged.
    uint64_t outdated_publications;
    uint64_t outdated_publication_log_due_us;
    uint32_t early_event_count;
    struct SlEvent early_events[SL_CONTROL_EARLY_EVENTS_MAX];

    /// Links in ascending order of link number: the newest is last.
    uint32_t link_count;
    uint32_t link_capacity;
    struct SlControlLink *links;
    uint64_t dial_due_us;
    uint64_t join_due_us;
    uint32_t dial_rounds;
    struct SlRaftMembers dialled_members;

    uint32_t waiter_count;
    uint32_t waiter_capacity;
    struct SlControlWaiter *waiters;

    /// Ring buffer of the latest modifications. It is complete from
    /// modifications_since on.
    uint32_t first_modification;
    uint32_t modification_count;
    struct SlModification *modifications;
    struct SlVersion modifications_since;
    /// Buffers for the objects of the configuration message being built.
    struct SlObject *part_objects;
    struct SlObject *part_removed;

    struct SlObservationTable observations;
    uint64_t observations_term;
    uint64_t reachability_check_due_us;
    /// Processes are not declared unreachable: too many fell silent at once.
    bool mass_loss_withheld;
    struct SlInvitations invitations;
};

/// control.c
void
SlControl_EmitEvent(struct SlControl *control, const struct SlEvent *event);

/// control_links.c
struct SlControlLink *
SlControl_FindLink(struct SlControl *control, uint64_t link);
/// Returns the newest link to a control instance; NULL when there is no link
/// to it.
struct SlControlLink *
SlControl_FindMemberLink(struct SlControl *control, uint64_t node_id);
void
SlControl_LinkUp(struct SlControl *control, const struct SlInput *input);
void
SlControl_LinkDown(struct SlControl *control, uint64_t link);
/// True while this instance is the leader or receives messages from one.
bool
SlControl_HasLeaderContact(const struct SlControl *control);
/// Dials members without a link, and drops links to former members.
void
SlControl_DialMembers(struct SlControl *control);
/// Self-forming sites: while no leader is known, sends join requests to all
/// linked control instances and seeds.
void
SlControl_RequestJoin(struct SlControl *control);
void
SlControl_OnJoin(struct SlControl *control, const struct SlJoin *join);
void
SlControl_ReleaseLinks(struct SlControl *control);

/// control_invite.c
/// Begins invitations if this instance recovered a configuration.
void
SlControl_InitInvitations(struct SlControl *control);
/// Self-forming sites, after a restart and while no leader is known: dials the
/// processes of the recovered configuration.
void
SlControl_InviteProcesses(struct SlControl *control);

/// control_host.c: callbacks of the log. The host is a struct SlControl.
extern const struct SlRaftHostType SL_CONTROL_HOST;

/// control_request.c
void
SlControl_OnChange(struct SlControl *control, uint64_t link,
                   const struct SlChange *change);
/// Sends the result of the record at version to the operator that waits for
/// it. Requests waiting for an earlier record are refused.
void
SlControl_CompleteWaiters(struct SlControl *control, struct SlVersion version,
                          const struct SlResult *result);
/// Sends a result with the given status, which refuses the request, to all
/// operators that wait for records from from_index on.
void
SlControl_RefuseWaiters(struct SlControl *control, uint64_t from_index,
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
/// Records which object the change at version modified, for later deltas.
void
SlControl_RecordModification(struct SlControl *control,
                             struct SlVersion version,
                             const struct SlChange *change);
/// Discards all recorded modifications after the whole configuration was
/// replaced.
void
SlControl_ClearModifications(struct SlControl *control);
void
SlControl_OnSubscribe(struct SlControl *control, uint64_t link,
                      const struct SlSubscribe *subscribe);
void
SlControl_OnHeartbeat(struct SlControl *control, uint64_t link,
                      const struct SlHeartbeat *heartbeat);
/// Sends each subscriber the changes since the version that was last sent to
/// it. In self-forming sites this does not need a lease: what this instance
/// has applied is committed, and versions only grow. It is then marked as not
/// fresh, so that no process takes itself for current by it.
void
SlControl_PublishChanges(struct SlControl *control);
void
SlControl_SendHeartbeats(struct SlControl *control);

/// control_reach.c
void
SlControl_OnAnnounce(struct SlControl *control, uint64_t link,
                     const struct SlObject *object);
/// Leader: records that a message arrived on a link, so that the process at
/// its other end counts as reachable.
void
SlControl_ObserveMessage(struct SlControl *control,
                         const struct SlControlLink *link);
/// Schedules a new proposal, after a delay, of what the refused records from
/// from_index on had proposed.
void
SlControl_RetryRefusedProposals(struct SlControl *control,
                                uint64_t from_index);
/// Records, or reports to the leader, that a process's link went down.
void
SlControl_ObserveLinkLoss(struct SlControl *control,
                          const struct SlControlLink *link);
/// Follower: reports changed processes to the leader. Leader: proposes
/// announcements and changes of reachability.
void
SlControl_CheckReachability(struct SlControl *control);

/// control_observations.c
struct SlNodeObservation *
SlObservationTable_Find(const struct SlObservationTable *table,
                        uint64_t node_id);
/// Returns the observation of a node and adds it if needed. Except for
/// node_id, a new observation is zero. Returns NULL when out of memory.
struct SlNodeObservation *
SlObservationTable_Add(struct SlObservationTable *table, uint64_t node_id);
void
SlObservationTable_Release(struct SlObservationTable *table);

#endif
