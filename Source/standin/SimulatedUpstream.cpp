#include "standin/SimulatedUpstream.h"

#include <algorithm>
#include <random>

namespace papayabend::standin {

SimulatedUpstream::SimulatedUpstream(
    boost::asio::io_context& io, const UpstreamShape& shape, const Behaviour& initial, uint64_t seed, Executed executed)
    : behaviour(initial)
    , m_io(io)
    , m_slots(shape.slots)
    , m_random(seed)
    , m_executed(std::move(executed))
{
}

void SimulatedUpstream::start() { m_coldUntil = std::chrono::steady_clock::now() + behaviour.coldStart; }

base::Duration SimulatedUpstream::drawServiceTime()
{
    std::lognormal_distribution<double> distribution(0, std::max(behaviour.serviceTimeSigma, 1e-9));
    auto factor = distribution(m_random);
    if (base::uniform(m_random) < behaviour.stragglerShare)
        factor *= behaviour.stragglerFactor;
    if (std::chrono::steady_clock::now() < m_coldUntil)
        factor *= behaviour.coldFactor;
    return base::Duration(static_cast<int64_t>(static_cast<double>(behaviour.serviceTime.count()) * factor));
}

bool SimulatedUpstream::isRefused(const std::shared_ptr<Job>& job)
{
    if (behaviour.isDraining) {
        end(job, Job::End::Draining);
        return true;
    }
    auto it = holdings.find({ job->service, job->snapshot });
    if (it == holdings.end()) {
        end(job, Job::End::SnapshotUnavailable);
        return true;
    }
    if (!job->isExecution) {
        auto shard = it->second.find(job->shard);
        if (shard == it->second.end()) {
            end(job, Job::End::UnknownShard);
            return true;
        }
        job->units = shard->second;
    }
    if (m_running.size() >= m_slots && m_queue.size() >= behaviour.queueLength) {
        end(job, Job::End::Shed);
        return true;
    }
    return false;
}

void SimulatedUpstream::submit(const std::shared_ptr<Job>& job)
{
    if (job->isEnded || isRefused(job))
        return;
    if (m_running.size() < m_slots)
        run(job);
    else
        m_queue.push_back(job);
}

void SimulatedUpstream::run(const std::shared_ptr<Job>& job)
{
    if (behaviour.honoursDeadline && std::chrono::system_clock::now() >= job->deadline) {
        end(job, Job::End::DeadlineExceeded);
        return;
    }
    m_running.insert(job);
    if (job->isExecution)
        m_executed(job->body);
    if (!behaviour.crashMarker.empty() && job->body.find(behaviour.crashMarker) != std::string::npos) {
        crashed();
        return;
    }
    job->held = drawServiceTime();
    job->timer = std::make_unique<boost::asio::steady_timer>(m_io, job->held);
    job->timer->async_wait([this, job](boost::system::error_code ec) {
        if (!ec && !job->isEnded)
            end(job, base::uniform(m_random) < behaviour.failureShare ? Job::End::Failed : Job::End::Ran);
    });
}

void SimulatedUpstream::end(const std::shared_ptr<Job>& job, Job::End how)
{
    if (job->isEnded)
        return;
    job->isEnded = true;
    m_running.erase(job);
    std::erase(m_queue, job);
    if (!behaviour.misleadsOnLoad) {
        job->slotsBusy = static_cast<uint32_t>(m_running.size());
        job->queued = static_cast<uint32_t>(m_queue.size());
    }
    job->isDraining = behaviour.isDraining;
    job->timer.reset();
    job->finish(how);
    job->finish = nullptr;
    runQueued();
}

void SimulatedUpstream::runQueued()
{
    while (m_running.size() < m_slots && !m_queue.empty()) {
        auto job = m_queue.front();
        m_queue.pop_front();
        run(job);
    }
}

void SimulatedUpstream::cancel(const std::shared_ptr<Job>& job)
{
    // Without cancellation the call keeps its slot to the end; its answer goes nowhere.
    if (behaviour.honoursCancellation || !m_running.contains(job))
        end(job, Job::End::Cancelled);
}

void SimulatedUpstream::crash()
{
    auto jobs = m_running;
    jobs.insert(m_queue.begin(), m_queue.end());
    m_queue.clear();
    for (const auto& job : jobs)
        end(job, Job::End::Crashed);
}

}
