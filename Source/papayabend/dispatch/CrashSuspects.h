#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/base/Time.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayabend::dispatch {

/** \enum LossState
 * \brief How far a lost upstream counts against the request that it ran. Only ever rises.
 */
enum class LossState : uint8_t {
    Counted, /**< Against the request as a whole. */
    ServiceOnly, /**< Only together with losses of the same service, since another service has answered the request. */
    Void, /**< Not at all: its service has answered the request later, or the process has not ended. */
};

/** \struct UpstreamLoss
 * \brief An upstream process that ended a connection while it ran a request.
 */
struct UpstreamLoss {
    uint64_t upstream { 0 }; /**< Key of the process, see dispatch::keyOf(). */
    uint32_t service { 0 }; /**< See CrashSuspects::serviceKey(). */
    LossState state { LossState::Counted };
    base::TimePoint lostAt {};
};

/** \struct CrashNotice
 * \brief An UpstreamLoss of a request as exchanged between hosts, whose clocks differ.
 */
struct CrashNotice {
    uint64_t fingerprint { 0 }; /**< Of the request, see CrashSuspects::fingerprintOf(). */
    uint64_t upstream { 0 };
    uint32_t service { 0 };
    LossState state { LossState::Counted };
    base::Duration age { 0 }; /**< Time since the loss. */
};

/** \class CrashSuspects
 * \brief Detects requests that end the upstreams that run them, over all hosts, by a hash of the request.
 *
 * Hosts exchange which upstream processes were lost under a request, and each counts the union: callers repeat a
 * request at any host, so that no single one sees enough. The request is refused once maxLosses upstreams count against
 * it, either of one service or of all together; one more if an earlier loss was voided. An answer shows that the
 * request does not end upstreams of that service (LossState). After refusalTime it is admitted again, and one more loss
 * refuses it anew. Not safe for use by several threads.
 */
class CrashSuspects {
public:
    /** Lost upstreams after which a request is refused. */
    static constexpr uint32_t maxLosses = 3;
    /** Time after its newest loss for which a request is refused; longer than the time between a caller's retries. */
    static constexpr base::Duration refusalTime { std::chrono::seconds(120) };
    /** Time after its newest loss for which the losses of a request are kept that has been refused. */
    static constexpr base::Duration refusedLifetime { std::chrono::minutes(10) };
    /** Number of requests whose losses are kept, and of losses kept for each, which bound the memory. */
    static constexpr size_t maxSuspects = 4096;
    static constexpr size_t maxKeptLosses = 8;
    /** Most requests in a message to another host, which bounds its size. */
    static constexpr size_t maxNoticedRequests = 8;
    /** Time after a change for which it is in each message; several times what the spread over a large fleet takes.
     * Later one message in messagesPerOldNotice has maxOldRequests refused ones, for hosts that were cut off meanwhile.
     */
    static constexpr base::Duration freshTime { std::chrono::seconds(5) };
    static constexpr size_t maxOldRequests = 2;
    static constexpr size_t messagesPerOldNotice = 8;

    /** Returns a hash of the request: method, virtual host, target and body. It does not contain the service, as a new
     * configuration may lead the request to another one. */
    static uint64_t fingerprintOf(
        std::string_view method, std::string_view host, std::string_view target, std::string_view body);
    static uint32_t serviceKey(std::string_view service);

    /** Records an upstream process that ended its connection with the request in flight. Each process counts once. */
    void addLoss(uint64_t fingerprint, uint64_t upstream, std::string_view service, base::TimePoint now);
    /** Records that an upstream of \a service has run the request to its end. Returns whether fewer losses count now.
     */
    bool addAnswer(uint64_t fingerprint, std::string_view service, base::TimePoint now);
    /** Records that the process has not ended, although it was counted under the request. */
    void voidLoss(uint64_t fingerprint, uint64_t upstream, base::TimePoint now);
    /** Applies what another host knows. */
    void merge(std::span<const CrashNotice>, base::TimePoint now);

    /** Returns the number of losses that count against the request: of all services together, or of the one with most.
     */
    uint32_t losses(uint64_t fingerprint, base::TimePoint now) const;
    bool isRefused(uint64_t fingerprint, base::TimePoint now) const { return refusedFor(fingerprint, now).count() > 0; }
    /** Returns the time until the request is admitted again; 0 if it is now. */
    base::Duration refusedFor(uint64_t fingerprint, base::TimePoint now) const;

    /** Returns what to send to other hosts: changes first, those of requests with most losses before others. \a
     * toNewHost: the message goes to a host that has just started, and always has older refusals too. */
    std::vector<CrashNotice> notices(base::Random&, base::TimePoint now, bool toNewHost = false) const;
    /** Returns whether a request has come to be refused since the last call, which other hosts should learn at once. */
    bool takeNewRefusal();

private:
    struct Suspect {
        std::vector<UpstreamLoss> losses;
        uint32_t count { 0 }; /**< Losses that count against the request, see losses(). */
        base::TimePoint newestLossAt {};
        base::TimePoint changedAt {}; /**< When this host's knowledge last changed. */
    };
    using Suspects = std::unordered_map<uint64_t, Suspect>;

    static uint32_t countLosses(std::span<const UpstreamLoss>);
    /** Returns whether enough losses count; one more is needed if an earlier one proved to have had another cause. */
    static bool isOverLimit(const Suspect&);
    static bool isExpired(const Suspect&, base::TimePoint now);
    const Suspect* find(uint64_t fingerprint, base::TimePoint now) const;
    /** Returns the suspect, which is created if need be at the expense of the least relevant one. */
    Suspect& findOrCreate(uint64_t fingerprint, base::TimePoint now);
    void insert(Suspect&, const UpstreamLoss&, base::TimePoint now);
    /** Updates what follows from the losses after a change of them. */
    void lossesChanged(Suspect&, base::TimePoint now);

    Suspects m_suspects;
    base::TimePoint m_prunedAt {};
    bool m_hasNewRefusal { false };
};

}
