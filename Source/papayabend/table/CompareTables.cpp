#include "papayabend/table/CompareTables.h"

#include <algorithm>
#include <charconv>

namespace papayabend::table {

namespace {

    // Returns the shortest text that parses to the same number.
    std::string format(double value)
    {
        char buf[32];
        auto [end, error] = std::to_chars(buf, buf + sizeof buf, value);
        return error == std::errc() ? std::string(buf, end) : std::string("?");
    }

    std::string format(const Grant* grant)
    {
        if (!grant)
            return "-";
        auto text = "weight=" + format(grant->weight);
        if (grant->limitPerSecond)
            text += " limit=" + format(*grant->limitPerSecond) + "/s";
        return text + " priority=" + std::string(toString(grant->priority));
    }

    std::string format(const Objective* objective)
    {
        if (!objective)
            return "-";
        std::string text;
        auto add = [&](std::string_view key, const std::string& value) {
            text += (text.empty() ? "" : " ") + std::string(key) + "=" + value;
        };
        if (objective->latency.count() != 0)
            add("latency", format(static_cast<double>(objective->latency.count()) / 1000) + "ms");
        for (auto [key, share] : { std::pair("latencyTarget", objective->latencyTarget),
                 std::pair("coverage", objective->coverage), std::pair("availability", objective->availability) }) {
            if (share != 0)
                add(key, format(share));
        }
        return text;
    }

    void addUnique(std::vector<std::string>& names, const std::string& name)
    {
        if (std::ranges::find(names, name) == names.end())
            names.push_back(name);
    }

    std::vector<std::string> servicesOf(const Table& before, const Table& after)
    {
        auto services = before.services;
        for (const auto& service : after.services)
            addUnique(services, service);
        return services;
    }

    std::vector<std::string> accountsOf(const Table& before, const Table& after)
    {
        std::vector<std::string> accounts;
        for (const auto* table : { &before, &after }) {
            for (const auto& row : table->rows)
                accounts.push_back(row.account);
        }
        std::ranges::sort(accounts);
        accounts.erase(std::unique(accounts.begin(), accounts.end()), accounts.end());
        return accounts;
    }

    void addPresence(std::vector<std::string>& lines, const std::string& what, bool isInBefore, bool isInAfter)
    {
        if (isInBefore != isInAfter)
            lines.push_back(what + (isInAfter ? ": added" : ": removed"));
    }

    void addChange(
        std::vector<std::string>& lines, const std::string& what, const std::string& before, const std::string& after)
    {
        if (before != after)
            lines.push_back(what + ": " + before + " -> " + after);
    }

}

std::vector<std::string> compareTables(const Table& before, const Table& after)
{
    std::vector<std::string> lines;
    addChange(lines, "version", std::to_string(before.version), std::to_string(after.version));
    auto services = servicesOf(before, after);
    auto hasService = [](const Table& table, const std::string& service) {
        return std::ranges::find(table.services, service) != table.services.end();
    };
    for (const auto& service : services) {
        addPresence(lines, "service " + service, hasService(before, service), hasService(after, service));
        addChange(lines, "@objective of " + service, format(findObjective(before, service)),
            format(findObjective(after, service)));
    }
    for (const auto& account : accountsOf(before, after)) {
        auto label = "account " + account;
        addPresence(lines, label, findRow(before, account) != nullptr, findRow(after, account) != nullptr);
        label += ", service ";
        for (const auto& service : services)
            addChange(lines, label + service, format(findGrant(before, account, service)),
                format(findGrant(after, account, service)));
    }
    return lines;
}

}
