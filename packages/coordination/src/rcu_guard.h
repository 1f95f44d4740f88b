#ifndef SAVORYLEDGE_COORDINATION_RCU_GUARD_H
#define SAVORYLEDGE_COORDINATION_RCU_GUARD_H

/// RCU read sections (liburcu) for pointers that are published with C11
/// atomics, so that the thread sanitizer can follow the publication. The
/// sanitizer does not know the system call with which liburcu ends a grace
/// period, so the functions below report it.

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

/// Ends a read section. sync: an address that is used only for the read
/// sections and waits of one pointer; a store to it would make the sanitizer
/// lose their order.
static inline void
rcu_guard_leave(void *sync)
{
#ifdef RCU_GUARD_SANITIZED
    __tsan_release(sync);
#endif
    (void)sync;
    rcu_read_unlock();
}

/// Waits until all read sections that began before this call have ended.
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
