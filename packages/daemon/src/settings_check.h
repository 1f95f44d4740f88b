#ifndef SAVORYLEDGE_DAEMON_SETTINGS_CHECK_H
#define SAVORYLEDGE_DAEMON_SETTINGS_CHECK_H

/// Checks of a settings file that involve several keys, or the files and
/// folders that the settings name.

#include "settings.h"

enum {
    SETTINGS_KEYS_MAX = 64,
};

/// State of the parser of one settings file.
struct parser {
    /// The part of the settings file that is still to be parsed.
    const char *text;
    /// Number of the line being parsed, from 1.
    uint32_t line;
    struct SlSettings *settings;
    struct SlFaults *faults;
    /// For each key the number of the line that sets the key, 0 if no line
    /// sets it.
    uint32_t key_lines[SETTINGS_KEYS_MAX];
};

/// Adds a fault if the file does not set the key.
void
settings_require_key(const struct parser *parser, const char *section,
                     const char *name);

/// Returns the number of the line that sets a known key, or 0 if no line sets
/// it.
uint32_t
settings_key_line(const struct parser *parser, const char *section,
                  const char *name);

/// Adds the faults that involve several keys, files or folders. Loads the key
/// files, and fills in the settings that follow from other settings.
void
settings_validate(const struct parser *parser);

#endif
