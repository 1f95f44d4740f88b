#ifndef SAVORYLEDGE_DAEMON_SETTINGS_CHECK_H
#define SAVORYLEDGE_DAEMON_SETTINGS_CHECK_H

/// What holds between several keys of a settings file, and for the files and
/// folders that it names.

#include "settings.h"

enum {
    SETTINGS_KEYS_MAX = 64,
};

/// What is known while a file is read.
struct reading {
    const char *text;
    uint32_t line;
    struct SlSettings *settings;
    struct SlFaults *faults;
    /// The line of each key that was given, 0 if none.
    uint32_t given[SETTINGS_KEYS_MAX];
};

/// Adds a fault when the key was not given.
void
settings_need(const struct reading *reading, const char *section,
              const char *name);

/// The line on which a known key was given, 0 if none.
uint32_t
settings_line(const struct reading *reading, const char *section,
              const char *name);

/// Adds the faults that single values do not show, and reads the keys.
void
settings_check(const struct reading *reading);

#endif
