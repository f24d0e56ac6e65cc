#include "papayabend/table/Table.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <array>
#include <boost/tokenizer.hpp>
#include <cctype>
#include <charconv>
#include <span>
#include <stdexcept>

namespace papayabend::table {

namespace {

    // The configuration service stores values of up to 1 MB.
    constexpr size_t maxTextBytes = 1 << 20;
    constexpr size_t maxNameLength = 64;
    constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

    // Thrown at the first error, which rejects the whole table.
    struct TableError : std::runtime_error {
        using std::runtime_error::runtime_error;
    };

    // Position of a cell, for error messages.
    struct CellPosition {
        size_t line { 0 };
        std::string_view account;
        std::string_view service;
    };

    [[noreturn]] void reject(const CellPosition& position, std::string_view value, const std::string& problem)
    {
        auto text = "line " + std::to_string(position.line);
        if (!position.account.empty())
            text += ", account '" + std::string(position.account) + "'";
        if (!position.service.empty())
            text += ", service '" + std::string(position.service) + "'";
        throw TableError(text + ": value '" + std::string(value) + "' " + problem);
    }

    std::string_view trim(std::string_view text)
    {
        constexpr std::string_view blanks = " \t\r";
        auto first = text.find_first_not_of(blanks);
        return first == text.npos ? std::string_view() : text.substr(first, text.find_last_not_of(blanks) - first + 1);
    }

    // Splits one line of CSV. Drops empty cells at its end, which spreadsheets add so that all rows have the same
    // length.
    std::vector<std::string> splitCells(std::string_view line, size_t lineNumber)
    {
        if (std::ranges::count(line, '"') % 2)
            reject({ lineNumber, {}, {} }, line, "has an unpaired quote; a cell must end on its line");
        std::vector<std::string> cells;
        try {
            using Separator = boost::escaped_list_separator<char>;
            boost::tokenizer<Separator, std::string_view::const_iterator> tokens(line.begin(), line.end(), Separator());
            std::ranges::transform(
                tokens, std::back_inserter(cells), [](const std::string& it) { return std::string(trim(it)); });
        } catch (const boost::escaped_list_error& error) {
            reject({ lineNumber, {}, {} }, line, std::string("is not valid CSV: ") + error.what());
        }
        while (!cells.empty() && cells.back().empty())
            cells.pop_back();
        return cells;
    }

    void checkName(const CellPosition& position, std::string_view name)
    {
        auto isAllowed = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
        if (name.empty() || name.size() > maxNameLength || !std::ranges::all_of(name, isAllowed))
            reject(position, name, "is not a name (1 to 64 letters, digits, '-', '_' or '.')");
    }

    struct Range {
        double minimum;
        double maximum;
        std::string_view text;
    };

    constexpr Range weightRange { 0.001, 1000, "0.001 to 1000" };
    constexpr Range limitRange { 0.01, 10'000'000, "0.01/s to 10000000/s" };
    constexpr Range latencyRange { 1, 600'000, "1ms to 600s" };
    constexpr Range shareRange { 0.5, 0.999999, "0.5 to 0.999999" };

    double parseNumber(const CellPosition& position, std::string_view cell, std::string_view text, const Range& range)
    {
        double value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size()
            || !(value >= range.minimum && value <= range.maximum))
            reject(position, cell, "is not allowed (" + std::string(range.text) + ")");
        return value;
    }

    using Setter = void (*)(const CellPosition&, std::string_view cell, std::string_view value, void* target);

    struct Key {
        std::string_view name;
        Setter set;
    };

    void setLimit(const CellPosition& position, std::string_view cell, std::string_view value, void* target)
    {
        if (!value.ends_with("/s"))
            reject(position, cell, "is not a limit (" + std::string(limitRange.text) + ")");
        static_cast<Grant*>(target)->limitPerSecond
            = parseNumber(position, cell, value.substr(0, value.size() - 2), limitRange);
    }

    void setPriority(const CellPosition& position, std::string_view cell, std::string_view value, void* target)
    {
        if (value != "interactive" && value != "bulk")
            reject(position, cell, "is not allowed (interactive, bulk)");
        static_cast<Grant*>(target)->priority = value == "bulk" ? Priority::Bulk : Priority::Interactive;
    }

    void setLatency(const CellPosition& position, std::string_view cell, std::string_view value, void* target)
    {
        auto isMilliseconds = value.ends_with("ms");
        if (!value.ends_with("s"))
            reject(position, cell, "is not a time (" + std::string(latencyRange.text) + ")");
        auto number = value.substr(0, value.size() - (isMilliseconds ? 2 : 1));
        constexpr Range secondsRange { latencyRange.minimum / 1000, latencyRange.maximum / 1000, latencyRange.text };
        auto milliseconds = isMilliseconds ? parseNumber(position, cell, number, latencyRange)
                                           : 1000 * parseNumber(position, cell, number, secondsRange);
        static_cast<Objective*>(target)->latency = base::Duration(static_cast<int64_t>(1000 * milliseconds));
    }

    template <double Objective::*member>
    void setShare(const CellPosition& position, std::string_view cell, std::string_view value, void* target)
    {
        static_cast<Objective*>(target)->*member = parseNumber(position, cell, value, shareRange);
    }

    constexpr std::array grantKeys {
        Key { "weight",
            [](const CellPosition& position, std::string_view cell, std::string_view value, void* target) {
                static_cast<Grant*>(target)->weight = parseNumber(position, cell, value, weightRange);
            } },
        Key { "limit", setLimit },
        Key { "priority", setPriority },
    };

    constexpr std::array objectiveKeys {
        Key { "latency", setLatency },
        Key { "latencyTarget", setShare<&Objective::latencyTarget> },
        Key { "coverage", setShare<&Objective::coverage> },
        Key { "availability", setShare<&Objective::availability> },
    };

    // Parses a cell of the form "key=value key=value" into target. Each key may occur once.
    template <typename Keys, typename Target>
    void parseCell(const CellPosition& position, std::string_view cell, const Keys& keys, Target& target)
    {
        std::vector<std::string_view> seen;
        boost::tokenizer<boost::char_separator<char>, std::string_view::const_iterator> words(
            cell.begin(), cell.end(), boost::char_separator<char>(" \t"));
        for (const std::string& word : words) {
            auto equals = word.find('=');
            auto name = std::string_view(word).substr(0, equals);
            auto key = std::ranges::find(keys, name, &Key::name);
            if (equals == word.npos || key == keys.end()) {
                std::string allowed;
                for (const auto& it : keys)
                    allowed += (allowed.empty() ? "" : " ") + std::string(it.name) + "=";
                reject(position, word, "is not known (" + allowed + ", or - for none)");
            }
            if (std::ranges::find(seen, key->name) != seen.end())
                reject(position, word, "repeats a key (once in a cell)");
            seen.push_back(key->name);
            key->set(position, word, std::string_view(word).substr(equals + 1), &target);
        }
        if (seen.empty())
            reject(position, cell, "is empty (write - for none)");
    }

    class Parser {
    public:
        Table parse(std::string_view text);

    private:
        void parseVersion(const std::vector<std::string>& cells);
        void parseServices(const std::vector<std::string>& cells);
        void parseObjectives(const std::vector<std::string>& cells);
        void parseAccount(const std::vector<std::string>& cells);
        void checkWidth(const std::vector<std::string>& cells) const;

        Table m_table;
        size_t m_line { 0 };
    };

    void Parser::parseVersion(const std::vector<std::string>& cells)
    {
        constexpr auto allowed = "is not valid (first line: version,<number from 1>)";
        if (cells.size() != 2 || cells[0] != "version")
            reject({ m_line, {}, {} }, cells[0], allowed);
        const auto& number = cells[1];
        auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), m_table.version);
        if (error != std::errc() || end != number.data() + number.size() || m_table.version == 0)
            reject({ m_line, {}, {} }, number, allowed);
    }

    void Parser::parseServices(const std::vector<std::string>& cells)
    {
        if (cells.size() < 2 || cells[0] != "account")
            reject({ m_line, {}, {} }, cells[0], "is not valid (second line: account,<service>,<service>...)");
        for (const auto& service : std::span(cells).subspan(1)) {
            checkName({ m_line, {}, service }, service);
            if (std::ranges::find(m_table.services, service) != m_table.services.end())
                reject({ m_line, {}, service }, service, "repeats a service (one column each)");
            m_table.services.push_back(service);
        }
    }

    void Parser::checkWidth(const std::vector<std::string>& cells) const
    {
        if (cells.size() > m_table.services.size() + 1)
            reject({ m_line, cells[0], {} }, cells.back(), "is in a column without a service");
        if (cells.size() < m_table.services.size() + 1)
            reject({ m_line, cells[0], m_table.services[cells.size() - 1] }, "", "is empty (write - for none)");
    }

    void Parser::parseObjectives(const std::vector<std::string>& cells)
    {
        if (!m_table.rows.empty() || !m_table.objectives.empty())
            reject({ m_line, cells[0], {} }, cells[0], "is not valid here (once, before the accounts)");
        checkWidth(cells);
        for (size_t n = 0; n < m_table.services.size(); ++n) {
            if (cells[n + 1] == "-")
                continue;
            Objective objective;
            objective.service = m_table.services[n];
            parseCell({ m_line, cells[0], objective.service }, cells[n + 1], objectiveKeys, objective);
            m_table.objectives.push_back(std::move(objective));
        }
    }

    void Parser::parseAccount(const std::vector<std::string>& cells)
    {
        checkName({ m_line, cells[0], {} }, cells[0]);
        checkWidth(cells);
        Row row { cells[0], {} };
        for (size_t n = 0; n < m_table.services.size(); ++n) {
            auto& grant = row.grants.emplace_back();
            if (cells[n + 1] != "-")
                parseCell({ m_line, cells[0], m_table.services[n] }, cells[n + 1], grantKeys, grant.emplace());
        }
        m_table.rows.push_back(std::move(row));
    }

    Table Parser::parse(std::string_view text)
    {
        if (text.size() > maxTextBytes)
            reject({}, std::to_string(text.size()) + " bytes", "is too long (up to 1 MB)");
        m_table.contentHash = base::hash(text);
        if (text.starts_with(byteOrderMark))
            text.remove_prefix(byteOrderMark.size());
        while (!text.empty()) {
            ++m_line;
            auto lineLength = std::min(text.find('\n'), text.size());
            auto cells = splitCells(text.substr(0, lineLength), m_line);
            text.remove_prefix(std::min(lineLength + 1, text.size()));
            if (cells.empty())
                continue;
            if (m_table.version == 0)
                parseVersion(cells);
            else if (m_table.services.empty())
                parseServices(cells);
            else if (cells[0] == "@objective")
                parseObjectives(cells);
            else
                parseAccount(cells);
        }
        if (m_table.services.empty())
            reject({ std::max<size_t>(m_line, 1), {}, {} }, "", "ends the table (at least version and account lines)");
        std::ranges::stable_sort(m_table.rows, {}, &Row::account);
        auto repeated = std::ranges::adjacent_find(m_table.rows, {}, &Row::account);
        if (repeated != m_table.rows.end())
            reject({ m_line, repeated->account, {} }, repeated->account, "repeats an account (one row each)");
        return std::move(m_table);
    }

}

std::optional<Table> parseTable(std::string_view text, base::LastReason& reason)
{
    try {
        return Parser().parse(text);
    } catch (const TableError& error) {
        return base::fail(reason, error.what());
    }
}

}
