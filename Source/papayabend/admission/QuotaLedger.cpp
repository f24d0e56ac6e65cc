#include "papayabend/admission/QuotaLedger.h"

#include <algorithm>
#include <cmath>

namespace papayabend::admission {

namespace {

    // Requests that may pass at once. Two processes of one host may each use them within a window.
    constexpr double burst = 1;
    constexpr double processesPerWindow = 2;

    // Part of its own demand that a lender keeps on top, so that a small rise needs no lease.
    constexpr double lenderReserve = 0.25;

    constexpr size_t reportsKept = 64;
    constexpr double negligibleRate = 0.01;

    double wanted(const std::vector<DemandReport>& reports, std::string_view account, std::string_view service)
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

base::Duration QuotaLedger::lenderTime() const
{
    auto time = static_cast<double>(m_settings.leaseTime.count()) * (1 + 2 * m_settings.clockRateMargin);
    return base::Duration(static_cast<int64_t>(std::ceil(time))) + m_settings.pauseMargin;
}

void QuotaLedger::setListed(std::span<const std::string> hosts, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    m_isListed = std::ranges::find(hosts, m_host) != hosts.end();
    if (m_isListed)
        m_listedAt = now;
    if (m_isListed && !m_firstListedAt)
        m_firstListedAt = now;
    for (const auto& host : hosts) {
        if (host != m_host && !m_members.contains(host))
            m_members[host].since = now;
    }
    auto hasMajority = [&] {
        auto near = std::ranges::count_if(m_members, [&](const auto& entry) {
            return entry.second.heardAt && now - *entry.second.heardAt < m_settings.holdTime / 2;
        });
        return static_cast<size_t>(near + 1) * 2 > m_members.size() + 1;
    };
    for (auto& [host, member] : m_members) {
        bool isListed = std::ranges::find(hosts, host) != hosts.end();
        if (member.isListed && !isListed)
            member.droppedAt = now;
        member.isListed = isListed;
    }
    // Only a majority takes over a portion, and only a host with a majority uses one without the list.
    if (hasMajority())
        std::erase_if(m_members, [&](const auto& entry) {
            return !entry.second.isListed && now - entry.second.droppedAt >= m_settings.holdTime;
        });
    establish(now);
}

void QuotaLedger::establish(base::TimePoint now)
{
    // An earlier process of this host may have lent its portion; its leases run out first.
    if (m_isEstablished || !m_isListed || now - *m_firstListedAt < lenderTime())
        return;
    m_isEstablished = std::ranges::all_of(m_members, [](const auto& entry) { return entry.second.countsThisHost; });
}

void QuotaLedger::announcementReceived(std::string_view peer, bool countsThisHost, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    auto it = m_members.find(peer);
    if (it == m_members.end())
        return;
    it->second.heardAt = now;
    it->second.countsThisHost = countsThisHost;
    establish(now);
}

bool QuotaLedger::countsPeer(std::string_view peer, base::TimePoint now) const
{
    std::scoped_lock lock(m_mutex);
    auto it = m_members.find(peer);
    if (it == m_members.end())
        return false;
    // Leases made before the portion shrank may exceed it until they have run out.
    return !m_isEstablished || now - it->second.since >= lenderTime();
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
    auto freshFrom = now - m_settings.holdTime / 2;
    if (m_isListed && m_listedAt >= freshFrom)
        return true;
    auto near = std::ranges::count_if(m_members, [&](const auto& entry) {
        return entry.second.heardAt && *entry.second.heardAt >= freshFrom && entry.second.countsThisHost;
    });
    return static_cast<size_t>(near + 1) * 2 > m_members.size() + 1;
}

double QuotaLedger::portion(double limit, base::TimePoint now) const
{
    return mayUsePortion(now) ? limit / static_cast<double>(m_members.size() + 1) : 0;
}

double QuotaLedger::lentRate(const Quota& quota, base::TimePoint now, std::string_view except)
{
    double sum = 0;
    for (const auto& [borrower, leases] : quota.lent) {
        if (borrower == except)
            continue;
        // The borrower uses one of its leases at a time; any of them may be the one that arrived.
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
    // The burst is taken from the rate, so that no window exceeds the limit.
    auto window = std::chrono::duration<double>(m_settings.window).count();
    return std::max(rate - processesPerWindow * burst / window, 0.0);
}

void QuotaLedger::refill(Quota& quota, base::TimePoint now) const
{
    // The rate may have changed in between; the lower one never credits too much.
    auto seconds = std::max(std::chrono::duration<double>(now - quota.refilled).count(), 0.0);
    auto rate = usableRate(quota, now);
    quota.tokens = std::min(quota.tokens + seconds * std::min(rate, quota.lastRate), burst);
    quota.refilled = now;
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

base::Duration QuotaLedger::take(std::string_view account, std::string_view service, base::TimePoint now)
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
    constexpr double longestWait = 1;
    auto rate = usableRate(quota, now);
    auto seconds = rate > 0 ? std::min((1 - quota.tokens) / rate, longestWait) : longestWait;
    return base::Duration(std::max<int64_t>(static_cast<int64_t>(std::ceil(seconds * 1e6)), 1));
}

double QuotaLedger::rate(std::string_view account, std::string_view service, base::TimePoint now) const
{
    std::scoped_lock lock(m_mutex);
    auto it = m_quotas.find(Key(account, service));
    return it == m_quotas.end() ? 0 : usableRate(it->second, now);
}

void QuotaLedger::reportSent(uint64_t heartbeat, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    if (m_reports.empty() || m_reports.back().first != heartbeat)
        m_reports.emplace_back(heartbeat, now);
    if (m_reports.size() > reportsKept)
        m_reports.pop_front();
}

std::vector<QuotaLease> QuotaLedger::lend(std::string_view borrower, uint64_t heartbeat,
    const std::map<std::string, std::vector<DemandReport>, std::less<>>& demand, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    std::vector<QuotaLease> leases;
    auto theirs = demand.find(borrower);
    if (theirs == demand.end() || !m_members.contains(std::string(borrower)))
        return leases;
    for (const auto& report : theirs->second) {
        auto it = m_quotas.find(Key(report.account, report.service));
        if (it == m_quotas.end())
            continue;
        auto& quota = it->second;
        auto own = portion(quota.limit, now);
        auto spareOf = [&](const std::vector<DemandReport>& reports) {
            return std::max(own - (1 + lenderReserve) * wanted(reports, report.account, report.service), 0.0);
        };
        auto needOf = [&](const std::vector<DemandReport>& reports) {
            return std::max(wanted(reports, report.account, report.service) - own, 0.0);
        };
        double needs = 0;
        double spares = 0;
        for (const auto& [host, reports] : demand) {
            needs += needOf(reports);
            spares += spareOf(reports);
        }
        auto self = demand.find(m_host);
        auto spare = self == demand.end() ? own : spareOf(self->second);
        auto need = needOf(theirs->second);
        if (need <= 0 || spare <= 0)
            continue;
        // All lenders together cover the need; each lends the same part of what it can spare. The borrower needs
        // more than the plain difference, because the burst is taken from its rate.
        auto part = std::min(1.0, needs * (1 + lenderReserve) / std::max(spares, spare));
        auto rate = spare * part * need / needs;
        auto& outstanding = quota.lent[std::string(borrower)];
        std::erase_if(outstanding, [&](const Lent& lease) { return lease.until <= now; });
        rate = std::min(rate, own - lentRate(quota, now, borrower));
        if (rate < negligibleRate)
            continue;
        outstanding.push_back({ rate, now + lenderTime() });
        leases.push_back({ ++m_lastLease, m_host, std::string(borrower), report.account, report.service, rate,
            static_cast<uint64_t>(m_settings.leaseTime.count()), heartbeat });
    }
    return leases;
}

void QuotaLedger::receive(std::span<const QuotaLease> leases, base::TimePoint now)
{
    std::scoped_lock lock(m_mutex);
    for (const auto& lease : leases) {
        auto sent = std::ranges::find(m_reports, lease.basis, &std::pair<uint64_t, base::TimePoint>::first);
        if (lease.borrower != m_host || sent == m_reports.end())
            continue;
        auto until = sent->second + base::Duration(static_cast<int64_t>(lease.validityUs));
        auto it = m_quotas.find(Key(lease.account, lease.service));
        if (it == m_quotas.end())
            continue;
        auto& quota = it->second;
        auto& held = quota.borrowed[lease.lender];
        // Lease numbers start again when the lender restarts.
        if ((lease.id <= held.id && held.until > now) || until <= now)
            continue;
        refill(quota, now);
        held = { lease.id, lease.requestsPerSecond, until };
    }
}

}
