#ifndef SAVORYLEDGE_FUZZ_FUZZ_H
#define SAVORYLEDGE_FUZZ_FUZZ_H

/// What every fuzz target shares: libFuzzer's entry point, and a check that
/// stays in release builds.

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t length_bytes);

/// Stops the run, so that libFuzzer keeps the input.
static inline void
must(int holds)
{
    if (!holds) {
        abort();
    }
}

#endif
