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
 * \brief Handles one client request: sends attempts to one service or to every shard, and answers the client.
 *
 * The functions of dispatch make the decisions; this class carries them out. Until its end, the request uses the
 * configuration that was in force when it began.
 */
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
    /** Starts handling the request; the answer goes to client->answer. */
    static void begin(GatewayState&, const std::shared_ptr<ClientRequest>& client);

    Exchange(GatewayState&, std::shared_ptr<ClientRequest> client);

    /** Sets the deadline to now, so that the request is answered at once from what has arrived. */
    void endNow();

private:
    /** Shortest Retry-After of most refusals, and the range of the random part that is added to it, so
     * that refused clients do not all return at the same time. */
    static constexpr base::Duration minRetryAfter { std::chrono::milliseconds(100) };
    static constexpr base::Duration retryAfterSpread { std::chrono::milliseconds(300) };

    enum class SubrequestPhase {
        Open,
        Answered,
        Failed,
    };

    /** \struct Subrequest
     * \brief The part of the request that is sent to one service, and the state of its attempts.
     */
    struct Subrequest {
        std::string service;
        SubrequestPhase phase { SubrequestPhase::Open };
        dispatch::SubrequestHistory history;
        std::vector<std::shared_ptr<Attempt>> attempts; /**< Attempts that have not ended. */
        std::vector<std::string> tried; /**< Ids of upstreams that are not chosen again. */
        /** Ids of upstreams with the newest estimate by which each was chosen. */
        std::vector<std::pair<std::string, dispatch::Expectation>> estimates;
        std::vector<uint64_t> usedConnections; /**< Numbers of the connections on which attempts were sent. */
        size_t usable { 0 }; /**< Usable upstreams of the service when one was last chosen. */
        size_t untried { 0 }; /**< Those of them that were not tried. */
        HttpResponse answer;
        std::shared_ptr<BufferHold> hold; /**< Of the answer. */
        std::string signature;
        std::optional<base::TimePoint> retryAt; /**< No upstream ran it; all may be tried again at this time. */
        base::TimePoint noHedgeUntil {}; /**< No hedge before this time: the last one found no budget or upstream. */
        std::string lastReason; /**< Why the last attempt failed, with the upstream's id. */
        bool wasTurnedAway { false }; /**< An upstream refused an attempt for lack of room. */
        bool lacksBudget { false }; /**< The last extra attempt was denied because the retry budget was used up. */
    };

    void start();
    /** Reads and checks the client's message; answers it and returns false if it cannot be served. */
    bool readRequest();
    /** During a planned stop that ends at \a endsAt: refuses the request and returns false if it could not be answered
     * by then. */
    bool admitDuringStop(base::TimePoint endsAt, base::TimePoint now);
    /** Returns whether enough of the shards, or the one service, have a usable upstream. */
    bool isServable() const;
    /** Returns what the gate needs to know of an attempt; hasListed is left to the caller. */
    dispatch::GateQuery gateQuery(const Subrequest&, bool isHedge, base::TimePoint now);
    /** Returns the upstreams of the service, and whether the gate allows the attempt to each. */
    std::vector<dispatch::Candidate> candidatesFor(const Subrequest&, bool isHedge, base::TimePoint now);
    /** Decides for an attempt that has waited for a connection whether it may be sent, and takes retry budget and rate
     * tokens if so. Returns the reason if not. */
    std::string takeSend(Subrequest&, const std::string& upstream, const char* cause, bool isHedge);
    /** Returns the attempts that the retry budget of the service has left for this host. */
    double budgetLeft(const Subrequest&, base::TimePoint now) const;
    /** Returns this host's part of the fixed part of retry budgets. */
    double budgetPart(base::TimePoint now) const;
    /** Returns whether the service has upstreams, but only in failure domains under evacuation. */
    bool isEvacuated(const Subrequest&) const;
    /** Returns a clause that names the failure domains under evacuation with upstreams of the request; empty if there
     * are none. */
    std::string evacuationNote() const;
    /** Returns the time until the limits and pauses of the upstreams admit enough of the shards, or the one service; 0
     * if they do now. */
    base::Duration admissionWait(base::TimePoint now);
    /** Applies the account's grant and rate limit; answers the request and returns false if they do not admit it. */
    bool admit(base::TimePoint now);
    /** Submits an attempt to a suitable upstream; returns false if there is none or the retry budget is used up.
     * \a cause: label of the metric for extra attempts. */
    bool tryAttempt(Subrequest&, const char* cause, bool isHedge = false);
    std::shared_ptr<Attempt> createAttempt(
        Subrequest&, const discovery::UpstreamRecord&, const char* cause, bool isHedge);
    /** Returns the bytes of the request for one upstream, with the time that is left now. */
    std::string buildUpstreamRequest(const std::string& upstream) const;
    void attemptSent(Subrequest&, const Attempt&);
    void attemptEnded(Subrequest&, const Attempt&, CallResult);
    /** Updates the upstream's load, latency and crash records with the result of an attempt; returns whether the
     * attempt is proven not to have run. */
    bool recordAttemptResult(Subrequest&, const Attempt&, const CallResult&);
    /** Counts an upstream that ended the connection with the request in flight against the request, until a new
     * connection shows that the upstream still runs. */
    void recordLoss(const Subrequest&, const Attempt&, base::TimePoint now);
    /** Records that an upstream has run the request to its end. */
    void recordRun(const Subrequest&, const Attempt&, base::TimePoint now);
    /** Returns whether the next attempt has to wait, and sets the time of the next try: the request may end the
     * upstreams that run it and is still in flight, or the content of this host is stale. */
    bool holdRetry(Subrequest&, base::TimePoint now);
    /** Records what the upstream has said about itself in its answer, and logs changes. Returns the load that it
     * states. */
    std::optional<dispatch::StatedLoad> recordUpstreamReport(const Subrequest&, const Attempt&, const HttpResponse&);
    /** Returns what the next attempt bears, if upstreams are chosen by estimates. */
    std::optional<dispatch::LearnedChoice> learnedChoice(const Subrequest&, base::TimePoint now) const;
    /** Records which of the candidates was chosen, and by which estimate. */
    void recordChoice(Subrequest&, std::span<const dispatch::Candidate>, size_t chosen, Attempt&) const;
    /** Updates the estimate of the upstream with the result of an attempt. */
    void recordEstimate(const Attempt&, const CallResult&, const std::optional<dispatch::StatedLoad>&);
    /** Returns what the attempt shows of the upstream, if anything. */
    std::optional<dispatch::AttemptEnd> observedEnd(const CallResult&) const;
    /** Returns the estimate by which the upstream was chosen, for the log. */
    static std::string describeEstimate(const Subrequest&, const std::string& upstream);
    /** Accepts an upstream's answer or retries. Answers with a content encoding are not accepted. A signed success is
     * accepted, in a fan-out unless its signature was seen before. For a single service, a status of 300 to 499 is also
     * accepted unless it means that the request has not run. */
    void handleAnswer(Subrequest&, CallResult);
    /** Starts another attempt, as a hedge if \a isHedge, if policy, time and budget allow it; else fails the subrequest
     * once none is in flight. */
    void retryOrFail(Subrequest&, bool hasNotRun, bool isHedge = false);
    void failSubrequest(Subrequest&, const std::string& reason);
    /** Returns whether the service has usable upstreams that the subrequest has not tried. */
    static bool hasUntried(const Subrequest& subrequest) { return subrequest.untried > 0; }
    /** Counts the usable upstreams of the service, and those that the subrequest has not tried. */
    void countUpstreams(Subrequest&) const;
    /** Answers or refuses the request if its result is settled or its time is up. */
    void decide();
    void decideSingle();
    void decideFanOut(base::TimePoint now);
    /** Starts the retries and hedges that are due, and replaces attempts that wait too long for a connection. */
    void runDueWork(base::TimePoint now);
    /** Cancels an attempt that waits too long for a connection, so that another upstream is tried. */
    void replaceWaitingAttempt(Subrequest&, base::TimePoint now);
    /** Returns when onTimer() has to run next. */
    std::optional<base::TimePoint> nextDue() const;
    /** Sets the timer to nextDue(). */
    void armTimer();
    void onTimer();
    void answerMerged();
    /** Reports the load that the fan-out has met to the limiter, once, and again if it has failed for lack of room. */
    void reportLoad(bool hasFailed, base::TimePoint now);
    /** Reports the times of the fan-out to FleetAdmission, under the same conditions. */
    void reportTimes(bool hasFailed, base::TimePoint now);
    /** Counts the fan-out as running if there is room for it; otherwise returns the time to wait. */
    std::optional<base::Duration> acquireFanOut(base::TimePoint now);
    /** Returns the number of fan-outs over the request's shards that this host may run at once. */
    double fanOutLimit() const;
    /** Returns whether hedges would increase the delay of the fan-outs over the request's shards. */
    bool isOverloaded() const;
    void releaseLimiter();
    void finish(const Answer&, const char* outcome);
    void refuse(unsigned status, const char* outcome, const std::string& reason, base::Duration retryAfter,
        base::Duration spread = retryAfterSpread);
    void clientLeft();
    /** Cancels the attempts of a settled subrequest that wait for a connection. */
    void cancelWaiting(Subrequest&);
    /** Cancels the attempts that are still open. */
    void cancelAttempts(const char* reason);
    void logEnd(unsigned status, const char* outcome);
    std::string describeSubrequests() const;
    dispatch::SubrequestPolicy policy() const;
    /** Time that an attempt waits for a connection before another upstream is tried. */
    base::Duration maxConnectionWait() const;
    bool isFanOut() const { return m_route && m_route->isFanOut(); }

    GatewayState& m_state;
    std::shared_ptr<ClientRequest> m_client;
    std::shared_ptr<const routes::Configuration> m_configuration;
    const routes::Route* m_route { nullptr };
    std::string m_id;
    std::string m_method;
    std::string m_target;
    std::string m_host;
    std::string m_fields; /**< End-to-end header fields of the client, forwarded to upstreams. */
    uint64_t m_fingerprint { 0 };
    base::TimePoint m_arrivedAt {};
    base::TimePoint m_deadlineAt {};
    base::Duration m_objective { 0 }; /**< Latency objective of the route, or the time of the request if it has none. */
    base::TimePoint m_objectiveAt {}; /**< When an answer has to leave to reach the caller within the objective. */
    dispatch::TrafficClass m_trafficClass;
    base::Duration m_hedgeDelay { 0 };
    /** Decides whether the request returns early to a failure domain after its evacuation; drawn at the first use. */
    std::optional<double> m_returnDraw;
    dispatch::LatencyEstimate* m_latency { nullptr }; /**< Latency of the route. */
    std::vector<Subrequest> m_subrequests;
    uint32_t m_answered { 0 }; /**< Number of subrequests in phase Answered. */
    uint32_t m_failed { 0 }; /**< Number of subrequests in phase Failed. */
    std::unordered_set<std::string> m_signatures; /**< Of the accepted answers; detect duplicates. */
    boost::asio::steady_timer m_timer;
    std::optional<base::TimePoint> m_timerDueAt; /**< When the timer fires. */
    base::TimePoint m_finishedAt {};
    std::string m_reason; /**< Why the request was refused. */
    bool m_holdsLimiter { false }; /**< The request counts against the concurrency limit of its shards. */
    bool m_sharesOverFleet { false }; /**< FleetAdmission has admitted it, not the concurrency limiter. */
    std::optional<base::TimePoint> m_halfAt; /**< Half of the shards have answered. */
    bool m_isLoadReported { false }; /**< reportLoad() has reported to the limiter. */
    bool m_isFinished { false };
    bool m_isStartingAttempts { false }; /**< decide() and armTimer() are called once after all attempts are started. */
    bool m_hasLeft { false };
};

}
