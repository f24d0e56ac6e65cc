#pragma once

#include "papayabend/base/Random.h"
#include "standin/Deployment.h"
#include "standin/StandinSettings.h"

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace papayabend::standin {

/** \struct Job
 * \brief One call to an upstream.
 */
struct Job {
    enum class End {
        Ran,
        Shed,
        Draining,
        SnapshotUnavailable,
        UnknownShard,
        DeadlineExceeded,
        Cancelled,
        Failed,
        Crashed
    };

    std::string service;
    std::string shard;
    uint64_t snapshot { 0 };
    std::string body;
    bool isExecution { false };
    std::chrono::system_clock::time_point deadline;
    std::function<void(End)> finish; /**< Called once. */
    // Results for the answer, valid at the call of finish.
    uint64_t units { 0 };
    base::Duration held {}; /**< Time for which the call held a slot. */
    uint32_t slotsBusy { 0 };
    uint32_t queued { 0 };
    bool isDraining { false };

    bool isEnded { false };
    std::unique_ptr<boost::asio::steady_timer> timer;
};

/** \class SimulatedUpstream
 * \brief Slots, queue, speed and faults of one upstream. All members belong to the thread of the io_context.
 */
class SimulatedUpstream {
public:
    /** Called when an execution starts to run, with its body. */
    using Executed = std::function<void(const std::string& body)>;

    SimulatedUpstream(boost::asio::io_context&, const UpstreamShape&, const Behaviour&, uint64_t seed, Executed);

    void submit(const std::shared_ptr<Job>&);
    void cancel(const std::shared_ptr<Job>&);
    /** Fails all calls; the caller cuts the connections. */
    void crash();
    /** Begins the cold start. */
    void start();

    Behaviour behaviour;
    Holdings holdings;
    std::function<void()> crashed; /**< Called when a marked request ends the upstream. */

private:
    void run(const std::shared_ptr<Job>&);
    void end(const std::shared_ptr<Job>&, Job::End);
    void runQueued();
    base::Duration drawServiceTime();
    bool isRefused(const std::shared_ptr<Job>&);

    boost::asio::io_context& m_io;
    uint32_t m_slots;
    base::Random m_random;
    Executed m_executed;
    std::set<std::shared_ptr<Job>> m_running;
    std::deque<std::shared_ptr<Job>> m_queue;
    std::chrono::steady_clock::time_point m_coldUntil {};
};

}
