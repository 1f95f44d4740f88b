#ifndef SAVORYLEDGE_COORDINATION_RELAY_TRANSFER_H
#define SAVORYLEDGE_COORDINATION_RELAY_TRANSFER_H

/// Uploads at the agent: requests whose body is in transfer (balance/body.h).
/// A request of a route of kind SL_TRAFFIC_UPLOAD is in transfer from the
/// admission of its flow to the end of its body, and in progress from then on.

#include "savoryledge/balance/body.h"
#include "savoryledge/coordination/relay.h"

struct SlRelayAgent;
struct SlAgentFlow;

enum SlAgentTransferState {
    /// The transfer is counted in SlAdmission.transfers.
    SL_TRANSFER_RUNNING = 0,
    /// The body has arrived; the request is counted in progress.
    SL_TRANSFER_COMPLETE,
    /// The caller has stopped sending, and nothing is counted.
    SL_TRANSFER_STALLED,
    /// The upstream answered, or the caller left, before the end of the body.
    /// The rest of the body is not a new request, and nothing is counted.
    SL_TRANSFER_OVER,
};

/// The body of a flow's present request. Owned by the flow.
struct SlAgentTransfer {
    struct SlAgentTransfer *next;
    struct SlAgentTransfer *previous;
    struct SlAgentFlow *flow;
    enum SlAgentTransferState state;
    uint64_t began_us;
    struct SlBody body;
};

/// True when the requests of the flow are uploads by the plan in force.
bool
SlAgentTransfer_IsUpload(const struct SlRelayAgent *agent,
                         const struct SlAgentFlow *flow);
/// Records a caller's segment with data. The flow is open and its requests are
/// uploads. Returns false when memory is short; the request is then to be
/// counted as in progress.
bool
SlAgentTransfer_RecordSegment(struct SlRelayAgent *agent,
                              struct SlRelaySink *sink, uint64_t now_us,
                              struct SlAgentFlow *flow,
                              const struct SlSegment *segment);
/// Records that the caller of a flow sends no more data.
void
SlAgentTransfer_RecordClose(struct SlRelayAgent *agent,
                            struct SlRelaySink *sink, uint64_t now_us,
                            struct SlAgentFlow *flow);
/// Records a segment from the upstream of a flow that has a transfer. An
/// answer ends the transfer.
void
SlAgentTransfer_RecordAnswer(struct SlRelayAgent *agent,
                             struct SlRelaySink *sink, uint64_t now_us,
                             struct SlAgentFlow *flow,
                             const struct SlSegment *segment);
/// Frees the flow's transfer, if there is one, and removes it from the counts.
void
SlAgentTransfer_Destroy(struct SlRelayAgent *agent, struct SlAgentFlow *flow);
/// Finds the bodies that ended or stalled because their callers send nothing
/// more.
void
SlAgentTransfer_Tick(struct SlRelayAgent *agent, struct SlRelaySink *sink,
                     uint64_t now_us);

#endif
