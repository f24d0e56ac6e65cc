#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace papayabend::base {

namespace detail {

    /** \class ReadSection
     * \brief Read-side critical section of the process-wide RCU domain.
     */
    class ReadSection {
    public:
        ReadSection();
        ~ReadSection();
        ReadSection(const ReadSection&) = delete;
        ReadSection& operator=(const ReadSection&) = delete;
    };

    /** Waits until every read section that was open at the call has ended. */
    void waitForReaders();

}

/** \class Published
 * \brief Immutable value that many threads read often and that is seldom replaced.
 *
 * Readers never block. publish() waits for readers that are still copying the old pointer.
 */
template <typename T> class Published {
public:
    explicit Published(std::shared_ptr<const T> initial)
        : m_node(new std::shared_ptr<const T>(std::move(initial)))
    {
    }

    Published()
        : Published(std::make_shared<const T>())
    {
    }

    ~Published() { delete m_node.load(); }
    Published(const Published&) = delete;
    Published& operator=(const Published&) = delete;

    /** Returns the current value; it stays valid as long as the pointer is held. */
    std::shared_ptr<const T> load() const
    {
        detail::ReadSection section;
        return *m_node.load(std::memory_order_acquire);
    }

    /** Replaces the value for all later readers. */
    void publish(std::shared_ptr<const T> value)
    {
        auto* node = new std::shared_ptr<const T>(std::move(value));
        std::scoped_lock lock(m_publishMutex);
        auto* old = m_node.exchange(node, std::memory_order_acq_rel);
        detail::waitForReaders();
        delete old;
    }

private:
    std::atomic<std::shared_ptr<const T>*> m_node;
    std::mutex m_publishMutex;
};

}
