#pragma once

#include "papayabend/base/Time.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace papayabend::transport {

/** \class Timers
 * \brief Runs functions at given times on one thread of its own.
 */
class Timers {
public:
    Timers();
    ~Timers();
    Timers(const Timers&) = delete;
    Timers& operator=(const Timers&) = delete;

    void at(base::TimePoint, std::function<void()>);

private:
    void run(const std::stop_token&);

    std::mutex m_mutex;
    std::condition_variable_any m_changed;
    std::multimap<base::TimePoint, std::function<void()>> m_pending;
    std::jthread m_thread;
};

}
