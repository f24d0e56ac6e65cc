#include "papayabend/gateway/Exchange.h"
#include "papayabend/gateway/SuspectLog.h"

#include <algorithm>

namespace papayabend::gateway {

namespace {

    // Pause after which a request that may end upstreams looks again whether one has answered it.
    constexpr base::Duration suspectPause { std::chrono::milliseconds(10) };
    // Pause before the next look whether the content has been refreshed after the process was paused.
    constexpr base::Duration stalePause { std::chrono::milliseconds(25) };

}

void Exchange::recordLoss(const Subrequest& subrequest, const Attempt& attempt, base::TimePoint now)
{
    const auto* entry = m_state.content.upstreams().find(attempt.upstream);
    if (!entry)
        return;
    auto upstream = dispatch::keyOf(entry->record);
    m_state.suspects.addLoss(m_fingerprint, upstream, subrequest.service, now);
    auto log = [&state = m_state, fingerprint = m_fingerprint, id = m_id, name = attempt.upstream](
                   std::string_view source, base::TimePoint at) {
        logSuspect(state.log, { source, fingerprint, state.suspects.losses(fingerprint, at), id, name }, at);
    };
    log("attempt", now);
    m_state.pool.probe(
        attempt.upstream, [&state = m_state, fingerprint = m_fingerprint, upstream, log = std::move(log)] {
            auto at = base::BootClock::now();
            state.suspects.voidLoss(fingerprint, upstream, at);
            log("probe", at);
        });
}

void Exchange::recordRun(const Subrequest& subrequest, const Attempt& attempt, base::TimePoint now)
{
    if (m_state.suspects.addAnswer(m_fingerprint, subrequest.service, now))
        logSuspect(m_state.log,
            { "answer", m_fingerprint, m_state.suspects.losses(m_fingerprint, now), m_id, attempt.upstream }, now);
}

bool Exchange::holdRetry(Subrequest& subrequest, base::TimePoint now)
{
    if (m_state.isStale) {
        subrequest.retryAt = now + stalePause;
        return true;
    }
    auto isInFlight = std::ranges::any_of(m_subrequests, [](const auto& it) { return it.history.inFlight > 0; });
    if (!isInFlight || !m_state.suspects.isRefused(m_fingerprint, now))
        return false;
    subrequest.retryAt = now + suspectPause;
    return true;
}

}
