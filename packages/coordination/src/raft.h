#ifndef SAVORYLEDGE_COORDINATION_RAFT_H
#define SAVORYLEDGE_COORDINATION_RAFT_H

/// The replicated log (Ongaro, 2014): pre-vote, leader lease, learners,
/// snapshots and membership change, one member at a time.
///
/// Three rules go beyond the paper.
///
/// - A member is a node and the incarnation of its data folder. Votes and
///   acknowledgements of another incarnation do not count, whoever gives
///   them; so a caught-up learner may vote before it learns that it was
///   promoted. A voter that
///   comes back with a new folder is made a learner first and promoted again
///   when it has caught up: two changes, so that quorums always overlap.
/// - Incarnations of the first members are logged after the first election.
///   Until then a member counts only when all vote alike, and operators'
///   changes wait.
/// - A leader sends records only after its own sync, so that a refusal for a
///   full disk leaves no copy anywhere.

#include "savoryledge/coordination/control.h"

enum {
    /// Records that may wait for acknowledgement.
    SL_RAFT_UNCOMMITTED_MAX_RECORDS = 2048,
    SL_RAFT_APPEND_MAX_RECORDS = 256,
    SL_RAFT_APPEND_MAX_BYTES = 256 * 1024,
    /// Records kept before a snapshot, for followers a little behind.
    SL_RAFT_RETAINED_RECORDS = 512,
    /// Heartbeat rounds whose sending times are remembered.
    SL_RAFT_TRACKED_ROUNDS = 64,
};

/// A member, as the log tells.
struct SlRaftMember {
    uint64_t node_id;
    char name[SL_NAME_BYTES];
    struct SlAddress link;
    bool voter;
    /// 0: not known yet; any counts.
    uint64_t incarnation;
};

struct SlRaftMembers {
    uint32_t count;
    struct SlRaftMember items[SL_MEMBERS_CONTROL_MAX];
};

/// What this instance knows of another. Slots follow members by node id.
struct SlRaftProgress {
    uint64_t node_id;
    /// Incarnation in its last message; 0 unknown.
    uint64_t incarnation;
    uint64_t next;
    uint64_t match;
    /// When the last round that it acknowledged was sent; 0 none.
    uint64_t acked_us;
    uint64_t heard_us;
    /// The stamp of its last answer, to be returned, and when it came.
    uint64_t echo_us;
    uint64_t echo_received_us;
    /// While installing: the snapshot, how much of it has arrived, and when
    /// the next part was sent.
    struct SlVersion install_last;
    uint64_t install_offset;
    uint64_t install_sent_us;
    bool installing;
    /// Answer to the present vote request.
    bool granted;
    /// An append is due, even an empty one.
    bool send_due;
};

struct SlRaft;

/// What the log needs from its owner. All calls return at once.
struct SlRaftHostType {
    /// Dropped when there is no link to the node.
    void (*send)(void *host, uint64_t node_id,
                 const struct SlMessage *message);
    /// Applies a committed change.
    void (*apply)(void *host, struct SlVersion version,
                  const struct SlChange *change);
    /// Appends the state after the last applied change.
    enum SlStatus (*save)(void *host, struct SlBuffer *buffer);
    /// Tells whether restore could read the bytes, and changes nothing.
    enum SlStatus (*check)(void *host, const uint8_t *bytes,
                           size_t length_bytes);
    /// Replaces the state. Errors: SL_DAMAGED, SL_NO_MEMORY; then the state
    /// is as before.
    enum SlStatus (*restore)(void *host, struct SlVersion last,
                             const uint8_t *bytes, size_t length_bytes);
    /// Records from index on, proposed here, will not be accepted by this
    /// instance as leader.
    void (*refused)(void *host, uint64_t from_index, enum SlStatus status);
    void (*event)(void *host, enum SlEventNumber number, const char *peer,
                  const char *reason, int64_t value, int64_t limit);
};

struct SlRaftOptions {
    uint64_t node_id;
    uint64_t seed;
    uint64_t heartbeat_us;
    uint64_t election_us;
    uint32_t snapshot_entries;
    bool bootstrap;
    bool self_forming;
    struct SlRaftMembers first_members;
    struct SlStorage *storage;
    const struct SlRaftHostType *host_type;
    void *host;
};

struct SlRaft {
    struct SlRaftOptions options;
    struct SlHardState hard;
    enum SlControlState state;
    bool pre_voting;
    uint64_t leader;
    uint64_t random;

    struct SlRaftMembers members;
    /// Members as of the last applied record, and as of the snapshot.
    struct SlRaftMembers applied_members;
    struct SlRaftMembers base_members;
    /// Index of the last membership change in the log; 0 none.
    uint64_t members_index;
    struct SlRaftProgress progress[SL_MEMBERS_CONTROL_MAX];

    uint64_t now_us;
    uint64_t election_due_us;
    uint64_t leader_heard_us;
    /// Follower: until then the leader's lease was said to last.
    uint64_t fresh_until_us;
    uint64_t leading_since_us;
    uint64_t heartbeat_due_us;
    uint64_t repair_due_us;
    uint64_t round;
    uint64_t round_sent_us[SL_RAFT_TRACKED_ROUNDS];
    bool lease_lost;

    struct SlVersion snapshot_last;
    uint64_t synced;
    uint64_t commit;
    uint64_t received_commit_index;
    /// What the log itself says is committed.
    uint64_t logged_commit_index;
    struct SlVersion applied;
    /// First record of the leader's own term; reads wait for its commit.
    uint64_t term_start_index;
    /// Largest time of any record; a leader's times only grow.
    uint64_t last_time_us;

    /// Follower: the answer owed to the leader after the next sync, and the
    /// commit that the leader named under its lease.
    bool ack_due;
    struct SlAppended ack;
    uint64_t leader_commit_index;
    uint64_t fresh_commit_index;
    uint64_t offered_fresh_until_us;
    /// A snapshot on its way to this instance.
    struct SlBuffer incoming;
    struct SlVersion incoming_snapshot_last;
    struct SlBuffer scratch;
    /// The hard state in memory is newer than the one in storage.
    bool hard_state_unsaved;
    /// Storage refuses every write.
    bool broken;
    bool stopping;
};

/// Reads durable state. Errors: SL_DAMAGED, SL_NO_MEMORY, SL_IO.
enum SlStatus
SlRaft_Open(struct SlRaft *raft, const struct SlRaftOptions *options,
            uint64_t now_us, struct SlError *error);
void
SlRaft_Close(struct SlRaft *raft);

void
SlRaft_Tick(struct SlRaft *raft, uint64_t now_us);
/// Takes one message of the log's kinds from a node.
void
SlRaft_Receive(struct SlRaft *raft, uint64_t now_us, uint64_t from,
               const struct SlMessage *message);
/// Syncs and sends what was gathered, commits and applies.
void
SlRaft_Flush(struct SlRaft *raft, uint64_t now_us);
/// A planned stop: a leader gives its lease up and tells so, and this
/// instance does not stand for election any more.
void
SlRaft_Resign(struct SlRaft *raft, uint64_t now_us);
/// A link to the node came up.
void
SlRaft_LinkUp(struct SlRaft *raft, uint64_t now_us, uint64_t node_id);

/// Appends a change as leader; index tells where.
/// Errors: SL_NOT_LEADER, SL_FULL, SL_TOO_LONG, SL_NO_MEMORY, SL_IO.
enum SlStatus
SlRaft_Propose(struct SlRaft *raft, struct SlChange *change, uint64_t wall_us,
               uint64_t *index);
/// Membership changes as leader, checked first. With SL_INVALID or
/// SL_NO_QUORUM reason tells why.
enum SlStatus
SlRaft_CheckMemberChange(const struct SlRaft *raft, uint64_t now_us,
                         const struct SlChange *change, const char **reason);

/// True when a majority acknowledged this leader within the lease, or a
/// leader that held one spoke within it.
bool
SlRaft_IsFresh(const struct SlRaft *raft, uint64_t now_us);
/// How long this instance is current from now on; 0 it is not.
uint64_t
SlRaft_LeaseLeft(const struct SlRaft *raft, uint64_t now_us);
/// True when a leader has also committed a record of its own term.
bool
SlRaft_IsReady(const struct SlRaft *raft);

/* Between the parts of the log. */

/// raft_member.c
const struct SlRaftMember *
SlRaft_FindMember(const struct SlRaft *raft, uint64_t node_id);
struct SlRaftProgress *
SlRaft_FindProgress(struct SlRaft *raft, uint64_t node_id);
uint32_t
SlRaft_VoterCount(const struct SlRaft *raft);
/// True when the incarnation is the one that the member is known by.
bool
SlRaft_IncarnationMatches(const struct SlRaftMember *member,
                          uint64_t incarnation);
/// True when the incarnations of all voters are in the log.
bool
SlRaft_AllIncarnationsLogged(const struct SlRaft *raft);
/// True when this instance may stand for election: a voter by its own log,
/// with the folder that the log names.
bool
SlRaft_IsElectable(const struct SlRaft *raft);
/// Applies a membership change to members; others change nothing.
bool
SlRaftMembers_Apply(struct SlRaftMembers *members,
                    const struct SlChange *change);
void
SlRaft_OnMembersChanged(struct SlRaft *raft);
/// Works members out again from the snapshot's and the log.
enum SlStatus
SlRaft_RebuildMembers(struct SlRaft *raft);
/// Leader: takes a control instance in as a learner, unless it is a member.
void
SlRaft_AddLearner(struct SlRaft *raft, const struct SlJoin *join);
/// Self-forming membership: the change that is due now. Returns true when one
/// was proposed.
bool
SlRaft_AdjustVoters(struct SlRaft *raft);
/// Proposes a membership change of the leader's own.
void
SlRaft_ProposeMember(struct SlRaft *raft, enum SlVerb verb,
                     const struct SlRaftMember *member, uint64_t incarnation);
/// True when those that acknowledged lately are a majority without member.
bool
SlRaft_WouldKeepMajority(const struct SlRaft *raft, uint64_t now_us,
                         const struct SlRaftMember *member);
/// True when a learner holds all that is committed and answers.
bool
SlRaft_IsCaughtUp(const struct SlRaft *raft, uint32_t at);
/// Leader: proposes the next repair of the membership, if any is due.
void
SlRaft_RepairMembers(struct SlRaft *raft);

/// raft_log.c
uint64_t
SlRaft_LastIndex(const struct SlRaft *raft);
uint64_t
SlRaft_FirstIndex(const struct SlRaft *raft);
struct SlVersion
SlRaft_LastVersion(const struct SlRaft *raft);
/// Term of the record at index; 0 when it is not held.
uint64_t
SlRaft_TermAt(const struct SlRaft *raft, uint64_t index);
enum SlStatus
SlRaft_Append(struct SlRaft *raft, const struct SlLogRecord *record,
              const struct SlChange *change);
enum SlStatus
SlRaft_SaveHardState(struct SlRaft *raft);
/// Syncs the log; on failure the dropped records are forgotten here too.
enum SlStatus
SlRaft_Sync(struct SlRaft *raft);
void
SlRaft_StorageFailed(struct SlRaft *raft, enum SlStatus status);
void
SlRaft_ApplyCommitted(struct SlRaft *raft);

/// raft_election.c
uint64_t
SlRaft_NextRandom(struct SlRaft *raft);
void
SlRaft_BecomeFollower(struct SlRaft *raft, uint64_t term, uint64_t leader,
                      const char *reason);
void
SlRaft_ResetElection(struct SlRaft *raft);
void
SlRaft_ElectionTick(struct SlRaft *raft);
void
SlRaft_OnVote(struct SlRaft *raft, uint64_t from, const struct SlVote *vote);
void
SlRaft_OnVoted(struct SlRaft *raft, uint64_t from,
               const struct SlVoted *voted);

/// raft_leader.c
void
SlRaft_BecomeLeader(struct SlRaft *raft, uint32_t votes);
void
SlRaft_LeaderTick(struct SlRaft *raft);
void
SlRaft_LeaderFlush(struct SlRaft *raft);
void
SlRaft_OnAppended(struct SlRaft *raft, uint64_t from,
                  const struct SlAppended *appended);
/// When a majority last acknowledged a round, at its sending.
uint64_t
SlRaft_QuorumAckedAt(const struct SlRaft *raft);

/// raft_follower.c
/// True when from leads the term; this instance then follows it.
bool
SlRaft_AcceptLeader(struct SlRaft *raft, uint64_t from, uint64_t term);
void
SlRaft_OnAppend(struct SlRaft *raft, uint64_t from,
                const struct SlAppend *append);
void
SlRaft_FollowerFlush(struct SlRaft *raft);

/// raft_snapshot.c
/// First start: a snapshot that holds the first members alone.
enum SlStatus
SlRaft_Bootstrap(struct SlRaft *raft);
void
SlRaft_TakeSnapshot(struct SlRaft *raft);
enum SlStatus
SlRaft_LoadSnapshot(struct SlRaft *raft, struct SlVersion last,
                    const uint8_t *bytes, size_t length_bytes);
void
SlRaft_StartInstall(struct SlRaft *raft, struct SlRaftProgress *progress);
void
SlRaft_InstallTick(struct SlRaft *raft, struct SlRaftProgress *progress);
void
SlRaft_OnInstall(struct SlRaft *raft, uint64_t from,
                 const struct SlInstall *install);
void
SlRaft_OnInstalled(struct SlRaft *raft, uint64_t from,
                   const struct SlInstalled *installed);

#endif
