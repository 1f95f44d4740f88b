#ifndef SAVORYLEDGE_COORDINATION_CONTROL_H
#define SAVORYLEDGE_COORDINATION_CONTROL_H

/// The control instance: a member of the replicated log that accepts
/// changes, monitors which processes are reachable, and distributes the
/// configuration.
///
/// The log follows Raft (Ongaro and Ousterhout, 2014) with pre-vote, leader
/// lease, learners, snapshots and one-at-a-time membership change.

#include "savoryledge/coordination/core.h"
#include "savoryledge/state/config.h"
#include "savoryledge/state/storage.h"

struct SlControl;

/// A member of the replicated log.
struct SlControlMember {
    uint64_t node_id;
    char name[SL_NAME_BYTES];
    /// Address at which the member accepts links from other processes.
    struct SlAddress link_address;
    /// The member has a vote. The other members are learners, which replicate
    /// the log.
    bool is_voter;
};

struct SlControlOptions {
    struct SlCoreOptions core;
    /// The founding members; used while the data folder is empty and, with
    /// self_forming, as addresses to contact.
    uint32_t member_count;
    struct SlControlMember members[SL_MEMBERS_CONTROL_MAX];
    /// True: an instance with an empty data folder starts as a founding member
    /// of a new site. False: it joins as a learner and becomes a voter once it
    /// has caught up.
    bool bootstrap;
    /// True: the instances manage their membership without an operator. An
    /// instance without a leader sends join requests to the known members and
    /// to the founding members above. The leader keeps an odd number of
    /// voters, at most seven, and replaces a silent voter by a learner that
    /// holds all committed records.
    bool self_forming;
    /// Address at which other control instances dial this one; used with
    /// self_forming.
    struct SlAddress link;
    /// Owned by the caller; must outlive the control instance.
    struct SlStorage *storage;
    /// Heartbeat interval and minimum election timeout; 0 selects 150 ms and
    /// 900 ms.
    uint64_t heartbeat_us;
    uint64_t election_us;
    /// Silence after which a process is declared unreachable; 0 selects 2 s.
    uint64_t unreachable_us;
    /// Log entries between snapshots; 0 selects 4096.
    uint32_t snapshot_entries;
};

enum SlControlState {
    SL_CONTROL_LEARNER = 0,
    SL_CONTROL_FOLLOWER,
    SL_CONTROL_CANDIDATE,
    SL_CONTROL_LEADER,
};

/// Creates a control instance from options->storage.
/// Errors: SL_DAMAGED (the stored state cannot be decoded), SL_NO_MEMORY,
/// SL_IO.
enum SlStatus
SlControl_Create(const struct SlControlOptions *options, uint64_t now_us,
                 struct SlControl **control, struct SlError *error);
/// Destroys a control instance, which may be NULL.
void
SlControl_Destroy(struct SlControl *control);

/// Handles inputs of the kinds TICK, LINK_UP, LINK_DOWN, MESSAGE, BATCH_END
/// and STOP. All calls must come from the same thread.
void
SlControl_HandleInput(struct SlControl *control, struct SlSink *sink,
                      const struct SlInput *input);

/// Returns the state of this instance in the replicated log.
enum SlControlState
SlControl_State(const struct SlControl *control);
/// Returns the Raft term that this instance is in.
uint64_t
SlControl_CurrentTerm(const struct SlControl *control);
/// Returns the node id of the leader; 0 when the leader is unknown.
uint64_t
SlControl_LeaderId(const struct SlControl *control);
/// Returns the version of the latest log record that this instance has applied
/// to its configuration.
struct SlVersion
SlControl_AppliedVersion(const struct SlControl *control);
/// True when the configuration of this instance is current: this instance is a
/// leader that a majority acknowledged within the lease, or a follower that
/// received a message from such a leader within the lease.
bool
SlControl_IsFresh(const struct SlControl *control, uint64_t now_us);
/// True when the instance is fresh, or follows a leader so closely that its
/// configuration may be passed on as current.
bool
SlControl_IsRecent(const struct SlControl *control, uint64_t now_us);
/// Returns for how long the configuration of this instance remains current
/// without a further message, in microseconds. Negative: the time since the
/// latest lease ended, or since the instance started if it had none.
int64_t
SlControl_LeaseUs(const struct SlControl *control, uint64_t now_us);
/// Returns the election timeout in force, microseconds: the configured one, or
/// a longer one that follows the round trips to a majority.
uint64_t
SlControl_ElectionUs(const struct SlControl *control);
/// Returns the smoothed round trip from this instance to a majority,
/// microseconds; 0 before the first.
uint64_t
SlControl_RoundTripUs(const struct SlControl *control);
/// Returns how often the instance ceased to be current.
uint64_t
SlControl_LeaseLossCount(const struct SlControl *control);
/// Returns how often a subscriber was sent changes while this instance was not
/// current.
uint64_t
SlControl_OutdatedPublicationCount(const struct SlControl *control);
/// Returns the name of the last known leader; empty when there is none. Valid
/// until the next call of SlControl_HandleInput.
const char *
SlControl_LeaderName(const struct SlControl *control);
/// Finds the leader, if that is another instance and a message of it arrived
/// within twice the election timeout. Returns false if there is none. The
/// leader decides for itself whether its lease lasts.
bool
SlControl_FindLeader(const struct SlControl *control, uint64_t now_us,
                     struct SlControlMember *leader);
/// True when the log of this instance lists it as a member.
bool
SlControl_IsMember(const struct SlControl *control);
/// Finds another control instance that this one is linked to. turn: selects
/// among several. Returns false if there is none. is_voter is not set.
bool
SlControl_FindLinkedInstance(const struct SlControl *control, uint64_t turn,
                             struct SlControlMember *instance);
/// Finds a link to the process. Returns NULL when there is none; else valid
/// until the next call of SlControl_HandleInput. link: set to its number.
const struct SlPeer *
SlControl_FindPeer(const struct SlControl *control, uint64_t node_id,
                   uint64_t *link);
/// Returns the time since the last message of a leader, or since this instance
/// started; 0 at a leader.
uint64_t
SlControl_LeaderSilentUs(const struct SlControl *control, uint64_t now_us);
/// Returns the configuration of this instance, which may be out of date. Valid
/// until the next call of SlControl_HandleInput.
const struct SlConfig *
SlControl_Config(const struct SlControl *control);

/// Returns the number of entries and agents that this instance has dialled
/// since it started, to give them the configuration that it recovered.
uint64_t
SlControl_InvitationCount(const struct SlControl *control);

/// Copies up to capacity of the present members of the replicated log, for
/// status output and dialling. Returns the number of all members.
uint32_t
SlControl_Members(const struct SlControl *control,
                  struct SlControlMember *members, uint32_t capacity);

#endif
