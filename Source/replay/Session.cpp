#include "replay/Session.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace papayabend::replay {

namespace {

    using Json = nlohmann::json;
    using Fault = std::function<void(Simulation&)>;

    Duration milliseconds(const Json& json) { return Duration(static_cast<int64_t>(json.get<double>() * 1000)); }

    TimePoint timeOf(const Json& json) { return startTime + milliseconds(json.at("atMs")); }

    uint32_t hostIndex(const Simulation& simulation, const std::string& name)
    {
        auto it = std::ranges::find(simulation.hosts, name, &Host::name);
        if (it == simulation.hosts.end())
            throw std::out_of_range("no host " + name);
        return it->index;
    }

    Fault hostFault(const Json& json, void (*action)(Simulation&, uint32_t))
    {
        return [name = json.at("host").get<std::string>(), action](
                   Simulation& simulation) { action(simulation, hostIndex(simulation, name)); };
    }

    Fault upstreamFault(const Json& json, std::function<void(Simulation&, uint32_t)> action)
    {
        return [name = json.at("upstream").get<std::string>(), action = std::move(action)](
                   Simulation& simulation) { action(simulation, upstreamIndex(simulation, name)); };
    }

    Fault parseFault(const Json& json)
    {
        auto kind = json.at("kind").get<std::string>();
        if (kind == "killHost")
            return hostFault(json, killHost);
        if (kind == "startHost")
            return hostFault(json, startHost);
        if (kind == "pauseHost")
            return hostFault(json, pauseHost);
        if (kind == "resumeHost")
            return hostFault(json, resumeHost);
        if (kind == "killUpstream")
            return upstreamFault(json, killUpstream);
        if (kind == "restartUpstream")
            return upstreamFault(json, restartUpstream);
        if (kind == "drainUpstream")
            return upstreamFault(
                json, [](Simulation& simulation, uint32_t n) { simulation.upstreams[n].isDraining = true; });
        if (kind == "shedUpstream")
            return upstreamFault(json, [isOn = json.value("on", true)](Simulation& simulation, uint32_t n) {
                simulation.upstreams[n].isShedding = isOn;
            });
        if (kind == "slowUpstream")
            return upstreamFault(json, [factor = json.at("factor").get<double>()](Simulation& simulation, uint32_t n) {
                simulation.upstreams[n].slowdown = factor;
            });
        if (kind == "dropSnapshot")
            return upstreamFault(json,
                [service = json.at("service").get<std::string>(), snapshot = json.at("snapshot").get<uint64_t>()](
                    Simulation& simulation, uint32_t n) { dropSnapshot(simulation, n, service, snapshot); });
        if (kind == "platformDown")
            return [isOn = json.value("on", true)](Simulation& simulation) { setPlatformDown(simulation, isOn); };
        if (kind == "platformStale")
            return [isOn = json.value("on", true)](Simulation& simulation) { setPlatformStale(simulation, isOn); };
        if (kind == "cutDomains")
            return [first = json.at("first").get<std::string>(), second = json.at("second").get<std::string>()](
                       Simulation& simulation) { cutDomains(simulation, first, second); };
        if (kind == "healDomains")
            return healDomains;
        throw std::out_of_range("unknown fault " + kind);
    }

    void parseHosts(Simulation& simulation, const Json& json)
    {
        for (const auto& it : json) {
            auto n = addHost(simulation, it.at("name").get<std::string>(), it.at("domain").get<std::string>());
            if (it.value("started", true))
                at(simulation, startTime, [n](Simulation& later) { startHost(later, n); });
        }
    }

    void parseServiceTimes(Simulation& simulation, const Json& json)
    {
        for (const auto& [service, it] : json.items()) {
            ServiceTime time;
            time.median = milliseconds(it.at("medianMs"));
            time.sigma = it.value("sigma", 0.0);
            time.stragglerShare = it.value("stragglerShare", 0.0);
            time.stragglerFactor = it.value("stragglerFactor", time.stragglerFactor);
            simulation.serviceTimes[service] = time;
        }
    }

    void parsePublished(Simulation& simulation, const Json& json)
    {
        for (const auto& it : json) {
            auto key = it.at("key").get<std::string>();
            auto text = it.contains("text") ? it.at("text").get<std::string>() : it.at("value").dump();
            if (milliseconds(it.at("atMs")) == Duration::zero())
                publish(simulation, key, text);
            else
                at(simulation, timeOf(it), [key, text](Simulation& later) { publish(later, key, text); });
        }
    }

    RequestKind kindOf(const std::string& name)
    {
        if (name == "search")
            return RequestKind::Search;
        if (name == "execute")
            return RequestKind::Execute;
        if (name == "queryOutcome")
            return RequestKind::QueryOutcome;
        throw std::out_of_range("unknown kind of request " + name);
    }

    void parseRequests(Simulation& simulation, const Json& json)
    {
        for (const auto& it : json) {
            auto count = it.value("count", 1);
            for (int n = 0; n < count; ++n) {
                Request request;
                request.kind = kindOf(it.value("kind", "search"));
                if (it.contains("ticketOf"))
                    request.ticketOf = it.at("ticketOf").get<uint32_t>() + n;
                request.account = it.at("account").get<std::string>();
                request.service = it.at("service").get<std::string>();
                request.body = it.at("body").get<std::string>();
                if (count > 1 && !it.value("resend", false))
                    request.body += "." + std::to_string(n);
                request.host = hostIndex(simulation, it.at("host").get<std::string>());
                request.maxHits = it.value("maxHits", 10U);
                request.timeout = milliseconds(it.value("timeoutMs", Json(1000)));
                request.sentAt = timeOf(it) + n * milliseconds(it.value("everyMs", Json(0)));
                submit(simulation, std::move(request));
            }
        }
    }

    void parseDelays(Simulation& simulation, const Json& json)
    {
        simulation.peerLoss = json.value("peerLoss", 0.0);
        simulation.localDelay = milliseconds(json.value("localMs", Json(0.2)));
        simulation.remoteDelay = milliseconds(json.value("remoteMs", Json(5)));
        simulation.callerDelay = milliseconds(json.value("callerMs", Json(1)));
    }

}

std::optional<Session> parseSession(std::string_view text, base::LastReason& reason)
{
    try {
        auto json = Json::parse(text, nullptr, true, true);
        Session session { std::make_unique<Simulation>(), startTime + milliseconds(json.at("untilMs")), {} };
        auto& simulation = *session.simulation;
        simulation.seed = json.value("seed", uint64_t(1));
        simulation.crashRestartTime = milliseconds(json.value("crashRestartMs", Json(0)));
        parseDelays(simulation, json.value("delays", Json::object()));
        parsePublished(simulation, json.at("published"));
        parseHosts(simulation, json.at("hosts"));
        parseServiceTimes(simulation, json.value("serviceTimes", Json::object()));
        for (const auto& it : json.value("faults", Json::array()))
            at(simulation, timeOf(it), parseFault(it));
        parseRequests(simulation, json.at("requests"));
        for (const auto& [name, bounds] : json.at("require").items())
            session.required[name] = bounds.is_array()
                ? std::pair { bounds.at(0).get<uint64_t>(), bounds.at(1).get<uint64_t>() }
                : std::pair { bounds.get<uint64_t>(), bounds.get<uint64_t>() };
        return session;
    } catch (const std::exception& error) {
        return base::fail(reason, std::string("session is not valid: ") + error.what());
    }
}

}
