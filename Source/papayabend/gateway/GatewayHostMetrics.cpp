#include "papayabend/fleet/Roles.h"
#include "papayabend/gateway/GatewayHost.h"

#include <algorithm>
#include <sys/resource.h>

namespace papayabend::gateway {

void GatewayHost::updateMetrics()
{
    auto now = base::BootClock::now();
    auto gauge = [this](const char* name, auto value) { m_metrics.setGauge(name, static_cast<double>(value)); };
    auto counter = [this](const char* name, auto value) { m_metrics.setCounter(name, static_cast<double>(value)); };
    gauge("configuration_version", m_state.fleet.self().configurationVersion);
    gauge(
        "configuration_age_seconds", std::chrono::duration<double>(now - m_state.content.configurationSince()).count());
    gauge("content_revision", m_state.content.revision());
    gauge("content_era", m_state.content.position().era);
    gauge("store_connected", m_storeReader.isConnected() ? 1 : 0);
    gauge("store_answer_age_seconds", std::chrono::duration<double>(now - m_storeReader.answeredAt()).count());
    gauge("hosts_known", m_state.fleet.members().size() + 1);
    gauge("hosts_live", m_state.fleet.liveHosts(now));
    gauge("upstreams_known", m_state.content.upstreams().entries().size());
    gauge("upstreams_leaving", m_state.gate.holds.countLeaving());
    gauge("upstreams_paused", m_state.gate.holds.countPaused(now));
    gauge("failure_domains_evacuated", m_state.content.evacuations().failureDomains().size());
    gauge("upstreams_cold", std::ranges::count_if(m_state.content.upstreams().entries(), [&](const auto& it) {
        return m_state.gate.cold.coldUntil(it.second, dispatch::keyOf(it.second.record)) > now;
    }));
    gauge("upstreams_limited", m_state.gate.limits.count(now));
    gauge("upstreams_slow",
        m_state.pool.countLoads([now](const auto& it) { return dispatch::isSlow(it.estimate, now); }));
    gauge("upstreams_failing",
        m_state.pool.countLoads([now](const auto& it) { return dispatch::isFailing(it.estimate, now); }));
    counter("upstream_report_problems_total", m_state.reportProblems);
    gauge("upstream_connections", m_state.pool.openConnections());
    size_t connections = 0;
    size_t requests = 0;
    for (const auto& [address, listener] : m_listeners) {
        connections += listener->openConnections();
        requests += listener->openRequests();
    }
    gauge("client_connections", connections);
    gauge("open_requests", requests);
    counter("store_calls_total", m_storeReader.calls());
    gauge("content_age_seconds", std::chrono::duration<double>(now - m_state.contentConfirmedAt).count());
    counter("store_stand_ins_total", m_standIns);
    gauge("upstream_links_lost", m_reach.isLost ? 1 : 0);
    counter("relayed_requests_total", m_relay.relayed());
    gauge("buffered_bytes", m_buffers->bytes);
    counter("buffers_revoked_total", m_buffers->revoked);
    for (size_t n = 0; n < refusalReasons; ++n) {
        auto reason = static_cast<RefusalReason>(n);
        m_metrics.setClientRefusals(std::string(nameOf(reason)), static_cast<double>(m_guard->refusals.count(reason)));
    }
    counter("message_faults_total", m_faults->count());
    counter("log_lines_dropped_total", m_log.dropped());
    counter("peer_sent_bytes_total", m_peerLink.sentBytes());
    counter("content_pulls_total", m_transfers.pulls);
    counter("content_pulls_failed_total", m_transfers.failedPulls);
    counter("content_pulls_refused_total", m_transfers.refusedPulls);
    counter("content_pulled_bytes_total", m_transfers.pulledBytes);
    counter("content_sent_bytes_total", m_transfers.sentBytes);
    counter("content_encode_seconds_total", std::chrono::duration<double>(m_transfers.encodeTime).count());
    counter("upstream_connections_opened_total", m_state.pool.counters().connectionsOpened);
    counter("upstream_connections_failed_total", m_state.pool.counters().connectionsFailed);
    counter("upstream_attempts_total", m_state.pool.counters().attempts);
    counter("upstream_attempts_lost_total", m_state.pool.counters().attemptsLost);
    counter("pauses_total", m_pauseDetector.pauses());
    gauge("is_serving", fleet::isServing(m_state.fleet, servingSettings(), now) ? 1 : 0);
    gauge("serving_hosts", fleet::servingCount(m_state.fleet, servingSettings(), now));
    gauge("admission_overloaded_sets", m_state.admission.overloadedSets(now));
    gauge("admission_smallest_limit", m_state.admission.smallestLimit());
    gauge("entry_time_to_live_seconds",
        std::chrono::duration<double>(fleet::entryTimeToLive(m_calm, validitySettings(), now)).count());
    counter("entry_answers_total", m_entryAnswers);
    counter("entry_answers_calm_total", m_calmEntryAnswers);
    gauge("attempts_per_second", m_state.fleet.self().load);
    gauge("table_version", m_state.table ? m_state.table->version : 0);
    counter("peer_messages_refused_total", m_peerLink.refusedMessages());
    rusage usage {};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
        auto seconds = [](const timeval& time) {
            return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
        };
        counter("processor_seconds_total", seconds(usage.ru_utime) + seconds(usage.ru_stime));
        gauge("peak_memory_kilobytes", usage.ru_maxrss);
    }
}

}
