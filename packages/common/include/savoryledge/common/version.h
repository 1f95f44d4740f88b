#ifndef SAVORYLEDGE_COMMON_VERSION_H
#define SAVORYLEDGE_COMMON_VERSION_H

/// The version of a configuration: its position in the replicated log.

#include <stdint.h>

/// Versions are ordered by term, then by index. {0, 0} means that there is no
/// version.
struct SlVersion {
    uint64_t term;
    uint64_t index;
};

/// Returns a negative value, zero or a positive value when a is older than,
/// equal to or newer than b.
static inline int
SlVersion_Compare(struct SlVersion a, struct SlVersion b)
{
    if (a.term != b.term) {
        return a.term < b.term ? -1 : 1;
    }
    if (a.index != b.index) {
        return a.index < b.index ? -1 : 1;
    }
    return 0;
}

#endif
