#include "papayabend/catalog/UpstreamNames.h"

#include <mutex>

namespace papayabend::catalog {

UpstreamId UpstreamNames::intern(std::string_view name)
{
    std::unique_lock lock(m_mutex);
    auto [it, isNew] = m_ids.try_emplace(std::string(name), static_cast<UpstreamId>(m_names.size()));
    if (isNew)
        m_names.emplace_back(name);
    return it->second;
}

std::string UpstreamNames::name(UpstreamId id) const
{
    std::shared_lock lock(m_mutex);
    return m_names.at(toIndex(id));
}

size_t UpstreamNames::size() const
{
    std::shared_lock lock(m_mutex);
    return m_names.size();
}

}
