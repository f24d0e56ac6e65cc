#include "papayabend/execution/TicketRecord.h"

#include <array>
#include <charconv>

namespace papayabend::execution {

namespace {

    constexpr int hexadecimal = 16;

    std::string toHex(uint64_t number)
    {
        std::array<char, hexadecimal> buf {};
        auto end = std::to_chars(buf.data(), buf.data() + buf.size(), number, hexadecimal).ptr;
        return { buf.data(), end };
    }

    std::optional<uint64_t> parseHex(std::string_view text)
    {
        uint64_t number = 0;
        const auto* last = text.data() + text.size();
        auto [end, ec] = std::from_chars(text.data(), last, number, hexadecimal);
        if (ec != std::errc() || end != last)
            return std::nullopt;
        return number;
    }

}

std::string toString(const TicketId& id) { return id.host + '.' + toHex(id.incarnation) + '.' + toHex(id.sequence); }

std::optional<TicketId> parseTicketId(std::string_view text, base::LastReason& reason)
{
    auto sequenceDot = text.rfind('.');
    if (sequenceDot == std::string_view::npos || sequenceDot == 0)
        return base::fail(reason, "a ticket must have the form host.incarnation.sequence");
    auto incarnationDot = text.rfind('.', sequenceDot - 1);
    if (incarnationDot == std::string_view::npos || incarnationDot == 0)
        return base::fail(reason, "a ticket must have the form host.incarnation.sequence");
    auto incarnation = parseHex(text.substr(incarnationDot + 1, sequenceDot - incarnationDot - 1));
    auto sequence = parseHex(text.substr(sequenceDot + 1));
    if (!incarnation || !sequence)
        return base::fail(reason, "the incarnation and the sequence number of a ticket must be hexadecimal numbers");
    return TicketId { std::string(text.substr(0, incarnationDot)), *incarnation, *sequence };
}

std::string_view toString(TicketState state)
{
    constexpr std::array<std::string_view, 4> names { "unused", "sent", "finished", "closed" };
    return names[static_cast<size_t>(state)];
}

}
