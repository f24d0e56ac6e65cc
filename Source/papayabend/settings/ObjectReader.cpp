#include "papayabend/settings/ObjectReader.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <numeric>
#include <sstream>

namespace papayabend::settings {

namespace {

    size_t editDistance(std::string_view first, std::string_view second)
    {
        std::vector<size_t> row(second.size() + 1);
        std::iota(row.begin(), row.end(), 0);
        for (size_t n = 0; n < first.size(); ++n) {
            auto diagonal = row[0];
            row[0] = n + 1;
            for (size_t it = 0; it < second.size(); ++it) {
                auto replaced = diagonal + (first[n] == second[it] ? 0 : 1);
                diagonal = row[it + 1];
                row[it + 1] = std::min({ replaced, row[it] + 1, diagonal + 1 });
            }
        }
        return row.back();
    }

    std::string join(std::span<const std::string_view> texts)
    {
        std::string joined;
        for (auto text : texts)
            joined += (joined.empty() ? "\"" : ", \"") + std::string(text) + '"';
        return joined;
    }

    std::string rangeOf(const char* kind, auto min, auto max)
    {
        std::ostringstream text;
        text << "must be " << kind << " from " << min << " to " << max;
        return text.str();
    }

    constexpr auto addressProblem = "must be an IP address and port such as \"127.0.0.1:8080\"";

}

std::string nearest(std::string_view key, std::span<const std::string> known)
{
    auto distanceTo = [&](const std::string& it) { return editDistance(key, it); };
    auto it = std::ranges::min_element(known, {}, distanceTo);
    return it == known.end() || distanceTo(*it) > std::max<size_t>(2, key.size() / 2) ? std::string() : *it;
}

bool isAddress(const std::string& text)
{
    auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    auto ip = text.substr(0, colon);
    unsigned port = 0;
    const auto* end = text.data() + text.size();
    auto [rest, ec] = std::from_chars(text.data() + colon + 1, end, port);
    if (ec != std::errc() || rest != end || port < 1 || port > 65535)
        return false;
    in_addr ip4 {};
    in6_addr ip6 {};
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']')
        return inet_pton(AF_INET6, ip.substr(1, ip.size() - 2).c_str(), &ip6) == 1;
    return inet_pton(AF_INET, ip.c_str(), &ip4) == 1;
}

ObjectReader::ObjectReader(std::string_view file, std::string path, const Json& object, base::LastReason& reason)
    : m_file(file)
    , m_path(std::move(path))
    , m_object(object)
    , m_reason(reason)
{
    if (!object.is_object() && m_reason.text.empty())
        m_reason.text = m_file + ": " + (m_path.empty() ? "the file" : m_path) + ": must be an object";
}

std::string ObjectReader::pathOf(std::string_view key) const
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

void ObjectReader::fail(std::string_view key, const Json* value, const std::string& problem)
{
    if (m_reason.text.empty())
        m_reason.text = m_file + ": " + pathOf(key) + (value ? " = " + value->dump() : "") + ": " + problem;
}

const Json* ObjectReader::find(const char* key)
{
    m_known.emplace_back(key);
    if (!m_object.is_object())
        return nullptr;
    auto it = m_object.find(key);
    return it == m_object.end() ? nullptr : &*it;
}

const Json* ObjectReader::require(const char* key)
{
    const auto* value = find(key);
    if (!value)
        fail(key, nullptr, "is required");
    return value;
}

std::optional<uint64_t> ObjectReader::numberOf(const char* key, uint64_t min, uint64_t max)
{
    const auto* value = find(key);
    if (!value)
        return std::nullopt;
    if (value->is_number_unsigned() && value->get<uint64_t>() >= min && value->get<uint64_t>() <= max)
        return value->get<uint64_t>();
    fail(key, value, rangeOf("a whole number", min, max));
    return std::nullopt;
}

void ObjectReader::milliseconds(const char* key, base::Duration& field, int64_t min, int64_t max)
{
    const auto* value = find(key);
    if (!value)
        return;
    if (!value->is_number_unsigned() || value->get<uint64_t>() < static_cast<uint64_t>(min)
        || value->get<uint64_t>() > static_cast<uint64_t>(max))
        fail(key, value, rangeOf("a whole number of milliseconds", min, max));
    else
        field = std::chrono::milliseconds(value->get<int64_t>());
}

void ObjectReader::fraction(const char* key, double& field, double min, double max)
{
    const auto* value = find(key);
    if (!value)
        return;
    if (!value->is_number() || value->get<double>() < min || value->get<double>() > max)
        fail(key, value, rangeOf("a number", min, max));
    else
        field = value->get<double>();
}

void ObjectReader::flag(const char* key, bool& field)
{
    const auto* value = find(key);
    if (value && !value->is_boolean())
        fail(key, value, "must be true or false");
    else if (value)
        field = value->get<bool>();
}

void ObjectReader::name(const char* key, std::string& field)
{
    const auto* value = require(key);
    if (value && (!value->is_string() || value->get_ref<const std::string&>().empty()))
        fail(key, value, "must be a non-empty string");
    else if (value)
        field = value->get<std::string>();
}

void ObjectReader::text(const char* key, std::string& field)
{
    const auto* value = find(key);
    if (value && !value->is_string())
        fail(key, value, "must be a string");
    else if (value)
        field = value->get<std::string>();
}

void ObjectReader::address(const char* key, std::string& field)
{
    const auto* value = require(key);
    if (value && (!value->is_string() || !isAddress(value->get<std::string>())))
        fail(key, value, addressProblem);
    else if (value)
        field = value->get<std::string>();
}

void ObjectReader::addresses(const char* key, std::vector<std::string>& field)
{
    const auto* value = find(key);
    if (!value)
        return;
    auto isValid = [](const Json& it) { return it.is_string() && isAddress(it.get<std::string>()); };
    if (!value->is_array() || !std::ranges::all_of(*value, isValid))
        fail(key, value, std::string("must be a list, and each entry ") + addressProblem);
    else
        field = value->get<std::vector<std::string>>();
}

void ObjectReader::choice(const char* key, std::string& field, std::span<const std::string_view> allowed)
{
    const auto* value = find(key);
    if (!value)
        return;
    if (!value->is_string() || std::ranges::find(allowed, value->get<std::string>()) == allowed.end())
        fail(key, value, "must be one of " + join(allowed));
    else
        field = value->get<std::string>();
}

void ObjectReader::refuseUnknownKeys()
{
    if (!m_object.is_object())
        return;
    for (const auto& [key, value] : m_object.items()) {
        if (std::ranges::find(m_known, key) != m_known.end())
            continue;
        auto near = nearest(key, m_known);
        fail(
            key, &value, "unknown key" + (near.empty() ? std::string() : "; the nearest known key is " + pathOf(near)));
    }
}

}
