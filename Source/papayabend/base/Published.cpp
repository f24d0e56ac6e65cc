#include "papayabend/base/Published.h"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
extern "C" {
void __tsan_acquire(void*);
void __tsan_release(void*);
}
#endif

namespace papayabend::base::detail {

namespace {

    struct ThreadRegistration {
        ThreadRegistration() { urcu_memb_register_thread(); }
        ~ThreadRegistration() { urcu_memb_unregister_thread(); }
        ThreadRegistration(const ThreadRegistration&) = delete;
        ThreadRegistration& operator=(const ThreadRegistration&) = delete;
        bool active { true };
    };

    void registerThread()
    {
        thread_local ThreadRegistration registration;
        registration.active = true;
    }

#if defined(__SANITIZE_THREAD__)
    // liburcu is not instrumented. Releasing and acquiring this marker shows the thread sanitizer the memory order that
    // liburcu guarantees.
    int orderMarker;
#endif

}

ReadSection::ReadSection()
{
    registerThread();
    urcu_memb_read_lock();
}

ReadSection::~ReadSection()
{
#if defined(__SANITIZE_THREAD__)
    __tsan_release(&orderMarker);
#endif
    urcu_memb_read_unlock();
}

void waitForReaders()
{
    registerThread();
    urcu_memb_synchronize_rcu();
#if defined(__SANITIZE_THREAD__)
    __tsan_acquire(&orderMarker);
#endif
}

}
