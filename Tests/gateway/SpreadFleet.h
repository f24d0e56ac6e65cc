#pragma once

#include "papayabend/fleet/ContentPull.h"
#include "papayabend/fleet/HeartbeatPlan.h"
#include "papayabend/fleet/Roles.h"
#include "papayabend/gateway/Content.h"
#include "papayabend/gateway/HttpMessage.h"

#include "fleet/FleetFixture.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/** A store in virtual time that can return from an older copy of its data. */
struct SpreadStore {
    using StorePosition = papayabend::base::StorePosition;
    using StoreItem = papayabend::gateway::StoreItem;

    StorePosition position { 1, 5 };
    std::map<std::string, StoreItem> items;

    void put(const std::string& key, const std::string& value, bool isRemoved = false)
    {
        items[key] = { key, value, ++position.revision, isRemoved };
    }

    /** Returns the items that changed after \a revision. */
    std::vector<StoreItem> changesAfter(uint64_t revision) const
    {
        std::vector<StoreItem> changes;
        for (const auto& [key, item] : items) {
            if (item.revision > revision)
                changes.push_back(item);
        }
        return changes;
    }

    /** Returns with the data of \a copy; its revisions are given out again. */
    void restore(const SpreadStore& copy)
    {
        items = copy.items;
        position = { position.era + 1, copy.position.revision };
    }
};

struct SpreadHost {
    papayabend::fleet::FleetView fleet;
    papayabend::gateway::Content content;
    papayabend::fleet::PullState pulls;
    uint64_t round { 10 }; // past the start of the process
    bool isReader { false };
    bool isFrozen { false };
    bool isCutOff { false }; /**< From the store and all hosts. */
    bool reachesStore { true };

    void statePosition()
    {
        auto& self = fleet.self();
        self.contentEra = content.position().era;
        self.contentRevision = content.revision();
        self.configurationVersion = content.configuration() ? content.configuration()->version : 0;
        ++self.sequence;
    }
};

/** Hosts that learn of a change of the store in virtual time: readers from the store, others by datagrams, some of
 * which are lost, and pulls. The value of a configuration is its version; that of an upstream is "START SEQUENCE",
 * followed by " draining" if it drains. */
struct SpreadFleet {
    using TimePoint = papayabend::base::TimePoint;
    using Duration = papayabend::base::Duration;
    using Content = papayabend::gateway::Content;

    static constexpr Duration step { std::chrono::milliseconds(50) }; // also the time that a message or a pull takes
    static constexpr int stepsPerTick = 5;
    static constexpr int stepsPerHeartbeat = 10;
    static constexpr double lostDatagrams = 0.1;

    papayabend::gateway::PlatformAdapter adapter {};
    SpreadStore store;
    std::vector<std::unique_ptr<SpreadHost>> hosts;
    std::map<std::string, SpreadHost*> byAddress;
    papayabend::base::Random random { 7 };
    TimePoint now { std::chrono::seconds(1000) };
    int steps { 0 };
    size_t domains;

    SpreadFleet(size_t count, size_t domainCount, const std::vector<std::pair<std::string, std::string>>& contents = {})
        : domains(domainCount)
    {
        setAdapter();
        for (const auto& [key, value] : contents)
            store.put(key, value);
        for (size_t n = 0; n < count; ++n) {
            addHost("h" + std::to_string(n));
            hosts.back()->content.applyList(list(), now);
            hosts.back()->statePosition();
        }
        // Hosts know their failure domain and a few hosts of others, as after some minutes.
        constexpr size_t knownOthers = 16;
        for (auto& host : hosts) {
            for (auto& other : hosts) {
                auto isNear = other->fleet.self().failureDomain == host->fleet.self().failureDomain;
                if (isNear || papayabend::base::uniformIndex(random, count) < knownOthers)
                    host->fleet.apply(other->fleet.self(), now);
            }
        }
        runFor(std::chrono::milliseconds(500));
    }

    void setAdapter()
    {
        using namespace papayabend;
        adapter.configurationKey = "configuration";
        adapter.upstreamPrefix = "upstreams/";
        adapter.evacuationPrefix = "evacuate/";
        adapter.parseEvacuation = [](std::string_view value, base::LastReason&) { return value == "{}"; };
        adapter.parseConfiguration = [](std::string_view value, base::LastReason& reason) {
            auto version = gateway::parseNumber(value);
            routes::Configuration configuration;
            configuration.version = version.value_or(0);
            return version ? std::optional(configuration) : base::fail(reason, "no version");
        };
        adapter.parseUpstream = [](std::string_view id, std::string_view value, base::LastReason& reason) {
            auto space = value.find(' ');
            auto startedAt = gateway::parseNumber(value.substr(0, space));
            auto rest = value.substr(std::min(space, value.size() - 1) + 1);
            auto sequence = gateway::parseNumber(rest.substr(0, rest.find(' ')));
            discovery::UpstreamRecord record;
            record.id = id;
            record.service = "s";
            record.startedAt = static_cast<int64_t>(startedAt.value_or(0));
            record.sequence = sequence.value_or(0);
            record.isDraining = value.ends_with("draining");
            return startedAt && sequence ? std::optional(record) : base::fail(reason, "no start and sequence");
        };
    }

    /** Adds a host without content that other hosts do not know yet. */
    SpreadHost& addHost(const std::string& name)
    {
        auto heartbeat = hostHeartbeat(name, "d" + std::to_string(hosts.size() % domains));
        hosts.push_back(std::make_unique<SpreadHost>(papayabend::fleet::FleetView(heartbeat), Content(adapter)));
        byAddress[heartbeat.peerAddress] = hosts.back().get();
        return *hosts.back();
    }

    papayabend::gateway::StoreList list() const { return { store.position, store.changesAfter(0) }; }

    void change(const std::string& key, const std::string& value, bool isRemoved = false)
    {
        store.put(key, value, isRemoved);
    }

    void deliver(const std::string& address, const std::function<void(SpreadHost&)>& receive)
    {
        auto it = byAddress.find(address);
        auto isLost = it == byAddress.end() || it->second->isFrozen || it->second->isCutOff;
        if (!isLost && papayabend::base::uniform(random) >= lostDatagrams)
            receive(*it->second);
    }

    void read(SpreadHost& host)
    {
        auto before = host.content.position();
        if (!host.isReader || !host.reachesStore || host.isCutOff || before == store.position)
            return;
        if (before.era == store.position.era && host.content.hasList()) {
            host.content.apply(store.changesAfter(before.revision), now);
            host.content.setComplete(store.position.revision);
        } else {
            host.content.applyList(list(), now);
        }
        host.statePosition();
        papayabend::base::LastReason reason;
        auto changes = host.content.encode(before);
        for (const auto& address : papayabend::fleet::pushTargets(host.fleet, now)) {
            deliver(address, [&](SpreadHost& receiver) {
                receiver.fleet.apply(host.fleet.self(), now);
                if (before.era == host.content.position().era)
                    receiver.content.applyEncoded(changes, now, reason);
            });
        }
    }

    void sendHeartbeats(SpreadHost& host)
    {
        host.statePosition();
        if (host.isCutOff)
            return;
        // Any host may be a seed of another one.
        std::vector<std::string> seeds { hosts.front()->fleet.self().peerAddress };
        for (const auto& planned : papayabend::fleet::planHeartbeats(host.fleet, seeds, ++host.round, random, now)) {
            deliver(planned.address, [&](SpreadHost& receiver) {
                auto isNew = !receiver.fleet.members().contains(host.fleet.self().name);
                receiver.fleet.apply(host.fleet.self(), now);
                for (const auto* heartbeat : receiver.fleet.liveHeartbeats(now)) {
                    if (isNew)
                        host.fleet.apply(*heartbeat, now);
                }
                for (const auto& heartbeat : planned.relayed)
                    receiver.fleet.apply(heartbeat, now);
            });
        }
    }

    void pull(SpreadHost& host)
    {
        auto& content = host.content;
        auto version = content.configuration() ? content.configuration()->version : 0;
        papayabend::fleet::PullInputs inputs { content.position(), content.hasList(),
            host.isReader && host.reachesStore, version };
        auto chosen = papayabend::fleet::choosePullSource(host.fleet, host.pulls, inputs, random, now);
        if (!chosen)
            return;
        auto* source = byAddress[chosen->address];
        if (host.isCutOff || source->isFrozen || source->isCutOff)
            return papayabend::fleet::recordFruitlessPull(host.pulls, {}, random, now);
        papayabend::base::LastReason reason;
        auto after
            = chosen->needsAll ? SpreadStore::StorePosition { content.position().era, 0 } : content.pullPosition();
        content.applyEncoded(source->content.encode(after), now, reason);
        papayabend::fleet::recordVersion(
            host.pulls, *chosen, content.configuration() ? content.configuration()->version : 0);
        papayabend::fleet::recordPull(host.pulls);
    }

    /** Plays for \a longest, or until \a isDone; returns the time. */
    Duration run(Duration longest, const std::function<bool()>& isDone)
    {
        auto since = now;
        while (now - since < longest && !isDone()) {
            now += step;
            ++steps;
            for (size_t n = 0; n < hosts.size(); ++n) {
                auto& host = *hosts[n];
                if (host.isFrozen)
                    continue;
                if ((static_cast<size_t>(steps) + n) % stepsPerTick == 0) {
                    host.isReader = papayabend::fleet::isReader(host.fleet, now);
                    host.content.expire(now);
                }
                read(host);
                if ((static_cast<size_t>(steps) + n) % stepsPerHeartbeat == 0)
                    sendHeartbeats(host);
                pull(host);
            }
        }
        return now - since;
    }

    void runFor(Duration time)
    {
        run(time, [] { return false; });
    }

    /** Returns whether \a matches holds for all hosts that run and are not cut off. */
    bool isSoEverywhere(const std::function<bool(const Content&)>& matches) const
    {
        return std::ranges::all_of(
            hosts, [&](const auto& it) { return it->isFrozen || it->isCutOff || matches(it->content); });
    }

    bool isEvacuatedEverywhere(const std::string& domain, bool expected) const
    {
        return isSoEverywhere(
            [&](const Content& content) { return content.evacuations().isEvacuated(domain) == expected; });
    }

    Duration timeUntil(const std::string& domain, bool expected)
    {
        return run(std::chrono::seconds(30), [&] { return isEvacuatedEverywhere(domain, expected); });
    }

    /** Returns the time until all hosts have version \a version in force, at most 30 s. */
    Duration timeUntilVersion(uint64_t version)
    {
        return run(std::chrono::seconds(30), [&] {
            return isSoEverywhere([&](const Content& content) {
                return content.configuration() && content.configuration()->version == version;
            });
        });
    }
};

/** \struct SpreadSize
 * \brief Size of a fleet that is played.
 */
struct SpreadSize {
    size_t hosts;
    size_t domains;
};
inline constexpr std::array<SpreadSize, 4> spreadSizes { { { 6, 3 }, { 33, 3 }, { 62, 3 }, { 195, 3 } } };
inline constexpr SpreadSize largestSpread { 1600, 13 };
