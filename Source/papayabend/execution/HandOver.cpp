#include "papayabend/execution/HandOver.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <functional>

namespace papayabend::execution {

namespace {

    constexpr size_t maxBatchRecords = 1000;

    // Well below the 4 MB that gRPC accepts in one message.
    constexpr size_t maxBatchBytes = 1U << 20U;
    constexpr size_t recordOverheadBytes = 128;

    constexpr base::Duration resendInterval = std::chrono::milliseconds(500);

    // A successor that has not acknowledged all records after this time is regarded as lost, if another one has.
    constexpr base::Duration acknowledgementTimeout = std::chrono::seconds(10);

    // A host stops after this time even if no successor has all records. The records are lost then and their outcomes
    // unknown.
    constexpr base::Duration maxHandOverTime = std::chrono::seconds(60);

}

std::vector<std::string> successors(const membership::HostView& view, const TicketId& process, size_t count)
{
    auto key = process.host + '.' + std::to_string(process.incarnation);
    std::vector<std::string> hosts;
    for (const auto& host : view.hosts) {
        if (host.name != process.host && membership::isServing(host))
            hosts.push_back(host.name);
    }
    std::ranges::sort(
        hosts, std::greater {}, [&](const std::string& host) { return base::rendezvousScore(key, host); });
    hosts.resize(std::min(hosts.size(), count));
    return hosts;
}

HandOver beginHandOver(std::vector<TicketRecord> records, const std::vector<std::string>& targets, base::TimePoint now)
{
    HandOver handOver;
    handOver.startedAt = now;
    size_t bytes = maxBatchBytes;
    for (auto& record : records) {
        auto size = record.body.size() + recordOverheadBytes;
        if (bytes + size > maxBatchBytes || handOver.batches.back().size() >= maxBatchRecords) {
            handOver.batches.emplace_back();
            bytes = 0;
        }
        bytes += size;
        handOver.batches.back().push_back(std::move(record));
    }
    for (const auto& target : targets) {
        auto& numbers = handOver.unacknowledged[target];
        for (uint64_t number = 1; number <= handOver.batches.size(); ++number)
            numbers.insert(number);
    }
    return handOver;
}

std::vector<HandOverBatch> batchesToSend(HandOver& handOver, base::TimePoint now)
{
    std::vector<HandOverBatch> due;
    if (handOver.lastSentAt != base::TimePoint {} && now - handOver.lastSentAt < resendInterval)
        return due;
    handOver.lastSentAt = now;
    for (const auto& [target, numbers] : handOver.unacknowledged) {
        for (auto number : numbers)
            due.push_back({ target, number, handOver.batches[number - 1] });
    }
    return due;
}

void acknowledged(HandOver& handOver, std::string_view target, uint64_t batch)
{
    auto it = handOver.unacknowledged.find(target);
    if (it != handOver.unacknowledged.end())
        it->second.erase(batch);
}

bool isComplete(const HandOver& handOver, base::TimePoint now)
{
    auto isDone = [](const auto& entry) { return entry.second.empty(); };
    return handOver.batches.empty() || std::ranges::all_of(handOver.unacknowledged, isDone)
        || (now - handOver.startedAt >= acknowledgementTimeout && std::ranges::any_of(handOver.unacknowledged, isDone))
        || now - handOver.startedAt >= maxHandOverTime;
}

}
