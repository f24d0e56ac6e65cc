#include "papayabend/transport/PlatformReader.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <map>
#include <mutex>
#include <thread>

namespace papayabend::transport {

namespace {

    using engine::ReadPlatform;
    using engine::ReadStatus;

    // The platform answers in milliseconds; the time for which it may hold a watch request open is added.
    constexpr std::chrono::seconds answerTimeout { 1 };

    std::string pathOf(const ReadPlatform& read)
    {
        if (read.key == "hosts")
            return "/v1/hosts";
        auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(read.wait).count();
        return "/v1/values/" + read.key + "?after=" + std::to_string(read.afterVersion)
            + "&wait=" + std::to_string(wait);
    }

    // Reads one key on its own thread, because a watch request blocks.
    class KeyReader {
    public:
        KeyReader(const std::string& address, const PlatformReader::Done& done)
            : m_client("http://" + address)
            , m_done(done)
            , m_thread([this](const std::stop_token& stop) { run(stop); })
        {
            m_client.set_connection_timeout(answerTimeout);
        }

        ~KeyReader()
        {
            m_thread.request_stop();
            m_client.stop();
        }

        KeyReader(const KeyReader&) = delete;
        KeyReader& operator=(const KeyReader&) = delete;

        void add(const ReadPlatform& read)
        {
            {
                std::scoped_lock lock(m_mutex);
                m_pending.push_back(read);
            }
            m_changed.notify_all();
        }

    private:
        void run(const std::stop_token& stop)
        {
            std::unique_lock lock(m_mutex);
            while (m_changed.wait(lock, stop, [&] { return !m_pending.empty(); })) {
                auto read = std::move(m_pending.front());
                m_pending.pop_front();
                lock.unlock();
                m_client.set_read_timeout(read.wait + std::chrono::microseconds(answerTimeout));
                auto response = m_client.Get(pathOf(read));
                if (!stop.stop_requested())
                    report(read.key, response);
                lock.lock();
            }
        }

        void report(const std::string& key, const httplib::Result& response)
        {
            if (response && response->status == 200)
                m_done(key, ReadStatus::Value, response->body);
            else
                m_done(key, response && response->status == 304 ? ReadStatus::Unchanged : ReadStatus::Failed, {});
        }

        httplib::Client m_client;
        const PlatformReader::Done& m_done;
        std::mutex m_mutex;
        std::condition_variable_any m_changed;
        std::deque<ReadPlatform> m_pending;
        std::jthread m_thread;
    };

}

struct PlatformReader::Impl {
    std::string address;
    Done done;
    std::mutex mutex;
    std::map<std::string, KeyReader> readers;
};

PlatformReader::PlatformReader(std::string address, Done done)
    : m_impl(std::make_unique<Impl>())
{
    m_impl->address = std::move(address);
    m_impl->done = std::move(done);
}

PlatformReader::~PlatformReader() = default;

void PlatformReader::read(const ReadPlatform& read)
{
    if (m_impl->address.empty()) {
        m_impl->done(read.key, ReadStatus::Failed, {});
        return;
    }
    std::scoped_lock lock(m_impl->mutex);
    m_impl->readers.try_emplace(read.key, m_impl->address, m_impl->done).first->second.add(read);
}

}
