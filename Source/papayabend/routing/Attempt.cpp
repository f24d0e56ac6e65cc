#include "papayabend/routing/Attempt.h"

#include <array>

namespace papayabend::routing {

namespace {

    struct StatusInfo {
        std::string_view name;
        base::Verdict verdict;
    };

    // In the order of AttemptStatus.
    constexpr std::array statusInfos {
        StatusInfo { "ran", base::Verdict::Ran },
        StatusInfo { "shed", base::Verdict::NotRun },
        StatusInfo { "draining", base::Verdict::NotRun },
        StatusInfo { "snapshot_unavailable", base::Verdict::NotRun },
        StatusInfo { "unknown_shard", base::Verdict::NotRun },
        StatusInfo { "not_sent", base::Verdict::NotRun },
        StatusInfo { "connection_lost", base::Verdict::MayHaveRun },
        StatusInfo { "timed_out", base::Verdict::MayHaveRun },
        StatusInfo { "cancelled", base::Verdict::MayHaveRun },
        StatusInfo { "failed", base::Verdict::MayHaveRun },
    };
    static_assert(statusInfos.size() == static_cast<size_t>(AttemptStatus::Failed) + 1);

}

std::string_view toString(AttemptStatus status) { return statusInfos[static_cast<size_t>(status)].name; }

base::Verdict verdictOf(AttemptStatus status) { return statusInfos[static_cast<size_t>(status)].verdict; }

}
