#include "replay/Internal.h"

#include <algorithm>

namespace papayabend::replay {

namespace {

    constexpr size_t keptViolations = 100;

    const TrueSnapshot* trueSnapshot(const World& world, const std::string& service, uint64_t snapshot)
    {
        auto it = world.truth.find(service);
        if (it == world.truth.end())
            return nullptr;
        auto found = it->second.find(snapshot);
        return found == it->second.end() ? nullptr : &found->second;
    }

    uint64_t searchedUnits(const Request& request, uint64_t snapshot, uint32_t shard)
    {
        uint64_t units = 0;
        for (const auto& it : request.searched) {
            if (it.snapshot == snapshot && it.shard == shard)
                units = std::max(units, it.units);
        }
        return units;
    }

    std::string describe(const Request& request)
    {
        return "request " + std::to_string(request.number) + " of " + request.account + " for " + request.service;
    }

    void checkCoverage(World& world, const Request& request, const query::SearchAnswer& answer)
    {
        const auto* truth = trueSnapshot(world, request.service, answer.snapshot);
        if (!truth) {
            violate(world, describe(request) + ": answer names unknown snapshot " + std::to_string(answer.snapshot));
            return;
        }
        const auto& coverage = answer.coverage;
        if (coverage.unitsTotal != truth->units)
            violate(world, describe(request) + ": wrong total of units");
        uint64_t units = 0;
        for (const auto& [name, shard] : truth->shards) {
            bool isMissing
                = std::ranges::find(coverage.missing, name, &query::MissingShard::shard) != coverage.missing.end();
            auto searched = searchedUnits(request, answer.snapshot, shard.index);
            if (!isMissing && coverage.missing.empty() && coverage.unitsSearched == coverage.unitsTotal
                && searched < shard.units)
                violate(world, describe(request) + ": complete, but shard " + name + " was not searched in full");
            if (!isMissing && searched == 0 && shard.units > 0)
                violate(world, describe(request) + ": shard " + name + " was not searched and is not named");
            units += isMissing ? 0 : searched;
        }
        if (coverage.unitsSearched > units)
            violate(world, describe(request) + ": coverage is overstated");
    }

    void checkHits(World& world, const Request& request, const query::SearchAnswer& answer)
    {
        auto prefix = request.body + "@" + std::to_string(answer.snapshot) + "/";
        for (const auto& hit : answer.hits) {
            if (!hit.document.starts_with(prefix))
                violate(world, describe(request) + ": hit " + hit.document + " is of another request or snapshot");
        }
    }

}

void violate(World& world, std::string text)
{
    ++world.violations;
    if (world.recorder.violated)
        world.recorder.violated(world, text);
    if (world.violationTexts.size() < keptViolations)
        world.violationTexts.push_back(std::move(text));
}

std::string documentOf(std::string_view body, uint64_t snapshot, uint32_t shard, uint32_t n)
{
    std::string text(body);
    text += '@';
    text += std::to_string(snapshot);
    text += '/';
    text += std::to_string(shard);
    if (n > 0) {
        text += '.';
        text += std::to_string(n);
    }
    return text;
}

void checkAnswer(World& world, const Request& request, const query::SearchAnswer& answer)
{
    checkCoverage(world, request, answer);
    checkHits(world, request, answer);
}

void checkRefusal(World& world, const Request& request, const base::Refusal& refusal)
{
    if (refusal.verdict != base::Verdict::NotRun)
        return;
    if (request.kind == RequestKind::Search ? request.callsStarted > 0 : world.executions.contains(request.body))
        violate(world, describe(request) + ": refused as not run, but an upstream ran it");
    if (request.kind != RequestKind::Search)
        world.executionsNotRun.insert(request.body);
}

void checkExecuted(World& world, const Request& request, const std::string& body)
{
    if (body != "done " + request.body)
        violate(world, describe(request) + ": answered with " + body);
    if (!world.executions.contains(request.body))
        violate(world, describe(request) + ": answered, but no upstream ran it");
}

void checkOutcome(World& world, const Request& request, const execution::OutcomeAnswer& answer)
{
    if (answer.verdict == base::Verdict::Ran)
        checkExecuted(world, request, answer.body);
    if (answer.verdict == base::Verdict::NotRun) {
        if (world.executions.contains(request.body))
            violate(world, describe(request) + ": told that it has not run, but an upstream ran it");
        world.executionsNotRun.insert(request.body);
    }
}

void checkStart(World& world, const Call& call)
{
    const auto& request = world.requests[call.request];
    if (request.kind == RequestKind::Search && request.outcome == RequestOutcome::Refused
        && request.verdict == base::Verdict::NotRun)
        violate(world, describe(request) + ": refused as not run, but an upstream runs it now");
    if (call.attempt.body != request.body)
        violate(world, describe(request) + ": an attempt carries another body");
    if (!call.attempt.isExecution)
        return;
    if (++world.executions[call.attempt.body] > 1)
        violate(world, describe(request) + ": execution runs again");
    if (world.executionsNotRun.contains(call.attempt.body))
        violate(world, describe(request) + ": runs after a caller was told that it has not run");
}

void checkNoSilentLoss(World& world)
{
    for (const auto& request : world.requests) {
        if (request.outcome == RequestOutcome::Open && request.sentAt + request.timeout * 2 < world.now)
            violate(world, describe(request) + ": lost without an answer");
    }
}

}
