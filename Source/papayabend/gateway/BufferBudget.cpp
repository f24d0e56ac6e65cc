#include "papayabend/gateway/BufferBudget.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace papayabend::gateway {

BufferHold::BufferHold(std::shared_ptr<BufferBudget> budget, OnRevoked onRevoked)
    : m_budget(std::move(budget))
    , m_onRevoked(std::move(onRevoked))
{
    if (m_budget)
        ++m_budget->holds;
}

BufferHold::~BufferHold()
{
    if (!m_budget)
        return;
    returnBytes();
    --m_budget->holds;
}

void BufferHold::returnBytes()
{
    m_budget->bytes -= std::exchange(m_bytes, 0);
    leaveGroup();
}

void BufferHold::leaveGroup()
{
    if (m_group == 0)
        return;
    auto& group = m_budget->bySize[std::exchange(m_group, 0)];
    group[m_index] = group.back();
    group[m_index]->m_index = m_index;
    group.pop_back();
}

void BufferHold::setBytes(uint64_t bytes)
{
    m_budget->bytes += bytes - m_bytes;
    m_bytes = bytes;
    auto group = m_onRevoked ? static_cast<size_t>(std::bit_width(bytes)) : 0;
    if (group == m_group)
        return;
    leaveGroup();
    m_group = group;
    if (group == 0)
        return;
    m_index = m_budget->bySize[group].size();
    m_budget->bySize[group].push_back(this);
}

void BufferHold::release()
{
    if (m_budget)
        returnBytes();
    m_isRevoked = false;
}

void BufferHold::commit()
{
    m_onRevoked = nullptr;
    leaveGroup();
}

void BufferHold::revoke()
{
    returnBytes();
    m_isRevoked = true;
    ++m_budget->revoked;
}

bool BufferHold::resize(uint64_t bytes)
{
    if (!m_budget)
        return true;
    if (m_isRevoked)
        return false;
    auto& budget = *m_budget;
    auto isGrowing = bytes > m_bytes;
    setBytes(bytes);
    while (isGrowing && budget.bytes > budget.maxBytes) {
        auto group = std::ranges::find_if(
            budget.bySize.rbegin(), budget.bySize.rend(), [](const auto& it) { return !it.empty(); });
        auto* largest = group == budget.bySize.rend() ? nullptr : group->front();
        auto isOverHardMax = budget.bytes > budget.hardMaxBytes;
        if (!isOverHardMax && (!largest || largest->m_bytes <= budget.smallBytes))
            return true;
        if (!largest)
            largest = this;
        largest->revoke();
        if (largest == this)
            return false;
        largest->m_onRevoked();
    }
    return true;
}

}
