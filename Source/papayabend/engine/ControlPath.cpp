#include "papayabend/engine/ControlPath.h"

#include <memory>
#include <string>

namespace papayabend::engine {

ControlPath::ControlPath(SharedState& shared)
    : m_shared(shared)
{
}

Actions ControlPath::valuePublished(std::string_view key, std::string_view text, base::TimePoint)
{
    if (key != "catalog")
        return {};
    base::LastReason reason;
    auto parsed = catalog::parseCatalog(text, m_shared.upstreamNames, reason);
    if (!parsed)
        return { StateChange { "catalog", reason.text } };
    if (parsed->version <= m_shared.catalog.load()->version)
        return {};
    auto version = parsed->version;
    m_shared.catalog.publish(std::make_shared<const catalog::Catalog>(std::move(*parsed)));
    return { StateChange { "catalog", "version " + std::to_string(version) + " in force" } };
}

}
