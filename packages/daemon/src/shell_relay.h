#ifndef SAVORYLEDGE_DAEMON_SHELL_RELAY_H
#define SAVORYLEDGE_DAEMON_SHELL_RELAY_H

/// The relay's data path of a process: its sockets, and its entry or agent.
/// All functions must be called from the control thread.

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
/// NULL is allowed.
void
shell_relay_close(struct shell_relay *relay);

/// Ends a batch of the control thread's inputs: applies a newer configuration,
/// announces changes of the upstream and sends the packets collected.
void
shell_relay_end_batch(struct shell_relay *relay, uint64_t now_us);
/// Passes the time to the entry or agent. now_us: monotonic time.
void
shell_relay_tick(struct shell_relay *relay, uint64_t now_us);
/// Begins a planned stop. An agent checks whether its upstream still listens.
void
shell_relay_stop(struct shell_relay *relay, uint64_t now_us);
/// Returns true when a planned stop may complete: no request is in progress,
/// and the check of the upstream has ended.
bool
shell_relay_idle(const struct shell_relay *relay, uint64_t now_us);
/// Returns true while the process is ready to receive new flows.
bool
shell_relay_ready(const struct shell_relay *relay);
/// Handles an upstream status and announces changes. Returns false if the
/// process is not an agent or the status names another service.
bool
shell_relay_report_status(struct shell_relay *relay, uint64_t now_us,
                          const struct SlUpstreamStatus *notice);
/// Handles the report that the upstream's run with this id has ended, and
/// announces it. Returns false if the process is not an agent or the id is not
/// the current one.
bool
shell_relay_report_end(struct shell_relay *relay, uint64_t now_us,
                       const char *id);
/// Return the entry or the agent, NULL if the process does not have the role.
const struct SlRelayEntry *
shell_relay_entry(const struct shell_relay *relay);
const struct SlRelayAgent *
shell_relay_agent(const struct shell_relay *relay);

#endif
