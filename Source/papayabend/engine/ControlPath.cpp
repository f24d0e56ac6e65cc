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
    base::LastReason reason;
    uint64_t version = 0;
    if (key == "catalog") {
        auto parsed = catalog::parseCatalog(text, m_shared.upstreamNames, reason);
        if (!parsed)
            return { StateChange { "catalog", reason.text } };
        version = parsed->version;
        if (version <= m_shared.catalog.load()->version)
            return {};
        m_shared.catalog.publish(std::make_shared<const catalog::Catalog>(std::move(*parsed)));
    } else if (key == "table") {
        auto parsed = table::parseTable(text, reason);
        if (!parsed)
            return { StateChange { "table", reason.text } };
        version = parsed->version;
        if (version <= m_shared.table.load()->version)
            return {};
        m_shared.table.publish(std::make_shared<const table::Table>(std::move(*parsed)));
    } else
        return {};
    return { StateChange { std::string(key), "version " + std::to_string(version) + " in force" } };
}

Actions ControlPath::hostListPublished(std::string_view, base::TimePoint) { return {}; }

Actions ControlPath::platformReadEnded(std::string_view, ReadStatus, base::TimePoint) { return {}; }

Actions ControlPath::peerMessage(const PeerMessage&, base::TimePoint) { return {}; }

Actions ControlPath::tick(base::TimePoint) { return {}; }

Readiness ControlPath::readiness(base::TimePoint) const
{
    if (m_shared.table.load()->version == 0)
        return { false, base::RefusalCode::NotReady, "no table" };
    if (m_shared.catalog.load()->version == 0)
        return { false, base::RefusalCode::NotReady, "no catalogue" };
    return { true, base::RefusalCode::NotReady, {} };
}

}
