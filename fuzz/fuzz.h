#ifndef SAVORYLEDGE_FUZZ_FUZZ_H
#define SAVORYLEDGE_FUZZ_FUZZ_H

/// Declarations that every fuzz target uses: libFuzzer's entry point, and a
/// check that stays in release builds.

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes);

/// Aborts the process when the condition is false, so that libFuzzer keeps the
/// input that led to it.
static inline void
fuzz_require(int condition)
{
    if (!condition) {
        abort();
    }
}

#endif
