#ifndef SAVORYLEDGE_COORDINATION_CONTROL_H
#define SAVORYLEDGE_COORDINATION_CONTROL_H

/// The control instance: a member of the replicated log that accepts
/// changes, watches which processes are reachable, and distributes the
/// configuration.
///
/// The log follows Raft (Ongaro and Ousterhout, 2014) with pre-vote, leader
/// lease, learners, snapshots and one-at-a-time membership change.

#include "savoryledge/coordination/core.h"
#include "savoryledge/state/config.h"
#include "savoryledge/state/storage.h"

struct SlControl;

struct SlControlMember {
    uint64_t node_id;
    char name[SL_NAME_BYTES];
    struct SlAddress link;
    /// Learners take the log but have no vote.
    bool voter;
};

struct SlControlOptions {
    struct SlCoreOptions core;
    /// The first members, used only when the data folder is empty.
    uint32_t member_count;
    struct SlControlMember members[SL_MEMBERS_CONTROL_MAX];
    /// True: an empty folder starts as one of the first members (a new
    /// site). False: it joins as a learner and votes once caught up.
    bool bootstrap;
    /// True: the instances keep their membership by themselves. One that
    /// hears no leader asks the members that it knows, and those of the list
    /// above, to be taken in; the leader keeps an odd number of voters, seven
    /// at most, and puts a caught-up learner in the place of a silent voter.
    bool self_forming;
    /// Where others reach this instance; for self_forming.
    struct SlAddress link;
    /// Owned by the caller and outlives the control.
    struct SlStorage *storage;
    /// Heartbeat interval and least election timeout; 0 takes 150 ms and
    /// 900 ms.
    uint64_t heartbeat_us;
    uint64_t election_us;
    /// A process silent for this long is unreachable; 0 takes 2 s.
    uint64_t unreachable_us;
    /// Log entries between snapshots; 0 takes 4096.
    uint32_t snapshot_entries;
};

enum SlControlState {
    SL_CONTROL_LEARNER = 0,
    SL_CONTROL_FOLLOWER,
    SL_CONTROL_CANDIDATE,
    SL_CONTROL_LEADER,
};

/// Errors: SL_DAMAGED (what storage holds cannot be decoded), SL_NO_MEMORY.
enum SlStatus
SlControl_Create(const struct SlControlOptions *options, uint64_t now_us,
                 struct SlControl **control, struct SlError *error);
/// NULL is allowed.
void
SlControl_Destroy(struct SlControl *control);

/// Handles TICK, LINK_UP, LINK_DOWN, MESSAGE, BATCH_END and STOP. One
/// thread.
void
SlControl_Handle(struct SlControl *control, struct SlSink *sink,
                 const struct SlInput *input);

enum SlControlState
SlControl_State(const struct SlControl *control);
uint64_t
SlControl_Term(const struct SlControl *control);
/// 0 when unknown.
uint64_t
SlControl_Leader(const struct SlControl *control);
struct SlVersion
SlControl_Applied(const struct SlControl *control);
/// True when what it holds is current: a leader heard by a majority within
/// the lease, or a follower that such a leader spoke to within the lease.
bool
SlControl_IsFresh(const struct SlControl *control, uint64_t now_us);
const struct SlConfig *
SlControl_Config(const struct SlControl *control);

/// Present members, for status and dialling. Returns the count.
uint32_t
SlControl_Members(const struct SlControl *control,
                  struct SlControlMember *members, uint32_t room);

#endif
