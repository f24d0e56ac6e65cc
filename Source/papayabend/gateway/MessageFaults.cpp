#include "papayabend/gateway/MessageFaults.h"

namespace papayabend::gateway {

void MessageFaults::record(std::string_view source, std::string_view reason) noexcept
{
    ++m_count;
    if (!m_report)
        return;
    try {
        m_report(source, reason);
    } catch (...) { // NOLINT(bugprone-empty-catch)
        // Without memory for the log line, the count remains.
    }
}

}
