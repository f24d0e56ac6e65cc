#include "papayabend/gateway/Exchange.h"

#include <algorithm>
#include <ranges>

namespace papayabend::gateway {

namespace {

    // Share of the objective that must be left for a probe: an attempt that turns out slow, and one more after it.
    constexpr double minProbeShare = 0.75;

}

std::optional<dispatch::LearnedChoice> Exchange::learnedChoice(const Subrequest& subrequest, base::TimePoint now) const
{
    if (!m_state.settings.routing.learnsCapacity)
        return std::nullopt;
    auto left = std::min(m_objectiveAt, m_deadlineAt) - now;
    auto isRepeatable = policy().isIdempotent && m_route->maxAttempts > 1;
    auto hasTime = static_cast<double>(left.count()) >= minProbeShare * static_cast<double>(m_objective.count());
    auto isFirst = subrequest.tried.empty() && subrequest.history.inFlight == 0;
    return dispatch::LearnedChoice { left, isRepeatable, isRepeatable && isFirst && hasTime };
}

void Exchange::recordChoice(
    Subrequest& subrequest, std::span<const dispatch::Candidate> candidates, size_t chosen, Attempt& attempt) const
{
    if (!m_state.settings.routing.learnsCapacity)
        return;
    auto service = dispatch::serviceMean(candidates, attempt.createdAt);
    attempt.expected = dispatch::expectationOf(candidates[chosen], service, attempt.createdAt);
    for (const auto& candidate : candidates) {
        auto& passedOver = m_state.pool.load(candidate.entry->record.id).estimate.passedOver;
        passedOver = &candidate == &candidates[chosen] ? 0 : passedOver + 1;
    }
    std::erase_if(subrequest.estimates, [&](const auto& it) { return it.first == attempt.upstream; });
    subrequest.estimates.emplace_back(attempt.upstream, *attempt.expected);
}

std::optional<dispatch::AttemptEnd> Exchange::observedEnd(const CallResult& result) const
{
    using dispatch::AttemptEnd;
    if (result.end != CallEnd::Answered) {
        if (result.isWithheld)
            return std::nullopt;
        // After the end of the request, this host cancels the attempts itself.
        if (m_isFinished)
            return result.end == CallEnd::NotSent ? std::nullopt : std::optional(AttemptEnd::GivenUp);
        return result.end == CallEnd::NotSent ? AttemptEnd::Refused : AttemptEnd::Failed;
    }
    const auto& names = m_state.adapter.headers;
    if (!fieldOf(result.answer, names.notExecuted).empty())
        return AttemptEnd::Refused;
    auto status = result.answer.result_int();
    if (status >= 500)
        return AttemptEnd::Failed;
    if (!isSuccess(status))
        return std::nullopt;
    // The same rules as in handleAnswer().
    auto signature = fieldOf(result.answer, names.signature);
    auto isUsable = !signature.empty() && result.answer.count(http::field::content_encoding) == 0
        && !(isFanOut() && m_signatures.contains(std::string(signature)));
    return isUsable ? AttemptEnd::Answered : AttemptEnd::Failed;
}

void Exchange::recordEstimate(
    const Attempt& attempt, const CallResult& result, const std::optional<dispatch::StatedLoad>& stated)
{
    auto end = attempt.expected ? observedEnd(result) : std::nullopt;
    if (!end)
        return;
    auto now = base::BootClock::now();
    auto& load = m_state.pool.load(attempt.upstream);
    dispatch::AttemptResult observed { *end, attempt.isSent() ? now - attempt.sentAt : base::Duration(0),
        base::Duration(static_cast<int64_t>(m_latency->median)), m_objective, stated, load.sentAt.size() };
    dispatch::addResult(load.estimate, *attempt.expected, observed, now);
}

std::string Exchange::describeEstimate(const Subrequest& subrequest, const std::string& upstream)
{
    auto it = std::ranges::find(subrequest.estimates, upstream, [](const auto& each) { return each.first; });
    return it == subrequest.estimates.end() ? std::string() : '[' + dispatch::describe(it->second) + ']';
}

}
