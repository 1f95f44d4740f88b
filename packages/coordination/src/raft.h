#ifndef SAVORYLEDGE_COORDINATION_RAFT_H
#define SAVORYLEDGE_COORDINATION_RAFT_H

/// The replicated log (Ongaro, 2014): pre-vote, leader lease, learners,
/// snapshots and membership change, one member at a time.
///
/// Three rules go beyond the paper.
///
/// - A member is identified by its node id and the incarnation of its data
///   folder. Votes and acknowledgements from another incarnation are ignored.
///   This makes it safe that a caught-up learner votes before it receives its
///   own promotion. A voter that restarts with a new folder is first made a
///   learner, and promoted again once it has caught up: two changes, so that
///   quorums always overlap.
/// - The incarnations of the founding members are logged after the first
///   election. Until then a founding member counts only in a unanimous vote,
///   and operator changes are refused.
/// - A leader sends records only after it has synced them itself, so that a
///   change refused because of a full disk exists nowhere.

#include "savoryledge/balance/answer_timeout.h"
#include "savoryledge/coordination/control.h"

enum {
    /// Maximum number of uncommitted records at the leader.
    SL_RAFT_UNCOMMITTED_MAX_RECORDS = 2048,
    /// Limits of one append message. Its last record may exceed the byte
    /// limit.
    SL_RAFT_APPEND_MAX_RECORDS = 256,
    SL_RAFT_APPEND_MAX_BYTES = 256 * 1024,
    /// Records retained before a snapshot, so that followers that are slightly
    /// behind need no snapshot.
    SL_RAFT_RETAINED_RECORDS = 512,
    /// Number of the latest heartbeat rounds whose send times are stored.
    SL_RAFT_TRACKED_ROUNDS = 64,
    /// Time between two attempts to write to storage that has failed. A change
    /// waits for seconds at most once the disk works again.
    SL_RAFT_STORAGE_RETRY_US = 500 * 1000,
    /// Age of a state that is still passed on as current: half of the 3 s
    /// within which a change reaches every process.
    SL_RAFT_RECENT_MAX_US = 1500 * 1000,
};

/// A member according to the log.
struct SlRaftMember {
    uint64_t node_id;
    char name[SL_NAME_BYTES];
    /// Address at which other control instances dial the member.
    struct SlAddress link_address;
    bool is_voter;
    /// Incarnation of the member's data folder; 0 while it is not logged: then
    /// every incarnation matches.
    uint64_t incarnation;
};

struct SlRaftMembers {
    uint32_t count;
    struct SlRaftMember items[SL_MEMBERS_CONTROL_MAX];
};

/// Replication state of another member. SlRaft.progress[i] belongs to
/// SlRaft.members.items[i].
struct SlRaftProgress {
    uint64_t node_id;
    /// Incarnation in its last message; 0 when unknown.
    uint64_t incarnation;
    /// Index of the next record to send to the member, and of the last record
    /// that the member is known to have.
    uint64_t next_index;
    uint64_t match_index;
    /// Send time of the latest heartbeat round that the member acknowledged; 0
    /// when there is none.
    uint64_t acked_us;
    /// End of the lease that the member has granted by its answers.
    uint64_t lease_until_us;
    /// Until when followers of the former leader may hold a lease that the
    /// member granted, by its vote.
    uint64_t former_lease_until_us;
    uint64_t last_received_us;
    /// Send time in the member's last reply, by the member's clock, which is
    /// echoed to it; and the time at which that reply arrived here.
    uint64_t echo_us;
    uint64_t echo_received_us;
    /// While is_installing: the version of the snapshot, the number of bytes
    /// that the member has acknowledged, and when the last chunk was sent.
    struct SlVersion install_last;
    uint64_t install_offset;
    uint64_t install_sent_us;
    bool is_installing;
    /// The member granted the present vote request.
    bool vote_granted;
    /// An append message is due even if there are no records to send.
    bool append_due;
};

struct SlRaft;

/// Callbacks to the owner of the log. They must not block.
struct SlRaftHostType {
    /// Sends a message, or discards it when there is no link to the node.
    void (*send_message)(void *host, uint64_t node_id,
                         const struct SlMessage *message);
    /// Applies a committed change.
    void (*apply_change)(void *host, struct SlVersion version,
                         const struct SlChange *change);
    /// Appends an encoding of the state after the last applied change.
    enum SlStatus (*save_state)(void *host, struct SlBuffer *buffer);
    /// Returns what restore_state would return for the bytes, without changing
    /// the state.
    enum SlStatus (*check_state)(void *host, const uint8_t *bytes,
                                 size_t length_bytes);
    /// Replaces the state by a saved one. Errors: SL_DAMAGED, SL_NO_MEMORY; on
    /// an error the state is unchanged.
    enum SlStatus (*restore_state)(void *host, struct SlVersion last,
                                   const uint8_t *bytes, size_t length_bytes);
    /// This instance will not commit, as leader, the records that it proposed
    /// from from_index on.
    void (*records_refused)(void *host, uint64_t from_index,
                            enum SlStatus status);
    void (*emit_event)(void *host, enum SlEventNumber number, const char *peer,
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
    struct SlHardState hard_state;
    enum SlControlState state;
    bool pre_voting;
    uint64_t leader_id;
    uint64_t random_state;

    struct SlRaftMembers members;
    /// Members according to the last applied record, and according to the
    /// snapshot. members includes records that are not committed yet.
    struct SlRaftMembers applied_members;
    struct SlRaftMembers base_members;
    /// Index of the last membership change in the log; 0 when the log has no
    /// membership change.
    uint64_t members_index;
    struct SlRaftProgress progress[SL_MEMBERS_CONTROL_MAX];

    uint64_t now_us;
    uint64_t election_due_us;
    uint64_t last_leader_message_us;
    /// Round trips to a majority: of rounds, and of requests for votes.
    struct SlAnswerTimeout majority_trip;
    /// Leader: election timeout of the present round. Follower: that of its
    /// leader's last message; before it, the one promised before the start.
    uint64_t announced_election_us;
    /// When the durable promise was last needed.
    uint64_t promise_needed_us;
    /// No vote is granted before, since a leader may hold a lease; and the
    /// same, not shortened by its resignation.
    uint64_t votes_refused_until_us;
    uint64_t lease_granted_until_us;
    /// The leader that resigned last.
    uint64_t resigned_id;
    /// Leader: nothing is committed before, unless all other members have
    /// answered in this term.
    uint64_t former_lease_until_us;
    /// Follower: until when reads may be answered by the leader's last lease,
    /// and until when the state is recent.
    uint64_t fresh_until_us;
    uint64_t recent_until_us;
    uint64_t leading_since_us;
    uint64_t heartbeat_due_us;
    uint64_t repair_due_us;
    uint64_t heartbeat_round;
    uint64_t round_sent_us[SL_RAFT_TRACKED_ROUNDS];
    /// Latest round that a majority has answered, by its send time.
    uint64_t majority_acked_us;
    bool lease_lost;

    /// Version of the last record covered by the snapshot.
    struct SlVersion snapshot_last;
    /// Last record that is durable in storage.
    uint64_t synced_index;
    uint64_t commit_index;
    /// Follower: highest commit index of the leader that this log is known to
    /// match.
    uint64_t received_commit_index;
    /// Highest commit index stored in the log's own records.
    uint64_t logged_commit_index;
    struct SlVersion applied;
    /// First record of the leader's own term. The leader is not ready before
    /// this record is committed.
    uint64_t term_start_index;
    /// Latest wall-clock time of any record; the times of records increase
    /// strictly.
    uint64_t last_time_us;

    /// Follower: the acknowledgement to send after the next sync.
    bool ack_due;
    struct SlAppended pending_ack;
    /// Follower: commit index in the leader's last message.
    uint64_t leader_commit_index;
    /// Follower: commit index in the leader's last message that reported a
    /// lease, and the ends that follow from it. They take effect
    /// (fresh_until_us, recent_until_us) once that commit index is applied
    /// here.
    uint64_t fresh_commit_index;
    uint64_t offered_fresh_until_us;
    uint64_t offered_recent_until_us;
    /// The chunks received so far of a snapshot from the leader.
    struct SlBuffer incoming_snapshot;
    struct SlVersion incoming_snapshot_last;
    struct SlBuffer encode_buffer;
    /// The hard state in memory is newer than the one in storage.
    bool hard_state_unsaved;
    /// Storage refuses writes; this instance takes no part until an attempt to
    /// recover the storage succeeds. After SL_DAMAGED there is none.
    bool storage_failed;
    uint64_t recover_due_us;
    /// No truncation of the log and no snapshot is attempted before this time,
    /// and no saving of the hard state without a message.
    uint64_t rewrite_due_us;
    /// Number of failures since the last SL_EVENT_DISK_WORKS, and time of the
    /// first of them.
    uint64_t storage_failures;
    uint64_t failing_since_us;
    /// SL_EVENT_DISK is not emitted again before this time; and it was emitted
    /// since the last SL_EVENT_DISK_WORKS.
    uint64_t disk_event_due_us;
    bool failure_reported;
    /// SlRaft_Resign was called; this instance no longer starts elections.
    bool is_stopping;
};

/// Loads the durable state, or bootstraps it. Errors: SL_DAMAGED,
/// SL_NO_MEMORY, SL_IO.
enum SlStatus
SlRaft_Open(struct SlRaft *raft, const struct SlRaftOptions *options,
            uint64_t now_us, struct SlError *error);
void
SlRaft_Close(struct SlRaft *raft);

/// Runs the timers of elections, heartbeats and snapshot transfers.
void
SlRaft_Tick(struct SlRaft *raft, uint64_t now_us);
/// Handles a message of the log from a node; ignores other kinds.
void
SlRaft_HandleMessage(struct SlRaft *raft, uint64_t now_us, uint64_t sender_id,
                     const struct SlMessage *message);
/// Syncs appended records, sends pending messages, and commits and applies
/// records.
void
SlRaft_Flush(struct SlRaft *raft, uint64_t now_us);
/// Prepares a planned stop: a leader gives up its lease and notifies the
/// members, and this instance starts no more elections.
void
SlRaft_Resign(struct SlRaft *raft, uint64_t now_us);
/// Resumes replication to a node after a link to it was established.
void
SlRaft_LinkUp(struct SlRaft *raft, uint64_t now_us, uint64_t node_id);

/// Appends a change as leader. On success *index is its log index.
/// Errors: SL_NOT_LEADER, SL_FULL, SL_TOO_LONG, SL_NO_MEMORY, SL_IO.
enum SlStatus
SlRaft_ProposeChange(struct SlRaft *raft, struct SlChange *change,
                     uint64_t wall_us, uint64_t *index);
/// Checks, as leader, whether a membership change may be proposed. On an error
/// *reason is a static text that says why not. Errors: SL_INVALID,
/// SL_NOT_FOUND, SL_NO_QUORUM.
enum SlStatus
SlRaft_CheckMemberChange(const struct SlRaft *raft, uint64_t now_us,
                         const struct SlChange *change, const char **reason);

/// True when this instance is a leader that a majority acknowledged within the
/// lease, or a follower of such a leader, and the lease has not expired.
bool
SlRaft_IsFresh(const struct SlRaft *raft, uint64_t now_us);
/// True when this instance is fresh, or follows a leader that held a lease
/// when it sent the state that is applied here, SL_RAFT_RECENT_MAX_US ago at
/// most. On slow links a follower is recent although it is never fresh.
bool
SlRaft_IsRecent(const struct SlRaft *raft, uint64_t now_us);
/// Returns the remaining time of the leader's lease in microseconds; 0 when
/// there is no lease.
uint64_t
SlRaft_LeaseRemainingUs(const struct SlRaft *raft, uint64_t now_us);
/// True when this instance is the leader and has committed a record of its own
/// term.
bool
SlRaft_IsReady(const struct SlRaft *raft);

/* Internal functions shared by the raft_*.c files. */

/// raft_member.c
const struct SlRaftMember *
SlRaft_FindMember(const struct SlRaft *raft, uint64_t node_id);
struct SlRaftProgress *
SlRaft_FindProgress(struct SlRaft *raft, uint64_t node_id);
uint32_t
SlRaft_VoterCount(const struct SlRaft *raft);
/// True when the incarnation equals the member's incarnation in the log, or
/// the log has none for the member.
bool
SlRaft_IncarnationMatches(const struct SlRaftMember *member,
                          uint64_t incarnation);
/// True when the incarnations of all voters are in the log.
bool
SlRaft_AllIncarnationsLogged(const struct SlRaft *raft);
/// True when this instance may start an election: according to its own log it
/// is a voter with the incarnation of the present data folder.
bool
SlRaft_IsElectable(const struct SlRaft *raft);
/// Applies a membership change to members. Returns false, and changes nothing,
/// for other changes or when members does not permit the change.
bool
SlRaftMembers_Apply(struct SlRaftMembers *members,
                    const struct SlChange *change);
void
SlRaft_OnMembersChanged(struct SlRaft *raft);
/// Computes the present members again from the snapshot and the log.
enum SlStatus
SlRaft_RebuildMembers(struct SlRaft *raft);
/// Leader of a self-forming site: proposes to add a control instance as a
/// learner, unless the instance is a member. If the table of members is full,
/// proposes to remove a silent learner instead.
void
SlRaft_AddLearner(struct SlRaft *raft, const struct SlJoin *join);
/// Leader of a self-forming site: proposes the next change of the set of
/// voters. Returns true when a change was proposed.
bool
SlRaft_AdjustVoters(struct SlRaft *raft);
/// Proposes a membership change that no operator requested.
void
SlRaft_ProposeMember(struct SlRaft *raft, enum SlVerb verb,
                     const struct SlRaftMember *member, uint64_t incarnation);
/// True when, without the member, the voters that acknowledged within the
/// election timeout are still a majority.
bool
SlRaft_WouldKeepMajority(const struct SlRaft *raft, uint64_t now_us,
                         const struct SlRaftMember *member);
/// True when the member at index is a learner that holds all committed records
/// and acknowledged within the election timeout.
bool
SlRaft_IsCaughtUp(const struct SlRaft *raft, uint32_t index);
/// Leader: proposes the next membership change that is needed to log an
/// incarnation, or to demote, promote or replace a member.
void
SlRaft_RepairMembers(struct SlRaft *raft);

/// raft_log.c
uint64_t
SlRaft_LastIndex(const struct SlRaft *raft);
uint64_t
SlRaft_FirstIndex(const struct SlRaft *raft);
struct SlVersion
SlRaft_LastVersion(const struct SlRaft *raft);
/// Returns the term of the record at index; 0 when the log does not contain
/// it.
uint64_t
SlRaft_TermAt(const struct SlRaft *raft, uint64_t index);
enum SlStatus
SlRaft_AppendRecord(struct SlRaft *raft, const struct SlLogRecord *record,
                    const struct SlChange *change);
enum SlStatus
SlRaft_SaveHardState(struct SlRaft *raft);
/// Syncs the log. On failure storage has dropped the unsynced records, and
/// their membership changes are undone.
enum SlStatus
SlRaft_SyncLog(struct SlRaft *raft);
/// Handles a failed write. After SL_DISK_FULL and SL_NO_MEMORY storage is
/// unchanged, and the write is attempted again later. After any other status
/// this instance takes no part until storage has recovered.
void
SlRaft_StorageFailed(struct SlRaft *raft, enum SlStatus status);
/// Notes that a write succeeded.
void
SlRaft_StorageWorks(struct SlRaft *raft);
/// Attempts to recover failed storage, and to save a hard state that could not
/// be saved, when an attempt is due.
void
SlRaft_StorageTick(struct SlRaft *raft);
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
SlRaft_OnVote(struct SlRaft *raft, uint64_t sender_id,
              const struct SlVote *vote);
void
SlRaft_OnVoted(struct SlRaft *raft, uint64_t sender_id,
               const struct SlVoted *voted);

/// raft_pace.c
/// Records how long a majority took to answer.
void
SlRaft_RecordTrip(struct SlRaft *raft, uint64_t trip_us);
/// Returns the election timeout that the round trips ask for, at least the
/// configured one.
uint64_t
SlRaft_MeasuredElectionUs(const struct SlRaft *raft);
/// Returns the election timeout in force: the longer one of the measured and
/// the leader's.
uint64_t
SlRaft_ElectionUs(const struct SlRaft *raft);
/// Returns how long a candidate waits for votes.
uint64_t
SlRaft_VoteTimeoutUs(const struct SlRaft *raft);
/// Returns how long a lease lasts from the sending of a round.
uint64_t
SlRaft_LeaseUs(uint64_t election_us);
/// Makes a promise to grant no vote for election_us durable. Returns for how
/// long it may be made: less when storage refuses it.
uint64_t
SlRaft_PromiseElectionUs(struct SlRaft *raft, uint64_t election_us);
/// Grants no vote for election_us from now on.
void
SlRaft_RefuseVotesFor(struct SlRaft *raft, uint64_t election_us);
/// The same after a start, for as long as was promised before it at most.
void
SlRaft_RefuseVotesAfterStart(struct SlRaft *raft);
/// Returns for how long a lease may last that this instance has granted.
uint64_t
SlRaft_GrantedLeaseLeftUs(const struct SlRaft *raft);

/// raft_leader.c
void
SlRaft_BecomeLeader(struct SlRaft *raft, uint32_t votes);
void
SlRaft_LeaderTick(struct SlRaft *raft);
void
SlRaft_LeaderFlush(struct SlRaft *raft);
void
SlRaft_OnAppended(struct SlRaft *raft, uint64_t sender_id,
                  const struct SlAppended *appended);
/// Returns the send time of the latest heartbeat round that a majority
/// acknowledged; 0 when there was no such round.
uint64_t
SlRaft_QuorumAckedUs(const struct SlRaft *raft);
/// Returns the end of the lease that a majority has granted to this leader; 0
/// when there is none.
uint64_t
SlRaft_QuorumLeaseUntilUs(const struct SlRaft *raft);

/// raft_follower.c
/// Follows the sender as the leader of term. Returns false when the term is
/// outdated or this instance leads it, or when storage has failed.
bool
SlRaft_AcceptLeader(struct SlRaft *raft, uint64_t sender_id, uint64_t term);
void
SlRaft_OnAppend(struct SlRaft *raft, uint64_t sender_id,
                const struct SlAppend *append);
void
SlRaft_FollowerFlush(struct SlRaft *raft);

/// raft_snapshot.c
/// Bootstraps a new site: saves a snapshot with only the founding members.
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
SlRaft_OnInstall(struct SlRaft *raft, uint64_t sender_id,
                 const struct SlInstall *install);
void
SlRaft_OnInstalled(struct SlRaft *raft, uint64_t sender_id,
                   const struct SlInstalled *installed);

#endif
