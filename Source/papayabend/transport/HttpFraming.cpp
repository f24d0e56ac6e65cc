#include "papayabend/transport/HttpFraming.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <optional>

namespace papayabend::transport {

namespace {

    constexpr std::string_view headerEnd = "\r\n\r\n";

    bool equalsIgnoringCase(std::string_view first, std::string_view second)
    {
        return std::ranges::equal(first, second, [](unsigned char a, unsigned char b) {
            return std::tolower(a) == std::tolower(b); // NOLINT(readability-identifier-naming)
        });
    }

    std::string_view trim(std::string_view text)
    {
        auto first = text.find_first_not_of(" \t");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    std::optional<size_t> parseLength(std::string_view text)
    {
        size_t length = 0;
        auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), length);
        if (ec != std::errc() || rest != text.data() + text.size())
            return std::nullopt;
        return length;
    }

}

std::string withoutFields(std::string_view request, std::span<const std::string_view> names)
{
    auto end = request.find(headerEnd);
    if (end == std::string_view::npos)
        return std::string(request);
    auto header = request.substr(0, end);
    std::string kept(header.substr(0, header.find("\r\n")));
    for (auto at = header.find("\r\n"); at != std::string_view::npos;) {
        auto next = header.find("\r\n", at + 2);
        auto line = header.substr(at, next == std::string_view::npos ? next : next - at);
        at = next;
        auto name = line.substr(2, line.find(':') - 2);
        if (std::ranges::none_of(names, [name](auto it) { return equalsIgnoringCase(name, it); }))
            kept += line;
    }
    return kept.append(request.substr(end));
}

HttpFrame frameOf(std::string_view buffer, size_t maxHeaderBytes, size_t maxBodyBytes)
{
    using State = HttpFrame::State;
    auto end = buffer.substr(0, maxHeaderBytes).find(headerEnd);
    if (end == std::string_view::npos)
        return { buffer.size() >= maxHeaderBytes ? State::HeaderTooLarge : State::Incomplete };
    auto lines = buffer.substr(0, end);
    std::optional<size_t> bodyLength;
    HttpFrame frame;
    frame.closeRequested = lines.substr(0, lines.find("\r\n")).ends_with("HTTP/1.0");
    for (auto at = lines.find("\r\n"); at != std::string_view::npos;) {
        auto next = lines.find("\r\n", at + 2);
        auto line = lines.substr(at + 2, next == std::string_view::npos ? next : next - at - 2);
        at = next;
        auto colon = line.find(':');
        if (colon == std::string_view::npos)
            return { State::Malformed };
        auto name = line.substr(0, colon);
        auto value = trim(line.substr(colon + 1));
        if (equalsIgnoringCase(name, "transfer-encoding"))
            return { State::LengthRequired };
        if (equalsIgnoringCase(name, "connection") && equalsIgnoringCase(value, "close"))
            frame.closeRequested = true;
        if (equalsIgnoringCase(name, "expect") && equalsIgnoringCase(value, "100-continue"))
            frame.expectsContinue = true;
        if (!equalsIgnoringCase(name, "content-length"))
            continue;
        auto length = parseLength(value);
        // Two different lengths would allow request smuggling: one request could be read as two.
        if (!length || (bodyLength && *bodyLength != *length))
            return { State::Malformed };
        bodyLength = length;
    }
    if (bodyLength.value_or(0) > maxBodyBytes)
        return { State::BodyTooLarge };
    frame.length = end + headerEnd.size() + bodyLength.value_or(0);
    frame.state = buffer.size() >= frame.length ? State::Complete : State::Incomplete;
    return frame;
}

}
