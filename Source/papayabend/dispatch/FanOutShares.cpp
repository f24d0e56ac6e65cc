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
    FanOutAllowance divide(size_t own, double capacity, const std::vector<admission::Claim>& claims)
    {
        auto weights = std::accumulate(
            claims.begin(), claims.end(), 0.0, [](double sum, const auto& claim) { return sum + claim.weight; });
        auto guaranteed = capacity * claims[own].weight / weights;
        auto allocation = admission::allocate(capacity, claims);
        return { guaranteed, std::max(allocation.granted[own] + allocation.spare - guaranteed, 0.0) };
    }

}

double FanOutShares::demand(const PriorityState& state, base::TimePoint now) const
{
    auto perSecond
        = decayed(state.arrivals, now - state.countedAt) / std::chrono::duration<double>(arrivalTimeConstant).count();
    return std::max(perSecond * m_meanRunSeconds, static_cast<double>(state.running));
}

void FanOutShares::addArrival(const Claimant& claimant, base::TimePoint now)
{
    removeIdle(now);
    auto& account = m_accounts[claimant.account];
    account.weight = claimant.weight;
    auto& state = account.priorities[claimant.priority];
    state.arrivals = decayed(state.arrivals, now - state.countedAt) + 1;
    state.countedAt = now;
}

FanOutAllowance FanOutShares::allowanceOf(const Claimant& claimant, double limit, base::TimePoint now) const
{
    std::vector<admission::Claim> accountDemands;
    std::vector<admission::Claim> priorityDemands;
    size_t ownAccount = 0;
    size_t ownPriority = 0;
    for (const auto& [name, account] : m_accounts) {
        double sum = 0;
        for (const auto& [priority, state] : account.priorities) {
            auto needed = demand(state, now);
            sum += needed;
            auto isOwn = name == claimant.account && priority == claimant.priority;
            if (name != claimant.account || (needed < minDemand && !isOwn))
                continue;
            if (isOwn)
                ownPriority = priorityDemands.size();
            priorityDemands.push_back(
                { std::pow(priorityFactor, -static_cast<double>(priorityDemands.size())), needed });
        }
        if (sum < minDemand && name != claimant.account)
            continue;
        if (name == claimant.account)
            ownAccount = accountDemands.size();
        accountDemands.push_back({ account.weight, sum });
    }
    auto accountAllowance = divide(ownAccount, limit, accountDemands);
    auto priorityAllowance = divide(ownPriority, accountAllowance.guaranteed, priorityDemands);
    return { priorityAllowance.guaranteed, priorityAllowance.borrowable + accountAllowance.borrowable };
}

bool FanOutShares::mayBegin(const Claimant& claimant, double limit, base::TimePoint now) const
{
    if (m_running >= limit)
        return false;
    auto own = running(claimant);
    auto allowance = allowanceOf(claimant, limit, now);
    if (own < allowance.guaranteed)
        return true;
    return own < allowance.guaranteed + allowance.borrowable && m_running < limit * (1 - reservedShare);
}

void FanOutShares::begin(const Claimant& claimant)
{
    ++m_accounts[claimant.account].priorities[claimant.priority].running;
    ++m_running;
}

void FanOutShares::end(const Claimant& claimant, base::Duration runTime)
{
    auto& state = m_accounts[claimant.account].priorities[claimant.priority];
    if (state.running == 0)
        return;
    --state.running;
    --m_running;
    auto seconds = std::chrono::duration<double>(runTime).count();
    m_meanRunSeconds += (m_meanRunSeconds > 0 ? runTimeSampleWeight : 1) * (seconds - m_meanRunSeconds);
}

uint32_t FanOutShares::running(const Claimant& claimant) const
{
    auto account = m_accounts.find(claimant.account);
    if (account == m_accounts.end())
        return 0;
    auto state = account->second.priorities.find(claimant.priority);
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
