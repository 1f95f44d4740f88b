#ifndef SAVORYLEDGE_DAEMON_SERVE_H
#define SAVORYLEDGE_DAEMON_SERVE_H

/// Runs a process of savoryledge: loads its settings and serves.

#include "savoryledge/state/files.h"
#include "settings.h"

/// Reads and checks a settings file. If it has faults, writes each of them to
/// standard error and returns false.
bool
SlDaemon_LoadSettings(const char *path, struct SlSettings *settings);

/// Runs the process until a planned stop has completed. path: the settings
/// file, which SIGHUP reads again. files: file operations for durable state;
/// NULL selects those of the operating system. Returns the exit code: 0 after
/// a planned stop, 1 after a failure to start or to serve, which is reported
/// on standard error or in the log.
int
SlDaemon_Serve(const char *path, const struct SlSettings *settings,
               struct SlFiles *files);

#endif
