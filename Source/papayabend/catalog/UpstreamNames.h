#pragma once

#include <cstdint>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayabend::catalog {

/** Process-local number of an upstream; stable over catalogue versions and never reused. */
enum class UpstreamId : uint32_t {};

constexpr size_t toIndex(UpstreamId id) { return static_cast<size_t>(id); }

/** \class UpstreamNames
 * \brief Assigns each upstream name a number. Safe for use by several threads.
 */
class UpstreamNames {
public:
    /** Returns the number of \a name and assigns the next one to a new name. */
    UpstreamId intern(std::string_view name);
    std::string name(UpstreamId) const;
    size_t size() const;

private:
    mutable std::shared_mutex m_mutex;
    std::unordered_map<std::string, UpstreamId> m_ids;
    std::vector<std::string> m_names;
};

}
