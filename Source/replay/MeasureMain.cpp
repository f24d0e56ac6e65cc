#include "replay/Scenario.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iostream>

namespace {

using namespace papayabend;
namespace po = boost::program_options;

void printTable(const replay::Figures& figures)
{
    std::vector<size_t> widths;
    for (size_t n = 0; n < figures.columns.size(); ++n) {
        widths.push_back(figures.columns[n].size());
        for (const auto& row : figures.rows)
            widths[n] = std::max(widths[n], row[n].size());
    }
    auto printRow = [&](const std::vector<std::string>& row) {
        for (size_t n = 0; n < row.size(); ++n)
            std::cout << "| " << row[n] << std::string(widths[n] - row[n].size() + 1, ' ');
        std::cout << "|\n";
    };
    printRow(figures.columns);
    std::vector<std::string> rule;
    rule.reserve(widths.size());
    for (auto width : widths)
        rule.emplace_back(width, '-');
    printRow(rule);
    for (const auto& row : figures.rows)
        printRow(row);
}

void writeFiles(const std::string& name, const replay::Figures& figures, const std::filesystem::path& folder)
{
    std::filesystem::create_directories(folder);
    std::ofstream csv(folder / (name + ".csv"));
    auto writeRow = [&](const std::vector<std::string>& row) {
        for (size_t n = 0; n < row.size(); ++n)
            csv << (n > 0 ? "," : "") << row[n];
        csv << "\n";
    };
    writeRow(figures.columns);
    for (const auto& row : figures.rows)
        writeRow(row);
    for (size_t n = 0; n < figures.plots.size(); ++n)
        std::ofstream(folder / (name + "-" + std::to_string(n + 1) + ".svg")) << report::renderSvg(figures.plots[n]);
}

bool measure(const replay::Scenario& scenario, const replay::MeasureOptions& options)
{
    auto start = std::chrono::steady_clock::now();
    auto figures = scenario.run(options);
    std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    std::cout << "\n"
              << scenario.name << ": " << scenario.description << " (seed " << options.seed << ", " << options.requests
              << " requests, " << replay::formatNumber(elapsed.count(), 1) << " s)\n\n";
    printTable(figures);
    std::cout << "\nfailed checks: " << figures.violations << "\n";
    for (size_t n = 0; n < std::min<size_t>(figures.violationTexts.size(), 10); ++n)
        std::cout << "  " << figures.violationTexts[n] << "\n";
    if (!options.outputFolder.empty())
        writeFiles(scenario.name, figures, options.outputFolder);
    return figures.violations == 0;
}

}

int main(int argc, char** argv)
{
    replay::MeasureOptions options;
    std::string name;
    po::options_description description("papayabend-measure SCENARIO [options]");
    description.add_options()("help", "print this text");
    description.add_options()("scenario", po::value(&name)->default_value("all"), "scenario, or all");
    description.add_options()("seed", po::value(&options.seed)->default_value(options.seed), "seed");
    description.add_options()("requests", po::value(&options.requests)->default_value(options.requests),
        "requests for each policy and deployment");
    description.add_options()(
        "threads", po::value(&options.threads)->default_value(options.threads), "replays that run at the same time");
    description.add_options()("output", po::value(&options.outputFolder), "folder for CSV and SVG files");
    po::positional_options_description positional;
    positional.add("scenario", 1);
    try {
        po::variables_map values;
        po::store(po::command_line_parser(argc, argv).options(description).positional(positional).run(), values);
        po::notify(values);
        if (values.count("help") > 0) {
            std::cout << description << "\nScenarios:\n";
            for (const auto& it : replay::scenarios())
                std::cout << "  " << it.name << ": " << it.description << "\n";
            return 0;
        }
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
    bool isKnown = name == "all";
    bool isClean = true;
    for (const auto& it : replay::scenarios()) {
        if (name != "all" && it.name != name)
            continue;
        isKnown = true;
        isClean = measure(it, options) && isClean;
    }
    if (!isKnown) {
        std::cerr << "unknown scenario " << name << "; see --help\n";
        return 2;
    }
    return isClean ? 0 : 1;
}
