#ifndef SAVORYLEDGE_TEST_RESOURCES_H
#define SAVORYLEDGE_TEST_RESOURCES_H

/// Measures the memory and the processor time that a part of a test needs.
/// With a sanitizer, which changes both, the bounds are not checked.

#include <fcntl.h>
#include <malloc.h>
#include <stdbool.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "test.h"

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define IS_SANITIZED true
#else
#define IS_SANITIZED false
#endif

enum {
    STATUS_BYTES = 4096,
};

/// What a call has cost.
struct cost {
    long start_kb;
    struct timespec start;
    long peak_kb;
    long cpu_us;
};

/// Returns a figure in kB from /proc/self/status.
static inline long
read_memory_kb(const char *key)
{
    char text[STATUS_BYTES];
    int descriptor = open("/proc/self/status", O_RDONLY);
    ssize_t length = read(descriptor, text, sizeof(text) - 1);
    const char *found;

    close(descriptor);
    text[length > 0 ? length : 0] = '\0';
    found = strstr(text, key);
    return found != NULL ? strtol(found + strlen(key), NULL, 10) : 0;
}

/// Resets the peak of the process's memory, VmHWM.
static inline void
start_cost(struct cost *cost)
{
    int descriptor = open("/proc/self/clear_refs", O_WRONLY);

    malloc_trim(0);
    CU_ASSERT_EQUAL(write(descriptor, "5", 1), 1);
    close(descriptor);
    cost->start_kb = read_memory_kb("VmRSS:");
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cost->start);
}

static inline void
end_cost(struct cost *cost, const char *what, long max_kb, long max_us)
{
    struct timespec end;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
    cost->cpu_us = (end.tv_sec - cost->start.tv_sec) * 1000000 +
                   (end.tv_nsec - cost->start.tv_nsec) / 1000;
    cost->peak_kb = read_memory_kb("VmHWM:") - cost->start_kb;
    printf("    %s: %ld us, %ld kB\n", what, cost->cpu_us, cost->peak_kb);
    if (!IS_SANITIZED) {
        CU_ASSERT(cost->peak_kb <= max_kb);
        CU_ASSERT(cost->cpu_us <= max_us);
    }
}

#endif
