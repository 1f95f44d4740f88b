#ifndef SAVORYLEDGE_DAEMON_SETTINGS_VALUE_H
#define SAVORYLEDGE_DAEMON_SETTINGS_VALUE_H

/// The types of values that settings have.

#include "settings.h"

enum SlValueType {
    SL_VALUE_NAME,
    SL_VALUE_PATH,
    SL_VALUE_DEVICE,
    SL_VALUE_ADDRESS,
    /// An address whose port may be left out.
    SL_VALUE_HOST,
    SL_VALUE_NUMBER,
    SL_VALUE_BOOL,
    SL_VALUE_LEVEL,
    SL_VALUE_ROLES,
    SL_VALUE_PORT_KIND,
    /// Lists; a key that stands several times adds to them.
    SL_VALUE_LABELS,
    SL_VALUE_MEMBERS,
    SL_VALUE_SEEDS,
};

/// Reads text into the member at target. min and max: for numbers.
/// Returns false when the text is not allowed; SlValue_Allowed tells what
/// is.
bool
SlValue_Read(enum SlValueType type, uint32_t min, uint32_t max,
             const char *text, void *target);

/// Writes what is allowed; returns text.
const char *
SlValue_Allowed(enum SlValueType type, uint32_t min, uint32_t max, char *text,
                size_t room_bytes);

/// True for types that may stand several times.
bool
SlValue_IsList(enum SlValueType type);

#endif
