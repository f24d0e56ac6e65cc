#pragma once

#include "papayabend/dispatch/Gather.h"
#include "papayabend/dispatch/Subrequest.h"
#include "papayabend/gateway/GatewayState.h"
#include "papayabend/gateway/HttpListener.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace papayabend::gateway {

/** \class Exchange
 * \brief One request of a client: its attempts at one service or at every shard, and its answer.
 *
 * Carries out what the functions of dispatch decide. Pins the configuration that was in force at its start.
 */
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
    /** Starts the request; it is answered through \a client. */
    static void begin(GatewayState&, const std::shared_ptr<ClientRequest>& client);

    Exchange(GatewayState&, std::shared_ptr<ClientRequest> client);

    /** Answers the request with what is there, as at its time limit. */
    void endNow();

private:
    /** Clients come back within this range after a refusal, spread so that they do not come at once. */
    static constexpr base::Duration minRetryAfter { std::chrono::milliseconds(100) };
    static constexpr base::Duration retryAfterSpread { std::chrono::milliseconds(300) };

    enum class SubrequestPhase {
        Open,
        Answered,
        Failed,
    };

    /** \struct Subrequest
     * \brief The part of the request that goes to one service.
     */
    struct Subrequest {
        std::string service;
        SubrequestPhase phase { SubrequestPhase::Open };
        dispatch::SubrequestHistory history;
        std::vector<std::shared_ptr<Attempt>> attempts; /**< That have not ended. */
        std::vector<std::string> tried; /**< Upstreams that are not taken again. */
        size_t usable { 0 }; /**< Upstreams of the service when one was last chosen. */
        HttpResponse answer;
        std::string signature;
        std::optional<base::TimePoint> retryAt;
        base::TimePoint noExtraUntil {}; /**< No budget or no upstream was there for a second attempt. */
        std::string lastReason;
        bool lacksBudget { false }; /**< The last try for a second attempt found no retry budget. */
    };

    void start();
    bool readRequest();
    bool isServable() const;
    /** Finds what the account of the request may use; answers it and returns false if it is not allowed now. */
    bool admit(base::TimePoint now);
    bool tryAttempt(Subrequest&, const char* cause);
    std::shared_ptr<Attempt> newAttempt(Subrequest&, const discovery::UpstreamRecord&);
    std::string upstreamRequest(const std::string& upstream) const;
    void attemptSent(Subrequest&, const Attempt&);
    void attemptEnded(Subrequest&, const Attempt&, CallResult);
    /** Records what the end of an attempt tells about the upstream; returns whether the request has not run. */
    bool learn(Subrequest&, const Attempt&, const CallResult&);
    void takeAnswer(Subrequest&, HttpResponse);
    void retryOrFail(Subrequest&, bool hasNotRun);
    void failSubrequest(Subrequest&, const std::string& reason);
    static bool hasUntried(const Subrequest& subrequest) { return subrequest.usable > subrequest.tried.size(); }
    void decide();
    void decideSingle();
    void decideFanOut(base::TimePoint now);
    void runDueWork(base::TimePoint now);
    void replaceWaiting(Subrequest&, base::TimePoint now);
    std::optional<base::TimePoint> nextDue() const;
    void arm();
    void onTimer();
    void answerMerged();
    /** Tells the limiter how long half of the shards took, once it is known or out of reach. */
    void observeHalf(uint32_t answered, base::TimePoint now);
    void releaseLimiter();
    void finish(const Answer&, const char* outcome);
    void refuse(unsigned status, const char* outcome, const std::string& reason, base::Duration retryAfter);
    void clientLeft();
    void cutAttempts(const char* reason);
    void logEnd(unsigned status, const char* outcome);
    std::string describeSubrequests() const;
    dispatch::SubrequestPolicy policy() const;
    base::Duration waitingLimit() const;
    bool isFanOut() const { return m_route && m_route->isFanOut(); }

    GatewayState& m_state;
    std::shared_ptr<ClientRequest> m_client;
    std::shared_ptr<const routes::Configuration> m_configuration;
    const routes::Route* m_route { nullptr };
    std::string m_id;
    std::string m_method;
    std::string m_target;
    std::string m_host;
    std::string m_fields; /**< Passed on to upstreams. */
    uint64_t m_fingerprint { 0 };
    base::TimePoint m_arrivedAt {};
    base::TimePoint m_deadlineAt {};
    base::TimePoint m_objectiveAt {};
    dispatch::TrafficClass m_trafficClass;
    base::Duration m_hedgeDelay { 0 };
    dispatch::LatencyEstimate* m_latency { nullptr }; /**< Of the route. */
    std::vector<Subrequest> m_subrequests;
    uint32_t m_answered { 0 }; /**< Subrequests in that phase. */
    uint32_t m_failed { 0 };
    std::unordered_set<std::string> m_signatures;
    boost::asio::steady_timer m_timer;
    std::optional<base::TimePoint> m_armedFor;
    base::TimePoint m_finishedAt {};
    std::string m_reason; /**< Why the request was refused. */
    bool m_holdsLimiter { false }; /**< Counts against the bound of its shards. */
    bool m_hasHalf { false }; /**< Half of the shards have answered. */
    bool m_isFinished { false };
    bool m_isStarting { false };
    bool m_hasLeft { false };
};

}
