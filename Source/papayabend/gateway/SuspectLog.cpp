#include "papayabend/gateway/SuspectLog.h"

#include <charconv>
#include <string>

namespace papayabend::gateway {

namespace {

    std::string toHex(uint64_t number)
    {
        constexpr int base = 16;
        std::string digits(base, '0');
        auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, base).ptr;
        digits.resize(static_cast<size_t>(end - digits.data()));
        return digits;
    }

}

void logSuspect(EventLog& log, const SuspectChange& change, base::TimePoint now)
{
    LogFields fields;
    fields.add("source", change.source).add("fingerprint", toHex(change.fingerprint));
    fields.add("losses", static_cast<int64_t>(change.losses));
    if (!change.requestId.empty())
        fields.add("id", change.requestId);
    if (!change.upstream.empty())
        fields.add("upstream", change.upstream);
    log.write(LineClass::Change, "suspect", fields, now);
}

}
