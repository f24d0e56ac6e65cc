#include "papayabend/gateway/WaitingAttempts.h"

namespace papayabend::gateway {

namespace {

    std::string lastingReasonAgainst(const GatewayState& state, std::string_view upstream, base::TimePoint now)
    {
        const auto& upstreams = state.content.upstreams();
        const auto* entry = upstreams.find(upstream);
        if (!entry)
            return dispatch::toString(dispatch::GateReason::Gone);
        dispatch::GateQuery query {
            .evacuations = &state.content.evacuations(), .resumedAt = state.resumedAt, .now = now
        };
        if (!dispatch::isListed(*entry))
            query.hasListed = dispatch::hasListed(upstreams.of(entry->record.service));
        auto reason = dispatch::reasonAgainst(state.gate, { *entry }, query);
        return dispatch::isLasting(reason) ? dispatch::toString(reason) : "";
    }

}

void endWaitingForClosed(GatewayState& state, base::TimePoint now)
{
    state.pool.rejectWaiting([&](const std::string& id) { return lastingReasonAgainst(state, id, now); });
}

}
