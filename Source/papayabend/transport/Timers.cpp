#include "papayabend/transport/Timers.h"

namespace papayabend::transport {

Timers::Timers()
    : m_thread([this](const std::stop_token& stop) { run(stop); })
{
}

Timers::~Timers()
{
    m_thread.request_stop();
    m_changed.notify_all();
}

void Timers::at(base::TimePoint time, std::function<void()> function)
{
    {
        std::scoped_lock lock(m_mutex);
        m_pending.emplace(time, std::move(function));
    }
    m_changed.notify_all();
}

void Timers::run(const std::stop_token& stop)
{
    std::unique_lock lock(m_mutex);
    while (!stop.stop_requested()) {
        auto now = base::BootClock::now();
        if (m_pending.empty()) {
            m_changed.wait(lock, stop, [&] { return !m_pending.empty(); });
            continue;
        }
        auto first = m_pending.begin();
        if (first->first > now) {
            m_changed.wait_for(lock, first->first - now);
            continue;
        }
        auto function = std::move(first->second);
        m_pending.erase(first);
        lock.unlock();
        function();
        lock.lock();
    }
}

}
