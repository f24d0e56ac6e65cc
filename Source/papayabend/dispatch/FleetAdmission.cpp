#include "papayabend/dispatch/FleetAdmission.h"

#include "papayabend/base/Hash.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <iterator>
#include <numeric>

namespace papayabend::dispatch {

namespace {

    constexpr double sampleWeight = 0.2;
    // With 0.8 fewer requests were in time at a load of just the capacity, with 0.9 more were late.
    constexpr double decreaseFactor = 0.85;
    // For fan-outs that were lost: each of them has used places in the queues of most shards for nothing.
    constexpr double lostSampleWeight = 0.5;
    constexpr double lostDecreaseFactor = 0.5;
    constexpr double lostLoad = 4;
    // Growth of the bound for each bound's worth of fan-outs of the fleet. With 1, 0.5 % fewer requests of the
    // simulated overloads were in time.
    constexpr double growth = 2;
    // Over all hosts; a lower bound would give no samples from which to learn that the overload has ended.
    constexpr double minBound = 2;
    constexpr double minLimit = 0.1;
    // A decrease takes effect only after the fan-outs that were running at the time have ended.
    constexpr base::Duration minDecreaseInterval { std::chrono::milliseconds(100) };
    // While half of the shards answer this fast, or not much slower than without load, a late whole is the work of some
    // slow upstreams or of a tight objective, and fewer fan-outs would not speed it up.
    constexpr double shortHalfTime = 0.2;
    constexpr double loadedFactor = 2;
    constexpr double steadyLoad = 0.9;
    constexpr base::Duration shortestTime { std::chrono::minutes(2) };
    // Part of the difference to the bounds of other hosts that one merge() takes over. A lower bound that hosts with
    // lowPart of the evidence state is taken over fast, since they have seen an overload that this host is about to
    // see.
    constexpr double lowPart = 0.4;
    constexpr double raiseWeight = 0.05;
    constexpr double lowerWeight = 0.5;
    constexpr double runTimeWeight = 0.1;
    // The bound recovers without samples too: each merge() raises it by this factor after this time without overload.
    constexpr double recoveryFactor = 1.1;
    constexpr base::Duration recoveryDelay { std::chrono::seconds(5) };
    constexpr double minEvidence = 0.01;
    constexpr base::Duration countTime { std::chrono::seconds(1) };
    constexpr base::Duration minRetryAfter { std::chrono::milliseconds(100) };
    // Callers that are sent away for longer would miss the end of an overload of some seconds.
    constexpr base::Duration maxRetryAfter { std::chrono::seconds(3) };

    constexpr size_t noticeBytes = 10;
    constexpr double samplesPerUnit = 0.1;
    constexpr double maxBound = 1e6;

    double decayed(double count, base::Duration age)
    {
        return count * std::exp(-std::chrono::duration<double>(age) / countTime);
    }

    base::Duration durationOf(double seconds)
    {
        return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
    }

    uint32_t keyOf(std::string_view shards) { return static_cast<uint32_t>(base::rendezvousScore("shards", shards)); }

    void append(std::string& bytes, uint32_t value, size_t size)
    {
        for (size_t n = 0; n < size; ++n)
            bytes.push_back(static_cast<char>(value >> 8 * n & 0xff));
    }

    uint32_t numberAt(std::string_view bytes, size_t begin, size_t size)
    {
        uint32_t value = 0;
        for (size_t n = 0; n < size; ++n)
            value |= static_cast<uint32_t>(static_cast<unsigned char>(bytes[begin + n])) << 8 * n;
        return value;
    }

}

std::string encodeNotices(std::span<const AdmissionNotice> notices)
{
    std::string bytes;
    for (const auto& notice : notices) {
        append(bytes, notice.shards, 4);
        append(bytes, std::bit_cast<uint32_t>(static_cast<float>(notice.bound)), 4);
        append(bytes, static_cast<uint32_t>(std::min(notice.samplesPerSecond / samplesPerUnit, 65'535.0)), 2);
    }
    return bytes;
}

std::vector<AdmissionNotice> decodeNotices(std::string_view bytes)
{
    std::vector<AdmissionNotice> notices;
    for (; bytes.size() >= noticeBytes; bytes.remove_prefix(noticeBytes)) {
        auto bound = static_cast<double>(std::bit_cast<float>(numberAt(bytes, 4, 4)));
        // Also false for a value that is not a number.
        if (bound >= minBound && bound <= maxBound)
            notices.push_back({ numberAt(bytes, 0, 4), bound, numberAt(bytes, 8, 2) * samplesPerUnit });
    }
    return notices;
}

FleetAdmission::State& FleetAdmission::stateOf(std::string_view shards)
{
    auto& state = m_states[std::string(shards)];
    if (state.bound == 0)
        state.bound = maxLimit / m_share;
    return state;
}

double FleetAdmission::loadOf(PriorityLoad& load, const FanOutSample& sample, base::TimePoint now)
{
    if (sample.isLost)
        return lostLoad;
    auto isFirst = load.shortestSince == base::TimePoint();
    if (isFirst || now - load.shortestSince > shortestTime) {
        load.previousShortest = isFirst ? sample.half : load.shortest;
        load.shortest = sample.half;
        load.shortestSince = now;
    }
    load.shortest = std::min(load.shortest, sample.half);
    auto whole = sample.whole / overloadWholeTime;
    if (sample.half < std::max(shortHalfTime, loadedFactor * std::min(load.shortest, load.previousShortest)))
        whole = std::min(whole, steadyLoad);
    return std::min(std::max(sample.half / overloadHalfTime, whole), lostLoad);
}

std::optional<base::Duration> FleetAdmission::tryAcquire(
    std::string_view shards, const TrafficClass& trafficClass, base::Random& random, base::TimePoint now)
{
    auto& state = stateOf(shards);
    state.shares.addArrival(trafficClass, now);
    auto limit = std::min(state.bound * m_share, maxLimit);
    // With a part of less than one fan-out, they follow each other in intervals that are longer than they run.
    auto whole = std::floor(limit);
    auto places = limit < 1 ? 1 : whole + (base::uniform(random) < limit - whole ? 1 : 0);
    auto interval = limit < 1 ? durationOf(state.meanRunSeconds / std::max(limit, minLimit)) : base::Duration(0);
    if (now - state.begunAt >= interval && state.shares.mayBegin(trafficClass, places, now)) {
        state.shares.begin(trafficClass);
        state.begunAt = now;
        return std::nullopt;
    }
    // Refused requests are expected back one by one, at the rate at which fan-outs end.
    auto perSecond = std::max(decayed(state.ends, now - state.endedAt), 1.0);
    state.roomAt = std::clamp(state.roomAt + durationOf(1 / perSecond), now + minRetryAfter, now + maxRetryAfter);
    return state.roomAt - now;
}

void FleetAdmission::release(
    std::string_view shards, const TrafficClass& trafficClass, base::Duration runTime, base::TimePoint now)
{
    auto& state = stateOf(shards);
    state.shares.end(trafficClass, runTime);
    state.meanRunSeconds += runTimeWeight * (std::chrono::duration<double>(runTime).count() - state.meanRunSeconds);
    state.ends = decayed(state.ends, now - state.endedAt) + 1;
    state.endedAt = now;
}

void FleetAdmission::observe(
    std::string_view shards, uint32_t priority, const FanOutSample& sample, base::TimePoint now)
{
    auto& state = stateOf(shards);
    state.samples = decayed(state.samples, now - state.sampledAt) + 1;
    state.sampledAt = now;
    auto& own = state.loads[priority];
    own.mean = decayed(own.mean, now - own.sampledAt);
    own.mean += (sample.isLost ? lostSampleWeight : sampleWeight) * (loadOf(own, sample, now) - own.mean);
    own.sampledAt = now;
    state.load = 0;
    for (const auto& [each, load] : state.loads)
        state.load = std::max(state.load, decayed(load.mean, now - load.sampledAt));
    auto limit = std::min(state.bound * m_share, maxLimit);
    if (state.load > 1 && now - state.decreasedAt >= minDecreaseInterval) {
        auto inUse = std::min(limit, static_cast<double>(state.shares.running()) + 1);
        auto next = (sample.isLost ? lostDecreaseFactor : decreaseFactor) * inUse;
        state.bound = std::max(next / m_share, minBound);
        state.decreasedAt = now;
    } else if (state.load < growthLoad) {
        // All hosts together grow by one bound's worth: this one sees only its share of the fan-outs.
        state.bound = std::min(state.bound + growth / std::max(limit, minLimit), maxLimit / m_share);
    }
}

bool FleetAdmission::isOverloaded(std::string_view shards) const
{
    auto it = m_states.find(std::string(shards));
    return it != m_states.end() && it->second.load > 1;
}

double FleetAdmission::limit(std::string_view shards) const
{
    auto it = m_states.find(std::string(shards));
    return it == m_states.end() ? maxLimit : std::min(it->second.bound * m_share, maxLimit);
}

size_t FleetAdmission::overloadedSets(base::TimePoint now) const
{
    return static_cast<size_t>(std::ranges::count_if(
        m_states, [now](const auto& it) { return decayed(it.second.load, now - it.second.sampledAt) > 1; }));
}

double FleetAdmission::smallestLimit() const
{
    auto result = maxLimit;
    for (const auto& [shards, state] : m_states)
        result = std::min(result, state.bound * m_share);
    return result;
}

std::vector<AdmissionNotice> FleetAdmission::notices(size_t count, base::TimePoint now) const
{
    std::vector<AdmissionNotice> notices;
    for (const auto& [shards, state] : m_states) {
        auto evidence = decayed(state.samples, now - state.sampledAt);
        if (evidence > minEvidence)
            notices.push_back({ keyOf(shards), std::min(state.bound, maxBound), evidence });
    }
    std::ranges::sort(notices, std::ranges::greater(), &AdmissionNotice::samplesPerSecond);
    notices.resize(std::min(notices.size(), count));
    return notices;
}

void FleetAdmission::merge(std::span<const AdmissionNotice> others, base::TimePoint now)
{
    for (auto& [shards, state] : m_states) {
        auto isCalm = decayed(state.load, now - state.sampledAt) < growthLoad;
        if (isCalm && now - state.decreasedAt > recoveryDelay)
            state.bound = std::min(recoveryFactor * state.bound, maxLimit / m_share);
        AdmissionNotice own { keyOf(shards), state.bound, decayed(state.samples, now - state.sampledAt) };
        std::vector<AdmissionNotice> notices { own };
        std::ranges::copy_if(
            others, std::back_inserter(notices), [&own](const auto& it) { return it.shards == own.shards; });
        std::ranges::sort(notices, {}, &AdmissionNotice::bound);
        auto evidence = std::accumulate(
            notices.begin(), notices.end(), 0.0, [](double sum, const auto& it) { return sum + it.samplesPerSecond; });
        if (evidence <= 0)
            continue;
        double low = 0;
        double lowEvidence = 0;
        double mean = 0;
        for (const auto& notice : notices) {
            if (lowEvidence < lowPart * evidence)
                low = notice.bound;
            lowEvidence += notice.samplesPerSecond;
            // Bounds differ by factors, so the mean is taken of their logarithms.
            mean += notice.samplesPerSecond / evidence * std::log(notice.bound);
        }
        auto step = lowerWeight * std::log(std::min(low / state.bound, 1.0))
            + raiseWeight * std::max(mean - std::log(state.bound), 0.0);
        state.bound = std::max(state.bound * std::exp(step), minBound);
    }
}

}
