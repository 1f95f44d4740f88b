#ifndef SAVORYLEDGE_STATE_FLOW_TABLE_H
#define SAVORYLEDGE_STATE_FLOW_TABLE_H

/// The flow table of an agent: what it knows of each flow by key.
///
/// The table is cut into shards by the key's hash, each under its own lock.
/// Take the lock of a key's shard, work on its flows, give the lock back;
/// a flow's pointer holds until then. Each flow stands in at most one queue
/// of its shard: the timer wheel, or one of the queues in order of entry.
///
/// A flow takes at most 128 bytes, links and index included.

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "savoryledge/common/address.h"

enum {
    /// Width of one wheel slot and number of slots: timers further away than
    /// their product are looked at once in between.
    SL_WHEEL_SLOT_MS = 32,
    SL_WHEEL_SLOTS = 2048,
};

enum SlFlowKind {
    SL_FLOW_NONE = 0,
    /// The upstream beside this agent carries the flow.
    SL_FLOW_OPEN,
    /// It carried the flow, which ended lately.
    SL_FLOW_ENDED,
    /// This agent passed the flow on to holder.
    SL_FLOW_PASSED_ON,
    /// holder claims the flow: this agent must not admit it for now.
    SL_FLOW_CLAIMED,
    /// This agent is asking who has the flow.
    SL_FLOW_PENDING,
    /// Refused a moment ago: copies of the first packet are refused too.
    SL_FLOW_REFUSED,
    /// The upstream was asked whether it has the flow, and did not say so.
    SL_FLOW_PROBED,
};

enum SlFlowFlag {
    SL_FLOW_HANDSHAKE = 0x0001,
    SL_FLOW_SYN_ACKED = 0x0002,
    SL_FLOW_CALLER_FIN = 0x0004,
    SL_FLOW_UPSTREAM_FIN = 0x0008,
    SL_FLOW_CALLER_FIN_ACKED = 0x0010,
    SL_FLOW_UPSTREAM_FIN_ACKED = 0x0020,
    /// Counted as an exchange in progress.
    SL_FLOW_IN_EXCHANGE = 0x0040,
    /// The caller's payload was delivered in this exchange.
    SL_FLOW_REQUEST_DELIVERED = 0x0080,
    /// The upstream answered at least once.
    SL_FLOW_ANSWERED = 0x0100,
    /// caller_* and upstream_* hold sequence numbers that were seen.
    SL_FLOW_CALLER_SEEN = 0x0200,
    SL_FLOW_UPSTREAM_SEEN = 0x0400,
    /// The opening packet carried payload.
    SL_FLOW_EARLY_DATA = 0x0800,
    /// ENDED: by a reset of this agent, so that nothing is delivered.
    SL_FLOW_WAS_RESET = 0x1000,
    /// PROMISED: caller_next is where an ended flow with the key stopped.
    SL_FLOW_HAS_LAST_SEQ = 0x2000,
    /// The state of the flow before this agent's start is not known.
    SL_FLOW_ADOPTED = 0x4000,
    /// MARK: given back to an agent that had passed the flow here, and that
    /// decides alone. Shares its bit with OPEN flows' ADOPTED.
    SL_FLOW_RETURNED = 0x4000,
    /// The exchange in progress was already found to be late.
    SL_FLOW_EXCHANGE_LATE = 0x8000,
};

/// Where a flow waits. Times are milliseconds of the caller's clock, cut to
/// 32 bits and compared by difference: none may be 24 days away.
enum SlFlowQueue {
    SL_FLOW_QUEUE_NONE = 0,
    SL_FLOW_QUEUE_TIMER_WHEEL,
    /// Flows whose handshake is not complete, oldest first.
    SL_FLOW_QUEUE_HANDSHAKE,
    /// Entries of any other kind than OPEN, oldest first.
    SL_FLOW_QUEUE_SOFT_STATE,
};

struct SlFlow {
    struct SlFlowKey key;
    /// SlFlowKind and SlFlowQueue; queue is the table's own.
    uint8_t kind : 4;
    uint8_t queue : 4;
    /// Exchanges in progress at the upstream when this one began, at most
    /// 255.
    uint8_t exchanges_at_start;
    /// The table's own: hash, chain and queue links.
    uint32_t hash;
    uint32_t next;
    uint32_t queue_next;
    uint32_t queue_previous;
    uint32_t due_ms;
    /// Last packet of either side.
    uint32_t last_packet_ms;
    uint64_t service_id;
    /// OPEN: the entry that forwarded last. MARK, PROMISED: who has it.
    /// PENDING: the search.
    uint64_t holder;
    uint32_t opened_s;
    /// Set of SlFlowFlag.
    uint16_t flags;
    /// Packets seen again in either direction since the wait began.
    uint8_t caller_repeats;
    uint8_t upstream_repeats;
    /// Lowest sequence number that the caller's packets may have.
    uint32_t caller_min;
    /// One past the highest sequence number sent, and acknowledged by the
    /// other side.
    uint32_t caller_next;
    uint32_t caller_acked;
    uint32_t upstream_next;
    uint32_t upstream_acked;
    /// Since when payload in that direction waits for an answer.
    uint32_t caller_wait_start_ms;
    uint32_t upstream_wait_start_ms;
    /// When the exchange in progress began.
    uint32_t exchange_start_ms;
};

struct SlFlowTableOptions {
    /// A power of two; 0 takes 16.
    uint32_t shard_count;
    /// Entries of all kinds together, shared out evenly over the shards.
    uint32_t max_entries;
    uint64_t hash_seed;
};

struct SlFlowTable;
struct SlFlowShard;

/// NULL without memory.
struct SlFlowTable *
SlFlowTable_Create(const struct SlFlowTableOptions *options, uint64_t now_us);
/// NULL is allowed. Nobody may hold a shard.
void
SlFlowTable_Destroy(struct SlFlowTable *table);

uint32_t
SlFlowTable_ShardCount(const struct SlFlowTable *table);
/// Entries of all kinds, and bytes allocated; any thread, without a lock.
uint64_t
SlFlowTable_Count(const struct SlFlowTable *table);
uint64_t
SlFlowTable_AllocatedBytes(const struct SlFlowTable *table);

/// Locks the shard of a key, or the shard at an index.
struct SlFlowShard *
SlFlowTable_Lock(struct SlFlowTable *table, const struct SlFlowKey *key);
struct SlFlowShard *
SlFlowTable_LockAt(struct SlFlowTable *table, uint32_t index);
void
SlFlowShard_Unlock(struct SlFlowShard *shard);

/// NULL when there is none.
struct SlFlow *
SlFlowShard_Find(struct SlFlowShard *shard, const struct SlFlowKey *key);
/// Adds an entry that is zero but for its key, in no queue. The key must not
/// be there yet. NULL when the shard is full, or without memory.
struct SlFlow *
SlFlowShard_Insert(struct SlFlowShard *shard, const struct SlFlowKey *key);
void
SlFlowShard_Remove(struct SlFlowShard *shard, struct SlFlow *flow);

/// Moves a flow to the end of a queue, due at due_ms. Flows of one of the
/// queues in order of entry must be due in that order.
void
SlFlowShard_Schedule(struct SlFlowShard *shard, struct SlFlow *flow,
                     enum SlFlowQueue queue, uint32_t due_ms);
/// The oldest flow of a queue in order of entry, and the queue's length.
struct SlFlow *
SlFlowShard_Oldest(struct SlFlowShard *shard, enum SlFlowQueue queue);
uint32_t
SlFlowShard_QueueLength(const struct SlFlowShard *shard,
                        enum SlFlowQueue queue);

/// Takes the next flow that is due out of its queue; NULL when none is left.
/// now_ms must not go back. Costs the flows due and the wheel slots passed,
/// whatever the number of flows.
struct SlFlow *
SlFlowShard_NextDue(struct SlFlowShard *shard, uint32_t now_ms);

/// Walks all entries: places 0..Places-1, NULL for a free one.
uint32_t
SlFlowShard_EntryCount(const struct SlFlowShard *shard);
struct SlFlow *
SlFlowShard_EntryAt(struct SlFlowShard *shard, uint32_t place);

#endif
