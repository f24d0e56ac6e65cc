#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/settings/ObjectReader.h"

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace papayabend::settings {

/** Returns the contents of \a file. */
std::optional<std::string> readText(const std::string& file, base::LastReason& reason);

/** Parses JSON with comments into a T, whose keys are described by visit(keys, T&). Fails if a section in \a required
 * is absent. \a file is the name used in error messages. */
template <typename T>
std::optional<T> parseDescribed(
    std::string_view text, std::string_view file, std::initializer_list<const char*> required, base::LastReason& reason)
{
    reason.text.clear();
    Json json;
    try {
        json = Json::parse(text, nullptr, true, true);
    } catch (const Json::exception& error) {
        return base::fail(reason, std::string(file) + ": " + error.what());
    }
    T settings;
    ObjectReader reader(file, {}, json, reason);
    visit(reader, settings);
    reader.refuseUnknownKeys();
    for (const auto* section : required) {
        if (reason.text.empty() && !json.contains(section))
            reason.text = std::string(file) + ": " + section + ": is required";
    }
    if (!reason.text.empty())
        return std::nullopt;
    return settings;
}

/** Returns \a settings as JSON that parseDescribed() accepts. */
template <typename T> std::string printDescribed(const T& settings)
{
    Json json = Json::object();
    ObjectWriter writer(json);
    auto copy = settings;
    visit(writer, copy);
    return json.dump(2);
}

}
