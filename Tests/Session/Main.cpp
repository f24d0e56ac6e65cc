#include "replay/Session.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string_view>

namespace {

std::string read(const std::filesystem::path& path)
{
    std::ifstream stream(path);
    return { std::istreambuf_iterator<char>(stream), {} };
}

void printFirstDifference(const std::string& expected, const std::string& output)
{
    std::istringstream first(expected);
    std::istringstream second(output);
    std::string expectedLine;
    std::string line;
    for (size_t n = 1; first || second; ++n) {
        bool hasFirst = static_cast<bool>(std::getline(first, expectedLine));
        bool hasSecond = static_cast<bool>(std::getline(second, line));
        if (hasFirst && hasSecond && expectedLine == line)
            continue;
        std::cerr << "line " << n << "\n  expected: " << (hasFirst ? expectedLine : "(end)")
                  << "\n  but was:  " << (hasSecond ? line : "(end)") << "\n";
        return;
    }
}

}

// Replays the session in a folder: Main FOLDER [--write]. With --write the expected output is replaced; failed
// checks and counters out of bounds fail in either case.
int main(int argc, char** argv)
{
    if (argc < 2)
        return 2;
    std::filesystem::path folder(argv[1]);
    papayabend::base::LastReason reason;
    auto session = papayabend::replay::parseSession(read(folder / "input.json"), reason);
    if (!session) {
        std::cerr << folder.string() << ": " << reason.text << "\n";
        return 2;
    }
    auto result = papayabend::replay::runSession(*session);
    for (const auto& it : result.failures)
        std::cerr << folder.string() << ": " << it << "\n";
    if (argc > 2 && std::string_view(argv[2]) == "--write") {
        std::ofstream(folder / "expected.txt") << result.output;
        return result.failures.empty() ? 0 : 1;
    }
    auto expected = read(folder / "expected.txt");
    if (expected != result.output) {
        std::cerr << folder.string() << ": output differs\n";
        printFirstDifference(expected, result.output);
        return 1;
    }
    return result.failures.empty() ? 0 : 1;
}
