#ifndef SAVORYLEDGE_COORDINATION_FLOW_KEEPER_H
#define SAVORYLEDGE_COORDINATION_FLOW_KEEPER_H

/// Keeps the records of kept flows at a control instance, and hands them to
/// agents that have lost them.
///
/// The load pattern: callers keep flows open, everything loses power, and all
/// agents ask for their records within the same second.
///
/// The records stand beside the replicated log and not in it: they are hints,
/// and nothing waits for them. An instance passes the changes of its agents on
/// to one other, so that each record is on two disks. It does no I/O and reads
/// no clock.

#include "savoryledge/common/event.h"
#include "savoryledge/protocol/message.h"

struct SlFlowKeeperSink;

/// The actions of a keeper. They must return at once.
struct SlFlowKeeperSinkType {
    /// Sends a message to a process with a link and SL_HELLO_FLOW_RECORDS;
    /// has no effect for another.
    void (*send)(struct SlFlowKeeperSink *sink, uint64_t node_id,
                 const struct SlMessage *message);
    /// Sends a message to all such control instances but this one.
    void (*send_to_controls)(struct SlFlowKeeperSink *sink,
                             const struct SlMessage *message);
    /// Returns the control instance that holds the copies; 0 when there is
    /// none.
    uint64_t (*copy_holder)(struct SlFlowKeeperSink *sink);
    /// Queues a bundle for the disk.
    void (*persist)(struct SlFlowKeeperSink *sink,
                    const struct SlFlowBundle *bundle);
    void (*log_event)(struct SlFlowKeeperSink *sink,
                      const struct SlEvent *event);
};

struct SlFlowKeeperSink {
    const struct SlFlowKeeperSinkType *type;
};

struct SlFlowKeeperCounters {
    /// Changes that arrived, and changes that were dropped for lack of room.
    uint64_t changes;
    uint64_t changes_dropped;
    /// Queries of agents, and records sent in answer to them.
    uint64_t queries;
    uint64_t records_sent;
    /// Records that are held now.
    uint64_t records;
};

struct SlFlowKeeper;

/// Creates a keeper without records. Returns NULL when memory runs out.
struct SlFlowKeeper *
SlFlowKeeper_Create(void);
/// keeper may be NULL.
void
SlFlowKeeper_Destroy(struct SlFlowKeeper *keeper);
/// Adds the contents of the file, and answers queries from now on. bytes may
/// be NULL.
void
SlFlowKeeper_Load(struct SlFlowKeeper *keeper, struct SlFlowKeeperSink *sink,
                  uint64_t now_us, const uint8_t *bytes, size_t length_bytes);
/// Handles a message of kind SL_MESSAGE_FLOW_RECORDS.
///
/// from: node id of the sender.
/// from_control: the sender is a control instance.
void
SlFlowKeeper_HandleRecords(struct SlFlowKeeper *keeper,
                           struct SlFlowKeeperSink *sink, uint64_t now_us,
                           uint64_t from, bool from_control,
                           const struct SlFlowRecords *records);
/// Encodes all records; see SlFlowJournal_Encode.
uint8_t *
SlFlowKeeper_Encode(const struct SlFlowKeeper *keeper, size_t *length_bytes);
void
SlFlowKeeper_Counters(const struct SlFlowKeeper *keeper,
                      struct SlFlowKeeperCounters *counters);

#endif
