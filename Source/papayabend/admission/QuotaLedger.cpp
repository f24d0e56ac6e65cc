#include "papayabend/admission/QuotaLedger.h"

#include <algorithm>
#include <cmath>

namespace papayabend::admission {

namespace {

    // Requests that may be admitted at once. Within one window two processes of a host may each use the burst.
    constexpr double burst = 1;
    constexpr double processesPerWindow = 2;

    // Reserve of a lender as a part of its own demand, so that it needs no lease itself after a small rise.
    constexpr double lenderReserve = 0.25;

    constexpr size_t maxSentReports = 64;
    constexpr double negligibleRate = 0.01;

    double demandOf(const std::vector<DemandReport>& reports, std::string_view account, std::string_view service)
    {
        auto it = std::ranges::find_if(reports,
            [&](const DemandReport& report) { return report.account == account && report.service == service; });
        return it == reports.end() ? 0 : it->arrivalsPerSecond + it->backlog;
    }

}

QuotaLedger::QuotaLedger(std::string host, const QuotaSettings& settings)
    : m_host(std::move(host))
    , m_settings(settings)
{
}

base::Duration QuotaLedger::reservationTime() const
{
    auto time = static_cast<double>(m_settings.leaseTime.count()) * (1 + 2 * m_settings.clockRateMargin);
    return base::Duration(static_cast<int64_t>(std::ceil(time))) + m_settings.pauseMargin;
}

void QuotaLedger::setListed(std::span<const std::string> hosts, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    m_isListed = std::ranges::find(hosts, m_host) != hosts.end();
    if (m_isListed)
        m_lastListedAt = now;
    if (m_isListed && !m_firstListedAt)
        m_firstListedAt = now;
    for (const auto& host : hosts) {
        if (host != m_host && !m_members.contains(host))
            m_members[host].addedAt = now;
    }
    auto hasMajority = [&] {
        auto reachable = std::ranges::count_if(m_members, [&](const auto& entry) {
            return entry.second.lastAnnouncement && now - *entry.second.lastAnnouncement < m_settings.holdTime / 2;
        });
        return static_cast<size_t>(reachable + 1) * 2 > m_members.size() + 1;
    };
    for (auto& [host, member] : m_members) {
        bool isListed = std::ranges::find(hosts, host) != hosts.end();
        if (member.isListed && !isListed)
            member.unlistedAt = now;
        member.isListed = isListed;
    }
    // A host that hears from a majority removes members and so takes over their portions. A host that is not listed may
    // use its portion only while it hears from a majority, so that no portion is used twice.
    if (hasMajority())
        std::erase_if(m_members, [&](const auto& entry) {
            return !entry.second.isListed && now - entry.second.unlistedAt >= m_settings.holdTime;
        });
    updateEstablished(now);
}

void QuotaLedger::updateEstablished(base::TimePoint now)
{
    // An earlier process of this host may have lent its portion; wait until its leases have ended.
    if (m_isEstablished || !m_isListed || now - *m_firstListedAt < reservationTime())
        return;
    m_isEstablished = std::ranges::all_of(m_members, [](const auto& entry) { return entry.second.countsThisHost; });
}

void QuotaLedger::announcementReceived(std::string_view peer, bool countsThisHost, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    auto it = m_members.find(peer);
    if (it == m_members.end())
        return;
    it->second.lastAnnouncement = now;
    it->second.countsThisHost = countsThisHost;
    updateEstablished(now);
}

bool QuotaLedger::countsPeer(std::string_view peer, base::TimePoint now) const
{
    std::scoped_lock lock(m_mutex);
    auto it = m_members.find(peer);
    if (it == m_members.end())
        return false;
    // Leases made before the portion became smaller may exceed it until they have ended.
    return !m_isEstablished || now - it->second.addedAt >= reservationTime();
}

bool QuotaLedger::isEstablished() const
{
    std::scoped_lock lock(m_mutex);
    return m_isEstablished;
}

bool QuotaLedger::mayUsePortion(base::TimePoint now) const
{
    if (!m_isEstablished)
        return false;
    auto oldestValid = now - m_settings.holdTime / 2;
    if (m_isListed && m_lastListedAt >= oldestValid)
        return true;
    auto reachable = std::ranges::count_if(m_members, [&](const auto& entry) {
        return entry.second.lastAnnouncement && *entry.second.lastAnnouncement >= oldestValid
            && entry.second.countsThisHost;
    });
    return static_cast<size_t>(reachable + 1) * 2 > m_members.size() + 1;
}

double QuotaLedger::portion(double limit, base::TimePoint now) const
{
    return mayUsePortion(now) ? limit / static_cast<double>(m_members.size() + 1) : 0;
}

double QuotaLedger::lentRate(const Quota& quota, base::TimePoint now, std::string_view exceptBorrower)
{
    double sum = 0;
    for (const auto& [borrower, leases] : quota.lent) {
        if (borrower == exceptBorrower)
            continue;
        // The borrower uses one lease at a time. Any of them may have arrived, so the highest rate counts.
        double highest = 0;
        for (const auto& lease : leases) {
            if (lease.until > now)
                highest = std::max(highest, lease.rate);
        }
        sum += highest;
    }
    return sum;
}

double QuotaLedger::usableRate(const Quota& quota, base::TimePoint now) const
{
    auto rate = std::max(portion(quota.limit, now) - lentRate(quota, now, {}), 0.0);
    for (const auto& [lender, lease] : quota.borrowed) {
        if (lease.until > now)
            rate += lease.rate;
    }
    // Bursts are admitted in addition to the rate. Their mean rate over a window is therefore subtracted, so that no
    // window contains more requests than the limit allows.
    auto window = std::chrono::duration<double>(m_settings.window).count();
    return std::max(rate - processesPerWindow * burst / window, 0.0);
}

void QuotaLedger::refill(Quota& quota, base::TimePoint now) const
{
    // The rate may have changed since the last refill. The lower of both never adds too many tokens.
    auto seconds = std::max(std::chrono::duration<double>(now - quota.refilledAt).count(), 0.0);
    auto rate = usableRate(quota, now);
    quota.tokens = std::min(quota.tokens + seconds * std::min(rate, quota.lastRate), burst);
    quota.refilledAt = now;
    quota.lastRate = rate;
}

void QuotaLedger::setLimits(const std::map<Key, double>& limits, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    std::erase_if(m_quotas, [&](const auto& entry) { return !limits.contains(entry.first); });
    for (const auto& [key, limit] : limits) {
        auto& quota = m_quotas[key];
        refill(quota, now);
        quota.limit = limit;
    }
}

base::Duration QuotaLedger::consume(std::string_view account, std::string_view service, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    auto it = m_quotas.find(Key(account, service));
    if (it == m_quotas.end())
        return {};
    auto& quota = it->second;
    refill(quota, now);
    if (quota.tokens >= 1) {
        quota.tokens -= 1;
        return {};
    }
    constexpr double maxWaitSeconds = 1;
    auto rate = usableRate(quota, now);
    auto seconds = rate > 0 ? std::min((1 - quota.tokens) / rate, maxWaitSeconds) : maxWaitSeconds;
    return base::Duration(std::max<int64_t>(static_cast<int64_t>(std::ceil(seconds * 1e6)), 1));
}

double QuotaLedger::rate(std::string_view account, std::string_view service, base::TimePoint now) const
{
    std::scoped_lock lock(m_mutex);
    auto it = m_quotas.find(Key(account, service));
    return it == m_quotas.end() ? 0 : usableRate(it->second, now);
}

void QuotaLedger::reportSent(uint64_t reportSequence, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    if (m_sentReports.empty() || m_sentReports.back().first != reportSequence)
        m_sentReports.emplace_back(reportSequence, now);
    if (m_sentReports.size() > maxSentReports)
        m_sentReports.pop_front();
}

std::vector<QuotaLease> QuotaLedger::lend(std::string_view borrower, uint64_t reportSequence,
    const std::map<std::string, std::vector<DemandReport>, std::less<>>& demand, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    std::vector<QuotaLease> leases;
    auto borrowerReports = demand.find(borrower);
    if (borrowerReports == demand.end() || !m_members.contains(std::string(borrower)))
        return leases;
    for (const auto& report : borrowerReports->second) {
        auto it = m_quotas.find(Key(report.account, report.service));
        if (it == m_quotas.end())
            continue;
        auto& quota = it->second;
        auto ownPortion = portion(quota.limit, now);
        auto spareOf = [&](const std::vector<DemandReport>& reports) {
            return std::max(ownPortion - (1 + lenderReserve) * demandOf(reports, report.account, report.service), 0.0);
        };
        auto needOf = [&](const std::vector<DemandReport>& reports) {
            return std::max(demandOf(reports, report.account, report.service) - ownPortion, 0.0);
        };
        double totalNeed = 0;
        double totalSpare = 0;
        for (const auto& [host, reports] : demand) {
            totalNeed += needOf(reports);
            totalSpare += spareOf(reports);
        }
        auto ownReports = demand.find(m_host);
        auto spare = ownReports == demand.end() ? ownPortion : spareOf(ownReports->second);
        auto need = needOf(borrowerReports->second);
        if (need <= 0 || spare <= 0)
            continue;
        // All lenders together cover the need; each lends the same part of its spare rate. They lend more than the
        // need, because usableRate() subtracts the rate of the bursts from the borrower's rate.
        auto lentPart = std::min(1.0, totalNeed * (1 + lenderReserve) / std::max(totalSpare, spare));
        auto rate = spare * lentPart * need / totalNeed;
        auto& outstanding = quota.lent[std::string(borrower)];
        std::erase_if(outstanding, [&](const Lent& lease) { return lease.until <= now; });
        rate = std::min(rate, ownPortion - lentRate(quota, now, borrower));
        if (rate < negligibleRate)
            continue;
        outstanding.push_back({ rate, now + reservationTime() });
        leases.push_back({ ++m_lastLeaseId, m_host, std::string(borrower), report.account, report.service, rate,
            static_cast<uint64_t>(m_settings.leaseTime.count()), reportSequence });
    }
    return leases;
}

void QuotaLedger::receive(std::span<const QuotaLease> leases, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    for (const auto& lease : leases) {
        auto sent = std::ranges::find(m_sentReports, lease.basis, &std::pair<uint64_t, base::TimePoint>::first);
        if (lease.borrower != m_host || sent == m_sentReports.end())
            continue;
        auto until = sent->second + base::Duration(static_cast<int64_t>(lease.validityUs));
        auto it = m_quotas.find(Key(lease.account, lease.service));
        if (it == m_quotas.end())
            continue;
        auto& quota = it->second;
        auto& current = quota.borrowed[lease.lender];
        // Lease ids start again when the lender restarts, so a lower id counts once the current lease has ended.
        if ((lease.id <= current.id && current.until > now) || until <= now)
            continue;
        refill(quota, now);
        current = { lease.id, lease.requestsPerSecond, until };
    }
}

}
