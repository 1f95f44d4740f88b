#ifndef SAVORYLEDGE_DAEMON_SHELL_RELAY_H
#define SAVORYLEDGE_DAEMON_SHELL_RELAY_H

/// The relay's data path of a process: its sockets, and its entry or agent.
/// All on the control thread.

#include "adapter.h"
#include "savoryledge/coordination/relay_agent.h"
#include "savoryledge/coordination/relay_entry.h"

struct SlShell;
struct shell_relay;

/// Errors: SL_IO, SL_NO_MEMORY.
enum SlStatus
shell_relay_open(struct SlShell *shell, const struct SlAdapter *adapter,
                 struct shell_relay **relay, struct SlError *error);
/// NULL is allowed.
void
shell_relay_close(struct shell_relay *relay);

/// A batch of the control thread's inputs has ended: takes a newer
/// configuration into use, and sends what was gathered.
void
shell_relay_end_batch(struct shell_relay *relay, uint64_t now_us);
void
shell_relay_tick(struct shell_relay *relay, uint64_t now_us);
void
shell_relay_stop(struct shell_relay *relay, uint64_t now_us);
/// True when no request is in progress.
bool
shell_relay_idle(const struct shell_relay *relay, uint64_t now_us);
/// True while new work may be sent here.
bool
shell_relay_ready(const struct shell_relay *relay);
bool
shell_relay_notice(struct shell_relay *relay, uint64_t now_us,
                   const struct SlUpstreamStatus *notice);
bool
shell_relay_gone(struct shell_relay *relay, uint64_t now_us, const char *id);
/// NULL where the process does not have the role.
const struct SlRelayEntry *
shell_relay_entry(const struct shell_relay *relay);
const struct SlRelayAgent *
shell_relay_agent(const struct shell_relay *relay);

#endif
