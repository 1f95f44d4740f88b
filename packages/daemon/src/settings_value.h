#ifndef SAVORYLEDGE_DAEMON_SETTINGS_VALUE_H
#define SAVORYLEDGE_DAEMON_SETTINGS_VALUE_H

/// The types of values that settings have: parses them and describes them.

#include "settings.h"

enum SlValueType {
    SL_VALUE_NAME,
    SL_VALUE_PATH,
    SL_VALUE_DEVICE,
    SL_VALUE_ADDRESS,
    /// An IP address with an optional port number.
    SL_VALUE_HOST,
    SL_VALUE_NUMBER,
    /// A rate in Mbit/s with up to three decimals, stored in kbit/s.
    SL_VALUE_RATE,
    SL_VALUE_BOOL,
    SL_VALUE_LEVEL,
    SL_VALUE_ROLES,
    SL_VALUE_PORT_KIND,
    /// The following types are lists. A key that is given several times
    /// appends to its list.
    SL_VALUE_LABELS,
    SL_VALUE_MEMBERS,
    SL_VALUE_SEEDS,
};

/// Parses text and stores the value at target, a field of struct SlSettings
/// of that type. min and max: range of the stored value for the types
/// SL_VALUE_NUMBER and SL_VALUE_RATE.
/// Returns false if the text is not a valid value; SlValue_FormatAllowed
/// describes the valid values.
bool
SlValue_Parse(enum SlValueType type, uint32_t min, uint32_t max,
              const char *text, void *target);

/// Writes a description of the valid values of a type to text, truncated to
/// size_bytes. Returns text.
const char *
SlValue_FormatAllowed(enum SlValueType type, uint32_t min, uint32_t max,
                      char *text, size_t size_bytes);

/// Returns true for list types, whose keys may be given several times.
bool
SlValue_IsList(enum SlValueType type);

#endif
