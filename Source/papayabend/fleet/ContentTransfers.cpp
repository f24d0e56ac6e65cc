#include "papayabend/fleet/ContentTransfers.h"

#include <algorithm>

namespace papayabend::fleet {

std::optional<uint64_t> ContentTransfers::begin(std::string receiver, base::StorePosition position, base::TimePoint now)
{
    std::erase_if(m_transfers, [now](const auto& it) { return now - it.second.startedAt > maxTransferTime; });
    if (m_transfers.size() >= maxTransfers)
        return std::nullopt;
    m_transfers.emplace(++m_lastNumber, Transfer { std::move(receiver), position, now });
    return m_lastNumber;
}

void ContentTransfers::end(uint64_t number)
{
    auto ended = m_transfers.extract(number);
    if (!ended || ended.mapped().receiver.empty())
        return;
    std::erase_if(m_ended, [&](const auto& it) { return it.receiver == ended.mapped().receiver; });
    m_ended.push_back(std::move(ended.mapped()));
    if (m_ended.size() > maxReferrals)
        m_ended.pop_front();
}

std::vector<std::string> ContentTransfers::receiversOf(base::StorePosition position) const
{
    std::vector<std::string> addresses;
    for (const auto& transfer : m_ended) {
        if (transfer.position > position)
            addresses.push_back(transfer.receiver);
    }
    return addresses;
}

}
