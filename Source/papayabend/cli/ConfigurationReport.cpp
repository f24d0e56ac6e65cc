#include "papayabend/cli/ConfigurationReport.h"

#include "papayabend/cli/HostClient.h"
#include "papayabend/routes/ConfigurationCheck.h"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace papayabend::cli {

namespace {

    std::optional<routes::Configuration> readConfiguration(
        const std::string& name, const gateway::PlatformAdapter& adapter, std::ostream& errors)
    {
        std::ifstream file(name);
        if (!file) {
            errors << "papayabend: " << name << " cannot be read\n";
            return std::nullopt;
        }
        base::LastReason reason;
        auto configuration = adapter.parseConfiguration(std::string(std::istreambuf_iterator<char>(file), {}), reason);
        if (!configuration)
            errors << "papayabend: " << name << ": " << reason.text << '\n';
        return configuration;
    }

    std::string nameOf(routes::Severity severity) { return severity == routes::Severity::Error ? "error" : "warning"; }

    std::string jsonText(const routes::Configuration& configuration, const std::vector<routes::Finding>& findings,
        const std::vector<std::string>& differences)
    {
        auto array = Json::array();
        for (const auto& it : findings)
            array.push_back({ { "severity", nameOf(it.severity) }, { "entry", it.entry }, { "text", it.text } });
        return Json {
            { "version", configuration.version }, { "findings", array }, { "differences", differences }
        }.dump(2, ' ', false, Json::error_handler_t::replace);
    }

}

int reportConfiguration(const ConfigurationReport& report, const gateway::PlatformAdapter& adapter,
    std::ostream& output, std::ostream& errors)
{
    auto configuration = readConfiguration(report.file, adapter, errors);
    if (!configuration)
        return Errors;
    auto findings = routes::checkConfiguration(*configuration);
    std::vector<std::string> differences;
    if (report.against) {
        auto inForce = readConfiguration(*report.against, adapter, errors);
        if (!inForce)
            return Errors;
        std::ranges::move(routes::checkSuccession(*inForce, *configuration), std::back_inserter(findings));
        differences = routes::compareConfigurations(*inForce, *configuration);
    }
    if (report.asJson) {
        output << jsonText(*configuration, findings, differences) << '\n';
    } else {
        output << "version " << configuration->version << ", " << configuration->routes.size() << " routes, "
               << configuration->maxConnections.size() << " services, " << findings.size() << " findings\n";
        for (const auto& it : findings)
            output << nameOf(it.severity) << ": " << it.entry << ": " << it.text << '\n';
        for (const auto& it : differences)
            output << "difference: " << it << '\n';
    }
    if (std::ranges::find(findings, routes::Severity::Error, &routes::Finding::severity) != findings.end())
        return Errors;
    return findings.empty() ? NoFindings : Warnings;
}

}
