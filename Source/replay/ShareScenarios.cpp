#include "papayabend/admission/Admission.h"
#include "papayabend/base/Random.h"
#include "replay/Scenario.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <iterator>
#include <map>
#include <numeric>
#include <queue>

namespace papayabend::replay {

namespace {

    using namespace std::chrono_literals;
    using admission::Admission;
    using admission::AdmissionStep;
    using base::TimePoint;

    constexpr auto service = "depot-counter";
    constexpr double serviceSeconds = 0.008;
    constexpr int warmUpSeconds = 10;
    constexpr int windowSeconds = 10;

    /** One client account: its grant and its requests per second at each host, by second. */
    struct Account {
        std::string name;
        admission::AccountGrant grant;
        std::function<double(size_t host, int second)> arrivals;
    };

    struct Case {
        std::string name;
        size_t hosts { 8 };
        int seconds { 60 };
        std::vector<Account> accounts;
        int cutFrom { 0 }; /**< Seconds between which the hosts of even and odd number cannot exchange. */
        int cutUntil { 0 };
    };

    struct Message {
        TimePoint at;
        size_t from { 0 };
        size_t to { 0 };
        uint64_t sequence { 0 };
        std::vector<admission::DemandReport> demand;
        std::vector<admission::QuotaLease> leases;
        bool countsReceiver { false };
        bool operator<(const Message& other) const { return other.at < at; }
    };

    struct Finished {
        TimePoint at;
        size_t host { 0 };
        bool operator<(const Finished& other) const { return other.at < at; }
    };

    /** Several real admission modules in front of one pool of upstreams, in steps of 1 ms. */
    class ShareFleet {
    public:
        ShareFleet(const Case& test, uint64_t seed)
            : m_case(test)
            , m_random(seed)
            , m_peerSequences(test.hosts, std::vector<uint64_t>(test.hosts, 0))
            , m_lastId(test.hosts, 0)
        {
            admission::ServiceGrants grants { service, slots, {} };
            for (const auto& account : test.accounts) {
                grants.accounts[account.name] = account.grant;
                passed[account.name].resize(static_cast<size_t>(test.seconds));
            }
            for (size_t n = 0; n < test.hosts; ++n) {
                m_names.push_back("h" + std::to_string(n));
                m_hosts.push_back(std::make_unique<Admission>(
                    m_names.back(), admission::AdmissionSettings {}, admission::QuotaSettings {}));
                m_hosts.back()->setHosts(test.hosts);
                m_hosts.back()->setGrants(std::span(&grants, 1), m_now);
            }
        }

        void run()
        {
            for (int ms = 0; ms < m_case.seconds * 1000; ++ms) {
                m_now += 1ms;
                m_second = ms / 1000;
                step(ms);
            }
        }

        static constexpr double slots = 18;
        static double capacity() { return admission::AdmissionSettings {}.utilisation * slots / serviceSeconds; }

        std::map<std::string, std::vector<uint64_t>> passed; /**< By account and second. */
        uint64_t longestQueue { 0 }; /**< Requests that wait at the upstreams. */

    private:
        void step(int ms)
        {
            while (!m_finished.empty() && m_finished.top().at <= m_now) {
                auto host = m_finished.top().host;
                m_finished.pop();
                --m_busy;
                take(host, m_hosts[host]->release(service, toTime(serviceSeconds), {}, m_now));
                startQueued();
            }
            while (!m_messages.empty() && m_messages.top().at <= m_now) {
                auto message = m_messages.top();
                m_messages.pop();
                receive(message);
            }
            for (size_t host = 0; host < m_hosts.size(); ++host) {
                arrivals(host);
                take(host, m_hosts[host]->dispatch(service, m_now));
                if (ms % 100 == 0)
                    take(host, m_hosts[host]->expireQueued(m_now));
                if (ms % 500 == static_cast<int>(host) * 37 % 500)
                    exchange(host);
            }
        }

        static base::Duration toTime(double seconds) { return base::Duration(static_cast<int64_t>(seconds * 1e6)); }

        void arrivals(size_t host)
        {
            for (const auto& account : m_case.accounts) {
                auto expected = account.arrivals(host, m_second) / 1000;
                auto count = static_cast<int>(expected) + (base::uniform(m_random) < std::fmod(expected, 1.0) ? 1 : 0);
                for (int n = 0; n < count; ++n) {
                    auto id = ++m_lastId[host];
                    m_accountOf[{ host, id }] = &account;
                    take(host, m_hosts[host]->submit(account.name, service, { id, m_now + 2s }, m_now));
                }
            }
        }

        void take(size_t host, const AdmissionStep& step)
        {
            for (const auto& refused : step.refused)
                m_accountOf.erase({ host, refused.id });
            for (auto id : step.admitted) {
                auto it = m_accountOf.find({ host, id });
                ++passed[it->second->name][static_cast<size_t>(m_second)];
                m_accountOf.erase(it);
                m_queue.push_back(host);
            }
            startQueued();
        }

        void startQueued()
        {
            while (!m_queue.empty() && m_busy < static_cast<int>(slots)) {
                ++m_busy;
                m_finished.push({ m_now + toTime(serviceSeconds), m_queue.front() });
                m_queue.pop_front();
            }
            longestQueue = std::max<uint64_t>(longestQueue, m_queue.size());
        }

        bool isCut(size_t from, size_t to) const
        {
            return m_second >= m_case.cutFrom && m_second < m_case.cutUntil && from % 2 != to % 2;
        }

        void exchange(size_t host)
        {
            auto& admission = *m_hosts[host];
            admission.quotas().setListed(m_names, m_now);
            auto reports = admission.takeReports(m_now);
            auto sequence = ++m_sequence;
            admission.quotas().reportSent(sequence, m_now);
            for (size_t to = 0; to < m_hosts.size(); ++to) {
                if (to == host || isCut(host, to))
                    continue;
                Message message { m_now + base::Duration(static_cast<int64_t>(500 + m_random() % 9000)), host, to,
                    sequence, reports, {}, admission.quotas().countsPeer(m_names[to], m_now) };
                if (auto heard = m_peerSequences[host][to])
                    message.leases = admission.lend(m_names[to], heard, m_now);
                m_messages.push(std::move(message));
            }
            take(host, admission.setAllocations(m_now));
        }

        void receive(const Message& message)
        {
            auto& admission = *m_hosts[message.to];
            m_peerSequences[message.to][message.from] = message.sequence;
            admission.applyPeerReports(m_names[message.from], message.demand, m_now);
            admission.quotas().announcementReceived(m_names[message.from], message.countsReceiver, m_now);
            admission.quotas().receive(message.leases, m_now);
        }

        const Case& m_case;
        base::Random m_random;
        TimePoint m_now { 1000s };
        int m_second { 0 };
        std::vector<std::string> m_names;
        std::vector<std::unique_ptr<Admission>> m_hosts;
        std::priority_queue<Message> m_messages;
        std::priority_queue<Finished> m_finished;
        std::deque<size_t> m_queue;
        int m_busy { 0 };
        uint64_t m_sequence { 0 };
        std::vector<std::vector<uint64_t>> m_peerSequences;
        std::vector<routing::RequestId> m_lastId;
        std::map<std::pair<size_t, routing::RequestId>, const Account*> m_accountOf;
    };

    uint64_t inWindow(const std::vector<uint64_t>& passed, int from)
    {
        return std::accumulate(passed.begin() + from, passed.begin() + from + windowSeconds, uint64_t { 0 });
    }

    std::function<double(size_t, int)> spread(double perHost)
    {
        return [perHost](size_t, int) { return perHost; };
    }

    std::function<double(size_t, int)> atOneHost(double rate)
    {
        return [rate](size_t host, int) { return host == 0 ? rate : 0; };
    }

    std::vector<Case> shareCases()
    {
        auto idle = [](size_t, int second) { return second >= 25 && second < 45 ? 0.0 : 400.0; };
        return {
            { "all accounts at all hosts", 8, 60,
                { { "muscat", { 4, {}, false }, spread(800) }, { "sul", { 2, {}, false }, spread(800) },
                    { "depot", { 1, {}, true }, spread(800) } } },
            { "one account at one host", 8, 60,
                { { "muscat", { 4, {}, false }, spread(800) }, { "sul", { 2, {}, false }, atOneHost(4000) },
                    { "depot", { 1, {}, true }, spread(800) } } },
            { "one account below its share", 8, 60,
                { { "muscat", { 4, {}, false }, spread(50) }, { "sul", { 2, {}, false }, atOneHost(4000) },
                    { "depot", { 1, {}, true }, spread(800) } } },
            { "muscat idle from 25 s to 45 s", 8, 80,
                { { "muscat", { 4, {}, false }, idle }, { "sul", { 2, {}, false }, spread(800) },
                    { "depot", { 1, {}, true }, spread(800) } } },
        };
    }

    std::vector<Case> limitCases()
    {
        auto limited = admission::AccountGrant { 1, 100.0, false };
        return {
            { "callers at all hosts", 8, 90, { { "sul", limited, spread(40) } } },
            { "callers at one host", 8, 90, { { "sul", limited, atOneHost(300) } } },
            { "callers at one host, partition from 30 s to 60 s", 8, 90, { { "sul", limited, atOneHost(300) } }, 30,
                60 },
            { "callers move between hosts, partition from 30 s to 60 s", 8, 90,
                { { "sul", limited,
                    [](size_t host, int second) {
                        return host == static_cast<size_t>(second / 7 % 8) ? 300.0 : 0.0;
                    } } },
                30, 60 },
        };
    }

}

Figures measureShares(const MeasureOptions& options)
{
    Figures figures;
    figures.columns = { "case", "account", "weight", "grant/s", "least of grant in 10 s", "most of grant in 10 s",
        "back after idle", "longest upstream queue" };
    for (const auto& test : shareCases()) {
        ShareFleet fleet(test, options.seed);
        fleet.run();
        auto demandAt = [&](const Account& account, int second) {
            double sum = 0;
            for (size_t host = 0; host < test.hosts; ++host)
                sum += account.arrivals(host, second);
            return sum;
        };
        for (const auto& account : test.accounts) {
            double least = 1e9;
            double most = 0;
            double lastGrant = 0;
            int settledFrom = -1;
            for (int from = warmUpSeconds; from + windowSeconds <= test.seconds; ++from) {
                // Windows in which the demand changes, or changed within the 5 s before, have no single grant.
                std::vector<admission::AccountDemand> demands;
                bool isSteady = true;
                for (const auto& other : test.accounts) {
                    demands.push_back({ other.grant.weight, demandAt(other, from) });
                    for (int second = from - 5; second < from + windowSeconds; ++second)
                        isSteady = isSteady && demandAt(other, second) == demands.back().demand;
                }
                auto granted = admission::allocate(ShareFleet::capacity(), demands)
                                   .granted[static_cast<size_t>(&account - test.accounts.data())];
                if (!isSteady || granted <= 0)
                    continue;
                auto part = static_cast<double>(inWindow(fleet.passed[account.name], from)) / granted / windowSeconds;
                least = std::min(least, part);
                most = std::max(most, part);
                lastGrant = granted;
            }
            for (int second = 45; second < test.seconds && settledFrom < 0 && demandAt(account, 30) == 0; ++second) {
                if (static_cast<double>(fleet.passed[account.name][static_cast<size_t>(second)]) >= 0.95 * lastGrant)
                    settledFrom = second - 45;
            }
            // An account below its share is not backlogged, and its arrivals vary by chance.
            if (demandAt(account, 15) > lastGrant && (least < 0.95 || most > 1.05)) {
                ++figures.violations;
                figures.violationTexts.push_back(test.name + ": " + account.name + " is not within 5% of its grant");
            }
            figures.rows.push_back({ test.name, account.name, formatNumber(account.grant.weight, 0),
                formatNumber(lastGrant, 1), formatNumber(least, 3), formatNumber(most, 3),
                settledFrom < 0 ? "" : "within " + std::to_string(settledFrom + 1) + " s",
                std::to_string(fleet.longestQueue) });
        }
    }
    return figures;
}

Figures measureLimits(const MeasureOptions& options)
{
    Figures figures;
    figures.columns = { "case", "limit/s", "most in 10 s", "mean/s before", "mean/s in the partition", "mean/s after" };
    for (const auto& test : limitCases()) {
        ShareFleet fleet(test, options.seed);
        fleet.run();
        const auto& passed = fleet.passed[test.accounts[0].name];
        auto limit = *test.accounts[0].grant.limitPerSecond;
        uint64_t most = 0;
        for (int from = 0; from + windowSeconds <= test.seconds; ++from)
            most = std::max(most, inWindow(passed, from));
        if (static_cast<double>(most) > limit * windowSeconds) {
            ++figures.violations;
            figures.violationTexts.push_back(test.name + ": the limit was exceeded");
        }
        auto mean = [&](int from, int until) {
            auto sum = std::accumulate(passed.begin() + from, passed.begin() + until, uint64_t { 0 });
            return formatNumber(static_cast<double>(sum) / (until - from), 1);
        };
        figures.rows.push_back(
            { test.name, formatNumber(limit, 0), std::to_string(most), mean(10, 30), mean(35, 60), mean(65, 90) });
    }
    return figures;
}

}
