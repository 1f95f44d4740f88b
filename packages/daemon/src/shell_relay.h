#ifndef SAVORYLEDGE_DAEMON_SHELL_RELAY_H
#define SAVORYLEDGE_DAEMON_SHELL_RELAY_H

/// The relay's data path in a process: its sockets, and its entry or agent.
/// The relay is the data path for upstreams that return segments which they
/// cannot accept. All functions must be called from the control thread.

#include "adapter.h"
#include "savoryledge/coordination/relay_agent.h"
#include "savoryledge/coordination/relay_entry.h"

struct SlShell;
struct shell_relay;

/// Creates the entry or agent and opens its sockets.
/// Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
shell_relay_open(struct SlShell *shell, const struct SlAdapter *adapter,
                 struct shell_relay **relay, struct SlError *error);
/// Closes the sockets and frees the entry or agent. relay may be NULL.
void
shell_relay_close(struct shell_relay *relay);

/// Ends a batch of the control thread's inputs: applies a newer configuration,
/// announces changes of the upstream to control and sends the packets that
/// were collected.
void
shell_relay_end_batch(struct shell_relay *relay, uint64_t now_us);
/// Passes the present time to the entry or agent. now_us: monotonic time.
void
shell_relay_tick(struct shell_relay *relay, uint64_t now_us);
/// Begins a planned stop. An agent checks whether its upstream still listens.
void
shell_relay_stop(struct shell_relay *relay, uint64_t now_us);
/// Returns true when a planned stop may complete: no request is in progress,
/// and the check of the upstream has ended.
bool
shell_relay_may_stop(const struct shell_relay *relay, uint64_t now_us);
/// Returns true while the process is ready to receive new flows.
bool
shell_relay_is_ready(const struct shell_relay *relay);
/// Handles a status report of the upstream and announces changes to control.
/// Returns false if the process is not an agent, the status names another
/// service, or it is not taken: it is late, or it is not known yet whether its
/// run is the present one. It must not be acknowledged then.
bool
shell_relay_report_status(struct shell_relay *relay, uint64_t now_us,
                          const struct SlUpstreamStatus *upstream_status);
/// Handles the upstream's report that its run with this id has ended, and
/// announces the end to control. Returns false if the process is not an agent
/// or the upstream's current run has another id.
bool
shell_relay_report_end(struct shell_relay *relay, uint64_t now_us,
                       const char *id);
/// Exchange the records of kept flows of this process's agent with control;
/// see SlRelayAgent_SetRecordsLink, SlRelayAgent_NextFlowRecords and
/// SlRelayAgent_HandleFlowRecords. Without an agent nothing happens.
bool
shell_relay_next_flow_records(struct shell_relay *relay, uint64_t now_us,
                              uint64_t link, struct SlFlowRecords *records);
void
shell_relay_handle_flow_records(struct shell_relay *relay, uint64_t now_us,
                                const struct SlFlowRecords *records);
/// These two return the entry or the agent, or NULL if the process does not
/// have that role.
const struct SlRelayEntry *
shell_relay_entry(const struct shell_relay *relay);
const struct SlRelayAgent *
shell_relay_agent(const struct shell_relay *relay);

#endif
