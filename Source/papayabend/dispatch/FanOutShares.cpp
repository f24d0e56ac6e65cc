#include "papayabend/dispatch/FanOutShares.h"

#include "papayabend/admission/Shares.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace papayabend::dispatch {

namespace {

    constexpr double runSampleWeight = 0.1;
    // An account or priority that wants less than this many fan-outs at once has gone.
    constexpr double minDemand = 0.001;
    constexpr base::Duration sweepInterval { std::chrono::seconds(10) };

    double decayed(double count, base::Duration age)
    {
        return count * std::exp(-std::chrono::duration<double>(age) / FanOutShares::memory);
    }

    /** Divides \a capacity by weight; what the others do not demand is lent. */
    FanOutPlaces divide(size_t own, double capacity, const std::vector<admission::AccountDemand>& demands)
    {
        auto weights = std::accumulate(
            demands.begin(), demands.end(), 0.0, [](double sum, const auto& demand) { return sum + demand.weight; });
        auto entitled = capacity * demands[own].weight / weights;
        auto allocation = admission::allocate(capacity, demands);
        return { entitled, std::max(allocation.granted[own] + allocation.spare - entitled, 0.0) };
    }

}

double FanOutShares::demand(const Part& part, base::TimePoint now) const
{
    auto perSecond = decayed(part.arrivals, now - part.countedAt) / std::chrono::duration<double>(memory).count();
    return std::max(perSecond * m_runSeconds, static_cast<double>(part.running));
}

void FanOutShares::addArrival(const TrafficClass& trafficClass, base::TimePoint now)
{
    forgetIdle(now);
    auto& account = m_accounts[trafficClass.account];
    account.weight = trafficClass.weight;
    auto& part = account.parts[trafficClass.priority];
    part.arrivals = decayed(part.arrivals, now - part.countedAt) + 1;
    part.countedAt = now;
}

FanOutPlaces FanOutShares::placesOf(const TrafficClass& trafficClass, double limit, base::TimePoint now) const
{
    std::vector<admission::AccountDemand> accounts;
    std::vector<admission::AccountDemand> priorities;
    size_t ownAccount = 0;
    size_t ownPriority = 0;
    for (const auto& [name, account] : m_accounts) {
        double sum = 0;
        for (const auto& [priority, part] : account.parts) {
            auto wanted = demand(part, now);
            sum += wanted;
            auto isOwn = name == trafficClass.account && priority == trafficClass.priority;
            if (name != trafficClass.account || (wanted < minDemand && !isOwn))
                continue;
            if (isOwn)
                ownPriority = priorities.size();
            priorities.push_back({ std::pow(priorityFactor, -static_cast<double>(priorities.size())), wanted });
        }
        if (sum < minDemand && name != trafficClass.account)
            continue;
        if (name == trafficClass.account)
            ownAccount = accounts.size();
        accounts.push_back({ account.weight, sum });
    }
    auto ofAccount = divide(ownAccount, limit, accounts);
    auto ofPriority = divide(ownPriority, ofAccount.entitled, priorities);
    return { ofPriority.entitled, ofPriority.lent + ofAccount.lent };
}

bool FanOutShares::mayBegin(const TrafficClass& trafficClass, double limit, base::TimePoint now) const
{
    if (m_running >= limit)
        return false;
    auto own = running(trafficClass);
    auto places = placesOf(trafficClass, limit, now);
    if (own < places.entitled)
        return true;
    return own < places.entitled + places.lent && m_running < limit * (1 - reserve);
}

void FanOutShares::begin(const TrafficClass& trafficClass)
{
    ++m_accounts[trafficClass.account].parts[trafficClass.priority].running;
    ++m_running;
}

void FanOutShares::end(const TrafficClass& trafficClass, base::Duration runTime)
{
    auto& part = m_accounts[trafficClass.account].parts[trafficClass.priority];
    if (part.running == 0)
        return;
    --part.running;
    --m_running;
    auto seconds = std::chrono::duration<double>(runTime).count();
    m_runSeconds += (m_runSeconds > 0 ? runSampleWeight : 1) * (seconds - m_runSeconds);
}

uint32_t FanOutShares::running(const TrafficClass& trafficClass) const
{
    auto account = m_accounts.find(trafficClass.account);
    if (account == m_accounts.end())
        return 0;
    auto part = account->second.parts.find(trafficClass.priority);
    return part == account->second.parts.end() ? 0 : part->second.running;
}

void FanOutShares::forgetIdle(base::TimePoint now)
{
    if (now - m_sweptAt < sweepInterval)
        return;
    m_sweptAt = now;
    for (auto& [name, account] : m_accounts)
        std::erase_if(account.parts, [&](const auto& it) { return demand(it.second, now) < minDemand; });
    std::erase_if(m_accounts, [](const auto& it) { return it.second.parts.empty(); });
}

}
