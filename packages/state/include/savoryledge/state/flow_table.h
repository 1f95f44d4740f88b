#ifndef SAVORYLEDGE_STATE_FLOW_TABLE_H
#define SAVORYLEDGE_STATE_FLOW_TABLE_H

/// The flow table of an agent: its state for each flow, by flow key.
///
/// The holder of a flow is the agent whose upstream has the flow. An agent may
/// pass a flow on to another agent, claim a flow so that other agents do not
/// admit it, and search for the holder of a flow that it does not know. An
/// exchange is a request of the caller and the upstream's answer to it.
///
/// The table is divided into shards by the key's hash; each shard has its own
/// lock. Lock the shard of a key to use its flows; a pointer to a flow is
/// valid until the shard is unlocked. Each flow is in at most one queue of
/// its shard: the timer wheel or one of the two FIFO queues.
///
/// A flow takes at most 128 bytes, including its links and its share of the
/// hash index.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "savoryledge/common/address.h"

enum {
    /// Time that one slot of the timer wheel covers, and the number of slots.
    /// A timer that is due later than the product of both is visited, and
    /// left in place, each time the wheel passes its slot before that time.
    SL_WHEEL_SLOT_MS = 32,
    SL_WHEEL_SLOTS = 2048,
};

/// State of a flow in the table.
enum SlFlowKind {
    /// The entry of the table is free: it contains no flow.
    SL_FLOW_NONE = 0,
    /// The flow is open at this agent's upstream.
    SL_FLOW_OPEN,
    /// The flow was open at this agent's upstream and ended recently.
    SL_FLOW_ENDED,
    /// This agent passed the flow on to the agent that the field holder names.
    SL_FLOW_PASSED_ON,
    /// The agent that the field holder names claims the flow; this agent must
    /// not admit the flow while the entry exists.
    SL_FLOW_CLAIMED,
    /// This agent is searching for the holder of the flow.
    SL_FLOW_PENDING,
    /// The flow was refused recently; further copies of its first packet are
    /// refused too.
    SL_FLOW_REFUSED,
    /// The upstream was queried for the flow and did not confirm it.
    SL_FLOW_PROBED,
};

/// Bits of SlFlow.flags.
enum SlFlowFlag {
    /// The handshake of the flow is not complete yet.
    SL_FLOW_HANDSHAKE = 0x0001,
    /// TCP: which of the upstream's SYN-ACK, the FIN of each side and the
    /// acknowledgement of each FIN were seen.
    SL_FLOW_SYN_ACKED = 0x0002,
    SL_FLOW_CALLER_FIN = 0x0004,
    SL_FLOW_UPSTREAM_FIN = 0x0008,
    SL_FLOW_CALLER_FIN_ACKED = 0x0010,
    SL_FLOW_UPSTREAM_FIN_ACKED = 0x0020,
    /// An exchange of the flow is in progress and is counted as such.
    SL_FLOW_IN_EXCHANGE = 0x0040,
    /// Payload of the caller was delivered in the current exchange.
    SL_FLOW_REQUEST_DELIVERED = 0x0080,
    /// The upstream has answered at least once on this flow.
    SL_FLOW_ANSWERED = 0x0100,
    /// A packet of the caller was seen, so that the caller_* sequence numbers
    /// are valid.
    SL_FLOW_CALLER_SEEN = 0x0200,
    /// A packet of the upstream was seen, so that the upstream_* sequence
    /// numbers are valid.
    SL_FLOW_UPSTREAM_SEEN = 0x0400,
    /// The packet that opened the flow carried payload.
    SL_FLOW_EARLY_DATA = 0x0800,
    /// Only in flows of kind ENDED: this agent ended the flow with a reset, so
    /// that no further packet of the flow is delivered.
    SL_FLOW_WAS_RESET = 0x1000,
    /// Only in flows of kind CLAIMED: caller_next is the sequence number at
    /// which an earlier flow with the same key ended.
    SL_FLOW_HAS_LAST_SEQ = 0x2000,
    /// The flow is older than this agent's process, so that its earlier state
    /// is unknown.
    SL_FLOW_ADOPTED = 0x4000,
    /// Only in flows of kind PASSED_ON: the flow was returned to the agent
    /// that had passed the flow to this agent; that agent alone decides on the
    /// flow. The flag shares its bit with ADOPTED, which only OPEN flows have.
    SL_FLOW_RETURNED = 0x4000,
    /// The answer of the current exchange has already been found to be late.
    SL_FLOW_EXCHANGE_LATE = 0x8000,
};

/// The queue that a flow is in. Due times are milliseconds of the clock that
/// the user of the table passes in, truncated to 32 bits and compared by
/// difference, so that no due time may be 24 days or more away from the
/// current time.
enum SlFlowQueue {
    SL_FLOW_QUEUE_NONE = 0,
    SL_FLOW_QUEUE_TIMER_WHEEL,
    /// FIFO queue of open flows whose handshake is not complete.
    SL_FLOW_QUEUE_HANDSHAKE,
    /// FIFO queue of soft state, that is of entries of every kind but OPEN.
    SL_FLOW_QUEUE_SOFT_STATE,
};

struct SlFlow {
    struct SlFlowKey key;
    /// Kind of the flow, a value of enum SlFlowKind.
    uint8_t kind : 4;
    /// Queue that the flow is in, a value of enum SlFlowQueue. Private to the
    /// table.
    uint8_t queue : 4;
    /// Number of exchanges in progress at the upstream when the current
    /// exchange of this flow began, capped at 255.
    uint8_t exchanges_at_start;
    /// Private to the table: hash of the key, the next entry in the same hash
    /// bucket, the neighbours in the queue, and the due time.
    uint32_t hash;
    uint32_t next_in_bucket;
    uint32_t queue_next;
    uint32_t queue_previous;
    uint32_t due_ms;
    /// Time of the flow's last packet in either direction.
    uint32_t last_packet_ms;
    uint64_t service_id;
    /// In a flow of kind OPEN: node identifier of the entry that forwarded the
    /// last packet. PASSED_ON and CLAIMED: node identifier of the agent that
    /// has the flow. PENDING: identifier of the search for the flow's holder.
    uint64_t holder;
    /// Time at which the flow was opened, in seconds.
    uint32_t opened_s;
    /// Properties of the flow, a bit set of enum SlFlowFlag.
    uint16_t flags;
    /// Number of repeated packets of the caller and of the upstream since that
    /// side began to wait for an answer.
    uint8_t caller_repeats;
    uint8_t upstream_repeats;
    /// Lowest sequence number that is accepted from the caller.
    uint32_t caller_min;
    /// For the caller and the upstream: the sequence number after the highest
    /// one that this side sent, and after the highest one that the other side
    /// acknowledged.
    uint32_t caller_next;
    uint32_t caller_acked;
    uint32_t upstream_next;
    uint32_t upstream_acked;
    /// For the caller and the upstream: time since which payload of this side
    /// waits for an answer.
    uint32_t caller_wait_start_ms;
    uint32_t upstream_wait_start_ms;
    /// Time at which the current exchange began.
    uint32_t exchange_start_ms;
};

struct SlFlowTableOptions {
    /// Number of shards, a power of two; 0 selects the default of 16.
    uint32_t shard_count;
    /// Maximum number of entries of all kinds; each shard may have an equal
    /// part of them.
    uint32_t max_entries;
    /// Seed of the hash of flow keys.
    uint64_t hash_seed;
};

struct SlFlowTable;
struct SlFlowShard;

/// Creates an empty flow table. Returns NULL when memory runs out. The caller
/// owns the table.
///
/// now_us: current time, at which the timer wheel starts.
struct SlFlowTable *
SlFlowTable_Create(const struct SlFlowTableOptions *options, uint64_t now_us);
/// Frees the flow table, of which no shard may be locked. table may be NULL.
void
SlFlowTable_Destroy(struct SlFlowTable *table);

uint32_t
SlFlowTable_ShardCount(const struct SlFlowTable *table);
/// Returns the number of entries of all kinds in the table. Thread-safe
/// without a lock.
uint64_t
SlFlowTable_Count(const struct SlFlowTable *table);
/// Returns the number of bytes allocated for the table. Thread-safe without a
/// lock.
uint64_t
SlFlowTable_AllocatedBytes(const struct SlFlowTable *table);

/// Locks and returns the shard that the flows with this key belong to.
struct SlFlowShard *
SlFlowTable_Lock(struct SlFlowTable *table, const struct SlFlowKey *key);
/// Locks and returns the shard at index, 0 to SlFlowTable_ShardCount - 1.
struct SlFlowShard *
SlFlowTable_LockAt(struct SlFlowTable *table, uint32_t index);
void
SlFlowShard_Unlock(struct SlFlowShard *shard);

/// Returns the flow with this key, or NULL when there is none. The flow is
/// borrowed until the shard is unlocked.
struct SlFlow *
SlFlowShard_Find(struct SlFlowShard *shard, const struct SlFlowKey *key);
/// Adds a flow that is in no queue and has all fields zero except the key.
/// The table must not contain the key. Returns NULL when the shard is full or
/// memory runs out.
struct SlFlow *
SlFlowShard_Insert(struct SlFlowShard *shard, const struct SlFlowKey *key);
/// Removes a flow from its queue and from the table.
void
SlFlowShard_Remove(struct SlFlowShard *shard, struct SlFlow *flow);

/// Moves a flow to the end of a queue and sets the flow's due time. The flows
/// of a FIFO queue must be added in the order of their due times.
void
SlFlowShard_Schedule(struct SlFlowShard *shard, struct SlFlow *flow,
                     enum SlFlowQueue queue, uint32_t due_ms);
/// Returns the first flow of a FIFO queue, or NULL when the queue is empty.
struct SlFlow *
SlFlowShard_Oldest(struct SlFlowShard *shard, enum SlFlowQueue queue);
/// Returns the number of flows in a FIFO queue.
uint32_t
SlFlowShard_QueueLength(const struct SlFlowShard *shard,
                        enum SlFlowQueue queue);

/// Removes the next due flow from the queue that it is in, the timer wheel or
/// a FIFO queue, and returns it; returns NULL when no flow is due. The cost
/// depends on the number of due flows and of wheel slots passed, not on the
/// number of flows in the table.
///
/// now_ms: current time, which must not decrease from call to call.
struct SlFlow *
SlFlowShard_NextDue(struct SlFlowShard *shard, uint32_t now_ms);

/// Returns the number of entries allocated so far, whether in use or free,
/// for iterating over the shard with SlFlowShard_EntryAt.
uint32_t
SlFlowShard_EntryCount(const struct SlFlowShard *shard);
/// Returns the flow of an entry, or NULL when the entry is free.
///
/// position: position of the entry in the shard, 0 to
/// SlFlowShard_EntryCount - 1.
struct SlFlow *
SlFlowShard_EntryAt(struct SlFlowShard *shard, uint32_t position);

#endif
