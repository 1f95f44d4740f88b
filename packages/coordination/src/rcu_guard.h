#ifndef SAVORYLEDGE_COORDINATION_RCU_GUARD_H
#define SAVORYLEDGE_COORDINATION_RCU_GUARD_H

/// RCU read sections (liburcu) around pointers that are published with C11
/// atomics, so that the thread sanitizer follows publication. The grace
/// period, which liburcu makes with a system call that the sanitizer does not
/// know, is told to it here.

#include <urcu.h>

#ifdef __has_feature
#if __has_feature(thread_sanitizer)
#define RCU_GUARD_SANITIZED 1
#endif
#endif
#ifdef __SANITIZE_THREAD__
#define RCU_GUARD_SANITIZED 1
#endif

#ifdef RCU_GUARD_SANITIZED
#include <sanitizer/tsan_interface.h>
#endif

static inline void
rcu_guard_enter(void)
{
    rcu_read_lock();
}

/// sync: an address that leave and wait of one pointer share, and nothing
/// else uses: a store to it would make the sanitizer forget.
static inline void
rcu_guard_leave(void *sync)
{
#ifdef RCU_GUARD_SANITIZED
    __tsan_release(sync);
#endif
    (void)sync;
    rcu_read_unlock();
}

/// Waits until all read sections that began before are over.
static inline void
rcu_guard_wait(void *sync)
{
    synchronize_rcu();
#ifdef RCU_GUARD_SANITIZED
    __tsan_acquire(sync);
#endif
    (void)sync;
}

#endif
