#include "papayabend/dissemination/RowDelta.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <charconv>
#include <unordered_map>

namespace papayabend::dissemination {

namespace {

    // Twice the largest value that the platform publishes.
    constexpr size_t maxResultBytes = 2 << 20;

    // Operations: "=<first row>,<rows>\n" copies rows of the base, "+<bytes>\n<text>" inserts text.
    void appendCopy(std::string& delta, size_t first, size_t count)
    {
        if (count > 0)
            delta += "=" + std::to_string(first) + "," + std::to_string(count) + "\n";
    }

    void appendInsert(std::string& delta, std::string_view text)
    {
        if (!text.empty())
            delta += "+" + std::to_string(text.size()) + "\n" + std::string(text);
    }

    std::optional<size_t> consumeNumber(std::string_view& text, char terminator)
    {
        size_t number = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end == text.data() + text.size() || *end != terminator)
            return std::nullopt;
        text.remove_prefix(static_cast<size_t>(end - text.data()) + 1);
        return number;
    }

    bool copyRows(const std::vector<std::string_view>& rows, std::string_view& delta, std::string& result)
    {
        auto first = consumeNumber(delta, ',');
        auto count = first ? consumeNumber(delta, '\n') : std::nullopt;
        if (!count || *first > rows.size() || *count > rows.size() - *first || *count == 0)
            return false;
        const auto* begin = rows[*first].data();
        const auto& last = rows[*first + *count - 1];
        result.append(begin, last.data() + last.size());
        return true;
    }

    bool insertText(std::string_view& delta, std::string& result)
    {
        auto size = consumeNumber(delta, '\n');
        if (!size || *size > delta.size())
            return false;
        result += delta.substr(0, *size);
        delta.remove_prefix(*size);
        return true;
    }

    // Returns the text from the start of row first to the end of row last; both are views of the same text.
    std::string_view textBetween(std::string_view first, std::string_view last)
    {
        return { first.data(), static_cast<size_t>(last.data() + last.size() - first.data()) };
    }

    // Appends the operations for the rows begin to end of after, which lie between the common rows at both ends.
    void appendMiddle(std::string& delta, const std::vector<std::string_view>& before,
        const std::vector<std::string_view>& after, size_t begin, size_t end)
    {
        std::unordered_map<std::string_view, size_t> positions;
        for (size_t n = 0; n < before.size(); ++n)
            positions.try_emplace(before[n], n);
        for (auto n = begin; n < end;) {
            auto it = positions.find(after[n]);
            auto first = n;
            if (it == positions.end()) {
                while (n < end && !positions.contains(after[n]))
                    ++n;
                appendInsert(delta, textBetween(after[first], after[n - 1]));
                continue;
            }
            auto source = it->second;
            while (n < end && source + (n - first) < before.size() && before[source + (n - first)] == after[n])
                ++n;
            appendCopy(delta, source, n - first);
        }
    }

}

std::vector<std::string_view> splitRows(std::string_view text)
{
    std::vector<std::string_view> rows;
    while (!text.empty()) {
        auto end = text.find_first_of("\n}");
        auto length = end == text.npos ? text.size() : end + 1;
        rows.push_back(text.substr(0, length));
        text.remove_prefix(length);
    }
    return rows;
}

std::string rowDelta(std::string_view before, std::string_view after)
{
    auto oldRows = splitRows(before);
    auto newRows = splitRows(after);
    auto shorter = std::min(oldRows.size(), newRows.size());
    size_t commonHead = 0;
    while (commonHead < shorter && oldRows[commonHead] == newRows[commonHead])
        ++commonHead;
    size_t commonTail = 0;
    while (commonTail < shorter - commonHead
        && oldRows[oldRows.size() - 1 - commonTail] == newRows[newRows.size() - 1 - commonTail])
        ++commonTail;
    std::string delta;
    appendCopy(delta, 0, commonHead);
    appendMiddle(delta, oldRows, newRows, commonHead, newRows.size() - commonTail);
    appendCopy(delta, oldRows.size() - commonTail, commonTail);
    return delta;
}

std::optional<std::string> applyRowDelta(std::string_view before, std::string_view delta, base::LastReason& reason)
{
    auto rows = splitRows(before);
    std::string result;
    while (!delta.empty()) {
        auto operation = delta.front();
        delta.remove_prefix(1);
        auto isApplied
            = operation == '=' ? copyRows(rows, delta, result) : operation == '+' && insertText(delta, result);
        if (!isApplied)
            return base::fail(reason, "delta is malformed or does not match its base version");
        if (result.size() > maxResultBytes)
            return base::fail(reason, "result of the delta is larger than 2 MB");
    }
    return result;
}

}
