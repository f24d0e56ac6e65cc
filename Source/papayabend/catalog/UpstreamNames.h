#pragma once

#include <cstdint>
#include <shared_mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayabend::catalog {

/** Number of an upstream within this process. It stays the same in later catalogue versions and is never reused. */
enum class UpstreamId : uint32_t {};

constexpr size_t toIndex(UpstreamId id) { return static_cast<size_t>(id); }

/** \class UpstreamNames
 * \brief Assigns a number to each upstream name. Thread-safe.
 */
class UpstreamNames {
public:
    /** Returns the number of \a name; assigns the next number if the name is new. */
    UpstreamId intern(std::string_view name);
    std::string name(UpstreamId) const;
    size_t size() const;

private:
    mutable std::shared_mutex m_mutex;
    std::unordered_map<std::string, UpstreamId> m_ids;
    std::vector<std::string> m_names;
};

}
