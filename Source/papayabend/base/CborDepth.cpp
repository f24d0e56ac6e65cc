#include "papayabend/base/CborDepth.h"

#include <optional>
#include <vector>

namespace papayabend::base {

namespace {

    enum MajorType : uint8_t {
        Unsigned,
        Negative,
        Bytes,
        Text,
        Array,
        Map,
        Tag,
        Simple,
    };

    struct Head {
        uint8_t type { Unsigned };
        uint64_t argument { 0 };
    };

    /** Takes the head of an item: its major type and its value, length or number of elements. */
    std::optional<Head> takeHead(std::span<const uint8_t>& bytes)
    {
        constexpr uint8_t firstLongArgument = 24;
        constexpr uint8_t lastLongArgument = 27;
        if (bytes.empty())
            return std::nullopt;
        Head head { static_cast<uint8_t>(bytes[0] >> 5), static_cast<uint64_t>(bytes[0] & 31) };
        bytes = bytes.subspan(1);
        if (head.argument < firstLongArgument)
            return head;
        if (head.argument > lastLongArgument)
            return std::nullopt;
        auto n = size_t { 1 } << (head.argument - firstLongArgument);
        if (bytes.size() < n)
            return std::nullopt;
        head.argument = 0;
        for (auto byte : bytes.first(n))
            head.argument = head.argument << 8 | byte;
        bytes = bytes.subspan(n);
        return head;
    }

}

bool isCborOfDepth(std::span<const uint8_t> bytes, size_t maxDepth)
{
    std::vector<uint64_t> open; // elements that are left in each open array or map
    do {
        auto head = takeHead(bytes);
        if (!head || head->type == Tag)
            return false;
        if (!open.empty())
            --open.back();
        if (head->type == Bytes || head->type == Text) {
            if (head->argument > bytes.size())
                return false;
            bytes = bytes.subspan(head->argument);
        } else if (head->type == Array || head->type == Map) {
            // Each element takes at least one byte.
            if (head->argument > bytes.size() || open.size() >= maxDepth)
                return false;
            open.push_back(head->type == Map ? 2 * head->argument : head->argument);
        }
        while (!open.empty() && open.back() == 0)
            open.pop_back();
    } while (!open.empty());
    return true;
}

}
