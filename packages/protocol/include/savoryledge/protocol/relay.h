#ifndef SAVORYLEDGE_PROTOCOL_RELAY_H
#define SAVORYLEDGE_PROTOCOL_RELAY_H

/// Datagrams between entries and agents of the relay: a msgpack head with its
/// length in front, then, for some kinds, a segment as it came.

#include <stddef.h>
#include <stdint.h>

#include "savoryledge/common/segment.h"
#include "savoryledge/protocol/message.h"

enum {
    /// Agents that may have declined one flow.
    SL_RELAY_DECLINED_MAX = 4,
    /// Largest datagram: a segment and the largest head.
    SL_RELAY_MAX_BYTES = SL_SEGMENT_MAX_BYTES + 160,
    /// Flows in one question about many: what a datagram has room for.
    SL_RELAY_QUERY_ITEMS_MAX = 32,
    /// In place of a number of unheard agents: none was asked.
    SL_RELAY_NOT_QUERIED = 0xffffffffu,
};

enum SlRelayKind {
    SL_RELAY_NONE = 0,
    /// Entry to agent: the opening segment of a flow; take it or decline.
    SL_RELAY_OFFER,
    /// Entry to agent: any other segment, for the flow's holder.
    SL_RELAY_CARRY,
    /// Agent to entry: it took the flow.
    SL_RELAY_ACCEPT,
    /// Agent to entry: it did not.
    SL_RELAY_DECLINE,
    /// Agent to entry: it does not hold the flow. With the segment when it
    /// answers CARRY, without when it answers ASK.
    SL_RELAY_ABSENT,
    /// Entry to agent: do you hold this flow?
    SL_RELAY_QUERY,
    /// Agent to entry: it holds the flow; certain tells whether the upstream
    /// has shown it.
    SL_RELAY_HOLDS,
    /// Agent to entry: its load.
    SL_RELAY_REPORT,
    /// Agent to agent: which of these flows do you hold? Answered by
    /// HOLDS_MANY with those it holds, or may hold.
    SL_RELAY_QUERY_MANY,
    SL_RELAY_HOLDS_MANY,
    /// Entry to agent: ask all agents who holds these flows. Answered by
    /// HOLDS_ALL with what they said.
    SL_RELAY_BROADCAST_QUERY,
    SL_RELAY_BROADCAST_RESULT,
    SL_RELAY_KIND_COUNT
};

/// Why an agent declines, and how it answered.
enum SlRelayReason {
    SL_RELAY_REASON_NONE = 0,
    /// All slots are taken; another upstream may have a free one.
    SL_RELAY_BUSY,
    /// It holds as much as it can.
    SL_RELAY_FULL,
    /// Cold, and this second's share is used up.
    SL_RELAY_COLD,
    /// Leaving, stopping, or its upstream has not announced itself.
    SL_RELAY_LEAVING,
    /// Its availability zone is out.
    SL_RELAY_ZONE_OUT,
    /// Its upstream belongs to another service.
    SL_RELAY_FOREIGN,
    /// Its upstream does not answer.
    SL_RELAY_SILENT,
    /// Its upstream gave the segment back.
    SL_RELAY_RETURNED,
    /// The flow waited for a slot, and cannot be answered in time any more.
    SL_RELAY_EXPIRED,
    SL_RELAY_REASON_COUNT
};

/// What an agent tells of its upstream.
struct SlRelayLoad {
    /// Requests in progress, flows that are opening or wait for a slot, and
    /// what the pace of a cold upstream holds back.
    uint32_t in_progress;
    uint32_t slots;
    uint32_t flows;
    /// Usual time from a request to its answer, microseconds.
    uint32_t answer_us;
    /// New flows are declined, whatever the load.
    bool declines_flows;
};

struct SlRelayFrame {
    enum SlRelayKind kind;
    enum SlRelayReason reason;
    /// The process that sent it, and the plan that it went by.
    uint64_t sender;
    uint64_t plan_version;
    /// OFFER: no other upstream is left to ask. HOLDS: the upstream has shown
    /// that it holds the flow.
    bool no_alternative;
    bool certain;
    /// OFFER, DECLINE: agents that declined the flow before.
    uint32_t declined_count;
    uint64_t declined_by[SL_RELAY_DECLINED_MAX];
    /// ACCEPT, DECLINE, ASK, HOLDS, and ABSENT without a segment.
    struct SlFlowKey flow;
    /// ASK: the number that the caller acknowledges.
    uint32_t ack;
    /// ACCEPT, DECLINE, REPORT.
    struct SlRelayLoad load;
    /// Borrowed. Questions and answers about many flows: an encoded list
    /// (SlRelayQueryList).
    const uint8_t *segment;
    uint32_t segment_bytes;
};

/// Encodes into out. Returns the length in bytes, 0 when it does not fit.
uint32_t
SlRelayFrame_Encode(const struct SlRelayFrame *frame,
                    uint8_t out[SL_RELAY_MAX_BYTES]);

/// The frame borrows the segment from bytes. Errors: SL_MALFORMED.
enum SlStatus
SlRelayFrame_Decode(const uint8_t *bytes, uint32_t length_bytes,
                    struct SlRelayFrame *frame);

/// One flow of a question about many, or of its answer.
struct SlRelayQueryItem {
    struct SlFlowKey flow;
    /// Questions: the number that the caller acknowledges.
    uint32_t ack;
    /// Answers: the upstream has shown that it holds the flow.
    bool certain;
    /// HOLDS_ALL: the agent that said so.
    uint64_t holder;
};

struct SlRelayQueryList {
    /// The asker's number of the question, not 0; the same in the answer.
    uint32_t query_id;
    /// ASK_ALL: the configuration by which the entry knows agents. One who
    /// knows an older one cannot ask them all.
    struct SlVersion version;
    /// HOLDS_ALL: agents that did not answer, or whose answer had no room;
    /// SL_RELAY_NOT_QUERIED when this agent could not ask. Nobody holds a flow
    /// for certain only when it is 0.
    uint32_t unanswered;
    uint32_t count;
    struct SlRelayQueryItem items[SL_RELAY_QUERY_ITEMS_MAX];
};

/// Encodes a list as the segment of a frame. Returns the length in bytes.
uint32_t
SlRelayQueryList_Encode(const struct SlRelayQueryList *questions,
                        uint8_t out[SL_SEGMENT_MAX_BYTES]);
/// Errors: SL_MALFORMED.
enum SlStatus
SlRelayQueryList_Decode(const uint8_t *bytes, uint32_t length_bytes,
                        struct SlRelayQueryList *questions);

const char *
SlRelayReason_Name(enum SlRelayReason reason);

#endif
