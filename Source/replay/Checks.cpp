#include "replay/Internal.h"

#include <algorithm>

namespace papayabend::replay {

namespace {

    constexpr size_t keptViolations = 100;

    const PublishedSnapshot* findPublishedSnapshot(
        const Simulation& simulation, const std::string& service, uint64_t snapshot)
    {
        auto it = simulation.publishedSnapshots.find(service);
        if (it == simulation.publishedSnapshots.end())
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

    void checkCoverage(Simulation& simulation, const Request& request, const query::SearchAnswer& answer)
    {
        const auto* published = findPublishedSnapshot(simulation, request.service, answer.snapshot);
        if (!published) {
            recordViolation(
                simulation, describe(request) + ": answer names unknown snapshot " + std::to_string(answer.snapshot));
            return;
        }
        const auto& coverage = answer.coverage;
        if (coverage.unitsTotal != published->units)
            recordViolation(simulation, describe(request) + ": wrong total of units");
        uint64_t units = 0;
        for (const auto& [name, shard] : published->shards) {
            bool isMissing
                = std::ranges::find(coverage.missing, name, &query::MissingShard::shard) != coverage.missing.end();
            auto searched = searchedUnits(request, answer.snapshot, shard.index);
            if (!isMissing && coverage.missing.empty() && coverage.unitsSearched == coverage.unitsTotal
                && searched < shard.units)
                recordViolation(
                    simulation, describe(request) + ": complete, but shard " + name + " was not searched in full");
            if (!isMissing && searched == 0 && shard.units > 0)
                recordViolation(
                    simulation, describe(request) + ": shard " + name + " was not searched and is not named");
            units += isMissing ? 0 : searched;
        }
        if (coverage.unitsSearched > units)
            recordViolation(simulation, describe(request) + ": coverage is overstated");
    }

    void checkHits(Simulation& simulation, const Request& request, const query::SearchAnswer& answer)
    {
        auto prefix = request.body + "@" + std::to_string(answer.snapshot) + "/";
        for (const auto& hit : answer.hits) {
            if (!hit.document.starts_with(prefix))
                recordViolation(
                    simulation, describe(request) + ": hit " + hit.document + " is of another request or snapshot");
        }
    }

}

void recordViolation(Simulation& simulation, std::string text)
{
    ++simulation.violations;
    if (simulation.recorder.violated)
        simulation.recorder.violated(simulation, text);
    if (simulation.violationTexts.size() < keptViolations)
        simulation.violationTexts.push_back(std::move(text));
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

void checkAnswer(Simulation& simulation, const Request& request, const query::SearchAnswer& answer)
{
    checkCoverage(simulation, request, answer);
    checkHits(simulation, request, answer);
}

void checkRefusal(Simulation& simulation, const Request& request, const base::Refusal& refusal)
{
    if (refusal.verdict != base::Verdict::NotRun)
        return;
    if (request.kind == RequestKind::Search ? request.callsStarted > 0 : simulation.executions.contains(request.body))
        recordViolation(simulation, describe(request) + ": refused as not run, but an upstream ran it");
    if (request.kind != RequestKind::Search)
        simulation.executionsNotRun.insert(request.body);
}

void checkExecuted(Simulation& simulation, const Request& request, const std::string& body)
{
    if (body != "done " + request.body)
        recordViolation(simulation, describe(request) + ": answered with " + body);
    if (!simulation.executions.contains(request.body))
        recordViolation(simulation, describe(request) + ": answered, but no upstream ran it");
}

void checkOutcome(Simulation& simulation, const Request& request, const execution::OutcomeAnswer& answer)
{
    if (answer.verdict == base::Verdict::Ran)
        checkExecuted(simulation, request, answer.body);
    if (answer.verdict == base::Verdict::NotRun) {
        if (simulation.executions.contains(request.body))
            recordViolation(simulation, describe(request) + ": told that it has not run, but an upstream ran it");
        simulation.executionsNotRun.insert(request.body);
    }
}

void checkStart(Simulation& simulation, const Call& call)
{
    const auto& request = simulation.requests[call.request];
    if (request.kind == RequestKind::Search && request.outcome == RequestOutcome::Refused
        && request.verdict == base::Verdict::NotRun)
        recordViolation(simulation, describe(request) + ": refused as not run, but an upstream runs it now");
    if (call.attempt.body != request.body)
        recordViolation(simulation, describe(request) + ": an attempt carries another body");
    if (!call.attempt.isExecution)
        return;
    if (++simulation.executions[call.attempt.body] > 1)
        recordViolation(simulation, describe(request) + ": execution runs again");
    if (simulation.executionsNotRun.contains(call.attempt.body))
        recordViolation(simulation, describe(request) + ": runs after a caller was told that it has not run");
}

void checkNoSilentLoss(Simulation& simulation)
{
    for (const auto& request : simulation.requests) {
        if (request.outcome == RequestOutcome::Open && request.sentAt + request.timeout * 2 < simulation.now)
            recordViolation(simulation, describe(request) + ": lost without an answer");
    }
}

}
