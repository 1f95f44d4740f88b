#ifndef SAVORYLEDGE_DAEMON_SHELL_H
#define SAVORYLEDGE_DAEMON_SHELL_H

/// The shell of a process. It runs one SlNode and does its I/O: passes
/// packets, messages, ticks and signals to the node as inputs, and sends the
/// packets and messages that the node emits. The parts of the node (entry,
/// agent and control) are called the cores of the process; they do no I/O.
///
/// The control thread handles links, ticks and signals. Each packet thread has
/// a tunnel socket of its own, and handles the ports.

#include "log.h"
#include "savoryledge/state/files.h"
#include "settings.h"

struct SlShell;

struct SlShellOptions {
    /// Settings of the process. SlShell_Create copies them.
    const struct SlSettings *settings;
    /// Path of the settings file, which is read again on SIGHUP. Borrowed.
    const char *settings_path;
    /// Log that receives the events of the shell and its node. Borrowed.
    struct SlLog *log;
    /// File operations for durable state; NULL selects those of the operating
    /// system. Borrowed.
    struct SlFiles *files;
};

/// Blocks the signals that the shell handles. Must be called before the
/// process starts its first thread, as threads inherit the signal mask.
/// Errors: SL_IO.
enum SlStatus
SlShell_BlockSignals(void);

/// Creates the node and opens sockets, ports and durable state.
/// Errors: SL_IO, SL_NO_MEMORY, SL_DAMAGED (durable state); SL_NOT_FOUND if
/// there is no adapter with the name in the settings.
enum SlStatus
SlShell_Create(const struct SlShellOptions *options, struct SlShell **shell,
               struct SlError *error);
/// Frees the node and closes sockets, ports and durable state. shell may be
/// NULL.
void
SlShell_Destroy(struct SlShell *shell);

/// Runs the process until a planned stop has completed. SIGTERM and SIGINT
/// begin a planned stop; SIGHUP reloads the log level and the keys. Returns
/// the exit code: 0, or 1 if the packet threads cannot be started.
int
SlShell_Run(struct SlShell *shell);

#endif
