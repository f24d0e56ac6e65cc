#pragma once

#include "papayabend/base/LastReason.h"
#include "papayabend/base/Time.h"

#include <concepts>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayabend::settings {

using Json = nlohmann::ordered_json;

/** \class ObjectReader
 * \brief Reads the keys of one JSON object into fields and keeps the first error.
 *
 * A key that is absent leaves the field at its default. ObjectReader has the same member functions as
 * ObjectWriter, so one visit() function serves for reading and writing.
 */
class ObjectReader {
public:
    /** \a path is the key of the object in the file, empty for the outermost object. */
    ObjectReader(std::string_view file, std::string path, const Json& object, base::LastReason& reason);

    template <std::unsigned_integral T> void number(const char* key, T& field, uint64_t min, uint64_t max)
    {
        if (auto value = numberOf(key, min, max))
            field = static_cast<T>(*value);
    }
    void milliseconds(const char* key, base::Duration& field, int64_t min, int64_t max);
    void fraction(const char* key, double& field, double min, double max);
    void flag(const char* key, bool& field);
    /** Reads a non-empty string; the key is required. */
    void name(const char* key, std::string& field);
    /** Reads a string, which may be empty. */
    void text(const char* key, std::string& field);
    /** Reads an IP address and port; the key is required. */
    void address(const char* key, std::string& field);
    void addresses(const char* key, std::vector<std::string>& field);
    void choice(const char* key, std::string& field, std::span<const std::string_view> allowed);

    template <typename T> void section(const char* key, T& field)
    {
        const auto* value = find(key);
        if (!value)
            return;
        ObjectReader reader(m_file, pathOf(key), *value, m_reason);
        visit(reader, field);
        reader.refuseUnknownKeys();
    }

    /** Reports keys that were not read as errors and suggests the most similar known key. */
    void refuseUnknownKeys();

private:
    std::optional<uint64_t> numberOf(const char* key, uint64_t min, uint64_t max);
    const Json* find(const char* key);
    const Json* require(const char* key);
    std::string pathOf(std::string_view key) const;
    void fail(std::string_view key, const Json* value, const std::string& problem);

    std::string m_file;
    std::string m_path;
    const Json& m_object;
    base::LastReason& m_reason;
    std::vector<std::string> m_known;
};

/** \class ObjectWriter
 * \brief Writes fields into one JSON object.
 */
class ObjectWriter {
public:
    explicit ObjectWriter(Json& object)
        : m_object(object)
    {
    }

    void number(const char* key, uint64_t field, uint64_t, uint64_t) { m_object[key] = field; }
    void milliseconds(const char* key, base::Duration field, int64_t, int64_t) { m_object[key] = field.count() / 1000; }
    void fraction(const char* key, double field, double, double) { m_object[key] = field; }
    void flag(const char* key, bool field) { m_object[key] = field; }
    void name(const char* key, const std::string& field) { m_object[key] = field; }
    void text(const char* key, const std::string& field) { m_object[key] = field; }
    void address(const char* key, const std::string& field) { m_object[key] = field; }
    void addresses(const char* key, const std::vector<std::string>& field) { m_object[key] = field; }
    void choice(const char* key, const std::string& field, std::span<const std::string_view>) { m_object[key] = field; }

    template <typename T> void section(const char* key, T& field)
    {
        m_object[key] = Json::object();
        ObjectWriter writer(m_object[key]);
        visit(writer, field);
    }

private:
    Json& m_object;
};

/** Returns the entry of \a known with the smallest edit distance to \a key, or an empty string if none is similar. */
std::string nearest(std::string_view key, std::span<const std::string> known);

/** Returns whether \a text is an IP address and a port from 1 to 65535, for example "127.0.0.1:8080". */
bool isAddress(const std::string& text);

}
