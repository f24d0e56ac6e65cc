#include "papayabend/dispatch/FanOutShares.h"

#include "papayabend/admission/Shares.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace papayabend::dispatch {

namespace {

    constexpr double runTimeSampleWeight = 0.1;
    // An account or priority that needs fewer than this many fan-outs at once counts as idle.
    constexpr double minDemand = 0.001;
    constexpr base::Duration sweepInterval { std::chrono::seconds(10) };

    double decayed(double count, base::Duration age)
    {
        return count * std::exp(-std::chrono::duration<double>(age) / FanOutShares::arrivalTimeConstant);
    }

    /** Divides \a capacity by weight; returns the allowance of the account or priority with index \a own. */
    FanOutAllowance divide(size_t own, double capacity, const std::vector<admission::AccountDemand>& demands)
    {
        auto weights = std::accumulate(
            demands.begin(), demands.end(), 0.0, [](double sum, const auto& demand) { return sum + demand.weight; });
        auto guaranteed = capacity * demands[own].weight / weights;
        auto allocation = admission::allocate(capacity, demands);
        return { guaranteed, std::max(allocation.granted[own] + allocation.spare - guaranteed, 0.0) };
    }

}

double FanOutShares::demand(const PriorityState& state, base::TimePoint now) const
{
    auto perSecond
        = decayed(state.arrivals, now - state.countedAt) / std::chrono::duration<double>(arrivalTimeConstant).count();
    return std::max(perSecond * m_meanRunSeconds, static_cast<double>(state.running));
}

void FanOutShares::addArrival(const TrafficClass& trafficClass, base::TimePoint now)
{
    removeIdle(now);
    auto& account = m_accounts[trafficClass.account];
    account.weight = trafficClass.weight;
    auto& state = account.priorities[trafficClass.priority];
    state.arrivals = decayed(state.arrivals, now - state.countedAt) + 1;
    state.countedAt = now;
}

FanOutAllowance FanOutShares::allowanceOf(const TrafficClass& trafficClass, double limit, base::TimePoint now) const
{
    std::vector<admission::AccountDemand> accountDemands;
    std::vector<admission::AccountDemand> priorityDemands;
    size_t ownAccount = 0;
    size_t ownPriority = 0;
    for (const auto& [name, account] : m_accounts) {
        double sum = 0;
        for (const auto& [priority, state] : account.priorities) {
            auto needed = demand(state, now);
            sum += needed;
            auto isOwn = name == trafficClass.account && priority == trafficClass.priority;
            if (name != trafficClass.account || (needed < minDemand && !isOwn))
                continue;
            if (isOwn)
                ownPriority = priorityDemands.size();
            priorityDemands.push_back(
                { std::pow(priorityFactor, -static_cast<double>(priorityDemands.size())), needed });
        }
        if (sum < minDemand && name != trafficClass.account)
            continue;
        if (name == trafficClass.account)
            ownAccount = accountDemands.size();
        accountDemands.push_back({ account.weight, sum });
    }
    auto accountAllowance = divide(ownAccount, limit, accountDemands);
    auto priorityAllowance = divide(ownPriority, accountAllowance.guaranteed, priorityDemands);
    return { priorityAllowance.guaranteed, priorityAllowance.borrowable + accountAllowance.borrowable };
}

bool FanOutShares::mayBegin(const TrafficClass& trafficClass, double limit, base::TimePoint now) const
{
    if (m_running >= limit)
        return false;
    auto own = running(trafficClass);
    auto allowance = allowanceOf(trafficClass, limit, now);
    if (own < allowance.guaranteed)
        return true;
    return own < allowance.guaranteed + allowance.borrowable && m_running < limit * (1 - reservedShare);
}

void FanOutShares::begin(const TrafficClass& trafficClass)
{
    ++m_accounts[trafficClass.account].priorities[trafficClass.priority].running;
    ++m_running;
}

void FanOutShares::end(const TrafficClass& trafficClass, base::Duration runTime)
{
    auto& state = m_accounts[trafficClass.account].priorities[trafficClass.priority];
    if (state.running == 0)
        return;
    --state.running;
    --m_running;
    auto seconds = std::chrono::duration<double>(runTime).count();
    m_meanRunSeconds += (m_meanRunSeconds > 0 ? runTimeSampleWeight : 1) * (seconds - m_meanRunSeconds);
}

uint32_t FanOutShares::running(const TrafficClass& trafficClass) const
{
    auto account = m_accounts.find(trafficClass.account);
    if (account == m_accounts.end())
        return 0;
    auto state = account->second.priorities.find(trafficClass.priority);
    return state == account->second.priorities.end() ? 0 : state->second.running;
}

void FanOutShares::removeIdle(base::TimePoint now)
{
    if (now - m_sweptAt < sweepInterval)
        return;
    m_sweptAt = now;
    for (auto& [name, account] : m_accounts)
        std::erase_if(account.priorities, [&](const auto& it) { return demand(it.second, now) < minDemand; });
    std::erase_if(m_accounts, [](const auto& it) { return it.second.priorities.empty(); });
}

}
