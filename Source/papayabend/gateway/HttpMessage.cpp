#include "papayabend/gateway/HttpMessage.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <vector>

namespace papayabend::gateway {

namespace {

    bool isSameName(std::string_view first, std::string_view second)
    {
        return boost::beast::iequals(toBeast(first), toBeast(second));
    }

    bool isHopByHop(http::field name, std::string_view text)
    {
        switch (name) {
        case http::field::connection:
        case http::field::keep_alive:
        case http::field::proxy_connection:
        case http::field::proxy_authenticate:
        case http::field::proxy_authorization:
        case http::field::te:
        case http::field::trailer:
        case http::field::transfer_encoding:
        case http::field::upgrade:
        case http::field::expect:
        case http::field::content_length:
            return true;
        default:
            return isSameName(text, "HTTP2-Settings");
        }
    }

}

std::string_view toView(boost::beast::string_view text) { return { text.data(), text.size() }; }

boost::beast::string_view toBeast(std::string_view text) { return { text.data(), text.size() }; }

std::string endToEndFields(const http::fields& fields, std::initializer_list<std::string_view> excluded)
{
    std::vector<std::string_view> named;
    auto range = fields.equal_range(http::field::connection);
    for (auto it = range.first; it != range.second; ++it) {
        for (const auto& token : http::token_list(it->value()))
            named.push_back(toView(token));
    }
    std::string text;
    for (const auto& field : fields) {
        auto name = toView(field.name_string());
        auto isSame = [name](auto other) { return isSameName(name, other); };
        if (isHopByHop(field.name(), name) || std::ranges::any_of(named, isSame)
            || std::ranges::any_of(excluded, isSame))
            continue;
        text += name;
        text += ": ";
        text += toView(field.value());
        text += "\r\n";
    }
    return text;
}

std::string requestText(
    std::string_view method, std::string_view target, std::string_view fields, std::string_view body, bool needsLength)
{
    std::string text;
    text.reserve(method.size() + target.size() + fields.size() + body.size() + 64);
    text += method;
    text += ' ';
    text += target;
    text += " HTTP/1.1\r\n";
    text += fields;
    if (needsLength)
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n";
    text += body;
    return text;
}

std::string answerText(const Answer& answer, bool isHead, bool closes)
{
    std::string text = "HTTP/1.1 " + std::to_string(answer.status) + ' ';
    text += answer.reason.empty() ? toView(http::obsolete_reason(http::int_to_status(answer.status))) : answer.reason;
    text += "\r\n";
    text += answer.fields;
    auto hasNoBody = answer.status == 204 || answer.status == 304;
    if (isHead && answer.declaredLength)
        text += "Content-Length: " + *answer.declaredLength + "\r\n";
    else if (!hasNoBody)
        text += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    if (closes)
        text += "Connection: close\r\n";
    text += "\r\n";
    if (!isHead && !hasNoBody)
        text += answer.body;
    return text;
}

Answer plainAnswer(unsigned status, std::string_view reason)
{
    Answer answer;
    answer.status = status;
    answer.fields = "Content-Type: application/json\r\n";
    // The reason may quote bytes of a peer that are not valid UTF-8.
    answer.body
        = nlohmann::json({ { "error", reason } }).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return answer;
}

std::optional<uint64_t> parseNumber(std::string_view text)
{
    uint64_t number = 0;
    const auto* end = text.data() + text.size();
    auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end)
        return std::nullopt;
    return number;
}

void removeFront(std::string& buf, size_t n)
{
    constexpr size_t keptCapacity = 4096;
    if (n == buf.size() && buf.capacity() > keptCapacity)
        std::string().swap(buf); // the assignment of an empty text would keep the memory
    else
        buf.erase(0, n);
}

std::string_view fieldOf(const HttpResponse& answer, const std::string& name)
{
    auto it = answer.find(toBeast(name));
    return it == answer.end() ? std::string_view() : toView(it->value());
}

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

bool isNotRunStatus(unsigned status) { return status == 429 || status == 503 || status == 408 || status == 421; }

}
