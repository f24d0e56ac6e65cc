#pragma once

#include "papayabend/base/Random.h"
#include "papayabend/dispatch/ChooseUpstream.h"
#include "papayabend/dispatch/RetryBudget.h"
#include "papayabend/dispatch/SendDecision.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/** Requests of several hosts to the upstreams of one service in virtual time. Connections are few, so that attempts
 * wait, while upstreams drain, leave, end, slow down, lose and refuse requests, failure domains are evacuated, and
 * hosts freeze and are cut off. Counts what breaks a rule. */
struct SendSimulation {
    /** Kinds of trouble. */
    struct Trouble {
        double drains { 0.05 }; /**< Per second and upstream. */
        double ends { 0.02 }; /**< Without draining. */
        double leaves { 0.02 };
        double slowDowns { 0.1 };
        double lossTimes { 0.1 };
        double limits { 0.02 };
        double evacuations { 0.02 }; /**< Per second and failure domain. */
        double freezes { 0.02 }; /**< Per second and host. */
        double cuts { 0.02 };
    };

    struct Request;

    struct Attempt {
        std::shared_ptr<Request> request;
        size_t upstream { 0 };
        bool isHedge { false };
        bool wasSent { false };
        bool isEnded { false };
    };
    using AttemptPointer = std::shared_ptr<Attempt>;

    struct Request {
        size_t host { 0 };
        papayabend::dispatch::SubrequestPolicy policy;
        papayabend::dispatch::SubrequestHistory history;
        papayabend::base::TimePoint deadline {};
        double returnDraw { 0 };
        std::vector<size_t> tried;
        std::vector<AttemptPointer> attempts;
        std::set<std::string> ranOn; /**< Upstream processes that have run it. */
        size_t runs { 0 };
        bool isSettled { false };
        bool isServed { false };
        bool isRefused { false }; /**< Its caller was told that it has not run. */
    };
    using RequestPointer = std::shared_ptr<Request>;

    /** What the store and the upstream itself know of an upstream. */
    struct Upstream {
        papayabend::discovery::UpstreamEntry entry;
        papayabend::base::TimePoint drainsSince {}; /**< Acknowledgement by the store. */
        papayabend::base::TimePoint endedAt {}; /**< Its entry is removed from the store then. */
        papayabend::base::TimePoint slowUntil {};
        papayabend::base::TimePoint losesUntil {};
        std::optional<double> limit;
        bool isLeaving { false };
    };

    struct Link {
        papayabend::dispatch::UpstreamLoad load;
        size_t busy { 0 };
        std::deque<AttemptPointer> queue;
        papayabend::base::TimePoint leavingHeardAt {};
        std::optional<int64_t> leavingProcess; /**< The process that has answered so. */
    };

    struct Host {
        papayabend::dispatch::UpstreamGate gate;
        papayabend::dispatch::RetryBudget budget;
        papayabend::discovery::Evacuations evacuations;
        std::vector<papayabend::discovery::UpstreamEntry> known;
        std::vector<Link> links;
        papayabend::base::TimePoint frozenUntil {};
        papayabend::base::TimePoint cutUntil {};
        papayabend::base::TimePoint resumedAt {};
        bool isStale { false };
    };

    struct Domain {
        bool isEvacuated { false };
        papayabend::base::TimePoint since {}; /**< Acknowledgement by the store. */
    };

    SendSimulation(size_t hostCount, uint64_t seed, Trouble);

    /** Plays until \a count requests have begun and all have ended. */
    void run(size_t count);

    bool checksAtSend {
        true
    }; /**< False: attempts are sent as they were queued, as before the decision at the send. */
    papayabend::base::TimePoint now { std::chrono::seconds(1000) };
    std::map<std::string, size_t> broken; /**< Rules, and how often each was broken. */
    std::map<std::string, size_t> withheld; /**< Attempts that were not sent, by reason. */
    size_t served { 0 };
    size_t refused { 0 };
    size_t lost { 0 };

private:
    void at(papayabend::base::Duration, std::function<void()>);
    /** The same for an event of a host, which waits while the host is frozen. */
    void atHost(size_t host, papayabend::base::Duration, std::function<void()>);
    void check(bool holds, const char* rule);
    papayabend::base::Duration uniformTime(double minSeconds, double maxSeconds);
    bool happens(double perSecond);
    void startProcess(size_t upstream);
    /** Lets trouble begin at random; runs each 10 ms. */
    void disturb();
    void drain(size_t upstream);
    void endProcess(size_t upstream);
    void evacuate(size_t domain);
    void freeze(size_t host);
    /** Tells each host in contact what the store now holds, after its delay. */
    void publish();
    void learn(size_t host);
    papayabend::dispatch::GateQuery queryOf(const Host&, const Request&, bool isHedge) const;
    void begin();
    bool tryAttempt(const RequestPointer&, bool isHedge);
    void serve(size_t host, size_t upstream);
    const char* reasonNotToSend(const Attempt&);
    void send(const AttemptPointer&);
    void arrive(const AttemptPointer&);
    void checkArrival(const Attempt&);
    void end(const AttemptPointer&, bool hasNotRun, bool isSuccess);
    void endWaitingForClosed(size_t host);
    void settle(const RequestPointer&);

    papayabend::base::Random m_random;
    Trouble m_trouble;
    std::vector<Host> m_hosts;
    std::vector<Upstream> m_upstreams;
    std::vector<Domain> m_domains;
    std::multimap<papayabend::base::TimePoint, std::function<void()>> m_events;
    size_t m_toBegin { 0 };
    size_t m_open { 0 };
    int64_t m_processes { 0 };
};
